/*
 * Entry node: tokens in hand, requests that wait for one, and purchases.  No
 * token is spent later than LIMIT_VALID_US after its purchase was sent.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <math.h>

#include "pt.h"
#include "port.h"
#include "limit.h"

/* Time constant of the moving average of the requests of an organisation. */
#define DEMAND_TAU_US (1000 * G_TIME_SPAN_MILLISECOND)
/* Unused tokens are returned after this time without a purchase. */
#define RETURN_US (1000 * G_TIME_SPAN_MILLISECOND)
/* A purchase without an answer has failed: its tokens would have expired. */
#define ANSWER_US LIMIT_VALID_US
/* Time between purchases from a shard whose owner does not answer. */
#define PROBE_US (50 * G_TIME_SPAN_MILLISECOND)
/*
 * A shard that has failed for DOWN_US, the longest wait of a request, is taken
 * to have no owner.  Purchases are then sent every PROBE_DOWN_US, and requests
 * that arrive between them don't wait.
 */
#define DOWN_US LIMIT_WAIT_US
#define PROBE_DOWN_US (200 * G_TIME_SPAN_MILLISECOND)
/* Retry-After of requests that are refused because there is no owner. */
#define UNKNOWN_RETRY_US (1000 * G_TIME_SPAN_MILLISECOND)
/*
 * The retry time of the owner is extended by up to this share of it, so that
 * buyers that were told the same time don't keep their order for ever.
 */
#define JITTER 0.1
/*
 * Tokens are taken to be scarce for that long after a retry time of the owner
 * has passed: longer than the time between two purchases of a hot organisation.
 */
#define SCARCE_US (5000 * G_TIME_SPAN_MILLISECOND)
/* Time without requests after which an organisation is forgotten. */
#define IDLE_US (30000 * G_TIME_SPAN_MILLISECOND)
/*
 * Validities that are kept apart for an organisation.  There is one for the
 * last purchase and one for each older one whose token was given back.
 */
#define LOTS 8

/* Tokens of one purchase. */
struct lot {
	gint64 until;
	guint n;
};

struct limit_org {
	TAILQ_ENTRY(limit_org) by_use;
	TAILQ_ENTRY(limit_org) due; /* in the shard's list, if is_due */
	TAILQ_ENTRY(limit_org) holding; /* if holding_at != 0 */
	TAILQ_ENTRY(limit_org) returning; /* if returning_at != 0 */
	char *name;
	guint shard;
	gboolean is_due, in_flight;
	gint64 holding_at; /* look for expired tokens at that time */
	gint64 returning_at; /* return tokens at that time */
	struct lot lots[LOTS]; /* earliest expiry first */
	guint n_lots;
	guint unused; /* expired tokens, to be returned */
	gint64 closed_until; /* the owner has no tokens until then */
	TAILQ_HEAD(limit_waits, limit_wait) waits; /* in order of arrival */
	guint n_waits;
	double demand; /* requests per us, moving average, at "used" */
	gint64 used; /* time of the last request */
	guint64 spent, over, unknown;
};

TAILQ_HEAD(limit_orgs, limit_org);

struct shard {
	struct limit_orgs due; /* organisations that are to be asked for */
	gint64 failed_at; /* first failure since the last answer, 0: none */
	gint64 probe_at; /* no purchase before */
};

/* What a purchase asked for, for one organisation. */
struct item {
	struct limit_org *org;
	guint want;
};

struct purchase {
	TAILQ_ENTRY(purchase) link;
	guint64 id;
	guint shard;
	gint64 sent;
	guint n;
	struct item items[LIMIT_ASKS_MAX];
};

struct limit_buyer {
	struct limit_buyer_opts o;
	GHashTable *orgs; /* by name; the keys belong to the values */
	struct shard shards[LIMIT_SHARDS];
	struct limit_orgs by_use; /* longest unused first */
	struct limit_orgs holding, returning; /* earliest first */
	struct limit_waits waits; /* all, earliest first */
	TAILQ_HEAD(purchases, purchase) purchases; /* in flight, oldest first */
	guint64 last_id;
	guint calls; /* functions on the stack that use an organisation */
	struct limit_buyer_view counts;
};

struct limit_buyer *
limit_buyer_new(const struct limit_buyer_opts *o)
{
	struct limit_buyer *b = g_new0(struct limit_buyer, 1);
	guint i;

	b->o = *o;
	b->orgs = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < LIMIT_SHARDS; i++)
		TAILQ_INIT(&b->shards[i].due);
	TAILQ_INIT(&b->by_use);
	TAILQ_INIT(&b->holding);
	TAILQ_INIT(&b->returning);
	TAILQ_INIT(&b->waits);
	TAILQ_INIT(&b->purchases);
	return b;
}

static gint64
now_of(const struct limit_buyer *b)
{
	return pt_now(&b->o.clock);
}

/* ---- organisations ---- */

static struct limit_org *
org_new(struct limit_buyer *b, const char *name, gint64 now)
{
	struct limit_org *o = g_new0(struct limit_org, 1);

	o->name = g_strdup(name);
	o->shard = limit_shard(name);
	o->used = now;
	o->closed_until = now - SCARCE_US;
	TAILQ_INIT(&o->waits);
	g_hash_table_insert(b->orgs, o->name, o);
	TAILQ_INSERT_TAIL(&b->by_use, o, by_use);
	return o;
}

static void
org_free(struct limit_buyer *b, struct limit_org *o)
{
	if (o->is_due)
		TAILQ_REMOVE(&b->shards[o->shard].due, o, due);
	if (o->holding_at != 0)
		TAILQ_REMOVE(&b->holding, o, holding);
	if (o->returning_at != 0)
		TAILQ_REMOVE(&b->returning, o, returning);
	TAILQ_REMOVE(&b->by_use, o, by_use);
	g_hash_table_remove(b->orgs, o->name);
	g_free(o->name);
	g_free(o);
}

/* Counts a request. */
static void
note_demand(struct limit_buyer *b, struct limit_org *o, gint64 now)
{
	if (now > o->used)
		o->demand *= exp(-(double)(now - o->used) / DEMAND_TAU_US);
	o->demand += 1.0 / DEMAND_TAU_US;
	o->used = now;
	TAILQ_REMOVE(&b->by_use, o, by_use);
	TAILQ_INSERT_TAIL(&b->by_use, o, by_use);
}

static void
set_due(struct limit_buyer *b, struct limit_org *o)
{
	if (o->is_due || o->in_flight)
		return;
	o->is_due = TRUE;
	TAILQ_INSERT_TAIL(&b->shards[o->shard].due, o, due);
}

/* ---- tokens in hand ---- */

static void
add_unused(struct limit_buyer *b, struct limit_org *o, guint n, gint64 now)
{
	o->unused += n;
	if (n == 0 || o->returning_at != 0)
		return;
	o->returning_at = now + RETURN_US;
	TAILQ_INSERT_TAIL(&b->returning, o, returning);
}

static void
drop_expired(struct limit_buyer *b, struct limit_org *o, gint64 now)
{
	guint i, kept = 0;

	for (i = 0; i < o->n_lots; i++) {
		if (o->lots[i].until <= now)
			add_unused(b, o, o->lots[i].n, now);
		else
			o->lots[kept++] = o->lots[i];
	}
	o->n_lots = kept;
}

/* Adds tokens; those that are expired or one validity too many are returned. */
static void
add_tokens(struct limit_buyer *b, struct limit_org *o, gint64 until, guint n)
{
	gint64 now = now_of(b);
	guint i, j;

	drop_expired(b, o, now);
	for (i = 0; i < o->n_lots && o->lots[i].until < until; i++)
		;
	if (i < o->n_lots && o->lots[i].until == until) {
		o->lots[i].n += n;
	} else if (until <= now || o->n_lots == LOTS) {
		add_unused(b, o, n, now);
	} else if (n > 0) {
		for (j = o->n_lots++; j > i; j--)
			o->lots[j] = o->lots[j - 1];
		o->lots[i] = (struct lot){ until, n };
	}
	if (o->n_lots > 0 && o->holding_at == 0) {
		o->holding_at = now + LIMIT_VALID_US;
		TAILQ_INSERT_TAIL(&b->holding, o, holding);
	}
}

/* Spends the token that expires first.  FALSE: there is none. */
static gboolean
spend(struct limit_buyer *b, struct limit_org *o, gint64 now, gint64 *token)
{
	guint i;

	drop_expired(b, o, now);
	if (o->n_lots == 0)
		return FALSE;
	*token = o->lots[0].until;
	if (--o->lots[0].n == 0) {
		o->n_lots--;
		for (i = 0; i < o->n_lots; i++)
			o->lots[i] = o->lots[i + 1];
	}
	o->spent++;
	b->counts.spent++;
	return TRUE;
}

/* ---- waiting requests ---- */

static void
wait_begin(struct limit_buyer *b, struct limit_org *o, struct limit_wait *w,
    gint64 now)
{
	w->buyer = b;
	w->org = o;
	w->until = now + LIMIT_WAIT_US;
	TAILQ_INSERT_TAIL(&o->waits, w, link);
	TAILQ_INSERT_TAIL(&b->waits, w, by_time);
	o->n_waits++;
	b->counts.waiting++;
}

void
limit_cancel(struct limit_wait *w)
{
	if (w->org == NULL)
		return;
	TAILQ_REMOVE(&w->org->waits, w, link);
	TAILQ_REMOVE(&w->buyer->waits, w, by_time);
	w->org->n_waits--;
	w->buyer->counts.waiting--;
	w->org = NULL;
}

static void
count_refusal(
    struct limit_buyer *b, struct limit_org *o, enum limit_verdict verdict)
{
	if (verdict == LIMIT_OVER) {
		o->over++;
		b->counts.over++;
	} else {
		o->unknown++;
		b->counts.unknown++;
	}
}

static void
refuse(struct limit_wait *w, enum limit_verdict verdict, gint64 retry)
{
	count_refusal(w->buyer, w->org, verdict);
	limit_cancel(w);
	w->done(w, verdict, retry);
}

/* done() may cancel other waits and take tokens: each round looks anew. */
static void
serve_waits(struct limit_buyer *b, struct limit_org *o)
{
	struct limit_wait *w;

	while ((w = TAILQ_FIRST(&o->waits)) != NULL &&
	       spend(b, o, now_of(b), &w->token)) {
		limit_cancel(w);
		w->done(w, LIMIT_PASS, 0);
	}
}

/* Refuses the requests that wait now, not those that done() adds. */
static void
refuse_waits(struct limit_org *o, enum limit_verdict verdict, gint64 retry)
{
	guint n = o->n_waits;

	while (n-- > 0 && !TAILQ_EMPTY(&o->waits))
		refuse(TAILQ_FIRST(&o->waits), verdict, retry);
}

/* ---- requests ---- */

static gboolean
is_down(const struct shard *s, gint64 now)
{
	return s->failed_at != 0 && now - s->failed_at >= DOWN_US;
}

enum limit_verdict
limit_take(struct limit_buyer *b, const char *org, struct limit_wait *w,
    gint64 *retry, gint64 *token)
{
	gint64 now = now_of(b);
	struct limit_org *o = g_hash_table_lookup(b->orgs, org);
	struct shard *s;
	enum limit_verdict verdict;

	*retry = 0;
	if (o == NULL)
		o = org_new(b, org, now);
	s = &b->shards[o->shard];
	note_demand(b, o, now);
	if (TAILQ_EMPTY(&o->waits) && spend(b, o, now, token))
		return LIMIT_PASS;
	if (now < o->closed_until) {
		verdict = LIMIT_OVER;
		*retry = o->closed_until - now;
	} else if (is_down(s, now) && now < s->probe_at) {
		verdict = LIMIT_UNKNOWN;
		*retry = UNKNOWN_RETRY_US;
	} else {
		wait_begin(b, o, w, now);
		set_due(b, o);
		return LIMIT_WAITING;
	}
	count_refusal(b, o, verdict);
	return verdict;
}

void
limit_give_back(struct limit_buyer *b, const char *org, gint64 token)
{
	struct limit_org *o = g_hash_table_lookup(b->orgs, org);

	if (o == NULL)
		o = org_new(b, org, now_of(b));
	b->counts.given_back++;
	add_tokens(b, o, token, 1);
	b->calls++;
	serve_waits(b, o);
	b->calls--;
}

/* ---- purchases ---- */

/* The next purchase is timed from the one that failed. */
static void
failed(struct limit_buyer *b, const struct purchase *p)
{
	struct shard *s = &b->shards[p->shard];
	gint64 now = now_of(b);

	if (s->failed_at == 0)
		s->failed_at = now;
	s->probe_at = p->sent + (is_down(s, now) ? PROBE_DOWN_US : PROBE_US);
}

static void
closed(struct limit_buyer *b, struct limit_org *o, gint64 retry)
{
	double jitter = g_rand_double(b->o.rand) * JITTER;

	retry += (gint64)((double)retry * jitter);
	o->closed_until = now_of(b) + retry;
	refuse_waits(o, LIMIT_OVER, retry);
}

static void
item_bought(struct limit_buyer *b, const struct purchase *p,
    const struct item *i, const struct limit_grant *g)
{
	struct limit_org *o = i->org;
	guint n;

	o->in_flight = FALSE;
	if (g == NULL || g->status == LIMIT_NOT_OWNER ||
	    g->status == LIMIT_NOT_YET) {
		failed(b, p);
	} else {
		b->shards[p->shard].failed_at = 0;
		b->shards[p->shard].probe_at = 0;
		n = g->status == LIMIT_GRANTED ? MIN(g->n, i->want) : 0;
		b->counts.bought += n;
		add_tokens(b, o, p->sent + LIMIT_VALID_US, n);
		serve_waits(b, o);
		if (g->retry > 0)
			closed(b, o, g->retry);
	}
	if (!TAILQ_EMPTY(&o->waits))
		set_due(b, o);
}

static void
finish(struct limit_buyer *b, struct purchase *p,
    const struct limit_grant *grants, guint n)
{
	guint i;

	TAILQ_REMOVE(&b->purchases, p, link);
	b->calls++;
	for (i = 0; i < p->n; i++)
		item_bought(b, p, &p->items[i],
		    grants != NULL && i < n ? &grants[i] : NULL);
	b->calls--;
	g_free(p);
}

void
limit_bought(struct limit_buyer *b, guint64 id,
    const struct limit_grant *grants, guint n)
{
	struct purchase *p;

	TAILQ_FOREACH(p, &b->purchases, link)
	if (p->id == id) {
		finish(b, p, grants, n);
		return;
	}
}

/*
 * Tokens to buy in advance: the requests expected while they are valid.  If
 * tokens are scarce, one standard deviation less: of 1.6 expected requests at
 * each of 62 nodes, 12 % of the tokens expired and 7 % of the limit was lost.
 */
static guint
ahead(const struct limit_org *o, gint64 now)
{
	double decay = exp(-(double)(now - o->used) / DEMAND_TAU_US);
	double n = o->demand * decay * LIMIT_VALID_US;

	if (now - o->closed_until < SCARCE_US)
		n = MAX(n - sqrt(n), 0);
	return (guint)n;
}

/* The next organisation that is due; FALSE: it needs nothing. */
static gboolean
next_ask(struct limit_buyer *b, struct shard *s, gint64 now,
    struct limit_ask *a, struct item *i)
{
	struct limit_org *o = TAILQ_FIRST(&s->due);

	TAILQ_REMOVE(&s->due, o, due);
	o->is_due = FALSE;
	if (o->returning_at != 0)
		TAILQ_REMOVE(&b->returning, o, returning);
	o->returning_at = 0;
	a->org = o->name;
	a->want = o->n_waits > 0 ? o->n_waits + ahead(o, now) : 0;
	a->returned = o->unused;
	b->counts.returned += o->unused;
	o->unused = 0;
	i->org = o;
	i->want = a->want;
	o->in_flight = a->want > 0 || a->returned > 0;
	return o->in_flight;
}

/* Sends one message for up to LIMIT_ASKS_MAX organisations. */
static void
send_purchase(struct limit_buyer *b, guint shard, gint64 now)
{
	struct shard *s = &b->shards[shard];
	struct limit_ask asks[LIMIT_ASKS_MAX];
	struct purchase *p = g_new(struct purchase, 1);

	p->n = 0;
	while (!TAILQ_EMPTY(&s->due) && p->n < LIMIT_ASKS_MAX)
		if (next_ask(b, s, now, &asks[p->n], &p->items[p->n]))
			p->n++;
	if (p->n == 0) {
		g_free(p);
		return;
	}
	p->id = ++b->last_id;
	p->shard = shard;
	p->sent = now;
	TAILQ_INSERT_TAIL(&b->purchases, p, link);
	/* While the owner fails, one purchase at a time is enough. */
	if (s->failed_at != 0)
		s->probe_at = now + ANSWER_US;
	b->counts.messages++;
	b->o.buy(b->o.ctx, shard, asks, p->n, p->id);
}

/* Sends what is due; returns when more is due. */
static gint64
send_due(struct limit_buyer *b)
{
	gint64 now = now_of(b), next = G_MAXINT64;
	struct shard *s;
	guint i;

	for (i = 0; i < LIMIT_SHARDS; i++) {
		s = &b->shards[i];
		while (!TAILQ_EMPTY(&s->due) && now >= s->probe_at)
			send_purchase(b, i, now);
		if (!TAILQ_EMPTY(&s->due))
			next = MIN(next, s->probe_at);
	}
	return next;
}

/* ---- time ---- */

static void
expire_purchases(struct limit_buyer *b, gint64 now)
{
	struct purchase *p;

	while ((p = TAILQ_FIRST(&b->purchases)) != NULL &&
	       now - p->sent >= ANSWER_US)
		finish(b, p, NULL, 0);
}

static void
expire_waits(struct limit_buyer *b, gint64 now)
{
	struct limit_wait *w;

	while ((w = TAILQ_FIRST(&b->waits)) != NULL && w->until <= now)
		refuse(w, LIMIT_UNKNOWN, UNKNOWN_RETRY_US);
}

static void
expire_tokens(struct limit_buyer *b, gint64 now)
{
	struct limit_org *o;

	while ((o = TAILQ_FIRST(&b->holding)) != NULL && o->holding_at <= now) {
		TAILQ_REMOVE(&b->holding, o, holding);
		o->holding_at = 0;
		drop_expired(b, o, now);
		if (o->n_lots == 0)
			continue;
		o->holding_at = now + LIMIT_VALID_US;
		TAILQ_INSERT_TAIL(&b->holding, o, holding);
	}
	while ((o = TAILQ_FIRST(&b->returning)) != NULL &&
	       o->returning_at <= now) {
		TAILQ_REMOVE(&b->returning, o, returning);
		o->returning_at = 0;
		set_due(b, o);
	}
}

static void
forget_idle(struct limit_buyer *b, gint64 now)
{
	struct limit_org *o;

	while (
	    (o = TAILQ_FIRST(&b->by_use)) != NULL && now - o->used >= IDLE_US) {
		if (!o->in_flight && !o->is_due && o->n_lots == 0 &&
		    o->unused == 0 && TAILQ_EMPTY(&o->waits)) {
			org_free(b, o);
			continue;
		}
		o->used = now;
		TAILQ_REMOVE(&b->by_use, o, by_use);
		TAILQ_INSERT_TAIL(&b->by_use, o, by_use);
	}
}

gint64
limit_buyer_tick(struct limit_buyer *b)
{
	gint64 now = now_of(b), next;

	expire_purchases(b, now);
	expire_waits(b, now);
	expire_tokens(b, now);
	if (b->calls == 0)
		forget_idle(b, now);
	next = send_due(b);
	if (!TAILQ_EMPTY(&b->purchases))
		next = MIN(next, TAILQ_FIRST(&b->purchases)->sent + ANSWER_US);
	if (!TAILQ_EMPTY(&b->waits))
		next = MIN(next, TAILQ_FIRST(&b->waits)->until);
	if (!TAILQ_EMPTY(&b->holding))
		next = MIN(next, TAILQ_FIRST(&b->holding)->holding_at);
	if (!TAILQ_EMPTY(&b->returning))
		next = MIN(next, TAILQ_FIRST(&b->returning)->returning_at);
	if (!TAILQ_EMPTY(&b->by_use))
		next = MIN(next, TAILQ_FIRST(&b->by_use)->used + IDLE_US);
	return next;
}

void
limit_buyer_free(struct limit_buyer *b)
{
	struct purchase *p;

	while (!TAILQ_EMPTY(&b->waits))
		limit_cancel(TAILQ_FIRST(&b->waits));
	while ((p = TAILQ_FIRST(&b->purchases)) != NULL) {
		TAILQ_REMOVE(&b->purchases, p, link);
		g_free(p);
	}
	while (!TAILQ_EMPTY(&b->by_use))
		org_free(b, TAILQ_FIRST(&b->by_use));
	g_hash_table_destroy(b->orgs);
	g_free(b);
}

/* ---- views ---- */

void
limit_buyer_view(const struct limit_buyer *b, struct limit_buyer_view *v)
{
	*v = b->counts;
	v->orgs = g_hash_table_size(b->orgs);
}

gboolean
limit_buyer_org(
    const struct limit_buyer *b, const char *org, struct limit_org_view *v)
{
	const struct limit_org *o = g_hash_table_lookup(b->orgs, org);
	guint i;

	if (o == NULL)
		return FALSE;
	v->in_hand = 0;
	for (i = 0; i < o->n_lots; i++)
		v->in_hand += o->lots[i].n;
	v->waiting = o->n_waits;
	v->per_s = o->demand * G_USEC_PER_SEC;
	v->spent = o->spent;
	v->over = o->over;
	v->unknown = o->unknown;
	return TRUE;
}
