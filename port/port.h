/*
 * Ports: the interfaces between core/ and its adapters (clock, event log,
 * network, platform), as structs of callbacks with a context pointer.  Include
 * <glib.h> and <rpc/rpc.h> before this header.
 */

/* Release of the programs, as printed by --version. */
#define PT_RELEASE "0.1.0"

/* Errors that every library of the project reports. */
#define PT_ERROR (pt_error_quark())

enum pt_error {
	PT_ERROR_SETTING, /* unknown or impossible setting */
	PT_ERROR_PARSE, /* bad declarations file or message */
	PT_ERROR_REFERENCE, /* a reference names a missing resource */
	PT_ERROR_CONFLICT, /* another operator changed the resource first */
	PT_ERROR_UNREACHABLE, /* the peer was not reached; no effect */
	PT_ERROR_UNKNOWN, /* the request may or may not have taken effect */
	PT_ERROR_TOO_LARGE, /* a size limit was exceeded */
	PT_ERROR_PROTOCOL, /* the peer uses another protocol version */
	PT_ERROR_BUSY, /* temporarily refused, retry later */
	PT_ERROR_CANCELLED /* the caller cancelled the request */
};

GQuark pt_error_quark(void);

/* Monotonic time in microseconds. */
struct pt_clock {
	gint64 (*now)(void *ctx);
	void *ctx;
};

gint64 pt_now(const struct pt_clock *);

/* Event log: one event, its fields already formatted as key=value pairs. */
enum pt_level {
	PT_LEVEL_ERROR,
	PT_LEVEL_WARNING,
	PT_LEVEL_INFO,
	PT_LEVEL_DEBUG
};

struct pt_events {
	void (*event)(
	    void *ctx, enum pt_level, const char *name, const char *fields);
	void *ctx;
};

/* Reports an event; does nothing when the sink or its callback is NULL. */
void pt_event(const struct pt_events *, enum pt_level, const char *name,
    const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/* A record of a log stream. */
struct pt_record {
	gint64 offset;
	GBytes *data;
};

/* A contiguous range of records and the offsets that bound the stream. */
struct pt_batch {
	gint64 oldest; /* oldest offset still stored */
	gint64 next; /* offset that the next append gets */
	const struct pt_record *entries;
	guint n_entries;
};

/*
 * Result of an append.  PT_ERROR_UNREACHABLE: nothing was appended;
 * PT_ERROR_UNKNOWN: the reply was lost, the record may be in the stream.
 */
typedef void (*pt_append_cb)(void *arg, gint64 offset, const GError *);
typedef void (*pt_read_cb)(void *arg, const struct pt_batch *, const GError *);

/* The platform's append-only log.  Offsets start at 1. */
struct pt_log {
	void (*append)(void *ctx, const char *stream, GBytes *record,
	    pt_append_cb, void *arg);
	/* Reads from offset "from"; waits up to wait_ms for a record. */
	void (*read)(void *ctx, const char *stream, gint64 from, guint max,
	    guint wait_ms, pt_read_cb, void *arg);
	void *ctx;
};

/* Datagrams between nodes. */
struct pt_dgram {
	void (*send)(void *ctx, const char *host, guint port, const void *data,
	    gsize len);
	void *ctx;
};

/*
 * Remote procedure call to a node.  "res" is valid during the callback only
 * and NULL on error.  PT_ERROR_UNREACHABLE: the request was not sent;
 * PT_ERROR_UNKNOWN: it was sent and no reply came.
 */
typedef void (*pt_rpc_cb)(void *arg, void *res, const GError *);

struct pt_rpc {
	void (*call)(void *ctx, const char *host, guint port, guint proc,
	    const void *args, guint timeout_ms, pt_rpc_cb, void *arg);
	void *ctx;
};

/* Encodes with an XDR routine; NULL if the value exceeds its bounds. */
GBytes *pt_encode(xdrproc_t, const void *value);

/*
 * Decodes exactly "len" bytes into "value" (zeroed by the caller).  On failure
 * the value is freed and zeroed again.  Release with xdr_free().
 */
gboolean pt_decode(
    xdrproc_t, void *value, gsize size, const void *data, gsize len);

/*
 * Like pt_decode(), for a message that starts with a protocol version.  A
 * sender of a higher minor version may have added fields at the end; they are
 * ignored.
 */
gboolean pt_decode_compat(
    xdrproc_t, void *value, gsize size, const void *data, gsize len);
/* Deepest nesting of JSON text that is read. */
#define PT_JSON_DEPTH 32
/* Most values in it; json-glib takes up to 300 bytes for each. */
#define PT_JSON_VALUES 100000
/*
 * Checks these limits before JSON text is parsed, as json-glib has none and
 * parses by recursion.  Returns what exceeds them, with the remedy; NULL:
 * nothing.
 */
const char *pt_json_excess(const char *, gsize len);
/* SHA-256 of the bytes; "out" has PT_DIGEST_LEN bytes. */
void pt_sha256(GBytes *, void *out);

/* TRUE if messages of this protocol version can be decoded. */
gboolean pt_proto_supported(int proto);

/*
 * Deliberate faults, compiled in by "make MUTANTS=1" only: the fault matrix
 * must detect each of them.
 */
enum pt_mutant {
	MUTANT_NONE,
	MUTANT_BASE_IGNORED, /* the base of a change is not checked */
	MUTANT_REFERENCE_IGNORED, /* references are not checked */
	MUTANT_POSITION_KEPT, /* a malformed record stops the evaluation */
	MUTANT_APPEND_TWICE, /* a change set is appended a second time */
	MUTANT_UNKNOWN_AS_REFUSED, /* lost reply reported as not appended */
	MUTANT_READY_EARLY, /* a node serves before it is up to date */
	MUTANT_GAP_KEPT, /* records that expired unread stop the evaluation */
	MUTANT_COPY_RUNS, /* a duplicate of an attempt runs */
	MUTANT_RETRY_UNKNOWN, /* a call whose outcome is unknown is retried */
	MUTANT_LOST_AS_NOT_RUN, /* lost reply reported as not run */
	MUTANT_LEAVING_CHOSEN, /* a leaving upstream is chosen for new calls */
	MUTANT_STOP_AT_ONCE, /* a graceful shutdown does not wait for calls */
	MUTANT_SHORT_SUCCESS, /* a truncated response is ended as if complete */
	MUTANT_NO_REFUTATION, /* a live member accepts being declared dead */
	MUTANT_SLOT_LEAK /* a cancelled call keeps its slot */
};

#ifdef PT_MUTANTS
extern enum pt_mutant pt_mutant;
#define PT_MUTANT(m) (pt_mutant == (m))
#else
#define PT_MUTANT(m) FALSE
#endif
