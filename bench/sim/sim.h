/*
 * Simulation of calls in virtual time: entry nodes that choose upstreams with
 * core/call, and upstreams that admit the calls to their slots.  Used by tests
 * and by bench/admit.c.  Include <glib.h>, <sys/queue.h>, <rpc/rpc.h>, "pt.h",
 * "port.h" and "call.h" before this header.
 */

#define SIM_CLASSES_MAX 8
/* Number of seconds in the per-second series of a run. */
#define SIM_SECONDS_MAX 60

/* A class of calls, with its own rank. */
struct sim_class {
	const char *name;
	int order;
	int floor; /* percent */
	int target_ms;
	int timeout_ms;
	int worth; /* of a response within the target */
	double service_ms; /* mean time in a slot, exponentially distributed */
	double load; /* offered, as a share of the slots of all upstreams */
	double worth_late; /* worth of a response after the target */
	double burst; /* factor of the load during the burst, 0: 1 */
};

struct sim_opts {
	enum adm_mode mode;
	int urgency;
	gboolean no_target; /* admission does not use the targets */
	gboolean target_per_call; /* each call has its target; else each rank */
	/* Time after which callers retry a refused call, 0: no retry. */
	int caller_retry_ms;
	guint max_retries; /* retries of a call by its caller, 0: one */
	/* The target of a call counts from the last retry by its caller. */
	gboolean target_from_retry;
	int burst_ms; /* start of the burst */
	int burst_for_ms; /* duration of the burst */
	guint tight_slots; /* slots of upstreams in domain 0, 0: "slots" */
	const double *speeds; /* relative speed of each upstream, NULL: 1 */
	guint upstreams;
	guint domains; /* failure domains; upstreams are spread evenly */
	guint slots;
	guint queue_max;
	gint64 hop_us; /* one-way delay between failure domains */
	const struct sim_class *classes;
	guint n_classes;
	int warm_ms; /* warm-up, not counted */
	int run_ms;
	int kill_ms; /* domain 0 fails at this time, 0: never */
	gboolean outage; /* no upstream accepts a connection */
	guint32 seed;
};

struct sim_class_stats {
	guint offered;
	guint good; /* responses within the target */
	guint ran; /* responses within the deadline, including good */
	guint refused; /* final outcome "not run" */
	guint refused_twice; /* refused after a retry by the caller */
	guint unknown; /* lost or late: outcome unknown to the caller */
	guint refused_ran; /* refused although it ran: must be 0 */
	gint64 p99_us; /* latency of the calls that ran */
	/* Per second of arrival, counted from the end of the warm-up. */
	guint offered_in[SIM_SECONDS_MAX];
	double worth_in[SIM_SECONDS_MAX];
};

struct sim_stats {
	struct sim_class_stats c[SIM_CLASSES_MAX];
	/* Calls started in a slot after the warm-up, within run_ms. */
	guint starts[SIM_CLASSES_MAX];
	guint calls; /* calls of the whole run, including the warm-up */
	guint attempts; /* requests to upstreams for these calls */
	guint late_starts; /* calls started after their deadline: must be 0 */
};

void sim_run(const struct sim_opts *, struct sim_stats *);
