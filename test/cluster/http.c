/* Fake HTTP adapter: callers, backend servers and the log, in memory. */
#include <glib.h>
#include <gio/gio.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <stdlib.h>
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
#include "cluster.h"

/* One-way delays of messages to a node, a backend server and the log. */
#define CLIENT_US (1 * CLUSTER_MS)
#define BACKEND_US 200
#define LOG_US (1 * CLUSTER_MS)
#define LOG_CUT_US (1 * CLUSTER_S) /* until an unreachable log is reported */
#define LOG_TIMEOUT_US (3 * CLUSTER_S)

/* ---- server for callers ---- */

struct httpio_server {
	struct httpio_server_opts o;
	gint owner;
	gboolean closed, draining;
	GPtrArray *reqs;
};

struct httpio_req {
	struct httpio_server *server;
	struct cluster_call *call;
	char *method, *path;
	struct httpio_header headers[4];
	char serial[16];
	guint n_headers;
	void (*closed_cb)(void *);
	void *closed_arg;
};

static struct httpio_server *caller_servers[CLUSTER_NODES_MAX];

struct httpio_server *
httpio_server_new(const struct httpio_server_opts *o, GError **err)
{
	struct httpio_server *s = g_new0(struct httpio_server, 1);

	s->o = *o;
	s->owner = cluster.current;
	s->reqs = g_ptr_array_new();
	s->closed = o->bind_only;
	if ((int)o->port == cluster.nodes[s->owner].n.set.http_port)
		caller_servers[s->owner] = s;
	return s;
}

static void
req_free(struct httpio_req *r)
{
	if (r->server != NULL)
		g_ptr_array_remove_fast(r->server->reqs, r);
	r->call->req = NULL;
	g_free(r->method);
	g_free(r->path);
	g_free(r);
}

static void
req_closed(struct httpio_req *r)
{
	r->call->reset = TRUE;
	r->call->ended = cluster.now;
	if (r->closed_cb != NULL)
		r->closed_cb(r->closed_arg);
	req_free(r);
}

void
httpio_server_free(struct httpio_server *s)
{
	if (s == NULL)
		return;
	if (caller_servers[s->owner] == s)
		caller_servers[s->owner] = NULL;
	while (s->reqs->len > 0)
		req_closed(s->reqs->pdata[s->reqs->len - 1]);
	g_ptr_array_unref(s->reqs);
	g_free(s);
}

guint
httpio_server_port(const struct httpio_server *s)
{
	return s->o.port;
}

gboolean
httpio_server_start(struct httpio_server *s, GError **err)
{
	s->closed = FALSE;
	return TRUE;
}

void
httpio_server_drain(struct httpio_server *s)
{
	s->draining = TRUE;
}

void
httpio_server_close(struct httpio_server *s)
{
	s->closed = TRUE;
}

guint
httpio_server_pending(const struct httpio_server *s)
{
	return s->reqs->len;
}

guint
httpio_server_connections(const struct httpio_server *s)
{
	return s->reqs->len;
}

const char *
httpio_req_method(const struct httpio_req *r)
{
	return r->method;
}

const char *
httpio_req_path(const struct httpio_req *r)
{
	return r->path;
}

const char *
httpio_req_header(const struct httpio_req *r, const char *name)
{
	guint i;

	for (i = 0; i < r->n_headers; i++)
		if (g_ascii_strcasecmp(r->headers[i].name, name) == 0)
			return r->headers[i].value;
	return NULL;
}

guint
httpio_req_headers(
    const struct httpio_req *r, struct httpio_header *out, guint max)
{
	guint n = MIN(r->n_headers, max);

	memcpy(out, r->headers, n * sizeof(out[0]));
	return n;
}

const char *
httpio_req_body(const struct httpio_req *r, gsize *len)
{
	*len = 0;
	return "";
}

void
httpio_req_watch(struct httpio_req *r, void (*closed)(void *), void *arg)
{
	r->closed_cb = closed;
	r->closed_arg = arg;
}

gboolean
httpio_hop_by_hop(const char *name)
{
	return g_ascii_strcasecmp(name, "Connection") == 0;
}

void
httpio_head(struct httpio_req *r, guint status, const struct httpio_header *h,
    guint n, gint64 length)
{
	struct cluster_call *c = r->call;
	guint i;

	c->status = status;
	c->length = length;
	c->close = r->server->draining;
	for (i = 0; i < n; i++) {
		c->marked |= strcmp(h[i].name, "Pt-Not-Run") == 0;
		if (strcmp(h[i].name, "Pt-Outcome") == 0) {
			g_free(c->outcome);
			c->outcome = g_strdup(h[i].value);
		}
	}
}

struct drained {
	void (*cb)(void *);
	void *arg;
};

static void
drained_run(void *arg)
{
	struct drained d = *(struct drained *)arg;

	g_free(arg);
	d.cb(d.arg);
}

void
httpio_write(struct httpio_req *r, const void *data, gsize len,
    void (*drained)(void *), void *arg)
{
	struct drained *d;

	g_string_append_len(r->call->body, data, (gssize)len);
	if (drained == NULL)
		return;
	d = g_new(struct drained, 1);
	d->cb = drained;
	d->arg = arg;
	cluster_schedule(1, r->server->owner, drained_run, g_free, d);
}

gboolean
cluster_call_ran(const struct cluster_call *c)
{
	if (c->key != NULL)
		return cluster_key_runs(c->key) > 0;
	return g_hash_table_contains(
	    cluster.ran_serials, GUINT_TO_POINTER(c->serial));
}

void
httpio_end(struct httpio_req *r)
{
	struct cluster_call *c = r->call;
	char expected[32];

	c->ended = cluster.now;
	c->done = c->length < 0 || (gint64)c->body->len == c->length;
	c->reset = !c->done;
	cluster.short_responses += !c->done;
	g_snprintf(expected, sizeof(expected), "serial=%u;", c->serial);
	if (c->done && c->status == 200 && c->outcome != NULL &&
	    strcmp(c->outcome, "ran") == 0 && c->key == NULL &&
	    !g_str_has_prefix(c->body->str, expected))
		cluster.swapped_responses++;
	if (c->outcome != NULL && strcmp(c->outcome, "not-run") == 0)
		cluster.false_refusals += cluster_call_ran(c);
	req_free(r);
}

void
httpio_abort(struct httpio_req *r)
{
	r->call->reset = TRUE;
	r->call->ended = cluster.now;
	req_free(r);
}

void
httpio_response(struct httpio_req *r, guint status,
    const struct httpio_header *h, guint n, const void *data, gsize len)
{
	httpio_head(r, status, h, n, (gint64)len);
	httpio_write(r, data, len, NULL, NULL);
	httpio_end(r);
}

/* ---- callers ---- */

struct arrival {
	struct cluster_call *call;
	char *method, *path;
};

static void
arrival_free(void *arg)
{
	struct arrival *a = arg;

	a->call->reset = a->call->req == NULL && !a->call->done;
	g_free(a->method);
	g_free(a->path);
	g_free(a);
}

static void
arrive(void *arg)
{
	struct arrival *a = arg;
	struct httpio_server *s = caller_servers[a->call->at];
	struct httpio_req *r;

	if (s == NULL || s->closed || a->call->reset) {
		a->call->refused = TRUE;
		arrival_free(a);
		return;
	}
	r = g_new0(struct httpio_req, 1);
	r->server = s;
	r->call = a->call;
	r->method = g_strdup(a->method);
	r->path = g_strdup(a->path);
	g_snprintf(r->serial, sizeof(r->serial), "%u", a->call->serial);
	r->headers[r->n_headers++] =
	    (struct httpio_header){ "Pt-Request-Id", r->serial };
	if (a->call->key != NULL)
		r->headers[r->n_headers++] =
		    (struct httpio_header){ "Idempotency-Key", a->call->key };
	if (a->call->org_key != NULL)
		r->headers[r->n_headers++] =
		    (struct httpio_header){ "pt-key", a->call->org_key };
	if (a->call->claimed != NULL)
		r->headers[r->n_headers++] =
		    (struct httpio_header){ "pt-organisation",
			    a->call->claimed };
	a->call->req = r;
	g_ptr_array_add(s->reqs, r);
	s->o.request(s->o.ctx, r);
	g_free(a->method);
	g_free(a->path);
	g_free(a);
}

struct cluster_call *
cluster_call(guint at, const char *method, const char *path, const char *key)
{
	struct cluster_call *c = g_new0(struct cluster_call, 1);
	struct arrival *a = g_new0(struct arrival, 1);

	c->at = at;
	c->key = g_strdup(key);
	c->body = g_string_new(NULL);
	c->length = -1;
	c->serial = cluster.calls->len + 1;
	c->begun = cluster.now;
	g_ptr_array_add(cluster.calls, c);
	a->call = c;
	a->method = g_strdup(method);
	a->path = g_strdup(path);
	if (!cluster.nodes[at].up) {
		c->reset = TRUE;
		arrival_free(a);
		return c;
	}
	cluster_schedule(CLIENT_US, (gint)at, arrive, arrival_free, a);
	return c;
}

static void
call_close(void *arg)
{
	struct cluster_call *c = arg;

	if (c->req != NULL)
		req_closed(c->req);
}

void
cluster_close_call(struct cluster_call *c)
{
	cluster_schedule(CLIENT_US, (gint)c->at, call_close, NULL, c);
}

guint
httpio_unsent(void)
{
	return 0;
}

/* ---- backend servers ---- */

/* Time from the end of a server to the start of its next process. */
#define SERVER_RESTART_US (1500 * CLUSTER_MS)

struct httpio_backend {
	struct cluster_backend *b;
};

struct httpio_fetch {
	guint refs;
	gboolean released; /* no callback may follow */
	gboolean running; /* occupies a slot of the backend server */
	struct cluster_backend *b;
	guint ends; /* of the server when the request began to run */
	gboolean deadly;
	char *key;
	guint serial;
	struct httpio_response head;
	GError *err;
	httpio_head_cb head_cb;
	void *head_arg;
	gsize sent;
	GString *body;
};

static void
fetch_unref(void *arg)
{
	struct httpio_fetch *f = arg;

	if (--f->refs > 0)
		return;
	g_free(f->key);
	g_clear_error(&f->err);
	g_string_free(f->body, TRUE);
	g_free(f);
}

static void
release_slot(struct httpio_fetch *f)
{
	if (!f->running)
		return;
	f->running = FALSE;
	f->b->running--;
}

static void
head_run(void *arg)
{
	struct httpio_fetch *f = arg;
	httpio_head_cb cb = f->head_cb;

	if (!f->released) {
		if (f->err != NULL)
			f->released = TRUE;
		cb(f->head_arg, f->err == NULL ? &f->head : NULL, f->err);
		if (f->err != NULL)
			fetch_unref(f);
	}
	fetch_unref(f);
}

static void
head_schedule(struct httpio_fetch *f, gint64 delay)
{
	f->refs++;
	cluster_schedule(delay, (gint)f->b->index, head_run, fetch_unref, f);
}

static void
fetch_fail(struct httpio_fetch *f, int code, const char *text)
{
	f->err = g_error_new_literal(PT_ERROR, code, text);
	head_schedule(f, BACKEND_US);
}

static void
server_up(void *arg)
{
	((struct cluster_backend *)arg)->up = TRUE;
}

/* The server's process ends; another one starts after a while. */
static void
end_server(struct cluster_backend *b)
{
	b->ends++;
	b->up = FALSE;
	cluster_schedule(
	    SERVER_RESTART_US, CLUSTER_NO_NODE, server_up, NULL, b);
}

static void
fetch_finish(void *arg)
{
	struct httpio_fetch *f = arg;
	struct cluster_backend *b = f->b;

	release_slot(f);
	if (f->deadly && f->ends == b->ends)
		end_server(b);
	if (f->ends != b->ends) {
		fetch_fail(f, PT_ERROR_UNKNOWN, "connection closed");
	} else if (b->drop_response) {
		fetch_fail(f, PT_ERROR_UNKNOWN,
		    "connection closed without a response");
	} else if (!b->silent) {
		f->head.status = b->status != 0	   ? b->status
				 : b->false_health ? 500
						   : 200;
		if (b->marks_runs)
			f->head.headers[f->head.n_headers++] =
			    (struct httpio_header){ "Pt-Not-Run", "true" };
		g_string_append_printf(f->body, "serial=%u;", f->serial);
		while (f->body->len < b->response_len)
			g_string_append_c(f->body, 'x');
		f->head.length = (gint64)f->body->len;
		b->served++;
		head_schedule(f, BACKEND_US);
	}
	fetch_unref(f);
}

/* The request arrives at the backend server, which runs or rejects it. */
static void
fetch_begin(void *arg)
{
	struct httpio_fetch *f = arg;
	struct cluster_backend *b = f->b;
	guint runs;

	if (!b->up) {
		fetch_fail(f, PT_ERROR_UNREACHABLE, "connection refused");
		fetch_unref(f);
		return;
	}
	if (b->shed) {
		f->head.status = 503;
		f->head.headers[0] =
		    (struct httpio_header){ "Pt-Not-Run", "true" };
		f->head.n_headers = 1;
		while (f->body->len < b->response_len)
			g_string_append_c(f->body, 'x');
		head_schedule(f, BACKEND_US);
		fetch_unref(f);
		return;
	}
	g_hash_table_add(cluster.ran_serials, GUINT_TO_POINTER(f->serial));
	b->last_start = cluster.now;
	if (f->key != NULL) {
		runs =
		    GPOINTER_TO_UINT(g_hash_table_lookup(cluster.runs, f->key));
		cluster.repeated_keys += runs > 0;
		g_hash_table_insert(
		    cluster.runs, g_strdup(f->key), GUINT_TO_POINTER(runs + 1));
	}
	f->running = TRUE;
	f->ends = b->ends;
	b->running++;
	b->most_running = MAX(b->most_running, b->running);
	cluster_schedule(
	    b->service_us, CLUSTER_NO_NODE, fetch_finish, fetch_unref, f);
}

struct httpio_backend *
httpio_backend_new(const struct httpio_backend_opts *o, GError **err)
{
	struct httpio_backend *k = g_new0(struct httpio_backend, 1);

	k->b = &cluster.nodes[cluster.current].b;
	return k;
}

void
httpio_backend_free(struct httpio_backend *k)
{
	g_free(k);
}

struct httpio_check {
	struct cluster_backend *b;
	void (*cb)(void *arg, gboolean up);
	void *arg;
	guint event;
};

static void
check_run(void *arg)
{
	struct httpio_check *c = arg;
	struct httpio_check copy = *c;

	g_free(c);
	copy.cb(copy.arg, copy.b->up);
}

struct httpio_check *
httpio_check(const struct httpio_backend *k, void (*cb)(void *arg, gboolean up),
    void *arg)
{
	struct httpio_check *c = g_new0(struct httpio_check, 1);

	c->b = k->b;
	c->cb = cb;
	c->arg = arg;
	c->event = cluster_schedule(
	    BACKEND_US, (gint)k->b->index, check_run, g_free, c);
	return c;
}

void
httpio_check_cancel(struct httpio_check *c)
{
	if (c != NULL)
		cluster_unschedule(c->event);
}

struct httpio_fetch *
httpio_fetch(struct httpio_backend *k, const struct httpio_call *c,
    httpio_head_cb cb, void *arg)
{
	struct httpio_fetch *f = g_new0(struct httpio_fetch, 1);
	guint i;

	f->refs = 2; /* held by the node and by the event fetch_begin() */
	f->b = k->b;
	f->head_cb = cb;
	f->head_arg = arg;
	f->body = g_string_new(NULL);
	f->deadly =
	    f->b->ends_at != NULL && g_str_has_prefix(c->path, f->b->ends_at);
	if (f->b->paths != NULL && !g_str_has_prefix(c->path, f->b->paths))
		f->b->foreign++;
	f->b->organisation[0] = '\0';
	for (i = 0; i < c->n_headers; i++) {
		cluster_check_leak(
		    c->headers[i].value, strlen(c->headers[i].value));
		if (g_ascii_strcasecmp(c->headers[i].name, "Pt-Organisation") ==
		    0)
			g_strlcpy(f->b->organisation, c->headers[i].value,
			    sizeof(f->b->organisation));
		if (strcmp(c->headers[i].name, "Idempotency-Key") == 0)
			f->key = g_strdup(c->headers[i].value);
		if (strcmp(c->headers[i].name, "Pt-Request-Id") == 0)
			f->serial = (guint)atoi(c->headers[i].value);
	}
	cluster_schedule(
	    BACKEND_US, CLUSTER_NO_NODE, fetch_begin, fetch_unref, f);
	return f;
}

void
httpio_fetch_read(struct httpio_fetch *f, httpio_body_cb cb, void *arg)
{
	gsize n = MIN(f->body->len - f->sent, HTTPIO_CHUNK);
	const char *data = f->body->str + f->sent;
	gboolean more;
	GError *err = NULL;

	f->sent += n;
	more = f->sent < f->body->len;
	if (f->b->cut_response && f->sent > HTTPIO_CHUNK)
		err = g_error_new_literal(PT_ERROR, PT_ERROR_UNKNOWN,
		    "connection closed within the response body");
	more = more && err == NULL;
	if (err != NULL || !more)
		f->released = TRUE;
	cb(arg, err == NULL ? data : NULL, err == NULL ? n : 0, more, err);
	if (err != NULL || !more)
		fetch_unref(f);
	g_clear_error(&err);
}

void
httpio_fetch_cancel(struct httpio_fetch *f)
{
	if (f->running)
		f->b->cancelled++;
	release_slot(f);
	f->released = TRUE;
	fetch_unref(f);
}

/* ---- the log ---- */

struct httpio_log {
	gint owner;
	struct httpio_log_stats stats;
	GPtrArray *open; /* struct log_req without a response */
};

struct log_req {
	guint refs;
	struct httpio_log *log; /* NULL: has a response, or log freed */
	gint owner;
	char *stream;
	GBytes *record;
	pt_append_cb append_cb;
	pt_read_cb read_cb;
	void *arg;
	gint64 from, due, offset;
	guint max;
	int code; /* 0: success */
};

static GPtrArray *waiting_reads; /* long polls: reads that wait for a record */

struct httpio_log *
httpio_log_new(const struct httpio_log_opts *o, GError **err)
{
	struct httpio_log *l = g_new0(struct httpio_log, 1);

	l->owner = cluster.current;
	l->open = g_ptr_array_new();
	return l;
}

static void
log_unref(void *arg)
{
	struct log_req *r = arg;

	if (--r->refs > 0)
		return;
	g_free(r->stream);
	g_clear_pointer(&r->record, g_bytes_unref);
	g_free(r);
}

static struct cluster_stream *
stream_get(const char *name)
{
	struct cluster_stream *s =
	    g_hash_table_lookup(cluster.log.streams, name);

	if (s != NULL)
		return s;
	s = g_new0(struct cluster_stream, 1);
	s->records =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	s->oldest = 1;
	g_hash_table_insert(cluster.log.streams, g_strdup(name), s);
	return s;
}

static void
respond_read(struct log_req *r, const GError *err)
{
	struct cluster_stream *s = stream_get(r->stream);
	struct pt_batch b = { s->oldest, s->oldest + s->records->len, NULL, 0 };
	struct pt_record *e;
	gint64 n = 0, i;

	if (err == NULL && r->from >= s->oldest)
		n = CLAMP(b.next - r->from, 0, (gint64)r->max);
	e = g_new0(struct pt_record, n + 1);
	for (i = 0; i < n; i++) {
		e[i].offset = r->from + i;
		e[i].data = s->records->pdata[r->from + i - s->oldest];
	}
	b.entries = e;
	b.n_entries = (guint)n;
	r->read_cb(r->arg, err == NULL ? &b : NULL, err);
	g_free(e);
}

static void
log_end(struct log_req *r)
{
	GError *err = NULL;

	if (r->log == NULL)
		return;
	g_ptr_array_remove_fast(r->log->open, r);
	r->log = NULL;
	if (r->code != 0)
		err = g_error_new_literal(
		    PT_ERROR, r->code, "injected log fault");
	if (r->append_cb != NULL)
		r->append_cb(r->arg, r->offset, err);
	else
		respond_read(r, err);
	g_clear_error(&err);
	log_unref(r);
}

static void
log_respond(void *arg)
{
	log_end(arg);
	log_unref(arg);
}

static void
log_reply(struct log_req *r, gint64 delay, int code)
{
	r->code = code;
	r->refs++;
	cluster_schedule(delay, r->owner, log_respond, log_unref, r);
}

void
httpio_log_free(struct httpio_log *l)
{
	struct log_req *r;

	while (l->open->len > 0) {
		r = l->open->pdata[0];
		r->code = PT_ERROR_UNKNOWN;
		log_end(r);
	}
	g_ptr_array_unref(l->open);
	g_free(l);
}

static void
respond_waiting(const char *stream)
{
	struct log_req *r;
	guint i;

	for (i = waiting_reads->len; i > 0; i--) {
		r = waiting_reads->pdata[i - 1];
		if (strcmp(r->stream, stream) != 0)
			continue;
		g_ptr_array_remove_index_fast(waiting_reads, i - 1);
		log_reply(r, LOG_US + cluster.log.slow_us, 0);
		log_unref(r);
	}
}

gint64
cluster_append(const char *stream, GBytes *record)
{
	struct cluster_stream *s = stream_get(stream);

	g_ptr_array_add(s->records, g_bytes_ref(record));
	respond_waiting(stream);
	return s->oldest + s->records->len - 1;
}

void
cluster_trim(const char *stream, gint64 oldest)
{
	struct cluster_stream *s = stream_get(stream);

	while (s->oldest < oldest && s->records->len > 0) {
		g_ptr_array_remove_index(s->records, 0);
		s->oldest++;
	}
}

gint64
cluster_appended(const char *stream)
{
	struct cluster_stream *s = stream_get(stream);

	return s->oldest - 1 + s->records->len;
}

guint
cluster_count_id(const pt_id id)
{
	struct cluster_stream *s = stream_get("config");
	struct pt_change c;
	const void *data;
	guint i, n = 0;
	gsize len;

	for (i = 0; i < s->records->len; i++) {
		data = g_bytes_get_data(s->records->pdata[i], &len);
		memset(&c, 0, sizeof(c));
		if (!pt_decode(
			(xdrproc_t)xdr_pt_change, &c, sizeof(c), data, len))
			continue;
		n += memcmp(c.id, id, sizeof(pt_id)) == 0;
		xdr_free((xdrproc_t)xdr_pt_change, (char *)&c);
	}
	return n;
}

static void
append_run(void *arg)
{
	struct log_req *r = arg;
	gint64 delay = LOG_US + cluster.log.slow_us;

	cluster.log.requests++;
	if (cluster.log.down || cluster.log.refuse > 0) {
		cluster.log.refuse -= cluster.log.refuse > 0;
		log_reply(r, LOG_US, PT_ERROR_UNREACHABLE);
	} else {
		r->offset = cluster_append(r->stream, r->record);
		if (cluster.log.lose_responses > 0) {
			cluster.log.lose_responses--;
			log_reply(r, LOG_US, PT_ERROR_UNKNOWN);
		} else if (delay > LOG_TIMEOUT_US) {
			log_reply(r, LOG_TIMEOUT_US, PT_ERROR_UNKNOWN);
		} else {
			log_reply(r, delay, 0);
		}
	}
	log_unref(r);
}

static void
read_due(void *arg)
{
	struct log_req *r = arg;

	if (g_ptr_array_remove_fast(waiting_reads, r)) {
		log_reply(r, LOG_US, 0);
		log_unref(r);
	}
	log_unref(r);
}

static void
read_run(void *arg)
{
	struct log_req *r = arg;
	struct cluster_stream *s = stream_get(r->stream);
	gint64 delay = LOG_US + cluster.log.slow_us;

	cluster.log.requests++;
	if (cluster.log.down) {
		log_reply(r, LOG_US, PT_ERROR_UNREACHABLE);
	} else if (delay > LOG_TIMEOUT_US) {
		log_reply(r, LOG_TIMEOUT_US, PT_ERROR_UNKNOWN);
	} else if (r->from < s->oldest + s->records->len ||
		   r->due <= cluster.now) {
		log_reply(r, delay, 0);
	} else {
		r->refs += 2;
		g_ptr_array_add(waiting_reads, r);
		cluster_schedule(r->due - cluster.now, CLUSTER_NO_NODE,
		    read_due, log_unref, r);
	}
	log_unref(r);
}

static struct log_req *
log_req_new(struct httpio_log *l, const char *stream, void *arg)
{
	struct log_req *r = g_new0(struct log_req, 1);

	if (waiting_reads == NULL)
		waiting_reads = g_ptr_array_new();
	r->refs = 2;
	r->log = l;
	r->owner = l->owner;
	r->stream = g_strdup(stream);
	r->arg = arg;
	l->stats.requests++;
	g_ptr_array_add(l->open, r);
	return r;
}

static void
log_send(struct log_req *r, void (*run)(void *))
{
	if (cluster.nodes[r->owner].log_cut) {
		log_reply(r, LOG_CUT_US, PT_ERROR_UNREACHABLE);
		log_unref(r);
		return;
	}
	cluster_schedule(LOG_US, CLUSTER_NO_NODE, run, log_unref, r);
}

static void
log_append(
    void *ctx, const char *stream, GBytes *record, pt_append_cb cb, void *arg)
{
	struct log_req *r = log_req_new(ctx, stream, arg);

	r->record = g_bytes_ref(record);
	r->append_cb = cb;
	log_send(r, append_run);
}

static void
log_read(void *ctx, const char *stream, gint64 from, guint max, guint wait_ms,
    pt_read_cb cb, void *arg)
{
	struct log_req *r = log_req_new(ctx, stream, arg);

	r->from = from;
	r->max = max;
	r->due = cluster.now + (gint64)wait_ms * CLUSTER_MS;
	r->read_cb = cb;
	log_send(r, read_run);
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
