/* Watches of descriptors on the main loop. */
#include <gio/gio.h>
#include <check.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "port.h"
#include "sysio.h"
#include "loop.h"
#include "run.h"

/* More descriptors than one iteration of the loop handles, which is 64. */
#define MANY 100

static struct pair {
	int fd, peer;
	struct sys_watch *watch;
	int calls;
	GIOCondition got;
} e[MANY];
static gboolean free_all; /* the first callback frees every watch */

static void
on_ready(void *ctx, GIOCondition got)
{
	struct pair *x = ctx;
	char buf[16];
	int i;

	ck_assert_ptr_nonnull(x->watch);
	x->calls++;
	x->got = got;
	if ((got & G_IO_IN) != 0)
		ck_assert_int_ge(read(x->fd, buf, sizeof(buf)), 0);
	for (i = 0; free_all && i < MANY; i++)
		g_clear_pointer(&e[i].watch, sys_watch_free);
}

static void
open_pairs(GIOCondition cond)
{
	int i, p[2];

	memset(e, 0, sizeof(e));
	free_all = FALSE;
	for (i = 0; i < MANY; i++) {
		ck_assert_int_eq(
		    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, p), 0);
		e[i].fd = p[0];
		e[i].peer = p[1];
		e[i].watch = sys_watch_new(e[i].fd, cond, on_ready, &e[i]);
	}
}

static void
close_pairs(void)
{
	int i;

	for (i = 0; i < MANY; i++) {
		g_clear_pointer(&e[i].watch, sys_watch_free);
		close(e[i].fd);
		if (e[i].peer >= 0)
			close(e[i].peer);
	}
}

static void
send_byte(int i)
{
	ck_assert_int_eq(write(e[i].peer, "x", 1), 1);
}

/*
 * Guards against lost events when more descriptors are ready than one iteration
 * of the loop handles.
 */
START_TEST(more_events_than_one_iteration)
{
	int i, n = 0;

	open_pairs(G_IO_IN);
	for (i = 0; i < MANY; i++)
		send_byte(i);
	UNTIL(({
		for (i = n = 0; i < MANY; i++)
			n += e[i].calls;
		n >= MANY;
	}));
	LOOP_IDLE();
	for (i = 0; i < MANY; i++)
		ck_assert_int_eq(e[i].calls, 1);
	close_pairs();
}
END_TEST

/*
 * Guards against a use after free: the first callback frees the watches whose
 * events are handled after it in the same iteration.
 */
START_TEST(freed_watches_are_not_called)
{
	int i, n = 0;

	open_pairs(G_IO_IN);
	for (i = 0; i < MANY; i++)
		send_byte(i);
	free_all = TRUE;
	LOOP_IDLE();
	for (i = 0; i < MANY; i++)
		n += e[i].calls;
	ck_assert_int_eq(n, 1);
	close_pairs();
}
END_TEST

/*
 * Guards against a loop that spins when the peer closes a connection for which
 * no condition is watched.
 */
START_TEST(no_callback_without_condition)
{
	open_pairs(0);
	close(e[0].peer);
	e[0].peer = -1;
	send_byte(1);
	LOOP_IDLE();
	ck_assert_int_eq(e[0].calls, 0);
	ck_assert_int_eq(e[1].calls, 0);
	sys_watch_set(e[1].watch, G_IO_IN);
	UNTIL(e[1].calls == 1);
	LOOP_IDLE();
	ck_assert_int_eq(e[1].calls, 1);
	sys_watch_set(e[0].watch, G_IO_IN);
	UNTIL(e[0].calls > 0);
	ck_assert_int_ne(e[0].got & G_IO_HUP, 0);
	sys_watch_set(e[0].watch, 0);
	sys_watch_set(e[2].watch, G_IO_OUT);
	UNTIL(e[2].calls > 0);
	ck_assert_int_eq(e[2].got, G_IO_OUT);
	close_pairs();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("watch");
	TCase *t = tcase_create("watch");

	tcase_add_test(t, more_events_than_one_iteration);
	tcase_add_test(t, freed_watches_are_not_called);
	tcase_add_test(t, no_callback_without_condition);
	suite_add_tcase(suite, t);
	return suite_run(suite);
}
