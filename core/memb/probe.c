/* Probes of members, direct and indirect, and expiry of suspicions. */
#include <glib.h>
#include <rpc/rpc.h>
#include <math.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#define MEMB_PRIVATE
#include "memb.h"

/* Interval between checks for expired suspicions, while there are suspects. */
#define EXPIRY_CHECK_US (100 * MEMB_MS)

gint64
memb_suspicion_us(guint n)
{
	return MEMB_SUSPICION_US * MAX(1.0, log10(MAX(n, 1)));
}

static guint32
next_nonce(struct memb *m)
{
	if (++m->nonce == 0)
		m->nonce = 1;
	return m->nonce;
}

/*
 * Pings a member.  If this node holds it suspect or dead, the ping carries that
 * entry, so that the member can refute it, and this node's own; otherwise it
 * carries this node's own entry until the member is known to have it.
 */
static void
ping(struct memb *m, struct memb_entry *e, guint32 nonce)
{
	struct memb_entry *ups[2];
	guint n = 0;

	if (e->m.health != PT_ALIVE)
		ups[n++] = e;
	if (!e->has_self || n > 0)
		ups[n++] = m->self;
	memb_send(m, e->m.host, e->m.gossip_port, PT_PING, nonce, e->m.instance,
	    ups, n);
}

static void
probe_acked(struct memb *m, struct memb_entry *e)
{
	e->has_self = TRUE;
	if (m->probe == e)
		m->probe = NULL;
}

/* "self_outdated": the ping carried a wrong or old entry of this node. */
void
memb_handle_ping(
    struct memb *m, const struct pt_gossip *g, gboolean self_outdated)
{
	struct memb_entry *e = memb_lookup(m, g->from), *ups[2];
	guint n = 0;

	/* The ping may be meant for a former instance at this address. */
	if (e == NULL || strcmp(g->target, m->self->m.instance) != 0)
		return;
	e->has_self = TRUE;
	if (self_outdated)
		ups[n++] = m->self;
	if (e->m.health != PT_ALIVE || e->m.state == PT_LEFT)
		ups[n++] = e;
	memb_send(m, e->m.host, e->m.gossip_port, PT_ACK, g->nonce,
	    m->self->m.instance, ups, n);
}

void
memb_handle_ack(struct memb *m, const struct pt_gossip *g)
{
	struct memb_entry *e = memb_lookup(m, g->target), *origin;
	struct memb_relay *r;
	guint i;

	if (e == NULL)
		return;
	if (m->probe == e && g->nonce == m->probe_nonce) {
		probe_acked(m, e);
		return;
	}
	for (i = 0; i < MEMB_RELAYS; i++) {
		r = &m->relays[i];
		if (r->nonce == 0 || r->nonce != g->nonce)
			continue;
		r->nonce = 0;
		origin = memb_lookup(m, r->origin);
		if (origin != NULL)
			memb_send(m, origin->m.host, origin->m.gossip_port,
			    PT_ACK, r->origin_nonce, g->target, &e,
			    e->m.health != PT_ALIVE);
		return;
	}
}

void
memb_handle_ping_req(struct memb *m, const struct pt_gossip *g)
{
	struct memb_relay *r = &m->relays[m->next_relay++ % MEMB_RELAYS];
	struct memb_entry *e = memb_lookup(m, g->target);

	if (e == NULL || e == m->self)
		return;
	g_free(r->origin);
	r->origin = g_strdup(g->from);
	r->origin_nonce = g->nonce;
	r->nonce = next_nonce(m);
	ping(m, e, r->nonce);
}

static void
shuffle(struct memb *m)
{
	struct memb_entry *a, *b;
	guint i, j;

	for (i = m->order->len; i > 1; i--) {
		j = g_rand_int_range(m->o.rand, 0, (gint32)i);
		a = m->order->pdata[i - 1];
		b = m->order->pdata[j];
		m->order->pdata[i - 1] = b;
		m->order->pdata[j] = a;
		b->order_index = i - 1;
		a->order_index = j;
	}
	m->next_order = 0;
}

static void
probe_start(struct memb *m, struct memb_entry *e, gint64 now)
{
	m->probe = e;
	m->probe_nonce = next_nonce(m);
	m->probe_start = now;
	m->probe_indirect = FALSE;
	m->probe_due = now + MEMB_PROBE_PERIOD_US;
	ping(m, e, m->probe_nonce);
}

/*
 * Requests probes of the member from others, unless it is a suspect, which has
 * to refute the suspicion itself.
 */
static void
probe_indirect(struct memb *m)
{
	struct memb_entry *e = m->probe, *via;
	guint i;

	m->probe_indirect = TRUE;
	if (e->m.health != PT_ALIVE || m->order->len < 2)
		return;
	for (i = 0; i < MEMB_INDIRECT_PROBES; i++) {
		via = memb_random_member(m);
		if (via == e)
			via = memb_random_member(m);
		if (via != e)
			memb_send(m, via->m.host, via->m.gossip_port,
			    PT_PING_REQ, m->probe_nonce, e->m.instance, NULL,
			    0);
	}
}

/* The probe period has ended without an ack. */
static void
probe_failed(struct memb *m)
{
	struct memb_entry *e = m->probe;

	m->probe = NULL;
	if (e->m.health != PT_ALIVE)
		return;
	m->stats.suspected++;
	pt_event(m->o.events, PT_LEVEL_INFO, "member-suspect", "instance=%s",
	    e->m.instance);
	memb_set_health(m, e, PT_SUSPECT);
	memb_send(m, e->m.host, e->m.gossip_port, PT_SPREAD, 0, "", &e, 1);
}

void
memb_report_failure(struct memb *m, const char *instance)
{
	struct memb_entry *e = memb_lookup(m, instance);

	if (e == NULL || e == m->self || e->m.health != PT_ALIVE ||
	    m->probe == e || !memb_present(&e->m))
		return;
	probe_start(m, e, pt_now(m->o.clock));
}

static void
probe_next(struct memb *m, gint64 now)
{
	if (m->order->len == 0) {
		m->probe_due = now + MEMB_PROBE_PERIOD_US;
		return;
	}
	if (m->next_order >= m->order->len)
		shuffle(m);
	probe_start(m, m->order->pdata[m->next_order++], now);
}

/*
 * Declares members dead that have been suspect for the suspicion time, but not
 * in a failure domain that is cut off.
 */
static void
expire(struct memb *m, gint64 now)
{
	gint64 limit = memb_suspicion_us(m->order->len + 1);
	struct memb_entry *e;
	guint i;

	for (i = m->order->len; i > 0; i--) {
		e = m->order->pdata[i - 1];
		if (e->m.health != PT_SUSPECT)
			continue;
		if (memb_entry_cut_off(m, e))
			e->domain->cut_off_at = now;
		/*
		 * Once the domain is reachable again, suspects get the whole
		 * suspicion time to refute.
		 */
		if (now - MAX(e->since, e->domain->cut_off_at) < limit)
			continue;
		m->stats.expired++;
		pt_event(m->o.events, PT_LEVEL_INFO, "member-dead",
		    "instance=%s", e->m.instance);
		memb_set_health(m, e, PT_DEAD);
	}
}

/* Probes a random dead member, so that a healed partition is discovered. */
static void
probe_dead(struct memb *m)
{
	struct memb_entry *e, *pick = NULL;
	guint n = 0;

	for (e = LIST_FIRST(&m->all); e != NULL; e = LIST_NEXT(e, all)) {
		if (e->m.health != PT_DEAD || e->m.state == PT_LEFT)
			continue;
		if (g_rand_int_range(m->o.rand, 0, (gint32)++n) == 0)
			pick = e;
	}
	if (pick != NULL)
		ping(m, pick, next_nonce(m));
}

/*
 * Removes members that have been dead or left, or suspect in a domain that is
 * cut off, for the whole retention time.
 */
static void
sweep(struct memb *m, gint64 now)
{
	struct memb_entry *e, *next;

	for (e = LIST_FIRST(&m->all); e != NULL; e = next) {
		next = LIST_NEXT(e, all);
		if (e == m->self || now - e->since < MEMB_RETENTION_US)
			continue;
		if (e->m.health == PT_ALIVE && e->m.state != PT_LEFT)
			continue;
		memb_remove(m, e);
	}
}

/*
 * Handles a pause of this process.  Acks missed meanwhile are no evidence
 * against other members: the probe in progress is dropped, and suspicions are
 * extended by the length of the pause.
 */
void
memb_handle_pause(struct memb *m, gint64 now, gint64 gap)
{
	struct memb_entry *e;
	guint i;

	m->probe = NULL;
	m->probe_due = now;
	for (i = 0; i < m->order->len; i++) {
		e = m->order->pdata[i];
		if (e->m.health == PT_SUSPECT)
			e->since = MIN(now, e->since + gap);
	}
}

gint64
memb_probe_tick(struct memb *m, gint64 now)
{
	gint64 due;

	if (m->probe != NULL && !m->probe_indirect &&
	    now - m->probe_start >= MEMB_ACK_TIMEOUT_US)
		probe_indirect(m);
	if (m->probe_due <= now) {
		if (m->probe != NULL)
			probe_failed(m);
		probe_next(m, now);
	}
	if (m->n_suspects > 0)
		expire(m, now);
	if (m->dead_due <= now) {
		m->dead_due = now + MEMB_DEAD_PROBE_US;
		probe_dead(m);
	}
	if (m->sweep_due <= now) {
		m->sweep_due = now + MEMB_SWEEP_US;
		sweep(m, now);
	}
	due = MIN(m->probe_due, MIN(m->dead_due, m->sweep_due));
	if (m->probe != NULL && !m->probe_indirect)
		due = MIN(due, m->probe_start + MEMB_ACK_TIMEOUT_US);
	if (m->n_suspects > 0)
		due = MIN(due, now + EXPIRY_CHECK_US);
	return due;
}
