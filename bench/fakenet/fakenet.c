/* Simulated network of nodes: events and datagrams. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#include "dist.h"
#include "rpcio.h"
#define FN_PRIVATE
#include "fakenet.h"

/* Bytes of the IPv4 and UDP headers. */
#define DGRAM_HEADER 28

struct packet {
	guint to;
	GBytes *data;
};

static gboolean
before(const struct fn_event *a, const struct fn_event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void
heap_push(GPtrArray *h, struct fn_event *e)
{
	guint i = h->len;

	g_ptr_array_add(h, e);
	while (i > 0 && before(e, h->pdata[(i - 1) / 2])) {
		h->pdata[i] = h->pdata[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	h->pdata[i] = e;
}

struct fn_event *
fn_heap_pop(GPtrArray *h)
{
	struct fn_event *top = h->pdata[0], *e = h->pdata[h->len - 1];
	guint i = 0, c;

	g_ptr_array_set_size(h, (gint)h->len - 1);
	if (h->len == 0)
		return top;
	while ((c = 2 * i + 1) < h->len) {
		if (c + 1 < h->len && before(h->pdata[c + 1], h->pdata[c]))
			c++;
		if (!before(h->pdata[c], e))
			break;
		h->pdata[i] = h->pdata[c];
		i = c;
	}
	h->pdata[i] = e;
	return top;
}

void
fn_schedule(struct fn *f, gint64 delay, gint node,
    void (*run)(struct fn *, void *), void (*drop)(struct fn *, void *),
    void *arg)
{
	struct fn_event *e = g_new0(struct fn_event, 1);

	e->at = f->now + delay;
	e->seq = f->seq++;
	e->node = node;
	e->generation = node >= 0 ? f->nodes[node].generation : 0;
	e->run = run;
	e->drop = drop;
	e->arg = arg;
	heap_push(f->heap, e);
}

gint64
fn_delay(struct fn *f)
{
	return f->delay_min +
	       g_rand_double(f->rand) * (f->delay_max - f->delay_min);
}

void
fn_tick(struct fn *f, void *arg)
{
	struct fn_node *n = arg;
	gint64 due;

	if (!n->up || n->paused)
		return;
	due = memb_tick(n->memb);
	if (n->dist != NULL) {
		due = MIN(due, dist_tick(n->dist));
		if (!n->serving && dist_ready(n->dist)) {
			n->serving = TRUE;
			memb_announce(n->memb, PT_SERVING, "svc", 12);
			due = MIN(due, memb_tick(n->memb));
		}
	}
	if (n->next_tick > f->now && n->next_tick <= due)
		return;
	n->next_tick = MAX(due, f->now + 1);
	fn_schedule(f, n->next_tick - f->now, (gint)n->index, fn_tick, NULL, n);
}

void
fn_tick_now(struct fn *f, guint i)
{
	fn_tick(f, &f->nodes[i]);
}

void
fn_event_drop(struct fn *f, struct fn_event *e)
{
	if (e->drop != NULL)
		e->drop(f, e->arg);
	g_free(e);
}

void
fn_event_run(struct fn *f, struct fn_event *e)
{
	struct fn_node *n = e->node >= 0 ? &f->nodes[e->node] : NULL;

	if (n != NULL && n->paused) {
		g_ptr_array_add(n->backlog, e);
		return;
	}
	if (n != NULL && e->generation != n->generation) {
		fn_event_drop(f, e);
		return;
	}
	e->run(f, e->arg);
	if (n != NULL && n->up && e->run != fn_tick)
		fn_tick(f, n);
	g_free(e);
}

void
fn_run(struct fn *f, gint64 us)
{
	gint64 end = f->now + us;
	struct fn_event *e;

	while (f->heap->len > 0) {
		e = f->heap->pdata[0];
		if (e->at > end)
			break;
		e = fn_heap_pop(f->heap);
		f->now = MAX(f->now, e->at);
		fn_event_run(f, e);
	}
	f->now = end;
}

gint64
fn_until(struct fn *f, gboolean (*cond)(struct fn *), gint64 max_us)
{
	gint64 start = f->now;

	while (f->now - start <= max_us) {
		if (cond(f))
			return f->now - start;
		fn_run(f, 20 * FN_MS);
	}
	return -1;
}

/* ---- datagrams ---- */

static void
packet_drop(struct fn *f, void *arg)
{
	struct packet *p = arg;

	g_bytes_unref(p->data);
	g_free(p);
}

static void
packet_run(struct fn *f, void *arg)
{
	struct packet *p = arg;
	struct fn_node *n = &f->nodes[p->to];
	gsize len;
	const void *data = g_bytes_get_data(p->data, &len);

	if (f->tap != NULL)
		f->tap(f, data, len);
	if (n->up)
		memb_input(n->memb, data, len);
	packet_drop(f, p);
}

gboolean
fn_reaches(const struct fn *f, guint a, guint b)
{
	return f->nodes[a].group == f->nodes[b].group;
}

void
fn_dgram_send(
    void *ctx, const char *host, guint port, const void *data, gsize len)
{
	struct fn_node *n = ctx;
	struct fn *f = n->f;
	struct packet *p;
	guint to = port - GOSSIP_PORT, copies, i;

	n->bytes_out += len + DGRAM_HEADER;
	f->dgrams++;
	if (port < GOSSIP_PORT || to >= f->n || !fn_reaches(f, n->index, to))
		return;
	copies = g_rand_double(f->rand) < f->loss  ? 0
		 : g_rand_double(f->rand) < f->dup ? 2
						   : 1;
	for (i = 0; i < copies; i++) {
		p = g_new(struct packet, 1);
		p->to = to;
		p->data = g_bytes_new(data, len);
		fn_schedule(
		    f, fn_delay(f), (gint)to, packet_run, packet_drop, p);
	}
}

void
fn_call_unref(struct fn_call *c)
{
	if (--c->refs > 0)
		return;
	if (c->args != NULL)
		g_bytes_unref(c->args);
	if (c->res != NULL)
		g_bytes_unref(c->res);
	if (c->record != NULL)
		g_bytes_unref(c->record);
	g_clear_error(&c->err);
	g_free(c);
}
