/* Requests with idempotency keys: dispatched or relayed to the key's owner. */
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

/* Subtracted from the remaining time for the round trip to the key's owner. */
#define RELAY_ROUND_TRIP_US 4000
/* Added to the remaining time to get the RPC timeout. */
#define RELAY_GRACE_MS 2500
#define KEYS_COUNT_DEFAULT 64
#define KEYS_COUNT_MAX 1024
/* Time after the issue of a key within which callers must first use it. */
#define KEY_USE_MS 5000
/* Added to KEY_USE_MS for network delay. */
#define KEY_USE_MARGIN_MS 1000

/* A PT_KEYED call to the owner of the key; may outlive the request. */
struct relay {
	struct request *request; /* NULL: finished */
};

/*
 * Also extends the time for which a graceful shutdown waits for the first use
 * of issued keys.
 */
char *
keyed_new_key(struct entry *e)
{
	struct node *n = e->node;

	n->keys_until =
	    pt_now(&n->clock) + (gint64)(KEY_USE_MS + KEY_USE_MARGIN_MS) * 1000;
	return idem_issue(n->idem);
}

void
keyed_handle_issue(struct entry *e, struct httpio_req *r)
{
	struct httpio_header h[2] = { { "Content-Type", "application/json" },
		{ "Cache-Control", "no-store" } };
	const char *count = strstr(httpio_req_path(r), "count=");
	guint64 i, n = KEYS_COUNT_DEFAULT;
	GString *s;
	char *key;

	if (!e->node->ready || e->node->stopping) {
		entry_reply_text(r, 503, "not-run",
		    "this node is booting or leaving; get keys from another",
		    1000);
		return;
	}
	if (count != NULL)
		n = g_ascii_strtoull(count + strlen("count="), NULL, 10);
	n = CLAMP(n, 1, KEYS_COUNT_MAX);
	s = g_string_new("{\"keys\":[");
	for (i = 0; i < n; i++) {
		key = keyed_new_key(e);
		g_string_append_printf(s, "%s\"%s\"", i > 0 ? "," : "", key);
		g_free(key);
	}
	g_string_append_printf(s, "],\"use_within_ms\":%d}\n", KEY_USE_MS);
	e->keys += n;
	httpio_response(r, 200, h, 2, s->str, s->len);
	g_string_free(s, TRUE);
}

/* Encodes an answer to keep for repeats; NULL: none, streamed or too large. */
static GBytes *
encode_answer(const struct pt_answer *a)
{
	if (a == NULL || a->more || a->body.body_len > IDEM_ANSWER_MAX)
		return NULL;
	return pt_encode((xdrproc_t)xdr_pt_answer, a);
}

void
keyed_end_attempt(
    struct attempt *a, enum idem_result r, const struct pt_answer *ans)
{
	GBytes *b;

	if (!a->keyed)
		return;
	b = encode_answer(ans);
	idem_end_attempt(a->entry->node->idem, a->seq, a->attempt_no, r, b);
	g_clear_pointer(&b, g_bytes_unref);
}

void
keyed_not_run(struct request *q)
{
	if (!q->dispatched)
		return;
	idem_end_attempt(
	    q->entry->node->idem, q->seq, q->attempt_no, IDEM_R_NOT_RUN, NULL);
}

/* Answers a repeat with the answer that was kept. */
static void
replay(struct request *q, GBytes *kept)
{
	struct pt_answer a = { 0 };
	gsize n;
	const void *p = kept != NULL ? g_bytes_get_data(kept, &n) : NULL;

	if (p == NULL ||
	    !pt_decode((xdrproc_t)xdr_pt_answer, &a, sizeof(a), p, n)) {
		request_refuse(q, 409, PT_CALL_RAN,
		    "the request ran; its answer was too large to be kept", 0);
		return;
	}
	request_answer(q, &a);
	xdr_free((xdrproc_t)xdr_pt_answer, (char *)&a);
}

static void
on_key_result(struct idem_waiter *w, enum idem_result r, GBytes *kept)
{
	struct request *q =
	    (struct request *)(void *)((char *)w -
				       offsetof(struct request, waiter));

	if (r == IDEM_R_RAN)
		replay(q, kept);
	else if (r == IDEM_R_NOT_RUN)
		request_refuse(q, 503, PT_CALL_NOT_RUN,
		    "the request with this key was refused; repeat it", 1000);
	else
		request_refuse(q, 502, PT_CALL_OUTCOME_UNKNOWN,
		    "outcome unknown; repeat with the same key later", 0);
}

/* ---- relay to the owner ---- */

static void
on_relayed(void *arg, void *res, const GError *err)
{
	struct relay *r = arg;
	struct request *q = r->request;
	struct pt_answer *a = res;
	guint status;

	g_free(r);
	if (q == NULL)
		return;
	q->relay = NULL;
	if (err != NULL) {
		request_refuse(q, 502, PT_CALL_OUTCOME_UNKNOWN,
		    "outcome unknown: the owner of the key does not answer; "
		    "repeat with the same key later",
		    0);
	} else if (a->status == PT_CALL_RAN && a->reason[0] == '\0') {
		request_answer(q, a);
	} else {
		status = a->status == PT_CALL_NOT_RUN ? 503 : 502;
		if (a->http_status > 0)
			status = (guint)a->http_status;
		request_refuse(
		    q, status, a->status, a->reason, status == 503 ? 1000 : 0);
	}
}

static void
relay_to_owner(struct request *q, const struct idem_key *key)
{
	struct node *n = q->entry->node;
	const struct memb_member *m = memb_find(n->memb, key->owner);
	struct pt_keyed_args args = { (char *)q->key_text, q->call };

	if (q->rpc_req != NULL || m == NULL || !memb_present(m) ||
	    m->started != key->incarnation) {
		request_refuse(q, 502, PT_CALL_OUTCOME_UNKNOWN,
		    "outcome unknown: the node that issued the key is gone; "
		    "nothing was run now",
		    0);
		return;
	}
	args.call.deadline_ms = deadline_left_ms(
	    pt_now(&n->clock), q->deadline, RELAY_ROUND_TRIP_US);
	q->relay = g_new0(struct relay, 1);
	q->relay->request = q;
	q->entry->relayed++;
	n->rpc.call(n->rpc.ctx, m->host, m->rpc_port, PT_KEYED, &args,
	    (guint)args.call.deadline_ms + RELAY_GRACE_MS, on_relayed,
	    q->relay);
}

void
keyed_detach(struct request *q)
{
	idem_cancel_wait(&q->waiter);
	if (q->relay != NULL)
		q->relay->request = NULL;
	q->relay = NULL;
}

/*
 * Hash of method, path and body, by which a repeat is checked to be the same
 * request.
 */
static guint64
call_hash(const struct pt_call *c)
{
	guint64 h = 0, lens[2] = { 0 };
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize n = sizeof(digest);

	lens[0] = strlen(c->method);
	lens[1] = strlen(c->path);
	g_checksum_update(sum, (const guchar *)lens, sizeof(lens));
	g_checksum_update(sum, (const guchar *)c->method, (gssize)lens[0]);
	g_checksum_update(sum, (const guchar *)c->path, (gssize)lens[1]);
	if (c->body.body_len > 0)
		g_checksum_update(
		    sum, (const guchar *)c->body.body_val, c->body.body_len);
	g_checksum_get_digest(sum, digest, &n);
	memcpy(&h, digest, sizeof(h));
	g_checksum_free(sum);
	return MAX(h, 1);
}

void
keyed_begin(struct request *q)
{
	struct node *n = q->entry->node;
	struct idem_begin b;

	q->waiter.done = on_key_result;
	idem_begin(n->idem, q->key_text, call_hash(&q->call), &q->waiter, &b);
	q->seq = b.key.seq;
	switch (b.verdict) {
	case IDEM_DISPATCH:
		q->dispatched = TRUE;
		q->attempt_no = b.attempt;
		attempt_start(q);
		break;
	case IDEM_WAIT:
		break;
	case IDEM_REPLAY:
		replay(q, b.answer);
		break;
	case IDEM_RELAY:
		relay_to_owner(q, &b.key);
		break;
	case IDEM_MISMATCH:
		request_refuse(q, 422, PT_CALL_NOT_RUN,
		    "the key was used for another request; use a new key", 0);
		break;
	case IDEM_BAD:
		request_refuse(q, 400, PT_CALL_NOT_RUN,
		    "not a key of this mesh; get keys from POST /.pt/keys", 0);
		break;
	case IDEM_EXPIRED:
		request_refuse(q, 502, PT_CALL_OUTCOME_UNKNOWN,
		    "outcome unknown: the key has expired; nothing was run now",
		    0);
		break;
	default:
		request_refuse(q, 502, PT_CALL_OUTCOME_UNKNOWN,
		    "outcome unknown; nothing was run now", 0);
		break;
	}
}
