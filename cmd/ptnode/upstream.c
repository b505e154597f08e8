/*
 * Requests of entry nodes for the backend server beside this node: admission,
 * the run over HTTP, and the answer, which the entry node pulls in chunks.
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

/* Most calls of a rank that wait for a slot. */
#define QUEUE_MAX 512
/*
 * Time for which zero slots are reported after the backend server refused a
 * connection.  A server that is up announces itself again within this time.
 */
#define CONNECT_REFUSED_US (1 * G_USEC_PER_SEC)

enum phase {
	PHASE_QUEUED,
	PHASE_RUNNING, /* sent to the backend server */
	PHASE_STREAMING, /* answered, with more chunks to follow */
	PHASE_OVER
};

struct job {
	struct adm_job adm_job; /* must be first: cast to struct job */
	TAILQ_ENTRY(job) link;
	struct upstream *upstream; /* the part that runs the job */
	guint64 conn;
	guint id;
	enum phase phase;
	gboolean in_slot;
	const struct pt_call *call; /* NULL: answered */
	struct pt_call *copy; /* own copy of the call, or NULL */
	upstream_answer_cb answer; /* NULL: answered */
	void *answer_arg;
	upstream_pull_cb pull; /* NULL: no pull is waiting */
	void *pull_arg;
	struct httpio_fetch *fetch;
	guint timer; /* deadline */
	struct httpio_response head;
	char length[24]; /* Content-Length of the answer */
	GBytes *chunk; /* read before it is pulled; NULL: none */
	gboolean more; /* chunks follow this one */
	pt_id digest; /* see quarantine_digest() */
	gboolean failed; /* the backend server failed during its answer */
};

struct upstream {
	struct node *node;
	struct adm *adm;
	struct sys_ticker *ticker;
	struct dedup *dedup;
	struct httpio_backend *backend;
	char *url;
	int conns;
	TAILQ_HEAD(jobs, job) jobs;
	GHashTable *by_id; /* set of struct job, by connection and id */
	struct httpio_check *check; /* whether the server is still there */
	/* Time of the refusal if the latest connection was refused, else 0. */
	gint64 refused_at;
	guint64 ran, not_run, unknown, cancelled, truncated, busy_us;
};

static guint
job_hash(gconstpointer p)
{
	const struct job *j = p;

	return (guint)j->conn * 2654435761U ^ j->id;
}

static gboolean
job_equal(gconstpointer a, gconstpointer b)
{
	const struct job *i = a, *j = b;

	return i->conn == j->conn && i->id == j->id;
}

static struct job *
job_find(struct upstream *u, guint64 conn, guint id)
{
	struct job key = { .conn = conn, .id = id };

	return g_hash_table_lookup(u->by_id, &key);
}

static void
job_free(struct job *j)
{
	struct upstream *u = j->upstream;

	sys_cancel(&j->timer);
	TAILQ_REMOVE(&u->jobs, j, link);
	g_hash_table_remove(u->by_id, j);
	g_clear_pointer(&j->chunk, g_bytes_unref);
	if (j->copy != NULL) {
		xdr_free((xdrproc_t)xdr_pt_call, (char *)j->copy);
		g_free(j->copy);
	}
	g_free(j);
}

/* Frees the slot; other jobs may start before this returns. */
static void
free_slot(struct job *j)
{
	if (!j->in_slot || (PT_MUTANT(MUTANT_SLOT_LEAK) && j->answer != NULL))
		return;
	j->in_slot = FALSE;
	j->upstream->busy_us += (guint64)(pt_now(&j->upstream->node->clock) -
					  j->adm_job.started_at);
	adm_finish(j->upstream->adm, &j->adm_job);
	if (adm_queued(j->upstream->adm) > 0)
		sys_ticker_kick(j->upstream->ticker);
}

static enum pt_state
own_state(const struct node *n)
{
	return (enum pt_state)memb_self(n->memb)->state;
}

static void
fill_load(struct upstream *u, struct pt_load *l)
{
	adm_load(u->adm, l);
	l->state = own_state(u->node);
	if (u->refused_at != 0 &&
	    pt_now(&u->node->clock) - u->refused_at < CONNECT_REFUSED_US)
		l->slots = 0;
}

/* Sends the answer; the call may be invalid after that. */
static void
send_answer(struct job *j, struct pt_answer *a)
{
	upstream_answer_cb cb = j->answer;

	a->proto = PT_PROTO;
	a->id = j->id;
	if (a->reason == NULL)
		a->reason = (char *)"";
	fill_load(j->upstream, &a->load);
	j->answer = NULL;
	j->call = NULL;
	if (cb != NULL)
		cb(j->answer_arg, a);
}

/* Ends a job that has no answer from the backend server. */
static void
end_unanswered(struct job *j, enum pt_call_status status, const char *reason)
{
	struct pt_answer a = { .status = status, .reason = (char *)reason };
	struct upstream *u = j->upstream;

	if (status == PT_CALL_NOT_RUN)
		u->not_run++;
	else
		u->unknown++;
	j->phase = PHASE_OVER;
	free_slot(j);
	send_answer(j, &a);
	job_free(j);
}

/* Ends a started job that the backend server certainly did not run. */
static void
end_not_run(struct job *j, const char *reason)
{
	if (j->call->key != NULL)
		dedup_not_run(j->upstream->dedup, j->call->key);
	end_unanswered(j, PT_CALL_NOT_RUN, reason);
}

/* Ends a job that was not started and records its attempt as refused. */
static void
refuse(struct job *j, const char *reason)
{
	const struct pt_key *k = j->call->key;

	if (k == NULL || dedup_refuse(j->upstream->dedup, k))
		end_unanswered(j, PT_CALL_NOT_RUN, reason);
	else
		end_unanswered(j, PT_CALL_OUTCOME_UNKNOWN,
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
	case ADM_ENDING:
		return "this node may end before the request does";
	default:
		return "the upstream does not serve";
	}
}

/* ---- the answer of the backend server ---- */

static void read_ahead(struct job *);

/* Sends the chunk to a waiting pull; frees the job after the last one. */
static void
deliver_chunk(struct job *j)
{
	struct pt_pull_res r = { .proto = PT_PROTO };
	upstream_pull_cb cb = j->pull;
	GBytes *chunk;
	gsize len = 0;

	if (cb == NULL || (j->chunk == NULL && !j->failed))
		return;
	chunk = g_steal_pointer(&j->chunk);
	r.failed = j->failed;
	r.more = j->more && !j->failed;
	if (chunk != NULL)
		r.body.body_val = (char *)g_bytes_get_data(chunk, &len);
	r.body.body_len = (guint)len;
	j->pull = NULL;
	cb(j->pull_arg, &r);
	g_clear_pointer(&chunk, g_bytes_unref);
	if (r.more)
		read_ahead(j);
	else
		job_free(j);
}

static void
on_checked(void *arg, gboolean up)
{
	struct upstream *u = arg;

	u->check = NULL;
	if (!up)
		quarantine_refused_connection(u->node->quarantine);
}

/* A request was cut off: it may have ended the server. */
static void
check_server(struct upstream *u)
{
	if (u->check == NULL && u->backend != NULL)
		u->check = httpio_check(u->backend, on_checked, u);
}

/* The server's answer is complete, or was cut off. */
static void
end_run(struct job *j, const GError *err)
{
	struct quarantine *q = j->upstream->node->quarantine;

	if (err == NULL) {
		quarantine_completed(q, j->digest);
		return;
	}
	quarantine_lost(q, j->digest);
	check_server(j->upstream);
}

static void
on_chunk(
    void *arg, const char *data, gsize len, gboolean more, const GError *err)
{
	struct job *j = arg;

	j->more = more;
	j->failed = err != NULL;
	j->upstream->truncated += j->failed;
	if (err == NULL)
		j->chunk = g_bytes_new(data, len);
	if (!more) {
		j->fetch = NULL;
		end_run(j, err);
		free_slot(j);
	}
	deliver_chunk(j);
}

static void
read_ahead(struct job *j)
{
	httpio_fetch_read(j->fetch, on_chunk, j);
}

/* A backend server marks a request that it shed with Pt-Not-Run. */
static gboolean
marked_not_run(const struct httpio_response *h)
{
	guint i;

	if (h->status != 503)
		return FALSE;
	for (i = 0; i < h->n_headers; i++)
		if (g_ascii_strcasecmp(h->headers[i].name, "Pt-Not-Run") == 0)
			return strcmp(h->headers[i].value, "true") == 0;
	return FALSE;
}

/*
 * Copies the headers and adds Content-Length where the first chunk does not
 * give it: more chunks follow, or the method is HEAD.
 */
static guint
fill_headers(struct job *j, struct pt_header *out, gboolean more)
{
	const struct httpio_response *h = &j->head;
	guint i, n = 0;

	for (i = 0; i < h->n_headers && n < PT_HEADERS_MAX - 1; i++) {
		out[n].name = (char *)h->headers[i].name;
		out[n++].value = (char *)h->headers[i].value;
	}
	if (h->length >= 0 && (more || strcmp(j->call->method, "HEAD") == 0)) {
		g_snprintf(j->length, sizeof(j->length), "%" G_GINT64_FORMAT,
		    h->length);
		out[n].name = (char *)"Content-Length";
		out[n++].value = j->length;
	}
	return n;
}

static void
on_first_chunk(
    void *arg, const char *data, gsize len, gboolean more, const GError *err)
{
	struct pt_header headers[PT_HEADERS_MAX];
	struct pt_answer a = { .status = PT_CALL_RAN };
	struct job *j = arg;

	if (!more)
		j->fetch = NULL;
	if (!more && (err != NULL || !marked_not_run(&j->head)))
		end_run(j, err);
	if (err != NULL) {
		end_unanswered(j, PT_CALL_OUTCOME_UNKNOWN, err->message);
		return;
	}
	/* A refusal counts once it is complete: it may still be invalid. */
	if (marked_not_run(&j->head)) {
		if (more)
			httpio_fetch_read(j->fetch, on_first_chunk, j);
		else
			end_not_run(j, "the backend server is full");
		return;
	}
	a.http_status = j->head.status;
	a.headers.headers_val = headers;
	a.headers.headers_len = fill_headers(j, headers, more);
	a.more = more;
	a.body.body_val = (char *)data;
	a.body.body_len = (guint)len;
	j->upstream->ran++;
	j->phase = more ? PHASE_STREAMING : PHASE_OVER;
	send_answer(j, &a);
	if (more) {
		read_ahead(j);
		return;
	}
	free_slot(j);
	job_free(j);
}

static void
on_head(void *arg, const struct httpio_response *a, const GError *err)
{
	struct job *j = arg;

	j->upstream->refused_at = 0;
	if (g_error_matches(err, PT_ERROR, PT_ERROR_UNREACHABLE)) {
		j->upstream->refused_at = pt_now(&j->upstream->node->clock);
		quarantine_refused_connection(j->upstream->node->quarantine);
	} else if (err != NULL)
		end_run(j, err);
	else
		quarantine_answered(j->upstream->node->quarantine);
	if (err != NULL) {
		j->fetch = NULL;
		if (g_error_matches(err, PT_ERROR, PT_ERROR_UNREACHABLE) ||
		    PT_MUTANT(MUTANT_LOST_AS_NOT_RUN))
			end_not_run(j, err->message);
		else
			end_unanswered(
			    j, PT_CALL_OUTCOME_UNKNOWN, err->message);
		return;
	}
	if (!marked_not_run(a))
		sys_cancel(&j->timer);
	j->head = *a;
	httpio_fetch_read(j->fetch, on_first_chunk, j);
}

/* ---- the run ---- */

static void
on_deadline(void *arg)
{
	struct job *j = arg;

	j->timer = 0;
	httpio_fetch_cancel(g_steal_pointer(&j->fetch));
	quarantine_lost(j->upstream->node->quarantine, j->digest);
	end_unanswered(j, PT_CALL_OUTCOME_UNKNOWN,
	    "the deadline passed while the request ran");
}

/* A node of an earlier release may forward the key of an organisation. */
static gboolean
forwarded(const char *name)
{
	return g_ascii_strcasecmp(name, "Pt-Deadline-Ms") != 0 &&
	       g_ascii_strcasecmp(name, "Host") != 0 &&
	       g_ascii_strcasecmp(name, "Pt-Key") != 0;
}

static void
run(struct job *j)
{
	struct httpio_header headers[PT_HEADERS_MAX + 1];
	const struct pt_call *k = j->call;
	struct httpio_call c = { .method = k->method,
		.path = k->path,
		.headers = headers,
		.body = k->body.body_val,
		.body_len = k->body.body_len,
		.once = k->key != NULL };
	gint64 now = pt_now(&j->upstream->node->clock);
	char remaining[16];
	guint i;

	for (i = 0; i < k->headers.headers_len; i++) {
		if (!forwarded(k->headers.headers_val[i].name))
			continue;
		headers[c.n_headers].name = k->headers.headers_val[i].name;
		headers[c.n_headers++].value = k->headers.headers_val[i].value;
	}
	g_snprintf(remaining, sizeof(remaining), "%d",
	    deadline_left_ms(now, j->adm_job.deadline, 0));
	headers[c.n_headers].name = "Pt-Deadline-Ms";
	headers[c.n_headers++].value = remaining;
	quarantine_digest(j->upstream->node->quarantine, k, j->digest);
	j->phase = PHASE_RUNNING;
	j->timer = sys_after(j->adm_job.deadline - now, on_deadline, j);
	j->fetch = httpio_fetch(j->upstream->backend, &c, on_head, j);
}

static void
on_start(void *ctx, struct adm_job *aj)
{
	struct job *j = (struct job *)aj;
	struct upstream *u = ctx;
	int retry_ms;

	j->in_slot = TRUE;
	if (quarantine_refuses(u->node->quarantine, j->call, &retry_ms)) {
		refuse(j, "servers that ran this request have ended");
		return;
	}
	if (u->backend == NULL) {
		refuse(j, "the upstream does not serve");
		return;
	}
	if (j->call->key != NULL && !dedup_start(u->dedup, j->call->key)) {
		end_unanswered(j, PT_CALL_OUTCOME_UNKNOWN,
		    "another copy of this attempt may have run");
		return;
	}
	run(j);
}

static void
on_drop(void *ctx, struct adm_job *aj, enum adm_verdict why)
{
	refuse((struct job *)aj, verdict_text(why));
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

/* Submits the job to admission; may free it. */
static void
admit(struct job *j, gboolean copy)
{
	struct upstream *u = j->upstream;
	const struct pt_call *c = j->call;
	const char *service = u->node->backend.service;
	enum adm_verdict v;

	if (service == NULL || strcmp(service, c->service) != 0) {
		refuse(j, "the upstream does not serve this service");
		return;
	}
	if (copy && (adm_queued(u->adm) > 0 ||
			adm_running(u->adm) >= (guint)u->node->backend.slots))
		j->copy = call_copy(c);
	if (j->copy != NULL)
		j->call = j->copy;
	v = adm_submit(u->adm, &j->adm_job, c->rank_order,
	    pt_now(&u->node->clock) +
		MAX(c->deadline_ms, 0) * G_TIME_SPAN_MILLISECOND);
	if (v == ADM_QUEUED)
		sys_ticker_kick(u->ticker);
	else if (v != ADM_STARTED)
		refuse(j, verdict_text(v));
}

void
upstream_call(struct upstream *u, guint64 conn, const struct pt_call *c,
    gboolean copy, upstream_answer_cb cb, void *arg)
{
	struct pt_answer in_use = { .proto = PT_PROTO,
		.id = c->id,
		.status = PT_CALL_OUTCOME_UNKNOWN,
		.reason = (char *)"the call's number is in use" };
	enum dedup_verdict v = DEDUP_NEW;
	struct job *j;

	if (job_find(u, conn, c->id) != NULL) {
		cb(arg, &in_use);
		return;
	}
	j = g_new0(struct job, 1);
	j->upstream = u;
	j->conn = conn;
	j->id = c->id;
	j->call = c;
	j->answer = cb;
	j->answer_arg = arg;
	TAILQ_INSERT_TAIL(&u->jobs, j, link);
	g_hash_table_add(u->by_id, j);
	if (c->key != NULL)
		v = dedup_admit(u->dedup, c->key);
	if (v == DEDUP_NOT_RUN)
		end_unanswered(j, PT_CALL_NOT_RUN, "this attempt was refused");
	else if (v == DEDUP_UNKNOWN)
		end_unanswered(j, PT_CALL_OUTCOME_UNKNOWN,
		    "another copy of this attempt may have run");
	else
		admit(j, copy);
}

void
upstream_pull(
    struct upstream *u, guint64 conn, guint id, upstream_pull_cb cb, void *arg)
{
	struct pt_pull_res none = { .proto = PT_PROTO, .failed = TRUE };
	struct job *j = job_find(u, conn, id);

	if (j == NULL || j->phase != PHASE_STREAMING || j->pull != NULL) {
		cb(arg, &none);
		return;
	}
	j->pull = cb;
	j->pull_arg = arg;
	deliver_chunk(j);
}

/* Drops a queued job, or closes the connection that runs it; frees the job. */
static void
cancel(struct job *j)
{
	struct pt_pull_res none = { .proto = PT_PROTO, .failed = TRUE };

	j->upstream->cancelled++;
	if (j->phase == PHASE_QUEUED) {
		adm_cancel(j->upstream->adm, &j->adm_job);
		refuse(j, verdict_text(ADM_CANCELLED));
		return;
	}
	if (j->fetch != NULL)
		httpio_fetch_cancel(g_steal_pointer(&j->fetch));
	if (j->phase == PHASE_RUNNING) {
		end_unanswered(
		    j, PT_CALL_OUTCOME_UNKNOWN, "cancelled while it ran");
		return;
	}
	free_slot(j);
	if (j->pull != NULL)
		j->pull(j->pull_arg, &none);
	job_free(j);
}

void
upstream_cancel(struct upstream *u, guint64 conn, guint id)
{
	struct job *j = job_find(u, conn, id);

	if (j != NULL)
		cancel(j);
}

void
upstream_recall(struct upstream *u, guint64 conn, guint id)
{
	struct job *j = job_find(u, conn, id);

	if (j != NULL && j->phase == PHASE_QUEUED)
		cancel(j);
}

void
upstream_limit(struct upstream *u)
{
	adm_end(u->adm, u->node->end_at);
}

void
upstream_end(struct upstream *u)
{
	struct job *j;

	adm_close(u->adm);
	adm_drop_all(u->adm, ADM_NOT_SERVING);
	while ((j = TAILQ_FIRST(&u->jobs)) != NULL)
		cancel(j);
}

/* ---- calls over RPC ---- */

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
    struct upstream *u, struct rpcio_req *req, const struct pt_call *call)
{
	upstream_call(u, rpcio_req_conn(req), call, FALSE, reply_answer, req);
}

void
upstream_handle_pull(
    struct upstream *u, struct rpcio_req *req, const struct pt_pull_args *a)
{
	upstream_pull(u, rpcio_req_conn(req), a->id, reply_pull, req);
}

void
upstream_handle_cancel(
    struct upstream *u, struct rpcio_req *req, const struct pt_pull_args *a)
{
	upstream_cancel(u, rpcio_req_conn(req), a->id);
	rpcio_reply(req, NULL);
}

void
upstream_handle_recall(
    struct upstream *u, struct rpcio_req *req, const struct pt_pull_args *a)
{
	upstream_recall(u, rpcio_req_conn(req), a->id);
	rpcio_reply(req, NULL);
}

void
upstream_conn_closed(struct upstream *u, guint64 conn)
{
	struct job *j, *next;

	for (j = TAILQ_FIRST(&u->jobs); j != NULL; j = next) {
		next = TAILQ_NEXT(j, link);
		if (j->conn != conn)
			continue;
		cancel(j);
		/* The freed slot may have started or ended other jobs. */
		next = TAILQ_FIRST(&u->jobs);
	}
}

/* ---- start, state and metrics ---- */

static gint64
tick(void *arg)
{
	return adm_tick(((struct upstream *)arg)->adm);
}

static void
update_ranks(struct upstream *u)
{
	struct adm_rank ranks[PT_RANKS_MAX];
	const struct conf_rank *r;
	guint n = 0;

	while (
	    n < PT_RANKS_MAX && (r = conf_rank_at(u->node->conf, n)) != NULL) {
		ranks[n].order = r->order;
		ranks[n].target_ms = r->target_ms;
		ranks[n++].floor = r->floor;
	}
	adm_ranks(u->adm, ranks, n, conf_mesh(u->node->conf)->urgency);
}

static void
update_backend(struct upstream *u)
{
	const struct backend *b = &u->node->backend;
	struct httpio_backend_opts o = { .url = b->url,
		.url_name = "backend URL",
		.name = "backend server",
		.conns = (guint)b->connections };
	GError *err = NULL;

	if (g_strcmp0(u->url, b->url) == 0 && u->conns == b->connections)
		return;
	g_clear_pointer(&u->check, httpio_check_cancel);
	g_clear_pointer(&u->backend, httpio_backend_free);
	g_free(u->url);
	u->url = g_strdup(b->url);
	u->conns = b->connections;
	if (b->url == NULL)
		return;
	u->backend = httpio_backend_new(&o, &err);
	if (err != NULL)
		pt_event(&u->node->events, PT_LEVEL_WARNING, "backend-url",
		    "text=\"%s\"", err->message);
	g_clear_error(&err);
}

static struct job *
next_of_other_service(struct upstream *u)
{
	const char *service = u->node->backend.service;
	struct job *j;

	for (j = TAILQ_FIRST(&u->jobs); j != NULL; j = TAILQ_NEXT(j, link))
		if (j->phase == PHASE_QUEUED &&
		    g_strcmp0(service, j->call->service) != 0)
			return j;
	return NULL;
}

/*
 * Refuses the queued calls of another service than that of the server, which
 * may have taken the place of theirs.
 */
static void
drop_other_services(struct upstream *u)
{
	struct job *j;

	while ((j = next_of_other_service(u)) != NULL) {
		adm_cancel(u->adm, &j->adm_job);
		refuse(j, "the upstream does not serve this service");
	}
}

void
upstream_update(struct upstream *u)
{
	struct node *n;
	enum pt_state state;

	if (u == NULL)
		return;
	n = u->node;
	update_ranks(u);
	update_backend(u);
	if (n->refusing)
		state = PT_LEFT;
	else if (!n->ready)
		state = PT_BOOTING;
	else
		state = n->stopping || n->operator_drain ? PT_DRAINING
							 : n->backend.state;
	adm_state(u->adm, state);
	drop_other_services(u);
	adm_limit(u->adm, u->backend != NULL ? n->backend.limit : -1);
	adm_slots(u->adm, u->backend != NULL ? n->backend.slots : 0);
	sys_ticker_kick(u->ticker);
}

struct upstream *
upstream_new(struct node *n)
{
	struct adm_opts ao = { .clock = n->clock,
		.mode = (enum adm_mode)n->set.admission,
		.queue_max = QUEUE_MAX,
		.start = on_start,
		.drop = on_drop };
	struct dedup_opts dopts = { .incarnation = n->incarnation };
	struct upstream *u;

	u = g_new0(struct upstream, 1);
	u->node = n;
	ao.ctx = u;
	u->adm = adm_new(&ao);
	u->dedup = dedup_new(&dopts);
	u->ticker = sys_ticker_new(tick, u);
	u->by_id = g_hash_table_new(job_hash, job_equal);
	TAILQ_INIT(&u->jobs);
	return u;
}

void
upstream_free(struct upstream *u)
{
	struct job *j, *next;

	if (u == NULL)
		return;
	adm_close(u->adm);
	adm_slots(u->adm, 0);
	for (j = TAILQ_FIRST(&u->jobs); j != NULL; j = next) {
		next = TAILQ_NEXT(j, link);
		cancel(j);
	}
	httpio_check_cancel(u->check);
	sys_ticker_free(u->ticker);
	adm_free(u->adm);
	dedup_free(u->dedup);
	httpio_backend_free(u->backend);
	g_hash_table_unref(u->by_id);
	g_free(u->url);
	g_free(u);
}

guint
upstream_active(const struct upstream *u)
{
	return g_hash_table_size(u->by_id);
}

void
upstream_metrics(struct upstream *u, GString *out)
{
	const struct {
		const char *result;
		guint64 n;
	} v[] = { { "ran", u->ran }, { "not_run", u->not_run },
		{ "unknown", u->unknown }, { "cancelled", u->cancelled },
		{ "cut", u->truncated } };
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
	    (double)u->busy_us / G_USEC_PER_SEC,
	    u->backend != NULL ? u->node->backend.slots : 0,
	    adm_running(u->adm), adm_queued(u->adm), dedup_records(u->dedup));
}
