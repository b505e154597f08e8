/*
 * The clock of the process while the machine is suspended.  This file replaces
 * clock_gettime() by one that adds a suspension.
 */
#include <gio/gio.h>
#include <check.h>
#include <rpc/rpc.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "port.h"
#include "sysio.h"
#include "loop.h"
#include "run.h"

#define SUSPENDED_S G_GINT64_CONSTANT(3600)
#define DELAY_US 5000

static gboolean suspended;

int
clock_gettime(clockid_t id, struct timespec *t)
{
	int r = (int)syscall(SYS_clock_gettime, id, t);

	if (id == CLOCK_BOOTTIME && suspended)
		t->tv_sec += SUSPENDED_S;
	return r;
}

/*
 * Guards against a request, a lease or an adoption that outlasts its deadline
 * because the clock stood still while the machine was suspended.
 */
START_TEST(suspension_counts)
{
	gint64 before = pt_now(&sys_clock);

	suspended = TRUE;
	ck_assert_int_ge(
	    pt_now(&sys_clock) - before, SUSPENDED_S * G_USEC_PER_SEC);
}
END_TEST

static int ticks;

static gint64
tick(void *arg)
{
	ticks++;
	return pt_now(&sys_clock) + DELAY_US;
}

/*
 * Guards against timers that wait for the clock of the process on that of the
 * loop, which does not count the suspension.
 */
START_TEST(ticker_runs_after_suspension)
{
	struct sys_ticker *t;

	suspended = TRUE;
	ticks = 0;
	t = sys_ticker_new(tick, NULL);
	UNTIL(ticks >= 3);
	sys_ticker_free(t);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("clock");
	TCase *c = tcase_create("suspension");

	tcase_add_test(c, suspension_counts);
	tcase_add_test(c, ticker_runs_after_suspension);
	suite_add_tcase(suite, c);
	return suite_run(suite);
}
