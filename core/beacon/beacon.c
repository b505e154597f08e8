#include <glib.h>
#include <math.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "beacon.h"

/*
 * Percent of the bound.  A node that hears no beacon has read the store itself
 * after READ_LAST_PERCENT; the rest is for that read, and for the way of the
 * new version to the nodes that have lost the store.
 */
#define CYCLE_PERCENT 40
#define ASK_PERCENT 45
#define READ_FIRST_PERCENT 50
#define READ_LAST_PERCENT 70
/*
 * A store that is slow for the sender is no reason to read: reads are due later
 * by what its answers take, up to this.
 */
#define DELAY_MAX_PERCENT 25
/* Of two senders, the one for which the store is slower by this stops. */
#define SLOWER_PERCENT 10
/* Shortest time between two reads of a slow store, in times the bound. */
#define SLOW_HOLD 10
/*
 * Relays after which a beacon is dropped, several times the log of the nodes to
 * the base of BEACON_TARGETS.
 */
#define HOPS_MAX 16
/* Origins whose last serial number is remembered. */
#define ORIGINS 32

struct origin {
	gint64 id;
	guint32 serial;
};

struct beacon {
	struct beacon_opts o;
	gint64 self; /* identifies this process as an origin */
	gint64 in_force; /* version, 0: none */
	/* The version in force was the newest at this time, 0: not known. */
	gint64 current_at;
	gint64 base; /* what is due counts from this time */
	double rank; /* random, orders the reads of the nodes */
	gboolean asked; /* since the last change of "base" */
	gboolean reading; /* a read was due and has not ended */
	gint64 hold; /* no read is due before this time */
	gboolean sending;
	guint32 serial; /* of this node's beacons */
	/* A version that is not in force yet was the newest at this time. */
	gint64 awaited, awaited_at;
	/* The newest beacon, sent or received, and its time. */
	struct pt_beacon newest;
	gint64 newest_at;
	gint64 delay; /* of the store, as in that beacon */
	gint64 own_delay; /* of the store for this node */
	struct origin origins[ORIGINS];
	guint next_origin;
};

static gint64
percent(const struct beacon *b, gint64 n)
{
	return b->o.bound * n / 100;
}

struct beacon *
beacon_new(const struct beacon_opts *o)
{
	struct beacon *b = g_new0(struct beacon, 1);

	b->o = *o;
	b->self = (gint64)g_rand_int(o->rand) << 31 | g_rand_int(o->rand) >> 1;
	return b;
}

void
beacon_free(struct beacon *b)
{
	g_free(b);
}

static void
set_base(struct beacon *b, gint64 at)
{
	if (at <= b->base)
		return;
	b->base = at;
	b->rank = g_rand_double(b->o.rand);
	b->asked = FALSE;
}

static void
set_current(struct beacon *b, gint64 at)
{
	b->current_at = MAX(b->current_at, at);
	set_base(b, at);
}

void
beacon_applied(struct beacon *b, gint64 version)
{
	if (b->in_force == 0)
		set_base(b, pt_now(&b->o.clock));
	b->in_force = version;
	if (b->awaited == 0 || b->awaited > version)
		return;
	b->awaited = 0;
	set_current(b, b->awaited_at);
}

/* The age of a beacon and of the next one include the delay of the store. */
static gint64
allowance(const struct beacon *b)
{
	return MIN(2 * b->delay, percent(b, DELAY_MAX_PERCENT));
}

/* Time at which a node with this rank, from 0 to 1, reads the store. */
static gint64
read_due(const struct beacon *b, guint n, double rank)
{
	double half = MAX(n, 2) / 2.0;
	gint64 first = percent(b, READ_FIRST_PERCENT);
	gint64 span = percent(b, READ_LAST_PERCENT) - first;

	/*
	 * The number of nodes that have read grows exponentially: the beacon of
	 * the first few that succeed stops the rest, and none is late if they
	 * all fail.
	 */
	return b->base + first + allowance(b) +
	       (gint64)((double)span * log1p(rank * half) / log1p(half));
}

static gboolean
is_stale(const struct beacon *b)
{
	return pt_now(&b->o.clock) >= read_due(b, 2, 0);
}

gboolean
beacon_read(struct beacon *b, gint64 at, gint64 delay)
{
	b->sending |= is_stale(b);
	b->reading = FALSE;
	if (delay >= 0)
		b->delay = b->own_delay = delay;
	if (2 * b->own_delay > percent(b, DELAY_MAX_PERCENT))
		b->hold = pt_now(&b->o.clock) + SLOW_HOLD * b->o.bound;
	set_current(b, at);
	if (!b->sending || delay < 0 || at < b->newest_at)
		return FALSE;
	memset(&b->newest, 0, sizeof(b->newest));
	b->newest.origin = b->self;
	b->newest.serial = ++b->serial;
	b->newest.vers = b->in_force;
	b->newest.delay_ms = (u_int)(b->delay / G_TIME_SPAN_MILLISECOND);
	b->newest_at = at;
	return TRUE;
}

void
beacon_failed(struct beacon *b, gint64 retry)
{
	b->reading = b->sending = FALSE;
	b->hold = retry;
}

/* FALSE: the beacon, or a later one of the same origin, was received before. */
static gboolean
is_new(struct beacon *b, const struct pt_beacon *m)
{
	struct origin *x;
	guint i;

	for (i = 0; i < ORIGINS; i++) {
		x = &b->origins[i];
		if (x->id != m->origin)
			continue;
		if (m->serial <= x->serial)
			return FALSE;
		x->serial = m->serial;
		return TRUE;
	}
	x = &b->origins[b->next_origin++ % ORIGINS];
	x->id = m->origin;
	x->serial = m->serial;
	return TRUE;
}

/* TRUE: of this sender and that of the beacon, this one is to stop. */
static gboolean
yields(const struct beacon *b, const struct pt_beacon *m)
{
	gint64 slower =
	    b->own_delay - (gint64)m->delay_ms * G_TIME_SPAN_MILLISECOND;

	if (ABS(slower) > percent(b, SLOWER_PERCENT))
		return slower > 0;
	return m->origin > b->self;
}

static gint64
time_of(const struct beacon *b, const struct pt_beacon *m)
{
	return pt_now(&b->o.clock) -
	       (gint64)m->age_ms * G_TIME_SPAN_MILLISECOND;
}

gboolean
beacon_heard(struct beacon *b, const struct pt_beacon *m)
{
	gint64 at = time_of(b, m);

	if (m->origin == 0 || m->origin == b->self || m->vers <= 0 ||
	    !is_new(b, m))
		return FALSE;
	if (yields(b, m))
		b->sending = FALSE;
	if (at <= b->newest_at)
		return FALSE;
	b->newest = *m;
	b->newest.from = NULL;
	b->newest.hops++;
	b->newest_at = at;
	b->delay = (gint64)m->delay_ms * G_TIME_SPAN_MILLISECOND;
	if (m->vers <= b->in_force)
		set_current(b, at);
	else if (b->awaited == 0) {
		b->awaited = m->vers;
		b->awaited_at = at;
	}
	return m->hops < HOPS_MAX;
}

gboolean
beacon_answers(const struct beacon *b, const struct pt_beacon *m)
{
	return m->ask && b->newest.origin != 0 &&
	       (m->origin != b->newest.origin ||
		   m->serial < b->newest.serial) &&
	       time_of(b, m) < b->newest_at;
}

void
beacon_put(
    const struct beacon *b, struct pt_beacon *m, const char *from, gboolean ask)
{
	gint64 age = pt_now(&b->o.clock) - b->newest_at;

	*m = b->newest;
	m->proto = PT_PROTO;
	m->kind = PT_BEACON;
	m->from = (char *)(guintptr)from;
	m->ask = ask;
	m->age_ms = (u_int)MIN(age / G_TIME_SPAN_MILLISECOND, G_MAXINT32);
}

gint64
beacon_due(const struct beacon *b, guint n)
{
	gint64 due;

	if (b->in_force == 0 || b->reading)
		return G_MAXINT64;
	if (!b->asked)
		return b->base + percent(b, ASK_PERCENT) + allowance(b);
	due = read_due(b, n, b->rank);
	return MAX(due, b->hold);
}

enum beacon_action
beacon_tick(struct beacon *b, guint n)
{
	if (pt_now(&b->o.clock) < beacon_due(b, n))
		return BEACON_NOTHING;
	if (!b->asked) {
		b->asked = TRUE;
		return BEACON_ASK;
	}
	b->reading = TRUE;
	return BEACON_READ;
}

gboolean
beacon_sending(const struct beacon *b)
{
	return b->sending;
}

gint64
beacon_cycle(const struct beacon *b)
{
	return percent(b, CYCLE_PERCENT);
}

gint64
beacon_age(const struct beacon *b)
{
	return b->current_at == 0 ? -1
				  : MAX(pt_now(&b->o.clock) - b->current_at, 0);
}
