/*
 * Benches and the quick start: real processes on loopback addresses, paced
 * load over HTTP, verified answers.  Include <glib.h>, <rpc/rpc.h>, "pt.h" and
 * "port.h" before this header.  Everything runs on the default main context;
 * functions that wait run it.
 */

/* ---- verified bodies ---- */

/* Bytes at..at+len of the body of "size" bytes that answers request "id". */
void mesh_body_fill(const char *id, gsize size, gsize at, char *buf, gsize len);
/* True if these are the bytes that belong there. */
gboolean mesh_body_check(
    const char *id, gsize size, gsize at, const char *buf, gsize len);

/*
 * Tells the leak checker that this object is lost by a library: the listener
 * of libsoup 3.2.3 leaks the GSocket of each connection that it accepts.
 */
void mesh_ignore_leak(void *);

/* ---- processes ---- */

/*
 * Each instance has the address 127.B.D.N and the ports below; the log runs at
 * 127.B.0.1.  B is unique to the run.
 */
#define MESH_RPC_PORT 7400
#define MESH_GOSSIP_PORT 7401
#define MESH_HTTP_PORT 8400
#define MESH_ADMIN_PORT 8401
#define MESH_BACK_PORT 8500
#define MESH_LOG_PORT 8600

enum mesh_part {
	MESH_NODE = 1, /* ptnode */
	MESH_BACK = 2 /* ptback */
};

/* A process; pid is 0 while it does not run. */
struct mesh_proc {
	char *name;
	int pid;
	int status; /* of waitpid(), after it ended */
};

struct mesh;

struct mesh_inst_opts {
	const char *name;
	guint domain; /* 1.., failure domain "dD" */
	const char *region;
	const char *service; /* of its backend server */
	guint slots, connections;
	const char *const *node_args; /* more settings, NULL-terminated */
	const char *const *back_args;
};

struct mesh_inst {
	struct mesh *mesh;
	struct mesh_inst_opts o;
	char *host;
	struct mesh_proc node, back;
	int ready_pid; /* process that was last seen ready */
};

struct mesh_opts {
	const char *bin; /* programs; NULL: beside the running program */
	const char
	    *runs_file; /* see ptback --runs-file; NULL: in the directory */
	gboolean keep; /* processes outlive the run */
	const char *log_level; /* of the processes: error .. debug */
};

/*
 * The processes end with the program, also when it crashes, unless "keep" is
 * set.  Their output goes to files in a new directory under TMPDIR.
 */
struct mesh *mesh_new(const struct mesh_opts *, GError **);
/* Ends every process unless "keep" is set; the directory stays. */
void mesh_free(struct mesh *);
/* Removes the output of the processes and the directory. */
void mesh_clean(struct mesh *);
const char *mesh_dir(const struct mesh *);
const char *mesh_log_url(const struct mesh *);
/* Starts, kills the log; what it holds is lost with it. */
gboolean mesh_log_start(struct mesh *, const char *const *args, GError **);
struct mesh_proc *mesh_log(struct mesh *);

struct mesh_inst *mesh_add(struct mesh *, const struct mesh_inst_opts *);
guint mesh_size(const struct mesh *);
struct mesh_inst *mesh_at(const struct mesh *, guint);
gboolean mesh_start(struct mesh_inst *, int parts, GError **);
/* SIGKILL, SIGTERM without waiting, SIGSTOP, SIGCONT. */
void mesh_signal(struct mesh_inst *, int parts, int sig);
/* Waits until the parts have ended. */
gboolean mesh_wait_end(struct mesh_inst *, int parts, guint timeout_ms);
/* SIGTERM, waits, then SIGKILL; true if the parts ended in time with 0. */
gboolean mesh_stop(struct mesh_inst *, int parts, guint timeout_ms);
/* Runs another program of the project to its end; its exit status or -1. */
int mesh_tool(
    struct mesh *, const char *const *argv, char **output, guint timeout_ms);

/* Runs the main context for this time. */
void mesh_sleep(guint ms);
/* Runs the main context until done() is true; false on time-out. */
gboolean mesh_until(gboolean (*done)(void *), void *arg, guint timeout_ms);

/* Body of an answer with status 200, else NULL. */
char *mesh_get(const char *url, guint timeout_ms);
/* Sends a request; its status, 0 if there was no answer. */
guint mesh_send(
    const char *method, const char *url, const char *body, guint timeout_ms);
/* The same with one header. */
guint mesh_send_header(const char *method, const char *url, const char *header,
    const char *value, const char *body, guint timeout_ms);
/* /metrics of an instance's node, NULL if it does not answer. */
char *mesh_metrics(const struct mesh_inst *);
/* Sum of the samples of this name whose line holds "label" (NULL: all). */
double mesh_metric(const char *text, const char *name, const char *label);

/* From /proc: resident memory in bytes, processor time in seconds. */
gboolean mesh_usage(int pid, guint64 *rss, double *cpu_s);

/* Keyed runs of all backend servers of the run, from the runs file. */
struct mesh_runs {
	guint total, keys, maximum, duplicates;
};
struct mesh_runs mesh_runs(const struct mesh *);

/* ---- control over RPC ---- */

/* Calls a procedure of the schema; "res" is copied out, free with xdr_free().
 */
gboolean mesh_call(struct mesh_inst *, guint proc, const void *args, void *res,
    gsize res_size, guint timeout_ms, GError **);
/* Client shared by the run, for calls that do not wait. */
struct pt_rpc mesh_rpc(struct mesh *);
/* Nodes that run and have left state booting. */
guint mesh_ready(struct mesh *);
gboolean mesh_wait_ready(struct mesh *, guint n, guint timeout_ms);

/* ---- load ---- */

enum mesh_result {
	MESH_OK,
	MESH_REFUSED, /* 503, Pt-Outcome: not-run */
	MESH_UNKNOWN, /* Pt-Outcome: unknown */
	MESH_FAILED, /* no connection, time-out, other status */
	MESH_CUT, /* connection closed before the whole answer */
	MESH_WRONG, /* whole answer with wrong length, bytes or id */
	MESH_RESULTS
};
extern const char *const mesh_result_names[MESH_RESULTS];

/* One kind of call. */
struct mesh_kind {
	const char *name;
	const char *method;
	const char *path;
	double per_second;
	gsize size; /* bytes of the answer */
	gboolean keyed; /* with Idempotency-Key */
	guint deadline_ms; /* Pt-Deadline-Ms, 0: none */
};

struct mesh_kind_stats {
	guint64 sent;
	guint64 results[MESH_RESULTS];
	guint64 moved; /* sent to another entry node: connection refused */
	guint64 restarted; /* sent twice: a kept connection had closed */
	guint64 bytes;
	GArray *us; /* gint32 latency of each MESH_OK from its intended start */
};

struct mesh_load_opts {
	const char *const *urls; /* entry nodes, NULL-terminated */
	const struct mesh_kind *kinds;
	guint n_kinds;
	guint seed;
	guint timeout_ms; /* of a call */
	guint connections; /* kept, at most, per entry node */
};

struct mesh_load;
struct mesh_load *mesh_load_new(const struct mesh_load_opts *);
void mesh_load_start(struct mesh_load *);
/* No new calls; those in flight go on. */
void mesh_load_stop(struct mesh_load *);
/* Changes the rate of a kind while running. */
void mesh_load_rate(struct mesh_load *, guint kind, double per_second);
/* Waits until no call is in flight. */
gboolean mesh_load_settle(struct mesh_load *, guint timeout_ms);
/* Sets the counters and latencies to zero. */
void mesh_load_reset(struct mesh_load *);
guint mesh_load_kinds(const struct mesh_load *);
const struct mesh_kind *mesh_load_kind(const struct mesh_load *, guint kind);
const struct mesh_kind_stats *mesh_load_stats(
    const struct mesh_load *, guint kind);
void mesh_load_free(struct mesh_load *);

/* Sorts the values; the p-th percentile, 0 if there are none. */
gint32 mesh_percentile(GArray *us, double p);
/* Table of all kinds with counts and p50/p99 in ms. */
char *mesh_load_table(const struct mesh_load *);
/* The same as one JSON object. */
char *mesh_load_json(const struct mesh_load *);
