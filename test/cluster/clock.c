/* Virtual clock: event queue, timers and tickers of all simulated processes. */
#include <glib.h>
#include <gio/gio.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "httpio.h"
#include "conf.h"
#include "memb.h"
#include "dist.h"
#include "call.h"
#include "settings.h"
#include "node.h"
#include "cluster.h"

/* Due time of events that are held back until their process is resumed. */
#define DEFERRED (G_MAXINT64 / 2)

struct cluster cluster;

struct event {
	gint64 at;
	guint64 seq;
	gint owner;
	guint generation;
	guint id;
	void (*run)(void *);
	void (*drop)(void *);
	void *arg;
};

static gint
event_cmp(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct event *x = a, *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

guint
cluster_schedule(gint64 delay, gint owner, void (*run)(void *),
    void (*drop)(void *), void *arg)
{
	struct event *e = g_new0(struct event, 1);

	e->at = cluster.now + MAX(delay, 0);
	e->seq = cluster.seq++;
	e->owner = owner;
	e->generation = owner >= 0 ? cluster.nodes[owner].generation : 0;
	e->id = ++cluster.next_id;
	e->run = run;
	e->drop = drop;
	e->arg = arg;
	g_hash_table_insert(cluster.timers, GUINT_TO_POINTER(e->id),
	    g_sequence_insert_sorted(cluster.queue, e, event_cmp, NULL));
	return e->id;
}

/* Removes an event from the queue without freeing it. */
static struct event *
queue_remove(GSequenceIter *it)
{
	struct event *e = g_sequence_get(it);

	g_sequence_remove(it);
	g_hash_table_remove(cluster.timers, GUINT_TO_POINTER(e->id));
	return e;
}

static void
event_drop(struct event *e)
{
	if (e->drop != NULL)
		e->drop(e->arg);
	g_free(e);
}

void
cluster_unschedule(guint id)
{
	GSequenceIter *it;

	it = g_hash_table_lookup(cluster.timers, GUINT_TO_POINTER(id));
	if (it != NULL)
		event_drop(queue_remove(it));
}

void
cluster_run_as(gint owner, void (*fn)(void *), void *arg)
{
	gint before = cluster.current;

	cluster.current = owner;
	fn(arg);
	cluster.current = before;
}

/* Holds back an event of a paused process until the process is resumed. */
static gboolean
defer(struct event *e)
{
	if (e->owner < 0 || !cluster.nodes[e->owner].paused)
		return FALSE;
	e->at = DEFERRED;
	e->seq = cluster.seq++;
	g_hash_table_insert(cluster.timers, GUINT_TO_POINTER(e->id),
	    g_sequence_insert_sorted(cluster.queue, e, event_cmp, NULL));
	return TRUE;
}

static void
event_run(struct event *e)
{
	if (e->owner >= 0 &&
	    cluster.nodes[e->owner].generation != e->generation) {
		event_drop(e);
		return;
	}
	if (defer(e))
		return;
	cluster_run_as(e->owner, e->run, e->arg);
	g_free(e);
}

void
cluster_run(gint64 us)
{
	gint64 end = cluster.now + us;
	GSequenceIter *it;
	struct event *e;

	for (;;) {
		it = g_sequence_get_begin_iter(cluster.queue);
		if (g_sequence_iter_is_end(it))
			break;
		e = g_sequence_get(it);
		if (e->at > end)
			break;
		cluster.now = MAX(cluster.now, e->at);
		event_run(queue_remove(it));
		cluster_check_nodes();
	}
	cluster.now = end;
}

gboolean
cluster_run_until(gboolean (*cond)(void), gint64 max_us)
{
	gint64 end = cluster.now + max_us;

	while (!cond()) {
		if (cluster.now >= end)
			return FALSE;
		cluster_run(10 * CLUSTER_MS);
	}
	return TRUE;
}

void
cluster_resume(guint i)
{
	GSequenceIter *it, *prev;
	struct event *e;

	cluster.nodes[i].paused = FALSE;
	it = g_sequence_get_end_iter(cluster.queue);
	while (!g_sequence_iter_is_begin(it)) {
		prev = g_sequence_iter_prev(it);
		e = g_sequence_get(prev);
		if (e->at != DEFERRED)
			break;
		if (e->owner != (gint)i) {
			it = prev;
			continue;
		}
		e->at = cluster.now;
		g_sequence_sort_changed(prev, event_cmp, NULL);
	}
}

/* ---- sysio ---- */

static gint64
now(void *ctx)
{
	return cluster.now;
}

const struct pt_clock sys_clock = { now, NULL };

struct after {
	void (*cb)(void *);
	void *arg;
};

static void
after_run(void *arg)
{
	struct after a = *(struct after *)arg;

	g_free(arg);
	a.cb(a.arg);
}

guint
sys_after(gint64 delay_us, void (*cb)(void *), void *arg)
{
	struct after *a = g_new(struct after, 1);

	a->cb = cb;
	a->arg = arg;
	return cluster_schedule(
	    delay_us, cluster.current, after_run, g_free, a);
}

void
sys_cancel(guint *id)
{
	if (*id != 0)
		cluster_unschedule(*id);
	*id = 0;
}

struct sys_ticker {
	gint64 (*tick)(void *);
	void *arg;
	gint owner;
	guint id;
	gboolean running, freed;
};

static void
ticker_run(void *arg)
{
	struct sys_ticker *t = arg;
	gint64 due;

	t->id = 0;
	t->running = TRUE;
	due = t->tick(t->arg);
	t->running = FALSE;
	if (t->freed) {
		g_free(t);
		return;
	}
	/* Unless sys_ticker_kick() has scheduled it during this tick. */
	if (due != G_MAXINT64 && t->id == 0)
		t->id = cluster_schedule(
		    MAX(due - cluster.now, 1), t->owner, ticker_run, NULL, t);
}

struct sys_ticker *
sys_ticker_new(gint64 (*tick)(void *), void *arg)
{
	struct sys_ticker *t = g_new0(struct sys_ticker, 1);

	t->tick = tick;
	t->arg = arg;
	t->owner = cluster.current;
	t->id = cluster_schedule(0, t->owner, ticker_run, NULL, t);
	return t;
}

void
sys_ticker_kick(struct sys_ticker *t)
{
	if (t->id != 0)
		cluster_unschedule(t->id);
	t->id =
	    cluster_schedule(t->running ? 1 : 0, t->owner, ticker_run, NULL, t);
}

void
sys_ticker_free(struct sys_ticker *t)
{
	if (t->id != 0)
		cluster_unschedule(t->id);
	t->freed = TRUE;
	if (!t->running)
		g_free(t);
}
