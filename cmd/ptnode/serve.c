/*
 * Requests of entry nodes for the backend server beside this node: admission,
 * the run over HTTP, and the answer in chunks that are pulled.
 */
#include <glib.h>
#include <gio/gio.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
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

/* Calls that may wait for a slot, per rank. */
#define QUEUE_MAX 512
/*
 * Time for which no slots are reported after the backend server refused a
 * connection; the next announcement of a server that lives comes within it.
 */
#define REFUSED_US (1 * G_USEC_PER_SEC)

enum phase {
	PHASE_QUEUED,
	PHASE_RUNNING, /* the backend server has it */
	PHASE_STREAMING, /* answered, the body goes on */
	PHASE_OVER
};

struct work {
	struct adm_job job; /* first: the admission knows the work by it */
	TAILQ_ENTRY(work) link;
	struct serve *serve;
	guint64 conn;
	guint id;
	enum phase phase;
	gboolean in_slot;
	const struct pt_call *call; /* until it is answered */
	struct pt_call *own; /* copy of the call, or NULL */
	upstream_answer_cb answer; /* NULL: answered */
	void *answer_arg;
	upstream_pull_cb pull; /* NULL: none waits */
	void *pull_arg;
	struct httpio_fetch *fetch;
	guint timer; /* deadline */
	struct httpio_response head;
	char length[24]; /* Content-Length of the answer */
	GBytes *chunk; /* read ahead; NULL: none */
	gboolean more; /* after the chunk */
	gboolean failed; /* the backend server closed in mid-answer */
};

struct serve {
	struct node *node;
	struct adm *adm;
	struct sys_ticker *ticker;
	struct guard *guard;
	struct httpio_backend *backend;
	char *url;
	int conns;
	TAILQ_HEAD(works, work) works;
	GHashTable *by_id; /* struct work, its own key */
	gint64 refused_at; /* connection refused by the backend server, or 0 */
	guint64 ran, not_run, unknown, cancelled, cut, busy_us;
};

static guint
work_hash(gconstpointer p)
{
	const struct work *w = p;

	return (guint)w->conn * 2654435761U ^ w->id;
}

static gboolean
work_equal(gconstpointer a, gconstpointer b)
{
	const struct work *v = a, *w = b;

	return v->conn == w->conn && v->id == w->id;
}

static struct work *
work_find(struct serve *s, guint64 conn, guint id)
{
	struct work key = { .conn = conn, .id = id };

	return g_hash_table_lookup(s->by_id, &key);
}

static void
work_free(struct work *w)
{
	struct serve *s = w->serve;

	sys_cancel(&w->timer);
	TAILQ_REMOVE(&s->works, w, link);
	g_hash_table_remove(s->by_id, w);
	g_clear_pointer(&w->chunk, g_bytes_unref);
	if (w->own != NULL) {
		xdr_free((xdrproc_t)xdr_pt_call, (char *)w->own);
		g_free(w->own);
	}
	g_free(w);
}

/* Gives the slot back; other work may start meanwhile. */
static void
leave_slot(struct work *w)
{
	if (!w->in_slot || (PT_MUTANT(MUTANT_SLOT_LEAK) && w->answer != NULL))
		return;
	w->in_slot = FALSE;
	w->serve->busy_us +=
	    (guint64)(pt_now(&w->serve->node->clock) - w->job.started_at);
	adm_finish(w->serve->adm, &w->job);
}

static enum pt_state
own_state(const struct node *n)
{
	return (enum pt_state)memb_self(n->memb)->state;
}

static void
fill_load(struct serve *s, struct pt_load *l)
{
	adm_load(s->adm, l);
	l->state = own_state(s->node);
	if (s->refused_at != 0 &&
	    pt_now(&s->node->clock) - s->refused_at < REFUSED_US)
		l->slots = 0;
}

/* Hands the answer over; the call is no longer valid after that. */
static void
answer(struct work *w, struct pt_answer *a)
{
	upstream_answer_cb cb = w->answer;

	a->proto = PT_PROTO;
	a->id = w->id;
	if (a->reason == NULL)
		a->reason = (char *)"";
	fill_load(w->serve, &a->load);
	w->answer = NULL;
	w->call = NULL;
	if (cb != NULL)
		cb(w->answer_arg, a);
}

/* Ends a call without an answer of the backend server. */
static void
give_up(struct work *w, enum pt_call_status status, const char *reason)
{
	struct pt_answer a = { .status = status, .reason = (char *)reason };
	struct serve *s = w->serve;

	if (status == PT_CALL_NOT_RUN)
		s->not_run++;
	else
		s->unknown++;
	w->phase = PHASE_OVER;
	leave_slot(w);
	answer(w, &a);
	work_free(w);
}

/* Ends a started call that the backend server certainly did not run. */
static void
returned(struct work *w, const char *reason)
{
	if (w->call->key != NULL)
		guard_not_run(w->serve->guard, w->call->key);
	give_up(w, PT_CALL_NOT_RUN, reason);
}

/* Ends a call that was not started, leaving a tombstone for its attempt. */
static void
refuse(struct work *w, const char *reason)
{
	const struct pt_key *k = w->call->key;

	if (k == NULL || guard_refuse(w->serve->guard, k))
		give_up(w, PT_CALL_NOT_RUN, reason);
	else
		give_up(w, PT_CALL_OUTCOME_UNKNOWN,
		    "another copy of this attempt may have run");
}

static const char *
verdict_text(enum adm_verdict v)
{
	switch (v) {
	case ADM_LATE:
		return "the wait for a slot exceeds the remaining time";
	case ADM_FULL:
		return "the queue is full";
	case ADM_EXPIRED:
		return "the deadline passed before a slot was free";
	case ADM_CANCELLED:
		return "cancelled before it ran";
	default:
		return "the upstream does not serve";
	}
}

/* ---- the answer of the backend server ---- */

static void read_ahead(struct work *);

/* Hands a chunk to whoever waits for it; frees the work after the last. */
static void
deliver(struct work *w)
{
	struct pt_pull_res r = { .proto = PT_PROTO };
	upstream_pull_cb cb = w->pull;
	GBytes *chunk;
	gsize len = 0;

	if (cb == NULL || (w->chunk == NULL && !w->failed))
		return;
	chunk = g_steal_pointer(&w->chunk);
	r.failed = w->failed;
	r.more = w->more && !w->failed;
	if (chunk != NULL)
		r.body.body_val = (char *)g_bytes_get_data(chunk, &len);
	r.body.body_len = (guint)len;
	w->pull = NULL;
	cb(w->pull_arg, &r);
	g_clear_pointer(&chunk, g_bytes_unref);
	if (r.more)
		read_ahead(w);
	else
		work_free(w);
}

static void
on_chunk(
    void *arg, const char *data, gsize len, gboolean more, const GError *err)
{
	struct work *w = arg;

	w->more = more;
	w->failed = err != NULL;
	w->serve->cut += w->failed;
	if (err == NULL)
		w->chunk = g_bytes_new(data, len);
	if (!more) {
		w->fetch = NULL;
		leave_slot(w);
	}
	deliver(w);
}

static void
read_ahead(struct work *w)
{
	httpio_fetch_read(w->fetch, on_chunk, w);
}

/* A backend server that shed the request says so in a header. */
static gboolean
says_not_run(const struct httpio_response *h)
{
	guint i;

	if (h->status != 503)
		return FALSE;
	for (i = 0; i < h->n_headers; i++)
		if (g_ascii_strcasecmp(h->headers[i].name, "Pt-Not-Run") == 0)
			return strcmp(h->headers[i].value, "true") == 0;
	return FALSE;
}

/* The body's length, which a first chunk alone does not tell. */
static guint
fill_headers(struct work *w, struct pt_header *out, gboolean more)
{
	const struct httpio_response *h = &w->head;
	guint i, n = 0;

	for (i = 0; i < h->n_headers && n < PT_HEADERS_MAX - 1; i++) {
		out[n].name = (char *)h->headers[i].name;
		out[n++].value = (char *)h->headers[i].value;
	}
	if (h->length >= 0 && (more || strcmp(w->call->method, "HEAD") == 0)) {
		g_snprintf(w->length, sizeof(w->length), "%" G_GINT64_FORMAT,
		    h->length);
		out[n].name = (char *)"Content-Length";
		out[n++].value = w->length;
	}
	return n;
}

static void
on_first(
    void *arg, const char *data, gsize len, gboolean more, const GError *err)
{
	struct pt_header headers[PT_HEADERS_MAX];
	struct pt_answer a = { .status = PT_CALL_RAN };
	struct work *w = arg;

	if (!more)
		w->fetch = NULL;
	if (err != NULL) {
		give_up(w, PT_CALL_OUTCOME_UNKNOWN, err->message);
		return;
	}
	if (says_not_run(&w->head)) {
		if (more)
			httpio_fetch_cancel(g_steal_pointer(&w->fetch));
		returned(w, "the backend server is full");
		return;
	}
	a.http_status = w->head.status;
	a.headers.headers_val = headers;
	a.headers.headers_len = fill_headers(w, headers, more);
	a.more = more;
	a.body.body_val = (char *)data;
	a.body.body_len = (guint)len;
	w->serve->ran++;
	w->phase = more ? PHASE_STREAMING : PHASE_OVER;
	answer(w, &a);
	if (more) {
		read_ahead(w);
		return;
	}
	leave_slot(w);
	work_free(w);
}

static void
on_head(void *arg, const struct httpio_response *a, const GError *err)
{
	struct work *w = arg;

	w->serve->refused_at = 0;
	if (g_error_matches(err, PT_ERROR, PT_ERROR_UNREACHABLE))
		w->serve->refused_at = pt_now(&w->serve->node->clock);
	if (err != NULL) {
		w->fetch = NULL;
		if (g_error_matches(err, PT_ERROR, PT_ERROR_UNREACHABLE) ||
		    PT_MUTANT(MUTANT_LOST_AS_NOT_RUN))
			returned(w, err->message);
		else
			give_up(w, PT_CALL_OUTCOME_UNKNOWN, err->message);
		return;
	}
	sys_cancel(&w->timer);
	w->head = *a;
	httpio_fetch_read(w->fetch, on_first, w);
}

/* ---- the run ---- */

static void
on_deadline(void *arg)
{
	struct work *w = arg;

	w->timer = 0;
	httpio_fetch_cancel(g_steal_pointer(&w->fetch));
	give_up(w, PT_CALL_OUTCOME_UNKNOWN,
	    "the deadline passed while the request ran");
}

static gboolean
forwarded(const char *name)
{
	return g_ascii_strcasecmp(name, "Pt-Deadline-Ms") != 0 &&
	       g_ascii_strcasecmp(name, "Host") != 0;
}

static void
run(struct work *w)
{
	struct httpio_header headers[PT_HEADERS_MAX + 1];
	const struct pt_call *k = w->call;
	struct httpio_call c = { .method = k->method,
		.path = k->path,
		.headers = headers,
		.body = k->body.body_val,
		.body_len = k->body.body_len,
		.once = k->key != NULL };
	gint64 now = pt_now(&w->serve->node->clock);
	char left[16];
	guint i;

	for (i = 0; i < k->headers.headers_len; i++) {
		if (!forwarded(k->headers.headers_val[i].name))
			continue;
		headers[c.n_headers].name = k->headers.headers_val[i].name;
		headers[c.n_headers++].value = k->headers.headers_val[i].value;
	}
	g_snprintf(left, sizeof(left), "%d",
	    deadline_left_ms(now, w->job.deadline, 0));
	headers[c.n_headers].name = "Pt-Deadline-Ms";
	headers[c.n_headers++].value = left;
	w->phase = PHASE_RUNNING;
	w->timer = sys_after(w->job.deadline - now, on_deadline, w);
	w->fetch = httpio_fetch(w->serve->backend, &c, on_head, w);
}

static void
on_start(void *ctx, struct adm_job *j)
{
	struct work *w = (struct work *)j;
	struct serve *s = ctx;

	w->in_slot = TRUE;
	if (s->backend == NULL) {
		refuse(w, "the upstream does not serve");
		return;
	}
	if (w->call->key != NULL && !guard_start(s->guard, w->call->key)) {
		give_up(w, PT_CALL_OUTCOME_UNKNOWN,
		    "another copy of this attempt may have run");
		return;
	}
	run(w);
}

static void
on_drop(void *ctx, struct adm_job *j, enum adm_verdict why)
{
	refuse((struct work *)j, verdict_text(why));
}

static struct pt_call *
call_copy(const struct pt_call *c)
{
	struct pt_call *copy = g_new0(struct pt_call, 1);
	GBytes *b;
	gsize n;
	const void *p;

	b = pt_encode((xdrproc_t)xdr_pt_call, c);
	p = b != NULL ? g_bytes_get_data(b, &n) : NULL;
	if (p == NULL ||
	    !pt_decode((xdrproc_t)xdr_pt_call, copy, sizeof(*copy), p, n))
		g_clear_pointer(&copy, g_free);
	g_clear_pointer(&b, g_bytes_unref);
	return copy;
}

/* Takes the work to admission; it may be over when this returns. */
static void
admit(struct work *w, gboolean copy)
{
	struct serve *s = w->serve;
	const struct pt_call *c = w->call;
	const char *service = s->node->backend.service;
	enum adm_verdict v;

	if (service == NULL || strcmp(service, c->service) != 0) {
		refuse(w, "the upstream does not serve this service");
		return;
	}
	if (copy && (adm_queued(s->adm) > 0 ||
			adm_running(s->adm) >= (guint)s->node->backend.slots))
		w->own = call_copy(c);
	if (w->own != NULL)
		w->call = w->own;
	v = adm_submit(s->adm, &w->job, c->rank_order,
	    pt_now(&s->node->clock) +
		MAX(c->deadline_ms, 0) * G_TIME_SPAN_MILLISECOND);
	if (v == ADM_QUEUED)
		sys_ticker_kick(s->ticker);
	else if (v != ADM_STARTED)
		refuse(w, verdict_text(v));
}

void
upstream_call(struct serve *s, guint64 conn, const struct pt_call *c,
    gboolean copy, upstream_answer_cb cb, void *arg)
{
	struct pt_answer taken = { .proto = PT_PROTO,
		.id = c->id,
		.status = PT_CALL_OUTCOME_UNKNOWN,
		.reason = (char *)"the call's number is in use" };
	enum guard_verdict g = GUARD_NEW;
	struct work *w;

	if (work_find(s, conn, c->id) != NULL) {
		cb(arg, &taken);
		return;
	}
	w = g_new0(struct work, 1);
	w->serve = s;
	w->conn = conn;
	w->id = c->id;
	w->call = c;
	w->answer = cb;
	w->answer_arg = arg;
	TAILQ_INSERT_TAIL(&s->works, w, link);
	g_hash_table_add(s->by_id, w);
	if (c->key != NULL)
		g = guard_admit(s->guard, c->key);
	if (g == GUARD_NOT_RUN)
		give_up(w, PT_CALL_NOT_RUN, "this attempt was refused");
	else if (g == GUARD_UNKNOWN)
		give_up(w, PT_CALL_OUTCOME_UNKNOWN,
		    "another copy of this attempt may have run");
	else
		admit(w, copy);
}

void
upstream_pull(
    struct serve *s, guint64 conn, guint id, upstream_pull_cb cb, void *arg)
{
	struct pt_pull_res none = { .proto = PT_PROTO, .failed = TRUE };
	struct work *w = work_find(s, conn, id);

	if (w == NULL || w->phase != PHASE_STREAMING || w->pull != NULL) {
		cb(arg, &none);
		return;
	}
	w->pull = cb;
	w->pull_arg = arg;
	deliver(w);
}

/* The caller gave up: what waits is dropped, what runs is closed. */
static void
cancel(struct work *w)
{
	struct pt_pull_res none = { .proto = PT_PROTO, .failed = TRUE };

	w->serve->cancelled++;
	if (w->phase == PHASE_QUEUED) {
		adm_cancel(w->serve->adm, &w->job);
		refuse(w, verdict_text(ADM_CANCELLED));
		return;
	}
	if (w->fetch != NULL)
		httpio_fetch_cancel(g_steal_pointer(&w->fetch));
	if (w->phase == PHASE_RUNNING) {
		give_up(w, PT_CALL_OUTCOME_UNKNOWN, "cancelled while it ran");
		return;
	}
	leave_slot(w);
	if (w->pull != NULL)
		w->pull(w->pull_arg, &none);
	work_free(w);
}

void
upstream_cancel(struct serve *s, guint64 conn, guint id)
{
	struct work *w = work_find(s, conn, id);

	if (w != NULL)
		cancel(w);
}

/* ---- the same over RPC ---- */

static void
reply_answer(void *arg, const struct pt_answer *a)
{
	rpcio_reply(arg, a);
}

static void
reply_pull(void *arg, const struct pt_pull_res *r)
{
	rpcio_reply(arg, r);
}

void
upstream_handle_forward(
    struct serve *s, struct rpcio_req *req, const struct pt_call *call)
{
	upstream_call(s, rpcio_req_conn(req), call, FALSE, reply_answer, req);
}

void
upstream_handle_pull(
    struct serve *s, struct rpcio_req *req, const struct pt_pull_args *a)
{
	upstream_pull(s, rpcio_req_conn(req), a->id, reply_pull, req);
}

void
upstream_handle_cancel(
    struct serve *s, struct rpcio_req *req, const struct pt_pull_args *a)
{
	upstream_cancel(s, rpcio_req_conn(req), a->id);
	rpcio_reply(req, NULL);
}

void
upstream_conn_closed(struct serve *s, guint64 conn)
{
	struct work *w, *next;

	for (w = TAILQ_FIRST(&s->works); w != NULL; w = next) {
		next = TAILQ_NEXT(w, link);
		if (w->conn != conn)
			continue;
		cancel(w);
		/* Its slot may have started or ended other work. */
		next = TAILQ_FIRST(&s->works);
	}
}

/* ---- the part ---- */

static gint64
tick(void *arg)
{
	return adm_tick(((struct serve *)arg)->adm);
}

static void
update_ranks(struct serve *s)
{
	struct adm_rank ranks[PT_RANKS_MAX];
	const struct conf_rank *r;
	guint n = 0;

	while (
	    n < PT_RANKS_MAX && (r = conf_rank_at(s->node->conf, n)) != NULL) {
		ranks[n].order = r->order;
		ranks[n].target_ms = r->target_ms;
		ranks[n++].floor = r->floor;
	}
	adm_ranks(s->adm, ranks, n, conf_mesh(s->node->conf)->urgency);
}

static void
update_backend(struct serve *s)
{
	const struct backend *b = &s->node->backend;
	struct httpio_backend_opts o = { b->url, (guint)b->connections };
	GError *err = NULL;

	if (g_strcmp0(s->url, b->url) == 0 && s->conns == b->connections)
		return;
	g_clear_pointer(&s->backend, httpio_backend_free);
	g_free(s->url);
	s->url = g_strdup(b->url);
	s->conns = b->connections;
	if (b->url == NULL)
		return;
	s->backend = httpio_backend_new(&o, &err);
	if (err != NULL)
		pt_event(&s->node->events, PT_LEVEL_WARNING, "backend-url",
		    "text=\"%s\"", err->message);
	g_clear_error(&err);
}

void
upstream_update(struct serve *s)
{
	struct node *n;
	enum pt_state state;

	if (s == NULL)
		return;
	n = s->node;
	update_ranks(s);
	update_backend(s);
	if (n->refusing)
		state = PT_LEFT;
	else if (!n->ready)
		state = PT_BOOTING;
	else
		state =
		    n->draining || n->drained ? PT_DRAINING : n->backend.state;
	adm_state(s->adm, state);
	adm_slots(s->adm, s->backend != NULL ? n->backend.slots : 0);
}

struct serve *
serve_new(struct node *n)
{
	struct adm_opts ao = { .clock = n->clock,
		.mode = (enum adm_mode)n->set.admission,
		.queue_max = QUEUE_MAX,
		.start = on_start,
		.drop = on_drop };
	struct guard_opts go = { .incarnation = n->incarnation };
	struct serve *s;

	s = g_new0(struct serve, 1);
	s->node = n;
	ao.ctx = s;
	s->adm = adm_new(&ao);
	s->guard = guard_new(&go);
	s->ticker = sys_ticker_new(tick, s);
	s->by_id = g_hash_table_new(work_hash, work_equal);
	TAILQ_INIT(&s->works);
	return s;
}

void
serve_free(struct serve *s)
{
	struct work *w, *next;

	if (s == NULL)
		return;
	adm_close(s->adm);
	adm_slots(s->adm, 0);
	for (w = TAILQ_FIRST(&s->works); w != NULL; w = next) {
		next = TAILQ_NEXT(w, link);
		cancel(w);
	}
	sys_ticker_free(s->ticker);
	adm_free(s->adm);
	guard_free(s->guard);
	httpio_backend_free(s->backend);
	g_hash_table_unref(s->by_id);
	g_free(s->url);
	g_free(s);
}

guint
upstream_active(const struct serve *s)
{
	return g_hash_table_size(s->by_id);
}

void
upstream_metrics(struct serve *s, GString *out)
{
	const struct {
		const char *result;
		guint64 n;
	} v[] = { { "ran", s->ran }, { "not_run", s->not_run },
		{ "unknown", s->unknown }, { "cancelled", s->cancelled },
		{ "cut", s->cut } };
	guint i;

	g_string_append(out, "# TYPE ptnode_upstream_requests_total counter\n");
	for (i = 0; i < G_N_ELEMENTS(v); i++)
		g_string_append_printf(out,
		    "ptnode_upstream_requests_total{result=\"%s\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    v[i].result, v[i].n);
	g_string_append_printf(out,
	    "# TYPE ptnode_upstream_busy_seconds_total counter\n"
	    "ptnode_upstream_busy_seconds_total %.6f\n"
	    "# TYPE ptnode_upstream_slots gauge\nptnode_upstream_slots %d\n"
	    "# TYPE ptnode_upstream_running gauge\n"
	    "ptnode_upstream_running %u\n"
	    "# TYPE ptnode_upstream_queued gauge\nptnode_upstream_queued %u\n"
	    "# TYPE ptnode_upstream_attempts gauge\n"
	    "ptnode_upstream_attempts %u\n",
	    (double)s->busy_us / G_USEC_PER_SEC,
	    s->backend != NULL ? s->node->backend.slots : 0,
	    adm_running(s->adm), adm_queued(s->adm), guard_records(s->guard));
}
