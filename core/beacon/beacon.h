/*
 * How recent the configuration of this node is known to be, and when this node
 * reads the store itself.  One node of the mesh, the sender, reads the store in
 * short cycles; after each read it sends a beacon that names the newest version
 * and its age.  Every node relays a beacon once.  A node that has heard none
 * for a while asks others, then reads the store and becomes a sender if it
 * succeeds; of two senders that hear each other one stops.  So no node depends
 * on others to find out that they have lost the store or have ended.
 *
 * No I/O.  Include <glib.h>, <rpc/rpc.h>, "pt.h" and "port.h" before this
 * header.  Times are microseconds of the clock given.
 */

/* Nodes to which a beacon is sent and relayed. */
#define BEACON_TARGETS 4
/* Nodes that are asked at a time. */
#define BEACON_ASKED 2

struct beacon_opts {
	struct pt_clock clock;
	GRand *rand; /* not owned */
	/* Longest time from a change until it is in force at each node. */
	gint64 bound;
};

enum beacon_action {
	BEACON_NOTHING,
	BEACON_ASK, /* ask BEACON_ASKED nodes, see beacon_put() */
	BEACON_READ /* read the store, then beacon_read() or beacon_failed() */
};

struct beacon;
struct beacon *beacon_new(const struct beacon_opts *);
void beacon_free(struct beacon *);

/* A version was put in force; nothing is due before the first. */
void beacon_applied(struct beacon *, gint64 version);
/*
 * The version in force was the newest at the store at "at"; the store took
 * "delay" to respond, -1: not known.  TRUE: send a beacon, see beacon_put().
 */
gboolean beacon_read(struct beacon *, gint64 at, gint64 delay);
/* A read of the store failed; the next is due at "retry" at the earliest. */
void beacon_failed(struct beacon *, gint64 retry);
/* A received beacon.  TRUE: relay it, see beacon_put(). */
gboolean beacon_heard(struct beacon *, const struct pt_beacon *);
/* TRUE: this node can tell the sender of an asking beacon something newer. */
gboolean beacon_answers(const struct beacon *, const struct pt_beacon *);
/*
 * Fills in the newest beacon that this node knows; "from" belongs to the
 * caller.
 */
void beacon_put(
    const struct beacon *, struct pt_beacon *, const char *from, gboolean ask);

/* Time of the next action, in a mesh of "n" nodes. */
gint64 beacon_due(const struct beacon *, guint n);
/* What is due now. */
enum beacon_action beacon_tick(struct beacon *, guint n);

/* This node is a sender. */
gboolean beacon_sending(const struct beacon *);
/* Time for which the store holds a read of the sender open. */
gint64 beacon_cycle(const struct beacon *);
/* Time since the version in force was known to be the newest, -1: never. */
gint64 beacon_age(const struct beacon *);
