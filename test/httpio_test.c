/* HTTP server and backend client of httpio, over loopback. */
#include <gio/gio.h>
#include <check.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"
#include "httpio.h"
#include "loop.h"
#include "run.h"

#define HOST "127.0.0.1"
#define BODY_MAX 100000
/* Connections that the backend server takes. */
#define CONNS 4
#define STREAM_LEN (64 * 1024 * 1024)
/* More than the socket buffers of both ends hold, which is a few MB. */
#define BUFFERED_MAX (16 * 1024 * 1024)

static struct {
	struct httpio_server *server;
	guint port;
	struct httpio_req *req;
	int requests, closed;
	gsize sent, total; /* bytes of the response body */
	gint64 length; /* passed to httpio_head() */
	/* backend client */
	struct httpio_backend *backend;
	GSocket *listener;
	struct httpio_fetch *fetch;
	int heads, code, status, headers;
	gint64 response_length;
	gsize got;
	int parts, ends;
} t;

static char chunk[HTTPIO_CHUNK];

static void
on_request(void *ctx, struct httpio_req *r)
{
	t.requests++;
	t.req = r;
}

static void
setup(void)
{
	struct httpio_server_opts so = {
		.host = HOST, .body_max = BODY_MAX, .request = on_request
	};
	struct httpio_backend_opts bo = { .url_name = "backend URL",
		.name = "backend server",
		.conns = CONNS };
	char *url;

	memset(&t, 0, sizeof(t));
	t.server = httpio_server_new(&so, NULL);
	ck_assert_ptr_nonnull(t.server);
	t.port = httpio_server_port(t.server);
	t.listener = rpcio_bind(G_SOCKET_TYPE_STREAM, HOST, 0, TRUE, NULL);
	url =
	    g_strdup_printf("http://" HOST ":%u", rpcio_local_port(t.listener));
	bo.url = url;
	t.backend = httpio_backend_new(&bo, NULL);
	ck_assert_ptr_nonnull(t.backend);
	g_free(url);
}

static void
teardown(void)
{
	httpio_server_free(t.server);
	httpio_backend_free(t.backend);
	loop_close(t.listener);
	while (g_main_context_iteration(NULL, FALSE))
		;
}

static void
on_drained(void *arg)
{
	gsize n = MIN(t.total - t.sent, sizeof(chunk));

	if (n == 0) {
		httpio_end(t.req);
		return;
	}
	t.sent += n;
	httpio_write(t.req, chunk, n, on_drained, NULL);
}

static gsize
read_all(GSocket *s)
{
	static char buf[1024 * 1024];
	gsize all = 0;
	gssize n;

	while (all < t.total) {
		UNTIL((n = loop_recv(s, buf, sizeof(buf))) != -1);
		ck_assert_int_gt(n, 0);
		all += n;
	}
	return all;
}

/* Guards against buffering a whole response for a caller that does not read. */
START_TEST(slow_caller)
{
	GSocket *s = loop_connect(HOST, t.port);
	gsize before;
	int i;

	loop_send(s, "GET /big HTTP/1.1\r\nHost: a\r\n\r\n");
	UNTIL(t.req != NULL);
	t.total = STREAM_LEN;
	httpio_head(t.req, 200, NULL, 0, t.total);
	on_drained(NULL);
	do {
		before = t.sent;
		for (i = 0; i < 200; i++)
			if (!g_main_context_iteration(NULL, FALSE))
				g_usleep(50);
	} while (t.sent > before);
	ck_assert_int_lt(t.sent, BUFFERED_MAX);
	ck_assert_int_ge(read_all(s), STREAM_LEN);
	ck_assert_int_eq(t.sent, STREAM_LEN);
	loop_close(s);
}
END_TEST

static void
abort_response(GSocket *s, const char *head)
{
	loop_send(s, head);
	UNTIL(t.req != NULL);
	httpio_head(t.req, 200, NULL, 0, t.length);
	httpio_write(t.req, "part", 4, NULL, NULL);
	g_free(loop_expect(s, "part"));
	httpio_abort(t.req);
}

/* Guards against an aborted response that looks complete to the caller. */
START_TEST(abort_resets_connection)
{
	static const char *const heads[] = {
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n" /* body ends with the connection */
	};
	GSocket *s;
	char buf[256];
	gssize n;

	t.length = _i == 1 ? 100 : -1;
	s = loop_connect(HOST, t.port);
	abort_response(s, heads[_i]);
	UNTIL((n = loop_recv(s, buf, sizeof(buf))) != -1);

	ck_assert_int_eq(n, -2);
	loop_close(s);
}
END_TEST

static void
on_close(void *arg)
{
	t.closed++;
}

/*
 * Guards against work that continues after its caller closed the connection,
 * before or during the response.
 */
START_TEST(caller_disconnects)
{
	GSocket *s = loop_connect(HOST, t.port);

	loop_send(s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	UNTIL(t.req != NULL);
	httpio_req_watch(t.req, on_close, NULL);
	loop_close(s);
	UNTIL(t.closed == 1);
	s = loop_connect(HOST, t.port);
	t.req = NULL;
	loop_send(s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	UNTIL(t.req != NULL);
	httpio_req_watch(t.req, on_close, NULL);
	httpio_head(t.req, 200, NULL, 0, -1);
	httpio_write(t.req, "x", 1, NULL, NULL);
	g_free(loop_expect(s, "x"));
	loop_close(s);
	UNTIL(t.closed == 2);
	ck_assert_int_eq(httpio_server_pending(t.server), 0);
}
END_TEST

/* Guards against a leak of descriptors of connections that callers closed. */
START_TEST(connection_closed_between_requests)
{
	GSocket *s = loop_connect(HOST, t.port);

	UNTIL(httpio_server_connections(t.server) == 1);
	loop_send(s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	UNTIL(t.req != NULL);
	httpio_response(t.req, 200, NULL, 0, "ok", 2);
	g_free(loop_expect(s, "ok"));
	loop_close(s);
	UNTIL(httpio_server_connections(t.server) == 0);
}
END_TEST

/*
 * Guards against requests over the limits of body and headers that reach the
 * handler, and against rejecting one with a body just at the limit.
 */
START_TEST(request_limits)
{
	static const char *const head =
	    "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n";
	GString *req = g_string_new(NULL);
	GSocket *s = loop_connect(HOST, t.port);
	char *text;
	gsize len;
	int i;

	g_string_printf(req, head, BODY_MAX);
	g_string_set_size(req, req->len + BODY_MAX);
	memset(req->str + req->len - BODY_MAX, 'b', BODY_MAX);
	loop_send(s, req->str);
	UNTIL(t.req != NULL);
	httpio_req_body(t.req, &len);
	ck_assert_int_eq(len, BODY_MAX);
	httpio_response(t.req, 200, NULL, 0, "ok", 2);
	g_free(loop_expect(s, "ok"));
	g_string_printf(req, head, BODY_MAX + 1);
	g_string_set_size(req, req->len + BODY_MAX + 1);
	memset(req->str + req->len - BODY_MAX - 1, 'b', BODY_MAX + 1);
	loop_send(s, req->str);
	text = loop_expect(s, "send less");
	ck_assert_ptr_nonnull(strstr(text, "413"));
	ck_assert_ptr_nonnull(strstr(text, "Pt-Outcome: not-run"));
	g_free(text);
	g_string_assign(req, "PUT / HTTP/1.1\r\nHost: a\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n1ffff\r\n");
	g_string_set_size(req, req->len + 0x1ffff);
	memset(req->str + req->len - 0x1ffff, 'b', 0x1ffff);
	g_string_append(req, "\r\n0\r\n\r\n");
	loop_send(s, req->str);
	text = loop_expect(s, "send less");
	ck_assert_ptr_nonnull(strstr(text, "413"));
	g_free(text);
	g_string_assign(req, "GET / HTTP/1.1\r\nHost: a\r\n");
	for (i = 0; i < HTTPIO_HEADERS_MAX; i++)
		g_string_append_printf(req, "X-%d: y\r\n", i);
	g_string_append(req, "\r\n");
	loop_send(s, req->str);
	text = loop_expect(s, "send less");
	ck_assert_ptr_nonnull(strstr(text, "431"));
	g_free(text);
	ck_assert_int_eq(t.requests, 1);
	g_string_free(req, TRUE);
	loop_close(s);
}
END_TEST

/*
 * Guards against request smuggling: two parsers would place the end of these
 * requests differently.  With libsoup's server, each of them reached a backend
 * server or got no response.
 */
START_TEST(malformed_requests)
{
	static const char *const bad[] = {
		"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n",
		"Content-Length: -5\r\n\r\nabcde",
	};
	GSocket *s = loop_connect(HOST, t.port);
	char *text, buf[16];

	loop_send(s, "POST / HTTP/1.1\r\nHost: a\r\n");
	loop_send(s, bad[_i]);
	text = loop_expect(s, "request not run");
	ck_assert_ptr_nonnull(strstr(text, " 400 "));
	g_free(text);
	UNTIL(loop_recv(s, buf, sizeof(buf)) == 0);
	ck_assert_int_eq(t.requests, 0);
	loop_close(s);
}
END_TEST

/* Guards against heads that two parsers read differently. */
START_TEST(ambiguous_heads)
{
	static const char *const bad[] = {
		"GET / HTTP/1.1\r\nA: b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nA : b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n",
	};
	GSocket *s = loop_connect(HOST, t.port);
	char *text;

	loop_send(s, bad[_i]);
	text = loop_expect(s, "\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(text, " 400 "));
	g_free(text);
	ck_assert_int_eq(t.requests, 0);
	loop_close(s);
}
END_TEST

/* Guards against a caller that waits for 100 Continue in vain. */
START_TEST(expects_continue)
{
	GSocket *s = loop_connect(HOST, t.port);
	gsize n;

	loop_send(s, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
		     "Expect: 100-continue\r\n\r\n");
	g_free(loop_expect(s, "100 Continue\r\n\r\n"));
	loop_send(s, "ab");
	UNTIL(t.req != NULL);
	httpio_req_body(t.req, &n);
	ck_assert_int_eq(n, 2);
	httpio_response(t.req, 200, NULL, 0, "ok", 2);
	g_free(loop_expect(s, "ok"));
	loop_close(s);
}
END_TEST

static void
on_head(void *arg, const struct httpio_response *a, const GError *e)
{
	t.heads++;
	t.code = e != NULL ? e->code : -1;
	if (a == NULL)
		return;
	t.status = a->status;
	t.headers = (int)a->n_headers;
	t.response_length = a->length;
}

static void
on_body(void *arg, const char *data, gsize len, gboolean more, const GError *e)
{
	t.parts++;
	t.got += len;
	t.code = e != NULL ? e->code : -1;
	t.ends += !more;
}

static void
fetch(const char *method, gboolean once)
{
	static const struct httpio_header h[] = { { "X-Kept", "1" },
		{ "Connection", "x-gone" }, { "TE", "trailers" } };
	struct httpio_call c = { .method = method,
		.path = "/p?q=%2F",
		.headers = h,
		.n_headers = 3,
		.once = once };

	t.heads = 0;
	t.fetch = httpio_fetch(t.backend, &c, on_head, NULL);
}

static GSocket *
accept_peer(void)
{
	GSocket *s;

	UNTIL((s = g_socket_accept(t.listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(s, FALSE);
	return s;
}

/* Guards against an unknown outcome reported for a refused connection. */
START_TEST(refused_connection_is_unreachable)
{
	g_socket_close(t.listener, NULL);
	fetch("POST", TRUE);
	UNTIL(t.heads == 1);
	ck_assert_int_eq(t.code, PT_ERROR_UNREACHABLE);
}
END_TEST

/*
 * Guards against reporting a request as not sent that the backend server
 * received.
 */
START_TEST(lost_connection_is_unknown)
{
	GSocket *s;

	fetch("POST", TRUE);
	s = accept_peer();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_close(s);
	UNTIL(t.heads == 1);
	ck_assert_int_eq(t.code, PT_ERROR_UNKNOWN);
}
END_TEST

/*
 * Guards against changed requests or responses, such as a normalised path, a
 * forwarded hop-by-hop header or a followed redirect.
 */
START_TEST(request_and_response_are_unchanged)
{
	GSocket *s;
	char *text;

	fetch("GET", FALSE);
	s = accept_peer();
	text = loop_expect(s, "\r\n\r\n");
	ck_assert(g_str_has_prefix(text, "GET /p?q=%2F HTTP/1.1\r\n"));
	ck_assert_ptr_nonnull(strstr(text, "X-Kept: 1\r\n"));
	ck_assert_ptr_null(strstr(text, "x-gone"));
	ck_assert_ptr_null(strstr(text, "trailers"));
	ck_assert_ptr_null(strstr(text, "Accept-Encoding"));
	g_free(text);
	loop_send(s,
	    "HTTP/1.1 302 Found\r\nLocation: /else\r\nKeep-Alive: 5\r\n"
	    "Content-Length: 3\r\n\r\nabc");
	UNTIL(t.heads == 1);
	ck_assert_int_eq(t.status, 302);
	ck_assert_int_eq(t.headers, 1);
	ck_assert_int_eq(t.response_length, 3);
	httpio_fetch_read(t.fetch, on_body, NULL);
	UNTIL(t.ends == 1);
	ck_assert_int_eq(t.code, -1);
	ck_assert_int_eq(t.got, 3);
	loop_close(s);
}
END_TEST

/* Guards against a truncated response that is taken for a complete one. */
START_TEST(truncated_response)
{
	static const char *const cut[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"8\r\nabc"
	};
	GSocket *s;
	int reads;

	fetch("GET", FALSE);
	s = accept_peer();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_send(s, cut[_i]);
	UNTIL(t.heads == 1);
	loop_close(s);
	for (reads = 0; t.ends == 0; reads = t.parts) {
		httpio_fetch_read(t.fetch, on_body, NULL);
		UNTIL(t.parts > reads);
	}
	ck_assert_int_eq(t.code, PT_ERROR_UNKNOWN);
}
END_TEST

/*
 * Guards against a partial body as a complete response: the server answers a
 * long upload without a length and resets the connection meanwhile.  The head
 * has been delivered: the body must end with an error.
 */
START_TEST(body_before_a_reset_ends_with_an_error)
{
	static const char *const heads[] = { "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"4\r\n" };
	struct httpio_call c = { .method = "POST",
		.path = "/",
		.body = g_strnfill(STREAM_LEN, 'b'),
		.body_len = STREAM_LEN,
		.once = TRUE };
	GSocket *s;

	t.fetch = httpio_fetch(t.backend, &c, on_head, NULL);
	s = accept_peer();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_send(s, heads[_i]);
	loop_send(s, "part");
	UNTIL(t.heads == 1);
	ck_assert_int_eq(t.status, 200);
	/* The body without a length is delivered as it arrives. */
	httpio_fetch_read(t.fetch, on_body, NULL);
	LOOP_IDLE();
	if (t.parts > 0)
		httpio_fetch_read(t.fetch, on_body, NULL);
	loop_reset(s);
	UNTIL(t.ends == 1);
	ck_assert_int_eq(t.code, PT_ERROR_UNKNOWN);
	g_free((char *)(guintptr)c.body);
}
END_TEST

/*
 * Guards against invalid responses on the path of ptnode: the caller must be
 * told that the outcome is unknown, and get no part of the response.
 */
static void
expect_unknown(const char *text)
{
	GSocket *s;

	fetch("POST", TRUE);
	s = accept_peer();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_send(s, text);
	UNTIL(t.heads == 1);
	ck_assert_msg(
	    t.code == PT_ERROR_UNKNOWN, "status %d: %s", t.status, text);
	loop_close(s);
}

START_TEST(invalid_status_is_unknown)
{
	static const char *const bad[] = {
		"HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 600 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n",
	};

	expect_unknown(bad[_i]);
}
END_TEST

START_TEST(invalid_field_line_is_unknown)
{
	static const char *const bad[] = {
		"HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: \001\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: \rb\r\nContent-Length: 0\r\n\r\n",
	};

	expect_unknown(bad[_i]);
}
END_TEST

/* Guards against a body that ends well although its trailers are invalid. */
START_TEST(body_with_an_invalid_trailer_ends_with_an_error)
{
	static const char *const bad[] = {
		"0\r\nA B: c\r\n\r\n",
		"0\r\nA: \001\r\n\r\n",
		"2\r\nabXX0\r\n\r\n",
	};
	GSocket *s;
	int reads;

	fetch("POST", TRUE);
	s = accept_peer();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_send(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	UNTIL(t.heads == 1);
	loop_send(s, bad[_i]);
	for (reads = 0; t.ends == 0; reads = t.parts) {
		httpio_fetch_read(t.fetch, on_body, NULL);
		UNTIL(t.parts > reads);
	}
	ck_assert_int_eq(t.code, PT_ERROR_UNKNOWN);
	loop_close(s);
}
END_TEST

/*
 * Guards against a response that breaks off in its head and is delivered as a
 * success with an empty or short body.
 */
START_TEST(response_cut_in_its_head_fails)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 5\n\n",
	};
	const char *head = heads[_i];
	GSocket *s;
	char *part;
	gsize at;

	for (at = 0; at < strlen(head); at++) {
		fetch("GET", TRUE);
		s = accept_peer();
		g_free(loop_expect(s, "\r\n\r\n"));
		part = g_strndup(head, at);
		if (at > 0)
			loop_send(s, part);
		g_free(part);
		loop_close(s);
		UNTIL(t.heads == 1);
		ck_assert_msg(t.code == PT_ERROR_UNKNOWN,
		    "cut at %u: status %d", (guint)at, t.status);
	}
}
END_TEST

/* Guards against reading a response faster than the caller consumes it. */
START_TEST(response_is_read_on_demand)
{
	GSocket *s;
	gsize sent = 0;
	gssize n;
	int idle = 0;

	fetch("GET", FALSE);
	s = accept_peer();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_send(s, "HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n");
	UNTIL(t.heads == 1);
	while (idle < 200) {
		n = g_socket_send(s, chunk, sizeof(chunk), NULL, NULL);
		idle = n > 0 ? 0 : idle + 1;
		sent += MAX(n, 0);
		ck_assert_int_lt(sent, BUFFERED_MAX);
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(50);
	}
	httpio_fetch_read(t.fetch, on_body, NULL);
	UNTIL(t.parts == 1);
	ck_assert_int_eq(t.got, HTTPIO_CHUNK);
	httpio_fetch_cancel(t.fetch);
	loop_close(s);
}
END_TEST

static gboolean
closed_by_peer(GSocket *s)
{
	char buf[4096];
	gssize n;

	while ((n = loop_recv(s, buf, sizeof(buf))) > 0)
		;
	return n != -1;
}

/*
 * Guards against a cancelled call whose connection stays open, so that the
 * backend server continues to run it.
 */
START_TEST(cancel_closes_connection)
{
	GSocket *s;

	fetch("GET", FALSE);
	s = accept_peer();
	g_free(loop_expect(s, "\r\n\r\n"));
	httpio_fetch_cancel(t.fetch);
	UNTIL(closed_by_peer(s));
	ck_assert_int_eq(t.heads, 0);
	loop_close(s);
	fetch("GET", FALSE);
	s = accept_peer();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_send(s, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nabc");
	UNTIL(t.heads == 1);
	httpio_fetch_cancel(t.fetch);
	UNTIL(closed_by_peer(s));
	loop_close(s);
}
END_TEST

static int cancelled;

static void
cancel_at_head(void *arg, const struct httpio_response *a, const GError *e)
{
	cancelled++;
	httpio_fetch_cancel(t.fetch);
}

/* Guards against a crash when the reader gives up as the head arrives. */
START_TEST(cancel_as_the_head_arrives)
{
	struct httpio_call c = { .method = "GET", .path = "/" };
	GSocket *s;

	cancelled = 0;
	t.fetch = httpio_fetch(t.backend, &c, cancel_at_head, NULL);
	s = accept_peer();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_send(s, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
	UNTIL(cancelled == 1);
	UNTIL(closed_by_peer(s));
	loop_close(s);
}
END_TEST

/*
 * Guards against more connections than the backend server takes: a call beyond
 * them waits, and an idle connection makes room for a new one.
 */
START_TEST(calls_wait_for_a_connection)
{
	struct httpio_call c = { .method = "GET", .path = "/" };
	GSocket *s[CONNS], *more;
	struct httpio_fetch *waiting;
	int i;

	for (i = 0; i < CONNS; i++) {
		fetch("GET", TRUE);
		s[i] = accept_peer();
		g_free(loop_expect(s[i], "\r\n\r\n"));
	}
	waiting = httpio_fetch(t.backend, &c, on_head, NULL);
	httpio_fetch_cancel(waiting);
	waiting = httpio_fetch(t.backend, &c, on_head, NULL);
	LOOP_IDLE();
	ck_assert_ptr_null(g_socket_accept(t.listener, NULL, NULL));
	t.heads = 0;
	loop_close(s[0]);
	UNTIL(t.heads == 1);
	more = accept_peer();
	g_free(loop_expect(more, "\r\n\r\n"));
	httpio_fetch_cancel(waiting);
	loop_close(more);
	for (i = 1; i < CONNS; i++) {
		loop_close(s[i]);
		UNTIL(t.heads == 1 + i);
	}
}
END_TEST

/*
 * Guards against sending a request twice that must be sent only once: one that
 * may be repeated is sent again when a kept connection turns out to be closed.
 */
START_TEST(sent_once)
{
	static const char *const methods[] = { "PUT", "DELETE", "POST" };
	GSocket *s, *second;
	int i;

	fetch("GET", FALSE);
	s = accept_peer();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_send(s, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	UNTIL(t.heads == 1);
	httpio_fetch_read(t.fetch, on_body, NULL);
	UNTIL(t.ends == 1);
	fetch(methods[_i], TRUE);
	second = accept_peer();
	loop_close(s);
	g_free(loop_expect(second, "\r\n\r\n"));
	loop_close(second);
	UNTIL(t.heads == 1);
	ck_assert_int_eq(t.code, PT_ERROR_UNKNOWN);
	for (i = 0; i < 200; i++)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(50);
	ck_assert_ptr_null(g_socket_accept(t.listener, NULL, NULL));
}
END_TEST

/*
 * Guards against a request reported as not sent whose first copy the backend
 * server received on a kept connection, while its repeat was refused.
 */
START_TEST(refused_repeat_of_a_sent_request_is_unknown)
{
	GSocket *s;

	fetch("GET", FALSE);
	s = accept_peer();
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_send(s, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	UNTIL(t.heads == 1);
	httpio_fetch_read(t.fetch, on_body, NULL);
	UNTIL(t.ends == 1);
	t.heads = 0;
	fetch("GET", FALSE);
	g_free(loop_expect(s, "\r\n\r\n"));
	g_socket_close(t.listener, NULL);
	loop_close(s);
	UNTIL(t.heads == 1);
	ck_assert_int_eq(t.code, PT_ERROR_UNKNOWN);
}
END_TEST

/* Guards against a new connection for each call. */
START_TEST(connection_is_reused)
{
	GSocket *s = NULL;
	int i;

	for (i = 0; i < 3; i++) {
		fetch("POST", FALSE);
		if (s == NULL)
			s = accept_peer();
		g_free(loop_expect(s, "\r\n\r\n"));
		loop_send(s, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
		UNTIL(t.heads == 1);
		httpio_fetch_read(t.fetch, on_body, NULL);
		UNTIL(t.ends == i + 1);
	}
	ck_assert_int_eq(t.got, 6);
	loop_close(s);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("httpio");
	TCase *c = tcase_create("http");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_test(c, slow_caller);
	tcase_add_loop_test(c, abort_resets_connection, 0, 3);
	tcase_add_test(c, caller_disconnects);
	tcase_add_test(c, connection_closed_between_requests);
	tcase_add_test(c, request_limits);
	tcase_add_loop_test(c, malformed_requests, 0, 4);
	tcase_add_loop_test(c, ambiguous_heads, 0, 4);
	tcase_add_test(c, expects_continue);
	tcase_add_test(c, refused_connection_is_unreachable);
	tcase_add_test(c, lost_connection_is_unknown);
	tcase_add_test(c, request_and_response_are_unchanged);
	tcase_add_loop_test(c, truncated_response, 0, 3);
	tcase_add_loop_test(c, body_before_a_reset_ends_with_an_error, 0, 3);
	tcase_add_loop_test(c, invalid_status_is_unknown, 0, 3);
	tcase_add_loop_test(c, invalid_field_line_is_unknown, 0, 3);
	tcase_add_loop_test(
	    c, body_with_an_invalid_trailer_ends_with_an_error, 0, 3);
	tcase_add_loop_test(c, response_cut_in_its_head_fails, 0, 3);
	tcase_add_test(c, response_is_read_on_demand);
	tcase_add_test(c, cancel_closes_connection);
	tcase_add_test(c, cancel_as_the_head_arrives);
	tcase_add_test(c, calls_wait_for_a_connection);
	tcase_add_loop_test(c, sent_once, 0, 3);
	tcase_add_test(c, refused_repeat_of_a_sent_request_is_unknown);
	tcase_add_test(c, connection_is_reused);
	suite_add_tcase(s, c);
	return suite_run(s);
}
