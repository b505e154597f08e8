#include <gio/gio.h>
#include <rpc/rpc.h>
#include <netinet/tcp.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"

#define LAST_FRAGMENT 0x80000000U
/* One receive buffer for all connections, so that idle ones need none. */
#define SCRATCH_LEN (256 * 1024)
/*
 * Size of the buffer on the stack in which a record is encoded first.  For a
 * larger record this is also the room allocated for its header.
 */
#define ENCODE_STACK 4096
/* A server stops reading calls while more bytes than this are unsent. */
#define PAUSE_LEN (4 * 1024 * 1024)

struct rpcio_conn {
	GSocket *sock;
	struct sys_watch *watch;
	GIOCondition cond; /* conditions watched */
	GByteArray *in; /* bytes of an incomplete fragment */
	GByteArray *frag; /* earlier fragments of a record */
	struct rpcio_msg *head, **tail;
	gsize queued;
	guint refs;
	gboolean connecting, closed, broken;
	const struct rpcio_conn_ops *ops;
	void *ctx;
};

static char scratch[SCRATCH_LEN];

static void on_ready(void *, GIOCondition);

struct rpcio_msg *
rpcio_msg_new(gboolean (*head)(XDR *, void *), void *arg, xdrproc_t proc,
    const void *value)
{
	char small[ENCODE_STACK];
	struct rpcio_msg *m;
	guint32 mark;
	gsize len;
	XDR x;

	xdrmem_create(&x, small, sizeof(small), XDR_ENCODE);
	if (head(&x, arg) && proc(&x, (void *)value)) {
		len = xdr_getpos(&x);
		m = g_malloc(sizeof(*m) + RPCIO_MARK_LEN + len);
		memcpy(m->data + RPCIO_MARK_LEN, small, len);
	} else {
		len = xdr_sizeof(proc, (void *)value);
		if (len == 0 || len > RPCIO_RECORD_MAX)
			return NULL;
		len += ENCODE_STACK;
		m = g_malloc(sizeof(*m) + RPCIO_MARK_LEN + len);
		xdrmem_create(&x, m->data + RPCIO_MARK_LEN, len, XDR_ENCODE);
		if (!head(&x, arg) || !proc(&x, (void *)value) ||
		    xdr_getpos(&x) > RPCIO_RECORD_MAX) {
			g_free(m);
			return NULL;
		}
		len = xdr_getpos(&x);
	}
	mark = g_htonl(LAST_FRAGMENT | (guint32)len);
	memcpy(m->data, &mark, RPCIO_MARK_LEN);
	m->next = NULL;
	m->slot = NULL;
	m->len = len + RPCIO_MARK_LEN;
	m->sent = 0;
	return m;
}

static void
set_cond(struct rpcio_conn *c, GIOCondition cond, gboolean on)
{
	c->cond = on ? c->cond | cond : c->cond & ~cond;
	if (c->watch != NULL)
		sys_watch_set(c->watch, c->cond);
}

struct rpcio_conn *
rpcio_conn_new(GSocket *sock, gboolean connecting,
    const struct rpcio_conn_ops *ops, void *ctx)
{
	struct rpcio_conn *c;

	c = g_new0(struct rpcio_conn, 1);
	c->sock = sock;
	c->tail = &c->head;
	c->refs = 1;
	c->connecting = connecting;
	c->ops = ops;
	c->ctx = ctx;
	g_socket_set_blocking(sock, FALSE);
	g_socket_set_option(sock, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	c->cond = connecting ? G_IO_OUT : G_IO_IN;
	c->watch = sys_watch_new(g_socket_get_fd(sock), c->cond, on_ready, c);
	return c;
}

static void
unref(struct rpcio_conn *c)
{
	if (--c->refs > 0)
		return;
	g_object_unref(c->sock);
	g_free(c);
}

static void
pop(struct rpcio_conn *c)
{
	struct rpcio_msg *m = c->head;

	c->head = m->next;
	if (c->head == NULL)
		c->tail = &c->head;
	c->queued -= m->len;
	if (m->slot != NULL)
		*m->slot = NULL;
	g_free(m);
}

void
rpcio_conn_free(struct rpcio_conn *c)
{
	c->closed = TRUE;
	g_clear_pointer(&c->watch, sys_watch_free);
	while (c->head != NULL)
		pop(c);
	g_clear_pointer(&c->in, g_byte_array_unref);
	g_clear_pointer(&c->frag, g_byte_array_unref);
	g_socket_close(c->sock, NULL);
	unref(c);
}

static void
fail(struct rpcio_conn *c, const GError *why)
{
	GError *err = NULL;

	if (c->closed)
		return;
	if (why == NULL)
		g_set_error(&err, PT_ERROR, PT_ERROR_UNKNOWN,
		    "the peer closed the connection");
	c->ops->closed(c->ctx, why != NULL ? why : err);
	g_clear_error(&err);
}

static void
malformed(struct rpcio_conn *c, const char *what)
{
	GError *err;

	err = g_error_new(PT_ERROR, PT_ERROR_PROTOCOL,
	    "malformed input: %s; the connection is closed", what);
	fail(c, err);
	g_error_free(err);
}

gsize
rpcio_conn_queued(const struct rpcio_conn *c)
{
	return c->queued;
}

/* Writes until the socket would block; FALSE if the connection failed. */
static gboolean
flush(struct rpcio_conn *c)
{
	struct rpcio_msg *m;
	GError *err = NULL;
	gssize n;

	while ((m = c->head) != NULL) {
		n = g_socket_send(
		    c->sock, m->data + m->sent, m->len - m->sent, NULL, &err);
		if (n < 0) {
			if (g_error_matches(
				err, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
				g_error_free(err);
				set_cond(c, G_IO_OUT, TRUE);
				return TRUE;
			}
			g_error_free(err);
			c->broken = TRUE;
			return FALSE;
		}
		m->sent += n;
		if (m->sent < m->len) {
			set_cond(c, G_IO_OUT, TRUE);
			return TRUE;
		}
		pop(c);
	}
	set_cond(c, G_IO_OUT, FALSE);
	return TRUE;
}

void
rpcio_conn_send(struct rpcio_conn *c, struct rpcio_msg *m)
{
	gboolean idle = c->head == NULL;

	*c->tail = m;
	c->tail = &m->next;
	c->queued += m->len;
	/* A failed socket polls as readable; readable() reports the error. */
	if (idle && !c->connecting && !c->broken)
		flush(c);
	if (c->broken)
		set_cond(c, G_IO_IN, TRUE);
	else if (c->ops->pause && c->queued > PAUSE_LEN)
		set_cond(c, G_IO_IN, FALSE);
}

void
rpcio_conn_drop(struct rpcio_conn *c, struct rpcio_msg *m)
{
	struct rpcio_msg **p;

	for (p = &c->head; *p != m; p = &(*p)->next)
		;
	*p = m->next;
	if (m->next == NULL)
		c->tail = p;
	c->queued -= m->len;
	g_free(m);
}

static void
writable(struct rpcio_conn *c)
{
	GError *err = NULL;

	if (c->connecting) {
		if (!g_socket_check_connect_result(c->sock, &err)) {
			fail(c, err);
			g_error_free(err);
			return;
		}
		c->connecting = FALSE;
		set_cond(c, G_IO_IN, TRUE);
		if (c->ops->connected != NULL)
			c->ops->connected(c->ctx);
	}
	if (!c->closed && !flush(c))
		fail(c, NULL);
	if (!c->closed && c->queued <= PAUSE_LEN)
		set_cond(c, G_IO_IN, TRUE);
}

/* Adds a fragment to its record; FALSE if the connection was closed. */
static gboolean
fragment(struct rpcio_conn *c, gboolean last, const char *data, gsize len)
{
	GByteArray *whole = NULL;
	gboolean ok;

	if (!last || c->frag != NULL) {
		if (c->frag == NULL)
			c->frag = g_byte_array_new();
		g_byte_array_append(c->frag, (const guint8 *)data, len);
		if (!last)
			return TRUE;
		whole = g_steal_pointer(&c->frag);
		data = (const char *)whole->data;
		len = whole->len;
	}
	ok = c->ops->record(c->ctx, data, len);
	g_clear_pointer(&whole, g_byte_array_unref);
	if (!c->closed && !ok)
		malformed(c, "not a valid RPC message");
	return !c->closed;
}

/* Processes the complete fragments in "data"; returns their length. */
static gsize
parse(struct rpcio_conn *c, const char *data, gsize len)
{
	guint32 mark;
	gsize used = 0, n, have;
	gboolean last;

	while (len - used >= RPCIO_MARK_LEN) {
		memcpy(&mark, data + used, RPCIO_MARK_LEN);
		mark = g_ntohl(mark);
		last = (mark & LAST_FRAGMENT) != 0;
		n = mark & ~LAST_FRAGMENT;
		have = c->frag != NULL ? c->frag->len : 0;
		if (n == 0 || have + n > RPCIO_RECORD_MAX) {
			malformed(c, n == 0 ? "empty fragment"
					    : "record larger than 2 MB");
			return used;
		}
		if (len - used - RPCIO_MARK_LEN < n)
			break;
		if (!fragment(c, last, data + used + RPCIO_MARK_LEN, n))
			return used;
		used += RPCIO_MARK_LEN + n;
	}
	return used;
}

static void
received(struct rpcio_conn *c, const char *data, gsize len)
{
	GByteArray *in;
	gsize used;

	if (c->in == NULL) {
		used = parse(c, data, len);
		if (!c->closed && used < len) {
			c->in = g_byte_array_new();
			g_byte_array_append(
			    c->in, (const guint8 *)data + used, len - used);
		}
		return;
	}
	/* Taken out of "c", since a callback may free the connection. */
	in = g_steal_pointer(&c->in);
	g_byte_array_append(in, (const guint8 *)data, len);
	used = parse(c, (const char *)in->data, in->len);
	if (!c->closed && used < in->len) {
		g_byte_array_remove_range(in, 0, used);
		c->in = in;
	} else {
		g_byte_array_unref(in);
	}
}

static void
readable(struct rpcio_conn *c)
{
	GError *err = NULL;
	gssize n;

	n = g_socket_receive(c->sock, scratch, sizeof(scratch), NULL, &err);
	if (n > 0)
		received(c, scratch, n);
	else if (n == 0)
		fail(c, NULL);
	else if (!g_error_matches(err, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		fail(c, err);
	g_clear_error(&err);
	if (c->broken)
		fail(c, NULL);
}

static void
on_ready(void *arg, GIOCondition got)
{
	struct rpcio_conn *c = arg;
	GIOCondition watched = c->cond, failed = G_IO_ERR | G_IO_HUP;

	c->refs++;
	if ((watched & G_IO_OUT) != 0 && (got & (G_IO_OUT | failed)) != 0)
		writable(c);
	if (!c->closed && (watched & c->cond & G_IO_IN) != 0 &&
	    (got & (G_IO_IN | failed)) != 0)
		readable(c);
	unref(c);
}

GSocketAddress *
rpcio_address(const char *host, guint port, GError **err)
{
	GSocketAddress *a = NULL;

	if (port <= G_MAXUINT16)
		a = g_inet_socket_address_new_from_string(host, port);
	if (a == NULL)
		g_set_error(err, PT_ERROR, PT_ERROR_UNREACHABLE,
		    "%s port %u is not a numeric address; give an IP "
		    "address and a port up to 65535",
		    host, port);
	return a;
}

GSocket *
rpcio_bind(GSocketType type, const char *host, guint port, gboolean listening,
    GError **err)
{
	GSocketAddress *a;
	GSocket *s;
	GError *why = NULL;

	a = rpcio_address(host, port, err);
	if (a == NULL)
		return NULL;
	s = g_socket_new(g_socket_address_get_family(a), type,
	    G_SOCKET_PROTOCOL_DEFAULT, &why);
	if (s != NULL) {
		g_socket_set_blocking(s, FALSE);
		if (type == G_SOCKET_TYPE_STREAM)
			g_socket_set_listen_backlog(s, 1024);
		if (!g_socket_bind(s, a, type == G_SOCKET_TYPE_STREAM, &why) ||
		    (listening && !g_socket_listen(s, &why)))
			g_clear_object(&s);
	}
	if (s == NULL)
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "cannot listen on %s port %u: %s; choose a free port", host,
		    port, why->message);
	g_clear_error(&why);
	g_object_unref(a);
	return s;
}

guint
rpcio_local_port(GSocket *s)
{
	GSocketAddress *a;
	guint port = 0;

	a = g_socket_get_local_address(s, NULL);
	if (a != NULL)
		port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(a));
	g_clear_object(&a);
	return port;
}
