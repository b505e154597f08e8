/*
 * Roles: which nodes read the log, and which parents the other nodes follow.
 * The priority of a node is the hash of its name.  A parent always has a higher
 * priority than its child, whatever each node's view of the membership, so no
 * cycle can form.
 */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#define DIST_PRIVATE
#include "dist.h"

/* A node that finds no members becomes a reader after this time. */
#define ALONE_US (3 * DIST_US)
/* The membership counts as stable once unchanged for this time. */
#define MEMBERS_STABLE_US (500 * DIST_MS)

/*
 * Level of a node in the fan-out tree: the number of leading octal digits 7 of
 * its priority.  One node in 8 has a level of at least 1.
 */
static guint
level(guint64 priority)
{
	guint n = 0;

	while ((priority >> 61) == 7 && n < 21) {
		priority <<= 3;
		n++;
	}
	return n;
}

/* Rendezvous hashing: a child prefers the candidate with the highest weight. */
static guint64
weight(guint64 child, guint64 parent)
{
	char pair[40];

	g_snprintf(pair, sizeof(pair),
	    "%" G_GINT64_MODIFIER "x:%" G_GINT64_MODIFIER "x", child, parent);
	return memb_hash(pair);
}

/* Only members that are present and not suspect are given roles. */
static gboolean
eligible(const struct memb_member *x, const struct memb_member *self)
{
	return x == self || (memb_present(x) && x->health == PT_ALIVE);
}

struct candidate {
	const char *name;
	guint64 weight;
	gboolean fallback; /* a reader whose level is not higher */
};

static gint
cmp_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a, *y = b;

	if (x->fallback != y->fallback)
		return x->fallback ? 1 : -1;
	return x->weight < y->weight ? 1 : x->weight > y->weight ? -1 : 0;
}

/*
 * Lists the candidates for parent of a node that is no reader, best first:
 * members of its failure domain with a higher level, then its readers.
 */
static void
list_parents(struct dist *d, guint64 me, const guint64 top[DIST_READERS])
{
	const struct memb_member *self = memb_self(d->o.memb), *x = NULL;
	GArray *found = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	struct candidate c;
	guint64 p;
	guint i, own = level(me);

	while ((x = memb_next_in_domain(d->o.memb, self->domain, x)) != NULL) {
		p = memb_hash(x->instance);
		c.fallback = level(p) <= own;
		if (x == self || !eligible(x, self) ||
		    (c.fallback && p < top[DIST_READERS - 1]))
			continue;
		c.name = x->instance;
		c.weight = weight(me, p);
		g_array_append_val(found, c);
	}
	g_array_sort(found, cmp_candidates);
	g_ptr_array_set_size(d->parents, 0);
	for (i = 0; i < found->len; i++)
		g_ptr_array_add(d->parents,
		    g_strdup(g_array_index(found, struct candidate, i).name));
	g_array_free(found, TRUE);
}

/* Finds the highest priorities in a domain, those of its readers. */
static void
domain_top(struct dist *d, const char *domain, guint64 top[DIST_READERS])
{
	const struct memb_member *self = memb_self(d->o.memb), *x = NULL;
	guint64 p;

	top[0] = top[1] = 0;
	while ((x = memb_next_in_domain(d->o.memb, domain, x)) != NULL) {
		if (!eligible(x, self))
			continue;
		p = memb_hash(x->instance);
		if (p > top[0]) {
			top[1] = top[0];
			top[0] = p;
		} else if (p > top[1])
			top[1] = p;
	}
}

/* Computes this node's rank among all readers and finds the first reader. */
static void
rank_readers(struct dist *d, guint64 me)
{
	const struct memb_member *self = memb_self(d->o.memb), *x = NULL;
	const struct memb_member *first = self;
	GHashTable *higher = g_hash_table_new(g_str_hash, g_str_equal);
	guint64 best = me, p;
	guint n, rank = 0;

	while ((x = memb_next(d->o.memb, x)) != NULL) {
		p = memb_hash(x->instance);
		if (!eligible(x, self) || p <= me)
			continue;
		n = GPOINTER_TO_UINT(g_hash_table_lookup(higher, x->domain));
		if (n < DIST_READERS) {
			rank++;
			g_hash_table_insert(
			    higher, (char *)x->domain, GUINT_TO_POINTER(n + 1));
		}
		if (p > best) {
			best = p;
			first = x;
		}
	}
	g_hash_table_destroy(higher);
	d->reader_rank = rank;
	if (g_strcmp0(d->first_reader, first->instance) != 0) {
		g_free(d->first_reader);
		d->first_reader = g_strdup(first->instance);
		d->report_due = 0;
	}
}

static gboolean
listed(const GPtrArray *names, const char *name)
{
	guint i;

	for (i = 0; i < names->len; i++) {
		if (strcmp(names->pdata[i], name) == 0)
			return TRUE;
	}
	return FALSE;
}

static void
set_role(struct dist *d, gboolean reader, gint64 now)
{
	if (d->reader == reader)
		return;
	d->reader = reader;
	if (reader) {
		/* Jitter: other nodes may become readers at the same time. */
		d->tail_due = now + g_rand_double(d->o.rand) * 200 * DIST_MS;
		d->tail_fails = 0;
		d->seed_write_due =
		    now + g_rand_double(d->o.rand) * 2 * DIST_US;
		d->seed_read_due =
		    now + g_rand_double(d->o.rand) * 10 * DIST_US;
		d->report_due = 0;
		dist_link_drop(&d->parent);
	}
	pt_event(d->o.events, PT_LEVEL_INFO, "role", "reader=%d", reader);
	if (d->o.changed != NULL)
		d->o.changed(d->o.ctx);
}

/*
 * A booting node becomes a reader only once its view of the membership is
 * stable.  Otherwise, when many nodes start together, most of them would read
 * the log until they have found each other.
 */
static gboolean
membership_stable(const struct dist *d, gint64 now)
{
	return d->ready || now - d->started >= ALONE_US ||
	       (memb_joined(d->o.memb) &&
		   now - d->members_at >= MEMBERS_STABLE_US);
}

/* Recomputes the roles; a parent that is still a candidate is kept. */
void
dist_roles(struct dist *d)
{
	const struct memb_member *self = memb_self(d->o.memb);
	guint64 me = memb_hash(self->instance), top[DIST_READERS];
	gint64 now = pt_now(d->o.clock);

	d->roles_dirty = FALSE;
	domain_top(d, self->domain, top);
	rank_readers(d, me);
	set_role(d,
	    membership_stable(d, now) &&
		(d->o.poll || me >= top[DIST_READERS - 1]),
	    now);
	if (d->reader) {
		g_ptr_array_set_size(d->parents, 0);
		return;
	}
	list_parents(d, me, top);
	d->next_parent = 0;
	if (d->parent.name != NULL && !listed(d->parents, d->parent.name))
		dist_link_drop(&d->parent);
}

gboolean
dist_is_first(const struct dist *d)
{
	return g_strcmp0(d->first_reader, memb_self(d->o.memb)->instance) == 0;
}
