/* Steps of the matrix: each drives the system to the point of injection. */
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

/* Service times of slow bookings and of lookups that outlast a drain. */
#define SLOW_RUN_US (300 * CLUSTER_MS)
#define LONG_RUN_US (3000 * CLUSTER_MS)

static gboolean
is_reader(guint i)
{
	return cluster.nodes[i].up && dist_is_reader(cluster.nodes[i].n.dist);
}

static guint
find_reader(void)
{
	guint i;

	for (i = 0; i < cluster.n; i++)
		if (is_reader(i))
			return i;
	return 0;
}

static guint
find_leaf(void)
{
	guint i;

	for (i = 0; i < cluster.n; i++)
		if (!is_reader(i))
			return i;
	return 0;
}

/* ---- configuration ---- */

static void
submit_and_run(gint64 us)
{
	cur_cell.victim = find_leaf();
	submit_at(cur_cell.victim);
	cluster_run(us);
}

static void
begin_submit(void)
{
	submit_and_run(0);
}

static void
begin_append(void)
{
	submit_and_run(500);
}

static void
begin_acknowledge(void)
{
	submit_and_run(1500);
}

static void
begin_evaluate(void)
{
	submit_and_run(2100);
	cur_cell.victim = find_reader();
}

/* Appends a change to the log as a node does that stops right afterwards. */
static void
append_and_run(gint64 us)
{
	pt_id id;
	GBytes *b;

	memset(id, 0x33, sizeof(id));
	b = cluster_encode_change(
	    healthy_node(), declarations(++cur_cell.changes), id);
	cluster_append("config", b);
	g_bytes_unref(b);
	cluster_run(us);
}

static void
begin_read(void)
{
	cur_cell.victim = find_reader();
	append_and_run(500);
}

static void
begin_forward(void)
{
	cur_cell.victim = find_reader();
	append_and_run(1200);
}

static void
begin_apply(void)
{
	cur_cell.victim = find_leaf();
	append_and_run(2200);
}

static gint64 snapshots_before;

static gboolean
snapshot_begun(void)
{
	return cluster_appended("snapshots") > snapshots_before;
}

static void
begin_snapshot_write(void)
{
	append_and_run(CLUSTER_S);
	snapshots_before = cluster_appended("snapshots");
	if (!cluster_run_until(snapshot_begun, 120 * CLUSTER_S))
		violation("no snapshot was written within the retention time");
	cur_cell.victim = find_reader();
}

static void
begin_snapshot_read(void)
{
	begin_snapshot_write();
	cluster_run(2 * CLUSTER_S);
	cur_cell.victim = find_leaf();
	cluster_trim("config", G_MAXINT64);
	cluster_kill(cur_cell.victim);
	cluster_run(CLUSTER_S);
	cluster_start(cur_cell.victim);
	cluster_run(300 * CLUSTER_MS);
}

/* ---- membership ---- */

static void
begin_join(void)
{
	cur_cell.victim = find_leaf();
	cluster_kill(cur_cell.victim);
	cluster_run(5 * CLUSTER_S);
	cluster_start(cur_cell.victim);
	cluster_run(50 * CLUSTER_MS);
}

static void
begin_announce(void)
{
	cur_cell.victim = find_leaf();
	cluster.nodes[cur_cell.victim].b.slots = 6;
	cluster_run(1050 * CLUSTER_MS);
}

/* ---- calls ---- */

/* Index of the first upstream of a service. */
static guint
upstream_of(const char *service)
{
	guint i;

	for (i = 0; i < cluster.n; i++)
		if (strcmp(cluster.nodes[i].service, service) == 0)
			return i;
	return 0;
}

static void
begin_choose(void)
{
	cur_cell.victim = upstream_of("records");
	call_all(1);
	cluster_run(1001);
}

static void
begin_queue(void)
{
	guint i;

	cur_cell.victim = upstream_of("bookings");
	for (i = 0; i < cluster.n; i++)
		cluster.nodes[i].b.service_us = 100 * CLUSTER_MS;
	for (i = 0; i < 60; i++)
		cluster_call(i % FLEET, "GET", "/bookings", NULL);
	cluster_run(50 * CLUSTER_MS);
	for (i = 0; i < cluster.n; i++)
		cluster.nodes[i].b.service_us = 5 * CLUSTER_MS;
}

/* Sends a keyed call through a node that is not the victim. */
static void
keyed_and_run(gint64 us)
{
	guint at;

	cur_cell.victim = upstream_of("bookings");
	at = healthy_node();
	cur_cell.key = cluster_issue_key(at);
	cur_cell.followed = cluster_call(at, "POST", "/bookings", cur_cell.key);
	cluster_run(us);
}

static void
begin_forward_call(void)
{
	keyed_and_run(1500);
}

static void
slow_bookings(gint64 us)
{
	guint i;

	for (i = 0; i < cluster.n; i++)
		if (strcmp(cluster.nodes[i].service, "bookings") == 0)
			cluster.nodes[i].b.service_us = us;
}

static gboolean
key_runs(void)
{
	return cluster_key_runs(cur_cell.key) > 0;
}

/* Waits until the keyed call runs, then makes its upstream the victim. */
static void
await_running_victim(void)
{
	guint i;

	if (!cluster_run_until(key_runs, 2 * CLUSTER_S))
		violation("the request did not start");
	for (i = 0; i < cluster.n; i++)
		if (cluster.nodes[i].b.running > 0)
			cur_cell.victim = i;
}

static void
begin_run(void)
{
	slow_bookings(SLOW_RUN_US);
	keyed_and_run(1000);
	await_running_victim();
	cluster_run(50 * CLUSTER_MS);
	slow_bookings(5 * CLUSTER_MS);
}

static void
begin_answer(void)
{
	keyed_and_run(1000);
	await_running_victim();
	cluster_run(5300);
}

/* Makes the node that issued the key the victim, with retries in progress. */
static void
begin_repeat(void)
{
	guint i;

	slow_bookings(SLOW_RUN_US);
	cur_cell.victim = find_leaf();
	cur_cell.key = cluster_issue_key(cur_cell.victim);
	cur_cell.followed =
	    cluster_call(cur_cell.victim, "POST", "/bookings", cur_cell.key);
	cluster_run(20 * CLUSTER_MS);
	for (i = 0; i < 3; i++)
		cluster_call((cur_cell.victim + 1 + i) % FLEET, "POST",
		    "/bookings", cur_cell.key);
	cluster_run(3 * CLUSTER_MS);
	slow_bookings(5 * CLUSTER_MS);
}

/* Retries the keyed call through every node; outcomes must be consistent. */
static void
check_keyed(void)
{
	guint i, runs = cluster_key_runs(cur_cell.key);
	struct cluster_call *c[FLEET];

	for (i = 0; i < FLEET; i++)
		c[i] = cluster_call(i, "POST", "/bookings", cur_cell.key);
	cluster_run(8 * CLUSTER_S);
	for (i = 0; i < FLEET; i++) {
		if (!c[i]->done)
			violation(
			    "a retry through node %u received no response", i);
		else if (runs > 0 && c[i]->outcome != NULL &&
			 strcmp(c[i]->outcome, "not-run") == 0)
			violation(
			    "a retry of a request that ran received \"not "
			    "run\"");
	}
}

static void
begin_drain(void)
{
	cur_cell.victim = upstream_of("records");
	cluster.nodes[cur_cell.victim].b.state = PT_DRAINING;
	cur_cell.leaving = cur_cell.victim;
	cur_cell.leaving_since = cluster.now + CLUSTER_S;
	call_all(1);
	cluster_run(1200 * CLUSTER_MS);
}

/* Starts lookups that run longer than the drain notice of a shutdown. */
static void
start_long_lookups(void)
{
	guint i;

	for (i = 0; i < cluster.n; i++)
		cluster.nodes[i].b.service_us = LONG_RUN_US;
	for (i = 0; i < cluster.n; i++)
		cluster_call(cur_cell.victim, "GET", "/index", NULL);
	cluster_run(20 * CLUSTER_MS);
	for (i = 0; i < cluster.n; i++)
		cluster.nodes[i].b.service_us = 5 * CLUSTER_MS;
}

static void
begin_stop(void)
{
	cur_cell.victim = upstream_of("records");
	slow_bookings(SLOW_RUN_US);
	call_all(2);
	cluster_run(20 * CLUSTER_MS);
	start_long_lookups();
	cur_cell.stopping = cur_cell.victim + 1;
	cluster_stop(cur_cell.victim);
	cluster_run(100 * CLUSTER_MS);
	slow_bookings(5 * CLUSTER_MS);
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
