/*
 * Remaining work of an upstream as an entry node estimates it, and the cost of
 * a request there.  Part of the load balancer: lb.c keeps one work_state for
 * each upstream.  Include "call.h" before this header.  Work is in us of slot
 * time at the upstream, so it includes the speed of that upstream.
 */

struct work_state {
	double backlog; /* at the time of the report */
	double inflow; /* work started per us, of all nodes */
	double usual; /* moving average of the reported backlogs */
	gint64 at; /* time of the report, 0: none */
	double sent; /* work that this node sent since the report */
	double own; /* work per us that this node sends, moving average */
	gint64 own_at; /* time of that average */
	double speed; /* logarithm, relative to the other upstreams */
	guint speed_samples;
};

/* Estimate of an upstream for one request. */
struct work_view {
	double slots; /* that it uses */
	double work; /* of the request, in us of slot time */
	double spread; /* of the logarithm of that */
	double mean; /* of the requests at the upstream */
	double failures; /* share of the calls that fail there */
	double hop; /* time to get there and back, in us */
};

/* A new upstream that starts at reduced speed. */
void work_start_slow(struct work_state *);
double work_speed(const struct work_state *, gint64 now);
/* A sample of the logarithm of the speed. */
void work_learn_speed(struct work_state *, double sample);
void work_reported(
    struct work_state *, double backlog, double inflow, gint64 now);
void work_sent(struct work_state *, double work, gint64 now);
/* The call ended without a report. */
void work_unsent(struct work_state *, double work);
/* Estimated remaining work; "usual": that of an upstream without a report. */
double work_backlog(
    const struct work_state *, double slots, double usual, gint64 now);
/* Expected wait for a slot with that remaining work. */
double work_wait(const struct work_view *, double backlog);
/*
 * Cost in us of a request with "left" us until its target (0: it has none) and
 * an expected wait; the upstream with the lowest is chosen.
 */
double work_cost(
    const struct work_view *, double wait, gboolean has_target, double left);
