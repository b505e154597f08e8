/*
 * Cost of the configuration: evaluating a change, taking a snapshot, replaying
 * one day of changes, and matching a route.  Prints a table and then key=value
 * lines; times are medians of ROUNDS rounds.
 */
#include <glib.h>
#include <rpc/rpc.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"

#define ROUNDS 11
/* Changes per round. */
#define CHANGES 1000
/* Changes per day at the target size. */
#define DAY 3300
#define MATCHES 20000
/* Limit of operations per record of the initial state. */
#define SETUP_OPS 200

static const guint sizes[] = { 10, 100, 580 };

struct result {
	guint services;
	gsize heap; /* bytes of the state, including all outcomes */
	gsize record; /* bytes of a record with one change */
	double eval_us; /* evaluation of a change that keeps the path */
	double move_us; /* evaluation of a change of the path */
	gsize snapshot; /* bytes */
	double take_us; /* creation of the snapshot */
	double digest_us; /* SHA-256 of the snapshot */
	double load_us; /* creation of a state from the snapshot */
	gsize day; /* bytes of the records of one day */
	double replay_us; /* evaluation of the records of one day */
	double match_ns;
};

static int
cmp(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static double
median(double *v)
{
	qsort(v, ROUNDS, sizeof(*v), cmp);
	return v[ROUNDS / 2];
}

static double
now_us(void)
{
	return (double)g_get_monotonic_time();
}

static GBytes *
record(struct pt_op *ops, guint n)
{
	static guint64 id;
	struct pt_change c = { 0 };

	id++;
	c.proto = PT_PROTO;
	memcpy(c.id, &id, sizeof(id));
	c.author = (char *)"bench";
	c.ops.ops_len = n;
	c.ops.ops_val = ops;
	return pt_encode((xdrproc_t)xdr_pt_change, &c);
}

static void
eval_change(struct conf *c, GBytes *b)
{
	struct conf_verdict v = conf_eval(c, conf_position(c) + 1, b);

	if (v.kind != PT_ACCEPTED)
		g_error("evalcost: the change is not accepted: %s", v.text);
	g_bytes_unref(b);
}

static char *
route_body(guint i, guint n, guint timeout_ms, guint step)
{
	return g_strdup_printf("idempotent=true\npath=/team%u/path%u%.*s\n"
			       "rank=lookup\nservice=service%u\n"
			       "timeout_ms=%u\n",
	    i % 7, i, step % 2 * 2, "/v", i % n, timeout_ms);
}

static void
flush(struct conf *c, struct pt_op *ops, guint *n)
{
	guint i;

	if (*n == 0)
		return;
	eval_change(c, record(ops, *n));
	for (i = 0; i < *n; i++) {
		g_free(ops[i].name);
		g_free(ops[i].body);
	}
	*n = 0;
}

/* Creates a state with n services, 2n routes and one rank. */
static struct conf *
setup(guint n)
{
	struct conf *c = conf_new();
	struct pt_op ops[SETUP_OPS] = { 0 };
	guint i, k = 0;

	ops[k].kind = PT_KIND_RANK;
	ops[k].name = g_strdup("lookup");
	ops[k++].body =
	    g_strdup("floor=10\norder=0\ntarget_ms=400\nworth=10\n");
	for (i = 0; i < 3 * n; i++) {
		if (k == SETUP_OPS)
			flush(c, ops, &k);
		ops[k].kind = i < n ? PT_KIND_SERVICE : PT_KIND_ROUTE;
		ops[k].name = g_strdup_printf(
		    i < n ? "service%u" : "route%u", i < n ? i : i - n);
		ops[k++].body =
		    i < n ? g_strdup("eject_max=34\nlimit=1000\nramp_ms=10000\n"
				     "retry_budget=10\n")
			  : route_body(i - n, n, 2000, 0);
	}
	flush(c, ops, &k);
	return c;
}

/*
 * Creates records from the current position on that each change one route: its
 * time limit and, unless "step" is 0, its path.
 */
static GPtrArray *
route_changes(const struct conf *c, guint n, guint count, guint step)
{
	GPtrArray *a = g_ptr_array_new();
	gint64 *vers = g_new0(gint64, 2 * n);
	struct pt_op op = { PT_KIND_ROUTE, NULL, 0, FALSE, NULL };
	char name[32];
	guint i, r;

	op.name = name;
	for (i = 0; i < count; i++) {
		r = i % (2 * n);
		g_snprintf(name, sizeof(name), "route%u", r);
		if (vers[r] == 0)
			vers[r] = conf_route(c, name)->res.vers;
		op.base = vers[r];
		vers[r] = conf_position(c) + 1 + i;
		op.body = route_body(
		    r, n, 1000 + i, step > 0 ? step + i / (2 * n) : 0);
		g_ptr_array_add(a, record(&op, 1));
		g_free(op.body);
	}
	g_free(vers);
	return a;
}

static double
eval_all(struct conf *c, GPtrArray *a)
{
	double start = now_us();
	guint i;

	for (i = 0; i < a->len; i++)
		eval_change(c, a->pdata[i]);
	return (now_us() - start) / a->len;
}

static void
measure_eval(struct conf *c, struct result *r)
{
	double us[2][ROUNDS];
	GPtrArray *a;
	guint i;

	for (i = 0; i < 2 * ROUNDS; i++) {
		a = route_changes(c, r->services, CHANGES, i < ROUNDS ? 0 : i);
		r->record = g_bytes_get_size(a->pdata[0]);
		us[i / ROUNDS][i % ROUNDS] = eval_all(c, a);
		g_ptr_array_unref(a);
	}
	r->eval_us = median(us[0]);
	r->move_us = median(us[1]);
}

static void
measure_snapshot(struct conf *c, struct result *r)
{
	double take[ROUNDS], digest[ROUNDS], load[ROUNDS], t;
	char sum[PT_DIGEST_LEN];
	struct conf *d;
	GBytes *b;
	guint i;

	for (i = 0; i < ROUNDS; i++) {
		t = now_us();
		b = conf_snapshot(c);
		take[i] = now_us() - t;
		t = now_us();
		pt_sha256(b, sum);
		digest[i] = now_us() - t;
		t = now_us();
		d = conf_from_snapshot(b, NULL);
		load[i] = now_us() - t;
		r->snapshot = g_bytes_get_size(b);
		conf_unref(d);
		g_bytes_unref(b);
	}
	r->take_us = median(take);
	r->digest_us = median(digest);
	r->load_us = median(load);
}

static void
measure_replay(struct result *r)
{
	double us[ROUNDS];
	struct conf *c;
	GPtrArray *a;
	guint i, k;

	for (i = 0; i < ROUNDS; i++) {
		c = setup(r->services);
		a = route_changes(c, r->services, DAY, 0);
		for (r->day = 0, k = 0; k < a->len; k++)
			r->day += g_bytes_get_size(a->pdata[k]);
		us[i] = eval_all(c, a) * DAY;
		g_ptr_array_unref(a);
		conf_unref(c);
	}
	r->replay_us = median(us);
}

static void
measure_match(struct conf *c, struct result *r)
{
	GRand *rand = g_rand_new_with_seed(7);
	char paths[1024][64];
	double ns[ROUNDS], t;
	guint i, k, hits;

	/* One path in eight matches no route. */
	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		k = (guint)g_rand_int_range(rand, 0, (gint32)(2 * r->services));
		g_snprintf(paths[i], sizeof(paths[i]),
		    i % 8 == 0 ? "/none%u/path%u/item/4711?q=1"
			       : "/team%u/path%u/item/4711?q=1",
		    k % 7, k);
	}
	for (i = 0; i < ROUNDS; i++) {
		hits = 0;
		t = now_us();
		for (k = 0; k < MATCHES; k++)
			hits += conf_route_match(
				    c, paths[k % G_N_ELEMENTS(paths)]) != NULL;
		ns[i] = (now_us() - t) * 1000 / MATCHES;
		if (hits < MATCHES / 2)
			g_error("evalcost: only %u matches", hits);
	}
	r->match_ns = median(ns);
	g_rand_free(rand);
}

static void
measure(struct result *r)
{
	gsize before = mallinfo2().uordblks;
	struct conf *c = setup(r->services);

	measure_match(c, r);
	measure_eval(c, r);
	r->heap = mallinfo2().uordblks - before;
	measure_snapshot(c, r);
	conf_unref(c);
	measure_replay(r);
}

int
main(void)
{
	struct result all[G_N_ELEMENTS(sizes)] = { 0 }, *r;
	guint i;

	printf("%8s %6s %8s %8s %9s %9s %9s %9s %9s %9s %9s %9s %8s\n",
	    "services", "routes", "heap_B", "change_B", "eval_us", "move_us",
	    "snap_B", "take_us", "sha256_us", "load_us", "day_B", "replay_us",
	    "match_ns");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		r = &all[i];
		r->services = sizes[i];
		measure(r);
		printf(
		    "%8u %6u %8zu %8zu %9.2f %9.2f %9zu %9.0f %9.0f %9.0f %9zu "
		    "%9.0f %8.1f\n",
		    r->services, 2 * r->services, r->heap, r->record,
		    r->eval_us, r->move_us, r->snapshot, r->take_us,
		    r->digest_us, r->load_us, r->day, r->replay_us,
		    r->match_ns);
	}
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		r = &all[i];
		printf(
		    "services=%u routes=%u heap_bytes=%zu change_bytes=%zu "
		    "eval_us=%.2f move_us=%.2f snapshot_bytes=%zu take_us=%.0f "
		    "sha256_us=%.0f load_us=%.0f day_changes=%d "
		    "day_bytes=%zu replay_us=%.0f match_ns=%.1f\n",
		    r->services, 2 * r->services, r->heap, r->record,
		    r->eval_us, r->move_us, r->snapshot, r->take_us,
		    r->digest_us, r->load_us, DAY, r->day, r->replay_us,
		    r->match_ns);
	}
	return 0;
}
