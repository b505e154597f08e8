/*
 * Beacons in a simulated mesh: who reads the store, and how often, in calm and
 * while the store is away, slow, or lost to the nodes that read it.
 */
#include <glib.h>
#include <check.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "beacon.h"
#include "run.h"

#define MS G_TIME_SPAN_MILLISECOND
#define SECOND G_TIME_SPAN_SECOND
#define BOUND (2 * SECOND)
#define STEP (5 * MS)
#define HOP (2 * STEP) /* of a datagram */
/* A read of the store that is lost ends after this time. */
#define LOST_US SECOND
/* Earliest time of the next read of a node after one that failed. */
#define RETRY_US (20 * SECOND)
#define NODES_MAX 1000

struct node {
	struct beacon *beacon;
	gboolean cut; /* has lost the store */
	gint64 read_at, read_end; /* of the read in progress, 0: none */
	gint64 read_wait;
	gboolean read_ok;
	guint reads;
};

struct datagram {
	gint64 at;
	guint to;
	struct pt_beacon beacon;
};

static struct {
	gint64 now;
	guint n;
	struct node node[NODES_MAX];
	char name[NODES_MAX][16];
	GQueue *net;
	GRand *rand;
	gboolean down; /* the store answers nobody */
	gint64 delay; /* of its answers */
	guint reads, sent;
} sim;

static gint64
sim_now(void *ctx)
{
	return sim.now;
}

static void
send_to(guint to, const struct pt_beacon *m)
{
	struct datagram *d = g_new(struct datagram, 1);

	d->at = sim.now + HOP;
	d->to = to;
	d->beacon = *m;
	sim.sent++;
	g_queue_push_tail(sim.net, d);
}

static void
cast(guint from, guint targets, gboolean ask)
{
	struct pt_beacon m;

	beacon_put(sim.node[from].beacon, &m, sim.name[from], ask);
	while (targets-- > 0)
		send_to(
		    (guint)g_rand_int_range(sim.rand, 0, (gint32)sim.n), &m);
}

static void
receive(const struct datagram *d)
{
	struct node *x = &sim.node[d->to];
	struct pt_beacon m;

	if (beacon_heard(x->beacon, &d->beacon))
		cast(d->to, BEACON_TARGETS, FALSE);
	if (!beacon_answers(x->beacon, &d->beacon))
		return;
	beacon_put(x->beacon, &m, sim.name[d->to], FALSE);
	send_to((guint)atoi(d->beacon.from), &m);
}

static void
read_begin(struct node *x, gint64 wait)
{
	x->read_ok = !x->cut && !sim.down;
	x->read_at = sim.now;
	x->read_wait = wait;
	x->read_end = sim.now + wait + (x->read_ok ? sim.delay : LOST_US);
	x->reads++;
	sim.reads++;
}

static void
read_end(struct node *x, guint i)
{
	gint64 at = x->read_at + x->read_wait;

	x->read_end = 0;
	if (!x->read_ok || x->cut || sim.down)
		beacon_failed(x->beacon, sim.now + RETRY_US);
	else if (beacon_read(x->beacon, at, sim.now - at))
		cast(i, BEACON_TARGETS, FALSE);
	if (beacon_sending(x->beacon))
		read_begin(x, beacon_cycle(x->beacon));
}

static void
step_node(struct node *x, guint i)
{
	enum beacon_action a;

	if (x->read_end != 0 && sim.now >= x->read_end)
		read_end(x, i);
	a = beacon_tick(x->beacon, sim.n);
	if (a == BEACON_ASK)
		cast(i, BEACON_ASKED, TRUE);
	/* A read that is due takes the place of one that is held open. */
	if (a == BEACON_READ && (x->read_end == 0 || x->read_wait > 0))
		read_begin(x, 0);
}

static void
sim_run(gint64 us)
{
	gint64 end = sim.now + us;
	struct datagram *d;
	guint i;

	for (; sim.now < end; sim.now += STEP) {
		while ((d = g_queue_peek_head(sim.net)) != NULL &&
		       d->at <= sim.now) {
			g_queue_pop_head(sim.net);
			receive(d);
			g_free(d);
		}
		for (i = 0; i < sim.n; i++)
			step_node(&sim.node[i], i);
	}
}

static void
sim_start(guint n)
{
	struct beacon_opts o = { .clock = { .now = sim_now }, .bound = BOUND };
	guint i;

	memset(&sim, 0, sizeof(sim));
	sim.now = 1000 * SECOND;
	sim.n = n;
	sim.delay = STEP;
	sim.net = g_queue_new();
	o.rand = sim.rand = g_rand_new_with_seed(47);
	for (i = 0; i < n; i++) {
		g_snprintf(sim.name[i], sizeof(sim.name[i]), "%u", i);
		sim.node[i].beacon = beacon_new(&o);
		beacon_applied(sim.node[i].beacon, 5);
	}
	sim_run(10 * SECOND);
	sim.reads = sim.sent = 0;
}

static void
sim_stop(void)
{
	guint i;

	g_queue_free_full(sim.net, g_free);
	for (i = 0; i < sim.n; i++)
		beacon_free(sim.node[i].beacon);
	g_rand_free(sim.rand);
}

static guint
senders(void)
{
	guint i, n = 0;

	for (i = 0; i < sim.n; i++)
		n += beacon_sending(sim.node[i].beacon);
	return n;
}

static gint64
oldest(void)
{
	gint64 age = 0;
	guint i;

	for (i = 0; i < sim.n; i++)
		if (!sim.node[i].cut)
			age = MAX(age, beacon_age(sim.node[i].beacon));
	return age;
}

static const guint sizes[] = { 2, 11, 100, NODES_MAX };

/*
 * Guards against calls to the store and datagrams that grow with the nodes, and
 * against two senders in calm.
 */
START_TEST(one_node_reads_for_all)
{
	const guint cycles = 20 * SECOND / (BOUND * 40 / 100);
	guint k;

	sim_start(sizes[_i]);
	ck_assert_uint_eq(senders(), 1);
	for (k = 0; k < 200; k++) {
		sim_run(100 * MS);
		ck_assert_int_lt(oldest(), BOUND * 70 / 100);
	}
	ck_assert_uint_eq(senders(), 1);
	ck_assert_uint_le(sim.reads, cycles + cycles / 4 + 1);
	/* Each node relays each beacon once, and asks seldom. */
	ck_assert_uint_le(
	    sim.sent, cycles * (sim.n + 1) * BEACON_TARGETS * 5 / 4);
	sim_stop();
}
END_TEST

/*
 * Guards against nodes that all call a store that is down, at once or again and
 * again: a few try first, and each tries once.
 */
START_TEST(few_nodes_call_a_store_that_is_down)
{
	guint i;

	sim_start(sizes[_i]);
	sim.down = TRUE;
	while (oldest() < BOUND * 60 / 100)
		sim_run(STEP);
	ck_assert_uint_le(sim.reads, 6 + sim.n / 5);
	sim_run(RETRY_US - BOUND);
	/* The sender's last read comes in addition. */
	ck_assert_uint_le(sim.reads, sim.n + 2);
	sim.down = FALSE;
	sim_run(RETRY_US + 5 * SECOND);
	ck_assert_uint_eq(senders(), 1);
	ck_assert_int_lt(oldest(), BOUND * 70 / 100);
	for (i = 0; i < sim.n; i++)
		ck_assert_int_ge(beacon_age(sim.node[i].beacon), 0);
	sim_stop();
}
END_TEST

/*
 * Guards against nodes that wait for a sender which has lost the store, and for
 * the next ones: a third of the nodes loses it with each sender.
 */
START_TEST(sound_nodes_read_within_the_bound)
{
	guint i, k, m;

	sim_start(sizes[_i]);
	for (k = 0; k < 20; k++) {
		for (i = 0; i < sim.n; i++)
			sim.node[i].cut = beacon_sending(sim.node[i].beacon) ||
					  g_rand_int_range(sim.rand, 0, 3) == 0;
		sim.node[k % MAX(sim.n, 1)].cut = FALSE;
		for (m = 0; m < 40; m++) {
			sim_run(100 * MS);
			ck_assert_int_le(oldest(), BOUND * 75 / 100);
		}
		for (i = 0; i < sim.n; i++)
			sim.node[i].cut = FALSE;
		sim_run(RETRY_US);
	}
	sim_stop();
}
END_TEST

/*
 * Guards against a store that is slow for all nodes and that each of them calls
 * all the time for that reason.
 */
START_TEST(slow_store_is_not_called_more_often)
{
	static const gint64 delays[] = { 100 * MS, 300 * MS, 700 * MS };
	guint k;

	for (k = 0; k < G_N_ELEMENTS(delays); k++) {
		sim_start(100);
		sim.delay = delays[k];
		sim_run(20 * SECOND);
		ck_assert_msg(sim.reads <= 20 * 4 + 2 * sim.n,
		    "delay %u: %u reads", k, sim.reads);
		sim_stop();
	}
}
END_TEST

/*
 * Guards against a beacon that goes round for ever and makes an old
 * configuration look recent.
 */
START_TEST(beacon_counts_once)
{
	struct pt_beacon m = { .proto = PT_PROTO,
		.kind = PT_BEACON,
		.origin = 1,
		.serial = 1,
		.vers = 5 };
	struct beacon *b;

	sim_start(2);
	b = sim.node[0].beacon;
	ck_assert(beacon_heard(b, &m));
	sim.now += SECOND;
	ck_assert(!beacon_heard(b, &m));
	ck_assert_int_ge(beacon_age(b), SECOND);
	/* Nor does one that has come a long way. */
	m.serial++;
	m.hops = 1000;
	ck_assert(!beacon_heard(b, &m));
	/* A newer version counts once it is in force. */
	m.serial++;
	m.vers = 6;
	sim.now += SECOND;
	beacon_heard(b, &m);
	ck_assert_int_ge(beacon_age(b), SECOND);
	beacon_applied(b, 6);
	ck_assert_int_lt(beacon_age(b), SECOND);
	sim_stop();
}
END_TEST

/*
 * Guards against beacons of a node for which alone the store is slow, though
 * another one sends some as well.
 */
START_TEST(slower_sender_stops)
{
	struct pt_beacon m = {
		.proto = PT_PROTO, .kind = PT_BEACON, .serial = 1, .vers = 5
	};
	struct beacon *b;
	guint i;

	for (i = 0; i < 4; i++) {
		sim_start(2);
		b = sim.node[0].beacon;
		sim.now += BOUND;
		beacon_read(b, sim.now, i / 2 * 400 * MS);
		ck_assert(beacon_sending(b));
		m.origin = i % 2 == 0 ? 1 : G_MAXINT64;
		m.delay_ms = i < 2 ? 400 : 0;
		beacon_heard(b, &m);
		ck_assert_int_eq(beacon_sending(b), i < 2);
		sim_stop();
	}
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("beacon");
	TCase *t = tcase_create("mesh");
	const int n = G_N_ELEMENTS(sizes);

	tcase_add_loop_test(t, one_node_reads_for_all, 0, n);
	tcase_add_loop_test(t, few_nodes_call_a_store_that_is_down, 0, n);
	tcase_add_loop_test(t, sound_nodes_read_within_the_bound, 0, n);
	tcase_add_test(t, slow_store_is_not_called_more_often);
	tcase_add_test(t, beacon_counts_once);
	tcase_add_test(t, slower_sender_stops);
	suite_add_tcase(suite, t);
	return suite_run(suite);
}
