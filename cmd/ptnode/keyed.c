/* Requests with idempotency keys: dispatch at the owner, relay elsewhere. */
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

/* Set aside of the remaining time for the way to the owner and back. */
#define RELAY_HOP_US 4000
#define RELAY_GRACE_MS 2500
#define KEYS_DEFAULT 64
#define KEYS_MAX 1024
/* Callers use a key for the first time within this time, and a margin for
 * the way. */
#define KEY_USE_MS 5000
#define KEY_USE_MARGIN_MS 1000

/* A request on its way to the owner of its key; may outlive the request. */
struct relay {
	struct ecall *call; /* NULL: over */
};

/* A graceful shutdown waits until the key may no longer be used first. */
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
	guint64 i, n = KEYS_DEFAULT;
	GString *s;
	char *key;

	if (!e->node->ready || e->node->draining) {
		entry_reply_text(r, 503, "not-run",
		    "this node is booting or leaving; get keys from another",
		    1000);
		return;
	}
	if (count != NULL)
		n = g_ascii_strtoull(count + strlen("count="), NULL, 10);
	n = CLAMP(n, 1, KEYS_MAX);
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

/* The answer to keep for repeats; NULL if it is not whole. */
static GBytes *
keep(const struct pt_answer *a)
{
	if (a == NULL || a->more || a->body.body_len > IDEM_ANSWER_MAX)
		return NULL;
	return pt_encode((xdrproc_t)xdr_pt_answer, a);
}

void
keyed_settle(struct attempt *a, enum idem_result r, const struct pt_answer *ans)
{
	GBytes *b;

	if (!a->keyed)
		return;
	b = keep(ans);
	idem_settle(a->entry->node->idem, a->seq, a->attempt, r, b);
	g_clear_pointer(&b, g_bytes_unref);
}

void
keyed_not_run(struct ecall *c)
{
	if (!c->dispatched)
		return;
	idem_settle(
	    c->entry->node->idem, c->seq, c->attempt_no, IDEM_R_NOT_RUN, NULL);
}

/* Answers with what was kept of the run. */
static void
replay(struct ecall *c, GBytes *kept)
{
	struct pt_answer a = { 0 };
	gsize n;
	const void *p = kept != NULL ? g_bytes_get_data(kept, &n) : NULL;

	if (p == NULL ||
	    !pt_decode((xdrproc_t)xdr_pt_answer, &a, sizeof(a), p, n)) {
		request_refuse(c, 409, PT_CALL_RAN,
		    "the request ran; its answer was too large to be kept", 0);
		return;
	}
	request_answer(c, &a);
	xdr_free((xdrproc_t)xdr_pt_answer, (char *)&a);
}

static void
on_settled(struct idem_waiter *w, enum idem_result r, GBytes *kept)
{
	struct ecall *c =
	    (struct ecall *)(void *)((char *)w -
				     offsetof(struct ecall, waiter));

	if (r == IDEM_R_RAN)
		replay(c, kept);
	else if (r == IDEM_R_NOT_RUN)
		request_refuse(c, 503, PT_CALL_NOT_RUN,
		    "the request with this key was refused; repeat it", 1000);
	else
		request_refuse(c, 502, PT_CALL_OUTCOME_UNKNOWN,
		    "outcome unknown; repeat with the same key later", 0);
}

/* ---- relay to the owner ---- */

static void
on_relayed(void *arg, void *res, const GError *err)
{
	struct relay *r = arg;
	struct ecall *c = r->call;
	struct pt_answer *a = res;
	guint status;

	g_free(r);
	if (c == NULL)
		return;
	c->passed = NULL;
	if (err != NULL) {
		request_refuse(c, 502, PT_CALL_OUTCOME_UNKNOWN,
		    "outcome unknown: the owner of the key does not answer; "
		    "repeat with the same key later",
		    0);
	} else if (a->status == PT_CALL_RAN && a->reason[0] == '\0') {
		request_answer(c, a);
	} else {
		status = a->status == PT_CALL_NOT_RUN ? 503 : 502;
		if (a->http_status > 0)
			status = (guint)a->http_status;
		request_refuse(
		    c, status, a->status, a->reason, status == 503 ? 1000 : 0);
	}
}

static void
relay(struct ecall *c, const struct idem_key *key)
{
	struct node *n = c->entry->node;
	const struct memb_member *m = memb_find(n->memb, key->owner);
	struct pt_keyed_args args = { (char *)c->key_text, c->call };

	if (c->relay != NULL || m == NULL || !memb_present(m) ||
	    m->started != key->incarnation) {
		request_refuse(c, 502, PT_CALL_OUTCOME_UNKNOWN,
		    "outcome unknown: the node that issued the key is gone; "
		    "nothing was run now",
		    0);
		return;
	}
	args.call.deadline_ms =
	    deadline_left_ms(pt_now(&n->clock), c->deadline, RELAY_HOP_US);
	c->passed = g_new0(struct relay, 1);
	c->passed->call = c;
	c->entry->relayed++;
	n->rpc.call(n->rpc.ctx, m->host, m->rpc_port, PT_KEYED, &args,
	    (guint)args.call.deadline_ms + RELAY_GRACE_MS, on_relayed,
	    c->passed);
}

void
keyed_detach(struct ecall *c)
{
	idem_unwait(&c->waiter);
	if (c->passed != NULL)
		c->passed->call = NULL;
	c->passed = NULL;
}

/* Hash of what a key stands for; a repeat must be the same request. */
static guint64
request_hash(const struct pt_call *c)
{
	guint64 h = 0, head[2] = { 0 };
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize n = sizeof(digest);

	head[0] = strlen(c->method);
	head[1] = strlen(c->path);
	g_checksum_update(sum, (const guchar *)head, sizeof(head));
	g_checksum_update(sum, (const guchar *)c->method, (gssize)head[0]);
	g_checksum_update(sum, (const guchar *)c->path, (gssize)head[1]);
	if (c->body.body_len > 0)
		g_checksum_update(
		    sum, (const guchar *)c->body.body_val, c->body.body_len);
	g_checksum_get_digest(sum, digest, &n);
	memcpy(&h, digest, sizeof(h));
	g_checksum_free(sum);
	return MAX(h, 1);
}

void
keyed_begin(struct ecall *c)
{
	struct node *n = c->entry->node;
	struct idem_begin b;

	c->waiter.done = on_settled;
	idem_begin(
	    n->idem, c->key_text, request_hash(&c->call), &c->waiter, &b);
	c->seq = b.key.seq;
	switch (b.verdict) {
	case IDEM_DISPATCH:
		c->dispatched = TRUE;
		c->attempt_no = b.attempt;
		attempt_start(c);
		break;
	case IDEM_WAIT:
		break;
	case IDEM_REPLAY:
		replay(c, b.answer);
		break;
	case IDEM_RELAY:
		relay(c, &b.key);
		break;
	case IDEM_MISMATCH:
		request_refuse(c, 422, PT_CALL_NOT_RUN,
		    "the key was used for another request; use a new key", 0);
		break;
	case IDEM_BAD:
		request_refuse(c, 400, PT_CALL_NOT_RUN,
		    "not a key of this mesh; get keys from POST /.pt/keys", 0);
		break;
	case IDEM_EXPIRED:
		request_refuse(c, 502, PT_CALL_OUTCOME_UNKNOWN,
		    "outcome unknown: the key has expired; nothing was run now",
		    0);
		break;
	default:
		request_refuse(c, 502, PT_CALL_OUTCOME_UNKNOWN,
		    "outcome unknown; nothing was run now", 0);
		break;
	}
}
