/*
 * Route lookup by path, in an open-addressing table keyed by a prefix hash, and
 * lookup of organisations by key.
 */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"

/* FNV-1a: while a path is hashed byte by byte, each prefix's hash is known. */
#define FNV_BASIS 2166136261U
#define FNV_PRIME 16777619U
#define SLOTS_MIN 16

guint
conf_path_hash(const char *path)
{
	guint h = FNV_BASIS;

	for (; *path != '\0'; path++)
		h = (h ^ (guchar)*path) * FNV_PRIME;
	return h;
}

static void
index_route(struct conf *c, struct conf_route *r)
{
	guint i;

	for (i = r->hash & c->mask; c->slots[i] != NULL; i = (i + 1) & c->mask)
		;
	c->slots[i] = r;
	c->longest_path = MAX(c->longest_path, strlen(r->path));
	if (strcmp(r->path, "/") == 0)
		c->root = r;
}

/* Rebuilds the table with at most half of its slots in use. */
void
conf_index_routes(struct conf *c)
{
	const GPtrArray *a = c->res[PT_KIND_ROUTE];
	guint i, size = SLOTS_MIN;

	while (size < 2 * a->len)
		size *= 2;
	g_free(c->slots);
	c->slots = g_new0(struct conf_route *, size);
	c->mask = size - 1;
	c->longest_path = 0;
	c->root = NULL;
	for (i = 0; i < a->len; i++)
		index_route(c, a->pdata[i]);
}

const struct conf_route *
conf_path_find(const struct conf *c, const char *path, gsize len, guint hash)
{
	const struct conf_route *r;
	guint i;

	for (i = hash & c->mask; (r = c->slots[i]) != NULL;
	     i = (i + 1) & c->mask)
		if (r->hash == hash && strncmp(r->path, path, len) == 0 &&
		    r->path[len] == '\0')
			return r;
	return NULL;
}

const struct conf_route *
conf_route_match(const struct conf *c, const char *path)
{
	const struct conf_route *best, *r;
	guint h = FNV_BASIS;
	gsize i;
	gboolean end;

	if (*path != '/')
		return NULL;
	best = c->root;
	for (i = 0; i <= c->longest_path; i++) {
		end = path[i] == '\0' || path[i] == '?' || path[i] == '#';
		if (i > 0 && (end || path[i] == '/')) {
			r = conf_path_find(c, path, i, h);
			best = r != NULL ? r : best;
		}
		if (end)
			break;
		h = (h ^ (guchar)path[i]) * FNV_PRIME;
	}
	return best;
}

/* Rebuilds the table; of organisations with the same key the first is kept. */
void
conf_index_keys(struct conf *c)
{
	const GPtrArray *a = c->res[PT_KIND_ORGANISATION];
	struct conf_organisation *o;
	guint i, k;

	g_hash_table_remove_all(c->keys);
	for (i = 0; i < a->len; i++) {
		o = a->pdata[i];
		for (k = 0; k < o->n_keys; k++)
			if (!g_hash_table_contains(c->keys, o->digests[k]))
				g_hash_table_insert(c->keys, o->digests[k], o);
	}
}

const struct conf_organisation *
conf_organisation_by_key(const struct conf *c, const char digest[PT_DIGEST_LEN])
{
	return g_hash_table_lookup(c->keys, digest);
}

gboolean
conf_resolve_organisation(const struct conf *c, struct conf_organisation *o)
{
	if (o->priority_name == NULL)
		return TRUE;
	o->priority = conf_rank(c, o->priority_name);
	return o->priority != NULL;
}

gboolean
conf_resolve(const struct conf *c, struct conf_res *r)
{
	if (r->kind == PT_KIND_ROUTE)
		return conf_resolve_route(c, (struct conf_route *)r);
	if (r->kind == PT_KIND_ORGANISATION)
		return conf_resolve_organisation(
		    c, (struct conf_organisation *)r);
	return TRUE;
}

gboolean
conf_resolve_route(const struct conf *c, struct conf_route *r)
{
	r->service = conf_service(c, r->service_name);
	r->rank = conf_rank(c, r->rank_name);
	return r->service != NULL && r->rank != NULL;
}
