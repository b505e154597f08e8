/* A TCP forwarder on loopback that delays or drops bytes, or resets. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "soak.h"

#define DELAY_US (50 * G_TIME_SPAN_MILLISECOND)
#define CHUNK 16384

struct pair;

/* One direction of a connection. */
struct pipe {
	struct pair *pair;
	GSocket *from, *to;
	GSource *rd;
	GByteArray *buffered;
	guint timer;
	gboolean to_server;
};

struct pair {
	LIST_ENTRY(pair) entry;
	struct link *link;
	struct pipe p[2];
};

struct link {
	struct rpcio_listener *listener;
	char *to_host;
	guint to_port;
	enum link_mode mode;
	LIST_HEAD(pair_list, pair) pairs;
};

static void
socket_end(GSocket *s, gboolean reset)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	if (reset)
		setsockopt(
		    g_socket_get_fd(s), SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	g_socket_close(s, NULL);
	g_object_unref(s);
}

static void
pair_free(struct pair *c, gboolean reset)
{
	int i;

	for (i = 0; i < 2; i++) {
		if (c->p[i].rd != NULL) {
			g_source_destroy(c->p[i].rd);
			g_source_unref(c->p[i].rd);
		}
		sys_cancel(&c->p[i].timer);
		g_byte_array_unref(c->p[i].buffered);
	}
	socket_end(c->p[0].from, reset);
	socket_end(c->p[0].to, reset);
	LIST_REMOVE(c, entry);
	g_free(c);
}

/*
 * Writes the buffered bytes.  A loopback socket rarely blocks on small
 * messages, so a blocked one is simply retried after 1 ms.
 */
static void
flush_buffered(void *arg)
{
	struct pipe *p = arg;
	gssize n;

	p->timer = 0;
	while (p->buffered->len > 0) {
		n = g_socket_send(p->to, (const char *)p->buffered->data,
		    p->buffered->len, NULL, NULL);
		if (n <= 0) {
			p->timer = sys_after(1000, flush_buffered, p);
			return;
		}
		g_byte_array_remove_range(p->buffered, 0, (guint)n);
	}
}

static gboolean
readable(GSocket *s, GIOCondition cond, gpointer arg)
{
	struct pipe *p = arg;
	enum link_mode mode = p->pair->link->mode;
	char buf[CHUNK];
	GError *err = NULL;
	gssize n = g_socket_receive(s, buf, sizeof(buf), NULL, &err);

	if (n < 0 && g_error_matches(err, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		g_error_free(err);
		return G_SOURCE_CONTINUE;
	}
	g_clear_error(&err);
	if (n <= 0) {
		pair_free(p->pair, n < 0);
		return G_SOURCE_REMOVE;
	}
	if (mode == LINK_BLACKHOLE ||
	    (mode == LINK_DROP_ANSWERS && !p->to_server))
		return G_SOURCE_CONTINUE;
	g_byte_array_append(p->buffered, (const guint8 *)buf, (guint)n);
	if (p->timer != 0)
		return G_SOURCE_CONTINUE;
	if (mode == LINK_DELAY && p->to_server)
		p->timer = sys_after(DELAY_US, flush_buffered, p);
	else
		flush_buffered(p);
	return G_SOURCE_CONTINUE;
}

static void
pipe_init(struct pair *c, int i, GSocket *from, GSocket *to)
{
	struct pipe *p = &c->p[i];

	p->pair = c;
	p->from = from;
	p->to = to;
	p->to_server = i == 0;
	p->buffered = g_byte_array_new();
	p->rd = g_socket_create_source(from, G_IO_IN, NULL);
	g_source_set_callback(p->rd, G_SOURCE_FUNC(readable), p, NULL);
	g_source_attach(p->rd, NULL);
}

static void
accepted(void *ctx, GSocket *sock)
{
	struct link *l = ctx;
	GSocketAddress *a = rpcio_address(l->to_host, l->to_port, NULL);
	GSocket *to = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
	    G_SOCKET_PROTOCOL_TCP, NULL);
	gboolean ok =
	    l->mode != LINK_RESET && g_socket_connect(to, a, NULL, NULL);
	struct pair *c;

	g_object_unref(a);
	if (!ok) {
		socket_end(sock, TRUE);
		socket_end(to, FALSE);
		return;
	}
	g_socket_set_blocking(to, FALSE);
	c = g_new0(struct pair, 1);
	c->link = l;
	pipe_init(c, 0, sock, to);
	pipe_init(c, 1, to, sock);
	LIST_INSERT_HEAD(&l->pairs, c, entry);
}

struct link *
link_new(const char *host, guint port, const char *to_host, guint to_port,
    GError **err)
{
	struct link *l = g_new0(struct link, 1);

	l->to_host = g_strdup(to_host);
	l->to_port = to_port;
	LIST_INIT(&l->pairs);
	l->listener = rpcio_listen(host, port, FALSE, accepted, l, NULL, err);
	if (l->listener == NULL) {
		g_free(l->to_host);
		g_clear_pointer(&l, g_free);
	}
	return l;
}

void
link_set(struct link *l, enum link_mode mode)
{
	struct pair *c;

	l->mode = mode;
	if (mode == LINK_RESET)
		while ((c = LIST_FIRST(&l->pairs)) != NULL)
			pair_free(c, TRUE);
}

void
link_free(struct link *l)
{
	struct pair *c;

	if (l == NULL)
		return;
	while ((c = LIST_FIRST(&l->pairs)) != NULL)
		pair_free(c, FALSE);
	rpcio_listen_free(l->listener);
	g_free(l->to_host);
	g_free(l);
}
