#include <glib.h>
#include <rpc/rpc.h>
#include <sys/queue.h>

#include "port.h"
#include "sysio.h"
#include "paused.h"

struct timer {
	TAILQ_ENTRY(timer) entry;
	gint64 at;
	guint id;
	void (*cb)(void *);
	void *arg;
};

static TAILQ_HEAD(timer_list, timer) timers = TAILQ_HEAD_INITIALIZER(timers);
static guint last_id;

gint64 paused_now;

static gint64
now(void *ctx)
{
	return paused_now;
}

const struct pt_clock sys_clock = { now, NULL };

guint
sys_after(gint64 delay, void (*cb)(void *), void *arg)
{
	struct timer *t = g_new0(struct timer, 1), *x;

	t->at = paused_now + MAX(delay, 0);
	t->id = ++last_id;
	t->cb = cb;
	t->arg = arg;
	x = TAILQ_LAST(&timers, timer_list);
	while (x != NULL && x->at > t->at)
		x = TAILQ_PREV(x, timer_list, entry);
	if (x != NULL)
		TAILQ_INSERT_AFTER(&timers, x, t, entry);
	else
		TAILQ_INSERT_HEAD(&timers, t, entry);
	return t->id;
}

void
sys_cancel(guint *id)
{
	struct timer *t;

	for (t = TAILQ_FIRST(&timers); t != NULL; t = TAILQ_NEXT(t, entry))
		if (t->id == *id)
			break;
	if (t != NULL) {
		TAILQ_REMOVE(&timers, t, entry);
		g_free(t);
	}
	*id = 0;
}

struct sys_ticker {
	gint64 (*tick)(void *);
	void *arg;
	guint timer;
};

static void
ticker_run(void *arg)
{
	struct sys_ticker *t = arg;
	gint64 due;

	t->timer = 0;
	due = t->tick(t->arg);
	/* Unless the tick has called for another one at once. */
	if (due != G_MAXINT64 && t->timer == 0)
		t->timer = sys_after(MAX(due - paused_now, 1), ticker_run, t);
}

struct sys_ticker *
sys_ticker_new(gint64 (*tick)(void *), void *arg)
{
	struct sys_ticker *t = g_new0(struct sys_ticker, 1);

	t->tick = tick;
	t->arg = arg;
	sys_ticker_kick(t);
	return t;
}

void
sys_ticker_kick(struct sys_ticker *t)
{
	sys_cancel(&t->timer);
	if (t->tick != NULL)
		t->timer = sys_after(0, ticker_run, t);
}

void
sys_ticker_free(struct sys_ticker *t)
{
	sys_cancel(&t->timer);
	g_free(t);
}

void
paused_advance(gint64 us, void (*settle)(void))
{
	gint64 end = paused_now + us;
	struct timer *t;

	if (settle != NULL)
		settle();
	while ((t = TAILQ_FIRST(&timers)) != NULL && t->at <= end) {
		paused_now = MAX(paused_now, t->at);
		TAILQ_REMOVE(&timers, t, entry);
		t->cb(t->arg);
		g_free(t);
		if (settle != NULL)
			settle();
	}
	paused_now = end;
}

void
paused_clear(void (*drop)(void (*cb)(void *), void *arg))
{
	struct timer *t;

	while ((t = TAILQ_FIRST(&timers)) != NULL) {
		TAILQ_REMOVE(&timers, t, entry);
		if (drop != NULL)
			drop(t->cb, t->arg);
		g_free(t);
	}
}
