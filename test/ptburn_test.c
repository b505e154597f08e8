/* What ptburn takes for the metrics of a node. */
#include <gio/gio.h>
#include <check.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"
#include "burn.h"
#include "ptburn.h"
#include "loop.h"
#include "run.h"

#define HOST "127.0.0.1"
#define TIMEOUT_MS 60000

/* A node that sends a text in response to anything. */
static struct {
	struct rpcio_listener *listener;
	const char *text;
	gboolean reset; /* in place of an orderly end */
} node;

static gboolean
on_request(GSocket *s, GIOCondition cond, gpointer arg)
{
	char buf[4096];

	if (loop_recv(s, buf, sizeof(buf)) <= 0)
		return G_SOURCE_REMOVE;
	loop_send(s, node.text);
	if (node.reset)
		loop_reset(g_object_ref(s));
	else
		g_socket_shutdown(s, FALSE, TRUE, NULL);
	return !node.reset;
}

static void
on_accept(void *ctx, GSocket *s)
{
	GSource *rd = g_socket_create_source(s, G_IO_IN, NULL);

	g_source_set_callback(rd, G_SOURCE_FUNC(on_request), NULL, NULL);
	g_source_attach(rd, NULL);
	g_source_unref(rd);
	/* The source has a reference. */
	g_object_unref(s);
}

static void
setup(void)
{
	node.reset = FALSE;
	node.listener =
	    rpcio_listen(HOST, 0, FALSE, on_accept, NULL, NULL, NULL);
	ck_assert_ptr_nonnull(node.listener);
}

static void
teardown(void)
{
	rpcio_listen_free(node.listener);
	LOOP_IDLE();
}

/* Result of a node that sends this text; clear it with fetch_clear(). */
static struct fetch_result
fetch(const char *text)
{
	char *address =
	    g_strdup_printf(HOST ":%u", rpcio_listen_local_port(node.listener));
	struct fetch_result r = { .node = address };

	node.text = text;
	fetch_all(&r, 1, TIMEOUT_MS);
	r.node = NULL;
	g_free(address);
	return r;
}

START_TEST(whole_responses_are_taken)
{
	static const char *const good[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\na 1\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"4\r\na 1\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\na 1\n",
	};
	struct fetch_result r = fetch(good[_i]);

	ck_assert_str_eq(r.text, "a 1\n");
	ck_assert_ptr_null(r.error);
	fetch_clear(&r, 1);
}
END_TEST

/* Guards against a report of counters that no node has sent. */
START_TEST(invalid_or_partial_responses_are_missing_samples)
{
	static const char *const bad[] = {
		"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 4\r\n\r\na 1\n",
		"HTTP/1.1 200 OK\r\nA: \001\r\nContent-Length: 4\r\n\r\na 1\n",
		"HTTP/1.1 200 OK\r\nA\r\nContent-Length: 4\r\n\r\na 1\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\na 1\n",
		"HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\na 1\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na 1\n",
		"HTTP/1.1 200\r\nTransfer-Encoding:chunked\r\n\r\n1\r\naXX0",
		"HTTP/1.1 404 No\r\nContent-Length: 4\r\n\r\na 1\n",
	};
	struct fetch_result r = fetch(bad[_i]);

	ck_assert_msg(r.text == NULL, "taken: %s", bad[_i]);
	ck_assert_ptr_nonnull(r.error);
	fetch_clear(&r, 1);
}
END_TEST

/* Guards against part of the counters, taken for all of them. */
START_TEST(response_before_a_reset_is_a_missing_sample)
{
	struct fetch_result r;

	node.reset = TRUE;
	r = fetch("HTTP/1.1 200 OK\r\n\r\na 1\n");
	ck_assert_ptr_null(r.text);
	ck_assert_ptr_nonnull(r.error);
	fetch_clear(&r, 1);
}
END_TEST

START_TEST(address_that_is_none_is_named)
{
	struct fetch_result r[2] = { { .node = "127.0.0.1" },
		{ .node = "127.0.0.1:99999" } };

	fetch_all(r, 2, TIMEOUT_MS);
	ck_assert_ptr_nonnull(strstr(r[0].error, "HOST:PORT"));
	ck_assert_ptr_nonnull(strstr(r[1].error, "HOST:PORT"));
	fetch_clear(r, 2);
}
END_TEST

/* Guards against nodes beyond the limit of connections that are not asked. */
START_TEST(all_nodes_are_asked)
{
	enum {
		NODES = 600
	};
	char *address =
	    g_strdup_printf(HOST ":%u", rpcio_listen_local_port(node.listener));
	struct fetch_result *r = g_new0(struct fetch_result, NODES);
	int i;

	node.text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\na 1\n";
	for (i = 0; i < NODES; i++)
		r[i].node = address;
	fetch_all(r, NODES, TIMEOUT_MS);
	for (i = 0; i < NODES; i++)
		ck_assert_str_eq(r[i].text, "a 1\n");
	fetch_clear(r, NODES);
	g_free(r);
	g_free(address);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("ptburn");
	TCase *c = tcase_create("fetch");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_loop_test(c, whole_responses_are_taken, 0, 3);
	tcase_add_loop_test(
	    c, invalid_or_partial_responses_are_missing_samples, 0, 8);
	tcase_add_test(c, response_before_a_reset_is_a_missing_sample);
	tcase_add_test(c, address_that_is_none_is_named);
	tcase_add_test(c, all_nodes_are_asked);
	suite_add_tcase(s, c);
	return suite_run(s);
}
