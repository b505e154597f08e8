#include <gio/gio.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"

#define DGRAM_MAX 2048
/* Datagrams read per iteration of the loop; more would delay RPC. */
#define DGRAM_BATCH 32

struct rpcio_dgram {
	GSocket *sock;
	GSource *rd;
	void (*input)(void *, const void *, gsize);
	void *ctx;
	guint64 in, out;
};

static gboolean
dgram_in(GSocket *sock, GIOCondition cond, gpointer p)
{
	struct rpcio_dgram *d = p;
	char buf[DGRAM_MAX];
	gssize n;
	int i;

	for (i = 0; i < DGRAM_BATCH; i++) {
		n = g_socket_receive(sock, buf, sizeof(buf), NULL, NULL);
		if (n < 0)
			break;
		d->in += n;
		d->input(d->ctx, buf, n);
	}
	return G_SOURCE_CONTINUE;
}

struct rpcio_dgram *
rpcio_dgram_new(const char *host, guint port,
    void (*input)(void *, const void *, gsize), void *ctx, GError **err)
{
	struct rpcio_dgram *d;
	GSocket *s;

	s = rpcio_bind(G_SOCKET_TYPE_DATAGRAM, host, port, FALSE, err);
	if (s == NULL)
		return NULL;
	d = g_new0(struct rpcio_dgram, 1);
	d->sock = s;
	d->input = input;
	d->ctx = ctx;
	d->rd = g_socket_create_source(s, G_IO_IN, NULL);
	g_source_set_callback(d->rd, G_SOURCE_FUNC(dgram_in), d, NULL);
	g_source_attach(d->rd, NULL);
	return d;
}

void
rpcio_dgram_free(struct rpcio_dgram *d)
{
	if (d == NULL)
		return;
	g_source_destroy(d->rd);
	g_source_unref(d->rd);
	g_socket_close(d->sock, NULL);
	g_object_unref(d->sock);
	g_free(d);
}

/* Send errors are ignored: the network may lose datagrams as well. */
static void
dgram_send(void *ctx, const char *host, guint port, const void *data, gsize len)
{
	struct rpcio_dgram *d = ctx;
	GSocketAddress *a;
	gssize n;

	a = rpcio_address(host, port, NULL);
	if (a == NULL)
		return;
	n = g_socket_send_to(d->sock, a, data, len, NULL, NULL);
	if (n > 0)
		d->out += n;
	g_object_unref(a);
}

struct pt_dgram
rpcio_dgram_port(struct rpcio_dgram *d)
{
	struct pt_dgram port = { dgram_send, d };

	return port;
}

guint
rpcio_dgram_local_port(const struct rpcio_dgram *d)
{
	return rpcio_local_port(d->sock);
}

void
rpcio_dgram_bytes(const struct rpcio_dgram *d, guint64 *in, guint64 *out)
{
	*in = d->in;
	*out = d->out;
}
