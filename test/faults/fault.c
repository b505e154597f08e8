/* Faults of the matrix. */
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

#define FLOOD_CALLS 300
#define PARTITION_US (3600 * CLUSTER_S)

static GRand *noise;

/* ---- processes ---- */

static void
kill_one(void)
{
	cluster_kill(cur_cell.victim);
}

static void
restart_all(void)
{
	guint i;

	for (i = 0; i < cluster.n; i++)
		if (!cluster.nodes[i].up)
			cluster_start(i);
}

/* Kills 60 % of the fleet, including the victim. */
static void
kill_most(void)
{
	guint i, n = 0;

	for (i = 0; n < FLEET * 6 / 10; i++, n++)
		cluster_kill((cur_cell.victim + i) % FLEET);
}

static void
kill_readers(void)
{
	guint i;

	for (i = 0; i < cluster.n; i++)
		if (cluster.nodes[i].up &&
		    dist_is_reader(cluster.nodes[i].n.dist))
			cluster_kill(i);
}

/* Kills all nodes of the victim's failure domain at the same time. */
static void
kill_domain(void)
{
	guint i;

	for (i = 0; i < cluster.n; i++)
		if (strcmp(cluster.nodes[i].domain,
			cluster.nodes[cur_cell.victim].domain) == 0)
			cluster_kill(i);
}

static void
pause_one(void)
{
	if (cluster.nodes[cur_cell.victim].up)
		cluster_pause(cur_cell.victim);
}

static void
resume_one(void)
{
	if (cluster.nodes[cur_cell.victim].up)
		cluster_resume(cur_cell.victim);
}

/* ---- log ---- */

static void
log_down(void)
{
	cluster.log.down = TRUE;
}

static void
log_heal(void)
{
	cluster.log.down = FALSE;
	cluster.log.slow_us = 0;
	cluster.log.lose_responses = 0;
}

static void
log_slow(void)
{
	cluster.log.slow_us = 2500 * CLUSTER_MS;
}

static void
log_lost(void)
{
	cluster.log.lose_responses = 3;
}

static void
log_trim(void)
{
	cluster_trim("config", G_MAXINT64);
}

static void
heal_nothing(void)
{
}

/* ---- network ---- */

static void
net_reorder(void)
{
	cluster.dup = 0.3;
	cluster.delay_max = 400 * CLUSTER_MS;
}

static void
net_heal(void)
{
	cluster.dup = 0;
	cluster.loss = 0;
	cluster.delay_max = 1500;
}

static void
net_lose(void)
{
	cluster.loss = 0.05;
}

/* Sends a booking through a node whose backend server has another service. */
static void
keyed_call(void)
{
	char *key = cluster_issue_key(0);

	cluster_call(0, "POST", "/bookings", key);
	g_free(key);
}

static void
rpc_copy(void)
{
	if (cluster.nodes[0].up)
		keyed_call();
	memset(&cluster.fault, 0, sizeof(cluster.fault));
	cluster.fault.proc = PT_FORWARD;
	cluster.fault.duplicate = TRUE;
	cluster.fault.delay_us = 2 * CLUSTER_S;
}

static void
rpc_lose_reply(void)
{
	if (cluster.nodes[0].up)
		keyed_call();
	memset(&cluster.fault, 0, sizeof(cluster.fault));
	cluster.fault.proc = PT_FORWARD;
	cluster.fault.lose_reply = TRUE;
}

static void
rpc_heal(void)
{
	memset(&cluster.fault, 0, sizeof(cluster.fault));
}

static void
partition_domain(void)
{
	guint i;

	for (i = 0; i < cluster.n; i++)
		if (strcmp(cluster.nodes[i].domain,
			cluster.nodes[cur_cell.victim].domain) == 0)
			cluster.nodes[i].group = 1;
}

static void
partition_region(void)
{
	guint i;

	for (i = 0; i < cluster.n; i++) {
		if (strcmp(cluster.nodes[i].region, "south") != 0)
			continue;
		cluster.nodes[i].group = 1;
		cluster.nodes[i].log_cut = TRUE;
	}
}

static void
partition_heal(void)
{
	guint i;

	for (i = 0; i < cluster.n; i++) {
		cluster.nodes[i].group = 0;
		cluster.nodes[i].log_cut = FALSE;
	}
}

/* ---- load ---- */

static void
flood(const char *path)
{
	guint i, at;

	for (i = 0; i < FLOOD_CALLS; i++) {
		at = i % FLEET;
		if (cluster.nodes[at].up && !cluster.nodes[at].paused)
			cluster_call(at, "GET", path, NULL);
	}
}

static void
flood_background(void)
{
	flood("/index");
}

static void
flood_bookings(void)
{
	flood("/bookings");
}

/* ---- operators ---- */

static void
race(void)
{
	pt_id id;
	guint i;

	cur_cell.raced = TRUE;
	for (i = 0; i < 2; i++) {
		memset(id, 0xa0 + (int)i, sizeof(pt_id));
		cluster_submit(healthy_node(), declarations(900 + i), id,
		    &cur_cell.race_out[i], &cur_cell.race_answered[i]);
	}
}

/*
 * Appends two invalid records to the log: a change whose route names an
 * undefined service, and bytes that do not decode.
 */
static void
bad_version(void)
{
	struct pt_op op = { PT_KIND_ROUTE, "broken", 0, FALSE,
		"idempotent=true\npath=/broken\nrank=booking\nservice=none\n"
		"timeout_ms=1000\n" };
	struct pt_change c = { PT_PROTO, "", "operator", { 1, &op } };
	GBytes *b;

	memset(c.id, 0xee, sizeof(c.id));
	b = pt_encode((xdrproc_t)xdr_pt_change, &c);
	cluster_append("config", b);
	g_bytes_unref(b);
	b = g_bytes_new_static("garbage", 7);
	cluster_append("config", b);
	g_bytes_unref(b);
}

static void
bad_input_to(void *arg)
{
	struct cluster_node *cn = arg;
	guint8 junk[200];
	GError *err = NULL;
	guint i, k;

	for (k = 0; k < 20; k++) {
		for (i = 0; i < sizeof(junk); i++)
			junk[i] = (guint8)g_rand_int(noise);
		memb_input(cn->n.memb, junk, g_rand_int(noise) % sizeof(junk));
		if (backend_apply(&cn->n, (const char *)junk, 20, &err))
			violation(
			    "an announcement of random bytes was accepted");
		g_clear_error(&err);
	}
}

static void
bad_input(void)
{
	guint i;

	noise = g_rand_new_with_seed(7);
	for (i = 0; i < cluster.n; i++) {
		if (!cluster.nodes[i].up || cluster.nodes[i].paused)
			continue;
		cluster_run_as((gint)i, bad_input_to, &cluster.nodes[i]);
		cluster_call(i, "GET", "/nowhere", NULL);
		cluster_call(i, "POST", "/bookings", "not a key");
		cluster_call(i, "POST", "/bookings", NULL);
	}
	g_rand_free(noise);
}

/* ---- backend servers ---- */

static struct cluster_backend *
victim_backend(void)
{
	return &cluster.nodes[cur_cell.victim].b;
}

static void
backend_cold(void)
{
	victim_backend()->service_us = 400 * CLUSTER_MS;
	victim_backend()->state = PT_WARMING;
}

static void
backend_sheds(void)
{
	victim_backend()->shed = TRUE;
}

static void
backend_false_health(void)
{
	victim_backend()->false_health = TRUE;
}

static void
backend_cuts_response(void)
{
	victim_backend()->response_len = 300000;
	victim_backend()->cut_response = TRUE;
}

static void
backend_drops_response(void)
{
	victim_backend()->drop_response = TRUE;
}

static void
backend_silent(void)
{
	victim_backend()->silent = TRUE;
}

static void
backend_down(void)
{
	victim_backend()->up = FALSE;
}

static void
backend_draining(void)
{
	victim_backend()->state = PT_DRAINING;
	cur_cell.leaving = cur_cell.victim;
	cur_cell.leaving_since =
	    cluster.now + CLUSTER_S; /* time of the announcement */
}

static void
backend_heal(void)
{
	struct cluster_backend *b = victim_backend();

	b->shed = b->false_health = b->cut_response = b->drop_response =
	    b->silent = FALSE;
	b->up = TRUE;
	b->service_us = 5 * CLUSTER_MS;
	b->response_len = 100;
	if (cur_cell.leaving_since == 0)
		b->state = PT_SERVING;
}

const struct fault faults[] = {
	{ "death", "one node crashes and restarts", FAULT_KILLS, kill_one,
	    restart_all, 8 * CLUSTER_S },
	{ "herd", "60 % of the nodes crash", FAULT_KILLS, kill_most,
	    restart_all, 20 * CLUSTER_S },
	{ "storm", "60 % of the nodes crash and restart at once", FAULT_KILLS,
	    kill_most, restart_all, 100 * CLUSTER_MS },
	{ "readers", "every reader crashes", FAULT_KILLS, kill_readers,
	    restart_all, 10 * CLUSTER_S },
	{ "domain", "a failure domain crashes and restarts", FAULT_KILLS,
	    kill_domain, restart_all, 10 * CLUSTER_S },
	{ "log-out", "the log is unavailable", FAULT_LOG, log_down, log_heal,
	    30 * CLUSTER_S },
	{ "log-slow", "the log is slow", FAULT_LOG, log_slow, log_heal,
	    30 * CLUSTER_S },
	{ "log-lost", "responses to appends are lost", FAULT_LOG, log_lost,
	    log_heal, 5 * CLUSTER_S },
	{ "log-trim", "records are trimmed from the log", FAULT_LOG, log_trim,
	    heal_nothing, 5 * CLUSTER_S },
	{ "crossed", "datagrams reordered, duplicated and delayed", 0,
	    net_reorder, net_heal, 10 * CLUSTER_S },
	{ "loss", "5 % of datagrams are lost", 0, net_lose, net_heal,
	    20 * CLUSTER_S },
	{ "late-copy", "a delayed copy of a request arrives", 0, rpc_copy,
	    rpc_heal, 5 * CLUSTER_S },
	{ "reply-lost", "a reply between nodes is lost", FAULT_UPSTREAM,
	    rpc_lose_reply, rpc_heal, 5 * CLUSTER_S },
	{ "flood-least", "flood of the least urgent calls", FAULT_UPSTREAM,
	    flood_background, heal_nothing, 5 * CLUSTER_S },
	{ "flood-most", "flood of the most urgent calls", FAULT_UPSTREAM,
	    flood_bookings, heal_nothing, 5 * CLUSTER_S },
	{ "paused", "a node is paused and resumed", FAULT_KILLS, pause_one,
	    resume_one, 30 * CLUSTER_S },
	{ "race", "two operators submit concurrent changes", 0, race,
	    heal_nothing, 5 * CLUSTER_S },
	{ "cut-domain", "a failure domain is partitioned off", FAULT_PARTITION,
	    partition_domain, partition_heal, 60 * CLUSTER_S },
	{ "cut-region", "regions are partitioned for an hour",
	    FAULT_PARTITION | FAULT_LOG, partition_region, partition_heal,
	    PARTITION_US },
	{ "cold", "backend server is slow while it warms up", FAULT_UPSTREAM,
	    backend_cold, backend_heal, 5 * CLUSTER_S },
	{ "sheds", "backend server sheds load", FAULT_UPSTREAM, backend_sheds,
	    backend_heal, 5 * CLUSTER_S },
	{ "lies", "backend server announces \"serving\" and fails requests",
	    FAULT_UPSTREAM, backend_false_health, backend_heal, 5 * CLUSTER_S },
	{ "dies-mid", "backend server closes within the response body",
	    FAULT_UPSTREAM, backend_cuts_response, backend_heal,
	    5 * CLUSTER_S },
	{ "dies-lost",
	    "backend server runs the request and closes without a response",
	    FAULT_UPSTREAM, backend_drops_response, backend_heal,
	    5 * CLUSTER_S },
	{ "silent", "backend server never responds", FAULT_UPSTREAM,
	    backend_silent, backend_heal, 5 * CLUSTER_S },
	{ "dead", "backend server refuses connections", FAULT_UPSTREAM,
	    backend_down, backend_heal, 10 * CLUSTER_S },
	{ "leaves", "backend server drains and leaves", FAULT_UPSTREAM,
	    backend_draining, backend_heal, 10 * CLUSTER_S },
	{ "bad-version", "a bad version in the log", 0, bad_version,
	    heal_nothing, 5 * CLUSTER_S },
	{ "bad-input", "bad input on every port", 0, bad_input, heal_nothing,
	    5 * CLUSTER_S },
};
const guint n_faults = G_N_ELEMENTS(faults);

const struct fault *
find_fault(const char *name)
{
	guint i;

	for (i = 0; i < n_faults; i++)
		if (strcmp(faults[i].name, name) == 0)
			return &faults[i];
	return NULL;
}

const struct pair pairs[] = {
	{ "submit", "log-out", "death" },
	{ "submit", "log-lost", "death" },
	{ "append", "log-lost", "log-trim" },
	{ "append", "log-slow", "race" },
	{ "acknowledge", "cut-region", "race" },
	{ "evaluate", "cut-domain", "death" },
	{ "read", "herd", "log-out" },
	{ "read", "readers", "log-slow" },
	{ "forward", "storm", "crossed" },
	{ "apply", "paused", "cut-region" },
	{ "snapshot-write", "readers", "log-lost" },
	{ "snapshot-read", "log-out", "storm" },
	{ "join", "log-out", "bad-version" },
	{ "join", "cut-domain", "herd" },
	{ "announce", "loss", "paused" },
	{ "choose", "herd", "bad-input" },
	{ "choose", "cut-domain", "lies" },
	{ "queue", "flood-least", "domain" },
	{ "queue", "flood-most", "cold" },
	{ "queue", "flood-most", "flood-least" },
	{ "forward-call", "late-copy", "sheds" },
	{ "forward-call", "reply-lost", "death" },
	{ "run", "death", "dies-lost" },
	{ "run", "reply-lost", "paused" },
	{ "answer", "death", "crossed" },
	{ "repeat", "death", "late-copy" },
	{ "repeat", "cut-domain", "crossed" },
	{ "drain", "flood-least", "death" },
	{ "drain", "log-out", "leaves" },
	{ "stop", "log-out", "flood-most" },
	{ "stop", "domain", "bad-version" },
	{ "stop", "cut-domain", "race" },
};
const guint n_pairs = G_N_ELEMENTS(pairs);
