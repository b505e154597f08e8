#include <gio/gio.h>
#include <libsoup/soup.h>
#include <rpc/rpc.h>
#include <string.h>

#include "port.h"
#include "httpio.h"

/*
 * Idle time after which a kept connection is closed.  It is below the 5 s after
 * which servers commonly close one, so that few requests are sent on a
 * connection that the server is closing.
 */
#define IDLE_S 4
/*
 * Fewest bytes that follow the data of a complete chunked body, for
 * check_truncated(): LF, "0", LF from a server that ends lines with a bare LF.
 * The standard end, CRLF, "0", CRLF, CRLF, is longer.
 */
#define CHUNKED_END_MIN 3

struct httpio_backend {
	SoupSession *session;
	char *base;
};

struct httpio_fetch {
	SoupMessage *msg;
	GCancellable *cancel;
	GInputStream *in;
	GSource *source;
	httpio_head_cb head;
	httpio_body_cb body;
	void *arg;
	char *buf; /* of "cap" bytes */
	gsize len, cap;
	gint64 remaining; /* bytes of the body not read yet, -1: unknown */
	gboolean chunked;
	/*
	 * Chunked body: bytes_received() after the last read that returned
	 * data.
	 */
	guint64 received;
	gboolean once;
	gboolean started; /* libsoup began to write the request */
	gboolean sending; /* on_sent() has not been called yet */
	gboolean cancelled;
};

static const char *
backend_path(const char *path)
{
	return *path == '/' ? path : "/";
}

struct httpio_backend *
httpio_backend_new(const struct httpio_backend_opts *o, GError **err)
{
	struct httpio_backend *b;
	GSocketAddress *a = NULL;
	GUri *u;

	u = g_uri_parse(o->url, SOUP_HTTP_URI_FLAGS, NULL);
	if (u != NULL && strcmp(g_uri_get_scheme(u), "http") == 0 &&
	    g_uri_get_host(u) != NULL)
		a = g_inet_socket_address_new_from_string(
		    g_uri_get_host(u), MAX(g_uri_get_port(u), 0));
	if (a == NULL) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "backend URL is \"%s\"; give http://ADDRESS:PORT with a "
		    "numeric address",
		    o->url);
		g_clear_pointer(&u, g_uri_unref);
		return NULL;
	}
	b = g_new0(struct httpio_backend, 1);
	b->base = g_strdup_printf(
	    "http://%s:%d", g_uri_get_host(u), g_uri_get_port(u));
	b->session = soup_session_new_with_options("max-conns", o->conns,
	    "max-conns-per-host", o->conns, "idle-timeout", IDLE_S, "timeout",
	    0, "proxy-resolver", NULL, "remote-connectable", a, NULL);
	/* Responses pass unchanged: no decoding, log-in or redirection. */
	soup_session_remove_feature_by_type(
	    b->session, SOUP_TYPE_CONTENT_DECODER);
	soup_session_remove_feature_by_type(b->session, SOUP_TYPE_AUTH_MANAGER);
	g_object_unref(a);
	g_uri_unref(u);
	return b;
}

void
httpio_backend_free(struct httpio_backend *b)
{
	if (b == NULL)
		return;
	g_object_unref(b->session);
	g_free(b->base);
	g_free(b);
}

static void
fetch_free(struct httpio_fetch *f)
{
	if (f->source != NULL) {
		g_source_destroy(f->source);
		g_source_unref(f->source);
	}
	g_signal_handlers_disconnect_by_data(f->msg, f);
	g_clear_object(&f->in);
	g_object_unref(f->msg);
	g_object_unref(f->cancel);
	g_free(f->buf);
	g_free(f);
}

/*
 * libsoup is about to write the request.  A second time means that it repeats
 * the request after it lost the connection, which "once" forbids.
 */
static void
on_starting(SoupMessage *msg, gpointer p)
{
	struct httpio_fetch *f = p;

	if (f->started && f->once)
		g_cancellable_cancel(f->cancel);
	f->started = TRUE;
}

static GError *
fetch_error(const struct httpio_fetch *f, const GError *e)
{
	if (!f->started)
		return g_error_new(PT_ERROR, PT_ERROR_UNREACHABLE,
		    "backend server: %s; the request was not sent", e->message);
	return g_error_new(PT_ERROR, PT_ERROR_UNKNOWN,
	    "backend server: %s after the request was sent", e->message);
}

static void
fill_response(SoupMessage *msg, struct httpio_response *a)
{
	SoupMessageHeaders *h = soup_message_get_response_headers(msg);
	SoupMessageHeadersIter it;

	a->status = (int)soup_message_get_status(msg);
	a->n_headers = 0;
	a->length = -1;
	if (soup_message_headers_get_encoding(h) ==
	    SOUP_ENCODING_CONTENT_LENGTH)
		a->length = soup_message_headers_get_content_length(h);
	soup_message_headers_iter_init(&it, h);
	while (
	    a->n_headers < HTTPIO_HEADERS_MAX &&
	    soup_message_headers_iter_next(&it, &a->headers[a->n_headers].name,
		&a->headers[a->n_headers].value))
		if (!httpio_hop_by_hop(a->headers[a->n_headers].name))
			a->n_headers++;
}

static void
on_sent(GObject *o, GAsyncResult *res, gpointer p)
{
	struct httpio_fetch *f = p;
	struct httpio_response a;
	GError *e = NULL, *err;

	f->sending = FALSE;
	f->in = soup_session_send_finish(SOUP_SESSION(o), res, &e);
	if (f->cancelled) {
		g_clear_error(&e);
		fetch_free(f);
		return;
	}
	if (f->in == NULL) {
		err = fetch_error(f, e);
		f->head(f->arg, NULL, err);
		g_error_free(err);
		g_error_free(e);
		fetch_free(f);
		return;
	}
	fill_response(f->msg, &a);
	f->chunked = soup_message_headers_get_encoding(
			 soup_message_get_response_headers(f->msg)) ==
		     SOUP_ENCODING_CHUNKED;
	f->remaining = a.length;
	if (strcmp(soup_message_get_method(f->msg), "HEAD") == 0)
		f->remaining = 0;
	f->head(f->arg, &a, NULL);
}

struct httpio_fetch *
httpio_fetch(struct httpio_backend *b, const struct httpio_call *c,
    httpio_head_cb head, void *arg)
{
	SoupMessageFlags flags =
	    SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_COLLECT_METRICS;
	struct httpio_fetch *f;
	SoupMessageHeaders *h;
	GBytes *body;
	char *url;
	guint i;

	f = g_new0(struct httpio_fetch, 1);
	f->head = head;
	f->arg = arg;
	f->once = c->once;
	f->sending = TRUE;
	f->cancel = g_cancellable_new();
	url = g_strconcat(b->base, backend_path(c->path), NULL);
	f->msg = soup_message_new(c->method, url);
	g_free(url);
	if (f->msg == NULL) {
		url = g_strconcat(b->base, "/", NULL);
		f->msg = soup_message_new(c->method, url);
		g_free(url);
	}
	/*
	 * Without "once", libsoup may repeat the request if a kept connection
	 * closes.
	 */
	flags |=
	    c->once ? SOUP_MESSAGE_NEW_CONNECTION : SOUP_MESSAGE_IDEMPOTENT;
	soup_message_set_flags(f->msg, flags);
	h = soup_message_get_request_headers(f->msg);
	for (i = 0; i < c->n_headers; i++)
		if (!httpio_hop_by_hop(c->headers[i].name))
			soup_message_headers_append(
			    h, c->headers[i].name, c->headers[i].value);
	if (c->body_len > 0) {
		body = g_bytes_new(c->body, c->body_len);
		soup_message_set_request_body_from_bytes(f->msg, NULL, body);
		g_bytes_unref(body);
	}
	g_signal_connect(f->msg, "starting", G_CALLBACK(on_starting), f);
	soup_session_send_async(
	    b->session, f->msg, G_PRIORITY_DEFAULT, f->cancel, on_sent, f);
	return f;
}

/* Bytes of the response body received, chunk framing included. */
static guint64
bytes_received(const struct httpio_fetch *f)
{
	return soup_message_metrics_get_response_body_bytes_received(
	    soup_message_get_metrics(f->msg));
}

/*
 * libsoup 3.2 reports a connection that closes between two chunks as the end of
 * the body.  It is detected by the bytes received, which then lack the last
 * chunk.
 */
static GError *
check_truncated(const struct httpio_fetch *f)
{
	if (!f->chunked || bytes_received(f) >= f->received + CHUNKED_END_MIN)
		return NULL;
	return g_error_new(G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT,
	    "connection closed within a chunked body");
}

static void
body_end(struct httpio_fetch *f, const GError *e)
{
	httpio_body_cb cb = f->body;
	void *arg = f->arg;
	char *buf = g_steal_pointer(&f->buf);
	gsize len = f->len;
	GError *err = NULL;

	if (e != NULL)
		err = fetch_error(f, e);
	else
		g_input_stream_close(f->in, NULL, NULL);
	fetch_free(f);
	cb(arg, buf, err == NULL ? len : 0, FALSE, err);
	g_clear_error(&err);
	g_free(buf);
}

/*
 * A chunk is delivered once it is full; without a known length, as soon as it
 * holds data.
 */
static gboolean
chunk_ready(const struct httpio_fetch *f)
{
	if (f->len == HTTPIO_CHUNK)
		return TRUE;
	return f->remaining < 0 && f->len > 0;
}

static gboolean
body_readable(GObject *stream, gpointer p)
{
	struct httpio_fetch *f = p;

	g_source_destroy(f->source);
	g_source_unref(f->source);
	f->source = NULL;
	httpio_fetch_read(f, f->body, f->arg);
	return G_SOURCE_REMOVE;
}

void
httpio_fetch_read(struct httpio_fetch *f, httpio_body_cb cb, void *arg)
{
	GPollableInputStream *in = G_POLLABLE_INPUT_STREAM(f->in);
	GError *e = NULL;
	gssize n = -1;
	gsize len;

	f->body = cb;
	f->arg = arg;
	if (f->buf == NULL) {
		f->cap = HTTPIO_CHUNK;
		if (f->remaining >= 0 && f->remaining < HTTPIO_CHUNK)
			f->cap = (gsize)f->remaining;
		f->buf = g_malloc(f->cap + 1);
	}
	while (f->len < f->cap) {
		n = g_pollable_input_stream_read_nonblocking(
		    in, f->buf + f->len, f->cap - f->len, NULL, &e);
		if (n <= 0)
			break;
		f->len += n;
		f->remaining -= f->remaining > 0 ? n : 0;
		if (f->chunked)
			f->received = bytes_received(f);
	}
	/* The known length has been read: one more read returns the end. */
	if (f->remaining == 0 && f->len == f->cap)
		n = g_pollable_input_stream_read_nonblocking(
		    in, f->buf + f->cap, 1, NULL, &e);
	if (n == 0)
		e = check_truncated(f);
	if (n <= 0 && !g_error_matches(e, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		body_end(f, e);
		g_clear_error(&e);
		return;
	}
	g_clear_error(&e);
	if (chunk_ready(f)) {
		len = f->len;
		f->len = 0;
		cb(arg, f->buf, len, TRUE, NULL);
		return;
	}
	f->source = g_pollable_input_stream_create_source(in, NULL);
	g_source_set_callback(f->source, G_SOURCE_FUNC(body_readable), f, NULL);
	g_source_attach(f->source, NULL);
}

void
httpio_fetch_cancel(struct httpio_fetch *f)
{
	g_cancellable_cancel(f->cancel);
	if (f->sending) {
		f->cancelled = TRUE;
		return;
	}
	g_input_stream_close(f->in, f->cancel, NULL);
	fetch_free(f);
}
