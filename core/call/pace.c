/*
 * Order of large responses on this instance's link.  Loads it answers: large
 * responses that together need more than the link carries; they would fill its
 * queue and hold up every small response behind them.  Small responses pass at
 * once, and large ones share what is left, the one with the earliest target
 * first, so that in an overload some are in time instead of none.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/* Share of the link that is filled: the rest is for protocol heads. */
#define PACE_SHARE 0.9
/* Bytes that may leave at once, as time on the link, and at least. */
#define PACE_BURST_US 5000
#define PACE_BURST_MIN (16 * 1024)

struct pace {
	struct pt_clock clock;
	double rate; /* bytes per us, 0: no bound */
	double tokens, burst; /* bytes */
	gint64 at;
	struct pace_jobs jobs; /* by target */
	gsize expected; /* bytes still to come or to be sent */
	gsize promised; /* of responses that have not begun */
};

struct pace *
pace_new(const struct pt_clock *clock, double bytes_per_s)
{
	struct pace *p = g_new0(struct pace, 1);

	p->clock = *clock;
	p->rate = bytes_per_s * PACE_SHARE / G_USEC_PER_SEC;
	p->burst = MAX(p->rate * PACE_BURST_US, PACE_BURST_MIN);
	p->tokens = p->burst;
	p->at = pt_now(clock);
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

	p->tokens = MIN(p->burst, p->tokens + (double)(now - p->at) * p->rate);
	p->at = now;
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
	struct pace_job *at;

	j->target = target;
	j->expected = expected;
	p->expected += expected;
	at = TAILQ_FIRST(&p->jobs);
	while (at != NULL && at->target <= target)
		at = TAILQ_NEXT(at, link);
	if (at != NULL)
		TAILQ_INSERT_BEFORE(at, j, link);
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
	j->promised = n;
	p->promised += n;
}

void
pace_release(struct pace *p, struct pace_job *j)
{
	p->promised -= j->promised;
	j->promised = 0;
}

void
pace_ready(struct pace_job *j, gsize n)
{
	j->ready = n;
}

static struct pace_job *
largest_kept(const struct pace *p, const struct pace_job *last)
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
 * Marks the fewest responses as late with which all others meet their targets
 * in turn (Moore and Hodgson's rule): wherever a target would be missed, the
 * largest response up to there gives way.  Load it answers: large responses of
 * very different sizes in an overload, of which one takes the time of several.
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
		    sum <= (double)(j->target - p->at) * p->rate)
			continue;
		out = largest_kept(p, j);
		out->late = TRUE;
		sum -= (double)out->expected;
	}
}

/* The first response in time, else the first of the late ones. */
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
		*due = p->at + (gint64)((PACE_QUANTUM - p->tokens) / p->rate);
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
	return (gint64)((double)(p->expected + p->promised + n) / p->rate);
}

/*
 * Load it answers: more large responses than the link carries.  Let in up to
 * the deadline, most would wait until it passes behind younger ones that can
 * still be in time.  A response too large for its target has the deadline.
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
