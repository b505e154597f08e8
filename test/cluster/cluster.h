/*
 * Simulated cluster: whole nodes in one process, on a virtual clock.  These
 * fakes replace the functions of the adapters; everything above the adapters is
 * the production code.  Tests inject faults by setting members of the structs
 * below.  Include what "node.h" needs, and "node.h", before this header.
 */

#define CLUSTER_MS G_GINT64_CONSTANT(1000)
#define CLUSTER_S G_GINT64_CONSTANT(1000000)
#define CLUSTER_NODES_MAX 128

/* ---- the log ---- */

struct cluster_stream {
	GPtrArray *records; /* GBytes; the first is at offset "oldest" */
	gint64 oldest;
};

struct cluster_log {
	GHashTable *streams; /* stream name to struct cluster_stream */
	gboolean down;
	gint64 slow_us; /* delay added to every response */
	guint lose_responses; /* appends that succeed without a response */
	guint refuse; /* number of appends to refuse */
	guint64 requests;
	gint64 last_read_us;
};

/* ---- backend servers ---- */

struct cluster_backend {
	guint index; /* of the node it belongs to */
	char *url;
	gboolean up;
	gboolean shed; /* rejects requests with "not run" */
	gboolean cut_response; /* closes the connection within the response */
	gboolean drop_response; /* runs a request, closes without a response */
	gboolean silent; /* runs requests and never responds */
	gboolean false_health; /* announces "serving", responds with 500 */
	int status; /* of responses to requests that ran, 0: 200 */
	gboolean marks_runs; /* these responses bear Pt-Not-Run, too */
	/* A request whose path begins with it ends the server; NULL: none. */
	const char *ends_at;
	guint ends; /* times that the server has ended */
	/* Prefix of the paths of its service; NULL: not checked. */
	const char *paths;
	guint foreign; /* requests that it got with other paths */
	/* Header Pt-Organisation of the latest request, empty: none. */
	char organisation[PT_NAME_MAX + 1];
	gint64 service_us;
	gsize response_len;
	guint slots;
	guint running, most_running;
	guint64 served, cancelled;
	gint64 last_start; /* time when the latest request started */
	enum pt_state state; /* announced every second */
	gboolean announces;
};

/* ---- nodes ---- */

struct cluster_node {
	struct node n;
	struct cluster_backend b;
	char *name, *host, *domain, *region, *service;
	guint index;
	guint generation; /* incremented at each start and end of the process */
	gboolean up;
	gboolean paused;
	gboolean stopped; /* the graceful shutdown is complete */
	guint group; /* nodes of different groups cannot reach each other */
	gboolean log_cut; /* the node cannot reach the log */
	gboolean was_ready;
	gint64 newest_at_start; /* version in force elsewhere when it started */
	gint64 highest; /* version in force here, 0: none since the start */
	gint64 since; /* time when "highest" was first observed, in us */
	/* Version in force for IN_FORCE_US before "highest", 0: none. */
	gint64 settled_before;
};

/* ---- callers ---- */

struct cluster_call {
	gboolean done; /* the response is complete */
	gboolean refused; /* connection refused: the node does not listen */
	gboolean reset; /* closed before the response was complete */
	guint status;
	char *outcome; /* header field Pt-Outcome, NULL: none */
	gboolean marked; /* header field Pt-Not-Run was sent */
	gboolean close; /* header field "Connection: close" was sent */
	GString *body;
	gint64 length; /* Content-Length, -1: none */
	gint64 begun, ended;
	char *key; /* idempotency key, NULL: none */
	/* Headers Pt-Key and Pt-Organisation; NULL: none.  Set after the call.
	 */
	const char *org_key, *claimed;
	guint serial; /* request number, repeated in the response body */
	guint at; /* node that receives the request */
	struct httpio_req *req;
};

/*
 * Fault of the next RPC of procedure "proc" between nodes.  A fault of
 * PT_FORWARD applies to the next call with an idempotency key.
 */
struct cluster_rpc_fault {
	guint proc; /* 0: no fault */
	gboolean lose_request, lose_reply;
	gboolean duplicate; /* a delayed copy of the request arrives as well */
	gint64 delay_us; /* added to the request, or to its copy */
};

struct cluster {
	gint64 now;
	guint64 seq;
	GRand *rand;
	GSequence *queue;
	GHashTable *timers; /* event id to its iterator in "queue" */
	guint next_id;
	gint current; /* node whose code runs, CLUSTER_NO_NODE: none */
	struct cluster_log log;
	struct cluster_node nodes[CLUSTER_NODES_MAX];
	guint n;
	double loss; /* probability that a datagram is lost */
	double dup; /* probability that a datagram is delivered twice */
	gint64 delay_min, delay_max; /* one way, in us */
	struct cluster_rpc_fault fault;
	GHashTable *runs; /* idempotency key to number of executions */
	GHashTable *ran_serials; /* serials of the requests that ran */
	GPtrArray *calls; /* struct cluster_call */
	GPtrArray *submits;
	guint64 swapped_responses; /* responses to another request */
	guint64 short_responses; /* truncated, but ended as complete */
	guint64 early_ready; /* nodes that became ready with an old version */
	guint64 false_refusals; /* "not run" reported for a request that ran */
	guint64 repeated_keys; /* requests that ran again under the same key */
	guint64 version_decreases; /* a node went back to an older version */
	guint64 dangling_routes; /* routes with an undefined service or rank */
	guint64 differing_digests; /* versions whose digests differ */
	GHashTable *digests; /* position in the log to digest */
	const char *secret; /* a key of an organisation, NULL: none */
	guint64 leaks; /* messages between nodes, events and requests with it */
	gboolean verbose;
};

extern struct cluster cluster;

void cluster_new(guint32 seed);
void cluster_free(void);

/* Adds an instance with its backend server; not started yet. */
guint cluster_add(const char *domain, const char *region, const char *service);
void cluster_start(guint i);
void cluster_kill(guint i); /* ends the process at once */
void cluster_pause(guint i);
void cluster_resume(guint i);
void cluster_stop(guint i); /* begins a graceful shutdown, as SIGTERM does */

void cluster_run(gint64 us);
/* Runs until the condition holds; FALSE if it does not within max_us. */
gboolean cluster_run_until(gboolean (*cond)(void), gint64 max_us);

/* Submits a change set made from declarations through a node. */
void cluster_submit(guint at, const char *declarations, pt_id id,
    struct pt_outcome *out, gboolean *answered);
/* Encodes the change set that turns a node's state into declarations. */
GBytes *cluster_encode_change(guint at, const char *declarations, pt_id id);
gint64 cluster_append(const char *stream, GBytes *record);
void cluster_trim(const char *stream, gint64 oldest);
/* Number of records appended to a stream, including trimmed ones. */
gint64 cluster_appended(const char *stream);
/* Number of retained records of stream "config" with this id. */
guint cluster_count_id(const pt_id id);

/* Sends a caller's request to a node's HTTP port. */
struct cluster_call *cluster_call(
    guint at, const char *method, const char *path, const char *key);
/* Closes the caller's connection. */
void cluster_close_call(struct cluster_call *);
/* Issues an idempotency key at a node; NULL if it is refused. */
char *cluster_issue_key(guint at);
guint cluster_key_runs(const char *key);

/* TRUE if the request, or one with the same key, ran at a backend server. */
gboolean cluster_call_ran(const struct cluster_call *);

gboolean cluster_all_ready(void);
/* TRUE if every running node has this version or a newer one. */
gboolean cluster_converged(gint64 version);
/* The newest version in force at a running node. */
gint64 cluster_newest_version(void);

/* ---- shared by the files of this folder ---- */

enum cluster_owner {
	CLUSTER_NO_NODE = -1
};

/*
 * Schedules run(arg) in "delay" us, as code of node "owner" or of no node.  If
 * that node is restarted or ends before, drop(arg) is called instead.
 */
guint cluster_schedule(gint64 delay, gint owner, void (*run)(void *),
    void (*drop)(void *), void *arg);
void cluster_unschedule(guint id);
gboolean cluster_reachable(gint a, gint b);
gint64 cluster_delay(void);
gint cluster_find_host(const char *host);
void cluster_reset_calls(guint i);
void cluster_check_nodes(void);
/* Counts a leak if the bytes hold the secret. */
void cluster_check_leak(const char *data, gsize len);
/* Calls a function as code of the given node. */
void cluster_run_as(gint owner, void (*fn)(void *), void *arg);
