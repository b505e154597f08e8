/*
 * The parts of a node and their interfaces.  Include <glib.h>, <gio/gio.h>,
 * <sys/queue.h>, <rpc/rpc.h>, "pt.h", "port.h", "sysio.h", "rpcio.h",
 * "httpio.h", "conf.h", "memb.h", "dist.h", "call.h" and "settings.h" before
 * this header.
 */

struct entry;
struct upstream;
struct admin;
struct control;

/* The backend server beside this node, from its last announcement. */
struct backend {
	char *service; /* NULL: no announcement in force */
	char *url;
	int slots;
	int connections;
	double limit; /* requests a second from all nodes, -1: no limit */
	enum pt_state state;
	gint64 announced_at; /* time of the last announcement, in us */
};

/* Counters of a node that belong to no single part. */
struct node_stats {
	guint64 bad_announcements;
	guint64 bad_requests; /* RPC arguments of another protocol version */
	guint64 events_errors;
};

struct node {
	struct settings set;
	struct pt_clock clock;
	struct pt_events events;
	GRand *rand;
	/* Called when the graceful shutdown is complete. */
	void (*stopped)(void *);
	void *stopped_arg;
	gint64 incarnation;

	struct conf *conf;
	struct memb *memb;
	struct sys_ticker *memb_ticker;
	struct dist_store store;
	struct dist *dist;
	struct sys_ticker *dist_ticker;

	struct rpcio_server *server;
	struct rpcio_client *client;
	struct rpcio_dgram *dgram_socket;
	struct rpcio_stats rpc_stats;
	struct pt_rpc rpc;
	struct pt_dgram dgram;
	struct httpio_log *log_client;
	struct pt_log log;

	struct lb *lb;
	struct budget *budget;
	struct idem *idem;
	struct entry *entry; /* entry node: handles callers' requests */
	struct upstream *upstream; /* runs calls at the local backend server */
	struct quarantine *quarantine; /* requests that end servers */
	struct admin *admin; /* metrics and announcements */
	struct control *control; /* calls of other nodes and of ptctl */

	struct backend backend;
	GHashTable *dirty_services; /* names; their upstream sets are stale */
	guint rebuild_timer; /* rebuilds the stale sets */
	gboolean stopping; /* graceful shutdown in progress */
	gboolean operator_drain; /* an operator drains the upstream */
	guint refuse_timer; /* end of the drain notice */
	gboolean refusing; /* new work is refused as "not run" */
	gboolean ready; /* holds the newest configuration of peers and log */
	gint64 keys_until; /* latest first use of an issued key, in us */
	guint second_timer; /* runs each second */
	guint stop_timer; /* next step of the graceful shutdown */
	gint64 drain_at; /* start of the graceful shutdown, in us */
	gint64 end_at; /* the last answers are sent then; 0: no limit */
	gboolean ended; /* new requests are refused */
	struct node_stats stats;
};

/* ---- node.c: start and release ---- */
/*
 * Settings, clock, events, rand and incarnation must be set before.  On failure
 * everything is released, and the error names the remedy.
 */
gboolean node_start(struct node *, GError **);
void node_release(struct node *);

/* ---- entry.c: callers' requests to this node ---- */
struct entry *entry_new(struct node *, GError **);
/* Accepts connections; called when the node has become ready. */
void entry_open(struct entry *);
/* Stops accepting connections; requests in progress go on. */
void entry_close(struct entry *);
void entry_free(struct entry *);
/* Answers with "Connection: close" from now on. */
void entry_drain(struct entry *);
/*
 * The node has a time at which it ends: requests get their answers by then, and
 * those that wait at upstreams are taken back.
 */
void entry_limit(struct entry *);
/* Answers the requests that are left, and cuts off the answers. */
void entry_end(struct entry *);
guint entry_active(const struct entry *); /* requests in progress */
guint entry_connections(const struct entry *); /* open connections */
/* Handles PT_KEYED: a request with a key that this node issued. */
void entry_handle_keyed(
    struct entry *, struct rpcio_req *, const struct pt_keyed_args *);
/* Appends the metrics of callers' requests in the text exposition format. */
void entry_metrics(struct entry *, GString *);

/* ---- upstream.c: requests of entry nodes for the backend server ---- */
struct upstream *upstream_new(struct node *);
void upstream_free(struct upstream *);
void upstream_handle_forward(
    struct upstream *, struct rpcio_req *, const struct pt_call *);
void upstream_handle_pull(
    struct upstream *, struct rpcio_req *, const struct pt_pull_args *);
void upstream_handle_cancel(
    struct upstream *, struct rpcio_req *, const struct pt_pull_args *);
void upstream_handle_recall(
    struct upstream *, struct rpcio_req *, const struct pt_pull_args *);
/*
 * The same for a call from this process, with connection 0.  Each callback is
 * called exactly once, possibly before the function returns.  If "copy"
 * is set, the call may become invalid before it is answered.
 */
typedef void (*upstream_answer_cb)(void *arg, const struct pt_answer *);
typedef void (*upstream_pull_cb)(void *arg, const struct pt_pull_res *);
void upstream_call(struct upstream *, guint64 conn, const struct pt_call *,
    gboolean copy, upstream_answer_cb, void *arg);
void upstream_pull(
    struct upstream *, guint64 conn, guint id, upstream_pull_cb, void *arg);
void upstream_cancel(struct upstream *, guint64 conn, guint id);
/* Refuses the call if it waits for a slot. */
void upstream_recall(struct upstream *, guint64 conn, guint id);
/* The node has a time at which it ends: refuses what may outlast it. */
void upstream_limit(struct upstream *);
/* Ends the calls that are left and refuses new ones. */
void upstream_end(struct upstream *);
/* Cancels the calls of a connection that closed. */
void upstream_conn_closed(struct upstream *, guint64 conn);
/* Applies a changed announcement, state or configuration. */
void upstream_update(struct upstream *);
/* Calls that are queued, running or streaming. */
guint upstream_active(const struct upstream *);
void upstream_metrics(struct upstream *, GString *);

/* ---- quarantine.c: requests that end the servers that run them ---- */
struct quarantine *quarantine_new(struct node *);
void quarantine_free(struct quarantine *);
void quarantine_digest(
    const struct quarantine *, const struct pt_call *, pt_id out);
/* TRUE if the request is refused, with the time until it may be sent again. */
gboolean quarantine_refuses(
    struct quarantine *, const struct pt_call *, int *retry_ms);
/* The server beside this node has announced itself. */
void quarantine_announced(struct quarantine *);
/* It has answered a request; it has given the whole answer to this one. */
void quarantine_answered(struct quarantine *);
void quarantine_completed(struct quarantine *, const pt_id digest);
/* A request was at work at it and got no whole answer. */
void quarantine_lost(struct quarantine *, const pt_id digest);
void quarantine_refused_connection(struct quarantine *);
/* Another node sent what it knows; a node has started and knows nothing. */
void quarantine_heard(struct quarantine *, const void *data, gsize len);
void quarantine_tell(struct quarantine *, const char *instance);
void quarantine_metrics(const struct quarantine *, GString *);
void quarantine_list(const struct quarantine *, GString *);
/* Fails with PT_ERROR_PARSE or PT_ERROR_REFERENCE. */
gboolean quarantine_lift(struct quarantine *, const char *digest, GError **);

/* ---- admin.c: metrics, state and announcements over HTTP ---- */
struct admin *admin_new(struct node *, GError **);
void admin_free(struct admin *);

/* ---- routing.c: upstream sets from membership and configuration ---- */
void routing_init(struct node *);
void routing_clear(struct node *);
/* Schedules a rebuild of the upstream set of the member's service. */
void routing_member_changed(struct node *, const struct memb_member *);
/* Applies a new configuration version to all that depends on it. */
void routing_config_changed(struct node *);

/* ---- backend.c: announcements of the backend server ---- */
/* Applies an announcement; PT_ERROR_PARSE names the field and the remedy. */
gboolean backend_apply(struct node *, const char *json, gsize len, GError **);
/* Announces the state of this node to the members after it changed. */
void backend_publish_state(struct node *);
/* Starts or ends the drain of the upstream by an operator. */
void backend_drain(struct node *, gboolean on);
/* Drops an announcement that is older than the announce timeout. */
void backend_expire(struct node *);

/* ---- control.c: RPC dispatch; ctx is a struct control ---- */
struct control *control_new(struct node *);
void control_free(struct control *);
void control_handle(
    void *ctx, struct rpcio_req *, guint proc, const void *args);
void control_closed(void *ctx, guint64 conn);

/* ---- sync.c: membership and distribution ---- */
gboolean sync_start(struct node *, GError **);
void sync_stop(struct node *);

/* ---- stop.c: graceful shutdown ---- */
/* Starts it; stopped() is called when no request is in progress. */
void stop_begin(struct node *);
