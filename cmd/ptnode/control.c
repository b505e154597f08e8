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

/* A PT_SYNC call waiting for new records; dropped if its connection closes. */
struct waiting_sync {
	TAILQ_ENTRY(waiting_sync) link;
	struct control *control;
	struct rpcio_req *req;
	guint64 conn;
	guint id; /* for dist_sync_cancel(); 0: answered by dist_serve_sync() */
	gboolean answered;
};

/* A call that is answered later, by another node or by distribution. */
struct pending {
	LIST_ENTRY(pending) link;
	struct rpcio_req *req;
};

struct control {
	struct node *node;
	TAILQ_HEAD(waiting_syncs, waiting_sync) syncs;
	LIST_HEAD(pending_list, pending) pending;
};

struct control *
control_new(struct node *n)
{
	struct control *c;

	c = g_new0(struct control, 1);
	c->node = n;
	TAILQ_INIT(&c->syncs);
	LIST_INIT(&c->pending);
	return c;
}

/* Fails the call and releases it. */
static void
sync_drop(struct waiting_sync *w)
{
	TAILQ_REMOVE(&w->control->syncs, w, link);
	rpcio_fail(w->req);
	g_free(w);
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
	struct pending *p;
	struct waiting_sync *w;

	while ((w = TAILQ_FIRST(&c->syncs)) != NULL)
		sync_drop(w);
	while ((p = LIST_FIRST(&c->pending)) != NULL) {
		rpcio_fail(p->req);
		pending_free(p);
	}
	g_free(c);
}

void
control_closed(void *ctx, guint64 conn)
{
	struct control *c = ctx;
	struct waiting_sync *w, *next;

	for (w = TAILQ_FIRST(&c->syncs); w != NULL; w = next) {
		next = TAILQ_NEXT(w, link);
		if (w->conn != conn)
			continue;
		dist_sync_cancel(c->node->dist, w->id);
		sync_drop(w);
	}
	upstream_conn_closed(c->node->upstream, conn);
}

static void
sync_answered(void *arg, const struct pt_sync_res *res)
{
	struct waiting_sync *w = arg;

	rpcio_reply(w->req, res);
	w->answered = TRUE;
	if (w->id == 0)
		return;
	TAILQ_REMOVE(&w->control->syncs, w, link);
	g_free(w);
}

static void
handle_sync(
    struct control *c, struct rpcio_req *req, const struct pt_sync_args *args)
{
	struct waiting_sync *w;

	w = g_new0(struct waiting_sync, 1);
	w->control = c;
	w->req = req;
	w->conn = rpcio_req_conn(req);
	w->id = dist_serve_sync(c->node->dist, args, sync_answered, w);
	if (w->id == 0)
		g_free(w);
	else
		TAILQ_INSERT_TAIL(&c->syncs, w, link);
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

/* Drains the upstream of this node, or forwards the call to the named node. */
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

/*
 * All arguments but those of PT_NULL and PT_KEYED begin with the protocol
 * version.
 */
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

/* Handles calls of membership, of distribution and of operators. */
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
		upstream_handle_forward(n->upstream, req, args);
		break;
	case PT_PULL:
		upstream_handle_pull(n->upstream, req, args);
		break;
	case PT_CANCEL:
		upstream_handle_cancel(n->upstream, req, args);
		break;
	case PT_RECALL:
		upstream_handle_recall(n->upstream, req, args);
		break;
	case PT_KEYED:
		entry_handle_keyed(n->entry, req, args);
		break;
	default:
		handle_config(c, req, proc, args);
		break;
	}
}
