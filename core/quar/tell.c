/* What nodes tell each other of suspected requests. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#define QUAR_PRIVATE
#include "quar.h"

/* An end that this node has seen is told to that many nodes at once. */
#define FIRST_TARGETS 16
/* News are then told to TARGETS nodes in each of ROUNDS. */
#define SPREAD_US (200 * G_TIME_SPAN_MILLISECOND)
#define TARGETS 3
#define ROUNDS 12
/*
 * Interval at which the newest entries are sent to one node: it may have
 * missed the news.
 */
#define NEWEST_US G_TIME_SPAN_SECOND

static gboolean
merge(struct quar *q, const struct pt_suspect *s)
{
	struct quar_entry *e = quar_find(q, s->digest);
	gboolean refused = e != NULL && e->n_ends >= QUAR_DOUBT;
	guint i;

	if (e != NULL && s->generation < e->generation)
		return FALSE;
	e = quar_entry(q, s->digest);
	if (s->generation > e->generation) {
		quar_forget(q, e, s->generation);
		e->sends = 1;
	}
	for (i = 0; i < s->ends.ends_len; i++)
		if (quar_add_end(q, e, s->ends.ends_val[i]))
			e->sends = 1; /* only the first node tells many */
	/* The other node does not know of the answer. */
	if (e->n_ends > 0 && quar_proved(q, e->digest))
		quar_forget(q, e, e->generation + 1);
	return !refused && e->n_ends >= QUAR_DOUBT;
}

gboolean
quar_merge(struct quar *q, const struct pt_suspect *list, guint n)
{
	gboolean refuses = FALSE;
	guint i;

	for (i = 0; i < n; i++)
		refuses |= merge(q, &list[i]);
	return refuses;
}

static void
put(struct quar_entry *e, struct pt_suspect *s)
{
	memcpy(s->digest, e->digest, PT_ID_LEN);
	s->generation = e->generation;
	s->ends.ends_len = e->n_ends;
	s->ends.ends_val = e->ends;
}

/* Entries that were part of fewer rounds than "rounds", the newest first. */
static guint
news(struct quar *q, guint rounds, struct pt_suspect *list)
{
	struct quar_entry *e = TAILQ_LAST(&q->entries, quar_entries);
	guint n = 0;

	for (; e != NULL && n < PT_SUSPECTS_MAX;
	     e = TAILQ_PREV(e, quar_entries, link)) {
		if (e->sends >= rounds)
			continue;
		e->sends++;
		put(e, &list[n++]);
	}
	return n;
}

static gboolean
has_news(const struct quar *q)
{
	const struct quar_entry *e = TAILQ_FIRST(&q->entries);

	while (e != NULL && e->sends >= 1 + ROUNDS)
		e = TAILQ_NEXT(e, link);
	return e != NULL;
}

static void
send_list(struct quar *q, struct pt_suspect *list, guint n, guint targets)
{
	if (n > 0 && q->o.send != NULL)
		q->o.send(q->o.ctx, list, n, targets);
}

guint
quar_newest(struct quar *q, struct pt_suspect *list, guint max)
{
	struct quar_entry *e;
	guint n = 0;

	quar_expire(q);
	for (e = TAILQ_LAST(&q->entries, quar_entries); e != NULL && n < max;
	     e = TAILQ_PREV(e, quar_entries, link))
		put(e, &list[n++]);
	return n;
}

gint64
quar_tick(struct quar *q)
{
	struct pt_suspect list[PT_SUSPECTS_MAX];
	gint64 now = pt_now(&q->o.clock);

	send_list(q, list, news(q, 1, list), FIRST_TARGETS);
	if (now >= q->spread_due) {
		send_list(q, list, news(q, 1 + ROUNDS, list), TARGETS);
		q->spread_due = now + SPREAD_US;
	}
	if (now >= q->newest_due) {
		send_list(q, list, quar_newest(q, list, PT_SUSPECTS_MAX), 1);
		q->newest_due = now + NEWEST_US;
	}
	if (TAILQ_EMPTY(&q->entries))
		return G_MAXINT64;
	return has_news(q) ? MIN(q->spread_due, q->newest_due) : q->newest_due;
}

void
quar_message(
    struct pt_suspects *m, const char *from, struct pt_suspect *list, guint n)
{
	m->proto = PT_PROTO;
	m->kind = PT_SUSPECTS;
	m->from = (char *)from;
	m->list.list_val = list;
	m->list.list_len = n;
}

gboolean
quar_input(struct quar *q, const void *data, gsize len)
{
	struct pt_suspects m = { 0 };
	gboolean refuses = FALSE;

	if (!pt_decode_compat(
		(xdrproc_t)xdr_pt_suspects, &m, sizeof(m), data, len))
		return FALSE;
	if (pt_proto_supported(m.proto))
		refuses = quar_merge(q, m.list.list_val, m.list.list_len);
	xdr_free((xdrproc_t)xdr_pt_suspects, (char *)&m);
	return refuses;
}
