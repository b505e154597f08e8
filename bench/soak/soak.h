/*
 * Randomized soak of ptproxy: the nodes are real processes; the driver contains
 * the store, the backend servers, the callers and the fault injection.  Include
 * <gio/gio.h>, <rpc/rpc.h>, <sys/queue.h>, "port.h", "rpcio.h" and "h1.h"
 * before this header.  Times are microseconds.
 */

#define SOAK_SECOND G_TIME_SPAN_SECOND
#define SOAK_NODES_MAX 240
#define SOAK_SERVICES 2

/* Ports of each node; each node has its own address. */
enum {
	SOAK_OUTBOUND = 8601,
	SOAK_INBOUND,
	SOAK_READY,
	SOAK_CONTROL,
	SOAK_BACKEND, /* forwarder to the backend server */
	SOAK_SERVER, /* backend server */
	SOAK_STORE, /* forwarder to the store */
	SOAK_PORT_FIRST = 8610,
	SOAK_PORT_LAST = 8615
};

struct soak;

/* ---- link.c: TCP forwarder with faults ---- */

enum link_mode {
	LINK_PASS,
	LINK_DELAY, /* bytes to the server are delayed by 50 ms */
	LINK_DROP_ANSWERS, /* bytes from the server are dropped */
	LINK_BLACKHOLE, /* bytes are dropped in both directions */
	LINK_RESET, /* open and new connections are reset */
	LINK_MODES
};

struct link;
struct link *link_new(const char *host, guint port, const char *to_host,
    guint to_port, GError **);
void link_set(struct link *, enum link_mode);
void link_free(struct link *);

/* ---- store.c: the platform's store ---- */

enum store_mode {
	STORE_UP,
	STORE_BUSY, /* answers 503 */
	STORE_SLOW, /* delays each answer by 300 ms */
	STORE_MODES
};

struct store;
struct store *store_new(const char *host, guint port, GError **);
void store_set(struct store *, enum store_mode);
void store_put(
    struct store *, const char *topic, const char *key, const char *value);
void store_free(struct store *);

/* ---- server.c: backend servers ---- */

struct server;
struct server *server_new(struct soak *, guint i, GError **);
/* Replaces the server with a new incarnation without any state. */
void server_restart(struct server *);
/* Announces a drain, then is replaced with a new incarnation. */
void server_drain(struct server *);
void server_free(struct server *);
const char *server_service(guint i);

/* ---- caller.c: callers ---- */

struct caller;
struct caller *caller_new(struct soak *, guint i);
void caller_free(struct caller *);

/* ---- soak.c: nodes, faults, checks ---- */

struct soak_node {
	GSubprocess *process; /* NULL: not running */
	char *settings; /* path */
	gboolean slow_heartbeat; /* the settings have the longer heartbeat */
	/* State changes still to make by a flapping backend server. */
	guint flaps;
	gboolean stopping, paused;
	gint64 restart_at; /* time of the next start, 0: running */
	gint64 planned_until; /* end of the grace time of a stop, 0: none */
	struct link *store_link, *backend_link;
	struct server *server;
	struct caller *caller;
};

/* Executions and refusals of a request, by its id. */
struct outcome {
	guint runs;
	gboolean refused; /* answered as not run */
};

struct soak {
	GRand *rand;
	guint n;
	guint seed;
	gboolean planned_only; /* planned events only, no faults */
	gboolean recovery; /* no more faults are injected */
	struct soak_node node[SOAK_NODES_MAX];
	struct store *store;
	GHashTable *outcomes; /* id -> struct outcome */
	gint64 version;
	guint requests, ok, refused, failed, recovery_requests, recovery_ok;
	guint violations;
	GString *report;
};

char *soak_host(guint i);
struct outcome *soak_outcome(struct soak *, const char *id);
/* Reports a violated guarantee; the text names it and the request id. */
void soak_violation(struct soak *, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/*
 * Body with which a backend server answers the request with this id; it is also
 * the value of the signature header.
 */
char *soak_body(const char *id);
