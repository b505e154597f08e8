/*
 * HTTP/1.1 over non-blocking sockets on the main loop, parsed by http_parser.
 * A connection carries one message at a time in each direction.  Include
 * <gio/gio.h>, <rpc/rpc.h>, <sys/queue.h>, "port.h" and "rpcio.h" before this
 * header.
 */

/* Default limit of a message head, in bytes. */
#define H1_HEAD_MAX (64 * 1024)
/* Most fields of a message head. */
#define H1_FIELDS_MAX 200
/*
 * Flow control of writes: a sender pauses its source while more than
 * H1_HIGH_WATER bytes are queued and resumes it below H1_LOW_WATER.
 */
#define H1_HIGH_WATER (256 * 1024)
#define H1_LOW_WATER (64 * 1024)

struct h1_field {
	char *name;
	char *value;
};

/* Start line and header fields of a message; reference counted. */
struct h1_head {
	guint refs;
	int status; /* response */
	char *method; /* request */
	char *target; /* request: path and query as sent */
	GArray *fields; /* struct h1_field, in the order received */
	gint64 length; /* Content-Length, -1: absent */
	gboolean chunked;
	gboolean keep_alive;
	gboolean http10;
};

struct h1_head *h1_head_ref(struct h1_head *);
void h1_head_unref(struct h1_head *);
/* Value of the first field of this name, ignoring case; NULL: absent. */
const char *h1_head_get(const struct h1_head *, const char *name);
/*
 * TRUE for a hop-by-hop field, which is not forwarded: the standard ones, those
 * listed in Connection, and Content-Length.
 */
gboolean h1_hop_by_hop(const struct h1_head *, const char *name);

/* Append parts of a head. */
void h1_put_request(GString *, const char *method, const char *target);
void h1_put_status(GString *, int status);
void h1_put(GString *, const char *name, const char *value);
void h1_put_int(GString *, const char *name, gint64 value);
void h1_put_end(GString *);
const char *h1_reason(int status);

enum h1_end {
	H1_END_EOF, /* the peer closed the connection normally */
	H1_END_RESET, /* reset, or the peer's host is unreachable */
	H1_END_REFUSED, /* the connect failed: nothing was sent */
	H1_END_BAD /* malformed message, or truncated body */
};

/* What is wrong with a message, or with the end of a response. */
enum h1_fault {
	H1_FAULT_NONE,
	H1_FAULT_RESET, /* reset, error or failed write within an exchange */
	H1_FAULT_CLOSED, /* end of file before a response */
	H1_FAULT_TRUNCATED, /* end of file within a response */
	H1_FAULT_STATUS,
	H1_FAULT_INTERIM, /* a 1xx response that is not allowed */
	H1_FAULT_NAME, /* of a field */
	H1_FAULT_VALUE, /* of a field */
	H1_FAULT_COLON, /* missing */
	H1_FAULT_FOLD, /* obsolete folded line */
	H1_FAULT_CHUNK, /* size or end of a chunk */
	H1_FAULT_LENGTH, /* Content-Length or Transfer-Encoding */
	H1_FAULT_SIZE, /* a limit was exceeded */
	H1_FAULT_SYNTAX, /* anything else */
	H1_FAULT_LAST
};

/* Name of a fault, as in logs and metrics. */
const char *h1_fault_name(enum h1_fault);
const char *h1_fault_text(enum h1_fault);
/*
 * Number of responses of this process that were incomplete or invalid, from
 * whichever server, while one was expected.
 */
guint64 h1_faults(enum h1_fault);
/*
 * Reports each of them as the event "response-fault", at most five a second,
 * and resets the numbers.
 */
void h1_faults_log(const struct pt_events *);

/*
 * Callbacks run from the main loop and may free the connection.  A callback
 * marked "client" may be NULL for a server, and the reverse.
 */
struct h1_ops {
	void (*connected)(void *ctx); /* client */
	void (*head)(void *ctx, struct h1_head *);
	void (*body)(void *ctx, const char *, gsize);
	void (*complete)(void *ctx);
	void (*drained)(void *ctx); /* unsent output fell to H1_LOW_WATER */
	/* server: the request is malformed or too large; send this status */
	void (*reject)(void *ctx, int status, const char *why);
	void (*closed)(void *ctx, enum h1_end, const char *why);
};

struct h1_opts {
	const struct h1_ops *ops;
	void *ctx;
	gsize head_max; /* bytes, 0: H1_HEAD_MAX */
	gint64 body_max; /* bytes, 0: no limit */
};

struct h1_conn;

/* Serves an accepted socket; the connection becomes its owner. */
struct h1_conn *h1_accept(GSocket *, const struct h1_opts *);
/*
 * Connects; closed() reports H1_END_REFUSED if that fails or takes longer
 * than connect_ms.  Never calls back before it returns.
 */
struct h1_conn *h1_connect(
    const char *host, guint port, guint connect_ms, const struct h1_opts *);
/* Closes immediately; queued output is lost. */
void h1_free(struct h1_conn *);
/* Closes with a reset, so that a partial response cannot look complete. */
void h1_abort(struct h1_conn *);
/*
 * Sends queued output, then closes.  Input that still arrives is read and
 * discarded for a while: closing with unread input would send a reset, and the
 * peer could lose the response.
 */
void h1_finish(struct h1_conn *);

/* Server: sends 100 Continue if the request expects it. */
void h1_continue(struct h1_conn *, const struct h1_head *);
void h1_send(struct h1_conn *, const void *, gsize);
/* Bytes to be sent and not yet written to the socket. */
gsize h1_queued(const struct h1_conn *);
/* Sends bytes without a copy; call it only if it is the last output for now. */
void h1_send_bytes(struct h1_conn *, GBytes *);
/*
 * Server: number of connections with output that was not yet written to
 * the socket, those that h1_finish() closes included.
 */
guint h1_unsent(void);
/* The bytes of that output. */
gsize h1_unsent_bytes(void);
/* Server: time since the peer last took output, 0: none is queued. */
gint64 h1_stalled(const struct h1_conn *);
/* Replaces the limits of the options, also for a message being read. */
void h1_limits(struct h1_conn *, gsize head_max, gint64 body_max);
/* TRUE stops reading, FALSE resumes it. */
void h1_pause(struct h1_conn *, gboolean);
/* Server: the response is complete, read the next request. */
void h1_read_next(struct h1_conn *);
/* Client: a response is expected; "bodyless" after a HEAD request. */
void h1_expect(struct h1_conn *, gboolean bodyless);
/* TRUE if the connection stays open after the last message. */
gboolean h1_persistent(const struct h1_conn *);
/*
 * Client, between calls: TRUE if the connection is persistent, no unexpected
 * byte has arrived, and the last request was sent whole.
 */
gboolean h1_reusable(const struct h1_conn *);
/* Server: TRUE if no byte of a request was read since the last response. */
gboolean h1_idle(const struct h1_conn *);
/* TRUE if bytes wait in the socket. */
gboolean h1_unread(const struct h1_conn *);
/* Time on sys_clock of the last byte read or written. */
gint64 h1_last_active(const struct h1_conn *);
/*
 * Time on sys_clock of the first byte of the message being read; 0: none is.
 * Bounds messages that arrive a byte at a time.
 */
gint64 h1_begun(const struct h1_conn *);

/* ---- pool of client connections to one address, and calls on it ---- */

struct h1_pool;
struct h1_call;

struct h1_pool_opts {
	const char *host;
	guint port;
	guint connect_ms; /* time-out of a connection attempt */
	guint idle_ms; /* a connection idle for longer is not reused */
	/* Most connections; idle ones are closed for new ones.  0: no limit. */
	guint conns;
};

struct h1_pool *h1_pool_new(const struct h1_pool_opts *);
/* Fails the calls in progress with H1_END_RESET. */
void h1_pool_free(struct h1_pool *);
/*
 * Closes the idle connections, and the others after their calls; frees the pool
 * with the last one.  No call may be added.
 */
void h1_pool_retire(struct h1_pool *);
/* Closes connections that have exceeded their idle time. */
void h1_pool_sweep(struct h1_pool *);
/* Number of idle connections. */
guint h1_pool_idle(const struct h1_pool *);
/* Number of connections opened since the pool was created. */
guint64 h1_pool_opened(const struct h1_pool *);

/* A call ends with exactly one of complete() and failed(), or is cancelled. */
struct h1_call_ops {
	/*
	 * Returns FALSE for a stray response, which belongs to another request
	 * than this call: it is discarded, and the next response on the
	 * connection is read.  May cancel the call.
	 */
	gboolean (*head)(void *ctx, struct h1_head *);
	void (*body)(void *ctx, const char *, gsize);
	void (*complete)(void *ctx);
	/* "sent": part of the request may have reached the peer. */
	void (*failed)(void *ctx, enum h1_end, gboolean sent, const char *why);
};

struct h1_call_opts {
	GBytes *request; /* head, and the body unless it is given apart */
	GBytes *body; /* sent without a copy; NULL: none */
	gboolean bodyless; /* HEAD */
	guint idle_ms; /* limit on the idle time besides the pool's, 0: none */
	gboolean fresh; /* use a new connection */
	const struct h1_call_ops *ops;
	void *ctx;
};

/* Callbacks run from the main loop, never before this function returns. */
struct h1_call *h1_call_new(struct h1_pool *, const struct h1_call_opts *);
/* Closes the connection; no callback follows. */
void h1_call_cancel(struct h1_call *);
void h1_call_pause(struct h1_call *, gboolean);
/*
 * TRUE if the connection has carried another response before: what arrives now
 * may be a copy of it.
 */
gboolean h1_call_reused(const struct h1_call *);
/* Closes the connection after this call instead of reusing it. */
void h1_call_no_reuse(struct h1_call *);

/* Delivers a whole response at once, for small ones. */
typedef void (*h1_fetch_cb)(
    void *ctx, const struct h1_head *, const GByteArray *body, const GError *);
/*
 * Fails with PT_ERROR_UNREACHABLE if nothing was sent, with PT_ERROR_TOO_LARGE
 * if the body exceeds body_max, and with PT_ERROR_UNKNOWN after any other
 * failure or timeout_ms.  The callback runs from the main loop.
 */
struct h1_fetch;
struct h1_fetch *h1_fetch_new(struct h1_pool *, GBytes *request,
    guint timeout_ms, gsize body_max, h1_fetch_cb, void *ctx);
void h1_fetch_cancel(struct h1_fetch *);

/* ---- server that reads each request whole before handling it ---- */

struct h1_server;

/* A connection and the latest request on it. */
struct h1_request {
	LIST_ENTRY(h1_request) entry;
	struct h1_server *server;
	struct h1_conn *conn;
	struct h1_head *head;
	GByteArray *body;
	gboolean pending; /* request() was called, no response sent yet */
	void *data; /* set and read by the user of the server only */
};

struct h1_response {
	int status;
	const struct h1_field *fields;
	guint n_fields;
	const void *body;
	gsize len; /* of the body */
	gboolean last; /* close the connection afterwards */
};

struct h1_server_ops {
	/* Respond with h1_server_respond(), now or later. */
	void (*request)(void *ctx, struct h1_request *);
	/* The connection closed before the response; may be NULL. */
	void (*closed)(void *ctx, struct h1_request *);
	/* Request rejected with 400, 413 or 431; may be NULL. */
	void (*rejected)(void *ctx, const char *why);
};

struct h1_server_opts {
	const char *host;
	guint port;
	gint64 body_max; /* bytes, 0: no limit */
	/*
	 * Idle connections are closed after it, and those with a request that
	 * is still not complete; 0: never.
	 */
	gint64 idle_us;
	const struct pt_events *events; /* may be NULL */
	const struct h1_server_ops *ops;
	void *ctx;
};

/* Fails with PT_ERROR_SETTING if it cannot listen. */
struct h1_server *h1_server_new(const struct h1_server_opts *, GError **);
guint h1_server_port(const struct h1_server *);
/* Closes every connection, also with requests pending; keeps listening. */
void h1_server_close(struct h1_server *);
void h1_server_free(struct h1_server *);
void h1_server_respond(struct h1_request *, const struct h1_response *);
