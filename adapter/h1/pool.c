/* Pool of connections to one address, the most recently used first. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"

/*
 * Subtracted from the idle time that the peer announces, since the peer may
 * close the connection while the next request is on its way.
 */
#define IDLE_MARGIN_MS 1000
/* Most stray responses that are discarded while one call waits. */
#define STRAYS_MAX 4

/* A pooled connection. */
struct pconn {
	TAILQ_ENTRY(pconn) entry;
	struct h1_pool *pool;
	struct h1_conn *conn;
	struct h1_call *call; /* NULL: idle */
	gboolean connected;
	gboolean stray; /* the response being read is discarded */
	guint n_strays; /* discarded during the call */
	gboolean reused; /* has carried a response before this call */
	gboolean *freed; /* set when the connection is freed, or NULL */
	gboolean no_reuse; /* close after the call */
	guint idle_ms; /* limit that the peer announced, or the pool's */
};

TAILQ_HEAD(pconns, pconn);

struct h1_call {
	struct pconn *pc;
	struct h1_call_opts o;
};

struct h1_pool {
	struct h1_pool_opts o;
	char *host;
	struct pconns idle, busy;
	gboolean retired; /* freed when no call is in progress */
	guint n_idle, n_busy;
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
pconn_free(struct pconn *pc)
{
	struct h1_pool *p = pc->pool;

	if (pc->call != NULL) {
		TAILQ_REMOVE(&p->busy, pc, entry);
		p->n_busy--;
	} else {
		TAILQ_REMOVE(&p->idle, pc, entry);
		p->n_idle--;
	}
	if (pc->freed != NULL)
		*pc->freed = TRUE;
	h1_free(pc->conn);
	g_free(pc);
}

static void
call_free(struct h1_call *c)
{
	g_bytes_unref(c->o.request);
	if (c->o.body != NULL)
		g_bytes_unref(c->o.body);
	g_free(c);
}

static void
pool_free(struct h1_pool *p)
{
	g_free(p->host);
	g_free(p);
}

/* Frees a retired pool after its last call. */
static void
call_ended(struct h1_pool *p)
{
	struct pconn *pc;

	if (!p->retired)
		return;
	while ((pc = TAILQ_FIRST(&p->idle)) != NULL)
		pconn_free(pc);
	if (TAILQ_EMPTY(&p->busy))
		pool_free(p);
}

void
h1_pool_retire(struct h1_pool *p)
{
	if (p == NULL)
		return;
	p->retired = TRUE;
	call_ended(p);
}

static void
call_fail(struct h1_call *c, enum h1_end why, const char *text)
{
	struct h1_pool *p = c->pc->pool;
	struct h1_call_opts o = c->o;
	gboolean sent = c->pc->connected;

	pconn_free(c->pc);
	call_free(c);
	call_ended(p);
	o.ops->failed(o.ctx, why, sent, text);
}

void
h1_pool_free(struct h1_pool *p)
{
	struct pconn *pc;

	if (p == NULL)
		return;
	while ((pc = TAILQ_FIRST(&p->busy)) != NULL)
		call_fail(
		    pc->call, H1_END_RESET, "the connection pool was closed");
	while ((pc = TAILQ_FIRST(&p->idle)) != NULL)
		pconn_free(pc);
	pool_free(p);
}

static gint64
idle_time(const struct pconn *pc)
{
	return pt_now(&sys_clock) - h1_last_active(pc->conn);
}

void
h1_pool_sweep(struct h1_pool *p)
{
	struct pconn *pc, *next;

	for (pc = TAILQ_FIRST(&p->idle); pc != NULL; pc = next) {
		next = TAILQ_NEXT(pc, entry);
		if (idle_time(pc) >
		    (gint64)pc->idle_ms * G_TIME_SPAN_MILLISECOND)
			pconn_free(pc);
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
send_request(struct pconn *pc)
{
	gsize n;
	const void *p = g_bytes_get_data(pc->call->o.request, &n);

	h1_expect(pc->conn, pc->call->o.bodyless);
	h1_send(pc->conn, p, n);
	if (pc->call->o.body != NULL)
		h1_send_bytes(pc->conn, pc->call->o.body);
}

static void
on_connected(void *ctx)
{
	struct pconn *pc = ctx;

	pc->connected = TRUE;
	if (pc->call != NULL)
		send_request(pc);
}

/* Applies the idle time in seconds that the peer announces ("timeout=5"). */
static void
parse_keep_alive(struct pconn *pc, const struct h1_head *h)
{
	const char *v = h1_head_get(h, "Keep-Alive"), *t;
	long s;

	t = v != NULL ? strstr(v, "timeout=") : NULL;
	if (t == NULL)
		return;
	s = strtol(t + strlen("timeout="), NULL, 10);
	if (s <= 0 || s > 3600)
		return;
	pc->idle_ms =
	    MIN(pc->pool->o.idle_ms, (guint)MAX(s * 1000 - IDLE_MARGIN_MS, 0));
}

static void
on_head(void *ctx, struct h1_head *h)
{
	struct pconn *pc = ctx;
	gboolean freed = FALSE, stray;

	parse_keep_alive(pc, h);
	pc->freed = &freed;
	stray = !pc->call->o.ops->head(pc->call->o.ctx, h);
	if (freed)
		return;
	pc->freed = NULL;
	pc->stray = stray;
	if (!pc->stray)
		return;
	/* One that ends with the connection leaves none for the response. */
	if (++pc->n_strays > STRAYS_MAX || (!h->chunked && h->length < 0))
		call_fail(pc->call, H1_END_BAD, "stray response");
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct pconn *pc = ctx;

	if (!pc->stray)
		pc->call->o.ops->body(pc->call->o.ctx, p, n);
}

static void
on_complete(void *ctx)
{
	struct pconn *pc = ctx;
	struct h1_pool *p = pc->pool;
	struct h1_call *c = pc->call;
	struct h1_call_opts o = c->o;

	if (pc->stray) {
		pc->stray = FALSE;
		h1_expect(pc->conn, o.bodyless);
		return;
	}
	TAILQ_REMOVE(&p->busy, pc, entry);
	TAILQ_INSERT_HEAD(&p->idle, pc, entry);
	p->n_idle++;
	p->n_busy--;
	pc->call = NULL;
	pc->n_strays = 0;
	pc->reused = TRUE;
	h1_pause(pc->conn, FALSE);
	/* The rest of a request would be sent after its response. */
	if (pc->no_reuse || !h1_reusable(pc->conn))
		pconn_free(pc);
	call_free(c);
	call_ended(p);
	o.ops->complete(o.ctx);
}

static void
on_closed(void *ctx, enum h1_end why, const char *text)
{
	struct pconn *pc = ctx;

	if (pc->call != NULL)
		call_fail(pc->call, why, text);
	else
		pconn_free(pc);
}

static const struct h1_ops pconn_ops = { .connected = on_connected,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.closed = on_closed };

static struct pconn *
pconn_new(struct h1_pool *p)
{
	struct pconn *pc = g_new0(struct pconn, 1);
	struct h1_opts o = { .ops = &pconn_ops, .ctx = pc };

	pc->pool = p;
	pc->idle_ms = p->o.idle_ms;
	pc->conn = h1_connect(p->host, p->o.port, p->o.connect_ms, &o);
	p->opened++;
	return pc;
}

/*
 * Takes the most recently used connection that is reusable, NULL: none.  Closes
 * more recent ones that are not.
 */
static struct pconn *
pconn_get(struct h1_pool *p, guint idle_ms)
{
	struct pconn *pc, *next;
	gint64 max;

	for (pc = TAILQ_FIRST(&p->idle); pc != NULL; pc = next) {
		next = TAILQ_NEXT(pc, entry);
		max = idle_ms != 0 ? MIN(idle_ms, pc->idle_ms) : pc->idle_ms;
		if (!h1_reusable(pc->conn)) {
			pconn_free(pc);
			continue;
		}
		if (idle_time(pc) > max * G_TIME_SPAN_MILLISECOND)
			return NULL;
		TAILQ_REMOVE(&p->idle, pc, entry);
		p->n_idle--;
		return pc;
	}
	return NULL;
}

/* Closes the idle connections that leave no room for a new one. */
static void
make_room(struct h1_pool *p)
{
	while (p->o.conns > 0 && p->n_idle > 0 &&
	       p->n_idle + p->n_busy >= p->o.conns)
		pconn_free(TAILQ_LAST(&p->idle, pconns));
}

struct h1_call *
h1_call_new(struct h1_pool *p, const struct h1_call_opts *o)
{
	struct h1_call *c = g_new0(struct h1_call, 1);
	struct pconn *pc;

	c->o = *o;
	g_bytes_ref(c->o.request);
	if (c->o.body != NULL)
		g_bytes_ref(c->o.body);
	pc = o->fresh ? NULL : pconn_get(p, o->idle_ms);
	if (pc == NULL) {
		make_room(p);
		pc = pconn_new(p);
	}
	TAILQ_INSERT_HEAD(&p->busy, pc, entry);
	p->n_busy++;
	c->pc = pc;
	pc->call = c;
	if (pc->connected)
		send_request(pc);
	return c;
}

void
h1_call_cancel(struct h1_call *c)
{
	struct h1_pool *p;

	if (c == NULL)
		return;
	p = c->pc->pool;
	pconn_free(c->pc);
	call_free(c);
	call_ended(p);
}

void
h1_call_pause(struct h1_call *c, gboolean on)
{
	h1_pause(c->pc->conn, on);
}

gboolean
h1_call_reused(const struct h1_call *c)
{
	return c->pc->reused || c->pc->n_strays > 0;
}

void
h1_call_no_reuse(struct h1_call *c)
{
	c->pc->no_reuse = TRUE;
}
