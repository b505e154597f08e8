/* Answers to callers: upstreams' answers, refusals and unknown outcomes. */
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

/* Time in which a caller must take a chunk of a streamed answer. */
#define STALL_US (30 * G_USEC_PER_SEC)

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
relay_reply(struct ecall *c, const struct pt_answer *a)
{
	struct rpcio_req *relay = g_steal_pointer(&c->relay);
	struct pt_answer out = *a;

	out.proto = PT_PROTO;
	out.id = 0;
	rpcio_reply(relay, &out);
}

void
request_refuse(struct ecall *c, guint status, enum pt_call_status outcome,
    const char *reason, int retry_ms)
{
	struct pt_answer a = { .status = outcome,
		.reason = (char *)reason,
		.http_status = (int)status };

	if (c->relay != NULL)
		relay_reply(c, &a);
	else if (c->req != NULL)
		entry_reply_text(g_steal_pointer(&c->req), status,
		    outcomes[outcome], reason, retry_ms);
	request_finish(c, outcome == PT_CALL_RAN       ? RESULT_RAN
			  : outcome == PT_CALL_NOT_RUN ? RESULT_NOT_RUN
						       : RESULT_UNKNOWN);
}

static enum request_result
result_of(const struct pt_answer *a)
{
	return a->http_status >= 500 ? RESULT_FAILED : RESULT_RAN;
}

/* The caller does not read: its answer cannot be completed. */
static void
on_stall(void *arg)
{
	struct ecall *c = arg;

	c->timer = 0;
	httpio_abort(g_steal_pointer(&c->req));
	attempt_detach(c, LB_CANCELLED, TRUE);
	request_finish(c, RESULT_CANCELLED);
}

static void
on_drained(void *arg)
{
	struct ecall *c = arg;

	sys_cancel(&c->timer);
	attempt_pull(c);
}

static gint64
body_length(const struct pt_answer *a, const char *length)
{
	if (length != NULL)
		return g_ascii_strtoll(length, NULL, 10);
	return a->more ? -1 : (gint64)a->body.body_len;
}

static void
send_head(struct ecall *c, const struct pt_answer *a)
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
		if (g_ascii_strcasecmp(p->name, "Pt-Outcome") == 0)
			continue;
		h[n].name = p->name;
		h[n++].value = p->value;
	}
	h[n].name = "Pt-Outcome";
	h[n++].value = "ran";
	httpio_head(
	    c->req, (guint)a->http_status, h, n, body_length(a, length));
}

static void
http_answer(struct ecall *c, const struct pt_answer *a)
{
	send_head(c, a);
	c->headers_sent = TRUE;
	sys_cancel(&c->timer);
	if (a->more) {
		c->timer = sys_after(STALL_US, on_stall, c);
		httpio_write(
		    c->req, a->body.body_val, a->body.body_len, on_drained, c);
		return;
	}
	if (a->body.body_len > 0)
		httpio_write(
		    c->req, a->body.body_val, a->body.body_len, NULL, NULL);
	httpio_end(g_steal_pointer(&c->req));
	request_finish(c, result_of(a));
}

/*
 * A relayed answer has room for one chunk.  A larger one, which has run, is
 * answered without its body, as a repeat is.
 */
static void
relay_answer(struct ecall *c, const struct pt_answer *a)
{
	if (!a->more) {
		relay_reply(c, a);
		request_finish(c, result_of(a));
		return;
	}
	attempt_detach(c, LB_RAN, TRUE);
	request_refuse(c, 409, PT_CALL_RAN,
	    "the request ran; its answer is too large to be relayed", 0);
}

void
request_answer(struct ecall *c, const struct pt_answer *a)
{
	if (c->relay != NULL) {
		relay_answer(c, a);
	} else if (c->req != NULL) {
		http_answer(c, a);
	} else {
		if (a->more)
			attempt_detach(c, LB_RAN, TRUE);
		request_finish(c, result_of(a));
	}
}

/* A further part of a streamed answer. */
void
request_send_chunk(struct ecall *c, const struct pt_pull_res *r)
{
	if (PT_MUTANT(MUTANT_SHORT_SUCCESS) && r != NULL && r->failed) {
		httpio_end(g_steal_pointer(&c->req));
		attempt_end(c);
		request_finish(c, RESULT_RAN);
		return;
	}
	if (r == NULL || r->failed) {
		httpio_abort(g_steal_pointer(&c->req));
		attempt_detach(c, LB_FAILED, FALSE);
		request_finish(c, RESULT_FAILED);
		return;
	}
	if (r->more) {
		c->timer = sys_after(STALL_US, on_stall, c);
		httpio_write(
		    c->req, r->body.body_val, r->body.body_len, on_drained, c);
		return;
	}
	if (r->body.body_len > 0)
		httpio_write(
		    c->req, r->body.body_val, r->body.body_len, NULL, NULL);
	httpio_end(g_steal_pointer(&c->req));
	attempt_end(c);
	request_finish(c, RESULT_RAN);
}
