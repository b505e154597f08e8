/*
 * Call handling: load balancing, admission, pacing of large responses, retry
 * budgets, deadlines and idempotency keys.  No I/O; not thread safe.  Include
 * <glib.h>, <sys/queue.h>, <rpc/rpc.h>, "pt.h" and "port.h" before this
 * header.  Times are in microseconds of the clock in the options unless a name
 * ends in _ms.
 */

/* ---- deadline.c: deadline propagation ---- */

/*
 * Deadline of a call that arrives at "now": the route's timeout, or the
 * caller's remaining time if that is shorter.  remaining_ms < 0: the caller
 * gave none.
 */
gint64 deadline_begin(gint64 now, int timeout_ms, int remaining_ms);

/*
 * Remaining time to send to the next hop, in ms, rounded down.  hop_us is the
 * network round trip, which is subtracted.  0: do not send the call.
 */
int deadline_left_ms(gint64 now, gint64 deadline, gint64 hop_us);

/* Value of a Pt-Deadline-Ms header; -1 if it is absent or not a number. */
int deadline_parse(const char *header);

/* ---- predict.c: work of a request, from its kind ---- */

struct predict_key {
	const char *route; /* NULL: not known, as the other names */
	const char *method;
	gsize body; /* bytes */
	const char *org; /* organisation that sends it */
	gboolean retry;
};

#define PREDICT_LEVELS 4
/* Computed once from a key, which need not live on; 0: no such level. */
struct predict_id {
	guint32 h[PREDICT_LEVELS];
};

struct predict_work {
	double mean; /* in us */
	double spread; /* standard deviation of its logarithm */
	gboolean known; /* FALSE: no sample yet, a default */
};

struct predict;
struct predict *predict_new(void);
void predict_free(struct predict *);
void predict_id(const struct predict_key *, struct predict_id *);
/*
 * Adds the work of a request in us: its time in a slot, times the speed of the
 * upstream.  "cut": it was cut off after this work and needed more.
 */
void predict_add(
    struct predict *, const struct predict_id *, double work, gboolean cut);
void predict_get(
    const struct predict *, const struct predict_id *, struct predict_work *);
/* The mean of all requests on the route. */
void predict_route(
    const struct predict *, const struct predict_id *, struct predict_work *);

/* ---- lb.c: load balancing over the upstreams of a service ---- */

struct lb;
struct lb_call; /* a call in flight on an upstream */

struct lb_opts {
	struct pt_clock clock;
	GRand *rand; /* not owned */
	const char *domain; /* failure domain of this node */
	const struct pt_events *events; /* may be NULL */
};

struct lb *lb_new(const struct lb_opts *);
void lb_free(struct lb *); /* only after lb_done() of every call */

/* An upstream; pass only members that membership reports as routable. */
struct lb_member {
	const char *instance;
	const char *domain;
	/*
	 * Start time of the node's process, which a refutation in membership
	 * leaves as it is.  A change discards the measurements.
	 */
	gint64 incarnation;
	int slots;
	enum pt_state state; /* only PT_SERVING gets calls */
};

struct lb_service_opts {
	int eject_max; /* most upstreams ejected at a time, in percent */
	int ramp_ms; /* slow start of an upstream that becomes PT_SERVING */
	/*
	 * For services whose calls take much longer than a network hop:
	 * choose by the time that upstreams report for the route (see
	 * lb_report_time()), so that slow upstreams get calls only when the
	 * fast ones are busy.  If FALSE, load is balanced by the latency that
	 * this node measures, and the own failure domain is preferred.
	 */
	gboolean by_time;
	/*
	 * Choose by the work that upstreams still have to do and the predicted
	 * time of the request there (see lb_report_work()); takes precedence
	 * over by_time.
	 */
	gboolean by_work;
};

/*
 * Replaces the set of upstreams of a service; measurements of those in both
 * sets are kept.  n = 0 removes the service.  Upstreams in the first set of a
 * service get no slow start: they may have served for long, it is this entry
 * node that has just started.
 */
void lb_set(struct lb *, const char *service, const struct lb_service_opts *,
    const struct lb_member *, guint n);

struct lb_request {
	const char *service;
	int rank_order; /* 0 = most urgent */
	gint64 deadline;
	gint64 target; /* the response has its full worth until then, 0: none */
	const char *const *exclude; /* instances already tried */
	guint n_exclude;
	const char *route; /* NULL: not known */
	/* In us, for the bytes sent if the upstream is in another domain. */
	gint64 spill_cost;
	/* Kind of the request, for by_work; its route is the one above. */
	const char *method;
	gsize body; /* bytes */
	const char *org; /* NULL: none */
	gboolean retry;
};

enum lb_verdict {
	LB_CHOSEN,
	LB_NONE, /* no upstream is PT_SERVING, or all are excluded */
	LB_LATE /* every reported wait exceeds the remaining time */
};

/*
 * Chooses an upstream and counts the call as in flight on it.  On LB_CHOSEN
 * *call must be passed to lb_done() exactly once.  Otherwise *retry_ms is a
 * Retry-After hint.
 */
enum lb_verdict lb_choose(struct lb *, const struct lb_request *,
    struct lb_call **call, int *retry_ms);

const char *lb_call_instance(const struct lb_call *);
gint64 lb_call_incarnation(const struct lb_call *);

enum lb_result {
	LB_RAN, /* response without a failure of the upstream */
	LB_FAILED, /* 5xx response, or the response was lost */
	/*
	 * The deadline passed without a response.  Counts as a failure only if
	 * the upstream has answered no call since this one was sent: in an
	 * overload calls expire in the queues of healthy upstreams.
	 */
	LB_EXPIRED,
	LB_REFUSED, /* "not run" response: no failure, its load is recorded */
	LB_UNREACHED, /* connection failed: avoided for a while */
	LB_CANCELLED /* the caller gave up: not counted */
};

/*
 * Records the time that an upstream reports for calls of a route, in us: a mean
 * over all calls that it completes.  One entry node sees too few calls of a
 * route to measure it.
 */
void lb_report_time(
    struct lb *, struct lb_call *, const char *route, gint64 us);

/* What an upstream reports with a response, for by_work. */
struct lb_work {
	gint64 remaining; /* us of slot time for what it runs and has queued */
	double inflow; /* us of slot time started per us, for all nodes */
	gint64 mean; /* time in a slot of requests on the route, 0: not known */
	gint64 link; /* delay of the response on the upstream's link */
	gint64 took; /* time in a slot of this request, 0: not known */
	gboolean cut; /* it was cut off after that time */
};

void lb_report_work(
    struct lb *, struct lb_call *, const char *route, const struct lb_work *);

/*
 * Records the requests a second that an upstream takes from all nodes together,
 * as it says with its responses; negative: no limit.  Until it reports another
 * one, but for at most 5 s, it is weighted as one with that few slots.
 */
void lb_report_limit(struct lb *, struct lb_call *, double per_s);

/* Reports the end of a call.  load may be NULL. */
void lb_done(struct lb *, struct lb_call *, enum lb_result, gint64 latency_us,
    const struct pt_load *load);

/* State of an upstream, for tests. */
struct lb_view {
	guint in_flight;
	gint64 latency_us; /* of the slowest rank, 0: not measured */
	gboolean ejected, avoided;
	double ramp; /* 1: no slow start */
	double speed; /* by_work: learned speed, 1: that of the others */
	double backlog_us; /* by_work: estimated remaining work */
};
gboolean lb_inspect(
    struct lb *, const char *service, const char *instance, struct lb_view *);

/* ---- rate.c: rate at which calls may start ---- */

/* Zeroed before use: no limit.  All members are private. */
struct rate {
	double per_us;
	double tokens; /* at the time "at" */
	gint64 at;
	gboolean limited;
};

/*
 * Limits the rate to per_s starts a second; negative: no limit.  A new limit
 * begins without unused starts; a changed one keeps them.
 */
void rate_set(struct rate *, double per_s, gint64 now);
/* Time of the next start allowed; "now" if it may begin at once. */
gint64 rate_due(const struct rate *, gint64 now);
void rate_take(struct rate *, gint64 now); /* counts a start */
/* Time in us until "n" starts are allowed by this share of the rate. */
double rate_wait(const struct rate *, double n, double share, gint64 now);

/* ---- stall.c: slots of runs that have stalled ---- */

/* Zeroed before use.  All members are private. */
struct stall {
	int running; /* stalled runs without an answer */
	int in_row; /* runs stalled since the last answer of any run */
	int withheld; /* slots that are not reassigned */
};

/*
 * Slots for the runs that are not stalled.  The slots of at most "slots"
 * stalled runs are reassigned: half as many after each answer to a stalled run,
 * which shows that the upstream is slow, and one more after each that ends
 * without.  After "slots" stalled runs without an answer to any, the result is
 * at most 1.
 */
int stall_slots(const struct stall *, int slots);
void stall_begin(struct stall *); /* a run has stalled */
/* A run is answered; "stalled": it had stalled before. */
void stall_answered(struct stall *, gboolean stalled, int slots);
void stall_lost(struct stall *); /* a stalled run ends without an answer */

/* ---- fair.c: shares of organisations in the slots of an upstream ---- */

struct fair;
struct fair_flow; /* an organisation */
struct fair *fair_new(void);
void fair_free(struct fair *); /* only without queued calls */

/*
 * Counts a call that an organisation offers.  The result is valid until the
 * next fair_offer() or fair_forget(), or longer while it has queued calls.
 */
struct fair_flow *fair_offer(struct fair *, const char *org, gint64 now);
/* Forgets organisations that have had no calls for 10 s. */
void fair_forget(struct fair *, gint64 now);
/* Changes the number of queued calls. */
void fair_queued(struct fair_flow *, int n);
/* A call starts, with its expected slot time in us. */
void fair_start(struct fair *, struct fair_flow *, double work, gint64 now);
/*
 * Of the organisations with queued calls, one that is owed a start goes first,
 * then the one with the lowest tag.  The tag advances by the slot time that an
 * organisation uses.  NULL: one without queued and recent calls.
 */
double fair_tag(const struct fair *, const struct fair_flow *);
/* TRUE if it is served less than 0.3 times as often as all together. */
gboolean fair_owed(const struct fair *, const struct fair_flow *);
/* A number of the user's, to add up queued calls by organisation. */
double *fair_scan(struct fair_flow *);
guint fair_count(const struct fair *); /* organisations kept */

/* ---- adm.c: admission to the slots of an upstream ---- */

enum adm_mode {
	ADM_RANK, /* most urgent rank first, with floors */
	ADM_FIFO, /* first come, first served: baseline for benchmarks */
	ADM_STRICT /* strict priority without floors: baseline for benchmarks */
};

enum adm_verdict {
	ADM_STARTED, /* start() has been called */
	ADM_QUEUED, /* start() or drop() will be called */
	ADM_LATE, /* not run: the estimated wait exceeds the remaining time */
	/* Not run: the queue of the rank is full; also given to drop(). */
	ADM_FULL,
	ADM_NOT_SERVING, /* not run: booting, drained or without slots */
	ADM_EXPIRED, /* not run: the deadline passed */
	ADM_ENDING, /* not run: might outlast the process that awaits it */
	ADM_CANCELLED /* not run: the caller gave up */
};

/*
 * A call.  Embedded in a structure of the user of this library, which zeroes it
 * and sets the first members before adm_submit().
 */
struct adm_job {
	/* Set before adm_submit(), 0: not known. */
	gint64 target; /* the response has its full worth until then */
	gint64 cost; /* expected time in a slot */
	gboolean caller_retry; /* the caller's retry of a refused call */
	gboolean once; /* cannot be repeated once it has started */
	gint64 longest; /* time in a slot that few calls exceed */
	/* Limit of the delay of its turn by its cost, 0: none. */
	gint64 turn_max;
	gint64 end; /* the process that awaits the response ends then */
	const char *org; /* organisation that sent it, NULL: none */
	/* Private. */
	TAILQ_ENTRY(adm_job) link;
	struct fair_flow *flow; /* of the organisation, valid while queued */
	int order;
	int state;
	gboolean late; /* can no longer meet its target */
	gboolean stalled; /* see adm_stalled() */
	gint64 deadline;
	gint64 queued_at;
	gint64 turn; /* sort key of its queue, lowest first */
	gint64 started_at;
};

struct adm_opts {
	struct pt_clock clock;
	enum adm_mode mode;
	int slots;
	guint queue_max; /* most queued calls of a rank */
	/* Starts a call, which holds a slot until adm_finish(). */
	void (*start)(void *ctx, struct adm_job *);
	/*
	 * A queued call was dropped without being run: ADM_EXPIRED, ADM_LATE if
	 * it had too little time left, ADM_FULL if its place went to an
	 * organisation that is due before, ADM_ENDING or ADM_NOT_SERVING.
	 */
	void (*drop)(void *ctx, struct adm_job *, enum adm_verdict why);
	void *ctx;
};

struct adm;
struct adm *adm_new(const struct adm_opts *);
void adm_free(struct adm *); /* drops queued calls as ADM_NOT_SERVING */

struct adm_rank {
	int order; /* 0 .. PT_RANKS_MAX - 1; higher ones share the last queue */
	int floor; /* guaranteed percentage of the starts */
	int target_ms; /* 0: none; see adm_submit() */
};

/* Ranks of the same order share one queue, and their floors are added. */
void adm_ranks(struct adm *, const struct adm_rank *, guint n, int urgency);

/* Floor of an order in percent, scaled by urgency and the cap of 90 %. */
double adm_floor(const struct adm *, int order);

void adm_slots(struct adm *, int slots);

/*
 * Limits the starts a second, in addition to the slots; negative: no limit.
 * Queued calls that cannot end by their deadlines within it are dropped.  Call
 * adm_tick() afterwards and after each adm_finish(): queued calls then wait for
 * a time instead of a slot.
 */
void adm_limit(struct adm *, double per_s);

/* Only PT_SERVING and PT_DRAINING admit new calls; see adm_close(). */
void adm_state(struct adm *, enum pt_state);

/* Refuses new calls from now on; queued and running calls are completed. */
void adm_close(struct adm *);

/*
 * Any verdict but ADM_STARTED and ADM_QUEUED is an immediate refusal.  In a
 * burst a queue may grow as long as its calls can still start before their
 * deadlines.  Once the wait has exceeded half the target of the rank for
 * 200 ms, only calls expected to start within that half are admitted: in a
 * lasting overload a longer queue only makes every call late.  A call with its
 * own target is refused only if it cannot end by its deadline; if it cannot
 * meet its target, it is queued behind the calls of its rank that can.
 */
enum adm_verdict adm_submit(
    struct adm *, struct adm_job *, int order, gint64 deadline);

/*
 * Releases the slot of a started call.  The next start() is called before this
 * returns, but never from within another start().
 */
void adm_finish(struct adm *, struct adm_job *);

/*
 * A started call has taken much longer than any likely time: its slot may be
 * given to another one, see stall_slots().  adm_finish() is still due.
 */
void adm_stalled(struct adm *, struct adm_job *);
/*
 * The upstream answers a started call.  To be called, before adm_finish(), by
 * users of adm_stalled() for each call that is answered.
 */
void adm_answered(struct adm *, struct adm_job *);

/*
 * Removes a queued call without calling drop().  TRUE: it was not run and never
 * will be; FALSE: it was started, cancel it at the backend server.
 */
gboolean adm_cancel(struct adm *, struct adm_job *);

/*
 * Sets the time at which this process ends, 0: not known.  From then on a call
 * starts only if it is over by the end, its own or that of the process: at its
 * deadline, or after its longest time in a slot.  Queued calls that are not
 * expected to are dropped at once as ADM_ENDING.
 */
void adm_end(struct adm *, gint64 end);

/* Sets the end of one call; no effect unless it is queued. */
void adm_end_job(struct adm *, struct adm_job *, gint64 end);

/* Drops all queued calls, so that they can be sent to other upstreams. */
void adm_drop_all(struct adm *, enum adm_verdict why);

/*
 * Drops expired calls and starts those that the limit of starts allows; returns
 * the time at which the next one may expire or start.
 */
gint64 adm_tick(struct adm *);

/* Estimated wait of a new call of an order. */
gint64 adm_expected_wait(struct adm *, int order);

/*
 * Work that a call which can meet its target waits for, in us of slot time: the
 * expected rest of the running calls, by their elapsed times, and the queued
 * calls that can meet their targets.  Late calls are queued behind it.
 * *inflow: work started per us, a moving average.
 */
gint64 adm_work(struct adm *, double *inflow);

/* Fills a load report; its wait_ms is valid until the next adm_load(). */
void adm_load(struct adm *, struct pt_load *);
guint adm_running(const struct adm *); /* includes stalled calls */
guint adm_n_stalled(const struct adm *);
guint adm_queued(const struct adm *);

/* ---- cost.c: moving average and spread of a quantity by route ---- */

struct cost;
struct cost *cost_new(void);
void cost_free(struct cost *);
void cost_add(struct cost *, const char *route, gint64 sample);
/* Replaces the mean by one that another instance computed. */
void cost_set(struct cost *, const char *route, gint64 value);
/* 0: not known. */
gint64 cost_get(const struct cost *, const char *route);
/* A value that few samples exceed; 0: not known. */
gint64 cost_high(const struct cost *, const char *route);
/* The highest such value of all routes. */
gint64 cost_highest(const struct cost *);

/* ---- retry.c: recognition of retried requests ---- */

struct retry_times;
struct retry_times *retry_times_new(void);
void retry_times_free(struct retry_times *);
/*
 * Estimates the time that a caller has spent on an earlier attempt of a
 * request; 0: the request is not a retry.  It is taken for one if it is the
 * first request on its connection ("first"), since callers retry on new
 * connections, and its remaining time ("left", -1: not given) is clearly
 * shorter than that of other requests on the route.
 */
gint64 retry_time_spent(
    struct retry_times *, const char *route, gint64 left, gboolean first);

/* ---- pace.c: pacing of large responses on the instance's link ---- */

/* Bytes sent of one response before the next one is chosen. */
#define PACE_QUANTUM 4096

/* A large response; embedded, zeroed before use.  All members are private. */
struct pace_job {
	TAILQ_ENTRY(pace_job) link;
	gint64 target;
	gsize ready; /* bytes that can be sent */
	gsize expected; /* estimated bytes still to be sent */
	gsize reserved; /* estimated size of a response that has not begun */
	gboolean queued;
	gboolean late; /* sent last, so that others meet their targets */
};

TAILQ_HEAD(pace_jobs, pace_job);

struct pace;
/* bytes_per_s: rate of the link; 0: not known, nothing is delayed. */
struct pace *pace_new(const struct pt_clock *, double bytes_per_s);
void pace_free(struct pace *); /* only after pace_remove() of every job */
/* Counts n bytes of a small response, which is sent without pacing. */
void pace_sent(struct pace *, gsize n);
/*
 * Reserves capacity for the response of an admitted request, estimated at "n"
 * bytes, instead of what was reserved before.  Release it when the response
 * begins or will not follow; a second release has no effect.
 */
void pace_reserve(struct pace *, struct pace_job *, gsize n);
void pace_release(struct pace *, struct pace_job *);
/* Queues a response; "expected" is its size in bytes, or an estimate. */
void pace_add(struct pace *, struct pace_job *, gint64 target, gsize expected);
void pace_remove(struct pace *, struct pace_job *);
/* Sets the number of bytes of the response that can be sent now. */
void pace_ready(struct pace_job *, gsize n);
/*
 * Returns the response to send next.  Sets *n to the number of its bytes to
 * send and counts them as sent.  NULL: nothing may be sent now, call again at
 * *due; if that is G_MAXINT64, no response is ready.
 */
struct pace_job *pace_next(struct pace *, gsize *n, gint64 *due);
/*
 * Time until another response of "n" bytes, after all queued and reserved ones,
 * would have been sent.
 */
gint64 pace_wait(const struct pace *, gsize n);

/*
 * Time by which the response of a new request, of "n" bytes and produced in the
 * time "run", would be late; 0: admit the request.  It is late after its
 * target, but if it could not meet that even on an idle link, only after its
 * deadline.  Times are relative to now.
 */
gint64 pace_lateness(
    const struct pace *, gsize n, gint64 run, gint64 target, gint64 deadline);

/* ---- budget.c: retries and concurrent calls of a service ---- */

struct budget;
struct budget *budget_new(void);
void budget_free(struct budget *);

/* limit 0: none.  An unset service has 10 % retries and no limit. */
void budget_set(
    struct budget *, const char *service, int retry_percent, int limit);

/*
 * Sets the burst of the budget: the most unused retries that are kept, 1 to 10.
 * Nodes that all use their bursts at the same time must stay within the
 * allowance of the service, so each one gets its share of it.
 */
void budget_burst(struct budget *, const char *service, double retries);

/*
 * Counts a call as running and adds its share of a retry to the budget.  FALSE:
 * the limit of concurrent calls is reached, refuse the call as "not run" and do
 * not call budget_end().
 */
gboolean budget_begin(struct budget *, const char *service);
void budget_end(struct budget *, const char *service);

/* Spends one retry; FALSE: the budget is exhausted. */
gboolean budget_retry(struct budget *, const char *service);

/*
 * Counts a run of this node's backend server; "repeat" if the request has
 * reached an upstream before.  Calls made by that server cannot be
 * distinguished from those of other callers at this node, so all calls counted
 * by budget_begin() are attributed to its runs.
 */
void budget_count_run(struct budget *, gboolean repeat);

/* ---- idem.c: idempotency keys at the instance that issued them ---- */

/* Size of the longest key with its terminator; fits pt_keyed_args.key. */
#define IDEM_KEY_MAX 176
/* Largest encoded answer (struct pt_answer) kept for replay, in bytes. */
#define IDEM_ANSWER_MAX 4096
/* Lifetime of a key by the clock of its owner, the instance that issued it. */
#define IDEM_TTL_MS (15 * 60 * 1000)

struct idem_opts {
	struct pt_clock clock;
	const char *instance; /* own name: the owner of the keys issued here */
	gint64 incarnation;
	const void *secret; /* HMAC key, new random bytes in each process */
	gsize secret_len;
	guint max_keys; /* limit of the used keys kept, 0: 65536 */
	gsize max_bytes; /* limit of the answers kept, in bytes, 0: 8 MB */
	int ttl_ms; /* 0: IDEM_TTL_MS */
};

struct idem;
struct idem *idem_new(const struct idem_opts *);
void idem_free(struct idem *); /* waiters get IDEM_R_UNKNOWN */

struct idem_key {
	char owner[PT_NAME_MAX + 1];
	gint64 incarnation;
	gint64 seq;
	guint8 mac[16];
};

/* Issues a key; release with g_free(). */
char *idem_issue(struct idem *);

/* Parses a key without checking its authenticator. */
gboolean idem_parse(const char *text, struct idem_key *);

enum idem_verdict {
	IDEM_DISPATCH, /* send attempt "attempt", then call idem_end_attempt()
			*/
	IDEM_WAIT, /* running: the waiter's done() will be called */
	IDEM_REPLAY, /* ran: "answer", or NULL if it was too large (409) */
	IDEM_UNKNOWN, /* outcome unknown, do not run */
	IDEM_EXPIRED, /* the key has expired: outcome unknown, do not run */
	IDEM_RELAY, /* another instance owns the key: PT_KEYED to key.owner */
	IDEM_MISMATCH, /* the key was used for another request: not run, 422 */
	IDEM_BAD /* not a key of this mesh: not run, 400 */
};

enum idem_result {
	IDEM_R_NOT_RUN, /* no attempt so far has run or ever will */
	IDEM_R_RAN,
	IDEM_R_UNKNOWN
};

/* A repeat that waits for a running request.  Embedded, zeroed before use. */
struct idem_waiter {
	TAILQ_ENTRY(idem_waiter) link;
	struct idem_waiters *list; /* NULL: not waiting */
	/* Called after the waiter is unlinked; answer: NULL if none is kept. */
	void (*done)(struct idem_waiter *, enum idem_result, GBytes *answer);
};

struct idem_begin {
	enum idem_verdict verdict;
	struct idem_key key;
	guint attempt; /* IDEM_DISPATCH */
	GBytes *answer; /* IDEM_REPLAY; borrowed, take a reference to keep it */
};

/*
 * Decides how to handle a request with a key.  "request" is a hash of method,
 * path and body (0 is not compared).  If waiter is NULL, IDEM_WAIT must be
 * answered as "outcome unknown".
 */
void idem_begin(struct idem *, const char *key, guint64 request,
    struct idem_waiter *waiter, struct idem_begin *);

/* Removes a waiter whose caller gave up; no effect if it is not waiting. */
void idem_cancel_wait(struct idem_waiter *);

/*
 * Begins the next attempt, after a definite "not run" of this one, and returns
 * its number.  0: the attempt is not the running one, do not end it.
 */
guint idem_retry(struct idem *, gint64 seq, guint attempt);

/*
 * Ends an attempt and calls the waiters.  After IDEM_R_NOT_RUN a repeat is
 * dispatched as the next attempt.  A late result of the last attempt replaces
 * IDEM_R_UNKNOWN.  Any other attempt is ignored (FALSE).  "answer" is kept if
 * it has at most IDEM_ANSWER_MAX bytes.
 */
gboolean idem_end_attempt(
    struct idem *, gint64 seq, guint attempt, enum idem_result, GBytes *answer);

/* Fills in the key of an attempt for PT_FORWARD; k->owner is borrowed. */
void idem_fill_key(
    struct idem *, gint64 seq, guint attempt, gint64 target, struct pt_key *k);

/* Expires keys; returns the time at which the next ones expire. */
gint64 idem_tick(struct idem *);

/* State of a key of this owner, for tests; does not change it. */
enum idem_state {
	IDEM_S_ISSUED, /* not used, or every attempt ended as "not run" */
	IDEM_S_RUNNING,
	IDEM_S_DONE,
	IDEM_S_UNKNOWN,
	IDEM_S_EXPIRED
};
enum idem_state idem_inspect(struct idem *, gint64 seq, guint *attempt);
guint idem_used(const struct idem *);

/* ---- dedup.c: suppression of duplicate attempts at an upstream ---- */

struct dedup_opts {
	gint64 incarnation; /* of this node */
	guint max_records; /* 0: 65536 */
	guint max_owners; /* 0: 16384 */
};

enum dedup_verdict {
	DEDUP_NEW, /* first copy of the attempt: submit it to admission */
	DEDUP_NOT_RUN, /* copy of a refused attempt: answer "not run" */
	DEDUP_UNKNOWN /* answer "outcome unknown", do not run */
};

struct dedup;
struct dedup *dedup_new(const struct dedup_opts *);
void dedup_free(struct dedup *);

/* Checks and records the attempt of a PT_FORWARD with a key; call it first. */
enum dedup_verdict dedup_admit(struct dedup *, const struct pt_key *);

/*
 * Records that the attempt was refused, expired or cancelled before it was
 * started; call before answering "not run".  FALSE: its record was evicted,
 * answer "outcome unknown" instead.
 */
gboolean dedup_refuse(struct dedup *, const struct pt_key *);

/*
 * Records that the attempt is started; call before passing it to the backend
 * server.  FALSE: its record was evicted or a later attempt was received: do
 * not run it, answer "outcome unknown".
 */
gboolean dedup_start(struct dedup *, const struct pt_key *);

/* Recorded attempts for a key, for tests; does not change them. */
struct dedup_view {
	gint64 incarnation; /* of the owner */
	gint64 seq_floor; /* attempts with lower numbers are not run */
	guint attempt; /* highest seen, 0: no record */
	gboolean started, refused;
};
gboolean dedup_inspect(
    struct dedup *, const char *owner, gint64 seq, struct dedup_view *);
/*
 * Records that the backend server certainly did not run a started attempt: it
 * refused the connection or answered so.  Copies are answered "not run", and
 * the owner's next attempt may run here.
 */
void dedup_not_run(struct dedup *, const struct pt_key *);

guint dedup_records(const struct dedup *);
