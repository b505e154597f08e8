/*
 * HTTP by libsoup.  Include <glib.h>, <rpc/rpc.h> and "port.h" before this
 * header.
 */

/* Client of the platform's log. */
struct httpio_log;

struct httpio_log_opts {
	const char *base; /* URL without a path, as http://127.0.0.1:8600 */
	guint timeout_ms; /* of an append, and of a read beyond its wait */
};

/*
 * Fails with PT_ERROR_SETTING on a bad URL.  After httpio_log_free() no
 * callback is made.
 */
struct httpio_log *httpio_log_new(const struct httpio_log_opts *, GError **);
void httpio_log_free(struct httpio_log *);

/*
 * The log as a port.  An append fails with PT_ERROR_UNREACHABLE when nothing
 * can have been appended (no connection, or refused with 429 or 503), with
 * PT_ERROR_TOO_LARGE when the record is too large, and else with
 * PT_ERROR_UNKNOWN.  A read from below the oldest offset gives a batch with the
 * bounds and no entries.
 */
struct pt_log httpio_log_port(struct httpio_log *);

/* Bytes of bodies sent and received, and requests made, since the start. */
struct httpio_log_stats {
	guint64 requests;
	guint64 sent, received;
};
struct httpio_log_stats httpio_log_stats(const struct httpio_log *);

/* Largest chunk of a streamed body. */
#define HTTPIO_CHUNK 65536
/* Bounds of the headers of a request. */
#define HTTPIO_HEADERS_MAX 100
#define HTTPIO_HEADER_MAX 8192

struct httpio_header {
	const char *name;
	const char *value;
};

/* True for a header that concerns one connection and is not forwarded. */
gboolean httpio_hop_by_hop(const char *name);

/* ---- server ---- */

/* A request in progress, owned by the handler until it is ended. */
struct httpio_req;

struct httpio_server_opts {
	const char *host;
	guint port;
	gsize body_max; /* a larger body is answered with 413 */
	gboolean hold; /* refuse connections until httpio_server_start() */
	/* The request is wholly read. */
	void (*request)(void *ctx, struct httpio_req *);
	void *ctx;
};

struct httpio_server;
struct httpio_server *httpio_server_new(
    const struct httpio_server_opts *, GError **);
/* Closes every connection; the callbacks "gone" are made. */
void httpio_server_free(struct httpio_server *);
guint httpio_server_port(const struct httpio_server *);
/* Accepts connections, after "hold". */
gboolean httpio_server_start(struct httpio_server *, GError **);
/* From now on answers carry "Connection: close". */
void httpio_server_drain(struct httpio_server *);
/* Accepts no more connections; those that are open go on. */
void httpio_server_close(struct httpio_server *);
/* Requests that are not answered yet. */
guint httpio_server_pending(const struct httpio_server *);
/* Open connections, idle ones included. */
guint httpio_server_connections(const struct httpio_server *);

const char *httpio_req_method(const struct httpio_req *);
/* Path and query as received. */
const char *httpio_req_path(const struct httpio_req *);
const char *httpio_req_header(const struct httpio_req *, const char *name);
/* Fills in at most "max" headers that are not hop-by-hop. */
guint httpio_req_headers(
    const struct httpio_req *, struct httpio_header *, guint max);
const char *httpio_req_body(const struct httpio_req *, gsize *len);

/*
 * Calls back once if the caller closes its connection before the request is
 * ended.  The request is then released.
 */
void httpio_req_watch(struct httpio_req *, void (*gone)(void *), void *arg);

/* Begins the answer; length -1: not known. */
void httpio_head(struct httpio_req *, guint status,
    const struct httpio_header *, guint n, gint64 length);
/*
 * Sends part of the body.  "drained", if set, is called when the socket took
 * it; write no more before that.
 */
void httpio_write(struct httpio_req *, const void *data, gsize len,
    void (*drained)(void *), void *arg);
/* Ends the answer and releases the request. */
void httpio_end(struct httpio_req *);
/* Resets the connection in mid-answer and releases the request. */
void httpio_abort(struct httpio_req *);
/* Answers with a whole body and releases the request. */
void httpio_response(struct httpio_req *, guint status,
    const struct httpio_header *, guint n, const void *data, gsize len);

/* ---- client of the backend server ---- */

struct httpio_backend_opts {
	const char *url; /* http://ADDRESS:PORT */
	guint conns; /* connection limit of the backend server */
};

struct httpio_backend;
struct httpio_backend *httpio_backend_new(
    const struct httpio_backend_opts *, GError **);
/* Calls in progress go on. */
void httpio_backend_free(struct httpio_backend *);

struct httpio_call {
	const char *method;
	const char *path; /* with query */
	const struct httpio_header *headers;
	guint n_headers;
	const void *body;
	gsize body_len;
	/*
	 * Not to be sent twice: it gets a connection of its own, since libsoup
	 * repeats a request when a kept one turns out to be closed.
	 */
	gboolean once;
};

struct httpio_response {
	int status;
	struct httpio_header headers[HTTPIO_HEADERS_MAX];
	guint n_headers;
	gint64 length; /* -1: not known */
};

/*
 * Answer of a backend server, or an error: PT_ERROR_UNREACHABLE if the request
 * was not sent, else PT_ERROR_UNKNOWN.  After an error the fetch is released.
 */
struct httpio_fetch;
typedef void (*httpio_head_cb)(
    void *arg, const struct httpio_response *, const GError *);
/*
 * Part of the body; the last part has "more" false.  An error means that the
 * body is not whole.  After the last part or an error the fetch is released.
 */
typedef void (*httpio_body_cb)(
    void *arg, const char *data, gsize len, gboolean more, const GError *);

struct httpio_fetch *httpio_fetch(struct httpio_backend *,
    const struct httpio_call *, httpio_head_cb, void *arg);
/* Reads up to HTTPIO_CHUNK bytes; may call back at once. */
void httpio_fetch_read(struct httpio_fetch *, httpio_body_cb, void *arg);
/* Closes the connection and releases the fetch without calling back. */
void httpio_fetch_cancel(struct httpio_fetch *);
