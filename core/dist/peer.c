/*
 * Gets records and snapshots from peers: by long poll from the parent, and by
 * catching up from a peer chosen by pick_peer().
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

/* A call times out this long after the peer should have answered. */
#define SYNC_SLACK_MS 1500
#define SNAP_TIMEOUT_MS 2000
/* Consecutive BUSY answers before the next peer is chosen. */
#define BUSY_MAX 3
/*
 * Delay between calls to catch up; limits the load if gossip reports a position
 * that no peer has.
 */
#define CATCHUP_DELAY_US (300 * DIST_MS)
#define CHUNKS_MAX (DIST_SNAP_MAX / 1024)

struct sync_call {
	struct dist *d;
	struct dist_link *link;
	guint gen;
	char *name;
};

void
dist_link_init(struct dist *d, struct dist_link *l, gboolean catchup_only)
{
	l->d = d;
	l->catchup_only = catchup_only;
}

/*
 * Drops the peer.  If it answers a call later, the records in the answer are
 * still evaluated, but the status of the answer is ignored.
 */
void
dist_link_drop(struct dist_link *l)
{
	g_clear_pointer(&l->name, g_free);
	l->gen++;
	l->busy = FALSE;
	l->fails = 0;
	l->busy_answers = 0;
	l->due = 0;
}

void
dist_fetch_drop(struct dist *d)
{
	g_clear_pointer(&d->fetch.name, g_free);
	if (d->fetch.data != NULL)
		g_byte_array_free(d->fetch.data, TRUE);
	d->fetch.data = NULL;
}

static void fetch_next(struct dist *);

static void
fetch_failed(struct dist *d)
{
	dist_fetch_drop(d);
	d->catchup.due = pt_now(d->o.clock) + dist_backoff(d, 1);
	d->catchup_fails++;
}

static void
fetch_done(struct dist *d)
{
	guint8 digest[PT_DIGEST_LEN];
	GBytes *b = g_byte_array_free_to_bytes(d->fetch.data);

	d->fetch.data = NULL;
	memcpy(digest, d->fetch.digest, sizeof(digest));
	dist_fetch_drop(d);
	dist_load(d, b, digest);
	g_bytes_unref(b);
	/* Continue with the records that follow the snapshot. */
	d->parent.due = MIN(d->parent.due, pt_now(d->o.clock));
	d->catchup.due = pt_now(d->o.clock);
}

static void
chunk_received(void *arg, void *res, const GError *err)
{
	struct dist *d = arg;
	const struct pt_snap_chunk *c = res;
	struct dist_fetch *f = &d->fetch;

	if (d->closed || f->name == NULL) {
		dist_unref(d);
		return;
	}
	if (err != NULL || c == NULL || c->position != f->position ||
	    c->index != f->index || c->count > CHUNKS_MAX || c->count == 0 ||
	    memcmp(c->digest, f->digest, PT_DIGEST_LEN) != 0 ||
	    f->data->len + c->data.data_len > DIST_SNAP_MAX) {
		fetch_failed(d);
		dist_unref(d);
		return;
	}
	g_byte_array_append(
	    f->data, (const guint8 *)c->data.data_val, c->data.data_len);
	f->index++;
	if (f->index < c->count)
		fetch_next(d);
	else
		fetch_done(d);
	dist_unref(d);
}

static void
fetch_next(struct dist *d)
{
	struct dist_fetch *f = &d->fetch;
	const struct memb_member *x = memb_find(d->o.memb, f->name);
	struct pt_snap_args a = { 0 };

	if (x == NULL) {
		fetch_failed(d);
		return;
	}
	a.proto = PT_PROTO;
	a.from = memb_self(d->o.memb)->instance;
	a.position = f->position;
	a.index = f->index;
	d->refs++;
	d->o.rpc->call(d->o.rpc->ctx, x->host, x->rpc_port, PT_SNAP, &a,
	    SNAP_TIMEOUT_MS, chunk_received, d);
}

static void
fetch_start(struct dist *d, const char *name, const struct pt_sync_res *r)
{
	struct dist_fetch *f = &d->fetch;

	if (f->name != NULL || r->position <= dist_position(d))
		return;
	f->name = g_strdup(name);
	f->position = r->position;
	memcpy(f->digest, r->digest, sizeof(f->digest));
	f->index = 0;
	f->data = g_byte_array_new();
	fetch_next(d);
}

/* Evaluates the records of an answer. */
static void
eval_records(struct dist *d, const struct pt_sync_res *r)
{
	gint64 before = dist_position(d);
	const struct pt_log_entry *e;
	GBytes *b;
	gboolean ok = TRUE;
	guint i;

	for (i = 0; ok && i < r->entries.entries_len; i++) {
		e = &r->entries.entries_val[i];
		b = g_bytes_new(e->data.data_val, e->data.data_len);
		ok = dist_eval(d, e->offset, b);
		g_bytes_unref(b);
	}
	if (dist_position(d) > before)
		dist_advanced(d);
}

static void
next_peer(struct dist_link *l)
{
	struct dist *d = l->d;

	dist_link_drop(l);
	if (!l->catchup_only) {
		d->next_parent++;
		d->stats.parent_changes++;
	}
}

/* Counts a failed or refused call for what falls back on it. */
static void
count_failure(struct dist *d, const struct dist_link *l)
{
	if (l->catchup_only)
		d->catchup_fails++;
	else
		d->parent_fails++;
}

static void
sync_answered(struct dist *d, struct dist_link *l, const struct pt_sync_res *r)
{
	gint64 now = pt_now(d->o.clock);
	const char *from = NULL;

	l->fails = 0;
	l->due = now;
	switch (r->status) {
	case PT_SYNC_OK:
		l->busy_answers = 0;
		/* A peer that is not the parent is dropped once caught up. */
		if (!l->catchup_only)
			d->parent_fails = 0;
		else if (dist_position(d) >= r->position) {
			dist_link_drop(l);
			l->due = now + CATCHUP_DELAY_US;
		}
		dist_set_boot_target(d,
		    MAX(r->position, memb_newest_position(d->o.memb, &from)));
		if (!d->ready && r->entries.entries_len == 0)
			l->due = now + CATCHUP_DELAY_US;
		break;
	case PT_SYNC_SNAPSHOT:
		l->busy_answers = 0;
		dist_set_boot_target(d,
		    MAX(r->position, memb_newest_position(d->o.memb, &from)));
		l->due = now + DIST_US; /* earlier once the fetch is done */
		fetch_start(d, l->name, r);
		break;
	case PT_SYNC_BUSY:
		l->due = now + (0.5 + g_rand_double(d->o.rand)) *
				   MIN(r->retry_ms, 5000) * DIST_MS;
		if (++l->busy_answers >= BUSY_MAX) {
			gint64 due = l->due;

			next_peer(l);
			l->due = due;
			count_failure(d, l);
		}
		break;
	default: /* FULL, or another protocol version */
		count_failure(d, l);
		next_peer(l);
		l->due = now + dist_backoff(d, 0);
	}
}

static void
sync_failed(struct dist *d, struct dist_link *l)
{
	guint fails = l->fails + 1;

	next_peer(l);
	count_failure(d, l);
	l->fails = fails;
	l->due = pt_now(d->o.clock) + dist_backoff(d, fails);
}

static void
sync_done(void *arg, void *res, const GError *err)
{
	struct sync_call *c = arg;
	struct dist *d = c->d;
	const struct pt_sync_res *r = res;

	if (!d->closed && r != NULL && err == NULL)
		eval_records(d, r);
	if (!d->closed && c->gen == c->link->gen) {
		c->link->busy = FALSE;
		if (r == NULL || err != NULL) {
			memb_report_failure(d->o.memb, c->name);
			sync_failed(d, c->link);
		} else
			sync_answered(d, c->link, r);
	}
	dist_unref(d);
	g_free(c->name);
	g_free(c);
}

static void
sync_call(struct dist *d, struct dist_link *l)
{
	const struct memb_member *x = memb_find(d->o.memb, l->name);
	struct pt_sync_args a = { 0 };
	struct sync_call *c;
	struct dist_ack sum;
	/* A booting node needs the current position: no long poll. */
	guint wait = l->catchup_only || !d->ready ? 0 : DIST_POLL_MS;

	if (x == NULL) {
		next_peer(l);
		return;
	}
	c = g_new0(struct sync_call, 1);
	c->d = d;
	c->link = l;
	c->gen = ++l->gen;
	c->name = g_strdup(l->name);
	l->busy = TRUE;
	a.proto = PT_PROTO;
	a.from = memb_self(d->o.memb)->instance;
	a.position = dist_position(d);
	a.wait_ms = wait;
	a.once = l->catchup_only;
	dist_subtree(d, FALSE, &sum);
	dist_ack_wire(&sum, &a.acked);
	d->stats.syncs++;
	d->refs++;
	d->o.rpc->call(d->o.rpc->ctx, x->host, x->rpc_port, PT_SYNC, &a,
	    wait + SYNC_SLACK_MS, sync_done, c);
	dist_ack_clear(&sum);
	if (!l->catchup_only)
		d->sent_ack = sum;
}

/* Picks a member ahead of this node, else any that is not booting. */
static const struct memb_member *
pick_peer(struct dist *d)
{
	const struct memb_member *x = NULL, *ahead = NULL, *any = NULL;
	gint64 position = dist_position(d);
	guint n_ahead = 0, n_any = 0;

	while ((x = memb_next(d->o.memb, x)) != NULL) {
		if (x == memb_self(d->o.memb) || x->health != PT_ALIVE ||
		    !memb_present(x))
			continue;
		if (x->state == PT_BOOTING)
			continue;
		if (x->position > position &&
		    g_rand_int_range(d->o.rand, 0, (gint32)++n_ahead) == 0)
			ahead = x;
		if (g_rand_int_range(d->o.rand, 0, (gint32)++n_any) == 0)
			any = x;
	}
	return ahead != NULL ? ahead : any;
}

/* Starts to catch up from a peer, unless that is already in progress. */
void
dist_catch_up(struct dist *d)
{
	const struct memb_member *x;

	if (d->catchup.name != NULL || d->fetch.name != NULL ||
	    d->catchup.due > pt_now(d->o.clock))
		return;
	x = pick_peer(d);
	if (x == NULL) {
		d->catchup_fails++;
		return;
	}
	d->catchup.name = g_strdup(x->instance);
}

/*
 * Catches up from a peer and changes the parent if this node has not reached a
 * newer position, reported by gossip, within DIST_BEHIND_TIMEOUT_US.
 */
static gint64
check_behind(struct dist *d, gint64 now)
{
	const char *from = NULL;
	gint64 newest = memb_newest_position(d->o.memb, &from);

	if (newest <= dist_position(d)) {
		d->behind_since = 0;
		return G_MAXINT64;
	}
	if (d->behind_since == 0 || dist_position(d) >= d->behind_target) {
		d->behind_since = now;
		d->behind_target = newest;
	}
	if (now - d->behind_since >= DIST_BEHIND_TIMEOUT_US) {
		d->behind_since = now;
		d->behind_timeouts++;
		dist_catch_up(d);
		if (!d->reader && d->fetch.name == NULL)
			next_peer(&d->parent);
	}
	return d->behind_since + DIST_BEHIND_TIMEOUT_US;
}

static void
choose_parent(struct dist *d)
{
	if (d->reader || d->parent.name != NULL || d->parents->len == 0)
		return;
	d->parent.name =
	    g_strdup(d->parents->pdata[d->next_parent % d->parents->len]);
}

static gint64
link_tick(struct dist *d, struct dist_link *l, gint64 now)
{
	if (l->name == NULL || l->busy)
		return l->name == NULL && l->due > now ? l->due : G_MAXINT64;
	if (l->due <= now)
		sync_call(d, l);
	return l->busy ? G_MAXINT64 : l->due;
}

gint64
dist_peer_tick(struct dist *d, gint64 now)
{
	gint64 due = check_behind(d, now);
	gboolean log_down = d->reader && !d->log_ok && d->tail_fails > 0;

	/* A booting node whose parent is booting too uses any other peer. */
	if (d->need_snapshot ||
	    (!d->ready && memb_count(d->o.memb) > 1 &&
		(d->reader || d->parent.name == NULL ||
		    d->parent.busy_answers > 0)) ||
	    (log_down && d->behind_since != 0))
		dist_catch_up(d);
	if (d->parent.due <= now)
		choose_parent(d);
	due = MIN(due, link_tick(d, &d->parent, now));
	return MIN(due, link_tick(d, &d->catchup, now));
}
