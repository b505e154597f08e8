/*
 * Load balancing by the power of two random choices: the cheaper of two random
 * upstreams, by calls in flight, latency and the queue that upstreams report
 * with their responses.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <math.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "call.h"
#include "work.h"

/*
 * Time for which a reported load is used.  Afterwards the upstream gets calls
 * again, whose responses report the current load.
 */
#define LOAD_TTL (200 * G_TIME_SPAN_MILLISECOND)
/* Latency assumed for a service without measurements. */
#define LATENCY_FIRST (5 * G_TIME_SPAN_MILLISECOND)
/* Weight of a new sample in the moving average of latency: 1 / LATENCY_DIV. */
#define LATENCY_DIV 8
/*
 * A latency without new samples decays after this time; otherwise an upstream
 * that is no longer chosen would keep the latency of a past overload forever.
 */
#define LATENCY_FRESH (200 * G_TIME_SPAN_MILLISECOND)
/* Time constant of that decay, in µs. */
#define LATENCY_TAU 1e6
/* Extra cost of leaving the failure domain: two hops of 1.5 ms. */
#define SPILL_COST (3 * G_TIME_SPAN_MILLISECOND)
/*
 * Share of busy slots of an upstream in the own failure domain from which
 * upstreams in others are considered.
 */
#define SPILL_FROM 0.8
/*
 * Weight of busy slots relative to the time of a call: an upstream that is
 * twice as slow as another is chosen once two thirds of the slots of the faster
 * one are busy.
 */
#define BUSY_WEIGHT 1.5
/*
 * Weight of the time in a slot, relative to that of the wait, for a call that
 * misses its target on this upstream.
 */
#define LATE_WEIGHT 0.3
/*
 * Time for which a reported limit is used: an upstream that is hardly chosen
 * would otherwise keep the limit of a past overload forever.
 */
#define LIMIT_TTL (5 * G_TIME_SPAN_SECOND)
/* Slots that an upstream counts as having if it takes next to no requests. */
#define SLOTS_MIN 0.01
/* Failure rate: weight of a new call, and time constant of its decay in µs. */
#define FAILURE_NEW (1.0 / 16)
#define FAILURE_TAU 5e6
/* An upstream that fails half of its calls is rated as three times as slow. */
#define FAILURE_WEIGHT 4
/* Share of its full load that an upstream gets at the start of its ramp. */
#define RAMP_FIRST 0.1
/* Consecutive failures that eject an upstream. */
#define EJECT_CONSECUTIVE 5
/*
 * Share of failures that ejects an upstream, of at least EJECT_MIN calls in the
 * current and the previous window.
 */
#define EJECT_SHARE 0.5
#define EJECT_MIN 20
#define EJECT_WINDOW (5 * G_TIME_SPAN_SECOND)
/* First ejection time; doubles with each further ejection up to the maximum. */
#define EJECT_TIME (5 * G_TIME_SPAN_SECOND)
#define EJECT_TIME_MAX (80 * G_TIME_SPAN_SECOND)
/*
 * First time for which an unreachable upstream is avoided; doubles with each
 * further failed connection up to the maximum.
 */
#define AVOID_TIME (1 * G_TIME_SPAN_SECOND)
#define AVOID_TIME_MAX (8 * G_TIME_SPAN_SECOND)
/* Retry-After hint if no upstream is available. */
#define RETRY_NONE_MS 1000
/*
 * Maximum number of candidates for a call in the own failure domain, and again
 * in all others together.
 */
#define CANDIDATES_MAX 64
/*
 * Candidates compared by work, in the own failure domain and in others.  With
 * fewer, more requests find a long queue; with all, more miss their targets at
 * 130 % load, as nodes with the same reports choose the same upstreams.
 */
#define WORK_LOCAL 5
#define WORK_OTHER 5
/* Calls whose memory is kept for the next ones. */
#define SPARE_CALLS 64
/* Weight of a report in the usual backlog of all upstreams of a service. */
#define USUAL_WEIGHT (1.0 / 64)

/* Latency of one rank; includes the wait in the rank's queue. */
struct latency {
	gint64 mean; /* moving average, 0: not measured */
	gint64 sampled_at; /* time of the last sample */
};

struct upstream {
	guint refs;
	char *instance;
	char *domain;
	gint64 incarnation;
	int slots;
	double limit; /* requests a second that it takes, -1: no limit */
	gint64 limit_at; /* time of that report */
	enum pt_state state;
	gboolean local; /* in the failure domain of this node */
	gboolean member; /* in the current set of its service */
	struct service *service; /* valid while member is TRUE */
	gint64 ramp_at; /* start of the ramp, 0: no ramp */
	guint in_flight;
	guint in_flight_of[PT_RANKS_MAX]; /* by rank */
	struct latency latency[PT_RANKS_MAX];
	struct cost *route_time; /* reported by the upstream */
	struct work_state work; /* by_work only, as the next one */
	struct cost *link_time; /* reported by the upstream, by route */
	double failure_rate; /* moving average */
	gint64 failure_rate_at;
	int running, queued; /* load reported by the upstream */
	int wait_ms[PT_RANKS_MAX]; /* reported in the same load */
	gint64 load_at; /* time of that report, 0: none */
	gint64 answered_at; /* time of the last response */
	guint consecutive_failures; /* since the last success */
	gint64 window_at; /* start of the current window */
	guint calls[2], failures[2]; /* current and previous window */
	gint64 ejected_until;
	guint ejections;
	gint64 avoid_until;
	guint avoids; /* times avoided since the last success */
};

struct service {
	char *name;
	struct lb_service_opts opts;
	GPtrArray *upstreams; /* struct upstream, one reference each */
	struct cost *route_time; /* mean of the reports of all upstreams */
	struct latency latency[PT_RANKS_MAX]; /* of all upstreams */
	struct predict *predict; /* NULL until by_work is set */
	double usual; /* reported backlog per slot, moving average */
	gboolean usual_known;
	struct cost *slot_time; /* mean of the reports, by route */
};

/* A call in flight. */
struct lb_call {
	struct upstream *upstream;
	int order;
	gint64 sent_at;
	/* By work only. */
	struct predict_id kind;
	double work; /* expected time in a slot, in us */
	gboolean reported;
	SLIST_ENTRY(lb_call) spare;
};

struct lb {
	struct lb_opts o;
	char *domain;
	GHashTable *services; /* name -> struct service */
	SLIST_HEAD(call_list, lb_call) spare; /* calls that have ended */
	guint n_spare;
};

static void
upstream_unref(void *p)
{
	struct upstream *u = p;

	if (--u->refs > 0)
		return;
	g_free(u->instance);
	g_free(u->domain);
	cost_free(u->route_time);
	cost_free(u->link_time);
	g_free(u);
}

static void
upstream_removed(void *p)
{
	struct upstream *u = p;

	u->member = FALSE;
	u->service = NULL;
	upstream_unref(u);
}

static void
service_free(void *p)
{
	struct service *s = p;

	g_ptr_array_unref(s->upstreams);
	cost_free(s->route_time);
	predict_free(s->predict);
	cost_free(s->slot_time);
	g_free(s->name);
	g_free(s);
}

struct lb *
lb_new(const struct lb_opts *o)
{
	struct lb *lb = g_new0(struct lb, 1);

	lb->o = *o;
	lb->domain = g_strdup(o->domain);
	lb->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	return lb;
}

void
lb_free(struct lb *lb)
{
	struct lb_call *c;

	if (lb == NULL)
		return;
	while ((c = SLIST_FIRST(&lb->spare)) != NULL) {
		SLIST_REMOVE_HEAD(&lb->spare, spare);
		g_free(c);
	}
	g_hash_table_unref(lb->services);
	g_free(lb->domain);
	g_free(lb);
}

static struct upstream *
upstream_find(const struct service *s, const char *instance)
{
	struct upstream *u;
	guint i;

	for (i = 0; i < s->upstreams->len; i++) {
		u = g_ptr_array_index(s->upstreams, i);
		if (strcmp(u->instance, instance) == 0)
			return u;
	}
	return NULL;
}

/* Finds or creates the upstream of a member; the caller gets a reference. */
static struct upstream *
upstream_get(struct lb *lb, struct service *s, const struct lb_member *m)
{
	struct upstream *u;

	u = upstream_find(s, m->instance);
	if (u != NULL && u->incarnation == m->incarnation &&
	    strcmp(u->domain, m->domain) == 0) {
		u->refs++;
		return u;
	}
	u = g_new0(struct upstream, 1);
	u->refs = 1;
	u->instance = g_strdup(m->instance);
	u->domain = g_strdup(m->domain);
	u->incarnation = m->incarnation;
	u->local = lb->domain != NULL && strcmp(m->domain, lb->domain) == 0;
	u->state = PT_BOOTING;
	u->limit = -1;
	u->route_time = cost_new();
	u->link_time = cost_new();
	return u;
}

static struct service *
service_get(struct lb *lb, const char *name)
{
	struct service *s;

	s = g_hash_table_lookup(lb->services, name);
	if (s != NULL)
		return s;
	s = g_new0(struct service, 1);
	s->name = g_strdup(name);
	s->upstreams = g_ptr_array_new_with_free_func(upstream_removed);
	s->route_time = cost_new();
	s->slot_time = cost_new();
	g_hash_table_insert(lb->services, s->name, s);
	return s;
}

void
lb_set(struct lb *lb, const char *name, const struct lb_service_opts *o,
    const struct lb_member *m, guint n)
{
	gint64 now = pt_now(&lb->o.clock);
	GPtrArray *set;
	struct service *s;
	struct upstream *u;
	gboolean first;
	guint i;

	if (n == 0) {
		g_hash_table_remove(lb->services, name);
		return;
	}
	s = service_get(lb, name);
	s->opts = *o;
	if (o->by_work && s->predict == NULL)
		s->predict = predict_new();
	first = s->upstreams->len == 0;
	set = g_ptr_array_new_full(n, upstream_removed);
	for (i = 0; i < n; i++) {
		u = upstream_get(lb, s, &m[i]);
		if (m[i].state == PT_SERVING && u->state != PT_SERVING) {
			u->ramp_at = first ? 0 : now;
			if (!first)
				work_start_slow(&u->work);
		}
		u->state = m[i].state;
		u->slots = MAX(m[i].slots, 1);
		g_ptr_array_add(set, u);
	}
	g_ptr_array_unref(s->upstreams);
	s->upstreams = set;
	for (i = 0; i < set->len; i++) {
		u = g_ptr_array_index(set, i);
		u->member = TRUE;
		u->service = s;
	}
}

static double
upstream_ramp(const struct upstream *u, const struct service *s, gint64 now)
{
	double r;

	if (u->ramp_at == 0 || s->opts.ramp_ms <= 0)
		return 1;
	r = (double)(now - u->ramp_at) /
	    (s->opts.ramp_ms * G_TIME_SPAN_MILLISECOND);
	return CLAMP(r, RAMP_FIRST, 1);
}

static gboolean
load_fresh(const struct upstream *u, gint64 now)
{
	return u->load_at != 0 && now - u->load_at < LOAD_TTL;
}

/* Reported wait of a rank in µs; 0 if there is no fresh report. */
static gint64
upstream_wait(const struct upstream *u, int order, gint64 now)
{
	if (!load_fresh(u, now))
		return 0;
	return u->wait_ms[order] * G_TIME_SPAN_MILLISECOND;
}

/* Share of busy slots, by the calls of this node and the reported load. */
static double
upstream_busy(const struct upstream *u, gint64 now)
{
	int used = (int)u->in_flight;

	if (load_fresh(u, now))
		used = MAX(used, u->running + u->queued);
	return (double)used / u->slots;
}

static double
failure_rate(const struct upstream *u, gint64 now)
{
	return u->failure_rate *
	       exp((double)(u->failure_rate_at - now) / FAILURE_TAU);
}

/* Slots that calls of time "t" can use within the limit of the upstream. */
static double
usable_slots(const struct upstream *u, double t, gint64 now)
{
	if (u->limit < 0 || now - u->limit_at > LIMIT_TTL)
		return u->slots;
	return CLAMP(u->limit * t / G_TIME_SPAN_SECOND, SLOTS_MIN, u->slots);
}

/* Time that a call is expected to take from its arrival at the upstream. */
static double
upstream_time(const struct upstream *u, const struct service *s,
    const struct lb_request *req, gint64 now)
{
	int order = CLAMP(req->rank_order, 0, PT_RANKS_MAX - 1);
	guint ahead = u->in_flight;
	double t = 0, wait, left = (double)(req->target - now);

	if (req->route != NULL)
		t = (double)cost_get(u->route_time, req->route);
	if (t <= 0 && req->route != NULL)
		t = (double)cost_get(s->route_time, req->route);
	if (t <= 0)
		t = LATENCY_FIRST;
	if (load_fresh(u, now))
		ahead = MAX(ahead, (guint)MAX(u->running, 0));
	t *= 1 + BUSY_WEIGHT * (ahead + 1) / usable_slots(u, t, now);
	t *= 1 + FAILURE_WEIGHT * failure_rate(u, now);
	wait = (double)upstream_wait(u, order, now);
	if (req->target == 0 || t + wait <= MAX(left, 0))
		return t + wait;
	/*
	 * With many slow upstreams, a call that misses its target wherever it
	 * runs is sent to an upstream with free slots, so that the fast ones
	 * are left to calls that can be in time.
	 */
	return MAX(left, 0) + wait + t * LATE_WEIGHT;
}

/* Cost in µs of sending a call to an upstream; the lowest is chosen. */
static double
upstream_cost(const struct upstream *u, const struct service *s,
    const struct lb_request *req, gint64 now)
{
	int order = CLAMP(req->rank_order, 0, PT_RANKS_MAX - 1);
	const struct latency *l = &u->latency[order];
	guint ahead = u->in_flight;
	double lat;
	int i;

	if (s->opts.by_time)
		return upstream_time(u, s, req, now);

	if (l->mean == 0)
		l = &s->latency[order];
	lat = l->mean == 0 ? LATENCY_FIRST : (double)l->mean;
	if (l->mean != 0 && now - l->sampled_at > LATENCY_FRESH)
		lat *= exp((double)(l->sampled_at - now) / LATENCY_TAU);
	/* The reported wait covers running calls of less urgent ranks. */
	if (load_fresh(u, now))
		for (i = order + 1; i < PT_RANKS_MAX; i++)
			ahead -= u->in_flight_of[i];
	return lat * (ahead + 1) / usable_slots(u, lat, now) +
	       (double)upstream_wait(u, order, now);
}

/* Draws a random candidate other than "except", weighted by its ramp. */
static struct upstream *
draw_candidate(struct lb *lb, const struct service *s, struct upstream **c,
    guint n, const struct upstream *except, gint64 now)
{
	double sum = 0, x;
	struct upstream *last = NULL;
	guint i;

	for (i = 0; i < n; i++)
		if (c[i] != except)
			sum += upstream_ramp(c[i], s, now);
	x = g_rand_double(lb->o.rand) * sum;
	for (i = 0; i < n; i++) {
		if (c[i] == except)
			continue;
		last = c[i];
		x -= upstream_ramp(c[i], s, now);
		if (x < 0)
			break;
	}
	return last;
}

/*
 * Returns the cheaper of two random candidates.  An upstream in slow start is
 * drawn only as often as its ramp allows; as it is idle, it would otherwise win
 * every comparison.
 */
static struct upstream *
two_choices(struct lb *lb, const struct service *s, struct upstream **c,
    guint n, const struct lb_request *req, gint64 now)
{
	struct upstream *a, *b;

	if (n == 0)
		return NULL;
	a = draw_candidate(lb, s, c, n, NULL, now);
	b = draw_candidate(lb, s, c, n, a, now);
	if (b == NULL)
		return a;
	return upstream_cost(b, s, req, now) < upstream_cost(a, s, req, now)
		   ? b
		   : a;
}

static gboolean
excluded(const struct lb_request *req, const struct upstream *u)
{
	guint i;

	for (i = 0; i < req->n_exclude; i++)
		if (strcmp(req->exclude[i], u->instance) == 0)
			return TRUE;
	return FALSE;
}

/* Candidates for a call, in the own failure domain and in others. */
struct candidates {
	struct upstream *local[CANDIDATES_MAX], *other[CANDIDATES_MAX];
	guint n_local, n_other;
};

static void
candidate_add(struct candidates *c, struct upstream *u)
{
	if (u->local && c->n_local < CANDIDATES_MAX)
		c->local[c->n_local++] = u;
	else if (!u->local && c->n_other < CANDIDATES_MAX)
		c->other[c->n_other++] = u;
}

/*
 * TRUE if an upstream is ejected or avoided.  After the time to avoid it, an
 * unreachable upstream gets a single call at a time until one succeeds.
 */
static gboolean
upstream_unusable(const struct upstream *u, gint64 now)
{
	if (u->ejected_until > now || u->avoid_until > now)
		return TRUE;
	return u->avoids > 0 && u->in_flight > 0;
}

/*
 * Collects the candidates.  Ejected and unreachable upstreams are included only
 * if "any" is set, which is the fallback when there are no others.  Starts at a
 * random position, so that all upstreams of a service with more than
 * CANDIDATES_MAX are used.
 */
static void
collect_candidates(struct lb *lb, const struct service *s,
    const struct lb_request *req, gboolean any, gint64 now,
    struct candidates *c)
{
	guint n = s->upstreams->len, from = 0, i;
	struct upstream *u;

	c->n_local = c->n_other = 0;
	if (n > CANDIDATES_MAX)
		from = g_rand_int_range(lb->o.rand, 0, n);
	for (i = 0; i < n; i++) {
		u = g_ptr_array_index(s->upstreams, (from + i) % n);
		if (u->state != PT_SERVING || excluded(req, u))
			continue;
		if (!any && upstream_unusable(u, now))
			continue;
		candidate_add(c, u);
	}
}

/*
 * Removes candidates whose reported wait ends after the deadline; returns the
 * shortest reported wait, or "least" if that is shorter.
 */
static gint64
drop_late(struct upstream **c, guint *n, int order, gint64 deadline, gint64 now,
    gint64 least)
{
	guint i, n_left = 0;
	gint64 w;

	for (i = 0; i < *n; i++) {
		w = upstream_wait(c[i], order, now);
		least = MIN(least, w);
		if (w <= deadline - now)
			c[n_left++] = c[i];
	}
	*n = n_left;
	return least;
}

static struct upstream *
pick(struct lb *lb, const struct service *s, struct candidates *c,
    const struct lb_request *req, gint64 now)
{
	double spill = (double)(SPILL_COST + req->spill_cost);
	struct upstream *l, *o;

	l = two_choices(lb, s, c->local, c->n_local, req, now);
	if (l != NULL && !s->opts.by_time && upstream_busy(l, now) < SPILL_FROM)
		return l;
	o = two_choices(lb, s, c->other, c->n_other, req, now);
	if (l == NULL || o == NULL)
		return l != NULL ? l : o;
	if (upstream_cost(o, s, req, now) + spill <
	    upstream_cost(l, s, req, now))
		return o;
	return l;
}

/* ---- the choice by remaining work ---- */

/* A request, as the choice by work sees it. */
struct kind {
	struct predict_id id;
	struct predict_work work, route;
};

static void
kind_of(const struct service *s, const struct lb_request *req, struct kind *k)
{
	struct predict_key key = { req->route, req->method, req->body, req->org,
		req->retry };

	predict_id(&key, &k->id);
	predict_get(s->predict, &k->id, &k->work);
	predict_route(s->predict, &k->id, &k->route);
}

static double
work_here(const struct upstream *u, const struct kind *k, gint64 now)
{
	return k->work.mean / work_speed(&u->work, now);
}

static void
view_of(const struct upstream *u, const struct lb_request *req,
    const struct kind *k, gint64 now, struct work_view *v)
{
	v->work = work_here(u, k, now);
	v->spread = k->work.spread;
	v->mean = k->route.mean / work_speed(&u->work, now);
	v->slots = usable_slots(u, v->work, now);
	v->failures = failure_rate(u, now);
	v->hop = u->local ? 0 : (double)(SPILL_COST + req->spill_cost);
	if (req->route != NULL)
		v->hop += (double)cost_get(u->link_time, req->route);
}

/* Removes a random candidate from c, weighted by its ramp, and returns it. */
static struct upstream *
take_candidate(struct lb *lb, const struct service *s, struct upstream **c,
    guint *n, gint64 now)
{
	struct upstream *u = draw_candidate(lb, s, c, *n, NULL, now);
	guint i;

	for (i = 0; i < *n && c[i] != u; i++)
		;
	c[i] = c[--*n];
	return u;
}

struct best {
	struct upstream *upstream; /* NULL: all waits exceed the deadline */
	double cost;
	gint64 least; /* shortest wait */
};

/* Compares up to "most" of the candidates with the best one so far. */
static void
compare_by_work(struct lb *lb, const struct service *s,
    const struct lb_request *req, const struct kind *k, struct upstream **c,
    guint *n, guint most, struct best *b)
{
	gint64 now = pt_now(&lb->o.clock);
	struct work_view v;
	struct upstream *u;
	double wait, cost;

	for (; most > 0 && *n > 0; most--) {
		u = take_candidate(lb, s, c, n, now);
		view_of(u, req, k, now, &v);
		wait = work_wait(&v,
		    work_backlog(&u->work, v.slots, s->usual * u->slots, now));
		b->least = MIN(b->least, (gint64)wait);
		if (wait > (double)(req->deadline - now))
			continue;
		cost = work_cost(
		    &v, wait, req->target != 0, (double)(req->target - now));
		if (b->upstream == NULL || cost < b->cost) {
			b->upstream = u;
			b->cost = cost;
		}
	}
}

/*
 * With a probability of its share of the upstreams, one that has not reported
 * to this node yet: assumed to be slow, it would lose every comparison with
 * idle ones, and none of its reports would correct that.
 */
static struct upstream *
pick_unknown(struct lb *lb, struct upstream *const *c, guint n)
{
	guint i;

	if (n < 2)
		return NULL;
	i = (guint)g_rand_int_range(lb->o.rand, 0, (gint32)n);
	return c[i]->work.at == 0 && c[i]->in_flight == 0 ? c[i] : NULL;
}

static struct upstream *
pick_by_work(struct lb *lb, const struct service *s, struct candidates *c,
    const struct lb_request *req, const struct kind *k, gint64 *least)
{
	struct best b = { NULL, 0, G_MAXINT64 };
	struct upstream *u;

	u = pick_unknown(lb, c->local, c->n_local);
	if (u == NULL && c->n_local == 0)
		u = pick_unknown(lb, c->other, c->n_other);
	if (u != NULL)
		return u;
	compare_by_work(lb, s, req, k, c->local, &c->n_local, WORK_LOCAL, &b);
	compare_by_work(lb, s, req, k, c->other, &c->n_other, WORK_OTHER, &b);
	/* None of these is in time: tries all. */
	if (b.upstream == NULL) {
		compare_by_work(
		    lb, s, req, k, c->local, &c->n_local, G_MAXUINT, &b);
		compare_by_work(
		    lb, s, req, k, c->other, &c->n_other, G_MAXUINT, &b);
	}
	*least = b.least;
	return b.upstream;
}

/* ---- calls ---- */

static struct lb_call *
call_new(struct lb *lb)
{
	struct lb_call *c = SLIST_FIRST(&lb->spare);

	if (c == NULL)
		return g_new0(struct lb_call, 1);
	SLIST_REMOVE_HEAD(&lb->spare, spare);
	lb->n_spare--;
	memset(c, 0, sizeof(*c));
	return c;
}

static void
call_free(struct lb *lb, struct lb_call *c)
{
	if (lb->n_spare >= SPARE_CALLS) {
		g_free(c);
		return;
	}
	SLIST_INSERT_HEAD(&lb->spare, c, spare);
	lb->n_spare++;
}

static struct lb_call *
begin_call(struct lb *lb, struct upstream *u, int order, gint64 now)
{
	struct lb_call *c = call_new(lb);

	u->in_flight++;
	u->in_flight_of[order]++;
	u->refs++;
	c->upstream = u;
	c->order = order;
	c->sent_at = now;
	return c;
}

static enum lb_verdict
choose_by_work(struct lb *lb, const struct service *s,
    const struct lb_request *req, struct candidates *c, struct lb_call **call,
    int *retry_ms)
{
	gint64 now = pt_now(&lb->o.clock), least;
	struct upstream *u;
	struct kind k;

	kind_of(s, req, &k);
	u = pick_by_work(lb, s, c, req, &k, &least);
	if (u == NULL) {
		*retry_ms =
		    (int)MIN(least / G_TIME_SPAN_MILLISECOND, (gint64)G_MAXINT);
		return LB_LATE;
	}
	*call =
	    begin_call(lb, u, CLAMP(req->rank_order, 0, PT_RANKS_MAX - 1), now);
	(*call)->kind = k.id;
	(*call)->work = work_here(u, &k, now);
	work_sent(&u->work, (*call)->work, now);
	return LB_CHOSEN;
}

enum lb_verdict
lb_choose(struct lb *lb, const struct lb_request *req, struct lb_call **call,
    int *retry_ms)
{
	gint64 now = pt_now(&lb->o.clock), least = G_MAXINT64;
	int order = CLAMP(req->rank_order, 0, PT_RANKS_MAX - 1);
	struct candidates c;
	struct service *s;
	struct upstream *u;

	*call = NULL;
	*retry_ms = RETRY_NONE_MS;
	s = g_hash_table_lookup(lb->services, req->service);
	if (s == NULL)
		return LB_NONE;
	collect_candidates(lb, s, req, FALSE, now, &c);
	if (c.n_local + c.n_other == 0)
		collect_candidates(lb, s, req, TRUE, now, &c);
	if (c.n_local + c.n_other == 0)
		return LB_NONE;
	if (s->opts.by_work)
		return choose_by_work(lb, s, req, &c, call, retry_ms);
	least =
	    drop_late(c.local, &c.n_local, order, req->deadline, now, least);
	least =
	    drop_late(c.other, &c.n_other, order, req->deadline, now, least);
	if (c.n_local + c.n_other == 0) {
		*retry_ms = (int)(least / G_TIME_SPAN_MILLISECOND);
		return LB_LATE;
	}
	u = pick(lb, s, &c, req, now);
	*call = begin_call(lb, u, order, now);
	return LB_CHOSEN;
}

const char *
lb_call_instance(const struct lb_call *c)
{
	return c->upstream->instance;
}

gint64
lb_call_incarnation(const struct lb_call *c)
{
	return c->upstream->incarnation;
}

/* Adds a sample, with more weight if the previous one is old. */
static void
latency_add(struct latency *l, gint64 sample, gint64 now)
{
	double weight = 1.0 / LATENCY_DIV;

	if (now - l->sampled_at > LATENCY_FRESH)
		weight = MAX(weight,
		    1 - exp((double)(l->sampled_at - now) / LATENCY_TAU));
	if (l->mean == 0)
		weight = 1;
	l->mean += (gint64)((double)(sample - l->mean) * weight);
	l->mean = MAX(l->mean, 1);
	l->sampled_at = now;
}

/*
 * TRUE if one more upstream may be ejected.  The cap protects the service when
 * failures are reported wrongly for all upstreams; the last one in use is never
 * ejected.
 */
static gboolean
may_eject(const struct service *s, gint64 now)
{
	guint i, out = 0, serving = 0;
	struct upstream *u;

	for (i = 0; i < s->upstreams->len; i++) {
		u = g_ptr_array_index(s->upstreams, i);
		if (u->state != PT_SERVING)
			continue;
		serving++;
		out += u->ejected_until > now;
	}
	return (out + 1) * 100 <= serving * (guint)MAX(s->opts.eject_max, 0) &&
	       out + 1 < serving;
}

static void
window_advance(struct upstream *u, gint64 now)
{
	if (now - u->window_at < EJECT_WINDOW)
		return;
	u->calls[1] = u->calls[0];
	u->failures[1] = u->failures[0];
	if (now - u->window_at >= 2 * EJECT_WINDOW)
		u->calls[1] = u->failures[1] = 0;
	u->calls[0] = u->failures[0] = 0;
	u->window_at = now;
}

static gboolean
should_eject(const struct upstream *u)
{
	guint calls = u->calls[0] + u->calls[1];

	if (u->consecutive_failures >= EJECT_CONSECUTIVE)
		return TRUE;
	return calls >= EJECT_MIN &&
	       u->failures[0] + u->failures[1] >= calls * EJECT_SHARE;
}

static gint64
backoff(gint64 first, gint64 most, guint n)
{
	return MIN(first << MIN(n, 16), most);
}

static void
eject(struct lb *lb, struct upstream *u, gint64 now)
{
	gint64 t = backoff(EJECT_TIME, EJECT_TIME_MAX, u->ejections);

	u->ejections++;
	u->ejected_until = now + t;
	u->consecutive_failures = 0;
	memset(u->calls, 0, sizeof(u->calls));
	memset(u->failures, 0, sizeof(u->failures));
	pt_event(lb->o.events, PT_LEVEL_WARNING, "upstream-ejected",
	    "service=%s upstream=%s time_ms=%" G_GINT64_FORMAT,
	    u->service->name, u->instance, t / G_TIME_SPAN_MILLISECOND);
}

static void
observe_success(struct upstream *u, int order, gint64 latency, gint64 now)
{
	u->consecutive_failures = 0;
	u->avoids = 0;
	u->avoid_until = 0;
	latency_add(&u->latency[order], latency, now);
	if (u->member)
		latency_add(&u->service->latency[order], latency, now);
	/* After EJECT_TIME_MAX without an ejection the next one is short. */
	if (u->ejections > 0 && now - u->ejected_until > EJECT_TIME_MAX)
		u->ejections = 0;
}

static void
failure_rate_add(struct upstream *u, gboolean failed, gint64 now)
{
	u->failure_rate = failure_rate(u, now);
	u->failure_rate += ((failed ? 1 : 0) - u->failure_rate) * FAILURE_NEW;
	u->failure_rate_at = now;
}

void
lb_report_time(struct lb *lb, struct lb_call *c, const char *route, gint64 us)
{
	if (us <= 0)
		return;
	cost_set(c->upstream->route_time, route, us);
	if (c->upstream->member)
		cost_add(c->upstream->service->route_time, route, us);
}

void
lb_report_limit(struct lb *lb, struct lb_call *c, double per_s)
{
	c->upstream->limit = per_s;
	c->upstream->limit_at = pt_now(&lb->o.clock);
}

/*
 * Learns the speed from the mean time in a slot that the upstream reports for a
 * route, relative to the reports of all.  Predictions stay out of it: they
 * depend on the speeds, and errors of both would amplify each other.
 */
static void
learn_speed(
    struct service *s, struct upstream *u, const char *route, gint64 mean)
{
	if (mean <= 0)
		return;
	cost_add(s->slot_time, route, mean);
	work_learn_speed(&u->work,
	    log((double)MAX(cost_get(s->slot_time, route), 1) / (double)mean));
}

void
lb_report_work(struct lb *lb, struct lb_call *c, const char *route,
    const struct lb_work *w)
{
	struct upstream *u = c->upstream;
	struct service *s = u->service;
	gint64 now = pt_now(&lb->o.clock);

	if (!u->member || !s->opts.by_work)
		return;
	work_reported(&u->work, (double)w->remaining, w->inflow, now);
	c->reported = TRUE;
	if (w->link > 0 || cost_get(u->link_time, route) > 0)
		cost_set(u->link_time, route, w->link);
	s->usual += ((double)MAX(w->remaining, 0) / u->slots - s->usual) *
		    (s->usual_known ? USUAL_WEIGHT : 1);
	s->usual_known = TRUE;
	if (c->kind.h[0] == 0)
		return;
	if (w->took > 0)
		predict_add(s->predict, &c->kind,
		    (double)w->took * work_speed(&u->work, now), w->cut);
	learn_speed(s, u, route, w->mean);
}

static void
observe(struct lb *lb, const struct lb_call *c, enum lb_result r,
    gint64 latency, gint64 now)
{
	struct upstream *u = c->upstream;

	if (r == LB_EXPIRED)
		r = u->answered_at > c->sent_at ? LB_CANCELLED : LB_FAILED;
	if (r == LB_RAN || r == LB_REFUSED)
		u->answered_at = now;

	switch (r) {
	case LB_RAN:
		window_advance(u, now);
		u->calls[0]++;
		failure_rate_add(u, FALSE, now);
		observe_success(u, c->order, latency, now);
		break;
	case LB_FAILED:
		window_advance(u, now);
		u->calls[0]++;
		u->failures[0]++;
		u->consecutive_failures++;
		failure_rate_add(u, TRUE, now);
		break;
	case LB_UNREACHED:
		if (u->avoid_until > now)
			break;
		u->avoid_until =
		    now + backoff(AVOID_TIME, AVOID_TIME_MAX, u->avoids);
		u->avoids++;
		break;
	case LB_REFUSED:
	case LB_EXPIRED:
	case LB_CANCELLED:
		break;
	}
	if (u->member && u->ejected_until <= now && should_eject(u) &&
	    may_eject(u->service, now))
		eject(lb, u, now);
}

static void
observe_load(struct upstream *u, const struct pt_load *l, gint64 now)
{
	guint n = MIN(l->wait_ms.wait_ms_len, PT_RANKS_MAX);

	u->running = l->running;
	u->queued = l->queued;
	memset(u->wait_ms, 0, sizeof(u->wait_ms));
	if (n > 0)
		memcpy(u->wait_ms, l->wait_ms.wait_ms_val,
		    n * sizeof(u->wait_ms[0]));
	u->load_at = now;
}

void
lb_done(struct lb *lb, struct lb_call *c, enum lb_result r, gint64 latency_us,
    const struct pt_load *load)
{
	gint64 now = pt_now(&lb->o.clock);
	struct upstream *u = c->upstream;

	u->in_flight--;
	u->in_flight_of[c->order]--;
	if (load != NULL)
		observe_load(u, load, now);
	if (!c->reported)
		work_unsent(&u->work, c->work);
	observe(lb, c, r, latency_us, now);
	upstream_unref(u);
	call_free(lb, c);
}

gboolean
lb_inspect(
    struct lb *lb, const char *service, const char *instance, struct lb_view *v)
{
	gint64 now = pt_now(&lb->o.clock);
	struct service *s;
	struct upstream *u;
	guint i;

	s = g_hash_table_lookup(lb->services, service);
	u = s != NULL ? upstream_find(s, instance) : NULL;
	if (u == NULL)
		return FALSE;
	v->in_flight = u->in_flight;
	v->latency_us = 0;
	for (i = 0; i < PT_RANKS_MAX; i++)
		v->latency_us = MAX(v->latency_us, u->latency[i].mean);
	v->ejected = u->ejected_until > now;
	v->avoided = u->avoid_until > now;
	v->ramp = upstream_ramp(u, s, now);
	v->speed = work_speed(&u->work, now);
	v->backlog_us =
	    work_backlog(&u->work, u->slots, s->usual * u->slots, now);
	return TRUE;
}
