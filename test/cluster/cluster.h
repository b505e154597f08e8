/*
 * Whole nodes in one process, on a paused clock: the adapters' functions are
 * replaced by these fakes, so that everything above them is the real code.
 * Faults are set in the structs below.  Include what "node.h" needs, and
 * "node.h", before this header.
 */

#define CLUSTER_MS G_GINT64_CONSTANT(1000)
#define CLUSTER_S G_GINT64_CONSTANT(1000000)
#define CLUSTER_NODES_MAX 128

/* ---- the log ---- */

struct cluster_stream {
	GPtrArray *records; /* GBytes, the first has offset "oldest" */
	gint64 oldest;
};

struct cluster_log {
	GHashTable *streams; /* name to struct cluster_stream */
	gboolean down;
	gint64 slow_us; /* added to every answer */
	guint lose_answers; /* appends whose answer is lost after the effect */
	guint refuse; /* appends refused */
	guint64 requests;
	gint64 last_read_us;
};

/* ---- backend servers ---- */

struct cluster_backend {
	guint index; /* of its node */
	char *url;
	gboolean up;
	gboolean shed; /* answers "not run" */
	gboolean cut_answer; /* closes in mid-answer */
	gboolean drop_answer; /* runs and closes without an answer */
	gboolean silent; /* runs, never answers */
	gboolean false_health; /* announces "serving" while it answers 500 */
	gint64 service_us;
	gsize answer_len;
	guint slots;
	guint running, most_running;
	guint64 served, cancelled;
	gint64 last_start; /* of the newest run */
	enum pt_state state; /* announced each second */
	gboolean announces;
};

/* ---- nodes ---- */

struct cluster_node {
	struct node n;
	struct cluster_backend b;
	char *name, *host, *domain, *region, *service;
	guint index;
	guint gen; /* number of this run of the process */
	gboolean up;
	gboolean paused;
	gboolean stopped; /* a graceful shutdown is complete */
	guint group; /* nodes of different groups do not reach each other */
	gboolean log_cut; /* does not reach the log */
	gboolean was_ready;
	gint64 newest_at_start; /* version in force elsewhere at its start */
	gint64 highest; /* version seen so far in this life */
	gint64 since; /* of that version, in us */
	gint64 settled_before; /* version settled before it */
};

/* ---- callers ---- */

struct cluster_call {
	gboolean done; /* the answer is whole */
	gboolean refused; /* no connection: the node does not listen */
	gboolean reset; /* the connection closed before that */
	guint status;
	char *outcome; /* header Pt-Outcome, NULL: none */
	gboolean close; /* header "Connection: close" */
	GString *body;
	gint64 length; /* announced, -1: not */
	gint64 begun, ended;
	char *key; /* NULL: not keyed */
	guint serial; /* identifies the request in its answer */
	guint at; /* node asked */
	struct httpio_req *req;
};

/* Fault of one RPC between nodes: of PT_FORWARD, the next keyed one. */
struct cluster_rpc_fault {
	guint proc; /* 0: none */
	gboolean lose_request, lose_reply;
	gboolean duplicate; /* a late copy of the request arrives too */
	gint64 delay_us; /* of the request, or of the copy */
};

struct cluster {
	gint64 now;
	guint64 seq;
	GRand *rand;
	GSequence *queue;
	GHashTable *timers; /* id to iterator */
	guint next_id;
	gint current; /* process whose code runs, -1: none */
	struct cluster_log log;
	struct cluster_node nodes[CLUSTER_NODES_MAX];
	guint n;
	double loss; /* of datagrams */
	double dup;
	gint64 delay_min, delay_max; /* one way */
	struct cluster_rpc_fault fault;
	GHashTable *runs; /* idempotency key to number of runs */
	GHashTable *ran_serials; /* serial of a request that ran */
	GPtrArray *calls; /* struct cluster_call */
	GPtrArray *submits;
	guint64 swapped_answers; /* answers that belong to another request */
	guint64 short_answers; /* ended as whole, but not whole */
	guint64 early_ready; /* nodes ready with an old version */
	guint64 false_refusals; /* "not run" for a request that ran */
	guint64 repeated_keys; /* keys that ran more than once */
	guint64 version_decreases; /* a version that went down */
	guint64
	    dangling_routes; /* a route without its service or rank in force */
	guint64 differing_digests; /* a version in force with another digest
				      elsewhere */
	GHashTable *digests; /* version to digest */
	gboolean verbose;
};

extern struct cluster cluster;

void cluster_new(guint32 seed);
void cluster_free(void);

/* Adds an instance with its backend server; not started yet. */
guint cluster_add(const char *domain, const char *region, const char *service);
void cluster_start(guint i);
void cluster_kill(guint i); /* the process ends at once */
void cluster_pause(guint i);
void cluster_resume(guint i);
void cluster_stop(guint i); /* SIGTERM */

void cluster_run(gint64 us);
/* Runs until the condition holds; returns FALSE if it does not in time. */
gboolean cluster_run_until(gboolean (*cond)(void), gint64 max_us);

/* Appends a change set from declarations, as an operator's node would. */
void cluster_submit(guint at, const char *declarations, pt_id id,
    struct pt_outcome *out, gboolean *answered);
/* Bytes of the change set that leads from a node's state to declarations. */
GBytes *cluster_encode_change(guint at, const char *declarations, pt_id id);
gint64 cluster_append(const char *stream, GBytes *record);
void cluster_trim(const char *stream, gint64 oldest);
/* Records ever appended to a stream. */
gint64 cluster_appended(const char *stream);
/* Records of stream "config" that are kept and have this id. */
guint cluster_count_id(const pt_id id);

/* Sends a caller's request to a node's HTTP port. */
struct cluster_call *cluster_call(
    guint at, const char *method, const char *path, const char *key);
/* Caller closes its connection. */
void cluster_close_call(struct cluster_call *);
/* Fetches an idempotency key from a node at once; NULL if it is refused. */
char *cluster_issue_key(guint at);
guint cluster_key_runs(const char *key);

/* The request, or one with its key, ran at a backend server. */
gboolean cluster_call_ran(const struct cluster_call *);

gboolean cluster_all_ready(void);
/* Every node that is up has the version and the same digest. */
gboolean cluster_converged(gint64 version);
gint64 cluster_newest_version(void);

/* ---- shared by the files of this folder ---- */

enum cluster_owner {
	CLUSTER_NO_NODE = -1
};

guint cluster_schedule(gint64 delay, gint owner, void (*run)(void *),
    void (*drop)(void *), void *arg);
void cluster_unschedule(guint id);
gboolean cluster_reachable(gint a, gint b);
gint64 cluster_delay(void);
gint cluster_find_host(const char *host);
void cluster_reset_calls(guint i);
void cluster_check_nodes(void);
/* Runs a function as the code of a process. */
void cluster_run_as(gint owner, void (*fn)(void *), void *arg);
