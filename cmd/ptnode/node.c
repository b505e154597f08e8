#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <gio/gio.h>
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

#define RPC_IDLE_MS 60000
#define RPC_CONNECT_MS 1000
#define LOG_TIMEOUT_MS 3000
#define SECOND_US 1000000
#define IDEM_SECRET_LEN 32

static void
each_second(void *arg)
{
	struct node *n = arg;

	backend_expire(n);
	if (n->idem != NULL)
		idem_tick(n->idem);
	n->second_timer = sys_after(SECOND_US, each_second, n);
}

static void
random_bytes(GRand *r, guint8 *out, gsize len)
{
	gsize i;

	for (i = 0; i < len; i++)
		out[i] = (guint8)g_rand_int(r);
}

static void
start_core(struct node *n)
{
	guint8 secret[IDEM_SECRET_LEN];
	struct lb_opts lo = { .clock = n->clock,
		.rand = n->rand,
		.domain = n->set.domain,
		.events = &n->events };
	struct idem_opts io = { .clock = n->clock,
		.instance = n->set.instance,
		.incarnation = n->incarnation,
		.secret = secret,
		.secret_len = sizeof(secret),
		.max_keys = (guint)n->set.key_table };

	random_bytes(n->rand, secret, sizeof(secret));
	n->conf = conf_new();
	n->lb = lb_new(&lo);
	n->budget = budget_new();
	n->idem = idem_new(&io);
	routing_init(n);
}

static gboolean
start_transports(struct node *n, GError **err)
{
	struct rpcio_client_opts co = { .idle_ms = RPC_IDLE_MS,
		.connect_ms = RPC_CONNECT_MS,
		.events = &n->events,
		.stats = &n->rpc_stats };
	struct httpio_log_opts lo = { .base = n->set.log_url,
		.timeout_ms = LOG_TIMEOUT_MS };

	n->client = rpcio_client_new(&co);
	n->rpc = rpcio_client_port(n->client);
	n->log_client = httpio_log_new(&lo, err);
	if (n->log_client == NULL)
		return FALSE;
	n->log = httpio_log_port(n->log_client);
	return TRUE;
}

/* The RPC server is opened last, since a call may arrive at once. */
static gboolean
open_node(struct node *n, GError **err)
{
	struct rpcio_server_opts so = { .host = n->set.host,
		.port = (guint)n->set.rpc_port,
		.handle = control_handle,
		.closed = control_closed,
		.events = &n->events,
		.stats = &n->rpc_stats };

	start_core(n);
	if (!start_transports(n, err))
		return FALSE;
	n->quarantine = quarantine_new(n);
	n->upstream = upstream_new(n);
	if (!sync_start(n, err))
		return FALSE;
	n->entry = entry_new(n, err);
	if (n->entry == NULL)
		return FALSE;
	n->admin = admin_new(n, err);
	if (n->admin == NULL)
		return FALSE;
	n->control = control_new(n);
	so.ctx = n->control;
	n->server = rpcio_server_new(&so, err);
	if (n->server == NULL)
		return FALSE;
	n->second_timer = sys_after(SECOND_US, each_second, n);
	return TRUE;
}

/* Must run after release_parts(): those parts call the core libraries. */
static void
release_core(struct node *n)
{
	g_clear_pointer(&n->lb, lb_free);
	g_clear_pointer(&n->budget, budget_free);
	g_clear_pointer(&n->idem, idem_free);
	if (n->dirty_services != NULL)
		routing_clear(n);
	g_clear_pointer(&n->conf, conf_unref);
}

static void
release_timers(struct node *n)
{
	sys_cancel(&n->second_timer);
	sys_cancel(&n->refuse_timer);
	sys_cancel(&n->stop_timer);
}

static void
release_parts(struct node *n)
{
	g_clear_pointer(&n->server, rpcio_server_free);
	g_clear_pointer(&n->admin, admin_free);
	g_clear_pointer(&n->entry, entry_free);
	g_clear_pointer(&n->upstream, upstream_free);
	g_clear_pointer(&n->quarantine, quarantine_free);
	sync_stop(n);
}

void
node_release(struct node *n)
{
	release_timers(n);
	release_parts(n);
	g_clear_pointer(&n->client, rpcio_client_free);
	g_clear_pointer(&n->control, control_free);
	g_clear_pointer(&n->log_client, httpio_log_free);
	release_core(n);
	g_free(n->backend.service);
	g_free(n->backend.url);
	g_clear_pointer(&n->rand, g_rand_free);
	settings_clear(&n->set);
}

gboolean
node_start(struct node *n, GError **err)
{
	if (open_node(n, err)) {
		pt_event(&n->events, PT_LEVEL_INFO, "started",
		    "domain=%s host=%s rpc_port=%d http_port=%d", n->set.domain,
		    n->set.host, n->set.rpc_port, n->set.http_port);
		return TRUE;
	}
	node_release(n);
	return FALSE;
}
