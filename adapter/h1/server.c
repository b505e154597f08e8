/* HTTP/1.1 server that reads each request whole before handling it. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"

/* Interval of the check for idle connections. */
#define SWEEP_US (5 * G_TIME_SPAN_SECOND)

struct h1_server {
	struct h1_server_opts o;
	struct rpcio_listener *listener;
	LIST_HEAD(request_list, h1_request) open;
	guint sweep_timer;
};

static void
request_free(struct h1_request *r)
{
	struct h1_server *s = r->server;

	LIST_REMOVE(r, entry);
	if (r->pending && s->o.ops->closed != NULL)
		s->o.ops->closed(s->o.ctx, r);
	h1_head_unref(r->head);
	g_byte_array_unref(r->body);
	g_free(r);
}

static void
request_close(struct h1_request *r)
{
	struct h1_conn *c = r->conn;

	request_free(r);
	h1_free(c);
}

static void
on_head(void *ctx, struct h1_head *h)
{
	struct h1_request *r = ctx;

	h1_head_unref(r->head);
	r->head = h1_head_ref(h);
	g_byte_array_set_size(r->body, 0);
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct h1_request *r = ctx;

	g_byte_array_append(r->body, (const guint8 *)p, (guint)n);
}

static void
on_complete(void *ctx)
{
	struct h1_request *r = ctx;

	r->pending = TRUE;
	r->server->o.ops->request(r->server->o.ctx, r);
}

static void
on_bad(void *ctx, int status, const char *why)
{
	struct h1_request *r = ctx;
	struct h1_server *s = r->server;

	if (s->o.ops->rejected != NULL)
		s->o.ops->rejected(s->o.ctx, why);
	h1_server_respond(
	    r, &(struct h1_response){ .status = status, .last = TRUE });
}

static void
on_closed(void *ctx, enum h1_end end, const char *why)
{
	request_close(ctx);
}

static const struct h1_ops ops = { .head = on_head,
	.body = on_body,
	.complete = on_complete,
	.reject = on_bad,
	.closed = on_closed };

static gboolean
bodyless(const struct h1_request *r)
{
	return r->head != NULL && g_strcmp0(r->head->method, "HEAD") == 0;
}

void
h1_server_respond(struct h1_request *r, const struct h1_response *a)
{
	struct h1_conn *c = r->conn;
	gboolean last = a->last || !r->head->keep_alive;
	GString *s = g_string_new(NULL);
	guint i;

	h1_put_status(s, a->status);
	for (i = 0; i < a->n_fields; i++)
		h1_put(s, a->fields[i].name, a->fields[i].value);
	h1_put_int(s, "Content-Length", (gint64)a->len);
	if (last)
		h1_put(s, "Connection", "close");
	h1_put_end(s);
	if (!bodyless(r))
		g_string_append_len(s, a->body, (gssize)a->len);
	r->pending = FALSE;
	h1_send(c, s->str, s->len);
	g_string_free(s, TRUE);
	if (!last) {
		h1_read_next(c);
		return;
	}
	request_free(r);
	h1_finish(c);
}

static void
on_accepted(void *ctx, GSocket *sock)
{
	struct h1_server *s = ctx;
	struct h1_request *r = g_new0(struct h1_request, 1);
	struct h1_opts o = { .ops = &ops, .ctx = r, .body_max = s->o.body_max };

	r->server = s;
	r->body = g_byte_array_new();
	r->conn = h1_accept(sock, &o);
	LIST_INSERT_HEAD(&s->open, r, entry);
}

static void
sweep(void *arg)
{
	struct h1_server *s = arg;
	gint64 now = pt_now(&sys_clock);
	struct h1_request *r, *next;
	gint64 since;

	s->sweep_timer = sys_after(SWEEP_US, sweep, s);
	for (r = LIST_FIRST(&s->open); r != NULL; r = next) {
		next = LIST_NEXT(r, entry);
		since = h1_begun(r->conn);
		if (since == 0)
			since = h1_last_active(r->conn);
		if (!r->pending && now - since > s->o.idle_us)
			request_close(r);
	}
}

struct h1_server *
h1_server_new(const struct h1_server_opts *o, GError **err)
{
	struct h1_server *s = g_new0(struct h1_server, 1);

	s->o = *o;
	LIST_INIT(&s->open);
	s->listener = rpcio_listen(
	    o->host, o->port, FALSE, on_accepted, s, o->events, err);
	if (s->listener == NULL) {
		g_free(s);
		return NULL;
	}
	if (o->idle_us > 0)
		s->sweep_timer = sys_after(SWEEP_US, sweep, s);
	return s;
}

guint
h1_server_port(const struct h1_server *s)
{
	return rpcio_listen_local_port(s->listener);
}

void
h1_server_close(struct h1_server *s)
{
	struct h1_request *r;

	while ((r = LIST_FIRST(&s->open)) != NULL)
		request_close(r);
}

void
h1_server_free(struct h1_server *s)
{
	if (s == NULL)
		return;
	sys_cancel(&s->sweep_timer);
	h1_server_close(s);
	rpcio_listen_free(s->listener);
	g_free(s);
}
