/* Stream "snapshots": writes a snapshot when one is due, finds the newest. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#define DIST_PRIVATE
#include "dist.h"

/* Records read at a time, backwards from the end of the stream. */
#define WINDOW 64
#define CHUNKS_MAX (DIST_SNAP_MAX / 1024)
#define FOUND_MAX 8 /* snapshots reassembled at a time */
/*
 * If a snapshot is due and no reader writes it, the reader of the next rank
 * does so this much later.
 */
#define TAKE_OVER_US (3 * DIST_US)
#define JITTER_US (200 * DIST_MS)
#define APPEND_TRIES 3 /* per chunk, if the outcome is unknown */

static void scan_read(struct dist *);

void
dist_scan_drop(struct dist *d)
{
	while (!LIST_EMPTY(&d->scan.found))
		dist_partial_free(LIST_FIRST(&d->scan.found));
	d->scan.busy = FALSE;
}

/*
 * Finds or adds the snapshot of a chunk.  If FOUND_MAX are held, it replaces
 * the oldest; returns NULL if it is not newer than that.
 */
static struct dist_partial *
partial_get(struct dist *d, const struct pt_snap_chunk *c)
{
	struct dist_partial *a, *oldest = NULL;
	guint n = 0;

	for (a = LIST_FIRST(&d->scan.found); a != NULL;
	     a = LIST_NEXT(a, link)) {
		if (a->position == c->position && a->count == c->count &&
		    memcmp(a->digest, c->digest, PT_DIGEST_LEN) == 0)
			return a;
		if (oldest == NULL || a->position < oldest->position)
			oldest = a;
		n++;
	}
	if (n >= FOUND_MAX) {
		if (c->position <= oldest->position)
			return NULL;
		dist_partial_free(oldest);
	}
	a = g_new0(struct dist_partial, 1);
	a->position = c->position;
	a->count = c->count;
	memcpy(a->digest, c->digest, PT_DIGEST_LEN);
	a->chunks = g_new0(GBytes *, c->count);
	LIST_INSERT_HEAD(&d->scan.found, a, link);
	return a;
}

static void
add_chunk(struct dist *d, GBytes *record)
{
	struct pt_snap_chunk c = { 0 };
	struct dist_partial *a;
	const void *p;
	gsize n;

	p = g_bytes_get_data(record, &n);
	if (!pt_decode((xdrproc_t)xdr_pt_snap_chunk, &c, sizeof(c), p, n))
		return;
	if (pt_proto_supported(c.proto) && c.count > 0 &&
	    c.count <= CHUNKS_MAX && c.index < c.count) {
		if (c.index == c.count - 1 &&
		    c.position >= d->snap_seen_position) {
			d->snap_seen_position = c.position;
			d->snap_seen_at = pt_now(d->o.clock);
		}
		a = d->scan.load && c.position > dist_position(d)
			? partial_get(d, &c)
			: NULL;
		if (a != NULL && a->chunks[c.index] == NULL) {
			a->chunks[c.index] =
			    g_bytes_new(c.data.data_val, c.data.data_len);
			a->have++;
		}
	}
	xdr_free((xdrproc_t)xdr_pt_snap_chunk, (char *)&c);
}

static struct dist_partial *
newest_complete(struct dist *d)
{
	struct dist_partial *a, *best = NULL;

	for (a = LIST_FIRST(&d->scan.found); a != NULL;
	     a = LIST_NEXT(a, link)) {
		if (a->have == a->count &&
		    (best == NULL || a->position > best->position))
			best = a;
	}
	return best;
}

static void
load_found(struct dist *d)
{
	struct dist_partial *a = newest_complete(d);
	GByteArray *all;
	GBytes *b;
	guint i;
	gsize n;
	const guint8 *p;

	if (a == NULL)
		return;
	all = g_byte_array_new();
	for (i = 0; i < a->count && all->len <= DIST_SNAP_MAX; i++) {
		p = g_bytes_get_data(a->chunks[i], &n);
		g_byte_array_append(all, p, n);
	}
	b = g_byte_array_free_to_bytes(all);
	dist_load(d, b, a->digest);
	g_bytes_unref(b);
}

static void
scan_end(struct dist *d)
{
	d->snap_next = d->scan.next;
	if (d->scan.load)
		load_found(d);
	else
		d->snap_checked = pt_now(d->o.clock);
	dist_scan_drop(d);
}

/* Continues with the rest of the window, or with the window before it. */
static void
scan_next(struct dist *d)
{
	struct dist_scan *s = &d->scan;

	if (s->from >= s->end) {
		if (!s->load || s->start <= s->oldest ||
		    newest_complete(d) != NULL) {
			scan_end(d);
			return;
		}
		s->end = s->start;
		s->start = MAX(s->oldest, s->end - WINDOW);
		s->from = s->start;
	}
	scan_read(d);
}

static void
scan_window(void *arg, const struct pt_batch *b, const GError *err)
{
	struct dist *d = arg;
	struct dist_scan *s = &d->scan;
	guint i;

	if (d->closed) {
		dist_unref(d);
		return;
	}
	dist_log_result(d, err);
	if (err != NULL || b == NULL) {
		dist_scan_drop(d);
		dist_unref(d);
		return;
	}
	for (i = 0; i < b->n_entries; i++)
		add_chunk(d, b->entries[i].data);
	s->from =
	    b->n_entries > 0 ? b->entries[b->n_entries - 1].offset + 1 : s->end;
	scan_next(d);
	dist_unref(d);
}

static void
scan_read(struct dist *d)
{
	struct dist_scan *s = &d->scan;

	d->refs++;
	d->stats.log_requests[DIST_LOG_SNAPSHOT]++;
	d->o.log->read(d->o.log->ctx, "snapshots", s->from,
	    (guint)MIN(s->end - s->from, WINDOW), 0, scan_window, d);
}

static void
scan_bounds(void *arg, const struct pt_batch *b, const GError *err)
{
	struct dist *d = arg;
	struct dist_scan *s = &d->scan;

	if (d->closed) {
		dist_unref(d);
		return;
	}
	dist_log_result(d, err);
	if (err != NULL || b == NULL) {
		dist_scan_drop(d);
		dist_unref(d);
		return;
	}
	s->oldest = b->oldest;
	s->next = s->end = b->next;
	s->start = MAX(b->oldest, b->next - WINDOW);
	if (!s->load)
		s->start = MAX(s->start, d->snap_next);
	s->from = s->start;
	if (s->from >= s->end)
		scan_end(d);
	else
		scan_read(d);
	dist_unref(d);
}

/* Scans the stream; with "load", loads the newest snapshot found. */
void
dist_scan(struct dist *d, gboolean load)
{
	if (d->scan.busy)
		return;
	d->scan.busy = TRUE;
	d->scan.load = load;
	d->refs++;
	d->stats.log_requests[DIST_LOG_SNAPSHOT]++;
	d->o.log->read(d->o.log->ctx, "snapshots", MAX(1, d->snap_next), 1, 0,
	    scan_bounds, d);
}

static void write_next(struct dist *);

static void
write_end(struct dist *d, gboolean done)
{
	gint64 now = pt_now(d->o.clock);

	g_clear_pointer(&d->writing, g_bytes_unref);
	if (!done) {
		d->snap_retry = now + dist_backoff(d, ++d->writing_fails);
		return;
	}
	d->writing_fails = 0;
	d->stats.snapshots_written++;
	d->snap_seen_position = MAX(d->snap_seen_position, d->writing_position);
	d->snap_seen_at = now;
	d->snap_due = 0;
	pt_event(d->o.events, PT_LEVEL_INFO, "snapshot-written",
	    "position=%" G_GINT64_FORMAT, d->writing_position);
}

static void
written(void *arg, gint64 offset, const GError *err)
{
	struct dist *d = arg;

	if (d->closed || d->writing == NULL) {
		dist_unref(d);
		return;
	}
	dist_log_result(d, err);
	if (err == NULL) {
		d->writing_fails = 0;
		d->writing_index++;
		write_next(d);
	} else if (g_error_matches(err, PT_ERROR, PT_ERROR_UNKNOWN) &&
		   ++d->writing_fails < APPEND_TRIES)
		write_next(d); /* a duplicate chunk is harmless */
	else
		write_end(d, FALSE);
	dist_unref(d);
}

static void
write_next(struct dist *d)
{
	struct pt_snap_chunk c = { 0 };
	const char *p;
	GBytes *b;
	gsize n, at = (gsize)d->writing_index * DIST_CHUNK_BYTES;

	p = g_bytes_get_data(d->writing, &n);
	if (at >= n) {
		write_end(d, TRUE);
		return;
	}
	c.proto = PT_PROTO;
	c.position = d->writing_position;
	c.index = d->writing_index;
	c.count = (n + DIST_CHUNK_BYTES - 1) / DIST_CHUNK_BYTES;
	memcpy(c.digest, d->writing_digest, PT_DIGEST_LEN);
	c.data.data_val = (char *)p + at;
	c.data.data_len = MIN(n - at, DIST_CHUNK_BYTES);
	b = pt_encode((xdrproc_t)xdr_pt_snap_chunk, &c);
	d->refs++;
	d->stats.log_requests[DIST_LOG_SNAPSHOT]++;
	d->o.log->append(d->o.log->ctx, "snapshots", b, written, d);
	g_bytes_unref(b);
}

static void
write_start(struct dist *d)
{
	dist_snap_refresh(d);
	d->writing = g_bytes_ref(d->snaps[0].data);
	d->writing_position = d->snaps[0].position;
	memcpy(d->writing_digest, d->snaps[0].digest, PT_DIGEST_LEN);
	d->writing_index = 0;
	write_next(d);
}

static gboolean
overdue(const struct dist *d, gint64 now)
{
	return d->snap_seen_at == 0 ||
	       dist_position(d) - d->snap_seen_position >= DIST_SNAP_RECORDS ||
	       now - d->snap_seen_at >= d->o.retention_us / 4;
}

gint64
dist_snapstream_tick(struct dist *d, gint64 now)
{
	if (!d->reader || !d->ready || !d->log_ok || d->writing != NULL ||
	    d->scan.busy || dist_position(d) == 0)
		return G_MAXINT64;
	if (!overdue(d, now)) {
		d->snap_due = 0;
		return d->snap_seen_at + d->o.retention_us / 4;
	}
	if (d->snap_due == 0) {
		d->snap_due = now + d->reader_rank * TAKE_OVER_US +
			      g_rand_double(d->o.rand) * JITTER_US;
		d->snap_checked = 0;
	}
	if (MAX(d->snap_due, d->snap_retry) > now)
		return MAX(d->snap_due, d->snap_retry);
	/* Another reader may have written one: scan before writing. */
	if (d->snap_checked < d->snap_due)
		dist_scan(d, FALSE);
	else
		write_start(d);
	return G_MAXINT64;
}
