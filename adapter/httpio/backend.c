/*
 * Calls to the backend server, or to another one, through the connection pool
 * of adapter/h1.
 */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "httpio.h"

#define HTTP_PORT 80
#define CONNECT_MS 5000
/*
 * Idle time after which a kept connection is not used again.  It is below the
 * 5 s after which servers commonly close one, so that few requests are sent on
 * a connection that the server is closing.
 */
#define IDLE_MS 4000

TAILQ_HEAD(fetches, httpio_fetch);

struct httpio_backend {
	guint refs; /* the owner's, and one for each fetch */
	struct h1_pool *pool; /* NULL: released by the owner */
	const char *name; /* of the server in errors */
	char *host; /* value of the Host header field */
	char *address;
	guint port;
	guint conns;
	guint active; /* fetches with a call in progress */
	struct fetches waiting; /* for a connection */
};

struct httpio_fetch {
	TAILQ_ENTRY(httpio_fetch) entry; /* while waiting */
	struct httpio_backend *backend;
	struct h1_call_opts opts;
	struct h1_call *call; /* NULL: waiting, or the response is complete */
	gboolean reused; /* the call is on a kept connection */
	gboolean once;
	gboolean sent; /* on a connection that failed, before a repeat */
	httpio_head_cb head_cb;
	httpio_body_cb body_cb; /* NULL: no part of the body is wanted */
	void *arg;
	struct h1_head *head; /* NULL: not received */
	GByteArray *in; /* part of the body not delivered yet */
	gboolean complete;
	GError *err; /* the body is incomplete */
	guint timer; /* a failure to be reported */
};

static void start(struct httpio_fetch *);

struct httpio_backend *
httpio_backend_new(const struct httpio_backend_opts *o, GError **err)
{
	struct httpio_backend *b;
	struct h1_pool_opts po = { .connect_ms = CONNECT_MS,
		.idle_ms = IDLE_MS };
	GUri *u;

	u = g_uri_parse(o->url, G_URI_FLAGS_NONE, NULL);
	if (u == NULL || strcmp(g_uri_get_scheme(u), "http") != 0 ||
	    g_uri_get_host(u) == NULL ||
	    !g_hostname_is_ip_address(g_uri_get_host(u))) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "%s is \"%s\"; give http://ADDRESS:PORT with a "
		    "numeric address",
		    o->url_name, o->url);
		g_clear_pointer(&u, g_uri_unref);
		return NULL;
	}
	b = g_new0(struct httpio_backend, 1);
	po.host = g_uri_get_host(u);
	po.port = g_uri_get_port(u) > 0 ? (guint)g_uri_get_port(u) : HTTP_PORT;
	po.conns = b->conns = MAX(o->conns, 1);
	b->refs = 1;
	b->name = o->name;
	b->host =
	    g_strdup_printf(strchr(po.host, ':') != NULL ? "[%s]:%u" : "%s:%u",
		po.host, po.port);
	b->address = g_strdup(po.host);
	b->port = po.port;
	b->pool = h1_pool_new(&po);
	TAILQ_INIT(&b->waiting);
	g_uri_unref(u);
	return b;
}

static void
backend_unref(struct httpio_backend *b)
{
	if (--b->refs > 0)
		return;
	h1_pool_retire(b->pool);
	g_free(b->host);
	g_free(b->address);
	g_free(b);
}

void
httpio_backend_free(struct httpio_backend *b)
{
	if (b != NULL)
		backend_unref(b);
}

/* The call has ended: another fetch may have its connection. */
static void
release_call(struct httpio_fetch *f)
{
	struct httpio_backend *b = f->backend;
	struct httpio_fetch *next = TAILQ_FIRST(&b->waiting);

	f->call = NULL;
	b->active--;
	if (next == NULL)
		return;
	TAILQ_REMOVE(&b->waiting, next, entry);
	start(next);
}

static void
fetch_free(struct httpio_fetch *f)
{
	sys_cancel(&f->timer);
	h1_head_unref(f->head);
	g_byte_array_unref(f->in);
	g_bytes_unref(f->opts.request);
	g_clear_error(&f->err);
	backend_unref(f->backend);
	g_free(f);
}

/* ---- whether the server accepts connections ---- */

struct httpio_check {
	struct h1_conn *conn;
	void (*cb)(void *arg, gboolean up);
	void *arg;
};

void
httpio_check_cancel(struct httpio_check *c)
{
	if (c == NULL)
		return;
	h1_free(c->conn);
	g_free(c);
}

static void
check_done(struct httpio_check *c, gboolean up)
{
	void (*cb)(void *, gboolean) = c->cb;
	void *arg = c->arg;

	httpio_check_cancel(c);
	cb(arg, up);
}

static void
check_connected(void *ctx)
{
	check_done(ctx, TRUE);
}

static void
check_closed(void *ctx, enum h1_end end, const char *why)
{
	check_done(ctx, end != H1_END_REFUSED);
}

static const struct h1_ops check_ops = { .connected = check_connected,
	.closed = check_closed };

struct httpio_check *
httpio_check(const struct httpio_backend *b, void (*cb)(void *arg, gboolean up),
    void *arg)
{
	struct httpio_check *c = g_new0(struct httpio_check, 1);
	struct h1_opts o = { .ops = &check_ops, .ctx = c };

	c->cb = cb;
	c->arg = arg;
	c->conn = h1_connect(b->address, b->port, CONNECT_MS, &o);
	return c;
}

/* ---- the response ---- */

static void
fill_response(const struct httpio_fetch *f, struct httpio_response *a)
{
	const struct h1_field *h;
	guint i;

	a->status = f->head->status;
	a->n_headers = 0;
	a->length = f->head->chunked ? -1 : f->head->length;
	for (i = 0; i < f->head->fields->len; i++) {
		h = &g_array_index(f->head->fields, struct h1_field, i);
		if (a->n_headers == HTTPIO_HEADERS_MAX ||
		    httpio_hop_by_hop(h->name) ||
		    h1_hop_by_hop(f->head, h->name))
			continue;
		a->headers[a->n_headers].name = h->name;
		a->headers[a->n_headers++].value = h->value;
	}
}

/*
 * A part is delivered once it is full; without a known length, as soon as there
 * are data.
 */
static gboolean
part_ready(const struct httpio_fetch *f)
{
	return f->complete || f->err != NULL || f->in->len >= HTTPIO_CHUNK ||
	       (f->in->len > 0 && (f->head->chunked || f->head->length < 0));
}

/* Delivers a part to the reader; the last one releases the fetch. */
static void
deliver(struct httpio_fetch *f)
{
	gsize n = f->err != NULL ? 0 : MIN(f->in->len, HTTPIO_CHUNK);
	char *data = g_memdup2(f->in->data, n);
	GError *err = g_steal_pointer(&f->err);
	gboolean last = err != NULL || (f->complete && n == f->in->len);
	httpio_body_cb cb = f->body_cb;
	void *arg = f->arg;

	f->body_cb = NULL;
	g_byte_array_remove_range(f->in, 0, (guint)n);
	if (last)
		fetch_free(f);
	cb(arg, data, n, !last, err);
	g_clear_error(&err);
	g_free(data);
}

static gboolean
on_head(void *ctx, struct h1_head *h)
{
	struct httpio_fetch *f = ctx;
	struct httpio_response a;

	f->head = h1_head_ref(h);
	h1_call_pause(f->call, TRUE);
	fill_response(f, &a);
	f->head_cb(f->arg, &a, NULL);
	return TRUE;
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct httpio_fetch *f = ctx;

	g_byte_array_append(f->in, (const guint8 *)p, (guint)n);
	if (f->in->len >= HTTPIO_CHUNK)
		h1_call_pause(f->call, TRUE);
	if (f->body_cb != NULL && part_ready(f))
		deliver(f);
}

static void
on_complete(void *ctx)
{
	struct httpio_fetch *f = ctx;

	f->complete = TRUE;
	f->backend->refs++;
	release_call(f);
	backend_unref(f->backend);
	if (f->body_cb != NULL)
		deliver(f);
}

static void
fail_head(struct httpio_fetch *f, enum pt_error code, const char *why)
{
	GError *err = g_error_new(PT_ERROR, (gint)code,
	    code == PT_ERROR_UNREACHABLE ? "%s: %s; the request was not sent"
					 : "%s: %s after the request was sent",
	    f->backend->name, why);

	f->head_cb(f->arg, NULL, err);
	g_error_free(err);
	fetch_free(f);
}

/*
 * A server may close a kept connection as the request is on its way: what may
 * be repeated is sent once more, on a new one.
 */
static gboolean
repeat(struct httpio_fetch *f, enum h1_end end)
{
	if (f->once || !f->reused || f->head != NULL || end == H1_END_BAD)
		return FALSE;
	f->opts.fresh = TRUE;
	f->sent = TRUE;
	start(f);
	return TRUE;
}

static void
on_failed(void *ctx, enum h1_end end, gboolean sent, const char *why)
{
	struct httpio_fetch *f = ctx;

	release_call(f);
	if (repeat(f, end))
		return;
	if (f->head == NULL) {
		fail_head(f,
		    sent || f->sent ? PT_ERROR_UNKNOWN : PT_ERROR_UNREACHABLE,
		    why);
		return;
	}
	f->err = g_error_new(PT_ERROR, PT_ERROR_UNKNOWN,
	    "%s: %s after the request was sent", f->backend->name, why);
	if (f->body_cb != NULL)
		deliver(f);
}

static const struct h1_call_ops call_ops = { on_head, on_body, on_complete,
	on_failed };

/* ---- the request ---- */

static gboolean
printable(const char *s)
{
	while (*s > ' ' && *s != 0x7f)
		s++;
	return *s == '\0';
}

static gboolean
has_body(const struct httpio_call *c)
{
	return c->body_len > 0 || strcmp(c->method, "POST") == 0 ||
	       strcmp(c->method, "PUT") == 0;
}

static GBytes *
serialise(const struct httpio_backend *b, const struct httpio_call *c)
{
	GString *s = g_string_new(NULL);
	guint i;

	h1_put_request(s, c->method, c->path);
	h1_put(s, "Host", b->host);
	for (i = 0; i < c->n_headers; i++)
		if (!httpio_hop_by_hop(c->headers[i].name) &&
		    printable(c->headers[i].name) &&
		    strpbrk(c->headers[i].value, "\r\n") == NULL)
			h1_put(s, c->headers[i].name, c->headers[i].value);
	if (has_body(c))
		h1_put_int(s, "Content-Length", (gint64)c->body_len);
	h1_put_end(s);
	if (c->body_len > 0)
		g_string_append_len(s, c->body, (gssize)c->body_len);
	return g_string_free_to_bytes(s);
}

/* Calls the server, or waits until a call has ended. */
static void
start(struct httpio_fetch *f)
{
	struct httpio_backend *b = f->backend;

	if (b->active >= b->conns) {
		TAILQ_INSERT_TAIL(&b->waiting, f, entry);
		return;
	}
	b->active++;
	f->call = h1_call_new(b->pool, &f->opts);
	f->reused = h1_call_reused(f->call);
}

static void
refuse(void *arg)
{
	struct httpio_fetch *f = arg;

	f->timer = 0;
	fail_head(f, PT_ERROR_UNREACHABLE,
	    "the method or the path cannot be written in HTTP");
}

struct httpio_fetch *
httpio_fetch(struct httpio_backend *b, const struct httpio_call *c,
    httpio_head_cb head, void *arg)
{
	struct httpio_fetch *f = g_new0(struct httpio_fetch, 1);

	b->refs++;
	f->backend = b;
	f->once = c->once;
	f->head_cb = head;
	f->arg = arg;
	f->in = g_byte_array_new();
	f->opts.request = serialise(b, c);
	f->opts.bodyless = strcmp(c->method, "HEAD") == 0;
	f->opts.fresh = c->once;
	f->opts.ops = &call_ops;
	f->opts.ctx = f;
	if (*c->path != '/' || !printable(c->path) || !printable(c->method))
		f->timer = sys_after(0, refuse, f);
	else
		start(f);
	return f;
}

void
httpio_fetch_read(struct httpio_fetch *f, httpio_body_cb cb, void *arg)
{
	f->body_cb = cb;
	f->arg = arg;
	if (part_ready(f))
		deliver(f);
	else
		h1_call_pause(f->call, FALSE);
}

void
httpio_fetch_cancel(struct httpio_fetch *f)
{
	struct h1_call *call = f->call;

	if (call != NULL) {
		f->backend->refs++;
		h1_call_cancel(call);
		release_call(f);
		backend_unref(f->backend);
	} else if (f->head == NULL && f->timer == 0)
		TAILQ_REMOVE(&f->backend->waiting, f, entry);
	fetch_free(f);
}
