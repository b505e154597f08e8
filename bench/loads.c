/*
 * Plays the loads that the decisions on calls are made for against the former
 * order and two baselines, over many seeds.  Prints what callers get by kind,
 * and on request the worth of each second, for bench/plot-loads.
 */
#include <glib.h>
#include <errno.h>
#include <math.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "call.h"
#include "sim.h"
#include "loads.h"

struct sum {
	double n, x, xx;
};

static void
sum_add(struct sum *s, double x)
{
	s->n++;
	s->x += x;
	s->xx += x * x;
}

static double
mean(const struct sum *s)
{
	return s->x / s->n;
}

/* Half width of the interval in which the mean lies with 95 %. */
static double
half(const struct sum *s)
{
	double v = s->xx / s->n - mean(s) * mean(s);

	return s->n > 1 ? 1.96 * sqrt(MAX(v, 0) / (s->n - 1)) : 0;
}

static double
percent(guint part, guint whole)
{
	return 100.0 * part / MAX(whole, 1);
}

/* Worth of each second and kind, in percent of what was asked for. */
static void
write_series(FILE *f, const struct load_mesh *m, const char *load,
    const char *order, const struct sim_stats *st)
{
	guint k, t;

	for (k = 0; k < m->n_classes; k++)
		for (t = 0; t < LOAD_RUN_MS / 1000; t++)
			fprintf(f, "%s\t%s\t%s\t%s\t%u\t%.1f\n", m->name, load,
			    order, m->classes[k].name, t,
			    100 * st->c[k].worth_in[t] /
				(MAX(st->c[k].offered_in[t], 1) *
				    (double)m->classes[k].worth));
}

static void
play(const struct load_mesh *m, enum load l, enum order o, int seeds, FILE *f)
{
	struct sum worth = { 0 }, good[SIM_CLASSES_MAX] = { { 0 } };
	struct sum late[SIM_CLASSES_MAX] = { { 0 } };
	struct sum refused[SIM_CLASSES_MAX] = { { 0 } };
	const struct sim_class_stats *c;
	struct sim_stats st;
	guint32 seed;
	guint k;

	for (seed = 1; seed <= (guint32)seeds; seed++) {
		load_run(m, l, o, seed, &st);
		sum_add(&worth, load_worth(m, &st));
		for (k = 0; k < m->n_classes; k++) {
			c = &st.c[k];
			sum_add(&good[k], percent(c->good, c->offered));
			sum_add(
			    &late[k], percent(c->ran - c->good, c->offered));
			sum_add(&refused[k], percent(c->refused, c->offered));
		}
		if (seed == 1 && f != NULL)
			write_series(f, m, load_names[l], order_names[o], &st);
	}
	printf("%-7s %-13s %-7s worth %.3f +- %.3f", m->name, load_names[l],
	    order_names[o], mean(&worth), half(&worth));
	for (k = 0; k < m->n_classes; k++)
		printf("  %s %.1f/%.1f/%.1f", m->classes[k].name,
		    mean(&good[k]), mean(&late[k]), mean(&refused[k]));
	printf("\n");
}

int
main(int argc, char **argv)
{
	int seeds = 20;
	char *tsv = NULL;
	const struct sys_setting set[] = {
		{ "seeds", SYS_INT, &seeds, 1, 1000, "20",
		    "runs of each load and order" },
		{ "tsv", SYS_STRING, &tsv, 0, 0, "/dev/null",
		    "worth by kind and second of the first seed" },
	};
	GError *err = NULL;
	guint m, l, o;
	FILE *f;

	if (!sys_settings(set, G_N_ELEMENTS(set), "LOADS",
		"compares orders of admission", &argc, &argv, &err) ||
	    !sys_no_arguments(argc, argv, &err)) {
		fprintf(stderr, "loads: %s\n", err->message);
		return EXIT_FAILURE;
	}
	f = fopen(tsv, "w");
	if (f == NULL) {
		fprintf(stderr,
		    "loads: cannot write %s: %s; give another "
		    "file with --tsv\n",
		    tsv, g_strerror(errno));
		return EXIT_FAILURE;
	}
	printf("each kind: in time/late/refused in percent of its calls\n");
	for (m = 0; m < MESHES; m++)
		for (l = 0; l < LOADS; l++)
			for (o = 0; o < ORDERS; o++)
				play(&load_meshes[m], l, o, seeds, f);
	fclose(f);
	g_free(tsv);
	return EXIT_SUCCESS;
}
