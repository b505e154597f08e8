/* The event log on standard output: limits and non-blocking writes. */
#include <glib.h>
#include <check.h>
#include <fcntl.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "port.h"
#include "sysio.h"
#include "run.h"

#define LINES 20000

static int saved_stdout, pipe_fds[2];

/* Replaces standard output by a pipe that only the test reads. */
static void
setup(void)
{
	saved_stdout = dup(STDOUT_FILENO);
	ck_assert_int_eq(pipe(pipe_fds), 0);
	ck_assert_int_ge(dup2(pipe_fds[1], STDOUT_FILENO), 0);
	fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
}

static void
teardown(void)
{
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

/* Reads the contents of the pipe; returns the number of lines. */
static int
read_lines(GString *all)
{
	char buf[4096];
	int lines = 0;
	gssize n, i;

	while ((n = read(pipe_fds[0], buf, sizeof(buf))) > 0) {
		g_string_append_len(all, buf, n);
		for (i = 0; i < n; i++)
			lines += buf[i] == '\n';
	}
	return lines;
}

/*
 * Guards against a process that blocks because nobody reads its standard
 * output: writing must return, and lines that do not fit must be counted.
 */
START_TEST(stalled_reader)
{
	GString *all = g_string_new(NULL);
	int i, n_read;

	sys_events_init("t", "i", PT_LEVEL_DEBUG);
	sys_events_stdout(1000000, 1000000);
	for (i = 0; i < LINES; i++)
		pt_event(&sys_events, PT_LEVEL_INFO, "e", "n=%d text=%s", i,
		    "some more text that makes the line longer");
	ck_assert_uint_gt(sys_lines_dropped(), 0);
	/* Each line is either in the pipe or counted as dropped. */
	n_read = read_lines(all);
	sys_events_flush();
	while ((i = read_lines(all)) > 0) {
		n_read += i;
		sys_events_flush();
	}
	ck_assert_uint_eq((guint64)n_read + sys_lines_dropped(), LINES);
	ck_assert_ptr_nonnull(strstr(all->str, "event=e instance=i n=0 "));
	g_string_free(all, TRUE);
}
END_TEST

/*
 * Guards against a log volume that grows with the load, and against debug lines
 * that use up the limit of the more severe levels.
 */
START_TEST(rate_limit)
{
	GString *all = g_string_new(NULL);
	int i, n_read;

	sys_events_init("t", "i", PT_LEVEL_DEBUG);
	sys_events_stdout(0, 50);
	for (i = 0; i < 500; i++) {
		pt_event(&sys_events, PT_LEVEL_INFO, "usual", "n=%d", i);
		pt_event(&sys_events, PT_LEVEL_DEBUG, "detail", "n=%d", i);
	}
	sys_events_flush();
	n_read = read_lines(all);
	/* 50 lines of each level: the limits are separate. */
	ck_assert_int_eq(n_read, 100);
	ck_assert_uint_eq(sys_lines_dropped(), 900);
	g_string_free(all, TRUE);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("lines");
	TCase *t = tcase_create("stdout");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, stalled_reader);
	tcase_add_test(t, rate_limit);
	suite_add_tcase(suite, t);
	return suite_run(suite);
}
