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

/* An exchange fails this long after the deadline of its request. */
#define LATE_US (250 * G_TIME_SPAN_MILLISECOND)
/*
 * A node gets a probe if an exchange with it has been open for this long, and
 * no response has begun in that time.  A dead instance sends no reset: without
 * the probe, its requests would wait until their deadlines.
 */
#define PROBE_AFTER_US (250 * G_TIME_SPAN_MILLISECOND)
/* A node that does not respond to a probe within this time is silent. */
#define PROBE_MS 300
/* Time-out of a recall, which is then sent again. */
#define RECALL_MS 300
/* Largest body of an answer to a probe or a recall, in bytes. */
#define ANSWER_MAX 4096
/* The connections to a node are dropped when unused for this long. */
#define UNUSED_US (60 * G_TIME_SPAN_SECOND)

struct peer {
	char *host;
	guint port;
	struct h1_pool *pool;
	guint calls;
	gint64 last_used;
	gint64 last_response;
	struct h1_fetch *probe; /* in progress, or NULL */
	gint64 probe_at; /* start of that */
	struct h1_fetch *recall; /* in progress, or NULL */
	struct peers *peers;
	LIST_HEAD(peer_xchg_list, peer_xchg) xchgs;
};

struct peers {
	struct proxy *proxy;
	GHashTable *by_host; /* host -> struct peer; all use the same port */
};

struct peer_xchg {
	struct xchg x;
	LIST_ENTRY(peer_xchg) entry;
	struct peers *peers;
	struct peer *peer;
	char *instance;
	struct h1_call *call;
	const struct xchg_ops *ops;
	void *ctx;
	guint timer, probe_timer;
	gint64 sent_at;
	struct fwd *fwd;
	gboolean recalled; /* the node knows when this process ends */
	gboolean answered; /* the response has begun */
	gboolean refused; /* the node responded with a failure of its own */
	gboolean has_report;
	struct failure failure;
	char *why; /* storage of failure.reason */
	struct report report;
};

static void
peer_free(void *p)
{
	struct peer *x = p;

	h1_fetch_cancel(x->probe);
	h1_fetch_cancel(x->recall);
	h1_pool_free(x->pool);
	g_free(x->host);
	g_free(x);
}

struct peers *
peers_new(struct proxy *p)
{
	struct peers *x = g_new0(struct peers, 1);

	x->proxy = p;
	x->by_host =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	return x;
}

void
peers_free(struct peers *p)
{
	if (p == NULL)
		return;
	g_hash_table_unref(p->by_host);
	g_free(p);
}

static struct peer *
peer_get(struct peers *p, const struct memb_member *m)
{
	struct peer *x = g_hash_table_lookup(p->by_host, m->host);
	struct h1_pool_opts o = { .host = m->host,
		.port = m->http_port,
		.connect_ms = CONNECT_PEER_MS,
		.idle_ms = IDLE_PEER_MS };

	if (x != NULL && x->port == m->http_port)
		return x;
	/*
	 * Ports are the same on all nodes of a deployment; a changed one is
	 * used once no call is in progress.
	 */
	if (x != NULL && x->calls == 0)
		g_hash_table_remove(p->by_host, m->host);
	else if (x != NULL)
		return x;
	x = g_new0(struct peer, 1);
	x->host = g_strdup(m->host);
	x->port = m->http_port;
	x->pool = h1_pool_new(&o);
	x->peers = p;
	LIST_INIT(&x->xchgs);
	g_hash_table_insert(p->by_host, x->host, x);
	return x;
}

void
peers_sweep(struct peers *p)
{
	gint64 now = pt_now(&p->proxy->clock);
	GHashTableIter it;
	struct peer *x;
	gpointer v;

	g_hash_table_iter_init(&it, p->by_host);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		x = v;
		h1_pool_sweep(x->pool);
		if (x->calls == 0 && x->probe == NULL && x->recall == NULL &&
		    now - x->last_used > UNUSED_US)
			g_hash_table_iter_remove(&it);
	}
}

static void
peer_xchg_free(struct peer_xchg *e)
{
	sys_cancel(&e->timer);
	sys_cancel(&e->probe_timer);
	LIST_REMOVE(e, entry);
	e->peer->calls--;
	e->peer->last_used = pt_now(&e->peers->proxy->clock);
	fwd_unref(e->fwd);
	g_free(e->instance);
	g_free(e->why);
	g_free(e);
}

static void
peer_xchg_fail(struct peer_xchg *e, enum failure_kind kind, const char *why)
{
	struct failure f = { kind, why, 0, e->has_report ? &e->report : NULL };

	e->ops->fail(e->ctx, &f);
	peer_xchg_free(e);
}

static void
read_statement(struct peer_xchg *e, const struct h1_head *head)
{
	struct reg_statement x;

	if (!peerhdr_statement_read(head, &x))
		return;
	e->report.limit = x.limit;
	reg_table_set(e->peers->proxy->heard, e->instance, &x);
	reg_statement_clear(&x);
}

static gboolean
on_head(void *ctx, struct h1_head *head)
{
	struct peer_xchg *e = ctx;

	e->answered = TRUE;
	e->peer->last_response = pt_now(&e->peers->proxy->clock);
	e->has_report = peerhdr_report_read(head, &e->report);
	read_statement(e, head);
	keys_heard_age(e->peers->proxy, head, e->sent_at);
	e->refused = peerhdr_failure_read(head, &e->failure, &e->why);
	/* Nodes of earlier releases pass on such a status without proof. */
	if (!e->refused && plat_status_not_run(head->status)) {
		e->refused = TRUE;
		e->failure.kind = FAIL_LOST;
		e->failure.reason = UNPROVED_REFUSAL;
	}
	if (!e->refused)
		e->ops->head(e->ctx, head, e->has_report ? &e->report : NULL);
	return TRUE;
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct peer_xchg *e = ctx;

	if (!e->refused)
		e->ops->body(e->ctx, p, n);
}

static void
on_complete(void *ctx)
{
	struct peer_xchg *e = ctx;

	e->call = NULL;
	if (e->refused) {
		e->failure.report = e->has_report ? &e->report : NULL;
		e->ops->fail(e->ctx, &e->failure);
	} else
		e->ops->end(e->ctx);
	peer_xchg_free(e);
}

static void
on_failed(void *ctx, enum h1_end end, gboolean sent, const char *why)
{
	struct peer_xchg *e = ctx;

	e->call = NULL;
	pt_event(&e->peers->proxy->events, PT_LEVEL_WARNING, "peer-failed",
	    "host=%s sent=%d end=%d text=\"%s\"", e->peer->host, sent, (int)end,
	    why);
	peer_xchg_fail(e, sent ? FAIL_LOST : FAIL_UNREACHED,
	    sent ? "peer-lost" : "peer-unreached");
}

static const struct h1_call_ops call_ops = { on_head, on_body, on_complete,
	on_failed };

static void
on_late(void *arg)
{
	struct peer_xchg *e = arg;

	e->timer = 0;
	h1_call_cancel(e->call);
	peer_xchg_fail(e, FAIL_LOST, "peer-silent");
}

/*
 * Fails the exchanges of requests that can be retried; those that must not run
 * twice wait on, since the node may still respond.
 */
static void
fail_silent(struct peer *p)
{
	struct peer_xchg *e, *next;

	pt_event(&p->peers->proxy->events, PT_LEVEL_WARNING, "peer-silent",
	    "host=%s calls=%u", p->host, p->calls);
	for (e = LIST_FIRST(&p->xchgs); e != NULL; e = next) {
		next = LIST_NEXT(e, entry);
		if (e->fwd->once || e->sent_at < p->last_response ||
		    (e->ops->silent != NULL && !e->ops->silent(e->ctx)))
			continue;
		h1_call_cancel(e->call);
		peer_xchg_fail(e, FAIL_LOST, "peer-silent");
	}
}

static void
probe_done(void *ctx, const struct h1_head *head, const GByteArray *body,
    const GError *err)
{
	struct peer *p = ctx;

	p->probe = NULL;
	if (err != NULL) {
		fail_silent(p);
		return;
	}
	p->last_response = pt_now(&p->peers->proxy->clock);
	keys_heard_age(p->peers->proxy, head, p->probe_at);
}

/*
 * The request lacks the header fields of a node and is refused without running;
 * any response, the refusal included, shows that the node is alive.
 */
static void
send_probe(struct peer *p)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: node\r\n\r\n";
	GBytes *b = g_bytes_new_static(text, strlen(text));

	p->probe_at = pt_now(&p->peers->proxy->clock);
	p->probe =
	    h1_fetch_new(p->pool, b, PROBE_MS, ANSWER_MAX, probe_done, p);
	g_bytes_unref(b);
}

void
peers_probe(struct peers *p, const struct memb_member *m)
{
	struct peer *x = peer_get(p, m);

	x->last_used = pt_now(&p->proxy->clock);
	if (x->probe == NULL)
		send_probe(x);
}

static void
probe_if_due(void *arg)
{
	struct peer_xchg *e = arg;
	struct peer *p = e->peer;
	gint64 now = pt_now(&e->peers->proxy->clock);

	e->probe_timer = sys_after(PROBE_AFTER_US, probe_if_due, e);
	if (p->probe == NULL &&
	    now - MAX(p->last_response, e->sent_at) >= PROBE_AFTER_US)
		send_probe(p);
}

/* ---- the end of this process ---- */

static void
recall_done(void *ctx, const struct h1_head *head, const GByteArray *body,
    const GError *err)
{
	struct peer *p = ctx;
	struct peer_xchg *e;

	p->recall = NULL;
	if (err == NULL)
		return;
	pt_event(&p->peers->proxy->events, PT_LEVEL_WARNING, "recall-failed",
	    "host=%s text=\"%s\"", p->host, err->message);
	for (e = LIST_FIRST(&p->xchgs); e != NULL; e = LIST_NEXT(e, entry))
		e->recalled = e->fwd->end != 0;
}

/* Marks and returns the ids of the requests that may outlast "end". */
static GPtrArray *
to_recall(struct peer *p, gint64 end)
{
	GPtrArray *ids = g_ptr_array_new();
	struct peer_xchg *e;

	for (e = LIST_FIRST(&p->xchgs); e != NULL; e = LIST_NEXT(e, entry)) {
		if (e->recalled || e->answered || e->fwd->deadline <= end ||
		    e->fwd->attempt_id == NULL)
			continue;
		e->recalled = TRUE;
		g_ptr_array_add(ids, e->fwd->attempt_id);
	}
	return ids;
}

static void
peer_recall(struct peer *p, gint64 end)
{
	gint64 now = pt_now(&p->peers->proxy->clock);
	GPtrArray *ids;
	GBytes *b;

	if (p->recall != NULL || now >= end)
		return;
	ids = to_recall(p, end);
	if (ids->len > 0) {
		pt_event(&p->peers->proxy->events, PT_LEVEL_INFO, "recall",
		    "host=%s requests=%u", p->host, ids->len);
		b = peerhdr_recall(ids, end - now);
		p->recall = h1_fetch_new(
		    p->pool, b, RECALL_MS, ANSWER_MAX, recall_done, p);
		g_bytes_unref(b);
	}
	g_ptr_array_unref(ids);
}

void
peers_recall(struct peers *p, gint64 end)
{
	GHashTableIter it;
	gpointer x;

	g_hash_table_iter_init(&it, p->by_host);
	while (g_hash_table_iter_next(&it, NULL, &x))
		peer_recall(x, end);
}

void
peers_end(struct peers *p)
{
	GHashTableIter it;
	struct peer_xchg *e;
	gpointer x;

	g_hash_table_iter_init(&it, p->by_host);
	while (g_hash_table_iter_next(&it, NULL, &x))
		while ((e = LIST_FIRST(&((struct peer *)x)->xchgs)) != NULL) {
			h1_call_cancel(e->call);
			peer_xchg_fail(e, FAIL_LOST, STOPPING);
		}
}

static void
peer_xchg_cancel(struct xchg *x)
{
	struct peer_xchg *e = (struct peer_xchg *)x;

	h1_call_cancel(e->call);
	peer_xchg_free(e);
}

static void
peer_xchg_pause(struct xchg *x, gboolean on)
{
	struct peer_xchg *e = (struct peer_xchg *)x;

	if (e->call != NULL)
		h1_call_pause(e->call, on);
}

struct xchg *
peers_submit(struct peers *p, const struct memb_member *m, struct fwd *fwd,
    const struct xchg_ops *ops, void *ctx)
{
	struct peer_xchg *e = g_new0(struct peer_xchg, 1);
	gint64 now = pt_now(&p->proxy->clock);
	struct h1_call_opts o = { .ops = &call_ops,
		.ctx = e,
		.bodyless = strcmp(fwd->head->method, "HEAD") == 0 };
	const struct reg_statement *heard =
	    reg_table_get(p->proxy->heard, m->instance);
	GString *s = g_string_new(NULL);

	e->instance = g_strdup(m->instance);
	e->x.cancel = peer_xchg_cancel;
	e->x.pause = peer_xchg_pause;
	e->peers = p;
	e->peer = peer_get(p, m);
	e->peer->calls++;
	LIST_INSERT_HEAD(&e->peer->xchgs, e, entry);
	e->fwd = fwd_ref(fwd);
	e->recalled = fwd->end != 0;
	e->sent_at = now;
	e->probe_timer = sys_after(PROBE_AFTER_US, probe_if_due, e);
	e->ops = ops;
	e->ctx = ctx;
	fwd_put_head(s, fwd);
	peerhdr_request_put(s, fwd, m->instance, now);
	if (heard != NULL)
		peerhdr_statement_put(s, heard);
	fwd_finish(s, fwd, &o);
	e->call = h1_call_new(e->peer->pool, &o);
	g_bytes_unref(o.request);
	e->timer = sys_after(fwd->deadline - now + LATE_US, on_late, e);
	return &e->x;
}
