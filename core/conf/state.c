/* The evaluated configuration: resources by kind and name, outcomes by id. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"

#define URGENCY_DEFAULT 50

static guint
id_hash(gconstpointer p)
{
	guint h;

	/* Ids are random, so any four of their bytes serve as a hash. */
	memcpy(&h, p, sizeof(h));
	return h;
}

static gboolean
id_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, PT_ID_LEN) == 0;
}

guint
conf_digest_hash(gconstpointer p)
{
	guint h;

	/* Any four bytes of a SHA-256 serve as a hash. */
	memcpy(&h, p, sizeof(h));
	return h;
}

gboolean
conf_digest_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, PT_DIGEST_LEN) == 0;
}

static void
outcome_free(gpointer p)
{
	struct conf_outcome *o = p;

	g_free(o->text);
	g_free(o);
}

static void
res_free(gpointer p)
{
	conf_res_free(p);
}

struct conf *
conf_new(void)
{
	struct conf *c;
	int k;

	c = g_new0(struct conf, 1);
	c->refs = 1;
	for (k = 0; k < CONF_KINDS; k++)
		c->res[k] = g_ptr_array_new_with_free_func(res_free);
	c->mesh.res.kind = PT_KIND_MESH;
	c->mesh.res.name = (char *)"mesh";
	c->mesh.res.body = (char *)"";
	c->mesh.urgency = URGENCY_DEFAULT;
	c->outcomes =
	    g_hash_table_new_full(id_hash, id_equal, NULL, outcome_free);
	c->keys = g_hash_table_new(conf_digest_hash, conf_digest_equal);
	conf_index_routes(c);
	return c;
}

struct conf *
conf_ref(struct conf *c)
{
	c->refs++;
	return c;
}

void
conf_unref(struct conf *c)
{
	int k;

	if (c == NULL || --c->refs > 0)
		return;
	for (k = 0; k < CONF_KINDS; k++)
		g_ptr_array_unref(c->res[k]);
	g_hash_table_unref(c->keys);
	g_hash_table_unref(c->outcomes);
	g_free(c->slots);
	g_free(c);
}

gint64
conf_version(const struct conf *c)
{
	return c->vers;
}

gint64
conf_position(const struct conf *c)
{
	return c->position;
}

/* Index of the first resource whose name does not sort before "name". */
static guint
lower_bound(const GPtrArray *a, const char *name)
{
	const struct conf_res *r;
	guint lo = 0, hi = a->len, mid;

	while (lo < hi) {
		mid = lo + (hi - lo) / 2;
		r = a->pdata[mid];
		if (strcmp(r->name, name) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

struct conf_res *
conf_find(const struct conf *c, pt_kind kind, const char *name)
{
	const GPtrArray *a = c->res[kind];
	struct conf_res *r;
	guint i;

	i = lower_bound(a, name);
	if (i == a->len)
		return NULL;
	r = a->pdata[i];
	return strcmp(r->name, name) == 0 ? r : NULL;
}

void
conf_insert(struct conf *c, struct conf_res *r)
{
	GPtrArray *a = c->res[r->kind];

	g_ptr_array_insert(a, (gint)lower_bound(a, r->name), r);
}

void
conf_remove(struct conf *c, struct conf_res *r)
{
	GPtrArray *a = c->res[r->kind];

	g_ptr_array_remove_index(a, lower_bound(a, r->name));
}

guint
conf_count(const struct conf *c)
{
	guint n = 0;
	int k;

	for (k = 0; k < CONF_KINDS; k++)
		n += c->res[k]->len;
	return n;
}

static const void *
res_at(const struct conf *c, pt_kind kind, guint i)
{
	return i < c->res[kind]->len ? c->res[kind]->pdata[i] : NULL;
}

const struct conf_mesh *
conf_mesh(const struct conf *c)
{
	const struct conf_mesh *m = res_at(c, PT_KIND_MESH, 0);

	return m != NULL ? m : &c->mesh;
}

const struct conf_rank *
conf_rank(const struct conf *c, const char *name)
{
	return (const struct conf_rank *)conf_find(c, PT_KIND_RANK, name);
}

const struct conf_service *
conf_service(const struct conf *c, const char *name)
{
	return (const struct conf_service *)conf_find(c, PT_KIND_SERVICE, name);
}

const struct conf_route *
conf_route(const struct conf *c, const char *name)
{
	return (const struct conf_route *)conf_find(c, PT_KIND_ROUTE, name);
}

const struct conf_organisation *
conf_organisation(const struct conf *c, const char *name)
{
	return (const struct conf_organisation *)conf_find(
	    c, PT_KIND_ORGANISATION, name);
}

const struct conf_rank *
conf_rank_at(const struct conf *c, guint i)
{
	return res_at(c, PT_KIND_RANK, i);
}

const struct conf_service *
conf_service_at(const struct conf *c, guint i)
{
	return res_at(c, PT_KIND_SERVICE, i);
}

const struct conf_route *
conf_route_at(const struct conf *c, guint i)
{
	return res_at(c, PT_KIND_ROUTE, i);
}

const struct conf_organisation *
conf_organisation_at(const struct conf *c, guint i)
{
	return res_at(c, PT_KIND_ORGANISATION, i);
}

const struct conf_outcome *
conf_outcome_find(const struct conf *c, const char *id)
{
	return g_hash_table_lookup(c->outcomes, id);
}

gboolean
conf_outcome(
    const struct conf *c, const char id[PT_ID_LEN], struct pt_outcome *out)
{
	const struct conf_outcome *o;

	o = conf_outcome_find(c, id);
	if (o == NULL)
		return FALSE;
	memcpy(out->id, o->id, PT_ID_LEN);
	out->offset = o->offset;
	out->kind = o->kind;
	out->text = o->text != NULL ? o->text : (char *)"";
	return TRUE;
}

void
conf_outcome_add(struct conf *c, const char *id, gint64 offset,
    enum pt_verdict_kind kind, const char *text)
{
	struct conf_outcome *o;

	if (g_hash_table_size(c->outcomes) == PT_OUTCOMES_MAX) {
		o = c->oldest;
		c->oldest = o->next;
		g_hash_table_remove(c->outcomes, o->id);
	}
	o = g_new0(struct conf_outcome, 1);
	memcpy(o->id, id, PT_ID_LEN);
	o->offset = offset;
	o->kind = kind;
	o->text = *text != '\0' ? g_strdup(text) : NULL;
	if (c->oldest == NULL)
		c->oldest = o;
	else
		c->newest->next = o;
	c->newest = o;
	g_hash_table_insert(c->outcomes, o->id, o);
}
