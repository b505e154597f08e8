#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "memb.h"
#include "call.h"
#include "limit.h"
#include "platform.h"
#include "proxy.h"

/* Delay in which changes of members are collected and applied together. */
#define REBUILD_US 20000
/* Percent of a service's upstreams that may be ejected at once. */
#define EJECT_MAX 50
/* Time-outs of the RPC connections to other nodes. */
#define RPC_IDLE_MS 20000
#define RPC_CONNECT_MS 500

/*
 * Servers that announce more slots even out the costs of their requests: there
 * the number of requests tells as much as their work.
 */
#define WORK_SLOTS_MAX 8

gboolean
members_balance_by_work(guint slots)
{
	return slots > 0 && slots <= WORK_SLOTS_MAX;
}

/* The most slots that an upstream of a service announces. */
static guint
most_slots(const struct proxy *p, const char *service)
{
	const struct memb_member *m = NULL;
	guint most = 0;

	while ((m = memb_next_in_service(p->memb, service, m)) != NULL)
		most = MAX(most, m->slots);
	return most;
}

static void
rebuild_service(struct proxy *p, const char *name)
{
	const struct lb_service_opts o = { .eject_max = EJECT_MAX,
		.by_time = TRUE,
		.by_work = members_balance_by_work(most_slots(p, name)) };
	const struct memb_member *m;
	GArray *ups = g_array_new(FALSE, TRUE, sizeof(struct lb_member));

	m = memb_next_in_service(p->memb, name, NULL);
	for (; m != NULL; m = memb_next_in_service(p->memb, name, m)) {
		struct lb_member u = { m->instance, m->domain, m->started,
			m->slots, (enum pt_state)m->state };

		if (memb_reachable(p->memb, m))
			g_array_append_val(ups, u);
	}
	lb_set(p->lb, name, &o, (const struct lb_member *)(void *)ups->data,
	    ups->len);
	g_array_free(ups, TRUE);
}

static void
rebuild(void *arg)
{
	struct proxy *p = arg;
	GHashTable *names = p->dirty_services;
	GHashTableIter it;
	gpointer name;

	p->rebuild_timer = 0;
	p->dirty_services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_iter_init(&it, names);
	while (g_hash_table_iter_next(&it, &name, NULL))
		rebuild_service(p, name);
	g_hash_table_unref(names);
}

static void
mark_dirty(struct proxy *p, const char *service)
{
	if (service == NULL || *service == '\0')
		return;
	g_hash_table_add(p->dirty_services, g_strdup(service));
	if (p->rebuild_timer == 0)
		p->rebuild_timer = sys_after(REBUILD_US, rebuild, p);
}

static void
on_changed(void *ctx, const struct memb_member *m, gboolean removed)
{
	struct proxy *p = ctx;

	pt_event(&p->events, PT_LEVEL_INFO, "member-state",
	    "name=%s health=%d state=%d service=%s started=%" G_GINT64_FORMAT
	    " seq=%u gone=%d",
	    m->instance, m->health, m->state,
	    *m->service != '\0' ? m->service : "-", m->started, m->seq,
	    removed);
	mark_dirty(p, m->service);
	if (m->health == PT_ALIVE && m->state == PT_BOOTING && !removed) {
		quarantine_tell(p->quarantine, m->instance);
		departures_tell(p->departures, m->instance);
	}
}

static gint64
position(void *ctx)
{
	struct proxy *p = ctx;

	return p->rtab != NULL ? rtab_version(p->rtab) : 0;
}

/*
 * The former process of this node announced no slots once its server had told
 * it that it leaves.  The server tells it only once, so its health is not
 * believed until it announces itself.
 */
static void
on_former(void *ctx, const struct pt_member *m)
{
	struct proxy *p = ctx;
	gboolean left =
	    m->slots == 0 && (m->state == PT_DRAINING || m->state == PT_LEFT);

	pt_event(&p->events, PT_LEVEL_INFO, "former",
	    "state=%d slots=%d left=%d started=%" G_GINT64_FORMAT,
	    (int)m->state, m->slots, left, m->started);
	if (!left)
		return;
	reg_former_left(p->reg);
	backend_update(p->backend);
	members_announce(p);
}

static void
on_take_over(void *ctx, const char *from, gboolean done)
{
	struct proxy *p = ctx;

	if (p->source == NULL)
		return;
	if (done)
		source_covered(p->source, from);
	else
		source_take_over(p->source, from);
}

static void
on_message(void *ctx, enum pt_gossip_kind kind, const void *data, gsize len)
{
	struct proxy *p = ctx;

	if (kind == PT_SUSPECTS && p->quarantine != NULL)
		quarantine_heard(p->quarantine, data, len);
	else if (kind == PT_DEPARTURES && p->departures != NULL)
		departures_heard(p->departures, data, len);
	else if (kind == PT_BEACON)
		beacons_heard(p->beacons, data, len);
}

void
members_opts(struct proxy *p, struct memb_opts *o)
{
	o->position = position;
	o->changed = on_changed;
	o->former = on_former;
	o->take_over = on_take_over;
	o->message = on_message;
	o->ctx = p;
}

static gint64
tick(void *arg)
{
	struct proxy *p = arg;
	gint64 due = memb_tick(p->memb);

	if (memb_newest_position(p->memb, NULL) > position(p))
		source_notify(p->source);
	return due;
}

static void
on_datagram(void *ctx, const void *data, gsize len)
{
	struct proxy *p = ctx;

	memb_input(p->memb, data, len);
	sys_ticker_kick(p->memb_ticker);
}

/* ---- RPC calls from other nodes ---- */

static void
handle_members(
    struct proxy *p, struct rpcio_req *req, const struct pt_members_args *args)
{
	struct pt_members_res res;

	memset(&res, 0, sizeof(res));
	memb_handle_members(p->memb, args, &res);
	rpcio_reply(req, &res);
	memb_members_clear(&res);
}

static void
handle(void *ctx, struct rpcio_req *req, guint proc, const void *args)
{
	struct proxy *p = ctx;
	struct pt_table_res res;
	struct pt_limit_res limit;

	if (proc == PT_NULL) {
		rpcio_reply(req, NULL);
		return;
	}
	/* Every argument starts with the protocol version of the sender. */
	if (!pt_proto_supported(*(const int *)args)) {
		rpcio_fail(req);
		return;
	}
	switch (proc) {
	case PT_MEMBERS:
		handle_members(p, req, args);
		break;
	case PT_TABLE:
		memset(&res, 0, sizeof(res));
		source_table(p->source, args, &res);
		rpcio_reply(req, &res);
		break;
	case PT_LIMIT:
		memset(&limit, 0, sizeof(limit));
		limits_handle(p->limits, args, &limit);
		rpcio_reply(req, &limit);
		limits_clear(&limit);
		break;
	default:
		rpcio_fail(req);
	}
}

/* ---- start and stop ---- */

static void
add_seeds(struct proxy *p)
{
	const struct plat_settings *s = p->set;
	guint i;

	for (i = 0; i < s->n_seeds; i++)
		if (strcmp(s->seeds[i].host, s->peer.host) != 0)
			memb_add_seed(p->memb, s->seeds[i].host, s->first_port,
			    s->first_port);
}

static void
start_memb(struct proxy *p)
{
	struct pt_member self = { .instance = p->set->instance,
		.incarnation = p->started,
		.started = p->started,
		.state = PT_BOOTING,
		.host = p->set->peer.host,
		.rpc_port = (int)p->set->first_port,
		.gossip_port = (int)p->set->first_port,
		.http_port = (int)p->set->peer.port,
		.domain = p->set->domain,
		.region = p->set->region,
		.service = (char *)"" };
	struct memb_opts o = { .self = &self,
		.clock = &p->clock,
		.rand = p->rand,
		.dgram = &p->dgram_iface,
		.rpc = &p->rpc,
		.events = &p->events };

	members_opts(p, &o);
	p->memb = memb_new(&o);
	add_seeds(p);
	p->memb_ticker = sys_ticker_new(tick, p);
}

gboolean
members_start(struct proxy *p, GError **err)
{
	const char *host = p->set->peer.host;
	struct rpcio_client_opts co = { .idle_ms = RPC_IDLE_MS,
		.connect_ms = RPC_CONNECT_MS,
		.events = &p->events };
	struct rpcio_server_opts so = { .host = host,
		.port = p->set->first_port,
		.handle = handle,
		.ctx = p,
		.events = &p->events };

	p->dirty_services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->dgram =
	    rpcio_dgram_new(host, p->set->first_port, on_datagram, p, err);
	if (p->dgram == NULL)
		return FALSE;
	p->dgram_iface = rpcio_dgram_port(p->dgram);
	p->rpc_client = rpcio_client_new(&co);
	p->rpc = rpcio_client_port(p->rpc_client);
	start_memb(p);
	p->rpc_server = rpcio_server_new(&so, err);
	return p->rpc_server != NULL;
}

void
members_stop(struct proxy *p)
{
	sys_cancel(&p->rebuild_timer);
	g_clear_pointer(&p->rpc_server, rpcio_server_free);
	g_clear_pointer(&p->memb_ticker, sys_ticker_free);
	g_clear_pointer(&p->memb, memb_free);
	g_clear_pointer(&p->rpc_client, rpcio_client_free);
	g_clear_pointer(&p->dgram, rpcio_dgram_free);
	g_clear_pointer(&p->dirty_services, g_hash_table_unref);
}

void
members_announce(struct proxy *p)
{
	const char *service = reg_service(p->reg);
	enum pt_state s = PT_BOOTING;
	guint slots = (guint)reg_slots(p->reg);
	gint64 since;

	if (PT_MUTANT(MUTANT_LEAVING_CHOSEN) && service != NULL)
		s = PT_SERVING;
	else if (reg_leaving(p->reg, &since) || reg_left_before(p->reg)) {
		s = PT_DRAINING;
		slots = 0; /* see on_former() */
	} else if (p->draining)
		s = PT_DRAINING;
	else if (!reg_serving(p->reg) || reg_silent(p->reg))
		s = PT_BOOTING;
	else
		s = backend_up(p->backend) ? PT_SERVING : PT_WARMING;
	memb_announce(p->memb, s, service != NULL ? service : "", slots);
	mark_dirty(p, service);
	sys_ticker_kick(p->memb_ticker);
}

gboolean
members_joined(const struct proxy *p)
{
	return memb_joined(p->memb);
}
