/*
 * Distribution of the configuration: reads the log, relays records down the
 * fan-out tree, catches up from peers, collects acknowledgements, and answers
 * submit, outcome and status calls.  Design: docs/distribution.md.
 *
 * Does no I/O of its own: the log and peers are reached through the interfaces
 * of port.h, and dist_tick() does the work that is due.  Include <glib.h>,
 * <rpc/rpc.h>, "pt.h", "port.h" and "memb.h" before this header.
 */

/*
 * The evaluated configuration.  An interface, so that distribution does not
 * depend on how records are evaluated.
 */
struct dist_store {
	/* Evaluates the record that follows the position. */
	void (*eval)(void *ctx, gint64 offset, GBytes *data);
	gint64 (*position)(void *ctx); /* offset of the last record evaluated */
	gint64 (*version)(void *ctx); /* offset of the last change accepted */
	void (*digest)(void *ctx, guint8 out[PT_DIGEST_LEN]);
	GBytes *(*snapshot)(void *ctx);
	/* Advances the position past records that expired unread. */
	void (*skip)(void *ctx, gint64 position);
	/* Replaces the whole state if the snapshot is newer than it. */
	gboolean (*load)(void *ctx, GBytes *, GError **);
	/*
	 * Looks up a recent outcome and sets id, offset, kind and text of
	 * "out".  The store owns the text, which is valid until its next
	 * change.
	 */
	gboolean (*outcome)(
	    void *ctx, const guint8 id[PT_ID_LEN], struct pt_outcome *out);
	void *ctx;
};

struct dist_opts {
	const struct pt_clock *clock;
	GRand *rand; /* not owned */
	const struct pt_log *log;
	const struct pt_rpc *rpc;
	const struct pt_events *events;
	const struct dist_store *store;
	struct memb *memb;
	gint64 retention_us; /* how long the log keeps records */
	gboolean poll; /* every node reads the log: baseline for benches */
	/* Called when the position, the role or readiness changed. */
	void (*changed)(void *ctx);
	void *ctx;
};

/*
 * Requests to the log by kind.  Their rate is bounded: DIST_LOG_TAIL by one
 * request in progress per reader (2 readers per failure domain), each waiting
 * up to 5 s; DIST_LOG_DIRECT by one request per 5 s and node without a working
 * parent, with jitter; DIST_LOG_SEED and DIST_LOG_SNAPSHOT by a few requests
 * per reader in a quarter of the retention time, one read of seeds per reader
 * and minute, and one request per 5 s for a node without peers.
 * DIST_LOG_SUBMIT depends on the operators alone.
 */
enum dist_log_kind {
	DIST_LOG_TAIL, /* long poll of a reader */
	DIST_LOG_DIRECT, /* read by a node without a working parent */
	DIST_LOG_CHECK, /* read by a sender of beacons, or as none comes */
	DIST_LOG_SNAPSHOT, /* reads and appends of stream "snapshots" */
	DIST_LOG_SEED, /* reads and appends of stream "seeds" */
	DIST_LOG_SUBMIT, /* appends of change sets */
	DIST_LOG_KINDS
};

struct dist_stats {
	guint64 log_requests[DIST_LOG_KINDS];
	guint64 syncs; /* SYNC calls made */
	guint64 acks; /* ACKED calls made */
	guint64 parent_changes;
	guint64 snapshots_fetched;
	guint64 snapshots_written;
	guint64 gaps_skipped; /* gaps of records that expired unread */
	guint64 gaps; /* batches cut off at a missing record */
	guint64 refused; /* SYNC calls answered with FULL or BUSY */
};

struct dist;
struct dist *dist_new(const struct dist_opts *);
/* Drops waiting calls unanswered and ignores answers to calls in progress. */
void dist_free(struct dist *);

/*
 * Does the work that is due and returns the time, in us, of the next call.
 * Must also be called after any other call and after a change of membership.
 */
gint64 dist_tick(struct dist *);

/* Processes a message of kind PT_BEACON. */
void dist_beacon_heard(struct dist *, const void *data, gsize len);

/* The membership changed: the next tick recomputes the roles. */
void dist_members_changed(struct dist *);

/*
 * Whether the node may leave state booting: it holds the newest configuration
 * known to its peers or the log.  Once true it stays true.
 */
gboolean dist_ready(const struct dist *);
gboolean dist_is_reader(const struct dist *);
/* The parent in the fan-out tree, NULL for none. */
const char *dist_parent(const struct dist *);
const struct dist_stats *dist_stats(const struct dist *);

/*
 * Answers PT_SYNC at once, or when the position advances or the wait time
 * expires.  "res" is valid during the callback.  Returns an id for
 * dist_sync_cancel(), or 0 if the call was answered at once.
 */
typedef void (*dist_sync_cb)(void *arg, const struct pt_sync_res *res);
guint dist_serve_sync(
    struct dist *, const struct pt_sync_args *, dist_sync_cb, void *arg);
/* Drops a waiting call unanswered, because its connection closed. */
void dist_sync_cancel(struct dist *, guint id);

/* Answers PT_SNAP.  The data is valid until the next call of the library. */
void dist_serve_snap(
    struct dist *, const struct pt_snap_args *, struct pt_snap_chunk *res);
/* Handles PT_ACKED: the acknowledgement that another reader reports. */
void dist_serve_acked(struct dist *, const struct pt_sync_args *);

/*
 * Appends a change set to the log and answers with this node's own verdict on
 * it.  PT_UNREACHABLE: nothing was appended.  PT_UNKNOWN: it may have been
 * appended, and the text says how to find out.  A change set is appended at
 * most once, even if it is submitted again to this node.  "out" is valid
 * during the callback.
 */
typedef void (*dist_outcome_cb)(void *arg, const struct pt_outcome *out);
void dist_submit(
    struct dist *, const struct pt_submit_args *, dist_outcome_cb, void *arg);

/*
 * The outcome of a change set, as far as this node has evaluated the log.  The
 * text is owned by the library and valid until its next call.
 */
void dist_outcome(
    struct dist *, const guint8 id[PT_ID_LEN], struct pt_outcome *out);

/*
 * Answers PT_STATUS: at how many members the newest version is in force, and
 * which members lag or have not acknowledged.  Queries the first reader, which
 * has the highest priority of all readers of the mesh.  With "kind"
 * DIST_STATUS_OWN, used between nodes, the answer comes from this node's own
 * state and omits the list of members.
 */
#define DIST_STATUS_OWN (-2)
typedef void (*dist_status_cb)(void *arg, const struct pt_status_res *res);
void dist_status(
    struct dist *, const struct pt_get_args *, dist_status_cb, void *arg);

#ifdef DIST_PRIVATE
/* ---- shared by the files of this library; include <sys/queue.h> first ---- */

#define DIST_US G_GINT64_CONSTANT(1000000)
#define DIST_MS G_GINT64_CONSTANT(1000)
#define DIST_READERS 2 /* per failure domain */
#define DIST_CHILDREN_MAX 24 /* children of a parent */
/* Most nodes that fetch a snapshot from this node at a time. */
#define DIST_CATCHUPS_MAX 4
#define DIST_POLL_MS 5000 /* long poll of the log or of the parent */
#define DIST_BACKOFF_MAX_US (5 * DIST_US)
/* Interval between reads of the log by a node without a working parent. */
#define DIST_DIRECT_READ_US (5 * DIST_US)
/*
 * Time within which this node must reach a newer position that gossip reported;
 * after it, check_behind() catches up from a peer and may change the parent.
 */
#define DIST_BEHIND_TIMEOUT_US (2 * DIST_US)
/* Recent records kept for children. */
#define DIST_RECENT_RECORDS 1024
#define DIST_RECENT_BYTES (1024 * 1024)
/* Part of a snapshot in one record or answer. */
#define DIST_CHUNK_BYTES (48 * 1024)
/*
 * Largest snapshot in bytes.  Leaves room for the evaluated state in the 32 MB
 * of a node's memory.
 */
#define DIST_SNAP_MAX (10 * 1024 * 1024)
/* A snapshot is written after this many records at the latest. */
#define DIST_SNAP_RECORDS 256

enum {
	DIST_CONFIG,
	DIST_SNAPSHOTS,
	DIST_SEEDS
};

/* A recent record, kept to be sent to children. */
struct dist_rec {
	TAILQ_ENTRY(dist_rec) link;
	gint64 offset;
	GBytes *data;
};
TAILQ_HEAD(dist_recs, dist_rec);

/* The acknowledgement of a node for its subtree, as in struct pt_subtree. */
struct dist_ack {
	LIST_ENTRY(dist_ack) link;
	char *name;
	gint64 received_at;
	guint nodes;
	gint64 lowest;
	gint64 newest;
	guint holding; /* nodes that hold "newest" */
	guint64 names; /* sum of the hashes of their names */
	char *lag[PT_LAG_MAX];
	guint n_lag;
};
LIST_HEAD(dist_acks, dist_ack);

/* A SYNC call held until the position advances. */
struct dist_wait {
	LIST_ENTRY(dist_wait) link;
	guint id;
	char *from;
	gint64 position;
	gint64 due;
	gboolean catchup_only; /* not from a child */
	dist_sync_cb cb;
	void *arg;
};

LIST_HEAD(dist_waits, dist_wait);

/* A change set submitted to this node whose outcome is awaited. */
struct dist_pending {
	LIST_ENTRY(dist_pending) link;
	struct dist *d; /* referenced while the append is in progress */
	guint8 id[PT_ID_LEN];
	gint64 offset; /* 0: not known yet */
	gint64 due;
	gboolean answered;
	gboolean appending;
	dist_outcome_cb cb;
	void *arg;
};

LIST_HEAD(dist_pendings, dist_pending);

/* State of the SYNC calls to the parent, or to a peer to catch up from. */
struct dist_link {
	struct dist *d;
	char *name; /* NULL: none */
	gboolean catchup_only; /* the peer is not the parent */
	gboolean busy; /* a call is in progress */
	/* Changes with each call and each peer, to detect late answers. */
	guint gen;
	guint fails; /* consecutive failed calls, also across peers */
	guint busy_answers; /* consecutive BUSY answers of this peer */
	gint64 due; /* time of the next call */
};

/* A snapshot being fetched from a peer. */
struct dist_fetch {
	char *name; /* NULL: none */
	gint64 position;
	guint8 digest[PT_DIGEST_LEN];
	guint index; /* of the next chunk */
	GByteArray *data;
};

/* A snapshot being reassembled from its chunks in the stream. */
struct dist_partial {
	LIST_ENTRY(dist_partial) link;
	gint64 position;
	guint8 digest[PT_DIGEST_LEN];
	guint count; /* of chunks */
	guint have; /* chunks found so far */
	GBytes **chunks;
};

LIST_HEAD(dist_partials, dist_partial);

/*
 * A scan of stream "snapshots", window by window, from the newest to the
 * oldest.  The stream has the offsets [oldest, next), the current window
 * [start, end); "from" is the next offset to read.
 */
struct dist_scan {
	gboolean busy;
	gboolean load; /* load the newest snapshot, not only find it */
	gint64 from, start, end, oldest, next;
	struct dist_partials found;
};

/* Admission of one node that catches up by snapshot. */
struct dist_slot {
	char *name;
	gint64 until; /* end of the admission */
};

/* A snapshot offered to other nodes. */
struct dist_snap {
	GBytes *data;
	gint64 position;
	guint8 digest[PT_DIGEST_LEN];
};

struct dist {
	struct dist_opts o;
	guint refs;
	gboolean closed;
	gboolean ready;
	gboolean boot_target_known;
	gint64 boot_target; /* position at which booting ends */
	gint64 started;
	gint64 warn_due; /* next warning that the node still boots */

	/* roles */
	gboolean roles_dirty;
	gint64 members_at; /* time of the last change of membership */
	gboolean reader;
	guint reader_rank; /* number of readers with a higher priority */
	char *first_reader; /* reader of rank 0: collects acknowledgements */
	GPtrArray *parents; /* candidates, best first */
	guint next_parent;
	guint parent_fails; /* failed or refused calls since the last OK */

	/* recent records */
	struct dist_recs recent;
	guint n_recent;
	gsize recent_bytes;

	/* following the parent and catching up */
	struct dist_link parent;
	struct dist_link catchup;
	struct dist_fetch fetch;
	gboolean need_snapshot; /* the next records are not available */
	gint64 gap_oldest; /* oldest record after the gap, 0: no gap */
	gint64 gap_since; /* time at which the gap was found */
	gboolean gap_scanned; /* a scan for a newer snapshot was started */
	gint64 behind_since; /* 0: no newer position is known */
	gint64 behind_target; /* the newer position */
	guint behind_timeouts; /* since a target was last reached */
	gint64 ack_due; /* next acknowledgement of a change, 0: none */
	struct dist_ack sent_ack; /* last one sent to the parent */
	gint64 report_due; /* next report of a reader to the first reader */

	/* log; "tail": long poll of a reader, "direct": DIST_LOG_DIRECT */
	gboolean tail_busy;
	gint64 tail_due;
	gint64 tail_start;
	guint tail_gen;
	guint tail_fails;
	gboolean log_ok; /* the last request succeeded */
	gboolean log_short; /* the log has lost records that this node holds */
	gboolean direct_busy;
	gint64 direct_due;
	struct beacon *beacon;
	gboolean check_busy; /* a read of DIST_LOG_CHECK is in progress */
	gint64 scan_due; /* earliest next scan to load a snapshot */
	guint catchup_fails; /* failures to catch up since the last such scan */

	/* snapshots in the stream */
	struct dist_scan scan;
	gint64 snap_next; /* records below this offset have been scanned */
	gint64 snap_seen_position; /* of the newest one found or written */
	gint64 snap_seen_at; /* when it was found or written, 0: never */
	gint64 snap_due; /* time of the next write, 0: not due */
	gint64 snap_checked; /* end of the last scan before a write */
	GBytes *writing; /* snapshot being written, NULL: none */
	gint64 writing_position;
	guint8 writing_digest[PT_DIGEST_LEN];
	guint writing_index;
	guint writing_fails;
	gint64 snap_retry; /* no write before this time */

	/* seeds */
	gboolean seed_busy;
	gint64 seed_read_due;
	gint64 seed_write_due;
	gint64 seeds_next; /* offset of the next record to read */

	/* serving */
	struct dist_acks children;
	struct dist_acks reports; /* acknowledgements of other readers */
	struct dist_waits waits;
	guint next_id;
	struct dist_slot slots[DIST_CATCHUPS_MAX];
	struct dist_snap snaps[2]; /* current and previous */
	struct dist_pendings pending; /* submitted change sets */
	struct dist_stats stats;
};

/* dist.c */
void dist_unref(struct dist *);

/* records.c */
gint64 dist_position(const struct dist *);
gint64 dist_version(const struct dist *);
gboolean dist_eval(struct dist *, gint64 offset, GBytes *);
void dist_advanced(struct dist *);
gboolean dist_load(struct dist *, GBytes *, const guint8 *digest);
void dist_recent_clear(struct dist *);
void dist_snap_refresh(struct dist *);
void dist_check_ready(struct dist *);
void dist_set_boot_target(struct dist *, gint64 newest);
gint64 dist_backoff(struct dist *, guint fails);

/* roles.c */
void dist_roles(struct dist *);
gboolean dist_is_first(const struct dist *);

/* peer.c */
void dist_link_init(struct dist *, struct dist_link *, gboolean catchup_only);
void dist_link_drop(struct dist_link *);
gint64 dist_peer_tick(struct dist *, gint64 now);
void dist_fetch_drop(struct dist *);
void dist_catch_up(struct dist *);

/* logread.c */
gint64 dist_log_tick(struct dist *, gint64 now);
void dist_log_result(struct dist *, const GError *);

/* Starts a read of DIST_LOG_CHECK that the log may hold open. */
void dist_check_log(struct dist *, guint wait_ms);

/* beacons.c */
void dist_beacons_init(struct dist *);
gint64 dist_beacons_tick(struct dist *, gint64 now);
/* The position advanced, or the node became ready. */
void dist_beacons_advanced(struct dist *);
/*
 * A read of the log from offset "from" on, begun at "start" and held open for
 * up to "wait", has ended; NULL: it failed.
 */
void dist_beacons_read(struct dist *, gint64 from, gint64 start, gint64 wait,
    const struct pt_batch *);

/* gap.c */
void dist_gap_update(struct dist *, gint64 oldest);
gint64 dist_gap_tick(struct dist *, gint64 now);

/* snapstream.c */
gint64 dist_snapstream_tick(struct dist *, gint64 now);
void dist_scan(struct dist *, gboolean load);
void dist_scan_drop(struct dist *);

/* seeds.c */
gint64 dist_seeds_tick(struct dist *, gint64 now);

/* serve.c */
void dist_wake(struct dist *);
gint64 dist_serve_tick(struct dist *, gint64 now);
void dist_serve_free(struct dist *);

/* acks.c */
struct dist_ack *dist_ack_set(
    struct dist *, struct dist_acks *, const struct pt_sync_args *);
struct dist_ack *dist_ack_find(struct dist_acks *, const char *name);
void dist_acks_expire(struct dist *, struct dist_acks *, gint64 now);
void dist_subtree(struct dist *, gboolean reports, struct dist_ack *out);
void dist_ack_wire(const struct dist_ack *, struct pt_subtree *);
gboolean dist_ack_equal(const struct dist_ack *, const struct dist_ack *);
gint64 dist_acks_tick(struct dist *, gint64 now);
void dist_ack_changed(struct dist *);

/* lists.c */
void dist_ack_clear(struct dist_ack *);
void dist_ack_free(struct dist_ack *);
void dist_wait_free(struct dist_wait *);
void dist_partial_free(struct dist_partial *);

/* submit.c */
void dist_submit_check(struct dist *);
gint64 dist_submit_tick(struct dist *, gint64 now);
void dist_submit_free(struct dist *);
#endif
