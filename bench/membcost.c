/*
 * Cost of spreading membership updates in a simulated network: gossip of
 * core/memb against announcements relayed up the fan-out tree to the readers
 * and down all trees.  Prints the bytes that a node sends per second with
 * headers, idle and under churn, and the time until every node has an update.
 *   membcost [SEED [NODES...]]
 */
#include <glib.h>
#include <malloc.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#include "dist.h"
#include "fakenet.h"

#define DOMAINS 10
#define IDLE_US (300 * FN_US)
#define CHURN_US (1200 * FN_US)
#define ROUNDS 15
/*
 * Restarts per node and second: 10 times those of the target size, which are
 * 408 a day in 3,700 nodes.
 */
#define RESTARTS (10 * 408.0 / 86400 / 3700)
/* Announcements of one restart: left, booting, serving. */
#define PER_RESTART 3
#define MEMBERS 3700 /* the target size */

/* Bytes on the wire. */
#define RELAY_HEADER 100 /* TCP and record headers */
#define UPDATE_BYTES 112 /* a member entry */
#define HEARTBEAT_BYTES (2 * (28 + 60))

struct cost {
	double idle, churn; /* bytes per node and second */
	double busiest; /* bytes per second of the busiest node, under churn */
	double median_ms, worst_ms; /* until every node has an update */
};

static int
compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static void
set_times(struct cost *c, double *ms)
{
	qsort(ms, ROUNDS, sizeof(*ms), compare);
	c->median_ms = ms[ROUNDS / 2];
	c->worst_ms = ms[ROUNDS - 1];
}

/* ---- gossip ---- */

/* The node that announces a change, and the slots that it announces. */
static guint announced, slots;

static gboolean
change_everywhere(struct fn *f)
{
	guint i;

	for (i = 0; i < f->n; i++) {
		if (f->nodes[i].up &&
		    memb_find(f->nodes[i].memb, f->nodes[announced].name)
			    ->slots != slots)
			return FALSE;
	}
	return TRUE;
}

static guint64
sent(const struct fn *f, guint i)
{
	return f->nodes[i].bytes_out + f->nodes[i].rpc_bytes_out;
}

static guint64
sent_by_all(const struct fn *f)
{
	guint64 n = 0;
	guint i;

	for (i = 0; i < f->n; i++)
		n += sent(f, i);
	return n;
}

static void
restart(struct fn *f, guint i)
{
	memb_leave(f->nodes[i].memb);
	fn_tick_now(f, i);
	fn_run(f, FN_US);
	fn_kill(f, i, FALSE);
	fn_run(f, FN_US);
	fn_start(f, i, TRUE);
	fn_run(f, FN_US);
	memb_announce(f->nodes[i].memb, PT_WARMING, "svc", 12);
	fn_tick_now(f, i);
	fn_run(f, FN_US);
	memb_announce(f->nodes[i].memb, PT_SERVING, "svc", 12);
	fn_tick_now(f, i);
}

static void
churn(struct fn *f, struct cost *c)
{
	guint64 before = sent_by_all(f), *sent_before = g_new0(guint64, f->n);
	gint64 end = f->now + CHURN_US;
	double gap = 1 / (RESTARTS * f->n);
	guint i;

	for (i = 0; i < f->n; i++)
		sent_before[i] = sent(f, i);
	while (f->now + gap * FN_US < end) {
		fn_run(f, gap * FN_US / 2);
		restart(f, g_rand_int_range(f->rand, 1, (gint32)f->n));
		fn_run(f, MAX(0, gap * FN_US / 2 - 4 * FN_US));
	}
	fn_run(f, end - f->now);
	c->churn = (double)(sent_by_all(f) - before) / f->n /
		   (CHURN_US / (double)FN_US);
	for (i = 0; i < f->n; i++)
		c->busiest = MAX(c->busiest,
		    (sent(f, i) - sent_before[i]) / (CHURN_US / (double)FN_US));
	g_free(sent_before);
}

static struct cost
gossip(guint32 seed, guint n)
{
	struct fn *f = fn_new(seed, n, DOMAINS, FALSE);
	struct cost c = { 0 };
	double ms[ROUNDS];
	guint64 before;
	gint64 us;
	guint i;

	fn_start_all(f);
	if (fn_until(f, fn_members_converged, 120 * FN_US) < 0) {
		fprintf(stderr, "membcost: %u nodes did not join\n", n);
		exit(1);
	}
	fn_run(f, 60 * FN_US);
	before = sent_by_all(f);
	fn_run(f, IDLE_US);
	c.idle =
	    (double)(sent_by_all(f) - before) / n / (IDLE_US / (double)FN_US);
	for (i = 0; i < ROUNDS; i++) {
		announced = g_rand_int_range(f->rand, 0, (gint32)n);
		slots = 100 + i;
		memb_announce(
		    f->nodes[announced].memb, PT_SERVING, "svc", slots);
		fn_tick_now(f, announced);
		us = fn_until(f, change_everywhere, 60 * FN_US);
		ms[i] = us / 1000.0;
		fn_run(f, 5 * FN_US);
	}
	set_times(&c, ms);
	churn(f, &c);
	fn_free(f);
	return c;
}

/* ---- relay through readers and the tree ---- */

struct relay {
	struct fn *f;
	guint64 *hash;
	gint *parent; /* -1: a reader */
	gint64 *at; /* arrival time, -1: not computed */
	guint64 *bytes; /* sent by each node */
	guint update; /* bytes of an announcement */
};

static guint
level(guint64 h)
{
	guint n = 0;

	while ((h >> 61) == 7 && n < 21) {
		h <<= 3;
		n++;
	}
	return n;
}

static gboolean
is_reader(const struct relay *r, guint i)
{
	guint k, higher = 0;

	for (k = i % DOMAINS; k < r->f->n; k += DOMAINS)
		higher += r->hash[k] > r->hash[i];
	return higher < 2;
}

static void
choose_parent(struct relay *r, guint i)
{
	guint k, pass;
	guint64 w, best = 0;

	r->parent[i] = -1;
	if (is_reader(r, i))
		return;
	for (pass = 0; pass < 2 && r->parent[i] < 0; pass++) {
		for (k = i % DOMAINS; k < r->f->n; k += DOMAINS) {
			if (pass == 0 ? level(r->hash[k]) <= level(r->hash[i])
				      : !is_reader(r, k))
				continue;
			w = r->hash[k] * 31 + r->hash[i];
			w ^= w >> 29;
			w *= G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9);
			if (w >= best) {
				best = w;
				r->parent[i] = (gint)k;
			}
		}
	}
}

static gint64
send_hop(struct relay *r, guint from)
{
	r->bytes[from] += RELAY_HEADER + r->update;
	return r->f->delay_min +
	       g_rand_double(r->f->rand) * (r->f->delay_max - r->f->delay_min);
}

/* Arrival time at a node, computed along the path from its reader. */
static gint64
arrival_time(struct relay *r, guint i)
{
	if (r->at[i] < 0)
		r->at[i] = arrival_time(r, (guint)r->parent[i]) +
			   send_hop(r, (guint)r->parent[i]);
	return r->at[i];
}

/*
 * Relays an announcement up to a reader, to all readers and down all trees;
 * returns the time until the last node has it.
 */
static gint64
relay_one(struct relay *r, guint origin)
{
	gint64 t = 0, last = 0;
	guint i, top = origin;

	for (i = 0; i < r->f->n; i++)
		r->at[i] = -1;
	while (r->parent[top] >= 0) {
		t += send_hop(r, top);
		top = (guint)r->parent[top];
	}
	for (i = 0; i < r->f->n; i++) {
		if (r->parent[i] < 0)
			r->at[i] = i == top ? t : t + send_hop(r, top);
	}
	for (i = 0; i < r->f->n; i++)
		last = MAX(last, arrival_time(r, i));
	return last;
}

/* Heartbeats: one per second to the parent and between all readers. */
static void
heartbeats(struct relay *r, double *mean, double *busiest)
{
	guint n = r->f->n, readers = 0, i, k;
	double own;

	for (i = 0; i < n; i++)
		readers += r->parent[i] < 0;
	*mean = ((n - readers) + readers * (readers - 1) / 2.0) *
		HEARTBEAT_BYTES / n;
	*busiest = 0;
	for (i = 0; i < n; i++) {
		own = r->parent[i] < 0 ? readers - 1 : 1;
		for (k = 0; k < n; k++)
			own += r->parent[k] == (gint)i;
		*busiest = MAX(*busiest, own * HEARTBEAT_BYTES / 2);
	}
}

static void
relay_churn(struct relay *r, struct cost *c, double heartbeat_bytes)
{
	double seconds = CHURN_US / (double)FN_US, own;
	double announcements = RESTARTS * r->f->n * seconds * PER_RESTART;
	guint i;

	memset(r->bytes, 0, r->f->n * sizeof(*r->bytes));
	for (i = 0; i < announcements; i++)
		relay_one(r, g_rand_int_range(r->f->rand, 0, (gint32)r->f->n));
	c->churn = c->idle;
	for (i = 0; i < r->f->n; i++) {
		own = r->bytes[i] / seconds;
		c->churn += own / r->f->n;
		c->busiest = MAX(c->busiest, own + heartbeat_bytes);
	}
}

static void
relay_init(struct relay *r, guint32 seed, guint n)
{
	guint i;

	r->f = fn_new(seed, n, DOMAINS, FALSE);
	r->hash = g_new0(guint64, n);
	r->parent = g_new0(gint, n);
	r->at = g_new0(gint64, n);
	r->bytes = g_new0(guint64, n);
	r->update = UPDATE_BYTES;
	for (i = 0; i < n; i++)
		r->hash[i] = memb_hash(r->f->nodes[i].name);
	for (i = 0; i < n; i++)
		choose_parent(r, i);
}

static void
relay_done(struct relay *r)
{
	fn_free(r->f);
	g_free(r->hash);
	g_free(r->parent);
	g_free(r->at);
	g_free(r->bytes);
}

static struct cost
relayed(guint32 seed, guint n)
{
	struct cost c = { 0 };
	struct relay r;
	double ms[ROUNDS], heartbeat_bytes;
	gint64 us;
	guint i;

	relay_init(&r, seed, n);
	heartbeats(&r, &c.idle, &heartbeat_bytes);
	for (i = 0; i < ROUNDS; i++) {
		us = relay_one(&r, g_rand_int_range(r.f->rand, 0, (gint32)n));
		ms[i] = us / 1000.0;
	}
	set_times(&c, ms);
	relay_churn(&r, &c, heartbeat_bytes);
	relay_done(&r);
	return c;
}

/* ---- memory ---- */

static void
memory(guint32 seed)
{
	struct fn *f = fn_new(seed, 1, 1, FALSE);
	struct pt_member u = { 0 };
	struct pt_gossip g = { 0 };
	char name[24], host[24], service[24], domain[24];
	gsize before, n;
	const void *data;
	GBytes *b;
	guint i;

	fn_start(f, 0, FALSE);
	u.instance = name;
	u.incarnation = 5;
	u.seq = 1;
	u.state = PT_SERVING;
	u.host = host;
	u.rpc_port = u.gossip_port = u.http_port = 7000;
	u.domain = domain;
	u.region = "north";
	u.service = service;
	g.proto = PT_PROTO;
	g.kind = PT_SPREAD;
	g.from = name;
	g.target = "";
	g.updates.updates_len = 1;
	g.updates.updates_val = &u;
	before = mallinfo2().uordblks;
	for (i = 0; i < MEMBERS; i++) {
		g_snprintf(name, sizeof(name), "upstream-%06u", i);
		g_snprintf(host, sizeof(host), "10.1.%u.%u", i / 250, i % 250);
		g_snprintf(service, sizeof(service), "service-%03u", i % 580);
		g_snprintf(domain, sizeof(domain), "domain-%u", i % 10);
		b = pt_encode((xdrproc_t)xdr_pt_gossip, &g);
		data = g_bytes_get_data(b, &n);
		memb_input(f->nodes[0].memb, data, n);
		g_bytes_unref(b);
	}
	printf("memory: %u members in 580 services: %.0f bytes a member\n",
	    memb_count(f->nodes[0].memb) - 1,
	    (double)(mallinfo2().uordblks - before) / MEMBERS);
	fn_free(f);
}

static void
row(guint n, const char *mode, struct cost c)
{
	printf("%5u  %-7s %9.1f %9.1f %9.1f %10.1f %9.1f\n", n, mode, c.idle,
	    c.churn, c.busiest, c.median_ms, c.worst_ms);
	fflush(stdout);
}

int
main(int argc, char **argv)
{
	static const guint sizes[] = { 25, 50, 100, 200, 400 };
	guint32 seed = argc > 1 ? (guint32)atoi(argv[1]) : 1;
	guint i;

	printf("seed %u; bytes sent a node a second, with headers; "
	       "one way 0.5 to 3 ms\n",
	    seed);
	printf("%5s  %-7s %9s %9s %9s %10s %9s\n", "nodes", "mode", "idle",
	    "churn", "busiest", "median ms", "worst ms");
	/* For sizes given as arguments, measure only gossip. */
	for (i = 2; i < (guint)argc; i++)
		row((guint)atoi(argv[i]), "gossip",
		    gossip(seed, (guint)atoi(argv[i])));
	if (argc > 2)
		return 0;
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		row(sizes[i], "gossip", gossip(seed, sizes[i]));
		row(sizes[i], "relay", relayed(seed, sizes[i]));
	}
	memory(seed);
	return 0;
}
