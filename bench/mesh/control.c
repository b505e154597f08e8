/*
 * Control of running nodes over HTTP (admin port) and RPC.
 */

#include <glib.h>
#include <libsoup/soup.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"
#include "mesh.h"
#include "priv.h"

#define READY_POLL_MS 200
#define READY_CALL_MS 2000
/* DIST_STATUS_OWN of core/dist: the node answers from its own state. */
#define STATUS_OWN (-2)

struct get {
	gboolean done;
	GBytes *body;
};

static void
get_done(GObject *o, GAsyncResult *res, gpointer p)
{
	struct get *g = p;

	g->body = soup_session_send_and_read_finish(SOUP_SESSION(o), res, NULL);
	g->done = TRUE;
}

static gboolean
cancel(gpointer c)
{
	g_cancellable_cancel(c);
	return G_SOURCE_REMOVE;
}

static guint
http_request(const char *method, const char *url, const char *header,
    const char *value, const char *body, guint timeout_ms, char **out)
{
	SoupSession *s = soup_session_new();
	SoupMessage *m = soup_message_new(method, url);
	GCancellable *c = g_cancellable_new();
	struct get g = { FALSE, NULL };
	GBytes *b;
	guint status = 0, timer;

	if (header != NULL)
		soup_message_headers_replace(
		    soup_message_get_request_headers(m), header, value);
	if (body != NULL) {
		b = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(
		    m, "application/json", b);
		g_bytes_unref(b);
	}
	timer = g_timeout_add_full(G_PRIORITY_DEFAULT, timeout_ms, cancel,
	    g_object_ref(c), g_object_unref);
	soup_session_send_and_read_async(
	    s, m, G_PRIORITY_DEFAULT, c, get_done, &g);
	while (!g.done)
		g_main_context_iteration(NULL, TRUE);
	if (!g_cancellable_is_cancelled(c))
		g_source_remove(timer);
	if (g.body != NULL) {
		status = soup_message_get_status(m);
		if (out != NULL)
			*out = g_strndup(g_bytes_get_data(g.body, NULL),
			    g_bytes_get_size(g.body));
		g_bytes_unref(g.body);
	}
	g_object_unref(c);
	g_object_unref(m);
	g_object_unref(s);
	return status;
}

char *
mesh_get(const char *url, guint timeout_ms)
{
	char *text = NULL;

	if (http_request("GET", url, NULL, NULL, NULL, timeout_ms, &text) !=
	    200)
		g_clear_pointer(&text, g_free);
	return text;
}

guint
mesh_send(
    const char *method, const char *url, const char *body, guint timeout_ms)
{
	return http_request(method, url, NULL, NULL, body, timeout_ms, NULL);
}

guint
mesh_send_header(const char *method, const char *url, const char *header,
    const char *value, const char *body, guint timeout_ms)
{
	return http_request(method, url, header, value, body, timeout_ms, NULL);
}

char *
mesh_metrics(const struct mesh_inst *i)
{
	char *url, *text;

	url = g_strdup_printf("http://%s:%d/metrics", i->host, MESH_ADMIN_PORT);
	text = mesh_get(url, READY_CALL_MS);
	g_free(url);
	return text;
}

double
mesh_metric(const char *text, const char *name, const char *label)
{
	gsize n = strlen(name);
	char **lines, **l, *v;
	double sum = 0;

	if (text == NULL)
		return 0;
	lines = g_strsplit(text, "\n", -1);
	for (l = lines; *l != NULL; l++) {
		if (strncmp(*l, name, n) != 0 ||
		    ((*l)[n] != '{' && (*l)[n] != ' ') ||
		    (label != NULL && strstr(*l, label) == NULL))
			continue;
		v = strrchr(*l, ' ');
		if (v != NULL)
			sum += g_ascii_strtod(v, NULL);
	}
	g_strfreev(lines);
	return sum;
}

struct pt_rpc
mesh_rpc(struct mesh *m)
{
	return rpcio_client_port(m->rpc);
}

/* A synchronous call; the result is encoded to outlive the callback. */
struct call {
	const struct rpcio_proc *proc;
	gboolean done;
	GBytes *res;
	GError *err;
};

static void
answered(void *arg, void *res, const GError *err)
{
	struct call *c = arg;

	c->done = TRUE;
	if (err != NULL)
		c->err = g_error_copy(err);
	else
		c->res = pt_encode(c->proc->res, res);
}

gboolean
mesh_call(struct mesh_inst *i, guint proc, const void *args, void *res,
    gsize res_size, guint timeout_ms, GError **err)
{
	struct pt_rpc rpc = mesh_rpc(i->mesh);
	struct call c = { rpcio_proc(proc), FALSE, NULL, NULL };
	gboolean ok;

	rpc.call(rpc.ctx, i->host, MESH_RPC_PORT, proc, args, timeout_ms,
	    answered, &c);
	while (!c.done)
		g_main_context_iteration(NULL, TRUE);
	if (c.err != NULL) {
		g_propagate_error(err, c.err);
		return FALSE;
	}
	memset(res, 0, res_size);
	ok = c.res != NULL &&
	     pt_decode(c.proc->res, res, res_size,
		 g_bytes_get_data(c.res, NULL), g_bytes_get_size(c.res));
	if (!ok)
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "malformed answer; use programs of the same version");
	if (c.res != NULL)
		g_bytes_unref(c.res);
	return ok;
}

/* A STATUS call to a node; "pending" counts the open ones to all nodes. */
struct ready_call {
	guint *pending;
	struct mesh_inst *inst;
};

static void
status_done(void *arg, void *res, const GError *err)
{
	struct ready_call *r = arg;
	const struct pt_status_res *s = res;

	--*r->pending;
	if (s != NULL && s->state != PT_BOOTING && s->state != PT_LEFT)
		r->inst->ready_pid = r->inst->node.pid;
	g_free(r);
}

guint
mesh_ready(struct mesh *m)
{
	struct pt_rpc rpc = mesh_rpc(m);
	struct pt_get_args a = { PT_PROTO, STATUS_OWN, "" };
	struct mesh_inst *i;
	struct ready_call *r;
	guint k, pending = 0, n = 0;

	for (k = 0; k < mesh_size(m); k++) {
		i = mesh_at(m, k);
		if (mesh_ended(&i->node) || i->ready_pid == i->node.pid)
			continue;
		r = g_new0(struct ready_call, 1);
		r->pending = &pending;
		r->inst = i;
		pending++;
		rpc.call(rpc.ctx, i->host, MESH_RPC_PORT, PT_STATUS, &a,
		    READY_CALL_MS, status_done, r);
	}
	while (pending > 0)
		g_main_context_iteration(NULL, TRUE);
	for (k = 0; k < mesh_size(m); k++) {
		i = mesh_at(m, k);
		n += i->node.pid != 0 && i->ready_pid == i->node.pid;
	}
	return n;
}

gboolean
mesh_wait_ready(struct mesh *m, guint n, guint timeout_ms)
{
	gint64 end = g_get_monotonic_time() + (gint64)timeout_ms * 1000;

	while (mesh_ready(m) < n) {
		if (g_get_monotonic_time() >= end)
			return FALSE;
		mesh_sleep(READY_POLL_MS);
	}
	return TRUE;
}
