/*
 * Moving average and mean deviation by route, such as those of the time in a
 * slot or of the size of a response.
 */
#include <glib.h>
#include <math.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/* Weight of a new sample: 1 / COST_DIV, more for the first COST_DIV samples. */
#define COST_DIV 32
/* Most routes kept; all are removed and measured again if there are more. */
#define COST_ROUTES_MAX 4096

/*
 * Mean deviations above the mean that few samples exceed.  As in the time-out
 * of TCP: 2 to 3 % of samples with a long tail do.
 */
#define HIGH_DEVIATIONS 4

struct entry {
	double mean;
	double deviation; /* mean absolute one */
	guint n;
};

struct cost {
	GHashTable *routes; /* name -> struct entry */
};

struct cost *
cost_new(void)
{
	struct cost *c = g_new0(struct cost, 1);

	c->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

void
cost_free(struct cost *c)
{
	if (c == NULL)
		return;
	g_hash_table_unref(c->routes);
	g_free(c);
}

static struct entry *
entry_get(struct cost *c, const char *route)
{
	struct entry *e = g_hash_table_lookup(c->routes, route);

	if (e != NULL)
		return e;
	if (g_hash_table_size(c->routes) >= COST_ROUTES_MAX)
		g_hash_table_remove_all(c->routes);
	e = g_new0(struct entry, 1);
	g_hash_table_insert(c->routes, g_strdup(route), e);
	return e;
}

void
cost_set(struct cost *c, const char *route, gint64 value)
{
	entry_get(c, route)->mean = (double)value;
}

void
cost_add(struct cost *c, const char *route, gint64 sample)
{
	struct entry *e = entry_get(c, route);
	double x = (double)sample;

	e->n = MIN(e->n + 1, COST_DIV);
	/* One sample says nothing of the spread: half of it is assumed. */
	e->deviation += e->n == 1 ? x / 2 - e->deviation
				  : (fabs(x - e->mean) - e->deviation) / e->n;
	e->mean += (x - e->mean) / e->n;
}

gint64
cost_get(const struct cost *c, const char *route)
{
	const struct entry *e = g_hash_table_lookup(c->routes, route);

	return e != NULL ? (gint64)e->mean : 0;
}

static gint64
high(const struct entry *e)
{
	if (e == NULL || e->n == 0)
		return 0;
	return (gint64)(e->mean + HIGH_DEVIATIONS * e->deviation);
}

gint64
cost_high(const struct cost *c, const char *route)
{
	return high(g_hash_table_lookup(c->routes, route));
}

gint64
cost_highest(const struct cost *c)
{
	GHashTableIter it;
	gint64 most = 0;
	gpointer e;

	g_hash_table_iter_init(&it, c->routes);
	while (g_hash_table_iter_next(&it, NULL, &e))
		most = MAX(most, high(e));
	return most;
}
