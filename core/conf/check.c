/* Validation rules that span several resources of a configuration. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"

/* Checks that orders are unique and that the sum of the floors is allowed. */
gboolean
conf_ranks_check(const struct conf_rank *const *list, guint n, GError **err)
{
	const struct conf_rank *by_order[PT_RANKS_MAX] = { NULL };
	const struct conf_rank *r, *largest = NULL;
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
		if (largest == NULL || r->floor > largest->floor)
			largest = r;
	}
	if (sum <= CONF_FLOOR_SUM_MAX)
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
	    "[rank %s] floor is \"%d\" and the floors of all ranks sum to %d; "
	    "lower it so that they sum to at most %d",
	    largest->res.name, largest->floor, sum, CONF_FLOOR_SUM_MAX);
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
conf_reference_error(GError **err, const struct conf_res *r, const char *key,
    pt_kind kind, const char *target)
{
	char g[CONF_GROUP_MAX];

	g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
	    "%s %s is \"%s\", which does not exist; declare [%s %s] "
	    "or name another",
	    conf_group(r->kind, r->name, g), key, target, conf_kind_name(kind),
	    target);
}

void
conf_key_error(GError **err, const struct conf_organisation *o, guint key,
    const struct conf_organisation *other)
{
	g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
	    "[organisation %s] keys has the hash %.8s..., as has "
	    "[organisation %s]; give each organisation keys of its own",
	    o->res.name, o->keys + (gsize)key * (2 * PT_DIGEST_LEN + 1),
	    other->res.name);
}

static gboolean
organisations_check(const struct conf *c, GError **err)
{
	const struct conf_organisation *o, *other;
	guint i, k;

	for (i = 0; (o = conf_organisation_at(c, i)) != NULL; i++) {
		if (o->priority_name != NULL && o->priority == NULL) {
			conf_reference_error(err, &o->res, "priority",
			    PT_KIND_RANK, o->priority_name);
			return FALSE;
		}
		for (k = 0; k < o->n_keys; k++) {
			other = conf_organisation_by_key(c, o->digests[k]);
			if (other == o)
				continue;
			conf_key_error(err, o, k, other);
			return FALSE;
		}
	}
	return TRUE;
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
			conf_reference_error(err, &r->res, "service",
			    PT_KIND_SERVICE, r->service_name);
			return FALSE;
		}
		if (r->rank == NULL) {
			conf_reference_error(
			    err, &r->res, "rank", PT_KIND_RANK, r->rank_name);
			return FALSE;
		}
		other = conf_path_find(c, r->path, strlen(r->path), r->hash);
		if (other != r) {
			conf_path_error(err, r, other);
			return FALSE;
		}
	}
	return organisations_check(c, err);
}

char *
conf_limits_note(const struct conf *c)
{
	const struct conf_organisation *o, *first = NULL;
	guint i, n = 0;

	for (i = 0; (o = conf_organisation_at(c, i)) != NULL; i++) {
		if (o->rate == 0 && o->burst == 0)
			continue;
		n++;
		if (first == NULL)
			first = o;
	}
	if (n == 0)
		return NULL;
	return g_strdup_printf(
	    "[organisation %s] rate is \"%d\" and burst is \"%d\" (%u with "
	    "limits in all): ptnode does not enforce them and accepts every "
	    "request; limit callers elsewhere until it does",
	    first->res.name, first->rate, first->burst, n);
}
