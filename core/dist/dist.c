/* Construction and release, and the order of the work in a tick. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#include "beacon.h"
#define DIST_PRIVATE
#include "dist.h"

/* Positions received by gossip are checked at this interval. */
#define TICK_MAX_US (250 * DIST_MS)
/* Interval between warnings of a node that cannot boot. */
#define WARN_US (10 * DIST_US)

struct dist *
dist_new(const struct dist_opts *o)
{
	struct dist *d = g_new0(struct dist, 1);
	gint64 now = pt_now(o->clock);

	d->o = *o;
	d->refs = 1;
	d->started = now;
	d->roles_dirty = TRUE;
	d->warn_due = now + WARN_US;
	d->parents = g_ptr_array_new_with_free_func(g_free);
	d->first_reader = g_strdup(memb_self(o->memb)->instance);
	TAILQ_INIT(&d->recent);
	dist_link_init(d, &d->parent, FALSE);
	dist_link_init(d, &d->catchup, TRUE);
	d->seed_read_due = now + g_rand_double(o->rand) * DIST_US;
	dist_beacons_init(d);
	d->direct_due = now + (1.0 + 4 * g_rand_double(o->rand)) * DIST_US;
	return d;
}

/* Releases a reference; each call in progress holds one. */
void
dist_unref(struct dist *d)
{
	if (--d->refs > 0)
		return;
	g_assert(d->closed);
	beacon_free(d->beacon);
	g_free(d);
}

void
dist_free(struct dist *d)
{
	if (d == NULL)
		return;
	d->closed = TRUE;
	dist_serve_free(d);
	dist_submit_free(d);
	dist_scan_drop(d);
	dist_fetch_drop(d);
	dist_recent_clear(d);
	dist_link_drop(&d->parent);
	dist_link_drop(&d->catchup);
	g_clear_pointer(&d->writing, g_bytes_unref);
	g_ptr_array_free(d->parents, TRUE);
	g_clear_pointer(&d->first_reader, g_free);
	dist_unref(d);
}

/* Warns while neither peers nor the log let the node boot. */
static void
warn_not_ready(struct dist *d, gint64 now)
{
	if (d->ready || d->warn_due > now)
		return;
	d->warn_due = now + WARN_US;
	pt_event(d->o.events, PT_LEVEL_WARNING, "boot-waits",
	    "members=%u log=%s position=%" G_GINT64_FORMAT
	    " remedy=\"check --seed and --log-url\"",
	    memb_count(d->o.memb), d->log_ok ? "up" : "down", dist_position(d));
}

gint64
dist_tick(struct dist *d)
{
	gint64 now = pt_now(d->o.clock), due;

	/* While the node boots, its role may change with time alone. */
	if (d->roles_dirty || !d->ready)
		dist_roles(d);
	due = dist_submit_tick(d, now);
	due = MIN(due, dist_serve_tick(d, now));
	due = MIN(due, dist_acks_tick(d, now));
	due = MIN(due, dist_peer_tick(d, now));
	due = MIN(due, dist_log_tick(d, now));
	due = MIN(due, dist_beacons_tick(d, now));
	due = MIN(due, dist_gap_tick(d, now));
	due = MIN(due, dist_snapstream_tick(d, now));
	due = MIN(due, dist_seeds_tick(d, now));
	dist_check_ready(d);
	warn_not_ready(d, now);
	return MIN(due, now + TICK_MAX_US);
}

void
dist_members_changed(struct dist *d)
{
	d->roles_dirty = TRUE;
	d->members_at = pt_now(d->o.clock);
}

gboolean
dist_ready(const struct dist *d)
{
	return d->ready;
}

gboolean
dist_is_reader(const struct dist *d)
{
	return d->reader;
}

const char *
dist_parent(const struct dist *d)
{
	return d->parent.name;
}

const struct dist_stats *
dist_stats(const struct dist *d)
{
	return &d->stats;
}
