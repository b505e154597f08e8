/* Answers to callers, from upstreams or from this node. */
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

/* Time within which a caller must read a chunk of a streamed answer. */
#define CALLER_STALL_US (30 * G_USEC_PER_SEC)

static const char *const outcomes[] = { "ran", "not-run", "unknown" };

void
entry_reply_text(struct httpio_req *r, guint status, const char *outcome,
    const char *text, int retry_ms)
{
	struct httpio_header h[3] = { { "Pt-Outcome", outcome },
		{ "Content-Type", "text/plain; charset=utf-8" },
		{ "Retry-After", NULL } };
	char seconds[16];
	char *body;

	g_snprintf(seconds, sizeof(seconds), "%d", (retry_ms + 999) / 1000);
	h[2].value = seconds;
	body = g_strdup_printf("%s\n", text);
	httpio_response(r, status, h, retry_ms > 0 ? 3 : 2, body, strlen(body));
	g_free(body);
}

static void
reply_relayed(struct request *q, const struct pt_answer *a)
{
	struct rpcio_req *req = g_steal_pointer(&q->rpc_req);
	struct pt_answer out = *a;

	out.proto = PT_PROTO;
	out.id = 0;
	rpcio_reply(req, &out);
}

void
request_refuse(struct request *q, guint status, enum pt_call_status outcome,
    const char *reason, int retry_ms)
{
	struct pt_answer a = { .status = outcome,
		.reason = (char *)reason,
		.http_status = (int)status };

	if (q->rpc_req != NULL)
		reply_relayed(q, &a);
	else if (q->req != NULL)
		entry_reply_text(g_steal_pointer(&q->req), status,
		    outcomes[outcome], reason, retry_ms);
	request_finish(q, outcome == PT_CALL_RAN       ? RESULT_RAN
			  : outcome == PT_CALL_NOT_RUN ? RESULT_NOT_RUN
						       : RESULT_UNKNOWN);
}

static enum request_result
result_of(const struct pt_answer *a)
{
	return a->http_status >= 500 ? RESULT_FAILED : RESULT_RAN;
}

/* The caller has not read a chunk in time: resets its connection. */
static void
on_stall(void *arg)
{
	struct request *q = arg;

	q->timer = 0;
	httpio_abort(g_steal_pointer(&q->req));
	attempt_detach(q, LB_CANCELLED, TRUE);
	request_finish(q, RESULT_CANCELLED);
}

static void
on_drained(void *arg)
{
	struct request *q = arg;

	sys_cancel(&q->timer);
	attempt_pull(q);
}

static gint64
body_length(const struct pt_answer *a, const char *length)
{
	if (length != NULL)
		return g_ascii_strtoll(length, NULL, 10);
	return a->more ? -1 : (gint64)a->body.body_len;
}

static void
send_head(struct request *q, const struct pt_answer *a)
{
	struct httpio_header h[PT_HEADERS_MAX + 1];
	const struct pt_header *p = a->headers.headers_val;
	const char *length = NULL;
	guint i, n = 0;

	for (i = 0; i < a->headers.headers_len; i++, p++) {
		if (g_ascii_strcasecmp(p->name, "Content-Length") == 0) {
			length = p->value;
			continue;
		}
		if (g_ascii_strcasecmp(p->name, "Pt-Outcome") == 0 ||
		    g_ascii_strcasecmp(p->name, "Pt-Not-Run") == 0)
			continue;
		h[n].name = p->name;
		h[n++].value = p->value;
	}
	h[n].name = "Pt-Outcome";
	h[n++].value = "ran";
	httpio_head(
	    q->req, (guint)a->http_status, h, n, body_length(a, length));
}

static void
answer_http(struct request *q, const struct pt_answer *a)
{
	send_head(q, a);
	q->headers_sent = TRUE;
	sys_cancel(&q->timer);
	if (a->more) {
		q->timer = sys_after(CALLER_STALL_US, on_stall, q);
		httpio_write(
		    q->req, a->body.body_val, a->body.body_len, on_drained, q);
		return;
	}
	if (a->body.body_len > 0)
		httpio_write(
		    q->req, a->body.body_val, a->body.body_len, NULL, NULL);
	httpio_end(g_steal_pointer(&q->req));
	request_finish(q, result_of(a));
}

/*
 * PT_KEYED returns one chunk.  If the answer is larger, the relaying node gets
 * 409 without the body, as a repeat of the request does.
 */
static void
answer_relayed(struct request *q, const struct pt_answer *a)
{
	if (!a->more) {
		reply_relayed(q, a);
		request_finish(q, result_of(a));
		return;
	}
	attempt_detach(q, LB_RAN, TRUE);
	request_refuse(q, 409, PT_CALL_RAN,
	    "the request ran; its answer is too large to be relayed", 0);
}

void
request_answer(struct request *q, const struct pt_answer *a)
{
	if (q->rpc_req != NULL) {
		answer_relayed(q, a);
	} else if (q->req != NULL) {
		answer_http(q, a);
	} else {
		if (a->more)
			attempt_detach(q, LB_RAN, TRUE);
		request_finish(q, result_of(a));
	}
}

void
request_send_chunk(struct request *q, const struct pt_pull_res *r)
{
	if (PT_MUTANT(MUTANT_SHORT_SUCCESS) && r != NULL && r->failed) {
		httpio_end(g_steal_pointer(&q->req));
		attempt_end(q);
		request_finish(q, RESULT_RAN);
		return;
	}
	if (r == NULL || r->failed) {
		httpio_abort(g_steal_pointer(&q->req));
		attempt_detach(q, LB_FAILED, FALSE);
		request_finish(q, RESULT_FAILED);
		return;
	}
	if (r->more) {
		q->timer = sys_after(CALLER_STALL_US, on_stall, q);
		httpio_write(
		    q->req, r->body.body_val, r->body.body_len, on_drained, q);
		return;
	}
	if (r->body.body_len > 0)
		httpio_write(
		    q->req, r->body.body_val, r->body.body_len, NULL, NULL);
	httpio_end(g_steal_pointer(&q->req));
	attempt_end(q);
	request_finish(q, RESULT_RAN);
}
