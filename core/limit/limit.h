/*
 * Global rate limits of organisations.  Organisations are divided into shards.
 * The owner of a shard (ledger.c) keeps a token bucket for each active
 * organisation; entry nodes (buyer.c) buy tokens from it and spend one on each
 * request.  docs/design/limits.md gives the reasons.
 *
 * No I/O; not thread safe.  Include <glib.h>, <sys/queue.h>, <rpc/rpc.h>,
 * "pt.h" and "port.h" before this header.  Times are in microseconds: of the
 * clock in the options, or relative if the name is "retry".
 */

#define LIMIT_SHARDS 24
/* A token may be spent until so long after its purchase was sent. */
#define LIMIT_VALID_US (250 * G_TIME_SPAN_MILLISECOND)
/* Longest wait of a request for the answer to a purchase. */
#define LIMIT_WAIT_US (300 * G_TIME_SPAN_MILLISECOND)
/* Most organisations in one purchase, so that a message has a bounded size. */
#define LIMIT_ASKS_MAX 64

struct limit_rule {
	double per_s; /* 0: no limit */
	double burst; /* less than 1 counts as 1 */
};

/* Shard of an organisation: a stable hash, equal on all nodes. */
guint limit_shard(const char *org);

/* ---- ledger.c: owner of shards ---- */

struct limit_ledger;

struct limit_ledger_opts {
	struct pt_clock clock;
	/*
	 * Rule of an organisation in the configuration in force.  FALSE: it has
	 * no limit.
	 */
	gboolean (*rule)(void *ctx, const char *org, struct limit_rule *);
	void *ctx;
};

struct limit_ledger *limit_ledger_new(const struct limit_ledger_opts *);
void limit_ledger_free(struct limit_ledger *);

/*
 * This node owns the shard until "until" and may issue from "from" on.  Called
 * again to extend.  A shard that is gained anew, also one that is extended only
 * after its "until", starts with empty buckets.
 */
void limit_ledger_own(
    struct limit_ledger *, guint shard, gint64 from, gint64 until);
/*
 * The former owner has confirmed that it no longer owns the shard: issuing may
 * start at "from", if that is earlier.
 */
void limit_ledger_issue_from(struct limit_ledger *, guint shard, gint64 from);
void limit_ledger_disown(struct limit_ledger *, guint shard);
gboolean limit_ledger_owns(const struct limit_ledger *, guint shard);

enum limit_status {
	LIMIT_GRANTED, /* n <= want tokens */
	LIMIT_EMPTY, /* no token now */
	LIMIT_NOT_OWNER,
	LIMIT_NOT_YET /* owned, but the former owner may still issue */
};

struct limit_ask {
	const char *org;
	guint want; /* 0: only returns tokens */
	guint returned; /* unused tokens given back */
};

struct limit_grant {
	enum limit_status status;
	guint n;
	/*
	 * Time until a token may be had, else 0.  With LIMIT_GRANTED: the
	 * tokens are scarce; the buyer must not ask again before.
	 */
	gint64 retry;
};

/* Answers one ask of a purchase. */
void limit_ledger_buy(
    struct limit_ledger *, const struct limit_ask *, struct limit_grant *);
/* Forgets idle buckets and shards whose ownership has ended; once a second. */
void limit_ledger_tick(struct limit_ledger *);

/* Counts of the ledger since its start, for metrics. */
struct limit_ledger_view {
	guint shards; /* owned now */
	guint orgs; /* organisations with a bucket */
	guint64 issued; /* tokens of organisations with a limit */
	guint64 returned; /* tokens given back */
	guint64 credited; /* of these, put back into a bucket */
	guint64 refused; /* asks answered with LIMIT_EMPTY */
};

void limit_ledger_view(const struct limit_ledger *, struct limit_ledger_view *);

struct limit_bucket_view {
	double tokens; /* at the time of the last ask */
	double asked_per_s; /* tokens requested by all buyers, moving average */
	guint64 issued, returned, credited, refused;
};

/* FALSE: the organisation has no bucket here. */
gboolean limit_ledger_org(
    const struct limit_ledger *, const char *org, struct limit_bucket_view *);

/* ---- buyer.c: entry node ---- */

struct limit_buyer;
struct limit_org; /* state of an organisation, private */

enum limit_verdict {
	LIMIT_PASS, /* a token was spent */
	LIMIT_WAITING, /* done() will be called */
	LIMIT_OVER, /* over the limit: 429 */
	LIMIT_UNKNOWN /* no owner that answers: 503 */
};

struct limit_buyer_opts {
	struct pt_clock clock;
	/*
	 * Sends a purchase to the owner of the shard; "asks" is valid during
	 * the call only.  limit_bought() must follow with the same id, from
	 * the main loop or from within the call.  Called by limit_buyer_tick()
	 * only.
	 */
	void (*buy)(void *ctx, guint shard, const struct limit_ask *asks,
	    guint n, guint64 id);
	GRand *rand; /* not owned */
	void *ctx;
};

struct limit_buyer *limit_buyer_new(const struct limit_buyer_opts *);
/* Waiting requests are forgotten without a call of done(). */
void limit_buyer_free(struct limit_buyer *);

/* A request that waits for a token; embedded, zeroed before use. */
struct limit_wait {
	TAILQ_ENTRY(limit_wait) link; /* private, as is all up to "token" */
	TAILQ_ENTRY(limit_wait) by_time;
	struct limit_buyer *buyer;
	struct limit_org *org; /* NULL: not waiting */
	gint64 until;
	gint64 token; /* set before done() if the verdict is LIMIT_PASS */
	/*
	 * Set by the caller.  Called once, never with LIMIT_WAITING, and never
	 * from within limit_take().  It may free the request and call any
	 * function of the buyer except limit_buyer_free().
	 */
	void (*done)(struct limit_wait *, enum limit_verdict, gint64 retry);
};

/*
 * Takes a token for a request.  LIMIT_PASS: *token identifies the token.
 * LIMIT_WAITING: call limit_buyer_tick() soon, which sends the purchase;
 * requests that arrive before share one message.  LIMIT_OVER, LIMIT_UNKNOWN:
 * *retry is the time for Retry-After.
 */
enum limit_verdict limit_take(struct limit_buyer *, const char *org,
    struct limit_wait *, gint64 *retry, gint64 *token);
/* Ends a wait without a call of done(); no effect on one that has ended. */
void limit_cancel(struct limit_wait *);
/*
 * The system refused the request itself: its token may be spent on another one
 * while it is valid.  May call done() of a waiting request.
 */
void limit_give_back(struct limit_buyer *, const char *org, gint64 token);
/*
 * The answer to a purchase, in the order of its asks.  "grants" NULL: no
 * answer, or the call failed.  Unknown ids and second answers are ignored.
 */
void limit_bought(struct limit_buyer *, guint64 id,
    const struct limit_grant *grants, guint n);
/*
 * Sends what is due and ends waits that have lasted too long; returns the time
 * at which more is due.  Call it after each limit_take() that returned
 * LIMIT_WAITING, after limit_bought() and limit_give_back(), and at that time.
 */
gint64 limit_buyer_tick(struct limit_buyer *);

/* Counts of the buyer since its start, for metrics. */
struct limit_buyer_view {
	guint orgs; /* organisations active at this node */
	guint waiting; /* requests */
	guint64 messages; /* purchases sent */
	guint64 bought, spent, given_back, returned; /* tokens */
	guint64 over, unknown; /* requests refused */
};

void limit_buyer_view(const struct limit_buyer *, struct limit_buyer_view *);

struct limit_org_view {
	guint in_hand; /* tokens, including those that are about to expire */
	guint waiting;
	double per_s; /* requests, moving average */
	guint64 spent, over, unknown;
};

/* FALSE: the organisation is not active at this node. */
gboolean limit_buyer_org(
    const struct limit_buyer *, const char *org, struct limit_org_view *);
