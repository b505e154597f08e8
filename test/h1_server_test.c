/* Server that reads each request whole before handling it, over loopback. */
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
#include "run.h"

#define HOST "127.0.0.1"
#define BODY_MAX 10

static struct {
	struct h1_server *server;
	GSocket *caller;
	struct h1_request *request; /* without a response yet */
	int requests, closed, bad;
	GString *body;
	const char *at_once; /* body of a response to each request, or NULL */
} t;

static void respond(const char *body, gboolean last);

static void
on_request(void *ctx, struct h1_request *r)
{
	t.requests++;
	t.request = r;
	g_string_assign(t.body, "");
	g_string_append_len(
	    t.body, (const char *)r->body->data, (gssize)r->body->len);
	if (t.at_once != NULL)
		respond(t.at_once, FALSE);
}

static void
on_close(void *ctx, struct h1_request *r)
{
	ck_assert_ptr_eq(r, t.request);
	t.closed++;
	t.request = NULL;
}

static void
on_bad(void *ctx, const char *why)
{
	ck_assert_ptr_nonnull(why);
	t.bad++;
}

static const struct h1_server_ops ops = {
	.request = on_request, .closed = on_close, .rejected = on_bad
};

static void
setup(void)
{
	struct h1_server_opts o = {
		.host = HOST, .body_max = BODY_MAX, .ops = &ops
	};

	memset(&t, 0, sizeof(t));
	t.body = g_string_new(NULL);
	t.server = h1_server_new(&o, NULL);
	ck_assert_ptr_nonnull(t.server);
	t.caller = loop_connect(HOST, h1_server_port(t.server));
}

static void
teardown(void)
{
	loop_close(t.caller);
	h1_server_free(t.server);
	g_string_free(t.body, TRUE);
}

static void
respond(const char *body, gboolean last)
{
	struct h1_field f = { (char *)"X-One", (char *)"1" };
	struct h1_response a = { .status = 200,
		.fields = &f,
		.n_fields = 1,
		.body = body,
		.len = strlen(body),
		.last = last };

	h1_server_respond(t.request, &a);
	t.request = NULL;
}

static void
expect_close(void)
{
	char c;

	UNTIL(loop_recv(t.caller, &c, 1) == 0);
}

/* Guards against responses to the wrong one of two pipelined requests. */
START_TEST(responses_match_pipelined_requests)
{
	char *got;

	loop_send(t.caller,
	    "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
	    "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL(t.requests == 1);
	ck_assert_str_eq(t.body->str, "abc");
	ck_assert_str_eq(t.request->head->target, "/a");
	respond("one", FALSE);
	got = loop_expect(t.caller, "one");
	ck_assert_ptr_nonnull(strstr(got, "200 OK"));
	ck_assert_ptr_nonnull(strstr(got, "X-One: 1"));
	ck_assert_ptr_nonnull(strstr(got, "Content-Length: 3"));
	g_free(got);
	UNTIL(t.requests == 2);
	ck_assert_str_eq(t.body->str, "");
	ck_assert_str_eq(t.request->head->target, "/b");
	respond("two", TRUE);
	got = loop_expect(t.caller, "two");
	ck_assert_ptr_nonnull(strstr(got, "Connection: close"));
	g_free(got);
	expect_close();
	ck_assert_int_eq(t.closed, 0);
}
END_TEST

/* Guards against a body after HEAD, which corrupts the next response. */
START_TEST(response_to_head_has_no_body)
{
	char *got;

	loop_send(t.caller, "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b "
			    "HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL(t.requests == 1);
	respond("never", FALSE);
	UNTIL(t.requests == 2);
	respond("second", FALSE);
	got = loop_expect(t.caller, "second");
	ck_assert_ptr_null(strstr(got, "never"));
	ck_assert_ptr_nonnull(strstr(got, "Content-Length: 5"));
	g_free(got);
}
END_TEST

/*
 * Guards against a response on a closed connection: closed() is called once,
 * both after a reset by the caller and after h1_server_close().
 */
START_TEST(closed_connections_are_reported_once)
{
	loop_send(t.caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL(t.requests == 1);
	loop_reset(t.caller);
	t.caller = NULL;
	UNTIL(t.closed == 1);
	t.caller = loop_connect(HOST, h1_server_port(t.server));
	loop_send(t.caller, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL(t.requests == 2);
	h1_server_close(t.server);
	ck_assert_int_eq(t.closed, 2);
	expect_close();
}
END_TEST

/* Guards against malformed or oversized requests that reach the handler. */
START_TEST(malformed_and_oversized_requests_are_rejected)
{
	char *got;

	loop_send(t.caller,
	    "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n");
	got = loop_expect(t.caller, "\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(got, "400 "));
	g_free(got);
	expect_close();
	loop_close(t.caller);
	t.caller = loop_connect(HOST, h1_server_port(t.server));
	loop_send(t.caller,
	    "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
	got = loop_expect(t.caller, "\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(got, "413 "));
	g_free(got);
	ck_assert_int_eq(t.bad, 2);
	ck_assert_int_eq(t.requests, 0);
	ck_assert_int_eq(t.closed, 0);
}
END_TEST

#define PIPELINED 4000
#define RESPONSE_LEN 10000
#define REQUEST "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

/* Sends the rest of the requests, as much as the socket takes. */
static void
send_pipelined(const GString *all, gsize *sent)
{
	gssize n;

	if (*sent == all->len)
		return;
	n = g_socket_send(
	    t.caller, all->str + *sent, all->len - *sent, NULL, NULL);
	if (n > 0)
		*sent += (gsize)n;
}

/*
 * Guards against responses to pipelined requests that fill the memory because
 * the caller reads none of them, and against the loss of those that are held
 * back once it reads.
 */
START_TEST(caller_that_reads_nothing_is_not_served_ahead)
{
	char *body = g_strnfill(RESPONSE_LEN, 'x'), buf[65536];
	GString *all = g_string_new(NULL);
	gsize sent = 0, got = 0;
	gssize n;
	int i;

	for (i = 0; i < PIPELINED; i++)
		g_string_append(all, REQUEST);
	t.at_once = body;
	for (i = 0; i < 20000; i++) {
		send_pipelined(all, &sent);
		g_main_context_iteration(NULL, FALSE);
		ck_assert_uint_le(
		    h1_unsent_bytes(), H1_LOW_WATER + 2 * RESPONSE_LEN);
	}
	ck_assert_int_lt(t.requests, PIPELINED);
	for (i = 0; got < (gsize)PIPELINED * RESPONSE_LEN; i++) {
		ck_assert_int_lt(i, LOOP_ITERATIONS);
		send_pipelined(all, &sent);
		g_main_context_iteration(NULL, FALSE);
		n = loop_recv(t.caller, buf, sizeof(buf));
		ck_assert_int_ne(n, -2);
		got += (gsize)MAX(n, 0);
	}
	UNTIL(t.requests == PIPELINED);
	ck_assert_uint_eq(h1_unsent_bytes(), 0);
	g_string_free(all, TRUE);
	g_free(body);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("h1_server");
	TCase *c = tcase_create("h1_server");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_test(c, responses_match_pipelined_requests);
	tcase_add_test(c, response_to_head_has_no_body);
	tcase_add_test(c, caller_that_reads_nothing_is_not_served_ahead);
	tcase_add_test(c, closed_connections_are_reported_once);
	tcase_add_test(c, malformed_and_oversized_requests_are_rejected);
	suite_add_tcase(suite, c);
	return suite_run(suite);
}
