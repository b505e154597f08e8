/* Pacing of large responses on an instance's link, in virtual time. */
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

/* Sends what the pacer allows until "end"; adds each job's bytes to sent[]. */
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
 * Guards against a link shared by all large responses of an overload, so that
 * all of them are late: 20 responses of 100 KB with a target of 1 s on a link
 * of 1 MB/s, which carries nine of them in that time, as a tenth of its rate is
 * kept for headers.
 */
START_TEST(large_responses_are_sent_in_turn)
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
 * Guards against a few large responses that make many small ones late: three of
 * 400 KB before ten of 50 KB, with targets of about 1 s on a link of 1 MB/s, of
 * which a tenth is kept for headers.  In the order of targets two large and two
 * small ones would be in time; all small ones and one large one can be.
 */
START_TEST(largest_responses_are_sent_last)
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
	/* The late responses are sent afterwards. */
	drain_link(p, j, sent, 13, now_us + 1000 * MS);
	for (i = 0; i < 13; i++) {
		ck_assert_uint_eq(sent[i], size[i]);
		pace_remove(p, &j[i]);
	}
	pace_free(p);
}
END_TEST

/*
 * Guards against small responses delayed by large ones, or not counted in the
 * rate of the link.
 */
START_TEST(small_responses_are_not_delayed)
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
	/* Small responses send 450 KB/s, nearly half of the link's 1 MB/s. */
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

/*
 * Guards against refusing a response that misses its target even on an idle
 * link, but meets its deadline.
 */
START_TEST(responses_too_large_for_their_target)
{
	struct pace *p;

	now_us = MS;
	p = pace_new(&test_clock, 1000000);
	ck_assert_int_eq(pace_lateness(p, 2000000, 0, 1000 * MS, 3000 * MS), 0);
	ck_assert_int_gt(pace_lateness(p, 3000000, 0, 1000 * MS, 3000 * MS), 0);
	/* The wait for the link overlaps the run; the response follows both. */
	ck_assert_int_eq(
	    pace_lateness(p, 90000, 800 * MS, 901 * MS, 3000 * MS), 0);
	ck_assert_int_eq(
	    pace_lateness(p, 90000, 800 * MS, 850 * MS, 850 * MS), 50 * MS);
	pace_free(p);
}
END_TEST

/* Guards against responses delayed on a link whose rate is not known. */
START_TEST(unknown_rates_are_not_paced)
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
 * Guards against requests admitted while the link is reserved for others: they
 * run, and their responses miss the deadline.  140 requests a second for 89 KB
 * each on a link of 1.2 MB/s, with a run of 180 ms and a deadline of 3 s.
 */
START_TEST(reserved_responses_count)
{
	enum {
		N = 2000,
		SIZE = 89000,
		EVERY = 7 * MS,
		RUN = 180 * MS
	};
	const gint64 limit = 3000 * MS;
	struct pace_job *j = g_new0(struct pace_job, N);
	gint64 *arrived = g_new0(gint64, N);
	gsize *sent = g_new0(gsize, N);
	struct pace *p;
	guint i, k, admitted = 0, late = 0;

	now_us = MS;
	p = pace_new(&test_clock, 1200000);
	for (i = 0; i < N; i++) {
		arrived[i] = now_us;
		if (pace_lateness(p, SIZE, RUN, limit / 2, limit) == 0) {
			pace_reserve(p, &j[i], SIZE);
			admitted++;
		}
		for (k = 0; k <= i; k++)
			if (j[k].reserved > 0 && now_us - arrived[k] >= RUN) {
				pace_release(p, &j[k]);
				pace_add(
				    p, &j[k], arrived[k] + limit / 2, SIZE);
				pace_ready(&j[k], SIZE);
			}
		drain_link(p, j, sent, N, now_us + EVERY);
		now_us = arrived[i] + EVERY;
		for (k = 0; k <= i; k++) {
			if (j[k].queued && sent[k] == SIZE)
				pace_remove(p, &j[k]);
			if (j[k].queued && now_us - arrived[k] > limit) {
				late++;
				pace_remove(p, &j[k]);
			}
		}
	}
	/* 1.08 MB/s carry 170 responses in 14 s. */
	ck_assert_uint_ge(admitted, 140);
	ck_assert_msg(
	    late <= admitted / 20, "%u of %u are late", late, admitted);
	for (i = 0; i < N; i++) {
		pace_release(p, &j[i]);
		pace_remove(p, &j[i]);
	}
	ck_assert_int_eq(pace_wait(p, 0), 0);
	pace_free(p);
	g_free(j);
	g_free(arrived);
	g_free(sent);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("pace");
	TCase *t = tcase_create("pace");

	tcase_add_test(t, large_responses_are_sent_in_turn);
	tcase_add_test(t, largest_responses_are_sent_last);
	tcase_add_test(t, small_responses_are_not_delayed);
	tcase_add_test(t, unknown_rates_are_not_paced);
	tcase_add_test(t, responses_too_large_for_their_target);
	tcase_add_test(t, reserved_responses_count);
	suite_add_tcase(suite, t);
	return suite_run(suite);
}
