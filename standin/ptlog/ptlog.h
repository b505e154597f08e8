/*
 * Stand-in for the platform's append-only log.  Include <glib.h>,
 * <sys/queue.h>, <libsoup/soup.h> and <rpc/rpc.h> before this header.
 */

struct rec {
	gint64 offset;
	gint64 at_us; /* monotonic time of the append */
	GBytes *data;
};

struct wait;
TAILQ_HEAD(waits, wait);

/* Records recs[head] to recs[len - 1] are kept; those before have expired. */
struct stream {
	char *name;
	GArray *recs; /* struct rec */
	guint head;
	gint64 next; /* offset of the next append */
	struct waits waits; /* long polls */
};

/* The streams and their retention by age and count. */
struct store {
	GHashTable *streams;
	gint64 retention_us;
	guint retention_count;
};

struct store *store_new(gint64 retention_us, guint retention_count);
void store_free(struct store *);
/* Returns the stream of this name; creates it if needed. */
struct stream *store_stream(struct store *, const char *name);

gint64 stream_append(struct stream *, gint64 now_us, GBytes *);
gint64 stream_oldest(const struct stream *);
/*
 * Drops records appended before before_us, and all but the newest "keep"; a
 * "keep" of 0 drops every record.
 */
void stream_expire(struct stream *, gint64 before_us, guint keep);
/* Encodes the records from "from" on as a struct pt_log_batch in XDR. */
GBytes *stream_batch(const struct stream *, gint64 from, guint max);

/* Faults set by POST /v1/faults; all zero: none. */
struct faults {
	int down; /* 503 on every stream request */
	int slow_ms; /* delay before a request is handled */
	int slow_answer_ms; /* delay of the response to a stored append */
	int lose_answers; /* appends that are stored without a response */
	int lose_requests; /* appends that are neither stored nor answered */
};

enum count {
	COUNT_APPEND,
	COUNT_APPEND_REFUSED,
	COUNT_APPEND_LOST,
	COUNT_READ,
	COUNT_READ_EMPTY,
	COUNT_READ_TRIMMED,
	COUNT_DOWN,
	COUNT_BAD,
	COUNT_MAX
};

struct log_opts {
	const char *host;
	guint port;
	int per_second; /* appends accepted */
	int max_record; /* largest record, bytes */
	struct store *store;
};

/* HTTP server of the log. */
struct log_http;
struct log_http *log_http_new(const struct log_opts *, GError **);
void log_http_free(struct log_http *);
