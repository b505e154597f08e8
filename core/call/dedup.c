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

enum attempt_state {
	ATTEMPT_QUEUED, /* admitted, not started yet */
	ATTEMPT_STARTED,
	ATTEMPT_REFUSED
};

struct record {
	TAILQ_ENTRY(record) link; /* oldest first */
	struct owner *owner;
	gint64 seq;
	guint attempt; /* highest received */
	enum attempt_state state;
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

struct dedup {
	struct dedup_opts o;
	GHashTable *by_name; /* owner name -> struct owner */
	struct owners owners;
	struct records records;
	guint n_records, n_owners;
	gint64 evicted_incarnation; /* highest of the evicted owners */
};

struct dedup *
dedup_new(const struct dedup_opts *o)
{
	struct dedup *d = g_new0(struct dedup, 1);

	d->o = *o;
	if (d->o.max_records == 0)
		d->o.max_records = RECORDS_MAX;
	if (d->o.max_owners == 0)
		d->o.max_owners = OWNERS_MAX;
	d->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&d->owners);
	TAILQ_INIT(&d->records);
	return d;
}

static void
record_free(struct dedup *d, struct record *r)
{
	TAILQ_REMOVE(&d->records, r, link);
	g_hash_table_remove(r->owner->records, &r->seq);
	d->n_records--;
	g_free(r);
}

/* Removes the records of an owner below a sequence number. */
static void
records_trim(struct dedup *d, struct owner *w, gint64 below)
{
	GHashTableIter it;
	struct record *r;
	gpointer p;

	g_hash_table_iter_init(&it, w->records);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		r = p;
		if (r->seq >= below)
			continue;
		TAILQ_REMOVE(&d->records, r, link);
		d->n_records--;
		g_hash_table_iter_remove(&it);
		g_free(r);
	}
}

static void
owner_free(struct dedup *d, struct owner *w)
{
	records_trim(d, w, G_MAXINT64);
	g_hash_table_remove(d->by_name, w->name);
	TAILQ_REMOVE(&d->owners, w, link);
	d->n_owners--;
	g_hash_table_unref(w->records);
	g_free(w->name);
	g_free(w);
}

void
dedup_free(struct dedup *d)
{
	struct owner *w;

	if (d == NULL)
		return;
	while ((w = TAILQ_FIRST(&d->owners)) != NULL)
		owner_free(d, w);
	g_hash_table_unref(d->by_name);
	g_free(d);
}

/*
 * Makes room for one owner.  The records of an evicted owner are lost, so
 * attempts of unknown owners that started no later than it are no longer run.
 */
static void
owner_evict(struct dedup *d)
{
	struct owner *w;

	if (d->n_owners < d->o.max_owners)
		return;
	w = TAILQ_FIRST(&d->owners);
	d->evicted_incarnation = MAX(d->evicted_incarnation, w->incarnation);
	owner_free(d, w);
}

static struct owner *
owner_new(struct dedup *d, const struct pt_key *k)
{
	struct owner *w;

	owner_evict(d);
	if (k->incarnation <= d->evicted_incarnation)
		return NULL;
	w = g_new0(struct owner, 1);
	w->name = g_strdup(k->owner);
	w->incarnation = k->incarnation;
	w->records = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_insert(d->by_name, w->name, w);
	TAILQ_INSERT_TAIL(&d->owners, w, link);
	d->n_owners++;
	return w;
}

/* Finds or creates the owner of a key; updates its incarnation and floor. */
static struct owner *
owner_get(struct dedup *d, const struct pt_key *k)
{
	struct owner *w;

	w = g_hash_table_lookup(d->by_name, k->owner);
	if (w == NULL)
		w = owner_new(d, k);
	if (w == NULL || k->incarnation < w->incarnation)
		return NULL;
	if (k->incarnation > w->incarnation) {
		records_trim(d, w, G_MAXINT64);
		w->incarnation = k->incarnation;
		w->floor = 0;
	}
	if (k->floor > w->floor) {
		w->floor = k->floor;
		records_trim(d, w, w->floor);
	}
	TAILQ_REMOVE(&d->owners, w, link);
	TAILQ_INSERT_TAIL(&d->owners, w, link);
	return w;
}

/*
 * Makes room for one record.  A copy of an evicted attempt could not be
 * distinguished from a new attempt, so the owner's floor is raised above it.
 */
static void
record_evict(struct dedup *d)
{
	struct record *r;

	if (d->n_records < d->o.max_records)
		return;
	r = TAILQ_FIRST(&d->records);
	r->owner->floor = MAX(r->owner->floor, r->seq + 1);
	record_free(d, r);
}

static enum dedup_verdict
record_new(struct dedup *d, struct owner *w, const struct pt_key *k)
{
	struct record *r;

	record_evict(d);
	if (k->seq < w->floor)
		return DEDUP_UNKNOWN;
	r = g_new0(struct record, 1);
	r->owner = w;
	r->seq = k->seq;
	r->attempt = k->attempt;
	r->state = ATTEMPT_QUEUED;
	g_hash_table_insert(w->records, &r->seq, r);
	TAILQ_INSERT_TAIL(&d->records, r, link);
	d->n_records++;
	return DEDUP_NEW;
}

enum dedup_verdict
dedup_admit(struct dedup *d, const struct pt_key *k)
{
	struct owner *w;
	struct record *r;

	/*
	 * The attempt was sent to an earlier incarnation of this node, where
	 * another copy of it may have run.
	 */
	if (k->target != d->o.incarnation)
		return DEDUP_UNKNOWN;
	w = owner_get(d, k);
	if (w == NULL || k->seq < w->floor)
		return DEDUP_UNKNOWN;
	r = g_hash_table_lookup(w->records, &k->seq);
	if (r == NULL)
		return record_new(d, w, k);
	if (PT_MUTANT(MUTANT_COPY_RUNS)) {
		r->state = ATTEMPT_QUEUED;
		return DEDUP_NEW;
	}
	if (r->state != ATTEMPT_REFUSED || k->attempt < r->attempt)
		return DEDUP_UNKNOWN;
	if (k->attempt == r->attempt)
		return DEDUP_NOT_RUN;
	r->attempt = k->attempt;
	r->state = ATTEMPT_QUEUED;
	return DEDUP_NEW;
}

/* Returns the record of exactly this attempt; NULL: evicted or superseded. */
static struct record *
record_find(struct dedup *d, const struct pt_key *k)
{
	struct owner *w;
	struct record *r;

	w = g_hash_table_lookup(d->by_name, k->owner);
	if (w == NULL || w->incarnation != k->incarnation)
		return NULL;
	r = g_hash_table_lookup(w->records, &k->seq);
	return r != NULL && r->attempt == k->attempt ? r : NULL;
}

gboolean
dedup_refuse(struct dedup *d, const struct pt_key *k)
{
	struct record *r = record_find(d, k);

	if (r == NULL || r->state == ATTEMPT_STARTED)
		return FALSE;
	r->state = ATTEMPT_REFUSED;
	return TRUE;
}

void
dedup_not_run(struct dedup *d, const struct pt_key *k)
{
	struct record *r = record_find(d, k);

	if (r != NULL && r->state == ATTEMPT_STARTED)
		r->state = ATTEMPT_REFUSED;
}

gboolean
dedup_start(struct dedup *d, const struct pt_key *k)
{
	struct record *r = record_find(d, k);

	if (r == NULL || r->state != ATTEMPT_QUEUED)
		return FALSE;
	r->state = ATTEMPT_STARTED;
	return TRUE;
}

guint
dedup_records(const struct dedup *d)
{
	return d->n_records;
}

gboolean
dedup_inspect(
    struct dedup *d, const char *owner, gint64 seq, struct dedup_view *v)
{
	struct owner *w = g_hash_table_lookup(d->by_name, owner);
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
	v->started = r->state == ATTEMPT_STARTED;
	v->refused = r->state == ATTEMPT_REFUSED;
	return TRUE;
}
