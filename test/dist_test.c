/* Tests distribution on a single node and in a simulated network. */
#include <glib.h>
#include <check.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#include "dist.h"
#include "fakenet.h"
#include "run.h"

/* Target: an accepted change is in force at every node within 6 s. */
#define TARGET_US (6 * FN_US)
#define CALLS_MAX 64

/* ---- a single node; the test answers its calls ---- */

/* A call of the node that the test has not answered yet. */
struct held {
	guint proc;
	pt_rpc_cb cb;
	void *arg;
	guint port;
	gboolean once; /* PT_SYNC: to catch up */
};

static struct held held[CALLS_MAX];
static guint n_held;

static void
hold_call(void *ctx, const char *host, guint port, guint proc, const void *args,
    guint timeout_ms, pt_rpc_cb cb, void *arg)
{
	const struct pt_sync_args *a = args;

	ck_assert_uint_lt(n_held, CALLS_MAX);
	held[n_held++] =
	    (struct held){ proc, cb, arg, port, proc == PT_SYNC && a->once };
}

/* Simulates live peers: answers each probe at once. */
static void
ack_send(void *ctx, const char *host, guint port, const void *data, gsize len)
{
	struct fn_node *n = ctx;
	struct pt_gossip g = { 0 }, ack = { 0 };
	struct pt_beacon beacon = { 0 };
	GBytes *b;
	gsize size;
	const void *p;

	if (pt_decode(
		(xdrproc_t)xdr_pt_beacon, &beacon, sizeof(beacon), data, len)) {
		ck_assert_int_eq(beacon.kind, PT_BEACON);
		xdr_free((xdrproc_t)xdr_pt_beacon, (char *)&beacon);
		return;
	}
	ck_assert(
	    pt_decode((xdrproc_t)xdr_pt_gossip, &g, sizeof(g), data, len));
	if (g.kind == PT_PING) {
		ack.proto = PT_PROTO;
		ack.kind = PT_ACK;
		ack.nonce = g.nonce;
		ack.from = ack.target = g.target;
		b = pt_encode((xdrproc_t)xdr_pt_gossip, &ack);
		p = g_bytes_get_data(b, &size);
		memb_input(n->memb, p, size);
		g_bytes_unref(b);
	}
	xdr_free((xdrproc_t)xdr_pt_gossip, (char *)&g);
}

/* Removes a held call of a procedure; FALSE if there is none. */
static int
remove_call(guint proc, struct held *out)
{
	guint i;

	for (i = 0; i < n_held; i++) {
		if (held[i].proc != proc)
			continue;
		*out = held[i];
		held[i] = held[--n_held];
		return 1;
	}
	return 0;
}

static void
add_member(struct fn *f, const char *name, guint port, gint64 position)
{
	struct pt_member u = { (char *)name, 5, 5, 1, PT_ALIVE, PT_SERVING,
		"127.0.0.2", (int)port, (int)port, 1, "rack-0", "region-0",
		"svc", 12 };
	struct pt_gossip g = { 0 };
	GBytes *b;
	gsize n;
	const void *p;

	g.proto = PT_PROTO;
	g.kind = PT_SPREAD;
	g.from = (char *)name;
	g.target = "";
	g.position = position;
	g.updates.updates_len = 1;
	g.updates.updates_val = &u;
	b = pt_encode((xdrproc_t)xdr_pt_gossip, &g);
	p = g_bytes_get_data(b, &n);
	memb_input(f->nodes[0].memb, p, n);
	g_bytes_unref(b);
}

/* Starts a node that is no reader: three members have a higher priority. */
static struct fn *
start_one(void)
{
	struct fn *f = fn_new(5, 1, 1, TRUE);
	guint64 me = memb_hash(f->nodes[0].name);
	char name[16];
	guint i, n;

	n_held = 0;
	f->log.down = TRUE;
	f->nodes[0].rpc.call = hold_call;
	f->nodes[0].dgram.send = ack_send;
	fn_start(f, 0, FALSE);
	for (i = 0, n = 0; n < 3; i++) {
		g_snprintf(name, sizeof(name), "peer-%u", i);
		if (memb_hash(name) > me)
			add_member(f, name, 500 + n++, 0);
	}
	fn_run(f, 4 * FN_US);
	ck_assert(!dist_is_reader(f->nodes[0].dist));
	return f;
}

static void
stop_one(struct fn *f)
{
	GError *err = g_error_new(PT_ERROR, PT_ERROR_UNKNOWN, "end");
	guint i;

	fn_kill(f, 0, TRUE);
	for (i = 0; i < n_held; i++)
		held[i].cb(held[i].arg, NULL, err);
	n_held = 0;
	g_error_free(err);
	fn_free(f);
}

/* Answers a held SYNC with the records "first" to "last". */
static void
answer_records(struct held *h, gint64 first, gint64 last)
{
	struct pt_sync_res r = { 0 };
	struct pt_log_entry e[16];
	GBytes *b[16];
	gsize n;
	guint i = 0;
	gint64 o;

	for (o = first; o <= last; o++, i++) {
		b[i] = fn_record((guint32)o, -1, NULL);
		e[i].offset = o;
		e[i].data.data_val = (char *)g_bytes_get_data(b[i], &n);
		e[i].data.data_len = n;
	}
	r.proto = PT_PROTO;
	r.position = last;
	r.entries.entries_len = i;
	r.entries.entries_val = e;
	h->cb(h->arg, &r, NULL);
	while (i > 0)
		g_bytes_unref(b[--i]);
}

/* Advances time until the node makes a call, and returns that. */
static struct held
next_call(struct fn *f, guint proc)
{
	struct held h = { 0 };
	guint i;

	for (i = 0; i < 1000; i++) {
		if (remove_call(proc, &h))
			return h;
		fn_run(f, 20 * FN_MS);
	}
	ck_abort_msg("no call of procedure %u", proc);
	return h;
}

/*
 * Guards against records evaluated twice, out of order or across a gap when a
 * former parent answers after the node has changed to a new one; the store
 * aborts the test in these cases.
 */
START_TEST(late_answers)
{
	struct fn *f = start_one();
	struct fn_store *s = &f->nodes[0].s;
	struct held late, h;
	guint i;

	late = next_call(f, PT_SYNC);
	/* The parent does not answer, and gossip reports a newer position. */
	add_member(f, "peer-9", 509, 5);
	for (i = 0; i < 200 && n_held < 1; i++)
		fn_run(f, 20 * FN_MS);
	h = next_call(f, PT_SYNC);
	ck_assert(h.arg != late.arg);
	answer_records(&h, 1, 3);
	ck_assert_int_eq(s->position, 3);
	answer_records(&late, 1, 5);
	ck_assert_int_eq(s->position, 5);
	h = next_call(f, PT_SYNC);
	answer_records(&h, 2, 4);
	ck_assert_int_eq(s->position, 5);
	h = next_call(f, PT_SYNC);
	answer_records(&h, 8, 9); /* 6 and 7 are missing */
	ck_assert_int_eq(s->position, 5);
	ck_assert_uint_eq(s->evaluated, 5);
	ck_assert_uint_eq(dist_stats(f->nodes[0].dist)->gaps, 1);
	stop_one(f);
}
END_TEST

/*
 * Guards against a position that decreases to that of a parent which is
 * behind, such as one that has restarted.
 */
START_TEST(parent_behind)
{
	struct fn *f = start_one();
	struct pt_sync_res r = { 0 };
	struct held h = next_call(f, PT_SYNC), snap;
	struct fn_store *s = &f->nodes[0].s;

	answer_records(&h, 1, 6);
	ck_assert_int_eq(s->position, 6);
	ck_assert(dist_ready(f->nodes[0].dist));
	h = next_call(f, PT_SYNC);
	r.proto = PT_PROTO;
	r.status = PT_SYNC_SNAPSHOT;
	r.position = 4;
	h.cb(h.arg, &r, NULL);
	fn_run(f, 2 * FN_US);
	ck_assert(!remove_call(PT_SNAP, &snap));
	h = next_call(f, PT_SYNC);
	answer_records(&h, 1, 4);
	ck_assert_int_eq(s->position, 6);
	ck_assert_uint_eq(s->evaluated, 6);
	stop_one(f);
}
END_TEST

/* Guards against loading a snapshot whose data does not match its digest. */
START_TEST(damaged_snapshot)
{
	struct fn *f = start_one();
	struct pt_sync_res r = { 0 };
	struct pt_snap_chunk c = { 0 };
	struct held h = next_call(f, PT_SYNC);
	char data[64] = { 9 };

	r.proto = c.proto = PT_PROTO;
	r.status = PT_SYNC_SNAPSHOT;
	r.position = c.position = 9;
	c.count = 1;
	c.data.data_val = data;
	c.data.data_len = sizeof(data);
	h.cb(h.arg, &r, NULL);
	fn_tick_now(f, 0);
	h = next_call(f, PT_SNAP);
	h.cb(h.arg, &c, NULL);
	ck_assert_int_eq(f->nodes[0].s.position, 0);
	ck_assert(!dist_ready(f->nodes[0].dist));
	stop_one(f);
}
END_TEST

/* Answers a held SYNC with a status that asks the node to look elsewhere. */
static void
answer_status(struct held *h, enum pt_sync_status status)
{
	struct pt_sync_res r = { .proto = PT_PROTO, .status = status };

	h->cb(h->arg, &r, NULL);
}

/*
 * Guards against a node that reads the log because the peers from which it
 * catches up refuse it, while its parent answers, and against one that never
 * reads the log although every parent is busy.
 */
START_TEST(refusals_count_for_their_own_link)
{
	const enum pt_sync_status refusals[] = { PT_SYNC_FULL,
		PT_VERSION_REFUSED };
	const guint64 *reads;
	struct fn *f;
	struct held h, parent;
	guint i, n;

	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		f = start_one();
		memset(&parent, 0, sizeof(parent));
		reads = dist_stats(f->nodes[0].dist)->log_requests;
		h = next_call(f, PT_SYNC);
		answer_status(&h, PT_SYNC_BUSY);
		for (n = 0; n < 8;) {
			h = next_call(f, PT_SYNC);
			if (h.once) {
				answer_status(&h, refusals[i]);
				n++;
			} else
				parent = h;
		}
		fn_run(f, 2 * FN_US);
		ck_assert_uint_eq(reads[DIST_LOG_DIRECT], 0);
		if (parent.cb != NULL)
			answer_records(&parent, 1, 2);
		stop_one(f);
	}
	f = start_one();
	reads = dist_stats(f->nodes[0].dist)->log_requests;
	while (!dist_ready(f->nodes[0].dist)) {
		h = next_call(f, PT_SYNC);
		answer_records(&h, 1, 2);
	}
	/* Three answers from each of three parents, not from a single one. */
	for (n = 0; n < 9;) {
		if (n <= 3)
			ck_assert_uint_eq(reads[DIST_LOG_DIRECT], 0);
		h = next_call(f, PT_SYNC);
		if (h.once) {
			answer_records(&h, 1, 2);
			continue;
		}
		answer_status(&h, PT_SYNC_BUSY);
		n++;
	}
	fn_run(f, 2 * FN_US);
	ck_assert_uint_ge(reads[DIST_LOG_DIRECT], 1);
	stop_one(f);
}
END_TEST

static guint n_answers[8];

static void
count_answer(void *arg, const struct pt_sync_res *r)
{
	n_answers[r->status]++;
}

/*
 * Guards against a parent that accepts more children or more catch-ups by
 * snapshot than its limits, or calls of another protocol version.
 */
START_TEST(parent_limits)
{
	struct fn *f = fn_new(6, 1, 1, TRUE);
	struct pt_sync_args a = { 0 };
	struct fn_node *n = &f->nodes[0];
	char name[16];
	guint i;

	fn_start(f, 0, FALSE);
	for (i = 0; i < 1100; i++)
		fn_append_change(f, i);
	ck_assert_int_ge(fn_until(f, fn_all_current, TARGET_US * 2), 0);
	memset(n_answers, 0, sizeof(n_answers));
	a.proto = PT_PROTO;
	a.from = name;
	for (i = 0; i < 30; i++) {
		g_snprintf(name, sizeof(name), "child-%u", i);
		a.position = n->s.position;
		a.wait_ms = 5000;
		dist_serve_sync(n->dist, &a, count_answer, NULL);
	}
	ck_assert_uint_eq(n_answers[PT_SYNC_FULL], 6);
	a.position = 10; /* older than the recent records */
	a.once = TRUE;
	for (i = 0; i < 10; i++) {
		g_snprintf(name, sizeof(name), "late-%u", i);
		dist_serve_sync(n->dist, &a, count_answer, NULL);
	}
	ck_assert_uint_eq(n_answers[PT_SYNC_SNAPSHOT], 4);
	ck_assert_uint_eq(n_answers[PT_SYNC_BUSY], 6);
	a.proto = PT_PROTO + 100;
	dist_serve_sync(n->dist, &a, count_answer, NULL);
	ck_assert_uint_eq(n_answers[PT_VERSION_REFUSED], 1);
	fn_free(f);
}
END_TEST

/* ---- many nodes ---- */

static gboolean
ready_and_current(struct fn *f)
{
	return fn_all_ready(f) && fn_all_current(f);
}

/* All running nodes have evaluated the same records. */
static gboolean
same_chain(struct fn *f)
{
	guint i, first = G_MAXUINT;

	for (i = 0; i < f->n; i++) {
		if (!f->nodes[i].up || f->nodes[i].paused)
			continue;
		if (first == G_MAXUINT)
			first = i;
		if (f->nodes[i].s.chain != f->nodes[first].s.chain)
			return FALSE;
	}
	return TRUE;
}

static struct fn *
start_fleet(guint32 seed, guint n, guint domains, guint records)
{
	struct fn *f = fn_new(seed, n, domains, TRUE);
	guint i;

	for (i = 0; i < records; i++)
		fn_append_change(f, 1000 + i);
	fn_start_all(f);
	ck_assert_int_ge(fn_until(f, ready_and_current, 30 * FN_US), 0);
	ck_assert_int_ge(fn_until(f, fn_members_converged, 30 * FN_US), 0);
	fn_run(f, 20 * FN_US);
	return f;
}

struct status_copy {
	gboolean answered;
	guint members, in_force;
	gboolean complete;
	gint64 vers;
	guint n_lag;
	char lag[PT_LAG_MAX][16];
};

static void
copy_status(void *arg, const struct pt_status_res *r)
{
	struct status_copy *s = arg;
	guint i;

	s->answered = TRUE;
	s->members = r->members;
	s->in_force = r->in_force;
	s->complete = r->complete;
	s->vers = r->vers;
	s->n_lag = r->lag.lag_len;
	for (i = 0; i < s->n_lag; i++)
		g_strlcpy(s->lag[i], r->lag.lag_val[i], sizeof(s->lag[i]));
}

static struct status_copy
status(struct fn *f, guint i)
{
	struct pt_get_args a = { PT_PROTO, -1, "" };
	struct status_copy s = { 0 };

	dist_status(f->nodes[i].dist, &a, copy_status, &s);
	fn_run(f, 3 * FN_US);
	ck_assert(s.answered);
	return s;
}

/* The status of node 0 from its own state, as queried between nodes. */
static struct status_copy
own_status(struct fn *f)
{
	struct pt_get_args a = { PT_PROTO, DIST_STATUS_OWN, "" };
	struct status_copy s = { 0 };

	dist_status(f->nodes[0].dist, &a, copy_status, &s);
	return s;
}

/* Guards against a change that reaches some nodes late or never. */
START_TEST(converge)
{
	struct fn *f = start_fleet(21, 100, 10, 20);
	struct status_copy s;
	guint i;

	for (i = 0; i < 10; i++) {
		fn_append_change(f, i);
		ck_assert_int_ge(fn_until(f, fn_all_current, TARGET_US), 0);
		fn_run(f, FN_US);
	}
	ck_assert(same_chain(f));
	fn_run(f, 3 * FN_US);
	for (i = 0; i < f->n; i += 33) {
		s = status(f, i);
		ck_assert(s.complete);
		ck_assert_uint_eq(s.members, 100);
		ck_assert_uint_eq(s.in_force, 100);
		ck_assert_uint_eq(s.n_lag, 0);
		ck_assert_int_eq(s.vers, 30);
	}
	fn_free(f);
}
END_TEST

/*
 * Guards against a status that counts a node at which the newest version is
 * not in force, here a leaf of the tree that is paused.
 */
START_TEST(status_lists_lagging)
{
	struct fn *f = start_fleet(22, 60, 6, 5);
	struct status_copy s;
	guint i, k, leaf = 0;
	gboolean listed = FALSE;

	for (i = 0; i < f->n; i++) {
		for (k = 0; k < f->n; k++) {
			if (g_strcmp0(dist_parent(f->nodes[k].dist),
				f->nodes[i].name) == 0)
				break;
		}
		if (k == f->n && !dist_is_reader(f->nodes[i].dist))
			leaf = i;
	}
	fn_pause(f, leaf);
	fn_append_change(f, 1);
	fn_run(f, 2 * FN_US);
	s = status(f, (leaf + 1) % f->n);
	ck_assert_uint_eq(s.members, 60);
	ck_assert_uint_eq(s.in_force, 59);
	for (i = 0; i < s.n_lag; i++)
		listed |= strcmp(s.lag[i], f->nodes[leaf].name) == 0;
	ck_assert(listed);
	fn_free(f);
}
END_TEST

/*
 * Guards against a status that misses a member without acknowledgement because
 * another node is counted under two parents.
 */
START_TEST(status_double_count)
{
	struct fn *f = fn_new(38, 1, 1, TRUE);
	struct pt_sync_args a = { 0 };
	struct status_copy s;

	f->nodes[0].dgram.send = ack_send;
	fn_start(f, 0, FALSE);
	fn_append_change(f, 1);
	ck_assert_int_ge(fn_until(f, ready_and_current, TARGET_US), 0);
	add_member(f, "peer-1", 501, 1);
	add_member(f, "peer-2", 502, 1);
	a.proto = PT_PROTO;
	a.from = "peer-1";
	a.acked.nodes = a.acked.holding = 2; /* itself and this node again */
	a.acked.newest = a.acked.lowest = 1;
	a.acked.names =
	    (quad_t)(memb_hash("peer-1") + memb_hash(f->nodes[0].name));
	dist_serve_acked(f->nodes[0].dist, &a);
	s = own_status(f);
	ck_assert_uint_eq(s.members, 3);
	ck_assert_uint_eq(s.in_force, 2);
	a.acked.names = (quad_t)(memb_hash("peer-1") + memb_hash("peer-2"));
	dist_serve_acked(f->nodes[0].dist, &a);
	s = own_status(f);
	ck_assert_uint_eq(s.in_force, 3);
	fn_free(f);
}
END_TEST

/*
 * Guards against nodes that lose their state, and against a new node that
 * serves an empty configuration or never boots, when an outage of the log
 * lasts longer than its retention time.
 */
START_TEST(outage_beyond_retention)
{
	struct fn *f = fn_new(23, 30, 3, TRUE);
	guint i;

	f->log.retention_us = 120 * FN_US;
	for (i = 0; i < 40; i++)
		fn_append_change(f, i);
	for (i = 0; i < 29; i++)
		fn_start(f, i, TRUE);
	fn_run(f, 30 * FN_US);
	ck_assert(ready_and_current(f));
	f->log.down = TRUE;
	fn_run(f, 300 * FN_US);
	fn_start(f, 29, TRUE);
	ck_assert_int_ge(fn_until(f, fn_all_ready, TARGET_US), 0);
	ck_assert_int_eq(f->nodes[29].s.position, 40);
	ck_assert(same_chain(f));
	f->log.down = FALSE;
	fn_append_change(f, 100);
	ck_assert_int_ge(fn_until(f, fn_all_current, TARGET_US), 0);
	/* A reader writes a snapshot, from which a node can boot. */
	fn_run(f, 10 * FN_US);
	ck_assert_uint_gt(f->log.entries[FN_SNAPSHOTS]->len, 0);
	ck_assert_int_gt(f->log.oldest[FN_CONFIG], 1);
	for (i = 0; i < 30; i++)
		fn_kill(f, i, FALSE);
	fn_start(f, 3, FALSE);
	ck_assert_int_ge(fn_until(f, fn_all_ready, 30 * FN_US), 0);
	ck_assert_int_eq(f->nodes[3].s.position, 41);
	fn_free(f);
}
END_TEST

/*
 * Guards against an empty or old configuration served as current when neither
 * peers nor the log can provide the newest one.
 */
START_TEST(no_source_to_boot)
{
	struct fn *f = fn_new(24, 5, 1, TRUE);
	guint i;

	f->log.down = TRUE;
	fn_start_all(f);
	fn_run(f, 60 * FN_US);
	for (i = 0; i < 5; i++)
		ck_assert(!dist_ready(f->nodes[i].dist));
	for (i = 0; i < 50; i++)
		fn_append_change(f, i);
	fn_trim(f, FN_CONFIG, 30); /* no snapshot was ever written */
	f->log.down = FALSE;
	fn_run(f, 60 * FN_US);
	for (i = 0; i < 5; i++) {
		ck_assert(!dist_ready(f->nodes[i].dist));
		ck_assert_int_eq(f->nodes[i].s.position, 0);
	}
	fn_free(f);
}
END_TEST

static guint
next_reader(struct fn *f, guint from)
{
	guint i;

	for (i = from; i < f->n; i++) {
		if (f->nodes[i].up && dist_is_reader(f->nodes[i].dist))
			return i;
	}
	ck_abort_msg("no reader");
	return 0;
}

/*
 * Guards against a reader that skips records which others have read, when the
 * log trims them while it is paused.
 */
START_TEST(reader_behind_retention)
{
	struct fn *f = start_fleet(25, 30, 3, 10);
	guint slow = next_reader(f, 0), i;

	f->nodes[slow].log_cut = TRUE;
	fn_pause(f, slow);
	for (i = 0; i < 1500; i++) {
		fn_append_change(f, i);
		if (i % 50 == 0)
			fn_run(f, 200 * FN_MS);
	}
	fn_run(f, TARGET_US);
	fn_trim(f, FN_CONFIG, 1400);
	f->nodes[slow].log_cut = FALSE;
	fn_resume(f, slow);
	ck_assert_int_ge(fn_until(f, fn_all_current, TARGET_US), 0);
	ck_assert(same_chain(f));
	fn_free(f);
}
END_TEST

static guint
kill_readers(struct fn *f, gboolean silent)
{
	gboolean reader[256] = { FALSE };
	guint i, n = 0;

	for (i = 0; i < f->n; i++)
		reader[i] = dist_is_reader(f->nodes[i].dist);
	for (i = 0; i < f->n; i++) {
		if (reader[i]) {
			fn_kill(f, i, silent);
			n++;
		}
	}
	return n;
}

/* Guards against a mesh that no longer reads the log once all readers fail. */
START_TEST(all_readers_killed)
{
	struct fn *f = start_fleet(26, 60, 6, 5);

	ck_assert_uint_eq(kill_readers(f, FALSE), 12);
	fn_append_change(f, 1);
	ck_assert_int_ge(fn_until(f, fn_all_current, TARGET_US), 0);
	fn_free(f);
}
END_TEST

/*
 * Guards against the same failure as all_readers_killed when the hosts of the
 * readers fail without closing connections.  The bound is the failure detection
 * time of docs/membership.md (7 s until the first probe, 1 s for the probe, 2 s
 * to spread the result), and 2 s for the long poll and the tree.
 */
START_TEST(all_readers_silent)
{
	struct fn *f = start_fleet(27, 60, 6, 5);

	kill_readers(f, TRUE);
	fn_append_change(f, 1);
	ck_assert_int_ge(fn_until(f, fn_all_current, 12 * FN_US), 0);
	fn_free(f);
}
END_TEST

static guint64
log_reads(struct fn *f)
{
	return fn_log_requests(f, DIST_LOG_TAIL) +
	       fn_log_requests(f, DIST_LOG_DIRECT);
}

/*
 * Guards against overload of the log, or a delayed change, when 60 % of the
 * nodes restart and reconnect together.  The design bounds the reads over t
 * seconds with c changes: per failure domain 2 long polls of 5 s, which changes
 * also end, and one request per 5 s for each node without a parent.  Readers
 * count twice, as the role moves to new readers and back.
 */
START_TEST(most_nodes_restart)
{
	struct fn *f = start_fleet(28, 100, 10, 1200);
	guint64 before, bound;
	guint i;

	for (i = 0; i < 100; i++) {
		if (i % 5 < 3)
			fn_kill(f, i, FALSE);
	}
	fn_append_change(f, 1);
	ck_assert_int_ge(fn_until(f, fn_all_current, TARGET_US), 0);
	fn_run(f, 20 * FN_US);
	before = log_reads(f);
	for (i = 0; i < 100; i++) {
		if (i % 5 < 3)
			fn_start(f, i, TRUE);
	}
	fn_append_change(f, 2);
	ck_assert_int_ge(fn_until(f, ready_and_current, TARGET_US), 0);
	fn_run(f, 10 * FN_US);
	bound = 2 * 20 * (16 / 5 + 1 + 1) + 60 * (16 / 5 + 1);
	ck_assert_uint_le(log_reads(f) - before, bound);
	ck_assert_uint_le(
	    fn_log_requests(f, DIST_LOG_DIRECT), 60 * (16 / 5 + 1));
	ck_assert(same_chain(f));
	ck_assert_int_ge(fn_until(f, fn_members_converged, 10 * FN_US), 0);
	fn_free(f);
}
END_TEST

/* The newest record is in force at all nodes that reach the log. */
static gboolean
sound_nodes_current(struct fn *f)
{
	gint64 newest =
	    f->log.oldest[FN_CONFIG] + f->log.entries[FN_CONFIG]->len - 1;
	guint i;

	for (i = 0; i < f->n; i++)
		if (f->nodes[i].up && !f->nodes[i].log_cut &&
		    f->nodes[i].s.position < newest)
			return FALSE;
	return TRUE;
}

/*
 * Guards against a change that does not come into force because all nodes that
 * read the log have lost it, without notice, while the others reach it and
 * follow them; and then those that read in their place.
 */
START_TEST(all_readers_lose_the_log)
{
	struct fn *f = start_fleet(48, 60, 6, 5);
	guint64 before;
	guint i, k;

	for (k = 0; k < 6; k++) {
		for (i = 0; i < f->n; i++)
			f->nodes[i].log_cut |= fn_reads_log(f, i);
		fn_run(f, k * 700 * FN_MS);
		/* Some changes, or more than one read of the log takes. */
		for (i = 0; i < (k == 3 ? 200 : 1); i++)
			fn_append_change(f, 1000 * k + i);
		ck_assert_msg(fn_until(f, sound_nodes_current, TARGET_US) >= 0,
		    "play %u", k);
		if (k % 2 == 0)
			continue;
		for (i = 0; i < f->n; i++)
			f->nodes[i].log_cut = FALSE;
		ck_assert_int_ge(fn_until(f, fn_all_current, TARGET_US), 0);
		fn_run(f, 60 * FN_US);
	}
	/* In calm, one node reads the log in addition, in cycles of 2.4 s. */
	before = log_reads(f) + fn_log_requests(f, DIST_LOG_CHECK);
	fn_run(f, 100 * FN_US);
	ck_assert_uint_le(
	    log_reads(f) + fn_log_requests(f, DIST_LOG_CHECK) - before,
	    12 * (100 / 5 + 1) + 100 * 10 / 24 + 10);
	fn_free(f);
}
END_TEST

/* Guards against an idle load on the log that grows with the mesh. */
START_TEST(idle_log_requests)
{
	struct fn *f = start_fleet(29, 100, 10, 5);
	guint64 tail = fn_log_requests(f, DIST_LOG_TAIL);
	guint64 direct = fn_log_requests(f, DIST_LOG_DIRECT);
	guint i, readers = 0;

	for (i = 0; i < 100; i++)
		readers += dist_is_reader(f->nodes[i].dist);
	ck_assert_uint_eq(readers, 20);
	fn_run(f, 100 * FN_US);
	ck_assert_uint_le(
	    fn_log_requests(f, DIST_LOG_TAIL) - tail, 20 * (100 / 5 + 1));
	ck_assert_uint_eq(fn_log_requests(f, DIST_LOG_DIRECT), direct);
	fn_free(f);
}
END_TEST

/*
 * Guards against a reader that restores old state when it resumes after a
 * pause in the middle of a long poll.
 */
START_TEST(paused_reader)
{
	struct fn *f = start_fleet(30, 30, 3, 10);
	guint slow = next_reader(f, 0), i;
	gint64 next;

	fn_append_change(f, 1);
	fn_run(f, FN_MS); /* the answer to its long poll is on its way */
	fn_pause(f, slow);
	for (i = 2; i < 20; i++)
		fn_append_change(f, i);
	fn_run(f, 120 * FN_US);
	ck_assert(fn_all_current(f));
	next = f->log.oldest[FN_CONFIG] + f->log.entries[FN_CONFIG]->len;
	fn_resume(f, slow);
	fn_run(f, TARGET_US);
	ck_assert(fn_all_current(f));
	ck_assert(same_chain(f));
	ck_assert_int_eq(
	    f->log.oldest[FN_CONFIG] + f->log.entries[FN_CONFIG]->len, next);
	ck_assert_int_ge(fn_until(f, fn_members_converged, 15 * FN_US), 0);
	fn_free(f);
}
END_TEST

static guint
region_of(guint i)
{
	return (i % 6) % 3;
}

/*
 * Guards against faults during and after a long partition of one region: live
 * members are removed, they flap once the partition ends, the region stays
 * behind afterwards, or status does not show the partition.
 */
START_TEST(partition_of_an_hour)
{
	struct fn *f = start_fleet(31, 60, 6, 10);
	const struct memb_member *m;
	guint i, k, dead = 0, suspected[60], cut_listed = 0;
	struct status_copy s;

	for (i = 0; i < 60; i++) {
		f->nodes[i].group = region_of(i) == 2;
		f->nodes[i].log_cut = region_of(i) == 2;
	}
	fn_run(f, 30 * FN_US);
	fn_append_change(f, 1);
	fn_run(f, 10 * FN_US);
	s = status(f, 0);
	ck_assert_uint_eq(s.members, 60);
	ck_assert_uint_le(s.in_force, 40);
	for (i = 0; i < s.n_lag; i++)
		cut_listed += region_of((guint)atoi(s.lag[i] + 3)) == 2;
	ck_assert_uint_eq(cut_listed, PT_LAG_MAX);
	for (i = 0; i < 60; i++) {
		m = memb_find(f->nodes[0].memb, f->nodes[i].name);
		ck_assert_int_eq(
		    memb_reachable(f->nodes[0].memb, m), region_of(i) != 2);
	}
	fn_run(f, 3600 * FN_US);
	for (i = 0; i < 60; i++) {
		for (k = 0; k < 60; k++)
			ck_assert_ptr_nonnull(
			    memb_find(f->nodes[i].memb, f->nodes[k].name));
		dead += f->nodes[i].false_dead;
	}
	ck_assert_uint_eq(dead, 0);
	fn_append_change(f, 2);
	for (i = 0; i < 60; i++) {
		f->nodes[i].group = 0;
		f->nodes[i].log_cut = FALSE;
		suspected[i] = f->nodes[i].false_suspect;
	}
	ck_assert_int_ge(fn_until(f, fn_all_current, TARGET_US), 0);
	ck_assert_int_ge(fn_until(f, fn_members_converged, 20 * FN_US), 0);
	/* Once the membership is complete, no member is suspected again. */
	for (i = 0; i < 60; i++)
		suspected[i] = f->nodes[i].false_suspect;
	fn_run(f, 60 * FN_US);
	for (i = 0; i < 60; i++) {
		ck_assert_uint_eq(f->nodes[i].false_suspect, suspected[i]);
		ck_assert_uint_eq(f->nodes[i].false_dead, 0);
	}
	s = status(f, 2);
	ck_assert_uint_eq(s.in_force, 60);
	fn_free(f);
}
END_TEST

/*
 * Guards against a node without configured seeds that finds no members, as it
 * does not read stream "seeds".
 */
START_TEST(boot_by_seeds_stream)
{
	struct fn *f = fn_new(41, 21, 3, TRUE);
	guint i;

	fn_append_change(f, 1);
	for (i = 0; i < 20; i++)
		fn_start(f, i, TRUE);
	fn_run(f, 30 * FN_US);
	fn_start(f, 20, FALSE);
	ck_assert_int_ge(fn_until(f, ready_and_current, TARGET_US), 0);
	ck_assert_int_ge(fn_until(f, fn_members_converged, 10 * FN_US), 0);
	fn_free(f);
}
END_TEST

/* Guards against a slow log that stops distribution or receives more reads. */
START_TEST(slow_log)
{
	struct fn *f = start_fleet(40, 30, 3, 10);
	guint64 before = log_reads(f);
	guint i;

	f->log.delay_us = 3 * FN_US; /* in addition to the long poll */
	for (i = 0; i < 10; i++) {
		fn_append_change(f, i);
		ck_assert_int_ge(fn_until(f, fn_all_current, TARGET_US), 0);
		fn_run(f, 4 * FN_US);
	}
	ck_assert_uint_le(log_reads(f) - before, 6 * (100 / 5 + 10 + 1));
	fn_free(f);
}
END_TEST

/*
 * Guards against a mesh that cannot boot from the snapshot in the log after
 * all nodes have failed, or in which every node reads the log to do so.
 */
START_TEST(whole_fleet_restarts)
{
	struct fn *f = start_fleet(39, 100, 10, 1200);
	guint64 reads;
	guint i;

	fn_trim(f, FN_CONFIG, 1000);
	for (i = 0; i < 100; i++)
		fn_kill(f, i, FALSE);
	fn_run(f, 5 * FN_US);
	fn_start_all(f);
	fn_append_change(f, 1);
	ck_assert_int_ge(fn_until(f, ready_and_current, TARGET_US), 0);
	reads = log_reads(f) + fn_log_requests(f, DIST_LOG_SNAPSHOT);
	/* As in most_nodes_restart, over 6 s, and one scan per reader. */
	ck_assert_uint_le(reads, 2 * 20 * (6 / 5 + 1 + 1) + 20 * 3);
	ck_assert(same_chain(f));
	fn_free(f);
}
END_TEST

static void
clear_faults(struct fn *f)
{
	guint i;

	f->log.down = FALSE;
	f->delay_max = 3 * FN_MS;
	for (i = 0; i < f->n; i++) {
		f->nodes[i].group = 0;
		f->nodes[i].log_cut = FALSE;
		if (!f->nodes[i].up)
			fn_start(f, i, TRUE);
		else if (f->nodes[i].paused)
			fn_resume(f, i);
	}
}

static void
inject_fault(struct fn *f, guint32 *tag)
{
	guint i = g_rand_int_range(f->rand, 0, (gint32)f->n), k, g;
	struct fn_node *n = &f->nodes[i];

	switch (g_rand_int_range(f->rand, 0, 9)) {
	case 0:
	case 1:
		fn_kill(f, i, i % 2 == 0);
		break;
	case 2:
	case 3:
		if (!n->up)
			fn_start(f, i, TRUE);
		break;
	case 4:
		if (n->up)
			fn_pause(f, i);
		break;
	case 5:
		if (n->up && n->paused)
			fn_resume(f, i);
		break;
	case 6:
		f->log.down = !f->log.down;
		break;
	case 7:
		g = g_rand_int_range(f->rand, 0, 3);
		for (k = 0; k < f->n; k++) {
			f->nodes[k].group = g > 0 && k % 5 < 2;
			f->nodes[k].log_cut = g == 2 && k % 5 < 2;
		}
		f->delay_max = (1 + 80 * g) * FN_MS;
		break;
	default:
		for (k = 0; k < i; k++)
			fn_append_change(f, (*tag)++);
	}
}

/*
 * Guards against faults in combination: kills, pauses, outages of the log,
 * partitions, and slow or lossy networks, in random order.  The position of a
 * node must not decrease until it restarts.  After the faults, a change is in
 * force everywhere in time, and membership is complete within an anti-entropy
 * period (30 s and its jitter of a quarter).
 */
START_TEST(random_faults)
{
	struct fn *f = fn_new(50 + _i, 40, 5, TRUE);
	gint64 position[40] = { 0 };
	guint generation[40] = { 0 }, i, k;
	guint32 tag = 1;

	f->log.retention_us = 400 * FN_US;
	f->loss = f->dup = 0.01;
	fn_start_all(f);
	for (k = 0; k < 100; k++) {
		inject_fault(f, &tag);
		fn_run(f, g_rand_int_range(f->rand, 1, 10000) * FN_MS);
		for (i = 0; i < 40; i++) {
			if (generation[i] == f->nodes[i].generation)
				ck_assert_int_ge(
				    f->nodes[i].s.position, position[i]);
			generation[i] = f->nodes[i].generation;
			position[i] = f->nodes[i].s.position;
		}
	}
	clear_faults(f);
	fn_append_change(f, tag);
	ck_assert_int_ge(fn_until(f, ready_and_current, TARGET_US), 0);
	ck_assert(same_chain(f));
	ck_assert_int_ge(fn_until(f, fn_members_converged, 38 * FN_US), 0);
	fn_free(f);
}
END_TEST

/* ---- submit ---- */

struct verdict {
	guint answers;
	enum pt_verdict_kind kind;
	gint64 offset;
	char text[256];
};

static void
copy_verdict(void *arg, const struct pt_outcome *o)
{
	struct verdict *v = arg;

	v->answers++;
	v->kind = o->kind;
	v->offset = o->offset;
	g_strlcpy(v->text, o->text, sizeof(v->text));
}

static void
submit(struct fn *f, guint i, guint32 tag, gint64 base, guint wait_ms,
    struct verdict *v)
{
	struct pt_submit_args a = { 0 };
	guint8 id[PT_ID_LEN];
	GBytes *b = fn_record(tag, base, id);
	gsize n;

	memset(v, 0, sizeof(*v));
	a.proto = PT_PROTO;
	a.wait_ms = wait_ms;
	a.record.record_val = (char *)g_bytes_get_data(b, &n);
	a.record.record_len = n;
	memcpy(a.id, id, PT_ID_LEN);
	dist_submit(f->nodes[i].dist, &a, copy_verdict, v);
	fn_tick_now(f, i);
	g_bytes_unref(b);
}

/*
 * Guards against a change set appended twice when the log's answer is lost and
 * the operator submits it again.
 */
START_TEST(lost_append_answer)
{
	struct fn *f = start_fleet(32, 30, 3, 5);
	struct verdict v, w;
	guint i;

	for (i = 0; i < 5; i++) {
		f->log.lose_appends = 1;
		submit(f, 6 * i, i, -1, 8000, &v);
		submit(f, 6 * i, i, -1, 8000, &w); /* submitted again */
		fn_run(f, TARGET_US);
		ck_assert_uint_eq(v.answers, 1);
		ck_assert_uint_eq(w.answers, 1);
		ck_assert_int_eq(v.kind, PT_ACCEPTED);
		ck_assert_int_eq(w.offset, v.offset);
		ck_assert_uint_eq(f->log.entries[FN_CONFIG]->len, 6 + i);
		submit(f, 6 * i, i, -1, 8000, &w); /* and after its verdict */
		ck_assert_uint_eq(w.answers, 1);
		ck_assert_int_eq(w.offset, v.offset);
		ck_assert_uint_eq(f->log.entries[FN_CONFIG]->len, 6 + i);
	}
	fn_free(f);
}
END_TEST

/*
 * Guards against a verdict that the node cannot know when the answer to the
 * append is lost and the log goes down, and against PT_UNKNOWN when nothing was
 * appended.
 */
START_TEST(unknown_outcome)
{
	struct fn *f = start_fleet(33, 30, 3, 5);
	struct pt_outcome o;
	struct verdict v;
	guint8 id[PT_ID_LEN];
	GBytes *b = fn_record(1, -1, id);
	guint i;

	f->log.lose_appends = 1;
	for (i = 0; i < 30; i++)
		f->nodes[i].log_cut = i != 4; /* no other node reads the log */
	fn_run(f, 6 * FN_US);
	f->nodes[4].log_cut = FALSE;
	submit(f, 4, 1, -1, 500, &v);
	fn_run(f, 20 * FN_MS);
	f->log.down = TRUE;
	fn_run(f, 3 * FN_US);
	if (v.answers == 1 && v.kind == PT_UNKNOWN)
		ck_assert_ptr_nonnull(strstr(v.text, "ptctl outcome 01000000"));
	else
		ck_assert_int_eq(v.kind, PT_ACCEPTED);
	/* The log is down, so nothing is appended. */
	submit(f, 4, 2, -1, 500, &v);
	fn_run(f, 2 * FN_US);
	ck_assert_uint_eq(v.answers, 1);
	ck_assert_int_eq(v.kind, PT_UNREACHABLE);
	f->log.down = FALSE;
	for (i = 0; i < 30; i++)
		f->nodes[i].log_cut = FALSE;
	ck_assert_int_ge(fn_until(f, fn_all_current, TARGET_US), 0);
	dist_outcome(f->nodes[4].dist, id, &o);
	ck_assert_int_eq(o.kind, PT_ACCEPTED);
	ck_assert_uint_eq(f->log.entries[FN_CONFIG]->len, 6);
	g_bytes_unref(b);
	fn_free(f);
}
END_TEST

/*
 * Guards against more than one accepted change on the same base when operators
 * submit together, and against nodes that differ in a verdict.
 */
START_TEST(concurrent_submits)
{
	struct fn *f = start_fleet(34, 30, 3, 5);
	struct verdict v[10];
	struct pt_outcome o;
	guint8 id[PT_ID_LEN];
	guint i, k, won = 0;

	for (i = 0; i < 10; i++)
		submit(f, 3 * i, i, 5, 5000, &v[i]);
	fn_run(f, TARGET_US);
	for (i = 0; i < 10; i++) {
		ck_assert_uint_eq(v[i].answers, 1);
		won += v[i].kind == PT_ACCEPTED;
		ck_assert(v[i].kind == PT_ACCEPTED || v[i].kind == PT_CONFLICT);
		g_bytes_unref(fn_record(i, 5, id));
		for (k = 0; k < 30; k++) {
			dist_outcome(f->nodes[k].dist, id, &o);
			ck_assert_int_eq(o.kind, v[i].kind);
			ck_assert_int_eq(o.offset, v[i].offset);
		}
	}
	ck_assert_uint_eq(won, 1);
	fn_free(f);
}
END_TEST

/* Guards against an append by a node that is booting or behind the log. */
START_TEST(refused_while_behind)
{
	struct fn *f = fn_new(36, 3, 1, TRUE);
	struct verdict v;
	struct held h;

	fn_append_change(f, 1);
	f->log.down = TRUE;
	fn_start_all(f);
	fn_run(f, 2 * FN_US);
	submit(f, 1, 2, -1, 500, &v);
	ck_assert_uint_eq(v.answers, 1);
	ck_assert_int_eq(v.kind, PT_UNREACHABLE);
	ck_assert_ptr_nonnull(strstr(v.text, "booting"));
	ck_assert_uint_eq(f->log.entries[FN_CONFIG]->len, 1);
	fn_free(f);
	f = start_one();
	h = next_call(f, PT_SYNC);
	answer_records(&h, 1, 2);
	add_member(f, "peer-9", 509, 7);
	submit(f, 0, 3, -1, 500, &v);
	ck_assert_int_eq(v.kind, PT_UNREACHABLE);
	ck_assert_ptr_nonnull(strstr(v.text, "behind"));
	stop_one(f);
}
END_TEST

/*
 * Guards against a change that is accepted and never in force, after the log
 * was restored from a copy: readers refuse it, and say so when the log has
 * grown again.
 */
START_TEST(refused_while_the_log_is_shorter)
{
	struct fn *f = start_fleet(37, 6, 2, 10);
	guint reader = next_reader(f, 0);
	struct verdict v;

	g_ptr_array_set_size(f->log.entries[FN_CONFIG], 7);
	fn_run(f, 30 * FN_US);
	submit(f, reader, 77, -1, 500, &v);
	ck_assert_int_eq(v.kind, PT_UNREACHABLE);
	ck_assert_ptr_nonnull(strstr(v.text, "restore"));
	ck_assert_uint_eq(f->log.entries[FN_CONFIG]->len, 7);
	while (f->log.entries[FN_CONFIG]->len < 10)
		fn_append_change(f, 200 + f->log.entries[FN_CONFIG]->len);
	fn_run(f, 30 * FN_US);
	submit(f, reader, 78, -1, 500, &v);
	fn_run(f, 5 * FN_US);
	ck_assert_int_eq(v.kind, PT_ACCEPTED);
	fn_free(f);
}
END_TEST

/* Guards against an append of a record that is not a change set. */
START_TEST(malformed_submit)
{
	struct fn *f = start_fleet(37, 3, 1, 1);
	struct pt_submit_args a = { 0 };
	struct verdict v = { 0 };

	a.proto = PT_PROTO;
	a.record.record_val = "abcd";
	a.record.record_len = 4;
	dist_submit(f->nodes[0].dist, &a, copy_verdict, &v);
	ck_assert_int_eq(v.kind, PT_MALFORMED);
	fn_run(f, FN_US);
	ck_assert_uint_eq(f->log.entries[FN_CONFIG]->len, 1);
	fn_free(f);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("dist");
	TCase *t = tcase_create("one");
	TCase *u = tcase_create("many");
	TCase *w = tcase_create("submit");

	tcase_set_timeout(t, 0);
	tcase_set_timeout(u, 0);
	tcase_set_timeout(w, 0);
	tcase_add_test(t, late_answers);
	tcase_add_test(t, parent_behind);
	tcase_add_test(t, damaged_snapshot);
	tcase_add_test(t, refusals_count_for_their_own_link);
	tcase_add_test(t, parent_limits);
	tcase_add_test(u, converge);
	tcase_add_test(u, status_lists_lagging);
	tcase_add_test(u, status_double_count);
	tcase_add_test(u, outage_beyond_retention);
	tcase_add_test(u, no_source_to_boot);
	tcase_add_test(u, reader_behind_retention);
	tcase_add_test(u, all_readers_killed);
	tcase_add_test(u, all_readers_silent);
	tcase_add_test(u, most_nodes_restart);
	tcase_add_test(u, idle_log_requests);
	tcase_add_test(u, all_readers_lose_the_log);
	tcase_add_test(u, paused_reader);
	tcase_add_test(u, partition_of_an_hour);
	tcase_add_test(u, boot_by_seeds_stream);
	tcase_add_test(u, slow_log);
	tcase_add_test(u, whole_fleet_restarts);
	tcase_add_loop_test(u, random_faults, 0, 8);
	tcase_add_test(w, lost_append_answer);
	tcase_add_test(w, unknown_outcome);
	tcase_add_test(w, concurrent_submits);
	tcase_add_test(w, refused_while_behind);
	tcase_add_test(w, refused_while_the_log_is_shorter);
	tcase_add_test(w, malformed_submit);
	suite_add_tcase(s, t);
	suite_add_tcase(s, u);
	suite_add_tcase(s, w);
	return suite_run(s);
}
