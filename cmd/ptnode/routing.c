#include <glib.h>
#include <gio/gio.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "httpio.h"
#include "conf.h"
#include "memb.h"
#include "dist.h"
#include "call.h"
#include "settings.h"
#include "node.h"

/* Delay that collects several changes into one rebuild. */
#define REBUILD_DELAY_US 20000

static void
rebuild_service(struct node *n, const char *name)
{
	const struct conf_service *s;
	const struct memb_member *m;
	struct lb_service_opts opts;
	GArray *ups;

	ups = g_array_new(FALSE, TRUE, sizeof(struct lb_member));
	s = conf_service(n->conf, name);
	m = s != NULL ? memb_next_in_service(n->memb, name, NULL) : NULL;
	for (; m != NULL; m = memb_next_in_service(n->memb, name, m)) {
		struct lb_member u = { m->instance, m->domain, m->started,
			m->slots, (enum pt_state)m->state };

		if (PT_MUTANT(MUTANT_LEAVING_CHOSEN))
			u.state = PT_SERVING;

		if (memb_reachable(n->memb, m))
			g_array_append_val(ups, u);
	}
	memset(&opts, 0, sizeof(opts));
	if (s != NULL) {
		opts.eject_max = s->eject_max;
		opts.ramp_ms = s->ramp_ms;
	}
	lb_set(n->lb, name, &opts, (const struct lb_member *)(void *)ups->data,
	    ups->len);
	g_array_free(ups, TRUE);
}

static void
rebuild(void *arg)
{
	struct node *n = arg;
	GHashTable *names = n->dirty_services;
	GHashTableIter it;
	gpointer name;

	n->rebuild_timer = 0;
	n->dirty_services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_iter_init(&it, names);
	while (g_hash_table_iter_next(&it, &name, NULL))
		rebuild_service(n, name);
	g_hash_table_unref(names);
}

static void
mark_dirty(struct node *n, const char *service)
{
	if (*service == '\0')
		return;
	g_hash_table_add(n->dirty_services, g_strdup(service));
	if (n->rebuild_timer == 0)
		n->rebuild_timer = sys_after(REBUILD_DELAY_US, rebuild, n);
}

void
routing_member_changed(struct node *n, const struct memb_member *m)
{
	mark_dirty(n, m->service);
}

void
routing_config_changed(struct node *n)
{
	const struct conf_service *s;
	guint i;

	for (i = 0; (s = conf_service_at(n->conf, i)) != NULL; i++) {
		budget_set(n->budget, s->res.name, s->retry_budget, s->limit);
		mark_dirty(n, s->res.name);
	}
	upstream_update(n->upstream);
}

void
routing_init(struct node *n)
{
	n->dirty_services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
routing_clear(struct node *n)
{
	sys_cancel(&n->rebuild_timer);
	g_hash_table_unref(n->dirty_services);
}
