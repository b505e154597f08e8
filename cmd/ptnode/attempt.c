/*
 * Attempts of a request: choice of an upstream, the call to its node or to the
 * local backend server, and retries after "not run".
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

/*
 * Subtracted from the remaining time for the round trip to the upstream's node,
 * so that its "not run" arrives before the caller's deadline.
 */
#define ROUND_TRIP_US 4000
/*
 * Added to the remaining time to get the RPC timeout, since the upstream's node
 * itself answers at the deadline.
 */
#define FORWARD_GRACE_MS 2000
#define PULL_TIMEOUT_MS 30000
/* Retry-After if the load balancer gives no estimate of the wait. */
#define RETRY_AFTER_MS 1000

static void
report_result(struct attempt *a, enum lb_result r, const struct pt_load *load)
{
	if (a->lb_call == NULL)
		return;
	if (a->latency_us == 0)
		a->latency_us = pt_now(&a->entry->node->clock) - a->started;
	lb_done(a->entry->node->lb, a->lb_call, r, a->latency_us, load);
	a->lb_call = NULL;
}

static void
attempt_free(struct attempt *a)
{
	TAILQ_REMOVE(&a->entry->attempts, a, link);
	report_result(a, a->result, NULL);
	g_free(a->host);
	g_free(a);
}

/* Calls "local" for this upstream, or "proc" at the upstream's node. */
static void
tell_upstream(struct attempt *a, guint proc,
    void (*local)(struct upstream *, guint64 conn, guint id))
{
	struct node *n = a->entry->node;
	struct pt_pull_args args = { PT_PROTO, a->id };

	if (a->host == NULL)
		local(n->upstream, 0, a->id);
	else
		n->rpc.call(
		    n->rpc.ctx, a->host, a->port, proc, &args, 0, NULL, NULL);
}

static void
cancel_call(struct attempt *a)
{
	tell_upstream(a, PT_CANCEL, upstream_cancel);
}

void
attempt_recall(struct request *q)
{
	tell_upstream(q->attempt, PT_RECALL, upstream_recall);
}

void
attempt_detach(struct request *q, enum lb_result r, gboolean cancel)
{
	struct attempt *a = g_steal_pointer(&q->attempt);
	gboolean waiting = a->waiting;

	a->request = NULL;
	a->result = r;
	/* If a callback will follow, maybe during the cancel, it frees "a". */
	if (cancel)
		cancel_call(a);
	if (!waiting)
		attempt_free(a);
}

void
attempts_detach(struct entry *e)
{
	struct attempt *a;

	while ((a = TAILQ_FIRST(&e->attempts)) != NULL) {
		TAILQ_REMOVE(&e->attempts, a, link);
		report_result(a, a->result, NULL);
		g_clear_pointer(&a->host, g_free);
		a->entry = NULL;
	}
}

void
attempt_end(struct request *q)
{
	struct attempt *a = g_steal_pointer(&q->attempt);

	a->result = LB_RAN;
	attempt_free(a);
}

/* ---- results ---- */

static void
retry(struct request *q, const char *reason)
{
	struct entry *e = q->entry;
	guint no = 0;

	g_strlcpy(q->reason, reason, sizeof(q->reason));
	if (q->n_tried < ATTEMPTS_MAX &&
	    budget_retry(e->node->budget, q->call.service)) {
		if (q->key_text != NULL)
			no = idem_retry(e->node->idem, q->seq, q->attempt_no);
		if (q->key_text == NULL || no != 0) {
			q->attempt_no = no;
			q->series->retries++;
			attempt_start(q);
			return;
		}
	}
	keyed_not_run(q);
	request_refuse(q, 503, PT_CALL_NOT_RUN, q->reason, RETRY_AFTER_MS);
}

static void
attempt_ran(struct attempt *a, const struct pt_answer *ans)
{
	struct request *q = a->request;

	a->latency_us = pt_now(&a->entry->node->clock) - a->started;
	keyed_end_attempt(a, IDEM_R_RAN, ans);
	if (!ans->more) {
		report_result(a, ans->http_status >= 500 ? LB_FAILED : LB_RAN,
		    &ans->load);
		q->attempt = NULL;
		attempt_free(a);
	}
	request_answer(q, ans);
}

static void
attempt_unknown(struct attempt *a, const char *reason)
{
	struct request *q = a->request;

	report_result(a, LB_FAILED, NULL);
	keyed_end_attempt(a, IDEM_R_UNKNOWN, NULL);
	q->attempt = NULL;
	attempt_free(a);
	request_refuse(q,
	    pt_now(&q->entry->node->clock) >= q->deadline - ROUND_TRIP_US ? 504
									  : 502,
	    PT_CALL_OUTCOME_UNKNOWN, reason, 0);
}

static void
attempt_not_run(struct attempt *a, enum lb_result r, const struct pt_load *load,
    const char *reason)
{
	struct request *q = a->request;

	report_result(a, r, load);
	q->attempt = NULL;
	attempt_free(a);
	retry(q, reason);
}

/* The request finished before its attempt: records the result for its key. */
static void
record_late_result(struct attempt *a, const struct pt_answer *ans)
{
	if (ans != NULL && ans->status == PT_CALL_RAN) {
		keyed_end_attempt(a, IDEM_R_RAN, ans);
		if (ans->more)
			cancel_call(a);
	} else if (ans != NULL && ans->status == PT_CALL_NOT_RUN) {
		keyed_end_attempt(a, IDEM_R_NOT_RUN, NULL);
	} else {
		keyed_end_attempt(a, IDEM_R_UNKNOWN, NULL);
	}
	attempt_free(a);
}

/*
 * No connection was made: membership probes the member, and another upstream is
 * tried.
 */
static void
connect_failed(struct attempt *a, const char *why)
{
	struct node *n = a->entry->node;

	memb_report_failure(n->memb, lb_call_instance(a->lb_call));
	sys_ticker_kick(n->memb_ticker);
	attempt_not_run(a, LB_UNREACHED, NULL, why);
}

/* The call failed; it is retried only if it certainly did not run. */
static void
attempt_failed(struct attempt *a, const GError *err)
{
	const char *why = err != NULL ? err->message : "no answer";

	if (g_error_matches(err, PT_ERROR, PT_ERROR_UNREACHABLE))
		connect_failed(a, why);
	else if (g_error_matches(err, PT_ERROR, PT_ERROR_PROTOCOL) ||
		 g_error_matches(err, PT_ERROR, PT_ERROR_TOO_LARGE) ||
		 PT_MUTANT(MUTANT_RETRY_UNKNOWN))
		attempt_not_run(a, LB_REFUSED, NULL, why);
	else
		attempt_unknown(a, why);
}

static void
attempt_answered(struct attempt *a, const struct pt_answer *ans)
{
	switch (ans->status) {
	case PT_CALL_RAN:
		attempt_ran(a, ans);
		break;
	case PT_CALL_NOT_RUN:
		/* A node reports no slots while its backend server is down. */
		if (ans->load.slots == 0)
			attempt_not_run(a, LB_UNREACHED, NULL, ans->reason);
		else
			attempt_not_run(a, LB_REFUSED, &ans->load, ans->reason);
		break;
	default:
		attempt_unknown(a, ans->reason);
		break;
	}
}

/* Handles the end of an attempt; "err" is NULL if there is an answer. */
static void
attempt_done(struct attempt *a, const struct pt_answer *ans, const GError *err)
{
	a->waiting = FALSE;
	if (a->entry == NULL)
		g_free(a);
	else if (a->request == NULL)
		record_late_result(a, ans);
	else if (ans == NULL)
		attempt_failed(a, err);
	else
		attempt_answered(a, ans);
}

/* ---- calls to the upstream ---- */

static void
on_forward_answer(void *arg, void *res, const GError *err)
{
	attempt_done(arg, err == NULL ? res : NULL, err);
}

static void
on_local_answer(void *arg, const struct pt_answer *ans)
{
	attempt_done(arg, ans, NULL);
}

static void
chunk_pulled(struct attempt *a, const struct pt_pull_res *res)
{
	a->waiting = FALSE;
	if (a->entry == NULL)
		g_free(a);
	else if (a->request == NULL)
		attempt_free(a);
	else
		request_send_chunk(a->request, res);
}

static void
on_chunk(void *arg, void *res, const GError *err)
{
	chunk_pulled(arg, err == NULL ? res : NULL);
}

static void
on_local_chunk(void *arg, const struct pt_pull_res *res)
{
	chunk_pulled(arg, res);
}

void
attempt_pull(struct request *q)
{
	struct node *n = q->entry->node;
	struct attempt *a = q->attempt;
	struct pt_pull_args args = { PT_PROTO, a->id };

	a->waiting = TRUE;
	if (a->host == NULL)
		upstream_pull(n->upstream, 0, a->id, on_local_chunk, a);
	else
		n->rpc.call(n->rpc.ctx, a->host, a->port, PT_PULL, &args,
		    PULL_TIMEOUT_MS, on_chunk, a);
}

static void
dispatch(struct request *q, struct attempt *a)
{
	struct node *n = q->entry->node;

	q->call.id = a->id;
	if (q->key_text != NULL) {
		idem_fill_key(n->idem, q->seq, q->attempt_no,
		    lb_call_incarnation(a->lb_call), &q->key);
		q->call.key = &q->key;
	}
	a->waiting = TRUE;
	if (a->host == NULL)
		upstream_call(
		    n->upstream, 0, &q->call, TRUE, on_local_answer, a);
	else
		n->rpc.call(n->rpc.ctx, a->host, a->port, PT_FORWARD, &q->call,
		    (guint)q->call.deadline_ms + FORWARD_GRACE_MS,
		    on_forward_answer, a);
}

static struct attempt *
attempt_new(struct request *q, struct lb_call *lb_call)
{
	struct node *n = q->entry->node;
	const char *name = lb_call_instance(lb_call);
	const struct memb_member *m = memb_find(n->memb, name);
	struct attempt *a;

	a = g_new0(struct attempt, 1);
	a->entry = q->entry;
	TAILQ_INSERT_TAIL(&q->entry->attempts, a, link);
	a->request = q;
	a->lb_call = lb_call;
	a->id = ++q->entry->last_id;
	a->started = pt_now(&n->clock);
	a->keyed = q->key_text != NULL;
	a->seq = q->seq;
	a->attempt_no = q->attempt_no;
	if (strcmp(name, n->set.instance) != 0 && m != NULL) {
		a->host = g_strdup(m->host);
		a->port = m->rpc_port;
	}
	q->attempt = a;
	q->tried[q->n_tried++] = g_strdup(name);
	return a;
}

/* Answers "not run": no attempt is made, and no earlier one has run. */
static void
refuse(struct request *q, const char *reason, int retry_ms)
{
	if (q->n_tried > 0)
		reason = q->reason;
	keyed_not_run(q);
	request_refuse(q, 503, PT_CALL_NOT_RUN, reason,
	    retry_ms > 0 ? retry_ms : RETRY_AFTER_MS);
}

void
attempt_start(struct request *q)
{
	struct node *n = q->entry->node;
	struct lb_request req = { .service = q->call.service,
		.rank_order = q->call.rank_order,
		.deadline = q->deadline,
		.exclude = (const char *const *)q->tried,
		.n_exclude = q->n_tried };
	struct lb_call *lb_call;
	int retry_ms = 0;

	q->call.deadline_ms =
	    deadline_left_ms(pt_now(&n->clock), q->deadline, ROUND_TRIP_US);
	if (q->call.deadline_ms == 0) {
		refuse(q, "too little time remains; allow more", 0);
		return;
	}
	if (quarantine_refuses(n->quarantine, &q->call, &retry_ms)) {
		refuse(q,
		    "servers that ran this request have ended; retry later",
		    retry_ms);
		return;
	}
	switch (lb_choose(n->lb, &req, &lb_call, &retry_ms)) {
	case LB_CHOSEN:
		dispatch(q, attempt_new(q, lb_call));
		break;
	case LB_LATE:
		refuse(q,
		    "every upstream's wait exceeds the remaining time; retry "
		    "later or allow more time",
		    retry_ms);
		break;
	default:
		refuse(q, "no upstream serves this service; retry later",
		    retry_ms);
		break;
	}
}
