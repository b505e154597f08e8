#include <glib.h>
#include <rpc/rpc.h>
#include <time.h>

#include "port.h"
#include "sysio.h"

/*
 * Counts the time for which the machine is suspended, unlike the clock of
 * GLib: a deadline or a permission must not outlast it.
 */
static gint64
now(void *ctx)
{
	struct timespec t;

	if (clock_gettime(CLOCK_BOOTTIME, &t) != 0)
		return g_get_monotonic_time();
	return (gint64)t.tv_sec * G_USEC_PER_SEC + t.tv_nsec / 1000;
}

const struct pt_clock sys_clock = { now, NULL };

struct delayed_call {
	void (*cb)(void *);
	void *arg;
};

static gboolean
after_run(gpointer p)
{
	struct delayed_call *a = p;

	a->cb(a->arg);
	return G_SOURCE_REMOVE;
}

static gboolean
timer_dispatch(GSource *s, GSourceFunc cb, gpointer arg)
{
	return cb(arg);
}

static GSourceFuncs timer_funcs = { NULL, NULL, timer_dispatch, NULL, NULL,
	NULL };

guint
sys_after(gint64 delay_us, void (*cb)(void *), void *arg)
{
	struct delayed_call *a;
	GSource *s;
	guint id;

	a = g_new(struct delayed_call, 1);
	a->cb = cb;
	a->arg = arg;
	s = g_source_new(&timer_funcs, sizeof(GSource));
	g_source_set_ready_time(s, g_get_monotonic_time() + MAX(delay_us, 0));
	g_source_set_callback(s, after_run, a, g_free);
	id = g_source_attach(s, NULL);
	g_source_unref(s);
	return id;
}

void
sys_cancel(guint *id)
{
	if (*id != 0)
		g_source_remove(*id);
	*id = 0;
}

/* Time of the loop's clock, which is GLib's, at a time of sys_clock. */
static gint64
loop_time(gint64 due)
{
	return g_get_monotonic_time() + MAX(due - now(NULL), 0);
}

struct sys_ticker {
	gint64 (*tick)(void *);
	void *arg;
	GSource *source;
};

static gboolean
ticker_run(gpointer p)
{
	struct sys_ticker *t = p;
	gint64 due;

	due = t->tick(t->arg);
	if (t->source != NULL)
		g_source_set_ready_time(
		    t->source, due == G_MAXINT64 ? -1 : loop_time(due));
	return G_SOURCE_CONTINUE;
}

struct sys_ticker *
sys_ticker_new(gint64 (*tick)(void *), void *arg)
{
	struct sys_ticker *t;

	t = g_new0(struct sys_ticker, 1);
	t->tick = tick;
	t->arg = arg;
	t->source = g_source_new(&timer_funcs, sizeof(GSource));
	g_source_set_callback(t->source, ticker_run, t, NULL);
	g_source_set_ready_time(t->source, 0);
	g_source_attach(t->source, NULL);
	return t;
}

void
sys_ticker_kick(struct sys_ticker *t)
{
	g_source_set_ready_time(t->source, 0);
}

void
sys_ticker_free(struct sys_ticker *t)
{
	g_source_destroy(t->source);
	g_source_unref(t->source);
	g_free(t);
}
