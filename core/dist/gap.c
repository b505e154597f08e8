/*
 * Skips records that expired before any node read them.  They were never
 * evaluated, so nobody was informed that they were accepted, and the position
 * may advance past them.
 */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#define DIST_PRIVATE
#include "dist.h"

/*
 * Time for peers or stream "snapshots" to provide the missing state.  If a
 * reader does not skip the gap, the reader of the next rank does so after
 * GAP_TAKE_OVER_US.
 */
#define GAP_WAIT_US (3 * DIST_US)
#define GAP_TAKE_OVER_US (10 * DIST_US)

/* False if a member may hold a newer position, such as an unreachable one. */
static gboolean
all_positions_known(const struct dist *d)
{
	const struct memb_member *m = NULL;

	if (memb_newest_position(d->o.memb, NULL) > dist_position(d))
		return FALSE;
	while ((m = memb_next(d->o.memb, m)) != NULL)
		if (memb_present(m) && !memb_reachable(d->o.memb, m))
			return FALSE;
	return TRUE;
}

void
dist_gap_update(struct dist *d, gint64 oldest)
{
	if (oldest <= dist_position(d) + 1) {
		d->gap_oldest = 0;
		return;
	}
	if (d->gap_oldest == 0) {
		d->gap_since = pt_now(d->o.clock);
		d->gap_scanned = FALSE;
	}
	d->gap_oldest = oldest;
}

static void
skip(struct dist *d)
{
	pt_event(d->o.events, PT_LEVEL_WARNING, "records-expired-unread",
	    "from=%" G_GINT64_FORMAT " to=%" G_GINT64_FORMAT,
	    dist_position(d) + 1, d->gap_oldest - 1);
	d->o.store->skip(d->o.store->ctx, d->gap_oldest - 1);
	d->gap_oldest = 0;
	d->need_snapshot = FALSE;
	d->stats.gaps_skipped++;
	d->snap_seen_at = 0; /* write a snapshot: others need it */
	d->tail_due = pt_now(d->o.clock);
	dist_recent_clear(d);
	dist_advanced(d);
}

/*
 * Only a reader that is ready and reaches every member skips a gap, and only up
 * to the oldest record that the log still holds.  Two readers that skip from
 * the same position produce the same snapshot.
 */
gint64
dist_gap_tick(struct dist *d, gint64 now)
{
	gint64 due;

	if (d->gap_oldest <= dist_position(d) + 1) {
		d->gap_oldest = 0;
		return G_MAXINT64;
	}
	if (PT_MUTANT(MUTANT_GAP_KEPT))
		return G_MAXINT64;
	if (!d->reader || !d->ready || d->o.store->skip == NULL)
		return G_MAXINT64;
	due = d->gap_since + GAP_WAIT_US + d->reader_rank * GAP_TAKE_OVER_US;
	if (now < due)
		return due;
	if (!d->gap_scanned) {
		d->gap_scanned = TRUE;
		dist_scan(d, TRUE);
	}
	if (!d->scan.busy && d->log_ok &&
	    d->snap_seen_position < d->gap_oldest - 1 && all_positions_known(d))
		skip(d);
	return now + DIST_US / 2;
}
