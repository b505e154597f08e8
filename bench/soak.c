/*
 * soak: injects seeded faults into real nodes and checks the guarantees to
 * callers and backend servers.  Prints a line of counts and the violations, and
 * keeps the logs of the nodes of a failed run.
 */
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <rpc/rpc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>

#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "soak.h"

#define START_US (3 * SOAK_SECOND)
#define FAULT_MIN_MS 40
#define FAULT_MAX_MS 500
#define DURATION_MIN_MS 200
#define DURATION_MAX_MS 2500
/* Grace time of a stop; the driver then sends SIGKILL, as the platform does. */
#define GRACE_US (4 * SOAK_SECOND)
/* Above this number of nodes the rate of events grows with their number. */
#define FAULT_NODES 6
/* State changes of a flapping backend server; even: it is up at the end. */
#define FLAPS 8
#define FLAP_US (300 * G_TIME_SPAN_MILLISECOND)
/* Requests of a recovery check, and the time limit of the recovery. */
#define RECOVERY_REQUESTS 400
#define RECOVERY_US (60 * SOAK_SECOND)
/* Loopback networks from 127.64.0.0 on, one for each concurrent soak. */
#define NET_FIRST 64
#define NETS 160

static struct soak soak;
static GMainLoop *loop;
static char *dir, *program;
static guint net; /* second byte of the addresses */
static gint64 faults_until;
static int recovery_polls;

char *
soak_host(guint i)
{
	return g_strdup_printf("127.%u.%u.%u", net, soak.seed % 250, i + 1);
}

char *
soak_body(const char *id)
{
	return g_compute_checksum_for_string(G_CHECKSUM_SHA256, id, -1);
}

struct outcome *
soak_outcome(struct soak *s, const char *id)
{
	struct outcome *o = g_hash_table_lookup(s->outcomes, id);

	if (o == NULL) {
		o = g_new0(struct outcome, 1);
		g_hash_table_insert(s->outcomes, g_strdup(id), o);
	}
	return o;
}

void
soak_violation(struct soak *s, const char *fmt, ...)
{
	va_list ap;

	s->violations++;
	va_start(ap, fmt);
	g_string_append_vprintf(s->report, fmt, ap);
	va_end(ap);
	g_string_append_c(s->report, '\n');
}

/* ---- nodes ---- */

static void
write_settings(guint i)
{
	struct soak_node *n = &soak.node[i];
	char *h = soak_host(i), *seed = soak_host((i + 1) % soak.n), *text;

	text = g_strdup_printf(
	    "nodeName=node-%u\nzone=z-%u\nregion=r\nservice=%s\n"
	    "appAddr=%s:%d\nlistenAddrs.outbound=%s:%d\n"
	    "listenAddrs.inbound=%s:%d\nlistenAddrs.ready=%s:%d\n"
	    "listenAddrs.control=%s:%d\nportRange=%d,%d\nseedNodes=%s:%d\n"
	    "heartbeatS=%s\nbounds.drainS=1\nbounds.graceS=4\n"
	    "limits.memoryMb=64\nplatform.address=%s:%d\n",
	    i, i % 3, server_service(i), h, SOAK_BACKEND, h, SOAK_OUTBOUND, h,
	    SOAK_INBOUND, h, SOAK_READY, h, SOAK_CONTROL, SOAK_PORT_FIRST,
	    SOAK_PORT_LAST, i % 2 == 0 ? seed : "127.0.0.1", SOAK_CONTROL,
	    n->slow_heartbeat ? "0.7" : "0.5", h, SOAK_STORE);
	g_free(n->settings);
	n->settings = g_strdup_printf("%s/node-%u.conf", dir, i);
	g_file_set_contents(n->settings, text, -1, NULL);
	g_free(text);
	g_free(seed);
	g_free(h);
}

static void
node_start(guint i)
{
	struct soak_node *n = &soak.node[i];
	GSubprocessLauncher *l;
	GError *err = NULL;
	char *log = g_strdup_printf("%s/node-%u.log", dir, i);
	const char *const argv[] = { program, NULL };

	l = g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	g_subprocess_launcher_setenv(l, "PRIMROSETIDE_BOOT", n->settings, TRUE);
	g_subprocess_launcher_set_stdout_file_path(l, log);
	n->process = g_subprocess_launcher_spawnv(l, argv, &err);
	if (n->process == NULL) {
		fprintf(stderr, "soak: %s\n", err->message);
		exit(EXIT_FAILURE);
	}
	n->restart_at = 0;
	n->stopping = FALSE;
	g_object_unref(l);
	g_free(log);
}

static void
node_signal(guint i, int sig)
{
	if (soak.node[i].process != NULL)
		g_subprocess_send_signal(soak.node[i].process, sig);
}

static void
node_reap(guint i)
{
	struct soak_node *n = &soak.node[i];

	g_subprocess_wait(n->process, NULL, NULL);
	if (!n->stopping && !g_subprocess_get_if_signaled(n->process))
		soak_violation(&soak, "FAULT node %u exited without a stop", i);
	if (n->stopping && g_subprocess_get_if_exited(n->process) &&
	    g_subprocess_get_exit_status(n->process) != 0)
		soak_violation(
		    &soak, "FAULT node %u: stop ended with an error", i);
	g_clear_object(&n->process);
}

static gboolean
node_exited(guint i)
{
	return g_subprocess_get_identifier(soak.node[i].process) == NULL;
}

static void
node_kill(guint i, gint64 down)
{
	struct soak_node *n = &soak.node[i];

	if (n->process == NULL)
		return;
	node_signal(i, SIGKILL);
	n->stopping = TRUE;
	n->restart_at = g_get_monotonic_time() + down;
}

/*
 * Reaps nodes that have exited, kills those that did not stop within the grace
 * time, and starts those whose restart is due.
 */
static void
poll_nodes(void *arg)
{
	gint64 now = g_get_monotonic_time();
	struct soak_node *n;
	guint i;

	for (i = 0; i < soak.n; i++) {
		n = &soak.node[i];
		if (n->process != NULL && node_exited(i)) {
			node_reap(i);
			if (n->restart_at == 0)
				n->restart_at = now;
		}
		if (n->process != NULL && n->stopping &&
		    n->planned_until != 0 && now > n->planned_until) {
			node_signal(i, SIGKILL);
			n->planned_until = 0;
		}
		if (n->process == NULL && now >= n->restart_at)
			node_start(i);
	}
	sys_after(20 * G_TIME_SPAN_MILLISECOND, poll_nodes, NULL);
}

/* ---- faults ---- */

static gint64
fault_duration(void)
{
	return g_rand_int_range(soak.rand, DURATION_MIN_MS, DURATION_MAX_MS) *
	       G_TIME_SPAN_MILLISECOND;
}

static void
resume(void *arg)
{
	guint i = GPOINTER_TO_UINT(arg);

	soak.node[i].paused = FALSE;
	node_signal(i, SIGCONT);
}

static void
restore_store_link(void *arg)
{
	link_set(soak.node[GPOINTER_TO_UINT(arg)].store_link, LINK_PASS);
}

static void
restore_backend_link(void *arg)
{
	link_set(soak.node[GPOINTER_TO_UINT(arg)].backend_link, LINK_PASS);
}

static void
restore_store(void *arg)
{
	store_set(soak.store, STORE_UP);
}

static void
publish_config(void)
{
	char *text;

	soak.version += 1 + g_rand_int_range(soak.rand, 0, 3);
	text = g_strdup_printf(
	    "{\"version\":%" G_GINT64_FORMAT ",\"routes\":{\"columns\":["
	    "\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutS\","
	    "\"targetLatencyS\",\"priority\",\"service\",\"maxAttempts\"],"
	    "\"rows\":[[\"many\",\"mesh.example\",\"/many/\",\"idempotent\","
	    "0.9,0.3,0,\"svc-a\",2],[\"once\",\"mesh.example\",\"/once/\","
	    "\"non_idempotent\",0.9,0.3,1,\"svc-b\",2]]},\"services\":{"
	    "\"columns\":[\"name\",\"healthPath\",\"maxConnections\"],"
	    "\"rows\":[[\"svc-a\",\"/h\",50],[\"svc-b\",\"/h\",50]]},"
	    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":100000,"
	    "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}",
	    soak.version);
	store_put(soak.store, "keyed.op", "config", text);
	g_free(text);
}

static void
node_stop(guint i)
{
	struct soak_node *n = &soak.node[i];

	if (n->process == NULL || n->stopping || n->paused)
		return;
	n->stopping = TRUE;
	n->planned_until = g_get_monotonic_time() + GRACE_US;
	node_signal(i, SIGTERM);
}

static void
planned_event(guint i)
{
	switch (g_rand_int_range(soak.rand, 0, 4)) {
	case 0:
		node_stop(i);
		break;
	case 1:
		/* SIGHUP follows only the change to the longer heartbeat. */
		soak.node[i].slow_heartbeat = !soak.node[i].slow_heartbeat;
		write_settings(i);
		if (soak.node[i].slow_heartbeat)
			node_signal(i, SIGHUP);
		break;
	case 2:
		server_drain(soak.node[i].server);
		break;
	default:
		publish_config();
	}
}

/* Cuts or restores the link to a backend server, in turn, every FLAP_US. */
static void
flap(void *arg)
{
	struct soak_node *n = &soak.node[GPOINTER_TO_UINT(arg)];

	n->flaps--;
	link_set(n->backend_link, n->flaps % 2 == 0 ? LINK_PASS : LINK_RESET);
	if (n->flaps > 0)
		sys_after(FLAP_US, flap, arg);
}

static void
inject_fault(guint i)
{
	gpointer arg = GUINT_TO_POINTER(i);

	switch (g_rand_int_range(soak.rand, 0, 7)) {
	case 0:
		node_kill(i, fault_duration());
		break;
	case 1:
		soak.node[i].paused = TRUE;
		node_signal(i, SIGSTOP);
		sys_after(fault_duration(), resume, arg);
		break;
	case 2:
		store_set(soak.store, (enum store_mode)g_rand_int_range(
					  soak.rand, STORE_BUSY, STORE_MODES));
		sys_after(fault_duration(), restore_store, NULL);
		break;
	case 3:
		link_set(soak.node[i].store_link,
		    (enum link_mode)g_rand_int_range(
			soak.rand, LINK_DELAY, LINK_MODES));
		sys_after(fault_duration(), restore_store_link, arg);
		break;
	case 4:
		link_set(soak.node[i].backend_link,
		    (enum link_mode)g_rand_int_range(
			soak.rand, LINK_DELAY, LINK_MODES));
		sys_after(fault_duration(), restore_backend_link, arg);
		break;
	case 5:
		if (soak.node[i].flaps == 0) {
			soak.node[i].flaps = FLAPS;
			flap(arg);
		}
		break;
	default:
		server_restart(soak.node[i].server);
	}
}

/* Service has recovered once 9 of 10 of RECOVERY_REQUESTS succeed. */
static void
check_recovery(void *arg)
{
	if (soak.recovery_requests >= RECOVERY_REQUESTS) {
		if (soak.recovery_ok * 10 >= soak.recovery_requests * 9) {
			g_main_loop_quit(loop);
			return;
		}
		soak.recovery_requests = soak.recovery_ok = 0;
	}
	if (recovery_polls-- <= 0) {
		soak_violation(&soak, "RECOVER: service did not recover");
		g_main_loop_quit(loop);
		return;
	}
	sys_after(SOAK_SECOND / 10, check_recovery, NULL);
}

static void
next_event(void *arg)
{
	guint i = (guint)g_rand_int_range(soak.rand, 0, (gint32)soak.n);

	if (g_get_monotonic_time() > faults_until) {
		soak.recovery = TRUE;
		recovery_polls = RECOVERY_US / (SOAK_SECOND / 10);
		check_recovery(NULL);
		return;
	}
	if (soak.planned_only || g_rand_int_range(soak.rand, 0, 3) == 0)
		planned_event(i);
	else
		inject_fault(i);
	sys_after(g_rand_int_range(soak.rand, FAULT_MIN_MS, FAULT_MAX_MS) *
		      G_TIME_SPAN_MILLISECOND * FAULT_NODES /
		      MAX(soak.n, FAULT_NODES),
	    next_event, NULL);
}

/* ---- the run ---- */

static gboolean
node_open(guint i, GError **err)
{
	struct soak_node *n = &soak.node[i];
	char *h = soak_host(i), *store = soak_host(SOAK_NODES_MAX);

	n->store_link = link_new(h, SOAK_STORE, store, SOAK_STORE, err);
	if (n->store_link != NULL)
		n->backend_link =
		    link_new(h, SOAK_BACKEND, h, SOAK_SERVER, err);
	if (n->backend_link != NULL)
		n->server = server_new(&soak, i, err);
	g_free(store);
	g_free(h);
	if (n->server == NULL)
		return FALSE;
	write_settings(i);
	node_start(i);
	return TRUE;
}

static void
start_callers(void *arg)
{
	guint i;

	for (i = 0; i < soak.n; i++)
		soak.node[i].caller = caller_new(&soak, i);
	next_event(NULL);
}

static void
close_nodes(void)
{
	guint i;

	for (i = 0; i < soak.n; i++)
		caller_free(soak.node[i].caller);
	for (i = 0; i < soak.n; i++)
		if (soak.node[i].process != NULL) {
			g_subprocess_send_signal(soak.node[i].process, SIGCONT);
			g_subprocess_force_exit(soak.node[i].process);
			g_subprocess_wait(soak.node[i].process, NULL, NULL);
			g_clear_object(&soak.node[i].process);
		}
	for (i = 0; i < soak.n; i++) {
		server_free(soak.node[i].server);
		link_free(soak.node[i].store_link);
		link_free(soak.node[i].backend_link);
	}
}

/* Removes the files of the run; the logs of a failed run are kept. */
static void
clean_up(void)
{
	guint i;
	char *log;

	for (i = 0; i < soak.n; i++) {
		log = g_strdup_printf("%s/node-%u.log", dir, i);
		if (soak.violations == 0)
			g_unlink(log);
		g_unlink(soak.node[i].settings);
		g_free(soak.node[i].settings);
		g_free(log);
	}
	if (soak.violations == 0)
		g_rmdir(dir);
	else
		printf("logs: %s\n", dir);
	g_free(dir);
}

/*
 * Opens the store on the first free network, trying network "first" and then
 * those after it.  A concurrent soak cannot bind the address of the store, and
 * so uses another network.
 */
static gboolean
open_store(guint first, GError **err)
{
	guint i;
	char *h;

	for (i = 0; i < NETS && soak.store == NULL; i++) {
		g_clear_error(err);
		net = NET_FIRST + (first + i) % NETS;
		h = soak_host(SOAK_NODES_MAX);
		soak.store = store_new(h, SOAK_STORE, err);
		g_free(h);
	}
	return soak.store != NULL;
}

static gboolean
run(guint first, int seconds, GError **err)
{
	guint i;

	if (!open_store(first, err))
		return FALSE;
	publish_config();
	for (i = 0; i < soak.n; i++)
		if (!node_open(i, err))
			return FALSE;
	faults_until =
	    g_get_monotonic_time() + START_US + seconds * SOAK_SECOND;
	sys_after(START_US, start_callers, NULL);
	poll_nodes(NULL);
	g_main_loop_run(loop);
	close_nodes();
	store_free(soak.store);
	return TRUE;
}

int
main(int argc, char **argv)
{
	int seed = 1, nodes = 6, seconds = 5, first = 0;
	gboolean planned_only = FALSE;
	const struct sys_setting set[] = {
		{ "seed", SYS_INT, &seed, 0, G_MAXINT, "1",
		    "seed of the faults" },
		{ "nodes", SYS_INT, &nodes, 2, 240, "6",
		    "number of nodes, one process each" },
		{ "seconds", SYS_INT, &seconds, 1, 3600, "5",
		    "duration of the faults, in s" },
		{ "planned", SYS_FLAG, &planned_only, 0, 0, "false",
		    "only graceful stops, drains and configuration changes" },
		{ "net", SYS_INT, &first, 0, 160, "0",
		    "first network to try, 0: chosen by process id" },
		{ "proxy", SYS_STRING, &program, 0, 0, "build/bin/ptproxy",
		    "path of ptproxy" },
	};
	GError *err = NULL;

	signal(SIGPIPE, SIG_IGN);
	if (!sys_settings(set, G_N_ELEMENTS(set), "SOAK",
		"randomized faults on real nodes", &argc, &argv, &err) ||
	    !sys_no_arguments(argc, argv, &err)) {
		fprintf(stderr, "soak: %s\n", err->message);
		return EXIT_FAILURE;
	}
	if (first == 0)
		first = getpid();
	soak.seed = (guint)seed;
	soak.n = (guint)nodes;
	soak.planned_only = planned_only;
	soak.rand = g_rand_new_with_seed((guint32)seed);
	soak.outcomes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soak.report = g_string_new(NULL);
	dir = g_dir_make_tmp("pt-soak-XXXXXX", NULL);
	loop = g_main_loop_new(NULL, FALSE);
	if (!run((guint)first, seconds, &err)) {
		fprintf(stderr, "soak: %s\n", err->message);
		return EXIT_FAILURE;
	}
	printf("seed %u: %u requests, %u ok, %u refused, %u failed, "
	       "%u promises broken\n%s",
	    soak.seed, soak.requests, soak.ok, soak.refused, soak.failed,
	    soak.violations, soak.report->str);
	clean_up();
	return soak.violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
