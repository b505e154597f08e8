/*
 * Internal declarations of the mesh library.  Include "mesh.h" before this
 * header.
 */

struct mesh {
	struct mesh_opts o;
	guint net; /* B of 127.B.D.N */
	GSocket *lock; /* listens while this run uses the net */
	char *dir, *bin, *runs, *log_url;
	struct mesh_proc log;
	GPtrArray *insts; /* struct mesh_inst */
	struct rpcio_client *rpc;
	guint tools;
};

/* Reaps the process if it has ended; true if it is not running. */
gboolean mesh_ended(struct mesh_proc *);

/* ---- http1.c: HTTP/1.1 client of the paced load ---- */

/*
 * A libsoup session scans all queued requests and connections on each event,
 * which made the load generator the bottleneck at some hundred requests in
 * flight.  This client reuses connections and has a constant cost per request.
 */
enum load_result {
	LOAD_COMPLETE,
	LOAD_REFUSED, /* could not connect: nothing was sent */
	LOAD_CUT /* connection closed before the end of the answer */
};

struct load_handler {
	/* "headers" ends with an empty line. */
	void (*head)(void *arg, guint status, const char *headers);
	void (*data)(void *arg, const char *, gsize len);
	/* Last callback.  "resent": see load_send(). */
	void (*end)(void *arg, enum load_result, gboolean resent);
};

struct load_http;
struct load_http *load_http_new(void);
void load_http_free(struct load_http *); /* ends all callbacks */

/* Adds a server, with at most "max" connections to it. */
struct load_host;
struct load_host *load_add_host(
    struct load_http *, const char *ip, guint port, guint max);

/*
 * Sends a request and frees "text".  With "repeat" it is resent once on a new
 * connection if a reused one closes before the first byte of the answer.
 */
struct load_req;
struct load_req *load_send(struct load_host *, GString *text, gboolean repeat,
    const struct load_handler *, void *arg);
/* Closes the connection; end() is not called. */
void load_cancel(struct load_req *);
/* Value of a header, NULL if there is none; free it with g_free(). */
char *load_header(const char *headers, const char *name);
