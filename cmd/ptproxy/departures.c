/*
 * Departures of backend servers, told to other nodes: they outlive the process
 * that has acknowledged them.
 */
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

/* Nodes that are told of a departure before it is acknowledged. */
#define TARGETS 16

struct departures {
	struct proxy *proxy;
	struct reg_gone *gone; /* of other nodes */
};

struct departures *
departures_new(struct proxy *p)
{
	struct departures *d = g_new0(struct departures, 1);

	d->proxy = p;
	d->gone = reg_gone_new(&p->clock);
	return d;
}

void
departures_free(struct departures *d)
{
	if (d == NULL)
		return;
	reg_gone_free(d->gone);
	g_free(d);
}

static void
message(const struct departures *d, struct pt_departures *m,
    struct pt_departure *list, guint n)
{
	m->proto = PT_PROTO;
	m->kind = PT_DEPARTURES;
	m->from = d->proxy->set->instance;
	m->list.list_val = list;
	m->list.list_len = n;
}

void
departures_announce(struct departures *d)
{
	struct pt_departure x = { .instance = d->proxy->set->instance };
	struct pt_departures m;
	const char *id;
	gint64 start;

	if (!reg_last_departure(d->proxy->reg, &id, &start))
		return;
	x.id = (char *)(guintptr)id;
	x.process_start = start;
	message(d, &m, &x, 1);
	memb_cast(d->proxy->memb, (xdrproc_t)xdr_pt_departures, &m, TARGETS);
}

void
departures_tell(struct departures *d, const char *instance)
{
	struct pt_departure list[PT_DEPARTURES_MAX];
	struct pt_departures m;
	guint n;

	if (d == NULL)
		return;
	n = reg_gone_of(d->gone, instance, list, PT_DEPARTURES_MAX);
	if (n == 0)
		return;
	message(d, &m, list, n);
	memb_cast_to(
	    d->proxy->memb, instance, (xdrproc_t)xdr_pt_departures, &m);
}

/* A server of this node, as a former process has acknowledged. */
static void
own_departure(struct proxy *p, const struct pt_departure *x)
{
	gboolean registered = reg_departed(p->reg, x->id, x->process_start);

	pt_event(&p->events, PT_LEVEL_INFO, "former-departure",
	    "backend=%s start=%" G_GINT64_FORMAT " registered=%d", x->id,
	    (gint64)x->process_start, registered);
	if (!registered)
		return;
	backend_update(p->backend);
	members_announce(p);
}

void
departures_heard(struct departures *d, const void *data, gsize len)
{
	struct pt_departures m = { 0 };
	struct proxy *p = d->proxy;
	guint i;

	if (!pt_decode_compat(
		(xdrproc_t)xdr_pt_departures, &m, sizeof(m), data, len))
		return;
	for (i = 0; pt_proto_supported(m.proto) && i < m.list.list_len; i++)
		if (strcmp(m.list.list_val[i].instance, p->set->instance) == 0)
			own_departure(p, &m.list.list_val[i]);
		else
			reg_gone_add(d->gone, &m.list.list_val[i]);
	xdr_free((xdrproc_t)xdr_pt_departures, (char *)&m);
}
