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

/* Time that the store may hold a read open; other nodes tell of news sooner. */
#define WAIT_MS 8000
/* Time-outs beyond the wait, and of other calls. */
#define SLACK_MS 1000
#define CALL_MS 1000
/*
 * Nodes of a failure domain that wait at the store for changes; the others hear
 * of them from these, and look for themselves only now and then.
 */
#define READERS 2
#define FOLLOW_US (20 * G_TIME_SPAN_SECOND)
/* Nodes that are told at once of a new version; they tell others in turn. */
#define TELL 8
/* Changes in quick succession are read together. */
#define GAP_US (600 * G_TIME_SPAN_MILLISECOND)
/* Backoff after a failed call: doubles up to the longest. */
#define BACKOFF_US (100 * G_TIME_SPAN_MILLISECOND)
#define BACKOFF_MAX_US (1 * G_TIME_SPAN_SECOND)
/* Versions that nodes tell of sooner than this after the last are skipped. */
#define TOLD_GAP_US (400 * G_TIME_SPAN_MILLISECOND)
/* A reader expects a version from the store first; then it asks a node, too. */
#define HEARD_US (150 * G_TIME_SPAN_MILLISECOND)
/* Nodes that hear of a version at the same time ask at different ones. */
#define SPREAD_US (20 * G_TIME_SPAN_MILLISECOND)
#define FETCH_MS 1000
/* Documents are sent between nodes compressed; the fastest level will do. */
#define PACK_LEVEL 1
#define DOC_MAX (16 * 1024 * 1024)

struct source {
	struct proxy *proxy;
	GBytes *packed; /* document of the version in force, for other nodes */
	gint64 next; /* offset to read from, -1: read the newest first */
	guint timer, fetch_timer;
	gint64 taken; /* when the version in force came */
	guint failures;
	gboolean fetching, closed;
	gboolean reading; /* a call to the store is under way */
	gboolean following; /* the next call to the store is far off */
	guint refused; /* fetches in a row that brought nothing */
	gboolean lost; /* the last call to the store failed */
	guint refs;
};

static void read_newest(struct source *);
static void read_on(struct source *);

static void
source_unref(struct source *s)
{
	if (--s->refs > 0)
		return;
	if (s->packed != NULL)
		g_bytes_unref(s->packed);
	g_free(s);
}

/* Both directions of the compression; NULL: no such data, or too much. */
static GBytes *
convert(GConverter *c, GBytes *in)
{
	GByteArray *out = g_byte_array_new();
	gsize n, used, made;
	const char *p = g_bytes_get_data(in, &n);
	GConverterResult r = G_CONVERTER_CONVERTED;
	char buf[16 * 1024];

	while (r == G_CONVERTER_CONVERTED && out->len <= DOC_MAX) {
		r = g_converter_convert(c, p, n, buf, sizeof(buf),
		    G_CONVERTER_INPUT_AT_END, &used, &made, NULL);
		if (r == G_CONVERTER_ERROR)
			break;
		p += used;
		n -= used;
		g_byte_array_append(out, (const guint8 *)buf, (guint)made);
	}
	g_object_unref(c);
	if (r == G_CONVERTER_FINISHED)
		return g_byte_array_free_to_bytes(out);
	g_byte_array_unref(out);
	return NULL;
}

static GBytes *
pack(GBytes *doc)
{
	return convert(G_CONVERTER(g_zlib_compressor_new(
			   G_ZLIB_COMPRESSOR_FORMAT_ZLIB, PACK_LEVEL)),
	    doc);
}

static GBytes *
unpack(GBytes *packed)
{
	return convert(
	    G_CONVERTER(g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB)),
	    packed);
}

/*
 * Puts a version in force unless it is as old as the one held.  "packed": as
 * another node sent it, or NULL.
 */
static gboolean
take(struct source *s, GBytes *doc, GBytes *packed, const char *from)
{
	struct proxy *p = s->proxy;
	GError *err = NULL;
	struct rtab *t;

	t = plat_config_read(doc, &err);
	if (t == NULL) {
		pt_event(&p->events, PT_LEVEL_ERROR, "config-refused",
		    "from=%s text=\"%s\"", from, err->message);
		g_error_free(err);
		return FALSE;
	}
	if (p->rtab != NULL && rtab_version(t) <= rtab_version(p->rtab)) {
		rtab_unref(t);
		return FALSE;
	}
	if (s->packed != NULL)
		g_bytes_unref(s->packed);
	s->packed = packed != NULL ? g_bytes_ref(packed) : pack(doc);
	pt_event(&p->events, PT_LEVEL_INFO, "config",
	    "version=%" G_GINT64_FORMAT " routes=%u from=%s", rtab_version(t),
	    rtab_n_routes(t), from);
	proxy_config(p, t);
	s->refused = 0;
	s->taken = pt_now(&p->clock);
	memb_send_position(p->memb, TELL);
	return TRUE;
}

static void
retry(void *arg)
{
	struct source *s = arg;

	s->timer = 0;
	if (s->reading)
		return;
	if (s->next < 0)
		read_newest(s);
	else
		read_on(s);
}

static gboolean
reader(const struct source *s)
{
	return s->proxy->rtab == NULL || memb_elected(s->proxy->memb, READERS);
}

void
source_tick(struct source *s)
{
	/* A node that has become a reader looks at once. */
	if (!s->reading && s->following && reader(s)) {
		s->following = FALSE;
		sys_cancel(&s->timer);
		retry(s);
	}
}

/* When the next call to the store is due after one that worked. */
static gint64
next_call(struct source *s, const struct plat_records *r)
{
	s->following = !reader(s);
	if (s->following)
		return (gint64)((double)FOLLOW_US *
				(0.75 + g_rand_double(s->proxy->rand) / 2));
	return s->next >= 0 && r->records->len > 0 ? GAP_US : 0;
}

static void
failed(struct source *s, const GError *err)
{
	gint64 t = MIN(BACKOFF_US << MIN(s->failures, 8), BACKOFF_MAX_US);

	s->failures++;
	stats_add(s->proxy->stats, STAT_STORE_ERRORS);
	if (!s->lost)
		pt_event(&s->proxy->events, PT_LEVEL_WARNING, "store-lost",
		    "text=\"%s\"", err->message);
	s->lost = TRUE;
	s->timer = sys_after(
	    (gint64)((double)t * (0.5 + g_rand_double(s->proxy->rand) / 2)),
	    retry, s);
}

static void
worked(struct source *s)
{
	if (s->lost)
		pt_event(&s->proxy->events, PT_LEVEL_INFO, "store-back",
		    "failures=%u", s->failures);
	s->lost = FALSE;
	s->failures = 0;
}

static void
take_records(struct source *s, const struct plat_records *r)
{
	const struct plat_record *x;
	guint i;

	for (i = 0; i < r->records->len; i++) {
		x = &g_array_index(r->records, struct plat_record, i);
		if (strcmp(x->key, plat_config_key()) == 0 && x->value != NULL)
			take(s, x->value, NULL, "store");
	}
}

/* The newest record is kept for good, whatever happened to the others. */
static void
got(void *ctx, const struct plat_records *r, const GError *err)
{
	struct source *s = ctx;

	s->reading = FALSE;
	if (err != NULL) {
		/* The answer lost may have been the one that told of a gap. */
		s->next = -1;
		failed(s, err);
		return;
	}
	worked(s);
	take_records(s, r);
	s->next = r->expired ? -1 : r->next;
	s->timer = sys_after(next_call(s, r), retry, s);
}

static void
read_newest(struct source *s)
{
	s->reading = TRUE;
	plat_store_newest(
	    s->proxy->store, PLAT_TOPIC_CONFIG, NULL, CALL_MS, got, s);
}

static void
read_on(struct source *s)
{
	guint wait = reader(s) ? WAIT_MS : 0;

	s->reading = TRUE;
	plat_store_read(s->proxy->store, PLAT_TOPIC_CONFIG, s->next, wait,
	    wait + SLACK_MS, got, s);
}

/* ---- from other nodes ---- */

static void
fetched(void *arg, void *res, const GError *err)
{
	struct source *s = arg;
	const struct pt_table_res *t = res;
	gboolean news = FALSE;
	GBytes *packed, *doc;

	s->fetching = FALSE;
	if (s->closed) {
		source_unref(s);
		return;
	}
	if (err != NULL)
		pt_event(&s->proxy->events, PT_LEVEL_WARNING, "config-fetch",
		    "text=\"%s\"", err->message);
	else if (t->vers > 0) {
		packed = g_bytes_new(t->doc.doc_val, t->doc.doc_len);
		doc = unpack(packed);
		news = doc != NULL && take(s, doc, packed, "node");
		g_bytes_unref(packed);
		if (doc != NULL)
			g_bytes_unref(doc);
	}
	/* The store may know what no node can tell. */
	if (!news && ++s->refused > 1 && !s->reading) {
		sys_cancel(&s->timer);
		retry(s);
	}
	source_unref(s);
}

/*
 * A node that holds a newer version, of the own failure domain if any does; one
 * of those that hold the newest, as the next fetch may be a while off.
 */
static const struct memb_member *
holder(struct source *s, gint64 have)
{
	struct memb *memb = s->proxy->memb;
	const struct memb_member *m, *one = NULL;
	gint64 newest = have;
	const char *who;
	guint n = 0;

	m = memb_next_in_domain(memb, s->proxy->set->domain, NULL);
	for (; m != NULL;
	     m = memb_next_in_domain(memb, s->proxy->set->domain, m)) {
		if (m->position <= have || m->position < newest ||
		    !memb_present(m))
			continue;
		if (m->position > newest)
			n = 0;
		newest = m->position;
		if (g_rand_int_range(s->proxy->rand, 0, (gint32)++n) == 0)
			one = m;
	}
	if (one != NULL || memb_newest_position(memb, &who) <= have ||
	    who == NULL)
		return one;
	return memb_find(memb, who);
}

static void
fetch(void *arg)
{
	struct source *s = arg;
	struct proxy *p = s->proxy;
	struct pt_table_args a = { .proto = PT_PROTO };
	const struct memb_member *m;

	s->fetch_timer = 0;
	a.have = p->rtab != NULL ? rtab_version(p->rtab) : 0;
	m = holder(s, a.have);
	if (m == NULL)
		return;
	s->fetching = TRUE;
	s->refs++;
	p->rpc.call(p->rpc.ctx, m->host, m->rpc_port, PT_TABLE, &a, FETCH_MS,
	    fetched, s);
}

/*
 * A series of changes must not keep every node reading documents: what comes
 * in quick succession is fetched once, in the newest version told by then.
 */
gint64
source_wait(gint64 since, gboolean reads, double spread)
{
	gint64 t = (gint64)(spread * SPREAD_US) + (reads ? HEARD_US : 0);

	return since < 0 ? t : MAX(t, TOLD_GAP_US - since);
}

void
source_heard(struct source *s)
{
	gint64 since = -1;

	if (s == NULL || s->fetching || s->fetch_timer != 0)
		return;
	if (s->proxy->rtab != NULL)
		since = pt_now(&s->proxy->clock) - s->taken;
	s->fetch_timer = sys_after(source_wait(since, since >= 0 && reader(s),
				       g_rand_double(s->proxy->rand)),
	    fetch, s);
}

void
source_serve(
    struct source *s, const struct pt_table_args *a, struct pt_table_res *res)
{
	gsize n;

	res->proto = PT_PROTO;
	if (s->packed == NULL || rtab_version(s->proxy->rtab) <= a->have ||
	    g_bytes_get_size(s->packed) > PT_TABLE_MAX)
		return;
	res->vers = rtab_version(s->proxy->rtab);
	res->doc.doc_val = (char *)(guintptr)g_bytes_get_data(s->packed, &n);
	res->doc.doc_len = (u_int)n;
}

struct source *
source_new(struct proxy *p)
{
	struct source *s = g_new0(struct source, 1);

	s->proxy = p;
	s->refs = 1;
	s->next = -1;
	read_newest(s);
	return s;
}

void
source_free(struct source *s)
{
	if (s == NULL)
		return;
	s->closed = TRUE;
	sys_cancel(&s->timer);
	sys_cancel(&s->fetch_timer);
	source_unref(s);
}
