/*
 * Admission to the slots of an upstream: one queue per rank, the most urgent
 * rank first, and a guaranteed share of the starts (floor) for every rank with
 * queued calls.  A call with its own target that can no longer meet it is
 * queued behind the calls of its rank that can: in an overload the slots go to
 * calls that end in time, and late calls get the remaining ones.  In each queue
 * the organisations share the starts fairly, see fair.c.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <math.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/*
 * Limit of the sum of all floors, in percent: at least a tenth of the starts is
 * left to the most urgent rank.
 */
#define FLOORS_MAX 90.0
/* Urgency at which the floors apply as declared. */
#define URGENCY_NEUTRAL 50
/* Time constant of the moving averages of start rates, in µs. */
#define RATE_TAU 500000.0
/* Number of samples in the moving average of the time in a slot. */
#define SLOT_TIME_SAMPLES 50
/* Least share of the slots that the estimate of a rank's wait assumes. */
#define SHARE_MIN 0.01
/* Time for which the wait of a rank may exceed half of its target. */
#define BURST_TIME (200 * G_TIME_SPAN_MILLISECOND)
/*
 * A call counts as in time while the time left until its target is at least
 * this multiple of its expected time in a slot.  The margin covers the wide
 * spread of these times; the shorter queue that results costs no capacity.
 */
#define NEEDED_FACTOR 1.5
/* Lower limit of that multiple: with less left, most calls miss the target. */
#define NEEDED_FACTOR_MIN 0.75
/*
 * Upper limit of the time that must be left, as a share of the time from
 * queueing to target.  It applies on slow upstreams.
 */
#define NEEDED_SHARE_MAX 0.85
/* Calls that a rank may queue whatever its target, so that its floor is used.
 */
#define QUEUE_MIN 4
/* Share of a limit below which the queued calls are checked again. */
#define LIMIT_LOWER 0.9
/* Time constant of the average of the work started, in µs. */
#define INFLOW_TAU 1e6
/*
 * Expected rest of a running call.  Up to its expected time, each us reduces it
 * by RUN_SHARE us; afterwards it grows by OVERDUE_SHARE us with each us, as it
 * is then more and more likely to be one of the few that take 3 to 7 times as
 * long, up to OVERDUE_MAX times the expected time.
 */
#define RUN_SHARE 0.6
#define OVERDUE_SHARE 0.5
#define OVERDUE_MAX 2.0
/* Longest estimated wait that is reported. */
#define WAIT_MAX (60 * G_TIME_SPAN_SECOND)

enum job_state {
	JOB_NEW,
	JOB_QUEUED,
	JOB_RUNNING
};

TAILQ_HEAD(job_list, adm_job);

/* Moving average of the time in a slot, in µs. */
struct average {
	double mean; /* 0: not measured */
	guint n;
};

struct queue {
	struct job_list jobs;
	guint n;
	guint n_unknown; /* queued calls without an expected time */
	double work; /* total expected time of the others, in µs */
	struct average slot_time;
	double rate; /* starts per µs at rate_at, decays with RATE_TAU */
	gint64 rate_at;
};

/* Queues of a rank: calls that can meet their targets, and late ones. */
enum {
	IN_TIME,
	LATE,
	QUEUES
};

struct rank {
	struct queue queues[QUEUES];
	double floor; /* scaled by urgency, in percent of starts */
	double credit; /* starts earned by the floor and not used yet */
	gint64 target; /* in µs, 0: none */
	gint64 overload_since; /* see too_long(), 0: no overload */
	struct fair *fair; /* NULL: no call had an organisation */
};

struct adm {
	struct adm_opts o;
	struct rank r[PT_RANKS_MAX];
	enum pt_state state;
	gboolean closed;
	gboolean filling; /* fill_slots() is active */
	int slots;
	struct rate rate; /* of all starts */
	double checked_limit; /* for which drop_hopeless() ran last, -1: none */
	guint running, queued;
	struct stall stall;
	struct average slot_time; /* of calls of all ranks */
	struct job_list runs; /* running calls */
	double inflow; /* work started per us at inflow_at */
	gint64 inflow_at;
	gint64 next_expiry;
	gint64 end; /* see adm_end() */
	int wait_ms[PT_RANKS_MAX]; /* storage of the last load report */
};

static void fill_slots(struct adm *);

struct adm *
adm_new(const struct adm_opts *o)
{
	struct adm *a = g_new0(struct adm, 1);
	guint i;

	a->o = *o;
	a->slots = MAX(o->slots, 0);
	a->state = PT_SERVING;
	a->checked_limit = -1;
	a->next_expiry = G_MAXINT64;
	TAILQ_INIT(&a->runs);
	for (i = 0; i < PT_RANKS_MAX; i++) {
		TAILQ_INIT(&a->r[i].queues[IN_TIME].jobs);
		TAILQ_INIT(&a->r[i].queues[LATE].jobs);
	}
	return a;
}

/* Rank of an order; ADM_FIFO uses a single one. */
static struct rank *
rank_of(struct adm *a, int order)
{
	if (a->o.mode == ADM_FIFO)
		return &a->r[0];
	return &a->r[CLAMP(order, 0, PT_RANKS_MAX - 1)];
}

static struct queue *
queue_of(struct adm *a, const struct adm_job *j)
{
	return &rank_of(a, j->order)->queues[j->late ? LATE : IN_TIME];
}

/* Queue i, counting the queues of all ranks in their order. */
static struct queue *
queue_at(struct adm *a, guint i)
{
	return &a->r[i / QUEUES].queues[i % QUEUES];
}

static guint
n_queued(const struct rank *r)
{
	return r->queues[IN_TIME].n + r->queues[LATE].n;
}

/* Queue order: retries of refused calls first, then by turn. */
static gboolean
precedes(const struct adm_job *x, const struct adm_job *y)
{
	if (x->caller_retry != y->caller_retry)
		return x->caller_retry;
	return x->turn <= y->turn;
}

static void
link_job(struct adm *a, struct adm_job *j)
{
	struct queue *q = queue_of(a, j);
	struct adm_job *at = TAILQ_LAST(&q->jobs, job_list);

	while (at != NULL && !precedes(at, j))
		at = TAILQ_PREV(at, job_list, link);
	if (at != NULL)
		TAILQ_INSERT_AFTER(&q->jobs, at, j, link);
	else
		TAILQ_INSERT_HEAD(&q->jobs, j, link);
	q->n++;
	q->n_unknown += j->cost <= 0;
	q->work += (double)MAX(j->cost, 0);
	a->queued++;
	if (j->flow != NULL)
		fair_queued(j->flow, 1);
	j->state = JOB_QUEUED;
}

static void
unlink_job(struct adm *a, struct adm_job *j)
{
	struct queue *q = queue_of(a, j);
	struct rank *r = rank_of(a, j->order);

	TAILQ_REMOVE(&q->jobs, j, link);
	q->n--;
	q->n_unknown -= j->cost <= 0;
	q->work = q->n > 0 ? q->work - (double)MAX(j->cost, 0) : 0;
	a->queued--;
	if (j->flow != NULL)
		fair_queued(j->flow, -1);
	j->state = JOB_NEW;
	if (n_queued(r) == 0)
		r->credit = MIN(r->credit, 1);
}

static void
drop(struct adm *a, struct adm_job *j, enum adm_verdict why)
{
	unlink_job(a, j);
	a->o.drop(a->o.ctx, j, why);
}

void
adm_free(struct adm *a)
{
	guint i;

	if (a == NULL)
		return;
	a->closed = TRUE;
	adm_drop_all(a, ADM_NOT_SERVING);
	for (i = 0; i < PT_RANKS_MAX; i++)
		fair_free(a->r[i].fair);
	g_free(a);
}

void
adm_ranks(struct adm *a, const struct adm_rank *r, guint n, int urgency)
{
	double scale, sum = 0;
	struct rank *q;
	guint i;

	scale = (100 - CLAMP(urgency, 0, 100)) / (double)URGENCY_NEUTRAL;
	for (i = 0; i < PT_RANKS_MAX; i++)
		a->r[i].floor = a->r[i].target = 0;
	for (i = 0; i < n; i++) {
		q = &a->r[CLAMP(r[i].order, 0, PT_RANKS_MAX - 1)];
		q->floor += MAX(r[i].floor, 0) * scale;
		q->target =
		    MAX(q->target, r[i].target_ms * G_TIME_SPAN_MILLISECOND);
		sum += MAX(r[i].floor, 0) * scale;
	}
	if (sum <= FLOORS_MAX)
		return;
	for (i = 0; i < PT_RANKS_MAX; i++)
		a->r[i].floor *= FLOORS_MAX / sum;
}

double
adm_floor(const struct adm *a, int order)
{
	return a->r[CLAMP(order, 0, PT_RANKS_MAX - 1)].floor;
}

void
adm_slots(struct adm *a, int slots)
{
	a->slots = MAX(slots, 0);
	fill_slots(a);
}

void
adm_state(struct adm *a, enum pt_state state)
{
	a->state = state;
}

void
adm_close(struct adm *a)
{
	a->closed = TRUE;
}

static double
rate_now(const struct queue *q, gint64 now)
{
	return q->rate * exp((double)(q->rate_at - now) / RATE_TAU);
}

static void
rate_add(struct queue *q, gint64 now)
{
	q->rate = rate_now(q, now) + 1 / RATE_TAU;
	q->rate_at = now;
}

/* Returns the rank whose call starts next, NULL if none is queued. */
static struct rank *
next_rank(struct adm *a)
{
	struct rank *first = NULL, *owed = NULL, *r;
	guint i;

	for (i = 0; i < PT_RANKS_MAX; i++) {
		r = &a->r[i];
		if (n_queued(r) == 0)
			continue;
		if (first == NULL)
			first = r;
		if (r->credit >= 1 &&
		    (owed == NULL || r->credit > owed->credit))
			owed = r;
	}
	return a->o.mode == ADM_RANK && owed != NULL ? owed : first;
}

/* Charges a start to one rank; each rank with queued calls earns its floor. */
static void
charge_start(struct adm *a, struct rank *chosen)
{
	guint i;

	for (i = 0; i < PT_RANKS_MAX; i++)
		if (n_queued(&a->r[i]) > 0)
			a->r[i].credit += a->r[i].floor / 100;
	chosen->credit = MAX(chosen->credit - 1, 0);
}

static double
expected_time(const struct queue *q, const struct adm_job *j)
{
	return j->cost > 0 ? (double)j->cost : q->slot_time.mean;
}

/* Expected slot time that an organisation is charged; 1 us if not known. */
static double
fair_work(const struct queue *q, const struct adm_job *j)
{
	return MAX(expected_time(q, j), 1);
}

static double
inflow_now(const struct adm *a, gint64 now)
{
	return a->inflow * exp((double)(a->inflow_at - now) / INFLOW_TAU);
}

static void
start(struct adm *a, struct adm_job *j, gint64 now)
{
	struct queue *q = queue_of(a, j);

	if (j->flow != NULL)
		fair_start(
		    rank_of(a, j->order)->fair, j->flow, fair_work(q, j), now);
	j->flow = NULL;
	a->running++;
	TAILQ_INSERT_TAIL(&a->runs, j, link);
	a->inflow = inflow_now(a, now) + expected_time(q, j) / INFLOW_TAU;
	a->inflow_at = now;
	rate_take(&a->rate, now);
	j->state = JOB_RUNNING;
	j->started_at = now;
	rate_add(q, now);
	a->o.start(a->o.ctx, j);
}

/* Time from which no one awaits the response any more. */
static gint64
end_of(const struct adm *a, const struct adm_job *j)
{
	gint64 end = a->end != 0 ? a->end : G_MAXINT64;

	return j->end != 0 ? MIN(end, j->end) : end;
}

/* Latest start of a call that is over by its end. */
static gint64
last_start_by_end(const struct adm *a, const struct adm_job *j)
{
	gint64 end = end_of(a, j);

	if (j->deadline <= end)
		return G_MAXINT64;
	return j->longest > 0 ? end - j->longest : G_MININT64;
}

/*
 * Latest start of a call with an expected time.  If less than half of that time
 * is left, the call would probably be cut off at its deadline, and its outcome
 * would be unknown instead of "not run".  A call that cannot be repeated after
 * an unknown outcome needs its full expected time.
 */
static gint64
last_start(const struct adm *a, const struct adm_job *j)
{
	return MIN(j->deadline - MAX(j->cost, 0) / (j->once ? 1 : 2),
	    last_start_by_end(a, j));
}

/*
 * TRUE if a call is past its latest start, or if it has no expected time, less
 * than half of the mean time in a slot is left and other calls are queued.
 */
static gboolean
cannot_finish(const struct adm *a, const struct queue *q,
    const struct adm_job *j, gint64 now)
{
	if (j->cost > 0)
		return now > last_start(a, j);
	return a->queued > 1 &&
	       (double)(j->deadline - now) < expected_time(q, j) / 2;
}

/*
 * Time that must be left until the target when a call starts.  On a slow
 * upstream this may exceed the whole time between arrival and target.
 * NEEDED_SHARE_MAX limits it, so that calls that have waited only briefly count
 * as in time and are started first; otherwise all would be late, be served in
 * the order of arrival, and all miss their targets.
 */
static double
time_needed(const struct queue *q, const struct adm_job *j)
{
	double whole = (double)(j->target - j->queued_at);
	double e = expected_time(q, j);

	return MAX(e * NEEDED_FACTOR_MIN,
	    MIN(e * NEEDED_FACTOR, whole * NEEDED_SHARE_MAX));
}

/* TRUE if a call started at "at" is expected to miss its target. */
static gboolean
misses_target(const struct queue *q, const struct adm_job *j, gint64 at)
{
	return j->target != 0 && (double)(j->target - at) < time_needed(q, j);
}

/*
 * Sets the queue of a call, late or not, and its turn in it.  The turn of a
 * call with a target is the time of queueing plus the expected time in a slot,
 * so that short calls pass long ones of the same rank.  Short calls are often
 * made by other calls that wait for them, and have less time left: in the order
 * of arrival they would fail, and the calls that made them as well.
 */
static void
set_late(struct adm *a, struct adm_job *j, gboolean late, gint64 now)
{
	gint64 cost;

	j->late = late;
	j->turn = now;
	if (j->target == 0)
		return;
	cost = (gint64)expected_time(queue_of(a, j), j);
	j->turn += j->turn_max > 0 ? MIN(cost, j->turn_max) : cost;
}

/* TRUE if the organisation of x is to start before that of y. */
static gboolean
due_before(
    const struct fair *f, const struct adm_job *x, const struct adm_job *y)
{
	gboolean owed = fair_owed(f, x->flow);

	if (owed != fair_owed(f, y->flow))
		return owed;
	return fair_tag(f, x->flow) < fair_tag(f, y->flow);
}

/*
 * Returns the call of a queue that starts next.  A call without an organisation
 * starts when it is the first one; otherwise it is the turn of an organisation.
 */
static struct adm_job *
fair_first(const struct rank *r, const struct queue *q)
{
	struct adm_job *first = TAILQ_FIRST(&q->jobs), *j;

	if (first == NULL || first->flow == NULL)
		return first;
	for (j = TAILQ_NEXT(first, link); j != NULL; j = TAILQ_NEXT(j, link))
		if (j->flow != NULL && j->flow != first->flow &&
		    due_before(r->fair, j, first))
			first = j;
	return first;
}

/*
 * Returns the first call of a rank that can meet its target, else the first
 * late one.  Calls that have become late are moved to the late queue: also
 * those that are first without being next, as calls without an organisation may
 * wait behind them.
 */
static struct adm_job *
next_job(struct adm *a, struct rank *r, gint64 now)
{
	struct queue *q = &r->queues[IN_TIME];
	struct adm_job *j;

	while ((j = TAILQ_FIRST(&q->jobs)) != NULL &&
	       (misses_target(q, j, now) ||
		   misses_target(q, j = fair_first(r, q), now))) {
		unlink_job(a, j);
		set_late(a, j, TRUE, now);
		link_job(a, j);
	}
	return j != NULL ? j : fair_first(r, &r->queues[LATE]);
}

/*
 * A call starts in the place of the first one of its queue.  The calls without
 * an organisation that it passes move ahead by one other call, so that as many
 * calls start before them as without the exchange.
 */
static void
keep_places(struct adm *a, struct adm_job *started)
{
	struct job_list *jobs = &queue_of(a, started)->jobs;
	struct adm_job *j, *after, *passed = NULL;

	for (j = TAILQ_FIRST(jobs); j != started; j = after) {
		after = TAILQ_NEXT(j, link);
		if (j->flow != NULL) {
			passed = j;
		} else if (passed != NULL) {
			TAILQ_REMOVE(jobs, j, link);
			TAILQ_INSERT_BEFORE(passed, j, link);
		}
	}
}

/* Why a queued call that cannot start now is dropped. */
static enum adm_verdict
drop_reason(const struct adm *a, const struct adm_job *j, gint64 now,
    enum adm_verdict otherwise)
{
	return now >= last_start_by_end(a, j) ? ADM_ENDING : otherwise;
}

/* Slots for calls that are not stalled. */
static int
slots_now(const struct adm *a)
{
	return stall_slots(&a->stall, a->slots);
}

static gboolean
slot_free(const struct adm *a)
{
	return (int)a->running - a->stall.running < slots_now(a);
}

static gboolean
may_start(const struct adm *a, gint64 now)
{
	return slot_free(a) && rate_due(&a->rate, now) <= now;
}

static void
fill_slots(struct adm *a)
{
	gint64 now = pt_now(&a->o.clock);
	struct rank *r;
	struct adm_job *j;

	if (a->filling)
		return;
	a->filling = TRUE;
	while (may_start(a, now) && (r = next_rank(a)) != NULL) {
		j = next_job(a, r, now);
		if (j->deadline <= now || now > last_start_by_end(a, j) ||
		    cannot_finish(a, queue_of(a, j), j, now)) {
			drop(a, j,
			    drop_reason(a, j, now,
				j->deadline <= now ? ADM_EXPIRED : ADM_LATE));
			continue;
		}
		charge_start(a, r);
		keep_places(a, j);
		unlink_job(a, j);
		start(a, j, now);
	}
	a->filling = FALSE;
}

/*
 * Time in µs that this share of the slots needs for "work", a total of slot
 * times in µs.
 */
static double
drain_time(const struct adm *a, double work, double share)
{
	return work / (MAX(slots_now(a), 1) * MAX(share, SHARE_MIN));
}

/* Total expected time in a slot of the calls in a queue. */
static double
queued_work(const struct queue *q)
{
	return q->work + q->n_unknown * q->slot_time.mean;
}

/* Calls that start before another one. */
struct ahead {
	double work; /* total expected time in a slot, in µs */
	guint n;
};

static void
ahead_add_queue(struct ahead *a, const struct queue *q)
{
	a->work += queued_work(q);
	a->n += q->n;
}

static void
ahead_add_job(struct ahead *a, const struct queue *q, const struct adm_job *x)
{
	a->work += expected_time(q, x);
	a->n++;
}

/* Adds the calls in a queue that precede j; NULL: all. */
static void
ahead_add(struct ahead *a, const struct queue *q, const struct adm_job *j)
{
	const struct adm_job *x;

	if (j == NULL) {
		ahead_add_queue(a, q);
		return;
	}
	for (x = TAILQ_FIRST(&q->jobs); x != NULL; x = TAILQ_NEXT(x, link)) {
		if (x == j || !precedes(x, j))
			break;
		ahead_add_job(a, q, x);
	}
}

/*
 * Tag at which a call of a flow would start if all queued calls of the flow
 * that precede it do; the scan numbers of all flows in the queue are set to
 * their tags.
 */
static double
scan_begin(const struct fair *f, const struct queue *q, const struct adm_job *j,
    const struct fair_flow *flow)
{
	double tag = fair_tag(f, flow);
	const struct adm_job *x;

	for (x = TAILQ_FIRST(&q->jobs); x != NULL; x = TAILQ_NEXT(x, link))
		if (x->flow != NULL)
			*fair_scan(x->flow) = fair_tag(f, x->flow);
	if (flow == NULL)
		return tag;
	for (x = TAILQ_FIRST(&q->jobs); x != NULL && x != j;
	     x = TAILQ_NEXT(x, link))
		if (x->flow == flow && precedes(x, j))
			tag += fair_work(q, x);
	return tag;
}

/*
 * Adds the calls in a queue that start before j, which has an organisation.
 * NULL: before a call of an organisation that has none in the queue.  Calls
 * that arrive later and are due before j are not foreseen.
 */
static void
ahead_add_fair(struct ahead *a, const struct fair *f, const struct queue *q,
    const struct adm_job *j)
{
	const struct fair_flow *flow = j != NULL ? j->flow : NULL;
	double tag = scan_begin(f, q, j, flow), *scan;
	const struct adm_job *x;
	gboolean after = FALSE; /* x stands behind j */

	for (x = TAILQ_FIRST(&q->jobs); x != NULL; x = TAILQ_NEXT(x, link)) {
		if (x == j) {
			after = TRUE;
		} else if (x->flow == NULL || x->flow == flow) {
			if (j == NULL || (!after && precedes(x, j)))
				ahead_add_job(a, q, x);
		} else {
			scan = fair_scan(x->flow);
			if (*scan < tag || (*scan <= tag && !after))
				ahead_add_job(a, q, x);
			*scan += fair_work(q, x);
		}
	}
}

/* Share of the slots that the calls of a queue use. */
static double
share_used(const struct adm *a, const struct queue *q, gint64 now)
{
	return rate_now(q, now) * q->slot_time.mean / MAX(slots_now(a), 1);
}

/*
 * Share of the slots that other calls use while a call of an order waits: the
 * share of more urgent ranks, the floors of less urgent ranks with queued calls
 * and, if the call is late, the share of calls of its own rank that are not.
 * Floors are shares of starts: a rank with long calls uses a larger share of
 * the slots than its floor.
 */
static double
share_taken(const struct adm *a, int order, gboolean late, gint64 now)
{
	const struct rank *r;
	double taken = 0, mean;
	int i;

	for (i = 0; i < PT_RANKS_MAX; i++) {
		r = &a->r[i];
		if (i < order || (i == order && late))
			taken += share_used(a, &r->queues[IN_TIME], now);
		if (i < order)
			taken += share_used(a, &r->queues[LATE], now);
		if (i <= order || n_queued(r) == 0 || a->o.mode != ADM_RANK)
			continue;
		mean = r->queues[IN_TIME].slot_time.mean;
		taken += r->floor / 100 * mean / MAX(a->slot_time.mean, 1);
	}
	return taken;
}

/* Share of the limited rate that other calls use, as in share_taken(). */
static double
rate_taken(const struct adm *a, int order, gboolean late, gint64 now)
{
	const struct rank *r;
	double taken = 0, floors = 0;
	int i;

	if (!a->rate.limited || a->rate.per_us <= 0)
		return 0;
	for (i = 0; i < PT_RANKS_MAX; i++) {
		r = &a->r[i];
		if (i < order || (i == order && late))
			taken += rate_now(&r->queues[IN_TIME], now);
		if (i < order)
			taken += rate_now(&r->queues[LATE], now);
		if (i > order && n_queued(r) > 0 && a->o.mode == ADM_RANK)
			floors += r->floor / 100;
	}
	return taken / a->rate.per_us + floors;
}

/* Time until the limited rate allows "n" more starts by this share of it. */
static double
rate_time(const struct adm *a, guint n, double share, gint64 now)
{
	return rate_wait(&a->rate, n, MAX(share, SHARE_MIN), now);
}

/*
 * Estimates the wait as the shorter of two times: that of all calls queued
 * ahead on the share of the slots that is not used by others, and that of the
 * rank's own queue on its floor.  Each is at least the time in which the
 * limited rate allows as many starts.
 */
static gint64
wait_ranked(
    struct adm *a, int order, const struct adm_job *j, gint64 now, gboolean org)
{
	gboolean late = j != NULL && j->late;
	struct ahead ahead = { a->slot_time.mean, 1 };
	struct rank *r = &a->r[order];
	struct queue *q;
	double w, f;
	int i;

	for (i = 0; i < order; i++) {
		ahead_add_queue(&ahead, &a->r[i].queues[IN_TIME]);
		ahead_add_queue(&ahead, &a->r[i].queues[LATE]);
	}
	if (late)
		ahead_add(&ahead, &r->queues[IN_TIME], NULL);
	q = &r->queues[late ? LATE : IN_TIME];
	if (org && r->fair != NULL)
		ahead_add_fair(&ahead, r->fair, q, j);
	else
		ahead_add(&ahead, q, j);
	w = slot_free(a) && a->queued == 0
		? 0
		: drain_time(
		      a, ahead.work, 1 - share_taken(a, order, late, now));
	w = MAX(
	    w, rate_time(a, ahead.n, 1 - rate_taken(a, order, late, now), now));
	if (a->o.mode == ADM_RANK && r->floor > 0) {
		f = drain_time(
		    a, (n_queued(r) + 1) * a->slot_time.mean, r->floor / 100);
		f = MAX(f, rate_time(a, n_queued(r) + 1, r->floor / 100, now));
		w = MIN(w, f);
	}
	return (gint64)MIN(w, (double)WAIT_MAX);
}

/*
 * Estimated wait of j; NULL: of a call that joins the queue and is not late.
 * "org": the call has an organisation.
 */
static gint64
wait_at(
    struct adm *a, int order, const struct adm_job *j, gint64 now, gboolean org)
{
	if (may_start(a, now) && a->queued == 0)
		return 0;
	if (a->o.mode == ADM_FIFO)
		return (gint64)MIN(
		    MAX(drain_time(a, (a->queued + 1) * a->slot_time.mean, 1),
			rate_time(a, a->queued + 1, 1, now)),
		    (double)WAIT_MAX);
	return wait_ranked(a, CLAMP(order, 0, PT_RANKS_MAX - 1), j, now, org);
}

static gint64
expected_wait_at(struct adm *a, int order, const struct adm_job *j, gint64 now)
{
	return wait_at(a, order, j, now, j != NULL && j->flow != NULL);
}

gint64
adm_expected_wait(struct adm *a, int order)
{
	return expected_wait_at(a, order, NULL, pt_now(&a->o.clock));
}

/* TRUE if a queued call cannot end by its deadline. */
static gboolean
hopeless(
    struct adm *a, const struct queue *q, const struct adm_job *j, gint64 now)
{
	gint64 wait = expected_wait_at(a, j->order, j, now);

	return (double)(j->deadline - now - wait) < expected_time(q, j);
}

/*
 * Drops the queued calls that a condition holds for.  The last ones first: each
 * leaves those before it the same wait.
 */
static void
drop_if(struct adm *a,
    gboolean (*cond)(
	struct adm *, const struct queue *, const struct adm_job *, gint64 now),
    enum adm_verdict why)
{
	gint64 now = pt_now(&a->o.clock);
	struct adm_job *j, *before;
	struct queue *q;
	guint i;

	for (i = PT_RANKS_MAX * QUEUES; i-- > 0;) {
		q = queue_at(a, i);
		for (j = TAILQ_LAST(&q->jobs, job_list); j != NULL;
		     j = before) {
			before = TAILQ_PREV(j, job_list, link);
			if (cond(a, q, j, now))
				drop(a, j, why);
		}
	}
}

void
adm_limit(struct adm *a, double per_s)
{
	rate_set(&a->rate, per_s, pt_now(&a->o.clock));
	if (per_s < 0) {
		a->checked_limit = -1;
	} else if (a->checked_limit < 0 ||
		   per_s < a->checked_limit * LIMIT_LOWER) {
		a->checked_limit = per_s;
		drop_if(a, hopeless, ADM_LATE);
	}
	fill_slots(a);
}

static gboolean
serving(const struct adm *a)
{
	return !a->closed && a->slots > 0 &&
	       (a->state == PT_SERVING || a->state == PT_DRAINING);
}

static guint
queue_max(const struct adm *a)
{
	return a->o.mode == ADM_FIFO ? a->o.queue_max * PT_RANKS_MAX
				     : a->o.queue_max;
}

/*
 * TRUE if a call would miss its deadline, or if the overload of its rank has
 * lasted for BURST_TIME and the call would wait for more than half of the
 * rank's target.  The overload begins with a wait of more than half of the
 * target and ends with one of at most a quarter.
 */
static gboolean
wait_too_long(
    struct adm *a, struct rank *r, gint64 wait, gint64 left, gint64 now)
{
	if (wait > left)
		return TRUE;
	if (a->o.mode != ADM_RANK || wait <= r->target / 4 || r->target == 0)
		r->overload_since = 0;
	else if (r->overload_since == 0 && wait > r->target / 2)
		r->overload_since = now;
	return r->overload_since != 0 && now - r->overload_since > BURST_TIME &&
	       wait > r->target / 2 && n_queued(r) >= QUEUE_MIN;
}

/*
 * Chooses the queue of a call with its own target, late or not.  FALSE: it
 * cannot end by its deadline and is to be refused.
 */
static gboolean
choose_queue(struct adm *a, struct adm_job *j, gint64 now)
{
	struct queue *q = &rank_of(a, j->order)->queues[IN_TIME];
	gint64 w;

	set_late(a, j, FALSE, now);
	w = expected_wait_at(a, j->order, j, now);
	if (misses_target(q, j, now + w)) {
		set_late(a, j, TRUE, now);
		w = expected_wait_at(a, j->order, j, now);
	}
	return (double)(j->deadline - now - w) >= expected_time(q, j);
}

/* TRUE if a call that waits is not expected to be over by its end. */
static gboolean
outlasts_end(
    struct adm *a, const struct queue *q, const struct adm_job *j, gint64 now)
{
	gint64 last = last_start_by_end(a, j);

	return last != G_MAXINT64 &&
	       now + expected_wait_at(a, j->order, j, now) > last;
}

/* Finds the state of the call's organisation, and counts what it offers. */
static void
set_flow(struct adm *a, struct rank *r, struct adm_job *j, gint64 now)
{
	j->flow = NULL;
	if (r->fair != NULL)
		fair_forget(r->fair, now);
	if (j->org == NULL || a->o.mode == ADM_FIFO)
		return;
	if (r->fair == NULL)
		r->fair = fair_new();
	j->flow = fair_offer(r->fair, j->org, now);
}

/*
 * Drops the call of a queue that would start last, if it is due after j, a new
 * call of another organisation.
 */
static gboolean
drop_last(struct adm *a, const struct rank *r, const struct queue *q,
    const struct adm_job *j)
{
	struct adm_job *last = NULL, *x;
	double highest = -1, *scan;

	scan_begin(r->fair, q, NULL, NULL);
	*fair_scan(j->flow) = fair_tag(r->fair, j->flow);
	for (x = TAILQ_FIRST(&q->jobs); x != NULL; x = TAILQ_NEXT(x, link)) {
		if (x->flow == NULL)
			continue;
		scan = fair_scan(x->flow);
		if (*scan >= highest) {
			highest = *scan;
			last = x;
		}
		*scan += fair_work(q, x);
	}
	if (last == NULL || last->flow == j->flow ||
	    highest <= *fair_scan(j->flow))
		return FALSE;
	drop(a, last, ADM_FULL);
	return TRUE;
}

/*
 * The rank's queues are full: otherwise one organisation could fill them and
 * keep the others out.
 */
static gboolean
make_place(struct adm *a, struct rank *r, const struct adm_job *j)
{
	return drop_last(a, r, &r->queues[LATE], j) ||
	       drop_last(a, r, &r->queues[IN_TIME], j);
}

enum adm_verdict
adm_submit(struct adm *a, struct adm_job *j, int order, gint64 deadline)
{
	gint64 now = pt_now(&a->o.clock);
	struct rank *r = rank_of(a, order);
	gboolean full;

	j->order = order;
	j->deadline = deadline;
	j->queued_at = j->turn = now;
	j->late = j->stalled = FALSE;
	if (!serving(a))
		return ADM_NOT_SERVING;
	if (deadline <= now)
		return ADM_EXPIRED;
	if (now > last_start_by_end(a, j))
		return ADM_ENDING;
	set_flow(a, r, j, now);
	if (may_start(a, now) && a->queued == 0) {
		start(a, j, now);
		return ADM_STARTED;
	}
	full = n_queued(r) >= queue_max(a);
	if (full && j->flow == NULL)
		return ADM_FULL;
	if (j->target != 0 ? !choose_queue(a, j, now)
			   : wait_too_long(a, r,
				 expected_wait_at(
				     a, order, j->flow != NULL ? j : NULL, now),
				 deadline - now, now))
		return ADM_LATE;
	if (outlasts_end(a, queue_of(a, j), j, now))
		return ADM_ENDING;
	if (full && !make_place(a, r, j))
		return ADM_FULL;
	link_job(a, j);
	a->next_expiry = MIN(a->next_expiry, last_start(a, j));
	return ADM_QUEUED;
}

static void
average_add(struct average *v, double sample)
{
	if (v->n < SLOT_TIME_SAMPLES)
		v->n++;
	v->mean += (sample - v->mean) / v->n;
}

void
adm_finish(struct adm *a, struct adm_job *j)
{
	struct queue *q = queue_of(a, j);
	gint64 now = pt_now(&a->o.clock);
	double t = (double)MAX(now - j->started_at, 1);

	a->running--;
	TAILQ_REMOVE(&a->runs, j, link);
	j->state = JOB_NEW;
	if (j->stalled) {
		/* Its slot was in use only until it stalled. */
		stall_lost(&a->stall);
		j->stalled = FALSE;
		/* The time of a call cut off at its deadline is only a lower
		 * bound. */
	} else if (now < j->deadline || t > q->slot_time.mean) {
		average_add(&q->slot_time, t);
		average_add(&a->slot_time, t);
	}
	fill_slots(a);
}

void
adm_stalled(struct adm *a, struct adm_job *j)
{
	if (j->state != JOB_RUNNING || j->stalled)
		return;
	j->stalled = TRUE;
	stall_begin(&a->stall);
	fill_slots(a);
}

void
adm_answered(struct adm *a, struct adm_job *j)
{
	if (j->state != JOB_RUNNING)
		return;
	stall_answered(&a->stall, j->stalled, a->slots);
	j->stalled = FALSE;
	fill_slots(a);
}

gboolean
adm_cancel(struct adm *a, struct adm_job *j)
{
	if (j->state != JOB_QUEUED)
		return FALSE;
	unlink_job(a, j);
	return TRUE;
}

void
adm_end(struct adm *a, gint64 end)
{
	if (end == a->end)
		return;
	a->end = end;
	a->next_expiry = 0;
	drop_if(a, outlasts_end, ADM_ENDING);
}

void
adm_end_job(struct adm *a, struct adm_job *j, gint64 end)
{
	if (j->state != JOB_QUEUED)
		return;
	j->end = end;
	a->next_expiry = 0;
	if (outlasts_end(a, queue_of(a, j), j, pt_now(&a->o.clock)))
		drop(a, j, ADM_ENDING);
}

void
adm_drop_all(struct adm *a, enum adm_verdict why)
{
	struct adm_job *j;
	guint i;

	for (i = 0; i < PT_RANKS_MAX * QUEUES; i++)
		while ((j = TAILQ_FIRST(&queue_at(a, i)->jobs)) != NULL)
			drop(a, j, why);
}

/* Time at which the limited rate allows the next start of a queued call. */
static gint64
next_start(const struct adm *a, gint64 now)
{
	if (a->queued == 0 || !slot_free(a))
		return G_MAXINT64;
	return rate_due(&a->rate, now);
}

gint64
adm_tick(struct adm *a)
{
	gint64 now = pt_now(&a->o.clock), next = G_MAXINT64;
	struct adm_job *j, *after;
	guint i;

	fill_slots(a);
	if (now < a->next_expiry)
		return MIN(a->next_expiry, next_start(a, now));
	a->next_expiry = G_MAXINT64;
	for (i = 0; i < PT_RANKS_MAX * QUEUES; i++) {
		for (j = TAILQ_FIRST(&queue_at(a, i)->jobs); j != NULL;
		     j = after) {
			after = TAILQ_NEXT(j, link);
			if (last_start(a, j) <= now)
				drop(a, j, drop_reason(a, j, now, ADM_EXPIRED));
			else
				next = MIN(next, last_start(a, j));
		}
	}
	a->next_expiry = MIN(a->next_expiry, next);
	return MIN(a->next_expiry, next_start(a, now));
}

/* Expected rest of a running call. */
static double
rest(const struct queue *q, const struct adm_job *j, gint64 now)
{
	double e = expected_time(q, j), t = (double)(now - j->started_at);

	if (t <= e)
		return e - RUN_SHARE * t;
	return MIN(
	    e - RUN_SHARE * e + OVERDUE_SHARE * (t - e), OVERDUE_MAX * e);
}

gint64
adm_work(struct adm *a, double *inflow)
{
	gint64 now = pt_now(&a->o.clock);
	const struct adm_job *j;
	double work = 0;
	guint i;

	TAILQ_FOREACH(j, &a->runs, link)
	work += j->stalled ? 0 : rest(queue_of(a, j), j, now);
	for (i = 0; i < PT_RANKS_MAX; i++)
		work += queued_work(&a->r[i].queues[IN_TIME]);
	*inflow = inflow_now(a, now);
	return (gint64)work;
}

void
adm_load(struct adm *a, struct pt_load *l)
{
	gint64 now = pt_now(&a->o.clock);
	int i;

	memset(l, 0, sizeof(*l));
	l->slots = a->slots;
	/* Slots that are not free: of stalled calls, those not reassigned. */
	l->running =
	    (int)a->running - a->stall.running + a->slots - slots_now(a);
	l->queued = (int)a->queued;
	l->state = a->closed && a->state == PT_SERVING ? PT_DRAINING : a->state;
	for (i = 0; i < PT_RANKS_MAX; i++)
		/*
		 * With organisations, the wait of one that has no queued calls:
		 * entry nodes refuse calls by this, and the queue of a hot
		 * organisation is not to keep the others out.
		 */
		a->wait_ms[i] = (int)((wait_at(a, i, NULL, now, TRUE) +
					  G_TIME_SPAN_MILLISECOND - 1) /
				      G_TIME_SPAN_MILLISECOND);
	l->wait_ms.wait_ms_len = PT_RANKS_MAX;
	l->wait_ms.wait_ms_val = a->wait_ms;
}

guint
adm_running(const struct adm *a)
{
	return a->running;
}

guint
adm_n_stalled(const struct adm *a)
{
	return (guint)a->stall.running;
}

guint
adm_queued(const struct adm *a)
{
	return a->queued;
}
