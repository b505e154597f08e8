/* Peers that take no output, on a paused clock, over loopback. */
#include <gio/gio.h>
#include <check.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"
#include "h1.h"
#include "loop.h"
#include "paused.h"
#include "run.h"

#define HOST "127.0.0.1"
#define SECOND G_TIME_SPAN_SECOND
/* More than the sockets of both ends hold. */
#define RESPONSE_LEN (32 * 1024 * 1024)

static struct {
	struct h1_server *server;
	GSocket *caller;
	char *body;
	gboolean last;
	int requests;
} t;

static void
on_request(void *ctx, struct h1_request *r)
{
	struct h1_response a = { .status = 200,
		.body = t.body,
		.len = RESPONSE_LEN,
		.last = t.last };

	t.requests++;
	h1_server_respond(r, &a);
}

static const struct h1_server_ops ops = { .request = on_request };

static void
setup(void)
{
	struct h1_server_opts o = { .host = HOST, .ops = &ops };

	memset(&t, 0, sizeof(t));
	paused_now = 1000 * SECOND;
	t.body = g_strnfill(RESPONSE_LEN, 'x');
	t.server = h1_server_new(&o, NULL);
	ck_assert_ptr_nonnull(t.server);
	t.caller = loop_connect(HOST, h1_server_port(t.server));
	loop_send(t.caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
}

static void
teardown(void)
{
	loop_close(t.caller);
	h1_server_free(t.server);
	g_free(t.body);
}

static void
settle(void)
{
	LOOP_IDLE();
}

/*
 * Guards against a connection, and the output queued on it, that stay for as
 * long as its peer reads nothing: kept, and being closed.
 */
START_TEST(connection_ends_if_its_peer_reads_nothing)
{
	t.last = _i == 1;
	UNTIL(t.requests == 1);
	LOOP_IDLE();
	ck_assert_uint_gt(h1_unsent_bytes(), 0);
	paused_advance(100 * SECOND, settle);
	ck_assert_uint_eq(h1_unsent(), 1);
	paused_advance(30 * SECOND, settle);
	ck_assert_uint_eq(h1_unsent(), 0);
	ck_assert_uint_eq(h1_unsent_bytes(), 0);
}
END_TEST

/* Guards against the end of a connection whose peer reads slowly. */
START_TEST(slow_peer_gets_the_whole_response)
{
	gsize got = 0, next = 0;
	char buf[65536];
	gssize n;
	int i;

	UNTIL(t.requests == 1);
	for (i = 0; got < RESPONSE_LEN; i++) {
		ck_assert_int_lt(i, LOOP_ITERATIONS);
		LOOP_IDLE();
		n = loop_recv(t.caller, buf, sizeof(buf));
		ck_assert_int_ge(n, -1);
		got += (gsize)MAX(n, 0);
		/* A pause before every eighth part. */
		if (got < next)
			continue;
		next += RESPONSE_LEN / 8;
		paused_advance(100 * SECOND, settle);
	}
	UNTIL(h1_unsent() == 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("h1_stall");
	TCase *c = tcase_create("stall");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_loop_test(c, connection_ends_if_its_peer_reads_nothing, 0, 2);
	tcase_add_test(c, slow_peer_gets_the_whole_response);
	suite_add_tcase(suite, c);
	return suite_run(suite);
}
