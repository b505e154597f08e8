#include <glib.h>
#include <gio/gio.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

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

#define IDLE_POLL_US 50000
/*
 * Callers may still send on an idle connection for this long after the
 * advertised keep-alive time.
 */
#define KEEP_ALIVE_MARGIN_MS 1000
/* Time for state "left" to spread by gossip before the process ends. */
#define LEAVE_SPREAD_US 500000
/* The process ends this long before the limit of its shutdown. */
#define STOP_MARGIN_US 100000

static void
leave_done(void *arg)
{
	struct node *n = arg;

	pt_event(&n->events, PT_LEVEL_INFO, "stopped", "%s", "");
	n->stop_timer = 0;
	n->stopped(n->stopped_arg);
}

/* Requests that come while the process leaves are refused, not cut off. */
static void
leave(struct node *n)
{
	n->ended = TRUE;
	memb_leave(n->memb);
	sys_ticker_kick(n->memb_ticker);
	n->stop_timer = sys_after(LEAVE_SPREAD_US, leave_done, n);
}

/*
 * Waits until every request has ended and no issued key or idle connection may
 * be used any more.
 */
static void
wait_idle(void *arg)
{
	struct node *n = arg;
	gint64 idle_until;

	idle_until = n->drain_at +
		     (gint64)(n->set.drain_notice_ms + n->set.keep_alive_ms +
			      KEEP_ALIVE_MARGIN_MS) *
			 1000;
	if (PT_MUTANT(MUTANT_STOP_AT_ONCE)) {
		n->stopped(n->stopped_arg);
		return;
	}
	if (n->end_at != 0 && pt_now(&n->clock) >= n->end_at) {
		pt_event(&n->events, PT_LEVEL_WARNING, "stop-limit",
		    "requests=%u calls=%u", entry_active(n->entry),
		    upstream_active(n->upstream));
		entry_end(n->entry);
		upstream_end(n->upstream);
		leave(n);
		return;
	}
	if (upstream_active(n->upstream) > 0 || entry_active(n->entry) > 0 ||
	    httpio_unsent() > 0 || pt_now(&n->clock) < n->keys_until ||
	    (pt_now(&n->clock) < idle_until &&
		entry_connections(n->entry) > 0)) {
		n->stop_timer = sys_after(IDLE_POLL_US, wait_idle, n);
		return;
	}
	leave(n);
}

/*
 * Refuses new connections, so that callers use another node, and waits until
 * the node is no longer in use.
 */
static void
stop_accepting(void *arg)
{
	struct node *n = arg;

	entry_close(n->entry);
	wait_idle(n);
}

/* What may outlast the process is taken back while it can run elsewhere. */
static void
set_end(struct node *n)
{
	n->end_at = n->drain_at + MAX((gint64)n->set.stop_limit_ms * 1000 -
					  LEAVE_SPREAD_US - STOP_MARGIN_US,
				      0);
	upstream_limit(n->upstream);
	entry_limit(n->entry);
}

void
stop_begin(struct node *n)
{
	gint64 notice = (gint64)n->set.drain_notice_ms * 1000;

	if (n->stopping)
		return;
	if (n->set.stop_limit_ms > 0)
		notice = MIN(notice, (gint64)n->set.stop_limit_ms * 1000 / 2);
	n->stopping = TRUE;
	n->drain_at = pt_now(&n->clock);
	pt_event(&n->events, PT_LEVEL_INFO, "draining", "notice_ms=%d",
	    n->set.drain_notice_ms);
	backend_publish_state(n);
	entry_drain(n->entry);
	if (n->set.stop_limit_ms > 0)
		set_end(n);
	n->stop_timer = sys_after(notice, stop_accepting, n);
}
