/*
 * Requests that other nodes forward to this node's backend server.  Requests of
 * callers arrive through ingress.c.
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
#include "limit.h"
#include "platform.h"
#include "proxy.h"

/* Responses with larger bodies, in bytes, wait for the instance's link. */
#define SMALL_BYTES (16 * 1024)
/* A request of another node that takes longer to arrive is given up. */
#define READ_US (10 * G_TIME_SPAN_SECOND)
/* Interval at which this is checked. */
#define SWEEP_US (1 * G_TIME_SPAN_SECOND)
/* Retry-After, in ms, of a request that found no memory for its body. */
#define BODY_RETRY_MS 500

struct inbound {
	struct proxy *proxy;
	struct pace *pace;
	struct cost *sizes; /* bytes of responses by route */
	guint pump_timer, sweep_timer;
	struct rpcio_listener *listener;
	LIST_HEAD(inconn_list, inconn) conns;
	guint busy;
};

/* A connection from another node, and the exchange on it. */
struct inconn {
	LIST_ENTRY(inconn) entry;
	struct inbound *inbound;
	struct h1_conn *conn;
	struct h1_head *head; /* of the request */
	GByteArray *body;
	gsize held; /* bytes of the body, counted by bodies_add() */
	gboolean no_memory; /* the body was dropped */
	struct xchg *xchg;
	GString *out; /* bytes of the response still to be sent */
	struct pace_job job; /* of a large response */
	struct fwd *fwd;
	gsize total; /* bytes of the response's body */
	gboolean told; /* the request said what its sender has heard */
	gboolean busy, chunked, bodyless;
	gboolean begun; /* part of the response was sent */
	gboolean large; /* queued for the link */
	gboolean ended; /* the response has been received completely */
};

static void pump(void *);

static void
inconn_clear(struct inconn *c)
{
	pace_release(c->inbound->pace, &c->job);
	pace_remove(c->inbound->pace, &c->job);
	g_clear_pointer(&c->head, h1_head_unref);
	g_clear_pointer(&c->fwd, fwd_unref);
	g_byte_array_set_size(c->body, 0);
	bodies_remove(c->inbound->proxy, c->held);
	c->held = 0;
	c->no_memory = FALSE;
	g_string_free(c->out, TRUE);
	c->out = g_string_new(NULL);
	c->xchg = NULL;
	if (c->busy)
		c->inbound->busy--;
	c->busy = c->begun = c->chunked = c->bodyless = FALSE;
	c->told = FALSE;
	c->large = c->ended = FALSE;
	c->total = 0;
}

static void
inconn_free(struct inconn *c)
{
	xchg_cancel(c->xchg);
	inconn_clear(c);
	LIST_REMOVE(c, entry);
	h1_free(c->conn);
	g_byte_array_unref(c->body);
	g_string_free(c->out, TRUE);
	g_free(c);
}

static void
inconn_done(struct inconn *c)
{
	if (c->fwd != NULL)
		cost_add(c->inbound->sizes, c->fwd->route, (gint64)c->total);
	inconn_clear(c);
	h1_read_next(c->conn);
}

/* Sends the first "n" bytes of the queued response. */
static void
send_bytes(struct inconn *c, gsize n)
{
	c->begun = TRUE;
	h1_send(c->conn, c->out->str, n);
	g_string_erase(c->out, 0, (gssize)n);
}

static void
schedule_pump(struct inbound *s)
{
	if (s->pump_timer == 0)
		s->pump_timer = sys_after(0, pump, s);
}

/*
 * Sets how many bytes of the response the link may send: none while the peer
 * reads slowly, so that other responses are sent instead.
 */
static void
set_ready(struct inconn *c)
{
	gboolean slow = h1_queued(c->conn) > H1_LOW_WATER;

	pace_ready(&c->job, slow ? 0 : c->out->len);
}

static void
pump(void *arg)
{
	struct inbound *s = arg;
	struct pace_job *j;
	struct inconn *c;
	gint64 due;
	gsize n;

	s->pump_timer = 0;
	while ((j = pace_next(s->pace, &n, &due)) != NULL) {
		c = (struct inconn *)(void *)((char *)j -
					      offsetof(struct inconn, job));
		send_bytes(c, n);
		set_ready(c);
		if (c->out->len < H1_LOW_WATER)
			xchg_pause(c->xchg, FALSE);
		if (c->ended && c->out->len == 0)
			inconn_done(c);
	}
	if (due != G_MAXINT64)
		s->pump_timer =
		    sys_after(due - pt_now(&s->proxy->clock), pump, s);
}

/* Sends a small response at once, a large one when the link has capacity. */
static void
send_ready(struct inconn *c)
{
	if (!c->large) {
		pace_sent(c->inbound->pace, c->out->len);
		send_bytes(c, c->out->len);
		return;
	}
	set_ready(c);
	if (c->out->len > H1_HIGH_WATER)
		xchg_pause(c->xchg, TRUE);
	schedule_pump(c->inbound);
}

static void
set_large(struct inconn *c, gint64 length)
{
	if (c->large || c->bodyless)
		return;
	c->large = TRUE;
	pace_release(c->inbound->pace, &c->job);
	pace_add(c->inbound->pace, &c->job, c->fwd->target,
	    (gsize)MAX(length, SMALL_BYTES));
}

/*
 * Adds to the reported cost of a route the time until the link would have sent
 * another response of this route.  Only if the cost is known and the responses
 * of the route are large: small ones do not wait for the link.
 */
static void
add_link_time(struct inconn *c, struct report *report)
{
	gint64 size = cost_get(c->inbound->sizes, c->fwd->route), wait;

	if (report->cost <= 0 || size <= SMALL_BYTES)
		return;
	wait = pace_wait(c->inbound->pace, (gsize)size);
	report->cost += wait;
	report->work.link = wait;
}

static void
put_statement(struct inconn *c, GString *s)
{
	struct reg_statement x;

	if (reg_state(c->inbound->proxy->reg, &x) &&
	    (c->told || reg_statement_restricts(&x)))
		peerhdr_statement_put(s, &x);
}

static void
hear_statement(struct inconn *c)
{
	struct reg_statement x;

	if (!peerhdr_statement_read(c->head, &x))
		return;
	c->told = TRUE;
	statements_heard(c->inbound->proxy->statements, &x);
	reg_statement_clear(&x);
}

static void
on_head(void *ctx, struct h1_head *h, const struct report *report)
{
	struct inconn *c = ctx;
	struct report adjusted = *report;

	c->bodyless = response_bodyless(c->head, h->status);
	c->chunked = !c->bodyless && h->length < 0;
	response_put_head(c->out, h);
	if (h->length >= 0)
		h1_put_int(c->out, "Content-Length", h->length);
	else if (c->chunked)
		h1_put(c->out, "Transfer-Encoding", "chunked");
	add_link_time(c, &adjusted);
	peerhdr_report_put(c->out, &adjusted);
	put_statement(c, c->out);
	keys_put_age(c->inbound->proxy, c->out);
	h1_put_end(c->out);
	if (h->length > SMALL_BYTES)
		set_large(c, h->length);
	else if (h->length >= 0)
		pace_release(c->inbound->pace, &c->job);
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct inconn *c = ctx;

	c->total += n;
	if (c->total > SMALL_BYTES)
		set_large(c, 0);
	if (c->chunked)
		chunk_put(c->out, p, n);
	else
		g_string_append_len(c->out, p, (gssize)n);
	send_ready(c);
}

static void
on_end(void *ctx)
{
	struct inconn *c = ctx;

	c->xchg = NULL;
	c->ended = TRUE;
	if (c->chunked)
		g_string_append(c->out, "0\r\n\r\n");
	send_ready(c);
	if (!c->large)
		inconn_done(c);
}

static void
send_failure(struct inconn *c, const struct failure *f)
{
	GString *s = g_string_new(NULL);
	struct report adjusted;

	h1_put_status(s, f->kind == FAIL_LOST ? 502 : 503);
	h1_put_int(s, "Content-Length", 0);
	peerhdr_failure_put(s, f);
	if (f->report != NULL && c->fwd != NULL) {
		adjusted = *f->report;
		add_link_time(c, &adjusted);
		peerhdr_report_put(s, &adjusted);
	}
	put_statement(c, s);
	keys_put_age(c->inbound->proxy, s);
	h1_put_end(s);
	h1_send(c->conn, s->str, s->len);
	pace_sent(c->inbound->pace, s->len);
	g_string_free(s, TRUE);
	inconn_clear(c);
	h1_read_next(c->conn);
}

static void
on_fail(void *ctx, const struct failure *f)
{
	struct inconn *c = ctx;

	c->xchg = NULL;
	/* A response that has begun can only be cut off. */
	if (c->begun)
		inconn_free(c);
	else
		send_failure(c, f);
}

static const struct xchg_ops inbound_ops = { on_head, on_body, on_end, on_fail,
	NULL };

/*
 * TRUE, with the reason, if a large response would arrive too late because of
 * the link.  Otherwise reserves the link for it.
 */
static gboolean
link_full(struct inconn *c, struct failure *f)
{
	gint64 size = cost_get(c->inbound->sizes, c->fwd->route), excess;
	gint64 now = pt_now(&c->inbound->proxy->clock);
	struct report r;

	if (size <= SMALL_BYTES)
		return FALSE;
	backend_report(c->inbound->proxy->backend, c->fwd->route, &r);
	excess = pace_lateness(c->inbound->pace, (gsize)size, r.cost,
	    c->fwd->target - now, c->fwd->deadline - now);
	if (excess == 0) {
		pace_reserve(c->inbound->pace, &c->job, (gsize)size);
		return FALSE;
	}
	f->reason = "link-full";
	f->retry_ms = (int)(excess / G_TIME_SPAN_MILLISECOND);
	return TRUE;
}

static struct fwd *
fwd_of(struct inconn *c, const struct peerhdr_request *r)
{
	struct fwd *fwd = g_new0(struct fwd, 1);
	gint64 now = pt_now(&c->inbound->proxy->clock);
	struct plat_request p;

	plat_request_read(c->head, &p);
	fwd->refs = 1;
	fwd->head = h1_head_ref(c->head);
	fwd->body = body_take(c->inbound->proxy, &c->body, &c->held);
	fwd->attempt_id = g_strdup(p.attempt_id);
	fwd->route = g_strdup(r->route);
	fwd->service = g_strdup(r->service);
	fwd->caller_service = g_strdup(r->caller);
	fwd->deadline = now + r->remaining;
	fwd->target = now + r->target_remaining;
	fwd->end = r->end_remaining >= 0 ? now + r->end_remaining : 0;
	fwd->priority = r->priority;
	fwd->org = g_strdup(r->org);
	fwd->key = r->key;
	fwd->version = r->version;
	fwd->once = r->once;
	fwd->caller_retry = r->caller_retry;
	fwd->repeat = r->repeat;
	return fwd;
}

/* Another node ends: what it names is refused unless it is over by then. */
static void
recall(struct inconn *c, gint64 remaining)
{
	struct inbound *s = c->inbound;
	gint64 end = pt_now(&s->proxy->clock) + remaining;
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	/* An empty body may have no buffer. */
	char *text = c->body->len > 0
			 ? g_strndup((const char *)c->body->data, c->body->len)
			 : g_strdup("");
	char **list = g_strsplit(text, "\n", -1), **id;
	struct inconn *x;
	guint found = 0;

	for (id = list; *id != NULL; id++)
		if (**id != '\0')
			g_hash_table_add(ids, *id);
	for (x = LIST_FIRST(&s->conns); x != NULL; x = LIST_NEXT(x, entry))
		if (x->xchg != NULL && x->fwd->attempt_id != NULL &&
		    g_hash_table_contains(ids, x->fwd->attempt_id))
			found += backend_recall(x->xchg, end);
	pt_event(&s->proxy->events, PT_LEVEL_INFO, "recalled",
	    "requests=%u waiting=%u left_ms=%" G_GINT64_FORMAT,
	    g_hash_table_size(ids), found, remaining / G_TIME_SPAN_MILLISECOND);
	g_hash_table_unref(ids);
	g_strfreev(list);
	g_free(text);
}

/* Responds to a message that is not a request for the backend server. */
static void
send_done(struct inconn *c)
{
	GString *s = g_string_new(NULL);

	h1_put_status(s, 200);
	h1_put_int(s, "Content-Length", 0);
	h1_put_end(s);
	h1_send(c->conn, s->str, s->len);
	g_string_free(s, TRUE);
	inconn_clear(c);
	h1_read_next(c->conn);
}

static void
submit(struct inconn *c)
{
	struct proxy *p = c->inbound->proxy;
	struct failure f = { FAIL_REFUSED, "unreadable", 0, NULL };
	struct peerhdr_request r;
	gint64 remaining;

	c->busy = TRUE;
	c->inbound->busy++;
	if (c->no_memory) {
		f.reason = "body-memory";
		f.retry_ms = BODY_RETRY_MS;
		send_failure(c, &f);
		return;
	}
	if (peerhdr_recall_read(c->head, &remaining)) {
		recall(c, remaining);
		send_done(c);
		return;
	}
	if (!peerhdr_request_read(c->head, &r)) {
		send_failure(c, &f);
		return;
	}
	if (strcmp(r.to, p->set->instance) != 0) {
		f.reason = "other-instance";
		send_failure(c, &f);
	} else {
		hear_statement(c);
		c->fwd = fwd_of(c, &r);
		if (link_full(c, &f))
			send_failure(c, &f);
		else
			c->xchg =
			    backend_submit(p->backend, c->fwd, &inbound_ops, c);
	}
	peerhdr_request_clear(&r);
}

/* ---- the connection ---- */

static void
conn_head(void *ctx, struct h1_head *h)
{
	struct inconn *c = ctx;

	c->head = h1_head_ref(h);
}

static void
conn_body(void *ctx, const char *p, gsize n)
{
	struct inconn *c = ctx;

	if (c->no_memory)
		return;
	if (!bodies_add(c->inbound->proxy, n)) {
		c->no_memory = TRUE;
		g_byte_array_set_size(c->body, 0);
		return;
	}
	c->held += n;
	g_byte_array_append(c->body, (const guint8 *)p, (guint)n);
}

static void
conn_complete(void *ctx)
{
	submit(ctx);
}

static void
conn_drained(void *ctx)
{
	struct inconn *c = ctx;

	if (!c->large) {
		xchg_pause(c->xchg, FALSE);
		return;
	}
	set_ready(c);
	schedule_pump(c->inbound);
}

static void
conn_bad(void *ctx, int status, const char *why)
{
	struct inconn *c = ctx;

	pt_event(&c->inbound->proxy->events, PT_LEVEL_WARNING, "peer-bad",
	    "status=%d text=\"%s\"", status, why);
	inconn_free(c);
}

static void
conn_closed(void *ctx, enum h1_end end, const char *why)
{
	inconn_free(ctx);
}

static const struct h1_ops conn_ops = { .head = conn_head,
	.body = conn_body,
	.complete = conn_complete,
	.drained = conn_drained,
	.reject = conn_bad,
	.closed = conn_closed };

static void
on_accept(void *ctx, GSocket *sock)
{
	struct inbound *s = ctx;
	struct inconn *c = g_new0(struct inconn, 1);
	struct h1_opts o = { .ops = &conn_ops, .ctx = c };

	c->inbound = s;
	c->body = g_byte_array_new();
	c->out = g_string_new(NULL);
	c->conn = h1_accept(sock, &o);
	LIST_INSERT_HEAD(&s->conns, c, entry);
}

/* Gives up requests that arrive too slowly. */
static void
sweep(void *arg)
{
	struct inbound *s = arg;
	gint64 now = pt_now(&s->proxy->clock), begun;
	struct inconn *c, *next;

	s->sweep_timer = sys_after(SWEEP_US, sweep, s);
	for (c = LIST_FIRST(&s->conns); c != NULL; c = next) {
		next = LIST_NEXT(c, entry);
		begun = h1_begun(c->conn);
		if (!c->busy && begun != 0 && now - begun > READ_US)
			conn_bad(c, 408, "the request is not complete");
	}
}

struct inbound *
inbound_new(struct proxy *p, GError **err)
{
	struct inbound *s = g_new0(struct inbound, 1);

	s->proxy = p;
	LIST_INIT(&s->conns);
	s->listener = rpcio_listen(p->set->peer.host, p->set->peer.port, FALSE,
	    on_accept, s, &p->events, err);
	if (s->listener == NULL) {
		g_free(s);
		return NULL;
	}
	s->pace = pace_new(&p->clock, p->set->link_rate);
	s->sizes = cost_new();
	s->sweep_timer = sys_after(SWEEP_US, sweep, s);
	return s;
}

void
inbound_free(struct inbound *s)
{
	struct inconn *c;

	if (s == NULL)
		return;
	while ((c = LIST_FIRST(&s->conns)) != NULL)
		inconn_free(c);
	sys_cancel(&s->pump_timer);
	sys_cancel(&s->sweep_timer);
	rpcio_listen_free(s->listener);
	pace_free(s->pace);
	cost_free(s->sizes);
	g_free(s);
}

void
inbound_end(struct inbound *s)
{
	struct inconn *c, *next;

	for (c = LIST_FIRST(&s->conns); c != NULL; c = next) {
		next = LIST_NEXT(c, entry);
		if (!c->ended)
			continue;
		send_bytes(c, c->out->len);
		inconn_done(c);
	}
}

guint
inbound_busy(const struct inbound *s)
{
	return s->busy;
}

guint
inbound_port(const struct inbound *s)
{
	return rpcio_listen_local_port(s->listener);
}
