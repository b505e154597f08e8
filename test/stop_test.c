/*
 * The planned stop of a node under load, on a paused clock: two whole nodes
 * with their backend servers, and callers of the first one, which is stopped.
 */
#include <gio/gio.h>
#include <check.h>
#include <math.h>
#include <rpc/rpc.h>
#include <stdlib.h>
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
#include "limit.h"
#include "platform.h"
#include "proxy.h"
#include "loop.h"
#include "paused.h"
#include "run.h"

#define MS G_TIME_SPAN_MILLISECOND
#define SECOND G_TIME_SPAN_SECOND
/* The first node is stopped; the others stand beside it. */
#define NODES 2
#define CALLERS 120
#define SLOTS 3
/* Most upstreams that a request that may be repeated is sent to. */
#define ATTEMPTS 2
/* Times of the first requests and of the stop signal. */
#define BEGIN (1000 * SECOND)
#define SIGNAL (BEGIN + 3 * SECOND)
/* Time of requests that are not sent. */
#define NEVER (BEGIN + G_TIME_SPAN_DAY)
/* Longest run of a server. */
#define RUN_MAX (12 * SECOND)
/*
 * A request sent this long before the end of a process, or earlier, has been
 * read by then.
 */
#define READ_TIME (60 * MS)
/* Interval at which the callers act. */
#define STEP (5 * MS)
/* A body that its caller reads in several steps, in bytes. */
#define LARGE (300 * 1000)

struct node {
	struct plat_settings set;
	struct proxy p;
	struct h1_server *server; /* the backend server */
};

/* A request of a caller, and the connection that it is the only one on. */
struct caller {
	char id[16];
	int entry; /* index of the node that it is sent to */
	GSocket *sock;
	gint64 opened; /* time of the connection, 0: as the first byte */
	gint64 start; /* time of the first byte */
	gint64 whole; /* time of the last byte */
	gint64 read; /* time from which the caller reads */
	gint64 run; /* time that the server works */
	gint64 asked; /* time that it waits, 0: not given */
	gsize size; /* of the answer's body */
	gboolean begun, sent, closed;
	GString *got;
	int status; /* 0: no complete answer */
	guint answers;
	/* At the servers. */
	guint runs;
	gboolean running;
	gint64 began;
	/* In the log of the first node. */
	guint logged;
	int log_status;
	char log_reason[32];
};

/* One run of a server. */
struct work {
	struct h1_request *request;
	struct caller *caller;
	gboolean whole; /* ends before the deadline */
	guint timer;
};

static struct node node[NODES];
static struct caller caller[CALLERS];
static struct pt_dgram dgram_iface;
static GRand *rnd;
static gint64 stopped_at; /* of the first node, 0: it runs */
static gint64 timeout; /* of the route */
static enum rtab_kind route_kind;
static guint ports[NODES]; /* of the nodes, for callers */

static void
settle(void)
{
	int i;

	for (i = 0; i < 3; i++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		g_usleep(10);
	}
}

static void
advance(gint64 us)
{
	paused_advance(us, settle);
}

static struct caller *
caller_of(const char *id)
{
	int i = id != NULL ? atoi(id) : -1;

	return i >= 0 && i < CALLERS ? &caller[i] : NULL;
}

/* ---- the backend servers ---- */

static void
work_done(void *arg)
{
	struct work *w = arg;
	struct caller *c = w->caller;
	struct h1_field f[] = { { "X-Primrosetide-Attempt-Id", c->id },
		{ "X-Primrosetide-Response-Signature", "s" } };
	char *body = g_strnfill(c->size, 'b');
	struct h1_response a = { .status = w->whole ? 200 : 504,
		.fields = f,
		.n_fields = G_N_ELEMENTS(f),
		.body = body,
		.len = w->whole ? c->size : 0 };

	w->timer = 0;
	c->running = FALSE;
	w->request->data = NULL;
	h1_server_respond(w->request, &a);
	g_free(body);
	g_free(w);
}

static void
on_request(void *ctx, struct h1_request *r)
{
	struct caller *c =
	    caller_of(h1_head_get(r->head, "X-Primrosetide-Attempt-Id"));
	const char *left = h1_head_get(r->head, "X-Primrosetide-Deadline-Ms");
	struct work *w;
	gint64 most;

	if (c == NULL) {
		h1_server_respond(r, &(struct h1_response){ .status = 200 });
		return;
	}
	ck_assert_ptr_nonnull(left);
	most = g_ascii_strtoll(left, NULL, 10) * MS;
	c->runs++;
	c->running = TRUE;
	c->began = paused_now;
	w = g_new0(struct work, 1);
	w->request = r;
	w->caller = c;
	w->whole = c->run < most;
	w->timer = sys_after(MIN(c->run, most), work_done, w);
	r->data = w;
}

/* The server drops a run when its connection closes. */
static void
on_closed(void *ctx, struct h1_request *r)
{
	struct work *w = r->data;

	if (w == NULL)
		return;
	w->caller->running = FALSE;
	sys_cancel(&w->timer);
	g_free(w);
}

static const struct h1_server_ops server_ops = { .request = on_request,
	.closed = on_closed };

/* ---- the nodes ---- */

static void
no_dgram(void *ctx, const char *host, guint port, const void *data, gsize len)
{
}

/* Reads a field "key=value" of an event. */
static void
field(const char *fields, const char *key, char *out, gsize len)
{
	char *at = g_strdup_printf("%s=", key);
	const char *v = strstr(fields, at);

	out[0] = '\0';
	if (v != NULL) {
		v += strlen(at);
		g_strlcpy(out, v, MIN(len, strcspn(v, " ") + 1));
	}
	g_free(at);
}

static void
on_event(void *ctx, enum pt_level level, const char *name, const char *fields)
{
	char id[32], status[8];
	struct caller *c;

	if (strcmp(name, "request") != 0)
		return;
	field(fields, "id", id, sizeof(id));
	c = caller_of(id);
	ck_assert_ptr_nonnull(c);
	c->logged++;
	field(fields, "status", status, sizeof(status));
	c->log_status = atoi(status);
	field(fields, "reason", c->log_reason, sizeof(c->log_reason));
}

static struct rtab *
table_new(enum rtab_kind kind)
{
	struct rtab_service svc = { .name = (char *)(guintptr) "svc",
		.health_path = (char *)(guintptr) "/well" };
	struct rtab_part part = { (char *)(guintptr) "svc", 1 };
	struct rtab_route route = { .name = (char *)(guintptr) "r",
		.host = (char *)(guintptr) "h",
		.prefix = (char *)(guintptr) "/",
		.kind = kind,
		.timeout = timeout,
		.target = timeout,
		.attempts = ATTEMPTS,
		.parts = &part,
		.n_parts = 1 };
	struct rtab_limits l = { 0 };
	struct rtab *t = rtab_new(1);

	rtab_add_service(t, &svc);
	rtab_add_route(t, &route);
	rtab_set_limits(t, &l);
	ck_assert(rtab_build(t, NULL));
	return t;
}

static struct pt_member
member_of(int i, const char *name)
{
	return (struct pt_member){ .instance = (char *)(guintptr)name,
		.incarnation = 1,
		.started = 1,
		.state = PT_SERVING,
		.host = node[i].set.peer.host,
		.rpc_port = 1,
		.gossip_port = 1,
		.http_port = (int)inbound_port(node[i].p.inbound),
		.domain = (char *)(guintptr) "z",
		.region = (char *)(guintptr) "r",
		.service = (char *)(guintptr) "svc",
		.slots = SLOTS };
}

static const char *const names[NODES] = { "n0", "n1" };
static const char *const hosts[NODES] = { "127.0.0.2", "127.0.0.3" };

static void
node_begin(int i, enum rtab_kind kind)
{
	struct node *n = &node[i];
	struct proxy *p = &n->p;
	struct h1_server_opts so = { .host = hosts[i], .ops = &server_ops };
	struct reg_opts ro = { .clock = sys_clock,
		.address = "",
		.service = "svc",
		.heartbeat = G_TIME_SPAN_HOUR };
	struct reg_announce ann = { .id = names[i],
		.service = "svc",
		.address = "",
		.slots = SLOTS,
		.state = REG_SERVING };

	memset(n, 0, sizeof(*n));
	n->server = h1_server_new(&so, NULL);
	n->set.instance = (char *)(guintptr)names[i];
	n->set.service = (char *)(guintptr) "svc";
	n->set.domain = (char *)(guintptr) "z";
	n->set.memory = 64 * 1024 * 1024;
	n->set.outbound.host = n->set.peer.host = n->set.backend.host =
	    (char *)(guintptr)hosts[i];
	n->set.backend.port = h1_server_port(n->server);
	n->set.n_seeds = 1;
	n->set.seeds[0].host = (char *)(guintptr)hosts[i];
	p->clock = sys_clock;
	p->set = &n->set;
	p->rand = g_rand_new_with_seed(g_rand_int(rnd));
	p->reg = reg_new(&ro);
	p->stats = stats_new();
	p->budget = budget_new();
	p->heard = reg_table_new(&p->clock);
	p->statements = statements_new(p);
	p->quarantine = quarantine_new(p);
	p->backend = backend_new(p);
	p->rtab = table_new(kind);
	p->inbound = inbound_new(p, NULL);
	ck_assert_ptr_nonnull(p->inbound);
	p->peers = peers_new(p);
	p->wrr = rtab_wrr_new(p->rand);
	p->sizes = cost_new();
	p->retry_times = retry_times_new();
	p->dirty_services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ck_assert_int_eq(reg_announce(p->reg, &ann), REG_NEW);
}

/* The node knows itself and the others. */
static void
node_join(int i)
{
	struct proxy *p = &node[i].p;
	struct pt_member self = member_of(i, names[i]), other;
	struct memb_opts mo = { .self = &self,
		.clock = &p->clock,
		.rand = p->rand,
		.dgram = &dgram_iface,
		.rpc = &p->rpc,
		.events = &p->events };
	struct lb_service_opts lo = { .eject_max = 50, .by_time = TRUE };
	struct lb_member u[NODES];
	struct pt_gossip g = { .proto = PT_PROTO,
		.kind = PT_SPREAD,
		.target = (char *)(guintptr) "" };
	GBytes *b;
	int k;

	p->memb = memb_new(&mo);
	p->memb_ticker = sys_ticker_new(NULL, NULL);
	p->lb = lb_new(&(struct lb_opts){ .clock = sys_clock,
	    .rand = p->rand,
	    .domain = "z",
	    .events = &p->events });
	for (k = 0; k < NODES; k++) {
		u[k] =
		    (struct lb_member){ names[k], "z", 1, SLOTS, PT_SERVING };
		if (k == i)
			continue;
		other = member_of(k, names[k]);
		g.from = other.instance;
		g.updates.updates_val = &other;
		g.updates.updates_len = 1;
		b = pt_encode((xdrproc_t)xdr_pt_gossip, &g);
		memb_input(
		    p->memb, g_bytes_get_data(b, NULL), g_bytes_get_size(b));
		g_bytes_unref(b);
	}
	lb_set(p->lb, "svc", &lo, u, NODES);
	backend_update(p->backend);
	p->ingress = ingress_new(p, NULL);
	ck_assert_ptr_nonnull(p->ingress);
	ports[i] = ingress_port(p->ingress);
	p->events.event = on_event;
}

static void
node_end(struct node *n)
{
	struct proxy *p = &n->p;

	sys_cancel(&p->stop_timer);
	sys_cancel(&p->rebuild_timer);
	ingress_free(p->ingress);
	inbound_free(p->inbound);
	discovery_free(p->discovery);
	peers_free(p->peers);
	statements_free(p->statements);
	backend_free(p->backend);
	quarantine_free(p->quarantine);
	reg_table_free(p->heard);
	retry_times_free(p->retry_times);
	cost_free(p->sizes);
	rtab_wrr_free(p->wrr);
	lb_free(p->lb);
	sys_ticker_free(p->memb_ticker);
	memb_free(p->memb);
	g_hash_table_unref(p->dirty_services);
	rtab_unref(p->rtab);
	reg_free(p->reg);
	stats_free(p->stats);
	budget_free(p->budget);
	g_rand_free(p->rand);
}

/* The process ends: its connections close. */
static void
on_stopped(void *arg)
{
	stopped_at = paused_now;
	node_end(&node[0]);
}

/* ---- the callers ---- */

/* TRUE if the node that the caller uses has ended. */
static gboolean
ended(const struct caller *c)
{
	return c->entry == 0 && stopped_at != 0;
}

static void
caller_connect(struct caller *c)
{
	GSocketAddress *a =
	    rpcio_address(hosts[c->entry], ports[c->entry], NULL);

	c->sock = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
	    G_SOCKET_PROTOCOL_TCP, NULL);
	/* So that a large answer waits at the node until it is read. */
	g_socket_set_option(c->sock, SOL_SOCKET, SO_RCVBUF, 4096, NULL);
	if (!g_socket_connect(c->sock, a, NULL, NULL))
		c->closed = TRUE;
	g_socket_set_blocking(c->sock, FALSE);
	g_object_unref(a);
}

static void
caller_send_head(struct caller *c)
{
	GString *s = g_string_new("POST /x HTTP/1.1\r\nHost: h\r\n");

	g_string_append_printf(
	    s, "X-Primrosetide-Attempt-Id: %s\r\nContent-Length: 4\r\n", c->id);
	if (c->asked > 0)
		g_string_append_printf(s, "X-Primrosetide-Deadline-Ms: %d\r\n",
		    (int)(c->asked / MS));
	g_string_append(s, "\r\nabc");
	g_socket_send(c->sock, s->str, s->len, NULL, NULL);
	g_string_free(s, TRUE);
}

/* Counts the complete answers among the bytes that have arrived. */
static void
caller_parse(struct caller *c)
{
	const char *p = c->got->str, *body, *length;
	gsize left = c->got->len, need;

	c->answers = 0;
	while ((body = g_strstr_len(p, (gssize)left, "\r\n\r\n")) != NULL) {
		body += 4;
		length = g_strstr_len(p, body - p, "Content-Length: ");
		ck_assert_ptr_nonnull(length);
		need = (gsize)g_ascii_strtoull(
		    length + strlen("Content-Length: "), NULL, 10);
		if (left - (gsize)(body - p) < need)
			return;
		c->answers++;
		c->status = atoi(p + strlen("HTTP/1.1 "));
		left -= (gsize)(body - p) + need;
		p = body + need;
	}
}

static void
caller_receive(struct caller *c)
{
	char buf[16384];
	gssize n;

	while ((n = loop_recv(c->sock, buf, sizeof(buf))) > 0)
		g_string_append_len(c->got, buf, n);
	if (n != -1)
		c->closed = TRUE;
	caller_parse(c);
}

static void
caller_act(struct caller *c)
{
	if (c->opened != 0 && paused_now >= c->opened && c->sock == NULL)
		caller_connect(c);
	if (paused_now < c->start || (ended(c) && !c->begun))
		return;
	if (!c->begun) {
		if (c->sock == NULL)
			caller_connect(c);
		c->begun = TRUE;
		if (!c->closed)
			caller_send_head(c);
	}
	if (!c->closed && !c->sent && paused_now >= c->whole)
		c->sent = g_socket_send(c->sock, "d", 1, NULL, NULL) == 1;
	if (!c->closed && paused_now >= c->read)
		caller_receive(c);
}

static gint64
between(gint64 low, gint64 high)
{
	return low + (gint64)(g_rand_double(rnd) * (double)(high - low));
}

/* Draws a request that is sent at a random time from "from" to "to". */
static void
caller_draw(struct caller *c, int i, gint64 mean, gint64 from, gint64 to)
{
	memset(c, 0, sizeof(*c));
	g_snprintf(c->id, sizeof(c->id), "%d", i);
	c->entry = i % 4 == 3;
	c->got = g_string_new(NULL);
	c->start = c->whole = between(from, to);
	if (i % 6 == 0)
		c->whole += between(0, 4 * SECOND);
	c->run = (gint64)(-log(1 - g_rand_double(rnd)) * (double)mean);
	c->run = MIN(c->run, RUN_MAX);
	if (i % 3 == 0)
		c->asked = between(200 * MS, 2 * timeout);
	c->size = i % 5 == 0 ? LARGE : 3;
	c->read = c->size == LARGE ? c->whole + between(0, 2 * SECOND) : 0;
}

/* ---- what the callers were promised ---- */

/*
 * A request that was read has exactly one answer, which the log agrees with;
 * one that is refused never runs.
 */
static void
check_answers(const struct caller *c)
{
	gint64 end = c->entry == 0 ? stopped_at : G_MAXINT64;
	gboolean owed = c->sent && c->whole + READ_TIME < end;
	gboolean slow = c->read + SECOND > end;

	ck_assert_uint_le(c->answers, 1);
	if (owed && !slow)
		ck_assert_msg(c->answers == 1,
		    "%s: no answer, sent %d ms before the end, status=%d "
		    "reason=%s",
		    c->id, (int)((end - c->whole) / MS), c->log_status,
		    c->log_reason);
	ck_assert_uint_le(c->runs, route_kind == RTAB_ONCE ? 1 : ATTEMPTS);
	if (c->status == 503 || c->status == 408)
		ck_assert_msg(c->runs == 0, "%s: refused with %d, but it ran",
		    c->id, c->status);
	if (c->status == 200)
		ck_assert_uint_ge(c->runs, 1);
	ck_assert_uint_le(c->logged, 1);
	if (c->answers == 1)
		ck_assert_int_eq(c->log_status, c->status);
	ck_assert_str_ne(c->log_reason, "caller-left");
	if (c->runs > 0)
		ck_assert_uint_eq(c->logged, 1);
}

/*
 * Only a request that may take longer than this node lasts is answered before
 * the server has: one that is at work, or that could not be taken back.
 */
static void
check_cut(const struct caller *c, gint64 kill)
{
	gint64 wait = c->asked > 0 ? MIN(c->asked, timeout) : timeout;

	if (c->status != 502)
		return;
	if (c->entry != 0) {
		ck_assert_int_ge(c->runs, 1);
		return;
	}
	ck_assert_str_eq(c->log_reason, "stopping");
	ck_assert_int_ge(c->runs, 1);
	ck_assert_int_gt(c->start + wait, kill - (kill - SIGNAL) / 3);
}

/* The store is not called: the timer of the first call is cancelled. */
static void
stop(struct proxy *p)
{
	if (p->stopping)
		return;
	p->discovery = discovery_new(p);
	stop_begin(p);
}

/* Starts the nodes with a grace time and a route of this kind. */
static void
begin(guint32 seed, gint64 grace, enum rtab_kind kind)
{
	int i;

	route_kind = kind;
	paused_now = BEGIN;
	stopped_at = 0;
	dgram_iface.send = no_dgram;
	for (i = 0; i < NODES; i++)
		node_begin(i, kind);
	for (i = 0; i < NODES; i++)
		node_join(i);
	node[0].set.grace = grace;
	node[0].p.stopped = on_stopped;
}

/* Lets the callers act until "end"; stops the first node on its way. */
static void
act_until(gint64 end)
{
	int i;

	while (paused_now < end) {
		if (paused_now >= SIGNAL && stopped_at == 0)
			stop(&node[0].p);
		for (i = 0; i < CALLERS; i++)
			caller_act(&caller[i]);
		advance(STEP);
	}
}

static void
end(void)
{
	int i;

	if (stopped_at == 0)
		node_end(&node[0]);
	node_end(&node[1]);
	for (i = 0; i < CALLERS; i++) {
		if (caller[i].sock != NULL)
			loop_close(caller[i].sock);
		g_string_free(caller[i].got, TRUE);
	}
	settle();
	for (i = 0; i < NODES; i++)
		h1_server_free(node[i].server);
	settle();
	g_rand_free(rnd);
}

static void
play(guint32 seed)
{
	static const gint64 graces[] = { 1, 2, 3, 6, 10 };
	static const gint64 timeouts[] = { 500, 2000, 4000, 8000, 12000 };
	static const gint64 means[] = { 50, 300, 900 };
	gint64 grace, mean, kill;
	int i;

	rnd = g_rand_new_with_seed(seed);
	grace = graces[g_rand_int_range(rnd, 0, 5)] * SECOND;
	timeout = timeouts[g_rand_int_range(rnd, 0, 5)] * MS;
	mean = means[g_rand_int_range(rnd, 0, 3)] * MS;
	kill = SIGNAL + grace;
	begin(seed, grace, g_rand_boolean(rnd) ? RTAB_ONCE : RTAB_IDEMPOTENT);
	for (i = 0; i < CALLERS; i++)
		caller_draw(&caller[i], i, mean, BEGIN,
		    i % 8 == 0 ? kill : SIGNAL + 2 * SECOND);
	act_until(kill);
	ck_assert_msg(stopped_at != 0, "seed %u: killed", seed);
	/* A request that was refused must not run later either. */
	act_until(kill + RUN_MAX);
	for (i = 0; i < CALLERS; i++) {
		if (caller[i].sock != NULL)
			caller_receive(&caller[i]);
		check_answers(&caller[i]);
		check_cut(&caller[i], kill);
	}
	end();
}

/* Seeds of the random plays. */
#define SEEDS 24

/*
 * Guards against requests that a planned stop cuts off without an answer: those
 * that wait at this node or another one, run, arrive, or are answered in part
 * when the process ends.
 */
START_TEST(stopping_node_answers_every_request)
{
	play((guint32)_i + 1);
}
END_TEST

/*
 * Guards against a request that fails as its server, which calls others through
 * the node beside it, is refused a connection there while the node stops.
 */
START_TEST(server_at_work_can_make_calls_while_its_node_stops)
{
	int i;

	rnd = g_rand_new_with_seed(1);
	timeout = 4 * SECOND;
	begin(1, 6 * SECOND, RTAB_IDEMPOTENT);
	for (i = 0; i < CALLERS; i++)
		caller_draw(&caller[i], i, SECOND, NEVER, NEVER);
	/* Some of these run beside the node until 3.5 s after the signal. */
	for (i = 0; i < 2 * SLOTS - 1; i++) {
		caller[i] = (struct caller){ .got = caller[i].got,
			.start = SIGNAL + 500 * MS,
			.whole = SIGNAL + 500 * MS,
			.run = 3 * SECOND,
			.size = 1 };
		g_snprintf(caller[i].id, sizeof(caller[i].id), "%d", i);
	}
	/* The call of a server, on a new connection. */
	caller[i].start = caller[i].whole = SIGNAL + 3 * SECOND;
	caller[i].entry = 0;
	caller[i].run = 50 * MS;
	caller[i].asked = 600 * MS;
	caller[i].size = 1;
	caller[i].read = 0;
	act_until(SIGNAL + 6 * SECOND);
	ck_assert_msg(caller[i].status == 200, "status %d reason %s",
	    caller[i].status, caller[i].log_reason);
	for (i = 0; i < 2 * SLOTS - 1; i++)
		ck_assert_int_eq(caller[i].status, 200);
	end();
}
END_TEST

/*
 * Guards against a request that is cut off without an answer as its caller
 * connects just before idle connections are closed, and against a stop that
 * waits for a caller that sends nothing.
 */
START_TEST(first_request_on_a_connection_is_answered)
{
	int i;

	rnd = g_rand_new_with_seed(1);
	timeout = 4 * SECOND;
	begin(1, 6 * SECOND, RTAB_ONCE);
	for (i = 0; i < CALLERS; i++)
		caller_draw(&caller[i], i, SECOND, NEVER, NEVER);
	for (i = 0; i < 4; i++) {
		caller[i].entry = 0;
		caller[i].opened = SIGNAL + 2450 * MS;
		caller[i].run = 50 * MS;
		caller[i].size = 1;
		caller[i].read = 0;
	}
	for (i = 0; i < 3; i++)
		caller[i].start = caller[i].whole =
		    caller[i].opened + (i + 1) * 60 * MS;
	act_until(SIGNAL + 6 * SECOND);
	for (i = 0; i < 3; i++) {
		ck_assert_uint_eq(caller[i].answers, 1);
		check_answers(&caller[i]);
	}
	ck_assert_int_ne(stopped_at, 0);
	ck_assert_int_lt(stopped_at, SIGNAL + 3 * SECOND);
	end();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("stop");
	TCase *t = tcase_create("answers");

	tcase_add_loop_test(t, stopping_node_answers_every_request, 0, SEEDS);
	tcase_add_test(t, server_at_work_can_make_calls_while_its_node_stops);
	tcase_add_test(t, first_request_on_a_connection_is_answered);
	suite_add_tcase(suite, t);
	return suite_run(suite);
}
