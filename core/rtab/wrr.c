/* Smooth weighted round robin over the services of a route. */
#include <glib.h>
#include <string.h>

#include "rtab.h"

/* Most routes kept, including removed ones; all are reset if there are more. */
#define WRR_ROUTES_MAX 8192

struct share {
	char *service;
	double weight;
	/* Requests owed to the service, times the sum of the weights. */
	double credit;
};

struct wrr_route {
	struct share *shares;
	guint n;
};

struct rtab_wrr {
	GRand *rand; /* not owned */
	GHashTable *routes; /* route name -> struct wrr_route */
};

static void
wrr_route_free(void *p)
{
	struct wrr_route *m = p;
	guint i;

	for (i = 0; i < m->n; i++)
		g_free(m->shares[i].service);
	g_free(m->shares);
	g_free(m);
}

struct rtab_wrr *
rtab_wrr_new(GRand *rand)
{
	struct rtab_wrr *x = g_new0(struct rtab_wrr, 1);

	x->rand = rand;
	x->routes = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, wrr_route_free);
	return x;
}

void
rtab_wrr_free(struct rtab_wrr *x)
{
	if (x == NULL)
		return;
	g_hash_table_unref(x->routes);
	g_free(x);
}

static gboolean
same_weights(const struct wrr_route *m, const struct rtab_route *r)
{
	guint i;

	if (m->n != r->n_parts)
		return FALSE;
	for (i = 0; i < m->n; i++)
		if (m->shares[i].weight != r->parts[i].weight ||
		    strcmp(m->shares[i].service, r->parts[i].service) != 0)
			return FALSE;
	return TRUE;
}

/*
 * Random initial credits keep the nodes of a mesh from choosing the same
 * service at the same time.
 */
static struct wrr_route *
wrr_route_new(struct rtab_wrr *x, const struct rtab_route *r)
{
	struct wrr_route *m = g_new0(struct wrr_route, 1);
	guint i;

	m->n = r->n_parts;
	m->shares = g_new0(struct share, m->n);
	for (i = 0; i < m->n; i++) {
		m->shares[i].service = g_strdup(r->parts[i].service);
		m->shares[i].weight = r->parts[i].weight;
		m->shares[i].credit =
		    g_rand_double(x->rand) * r->parts[i].weight;
	}
	return m;
}

const char *
rtab_wrr_pick(struct rtab_wrr *x, const struct rtab_route *r)
{
	struct wrr_route *m;
	double sum = 0;
	guint i, best = 0;

	if (r->n_parts == 1)
		return r->parts[0].service;
	m = g_hash_table_lookup(x->routes, r->name);
	if (m == NULL || !same_weights(m, r)) {
		if (g_hash_table_size(x->routes) >= WRR_ROUTES_MAX)
			g_hash_table_remove_all(x->routes);
		m = wrr_route_new(x, r);
		g_hash_table_replace(x->routes, g_strdup(r->name), m);
	}
	for (i = 0; i < m->n; i++) {
		m->shares[i].credit += m->shares[i].weight;
		sum += m->shares[i].weight;
		if (m->shares[i].credit > m->shares[best].credit)
			best = i;
	}
	m->shares[best].credit -= sum;
	return r->parts[best].service;
}
