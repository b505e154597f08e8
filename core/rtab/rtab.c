#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "port.h"
#include "rtab.h"

struct rtab {
	guint refs;
	gint64 version;
	GPtrArray *routes; /* struct rtab_route */
	GPtrArray *services; /* struct rtab_service */
	GHashTable *by_name; /* name -> struct rtab_service */
	GHashTable *hosts; /* host -> (prefix -> struct rtab_route) */
	GHashTable *orgs; /* name -> struct rtab_org */
	GHashTable *keys; /* struct rtab_key -> struct rtab_org */
	gboolean keys_required;
	gboolean has_limits;
	GArray *org_priorities, *route_priorities; /* int, each once, sorted */
	struct rtab_limits limits;
};

static void
route_free(void *p)
{
	struct rtab_route *r = p;
	guint i;

	for (i = 0; i < r->n_parts; i++)
		g_free(r->parts[i].service);
	g_free(r->parts);
	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_free(r);
}

static void
service_free(void *p)
{
	struct rtab_service *s = p;

	g_free(s->name);
	g_free(s->health_path);
	g_free(s);
}

static void
org_free(void *p)
{
	struct rtab_org *o = p;

	g_free(o->name);
	g_free(o);
}

static guint
key_hash(gconstpointer p)
{
	guint h;

	memcpy(&h, ((const struct rtab_key *)p)->digest, sizeof(h));
	return h;
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct rtab_key)) == 0;
}

struct rtab *
rtab_new(gint64 version)
{
	struct rtab *t = g_new0(struct rtab, 1);

	t->refs = 1;
	t->version = version;
	t->routes = g_ptr_array_new_with_free_func(route_free);
	t->services = g_ptr_array_new_with_free_func(service_free);
	t->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	t->hosts = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_hash_table_unref);
	t->orgs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, org_free);
	t->org_priorities = g_array_new(FALSE, FALSE, sizeof(int));
	t->route_priorities = g_array_new(FALSE, FALSE, sizeof(int));
	t->keys = g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
	return t;
}

struct rtab *
rtab_ref(struct rtab *t)
{
	t->refs++;
	return t;
}

void
rtab_unref(struct rtab *t)
{
	if (t == NULL || --t->refs > 0)
		return;
	g_hash_table_unref(t->hosts);
	g_hash_table_unref(t->by_name);
	g_array_unref(t->org_priorities);
	g_array_unref(t->route_priorities);
	g_hash_table_unref(t->keys);
	g_hash_table_unref(t->orgs);
	g_ptr_array_unref(t->services);
	g_ptr_array_unref(t->routes);
	g_free(t);
}

void
rtab_set_version(struct rtab *t, gint64 version)
{
	t->version = version;
}

void
rtab_add_service(struct rtab *t, const struct rtab_service *o)
{
	struct rtab_service *s = g_new0(struct rtab_service, 1);

	*s = *o;
	s->name = g_strdup(o->name);
	s->health_path = g_strdup(o->health_path);
	g_ptr_array_add(t->services, s);
	g_hash_table_replace(t->by_name, s->name, s);
}

void
rtab_add_route(struct rtab *t, const struct rtab_route *o)
{
	struct rtab_route *r = g_new0(struct rtab_route, 1);
	guint i;

	*r = *o;
	r->name = g_strdup(o->name);
	r->host = g_ascii_strdown(o->host, -1);
	r->prefix = g_strdup(o->prefix);
	r->parts = g_new0(struct rtab_part, o->n_parts);
	for (i = 0; i < o->n_parts; i++) {
		r->parts[i].service = g_strdup(o->parts[i].service);
		r->parts[i].weight = o->parts[i].weight;
	}
	g_ptr_array_add(t->routes, r);
}

void
rtab_set_limits(struct rtab *t, const struct rtab_limits *l)
{
	t->limits = *l;
}

void
rtab_require_keys(struct rtab *t)
{
	t->keys_required = TRUE;
}

void
rtab_add_org(struct rtab *t, const struct rtab_org *o,
    const struct rtab_key *keys, guint n_keys)
{
	struct rtab_org *org = g_hash_table_lookup(t->orgs, o->name);
	guint i;

	/* The values of a later entry replace those of an earlier one. */
	if (org == NULL) {
		org = g_new0(struct rtab_org, 1);
		org->name = g_strdup(o->name);
		g_hash_table_insert(t->orgs, org->name, org);
	}
	org->priority = o->priority;
	org->rate = o->rate;
	org->burst = o->burst;
	t->has_limits |= o->rate > 0;
	for (i = 0; i < n_keys; i++)
		g_hash_table_replace(
		    t->keys, g_memdup2(&keys[i], sizeof(keys[i])), org);
}

void
rtab_key_of(const char *text, struct rtab_key *k)
{
	GChecksum *c = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 whole[32];
	gsize n = sizeof(whole);

	g_checksum_update(c, (const guchar *)text, -1);
	g_checksum_get_digest(c, whole, &n);
	memcpy(k->digest, whole, sizeof(k->digest));
	g_checksum_free(c);
}

gboolean
rtab_requires_keys(const struct rtab *t)
{
	return t->keys_required;
}

gboolean
rtab_has_limits(const struct rtab *t)
{
	return t->has_limits;
}

guint
rtab_n_orgs(const struct rtab *t)
{
	return g_hash_table_size(t->orgs);
}

const struct rtab_org *
rtab_org_by_key(const struct rtab *t, const struct rtab_key *k)
{
	return g_hash_table_lookup(t->keys, k);
}

const struct rtab_org *
rtab_org(const struct rtab *t, const char *name)
{
	return g_hash_table_lookup(t->orgs, name);
}

static gboolean
route_check(const struct rtab *t, const struct rtab_route *r, GError **err)
{
	gsize n = strlen(r->prefix);
	double sum = 0;
	guint i;

	if (n == 0 || r->prefix[0] != '/' || r->prefix[n - 1] != '/') {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "route %s: prefix \"%s\" must begin and end with '/'",
		    r->name, r->prefix);
		return FALSE;
	}
	if (r->timeout <= 0 || r->attempts == 0 || r->priority < 0) {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "route %s: set timeout and attempts above 0 and "
		    "priority to at least 0",
		    r->name);
		return FALSE;
	}
	for (i = 0; i < r->n_parts; i++) {
		sum += r->parts[i].weight;
		if (rtab_service(t, r->parts[i].service) != NULL)
			continue;
		g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
		    "route %s names service %s, which is missing; declare the "
		    "service or change the route",
		    r->name, r->parts[i].service);
		return FALSE;
	}
	if (sum > 0)
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
	    "route %s has no service with a weight above 0; add a service or "
	    "raise a weight",
	    r->name);
	return FALSE;
}

/* Adds a priority to a sorted list, unless it is there. */
static void
add_priority(GArray *a, int priority)
{
	guint i = 0;

	while (i < a->len && g_array_index(a, int, i) < priority)
		i++;
	if (i == a->len || g_array_index(a, int, i) != priority)
		g_array_insert_val(a, i, priority);
}

static void
collect_priorities(struct rtab *t)
{
	const struct rtab_org *o;
	GHashTableIter it;
	gpointer p;
	guint i;

	for (i = 0; i < t->routes->len; i++) {
		const struct rtab_route *r = g_ptr_array_index(t->routes, i);

		add_priority(t->route_priorities, r->priority);
	}
	g_hash_table_iter_init(&it, t->orgs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		o = p;
		add_priority(t->org_priorities, o->priority);
	}
}

static guint
index_of(const GArray *a, int priority)
{
	guint i = 0;

	while (i < a->len && g_array_index(a, int, i) < priority)
		i++;
	return i;
}

int
rtab_rank(
    const struct rtab *t, const struct rtab_org *o, const struct rtab_route *r)
{
	guint org = o != NULL ? index_of(t->org_priorities, o->priority) : 0;

	if (!t->keys_required)
		return r->priority;
	return (int)(org * t->route_priorities->len +
		     index_of(t->route_priorities, r->priority));
}

guint
rtab_n_ranks(const struct rtab *t)
{
	return t->keys_required
		   ? MAX(t->org_priorities->len, 1) * t->route_priorities->len
		   : 0;
}

gboolean
rtab_build(struct rtab *t, GError **err)
{
	struct rtab_route *r;
	GHashTable *prefixes;
	guint i;

	collect_priorities(t);

	for (i = 0; i < t->routes->len; i++) {
		r = g_ptr_array_index(t->routes, i);
		if (!route_check(t, r, err))
			return FALSE;
		prefixes = g_hash_table_lookup(t->hosts, r->host);
		if (prefixes == NULL) {
			prefixes = g_hash_table_new(g_str_hash, g_str_equal);
			g_hash_table_insert(t->hosts, r->host, prefixes);
		}
		g_hash_table_replace(prefixes, r->prefix, r);
	}
	return TRUE;
}

gint64
rtab_version(const struct rtab *t)
{
	return t->version;
}

const struct rtab_limits *
rtab_limits(const struct rtab *t)
{
	return &t->limits;
}

guint
rtab_n_routes(const struct rtab *t)
{
	return t->routes->len;
}

const struct rtab_service *
rtab_service(const struct rtab *t, const char *name)
{
	return g_hash_table_lookup(t->by_name, name);
}

const struct rtab_service *
rtab_service_at(const struct rtab *t, guint i)
{
	return i < t->services->len ? g_ptr_array_index(t->services, i) : NULL;
}

/* Returns the host without its port, in lower case. */
static char *
host_name(const char *host)
{
	const char *colon = strrchr(host, ':');

	return g_ascii_strdown(host, colon != NULL ? colon - host : -1);
}

const struct rtab_route *
rtab_match(const struct rtab *t, const char *host, const char *target)
{
	const struct rtab_route *r = NULL;
	GHashTable *prefixes;
	char *h, *path, *end;

	h = host_name(host);
	prefixes = g_hash_table_lookup(t->hosts, h);
	g_free(h);
	if (prefixes == NULL)
		return NULL;
	path = g_strndup(target, strcspn(target, "?#"));
	while (r == NULL && (end = strrchr(path, '/')) != NULL) {
		end[1] = '\0';
		r = g_hash_table_lookup(prefixes, path);
		end[0] = '\0';
	}
	g_free(path);
	return r;
}

static gboolean
leads_to(const struct rtab_route *r, const char *service)
{
	guint i;

	for (i = 0; i < r->n_parts; i++)
		if (strcmp(r->parts[i].service, service) == 0)
			return TRUE;
	return FALSE;
}

gint64
rtab_longest_timeout(const struct rtab *t, const char *service)
{
	const struct rtab_route *r;
	gint64 longest = 0;
	guint i;

	for (i = 0; i < t->routes->len; i++) {
		r = g_ptr_array_index(t->routes, i);
		if (r->timeout > longest && leads_to(r, service))
			longest = r->timeout;
	}
	return longest;
}
