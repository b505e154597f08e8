/* Client of the platform's log: appends and long polls over HTTP. */

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "httpio.h"

/* Size limit of a response; a batch of the log is at most 4 MB. */
#define RESPONSE_MAX (8 << 20)
/* Largest answer to an append, in bytes: one number in JSON. */
#define APPENDED_MAX 4096

/* Long polls of several streams and appends run concurrently. */
#define CONNECTIONS 16

#define STATUS_OK 200
#define STATUS_TOO_LARGE 413
#define STATUS_RANGE 416 /* a read below the oldest offset */
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503

struct request {
	TAILQ_ENTRY(request) link;
	struct httpio_log *log;
	struct httpio_fetch *fetch;
	GByteArray *body;
	guint timer;
	int status;
	pt_append_cb append_cb; /* either this or read_cb */
	pt_read_cb read_cb;
	void *arg;
};

struct httpio_log {
	char *base; /* of the URL, without a slash at its end */
	char *path; /* of the URL, without a slash at its end */
	guint timeout_ms;
	struct httpio_backend *server;
	struct httpio_log_stats stats;
	TAILQ_HEAD(requests, request) requests;
};

/* Takes the request out of the log: no callback follows. */
static void
request_remove(struct request *r)
{
	TAILQ_REMOVE(&r->log->requests, r, link);
	sys_cancel(&r->timer);
}

static void
request_free(struct request *r)
{
	g_byte_array_unref(r->body);
	g_free(r);
}

/* Error of a response that is not a success, else NULL. */
static GError *
status_error(const struct request *r)
{
	const char *base = r->log->base;

	switch (r->status) {
	case STATUS_OK:
	case STATUS_RANGE:
		return NULL;
	case STATUS_TOO_MANY:
	case STATUS_UNAVAILABLE:
		return g_error_new(PT_ERROR, PT_ERROR_UNREACHABLE,
		    "the log at %s refused the request with %d; retry later",
		    base, r->status);
	case STATUS_TOO_LARGE:
		return g_error_new(PT_ERROR, PT_ERROR_TOO_LARGE,
		    "the log at %s refused the record as too large; split it",
		    base);
	default:
		return g_error_new(PT_ERROR, PT_ERROR_UNKNOWN,
		    "the log at %s answered with status %d", base, r->status);
	}
}

/* Offset in the response {"offset":N}, 0 if absent. */
static gint64
parse_offset(const GByteArray *b)
{
	JsonParser *p = json_parser_new();
	JsonNode *n;
	gint64 off = 0;
	const char *s = (const char *)b->data;

	if (b->len > 0 && pt_json_excess(s, b->len) == NULL &&
	    json_parser_load_from_data(p, s, b->len, NULL)) {
		n = json_parser_get_root(p);
		if (n != NULL && JSON_NODE_HOLDS_OBJECT(n))
			off = json_object_get_int_member_with_default(
			    json_node_get_object(n), "offset", 0);
	}
	g_object_unref(p);
	return off;
}

static void
append_done(struct request *r, GError *err)
{
	gint64 off = 0;

	if (err == NULL) {
		off = parse_offset(r->body);
		if (off <= 0)
			err = g_error_new(PT_ERROR, PT_ERROR_UNKNOWN,
			    "the log at %s answered without an offset",
			    r->log->base);
	}
	r->append_cb(r->arg, err == NULL ? off : 0, err);
	g_clear_error(&err);
}

/* Offsets must increase, else records could be applied in the wrong order. */
static gboolean
batch_ok(const struct pt_log_batch *x)
{
	gint64 last = 0;
	guint i;

	for (i = 0; i < x->entries.entries_len; i++) {
		if (x->entries.entries_val[i].offset <= last)
			return FALSE;
		last = x->entries.entries_val[i].offset;
	}
	return x->oldest >= 1 && x->next >= x->oldest && last < x->next;
}

static void
deliver_batch(struct request *r, const struct pt_log_batch *x)
{
	struct pt_batch b = { 0 };
	struct pt_record *e;
	const struct pt_log_entry *in;
	guint i;

	e = g_new0(struct pt_record, x->entries.entries_len);
	for (i = 0; i < x->entries.entries_len; i++) {
		in = &x->entries.entries_val[i];
		e[i].offset = in->offset;
		e[i].data = g_bytes_new(in->data.data_val, in->data.data_len);
	}
	b.oldest = x->oldest;
	b.next = x->next;
	b.entries = e;
	b.n_entries = x->entries.entries_len;
	r->read_cb(r->arg, &b, NULL);
	for (i = 0; i < b.n_entries; i++)
		g_bytes_unref(e[i].data);
	g_free(e);
}

static void
read_done(struct request *r, GError *err)
{
	struct pt_log_batch x = { 0 };

	if (err == NULL) {
		if (pt_decode((xdrproc_t)xdr_pt_log_batch, &x, sizeof(x),
			r->body->data, r->body->len) &&
		    batch_ok(&x))
			deliver_batch(r, &x);
		else
			err = g_error_new(PT_ERROR, PT_ERROR_PROTOCOL,
			    "the log at %s gave a malformed batch",
			    r->log->base);
		xdr_free((xdrproc_t)xdr_pt_log_batch, (char *)&x);
	}
	if (err != NULL)
		r->read_cb(r->arg, NULL, err);
	g_clear_error(&err);
}

/* Calls back and frees the request; takes the error, NULL: a response. */
static void
request_end(struct request *r, GError *err)
{
	struct httpio_log *l = r->log;

	/* Removed first, since the callback may free the log. */
	request_remove(r);
	l->stats.received += r->body->len;
	if (err == NULL)
		err = status_error(r);
	if (r->append_cb != NULL)
		append_done(r, err);
	else
		read_done(r, err);
	request_free(r);
}

/* Cancels the request, whose outcome is unknown. */
static void
request_give_up(struct request *r, GError *err)
{
	httpio_fetch_cancel(r->fetch);
	request_end(r, err);
}

static void
on_timeout(void *arg)
{
	struct request *r = arg;

	r->timer = 0;
	request_give_up(
	    r, g_error_new(PT_ERROR, PT_ERROR_UNKNOWN,
		   "the log at %s did not answer in time", r->log->base));
}

/* The fetch has ended without a whole response. */
static void
on_failed(struct request *r, const GError *e)
{
	request_end(r,
	    g_error_new(PT_ERROR, e->code, "the log at %s gave no answer: %s",
		r->log->base, e->message));
}

static void
on_body(void *arg, const char *data, gsize len, gboolean more, const GError *e)
{
	struct request *r = arg;

	if (e != NULL) {
		on_failed(r, e);
		return;
	}
	g_byte_array_append(r->body, (const guint8 *)data, (guint)len);
	if (more)
		httpio_fetch_read(r->fetch, on_body, r);
	else
		request_end(r, NULL);
}

static void
on_head(void *arg, const struct httpio_response *a, const GError *e)
{
	struct request *r = arg;
	int max = r->append_cb != NULL ? APPENDED_MAX : RESPONSE_MAX;

	if (e != NULL) {
		on_failed(r, e);
		return;
	}
	r->status = a->status;
	if (a->length < 0 || a->length > max)
		request_give_up(r,
		    g_error_new(PT_ERROR, PT_ERROR_UNKNOWN,
			"the log at %s gave an answer larger than %d bytes or "
			"of no stated length",
			r->log->base, max));
	else
		httpio_fetch_read(r->fetch, on_body, r);
}

static struct request *
request_new(struct httpio_log *l, void *arg)
{
	struct request *r = g_new0(struct request, 1);

	r->log = l;
	r->body = g_byte_array_new();
	r->arg = arg;
	TAILQ_INSERT_TAIL(&l->requests, r, link);
	return r;
}

static void
request_send(struct request *r, const struct httpio_call *c, gint64 timeout_ms)
{
	r->log->stats.requests++;
	r->timer =
	    sys_after(timeout_ms * G_TIME_SPAN_MILLISECOND, on_timeout, r);
	r->fetch = httpio_fetch(r->log->server, c, on_head, r);
}

static void
log_append(
    void *ctx, const char *stream, GBytes *record, pt_append_cb cb, void *arg)
{
	static const struct httpio_header type = { "Content-Type",
		"application/octet-stream" };
	struct httpio_log *l = ctx;
	struct httpio_call c = {
		.method = "POST", .headers = &type, .n_headers = 1, .once = TRUE
	};
	struct request *r = request_new(l, arg);
	char *path = g_strdup_printf("%s/v1/streams/%s", l->path, stream);

	c.path = path;
	c.body = g_bytes_get_data(record, &c.body_len);
	r->append_cb = cb;
	l->stats.sent += c.body_len;
	request_send(r, &c, l->timeout_ms);
	g_free(path);
}

static void
log_read(void *ctx, const char *stream, gint64 from, guint max, guint wait_ms,
    pt_read_cb cb, void *arg)
{
	struct httpio_log *l = ctx;
	struct httpio_call c = { .method = "GET" };
	struct request *r = request_new(l, arg);
	char *path = g_strdup_printf("%s/v1/streams/%s?from=%" G_GINT64_FORMAT
				     "&max=%u&wait_ms=%u",
	    l->path, stream, from, max, wait_ms);

	c.path = path;
	r->read_cb = cb;
	request_send(r, &c, (gint64)l->timeout_ms + wait_ms);
	g_free(path);
}

/* A copy without slashes at its end. */
static char *
without_slash(const char *s)
{
	gsize n = strlen(s);

	while (n > 0 && s[n - 1] == '/')
		n--;
	return g_strndup(s, n);
}

struct httpio_log *
httpio_log_new(const struct httpio_log_opts *o, GError **err)
{
	struct httpio_backend_opts so = { .url = o->base,
		.conns = CONNECTIONS,
		.url_name = "setting log-url",
		.name = "log" };
	struct httpio_backend *server = httpio_backend_new(&so, err);
	struct httpio_log *l;
	GUri *u;

	if (server == NULL)
		return NULL;
	u = g_uri_parse(o->base, G_URI_FLAGS_NONE, NULL);
	l = g_new0(struct httpio_log, 1);
	l->base = without_slash(o->base);
	l->path = without_slash(g_uri_get_path(u));
	l->timeout_ms = o->timeout_ms;
	l->server = server;
	TAILQ_INIT(&l->requests);
	g_uri_unref(u);
	return l;
}

void
httpio_log_free(struct httpio_log *l)
{
	struct request *r;

	/* The newest first: the end of a call starts one that waits. */
	while ((r = TAILQ_LAST(&l->requests, requests)) != NULL) {
		httpio_fetch_cancel(r->fetch);
		request_remove(r);
		request_free(r);
	}
	httpio_backend_free(l->server);
	g_free(l->base);
	g_free(l->path);
	g_free(l);
}

struct pt_log
httpio_log_port(struct httpio_log *l)
{
	struct pt_log p = { log_append, log_read, l };

	return p;
}

struct httpio_log_stats
httpio_log_stats(const struct httpio_log *l)
{
	return l->stats;
}
