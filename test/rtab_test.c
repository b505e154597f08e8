/* Tests of core/rtab and core/reg. */
#include <glib.h>
#include <check.h>
#include <math.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "port.h"
#include "rtab.h"
#include "reg.h"
#include "run.h"

#define SECOND G_TIME_SPAN_SECOND
#define SEED 7

static gint64 now_us;

static gint64
virtual_now(void *ctx)
{
	return now_us;
}

static const struct pt_clock test_clock = { virtual_now, NULL };

static void
add_service(struct rtab *t, const char *name)
{
	struct rtab_service s = { (char *)(guintptr)name,
		(char *)(guintptr) "/h", 10 };

	rtab_add_service(t, &s);
}

static void
add_route(struct rtab *t, const char *name, const char *host,
    const char *prefix, struct rtab_part *parts, guint n)
{
	struct rtab_route r = { .name = (char *)(guintptr)name,
		.host = (char *)(guintptr)host,
		.prefix = (char *)(guintptr)prefix,
		.kind = RTAB_IDEMPOTENT,
		.timeout = SECOND,
		.attempts = 2,
		.parts = parts,
		.n_parts = n };

	rtab_add_route(t, &r);
}

static struct rtab_part only_a[] = { { (char *)(guintptr) "a", 1 } };

/*
 * Guards against a request on the wrong route: prefixes overlap, and host and
 * target carry a port, a query or capital letters.
 */
START_TEST(longest_prefix_of_the_host_wins)
{
	struct rtab *t = rtab_new(3);
	const char *const cases[][3] = {
		{ "x.example", "/p/q/r", "deep" },
		{ "X.Example:8080", "/p/q/", "deep" },
		{ "x.example", "/p/qq", "shallow" },
		{ "x.example", "/p/?/p/q/", "shallow" },
		{ "y.example", "/p/q/r", "other" },
	};
	guint i;

	add_service(t, "a");
	add_route(t, "shallow", "x.example", "/p/", only_a, 1);
	add_route(t, "deep", "x.example", "/p/q/", only_a, 1);
	add_route(t, "other", "y.example", "/", only_a, 1);
	ck_assert(rtab_build(t, NULL));
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		ck_assert_str_eq(
		    rtab_match(t, cases[i][0], cases[i][1])->name, cases[i][2]);
	ck_assert_ptr_null(rtab_match(t, "x.example", "/p"));
	ck_assert_ptr_null(rtab_match(t, "x.example", "/other/"));
	ck_assert_ptr_null(rtab_match(t, "z.example", "/p/"));
	ck_assert_ptr_null(rtab_match(t, "x.example", "*"));
	ck_assert_int_eq(rtab_version(t), 3);
	rtab_unref(t);
}
END_TEST

/*
 * Guards against accepting a table whose routes name a missing service, have an
 * invalid prefix or no service with a weight.
 */
START_TEST(invalid_tables_are_rejected)
{
	struct rtab_part none[] = { { (char *)(guintptr) "a", 0 } };
	struct rtab *t = rtab_new(1);
	GError *err = NULL;

	add_route(t, "r", "x", "/p/", only_a, 1);
	ck_assert(!rtab_build(t, &err));
	ck_assert(g_error_matches(err, PT_ERROR, PT_ERROR_REFERENCE));
	ck_assert_ptr_nonnull(strstr(err->message, "declare the service"));
	g_clear_error(&err);
	rtab_unref(t);

	t = rtab_new(1);
	add_service(t, "a");
	add_route(t, "r", "x", "/p", only_a, 1);
	ck_assert(!rtab_build(t, &err));
	ck_assert(g_error_matches(err, PT_ERROR, PT_ERROR_PARSE));
	g_clear_error(&err);
	rtab_unref(t);

	t = rtab_new(1);
	add_service(t, "a");
	add_route(t, "r", "x", "/p/", none, 1);
	ck_assert(!rtab_build(t, &err));
	ck_assert(g_error_matches(err, PT_ERROR, PT_ERROR_PARSE));
	g_clear_error(&err);
	rtab_unref(t);
}
END_TEST

/* Guards against weights that hold only on average over many requests. */
START_TEST(weights_hold_in_short_sequences)
{
	struct rtab_part parts[] = { { (char *)(guintptr) "a", 90 },
		{ (char *)(guintptr) "b", 10 } };
	GRand *rand = g_rand_new_with_seed(SEED);
	struct rtab_wrr *x = rtab_wrr_new(rand);
	struct rtab *t = rtab_new(1), *u = rtab_new(2);
	int i, b = 0;

	add_service(t, "a");
	add_service(t, "b");
	add_route(t, "r", "x", "/p/", parts, 2);
	ck_assert(rtab_build(t, NULL));
	for (i = 1; i <= 1000; i++) {
		b += strcmp(rtab_wrr_pick(x, rtab_match(t, "x", "/p/")), "b") ==
		     0;
		ck_assert(fabs(b - 0.1 * i) <= 2);
	}
	/* A newer version with the same weights continues the division. */
	add_service(u, "a");
	add_service(u, "b");
	add_route(u, "r", "x", "/p/", parts, 2);
	ck_assert(rtab_build(u, NULL));
	for (; i <= 1100; i++) {
		b += strcmp(rtab_wrr_pick(x, rtab_match(u, "x", "/p/")), "b") ==
		     0;
		ck_assert(fabs(b - 0.1 * i) <= 2);
	}
	rtab_wrr_free(x);
	rtab_unref(t);
	rtab_unref(u);
	g_rand_free(rand);
}
END_TEST

/* ---- registration ---- */

static struct reg *r;

static void
reg_setup(void)
{
	struct reg_opts o = { .clock = test_clock,
		.address = "10.0.0.1:80",
		.service = "a",
		.heartbeat = 1500000 };

	now_us = SECOND;
	r = reg_new(&o);
}

static void
reg_teardown(void)
{
	reg_free(r);
}

static enum reg_verdict
announce(
    const char *id, gint64 process_start, gint64 sequence, enum reg_state state)
{
	struct reg_announce b = { .id = id,
		.service = "a",
		.address = "10.0.0.1:80",
		.process_start = process_start,
		.sequence = sequence,
		.slots = 12,
		.state = state };

	return reg_announce(r, &b);
}

/*
 * Guards against new requests for a backend server that is leaving: one of its
 * announcements arrives after its leave.
 */
START_TEST(leaving_is_final_until_restart)
{
	gint64 since;

	ck_assert(!reg_serving(r));
	ck_assert_int_eq(announce("i-1", 100, 1, REG_SERVING), REG_NEW);
	ck_assert(reg_serving(r));
	now_us += SECOND;
	ck_assert_int_eq(announce("i-1", 100, 2, REG_DRAINING), REG_CHANGED);
	ck_assert(!reg_serving(r));
	ck_assert(reg_leaving(r, &since));
	ck_assert_int_eq(since, now_us);
	ck_assert(reg_leave(r, "i-1", 1000));
	/* An announcement sent before the leave. */
	ck_assert_int_eq(announce("i-1", 100, 3, REG_SERVING), REG_STALE);
	ck_assert(!reg_serving(r));
	/* A new process with the same id. */
	ck_assert_int_eq(announce("i-1", 200, 1, REG_SERVING), REG_NEW);
	ck_assert(reg_serving(r));
}
END_TEST

/*
 * Guards against an old state that replaces a newer one: a partition delays
 * announcements and the leave of a previous server.
 */
START_TEST(delayed_announcements_are_ignored)
{
	ck_assert_int_eq(announce("i-1", 100, 5, REG_SERVING), REG_NEW);
	ck_assert_int_eq(announce("i-1", 100, 4, REG_DRAINING), REG_STALE);
	ck_assert(reg_serving(r));
	ck_assert_int_eq(announce("i-2", 300, 1, REG_SERVING), REG_NEW);
	ck_assert_int_eq(announce("i-1", 100, 6, REG_SERVING), REG_STALE);
	ck_assert_int_eq(announce("i-1", 100, 7, REG_DRAINING), REG_STALE);
	ck_assert_str_eq(reg_id(r), "i-2");
	ck_assert(reg_serving(r));
	/* A leave of the previous server does not affect the present one. */
	ck_assert(!reg_leave(r, "i-1", 1000));
	ck_assert(reg_serving(r));
}
END_TEST

/*
 * Guards against a server that is registered again after its leave: the node
 * has restarted and has no registration when the leave arrives.
 */
START_TEST(leave_of_an_unknown_server_is_recorded)
{
	ck_assert(reg_leave(r, "i-1", 1000));
	ck_assert_int_eq(announce("i-1", 100, 9, REG_SERVING), REG_STALE);
	ck_assert_int_eq(announce("i-1", 0, 9, REG_SERVING), REG_STALE);
	ck_assert(!reg_serving(r));
	ck_assert_int_eq(announce("i-1", 2000, 1, REG_SERVING), REG_NEW);
}
END_TEST

/*
 * Guards against requests sent to a server of another node, whose announcement
 * names another address.
 */
START_TEST(announcements_of_other_addresses_are_ignored)
{
	struct reg_announce b = { .id = "i-9",
		.service = "a",
		.address = "10.0.0.2:80",
		.sequence = 1,
		.slots = 1 };

	ck_assert_int_eq(reg_announce(r, &b), REG_FOREIGN);
	ck_assert_ptr_null(reg_id(r));
	ck_assert_int_eq(reg_slots(r), 0);
}
END_TEST

/* Guards against a crashed server that is never reported as silent. */
START_TEST(missing_announcements_are_detected)
{
	ck_assert(!reg_silent(r));
	announce("i-1", 100, 1, REG_SERVING);
	now_us += 3 * SECOND;
	ck_assert(!reg_silent(r));
	now_us += 4 * SECOND;
	ck_assert(reg_silent(r));
	ck_assert_int_eq(announce("i-1", 100, 2, REG_SERVING), REG_KEPT);
	ck_assert(!reg_silent(r));
}
END_TEST

/*
 * Guards against adopting a server that has left or is already registered, and
 * against an adopted server whose first announcement is ignored.
 */
START_TEST(announcement_replaces_adopted_server)
{
	gint64 since;

	ck_assert(reg_leave(r, "i-0", 1000));
	ck_assert(!reg_adopt(r, "i-0", 4));
	ck_assert(!reg_serving(r));
	ck_assert(reg_adopt(r, "i-1", 4));
	ck_assert(reg_serving(r));
	ck_assert_int_eq(reg_slots(r), 4);
	ck_assert(!reg_adopt(r, "i-2", 4));
	ck_assert_int_eq(announce("i-1", 500, 7, REG_DRAINING), REG_NEW);
	ck_assert(!reg_serving(r));
	ck_assert(reg_leaving(r, &since));
	ck_assert_int_eq(announce("i-1", 500, 6, REG_SERVING), REG_STALE);
	ck_assert(!reg_adopt(r, "i-1", 4));
}
END_TEST

/*
 * Guards against requests sent to an adopted server after its leave: the start
 * time of its process is not known.
 */
START_TEST(adopted_server_leaves)
{
	ck_assert(reg_adopt(r, "i-1", 4));
	ck_assert(reg_leave(r, "i-1", 1000));
	ck_assert(!reg_serving(r));
	ck_assert(!reg_adopt(r, "i-1", 4));
	/* A delayed announcement from before the leave. */
	ck_assert_int_eq(announce("i-1", 500, 7, REG_SERVING), REG_STALE);
	ck_assert(!reg_serving(r));
	/* A new process that reuses the id. */
	ck_assert_int_eq(announce("i-1", 2000, 1, REG_SERVING), REG_NEW);
	ck_assert(reg_serving(r));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("rtab");
	TCase *table = tcase_create("table"), *reg = tcase_create("reg");

	tcase_add_test(table, longest_prefix_of_the_host_wins);
	tcase_add_test(table, invalid_tables_are_rejected);
	tcase_add_test(table, weights_hold_in_short_sequences);
	suite_add_tcase(suite, table);
	tcase_add_checked_fixture(reg, reg_setup, reg_teardown);
	tcase_add_test(reg, leaving_is_final_until_restart);
	tcase_add_test(reg, delayed_announcements_are_ignored);
	tcase_add_test(reg, leave_of_an_unknown_server_is_recorded);
	tcase_add_test(reg, announcements_of_other_addresses_are_ignored);
	tcase_add_test(reg, missing_announcements_are_detected);
	tcase_add_test(reg, announcement_replaces_adopted_server);
	tcase_add_test(reg, adopted_server_leaves);
	suite_add_tcase(suite, reg);
	return suite_run(suite);
}
