/*
 * Calls against upstreams in virtual time: entry nodes with core/call on one
 * side, admission to slots on the other.  Used by tests and by bench/admit.c.
 * Include <glib.h>, <sys/queue.h>, <rpc/rpc.h>, "pt.h", "port.h" and "call.h"
 * before this header.
 */

#define SIM_CLASSES_MAX 8
/* Length of the series of a run. */
#define SIM_SECONDS_MAX 60

/* One kind of work, of its own rank. */
struct sim_class {
	const char *name;
	int order;
	int floor; /* percent */
	int target_ms;
	int timeout_ms;
	int worth;
	double service_ms; /* mean time in a slot, exponentially distributed */
	double load; /* offered, as a share of the slots of all upstreams */
	double worth_late; /* of a response after the target */
	double burst; /* factor of the load during the burst, 0: 1 */
};

struct sim_opts {
	enum adm_mode mode;
	int urgency;
	gboolean no_target; /* do not give the targets to admission */
	gboolean call_targets; /* each call has its own, not its rank */
	/* Callers come back so long after a refusal, 0: not at all. */
	int caller_retry_ms;
	guint returns; /* at most so often, 0: once */
	gboolean
	    target_from_retry; /* targets count from the return, as formerly */
	int burst_ms; /* begin of the burst */
	int burst_for_ms;
	guint
	    tight_slots; /* slots of each upstream in domain 0, 0: as others */
	const double *speeds; /* of the upstreams, NULL: all 1 */
	guint upstreams;
	guint domains; /* failure domains, upstreams are spread evenly */
	guint slots;
	guint queue_max;
	gint64 hop_us; /* one way between failure domains */
	const struct sim_class *classes;
	guint n_classes;
	int warm_ms; /* not counted */
	int run_ms;
	int kill_ms; /* domain 0 fails at this time, 0: never */
	gboolean outage; /* no upstream accepts a connection */
	guint32 seed;
};

struct sim_class_stats {
	guint offered;
	guint good; /* answered within the target */
	guint ran; /* answered within the deadline, the good ones included */
	guint refused; /* "not run", in the end */
	guint refused_twice; /* came back and was refused again */
	guint unknown; /* lost or late: the caller does not know */
	guint refused_ran; /* refused, though an upstream ran it: must stay 0 */
	gint64 p99_us; /* of those that ran */
	/* By the second of arrival after the warm-up. */
	guint offered_in[SIM_SECONDS_MAX];
	double worth_in[SIM_SECONDS_MAX];
};

struct sim_stats {
	struct sim_class_stats c[SIM_CLASSES_MAX];
	guint starts[SIM_CLASSES_MAX]; /* in the counted time, of any call */
	guint calls; /* in the whole run, warm-up included */
	guint attempts; /* messages to upstreams for these calls */
	guint late_starts; /* started after the deadline: must stay 0 */
};

void sim_run(const struct sim_opts *, struct sim_stats *);
