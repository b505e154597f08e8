/* HTTP client of the load programs (bench/mesh). */
#include <gio/gio.h>
#include <check.h>
#include <rpc/rpc.h>
#include <signal.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/wait.h>
#include <unistd.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "mesh.h"
#include "priv.h"
#include "loop.h"
#include "run.h"

#define HOST "127.0.0.1"

static void
on_head(void *arg, guint status, const char *headers)
{
}

static void
on_data(void *arg, const char *p, gsize n)
{
}

static void
on_end(void *arg, enum load_result how, gboolean resent)
{
}

static const struct load_handler handler = { on_head, on_data, on_end };

/*
 * Guards against events for a connection that has been freed: a child process
 * that was forked and has not called exec() yet still holds the socket, so
 * close() alone does not remove it from the epoll set.
 */
START_TEST(closed_connection_gets_no_events)
{
	GSocket *l = rpcio_bind(G_SOCKET_TYPE_STREAM, HOST, 0, TRUE, NULL);
	struct load_http *h = load_http_new();
	struct load_host *host = load_add_host(h, HOST, rpcio_local_port(l), 1);
	struct load_req *r;
	GSocket *s = NULL;
	gboolean pending;
	pid_t child;

	r = load_send(host, g_string_new("GET / HTTP/1.1\r\n\r\n"), FALSE,
	    &handler, NULL);
	UNTIL((s = g_socket_accept(l, NULL, NULL)) != NULL);
	g_socket_set_blocking(s, FALSE);
	g_free(loop_expect(s, "\r\n\r\n"));
	child = fork();
	ck_assert_int_ge(child, 0);
	if (child == 0) {
		pause();
		_exit(0);
	}
	load_cancel(r);
	LOOP_IDLE();
	ck_assert(g_socket_shutdown(s, TRUE, TRUE, NULL));
	LOOP_IDLE();
	pending = g_main_context_pending(NULL);
	kill(child, SIGKILL);
	waitpid(child, NULL, 0);
	ck_assert(!pending);
	load_http_free(h);
	loop_close(s);
	loop_close(l);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("mesh");
	TCase *t = tcase_create("http");

	tcase_add_test(t, closed_connection_gets_no_events);
	suite_add_tcase(suite, t);
	return suite_run(suite);
}
