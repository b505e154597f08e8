/*
 * Convergence time and control cost of real node processes by node count; the
 * baseline is a mesh in which every node polls the log.
 *
 * Convergence time runs from the submission of a change, and so includes the
 * append, until the last node logs the version.  It is computed from the event
 * logs, so that measuring adds no load to the nodes.
 */

#include <glib.h>
#include <glib/gstdio.h>
#include <rpc/rpc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "mesh.h"

#define DOMAINS 3
#define SERVICES 30
#define BOOT_MS 60000
#define SUBMIT_MS 10000
#define CLOCK_S 0.001 /* resolution of the event log */
#define SUBMIT_TRIES 20
#define SUBMIT_GAP_MS 50
#define GAP_MS 3000 /* after the last change of a phase */
#define JOIN_MS 10000
#define QUIET_MAX_MS 60000
#define QUIET_MS 3000
#define QUIET_BYTES 3000 /* per second of a node, once joins have spread */
#define NAME "bench"

/* Guaranteed bounds: convergence time, bytes per node and second, memory. */
#define BOUND_S 6.0
#define BOUND_BYTES 17000.0
#define BOUND_RSS (32.0 * 1048576)

/* Interval of changes: 10 times the 3,300 a day at the target size. */
#define CHANGE_MS (86400 * 1000 / 33000)
/*
 * Interval of restarts: 10 times the 408 a day at the target size.  Every node
 * receives the membership updates of each restart.
 */
#define RESTART_MS (86400 * 1000 / 4080)
#define HERD_PERCENT 30 /* of the nodes; killed at once by herd_phase() */

enum role {
	READER,
	PARENT,
	LEAF,
	ROLES
};
static const char *const role_names[ROLES] = { "reader", "parent", "leaf" };

/* A line of a node's event log that contains a version. */
struct log_event {
	gint64 at_us; /* wall clock */
	gint64 version;
	int pid;
	gboolean ready; /* event "ready"; else event "version" */
};

/* Kinds of control traffic. */
#define KINDS 4
static const char *const kind_names[KINDS] = { "gossip", "sync", "acks",
	"log" };

struct sample {
	int pid;
	double bytes, cpu_s;
	double kinds[KINDS]; /* "bytes" split by kind of traffic */
	guint64 rss;
	gboolean reader;
	char parent[32];
};

struct change {
	gint64 sent_us; /* wall clock */
	gint64 version; /* 0: not accepted */
	double answer_s; /* from submission to the outcome */
	/* From submission until the last node has it in force, < 0: never. */
	double worst_s;
	const char *phase;
};

struct bench {
	struct mesh *mesh;
	GRand *rand;
	const char *mode;
	guint n, changes_wanted, idle_s;
	gint64 base; /* version of the rank that the changes modify */
	guint serial;
	GArray *changes; /* struct change */
	struct sample *before, *after;
	double log_requests_before, log_requests_after;
	gint64 began_us;
	double rss_max;
	FILE *tsv;
	gboolean broken;
};

static double
seconds_between(gint64 from_us, gint64 to_us)
{
	return (double)(to_us - from_us) / 1e6;
}

/* ---- changes ---- */

static char *
rank_body(guint target)
{
	return g_strdup_printf(
	    "floor=5\norder=3\ntarget_ms=%u\nworth=1\n", target);
}

static void
new_id(struct bench *b, char id[PT_ID_LEN])
{
	guint i;

	for (i = 0; i < PT_ID_LEN; i++)
		id[i] = (char)g_rand_int_range(b->rand, 0, 256);
}

/* Chooses a running node at random. */
static struct mesh_inst *
random_node(struct bench *b)
{
	struct mesh_inst *i;

	do {
		i = mesh_at(
		    b->mesh, (guint)g_rand_int_range(b->rand, 0, (gint32)b->n));
	} while (i->node.pid == 0);
	return i;
}

/* Submits a change set to one node; false if another node must be tried. */
static gboolean
try_submit(struct bench *b, const struct pt_submit_args *a, gint64 *version)
{
	struct mesh_inst *i = random_node(b);
	struct pt_outcome out;
	GError *err = NULL;
	gboolean final;

	if (!mesh_call(
		i, PT_SUBMIT, a, &out, sizeof(out), 2 * SUBMIT_MS, &err)) {
		printf("submit at %s: %s\n", i->o.name, err->message);
		final = !g_error_matches(err, PT_ERROR, PT_ERROR_UNREACHABLE);
		g_clear_error(&err);
		return final;
	}
	final = out.kind != PT_UNREACHABLE;
	if (out.kind == PT_ACCEPTED)
		*version = out.offset;
	else
		printf("submit at %s: verdict %d: %s\n", i->o.name,
		    (int)out.kind, out.text);
	xdr_free((xdrproc_t)xdr_pt_outcome, (char *)&out);
	return final;
}

/*
 * Submits a change set and returns its version, 0 if it was not accepted.  If a
 * node reports that nothing was appended, for example because it has just
 * started, another node is tried, as an operator would do; the time of the
 * change includes the retries.
 */
static gint64
submit(struct bench *b, struct pt_op *ops, guint n)
{
	struct pt_change c = { 0 };
	struct pt_submit_args a = { 0 };
	GBytes *rec;
	gint64 v = 0;
	guint i;

	c.proto = PT_PROTO;
	new_id(b, c.id);
	c.author = (char *)NAME;
	c.ops.ops_val = ops;
	c.ops.ops_len = n;
	rec = pt_encode((xdrproc_t)xdr_pt_change, &c);
	a.proto = PT_PROTO;
	a.wait_ms = SUBMIT_MS;
	a.record.record_val = (char *)g_bytes_get_data(rec, NULL);
	a.record.record_len = (u_int)g_bytes_get_size(rec);
	memcpy(a.id, c.id, PT_ID_LEN);
	for (i = 0; i < SUBMIT_TRIES && !try_submit(b, &a, &v); i++)
		mesh_sleep(SUBMIT_GAP_MS);
	g_bytes_unref(rec);
	return v;
}

static struct pt_op
op(pt_kind kind, char *name, char *body, gint64 base)
{
	struct pt_op o = { 0 };

	o.kind = kind;
	o.name = name;
	o.base = base;
	o.body = body;
	return o;
}

/* Submits the initial configuration: a rank, services and a route to each. */
static gboolean
submit_initial(struct bench *b)
{
	struct pt_op ops[1 + 2 * SERVICES];
	guint i, n = 0;

	ops[n++] = op(PT_KIND_RANK, g_strdup(NAME), rank_body(1000), 0);
	for (i = 0; i < SERVICES; i++) {
		ops[n++] = op(PT_KIND_SERVICE, g_strdup_printf("s%u", i),
		    g_strdup("eject_max=34\nlimit=1000\nramp_ms=10000\n"
			     "retry_budget=10\n"),
		    0);
		ops[n++] = op(PT_KIND_ROUTE, g_strdup_printf("r%u", i),
		    g_strdup_printf("idempotent=true\npath=/p%u\nrank=" NAME
				    "\nservice=s%u\ntimeout_ms=1000\n",
			i, i),
		    0);
	}
	b->base = submit(b, ops, n);
	for (i = 0; i < n; i++) {
		g_free(ops[i].name);
		g_free(ops[i].body);
	}
	return b->base > 0;
}

static void
change(struct bench *b, const char *phase)
{
	struct change c = { 0 };
	struct pt_op o;
	char *body = rank_body(1001 + b->serial++);

	o = op(PT_KIND_RANK, (char *)NAME, body, b->base);
	c.phase = phase;
	c.sent_us = g_get_real_time();
	c.version = submit(b, &o, 1);
	c.answer_s = seconds_between(c.sent_us, g_get_real_time());
	if (c.version > 0)
		b->base = c.version;
	g_array_append_val(b->changes, c);
	g_free(body);
}

/* ---- event logs ---- */

/* Integer after "key=" in a line, -1 if there is none. */
static gint64
field(const char *line, const char *key)
{
	const char *p = strstr(line, key);

	return p != NULL ? g_ascii_strtoll(p + strlen(key), NULL, 10) : -1;
}

static gboolean
parse_event(const char *line, struct log_event *s)
{
	const char *p = strchr(line, ' '), *pid = strchr(line, '[');
	GDateTime *t;
	char *when;

	s->ready = strstr(line, " event=ready ") != NULL;
	if ((!s->ready && strstr(line, " event=version ") == NULL) ||
	    p == NULL || pid == NULL || strlen(p) < 25)
		return FALSE;
	when = g_strndup(p + 1, 24);
	t = g_date_time_new_from_iso8601(when, NULL);
	g_free(when);
	if (t == NULL)
		return FALSE;
	s->at_us = g_date_time_to_unix(t) * G_USEC_PER_SEC +
		   g_date_time_get_microsecond(t);
	g_date_time_unref(t);
	s->version = field(line, " version=");
	s->pid = (int)g_ascii_strtoll(pid + 1, NULL, 10);
	return s->version >= 0;
}

static GArray *
read_events(const struct bench *b, guint i)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct log_event));
	char *path, *text = NULL, **lines, **l;
	struct log_event s;

	path = g_strdup_printf(
	    "%s/%s.out", mesh_dir(b->mesh), mesh_at(b->mesh, i)->node.name);
	if (g_file_get_contents(path, &text, NULL, NULL)) {
		lines = g_strsplit(text, "\n", -1);
		for (l = lines; *l != NULL; l++)
			if (parse_event(*l, &s))
				g_array_append_val(a, s);
		g_strfreev(lines);
	}
	g_free(text);
	g_free(path);
	return a;
}

/* The version in force must not decrease within a process. */
static void
check_order(struct bench *b, guint inst, const GArray *events)
{
	const struct log_event *s, *last = NULL;
	guint i;

	for (i = 0; i < events->len; i++, last = s) {
		s = &g_array_index(events, struct log_event, i);
		if (last == NULL || last->pid != s->pid ||
		    s->version >= last->version)
			continue;
		printf("BROKEN: version of %s went from %" G_GINT64_FORMAT
		       " to %" G_GINT64_FORMAT "\n",
		    mesh_at(b->mesh, inst)->o.name, last->version, s->version);
		b->broken = TRUE;
	}
}

/* Time of the first event since "from" with this or a newer version, else 0. */
static gint64
reached(const GArray *events, gint64 version, gint64 from)
{
	const struct log_event *s;
	guint i;

	for (i = 0; i < events->len; i++) {
		s = &g_array_index(events, struct log_event, i);
		/* The event log has a resolution of 1 ms. */
		if (s->version >= version && s->at_us >= from - 1000)
			return MAX(s->at_us, from);
	}
	return 0;
}

/*
 * Sets worst_s of each change: the time from its submission until the last node
 * has it in force.
 */
static void
time_changes(struct bench *b)
{
	struct change *c;
	GArray *events;
	gint64 at;
	guint i, k;

	for (i = 0; i < b->n; i++) {
		events = read_events(b, i);
		check_order(b, i, events);
		for (k = 0; k < b->changes->len; k++) {
			c = &g_array_index(b->changes, struct change, k);
			if (c->version == 0 || c->worst_s < 0)
				continue;
			at = reached(events, c->version, c->sent_us);
			c->worst_s = at == 0
					 ? -1
					 : MAX(c->worst_s,
					       seconds_between(c->sent_us, at));
		}
		g_array_free(events, TRUE);
	}
}

/* No node may become ready before it has the version in force everywhere. */
static void
check_ready(struct bench *b)
{
	const struct change *c;
	const struct log_event *s;
	GArray *events;
	guint i, j, k;

	for (i = 0; i < b->n; i++) {
		events = read_events(b, i);
		for (j = 0; j < events->len; j++) {
			s = &g_array_index(events, struct log_event, j);
			for (k = 0; s->ready && k < b->changes->len; k++) {
				c = &g_array_index(
				    b->changes, struct change, k);
				if (c->worst_s < 0 ||
				    c->version <= s->version ||
				    seconds_between(c->sent_us, s->at_us) <=
					c->worst_s + CLOCK_S)
					continue;
				printf("BROKEN: %s became ready at version "
				       "%" G_GINT64_FORMAT ", %" G_GINT64_FORMAT
				       " was in force everywhere\n",
				    mesh_at(b->mesh, i)->o.name, s->version,
				    c->version);
				b->broken = TRUE;
			}
		}
		g_array_free(events, TRUE);
	}
}

/* ---- counters ---- */

/* Reads the name of the parent from the metrics of a node. */
static void
parent_of(const char *m, char *out, gsize size)
{
	static const char head[] = "\nptnode_parent{name=\"";
	const char *p = m != NULL ? strstr(m, head) : NULL;

	*out = '\0';
	if (p == NULL)
		return;
	g_strlcpy(out, p + strlen(head), size);
	out[strcspn(out, "\"")] = '\0';
}

/* A node is a parent if another node reports it as its parent. */
static enum role
role_of(const struct bench *b, const struct sample *s, guint i)
{
	const char *name = mesh_at(b->mesh, i)->o.name;
	guint k;

	if (s[i].reader)
		return READER;
	for (k = 0; k < b->n; k++)
		if (strcmp(s[k].parent, name) == 0)
			return PARENT;
	return LEAF;
}

static void
take_sample(struct bench *b, guint i, struct sample *s)
{
	struct mesh_inst *inst = mesh_at(b->mesh, i);
	char *m = mesh_metrics(inst), *label;
	guint k;

	memset(s, 0, sizeof(*s));
	s->pid = m != NULL ? inst->node.pid : 0;
	for (k = 0; k < KINDS; k++) {
		label = g_strdup_printf("kind=\"%s\"", kind_names[k]);
		s->kinds[k] =
		    mesh_metric(m, "ptnode_control_bytes_total", label);
		s->bytes += s->kinds[k];
		g_free(label);
	}
	s->reader = mesh_metric(m, "ptnode_reader", NULL) > 0;
	parent_of(m, s->parent, sizeof(s->parent));
	if (s->pid != 0)
		mesh_usage(s->pid, &s->rss, &s->cpu_s);
	b->rss_max = MAX(b->rss_max, (double)s->rss);
	g_free(m);
}

static double
log_requests(const struct bench *b)
{
	char *u = g_strconcat(mesh_log_url(b->mesh), "/metrics", NULL);
	char *m = mesh_get(u, 2000);
	double n;

	n = mesh_metric(m, "ptlog_requests_total", "\"append\"") +
	    mesh_metric(m, "ptlog_requests_total", "\"read\"");
	g_free(m);
	g_free(u);
	return n;
}

static void
phase_begin(struct bench *b)
{
	guint i;

	for (i = 0; i < b->n; i++)
		take_sample(b, i, &b->before[i]);
	b->log_requests_before = log_requests(b);
	b->began_us = g_get_monotonic_time();
}

/* Cost of the nodes of a role: bytes per second, and CPU time in percent. */
struct sum {
	guint n;
	double bytes, bytes_max, cpu, cpu_max;
	double kinds[KINDS];
};

/* Adds the cost of a node between two samples. */
static void
add_node(
    struct sum *s, const struct sample *x, const struct sample *y, double secs)
{
	/* The counters of a restarted process start at zero. */
	gboolean same = x->pid == y->pid;
	double bytes, cpu;
	guint k;

	bytes = (y->bytes - (same ? x->bytes : 0)) / secs;
	cpu = 100 * (y->cpu_s - (same ? x->cpu_s : 0)) / secs;
	s->n++;
	s->bytes += bytes;
	s->bytes_max = MAX(s->bytes_max, bytes);
	s->cpu += cpu;
	s->cpu_max = MAX(s->cpu_max, cpu);
	for (k = 0; k < KINDS; k++)
		s->kinds[k] += (y->kinds[k] - (same ? x->kinds[k] : 0)) / secs;
}

static void
check(struct bench *b, double value, double bound, const char *what,
    const char *phase)
{
	if (value <= bound || strcmp(b->mode, "tree") != 0)
		return;
	printf("BROKEN: %s %.2f above %.2f, phase %s, %u nodes\n", what, value,
	    bound, phase, b->n);
	b->broken = TRUE;
}

static void
print_role(struct bench *b, const char *phase, enum role role,
    const struct sum *r, double log)
{
	guint k;

	printf("%-5s %5u %-8s %-7s %5u %8.0f %8.0f", b->mode, b->n, phase,
	    role_names[role], r->n, r->bytes / r->n, r->bytes_max);
	for (k = 0; k < KINDS; k++)
		printf(" %7.0f", r->kinds[k] / r->n);
	printf(" %6.2f %6.2f %6.1f %7.1f\n", r->cpu / r->n, r->cpu_max,
	    b->rss_max / 1048576, log);
	fprintf(b->tsv, "cost\t%s\t%u\t%s\t%s\t%u\t%.1f\t%.1f", b->mode, b->n,
	    phase, role_names[role], r->n, r->bytes / r->n, r->bytes_max);
	fprintf(b->tsv, "\t%.3f\t%.3f\t%.2f\t%.2f", r->cpu / r->n, r->cpu_max,
	    b->rss_max / 1048576, log);
	for (k = 0; k < KINDS; k++)
		fprintf(b->tsv, "\t%.1f", r->kinds[k] / r->n);
	fprintf(b->tsv, "\n");
}

/* "bound": the guarantee on control cost applies to this phase. */
static void
phase_end(struct bench *b, const char *phase, gboolean bound)
{
	struct sum r[ROLES] = { { 0 } };
	double secs, log;
	guint i;

	secs = seconds_between(b->began_us, g_get_monotonic_time());
	log = (log_requests(b) - b->log_requests_before) / secs;
	for (i = 0; i < b->n; i++)
		take_sample(b, i, &b->after[i]);
	for (i = 0; i < b->n; i++)
		if (b->after[i].pid != 0)
			add_node(&r[role_of(b, b->after, i)], &b->before[i],
			    &b->after[i], secs);
	for (i = 0; i < ROLES; i++) {
		if (r[i].n == 0)
			continue;
		print_role(b, phase, (enum role)i, &r[i], log);
		if (bound)
			check(b, r[i].bytes_max, BOUND_BYTES,
			    "control bytes per second of a node", phase);
	}
	check(b, b->rss_max, BOUND_RSS, "resident bytes of a node", phase);
}

/* ---- phases ---- */

/* Announces a backend server once; the announce time-out of nodes is long. */
static void
announce(struct mesh_inst *i, guint k)
{
	char *url, *body;

	url = g_strdup_printf(
	    "http://%s:%d/v1/backend", i->host, MESH_ADMIN_PORT);
	body = g_strdup_printf("{\"service\":\"s%u\",\"url\":\"http://%s:%d\","
			       "\"slots\":12,\"connections\":100,"
			       "\"state\":\"serving\"}",
	    k % SERVICES, i->host, MESH_BACK_PORT);
	mesh_send("PUT", url, body, 2000);
	g_free(body);
	g_free(url);
}

static gboolean
start_nodes(struct bench *b)
{
	const char *const args[] = { "--announce-timeout", "600000",
		"--distribution", b->mode, NULL };
	struct mesh_inst_opts o = { 0 };
	struct mesh_inst *inst;
	GError *err = NULL;
	char name[16];
	guint i;

	o.region = "r1";
	o.service = "";
	o.node_args = args;
	o.name = name;
	for (i = 0; i < b->n; i++) {
		g_snprintf(name, sizeof(name), "n%03u", i);
		o.domain = i % DOMAINS + 1;
		inst = mesh_add(b->mesh, &o);
		inst->o.node_args =
		    (const char *const *)g_strdupv((char **)args);
		if (!mesh_start(inst, MESH_NODE, &err)) {
			printf("FAILED: %s\n", err->message);
			g_clear_error(&err);
			return FALSE;
		}
	}
	return TRUE;
}

static gboolean
boot(struct bench *b)
{
	gint64 t0 = g_get_monotonic_time();
	guint i;

	if (!start_nodes(b) || !mesh_wait_ready(b->mesh, b->n, BOOT_MS)) {
		printf("FAILED: %u of %u nodes ready\n", mesh_ready(b->mesh),
		    b->n);
		return FALSE;
	}
	printf("boot mode=%s nodes=%u seconds=%.2f\n", b->mode, b->n,
	    seconds_between(t0, g_get_monotonic_time()));
	for (i = 0; i < b->n; i++)
		announce(mesh_at(b->mesh, i), i);
	if (!submit_initial(b)) {
		printf("FAILED: the first configuration was not accepted\n");
		return FALSE;
	}
	return TRUE;
}

static gboolean
gossip_quiet(void *arg)
{
	struct bench *b = arg;
	struct sample x, y;

	take_sample(b, 0, &x);
	mesh_sleep(QUIET_MS);
	take_sample(b, 0, &y);
	return (y.bytes - x.bytes) * 1000 / QUIET_MS < QUIET_BYTES;
}

/*
 * Measures the traffic while joins and announcements spread.  The guarantee on
 * control cost does not apply, as all nodes start at once.
 */
static void
join_phase(struct bench *b)
{
	phase_begin(b);
	mesh_sleep(JOIN_MS);
	if (!mesh_until(gossip_quiet, b, QUIET_MAX_MS))
		printf("gossip traffic is still high %d s after the start\n",
		    (JOIN_MS + QUIET_MAX_MS) / 1000);
	phase_end(b, "join", FALSE);
}

static void
idle_phase(struct bench *b)
{
	phase_begin(b);
	mesh_sleep(b->idle_s * 1000);
	phase_end(b, "idle", TRUE);
}

static void
change_phase(struct bench *b)
{
	gint64 next = g_get_monotonic_time();
	guint i;

	phase_begin(b);
	for (i = 0; i < b->changes_wanted; i++) {
		change(b, "changes");
		next += (gint64)CHANGE_MS * 1000;
		if (next > g_get_monotonic_time())
			mesh_sleep(
			    (guint)((next - g_get_monotonic_time()) / 1000));
	}
	phase_end(b, "changes", TRUE);
}

static void
restart(struct bench *b, guint i)
{
	struct mesh_inst *inst = mesh_at(b->mesh, i);

	mesh_signal(inst, MESH_NODE, SIGKILL);
	mesh_wait_end(inst, MESH_NODE, 5000);
	if (!mesh_start(inst, MESH_NODE, NULL))
		b->broken = TRUE;
}

static void
churn_phase(struct bench *b, guint restarts)
{
	guint i, k;

	phase_begin(b);
	for (i = 0; i < restarts; i++) {
		k = (guint)g_rand_int_range(b->rand, 0, (gint32)b->n);
		restart(b, k);
		mesh_sleep(RESTART_MS / 4);
		announce(mesh_at(b->mesh, k), k);
		mesh_sleep(RESTART_MS / 4);
		change(b, "churn");
		mesh_sleep(RESTART_MS / 2);
	}
	if (!mesh_wait_ready(b->mesh, b->n, BOOT_MS)) {
		printf("FAILED: a restarted node did not become ready\n");
		b->broken = TRUE;
	}
	phase_end(b, "churn", TRUE);
}

/* Kills HERD_PERCENT of the nodes at once and restarts them at once. */
static void
herd_phase(struct bench *b)
{
	guint i, killed = 0;
	gboolean *killed_nodes = g_new0(gboolean, b->n);
	gint64 t0;

	phase_begin(b);
	while (killed < b->n * HERD_PERCENT / 100) {
		i = (guint)g_rand_int_range(b->rand, 0, (gint32)b->n);
		killed += !killed_nodes[i];
		killed_nodes[i] = TRUE;
	}
	for (i = 0; i < b->n; i++)
		if (killed_nodes[i])
			mesh_signal(mesh_at(b->mesh, i), MESH_NODE, SIGKILL);
	for (i = 0; i < b->n; i++)
		if (killed_nodes[i])
			mesh_wait_end(mesh_at(b->mesh, i), MESH_NODE, 5000);
	change(b, "killed");
	t0 = g_get_monotonic_time();
	for (i = 0; i < b->n; i++)
		if (killed_nodes[i] &&
		    !mesh_start(mesh_at(b->mesh, i), MESH_NODE, NULL))
			b->broken = TRUE;
	if (!mesh_wait_ready(b->mesh, b->n, BOOT_MS)) {
		printf("FAILED: %u of %u nodes ready after the restart\n",
		    mesh_ready(b->mesh), b->n);
		b->broken = TRUE;
	}
	printf("herd mode=%s nodes=%u killed=%u ready_seconds=%.2f\n", b->mode,
	    b->n, killed, seconds_between(t0, g_get_monotonic_time()));
	change(b, "herd");
	mesh_sleep(20000);
	phase_end(b, "herd", TRUE);
	g_free(killed_nodes);
}

/* ---- report ---- */

static void
report_phase(struct bench *b, const char *phase)
{
	GArray *us = g_array_new(FALSE, FALSE, sizeof(gint32));
	guint i, lost = 0, refused = 0;
	struct change *c;
	gint32 v;
	double worst;

	for (i = 0; i < b->changes->len; i++) {
		c = &g_array_index(b->changes, struct change, i);
		if (strcmp(c->phase, phase) != 0)
			continue;
		refused += c->version == 0;
		lost += c->version != 0 && c->worst_s < 0;
		if (c->version == 0 || c->worst_s < 0)
			continue;
		v = (gint32)(c->worst_s * 1e6);
		g_array_append_val(us, v);
	}
	worst = mesh_percentile(us, 100) / 1e6;
	printf("converge mode=%s nodes=%u phase=%s changes=%u median_s=%.3f "
	       "p99_s=%.3f worst_s=%.3f not_everywhere=%u not_accepted=%u\n",
	    b->mode, b->n, phase, us->len, mesh_percentile(us, 50) / 1e6,
	    mesh_percentile(us, 99) / 1e6, worst, lost, refused);
	fprintf(b->tsv, "time\t%s\t%u\t%s\t%u\t%.4f\t%.4f\t%.4f\t%u\t%u\n",
	    b->mode, b->n, phase, us->len, mesh_percentile(us, 50) / 1e6,
	    mesh_percentile(us, 99) / 1e6, worst, lost, refused);
	check(b, worst, BOUND_S, "seconds to converge", phase);
	check(b, lost, 0, "changes not in force everywhere", phase);
	check(b, refused, 0, "changes not accepted", phase);
	g_array_free(us, TRUE);
}

static void
run_count(struct bench *b, guint restarts)
{
	static const char *const phases[] = { "changes", "churn", "killed",
		"herd" };
	gboolean tree = strcmp(b->mode, "tree") == 0;
	guint i;

	b->before = g_new0(struct sample, b->n);
	b->after = g_new0(struct sample, b->n);
	b->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	b->serial = 0;
	b->rss_max = 0;
	if (!boot(b)) {
		b->broken = TRUE;
	} else {
		join_phase(b);
		idle_phase(b);
		change_phase(b);
		if (tree) {
			churn_phase(b, restarts);
			herd_phase(b);
		}
		mesh_sleep(GAP_MS);
		time_changes(b);
		check_ready(b);
		for (i = 0; i < (tree ? G_N_ELEMENTS(phases) : 1); i++)
			report_phase(b, phases[i]);
	}
	g_array_free(b->changes, TRUE);
	g_free(b->before);
	g_free(b->after);
}

static gboolean
run(struct bench *b, guint n, const char *mode, guint restarts)
{
	struct mesh_opts o = { .log_level = "info" };
	GError *err = NULL;
	guint i;

	b->n = n;
	b->mode = mode;
	b->mesh = mesh_new(&o, &err);
	if (b->mesh == NULL || !mesh_log_start(b->mesh, NULL, &err)) {
		printf("FAILED: %s\n", err->message);
		g_clear_error(&err);
		return FALSE;
	}
	run_count(b, restarts);
	if (b->broken)
		printf("output of the processes: %s\n", mesh_dir(b->mesh));
	else
		mesh_clean(b->mesh);
	for (i = 0; i < mesh_size(b->mesh); i++)
		g_strfreev((char **)mesh_at(b->mesh, i)->o.node_args);
	mesh_free(b->mesh);
	return TRUE;
}

static void
run_all(struct bench *b, char **counts, char **modes, guint restarts)
{
	guint i, j, k;

	printf("%-5s %5s %-8s %-7s %5s %8s %8s", "mode", "nodes", "phase",
	    "role", "count", "bytes/s", "max");
	for (j = 0; j < KINDS; j++)
		printf(" %7s", kind_names[j]);
	printf(" %6s %6s %6s %7s\n", "cpu%", "max", "rss_MB", "log/s");
	for (k = 0; modes[k] != NULL; k++)
		for (i = 0; counts[i] != NULL; i++)
			if (!run(b, (guint)atoi(counts[i]), modes[k], restarts))
				b->broken = TRUE;
	printf("result=%s\n", b->broken ? "broken" : "kept");
}

int
main(int argc, char **argv)
{
	char *counts = NULL, *modes = NULL, *tsv = NULL, **cv, **mv;
	int changes, idle, seed, restarts;
	struct bench b = { 0 };
	GError *err = NULL;
	const struct sys_setting set[] = {
		{ "counts", SYS_STRING, &counts, 0, 0, "25,50,100,200",
		    "node counts, separated by commas" },
		{ "modes", SYS_STRING, &modes, 0, 0, "tree,poll",
		    "distribution of the nodes: tree, poll or both" },
		{ "changes", SYS_INT, &changes, 1, 1000, "24",
		    "changes in the phase \"changes\"" },
		{ "idle-s", SYS_INT, &idle, 1, 600, "15", "idle phase, s" },
		{ "restarts", SYS_INT, &restarts, 0, 100, "3",
		    "restarts in the phase \"churn\"" },
		{ "seed", SYS_INT, &seed, 0, G_MAXINT, "1",
		    "seed of random choices" },
		{ "tsv", SYS_STRING, &tsv, 0, 0, "/dev/null",
		    "file for tab-separated results" },
	};

	if (!sys_settings(set, G_N_ELEMENTS(set), "CONVERGE",
		"- convergence and control cost", &argc, &argv, &err)) {
		fprintf(stderr, "converge: %s\n", err->message);
		return 1;
	}
	b.tsv = g_fopen(tsv, "w");
	if (b.tsv == NULL) {
		fprintf(stderr, "converge: cannot write %s\n", tsv);
		return 1;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	setvbuf(b.tsv, NULL, _IOLBF, 0);
	b.rand = g_rand_new_with_seed(seed);
	b.changes_wanted = changes;
	b.idle_s = idle;
	cv = g_strsplit(counts, ",", -1);
	mv = g_strsplit(modes, ",", -1);
	run_all(&b, cv, mv, restarts);
	g_strfreev(cv);
	g_strfreev(mv);
	g_rand_free(b.rand);
	fclose(b.tsv);
	g_free(counts);
	g_free(modes);
	g_free(tsv);
	return b.broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
