/*
 * Requests of callers at their entry node, for entry.c, organisation.c,
 * attempt.c, keyed.c and reply.c.  Include "node.h" and what it needs before
 * this header.
 */

/* Most attempts of one request, the first included. */
#define ATTEMPTS_MAX 4

/* Upper bounds of the latency buckets, in ms. */
#define ENTRY_BUCKETS 12
extern const int entry_buckets_ms[ENTRY_BUCKETS];

enum request_result {
	RESULT_RAN, /* answered with a status below 500 */
	RESULT_FAILED, /* answered with 5xx */
	RESULT_NOT_RUN,
	RESULT_UNKNOWN,
	RESULT_CANCELLED, /* the caller disconnected */
	RESULT_MAX
};

/* Metrics of a service and rank. */
struct series {
	char *service;
	char *rank;
	guint64 results[RESULT_MAX];
	guint64 good; /* RESULT_RAN within the target of the rank */
	guint64 retries;
	guint64 buckets[ENTRY_BUCKETS + 1];
	double seconds; /* sum of the latencies */
};

struct entry {
	struct node *node;
	struct httpio_server *server;
	GHashTable *series; /* "service rank" to struct series */
	TAILQ_HEAD(requests, request) requests;
	TAILQ_HEAD(attempts, attempt) attempts;
	guint active;
	guint last_id;
	guint64 refused; /* refused requests that are in no series */
	guint64 without_key; /* of these: no key of an organisation */
	guint64 unknown_key; /* of these: a key of no organisation */
	guint64 keys; /* keys issued */
	guint64 relayed; /* requests relayed to the owner of their key */
};

/* One attempt of a request at an upstream; may outlive the request. */
struct attempt {
	TAILQ_ENTRY(attempt) link;
	struct entry *entry; /* NULL: freed */
	struct request *request; /* NULL: finished */
	struct lb_call *lb_call; /* NULL: result reported */
	char *host; /* of the upstream's node; NULL: own instance */
	guint port;
	guint id;
	gint64 started;
	gint64 latency_us; /* until the first chunk of the answer */
	gboolean waiting; /* a callback will follow */
	enum lb_result result; /* reported when the attempt is freed */
	gboolean keyed, settled;
	gint64 seq; /* sequence number of the key */
	guint attempt_no;
};

/* A request of a caller, or relayed by another node to the key's owner. */
struct request {
	TAILQ_ENTRY(request) link;
	struct entry *entry;
	struct httpio_req *req; /* NULL: relayed, or caller disconnected */
	struct rpcio_req *rpc_req; /* PT_KEYED call, NULL: answered or none */
	gboolean relayed; /* received from another node */
	struct series *series;
	int target_ms;
	gint64 started, deadline;
	guint timer; /* deadline, or stall of a caller that does not read */
	gboolean counted; /* against the limit of the service */
	gboolean headers_sent;
	gboolean recalled; /* see entry_limit() */
	char *org; /* name of the caller's organisation, NULL: none */

	struct pt_call call;
	struct pt_header headers[PT_HEADERS_MAX];
	struct pt_key key;
	const char *key_text; /* NULL: not keyed */
	gboolean dispatched; /* makes the attempts for its key */
	guint attempt_no;
	gint64 seq;
	struct idem_waiter waiter;
	struct relay *relay; /* call to the owner of the key */

	struct attempt *attempt;
	char *tried[ATTEMPTS_MAX]; /* instances */
	guint n_tried;
	char reason[PT_TEXT_MAX]; /* of the last "not run" */
};

/* ---- entry.c ---- */
/* Counts and frees a request that was answered or cancelled. */
void request_finish(struct request *, enum request_result);

/* ---- organisation.c: keys of organisations ---- */
/*
 * Finds the organisation of a request by its key, NULL for none; "open": the
 * request needs no key.  FALSE: the request lacks a valid key and was answered
 * with 401.
 */
gboolean organisation_identify(struct entry *, struct httpio_req *,
    gboolean open, const struct conf_organisation **);
/* TRUE for header names that only the node may set or read. */
gboolean organisation_own_header(const char *name);
/* Sets the header that names the organisation to the upstream. */
void organisation_fill_header(const char *name, struct pt_header *);
/* Name in the header that the entry node has set; NULL: none. */
const char *organisation_of_call(const struct pt_call *);

/* ---- reply.c: answers to the caller ---- */
/* Sends an upstream's answer, or its first chunk and then streams the rest. */
void request_answer(struct request *, const struct pt_answer *);
/* Answers in place of an upstream; retry_ms 0: no Retry-After. */
void request_refuse(struct request *, guint status, enum pt_call_status,
    const char *reason, int retry_ms);
/* Sends the next chunk of a streamed answer; NULL: the stream failed. */
void request_send_chunk(struct request *, const struct pt_pull_res *);
/* Answers with a line of text; needs no struct request. */
void entry_reply_text(struct httpio_req *, guint status, const char *outcome,
    const char *text, int retry_ms);

/* ---- attempt.c: choice of an upstream and the call to it ---- */
/* Makes the next attempt; the request may be freed when this returns. */
void attempt_start(struct request *);
/* Fetches the next chunk of a streamed answer. */
void attempt_pull(struct request *);
/*
 * Asks the upstream's node to refuse the call if it waits there.  The request
 * may be freed when this returns.
 */
void attempt_recall(struct request *);
/* Detaches the attempt from its request; "cancel": at the upstream as well. */
void attempt_detach(struct request *, enum lb_result, gboolean cancel);
/* Frees the attempt after the last chunk of its answer. */
void attempt_end(struct request *);
/*
 * Reports the results of all attempts to the load balancer.  Their callbacks
 * may come after the entry is freed.
 */
void attempts_detach(struct entry *);

/* ---- keyed.c: idempotency keys ---- */
void keyed_begin(struct request *);
/* Records the result of an attempt for its key, if it has one. */
void keyed_end_attempt(
    struct attempt *, enum idem_result, const struct pt_answer *);
/* Records "not run" for a dispatched request without an attempt in progress. */
void keyed_not_run(struct request *);
/*
 * Stops waiting for the result of the key, here or from its owner; the request
 * that was dispatched with the key goes on.
 */
void keyed_detach(struct request *);
/* Issues a key; release with g_free(). */
char *keyed_new_key(struct entry *);
/* Handles POST /.pt/keys. */
void keyed_handle_issue(struct entry *, struct httpio_req *);
