/* Recognition of requests that callers retry after a refusal. */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/*
 * Callers give the first attempts of a route about the same time.  A request
 * with less than this share of the longest remaining time of the route is taken
 * for a retry whose caller has spent the difference on an earlier attempt.
 */
#define RETRY_SHARE 0.8
/* Factor by which the longest remaining time decays with each request. */
#define LONGEST_DECAY 0.9995
/* Most routes kept; all are removed and measured again if there are more. */
#define ROUTES_MAX 4096

struct retry_times {
	GHashTable *routes; /* name -> double *, longest time in us */
};

struct retry_times *
retry_times_new(void)
{
	struct retry_times *r = g_new0(struct retry_times, 1);

	r->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

void
retry_times_free(struct retry_times *r)
{
	if (r == NULL)
		return;
	g_hash_table_unref(r->routes);
	g_free(r);
}

gint64
retry_time_spent(
    struct retry_times *r, const char *route, gint64 left, gboolean first)
{
	double *longest = g_hash_table_lookup(r->routes, route);

	if (left < 0)
		return 0;
	if (longest == NULL) {
		if (g_hash_table_size(r->routes) >= ROUTES_MAX)
			g_hash_table_remove_all(r->routes);
		longest = g_new0(double, 1);
		g_hash_table_insert(r->routes, g_strdup(route), longest);
	}
	*longest = MAX(*longest * LONGEST_DECAY, (double)left);
	if (!first || (double)left >= *longest * RETRY_SHARE)
		return 0;
	return (gint64)*longest - left;
}
