/*
 * Service by rank under overload at 5 times the capacity, with real processes.
 * The overload is of the least urgent rank, the most urgent one, or both; one
 * failure domain is killed in the middle of each run.  Compares admission by
 * rank at three urgencies with first come, first served and strict priority.
 *   flood [skates|copper]
 */

#include <gio/gio.h>
#include <rpc/rpc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "mesh.h"

#define DOMAINS 3
#define SLOTS 12
/*
 * Long calls limit the capacity, and with it the CPU time of a flood, to what
 * one machine can run.
 */
#define SERVICE_MS 1000
#define SERVICE_US "1000000"
#define FLOOD 5.0 /* load of a flood, as a multiple of the capacity */
#define BASE 0.15 /* share of the capacity, for each rank without a flood */
#define BOOT_MS 30000
#define TOOL_MS 40000
#define CALL_MS 5000
#define WARM_MS 4000
#define RUN_MS 8000
/* Twice the longest deadline, as calls to a killed entry node are resent. */
#define SETTLE_MS 30000
/*
 * Number of caller processes: in a libsoup session the cost of a call grows
 * with the calls in flight.
 */
#define CALLERS 16
#define ANSWER 512 /* bytes */
#define KILLED_DOMAIN 1
/* Latency histogram of the nodes. */
#define LATENCY "ptnode_request_seconds"

enum rank {
	URGENT,
	LOOKUP,
	BACKGROUND,
	RANKS
};

static const struct {
	const char *name, *path;
	guint target_ms, timeout_ms, worth;
} ranks[RANKS] = { { "urgent", "/urgent", 2000, 3000, 100 },
	{ "lookup", "/lookup", 3000, 4500, 10 },
	{ "background", "/background", 6000, 8000, 1 } };

static const struct deployment {
	const char *name;
	guint upstreams, connections;
	guint floors[RANKS];
} deployments[] = { { "skates", 11, 100, { 20, 25, 5 } },
	{ "copper", 14, 130, { 20, 30, 10 } } };

static const struct variant {
	const char *admission;
	guint urgency;
} variants[] = { { "rank", 50 }, { "fifo", 50 }, { "strict", 50 },
	{ "rank", 30 }, { "rank", 80 } };

static const struct phase {
	const char *name;
	gboolean flooded[RANKS];
} phases[] = { { "background", { FALSE, FALSE, TRUE } },
	{ "urgent", { TRUE, FALSE, FALSE } },
	{ "both", { TRUE, FALSE, TRUE } } };

struct flood {
	const struct deployment *d;
	const struct variant *v;
	struct mesh *mesh;
	char **urls;
	char *bin; /* directory of the programs */
	GSubprocess *load[CALLERS];
	gboolean broken;
};

enum result {
	RAN,
	FAILED,
	NOT_RUN,
	UNKNOWN,
	RESULTS
};

/* Bucket bounds of the latency histogram. */
static const int buckets_ms[] = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000,
	2000, 5000 };
#define BUCKETS G_N_ELEMENTS(buckets_ms)

/* Counts of calls during the measured time, from the metrics of the nodes. */
struct counters {
	double good[RANKS], results[RANKS][RESULTS];
	double buckets[RANKS][BUCKETS];
};

static gboolean
fail(struct flood *x, const char *what, GError *err)
{
	printf("FAILED: %s %s %u: %s%s%s\n", x->d->name, x->v->admission,
	    x->v->urgency, what, err != NULL ? ": " : "",
	    err != NULL ? err->message : "");
	g_clear_error(&err);
	x->broken = TRUE;
	return FALSE;
}

/* Calls per second that all slots together can serve. */
static double
capacity(const struct flood *x)
{
	return x->d->upstreams * SLOTS * 1000.0 / SERVICE_MS;
}

/* ---- processes ---- */

static char *
declarations(const struct flood *x)
{
	GString *s = g_string_new(NULL);
	guint i;

	g_string_printf(s,
	    "[mesh]\nurgency=%u\n"
	    "[service work]\nlimit=100000\nramp_ms=2000\n",
	    x->v->urgency);
	for (i = 0; i < RANKS; i++)
		g_string_append_printf(s,
		    "[rank %s]\norder=%u\ntarget_ms=%u\nworth=%u\nfloor=%u\n"
		    "[route %s]\npath=%s\nservice=work\nrank=%s\n"
		    "timeout_ms=%u\nidempotent=true\n",
		    ranks[i].name, i, ranks[i].target_ms, ranks[i].worth,
		    x->d->floors[i], ranks[i].name, ranks[i].path,
		    ranks[i].name, ranks[i].timeout_ms);
	return g_string_free(s, FALSE);
}

static gboolean
apply(struct flood *x)
{
	char *file = g_build_filename(mesh_dir(x->mesh), "flood.conf", NULL);
	char *text = declarations(x), *out = NULL;
	char *node =
	    g_strdup_printf("%s:%d", mesh_at(x->mesh, 0)->host, MESH_RPC_PORT);
	const char *argv[] = { "ptctl", "--node", node, "apply", "--wait",
		"--timeout-ms", "30000", file, NULL };
	gboolean ok;

	ok = g_file_set_contents(file, text, -1, NULL) &&
	     mesh_tool(x->mesh, argv, &out, TOOL_MS) == 0;
	if (!ok)
		fail(x, out != NULL ? out : "ptctl apply of the declarations",
		    NULL);
	g_free(node);
	g_free(out);
	g_free(text);
	g_free(file);
	return ok;
}

static gboolean
start_processes(struct flood *x)
{
	/* Static, since the mesh uses them again for restarts. */
	static const char *node_args[] = { "--admission", NULL, NULL };
	static const char *const back_args[] = { "--service-us", SERVICE_US,
		NULL };
	struct mesh_opts o = { .log_level = "info" };
	struct mesh_inst_opts io = { .region = "r",
		.service = "work",
		.slots = SLOTS,
		.connections = x->d->connections,
		.node_args = node_args,
		.back_args = back_args };
	GError *err = NULL;
	gboolean ok;
	char name[16];
	guint i;

	node_args[1] = x->v->admission;
	x->mesh = mesh_new(&o, &err);
	ok = x->mesh != NULL && mesh_log_start(x->mesh, NULL, &err);
	for (i = 0; ok && i < x->d->upstreams; i++) {
		g_snprintf(name, sizeof(name), "u%u", i + 1);
		io.name = name;
		io.domain = i % DOMAINS + 1;
		ok = mesh_start(
		    mesh_add(x->mesh, &io), MESH_NODE | MESH_BACK, &err);
	}
	if (!ok)
		return fail(x, "start of the processes", err);
	if (!mesh_wait_ready(x->mesh, x->d->upstreams, BOOT_MS))
		return fail(x, "not every node became ready", NULL);
	return TRUE;
}

/* TRUE once every node lists every upstream as alive and serving. */
static gboolean
all_serving(void *arg)
{
	struct flood *x = arg;
	struct pt_get_args a = { PT_PROTO, -1, "" };
	struct pt_status_res r;
	guint i, k, n;

	for (i = 0; i < x->d->upstreams; i++) {
		if (!mesh_call(mesh_at(x->mesh, i), PT_STATUS, &a, &r,
			sizeof(r), CALL_MS, NULL))
			return FALSE;
		for (k = 0, n = 0; k < r.list.list_len; k++)
			n += r.list.list_val[k].state == PT_SERVING &&
			     r.list.list_val[k].health == PT_ALIVE &&
			     *r.list.list_val[k].service != '\0';
		xdr_free((xdrproc_t)xdr_pt_status_res, (char *)&r);
		if (n < x->d->upstreams)
			return FALSE;
	}
	return TRUE;
}

static void
kill_domain(struct flood *x)
{
	guint i;

	for (i = 0; i < x->d->upstreams; i++)
		if (mesh_at(x->mesh, i)->o.domain == KILLED_DOMAIN)
			mesh_signal(mesh_at(x->mesh, i), MESH_NODE | MESH_BACK,
			    SIGKILL);
}

static gboolean
restart_domain(struct flood *x)
{
	struct mesh_inst *n;
	GError *err = NULL;
	guint i;

	for (i = 0; i < x->d->upstreams; i++) {
		n = mesh_at(x->mesh, i);
		if (n->o.domain != KILLED_DOMAIN)
			continue;
		if (!mesh_wait_end(n, MESH_NODE | MESH_BACK, CALL_MS) ||
		    !mesh_start(n, MESH_NODE | MESH_BACK, &err))
			return fail(x, "restart of an instance", err);
	}
	if (!mesh_wait_ready(x->mesh, x->d->upstreams, BOOT_MS) ||
	    !mesh_until(all_serving, x, BOOT_MS))
		return fail(
		    x, "the failure domain did not become ready again", NULL);
	return TRUE;
}

/* ---- load ---- */

/* Starts the callers; each sends an equal share of the load of every rank. */
static gboolean
load_start(struct flood *x, const struct phase *p)
{
	GPtrArray *a = g_ptr_array_new_with_free_func(g_free);
	char *urls = g_strjoinv(",", x->urls);
	GError *err = NULL;
	double rate;
	guint i, r;

	for (i = 0; i < CALLERS && err == NULL; i++) {
		g_ptr_array_set_size(a, 0);
		g_ptr_array_add(a, g_build_filename(x->bin, "ptload", NULL));
		g_ptr_array_add(a, g_strdup_printf("--url=%s", urls));
		g_ptr_array_add(a,
		    g_strdup_printf("--seconds=%d", (WARM_MS + RUN_MS) / 1000));
		g_ptr_array_add(a, g_strdup_printf("--seed=%u", i + 1));
		g_ptr_array_add(a, g_strdup("--json=true"));
		for (r = 0; r < RANKS; r++) {
			rate = (p->flooded[r] ? FLOOD : BASE) * capacity(x) /
			       CALLERS;
			g_ptr_array_add(
			    a, g_strdup_printf("%s:GET:%s:%.2f:%d",
				   ranks[r].name, ranks[r].path, rate, ANSWER));
		}
		g_ptr_array_add(a, NULL);
		x->load[i] = g_subprocess_newv((const char *const *)a->pdata,
		    G_SUBPROCESS_FLAGS_STDOUT_SILENCE, &err);
	}
	g_free(urls);
	g_ptr_array_unref(a);
	return err == NULL ? TRUE : fail(x, "start of a caller", err);
}

static gboolean
load_ended(void *arg)
{
	struct flood *x = arg;
	guint i, n = 0;

	for (i = 0; i < CALLERS; i++)
		n += x->load[i] == NULL ||
		     g_subprocess_get_identifier(x->load[i]) == NULL;
	return n == CALLERS;
}

static void
load_stop(struct flood *x)
{
	guint i;

	if (!mesh_until(load_ended, x, SETTLE_MS))
		fail(x, "the callers did not end in time", NULL);
	for (i = 0; i < CALLERS; i++) {
		if (x->load[i] != NULL)
			g_subprocess_force_exit(x->load[i]);
		g_clear_object(&x->load[i]);
	}
}

/* ---- counters ---- */

static double
rank_metric(
    const char *text, const char *name, const char *rank, const char *more)
{
	char *label = g_strdup_printf("rank=\"%s\"%s", rank, more);
	double v = mesh_metric(text, name, label);

	g_free(label);
	return v;
}

/* Adds the counters of a node, multiplied by the sign. */
static void
counters_add(struct counters *c, const struct mesh_inst *n, double sign)
{
	static const char *const results[RESULTS] = { ",result=\"ran\"",
		",result=\"failed\"", ",result=\"not_run\"",
		",result=\"unknown\"" };
	char *text = mesh_metrics(n);
	char le[32], num[G_ASCII_DTOSTR_BUF_SIZE];
	guint r, k;

	for (r = 0; text != NULL && r < RANKS; r++) {
		c->good[r] +=
		    sign * rank_metric(text, "ptnode_requests_good_total",
			       ranks[r].name, "");
		for (k = 0; k < RESULTS; k++)
			c->results[r][k] +=
			    sign * rank_metric(text, "ptnode_requests_total",
				       ranks[r].name, results[k]);
		for (k = 0; k < BUCKETS; k++) {
			g_ascii_formatd(
			    num, sizeof(num), "%g", buckets_ms[k] / 1000.0);
			g_snprintf(le, sizeof(le), ",le=\"%s\"", num);
			c->buckets[r][k] +=
			    sign * rank_metric(text, LATENCY "_bucket",
				       ranks[r].name, le);
		}
	}
	g_free(text);
}

/* Adds the counters of the nodes in, or outside, the killed domain. */
static void
counters_read(struct flood *x, struct counters *c, gboolean killed, double sign)
{
	guint i;

	for (i = 0; i < x->d->upstreams; i++)
		if ((mesh_at(x->mesh, i)->o.domain == KILLED_DOMAIN) == killed)
			counters_add(c, mesh_at(x->mesh, i), sign);
}

/* Calls that the backend servers have run, including expired ones. */
static double
runs(struct flood *x)
{
	double n = 0;
	char *url, *text;
	guint i;

	for (i = 0; i < x->d->upstreams; i++) {
		url = g_strdup_printf("http://%s:%d/metrics",
		    mesh_at(x->mesh, i)->host, MESH_BACK_PORT);
		text = mesh_get(url, CALL_MS);
		if (text != NULL)
			n += mesh_metric(
				 text, "ptback_requests_total", "\"ran\"") +
			     mesh_metric(
				 text, "ptback_requests_total", "\"expired\"");
		g_free(text);
		g_free(url);
	}
	return n;
}

/* Upper bound of the bucket of the 99th percentile, 0: above all buckets. */
static int
p99_ms(const struct counters *c, enum rank r)
{
	double all = c->results[r][RAN] + c->results[r][FAILED];
	guint k;

	for (k = 0; k < BUCKETS; k++)
		if (c->buckets[r][k] >= all * 0.99)
			return buckets_ms[k];
	return 0;
}

static void
report(struct flood *x, const struct phase *p, const struct counters *c,
    double served)
{
	double worth = 0, all = 0, n, k = 1000.0 / RUN_MS;
	guint r, i;

	for (r = 0; r < RANKS; r++) {
		for (i = 0, n = 0; i < RESULTS; i++)
			n += c->results[r][i];
		all += c->good[r];
		worth += c->good[r] * ranks[r].worth;
		printf("%-7s %-10s %-7s %3u %-10s %8.0f %8.1f %8d %7.1f %7.1f "
		       "%7.1f %7.1f\n",
		    x->d->name, p->name, x->v->admission, x->v->urgency,
		    ranks[r].name, n * k, c->good[r] * k, p99_ms(c, r),
		    100 * c->good[r] / MAX(n, 1),
		    100 * c->results[r][NOT_RUN] / MAX(n, 1),
		    100 * c->results[r][UNKNOWN] / MAX(n, 1),
		    100 * c->results[r][FAILED] / MAX(n, 1));
	}
	printf("%-7s %-10s %-7s %3u %-10s %8s %8.1f worth/s %.0f, runs/s "
	       "before the kill %.0f\n",
	    x->d->name, p->name, x->v->admission, x->v->urgency, "all", "",
	    all * k, worth * k, served);
	fflush(stdout);
}

static gboolean
run_phase(struct flood *x, const struct phase *p)
{
	struct counters c = { 0 };
	double before, served;

	if (!load_start(x, p))
		return FALSE;
	mesh_sleep(WARM_MS);
	counters_read(x, &c, TRUE, -1);
	counters_read(x, &c, FALSE, -1);
	before = runs(x);
	mesh_sleep(RUN_MS / 2);
	served = (runs(x) - before) * 2000 / RUN_MS;
	counters_read(x, &c, TRUE, 1);
	kill_domain(x);
	mesh_sleep(RUN_MS / 2);
	counters_read(x, &c, FALSE, 1);
	load_stop(x);
	report(x, p, &c, served);
	return restart_domain(x);
}

static void
run_variant(struct flood *x)
{
	guint i;

	if (start_processes(x) && apply(x) &&
	    (mesh_until(all_serving, x, BOOT_MS) ||
		fail(x, "not every upstream was announced", NULL))) {
		x->urls = g_new0(char *, x->d->upstreams + 1);
		for (i = 0; i < x->d->upstreams; i++)
			x->urls[i] = g_strdup_printf("http://%s:%d",
			    mesh_at(x->mesh, i)->host, MESH_HTTP_PORT);
		for (i = 0; i < G_N_ELEMENTS(phases); i++)
			if (!run_phase(x, &phases[i]))
				break;
		g_clear_pointer(&x->urls, g_strfreev);
	}
	if (x->mesh != NULL && !x->broken)
		mesh_clean(x->mesh);
	g_clear_pointer(&x->mesh, mesh_free);
}

int
main(int argc, char **argv)
{
	struct flood x = { .bin = g_path_get_dirname(argv[0]) };
	guint i, k;

	printf("%-7s %-10s %-7s %3s %-10s %8s %8s %8s %7s %7s %7s %7s\n",
	    "size", "flood", "admiss.", "urg", "rank", "offer/s", "good/s",
	    "p99<=ms", "good_%", "notrun%", "unkn_%", "failed%");
	fflush(stdout);
	for (i = 0; i < G_N_ELEMENTS(deployments); i++) {
		x.d = &deployments[i];
		if (argc > 1 && strcmp(argv[1], x.d->name) != 0)
			continue;
		for (k = 0; k < G_N_ELEMENTS(variants); k++) {
			x.v = &variants[k];
			run_variant(&x);
		}
	}
	g_free(x.bin);
	return x.broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
