/*
 * Library of the benches and the quick start: starts nodes and backend servers
 * as processes on loopback addresses, sends them a paced load over HTTP and
 * verifies the answers.  Include <glib.h>, <rpc/rpc.h>, "pt.h" and "port.h"
 * before this header.  Everything runs on the default main context; functions
 * that wait iterate it.
 */

/* ---- verified bodies ---- */

/* Writes bytes at..at+len of the body of "size" bytes for request "id". */
void mesh_body_fill(const char *id, gsize size, gsize at, char *buf, gsize len);
/* True if "buf" holds bytes at..at+len of that body. */
gboolean mesh_body_check(
    const char *id, gsize size, gsize at, const char *buf, gsize len);

/*
 * Excludes an object from the report of LeakSanitizer: the listener of libsoup
 * 3.2.3 leaks the GSocket of each connection that it accepts.
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

/* A process; "pid" is 0 while it is not running. */
struct mesh_proc {
	char *name;
	int pid;
	int status; /* from waitpid(), once the process has ended */
};

struct mesh;

struct mesh_inst_opts {
	const char *name;
	guint domain; /* D from 1 on, of failure domain "dD" */
	const char *region;
	const char *service; /* that the backend server implements */
	guint slots, connections;
	const char *const *node_args; /* extra arguments, NULL-terminated */
	const char *const *back_args;
};

struct mesh_inst {
	struct mesh *mesh;
	struct mesh_inst_opts o;
	char *host;
	struct mesh_proc node, back;
	int ready_pid; /* pid of the node that last reported ready */
};

struct mesh_opts {
	const char *bin; /* directory of the programs; NULL: this program's */
	const char *runs_file; /* see ptback --runs-file; NULL: in mesh_dir() */
	gboolean keep; /* leave the processes running at exit */
	const char *log_level; /* of the processes: error to debug */
};

/*
 * Unless "keep" is set, the processes are killed when the calling program
 * exits, also after a crash.  Their output goes to files in a new directory
 * under TMPDIR.
 */
struct mesh *mesh_new(const struct mesh_opts *, GError **);
/* Kills every process unless "keep" is set; the directory remains. */
void mesh_free(struct mesh *);
/* Removes the directory with the output of the processes. */
void mesh_clean(struct mesh *);
const char *mesh_dir(const struct mesh *);
const char *mesh_log_url(const struct mesh *);
/* Starts the log process; its records are in memory and end with it. */
gboolean mesh_log_start(struct mesh *, const char *const *args, GError **);
struct mesh_proc *mesh_log(struct mesh *);

struct mesh_inst *mesh_add(struct mesh *, const struct mesh_inst_opts *);
guint mesh_size(const struct mesh *);
struct mesh_inst *mesh_at(const struct mesh *, guint);
gboolean mesh_start(struct mesh_inst *, int parts, GError **);
/* Sends a signal and does not wait for its effect. */
void mesh_signal(struct mesh_inst *, int parts, int sig);
/* Waits until the processes have ended; false on time-out. */
gboolean mesh_wait_end(struct mesh_inst *, int parts, guint timeout_ms);
/*
 * Sends SIGTERM, and SIGKILL after the time-out.  True if the processes ended
 * in time with status 0.
 */
gboolean mesh_stop(struct mesh_inst *, int parts, guint timeout_ms);
/*
 * Runs a program of the project and waits for it; returns its exit status, -1
 * if it could not be started, timed out or was killed.
 */
int mesh_tool(
    struct mesh *, const char *const *argv, char **output, guint timeout_ms);

/* Iterates the main context for this time. */
void mesh_sleep(guint ms);
/* Iterates the main context until done() is true; false on time-out. */
gboolean mesh_until(gboolean (*done)(void *), void *arg, guint timeout_ms);

/* Sends GET; returns the body of a 200 answer, else NULL. */
char *mesh_get(const char *url, guint timeout_ms);
/* Sends a request; returns the status of the answer, 0 if there was none. */
guint mesh_send(
    const char *method, const char *url, const char *body, guint timeout_ms);
/* The same with one header field. */
guint mesh_send_header(const char *method, const char *url, const char *header,
    const char *value, const char *body, guint timeout_ms);
/* Reads /metrics of an instance's node; NULL if it does not answer. */
char *mesh_metrics(const struct mesh_inst *);
/* Sum of the samples of this name whose line contains "label" (NULL: all). */
double mesh_metric(const char *text, const char *name, const char *label);

/* Reads resident memory (bytes) and CPU time (seconds) from /proc. */
gboolean mesh_usage(int pid, guint64 *rss, double *cpu_s);

/*
 * Executions of keyed calls by all backend servers, from the runs file: all of
 * them, distinct keys, executions of the most executed key, and keys that were
 * executed more than once.
 */
struct mesh_runs {
	guint total, keys, maximum, duplicates;
};
struct mesh_runs mesh_runs(const struct mesh *);

/* ---- RPC calls to nodes, and their readiness ---- */

/* Calls a procedure of pt.x and waits; free "res" with xdr_free(). */
gboolean mesh_call(struct mesh_inst *, guint proc, const void *args, void *res,
    gsize res_size, guint timeout_ms, GError **);
/* RPC client of the mesh, for asynchronous calls. */
struct pt_rpc mesh_rpc(struct mesh *);
/* Number of running nodes whose state is neither booting nor left. */
guint mesh_ready(struct mesh *);
gboolean mesh_wait_ready(struct mesh *, guint n, guint timeout_ms);

/* ---- load ---- */

enum mesh_result {
	MESH_OK,
	MESH_REFUSED, /* 503, Pt-Outcome: not-run */
	MESH_UNKNOWN, /* Pt-Outcome: unknown */
	MESH_FAILED, /* no connection, time-out or another status */
	MESH_CUT, /* connection closed before the end of the answer */
	MESH_WRONG, /* complete answer with wrong length, bytes or id */
	MESH_RESULTS
};
extern const char *const mesh_result_names[MESH_RESULTS];

/* A kind of call and its rate. */
struct mesh_kind {
	const char *name;
	const char *method;
	const char *path;
	double per_second;
	gsize size; /* of the answer body, in bytes */
	gboolean keyed; /* sent with an Idempotency-Key */
	guint deadline_ms; /* Pt-Deadline-Ms, 0: none */
};

struct mesh_kind_stats {
	guint64 sent;
	guint64 results[MESH_RESULTS];
	guint64 moved; /* sent to the next entry node: connection refused */
	guint64 restarted; /* resent: a reused connection had been closed */
	guint64 bytes;
	GArray *latency_us; /* gint32: of each MESH_OK from its due time */
};

struct mesh_load_opts {
	const char *const *urls; /* entry nodes, NULL-terminated */
	const struct mesh_kind *kinds;
	guint n_kinds;
	guint seed;
	guint timeout_ms; /* of each call */
	guint connections; /* limit for each entry node */
};

struct mesh_load;
struct mesh_load *mesh_load_new(const struct mesh_load_opts *);
void mesh_load_start(struct mesh_load *);
/* Starts no more calls; those in flight continue. */
void mesh_load_stop(struct mesh_load *);
/* Changes the rate of a kind of call; also while the load is running. */
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

/* Sorts the values and returns the p-th percentile, 0 if there are none. */
gint32 mesh_percentile(GArray *us, double p);
/* Table with the counts and p50/p99 in ms of each kind. */
char *mesh_load_table(const struct mesh_load *);
/* The same as one JSON object. */
char *mesh_load_json(const struct mesh_load *);
