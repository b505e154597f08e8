#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <math.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "call.h"
#include "sim.h"

#define MS G_TIME_SPAN_MILLISECOND
/* One-way delay within a failure domain, in us. */
#define HOP_LOCAL 100
/* Interval at which upstreams drop expired calls. */
#define TICK (10 * MS)
/* Time for membership to remove a failed node: probe interval and suspicion. */
#define DETECT (4 * G_TIME_SPAN_SECOND)
#define ATTEMPTS_MAX 3
#define EJECT_MAX 50
#define RETRY_PERCENT 10
#define SERVICE "s"

struct sim;

struct event {
	gint64 at;
	guint64 seq; /* orders events of the same time */
	void (*run)(struct sim *, void *);
	void *arg;
};

struct node {
	struct sim *sim;
	char name[16];
	char domain[16];
	guint domain_index; /* index of the failure domain */
	gboolean dead;
	struct adm *adm;
	struct lb *lb; /* chooses upstreams for calls that enter here */
	struct budget *budget;
};

struct call {
	struct adm_job job;
	struct sim *sim;
	guint class;
	gint64 begun, deadline, sent;
	gint64 target_from; /* time from which its target is counted */
	struct node *entry, *node; /* node: the upstream */
	struct lb_call *lb_call;
	const char *tried[ATTEMPTS_MAX];
	guint attempts;
	enum lb_result result;
	int wait_ms[PT_RANKS_MAX];
	struct pt_load load;
	gboolean has_load;
	gboolean counted; /* begun after the warm-up */
	guint retries; /* number of retries by the caller */
	gboolean started; /* an upstream began to run it */
};

struct sim {
	const struct sim_opts *o;
	struct sim_stats *st;
	gint64 now;
	guint64 seq;
	GArray *heap; /* struct event */
	GRand *rand;
	struct node *nodes;
	GArray *latency[SIM_CLASSES_MAX]; /* gint64 */
};

static gboolean
before(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void
swap(struct event *a, struct event *b)
{
	struct event t = *a;

	*a = *b;
	*b = t;
}

static void
schedule(struct sim *s, gint64 at, void (*fn)(struct sim *, void *), void *arg)
{
	struct event e = { at, s->seq++, fn, arg }, *h;
	guint i, parent;

	g_array_append_val(s->heap, e);
	h = (struct event *)(void *)s->heap->data;
	for (i = s->heap->len - 1; i > 0; i = parent) {
		parent = (i - 1) / 2;
		if (!before(&h[i], &h[parent]))
			break;
		swap(&h[i], &h[parent]);
	}
}

static gboolean
next_event(struct sim *s, struct event *e)
{
	struct event *h = (struct event *)(void *)s->heap->data;
	guint n = s->heap->len, i = 0, c;

	if (n == 0)
		return FALSE;
	*e = h[0];
	h[0] = h[--n];
	g_array_set_size(s->heap, n);
	while ((c = 2 * i + 1) < n) {
		if (c + 1 < n && before(&h[c + 1], &h[c]))
			c++;
		if (!before(&h[c], &h[i]))
			break;
		swap(&h[c], &h[i]);
		i = c;
	}
	return TRUE;
}

static gint64
sim_now(void *ctx)
{
	return ((struct sim *)ctx)->now;
}

static double
exponential(struct sim *s, double mean)
{
	return -log(1 - g_rand_double(s->rand)) * mean;
}

static gint64
hop_delay(const struct sim *s, const struct call *c)
{
	return c->entry->domain_index == c->node->domain_index ? HOP_LOCAL
							       : s->o->hop_us;
}

static void attempt(struct sim *, struct call *);

static double
speed(const struct sim *s, const struct node *n)
{
	return s->o->speeds != NULL ? s->o->speeds[n - s->nodes] : 1;
}

/* Expected service time of a call at its upstream, in us. */
static gint64
cost(const struct sim *s, const struct call *c)
{
	return (gint64)(s->o->classes[c->class].service_ms * MS /
			speed(s, c->node));
}

/* The delay of a caller that retries a refused call has ended. */
static void
on_caller_retry(struct sim *s, void *arg)
{
	struct call *c = arg;

	if (s->o->target_from_retry)
		c->target_from = s->now;
	budget_begin(c->entry->budget, SERVICE);
	attempt(s, c);
}

/* Schedules a retry by the caller; FALSE if the caller gives up. */
static gboolean
schedule_caller_retry(struct sim *s, struct call *c)
{
	gint64 at = s->now + s->o->caller_retry_ms * MS;

	if (s->o->caller_retry_ms == 0 || at >= c->deadline ||
	    c->retries >= MAX(s->o->max_retries, 1))
		return FALSE;
	c->retries++;
	c->attempts = 0;
	budget_end(c->entry->budget, SERVICE);
	schedule(s, at, on_caller_retry, c);
	return TRUE;
}

static guint
second_of(const struct sim *s, const struct call *c)
{
	gint64 t = (c->begun - s->o->warm_ms * MS) / G_TIME_SPAN_SECOND;

	return (guint)CLAMP(t, 0, SIM_SECONDS_MAX - 1);
}

/* Counts a response within or after the target. */
static void
count_ran(struct sim *s, struct call *c, gint64 t)
{
	struct sim_class_stats *st = &s->st->c[c->class];
	const struct sim_class *w = &s->o->classes[c->class];
	gboolean good = t <= w->target_ms * MS;

	st->ran++;
	st->good += good;
	st->worth_in[second_of(s, c)] += good ? w->worth : w->worth_late;
	g_array_append_val(s->latency[c->class], t);
}

static void
call_end(struct sim *s, struct call *c, enum pt_call_status r)
{
	struct sim_class_stats *st = &s->st->c[c->class];
	gint64 t = s->now - c->begun;

	if (r == PT_CALL_NOT_RUN && schedule_caller_retry(s, c))
		return;
	budget_end(c->entry->budget, SERVICE);
	if (r == PT_CALL_RAN && s->now > c->deadline)
		r = PT_CALL_OUTCOME_UNKNOWN;
	if (c->counted) {
		st->refused += r == PT_CALL_NOT_RUN;
		st->refused_twice += r == PT_CALL_NOT_RUN && c->retries > 0;
		st->refused_ran += r == PT_CALL_NOT_RUN && c->started;
		st->unknown += r == PT_CALL_OUTCOME_UNKNOWN;
	}
	if (c->counted && r == PT_CALL_RAN)
		count_ran(s, c, t);
	g_free(c);
}

/* The response of the upstream arrives at the entry node. */
static void
on_answer(struct sim *s, void *arg)
{
	struct call *c = arg;

	if (c->has_load) {
		c->load.wait_ms.wait_ms_val = c->wait_ms;
		c->load.wait_ms.wait_ms_len = PT_RANKS_MAX;
	}
	if (c->has_load && s->o->target_per_call)
		lb_report_time(c->entry->lb, c->lb_call,
		    s->o->classes[c->class].name, cost(s, c));
	lb_done(c->entry->lb, c->lb_call, c->result, s->now - c->sent,
	    c->has_load ? &c->load : NULL);
	c->lb_call = NULL;
	if (c->result == LB_RAN) {
		call_end(s, c, PT_CALL_RAN);
	} else if (c->result == LB_FAILED || c->result == LB_EXPIRED) {
		call_end(s, c, PT_CALL_OUTCOME_UNKNOWN);
	} else if (c->entry->dead || c->attempts >= ATTEMPTS_MAX ||
		   !budget_retry(c->entry->budget, SERVICE)) {
		call_end(s, c, PT_CALL_NOT_RUN);
	} else {
		attempt(s, c);
	}
}

static void
answer(struct sim *s, struct call *c, enum lb_result r)
{
	c->result = r;
	c->has_load = !c->node->dead;
	if (c->has_load) {
		adm_load(c->node->adm, &c->load);
		memcpy(c->wait_ms, c->load.wait_ms.wait_ms_val,
		    sizeof(c->wait_ms));
	}
	schedule(s, s->now + hop_delay(s, c), on_answer, c);
}

static void
on_served(struct sim *s, void *arg)
{
	struct call *c = arg;

	if (!c->node->dead)
		adm_finish(c->node->adm, &c->job);
	answer(s, c,
	    c->node->dead	    ? LB_FAILED
	    : s->now >= c->deadline ? LB_EXPIRED
				    : LB_RAN);
}

static void
adm_start(void *ctx, struct adm_job *j)
{
	struct call *c =
	    (struct call *)(void *)((char *)j - offsetof(struct call, job));
	struct sim *s = c->sim;
	gint64 t;

	c->started = TRUE;
	s->st->late_starts += s->now >= c->deadline;
	if (s->now >= s->o->warm_ms * MS &&
	    s->now < (s->o->warm_ms + s->o->run_ms) * MS)
		s->st->starts[c->class]++;
	t = (gint64)(exponential(s, s->o->classes[c->class].service_ms) * MS /
		     speed(s, c->node));
	/* The upstream ends the call at its deadline. */
	schedule(s, MIN(s->now + t, MAX(c->deadline, s->now)), on_served, c);
}

static void
adm_drop(void *ctx, struct adm_job *j, enum adm_verdict why)
{
	struct call *c = (struct call *)(void *)j;

	answer(c->sim, c, c->node->dead ? LB_FAILED : LB_REFUSED);
}

static void
on_request(struct sim *s, void *arg)
{
	struct call *c = arg;
	enum adm_verdict v;

	if (c->node->dead || s->o->outage) {
		answer(s, c, LB_UNREACHED);
		return;
	}
	memset(&c->job, 0, sizeof(c->job));
	if (s->o->target_per_call) {
		c->job.target =
		    c->target_from + s->o->classes[c->class].target_ms * MS;
		c->job.cost = cost(s, c);
		c->job.caller_retry = c->retries > 0;
	}
	v = adm_submit(
	    c->node->adm, &c->job, s->o->classes[c->class].order, c->deadline);
	if (v != ADM_STARTED && v != ADM_QUEUED)
		answer(s, c, LB_REFUSED);
}

static struct node *
node_find(struct sim *s, const char *name)
{
	guint i;

	for (i = 0; i < s->o->upstreams; i++)
		if (strcmp(s->nodes[i].name, name) == 0)
			return &s->nodes[i];
	return NULL;
}

static void
attempt(struct sim *s, struct call *c)
{
	struct lb_request req = { .service = SERVICE,
		.rank_order = s->o->classes[c->class].order,
		.deadline = c->deadline,
		.exclude = c->tried,
		.n_exclude = c->attempts };
	int retry_ms;

	if (s->o->target_per_call) {
		req.route = s->o->classes[c->class].name;
		req.target =
		    c->target_from + s->o->classes[c->class].target_ms * MS;
	}

	if (lb_choose(c->entry->lb, &req, &c->lb_call, &retry_ms) !=
	    LB_CHOSEN) {
		call_end(s, c, PT_CALL_NOT_RUN);
		return;
	}
	c->node = node_find(s, lb_call_instance(c->lb_call));
	c->tried[c->attempts++] = c->node->name;
	c->sent = s->now;
	s->st->attempts++;
	schedule(s, s->now + hop_delay(s, c), on_request, c);
}

/* Picks a random entry node among those that are up. */
static struct node *
pick_entry(struct sim *s)
{
	struct node *n;

	do
		n = &s->nodes[g_rand_int_range(s->rand, 0, s->o->upstreams)];
	while (n->dead);
	return n;
}

static double
load_now(const struct sim *s, const struct sim_class *w)
{
	gint64 t = s->now / MS;

	if (w->burst <= 0 || t < s->o->burst_ms ||
	    t >= s->o->burst_ms + s->o->burst_for_ms)
		return w->load;
	return w->load * w->burst;
}

static void
on_arrival(struct sim *s, void *arg)
{
	guint k = GPOINTER_TO_UINT(arg);
	const struct sim_class *w = &s->o->classes[k];
	double every = w->service_ms * MS / (load_now(s, w) * s->o->upstreams) /
		       s->o->slots;
	struct call *c = g_new0(struct call, 1);

	if (s->now < (s->o->warm_ms + s->o->run_ms) * MS)
		schedule(s, s->now + (gint64)exponential(s, every) + 1,
		    on_arrival, arg);
	c->sim = s;
	c->class = k;
	c->begun = c->target_from = s->now;
	c->deadline = deadline_begin(s->now, w->timeout_ms, -1);
	c->entry = pick_entry(s);
	c->counted = s->now >= s->o->warm_ms * MS;
	s->st->calls++;
	s->st->c[k].offered += c->counted;
	s->st->c[k].offered_in[second_of(s, c)] += c->counted;
	budget_begin(c->entry->budget, SERVICE);
	attempt(s, c);
}

static int
slots_of(const struct sim *s, const struct node *n)
{
	return (int)(n->domain_index == 0 && s->o->tight_slots > 0
			 ? s->o->tight_slots
			 : s->o->slots);
}

/* Sets the upstreams that are up at every entry node. */
static void
publish(struct sim *s)
{
	struct lb_service_opts o = { .eject_max = EJECT_MAX,
		.by_time = s->o->target_per_call };
	struct lb_member *m = g_new0(struct lb_member, s->o->upstreams);
	guint i, n = 0;

	for (i = 0; i < s->o->upstreams; i++) {
		if (s->nodes[i].dead)
			continue;
		m[n].instance = s->nodes[i].name;
		m[n].domain = s->nodes[i].domain;
		m[n].incarnation = 1;
		m[n].slots = slots_of(s, &s->nodes[i]);
		m[n++].state = PT_SERVING;
	}
	for (i = 0; i < s->o->upstreams; i++)
		lb_set(s->nodes[i].lb, SERVICE, &o, m, n);
	g_free(m);
}

static void
on_detect(struct sim *s, void *arg)
{
	publish(s);
}

static void
on_kill(struct sim *s, void *arg)
{
	guint i;

	for (i = 0; i < s->o->upstreams; i += s->o->domains) {
		s->nodes[i].dead = TRUE;
		adm_free(s->nodes[i].adm);
		s->nodes[i].adm = NULL;
	}
	schedule(s, s->now + DETECT, on_detect, NULL);
}

static void
on_tick(struct sim *s, void *arg)
{
	guint i, queued = 0;

	for (i = 0; i < s->o->upstreams; i++) {
		if (s->nodes[i].dead)
			continue;
		adm_tick(s->nodes[i].adm);
		queued += adm_queued(s->nodes[i].adm);
	}
	if (queued > 0 || s->now < (s->o->warm_ms + s->o->run_ms) * MS)
		schedule(s, s->now + TICK, on_tick, NULL);
}

static void
node_init(struct sim *s, guint i)
{
	struct adm_rank r[SIM_CLASSES_MAX];
	struct node *n = &s->nodes[i];
	struct adm_opts ao = { { sim_now, s }, s->o->mode, 0, s->o->queue_max,
		adm_start, adm_drop, n };
	struct lb_opts lo = { { sim_now, s }, s->rand, n->domain, NULL };
	guint k;

	n->sim = s;
	g_snprintf(n->name, sizeof(n->name), "u%u", i);
	n->domain_index = i % s->o->domains;
	g_snprintf(n->domain, sizeof(n->domain), "d%u", n->domain_index);
	ao.slots = slots_of(s, n);
	n->adm = adm_new(&ao);
	for (k = 0; k < s->o->n_classes; k++) {
		r[k].order = s->o->classes[k].order;
		r[k].floor = s->o->classes[k].floor;
		r[k].target_ms = s->o->no_target || s->o->target_per_call
				     ? 0
				     : s->o->classes[k].target_ms;
	}
	adm_ranks(n->adm, r, s->o->n_classes, s->o->urgency);
	n->lb = lb_new(&lo);
	n->budget = budget_new();
	budget_set(n->budget, SERVICE, RETRY_PERCENT, 0);
}

static gint
latency_cmp(gconstpointer a, gconstpointer b)
{
	const gint64 *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static void
sim_end(struct sim *s)
{
	guint i, n;

	for (i = 0; i < SIM_CLASSES_MAX; i++) {
		n = s->latency[i]->len;
		g_array_sort(s->latency[i], latency_cmp);
		if (n > 0)
			s->st->c[i].p99_us =
			    g_array_index(s->latency[i], gint64, n * 99 / 100);
		g_array_unref(s->latency[i]);
	}
	for (i = 0; i < s->o->upstreams; i++) {
		adm_free(s->nodes[i].adm);
		lb_free(s->nodes[i].lb);
		budget_free(s->nodes[i].budget);
	}
	g_free(s->nodes);
	g_rand_free(s->rand);
	g_array_unref(s->heap);
}

void
sim_run(const struct sim_opts *o, struct sim_stats *st)
{
	struct sim s = { .o = o, .st = st, .now = 1 };
	struct event e;
	guint i;

	memset(st, 0, sizeof(*st));
	s.heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	s.rand = g_rand_new_with_seed(o->seed);
	s.nodes = g_new0(struct node, o->upstreams);
	for (i = 0; i < SIM_CLASSES_MAX; i++)
		s.latency[i] = g_array_new(FALSE, FALSE, sizeof(gint64));
	for (i = 0; i < o->upstreams; i++)
		node_init(&s, i);
	publish(&s);
	for (i = 0; i < o->n_classes; i++)
		if (o->classes[i].load > 0)
			schedule(
			    &s, s.now + i, on_arrival, GUINT_TO_POINTER(i));
	schedule(&s, s.now, on_tick, NULL);
	if (o->kill_ms > 0)
		schedule(&s, o->kill_ms * MS, on_kill, NULL);
	while (next_event(&s, &e)) {
		s.now = MAX(s.now, e.at);
		e.run(&s, e.arg);
	}
	sim_end(&s);
}
