/* Membership: construction, received datagrams, announcements, iteration. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#define MEMB_PRIVATE
#include "memb.h"

struct memb *
memb_new(const struct memb_opts *o)
{
	struct memb *m = g_new0(struct memb, 1);
	struct pt_member self = *o->self;
	gint64 now = pt_now(o->clock);

	m->o = *o;
	m->o.self = NULL;
	m->o.changed = NULL; /* not called before memb_new() returns */
	m->refs = 1;
	m->nonce = g_rand_int(o->rand);
	memb_table_init(m);
	self.seq = 1;
	memb_set_self(m, &self);
	m->o.changed = o->changed;
	m->probe_due = now + g_rand_double(o->rand) * MEMB_PROBE_PERIOD_US;
	m->dead_due = now + g_rand_double(o->rand) * MEMB_DEAD_PROBE_US;
	m->exchange_due = now + g_rand_double(o->rand) * MEMB_EXCHANGE_US;
	m->exchange_last = now - MEMB_EXCHANGE_GAP_US;
	m->exchange_interval = MEMB_EXCHANGE_US;
	m->sweep_due = now + MEMB_SWEEP_US;
	m->due = now;
	return m;
}

void
memb_free(struct memb *m)
{
	if (m == NULL)
		return;
	m->closed = TRUE;
	memb_unref(m);
}

/* Drops a reference; calls in progress hold one each. */
void
memb_unref(struct memb *m)
{
	guint i;

	if (--m->refs > 0)
		return;
	memb_table_free(m);
	for (i = 0; i < m->n_seeds; i++)
		g_free(m->seeds[i].host);
	for (i = 0; i < MEMB_RELAYS; i++)
		g_free(m->relays[i].origin);
	g_free(m->exchange_peer);
	g_free(m->newest_from);
	g_free(m);
}

gint64
memb_tick(struct memb *m)
{
	gint64 now = pt_now(m->o.clock), due;

	if (now - m->due > MEMB_PAUSE_US)
		memb_handle_pause(m, now, now - m->due);
	due = memb_probe_tick(m, now);
	due = MIN(due, memb_join_tick(m, now));
	due = MIN(due, memb_spread_tick(m, now));
	m->due = due;
	return due;
}

static void
record_position(struct memb *m, const char *from, gint64 position)
{
	struct memb_entry *e = memb_lookup(m, from);

	if (e == NULL || e == m->self)
		return;
	e->m.position = MAX(e->m.position, position);
	if (position <= m->newest_position)
		return;
	m->newest_position = position;
	if (g_strcmp0(m->newest_from, from) != 0) {
		g_free(m->newest_from);
		m->newest_from = g_strdup(from);
	}
}

static void
handle_gossip(struct memb *m, const struct pt_gossip *g)
{
	gint64 inc = m->self->m.incarnation;
	gboolean self_outdated = FALSE;
	guint i;

	for (i = 0; i < g->updates.updates_len; i++) {
		const struct pt_member *u = &g->updates.updates_val[i];

		if (strcmp(u->instance, m->self->m.instance) == 0 &&
		    (u->incarnation < inc || u->health != PT_ALIVE))
			self_outdated = TRUE;
		memb_merge(m, u, TRUE);
	}
	record_position(m, g->from, g->position);
	switch (g->kind) {
	case PT_PING:
		memb_handle_ping(m, g, self_outdated);
		break;
	case PT_ACK:
		memb_handle_ack(m, g);
		break;
	case PT_PING_REQ:
		memb_handle_ping_req(m, g);
		break;
	case PT_SPREAD:
		if (m->o.take_over != NULL &&
		    (strcmp(g->target, MEMB_TAKE_OVER) == 0 ||
			strcmp(g->target, MEMB_TOOK_OVER) == 0))
			m->o.take_over(m->o.ctx, g->from,
			    strcmp(g->target, MEMB_TOOK_OVER) == 0);
		break;
	default:
		m->stats.malformed++;
	}
}

/* "proto" and "kind" come first in every datagram. */
static enum pt_gossip_kind
kind_of(const void *data, gsize len)
{
	guint32 kind = 0;

	if (len >= 2 * sizeof(kind))
		memcpy(&kind, (const char *)data + sizeof(kind), sizeof(kind));
	return (enum pt_gossip_kind)GUINT32_FROM_BE(kind);
}

void
memb_input(struct memb *m, const void *data, gsize len)
{
	struct pt_gossip g = { 0 };

	m->stats.dgrams_in++;
	m->stats.bytes_in += len;
	if (kind_of(data, len) >= PT_SUSPECTS && m->o.message != NULL) {
		m->o.message(m->o.ctx, kind_of(data, len), data, len);
		return;
	}
	if (len > MEMB_DGRAM_MAX || !pt_decode_compat((xdrproc_t)xdr_pt_gossip,
					&g, sizeof(g), data, len)) {
		m->stats.malformed++;
		return;
	}
	if (!pt_proto_supported(g.proto))
		m->stats.malformed++;
	else if (strcmp(g.from, m->self->m.instance) != 0)
		handle_gossip(m, &g);
	xdr_free((xdrproc_t)xdr_pt_gossip, (char *)&g);
}

static void
announce(struct memb *m, enum pt_state state, const char *service, guint slots)
{
	struct pt_member u;
	char *name = g_strdup(service);
	char *host = g_strdup(m->self->m.host);

	memb_to_wire(m->self, &u);
	u.host = host;
	u.service = name;
	u.state = state;
	u.slots = (int)MIN(slots, G_MAXUINT16);
	u.seq++;
	memb_set_self(m, &u);
	g_free(name);
	g_free(host);
}

void
memb_announce(
    struct memb *m, enum pt_state state, const char *service, guint slots)
{
	const struct memb_member *me = &m->self->m;

	if (m->leaving || (me->state == state && me->slots == slots &&
			      strcmp(me->service, service) == 0))
		return;
	announce(m, state, service, slots);
}

void
memb_leave(struct memb *m)
{
	if (m->leaving)
		return;
	m->leaving = TRUE;
	announce(m, PT_LEFT, m->self->m.service, m->self->m.slots);
	memb_spread_tick(m, pt_now(m->o.clock));
}

gboolean
memb_joined(const struct memb *m)
{
	return m->joined;
}

const struct memb_member *
memb_self(const struct memb *m)
{
	return &m->self->m;
}

const struct memb_member *
memb_find(const struct memb *m, const char *instance)
{
	const struct memb_entry *e = memb_lookup(m, instance);

	return e == NULL ? NULL : &e->m;
}

/* The public part of an entry is its first member. */
static const struct memb_member *
member_of(const struct memb_entry *e)
{
	return e == NULL ? NULL : &e->m;
}

static const struct memb_entry *
entry_of(const struct memb_member *m)
{
	return (const struct memb_entry *)m;
}

const struct memb_member *
memb_next(const struct memb *m, const struct memb_member *prev)
{
	return member_of(prev == NULL ? LIST_FIRST(&m->all)
				      : LIST_NEXT(entry_of(prev), all));
}

const struct memb_member *
memb_next_in_service(
    const struct memb *m, const char *service, const struct memb_member *prev)
{
	const struct memb_group *g;

	if (prev != NULL)
		return member_of(LIST_NEXT(entry_of(prev), in_service));
	g = g_hash_table_lookup(m->services, service);
	return g == NULL ? NULL : member_of(LIST_FIRST(&g->members));
}

const struct memb_member *
memb_next_in_domain(
    const struct memb *m, const char *domain, const struct memb_member *prev)
{
	const struct memb_group *g;

	if (prev != NULL)
		return member_of(LIST_NEXT(entry_of(prev), in_domain));
	g = g_hash_table_lookup(m->domains, domain);
	return g == NULL ? NULL : member_of(LIST_FIRST(&g->members));
}

gboolean
memb_reachable(const struct memb *m, const struct memb_member *x)
{
	return memb_present(x) &&
	       (x->health != PT_SUSPECT || !memb_entry_cut_off(m, entry_of(x)));
}

gboolean
memb_cut_off(const struct memb *m, const char *domain)
{
	const struct memb_member *x = memb_next_in_domain(m, domain, NULL);

	return x != NULL && memb_entry_cut_off(m, entry_of(x));
}

guint
memb_count(const struct memb *m)
{
	return m->order->len + (memb_present(&m->self->m) ? 1 : 0);
}

gint64
memb_newest_position(const struct memb *m, const char **instance)
{
	if (instance != NULL)
		*instance = m->newest_from;
	return m->newest_position;
}

const struct memb_stats *
memb_stats(const struct memb *m)
{
	return &m->stats;
}
