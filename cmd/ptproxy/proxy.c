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

#define SECOND_US G_TIME_SPAN_SECOND
/*
 * A node that has not joined others after this time reports itself ready all
 * the same.
 */
#define JOIN_WAIT_US (2 * G_TIME_SPAN_SECOND)
/*
 * Percent of the platform's retry ratio (budget_ratio) that a node spends on
 * its retries.  Calls that repeated runs make count against the ratio, too. The
 * rest is a margin for estimation errors and uneven timing.
 */
#define RETRY_SHARE 85
/*
 * Percent of the platform's additional retries (budget_slack) that all nodes
 * together may save up.  A retry of a request repeats the calls that the
 * request causes, and the nodes that send these spend their own savings on
 * them.
 */
#define SAVED_SHARE 45

/*
 * A stopping node is not ready from the start of its shutdown, so that the
 * platform moves callers to other nodes.
 */
gboolean
proxy_ready(const struct proxy *p)
{
	if (p->rtab == NULL || p->stopping)
		return FALSE;
	return members_joined(p) ||
	       pt_now(&p->clock) - p->started_at > JOIN_WAIT_US;
}

static void
ready_handle(struct proxy *p, const struct h1_head *h, const GByteArray *body,
    struct httpd_response *res)
{
	if (plat_is_ready_path(h->target))
		res->status = proxy_ready(p) ? 200 : 503;
	else
		stats_handle(p, h, body, res);
}

static void
set_budgets(struct proxy *p)
{
	const struct rtab_service *s;
	guint i, n = MAX(memb_count(p->memb), 1);
	int percent = (int)(p->set->budget_ratio * RETRY_SHARE);
	double saved = p->set->budget_slack * SAVED_SHARE / 100.0 / n;

	if (p->rtab == NULL)
		return;
	for (i = 0; (s = rtab_service_at(p->rtab, i)) != NULL; i++) {
		budget_set(p->budget, s->name, percent, 0);
		budget_burst(p->budget, s->name, saved);
	}
}

void
proxy_set_config(struct proxy *p, struct rtab *t)
{
	rtab_unref(p->rtab);
	p->rtab = t;
	rtab_fresh_applied(&p->fresh, rtab_version(t));
	set_budgets(p);
	if (p->ingress != NULL)
		ingress_update(p->ingress);
	backend_drop_revoked(p->backend);
	backend_update(p->backend);
	adopt_query(p->adopt);
	sys_ticker_kick(p->memb_ticker);
}

gint64
proxy_jitter(const struct proxy *p, gint64 us)
{
	double x = 0.75 + g_rand_double(p->rand) / 2;

	return (gint64)((double)us * x);
}

/* ---- settings that change ---- */

void
proxy_reload(struct proxy *p)
{
	GError *err = NULL;
	struct plat_settings *s;
	char *address;

	s = plat_settings_read(plat_settings_path(), &err);
	if (s == NULL) {
		pt_event(&p->events, PT_LEVEL_ERROR, "reload-refused",
		    "text=\"%s\"", err->message);
		g_error_free(err);
		return;
	}
	if (!plat_settings_keep(s, p->set))
		pt_event(&p->events, PT_LEVEL_WARNING, "reload-partial",
		    "text=\"a name, a listening address or the store's address "
		    "changed; restart the process\"");
	pt_event(&p->events, PT_LEVEL_INFO, "reload",
	    "service=%s seeds=%u backend=%s:%u", s->service, s->n_seeds,
	    s->backend.host, s->backend.port);
	plat_settings_free(p->set);
	p->set = s;
	address = g_strdup_printf("%s:%u", s->backend.host, s->backend.port);
	reg_settings(p->reg, address, s->service);
	g_free(address);
	backend_update(p->backend);
	members_announce(p);
}

/* ---- start and release ---- */

static void
each_second(void *arg)
{
	struct proxy *p = arg;

	p->second_timer = sys_after(SECOND_US, each_second, p);
	backend_sweep(p->backend);
	statements_tick(p->statements);
	peers_sweep(p->peers);
	source_tick(p->source);
	set_budgets(p);
	members_announce(p);
}

static void
start_decisions(struct proxy *p)
{
	char *address = g_strdup_printf(
	    "%s:%u", p->set->backend.host, p->set->backend.port);
	struct lb_opts lo = { .clock = p->clock,
		.rand = p->rand,
		.domain = p->set->domain,
		.events = &p->events };
	struct reg_opts ro = { .clock = p->clock,
		.address = address,
		.service = p->set->service,
		.heartbeat = p->set->heartbeat };

	p->reg = reg_new(&ro);
	p->lb = lb_new(&lo);
	p->budget = budget_new();
	p->retry_times = retry_times_new();
	p->sizes = cost_new();
	p->wrr = rtab_wrr_new(p->rand);
	p->stats = stats_new();
	p->heard = reg_table_new(&p->clock);
	g_free(address);
}

static void
metrics_handle(struct proxy *p, const struct h1_head *h, const GByteArray *body,
    struct httpd_response *res)
{
	stats_handle(p, h, body, res);
	if (res->status == 404)
		quarantine_handle(p, h, body, res);
}

/* The port for callers opens last: they may send requests at once. */
static gboolean
open_ports(struct proxy *p, GError **err)
{
	const struct plat_settings *s = p->set;

	p->inbound = inbound_new(p, err);
	if (p->inbound == NULL)
		return FALSE;
	p->control =
	    httpd_new(p, s->control.host, s->control.port, control_handle, err);
	p->metrics =
	    p->control == NULL
		? NULL
		: httpd_new(p, s->peer.host, s->last_port, metrics_handle, err);
	p->ready = p->metrics == NULL ? NULL
				      : httpd_new(p, s->ready.host,
					    s->ready.port, ready_handle, err);
	if (p->ready != NULL)
		p->ingress = ingress_new(p, err);
	return p->ingress != NULL;
}

gboolean
proxy_start(struct proxy *p, GError **err)
{
	p->started_at = pt_now(&p->clock);
	start_decisions(p);
	p->store = plat_store_new(&p->set->store);
	p->quarantine = quarantine_new(p);
	p->departures = departures_new(p);
	p->backend = backend_new(p);
	p->statements = statements_new(p);
	p->adopt = adopt_new(p);
	p->peers = peers_new(p);
	if (!members_start(p, err))
		return FALSE;
	p->beacons = beacons_new(p);
	p->source = source_new(p);
	p->keys = keys_new(p);
	p->limits = limits_new(p);
	p->discovery = discovery_new(p);
	if (!open_ports(p, err))
		return FALSE;
	p->second_timer = sys_after(SECOND_US, each_second, p);
	pt_event(&p->events, PT_LEVEL_INFO, "proxy-started",
	    "domain=%s host=%s service=%s seeds=%u first=%d "
	    "started=%" G_GINT64_FORMAT,
	    p->set->domain, p->set->peer.host, p->set->service, p->set->n_seeds,
	    p->set->first_start, p->started);
	return TRUE;
}

/* Each server is freed before the parts that its handlers call. */
static void
close_ports(struct proxy *p)
{
	g_clear_pointer(&p->ingress, ingress_free);
	g_clear_pointer(&p->inbound, inbound_free);
	g_clear_pointer(&p->ready, httpd_free);
	g_clear_pointer(&p->control, httpd_free);
	g_clear_pointer(&p->metrics, httpd_free);
}

/* The parts that deal with the backend server beside this node. */
static void
stop_backend(struct proxy *p)
{
	g_clear_pointer(&p->adopt, adopt_free);
	g_clear_pointer(&p->statements, statements_free);
	g_clear_pointer(&p->backend, backend_free);
	g_clear_pointer(&p->quarantine, quarantine_free);
	g_clear_pointer(&p->departures, departures_free);
}

static void
stop_parts(struct proxy *p)
{
	g_clear_pointer(&p->store, plat_store_free);
	g_clear_pointer(&p->discovery, discovery_free);
	g_clear_pointer(&p->limits, limits_free);
	g_clear_pointer(&p->keys, keys_free);
	g_clear_pointer(&p->source, source_free);
	g_clear_pointer(&p->beacons, beacons_free);
	members_stop(p);
	g_clear_pointer(&p->peers, peers_free);
	stop_backend(p);
}

static void
release_decisions(struct proxy *p)
{
	g_clear_pointer(&p->lb, lb_free);
	g_clear_pointer(&p->budget, budget_free);
	g_clear_pointer(&p->retry_times, retry_times_free);
	g_clear_pointer(&p->sizes, cost_free);
	g_clear_pointer(&p->wrr, rtab_wrr_free);
	g_clear_pointer(&p->reg, reg_free);
	g_clear_pointer(&p->heard, reg_table_free);
}

void
proxy_release(struct proxy *p)
{
	sys_cancel(&p->second_timer);
	sys_cancel(&p->stop_timer);
	close_ports(p);
	stop_parts(p);
	release_decisions(p);
	g_clear_pointer(&p->rtab, rtab_unref);
	g_clear_pointer(&p->stats, stats_free);
	g_clear_pointer(&p->rand, g_rand_free);
	g_clear_pointer(&p->set, plat_settings_free);
}
