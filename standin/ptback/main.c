/*
 * ptback: stand-in backend server for tests, benches and the quick start.
 *   GET /health, /load, /runs[?summary=1], /metrics
 *   POST /v1/faults?cut=N     cut the next N answers in the middle
 *   anything else             a request: ?size=BYTES of the answer,
 *                             ?us=MICROSECONDS of the run,
 *                             ?die=before|cut|exit, failure of the answer
 */

#include <glib.h>
#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <sys/queue.h>
#include <libsoup/soup.h>
#include <rpc/rpc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "mesh.h"
#include "ptback.h"

#define POLL_US 20000
/*
 * Iterations of the main loop after soup_server_disconnect(), in which closed
 * connections and their requests are released.
 */
#define CLOSE_ITERATIONS 100

struct back {
	struct back_opts o;
	struct pool *pool;
	struct announcer *announcer;
	SoupServer *server;
	GMainLoop *loop;
	struct load reported; /* sampled every health_lag_ms */
	guint sample, poll;
};

/* Strings of the settings, owned by main(). */
struct texts {
	char *host, *service, *announce, *spread, *runs_file, *level;
};

static void
respond(SoupServerMessage *m, const char *type, GString *s)
{
	gsize n = s->len;

	mesh_ignore_leak(soup_server_message_get_socket(m));
	soup_server_message_set_status(m, 200, NULL);
	soup_server_message_set_response(
	    m, type, SOUP_MEMORY_TAKE, g_string_free(s, FALSE), n);
}

static void
on_request(SoupServer *server, SoupServerMessage *m, const char *path,
    GHashTable *q, gpointer p)
{
	mesh_ignore_leak(soup_server_message_get_socket(m));
	pool_accept(((struct back *)p)->pool, m, q);
}

static void
take_sample(void *arg)
{
	struct back *b = arg;

	b->reported = pool_load(b->pool);
	b->sample =
	    sys_after((gint64)b->o.health_lag_ms * 1000, take_sample, b);
}

static struct load
reported_load(struct back *b)
{
	struct load idle = { 0, 0, "serving" };

	if (b->o.health_lie)
		return idle;
	return b->o.health_lag_ms > 0 ? b->reported : pool_load(b->pool);
}

static void
on_health(SoupServer *server, SoupServerMessage *m, const char *path,
    GHashTable *q, gpointer p)
{
	struct load l = reported_load(p);
	GString *s = g_string_new(NULL);

	g_string_printf(s, "{\"state\":\"%s\"}\n", l.state);
	respond(m, "application/json", s);
}

static void
on_load(SoupServer *server, SoupServerMessage *m, const char *path,
    GHashTable *q, gpointer p)
{
	struct load l = reported_load(p);
	GString *s = g_string_new(NULL);

	g_string_printf(s, "{\"slots\":%u,\"running\":%u,\"queued\":%u}\n",
	    ((struct back *)p)->o.slots, l.running, l.queued);
	respond(m, "application/json", s);
}

static void
on_runs(SoupServer *server, SoupServerMessage *m, const char *path,
    GHashTable *q, gpointer p)
{
	GHashTable *runs = pool_runs(((struct back *)p)->pool);
	gboolean brief = q != NULL && g_hash_table_lookup(q, "summary") != NULL;
	guint total = 0, max = 0, duplicates = 0, n;
	GHashTableIter it;
	gpointer k, v;
	JsonBuilder *b = json_builder_new();
	JsonNode *root;
	GString *s;
	char *text;

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "runs");
	json_builder_begin_object(b);
	g_hash_table_iter_init(&it, runs);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		n = GPOINTER_TO_UINT(v);
		total += n;
		max = MAX(max, n);
		duplicates += n > 1;
		if (brief)
			continue;
		json_builder_set_member_name(b, k);
		json_builder_add_int_value(b, n);
	}
	json_builder_end_object(b);
	json_builder_set_member_name(b, "keys");
	json_builder_add_int_value(b, g_hash_table_size(runs));
	json_builder_set_member_name(b, "total");
	json_builder_add_int_value(b, total);
	json_builder_set_member_name(b, "maximum");
	json_builder_add_int_value(b, max);
	json_builder_set_member_name(b, "duplicates");
	json_builder_add_int_value(b, duplicates);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	text = json_to_string(root, FALSE);
	s = g_string_new(text);
	respond(m, "application/json", s);
	g_free(text);
	json_node_unref(root);
	g_object_unref(b);
}

static void
on_metrics(SoupServer *server, SoupServerMessage *m, const char *path,
    GHashTable *q, gpointer p)
{
	static const char *const names[] = { "ran", "shed", "cancelled",
		"expired", "cut" };
	struct back *b = p;
	const guint64 *r = pool_result_counts(b->pool);
	struct load l = pool_load(b->pool);
	GString *s = g_string_new(NULL);
	guint i;

	for (i = 0; i < RESULT_MAX; i++)
		g_string_append_printf(s,
		    "ptback_requests_total{result=\"%s\"} %" G_GUINT64_FORMAT
		    "\n",
		    names[i], r[i]);
	g_string_append_printf(
	    s, "ptback_running %u\nptback_queued %u\n", l.running, l.queued);
	respond(m, "text/plain; version=0.0.4", s);
}

static void
on_faults(SoupServer *server, SoupServerMessage *m, const char *path,
    GHashTable *q, gpointer p)
{
	const char *n = q != NULL ? g_hash_table_lookup(q, "cut") : NULL;

	soup_server_message_set_status(m, n != NULL ? 204 : 400, NULL);
	if (n != NULL)
		pool_cut_answers(((struct back *)p)->pool,
		    (guint)g_ascii_strtoull(n, NULL, 10));
}

static void
poll_drained(void *arg)
{
	struct back *b = arg;

	b->poll = sys_after(POLL_US, poll_drained, b);
	if (pool_drained(b->pool))
		g_main_loop_quit(b->loop);
}

/* SIGTERM: announces draining, then completes the pending requests. */
static gboolean
drain(gpointer p)
{
	struct back *b = p;

	pool_drain(b->pool);
	if (b->announcer != NULL)
		announcer_send(b->announcer);
	if (b->poll == 0)
		poll_drained(b);
	return G_SOURCE_CONTINUE;
}

static gboolean
start_server(struct back *b, GError **err)
{
	const struct {
		const char *path;
		SoupServerCallback cb;
	} handlers[] = { { NULL, on_request }, { "/health", on_health },
		{ "/load", on_load }, { "/runs", on_runs },
		{ "/metrics", on_metrics }, { "/v1/faults", on_faults } };
	GSocketAddress *a;
	gboolean ok;
	guint i;

	b->server = soup_server_new("server-header", "ptback ", NULL);
	for (i = 0; i < G_N_ELEMENTS(handlers); i++)
		soup_server_add_handler(
		    b->server, handlers[i].path, handlers[i].cb, b, NULL);
	a = g_inet_socket_address_new_from_string(b->o.host, b->o.port);
	if (a == NULL) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "setting host is \"%s\"; give an IP number", b->o.host);
		return FALSE;
	}
	ok = soup_server_listen(b->server, a, 0, err);
	g_object_unref(a);
	return ok;
}

static void
run(struct back *b)
{
	b->loop = g_main_loop_new(NULL, FALSE);
	g_unix_signal_add(SIGTERM, drain, b);
	g_unix_signal_add(SIGINT, drain, b);
	if (*b->o.announce != '\0')
		b->announcer = announcer_new(&b->o, b->pool);
	if (b->o.health_lag_ms > 0)
		take_sample(b);
	pt_event(&sys_events, PT_LEVEL_INFO, "listening",
	    "host=%s port=%u service=%s", b->o.host, b->o.port, b->o.service);
	g_main_loop_run(b->loop);
	sys_cancel(&b->sample);
	sys_cancel(&b->poll);
	if (b->announcer != NULL)
		announcer_free(b->announcer);
	g_main_loop_unref(b->loop);
}

static gboolean
read_spread(const char *s, enum spread *out, GError **err)
{
	static const char *const names[] = { "fixed", "uniform",
		"exponential" };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(s, names[i]) == 0) {
			*out = (enum spread)i;
			return TRUE;
		}
	}
	g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
	    "setting spread is \"%s\"; give fixed, uniform or exponential", s);
	return FALSE;
}

static gboolean
settings(
    int *argc, char ***argv, struct back_opts *o, struct texts *t, GError **err)
{
	int port, slots, queue, conns, boot, warm, factor, us, seed, size;
	int lag, drain_ms;
	enum pt_level level;
	gboolean lie;
	const struct sys_setting set[] = {
		{ "host", SYS_STRING, &t->host, 0, 0, "127.0.0.1",
		    "IP number to listen on" },
		{ "port", SYS_INT, &port, 1, 65535, "8500", "TCP port" },
		{ "service", SYS_STRING, &t->service, 0, 0, "work",
		    "service to announce" },
		{ "announce", SYS_STRING, &t->announce, 0, 0, "",
		    "base URL of the node's admin port; empty: none" },
		{ "slots", SYS_INT, &slots, 1, 10000, "12",
		    "requests that run at once" },
		{ "queue", SYS_INT, &queue, 0, 10000, "4",
		    "requests that may wait for a slot" },
		{ "connections", SYS_INT, &conns, 1, 100000, "100",
		    "connections to announce" },
		{ "boot-ms", SYS_INT, &boot, 0, 600000, "0",
		    "time announced as warming, without requests, ms" },
		{ "warm-ms", SYS_INT, &warm, 0, 600000, "0",
		    "time of longer runs after that, ms" },
		{ "warm-factor", SYS_INT, &factor, 1, 1000, "4",
		    "factor on the run time at its start" },
		{ "service-us", SYS_INT, &us, 0, 60000000, "8000",
		    "mean time of a request, us" },
		{ "spread", SYS_STRING, &t->spread, 0, 0, "uniform",
		    "fixed, uniform or exponential" },
		{ "seed", SYS_INT, &seed, 0, G_MAXINT, "1",
		    "seed of the service times" },
		{ "size", SYS_INT, &size, 0, 1 << 28, "256",
		    "answer without ?size=, bytes" },
		{ "health-lag-ms", SYS_INT, &lag, 0, 600000, "0",
		    "age of the state in /health and /load, ms" },
		{ "health-lie", SYS_FLAG, &lie, 0, 0, "false",
		    "always report a healthy, idle server" },
		{ "drain-ms", SYS_INT, &drain_ms, 0, 600000, "4000",
		    "minimum time from SIGTERM to the exit, ms" },
		{ "runs-file", SYS_STRING, &t->runs_file, 0, 0, "",
		    "file that gets a line for each keyed run" },
		{ "log-level", SYS_STRING, &t->level, 0, 0, "info",
		    "least severe event written: error, warning, info or "
		    "debug" },
	};

	if (!sys_settings(set, G_N_ELEMENTS(set), "PTBACK",
		"- stand-in backend server", argc, argv, err))
		return FALSE;
	if (!read_spread(t->spread, &o->spread, err) ||
	    !sys_level(t->level, &level, err) ||
	    !sys_no_arguments(*argc, *argv, err))
		return FALSE;
	if (*t->announce != '\0' && !sys_http_url("announce", t->announce, err))
		return FALSE;
	sys_events_init("ptback", NULL, level);
	o->host = t->host;
	o->port = port;
	o->service = t->service;
	o->announce = t->announce;
	o->slots = slots;
	o->queue = queue;
	o->connections = conns;
	o->boot_us = (gint64)boot * 1000;
	o->warm_us = (gint64)warm * 1000;
	o->warm_factor = factor;
	o->service_us = us;
	o->seed = seed;
	o->size = size;
	o->health_lag_ms = lag;
	o->health_lie = lie;
	o->drain_us = (gint64)drain_ms * 1000;
	o->runs_file = t->runs_file;
	return TRUE;
}

int
main(int argc, char **argv)
{
	struct back b = { 0 };
	struct texts t = { 0 };
	GError *err = NULL;
	guint i;

	if (!settings(&argc, &argv, &b.o, &t, &err)) {
		fprintf(stderr, "ptback: %s\n", err->message);
		return 1;
	}
	b.pool = pool_new(&b.o);
	if (!start_server(&b, &err)) {
		fprintf(stderr, "ptback: %s\n", err->message);
		return 1;
	}
	run(&b);
	pool_free(b.pool);
	soup_server_disconnect(b.server);
	for (i = 0; i < CLOSE_ITERATIONS; i++)
		g_main_context_iteration(NULL, FALSE);
	g_object_unref(b.server);
	g_free(t.host);
	g_free(t.service);
	g_free(t.announce);
	g_free(t.spread);
	g_free(t.runs_file);
	g_free(t.level);
	return EXIT_SUCCESS;
}
