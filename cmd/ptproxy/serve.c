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
#include "platform.h"
#include "proxy.h"

/* Responses with larger bodies wait for their turn on the link. */
#define SMALL_BYTES (16 * 1024)

struct serve {
	struct proxy *proxy;
	struct pace *pace;
	struct cost *sizes; /* bytes of answers by route */
	guint pump;
	struct rpcio_listener *listener;
	LIST_HEAD(hosted_list, hosted) conns;
	guint busy;
};

/* A connection of another node, and the exchange that runs on it. */
struct hosted {
	LIST_ENTRY(hosted) entry;
	struct serve *serve;
	struct h1_conn *conn;
	struct h1_head *head; /* of the request */
	GByteArray *body;
	struct xchg *xchg;
	GString *out; /* bytes of the answer that are to be sent */
	struct pace_job job; /* of a large answer */
	struct work *work;
	gsize total; /* bytes of the answer's body */
	gboolean busy, chunked, bodyless;
	gboolean begun; /* part of the answer was sent */
	gboolean large, ended;
};

static void pump(void *);

static void
hosted_clear(struct hosted *c)
{
	pace_release(c->serve->pace, &c->job);
	pace_remove(c->serve->pace, &c->job);
	g_clear_pointer(&c->head, h1_head_unref);
	g_clear_pointer(&c->work, work_unref);
	g_byte_array_set_size(c->body, 0);
	g_string_free(c->out, TRUE);
	c->out = g_string_new(NULL);
	c->xchg = NULL;
	if (c->busy)
		c->serve->busy--;
	c->busy = c->begun = c->chunked = c->bodyless = FALSE;
	c->large = c->ended = FALSE;
	c->total = 0;
}

static void
hosted_free(struct hosted *c)
{
	xchg_cancel(c->xchg);
	hosted_clear(c);
	LIST_REMOVE(c, entry);
	h1_free(c->conn);
	g_byte_array_unref(c->body);
	g_string_free(c->out, TRUE);
	g_free(c);
}

static void
hosted_done(struct hosted *c)
{
	if (c->work != NULL)
		cost_add(c->serve->sizes, c->work->route, (gint64)c->total);
	hosted_clear(c);
	h1_next(c->conn);
}

/* Sends "n" bytes of what is ready. */
static void
send_some(struct hosted *c, gsize n)
{
	c->begun = TRUE;
	h1_send(c->conn, c->out->str, n);
	g_string_erase(c->out, 0, (gssize)n);
}

static void
pump_now(struct serve *s)
{
	if (s->pump == 0)
		s->pump = sys_after(0, pump, s);
}

/* A reader that does not keep up is passed over. */
static void
set_ready(struct hosted *c)
{
	gboolean slow = h1_queued(c->conn) > H1_LOW_WATER;

	pace_ready(&c->job, slow ? 0 : c->out->len);
}

static void
pump(void *arg)
{
	struct serve *s = arg;
	struct pace_job *j;
	struct hosted *c;
	gint64 due;
	gsize n;

	s->pump = 0;
	while ((j = pace_next(s->pace, &n, &due)) != NULL) {
		c = (struct hosted *)(void *)((char *)j -
					      offsetof(struct hosted, job));
		send_some(c, n);
		set_ready(c);
		if (c->out->len < H1_LOW_WATER)
			xchg_pause(c->xchg, FALSE);
		if (c->ended && c->out->len == 0)
			hosted_done(c);
	}
	if (due != G_MAXINT64)
		s->pump = sys_after(due - pt_now(&s->proxy->clock), pump, s);
}

/* Small answers leave at once, large ones when the link has room. */
static void
send_on(struct hosted *c)
{
	if (!c->large) {
		pace_sent(c->serve->pace, c->out->len);
		send_some(c, c->out->len);
		return;
	}
	set_ready(c);
	if (c->out->len > H1_HIGH_WATER)
		xchg_pause(c->xchg, TRUE);
	pump_now(c->serve);
}

static void
set_large(struct hosted *c, gint64 length)
{
	if (c->large || c->bodyless)
		return;
	c->large = TRUE;
	pace_release(c->serve->pace, &c->job);
	pace_add(c->serve->pace, &c->job, c->work->target,
	    (gsize)MAX(length, SMALL_BYTES));
}

/*
 * For other instances the time of an answer on the link comes on top of what
 * the backend server needs.
 */
static void
add_link(struct hosted *c, struct report *report)
{
	gint64 size = cost_get(c->serve->sizes, c->work->route);

	if (report->cost > 0 && size > SMALL_BYTES)
		report->cost += pace_wait(c->serve->pace, (gsize)size);
}

static void
on_head(void *ctx, struct h1_head *h, const struct report *report)
{
	struct hosted *c = ctx;
	struct report told = *report;

	c->bodyless = answer_bodyless(c->head, h->status);
	c->chunked = !c->bodyless && h->length < 0;
	answer_put(c->out, h);
	if (h->length >= 0)
		h1_put_int(c->out, "Content-Length", h->length);
	else if (c->chunked)
		h1_put(c->out, "Transfer-Encoding", "chunked");
	add_link(c, &told);
	hop_report_put(c->out, &told);
	h1_put_end(c->out);
	if (h->length > SMALL_BYTES)
		set_large(c, h->length);
	else if (h->length >= 0)
		pace_release(c->serve->pace, &c->job);
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct hosted *c = ctx;

	c->total += n;
	if (c->total > SMALL_BYTES)
		set_large(c, 0);
	if (c->chunked)
		chunk_put(c->out, p, n);
	else
		g_string_append_len(c->out, p, (gssize)n);
	send_on(c);
}

static void
on_end(void *ctx)
{
	struct hosted *c = ctx;

	c->xchg = NULL;
	c->ended = TRUE;
	if (c->chunked)
		g_string_append(c->out, "0\r\n\r\n");
	send_on(c);
	if (!c->large)
		hosted_done(c);
}

static void
answer_failure(struct hosted *c, const struct failure *f)
{
	GString *s = g_string_new(NULL);
	struct report told;

	h1_put_status(s, f->kind == FAIL_LOST ? 502 : 503);
	h1_put_int(s, "Content-Length", 0);
	hop_failure_put(s, f);
	if (f->report != NULL && c->work != NULL) {
		told = *f->report;
		add_link(c, &told);
		hop_report_put(s, &told);
	}
	h1_put_end(s);
	h1_send(c->conn, s->str, s->len);
	pace_sent(c->serve->pace, s->len);
	g_string_free(s, TRUE);
	hosted_clear(c);
	h1_next(c->conn);
}

static void
on_fail(void *ctx, const struct failure *f)
{
	struct hosted *c = ctx;

	c->xchg = NULL;
	/* An answer that has begun can only be cut off. */
	if (c->begun)
		hosted_free(c);
	else
		answer_failure(c, f);
}

static const struct xchg_ops serve_ops = { on_head, on_body, on_end, on_fail,
	NULL };

/* TRUE if a large answer would come too late over the link. */
static gboolean
link_full(struct hosted *c, struct failure *f)
{
	gint64 size = cost_get(c->serve->sizes, c->work->route), excess;
	gint64 now = pt_now(&c->serve->proxy->clock);
	struct report r;

	if (size <= SMALL_BYTES)
		return FALSE;
	backend_report(c->serve->proxy->backend, c->work->route, &r);
	excess = pace_lateness(c->serve->pace, (gsize)size, r.cost,
	    c->work->target - now, c->work->deadline - now);
	if (excess == 0) {
		pace_reserve(c->serve->pace, &c->job, (gsize)size);
		return FALSE;
	}
	f->reason = "link-full";
	f->retry_ms = (int)(excess / G_TIME_SPAN_MILLISECOND);
	return TRUE;
}

static struct work *
work_of(struct hosted *c, const struct hop_request *r)
{
	struct work *w = g_new0(struct work, 1);
	gint64 now = pt_now(&c->serve->proxy->clock);
	struct plat_request p;

	plat_request_read(c->head, &p);
	w->refs = 1;
	w->head = h1_head_ref(c->head);
	w->body = g_bytes_new(c->body->data, c->body->len);
	w->attempt_id = g_strdup(p.attempt_id);
	w->route = g_strdup(r->route);
	w->service = g_strdup(r->service);
	w->caller = g_strdup(r->caller);
	w->deadline = now + r->left;
	w->target = now + r->target_left;
	w->priority = r->priority;
	w->once = r->once;
	w->returned = r->returned;
	w->repeat = r->repeat;
	return w;
}

static void
run(struct hosted *c)
{
	struct proxy *p = c->serve->proxy;
	struct failure f = { FAIL_REFUSED, "unreadable", 0, NULL };
	struct hop_request r;

	c->busy = TRUE;
	c->serve->busy++;
	if (!hop_request_read(c->head, &r)) {
		answer_failure(c, &f);
		return;
	}
	if (strcmp(r.to, p->set->instance) != 0) {
		f.reason = "other-instance";
		answer_failure(c, &f);
	} else {
		c->work = work_of(c, &r);
		if (link_full(c, &f))
			answer_failure(c, &f);
		else
			c->xchg =
			    backend_submit(p->backend, c->work, &serve_ops, c);
	}
	hop_request_clear(&r);
}

/* ---- the connection ---- */

static void
conn_head(void *ctx, struct h1_head *h)
{
	struct hosted *c = ctx;

	c->head = h1_head_ref(h);
}

static void
conn_body(void *ctx, const char *p, gsize n)
{
	struct hosted *c = ctx;

	g_byte_array_append(c->body, (const guint8 *)p, (guint)n);
}

static void
conn_complete(void *ctx)
{
	run(ctx);
}

static void
conn_drained(void *ctx)
{
	struct hosted *c = ctx;

	if (!c->large) {
		xchg_pause(c->xchg, FALSE);
		return;
	}
	set_ready(c);
	pump_now(c->serve);
}

static void
conn_bad(void *ctx, int status, const char *why)
{
	struct hosted *c = ctx;

	pt_event(&c->serve->proxy->events, PT_LEVEL_WARNING, "peer-bad",
	    "status=%d text=\"%s\"", status, why);
	hosted_free(c);
}

static void
conn_closed(void *ctx, enum h1_end end, const char *why)
{
	hosted_free(ctx);
}

static const struct h1_ops conn_ops = { .head = conn_head,
	.body = conn_body,
	.complete = conn_complete,
	.drained = conn_drained,
	.bad = conn_bad,
	.closed = conn_closed };

static void
accepted(void *ctx, GSocket *sock)
{
	struct serve *s = ctx;
	struct hosted *c = g_new0(struct hosted, 1);
	struct h1_opts o = { .ops = &conn_ops, .ctx = c };

	c->serve = s;
	c->body = g_byte_array_new();
	c->out = g_string_new(NULL);
	c->conn = h1_accept(sock, &o);
	LIST_INSERT_HEAD(&s->conns, c, entry);
}

struct serve *
serve_new(struct proxy *p, GError **err)
{
	struct serve *s = g_new0(struct serve, 1);

	s->proxy = p;
	LIST_INIT(&s->conns);
	s->listener = rpcio_listen(p->set->peer.host, p->set->peer.port, FALSE,
	    accepted, s, &p->events, err);
	if (s->listener == NULL) {
		g_free(s);
		return NULL;
	}
	s->pace = pace_new(&p->clock, p->set->link);
	s->sizes = cost_new();
	return s;
}

void
serve_free(struct serve *s)
{
	struct hosted *c;

	if (s == NULL)
		return;
	while ((c = LIST_FIRST(&s->conns)) != NULL)
		hosted_free(c);
	sys_cancel(&s->pump);
	rpcio_listen_free(s->listener);
	pace_free(s->pace);
	cost_free(s->sizes);
	g_free(s);
}

guint
serve_busy(const struct serve *s)
{
	return s->busy;
}
