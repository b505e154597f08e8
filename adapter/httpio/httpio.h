/*
 * HTTP/1.1 on h1: client of the log, server, and client of the backend server.
 * Include <glib.h>, <rpc/rpc.h> and "port.h" before this header.
 */

/* Client of the platform's log. */
struct httpio_log;

struct httpio_log_opts {
	const char *base; /* URL with a numeric address */
	guint timeout_ms; /* of an append; for a read, its wait is added */
};

/*
 * Fails with PT_ERROR_SETTING on a bad URL.  httpio_log_free() cancels pending
 * requests without calling back.
 */
struct httpio_log *httpio_log_new(const struct httpio_log_opts *, GError **);
void httpio_log_free(struct httpio_log *);

/*
 * The client as a struct pt_log.  An append fails with PT_ERROR_UNREACHABLE if
 * the record was certainly not appended (no connection, or status 429 or 503),
 * with PT_ERROR_TOO_LARGE if the record is too large, and otherwise with
 * PT_ERROR_UNKNOWN.  A read below the oldest offset returns a batch with the
 * oldest and next offsets and no entries.
 */
struct pt_log httpio_log_port(struct httpio_log *);

/* Totals of requests, and of bytes of bodies sent and received. */
struct httpio_log_stats {
	guint64 requests;
	guint64 sent, received;
};
struct httpio_log_stats httpio_log_stats(const struct httpio_log *);

/* Largest chunk of a streamed body. */
#define HTTPIO_CHUNK 65536
/* Most headers of a request; further headers of a response are dropped. */
#define HTTPIO_HEADERS_MAX 100
/* Most bytes of the target of a request, or of a header's name or value. */
#define HTTPIO_HEADER_MAX 8192

struct httpio_header {
	const char *name;
	const char *value;
};

/* True for a hop-by-hop header, which is not forwarded. */
gboolean httpio_hop_by_hop(const char *name);

/* ---- server ---- */

/*
 * A request in progress.  The handler owns it until httpio_end(),
 * httpio_abort() or httpio_response() releases it.
 */
struct httpio_req;

struct httpio_server_opts {
	const char *host;
	guint port;
	gsize body_max; /* bytes; a larger body gets status 413 */
	gboolean bind_only; /* refuse connections until httpio_server_start() */
	/* The whole request has been read. */
	void (*request)(void *ctx, struct httpio_req *);
	void *ctx;
};

struct httpio_server;
struct httpio_server *httpio_server_new(
    const struct httpio_server_opts *, GError **);
/* Closes every connection; calls back watched requests. */
void httpio_server_free(struct httpio_server *);
guint httpio_server_port(const struct httpio_server *);
/* Begins to accept connections if "bind_only" was set. */
gboolean httpio_server_start(struct httpio_server *, GError **);
/* From now on responses carry "Connection: close". */
void httpio_server_drain(struct httpio_server *);
/* Stops accepting connections; open ones stay. */
void httpio_server_close(struct httpio_server *);
/* Number of requests without a complete response. */
guint httpio_server_pending(const struct httpio_server *);
/* Number of open connections, idle ones included. */
guint httpio_server_connections(const struct httpio_server *);

const char *httpio_req_method(const struct httpio_req *);
/* Path and query as received. */
const char *httpio_req_path(const struct httpio_req *);
const char *httpio_req_header(const struct httpio_req *, const char *name);
/* Stores at most "max" end-to-end headers and returns their number. */
guint httpio_req_headers(
    const struct httpio_req *, struct httpio_header *, guint max);
const char *httpio_req_body(const struct httpio_req *, gsize *len);

/*
 * Calls back once if the connection closes before the response is complete; the
 * request has been released by then.
 */
void httpio_req_watch(struct httpio_req *, void (*closed)(void *), void *arg);

/* Starts the response; length of the body, -1: unknown. */
void httpio_head(struct httpio_req *, guint status,
    const struct httpio_header *, guint n, gint64 length);
/*
 * Sends part of the body.  "drained", if set, is called when most of it has
 * been written to the socket; write no more before that.
 */
void httpio_write(struct httpio_req *, const void *data, gsize len,
    void (*drained)(void *), void *arg);
/* Ends the response and releases the request. */
void httpio_end(struct httpio_req *);
/*
 * Resets the connection, so that a partial response cannot look complete, and
 * releases the request.
 */
void httpio_abort(struct httpio_req *);
/* Sends a response with a whole body and releases the request. */
void httpio_response(struct httpio_req *, guint status,
    const struct httpio_header *, guint n, const void *data, gsize len);

/* Number of connections whose responses are not yet written to the socket. */
guint httpio_unsent(void);

/* ---- client of the backend server ---- */

struct httpio_backend_opts {
	const char *url; /* http://ADDRESS:PORT */
	const char *url_name; /* in errors: "setting log-url" */
	const char *name; /* of the server in errors; not copied */
	guint conns; /* connection limit of the server */
};

struct httpio_backend;
struct httpio_backend *httpio_backend_new(
    const struct httpio_backend_opts *, GError **);
/* Calls in progress continue. */
void httpio_backend_free(struct httpio_backend *);

/*
 * Tells whether the server accepts connections, by one on which nothing is
 * sent.  Calls back once, never before it returns.
 */
struct httpio_check;
struct httpio_check *httpio_check(const struct httpio_backend *,
    void (*cb)(void *arg, gboolean up), void *arg);
void httpio_check_cancel(struct httpio_check *);

struct httpio_call {
	const char *method;
	const char *path; /* with query */
	const struct httpio_header *headers;
	guint n_headers;
	const void *body;
	gsize body_len;
	/*
	 * The request must not be sent twice.  It uses a new connection; others
	 * are sent again if a kept connection turns out to be closed.
	 */
	gboolean once;
};

struct httpio_response {
	int status;
	struct httpio_header headers[HTTPIO_HEADERS_MAX];
	guint n_headers;
	gint64 length; /* of the body, -1: unknown */
};

/*
 * Response head of the backend server, or an error: PT_ERROR_UNREACHABLE if the
 * request was not sent, else PT_ERROR_UNKNOWN.  After an error the fetch is
 * released.
 */
struct httpio_fetch;
typedef void (*httpio_head_cb)(
    void *arg, const struct httpio_response *, const GError *);
/*
 * Part of the body; the last part has "more" false.  An error means that the
 * body is incomplete.  After the last part or an error the fetch is released.
 */
typedef void (*httpio_body_cb)(
    void *arg, const char *data, gsize len, gboolean more, const GError *);

struct httpio_fetch *httpio_fetch(struct httpio_backend *,
    const struct httpio_call *, httpio_head_cb, void *arg);
/* Reads up to HTTPIO_CHUNK bytes; may call back at once. */
void httpio_fetch_read(struct httpio_fetch *, httpio_body_cb, void *arg);
/* Closes the connection and releases the fetch without calling back. */
void httpio_fetch_cancel(struct httpio_fetch *);
