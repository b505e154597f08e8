#include <glib.h>
#include <gio/gio.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
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

/* ---- struct dist_store on the configuration ---- */

/* Updates what routing and admission copied from the configuration. */
static void
version_changed(struct node *n, gint64 before)
{
	if (conf_version(n->conf) == before)
		return;
	pt_event(&n->events, PT_LEVEL_INFO, "version",
	    "version=%" G_GINT64_FORMAT " position=%" G_GINT64_FORMAT,
	    conf_version(n->conf), conf_position(n->conf));
	routing_config_changed(n);
}

static void
store_eval(void *ctx, gint64 offset, GBytes *data)
{
	struct node *n = ctx;
	struct conf_verdict v;
	gint64 before = conf_version(n->conf);
	char *text;

	v = conf_eval(n->conf, offset, data);
	if (v.evaluated && v.kind != PT_ACCEPTED) {
		text = sys_quote(v.text);
		pt_event(&n->events, PT_LEVEL_INFO, "record-refused",
		    "offset=%" G_GINT64_FORMAT " verdict=%d text=%s", offset,
		    (int)v.kind, text);
		g_free(text);
	}
	version_changed(n, before);
}

static gint64
store_position(void *ctx)
{
	return conf_position(((struct node *)ctx)->conf);
}

static gint64
store_version(void *ctx)
{
	return conf_version(((struct node *)ctx)->conf);
}

static void
store_digest(void *ctx, guint8 out[PT_DIGEST_LEN])
{
	memcpy(out, conf_digest(((struct node *)ctx)->conf), PT_DIGEST_LEN);
}

static GBytes *
store_snapshot(void *ctx)
{
	return conf_snapshot(((struct node *)ctx)->conf);
}

static void
store_skip(void *ctx, gint64 position)
{
	conf_skip(((struct node *)ctx)->conf, position);
}

static gboolean
store_load(void *ctx, GBytes *bytes, GError **err)
{
	struct node *n = ctx;
	struct conf *c;
	gint64 before = conf_version(n->conf);

	c = conf_from_snapshot(bytes, err);
	if (c == NULL)
		return FALSE;
	if (conf_position(c) <= conf_position(n->conf)) {
		conf_unref(c);
		return TRUE;
	}
	if (conf_version(c) < before) {
		g_set_error(err, PT_ERROR, PT_ERROR_CONFLICT,
		    "the snapshot is of the older version %" G_GINT64_FORMAT
		    "; apply the declarations again",
		    conf_version(c));
		conf_unref(c);
		return FALSE;
	}
	conf_unref(n->conf);
	n->conf = c;
	version_changed(n, before);
	return TRUE;
}

static gboolean
store_outcome(void *ctx, const guint8 id[PT_ID_LEN], struct pt_outcome *out)
{
	return conf_outcome(((struct node *)ctx)->conf, (const char *)id, out);
}

/* ---- membership and distribution on the main loop ---- */

static gint64
tick_memb(void *arg)
{
	return memb_tick(((struct node *)arg)->memb);
}

static gint64
tick_dist(void *arg)
{
	return dist_tick(((struct node *)arg)->dist);
}

static void
dist_changed(void *ctx)
{
	struct node *n = ctx;

	if (!n->ready && dist_ready(n->dist)) {
		n->ready = TRUE;
		entry_open(n->entry);
		backend_publish_state(n);
		upstream_update(n->upstream);
	}
	sys_ticker_kick(n->dist_ticker);
}

static void
member_changed(void *ctx, const struct memb_member *m, gboolean removed)
{
	struct node *n = ctx;

	pt_event(&n->events, PT_LEVEL_DEBUG, "member",
	    "name=%s health=%d state=%d incarnation=%" G_GINT64_FORMAT
	    " gone=%d",
	    m->instance, m->health, m->state, m->incarnation, removed);
	routing_member_changed(n, m);
	if (m->health == PT_ALIVE && m->state == PT_BOOTING && !removed)
		quarantine_tell(n->quarantine, m->instance);
	if (n->dist == NULL)
		return;
	dist_members_changed(n->dist);
	sys_ticker_kick(n->dist_ticker);
}

static void
message(void *ctx, enum pt_gossip_kind kind, const void *data, gsize len)
{
	struct node *n = ctx;

	if (kind == PT_SUSPECTS && n->quarantine != NULL)
		quarantine_heard(n->quarantine, data, len);
	else if (kind == PT_BEACON && n->dist != NULL) {
		dist_beacon_heard(n->dist, data, len);
		sys_ticker_kick(n->dist_ticker);
	}
}

/* The datagram may make an update or an answer to a probe due at once. */
static void
datagram(void *ctx, const void *data, gsize len)
{
	struct node *n = ctx;

	memb_input(n->memb, data, len);
	sys_ticker_kick(n->memb_ticker);
}

static gboolean
start_memb(struct node *n)
{
	struct pt_member self = { .instance = n->set.instance,
		.incarnation = n->incarnation,
		.started = n->incarnation,
		.state = PT_BOOTING,
		.host = n->set.host,
		.rpc_port = n->set.rpc_port,
		.gossip_port = n->set.gossip_port,
		.http_port = n->set.http_port,
		.domain = n->set.domain,
		.region = n->set.region,
		.service = (char *)"" };
	struct memb_opts o = { .self = &self,
		.clock = &n->clock,
		.rand = n->rand,
		.dgram = &n->dgram,
		.rpc = &n->rpc,
		.events = &n->events,
		.position = store_position,
		.changed = member_changed,
		.message = message,
		.ctx = n };

	n->memb = memb_new(&o);
	if (n->set.seed_host != NULL)
		memb_add_seed(n->memb, n->set.seed_host,
		    n->set.seed_gossip_port, n->set.seed_rpc_port);
	n->memb_ticker = sys_ticker_new(tick_memb, n);
	return TRUE;
}

gboolean
sync_start(struct node *n, GError **err)
{
	const struct dist_store store = { store_eval, store_position,
		store_version, store_digest, store_snapshot, store_skip,
		store_load, store_outcome, n };
	struct dist_opts o = { .clock = &n->clock,
		.rand = n->rand,
		.log = &n->log,
		.rpc = &n->rpc,
		.events = &n->events,
		.store = &n->store,
		.retention_us = (gint64)n->set.log_retention_s * 1000000,
		.poll = n->set.distribution == DISTRIBUTION_POLL,
		.changed = dist_changed,
		.ctx = n };

	n->dgram_socket =
	    rpcio_dgram_new(n->set.host, n->set.gossip_port, datagram, n, err);
	if (n->dgram_socket == NULL)
		return FALSE;
	n->dgram = rpcio_dgram_port(n->dgram_socket);
	n->store = store;
	start_memb(n);
	o.memb = n->memb;
	n->dist = dist_new(&o);
	n->dist_ticker = sys_ticker_new(tick_dist, n);
	return TRUE;
}

void
sync_stop(struct node *n)
{
	g_clear_pointer(&n->dist_ticker, sys_ticker_free);
	g_clear_pointer(&n->dist, dist_free);
	g_clear_pointer(&n->memb_ticker, sys_ticker_free);
	g_clear_pointer(&n->memb, memb_free);
	g_clear_pointer(&n->dgram_socket, rpcio_dgram_free);
}
