/*
 * HTTP/1.1 over non-blocking sockets on the main loop, framed by http_parser.
 * One connection carries one message at a time in each direction.  Include
 * <gio/gio.h>, <rpc/rpc.h>, <sys/queue.h>, "port.h" and "rpcio.h" before this
 * header.
 */

/* Bounds of a head in bytes and fields, where the owner sets none. */
#define H1_HEAD_MAX (64 * 1024)
#define H1_FIELDS_MAX 200
/* Bytes waiting to be written above which a sender should pause its source. */
#define H1_HIGH_WATER (256 * 1024)
#define H1_LOW_WATER (64 * 1024)

struct h1_field {
	char *name;
	char *value;
};

/* Start line and header fields of a message; reference counted. */
struct h1_head {
	guint refs;
	int status; /* of a response */
	char *method; /* of a request */
	char *target; /* of a request: path and query as sent */
	GArray *fields; /* struct h1_field, in the order received */
	gint64 length; /* of the body, -1: not given */
	gboolean chunked;
	gboolean keep_alive;
	gboolean http10;
};

struct h1_head *h1_head_ref(struct h1_head *);
void h1_head_unref(struct h1_head *);
/* Value of the first field of this name, any case; NULL: absent. */
const char *h1_head_get(const struct h1_head *, const char *name);
/* The field concerns one connection only, or frames the body. */
gboolean h1_hop_by_hop(const struct h1_head *, const char *name);

/* Writing of heads. */
void h1_put_request(GString *, const char *method, const char *target);
void h1_put_status(GString *, int status);
void h1_put(GString *, const char *name, const char *value);
void h1_put_int(GString *, const char *name, gint64 value);
void h1_put_end(GString *);
const char *h1_reason(int status);

enum h1_end {
	H1_END_EOF, /* the peer closed the connection in order */
	H1_END_RESET, /* reset, or no answer from the peer's host */
	H1_END_REFUSED, /* never connected: nothing was sent */
	H1_END_BAD /* bytes that are no message, or a body cut short */
};

/*
 * Callbacks run from the main loop.  The connection may be freed in any of
 * them.  All but those of the side in use may be NULL.
 */
struct h1_ops {
	void (*connected)(void *ctx); /* client */
	void (*head)(void *ctx, struct h1_head *);
	void (*body)(void *ctx, const char *, gsize);
	void (*complete)(void *ctx);
	void (*drained)(void *ctx); /* fewer than H1_LOW_WATER bytes wait */
	/* Server: the request cannot be read; answer with this status. */
	void (*bad)(void *ctx, int status, const char *why);
	void (*closed)(void *ctx, enum h1_end, const char *why);
};

struct h1_opts {
	const struct h1_ops *ops;
	void *ctx;
	gsize head_max; /* bytes, 0: H1_HEAD_MAX */
	gint64 body_max; /* bytes, 0: no limit */
};

struct h1_conn;

/* Serves an accepted socket, which the connection takes over. */
struct h1_conn *h1_accept(GSocket *, const struct h1_opts *);
/*
 * Connects; closed() with H1_END_REFUSED follows if that fails or takes longer
 * than connect_ms.  Never calls back from within this function.
 */
struct h1_conn *h1_connect(
    const char *host, guint port, guint connect_ms, const struct h1_opts *);
/* Closes at once; unsent bytes are lost. */
void h1_free(struct h1_conn *);
/* Closes with a reset, so that an answer in progress cannot look complete. */
void h1_abort(struct h1_conn *);
/*
 * Sends what is queued, then closes.  The peer may still be writing: input is
 * discarded for a while so that it reads the answer before a reset.
 */
void h1_finish(struct h1_conn *);

/* Server: lets a caller that waits for it send the body of this request. */
void h1_continue(struct h1_conn *, const struct h1_head *);
void h1_send(struct h1_conn *, const void *, gsize);
/* Bytes accepted by h1_send() and not yet by the system. */
gsize h1_queued(const struct h1_conn *);
/* Stops and resumes reading. */
void h1_pause(struct h1_conn *, gboolean);
/* Server: the answer is complete, read the next request. */
void h1_read_next(struct h1_conn *);
/* Client: a response is expected; "bodyless" after a HEAD request. */
void h1_expect(struct h1_conn *, gboolean bodyless);
/* The last message leaves the connection open. */
gboolean h1_persistent(const struct h1_conn *);
/* Client, between calls: kept, and no stray byte has arrived. */
gboolean h1_reusable(const struct h1_conn *);
/* Server: nothing of a request has been read since the last answer. */
gboolean h1_idle(const struct h1_conn *);
/* Time of the last byte in either direction, g_get_monotonic_time(). */
gint64 h1_last_active(const struct h1_conn *);

/* ---- connections to one address, and calls on them ---- */

struct h1_pool;
struct h1_call;

struct h1_pool_opts {
	const char *host;
	guint port;
	guint connect_ms; /* time-out of a connection attempt */
	guint idle_ms; /* an idle connection is not used after this time */
};

struct h1_pool *h1_pool_new(const struct h1_pool_opts *);
/* Fails the calls in progress with H1_END_RESET. */
void h1_pool_free(struct h1_pool *);
/* Closes idle connections that are too old to be used. */
void h1_pool_sweep(struct h1_pool *);
guint h1_pool_idle(const struct h1_pool *);
/* Connections opened since the start. */
guint64 h1_pool_opened(const struct h1_pool *);

/* Exactly one of complete() and failed() ends a call that is not cancelled. */
struct h1_call_ops {
	/* FALSE: a stray response, read over; the own one is still to come. */
	gboolean (*head)(void *ctx, struct h1_head *);
	void (*body)(void *ctx, const char *, gsize);
	void (*complete)(void *ctx);
	/* "sent": part of the request may have reached the peer. */
	void (*failed)(void *ctx, enum h1_end, gboolean sent, const char *why);
};

struct h1_call_opts {
	GBytes *request; /* head and body */
	gboolean bodyless; /* HEAD */
	guint idle_ms; /* tighter bound on an idle connection, 0: the pool's */
	const struct h1_call_ops *ops;
	void *ctx;
};

/* Callbacks come from the loop, never from within this function. */
struct h1_call *h1_call_new(struct h1_pool *, const struct h1_call_opts *);
/* Closes the connection; no callback follows. */
void h1_call_cancel(struct h1_call *);
void h1_call_pause(struct h1_call *, gboolean);
/* The connection is not to be used again after this call. */
void h1_call_no_reuse(struct h1_call *);

/* A whole response at once: for small exchanges. */
typedef void (*h1_fetch_cb)(
    void *ctx, const struct h1_head *, const GByteArray *body, const GError *);
/*
 * Fails with PT_ERROR_UNREACHABLE when nothing was sent, with
 * PT_ERROR_UNKNOWN when no answer came within timeout_ms, and with
 * PT_ERROR_TOO_LARGE.  The callback comes from the loop.
 */
struct h1_fetch;
struct h1_fetch *h1_fetch_new(struct h1_pool *, GBytes *request,
    guint timeout_ms, gsize body_max, h1_fetch_cb, void *ctx);
void h1_fetch_cancel(struct h1_fetch *);

/* ---- a server of small requests, each read whole before it is answered ----
 */

struct h1_server;

/* A connection and the request read last on it. */
struct h1_request {
	LIST_ENTRY(h1_request) entry;
	struct h1_server *server;
	struct h1_conn *conn;
	struct h1_head *head;
	GByteArray *body;
	gboolean asked; /* request() has been called, the answer is due */
	void *data; /* the owner's */
};

struct h1_response {
	int status;
	const struct h1_field *fields;
	guint n_fields;
	const void *body;
	gsize len; /* of the body, in bytes */
	gboolean last; /* the connection closes after it */
};

struct h1_server_ops {
	/* To be answered now or later. */
	void (*request)(void *ctx, struct h1_request *);
	/* The connection ends before the answer; may be NULL. */
	void (*left)(void *ctx, struct h1_request *);
	/* Bytes that are no request, which get 400 or 413; may be NULL. */
	void (*bad)(void *ctx, const char *why);
};

struct h1_server_opts {
	const char *host;
	guint port;
	gint64 body_max; /* bytes, 0: no limit */
	gint64 idle_us; /* a quiet connection is closed then, 0: never */
	const struct pt_events *events; /* may be NULL */
	const struct h1_server_ops *ops;
	void *ctx;
};

/* Fails with PT_ERROR_SETTING when it cannot listen. */
struct h1_server *h1_server_new(const struct h1_server_opts *, GError **);
guint h1_server_port(const struct h1_server *);
/* Closes every connection, answered or not; goes on listening. */
void h1_server_close(struct h1_server *);
void h1_server_free(struct h1_server *);
void h1_server_respond(struct h1_request *, const struct h1_response *);
