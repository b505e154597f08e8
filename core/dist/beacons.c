/*
 * Beacons, see core/beacon: a node that cannot tell how recent its position is
 * reads the log itself, as the readers may have lost it.
 */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#include "beacon.h"
#define DIST_PRIVATE
#include "dist.h"

/* Longest time from a change until it is in force. */
#define BOUND_US (6 * DIST_US)
/* Interval between reads of a node that cannot reach the log. */
#define RETRY_US (20 * DIST_US)
/* Delay of the next one if the last has not reached the end of the log. */
#define NEXT_US (100 * DIST_MS)
/* Members of its failure domain that hear from a sender of a new position. */
#define NOTIFY_MAX 8

void
dist_beacons_init(struct dist *d)
{
	const struct beacon_opts o = {
		.clock = *d->o.clock, .rand = d->o.rand, .bound = BOUND_US
	};

	d->beacon = beacon_new(&o);
}

/* Versions of beacons are positive; positions may be 0 or less. */
static gint64
version(const struct dist *d)
{
	return dist_position(d) + 1;
}

static void
cast(struct dist *d, guint targets, gboolean ask)
{
	struct pt_beacon m;

	beacon_put(d->beacon, &m, memb_self(d->o.memb)->instance, ask);
	memb_cast(d->o.memb, (xdrproc_t)xdr_pt_beacon, &m, targets);
}

void
dist_beacons_advanced(struct dist *d)
{
	if (!d->ready || version(d) <= 0)
		return;
	beacon_applied(d->beacon, version(d));
	if (!beacon_sending(d->beacon))
		return;
	memb_send_position(d->o.memb, NOTIFY_MAX);
	memb_send_position_abroad(d->o.memb);
}

void
dist_beacons_read(struct dist *d, gint64 from, gint64 start, gint64 wait,
    const struct pt_batch *b)
{
	gint64 now = pt_now(d->o.clock), took = now - start;
	gboolean held;

	if (b == NULL) {
		beacon_failed(d->beacon, now + RETRY_US);
		return;
	}
	/* More records follow, or the log is shorter than it was. */
	if (b->next < from || version(d) < b->next) {
		beacon_failed(d->beacon, now + NEXT_US);
		return;
	}
	held = took >= wait && (wait == 0 || b->n_entries == 0);
	if (beacon_read(d->beacon, held ? start + wait : start,
		held ? took - wait : -1))
		cast(d, BEACON_TARGETS, FALSE);
}

void
dist_beacon_heard(struct dist *d, const void *data, gsize len)
{
	struct pt_beacon m = { 0 }, reply;

	if (!pt_decode_compat(
		(xdrproc_t)xdr_pt_beacon, &m, sizeof(m), data, len))
		return;
	if (pt_proto_supported(m.proto)) {
		if (beacon_heard(d->beacon, &m))
			cast(d, BEACON_TARGETS, FALSE);
		if (beacon_answers(d->beacon, &m)) {
			beacon_put(d->beacon, &reply,
			    memb_self(d->o.memb)->instance, FALSE);
			memb_cast_to(d->o.memb, m.from,
			    (xdrproc_t)xdr_pt_beacon, &reply);
		}
	}
	xdr_free((xdrproc_t)xdr_pt_beacon, (char *)&m);
}

/* A sender reads the log in cycles; other nodes as no beacon comes. */
gint64
dist_beacons_tick(struct dist *d, gint64 now)
{
	guint n = memb_count(d->o.memb);
	enum beacon_action a;

	if (d->check_busy)
		return G_MAXINT64;
	if (beacon_sending(d->beacon)) {
		dist_check_log(d, (guint)(beacon_cycle(d->beacon) / DIST_MS));
		return G_MAXINT64;
	}
	a = beacon_tick(d->beacon, n);
	if (a == BEACON_ASK)
		cast(d, BEACON_ASKED, TRUE);
	if (a == BEACON_READ) {
		pt_event(d->o.events, PT_LEVEL_INFO, "position-stale",
		    "position=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
		    dist_position(d), beacon_age(d->beacon) / DIST_MS);
		dist_check_log(d, 0);
		return G_MAXINT64;
	}
	return beacon_due(d->beacon, n);
}
