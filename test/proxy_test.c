/* Parts of ptproxy: fields between nodes, and nodes that fall silent. */
#include <gio/gio.h>
#include <check.h>
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
#include "platform.h"
#include "proxy.h"
#include "loop.h"
#include "run.h"

#define HOST "127.0.0.1"
#define FUZZ_RUNS 20000
#define FUZZ_SEED 9

static struct h1_head *
head_new(const char *name, const char *value)
{
	struct h1_head *h = g_new0(struct h1_head, 1);
	struct h1_field f = { g_strdup(name), g_strdup(value) };

	h->refs = 1;
	h->method = g_strdup("GET");
	h->target = g_strdup("/x");
	h->length = -1;
	h->fields = g_array_new(FALSE, FALSE, sizeof(struct h1_field));
	g_array_append_val(h->fields, f);
	return h;
}

/* "Name: value\r\n" as a head. */
static struct h1_head *
head_of(GString *s)
{
	char **p = g_strsplit(g_strchomp(s->str), ": ", 2);
	struct h1_head *h = head_new(p[0], p[1]);

	g_strfreev(p);
	g_string_free(s, TRUE);
	return h;
}

static struct work *
work_new(gboolean once)
{
	struct work *w = g_new0(struct work, 1);

	w->refs = 1;
	w->head = head_new("Host", "h");
	w->body = g_bytes_new_static("", 0);
	w->attempt_id = g_strdup("id");
	w->route = g_strdup("r;=%");
	w->service = g_strdup("svc");
	w->caller = g_strdup("other svc");
	w->deadline = pt_now(&sys_clock) + 20 * G_TIME_SPAN_SECOND;
	w->target = w->deadline;
	w->priority = 3;
	w->once = once;
	return w;
}

/* Guards against names that change or merge on the way between nodes. */
START_TEST(fields_between_nodes)
{
	struct work *w = work_new(TRUE);
	struct report r = { .load = { 12, 5, 2, PT_SERVING, { 0, NULL } },
		.cost = 25000 };
	struct failure f = { FAIL_REFUSED, "no-room", 120, NULL };
	GString *s = g_string_new(NULL);
	struct hop_request q;
	struct h1_head *h;
	char *why = NULL;
	int i;

	hop_request_put(s, w, "node-1", w->deadline - 5000);
	h = head_of(s);
	ck_assert(hop_request_read(h, &q));
	ck_assert_str_eq(q.to, "node-1");
	ck_assert_str_eq(q.route, "r;=%");
	ck_assert_str_eq(q.caller, "other svc");
	ck_assert_int_eq(q.left, 5000);
	ck_assert_int_eq(q.priority, 3);
	ck_assert(q.once && !q.returned);
	hop_request_clear(&q);
	h1_head_unref(h);
	work_unref(w);

	for (i = 0; i < PT_RANKS_MAX; i++)
		r.wait_ms[i] = MIN(i, 4) * 10;
	s = g_string_new(NULL);
	hop_report_put(s, &r);
	h = head_of(s);
	memset(&r, 0, sizeof(r));
	ck_assert(hop_report_read(h, &r));
	ck_assert_int_eq(r.load.slots, 12);
	ck_assert_int_eq(r.load.queued, 2);
	ck_assert_int_eq(r.cost, 25000);
	ck_assert_int_eq(r.wait_ms[2], 20);
	ck_assert_int_eq(r.wait_ms[PT_RANKS_MAX - 1], 40);
	h1_head_unref(h);

	s = g_string_new(NULL);
	hop_failure_put(s, &f);
	h = head_of(s);
	ck_assert(hop_failure_read(h, &f, &why));
	ck_assert_int_eq(f.kind, FAIL_REFUSED);
	ck_assert_int_eq(f.retry_ms, 120);
	ck_assert_str_eq(f.reason, "no-room");
	h1_head_unref(h);
	g_free(why);
}
END_TEST

/* Guards against "not run" read from a field that says nothing of the kind. */
START_TEST(unreadable_fields_prove_nothing)
{
	static const char *const fields[] = { "Pt-Hop", "Pt-Load",
		"Pt-Outcome" };
	static const char *const bad[] = { "", ";;;", "kind=9;", "kind=-1;",
		"kind=x;reason=%zz;", "1 2", "a b c d e f" };
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	struct hop_request q;
	struct failure f;
	struct report r;
	struct h1_head *h;
	char *why, text[33];
	guint i;
	int j;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		h = head_new("Pt-Outcome", bad[i]);
		why = NULL;
		ck_assert(hop_failure_read(h, &f, &why));
		ck_assert_int_eq(f.kind, FAIL_LOST);
		g_free(why);
		h1_head_unref(h);
	}
	for (i = 0; i < FUZZ_RUNS; i++) {
		for (j = 0; j < 32; j++)
			text[j] =
			    "to=started;left 0123456789%-"[g_rand_int_range(
				rand, 0, 28)];
		text[32] = '\0';
		h = head_new(fields[i % 3], text);
		why = NULL;
		if (hop_request_read(h, &q))
			hop_request_clear(&q);
		hop_report_read(h, &r);
		if (hop_failure_read(h, &f, &why))
			ck_assert_int_eq(f.kind, FAIL_LOST);
		g_free(why);
		h1_head_unref(h);
	}
	g_rand_free(rand);
}
END_TEST

/* ---- a node that accepts and never answers ---- */

static int failures, kind;
static char reason[64];

static void
on_head(void *ctx, struct h1_head *h, const struct report *r)
{
	ck_abort_msg("a silent node answered");
}

static void
on_body(void *ctx, const char *p, gsize n)
{
}

static void
on_end(void *ctx)
{
}

static void
on_fail(void *ctx, const struct failure *f)
{
	failures++;
	kind = f->kind;
	g_strlcpy(reason, f->reason, sizeof(reason));
}

static int asked; /* whether to give up what a silent node holds */
static gboolean give_up;

static gboolean
on_silent(void *ctx)
{
	asked++;
	return give_up;
}

static const struct xchg_ops ops = { on_head, on_body, on_end, on_fail,
	on_silent };

/*
 * Guards against requests that wait for their deadlines at an instance that
 * lost its power.  What must not run twice is not given back: it may yet be
 * answered.
 */
START_TEST(silent_nodes_are_noticed)
{
	GSocket *l = rpcio_bind(G_SOCKET_TYPE_STREAM, HOST, 0, TRUE, NULL);
	struct proxy p = { .clock = sys_clock };
	struct memb_member m = { .instance = (char *)(guintptr) "n",
		.host = (char *)(guintptr)HOST,
		.http_port = (guint16)rpcio_bound(l) };
	struct work *many = work_new(FALSE), *once = work_new(TRUE);
	struct peers *peers = peers_new(&p);
	struct xchg *x;

	failures = asked = 0;
	give_up = FALSE;
	x = peers_submit(peers, &m, once, &ops, NULL);
	peers_submit(peers, &m, many, &ops, NULL);
	/* A node that stops waits on, and is asked again. */
	UNTIL(asked == 2);
	ck_assert_int_eq(failures, 0);
	give_up = TRUE;
	UNTIL(failures == 1);
	ck_assert_int_eq(kind, FAIL_LOST);
	ck_assert_str_eq(reason, "peer-silent");
	LOOP_IDLE();
	ck_assert_int_eq(failures, 1);
	xchg_cancel(x);
	work_unref(many);
	work_unref(once);
	peers_free(peers);
	loop_hang_up(l);
}
END_TEST

/* Guards against "may have run" for a request that no node has seen. */
START_TEST(unreached_nodes_have_seen_nothing)
{
	GSocket *l = rpcio_bind(G_SOCKET_TYPE_STREAM, HOST, 0, TRUE, NULL);
	struct proxy p = { .clock = sys_clock };
	struct memb_member m = { .instance = (char *)(guintptr) "n",
		.host = (char *)(guintptr)HOST,
		.http_port = (guint16)rpcio_bound(l) };
	struct work *w = work_new(TRUE);
	struct peers *peers = peers_new(&p);

	loop_hang_up(l);
	failures = 0;
	peers_submit(peers, &m, w, &ops, NULL);
	UNTIL(failures == 1);
	ck_assert_int_eq(kind, FAIL_UNREACHED);
	work_unref(w);
	peers_free(peers);
}
END_TEST

/* ---- the backend server beside the node ---- */

static struct {
	const char *status_field; /* of each answer, NULL: a signature */
	int asked, fresh; /* requests, and those on new connections */
} server;

static void
server_asked(void *ctx, struct h1_request *r)
{
	struct h1_field f[] = { { (char *)"X-Primrosetide-Attempt-Id",
				    (char *)h1_head_get(
					r->head, "X-Primrosetide-Attempt-Id") },
		{ (char *)server.status_field, (char *)"1" } };
	struct h1_answer a = { .status =
				   server.status_field != NULL ? 503 : 200,
		.fields = f,
		.n_fields = server.status_field != NULL ? 2 : 1 };

	server.asked++;
	server.fresh += r->data == NULL;
	r->data = &server;
	h1_small_answer(r, &a);
}

static const struct h1_small_ops server_ops = { .request = server_asked };

/* Runs 10 requests one after another at a server that turns them away. */
static void
turned_away(const char *field, enum failure_kind want)
{
	struct h1_small_opts o = { .host = HOST, .ops = &server_ops };
	struct h1_small *s = h1_small_new(&o, NULL);
	struct reg_opts ro = { .clock = sys_clock,
		.address = "",
		.service = "svc",
		.heartbeat = G_TIME_SPAN_MINUTE };
	struct reg_announce beat = { .id = "i-1",
		.service = "svc",
		.address = "",
		.slots = 4,
		.state = REG_SERVING };
	struct plat_settings set = { 0 };
	struct proxy p = { .clock = sys_clock, .set = &set };
	struct h1_field id;
	struct work *w;
	int i;

	set.backend.host = (char *)(guintptr)HOST;
	set.backend.port = h1_small_bound(s);
	p.reg = reg_new(&ro);
	p.stats = stats_new();
	p.budget = budget_new();
	ck_assert_int_eq(reg_announce(p.reg, &beat), REG_NEW);
	p.backend = backend_new(&p);
	memset(&server, 0, sizeof(server));
	server.status_field = field;
	for (i = 0; i < 10; i++) {
		failures = 0;
		w = work_new(FALSE);
		id.name = g_strdup("X-Primrosetide-Attempt-Id");
		id.value = g_strdup(w->attempt_id);
		g_array_append_val(w->head->fields, id);
		backend_submit(p.backend, w, &ops, NULL);
		UNTIL(failures == 1);
		ck_assert_int_eq(kind, want);
		work_unref(w);
	}
	ck_assert_int_eq(server.asked, 10);
	backend_free(p.backend);
	reg_free(p.reg);
	stats_free(p.stats);
	budget_free(p.budget);
	h1_small_free(s);
}

/*
 * Guards against a new connection for each request that an overloaded server
 * turns away, which costs it more than the refusal.
 */
START_TEST(refusals_keep_their_connection)
{
	turned_away("X-Primrosetide-Not-Executed", FAIL_REJECTED);
	ck_assert_int_eq(server.fresh, 1);
}
END_TEST

/* Guards against trust in a connection that brings what no server signed. */
START_TEST(unsigned_successes_spoil_their_connection)
{
	turned_away(NULL, FAIL_LOST);
	ck_assert_int_eq(server.fresh, 10);
}
END_TEST

/* ---- a server at work when the node starts ---- */

static struct {
	int status;
	const char *id;
	int asked;
} health;

static void
health_asked(void *ctx, struct h1_request *r)
{
	struct h1_field f = { (char *)"X-Primrosetide-Instance-Id",
		(char *)health.id };
	struct h1_answer a = { .status = health.status,
		.fields = &f,
		.n_fields = health.id != NULL };

	ck_assert_str_eq(r->head->target, "/well");
	health.asked++;
	h1_small_answer(r, &a);
}

static const struct h1_small_ops health_ops = { .request = health_asked };

static void
no_dgram(void *ctx, const char *host, guint port, const void *data, gsize len)
{
}

static gint64
no_tick(void *arg)
{
	return G_MAXINT64;
}

static struct rtab *
table_new(void)
{
	struct rtab_service s = { .name = (char *)(guintptr) "svc",
		.health_path = (char *)(guintptr) "/well" };
	struct rtab *t = rtab_new(1);

	rtab_add_service(t, &s);
	ck_assert(rtab_build(t, NULL));
	return t;
}

static void
parts_free(struct proxy *p)
{
	adopt_free(p->adopt);
	backend_free(p->backend);
	sys_cancel(&p->rebuild);
	g_hash_table_unref(p->dirty);
	sys_ticker_free(p->memb_ticker);
	memb_free(p->memb);
	g_rand_free(p->rand);
	rtab_unref(p->rtab);
	reg_free(p->reg);
	stats_free(p->stats);
	budget_free(p->budget);
}

/*
 * Asks a server whose health gives this status and id until one answer was
 * read; "left": the server has told that it leaves.  TRUE: it was taken over.
 */
static gboolean
taken_over(int status, const char *id, gboolean left)
{
	struct h1_small_opts o = { .host = HOST, .ops = &health_ops };
	struct h1_small *s = h1_small_new(&o, NULL);
	struct reg_opts ro = { .clock = sys_clock,
		.address = "",
		.service = "svc",
		.heartbeat = G_TIME_SPAN_MINUTE };
	struct plat_settings set = { .service = (char *)(guintptr) "svc" };
	struct proxy p = { .clock = sys_clock, .set = &set };
	struct pt_member self = { .instance = (char *)(guintptr) "self",
		.host = (char *)(guintptr)HOST,
		.domain = (char *)(guintptr) "z",
		.region = (char *)(guintptr) "r",
		.service = (char *)(guintptr) "" };
	struct pt_dgram gram = { .send = no_dgram };
	struct memb_opts mo = { .self = &self,
		.clock = &p.clock,
		.dgram = &gram,
		.rpc = &p.rpc,
		.events = &p.events };
	gboolean taken;

	set.backend.host = (char *)(guintptr)HOST;
	set.backend.port = h1_small_bound(s);
	p.reg = reg_new(&ro);
	p.stats = stats_new();
	p.budget = budget_new();
	mo.rand = p.rand = g_rand_new_with_seed(1);
	p.memb = memb_new(&mo);
	p.memb_ticker = sys_ticker_new(no_tick, NULL);
	p.dirty = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p.backend = backend_new(&p);
	p.adopt = adopt_new(&p);
	p.rtab = table_new();
	health.status = status;
	health.id = id;
	health.asked = 0;
	if (left)
		reg_leave(
		    p.reg, id, g_get_real_time() / G_TIME_SPAN_MILLISECOND);
	adopt_look(p.adopt);
	/* A second question shows that the first answer was read. */
	UNTIL(reg_serving(p.reg) || health.asked == 2);
	taken = reg_serving(p.reg);
	if (taken)
		ck_assert_str_eq(reg_id(p.reg), id);
	parts_free(&p);
	h1_small_free(s);
	return taken;
}

/*
 * Guards against a server at work whose slots stand idle until its next
 * announcement, and against work at one that leaves, has left or is not named.
 */
START_TEST(servers_at_work_are_taken_over)
{
	ck_assert(taken_over(200, "i-1", FALSE));
	ck_assert(!taken_over(503, "i-1", FALSE));
	ck_assert(!taken_over(200, "i-1", TRUE));
	ck_assert(!taken_over(200, NULL, FALSE));
}
END_TEST

/* ---- stop.c ---- */

/*
 * Guards against work that starts at a stopping node and is killed with it: a
 * route may take 3 s, and the last steps of the process half a second.
 */
START_TEST(work_of_a_stopping_node_ends_in_time)
{
	const gint64 ms = G_TIME_SPAN_MILLISECOND;
	gint64 grace;

	for (grace = 3500 * ms; grace <= 60000 * ms; grace += 100 * ms)
		ck_assert_int_le(
		    stop_serves(grace) + 3500 * ms, MAX(grace, 3500 * ms));
	ck_assert_int_eq(stop_serves(1000 * ms), 0);
	/* With the usual 6 s the slots are not idle for most of them. */
	ck_assert_int_ge(stop_serves(6000 * ms), 2000 * ms);
}
END_TEST

/* ---- source.c ---- */

/*
 * Guards against nodes that read every version of a quick series: on a tenth of
 * a core each reading delays the requests of a tenth of a second.
 */
START_TEST(series_of_versions_are_read_together)
{
	const gint64 ms = G_TIME_SPAN_MILLISECOND;
	gint64 now = 0, taken = 0, told;
	int versions = 0;

	/* A node without a version does not wait for long. */
	ck_assert_int_le(source_wait(-1, FALSE, 0.99), 20 * ms);
	/* One that has held its version for a while neither. */
	ck_assert_int_le(source_wait(5000 * ms, FALSE, 0.99), 20 * ms);
	ck_assert_int_eq(source_wait(5000 * ms, TRUE, 0), 150 * ms);
	/* A version each 160 ms for 8 s. */
	for (told = 0; told < 8000 * ms; told += 160 * ms)
		if (told >= now) {
			now = told + source_wait(told - taken, FALSE, 0.5);
			taken = now;
			versions++;
		}
	ck_assert_int_le(versions, 8000 / 400 + 1);
	/* Half of the 2.5 s in which a version must be in force. */
	for (told = 0; told < 1000 * ms; told += 50 * ms)
		ck_assert_int_le(source_wait(told, TRUE, 0.99), 1250 * ms);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("proxy");
	TCase *t = tcase_create("nodes");

	tcase_add_test(t, series_of_versions_are_read_together);
	tcase_add_test(t, fields_between_nodes);
	tcase_add_test(t, unreadable_fields_prove_nothing);
	tcase_add_test(t, silent_nodes_are_noticed);
	tcase_add_test(t, unreached_nodes_have_seen_nothing);
	tcase_add_test(t, refusals_keep_their_connection);
	tcase_add_test(t, unsigned_successes_spoil_their_connection);
	tcase_add_test(t, servers_at_work_are_taken_over);
	tcase_add_test(t, work_of_a_stopping_node_ends_in_time);
	suite_add_tcase(suite, t);
	return suite_run(suite);
}
