/* Election within a failure domain, computed from the member table alone. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#define MEMB_PRIVATE
#include "memb.h"

gboolean
memb_elected(const struct memb *m, guint n)
{
	const struct memb_entry *self = m->self, *e;
	guint64 own = memb_hash(self->m.instance);
	guint n_higher = 0;

	LIST_FOREACH(e, &self->domain->members, in_domain)
	if (e != self && e->m.health == PT_ALIVE && memb_present(&e->m) &&
	    memb_hash(e->m.instance) > own)
		n_higher++;
	return n_higher < n;
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
