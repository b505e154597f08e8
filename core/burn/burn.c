/*
 * The increments of all nodes' counters are summed by service and rank, so that
 * the calls of a window are the difference of two sums.
 */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "port.h"
#include "burn.h"

const gint64 burn_window_s[BURN_WINDOWS] = { 5 * 60, 60 * 60, 6 * 60 * 60,
	3 * 24 * 60 * 60 };
const char *const burn_window_name[BURN_WINDOWS] = { "5m", "1h", "6h", "3d" };

/* Counts of one series; those before GOOD are indexes of result_names[]. */
enum count {
	RAN,
	FAILED,
	REFUSED,
	UNKNOWN,
	GOOD, /* part of RAN */
	COUNTS
};

/* Value of the label "result"; GOOD is a metric of its own. */
static const char *const result_names[GOOD] = { "ran", "failed", "not_run",
	"unknown" };

struct counts {
	guint64 v[COUNTS];
};

struct point {
	gint64 at; /* time of the round, in s */
	struct counts sum; /* since the first round */
};

struct series {
	char *service, *rank;
	struct counts sum;
	GArray *points; /* struct point, oldest first */
};

/* Latest counter values of one node for one series. */
struct latest {
	struct counts v;
	guint sample; /* number of the last sample that held the series */
};

struct node {
	GHashTable *latest; /* series -> struct latest */
	gboolean has_baseline; /* a sample was added */
};

struct burn {
	struct burn_opts o;
	GHashTable *series; /* "service\nrank" -> struct series */
	GHashTable *nodes; /* name -> struct node */
	guint samples; /* number of samples so far */
	struct burn_stats stats;
};

static void
series_free(void *p)
{
	struct series *s = p;

	g_free(s->service);
	g_free(s->rank);
	g_array_unref(s->points);
	g_free(s);
}

static void
node_free(void *p)
{
	struct node *n = p;

	g_hash_table_unref(n->latest);
	g_free(n);
}

struct burn *
burn_new(const struct burn_opts *o)
{
	struct burn *b = g_new0(struct burn, 1);

	b->o = *o;
	b->series =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, series_free);
	b->nodes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, node_free);
	return b;
}

void
burn_free(struct burn *b)
{
	if (b == NULL)
		return;
	g_hash_table_unref(b->nodes);
	g_hash_table_unref(b->series);
	g_free(b);
}

static struct node *
node_get(struct burn *b, const char *name)
{
	struct node *n = g_hash_table_lookup(b->nodes, name);

	if (n != NULL)
		return n;
	n = g_new0(struct node, 1);
	n->latest =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	g_hash_table_insert(b->nodes, g_strdup(name), n);
	b->stats.nodes++;
	return n;
}

static struct series *
series_get(struct burn *b, const char *service, const char *rank, GError **err)
{
	struct series *s;
	char *key;

	key = g_strconcat(service, "\n", rank, NULL);
	s = g_hash_table_lookup(b->series, key);
	if (s == NULL && g_hash_table_size(b->series) >= BURN_SERIES_MAX) {
		g_set_error(err, PT_ERROR, PT_ERROR_TOO_LARGE,
		    "more than %d pairs of service and rank; report on fewer "
		    "nodes",
		    BURN_SERIES_MAX);
	} else if (s == NULL) {
		s = g_new0(struct series, 1);
		s->service = g_strdup(service);
		s->rank = g_strdup(rank);
		s->points = g_array_new(FALSE, FALSE, sizeof(struct point));
		g_hash_table_insert(b->series, key, s);
		return s;
	}
	g_free(key);
	return s;
}

/* Index of the count that a line holds (enum count); -1 if none. */
static int
count_index(const struct expo *x)
{
	const char *r;
	int i;

	if (strcmp(x->name, EXPO_GOOD) == 0)
		return GOOD;
	if (strcmp(x->name, EXPO_REQUESTS) != 0)
		return -1;
	r = expo_label(x, "result");
	for (i = 0; r != NULL && i < GOOD; i++)
		if (strcmp(r, result_names[i]) == 0)
			return i;
	return -1;
}

/* A counter line of a sample. */
struct counter_line {
	int i; /* index of the count (enum count) */
	struct series *s;
	struct latest *l;
};

/* Parses up to the next counter line; FALSE at the end and on error. */
static gboolean
next_counter(struct burn *b, struct node *n, struct expo *x,
    struct counter_line *out, GError **err)
{
	const char *service, *rank;

	while (expo_next(x)) {
		out->i = count_index(x);
		service = expo_label(x, "service");
		rank = expo_label(x, "rank");
		if (out->i < 0 || service == NULL || rank == NULL)
			continue;
		out->s = series_get(b, service, rank, err);
		if (out->s == NULL)
			return FALSE;
		out->l = g_hash_table_lookup(n->latest, out->s);
		if (out->l == NULL) {
			out->l = g_new0(struct latest, 1);
			g_hash_table_insert(n->latest, out->s, out->l);
		}
		return TRUE;
	}
	return FALSE;
}

/*
 * Resets the latest values of a node that restarted: one of its counters
 * decreased or disappeared.  All of its counters began at zero then, also those
 * that have since grown beyond their latest values.
 */
static void
restart_check(struct burn *b, struct node *n, gboolean decreased)
{
	GHashTableIter it;
	struct latest *l;
	gpointer p;

	g_hash_table_iter_init(&it, n->latest);
	while (!decreased && g_hash_table_iter_next(&it, NULL, &p)) {
		l = p;
		decreased = l->sample != b->samples;
	}
	if (!decreased)
		return;
	b->stats.restarts++;
	g_hash_table_iter_init(&it, n->latest);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		l = p;
		if (l->sample != b->samples)
			g_hash_table_iter_remove(&it);
		else
			memset(&l->v, 0, sizeof(l->v));
	}
}

/* Parses the whole text once to validate it and to detect a restart. */
static gboolean
sample_check(struct burn *b, struct node *n, const char *name, const char *text,
    GError **err)
{
	gboolean decreased = FALSE, ok;
	GError *series_err = NULL;
	struct expo x;
	struct counter_line cur;

	b->samples++;
	expo_init(&x, text);
	while (next_counter(b, n, &x, &cur, &series_err)) {
		decreased = decreased || x.value < cur.l->v.v[cur.i];
		cur.l->sample = b->samples;
	}
	ok = series_err == NULL && x.bad_line == 0;
	if (series_err != NULL)
		g_propagate_error(err, series_err);
	else if (!ok)
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "counters of node %s: line %u is not in text exposition "
		    "format; check that the address is a node's admin port",
		    name, x.bad_line);
	expo_clear(&x);
	if (ok)
		restart_check(b, n, decreased);
	return ok;
}

gboolean
burn_sample(struct burn *b, const char *name, const char *text, GError **err)
{
	struct node *n = node_get(b, name);
	struct expo x;
	struct counter_line cur;

	if (!sample_check(b, n, name, text, err))
		return FALSE;
	expo_init(&x, text);
	while (next_counter(b, n, &x, &cur, NULL)) {
		if (n->has_baseline)
			cur.s->sum.v[cur.i] += x.value - cur.l->v.v[cur.i];
		cur.l->v.v[cur.i] = x.value;
	}
	expo_clear(&x);
	n->has_baseline = TRUE;
	return TRUE;
}

void
burn_miss(struct burn *b, const char *name)
{
	node_get(b, name);
	b->stats.misses++;
}

/* Drops all points before the one at the start of the longest window. */
static void
points_trim(GArray *a, gint64 now)
{
	gint64 from = now - burn_window_s[BURN_WINDOWS - 1];
	guint n = 0;

	while (
	    n + 1 < a->len && g_array_index(a, struct point, n + 1).at <= from)
		n++;
	if (n > 0)
		g_array_remove_range(a, 0, n);
}

gboolean
burn_round(struct burn *b, gint64 at, GError **err)
{
	GHashTableIter it;
	gpointer p;
	struct series *s;
	struct point pt = { .at = at };

	if (b->stats.rounds > 0 && at < b->stats.last_s) {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "round at %" G_GINT64_FORMAT
		    " s is older than the one before it; give the samples in "
		    "order of time",
		    at);
		return FALSE;
	}
	if (b->stats.rounds++ == 0)
		b->stats.first_s = at;
	b->stats.last_s = at;
	g_hash_table_iter_init(&it, b->series);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		s = p;
		pt.sum = s->sum;
		g_array_append_val(s->points, pt);
		points_trim(s->points, at);
	}
	return TRUE;
}

/* The last point at or before a time; NULL if the series began later. */
static const struct point *
point_before(const struct series *s, gint64 at)
{
	guint low = 0, high = s->points->len, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (g_array_index(s->points, struct point, mid).at <= at)
			low = mid + 1;
		else
			high = mid;
	}
	return low > 0 ? &g_array_index(s->points, struct point, low - 1)
		       : NULL;
}

/* Share of calls that are not good; sets *calls to the number of all. */
static double
bad_share(const struct counts *d, guint64 *calls)
{
	*calls = d->v[RAN] + d->v[FAILED] + d->v[REFUSED] + d->v[UNKNOWN];
	if (*calls == 0)
		return 0;
	return 1 - (double)MIN(d->v[GOOD], *calls) / (double)*calls;
}

static void
window_fill(const struct burn *b, const struct series *s, gint64 window,
    struct burn_window *w)
{
	gint64 from = b->stats.last_s - window;
	const struct point *p = point_before(s, from);
	struct counts d = { 0 };
	guint64 calls;
	double bad;
	guint i;

	w->complete = b->stats.rounds > 0 && b->stats.first_s <= from;
	w->covered_s =
	    w->complete ? window : b->stats.last_s - b->stats.first_s;
	if (s->points->len > 0)
		d = g_array_index(s->points, struct point, s->points->len - 1)
			.sum;
	/* Without an earlier point, the series began within the window. */
	for (i = 0; p != NULL && i < COUNTS; i++)
		d.v[i] -= p->sum.v[i];
	bad = bad_share(&d, &calls);
	w->good = d.v[GOOD];
	w->late = d.v[RAN] - MIN(d.v[GOOD], d.v[RAN]);
	w->failed = d.v[FAILED];
	w->not_run = d.v[REFUSED];
	w->unknown = d.v[UNKNOWN];
	w->share = 1 - bad;
	w->rate = bad / (1 - b->o.objective);
}

static gint
by_service_and_rank(gconstpointer a, gconstpointer b)
{
	const struct series *x = *(struct series *const *)a;
	const struct series *y = *(struct series *const *)b;
	int r = strcmp(x->service, y->service);

	return r != 0 ? r : strcmp(x->rank, y->rank);
}

void
burn_report(
    struct burn *b, void (*row)(void *ctx, const struct burn_row *), void *ctx)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	struct burn_row r;
	struct series *s;
	gpointer p;
	guint i, w;

	g_hash_table_iter_init(&it, b->series);
	while (g_hash_table_iter_next(&it, NULL, &p))
		g_ptr_array_add(all, p);
	g_ptr_array_sort(all, by_service_and_rank);
	for (i = 0; i < all->len; i++) {
		s = g_ptr_array_index(all, i);
		r.service = s->service;
		r.rank = s->rank;
		for (w = 0; w < BURN_WINDOWS; w++)
			window_fill(b, s, burn_window_s[w], &r.window[w]);
		row(ctx, &r);
	}
	g_ptr_array_unref(all);
}

GArray *
burn_points(struct burn *b, const char *service, const char *rank)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct burn_point));
	struct series *s;
	struct burn_point bp;
	struct counts d;
	struct point *p;
	guint i, k;
	char *key;

	key = g_strconcat(service, "\n", rank, NULL);
	s = g_hash_table_lookup(b->series, key);
	g_free(key);
	for (i = 1; s != NULL && i < s->points->len; i++) {
		p = &g_array_index(s->points, struct point, i);
		for (k = 0; k < COUNTS; k++)
			d.v[k] = p->sum.v[k] - p[-1].sum.v[k];
		bp.at_s = p->at;
		bp.bad_share = bad_share(&d, &bp.calls);
		g_array_append_val(out, bp);
	}
	return out;
}

void
burn_stats(const struct burn *b, struct burn_stats *st)
{
	*st = b->stats;
}
