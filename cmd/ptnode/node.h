/*
 * The parts of a node and how they are wired.  Include <glib.h>, <gio/gio.h>,
 * <sys/queue.h>, <rpc/rpc.h>, "pt.h", "port.h", "sysio.h", "rpcio.h",
 * "httpio.h", "conf.h", "memb.h", "dist.h", "call.h" and "settings.h" before
 * this header.
 */

struct entry;
struct serve;
struct admin;
struct control;

/* The backend server beside this node, as it announced itself. */
struct backend {
	char *service; /* NULL: none announced */
	char *url;
	int slots;
	int connections;
	enum pt_state state;
	gint64 heard; /* last announcement, in us */
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
	/* The graceful shutdown is complete. */
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
	struct rpcio_dgram *dgram;
	struct rpcio_stats rpc_stats;
	struct pt_rpc rpc;
	struct pt_dgram gram;
	struct httpio_log *log_client;
	struct pt_log log;

	struct lb *lb;
	struct budget *budget;
	struct idem *idem;
	struct entry *entry; /* callers' requests */
	struct serve *serve; /* requests for the backend server beside it */
	struct admin *admin; /* counters and announcements */
	struct control *control; /* calls of other nodes and of ptctl */

	struct backend backend;
	GHashTable *dirty_services; /* whose upstream set has to be rebuilt */
	guint rebuild; /* timer */
	gboolean draining; /* this node stops */
	gboolean drained; /* by an operator */
	guint refuse_timer; /* end of the notice of a draining upstream */
	gboolean refusing; /* new work is refused as "not run" */
	gboolean ready; /* configuration is as new as peers and log know */
	gint64 keys_until; /* issued keys may be used first until then, in us */
	guint second; /* timer of each second */
	guint stop_timer; /* next step of the graceful shutdown */
	gint64 drain_at; /* start of the graceful shutdown, in us */
	struct node_stats stats;
};

/* ---- node.c: start and release ---- */
/*
 * Starts with settings, clock, events, rand and incarnation set.  On failure
 * everything is released, and the error names the remedy.
 */
gboolean node_start(struct node *, GError **);
void node_release(struct node *);

/* ---- entry.c: callers' requests to this node ---- */
struct entry *entry_new(struct node *, GError **);
/* Accepts connections: the node has become ready. */
void entry_open(struct entry *);
/* Stops accepting connections; requests in progress go on. */
void entry_close(struct entry *);
void entry_free(struct entry *);
/* Answers with "Connection: close" from now on. */
void entry_drain(struct entry *);
guint entry_active(const struct entry *); /* requests in progress */
guint entry_connections(const struct entry *); /* open connections */
/* Relays a keyed request of another node to its owner, this node. */
void entry_handle_keyed(
    struct entry *, struct rpcio_req *, const struct pt_keyed_args *);
/* Appends this part's counters in the text exposition format. */
void entry_metrics(struct entry *, GString *);

/* ---- serve.c: requests of entry nodes for the backend server ---- */
struct serve *serve_new(struct node *);
void serve_free(struct serve *);
void upstream_handle_forward(
    struct serve *, struct rpcio_req *, const struct pt_call *);
void upstream_handle_pull(
    struct serve *, struct rpcio_req *, const struct pt_pull_args *);
void upstream_handle_cancel(
    struct serve *, struct rpcio_req *, const struct pt_pull_args *);
/*
 * The same for calls of this process's own callers, on connection 0.  Each
 * callback is made exactly once, possibly at once.  "copy": the call does not
 * stay valid until it is answered.
 */
typedef void (*upstream_answer_cb)(void *arg, const struct pt_answer *);
typedef void (*upstream_pull_cb)(void *arg, const struct pt_pull_res *);
void upstream_call(struct serve *, guint64 conn, const struct pt_call *,
    gboolean copy, upstream_answer_cb, void *arg);
void upstream_pull(
    struct serve *, guint64 conn, guint id, upstream_pull_cb, void *arg);
void upstream_cancel(struct serve *, guint64 conn, guint id);
/* A connection closed: its calls are cancelled. */
void upstream_conn_closed(struct serve *, guint64 conn);
/* The backend server's announcement or the configuration changed. */
void upstream_update(struct serve *);
guint upstream_active(const struct serve *); /* queued, running and streaming */
void upstream_metrics(struct serve *, GString *);

/* ---- admin.c: counters and announcements over HTTP ---- */
struct admin *admin_new(struct node *, GError **);
void admin_free(struct admin *);

/* ---- view.c: what routing knows of members and configuration ---- */
void routing_init(struct node *);
void routing_clear(struct node *);
/* A member changed: rebuilds its service's upstreams soon. */
void routing_member_changed(struct node *, const struct memb_member *);
/* A new version is in force: rebuilds everything that depends on it. */
void routing_config_changed(struct node *);

/* ---- backend.c: announcements of the backend server ---- */
/* Takes an announcement; PT_ERROR_PARSE naming field, value and remedy. */
gboolean backend_apply(struct node *, const char *json, gsize len, GError **);
/* Announces own state again after a change of readiness or draining. */
void backend_publish_state(struct node *);
/* An operator drains the upstream, or ends that. */
void backend_drain(struct node *, gboolean on);
/* Takes the backend server as gone after too long a silence. */
void backend_expire(struct node *);

/* ---- control.c: RPC dispatch; ctx is a struct control ---- */
struct control *control_new(struct node *);
void control_free(struct control *);
void control_handle(
    void *ctx, struct rpcio_req *, guint proc, const void *args);
void control_closed(void *ctx, guint64 conn);

/* ---- sync.c: membership and distribution on the transports ---- */
gboolean sync_start(struct node *, GError **);
void sync_stop(struct node *);

/* ---- stop.c: graceful shutdown ---- */
/* Starts it; the main loop ends when no request is in progress. */
void stop_begin(struct node *);
