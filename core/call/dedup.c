/*
 * Suppression of duplicate attempts at the node of an upstream.  A copy of an
 * attempt that arrives late or a second time must not run: the owner may have
 * dispatched a later attempt after this one was refused.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "call.h"

#define RECORDS_MAX 65536
/* More than four times the number of instances at the target size. */
#define OWNERS_MAX 16384

enum seen {
	SEEN_QUEUED, /* admitted, not started yet */
	SEEN_STARTED,
	SEEN_REFUSED
};

struct record {
	TAILQ_ENTRY(record) link; /* oldest first */
	struct owner *owner;
	gint64 seq;
	guint attempt; /* highest received */
	enum seen seen;
};

struct owner {
	TAILQ_ENTRY(owner) link; /* least recently used first */
	char *name;
	gint64 incarnation;
	gint64 floor; /* attempts with lower sequence numbers are not run */
	GHashTable *records; /* seq -> struct record */
};

TAILQ_HEAD(records, record);
TAILQ_HEAD(owners, owner);

struct guard {
	struct guard_opts o;
	GHashTable *by_name; /* owner name -> struct owner */
	struct owners owners;
	struct records records;
	guint n_records, n_owners;
	gint64 evicted; /* highest incarnation of an evicted owner */
};

struct guard *
guard_new(const struct guard_opts *o)
{
	struct guard *g = g_new0(struct guard, 1);

	g->o = *o;
	if (g->o.max_records == 0)
		g->o.max_records = RECORDS_MAX;
	if (g->o.max_owners == 0)
		g->o.max_owners = OWNERS_MAX;
	g->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&g->owners);
	TAILQ_INIT(&g->records);
	return g;
}

static void
record_free(struct guard *g, struct record *r)
{
	TAILQ_REMOVE(&g->records, r, link);
	g_hash_table_remove(r->owner->records, &r->seq);
	g->n_records--;
	g_free(r);
}

/* Removes the records of an owner below a sequence number. */
static void
records_trim(struct guard *g, struct owner *w, gint64 below)
{
	GHashTableIter it;
	struct record *r;
	gpointer p;

	g_hash_table_iter_init(&it, w->records);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		r = p;
		if (r->seq >= below)
			continue;
		TAILQ_REMOVE(&g->records, r, link);
		g->n_records--;
		g_hash_table_iter_remove(&it);
		g_free(r);
	}
}

static void
owner_free(struct guard *g, struct owner *w)
{
	records_trim(g, w, G_MAXINT64);
	g_hash_table_remove(g->by_name, w->name);
	TAILQ_REMOVE(&g->owners, w, link);
	g->n_owners--;
	g_hash_table_unref(w->records);
	g_free(w->name);
	g_free(w);
}

void
guard_free(struct guard *g)
{
	struct owner *w;

	if (g == NULL)
		return;
	while ((w = TAILQ_FIRST(&g->owners)) != NULL)
		owner_free(g, w);
	g_hash_table_unref(g->by_name);
	g_free(g);
}

/*
 * Makes room for one owner.  The records of an evicted owner are lost, so
 * attempts of unknown owners that started no later than it are no longer run.
 */
static void
owner_evict(struct guard *g)
{
	struct owner *w;

	if (g->n_owners < g->o.max_owners)
		return;
	w = TAILQ_FIRST(&g->owners);
	g->evicted = MAX(g->evicted, w->incarnation);
	owner_free(g, w);
}

static struct owner *
owner_new(struct guard *g, const struct pt_key *k)
{
	struct owner *w;

	owner_evict(g);
	if (k->incarnation <= g->evicted)
		return NULL;
	w = g_new0(struct owner, 1);
	w->name = g_strdup(k->owner);
	w->incarnation = k->incarnation;
	w->records = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_insert(g->by_name, w->name, w);
	TAILQ_INSERT_TAIL(&g->owners, w, link);
	g->n_owners++;
	return w;
}

/* Finds or creates the owner of a key; updates its incarnation and floor. */
static struct owner *
owner_get(struct guard *g, const struct pt_key *k)
{
	struct owner *w;

	w = g_hash_table_lookup(g->by_name, k->owner);
	if (w == NULL)
		w = owner_new(g, k);
	if (w == NULL || k->incarnation < w->incarnation)
		return NULL;
	if (k->incarnation > w->incarnation) {
		records_trim(g, w, G_MAXINT64);
		w->incarnation = k->incarnation;
		w->floor = 0;
	}
	if (k->floor > w->floor) {
		w->floor = k->floor;
		records_trim(g, w, w->floor);
	}
	TAILQ_REMOVE(&g->owners, w, link);
	TAILQ_INSERT_TAIL(&g->owners, w, link);
	return w;
}

/*
 * Makes room for one record.  A copy of an evicted attempt could not be
 * distinguished from a new attempt, so the owner's floor is raised above it.
 */
static void
record_evict(struct guard *g)
{
	struct record *r;

	if (g->n_records < g->o.max_records)
		return;
	r = TAILQ_FIRST(&g->records);
	r->owner->floor = MAX(r->owner->floor, r->seq + 1);
	record_free(g, r);
}

static enum guard_verdict
record_new(struct guard *g, struct owner *w, const struct pt_key *k)
{
	struct record *r;

	record_evict(g);
	if (k->seq < w->floor)
		return GUARD_UNKNOWN;
	r = g_new0(struct record, 1);
	r->owner = w;
	r->seq = k->seq;
	r->attempt = k->attempt;
	r->seen = SEEN_QUEUED;
	g_hash_table_insert(w->records, &r->seq, r);
	TAILQ_INSERT_TAIL(&g->records, r, link);
	g->n_records++;
	return GUARD_NEW;
}

enum guard_verdict
guard_admit(struct guard *g, const struct pt_key *k)
{
	struct owner *w;
	struct record *r;

	/*
	 * The attempt was sent to an earlier incarnation of this node, where
	 * another copy of it may have run.
	 */
	if (k->target != g->o.incarnation)
		return GUARD_UNKNOWN;
	w = owner_get(g, k);
	if (w == NULL || k->seq < w->floor)
		return GUARD_UNKNOWN;
	r = g_hash_table_lookup(w->records, &k->seq);
	if (r == NULL)
		return record_new(g, w, k);
	if (PT_MUTANT(MUTANT_COPY_RUNS)) {
		r->seen = SEEN_QUEUED;
		return GUARD_NEW;
	}
	if (r->seen != SEEN_REFUSED || k->attempt < r->attempt)
		return GUARD_UNKNOWN;
	if (k->attempt == r->attempt)
		return GUARD_NOT_RUN;
	r->attempt = k->attempt;
	r->seen = SEEN_QUEUED;
	return GUARD_NEW;
}

/* Returns the record of exactly this attempt; NULL: evicted or superseded. */
static struct record *
record_find(struct guard *g, const struct pt_key *k)
{
	struct owner *w;
	struct record *r;

	w = g_hash_table_lookup(g->by_name, k->owner);
	if (w == NULL || w->incarnation != k->incarnation)
		return NULL;
	r = g_hash_table_lookup(w->records, &k->seq);
	return r != NULL && r->attempt == k->attempt ? r : NULL;
}

gboolean
guard_refuse(struct guard *g, const struct pt_key *k)
{
	struct record *r = record_find(g, k);

	if (r == NULL || r->seen == SEEN_STARTED)
		return FALSE;
	r->seen = SEEN_REFUSED;
	return TRUE;
}

void
guard_not_run(struct guard *g, const struct pt_key *k)
{
	struct record *r = record_find(g, k);

	if (r != NULL && r->seen == SEEN_STARTED)
		r->seen = SEEN_REFUSED;
}

gboolean
guard_start(struct guard *g, const struct pt_key *k)
{
	struct record *r = record_find(g, k);

	if (r == NULL || r->seen != SEEN_QUEUED)
		return FALSE;
	r->seen = SEEN_STARTED;
	return TRUE;
}

guint
guard_records(const struct guard *g)
{
	return g->n_records;
}

gboolean
guard_inspect(
    struct guard *g, const char *owner, gint64 seq, struct guard_view *v)
{
	struct owner *w = g_hash_table_lookup(g->by_name, owner);
	struct record *r;

	memset(v, 0, sizeof(*v));
	if (w == NULL)
		return FALSE;
	v->incarnation = w->incarnation;
	v->floor = w->floor;
	r = g_hash_table_lookup(w->records, &seq);
	if (r == NULL)
		return TRUE;
	v->attempt = r->attempt;
	v->started = r->seen == SEEN_STARTED;
	v->refused = r->seen == SEEN_REFUSED;
	return TRUE;
}
