/* RPC between the nodes of the simulated network. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#include "dist.h"
#include "rpcio.h"
#define FN_PRIVATE
#include "fakenet.h"

/* Bytes of TCP/IP headers, with a share of acknowledgements. */
#define CALL_HEADER 100

void
fn_call_drop(struct fn *f, void *arg)
{
	fn_call_unref(arg);
}

struct fn_call *
fn_call_new(struct fn_node *n, void *arg)
{
	struct fn_call *c = g_new0(struct fn_call, 1);

	c->refs = 1; /* held by n->calls until the reply */
	c->f = n->f;
	c->from = n->index;
	c->from_generation = n->generation;
	c->arg = arg;
	g_ptr_array_add(n->calls, c);
	return c;
}

void
fn_call_finish(struct fn_call *c, void *res, const GError *err)
{
	struct fn_node *n = &c->f->nodes[c->from];

	if (c->done)
		return;
	c->done = TRUE;
	if (!g_ptr_array_remove_fast(n->calls, c))
		g_assert_not_reached();
	if (c->cb != NULL)
		c->cb(c->arg, res, err);
	else if (c->append_cb != NULL)
		c->append_cb(c->arg, c->offset, err);
	else
		c->read_cb(c->arg, res, err);
	fn_call_unref(c);
}

static void
call_answer(struct fn *f, void *arg)
{
	struct fn_call *c = arg;
	const struct rpcio_proc *p = rpcio_proc(c->proc);
	char *res = NULL;
	gsize n = 0;
	const void *data;

	if (!c->done && c->err == NULL && c->res != NULL) {
		res = g_malloc0(MAX(p->res_size, 1));
		data = g_bytes_get_data(c->res, &n);
		if (!pt_decode(p->res, res, p->res_size, data, n))
			g_error(
			    "cannot decode the reply of procedure %u", c->proc);
	}
	fn_call_finish(c, res, c->err);
	if (res != NULL) {
		xdr_free(p->res, res);
		g_free(res);
	}
	fn_call_unref(c);
}

/* Sends the reply, unless the nodes are partitioned or the sender restarted. */
void
fn_call_reply(struct fn_call *c, GBytes *res, GError *err)
{
	struct fn *f = c->f;

	f->nodes[c->to].rpc_bytes_out +=
	    CALL_HEADER + (res != NULL ? g_bytes_get_size(res) : 0);
	if (c->done || c->res != NULL || c->err != NULL ||
	    !fn_reaches(f, c->from, c->to) ||
	    f->nodes[c->from].generation != c->from_generation) {
		if (res != NULL)
			g_bytes_unref(res);
		g_clear_error(&err);
		return;
	}
	c->res = res;
	c->err = err;
	c->refs++;
	fn_schedule(
	    f, fn_delay(f), (gint)c->from, call_answer, fn_call_drop, c);
}

static void
sync_reply(void *arg, const struct pt_sync_res *r)
{
	struct fn_call *c = arg;

	g_ptr_array_remove_fast(c->f->nodes[c->to].unanswered, c);
	fn_call_reply(c, pt_encode((xdrproc_t)xdr_pt_sync_res, r), NULL);
	fn_call_unref(c);
}

static void
status_reply(void *arg, const struct pt_status_res *r)
{
	struct fn_call *c = arg;

	g_ptr_array_remove_fast(c->f->nodes[c->to].unanswered, c);
	fn_call_reply(c, pt_encode((xdrproc_t)xdr_pt_status_res, r), NULL);
	fn_call_unref(c);
}

static void
serve(struct fn_node *n, struct fn_call *c, const void *args)
{
	struct pt_members_res mr;
	struct pt_snap_chunk sc;

	switch (c->proc) {
	case PT_MEMBERS:
		memb_handle_members(n->memb, args, &mr);
		fn_call_reply(
		    c, pt_encode((xdrproc_t)xdr_pt_members_res, &mr), NULL);
		memb_members_clear(&mr);
		break;
	case PT_SYNC:
		c->refs++;
		g_ptr_array_add(n->unanswered, c);
		dist_serve_sync(n->dist, args, sync_reply, c);
		break;
	case PT_SNAP:
		dist_serve_snap(n->dist, args, &sc);
		fn_call_reply(
		    c, pt_encode((xdrproc_t)xdr_pt_snap_chunk, &sc), NULL);
		break;
	case PT_ACKED:
		dist_serve_acked(n->dist, args);
		fn_call_reply(c, NULL, NULL);
		break;
	case PT_STATUS:
		c->refs++;
		g_ptr_array_add(n->unanswered, c);
		dist_status(n->dist, args, status_reply, c);
		break;
	default:
		g_assert_not_reached();
	}
}

static void
call_run(struct fn *f, void *arg)
{
	struct fn_call *c = arg;
	struct fn_node *n = &f->nodes[c->to];
	const struct rpcio_proc *p = rpcio_proc(c->proc);
	char *args;
	gsize len;
	const void *data;

	if (!n->up || n->memb == NULL) {
		if (!n->silent)
			fn_call_reply(c, NULL,
			    g_error_new(
				PT_ERROR, PT_ERROR_UNREACHABLE, "refused"));
		fn_call_unref(c);
		return;
	}
	data = g_bytes_get_data(c->args, &len);
	args = g_malloc0(p->args_size);
	if (!pt_decode(p->args, args, p->args_size, data, len))
		g_error("cannot decode the arguments of procedure %u", c->proc);
	serve(n, c, args);
	xdr_free(p->args, args);
	g_free(args);
	fn_call_unref(c);
}

static void
call_timeout(struct fn *f, void *arg)
{
	struct fn_call *c = arg;
	GError *err = g_error_new(PT_ERROR, PT_ERROR_UNKNOWN, "no reply");

	fn_call_finish(c, NULL, err);
	g_error_free(err);
	fn_call_unref(c);
}

void
fn_peer_call(void *ctx, const char *host, guint port, guint proc,
    const void *args, guint timeout_ms, pt_rpc_cb cb, void *arg)
{
	struct fn_node *n = ctx;
	struct fn_call *c = fn_call_new(n, arg);
	guint to = port - RPC_PORT;

	c->proc = proc;
	c->cb = cb;
	c->to = to;
	c->args = pt_encode(rpcio_proc(proc)->args, args);
	g_assert(c->args != NULL);
	n->rpc_bytes_out += CALL_HEADER + g_bytes_get_size(c->args);
	c->refs++;
	fn_schedule(n->f, timeout_ms * FN_MS, (gint)n->index, call_timeout,
	    fn_call_drop, c);
	if (to >= n->f->n || !fn_reaches(n->f, n->index, to))
		return;
	c->refs++;
	/* The event has no node, so a restarted process gets the call too. */
	fn_schedule(n->f, fn_delay(n->f), -1, call_run, fn_call_drop, c);
}
