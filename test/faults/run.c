/* Runs a cell and checks the promises. */
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

/* From the design: in force everywhere within 6 s, no new work after 3 s. */
#define CONVERGE_US (6 * WORLD_S)
#define LEAVE_US (3 * WORLD_S)
#define BOOT_US (60 * WORLD_S)
#define SETTLE_US (5 * WORLD_S)
#define STOP_US (30 * WORLD_S)
#define CALL_US (15 * WORLD_S)
#define LOAD_EVERY_US (500 * WORLD_MS)
#define LOAD_FOR_US (10 * WORLD_S)

struct cell cell;

void
broken(const char *fmt, ...)
{
	va_list ap;

	if (cell.broken->len > 0)
		g_string_append(cell.broken, "; ");
	va_start(ap, fmt);
	g_string_append_vprintf(cell.broken, fmt, ap);
	va_end(ap);
}

const char *
declare(guint n)
{
	static char text[2048];

	g_snprintf(text, sizeof(text),
	    "[mesh]\nurgency=50\n"
	    "[rank booking]\norder=0\ntarget_ms=250\nworth=100\nfloor=20\n"
	    "[rank lookup]\norder=1\ntarget_ms=400\nworth=10\nfloor=25\n"
	    "[rank background]\norder=2\ntarget_ms=%u\nworth=1\nfloor=10\n"
	    "[service records]\nretry_budget=10\nlimit=1000\neject_max=40\n"
	    "ramp_ms=1000\n"
	    "[service bookings]\nretry_budget=10\nlimit=1000\neject_max=40\n"
	    "ramp_ms=1000\n"
	    "[route records]\npath=/records\nservice=records\nrank=lookup\n"
	    "timeout_ms=2000\nidempotent=true\n"
	    "[route index]\npath=/index\nservice=records\nrank=background\n"
	    "timeout_ms=5000\nidempotent=true\n"
	    "[route bookings]\npath=/bookings\nservice=bookings\n"
	    "rank=booking\ntimeout_ms=2000\nidempotent=false\n",
	    4000 + n);
	return text;
}

guint
bystander(void)
{
	guint i;

	for (i = W.n; i > 0; i--)
		if (i - 1 != cell.victim && W.nodes[i - 1].up &&
		    !W.nodes[i - 1].paused && W.nodes[i - 1].n.ready)
			return i - 1;
	return 0;
}

void
submit_at(guint node)
{
	cell.changes++;
	memset(cell.id, 0x40 + (int)cell.changes, sizeof(cell.id));
	cell.submitted = TRUE;
	world_submit(
	    node, declare(cell.changes), cell.id, &cell.out, &cell.answered);
}

void
load(guint rounds)
{
	guint i, r;

	for (r = 0; r < rounds; r++)
		for (i = 0; i < W.n; i++) {
			if (!W.nodes[i].up || W.nodes[i].paused)
				continue;
			world_call(i, "GET", "/records/1", NULL);
			world_call(i, "GET", "/bookings/1", NULL);
		}
}

/* ---- start ---- */

static gboolean
first_version(void)
{
	return world_all_ready() && world_converged(1);
}

/*
 * Three failure domains, two of them in region "north".  Five upstreams of
 * "records", four of "bookings".
 */
static void
boot(guint32 seed)
{
	static const char *const domains[] = { "d0", "d1", "d2" };
	static const char *const regions[] = { "north", "north", "south" };
	guint i;

	world_new(seed);
	for (i = 0; i < FLEET; i++)
		world_add(domains[i % 3], regions[i % 3],
		    i < 5 ? "records" : "bookings");
	for (i = 0; i < FLEET; i++)
		world_start(i);
	cell.victim = FLEET;
	if (!world_until(world_all_ready, BOOT_US)) {
		broken("not every node became ready");
		return;
	}
	submit_at(0);
	if (!world_until(first_version, CONVERGE_US))
		broken("the first version is not in force everywhere");
	if (!cell.answered || cell.out.kind != PT_ACCEPTED)
		broken("the first version was not accepted");
	cell.submitted = FALSE;
	world_run(SETTLE_US);
}

/* ---- end ---- */

static gint64 wanted;

static gboolean
in_force(void)
{
	return world_all_ready() && world_converged(wanted);
}

static void
check_converged(const char *when)
{
	guint i;

	wanted = world_top_version();
	if (world_until(in_force, CONVERGE_US))
		return;
	for (i = 0; i < W.n; i++)
		if (!W.nodes[i].n.ready ||
		    conf_version(W.nodes[i].n.conf) < wanted)
			broken("%s: node %u is at version %d of %d%s", when, i,
			    (int)conf_version(W.nodes[i].n.conf), (int)wanted,
			    W.nodes[i].n.ready ? "" : " and not ready");
}

static gboolean
answered(void)
{
	return cell.answered;
}

/* The operator's answer was true. */
static void
check_submit(guint at, guint life)
{
	struct pt_outcome o;
	gboolean found;

	if (!cell.submitted)
		return;
	if (W.nodes[at].life == life && !world_until(answered, CALL_US))
		broken("the operator got no answer");
	found = conf_outcome(W.nodes[bystander()].n.conf, cell.id, &o);
	if (world_id_count(cell.id) > 1)
		broken("the change set was appended twice");
	if (!cell.answered)
		return;
	if (cell.out.kind == PT_ACCEPTED && (!found || o.kind != PT_ACCEPTED))
		broken("answered accepted, but it is not");
	if (cell.out.kind != PT_ACCEPTED && cell.out.kind != PT_UNKNOWN &&
	    found && o.kind == PT_ACCEPTED)
		broken("answered %d, but it was accepted", (int)cell.out.kind);
	if (cell.out.kind == PT_UNKNOWN &&
	    (cell.flags & (FAULT_LOG | FAULT_KILLS | FAULT_CUT)) == 0)
		broken("outcome unknown without cause");
}

/* A new change set is accepted and in force within 6 s. */
static void
check_new_change(void)
{
	gint64 before = world_top_version();

	cell.submitted = FALSE;
	submit_at(bystander());
	world_until(answered, CONVERGE_US);
	if (!cell.answered || cell.out.kind != PT_ACCEPTED)
		broken("a new change set was not accepted (%d)",
		    cell.answered ? (int)cell.out.kind : -1);
	else if (world_top_version() <= before)
		broken("a new change set made no version");
	check_converged("new change");
}

/* Every node serves both services. */
static void
check_calls(void)
{
	struct world_call *c[2 * FLEET];
	char *key;
	guint i;

	for (i = 0; i < FLEET; i++) {
		c[2 * i] = world_call(i, "GET", "/records/9", NULL);
		key = world_key(i);
		c[2 * i + 1] = world_call(i, "POST", "/bookings", key);
		g_free(key);
	}
	world_run(CALL_US);
	for (i = 0; i < 2 * FLEET; i++)
		if (!c[i]->done || c[i]->status != 200)
			broken("%s through node %u: %s %u %s %s",
			    i % 2 == 0 ? "lookup" : "booking", i / 2,
			    c[i]->done ? "status" : "no answer", c[i]->status,
			    c[i]->outcome != NULL ? c[i]->outcome : "",
			    c[i]->done ? c[i]->body->str : "");
}

static void
check_leaving(void)
{
	struct world_backend *b = &W.nodes[cell.leaving].b;

	if (cell.leaves_at == 0)
		return;
	if (b->last_start > cell.leaves_at + LEAVE_US)
		broken("a leaving upstream got work %.1f s after it left",
		    (double)(b->last_start - cell.leaves_at) / 1e6);
	b->state = PT_SERVING;
	cell.leaves_at = 0;
}

/* Callers: no answer is short or another's, and none is missing. */
static void
check_callers(gboolean may_cut)
{
	struct world_call *c;
	guint i, cut = 0, open = 0;

	for (i = 0; i < W.calls->len; i++) {
		c = W.calls->pdata[i];
		open += !c->done && !c->reset;
		cut += c->reset && !c->refused;
	}
	if (open > 0)
		broken("%u calls got no answer", open);
	if (cut > 0 && !may_cut)
		broken("%u calls were cut", cut);
}

static void
check_counters(void)
{
	static const struct {
		const char *text;
		const guint64 *count;
	} list[] = {
		{ "a version went down", &W.version_down },
		{ "a route dangles", &W.dangling },
		{ "nodes differ at the same position", &W.partial },
		{ "an answer belongs to another request", &W.wrong_answers },
		{ "\"not run\" for a request that ran", &W.false_refusals },
		{ "a key ran twice", &W.doubled },
		{ "a short answer ended as a whole one", &W.short_answers },
		{ "a node served an old version", &W.early },
	};
	struct world_call *c;
	guint i;

	for (i = 0; i < W.calls->len; i++) {
		c = W.calls->pdata[i];
		if (c->key == NULL && c->outcome != NULL &&
		    strcmp(c->outcome, "not-run") == 0 && world_ran(c))
			W.false_refusals++;
	}
	for (i = 0; i < G_N_ELEMENTS(list); i++)
		if (*list[i].count > 0)
			broken(
			    "%s (%d times)", list[i].text, (int)*list[i].count);
}

/* Every live member is known to be alive, and no slot is held. */
static void
check_members(void)
{
	const struct memb_member *m;
	guint i, k;

	for (i = 0; i < W.n; i++) {
		for (k = 0; k < W.n; k++) {
			m = memb_find(W.nodes[i].n.memb, W.nodes[k].name);
			if (m == NULL || m->health != PT_ALIVE)
				broken("node %u does not know that node %u "
				       "lives",
				    i, k);
		}
		if (serve_active(W.nodes[i].n.serve) > 0)
			broken("node %u still holds %u calls", i,
			    serve_active(W.nodes[i].n.serve));
	}
}

/* Of two changes based on the same version, one is accepted. */
static void
check_race(void)
{
	guint i, accepted = 0, conflicts = 0;

	for (i = 0; i < 2 && cell.raced; i++) {
		if (!cell.race_answered[i])
			broken("an operator who races got no answer");
		accepted += cell.race_out[i].kind == PT_ACCEPTED;
		conflicts += cell.race_out[i].kind == PT_CONFLICT;
	}
	/* Without the log or a way to it, both may be told so. */
	if (accepted > 1 || (cell.raced && accepted + conflicts < 2 &&
				(cell.flags & (FAULT_LOG | FAULT_CUT)) == 0))
		broken("of two racing changes %u were accepted, %u refused "
		       "as conflict",
		    accepted, conflicts);
}

static gboolean
stopped(void)
{
	return W.nodes[cell.stopping - 1].stopped;
}

static void
got_status(void *arg, const struct pt_status_res *r)
{
	gboolean *whole = arg;

	*whole =
	    r->complete && r->in_force == r->members && r->lag.lag_len == 0;
}

/* The status that operators see counts every member, and nobody who left. */
static gboolean
status_whole(void)
{
	static gboolean whole;
	struct pt_get_args a = { PT_PROTO, -1, (char *)"" };
	guint at = bystander();
	gint before = W.owner;

	W.owner = (gint)at;
	dist_status(W.nodes[at].n.dist, &a, got_status, &whole);
	W.owner = before;
	return whole;
}

static void
check_status(const char *when)
{
	if (!world_until(status_whole, CONVERGE_US))
		broken("%s: status does not show the version in force "
		       "everywhere",
		    when);
}

/* The graceful shutdown ends, and the instance is replaced. */
static void
finish_stop(void)
{
	guint i = cell.stopping - 1;

	if (cell.stopping == 0 || (W.nodes[i].up && !W.nodes[i].n.draining))
		return;
	if (W.nodes[i].up && !world_until(stopped, STOP_US))
		broken("a graceful shutdown did not end");
	world_kill(i);
	world_run(WORLD_S);
	if (cell.flags == 0)
		check_status("after a planned stop");
	world_start(i);
}

/* The live nodes reach each other and the log. */
static gboolean
may_change(void)
{
	return (cell.flags & (FAULT_LOG | FAULT_CUT)) == 0 &&
	       cell.fault->lasts_us >= 8 * WORLD_S &&
	       strcmp(cell.fault->name, "paused") != 0;
}

/* A change during the fault is in force at every live node within 6 s. */
static void
change_during(void)
{
	pt_id id;

	if (!may_change() || cell.during_done)
		return;
	if (cell.during && cell.during_answered &&
	    cell.during_out.kind == PT_ACCEPTED) {
		if (cell.during_at == 0)
			cell.during_at = W.now;
		cell.during_done = world_converged(cell.during_out.offset);
		if (!cell.during_done && W.now - cell.during_at > CONVERGE_US)
			broken("a change during the fault is not in force at "
			       "every live node after 6 s");
		cell.during_done |= cell.broken->len > 0;
		return;
	}
	if (cell.during && !cell.during_answered)
		return;
	cell.during = TRUE;
	cell.changes++;
	memset(id, 0x40 + (int)cell.changes, sizeof(id));
	world_submit(bystander(), declare(cell.changes), id, &cell.during_out,
	    &cell.during_answered);
}

static void
last(void)
{
	gint64 end, busy = W.now + LOAD_FOR_US;

	end = W.now + MAX(cell.fault->lasts_us,
			  cell.also != NULL ? cell.also->lasts_us : 0);
	while (W.now < MIN(end, busy)) {
		load(1);
		world_run(MIN(LOAD_EVERY_US, end - W.now));
		change_during();
	}
	if (W.now < end)
		world_run(end - W.now);
}

static guint32
cell_seed(void)
{
	return g_str_hash(cell.step->name) ^ g_str_hash(cell.fault->name) ^
	       (cell.also != NULL ? g_str_hash(cell.also->name) * 31 : 0);
}

static void
inject(void)
{
	cell.fault->inject();
	if (cell.also != NULL)
		cell.also->inject();
	last();
	cell.fault->heal();
	if (cell.also != NULL)
		cell.also->heal();
}

static gboolean
has_fault(const char *name)
{
	return strcmp(cell.fault->name, name) == 0 ||
	       (cell.also != NULL && strcmp(cell.also->name, name) == 0);
}

static void
run_checks(guint at, guint life)
{
	finish_stop();
	check_converged("after healing");
	check_leaving();
	check_submit(at, life);
	world_run(SETTLE_US);
	if (cell.step->check != NULL)
		cell.step->check();
	check_new_change();
	check_calls();
	check_callers((cell.flags & FAULT_KILLS) != 0 || has_fault("dies-mid"));
	check_race();
	check_members();
	check_status("at the end");
	check_counters();
}

gboolean
cell_run(const struct step *s, const struct fault *f, const struct fault *also)
{
	guint at, life;

	memset(&cell, 0, sizeof(cell));
	cell.step = s;
	cell.fault = f;
	cell.also = also;
	cell.flags = f->flags | (also != NULL ? also->flags : 0);
	cell.broken = g_string_new(NULL);
	boot(cell_seed());
	if (cell.broken->len == 0) {
		s->begin();
		at = cell.victim < FLEET ? cell.victim : 0;
		life = W.nodes[at].life;
		inject();
		run_checks(at, life);
	}
	g_free(cell.key);
	world_free();
	if (cell.broken->len > 0)
		return FALSE;
	g_string_free(cell.broken, TRUE);
	return TRUE;
}
