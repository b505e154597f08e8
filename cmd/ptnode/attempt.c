/*
 * Attempts of a request: the choice of an upstream, the way to its node or to
 * the own backend server, and retries of what has not run.
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
 * Set aside of the remaining time for the way to the upstream's node and back,
 * so that its "not run" arrives before the caller's deadline.
 */
#define HOP_US 4000
/* Beyond the deadline, at which the upstream's node answers by itself. */
#define GRACE_MS 2000
#define PULL_TIMEOUT_MS 30000
/* Retry-After of a refusal that comes without an estimate. */
#define RETRY_MS 1000

static void
report(struct attempt *a, enum lb_result r, const struct pt_load *load)
{
	if (a->up == NULL)
		return;
	if (a->latency_us == 0)
		a->latency_us = pt_now(&a->entry->node->clock) - a->begun;
	lb_done(a->entry->node->lb, a->up, r, a->latency_us, load);
	a->up = NULL;
}

static void
attempt_free(struct attempt *a)
{
	TAILQ_REMOVE(&a->entry->attempts, a, link);
	report(a, a->abandoned, NULL);
	g_free(a->host);
	g_free(a);
}

/* Tells the upstream's node that the work is not wanted any more. */
static void
give_up(struct attempt *a)
{
	struct node *n = a->entry->node;
	struct pt_pull_args args = { PT_PROTO, a->id };

	if (a->host == NULL)
		upstream_cancel(n->serve, 0, a->id);
	else
		n->rpc.call(n->rpc.ctx, a->host, a->port, PT_CANCEL, &args, 0,
		    NULL, NULL);
}

void
attempt_detach(struct ecall *c, enum lb_result r, gboolean cancel)
{
	struct attempt *a = g_steal_pointer(&c->at);
	gboolean waiting = a->waiting;

	a->call = NULL;
	a->abandoned = r;
	/* A callback that is due, now or later, frees the attempt. */
	if (cancel)
		give_up(a);
	if (!waiting)
		attempt_free(a);
}

void
attempts_detach(struct entry *e)
{
	struct attempt *a;

	while ((a = TAILQ_FIRST(&e->attempts)) != NULL) {
		TAILQ_REMOVE(&e->attempts, a, link);
		report(a, a->abandoned, NULL);
		g_clear_pointer(&a->host, g_free);
		a->entry = NULL;
	}
}

void
attempt_end(struct ecall *c)
{
	struct attempt *a = g_steal_pointer(&c->at);

	a->abandoned = LB_RAN;
	attempt_free(a);
}

/* ---- results ---- */

static void
retry(struct ecall *c, const char *reason)
{
	struct entry *e = c->entry;
	guint no = 0;

	g_strlcpy(c->reason, reason, sizeof(c->reason));
	if (c->n_tried < TRIES_MAX &&
	    budget_retry(e->node->budget, c->call.service)) {
		if (c->key_text != NULL)
			no = idem_retry(e->node->idem, c->seq, c->attempt_no);
		if (c->key_text == NULL || no != 0) {
			c->attempt_no = no;
			c->series->retries++;
			attempt_start(c);
			return;
		}
	}
	keyed_not_run(c);
	request_refuse(c, 503, PT_CALL_NOT_RUN, c->reason, RETRY_MS);
}

static void
ran(struct attempt *a, const struct pt_answer *ans)
{
	struct ecall *c = a->call;

	a->latency_us = pt_now(&a->entry->node->clock) - a->begun;
	keyed_settle(a, IDEM_R_RAN, ans);
	if (!ans->more) {
		report(a, ans->http_status >= 500 ? LB_FAILED : LB_RAN,
		    &ans->load);
		c->at = NULL;
		attempt_free(a);
	}
	request_answer(c, ans);
}

static void
unknown(struct attempt *a, const char *reason)
{
	struct ecall *c = a->call;

	report(a, LB_FAILED, NULL);
	keyed_settle(a, IDEM_R_UNKNOWN, NULL);
	c->at = NULL;
	attempt_free(a);
	request_refuse(c,
	    pt_now(&c->entry->node->clock) >= c->deadline - HOP_US ? 504 : 502,
	    PT_CALL_OUTCOME_UNKNOWN, reason, 0);
}

static void
not_run(struct attempt *a, enum lb_result r, const struct pt_load *load,
    const char *reason)
{
	struct ecall *c = a->call;

	report(a, r, load);
	c->at = NULL;
	attempt_free(a);
	retry(c, reason);
}

/* The request was over before its attempt: only the key learns the result. */
static void
orphan(struct attempt *a, const struct pt_answer *ans)
{
	if (ans != NULL && ans->status == PT_CALL_RAN) {
		keyed_settle(a, IDEM_R_RAN, ans);
		if (ans->more)
			give_up(a);
	} else if (ans != NULL && ans->status == PT_CALL_NOT_RUN) {
		keyed_settle(a, IDEM_R_NOT_RUN, NULL);
	} else {
		keyed_settle(a, IDEM_R_UNKNOWN, NULL);
	}
	attempt_free(a);
}

/* No connection: membership looks at the member, the call goes elsewhere. */
static void
unreached(struct attempt *a, const char *why)
{
	struct node *n = a->entry->node;

	memb_report_failure(n->memb, lb_call_instance(a->up));
	sys_ticker_kick(n->memb_ticker);
	not_run(a, LB_UNREACHED, NULL, why);
}

/* No answer came: only what was certainly not sent may go elsewhere. */
static void
attempt_failed(struct attempt *a, const GError *err)
{
	const char *why = err != NULL ? err->message : "no answer";

	if (g_error_matches(err, PT_ERROR, PT_ERROR_UNREACHABLE))
		unreached(a, why);
	else if (g_error_matches(err, PT_ERROR, PT_ERROR_PROTOCOL) ||
		 g_error_matches(err, PT_ERROR, PT_ERROR_TOO_LARGE) ||
		 PT_MUTANT(MUTANT_RETRY_UNKNOWN))
		not_run(a, LB_REFUSED, NULL, why);
	else
		unknown(a, why);
}

static void
answered(struct attempt *a, const struct pt_answer *ans)
{
	switch (ans->status) {
	case PT_CALL_RAN:
		ran(a, ans);
		break;
	case PT_CALL_NOT_RUN:
		/* Without slots the backend server is down: avoid it. */
		if (ans->load.slots == 0)
			not_run(a, LB_UNREACHED, NULL, ans->reason);
		else
			not_run(a, LB_REFUSED, &ans->load, ans->reason);
		break;
	default:
		unknown(a, ans->reason);
		break;
	}
}

/* Exactly one of answer and error is set. */
static void
attempt_done(struct attempt *a, const struct pt_answer *ans, const GError *err)
{
	a->waiting = FALSE;
	if (a->entry == NULL)
		g_free(a);
	else if (a->call == NULL)
		orphan(a, ans);
	else if (ans == NULL)
		attempt_failed(a, err);
	else
		answered(a, ans);
}

/* ---- the way to the upstream ---- */

static void
on_forwarded(void *arg, void *res, const GError *err)
{
	attempt_done(arg, err == NULL ? res : NULL, err);
}

static void
on_served(void *arg, const struct pt_answer *ans)
{
	attempt_done(arg, ans, NULL);
}

static void
pulled(struct attempt *a, const struct pt_pull_res *res)
{
	a->waiting = FALSE;
	if (a->entry == NULL)
		g_free(a);
	else if (a->call == NULL)
		attempt_free(a);
	else
		request_send_chunk(a->call, res);
}

static void
on_pulled(void *arg, void *res, const GError *err)
{
	pulled(arg, err == NULL ? res : NULL);
}

static void
on_pulled_local(void *arg, const struct pt_pull_res *res)
{
	pulled(arg, res);
}

void
attempt_pull(struct ecall *c)
{
	struct node *n = c->entry->node;
	struct attempt *a = c->at;
	struct pt_pull_args args = { PT_PROTO, a->id };

	a->waiting = TRUE;
	if (a->host == NULL)
		upstream_pull(n->serve, 0, a->id, on_pulled_local, a);
	else
		n->rpc.call(n->rpc.ctx, a->host, a->port, PT_PULL, &args,
		    PULL_TIMEOUT_MS, on_pulled, a);
}

static void
dispatch(struct ecall *c, struct attempt *a)
{
	struct node *n = c->entry->node;

	c->call.id = a->id;
	if (c->key_text != NULL) {
		idem_fill(n->idem, c->seq, c->attempt_no,
		    lb_call_incarnation(a->up), &c->key);
		c->call.key = &c->key;
	}
	a->waiting = TRUE;
	if (a->host == NULL)
		upstream_call(n->serve, 0, &c->call, TRUE, on_served, a);
	else
		n->rpc.call(n->rpc.ctx, a->host, a->port, PT_FORWARD, &c->call,
		    (guint)c->call.deadline_ms + GRACE_MS, on_forwarded, a);
}

static struct attempt *
attempt_new(struct ecall *c, struct lb_call *up)
{
	struct node *n = c->entry->node;
	const char *name = lb_call_instance(up);
	const struct memb_member *m = memb_find(n->memb, name);
	struct attempt *a;

	a = g_new0(struct attempt, 1);
	a->entry = c->entry;
	TAILQ_INSERT_TAIL(&c->entry->attempts, a, link);
	a->call = c;
	a->up = up;
	a->id = ++c->entry->last_id;
	a->begun = pt_now(&n->clock);
	a->keyed = c->key_text != NULL;
	a->seq = c->seq;
	a->attempt = c->attempt_no;
	if (strcmp(name, n->set.instance) != 0 && m != NULL) {
		a->host = g_strdup(m->host);
		a->port = m->rpc_port;
	}
	c->at = a;
	c->tried[c->n_tried++] = g_strdup(name);
	return a;
}

/* Refuses before any further attempt: nothing of this request has run. */
static void
refuse(struct ecall *c, const char *reason, int retry_ms)
{
	if (c->n_tried > 0)
		reason = c->reason;
	keyed_not_run(c);
	request_refuse(c, 503, PT_CALL_NOT_RUN, reason,
	    retry_ms > 0 ? retry_ms : RETRY_MS);
}

void
attempt_start(struct ecall *c)
{
	struct node *n = c->entry->node;
	struct lb_request ask = { .service = c->call.service,
		.rank_order = c->call.rank_order,
		.deadline = c->deadline,
		.exclude = (const char *const *)c->tried,
		.n_exclude = c->n_tried };
	struct lb_call *up;
	int retry_ms = 0;

	c->call.deadline_ms =
	    deadline_left_ms(pt_now(&n->clock), c->deadline, HOP_US);
	if (c->call.deadline_ms == 0) {
		refuse(c, "too little time remains; allow more", 0);
		return;
	}
	switch (lb_choose(n->lb, &ask, &up, &retry_ms)) {
	case LB_CHOSEN:
		dispatch(c, attempt_new(c, up));
		break;
	case LB_LATE:
		refuse(c,
		    "every upstream's wait exceeds the remaining time; retry "
		    "later or allow more time",
		    retry_ms);
		break;
	default:
		refuse(c, "no upstream serves this service; retry later",
		    retry_ms);
		break;
	}
}
