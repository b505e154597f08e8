/*
 * Requests that end the backend servers that run them.  Only the node beside a
 * server sees it end under its requests; every node refuses a request beside
 * which several servers have ended.
 */
#include <glib.h>
#include <gio/gio.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
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
#include "quar.h"
#include "settings.h"
#include "node.h"

/* Members of a failure domain that tell a node that has started. */
#define N_TELLERS 2

struct quarantine {
	struct node *node;
	struct quar *quar;
	struct sys_ticker *ticker;
	/*
	 * Number of the server's process: a new one has announced itself, or
	 * answered, after the former one ended.
	 */
	guint process;
	gboolean ended;
	guint64 ends, refused;
};

static void
send_suspects(void *ctx, struct pt_suspect *list, guint n, guint targets)
{
	struct quarantine *q = ctx;
	struct pt_suspects m;

	if (q->node->memb == NULL)
		return;
	quar_message(&m, q->node->set.instance, list, n);
	memb_cast(q->node->memb, (xdrproc_t)xdr_pt_suspects, &m, targets);
}

static gint64
tick(void *arg)
{
	struct quarantine *q = arg;

	return quar_tick(q->quar);
}

struct quarantine *
quarantine_new(struct node *n)
{
	struct quarantine *q = g_new0(struct quarantine, 1);
	struct quar_opts o = {
		.clock = n->clock, .send = send_suspects, .ctx = q
	};

	o.node = (guint64)g_str_hash(n->set.instance) << 32 ^
		 (guint64)n->incarnation;
	q->node = n;
	q->process = 1;
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

/* Service beside which the call entered the mesh, NULL: not known. */
static const char *
caller_of(const struct quarantine *q, const struct pt_call *c)
{
	const struct memb_member *m = memb_find(q->node->memb, c->from);

	return m != NULL ? m->service : NULL;
}

void
quarantine_digest(
    const struct quarantine *q, const struct pt_call *c, pt_id out)
{
	struct quar_request r = { .caller = caller_of(q, c),
		.method = c->method,
		.target = c->path,
		.body = c->body.body_val,
		.len = c->body.body_len };

	quar_digest(&r, out);
}

gboolean
quarantine_refuses(struct quarantine *q, const struct pt_call *c, int *retry_ms)
{
	char text[QUAR_TEXT];
	gint64 left;
	pt_id digest;

	if (quar_empty(q->quar))
		return FALSE;
	quarantine_digest(q, c, digest);
	if (!quar_refuses(q->quar, digest, &left))
		return FALSE;
	q->refused++;
	quar_digest_text(digest, text);
	pt_event(&q->node->events, PT_LEVEL_WARNING, "quarantined",
	    "digest=%s ends=%u service=%s from=%s", text,
	    quar_ends(q->quar, digest), c->service, c->from);
	*retry_ms = (int)(left / G_TIME_SPAN_MILLISECOND) + 1;
	return TRUE;
}

/* ---- the server beside this node ---- */

static void
check_return(struct quarantine *q)
{
	if (!q->ended)
		return;
	q->ended = FALSE;
	q->process++;
}

void
quarantine_announced(struct quarantine *q)
{
	if (q != NULL)
		check_return(q);
}

void
quarantine_answered(struct quarantine *q)
{
	check_return(q);
	quar_answered(q->quar, q->process);
}

void
quarantine_completed(struct quarantine *q, const pt_id digest)
{
	quar_completed(q->quar, digest);
	sys_ticker_kick(q->ticker);
}

void
quarantine_lost(struct quarantine *q, const pt_id digest)
{
	if (q->node->stopping || q->node->backend.state == PT_DRAINING)
		return;
	quar_lost(q->quar, q->process, digest);
	sys_ticker_kick(q->ticker);
}

void
quarantine_refused_connection(struct quarantine *q)
{
	guint n;

	if (q->node->backend.state == PT_DRAINING)
		return;
	n = quar_ended(q->quar, q->process);
	q->ended = TRUE;
	if (n == 0)
		return;
	q->ends++;
	pt_event(&q->node->events, PT_LEVEL_WARNING, "server-ended",
	    "suspects=%u", n);
	sys_ticker_kick(q->ticker);
}

/* ---- exchange with other nodes ---- */

void
quarantine_heard(struct quarantine *q, const void *data, gsize len)
{
	quar_input(q->quar, data, len);
	sys_ticker_kick(q->ticker);
}

void
quarantine_tell(struct quarantine *q, const char *instance)
{
	struct pt_suspect list[PT_SUSPECTS_MAX];
	struct pt_suspects m;
	guint n;

	if (q == NULL || !memb_elected(q->node->memb, N_TELLERS))
		return;
	n = quar_newest(q->quar, list, PT_SUSPECTS_MAX);
	if (n == 0)
		return;
	quar_message(&m, q->node->set.instance, list, n);
	memb_cast_to(q->node->memb, instance, (xdrproc_t)xdr_pt_suspects, &m);
}

/* ---- operators ---- */

void
quarantine_metrics(const struct quarantine *q, GString *out)
{
	g_string_append_printf(out,
	    "# TYPE ptnode_server_ends_total counter\n"
	    "ptnode_server_ends_total %" G_GUINT64_FORMAT "\n"
	    "# TYPE ptnode_quarantined_total counter\n"
	    "ptnode_quarantined_total %" G_GUINT64_FORMAT "\n",
	    q->ends, q->refused);
}

static void
list_entry(void *ctx, const pt_id digest, guint ends, gint64 age)
{
	char text[QUAR_TEXT];

	quar_digest_text(digest, text);
	g_string_append_printf(ctx,
	    "digest=%s ends=%u age_s=%" G_GINT64_FORMAT "\n", text, ends,
	    age / G_TIME_SPAN_SECOND);
}

void
quarantine_list(const struct quarantine *q, GString *out)
{
	quar_each(q->quar, list_entry, out);
}

gboolean
quarantine_lift(struct quarantine *q, const char *text, GError **err)
{
	pt_id digest;

	if (!quar_digest_parse(text, digest)) {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "\"%s\" is not a digest; give the 32 hexadecimal digits "
		    "of GET /v1/quarantine",
		    text);
		return FALSE;
	}
	if (!quar_lift(q->quar, digest)) {
		g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
		    "no request %s is suspected; see GET /v1/quarantine", text);
		return FALSE;
	}
	pt_event(&q->node->events, PT_LEVEL_INFO, "quarantine-lifted",
	    "digest=%s", text);
	sys_ticker_kick(q->ticker);
	return TRUE;
}
