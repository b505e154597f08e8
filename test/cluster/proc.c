/* Processes of the network in memory, and what is checked of them. */
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

#define SUBMIT_WAIT_MS 5000
/* From the target: a change is in force everywhere within 6 s. */
#define IN_FORCE_US (6 * WORLD_S)
#define ANNOUNCE_US (1 * WORLD_S)

static void
drop_event(enum pt_level level, const char *name, const char *fields)
{
	if (W.verbose && W.owner >= 0)
		g_printerr("%9.3f %s %s %s\n", (double)W.now / 1e6,
		    W.nodes[W.owner].name, name, fields);
}

static void
on_event(void *ctx, enum pt_level level, const char *name, const char *fields)
{
	drop_event(level, name, fields);
}

static void
stream_free(gpointer p)
{
	struct world_stream *s = p;

	g_ptr_array_unref(s->records);
	g_free(s);
}

void
world_new(guint32 seed)
{
	memset(&W, 0, sizeof(W));
	W.now = 1000 * WORLD_S;
	W.owner = WORLD_OUTSIDE;
	W.rand = g_rand_new_with_seed(seed);
	W.queue = g_sequence_new(NULL);
	W.timers = g_hash_table_new(NULL, NULL);
	W.log.streams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, stream_free);
	W.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	W.ran_serials = g_hash_table_new(NULL, NULL);
	W.digests =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	W.calls = g_ptr_array_new();
	W.submits = g_ptr_array_new_with_free_func(g_free);
	W.delay_min = 500;
	W.delay_max = 1500;
	W.verbose = g_getenv("WORLD_VERBOSE") != NULL;
}

guint
world_add(const char *domain, const char *region, const char *service)
{
	struct world_node *w = &W.nodes[W.n];

	w->index = W.n;
	w->name = g_strdup_printf("i%02u", W.n);
	w->host = g_strdup_printf("127.0.1.%u", W.n + 1);
	w->domain = g_strdup(domain);
	w->region = g_strdup(region);
	w->service = g_strdup(service);
	w->b.index = W.n;
	w->b.url = g_strdup_printf("http://%s:8500", w->host);
	w->b.up = TRUE;
	w->b.announces = TRUE;
	w->b.state = PT_SERVING;
	w->b.slots = 4;
	w->b.service_us = 5 * WORLD_MS;
	w->b.answer_len = 100;
	return W.n++;
}

gint
world_find_host(const char *host)
{
	guint i;

	for (i = 0; i < W.n; i++)
		if (strcmp(W.nodes[i].host, host) == 0)
			return (gint)i;
	return -1;
}

gboolean
world_reaches(gint a, gint b)
{
	return a < 0 || b < 0 || W.nodes[a].group == W.nodes[b].group;
}

gint64
world_delay(void)
{
	return W.delay_min + (gint64)(g_rand_double(W.rand) *
				      (double)(W.delay_max - W.delay_min));
}

static void
exit_node(void *arg)
{
	world_kill(((struct world_node *)arg)->index);
}

/* The process exits: what it left open is cut. */
static void
on_stopped(void *arg)
{
	struct world_node *w = arg;

	w->stopped = TRUE;
	world_post(0, WORLD_OUTSIDE, exit_node, NULL, w);
}

static void
start_node(void *arg)
{
	struct world_node *w = arg;
	struct settings *s = &w->n.set;
	GError *err = NULL;

	memset(&w->n, 0, sizeof(w->n));
	s->instance = g_strdup(w->name);
	s->domain = g_strdup(w->domain);
	s->region = g_strdup(w->region);
	s->host = g_strdup(w->host);
	s->rpc_port = 7400;
	s->gossip_port = 7401;
	s->http_port = 8400;
	s->admin_port = 8401;
	s->log_url = g_strdup("http://127.0.0.1:8600");
	s->seed = g_strdup("");
	s->log_retention_s = 120;
	s->announce_timeout_ms = 5000;
	s->drain_notice_ms = 2000;
	s->keep_alive_ms = 5000;
	s->key_table = 4096;
	w->n.clock = sys_clock;
	w->n.events.event = on_event;
	w->n.rand = g_rand_new_with_seed(g_rand_int(W.rand));
	w->n.incarnation = W.now + 1000000000;
	w->n.stopped = on_stopped;
	w->n.stopped_arg = w;
	if (!node_start(&w->n, &err))
		g_error("%s: %s", w->name, err->message);
}

static const char *
state_name(enum pt_state s)
{
	return s == PT_DRAINING	 ? "draining"
	       : s == PT_WARMING ? "warming"
				 : "serving";
}

static void
announce(void *arg)
{
	struct world_node *w = arg;
	GError *err = NULL;
	char *json;

	if (w->b.up && w->b.announces) {
		json = g_strdup_printf("{\"service\":\"%s\",\"url\":\"%s\","
				       "\"slots\":%u,\"connections\":100,"
				       "\"state\":\"%s\"}",
		    w->service, w->b.url, w->b.slots, state_name(w->b.state));
		if (!backend_announce(&w->n, json, strlen(json), &err))
			g_error("announcement: %s", err->message);
		g_free(json);
	}
	world_post(ANNOUNCE_US, (gint)w->index, announce, NULL, w);
}

static gint64
settled(const struct world_node *w)
{
	return W.now - w->since >= IN_FORCE_US ? w->highest : w->former;
}

/*
 * Version that nodes which the instance reaches have served for longer than a
 * change may take to be in force everywhere.  A newer one is still on its way.
 */
static gint64
newest_reachable(guint i)
{
	gint64 top = 0;
	guint k;

	for (k = 0; k < W.n; k++)
		if (k != i && W.nodes[k].up && W.nodes[k].n.ready &&
		    !W.nodes[k].paused && world_reaches((gint)i, (gint)k))
			top = MAX(top, settled(&W.nodes[k]));
	return top;
}

void
world_start(guint i)
{
	struct world_node *w = &W.nodes[i];

	w->life++;
	w->up = TRUE;
	w->paused = FALSE;
	w->stopped = FALSE;
	w->highest = 0;
	w->former = 0;
	w->was_ready = FALSE;
	w->newest_at_start = newest_reachable(i);
	world_as((gint)i, start_node, w);
	world_post(100 * WORLD_MS, (gint)i, announce, NULL, w);
}

static void
release_node(void *arg)
{
	node_release(arg);
}

void
world_kill(guint i)
{
	struct world_node *w = &W.nodes[i];

	if (!w->up)
		return;
	world_rpc_died(i);
	w->up = FALSE;
	w->paused = FALSE;
	world_as((gint)i, release_node, &w->n);
	w->life++;
}

void
world_pause(guint i)
{
	W.nodes[i].paused = TRUE;
}

static void
stop_node(void *arg)
{
	stop_begin(arg);
}

void
world_stop(guint i)
{
	world_as((gint)i, stop_node, &W.nodes[i].n);
}

static void
call_free(struct world_call *c)
{
	g_free(c->outcome);
	g_free(c->key);
	g_string_free(c->body, TRUE);
	g_free(c);
}

void
world_free(void)
{
	guint i;

	for (i = 0; i < W.n; i++)
		world_kill(i);
	world_run(10 * WORLD_S);
	while (g_sequence_get_length(W.queue) > 0)
		world_run(G_MAXINT32);
	for (i = 0; i < W.n; i++) {
		g_free(W.nodes[i].name);
		g_free(W.nodes[i].host);
		g_free(W.nodes[i].domain);
		g_free(W.nodes[i].region);
		g_free(W.nodes[i].service);
		g_free(W.nodes[i].b.url);
	}
	for (i = 0; i < W.calls->len; i++)
		call_free(W.calls->pdata[i]);
	g_ptr_array_unref(W.calls);
	g_ptr_array_unref(W.submits);
	g_hash_table_unref(W.log.streams);
	g_hash_table_unref(W.runs);
	g_hash_table_unref(W.ran_serials);
	g_hash_table_unref(W.digests);
	g_hash_table_unref(W.timers);
	g_sequence_free(W.queue);
	g_rand_free(W.rand);
}

/* ---- what must hold after every event ---- */

static void
check_routes(const struct conf *c)
{
	const struct conf_route *r;
	guint i;

	for (i = 0; (r = conf_route_at(c, i)) != NULL; i++)
		W.dangling += conf_service(c, r->service_name) == NULL ||
			      conf_rank(c, r->rank_name) == NULL;
}

static void
check_digest(struct conf *c, gint64 position)
{
	char *known = g_hash_table_lookup(W.digests, &position);
	const char *own = conf_digest(c);
	gint64 *key;

	if (known != NULL) {
		W.partial += memcmp(known, own, PT_DIGEST_LEN) != 0;
		return;
	}
	key = g_new(gint64, 1);
	*key = position;
	g_hash_table_insert(W.digests, key, g_memdup2(own, PT_DIGEST_LEN));
}

void
world_check_nodes(void)
{
	struct world_node *w;
	gint64 vers;
	guint i;

	for (i = 0; i < W.n; i++) {
		w = &W.nodes[i];
		if (!w->up || w->n.conf == NULL)
			continue;
		vers = conf_version(w->n.conf);
		if (w->n.ready && !w->was_ready) {
			w->was_ready = TRUE;
			W.early += vers < w->newest_at_start;
		}
		if (vers == w->highest)
			continue;
		W.version_down += vers < w->highest;
		w->former = settled(w);
		w->since = W.now;
		w->highest = vers;
		check_routes(w->n.conf);
		check_digest(w->n.conf, conf_position(w->n.conf));
	}
}

/* ---- conditions ---- */

gboolean
world_all_ready(void)
{
	guint i;

	for (i = 0; i < W.n; i++)
		if (W.nodes[i].up && !W.nodes[i].n.ready)
			return FALSE;
	return TRUE;
}

gint64
world_top_version(void)
{
	gint64 top = 0;
	guint i;

	for (i = 0; i < W.n; i++)
		if (W.nodes[i].up)
			top = MAX(top, conf_version(W.nodes[i].n.conf));
	return top;
}

gboolean
world_converged(gint64 version)
{
	const struct world_node *w;
	guint i;

	for (i = 0; i < W.n; i++) {
		w = &W.nodes[i];
		if (w->up && !w->paused && conf_version(w->n.conf) < version)
			return FALSE;
	}
	return TRUE;
}

/* ---- operators ---- */

GBytes *
world_change(guint at, const char *text, pt_id id)
{
	struct pt_get_res now = { 0 };
	struct pt_change c = { 0 };
	struct decl *d;
	GError *err = NULL;
	GBytes *b;

	d = decl_parse("test", text, strlen(text), &err);
	if (d == NULL)
		g_error("declarations: %s", err->message);
	conf_get(W.nodes[at].n.conf, -1, NULL, &now);
	if (!decl_diff(d, now.resources.resources_val,
		now.resources.resources_len, FALSE, &c, &err))
		g_error("change: %s", err->message);
	c.proto = PT_PROTO;
	g_free(c.author);
	c.author = strdup("operator");
	memcpy(c.id, id, sizeof(pt_id));
	b = pt_encode((xdrproc_t)xdr_pt_change, &c);
	xdr_free((xdrproc_t)xdr_pt_change, (char *)&c);
	conf_get_clear(&now);
	decl_free(d);
	return b;
}

struct submit {
	struct pt_outcome *out;
	gboolean *answered;
};

static void
submitted(void *arg, const struct pt_outcome *out)
{
	struct submit *s = arg;

	*s->out = *out;
	s->out->text = NULL;
	*s->answered = TRUE;
}

void
world_submit(guint at, const char *text, pt_id id, struct pt_outcome *out,
    gboolean *answered)
{
	struct pt_submit_args a = { 0 };
	struct submit *s = g_new0(struct submit, 1);
	GBytes *b = world_change(at, text, id);
	gsize len;
	gint before = W.owner;

	g_ptr_array_add(W.submits, s);
	s->out = out;
	s->answered = answered;
	*answered = FALSE;
	a.proto = PT_PROTO;
	a.wait_ms = SUBMIT_WAIT_MS;
	a.record.record_val = (char *)g_bytes_get_data(b, &len);
	a.record.record_len = (guint)len;
	memcpy(a.id, id, sizeof(pt_id));
	W.owner = (gint)at;
	dist_submit(W.nodes[at].n.dist, &a, submitted, s);
	sys_ticker_kick(W.nodes[at].n.dist_ticker);
	W.owner = before;
	g_bytes_unref(b);
}

char *
world_key(guint at)
{
	return idem_issue(W.nodes[at].n.idem);
}

guint
world_key_runs(const char *key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(W.runs, key));
}
