/*
 * Quick start: starts the mesh of a deployment on loopback addresses, applies
 * its declarations through ptctl, sends calls of every rank, drains an upstream
 * under load, prints a table and checks the guarantees it shows.
 *   demo [skates|copper] [--keep] [--roll]
 * --roll replaces every instance of a failure domain, one after another.
 */

#include <glib.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "mesh.h"

#define DOMAINS 3
#define SERVICES 3
#define SLOTS 12
#define KINDS_MAX 16
#define BOOT_MS 30000
#define TOOL_MS 20000
#define CONVERGE_MS 6000 /* guaranteed bound on the convergence time */
#define CALL_MS 5000
#define STEADY_MS 3000
#define DRAIN_MS 30000
/* Sizes of answer bodies, in bytes. */
#define SMALL 2048
#define LARGE 500000

struct service {
	const char *name;
	guint upstreams;
	gsize size; /* of an answer body, in bytes */
};

static const struct deployment {
	const char *name;
	const char *regions[DOMAINS]; /* by failure domain */
	guint connections;
	struct service services[SERVICES];
} deployments[] = {
	{ "skates", { "wales", "wales", "wales" }, 100,
	    { { "records", 5, SMALL }, { "bookings", 3, SMALL },
		{ "profiles", 3, SMALL } } },
	{ "copper", { "kumasi", "kumasi", "accra" }, 130,
	    { { "stock", 6, SMALL }, { "orders", 5, SMALL },
		{ "drawings", 3, LARGE } } },
};

struct demo {
	const struct deployment *d;
	gboolean keep;
	gboolean roll;
	struct mesh *mesh;
	struct mesh_kind kinds[KINDS_MAX];
	char *ranks[KINDS_MAX]; /* by kind of call */
	guint n_kinds;
	double converge_s;
	guint in_force;
	gint64 version;
	gboolean drained; /* drained processes exited in time with status 0 */
	gboolean broken;
};

static gboolean
fail(struct demo *x, const char *what, GError *err)
{
	printf("FAILED: %s%s%s\n", what, err != NULL ? ": " : "",
	    err != NULL ? err->message : "");
	g_clear_error(&err);
	x->broken = TRUE;
	return FALSE;
}

static gboolean
start(struct demo *x)
{
	struct mesh_opts o = { .keep = x->keep, .log_level = "info" };
	struct mesh_inst_opts io = { 0 };
	const struct service *s;
	struct mesh_inst *inst;
	GError *err = NULL;
	char *name;
	guint i, k, n = 0;

	x->mesh = mesh_new(&o, &err);
	if (x->mesh == NULL || !mesh_log_start(x->mesh, NULL, &err))
		return fail(x, "start of the log", err);
	for (i = 0; i < SERVICES; i++) {
		s = &x->d->services[i];
		for (k = 0; k < s->upstreams; k++, n++) {
			name = g_strdup_printf("%s-%u", s->name, k + 1);
			io.name = name;
			io.domain = n % DOMAINS + 1;
			io.region = x->d->regions[n % DOMAINS];
			io.service = s->name;
			io.slots = SLOTS;
			io.connections = x->d->connections;
			inst = mesh_add(x->mesh, &io);
			g_free(name);
			if (!mesh_start(inst, MESH_NODE | MESH_BACK, &err))
				return fail(x, "start of an instance", err);
		}
	}
	if (!mesh_wait_ready(x->mesh, n, BOOT_MS))
		return fail(x, "not every node became ready", NULL);
	return TRUE;
}

static gsize
size_of(const struct demo *x, const char *service)
{
	guint i;

	for (i = 0; i < SERVICES; i++)
		if (strcmp(x->d->services[i].name, service) == 0)
			return x->d->services[i].size;
	return SMALL;
}

/* Adds a kind of call for each route of the declarations. */
static gboolean
read_routes(struct demo *x, const char *file)
{
	GKeyFile *f = g_key_file_new();
	GError *err = NULL;
	char **groups, **g, *service;
	struct mesh_kind *k;

	if (!g_key_file_load_from_file(f, file, G_KEY_FILE_NONE, &err)) {
		g_key_file_free(f);
		return fail(x, file, err);
	}
	groups = g_key_file_get_groups(f, NULL);
	for (g = groups; *g != NULL && x->n_kinds < KINDS_MAX; g++) {
		if (!g_str_has_prefix(*g, "route "))
			continue;
		x->ranks[x->n_kinds] =
		    g_key_file_get_string(f, *g, "rank", NULL);
		k = &x->kinds[x->n_kinds++];
		k->name = g_strdup(*g + strlen("route "));
		k->path = g_key_file_get_string(f, *g, "path", NULL);
		k->keyed = !g_key_file_get_boolean(f, *g, "idempotent", NULL);
		k->method = k->keyed ? "POST" : "GET";
		service = g_key_file_get_string(f, *g, "service", NULL);
		k->size = size_of(x, service != NULL ? service : "");
		k->per_second = k->size == LARGE ? 10 : 40;
		g_free(service);
	}
	g_strfreev(groups);
	g_key_file_free(f);
	return TRUE;
}

/* Version in force at a node, -1 if it does not answer. */
static gint64
version_at(struct mesh_inst *i)
{
	struct pt_get_args a = { PT_PROTO, PT_KIND_MESH, "mesh" };
	struct pt_get_res r;
	gint64 v;

	if (!mesh_call(i, PT_GET, &a, &r, sizeof(r), CALL_MS, NULL))
		return -1;
	v = r.vers;
	xdr_free((xdrproc_t)xdr_pt_get_res, (char *)&r);
	return v;
}

/* True once every running node has the newest version of any node in force. */
static gboolean
in_force(void *arg)
{
	struct demo *x = arg;
	struct mesh_inst *inst;
	guint i, n = 0, alive = 0;
	gint64 v, newest = 0;

	for (i = 0; i < mesh_size(x->mesh); i++)
		newest = MAX(newest, version_at(mesh_at(x->mesh, i)));
	for (i = 0; i < mesh_size(x->mesh); i++) {
		inst = mesh_at(x->mesh, i);
		if (inst->node.pid == 0)
			continue;
		alive++;
		v = version_at(inst);
		n += v > 0 && v == newest;
	}
	x->version = newest;
	x->in_force = n;
	return newest > 0 && n == alive;
}

static char *
rpc_address(const struct mesh_inst *i)
{
	return g_strdup_printf("%s:%d", i->host, MESH_RPC_PORT);
}

static gboolean
apply(struct demo *x, const char *file)
{
	char *node = rpc_address(mesh_at(x->mesh, 0));
	const char *argv[] = { "ptctl", "--node", node, "apply", file, NULL };
	char *out = NULL;
	gint64 t0 = g_get_monotonic_time();
	gboolean ok;
	int code;

	code = mesh_tool(x->mesh, argv, &out, TOOL_MS);
	ok = code == 0;
	if (!ok)
		printf("ptctl apply: exit %d: %s\n", code, out);
	g_free(out);
	g_free(node);
	if (!ok)
		return fail(x,
		    "ptctl apply of the declarations; see its output above",
		    NULL);
	if (!mesh_until(in_force, x, 2 * CONVERGE_MS))
		return fail(x, "the version is not in force everywhere", NULL);
	x->converge_s = (double)(g_get_monotonic_time() - t0) / 1e6;
	return TRUE;
}

static char **
entry_urls(const struct demo *x)
{
	guint i, n = mesh_size(x->mesh);
	char **u = g_new0(char *, n + 1);

	for (i = 0; i < n; i++)
		u[i] = g_strdup_printf(
		    "http://%s:%d", mesh_at(x->mesh, i)->host, MESH_HTTP_PORT);
	return u;
}

/* True once every node has the announcements of all upstreams. */
static gboolean
all_serving(void *arg)
{
	struct demo *x = arg;
	struct pt_get_args a = { PT_PROTO, -1, "" };
	struct pt_status_res r;
	guint i, k, n, want = mesh_size(x->mesh), full = 0;

	for (i = 0; i < want; i++) {
		if (!mesh_call(mesh_at(x->mesh, i), PT_STATUS, &a, &r,
			sizeof(r), CALL_MS, NULL))
			continue;
		n = 0;
		for (k = 0; k < r.list.list_len; k++)
			n += r.list.list_val[k].state == PT_SERVING &&
			     *r.list.list_val[k].service != '\0';
		full += n == want;
		xdr_free((xdrproc_t)xdr_pt_status_res, (char *)&r);
	}
	return full == want;
}

/* Stops an instance gracefully; it must exit without SIGKILL. */
static void
drain(struct demo *x, struct mesh_inst *inst)
{
	printf("draining %s (%s) under load\n", inst->o.name, inst->host);
	x->drained &= mesh_stop(inst, MESH_NODE | MESH_BACK, DRAIN_MS);
}

/* Replaces every instance of the first failure domain. */
static void
roll(struct demo *x)
{
	struct mesh_inst *inst;
	GError *err = NULL;
	guint i, n = mesh_size(x->mesh);

	for (i = 0; i < n && !x->broken; i++) {
		inst = mesh_at(x->mesh, i);
		if (inst->o.domain != 1)
			continue;
		if (i > 0)
			drain(x, inst);
		if (!mesh_start(inst, MESH_NODE | MESH_BACK, &err) ||
		    !mesh_wait_ready(x->mesh, n, BOOT_MS))
			fail(x, "restart of a replaced instance", err);
		mesh_sleep(STEADY_MS);
	}
}

static struct mesh_load *
run_load(struct demo *x)
{
	char **urls = entry_urls(x);
	struct mesh_load_opts o = { 0 };
	struct mesh_inst *leaving = mesh_at(x->mesh, 0);
	struct mesh_load *l;

	o.urls = (const char *const *)urls;
	o.kinds = x->kinds;
	o.n_kinds = x->n_kinds;
	o.seed = 1;
	o.timeout_ms = 15000;
	o.connections = 64;
	l = mesh_load_new(&o);
	mesh_load_start(l);
	mesh_sleep(STEADY_MS);
	x->drained = TRUE;
	drain(x, leaving);
	if (x->roll)
		roll(x);
	mesh_sleep(STEADY_MS);
	mesh_load_stop(l);
	if (!mesh_load_settle(l, o.timeout_ms + CALL_MS))
		fail(x, "calls in flight did not end before their time-out",
		    NULL);
	g_strfreev(urls);
	return l;
}

static void
require(struct demo *x, gboolean kept, const char *text)
{
	if (kept)
		return;
	printf("BROKEN: %s\n", text);
	x->broken = TRUE;
}

static void
print_ranks(const struct demo *x, const struct mesh_load *l)
{
	const struct mesh_kind_stats *s;
	guint i, r;

	printf("\n%-12s %-10s %6s", "rank", "route", "sent");
	for (r = 0; r < MESH_RESULTS; r++)
		printf(" %7s", mesh_result_names[r]);
	printf(" %8s %8s\n", "p50 ms", "p99 ms");
	for (i = 0; i < x->n_kinds; i++) {
		s = mesh_load_stats(l, i);
		printf("%-12s %-10s %6" G_GUINT64_FORMAT, x->ranks[i],
		    x->kinds[i].name, s->sent);
		for (r = 0; r < MESH_RESULTS; r++)
			printf(" %7" G_GUINT64_FORMAT, s->results[r]);
		printf(" %8.2f %8.2f\n",
		    mesh_percentile(s->latency_us, 50) / 1e3,
		    mesh_percentile(s->latency_us, 99) / 1e3);
	}
}

static void
report(struct demo *x, const struct mesh_load *l)
{
	struct mesh_runs runs = mesh_runs(x->mesh);
	guint64 all[MESH_RESULTS] = { 0 };
	guint i, r, n = mesh_size(x->mesh);

	for (i = 0; i < x->n_kinds; i++)
		for (r = 0; r < MESH_RESULTS; r++)
			all[r] += mesh_load_stats(l, i)->results[r];
	print_ranks(x, l);
	printf("\nversion in force       %" G_GINT64_FORMAT " at %u of %u "
	       "nodes\n",
	    x->version, x->in_force, n);
	printf("seconds to converge    %.2f\n", x->converge_s);
	printf("cut requests           %" G_GUINT64_FORMAT "\n", all[MESH_CUT]);
	printf(
	    "wrong answers          %" G_GUINT64_FORMAT "\n", all[MESH_WRONG]);
	printf("outcome unknown        %" G_GUINT64_FORMAT "\n",
	    all[MESH_UNKNOWN]);
	printf("operations run         %u, doubled %u\n", runs.total,
	    runs.duplicates);
	require(x, x->in_force == n, "version in force at every node");
	require(x, x->converge_s * 1000 <= CONVERGE_MS,
	    "in force everywhere within 6 s");
	require(x, all[MESH_CUT] + all[MESH_UNKNOWN] == 0,
	    "a planned stop interrupts no request");
	require(x, x->drained, "a drained upstream exits by itself");
	require(x, all[MESH_WRONG] == 0,
	    "every answer is complete and belongs to its request");
	require(x, all[MESH_FAILED] == 0, "every call gets an answer");
	require(x, runs.duplicates == 0, "a keyed operation runs at most once");
	require(x, all[MESH_OK] > 0, "calls are answered");
}

/* With --keep: prints how to use the mesh, and writes a script to stop it. */
static void
print_keep(struct demo *x)
{
	struct mesh_inst *i, *at = mesh_at(x->mesh, 1);
	GString *s = g_string_new("#!/bin/sh\nkill");
	char *path = g_build_filename(mesh_dir(x->mesh), "stop", NULL);
	guint k;

	for (k = 0; k < mesh_size(x->mesh); k++) {
		i = mesh_at(x->mesh, k);
		if (i->node.pid > 0)
			g_string_append_printf(s, " %d", i->node.pid);
		if (i->back.pid > 0)
			g_string_append_printf(s, " %d", i->back.pid);
	}
	g_string_append_printf(s, " %d\n", mesh_log(x->mesh)->pid);
	if (!g_file_set_contents(path, s->str, -1, NULL))
		printf("cannot write %s\n", path);
	printf("\nThe mesh keeps running. Try:\n"
	       "  curl -i http://%s:%d%s\n"
	       "  curl http://%s:%d/metrics\n"
	       "  build/bin/ptctl --node %s:%d status\n"
	       "Output of the processes: %s\n"
	       "Stop it with: sh %s\n",
	    at->host, MESH_HTTP_PORT, x->kinds[0].path, at->host,
	    MESH_ADMIN_PORT, at->host, MESH_RPC_PORT, mesh_dir(x->mesh), path);
	g_free(path);
	g_string_free(s, TRUE);
}

static void
run(struct demo *x, const char *file)
{
	struct mesh_load *l;

	if (!read_routes(x, file) || !start(x))
		return;
	printf("%u instances run\n", mesh_size(x->mesh));
	if (!apply(x, file))
		return;
	if (!mesh_until(all_serving, x, BOOT_MS)) {
		fail(x, "not every node has the announcements of all upstreams",
		    NULL);
		return;
	}
	l = run_load(x);
	report(x, l);
	mesh_load_free(l);
}

static void
finish(struct demo *x)
{
	guint i;

	if (x->mesh != NULL) {
		if (x->keep)
			print_keep(x);
		else if (x->broken)
			printf(
			    "Output of the processes: %s\n", mesh_dir(x->mesh));
		else
			mesh_clean(x->mesh);
		mesh_free(x->mesh);
	}
	for (i = 0; i < x->n_kinds; i++) {
		g_free((char *)x->kinds[i].name);
		g_free((char *)x->kinds[i].path);
		g_free(x->ranks[i]);
	}
}

int
main(int argc, char **argv)
{
	struct demo x = { 0 };
	char *file;
	guint k;
	int i;

	x.d = &deployments[0];
	for (i = 1; i < argc; i++) {
		for (k = 0; k < G_N_ELEMENTS(deployments); k++)
			if (strcmp(argv[i], deployments[k].name) == 0)
				break;
		if (strcmp(argv[i], "--keep") == 0) {
			x.keep = TRUE;
		} else if (strcmp(argv[i], "--roll") == 0) {
			x.roll = TRUE;
		} else if (k < G_N_ELEMENTS(deployments)) {
			x.d = &deployments[k];
		} else {
			fprintf(stderr,
			    "demo: \"%s\" is unknown; give skates "
			    "or copper, --keep and --roll\n",
			    argv[i]);
			return 1;
		}
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	file = g_strdup_printf("deploy/%s.conf", x.d->name);
	run(&x, file);
	finish(&x);
	g_free(file);
	return x.broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
