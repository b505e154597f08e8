#include <glib.h>
#include <check.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "port.h"
#include "burn.h"
#include "run.h"

static struct burn *
new_burn(void)
{
	struct burn_opts o = { 0.99 };

	return burn_new(&o);
}

/* Metrics of service s and rank r with these counts, and 7 cancelled calls. */
static char *
counters(guint ran, guint failed, guint refused, guint unknown, guint good)
{
	return g_strdup_printf(
	    "# TYPE ptnode_requests_total counter\n"
	    "ptnode_requests_total{service=\"s\",rank=\"r\",result=\"ran\"} "
	    "%u\n"
	    "ptnode_requests_total{service=\"s\",rank=\"r\","
	    "result=\"failed\"} %u\n"
	    "ptnode_requests_total{service=\"s\",rank=\"r\","
	    "result=\"not_run\"} %u\n"
	    "ptnode_requests_total{service=\"s\",rank=\"r\","
	    "result=\"unknown\"} %u\n"
	    "ptnode_requests_total{service=\"s\",rank=\"r\","
	    "result=\"cancelled\"} 7\n"
	    "ptnode_requests_good_total{service=\"s\",rank=\"r\"} %u\n"
	    "other_total 5\n",
	    ran, failed, refused, unknown, good);
}

static void
sample(struct burn *b, const char *node, guint ran, guint refused, guint good)
{
	char *t = counters(ran, 0, refused, 0, good);

	ck_assert(burn_sample(b, node, t, NULL));
	g_free(t);
}

static void
end_round(struct burn *b, gint64 at)
{
	ck_assert(burn_round(b, at, NULL));
}

static guint n_rows;

static void
on_row(void *ctx, const struct burn_row *r)
{
	ck_assert_str_eq(r->service, "s");
	ck_assert_str_eq(r->rank, "r");
	*(struct burn_row *)ctx = *r;
	n_rows++;
}

static struct burn_row
row(struct burn *b)
{
	struct burn_row r;

	n_rows = 0;
	burn_report(b, on_row, &r);
	ck_assert_uint_eq(n_rows, 1);
	return r;
}

/* Guards against wrong sums over nodes, and calls not run counted as good. */
START_TEST(burn_rate_sums_nodes)
{
	struct burn *b = new_burn();
	struct burn_row r;
	char *t;

	sample(b, "a", 1000, 0, 1000);
	sample(b, "b", 50, 0, 50);
	end_round(b, 1000);
	t = counters(1090, 2, 3, 1, 1085);
	ck_assert(burn_sample(b, "a", t, NULL));
	g_free(t);
	sample(b, "b", 154, 0, 150);
	end_round(b, 1060);
	r = row(b);
	ck_assert_uint_eq(r.window[0].good, 185);
	ck_assert_uint_eq(r.window[0].late, 9);
	ck_assert_uint_eq(r.window[0].failed, 2);
	ck_assert_uint_eq(r.window[0].not_run, 3);
	ck_assert_uint_eq(r.window[0].unknown, 1);
	ck_assert_double_eq_tol(r.window[0].share, 185.0 / 200, 1e-9);
	ck_assert_double_eq_tol(r.window[0].rate, 7.5, 1e-9);
	burn_free(b);
}
END_TEST

/* Guards against a window reported as complete when it lacks data. */
START_TEST(incomplete_windows)
{
	struct burn *b = new_burn();
	struct burn_row r;
	guint i;

	/* 10 calls a minute for two hours, all bad in the last 4 minutes. */
	for (i = 0; i <= 120; i++) {
		sample(b, "a", i * 10, 0, MIN(i, 116) * 10);
		end_round(b, 1000 + i * 60);
	}
	r = row(b);
	ck_assert(r.window[0].complete && r.window[1].complete);
	ck_assert_uint_eq(r.window[0].good, 10);
	ck_assert_uint_eq(r.window[0].late, 40);
	ck_assert_double_eq_tol(r.window[0].rate, 80, 1e-9);
	ck_assert_uint_eq(r.window[1].good + r.window[1].late, 600);
	ck_assert_double_eq_tol(r.window[1].rate, 40 / 6.0, 1e-9);
	ck_assert(!r.window[2].complete && !r.window[3].complete);
	ck_assert_int_eq(r.window[2].covered_s, 7200);
	ck_assert_uint_eq(r.window[3].good + r.window[3].late, 1200);
	burn_free(b);
}
END_TEST

/* Guards against counts lost or added twice when a node restarts. */
START_TEST(counts_across_restarts)
{
	struct burn *b = new_burn();
	struct burn_stats st;
	struct burn_row r;

	sample(b, "a", 1000, 100, 900);
	end_round(b, 1000);
	sample(b, "a", 1010, 100, 910);
	end_round(b, 1060);
	/* Restarted: "ran" grew past its last value, the others went down. */
	sample(b, "a", 2000, 0, 500);
	end_round(b, 1120);
	burn_stats(b, &st);
	ck_assert_uint_eq(st.restarts, 1);
	r = row(b);
	ck_assert_uint_eq(r.window[0].good, 10 + 500);
	ck_assert_uint_eq(r.window[0].late, 1500);
	ck_assert_uint_eq(r.window[0].not_run, 0);
	/* Restarted without a call yet, then more calls than before. */
	ck_assert(burn_sample(b, "a", "other_total 5\n", NULL));
	end_round(b, 1180);
	sample(b, "a", 3000, 0, 3000);
	end_round(b, 1240);
	burn_stats(b, &st);
	ck_assert_uint_eq(st.restarts, 2);
	r = row(b);
	ck_assert_uint_eq(r.window[0].good, 10 + 500 + 3000);
	burn_free(b);
}
END_TEST

/*
 * Guards against counting all earlier calls of a node in the interval in which
 * it is first sampled.
 */
START_TEST(first_sample_is_baseline)
{
	struct burn *b = new_burn();
	struct burn_stats st;
	struct burn_row r;

	sample(b, "a", 10, 0, 10);
	burn_miss(b, "b");
	end_round(b, 1000);
	sample(b, "a", 20, 0, 20);
	sample(b, "b", 5000, 0, 0);
	end_round(b, 1060);
	r = row(b);
	ck_assert_uint_eq(r.window[0].good, 10);
	ck_assert_uint_eq(r.window[0].late, 0);
	burn_stats(b, &st);
	ck_assert_uint_eq(st.misses, 1);
	ck_assert_uint_eq(st.nodes, 2);
	ck_assert(!burn_round(b, 1059, NULL));
	burn_free(b);
}
END_TEST

/* Guards against a replay of saved samples that gives another report. */
START_TEST(replay_gives_same_report)
{
	struct burn *b = new_burn(), *replayed = new_burn();
	GString *file = g_string_new(NULL);
	struct burn_stats st;
	struct burn_row r, r2;
	GArray *pts;
	char *t, *s;
	guint i;

	for (i = 0; i < 5; i++) {
		t = counters(i * 100, i, 2 * i, 0, i * 90);
		ck_assert(burn_sample(b, "a", t, NULL));
		s = burn_format_node("a", t);
		g_string_append(file, s);
		g_free(s);
		g_free(t);
		burn_miss(b, "b");
		s = burn_format_miss("b");
		g_string_append(file, s);
		g_free(s);
		end_round(b, 1000 + i * 60);
		s = burn_format_round(1000 + i * 60);
		g_string_append(file, s);
		g_free(s);
	}
	ck_assert_ptr_null(strstr(file->str, "other_total"));
	/* A truncated round is ignored. */
	t = counters(9000, 0, 0, 0, 0);
	s = burn_format_node("a", t);
	g_string_append(file, s);
	g_free(s);
	g_free(t);
	ck_assert(burn_replay(replayed, file->str, file->len, NULL));
	r = row(b);
	r2 = row(replayed);
	for (i = 0; i < BURN_WINDOWS; i++) {
		ck_assert_uint_eq(r.window[i].good, r2.window[i].good);
		ck_assert_uint_eq(r.window[i].late, r2.window[i].late);
		ck_assert_uint_eq(r.window[i].failed, r2.window[i].failed);
		ck_assert_uint_eq(r.window[i].not_run, r2.window[i].not_run);
		ck_assert_int_eq(r.window[i].covered_s, r2.window[i].covered_s);
		ck_assert_double_eq(r.window[i].rate, r2.window[i].rate);
	}
	burn_stats(replayed, &st);
	ck_assert_uint_eq(st.rounds, 5);
	ck_assert_uint_eq(st.misses, 5);
	pts = burn_points(replayed, "s", "r");
	ck_assert_uint_eq(pts->len, 4);
	ck_assert_uint_eq(g_array_index(pts, struct burn_point, 0).calls, 103);
	ck_assert_double_eq_tol(
	    g_array_index(pts, struct burn_point, 0).bad_share, 13.0 / 103,
	    1e-9);
	g_array_unref(pts);
	ck_assert(!burn_replay(replayed, "# round x\n", 10, NULL));
	g_string_free(file, TRUE);
	burn_free(b);
	burn_free(replayed);
}
END_TEST

/* Guards against malformed text that is accepted as counters. */
START_TEST(bad_text_is_rejected)
{
	static const char *const bad[] = { "<html>\n", "name{a=\"b} 1\n",
		"name{a=\"b\" 1\n", "name{a=\"b\"}\n", "name x\n",
		"name{=\"b\"} 1\n", "name{a=\"b\"c=\"d\"} 1\n" };
	struct burn *b = new_burn();
	GError *err = NULL;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		ck_assert(!burn_sample(b, "a", bad[i], &err));
		ck_assert(g_error_matches(err, PT_ERROR, PT_ERROR_PARSE));
		g_clear_error(&err);
	}
	ck_assert(burn_sample(b, "a",
	    "\n # note\nx{a=\"q\\\"\\\\\\n,}\"} 1.5e3 99\ny 2\n", NULL));
	ck_assert(burn_sample(b, "a", "", NULL));
	burn_free(b);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("burn");
	TCase *t = tcase_create("windows");

	tcase_add_test(t, burn_rate_sums_nodes);
	tcase_add_test(t, incomplete_windows);
	tcase_add_test(t, counts_across_restarts);
	tcase_add_test(t, first_sample_is_baseline);
	tcase_add_test(t, replay_gives_same_report);
	tcase_add_test(t, bad_text_is_rejected);
	suite_add_tcase(s, t);
	return suite_run(s);
}
