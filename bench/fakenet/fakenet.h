/*
 * Simulated network of nodes for tests and benches of membership and
 * distribution: virtual clock, seeded faults and an append-only log.  Include
 * <glib.h>, <rpc/rpc.h>, "pt.h", "port.h", "memb.h" and "dist.h" before this
 * header.
 */

#define FN_US G_GINT64_CONSTANT(1000000)
#define FN_MS G_GINT64_CONSTANT(1000)

enum fn_stream {
	FN_CONFIG,
	FN_SNAPSHOTS,
	FN_SEEDS,
	FN_STREAMS
};

/*
 * Simplified evaluation of change sets: a record is accepted if it has no base
 * version or if its base is the version in force.
 */
struct fn_store {
	gint64 position;
	gint64 version;
	guint64 chain; /* hash chain over the accepted ids */
	GHashTable *outcomes; /* id to offset, negative for a conflict */
	guint evaluated;
};

struct fn;
struct fn_node {
	struct fn *f;
	guint index;
	char name[16];
	char domain[16];
	char region[16];
	gboolean up;
	gboolean silent; /* went down without closing its connections */
	gboolean paused;
	gboolean log_cut; /* the node cannot reach the log */
	guint group; /* nodes of different groups cannot reach each other */
	guint
	    generation; /* incremented at each start and end of the instance */
	GRand *rand;
	struct memb *memb;
	struct dist *dist;
	struct fn_store s;
	struct pt_dgram dgram;
	struct pt_rpc rpc;
	struct pt_log log;
	struct dist_store store;
	gint64 next_tick; /* time of the next scheduled tick */
	GPtrArray *backlog; /* events held back while the node is paused */
	GPtrArray *calls; /* calls and log requests without a reply */
	GPtrArray *unanswered; /* deferred calls of peers */
	gboolean serving; /* state announced after dist_ready() */
	/* counters */
	guint64 bytes_out; /* datagrams, with headers */
	guint64 rpc_bytes_out; /* calls and replies, with headers */
	guint false_dead; /* reachable members reported dead */
	guint false_suspect; /* reachable members reported suspect */
	guint changes; /* number of membership changes reported */
};

struct fn_log {
	GPtrArray *entries[FN_STREAMS];
	gint64 oldest[FN_STREAMS];
	gint64 retention_us;
	gint64 delay_us;
	gboolean down;
	guint lose_appends; /* successful appends without a response */
	guint refuse_appends; /* number of appends to refuse */
	GPtrArray *waiting; /* reads that wait for a record */
	guint64 requests;
};

struct fn {
	GRand *rand;
	struct pt_clock clock;
	gint64 now;
	guint64 seq;
	GPtrArray *heap;
	struct fn_node *nodes;
	guint n;
	gboolean with_dist;
	double loss; /* probability that a datagram is lost */
	double dup; /* probability that a datagram is delivered twice */
	gint64 delay_min, delay_max; /* one way, in us */
	struct fn_log log;
	guint64 dgrams;
	/* Evaluations by all nodes; one out of order ends the test instead. */
	guint64 records_in_order;
	/* Called for each datagram before its delivery, NULL: none. */
	void (*tap)(struct fn *, const void *data, gsize len);
};

struct fn *fn_new(guint32 seed, guint n, guint domains, gboolean with_dist);
void fn_free(struct fn *);
/* Starts a node; if "seeds" is set, with the addresses of up to 3 others. */
void fn_start(struct fn *, guint i, gboolean seeds);
void fn_start_all(struct fn *);
/* Ends a process; if "silent" is set, its connections are not closed. */
void fn_kill(struct fn *, guint i, gboolean silent);
void fn_pause(struct fn *, guint i);
void fn_resume(struct fn *, guint i);
/* Advances the clock by a time in us and runs the events that are due. */
void fn_run(struct fn *, gint64 us);
/* Runs until the condition holds; returns the time taken, -1 after max_us. */
gint64 fn_until(struct fn *, gboolean (*)(struct fn *), gint64 max_us);
/* Runs a node's tick now, after the test changed its state. */
void fn_tick_now(struct fn *, guint i);

/* Encodes a change set whose id is made of "tag". */
GBytes *fn_record(guint32 tag, gint64 base, guint8 id[PT_ID_LEN]);
/* Appends to the log directly, not through a node; returns the offset. */
gint64 fn_append(struct fn *, enum fn_stream, GBytes *);
gint64 fn_append_change(struct fn *, guint32 tag);
/* Removes the records before offset "oldest". */
void fn_trim(struct fn *, enum fn_stream, gint64 oldest);

/* Conditions on the nodes that are up and not paused. */
gboolean fn_members_converged(struct fn *);
gboolean fn_all_current(struct fn *);
gboolean fn_all_ready(struct fn *);
guint64 fn_log_requests(struct fn *, enum dist_log_kind);
/* The log holds a read of this node open. */
gboolean fn_reads_log(const struct fn *, guint i);

#ifdef FN_PRIVATE
/* ---- shared by the files of this library ---- */

#define GOSSIP_PORT 10000
#define RPC_PORT 30000

struct fn_event {
	gint64 at;
	guint64 seq;
	gint node; /* the event is deferred while it is paused, -1: never */
	guint generation; /* the event is dropped if the node was restarted */
	void (*run)(struct fn *, void *);
	void (*drop)(struct fn *, void *);
	void *arg;
};

/* A call or a log request in progress. */
struct fn_call {
	gint refs;
	struct fn *f;
	guint from, from_generation;
	guint to;
	guint proc;
	GBytes *args;
	GBytes *res;
	GError *err;
	gboolean done;
	pt_rpc_cb cb;
	/* log */
	enum fn_stream stream;
	gint64 first;
	guint max;
	gint64 due;
	gint64 offset;
	GBytes *record;
	pt_append_cb append_cb;
	pt_read_cb read_cb;
	void *arg;
};

/* fakenet.c */
void fn_schedule(struct fn *, gint64 delay, gint node,
    void (*run)(struct fn *, void *), void (*drop)(struct fn *, void *),
    void *arg);
gint64 fn_delay(struct fn *);
void fn_tick(struct fn *, void *arg);
void fn_event_drop(struct fn *, struct fn_event *);
void fn_event_run(struct fn *, struct fn_event *);
struct fn_event *fn_heap_pop(GPtrArray *);
gboolean fn_reaches(const struct fn *, guint a, guint b);
void fn_dgram_send(
    void *ctx, const char *host, guint port, const void *data, gsize len);

void fn_call_unref(struct fn_call *);

/* fakecalls.c */
struct fn_call *fn_call_new(struct fn_node *, void *arg);
void fn_call_drop(struct fn *, void *arg);
void fn_call_finish(struct fn_call *, void *res, const GError *);
void fn_call_reply(struct fn_call *, GBytes *res, GError *);
void fn_peer_call(void *ctx, const char *host, guint port, guint proc,
    const void *args, guint timeout_ms, pt_rpc_cb, void *arg);

/* fakelog.c */
gint64 fn_next_offset(const struct fn_log *, enum fn_stream);
void fn_stored_free(gpointer);
void fn_log_read(void *ctx, const char *stream, gint64 from, guint max,
    guint wait_ms, pt_read_cb, void *arg);
void fn_log_append(
    void *ctx, const char *stream, GBytes *record, pt_append_cb, void *arg);

/* fakestore.c */
extern const struct dist_store fn_store_port;
gint64 fn_store_position(void *ctx);
GHashTable *fn_outcomes_new(void);
#endif
