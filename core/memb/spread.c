/* Sends datagrams, and gossips queued updates to random members. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#define MEMB_PRIVATE
#include "memb.h"

/* Random picks made to find a member that is not cut off. */
#define RANDOM_TRIES 4
/*
 * Largest datagram that spreads updates, in bytes.  After a mass restart every
 * round is full: 3 datagrams in 200 ms are then less than 14 KB a second, of
 * the 17 KB a second that a node may send.
 */
#define SPREAD_MAX 900
/* Above this queue length a duplicate counts as DUPLICATE_SENDS sends. */
#define BACKLOG 16
#define DUPLICATE_SENDS 2
#define XDR_STRING(s) (4 + ((strlen(s) + 3) & ~(gsize)3))

/* Encoded size of an entry, computed by the codec so that it follows pt.x. */
static gsize
update_size(const struct memb_entry *e)
{
	struct pt_member u;

	memb_to_wire(e, &u);
	return xdr_sizeof((xdrproc_t)xdr_pt_member, &u);
}

/* Sends a message with as many of the "n" updates as fit. */
void
memb_send(struct memb *m, const char *host, guint port,
    enum pt_gossip_kind kind, guint32 nonce, const char *target,
    struct memb_entry **updates, guint n)
{
	struct pt_member list[PT_GOSSIP_MAX];
	struct pt_gossip g = { 0 };
	char buf[MEMB_DGRAM_MAX];
	gsize size = 4 + 4 + 4 + 8 + 4;
	XDR x;
	guint i;

	g.proto = PT_PROTO;
	g.kind = kind;
	g.nonce = nonce;
	g.from = m->self->m.instance;
	g.target = (char *)target;
	g.position = m->o.position != NULL ? m->o.position(m->o.ctx) : 0;
	size += XDR_STRING(g.from) + XDR_STRING(g.target);
	for (i = 0; i < n && i < PT_GOSSIP_MAX; i++) {
		size += update_size(updates[i]);
		if (size > sizeof(buf))
			break;
		memb_to_wire(updates[i], &list[i]);
	}
	g.updates.updates_val = list;
	g.updates.updates_len = i;
	xdrmem_create(&x, buf, sizeof(buf), XDR_ENCODE);
	if (!xdr_pt_gossip(&x, &g))
		return;
	m->stats.dgrams_out++;
	m->stats.bytes_out += xdr_getpos(&x);
	m->o.dgram->send(m->o.dgram->ctx, host, port, buf, xdr_getpos(&x));
}

/* Returns a random present member, if possible one that is not cut off. */
struct memb_entry *
memb_random_member(struct memb *m)
{
	struct memb_entry *e = NULL;
	guint i;

	for (i = 0; i < RANDOM_TRIES && m->order->len > 0; i++) {
		e = m->order->pdata[g_rand_int_range(
		    m->o.rand, 0, (gint32)m->order->len)];
		if (e->m.health == PT_ALIVE || !memb_entry_cut_off(m, e))
			break;
	}
	return e;
}

/* Queues an update ahead of those that have been sent already. */
void
memb_queue_update(struct memb *m, struct memb_entry *e)
{
	gint64 now = pt_now(m->o.clock);

	if (TAILQ_EMPTY(&m->update_queue) && m->spread_due < now)
		m->spread_due = now;
	memb_dequeue_update(m, e);
	e->queued = TRUE;
	e->sends = 0;
	TAILQ_INSERT_HEAD(&m->update_queue, e, queue_link);
	m->n_queued++;
}

void
memb_dequeue_update(struct memb *m, struct memb_entry *e)
{
	if (!e->queued)
		return;
	TAILQ_REMOVE(&m->update_queue, e, queue_link);
	e->queued = FALSE;
	m->n_queued--;
}

/* Number of times that a node sends an update: 3 log2(n). */
static guint
send_limit(const struct memb *m)
{
	return 3 * g_bit_storage(m->order->len + 1);
}

/*
 * Handles a received duplicate of a queued update.  While more than
 * BACKLOG updates are queued, it counts as DUPLICATE_SENDS sends, so that a
 * mass restart does not fill every round for many minutes.  With a shorter
 * queue duplicates do not count: when they did, one announcement in 15 did not
 * reach one of 100 nodes.
 */
void
memb_count_duplicate(struct memb *m, struct memb_entry *e)
{
	if (!e->queued || m->n_queued <= BACKLOG)
		return;
	e->sends += DUPLICATE_SENDS;
	if (e->sends >= send_limit(m))
		memb_dequeue_update(m, e);
}

/* Sends the updates at the head of the queue, then moves them to its tail. */
static void
spread(struct memb *m)
{
	struct memb_entry *updates[PT_GOSSIP_MAX], *to[MEMB_FANOUT], *e;
	gsize size = 24 + XDR_STRING(m->self->m.instance) + XDR_STRING("");
	guint i, n = 0, targets;

	for (e = TAILQ_FIRST(&m->update_queue); e != NULL;
	     e = TAILQ_NEXT(e, queue_link)) {
		size += update_size(e);
		if (n == PT_GOSSIP_MAX || size > SPREAD_MAX)
			break;
		updates[n++] = e;
	}
	targets = MIN(MEMB_FANOUT, m->order->len);
	for (i = 0; i < targets; i++) {
		to[i] = memb_random_member(m);
		if (i > 0 && to[i] == to[i - 1])
			to[i] = memb_random_member(m);
		memb_send(m, to[i]->m.host, to[i]->m.gossip_port, PT_SPREAD, 0,
		    "", updates, n);
	}
	for (i = 0; i < n; i++) {
		e = updates[i];
		e->sends += targets;
		if (e->sends >= send_limit(m)) {
			memb_dequeue_update(m, e);
			continue;
		}
		TAILQ_REMOVE(&m->update_queue, e, queue_link);
		TAILQ_INSERT_TAIL(&m->update_queue, e, queue_link);
	}
}

gint64
memb_spread_tick(struct memb *m, gint64 now)
{
	if (TAILQ_EMPTY(&m->update_queue) || m->order->len == 0)
		return G_MAXINT64;
	if (m->spread_due <= now) {
		spread(m);
		m->spread_due = now + MEMB_SPREAD_US;
	}
	return TAILQ_EMPTY(&m->update_queue) ? G_MAXINT64 : m->spread_due;
}

static void
cast(struct memb *m, const struct memb_entry *to, xdrproc_t proc, void *message)
{
	char buf[MEMB_DGRAM_MAX];
	XDR x;

	xdrmem_create(&x, buf, sizeof(buf), XDR_ENCODE);
	if (!proc(&x, message))
		return;
	m->stats.dgrams_out++;
	m->stats.bytes_out += xdr_getpos(&x);
	m->o.dgram->send(m->o.dgram->ctx, to->m.host, to->m.gossip_port, buf,
	    xdr_getpos(&x));
}

void
memb_cast(struct memb *m, xdrproc_t proc, void *message, guint targets)
{
	guint remaining = m->order->len, i;

	for (i = 0; i < m->order->len && targets > 0; i++, remaining--)
		/* Selection sampling: each member is equally likely. */
		if (g_rand_double(m->o.rand) * remaining < targets) {
			cast(m, m->order->pdata[i], proc, message);
			targets--;
		}
}

void
memb_cast_to(
    struct memb *m, const char *instance, xdrproc_t proc, void *message)
{
	const struct memb_entry *e = memb_lookup(m, instance);

	if (e != NULL && e != m->self)
		cast(m, e, proc, message);
}
