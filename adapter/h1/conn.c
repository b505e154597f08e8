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

/* One read of the loop; larger bodies take several turns. */
#define READ_BYTES (16 * 1024)
#define READS_A_TURN 4
/* Input kept while an answer is pending; further bytes stay in the system. */
#define AHEAD_MAX (64 * 1024)
/* An empty buffer that has held more than this is given back. */
#define BUFFER_KEPT 4096
/* Time for which input is discarded after the last byte of an answer. */
#define LINGER_US (1 * G_TIME_SPAN_SECOND)
/* Keep-alive probes find a peer that is cut off within about 3 s. */
#define KEEP_IDLE_S 1
#define KEEP_INTERVAL_S 1
#define KEEP_PROBES 2
#define USER_TIMEOUT_MS 2500

static void timed(void *);

static void
conn_unref(struct h1_conn *c)
{
	if (--c->refs > 0)
		return;
	g_byte_array_unref(c->in);
	g_byte_array_unref(c->out);
	h1_parse_clear(c);
	g_free(c);
}

/* Buffers keep their largest size otherwise, on every idle connection. */
static void
shrink(GByteArray **a, gsize *most)
{
	if ((*a)->len > 0) {
		*most = MAX(*most, (*a)->len);
		return;
	}
	if (*most <= BUFFER_KEPT)
		return;
	g_byte_array_unref(*a);
	*a = g_byte_array_new();
	*most = 0;
}

static void
want(struct h1_conn *c)
{
	GIOCondition cond = 0;

	if (c->dead)
		return;
	if (c->connecting || c->out->len > c->sent)
		cond |= G_IO_OUT;
	if (!c->connecting && !c->paused && !c->eof &&
	    (c->waiting || c->in->len < AHEAD_MAX))
		cond |= G_IO_IN;
	c->cond = cond;
	sys_watch_set(c->watch, cond);
}

/* One thing at a time is due: the latest replaces what was. */
static void
due_in(struct h1_conn *c, gint64 us)
{
	sys_cancel(&c->timer);
	c->timer = sys_after(us, timed, c);
}

/* Reports from the loop, never from within a call of the owner. */
static void
fail_later(struct h1_conn *c, enum h1_end why)
{
	c->broken = TRUE;
	c->why = why;
	if (!c->dead)
		due_in(c, 0);
}

static void
report_closed(struct h1_conn *c, enum h1_end why, const char *text)
{
	if (c->finishing)
		h1_free(c);
	else
		c->ops->closed(c->ctx, why, text);
}

static void
flush(struct h1_conn *c)
{
	GError *err = NULL;
	gssize n;

	while (!c->connecting && !c->broken && c->sent < c->out->len) {
		n = g_socket_send(c->sock, (const char *)c->out->data + c->sent,
		    c->out->len - c->sent, NULL, &err);
		if (n < 0) {
			if (!g_error_matches(
				err, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
				fail_later(c, H1_END_RESET);
			g_clear_error(&err);
			break;
		}
		c->sent += n;
		c->last = g_get_monotonic_time();
	}
	if (c->sent == c->out->len) {
		g_byte_array_set_size(c->out, 0);
		c->sent = 0;
	} else if (c->sent > H1_LOW_WATER) {
		g_byte_array_remove_range(c->out, 0, c->sent);
		c->sent = 0;
	}
}

/* After the last byte: tells the peer, then discards what still comes. */
static void
finish_step(struct h1_conn *c)
{
	if (!c->finishing || c->shut || c->out->len > c->sent)
		return;
	c->shut = TRUE;
	g_socket_shutdown(c->sock, FALSE, TRUE, NULL);
	due_in(c, LINGER_US);
}

static void
input(struct h1_conn *c)
{
	if (!c->waiting || h1_parse_run(c) || c->dead || c->finishing)
		return;
	if (!c->server) {
		report_closed(c, H1_END_BAD, h1_parse_why(c));
		return;
	}
	c->waiting = FALSE;
	c->paused = TRUE;
	c->ops->bad(c->ctx, c->parse.status != 0 ? c->parse.status : 400,
	    h1_parse_why(c));
}

static void
ended(struct h1_conn *c, gboolean reset, const char *text)
{
	c->eof = TRUE;
	if (!reset && h1_parse_eof(c))
		return;
	if (c->dead)
		return;
	if (!c->server && c->waiting && c->parse.started)
		report_closed(c, H1_END_BAD, "answer cut short");
	else
		report_closed(c, reset ? H1_END_RESET : H1_END_EOF, text);
}

/* Takes in what has arrived; FALSE: the peer's end came with it. */
static gboolean
take_in(struct h1_conn *c, GError **err)
{
	char buf[READ_BYTES];
	gssize n;
	int i;

	for (i = 0; i < READS_A_TURN; i++) {
		n = g_socket_receive(c->sock, buf, sizeof(buf), NULL, err);
		if (n < 0 &&
		    g_error_matches(*err, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
			g_clear_error(err);
			return TRUE;
		}
		if (n <= 0)
			return FALSE;
		c->last = g_get_monotonic_time();
		if (c->finishing)
			continue;
		g_byte_array_append(c->in, (const guint8 *)buf, n);
		c->in_most = MAX(c->in_most, c->in->len);
		/* A caller may have left while its request waited here. */
		if (!c->server && n < (gssize)sizeof(buf))
			return TRUE;
	}
	return TRUE;
}

static void
readable(struct h1_conn *c)
{
	gsize before = c->in->len;
	GError *err = NULL;
	gboolean open = take_in(c, &err);

	if (!c->server && !c->waiting && c->in->len > before)
		c->keep = FALSE;
	if ((open || !c->server) && c->in->len > 0)
		input(c);
	if (!open && !c->dead)
		ended(c, err != NULL, err != NULL ? err->message : "closed");
	g_clear_error(&err);
}

static void
connect_done(struct h1_conn *c)
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
	if (!c->dead)
		flush(c);
}

static void
writable(struct h1_conn *c)
{
	gsize before = h1_queued(c);

	if (c->connecting) {
		connect_done(c);
		return;
	}
	flush(c);
	finish_step(c);
	if (before > H1_LOW_WATER && h1_queued(c) <= H1_LOW_WATER &&
	    c->ops->drained != NULL && !c->finishing)
		c->ops->drained(c->ctx);
}

/* After callbacks, which may have freed the connection. */
static void
settle(struct h1_conn *c)
{
	if (!c->dead) {
		shrink(&c->in, &c->in_most);
		shrink(&c->out, &c->out_most);
		want(c);
	}
	conn_unref(c);
}

/* A failure to report, a lost connect, a linger, or input read before. */
static void
timed(void *arg)
{
	struct h1_conn *c = arg;

	c->timer = 0;
	c->refs++;
	if (c->shut)
		h1_free(c);
	else if (c->connecting)
		report_closed(c, H1_END_REFUSED, "connect timed out");
	else if (c->broken) {
		/* An answer may have come before the reset. */
		if (!c->paused && !c->eof)
			readable(c);
		if (!c->dead && !c->eof)
			report_closed(c, c->why, "write failed");
	} else
		input(c);
	settle(c);
}

static void
on_ready(void *arg, GIOCondition got)
{
	struct h1_conn *c = arg;

	c->refs++;
	if ((got & (G_IO_OUT | G_IO_ERR | G_IO_HUP)) != 0 &&
	    (c->cond & G_IO_OUT) != 0)
		writable(c);
	if (!c->dead && !c->connecting &&
	    (got & (G_IO_IN | G_IO_HUP | G_IO_ERR)) != 0 && !c->paused)
		readable(c);
	settle(c);
}

static struct h1_conn *
conn_new(GSocket *sock, gboolean server, const struct h1_opts *o)
{
	struct h1_conn *c = g_new0(struct h1_conn, 1);

	c->refs = 1;
	c->server = server;
	c->waiting = server;
	c->ops = o->ops;
	c->ctx = o->ctx;
	c->head_max = o->head_max > 0 ? o->head_max : H1_HEAD_MAX;
	c->body_max = o->body_max;
	c->in = g_byte_array_new();
	c->out = g_byte_array_new();
	c->last = g_get_monotonic_time();
	c->sock = sock;
	h1_parse_init(c);
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
keep_probes(GSocket *s)
{
	g_socket_set_keepalive(s, TRUE);
	g_socket_set_option(s, IPPROTO_TCP, TCP_KEEPIDLE, KEEP_IDLE_S, NULL);
	g_socket_set_option(
	    s, IPPROTO_TCP, TCP_KEEPINTVL, KEEP_INTERVAL_S, NULL);
	g_socket_set_option(s, IPPROTO_TCP, TCP_KEEPCNT, KEEP_PROBES, NULL);
	g_socket_set_option(
	    s, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS, NULL);
}

struct h1_conn *
h1_connect(
    const char *host, guint port, guint connect_ms, const struct h1_opts *o)
{
	GSocketAddress *a;
	GError *err = NULL;
	struct h1_conn *c;
	GSocket *s;

	s = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
	    G_SOCKET_PROTOCOL_TCP, &err);
	g_assert_no_error(err);
	keep_probes(s);
	c = conn_new(s, FALSE, o);
	c->connecting = TRUE;
	due_in(c, (gint64)connect_ms * G_TIME_SPAN_MILLISECOND);
	a = rpcio_address(host, port, &err);
	if (a == NULL ||
	    (!g_socket_connect(s, a, NULL, &err) &&
		!g_error_matches(err, G_IO_ERROR, G_IO_ERROR_PENDING)))
		due_in(c, 0);
	g_clear_error(&err);
	g_clear_object(&a);
	/* Before the attempt the descriptor would count as hung up. */
	conn_watch(c, G_IO_OUT);
	return c;
}

void
h1_free(struct h1_conn *c)
{
	if (c == NULL || c->dead)
		return;
	c->dead = TRUE;
	sys_cancel(&c->timer);
	sys_watch_free(c->watch);
	c->watch = NULL;
	g_socket_close(c->sock, NULL);
	g_object_unref(c->sock);
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
	c->waiting = FALSE;
	c->paused = FALSE;
	if (c->eof || c->broken) {
		h1_free(c);
		return;
	}
	g_byte_array_set_size(c->in, 0);
	finish_step(c);
	want(c);
}

void
h1_send(struct h1_conn *c, const void *p, gsize n)
{
	if (c->dead || c->broken || n == 0)
		return;
	g_byte_array_append(c->out, p, (guint)n);
	c->out_most = MAX(c->out_most, c->out->len);
	flush(c);
	want(c);
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

gsize
h1_queued(const struct h1_conn *c)
{
	return c->out->len - c->sent;
}

void
h1_pause(struct h1_conn *c, gboolean on)
{
	c->paused = on;
	want(c);
}

void
h1_read_next(struct h1_conn *c)
{
	c->waiting = TRUE;
	c->keep = FALSE;
	c->parse.status = 0;
	/* Bytes already read are parsed on the next turn of the loop. */
	if (c->in->len > 0 && !c->dead)
		due_in(c, 0);
	want(c);
}

void
h1_expect(struct h1_conn *c, gboolean bodyless)
{
	c->bodyless = bodyless;
	h1_read_next(c);
}

gboolean
h1_persistent(const struct h1_conn *c)
{
	return c->keep && !c->broken && !c->eof;
}

gboolean
h1_reusable(const struct h1_conn *c)
{
	return h1_persistent(c) && c->in->len == 0;
}

gboolean
h1_idle(const struct h1_conn *c)
{
	return c->waiting && !c->parse.started && c->in->len == 0;
}

gint64
h1_last_active(const struct h1_conn *c)
{
	return c->last;
}
