/* Evaluates records, loads snapshots, and keeps recent records for children. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#define DIST_PRIVATE
#include "dist.h"

#define BACKOFF_FIRST_US (250 * DIST_MS)

gint64
dist_position(const struct dist *d)
{
	return d->o.store->position(d->o.store->ctx);
}

gint64
dist_version(const struct dist *d)
{
	return d->o.store->version(d->o.store->ctx);
}

/* Exponential backoff with full jitter. */
gint64
dist_backoff(struct dist *d, guint fails)
{
	gint64 max = BACKOFF_FIRST_US << MIN(fails, 10);

	return DIST_MS +
	       g_rand_double(d->o.rand) * MIN(max, DIST_BACKOFF_MAX_US);
}

static void
recent_drop(struct dist *d)
{
	struct dist_rec *r = TAILQ_FIRST(&d->recent);

	TAILQ_REMOVE(&d->recent, r, link);
	d->n_recent--;
	d->recent_bytes -= g_bytes_get_size(r->data);
	g_bytes_unref(r->data);
	g_free(r);
}

void
dist_recent_clear(struct dist *d)
{
	while (!TAILQ_EMPTY(&d->recent))
		recent_drop(d);
}

static void
recent_add(struct dist *d, gint64 offset, GBytes *data)
{
	struct dist_rec *r = g_new0(struct dist_rec, 1);

	r->offset = offset;
	r->data = g_bytes_ref(data);
	TAILQ_INSERT_TAIL(&d->recent, r, link);
	d->n_recent++;
	d->recent_bytes += g_bytes_get_size(data);
	while (d->n_recent > DIST_RECENT_RECORDS ||
	       (d->n_recent > 1 && d->recent_bytes > DIST_RECENT_BYTES))
		recent_drop(d);
}

/*
 * Evaluates the record that follows the position.  Ignores records at or below
 * the position; returns FALSE, without evaluation, if records before it are
 * missing.
 */
gboolean
dist_eval(struct dist *d, gint64 offset, GBytes *data)
{
	gint64 position = dist_position(d);

	if (offset <= position)
		return TRUE;
	if (offset != position + 1) {
		d->stats.gaps++;
		d->need_snapshot = TRUE;
		return FALSE;
	}
	d->o.store->eval(d->o.store->ctx, offset, data);
	recent_add(d, offset, data);
	d->need_snapshot = FALSE;
	return TRUE;
}

/*
 * The position advanced: answers waiting children and submit calls, and calls
 * changed() of the options.
 */
void
dist_advanced(struct dist *d)
{
	if (dist_position(d) >= d->behind_target) {
		d->behind_since = 0;
		d->behind_timeouts = 0;
	}
	dist_beacons_advanced(d);
	dist_wake(d);
	dist_submit_check(d);
	dist_ack_changed(d);
	if (d->o.changed != NULL)
		d->o.changed(d->o.ctx);
}

/* Loads a snapshot if its digest matches and it is newer. */
gboolean
dist_load(struct dist *d, GBytes *data, const guint8 *digest)
{
	guint8 sum[PT_DIGEST_LEN];
	gint64 before = dist_position(d);
	GError *err = NULL;

	pt_sha256(data, sum);
	if (memcmp(sum, digest, sizeof(sum)) != 0) {
		pt_event(d->o.events, PT_LEVEL_WARNING, "snapshot-refused",
		    "reason=digest");
		return FALSE;
	}
	if (!d->o.store->load(d->o.store->ctx, data, &err)) {
		pt_event(d->o.events, PT_LEVEL_WARNING, "snapshot-refused",
		    "reason=\"%s\"", err != NULL ? err->message : "not newer");
		g_clear_error(&err);
		return FALSE;
	}
	if (dist_position(d) <= before)
		return FALSE;
	d->stats.snapshots_fetched++;
	d->need_snapshot = FALSE;
	d->tail_due = MIN(d->tail_due, pt_now(d->o.clock));
	dist_recent_clear(d);
	dist_advanced(d);
	return TRUE;
}

/* Becomes ready once the newest known position is reached. */
void
dist_check_ready(struct dist *d)
{
	if (PT_MUTANT(MUTANT_READY_EARLY))
		d->boot_target_known = TRUE;
	if (d->ready || !d->boot_target_known || d->need_snapshot ||
	    (dist_position(d) < MAX(d->boot_target,
				    memb_newest_position(d->o.memb, NULL)) &&
		!PT_MUTANT(MUTANT_READY_EARLY)))
		return;
	d->ready = TRUE;
	pt_event(d->o.events, PT_LEVEL_INFO, "ready",
	    "position=%" G_GINT64_FORMAT, dist_position(d));
	dist_beacons_advanced(d);
	dist_wake(d);
	dist_ack_changed(d);
	if (d->o.changed != NULL)
		d->o.changed(d->o.ctx);
}

/*
 * Sets the position at which booting ends: the newest one of a ready peer or of
 * the log.
 */
void
dist_set_boot_target(struct dist *d, gint64 newest)
{
	if (d->ready)
		return;
	d->boot_target_known = TRUE;
	d->boot_target = newest;
	dist_check_ready(d);
}

/*
 * Updates the current snapshot.  The previous one is kept for nodes that are
 * still fetching it.
 */
void
dist_snap_refresh(struct dist *d)
{
	struct dist_snap *s = &d->snaps[0];

	if (s->data != NULL && s->position == dist_position(d))
		return;
	if (d->snaps[1].data != NULL)
		g_bytes_unref(d->snaps[1].data);
	d->snaps[1] = *s;
	s->data = d->o.store->snapshot(d->o.store->ctx);
	s->position = dist_position(d);
	pt_sha256(s->data, s->digest);
}
