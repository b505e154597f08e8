/*
 * What the backend server beside this node says of itself with its answers:
 * that it leaves, or how many requests a second it takes.  Only this node
 * reaches the server, so that what is enforced here holds for all nodes
 * together.  A process that starts again has lost it: the other nodes send what
 * they have heard with their requests.
 */
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
 * A server with a limit that has not answered for this long is asked for its
 * health: with a limit near zero, hardly any answer would tell that it ended.
 */
#define QUIET_US (2 * G_TIME_SPAN_SECOND)
/* Time-out of that query; a busy server answers once a slot is free. */
#define QUERY_MS 1000
/* Shortest interval between lines on changes of a limit. */
#define LOG_US G_TIME_SPAN_SECOND

struct statements {
	struct proxy *proxy;
	struct h1_fetch *query;
	guint query_process; /* that was asked, see reg_process() */
	gint64 logged_at;
	gboolean limited, leaving; /* as logged last */
};

struct statements *
statements_new(struct proxy *p)
{
	struct statements *s = g_new0(struct statements, 1);

	s->proxy = p;
	return s;
}

void
statements_free(struct statements *s)
{
	if (s == NULL)
		return;
	h1_fetch_cancel(s->query);
	g_free(s);
}

static void
log_change(struct statements *s, const struct reg_statement *x, const char *by)
{
	gint64 now = pt_now(&s->proxy->clock);

	if (s->limited == (x->limit >= 0) && s->leaving == x->leaving &&
	    s->logged_at != 0 && now - s->logged_at < LOG_US)
		return;
	s->logged_at = now;
	s->limited = x->limit >= 0;
	s->leaving = x->leaving;
	pt_event(&s->proxy->events, PT_LEVEL_INFO, "backend-says",
	    "backend=%s leaving=%d limit=%.3f from=%s running=%u queued=%u",
	    x->id, x->leaving, x->limit, by, backend_running(s->proxy->backend),
	    backend_busy(s->proxy->backend) -
		backend_running(s->proxy->backend));
}

static void
apply(struct statements *s, const char *by)
{
	struct reg_statement x;

	if (!reg_state(s->proxy->reg, &x))
		return;
	log_change(s, &x, by);
	backend_update(s->proxy->backend);
	if (x.leaving)
		members_announce(s->proxy);
}

void
statements_answered(
    struct statements *s, guint process, const struct plat_response *r)
{
	double limit = r->limit;

	if (r->bad_limit != NULL && limit < 0) {
		/* What cannot be read neither sets a limit nor ends one. */
		limit = reg_limit(s->proxy->reg);
		stats_add(s->proxy->stats, STAT_BAD_LIMITS);
		pt_event(&s->proxy->events, PT_LEVEL_WARNING, "bad-limit",
		    "backend=%s limit=%.3f",
		    reg_id(s->proxy->reg) != NULL ? reg_id(s->proxy->reg) : "-",
		    limit);
	}
	if (reg_answered(s->proxy->reg, process, r->leaving, limit))
		apply(s, "answer");
}

void
statements_heard(struct statements *s, const struct reg_statement *x)
{
	if (reg_heard(s->proxy->reg, x))
		apply(s, "node");
}

/* ---- query of a server whose limit lets hardly any request pass ---- */

static void
on_response(void *ctx, const struct h1_head *h, const GByteArray *body,
    const GError *err)
{
	struct statements *s = ctx;
	struct plat_response r;

	s->query = NULL;
	if (h == NULL)
		return;
	plat_response_read(h, &r);
	if (g_strcmp0(r.instance_id, reg_id(s->proxy->reg)) == 0)
		statements_answered(s, s->query_process, &r);
}

void
statements_tick(struct statements *s)
{
	struct proxy *p = s->proxy;
	gint64 age = reg_answer_age(p->reg);

	if (s->query != NULL || reg_limit(p->reg) < 0 || p->stopping ||
	    (age >= 0 && age < QUIET_US))
		return;
	s->query_process = reg_process(p->reg);
	s->query = backend_query(p->backend, QUERY_MS, on_response, s);
}
