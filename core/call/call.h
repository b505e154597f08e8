/*
 * Decisions on calls: choice of an upstream, admission, retry budget,
 * deadlines and idempotency keys.  No I/O; not thread safe.  Include <glib.h>,
 * <sys/queue.h>, <rpc/rpc.h>, "pt.h" and "port.h" before this header.  Times
 * are microseconds of the clock in the options unless a name ends in _ms.
 */

/* ---- deadline.c: deadlines across hops ---- */

/*
 * Deadline of a call that arrives at "now": the route's timeout, or the
 * caller's remaining time if that is shorter.  remaining_ms < 0: not given.
 */
gint64 deadline_begin(gint64 now, int timeout_ms, int remaining_ms);

/*
 * Remaining time to pass to the next hop, in whole ms rounded down, after
 * hop_us is set aside for the way there and back.  0: do not send.
 */
int deadline_left_ms(gint64 now, gint64 deadline, gint64 hop_us);

/* Value of a Pt-Deadline-Ms header; -1 if it is absent or no number. */
int deadline_parse(const char *header);

/* ---- lb.c: choice of an upstream ---- */

struct lb;
struct lb_call; /* a call in flight on an upstream */

struct lb_opts {
	struct pt_clock clock;
	GRand *rand; /* not owned */
	const char *domain; /* own failure domain */
	const struct pt_events *events; /* may be NULL */
};

struct lb *lb_new(const struct lb_opts *);
void lb_free(struct lb *); /* only after lb_done() of every call */

/* One upstream.  Pass only members that membership allows routing to. */
struct lb_member {
	const char *instance;
	const char *domain;
	gint64 incarnation; /* of the process; a new one starts without
			       observations */
	int slots;
	enum pt_state state; /* only PT_SERVING is chosen */
};

struct lb_service_opts {
	int eject_max; /* percent of the service that may be ejected at once */
	int ramp_ms; /* slow start of an upstream that begins to serve */
	/*
	 * Calls take much longer than a hop: choose by the time that upstreams
	 * report for the route, see lb_report_time(), so that slow ones get
	 * work only when the fast ones are busy.  Otherwise loads are evened
	 * out by what this node measures, near ones first.
	 */
	gboolean by_time;
};

/*
 * Replaces the set of upstreams of a service; observations of those that stay
 * are kept.  n = 0 forgets the service.  Upstreams in the first set of a
 * service get no slow start: it is the entry node that is new.
 */
void lb_set(struct lb *, const char *service, const struct lb_service_opts *,
    const struct lb_member *, guint n);

struct lb_request {
	const char *service;
	int rank_order; /* 0 = most urgent */
	gint64 deadline;
	gint64 target; /* time by which an answer is worth most, 0: none */
	const char *const *exclude; /* instances already tried */
	guint n_exclude;
	const char *route; /* NULL: not known */
	gint64 spill_cost; /* of the bytes sent out of the failure domain */
};

enum lb_verdict {
	LB_CHOSEN,
	LB_NONE, /* no upstream serves, or all are excluded */
	LB_LATE /* every reported wait exceeds the remaining time */
};

/*
 * Chooses an upstream and counts the call as in flight on it.  On LB_CHOSEN
 * *up must be passed to lb_done() exactly once.  Otherwise *retry_ms is a
 * Retry-After hint.
 */
enum lb_verdict lb_choose(
    struct lb *, const struct lb_request *, struct lb_call **up, int *retry_ms);

const char *lb_call_instance(const struct lb_call *);
gint64 lb_call_incarnation(const struct lb_call *);

enum lb_result {
	LB_RAN, /* answered, without a failure of the upstream */
	LB_FAILED, /* ran with a 5xx answer, or lost: counts as a failure */
	/*
	 * The deadline passed without an answer: a failure only if the upstream
	 * has answered nothing since the call was sent.  In a flood calls wait
	 * until their deadlines at upstreams in good health.
	 */
	LB_EXPIRED,
	LB_REFUSED, /* "not run" answer: no failure, the load tells the rest */
	LB_UNREACHED, /* connection failed: avoided for a while */
	LB_CANCELLED /* the caller gave up: no observation */
};

/*
 * The upstream reports the time that it expects for calls of a route, in us,
 * from all that it completes.  One entry node alone sees too few of them.
 */
void lb_report_time(
    struct lb *, struct lb_call *, const char *route, gint64 us);

/* Reports the end of a call.  load may be NULL. */
void lb_done(struct lb *, struct lb_call *, enum lb_result, gint64 latency_us,
    const struct pt_load *load);

/* State of an upstream for metrics and tests. */
struct lb_view {
	guint in_flight;
	gint64 latency_us; /* of the slowest rank, 0: none measured */
	gboolean ejected, avoided;
	double ramp; /* 1: no slow start */
};
gboolean lb_inspect(
    struct lb *, const char *service, const char *instance, struct lb_view *);

/* ---- adm.c: admission to the slots of an upstream ---- */

enum adm_mode {
	ADM_RANK, /* most urgent first with floors */
	ADM_FIFO, /* first come, first served: baseline of benches */
	ADM_STRICT /* most urgent first without floors: baseline of benches */
};

enum adm_verdict {
	ADM_STARTED, /* start() has been called */
	ADM_QUEUED, /* start() or drop() follows */
	ADM_LATE, /* not run: the estimated wait exceeds the remaining time */
	ADM_FULL, /* not run: the queue of the rank is full */
	ADM_NOT_SERVING, /* not run: booting, drained or without slots */
	ADM_EXPIRED, /* not run: the deadline passed */
	ADM_CANCELLED /* not run: the caller gave up */
};

/*
 * Embedded in the caller's struct for a call; zeroed before adm_submit() but
 * for what the caller knows of it.
 */
struct adm_job {
	/* Set by the caller, 0: not known. */
	gint64 target; /* time by which the response is worth most */
	gint64 cost; /* expected time in a slot */
	gboolean returned; /* was refused before and came back */
	gboolean once; /* cannot be repeated if it is cut off */
	/* Private. */
	TAILQ_ENTRY(adm_job) link;
	int order;
	int state;
	gboolean late; /* cannot meet its target any more */
	gint64 deadline;
	gint64 queued_at;
	gint64 turn; /* in its queue: the earliest goes first */
	gint64 started_at;
};

struct adm_opts {
	struct pt_clock clock;
	enum adm_mode mode;
	int slots;
	guint queue_max; /* calls waiting per rank */
	/* The call has a slot until adm_finish(). */
	void (*start)(void *ctx, struct adm_job *);
	/*
	 * A queued call was dropped and has not run: ADM_EXPIRED, ADM_LATE if
	 * it had too little time left, or ADM_NOT_SERVING.
	 */
	void (*drop)(void *ctx, struct adm_job *, enum adm_verdict why);
	void *ctx;
};

struct adm;
struct adm *adm_new(const struct adm_opts *);
void adm_free(struct adm *); /* drops what is queued as ADM_NOT_SERVING */

struct adm_rank {
	int order; /* 0 .. PT_RANKS_MAX - 1; higher ones share the last queue */
	int floor; /* percent of starts */
	int target_ms; /* 0: none; see adm_submit() */
};

/* Ranks of the same order share one queue and add up their floors. */
void adm_ranks(struct adm *, const struct adm_rank *, guint n, int urgency);

/* Effective floor in percent of an order, after urgency and the 90 % cap. */
double adm_floor(const struct adm *, int order);

void adm_slots(struct adm *, int slots);

/* Only PT_SERVING and PT_DRAINING admit new calls; see adm_close(). */
void adm_state(struct adm *, enum pt_state);

/* Refuses new calls from now on; queued and running ones go on. */
void adm_close(struct adm *);

/*
 * Any verdict but ADM_STARTED and ADM_QUEUED is an immediate refusal.  A queue
 * may grow to the deadlines of its calls in a burst.  After 200 ms above half
 * the target of its rank it admits only what is expected to start within that
 * half, since in a lasting flood a longer queue only makes every call late.  A
 * call with a target of its own is refused only if it cannot end by its
 * deadline; it waits behind those of its rank that can meet theirs.
 */
enum adm_verdict adm_submit(
    struct adm *, struct adm_job *, int order, gint64 deadline);

/*
 * Gives back the slot of a started call.  The next start() is called before
 * this returns, but never from within another start().
 */
void adm_finish(struct adm *, struct adm_job *);

/*
 * Takes a queued call out without calling drop().  TRUE: it has not run and
 * never will; FALSE: it was started, cancel at the backend server.
 */
gboolean adm_cancel(struct adm *, struct adm_job *);

/* Drops every queued call, so that it can be sent elsewhere. */
void adm_drop_all(struct adm *, enum adm_verdict why);

/* Drops expired calls; returns when the next one may expire. */
gint64 adm_tick(struct adm *);

/* Estimated wait of a new call of an order. */
gint64 adm_wait(struct adm *, int order);

/* Load report; wait_ms points into the adm and holds until the next report. */
void adm_load(struct adm *, struct pt_load *);
guint adm_running(const struct adm *);
guint adm_queued(const struct adm *);

/* ---- cost.c: mean of a quantity by route ---- */

struct cost;
struct cost *cost_new(void);
void cost_free(struct cost *);
void cost_add(struct cost *, const char *route, gint64 sample);
/* Replaces the mean by one that was computed elsewhere. */
void cost_set(struct cost *, const char *route, gint64 value);
/* 0: not known. */
gint64 cost_get(const struct cost *, const char *route);

/* ---- returns.c: callers that come back after a refusal ---- */

struct returns;
struct returns *retry_times_new(void);
void retry_times_free(struct returns *);
/*
 * Time in us that a caller has probably spent on an earlier attempt, 0: none.
 * A request is likely to be a repeat if it is the first on its connection
 * ("first"), since repeats come on new ones, and its caller waits for clearly
 * less ("left", in us, -1: not given) than others on the route.
 */
gint64 retry_time_spent(
    struct returns *, const char *route, gint64 left, gboolean first);

/* ---- pace.c: large responses on the instance's link ---- */

/* Bytes sent of one response before the next decision. */
#define PACE_QUANTUM 4096

/* A large response; embedded, zeroed by its owner. */
struct pace_job {
	TAILQ_ENTRY(pace_job) link; /* private, like the rest */
	gint64 target;
	gsize ready; /* bytes that can be sent */
	gsize expected; /* bytes still to be sent, as far as known */
	gsize promised; /* bytes of a response that has not begun */
	gboolean queued;
	gboolean late; /* gives way, so that others meet their targets */
};

TAILQ_HEAD(pace_jobs, pace_job);

struct pace;
/* bytes_per_s: rate of the link, 0: not known, nothing waits. */
struct pace *pace_new(const struct pt_clock *, double bytes_per_s);
void pace_free(struct pace *); /* after the removal of every job */
/* Small responses are sent at once and only counted. */
void pace_sent(struct pace *, gsize n);
/*
 * A request was let in whose response will take about "n" bytes.  To be settled
 * when the response begins, or will not come: both are harmless when repeated.
 */
void pace_reserve(struct pace *, struct pace_job *, gsize n);
void pace_release(struct pace *, struct pace_job *);
/* "expected": bytes of the response, or a guess. */
void pace_add(struct pace *, struct pace_job *, gint64 target, gsize expected);
void pace_remove(struct pace *, struct pace_job *);
/* "n" bytes of the response can be sent now. */
void pace_ready(struct pace_job *, gsize n);
/*
 * The response of which the next *n bytes are to be sent, already counted.
 * NULL: none now, ask again at *due.
 */
struct pace_job *pace_next(struct pace *, gsize *n, gint64 *due);
/* Time until a further response of "n" bytes would have left, after all
 * those promised. */
gint64 pace_wait(const struct pace *, gsize n);

/*
 * Time by which a further response of "n" bytes, after a run of that time,
 * would miss what it is let in for: its target, or its deadline if it is too
 * large for the target even alone.  0: let it in.  Times from now on.
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
 * Most retries that quiet times save up, 1 to 10.  Many nodes that spend theirs
 * at the same time must stay within what is allowed to all of them: each gets
 * its part of that.
 */
void budget_burst(struct budget *, const char *service, double retries);

/*
 * Counts a call in and earns its share of a retry.  FALSE: the limit of
 * concurrent calls is reached, refuse as "not run" and do not call
 * budget_end().
 */
gboolean budget_begin(struct budget *, const char *service);
void budget_end(struct budget *, const char *service);

/* Takes one retry; FALSE: the budget is used up. */
gboolean budget_retry(struct budget *, const char *service);

/*
 * The backend server beside this node begins a run, which is a repeat if the
 * request has reached an upstream before.  Calls of that server and of other
 * callers at this node cannot be told apart: all those counted in by
 * budget_begin() are taken for calls of its runs.
 */
void budget_count_run(struct budget *, gboolean repeat);

/* ---- idem.c: idempotency keys at their owner ---- */

/* Longest key text with its terminator; fits pt_keyed_args.key. */
#define IDEM_KEY_MAX 176
/* Largest encoded answer that is kept for replay, in bytes. */
#define IDEM_ANSWER_MAX 4096
/* Lifetime of a key on the owner's clock. */
#define IDEM_TTL_MS (15 * 60 * 1000)

struct idem_opts {
	struct pt_clock clock;
	const char *instance; /* own name: the owner in the keys issued here */
	gint64 incarnation;
	const void *secret; /* HMAC key, new random bytes in each process */
	gsize secret_len;
	guint max_keys; /* used keys kept, 0: 65536 */
	gsize max_bytes; /* answers kept, 0: 8 MB */
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

/* Splits a key without checking its authenticator. */
gboolean idem_parse(const char *text, struct idem_key *);

enum idem_verdict {
	IDEM_DISPATCH, /* send attempt "attempt", then idem_settle() */
	IDEM_WAIT, /* running: the waiter's done() follows */
	IDEM_REPLAY, /* ran: "answer", or NULL if it was too large (409) */
	IDEM_UNKNOWN, /* outcome unknown, nothing is run */
	IDEM_EXPIRED, /* outcome unknown: expired, nothing is run */
	IDEM_RELAY, /* another instance owns the key: PT_KEYED to key.owner */
	IDEM_MISMATCH, /* the key was used for another request: not run, 422 */
	IDEM_BAD /* no key of this mesh: not run, 400 */
};

enum idem_result {
	IDEM_R_NOT_RUN, /* every attempt so far has not run and never will */
	IDEM_R_RAN,
	IDEM_R_UNKNOWN
};

/* A repeat of a running request.  Embedded; zeroed by the caller. */
struct idem_waiter {
	TAILQ_ENTRY(idem_waiter) link;
	struct idem_waiters *list; /* NULL: not waiting */
	/* The waiter is unlinked before; answer is NULL if none is kept. */
	void (*done)(struct idem_waiter *, enum idem_result, GBytes *answer);
};

struct idem_begin {
	enum idem_verdict verdict;
	struct idem_key key;
	guint attempt; /* IDEM_DISPATCH */
	GBytes *answer; /* IDEM_REPLAY; not owned, ref it to keep it */
};

/*
 * Decides on a keyed request.  "request" is a hash of method, path and body (0
 * is not compared).  waiter may be NULL only if the caller does not wait: then
 * IDEM_WAIT must be answered as unknown.
 */
void idem_begin(struct idem *, const char *key, guint64 request,
    struct idem_waiter *waiter, struct idem_begin *);

/* Removes a waiter whose caller gave up; harmless if it is not waiting. */
void idem_unwait(struct idem_waiter *);

/*
 * After a true "not run" of the attempt, starts the next one and returns its
 * number.  0: the attempt is not the running one, settle nothing.
 */
guint idem_retry(struct idem *, gint64 seq, guint attempt);

/*
 * Ends an attempt and calls the waiters.  After IDEM_R_NOT_RUN a repeat is
 * dispatched as the next attempt.  A late answer of the last attempt replaces
 * IDEM_R_UNKNOWN.  Ignored (FALSE) for any other attempt.  "answer" is kept if
 * it has at most IDEM_ANSWER_MAX bytes.
 */
gboolean idem_settle(
    struct idem *, gint64 seq, guint attempt, enum idem_result, GBytes *answer);

/* Fills the key of an attempt for PT_FORWARD; k->owner is not owned by k. */
void idem_fill(
    struct idem *, gint64 seq, guint attempt, gint64 target, struct pt_key *k);

/* Expires keys; returns the next due time. */
gint64 idem_tick(struct idem *);

/* What is known of a key of this owner, without any effect. */
enum idem_state {
	IDEM_S_ISSUED, /* also after "not run" */
	IDEM_S_RUNNING,
	IDEM_S_DONE,
	IDEM_S_UNKNOWN,
	IDEM_S_EXPIRED
};
enum idem_state idem_inspect(struct idem *, gint64 seq, guint *attempt);
guint idem_used(const struct idem *);

/* ---- guard.c: attempts seen by an upstream's node ---- */

struct guard_opts {
	gint64 incarnation; /* own */
	guint max_records; /* 0: 65536 */
	guint max_owners; /* 0: 16384 */
};

enum guard_verdict {
	GUARD_NEW, /* first copy of the attempt: go on to admission */
	GUARD_NOT_RUN, /* a copy of a refused attempt: answer "not run" */
	GUARD_UNKNOWN /* answer "outcome unknown", do not run */
};

struct guard;
struct guard *guard_new(const struct guard_opts *);
void guard_free(struct guard *);

/* Called first for every PT_FORWARD with a key; records the attempt. */
enum guard_verdict guard_admit(struct guard *, const struct pt_key *);

/*
 * The attempt was refused, expired or cancelled before it was started: call
 * before answering "not run".  FALSE: its record was evicted, answer "outcome
 * unknown" instead.
 */
gboolean guard_refuse(struct guard *, const struct pt_key *);

/*
 * The attempt goes to the backend server now.  FALSE: its record was evicted or
 * a later attempt is known: do not run, answer "outcome unknown".
 */
gboolean guard_start(struct guard *, const struct pt_key *);

/* What is known of the attempts for a key, without any effect. */
struct guard_view {
	gint64 incarnation; /* of the owner */
	gint64 floor;
	guint attempt; /* highest seen, 0: no record */
	gboolean started, refused;
};
gboolean guard_inspect(
    struct guard *, const char *owner, gint64 seq, struct guard_view *);
/*
 * The backend server certainly did not run a started attempt: it refused the
 * connection or said so.  Copies are answered "not run", and the owner's next
 * attempt may run here.
 */
void guard_not_run(struct guard *, const struct pt_key *);

guint guard_records(const struct guard *);
