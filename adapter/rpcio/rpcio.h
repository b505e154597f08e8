/*
 * ONC RPC over TCP and datagrams over UDP, on the main loop and without
 * blocking it.  Include <gio/gio.h>, <rpc/rpc.h>, "pt.h" and "port.h" first.
 */

/* A procedure of the schema with its codecs. */
struct rpcio_proc {
	guint proc;
	const char *name; /* lower case, for counters and events */
	xdrproc_t args;
	gsize args_size;
	xdrproc_t res;
	gsize res_size;
	gboolean oneway; /* no reply is sent */
};

/* Looks a procedure up; NULL if the schema has none of this number. */
const struct rpcio_proc *rpcio_proc(guint proc);

/* Counters by procedure number. */
#define RPCIO_PROCS 17
struct rpcio_stats {
	guint64 in[RPCIO_PROCS]; /* bytes received, with record marks */
	guint64 out[RPCIO_PROCS]; /* bytes sent, with record marks */
	guint64 calls[RPCIO_PROCS];
	guint64 malformed; /* includes oversized messages */
};

/* ---- server ---- */

/* A call in progress.  The handler replies exactly once, now or later. */
struct rpcio_req;

struct rpcio_server_opts {
	const char *host;
	guint port;
	/* args are valid until the reply; NULL for the null procedure */
	void (*handle)(
	    void *ctx, struct rpcio_req *, guint proc, const void *args);
	/*
	 * A connection was closed.  The handler still releases its pending
	 * calls by rpcio_reply() or rpcio_fail(), which then send nothing.
	 */
	void (*closed)(void *ctx, guint64 conn);
	void *ctx;
	const struct pt_events *events;
	struct rpcio_stats *stats; /* may be NULL */
};

struct rpcio_server;
struct rpcio_server *rpcio_server_new(
    const struct rpcio_server_opts *, GError **);
void rpcio_server_free(struct rpcio_server *);
/* The local port, also if the options gave port 0. */
guint rpcio_server_local_port(const struct rpcio_server *);

/* Identifies the connection of a call, unique within the process. */
guint64 rpcio_req_conn(const struct rpcio_req *);
/* Sends the result and releases the call; "res" is not freed. */
void rpcio_reply(struct rpcio_req *, const void *res);
/* Replies with a system error and releases the call. */
void rpcio_fail(struct rpcio_req *);

/* ---- client ---- */

struct rpcio_client_opts {
	guint idle_ms; /* idle connections are closed after this time */
	guint connect_ms; /* time-out of a connection attempt */
	const struct pt_events *events;
	struct rpcio_stats *stats; /* may be NULL */
};

/*
 * Keeps one connection to each peer and multiplexes calls on it.  Callbacks
 * run from the main loop, never from within the call itself, and may be NULL.
 * For a one-way procedure or a void result "res" is a dummy that is not NULL.
 */
struct rpcio_client;
struct rpcio_client *rpcio_client_new(const struct rpcio_client_opts *);
void rpcio_client_free(struct rpcio_client *);
/* The client as the RPC interface that core libraries and programs call. */
struct pt_rpc rpcio_client_port(struct rpcio_client *);

/* ---- datagrams ---- */

struct rpcio_dgram;
struct rpcio_dgram *rpcio_dgram_new(const char *host, guint port,
    void (*input)(void *ctx, const void *data, gsize len), void *ctx,
    GError **);
void rpcio_dgram_free(struct rpcio_dgram *);
struct pt_dgram rpcio_dgram_port(struct rpcio_dgram *);
/* The local port, also if port 0 was given. */
guint rpcio_dgram_local_port(const struct rpcio_dgram *);
/* Bytes received and sent so far. */
void rpcio_dgram_bytes(const struct rpcio_dgram *, guint64 *in, guint64 *out);

/* ---- connections: shared by the client and the server of this library ---- */

/* Receiving a larger record closes the connection. */
#define RPCIO_RECORD_MAX (2 * 1024 * 1024)
/* Bytes of the record mark before each fragment. */
#define RPCIO_MARK_LEN 4

/* A record to send.  *slot, if set, becomes NULL when its last byte is sent. */
struct rpcio_msg {
	struct rpcio_msg *next;
	struct rpcio_msg **slot;
	gsize len, sent;
	char data[];
};

/* Codec of a procedure without arguments or result. */
bool_t rpcio_void(XDR *, ...);

struct rpcio_conn_ops {
	void (*connected)(void *ctx);
	/* Handles a received record; FALSE if it is malformed. */
	gboolean (*record)(void *ctx, const char *data, gsize len);
	/* The peer closed the connection, or it failed. */
	void (*closed)(void *ctx, const GError *why);
	gboolean pause; /* stop reading while too many bytes are unsent */
};

/* Encodes header and value as a record; NULL if over RPCIO_RECORD_MAX. */
struct rpcio_msg *rpcio_msg_new(
    gboolean (*head)(XDR *, void *), void *arg, xdrproc_t, const void *value);

struct rpcio_conn;
/* Owns the socket from now on; "connecting": it is not yet connected. */
struct rpcio_conn *rpcio_conn_new(
    GSocket *, gboolean connecting, const struct rpcio_conn_ops *, void *ctx);
/* Writes at once if possible, else when the socket becomes writable. */
void rpcio_conn_send(struct rpcio_conn *, struct rpcio_msg *);
/* Removes a queued record of which no byte was sent. */
void rpcio_conn_drop(struct rpcio_conn *, struct rpcio_msg *);
gsize rpcio_conn_queued(const struct rpcio_conn *);
/* Closes the connection without calling closed(). */
void rpcio_conn_free(struct rpcio_conn *);

/* Address of a numeric host; NULL with PT_ERROR_UNREACHABLE otherwise. */
GSocketAddress *rpcio_address(const char *host, guint port, GError **);
/* Non-blocking socket bound to the address. */
GSocket *rpcio_bind(
    GSocketType, const char *host, guint port, gboolean listening, GError **);
guint rpcio_local_port(GSocket *);

/* Accepts connections and passes each socket to the callback, which owns it. */
struct rpcio_listener;
struct rpcio_listener *rpcio_listen(const char *host, guint port,
    gboolean bind_only, void (*accepted)(void *ctx, GSocket *), void *ctx,
    const struct pt_events *, GError **);
/* Starts listening after "bind_only"; connections are refused until then. */
gboolean rpcio_listen_start(struct rpcio_listener *, GError **);
guint rpcio_listen_local_port(const struct rpcio_listener *);
/*
 * Accepts the connections that wait in the queue of the socket: when it is
 * closed they are reset, although the callers count them as accepted.
 */
void rpcio_listen_drain(struct rpcio_listener *);
void rpcio_listen_free(struct rpcio_listener *);
