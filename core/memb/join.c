/* Joining through seed addresses, and anti-entropy over PT_MEMBERS. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#define MEMB_PRIVATE
#include "memb.h"

/*
 * Upper limits of the random delays (full jitter) before a seed is contacted
 * first and, while no other member is present, again.
 */
#define SEED_FIRST_US (200 * MEMB_MS)
#define SEED_RETRY_US (500 * MEMB_MS)
#define SEED_RETRY_MAX_US (5 * MEMB_US)
/* Most responses in one exchange: enough for MEMB_MAX members. */
#define PAGES_MAX (MEMB_MAX / PT_MEMBERS_MAX + PT_BUCKETS)

struct exchange {
	struct memb *m;
	char *host;
	guint port;
	guint pages;
	guint64 changes;
	gboolean periodic; /* sets m->exchanging: one runs at a time */
};

static void exchange_call(struct exchange *, int start);

static void
exchange_free(struct exchange *x)
{
	if (x->periodic)
		x->m->exchanging = FALSE;
	memb_unref(x->m);
	g_free(x->host);
	g_free(x);
}

static gint64
next_exchange(const struct memb *m)
{
	return pt_now(m->o.clock) +
	       m->exchange_interval * (0.75 + g_rand_double(m->o.rand) / 2);
}

static void
exchange_done(void *arg, void *res, const GError *err)
{
	struct exchange *x = arg;
	const struct pt_members_res *r = res;
	struct memb *m = x->m;
	guint64 before = m->stats.updates;
	guint i;

	if (m->closed || err != NULL || r == NULL) {
		exchange_free(x);
		return;
	}
	/* Entries received while joining are known to others: no gossip. */
	for (i = 0; i < r->members.members_len; i++)
		memb_merge(m, &r->members.members_val[i], m->joined);
	x->changes += m->stats.updates - before;
	if (r->next > 0 && r->next < PT_BUCKETS && ++x->pages < PAGES_MAX) {
		exchange_call(x, r->next);
		return;
	}
	m->joined = TRUE;
	/*
	 * If this exchange changed the table, this peer may lack further
	 * changes, so the next exchange follows soon.
	 */
	if (x->changes > 0)
		m->exchange_interval = MEMB_EXCHANGE_MIN_US;
	else
		m->exchange_interval =
		    MIN(m->exchange_interval * 2, MEMB_EXCHANGE_US);
	m->exchange_due = MIN(m->exchange_due, next_exchange(m));
	exchange_free(x);
}

static void
exchange_call(struct exchange *x, int start)
{
	struct memb *m = x->m;
	struct pt_members_args a = { 0 };
	quad_t digests[PT_BUCKETS];
	guint i;

	for (i = 0; i < PT_BUCKETS; i++)
		digests[i] = (quad_t)m->buckets[i];
	a.proto = PT_PROTO;
	a.from = m->self->m.instance;
	a.buckets.buckets_len = PT_BUCKETS;
	a.buckets.buckets_val = digests;
	a.start = start;
	m->stats.exchanges++;
	m->o.rpc->call(m->o.rpc->ctx, x->host, x->port, PT_MEMBERS, &a,
	    MEMB_RPC_TIMEOUT_MS, exchange_done, x);
}

static void
exchange(struct memb *m, const char *host, guint port, gboolean periodic)
{
	struct exchange *x = g_new0(struct exchange, 1);

	m->refs++;
	x->m = m;
	x->host = g_strdup(host);
	x->port = port;
	x->periodic = periodic;
	if (periodic)
		m->exchanging = TRUE;
	exchange_call(x, 0);
}

/* Schedules an exchange with this member within the given time. */
void
memb_schedule_exchange(
    struct memb *m, const struct memb_entry *e, gint64 within_us)
{
	gint64 now = pt_now(m->o.clock), due;

	if (m->exchange_peer != NULL)
		return;
	due = now + g_rand_double(m->o.rand) * within_us;
	due = MAX(due, m->exchange_last + MEMB_EXCHANGE_GAP_US);
	if (due >= m->exchange_due)
		return;
	m->exchange_peer = g_strdup(e->m.instance);
	m->exchange_due = due;
}

static void
exchange_next(struct memb *m, gint64 now)
{
	struct memb_entry *e = NULL;

	m->exchange_due = next_exchange(m);
	if (m->exchange_peer != NULL)
		e = memb_lookup(m, m->exchange_peer);
	g_clear_pointer(&m->exchange_peer, g_free);
	if (e == NULL || e == m->self || !memb_present(&e->m))
		e = memb_random_member(m);
	if (e == NULL || m->exchanging)
		return;
	m->exchange_last = now;
	exchange(m, e->m.host, e->m.rpc_port, TRUE);
}

/*
 * Selects the buckets of a response: from "start" on, those whose digests
 * differ, as many as fit.  Returns the bucket at which the next response
 * starts, -1 after the last.
 */
static int
choose_buckets(const struct memb *m, const struct pt_members_args *a,
    gboolean include[PT_BUCKETS])
{
	guint count[PT_BUCKETS] = { 0 }, total = 0;
	const struct memb_entry *e;
	guint i;

	for (e = LIST_FIRST(&m->all); e != NULL; e = LIST_NEXT(e, all))
		count[e->bucket]++;
	for (i = CLAMP(a->start, 0, PT_BUCKETS); i < PT_BUCKETS; i++) {
		if (a->buckets.buckets_len == PT_BUCKETS &&
		    (guint64)a->buckets.buckets_val[i] == m->buckets[i])
			continue;
		if (total > 0 && total + count[i] > PT_MEMBERS_MAX)
			return (int)i;
		include[i] = TRUE;
		total += count[i];
	}
	return -1;
}

void
memb_handle_members(
    struct memb *m, const struct pt_members_args *a, struct pt_members_res *res)
{
	gboolean include[PT_BUCKETS] = { FALSE };
	struct pt_member *list = g_new0(struct pt_member, PT_MEMBERS_MAX);
	struct memb_entry *e;
	guint n = 0;

	memset(res, 0, sizeof(*res));
	res->proto = PT_PROTO;
	res->next = choose_buckets(m, a, include);
	for (e = LIST_FIRST(&m->all); e != NULL; e = LIST_NEXT(e, all)) {
		if (include[e->bucket] && n < PT_MEMBERS_MAX)
			memb_to_wire(e, &list[n++]);
	}
	res->members.members_val = list;
	res->members.members_len = n;
	e = memb_lookup(m, a->from);
	/* This response updates only the peer: exchange with it in return. */
	if (n > 0 && a->start == 0 && e != NULL && memb_present(&e->m))
		memb_schedule_exchange(m, e, MEMB_US);
}

void
memb_members_clear(struct pt_members_res *res)
{
	g_clear_pointer(&res->members.members_val, g_free);
	res->members.members_len = 0;
}

static gboolean
seed_is_present(const struct memb *m, const char *host, guint port)
{
	const struct memb_entry *e;

	for (e = LIST_FIRST(&m->all); e != NULL; e = LIST_NEXT(e, all)) {
		if (e->m.gossip_port == port && memb_present(&e->m) &&
		    strcmp(e->m.host, host) == 0)
			return TRUE;
	}
	return FALSE;
}

void
memb_add_seed(
    struct memb *m, const char *host, guint gossip_port, guint rpc_port)
{
	struct memb_seed_addr *s = NULL;
	guint i;

	if (!g_hostname_is_ip_address(host) || gossip_port == 0 ||
	    gossip_port > G_MAXUINT16 || rpc_port == 0 ||
	    rpc_port > G_MAXUINT16)
		return;
	for (i = 0; i < m->n_seeds; i++) {
		s = &m->seeds[i];
		if (s->gossip_port == gossip_port && strcmp(s->host, host) == 0)
			break;
	}
	if (i == m->n_seeds) {
		/* A full list: replace a random address. */
		if (m->n_seeds == MEMB_SEEDS_MAX)
			i = g_rand_int_range(m->o.rand, 0, MEMB_SEEDS_MAX);
		else
			m->n_seeds++;
		s = &m->seeds[i];
		g_free(s->host);
		s->host = g_strdup(host);
		s->gossip_port = gossip_port;
	}
	s->rpc_port = rpc_port;
	s->tries = 0;
	s->due = pt_now(m->o.clock) + g_rand_double(m->o.rand) * SEED_FIRST_US;
}

static void
seed_try(struct memb *m, struct memb_seed_addr *s, gint64 now)
{
	gint64 max = SEED_RETRY_US << MIN(s->tries, 4);

	/* The seed is contacted again only once no other member is present. */
	s->due = G_MAXINT64;
	if (seed_is_present(m, s->host, s->gossip_port))
		return;
	s->tries++;
	s->due = now + MEMB_MS +
		 g_rand_double(m->o.rand) * MIN(max, SEED_RETRY_MAX_US);
	if (m->order->len > 0 && s->tries > 1) {
		s->due = G_MAXINT64;
		return;
	}
	memb_send(m, s->host, s->gossip_port, PT_SPREAD, 0, "", &m->self, 1);
	exchange(m, s->host, s->rpc_port, FALSE);
}

gint64
memb_join_tick(struct memb *m, gint64 now)
{
	struct memb_seed_addr *s;
	gint64 due;
	guint i;

	if (m->exchange_due <= now)
		exchange_next(m, now);
	due = m->exchange_due;
	for (i = 0; i < m->n_seeds; i++) {
		s = &m->seeds[i];
		if (s->due == G_MAXINT64 && m->order->len == 0)
			s->due =
			    now + g_rand_double(m->o.rand) * SEED_RETRY_MAX_US;
		if (s->due <= now)
			seed_try(m, s, now);
		due = MIN(due, s->due);
	}
	return due;
}
