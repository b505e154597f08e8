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
#include "platform.h"
#include "proxy.h"

/*
 * Bytes of an answer that are held back until it is complete, so that one that
 * breaks off early can still be had from another upstream.
 */
#define HOLD_BYTES (64 * 1024)
/* Bodies of requests held at once, as a share of the process's memory. */
#define BODIES_SHARE 4
/* Upstreams asked for one request, those included that refused at once. */
#define TRIES_MAX 4
/* Waiting time of a request without a route's or a caller's bound. */
#define LEFT_MAX (60 * G_TIME_SPAN_SECOND)
/* Least time left for which it is worth to ask another upstream. */
#define LEFT_MIN (20 * G_TIME_SPAN_MILLISECOND)
/*
 * A byte that leaves the failure domain counts as much as this time, in us:
 * what operators pay for traffic between domains against what callers lose.
 */
#define LEAVE_US_PER_BYTE 40
/* Heads of a request and its answer between nodes. */
#define HEADS_BYTES 1500
/* Bounds of Retry-After, in ms. */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 5000
/* Before the first configuration, and without any upstream. */
#define RETRY_LATER_MS 500

struct request {
	struct proxy *proxy;
	struct caller *caller; /* NULL: it has left */
	struct h1_head *head; /* of the request */
	struct work *work;
	GByteArray *body;
	struct rtab *rtab; /* keeps the route alive */
	const struct rtab_route *route;
	char *attempt_id;
	gint64 arrived, left; /* "left": as the caller said, -1: not given */
	gint64 version;
	gboolean counted; /* in the retry budget */

	struct xchg *xchg;
	struct lb_call *up;
	gint64 sent_at;
	char *tried[TRIES_MAX];
	guint n_tried;
	guint n_ran; /* upstreams that it may have run at */
	gboolean granted; /* a repeat, before the exchange was given up */
	gboolean no_room; /* an upstream turned it away for its load */
	int retry_ms; /* soonest time at which one expects room, 0: none told */
	guint timer;

	struct h1_head *answer;
	GByteArray *held;
	gint64 received; /* bytes of the answer */
	gboolean begun; /* part of the answer was sent to the caller */
	gboolean chunked, bodyless;
	gboolean spoiled; /* the answer is read over, then sent elsewhere */
};

static void submit(struct request *);

static void
request_free(struct request *r)
{
	guint i;

	sys_cancel(&r->timer);
	if (r->counted)
		budget_end(r->proxy->budget, r->work->service);
	for (i = 0; i < r->n_tried; i++)
		g_free(r->tried[i]);
	h1_head_unref(r->head);
	h1_head_unref(r->answer);
	work_unref(r->work);
	g_byte_array_unref(r->body);
	g_byte_array_unref(r->held);
	rtab_unref(r->rtab);
	g_free(r->attempt_id);
	g_free(r);
}

static gint64
now_of(const struct request *r)
{
	return pt_now(&r->proxy->clock);
}

/* One line for each request that ends. */
static void
log_end(const struct request *r, int status, const char *why)
{
	gint64 took = (now_of(r) - r->arrived) / G_TIME_SPAN_MILLISECOND;
	gboolean fine = status > 0 && status < 500 && status != 404;

	pt_event(&r->proxy->events, fine ? PT_LEVEL_DEBUG : PT_LEVEL_INFO,
	    "request",
	    "id=%s status=%d reason=%s route=%s service=%s "
	    "version=%" G_GINT64_FORMAT
	    " upstream=%s tries=%u ran=%u took_ms=%" G_GINT64_FORMAT,
	    r->attempt_id != NULL ? r->attempt_id : "-", status, why,
	    r->route != NULL ? r->route->name : "-",
	    r->work != NULL ? r->work->service : "-", r->version,
	    r->n_tried > 0 ? r->tried[r->n_tried - 1] : "-", r->n_tried,
	    r->n_ran, took);
}

static void
up_done(struct request *r, enum lb_result res, const struct report *report)
{
	if (r->up == NULL)
		return;
	if (report != NULL)
		lb_report_time(
		    r->proxy->lb, r->up, r->route->name, report->cost);
	lb_done(r->proxy->lb, r->up, res, now_of(r) - r->sent_at,
	    report != NULL ? &report->load : NULL);
	r->up = NULL;
}

/* ---- answers to the caller ---- */

/* The request is over; the caller may send the next one. */
static void
finish(struct request *r, gboolean keep)
{
	struct caller *c = r->caller;

	request_free(r);
	if (c != NULL)
		caller_done(c, keep);
}

/* An answer of this node itself. */
static void
answer_own(struct request *r, int status, const char *why, int retry_ms)
{
	GString *s = g_string_new(NULL);
	gboolean keep = r->caller != NULL && !caller_closing(r->caller);

	h1_put_status(s, status);
	h1_put_int(s, "Content-Length", 0);
	if (status == 503) {
		retry_ms = CLAMP(retry_ms, RETRY_MIN_MS, RETRY_MAX_MS);
		g_string_append_printf(s, "Retry-After: %d.%03d\r\n",
		    retry_ms / 1000, retry_ms % 1000);
	}
	if (!keep)
		h1_put(s, "Connection", "close");
	h1_put_end(s);
	stats_add(r->proxy->stats, status == 503   ? STAT_REFUSED
				   : status == 404 ? STAT_NO_ROUTE
				   : status < 500  ? STAT_BAD_REQUEST
						   : STAT_UNKNOWN);
	log_end(r, status, why);
	if (r->caller != NULL)
		caller_send(r->caller, s->str, s->len);
	g_string_free(s, TRUE);
	finish(r, keep);
}

/* Sends the head, and what of the body is held. */
static void
begin_answer(struct request *r, gboolean whole)
{
	GString *s = g_string_new(NULL);
	struct h1_head *h = r->answer;

	r->begun = TRUE;
	answer_put(s, h);
	if (r->bodyless) {
		if (h->length >= 0)
			h1_put_int(s, "Content-Length", h->length);
	} else if (whole)
		h1_put_int(s, "Content-Length", r->held->len);
	else if (h->length >= 0)
		h1_put_int(s, "Content-Length", h->length);
	else {
		r->chunked = TRUE;
		h1_put(s, "Transfer-Encoding", "chunked");
	}
	if (caller_closing(r->caller))
		h1_put(s, "Connection", "close");
	h1_put_end(s);
	if (r->chunked)
		chunk_put(s, (const char *)r->held->data, r->held->len);
	else
		g_string_append_len(
		    s, (const char *)r->held->data, (gssize)r->held->len);
	caller_send(r->caller, s->str, s->len);
	g_string_free(s, TRUE);
	g_byte_array_set_size(r->held, 0);
}

/* ---- decisions after a failure ---- */

/* Another upstream may be asked although the request may have run at one. */
static gboolean
may_repeat(struct request *r)
{
	if (PT_MUTANT(MUTANT_RETRY_UNKNOWN) && !r->begun &&
	    r->n_tried < TRIES_MAX)
		return TRUE;
	if (r->work->once || r->begun || r->n_ran >= r->route->attempts ||
	    r->n_tried >= TRIES_MAX || r->work->deadline - now_of(r) < LEFT_MIN)
		return FALSE;
	return budget_retry(r->proxy->budget, r->work->service);
}

static gboolean
may_move(struct request *r)
{
	return r->n_tried < TRIES_MAX &&
	       r->work->deadline - now_of(r) >= LEFT_MIN;
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
	gint64 left = r->work->deadline - now_of(r);

	r->xchg = NULL;
	up_done(r, result_of(f->kind, f->reason), f->report);
	if (r->caller == NULL) {
		log_end(r, 0, "left");
		request_free(r);
		return;
	}
	if (r->begun) {
		log_end(r, 0, f->reason);
		stats_add(r->proxy->stats, STAT_UNKNOWN);
		caller_abort(r->caller);
		request_free(r);
		return;
	}
	g_clear_pointer(&r->answer, h1_head_unref);
	g_byte_array_set_size(r->held, 0);
	r->spoiled = FALSE;
	if (f->kind == FAIL_LOST || f->kind == FAIL_REJECTED)
		r->n_ran++;
	if (f->retry_ms > 0) {
		r->no_room = TRUE;
		r->retry_ms = r->retry_ms > 0 ? MIN(r->retry_ms, f->retry_ms)
					      : f->retry_ms;
	}
	if (f->kind == FAIL_LOST && !PT_MUTANT(MUTANT_LOST_AS_NOT_RUN)) {
		if (r->granted || may_repeat(r)) {
			r->granted = FALSE;
			stats_add(r->proxy->stats, STAT_RETRIES);
			submit(r);
		} else
			answer_own(r, left <= 0 ? 504 : 502, f->reason, 0);
		return;
	}
	/* An upstream that turned it away was reached: that costs budget. */
	if (may_move(r) &&
	    (f->kind != FAIL_REJECTED ||
		(r->n_ran < r->route->attempts &&
		    budget_retry(r->proxy->budget, r->work->service)))) {
		stats_add(r->proxy->stats, STAT_MOVED);
		submit(r);
		return;
	}
	answer_own(r, 503, f->reason, r->retry_ms);
}

static void
on_head(void *ctx, struct h1_head *h, const struct report *report)
{
	struct request *r = ctx;

	r->n_ran++;
	r->received = 0;
	r->answer = h1_head_ref(h);
	r->bodyless = answer_bodyless(r->head, h->status);
	up_done(r, h->status >= 500 ? LB_FAILED : LB_RAN, report);
	if (r->caller != NULL && h->status >= 500 && may_repeat(r))
		r->spoiled = TRUE;
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct request *r = ctx;
	GString *s;

	r->received += (gint64)n;
	if (r->caller == NULL || r->spoiled)
		return;
	if (!r->begun) {
		g_byte_array_append(r->held, (const guint8 *)p, (guint)n);
		/* Without chunks only a whole answer shows its end. */
		if (r->held->len > HOLD_BYTES &&
		    (r->answer->length >= 0 || !r->head->http10))
			begin_answer(r, FALSE);
	} else if (r->chunked) {
		s = g_string_new(NULL);
		chunk_put(s, p, n);
		caller_send(r->caller, s->str, s->len);
		g_string_free(s, TRUE);
	} else
		caller_send(r->caller, p, n);
	if (caller_queued(r->caller) > H1_HIGH_WATER)
		xchg_pause(r->xchg, TRUE);
}

static void
on_end(void *ctx)
{
	struct request *r = ctx;
	int status = r->answer->status;

	r->xchg = NULL;
	if (r->spoiled) {
		g_clear_pointer(&r->answer, h1_head_unref);
		r->spoiled = FALSE;
		stats_add(r->proxy->stats, STAT_RETRIES);
		submit(r);
		return;
	}
	stats_add(
	    r->proxy->stats, status < 500 ? STAT_OK : STAT_FAILED_UPSTREAM);
	cost_add(r->proxy->sizes, r->route->name, r->received);
	stats_time(r->proxy->stats, r->work->priority, now_of(r) - r->arrived);
	log_end(r, status, r->caller != NULL ? "answered" : "left");
	if (r->caller == NULL) {
		request_free(r);
		return;
	}
	if (!r->begun)
		begin_answer(r, TRUE);
	else if (r->chunked)
		caller_send(r->caller, "0\r\n\r\n", 5);
	finish(r, !caller_closing(r->caller));
}

/*
 * The upstream may well be at work.  Callers of a node that stops should get
 * its answer, not this node's own, unless another upstream can be asked.
 */
static gboolean
on_silent(void *ctx)
{
	struct request *r = ctx;

	if (!r->proxy->stopping)
		return TRUE;
	r->n_ran++;
	r->granted = may_repeat(r);
	r->n_ran--;
	return r->granted;
}

static const struct xchg_ops request_ops = { on_head, on_body, on_end, on_fail,
	on_silent };

/* ---- sending ---- */

/* Nobody is left to ask: for lack of room, or because nobody serves. */
static void
answer_no_upstream(struct request *r, enum lb_verdict v, int retry_ms)
{
	if (v == LB_NONE)
		retry_ms = r->no_room ? r->retry_ms : RETRY_LATER_MS;
	answer_own(r, 503,
	    v == LB_LATE || r->no_room ? "no-room" : "no-upstream", retry_ms);
}

static void
submit(struct request *r)
{
	struct proxy *p = r->proxy;
	struct lb_request ask = { .service = r->work->service,
		.rank_order = r->work->priority,
		.deadline = r->work->deadline,
		.target = r->work->target,
		.exclude = (const char *const *)r->tried,
		.n_exclude = r->n_tried,
		.route = r->route->name,
		.spill_cost =
		    (cost_get(p->sizes, r->route->name) + HEADS_BYTES) *
		    LEAVE_US_PER_BYTE };
	const struct failure gone = { FAIL_UNREACHED, "forgotten", 0, NULL };
	const struct memb_member *m;
	enum lb_verdict v;
	int retry_ms;

	v = lb_choose(p->lb, &ask, &r->up, &retry_ms);
	if (v != LB_CHOSEN) {
		if (r->n_ran > 0 && !r->work->once)
			answer_own(r, 502, "no-other-upstream", 0);
		else
			answer_no_upstream(r, v, retry_ms);
		return;
	}
	r->work->repeat = r->n_ran > 0;
	r->tried[r->n_tried++] = g_strdup(lb_call_instance(r->up));
	r->sent_at = now_of(r);
	m = memb_find(p->memb, lb_call_instance(r->up));
	if (m == NULL) {
		on_fail(r, &gone);
		return;
	}
	if (strcmp(lb_call_instance(r->up), p->set->instance) == 0)
		r->xchg = backend_submit(p->backend, r->work, &request_ops, r);
	else
		r->xchg = peers_submit(p->peers, m, r->work, &request_ops, r);
}

/* ---- arrival ---- */

/* The caller's time is up, or the route's. */
static void
expired(void *arg)
{
	struct request *r = arg;

	r->timer = 0;
	if (r->begun || r->caller == NULL)
		return;
	xchg_cancel(r->xchg);
	r->xchg = NULL;
	up_done(r, LB_EXPIRED, NULL);
	answer_own(r, 504, "deadline", 0);
}

struct request *
request_new(struct proxy *p, struct caller *c, struct h1_head *h)
{
	struct request *r = g_new0(struct request, 1);
	struct plat_request pr;

	r->proxy = p;
	r->caller = c;
	r->head = h1_head_ref(h);
	r->arrived = now_of(r);
	r->body = g_byte_array_new();
	r->held = g_byte_array_new();
	plat_request_read(h, &pr);
	r->attempt_id = g_strdup(pr.attempt_id);
	r->left = pr.left;
	stats_add(p->stats, STAT_REQUESTS);
	return r;
}

gboolean
request_body(struct request *r, const char *p, gsize n)
{
	if (r->body->len + n > r->proxy->set->memory / BODIES_SHARE) {
		answer_own(r, 503, "body-memory", RETRY_LATER_MS);
		return FALSE;
	}
	g_byte_array_append(r->body, (const guint8 *)p, (guint)n);
	return TRUE;
}

static struct work *
work_new(struct request *r, const char *service)
{
	struct work *w = g_new0(struct work, 1);
	gint64 left = r->left >= 0 ? r->left : LEFT_MAX;
	gint64 spent = retry_time_spent(r->proxy->returns, r->route->name,
	    r->left, caller_first(r->caller));

	w->refs = 1;
	w->head = h1_head_ref(r->head);
	w->body = g_bytes_new(r->body->data, r->body->len);
	w->attempt_id = g_strdup(r->attempt_id);
	w->route = g_strdup(r->route->name);
	w->service = g_strdup(service);
	w->caller = g_strdup(r->proxy->set->service);
	w->deadline = r->arrived + MIN(left, r->route->timeout);
	/*
	 * Load it answers: more work of one kind than fits.  Callers count the
	 * time from their first attempt; if those that come back counted anew,
	 * they would take the slots of first attempts and be late all the same.
	 */
	w->target = r->arrived + r->route->target - spent;
	w->priority = r->route->priority;
	w->once = r->route->kind == RTAB_ONCE;
	w->returned = spent > 0;
	return w;
}

void
request_run(struct request *r)
{
	struct proxy *p = r->proxy;
	const char *host = h1_head_get(r->head, "Host");

	if (p->rtab == NULL) {
		answer_own(r, 503, "no-configuration", RETRY_LATER_MS);
		return;
	}
	if (host == NULL) {
		answer_own(r, 400, "no-host", 0);
		return;
	}
	r->rtab = rtab_ref(p->rtab);
	r->version = rtab_version(r->rtab);
	r->route = rtab_match(r->rtab, host, r->head->target);
	if (r->route == NULL) {
		answer_own(r, 404, "no-route", 0);
		return;
	}
	r->work = work_new(r, rtab_wrr_pick(p->mix, r->route));
	g_byte_array_set_size(r->body, 0);
	r->counted = budget_begin(p->budget, r->work->service);
	r->timer = sys_after(r->work->deadline - r->arrived, expired, r);
	submit(r);
}

void
request_left(struct request *r)
{
	r->caller = NULL;
	stats_add(r->proxy->stats, STAT_LEFT);
	log_end(r, 0, "caller-left");
	xchg_cancel(r->xchg);
	r->xchg = NULL;
	up_done(r, LB_CANCELLED, NULL);
	request_free(r);
}

void
request_pause(struct request *r, gboolean on)
{
	xchg_pause(r->xchg, on);
}
