/* Large responses on an instance's link, on a paused clock. */
#include <glib.h>
#include <check.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "call.h"
#include "run.h"

#define MS G_TIME_SPAN_MILLISECOND

static gint64 now_us;

static gint64
test_now(void *ctx)
{
	return now_us;
}

static const struct pt_clock test_clock = { test_now, NULL };

/* Sends what the pacer allows up to a time; returns the bytes of each job. */
static void
drain_link(struct pace *p, struct pace_job *j, gsize *sent, guint n, gint64 end)
{
	struct pace_job *x;
	gint64 due;
	gsize bytes;

	while (now_us < end) {
		while ((x = pace_next(p, &bytes, &due)) != NULL) {
			ck_assert_int_lt(x - j, (int)n);
			sent[x - j] += bytes;
		}
		if (due == G_MAXINT64)
			break;
		now_us = MIN(MAX(due, now_us + 1), end);
	}
}

/*
 * Guards against a link shared by all large answers of an overload, so that
 * each comes too late: ten answers of 100 KB with targets after 1 s on a link
 * of 1 MB/s less heads, of which nine fit.
 */
START_TEST(large_answers_take_turns)
{
	struct pace_job j[20];
	gsize sent[20] = { 0 };
	struct pace *p;
	guint i, whole = 0;

	now_us = MS;
	p = pace_new(&test_clock, 1000000);
	memset(j, 0, sizeof(j));
	for (i = 0; i < 20; i++) {
		pace_add(p, &j[i], now_us + 1000 * MS, 100000);
		pace_ready(&j[i], 100000);
	}
	ck_assert_int_ge(pace_wait(p, 100000), 2000 * MS);
	drain_link(p, j, sent, 20, now_us + 1000 * MS);
	for (i = 0; i < 20; i++)
		whole += sent[i] == 100000;
	ck_assert_uint_ge(whole, 8);
	for (i = 0; i < 20; i++)
		pace_remove(p, &j[i]);
	ck_assert_int_eq(pace_wait(p, 0), 0);
	pace_free(p);
}
END_TEST

/*
 * Guards against a few answers that take the time of many: three of 400 KB
 * before ten of 50 KB, all with targets after 1 s, on a link of 1 MB/s less
 * heads.  By targets alone two large ones and two small ones are in time; all
 * small ones and one large one fit.
 */
START_TEST(largest_give_way)
{
	struct pace_job j[13];
	gsize size[13], sent[13] = { 0 };
	struct pace *p;
	guint i, whole = 0;

	now_us = MS;
	p = pace_new(&test_clock, 1000000);
	memset(j, 0, sizeof(j));
	for (i = 0; i < 13; i++) {
		size[i] = i < 3 ? 400000 : 50000;
		pace_add(p, &j[i], now_us + 1000 * MS + i, size[i]);
		pace_ready(&j[i], size[i]);
	}
	drain_link(p, j, sent, 13, now_us + 1000 * MS);
	for (i = 0; i < 13; i++)
		whole += sent[i] == size[i];
	ck_assert_uint_ge(whole, 11);
	/* The others follow. */
	drain_link(p, j, sent, 13, now_us + 1000 * MS);
	for (i = 0; i < 13; i++) {
		ck_assert_uint_eq(sent[i], size[i]);
		pace_remove(p, &j[i]);
	}
	pace_free(p);
}
END_TEST

/* Guards against small answers that large ones hold up, or do not pay for. */
START_TEST(small_answers_go_first)
{
	struct pace_job j[1];
	gsize sent[1] = { 0 };
	struct pace *p;
	gint64 end;

	now_us = MS;
	p = pace_new(&test_clock, 1000000);
	memset(j, 0, sizeof(j));
	pace_add(p, &j[0], now_us + 5000 * MS, 10000000);
	pace_ready(&j[0], 10000000);
	/* Half of the link goes to small answers. */
	for (end = now_us + 1000 * MS; now_us < end;) {
		pace_sent(p, 4500);
		drain_link(p, j, sent, 1, now_us + 10 * MS);
	}
	ck_assert_uint_ge(sent[0], 350000);
	ck_assert_uint_le(sent[0], 500000);
	pace_remove(p, &j[0]);
	pace_free(p);
}
END_TEST

/* Guards against a large response that is never let in, whatever the load. */
START_TEST(responses_too_large_for_their_target)
{
	struct pace *p;

	now_us = MS;
	p = pace_new(&test_clock, 1000000);
	ck_assert_int_eq(pace_lateness(p, 2000000, 0, 1000 * MS, 3000 * MS), 0);
	ck_assert_int_gt(pace_lateness(p, 3000000, 0, 1000 * MS, 3000 * MS), 0);
	/* A run hides the wait for the link, not the time on it. */
	ck_assert_int_eq(
	    pace_lateness(p, 90000, 800 * MS, 901 * MS, 3000 * MS), 0);
	ck_assert_int_eq(
	    pace_lateness(p, 90000, 800 * MS, 850 * MS, 850 * MS), 50 * MS);
	pace_free(p);
}
END_TEST

/* Guards against a wait on a link whose rate is not known. */
START_TEST(unknown_links_do_not_wait)
{
	struct pace_job j[1];
	struct pace *p;
	gint64 due;
	gsize n, all = 0;

	now_us = MS;
	p = pace_new(&test_clock, 0);
	memset(j, 0, sizeof(j));
	pace_add(p, &j[0], now_us, 1000000);
	pace_ready(&j[0], 1000000);
	while (pace_next(p, &n, &due) != NULL)
		all += n;
	ck_assert_uint_eq(all, 1000000);
	ck_assert_int_eq(due, G_MAXINT64);
	ck_assert_int_eq(pace_wait(p, 1000000), 0);
	pace_remove(p, &j[0]);
	pace_free(p);
}
END_TEST

/*
 * Guards against requests that are let in while the link is promised to others:
 * they run, and their answers reach nobody.  140 requests a second for 89 KB on
 * a link of 1.2 MB/s, a run of 180 ms and a deadline after 3 s.
 */
START_TEST(promised_answers_count)
{
	enum {
		N = 2000,
		SIZE = 89000,
		EVERY = 7 * MS,
		RUN = 180 * MS
	};
	const gint64 limit = 3000 * MS;
	struct pace_job *j = g_new0(struct pace_job, N);
	gint64 *came = g_new0(gint64, N);
	gsize *sent = g_new0(gsize, N);
	struct pace *p;
	guint i, k, let_in = 0, late = 0;

	now_us = MS;
	p = pace_new(&test_clock, 1200000);
	for (i = 0; i < N; i++) {
		came[i] = now_us;
		if (pace_lateness(p, SIZE, RUN, limit / 2, limit) == 0) {
			pace_reserve(p, &j[i], SIZE);
			let_in++;
		}
		for (k = 0; k <= i; k++)
			if (j[k].promised > 0 && now_us - came[k] >= RUN) {
				pace_release(p, &j[k]);
				pace_add(p, &j[k], came[k] + limit / 2, SIZE);
				pace_ready(&j[k], SIZE);
			}
		drain_link(p, j, sent, N, now_us + EVERY);
		now_us = came[i] + EVERY;
		for (k = 0; k <= i; k++) {
			if (j[k].queued && sent[k] == SIZE)
				pace_remove(p, &j[k]);
			if (j[k].queued && now_us - came[k] > limit) {
				late++;
				pace_remove(p, &j[k]);
			}
		}
	}
	/* 14 s of 1.08 MB/s carry 170 answers. */
	ck_assert_uint_ge(let_in, 140);
	ck_assert_msg(
	    late <= let_in / 20, "%u of %u come too late", late, let_in);
	for (i = 0; i < N; i++) {
		pace_release(p, &j[i]);
		pace_remove(p, &j[i]);
	}
	ck_assert_int_eq(pace_wait(p, 0), 0);
	pace_free(p);
	g_free(j);
	g_free(came);
	g_free(sent);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("pace");
	TCase *t = tcase_create("pace");

	tcase_add_test(t, large_answers_take_turns);
	tcase_add_test(t, largest_give_way);
	tcase_add_test(t, small_answers_go_first);
	tcase_add_test(t, unknown_links_do_not_wait);
	tcase_add_test(t, responses_too_large_for_their_target);
	tcase_add_test(t, promised_answers_count);
	suite_add_tcase(suite, t);
	return suite_run(suite);
}
