/* Kept connections to one address, the most recently used first. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "port.h"
#include "rpcio.h"
#include "h1.h"

/* The peer's idle time is shortened by this much: it runs while we send. */
#define KEEP_MARGIN_MS 1000

struct link {
	TAILQ_ENTRY(link) entry;
	struct h1_pool *pool;
	struct h1_conn *conn;
	struct h1_call *call; /* NULL: idle */
	gboolean connected, stray, tainted;
	guint idle_ms; /* announced by the peer, or the pool's */
};

TAILQ_HEAD(links, link);

struct h1_call {
	struct link *link;
	struct h1_call_opts o;
};

struct h1_pool {
	struct h1_pool_opts o;
	char *host;
	struct links idle, busy;
	guint n_idle;
	guint64 opened;
};

struct h1_pool *
h1_pool_new(const struct h1_pool_opts *o)
{
	struct h1_pool *p = g_new0(struct h1_pool, 1);

	p->o = *o;
	p->host = g_strdup(o->host);
	TAILQ_INIT(&p->idle);
	TAILQ_INIT(&p->busy);
	return p;
}

static void
link_free(struct link *l)
{
	struct h1_pool *p = l->pool;

	if (l->call != NULL)
		TAILQ_REMOVE(&p->busy, l, entry);
	else {
		TAILQ_REMOVE(&p->idle, l, entry);
		p->n_idle--;
	}
	h1_free(l->conn);
	g_free(l);
}

static void
call_free(struct h1_call *c)
{
	g_bytes_unref(c->o.request);
	g_free(c);
}

static void
call_fail(struct h1_call *c, enum h1_end why, const char *text)
{
	struct h1_call_opts o = c->o;
	gboolean sent = c->link->connected;

	link_free(c->link);
	call_free(c);
	o.ops->failed(o.ctx, why, sent, text);
}

void
h1_pool_free(struct h1_pool *p)
{
	struct link *l;

	if (p == NULL)
		return;
	while ((l = TAILQ_FIRST(&p->busy)) != NULL)
		call_fail(l->call, H1_END_RESET, "the pool is closed");
	while ((l = TAILQ_FIRST(&p->idle)) != NULL)
		link_free(l);
	g_free(p->host);
	g_free(p);
}

static gint64
idle_time(const struct link *l)
{
	return g_get_monotonic_time() - h1_last_active(l->conn);
}

void
h1_pool_sweep(struct h1_pool *p)
{
	struct link *l, *next;

	for (l = TAILQ_FIRST(&p->idle); l != NULL; l = next) {
		next = TAILQ_NEXT(l, entry);
		if (idle_time(l) > (gint64)l->idle_ms * G_TIME_SPAN_MILLISECOND)
			link_free(l);
	}
}

guint
h1_pool_idle(const struct h1_pool *p)
{
	return p->n_idle;
}

guint64
h1_pool_opened(const struct h1_pool *p)
{
	return p->opened;
}

static void
send_request(struct link *l)
{
	gsize n;
	const void *p = g_bytes_get_data(l->call->o.request, &n);

	h1_expect(l->conn, l->call->o.bodyless);
	h1_send(l->conn, p, n);
}

static void
on_connected(void *ctx)
{
	struct link *l = ctx;

	l->connected = TRUE;
	if (l->call != NULL)
		send_request(l);
}

/* Idle time that the peer announces, as in "timeout=5". */
static void
note_keep_alive(struct link *l, const struct h1_head *h)
{
	const char *v = h1_head_get(h, "Keep-Alive"), *t;
	long s;

	t = v != NULL ? strstr(v, "timeout=") : NULL;
	if (t == NULL)
		return;
	s = strtol(t + strlen("timeout="), NULL, 10);
	if (s <= 0 || s > 3600)
		return;
	l->idle_ms =
	    MIN(l->pool->o.idle_ms, (guint)MAX(s * 1000 - KEEP_MARGIN_MS, 0));
}

static void
on_head(void *ctx, struct h1_head *h)
{
	struct link *l = ctx;

	note_keep_alive(l, h);
	l->stray = !l->call->o.ops->head(l->call->o.ctx, h);
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct link *l = ctx;

	if (!l->stray)
		l->call->o.ops->body(l->call->o.ctx, p, n);
}

static void
on_complete(void *ctx)
{
	struct link *l = ctx;
	struct h1_pool *p = l->pool;
	struct h1_call *c = l->call;
	struct h1_call_opts o = c->o;

	if (l->stray) {
		l->stray = FALSE;
		h1_expect(l->conn, o.bodyless);
		return;
	}
	TAILQ_REMOVE(&p->busy, l, entry);
	TAILQ_INSERT_HEAD(&p->idle, l, entry);
	p->n_idle++;
	l->call = NULL;
	h1_pause(l->conn, FALSE);
	if (l->tainted || !h1_persistent(l->conn))
		link_free(l);
	call_free(c);
	o.ops->complete(o.ctx);
}

static void
on_closed(void *ctx, enum h1_end why, const char *text)
{
	struct link *l = ctx;

	if (l->call != NULL)
		call_fail(l->call, why, text);
	else
		link_free(l);
}

static const struct h1_ops link_ops = { .connected = on_connected,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.closed = on_closed };

static struct link *
link_new(struct h1_pool *p)
{
	struct link *l = g_new0(struct link, 1);
	struct h1_opts o = { .ops = &link_ops, .ctx = l };

	l->pool = p;
	l->idle_ms = p->o.idle_ms;
	l->conn = h1_connect(p->host, p->o.port, p->o.connect_ms, &o);
	p->opened++;
	return l;
}

/* The youngest idle connection that may still be used; NULL: none. */
static struct link *
link_take(struct h1_pool *p, guint idle_ms)
{
	struct link *l, *next;
	gint64 most;

	for (l = TAILQ_FIRST(&p->idle); l != NULL; l = next) {
		next = TAILQ_NEXT(l, entry);
		most = idle_ms != 0 ? MIN(idle_ms, l->idle_ms) : l->idle_ms;
		if (!h1_reusable(l->conn)) {
			link_free(l);
			continue;
		}
		if (idle_time(l) > most * G_TIME_SPAN_MILLISECOND)
			return NULL;
		TAILQ_REMOVE(&p->idle, l, entry);
		p->n_idle--;
		return l;
	}
	return NULL;
}

struct h1_call *
h1_call_new(struct h1_pool *p, const struct h1_call_opts *o)
{
	struct h1_call *c = g_new0(struct h1_call, 1);
	struct link *l;

	c->o = *o;
	g_bytes_ref(c->o.request);
	l = link_take(p, o->idle_ms);
	if (l == NULL)
		l = link_new(p);
	TAILQ_INSERT_HEAD(&p->busy, l, entry);
	c->link = l;
	l->call = c;
	if (l->connected)
		send_request(l);
	return c;
}

void
h1_call_cancel(struct h1_call *c)
{
	if (c == NULL)
		return;
	link_free(c->link);
	call_free(c);
}

void
h1_call_pause(struct h1_call *c, gboolean on)
{
	h1_pause(c->link->conn, on);
}

void
h1_call_no_reuse(struct h1_call *c)
{
	c->link->tainted = TRUE;
}
