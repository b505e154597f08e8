/* Internals of this library; include <http_parser.h> and "h1.h" before it. */

/* State of check.c within a message; zero before one. */
struct h1_check {
	int state;
	guint at; /* bytes of the status line */
	gboolean trailer; /* fields are trailers */
	guint64 left; /* of a chunk */
};

struct h1_parse {
	http_parser hp;
	struct h1_check check;
	enum h1_fault fault;
	struct h1_head *head;
	GString *target, *name, *value;
	gsize head_bytes;
	gint64 body_bytes;
	int status; /* to reject the request with, 0: 400 */
	gboolean in_value;
	gboolean started; /* within a message */
	gint64 begun; /* arrival of its first byte */
	gboolean interim; /* within a 1xx response */
	guint n_interim; /* 1xx responses since the request */
	gboolean in_trailer; /* the head is complete: fields are trailers */
	gboolean coded; /* the head has a Transfer-Encoding */
};

struct h1_conn {
	guint refs;
	gboolean freed; /* by h1_free(); "refs" keep the memory */
	gboolean server;
	gboolean connecting;
	gboolean expecting; /* a message, or the rest of one */
	gboolean keep_alive; /* last message has ended and allows another */
	gboolean bodyless; /* response to HEAD */
	gboolean paused, failed;
	gboolean finishing; /* h1_finish() was called */
	gboolean shut; /* the write side was shut down */
	gboolean eof;
	gboolean reset; /* the connection did not end with an end of file */
	char *remote; /* client: address of the server */
	enum h1_end why; /* if "failed": the reason */
	const struct h1_ops *ops;
	void *ctx;
	gsize head_max;
	gint64 body_max;
	GSocket *sock;
	gsize unsent; /* server: bytes counted by h1_unsent_bytes() */
	gint64 taken_at; /* the peer last took output, or none was queued */
	guint stall_timer;
	struct sys_watch *watch;
	GIOCondition cond; /* of the watch */
	guint timer; /* connect or linger time-out, or deferred work */
	GByteArray *in;
	GByteArray *out;
	gsize in_peak, out_peak; /* largest lengths since allocated */
	gsize sent; /* bytes of "out" already written */
	GBytes *tail; /* follows "out", NULL: nothing */
	gsize tail_sent; /* bytes of it already written */
	gint64 last_active;
	guint64 n_read; /* bytes received */
	struct h1_parse parse;
};

void h1_check_start(struct h1_check *);
/* The head has been parsed: the body follows. */
void h1_check_body(struct h1_check *, gboolean chunked);
/* TRUE if the last byte checked ends a head or a message. */
gboolean h1_check_ended(const struct h1_check *);
/*
 * Checks bytes up to the end of the head or of the message, and reduces "*len"
 * to those checked.
 */
enum h1_fault h1_check_run(
    struct h1_check *, gboolean server, const guint8 *, gsize *len);

void h1_parse_init(struct h1_conn *);
void h1_parse_clear(struct h1_conn *);
/*
 * Server: the peer has not read its responses, so no further request is parsed.
 */
gboolean h1_congested(const struct h1_conn *);
gboolean h1_parse_run(struct h1_conn *);
gboolean h1_parse_eof(struct h1_conn *);
