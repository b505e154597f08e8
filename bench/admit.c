/*
 * Compares admission modes in virtual time, under floods of 5 times the
 * capacity on the sizes of two deployments.  Prints one line per run and rank.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "call.h"
#include "sim.h"

#define FLOOD 5.0 /* load of a flood, as a multiple of the capacity */
#define WARM_MS 2000
#define RUN_MS 8000
/* A failure domain fails in the middle of the run. */
#define KILL_MS (WARM_MS + RUN_MS / 2)
#define SLOTS 12
#define QUEUE_MAX 256
#define DOMAINS 3
#define SEED 7

struct deployment {
	const char *name;
	guint upstreams;
	gint64 hop_us;
	struct sim_class classes[4];
};

static const struct deployment deployments[] = {
	{ "skates", 11, 1500,
	    { { "booking", 0, 30, 150, 1000, 100, 20, 0.15, 0, 0 },
		{ "lookup", 1, 20, 200, 1000, 20, 15, 0.15, 0, 0 },
		{ "profile", 2, 15, 400, 2000, 5, 25, 0.15, 0, 0 },
		{ "index", 3, 10, 1000, 3000, 1, 40, 0.15, 0, 0 } } },
	{ "copper", 14, 1000,
	    { { "order", 0, 25, 150, 1000, 100, 25, 0.15, 0, 0 },
		{ "stock", 1, 25, 200, 1000, 10, 10, 0.15, 0, 0 },
		{ "internal", 2, 10, 500, 2000, 2, 15, 0.15, 0, 0 },
		{ "drawing", 3, 15, 1500, 4000, 5, 80, 0.15, 0, 0 } } },
};

struct mode {
	const char *name;
	enum adm_mode mode;
	gboolean no_target;
};

static const struct mode modes[] = {
	{ "fifo", ADM_FIFO, TRUE },
	{ "strict", ADM_STRICT, TRUE },
	{ "rank", ADM_RANK, FALSE },
	{ "rank-deadline-only", ADM_RANK, TRUE },
};

static const struct phase {
	const char *name;
	gboolean urgent, background;
} phases[] = {
	{ "none", FALSE, FALSE },
	{ "background", FALSE, TRUE },
	{ "urgent", TRUE, FALSE },
	{ "both", TRUE, TRUE },
};

static void
report(const struct deployment *d, const struct phase *p, const struct mode *m,
    const struct sim_opts *o, const struct sim_stats *st)
{
	const struct sim_class_stats *c;
	guint k, good = 0;
	double worth = 0;

	for (k = 0; k < o->n_classes; k++) {
		c = &st->c[k];
		good += c->good;
		worth += (double)c->good * o->classes[k].worth;
		printf("%-7s %-10s %-18s %3d %-9s %8.0f %8.0f %8.1f %7.1f "
		       "%7.1f %7.1f\n",
		    d->name, p->name, m->name, o->urgency, o->classes[k].name,
		    c->offered * 1000.0 / RUN_MS, c->good * 1000.0 / RUN_MS,
		    (double)c->p99_us / 1000,
		    100.0 * c->good / MAX(c->offered, 1),
		    100.0 * c->refused / MAX(c->offered, 1),
		    100.0 * c->unknown / MAX(c->offered, 1));
	}
	printf("%-7s %-10s %-18s %3d %-9s %8s %8.0f worth/s %.0f "
	       "attempts/call %.3f\n",
	    d->name, p->name, m->name, o->urgency, "all", "",
	    good * 1000.0 / RUN_MS, worth * 1000 / RUN_MS,
	    (double)st->attempts / st->calls);
}

static void
compare(const struct deployment *d, const struct phase *p, const struct mode *m,
    int urgency)
{
	struct sim_class w[4];
	struct sim_opts o = { .mode = m->mode,
		.urgency = urgency,
		.no_target = m->no_target,
		.upstreams = d->upstreams,
		.domains = DOMAINS,
		.slots = SLOTS,
		.queue_max = QUEUE_MAX,
		.hop_us = d->hop_us,
		.classes = w,
		.n_classes = 4,
		.warm_ms = WARM_MS,
		.run_ms = RUN_MS,
		.kill_ms = KILL_MS,
		.seed = SEED };
	struct sim_stats st;

	memcpy(w, d->classes, sizeof(w));
	if (p->urgent)
		w[0].load = FLOOD;
	if (p->background)
		w[3].load = FLOOD;
	sim_run(&o, &st);
	report(d, p, m, &o, &st);
}

int
main(void)
{
	static const int urgencies[] = { 30, 80 };
	const struct mode *rank = &modes[2];
	guint i, j, k;

	printf("%-7s %-10s %-18s %3s %-9s %8s %8s %8s %7s %7s %7s\n", "size",
	    "flood", "admission", "urg", "rank", "offer/s", "good/s", "p99_ms",
	    "good_%", "notrun%", "unkn_%");
	for (i = 0; i < G_N_ELEMENTS(deployments); i++)
		for (j = 0; j < G_N_ELEMENTS(phases); j++) {
			for (k = 0; k < G_N_ELEMENTS(modes); k++)
				compare(
				    &deployments[i], &phases[j], &modes[k], 50);
			for (k = 0; k < G_N_ELEMENTS(urgencies); k++)
				compare(&deployments[i], &phases[j], rank,
				    urgencies[k]);
		}
	return EXIT_SUCCESS;
}
