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

/*
 * Time for which the store holds a read of a reader open; other nodes report
 * new versions sooner.  With beacons, an elected reader need not notice soon
 * that it has lost the store.
 */
#define WAIT_MS 4000
#define LONG_WAIT_MS 20000
/* A read is held open for this part of the time to take keys away, inverse. */
#define REVOKE_DIV 5
/* A read of the next records times out this long after the end of its wait. */
#define READ_MARGIN_MS 1000
/* Time-out of a read of the newest record. */
#define NEWEST_MS 1000
/*
 * Number of nodes of a failure domain that read changes from the store by long
 * polls and report them to the others.
 */
#define N_READERS 2
/*
 * Each other node reads the store at this interval, or at NONREADER_GAP_US for
 * each node of its failure domain if that is longer: the calls to the store
 * grow with the failure domains, not with the nodes.
 */
#define NONREADER_US (20 * G_TIME_SPAN_SECOND)
#define NONREADER_GAP_US (3 * G_TIME_SPAN_SECOND)
/*
 * At the first start of a deployment a node gives the readers this long before
 * it reads the store itself.
 */
#define FIRST_READ_US (2500 * G_TIME_SPAN_MILLISECOND)
/* Interval at which a node without a configuration reads the store. */
#define NO_CONFIG_US (2 * G_TIME_SPAN_SECOND)
/* Number of nodes that a new version is reported to; they report it further. */
#define NOTIFY_MAX 8
/*
 * A node reads for this long in the place of a reader that cannot reach the
 * store, unless its own calls fail.
 */
#define TAKE_OVER_US (10 * G_TIME_SPAN_SECOND)
/* A reader asks that node again from this long before the end of its time. */
#define ASK_AHEAD_US (5 * G_TIME_SPAN_SECOND)
/* Nodes of its failure domain that it asks each second if it has none. */
#define ASK_MAX 3
/* Seconds without a taker after which it asks every other second. */
#define ASKS_QUICK 3
/* Delay between two reads, so that quick changes are read together. */
#define READ_GAP_US (600 * G_TIME_SPAN_MILLISECOND)
/* The same at the node that sends beacons: the next one must not be late. */
#define SENDER_GAP_US (100 * G_TIME_SPAN_MILLISECOND)
/* Backoff after a failed call: doubles up to the maximum. */
#define BACKOFF_US (100 * G_TIME_SPAN_MILLISECOND)
#define BACKOFF_MAX_US (1 * G_TIME_SPAN_SECOND)
/* The call that follows the backoff ends before a missing beacon asks for one.
 */
#define CHECK_AFTER_US (2 * G_TIME_SPAN_SECOND)
/* Shortest time from applying one version to the fetch of the next. */
#define FETCH_GAP_US (400 * G_TIME_SPAN_MILLISECOND)
/* A reader of the store waits this long before it fetches from a node. */
#define READER_WAIT_US (150 * G_TIME_SPAN_MILLISECOND)
/* Largest random delay: not all nodes fetch a version at the same time. */
#define SPREAD_US (20 * G_TIME_SPAN_MILLISECOND)
/* Time-out of a fetch from a node. */
#define FETCH_MS 1000
/* A node that has not answered for this long: another is asked as well. */
#define HEDGE_US (250 * G_TIME_SPAN_MILLISECOND)
/* For this long such a node is asked only if no other holds the version. */
#define AVOID_US (2 * G_TIME_SPAN_SECOND)
/* Most fetches in progress. */
#define FETCHES_MAX 4
/* zlib level of documents sent between nodes: the fastest is sufficient. */
#define PACK_LEVEL 1
/* Largest document, compressed or not, in bytes. */
#define DOC_MAX (16 * 1024 * 1024)

struct source {
	struct proxy *proxy;
	GBytes *packed; /* document of the version in force, for other nodes */
	gint64 next; /* offset to read from, -1: read the newest first */
	/* First offset that the log held when "next" had expired, -1: unknown.
	 */
	gint64 first;
	gboolean expired; /* "next" had expired */
	gint64 era; /* of the store, in which "next" is an offset; -1: none */
	guint timer, fetch_timer;
	gint64 applied_at; /* when the version in force was applied */
	guint failures;
	guint fetching; /* fetches in progress */
	GHashTable *asked; /* name -> struct asked, until it answers */
	gboolean closed;
	struct plat_call *call; /* to the store, in progress, or NULL */
	gint64 read_at; /* start of that */
	guint wait_ms; /* time for which the store may hold it open */
	gboolean refused; /* the newest document could not be parsed */
	gboolean paused; /* no call has been in progress for a while */
	gboolean nonreader; /* leaves the long poll to the N_READERS */
	gint64 take_over_until; /* reads in the place of a reader */
	char *asked_by; /* that reader, until a call has succeeded */
	char *covered_by; /* node that reads in the place of this one */
	gint64 covered_until;
	guint asks; /* rounds since a node took over or the store was lost */
	guint empty_fetches; /* fetches in a row without a newer version */
	gboolean store_down; /* the last call to the store failed */
	guint refs;
};

static void read_newest(struct source *);
static void read_next(struct source *);

static void
source_unref(struct source *s)
{
	if (--s->refs > 0)
		return;
	if (s->packed != NULL)
		g_bytes_unref(s->packed);
	g_free(s->asked_by);
	g_free(s->covered_by);
	g_hash_table_unref(s->asked);
	g_free(s);
}

/*
 * Compresses or decompresses, and frees the converter.  NULL: the data are
 * invalid or too large.
 */
static GBytes *
convert(GConverter *c, GBytes *in)
{
	GByteArray *out = g_byte_array_new();
	gsize n, consumed, produced;
	const char *p = g_bytes_get_data(in, &n);
	GConverterResult r = G_CONVERTER_CONVERTED;
	char buf[16 * 1024];

	while (r == G_CONVERTER_CONVERTED && out->len <= DOC_MAX) {
		r = g_converter_convert(c, p, n, buf, sizeof(buf),
		    G_CONVERTER_INPUT_AT_END, &consumed, &produced, NULL);
		if (r == G_CONVERTER_ERROR)
			break;
		p += consumed;
		n -= consumed;
		g_byte_array_append(out, (const guint8 *)buf, (guint)produced);
	}
	g_object_unref(c);
	if (r == G_CONVERTER_FINISHED)
		return g_byte_array_free_to_bytes(out);
	g_byte_array_unref(out);
	return NULL;
}

static GBytes *
compress_doc(GBytes *doc)
{
	return convert(G_CONVERTER(g_zlib_compressor_new(
			   G_ZLIB_COMPRESSOR_FORMAT_ZLIB, PACK_LEVEL)),
	    doc);
}

static GBytes *
decompress_doc(GBytes *packed)
{
	return convert(
	    G_CONVERTER(g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB)),
	    packed);
}

/*
 * Puts a version in force if it is newer than the one in force.  "packed": the
 * compressed document as another node sent it, or NULL.  FALSE: the version in
 * force did not change.
 */
static gboolean
apply(struct source *s, GBytes *doc, GBytes *packed, const char *from)
{
	struct proxy *p = s->proxy;
	GError *err = NULL;
	struct rtab *t;

	t = plat_config_read(doc, &err);
	if (t == NULL) {
		pt_event(&p->events, PT_LEVEL_ERROR, "config-refused",
		    "from=%s text=\"%s\"", from, err->message);
		g_error_free(err);
		s->refused = TRUE;
		return FALSE;
	}
	s->refused = FALSE;
	if (p->rtab != NULL && rtab_version(t) <= rtab_version(p->rtab)) {
		rtab_unref(t);
		return FALSE;
	}
	if (s->packed != NULL)
		g_bytes_unref(s->packed);
	s->packed = packed != NULL ? g_bytes_ref(packed) : compress_doc(doc);
	pt_event(&p->events, PT_LEVEL_INFO, "config",
	    "version=%" G_GINT64_FORMAT " routes=%u from=%s", rtab_version(t),
	    rtab_n_routes(t), from);
	proxy_set_config(p, t);
	beacons_applied(p->beacons, rtab_version(p->rtab));
	s->empty_fetches = 0;
	s->applied_at = pt_now(&p->clock);
	memb_send_position(p->memb, NOTIFY_MAX);
	if (packed == NULL)
		memb_send_position_abroad(p->memb);
	return TRUE;
}

static void
read_store(void *arg)
{
	struct source *s = arg;

	s->timer = 0;
	if (s->call != NULL)
		return;
	if (s->next < 0)
		read_newest(s);
	else
		read_next(s);
}

static gboolean
is_reader(const struct source *s)
{
	return memb_elected(s->proxy->memb, N_READERS) ||
	       beacons_sending(s->proxy->beacons) ||
	       pt_now(&s->proxy->clock) < s->take_over_until;
}

void
source_check(struct source *s)
{
	if (s->call != NULL && s->wait_ms == 0)
		return;
	if (s->call != NULL)
		plat_store_cancel(s->call);
	s->call = NULL;
	s->paused = TRUE;
	sys_cancel(&s->timer);
	read_store(s);
}

/* A node that has become a reader reads the store at once. */
static void
check_reader(struct source *s)
{
	if (s->call != NULL || !s->nonreader || !is_reader(s))
		return;
	s->nonreader = FALSE;
	sys_cancel(&s->timer);
	read_store(s);
}

/*
 * A reader without the store has others read in its place: the one that does
 * so already, or random ones.
 */
static void
ask_others(struct source *s)
{
	struct memb *memb = s->proxy->memb;
	gint64 left = s->covered_until - pt_now(&s->proxy->clock);

	if (!s->store_down || !memb_elected(memb, N_READERS) ||
	    left > ASK_AHEAD_US)
		return;
	if (left > 0) {
		memb_take_over(memb, s->covered_by, FALSE);
		s->asks = 0;
	} else if (++s->asks <= ASKS_QUICK || s->asks % 2 == 0)
		memb_ask_take_over(memb, ASK_MAX);
}

static void
tell_asker(struct source *s)
{
	if (s->asked_by != NULL)
		memb_take_over(s->proxy->memb, s->asked_by, TRUE);
	g_clear_pointer(&s->asked_by, g_free);
}

void
source_tick(struct source *s)
{
	check_reader(s);
	ask_others(s);
}

void
source_covered(struct source *s, const char *by)
{
	if (!s->store_down)
		return;
	g_free(s->covered_by);
	s->covered_by = g_strdup(by);
	s->covered_until = pt_now(&s->proxy->clock) + TAKE_OVER_US;
}

void
source_take_over(struct source *s, const char *from)
{
	g_free(s->asked_by);
	s->asked_by = g_strdup(from);
	if (!is_reader(s))
		pt_event(&s->proxy->events, PT_LEVEL_INFO, "take-over",
		    "time_ms=%" G_GINT64_FORMAT,
		    TAKE_OVER_US / G_TIME_SPAN_MILLISECOND);
	s->take_over_until = pt_now(&s->proxy->clock) + TAKE_OVER_US;
	/* The reader that asked must not wait for the end of a long poll. */
	if (s->call != NULL && s->wait_ms > WAIT_MS)
		source_check(s);
	check_reader(s);
}

static gint64
nonreader_delay(const struct source *s)
{
	struct memb *memb = s->proxy->memb;
	const char *domain = s->proxy->set->domain;
	const struct memb_member *m = NULL;
	guint n = 0;

	while ((m = memb_next_in_domain(memb, domain, m)) != NULL)
		n += memb_present(m);
	return proxy_jitter(s->proxy, MAX(NONREADER_US, n * NONREADER_GAP_US));
}

/* Delay of the next read of the store after a successful one. */
static gint64
read_delay(struct source *s, const struct plat_records *r)
{
	s->nonreader = !is_reader(s);
	if (s->nonreader && s->proxy->rtab == NULL)
		return proxy_jitter(s->proxy, NO_CONFIG_US);
	if (s->nonreader && r->whole)
		return nonreader_delay(s);
	if (s->next < 0 || r->records->len == 0)
		return s->nonreader && s->next >= 0 ? READ_GAP_US : 0;
	return beacons_sending(s->proxy->beacons) ? SENDER_GAP_US : READ_GAP_US;
}

static void
on_failure(struct source *s, const GError *err)
{
	gint64 t = MIN(BACKOFF_US << MIN(s->failures, 8), BACKOFF_MAX_US);

	s->failures++;
	stats_add(s->proxy->stats, STAT_STORE_ERRORS);
	if (!s->store_down)
		pt_event(&s->proxy->events, PT_LEVEL_WARNING, "store-lost",
		    "text=\"%s\"", err->message);
	if (!s->store_down) {
		s->store_down = TRUE;
		s->covered_until = 0;
		s->asks = 0;
		ask_others(s);
	}
	s->take_over_until = 0;
	g_clear_pointer(&s->asked_by, g_free);
	/* The readers find out when the store is back. */
	s->nonreader =
	    s->proxy->rtab != NULL && !memb_elected(s->proxy->memb, N_READERS);
	if (s->nonreader)
		t = nonreader_delay(s);
	else
		t = (gint64)((double)t *
			     (0.5 + g_rand_double(s->proxy->rand) / 2));
	beacons_failed(
	    s->proxy->beacons, pt_now(&s->proxy->clock) + t + CHECK_AFTER_US);
	s->timer = sys_after(t, read_store, s);
}

static void
on_success(struct source *s)
{
	if (s->store_down)
		pt_event(&s->proxy->events, PT_LEVEL_INFO, "store-back",
		    "failures=%u", s->failures);
	s->store_down = FALSE;
	s->failures = 0;
	tell_asker(s);
}

static void
apply_records(struct source *s, const struct plat_records *r)
{
	const struct plat_record *x;
	guint i;

	for (i = 0; i < r->records->len; i++) {
		x = &g_array_index(r->records, struct plat_record, i);
		if (strcmp(x->key, plat_config_key()) == 0 && x->value != NULL)
			apply(s, x->value, NULL, "store");
	}
}

/*
 * TRUE if the store was restored from a copy since the last read.  Offsets were
 * given out again: a change may stand before the one to read from.
 */
static gboolean
was_restored(struct source *s, const struct plat_records *r)
{
	gint64 former = s->era;

	s->era = r->era;
	if (former < 0 || r->era < 0 || r->era == former)
		return FALSE;
	pt_event(&s->proxy->events, PT_LEVEL_WARNING, "store-restored",
	    "era=%" G_GINT64_FORMAT " former=%" G_GINT64_FORMAT
	    " next=%" G_GINT64_FORMAT,
	    r->era, former, s->next);
	return s->next >= 0;
}

/*
 * Offset to read from after a page of newest records: right behind the
 * configuration that it held, since a newer one may lie between that and the
 * end of the log.  Records that have expired are passed over.
 */
static gint64
next_after_newest(struct source *s, const struct plat_records *r)
{
	const struct plat_record *x;
	gint64 next = -1;
	guint i;

	for (i = 0; i < r->records->len; i++) {
		x = &g_array_index(r->records, struct plat_record, i);
		if (strcmp(x->key, plat_config_key()) == 0 && x->offset >= 0)
			next = x->offset + 1;
	}
	if (next < 0 || (s->expired && s->first < 0))
		return r->next;
	return s->expired ? MAX(next, s->first) : next;
}

static void
set_next(struct source *s, const struct plat_records *r)
{
	if (r->expired) {
		s->next = -1;
		s->first = r->first;
		s->expired = TRUE;
		return;
	}
	s->next = s->next < 0 ? next_after_newest(s, r) : r->next;
	s->expired = FALSE;
}

/*
 * Reports that the configuration was current.  A read that the store held open
 * until the end of its wait found no newer version at that time.
 */
static void
report_read(struct source *s, const struct plat_records *r)
{
	gint64 took = pt_now(&s->proxy->clock) - s->read_at;
	gint64 wait = s->wait_ms * G_TIME_SPAN_MILLISECOND;

	rtab_fresh_read(&s->proxy->fresh, s->read_at);
	if (took >= wait && (wait == 0 || r->records->len == 0))
		beacons_read(s->proxy->beacons, s->read_at + wait, took - wait);
	else
		beacons_read(s->proxy->beacons, s->read_at, -1);
}

/*
 * The store always keeps the newest record: the next call reads that one if the
 * records at the next offset are gone.
 */
static void
on_records(void *ctx, const struct plat_records *r, const GError *err)
{
	struct source *s = ctx;
	gboolean current;
	gint64 delay;

	s->call = NULL;
	if (err != NULL) {
		/* The lost response may have reported expired records. */
		s->next = -1;
		s->expired = FALSE;
		on_failure(s, err);
		return;
	}
	on_success(s);
	apply_records(s, r);
	if (was_restored(s, r)) {
		s->next = -1;
		s->expired = FALSE;
		read_newest(s);
		return;
	}
	current = r->whole && !s->refused && s->proxy->rtab != NULL;
	if (current)
		report_read(s, r);
	set_next(s, r);
	delay = read_delay(s, r);
	if (!current)
		beacons_failed(s->proxy->beacons,
		    pt_now(&s->proxy->clock) + nonreader_delay(s));
	s->paused = delay > 0;
	s->timer = sys_after(delay, read_store, s);
}

static void
read_newest(struct source *s)
{
	s->read_at = pt_now(&s->proxy->clock);
	s->wait_ms = 0;
	s->call = plat_store_read_newest(s->proxy->store, plat_topic_config(),
	    NULL, NEWEST_MS, on_records, s);
}

/*
 * A read tells that the configuration was current when it began: where keys
 * have to be taken away within a bound, one node of the failure domain has its
 * reads held open for a part of it only.
 */
static guint
wait_ms(const struct source *s)
{
	gint64 revoke = s->proxy->set->revoke;

	if (beacons_sending(s->proxy->beacons))
		return beacons_wait_ms(s->proxy->beacons);
	if (revoke > 0 && memb_elected(s->proxy->memb, 1))
		return (guint)MIN(
		    WAIT_MS, revoke / REVOKE_DIV / G_TIME_SPAN_MILLISECOND);
	if (s->proxy->beacons == NULL ||
	    !memb_elected(s->proxy->memb, N_READERS))
		return WAIT_MS;
	return LONG_WAIT_MS;
}

static void
read_next(struct source *s)
{
	guint wait = is_reader(s) ? wait_ms(s) : 0;

	/*
	 * A reader that asked is to hear soon whether this node succeeds. After
	 * a pause, the store may have been restored: its answer tells, but a
	 * long poll would hold it back.
	 */
	if (s->asked_by != NULL || s->paused)
		wait = 0;
	s->paused = FALSE;
	s->read_at = pt_now(&s->proxy->clock);
	s->wait_ms = wait;
	s->call = plat_store_read(s->proxy->store, plat_topic_config(), s->next,
	    wait, wait + READ_MARGIN_MS, on_records, s);
}

/* ---- fetches from other nodes ---- */

/* A node that was asked and has not answered. */
struct asked {
	gint64 at;
	gboolean waiting; /* the call is in progress */
};

/* A fetch in progress; it holds a reference to its source. */
struct fetch {
	struct source *source;
	char *node;
	gint64 have; /* version in force when it began */
};

static gint64
in_force(const struct source *s)
{
	return s->proxy->rtab != NULL ? rtab_version(s->proxy->rtab) : 0;
}

static void
apply_fetched(struct source *s, const struct pt_table_res *t)
{
	GBytes *packed, *doc;

	if (t->vers <= 0)
		return;
	packed = g_bytes_new(t->doc.doc_val, t->doc.doc_len);
	doc = decompress_doc(packed);
	if (doc != NULL) {
		apply(s, doc, packed, "node");
		g_bytes_unref(doc);
	}
	g_bytes_unref(packed);
}

static void
set_asked(struct source *s, const char *node)
{
	struct asked *a = g_new0(struct asked, 1);

	a->at = pt_now(&s->proxy->clock);
	a->waiting = TRUE;
	g_hash_table_replace(s->asked, g_strdup(node), a);
}

static void
set_ended(struct source *s, const char *node, gboolean answered)
{
	struct asked *a = g_hash_table_lookup(s->asked, node);

	if (answered)
		g_hash_table_remove(s->asked, node);
	else if (a != NULL)
		a->waiting = FALSE;
}

static void
fetch_ended(struct source *s, const struct fetch *f, const GError *err)
{
	set_ended(s, f->node, err == NULL);
	if (in_force(s) > f->have) {
		if (s->fetching == 0)
			sys_cancel(&s->fetch_timer);
		return;
	}
	/*
	 * The store may hold a version that no node has.  After a node that
	 * does not respond, a second one would make the version too late.
	 */
	if ((++s->empty_fetches > 1 || err != NULL) && s->call == NULL) {
		sys_cancel(&s->timer);
		read_store(s);
	}
}

static void
on_fetched(void *arg, void *res, const GError *err)
{
	struct fetch *f = arg;
	struct source *s = f->source;

	s->fetching--;
	if (!s->closed) {
		if (err != NULL)
			pt_event(&s->proxy->events, PT_LEVEL_WARNING,
			    "config-fetch", "node=%s text=\"%s\"", f->node,
			    err->message);
		else
			apply_fetched(s, res);
		fetch_ended(s, f, err);
	}
	g_free(f->node);
	g_free(f);
	source_unref(s);
}

static gboolean
is_old(gpointer key, gpointer value, gpointer now)
{
	const struct asked *a = value;

	return !a->waiting && *(const gint64 *)now - a->at > AVOID_US;
}

/* "again": also a node whose last call failed a short time ago. */
static gboolean
may_ask(const struct source *s, const struct memb_member *m, gboolean again)
{
	const struct asked *a = g_hash_table_lookup(s->asked, m->instance);

	return memb_present(m) && m != memb_self(s->proxy->memb) &&
	       (a == NULL || (again && !a->waiting));
}

/*
 * Chooses at random among the nodes of this failure domain that hold its newest
 * version.  Older versions are skipped, because the next fetch is at least
 * FETCH_GAP_US away.
 */
static const struct memb_member *
pick_in_domain(struct source *s, gint64 have, gboolean again)
{
	struct memb *memb = s->proxy->memb;
	const struct memb_member *m, *chosen = NULL;
	gint64 newest = have;
	guint n = 0;

	m = memb_next_in_domain(memb, s->proxy->set->domain, NULL);
	for (; m != NULL;
	     m = memb_next_in_domain(memb, s->proxy->set->domain, m)) {
		if (m->position <= have || m->position < newest ||
		    !may_ask(s, m, again))
			continue;
		if (m->position > newest)
			n = 0;
		newest = m->position;
		if (g_rand_int_range(s->proxy->rand, 0, (gint32)++n) == 0)
			chosen = m;
	}
	return chosen;
}

/*
 * A node of this failure domain, else the one that reported the newest version
 * of all domains, else any that holds a newer one; NULL: none.
 */
static const struct memb_member *
pick_holder(struct source *s, gint64 have, gboolean again)
{
	struct memb *memb = s->proxy->memb;
	const struct memb_member *m = pick_in_domain(s, have, again);
	const char *reporter = NULL;

	if (m != NULL || memb_newest_position(memb, &reporter) <= have)
		return m;
	m = reporter != NULL ? memb_find(memb, reporter) : NULL;
	if (m != NULL && may_ask(s, m, again))
		return m;
	for (m = memb_next(memb, NULL); m != NULL; m = memb_next(memb, m))
		if (m->position > have && may_ask(s, m, again))
			return m;
	return NULL;
}

/* Asks one node; another one if it has not answered after HEDGE_US. */
static void
fetch(void *arg)
{
	struct source *s = arg;
	struct proxy *p = s->proxy;
	struct pt_table_args a = { .proto = PT_PROTO, .have = in_force(s) };
	gint64 now = pt_now(&p->clock);
	const struct memb_member *m;
	struct fetch *f;

	s->fetch_timer = 0;
	g_hash_table_foreach_remove(s->asked, is_old, &now);
	m = pick_holder(s, a.have, FALSE);
	if (m == NULL)
		m = pick_holder(s, a.have, TRUE);
	if (m == NULL)
		return;
	f = g_new0(struct fetch, 1);
	f->source = s;
	f->node = g_strdup(m->instance);
	f->have = a.have;
	set_asked(s, m->instance);
	s->refs++;
	if (++s->fetching < FETCHES_MAX)
		s->fetch_timer = sys_after(HEDGE_US, fetch, s);
	p->rpc.call(p->rpc.ctx, m->host, m->rpc_port, PT_TABLE, &a, FETCH_MS,
	    on_fetched, f);
}

/*
 * In a series of changes, nodes must not fetch and parse every document: the
 * delay lets one fetch cover the versions reported meanwhile.
 */
gint64
source_fetch_delay(gint64 since, gboolean reads, double spread)
{
	gint64 t = (gint64)(spread * SPREAD_US) + (reads ? READER_WAIT_US : 0);

	return since < 0 ? t : MAX(t, FETCH_GAP_US - since);
}

void
source_notify(struct source *s)
{
	gint64 since = -1;

	if (s == NULL || s->fetching == FETCHES_MAX || s->fetch_timer != 0)
		return;
	if (s->proxy->rtab != NULL)
		since = pt_now(&s->proxy->clock) - s->applied_at;
	s->fetch_timer =
	    sys_after(source_fetch_delay(since, since >= 0 && is_reader(s),
			  g_rand_double(s->proxy->rand)),
		fetch, s);
}

void
source_table(
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
	s->asked =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->next = s->era = -1;
	s->nonreader = p->set->first_start && p->set->n_seeds > 0;
	if (s->nonreader)
		s->timer =
		    sys_after(proxy_jitter(p, FIRST_READ_US), read_store, s);
	else
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
