/* Steps of the matrix: each brings the system to the moment of the fault. */
#include <glib.h>
#include <gio/gio.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "httpio.h"
#include "conf.h"
#include "memb.h"
#include "dist.h"
#include "call.h"
#include "settings.h"
#include "node.h"
#include "cluster.h"
#include "faults.h"

#define SLOW_RUN_US (300 * WORLD_MS)
#define LONG_RUN_US (3000 * WORLD_MS)

static gboolean
is_reader(guint i)
{
	return W.nodes[i].up && dist_is_reader(W.nodes[i].n.dist);
}

static guint
a_reader(void)
{
	guint i;

	for (i = 0; i < W.n; i++)
		if (is_reader(i))
			return i;
	return 0;
}

static guint
a_leaf(void)
{
	guint i;

	for (i = 0; i < W.n; i++)
		if (!is_reader(i))
			return i;
	return 0;
}

/* ---- configuration ---- */

static void
submit_then(gint64 us)
{
	cell.victim = a_leaf();
	submit_at(cell.victim);
	world_run(us);
}

static void
begin_submit(void)
{
	submit_then(0);
}

static void
begin_append(void)
{
	submit_then(500);
}

static void
begin_acknowledge(void)
{
	submit_then(1500);
}

static void
begin_evaluate(void)
{
	submit_then(2100);
	cell.victim = a_reader();
}

/* A change appended by a node that is no longer there. */
static void
append_then(gint64 us)
{
	pt_id id;
	GBytes *b;

	memset(id, 0x33, sizeof(id));
	b = world_change(bystander(), declare(++cell.changes), id);
	world_append("config", b);
	g_bytes_unref(b);
	world_run(us);
}

static void
begin_read(void)
{
	cell.victim = a_reader();
	append_then(500);
}

static void
begin_forward(void)
{
	cell.victim = a_reader();
	append_then(1200);
}

static void
begin_apply(void)
{
	cell.victim = a_leaf();
	append_then(2200);
}

static gint64 snapshots_before;

static gboolean
snapshot_begun(void)
{
	return world_appended("snapshots") > snapshots_before;
}

static void
begin_snapshot_write(void)
{
	append_then(WORLD_S);
	snapshots_before = world_appended("snapshots");
	if (!world_until(snapshot_begun, 120 * WORLD_S))
		broken("no snapshot was written in a retention time");
	cell.victim = a_reader();
}

static void
begin_snapshot_read(void)
{
	begin_snapshot_write();
	world_run(2 * WORLD_S);
	cell.victim = a_leaf();
	world_trim("config", G_MAXINT64);
	world_kill(cell.victim);
	world_run(WORLD_S);
	world_start(cell.victim);
	world_run(300 * WORLD_MS);
}

/* ---- membership ---- */

static void
begin_join(void)
{
	cell.victim = a_leaf();
	world_kill(cell.victim);
	world_run(5 * WORLD_S);
	world_start(cell.victim);
	world_run(50 * WORLD_MS);
}

static void
begin_announce(void)
{
	cell.victim = a_leaf();
	W.nodes[cell.victim].b.slots = 6;
	world_run(1050 * WORLD_MS);
}

/* ---- calls ---- */

/* An upstream of a service. */
static guint
upstream_of(const char *service)
{
	guint i;

	for (i = 0; i < W.n; i++)
		if (strcmp(W.nodes[i].service, service) == 0)
			return i;
	return 0;
}

static void
begin_choose(void)
{
	cell.victim = upstream_of("records");
	load(1);
	world_run(1001);
}

static void
begin_queue(void)
{
	guint i;

	cell.victim = upstream_of("bookings");
	for (i = 0; i < W.n; i++)
		W.nodes[i].b.service_us = 100 * WORLD_MS;
	for (i = 0; i < 60; i++)
		world_call(i % FLEET, "GET", "/bookings", NULL);
	world_run(50 * WORLD_MS);
	for (i = 0; i < W.n; i++)
		W.nodes[i].b.service_us = 5 * WORLD_MS;
}

/* A keyed call whose owner is not the victim. */
static void
keyed_then(gint64 us)
{
	guint at;

	cell.victim = upstream_of("bookings");
	at = bystander();
	cell.key = world_key(at);
	cell.first = world_call(at, "POST", "/bookings", cell.key);
	world_run(us);
}

static void
begin_forward_call(void)
{
	keyed_then(1500);
}

static void
slow_bookings(gint64 us)
{
	guint i;

	for (i = 0; i < W.n; i++)
		if (strcmp(W.nodes[i].service, "bookings") == 0)
			W.nodes[i].b.service_us = us;
}

static gboolean
running(void)
{
	return world_key_runs(cell.key) > 0;
}

/* The fault hits the upstream that runs the request. */
static void
find_running(void)
{
	guint i;

	if (!world_until(running, 2 * WORLD_S))
		broken("the request did not begin to run");
	for (i = 0; i < W.n; i++)
		if (W.nodes[i].b.running > 0)
			cell.victim = i;
}

static void
begin_run(void)
{
	slow_bookings(SLOW_RUN_US);
	keyed_then(1000);
	find_running();
	world_run(50 * WORLD_MS);
	slow_bookings(5 * WORLD_MS);
}

static void
begin_answer(void)
{
	keyed_then(1000);
	find_running();
	world_run(5300);
}

/* The fault hits the node that owns the key. */
static void
begin_repeat(void)
{
	guint i;

	slow_bookings(SLOW_RUN_US);
	cell.victim = a_leaf();
	cell.key = world_key(cell.victim);
	cell.first = world_call(cell.victim, "POST", "/bookings", cell.key);
	world_run(20 * WORLD_MS);
	for (i = 0; i < 3; i++)
		world_call((cell.victim + 1 + i) % FLEET, "POST", "/bookings",
		    cell.key);
	world_run(3 * WORLD_MS);
	slow_bookings(5 * WORLD_MS);
}

/* Repeats through every node: whatever is known by now must be consistent. */
static void
check_keyed(void)
{
	guint i, runs = world_key_runs(cell.key);
	struct world_call *c[FLEET];

	for (i = 0; i < FLEET; i++)
		c[i] = world_call(i, "POST", "/bookings", cell.key);
	world_run(8 * WORLD_S);
	for (i = 0; i < FLEET; i++) {
		if (!c[i]->done)
			broken("a repeat through node %u got no answer", i);
		else if (runs > 0 && c[i]->outcome != NULL &&
			 strcmp(c[i]->outcome, "not-run") == 0)
			broken("a repeat of a request that ran got \"not "
			       "run\"");
	}
}

static void
begin_drain(void)
{
	cell.victim = upstream_of("records");
	W.nodes[cell.victim].b.state = PT_DRAINING;
	cell.leaving = cell.victim;
	cell.leaves_at = W.now + WORLD_S;
	load(1);
	world_run(1200 * WORLD_MS);
}

/* Lookups that run longer than the notice of a graceful shutdown. */
static void
long_lookups(void)
{
	guint i;

	for (i = 0; i < W.n; i++)
		W.nodes[i].b.service_us = LONG_RUN_US;
	for (i = 0; i < W.n; i++)
		world_call(cell.victim, "GET", "/index", NULL);
	world_run(20 * WORLD_MS);
	for (i = 0; i < W.n; i++)
		W.nodes[i].b.service_us = 5 * WORLD_MS;
}

static void
begin_stop(void)
{
	cell.victim = upstream_of("records");
	slow_bookings(SLOW_RUN_US);
	load(2);
	world_run(20 * WORLD_MS);
	long_lookups();
	cell.stopping = cell.victim + 1;
	world_stop(cell.victim);
	world_run(100 * WORLD_MS);
	slow_bookings(5 * WORLD_MS);
}

const struct step steps[] = {
	{ "submit", "submit", begin_submit, NULL },
	{ "append", "append", begin_append, NULL },
	{ "acknowledge", "acknowledge", begin_acknowledge, NULL },
	{ "evaluate", "evaluate", begin_evaluate, NULL },
	{ "read", "read", begin_read, NULL },
	{ "forward", "forward", begin_forward, NULL },
	{ "apply", "apply", begin_apply, NULL },
	{ "snapshot-write", "snapshot written", begin_snapshot_write, NULL },
	{ "snapshot-read", "snapshot read", begin_snapshot_read, NULL },
	{ "join", "join", begin_join, NULL },
	{ "announce", "announce", begin_announce, NULL },
	{ "choose", "choose", begin_choose, NULL },
	{ "queue", "queue", begin_queue, NULL },
	{ "forward-call", "forward the call", begin_forward_call, check_keyed },
	{ "run", "run", begin_run, check_keyed },
	{ "answer", "answer", begin_answer, check_keyed },
	{ "repeat", "repeat", begin_repeat, check_keyed },
	{ "drain", "drain", begin_drain, NULL },
	{ "stop", "stop", begin_stop, NULL },
};
const guint n_steps = G_N_ELEMENTS(steps);

const struct step *
find_step(const char *name)
{
	guint i;

	for (i = 0; i < n_steps; i++)
		if (strcmp(steps[i].name, name) == 0)
			return &steps[i];
	return NULL;
}
