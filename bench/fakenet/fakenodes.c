/* The nodes of the simulated network, and conditions on them. */
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

static void
member_changed(void *ctx, const struct memb_member *m, gboolean removed)
{
	struct fn_node *n = ctx, *about;
	guint i = m->gossip_port - GOSSIP_PORT;

	n->changes++;
	if (n->dist != NULL)
		dist_members_changed(n->dist);
	if (removed || i >= n->f->n)
		return;
	about = &n->f->nodes[i];
	if (!about->up || about->paused || about->group != n->group ||
	    m->state == PT_LEFT)
		return;
	n->false_dead += m->health == PT_DEAD;
	n->false_suspect += m->health == PT_SUSPECT;
}

static gint64
clock_now(void *ctx)
{
	return ((struct fn *)ctx)->now;
}

static void
message(void *ctx, enum pt_gossip_kind kind, const void *data, gsize len)
{
	struct fn_node *n = ctx;

	if (kind == PT_BEACON && n->dist != NULL)
		dist_beacon_heard(n->dist, data, len);
}

static struct memb *
new_memb(struct fn_node *n)
{
	struct pt_member self = { 0 };
	struct memb_opts o = { 0 };

	self.instance = n->name;
	self.incarnation = FN_US + n->f->now;
	self.state = n->f->with_dist ? PT_BOOTING : PT_SERVING;
	self.host = "127.0.0.1";
	self.rpc_port = (int)(RPC_PORT + n->index);
	self.gossip_port = (int)(GOSSIP_PORT + n->index);
	self.http_port = 8080;
	self.domain = n->domain;
	self.region = n->region;
	self.service = "svc";
	self.slots = 12;
	o.self = &self;
	o.clock = &n->f->clock;
	o.rand = n->rand;
	o.dgram = &n->dgram;
	o.rpc = &n->rpc;
	o.position = fn_store_position;
	o.changed = member_changed;
	o.message = message;
	o.ctx = n;
	return memb_new(&o);
}

static struct dist *
new_dist(struct fn_node *n)
{
	struct dist_opts o = { 0 };

	o.clock = &n->f->clock;
	o.rand = n->rand;
	o.log = &n->log;
	o.rpc = &n->rpc;
	o.store = &n->store;
	o.memb = n->memb;
	o.retention_us = n->f->log.retention_us;
	return dist_new(&o);
}

void
fn_start(struct fn *f, guint i, gboolean seeds)
{
	struct fn_node *n = &f->nodes[i];
	guint k, to;

	n->up = TRUE;
	n->silent = n->paused = n->serving = FALSE;
	n->generation++;
	n->next_tick = 0;
	memset(&n->s, 0, sizeof(n->s));
	n->s.outcomes = fn_outcomes_new();
	n->memb = new_memb(n);
	n->dist = f->with_dist ? new_dist(n) : NULL;
	for (k = 0; seeds && k < 3 && f->n > 1; k++) {
		to = k == 0 ? 0 : g_rand_int_range(n->rand, 0, (gint32)f->n);
		if (to != i)
			memb_add_seed(n->memb, "127.0.0.1", GOSSIP_PORT + to,
			    RPC_PORT + to);
	}
	fn_schedule(f, 0, (gint)i, fn_tick, NULL, n);
}

void
fn_start_all(struct fn *f)
{
	guint i;

	for (i = 0; i < f->n; i++)
		fn_start(f, i, TRUE);
}

/* Fails the calls to this node that are in progress: connection closed. */
static void
close_calls_to(struct fn *f, guint to)
{
	struct fn_call *c;
	guint i, k;

	for (i = 0; i < f->n; i++) {
		for (k = f->nodes[i].calls->len; k > 0; k--) {
			c = f->nodes[i].calls->pdata[k - 1];
			if (c->cb == NULL || c->to != to || i == to ||
			    c->err != NULL || c->res != NULL)
				continue;
			fn_call_reply(c, NULL,
			    g_error_new(PT_ERROR, PT_ERROR_UNKNOWN, "closed"));
		}
	}
}

void
fn_kill(struct fn *f, guint i, gboolean silent)
{
	struct fn_node *n = &f->nodes[i];
	GError *err;

	if (!n->up)
		return;
	err = g_error_new(PT_ERROR, PT_ERROR_CANCELLED, "stopped");
	if (!silent)
		close_calls_to(f, i);
	n->up = FALSE;
	n->silent = silent;
	n->paused = FALSE;
	n->generation++;
	dist_free(n->dist);
	memb_free(n->memb);
	while (n->calls->len > 0)
		fn_call_finish(n->calls->pdata[0], NULL, err);
	while (n->backlog->len > 0)
		fn_event_drop(f, g_ptr_array_steal_index(n->backlog, 0));
	while (n->unanswered->len > 0)
		fn_call_unref(g_ptr_array_remove_index_fast(n->unanswered, 0));
	n->memb = NULL;
	n->dist = NULL;
	g_hash_table_destroy(n->s.outcomes);
	n->s.outcomes = NULL;
	g_error_free(err);
}

void
fn_pause(struct fn *f, guint i)
{
	f->nodes[i].paused = TRUE;
}

void
fn_resume(struct fn *f, guint i)
{
	struct fn_node *n = &f->nodes[i];

	n->paused = FALSE;
	/* Expired timers run before input, as in a main loop. */
	n->next_tick = 0;
	fn_tick(f, n);
	while (n->backlog->len > 0)
		fn_event_run(f, g_ptr_array_steal_index(n->backlog, 0));
	fn_tick(f, n);
}

struct fn *
fn_new(guint32 seed, guint n, guint domains, gboolean with_dist)
{
	struct fn *f = g_new0(struct fn, 1);
	struct fn_node *x;
	guint i;

	f->rand = g_rand_new_with_seed(seed);
	f->clock.now = clock_now;
	f->clock.ctx = f;
	f->now = 1000 * FN_US;
	f->heap = g_ptr_array_new();
	f->nodes = g_new0(struct fn_node, n);
	f->n = n;
	f->with_dist = with_dist;
	f->delay_min = 500;
	f->delay_max = 3000;
	f->log.retention_us = 3600 * FN_US;
	f->log.delay_us = 2 * FN_MS;
	f->log.waiting = g_ptr_array_new();
	for (i = 0; i < FN_STREAMS; i++) {
		f->log.entries[i] =
		    g_ptr_array_new_with_free_func(fn_stored_free);
		f->log.oldest[i] = 1;
	}
	for (i = 0; i < n; i++) {
		x = &f->nodes[i];
		x->f = f;
		x->index = i;
		g_snprintf(x->name, sizeof(x->name), "up-%04u", i);
		g_snprintf(
		    x->domain, sizeof(x->domain), "rack-%u", i % domains);
		g_snprintf(x->region, sizeof(x->region), "region-%u",
		    (i % domains) % 3);
		x->rand = g_rand_new_with_seed(g_rand_int(f->rand));
		x->backlog = g_ptr_array_new();
		x->calls = g_ptr_array_new();
		x->unanswered = g_ptr_array_new();
		x->dgram = (struct pt_dgram){ fn_dgram_send, x };
		x->rpc = (struct pt_rpc){ fn_peer_call, x };
		x->log = (struct pt_log){ fn_log_append, fn_log_read, x };
		x->store = fn_store_port;
		x->store.ctx = x;
	}
	return f;
}

void
fn_free(struct fn *f)
{
	guint i;

	for (i = 0; i < f->n; i++)
		fn_kill(f, i, TRUE);
	while (f->log.waiting->len > 0)
		fn_call_unref(g_ptr_array_remove_index_fast(f->log.waiting, 0));
	while (f->heap->len > 0)
		fn_event_drop(f, fn_heap_pop(f->heap));
	for (i = 0; i < f->n; i++) {
		g_rand_free(f->nodes[i].rand);
		g_ptr_array_free(f->nodes[i].backlog, TRUE);
		g_ptr_array_free(f->nodes[i].calls, TRUE);
		g_ptr_array_free(f->nodes[i].unanswered, TRUE);
	}
	for (i = 0; i < FN_STREAMS; i++)
		g_ptr_array_free(f->log.entries[i], TRUE);
	g_ptr_array_free(f->log.waiting, TRUE);
	g_ptr_array_free(f->heap, TRUE);
	g_rand_free(f->rand);
	g_free(f->nodes);
	g_free(f);
}

/* ---- conditions ---- */

gboolean
fn_members_converged(struct fn *f)
{
	const struct memb_member *m;
	guint i, k;

	for (i = 0; i < f->n; i++) {
		if (!f->nodes[i].up || f->nodes[i].paused)
			continue;
		for (k = 0; k < f->n; k++) {
			m = memb_find(f->nodes[i].memb, f->nodes[k].name);
			if (f->nodes[k].up) {
				if (m == NULL || m->health != PT_ALIVE)
					return FALSE;
			} else if (m != NULL && memb_present(m))
				return FALSE;
		}
	}
	return TRUE;
}

gboolean
fn_all_current(struct fn *f)
{
	gint64 newest = fn_next_offset(&f->log, FN_CONFIG) - 1;
	guint i;

	for (i = 0; i < f->n; i++) {
		if (f->nodes[i].up && !f->nodes[i].paused &&
		    f->nodes[i].s.position != newest)
			return FALSE;
	}
	return TRUE;
}

gboolean
fn_all_ready(struct fn *f)
{
	guint i;

	for (i = 0; i < f->n; i++) {
		if (f->nodes[i].up && !f->nodes[i].paused &&
		    !dist_ready(f->nodes[i].dist))
			return FALSE;
	}
	return TRUE;
}

guint64
fn_log_requests(struct fn *f, enum dist_log_kind kind)
{
	guint64 n = 0;
	guint i;

	for (i = 0; i < f->n; i++) {
		if (f->nodes[i].up)
			n += dist_stats(f->nodes[i].dist)->log_requests[kind];
	}
	return n;
}
