/*
 * Requests of callers: route, organisation, concurrency limit, deadline and
 * metrics.
 */
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
#include "entry.h"

#define KEYS_PATH "/.pt/keys"
#define LIMIT_RETRY_MS 1000
/* Retry-After of an ended node: Retry-After has whole seconds. */
#define ENDED_RETRY_MS 1000

const int entry_buckets_ms[ENTRY_BUCKETS] = { 1, 2, 5, 10, 20, 50, 100, 200,
	500, 1000, 2000, 5000 };

static void
series_free(gpointer p)
{
	struct series *s = p;

	g_free(s->service);
	g_free(s->rank);
	g_free(s);
}

/* A series is kept until the entry is freed, so a request may point to it. */
static struct series *
series_get(struct entry *e, const char *service, const char *rank)
{
	char name[2 * PT_NAME_MAX + 2];
	struct series *s;

	g_snprintf(name, sizeof(name), "%s %s", service, rank);
	s = g_hash_table_lookup(e->series, name);
	if (s != NULL)
		return s;
	s = g_new0(struct series, 1);
	s->service = g_strdup(service);
	s->rank = g_strdup(rank);
	g_hash_table_insert(e->series, g_strdup(name), s);
	return s;
}

static void
count_result(struct request *q, enum request_result r)
{
	struct series *s = q->series;
	gint64 us = pt_now(&q->entry->node->clock) - q->started;
	guint i;

	s->results[r]++;
	if (r != RESULT_RAN && r != RESULT_FAILED)
		return;
	if (r == RESULT_RAN && us <= q->target_ms * G_TIME_SPAN_MILLISECOND)
		s->good++;
	s->seconds += (double)us / G_USEC_PER_SEC;
	for (i = 0; i < ENTRY_BUCKETS; i++)
		if (us <= entry_buckets_ms[i] * G_TIME_SPAN_MILLISECOND)
			break;
	s->buckets[i]++;
}

void
request_finish(struct request *q, enum request_result r)
{
	guint i;

	sys_cancel(&q->timer);
	keyed_detach(q);
	/* The node that relayed the request counts it. */
	if (!q->relayed)
		count_result(q, r);
	if (q->counted)
		budget_end(q->entry->node->budget, q->series->service);
	TAILQ_REMOVE(&q->entry->requests, q, link);
	q->entry->active--;
	for (i = 0; i < q->n_tried; i++)
		g_free(q->tried[i]);
	g_free(q->org);
	g_free(q);
}

/*
 * The deadline passed.  An attempt without a key is cancelled; one with a key
 * goes on at the upstream, so that a late answer is still recorded for the key.
 */
static void
on_deadline(void *arg)
{
	struct request *q = arg;

	q->timer = 0;
	if (q->attempt != NULL) {
		keyed_end_attempt(q->attempt, IDEM_R_UNKNOWN, NULL);
		attempt_detach(q, LB_EXPIRED, q->key_text == NULL);
	}
	request_refuse(q, 504, PT_CALL_OUTCOME_UNKNOWN,
	    q->entry->node->end_at == q->deadline
		? "outcome unknown: this node ends before an answer came"
		: "outcome unknown: the deadline passed before an answer came",
	    0);
}

/*
 * The caller disconnected.  If the request makes the attempts for its key and
 * its answer has not begun, it goes on, so that a repeat with the key gets the
 * outcome.  Otherwise it is cancelled.
 */
static void
on_disconnect(void *arg)
{
	struct request *q = arg;

	q->req = NULL;
	if (q->dispatched && !q->headers_sent)
		return;
	if (q->attempt != NULL)
		attempt_detach(q, LB_CANCELLED, TRUE);
	request_finish(q, RESULT_CANCELLED);
}

static gboolean
safe_method(const char *m)
{
	return strcmp(m, "GET") == 0 || strcmp(m, "HEAD") == 0 ||
	       strcmp(m, "OPTIONS") == 0;
}

/*
 * Answers 428 with a key, with which the caller repeats the request.  A
 * stopping node issues no key and answers 503.
 */
static void
require_key(struct request *q)
{
	struct httpio_header h[3] = { { "Pt-Outcome", "not-run" },
		{ "Content-Type", "text/plain; charset=utf-8" },
		{ "Idempotency-Key", NULL } };
	static const char text[] =
	    "this request needs the header Idempotency-Key; repeat it with "
	    "the key in this answer, or get keys from POST " KEYS_PATH "\n";
	char *key;

	if (q->entry->node->stopping) {
		request_refuse(q, 503, PT_CALL_NOT_RUN,
		    "this node is leaving; get a key from another", 1000);
		return;
	}
	if (q->req == NULL) {
		request_refuse(q, 428, PT_CALL_NOT_RUN, text, 0);
		return;
	}
	key = keyed_new_key(q->entry);
	h[2].value = key;
	httpio_response(
	    g_steal_pointer(&q->req), 428, h, 3, text, strlen(text));
	g_free(key);
	q->entry->keys++;
	request_finish(q, RESULT_NOT_RUN);
}

/*
 * Fills in service, rank and deadline.  Refuses a request that lacks a needed
 * idempotency key or exceeds the concurrency limit; else passes a request with
 * a key to keyed_begin() and starts an attempt for any other.  May free the
 * request.
 */
static void
start_request(struct request *q, const struct conf_route *route,
    const struct conf_organisation *org, int remaining_ms)
{
	struct node *n = q->entry->node;
	const struct conf_rank *rank = route->rank;

	if (org != NULL && org->priority != NULL)
		rank = org->priority;
	q->series = series_get(q->entry, route->service_name, rank->res.name);
	q->target_ms = rank->target_ms;
	q->call.proto = PT_PROTO;
	q->call.from = n->set.instance;
	q->call.service = q->series->service;
	q->call.rank = q->series->rank;
	q->call.rank_order = rank->order;
	q->deadline =
	    deadline_begin(q->started, route->timeout_ms, remaining_ms);
	if (n->end_at != 0)
		q->deadline = MIN(q->deadline, n->end_at);
	if (route->idempotent || safe_method(q->call.method)) {
		q->key_text = NULL;
	} else if (q->key_text == NULL) {
		require_key(q);
		return;
	}
	if (!budget_begin(n->budget, q->series->service)) {
		request_refuse(q, 503, PT_CALL_NOT_RUN,
		    "this node's limit of concurrent calls to the service is "
		    "reached; retry later",
		    LIMIT_RETRY_MS);
		return;
	}
	q->counted = TRUE;
	q->timer = sys_after(q->deadline - q->started, on_deadline, q);
	if (q->key_text != NULL)
		keyed_begin(q);
	else
		attempt_start(q);
}

static struct request *
request_new(struct entry *e)
{
	struct request *q;

	q = g_new0(struct request, 1);
	q->entry = e;
	q->started = pt_now(&e->node->clock);
	TAILQ_INSERT_TAIL(&e->requests, q, link);
	e->active++;
	return q;
}

/*
 * Copies the caller's headers without its key, and replaces the name of the
 * organisation.  Returns their number.
 */
static guint
fill_headers(struct request *q, struct httpio_req *r)
{
	struct httpio_header h[PT_HEADERS_MAX];
	guint i, n, out = 0, max = PT_HEADERS_MAX - (q->org != NULL);

	n = httpio_req_headers(r, h, PT_HEADERS_MAX);
	for (i = 0; i < n && out < max; i++) {
		if (organisation_own_header(h[i].name))
			continue;
		q->headers[out].name = (char *)h[i].name;
		q->headers[out++].value = (char *)h[i].value;
	}
	if (q->org != NULL)
		organisation_fill_header(q->org, &q->headers[out++]);
	return out;
}

/* Fills in the call; its strings belong to the HTTP request. */
static void
fill_call(struct request *q, struct httpio_req *r)
{
	gsize len;

	q->call.method = (char *)httpio_req_method(r);
	q->call.path = (char *)httpio_req_path(r);
	q->call.headers.headers_val = q->headers;
	q->call.headers.headers_len = fill_headers(q, r);
	q->call.body.body_val = (char *)httpio_req_body(r, &len);
	q->call.body.body_len = (guint)len;
}

static void
refuse(struct entry *e, struct httpio_req *r, guint status, const char *text,
    int retry_ms)
{
	e->refused++;
	entry_reply_text(r, status, "not-run", text, retry_ms);
}

/* A request with a key may have run before its route was removed. */
static void
no_route(struct entry *e, struct httpio_req *r)
{
	const char *outcome = "not-run";

	if (httpio_req_header(r, "Idempotency-Key") != NULL)
		outcome = "unknown";
	e->refused++;
	entry_reply_text(r, 404, outcome,
	    "no route has this path; declare one with ptctl", 0);
}

static void
handle_own_path(struct entry *e, struct httpio_req *r, const char *path)
{
	if (strcmp(path, KEYS_PATH) != 0 &&
	    !g_str_has_prefix(path, KEYS_PATH "?"))
		refuse(e, r, 404, "no such path below /.pt" KEYS_PATH, 0);
	else if (strcmp(httpio_req_method(r), "POST") != 0)
		refuse(e, r, 405, "use POST to get keys", 0);
	else
		keyed_handle_issue(e, r);
}

/* Paths whose first segment is ".pt" are served by the node itself. */
static gboolean
is_own_path(const char *path)
{
	return strncmp(path, "/.pt", 4) == 0 &&
	       (path[4] == '\0' || path[4] == '/' || path[4] == '?');
}

static void
on_request(void *ctx, struct httpio_req *r)
{
	struct entry *e = ctx;
	const char *path = httpio_req_path(r);
	const struct conf_route *route = NULL;
	const struct conf_organisation *org;
	struct request *q;

	if (e->node->ended && !is_own_path(path)) {
		refuse(
		    e, r, 503, "this node ends; use another", ENDED_RETRY_MS);
		return;
	}
	if (!is_own_path(path))
		route = conf_route_match(e->node->conf, path);
	if (!organisation_identify(e, r, route != NULL && route->open, &org))
		return;
	if (is_own_path(path)) {
		handle_own_path(e, r, path);
		return;
	}
	if (route == NULL) {
		no_route(e, r);
		return;
	}
	if (strlen(httpio_req_method(r)) > 16) {
		refuse(e, r, 405, "the method's name is too long", 0);
		return;
	}
	q = request_new(e);
	q->req = r;
	q->org = org != NULL ? g_strdup(org->res.name) : NULL;
	fill_call(q, r);
	q->key_text = httpio_req_header(r, "Idempotency-Key");
	httpio_req_watch(r, on_disconnect, q);
	start_request(q, route, org,
	    deadline_parse(httpio_req_header(r, "Pt-Deadline-Ms")));
}

void
entry_handle_keyed(
    struct entry *e, struct rpcio_req *req, const struct pt_keyed_args *args)
{
	struct pt_answer a = { .proto = PT_PROTO,
		.status = PT_CALL_OUTCOME_UNKNOWN,
		.reason = (char *)"the owner of the key ends, or has no such "
				  "route; it may have run before" };
	const struct conf_route *route = NULL;
	const struct conf_organisation *org = NULL;
	const char *name;
	struct request *q;

	if (e->node->ready && !e->node->ended)
		route = conf_route_match(e->node->conf, args->call.path);
	if (route == NULL) {
		rpcio_reply(req, &a);
		return;
	}
	q = request_new(e);
	q->rpc_req = req;
	q->relayed = TRUE;
	q->call = args->call;
	q->call.key = NULL;
	q->key_text = args->key;
	/* The entry node has checked the key and set the name. */
	name = organisation_of_call(&args->call);
	if (name != NULL)
		org = conf_organisation(e->node->conf, name);
	start_request(q, route, org, MAX(args->call.deadline_ms, 0));
}

struct entry *
entry_new(struct node *n, GError **err)
{
	struct httpio_server_opts o = { .host = n->set.host,
		.port = (guint)n->set.http_port,
		.body_max = PT_CALL_BODY_MAX,
		.bind_only = TRUE,
		.request = on_request };
	struct entry *e;

	e = g_new0(struct entry, 1);
	e->node = n;
	o.ctx = e;
	TAILQ_INIT(&e->requests);
	TAILQ_INIT(&e->attempts);
	e->series =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, series_free);
	e->server = httpio_server_new(&o, err);
	if (e->server == NULL) {
		g_hash_table_unref(e->series);
		g_clear_pointer(&e, g_free);
	}
	return e;
}

/* Before this, connections are refused, so that callers use another node. */
void
entry_open(struct entry *e)
{
	GError *err = NULL;
	char *text;

	if (httpio_server_start(e->server, &err))
		return;
	text = sys_quote(err->message);
	pt_event(&e->node->events, PT_LEVEL_ERROR, "listen-failed", "reason=%s",
	    text);
	g_free(text);
	g_error_free(err);
}

void
entry_close(struct entry *e)
{
	httpio_server_close(e->server);
}

void
entry_drain(struct entry *e)
{
	httpio_server_drain(e->server);
}

static struct request *
next_to_recall(struct entry *e)
{
	struct request *q;

	for (q = TAILQ_FIRST(&e->requests); q != NULL; q = TAILQ_NEXT(q, link))
		if (!q->recalled && q->attempt != NULL && !q->headers_sent &&
		    q->deadline == e->node->end_at)
			return q;
	return NULL;
}

/* A request whose answer has begun is cut off at the end of the node. */
void
entry_limit(struct entry *e)
{
	gint64 now = pt_now(&e->node->clock), end = e->node->end_at;
	struct request *q, *next;

	for (q = TAILQ_FIRST(&e->requests); q != NULL; q = next) {
		next = TAILQ_NEXT(q, link);
		if (q->headers_sent || q->deadline <= end)
			continue;
		q->deadline = end;
		sys_cancel(&q->timer);
		q->timer = sys_after(end - now, on_deadline, q);
	}
	/* Taking one back may end others. */
	while ((q = next_to_recall(e)) != NULL) {
		q->recalled = TRUE;
		attempt_recall(q);
	}
}

void
entry_end(struct entry *e)
{
	struct request *q;

	while ((q = TAILQ_FIRST(&e->requests)) != NULL) {
		if (!q->headers_sent) {
			sys_cancel(&q->timer);
			on_deadline(q);
			continue;
		}
		httpio_abort(g_steal_pointer(&q->req));
		attempt_detach(q, LB_CANCELLED, TRUE);
		request_finish(q, RESULT_FAILED);
	}
}

guint
entry_active(const struct entry *e)
{
	return e->active;
}

guint
entry_connections(const struct entry *e)
{
	return httpio_server_connections(e->server);
}

/* Must run before the parts that requests use are freed. */
void
entry_free(struct entry *e)
{
	struct request *q, *next;

	if (e == NULL)
		return;
	httpio_server_free(e->server);
	/*
	 * First, so that the result of a key recorded below frees no other
	 * request.
	 */
	for (q = TAILQ_FIRST(&e->requests); q != NULL; q = TAILQ_NEXT(q, link))
		keyed_detach(q);
	for (q = TAILQ_FIRST(&e->requests); q != NULL; q = next) {
		next = TAILQ_NEXT(q, link);
		if (q->attempt != NULL)
			attempt_detach(q, LB_CANCELLED, TRUE);
		if (q->rpc_req != NULL)
			rpcio_fail(g_steal_pointer(&q->rpc_req));
		request_finish(q, RESULT_CANCELLED);
	}
	attempts_detach(e);
	g_hash_table_unref(e->series);
	g_free(e);
}

/* ---- metrics ---- */

static void
put_results(GString *out, const struct series *s)
{
	static const char *const names[RESULT_MAX] = { "ran", "failed",
		"not_run", "unknown", "cancelled" };
	guint i;

	for (i = 0; i < RESULT_MAX; i++)
		g_string_append_printf(out,
		    "ptnode_requests_total{service=\"%s\",rank=\"%s\","
		    "result=\"%s\"} %" G_GUINT64_FORMAT "\n",
		    s->service, s->rank, names[i], s->results[i]);
}

static void
put_totals(GString *out, const struct series *s)
{
	g_string_append_printf(out,
	    "ptnode_requests_good_total{service=\"%s\",rank=\"%s\"} "
	    "%" G_GUINT64_FORMAT "\n"
	    "ptnode_retries_total{service=\"%s\",rank=\"%s\"} "
	    "%" G_GUINT64_FORMAT "\n",
	    s->service, s->rank, s->good, s->service, s->rank, s->retries);
}

static void
put_latency(GString *out, const struct series *s)
{
	static const char name[] = "ptnode_request_seconds";
	guint64 sum = 0;
	guint i;

	for (i = 0; i < ENTRY_BUCKETS; i++) {
		sum += s->buckets[i];
		g_string_append_printf(out,
		    "%s_bucket{service=\"%s\",rank=\"%s\",le=\"%g\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    name, s->service, s->rank, entry_buckets_ms[i] / 1000.0,
		    sum);
	}
	sum += s->buckets[ENTRY_BUCKETS];
	g_string_append_printf(out,
	    "%s_bucket{service=\"%s\",rank=\"%s\",le=\"+Inf\"} "
	    "%" G_GUINT64_FORMAT "\n"
	    "%s_sum{service=\"%s\",rank=\"%s\"} %.6f\n"
	    "%s_count{service=\"%s\",rank=\"%s\"} %" G_GUINT64_FORMAT "\n",
	    name, s->service, s->rank, sum, name, s->service, s->rank,
	    s->seconds, name, s->service, s->rank, sum);
}

static void
put_all(struct entry *e, GString *out,
    void (*put)(GString *, const struct series *))
{
	GHashTableIter it;
	gpointer s;

	g_hash_table_iter_init(&it, e->series);
	while (g_hash_table_iter_next(&it, NULL, &s))
		put(out, s);
}

void
entry_metrics(struct entry *e, GString *out)
{
	g_string_append(out, "# TYPE ptnode_requests_total counter\n");
	put_all(e, out, put_results);
	g_string_append(out, "# TYPE ptnode_requests_good_total counter\n"
			     "# TYPE ptnode_retries_total counter\n");
	put_all(e, out, put_totals);
	g_string_append(out, "# TYPE ptnode_request_seconds histogram\n");
	put_all(e, out, put_latency);
	g_string_append_printf(out,
	    "# TYPE ptnode_requests_refused_total counter\n"
	    "ptnode_requests_refused_total %" G_GUINT64_FORMAT "\n"
	    "# TYPE ptnode_requests_unauthorised_total counter\n"
	    "ptnode_requests_unauthorised_total{reason=\"no-key\"} "
	    "%" G_GUINT64_FORMAT "\n"
	    "ptnode_requests_unauthorised_total{reason=\"unknown-key\"} "
	    "%" G_GUINT64_FORMAT "\n"
	    "# TYPE ptnode_requests_active gauge\nptnode_requests_active %u\n"
	    "# TYPE ptnode_caller_connections gauge\n"
	    "ptnode_caller_connections %u\n"
	    "# TYPE ptnode_keys_issued_total counter\n"
	    "ptnode_keys_issued_total %" G_GUINT64_FORMAT "\n"
	    "# TYPE ptnode_keys_relayed_total counter\n"
	    "ptnode_keys_relayed_total %" G_GUINT64_FORMAT "\n"
	    "# TYPE ptnode_keys_used gauge\nptnode_keys_used %u\n",
	    e->refused, e->without_key, e->unknown_key, e->active,
	    httpio_server_connections(e->server), e->keys, e->relayed,
	    idem_used(e->node->idem));
}
