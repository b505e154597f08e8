/*
 * Records that expired before any node read them.  They were never evaluated,
 * so nobody was told that they were accepted: the position moves past them.
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
 * Time for peers or the stream of snapshots to provide the records.  Readers
 * take over from each other in the order of their rank.
 */
#define GAP_US (3 * DIST_US)
#define GAP_TAKE_OVER_US (10 * DIST_US)

/* A member that cannot be asked may hold a newer position. */
static gboolean
all_heard(const struct dist *d)
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
dist_gap_note(struct dist *d, gint64 oldest)
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
	d->seen_at = 0; /* a snapshot is due: others need it */
	d->tail_due = pt_now(d->o.clock);
	dist_recent_clear(d);
	dist_news(d);
}

/*
 * Only a reader that is ready and hears every member moves on, and only to
 * where the stream goes on.  Two that do so from the same position make the
 * same snapshot.
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
	due = d->gap_since + GAP_US + d->reader_rank * GAP_TAKE_OVER_US;
	if (now < due)
		return due;
	if (!d->gap_scanned) {
		d->gap_scanned = TRUE;
		dist_scan(d, TRUE);
	}
	if (!d->scan.busy && d->log_ok &&
	    d->seen_position < d->gap_oldest - 1 && all_heard(d))
		skip(d);
	return now + DIST_US / 2;
}
