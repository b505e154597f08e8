/* Recognition of callers that come back after a refusal. */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/*
 * Callers give a request about the same time at first.  One with less than this
 * share of the longest seen has spent the rest on an earlier attempt.
 */
#define RETURNS_SHARE 0.8
/* The longest time seen shrinks by this factor with each request. */
#define RETURNS_DECAY 0.9995
#define RETURNS_ROUTES_MAX 4096

struct returns {
	GHashTable *routes; /* name -> double *: longest time, in us */
};

struct returns *
retry_times_new(void)
{
	struct returns *r = g_new0(struct returns, 1);

	r->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

void
retry_times_free(struct returns *r)
{
	if (r == NULL)
		return;
	g_hash_table_unref(r->routes);
	g_free(r);
}

gint64
retry_time_spent(
    struct returns *r, const char *route, gint64 left, gboolean first)
{
	double *most = g_hash_table_lookup(r->routes, route);

	if (left < 0)
		return 0;
	if (most == NULL) {
		if (g_hash_table_size(r->routes) >= RETURNS_ROUTES_MAX)
			g_hash_table_remove_all(r->routes);
		most = g_new0(double, 1);
		g_hash_table_insert(r->routes, g_strdup(route), most);
	}
	*most = MAX(*most * RETURNS_DECAY, (double)left);
	if (!first || (double)left >= *most * RETURNS_SHARE)
		return 0;
	return (gint64)*most - left;
}
