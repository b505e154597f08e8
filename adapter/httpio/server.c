/* HTTP server for callers and for the admin port, on connections of h1. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"
#include "h1.h"
#include "httpio.h"

/*
 * A body over the limit is read and discarded, so that the connection stays
 * usable; over this multiple of the limit the connection is closed instead.
 */
#define DISCARD_FACTOR 8

struct httpio_server {
	struct httpio_server_opts o;
	struct rpcio_listener *listener;
	LIST_HEAD(conn_list, conn) conns;
	guint n_conns, n_pending;
	gboolean draining;
};

/* A connection and the current request on it. */
struct conn {
	LIST_ENTRY(conn) entry;
	struct httpio_server *server;
	struct h1_conn *h1;
	struct h1_head *head;
	GByteArray *body;
	gsize received; /* bytes of the body, discarded ones included */
	struct httpio_req *req;
};

struct httpio_req {
	struct httpio_server *server;
	struct conn *conn; /* NULL: closed */
	struct h1_head *head;
	GByteArray *body;
	void (*closed_cb)(void *);
	void *closed_arg;
	void (*drained)(void *);
	void *drained_arg;
	guint idle; /* source of a callback on the next turn of the loop */
	gboolean chunked, bodyless, until_close; /* of the response */
};

gboolean
httpio_hop_by_hop(const char *name)
{
	static const char *const names[] = { "Connection", "Keep-Alive",
		"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"TE", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect" };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		if (g_ascii_strcasecmp(name, names[i]) == 0)
			return TRUE;
	return FALSE;
}

/* ---- requests ---- */

static void
req_free(struct httpio_req *r)
{
	r->server->n_pending--;
	if (r->idle != 0)
		g_source_remove(r->idle);
	if (r->conn != NULL)
		r->conn->req = NULL;
	h1_head_unref(r->head);
	g_byte_array_unref(r->body);
	g_free(r);
}

static gboolean
report_closed(gpointer p)
{
	struct httpio_req *r = p;
	void (*closed_cb)(void *) = r->closed_cb;
	void *arg = r->closed_arg;

	r->idle = 0;
	req_free(r);
	closed_cb(arg);
	return G_SOURCE_REMOVE;
}

/*
 * The connection has closed.  A watched request ends; the handler of any other
 * still has to release it.
 */
static void
req_disconnect(struct httpio_req *r)
{
	r->conn = NULL;
	if (r->idle != 0)
		g_source_remove(r->idle);
	r->idle = 0;
	if (r->closed_cb != NULL)
		report_closed(r);
}

void
httpio_req_watch(struct httpio_req *r, void (*closed_cb)(void *), void *arg)
{
	r->closed_cb = closed_cb;
	r->closed_arg = arg;
	if (r->conn == NULL && r->idle == 0)
		r->idle = g_idle_add(report_closed, r);
}

const char *
httpio_req_method(const struct httpio_req *r)
{
	return r->head->method;
}

const char *
httpio_req_path(const struct httpio_req *r)
{
	return r->head->target;
}

const char *
httpio_req_header(const struct httpio_req *r, const char *name)
{
	return h1_head_get(r->head, name);
}

guint
httpio_req_headers(
    const struct httpio_req *r, struct httpio_header *h, guint max)
{
	const struct h1_field *f;
	guint i, n = 0;

	for (i = 0; i < r->head->fields->len && n < max; i++) {
		f = &g_array_index(r->head->fields, struct h1_field, i);
		if (httpio_hop_by_hop(f->name) ||
		    h1_hop_by_hop(r->head, f->name))
			continue;
		h[n].name = f->name;
		h[n++].value = f->value;
	}
	return n;
}

const char *
httpio_req_body(const struct httpio_req *r, gsize *len)
{
	*len = r->body->len;
	return (const char *)r->body->data;
}

/* ---- responses ---- */

static void
put_date(GString *s)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *t = g_date_time_format(now, "%a, %d %b %Y %H:%M:%S GMT");

	h1_put(s, "Date", t);
	g_free(t);
	g_date_time_unref(now);
}

/*
 * Decides how the end of the body is marked: by its length, by chunks or by the
 * close of the connection, or that there is no body; appends the header for it.
 */
static void
put_framing(struct httpio_req *r, GString *s, guint status, gint64 length)
{
	gboolean head = strcmp(r->head->method, "HEAD") == 0;

	r->bodyless = head || status == 204 || status == 304;
	if (length >= 0 && (!r->bodyless || head))
		h1_put_int(s, "Content-Length", length);
	if (r->bodyless || length >= 0)
		return;
	r->chunked = !r->head->http10;
	r->until_close = r->head->http10;
	if (r->chunked)
		h1_put(s, "Transfer-Encoding", "chunked");
}

void
httpio_head(struct httpio_req *r, guint status, const struct httpio_header *h,
    guint n, gint64 length)
{
	GString *s = g_string_new(NULL);
	guint i;

	h1_put_status(s, (int)status);
	/* Replaces the Date of a relayed response. */
	put_date(s);
	for (i = 0; i < n; i++)
		if (!httpio_hop_by_hop(h[i].name) &&
		    g_ascii_strcasecmp(h[i].name, "Date") != 0)
			h1_put(s, h[i].name, h[i].value);
	put_framing(r, s, status, length);
	if (r->server->draining || !r->head->keep_alive || r->until_close)
		h1_put(s, "Connection", "close");
	h1_put_end(s);
	if (r->conn != NULL)
		h1_send(r->conn->h1, s->str, s->len);
	g_string_free(s, TRUE);
}

static void
send_body(struct httpio_req *r, const void *data, gsize len)
{
	char size[32];

	if (r->conn == NULL || r->bodyless || len == 0)
		return;
	if (r->chunked) {
		g_snprintf(
		    size, sizeof(size), "%" G_GSIZE_MODIFIER "x\r\n", len);
		h1_send(r->conn->h1, size, strlen(size));
	}
	h1_send(r->conn->h1, data, len);
	if (r->chunked)
		h1_send(r->conn->h1, "\r\n", 2);
}

static gboolean
report_drained(gpointer p)
{
	struct httpio_req *r = p;
	void (*drained)(void *) = r->drained;

	r->idle = 0;
	r->drained = NULL;
	drained(r->drained_arg);
	return G_SOURCE_REMOVE;
}

void
httpio_write(struct httpio_req *r, const void *data, gsize len,
    void (*drained)(void *), void *arg)
{
	send_body(r, data, len);
	r->drained = drained;
	r->drained_arg = arg;
	if (drained != NULL && r->conn != NULL && r->idle == 0 &&
	    h1_queued(r->conn->h1) <= H1_LOW_WATER)
		r->idle = g_idle_add(report_drained, r);
}

static void
conn_free(struct conn *c)
{
	LIST_REMOVE(c, entry);
	c->server->n_conns--;
	h1_head_unref(c->head);
	g_byte_array_unref(c->body);
	g_free(c);
}

/* After a response: reads the next request or closes the connection. */
static void
conn_next(struct conn *c, gboolean keep)
{
	struct h1_conn *h1 = c->h1;

	if (keep) {
		h1_read_next(h1);
		return;
	}
	conn_free(c);
	h1_finish(h1);
}

void
httpio_end(struct httpio_req *r)
{
	struct conn *c = r->conn;
	gboolean keep =
	    !r->server->draining && r->head->keep_alive && !r->until_close;

	if (r->chunked && c != NULL)
		h1_send(c->h1, "0\r\n\r\n", 5);
	req_free(r);
	if (c != NULL)
		conn_next(c, keep);
}

void
httpio_abort(struct httpio_req *r)
{
	struct conn *c = r->conn;
	struct h1_conn *h1;

	req_free(r);
	if (c == NULL)
		return;
	h1 = c->h1;
	conn_free(c);
	h1_abort(h1);
}

void
httpio_response(struct httpio_req *r, guint status,
    const struct httpio_header *h, guint n, const void *data, gsize len)
{
	httpio_head(r, status, h, n, (gint64)len);
	send_body(r, data, len);
	httpio_end(r);
}

/* ---- connections ---- */

/* Rejects a request before it reaches the handler. */
static void
reject(struct conn *c, int status, gboolean keep)
{
	static const char text[] = "request not run: unreadable or beyond the "
				   "size limits (body, path or headers); send "
				   "less\n";
	GString *s = g_string_new(NULL);

	h1_put_status(s, status);
	put_date(s);
	h1_put(s, "Pt-Outcome", "not-run");
	h1_put(s, "Content-Type", "text/plain");
	h1_put_int(s, "Content-Length", (gint64)strlen(text));
	if (!keep)
		h1_put(s, "Connection", "close");
	h1_put_end(s);
	g_string_append(s, text);
	h1_send(c->h1, s->str, s->len);
	g_string_free(s, TRUE);
	conn_next(c, keep);
}

/* Status for a request that exceeds a limit; 0: none is exceeded. */
static int
limit_status(const struct conn *c)
{
	const struct h1_field *f;
	guint i;

	if (c->received > c->server->o.body_max)
		return 413;
	if (strlen(c->head->target) > HTTPIO_HEADER_MAX)
		return 414;
	if (c->head->fields->len > HTTPIO_HEADERS_MAX)
		return 431;
	for (i = 0; i < c->head->fields->len; i++) {
		f = &g_array_index(c->head->fields, struct h1_field, i);
		if (strlen(f->name) > HTTPIO_HEADER_MAX ||
		    strlen(f->value) > HTTPIO_HEADER_MAX)
			return 431;
	}
	return 0;
}

static void
on_head(void *ctx, struct h1_head *h)
{
	struct conn *c = ctx;

	h1_head_unref(c->head);
	c->head = h1_head_ref(h);
	g_byte_array_set_size(c->body, 0);
	c->received = 0;
	h1_continue(c->h1, h);
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct conn *c = ctx;

	c->received += n;
	if (c->received <= c->server->o.body_max)
		g_byte_array_append(c->body, (const guint8 *)p, (guint)n);
	else if (c->received > c->server->o.body_max * DISCARD_FACTOR)
		reject(c, 413, FALSE);
}

static void
on_complete(void *ctx)
{
	struct conn *c = ctx;
	struct httpio_server *s = c->server;
	struct httpio_req *r;
	int status = limit_status(c);

	if (status != 0) {
		reject(c, status, c->head->keep_alive);
		return;
	}
	r = g_new0(struct httpio_req, 1);
	r->server = s;
	r->conn = c;
	r->head = h1_head_ref(c->head);
	r->body = c->body;
	c->body = g_byte_array_new();
	c->req = r;
	s->n_pending++;
	s->o.request(s->o.ctx, r);
}

static void
on_drained(void *ctx)
{
	struct conn *c = ctx;

	if (c->req != NULL && c->req->drained != NULL && c->req->idle == 0)
		report_drained(c->req);
}

static void
on_bad(void *ctx, int status, const char *why)
{
	reject(ctx, status, FALSE);
}

static void
conn_close(struct conn *c)
{
	struct httpio_req *r = c->req;
	struct h1_conn *h1 = c->h1;

	conn_free(c);
	h1_free(h1);
	if (r != NULL)
		req_disconnect(r);
}

static void
on_closed(void *ctx, enum h1_end end, const char *why)
{
	conn_close(ctx);
}

static const struct h1_ops conn_ops = { .head = on_head,
	.body = on_body,
	.complete = on_complete,
	.drained = on_drained,
	.reject = on_bad,
	.closed = on_closed };

static void
on_accepted(void *ctx, GSocket *sock)
{
	struct httpio_server *s = ctx;
	struct conn *c = g_new0(struct conn, 1);
	struct h1_opts o = { .ops = &conn_ops,
		.ctx = c,
		.head_max = HTTPIO_HEADERS_MAX * HTTPIO_HEADER_MAX };

	c->server = s;
	c->body = g_byte_array_new();
	c->h1 = h1_accept(sock, &o);
	LIST_INSERT_HEAD(&s->conns, c, entry);
	s->n_conns++;
}

/* ---- the server ---- */

struct httpio_server *
httpio_server_new(const struct httpio_server_opts *o, GError **err)
{
	struct httpio_server *s = g_new0(struct httpio_server, 1);

	s->o = *o;
	LIST_INIT(&s->conns);
	s->listener = rpcio_listen(
	    o->host, o->port, o->bind_only, on_accepted, s, NULL, err);
	if (s->listener == NULL)
		g_clear_pointer(&s, g_free);
	return s;
}

guint
httpio_server_port(const struct httpio_server *s)
{
	return rpcio_listen_local_port(s->listener);
}

gboolean
httpio_server_start(struct httpio_server *s, GError **err)
{
	return rpcio_listen_start(s->listener, err);
}

void
httpio_server_drain(struct httpio_server *s)
{
	s->draining = TRUE;
}

void
httpio_server_close(struct httpio_server *s)
{
	g_clear_pointer(&s->listener, rpcio_listen_free);
}

guint
httpio_server_connections(const struct httpio_server *s)
{
	return s->n_conns;
}

guint
httpio_server_pending(const struct httpio_server *s)
{
	return s->n_pending;
}

void
httpio_server_free(struct httpio_server *s)
{
	struct conn *c;

	if (s == NULL)
		return;
	while ((c = LIST_FIRST(&s->conns)) != NULL)
		conn_close(c);
	httpio_server_close(s);
	g_free(s);
}

guint
httpio_unsent(void)
{
	return h1_unsent();
}
