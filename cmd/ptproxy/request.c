#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "memb.h"
#include "call.h"
#include "limit.h"
#include "platform.h"
#include "proxy.h"

/*
 * A response up to this size is sent to the caller only when it is complete.
 * If it breaks off earlier, the request can be retried at another upstream.
 */
#define BUFFER_MAX (64 * 1024)
/* Most upstreams that one request is sent to, including those that refuse. */
#define ATTEMPTS_MAX 4
/* Time-out of a request whose caller gave none; the route's may be shorter. */
#define TIMEOUT_DEFAULT (60 * G_TIME_SPAN_SECOND)
/* Time after the deadline for which the node of the upstream is awaited. */
#define LATE_WORD_US (100 * G_TIME_SPAN_MILLISECOND)
/* Time before the deadline from which no other upstream is tried. */
#define REMAINING_MIN (20 * G_TIME_SPAN_MILLISECOND)
/*
 * Cost of a byte that leaves the failure domain, as time in us: weighs what
 * operators pay for traffic between domains against the callers' latency.
 */
#define CROSS_US_PER_BYTE 40
/* Bytes of the heads of a request and its response between nodes. */
#define HEADS_BYTES 1500
/* Bounds of Retry-After, in ms. */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 5000
/* Retry-After, in ms, if it is not known when a retry may succeed. */
#define RETRY_LATER_MS 500
/* The same while keys cannot be checked: the store or a node is asked again. */
#define RETRY_KEYS_MS 1000

struct request {
	struct proxy *proxy;
	struct caller_conn *conn; /* NULL: the caller has closed it */
	struct h1_head *head; /* of the request */
	struct fwd *fwd;
	GByteArray *body;
	gsize held; /* bytes of the body, counted by bodies_add() */
	struct rtab *rtab; /* holds a reference, as "route" points into it */
	const struct rtab_route *route;
	char *attempt_id;
	gint64 arrived;
	gint64 remaining; /* remaining time that the caller gave, -1: none */
	char *key; /* of the caller's organisation, until it is checked */
	gint64 version; /* of the configuration */
	struct limit_wait wait; /* for a token of the organisation's limit */
	gint64 token; /* 0: none */
	gboolean counted; /* in the retry budget: budget_end() is due */

	struct xchg *xchg;
	struct lb_call *lb_call;
	gint64 sent_at;
	char *tried[ATTEMPTS_MAX];
	guint n_tried;
	guint n_ran; /* upstreams at which it may have run */
	gboolean may_have_run; /* at an upstream whose answer was not used */
	gboolean overloaded; /* an upstream refused it because of its load */
	int retry_ms; /* shortest time reported until a free slot, 0: none */
	guint timer;
	gboolean overdue; /* the deadline has passed, see on_expired() */

	struct h1_head *response;
	GByteArray *buffered; /* part of the response's body not yet sent */
	gint64 received; /* bytes of the response's body */
	gboolean begun; /* part of the response was sent to the caller */
	gboolean chunked, bodyless;
	gboolean discard; /* read the response, drop it, then retry */
};

static void submit(struct request *);

static void
request_free(struct request *r)
{
	guint i;

	sys_cancel(&r->timer);
	limit_cancel(&r->wait);
	bodies_remove(r->proxy, r->held);
	if (r->counted)
		budget_end(r->proxy->budget, r->fwd->service);
	for (i = 0; i < r->n_tried; i++)
		g_free(r->tried[i]);
	h1_head_unref(r->head);
	h1_head_unref(r->response);
	fwd_unref(r->fwd);
	g_byte_array_unref(r->body);
	g_byte_array_unref(r->buffered);
	rtab_unref(r->rtab);
	g_free(r->attempt_id);
	g_free(r->key);
	g_free(r);
}

static gint64
now_of(const struct request *r)
{
	return pt_now(&r->proxy->clock);
}

/* Logs the end of a request. */
static void
log_end(const struct request *r, int status, const char *why)
{
	gint64 took = (now_of(r) - r->arrived) / G_TIME_SPAN_MILLISECOND;
	gboolean ok = status > 0 && status < 500 && status != 404;

	pt_event(&r->proxy->events, ok ? PT_LEVEL_DEBUG : PT_LEVEL_INFO,
	    "request",
	    "id=%s status=%d reason=%s route=%s service=%s org=%s "
	    "version=%" G_GINT64_FORMAT
	    " upstream=%s tries=%u ran=%u took_ms=%" G_GINT64_FORMAT,
	    r->attempt_id != NULL ? r->attempt_id : "-", status, why,
	    r->route != NULL ? r->route->name : "-",
	    r->fwd != NULL ? r->fwd->service : "-",
	    r->fwd != NULL && r->fwd->org != NULL ? r->fwd->org : "-",
	    r->version, r->n_tried > 0 ? r->tried[r->n_tried - 1] : "-",
	    r->n_tried, r->n_ran, took);
}

/* Passes the outcome of an attempt and the reported load to the balancer. */
static void
attempt_done(struct request *r, enum lb_result res, const struct report *report)
{
	if (r->lb_call == NULL)
		return;
	if (report != NULL) {
		lb_report_time(
		    r->proxy->lb, r->lb_call, r->route->name, report->cost);
		lb_report_limit(r->proxy->lb, r->lb_call, report->limit);
		if (report->has_work)
			lb_report_work(r->proxy->lb, r->lb_call, r->route->name,
			    &report->work);
	}
	lb_done(r->proxy->lb, r->lb_call, res, now_of(r) - r->sent_at,
	    report != NULL ? &report->load : NULL);
	r->lb_call = NULL;
}

/* ---- responses to the caller ---- */

/* Frees the request; "keep": the caller may send the next one. */
static void
finish(struct request *r, gboolean keep)
{
	struct caller_conn *c = r->conn;

	request_free(r);
	if (c != NULL)
		caller_done(c, keep);
}

/*
 * Sends a response of this node itself and frees the request.  A status that
 * promises "not run" becomes 502 if an upstream may have run the request.
 */
static void
respond_local(struct request *r, int status, const char *why, int retry_ms)
{
	GString *s = g_string_new(NULL);
	gboolean keep = r->conn != NULL && !caller_closing(r->conn);

	if (r->may_have_run && plat_status_not_run(status))
		status = 502;
	h1_put_status(s, status);
	h1_put_int(s, "Content-Length", 0);
	if (status == 503 || status == 429)
		g_string_append_printf(s, "Retry-After: %d.%03d\r\n",
		    retry_ms / 1000, retry_ms % 1000);
	if (!keep)
		h1_put(s, "Connection", "close");
	h1_put_end(s);
	stats_add(r->proxy->stats, status == 503   ? STAT_REFUSED
				   : status == 404 ? STAT_NO_ROUTE
				   : status == 401 ? STAT_NO_KEY
				   : status == 429 ? STAT_LIMITED
				   : status < 500  ? STAT_BAD_REQUEST
						   : STAT_UNKNOWN);
	log_end(r, status, why);
	if (status == 503 && r->fwd != NULL)
		limits_give_back(r->proxy->limits, r->fwd->org, r->token);
	if (r->conn != NULL)
		caller_send(r->conn, s->str, s->len);
	g_string_free(s, TRUE);
	finish(r, keep);
}

/*
 * Sends the head and the part of the body received so far; "whole": this is the
 * whole body.
 */
static void
begin_response(struct request *r, gboolean whole)
{
	GString *s = g_string_new(NULL);
	struct h1_head *h = r->response;

	r->begun = TRUE;
	response_put_head(s, h);
	if (r->bodyless) {
		if (h->length >= 0)
			h1_put_int(s, "Content-Length", h->length);
	} else if (whole)
		h1_put_int(s, "Content-Length", r->buffered->len);
	else if (h->length >= 0)
		h1_put_int(s, "Content-Length", h->length);
	else {
		r->chunked = TRUE;
		h1_put(s, "Transfer-Encoding", "chunked");
	}
	if (caller_closing(r->conn))
		h1_put(s, "Connection", "close");
	h1_put_end(s);
	if (r->chunked)
		chunk_put(s, (const char *)r->buffered->data, r->buffered->len);
	else
		g_string_append_len(s, (const char *)r->buffered->data,
		    (gssize)r->buffered->len);
	caller_send(r->conn, s->str, s->len);
	g_string_free(s, TRUE);
	g_byte_array_set_size(r->buffered, 0);
}

/* Ends a request that no further upstream takes. */
static void
respond_refused(struct request *r, const char *why, int retry_ms)
{
	respond_local(r, 503, why, CLAMP(retry_ms, RETRY_MIN_MS, RETRY_MAX_MS));
}

/* The request has ended several servers: no upstream is to get it. */
static void
respond_quarantined(struct request *r, int retry_ms)
{
	quarantine_refused(r->proxy->quarantine, r->fwd);
	respond_local(r, 503, QUARANTINED, retry_ms);
}

static void
respond_revoked(struct request *r)
{
	respond_local(r, r->may_have_run ? 502 : 401, KEY_REVOKED, 0);
}

/* ---- decisions after a failure ---- */

/*
 * TRUE if the request may be retried although it may have run; this spends
 * retry budget.
 */
static gboolean
may_repeat(struct request *r)
{
	if (PT_MUTANT(MUTANT_RETRY_UNKNOWN) && !r->begun &&
	    r->n_tried < ATTEMPTS_MAX)
		return TRUE;
	if (r->fwd->once || r->begun || r->n_ran >= r->route->attempts ||
	    r->n_tried >= ATTEMPTS_MAX || r->proxy->ended ||
	    r->fwd->deadline - now_of(r) < REMAINING_MIN ||
	    quarantine_suspects(r->proxy->quarantine, r->fwd))
		return FALSE;
	return budget_retry(r->proxy->budget, r->fwd->service);
}

/* TRUE if a request that did not run may be sent to another upstream. */
static gboolean
may_reroute(struct request *r)
{
	return r->n_tried < ATTEMPTS_MAX && !r->proxy->ended &&
	       r->fwd->deadline - now_of(r) >= REMAINING_MIN;
}

static enum lb_result
result_of(enum failure_kind k, const char *why)
{
	if (k == FAIL_UNREACHED || strcmp(why, "peer-silent") == 0)
		return LB_UNREACHED;
	if (k == FAIL_LOST)
		return strcmp(why, "deadline") == 0 ? LB_EXPIRED : LB_FAILED;
	return LB_REFUSED;
}

static void
on_fail(void *ctx, const struct failure *f)
{
	struct request *r = ctx;
	gint64 remaining = r->fwd->deadline - now_of(r);

	r->xchg = NULL;
	attempt_done(r, result_of(f->kind, f->reason), f->report);
	if (r->conn == NULL) {
		log_end(r, 0, "left");
		request_free(r);
		return;
	}
	if (r->begun) {
		log_end(r, 0, f->reason);
		stats_add(r->proxy->stats, STAT_UNKNOWN);
		caller_abort(r->conn);
		request_free(r);
		return;
	}
	g_clear_pointer(&r->response, h1_head_unref);
	g_byte_array_set_size(r->buffered, 0);
	r->discard = FALSE;
	if (f->kind == FAIL_LOST || f->kind == FAIL_REJECTED)
		r->n_ran++;
	if (f->retry_ms > 0) {
		r->overloaded = TRUE;
		r->retry_ms = r->retry_ms > 0 ? MIN(r->retry_ms, f->retry_ms)
					      : f->retry_ms;
	}
	if (f->kind == FAIL_LOST && !PT_MUTANT(MUTANT_LOST_AS_NOT_RUN)) {
		r->may_have_run = TRUE;
		if (may_repeat(r)) {
			stats_add(r->proxy->stats, STAT_RETRIES);
			submit(r);
		} else
			respond_local(
			    r, remaining <= 0 ? 504 : 502, f->reason, 0);
		return;
	}
	if (strcmp(f->reason, KEY_REVOKED) == 0) {
		respond_revoked(r);
		return;
	}
	if (strcmp(f->reason, QUARANTINED) == 0) {
		respond_quarantined(r, f->retry_ms);
		return;
	}
	/* A refusal by the backend server itself costs retry budget. */
	if (may_reroute(r) &&
	    (f->kind != FAIL_REJECTED ||
		(r->n_ran < r->route->attempts &&
		    budget_retry(r->proxy->budget, r->fwd->service)))) {
		stats_add(r->proxy->stats, STAT_MOVED);
		submit(r);
		return;
	}
	respond_refused(r, f->reason,
	    strcmp(f->reason, STOPPING) == 0 ? stop_retry_ms(r->proxy)
					     : r->retry_ms);
}

static void
on_head(void *ctx, struct h1_head *h, const struct report *report)
{
	struct request *r = ctx;

	r->n_ran++;
	r->received = 0;
	r->response = h1_head_ref(h);
	r->bodyless = response_bodyless(r->head, h->status);
	attempt_done(r, h->status >= 500 ? LB_FAILED : LB_RAN, report);
	if (r->conn != NULL && h->status >= 500 && may_repeat(r))
		r->discard = r->may_have_run = TRUE;
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct request *r = ctx;
	GString *s;

	r->received += (gint64)n;
	if (r->conn == NULL || r->discard)
		return;
	if (!r->begun) {
		g_byte_array_append(r->buffered, (const guint8 *)p, (guint)n);
		/* HTTP/1.0 has no chunks: the length must be known first. */
		if (r->buffered->len > BUFFER_MAX &&
		    (r->response->length >= 0 || !r->head->http10))
			begin_response(r, FALSE);
	} else if (r->chunked) {
		s = g_string_new(NULL);
		chunk_put(s, p, n);
		caller_send(r->conn, s->str, s->len);
		g_string_free(s, TRUE);
	} else
		caller_send(r->conn, p, n);
	if (caller_queued(r->conn) > output_high_water(r->proxy))
		xchg_pause(r->xchg, TRUE);
}

static void
on_end(void *ctx)
{
	struct request *r = ctx;
	int status = r->response->status;

	r->xchg = NULL;
	if (r->discard) {
		g_clear_pointer(&r->response, h1_head_unref);
		r->discard = FALSE;
		stats_add(r->proxy->stats, STAT_RETRIES);
		submit(r);
		return;
	}
	stats_add(
	    r->proxy->stats, status < 500 ? STAT_OK : STAT_FAILED_UPSTREAM);
	cost_add(r->proxy->sizes, r->route->name, r->received);
	stats_time(r->proxy->stats, r->fwd->priority, now_of(r) - r->arrived);
	log_end(r, status, r->conn != NULL ? "answered" : "left");
	if (r->conn == NULL) {
		request_free(r);
		return;
	}
	if (!r->begun)
		begin_response(r, TRUE);
	else if (r->chunked)
		caller_send(r->conn, "0\r\n\r\n", 5);
	finish(r, !caller_closing(r->conn));
}

/*
 * Called when the upstream's node has stopped responding; the upstream may
 * still be running the request.  While this node stops, its callers get that
 * response, however late, rather than one of this node: another upstream may
 * refuse the request.
 */
static gboolean
on_silent(void *ctx)
{
	struct request *r = ctx;

	return !r->proxy->stopping;
}

static const struct xchg_ops request_ops = { on_head, on_body, on_end, on_fail,
	on_silent };

/* ---- choice of an upstream ---- */

/* Refuses a request: all upstreams lack free slots, or none is serving. */
static void
respond_no_upstream(struct request *r, enum lb_verdict v, int retry_ms)
{
	if (v == LB_NONE)
		retry_ms = r->overloaded ? r->retry_ms : RETRY_LATER_MS;
	respond_refused(r,
	    v == LB_LATE || r->overloaded ? "no-room" : "no-upstream",
	    retry_ms);
}

static gsize
body_size(const struct fwd *f)
{
	return f->body != NULL ? g_bytes_get_size(f->body) : 0;
}

static void
submit(struct request *r)
{
	struct proxy *p = r->proxy;
	struct lb_request req = { .service = r->fwd->service,
		.rank_order = r->fwd->priority,
		.deadline = r->fwd->deadline,
		.target = r->fwd->target,
		.exclude = (const char *const *)r->tried,
		.n_exclude = r->n_tried,
		.route = r->route->name,
		.spill_cost =
		    (cost_get(p->sizes, r->route->name) + HEADS_BYTES) *
		    CROSS_US_PER_BYTE,
		.method = r->head->method,
		.org = r->fwd->org,
		.body = body_size(r->fwd),
		.retry = r->fwd->caller_retry || r->n_ran > 0 };
	const struct failure not_member = { FAIL_UNREACHED, "forgotten", 0,
		NULL };
	const struct memb_member *m;
	enum lb_verdict v;
	int retry_ms;

	if (keys_revoked(p, r->fwd)) {
		respond_revoked(r);
		return;
	}
	if (quarantine_refuses(p->quarantine, r->fwd, &retry_ms)) {
		respond_quarantined(r, retry_ms);
		return;
	}
	v = lb_choose(p->lb, &req, &r->lb_call, &retry_ms);
	if (v != LB_CHOSEN) {
		respond_no_upstream(r, v, retry_ms);
		return;
	}
	r->fwd->repeat = r->n_ran > 0;
	r->fwd->end = stop_answers_until(p);
	r->tried[r->n_tried++] = g_strdup(lb_call_instance(r->lb_call));
	r->sent_at = now_of(r);
	m = memb_find(p->memb, lb_call_instance(r->lb_call));
	if (m == NULL) {
		on_fail(r, &not_member);
		return;
	}
	if (strcmp(lb_call_instance(r->lb_call), p->set->instance) == 0)
		r->xchg = backend_submit(p->backend, r->fwd, &request_ops, r);
	else
		r->xchg = peers_submit(p->peers, m, r->fwd, &request_ops, r);
}

/* ---- arrival ---- */

/*
 * The deadline of the caller or the route has passed.  The node of an upstream
 * drops a request that waits there until its deadline, and says so: for a
 * moment, its word that the request did not run is awaited.
 */
static void
on_expired(void *arg)
{
	struct request *r = arg;
	/* Without an attempt it waits for a token of its organisation. */
	gboolean waiting = r->n_tried == 0 || xchg_waiting(r->xchg);

	r->timer = 0;
	if (r->begun || r->conn == NULL)
		return;
	if (!waiting && !r->overdue && r->xchg != NULL && r->n_ran == 0) {
		r->overdue = TRUE;
		r->timer = sys_after(LATE_WORD_US, on_expired, r);
		return;
	}
	xchg_cancel(r->xchg);
	r->xchg = NULL;
	attempt_done(r, waiting ? LB_CANCELLED : LB_EXPIRED, NULL);
	if (waiting)
		respond_refused(r, "expired", r->retry_ms);
	else
		respond_local(r, 504, "deadline", 0);
}

struct request *
request_new(struct proxy *p, struct caller_conn *c, struct h1_head *h)
{
	struct request *r = g_new0(struct request, 1);
	struct plat_request pr;

	r->proxy = p;
	r->conn = c;
	r->head = h1_head_ref(h);
	r->arrived = now_of(r);
	r->body = g_byte_array_new();
	r->buffered = g_byte_array_new();
	plat_request_read(h, &pr);
	r->attempt_id = g_strdup(pr.attempt_id);
	r->remaining = pr.remaining;
	r->key = g_strdup(pr.key);
	stats_add(p->stats, STAT_REQUESTS);
	return r;
}

gboolean
request_body(struct request *r, const char *p, gsize n)
{
	if (!bodies_add(r->proxy, n)) {
		respond_local(r, 503, "body-memory", RETRY_LATER_MS);
		return FALSE;
	}
	r->held += n;
	g_byte_array_append(r->body, (const guint8 *)p, (guint)n);
	return TRUE;
}

/* Time by which a request is answered; the route may be NULL. */
static gint64
deadline_of(const struct request *r, const struct rtab_route *route)
{
	gint64 remaining = r->remaining >= 0 ? r->remaining : TIMEOUT_DEFAULT;

	if (route != NULL)
		remaining = MIN(remaining, route->timeout);
	return r->arrived + remaining;
}

static struct fwd *
fwd_new(struct request *r, const char *service, struct key_holder *holder)
{
	struct fwd *fwd = g_new0(struct fwd, 1);
	const struct rtab_org *org = NULL;
	gint64 spent = retry_time_spent(r->proxy->retry_times, r->route->name,
	    r->remaining, caller_first_request(r->conn));

	fwd->refs = 1;
	fwd->head = h1_head_ref(r->head);
	fwd->body = body_take(r->proxy, &r->body, &r->held);
	fwd->attempt_id = g_strdup(r->attempt_id);
	fwd->route = g_strdup(r->route->name);
	fwd->service = g_strdup(service);
	fwd->caller_service = g_strdup(r->proxy->set->service);
	fwd->deadline = deadline_of(r, r->route);
	/*
	 * In an overload callers retry, and measure latency from their first
	 * attempt: the time spent on earlier ones is deducted.  With a full
	 * target, retries would take slots from first attempts and still be
	 * late.
	 */
	fwd->target = r->arrived + r->route->target - spent;
	if (holder->org != NULL)
		org = rtab_org(r->rtab, holder->org);
	fwd->priority = rtab_rank(r->rtab, org, r->route);
	fwd->org = g_steal_pointer(&holder->org);
	fwd->key = holder->key;
	fwd->version = holder->version;
	fwd->once = r->route->kind == RTAB_ONCE;
	fwd->caller_retry = spent > 0;
	return fwd;
}

/* Goes on with the verdict on the limit of the caller's organisation. */
static void
proceed(struct request *r, enum limit_verdict v, gint64 retry)
{
	int retry_ms = (int)CLAMP(
	    retry / G_TIME_SPAN_MILLISECOND, RETRY_MIN_MS, RETRY_MAX_MS);

	switch (v) {
	case LIMIT_PASS:
		submit(r);
		break;
	case LIMIT_OVER:
		respond_local(r, 429, "limit", retry_ms);
		break;
	case LIMIT_UNKNOWN:
		stats_add(r->proxy->stats, STAT_LIMIT_UNKNOWN);
		respond_local(r, 503, "limit-unknown", retry_ms);
		break;
	case LIMIT_WAITING:
		break;
	}
}

static void
on_token(struct limit_wait *w, enum limit_verdict v, gint64 retry)
{
	struct request *r =
	    (struct request *)((char *)w - offsetof(struct request, wait));

	r->token = w->token;
	proceed(r, v, retry);
}

/* Checks the key of a request; FALSE: a response was sent. */
static gboolean
check_key(struct request *r, struct key_holder *holder)
{
	enum key_verdict v = keys_check(r->proxy, r->route, r->key, holder);

	if (v == KEY_UNCERTAIN) {
		stats_add(r->proxy->stats, STAT_KEYS_UNCERTAIN);
		respond_local(r, 503, "keys-uncertain", RETRY_KEYS_MS);
	} else if (v == KEY_UNKNOWN)
		respond_local(r, 401, "no-key", 0);
	return v == KEY_ACCEPTED;
}

void
request_dispatch(struct request *r)
{
	struct proxy *p = r->proxy;
	struct key_holder holder;
	gint64 retry = 0;
	const char *host = h1_head_get(r->head, "Host");

	if (p->rtab == NULL) {
		respond_local(r, 503, "no-configuration", RETRY_LATER_MS);
		return;
	}
	if (output_full(p)) {
		stats_add(p->stats, STAT_OUTPUT_MEMORY);
		respond_local(r, 503, "output-memory", RETRY_LATER_MS);
		return;
	}
	if (host == NULL) {
		respond_local(r, 400, "no-host", 0);
		return;
	}
	r->rtab = rtab_ref(p->rtab);
	r->version = rtab_version(r->rtab);
	r->route = rtab_match(r->rtab, host, r->head->target);
	if (r->route == NULL) {
		respond_local(r, 404, "no-route", 0);
		return;
	}
	if (stop_refuses(p, deadline_of(r, r->route))) {
		respond_local(r, 503, STOPPING, stop_retry_ms(p));
		return;
	}
	if (!check_key(r, &holder))
		return;
	r->fwd = fwd_new(r, rtab_wrr_pick(p->wrr, r->route), &holder);
	r->counted = budget_begin(p->budget, r->fwd->service);
	r->timer = sys_after(r->fwd->deadline - r->arrived, on_expired, r);
	r->wait.done = on_token;
	proceed(r,
	    limits_take(p->limits, r->fwd->org, &r->wait, &retry, &r->token),
	    retry);
}

void
request_refuse_late(struct request *r)
{
	const char *host = h1_head_get(r->head, "Host");
	const struct rtab_route *route = NULL;

	if (r->proxy->rtab != NULL && host != NULL)
		route = rtab_match(r->proxy->rtab, host, r->head->target);
	if (stop_refuses(r->proxy, deadline_of(r, route)))
		respond_local(r, 503, STOPPING, stop_retry_ms(r->proxy));
}

gboolean
request_overdue(const struct request *r, gint64 now)
{
	return now - r->arrived >
	       (r->remaining >= 0 ? r->remaining : TIMEOUT_DEFAULT);
}

void
request_abandon(struct request *r, int status, const char *why)
{
	r->conn = NULL;
	if (strcmp(why, CALLER_LEFT) == 0)
		stats_add(r->proxy->stats, STAT_CALLERS_LEFT);
	log_end(r, status, why);
	xchg_cancel(r->xchg);
	r->xchg = NULL;
	attempt_done(r, LB_CANCELLED, NULL);
	request_free(r);
}

void
request_pause(struct request *r, gboolean on)
{
	xchg_pause(r->xchg, on);
}
