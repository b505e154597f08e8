#include <gio/gio.h>
#include <check.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/socket.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"
#include "loop.h"

GSocket *
loop_connect(const char *host, guint port)
{
	GSocketAddress *a = rpcio_address(host, port, NULL);
	GSocket *s;

	s = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
	    G_SOCKET_PROTOCOL_TCP, NULL);
	ck_assert(g_socket_connect(s, a, NULL, NULL));
	g_object_unref(a);
	g_socket_set_blocking(s, FALSE);
	return s;
}

void
loop_close(GSocket *s)
{
	g_socket_close(s, NULL);
	g_object_unref(s);
}

void
loop_reset(GSocket *s)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	ck_assert_int_eq(setsockopt(g_socket_get_fd(s), SOL_SOCKET, SO_LINGER,
			     &l, sizeof(l)),
	    0);
	loop_close(s);
}

void
loop_send(GSocket *s, const char *text)
{
	ck_assert_int_eq(g_socket_send(s, text, strlen(text), NULL, NULL),
	    (gssize)strlen(text));
}

gssize
loop_recv(GSocket *s, char *buf, gsize len)
{
	GError *e = NULL;
	gssize n;

	n = g_socket_receive(s, buf, len, NULL, &e);
	if (n < 0 && !g_error_matches(e, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		n = -2;
	g_clear_error(&e);
	return n;
}

char *
loop_expect(GSocket *s, const char *text)
{
	GString *all = g_string_new(NULL);
	char buf[4096];
	gssize n;

	for (;;) {
		UNTIL((n = loop_recv(s, buf, sizeof(buf))) != -1);
		ck_assert_msg(n > 0, "closed after \"%s\"", all->str);
		g_string_append_len(all, buf, n);
		if (strstr(all->str, text) != NULL)
			return g_string_free(all, FALSE);
	}
}
