/*
 * Worth of the responses that callers get under typical loads if calls are
 * admitted by their own targets, compared with admission by targets of ranks
 * and with first come, first served; with fixed seeds, in virtual time.
 * bench/loads.c runs the same loads with many seeds.
 */
#include <glib.h>
#include <check.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "call.h"
#include "sim.h"
#include "loads.h"
#include "run.h"

#define SEEDS 2
/* Differences in worth that users consider noise, of a worth of 0 to 1. */
#define NOISE 0.03

static double
worth(const struct load_mesh *m, enum load l, enum order o)
{
	struct sim_stats st;
	double sum = 0;
	guint32 seed;
	guint k;

	for (seed = 1; seed <= SEEDS; seed++) {
		load_run(m, l, o, seed, &st);
		sum += load_worth(m, &st) / SEEDS;
		ck_assert_uint_eq(st.late_starts, 0);
		for (k = 0; k < m->n_classes; k++)
			ck_assert_uint_eq(st.c[k].refused_ran, 0);
	}
	return sum;
}

/*
 * Guards against admission by targets of calls that brings callers less worth
 * than admission by targets of ranks or first come, first served, and against
 * "not run" for a call that has run.
 */
START_TEST(order_does_not_reduce_worth)
{
	const struct load_mesh *m = &load_meshes[_i / LOADS];
	enum load l = (enum load)(_i % LOADS);
	double by_call = worth(m, l, ORDER_BY_CALL);
	double by_rank = worth(m, l, ORDER_BY_RANK);
	double fifo = worth(m, l, ORDER_FIFO);

	ck_assert_msg(by_call >= by_rank - NOISE, "%s %s: %.3f, by rank %.3f",
	    m->name, load_names[l], by_call, by_rank);
	ck_assert_msg(by_call >= fifo - NOISE, "%s %s: %.3f, fifo %.3f",
	    m->name, load_names[l], by_call, fifo);
	/* Over capacity the worth must exceed first come, first served. */
	if (l == LOAD_RETRIES || l == LOAD_BURST_URGENT)
		ck_assert_msg(by_call > fifo + NOISE, "%s %s: %.3f, fifo %.3f",
		    m->name, load_names[l], by_call, fifo);
}
END_TEST

/*
 * Guards against classes that starve while urgent calls exceed the capacity.
 * Allows two starts per upstream for credit below one start at both ends of the
 * measured time.
 */
START_TEST(no_class_starves)
{
	const struct load_mesh *m = &load_meshes[_i];
	struct sim_stats st;
	guint k, all = 0;

	load_run(m, LOAD_RETRIES, ORDER_BY_CALL, 1, &st);
	for (k = 0; k < m->n_classes; k++)
		all += st.starts[k];
	for (k = 0; k < m->n_classes; k++)
		ck_assert_msg((st.starts[k] + 2 * m->upstreams) * 100 >=
				  all * (guint)m->classes[k].floor,
		    "%s: %u of %u starts", m->classes[k].name, st.starts[k],
		    all);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("loads");
	TCase *t = tcase_create("loads");

	tcase_add_loop_test(t, order_does_not_reduce_worth, 0, MESHES * LOADS);
	tcase_add_loop_test(t, no_class_starves, 0, MESHES);
	suite_add_tcase(suite, t);
	return suite_run(suite);
}
