/*
 * HTTP server of the log stand-in:
 *
 *   POST /v1/streams/NAME
 *       Appends a record; responds {"offset":N}.
 *
 *   GET /v1/streams/NAME?from=N&max=M&wait_ms=W
 *       Reads up to M records from offset N; waits up to W ms for the first.
 *
 *   POST /v1/faults?NAME=N or {"NAME":N}
 *       Sets a fault of struct faults.
 *
 *   POST /v1/faults?trim=N[&stream=NAME]
 *       Drops all but the newest N records.
 *
 *   GET /metrics
 *       Counters.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <sys/queue.h>
#include <libsoup/soup.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "mesh.h"
#include "ptlog.h"

#define STREAMS "/v1/streams/"
#define WAIT_MAX_MS 60000
/* Interval at which expired records are dropped. */
#define SWEEP_US (G_USEC_PER_SEC / 10)

struct log_http {
	struct log_opts o;
	SoupServer *server;
	struct faults faults;
	guint64 count[COUNT_MAX];
	guint64 bytes_in, bytes_out;
	double tokens; /* appends allowed now */
	gint64 refill_us;
	guint sweep;
};

/* A paused request: a long poll, or delayed by a fault. */
struct wait {
	TAILQ_ENTRY(wait) link;
	struct log_http *h;
	struct stream *stream; /* long poll only */
	SoupServerMessage *msg;
	gint64 from;
	guint max;
	guint timer;
	char *name; /* stream of a request that was delayed before handling */
};

static const char *const count_names[] = { "append", "append_refused",
	"append_lost", "read", "read_empty", "read_trimmed", "down", "bad" };

static void
respond_error(
    struct log_http *h, SoupServerMessage *m, guint status, const char *why)
{
	char *s;

	s = g_strdup_printf("{\"error\":\"%s\"}\n", why);
	soup_server_message_set_status(m, status, NULL);
	soup_server_message_set_response(
	    m, "application/json", SOUP_MEMORY_TAKE, s, strlen(s));
}

/* Closes the connection without a response. */
static void
close_unanswered(SoupServerMessage *m)
{
	GSocket *s = soup_server_message_get_socket(m);

	soup_server_message_set_status(m, 500, NULL);
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(m), "Connection", "close");
	if (s != NULL)
		g_socket_shutdown(s, TRUE, TRUE, NULL);
}

static gint64
query_int(GHashTable *q, const char *name, gint64 def)
{
	const char *s = q != NULL ? g_hash_table_lookup(q, name) : NULL;

	return s != NULL ? g_ascii_strtoll(s, NULL, 10) : def;
}

static void
answer_batch(struct log_http *h, struct stream *s, SoupServerMessage *m,
    gint64 from, guint max)
{
	GBytes *b;
	gsize n;
	const void *p;
	gboolean trimmed = from < stream_oldest(s);

	if (trimmed)
		h->count[COUNT_READ_TRIMMED]++;
	else if (from >= s->next)
		h->count[COUNT_READ_EMPTY]++;
	b = stream_batch(s, from, max);
	p = g_bytes_get_data(b, &n);
	h->bytes_out += n;
	soup_server_message_set_status(m,
	    trimmed ? SOUP_STATUS_REQUESTED_RANGE_NOT_SATISFIABLE : 200, NULL);
	soup_server_message_set_response(
	    m, "application/octet-stream", SOUP_MEMORY_COPY, p, n);
	g_bytes_unref(b);
}

static void
wait_free(struct wait *w)
{
	sys_cancel(&w->timer);
	if (w->stream != NULL)
		TAILQ_REMOVE(&w->stream->waits, w, link);
	g_object_unref(w->msg);
	g_free(w->name);
	g_free(w);
}

static void
wait_answer(struct wait *w)
{
	answer_batch(w->h, w->stream, w->msg, w->from, w->max);
	soup_server_message_unpause(w->msg);
	wait_free(w);
}

static void
wait_timeout(void *arg)
{
	struct wait *w = arg;

	w->timer = 0;
	wait_answer(w);
}

static struct wait *
wait_new(
    struct log_http *h, SoupServerMessage *m, gint64 ms, void (*cb)(void *))
{
	struct wait *w;

	w = g_new0(struct wait, 1);
	w->h = h;
	w->msg = g_object_ref(m);
	w->timer = sys_after(ms * 1000, cb, w);
	soup_server_message_pause(m);
	return w;
}

static void
answer_waits(struct stream *s)
{
	struct wait *w, *next;

	for (w = TAILQ_FIRST(&s->waits); w != NULL; w = next) {
		next = TAILQ_NEXT(w, link);
		if (w->from < s->next)
			wait_answer(w);
	}
}

static void
read_stream(
    struct log_http *h, struct stream *s, SoupServerMessage *m, GHashTable *q)
{
	struct wait *w;
	gint64 from, wait_ms;
	guint max;

	h->count[COUNT_READ]++;
	from = query_int(q, "from", 1);
	max = CLAMP(query_int(q, "max", PT_ENTRIES_MAX), 1, PT_ENTRIES_MAX);
	wait_ms = CLAMP(query_int(q, "wait_ms", 0), 0, WAIT_MAX_MS);
	if (from < s->next || wait_ms == 0) {
		answer_batch(h, s, m, from, max);
		return;
	}
	w = wait_new(h, m, wait_ms, wait_timeout);
	w->stream = s;
	w->from = from;
	w->max = max;
	TAILQ_INSERT_TAIL(&s->waits, w, link);
}

/* Token bucket of appends; bursts may use the tokens of one second. */
static gboolean
rate_allow(struct log_http *h)
{
	gint64 now = pt_now(&sys_clock);

	h->tokens += (double)(now - h->refill_us) * h->o.per_second / 1e6;
	h->tokens = MIN(h->tokens, h->o.per_second);
	h->refill_us = now;
	if (h->tokens < 1)
		return FALSE;
	h->tokens--;
	return TRUE;
}

static void
send_delayed(void *arg)
{
	struct wait *w = arg;

	w->timer = 0;
	soup_server_message_unpause(w->msg);
	wait_free(w);
}

static void
append(struct log_http *h, struct stream *s, SoupServerMessage *m)
{
	GBytes *b;
	char *text;
	gint64 off;

	b = soup_message_body_flatten(soup_server_message_get_request_body(m));
	if (g_bytes_get_size(b) > (gsize)h->o.max_record) {
		h->count[COUNT_APPEND_REFUSED]++;
		respond_error(h, m, 413, "record too large");
	} else if (!rate_allow(h)) {
		h->count[COUNT_APPEND_REFUSED]++;
		respond_error(h, m, 429, "too many appends");
	} else if (h->faults.lose_requests > 0) {
		h->faults.lose_requests--;
		close_unanswered(m);
	} else {
		h->count[COUNT_APPEND]++;
		h->bytes_in += g_bytes_get_size(b);
		off = stream_append(s, pt_now(&sys_clock), b);
		stream_expire(s, 0, h->o.store->retention_count);
		text =
		    g_strdup_printf("{\"offset\":%" G_GINT64_FORMAT "}\n", off);
		soup_server_message_set_status(m, 200, NULL);
		soup_server_message_set_response(m, "application/json",
		    SOUP_MEMORY_TAKE, text, strlen(text));
		answer_waits(s);
		if (h->faults.lose_answers > 0) {
			h->faults.lose_answers--;
			h->count[COUNT_APPEND_LOST]++;
			close_unanswered(m);
		} else if (h->faults.slow_answer_ms > 0) {
			wait_new(h, m, h->faults.slow_answer_ms, send_delayed);
		}
	}
	g_bytes_unref(b);
}

static void
expire(struct log_http *h, struct stream *s)
{
	stream_expire(s, pt_now(&sys_clock) - h->o.store->retention_us,
	    h->o.store->retention_count);
}

static void
handle(struct log_http *h, SoupServerMessage *m, const char *name)
{
	const char *method = soup_server_message_get_method(m);
	const char *query;
	struct stream *s;
	GHashTable *q = NULL;

	if (h->faults.down) {
		h->count[COUNT_DOWN]++;
		respond_error(h, m, 503, "down");
		return;
	}
	s = store_stream(h->o.store, name);
	expire(h, s);
	if (strcmp(method, "POST") == 0) {
		append(h, s, m);
		return;
	}
	if (strcmp(method, "GET") != 0) {
		h->count[COUNT_BAD]++;
		respond_error(h, m, 405, "use GET or POST");
		return;
	}
	query = g_uri_get_query(soup_server_message_get_uri(m));
	if (query != NULL)
		q = soup_form_decode(query);
	read_stream(h, s, m, q);
	if (q != NULL)
		g_hash_table_destroy(q);
}

static void
handle_delayed(void *arg)
{
	struct wait *w = arg;
	SoupServerMessage *m = g_object_ref(w->msg);
	struct log_http *h = w->h;
	char *name = g_steal_pointer(&w->name);

	w->timer = 0;
	wait_free(w);
	soup_server_message_unpause(m);
	handle(h, m, name); /* may pause the message again */
	g_free(name);
	g_object_unref(m);
}

static gboolean
valid_name(const char *s)
{
	gsize i, n = strlen(s);

	for (i = 0; i < n; i++)
		if (!g_ascii_isalnum(s[i]) && s[i] != '-' && s[i] != '_')
			return FALSE;
	return n > 0 && n <= PT_NAME_MAX;
}

static void
on_stream(SoupServer *server, SoupServerMessage *m, const char *path,
    GHashTable *q, gpointer p)
{
	struct log_http *h = p;
	const char *name = path + strlen(STREAMS);

	mesh_ignore_leak(soup_server_message_get_socket(m));
	if (!g_str_has_prefix(path, STREAMS) || !valid_name(name)) {
		h->count[COUNT_BAD]++;
		respond_error(h, m, 404, "use " STREAMS "NAME");
		return;
	}
	if (h->faults.slow_ms > 0) {
		wait_new(h, m, h->faults.slow_ms, handle_delayed)->name =
		    g_strdup(name);
		return;
	}
	handle(h, m, name);
}

static void
trim(struct log_http *h, const char *stream, guint keep)
{
	GHashTableIter it;
	gpointer s;

	g_hash_table_iter_init(&it, h->o.store->streams);
	while (g_hash_table_iter_next(&it, NULL, &s))
		if (stream == NULL ||
		    strcmp(stream, ((struct stream *)s)->name) == 0)
			stream_expire(s, 0, keep);
}

static gboolean
set_fault(struct log_http *h, const char *name, int v, const char *stream)
{
	struct faults *f = &h->faults;
	struct {
		const char *name;
		int *value;
	} set[] = { { "down", &f->down }, { "slow_ms", &f->slow_ms },
		{ "slow_answer_ms", &f->slow_answer_ms },
		{ "lose_answers", &f->lose_answers },
		{ "lose_requests", &f->lose_requests } };
	guint i;

	if (strcmp(name, "trim") == 0)
		trim(h, stream, MAX(v, 0));
	else if (strcmp(name, "stream") != 0) {
		for (i = 0; i < G_N_ELEMENTS(set); i++)
			if (strcmp(name, set[i].name) == 0)
				break;
		if (i == G_N_ELEMENTS(set))
			return FALSE;
		*set[i].value = MAX(v, 0);
	}
	return TRUE;
}

/* Adds the members of a JSON object in the body to the query as text. */
static void
add_json(GHashTable *q, SoupServerMessage *m)
{
	JsonParser *p = json_parser_new();
	GBytes *b;
	GList *l, *names;
	JsonObject *o;
	JsonNode *n;
	GValue v = G_VALUE_INIT, s = G_VALUE_INIT;

	b = soup_message_body_flatten(soup_server_message_get_request_body(m));
	if (g_bytes_get_size(b) > 0 &&
	    json_parser_load_from_data(
		p, g_bytes_get_data(b, NULL), g_bytes_get_size(b), NULL) &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(p))) {
		o = json_node_get_object(json_parser_get_root(p));
		names = json_object_get_members(o);
		for (l = names; l != NULL; l = l->next) {
			n = json_object_get_member(o, l->data);
			if (!JSON_NODE_HOLDS_VALUE(n))
				continue;
			json_node_get_value(n, &v);
			g_value_init(&s, G_TYPE_STRING);
			g_value_transform(&v, &s);
			g_hash_table_insert(
			    q, g_strdup(l->data), g_value_dup_string(&s));
			g_value_unset(&v);
			g_value_unset(&s);
		}
		g_list_free(names);
	}
	g_bytes_unref(b);
	g_object_unref(p);
}

static void
on_faults(SoupServer *server, SoupServerMessage *m, const char *path,
    GHashTable *q, gpointer p)
{
	struct log_http *h = p;
	GHashTable *all;
	GHashTableIter it;
	gpointer k, v;

	mesh_ignore_leak(soup_server_message_get_socket(m));
	all = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (q != NULL) {
		g_hash_table_iter_init(&it, q);
		while (g_hash_table_iter_next(&it, &k, &v))
			g_hash_table_insert(all, g_strdup(k), g_strdup(v));
	}
	add_json(all, m);
	soup_server_message_set_status(m, 204, NULL);
	g_hash_table_iter_init(&it, all);
	while (g_hash_table_iter_next(&it, &k, &v))
		if (!set_fault(h, k, (int)g_ascii_strtoll(v, NULL, 10),
			g_hash_table_lookup(all, "stream")))
			respond_error(h, m, 400, "unknown fault");
	g_hash_table_destroy(all);
}

static void
on_metrics(SoupServer *server, SoupServerMessage *m, const char *path,
    GHashTable *q, gpointer p)
{
	struct log_http *h = p;
	GHashTableIter it;
	GString *s;
	gpointer st;
	guint i;

	mesh_ignore_leak(soup_server_message_get_socket(m));
	s = g_string_new(NULL);
	for (i = 0; i < COUNT_MAX; i++)
		g_string_append_printf(s,
		    "ptlog_requests_total{kind=\"%s\"} %" G_GUINT64_FORMAT "\n",
		    count_names[i], h->count[i]);
	g_string_append_printf(s,
	    "ptlog_bytes_total{direction=\"in\"} %" G_GUINT64_FORMAT "\n"
	    "ptlog_bytes_total{direction=\"out\"} %" G_GUINT64_FORMAT "\n",
	    h->bytes_in, h->bytes_out);
	g_hash_table_iter_init(&it, h->o.store->streams);
	while (g_hash_table_iter_next(&it, NULL, &st))
		g_string_append_printf(s,
		    "ptlog_next_offset{stream=\"%s\"} %" G_GINT64_FORMAT "\n",
		    ((struct stream *)st)->name, ((struct stream *)st)->next);
	soup_server_message_set_status(m, 200, NULL);
	i = s->len;
	soup_server_message_set_response(m, "text/plain; version=0.0.4",
	    SOUP_MEMORY_TAKE, g_string_free(s, FALSE), i);
}

static void
sweep(void *arg)
{
	struct log_http *h = arg;
	GHashTableIter it;
	gpointer s;

	g_hash_table_iter_init(&it, h->o.store->streams);
	while (g_hash_table_iter_next(&it, NULL, &s))
		expire(h, s);
	h->sweep = sys_after(SWEEP_US, sweep, h);
}

struct log_http *
log_http_new(const struct log_opts *o, GError **err)
{
	struct log_http *h;
	GSocketAddress *a;
	gboolean ok;

	h = g_new0(struct log_http, 1);
	h->o = *o;
	h->tokens = o->per_second;
	h->refill_us = pt_now(&sys_clock);
	h->server = soup_server_new("server-header", "ptlog ", NULL);
	soup_server_add_handler(h->server, STREAMS, on_stream, h, NULL);
	soup_server_add_handler(h->server, "/v1/faults", on_faults, h, NULL);
	soup_server_add_handler(h->server, "/metrics", on_metrics, h, NULL);
	a = g_inet_socket_address_new_from_string(o->host, o->port);
	ok = a != NULL && soup_server_listen(h->server, a, 0, err);
	if (a == NULL)
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "setting host is \"%s\"; give an IP number", o->host);
	g_clear_object(&a);
	sweep(h);
	if (!ok)
		g_clear_pointer(&h, log_http_free);
	return h;
}

void
log_http_free(struct log_http *h)
{
	struct wait *w, *next;
	GHashTableIter it;
	struct stream *s;
	gpointer p;

	sys_cancel(&h->sweep);
	g_hash_table_iter_init(&it, h->o.store->streams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		s = p;
		for (w = TAILQ_FIRST(&s->waits); w != NULL; w = next) {
			next = TAILQ_NEXT(w, link);
			wait_free(w);
		}
	}
	soup_server_disconnect(h->server);
	g_object_unref(h->server);
	g_free(h);
}
