/*
 * Shares of organisations in the slots of an upstream, by start-time fair
 * queueing: each organisation has a start tag, which advances with the expected
 * slot time of each call that it starts.  The organisation with the lowest tag
 * starts next, except that one that is served far less often than all together
 * starts before.  Refused and dropped calls advance no tag.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <math.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/*
 * An organisation whose share of served calls is below this part of that of all
 * together starts next.  With equal shares alone, one that offers 40 % of the
 * calls among 40 others would be served a twentieth as often as all together.
 * A quarter is required; the rest is for the delay of the averages.
 */
#define FLOOR 0.3
/*
 * Time constant of the calls offered and served, in us: several calls of an
 * organisation with 2 calls a second, and short against FORGET_AFTER.
 */
#define RATE_TAU (2.0 * G_TIME_SPAN_SECOND)
/* Time for which organisations without queued calls are kept. */
#define FORGET_AFTER (10 * G_TIME_SPAN_SECOND)
/*
 * Time constants after which the sums are scaled anew: exp(50) leaves them
 * exact and far from the limit of a double, about exp(709).
 */
#define SCALE_MAX 50.0

struct fair_flow {
	char *org;
	double tag; /* total expected slot time, in us */
	double offered, served; /* calls, see struct fair */
	guint queued;
	gint64 used_at; /* of the last call offered or started */
	TAILQ_ENTRY(fair_flow) link; /* by used_at */
	double scan; /* for the user of this library, see fair_scan() */
};

TAILQ_HEAD(flow_list, fair_flow);

struct fair {
	GHashTable *flows; /* name -> struct fair_flow */
	struct flow_list by_use; /* least recently used first */
	double time; /* virtual time: highest tag of a started call */
	/*
	 * A call at time t is counted exp((t - scaled_at) / RATE_TAU) times, so
	 * that older ones need no update to weigh less.
	 */
	double offered, served;
	gint64 scaled_at;
};

struct fair *
fair_new(void)
{
	struct fair *f = g_new0(struct fair, 1);

	f->flows = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&f->by_use);
	return f;
}

static void
flow_free(struct fair *f, struct fair_flow *w)
{
	TAILQ_REMOVE(&f->by_use, w, link);
	g_hash_table_remove(f->flows, w->org);
	f->offered = MAX(f->offered - w->offered, 0);
	f->served = MAX(f->served - w->served, 0);
	g_free(w->org);
	g_free(w);
}

void
fair_free(struct fair *f)
{
	struct fair_flow *w;

	if (f == NULL)
		return;
	while ((w = TAILQ_FIRST(&f->by_use)) != NULL)
		flow_free(f, w);
	g_hash_table_unref(f->flows);
	g_free(f);
}

static void
touch(struct fair *f, struct fair_flow *w, gint64 now)
{
	w->used_at = now;
	TAILQ_REMOVE(&f->by_use, w, link);
	TAILQ_INSERT_TAIL(&f->by_use, w, link);
}

void
fair_forget(struct fair *f, gint64 now)
{
	struct fair_flow *w;

	while ((w = TAILQ_FIRST(&f->by_use)) != NULL &&
	       now - w->used_at > FORGET_AFTER) {
		if (w->queued > 0)
			touch(f, w, now);
		else
			flow_free(f, w);
	}
}

/* Number that a call counts for now; scales the sums anew if necessary. */
static double
scale_now(struct fair *f, gint64 now)
{
	double age = (double)(now - f->scaled_at) / RATE_TAU;
	struct fair_flow *w;

	if (age <= SCALE_MAX)
		return exp(age);
	f->offered *= exp(-age);
	f->served *= exp(-age);
	for (w = TAILQ_FIRST(&f->by_use); w != NULL; w = TAILQ_NEXT(w, link)) {
		w->offered *= exp(-age);
		w->served *= exp(-age);
	}
	f->scaled_at = now;
	return 1;
}

struct fair_flow *
fair_offer(struct fair *f, const char *org, gint64 now)
{
	double n = scale_now(f, now);
	struct fair_flow *w;

	fair_forget(f, now);
	w = g_hash_table_lookup(f->flows, org);
	if (w == NULL) {
		w = g_new0(struct fair_flow, 1);
		w->org = g_strdup(org);
		g_hash_table_insert(f->flows, w->org, w);
		TAILQ_INSERT_TAIL(&f->by_use, w, link);
	}
	touch(f, w, now);
	w->offered += n;
	f->offered += n;
	return w;
}

double
fair_tag(const struct fair *f, const struct fair_flow *w)
{
	return w != NULL ? MAX(w->tag, f->time) : f->time;
}

gboolean
fair_owed(const struct fair *f, const struct fair_flow *w)
{
	return w->served * f->offered < FLOOR * f->served * w->offered;
}

void
fair_queued(struct fair_flow *w, int n)
{
	w->queued = (guint)((int)w->queued + n);
}

void
fair_start(struct fair *f, struct fair_flow *w, double work, gint64 now)
{
	double n = scale_now(f, now);

	/* What the floor adds is not taken from the fair share later. */
	if (!fair_owed(f, w)) {
		f->time = fair_tag(f, w);
		w->tag = f->time + work;
	}
	w->served += n;
	f->served += n;
	touch(f, w, now);
}

double *
fair_scan(struct fair_flow *w)
{
	return &w->scan;
}

guint
fair_count(const struct fair *f)
{
	return g_hash_table_size(f->flows);
}
