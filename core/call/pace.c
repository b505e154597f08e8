/*
 * Pacing of large responses on this instance's link.  Large responses that
 * together exceed the capacity of the link would fill its queue and delay every
 * small response behind them.  Small responses are therefore sent at once, and
 * large ones use the remaining capacity one after the other, the earliest
 * target first, so that in an overload some of them are in time instead of
 * none.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/* Share of the link rate that is used; the rest is for protocol headers. */
#define PACE_SHARE 0.9
/* Size of the token bucket as time on the link, and its minimum in bytes. */
#define PACE_BURST_US 5000
#define PACE_BURST_MIN (16 * 1024)

struct pace {
	struct pt_clock clock;
	double rate; /* bytes per us, 0: no limit */
	double tokens, burst; /* bytes */
	gint64 refilled_at; /* time of the last refill of tokens */
	struct pace_jobs jobs; /* earliest target first */
	gsize expected; /* bytes of all jobs that are still to be sent */
	gsize reserved; /* bytes of responses that have not begun */
};

struct pace *
pace_new(const struct pt_clock *clock, double bytes_per_s)
{
	struct pace *p = g_new0(struct pace, 1);

	p->clock = *clock;
	p->rate = bytes_per_s * PACE_SHARE / G_USEC_PER_SEC;
	p->burst = MAX(p->rate * PACE_BURST_US, PACE_BURST_MIN);
	p->tokens = p->burst;
	p->refilled_at = pt_now(clock);
	TAILQ_INIT(&p->jobs);
	return p;
}

void
pace_free(struct pace *p)
{
	g_free(p);
}

static void
refill(struct pace *p)
{
	gint64 now = pt_now(&p->clock);

	p->tokens =
	    MIN(p->burst, p->tokens + (double)(now - p->refilled_at) * p->rate);
	p->refilled_at = now;
}

void
pace_sent(struct pace *p, gsize n)
{
	refill(p);
	p->tokens -= (double)n;
}

void
pace_add(struct pace *p, struct pace_job *j, gint64 target, gsize expected)
{
	struct pace_job *next;

	j->target = target;
	j->expected = expected;
	p->expected += expected;
	next = TAILQ_FIRST(&p->jobs);
	while (next != NULL && next->target <= target)
		next = TAILQ_NEXT(next, link);
	if (next != NULL)
		TAILQ_INSERT_BEFORE(next, j, link);
	else
		TAILQ_INSERT_TAIL(&p->jobs, j, link);
	j->queued = TRUE;
}

void
pace_remove(struct pace *p, struct pace_job *j)
{
	if (!j->queued)
		return;
	TAILQ_REMOVE(&p->jobs, j, link);
	p->expected -= j->expected;
	j->queued = FALSE;
}

void
pace_reserve(struct pace *p, struct pace_job *j, gsize n)
{
	pace_release(p, j);
	j->reserved = n;
	p->reserved += n;
}

void
pace_release(struct pace *p, struct pace_job *j)
{
	p->reserved -= j->reserved;
	j->reserved = 0;
}

void
pace_ready(struct pace_job *j, gsize n)
{
	j->ready = n;
}

/* Largest response not marked as late, of those up to "last". */
static struct pace_job *
largest_in_time(const struct pace *p, const struct pace_job *last)
{
	struct pace_job *j, *most = NULL;

	for (j = TAILQ_FIRST(&p->jobs); j != NULL; j = TAILQ_NEXT(j, link)) {
		if (!j->late && (most == NULL || j->expected > most->expected))
			most = j;
		if (j == last)
			return most;
	}
	return most;
}

/*
 * Marks the fewest responses as late so that all others meet their targets
 * (Moore-Hodgson algorithm): in order of targets, whenever one would be missed,
 * the largest response so far is marked.  In an overload with responses of very
 * different sizes, one large response takes the time of several small ones.
 */
static void
mark_late(struct pace *p)
{
	struct pace_job *j, *out;
	double sum = 0;

	for (j = TAILQ_FIRST(&p->jobs); j != NULL; j = TAILQ_NEXT(j, link)) {
		j->late = FALSE;
		sum += (double)j->expected;
		if (p->rate <= 0 ||
		    sum <= (double)(j->target - p->refilled_at) * p->rate)
			continue;
		out = largest_in_time(p, j);
		out->late = TRUE;
		sum -= (double)out->expected;
	}
}

/* Chooses the first ready response in time, else the first late one. */
static struct pace_job *
choose(struct pace *p)
{
	struct pace_job *j, *first_late = NULL;

	mark_late(p);
	for (j = TAILQ_FIRST(&p->jobs); j != NULL; j = TAILQ_NEXT(j, link)) {
		if (j->ready == 0)
			continue;
		if (!j->late)
			return j;
		if (first_late == NULL)
			first_late = j;
	}
	return first_late;
}

struct pace_job *
pace_next(struct pace *p, gsize *n, gint64 *due)
{
	struct pace_job *j;

	*due = G_MAXINT64;
	refill(p);
	j = choose(p);
	if (j == NULL)
		return NULL;
	if (p->rate > 0 && p->tokens < 1) {
		*due = p->refilled_at +
		       (gint64)((PACE_QUANTUM - p->tokens) / p->rate);
		return NULL;
	}
	*n = MIN(j->ready, PACE_QUANTUM);
	p->tokens -= p->rate > 0 ? (double)*n : 0;
	j->ready -= *n;
	p->expected -= MIN(j->expected, *n);
	j->expected -= MIN(j->expected, *n);
	return j;
}

gint64
pace_wait(const struct pace *p, gsize n)
{
	if (p->rate <= 0)
		return 0;
	return (gint64)((double)(p->expected + p->reserved + n) / p->rate);
}

/*
 * If requests were admitted up to their deadlines while large responses exceed
 * the capacity of the link, most responses would expire behind later ones that
 * can still meet their targets.  The limit is therefore the target, and the
 * deadline only for a response too large to meet its target.
 */
gint64
pace_lateness(
    const struct pace *p, gsize n, gint64 run, gint64 target, gint64 deadline)
{
	gint64 alone, limit;

	if (p->rate <= 0)
		return 0;
	alone = (gint64)((double)n / p->rate);
	limit = run + alone <= target ? target : deadline;
	return MAX(MAX(run, pace_wait(p, 0)) + alone - limit, 0);
}
