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
#include "platform.h"
#include "proxy.h"

/* Time-out of a call to the store. */
#define CALL_MS 1500
/*
 * Interval of reading while no other node is known; otherwise of the nodes that
 * look for others on behalf of their failure domain, and of the rest.
 */
#define ALONE_US (1 * G_TIME_SPAN_SECOND)
#define LOOK_US (20 * G_TIME_SPAN_SECOND)
#define REST_US (120 * G_TIME_SPAN_SECOND)
#define LOOKERS 2
/* Pages of entries read at once: more addresses than needed to join. */
#define PAGES_MAX 4

/*
 * Interval at which the own entry is written until a write is acknowledged.
 * An attempt under way does not hold up the next: a store that was silent may
 * be back long before the attempt times out.  Entries have to be back within
 * 2 s of the store's return.
 */
#define WRITE_US (1 * G_TIME_SPAN_SECOND)

struct meet {
	struct proxy *proxy;
	guint look, write; /* timers */
	guint pages;
};

static void read_page(struct meet *, const char *after);

static void
again(void *arg)
{
	struct meet *m = arg;

	m->look = 0;
	m->pages = 0;
	read_page(m, NULL);
}

/* Spreads the calls of nodes that started together. */
static gint64
spread(const struct meet *m, gint64 us)
{
	double x = 0.75 + g_rand_double(m->proxy->rand) / 2;

	return (gint64)((double)us * x);
}

static void
schedule(struct meet *m)
{
	struct memb *memb = m->proxy->memb;
	gint64 t = REST_US;

	if (memb_count(memb) <= 1)
		t = ALONE_US;
	else if (memb_elected(memb, LOOKERS))
		t = LOOK_US;
	if (m->look == 0)
		m->look = sys_after(spread(m, t), again, m);
}

static void
take(struct meet *m, const struct plat_record *x)
{
	struct pt_seed s = { 0 };
	const void *p;
	gsize n;

	if (x->value == NULL)
		return;
	p = g_bytes_get_data(x->value, &n);
	if (!pt_decode((xdrproc_t)xdr_pt_seed, &s, sizeof(s), p, n))
		return;
	if (pt_proto_supported(s.proto) && s.gossip_port > 0 &&
	    s.rpc_port > 0 && strcmp(s.instance, m->proxy->set->instance) != 0)
		memb_add_seed(m->proxy->memb, s.host, (guint)s.gossip_port,
		    (guint)s.rpc_port);
	xdr_free((xdrproc_t)xdr_pt_seed, (char *)&s);
}

static void
wrote(void *ctx, const GError *err)
{
	struct meet *m = ctx;

	if (err == NULL) {
		sys_cancel(&m->write);
		return;
	}
	stats_add(m->proxy->stats, STAT_STORE_ERRORS);
	pt_event(&m->proxy->events, PT_LEVEL_WARNING, "meet-write",
	    "text=\"%s\"", err->message);
}

/* Writing twice is harmless: the newest value of a key counts. */
static void
write_self(void *arg)
{
	struct meet *m = arg;
	const struct plat_settings *set = m->proxy->set;
	struct pt_seed s = { .proto = PT_PROTO,
		.instance = set->instance,
		.host = set->peer.host,
		.rpc_port = (int)set->first_port,
		.gossip_port = (int)set->first_port };
	GBytes *b;

	m->write = sys_after(spread(m, WRITE_US), write_self, m);
	b = pt_encode((xdrproc_t)xdr_pt_seed, &s);
	plat_store_put(m->proxy->store, PLAT_TOPIC_NODES, set->instance, b,
	    CALL_MS, wrote, m);
	g_bytes_unref(b);
}

static void
got(void *ctx, const struct plat_records *r, const GError *err)
{
	struct meet *m = ctx;
	guint i;

	if (err != NULL) {
		stats_add(m->proxy->stats, STAT_STORE_ERRORS);
		pt_event(&m->proxy->events, PT_LEVEL_WARNING, "meet-read",
		    "text=\"%s\"", err->message);
	}
	for (i = 0; r != NULL && i < r->records->len; i++)
		take(m, &g_array_index(r->records, struct plat_record, i));
	sys_ticker_kick(m->proxy->memb_ticker);
	if (r != NULL && r->after != NULL && ++m->pages < PAGES_MAX) {
		read_page(m, r->after);
		return;
	}
	schedule(m);
}

static void
read_page(struct meet *m, const char *after)
{
	plat_store_newest(
	    m->proxy->store, PLAT_TOPIC_NODES, after, CALL_MS, got, m);
}

struct meet *
meet_new(struct proxy *p)
{
	struct meet *m = g_new0(struct meet, 1);

	m->proxy = p;
	write_self(m);
	again(m);
	return m;
}

void
meet_free(struct meet *m)
{
	if (m == NULL)
		return;
	sys_cancel(&m->look);
	sys_cancel(&m->write);
	g_free(m);
}

void
meet_leave(struct meet *m)
{
	sys_cancel(&m->look);
	sys_cancel(&m->write);
	plat_store_put(m->proxy->store, PLAT_TOPIC_NODES,
	    m->proxy->set->instance, NULL, CALL_MS, NULL, NULL);
}
