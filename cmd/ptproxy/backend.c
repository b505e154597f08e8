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

/* A run is cut off this long after its deadline. */
#define LATE_US (150 * G_TIME_SPAN_MILLISECOND)
/*
 * After a failed connection, one request in each interval of this length tries
 * the server until it responds to one.
 */
#define DOWN_US (500 * G_TIME_SPAN_MILLISECOND)
/*
 * Most requests queued per priority; the wait estimate refuses requests long
 * before this is reached.
 */
#define QUEUE_MAX 512
/*
 * Percent of starts reserved for each priority but the first while more urgent
 * requests wait: no kind of request may starve.
 */
#define FLOOR_PERCENT 5
/* The same for all of them, where organisations make many. */
#define FLOORS_PERCENT 15
/* At this urgency admission applies the floors unchanged. */
#define URGENCY_NEUTRAL 50
/*
 * Requests that must not run twice use only connections idle for less than
 * this: they cannot be retried if the server is just closing the connection.
 */
#define ONCE_IDLE_MS 3000
/* Time-out of the question whether the server is still there. */
#define CHECK_MS 500
/*
 * A run stalls after this multiple of its expected time, if few take as long:
 * one request in 33 to 100 takes 3 to 7 times as long as the others, and is cut
 * off only after twice this time.
 */
#define STALL_FACTOR 4
/* Least time after which a run stalls: a pause of the server is no stall. */
#define STALL_MIN (300 * G_TIME_SPAN_MILLISECOND)
/* Largest body of an answer about the server's health, in bytes. */
#define HEALTH_BODY_MAX 4096

struct backend {
	struct proxy *proxy;
	struct adm *adm;
	struct sys_ticker *ticker;
	struct cost *cost;
	struct predict *predict; /* of the times in a slot of this server */
	struct h1_pool *pool; /* NULL: no connection has been needed */
	struct plat_addr pool_addr;
	char *server_id; /* incarnation registered at the last update */
	guint process; /* of it, see reg_process() */
	gboolean was_leaving; /* at the last update */
	struct h1_fetch *check; /* whether the server is still there */
	LIST_HEAD(run_list, run) runs;
	guint n_ranks; /* for which the floors are set */
	gint64 try_at; /* while down: time of the next attempt to connect */
	gboolean down;
};

/* An exchange with the server; backend_submit() returns "x". */
struct run {
	struct xchg x;
	struct adm_job job;
	struct predict_id kind;
	LIST_ENTRY(run) entry;
	struct backend *backend;
	struct fwd *fwd;
	const struct xchg_ops *ops; /* NULL: cancelled by the submitter */
	void *ctx;
	struct h1_call *call;
	guint process; /* the server's, see reg_process() */
	guint timer;
	guint stall_timer;
	gint64 stall_after; /* time in a slot, 0: not known */
	enum plat_outcome outcome; /* what the server's response proves */
	gboolean complete; /* the whole response of a run was received */
	char *why; /* reason of a failure that is reported later, or NULL */
	int retry_ms;
};

static gboolean run_waiting(const struct xchg *);
static void run_cancel(struct xchg *);
static void run_pause(struct xchg *, gboolean);

static void
run_free(struct run *r)
{
	sys_cancel(&r->timer);
	sys_cancel(&r->stall_timer);
	LIST_REMOVE(r, entry);
	fwd_unref(r->fwd);
	g_free(r->why);
	g_free(r);
}

void
backend_report(struct backend *b, const char *route, struct report *r)
{
	adm_load(b->adm, &r->load);
	memcpy(r->wait_ms, r->load.wait_ms.wait_ms_val, sizeof(r->wait_ms));
	r->load.wait_ms.wait_ms_val = r->wait_ms;
	r->cost = route != NULL ? cost_get(b->cost, route) : 0;
	r->limit = reg_limit(b->proxy->reg);
	memset(&r->work, 0, sizeof(r->work));
	r->has_work = members_balance_by_work((guint)reg_slots(b->proxy->reg));
	if (!r->has_work)
		return;
	r->work.remaining = adm_work(b->adm, &r->work.inflow);
	r->work.mean = r->cost;
}

/* Kind of a request, as the predictor knows it. */
static void
kind_of(const struct fwd *f, struct predict_id *id)
{
	struct predict_key k = { .route = f->route,
		.method = f->head->method,
		.body = f->body != NULL ? g_bytes_get_size(f->body) : 0,
		.org = f->org,
		.retry = f->caller_retry || f->repeat };

	predict_id(&k, id);
}

/* Reports the load at the end of a run with its time in the slot. */
static void
run_report(const struct run *r, gboolean cut, struct report *report)
{
	backend_report(r->backend, r->fwd->route, report);
	if (!report->has_work || r->job.started_at == 0)
		return;
	report->work.took =
	    MAX(pt_now(&r->backend->proxy->clock) - r->job.started_at, 1);
	report->work.cut = cut;
}

/* Learns the time in a slot of a run that has ended. */
static void
run_learn(const struct run *r, gboolean cut)
{
	predict_add(r->backend->predict, &r->kind,
	    (double)(pt_now(&r->backend->proxy->clock) - r->job.started_at),
	    cut);
}

/* Expected time of a run in a slot, 0: not known. */
static gint64
run_cost(const struct run *r)
{
	struct predict_work w;

	predict_get(r->backend->predict, &r->kind, &w);
	if (members_balance_by_work((guint)reg_slots(r->backend->proxy->reg)) &&
	    w.known)
		return (gint64)w.mean;
	return cost_get(r->backend->cost, r->fwd->route);
}

/* Frees the slot of a run; others may start, now or when they are due. */
static void
end_run(struct run *r)
{
	adm_finish(r->backend->adm, &r->job);
	if (adm_queued(r->backend->adm) > 0)
		sys_ticker_kick(r->backend->ticker);
}

/* Logs the end of a run with its times and the load of admission. */
static void
log_run(const struct run *r, const char *outcome)
{
	gint64 now = pt_now(&r->backend->proxy->clock);
	gboolean started = r->job.started_at != 0;
	gint64 queued = r->job.queued_at != 0 ? r->job.queued_at : now;

	pt_event(&r->backend->proxy->events, PT_LEVEL_DEBUG, "ran",
	    "id=%s outcome=%s priority=%d waited_ms=%" G_GINT64_FORMAT
	    " ran_ms=%" G_GINT64_FORMAT
	    " running=%u queued=%u left_ms=%" G_GINT64_FORMAT,
	    r->fwd->attempt_id != NULL ? r->fwd->attempt_id : "-", outcome,
	    r->fwd->priority,
	    ((started ? r->job.started_at : now) - queued) /
		G_TIME_SPAN_MILLISECOND,
	    started ? (now - r->job.started_at) / G_TIME_SPAN_MILLISECOND : 0,
	    adm_running(r->backend->adm), adm_queued(r->backend->adm),
	    (r->fwd->deadline - now) / G_TIME_SPAN_MILLISECOND);
}

/* Reports the failure of a run that holds no slot, and frees it. */
static void
run_fail(struct run *r, enum failure_kind kind, const char *why, int retry_ms)
{
	const struct xchg_ops *ops = r->ops;
	void *ctx = r->ctx;
	struct report report;
	struct failure f = { kind, why, retry_ms, &report };

	log_run(r, why);
	run_report(r, !r->complete, &report);
	r->ops = NULL;
	if (ops != NULL)
		ops->fail(ctx, &f);
	run_free(r);
}

static const char *
verdict_name(enum adm_verdict v)
{
	switch (v) {
	case ADM_LATE:
		return "no-room";
	case ADM_FULL:
		return "queue-full";
	case ADM_NOT_SERVING:
		return "not-serving";
	case ADM_EXPIRED:
		return "expired";
	case ADM_ENDING:
		return STOPPING;
	default:
		return "cancelled";
	}
}

/* ---- the exchange with the server ---- */

/* The server has begun to answer the run. */
static void
run_answered(struct run *r)
{
	struct backend *b = r->backend;
	gint64 ran = pt_now(&b->proxy->clock) - r->job.started_at;

	sys_cancel(&r->stall_timer);
	if (r->job.stalled)
		pt_event(&b->proxy->events, PT_LEVEL_INFO, "stall-answered",
		    "id=%s ran_ms=%" G_GINT64_FORMAT,
		    r->fwd->attempt_id != NULL ? r->fwd->attempt_id : "-",
		    ran / G_TIME_SPAN_MILLISECOND);
	adm_answered(b->adm, &r->job);
	sys_ticker_kick(b->ticker);
}

/*
 * A contradictory response points to a fault of the server: it is counted and
 * logged even where its request ends as any other.
 */
static void
note_contradiction(
    const struct run *r, const struct h1_head *h, const struct plat_response *p)
{
	stats_add(r->backend->proxy->stats, STAT_CONTRADICTORY);
	pt_event(&r->backend->proxy->events, PT_LEVEL_WARNING, "contradictory",
	    "id=%s status=%d signed=%d outcome=%d",
	    r->fwd->attempt_id != NULL ? r->fwd->attempt_id : "-", h->status,
	    p->is_signed, (int)p->outcome);
}

/* Why a response is not delivered to the caller; NULL: it is. */
static const char *
undeliverable(const struct h1_head *h, const struct plat_response *p)
{
	if (p->outcome == PLAT_NOT_RUN)
		return "backend-refused";
	if (p->outcome == PLAT_UNPROVED)
		return UNPROVED_REFUSAL;
	return h->status < 300 && !p->is_signed ? "unsigned" : NULL;
}

static gboolean
on_head(void *ctx, struct h1_head *h)
{
	struct run *r = ctx;
	const char *why;
	struct plat_response p;
	struct report report;

	plat_response_read(h, &p);
	if (p.attempt_id != NULL &&
	    g_strcmp0(p.attempt_id, r->fwd->attempt_id) != 0) {
		stats_add(r->backend->proxy->stats, STAT_STRAY);
		pt_event(&r->backend->proxy->events, PT_LEVEL_WARNING, "stray",
		    "id=%s got=%s", r->fwd->attempt_id, p.attempt_id);
		return FALSE;
	}
	backend_mark_up(r->backend);
	run_answered(r);
	/*
	 * A response without the attempt's id may answer another request; a
	 * refusal cannot if it is the first on its connection.
	 */
	if (p.attempt_id == NULL && r->fwd->attempt_id != NULL &&
	    (p.outcome != PLAT_NOT_RUN || h1_call_reused(r->call))) {
		stats_add(r->backend->proxy->stats, STAT_STRAY);
		r->why = g_strdup("unmatched");
		h1_call_no_reuse(r->call);
		return TRUE;
	}
	statements_answered(r->backend->proxy->statements, r->process, &p);
	r->outcome = p.outcome;
	if (p.contradictory)
		note_contradiction(r, h, &p);
	why = undeliverable(h, &p);
	if (why != NULL) {
		r->why = g_strdup(why);
		/* A refusal with the attempt's id keeps the connection. */
		if (p.outcome == PLAT_RAN || p.attempt_id == NULL)
			h1_call_no_reuse(r->call);
		return TRUE;
	}
	if (r->ops == NULL)
		return TRUE;
	run_report(r, FALSE, &report);
	r->ops->head(r->ctx, h, &report);
	return TRUE;
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct run *r = ctx;

	if (r->ops != NULL && r->why == NULL)
		r->ops->body(r->ctx, p, n);
}

static void
run_completed(struct run *r)
{
	r->complete = TRUE;
	cost_add(r->backend->cost, r->fwd->route,
	    pt_now(&r->backend->proxy->clock) - r->job.started_at);
	run_learn(r, FALSE);
	quarantine_completed(r->backend->proxy->quarantine, r->process, r->fwd);
}

static void
on_complete(void *ctx)
{
	struct run *r = ctx;
	const struct xchg_ops *ops = r->ops;

	r->call = NULL;
	end_run(r);
	if (r->why == NULL || r->outcome == PLAT_UNPROVED)
		run_completed(r);
	if (r->why != NULL) {
		run_fail(r,
		    r->outcome == PLAT_NOT_RUN ? FAIL_REJECTED : FAIL_LOST,
		    r->why, 0);
		return;
	}
	log_run(r, "answered");
	r->ops = NULL;
	if (ops != NULL)
		ops->end(r->ctx);
	run_free(r);
}

static gboolean
is_leaving(const struct backend *b)
{
	gint64 since;

	return reg_leaving(b->proxy->reg, &since);
}

/* Nothing accepts connections at the server's address any more. */
static void
server_ended(struct backend *b)
{
	if (!is_leaving(b))
		quarantine_ended(
		    b->proxy->quarantine, reg_process(b->proxy->reg));
}

/*
 * Announces that the server is down: only this node connects to it, so the
 * others cannot detect that.
 */
static void
mark_down(struct backend *b)
{
	b->try_at = pt_now(&b->proxy->clock) + DOWN_US;
	if (b->down)
		return;
	b->down = TRUE;
	pt_event(&b->proxy->events, PT_LEVEL_WARNING, "backend-down",
	    "id=%s beat_age_ms=%" G_GINT64_FORMAT,
	    reg_id(b->proxy->reg) != NULL ? reg_id(b->proxy->reg) : "-",
	    reg_age(b->proxy->reg) / G_TIME_SPAN_MILLISECOND);
	members_announce(b->proxy);
}

static void
on_checked(void *ctx, const struct h1_head *h, const GByteArray *body,
    const GError *err)
{
	struct backend *b = ctx;

	b->check = NULL;
	if (g_error_matches(err, PT_ERROR, PT_ERROR_UNREACHABLE))
		server_ended(b);
}

/*
 * The request of a run may have ended the server.  Unless another request is
 * about to show whether the server is still there, asks it.
 */
static void
run_lost(struct run *r)
{
	struct backend *b = r->backend;

	if (b->proxy->stopping || is_leaving(b))
		return;
	quarantine_lost(b->proxy->quarantine, r->process, r->fwd);
	if (b->check == NULL && adm_running(b->adm) == 0 &&
	    adm_queued(b->adm) == 0)
		b->check = backend_query(b, CHECK_MS, on_checked, b);
}

static void
on_failed(void *ctx, enum h1_end end, gboolean sent, const char *why)
{
	struct run *r = ctx;
	struct backend *b = r->backend;

	r->call = NULL;
	if (!sent) {
		mark_down(b);
		server_ended(b);
	}
	pt_event(&b->proxy->events, PT_LEVEL_WARNING, "backend-failed",
	    "id=%s sent=%d end=%d text=\"%s\"", r->fwd->attempt_id, sent,
	    (int)end, why);
	end_run(r);
	if (sent)
		run_lost(r);
	run_fail(r, sent ? FAIL_LOST : FAIL_REFUSED,
	    sent ? "backend-lost" : "backend-down", 0);
}

static const struct h1_call_ops call_ops = { on_head, on_body, on_complete,
	on_failed };

static void
on_late(void *arg)
{
	struct run *r = arg;

	r->timer = 0;
	h1_call_cancel(r->call);
	r->call = NULL;
	run_learn(r, TRUE);
	end_run(r);
	run_lost(r);
	run_fail(r, FAIL_LOST, "deadline", 0);
}

/* Time in a slot after which a run stalls; 0: nothing is known of its route. */
static gint64
stall_time(const struct run *r)
{
	const struct cost *c = r->backend->cost;
	gint64 high = cost_high(c, r->fwd->route);

	if (high == 0)
		high = cost_highest(c);
	if (high == 0)
		return 0;
	return MAX(
	    STALL_MIN, MAX(high, STALL_FACTOR * cost_get(c, r->fwd->route)));
}

static void
on_stalled(void *arg)
{
	struct run *r = arg;
	struct backend *b = r->backend;

	r->stall_timer = 0;
	adm_stalled(b->adm, &r->job);
	stats_add(b->proxy->stats, STAT_STALLED);
	pt_event(&b->proxy->events, PT_LEVEL_WARNING, "stalled",
	    "id=%s after_ms=%" G_GINT64_FORMAT
	    " stalled=%u running=%u queued=%u slots=%d",
	    r->fwd->attempt_id != NULL ? r->fwd->attempt_id : "-",
	    r->stall_after / G_TIME_SPAN_MILLISECOND, adm_n_stalled(b->adm),
	    adm_running(b->adm), adm_queued(b->adm), reg_slots(b->proxy->reg));
	if (adm_queued(b->adm) > 0)
		sys_ticker_kick(b->ticker);
}

/* Calls to a former address of the server end on their connections. */
static void
retire_pool(struct backend *b)
{
	g_clear_pointer(&b->pool, h1_pool_retire);
	g_clear_pointer(&b->pool_addr.host, g_free);
}

struct h1_pool *
backend_pool(struct backend *b)
{
	const struct plat_addr *a = &b->proxy->set->backend;
	struct h1_pool_opts o = { .host = a->host,
		.port = a->port,
		.connect_ms = CONNECT_BACKEND_MS,
		.idle_ms = IDLE_BACKEND_MS };

	if (b->pool != NULL && !plat_addr_equal(a, &b->pool_addr))
		retire_pool(b);
	if (b->pool == NULL) {
		b->pool = h1_pool_new(&o);
		b->pool_addr.host = g_strdup(a->host);
		b->pool_addr.port = a->port;
	}
	return b->pool;
}

/* Admission has assigned a slot: sends the request. */
static void
adm_start_run(void *ctx, struct adm_job *j)
{
	struct backend *b = ctx;
	struct run *r = (struct run *)((char *)j - offsetof(struct run, job));
	gint64 now = pt_now(&b->proxy->clock);
	struct plat_request_fields fields = { .remaining =
						  r->fwd->deadline - now,
		.instance_id = reg_id(b->proxy->reg),
		.caller_service = r->fwd->caller_service,
		.organisation = r->fwd->org };
	struct h1_call_opts o = { .ops = &call_ops,
		.ctx = r,
		.idle_ms = r->fwd->once ? ONCE_IDLE_MS : 0,
		.bodyless = strcmp(r->fwd->head->method, "HEAD") == 0 };
	GString *s = g_string_new(NULL);

	fwd_put_head(s, r->fwd);
	plat_request_put(s, &fields);
	fwd_finish(s, r->fwd, &o);
	r->process = reg_process(b->proxy->reg);
	budget_count_run(b->proxy->budget, r->fwd->repeat);
	r->call = h1_call_new(backend_pool(b), &o);
	g_bytes_unref(o.request);
	r->timer = sys_after(fields.remaining + LATE_US, on_late, r);
	r->stall_after = stall_time(r);
	if (r->stall_after > 0 && r->stall_after < fields.remaining)
		r->stall_timer = sys_after(r->stall_after, on_stalled, r);
}

/* ---- admission ---- */

static void
refuse(void *arg)
{
	struct run *r = arg;

	r->timer = 0;
	run_fail(r, FAIL_REFUSED, r->why, r->retry_ms);
}

static void
refuse_later(struct run *r, const char *why)
{
	gint64 wait = adm_expected_wait(r->backend->adm, r->fwd->priority);

	r->why = g_strdup(why);
	r->retry_ms = (int)(wait / G_TIME_SPAN_MILLISECOND);
	r->timer = sys_after(0, refuse, r);
}

static void
refuse_quarantined(struct run *r, int retry_ms)
{
	r->why = g_strdup(QUARANTINED);
	r->retry_ms = retry_ms;
	r->timer = sys_after(0, refuse, r);
}

static void
refuse_verdict(struct run *r, enum adm_verdict v)
{
	refuse_later(r, verdict_name(v));
	/* Another upstream may still take it: the wait here says nothing. */
	if (v == ADM_ENDING)
		r->retry_ms = 0;
}

static void
adm_drop_run(void *ctx, struct adm_job *j, enum adm_verdict why)
{
	refuse_verdict(
	    (struct run *)((char *)j - offsetof(struct run, job)), why);
}

static gint64
tick(void *arg)
{
	struct backend *b = arg;

	return adm_tick(b->adm);
}

/* "n": number of ranks in use, 0: not known. */
static void
set_floors(struct adm *a, guint n)
{
	struct adm_rank r[PT_RANKS_MAX];
	int i, floor = FLOOR_PERCENT;

	if (n > 1)
		floor = MIN(floor, FLOORS_PERCENT / (int)(n - 1));
	for (i = 0; i < PT_RANKS_MAX; i++) {
		r[i].order = i;
		r[i].floor = i > 0 ? floor : 0;
		r[i].target_ms = 0;
	}
	adm_ranks(a, r, PT_RANKS_MAX, URGENCY_NEUTRAL);
}

struct backend *
backend_new(struct proxy *p)
{
	struct backend *b = g_new0(struct backend, 1);
	struct adm_opts o = { .clock = p->clock,
		.mode = ADM_RANK,
		.queue_max = QUEUE_MAX,
		.start = adm_start_run,
		.drop = adm_drop_run,
		.ctx = b };

	b->proxy = p;
	LIST_INIT(&b->runs);
	b->adm = adm_new(&o);
	b->cost = cost_new();
	b->predict = predict_new();
	set_floors(b->adm, 0);
	b->ticker = sys_ticker_new(tick, b);
	backend_update(b);
	return b;
}

void
backend_free(struct backend *b)
{
	struct run *r;

	if (b == NULL)
		return;
	h1_fetch_cancel(b->check);
	while ((r = LIST_FIRST(&b->runs)) != NULL) {
		if (r->call != NULL)
			h1_call_cancel(r->call);
		else
			adm_cancel(b->adm, &r->job);
		run_free(r);
	}
	sys_ticker_free(b->ticker);
	adm_free(b->adm);
	cost_free(b->cost);
	predict_free(b->predict);
	retire_pool(b);
	g_free(b->server_id);
	g_free(b);
}

/*
 * Another process is registered in the place of one that did not leave: it has
 * ended, and what it had is lost with it.
 */
static void
check_process(struct backend *b)
{
	guint process = reg_process(b->proxy->reg);
	struct run *r;

	if (process != b->process && b->server_id != NULL &&
	    reg_id(b->proxy->reg) != NULL && !b->was_leaving) {
		for (r = LIST_FIRST(&b->runs); r != NULL;
		     r = LIST_NEXT(r, entry))
			if (r->call != NULL && r->process == b->process)
				quarantine_lost(
				    b->proxy->quarantine, r->process, r->fwd);
		quarantine_ended(b->proxy->quarantine, b->process);
	}
	b->process = process;
	b->was_leaving = is_leaving(b);
}

/*
 * Refuses the queued requests of another service than that of the server, which
 * may have taken the place of theirs.
 */
static void
drop_other_services(struct backend *b)
{
	const char *service = reg_service(b->proxy->reg);
	struct run *r;

	for (r = LIST_FIRST(&b->runs); r != NULL; r = LIST_NEXT(r, entry))
		if (r->call == NULL && r->timer == 0 &&
		    g_strcmp0(service, r->fwd->service) != 0) {
			adm_cancel(b->adm, &r->job);
			refuse_later(r, "other-service");
		}
}

void
backend_update(struct backend *b)
{
	struct proxy *p = b->proxy;
	const char *id = reg_id(p->reg);
	gboolean open = reg_serving(p->reg) && !p->draining;

	check_process(b);
	if (p->rtab != NULL && rtab_n_ranks(p->rtab) != b->n_ranks) {
		b->n_ranks = rtab_n_ranks(p->rtab);
		set_floors(b->adm, b->n_ranks);
	}

	if (PT_MUTANT(MUTANT_LEAVING_CHOSEN))
		open = reg_id(p->reg) != NULL;

	if (g_strcmp0(id, b->server_id) != 0) {
		g_free(b->server_id);
		b->server_id = g_strdup(id);
		b->down = FALSE;
		b->try_at = 0;
	}
	adm_state(b->adm, open ? PT_SERVING : PT_LEFT);
	if (!open)
		adm_drop_all(b->adm, ADM_NOT_SERVING);
	drop_other_services(b);
	adm_end(b->adm, stop_answers_until(p));
	adm_slots(b->adm, reg_slots(p->reg));
	adm_limit(b->adm, reg_limit(p->reg));
	sys_ticker_kick(b->ticker);
}

/* Lets one request per DOWN_US pass to a server that is down. */
static gboolean
may_try(struct backend *b)
{
	gint64 now = pt_now(&b->proxy->clock);

	if (!b->down)
		return TRUE;
	if (now < b->try_at)
		return FALSE;
	b->try_at = now + DOWN_US;
	return TRUE;
}

/*
 * Longest delay of a request's turn by its expected time: costly requests wait
 * for cheaper ones that arrive within half of their time to the target.
 */
static gint64
turn_max(const struct backend *b, const struct fwd *fwd)
{
	return MAX((fwd->target - pt_now(&b->proxy->clock)) / 2, 1);
}

struct xchg *
backend_submit(
    struct backend *b, struct fwd *fwd, const struct xchg_ops *ops, void *ctx)
{
	struct run *r = g_new0(struct run, 1);
	enum adm_verdict v;
	int retry_ms;

	r->x.cancel = run_cancel;
	r->x.pause = run_pause;
	r->x.waiting = run_waiting;
	r->backend = b;
	r->fwd = fwd_ref(fwd);
	r->ops = ops;
	r->ctx = ctx;
	LIST_INSERT_HEAD(&b->runs, r, entry);
	if (g_strcmp0(reg_service(b->proxy->reg), fwd->service) != 0) {
		refuse_later(r, "other-service");
		return &r->x;
	}
	if (keys_revoked(b->proxy, fwd)) {
		refuse_later(r, KEY_REVOKED);
		return &r->x;
	}
	if (quarantine_refuses(b->proxy->quarantine, fwd, &retry_ms)) {
		refuse_quarantined(r, retry_ms);
		return &r->x;
	}
	if (!may_try(b)) {
		refuse_later(r, "backend-down");
		return &r->x;
	}
	kind_of(fwd, &r->kind);
	r->job.org = fwd->org;
	r->job.target = fwd->target;
	r->job.cost = run_cost(r);
	if (members_balance_by_work((guint)reg_slots(b->proxy->reg)))
		r->job.turn_max = turn_max(b, fwd);
	r->job.caller_retry = fwd->caller_retry;
	r->job.once = fwd->once;
	r->job.longest = cost_high(b->cost, fwd->route);
	r->job.end = fwd->end;
	v = adm_submit(b->adm, &r->job, fwd->priority, fwd->deadline);
	if (v != ADM_STARTED && v != ADM_QUEUED)
		refuse_verdict(r, v);
	sys_ticker_kick(b->ticker);
	return &r->x;
}

void
backend_drop_revoked(struct backend *b)
{
	struct run *r;

	for (r = LIST_FIRST(&b->runs); r != NULL; r = LIST_NEXT(r, entry))
		if (r->call == NULL && r->timer == 0 &&
		    keys_revoked(b->proxy, r->fwd)) {
			adm_cancel(b->adm, &r->job);
			refuse_later(r, KEY_REVOKED);
		}
}

void
backend_drop_quarantined(struct backend *b)
{
	struct run *r;
	int retry_ms;

	for (r = LIST_FIRST(&b->runs); r != NULL; r = LIST_NEXT(r, entry))
		if (r->call == NULL && r->timer == 0 &&
		    quarantine_refuses(
			b->proxy->quarantine, r->fwd, &retry_ms)) {
			adm_cancel(b->adm, &r->job);
			refuse_quarantined(r, retry_ms);
		}
}

gboolean
backend_recall(struct xchg *x, gint64 end)
{
	struct run *r = (struct run *)x;

	if (r->call != NULL)
		return FALSE;
	adm_end_job(r->backend->adm, &r->job, end);
	sys_ticker_kick(r->backend->ticker);
	return TRUE;
}

/* Fails a run in whatever state it is. */
static void
run_end(struct run *r)
{
	if (r->call == NULL) {
		adm_cancel(r->backend->adm, &r->job);
		run_fail(r, FAIL_REFUSED, STOPPING, 0);
		return;
	}
	h1_call_cancel(r->call);
	r->call = NULL;
	end_run(r);
	run_fail(r, FAIL_LOST, STOPPING, 0);
}

void
backend_end(struct backend *b)
{
	struct run *r;

	adm_close(b->adm);
	adm_drop_all(b->adm, ADM_NOT_SERVING);
	while ((r = LIST_FIRST(&b->runs)) != NULL)
		run_end(r);
}

gint64
backend_longest(const struct backend *b)
{
	return cost_highest(b->cost);
}

static gboolean
run_waiting(const struct xchg *x)
{
	return ((const struct run *)x)->call == NULL;
}

static void
run_cancel(struct xchg *x)
{
	struct run *r = (struct run *)x;

	r->ops = NULL;
	if (r->call == NULL) {
		adm_cancel(r->backend->adm, &r->job);
		log_run(r, "cancelled-waiting");
		run_free(r);
		return;
	}
	h1_call_pause(r->call, FALSE);
	if (r->fwd->once)
		return;
	h1_call_cancel(r->call);
	r->call = NULL;
	end_run(r);
	log_run(r, "cancelled");
	run_free(r);
}

static void
run_pause(struct xchg *x, gboolean on)
{
	struct run *r = (struct run *)x;

	if (r->call != NULL)
		h1_call_pause(r->call, on);
}

guint
backend_busy(const struct backend *b)
{
	return adm_running(b->adm) + adm_queued(b->adm);
}

guint
backend_running(const struct backend *b)
{
	return adm_running(b->adm);
}

struct h1_fetch *
backend_query(struct backend *b, guint timeout_ms, h1_fetch_cb cb, void *ctx)
{
	const struct plat_settings *set = b->proxy->set;
	const struct rtab_service *s = NULL;
	struct h1_fetch *f;
	GString *text;
	GBytes *request;

	if (b->proxy->rtab != NULL)
		s = rtab_service(b->proxy->rtab, set->service);
	if (s == NULL)
		return NULL;
	text = g_string_new(NULL);
	h1_put_request(text, "GET", s->health_path);
	h1_put(text, "Host", set->backend.host);
	h1_put_end(text);
	request = g_string_free_to_bytes(text);
	f = h1_fetch_new(
	    backend_pool(b), request, timeout_ms, HEALTH_BODY_MAX, cb, ctx);
	g_bytes_unref(request);
	return f;
}

guint64
backend_connections(const struct backend *b)
{
	return b->pool != NULL ? h1_pool_opened(b->pool) : 0;
}

gboolean
backend_up(const struct backend *b)
{
	return !b->down;
}

void
backend_mark_up(struct backend *b)
{
	if (!b->down)
		return;
	b->down = FALSE;
	pt_event(&b->proxy->events, PT_LEVEL_INFO, "backend-up", "id=%s",
	    reg_id(b->proxy->reg) != NULL ? reg_id(b->proxy->reg) : "-");
	members_announce(b->proxy);
}

void
backend_sweep(struct backend *b)
{
	if (b->pool != NULL)
		h1_pool_sweep(b->pool);
}
