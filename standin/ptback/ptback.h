/*
 * Stand-in backend server.  Include <glib.h>, <sys/queue.h>,
 * <libsoup/soup.h>, <rpc/rpc.h> and "port.h" before this header.
 */

enum spread {
	SPREAD_FIXED,
	SPREAD_UNIFORM, /* from half to one and a half of the mean */
	SPREAD_EXPONENTIAL
};

struct back_opts {
	const char *host;
	guint port;
	const char *service;
	guint slots;
	guint queue; /* requests that may wait for a slot */
	guint connections; /* announced */
	const char *announce; /* base URL of the node's admin port, or "" */
	gint64 boot_us; /* time for which it announces "warming" and refuses */
	gint64 warm_us; /* then time of longer runs, at first by warm_factor */
	double warm_factor;
	gint64 service_us; /* mean time of one run */
	enum spread spread;
	guint seed;
	guint size; /* bytes of an answer without ?size= */
	guint health_lag_ms; /* age of the state in /health and /load */
	gboolean health_lie; /* /health and /load report an idle server */
	gint64 drain_us; /* least time from SIGTERM to the exit */
	const char *runs_file; /* a line for each keyed run, or "" */
};

enum result {
	RESULT_RAN, /* answered completely */
	RESULT_SHED, /* refused: booting, or the queue is full */
	RESULT_CANCELLED, /* the client closed the connection */
	RESULT_EXPIRED, /* the deadline passed */
	RESULT_CUT, /* connection closed within the answer */
	RESULT_MAX
};

/* State reported by /health and /load. */
struct load {
	guint running, queued;
	const char *state;
};

/* Slots, queue and answers of the server. */
struct pool;
struct pool *pool_new(const struct back_opts *);
void pool_free(struct pool *);
/* Runs, queues or sheds a request; "q" is its decoded query or NULL. */
void pool_accept(struct pool *, SoupServerMessage *, GHashTable *q);
/* Cuts the next n answers in the middle. */
void pool_cut_answers(struct pool *, guint n);
void pool_drain(struct pool *);
/* TRUE if draining for drain_us or longer, with no request left. */
gboolean pool_drained(const struct pool *);
struct load pool_load(const struct pool *);
/* Array of RESULT_MAX request counters; the index is an enum result. */
const guint64 *pool_result_counts(const struct pool *);
/* Number of runs of each idempotency key: char * to GUINT_TO_POINTER(count). */
GHashTable *pool_runs(const struct pool *);

/* Announces the backend server to its node every second. */
struct announcer;
struct announcer *announcer_new(const struct back_opts *, const struct pool *);
void announcer_send(struct announcer *);
void announcer_free(struct announcer *);
