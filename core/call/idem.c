/*
 * Idempotency keys at their owner, the instance that issued them.  Only the
 * incarnation that issued a key dispatches its request, so instances need not
 * agree on membership.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/* Defaults of max_keys and max_bytes. */
#define KEYS_MAX 65536
#define BYTES_MAX (8 * 1024 * 1024)
/* Longest time over which a batch is issued; its keys expire together. */
#define BATCH_TIME G_TIME_SPAN_SECOND
/* A batch has at most 1 / BATCH_PART of max_keys. */
#define BATCH_PART 64
/* Most batches; reached only if many issued keys are not used. */
#define BATCHES_MAX 4096
#define KEY_PREFIX "pt1"

TAILQ_HEAD(idem_waiters, idem_waiter);

enum entry_state {
	ENTRY_RUNNING,
	ENTRY_IDLE, /* no attempt so far was run */
	ENTRY_DONE,
	ENTRY_UNKNOWN
};

/* A key that has been used. */
struct entry {
	TAILQ_ENTRY(entry) link; /* in its batch */
	TAILQ_ENTRY(entry) answer_link; /* in the list of kept answers */
	gint64 seq;
	guint64 request;
	guint attempt;
	enum entry_state state;
	GBytes *answer; /* NULL: not kept */
	struct idem_waiters waiters;
};

TAILQ_HEAD(entries, entry);

/* Keys issued within BATCH_TIME. */
struct batch {
	gint64 first_seq; /* sequence number of the first key */
	guint n_issued;
	/* Times at which the first and the last key were issued. */
	gint64 first_at, last_at;
	struct entries entries;
};

struct idem {
	struct idem_opts o;
	char *instance;
	guint8 *secret;
	gint64 next; /* next sequence number */
	gint64 seq_floor; /* keys with lower numbers have expired */
	GPtrArray *batches; /* struct batch, oldest first */
	GHashTable *entries; /* seq -> struct entry */
	struct entries answered; /* with a kept answer, oldest answer first */
	gsize bytes; /* of the kept answers */
};

struct idem *
idem_new(const struct idem_opts *o)
{
	struct idem *d = g_new0(struct idem, 1);

	d->o = *o;
	d->instance = g_strdup(o->instance);
	d->secret = g_memdup2(o->secret, o->secret_len);
	if (d->o.max_keys == 0)
		d->o.max_keys = KEYS_MAX;
	if (d->o.max_bytes == 0)
		d->o.max_bytes = BYTES_MAX;
	if (d->o.ttl_ms == 0)
		d->o.ttl_ms = IDEM_TTL_MS;
	d->next = d->seq_floor = 1;
	d->batches = g_ptr_array_new();
	d->entries = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&d->answered);
	return d;
}

static void
answer_drop(struct idem *d, struct entry *e)
{
	if (e->answer == NULL)
		return;
	d->bytes -= g_bytes_get_size(e->answer);
	TAILQ_REMOVE(&d->answered, e, answer_link);
	g_clear_pointer(&e->answer, g_bytes_unref);
}

/* Calls done() of all waiters; done() may change the table or the waiters. */
static void
waiters_wake(struct idem_waiters *from, enum idem_result r, GBytes *answer)
{
	struct idem_waiters list = TAILQ_HEAD_INITIALIZER(list);
	struct idem_waiter *w;

	TAILQ_CONCAT(&list, from, link);
	for (w = TAILQ_FIRST(&list); w != NULL; w = TAILQ_NEXT(w, link))
		w->list = &list;
	while ((w = TAILQ_FIRST(&list)) != NULL) {
		TAILQ_REMOVE(&list, w, link);
		w->list = NULL;
		w->done(w, r, answer);
	}
}

static void
entry_free(struct idem *d, struct entry *e)
{
	struct idem_waiters list = TAILQ_HEAD_INITIALIZER(list);

	TAILQ_CONCAT(&list, &e->waiters, link);
	answer_drop(d, e);
	g_hash_table_remove(d->entries, &e->seq);
	g_free(e);
	waiters_wake(&list, IDEM_R_UNKNOWN, NULL);
}

/* Expires the oldest batch, whose keys are then never dispatched again. */
static void
batch_expire(struct idem *d)
{
	struct batch *b = g_ptr_array_index(d->batches, 0);
	struct entry *e;

	g_ptr_array_remove_index(d->batches, 0);
	d->seq_floor = b->first_seq + b->n_issued;
	while ((e = TAILQ_FIRST(&b->entries)) != NULL) {
		TAILQ_REMOVE(&b->entries, e, link);
		entry_free(d, e);
	}
	g_free(b);
}

void
idem_free(struct idem *d)
{
	if (d == NULL)
		return;
	while (d->batches->len > 0)
		batch_expire(d);
	g_ptr_array_unref(d->batches);
	g_hash_table_unref(d->entries);
	g_free(d->secret);
	g_free(d->instance);
	g_free(d);
}

gint64
idem_tick(struct idem *d)
{
	gint64 now = pt_now(&d->o.clock), due;
	struct batch *b;

	while (d->batches->len > 0) {
		b = g_ptr_array_index(d->batches, 0);
		due = b->last_at + d->o.ttl_ms * G_TIME_SPAN_MILLISECOND;
		if (due > now)
			return due;
		batch_expire(d);
	}
	return G_MAXINT64;
}

/* Returns the batch for a new key. */
static struct batch *
batch_open(struct idem *d, gint64 now)
{
	struct batch *b = NULL;

	if (d->batches->len > 0)
		b = g_ptr_array_index(d->batches, d->batches->len - 1);
	if (b != NULL && now - b->first_at < BATCH_TIME &&
	    b->n_issued < MAX(d->o.max_keys / BATCH_PART, 1))
		return b;
	if (d->batches->len >= BATCHES_MAX)
		batch_expire(d);
	b = g_new0(struct batch, 1);
	b->first_seq = d->next;
	b->first_at = now;
	TAILQ_INIT(&b->entries);
	g_ptr_array_add(d->batches, b);
	return b;
}

static struct batch *
batch_of(struct idem *d, gint64 seq)
{
	guint low = 0, high = d->batches->len, mid;
	struct batch *b;

	while (high - low > 1) {
		mid = low + (high - low) / 2;
		b = g_ptr_array_index(d->batches, mid);
		if (b->first_seq <= seq)
			low = mid;
		else
			high = mid;
	}
	return g_ptr_array_index(d->batches, low);
}

static void
authenticate(struct idem *d, gint64 seq, guint8 mac[16])
{
	guint8 full[32];
	gsize len = sizeof(full);
	GHmac *h;
	char *s;

	s = g_strdup_printf("%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER
			    "x.%s",
	    d->o.incarnation, seq, d->instance);
	h = g_hmac_new(G_CHECKSUM_SHA256, d->secret, d->o.secret_len);
	g_hmac_update(h, (const guint8 *)s, -1);
	g_hmac_get_digest(h, full, &len);
	memcpy(mac, full, 16);
	g_hmac_unref(h);
	g_free(s);
}

char *
idem_issue(struct idem *d)
{
	gint64 now = pt_now(&d->o.clock);
	struct batch *b;
	guint8 mac[16];
	GString *s;
	guint i;

	idem_tick(d);
	b = batch_open(d, now);
	b->n_issued++;
	b->last_at = now;
	authenticate(d, d->next, mac);
	s = g_string_new(NULL);
	g_string_printf(s,
	    KEY_PREFIX ".%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER "x.",
	    d->o.incarnation, d->next);
	for (i = 0; i < sizeof(mac); i++)
		g_string_append_printf(s, "%02x", mac[i]);
	g_string_append_printf(s, ".%s", d->instance);
	d->next++;
	return g_string_free(s, FALSE);
}

static gboolean
parse_hex(const char *s, gint64 *v)
{
	guint64 u;

	if (!g_ascii_string_to_unsigned(s, 16, 0, G_MAXINT64, &u, NULL))
		return FALSE;
	*v = (gint64)u;
	return TRUE;
}

static gboolean
parse_mac(const char *s, guint8 mac[16])
{
	int hi, lo;
	guint i;

	if (strlen(s) != 32)
		return FALSE;
	for (i = 0; i < 16; i++) {
		hi = g_ascii_xdigit_value(s[2 * i]);
		lo = g_ascii_xdigit_value(s[2 * i + 1]);
		if (hi < 0 || lo < 0)
			return FALSE;
		mac[i] = (guint8)(hi << 4 | lo);
	}
	return TRUE;
}

gboolean
idem_parse(const char *text, struct idem_key *k)
{
	gboolean ok;
	char **f;

	memset(k, 0, sizeof(*k));
	if (text == NULL || strlen(text) >= IDEM_KEY_MAX)
		return FALSE;
	/* The owner is the last field because names may contain dots. */
	f = g_strsplit(text, ".", 5);
	ok = g_strv_length(f) == 5 && strcmp(f[0], KEY_PREFIX) == 0 &&
	     parse_hex(f[1], &k->incarnation) && parse_hex(f[2], &k->seq) &&
	     parse_mac(f[3], k->mac) && f[4][0] != '\0' &&
	     strlen(f[4]) <= PT_NAME_MAX;
	if (ok)
		g_strlcpy(k->owner, f[4], sizeof(k->owner));
	g_strfreev(f);
	return ok;
}

/* Compares in constant time. */
static gboolean
authentic(struct idem *d, const struct idem_key *k)
{
	guint8 mac[16], diff = 0;
	guint i;

	authenticate(d, k->seq, mac);
	for (i = 0; i < sizeof(mac); i++)
		diff |= mac[i] ^ k->mac[i];
	return diff == 0;
}

static struct entry *
entry_new(struct idem *d, gint64 seq, guint64 request)
{
	struct entry *e = g_new0(struct entry, 1);
	struct batch *b = batch_of(d, seq);

	e->seq = seq;
	e->request = request;
	e->state = ENTRY_IDLE;
	TAILQ_INIT(&e->waiters);
	TAILQ_INSERT_TAIL(&b->entries, e, link);
	g_hash_table_insert(d->entries, &e->seq, e);
	return e;
}

/* Checks a key without its entry; IDEM_DISPATCH: the key is valid. */
static enum idem_verdict
check_key(struct idem *d, const char *text, struct idem_key *k)
{
	if (!idem_parse(text, k))
		return IDEM_BAD;
	if (strcmp(k->owner, d->instance) != 0)
		return IDEM_RELAY;
	if (k->incarnation != d->o.incarnation)
		return IDEM_UNKNOWN;
	if (!authentic(d, k) || k->seq >= d->next)
		return IDEM_BAD;
	return k->seq < d->seq_floor ? IDEM_EXPIRED : IDEM_DISPATCH;
}

static enum idem_verdict
begin_entry(struct idem *d, struct entry *e, guint64 request,
    struct idem_waiter *w, struct idem_begin *out)
{
	if (e->request != 0 && request != 0 && e->request != request)
		return IDEM_MISMATCH;
	switch (e->state) {
	case ENTRY_RUNNING:
		if (w != NULL) {
			w->list = &e->waiters;
			TAILQ_INSERT_TAIL(&e->waiters, w, link);
		}
		return IDEM_WAIT;
	case ENTRY_DONE:
		out->answer = e->answer;
		return IDEM_REPLAY;
	case ENTRY_UNKNOWN:
		return IDEM_UNKNOWN;
	case ENTRY_IDLE:
		break;
	}
	e->state = ENTRY_RUNNING;
	out->attempt = ++e->attempt;
	return IDEM_DISPATCH;
}

void
idem_begin(struct idem *d, const char *key, guint64 request,
    struct idem_waiter *w, struct idem_begin *out)
{
	struct entry *e;

	memset(out, 0, sizeof(*out));
	idem_tick(d);
	out->verdict = check_key(d, key, &out->key);
	if (out->verdict != IDEM_DISPATCH)
		return;
	e = g_hash_table_lookup(d->entries, &out->key.seq);
	if (e == NULL) {
		while (g_hash_table_size(d->entries) >= d->o.max_keys)
			batch_expire(d);
		if (out->key.seq < d->seq_floor) {
			out->verdict = IDEM_EXPIRED;
			return;
		}
		e = entry_new(d, out->key.seq, request);
	}
	out->verdict = begin_entry(d, e, request, w, out);
}

void
idem_cancel_wait(struct idem_waiter *w)
{
	if (w->list == NULL)
		return;
	TAILQ_REMOVE(w->list, w, link);
	w->list = NULL;
}

guint
idem_retry(struct idem *d, gint64 seq, guint attempt)
{
	struct entry *e = g_hash_table_lookup(d->entries, &seq);

	if (e == NULL || e->state != ENTRY_RUNNING || e->attempt != attempt)
		return 0;
	return ++e->attempt;
}

static void
answer_keep(struct idem *d, struct entry *e, GBytes *answer)
{
	if (answer == NULL || g_bytes_get_size(answer) > IDEM_ANSWER_MAX)
		return;
	e->answer = g_bytes_ref(answer);
	d->bytes += g_bytes_get_size(answer);
	TAILQ_INSERT_TAIL(&d->answered, e, answer_link);
	while (d->bytes > d->o.max_bytes)
		answer_drop(d, TAILQ_FIRST(&d->answered));
}

gboolean
idem_end_attempt(struct idem *d, gint64 seq, guint attempt, enum idem_result r,
    GBytes *answer)
{
	struct entry *e = g_hash_table_lookup(d->entries, &seq);

	if (e == NULL || e->attempt != attempt ||
	    (e->state != ENTRY_RUNNING && e->state != ENTRY_UNKNOWN))
		return FALSE;
	switch (r) {
	case IDEM_R_NOT_RUN:
		e->state = ENTRY_IDLE;
		break;
	case IDEM_R_RAN:
		e->state = ENTRY_DONE;
		answer_keep(d, e, answer);
		break;
	case IDEM_R_UNKNOWN:
		e->state = ENTRY_UNKNOWN;
		break;
	}
	waiters_wake(&e->waiters, r, answer);
	return TRUE;
}

void
idem_fill_key(
    struct idem *d, gint64 seq, guint attempt, gint64 target, struct pt_key *k)
{
	memset(k, 0, sizeof(*k));
	k->owner = d->instance;
	k->incarnation = d->o.incarnation;
	k->seq = seq;
	k->attempt = attempt;
	k->floor = d->seq_floor;
	k->target = target;
}

enum idem_state
idem_inspect(struct idem *d, gint64 seq, guint *attempt)
{
	static const enum idem_state states[] = { [ENTRY_RUNNING] =
						      IDEM_S_RUNNING,
		[ENTRY_IDLE] = IDEM_S_ISSUED,
		[ENTRY_DONE] = IDEM_S_DONE,
		[ENTRY_UNKNOWN] = IDEM_S_UNKNOWN };
	struct entry *e = g_hash_table_lookup(d->entries, &seq);

	*attempt = e != NULL ? e->attempt : 0;
	if (e != NULL)
		return states[e->state];
	return seq < d->seq_floor ? IDEM_S_EXPIRED : IDEM_S_ISSUED;
}

guint
idem_used(const struct idem *d)
{
	return g_hash_table_size(d->entries);
}
