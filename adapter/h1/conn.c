#include <gio/gio.h>
#include <rpc/rpc.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "conn.h"

/*
 * Limits of input per turn of the main loop, so that a large body does not
 * delay other connections.
 */
#define READ_BYTES (16 * 1024)
#define READS_PER_TURN 4
/*
 * Limit on the input that waits to be parsed, such as pipelined requests; the
 * rest stays in the socket.
 */
#define READ_AHEAD_MAX (64 * 1024)
/* A buffer that has held more than this is freed once it is empty. */
#define BUFFER_KEEP_MAX 4096
/* A server closes a connection whose peer takes no output for this time. */
#define STALL_US (120 * G_TIME_SPAN_SECOND)
/* Time for which input is discarded after the last byte of a response. */
#define LINGER_US (1 * G_TIME_SPAN_SECOND)
/*
 * On an idle connection TCP keep-alive detects an unreachable peer within about
 * 3 s.
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/* The connection fails if sent data is not acknowledged within this time. */
#define USER_TIMEOUT_MS 2500

static void on_timer(void *);

static guint n_unsent;
static gsize unsent_bytes;

static void on_stall_timer(void *);

static void
count_unsent(struct h1_conn *c)
{
	gsize unsent = c->server && !c->freed && !c->failed ? h1_queued(c) : 0;

	if (c->unsent == 0 && unsent > 0) {
		n_unsent++;
		c->taken_at = pt_now(&sys_clock);
		c->stall_timer = sys_after(STALL_US, on_stall_timer, c);
	} else if (c->unsent > 0 && unsent == 0) {
		n_unsent--;
		sys_cancel(&c->stall_timer);
	}
	unsent_bytes += unsent - c->unsent;
	c->unsent = unsent;
}

guint
h1_unsent(void)
{
	return n_unsent;
}

gsize
h1_unsent_bytes(void)
{
	return unsent_bytes;
}

gint64
h1_stalled(const struct h1_conn *c)
{
	return c->unsent > 0 ? pt_now(&sys_clock) - c->taken_at : 0;
}

static void
conn_unref(struct h1_conn *c)
{
	if (--c->refs > 0)
		return;
	g_byte_array_unref(c->in);
	g_byte_array_unref(c->out);
	g_clear_pointer(&c->tail, g_bytes_unref);
	h1_parse_clear(c);
	g_free(c->remote);
	g_free(c);
}

/* GByteArray never shrinks: idle connections would keep their peak size. */
static void
shrink(GByteArray **a, gsize *peak)
{
	if ((*a)->len > 0) {
		*peak = MAX(*peak, (*a)->len);
		return;
	}
	if (*peak <= BUFFER_KEEP_MAX)
		return;
	g_byte_array_unref(*a);
	*a = g_byte_array_new();
	*peak = 0;
}

gboolean
h1_congested(const struct h1_conn *c)
{
	return !c->parse.started && c->unsent > H1_LOW_WATER;
}

static void
update_watch(struct h1_conn *c)
{
	GIOCondition cond = 0;

	if (c->freed || c->watch == NULL)
		return;
	if (c->connecting || (h1_queued(c) > 0 && !c->failed))
		cond |= G_IO_OUT;
	if (!c->connecting && !c->paused && !c->eof &&
	    c->in->len < READ_AHEAD_MAX)
		cond |= G_IO_IN;
	c->cond = cond;
	sys_watch_set(c->watch, cond);
}

/* Only one timer is needed at a time: a new one replaces the last. */
static void
set_timer(struct h1_conn *c, gint64 us)
{
	sys_cancel(&c->timer);
	c->timer = sys_after(us, on_timer, c);
}

/* Reports a failure from the main loop, never from within an API call. */
static void
fail_later(struct h1_conn *c, enum h1_end why)
{
	c->failed = TRUE;
	c->why = why;
	if (!c->freed)
		set_timer(c, 0);
}

/* ---- faults of responses ---- */

/* Most lines about faults in each interval, and their interval. */
#define FAULT_LINES 5
#define FAULT_LINES_US (1 * G_TIME_SPAN_SECOND)

static struct {
	guint64 n[H1_FAULT_LAST];
	const struct pt_events *events;
	gint64 since; /* start of the interval */
	guint lines; /* in it */
	guint left_out; /* since the last line */
} responses;

guint64
h1_faults(enum h1_fault f)
{
	return responses.n[f];
}

void
h1_faults_log(const struct pt_events *e)
{
	memset(&responses, 0, sizeof(responses));
	responses.events = e;
}

static guint
local_port(const struct h1_conn *c)
{
	GSocketAddress *a = g_socket_get_local_address(c->sock, NULL);
	guint port = 0;

	if (a != NULL)
		port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(a));
	g_clear_object(&a);
	return port;
}

static void
log_fault(struct h1_conn *c, enum h1_fault f)
{
	gint64 now = pt_now(&sys_clock);

	if (now - responses.since >= FAULT_LINES_US) {
		responses.since = now;
		responses.lines = 0;
	}
	if (responses.lines++ >= FAULT_LINES) {
		responses.left_out++;
		return;
	}
	pt_event(responses.events, PT_LEVEL_WARNING, "response-fault",
	    "upstream=%s conn=%u fault=%s text=\"%s\" left_out=%u", c->remote,
	    local_port(c), h1_fault_name(f), h1_fault_text(f),
	    responses.left_out);
	responses.left_out = 0;
}

/* What is wrong with the response that a client waits for, or its end. */
static enum h1_fault
response_fault(const struct h1_conn *c, enum h1_end why)
{
	switch (why) {
	case H1_END_RESET:
		return H1_FAULT_RESET;
	case H1_END_EOF:
		return H1_FAULT_CLOSED;
	case H1_END_BAD:
		if (c->reset)
			return H1_FAULT_RESET;
		return c->eof ? H1_FAULT_TRUNCATED : c->parse.fault;
	default:
		return H1_FAULT_NONE;
	}
}

static void
report_closed(struct h1_conn *c, enum h1_end why, const char *text)
{
	enum h1_fault f = H1_FAULT_NONE;

	if (c->finishing) {
		h1_free(c);
		return;
	}
	if (!c->server && c->expecting)
		f = response_fault(c, why);
	if (f != H1_FAULT_NONE) {
		responses.n[f]++;
		log_fault(c, f);
	}
	c->ops->closed(c->ctx, why, text);
}

/* Writes bytes from "*sent" on; FALSE: the socket takes no more, or failed. */
static gboolean
write_bytes(struct h1_conn *c, const void *p, gsize len, gsize *sent)
{
	GError *err = NULL;
	gssize n;

	while (*sent < len) {
		n = g_socket_send(
		    c->sock, (const char *)p + *sent, len - *sent, NULL, &err);
		if (n < 0) {
			if (!g_error_matches(
				err, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
				fail_later(c, H1_END_RESET);
			g_clear_error(&err);
			return FALSE;
		}
		*sent += (gsize)n;
		c->last_active = c->taken_at = pt_now(&sys_clock);
	}
	return TRUE;
}

static void
write_tail(struct h1_conn *c)
{
	gsize len;
	const void *p;

	if (c->tail == NULL)
		return;
	p = g_bytes_get_data(c->tail, &len);
	if (write_bytes(c, p, len, &c->tail_sent))
		g_clear_pointer(&c->tail, g_bytes_unref);
}

static void
flush(struct h1_conn *c)
{
	if (!c->connecting && !c->failed &&
	    write_bytes(c, c->out->data, c->out->len, &c->sent))
		write_tail(c);
	if (c->sent == c->out->len) {
		g_byte_array_set_size(c->out, 0);
		c->sent = 0;
	} else if (c->sent > H1_LOW_WATER) {
		g_byte_array_remove_range(c->out, 0, c->sent);
		c->sent = 0;
	}
	count_unsent(c);
}

/* Once all output is sent, closes the write side and starts the linger time. */
static void
finish_output(struct h1_conn *c)
{
	if (!c->finishing || c->shut || h1_queued(c) > 0)
		return;
	c->shut = TRUE;
	g_socket_shutdown(c->sock, FALSE, TRUE, NULL);
	set_timer(c, LINGER_US);
}

static void
parse_input(struct h1_conn *c)
{
	if (!c->expecting || h1_parse_run(c) || c->freed || c->finishing)
		return;
	if (!c->server) {
		report_closed(c, H1_END_BAD, h1_fault_text(c->parse.fault));
		return;
	}
	c->expecting = FALSE;
	c->paused = TRUE;
	c->ops->reject(c->ctx, c->parse.status != 0 ? c->parse.status : 400,
	    h1_fault_text(c->parse.fault));
}

static void
on_end(struct h1_conn *c, gboolean reset, const char *text)
{
	c->eof = TRUE;
	/*
	 * A failed write takes the socket's error, so that reads return an end
	 * of file after a reset.
	 */
	if (c->failed) {
		reset = TRUE;
		text = "write failed";
	}
	if (!reset && h1_parse_eof(c))
		return;
	if (c->freed)
		return;
	c->reset = reset;
	if (!c->server && c->expecting && c->parse.started)
		report_closed(c, H1_END_BAD, "response truncated");
	else
		report_closed(c, reset ? H1_END_RESET : H1_END_EOF, text);
}

/* Reads what has arrived; FALSE: end of file or an error came with it. */
static gboolean
read_input(struct h1_conn *c, GError **err)
{
	char buf[READ_BYTES];
	gssize n;
	int i;

	for (i = 0; i < READS_PER_TURN; i++) {
		n = g_socket_receive(c->sock, buf, sizeof(buf), NULL, err);
		if (n < 0 &&
		    g_error_matches(*err, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
			g_clear_error(err);
			return TRUE;
		}
		if (n <= 0)
			return FALSE;
		c->last_active = pt_now(&sys_clock);
		c->n_read += (guint64)n;
		if (c->finishing)
			continue;
		g_byte_array_append(c->in, (const guint8 *)buf, n);
		c->in_peak = MAX(c->in_peak, c->in->len);
		/*
		 * A server reads on to notice a caller that closed the
		 * connection while its request waited in the socket.
		 */
		if (!c->server && n < (gssize)sizeof(buf))
			return TRUE;
	}
	return TRUE;
}

static void
on_readable(struct h1_conn *c)
{
	gsize before = c->in->len;
	GError *err = NULL;
	gboolean open = read_input(c, &err);

	if (!c->server && !c->expecting && c->in->len > before)
		c->keep_alive = FALSE;
	if ((open || !c->server) && c->in->len > 0)
		parse_input(c);
	if (!open && !c->freed)
		on_end(c, err != NULL, err != NULL ? err->message : "closed");
	g_clear_error(&err);
}

static void
on_connect(struct h1_conn *c)
{
	GError *err = NULL;

	if (!g_socket_check_connect_result(c->sock, &err)) {
		report_closed(c, H1_END_REFUSED, err->message);
		g_error_free(err);
		return;
	}
	c->connecting = FALSE;
	sys_cancel(&c->timer);
	if (c->ops->connected != NULL)
		c->ops->connected(c->ctx);
	if (!c->freed)
		flush(c);
}

static void
on_writable(struct h1_conn *c)
{
	gsize before = h1_queued(c);

	if (c->connecting) {
		on_connect(c);
		return;
	}
	flush(c);
	finish_output(c);
	if (before <= H1_LOW_WATER || h1_queued(c) > H1_LOW_WATER ||
	    c->finishing)
		return;
	/* A request that was held back is parsed on the next turn. */
	if (c->server && c->expecting && c->in->len > 0 && !c->failed)
		set_timer(c, 0);
	if (c->ops->drained != NULL)
		c->ops->drained(c->ctx);
}

/* Ends a callback of the main loop, which may have freed the connection. */
static void
end_callback(struct h1_conn *c)
{
	if (!c->freed) {
		shrink(&c->in, &c->in_peak);
		shrink(&c->out, &c->out_peak);
		update_watch(c);
	}
	conn_unref(c);
}

/*
 * Reads what arrived before a write failed: it may hold a complete response.
 * Continues on the next turn of the loop, or when the reader resumes.
 */
static void
read_rest(struct h1_conn *c)
{
	guint64 before = c->n_read;

	if (c->paused && !c->server)
		return;
	if (!c->paused && !c->eof)
		on_readable(c);
	if (c->freed || c->eof)
		return;
	if (!c->server && c->n_read > before && c->expecting)
		set_timer(c, 0);
	else
		report_closed(c, c->why, "write failed");
}

/*
 * Runs at the end of the linger time, at the connect time-out, after a failed
 * write, or to parse buffered input.
 */
static void
on_timer(void *arg)
{
	struct h1_conn *c = arg;

	c->timer = 0;
	c->refs++;
	if (c->shut)
		h1_free(c);
	else if (c->connecting)
		report_closed(c, H1_END_REFUSED,
		    c->sock != NULL ? "connect timed out" : "no socket");
	else if (c->failed)
		read_rest(c);
	else
		parse_input(c);
	end_callback(c);
}

static void
on_stall_timer(void *arg)
{
	struct h1_conn *c = arg;
	gint64 left = STALL_US - h1_stalled(c);

	c->stall_timer = 0;
	if (left > 0) {
		c->stall_timer = sys_after(left, on_stall_timer, c);
		return;
	}
	c->refs++;
	report_closed(c, H1_END_RESET, "the peer reads no response");
	end_callback(c);
}

static void
on_ready(void *arg, GIOCondition got)
{
	struct h1_conn *c = arg;

	c->refs++;
	if ((got & (G_IO_OUT | G_IO_ERR | G_IO_HUP)) != 0 &&
	    (c->cond & G_IO_OUT) != 0)
		on_writable(c);
	if (!c->freed && !c->connecting &&
	    (got & (G_IO_IN | G_IO_HUP | G_IO_ERR)) != 0 && !c->paused)
		on_readable(c);
	end_callback(c);
}

static struct h1_conn *
conn_new(GSocket *sock, gboolean server, const struct h1_opts *o)
{
	struct h1_conn *c = g_new0(struct h1_conn, 1);

	c->refs = 1;
	c->server = server;
	c->expecting = server;
	c->ops = o->ops;
	c->ctx = o->ctx;
	h1_limits(c, o->head_max, o->body_max);
	c->in = g_byte_array_new();
	c->out = g_byte_array_new();
	c->last_active = pt_now(&sys_clock);
	c->sock = sock;
	h1_parse_init(c);
	if (sock == NULL)
		return c;
	g_socket_set_blocking(sock, FALSE);
	g_socket_set_option(sock, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	return c;
}

static void
conn_watch(struct h1_conn *c, GIOCondition cond)
{
	c->cond = cond;
	c->watch = sys_watch_new(g_socket_get_fd(c->sock), cond, on_ready, c);
}

struct h1_conn *
h1_accept(GSocket *sock, const struct h1_opts *o)
{
	struct h1_conn *c = conn_new(sock, TRUE, o);

	conn_watch(c, G_IO_IN);
	return c;
}

static void
set_keepalive(GSocket *s)
{
	g_socket_set_keepalive(s, TRUE);
	g_socket_set_option(
	    s, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S, NULL);
	g_socket_set_option(
	    s, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S, NULL);
	g_socket_set_option(
	    s, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES, NULL);
	g_socket_set_option(
	    s, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS, NULL);
}

struct h1_conn *
h1_connect(
    const char *host, guint port, guint connect_ms, const struct h1_opts *o)
{
	GSocketAddress *a = rpcio_address(host, port, NULL);
	GError *err = NULL;
	struct h1_conn *c;
	GSocket *s = NULL;

	if (a != NULL)
		s = g_socket_new(g_socket_address_get_family(a),
		    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	c = conn_new(s, FALSE, o);
	c->connecting = TRUE;
	c->remote = g_strdup_printf("%s:%u", host, port);
	if (s == NULL) {
		/*
		 * Not an address, or no descriptor is left: on_timer() reports
		 * the failure.
		 */
		set_timer(c, 0);
		g_clear_object(&a);
		return c;
	}
	set_keepalive(s);
	set_timer(c, (gint64)connect_ms * G_TIME_SPAN_MILLISECOND);
	if (!g_socket_connect(s, a, NULL, &err) &&
	    !g_error_matches(err, G_IO_ERROR, G_IO_ERROR_PENDING))
		set_timer(c, 0);
	g_clear_error(&err);
	g_object_unref(a);
	/* Last, since a descriptor polls as hung up before the connect. */
	conn_watch(c, G_IO_OUT);
	return c;
}

void
h1_free(struct h1_conn *c)
{
	if (c == NULL || c->freed)
		return;
	c->freed = TRUE;
	count_unsent(c);
	sys_cancel(&c->timer);
	if (c->sock != NULL) {
		sys_watch_free(c->watch);
		c->watch = NULL;
		g_socket_close(c->sock, NULL);
		g_object_unref(c->sock);
	}
	conn_unref(c);
}

void
h1_abort(struct h1_conn *c)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(
	    g_socket_get_fd(c->sock), SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	h1_free(c);
}

void
h1_finish(struct h1_conn *c)
{
	c->finishing = TRUE;
	c->expecting = FALSE;
	c->paused = FALSE;
	if (c->eof || c->failed) {
		h1_free(c);
		return;
	}
	g_byte_array_set_size(c->in, 0);
	finish_output(c);
	update_watch(c);
}

void
h1_send(struct h1_conn *c, const void *p, gsize n)
{
	gsize sent = 0;

	if (c->freed || c->failed || n == 0)
		return;
	/* What the socket takes at once needs no buffer. */
	if (!c->connecting && h1_queued(c) == 0)
		write_bytes(c, p, n, &sent);
	if (!c->failed && sent < n) {
		g_byte_array_append(
		    c->out, (const guint8 *)p + sent, (guint)(n - sent));
		c->out_peak = MAX(c->out_peak, c->out->len);
	}
	count_unsent(c);
	update_watch(c);
}

void
h1_continue(struct h1_conn *c, const struct h1_head *h)
{
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *expect = h1_head_get(h, "Expect");

	if (expect != NULL && !h->http10 &&
	    g_ascii_strcasecmp(expect, "100-continue") == 0)
		h1_send(c, interim, strlen(interim));
}

void
h1_send_bytes(struct h1_conn *c, GBytes *b)
{
	if (c->freed || c->failed || g_bytes_get_size(b) == 0)
		return;
	c->tail = g_bytes_ref(b);
	c->tail_sent = 0;
	flush(c);
	update_watch(c);
}

gsize
h1_queued(const struct h1_conn *c)
{
	gsize n = c->out->len - c->sent;

	if (c->tail != NULL)
		n += g_bytes_get_size(c->tail) - c->tail_sent;
	return n;
}

void
h1_limits(struct h1_conn *c, gsize head_max, gint64 body_max)
{
	c->head_max = head_max > 0 ? head_max : H1_HEAD_MAX;
	c->body_max = body_max;
}

void
h1_pause(struct h1_conn *c, gboolean on)
{
	c->paused = on;
	if (!on && c->failed && !c->freed)
		set_timer(c, 0);
	update_watch(c);
}

void
h1_read_next(struct h1_conn *c)
{
	c->expecting = TRUE;
	c->keep_alive = FALSE;
	c->parse.status = 0;
	/* Buffered input is parsed on the next turn of the loop. */
	if (c->in->len > 0 && !c->freed)
		set_timer(c, 0);
	update_watch(c);
}

void
h1_expect(struct h1_conn *c, gboolean bodyless)
{
	c->bodyless = bodyless;
	c->parse.n_interim = 0;
	h1_read_next(c);
}

gboolean
h1_persistent(const struct h1_conn *c)
{
	return c->keep_alive && !c->failed && !c->eof;
}

gboolean
h1_reusable(const struct h1_conn *c)
{
	return h1_persistent(c) && c->in->len == 0 && h1_queued(c) == 0;
}

gboolean
h1_idle(const struct h1_conn *c)
{
	return c->expecting && !c->parse.started && c->in->len == 0;
}

gint64
h1_last_active(const struct h1_conn *c)
{
	return c->last_active;
}

gint64
h1_begun(const struct h1_conn *c)
{
	return c->parse.started ? c->parse.begun : 0;
}

gboolean
h1_unread(const struct h1_conn *c)
{
	return !c->freed && g_socket_get_available_bytes(c->sock) > 0;
}
