/*
 * ptproxy: the node that runs beside a backend server on a platform whose
 * store holds each configuration as one document.  It connects the decision
 * libraries (core/) with the adapters.  Include the headers of the libraries
 * before this one.
 */

/* Time-outs that are not in the settings. */
#define CONNECT_PEER_MS 300 /* several round trips between failure domains */
#define CONNECT_BACKEND_MS 1000
#define IDLE_PEER_MS 20000
#define IDLE_BACKEND_MS 9000

struct proxy;

/* ---- fwd.c: a request that is forwarded to a backend server ---- */

/*
 * A request as this node sends it.  A retry sends the same structure again:
 * only "refs", "repeat" and "end" change after it was created.
 */
struct fwd {
	guint refs;
	struct h1_head *head; /* received from the caller or a node */
	GBytes *body;
	char *attempt_id;
	char *route;
	char *service;
	char *caller_service; /* service that sent the request */
	/* Times on this process's clock. */
	gint64 deadline;
	gint64 target; /* time by which a response is worth most */
	gint64 end; /* the caller's node ends then, 0: not known */
	int priority;
	gboolean once; /* must not run twice */
	gboolean caller_retry; /* probable retry of a refused request */
	gboolean repeat; /* an upstream may have run it before */
	char *org; /* organisation of the caller, or NULL */
	struct rtab_key key; /* of that organisation */
	gint64 version; /* of the configuration that has the key */
	gboolean has_digest; /* "digest" is set, see quarantine_digest() */
	pt_id digest;
};

struct fwd *fwd_ref(struct fwd *);
void fwd_unref(struct fwd *);

/* Appends the request line and the caller's fields; more may follow. */
void fwd_put_head(GString *, const struct fwd *);
/*
 * Ends the head and frees the string; sets "request", which the caller
 * releases, and "body" of the options, which belongs to the request.
 */
void fwd_finish(GString *, const struct fwd *, struct h1_call_opts *);
/* Appends the status line and the end-to-end fields of a response. */
void response_put_head(GString *, const struct h1_head *);
/* TRUE if a response to the request with this status has no body. */
gboolean response_bodyless(const struct h1_head *request, int status);
void chunk_put(GString *, const char *, gsize);

/*
 * Counts bytes of request bodies that this process holds.  FALSE: all bodies
 * would take more than a quarter of its memory; the bytes are not counted.
 */
gboolean bodies_add(struct proxy *, gsize);
void bodies_remove(struct proxy *, gsize);
/*
 * Takes the bytes of a body without a copy; the array is empty after it.
 * *counted bytes, as counted by bodies_add(), remain so until the last
 * reference is released, and *counted becomes 0.  The proxy must outlive the
 * body.
 */
GBytes *body_take(struct proxy *, GByteArray **, gsize *counted);
/*
 * Responses that peers have not read take more than a quarter of the memory: no
 * request is accepted, and connections whose peers read nothing are closed.
 */
gboolean output_full(const struct proxy *);
/* Queued output of a caller above which its response is not read on. */
gsize output_high_water(const struct proxy *);

/* Load that the node of an upstream reports with each response. */
struct report {
	struct pt_load load;
	int wait_ms[PT_RANKS_MAX]; /* load.wait_ms points here */
	gint64 cost; /* expected time of the route, in us, 0: not known */
	double limit; /* requests a second that it takes, -1: no limit */
	gboolean has_work; /* the next one is set */
	struct lb_work work;
};

/* What is known of a request whose exchange failed. */
enum failure_kind {
	FAIL_UNREACHED, /* nothing was sent to the node */
	FAIL_REFUSED, /* the node did not send it to its backend server */
	FAIL_REJECTED, /* the backend server did not run it */
	FAIL_LOST /* it may have run */
};

struct failure {
	enum failure_kind kind;
	const char *reason; /* one word, for logs and other nodes */
	int retry_ms; /* time until a slot may be free, 0: not known */
	const struct report *report; /* may be NULL */
};

/*
 * Reason of a failure: the response has a status that promises "not run", and
 * nothing proves it.
 */
#define UNPROVED_REFUSAL "unproved-refusal"

/* Callbacks run from the main loop, never from within a submit function. */
struct xchg_ops {
	/*
	 * The response to a request that ran.  Its status never promises "not
	 * run": such an exchange fails.
	 */
	void (*head)(void *ctx, struct h1_head *, const struct report *);
	void (*body)(void *ctx, const char *, gsize);
	void (*end)(void *ctx);
	void (*fail)(void *ctx, const struct failure *);
	/*
	 * Called when the other node has stopped responding, also to probes.
	 * TRUE: fail the exchange; FALSE: wait on for the response.  If the
	 * pointer is NULL, the exchange fails.
	 */
	gboolean (*silent)(void *ctx);
};

/* An exchange with a backend server, at this node or through another. */
struct xchg {
	void (*cancel)(struct xchg *);
	void (*pause)(struct xchg *, gboolean);
	/* TRUE: it has not started, and will not after cancel(); may be NULL */
	gboolean (*waiting)(const struct xchg *);
};

/*
 * Cancels an exchange; no callback follows.  At the backend server of this
 * node, a request that must not run twice is not interrupted once it has
 * started.
 */
void xchg_cancel(struct xchg *);
void xchg_pause(struct xchg *, gboolean);
/* TRUE if the request is known not to run after xchg_cancel(). */
gboolean xchg_waiting(const struct xchg *);

/* ---- peerhdr.c: header fields between nodes ---- */

/*
 * TRUE for the names of these fields, which are removed from the messages of
 * callers and backend servers.
 */
gboolean peerhdr_field(const char *name);
void peerhdr_request_put(
    GString *, const struct fwd *, const char *to, gint64 now);

struct peerhdr_request {
	char *to; /* instance that the request is sent to */
	char *route;
	char *service;
	char *caller; /* service that sent the request */
	gint64 remaining; /* time until the deadline, in us */
	gint64 target_remaining; /* time until the target, in us */
	gint64 end_remaining; /* time until the sender ends, -1: not known */
	int priority;
	char *org; /* NULL: none */
	struct rtab_key key;
	gint64 version;
	gboolean once, caller_retry, repeat;
};

gboolean peerhdr_request_read(const struct h1_head *, struct peerhdr_request *);
void peerhdr_request_clear(struct peerhdr_request *);

/* Version in force at a node, and the time since it was current, -1: unknown.
 */
void peerhdr_config_put(GString *, gint64 version, gint64 age);
/* FALSE: absent, or the age is not known. */
gboolean peerhdr_config_read(
    const struct h1_head *, gint64 *version, gint64 *age);

/*
 * A message that names requests, which the receiver is to refuse unless they
 * are over when the sender ends, in "remaining" us.
 */
GBytes *peerhdr_recall(const GPtrArray *attempt_ids, gint64 remaining);
gboolean peerhdr_recall_read(const struct h1_head *, gint64 *remaining);

/*
 * What the backend server of the receiver (in a request) or of the sender (in a
 * response) says of itself.  A response carries it if the request did, or if it
 * restricts requests.
 */
void peerhdr_statement_put(GString *, const struct reg_statement *);
/* TRUE if there is one; release it with reg_statement_clear(). */
gboolean peerhdr_statement_read(const struct h1_head *, struct reg_statement *);

void peerhdr_report_put(GString *, const struct report *);
gboolean peerhdr_report_read(const struct h1_head *, struct report *);
void peerhdr_failure_put(GString *, const struct failure *);
gboolean peerhdr_failure_read(
    const struct h1_head *, struct failure *, char **why);

/* ---- backend.c: the backend server beside this node ---- */

struct backend;
struct backend *backend_new(struct proxy *);
void backend_free(struct backend *);
/*
 * To be called after a change of the registration, the settings, the
 * configuration or the stopping state.
 */
void backend_update(struct backend *);
struct xchg *backend_submit(
    struct backend *, struct fwd *, const struct xchg_ops *, void *ctx);
/*
 * Load of the server, and cost of a route unless "route" is NULL.  The work of
 * a single request is not set.
 */
void backend_report(struct backend *, const char *route, struct report *);
guint backend_busy(const struct backend *);
guint backend_running(const struct backend *);
/*
 * Asks the server for its health.  NULL: the configuration has no path for it.
 */
struct h1_fetch *backend_query(
    struct backend *, guint timeout_ms, h1_fetch_cb, void *ctx);
guint64 backend_connections(const struct backend *);
/* FALSE after a connection attempt to the server failed. */
gboolean backend_up(const struct backend *);
/* The server has responded or announced itself. */
void backend_mark_up(struct backend *);
void backend_sweep(struct backend *);
struct h1_pool *backend_pool(struct backend *);

/* Refuses the queued requests whose keys were taken away. */
void backend_drop_revoked(struct backend *);
/* Refuses the queued requests that are in quarantine. */
void backend_drop_quarantined(struct backend *);
/*
 * The process that awaits the response ends at "end": refuses the request if it
 * waits and is not expected to be over by then.  TRUE: it waits, or waited.
 */
gboolean backend_recall(struct xchg *, gint64 end);
/* Fails all requests: this process ends. */
void backend_end(struct backend *);
/* Longest likely time of a request at the server, 0: not known. */
gint64 backend_longest(const struct backend *);

/* ---- keys.c: keys of organisations ---- */

/* Reason of a refusal: the key was taken away, no other upstream is tried. */
#define KEY_REVOKED "key-revoked"

enum key_verdict {
	KEY_ACCEPTED,
	KEY_UNKNOWN, /* missing, or no organisation has it */
	KEY_UNCERTAIN /* the configuration may be too old to tell */
};

/* The organisation of an accepted key; all zero: none. */
struct key_holder {
	char *org; /* freed by the caller */
	struct rtab_key key;
	gint64 version; /* of the configuration */
};

struct keys;
struct keys *keys_new(struct proxy *);
void keys_free(struct keys *);
/* Checks the key of a request, NULL: it has none. */
enum key_verdict keys_check(struct proxy *, const struct rtab_route *,
    const char *key, struct key_holder *);
/* TRUE if the configuration in force lacks the key of a request. */
gboolean keys_revoked(const struct proxy *, const struct fwd *);
/* FALSE: the configuration may be too old to accept keys. */
gboolean keys_accepted(const struct proxy *);
/* Time since the configuration was current, -1: not known. */
gint64 keys_config_age(const struct proxy *);
/* Tells another node how current the configuration here is, in a response. */
void keys_put_age(const struct proxy *, GString *);
/* The response to a request that was sent at "asked_at". */
void keys_heard_age(struct proxy *, const struct h1_head *, gint64 asked_at);

/* ---- shards.c: which node owns a shard of the limits ---- */

struct shards;
struct shards *shards_new(struct proxy *, struct limit_ledger *);
void shards_free(struct shards *);
/* Gives all shards up: this process ends. */
void shards_stop(struct shards *);
/* Instance that owns a shard, as far as known; NULL: not known. */
const char *shards_owner(const struct shards *, guint shard);
/* The instance named as the owner does not respond, or is not the owner. */
void shards_forget(struct shards *, guint shard);
/* Fills in the owners, and takes them from a response. */
void shards_tell(const struct shards *, struct pt_limit_res *);
void shards_heard(struct shards *, const struct pt_limit_res *);
/*
 * The node "to" has been assigned the shards of a set, a bit for each, in this
 * generation.  TRUE: this node issues no more tokens of them.
 */
gboolean shards_release(
    struct shards *, guint32 set, gint64 generation, const char *to);

/* ---- limits.c: limits of organisations over all nodes ---- */

struct limits;
struct limits *limits_new(struct proxy *);
void limits_free(struct limits *);
void limits_stop(struct limits *);
/*
 * Takes a token for a request, see limit_take(); "org" NULL: none is needed.
 * *token is 0 if no token was taken.
 */
enum limit_verdict limits_take(struct limits *, const char *org,
    struct limit_wait *, gint64 *retry, gint64 *token);
/* The request was refused as not run. */
void limits_give_back(struct limits *, const char *org, gint64 token);
/* Answers a call of another node; release the answer with limits_clear(). */
void limits_handle(
    struct limits *, const struct pt_limit_args *, struct pt_limit_res *);
void limits_clear(struct pt_limit_res *);
void limits_put_metrics(const struct limits *, GString *);

/* ---- quarantine.c: requests that end the servers that run them ---- */

struct httpd_response;
/* Reason of a refusal: no other upstream is tried. */
#define QUARANTINED "quarantined"

struct quarantine;
struct quarantine *quarantine_new(struct proxy *);
void quarantine_free(struct quarantine *);
/* TRUE if the request is refused, with the time until it may be sent again. */
gboolean quarantine_refuses(struct quarantine *, struct fwd *, int *retry_ms);
/* Logs and counts a request that this node refuses its caller. */
void quarantine_refused(struct quarantine *, struct fwd *);
/* TRUE if a server has ended beside the request. */
gboolean quarantine_suspects(struct quarantine *, struct fwd *);
/* The request was at work at a process of the server and got no answer. */
void quarantine_lost(struct quarantine *, guint process, struct fwd *);
void quarantine_completed(struct quarantine *, guint process, struct fwd *);
/* That process is gone without notice. */
void quarantine_ended(struct quarantine *, guint process);
/* A node has started: it may not know what the others know. */
void quarantine_tell(struct quarantine *, const char *instance);
void quarantine_heard(struct quarantine *, const void *data, gsize len);
/* Lists the entries, and lifts one: the operators' interface. */
void quarantine_handle(struct proxy *, const struct h1_head *,
    const GByteArray *body, struct httpd_response *);

/* ---- departures.c: backend servers that have left ---- */

struct departures;
struct departures *departures_new(struct proxy *);
void departures_free(struct departures *);
/* Tells other nodes of the newest departure at this node. */
void departures_announce(struct departures *);
/* Tells a node that has started what its former process acknowledged. */
void departures_tell(struct departures *, const char *instance);
void departures_heard(struct departures *, const void *data, gsize len);

/* ---- statement.c: what the backend server says with its answers ---- */

struct statements;
struct statements *statements_new(struct proxy *);
void statements_free(struct statements *);
/* An answer of the process "process", see reg_process(). */
void statements_answered(
    struct statements *, guint process, const struct plat_response *);
/* Another node has sent what it has heard. */
void statements_heard(struct statements *, const struct reg_statement *);
void statements_tick(struct statements *); /* to be called each second */

/* ---- adopt.c: a backend server that was running before this process ---- */

/*
 * Intervals of announcements after which an adopted server that has not
 * announced itself is dropped.
 */
#define ADOPT_INTERVALS 2

struct adopt;
struct adopt *adopt_new(struct proxy *);
void adopt_free(struct adopt *);
/*
 * Queries the server's health path, if no server is registered and the
 * configuration has the path.
 */
void adopt_query(struct adopt *);

/* ---- peer.c: requests sent to other nodes ---- */

struct peers;
struct peers *peers_new(struct proxy *);
void peers_free(struct peers *);
struct xchg *peers_submit(struct peers *, const struct memb_member *,
    struct fwd *, const struct xchg_ops *, void *ctx);
void peers_sweep(struct peers *);
/*
 * Asks the nodes to refuse the requests that wait there and are not expected to
 * be over at "end".  Call it again: it asks each node once, and after a failure
 * again.
 */
void peers_recall(struct peers *, gint64 end);
/* Asks a node for a response of any kind, unless that is under way. */
void peers_probe(struct peers *, const struct memb_member *);
/* Fails all exchanges: this process ends. */
void peers_end(struct peers *);

/* ---- inbound.c: requests from other nodes ---- */

struct inbound;
struct inbound *inbound_new(struct proxy *, GError **);
void inbound_free(struct inbound *);
guint inbound_busy(const struct inbound *);
/* Sends the complete answers that wait for the link: this process ends. */
void inbound_end(struct inbound *);
/* The port that it listens on, if that of the settings is 0. */
guint inbound_port(const struct inbound *);

/* ---- ingress.c: connections of callers; request.c: their requests ---- */

struct ingress;
struct ingress *ingress_new(struct proxy *, GError **);
void ingress_free(struct ingress *);
guint ingress_busy(const struct ingress *);
/* Applies the limits of a new configuration to the open connections. */
void ingress_update(struct ingress *);
/* The port that it listens on, if that of the settings is 0. */
guint ingress_port(const struct ingress *);
/*
 * Closes the idle connections; others close after their response.  Those that
 * were opened just now are spared, as their first request is on its way.
 */
void ingress_close_idle(struct ingress *);
/* Number of connections that ingress_close_idle() spares. */
guint ingress_awaited(const struct ingress *);
void ingress_close_listener(struct ingress *); /* stops accepting */
/* Refuses requests still being read whose answers would come too late. */
void ingress_refuse_late(struct ingress *);

struct caller_conn;
struct request;
struct request *request_new(
    struct proxy *, struct caller_conn *, struct h1_head *);
/* Adds a part of the body; FALSE: refused, a response was sent. */
gboolean request_body(struct request *, const char *, gsize);
void request_dispatch(struct request *);
/* Refuses a request that is not complete, if this process ends before it. */
void request_refuse_late(struct request *);
/* TRUE if a request that is not complete has passed its time. */
gboolean request_overdue(const struct request *, gint64 now);
/* The caller closed the connection: reason of request_abandon(). */
#define CALLER_LEFT "caller-left"
/* Ends a request; the status of the answer, 0: none, and "why" are logged. */
void request_abandon(struct request *, int status, const char *why);
void request_pause(struct request *, gboolean);

/* Functions that a request calls on its caller's connection. */
void caller_send(struct caller_conn *, const void *, gsize);
gsize caller_queued(const struct caller_conn *);
/* The response is complete; "keep": the connection stays open. */
void caller_done(struct caller_conn *, gboolean keep);
/* Resets the connection: the response cannot be completed. */
void caller_abort(struct caller_conn *);
/* This is the first request on the connection. */
gboolean caller_first_request(const struct caller_conn *);
/* The response needs "Connection: close". */
gboolean caller_closing(const struct caller_conn *);

/* ---- members.c: membership, and the upstreams of each service ---- */

gboolean members_start(struct proxy *, GError **);
/* Sets the callbacks and their context. */
void members_opts(struct proxy *, struct memb_opts *);
void members_stop(struct proxy *);
/* Announces the state of this node and its backend server. */
void members_announce(struct proxy *);
gboolean members_joined(const struct proxy *);
/*
 * TRUE if the upstreams of services are chosen by their remaining work, and
 * responses to other nodes report it.
 */
gboolean members_balance_by_work(guint slots);

/* ---- discovery.c: addresses of other nodes from the store ---- */

struct discovery;
struct discovery *discovery_new(struct proxy *);
void discovery_free(struct discovery *);
/* Deletes this node's entry in the store. */
void discovery_leave(struct discovery *);

/* ---- beacons.c: how recent the configuration is known to be ---- */

struct beacons;
/* NULL: the settings name no bound; the other functions then do nothing. */
struct beacons *beacons_new(struct proxy *);
void beacons_free(struct beacons *);
/* See core/beacon/beacon.h. */
void beacons_applied(struct beacons *, gint64 version);
void beacons_read(struct beacons *, gint64 at, gint64 delay);
void beacons_failed(struct beacons *, gint64 retry);
void beacons_heard(struct beacons *, const void *data, gsize len);
/* This node reads the store for all nodes, in cycles of beacons_wait_ms(). */
gboolean beacons_sending(const struct beacons *);
guint beacons_wait_ms(const struct beacons *);
/* Time since the configuration was known to be the newest, -1: not known. */
gint64 beacons_age(const struct beacons *);

/* ---- source.c: reads the configuration from the store and from nodes ---- */

struct source;
struct source *source_new(struct proxy *);
void source_free(struct source *);
/*
 * Schedules a fetch of the configuration, unless one is pending: another node
 * reported a newer version than the one in force.
 */
void source_notify(struct source *);
/*
 * Delay before this node fetches a version that another node reported.
 * "since": time since the version in force was applied, -1: none is in force;
 * "reads": this node reads the store itself; "spread": random in [0, 1).
 */
gint64 source_fetch_delay(gint64 since, gboolean reads, double spread);
/* Called each second: this node may have become a reader of the store. */
void source_tick(struct source *);
/*
 * Reads the store for a while: the reader "from" cannot reach it and has asked
 * this node to.
 */
void source_take_over(struct source *, const char *from);
/* Reads the store now: it ends with beacons_read() or beacons_failed(). */
void source_check(struct source *);
/* The node "by" reads the store in the place of this one. */
void source_covered(struct source *, const char *by);
void source_table(
    struct source *, const struct pt_table_args *, struct pt_table_res *);

/* ---- httpd.c: ports for probes, announcements and metrics ---- */

struct httpd;
struct httpd_response {
	int status;
	const char *type; /* media type, NULL: no body */
	char *body; /* freed by the server, may be NULL */
};

typedef void (*httpd_handler)(struct proxy *, const struct h1_head *,
    const GByteArray *body, struct httpd_response *);
struct httpd *httpd_new(
    struct proxy *, const char *host, guint port, httpd_handler, GError **);
void httpd_free(struct httpd *);

/* control.c */
void control_handle(struct proxy *, const struct h1_head *, const GByteArray *,
    struct httpd_response *);

/* ---- stats.c: counters and histograms ---- */

enum counter {
	STAT_REQUESTS,
	STAT_OK, /* responses of backend servers below 500 */
	STAT_FAILED_UPSTREAM, /* responses of backend servers, 500 and up */
	STAT_REFUSED, /* responses 503 of this node: the request did not run */
	/*
	 * Responses 502 and 504 of this node, and responses that were cut off:
	 * the request may have run.
	 */
	STAT_UNKNOWN,
	STAT_NO_ROUTE,
	STAT_BAD_REQUEST,
	STAT_CALLERS_LEFT, /* the caller closed the connection first */
	STAT_RETRIES, /* requests sent again after they may have run */
	STAT_MOVED, /* requests sent again that an upstream did not run */
	STAT_STRAY, /* responses with the id of another attempt, or none */
	STAT_CONTRADICTORY, /* responses that say "not run" without proof */
	STAT_BODY_MEMORY, /* requests refused as bodies take their memory */
	STAT_OUTPUT_MEMORY, /* requests refused as responses are not read */
	STAT_STALLED_CALLERS, /* connections closed for the same reason */
	STAT_ANNOUNCEMENTS,
	STAT_ANNOUNCEMENTS_REFUSED,
	STAT_STORE_ERRORS,
	STAT_BAD_LIMITS, /* answers with a limit that is not a number */
	STAT_SERVER_ENDS, /* the server ended while requests were at work */
	STAT_QUARANTINED, /* requests refused as they end servers */
	STAT_NO_KEY, /* responses 401: no key, or none that is known */
	STAT_LIMITED, /* responses 429: over the organisation's limit */
	STAT_LIMIT_UNKNOWN, /* requests refused as no owner of it responds */
	STAT_KEYS_UNCERTAIN, /* requests refused as keys cannot be checked */
	STAT_STALLED, /* runs at the server whose slots were reassigned */
	STAT_STALE_READS, /* reads of the store as no beacon was heard */
	STAT_LAST
};

struct stats;
struct stats *stats_new(void);
void stats_free(struct stats *);
void stats_add(struct stats *, enum counter);
void stats_time(struct stats *, int priority, gint64 us);
void stats_handle(struct proxy *, const struct h1_head *, const GByteArray *,
    struct httpd_response *);

/* ---- proxy.c ---- */

struct proxy {
	struct plat_settings *set;
	struct pt_clock clock;
	struct pt_events events;
	GRand *rand;
	gint64 started; /* identifies this run of the process */

	struct reg *reg;
	struct rtab *rtab; /* NULL: no configuration yet */
	struct rtab_fresh fresh;
	struct rtab_wrr *wrr;
	struct lb *lb;
	struct budget *budget;
	struct retry_times *retry_times;
	struct cost *sizes; /* bytes of responses by route */
	struct memb *memb;
	struct sys_ticker *memb_ticker;
	struct rpcio_dgram *dgram;
	struct rpcio_client *rpc_client;
	struct rpcio_server *rpc_server;
	struct pt_dgram dgram_iface; /* interface of "dgram" */
	struct pt_rpc rpc;
	GHashTable *dirty_services; /* names; their upstreams changed */
	guint rebuild_timer;

	struct plat_store *store;
	struct beacons *beacons; /* NULL: the settings name no bound */
	struct source *source;
	struct discovery *discovery;
	struct backend *backend;
	struct statements *statements;
	struct reg_table *heard; /* statements by instance */
	struct keys *keys;
	struct limits *limits;
	struct quarantine *quarantine;
	struct departures *departures;
	struct adopt *adopt;
	struct peers *peers;
	struct inbound *inbound;
	struct ingress *ingress;
	struct httpd *ready, *control, *metrics;
	struct stats *stats;
	gsize body_bytes; /* of the request bodies held */
	guint second_timer;

	gint64 started_at; /* start on the process's clock, see proxy_ready() */
	gboolean stopping;
	gboolean draining; /* the backend server gets no more requests */
	gboolean ended; /* all requests have been answered, more are refused */
	gint64 stop_at; /* time of the stop signal on the process's clock */
	guint stop_timer;
	void (*stopped)(void *);
	void *stopped_arg;
};

gboolean proxy_start(struct proxy *, GError **);
void proxy_release(struct proxy *);
/* Reads the settings file again. */
void proxy_reload(struct proxy *);
/* Puts a configuration in force; takes over the reference. */
void proxy_set_config(struct proxy *, struct rtab *);
gboolean proxy_ready(const struct proxy *);
/*
 * A random time of 75 to 125 % of "us", so that nodes that started together do
 * not call together.
 */
gint64 proxy_jitter(const struct proxy *, gint64 us);

/* ---- stop.c: graceful shutdown ---- */

/* Reason of a refusal: the process that awaits the response ends before it. */
#define STOPPING "stopping"

void stop_begin(struct proxy *);
/* What the shutdown waits for: requests, and answers not yet written. */
guint stop_busy(const struct proxy *);
/* Time from the stop signal until the last answers are sent. */
gint64 stop_end(gint64 grace);
/*
 * Time from the stop signal for which the backend server still gets requests of
 * other nodes: the last of them, which may take "longest", must end in time.
 */
gint64 stop_drain_delay(gint64 grace, gint64 longest);
/* Time until which answers of upstreams are awaited; 0: not stopping. */
gint64 stop_answers_until(const struct proxy *);
/* TRUE if a request with this deadline is not passed on any more. */
gboolean stop_refuses(const struct proxy *, gint64 deadline);
/* Time until callers use other nodes. */
int stop_retry_ms(const struct proxy *);
