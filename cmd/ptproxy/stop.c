#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "memb.h"
#include "call.h"
#include "limit.h"
#include "platform.h"
#include "proxy.h"

/*
 * Time for probes and other nodes to notice the stop before connections are
 * closed.
 */
#define NOTICE_US (2500 * G_TIME_SPAN_MILLISECOND)
/*
 * The process ends this long before the platform kills it: on a node limited to
 * a tenth of a CPU core, the last steps may take 400 ms.
 */
#define KILL_MARGIN_US (800 * G_TIME_SPAN_MILLISECOND)
/*
 * It is at most this part of the grace time: users bear requests that are cut
 * off in the last sixth of it.
 */
#define KILL_MARGIN_DIV 7
/* Time for an answer of another node to arrive and to be sent on. */
#define ANSWER_US (200 * G_TIME_SPAN_MILLISECOND)
/* Interval at which a stopping process checks whether it can end. */
#define CHECK_US (50 * G_TIME_SPAN_MILLISECOND)
/* Time for the last datagrams and responses to be sent. */
#define FLUSH_US (100 * G_TIME_SPAN_MILLISECOND)
/* Retry-After, in ms, if callers use other nodes already. */
#define RETRY_NOW_MS 50

guint
stop_busy(const struct proxy *p)
{
	return ingress_busy(p->ingress) + inbound_busy(p->inbound) +
	       backend_busy(p->backend) + h1_unsent();
}

static gint64
kill_margin(gint64 grace)
{
	return MIN(KILL_MARGIN_US, grace / KILL_MARGIN_DIV);
}

gint64
stop_end(gint64 grace)
{
	return grace - kill_margin(grace);
}

/*
 * Draining starts as late as the grace time allows: callers take longer to move
 * away from a stopping node than its backend server takes to finish, and the
 * server's slots would be idle meanwhile.
 */
gint64
stop_drain_delay(gint64 grace, gint64 longest)
{
	return CLAMP(stop_end(grace) - ANSWER_US - longest, 0, NOTICE_US);
}

static gint64
since_signal(const struct proxy *p)
{
	return pt_now(&p->clock) - p->stop_at;
}

gint64
stop_answers_until(const struct proxy *p)
{
	return p->stopping ? p->stop_at + stop_end(p->set->grace) - ANSWER_US
			   : 0;
}

/*
 * Until callers had time to move away, requests are passed on that will
 * probably end in time: the upstream's node refuses the others.  Those that
 * come later are few, and are passed on only if they certainly end in time.
 */
gboolean
stop_refuses(const struct proxy *p, gint64 deadline)
{
	gint64 until = stop_answers_until(p);

	if (p->ended || until == 0)
		return p->ended;
	return deadline > until &&
	       (since_signal(p) >= NOTICE_US || pt_now(&p->clock) >= until);
}

int
stop_retry_ms(const struct proxy *p)
{
	gint64 left = NOTICE_US - (p->stopping ? since_signal(p) : 0);

	return (int)MAX(left / G_TIME_SPAN_MILLISECOND, RETRY_NOW_MS);
}

/* Longest likely run of the backend server. */
static gint64
longest_run(const struct proxy *p)
{
	gint64 longest = backend_longest(p->backend);

	if (longest > 0 || p->rtab == NULL)
		return longest;
	return rtab_longest_timeout(p->rtab, p->set->service);
}

static void
flush(void *arg)
{
	struct proxy *p = arg;
	gint64 grace = p->set->grace;

	p->stop_timer = 0;
	if (h1_unsent() > 0 &&
	    since_signal(p) < stop_end(grace) + kill_margin(grace) / 2)
		p->stop_timer = sys_after(CHECK_US, flush, p);
	else
		p->stopped(p->stopped_arg);
}

/* Answers all that is left.  What waited did not run, the rest may have. */
static void
answer_rest(struct proxy *p)
{
	p->ended = TRUE;
	backend_end(p->backend);
	peers_end(p->peers);
	inbound_end(p->inbound);
	ingress_refuse_late(p->ingress);
	ingress_close_listener(p->ingress);
	ingress_close_idle(p->ingress);
}

static void
end(struct proxy *p)
{
	pt_event(&p->events, PT_LEVEL_INFO, "proxy-stopped",
	    "busy=%u took_ms=%" G_GINT64_FORMAT, stop_busy(p),
	    since_signal(p) / G_TIME_SPAN_MILLISECOND);
	if (!PT_MUTANT(MUTANT_STOP_AT_ONCE))
		answer_rest(p);
	memb_leave(p->memb);
	sys_ticker_kick(p->memb_ticker);
	p->stop_timer = sys_after(FLUSH_US, flush, p);
}

/* Takes the steps of the shutdown that are due; runs until the process ends. */
static void
stop_step(void *arg)
{
	struct proxy *p = arg;
	gint64 since = since_signal(p), grace = p->set->grace;

	p->stop_timer = 0;
	if (since >= stop_drain_delay(grace, longest_run(p)) && !p->draining) {
		p->draining = TRUE;
		backend_update(p->backend);
		members_announce(p);
	}
	peers_recall(p->peers, stop_answers_until(p));
	if (since >= NOTICE_US) {
		ingress_refuse_late(p->ingress);
		/* A request at work may still make calls through this node. */
		if (backend_running(p->backend) == 0) {
			ingress_close_listener(p->ingress);
			ingress_close_idle(p->ingress);
		}
	}
	if (PT_MUTANT(MUTANT_STOP_AT_ONCE))
		since = grace;
	if ((since < NOTICE_US || stop_busy(p) > 0 ||
		ingress_awaited(p->ingress) > 0) &&
	    since < stop_end(grace))
		p->stop_timer = sys_after(CHECK_US, stop_step, p);
	else
		end(p);
}

void
stop_begin(struct proxy *p)
{
	if (p->stopping)
		return;
	p->stopping = TRUE;
	p->stop_at = pt_now(&p->clock);
	pt_event(&p->events, PT_LEVEL_INFO, "proxy-stopping", "busy=%u",
	    stop_busy(p));
	discovery_leave(p->discovery);
	limits_stop(p->limits);
	backend_update(p->backend);
	stop_step(p);
}
