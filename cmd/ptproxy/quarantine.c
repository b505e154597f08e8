/*
 * Requests that end the backend servers that run them.  Only the node beside a
 * server sees it end under its requests; every node refuses a request beside
 * which several servers have ended.
 */
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
#include "quar.h"
#include "limit.h"
#include "platform.h"
#include "proxy.h"

/* Members of a failure domain that tell a node that has started. */
#define N_TELLERS 2
/* Bytes of a request's target in a log line. */
#define TARGET_MAX 200
/* Path of the operators' interface on the port of metrics. */
#define PATH "/quarantine"

struct quarantine {
	struct proxy *proxy;
	struct quar *quar;
	struct sys_ticker *ticker;
};

static void
send_suspects(void *ctx, struct pt_suspect *list, guint n, guint targets)
{
	struct quarantine *q = ctx;
	struct pt_suspects m;

	if (q->proxy->memb == NULL)
		return;
	quar_message(&m, q->proxy->set->instance, list, n);
	memb_cast(q->proxy->memb, (xdrproc_t)xdr_pt_suspects, &m, targets);
}

static gint64
tick(void *arg)
{
	struct quarantine *q = arg;

	return quar_tick(q->quar);
}

struct quarantine *
quarantine_new(struct proxy *p)
{
	struct quarantine *q = g_new0(struct quarantine, 1);
	struct quar_opts o = {
		.clock = p->clock, .send = send_suspects, .ctx = q
	};

	o.node =
	    (guint64)g_str_hash(p->set->instance) << 32 ^ (guint64)p->started;
	q->proxy = p;
	q->quar = quar_new(&o);
	q->ticker = sys_ticker_new(tick, q);
	return q;
}

void
quarantine_free(struct quarantine *q)
{
	if (q == NULL)
		return;
	sys_ticker_free(q->ticker);
	quar_free(q->quar);
	g_free(q);
}

static const char *
digest_of(struct fwd *f)
{
	struct quar_request r = { .caller = f->caller_service,
		.method = f->head->method,
		.host = h1_head_get(f->head, "Host"),
		.target = f->head->target };

	if (!f->has_digest) {
		r.body = g_bytes_get_data(f->body, &r.len);
		quar_digest(&r, f->digest);
		f->has_digest = TRUE;
	}
	return f->digest;
}

/* ---- exchange with other nodes ---- */

void
quarantine_heard(struct quarantine *q, const void *data, gsize len)
{
	if (quar_input(q->quar, data, len))
		backend_drop_quarantined(q->proxy->backend);
	sys_ticker_kick(q->ticker);
}

void
quarantine_tell(struct quarantine *q, const char *instance)
{
	struct pt_suspect list[PT_SUSPECTS_MAX];
	struct pt_suspects m;
	guint n;

	if (q == NULL || !memb_elected(q->proxy->memb, N_TELLERS))
		return;
	n = quar_newest(q->quar, list, PT_SUSPECTS_MAX);
	if (n == 0)
		return;
	quar_message(&m, q->proxy->set->instance, list, n);
	memb_cast_to(q->proxy->memb, instance, (xdrproc_t)xdr_pt_suspects, &m);
}

/* ---- the server beside this node ---- */

void
quarantine_lost(struct quarantine *q, guint process, struct fwd *f)
{
	char text[QUAR_TEXT];

	if (q == NULL)
		return;
	quar_lost(q->quar, process, digest_of(f));
	quar_digest_text(f->digest, text);
	pt_event(&q->proxy->events, PT_LEVEL_INFO, "request-lost",
	    "id=%s digest=%s ends=%u route=%s caller=%s",
	    f->attempt_id != NULL ? f->attempt_id : "-", text,
	    quar_ends(q->quar, f->digest), f->route, f->caller_service);
	sys_ticker_kick(q->ticker);
}

void
quarantine_completed(struct quarantine *q, guint process, struct fwd *f)
{
	gboolean suspects;

	if (q == NULL)
		return;
	suspects = !quar_empty(q->quar);
	quar_answered(q->quar, process);
	quar_completed(q->quar, digest_of(f));
	if (suspects)
		sys_ticker_kick(q->ticker);
}

void
quarantine_ended(struct quarantine *q, guint process)
{
	guint n;

	if (q == NULL)
		return;
	n = quar_ended(q->quar, process);
	if (n == 0)
		return;
	stats_add(q->proxy->stats, STAT_SERVER_ENDS);
	pt_event(&q->proxy->events, PT_LEVEL_WARNING, "server-ended",
	    "process=%u suspects=%u", process, n);
	sys_ticker_kick(q->ticker);
	backend_drop_quarantined(q->proxy->backend);
}

/* ---- decisions ---- */

gboolean
quarantine_refuses(struct quarantine *q, struct fwd *f, int *retry_ms)
{
	gint64 left;

	if (q == NULL || quar_empty(q->quar) ||
	    !quar_refuses(q->quar, digest_of(f), &left))
		return FALSE;
	*retry_ms = (int)(left / G_TIME_SPAN_MILLISECOND) + 1;
	return TRUE;
}

void
quarantine_refused(struct quarantine *q, struct fwd *f)
{
	char text[QUAR_TEXT];

	quar_digest_text(digest_of(f), text);
	stats_add(q->proxy->stats, STAT_QUARANTINED);
	pt_event(&q->proxy->events, PT_LEVEL_WARNING, "quarantined",
	    "id=%s digest=%s ends=%u route=%s caller=%s target=%.*s",
	    f->attempt_id != NULL ? f->attempt_id : "-", text,
	    quar_ends(q->quar, f->digest), f->route, f->caller_service,
	    TARGET_MAX, f->head->target);
}

gboolean
quarantine_suspects(struct quarantine *q, struct fwd *f)
{
	return q != NULL && !quar_empty(q->quar) &&
	       quar_ends(q->quar, digest_of(f)) > 0;
}

/* ---- the operators' interface ---- */

static void
list_entry(void *ctx, const pt_id digest, guint ends, gint64 age)
{
	char text[QUAR_TEXT];

	quar_digest_text(digest, text);
	g_string_append_printf(ctx,
	    "digest=%s ends=%u age_s=%" G_GINT64_FORMAT "\n", text, ends,
	    age / G_TIME_SPAN_SECOND);
}

static void
lift(struct quarantine *q, const char *text, struct httpd_response *res)
{
	pt_id digest;

	res->type = "text/plain";
	if (!quar_digest_parse(text, digest)) {
		res->status = 400;
		res->body = g_strdup(
		    "not a digest; give the 32 hexadecimal digits that "
		    "GET " PATH " lists\n");
		return;
	}
	if (!quar_lift(q->quar, digest)) {
		res->status = 404;
		res->body = g_strdup("no such digest; see GET " PATH "\n");
		return;
	}
	pt_event(&q->proxy->events, PT_LEVEL_INFO, "quarantine-lifted",
	    "digest=%s", text);
	sys_ticker_kick(q->ticker);
	res->status = 200;
	res->body = g_strdup("lifted\n");
}

void
quarantine_handle(struct proxy *p, const struct h1_head *h,
    const GByteArray *body, struct httpd_response *res)
{
	GString *out;

	if (strcmp(h->method, "DELETE") == 0 &&
	    g_str_has_prefix(h->target, PATH "/")) {
		lift(p->quarantine, h->target + strlen(PATH "/"), res);
		return;
	}
	if (strcmp(h->method, "GET") != 0 || strcmp(h->target, PATH) != 0)
		return;
	out = g_string_new(NULL);
	quar_each(p->quarantine->quar, list_entry, out);
	res->status = 200;
	res->type = "text/plain";
	res->body = g_string_free(out, FALSE);
}
