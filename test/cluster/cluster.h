/*
 * Whole nodes in one process, on a paused clock: the adapters' functions are
 * replaced by these fakes, so that everything above them is the real code.
 * Faults are set in the structs below.  Include what "node.h" needs, and
 * "node.h", before this header.
 */

#define WORLD_MS G_GINT64_CONSTANT(1000)
#define WORLD_S G_GINT64_CONSTANT(1000000)
#define WORLD_NODES_MAX 128

/* ---- the log ---- */

struct world_stream {
	GPtrArray *records; /* GBytes, the first has offset "oldest" */
	gint64 oldest;
};

struct world_log {
	GHashTable *streams; /* name to struct world_stream */
	gboolean down;
	gint64 slow_us; /* added to every answer */
	guint lose_answers; /* appends whose answer is lost after the effect */
	guint refuse; /* appends refused */
	guint64 requests;
	gint64 last_read_us;
};

/* ---- backend servers ---- */

struct world_backend {
	guint index; /* of its node */
	char *url;
	gboolean up;
	gboolean shed; /* answers "not run" */
	gboolean die_mid; /* closes in mid-answer */
	gboolean die_lost; /* runs and closes without an answer */
	gboolean silent; /* runs, never answers */
	gboolean lies; /* announces "serving" while it answers 500 */
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

struct world_node {
	struct node n;
	struct world_backend b;
	char *name, *host, *domain, *region, *service;
	guint index;
	guint life; /* number of this run of the process */
	gboolean up;
	gboolean paused;
	gboolean stopped; /* a graceful shutdown is complete */
	guint group; /* nodes of different groups do not reach each other */
	gboolean log_cut; /* does not reach the log */
	gboolean was_ready;
	gint64 newest_at_start; /* version in force elsewhere at its start */
	gint64 highest; /* version seen so far in this life */
	gint64 since; /* of that version, in us */
	gint64 former; /* version settled before it */
};

/* ---- callers ---- */

struct world_call {
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
struct world_rpc_fault {
	guint proc; /* 0: none */
	gboolean lose_request, lose_reply;
	gboolean duplicate; /* a late copy of the request arrives too */
	gint64 delay_us; /* of the request, or of the copy */
};

struct world {
	gint64 now;
	guint64 seq;
	GRand *rand;
	GSequence *queue;
	GHashTable *timers; /* id to iterator */
	guint next_id;
	gint owner; /* process whose code runs, -1: none */
	struct world_log log;
	struct world_node nodes[WORLD_NODES_MAX];
	guint n;
	double loss; /* of datagrams */
	double dup;
	gint64 delay_min, delay_max; /* one way */
	struct world_rpc_fault fault;
	GHashTable *runs; /* idempotency key to number of runs */
	GHashTable *ran_serials; /* serial of a request that ran */
	GPtrArray *calls; /* struct world_call */
	GPtrArray *submits;
	guint64 wrong_answers; /* answers that belong to another request */
	guint64 short_answers; /* ended as whole, but not whole */
	guint64 early; /* nodes ready with an old version */
	guint64 false_refusals; /* "not run" for a request that ran */
	guint64 doubled; /* keys that ran more than once */
	guint64 version_down; /* a version that went down */
	guint64 dangling; /* a route without its service or rank in force */
	guint64 partial; /* a version in force with another digest elsewhere */
	GHashTable *digests; /* version to digest */
	gboolean verbose;
};

extern struct world W;

void world_new(guint32 seed);
void world_free(void);

/* Adds an instance with its backend server; not started yet. */
guint world_add(const char *domain, const char *region, const char *service);
void world_start(guint i);
void world_kill(guint i); /* the process ends at once */
void world_pause(guint i);
void world_resume(guint i);
void world_stop(guint i); /* SIGTERM */

void world_run(gint64 us);
/* Runs until the condition holds; returns FALSE if it does not in time. */
gboolean world_until(gboolean (*cond)(void), gint64 max_us);

/* Appends a change set from declarations, as an operator's node would. */
void world_submit(guint at, const char *declarations, pt_id id,
    struct pt_outcome *out, gboolean *answered);
/* Bytes of the change set that leads from a node's state to declarations. */
GBytes *world_change(guint at, const char *declarations, pt_id id);
gint64 world_append(const char *stream, GBytes *record);
void world_trim(const char *stream, gint64 oldest);
/* Records ever appended to a stream. */
gint64 world_appended(const char *stream);
/* Records of stream "config" that are kept and have this id. */
guint world_id_count(const pt_id id);

/* Sends a caller's request to a node's HTTP port. */
struct world_call *world_call(
    guint at, const char *method, const char *path, const char *key);
/* Caller closes its connection. */
void world_hang_up(struct world_call *);
/* Fetches an idempotency key from a node at once; NULL if it is refused. */
char *world_key(guint at);
guint world_key_runs(const char *key);

/* The request, or one with its key, ran at a backend server. */
gboolean world_ran(const struct world_call *);

gboolean world_all_ready(void);
/* Every node that is up has the version and the same digest. */
gboolean world_converged(gint64 version);
gint64 world_top_version(void);

/* ---- shared by the files of this folder ---- */

enum world_owner {
	WORLD_OUTSIDE = -1
};

guint world_post(gint64 delay, gint owner, void (*run)(void *),
    void (*drop)(void *), void *arg);
void world_unpost(guint id);
gboolean world_reaches(gint a, gint b);
gint64 world_delay(void);
gint world_find_host(const char *host);
void world_rpc_died(guint i);
void world_check_nodes(void);
/* Runs a function as the code of a process. */
void world_as(gint owner, void (*fn)(void *), void *arg);
