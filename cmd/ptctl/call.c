/* RPC calls to the node, one at a time. */
#include <glib.h>
#include <rpc/rpc.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"
#include "ctl.h"

struct reply {
	xdrproc_t proc;
	void *res;
	gsize size;
	GError *err;
	gboolean done;
};

/*
 * Copies the result by encoding and decoding it, as it is valid only during the
 * callback.
 */
static void
on_result(void *arg, void *res, const GError *err)
{
	struct reply *r = arg;
	GBytes *b = NULL;
	gsize len;
	const void *p;

	r->done = TRUE;
	if (err != NULL) {
		r->err = g_error_copy(err);
		return;
	}
	if (res != NULL)
		b = pt_encode(r->proc, res);
	p = b != NULL ? g_bytes_get_data(b, &len) : NULL;
	if (p == NULL || !pt_decode(r->proc, r->res, r->size, p, len))
		r->err = g_error_new_literal(PT_ERROR, PT_ERROR_PROTOCOL,
		    "the node's response does not match the schema; use the "
		    "same release of ptctl and ptnode");
	g_clear_pointer(&b, g_bytes_unref);
}

gboolean
ctl_call(struct ctl *c, guint proc, const void *args, guint timeout_ms,
    xdrproc_t codec, void *res, gsize size, GError **err)
{
	struct reply r = { codec, res, size, NULL, FALSE };

	c->rpc.call(c->rpc.ctx, c->host, c->port, proc, args, timeout_ms,
	    on_result, &r);
	while (!r.done)
		g_main_context_iteration(NULL, TRUE);
	if (r.err == NULL)
		return TRUE;
	g_propagate_prefixed_error(
	    err, r.err, "node %s:%u: ", c->host, c->port);
	return FALSE;
}

gboolean
ctl_call_get(struct ctl *c, int kind, const char *name, struct pt_get_res *res,
    GError **err)
{
	struct pt_get_args a = { PT_PROTO, kind,
		(char *)(name != NULL ? name : "") };

	memset(res, 0, sizeof(*res));
	if (!ctl_call(c, PT_GET, &a, (guint)c->timeout_ms,
		(xdrproc_t)xdr_pt_get_res, res, sizeof(*res), err))
		return FALSE;
	if (res->state != PT_BOOTING)
		return TRUE;
	xdr_free((xdrproc_t)xdr_pt_get_res, (char *)res);
	memset(res, 0, sizeof(*res));
	g_set_error(err, PT_ERROR, PT_ERROR_UNREACHABLE,
	    "node %s:%u is booting and may hold an old configuration; try "
	    "another node, or retry later",
	    c->host, c->port);
	return FALSE;
}

gboolean
ctl_call_status(
    struct ctl *c, guint timeout_ms, struct pt_status_res *res, GError **err)
{
	struct pt_get_args a = { PT_PROTO, -1, (char *)"" };

	memset(res, 0, sizeof(*res));
	return ctl_call(c, PT_STATUS, &a, timeout_ms,
	    (xdrproc_t)xdr_pt_status_res, res, sizeof(*res), err);
}

gboolean
ctl_call_outcome(struct ctl *c, const char id[PT_ID_LEN],
    struct pt_outcome *res, GError **err)
{
	struct pt_outcome_args a = { 0 };

	a.proto = PT_PROTO;
	memcpy(a.id, id, PT_ID_LEN);
	memset(res, 0, sizeof(*res));
	return ctl_call(c, PT_OUTCOME, &a, (guint)c->timeout_ms,
	    (xdrproc_t)xdr_pt_outcome, res, sizeof(*res), err);
}

static gboolean
on_timeout(gpointer p)
{
	*(gboolean *)p = TRUE;
	return G_SOURCE_REMOVE;
}

void
ctl_sleep(guint ms)
{
	gboolean done = FALSE;

	g_timeout_add(ms, on_timeout, &done);
	while (!done)
		g_main_context_iteration(NULL, TRUE);
}
