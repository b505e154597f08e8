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
#define CUT_US (3600 * WORLD_S)

static GRand *noise;

/* ---- processes ---- */

static void
kill_one(void)
{
	world_kill(cell.victim);
}

static void
restart_all(void)
{
	guint i;

	for (i = 0; i < W.n; i++)
		if (!W.nodes[i].up)
			world_start(i);
}

/* 60 % of the fleet, the victim among them. */
static void
kill_herd(void)
{
	guint i, n = 0;

	for (i = 0; n < FLEET * 6 / 10; i++, n++)
		world_kill((cell.victim + i) % FLEET);
}

static void
kill_readers(void)
{
	guint i;

	for (i = 0; i < W.n; i++)
		if (W.nodes[i].up && dist_is_reader(W.nodes[i].n.dist))
			world_kill(i);
}

/* A failure domain dies at once and returns at once. */
static void
kill_domain(void)
{
	guint i;

	for (i = 0; i < W.n; i++)
		if (strcmp(W.nodes[i].domain, W.nodes[cell.victim].domain) == 0)
			world_kill(i);
}

static void
pause_one(void)
{
	if (W.nodes[cell.victim].up)
		world_pause(cell.victim);
}

static void
resume_one(void)
{
	if (W.nodes[cell.victim].up)
		world_resume(cell.victim);
}

/* ---- log ---- */

static void
log_out(void)
{
	W.log.down = TRUE;
}

static void
log_back(void)
{
	W.log.down = FALSE;
	W.log.slow_us = 0;
	W.log.lose_answers = 0;
}

static void
log_slow(void)
{
	W.log.slow_us = 2500 * WORLD_MS;
}

static void
log_lost(void)
{
	W.log.lose_answers = 3;
}

static void
log_trim(void)
{
	world_trim("config", G_MAXINT64);
}

static void
nothing(void)
{
}

/* ---- network ---- */

static void
net_crossed(void)
{
	W.dup = 0.3;
	W.delay_max = 400 * WORLD_MS;
}

static void
net_ordered(void)
{
	W.dup = 0;
	W.loss = 0;
	W.delay_max = 1500;
}

static void
net_lossy(void)
{
	W.loss = 0.05;
}

/* A booking whose entry node has no backend server of that service. */
static void
keyed_call(void)
{
	char *key = world_key(0);

	world_call(0, "POST", "/bookings", key);
	g_free(key);
}

static void
rpc_twice(void)
{
	if (W.nodes[0].up)
		keyed_call();
	memset(&W.fault, 0, sizeof(W.fault));
	W.fault.proc = PT_FORWARD;
	W.fault.duplicate = TRUE;
	W.fault.delay_us = 2 * WORLD_S;
}

static void
rpc_reply_lost(void)
{
	if (W.nodes[0].up)
		keyed_call();
	memset(&W.fault, 0, sizeof(W.fault));
	W.fault.proc = PT_FORWARD;
	W.fault.lose_reply = TRUE;
}

static void
rpc_done(void)
{
	memset(&W.fault, 0, sizeof(W.fault));
}

static void
cut_domain(void)
{
	guint i;

	for (i = 0; i < W.n; i++)
		if (strcmp(W.nodes[i].domain, W.nodes[cell.victim].domain) == 0)
			W.nodes[i].group = 1;
}

static void
cut_region(void)
{
	guint i;

	for (i = 0; i < W.n; i++) {
		if (strcmp(W.nodes[i].region, "south") != 0)
			continue;
		W.nodes[i].group = 1;
		W.nodes[i].log_cut = TRUE;
	}
}

static void
cut_healed(void)
{
	guint i;

	for (i = 0; i < W.n; i++) {
		W.nodes[i].group = 0;
		W.nodes[i].log_cut = FALSE;
	}
}

/* ---- load ---- */

static void
flood(const char *path)
{
	guint i, at;

	for (i = 0; i < FLOOD_CALLS; i++) {
		at = i % FLEET;
		if (W.nodes[at].up && !W.nodes[at].paused)
			world_call(at, "GET", path, NULL);
	}
}

static void
flood_least(void)
{
	flood("/index");
}

static void
flood_most(void)
{
	flood("/bookings");
}

/* ---- operators ---- */

static void
race(void)
{
	pt_id id;
	guint i;

	cell.raced = TRUE;
	for (i = 0; i < 2; i++) {
		memset(id, 0xa0 + (int)i, sizeof(pt_id));
		world_submit(bystander(), declare(900 + i), id,
		    &cell.race_out[i], &cell.race_answered[i]);
	}
}

/* A change whose route names a service that does not exist, and garbage. */
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
	world_append("config", b);
	g_bytes_unref(b);
	b = g_bytes_new_static("garbage", 7);
	world_append("config", b);
	g_bytes_unref(b);
}

static void
bad_input_to(void *arg)
{
	struct world_node *w = arg;
	guint8 junk[200];
	GError *err = NULL;
	guint i, k;

	for (k = 0; k < 20; k++) {
		for (i = 0; i < sizeof(junk); i++)
			junk[i] = (guint8)g_rand_int(noise);
		memb_input(w->n.memb, junk, g_rand_int(noise) % sizeof(junk));
		if (backend_announce(&w->n, (const char *)junk, 20, &err))
			broken("an announcement of noise was taken");
		g_clear_error(&err);
	}
}

static void
bad_input(void)
{
	guint i;

	noise = g_rand_new_with_seed(7);
	for (i = 0; i < W.n; i++) {
		if (!W.nodes[i].up || W.nodes[i].paused)
			continue;
		world_as((gint)i, bad_input_to, &W.nodes[i]);
		world_call(i, "GET", "/nowhere", NULL);
		world_call(i, "POST", "/bookings", "not a key");
		world_call(i, "POST", "/bookings", NULL);
	}
	g_rand_free(noise);
}

/* ---- backend servers ---- */

static struct world_backend *
victim_backend(void)
{
	return &W.nodes[cell.victim].b;
}

static void
backend_cold(void)
{
	victim_backend()->service_us = 400 * WORLD_MS;
	victim_backend()->state = PT_WARMING;
}

static void
backend_sheds(void)
{
	victim_backend()->shed = TRUE;
}

static void
backend_lies(void)
{
	victim_backend()->lies = TRUE;
}

static void
backend_dies_mid(void)
{
	victim_backend()->answer_len = 300000;
	victim_backend()->die_mid = TRUE;
}

static void
backend_dies_lost(void)
{
	victim_backend()->die_lost = TRUE;
}

static void
backend_silent(void)
{
	victim_backend()->silent = TRUE;
}

static void
backend_dead(void)
{
	victim_backend()->up = FALSE;
}

static void
backend_leaves(void)
{
	victim_backend()->state = PT_DRAINING;
	cell.leaving = cell.victim;
	cell.leaves_at = W.now + WORLD_S; /* the next announcement */
}

static void
backend_well(void)
{
	struct world_backend *b = victim_backend();

	b->shed = b->lies = b->die_mid = b->die_lost = b->silent = FALSE;
	b->up = TRUE;
	b->service_us = 5 * WORLD_MS;
	b->answer_len = 100;
	if (cell.leaves_at == 0)
		b->state = PT_SERVING;
}

const struct fault faults[] = {
	{ "death", "one node dies and returns", FAULT_KILLS, kill_one,
	    restart_all, 8 * WORLD_S },
	{ "herd", "60 % of the nodes die", FAULT_KILLS, kill_herd, restart_all,
	    20 * WORLD_S },
	{ "storm", "60 % of the nodes die and return at once", FAULT_KILLS,
	    kill_herd, restart_all, 100 * WORLD_MS },
	{ "readers", "every reader dies", FAULT_KILLS, kill_readers,
	    restart_all, 10 * WORLD_S },
	{ "domain", "a failure domain dies and returns", FAULT_KILLS,
	    kill_domain, restart_all, 10 * WORLD_S },
	{ "log-out", "the log is out", FAULT_LOG, log_out, log_back,
	    30 * WORLD_S },
	{ "log-slow", "the log is slow", FAULT_LOG, log_slow, log_back,
	    30 * WORLD_S },
	{ "log-lost", "answers lost after the append", FAULT_LOG, log_lost,
	    log_back, 5 * WORLD_S },
	{ "log-trim", "records trimmed", FAULT_LOG, log_trim, nothing,
	    5 * WORLD_S },
	{ "crossed", "updates crossed, doubled and late", 0, net_crossed,
	    net_ordered, 10 * WORLD_S },
	{ "loss", "5 % of datagrams lost", 0, net_lossy, net_ordered,
	    20 * WORLD_S },
	{ "late-copy", "a late copy of a request", 0, rpc_twice, rpc_done,
	    5 * WORLD_S },
	{ "reply-lost", "an answer between nodes is lost", FAULT_UPSTREAM,
	    rpc_reply_lost, rpc_done, 5 * WORLD_S },
	{ "flood-least", "flood of the least urgent", FAULT_UPSTREAM,
	    flood_least, nothing, 5 * WORLD_S },
	{ "flood-most", "flood of the most urgent", FAULT_UPSTREAM, flood_most,
	    nothing, 5 * WORLD_S },
	{ "paused", "a node is paused and wakes", FAULT_KILLS, pause_one,
	    resume_one, 30 * WORLD_S },
	{ "race", "operators race", 0, race, nothing, 5 * WORLD_S },
	{ "cut-domain", "a failure domain is cut off", FAULT_CUT, cut_domain,
	    cut_healed, 60 * WORLD_S },
	{ "cut-region", "regions part for an hour", FAULT_CUT | FAULT_LOG,
	    cut_region, cut_healed, CUT_US },
	{ "cold", "backend server cold", FAULT_UPSTREAM, backend_cold,
	    backend_well, 5 * WORLD_S },
	{ "sheds", "backend server sheds load", FAULT_UPSTREAM, backend_sheds,
	    backend_well, 5 * WORLD_S },
	{ "lies", "backend server lies about its health", FAULT_UPSTREAM,
	    backend_lies, backend_well, 5 * WORLD_S },
	{ "dies-mid", "backend server closes in mid-answer", FAULT_UPSTREAM,
	    backend_dies_mid, backend_well, 5 * WORLD_S },
	{ "dies-lost", "backend server runs and closes", FAULT_UPSTREAM,
	    backend_dies_lost, backend_well, 5 * WORLD_S },
	{ "silent", "backend server never answers", FAULT_UPSTREAM,
	    backend_silent, backend_well, 5 * WORLD_S },
	{ "dead", "backend server is gone", FAULT_UPSTREAM, backend_dead,
	    backend_well, 10 * WORLD_S },
	{ "leaves", "backend server leaves", FAULT_UPSTREAM, backend_leaves,
	    backend_well, 10 * WORLD_S },
	{ "bad-version", "a bad version in the log", 0, bad_version, nothing,
	    5 * WORLD_S },
	{ "bad-input", "bad input on every port", 0, bad_input, nothing,
	    5 * WORLD_S },
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
