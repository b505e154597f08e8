/*
 * Quarantine of requests that end the backend servers that run them.  A request
 * is named by a digest.  Each end of a server counts against the requests that
 * were at work there, unless they have lately been answered.  A request with
 * QUAR_DOUBT ends is refused for QUAR_DOUBT_US, one with QUAR_ENDS for
 * QUAR_KEEP_US since it was last sent.  Nodes tell each other what they have
 * seen: the entries of two nodes merge to the same result in any order.
 *
 * No I/O.  Include <glib.h>, <rpc/rpc.h>, "pt.h" and "port.h" before this
 * header.  Times are microseconds.
 */

/* Ends of servers after which a request is refused. */
#define QUAR_ENDS PT_ENDS_MAX
/* Ends after which it is refused for a short time. */
#define QUAR_DOUBT (QUAR_ENDS - 1)
#define QUAR_DOUBT_US (30 * G_TIME_SPAN_SECOND)
#define QUAR_KEEP_US (600 * G_TIME_SPAN_SECOND)
/* Most requests that are remembered; the oldest are forgotten first. */
#define QUAR_MAX 512

struct quar_opts {
	struct pt_clock clock;
	guint64 node; /* identifies this run of the process */
	/* Sends entries to up to "targets" random nodes; may be NULL. */
	void (*send)(void *ctx, struct pt_suspect *, guint n, guint targets);
	void *ctx;
};

/* What names a request.  Strings may be NULL. */
struct quar_request {
	const char *caller; /* service that sent it */
	const char *method, *host, *target;
	const void *body;
	gsize len;
};

void quar_digest(const struct quar_request *, pt_id out);

#define QUAR_TEXT (2 * PT_ID_LEN + 1)
/* A digest as hexadecimal digits, for logs and operators. */
void quar_digest_text(const pt_id, char out[QUAR_TEXT]);
/* FALSE: not the digits of a digest. */
gboolean quar_digest_parse(const char *, pt_id out);

struct quar;
struct quar *quar_new(const struct quar_opts *);
void quar_free(struct quar *);

/* ---- the server beside this node; "process" is that of reg_process() ---- */

/* A request was at work at the server and got no answer. */
void quar_lost(struct quar *, guint process, const pt_id);
/* The server has answered: it has outlived the requests that were lost. */
void quar_answered(struct quar *, guint process);
/* The server gave a complete answer to this request. */
void quar_completed(struct quar *, const pt_id);
/*
 * The server has ended without notice.  Counts the end against the requests
 * that it had; those whose loss is reported within a second after it count as
 * well.  Returns their number, 0 if the end is known or there are none.
 */
guint quar_ended(struct quar *, guint process);

/* ---- decisions ---- */

/* TRUE if no request is suspected, so that no digest is needed. */
gboolean quar_empty(const struct quar *);
/* Number of ends that count against the request. */
guint quar_ends(const struct quar *, const pt_id);
/* TRUE if the request is refused, with the time until it may be sent again. */
gboolean quar_refuses(struct quar *, const pt_id, gint64 *left);
/* Forgets the ends of a request, here and at other nodes.  FALSE: unknown. */
gboolean quar_lift(struct quar *, const pt_id);
/* Calls back for each suspected request, the newest last. */
void quar_each(const struct quar *,
    void (*cb)(void *ctx, const pt_id, guint ends, gint64 age), void *ctx);

/* ---- tell.c: exchange with other nodes ---- */

/* A message with these entries, which it points to. */
void quar_message(
    struct pt_suspects *, const char *from, struct pt_suspect *, guint n);
/* Takes over a datagram; TRUE: some request is refused by it. */
gboolean quar_input(struct quar *, const void *data, gsize len);

/*
 * Sends what is due through the options; returns the time at which more is due,
 * in us.  Call it again after any other call that may change an entry.
 */
gint64 quar_tick(struct quar *);
/* Takes over what another node knows; TRUE: some request is refused by it. */
gboolean quar_merge(struct quar *, const struct pt_suspect *, guint n);
/*
 * Fills in up to "max" of the newest entries, for a node that has started; the
 * lists belong to the quarantine and hold until it changes.  Returns the
 * number.
 */
guint quar_newest(struct quar *, struct pt_suspect *, guint max);

#ifdef QUAR_PRIVATE
/* ---- shared by the files of this library; include <sys/queue.h> first ---- */

#define LOSSES_MAX 256
#define PROVED_MAX 4096

struct quar_entry {
	TAILQ_ENTRY(quar_entry) link;
	pt_id digest;
	guint generation;
	gint64 ends[QUAR_ENDS];
	guint n_ends;
	gint64 at; /* of the last end; of the last refusal with QUAR_ENDS */
	guint sends; /* rounds of news that it was part of */
};

struct quar_loss {
	pt_id digest;
	guint process;
	gint64 at;
};

struct quar_proof {
	guint64 key;
	gint64 at;
};

struct quar {
	struct quar_opts o;
	GHashTable *by_digest; /* keys belong to the entries */
	TAILQ_HEAD(quar_entries, quar_entry) entries; /* oldest first */
	guint n_suspected; /* entries with an end */
	struct quar_loss losses[LOSSES_MAX]; /* ring buffer; at 0: unused */
	guint next_loss;
	guint end_process;
	gint64 end_at; /* of the last end of the server, 0: none */
	gint64 end_id;
	guint64 n_ends;
	gint64 spread_due, newest_due;
	struct quar_proof proved[PROVED_MAX];
};

struct quar_entry *quar_find(const struct quar *, const void *digest);
/* Finds or adds it. */
struct quar_entry *quar_entry(struct quar *, const void *digest);
/* TRUE if the end did not count against the request yet. */
gboolean quar_add_end(struct quar *, struct quar_entry *, gint64 end);
void quar_forget(struct quar *, struct quar_entry *, guint generation);
/* The request was answered lately. */
gboolean quar_proved(struct quar *, const void *digest);
void quar_expire(struct quar *);
#endif
