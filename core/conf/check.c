/* Rules that hold between the resources of a whole configuration. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"

/* Checks the ranks in force: unique orders and the sum of the floors. */
gboolean
conf_ranks_check(const struct conf_rank *const *list, guint n, GError **err)
{
	const struct conf_rank *by_order[PT_RANKS_MAX] = { NULL };
	const struct conf_rank *r, *most = NULL;
	guint i;
	int sum = 0;

	for (i = 0; i < n; i++) {
		r = list[i];
		if (by_order[r->order] != NULL) {
			g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
			    "[rank %s] order is \"%d\", as for [rank %s]; "
			    "give each rank its own order from 0 to %d",
			    r->res.name, r->order, by_order[r->order]->res.name,
			    PT_RANKS_MAX - 1);
			return FALSE;
		}
		by_order[r->order] = r;
		sum += r->floor;
		if (most == NULL || r->floor > most->floor)
			most = r;
	}
	if (sum <= CONF_FLOOR_SUM_MAX)
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
	    "[rank %s] floor is \"%d\" and the floors of all ranks sum to %d; "
	    "lower it so that they sum to at most %d",
	    most->res.name, most->floor, sum, CONF_FLOOR_SUM_MAX);
	return FALSE;
}

void
conf_path_error(
    GError **err, const struct conf_route *r, const struct conf_route *other)
{
	char buf[48];

	g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
	    "[route %s] path is \"%s\", as for [route %s]; give another path",
	    r->res.name, conf_printable(r->path, buf), other->res.name);
}

void
conf_reference_error(
    GError **err, const struct conf_route *r, pt_kind kind, const char *target)
{
	g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
	    "[route %s] %s is \"%s\", which does not exist; declare [%s %s] "
	    "or name another",
	    r->res.name, conf_kind_name(kind), target, conf_kind_name(kind),
	    target);
}

gboolean
conf_validate(const struct conf *c, GError **err)
{
	const GPtrArray *ranks = c->res[PT_KIND_RANK];
	const struct conf_route *r, *other;
	guint i;

	if (!conf_ranks_check(
		(const struct conf_rank *const *)ranks->pdata, ranks->len, err))
		return FALSE;
	for (i = 0; (r = conf_route_at(c, i)) != NULL; i++) {
		if (r->service == NULL) {
			conf_reference_error(
			    err, r, PT_KIND_SERVICE, r->service_name);
			return FALSE;
		}
		if (r->rank == NULL) {
			conf_reference_error(
			    err, r, PT_KIND_RANK, r->rank_name);
			return FALSE;
		}
		other = conf_path_find(c, r->path, strlen(r->path), r->hash);
		if (other != r) {
			conf_path_error(err, r, other);
			return FALSE;
		}
	}
	return TRUE;
}
