/*
 * Limits of organisations over all nodes: connects the entry side and the
 * owner's side of core/limit with the calls between nodes.
 */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "memb.h"
#include "call.h"
#include "limit.h"
#include "platform.h"
#include "proxy.h"

/* Time-out of a purchase: after it the buyer asks again. */
#define BUY_MS 200
/* Nodes of each failure domain that are asked for the owner of a shard. */
#define KNOWING_PER_DOMAIN 4
/*
 * Percent of the number of requests that the settings tolerate beyond a limit
 * that is used.  The rest covers changes of the owner and rounding.
 */
#define SLACK_PERCENT 70
#define TICK_US (1 * G_TIME_SPAN_SECOND)

struct limits {
	struct proxy *proxy;
	struct limit_ledger *ledger;
	struct limit_buyer *buyer;
	struct shards *shards;
	struct sys_ticker *ticker;
	guint timer;
	LIST_HEAD(purchase_list, purchase) purchases;
};

/* A purchase in progress. */
struct purchase {
	LIST_ENTRY(purchase) entry;
	struct limits *limits; /* NULL: freed meanwhile */
	guint shard;
	guint64 id;
	guint n;
	struct limit_ask asks[LIMIT_ASKS_MAX];
	char *asked; /* instance */
	gboolean redirected; /* an instance has named another as the owner */
};

static void send_purchase(struct purchase *);

static void
purchase_free(struct purchase *b)
{
	guint i;

	if (b->limits != NULL)
		LIST_REMOVE(b, entry);
	for (i = 0; i < b->n; i++)
		g_free((char *)(guintptr)b->asks[i].org);
	g_free(b->asked);
	g_free(b);
}

static void
finish(struct purchase *b, const struct limit_grant *grants, guint n)
{
	struct limits *l = b->limits;

	limit_bought(l->buyer, b->id, grants, n);
	purchase_free(b);
	sys_ticker_kick(l->ticker);
}

/* ---- the owner's side ---- */

/*
 * Rule of an organisation, with what the settings tolerate beyond its limit:
 * callers are served rather than refused within that.  Tokens that are spent at
 * the end of their validity count as issued later than they were, so that a
 * window holds those of a longer time.
 */
static void
allow(const struct plat_settings *set, const struct rtab_org *o,
    struct limit_rule *rule)
{
	double window = (double)set->limit_window / G_TIME_SPAN_SECOND;
	double valid = (double)LIMIT_VALID_US / G_TIME_SPAN_SECOND;
	double share = 1 + set->limit_overshoot;
	double most =
	    o->rate * window * share + set->limit_slack * SLACK_PERCENT / 100;

	rule->per_s = window > 0 ? most / (window + valid) : o->rate;
	rule->burst = o->burst * share;
}

static gboolean
rule_of(void *ctx, const char *org, struct limit_rule *rule)
{
	const struct limits *l = ctx;
	const struct rtab_org *o = NULL;

	if (l->proxy->rtab != NULL)
		o = rtab_org(l->proxy->rtab, org);
	if (o == NULL || o->rate <= 0)
		return FALSE;
	allow(l->proxy->set, o, rule);
	return TRUE;
}

static gboolean
answer_asks(
    struct limits *l, const struct pt_limit_args *a, struct pt_limit_res *res)
{
	struct pt_limit_grant *out = g_new0(struct pt_limit_grant, PT_ASKS_MAX);
	gboolean owner = TRUE;
	struct limit_grant g;
	guint i;

	for (i = 0; i < a->asks.asks_len; i++) {
		struct limit_ask ask = { a->asks.asks_val[i].org,
			a->asks.asks_val[i].want,
			a->asks.asks_val[i].returned };

		limit_ledger_buy(l->ledger, &ask, &g);
		out[i].status = (int)g.status;
		out[i].n = g.n;
		out[i].retry = g.retry;
		owner = owner && g.status != LIMIT_NOT_OWNER;
	}
	res->grants.grants_len = a->asks.asks_len;
	res->grants.grants_val = out;
	return owner;
}

void
limits_handle(
    struct limits *l, const struct pt_limit_args *a, struct pt_limit_res *res)
{
	res->proto = PT_PROTO;
	if (a->release != 0) {
		res->released =
		    shards_release(l->shards, a->shard, a->release, a->from);
		return;
	}
	if (!answer_asks(l, a, res))
		shards_tell(l->shards, res);
}

void
limits_clear(struct pt_limit_res *res)
{
	g_free(res->grants.grants_val);
	g_free(res->owners.owners_val);
}

/* ---- the entry side ---- */

/* Asks the owner that another node has named; FALSE: there is none. */
static gboolean
redirect(struct purchase *b)
{
	struct limits *l = b->limits;
	const char *owner = shards_owner(l->shards, b->shard);

	if (b->redirected || owner == NULL || strcmp(owner, b->asked) == 0)
		return FALSE;
	b->redirected = TRUE;
	send_purchase(b);
	return TRUE;
}

static gboolean
is_refused(const struct pt_limit_res *res)
{
	return res->grants.grants_len > 0 &&
	       res->grants.grants_val[0].status == LIMIT_NOT_OWNER;
}

static void
on_answer(void *arg, void *result, const GError *err)
{
	struct purchase *b = arg;
	const struct pt_limit_res *res = result;
	struct limit_grant grants[LIMIT_ASKS_MAX];
	guint i;

	if (b->limits == NULL) {
		purchase_free(b);
		return;
	}
	if (err != NULL || res->grants.grants_len != b->n) {
		shards_forget(b->limits->shards, b->shard);
		finish(b, NULL, 0);
		return;
	}
	if (is_refused(res)) {
		shards_forget(b->limits->shards, b->shard);
		shards_heard(b->limits->shards, res);
		if (redirect(b))
			return;
	}
	for (i = 0; i < b->n; i++) {
		grants[i].status =
		    (enum limit_status)res->grants.grants_val[i].status;
		grants[i].n = res->grants.grants_val[i].n;
		grants[i].retry = res->grants.grants_val[i].retry;
	}
	finish(b, grants, b->n);
}

static void
buy_here(struct purchase *b)
{
	struct limit_grant grants[LIMIT_ASKS_MAX];
	guint i;

	for (i = 0; i < b->n; i++)
		limit_ledger_buy(b->limits->ledger, &b->asks[i], &grants[i]);
	finish(b, grants, b->n);
}

/* Sends a purchase to the owner, or to a node that may know it. */
static void
send_purchase(struct purchase *b)
{
	struct proxy *p = b->limits->proxy;
	const char *owner = shards_owner(b->limits->shards, b->shard);
	struct pt_limit_ask asks[LIMIT_ASKS_MAX];
	struct pt_limit_args a = { .proto = PT_PROTO,
		.from = p->set->instance,
		.shard = b->shard,
		.asks = { b->n, asks } };
	const struct memb_member *m;
	guint i;

	if (owner != NULL && strcmp(owner, p->set->instance) == 0 &&
	    limit_ledger_owns(b->limits->ledger, b->shard)) {
		buy_here(b);
		return;
	}
	m = owner != NULL ? memb_find(p->memb, owner) : NULL;
	if (m == NULL || m == memb_self(p->memb) || !memb_present(m))
		m = memb_random_elected(p->memb, KNOWING_PER_DOMAIN);
	if (m == NULL) {
		finish(b, NULL, 0);
		return;
	}
	for (i = 0; i < b->n; i++) {
		asks[i].org = (char *)(guintptr)b->asks[i].org;
		asks[i].want = b->asks[i].want;
		asks[i].returned = b->asks[i].returned;
	}
	g_free(b->asked);
	b->asked = g_strdup(m->instance);
	p->rpc.call(p->rpc.ctx, m->host, m->rpc_port, PT_LIMIT, &a, BUY_MS,
	    on_answer, b);
}

static void
buy(void *ctx, guint shard, const struct limit_ask *asks, guint n, guint64 id)
{
	struct limits *l = ctx;
	struct purchase *b = g_new0(struct purchase, 1);
	guint i;

	b->limits = l;
	b->shard = shard;
	b->id = id;
	b->n = n;
	for (i = 0; i < n; i++) {
		b->asks[i] = asks[i];
		b->asks[i].org = g_strdup(asks[i].org);
	}
	LIST_INSERT_HEAD(&l->purchases, b, entry);
	send_purchase(b);
}

enum limit_verdict
limits_take(struct limits *l, const char *org, struct limit_wait *w,
    gint64 *retry, gint64 *token)
{
	struct limit_rule rule;
	enum limit_verdict v;

	*token = 0;
	if (org == NULL || !rule_of(l, org, &rule))
		return LIMIT_PASS;
	v = limit_take(l->buyer, org, w, retry, token);
	if (v == LIMIT_WAITING)
		sys_ticker_kick(l->ticker);
	return v;
}

void
limits_give_back(struct limits *l, const char *org, gint64 token)
{
	if (token == 0)
		return;
	limit_give_back(l->buyer, org, token);
	sys_ticker_kick(l->ticker);
}

/* ---- metrics ---- */

void
limits_put_metrics(const struct limits *l, GString *s)
{
	struct limit_ledger_view o;
	struct limit_buyer_view b;

	limit_ledger_view(l->ledger, &o);
	limit_buyer_view(l->buyer, &b);
	g_string_append_printf(s,
	    "ptproxy_limit_shards %u\n"
	    "ptproxy_limit_owned_organisations %u\n"
	    "ptproxy_limit_tokens_issued_total %" G_GUINT64_FORMAT "\n"
	    "ptproxy_limit_organisations %u\n"
	    "ptproxy_limit_purchases_total %" G_GUINT64_FORMAT "\n"
	    "ptproxy_limit_tokens_spent_total %" G_GUINT64_FORMAT "\n"
	    "ptproxy_limit_tokens_returned_total %" G_GUINT64_FORMAT "\n",
	    o.shards, o.orgs, o.issued, b.orgs, b.messages, b.spent,
	    b.returned);
}

/* ---- start and release ---- */

static gint64
tick(void *arg)
{
	struct limits *l = arg;

	return limit_buyer_tick(l->buyer);
}

static void
each_second(void *arg)
{
	struct limits *l = arg;

	l->timer = sys_after(TICK_US, each_second, l);
	limit_ledger_tick(l->ledger);
}

struct limits *
limits_new(struct proxy *p)
{
	struct limits *l = g_new0(struct limits, 1);
	struct limit_ledger_opts lo = {
		.clock = p->clock, .rule = rule_of, .ctx = l
	};
	struct limit_buyer_opts bo = {
		.clock = p->clock, .buy = buy, .rand = p->rand, .ctx = l
	};

	l->proxy = p;
	LIST_INIT(&l->purchases);
	l->ledger = limit_ledger_new(&lo);
	l->buyer = limit_buyer_new(&bo);
	l->shards = shards_new(p, l->ledger);
	l->ticker = sys_ticker_new(tick, l);
	l->timer = sys_after(TICK_US, each_second, l);
	return l;
}

void
limits_stop(struct limits *l)
{
	if (l != NULL)
		shards_stop(l->shards);
}

void
limits_free(struct limits *l)
{
	struct purchase *b;

	if (l == NULL)
		return;
	/* The RPC client still calls on_answer(). */
	while ((b = LIST_FIRST(&l->purchases)) != NULL) {
		LIST_REMOVE(b, entry);
		b->limits = NULL;
	}
	sys_cancel(&l->timer);
	sys_ticker_free(l->ticker);
	shards_free(l->shards);
	limit_buyer_free(l->buyer);
	limit_ledger_free(l->ledger);
	g_free(l);
}
