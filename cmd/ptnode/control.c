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

#define DRAIN_TIMEOUT_MS 3000

/* A SYNC that waits for news; cancelled when its connection closes. */
struct parked {
	TAILQ_ENTRY(parked) link;
	struct control *control;
	struct rpcio_req *req;
	guint64 conn;
	guint id;
	gboolean answered;
};

/* A call passed on to another node, or answered when a result is known. */
struct pending {
	LIST_ENTRY(pending) link;
	struct rpcio_req *req;
};

struct control {
	struct node *node;
	TAILQ_HEAD(parked_list, parked) parked;
	LIST_HEAD(pending_list, pending) pending;
};

struct control *
control_new(struct node *n)
{
	struct control *c;

	c = g_new0(struct control, 1);
	c->node = n;
	TAILQ_INIT(&c->parked);
	LIST_INIT(&c->pending);
	return c;
}

/* Releases a call that gets no answer. */
static void
parked_drop(struct parked *p)
{
	TAILQ_REMOVE(&p->control->parked, p, link);
	rpcio_fail(p->req);
	g_free(p);
}

static void
pending_free(struct pending *p)
{
	LIST_REMOVE(p, link);
	g_free(p);
}

void
control_free(struct control *c)
{
	struct pending *w;
	struct parked *p;

	while ((p = TAILQ_FIRST(&c->parked)) != NULL)
		parked_drop(p);
	while ((w = LIST_FIRST(&c->pending)) != NULL) {
		rpcio_fail(w->req);
		pending_free(w);
	}
	g_free(c);
}

void
control_closed(void *ctx, guint64 conn)
{
	struct control *c = ctx;
	struct parked *p, *next;

	for (p = TAILQ_FIRST(&c->parked); p != NULL; p = next) {
		next = TAILQ_NEXT(p, link);
		if (p->conn != conn)
			continue;
		dist_cancel(c->node->dist, p->id);
		parked_drop(p);
	}
	upstream_conn_closed(c->node->serve, conn);
}

static void
sync_answered(void *arg, const struct pt_sync_res *res)
{
	struct parked *p = arg;

	rpcio_reply(p->req, res);
	p->answered = TRUE;
	if (p->id == 0)
		return;
	TAILQ_REMOVE(&p->control->parked, p, link);
	g_free(p);
}

static void
handle_sync(
    struct control *c, struct rpcio_req *req, const struct pt_sync_args *args)
{
	struct parked *p;

	p = g_new0(struct parked, 1);
	p->control = c;
	p->req = req;
	p->conn = rpcio_req_conn(req);
	p->id = dist_serve_sync(c->node->dist, args, sync_answered, p);
	if (p->id == 0)
		g_free(p);
	else
		TAILQ_INSERT_TAIL(&c->parked, p, link);
}

static void
handle_members(
    struct node *n, struct rpcio_req *req, const struct pt_members_args *args)
{
	struct pt_members_res res;

	memset(&res, 0, sizeof(res));
	memb_handle_members(n->memb, args, &res);
	rpcio_reply(req, &res);
	memb_members_clear(&res);
}

static void
handle_snap(
    struct node *n, struct rpcio_req *req, const struct pt_snap_args *args)
{
	struct pt_snap_chunk res;

	memset(&res, 0, sizeof(res));
	dist_serve_snap(n->dist, args, &res);
	rpcio_reply(req, &res);
}

static void
handle_get(
    struct node *n, struct rpcio_req *req, const struct pt_get_args *args)
{
	struct pt_get_res res;

	memset(&res, 0, sizeof(res));
	conf_get(n->conf, args->kind, args->name, &res);
	res.proto = PT_PROTO;
	res.state = n->ready ? PT_SERVING : PT_BOOTING;
	rpcio_reply(req, &res);
	conf_get_clear(&res);
}

static void
status_answered(void *arg, const struct pt_status_res *res)
{
	struct pending *p = arg;

	rpcio_reply(p->req, res);
	pending_free(p);
}

static void
outcome_answered(void *arg, const struct pt_outcome *out)
{
	struct pending *p = arg;

	rpcio_reply(p->req, out);
	pending_free(p);
}

static struct pending *
pending_new(struct control *c, struct rpcio_req *req)
{
	struct pending *p;

	p = g_new0(struct pending, 1);
	p->req = req;
	LIST_INSERT_HEAD(&c->pending, p, link);
	return p;
}

static void
handle_outcome(
    struct node *n, struct rpcio_req *req, const struct pt_outcome_args *args)
{
	struct pt_outcome out;

	memset(&out, 0, sizeof(out));
	dist_outcome(n->dist, (const guint8 *)args->id, &out);
	rpcio_reply(req, &out);
}

static void
reply_outcome(
    struct rpcio_req *req, enum pt_verdict_kind kind, const char *text)
{
	struct pt_outcome out;

	memset(&out, 0, sizeof(out));
	out.kind = kind;
	out.text = (char *)text;
	rpcio_reply(req, &out);
}

static void
drain_answered(void *arg, void *res, const GError *err)
{
	struct pending *p = arg;

	if (res != NULL)
		rpcio_reply(p->req, res);
	else
		reply_outcome(p->req,
		    g_error_matches(err, PT_ERROR, PT_ERROR_UNREACHABLE)
			? PT_UNREACHABLE
			: PT_UNKNOWN,
		    err->message);
	pending_free(p);
}

/* The upstream's own node drains it; any other node passes the call on. */
static void
handle_drain(
    struct control *c, struct rpcio_req *req, const struct pt_drain_args *args)
{
	struct node *n = c->node;
	const struct memb_member *m;
	char text[64];

	if (strcmp(args->upstream, n->set.instance) == 0) {
		backend_drain(n, !args->undo);
		g_snprintf(text, sizeof(text),
		    "draining: refuses new work after %d ms",
		    n->set.drain_notice_ms);
		reply_outcome(
		    req, PT_ACCEPTED, args->undo ? "draining ended" : text);
		return;
	}
	m = memb_find(n->memb, args->upstream);
	if (m == NULL || !memb_present(m)) {
		reply_outcome(req, PT_INVALID,
		    "no present member has this name; see ptctl status");
		return;
	}
	n->rpc.call(n->rpc.ctx, m->host, m->rpc_port, PT_DRAIN, args,
	    DRAIN_TIMEOUT_MS, drain_answered, pending_new(c, req));
}

/* Every argument starts with the protocol version of the sender. */
static gboolean
version_ok(struct node *n, guint proc, const void *args)
{
	int proto;

	if (proc == PT_NULL || proc == PT_KEYED)
		return TRUE;
	proto = *(const int *)args;
	if (pt_proto_supported(proto))
		return TRUE;
	n->stats.bad_requests++;
	pt_event(&n->events, PT_LEVEL_WARNING, "protocol-refused",
	    "procedure=%u proto=%d own=%d", proc, proto, PT_PROTO);
	return FALSE;
}

/* Calls that distribution and operators make. */
static void
handle_config(
    struct control *c, struct rpcio_req *req, guint proc, const void *args)
{
	struct node *n = c->node;

	switch (proc) {
	case PT_SYNC:
		handle_sync(c, req, args);
		break;
	case PT_SNAP:
		handle_snap(n, req, args);
		break;
	case PT_MEMBERS:
		handle_members(n, req, args);
		break;
	case PT_SUBMIT:
		dist_submit(
		    n->dist, args, outcome_answered, pending_new(c, req));
		break;
	case PT_GET:
		handle_get(n, req, args);
		break;
	case PT_STATUS:
		dist_status(
		    n->dist, args, status_answered, pending_new(c, req));
		break;
	case PT_DRAIN:
		handle_drain(c, req, args);
		break;
	case PT_OUTCOME:
		handle_outcome(n, req, args);
		break;
	case PT_ACKED:
		dist_serve_acked(n->dist, args);
		rpcio_reply(req, NULL);
		break;
	default:
		rpcio_fail(req);
		break;
	}
	sys_ticker_kick(n->dist_ticker);
}

void
control_handle(void *ctx, struct rpcio_req *req, guint proc, const void *args)
{
	struct control *c = ctx;
	struct node *n = c->node;

	if (!version_ok(n, proc, args)) {
		rpcio_fail(req);
		return;
	}
	switch (proc) {
	case PT_NULL:
		rpcio_reply(req, NULL);
		break;
	case PT_FORWARD:
		upstream_handle_forward(n->serve, req, args);
		break;
	case PT_PULL:
		upstream_handle_pull(n->serve, req, args);
		break;
	case PT_CANCEL:
		upstream_handle_cancel(n->serve, req, args);
		break;
	case PT_KEYED:
		entry_handle_keyed(n->entry, req, args);
		break;
	default:
		handle_config(c, req, proc, args);
		break;
	}
}
