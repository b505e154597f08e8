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
#include "platform.h"
#include "proxy.h"

/* Probes and other nodes learn of the stop before connections are closed. */
#define TELL_US (2500 * G_TIME_SPAN_MILLISECOND)
/*
 * The process ends this long before it would be killed: with a tenth of a core
 * the last steps alone took half of it.
 */
#define MARGIN_US (800 * G_TIME_SPAN_MILLISECOND)
/* The work that starts last may take this long: longest time-out of a route. */
#define WORK_US (3 * G_TIME_SPAN_SECOND)
#define CHECK_US (50 * G_TIME_SPAN_MILLISECOND)
/* Time for the last datagrams and answers to leave. */
#define LAST_US (100 * G_TIME_SPAN_MILLISECOND)

static guint
busy(const struct proxy *p)
{
	return ingress_busy(p->ingress) + serve_busy(p->serve) +
	       backend_busy(p->backend);
}

static void
end(void *arg)
{
	struct proxy *p = arg;

	p->stop_timer = 0;
	p->stopped(p->stopped_arg);
}

/*
 * Callers of a stopping node need longer to leave than its backend server to
 * end its work, and the slots would be idle meanwhile.
 */
gint64
stop_serves(gint64 grace)
{
	return CLAMP(grace - MARGIN_US - WORK_US, 0, TELL_US);
}

static void
check(void *arg)
{
	struct proxy *p = arg;
	gint64 since = pt_now(&p->clock) - p->stop_at;

	p->stop_timer = 0;
	if (since >= stop_serves(p->set->grace) && !p->draining) {
		p->draining = TRUE;
		backend_update(p->backend);
		members_announce(p);
	}
	if (since >= TELL_US) {
		ingress_close(p->ingress);
		ingress_stop(p->ingress);
	}
	if (PT_MUTANT(MUTANT_STOP_AT_ONCE))
		since = p->set->grace;
	if ((since < TELL_US || busy(p) > 0) &&
	    since < p->set->grace - MARGIN_US) {
		p->stop_timer = sys_after(CHECK_US, check, p);
		return;
	}
	pt_event(&p->events, PT_LEVEL_INFO, "proxy-stopped",
	    "busy=%u took_ms=%" G_GINT64_FORMAT, busy(p),
	    since / G_TIME_SPAN_MILLISECOND);
	memb_leave(p->memb);
	sys_ticker_kick(p->memb_ticker);
	p->stop_timer = sys_after(LAST_US, end, p);
}

void
stop_begin(struct proxy *p)
{
	if (p->stopping)
		return;
	p->stopping = TRUE;
	p->stop_at = pt_now(&p->clock);
	pt_event(
	    &p->events, PT_LEVEL_INFO, "proxy-stopping", "busy=%u", busy(p));
	meet_leave(p->meet);
	check(p);
}
