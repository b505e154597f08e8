/* Tests of core/memb: one instance, and many in a simulated network. */
#include <glib.h>
#include <check.h>
#include <math.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#include "dist.h"
#include "fakenet.h"
#include "run.h"

#define FUZZ_ROUNDS 200000
#define PAGED_MEMBERS 1500 /* their list takes several responses */

/* ---- one instance whose datagrams and calls end in the test ---- */

struct solo {
	gint64 now;
	struct pt_clock clock;
	GRand *rand;
	struct pt_dgram dgram;
	struct pt_rpc rpc;
	struct memb *m;
	struct memb *peer; /* responds to calls and pings, NULL: no response */
	guint sent; /* datagrams */
	guint acks; /* PT_ACK datagrams sent */
	gsize largest; /* bytes of the largest datagram */
};

static gint64
solo_now(void *ctx)
{
	return ((struct solo *)ctx)->now;
}

static void
ack(struct solo *s, const struct pt_gossip *ping)
{
	struct pt_gossip g = { 0 };
	GBytes *b;
	const void *p;
	gsize n;

	g.proto = PT_PROTO;
	g.kind = PT_ACK;
	g.nonce = ping->nonce;
	g.from = g.target = ping->target;
	b = pt_encode((xdrproc_t)xdr_pt_gossip, &g);
	p = g_bytes_get_data(b, &n);
	memb_input(s->m, p, n);
	g_bytes_unref(b);
}

static void
solo_send(void *ctx, const char *host, guint port, const void *data, gsize len)
{
	struct solo *s = ctx;
	struct pt_gossip g = { 0 };

	s->sent++;
	s->largest = MAX(s->largest, len);
	ck_assert(
	    pt_decode((xdrproc_t)xdr_pt_gossip, &g, sizeof(g), data, len));
	s->acks += g.kind == PT_ACK;
	if (s->peer != NULL && g.kind == PT_PING)
		ack(s, &g);
	xdr_free((xdrproc_t)xdr_pt_gossip, (char *)&g);
}

static void
solo_call(void *ctx, const char *host, guint port, guint proc, const void *args,
    guint timeout_ms, pt_rpc_cb cb, void *arg)
{
	struct solo *s = ctx;
	struct pt_members_res res;
	GError *err;

	if (s->peer != NULL) {
		memb_handle_members(s->peer, args, &res);
		cb(arg, &res, NULL);
		memb_members_clear(&res);
		return;
	}
	err = g_error_new(PT_ERROR, PT_ERROR_UNREACHABLE, "none");
	cb(arg, NULL, err);
	g_error_free(err);
}

static struct pt_member
member(const char *name, gint64 inc, guint seq, enum pt_health health)
{
	struct pt_member u = { 0 };

	u.instance = (char *)name;
	u.incarnation = inc;
	u.seq = seq;
	u.health = health;
	u.state = seq > 1 ? PT_SERVING : PT_WARMING;
	u.host = "127.0.0.2";
	u.rpc_port = 1;
	u.gossip_port = 2;
	u.http_port = 3;
	u.domain = "rack-1";
	u.region = "north";
	u.service = seq > 2 ? "bookings" : "records";
	u.slots = (int)seq;
	return u;
}

static void
solo_init(struct solo *s, guint32 seed)
{
	struct pt_member self = member("me", 100, 1, PT_ALIVE);
	struct memb_opts o = { 0 };

	memset(s, 0, sizeof(*s));
	s->now = 1000 * FN_US;
	s->clock = (struct pt_clock){ solo_now, s };
	s->rand = g_rand_new_with_seed(seed);
	s->dgram = (struct pt_dgram){ solo_send, s };
	s->rpc = (struct pt_rpc){ solo_call, s };
	o.self = &self;
	o.clock = &s->clock;
	o.rand = s->rand;
	o.dgram = &s->dgram;
	o.rpc = &s->rpc;
	s->m = memb_new(&o);
}

static void
solo_done(struct solo *s)
{
	memb_free(s->m);
	g_rand_free(s->rand);
}

static void
deliver(struct solo *s, enum pt_gossip_kind kind, const char *from,
    const char *target, struct pt_member *u, guint n)
{
	struct pt_gossip g = { 0 };
	GBytes *b;
	gsize len;
	const void *p;

	g.proto = PT_PROTO;
	g.kind = kind;
	g.nonce = 9;
	g.from = (char *)from;
	g.target = (char *)target;
	g.updates.updates_len = n;
	g.updates.updates_val = u;
	b = pt_encode((xdrproc_t)xdr_pt_gossip, &g);
	p = g_bytes_get_data(b, &len);
	memb_input(s->m, p, len);
	g_bytes_unref(b);
}

static void
deliver_update(struct solo *s, struct pt_member u)
{
	deliver(s, PT_SPREAD, "other", "", &u, 1);
}

/*
 * Guards against tables that differ between nodes: updates arrive in any order
 * and more than once.
 */
START_TEST(merge_in_any_order)
{
	struct pt_member u[] = { member("x", 5, 1, PT_ALIVE),
		member("x", 5, 2, PT_ALIVE), member("x", 5, 1, PT_SUSPECT),
		member("x", 5, 3, PT_ALIVE), member("x", 4, 9, PT_DEAD) };
	const struct memb_member *x;
	struct solo s;
	guint order[5], i, j, k, round;

	for (round = 0; round < 120; round++) {
		solo_init(&s, round);
		for (i = 0; i < 5; i++)
			order[i] = i;
		for (i = 0, k = round; i < 5; i++, k /= 5) {
			j = i + k % (5 - i);
			deliver_update(&s, u[order[j]]);
			deliver_update(&s, u[order[j]]);
			order[j] = order[i];
		}
		x = memb_find(s.m, "x");
		ck_assert_int_eq(x->incarnation, 5);
		ck_assert_uint_eq(x->seq, 3);
		ck_assert_int_eq(x->health, PT_SUSPECT);
		ck_assert_str_eq(x->service, "bookings");
		ck_assert_ptr_eq(
		    memb_next_in_service(s.m, "records", NULL), memb_self(s.m));
		ck_assert_ptr_eq(
		    memb_next_in_service(s.m, "bookings", NULL), x);
		solo_done(&s);
	}
}
END_TEST

/*
 * Guards against an old incarnation that replaces a newer one: delayed updates
 * of the old one arrive after those of the newer one.
 */
START_TEST(old_incarnations_are_ignored)
{
	const struct memb_member *x;
	struct solo s;

	solo_init(&s, 1);
	deliver_update(&s, member("x", 5, 1, PT_ALIVE));
	deliver_update(&s, member("x", 5, 1, PT_DEAD));
	x = memb_find(s.m, "x");
	ck_assert(!memb_present(x));
	deliver_update(&s, member("x", 5, 9, PT_ALIVE));
	ck_assert(!memb_present(x));
	deliver_update(&s, member("x", 6, 1, PT_ALIVE));
	ck_assert(memb_present(x));
	deliver_update(&s, member("x", 5, 9, PT_DEAD));
	ck_assert(memb_present(x));
	ck_assert_int_eq(x->incarnation, 6);
	/* An update of an unknown dead member would circulate for ever. */
	deliver_update(&s, member("y", 5, 1, PT_DEAD));
	ck_assert_ptr_null(memb_find(s.m, "y"));
	solo_done(&s);
}
END_TEST

/* Guards against a live node that others hold suspect or dead for good. */
START_TEST(wrong_entries_of_self_are_refuted)
{
	struct solo s;

	solo_init(&s, 1);
	deliver_update(&s, member("me", 99, 5, PT_DEAD));
	ck_assert_int_eq(memb_self(s.m)->incarnation, 100);
	deliver_update(&s, member("me", 100, 1, PT_SUSPECT));
	ck_assert_int_eq(memb_self(s.m)->incarnation, 101);
	deliver_update(&s, member("me", 500, 1, PT_ALIVE));
	ck_assert_int_eq(memb_self(s.m)->incarnation, 501);
	ck_assert_int_eq(memb_self(s.m)->health, PT_ALIVE);
	/* An instance that has left refutes nothing. */
	memb_leave(s.m);
	deliver_update(&s, member("me", 501, 1, PT_DEAD));
	ck_assert_int_eq(memb_self(s.m)->incarnation, 501);
	ck_assert(!memb_present(memb_self(s.m)));
	solo_done(&s);
}
END_TEST

/*
 * Guards against a stopped instance that counts as alive: another instance at
 * its address acknowledges the pings.
 */
START_TEST(ping_for_another_instance_is_ignored)
{
	struct pt_member x;
	struct solo s;

	solo_init(&s, 1);
	x = member("x", 5, 1, PT_ALIVE);
	deliver(&s, PT_PING, "x", "me", &x, 1);
	ck_assert_uint_eq(s.acks, 1);
	deliver(&s, PT_PING, "x", "former", &x, 1);
	ck_assert_uint_eq(s.acks, 1);
	solo_done(&s);
}
END_TEST

/*
 * Guards against a paused process that suspects other members, or declares a
 * suspect dead, for acks that it missed during the pause.
 */
START_TEST(pause_is_no_evidence_of_failure)
{
	const struct memb_member *x;
	struct solo s;
	guint i;

	solo_init(&s, 1);
	deliver_update(&s, member("x", 5, 1, PT_ALIVE));
	x = memb_find(s.m, "x");
	while (s.largest == 0 || s.sent < 2) {
		s.now += 50 * FN_MS;
		memb_tick(s.m);
	}
	for (i = 0; i < 10; i++) { /* with and without a ping in progress */
		s.now += 50 * FN_MS;
		memb_tick(s.m);
		if (x->health != PT_ALIVE)
			break;
		s.now += 30 * FN_US;
		memb_tick(s.m);
		ck_assert_int_eq(x->health, PT_ALIVE);
	}
	deliver_update(&s, member("x", 5, 1, PT_SUSPECT));
	memb_tick(s.m);
	s.now += 30 * FN_US;
	memb_tick(s.m);
	ck_assert_int_eq(x->health, PT_SUSPECT);
	for (i = 0; i < 40; i++) {
		s.now += 100 * FN_MS;
		memb_tick(s.m);
	}
	ck_assert_int_eq(x->health, PT_DEAD);
	solo_done(&s);
}
END_TEST

/*
 * Guards against a member list that loses members, or is fetched without end,
 * because it takes several responses.
 */
START_TEST(member_list_of_many_pages)
{
	struct pt_members_args a = { 0 };
	struct pt_members_res r;
	struct solo from, to;
	char name[16];
	guint i, calls = 0;

	solo_init(&from, 1);
	solo_init(&to, 2);
	for (i = 0; i < PAGED_MEMBERS; i++) {
		g_snprintf(name, sizeof(name), "m%u", i);
		deliver_update(&from, member(name, 5, 1, PT_ALIVE));
	}
	a.proto = PT_PROTO;
	a.from = "x";
	do {
		memb_handle_members(from.m, &a, &r);
		ck_assert_uint_le(r.members.members_len, PT_MEMBERS_MAX);
		for (i = 0; i < r.members.members_len; i++)
			deliver_update(&to, r.members.members_val[i]);
		a.start = r.next;
		memb_members_clear(&r);
	} while (a.start > 0 && ++calls < PT_BUCKETS);
	ck_assert_uint_eq(memb_count(to.m), PAGED_MEMBERS + 1);
	ck_assert_uint_le(calls, PAGED_MEMBERS / 256);
	solo_done(&from);
	solo_done(&to);
}
END_TEST

/*
 * Guards against anti-entropy that stops after the first exchange, or that only
 * updates nodes that are joining.
 */
START_TEST(exchange_repeats)
{
	struct solo from, to;
	char name[16];
	guint i, k;

	solo_init(&from, 1);
	solo_init(&to, 2);
	to.peer = from.m;
	deliver_update(&to, member("x", 5, 1, PT_ALIVE));
	for (i = 0; i < 5; i++) {
		g_snprintf(name, sizeof(name), "m%u", i);
		deliver_update(&from, member(name, 5, 1, PT_ALIVE));
		for (k = 0; k < 400; k++) { /* 40 s: the period is 30 s */
			to.now += 100 * FN_MS;
			memb_tick(to.m);
		}
		ck_assert_ptr_nonnull(memb_find(to.m, name));
	}
	solo_done(&to);
	solo_done(&from);
}
END_TEST

/* Guards against datagrams over the size limit when names are long. */
START_TEST(updates_fit_a_datagram)
{
	struct solo s;
	struct pt_member u;
	char name[65], text[65];
	guint i;

	solo_init(&s, 1);
	for (i = 0; i < 200; i++) {
		memset(name, 'a', sizeof(name) - 1);
		memset(text, 'b', sizeof(text) - 1);
		name[64] = text[64] = '\0';
		g_snprintf(name, 8, "%06u", i);
		name[6] = 'c';
		name[i % 60 + 4] = i % 2 ? '\0' : 'c';
		text[i % 64] = i % 2 ? '\0' : 'c';
		u = member(name, 5, 1, PT_ALIVE);
		u.service = u.region = text;
		u.domain = name;
		deliver_update(&s, u);
		s.now += 100 * FN_MS;
		memb_tick(s.m);
	}
	/* The limit of 900 bytes bounds the bytes sent per second. */
	ck_assert_uint_gt(s.largest, 800);
	ck_assert_uint_le(s.largest, 900);
	solo_done(&s);
}
END_TEST

/*
 * Guards against gossip that exceeds the 17 KB a second of a node after a start
 * of all nodes at once, or that does not stop after that.
 */
START_TEST(gossip_rate_after_mass_start)
{
	struct fn *f = fn_new(18, 100, 10, FALSE);
	guint64 before, most = 0;
	guint i, t;

	fn_start_all(f);
	for (t = 0; t < 60; t++) {
		before = f->nodes[7].bytes_out;
		fn_run(f, FN_US);
		most = MAX(most, f->nodes[7].bytes_out - before);
	}
	ck_assert_uint_le(most, 17000);
	ck_assert(fn_members_converged(f));
	before = f->nodes[7].bytes_out;
	fn_run(f, 10 * FN_US);
	/* Only pings and acks are left, of less than 100 bytes each. */
	ck_assert_uint_le(f->nodes[7].bytes_out - before, 10 * 4 * 100);
	for (i = 0; i < 100; i++)
		ck_assert_uint_eq(f->nodes[i].false_dead, 0);
	fn_free(f);
}
END_TEST

/* Guards against malformed datagrams that are accepted or cause a crash. */
START_TEST(malformed_datagrams)
{
	struct pt_member u = member("x", 5, 1, PT_ALIVE);
	struct pt_gossip g = { 0 };
	GRand *r = g_rand_new_with_seed(77);
	struct solo s;
	guint8 buf[MEMB_DGRAM_MAX + 64];
	const guint8 *p;
	guint i, k, n, flips;
	gsize len;
	GBytes *b;

	solo_init(&s, 1);
	g.proto = PT_PROTO;
	g.from = "x";
	g.target = "me";
	g.updates.updates_len = 1;
	g.updates.updates_val = &u;
	b = pt_encode((xdrproc_t)xdr_pt_gossip, &g);
	p = g_bytes_get_data(b, &len);
	for (i = 0; i < FUZZ_ROUNDS; i++) {
		if (i % 2 == 0) {
			n = g_rand_int_range(r, 0, sizeof(buf));
			for (k = 0; k < MIN(n, 64); k++)
				buf[k] = g_rand_int_range(r, 0, 256);
		} else {
			memcpy(buf, p, len);
			n = len;
			flips = g_rand_int_range(r, 1, 4);
			for (k = 0; k < flips; k++)
				buf[g_rand_int_range(r, 0, (gint32)len)] =
				    g_rand_int_range(r, 0, 256);
			if (i % 8 == 1)
				n = g_rand_int_range(r, 0, (gint32)len);
		}
		memb_input(s.m, buf, n);
		if (i % 100 == 0) {
			s.now += 200 * FN_MS;
			memb_tick(s.m);
		}
	}
	ck_assert_uint_gt(memb_stats(s.m)->malformed, FUZZ_ROUNDS / 2);
	ck_assert_uint_le(memb_count(s.m), 16384);
	ck_assert_uint_le(s.largest, MEMB_DGRAM_MAX);
	ck_assert_int_eq(memb_self(s.m)->health, PT_ALIVE);
	/* Valid updates are still accepted. */
	deliver_update(&s, member("late", 5, 1, PT_ALIVE));
	ck_assert_ptr_nonnull(memb_find(s.m, "late"));
	g_bytes_unref(b);
	g_rand_free(r);
	solo_done(&s);
}
END_TEST

/* ---- many nodes in a simulated network ---- */

/* Starts nodes and waits until each has the complete membership. */
static struct fn *
start_converged(guint32 seed, guint n, guint domains)
{
	struct fn *f = fn_new(seed, n, domains, FALSE);

	fn_start_all(f);
	ck_assert_int_ge(fn_until(f, fn_members_converged, 20 * FN_US), 0);
	fn_run(f, 10 * FN_US);
	return f;
}

static guint64
sum_suspected(struct fn *f)
{
	guint64 n = 0;
	guint i;

	for (i = 0; i < f->n; i++)
		n += memb_stats(f->nodes[i].memb)->suspected;
	return n;
}

static guint
sum_false_dead(struct fn *f)
{
	guint i, n = 0;

	for (i = 0; i < f->n; i++)
		n += f->nodes[i].false_dead;
	return n;
}

/*
 * Guards against members missing from some tables: datagrams are lost,
 * duplicated and reordered while all nodes join.
 */
START_TEST(all_members_join)
{
	struct fn *f = fn_new(11, 100, 10, FALSE);

	f->loss = 0.02;
	f->dup = 0.05;
	f->delay_max = 50 * FN_MS; /* reorders datagrams */
	fn_start_all(f);
	ck_assert_int_ge(fn_until(f, fn_members_converged, 20 * FN_US), 0);
	ck_assert_uint_eq(sum_false_dead(f), 0);
	fn_free(f);
}
END_TEST

static gboolean
all_have_draining(struct fn *f)
{
	guint i;

	for (i = 0; i < f->n; i++) {
		if (memb_find(f->nodes[i].memb, "up-0007")->state !=
		    PT_DRAINING)
			return FALSE;
	}
	return TRUE;
}

static guint announced_slots;

static gboolean
all_have_slots(struct fn *f)
{
	guint i;

	for (i = 0; i < f->n; i++) {
		if (memb_find(f->nodes[i].memb, "up-0007")->slots !=
		    announced_slots)
			return FALSE;
	}
	return TRUE;
}

/*
 * Guards against announcements that reach some node only by anti-entropy, as
 * they do if received duplicates count as sends while the queue is short.
 */
START_TEST(announcements_reach_all)
{
	struct fn *f = start_converged(19, 100, 10);
	guint i;

	f->loss = 0.01;
	for (i = 0; i < 60; i++) {
		announced_slots = 100 + i;
		memb_announce(
		    f->nodes[7].memb, PT_SERVING, "svc", announced_slots);
		fn_tick_now(f, 7);
		ck_assert_int_ge(fn_until(f, all_have_slots, 3 * FN_US), 0);
		fn_run(f, 2 * FN_US);
	}
	fn_free(f);
}
END_TEST

static gboolean
all_have_left(struct fn *f)
{
	guint i;

	for (i = 0; i < f->n; i++) {
		if (f->nodes[i].up &&
		    memb_present(memb_find(f->nodes[i].memb, "up-0007")))
			return FALSE;
	}
	return TRUE;
}

/*
 * Guards against requests sent to an instance that is draining or has left: its
 * announcements do not reach every node in time.
 */
START_TEST(leave_reaches_all)
{
	struct fn *f = start_converged(12, 100, 10);

	f->loss = 0.01;
	memb_announce(f->nodes[7].memb, PT_DRAINING, "svc", 12);
	fn_tick_now(f, 7);
	ck_assert_int_ge(fn_until(f, all_have_draining, 3 * FN_US), 0);
	memb_leave(f->nodes[7].memb);
	fn_tick_now(f, 7);
	fn_run(f, FN_US); /* the process stops a second later */
	fn_kill(f, 7, FALSE);
	ck_assert_int_ge(fn_until(f, all_have_left, 2 * FN_US), 0);
	fn_free(f);
}
END_TEST

/*
 * Guards against routing to crashed instances.  Bound of docs/membership.md: in
 * 999 of 1,000 crashes some node probes within 7 s; then follow the probe
 * period, the suspicion time, and 2 s until the update has spread.
 */
START_TEST(crash_is_detected_in_time)
{
	struct fn *f = start_converged(13, 100, 10);
	gint64 bound = 7 * FN_US + FN_US + memb_suspicion_us(100) + 2 * FN_US;
	guint i;

	for (i = 0; i < 10; i++) {
		fn_kill(f, 10 * i + i, TRUE);
		ck_assert_int_ge(fn_until(f, fn_members_converged, bound), 0);
	}
	ck_assert_uint_eq(sum_false_dead(f), 0);
	fn_free(f);
}
END_TEST

/* Guards against a failed call that does not trigger a probe at once. */
START_TEST(failed_call_triggers_probe)
{
	struct fn *f = start_converged(14, 100, 10);

	fn_kill(f, 5, TRUE);
	memb_report_failure(f->nodes[50].memb, "up-0005");
	fn_tick_now(f, 50);
	ck_assert_int_ge(fn_until(f, fn_members_converged,
			     FN_US + memb_suspicion_us(100) + 2 * FN_US),
	    0);
	fn_free(f);
}
END_TEST

/*
 * Guards against live members declared dead because datagrams are lost.  A
 * probe fails if the ping or its ack is lost, and on each of the 3 indirect
 * paths one of 4 datagrams.  The bound on suspicions is the mean number of
 * failed probes plus four standard deviations.  No member may be declared dead,
 * since a suspect refutes within the suspicion time.
 */
static void
check_loss(double loss)
{
	struct fn *f = start_converged(15, 100, 10);
	guint64 before = sum_suspected(f);
	double kept = 1 - loss, p, mean;

	f->loss = loss;
	fn_run(f, 300 * FN_US);
	p = (1 - pow(kept, 2)) * pow(1 - pow(kept, 4), 3);
	mean = 100 * 300 * p;
	ck_assert_double_le(
	    (double)(sum_suspected(f) - before), mean + 4 * sqrt(mean) + 1);
	ck_assert_uint_eq(sum_false_dead(f), 0);
	f->loss = 0;
	ck_assert_int_ge(fn_until(f, fn_members_converged, 10 * FN_US), 0);
	fn_free(f);
}

START_TEST(loss_of_1_percent)
{
	check_loss(0.01);
}
END_TEST

START_TEST(loss_of_5_percent)
{
	check_loss(0.05);
}
END_TEST

/* Guards against a process that suspects other members as it resumes. */
START_TEST(paused_process_suspects_nobody)
{
	struct fn *f = start_converged(16, 50, 5);
	guint64 before;

	fn_pause(f, 3);
	fn_run(f, 30 * FN_US);
	before = memb_stats(f->nodes[3].memb)->suspected;
	fn_resume(f, 3);
	fn_run(f, 3 * FN_US);
	ck_assert_uint_eq(memb_stats(f->nodes[3].memb)->suspected, before);
	ck_assert_int_ge(fn_until(f, fn_members_converged, 10 * FN_US), 0);
	ck_assert_uint_eq(f->nodes[3].false_dead, 0);
	fn_free(f);
}
END_TEST

/*
 * Guards against a quickly restarted instance that nodes take for its previous
 * process, whose entry they still hold.
 */
START_TEST(restarted_instance_replaces_old)
{
	struct fn *f = start_converged(17, 50, 5);
	gint64 old = memb_self(f->nodes[9].memb)->incarnation;
	guint i;

	fn_kill(f, 9, FALSE);
	fn_run(f, 100 * FN_MS);
	fn_start(f, 9, TRUE);
	ck_assert_int_ge(fn_until(f, fn_members_converged, 5 * FN_US), 0);
	fn_run(f, 3 * FN_US);
	for (i = 0; i < f->n; i++)
		ck_assert_int_gt(
		    memb_find(f->nodes[i].memb, "up-0009")->incarnation, old);
	fn_free(f);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("memb");
	TCase *t = tcase_create("one");
	TCase *u = tcase_create("many");

	tcase_set_timeout(t, 0);
	tcase_set_timeout(u, 0);
	tcase_add_test(t, merge_in_any_order);
	tcase_add_test(t, old_incarnations_are_ignored);
	tcase_add_test(t, wrong_entries_of_self_are_refuted);
	tcase_add_test(t, ping_for_another_instance_is_ignored);
	tcase_add_test(t, pause_is_no_evidence_of_failure);
	tcase_add_test(t, member_list_of_many_pages);
	tcase_add_test(t, exchange_repeats);
	tcase_add_test(t, updates_fit_a_datagram);
	tcase_add_test(t, malformed_datagrams);
	tcase_add_test(u, all_members_join);
	tcase_add_test(u, gossip_rate_after_mass_start);
	tcase_add_test(u, announcements_reach_all);
	tcase_add_test(u, leave_reaches_all);
	tcase_add_test(u, crash_is_detected_in_time);
	tcase_add_test(u, failed_call_triggers_probe);
	tcase_add_test(u, loss_of_1_percent);
	tcase_add_test(u, loss_of_5_percent);
	tcase_add_test(u, paused_process_suspects_nobody);
	tcase_add_test(u, restarted_instance_replaces_old);
	suite_add_tcase(s, t);
	suite_add_tcase(s, u);
	return suite_run(s);
}
