/*
 * Membership of the mesh: the health, address and service of each member.  The
 * protocol is that of SWIM (probes with suspicion and refutation, updates
 * spread by gossip) with anti-entropy over RPC.  Design: docs/membership.md.
 *
 * No I/O: datagrams and calls are sent through the interfaces of port.h, and
 * memb_tick() does the work that is due.  Include <glib.h>, <rpc/rpc.h>, "pt.h"
 * and "port.h" before this header.
 */

/* Largest datagram sent, in bytes: fits one Ethernet frame. */
#define MEMB_DGRAM_MAX 1400

/* Entry of a member in this node's table. */
struct memb_member {
	char *instance;
	char *host;
	const char *domain; /* failure domain */
	const char *region;
	const char *service; /* empty: none announced */
	/* Initially "started"; the member raises it to refute a suspicion. */
	gint64 incarnation;
	gint64 started; /* identifies the run of the process; never raised */
	gint64 position; /* newest configuration position received from it */
	guint32 seq; /* number of the member's last announcement */
	guint16 rpc_port;
	guint16 gossip_port;
	guint16 http_port;
	guint16 slots; /* requests that its backend server runs at once */
	guint8 health; /* enum pt_health */
	guint8 state; /* enum pt_state */
};

struct memb_opts {
	/* This instance; "health" and "seq" are ignored.  Copied. */
	const struct pt_member *self;
	const struct pt_clock *clock;
	GRand *rand; /* not owned */
	const struct pt_dgram *dgram;
	const struct pt_rpc *rpc; /* for PT_MEMBERS calls */
	const struct pt_events *events;
	/* Configuration position of this node, sent in every datagram. */
	gint64 (*position)(void *ctx);
	/* A member was added or changed; "removed": it is being removed. */
	void (*changed)(
	    void *ctx, const struct memb_member *, gboolean removed);
	/*
	 * Another node sent what a former process of this instance announced;
	 * called again only for a newer announcement.  May be NULL.
	 */
	void (*former)(void *ctx, const struct pt_member *);
	/*
	 * The member "from" asked this instance to take over or, "done", has
	 * done so for it.  May be NULL.
	 */
	void (*take_over)(void *ctx, const char *from, gboolean done);
	/*
	 * Another node sent a message that is not gossip, see memb_cast(), to
	 * be decoded by its kind.  May be NULL.
	 */
	void (*message)(
	    void *ctx, enum pt_gossip_kind, const void *data, gsize len);
	void *ctx;
};

struct memb_stats {
	guint64 dgrams_out;
	guint64 bytes_out; /* payload of datagrams */
	guint64 dgrams_in;
	guint64 bytes_in;
	guint64 malformed; /* rejected datagrams and entries */
	guint64 updates; /* received entries that changed the table */
	guint64 stale; /* received entries that changed nothing */
	guint64 suspected; /* suspicions raised by this node */
	guint64 expired; /* suspects that this node declared dead */
	guint64 refuted; /* suspicions of this node that it refuted */
	guint64 exchanges; /* anti-entropy calls made */
};

struct memb;
struct memb *memb_new(const struct memb_opts *);
/* Responses to calls in progress are dropped when they arrive. */
void memb_free(struct memb *);

/*
 * Does the work that is due; returns the time at which more is due, in us.  Any
 * other call that changes the table may bring that time forward: call
 * memb_tick() again after it.
 */
gint64 memb_tick(struct memb *);

/* Processes a datagram received from the network. */
void memb_input(struct memb *, const void *data, gsize len);

/*
 * Fills in the response to PT_MEMBERS.  Its strings belong to the table: encode
 * it before the next call, then release it with memb_members_clear().
 */
void memb_handle_members(
    struct memb *, const struct pt_members_args *, struct pt_members_res *);
void memb_members_clear(struct pt_members_res *);

/* Announces the state of this instance; does nothing if it has not changed. */
void memb_announce(
    struct memb *, enum pt_state, const char *service, guint slots);

/* Announces that this instance leaves; it then refutes no more suspicions. */
void memb_leave(struct memb *);

/*
 * Adds an address at which a member may be found.  It is contacted unless it is
 * that of a present member, and again with backoff while the table holds no
 * other present member.
 */
void memb_add_seed(
    struct memb *, const char *host, guint gossip_port, guint rpc_port);

/*
 * Reports a failed connection to a member.  The member is probed at once, so
 * that a crash is detected before the member's turn in the probe order.
 */
void memb_report_failure(struct memb *, const char *instance);

/* The member list of a peer has been read completely at least once. */
gboolean memb_joined(const struct memb *);

/* This instance's own entry. */
const struct memb_member *memb_self(const struct memb *);
const struct memb_member *memb_find(const struct memb *, const char *instance);

/*
 * Iteration in no particular order; "prev" is NULL for the first.  The table
 * must not change meanwhile.  memb_next() includes dead and left members; the
 * other two hold only members that announced the service or the domain.
 */
const struct memb_member *memb_next(
    const struct memb *, const struct memb_member *prev);
const struct memb_member *memb_next_in_service(
    const struct memb *, const char *service, const struct memb_member *prev);
const struct memb_member *memb_next_in_domain(
    const struct memb *, const char *domain, const struct memb_member *prev);

/* Neither dead nor left: it counts as part of the mesh. */
gboolean memb_present(const struct memb_member *);
/*
 * Requests may be routed to it as far as membership can say: it is present, and
 * not a suspect in a failure domain that is cut off.
 */
gboolean memb_reachable(const struct memb *, const struct memb_member *);
/*
 * The failure domain counts as cut off: it is not this instance's own, and at
 * least two and more than a third of its present members are suspect.
 */
gboolean memb_cut_off(const struct memb *, const char *domain);

/*
 * Sends this instance's configuration position to up to "n" random members of
 * its failure domain, without waiting for the next probe.
 */
void memb_send_position(struct memb *, guint n);
/* Sends it to a random member of each other failure domain. */
void memb_send_position_abroad(struct memb *);
/*
 * Asks "n" random members of this failure domain, and one of another, to take
 * over a task that this instance was elected for and cannot do.
 */
void memb_ask_take_over(struct memb *, guint n);
/*
 * Sends a message that starts like a pt_gossip, with a kind from PT_SUSPECTS
 * on, to up to "targets" random members, or to the named one.  One that is
 * longer than MEMB_DGRAM_MAX is not sent.
 */
void memb_cast(struct memb *, xdrproc_t, void *message, guint targets);
void memb_cast_to(
    struct memb *, const char *instance, xdrproc_t, void *message);
/* Asks one member, or tells it that this instance has taken over. */
void memb_take_over(struct memb *, const char *instance, gboolean done);
/*
 * This instance is one of the "n" live members of its failure domain with the
 * highest priority.
 */
gboolean memb_elected(const struct memb *, guint n);

/*
 * A random one of the members that count themselves as elected by
 * memb_elected() with "n", of any failure domain; NULL: there is none but this.
 */
const struct memb_member *memb_random_elected(const struct memb *, guint n);

/* Number of present members, this one included. */
guint memb_count(const struct memb *);

/* Newest position received by gossip, and its sender (NULL: none yet). */
gint64 memb_newest_position(const struct memb *, const char **instance);

/* 64-bit hash of a name; gives an instance's priority and digest bucket. */
guint64 memb_hash(const char *name);

/* Time after which a suspect is declared dead, at "n" members, in us. */
gint64 memb_suspicion_us(guint n);

const struct memb_stats *memb_stats(const struct memb *);

#ifdef MEMB_PRIVATE
/* ---- shared by the files of this library; include <sys/queue.h> first ---- */

#define MEMB_US G_GINT64_CONSTANT(1000000)
#define MEMB_MS G_GINT64_CONSTANT(1000)
#define MEMB_PROBE_PERIOD_US (1 * MEMB_US)
#define MEMB_ACK_TIMEOUT_US (300 * MEMB_MS)
#define MEMB_INDIRECT_PROBES 3
/* Queued updates are sent to MEMB_FANOUT members every MEMB_SPREAD_US. */
#define MEMB_FANOUT 3
#define MEMB_SPREAD_US (200 * MEMB_MS)
/* Suspicion time of up to 10 members; see memb_suspicion_us(). */
#define MEMB_SUSPICION_US (3 * MEMB_US)
#define MEMB_EXCHANGE_US (30 * MEMB_US)
/* Least time from an exchange to one scheduled after a change. */
#define MEMB_EXCHANGE_GAP_US (2 * MEMB_US)
/*
 * Interval after an exchange that changed the table; it doubles with each
 * further exchange up to MEMB_EXCHANGE_US.
 */
#define MEMB_EXCHANGE_MIN_US (1 * MEMB_US)
#define MEMB_DEAD_PROBE_US (10 * MEMB_US)
/*
 * Time for which entries of dead and left members are kept: longer than the
 * partitions that the mesh has to survive, one hour.
 */
#define MEMB_RETENTION_US (7200 * MEMB_US)
#define MEMB_SWEEP_US (60 * MEMB_US)
#define MEMB_RPC_TIMEOUT_MS 2000
/* Most entries: 3,700 members and those left by two hours of restarts. */
#define MEMB_MAX 16384
#define MEMB_SEEDS_MAX 64
#define MEMB_RELAYS 16 /* probes relayed at a time */
/* Largest accepted incarnation: it can be raised without overflow. */
#define MEMB_INCARNATION_MAX (G_MAXINT64 / 2)
/* A tick this late means that the process was paused. */
#define MEMB_PAUSE_US (700 * MEMB_MS)
/* Targets of a PT_SPREAD that asks its receiver to take over, or tells so. */
#define MEMB_TAKE_OVER "take-over"
#define MEMB_TOOK_OVER "took-over"
#define MEMB_NOT_IN_ORDER G_MAXUINT32 /* order_index: not probed in turn */

LIST_HEAD(memb_list, memb_entry);
TAILQ_HEAD(memb_queue, memb_entry);

/* Members that share a failure domain or a service. */
struct memb_group {
	const char *name; /* interned */
	struct memb_list members;
	guint present;
	guint suspects;
	gint64 cut_off_at; /* when it was last found to be cut off, in us */
};

struct memb_entry {
	struct memb_member m;
	gint64 since; /* time of the last change, in us */
	struct memb_group *domain;
	struct memb_group *service;
	LIST_ENTRY(memb_entry) all;
	LIST_ENTRY(memb_entry) in_domain;
	LIST_ENTRY(memb_entry) in_service;
	TAILQ_ENTRY(memb_entry) queue_link;
	guint32 order_index; /* index in the probe order */
	guint8 sends; /* number of times the update was sent */
	guint8 queued; /* on update_queue */
	guint8 has_self; /* the member has this node's entry */
	guint8 bucket; /* of the digests exchanged by PT_MEMBERS */
};

struct memb_seed_addr {
	char *host;
	guint gossip_port;
	guint rpc_port;
	gint64 due;
	guint tries;
};

/* A probe relayed for another member (PT_PING_REQ). */
struct memb_relay {
	guint32 nonce; /* 0: unused */
	guint32 origin_nonce;
	char *origin;
	gint64 expires;
};

struct memb {
	struct memb_opts o;
	guint refs;
	gboolean closed;
	gboolean joined;
	gboolean leaving;
	struct memb_entry *self;
	/* Newest announcement passed to former() of the options. */
	gint64 former_incarnation;
	guint32 former_seq;
	GHashTable *by_name;
	GHashTable *domains;
	GHashTable *services;
	struct memb_list all;
	struct memb_queue update_queue; /* members whose update is to be sent */
	guint n_all;
	guint n_queued; /* entries on update_queue */
	guint n_suspects; /* present and suspect */
	guint64 buckets[PT_BUCKETS]; /* digest of the entries of each bucket */
	GPtrArray *order; /* present members except self, in probe order */
	guint next_order;
	guint32 nonce;

	struct memb_entry *probe; /* member being probed, NULL: none */
	guint32 probe_nonce;
	gint64 probe_start;
	gboolean probe_indirect;
	gint64 probe_due;
	struct memb_relay relays[MEMB_RELAYS];
	guint next_relay;

	gint64 spread_due;
	gint64 exchange_due;
	gint64 exchange_last;
	gint64 exchange_interval; /* current; doubles up to the maximum */
	char *exchange_peer; /* instance of the next exchange, NULL: any */
	gboolean exchanging;
	gint64 dead_due;
	gint64 sweep_due;
	gint64 due; /* returned by the last tick */
	struct memb_seed_addr seeds[MEMB_SEEDS_MAX];
	guint n_seeds;

	gint64 newest_position;
	char *newest_from;
	struct memb_stats stats;
};

/* memb.c */
void memb_unref(struct memb *);

/* table.c */
void memb_table_init(struct memb *);
void memb_table_free(struct memb *);
struct memb_entry *memb_lookup(const struct memb *, const char *);
void memb_merge(struct memb *, const struct pt_member *, gboolean spread);
void memb_set_health(struct memb *, struct memb_entry *, enum pt_health);
void memb_set_self(struct memb *, const struct pt_member *);
void memb_remove(struct memb *, struct memb_entry *);
void memb_to_wire(const struct memb_entry *, struct pt_member *);
gboolean memb_entry_cut_off(const struct memb *, const struct memb_entry *);

/* spread.c */
void memb_queue_update(struct memb *, struct memb_entry *);
void memb_count_duplicate(struct memb *, struct memb_entry *);
void memb_dequeue_update(struct memb *, struct memb_entry *);
gint64 memb_spread_tick(struct memb *, gint64 now);
void memb_send(struct memb *, const char *host, guint port, enum pt_gossip_kind,
    guint32 nonce, const char *target, struct memb_entry **, guint n);
struct memb_entry *memb_random_member(struct memb *);

/* probe.c */
void memb_handle_ping(
    struct memb *, const struct pt_gossip *, gboolean self_outdated);
void memb_handle_ack(struct memb *, const struct pt_gossip *);
void memb_handle_ping_req(struct memb *, const struct pt_gossip *);
gint64 memb_probe_tick(struct memb *, gint64 now);
void memb_handle_pause(struct memb *, gint64 now, gint64 gap);

/* join.c */
void memb_schedule_exchange(
    struct memb *, const struct memb_entry *, gint64 within_us);
gint64 memb_join_tick(struct memb *, gint64 now);
#endif
