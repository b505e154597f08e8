/*
 * Requests of callers and of other nodes that take memory or time, at the ports
 * of ptproxy.
 */
#include <gio/gio.h>
#include <check.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "memb.h"
#include "call.h"
#include "limit.h"
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
	p.heard = reg_table_new(&p.clock);
	p.statements = statements_new(&p);
	p.quarantine = quarantine_new(&p);
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
	statements_free(p.statements);
	backend_free(p.backend);
	quarantine_free(p.quarantine);
	reg_table_free(p.heard);
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

static void
ignore_head(void *ctx, struct h1_head *h)
{
}

static void
ignore_closed(void *ctx, enum h1_end end, const char *why)
{
}

static const struct h1_ops ignore_ops = { .head = ignore_head,
	.closed = ignore_closed };

static int
status_of_request(void)
{
	GSocket *s = loop_connect(HOST, ingress_port(p.ingress));
	char *got;
	int status;

	loop_send(s, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	got = loop_expect(s, "\r\n\r\n");
	status = atoi(strchr(got, ' '));
	if (status == 503)
		ck_assert_ptr_nonnull(strstr(got, "Retry-After"));
	g_free(got);
	loop_close(s);
	return status;
}

/*
 * Guards against responses which callers do not read and that take all the
 * memory: beyond a quarter of it requests are refused as not run.
 */
START_TEST(requests_are_refused_while_responses_are_not_read)
{
	struct h1_opts o = { .ops = &ignore_ops };
	char *text = g_strnfill(MEMORY, 'x');
	struct h1_conn *c;
	int fd[2];

	ck_assert_int_eq(status_of_request(), 404);
	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, fd), 0);
	c = h1_accept(g_socket_new_from_fd(fd[0], NULL), &o);
	while (h1_unsent_bytes() <= MEMORY / 4)
		h1_send(c, text, MEMORY);
	ck_assert_int_eq(status_of_request(), 503);
	ck_assert_uint_eq(output_high_water(&p), H1_LOW_WATER);
	h1_free(c);
	ck_assert_uint_eq(h1_unsent_bytes(), 0);
	ck_assert_int_eq(status_of_request(), 404);
	ck_assert_uint_eq(output_high_water(&p), H1_HIGH_WATER);
	close(fd[1]);
	g_free(text);
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

/*
 * Guards against a request that is refused by the limits of a former version,
 * on a connection that the caller opened before the change.
 */
START_TEST(limits_of_a_new_version_hold_on_kept_connections)
{
	static const char large[] = "POST / HTTP/1.1\r\nHost: h\r\n"
				    "Content-Length: 20\r\n\r\n"
				    "01234567890123456789";
	static const gint64 limits[] = { 30, 10, 30 };
	struct rtab_limits l = { .head_bytes = 4096, .head_time = HEAD_TIME };
	GSocket *s[2], *other;
	struct rtab *t;
	char *got;
	guint i;

	for (i = 0; i < 2; i++) {
		s[i] = loop_connect(HOST, port_of(0));
		loop_send(s[i], "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		g_free(loop_expect(s[i], "\r\n\r\n"));
	}
	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		t = rtab_new(2 + i);
		l.body_bytes = limits[i];
		rtab_set_limits(t, &l);
		ck_assert(rtab_build(t, NULL));
		rtab_unref(p.rtab);
		p.rtab = t;
		ingress_update(p.ingress);
		other = i == 1 ? s[1] : s[0];
		loop_send(other, large);
		got = loop_expect(other, "\r\n\r\n");
		ck_assert_ptr_nonnull(
		    strstr(got, limits[i] < 20 ? " 413 " : " 404 "));
		g_free(got);
	}
	loop_close(s[0]);
	loop_close(s[1]);
	LOOP_IDLE();
}
END_TEST

/* ---- a backend server that responds when the test says so ---- */

static GSocket *listener;
static struct pt_dgram dgram_iface;

static void
no_dgram(void *ctx, const char *host, guint port, const void *data, gsize len)
{
}

static gint64
no_tick(void *arg)
{
	return G_MAXINT64;
}

static void
serving_setup(void)
{
	struct pt_member self = { .instance = (char *)(guintptr) "self",
		.incarnation = 1,
		.started = 1,
		.state = PT_SERVING,
		.host = (char *)(guintptr)HOST,
		.rpc_port = 1,
		.gossip_port = 1,
		.http_port = 1,
		.domain = (char *)(guintptr) "z",
		.region = (char *)(guintptr) "r",
		.service = (char *)(guintptr) "svc",
		.slots = 1 };
	struct memb_opts mo = { .self = &self,
		.clock = &p.clock,
		.dgram = &dgram_iface,
		.rpc = &p.rpc,
		.events = &p.events };
	struct lb_member u = { "self", "z", 1, 1, PT_SERVING };
	struct lb_service_opts lo = { .eject_max = 50, .by_time = TRUE };
	struct reg_announce ann = { .id = "i-1",
		.service = "svc",
		.address = "",
		.slots = 1,
		.state = REG_SERVING };
	struct rtab_part part = { (char *)(guintptr) "svc", 1 };
	struct rtab_route route = { .name = (char *)(guintptr) "r",
		.host = (char *)(guintptr) "h",
		.prefix = (char *)(guintptr) "/s/",
		.timeout = 20 * G_TIME_SPAN_SECOND,
		.target = 20 * G_TIME_SPAN_SECOND,
		.attempts = 2,
		.parts = &part,
		.n_parts = 1 };
	struct rtab_route once = route;

	setup();
	listener = rpcio_bind(G_SOCKET_TYPE_STREAM, HOST, 0, TRUE, NULL);
	set.backend.host = (char *)(guintptr)HOST;
	set.backend.port = rpcio_local_port(listener);
	rtab_unref(p.rtab);
	p.rtab = table_new();
	rtab_add_route(p.rtab, &route);
	once.name = (char *)(guintptr) "once";
	once.prefix = (char *)(guintptr) "/once/";
	once.kind = RTAB_ONCE;
	rtab_add_route(p.rtab, &once);
	ck_assert(rtab_build(p.rtab, NULL));
	dgram_iface.send = no_dgram;
	p.rand = mo.rand = g_rand_new_with_seed(1);
	p.memb = memb_new(&mo);
	p.memb_ticker = sys_ticker_new(no_tick, NULL);
	p.dirty_services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p.lb = lb_new(&(struct lb_opts){ .clock = sys_clock,
	    .rand = p.rand,
	    .domain = "z",
	    .events = &p.events });
	lb_set(p.lb, "svc", &lo, &u, 1);
	p.peers = peers_new(&p);
	p.wrr = rtab_wrr_new(p.rand);
	p.sizes = cost_new();
	p.retry_times = retry_times_new();
	ck_assert_int_eq(reg_announce(p.reg, &ann), REG_NEW);
	backend_update(p.backend);
}

static void
serving_teardown(void)
{
	g_clear_pointer(&p.ingress, ingress_free);
	g_clear_pointer(&p.peers, peers_free);
	loop_close(listener);
	retry_times_free(p.retry_times);
	cost_free(p.sizes);
	rtab_wrr_free(p.wrr);
	teardown();
	lb_free(p.lb);
	sys_ticker_free(p.memb_ticker);
	memb_free(p.memb);
	sys_cancel(&p.rebuild_timer);
	g_hash_table_unref(p.dirty_services);
	g_rand_free(p.rand);
}

/*
 * Guards against a time-out of a request that arrived while the former one on
 * its connection ran: it waits in the buffer, and no head has begun when the
 * time-outs are checked.
 */
START_TEST(next_request_in_the_buffer_does_not_time_out)
{
	static const char text[] = "GET /s/ HTTP/1.1\r\nHost: "
				   "h\r\nX-Primrosetide-Attempt-Id: a\r\n\r\n";
	static const char answer[] =
	    "HTTP/1.1 200 OK\r\nX-Primrosetide-Attempt-Id: a\r\n"
	    "X-Primrosetide-Response-Signature: s\r\nContent-Length: "
	    "2\r\n\r\nok";
	GSocket *s = loop_connect(HOST, port_of(0)), *b = NULL;
	char *got;
	int i;

	loop_send(s, text);
	UNTIL((b = g_socket_accept(listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(b, FALSE);
	for (i = 0; i < 3; i++) {
		g_free(loop_expect(b, "\r\n\r\n"));
		loop_send(s, text);
		LOOP_IDLE();
		/* The check is due in the turn in which the answer arrives. */
		g_usleep(600 * 1000);
		loop_send(b, answer);
		got = loop_expect(s, "\r\n\r\n");
		ck_assert_ptr_nonnull(strstr(got, " 200 "));
		ck_assert_ptr_null(strstr(got, " 408 "));
		g_free(got);
	}
	/* The last request reached the server, and nothing was refused. */
	g_free(loop_expect(b, "\r\n\r\n"));
	loop_close(s);
	LOOP_IDLE();
	loop_close(b);
}
END_TEST

/* A new process of the server announces itself at the same address. */
static void
restart_server(int n)
{
	char *id = g_strdup_printf("i-%d", n);
	struct reg_announce ann = { .id = id,
		.service = "svc",
		.address = "",
		.slots = 1,
		.state = REG_SERVING };

	listener = rpcio_bind(
	    G_SOCKET_TYPE_STREAM, HOST, set.backend.port, TRUE, NULL);
	ck_assert_ptr_nonnull(listener);
	ck_assert_int_eq(reg_announce(p.reg, &ann), REG_NEW);
	backend_mark_up(p.backend);
	backend_update(p.backend);
	g_free(id);
}

/* Servers that the operators allow one request to end. */
#define ENDS_MAX 3

/*
 * Guards against a request that ends server after server.  Other requests are
 * still served.
 */
START_TEST(request_that_ends_servers_is_not_sent_on)
{
	GSocket *s, *b;
	char *got = NULL;
	int ended = 0, i;

	for (i = 0; i < 2 * ENDS_MAX; i++) {
		s = loop_connect(HOST, port_of(0));
		loop_send(s, "GET /s/ends HTTP/1.1\r\nHost: h\r\n\r\n");
		b = NULL;
		UNTIL((b = g_socket_accept(listener, NULL, NULL)) != NULL ||
		      g_socket_get_available_bytes(s) > 0);
		if (b != NULL) {
			g_socket_set_blocking(b, FALSE);
			g_free(loop_expect(b, "\r\n\r\n"));
			loop_close(listener);
			loop_close(b);
			ended++;
		}
		g_free(got);
		got = loop_expect(s, "\r\n\r\n");
		loop_close(s);
		LOOP_IDLE();
		if (b != NULL)
			restart_server(2 + i);
	}
	ck_assert_int_le(ended, ENDS_MAX);
	ck_assert_ptr_nonnull(strstr(got, " 503 "));
	ck_assert_ptr_nonnull(strstr(got, "Retry-After"));
	g_free(got);
	s = loop_connect(HOST, port_of(0));
	loop_send(s, "GET /s/other HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL((b = g_socket_accept(listener, NULL, NULL)) != NULL);
	loop_close(b);
	loop_close(s);
	LOOP_IDLE();
}
END_TEST

/* Status of an announcement; "service" is its service. */
static int
announce(const char *id, const char *service, gint64 start)
{
	char *text = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"slots\":1,\"state\":\"in_service\","
	    "\"coldLeftS\":0,\"sequence\":1,\"born\":%" G_GINT64_FORMAT "}",
	    service, start);
	char *target = g_strdup_printf("/-/instances/%s", id);
	struct h1_head h = { .method = (char *)(guintptr) "PUT",
		.target = target };
	GByteArray *body = g_byte_array_new();
	struct httpd_response res = { .status = 404 };

	g_byte_array_append(body, (const guint8 *)text, (guint)strlen(text));
	control_handle(&p, &h, body, &res);
	g_byte_array_unref(body);
	g_free(res.body);
	g_free(target);
	g_free(text);
	return res.status;
}

/*
 * Guards against a server that gets no more requests, as an announcement of
 * another writer, with a service that no configuration names and a later start,
 * has taken its place and made its own announcements stale.
 */
START_TEST(announcement_of_an_unknown_service_is_refused)
{
	reg_settings(p.reg, "127.0.0.1:9", "svc");
	ck_assert_int_eq(announce("i-1", "svc", 1000), 200);
	ck_assert_str_eq(reg_id(p.reg), "i-1");
	ck_assert_int_eq(announce("i-2", "ghost", 2000), 400);
	ck_assert_str_eq(reg_id(p.reg), "i-1");
	ck_assert(reg_serving(p.reg));
	/* Before the node has a configuration, any service may be right. */
	g_clear_pointer(&p.rtab, rtab_unref);
	ck_assert_int_eq(announce("i-3", "new", 3000), 200);
	ck_assert_str_eq(reg_id(p.reg), "i-3");
}
END_TEST

/*
 * Guards against a request that runs at another service: it waits for a slot
 * while a server of that service takes the place of its own.
 */
START_TEST(waiting_request_does_not_run_at_another_service)
{
	struct reg_announce other = { .id = "i-9",
		.service = "other",
		.address = "",
		.process_start = 9,
		.slots = 2,
		.state = REG_SERVING };
	static const char text[] = "GET /s/ HTTP/1.1\r\nHost: h\r\n\r\n";
	GSocket *s[2], *b = NULL;
	char *got;
	int i;

	for (i = 0; i < 2; i++) {
		s[i] = loop_connect(HOST, port_of(0));
		loop_send(s[i], text);
	}
	UNTIL((b = g_socket_accept(listener, NULL, NULL)) != NULL);
	UNTIL(backend_busy(p.backend) == 2);
	ck_assert_int_eq(reg_announce(p.reg, &other), REG_NEW);
	backend_update(p.backend);
	LOOP_IDLE();
	ck_assert_ptr_null(g_socket_accept(listener, NULL, NULL));
	UNTIL(g_socket_get_available_bytes(s[0]) > 0 ||
	      g_socket_get_available_bytes(s[1]) > 0);
	i = g_socket_get_available_bytes(s[1]) > 0;
	got = loop_expect(s[i], "\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(got, " 503 "));
	g_free(got);
	for (i = 0; i < 2; i++)
		loop_close(s[i]);
	LOOP_IDLE();
	loop_close(b);
}
END_TEST

/* Message of a node with a body of this length, after a head. */
static char *
node_message(const char *field, const char *body)
{
	return g_strdup_printf("POST /s/ HTTP/1.1\r\nHost: h\r\n%s\r\n"
			       "X-Primrosetide-Attempt-Id: a\r\n"
			       "Content-Length: %u\r\n\r\n%s",
	    field, (guint)strlen(body), body);
}

/* Body of an answer, and a link that takes 100 s for it. */
#define SLOW_BODY (100 * 1000)
#define SLOW_LINK 1000

/*
 * Guards against a complete answer that is cut off when the process ends, as it
 * waits for the instance's link.
 */
START_TEST(complete_answers_are_delivered_at_the_end)
{
	char *body = g_strnfill(SLOW_BODY, 'b'), buf[4096];
	GSocket *s, *b = NULL;
	gsize got = 0;
	gssize n;
	char *text;

	inbound_free(p.inbound);
	set.link_rate = SLOW_LINK;
	p.inbound = inbound_new(&p, NULL);
	s = loop_connect(HOST, port_of(1));
	text = node_message("Pt-Hop: to=self;route=r;service=svc;caller=svc;"
			    "left=20000000;target=20000000;priority=0;once=1;"
			    "returned=0;repeat=0;",
	    "");
	loop_send(s, text);
	g_free(text);
	UNTIL((b = g_socket_accept(listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(b, FALSE);
	g_free(loop_expect(b, "\r\n\r\n"));
	text = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\nX-Primrosetide-Attempt-Id: a\r\n"
	    "X-Primrosetide-Response-Signature: s\r\n"
	    "Content-Length: %d\r\n\r\n%s",
	    SLOW_BODY, body);
	loop_send(b, text);
	g_free(text);
	UNTIL(backend_busy(p.backend) == 0);
	inbound_end(p.inbound);
	ck_assert_uint_eq(inbound_busy(p.inbound), 0);
	while (got < SLOW_BODY) {
		UNTIL((n = loop_recv(s, buf, sizeof(buf))) != -1);
		ck_assert_int_gt(n, 0);
		got += (gsize)n;
	}
	loop_close(s);
	LOOP_IDLE();
	loop_close(b);
	g_free(body);
}
END_TEST

/* ---- upstreams at other nodes ---- */

static int silent; /* events that a node is silent */

static void
count_silent(
    void *ctx, enum pt_level level, const char *name, const char *fields)
{
	silent += strcmp(name, "peer-silent") == 0;
}

/* Makes a node a member, and returns the socket on which it listens. */
static GSocket *
add_node(const char *name, const char *host)
{
	GSocket *l = rpcio_bind(G_SOCKET_TYPE_STREAM, host, 0, TRUE, NULL);
	struct pt_gossip g = { .proto = PT_PROTO,
		.kind = PT_SPREAD,
		.from = (char *)(guintptr)name,
		.target = (char *)(guintptr) "" };
	struct pt_member m = { .instance = g.from,
		.incarnation = 1,
		.started = 1,
		.state = PT_SERVING,
		.host = (char *)(guintptr)host,
		.rpc_port = 1,
		.gossip_port = 1,
		.http_port = (int)rpcio_local_port(l),
		.domain = (char *)(guintptr) "z",
		.region = (char *)(guintptr) "r",
		.service = (char *)(guintptr) "svc",
		.slots = 4 };
	GBytes *b;

	g.updates.updates_val = &m;
	g.updates.updates_len = 1;
	b = pt_encode((xdrproc_t)xdr_pt_gossip, &g);
	memb_input(p.memb, g_bytes_get_data(b, NULL), g_bytes_get_size(b));
	g_bytes_unref(b);
	return l;
}

/*
 * Guards against an answer of a stopping node in place of that of an upstream
 * that is at work on the request: the upstream's node is silent for a while,
 * and the others have no room.
 */
START_TEST(stopping_node_waits_for_a_silent_upstream)
{
	static const char refusal[] =
	    "HTTP/1.1 503 No\r\nPt-Outcome: kind=1;reason=no-room;retry=50;"
	    "\r\nContent-Length: 0\r\n\r\n";
	static const char answer[] =
	    "HTTP/1.1 200 OK\r\nX-Primrosetide-Response-Signature: s\r\n"
	    "Content-Length: 2\r\n\r\nok";
	struct lb_service_opts o = { .eject_max = 50, .by_time = TRUE };
	struct lb_member u[] = { { "n0", "z", 1, 4, PT_SERVING },
		{ "n1", "z", 1, 4, PT_SERVING } };
	GSocket *l[2], *s, *conn = NULL, *other = NULL;
	int at = 0;
	char *got;

	p.events.event = count_silent;
	silent = 0;
	l[0] = add_node("n0", "127.0.0.2");
	l[1] = add_node("n1", "127.0.0.3");
	lb_set(p.lb, "svc", &o, u, 2);
	budget_set(p.budget, "svc", 100, 0);
	s = loop_connect(HOST, port_of(0));
	loop_send(s, "GET /s/ HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL((conn = g_socket_accept(l[at ^= 1], NULL, NULL)) != NULL);
	g_socket_set_blocking(conn, FALSE);
	g_free(loop_expect(conn, "\r\n\r\n"));
	p.stopping = TRUE;
	UNTIL(silent > 0);
	LOOP_IDLE();
	other = g_socket_accept(l[at ^ 1], NULL, NULL);
	if (other != NULL)
		loop_send(other, refusal);
	LOOP_IDLE();
	loop_send(conn, answer);
	got = loop_expect(s, "\r\n\r\n");
	ck_assert_msg(strstr(got, " 200 ") != NULL, "%s", got);
	g_free(got);
	ck_assert_ptr_null(other);
	loop_close(s);
	LOOP_IDLE();
	loop_close(conn);
	loop_close(l[0]);
	loop_close(l[1]);
}
END_TEST

/* Upstreams of the tests; a request is sent to that many at most. */
#define NODES 4

/*
 * Sends a request that the node of the first upstream answers with "first",
 * NULL: closes the connection, and the others refuse.  Checks the status that
 * the caller gets.
 */
static void
refused_by_the_others(const char *first, const char *status)
{
	static const char refusal[] =
	    "HTTP/1.1 503 No\r\nPt-Outcome: kind=1;reason=no-room;retry=50;"
	    "\r\nContent-Length: 0\r\n\r\n";
	static const char *const names[] = { "n0", "n1", "n2", "n3" };
	static const char *const hosts[] = { "127.0.0.2", "127.0.0.3",
		"127.0.0.4", "127.0.0.5" };
	struct lb_service_opts o = { .eject_max = 50, .by_time = TRUE };
	struct lb_member u[NODES];
	GSocket *l[NODES], *s, *conn[NODES] = { NULL };
	const char *answer;
	char *got;
	int at = 0, i;

	for (i = 0; i < NODES; i++) {
		l[i] = add_node(names[i], hosts[i]);
		u[i] = (struct lb_member){ names[i], "z", 1, 4, PT_SERVING };
	}
	lb_set(p.lb, "svc", &o, u, NODES);
	budget_set(p.budget, "svc", 100, 0);
	s = loop_connect(HOST, port_of(0));
	loop_send(s, "GET /s/ HTTP/1.1\r\nHost: h\r\n\r\n");
	for (i = 0; i < NODES; i++) {
		UNTIL((conn[i] = g_socket_accept(
			   l[at++ % NODES], NULL, NULL)) != NULL);
		g_socket_set_blocking(conn[i], FALSE);
		g_free(loop_expect(conn[i], "\r\n\r\n"));
		answer = i == 0 ? first : refusal;
		if (answer != NULL)
			loop_send(conn[i], answer);
		else
			g_socket_shutdown(conn[i], TRUE, TRUE, NULL);
	}
	got = loop_expect(s, "\r\n\r\n");
	ck_assert_msg(strstr(got, status) != NULL, "%s", got);
	g_free(got);
	loop_close(s);
	LOOP_IDLE();
	for (i = 0; i < NODES; i++) {
		loop_close(conn[i]);
		loop_close(l[i]);
	}
}

/*
 * Guards against "not run" for a request that an earlier upstream may have run,
 * and against "may have run" for one that was only refused.
 */
START_TEST(refusal_after_a_lost_answer_may_have_run)
{
	static const char failed[] =
	    "HTTP/1.1 500 No\r\nX-Primrosetide-Response-Signature: s\r\n"
	    "Content-Length: 0\r\n\r\n";
	static const char rejected[] =
	    "HTTP/1.1 503 No\r\nPt-Outcome: kind=2;reason=backend-refused;"
	    "\r\nContent-Length: 0\r\n\r\n";
	const char *const first[] = { NULL, failed, rejected };
	static const char *const status[] = { " 502 ", " 502 ", " 503 " };

	refused_by_the_others(first[_i], status[_i]);
}
END_TEST

/*
 * Guards against "not run" because of a node's refusal that is no valid
 * response: its upstream may have run the request.
 */
START_TEST(invalid_refusal_may_have_run)
{
	static const char *const first[] = {
		"HTTP/1.1 503 No\r\nPt-Outcome: kind=1;reason=no-room;retry=50;"
		"\r\nA: \001b\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nPt-Outcome: kind=1;reason=no-room;retry=50;"
		"\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\nA: \001b\r\n\r\n",
		"HTTP/1.1 0503 No\r\nPt-Outcome: "
		"kind=1;reason=no-room;retry=50;"
		"\r\nContent-Length: 0\r\n\r\n",
	};

	refused_by_the_others(first[_i], " 502 ");
}
END_TEST

/*
 * Guards against "not run" because a node passes on its upstream's status: it
 * does not say what became of the request, as nodes of earlier releases.
 */
START_TEST(status_passed_on_by_a_node_is_no_refusal)
{
	static const char *const first[] = {
		"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 503 No\r\nX-Primrosetide-Response-Signature: s\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 408 No\r\nTransfer-Encoding: chunked\r\n\r\n"
		"2\r\nno\r\n0\r\n\r\n",
	};

	refused_by_the_others(first[_i], " 502 ");
}
END_TEST

static char *ended; /* statuses and reasons of the events "request" */

static void
note_end(void *ctx, enum pt_level level, const char *name, const char *fields)
{
	const char *status = strstr(fields, "status=");
	const char *reason = strstr(fields, "reason=");
	char *all;

	if (strcmp(name, "request") != 0 || reason == NULL)
		return;
	reason += strlen("reason=");
	all = g_strdup_printf("%s%d %.*s ", ended != NULL ? ended : "",
	    atoi(status + strlen("status=")), (int)strcspn(reason, " "),
	    reason);
	g_free(ended);
	ended = all;
}

/*
 * Guards against a log that says that a caller left who got an answer, or whom
 * the end of this process left without one.
 */
START_TEST(log_says_that_a_caller_left_only_if_it_did)
{
	static const char head[] =
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n";
	GSocket *s[3];
	guint i;

	p.events.event = note_end;
	for (i = 0; i < G_N_ELEMENTS(s); i++) {
		s[i] = loop_connect(HOST, port_of(0));
		loop_send(s[i], head);
		if (i == 1)
			loop_send(s[i], "X-Primrosetide-Deadline-Ms: 1\r\n");
		loop_send(s[i], "\r\n");
	}
	UNTIL(ingress_busy(p.ingress) == 3);
	loop_close(s[0]);
	UNTIL(ingress_busy(p.ingress) == 2);
	ck_assert_str_eq(ended, "0 caller-left ");
	g_free(loop_expect(s[1], " 408 "));
	ck_assert_str_eq(ended, "0 caller-left 408 slow ");
	g_clear_pointer(&p.ingress, ingress_free);
	ck_assert_str_eq(ended, "0 caller-left 408 slow 0 stopped ");
	loop_close(s[1]);
	loop_close(s[2]);
	g_clear_pointer(&ended, g_free);
}
END_TEST

static const char hop[] =
    "Pt-Hop: to=self;route=r;service=svc;caller=svc;left=9;target=9;"
    "priority=0;once=1;returned=0;repeat=0;end=9;";

/*
 * Guards against a message without a body that ends the process, the first on
 * its connection: no buffer has been allocated for it.
 */
START_TEST(empty_bodies_of_nodes_are_answered)
{
	static const char *const fields[] = { "Pt-Recall: left=9;",
		"Pt-Recall: left=-9;", "Pt-Recall: left=99999999999999999999;",
		"Pt-Recall: ;", hop };
	GSocket *s;
	char *text, *got;
	guint i, k;

	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		for (k = 0; k < 2; k++) {
			s = loop_connect(HOST, port_of(1));
			text = node_message(fields[i], k == 0 ? "" : "\n");
			loop_send(s, text);
			got = loop_expect(s, "\r\n\r\n");
			ck_assert_ptr_nonnull(
			    strstr(got, i < 3 ? " 200 " : " 503 "));
			g_free(got);
			g_free(text);
			loop_close(s);
		}
	LOOP_IDLE();
}
END_TEST

#define FUZZ_SEED 36
#define FUZZ_ROUNDS 3000

/* Guards against damaged messages of nodes and callers that end the process. */
START_TEST(damaged_messages_do_not_end_the_process)
{
	static const char *const fields[] = { "Pt-Recall: left=9;", hop,
		"Pt-Server: id=i;start=1;leaving=0;limit=5;",
		"Transfer-Encoding: chunked" };
	static const char *const bodies[] = { "", "a\n\nb\n", "3\r\nabc" };
	GRand *r = g_rand_new_with_seed(FUZZ_SEED);
	GSocket *s;
	char *text;
	gint32 n;
	int i, k;

	for (i = 0; i < FUZZ_ROUNDS; i++) {
		text = node_message(fields[g_rand_int_range(r, 0, 4)],
		    bodies[g_rand_int_range(r, 0, 3)]);
		n = (gint32)strlen(text);
		for (k = g_rand_int_range(r, 0, 4); k > 0; k--)
			text[g_rand_int_range(r, 0, n)] =
			    (char)g_rand_int_range(r, 1, 256);
		s = loop_connect(HOST, port_of(i % 2));
		loop_send(s, text);
		for (k = 0; k < 4; k++)
			g_main_context_iteration(NULL, FALSE);
		loop_close(s);
		g_free(text);
	}
	LOOP_IDLE();
	s = loop_connect(HOST, port_of(0));
	loop_send(s, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	g_free(loop_expect(s, "\r\n\r\n"));
	loop_close(s);
	g_rand_free(r);
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

static const char plain[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/*
 * Guards against a request that crosses the close of its idle connection and is
 * accepted there, but not answered: its caller must take it for one that may
 * have run.
 */
START_TEST(request_that_crosses_a_close_is_not_read)
{
	GSocket *s = loop_connect(HOST, port_of(0));

	loop_send(s, plain);
	g_free(loop_expect(s, "\r\n\r\n"));
	p.stopping = TRUE;
	ingress_close_idle(p.ingress);
	LOOP_IDLE();
	loop_send(s, plain);
	/* The peer has reset the connection: a socket that reads would not. */
	ck_assert_int_eq(g_socket_send(s, plain, 1, NULL, NULL), -1);
	loop_close(s);
}
END_TEST

/* ---- responses that are incomplete or invalid ---- */

#define SIGNED "X-Primrosetide-Response-Signature: s\r\n"
#define STATED "X-Primrosetide-Not-Executed: 1\r\n"
#define OWN_ID "X-Primrosetide-Attempt-Id: a\r\n"

/*
 * Responses of a backend server, and the status that its caller gets.  None
 * that may come from a run is told as "not run".
 */
static const struct {
	const char *text;
	int status;
} outcomes[] = {
	{ "503 No\r\n" OWN_ID "Content-Length: 2\r\n\r\nno", 502 },
	{ "503 No\r\n" OWN_ID SIGNED "Content-Length: 0\r\n\r\n", 502 },
	{ "503 No\r\n" OWN_ID SIGNED STATED "Content-Length: 0\r\n\r\n", 502 },
	{ "503 No\r\n" OWN_ID "Retry-After: 1\r\nConnection: close\r\n\r\nno",
	    502 },
	{ "429 No\r\n" OWN_ID "Content-Length: 0\r\n\r\n", 502 },
	{ "429 No\r\n" OWN_ID SIGNED "Content-Length: 0\r\n\r\n", 502 },
	{ "408 No\r\n" OWN_ID "Transfer-Encoding: chunked\r\n\r\n"
	  "2\r\nno\r\n0\r\n\r\n",
	    502 },
	{ "421 No\r\n" OWN_ID SIGNED "Content-Length: 0\r\n\r\n", 502 },
	{ "200 OK\r\n" OWN_ID STATED "Content-Length: 0\r\n\r\n", 502 },
	{ "500 No\r\n" OWN_ID STATED "Content-Length: 0\r\n\r\n", 500 },
	{ "504 No\r\n" OWN_ID SIGNED "Content-Length: 0\r\n\r\n", 504 },
	{ "404 No\r\n" OWN_ID SIGNED "Content-Length: 0\r\n\r\n", 404 },
	/* These did not run. */
	{ "503 No\r\n" OWN_ID STATED "Content-Length: 2\r\n\r\nno", 503 },
	{ "429 No\r\n" OWN_ID STATED "Content-Length: 0\r\n\r\n", 503 },
	{ "408 No\r\n" OWN_ID STATED "Content-Length: 0\r\n\r\n", 503 },
	{ "400 No\r\n" OWN_ID STATED "Content-Length: 0\r\n\r\n", 503 },
	{ "421 No\r\n" OWN_ID "Content-Length: 0\r\n\r\n", 503 },
};

/* Sends a request that the backend server gets and answers with "text". */
static GSocket *
answered_by_the_server(guint port, const char *request, const char *text)
{
	GSocket *s = loop_connect(HOST, port), *b = NULL;
	char *answer = g_strconcat("HTTP/1.1 ", text, NULL);

	loop_send(s, request);
	UNTIL((b = g_socket_accept(listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(b, FALSE);
	g_free(loop_expect(b, "\r\n\r\n"));
	loop_send(b, answer);
	/* A close would reset a connection with unread bytes. */
	g_socket_shutdown(b, FALSE, TRUE, NULL);
	UNTIL(backend_busy(p.backend) == 0);
	loop_close(b);
	g_free(answer);
	return s;
}

static void
expect_status(GSocket *s, int status)
{
	char *got = loop_expect(s, "\r\n\r\n");

	ck_assert_msg(atoi(strchr(got, ' ')) == status, "%s", got);
	ck_assert_ptr_null(strstr(got, "Not-Executed"));
	ck_assert_int_eq(strstr(got, "Retry-After") != NULL, status == 503);
	/* The signature stands for the status of the server. */
	if (status == 502 || status == 503)
		ck_assert_ptr_null(strstr(got, "Signature"));
	g_free(got);
	loop_close(s);
	LOOP_IDLE();
	/* No other run may begin. */
	ck_assert_ptr_null(g_socket_accept(listener, NULL, NULL));
}

/*
 * Guards against a status of the backend server that promises "not run" to the
 * caller of a request that ran, and against 502 for one that did not run.
 */
START_TEST(status_promises_not_run_only_with_proof)
{
	static const char *const paths[] = { "/once/", "/s/" };
	guint k;
	char *text;

	for (k = 0; k < G_N_ELEMENTS(paths); k++) {
		text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\n" OWN_ID
				       "Content-Length: 1\r\n\r\nb",
		    paths[k]);
		expect_status(
		    answered_by_the_server(port_of(0), text, outcomes[_i].text),
		    outcomes[_i].status);
		g_free(text);
	}
}
END_TEST

/* The same for the request of another node, which tells its caller. */
START_TEST(node_is_told_not_run_only_with_proof)
{
	static const char request[] =
	    "Pt-Hop: to=self;route=r;service=svc;caller=svc;left=20000000;"
	    "target=20000000;priority=0;once=1;returned=0;repeat=0;";
	char *text = node_message(request, ""), *got;
	GSocket *s =
	    answered_by_the_server(port_of(1), text, outcomes[_i].text);
	int status = outcomes[_i].status;

	got = loop_expect(s, "\r\n\r\n");
	ck_assert_msg(atoi(strchr(got, ' ')) == status, "%s", got);
	ck_assert_ptr_null(strstr(got, "Not-Executed"));
	if (status == 502)
		ck_assert_ptr_nonnull(strstr(got, "Pt-Outcome: kind=3;"));
	else if (status == 503)
		ck_assert_ptr_nonnull(strstr(got, "Pt-Outcome: kind=2;"));
	else
		ck_assert_ptr_null(strstr(got, "Pt-Outcome"));
	g_free(got);
	g_free(text);
	loop_close(s);
	LOOP_IDLE();
}
END_TEST

/*
 * Guards against memory that no account shows: the caller, or its node, leaves
 * while a request that is not interrupted runs, and its body is still held.
 */
START_TEST(body_is_counted_until_its_run_ends)
{
	static const char *const fields[] = { "",
		"Pt-Hop: to=self;route=once;service=svc;caller=svc;"
		"left=20000000;target=20000000;priority=0;once=1;"
		"returned=0;repeat=0;\r\n" };
	char *body = g_strnfill(BODY, 'b');
	char *text = g_strdup_printf("POST /once/ HTTP/1.1\r\nHost: h\r\n%s"
				     "Content-Length: %d\r\n\r\n%s",
	    fields[_i], BODY, body);
	GSocket *s = loop_connect(HOST, port_of(_i)), *b = NULL;

	loop_send(s, text);
	UNTIL((b = g_socket_accept(listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(b, FALSE);
	g_free(loop_expect(b, body));
	loop_close(s);
	LOOP_IDLE();
	ck_assert_uint_eq(backend_running(p.backend), 1);
	ck_assert_uint_eq(p.body_bytes, BODY);
	loop_send(b, "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 0\r\n\r\n");
	UNTIL(backend_running(p.backend) == 0);
	ck_assert_uint_eq(p.body_bytes, 0);
	loop_close(b);
	g_free(text);
	g_free(body);
}
END_TEST

/* More than the socket buffers of both ends hold. */
#define UPLOAD (32 * 1024 * 1024)
/* More than the node holds back of a response. */
#define BEGUN (100 * 1024)

/* Sends all bytes while the loop runs. */
static void
send_all(GSocket *s, const char *text, gsize len)
{
	int left = LOOP_ITERATIONS;
	gssize n;

	while (len > 0) {
		n = g_socket_send(s, text, len, NULL, NULL);
		if (n > 0) {
			text += n;
			len -= (gsize)n;
		}
		ck_assert_int_gt(left--, 0);
		g_main_context_iteration(NULL, FALSE);
	}
}

/* Reads until the connection or a chunked body ends; TRUE: by a reset. */
static gboolean
read_to_end(GSocket *s, GString *all)
{
	char buf[4096];
	gssize n;

	for (;;) {
		UNTIL((n = loop_recv(s, buf, sizeof(buf))) != -1);
		if (n <= 0)
			return n == -2;
		g_string_append_len(all, buf, n);
		if (g_str_has_suffix(all->str, "\r\n0\r\n\r\n"))
			return FALSE;
	}
}

/* Sends an upload; returns the connection on which the server gets it. */
static GSocket *
begin_upload(GSocket *s)
{
	char *body = g_strnfill(UPLOAD, 'b');
	char *head = g_strdup_printf("POST /s/ HTTP/1.1\r\nHost: h\r\n"
				     "Content-Length: %d\r\n\r\n",
	    UPLOAD);
	GSocket *conn;

	/* Bodies may take a quarter of it. */
	set.memory = 8L * UPLOAD;
	loop_send(s, head);
	send_all(s, body, UPLOAD);
	g_free(head);
	g_free(body);
	UNTIL((conn = g_socket_accept(listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(conn, FALSE);
	g_free(loop_expect(conn, "\r\n\r\n"));
	return conn;
}

/*
 * Guards against a partial body as a complete response: the upstream answers a
 * long upload early and without a length, then resets the connection.
 */
START_TEST(caller_gets_502_for_a_response_that_was_reset)
{
	GSocket *s = loop_connect(HOST, port_of(0)), *conn = begin_upload(s);
	char *got;

	loop_send(conn, "HTTP/1.1 200 OK\r\n" SIGNED "\r\npart");
	LOOP_IDLE();
	loop_reset(conn);
	got = loop_expect(s, "\r\n\r\n");
	ck_assert_msg(strstr(got, " 502 ") != NULL, "%s", got);
	ck_assert_ptr_null(strstr(got, "part"));
	g_free(got);
	loop_close(s);
	LOOP_IDLE();
}
END_TEST

/*
 * Guards against a last chunk after a response that was reset: the caller that
 * has its head must see that it is incomplete.
 */
START_TEST(caller_is_reset_when_its_response_was_reset)
{
	GSocket *s = loop_connect(HOST, port_of(0)), *conn = begin_upload(s);
	GString *got = g_string_new(NULL);
	char *part = g_strnfill(BEGUN, 'p'), *head;

	loop_send(conn, "HTTP/1.1 200 OK\r\n" SIGNED "\r\n");
	send_all(conn, part, BEGUN);
	head = loop_expect(s, "\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(head, " 200 "));
	loop_reset(conn);
	ck_assert(read_to_end(s, got));
	g_free(head);
	g_free(part);
	g_string_free(got, TRUE);
	loop_close(s);
	LOOP_IDLE();
}
END_TEST

/*
 * Sends a request that the upstream answers with "text".  The caller must get
 * 502, which does not say "not run", and the upstream's connection must end.
 */
static void
expect_502(const char *text, gsize len)
{
	GSocket *s = loop_connect(HOST, port_of(0)), *conn;
	char *got, end[16];
	gssize n;

	loop_send(s, "GET /s/ HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL((conn = g_socket_accept(listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(conn, FALSE);
	g_free(loop_expect(conn, "\r\n\r\n"));
	ck_assert_int_eq(g_socket_send(conn, text, len, NULL, NULL), len);
	got = loop_expect(s, "\r\n\r\n");
	ck_assert_msg(strstr(got, " 502 ") != NULL, "%s", got);
	g_free(got);
	UNTIL((n = loop_recv(conn, end, sizeof(end))) != -1);
	ck_assert_int_le(n, 0);
	loop_close(s);
	loop_close(conn);
	LOOP_IDLE();
}

#define EMPTY SIGNED "Content-Length: 0\r\n\r\n"

static const char *const bad_status[] = {
	"HTTP/1.1 000 No\r\n" EMPTY,
	"HTTP/1.1 600 No\r\n" EMPTY,
	"HTTP/1.1 20 OK\r\n" EMPTY,
	"HTTP/1.1 0200 OK\r\n" EMPTY,
	"HTTP/1.0 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" EMPTY,
	"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
};

/* Guards against a status that is none at the caller, or no answer at all. */
START_TEST(caller_gets_502_for_a_status_that_is_none)
{
	expect_502(bad_status[_i], strlen(bad_status[_i]));
}
END_TEST

/* The response that a caller gets if the server sends this text and closes. */
static char *
response_to(const char *text, const char *until)
{
	GSocket *s = loop_connect(HOST, port_of(0)), *conn;
	char *got;

	loop_send(s, "GET /s/ HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL((conn = g_socket_accept(listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(conn, FALSE);
	g_free(loop_expect(conn, "\r\n\r\n"));
	loop_send(conn, text);
	g_socket_shutdown(conn, FALSE, TRUE, NULL);
	got = loop_expect(s, until);
	loop_close(s);
	loop_close(conn);
	LOOP_IDLE();
	return got;
}

/*
 * Guards against a 502 because the final response is taken for the body of an
 * interim one.
 */
START_TEST(caller_gets_the_response_after_an_interim_one)
{
	char *got = response_to(
	    "HTTP/1.1 103 Early\r\nTransfer-Encoding-Hint: a\r\n\r\n"
	    "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 2\r\n\r\nab",
	    "\r\n\r\n");

	ck_assert_msg(strstr(got, " 200 ") != NULL, "%s", got);
	g_free(got);
}
END_TEST

/* Guards against a body with the lines of its chunks at the caller. */
START_TEST(caller_gets_no_chunk_lines)
{
	char *got = response_to("HTTP/1.1 200 OK\r\n" SIGNED
				"Transfer-Encoding: chunked\t\r\n\r\n"
				"2\r\nab\r\n0\r\n\r\n",
	    "ab");

	ck_assert_msg(g_str_has_suffix(got, "\r\n\r\nab"), "%s", got);
	g_free(got);
}
END_TEST

#define LINES(text) "HTTP/1.1 200 OK\r\n" text "\r\n" EMPTY
/* The text of a response and its length, which may have NUL bytes. */
#define BYTES(text)                    \
	{                              \
		text, sizeof(text) - 1 \
	}

static const struct {
	const char *text;
	gsize len;
} bad_fields[] = {
	BYTES(LINES("A B: c")),
	BYTES(LINES("A\001: b")),
	BYTES(LINES("A: \001b")),
	BYTES(LINES("A: \0b")),
	BYTES(LINES("A: \rb")),
	BYTES(LINES("A:\rContent-Length: 5")),
	BYTES(LINES("A")),
	BYTES(LINES(": b")),
	BYTES(LINES("A: b\r\n c")),
};

/* Guards against an invalid field line, or a wrong body, at the caller. */
START_TEST(caller_gets_502_for_an_invalid_field_line)
{
	expect_502(bad_fields[_i].text, bad_fields[_i].len);
}
END_TEST

#define CHUNKED \
	"HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n"

static const char *const bad_ends[] = {
	"0\r\nA B: c\r\n\r\n",
	"0\r\nA: \001\r\n\r\n",
	"0\r\nA: \rb\r\n\r\n",
	"0\r\n\rX",
	"2\r\nabXX0\r\n\r\n",
};

/*
 * Guards against a body with a last chunk at the caller although the upstream's
 * trailers or chunks are invalid, for a response that was not passed on yet.
 */
START_TEST(caller_gets_502_for_an_invalid_trailer_or_chunk)
{
	char *text = g_strconcat(CHUNKED, bad_ends[_i], NULL);

	expect_502(text, strlen(text));
	g_free(text);
}
END_TEST

/* As before, for a response of which the caller has the head. */
START_TEST(caller_is_reset_for_an_invalid_trailer_or_chunk)
{
	GSocket *s = loop_connect(HOST, port_of(0)), *conn;
	GString *got = g_string_new(NULL);
	char *part = g_strnfill(BEGUN, 'p'), *head;
	char *size = g_strdup_printf("%x\r\n", BEGUN);

	loop_send(s, "GET /s/ HTTP/1.1\r\nHost: h\r\n\r\n");
	UNTIL((conn = g_socket_accept(listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(conn, FALSE);
	g_free(loop_expect(conn, "\r\n\r\n"));
	loop_send(conn, CHUNKED);
	loop_send(conn, size);
	send_all(conn, part, BEGUN);
	loop_send(conn, "\r\n");
	head = loop_expect(s, "\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(head, " 200 "));
	loop_send(conn, bad_ends[_i]);
	ck_assert(read_to_end(s, got));
	g_free(head);
	g_free(size);
	g_free(part);
	g_string_free(got, TRUE);
	loop_close(s);
	loop_close(conn);
	LOOP_IDLE();
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
	tcase_add_test(t, requests_are_refused_while_responses_are_not_read);
	tcase_add_test(t, slow_heads_time_out);
	tcase_add_test(t, empty_bodies_of_nodes_are_answered);
	tcase_add_test(t, damaged_messages_do_not_end_the_process);
	tcase_add_test(t, requests_that_arrived_are_answered);
	tcase_add_test(t, request_that_crosses_a_close_is_not_read);
	tcase_add_test(t, log_says_that_a_caller_left_only_if_it_did);
	tcase_add_test(t, limits_of_a_new_version_hold_on_kept_connections);
	suite_add_tcase(suite, t);
	t = tcase_create("serving");
	tcase_add_checked_fixture(t, serving_setup, serving_teardown);
	tcase_add_test(t, next_request_in_the_buffer_does_not_time_out);
	tcase_add_test(t, request_that_ends_servers_is_not_sent_on);
	tcase_add_test(t, stopping_node_waits_for_a_silent_upstream);
	tcase_add_loop_test(t, refusal_after_a_lost_answer_may_have_run, 0, 3);
	tcase_add_loop_test(t, invalid_refusal_may_have_run, 0, 3);
	tcase_add_loop_test(t, body_is_counted_until_its_run_ends, 0, 2);
	tcase_add_loop_test(t, status_passed_on_by_a_node_is_no_refusal, 0, 5);
	tcase_add_loop_test(t, status_promises_not_run_only_with_proof, 0,
	    G_N_ELEMENTS(outcomes));
	tcase_add_loop_test(
	    t, node_is_told_not_run_only_with_proof, 0, G_N_ELEMENTS(outcomes));
	tcase_add_test(t, complete_answers_are_delivered_at_the_end);
	tcase_add_test(t, waiting_request_does_not_run_at_another_service);
	tcase_add_test(t, announcement_of_an_unknown_service_is_refused);
	tcase_add_test(t, caller_gets_502_for_a_response_that_was_reset);
	tcase_add_test(t, caller_is_reset_when_its_response_was_reset);
	tcase_add_test(t, caller_gets_the_response_after_an_interim_one);
	tcase_add_test(t, caller_gets_no_chunk_lines);
	tcase_add_loop_test(t, caller_gets_502_for_a_status_that_is_none, 0,
	    G_N_ELEMENTS(bad_status));
	tcase_add_loop_test(t, caller_gets_502_for_an_invalid_field_line, 0,
	    G_N_ELEMENTS(bad_fields));
	tcase_add_loop_test(t, caller_gets_502_for_an_invalid_trailer_or_chunk,
	    0, G_N_ELEMENTS(bad_ends));
	tcase_add_loop_test(t, caller_is_reset_for_an_invalid_trailer_or_chunk,
	    0, G_N_ELEMENTS(bad_ends));
	suite_add_tcase(suite, t);
	return suite_run(suite);
}
