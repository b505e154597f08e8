/*
 * ptproxy: the node beside a backend server on a platform that keeps whole
 * configurations.  Wiring of decisions and adapters.  Include the headers of
 * the libraries before this one.
 */

/* Addresses and durations that the program sets itself. */
#define CONNECT_PEER_MS 300 /* several round trips between failure domains */
#define CONNECT_BACKEND_MS 1000
#define IDLE_PEER_MS 20000
#define IDLE_BACKEND_MS 9000

struct proxy;

/* ---- work.c: a request on its way to a backend server ---- */

/* Immutable but for its reference count, so that it can be sent again. */
struct work {
	guint refs;
	struct h1_head *head; /* as the caller sent it */
	GBytes *body;
	char *attempt_id;
	char *route;
	char *service;
	char *caller; /* service at which it originated */
	gint64 deadline; /* on this process's clock */
	gint64 target; /* time by which a response is worth most */
	int priority;
	gboolean once; /* must not run twice */
	gboolean returned; /* was probably refused before */
	gboolean repeat; /* has reached an upstream before */
};

struct work *work_ref(struct work *);
void work_unref(struct work *);

/* Request line and the caller's fields; more fields may follow. */
void work_put(GString *, const struct work *);
/* Ends the head, adds the body and takes the string over. */
GBytes *work_end(GString *, const struct work *);

/* Status line and the fields of an answer that are sent on. */
void answer_put(GString *, const struct h1_head *);
/* The answer to such a request has no body. */
gboolean answer_bodyless(const struct h1_head *request, int status);
void chunk_put(GString *, const char *, gsize);

/* What the node of an upstream tells with each answer. */
struct report {
	struct pt_load load;
	int wait_ms[PT_RANKS_MAX]; /* load.wait_ms points here */
	gint64 cost; /* time expected for the route, in us, 0: not known */
};

/* What is certain when an exchange fails. */
enum failure_kind {
	FAIL_UNREACHED, /* nothing was sent to the node */
	FAIL_REFUSED, /* the node did not pass it on */
	FAIL_REJECTED, /* the backend server did not run it */
	FAIL_LOST /* it may have run */
};

struct failure {
	enum failure_kind kind;
	const char *reason; /* a word for logs and counters */
	int retry_ms; /* when there may be room again, 0: not known */
	const struct report *report; /* may be NULL */
};

/* Callbacks come from the loop, never from within a submit function. */
struct xchg_ops {
	void (*head)(void *ctx, struct h1_head *, const struct report *);
	void (*body)(void *ctx, const char *, gsize);
	void (*end)(void *ctx);
	void (*fail)(void *ctx, const struct failure *);
	/*
	 * The other node shows no sign of life.  FALSE: wait for the answer
	 * all the same.  NULL: give the exchange up.
	 */
	gboolean (*silent)(void *ctx);
};

/* An exchange with a backend server, at this node or through another. */
struct xchg {
	void (*cancel)(struct xchg *);
	void (*pause)(struct xchg *, gboolean);
};

/* No callback follows; work that must not run twice goes on if it started. */
void xchg_cancel(struct xchg *);
void xchg_pause(struct xchg *, gboolean);

/* ---- hop.c: fields between nodes ---- */

/* Names that callers and backend servers cannot set. */
gboolean hop_field(const char *name);
void hop_request_put(
    GString *, const struct work *, const char *to, gint64 now);

struct hop_request {
	char *to; /* instance that the work is meant for */
	char *route;
	char *service;
	char *caller;
	gint64 left, target_left;
	int priority;
	gboolean once, returned, repeat;
};

gboolean hop_request_read(const struct h1_head *, struct hop_request *);
void hop_request_clear(struct hop_request *);

void hop_report_put(GString *, const struct report *);
gboolean hop_report_read(const struct h1_head *, struct report *);
void hop_failure_put(GString *, const struct failure *);
gboolean hop_failure_read(const struct h1_head *, struct failure *, char **why);

/* ---- backend.c: the backend server beside this node ---- */

struct backend;
struct backend *backend_new(struct proxy *);
void backend_free(struct backend *);
/* Registration, settings, configuration or stopping changed. */
void backend_update(struct backend *);
struct xchg *backend_submit(
    struct backend *, struct work *, const struct xchg_ops *, void *ctx);
/* "route" may be NULL. */
void backend_report(struct backend *, const char *route, struct report *);
guint backend_busy(const struct backend *);
guint64 backend_connections(const struct backend *);
/* The server takes connections, as far as this node has seen. */
gboolean backend_up(const struct backend *);
/* The server has announced itself again. */
void backend_heard(struct backend *);
void backend_sweep(struct backend *);
struct h1_pool *backend_pool(struct backend *);

/* ---- adopt.c: a backend server that runs when this process starts ---- */

struct adopt;
struct adopt *adopt_new(struct proxy *);
void adopt_free(struct adopt *);
/* Asks the server if none is held and a configuration tells how. */
void adopt_look(struct adopt *);

/* ---- peer.c: exchanges through other nodes ---- */

struct peers;
struct peers *peers_new(struct proxy *);
void peers_free(struct peers *);
struct xchg *peers_submit(struct peers *, const struct memb_member *,
    struct work *, const struct xchg_ops *, void *ctx);
void peers_sweep(struct peers *);

/* ---- serve.c: exchanges for other nodes ---- */

struct serve;
struct serve *serve_new(struct proxy *, GError **);
void serve_free(struct serve *);
guint serve_busy(const struct serve *);

/* ---- ingress.c: connections of callers; request.c: their requests ---- */

struct ingress;
struct ingress *ingress_new(struct proxy *, GError **);
void ingress_free(struct ingress *);
guint ingress_busy(const struct ingress *);
/* Closes connections that are idle, and announces it on the others. */
void ingress_stop(struct ingress *);
void ingress_close(struct ingress *); /* accepts no more connections */

struct caller;
struct request;
struct request *request_new(struct proxy *, struct caller *, struct h1_head *);
/* A part of the body; FALSE: refused, an answer was sent. */
gboolean request_body(struct request *, const char *, gsize);
void request_run(struct request *);
/* The caller has gone. */
void request_left(struct request *);
void request_pause(struct request *, gboolean);

/* What a request does to its caller's connection. */
void caller_send(struct caller *, const void *, gsize);
gsize caller_queued(const struct caller *);
/* The answer is complete; "keep": the connection stays open. */
void caller_done(struct caller *, gboolean keep);
/* The answer cannot be completed. */
void caller_abort(struct caller *);
/* No request was read on this connection before. */
gboolean caller_first(const struct caller *);
/* The answer should say that the connection closes. */
gboolean caller_closing(const struct caller *);

/* ---- members.c: membership, and upstreams to choose from ---- */

gboolean members_start(struct proxy *, GError **);
void members_stop(struct proxy *);
/* Announces the state of this node and its backend server. */
void members_announce(struct proxy *);
gboolean members_settled(const struct proxy *);

/* ---- meet.c: finding other nodes through the store ---- */

struct meet;
struct meet *meet_new(struct proxy *);
void meet_free(struct meet *);
/* Drops the entry of this node. */
void meet_leave(struct meet *);

/* ---- source.c: the configuration ---- */

struct source;
struct source *source_new(struct proxy *);
void source_free(struct source *);
/* Another node holds a newer version. */
void source_heard(struct source *);
/*
 * Time until the fetch of a version that another node told of.  "since": the
 * last version came that long ago, -1: there is none; "reads": this node waits
 * at the store; spread in [0, 1).
 */
gint64 source_wait(gint64 since, gboolean reads, double spread);
/* Called each second: the role of this node may have changed. */
void source_tick(struct source *);
void source_serve(
    struct source *, const struct pt_table_args *, struct pt_table_res *);

/* ---- plain.c: short requests on the ports of probes and announcements ---- */

struct plain;
struct plain_answer {
	int status;
	const char *type; /* media type, NULL: no body */
	char *body; /* taken over, may be NULL */
};

typedef void (*plain_handler)(struct proxy *, const struct h1_head *,
    const GByteArray *body, struct plain_answer *);
struct plain *plain_new(
    struct proxy *, const char *host, guint port, plain_handler, GError **);
void plain_free(struct plain *);

/* control.c */
void control_handle(struct proxy *, const struct h1_head *, const GByteArray *,
    struct plain_answer *);

/* ---- stats.c: counters and histograms ---- */

enum counter {
	STAT_REQUESTS,
	STAT_OK, /* answers of backend servers below 500 */
	STAT_FAILED_UPSTREAM, /* answers of backend servers from 500 on */
	STAT_REFUSED, /* not run */
	STAT_UNKNOWN, /* 502 and 504 of this node */
	STAT_NO_ROUTE,
	STAT_BAD_REQUEST,
	STAT_LEFT, /* the caller left first */
	STAT_RETRIES, /* sent to a further upstream after it may have run */
	STAT_MOVED, /* sent to a further upstream after a true "not run" */
	STAT_STRAY, /* responses of backend servers that belong to nothing */
	STAT_BEATS,
	STAT_BEATS_REFUSED,
	STAT_STORE_ERRORS,
	STAT_LAST
};

struct stats;
struct stats *stats_new(void);
void stats_free(struct stats *);
void stats_add(struct stats *, enum counter);
void stats_time(struct stats *, int priority, gint64 us);
void stats_handle(struct proxy *, const struct h1_head *, const GByteArray *,
    struct plain_answer *);

/* ---- proxy.c ---- */

struct proxy {
	struct plat_settings *set;
	struct pt_clock clock;
	struct pt_events events;
	GRand *rand;
	gint64 started; /* identifies this run of the process */

	struct reg *reg;
	struct rtab *rtab; /* NULL: no configuration yet */
	struct rtab_wrr *mix;
	struct lb *lb;
	struct budget *budget;
	struct returns *returns;
	struct cost *sizes; /* bytes of answers by route */
	struct memb *memb;
	struct sys_ticker *memb_ticker;
	struct rpcio_dgram *dgram;
	struct rpcio_client *rpc_client;
	struct rpcio_server *rpc_server;
	struct pt_dgram gram;
	struct pt_rpc rpc;
	GHashTable *dirty; /* services whose upstreams changed */
	guint rebuild;

	struct plat_store *store;
	struct source *source;
	struct meet *meet;
	struct backend *backend;
	struct adopt *adopt;
	struct peers *peers;
	struct serve *serve;
	struct ingress *ingress;
	struct plain *ready, *control, *metrics;
	struct stats *stats;
	guint second;

	gint64 up_at; /* on the process's clock */
	gboolean stopping;
	gboolean
	    draining; /* stopping, and no new work for the backend server */
	gint64 stop_at;
	guint stop_timer;
	void (*stopped)(void *);
	void *stopped_arg;
};

gboolean proxy_start(struct proxy *, GError **);
void proxy_release(struct proxy *);
/* Reads the settings file again. */
void proxy_reload(struct proxy *);
/* A new configuration is in force. */
void proxy_config(struct proxy *, struct rtab *);
gboolean proxy_ready(const struct proxy *);

/* stop.c: graceful shutdown */
void stop_begin(struct proxy *);
/*
 * Time from the stop signal for which the backend server takes new work of
 * others, so that it ends within the grace time.
 */
gint64 stop_serves(gint64 grace);
