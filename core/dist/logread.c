/* Reads stream "config": readers by long poll, others if no parent works. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#define DIST_PRIVATE
#include "dist.h"

/* Records per read: at 4 KB each, a quarter of a megabyte. */
#define READ_MAX 64
/* Least time between long polls that the log answers at once and empty. */
#define EMPTY_DELAY_US (1 * DIST_US)
/* A read without an answer is abandoned after this time. */
#define READ_TIMEOUT_US (12 * DIST_US)
/* Failures and refusals of parents before the log is read directly. */
#define PARENT_FAILS_MAX 4
/* Delay between reads while a reader waits for a snapshot. */
#define TRIMMED_DELAY_US (1 * DIST_US)
/*
 * For this long a booting reader does not read the log while a peer can provide
 * the configuration, which it checks every PEERS_CHECK_US.
 */
#define PEERS_WAIT_US (3 * DIST_US)
#define PEERS_CHECK_US (50 * DIST_MS)

struct read_call {
	struct dist *d;
	guint gen;
	enum dist_log_kind kind;
	gint64 from; /* offset */
	gint64 start, wait;
};

/* Records whether the log answers, and logs an event when that changes. */
void
dist_log_result(struct dist *d, const GError *err)
{
	if (d->log_ok == (err == NULL))
		return;
	d->log_ok = err == NULL;
	pt_event(d->o.events, err == NULL ? PT_LEVEL_INFO : PT_LEVEL_WARNING,
	    err == NULL ? "log-up" : "log-down", "reason=\"%s\"",
	    err == NULL ? "answered" : err->message);
}

/*
 * Records the end of the log in the answer to a read.  If that is before the
 * offset read from, the log was restored from a copy: what is appended until it
 * has grown to that offset is not evaluated.
 */
static void
check_end(struct dist *d, gint64 from, gint64 next)
{
	gboolean shorter = next < from;

	if (d->log_short == shorter)
		return;
	d->log_short = shorter;
	pt_event(d->o.events, shorter ? PT_LEVEL_ERROR : PT_LEVEL_INFO,
	    shorter ? "log-short" : "log-long",
	    "next=%" G_GINT64_FORMAT " position=%" G_GINT64_FORMAT, next,
	    dist_position(d));
}

static void
eval_batch(struct dist *d, gint64 from, const struct pt_batch *b)
{
	gint64 before = dist_position(d);
	guint i;

	check_end(d, from, b->next);
	dist_gap_update(d, b->oldest);
	/* The next records were trimmed before this node read them. */
	if (b->oldest > before + 1)
		d->need_snapshot = TRUE;
	for (i = 0; i < b->n_entries; i++) {
		if (!dist_eval(d, b->entries[i].offset, b->entries[i].data))
			break;
	}
	if (dist_position(d) > before)
		dist_advanced(d);
	if (dist_position(d) + 1 >= b->next)
		dist_set_boot_target(d, dist_position(d));
}

static void
tail_done(struct dist *d, const struct pt_batch *b, const GError *err)
{
	gint64 now = pt_now(d->o.clock);

	d->tail_busy = FALSE;
	if (b == NULL) {
		d->tail_due = now + dist_backoff(d, ++d->tail_fails);
		return;
	}
	d->tail_fails = 0;
	d->tail_due = now;
	if (d->need_snapshot)
		d->tail_due = now + TRIMMED_DELAY_US;
	else if (b->n_entries == 0)
		d->tail_due = MAX(now, d->tail_start + EMPTY_DELAY_US);
}

static void
read_done(void *arg, const struct pt_batch *b, const GError *err)
{
	struct read_call *c = arg;
	struct dist *d = c->d;

	if (!d->closed) {
		dist_log_result(d, err);
		if (b != NULL && err == NULL)
			eval_batch(d, c->from, b);
		dist_beacons_read(
		    d, c->from, c->start, c->wait, err == NULL ? b : NULL);
		if (c->kind == DIST_LOG_DIRECT)
			d->direct_busy = FALSE;
		else if (c->kind == DIST_LOG_CHECK)
			d->check_busy = FALSE;
		else if (c->gen == d->tail_gen)
			tail_done(d, err == NULL ? b : NULL, err);
	}
	dist_unref(d);
	g_free(c);
}

static void
read_config(struct dist *d, enum dist_log_kind kind, guint wait_ms)
{
	struct read_call *c = g_new0(struct read_call, 1);

	c->d = d;
	c->kind = kind;
	c->gen = kind == DIST_LOG_TAIL ? ++d->tail_gen : 0;
	c->start = pt_now(d->o.clock);
	c->wait = wait_ms * DIST_MS;
	d->refs++;
	d->stats.log_requests[kind]++;
	c->from = dist_position(d) + 1;
	d->o.log->read(
	    d->o.log->ctx, "config", c->from, READ_MAX, wait_ms, read_done, c);
}

void
dist_check_log(struct dist *d, guint wait_ms)
{
	d->check_busy = TRUE;
	read_config(d, DIST_LOG_CHECK, wait_ms);
}

/* A member can provide the configuration to a booting node. */
static gboolean
peer_serves(const struct dist *d)
{
	const struct memb_member *self = memb_self(d->o.memb), *x = NULL;

	while ((x = memb_next(d->o.memb, x)) != NULL) {
		if (x != self && x->health == PT_ALIVE &&
		    x->state != PT_BOOTING && x->state != PT_LEFT)
			return TRUE;
	}
	return FALSE;
}

static gint64
tail_tick(struct dist *d, gint64 now)
{
	if (d->tail_busy && now - d->tail_start > READ_TIMEOUT_US) {
		d->tail_gen++;
		d->tail_busy = FALSE;
		d->tail_due = now + dist_backoff(d, ++d->tail_fails);
	}
	if (d->tail_busy)
		return d->tail_start + READ_TIMEOUT_US + 1;
	if (d->tail_due > now)
		return d->tail_due;
	/* Readers that boot together must not all read the whole log. */
	if (!d->ready && now - d->started < PEERS_WAIT_US && peer_serves(d))
		return now + PEERS_CHECK_US;
	d->tail_busy = TRUE;
	d->tail_start = now;
	read_config(d, DIST_LOG_TAIL, DIST_POLL_MS);
	return G_MAXINT64;
}

/* No parent answers, or the node stays behind in spite of its parent. */
static gboolean
lacks_parent(const struct dist *d)
{
	return d->parents->len == 0 ||
	       d->parent_fails >= MIN(d->parents->len, PARENT_FAILS_MAX) ||
	       d->behind_timeouts >= 2;
}

static gint64
direct_tick(struct dist *d, gint64 now)
{
	if (d->direct_busy || !lacks_parent(d)) {
		if (d->direct_due < now)
			d->direct_due =
			    now + g_rand_double(d->o.rand) * DIST_US;
		return G_MAXINT64;
	}
	if (d->direct_due > now)
		return d->direct_due;
	d->direct_due =
	    now + DIST_DIRECT_READ_US + g_rand_double(d->o.rand) * DIST_US;
	d->direct_busy = TRUE;
	read_config(d, DIST_LOG_DIRECT, 0);
	return d->direct_due;
}

gint64
dist_log_tick(struct dist *d, gint64 now)
{
	gint64 due = d->reader ? tail_tick(d, now) : direct_tick(d, now);

	/*
	 * Stream "snapshots" is scanned only after a catch-up from peers has
	 * failed, and at most once in 5 s.
	 */
	if (!d->need_snapshot || d->catchup_fails == 0)
		return due;
	if (d->scan_due <= now && !d->scan.busy) {
		d->scan_due = now + DIST_DIRECT_READ_US +
			      g_rand_double(d->o.rand) * DIST_US;
		d->catchup_fails = 0;
		dist_scan(d, TRUE);
	}
	return MIN(due, MAX(d->scan_due, now + 100 * DIST_MS));
}
