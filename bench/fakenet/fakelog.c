/* Simulated log: offsets, retention, outages and lost responses. */
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

/* Time until a read fails while the log is down; until an append times out. */
#define LOG_REFUSED_US (50 * FN_MS)
#define LOG_LOST_US FN_US

static enum fn_stream
stream_of(const char *name)
{
	return strcmp(name, "config") == 0	? FN_CONFIG
	       : strcmp(name, "snapshots") == 0 ? FN_SNAPSHOTS
						: FN_SEEDS;
}

struct stored {
	gint64 at;
	GBytes *data;
};

void
fn_stored_free(gpointer p)
{
	g_bytes_unref(((struct stored *)p)->data);
	g_free(p);
}

gint64
fn_next_offset(const struct fn_log *l, enum fn_stream s)
{
	return l->oldest[s] + l->entries[s]->len;
}

void
fn_trim(struct fn *f, enum fn_stream s, gint64 oldest)
{
	struct fn_log *l = &f->log;
	gint64 n = MIN(oldest, fn_next_offset(l, s)) - l->oldest[s];

	if (n <= 0)
		return;
	g_ptr_array_remove_range(l->entries[s], 0, (guint)n);
	l->oldest[s] += n;
}

static void
expire(struct fn *f, enum fn_stream s)
{
	struct fn_log *l = &f->log;
	guint i = 0;

	while (
	    i < l->entries[s]->len &&
	    ((struct stored *)l->entries[s]->pdata[i])->at + l->retention_us <
		f->now)
		i++;
	fn_trim(f, s, l->oldest[s] + i);
}

static void
read_answer(struct fn *f, void *arg)
{
	struct fn_call *c = arg;
	struct fn_log *l = &f->log;
	struct pt_batch b = { 0 };
	struct pt_record list[64];
	gint64 o;

	expire(f, c->stream);
	if (l->down || f->nodes[c->from].log_cut) {
		GError *err =
		    g_error_new(PT_ERROR, PT_ERROR_UNREACHABLE, "log is down");

		fn_call_finish(c, NULL, err);
		g_error_free(err);
		fn_call_unref(c);
		return;
	}
	b.oldest = l->oldest[c->stream];
	b.next = fn_next_offset(l, c->stream);
	b.entries = list;
	for (o = MAX(c->first, b.oldest);
	     o < b.next && b.n_entries < MIN(c->max, 64); o++) {
		struct stored *s = l->entries[c->stream]->pdata[o - b.oldest];

		list[b.n_entries].offset = o;
		list[b.n_entries++].data = s->data;
	}
	fn_call_finish(c, &b, NULL);
	fn_call_unref(c);
}

/* Schedules the response to a read, with the records present at that time. */
static void
read_schedule(struct fn *f, struct fn_call *c, gint64 after)
{
	c->refs++;
	fn_schedule(f, after, (gint)c->from, read_answer, fn_call_drop, c);
}

static void
read_due(struct fn *f, void *arg)
{
	struct fn_call *c = arg;

	if (g_ptr_array_remove_fast(f->log.waiting, c)) {
		if (!c->done &&
		    f->nodes[c->from].generation == c->from_generation)
			read_schedule(f, c, 0);
		fn_call_unref(c);
	}
	fn_call_unref(c);
}

void
fn_log_read(void *ctx, const char *stream, gint64 from, guint max,
    guint wait_ms, pt_read_cb cb, void *arg)
{
	struct fn_node *n = ctx;
	struct fn *f = n->f;
	struct fn_call *c = fn_call_new(n, arg);

	f->log.requests++;
	c->read_cb = cb;
	c->stream = stream_of(stream);
	c->first = from;
	c->max = max;
	if (f->log.down || n->log_cut) {
		read_schedule(f, c, LOG_REFUSED_US);
		return;
	}
	if (wait_ms == 0 || from < fn_next_offset(&f->log, c->stream)) {
		read_schedule(f, c, f->log.delay_us);
		return;
	}
	c->refs += 2;
	g_ptr_array_add(f->log.waiting, c);
	fn_schedule(f, wait_ms * FN_MS, -1, read_due, fn_call_drop, c);
}

gint64
fn_append(struct fn *f, enum fn_stream s, GBytes *data)
{
	struct fn_log *l = &f->log;
	struct stored *e = g_new(struct stored, 1);
	struct fn_call *c;
	guint i;

	e->at = f->now;
	e->data = g_bytes_ref(data);
	g_ptr_array_add(l->entries[s], e);
	for (i = l->waiting->len; i > 0; i--) {
		c = l->waiting->pdata[i - 1];
		/* A record does not get through to a node that is cut off. */
		if (c->stream != s || f->nodes[c->from].log_cut)
			continue;
		g_ptr_array_remove_index_fast(l->waiting, i - 1);
		if (!c->done &&
		    f->nodes[c->from].generation == c->from_generation)
			read_schedule(f, c, l->delay_us);
		fn_call_unref(c);
	}
	return fn_next_offset(l, s) - 1;
}

gboolean
fn_reads_log(const struct fn *f, guint i)
{
	const struct fn_call *c;
	guint k;

	for (k = 0; k < f->log.waiting->len; k++) {
		c = f->log.waiting->pdata[k];
		if (c->from == i && !c->done)
			return TRUE;
	}
	return FALSE;
}

static void
append_answer(struct fn *f, void *arg)
{
	struct fn_call *c = arg;

	fn_call_finish(c, NULL, c->err);
	fn_call_unref(c);
}

/* The record is appended even if its sender ends before the response. */
static void
append_run(struct fn *f, void *arg)
{
	struct fn_call *c = arg;
	struct fn_log *l = &f->log;
	gint64 after = l->delay_us;

	if (l->down || f->nodes[c->from].log_cut || l->refuse_appends > 0) {
		l->refuse_appends -= l->refuse_appends > 0;
		c->err =
		    g_error_new(PT_ERROR, PT_ERROR_UNREACHABLE, "log is down");
	} else {
		c->offset = fn_append(f, c->stream, c->record);
		if (l->lose_appends > 0) {
			l->lose_appends--;
			after = LOG_LOST_US;
			c->offset = 0;
			c->err = g_error_new(
			    PT_ERROR, PT_ERROR_UNKNOWN, "response lost");
		}
	}
	if (!c->done && f->nodes[c->from].generation == c->from_generation) {
		c->refs++;
		fn_schedule(
		    f, after, (gint)c->from, append_answer, fn_call_drop, c);
	}
	fn_call_unref(c);
}

void
fn_log_append(
    void *ctx, const char *stream, GBytes *record, pt_append_cb cb, void *arg)
{
	struct fn_node *n = ctx;
	struct fn_call *c = fn_call_new(n, arg);

	n->f->log.requests++;
	c->append_cb = cb;
	c->stream = stream_of(stream);
	c->record = g_bytes_ref(record);
	c->refs++;
	fn_schedule(n->f, n->f->log.delay_us, -1, append_run, fn_call_drop, c);
}
