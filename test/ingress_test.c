/*
 * Requests of callers and of other nodes that take memory or time, at the ports
 * of ptproxy.
 */
#include <gio/gio.h>
#include <check.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "memb.h"
#include "call.h"
#include "platform.h"
#include "proxy.h"
#include "loop.h"
#include "run.h"

#define HOST "127.0.0.1"
/* Memory of the process; bodies may take a quarter of it. */
#define MEMORY (64 * 1024)
#define BODY 7000
/* Limits of the configuration, in us. */
#define HEAD_TIME (300 * G_TIME_SPAN_MILLISECOND)

static struct plat_settings set;
static struct proxy p;

static struct rtab *
table_new(void)
{
	struct rtab_service svc = { .name = (char *)(guintptr) "svc",
		.health_path = (char *)(guintptr) "/well" };
	struct rtab_limits l = { .head_time = HEAD_TIME };
	struct rtab *t = rtab_new(1);

	rtab_add_service(t, &svc);
	rtab_set_limits(t, &l);
	ck_assert(rtab_build(t, NULL));
	return t;
}

static void
setup(void)
{
	struct reg_opts ro = { .clock = sys_clock,
		.address = "",
		.service = "svc",
		.heartbeat = G_TIME_SPAN_MINUTE };

	memset(&set, 0, sizeof(set));
	memset(&p, 0, sizeof(p));
	set.instance = (char *)(guintptr) "self";
	set.service = (char *)(guintptr) "svc";
	set.memory = MEMORY;
	set.outbound.host = set.peer.host = (char *)(guintptr)HOST;
	p.clock = sys_clock;
	p.set = &set;
	p.reg = reg_new(&ro);
	p.stats = stats_new();
	p.budget = budget_new();
	p.backend = backend_new(&p);
	p.rtab = table_new();
	p.inbound = inbound_new(&p, NULL);
	ck_assert_ptr_nonnull(p.inbound);
	p.ingress = ingress_new(&p, NULL);
	ck_assert_ptr_nonnull(p.ingress);
}

static void
teardown(void)
{
	ingress_free(p.ingress);
	inbound_free(p.inbound);
	backend_free(p.backend);
	rtab_unref(p.rtab);
	reg_free(p.reg);
	stats_free(p.stats);
	budget_free(p.budget);
}

/* Sends a head and all but the last byte of its body. */
static GSocket *
begin(guint port, const char *field)
{
	GSocket *s = loop_connect(HOST, port);
	char *body = g_strnfill(BODY - 1, 'b');
	char *text = g_strdup_printf(
	    "POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s",
	    field, BODY, body);

	loop_send(s, text);
	g_free(text);
	g_free(body);
	return s;
}

static guint
port_of(int i)
{
	return i == 0 ? ingress_port(p.ingress) : inbound_port(p.inbound);
}

/*
 * Guards against memory that grows with the number of connections: the bodies
 * of all requests together are bounded, and one beyond that is refused as not
 * run, with a time to come back.  Memory is free again once the others end.
 */
START_TEST(bodies_are_bounded_together)
{
	GSocket *s[2], *third;
	char *got;
	int i;

	for (i = 0; i < 2; i++)
		s[i] = begin(port_of(_i), "");
	UNTIL(p.body_bytes == 2 * (BODY - 1));
	third = begin(port_of(_i), "");
	LOOP_IDLE();
	ck_assert_uint_le(p.body_bytes, MEMORY / 4);
	if (_i == 1)
		loop_send(third, "b");
	got = loop_expect(third, "\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(got, "503 "));
	ck_assert_ptr_nonnull(
	    strstr(got, _i == 0 ? "Retry-After" : "body-memory"));
	g_free(got);
	loop_close(third);
	for (i = 0; i < 2; i++)
		loop_close(s[i]);
	UNTIL(p.body_bytes == 0);
	/* The next one is read whole. */
	third = begin(port_of(_i), "");
	UNTIL(p.body_bytes == BODY - 1);
	loop_close(third);
	UNTIL(p.body_bytes == 0);
}
END_TEST

/*
 * Guards against a body without an end from another node: at most a quarter of
 * the memory is held, and other connections are served meanwhile.
 */
START_TEST(endless_body_leaves_others_served)
{
	GSocket *s = loop_connect(HOST, port_of(_i)), *other;
	char *got;
	int i;

	loop_send(s, "POST / HTTP/1.1\r\nHost: h\r\n"
		     "Transfer-Encoding: chunked\r\n\r\n");
	for (i = 0; i < 20000; i++) {
		g_socket_send(s, "8\r\nbbbbbbbb\r\n", 13, NULL, NULL);
		g_main_context_iteration(NULL, FALSE);
		ck_assert_uint_le(p.body_bytes, MEMORY / 4);
	}
	other = loop_connect(HOST, port_of(_i));
	loop_send(other, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	got = loop_expect(other, "\r\n\r\n");
	ck_assert(strstr(got, _i == 0 ? "404 " : "503 ") != NULL);
	g_free(got);
	loop_close(other);
	loop_close(s);
	UNTIL(p.body_bytes == 0);
}
END_TEST

/*
 * Guards against a head that arrives a byte at a time and never ends: each byte
 * used to restart its time-out.
 */
START_TEST(slow_heads_time_out)
{
	GSocket *s = loop_connect(HOST, port_of(0));
	GString *got = g_string_new(NULL);
	char buf[256];
	gssize n;
	int i;

	loop_send(s, "GET / HTTP/1.1\r\nHost: h\r\nA: ");
	/* Bytes arrive about every 50 ms for up to 40 s. */
	for (i = 0; i < 800 && strstr(got->str, "\r\n\r\n") == NULL; i++) {
		g_socket_send(s, "b", 1, NULL, NULL);
		g_usleep(50 * 1000);
		LOOP_IDLE();
		n = loop_recv(s, buf, sizeof(buf));
		if (n > 0)
			g_string_append_len(got, buf, n);
	}
	ck_assert_ptr_nonnull(strstr(got->str, "408 "));
	g_string_free(got, TRUE);
	loop_close(s);
}
END_TEST

#define CALLERS 100

/*
 * Guards against requests that are cut off without an answer as the process
 * stops: on connections that wait to be accepted, and on kept ones whose next
 * request has arrived and was not read yet.
 */
START_TEST(requests_that_arrived_are_answered)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
	GSocket *s[CALLERS];
	int i;

	for (i = 0; i < CALLERS; i++) {
		s[i] = loop_connect(HOST, port_of(0));
		if (i % 2 == 0)
			continue;
		loop_send(s[i], text);
		g_free(loop_expect(s[i], "\r\n\r\n"));
	}
	p.stopping = TRUE;
	for (i = 0; i < CALLERS; i++)
		loop_send(s[i], text);
	ingress_close_listener(p.ingress);
	ingress_close_idle(p.ingress);
	for (i = 0; i < CALLERS; i++) {
		g_free(loop_expect(s[i], "\r\n\r\n"));
		loop_close(s[i]);
	}
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("ingress");
	TCase *t = tcase_create("bounds");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_loop_test(t, bodies_are_bounded_together, 0, 2);
	tcase_add_loop_test(t, endless_body_leaves_others_served, 0, 2);
	tcase_add_test(t, slow_heads_time_out);
	tcase_add_test(t, requests_that_arrived_are_answered);
	suite_add_tcase(suite, t);
	return suite_run(suite);
}
