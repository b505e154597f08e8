#include <glib.h>
#include <math.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "call.h"
#include "work.h"

/*
 * Time constant in us with which a report loses its value against the usual
 * backlog of the upstream: a full queue of 24 requests of 50 ms drains in
 * 0.2 s, and slow periods last for 0.6 s.
 */
#define REPORT_TAU 400000.0
/* Time constant in us of the average of the work that this node sends. */
#define OWN_TAU 1e6
/* Weight of a report in the usual backlog. */
#define USUAL_WEIGHT (1.0 / 16)
/* Weight of a sample of the speed: 1 / SPEED_SAMPLES, more for the first. */
#define SPEED_SAMPLES 8
/*
 * Time constant in us with which a speed is forgotten without reports: an
 * upstream that was slow would otherwise get no calls that show a change.
 */
#define SPEED_TAU 10e6
/* Limit of the change by one sample, as a logarithm. */
#define SPEED_STEP 1.0
/* Limits of the speed, as a logarithm: 1/8 to 8. */
#define SPEED_MAX 2.08
/* Logarithm of the speed at which new upstreams start: half. */
#define SPEED_NEW (-0.69)
/*
 * Share of a request's time that is left on average while it holds a slot.  An
 * upstream with that much work for each slot has no free one.
 */
#define RESIDUAL 0.6
/*
 * Weight of the time in a slot, relative to that of the wait, for a request
 * that misses its target here; the fast upstreams are left to others.
 */
#define LATE_WEIGHT 0.3
/* Least uncertainty of a predicted time, as a share of it. */
#define DOUBT_MIN 0.15
/* An upstream that fails half of its calls is rated as three times as slow. */
#define FAILURE_WEIGHT 4

void
work_start_slow(struct work_state *w)
{
	w->speed = SPEED_NEW;
	w->speed_samples = 0;
}

double
work_speed(const struct work_state *w, gint64 now)
{
	double age = w->at != 0 ? (double)(now - w->at) : 0;

	return exp(w->speed * exp(-age / SPEED_TAU));
}

void
work_learn_speed(struct work_state *w, double sample)
{
	w->speed_samples = MIN(w->speed_samples + 1, SPEED_SAMPLES);
	w->speed += CLAMP(sample - w->speed, -SPEED_STEP, SPEED_STEP) /
		    w->speed_samples;
	w->speed = CLAMP(w->speed, -SPEED_MAX, SPEED_MAX);
}

static double
own_now(const struct work_state *w, gint64 now)
{
	return w->own * exp((double)(w->own_at - now) / OWN_TAU);
}

void
work_reported(struct work_state *w, double backlog, double inflow, gint64 now)
{
	backlog = MAX(backlog, 0);
	if (w->at == 0)
		w->usual = backlog;
	w->usual += (backlog - w->usual) * USUAL_WEIGHT;
	w->backlog = backlog;
	w->inflow = MAX(inflow, 0);
	w->at = now;
	w->sent = 0;
}

void
work_sent(struct work_state *w, double work, gint64 now)
{
	w->own = own_now(w, now) + work / OWN_TAU;
	w->own_at = now;
	w->sent += work;
}

void
work_unsent(struct work_state *w, double work)
{
	w->sent = MAX(w->sent - work, 0);
}

double
work_backlog(const struct work_state *w, double slots, double usual, gint64 now)
{
	double age = (double)(now - w->at), others, left, trust;

	if (w->at == 0)
		return usual + w->sent;
	/* The inflow includes what this node sends, which is known better. */
	others = MAX(w->inflow - own_now(w, now), 0);
	left = w->backlog + w->sent + (others - slots) * age;
	trust = exp(-age / REPORT_TAU);
	return MAX(left, 0) * trust + w->usual * (1 - trust);
}

double
work_wait(const struct work_view *v, double backlog)
{
	double each = backlog / v->slots;
	double busy = each / MAX(RESIDUAL * v->mean, 1);

	/* Below that load a slot is free more often than not. */
	return busy >= 1 ? each : each * busy * busy;
}

double
work_cost(
    const struct work_view *v, double wait, gboolean has_target, double left)
{
	double t = v->work * (1 + FAILURE_WEIGHT * v->failures);
	double all = wait + t + v->hop, doubt, meets;

	if (!has_target)
		return all;
	/* Probability that the target is met, by a logistic distribution. */
	doubt = MAX(v->spread * t + wait / 2, DOUBT_MIN * all) * 0.55;
	meets = 1 / (1 + exp(CLAMP((all - left) / doubt, -30, 30)));
	return meets * all +
	       (1 - meets) * (MAX(left, 0) + wait + v->hop + t * LATE_WEIGHT);
}
