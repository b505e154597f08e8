/*
 * Beacons, which tell each node how recent its configuration is: sent and
 * received, and the reads of the store by nodes that hear none.
 */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "memb.h"
#include "call.h"
#include "limit.h"
#include "beacon.h"
#include "platform.h"
#include "proxy.h"

/* A shorter bound is not met: beacons take some time to all nodes. */
#define BOUND_MIN_US G_TIME_SPAN_SECOND

struct beacons {
	struct proxy *proxy;
	struct beacon *beacon;
	gboolean sending; /* as logged last */
	guint timer;
};

static void act(void *);

/* To be called after each change of the state. */
static void
changed(struct beacons *b)
{
	struct proxy *p = b->proxy;
	gint64 due = beacon_due(b->beacon, memb_count(p->memb));

	if (b->sending != beacon_sending(b->beacon)) {
		b->sending = !b->sending;
		pt_event(&p->events, PT_LEVEL_INFO, "beacon-sender",
		    "sending=%d age_ms=%" G_GINT64_FORMAT, b->sending,
		    beacon_age(b->beacon) / G_TIME_SPAN_MILLISECOND);
	}
	sys_cancel(&b->timer);
	if (due < G_MAXINT64)
		b->timer = sys_after(MAX(due - pt_now(&p->clock), 0), act, b);
}

static void
cast(struct beacons *b, guint targets, gboolean ask)
{
	struct pt_beacon m;

	beacon_put(b->beacon, &m, b->proxy->set->instance, ask);
	memb_cast(b->proxy->memb, (xdrproc_t)xdr_pt_beacon, &m, targets);
}

static void
act(void *arg)
{
	struct beacons *b = arg;
	struct proxy *p = b->proxy;
	enum beacon_action a;

	b->timer = 0;
	a = beacon_tick(b->beacon, memb_count(p->memb));
	if (a == BEACON_ASK)
		cast(b, BEACON_ASKED, TRUE);
	changed(b);
	if (a != BEACON_READ)
		return;
	stats_add(p->stats, STAT_STALE_READS);
	pt_event(&p->events, PT_LEVEL_INFO, "config-stale",
	    "version=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
	    rtab_version(p->rtab),
	    beacon_age(b->beacon) / G_TIME_SPAN_MILLISECOND);
	source_check(p->source);
}

struct beacons *
beacons_new(struct proxy *p)
{
	struct beacon_opts o = { .clock = p->clock,
		.rand = p->rand,
		.bound = MAX(p->set->apply, BOUND_MIN_US) };
	struct beacons *b;

	if (p->set->apply == 0)
		return NULL;
	b = g_new0(struct beacons, 1);
	b->proxy = p;
	b->beacon = beacon_new(&o);
	return b;
}

void
beacons_free(struct beacons *b)
{
	if (b == NULL)
		return;
	sys_cancel(&b->timer);
	beacon_free(b->beacon);
	g_free(b);
}

void
beacons_applied(struct beacons *b, gint64 version)
{
	if (b == NULL)
		return;
	beacon_applied(b->beacon, version);
	changed(b);
}

void
beacons_read(struct beacons *b, gint64 at, gint64 delay)
{
	if (b == NULL)
		return;
	if (beacon_read(b->beacon, at, delay))
		cast(b, BEACON_TARGETS, FALSE);
	changed(b);
}

void
beacons_failed(struct beacons *b, gint64 retry)
{
	if (b == NULL)
		return;
	beacon_failed(b->beacon, retry);
	changed(b);
}

static void
answer(struct beacons *b, const char *to)
{
	struct pt_beacon m;

	beacon_put(b->beacon, &m, b->proxy->set->instance, FALSE);
	memb_cast_to(b->proxy->memb, to, (xdrproc_t)xdr_pt_beacon, &m);
}

void
beacons_heard(struct beacons *b, const void *data, gsize len)
{
	struct pt_beacon m = { 0 };

	if (b == NULL || !pt_decode_compat((xdrproc_t)xdr_pt_beacon, &m,
			     sizeof(m), data, len))
		return;
	if (pt_proto_supported(m.proto)) {
		if (beacon_heard(b->beacon, &m))
			cast(b, BEACON_TARGETS, FALSE);
		if (beacon_answers(b->beacon, &m))
			answer(b, m.from);
		changed(b);
	}
	xdr_free((xdrproc_t)xdr_pt_beacon, (char *)&m);
}

gboolean
beacons_sending(const struct beacons *b)
{
	return b != NULL && beacon_sending(b->beacon);
}

guint
beacons_wait_ms(const struct beacons *b)
{
	return (guint)(beacon_cycle(b->beacon) / G_TIME_SPAN_MILLISECOND);
}

gint64
beacons_age(const struct beacons *b)
{
	return b != NULL ? beacon_age(b->beacon) : -1;
}
