/*
 * Owner of shards: a token bucket for each active organisation.  In any time t
 * the tokens issued and not given back are at most rate x t + burst, whatever
 * is lost or delayed on the way to the buyers.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <math.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "limit.h"

/* Time constant of the moving average of the tokens requested. */
#define ASKED_TAU_US (1000 * G_TIME_SPAN_MILLISECOND)
/*
 * Tokens in the bucket are shared out over this time, so that a bucket that
 * fills up although tokens are scarce is emptied before it overflows.  With
 * 0.25 s, a buyer with small requests got 1.6 times its share: large requests
 * emptied the bucket.
 */
#define SHARE_OUT_S 1
/*
 * Shortest and longest time between two asks of a buyer for scarce tokens.  The
 * shortest bounds the messages of a buyer to 5 a second for an organisation;
 * the longest bounds the refusals after a load has ended or a limit was raised.
 */
#define RETRY_MIN_US (200 * G_TIME_SPAN_MILLISECOND)
#define RETRY_MAX_US (2000 * G_TIME_SPAN_MILLISECOND)
/* The same for a bucket that is empty for a moment, below its limit. */
#define RETRY_SHORT_US (50 * G_TIME_SPAN_MILLISECOND)
/* A very low rate must not block a buyer for longer: it may be raised. */
#define RETRY_LAST_US (10000 * G_TIME_SPAN_MILLISECOND)
/*
 * A returned token is credited as if it had never been issued: only if the
 * bucket would have had room for it ever since.  This is the time over which
 * the highest level is known.  It exceeds the windows of 5 s in which requests
 * are counted plus the validity of a token.
 */
#define PEAK_US (6000 * G_TIME_SPAN_MILLISECOND)
/* Time without asks after which a full bucket is forgotten. */
#define IDLE_US (10000 * G_TIME_SPAN_MILLISECOND)

struct bucket {
	TAILQ_ENTRY(bucket) link; /* in order of the last use */
	char *org;
	struct shard *shard;
	double tokens, per_us, burst;
	gint64 at; /* time of "tokens" */
	double peak, peak_before; /* highest levels since and before peak_at */
	gint64 peak_at;
	double asked; /* tokens per us, moving average, at "at" */
	double carry; /* fraction of a token that is left of the last share */
	gint64 next; /* a token that no buyer was told to wait for */
	gint64 used;
	guint64 issued, returned, credited, refused;
};

struct shard {
	gboolean owned;
	gint64 from, until;
	GHashTable *buckets; /* by organisation; the keys belong to buckets */
};

struct limit_ledger {
	struct limit_ledger_opts o;
	struct shard shards[LIMIT_SHARDS];
	TAILQ_HEAD(buckets, bucket) used; /* longest unused first */
	guint n_buckets;
	struct limit_ledger_view counts;
};

/* FNV-1a with 32 bits. */
guint
limit_shard(const char *org)
{
	guint32 h = 2166136261U;

	for (; *org != '\0'; org++)
		h = (h ^ (guchar)*org) * 16777619U;
	return (h ^ h >> 16) % LIMIT_SHARDS;
}

struct limit_ledger *
limit_ledger_new(const struct limit_ledger_opts *o)
{
	struct limit_ledger *l = g_new0(struct limit_ledger, 1);
	guint i;

	l->o = *o;
	TAILQ_INIT(&l->used);
	for (i = 0; i < LIMIT_SHARDS; i++)
		l->shards[i].buckets =
		    g_hash_table_new(g_str_hash, g_str_equal);
	return l;
}

static void
bucket_free(struct limit_ledger *l, struct bucket *b)
{
	TAILQ_REMOVE(&l->used, b, link);
	l->n_buckets--;
	g_free(b->org);
	g_free(b);
}

static void
forget(struct limit_ledger *l, struct bucket *b)
{
	g_hash_table_remove(b->shard->buckets, b->org);
	bucket_free(l, b);
}

static void
forget_all(struct limit_ledger *l, struct shard *s)
{
	GHashTableIter i;
	gpointer b;

	g_hash_table_iter_init(&i, s->buckets);
	while (g_hash_table_iter_next(&i, NULL, &b)) {
		g_hash_table_iter_remove(&i);
		bucket_free(l, b);
	}
}

void
limit_ledger_free(struct limit_ledger *l)
{
	guint i;

	for (i = 0; i < LIMIT_SHARDS; i++) {
		forget_all(l, &l->shards[i]);
		g_hash_table_destroy(l->shards[i].buckets);
	}
	g_free(l);
}

static gboolean
owned(const struct shard *s, gint64 now)
{
	return s->owned && now < s->until;
}

void
limit_ledger_own(struct limit_ledger *l, guint shard, gint64 from, gint64 until)
{
	struct shard *s = &l->shards[shard];
	gint64 now = pt_now(&l->o.clock);

	/* A later start means that another node may issue until then. */
	if (!owned(s, now) || from > MAX(s->from, now)) {
		forget_all(l, s);
		s->from = MAX(from, now);
	}
	s->owned = TRUE;
	s->until = until;
	limit_ledger_issue_from(l, shard, from);
}

void
limit_ledger_issue_from(struct limit_ledger *l, guint shard, gint64 from)
{
	struct shard *s = &l->shards[shard];
	gint64 now = pt_now(&l->o.clock);

	/* Tokens accrue from the start on, which can't lie in the past. */
	if (owned(s, now) && now < s->from)
		s->from = MIN(s->from, MAX(from, now));
}

void
limit_ledger_disown(struct limit_ledger *l, guint shard)
{
	forget_all(l, &l->shards[shard]);
	l->shards[shard].owned = FALSE;
}

gboolean
limit_ledger_owns(const struct limit_ledger *l, guint shard)
{
	return owned(&l->shards[shard], pt_now(&l->o.clock));
}

static gboolean
rule_of(const struct limit_ledger *l, const char *org, struct limit_rule *r)
{
	memset(r, 0, sizeof(*r));
	if (!l->o.rule(l->o.ctx, org, r) || r->per_s <= 0)
		return FALSE;
	r->burst = MAX(r->burst, 1);
	return TRUE;
}

/*
 * A bucket is missing if nothing was asked since issuing began, or if it was
 * full when it was forgotten.  In both cases it has what has accrued since
 * issuing began.
 */
static struct bucket *
bucket_new(struct limit_ledger *l, struct shard *s, const char *org,
    const struct limit_rule *r, gint64 now)
{
	struct bucket *b = g_new0(struct bucket, 1);

	b->org = g_strdup(org);
	b->shard = s;
	b->per_us = r->per_s / G_USEC_PER_SEC;
	b->burst = r->burst;
	b->tokens = MIN((double)(now - s->from) * b->per_us, b->burst);
	b->at = b->peak_at = now;
	/* Tokens issued by a former owner or bucket are not credited. */
	b->peak = b->peak_before = INFINITY;
	g_hash_table_insert(s->buckets, b->org, b);
	TAILQ_INSERT_TAIL(&l->used, b, link);
	l->n_buckets++;
	return b;
}

static void
note_peak(struct bucket *b, gint64 now)
{
	if (now - b->peak_at >= 2 * PEAK_US) {
		/* Nothing was issued meanwhile: the level has only risen. */
		b->peak = b->peak_before = b->tokens;
		b->peak_at = now;
	} else if (now - b->peak_at >= PEAK_US) {
		b->peak_before = b->peak;
		b->peak = b->tokens;
		b->peak_at = now;
	}
	b->peak = MAX(b->peak, b->tokens);
}

/*
 * The rule may have changed at any time since the last ask; the lower one of
 * both is applied to that time.
 */
static void
accrue(struct bucket *b, const struct limit_rule *r, gint64 now)
{
	double per_us = r->per_s / G_USEC_PER_SEC;
	double dt = (double)(now - b->at);

	b->tokens = MIN(
	    b->tokens + dt * MIN(per_us, b->per_us), MIN(r->burst, b->burst));
	b->asked *= exp(-dt / ASKED_TAU_US);
	b->per_us = per_us;
	b->burst = r->burst;
	b->at = now;
	note_peak(b, now);
}

static void
credit(struct limit_ledger *l, struct bucket *b, guint returned)
{
	double room = floor(b->burst - MAX(b->peak, b->peak_before));
	guint n = room > 0 ? (guint)MIN(room, (double)returned) : 0;

	b->tokens += n;
	b->peak += n;
	b->peak_before += n;
	b->returned += returned;
	b->credited += n;
	l->counts.returned += returned;
	l->counts.credited += n;
}

/*
 * Buyers that are told to wait are given successive times at which a token will
 * have accrued, so that they return one after the other.
 */
static gint64
retry_scarce(struct bucket *b, gint64 now)
{
	gint64 most = now + RETRY_MAX_US - RETRY_MIN_US;
	double step = MIN(1 / b->per_us, RETRY_MAX_US);

	b->next = MIN(MAX(b->next, now) + (gint64)step, most);
	return RETRY_MIN_US + b->next - now;
}

static gint64
retry_after(struct bucket *b, gboolean scarce, gint64 now)
{
	double missing = MAX(1 - b->tokens, 0) / b->per_us;
	gint64 accrued = (gint64)ceil(MIN(missing, RETRY_LAST_US));

	return MAX(scarce ? retry_scarce(b, now) : RETRY_SHORT_US, accrued);
}

/*
 * If the buyers request more than accrues, each gets its share in proportion to
 * its request.  The fraction of a token that is left of a share is added to the
 * next one, whoever asks.  Tokens for which a full bucket would have no room
 * are not held back.
 */
static void
grant(struct bucket *b, guint want, struct limit_grant *g)
{
	double supply = b->per_us + b->tokens / (SHARE_OUT_S * G_USEC_PER_SEC);
	gboolean scarce;
	double n = want;

	b->asked += (double)want / ASKED_TAU_US;
	scarce = b->asked > supply;
	if (scarce) {
		b->carry += want * supply / b->asked;
		n = MAX(floor(b->carry), floor(b->tokens - (b->burst - 1)));
		n = MIN(n, want);
	}
	n = MIN(n, floor(b->tokens));
	if (scarce)
		b->carry = CLAMP(b->carry - n, 0, 1);
	b->tokens -= n;
	b->issued += (guint)n;
	g->n = (guint)n;
	g->status = n > 0 ? LIMIT_GRANTED : LIMIT_EMPTY;
	if (scarce || n == 0)
		g->retry = retry_after(b, scarce, b->at);
	b->refused += n == 0;
}

static void
buy_limited(struct limit_ledger *l, struct shard *s, const struct limit_ask *a,
    const struct limit_rule *r, struct limit_grant *g)
{
	gint64 now = pt_now(&l->o.clock);
	struct bucket *b = g_hash_table_lookup(s->buckets, a->org);

	if (b == NULL)
		b = bucket_new(l, s, a->org, r, now);
	accrue(b, r, now);
	b->used = now;
	TAILQ_REMOVE(&l->used, b, link);
	TAILQ_INSERT_TAIL(&l->used, b, link);
	credit(l, b, a->returned);
	if (a->want == 0)
		return;
	grant(b, a->want, g);
	l->counts.issued += g->n;
	l->counts.refused += g->status == LIMIT_EMPTY;
}

void
limit_ledger_buy(
    struct limit_ledger *l, const struct limit_ask *a, struct limit_grant *g)
{
	struct shard *s = &l->shards[limit_shard(a->org)];
	gint64 now = pt_now(&l->o.clock);
	struct limit_rule r;

	memset(g, 0, sizeof(*g));
	if (!owned(s, now)) {
		g->status = LIMIT_NOT_OWNER;
	} else if (now < s->from) {
		g->status = LIMIT_NOT_YET;
		g->retry = s->from - now;
	} else if (!rule_of(l, a->org, &r)) {
		g->status = LIMIT_GRANTED;
		g->n = a->want;
	} else {
		g->status = LIMIT_GRANTED;
		buy_limited(l, s, a, &r, g);
	}
}

/* A bucket that is not full is kept: a new one would have too many tokens. */
static gboolean
may_forget(struct limit_ledger *l, struct bucket *b, gint64 now)
{
	struct limit_rule r;

	if (!rule_of(l, b->org, &r))
		return TRUE;
	accrue(b, &r, now);
	return b->tokens >= b->burst;
}

void
limit_ledger_tick(struct limit_ledger *l)
{
	gint64 now = pt_now(&l->o.clock);
	struct bucket *b;
	guint i;

	for (i = 0; i < LIMIT_SHARDS; i++)
		if (!owned(&l->shards[i], now))
			limit_ledger_disown(l, i);
	while (
	    (b = TAILQ_FIRST(&l->used)) != NULL && now - b->used >= IDLE_US) {
		if (may_forget(l, b, now)) {
			forget(l, b);
			continue;
		}
		b->used = now;
		TAILQ_REMOVE(&l->used, b, link);
		TAILQ_INSERT_TAIL(&l->used, b, link);
	}
}

void
limit_ledger_view(const struct limit_ledger *l, struct limit_ledger_view *v)
{
	gint64 now = pt_now(&l->o.clock);
	guint i;

	*v = l->counts;
	v->orgs = l->n_buckets;
	v->shards = 0;
	for (i = 0; i < LIMIT_SHARDS; i++)
		v->shards += owned(&l->shards[i], now);
}

gboolean
limit_ledger_org(
    const struct limit_ledger *l, const char *org, struct limit_bucket_view *v)
{
	const struct shard *s = &l->shards[limit_shard(org)];
	const struct bucket *b = g_hash_table_lookup(s->buckets, org);

	if (b == NULL)
		return FALSE;
	v->tokens = b->tokens;
	v->asked_per_s = b->asked * G_USEC_PER_SEC;
	v->issued = b->issued;
	v->returned = b->returned;
	v->credited = b->credited;
	v->refused = b->refused;
	return TRUE;
}
