#include <gio/gio.h>
#include <rpc/rpc.h>
#include <netinet/tcp.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"

/* Delay after a failed accept(), for example when out of descriptors. */
#define ACCEPT_RETRY_MS 100

struct rpcio_listener {
	GSocket *sock;
	GSource *rd;
	guint retry;
	void (*accepted)(void *, GSocket *);
	void *ctx;
	const struct pt_events *events;
};

static gboolean on_connection(GSocket *, GIOCondition, gpointer);

static void
accept_start(struct rpcio_listener *l)
{
	l->rd = g_socket_create_source(l->sock, G_IO_IN, NULL);
	g_source_set_callback(l->rd, G_SOURCE_FUNC(on_connection), l, NULL);
	g_source_attach(l->rd, NULL);
}

static void
accept_stop(struct rpcio_listener *l)
{
	if (l->rd == NULL)
		return;
	g_source_destroy(l->rd);
	g_source_unref(l->rd);
	l->rd = NULL;
}

static gboolean
accept_retry(gpointer p)
{
	struct rpcio_listener *l = p;

	l->retry = 0;
	accept_start(l);
	return G_SOURCE_REMOVE;
}

static gboolean
on_connection(GSocket *sock, GIOCondition cond, gpointer p)
{
	struct rpcio_listener *l = p;
	GSocket *peer;
	GError *err = NULL;

	while ((peer = g_socket_accept(sock, NULL, &err)) != NULL) {
		g_socket_set_blocking(peer, FALSE);
		g_socket_set_option(peer, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
		l->accepted(l->ctx, peer);
	}
	if (!g_error_matches(err, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		pt_event(l->events, PT_LEVEL_WARNING, "accept", "text=\"%s\"",
		    err->message);
		accept_stop(l);
		l->retry = g_timeout_add(ACCEPT_RETRY_MS, accept_retry, l);
	}
	g_error_free(err);
	return G_SOURCE_CONTINUE;
}

gboolean
rpcio_listen_start(struct rpcio_listener *l, GError **err)
{
	GError *why = NULL;

	if (!g_socket_listen(l->sock, &why)) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "cannot listen on port %u: %s; choose a free port",
		    rpcio_local_port(l->sock), why->message);
		g_error_free(why);
		return FALSE;
	}
	accept_start(l);
	return TRUE;
}

struct rpcio_listener *
rpcio_listen(const char *host, guint port, gboolean bind_only,
    void (*accepted)(void *, GSocket *), void *ctx,
    const struct pt_events *events, GError **err)
{
	struct rpcio_listener *l;
	GSocket *sock;

	sock = rpcio_bind(G_SOCKET_TYPE_STREAM, host, port, !bind_only, err);
	if (sock == NULL)
		return NULL;
	l = g_new0(struct rpcio_listener, 1);
	l->sock = sock;
	l->accepted = accepted;
	l->ctx = ctx;
	l->events = events;
	if (!bind_only)
		accept_start(l);
	return l;
}

void
rpcio_listen_drain(struct rpcio_listener *l)
{
	if (l->rd != NULL)
		on_connection(l->sock, G_IO_IN, l);
}

guint
rpcio_listen_local_port(const struct rpcio_listener *l)
{
	return rpcio_local_port(l->sock);
}

void
rpcio_listen_free(struct rpcio_listener *l)
{
	accept_stop(l);
	if (l->retry != 0)
		g_source_remove(l->retry);
	g_socket_close(l->sock, NULL);
	g_object_unref(l->sock);
	g_free(l);
}
