/* Answers status: at which members the configuration is in force. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#define DIST_PRIVATE
#include "dist.h"

#define STATUS_TIMEOUT_MS 1500

struct status_call {
	struct dist *d;
	dist_status_cb cb;
	void *arg;
};

static void
lag_add(struct pt_status_res *r, const char *name)
{
	guint i;

	for (i = 0; i < r->lag.lag_len; i++) {
		if (g_strcmp0(r->lag.lag_val[i], name) == 0)
			return;
	}
	if (r->lag.lag_len < PT_LAG_MAX)
		r->lag.lag_val[r->lag.lag_len++] = g_strdup(name);
}

/*
 * Compares the acknowledgements with the membership.  The sum of the name
 * hashes shows whether exactly the members acknowledged, so that a node counted
 * under two parents does not hide one that has not; if a single member is
 * missing, the difference is its hash.
 */
static void
compare_members(
    struct dist *d, struct pt_status_res *r, const struct dist_ack *sum)
{
	const struct memb_member *x = NULL;
	guint64 all = 0;
	guint i;

	for (i = 0; i < sum->n_lag; i++) {
		x = memb_find(d->o.memb, sum->lag[i]);
		if (x != NULL && memb_present(x))
			lag_add(r, sum->lag[i]);
	}
	for (x = NULL; (x = memb_next(d->o.memb, x)) != NULL;) {
		if (!memb_present(x))
			continue;
		r->members++;
		all += memb_hash(x->instance);
		if (x->health == PT_SUSPECT)
			lag_add(r, x->instance);
	}
	r->in_force = MIN(sum->holding, r->members);
	if (sum->names == all)
		return;
	if (r->in_force == r->members)
		r->in_force--;
	for (x = NULL; (x = memb_next(d->o.memb, x)) != NULL;) {
		if (memb_present(x) &&
		    memb_hash(x->instance) == all - sum->names)
			lag_add(r, x->instance);
	}
}

/* Fills in the status from this node's own state. */
static void
own_status(struct dist *d, struct pt_status_res *r)
{
	const struct memb_member *me = memb_self(d->o.memb);
	struct dist_ack sum;

	memset(r, 0, sizeof(*r));
	r->proto = PT_PROTO;
	r->instance = me->instance;
	r->state = me->state;
	r->position = dist_position(d);
	d->o.store->digest(d->o.store->ctx, (guint8 *)r->digest);
	r->lag.lag_val = g_new0(pt_name, PT_LAG_MAX);
	dist_subtree(d, TRUE, &sum);
	r->vers = sum.newest;
	r->lowest = sum.lowest;
	r->complete = dist_is_first(d) && d->ready;
	compare_members(d, r, &sum);
	dist_ack_clear(&sum);
}

static void
list_members(struct dist *d, struct pt_status_res *r)
{
	const struct memb_member *x = NULL;
	struct pt_member *u;

	r->list.list_val = g_new0(struct pt_member, PT_LIST_MAX);
	while ((x = memb_next(d->o.memb, x)) != NULL &&
	       r->list.list_len < PT_LIST_MAX) {
		u = &r->list.list_val[r->list.list_len++];
		u->instance = x->instance;
		u->incarnation = x->incarnation;
		u->seq = x->seq;
		u->health = x->health;
		u->state = x->state;
		u->host = x->host;
		u->rpc_port = x->rpc_port;
		u->gossip_port = x->gossip_port;
		u->http_port = x->http_port;
		u->domain = (char *)x->domain;
		u->region = (char *)x->region;
		u->service = (char *)x->service;
		u->slots = x->slots;
	}
}

static void
clear(struct pt_status_res *r)
{
	guint i;

	for (i = 0; i < r->lag.lag_len; i++)
		g_free(r->lag.lag_val[i]);
	g_free(r->lag.lag_val);
	g_free(r->list.list_val);
}

/* Answers with the status of the first reader, or else with this node's own. */
static void
finish(struct dist *d, const struct pt_status_res *first, gboolean list,
    dist_status_cb cb, void *arg)
{
	struct pt_status_res r;
	guint i;

	own_status(d, &r);
	if (first != NULL) {
		r.vers = MAX(first->vers, dist_version(d));
		r.lowest = first->lowest;
		r.complete = first->complete;
		r.members = MAX(first->members, r.members);
		r.in_force = first->vers == r.vers ? first->in_force : 0;
		for (i = 0; i < first->lag.lag_len; i++)
			lag_add(&r, first->lag.lag_val[i]);
	}
	if (list)
		list_members(d, &r);
	cb(arg, &r);
	clear(&r);
}

static void
answered(void *arg, void *res, const GError *err)
{
	struct status_call *c = arg;

	if (!c->d->closed)
		finish(c->d, err == NULL ? res : NULL, TRUE, c->cb, c->arg);
	dist_unref(c->d);
	g_free(c);
}

void
dist_status(struct dist *d, const struct pt_get_args *args, dist_status_cb cb,
    void *arg)
{
	const struct memb_member *x = NULL;
	struct pt_get_args a = { 0 };
	struct status_call *c;
	static char empty[] = "";

	if (args->kind != DIST_STATUS_OWN && !dist_is_first(d))
		x = memb_find(d->o.memb, d->first_reader);
	if (x == NULL) {
		finish(d, NULL, args->kind != DIST_STATUS_OWN, cb, arg);
		return;
	}
	c = g_new0(struct status_call, 1);
	c->d = d;
	c->cb = cb;
	c->arg = arg;
	d->refs++;
	a.proto = PT_PROTO;
	a.kind = DIST_STATUS_OWN;
	a.name = empty;
	d->o.rpc->call(d->o.rpc->ctx, x->host, x->rpc_port, PT_STATUS, &a,
	    STATUS_TIMEOUT_MS, answered, c);
}
