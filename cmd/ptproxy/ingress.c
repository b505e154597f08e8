/*
 * Connections of callers, whose requests this node forwards to upstreams.
 * Requests from other nodes arrive through inbound.c.
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

/* Interval at which connections are checked for their time-outs. */
#define SWEEP_US (500 * G_TIME_SPAN_MILLISECOND)
/* Time-out of a request's head if no configuration sets it. */
#define HEAD_US (5 * G_TIME_SPAN_SECOND)
/* Time-out of an idle connection if no configuration sets it. */
#define IDLE_US (60 * G_TIME_SPAN_SECOND)
/*
 * While responses that are not read take too much memory, a connection whose
 * caller takes no byte for this time is closed.
 */
#define STALLED_US (2 * G_TIME_SPAN_SECOND)
/* Time in which the first request of a new connection arrives. */
#define FIRST_REQUEST_US (200 * G_TIME_SPAN_MILLISECOND)

/* A connection of a caller, and the request on it. */
struct caller_conn {
	LIST_ENTRY(caller_conn) entry;
	struct ingress *ingress;
	struct h1_conn *conn;
	struct request *request;
	gboolean complete; /* the request has been read completely */
	guint n_requests; /* begun on this connection */
	gint64 accepted_at;
	gboolean keep; /* the caller keeps the connection open */
};

struct ingress {
	struct proxy *proxy;
	struct rpcio_listener *listener;
	LIST_HEAD(conn_list, caller_conn) conns;
	guint busy;
	guint sweep_timer;
};

/* Closes a connection; "why" is the reason if a request is on it. */
static void
conn_free(struct caller_conn *c, const char *why)
{
	if (c->request != NULL) {
		c->ingress->busy--;
		request_abandon(c->request, 0, why);
	}
	LIST_REMOVE(c, entry);
	h1_free(c->conn);
	g_free(c);
}

void
caller_send(struct caller_conn *c, const void *p, gsize n)
{
	h1_send(c->conn, p, n);
}

gsize
caller_queued(const struct caller_conn *c)
{
	return h1_queued(c->conn);
}

gboolean
caller_first_request(const struct caller_conn *c)
{
	return c->n_requests <= 1;
}

gboolean
caller_closing(const struct caller_conn *c)
{
	return !c->complete || !c->keep || c->ingress->proxy->stopping;
}

void
caller_done(struct caller_conn *c, gboolean keep)
{
	c->request = NULL;
	c->ingress->busy--;
	if (keep && c->complete) {
		h1_read_next(c->conn);
		return;
	}
	/* h1_finish() closes the connection once the response is sent. */
	LIST_REMOVE(c, entry);
	h1_finish(c->conn);
	g_free(c);
}

void
caller_abort(struct caller_conn *c)
{
	c->request = NULL;
	c->ingress->busy--;
	LIST_REMOVE(c, entry);
	h1_abort(c->conn);
	g_free(c);
}

static void
on_head(void *ctx, struct h1_head *h)
{
	struct caller_conn *c = ctx;

	c->complete = FALSE;
	c->n_requests++;
	c->keep = h->keep_alive;
	c->ingress->busy++;
	c->request = request_new(c->ingress->proxy, c, h);
	h1_continue(c->conn, h);
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct caller_conn *c = ctx;

	if (c->request != NULL)
		request_body(c->request, p, n);
}

static void
on_complete(void *ctx)
{
	struct caller_conn *c = ctx;

	c->complete = TRUE;
	if (c->request != NULL)
		request_dispatch(c->request);
}

static void
on_drained(void *ctx)
{
	struct caller_conn *c = ctx;

	if (c->request != NULL)
		request_pause(c->request, FALSE);
}

/* Responds to a malformed or slow request and closes the connection. */
static void
refuse(struct caller_conn *c, int status, const char *why)
{
	GString *s = g_string_new(NULL);

	if (c->request != NULL) {
		c->ingress->busy--;
		request_abandon(c->request, status, why);
		c->request = NULL;
	}
	h1_put_status(s, status);
	h1_put_int(s, "Content-Length", 0);
	h1_put(s, "Connection", "close");
	h1_put_end(s);
	h1_send(c->conn, s->str, s->len);
	g_string_free(s, TRUE);
	LIST_REMOVE(c, entry);
	h1_finish(c->conn);
	g_free(c);
}

static void
on_bad(void *ctx, int status, const char *why)
{
	struct caller_conn *c = ctx;

	stats_add(c->ingress->proxy->stats, STAT_BAD_REQUEST);
	pt_event(&c->ingress->proxy->events, PT_LEVEL_WARNING, "bad-request",
	    "status=%d text=\"%s\"", status, why);
	refuse(c, status, "bad-request");
}

static void
on_closed(void *ctx, enum h1_end end, const char *why)
{
	conn_free(ctx, CALLER_LEFT);
}

static const struct h1_ops caller_ops = { .head = on_head,
	.body = on_body,
	.complete = on_complete,
	.drained = on_drained,
	.reject = on_bad,
	.closed = on_closed };

static void
on_accept(void *ctx, GSocket *sock)
{
	struct ingress *in = ctx;
	struct caller_conn *c = g_new0(struct caller_conn, 1);
	struct h1_opts o = { .ops = &caller_ops, .ctx = c };
	const struct rtab_limits *l;

	if (in->proxy->rtab != NULL) {
		l = rtab_limits(in->proxy->rtab);
		o.head_max = l->head_bytes;
		o.body_max = l->body_bytes;
	}
	c->ingress = in;
	c->conn = h1_accept(sock, &o);
	c->accepted_at = pt_now(&in->proxy->clock);
	LIST_INSERT_HEAD(&in->conns, c, entry);
}

/* Closes connections that are idle or slow for longer than the limits. */
static void
sweep(void *arg)
{
	struct ingress *in = arg;
	gint64 now = pt_now(&in->proxy->clock), age, begun;
	gint64 head = HEAD_US, idle = IDLE_US;
	const struct rtab_limits *l;
	struct caller_conn *c, *next;

	in->sweep_timer = sys_after(SWEEP_US, sweep, in);
	if (in->proxy->rtab != NULL) {
		l = rtab_limits(in->proxy->rtab);
		head = l->head_time > 0 ? l->head_time : head;
		idle = l->idle_time > 0 ? l->idle_time : idle;
	}
	for (c = LIST_FIRST(&in->conns); c != NULL; c = next) {
		next = LIST_NEXT(c, entry);
		age = now - h1_last_active(c->conn);
		begun = h1_begun(c->conn);
		if (output_full(in->proxy) &&
		    h1_stalled(c->conn) > STALLED_US) {
			stats_add(in->proxy->stats, STAT_STALLED_CALLERS);
			conn_free(c, "caller-stalled");
		} else if (h1_idle(c->conn) && c->request == NULL) {
			if (age > idle)
				conn_free(c, "idle");
		} else if (c->request == NULL
			       ? begun != 0 && now - begun > head
			       : !c->complete &&
				     (age > idle ||
					 request_overdue(c->request, now)))
			refuse(c, 408, "slow");
	}
}

struct ingress *
ingress_new(struct proxy *p, GError **err)
{
	struct ingress *in = g_new0(struct ingress, 1);

	in->proxy = p;
	LIST_INIT(&in->conns);
	in->listener = rpcio_listen(p->set->outbound.host,
	    p->set->outbound.port, FALSE, on_accept, in, &p->events, err);
	if (in->listener == NULL) {
		g_free(in);
		return NULL;
	}
	in->sweep_timer = sys_after(SWEEP_US, sweep, in);
	return in;
}

void
ingress_update(struct ingress *in)
{
	const struct rtab_limits *l = rtab_limits(in->proxy->rtab);
	struct caller_conn *c = LIST_FIRST(&in->conns);

	for (; c != NULL; c = LIST_NEXT(c, entry))
		h1_limits(c->conn, l->head_bytes, l->body_bytes);
}

void
ingress_close_listener(struct ingress *in)
{
	if (in->listener != NULL)
		rpcio_listen_drain(in->listener);
	g_clear_pointer(&in->listener, rpcio_listen_free);
}

void
ingress_refuse_late(struct ingress *in)
{
	struct caller_conn *c, *next;

	for (c = LIST_FIRST(&in->conns); c != NULL; c = next) {
		next = LIST_NEXT(c, entry);
		if (c->request != NULL && !c->complete)
			request_refuse_late(c->request);
	}
}

/* TRUE: the first request of the connection is probably on its way. */
static gboolean
awaited(const struct caller_conn *c)
{
	return c->n_requests == 0 &&
	       pt_now(&c->ingress->proxy->clock) - c->accepted_at <
		   FIRST_REQUEST_US;
}

guint
ingress_awaited(const struct ingress *in)
{
	const struct caller_conn *c;
	guint n = 0;

	LIST_FOREACH(c, &in->conns, entry)
	n += awaited(c);
	return n;
}

/*
 * Closes without reading on, unless a response is still to be sent: callers may
 * repeat a request that crosses the close only if it was not read.
 */
static void
close_idle(struct caller_conn *c)
{
	LIST_REMOVE(c, entry);
	if (h1_queued(c->conn) > 0)
		h1_finish(c->conn);
	else
		h1_free(c->conn);
	g_free(c);
}

void
ingress_close_idle(struct ingress *in)
{
	struct caller_conn *c, *next;

	for (c = LIST_FIRST(&in->conns); c != NULL; c = next) {
		next = LIST_NEXT(c, entry);
		if (c->request == NULL && h1_idle(c->conn) &&
		    !h1_unread(c->conn) && !awaited(c))
			close_idle(c);
	}
}

void
ingress_free(struct ingress *in)
{
	struct caller_conn *c;

	if (in == NULL)
		return;
	sys_cancel(&in->sweep_timer);
	while ((c = LIST_FIRST(&in->conns)) != NULL)
		conn_free(c, "stopped");
	g_clear_pointer(&in->listener, rpcio_listen_free);
	g_free(in);
}

guint
ingress_busy(const struct ingress *in)
{
	return in->busy;
}

guint
ingress_port(const struct ingress *in)
{
	return rpcio_listen_local_port(in->listener);
}
