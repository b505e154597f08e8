/*
 * Watches descriptors through one epoll set.  The main loop polls only that
 * set: with a source for each descriptor every iteration of the loop would scan
 * all connections, including idle ones.
 */
#include <glib.h>
#include <glib-unix.h>
#include <errno.h>
#include <rpc/rpc.h>
#include <sys/epoll.h>
#include <sys/queue.h>

#include "port.h"
#include "sysio.h"

/* Events handled per iteration of the loop; the rest wait for the next. */
#define EVENTS_MAX 64

struct sys_watch {
	LIST_ENTRY(sys_watch) deferred; /* in set.deferred */
	int fd;
	GIOCondition cond; /* 0: not in the set */
	gboolean freed; /* no callbacks; memory is released after dispatch */
	void (*cb)(void *, GIOCondition);
	void *ctx;
};

static struct {
	int fd; /* of the epoll set, 0: not created */
	gboolean dispatching; /* callbacks are running */
	LIST_HEAD(watch_list, sys_watch) deferred; /* freed during dispatch */
} set;

static GIOCondition
conditions(guint32 events)
{
	GIOCondition c = 0;

	if ((events & EPOLLIN) != 0)
		c |= G_IO_IN;
	if ((events & EPOLLOUT) != 0)
		c |= G_IO_OUT;
	if ((events & EPOLLERR) != 0)
		c |= G_IO_ERR;
	if ((events & EPOLLHUP) != 0)
		c |= G_IO_HUP;
	return c;
}

static void
free_deferred(void)
{
	struct sys_watch *w;

	while ((w = LIST_FIRST(&set.deferred)) != NULL) {
		LIST_REMOVE(w, deferred);
		g_free(w);
	}
}

static gboolean
on_events(int fd, GIOCondition cond, gpointer arg)
{
	struct epoll_event ev[EVENTS_MAX];
	struct sys_watch *w;
	int i, n = epoll_wait(fd, ev, EVENTS_MAX, 0);

	set.dispatching = TRUE;
	for (i = 0; i < n; i++) {
		w = ev[i].data.ptr;
		if (!w->freed && w->cond != 0)
			w->cb(w->ctx, conditions(ev[i].events));
	}
	set.dispatching = FALSE;
	free_deferred();
	return G_SOURCE_CONTINUE;
}

static void
open_set(void)
{
	if (set.fd != 0)
		return;
	LIST_INIT(&set.deferred);
	set.fd = epoll_create1(EPOLL_CLOEXEC);
	if (set.fd < 0)
		g_error("epoll set: %s; raise the limit on open files",
		    g_strerror(errno));
	g_unix_fd_add(set.fd, G_IO_IN, on_events, NULL);
}

/*
 * Sets the conditions of a descriptor in the epoll set.  One without conditions
 * is removed: epoll reports errors and hang-ups always, so the loop would spin
 * on a reset connection.
 */
static void
update_set(struct sys_watch *w, GIOCondition cond)
{
	struct epoll_event ev = { .data.ptr = w };
	int op = w->cond == 0 ? EPOLL_CTL_ADD
		 : cond == 0  ? EPOLL_CTL_DEL
			      : EPOLL_CTL_MOD;

	if ((cond & G_IO_IN) != 0)
		ev.events |= EPOLLIN;
	if ((cond & G_IO_OUT) != 0)
		ev.events |= EPOLLOUT;
	w->cond = cond;
	if (epoll_ctl(set.fd, op, w->fd, &ev) != 0)
		g_error("epoll set: descriptor %d: %s; report this as a bug",
		    w->fd, g_strerror(errno));
}

struct sys_watch *
sys_watch_new(
    int fd, GIOCondition cond, void (*cb)(void *, GIOCondition), void *ctx)
{
	struct sys_watch *w = g_new0(struct sys_watch, 1);

	open_set();
	w->fd = fd;
	w->cb = cb;
	w->ctx = ctx;
	sys_watch_set(w, cond);
	return w;
}

void
sys_watch_set(struct sys_watch *w, GIOCondition cond)
{
	if (cond != w->cond)
		update_set(w, cond);
}

void
sys_watch_free(struct sys_watch *w)
{
	if (w == NULL)
		return;
	sys_watch_set(w, 0);
	w->freed = TRUE;
	if (set.dispatching)
		LIST_INSERT_HEAD(&set.deferred, w, deferred);
	else
		g_free(w);
}
