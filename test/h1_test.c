/* HTTP/1.1 parsing, connections and the connection pool, over loopback. */
#include <gio/gio.h>
#include <malloc.h>
#include <check.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/resource.h>
#include <unistd.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"
#include "h1.h"
#include "loop.h"
#include "run.h"

#define HOST "127.0.0.1"
#define HEAD_MAX 2000
#define BODY_MAX 5000
#define FUZZ_RUNS 3000
#define FUZZ_SEED 20

/* ---- server side: requests of a caller to h1_accept() ---- */

static struct {
	struct rpcio_listener *listener;
	struct h1_conn *conn;
	GSocket *caller;
	GString *body;
	struct h1_head *head;
	int heads, completes, bad, status, closed;
} s;

static void
on_head(void *ctx, struct h1_head *h)
{
	h1_head_unref(s.head);
	s.head = h1_head_ref(h);
	s.heads++;
	g_string_truncate(s.body, 0);
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	g_string_append_len(s.body, p, (gssize)n);
}

static void
on_complete(void *ctx)
{
	s.completes++;
}

static void
on_bad(void *ctx, int status, const char *why)
{
	s.bad++;
	s.status = status;
}

static void
on_closed(void *ctx, enum h1_end end, const char *why)
{
	s.closed++;
	h1_free(s.conn);
	s.conn = NULL;
}

static const struct h1_ops server_ops = { .head = on_head,
	.body = on_body,
	.complete = on_complete,
	.reject = on_bad,
	.closed = on_closed };

static void
accepted(void *ctx, GSocket *sock)
{
	struct h1_opts o = {
		.ops = &server_ops, .head_max = HEAD_MAX, .body_max = BODY_MAX
	};

	ck_assert_ptr_null(s.conn);
	s.conn = h1_accept(sock, &o);
}

static void
server_setup(void)
{
	memset(&s, 0, sizeof(s));
	s.body = g_string_new(NULL);
	s.listener = rpcio_listen(HOST, 0, FALSE, accepted, NULL, NULL, NULL);
	ck_assert_ptr_nonnull(s.listener);
	s.caller = loop_connect(HOST, rpcio_listen_local_port(s.listener));
	UNTIL(s.conn != NULL);
}

static void
server_teardown(void)
{
	h1_free(s.conn);
	loop_close(s.caller);
	rpcio_listen_free(s.listener);
	h1_head_unref(s.head);
	g_string_free(s.body, TRUE);
}

/* Replaces the connection by a new one. */
static void
reconnect(void)
{
	h1_free(s.conn);
	s.conn = NULL;
	loop_close(s.caller);
	s.heads = s.completes = s.bad = s.status = s.closed = 0;
	s.caller = loop_connect(HOST, rpcio_listen_local_port(s.listener));
	UNTIL(s.conn != NULL);
}

static const struct {
	const char *text;
	int status;
} rejected[] = {
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
	  "Content-Length: 4\r\n\r\nabcd",
	    400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	  "Content-Length: 3\r\n\r\n0\r\n\r\n",
	    400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "zz\r\nab\r\n0\r\n\r\n",
	    400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", 400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1x\r\n\r\na", 400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\n"
	  "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	    400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    400 },
	{ "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", 400 },
	{ "GET / HTTP/1.0\r\nHost: h\r\nHost: i\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost : h\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA\t: b\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA B: c\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA:\r\n\tb\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n \r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA: b\001c\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA: \001b\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA: \rb\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA: b\177\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\n\001A: b\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\nA\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\n: b\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\n Host: h\r\n\r\n", 400 },
	{ "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
	{ "GET / HTTP/1.1\r\nHost: h\r\n\rX", 400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nabXX0\r\n\r\n",
	    400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2;a\nb\r\nab\r\n0\r\n\r\n",
	    400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "0\r\nA B: c\r\n\r\n",
	    400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "0\r\nA: \001\r\n\r\n",
	    400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n", 400 },
	{ "no request at all\r\n\r\n", 400 },
	{ "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 400 },
	{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5001\r\n\r\n", 413 },
};

/*
 * Guards against request smuggling: a request whose end two parsers would place
 * differently is rejected, and no part of it is handled as a request.
 */
START_TEST(malformed_requests_are_rejected)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rejected); i++) {
		reconnect();
		loop_send(s.caller, rejected[i].text);
		UNTIL(s.bad > 0);
		ck_assert_msg(s.status == rejected[i].status,
		    "case %u: status %d", i, s.status);
		ck_assert_int_eq(s.completes, 0);
	}
}
END_TEST

/*
 * Guards against a malformed head that is accepted because it arrives in two
 * parts, for every position at which it may be divided.
 */
START_TEST(divided_malformed_requests_are_rejected)
{
	char *first;
	gsize at;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rejected); i++)
		for (at = 1; at < strlen(rejected[i].text); at++) {
			reconnect();
			first = g_strndup(rejected[i].text, at);
			loop_send(s.caller, first);
			LOOP_IDLE();
			if (s.bad == 0)
				loop_send(s.caller, rejected[i].text + at);
			UNTIL(s.bad > 0);
			ck_assert_int_eq(s.completes, 0);
			g_free(first);
		}
}
END_TEST

/* Guards against a legal head that is rejected when it is divided. */
START_TEST(divided_requests_are_read)
{
	static const char text[] = "POST / HTTP/1.1\r\nHost:h \r\nA:  b  c "
				   "\r\nB:\r\nC: \t d\r\n"
				   "Content-Length: 2\r\n\r\nab";
	char *first;
	gsize at;

	for (at = 1; at < strlen(text); at++) {
		reconnect();
		first = g_strndup(text, at);
		loop_send(s.caller, first);
		LOOP_IDLE();
		loop_send(s.caller, text + at);
		UNTIL(s.completes == 1);
		ck_assert_str_eq(h1_head_get(s.head, "A"), "b  c");
		ck_assert_str_eq(h1_head_get(s.head, "B"), "");
		ck_assert_str_eq(h1_head_get(s.head, "C"), "d");
		g_free(first);
	}
}
END_TEST

/*
 * Guards against a trailer that is taken for a field of the head: it would be
 * forwarded as one, such as a second Host.
 */
START_TEST(trailers_are_not_fields_of_the_head)
{
	loop_send(s.caller, "POST / HTTP/1.1\r\nHost: h\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
			    "0\r\nHost: i\r\nX: y\r\nZ: z\r\n\r\n");
	UNTIL(s.completes == 1);
	ck_assert_uint_eq(s.head->fields->len, 2);
	ck_assert_ptr_null(h1_head_get(s.head, "X"));
	h1_read_next(s.conn);
	loop_send(s.caller, "GET / HTTP/1.1\r\nHost: j\r\n\r\n");
	UNTIL(s.completes == 2);
	ck_assert_uint_eq(s.head->fields->len, 1);
	ck_assert_str_eq(h1_head_get(s.head, "Host"), "j");
}
END_TEST

/* Most bytes of a message that has no end which may be read. */
#define ENDLESS_MAX (512 * 1024)

/* Sends the text until "cond" holds. */
#define SEND_UNTIL(sock, text, cond)                                    \
	do {                                                            \
		gsize n_ = 0;                                           \
		while (!(cond)) {                                       \
			ck_assert_uint_lt(n_, ENDLESS_MAX);             \
			n_ += (gsize)MAX(g_socket_send((sock), (text),  \
					     strlen(text), NULL, NULL), \
			    0);                                         \
			g_main_context_iteration(NULL, FALSE);          \
		}                                                       \
	} while (0)

/*
 * Guards against requests without an end that are read for ever: in the target,
 * a field, the number of fields, a chunk's extension and the trailers.
 */
START_TEST(endless_requests_are_rejected)
{
	static const char chunked[] =
	    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
	static const struct {
		const char *begin, *more;
		int status;
	} cases[] = {
		{ "GET /", "aaaaaaaaaaaaaaaa", 431 },
		{ "GET / HTTP/1.1\r\nHost: h\r\nA: ", "bbbbbbbbbbbbbbbb", 431 },
		{ "GET / HTTP/1.1\r\nHost: h\r\nA", "bbbbbbbbbbbbbbbb", 431 },
		{ "GET / HTTP/1.1\r\nHost: h\r\n", "A: b\r\n", 431 },
		{ "1;", "cccccccccccccccc", 400 },
		{ "0\r\n", "T: d\r\n", 431 },
		{ "1\r\na\r\n", "1\r\na\r\n", 413 },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		reconnect();
		if (g_ascii_isdigit(cases[i].begin[0]))
			loop_send(s.caller, chunked);
		loop_send(s.caller, cases[i].begin);
		SEND_UNTIL(s.caller, cases[i].more, s.bad > 0);
		ck_assert_msg(s.status == cases[i].status, "case %u: status %d",
		    i, s.status);
		ck_assert_int_eq(s.completes, 0);
	}
}
END_TEST

/* Guards against unlimited memory for a head, or for a chunked body. */
START_TEST(oversized_requests_are_rejected)
{
	char *big = g_strnfill(HEAD_MAX + 1, 'a');
	char *text;

	text = g_strdup_printf("GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n", big);
	loop_send(s.caller, text);
	UNTIL(s.bad == 1);
	ck_assert_int_eq(s.status, 431);
	g_free(text);
	g_free(big);

	reconnect();
	big = g_strnfill(BODY_MAX + 1, 'b');
	text = g_strdup_printf("POST / HTTP/1.1\r\nHost: h\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
	    BODY_MAX + 1, big);
	loop_send(s.caller, text);
	UNTIL(s.bad == 1);
	ck_assert_int_eq(s.status, 413);
	ck_assert_int_eq(s.completes, 0);
	g_free(text);
	g_free(big);
}
END_TEST

/* Guards against chunk sizes, extensions or trailers in the decoded body. */
START_TEST(chunked_body_is_decoded)
{
	loop_send(s.caller, "POST /a?b HTTP/1.1\r\nHost: h\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
	UNTIL(s.body->len == 3);
	ck_assert_int_eq(s.completes, 0);
	loop_send(s.caller, "2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n");
	UNTIL(s.completes == 1);
	ck_assert_str_eq(s.body->str, "abcde");
	ck_assert_str_eq(s.head->method, "POST");
	ck_assert_str_eq(s.head->target, "/a?b");
	ck_assert(s.head->keep_alive);
}
END_TEST

/*
 * Guards against requests that are rejected because http_parser takes a name
 * that begins like Transfer-Encoding for it.
 */
START_TEST(longer_name_is_no_transfer_encoding)
{
	loop_send(s.caller, "POST / HTTP/1.1\r\nHost: h\r\n"
			    "Transfer-Encoding-Hint: a\r\n"
			    "Content-Length: 2\r\n\r\nab");
	UNTIL(s.completes + s.bad == 1);
	ck_assert_int_eq(s.bad, 0);
	ck_assert_str_eq(s.body->str, "ab");
	reconnect();
	loop_send(s.caller, "POST / HTTP/1.1\r\nHost: h\r\n"
			    "Transfer-Encoding: gzip\r\n"
			    "Transfer-Encoding-Hint: a\r\n\r\n");
	UNTIL(s.bad == 1);
}
END_TEST

/*
 * Guards against responses in the wrong order when a caller pipelines: the next
 * request is read only after h1_read_next().
 */
START_TEST(requests_are_read_one_at_a_time)
{
	loop_send(s.caller, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
			    "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL(s.completes == 1);
	LOOP_IDLE();
	ck_assert_int_eq(s.heads, 1);
	ck_assert_str_eq(s.head->target, "/1");
	ck_assert(!h1_idle(s.conn));
	h1_read_next(s.conn);
	UNTIL(s.completes == 2);
	ck_assert_str_eq(s.head->target, "/2");
}
END_TEST

/*
 * Guards against work on a request whose caller closed the connection while the
 * response was pending.
 */
START_TEST(close_is_reported_while_response_is_pending)
{
	loop_send(s.caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL(s.completes == 1);
	ck_assert_int_eq(s.closed, 0);
	g_socket_shutdown(s.caller, FALSE, TRUE, NULL);
	UNTIL(s.closed == 1);
}
END_TEST

/*
 * Guards against work on a request whose caller closed the connection before
 * the request was read, as when the node was delayed.
 */
START_TEST(request_of_closed_connection_is_not_read)
{
	loop_send(s.caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	g_socket_shutdown(s.caller, FALSE, TRUE, NULL);
	/* The request and the close have arrived before the loop runs. */
	g_usleep(20000);
	UNTIL(s.closed == 1);
	ck_assert_int_eq(s.completes, 0);
}
END_TEST

/*
 * Guards against a reset that discards the response: closing a socket with
 * unread input, here the rest of a request body, sends a reset.
 */
START_TEST(finish_delivers_the_response)
{
	char *got;

	loop_send(s.caller, "POST / HTTP/1.1\r\nHost: h\r\n"
			    "Content-Length: 4000\r\n\r\nab");
	UNTIL(s.body->len == 2);
	h1_send(s.conn, "HTTP/1.1 503 No\r\nContent-Length: 4\r\n\r\nlate", 42);
	h1_finish(s.conn);
	s.conn = NULL;
	/* The caller sends more of its body before it reads. */
	loop_send(s.caller, "cdefgh");
	got = loop_expect(s.caller, "late");
	ck_assert_ptr_nonnull(strstr(got, "503"));
	g_free(got);
}
END_TEST

/* More than the socket buffers of both ends hold. */
#define LARGE (32 * 1024 * 1024)

/*
 * Guards against a planned stop that counts a response as sent while the caller
 * has not read it: also after the connection was left to h1_finish().
 */
START_TEST(response_is_unsent_until_it_is_written)
{
	char *body = g_strnfill(LARGE, 'b'), part[64 * 1024];
	gsize got = 0;
	gssize n;

	loop_send(s.caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL(s.completes == 1);
	ck_assert_uint_eq(h1_unsent(), 0);
	h1_send(s.conn, body, LARGE);
	g_free(body);
	ck_assert_uint_eq(h1_unsent(), 1);
	h1_finish(s.conn);
	s.conn = NULL;
	LOOP_IDLE();
	ck_assert_uint_eq(h1_unsent(), 1);
	while (h1_unsent() > 0) {
		n = loop_recv(s.caller, part, sizeof(part));
		ck_assert_int_ne(n, -2);
		got += (gsize)MAX(n, 0);
		g_main_context_iteration(NULL, FALSE);
	}
	while (got < LARGE) {
		UNTIL((n = loop_recv(s.caller, part, sizeof(part))) != -1);
		ck_assert_int_gt(n, 0);
		got += (gsize)n;
	}
}
END_TEST

/* Guards against crashes and hangs on random requests. */
START_TEST(random_requests_do_not_crash)
{
	static const char *const words[] = { "GET ", "POST ", "/x ", "HTTP/1.1",
		"\r\n", "\r\n\r\n", "Host: h", "Content-Length: ", "3", "-1",
		"Transfer-Encoding: chunked", "0\r\n\r\n", "ffffffffffffffff",
		": ", "\n", "\x01", "abc", "Connection: close", "Upgrade: x",
		"Connection: upgrade" };
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	GString *text = g_string_new(NULL);
	int i, j, n;

	for (i = 0; i < FUZZ_RUNS; i++) {
		reconnect();
		g_string_assign(text, "POST /x HTTP/1.1\r\n");
		n = g_rand_int_range(rand, 1, 12);
		for (j = 0; j < n; j++)
			g_string_append(text, words[g_rand_int_range(rand, 0,
						  G_N_ELEMENTS(words))]);
		loop_send(s.caller, text->str);
		g_socket_shutdown(s.caller, FALSE, TRUE, NULL);
		UNTIL(s.closed > 0 || s.bad > 0);
		ck_assert_int_le(s.completes, 1);
	}
	g_string_free(text, TRUE);
	g_rand_free(rand);
}
END_TEST

/* ---- client side: the pool with a faulty server ---- */

static struct {
	GSocket *listener;
	GSocket *peer; /* latest connection accepted */
	struct h1_pool *pool;
	GBytes *request;
} c;

struct result {
	struct h1_call *call;
	const char *id; /* a response with another Id is stray */
	int status, heads, completes, failed;
	gboolean sent;
	enum h1_end end;
	GString *body;
};

static gboolean
got_head(void *ctx, struct h1_head *h)
{
	struct result *r = ctx;
	const char *id = h1_head_get(h, "Id");

	if (r->id != NULL && g_strcmp0(id, r->id) != 0)
		return FALSE;
	r->heads++;
	r->status = h->status;
	return TRUE;
}

static void
got_body(void *ctx, const char *p, gsize n)
{
	struct result *r = ctx;

	g_string_append_len(r->body, p, (gssize)n);
}

static void
got_complete(void *ctx)
{
	struct result *r = ctx;

	r->completes++;
}

static void
got_failure(void *ctx, enum h1_end end, gboolean sent, const char *why)
{
	struct result *r = ctx;

	r->failed++;
	r->end = end;
	r->sent = sent;
}

static const struct h1_call_ops call_ops = { got_head, got_body, got_complete,
	got_failure };

static void
call(struct result *r, const char *id)
{
	struct h1_call_opts o = {
		.request = c.request, .ops = &call_ops, .ctx = r
	};

	memset(r, 0, sizeof(*r));
	r->id = id;
	r->body = g_string_new(NULL);
	r->call = h1_call_new(c.pool, &o);
}

static void
result_clear(struct result *r)
{
	g_string_free(r->body, TRUE);
}

/* Accepts the next connection. */
static void
accept_peer(void)
{
	if (c.peer != NULL)
		loop_close(c.peer);
	UNTIL((c.peer = g_socket_accept(c.listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(c.peer, FALSE);
}

static void
read_request(void)
{
	g_free(loop_expect(c.peer, "\r\n\r\n"));
}

static void
client_setup(void)
{
	struct h1_pool_opts o = {
		.host = HOST, .connect_ms = 1000, .idle_ms = 60000
	};

	memset(&c, 0, sizeof(c));
	c.listener = rpcio_bind(G_SOCKET_TYPE_STREAM, HOST, 0, TRUE, NULL);
	o.port = rpcio_local_port(c.listener);
	c.pool = h1_pool_new(&o);
	c.request = g_bytes_new_static("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27);
}

static void
client_teardown(void)
{
	h1_pool_free(c.pool);
	g_bytes_unref(c.request);
	if (c.peer != NULL)
		loop_close(c.peer);
	g_socket_close(c.listener, NULL);
	g_object_unref(c.listener);
}

#define OK(id, body) \
	"HTTP/1.1 200 OK\r\nId: " id "\r\nContent-Length: 2\r\n\r\n" body

static struct result next_result;

static void
start_next(void *ctx)
{
	got_complete(ctx);
	call(&next_result, NULL);
}

/*
 * Guards against a new connection for each request when the next call starts
 * within the complete() of the last one, as admission does.
 */
START_TEST(connections_are_reused)
{
	const struct h1_call_ops ops = { got_head, got_body, start_next,
		got_failure };
	struct result r = { .body = g_string_new(NULL) };
	struct h1_call_opts o = {
		.request = c.request, .ops = &ops, .ctx = &r
	};

	h1_call_new(c.pool, &o);
	accept_peer();
	read_request();
	loop_send(c.peer, OK("1", "ab"));
	UNTIL(r.completes == 1);
	read_request();
	loop_send(c.peer, OK("2", "cd"));
	UNTIL(next_result.completes == 1);
	ck_assert_uint_eq(h1_pool_opened(c.pool), 1);
	ck_assert_uint_eq(h1_pool_idle(c.pool), 1);
	result_clear(&r);
	result_clear(&next_result);
}
END_TEST

/*
 * Guards against a late second response to one request that is taken for the
 * response to the next one.
 */
START_TEST(stray_responses_are_discarded)
{
	struct result r;

	call(&r, "1");
	accept_peer();
	read_request();
	loop_send(c.peer, OK("1", "ab"));
	UNTIL(r.completes == 1);
	result_clear(&r);
	call(&r, "2");
	read_request();
	/* The response to the first call is repeated. */
	loop_send(c.peer, OK("1", "ab") OK("2", "cd"));
	UNTIL(r.completes == 1);
	ck_assert_str_eq(r.body->str, "cd");
	ck_assert_int_eq(r.heads, 1);
	result_clear(&r);
}
END_TEST

/* Guards against reuse of a connection with bytes after the last response. */
START_TEST(connection_with_surplus_bytes_is_not_reused)
{
	struct result r;

	call(&r, NULL);
	accept_peer();
	read_request();
	loop_send(c.peer, OK("1", "ab") "HTTP/1.1 200 OK\r\n");
	UNTIL(r.completes == 1);
	result_clear(&r);
	call(&r, NULL);
	accept_peer();
	read_request();
	loop_send(c.peer, OK("2", "cd"));
	UNTIL(r.completes == 1);
	ck_assert_str_eq(r.body->str, "cd");
	ck_assert_uint_eq(h1_pool_opened(c.pool), 2);
	result_clear(&r);
}
END_TEST

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

/* Guards against a truncated response that is taken for a complete one. */
START_TEST(truncated_and_malformed_responses_fail)
{
	static const char *const cut[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
		CHUNKED "3\r\nabc\r\n",
		"HTTP/1.1 200 O",
		"garbage\r\n\r\n",
		CHUNKED "xx\r\n",
	};
	struct result r;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cut); i++) {
		call(&r, NULL);
		accept_peer();
		read_request();
		loop_send(c.peer, cut[i]);
		g_socket_shutdown(c.peer, FALSE, TRUE, NULL);
		UNTIL(r.failed == 1);
		ck_assert_int_eq(r.completes, 0);
		ck_assert(r.sent);
		result_clear(&r);
	}
}
END_TEST

/*
 * Guards against a response cut off at any byte that is taken for a complete
 * one.  One that ends with its connection is complete only if it is not reset.
 */
START_TEST(responses_cut_at_every_byte_fail)
{
	static const struct {
		const char *text;
		gboolean until_close;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", FALSE },
		{ CHUNKED "2\r\nab\r\n3;x=y\r\ncde\r\n0\r\nT: u\r\n\r\n",
		    FALSE },
		{ "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		    FALSE },
		{ "HTTP/1.1 200 OK\r\n\r\nabcde", TRUE },
	};
	struct result r;
	char *part;
	gsize at;
	guint i;
	int reset;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		for (at = 0; at < strlen(cases[i].text); at++)
			for (reset = cases[i].until_close; reset < 2; reset++) {
				call(&r, NULL);
				accept_peer();
				read_request();
				part = g_strndup(cases[i].text, at);
				if (at > 0)
					loop_send(c.peer, part);
				LOOP_IDLE();
				if (reset) {
					loop_reset(c.peer);
					c.peer = NULL;
				} else
					g_socket_shutdown(
					    c.peer, FALSE, TRUE, NULL);
				UNTIL(r.failed + r.completes > 0);
				ck_assert_msg(r.failed == 1 && r.sent,
				    "case %u at %u, reset %d", i, (guint)at,
				    reset);
				result_clear(&r);
				g_free(part);
			}
}
END_TEST

/*
 * Guards against responses without an end that are read for ever: in the status
 * line, a field, 1xx responses, a chunk's extension and the trailers, and
 * against a stray response that ends only with its connection.
 */
START_TEST(endless_responses_fail)
{
	static const struct {
		const char *begin, *more;
	} cases[] = {
		{ "HTTP/1.1 200 ", "OKOKOKOKOKOKOKOK" },
		{ "HTTP/1.1 200 OK\r\nA: ", "bbbbbbbbbbbbbbbb" },
		{ "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
		{ "HTTP/1.1 100 Continue\r\n\r\n",
		    "HTTP/1.1 100 Continue\r\n\r\n" },
		{ CHUNKED "1;", "cccccccccccccccc" },
		{ CHUNKED "0\r\n", "T: d\r\n" },
		{ "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "dddddddddddddddd" },
		{ "", "HTTP/1.1 200 OK\r\nId: other\r\n"
		      "Content-Length: 0\r\n\r\n" },
	};
	struct result r;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		call(&r, i < 6 ? NULL : "mine");
		accept_peer();
		read_request();
		if (cases[i].begin[0] != '\0')
			loop_send(c.peer, cases[i].begin);
		SEND_UNTIL(c.peer, cases[i].more, r.failed > 0);
		ck_assert_int_eq(r.completes, 0);
		ck_assert_int_eq(r.sent, TRUE);
		result_clear(&r);
	}
}
END_TEST

#define DAMAGE_RUNS 400

/*
 * Guards against hangs and false success: with a response truncated or changed
 * at a random place the call ends, and after truncation it fails.
 */
START_TEST(randomly_damaged_responses)
{
	static const char *const whole[] = { OK("1", "ab"),
		CHUNKED "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" };
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	struct result r;
	char *text;
	gboolean cut;
	int i;

	for (i = 0; i < DAMAGE_RUNS; i++) {
		text = g_strdup(whole[i % 2]);
		cut = i % 4 < 2;
		if (cut)
			text[g_rand_int_range(rand, 1, (gint)strlen(text))] =
			    '\0';
		else
			text[g_rand_int_range(rand, 0, (gint)strlen(text))] =
			    (char)g_rand_int_range(rand, 1, 127);
		call(&r, NULL);
		accept_peer();
		read_request();
		loop_send(c.peer, text);
		g_socket_shutdown(c.peer, FALSE, TRUE, NULL);
		UNTIL(r.completes + r.failed == 1);
		ck_assert(!cut || r.failed == 1);
		LOOP_IDLE();
		result_clear(&r);
		g_free(text);
	}
	g_rand_free(rand);
}
END_TEST

/* Guards against the loss of responses that end with the connection. */
START_TEST(responses_without_length)
{
	struct result r;

	call(&r, NULL);
	accept_peer();
	read_request();
	loop_send(c.peer, "HTTP/1.1 200 OK\r\n\r\nabc");
	UNTIL(r.body->len == 3);
	ck_assert_int_eq(r.completes, 0);
	g_socket_shutdown(c.peer, FALSE, TRUE, NULL);
	UNTIL(r.completes == 1);
	ck_assert_uint_eq(h1_pool_idle(c.pool), 0);
	result_clear(&r);

	/* A reset does not complete the response. */
	call(&r, NULL);
	accept_peer();
	read_request();
	loop_send(c.peer, "HTTP/1.1 200 OK\r\n\r\nabc");
	UNTIL(r.body->len == 3);
	loop_reset(c.peer);
	c.peer = NULL;
	UNTIL(r.failed == 1);
	ck_assert_int_eq(r.completes, 0);
	result_clear(&r);
}
END_TEST

/*
 * Guards against reporting a request as not sent that the server may have
 * read.
 */
START_TEST(only_a_refused_connection_is_reported_as_unsent)
{
	struct result r;

	call(&r, NULL);
	accept_peer();
	read_request();
	loop_reset(c.peer);
	c.peer = NULL;
	UNTIL(r.failed == 1);
	ck_assert(r.sent);
	result_clear(&r);
	g_socket_close(c.listener, NULL);
	call(&r, NULL);
	ck_assert_int_eq(r.failed, 0);
	UNTIL(r.failed == 1);
	ck_assert(!r.sent);
	ck_assert_int_eq(r.end, H1_END_REFUSED);
	result_clear(&r);
}
END_TEST

/*
 * Guards against reuse of a connection that the peer is about to close: its
 * Keep-Alive header announces an idle time of 1 s, which the margin of the pool
 * reduces to 0.
 */
START_TEST(announced_idle_time_limits_reuse)
{
	struct result r;

	call(&r, NULL);
	accept_peer();
	read_request();
	loop_send(c.peer, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
			  "Content-Length: 0\r\n\r\n");
	UNTIL(r.completes == 1);
	result_clear(&r);
	g_usleep(2000);
	call(&r, NULL);
	ck_assert_uint_eq(h1_pool_opened(c.pool), 2);
	h1_call_cancel(r.call);
	result_clear(&r);
}
END_TEST

/*
 * Guards against a call that waits for a body after HEAD, or takes an interim
 * response for the final one.
 */
START_TEST(head_and_interim_responses)
{
	struct result r = { .body = g_string_new(NULL) };
	struct h1_call_opts o = { .request = c.request,
		.bodyless = TRUE,
		.ops = &call_ops,
		.ctx = &r };

	h1_call_new(c.pool, &o);
	accept_peer();
	read_request();
	loop_send(c.peer, "HTTP/1.1 103 Early\r\nX: y\r\n\r\n"
			  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
	UNTIL(r.completes == 1);
	ck_assert_int_eq(r.heads, 1);
	ck_assert_int_eq(r.status, 200);
	ck_assert_uint_eq(h1_pool_idle(c.pool), 1);
	result_clear(&r);
}
END_TEST

/*
 * Guards against the final response taken for the body of an interim one:
 * http_parser takes a name that begins like Transfer-Encoding for it.
 */
START_TEST(interim_response_has_no_body)
{
	static const char *const final[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding-Hint: a\r\n"
		"Content-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding-Hint:\r\n"
		"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	};
	struct result r;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(final); i++) {
		call(&r, NULL);
		accept_peer();
		read_request();
		loop_send(c.peer, "HTTP/1.1 103 Early\r\n"
				  "Transfer-Encoding-Hint: a\r\n\r\n");
		LOOP_IDLE();
		loop_send(c.peer, final[i]);
		g_socket_shutdown(c.peer, FALSE, TRUE, NULL);
		UNTIL(r.completes + r.failed == 1);
		ck_assert_int_eq(r.completes, 1);
		ck_assert_int_eq(r.status, 200);
		ck_assert_str_eq(r.body->str, "ab");
		result_clear(&r);
		LOOP_IDLE();
	}
}
END_TEST

/*
 * Guards against chunk lines delivered as the body, which is then complete at
 * any end of the connection: http_parser takes "chunked", with a tab after it,
 * for another coding.
 */
START_TEST(tab_after_chunked_is_no_part_of_it)
{
	static const char head[] =
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\t\r\n\r\n";
	struct result r;

	call(&r, NULL);
	accept_peer();
	read_request();
	loop_send(c.peer, head);
	loop_send(c.peer, "2\r\nab\r\n0\r\n\r\n");
	UNTIL(r.completes + r.failed == 1);
	ck_assert_int_eq(r.completes, 1);
	ck_assert_str_eq(r.body->str, "ab");
	result_clear(&r);

	call(&r, NULL);
	read_request();
	loop_send(c.peer, head);
	loop_send(c.peer, "2\r\nab\r\n");
	g_socket_shutdown(c.peer, FALSE, TRUE, NULL);
	UNTIL(r.completes + r.failed == 1);
	ck_assert_int_eq(r.failed, 1);
	result_clear(&r);
}
END_TEST

/* ---- heads ---- */

/* Guards against forwarding of hop-by-hop fields. */
START_TEST(hop_by_hop_fields)
{
	loop_send(s.caller,
	    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-One\r\n"
	    "X-One: 1\r\nX-Two: 2\r\n\r\n");
	UNTIL(s.completes == 1);
	ck_assert(h1_hop_by_hop(s.head, "x-one"));
	ck_assert(h1_hop_by_hop(s.head, "Keep-Alive"));
	ck_assert(h1_hop_by_hop(s.head, "transfer-encoding"));
	ck_assert(!h1_hop_by_hop(s.head, "X-Two"));
	ck_assert(!s.head->keep_alive);
	ck_assert_str_eq(h1_head_get(s.head, "x-two"), "2");
	ck_assert_ptr_null(h1_head_get(s.head, "X-Three"));
}
END_TEST

/* Bytes that the process has allocated. */
static gsize
allocated(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/* Guards against copies of a body that is sent: it may be large. */
START_TEST(body_is_sent_without_a_copy)
{
	static const char head[] = "PUT / HTTP/1.1\r\nHost: h\r\n"
				   "Content-Length: 33554432\r\n\r\n";
	GBytes *body = g_bytes_new_take(g_strnfill(LARGE, 'b'), LARGE);
	struct h1_call_opts o = { .request =
				      g_bytes_new_static(head, strlen(head)),
		.body = body,
		.ops = &call_ops };
	struct result r = { .body = g_string_new(NULL) };
	char part[64 * 1024];
	gsize before, got = 0;
	gssize n;

	o.ctx = &r;
	before = allocated();
	r.call = h1_call_new(c.pool, &o);
	g_bytes_unref(body);
	accept_peer();
	while (got < strlen(head) + LARGE) {
		UNTIL((n = loop_recv(c.peer, part, sizeof(part))) != -1);
		ck_assert_int_gt(n, 0);
		got += (gsize)n;
		ck_assert_uint_lt(allocated(), before + LARGE / 4);
	}
	loop_send(c.peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	UNTIL(r.completes == 1);
	/* The allocator of the sanitizers counts nothing. */
	ck_assert(before == 0 || allocated() < before - LARGE / 2);
	g_bytes_unref(o.request);
	result_clear(&r);
}
END_TEST

/*
 * Guards against a request whose bytes arrive where the rest of a body is due,
 * after a response that came before the server had read that body.
 */
START_TEST(connection_with_an_unsent_body_is_not_reused)
{
	GBytes *body = g_bytes_new_take(g_strnfill(LARGE, 'b'), LARGE);
	struct h1_call_opts o = {
		.request = c.request, .body = body, .ops = &call_ops
	};
	struct result r = { .body = g_string_new(NULL) }, next;
	GSocket *first;

	o.ctx = &r;
	r.call = h1_call_new(c.pool, &o);
	g_bytes_unref(body);
	accept_peer();
	read_request();
	loop_send(c.peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	UNTIL(r.completes == 1);
	ck_assert_uint_eq(h1_pool_idle(c.pool), 0);
	first = c.peer;
	c.peer = NULL;
	call(&next, NULL);
	accept_peer();
	read_request();
	loop_send(c.peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	UNTIL(next.completes == 1);
	loop_close(first);
	result_clear(&r);
	result_clear(&next);
}
END_TEST

/* When the server's reset is noticed, and by which side. */
enum reset_order {
	RESET_AFTER_READ, /* the response was read before */
	RESET_BEFORE_READ, /* the response is still in the socket */
	RESET_AFTER_HALF_CLOSE, /* as before, and the server ended its side */
	RESET_WHILE_PAUSED, /* the reader resumes after the reset */
	RESET_READ_ONLY, /* the upload was complete: only reads can fail */
	RESET_LAST
};

/* Starts a call whose upload does not fit the socket buffers. */
static void
call_upload(struct result *r, gboolean large)
{
	GBytes *body =
	    large ? g_bytes_new_take(g_strnfill(LARGE, 'b'), LARGE) : NULL;
	struct h1_call_opts o = {
		.request = c.request, .body = body, .ops = &call_ops, .ctx = r
	};

	memset(r, 0, sizeof(*r));
	r->body = g_string_new(NULL);
	r->call = h1_call_new(c.pool, &o);
	if (body != NULL)
		g_bytes_unref(body);
	accept_peer();
	read_request();
}

/* Sends a response in two parts, then resets the connection. */
static void
respond_and_reset(struct result *r, const char *head, const char *body,
    enum reset_order order)
{
	loop_send(c.peer, head);
	if (order == RESET_WHILE_PAUSED) {
		UNTIL(r->heads == 1);
		h1_call_pause(r->call, TRUE);
	}
	loop_send(c.peer, body);
	if (order == RESET_AFTER_READ || order == RESET_READ_ONLY)
		LOOP_IDLE();
	if (order == RESET_AFTER_HALF_CLOSE)
		g_socket_shutdown(c.peer, FALSE, TRUE, NULL);
	loop_reset(c.peer);
	c.peer = NULL;
	if (order == RESET_WHILE_PAUSED) {
		LOOP_IDLE();
		ck_assert_int_eq(r->failed + r->completes, 0);
		h1_call_pause(r->call, FALSE);
	}
	UNTIL(r->failed + r->completes > 0);
	LOOP_IDLE();
}

/*
 * Guards against a part of a body that the caller gets as a complete response:
 * the server resets the connection while the upload is being written, and the
 * failed write takes the error of the socket, so that a read returns an end of
 * file.
 */
START_TEST(partial_body_before_a_reset_is_not_complete)
{
	static const struct {
		const char *head, *body;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\n\r\n", "part" },
		{ "HTTP/1.0 200 OK\r\n\r\n", "part" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "part" },
		{ CHUNKED, "4\r\npart\r\n" },
		{ CHUNKED, "4\r\npart\r\n0\r\n" },
	};
	struct result r;
	guint i, order;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		for (order = 0; order < RESET_LAST; order++) {
			call_upload(&r, order != RESET_READ_ONLY);
			respond_and_reset(
			    &r, cases[i].head, cases[i].body, order);
			ck_assert_msg(r.failed == 1 && r.completes == 0,
			    "case %u, order %u: complete with \"%s\"", i, order,
			    r.body->str);
			ck_assert(r.sent);
			result_clear(&r);
		}
}
END_TEST

/* Size of a response that several reads deliver; the socket holds it. */
#define SOME (40 * 1024)

/*
 * Guards against a failure for a caller whose response was complete before the
 * upload ended, and against reuse of that connection.
 */
START_TEST(complete_response_before_a_reset_is_delivered)
{
	char *body = g_strnfill(SOME, 'b');
	char *head = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", SOME);
	char *chunk = g_strdup_printf("%x\r\n%s\r\n0\r\n\r\n", SOME, body);
	struct result r;
	guint order;
	int chunked;

	for (order = 0; order < RESET_LAST; order++)
		for (chunked = 0; chunked < 2; chunked++) {
			call_upload(&r, order != RESET_READ_ONLY);
			respond_and_reset(&r, chunked ? CHUNKED : head,
			    chunked ? chunk : body, order);
			ck_assert_msg(r.completes == 1 && r.failed == 0,
			    "order %u, chunked %d: failed", order, chunked);
			ck_assert_uint_eq(r.body->len, SOME);
			ck_assert_uint_eq(h1_pool_idle(c.pool), 0);
			result_clear(&r);
		}
	g_free(chunk);
	g_free(head);
	g_free(body);
}
END_TEST

#define END_RUNS 400
/* Longest body of these responses. */
#define END_BODY 3000

/* How a response is delimited, and how the server ends the connection. */
enum framing {
	UNTIL_CLOSE,
	BY_LENGTH,
	BY_CHUNKS,
	FRAMINGS
};
enum ending {
	CLOSE,
	RESET,
	HALF_CLOSE_AND_RESET,
	ENDINGS
};

/* A response with this body, in chunks of any size if it is chunked. */
static GString *
framed(GRand *rand, enum framing framing, const char *body)
{
	GString *text = g_string_new("HTTP/1.1 200 OK\r\n");
	gsize len = strlen(body), at, n;

	if (framing == BY_LENGTH)
		g_string_append_printf(
		    text, "Content-Length: %u\r\n", (guint)len);
	if (framing == BY_CHUNKS)
		g_string_append(text, "Transfer-Encoding: chunked\r\n");
	g_string_append(text, "\r\n");
	if (framing != BY_CHUNKS) {
		g_string_append(text, body);
		return text;
	}
	for (at = 0; at < len; at += n) {
		n = (gsize)g_rand_int_range(rand, 1, (gint32)(len - at) + 1);
		g_string_append_printf(
		    text, "%x\r\n%.*s\r\n", (guint)n, (int)n, body + at);
	}
	g_string_append(text, "0\r\n\r\n");
	return text;
}

/* Sends a text in pieces of any size; the loop runs between some of them. */
static void
send_pieces(GRand *rand, struct result *r, const char *text)
{
	gsize left = strlen(text), n;

	while (left > 0 && r->completes + r->failed == 0) {
		n = (gsize)g_rand_int_range(rand, 1, (gint32)left + 1);
		ck_assert_int_eq(
		    g_socket_send(c.peer, text, n, NULL, NULL), (gssize)n);
		text += n;
		left -= n;
		if (g_rand_boolean(rand))
			LOOP_IDLE();
		if (r->heads == 1 && r->completes == 0 &&
		    g_rand_int_range(rand, 0, 4) == 0)
			h1_call_pause(r->call, TRUE);
	}
}

/* Waits until the kernel has sent all: a reset discards the rest. */
static void
wait_sent(void)
{
	int unsent = -1;

	UNTIL(ioctl(g_socket_get_fd(c.peer), SIOCOUTQNSD, &unsent) == 0 &&
	      unsent == 0);
}

static void
end_connection(enum ending ending)
{
	if (ending == CLOSE) {
		g_socket_shutdown(c.peer, FALSE, TRUE, NULL);
		return;
	}
	wait_sent();
	if (ending == HALF_CLOSE_AND_RESET)
		g_socket_shutdown(c.peer, FALSE, TRUE, NULL);
	loop_reset(c.peer);
	c.peer = NULL;
}

/*
 * Guards against a part of a response that is delivered as a complete one, and
 * against a complete one that is lost, in whatever order the pieces of it, the
 * upload and the end of the connection meet.
 */
START_TEST(response_is_complete_or_fails_however_it_ends)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	char *all = g_strnfill(END_BODY, 'b'), *body;
	enum framing framing;
	enum ending ending;
	struct result r;
	gboolean upload, cut;
	GString *text;
	int i;

	for (i = 0; i < END_RUNS; i++) {
		framing = (enum framing)g_rand_int_range(rand, 0, FRAMINGS);
		ending = (enum ending)g_rand_int_range(rand, 0, ENDINGS);
		upload = i % 8 == 0;
		cut = g_rand_boolean(rand);
		body =
		    g_strndup(all, (gsize)g_rand_int_range(rand, 1, END_BODY));
		text = framed(rand, framing, body);
		if (cut)
			g_string_truncate(text,
			    (gsize)g_rand_int_range(rand, 1, (gint)text->len));
		call_upload(&r, upload);
		g_socket_set_option(c.peer, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
		send_pieces(rand, &r, text->str);
		end_connection(ending);
		if (r.completes + r.failed == 0)
			h1_call_pause(r.call, FALSE);
		UNTIL(r.completes + r.failed == 1);
		if (framing != UNTIL_CLOSE)
			ck_assert_msg(r.completes == !cut,
			    "run %d: framing %d, ending %d, upload %d, cut %d",
			    i, framing, ending, upload, cut);
		else if (ending == RESET)
			ck_assert_int_eq(r.completes, 0);
		else if (ending == CLOSE && !cut)
			ck_assert_int_eq(r.completes, 1);
		if (r.completes == 1 && !cut)
			ck_assert_str_eq(r.body->str, body);
		LOOP_IDLE();
		result_clear(&r);
		g_string_free(text, TRUE);
		g_free(body);
	}
	g_free(all);
	g_rand_free(rand);
}
END_TEST

/* ---- invalid responses ---- */

static int fetched, fetch_code;

static void
on_fetched(void *ctx, const struct h1_head *h, const GByteArray *body,
    const GError *err)
{
	fetched++;
	fetch_code = err != NULL ? err->code : -1;
}

/*
 * A call and a fetch get the response in one piece and byte by byte.  Both must
 * fail as "may have run"; without the head if that is invalid.
 */
static void
expect_invalid(const char *text, gsize len, gboolean in_head)
{
	struct result r;
	gsize i;
	int way;

	for (way = 0; way < 3; way++) {
		fetched = fetch_code = 0;
		if (way == 2)
			h1_fetch_new(
			    c.pool, c.request, 60000, 4096, on_fetched, NULL);
		else
			call(&r, NULL);
		accept_peer();
		read_request();
		for (i = 0; way == 1 && i < len - 1 && r.failed == 0; i++) {
			g_socket_send(c.peer, text + i, 1, NULL, NULL);
			LOOP_IDLE();
		}
		g_socket_send(c.peer, text + (way == 1 ? i : 0),
		    way == 1 ? 1 : len, NULL, NULL);
		g_socket_shutdown(c.peer, FALSE, TRUE, NULL);
		if (way == 2) {
			UNTIL(fetched == 1);
			ck_assert_msg(fetch_code == PT_ERROR_UNKNOWN,
			    "fetched: %s", text);
			continue;
		}
		UNTIL(r.failed + r.completes > 0);
		ck_assert_msg(r.failed == 1 && r.sent, "complete: %s", text);
		ck_assert_msg(r.end == H1_END_BAD, "end %d: %s", r.end, text);
		ck_assert_msg(!in_head || r.heads == 0, "head: %s", text);
		ck_assert_uint_eq(h1_pool_idle(c.pool), 0);
		result_clear(&r);
	}
}

#define EMPTY "Content-Length: 0\r\n\r\n"

/*
 * Guards against a status that is none, such as 000, and against 1xx responses
 * that are not allowed: both reached callers, or hid the response after them.
 */
START_TEST(invalid_status_is_no_response)
{
	static const char *const cases[] = {
		"HTTP/1.1 000 No\r\n" EMPTY,
		"HTTP/1.1 099 No\r\n" EMPTY,
		"HTTP/1.1 600 No\r\n" EMPTY,
		"HTTP/1.1 999 No\r\n" EMPTY,
		"HTTP/1.1 20 No\r\n" EMPTY,
		"HTTP/1.1 2\r\n" EMPTY,
		"HTTP/1.1 0200 No\r\n" EMPTY,
		"HTTP/1.1 2000 No\r\n" EMPTY,
		"HTTP/1.1  200 No\r\n" EMPTY,
		"HTTP/1.1 200a\r\n" EMPTY,
		"HTTP/1.1 -20 No\r\n" EMPTY,
		"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n"
		"Connection: upgrade\r\n\r\n",
		"HTTP/1.0 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" EMPTY,
		"HTTP/1.1 103 Early\r\nContent-Length: 38\r\n\r\n"
		"HTTP/1.1 200 OK\r\n" EMPTY "HTTP/1.1 200 OK\r\n" EMPTY,
		"HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\n\r\nHTTP/1.1 200 OK\r\n" EMPTY,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 No\r\n" EMPTY,
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		expect_invalid(cases[i], strlen(cases[i]), TRUE);
}
END_TEST

#define LINES(text) "HTTP/1.1 200 OK\r\n" text "\r\n" EMPTY
/* The text of a response and its length, which may have NUL bytes. */
#define BYTES(text)                    \
	{                              \
		text, sizeof(text) - 1 \
	}

struct bytes {
	const char *text;
	gsize len;
};

/*
 * Guards against field lines that other parsers read differently, or that are
 * passed on: blanks and control bytes in names, control bytes, NUL and a bare
 * CR in values, no colon, an empty name, and folded lines.
 */
START_TEST(invalid_field_line_is_no_response)
{
	static const struct bytes cases[] = {
		BYTES(LINES("A B: c")),
		BYTES(LINES("A : b")),
		BYTES(LINES("A\t: b")),
		BYTES(LINES("A\001B: c")),
		BYTES(LINES("A\177: c")),
		BYTES(LINES("\001A: c")),
		BYTES(LINES("A\0B: c")),
		BYTES(LINES("A\"B: c")),
		BYTES(LINES("A\200: c")),
		BYTES(LINES("Content-Length : 5")),
		BYTES(LINES("Content-Length\t: 5")),
		BYTES(LINES(" A: b")),
		BYTES(LINES("A: b\r\n c")),
		BYTES(LINES("A: b\r\n\tc: d")),
		BYTES(LINES("A:\r\n b")),
		BYTES(LINES("A: \001b")),
		BYTES(LINES("A: b\001")),
		BYTES(LINES("A: \177")),
		BYTES(LINES("A: b\0c")),
		BYTES(LINES("A: \0")),
		BYTES(LINES("A: \rb")),
		BYTES(LINES("A: b\rc: d")),
		BYTES(LINES("A:\rB: c")),
		BYTES(LINES("A: b\r")),
		BYTES(LINES("A")),
		BYTES(LINES("Content-Length 5")),
		BYTES(LINES(": b")),
		BYTES(LINES(":")),
		BYTES("HTTP/1.1 200 OK\001\r\n" EMPTY),
		BYTES("HTTP/1.1 200 O\rK\r\n" EMPTY),
		BYTES("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\rX"),
		BYTES("HTTP/1.1 103 Early\r\nA B: c\r\n\r\n"
		      "HTTP/1.1 200 OK\r\n" EMPTY),
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		expect_invalid(cases[i].text, cases[i].len, TRUE);
}
END_TEST

/*
 * Guards against trailers that are not read by the rules of the head, and
 * against chunk lines that other parsers read differently.  The caller has part
 * of the body by then, and must not get its end.
 */
START_TEST(invalid_trailer_or_chunk_is_no_end)
{
	static const struct bytes cases[] = {
		BYTES(CHUNKED "2\r\nab\r\n0\r\nA B: c\r\n\r\n"),
		BYTES(CHUNKED "2\r\nab\r\n0\r\nA\r\n\r\n"),
		BYTES(CHUNKED "2\r\nab\r\n0\r\n: b\r\n\r\n"),
		BYTES(CHUNKED "2\r\nab\r\n0\r\nA: b\r\n c\r\n\r\n"),
		BYTES(CHUNKED "2\r\nab\r\n0\r\nA: \001\r\n\r\n"),
		BYTES(CHUNKED "2\r\nab\r\n0\r\nA: b\0\r\n\r\n"),
		BYTES(CHUNKED "2\r\nab\r\n0\r\nA: \rb\r\n\r\n"),
		BYTES(CHUNKED "2\r\nab\r\n0\r\n\rX"),
		BYTES(CHUNKED "2\r\nabXX0\r\n\r\n"),
		BYTES(CHUNKED "2\r\nab\rX0\r\n\r\n"),
		BYTES(CHUNKED "2\rXab\r\n0\r\n\r\n"),
		BYTES(CHUNKED "2;a\nb\r\nab\r\n0\r\n\r\n"),
		BYTES(CHUNKED "2;\001\r\nab\r\n0\r\n\r\n"),
		BYTES(CHUNKED "fffffffffffffffff\r\nab\r\n0\r\n\r\n"),
		BYTES(CHUNKED " 2\r\nab\r\n0\r\n\r\n"),
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		expect_invalid(cases[i].text, cases[i].len, FALSE);
}
END_TEST

/* Guards against a length that is read as none: the body would be a wrong one.
 */
START_TEST(invalid_length_is_no_response)
{
	static const char *const cases[] = {
		"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nab",
		"HTTP/1.1 200 OK\r\n"
		"Content-Length: 9223372036854775808\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		expect_invalid(cases[i], strlen(cases[i]), TRUE);
}
END_TEST

/*
 * Guards against a wait for a body after 204 and 304, which have none whatever
 * their Content-Length says.
 */
START_TEST(status_without_content_ends_with_its_head)
{
	static const char *const cases[] = {
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
	};
	struct result r;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		call(&r, NULL);
		if (i == 0)
			accept_peer();
		read_request();
		loop_send(c.peer, cases[i]);
		UNTIL(r.completes == 1);
		ck_assert_uint_eq(r.body->len, 0);
		result_clear(&r);
	}
}
END_TEST

static GPtrArray *lines; /* fields of the events "response-fault" */

static void
note_line(void *ctx, enum pt_level level, const char *name, const char *fields)
{
	if (strcmp(name, "response-fault") == 0)
		g_ptr_array_add(lines, g_strdup(fields));
}

/* Makes a call that gets this response and no more. */
static void
respond_badly(const char *text, gboolean reset)
{
	struct result r;

	call(&r, NULL);
	accept_peer();
	read_request();
	if (*text != '\0')
		loop_send(c.peer, text);
	LOOP_IDLE();
	if (reset) {
		loop_reset(c.peer);
		c.peer = NULL;
	} else
		g_socket_shutdown(c.peer, FALSE, TRUE, NULL);
	UNTIL(r.failed == 1);
	result_clear(&r);
}

/* Most faults until one is not logged. */
#define FAULTS_MAX 200

/*
 * Guards against faults of responses that operators cannot tell apart or trace
 * to an upstream, and against a line for each of a flood of them.
 */
START_TEST(faults_are_counted_and_logged)
{
	static const struct {
		const char *text;
		gboolean reset;
		enum h1_fault fault;
	} cases[] = {
		{ "", FALSE, H1_FAULT_CLOSED },
		{ "", TRUE, H1_FAULT_RESET },
		{ CHUNKED "1\r\na", TRUE, H1_FAULT_RESET },
		{ CHUNKED "1\r\na", FALSE, H1_FAULT_TRUNCATED },
		{ "HTTP/1.1 000 No\r\n", FALSE, H1_FAULT_STATUS },
		{ "HTTP/1.1 101 No\r\n\r\n", FALSE, H1_FAULT_INTERIM },
		{ LINES("A B: c"), FALSE, H1_FAULT_NAME },
		{ LINES("A: \001"), FALSE, H1_FAULT_VALUE },
		{ LINES("A"), FALSE, H1_FAULT_COLON },
		{ LINES("A: b\r\n c"), FALSE, H1_FAULT_FOLD },
		{ CHUNKED "x\r\n", FALSE, H1_FAULT_CHUNK },
		{ LINES("Content-Length: x"), FALSE, H1_FAULT_LENGTH },
		{ "garbage\r\n", FALSE, H1_FAULT_SYNTAX },
	};
	struct pt_events events = { .event = note_line };
	char *upstream = g_strdup_printf(
		 "upstream=" HOST ":%u conn=", rpcio_local_port(c.listener)),
	     *fault;
	guint i, before;

	lines = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		h1_faults_log(&events);
		respond_badly(cases[i].text, cases[i].reset);
		ck_assert_msg(h1_faults(cases[i].fault) == 1, "case %u", i);
		ck_assert_uint_eq(lines->len, i + 1);
		fault = g_strdup_printf(
		    " fault=%s ", h1_fault_name(cases[i].fault));
		ck_assert_ptr_nonnull(strstr(lines->pdata[i], upstream));
		ck_assert_ptr_null(strstr(lines->pdata[i], "conn=0"));
		ck_assert_msg(strstr(lines->pdata[i], fault) != NULL, "%s",
		    (char *)lines->pdata[i]);
		g_free(fault);
	}
	h1_faults_log(&events);
	for (i = 0, before = 0; lines->len != before; i++) {
		ck_assert_uint_lt(i, FAULTS_MAX);
		before = lines->len;
		respond_badly("", FALSE);
	}
	ck_assert_uint_eq(h1_faults(H1_FAULT_CLOSED), i);
	h1_faults_log(NULL);
	g_ptr_array_unref(lines);
	g_free(upstream);
}
END_TEST

/*
 * Guards against a process that ends because it has no descriptor left for a
 * call.
 */
START_TEST(call_without_descriptors_fails)
{
	struct rlimit former, none;
	struct result r;
	int fd;

	/* The loop opens descriptors of its own in its first turns. */
	LOOP_IDLE();
	fd = dup(0);
	ck_assert_int_ge(fd, 0);
	close(fd);
	getrlimit(RLIMIT_NOFILE, &former);
	none = former;
	none.rlim_cur = (rlim_t)fd;
	setrlimit(RLIMIT_NOFILE, &none);
	call(&r, NULL);
	UNTIL(r.failed == 1);
	ck_assert(!r.sent);
	result_clear(&r);
	setrlimit(RLIMIT_NOFILE, &former);
	call(&r, NULL);
	accept_peer();
	read_request();
	loop_send(c.peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	UNTIL(r.completes == 1);
	result_clear(&r);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("h1");
	TCase *server = tcase_create("server"),
	      *client = tcase_create("client");

	tcase_add_checked_fixture(server, server_setup, server_teardown);
	tcase_add_test(server, malformed_requests_are_rejected);
	tcase_add_test(server, divided_malformed_requests_are_rejected);
	tcase_add_test(server, divided_requests_are_read);
	tcase_add_test(server, trailers_are_not_fields_of_the_head);
	tcase_add_test(server, endless_requests_are_rejected);
	tcase_add_test(server, oversized_requests_are_rejected);
	tcase_add_test(server, chunked_body_is_decoded);
	tcase_add_test(server, longer_name_is_no_transfer_encoding);
	tcase_add_test(server, requests_are_read_one_at_a_time);
	tcase_add_test(server, close_is_reported_while_response_is_pending);
	tcase_add_test(server, request_of_closed_connection_is_not_read);
	tcase_add_test(server, finish_delivers_the_response);
	tcase_add_test(server, response_is_unsent_until_it_is_written);
	tcase_add_test(server, random_requests_do_not_crash);
	tcase_add_test(server, hop_by_hop_fields);
	suite_add_tcase(suite, server);
	tcase_add_checked_fixture(client, client_setup, client_teardown);
	tcase_add_test(client, connections_are_reused);
	tcase_add_test(client, stray_responses_are_discarded);
	tcase_add_test(client, connection_with_surplus_bytes_is_not_reused);
	tcase_add_test(client, truncated_and_malformed_responses_fail);
	tcase_add_test(client, responses_cut_at_every_byte_fail);
	tcase_add_test(client, endless_responses_fail);
	tcase_add_test(client, randomly_damaged_responses);
	tcase_add_test(client, responses_without_length);
	tcase_add_test(client, only_a_refused_connection_is_reported_as_unsent);
	tcase_add_test(client, announced_idle_time_limits_reuse);
	tcase_add_test(client, head_and_interim_responses);
	tcase_add_test(client, interim_response_has_no_body);
	tcase_add_test(client, tab_after_chunked_is_no_part_of_it);
	tcase_add_test(client, call_without_descriptors_fails);
	tcase_add_test(client, response_is_complete_or_fails_however_it_ends);
	tcase_add_test(client, body_is_sent_without_a_copy);
	tcase_add_test(client, connection_with_an_unsent_body_is_not_reused);
	tcase_add_test(client, partial_body_before_a_reset_is_not_complete);
	tcase_add_test(client, complete_response_before_a_reset_is_delivered);
	tcase_add_test(client, invalid_status_is_no_response);
	tcase_add_test(client, invalid_field_line_is_no_response);
	tcase_add_test(client, invalid_trailer_or_chunk_is_no_end);
	tcase_add_test(client, invalid_length_is_no_response);
	tcase_add_test(client, status_without_content_ends_with_its_head);
	tcase_add_test(client, faults_are_counted_and_logged);
	suite_add_tcase(suite, client);
	return suite_run(suite);
}
