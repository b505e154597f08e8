/* Client of the platform's log against a socket that sends any bytes. */
#include <gio/gio.h>
#include <check.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"
#include "httpio.h"
#include "loop.h"
#include "run.h"

#define HOST "127.0.0.1"
#define TIMEOUT_MS 60000
/* More than the socket buffers of both ends hold, which is a few MB. */
#define RECORD_LEN (64 * 1024 * 1024)
#define OFFSET_BODY "Content-Length: 12\r\n\r\n{\"offset\":7}"
/* A batch without records: oldest 1, next 1. */
#define BATCH_LEN 20

static struct {
	GSocket *listener;
	struct httpio_log *client;
	struct pt_log port;
	int ends; /* appends and reads that called back */
	int code; /* enum pt_error, -1: none */
	gint64 offset, next;
} t;

static char batch[BATCH_LEN];

static void
setup(void)
{
	struct httpio_log_opts o = { .timeout_ms = TIMEOUT_MS };
	char *url;

	memset(&t, 0, sizeof(t));
	t.listener = rpcio_bind(G_SOCKET_TYPE_STREAM, HOST, 0, TRUE, NULL);
	url =
	    g_strdup_printf("http://" HOST ":%u", rpcio_local_port(t.listener));
	o.base = url;
	t.client = httpio_log_new(&o, NULL);
	ck_assert_ptr_nonnull(t.client);
	t.port = httpio_log_port(t.client);
	g_free(url);
	memset(batch, 0, sizeof(batch));
	batch[7] = batch[15] = 1;
}

static void
teardown(void)
{
	if (t.client != NULL)
		httpio_log_free(t.client);
	loop_close(t.listener);
	while (g_main_context_iteration(NULL, FALSE))
		;
}

static GSocket *
accept_client(void)
{
	GSocket *s;

	UNTIL((s = g_socket_accept(t.listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(s, FALSE);
	return s;
}

static void
on_append(void *arg, gint64 offset, const GError *err)
{
	t.ends++;
	t.offset = offset;
	t.code = err != NULL ? err->code : -1;
}

static void
on_read(void *arg, const struct pt_batch *b, const GError *err)
{
	t.ends++;
	t.next = b != NULL ? b->next : 0;
	t.code = err != NULL ? err->code : -1;
}

static void
append(gsize len)
{
	GBytes *b = g_bytes_new_take(g_strnfill(len, 'r'), len);

	t.port.append(t.port.ctx, "config", b, on_append, NULL);
	g_bytes_unref(b);
}

static void
read_log(void)
{
	t.port.read(t.port.ctx, "config", 1, 10, 0, on_read, NULL);
}

/* The log's end of a new append, whose record it has read. */
static GSocket *
accept_append(void)
{
	GSocket *s;

	append(3);
	s = accept_client();
	g_free(loop_expect(s, "\r\n\r\nrrr"));
	return s;
}

static void
send_batch(GSocket *s)
{
	loop_send(s, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n");
	ck_assert_int_eq(
	    g_socket_send(s, batch, sizeof(batch), NULL, NULL), BATCH_LEN);
}

/* Guards against a valid response that is refused. */
START_TEST(valid_response_is_taken)
{
	GSocket *s = accept_append();

	loop_send(s, "HTTP/1.1 200 OK\r\n" OFFSET_BODY);
	UNTIL(t.ends == 1);
	ck_assert_int_eq(t.code, -1);
	ck_assert_int_eq(t.offset, 7);
	loop_close(s);
}
END_TEST

/*
 * Guards against an offset taken from a response that is none: the change
 * would be said to be accepted.
 */
START_TEST(invalid_response_is_no_offset)
{
	static const char *const bad[] = {
		"HTTP/1.1 200 OK\r\nA b: c\r\n",
		"HTTP/1.1 200 OK\r\nA\001: c\r\n",
		"HTTP/1.1 200 OK\r\nA : c\r\n",
		"HTTP/1.1 200 OK\r\n: c\r\n",
		"HTTP/1.1 200 OK\r\nA\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n",
		"HTTP/1.1 200 OK\r\nA: \001\r\n",
		"HTTP/1.1 200 OK\r\nA: b\rc\r\n",
		"HTTP/1.1 0200 OK\r\n",
		"HTTP/1.1 2000 OK\r\n",
		"HTTP/1.1 200 OK\001\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
	};
	GSocket *s = accept_append();

	loop_send(s, bad[_i]);
	loop_send(s, OFFSET_BODY);
	UNTIL(t.ends == 1);
	ck_assert_msg(t.code == PT_ERROR_UNKNOWN, "offset %d, error %d: %s",
	    (int)t.offset, t.code, bad[_i]);
	loop_close(s);
}
END_TEST

/*
 * Guards against a change that is said not to have been accepted because of a
 * refusal that is no valid or no whole response.
 */
START_TEST(invalid_refusal_is_unknown)
{
	static const char *const bad[] = {
		"HTTP/1.1 503 No\r\nA b: c\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nA: \001\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 No\r\nA\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 413 No\r\n: c\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 0503 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nContent-Length: 3\r\n\r\nab",
		"HTTP/1.1 503 No\r\n\r\n",
	};
	GSocket *s = accept_append();

	loop_send(s, bad[_i]);
	loop_close(s);
	UNTIL(t.ends == 1);
	ck_assert_msg(
	    t.code == PT_ERROR_UNKNOWN, "error %d: %s", t.code, bad[_i]);
}
END_TEST

/* Guards against an offset taken from part of a response. */
START_TEST(response_cut_anywhere_is_unknown)
{
	static const char whole[] = "HTTP/1.1 200 OK\r\n" OFFSET_BODY;
	GSocket *s;
	char *part;
	gsize at;

	for (at = 0; at < sizeof(whole) - 1; at++) {
		s = accept_append();
		part = g_strndup(whole, at);
		if (at > 0)
			loop_send(s, part);
		g_free(part);
		if (_i == 0)
			loop_close(s);
		else
			loop_reset(s);
		UNTIL(t.ends == (int)at + 1);
		ck_assert_msg(t.code == PT_ERROR_UNKNOWN, "cut at %u: error %d",
		    (guint)at, t.code);
	}
}
END_TEST

/*
 * Guards against part of a response taken for the whole, and against a whole
 * one that is lost, if the log resets the connection while it gets a record.
 */
START_TEST(reset_while_a_record_is_sent)
{
	static const struct {
		const char *text;
		int code;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\n" OFFSET_BODY, -1 },
		{ "HTTP/1.1 200 OK\r\n\r\n{\"offset\":7}", PT_ERROR_UNKNOWN },
		{ "HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nab",
		    PT_ERROR_UNKNOWN },
	};
	GSocket *s;

	append(RECORD_LEN);
	s = accept_client();
	g_free(loop_expect(s, "\r\n\r\nr"));
	loop_send(s, cases[_i].text);
	loop_reset(s);
	UNTIL(t.ends == 1);
	ck_assert_int_eq(t.code, cases[_i].code);
	ck_assert_int_eq(t.offset, cases[_i].code == -1 ? 7 : 0);
}
END_TEST

/* The log's end of a connection that has carried one read. */
static GSocket *
used_connection(void)
{
	GSocket *s;

	read_log();
	s = accept_client();
	g_free(loop_expect(s, "\r\n\r\n"));
	send_batch(s);
	UNTIL(t.ends == 1);
	ck_assert_int_eq(t.code, -1);
	ck_assert_int_eq(t.next, 1);
	return s;
}

/* Guards against a failed read because the log closed a kept connection. */
START_TEST(read_is_repeated_on_a_closed_connection)
{
	GSocket *s = used_connection();

	read_log();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_close(s);
	s = accept_client();
	g_free(loop_expect(s, "\r\n\r\n"));
	send_batch(s);
	UNTIL(t.ends == 2);
	ck_assert_int_eq(t.code, -1);
	loop_close(s);
}
END_TEST

/* Guards against a record that is appended twice. */
START_TEST(append_is_sent_once)
{
	GSocket *s = used_connection();

	append(3);
	loop_close(s);
	s = accept_client();
	g_free(loop_expect(s, "\r\n\r\nrrr"));
	loop_close(s);
	UNTIL(t.ends == 2);
	ck_assert_int_eq(t.code, PT_ERROR_UNKNOWN);
	LOOP_IDLE();
	ck_assert_ptr_null(g_socket_accept(t.listener, NULL, NULL));
}
END_TEST

/* Guards against an unknown outcome of an append that was never sent. */
START_TEST(refused_connection_is_unreachable)
{
	g_socket_close(t.listener, NULL);
	append(3);
	UNTIL(t.ends == 1);
	ck_assert_int_eq(t.code, PT_ERROR_UNREACHABLE);
}
END_TEST

/* Guards against a node that reads a response of any length into memory. */
START_TEST(response_without_a_limit_is_refused)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n",
	};
	GSocket *s = accept_append();

	loop_send(s, heads[_i]);
	UNTIL(t.ends == 1);
	ck_assert_int_eq(t.code, PT_ERROR_UNKNOWN);
	loop_close(s);
}
END_TEST

/*
 * Guards against an answer to an append that is far larger than an offset, and
 * takes a hundred times its size once it is parsed.
 */
START_TEST(long_answer_to_an_append_is_unknown)
{
	GSocket *s = accept_append();

	loop_send(s, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n");
	UNTIL(t.ends == 1);
	ck_assert_int_eq(t.code, PT_ERROR_UNKNOWN);
	loop_close(s);
}
END_TEST

/* Guards against callbacks after the client was freed, and leaks. */
START_TEST(freed_while_requests_are_pending)
{
	GSocket *s;
	int i;

	for (i = 0; i < 20; i++) {
		read_log();
		append(3);
	}
	s = accept_client();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_send(s, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nabc");
	LOOP_IDLE();
	httpio_log_free(t.client);
	t.client = NULL;
	LOOP_IDLE();
	ck_assert_int_eq(t.ends, 0);
	loop_close(s);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("log_client");
	TCase *c = tcase_create("log");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_test(c, valid_response_is_taken);
	tcase_add_loop_test(c, invalid_response_is_no_offset, 0, 13);
	tcase_add_loop_test(c, invalid_refusal_is_unknown, 0, 7);
	tcase_add_loop_test(c, response_cut_anywhere_is_unknown, 0, 2);
	tcase_add_loop_test(c, reset_while_a_record_is_sent, 0, 3);
	tcase_add_test(c, read_is_repeated_on_a_closed_connection);
	tcase_add_test(c, append_is_sent_once);
	tcase_add_test(c, refused_connection_is_unreachable);
	tcase_add_loop_test(c, response_without_a_limit_is_refused, 0, 3);
	tcase_add_test(c, long_answer_to_an_append_is_unknown);
	tcase_add_test(c, freed_while_requests_are_pending);
	suite_add_tcase(s, c);
	return suite_run(s);
}
