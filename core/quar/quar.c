#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#define QUAR_PRIVATE
#include "quar.h"

/*
 * A loss counts if the server ends within this time of it without an answer in
 * between: one that falls silent is found out by its next process.
 */
#define LOSS_US (10 * G_TIME_SPAN_SECOND)
/* Answers that were sent before a loss may be read up to this long after it. */
#define LATE_ANSWER_US (100 * G_TIME_SPAN_MILLISECOND)
/* Losses that are reported this long after an end belong to it. */
#define END_US G_TIME_SPAN_SECOND
/* A request that was answered within this time is not suspected. */
#define PROVED_US (60 * G_TIME_SPAN_SECOND)
/*
 * Bytes at the start and at the end of a body that the digest covers, besides
 * its length: bodies of any size cost little.
 */
#define BODY_PART 4096

static guint64
key_of(const void *digest)
{
	guint64 k;

	memcpy(&k, digest, sizeof(k));
	return k;
}

static guint
digest_hash(gconstpointer p)
{
	return (guint)key_of(p);
}

static gboolean
digest_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, PT_ID_LEN) == 0;
}

static void
add_text(GChecksum *sum, const char *s)
{
	if (s != NULL)
		g_checksum_update(sum, (const guchar *)s, (gssize)strlen(s));
	g_checksum_update(sum, (const guchar *)"", 1);
}

static void
add_body(GChecksum *sum, const guchar *p, gsize len)
{
	gsize head = MIN(len, BODY_PART), tail = MIN(len - head, BODY_PART);

	if (head > 0)
		g_checksum_update(sum, p, (gssize)head);
	if (tail > 0)
		g_checksum_update(sum, p + len - tail, (gssize)tail);
}

void
quar_digest(const struct quar_request *r, pt_id out)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint64 len = GUINT64_TO_BE(r->len);
	guint8 whole[PT_DIGEST_LEN];
	gsize n = sizeof(whole);

	add_text(sum, r->caller);
	add_text(sum, r->method);
	add_text(sum, r->host);
	add_text(sum, r->target);
	g_checksum_update(sum, (const guchar *)&len, sizeof(len));
	add_body(sum, r->body, r->len);
	g_checksum_get_digest(sum, whole, &n);
	g_checksum_free(sum);
	memcpy(out, whole, PT_ID_LEN);
}

void
quar_digest_text(const pt_id digest, char out[QUAR_TEXT])
{
	guint i;

	for (i = 0; i < PT_ID_LEN; i++)
		g_snprintf(out + 2 * i, 3, "%02x", (guint)(guint8)digest[i]);
}

gboolean
quar_digest_parse(const char *s, pt_id out)
{
	guint i;

	if (strlen(s) != 2 * PT_ID_LEN)
		return FALSE;
	for (i = 0; i < PT_ID_LEN; i++) {
		if (!g_ascii_isxdigit(s[2 * i]) ||
		    !g_ascii_isxdigit(s[2 * i + 1]))
			return FALSE;
		out[i] = (char)(g_ascii_xdigit_value(s[2 * i]) << 4 |
				g_ascii_xdigit_value(s[2 * i + 1]));
	}
	return TRUE;
}

struct quar *
quar_new(const struct quar_opts *o)
{
	struct quar *q = g_new0(struct quar, 1);

	q->o = *o;
	q->by_digest = g_hash_table_new(digest_hash, digest_equal);
	TAILQ_INIT(&q->entries);
	return q;
}

static void
entry_free(struct quar *q, struct quar_entry *e)
{
	q->n_suspected -= e->n_ends > 0;
	g_hash_table_remove(q->by_digest, e->digest);
	TAILQ_REMOVE(&q->entries, e, link);
	g_free(e);
}

void
quar_free(struct quar *q)
{
	struct quar_entry *e;

	if (q == NULL)
		return;
	while ((e = TAILQ_FIRST(&q->entries)) != NULL)
		entry_free(q, e);
	g_hash_table_unref(q->by_digest);
	g_free(q);
}

struct quar_entry *
quar_find(const struct quar *q, const void *digest)
{
	return g_hash_table_lookup(q->by_digest, digest);
}

static gint64
now_of(const struct quar *q)
{
	return pt_now(&q->o.clock);
}

static void
touch(struct quar *q, struct quar_entry *e)
{
	e->at = now_of(q);
	TAILQ_REMOVE(&q->entries, e, link);
	TAILQ_INSERT_TAIL(&q->entries, e, link);
}

/* The oldest entry, but for refused requests as long as there are others. */
static void
evict(struct quar *q)
{
	struct quar_entry *oldest = TAILQ_FIRST(&q->entries), *e = oldest;

	while (e != NULL && e->n_ends >= QUAR_ENDS)
		e = TAILQ_NEXT(e, link);
	if (e == NULL)
		e = oldest;
	if (e != NULL)
		entry_free(q, e);
}

void
quar_expire(struct quar *q)
{
	struct quar_entry *e;

	while ((e = TAILQ_FIRST(&q->entries)) != NULL &&
	       now_of(q) - e->at > QUAR_KEEP_US)
		entry_free(q, e);
}

struct quar_entry *
quar_entry(struct quar *q, const void *digest)
{
	struct quar_entry *e = quar_find(q, digest);

	if (e != NULL)
		return e;
	quar_expire(q);
	if (g_hash_table_size(q->by_digest) >= QUAR_MAX)
		evict(q);
	e = g_new0(struct quar_entry, 1);
	memcpy(e->digest, digest, PT_ID_LEN);
	e->at = now_of(q);
	TAILQ_INSERT_TAIL(&q->entries, e, link);
	g_hash_table_insert(q->by_digest, e->digest, e);
	return e;
}

gboolean
quar_add_end(struct quar *q, struct quar_entry *e, gint64 end)
{
	guint i;

	for (i = 0; i < e->n_ends; i++)
		if (e->ends[i] == end)
			return FALSE;
	if (e->n_ends == QUAR_ENDS)
		return FALSE;
	q->n_suspected += e->n_ends == 0;
	e->ends[e->n_ends++] = end;
	e->sends = 0;
	touch(q, e);
	return TRUE;
}

void
quar_forget(struct quar *q, struct quar_entry *e, guint generation)
{
	q->n_suspected -= e->n_ends > 0;
	e->n_ends = 0;
	e->generation = generation;
	e->sends = 0;
	touch(q, e);
}

/* ---- the server beside this node ---- */

static struct quar_proof *
proof_of(struct quar *q, const void *digest)
{
	return &q->proved[key_of(digest) % PROVED_MAX];
}

gboolean
quar_proved(struct quar *q, const void *digest)
{
	const struct quar_proof *p = proof_of(q, digest);

	return p->at != 0 && p->key == key_of(digest) &&
	       now_of(q) - p->at < PROVED_US;
}

static gboolean
count_end(struct quar *q, const void *digest)
{
	return !quar_proved(q, digest) &&
	       quar_add_end(q, quar_entry(q, digest), q->end_id);
}

void
quar_lost(struct quar *q, guint process, const pt_id digest)
{
	gint64 now = now_of(q);
	struct quar_loss *l;

	if (q->end_at != 0 && process == q->end_process &&
	    now - q->end_at < END_US) {
		count_end(q, digest);
		return;
	}
	l = &q->losses[q->next_loss++ % LOSSES_MAX];
	memcpy(l->digest, digest, PT_ID_LEN);
	l->process = process;
	l->at = now;
}

void
quar_answered(struct quar *q, guint process)
{
	gint64 now = now_of(q);
	guint i;

	if (process == q->end_process && now - q->end_at > LATE_ANSWER_US)
		q->end_at = 0;
	for (i = 0; i < LOSSES_MAX; i++)
		if (q->losses[i].at != 0 && q->losses[i].process == process &&
		    now - q->losses[i].at > LATE_ANSWER_US)
			q->losses[i].at = 0;
}

void
quar_completed(struct quar *q, const pt_id digest)
{
	struct quar_entry *e = quar_find(q, digest);
	struct quar_proof *p = proof_of(q, digest);

	p->key = key_of(digest);
	p->at = now_of(q);
	if (e != NULL && e->n_ends > 0)
		quar_forget(q, e, e->generation + 1);
}

guint
quar_ended(struct quar *q, guint process)
{
	gint64 now = now_of(q);
	struct quar_loss *l;
	guint i, n = 0;

	if (q->end_at != 0 && q->end_process == process)
		return 0;
	q->end_id = (gint64)(q->o.node + ++q->n_ends);
	for (i = 0; i < LOSSES_MAX; i++) {
		l = &q->losses[i];
		if (l->at == 0 || l->process != process)
			continue;
		if (now - l->at <= LOSS_US)
			n += count_end(q, l->digest);
		l->at = 0;
	}
	q->end_process = process;
	q->end_at = now;
	return n;
}

/* ---- decisions ---- */

gboolean
quar_empty(const struct quar *q)
{
	return q->n_suspected == 0;
}

guint
quar_ends(const struct quar *q, const pt_id digest)
{
	const struct quar_entry *e = quar_find(q, digest);

	return e != NULL && now_of(q) - e->at <= QUAR_KEEP_US ? e->n_ends : 0;
}

gboolean
quar_refuses(struct quar *q, const pt_id digest, gint64 *left)
{
	guint n = quar_ends(q, digest);

	if (n < QUAR_DOUBT)
		return FALSE;
	if (n == QUAR_DOUBT) {
		*left = QUAR_DOUBT_US - (now_of(q) - quar_find(q, digest)->at);
		return *left > 0;
	}
	touch(q, quar_find(q, digest));
	*left = QUAR_KEEP_US;
	return TRUE;
}

gboolean
quar_lift(struct quar *q, const pt_id digest)
{
	struct quar_entry *e = quar_find(q, digest);

	if (e == NULL || e->n_ends == 0)
		return FALSE;
	quar_forget(q, e, e->generation + 1);
	return TRUE;
}

void
quar_each(const struct quar *q,
    void (*cb)(void *ctx, const pt_id, guint ends, gint64 age), void *ctx)
{
	const struct quar_entry *e = TAILQ_FIRST(&q->entries);

	for (; e != NULL; e = TAILQ_NEXT(e, link))
		if (e->n_ends > 0)
			cb(ctx, e->digest, e->n_ends, now_of(q) - e->at);
}
