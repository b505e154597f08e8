/*
 * Rate at which calls may start, as a token bucket: each start takes a token.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <math.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/* Time for which unused tokens are kept. */
#define BURST_US (500 * G_TIME_SPAN_MILLISECOND)
/* A start that is this far away is not waited for. */
#define NEVER_US 1e15
/* A bucket that lacks less than this is full enough: sums of doubles. */
#define ROUNDING 1e-6

static double
tokens_now(const struct rate *r, gint64 now)
{
	double most = MAX(r->per_us * BURST_US, 1);

	return MIN(r->tokens + (double)(now - r->at) * r->per_us, most);
}

void
rate_set(struct rate *r, double per_s, gint64 now)
{
	if (per_s < 0) {
		r->limited = FALSE;
		return;
	}
	r->tokens = r->limited ? tokens_now(r, now) : 0;
	r->at = now;
	r->per_us = per_s / G_TIME_SPAN_SECOND;
	r->limited = TRUE;
}

gint64
rate_due(const struct rate *r, gint64 now)
{
	double missing;

	if (!r->limited)
		return now;
	missing = 1 - tokens_now(r, now);
	if (missing <= ROUNDING)
		return now;
	missing = ceil(missing / r->per_us);
	return missing < NEVER_US ? now + (gint64)missing : G_MAXINT64;
}

void
rate_take(struct rate *r, gint64 now)
{
	if (!r->limited)
		return;
	r->tokens = MAX(tokens_now(r, now) - 1, 0);
	r->at = now;
}

double
rate_wait(const struct rate *r, double n, double share, gint64 now)
{
	double missing = n - tokens_now(r, now);

	if (!r->limited || missing <= 0)
		return 0;
	return missing / (r->per_us * share);
}
