/*
 * Callers' requests at their entry node, shared by entry.c, attempt.c, keyed.c
 * and reply.c.  Include "node.h" and what it needs before this header.
 */

/* Attempts of one request, the first included. */
#define TRIES_MAX 4

/* Upper bounds of the buckets of call latency, in ms. */
#define ENTRY_BUCKETS 12
extern const int entry_buckets_ms[ENTRY_BUCKETS];

enum request_result {
	RESULT_RAN, /* answered below 500 */
	RESULT_FAILED, /* answered with 5xx */
	RESULT_NOT_RUN,
	RESULT_UNKNOWN,
	RESULT_CANCELLED, /* the caller left */
	RESULT_MAX
};

/* Counters of a service and rank. */
struct series {
	char *service;
	char *rank;
	guint64 results[RESULT_MAX];
	guint64 good; /* answered below 500 within the rank's target */
	guint64 retries;
	guint64 buckets[ENTRY_BUCKETS + 1];
	double seconds;
};

struct entry {
	struct node *node;
	struct httpio_server *server;
	GHashTable *series; /* "service rank" to struct series */
	TAILQ_HEAD(ecalls, ecall) calls;
	TAILQ_HEAD(attempts, attempt) attempts;
	guint active;
	guint last_id;
	guint64 refused; /* before a route was known */
	guint64 keys; /* issued */
	guint64 relayed; /* to the owner of the key */
};

/* One try of a request at an upstream; may outlive the request. */
struct attempt {
	TAILQ_ENTRY(attempt) link;
	struct entry *entry; /* NULL: the entry is freed */
	struct ecall *call; /* NULL: the request is over */
	struct lb_call *up; /* NULL: reported */
	char *host; /* NULL: own instance */
	guint port;
	guint id;
	gint64 begun;
	gint64 latency_us; /* to the first part of the answer */
	gboolean waiting; /* a callback is due */
	enum lb_result abandoned; /* reported when the request is over */
	gboolean keyed, settled;
	gint64 seq;
	guint attempt;
};

/* A request of a caller, or of another node for a key of this one. */
struct ecall {
	TAILQ_ENTRY(ecall) link;
	struct entry *entry;
	struct httpio_req *req; /* NULL: relayed, or the caller left */
	struct rpcio_req *relay; /* PT_KEYED of another node */
	gboolean relayed; /* it came from another node */
	struct series *series;
	int target_ms;
	gint64 begun, deadline;
	guint timer; /* deadline, or a caller that does not read */
	gboolean counted; /* in the service's limit */
	gboolean headers_sent;

	struct pt_call call;
	struct pt_header headers[PT_HEADERS_MAX];
	struct pt_key key;
	const char *key_text; /* NULL: not keyed */
	gboolean dispatched; /* this request runs the key's attempts */
	guint attempt_no;
	gint64 seq;
	struct idem_waiter waiter;
	struct relay *passed; /* to the owner of the key */

	struct attempt *at;
	char *tried[TRIES_MAX];
	guint n_tried;
	char reason[PT_TEXT_MAX]; /* of the last refusal */
};

/* ---- entry.c ---- */
/* Ends a request: counts it and frees it; its answer has been sent. */
void request_finish(struct ecall *, enum request_result);

/* ---- reply.c: answers to the caller ---- */
/* Answers with an upstream's answer; streams what goes on. */
void request_answer(struct ecall *, const struct pt_answer *);
/* Answers without one; retry_ms 0: no Retry-After. */
void request_refuse(struct ecall *, guint status, enum pt_call_status,
    const char *reason, int retry_ms);
/* A further part of a streamed answer; NULL: it broke off. */
void request_send_chunk(struct ecall *, const struct pt_pull_res *);
/* Answers a caller that has no struct ecall. */
void entry_reply_text(struct httpio_req *, guint status, const char *outcome,
    const char *text, int retry_ms);

/* ---- attempt.c: choice of an upstream and the way there ---- */
/* Makes the next attempt; the request may be over when this returns. */
void attempt_start(struct ecall *);
/* Fetches the next part of a streamed answer. */
void attempt_pull(struct ecall *);
/* Leaves the attempt to end by itself; "cancel": its work is given up. */
void attempt_detach(struct ecall *, enum lb_result, gboolean cancel);
/* The answer is complete. */
void attempt_end(struct ecall *);
/* Reports attempts whose callbacks come after the entry is freed. */
void attempts_detach(struct entry *);

/* ---- keyed.c: idempotency keys ---- */
void keyed_begin(struct ecall *);
/* Settles the key of a request that was dispatched here. */
void keyed_settle(struct attempt *, enum idem_result, const struct pt_answer *);
/* The same for a request none of whose attempts is in progress. */
void keyed_not_run(struct ecall *);
/* Leaves waiting and relaying; the key's request goes on. */
void keyed_detach(struct ecall *);
/* A new key of this node; release with g_free(). */
char *keyed_new_key(struct entry *);
/* POST /.pt/keys. */
void keyed_handle_issue(struct entry *, struct httpio_req *);
