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

/* Time-out of a call to the store. */
#define CALL_MS 1500
/*
 * Number of nodes of a failure domain that keep an entry in the store.  The
 * others are found through these.
 */
#define N_WRITERS 3
/* Number of nodes of a failure domain that read the entries regularly. */
#define N_READERS 2
/* Interval at which each of these reads the entries. */
#define READER_US (20 * G_TIME_SPAN_SECOND)
/*
 * Interval at which a node that knows no other reads the entries, and at which
 * each node checks whether it has to read or write.
 */
#define CHECK_US (1 * G_TIME_SPAN_SECOND)
/* Time for the seeds of the settings to respond before the store is read. */
#define SEEDS_US (500 * G_TIME_SPAN_MILLISECOND)
/*
 * Checks in a row at which a node has to belong to the writers: while a
 * deployment starts, every node knows only a part of the others.
 */
#define WRITER_CHECKS 2
/* Most pages in one reading: they hold more addresses than a join needs. */
#define PAGES_MAX 4

/*
 * Interval at which a writer writes its entry until a write is acknowledged.
 * The next write does not wait for an earlier one: a store that did not
 * respond may recover long before the call times out, and entries have to be
 * in the store within 2 s of its recovery.
 */
#define WRITE_US (1 * G_TIME_SPAN_SECOND)

struct discovery {
	struct proxy *proxy;
	guint check_timer, write_timer;
	guint n_pages; /* of the current reading */
	gboolean reading;
	gint64 read_at; /* start of the last reading, 0: none */
	guint writer_checks; /* as which it counted as a writer, in a row */
	gboolean wrote; /* this process has written its entry */
	gint64 era; /* of the store when it acknowledged the entry */
};

static void read_page(struct discovery *, const char *after);
static void write_self(void *);

static void
read_entries(struct discovery *d)
{
	d->reading = TRUE;
	d->read_at = pt_now(&d->proxy->clock);
	d->n_pages = 0;
	read_page(d, NULL);
}

/*
 * An entry that the store acknowledged before it was restored from a copy may
 * be gone.
 */
static void
write_once(struct discovery *d)
{
	if (d->write_timer != 0 ||
	    (d->wrote && plat_store_era(d->proxy->store) == d->era))
		return;
	d->wrote = TRUE;
	write_self(d);
}

/*
 * A node that knows no other reads the entries and, if they lead to none,
 * writes its own.  In a mesh a few nodes of each failure domain do both.
 */
static void
check(void *arg)
{
	struct discovery *d = arg;
	struct memb *memb = d->proxy->memb;
	gint64 age = pt_now(&d->proxy->clock) - d->read_at;
	gboolean alone = memb_count(memb) <= 1;

	d->check_timer = sys_after(proxy_jitter(d->proxy, CHECK_US), check, d);
	if (memb_elected(memb, N_WRITERS))
		d->writer_checks++;
	else
		d->writer_checks = 0;
	if (d->writer_checks >= WRITER_CHECKS || d->wrote)
		write_once(d);
	if (!d->reading &&
	    (alone || (memb_elected(memb, N_READERS) && age >= READER_US)))
		read_entries(d);
}

static void
add_seed(struct discovery *d, const struct plat_record *x)
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
	    s.rpc_port > 0 && strcmp(s.instance, d->proxy->set->instance) != 0)
		memb_add_seed(d->proxy->memb, s.host, (guint)s.gossip_port,
		    (guint)s.rpc_port);
	xdr_free((xdrproc_t)xdr_pt_seed, (char *)&s);
}

static void
on_written(void *ctx, const GError *err)
{
	struct discovery *d = ctx;

	if (err == NULL) {
		d->era = plat_store_era(d->proxy->store);
		sys_cancel(&d->write_timer);
		return;
	}
	stats_add(d->proxy->stats, STAT_STORE_ERRORS);
	pt_event(&d->proxy->events, PT_LEVEL_WARNING, "meet-write",
	    "text=\"%s\"", err->message);
}

/* Repeated writes are harmless: the store uses the newest value of a key. */
static void
write_self(void *arg)
{
	struct discovery *d = arg;
	const struct plat_settings *set = d->proxy->set;
	struct pt_seed s = { .proto = PT_PROTO,
		.instance = set->instance,
		.host = set->peer.host,
		.rpc_port = (int)set->first_port,
		.gossip_port = (int)set->first_port };
	GBytes *b;

	d->write_timer =
	    sys_after(proxy_jitter(d->proxy, WRITE_US), write_self, d);
	b = pt_encode((xdrproc_t)xdr_pt_seed, &s);
	plat_store_put(d->proxy->store, plat_topic_nodes(), set->instance, b,
	    CALL_MS, on_written, d);
	g_bytes_unref(b);
}

static void
on_page(void *ctx, const struct plat_records *r, const GError *err)
{
	struct discovery *d = ctx;
	guint i;

	if (err != NULL) {
		stats_add(d->proxy->stats, STAT_STORE_ERRORS);
		pt_event(&d->proxy->events, PT_LEVEL_WARNING, "meet-read",
		    "text=\"%s\"", err->message);
	}
	for (i = 0; r != NULL && i < r->records->len; i++)
		add_seed(d, &g_array_index(r->records, struct plat_record, i));
	sys_ticker_kick(d->proxy->memb_ticker);
	if (r != NULL && r->after != NULL && ++d->n_pages < PAGES_MAX) {
		read_page(d, r->after);
		return;
	}
	d->reading = FALSE;
	if (r != NULL && r->records->len == 0 && d->n_pages == 0)
		write_once(d);
}

static void
read_page(struct discovery *d, const char *after)
{
	plat_store_read_newest(
	    d->proxy->store, plat_topic_nodes(), after, CALL_MS, on_page, d);
}

struct discovery *
discovery_new(struct proxy *p)
{
	struct discovery *d = g_new0(struct discovery, 1);

	d->proxy = p;
	if (p->set->n_seeds > 0)
		d->check_timer =
		    sys_after(proxy_jitter(d->proxy, SEEDS_US), check, d);
	else
		check(d);
	return d;
}

void
discovery_free(struct discovery *d)
{
	if (d == NULL)
		return;
	sys_cancel(&d->check_timer);
	sys_cancel(&d->write_timer);
	g_free(d);
}

void
discovery_leave(struct discovery *d)
{
	sys_cancel(&d->check_timer);
	sys_cancel(&d->write_timer);
	if (!d->wrote)
		return;
	plat_store_put(d->proxy->store, plat_topic_nodes(),
	    d->proxy->set->instance, NULL, CALL_MS, NULL, NULL);
}
