/* Election within a failure domain, computed from the member table alone. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#define MEMB_PRIVATE
#include "memb.h"

static gboolean
elected(const struct memb_entry *x, guint n)
{
	guint64 own = memb_hash(x->m.instance);
	const struct memb_entry *e;
	guint n_higher = 0;

	LIST_FOREACH(e, &x->domain->members, in_domain)
	if (e != x && e->m.health == PT_ALIVE && memb_present(&e->m) &&
	    memb_hash(e->m.instance) > own)
		n_higher++;
	return n_higher < n;
}

gboolean
memb_elected(const struct memb *m, guint n)
{
	return elected(m->self, n);
}

const struct memb_member *
memb_random_elected(const struct memb *m, guint n)
{
	const struct memb_entry *e, *chosen = NULL;
	const struct memb_group *domain;
	GHashTableIter it;
	gpointer g;
	gint32 seen = 0;

	g_hash_table_iter_init(&it, m->domains);
	while (g_hash_table_iter_next(&it, NULL, &g)) {
		domain = g;
		LIST_FOREACH(e, &domain->members, in_domain)
		if (e != m->self && e->m.health == PT_ALIVE &&
		    memb_present(&e->m) && elected(e, n) &&
		    g_rand_int_range(m->o.rand, 0, ++seen) == 0)
			chosen = e;
	}
	return chosen != NULL ? &chosen->m : NULL;
}

void
memb_send_position(struct memb *m, guint n)
{
	struct memb_entry *e;
	guint remaining = 0;

	LIST_FOREACH(e, &m->self->domain->members, in_domain)
	remaining += e != m->self && memb_present(&e->m);
	LIST_FOREACH(e, &m->self->domain->members, in_domain)
	{
		if (e == m->self || !memb_present(&e->m))
			continue;
		/* Selection sampling: each member is equally likely. */
		if (g_rand_double(m->o.rand) * remaining < n) {
			memb_send(m, e->m.host, e->m.gossip_port, PT_SPREAD, 0,
			    "", NULL, 0);
			n--;
		}
		remaining--;
	}
}

/* A random present member of a failure domain, NULL: there is none. */
static struct memb_entry *
random_in(struct memb *m, const struct memb_group *domain)
{
	struct memb_entry *e, *chosen = NULL;
	guint n = 0;

	LIST_FOREACH(e, &domain->members, in_domain)
	if (e != m->self && e->m.health == PT_ALIVE && memb_present(&e->m) &&
	    g_rand_int_range(m->o.rand, 0, (gint32)++n) == 0)
		chosen = e;
	return chosen;
}

static void
send_to(struct memb *m, const struct memb_entry *e, const char *target)
{
	if (e != NULL)
		memb_send(m, e->m.host, e->m.gossip_port, PT_SPREAD, 0, target,
		    NULL, 0);
}

void
memb_send_position_abroad(struct memb *m)
{
	GHashTableIter it;
	gpointer g;

	g_hash_table_iter_init(&it, m->domains);
	while (g_hash_table_iter_next(&it, NULL, &g))
		if (g != m->self->domain)
			send_to(m, random_in(m, g), "");
}

void
memb_take_over(struct memb *m, const char *instance, gboolean done)
{
	send_to(m, memb_lookup(m, instance),
	    done ? MEMB_TOOK_OVER : MEMB_TAKE_OVER);
}

void
memb_ask_take_over(struct memb *m, guint n)
{
	struct memb_group *other = NULL;
	GHashTableIter it;
	guint n_other = 0;
	gpointer g;

	g_hash_table_iter_init(&it, m->domains);
	while (g_hash_table_iter_next(&it, NULL, &g))
		if (g != m->self->domain &&
		    g_rand_int_range(m->o.rand, 0, (gint32)++n_other) == 0)
			other = g;
	while (n-- > 0)
		send_to(m, random_in(m, m->self->domain), MEMB_TAKE_OVER);
	if (other != NULL)
		send_to(m, random_in(m, other), MEMB_TAKE_OVER);
}
