/* Findings about declarations: errors, and entries that have no effect. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"

/* SHA-256 of the empty text, which is the hash of a variable that is not set.
 */
#define EMPTY_HASH \
	"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

struct check {
	GPtrArray *list; /* struct conf_finding */
	struct conf *merged; /* declared resources have version 0 */
	gboolean whole;
};

static void
finding_free(gpointer p)
{
	struct conf_finding *f = p;

	g_free(f->text);
	g_free(f);
}

static void
add(struct check *k, gboolean error, char *text)
{
	struct conf_finding *f = g_new0(struct conf_finding, 1);

	f->error = error;
	f->text = text;
	g_ptr_array_add(k->list, f);
}

static void
add_error(struct check *k, GError *err)
{
	add(k, TRUE, g_strdup(err->message));
	g_error_free(err);
}

static gboolean
declared(const struct conf_res *r)
{
	return r->vers == 0;
}

/* Returns the declared resources and those of the base that they do not set. */
static struct conf *
merge(const struct decl *d, const struct conf *base)
{
	struct conf *c = conf_new();
	const struct conf_res *r;
	guint i;
	int k;

	for (i = 0; i < d->n; i++)
		conf_insert(c, conf_res_new(d->res[i].kind, d->res[i].name, 0,
				   d->res[i].body, NULL));
	for (k = 0; base != NULL && k < CONF_KINDS; k++)
		for (i = 0; i < base->res[k]->len; i++) {
			r = base->res[k]->pdata[i];
			if (conf_find(c, r->kind, r->name) == NULL)
				conf_insert(c, conf_res_new(r->kind, r->name,
						   r->vers, r->body, NULL));
		}
	for (k = 0; k < CONF_KINDS; k++)
		for (i = 0; i < c->res[k]->len; i++)
			conf_resolve(c, c->res[k]->pdata[i]);
	conf_index_routes(c);
	conf_index_keys(c);
	return c;
}

/* A part of the declarations may refer to resources that the mesh holds. */
static void
missing(struct check *k, const struct conf_res *r, const char *key,
    pt_kind kind, const char *target)
{
	char g[CONF_GROUP_MAX];
	GError *err = NULL;

	if (k->whole) {
		conf_reference_error(&err, r, key, kind, target);
		add_error(k, err);
		return;
	}
	add(k, FALSE,
	    g_strdup_printf("%s %s is \"%s\", which this file does not "
			    "declare; declare [%s %s], or give --node to look "
			    "it up in the mesh",
		conf_group(r->kind, r->name, g), key, target,
		conf_kind_name(kind), target));
}

/* Clients resolve such segments before they send a request. */
static gboolean
has_dot_segment(const char *path)
{
	char **parts = g_strsplit(path, "/", -1);
	gboolean found = g_strv_contains((const char *const *)parts, ".") ||
			 g_strv_contains((const char *const *)parts, "..");

	g_strfreev(parts);
	return found;
}

static void
check_route(struct check *k, const struct conf_route *r)
{
	const char *name = r->res.name;

	if (r->service == NULL)
		missing(
		    k, &r->res, "service", PT_KIND_SERVICE, r->service_name);
	if (r->rank == NULL)
		missing(k, &r->res, "rank", PT_KIND_RANK, r->rank_name);
	if (has_dot_segment(r->path))
		add(k, FALSE,
		    g_strdup_printf("[route %s] path is \"%s\" and never "
				    "matches, as clients resolve the segments "
				    ". and ..; give the resolved path",
			name, r->path));
	if (r->rank != NULL && r->rank->target_ms > r->timeout_ms)
		add(k, FALSE,
		    g_strdup_printf("[route %s] timeout_ms is \"%d\", below "
				    "target_ms \"%d\" of [rank %s]; raise the "
				    "timeout or lower the target",
			name, r->timeout_ms, r->rank->target_ms, r->rank_name));
	if (r->open && k->whole && conf_organisation_at(k->merged, 0) == NULL)
		add(k, FALSE,
		    g_strdup_printf("[route %s] open is \"yes\" and has no "
				    "effect, as no organisation is declared; "
				    "remove it or declare an organisation",
			name));
}

/* Reports a path that two routes have, once. */
static void
check_path(struct check *k, const struct conf_route *r)
{
	const struct conf_route *other;
	GError *err = NULL;

	other = conf_path_find(k->merged, r->path, strlen(r->path), r->hash);
	if (other == r || (!declared(&r->res) && !declared(&other->res)))
		return;
	conf_path_error(&err, r, other);
	add_error(k, err);
}

static void
check_limits(struct check *k, const struct conf_organisation *o)
{
	if (o->rate == 0 && o->burst > 0)
		add(k, FALSE,
		    g_strdup_printf("[organisation %s] burst is \"%d\" and has "
				    "no effect, as rate 0 means no limit; give "
				    "a rate or remove the burst",
			o->res.name, o->burst));
	if (o->rate > 0 && o->burst == 0)
		add(k, FALSE,
		    g_strdup_printf("[organisation %s] rate is \"%d\" and "
				    "burst is \"0\", which leaves no room for "
				    "a single request; give a burst of at "
				    "least 1",
			o->res.name, o->rate));
}

static void
check_organisation(struct check *k, const struct conf_organisation *o)
{
	if (o->priority_name != NULL && o->priority == NULL)
		missing(k, &o->res, "priority", PT_KIND_RANK, o->priority_name);
	if (strstr(o->keys, EMPTY_HASH) != NULL)
		add(k, FALSE,
		    g_strdup_printf("[organisation %s] keys has the hash of "
				    "the empty text, which never matches; hash "
				    "the key again",
			o->res.name));
	check_limits(k, o);
}

/* Reports the keys that two organisations have, once each. */
static void
check_keys(struct check *k, const struct conf_organisation *o)
{
	const struct conf_organisation *other;
	GError *err = NULL;
	guint i;

	for (i = 0; i < o->n_keys; i++) {
		other = conf_organisation_by_key(k->merged, o->digests[i]);
		if (other == o ||
		    (!declared(&o->res) && !declared(&other->res)))
			continue;
		conf_key_error(&err, o, i, other);
		add_error(k, g_steal_pointer(&err));
	}
}

/* Reports declared ranks or services that nothing refers to. */
static void
check_unused(struct check *k, pt_kind kind)
{
	const GPtrArray *all = k->merged->res[kind];
	GHashTable *used = g_hash_table_new(NULL, NULL);
	const struct conf_organisation *o;
	const struct conf_route *r;
	struct conf_res *res;
	guint i;

	for (i = 0; (r = conf_route_at(k->merged, i)) != NULL; i++) {
		g_hash_table_add(used, (void *)r->rank);
		g_hash_table_add(used, (void *)r->service);
	}
	for (i = 0; (o = conf_organisation_at(k->merged, i)) != NULL; i++)
		g_hash_table_add(used, (void *)o->priority);
	for (i = 0; i < all->len; i++) {
		res = all->pdata[i];
		if (!declared(res) || g_hash_table_contains(used, res))
			continue;
		add(k, FALSE,
		    g_strdup_printf(
			"[%s %s] is used by no route%s; remove it or name it "
			"in a route",
			conf_kind_name(kind), res->name,
			kind == PT_KIND_RANK ? " or organisation" : ""));
	}
	g_hash_table_unref(used);
}

static void
check_ranks(struct check *k)
{
	const GPtrArray *ranks = k->merged->res[PT_KIND_RANK];
	const struct conf_mesh *m = conf_mesh(k->merged);
	const struct conf_rank *r;
	GError *err = NULL;
	guint i;

	if (ranks->len > PT_RANKS_MAX)
		add(k, TRUE,
		    g_strdup_printf("%u ranks; remove some, %d can exist",
			ranks->len, PT_RANKS_MAX));
	else if (!conf_ranks_check(
		     (const struct conf_rank *const *)ranks->pdata, ranks->len,
		     &err))
		add_error(k, err);
	for (i = 0; (r = conf_rank_at(k->merged, i)) != NULL; i++)
		if (m->urgency == 100 && r->floor > 0 &&
		    (declared(&r->res) || declared(&m->res)))
			add(k, FALSE,
			    g_strdup_printf("[rank %s] floor is \"%d\" and has "
					    "no effect, as [mesh] urgency is "
					    "\"100\"; lower the urgency or "
					    "remove the floor",
				r->res.name, r->floor));
}

static void
check_all(struct check *k)
{
	const struct conf_organisation *o;
	const struct conf_route *r;
	char *note = conf_limits_note(k->merged);
	guint i;

	check_ranks(k);
	for (i = 0; (r = conf_route_at(k->merged, i)) != NULL; i++) {
		if (declared(&r->res))
			check_route(k, r);
		check_path(k, r);
	}
	for (i = 0; (o = conf_organisation_at(k->merged, i)) != NULL; i++) {
		if (declared(&o->res))
			check_organisation(k, o);
		check_keys(k, o);
	}
	/* A file without routes is one of several. */
	if (k->whole || conf_route_at(k->merged, 0) != NULL) {
		check_unused(k, PT_KIND_RANK);
		check_unused(k, PT_KIND_SERVICE);
	}
	if (note != NULL)
		add(k, FALSE, note);
	if (conf_count(k->merged) > PT_RESOURCES_MAX)
		add(k, TRUE,
		    g_strdup_printf("%u resources; remove some, %d can exist",
			conf_count(k->merged), PT_RESOURCES_MAX));
}

GPtrArray *
conf_findings(const struct decl *d, const struct conf *base, gboolean whole)
{
	struct check k = { 0 };

	k.list = g_ptr_array_new_with_free_func(finding_free);
	k.merged = merge(d, base);
	k.whole = whole;
	check_all(&k);
	conf_unref(k.merged);
	return k.list;
}
