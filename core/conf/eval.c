/*
 * Evaluation of one record.  The operations of a change are staged and checked
 * without modifying the configuration, then applied as a whole.
 */
#include <glib.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"

/* An operation of the change under evaluation. */
struct staged_op {
	const struct pt_op *op;
	struct conf_res *next; /* NULL: removal */
	struct conf_res *cur; /* NULL: does not exist yet */
};

/* The change under evaluation; operations are sorted by kind and name. */
struct staged_change {
	struct conf *conf;
	struct staged_op *ops;
	guint n;
};

static int
staged_cmp(const void *a, const void *b)
{
	const struct pt_op *x = ((const struct staged_op *)a)->op;
	const struct pt_op *y = ((const struct staged_op *)b)->op;

	if (x->kind != y->kind)
		return x->kind < y->kind ? -1 : 1;
	return strcmp(x->name, y->name);
}

static const struct staged_op *
find_staged(const struct staged_change *t, pt_kind kind, const char *name)
{
	struct pt_op op = { 0 };
	struct staged_op key = { &op, NULL, NULL };

	op.kind = kind;
	op.name = (char *)name;
	return bsearch(&key, t->ops, t->n, sizeof(key), staged_cmp);
}

/* Looks up a resource as it will be after the change, NULL for none. */
static const struct conf_res *
res_after(const struct staged_change *t, pt_kind kind, const char *name)
{
	const struct staged_op *s = find_staged(t, kind, name);

	return s != NULL ? s->next : conf_find(t->conf, kind, name);
}

static gboolean
stage_op(struct staged_change *t, struct staged_op *s, GError **err)
{
	const struct pt_op *op = s->op;
	char g[CONF_GROUP_MAX];

	if (!conf_name_check(op->kind, op->name, err))
		return FALSE;
	s->cur = conf_find(t->conf, op->kind, op->name);
	if (s > t->ops && staged_cmp(s - 1, s) == 0) {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "%s is changed twice; give one operation for each "
		    "resource",
		    conf_group(op->kind, op->name, g));
		return FALSE;
	}
	if (op->remove && op->base == 0) {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "removal of %s has base version 0; give the version "
		    "to remove",
		    conf_group(op->kind, op->name, g));
		return FALSE;
	}
	if (op->remove)
		return TRUE;
	s->next = conf_res_new(op->kind, op->name, 0, op->body, err);
	return s->next != NULL;
}

/* Detects an operation whose base is not the current version. */
static gboolean
base_check(
    const struct staged_change *t, const struct staged_op *s, GError **err)
{
	const struct pt_op *op = s->op;
	char g[CONF_GROUP_MAX];

	if (op->base == (s->cur != NULL ? s->cur->vers : 0) ||
	    PT_MUTANT(MUTANT_BASE_IGNORED))
		return TRUE;
	if (s->cur != NULL)
		g_set_error(err, PT_ERROR, PT_ERROR_CONFLICT,
		    "%s is at version %" G_GINT64_FORMAT
		    ", this change is based on %" G_GINT64_FORMAT
		    "; get the configuration and apply again",
		    conf_group(op->kind, op->name, g), s->cur->vers,
		    (gint64)op->base);
	else
		g_set_error(err, PT_ERROR, PT_ERROR_CONFLICT,
		    "%s does not exist at version %" G_GINT64_FORMAT
		    ", this change is based on %" G_GINT64_FORMAT
		    "; get the configuration and apply again",
		    conf_group(op->kind, op->name, g), t->conf->vers,
		    (gint64)op->base);
	return FALSE;
}

static gboolean
path_check(
    const struct staged_change *t, const struct staged_op *s, GError **err)
{
	const struct conf_route *r = (const struct conf_route *)s->next;
	const struct conf_route *o;
	const struct staged_op *p;

	o = conf_path_find(t->conf, r->path, strlen(r->path), r->hash);
	if (o != NULL && find_staged(t, PT_KIND_ROUTE, o->res.name) == NULL) {
		conf_path_error(err, r, o);
		return FALSE;
	}
	for (p = s + 1; p < t->ops + t->n; p++) {
		o = (const struct conf_route *)p->next;
		if (o != NULL && o->hash == r->hash &&
		    strcmp(o->path, r->path) == 0) {
			conf_path_error(err, o, r);
			return FALSE;
		}
	}
	return TRUE;
}

static gboolean
route_check(
    const struct staged_change *t, const struct staged_op *s, GError **err)
{
	const struct conf_route *r = (const struct conf_route *)s->next;

	if (PT_MUTANT(MUTANT_REFERENCE_IGNORED))
		return TRUE;
	if (res_after(t, PT_KIND_SERVICE, r->service_name) == NULL) {
		conf_reference_error(
		    err, &r->res, "service", PT_KIND_SERVICE, r->service_name);
		return FALSE;
	}
	if (res_after(t, PT_KIND_RANK, r->rank_name) == NULL) {
		conf_reference_error(
		    err, &r->res, "rank", PT_KIND_RANK, r->rank_name);
		return FALSE;
	}
	return path_check(t, s, err);
}

/* Rejects a rank that does not exist, and keys of another organisation. */
static gboolean
organisation_check(const struct staged_change *t, const struct staged_op *s,
    GHashTable *staged_keys, GError **err)
{
	struct conf_organisation *o = (struct conf_organisation *)s->next;
	const struct conf_organisation *other;
	guint i;

	if (o->priority_name != NULL &&
	    res_after(t, PT_KIND_RANK, o->priority_name) == NULL) {
		conf_reference_error(
		    err, &o->res, "priority", PT_KIND_RANK, o->priority_name);
		return FALSE;
	}
	for (i = 0; i < o->n_keys; i++) {
		other = conf_organisation_by_key(t->conf, o->digests[i]);
		if (other != NULL && find_staged(t, PT_KIND_ORGANISATION,
					 other->res.name) != NULL)
			other = NULL;
		if (other == NULL)
			other = g_hash_table_lookup(staged_keys, o->digests[i]);
		if (other != NULL) {
			conf_key_error(err, o, i, other);
			return FALSE;
		}
		g_hash_table_insert(staged_keys, o->digests[i], o);
	}
	return TRUE;
}

static gboolean
organisations_check(const struct staged_change *t, GError **err)
{
	GHashTable *staged_keys =
	    g_hash_table_new(conf_digest_hash, conf_digest_equal);
	const struct staged_op *s;
	gboolean ok = TRUE;

	for (s = t->ops; ok && s < t->ops + t->n; s++)
		if (s->op->kind == PT_KIND_ORGANISATION && s->next != NULL)
			ok = organisation_check(t, s, staged_keys, err);
	g_hash_table_unref(staged_keys);
	return ok;
}

static void
removal_error(GError **err, const struct conf_res *r, const char *key,
    const struct staged_op *s)
{
	char g[CONF_GROUP_MAX];

	g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
	    "%s %s is \"%s\", which this change removes; "
	    "change or remove the %s too",
	    conf_group(r->kind, r->name, g), key, s->op->name,
	    conf_kind_name(r->kind));
}

/* Rejects removal of a rank that an unchanged organisation refers to. */
static gboolean
priority_check(
    const struct staged_change *t, const struct staged_op *s, GError **err)
{
	const struct conf_organisation *o;
	guint i;

	for (i = 0; (o = conf_organisation_at(t->conf, i)) != NULL; i++) {
		if (o->priority == NULL || &o->priority->res != s->cur ||
		    find_staged(t, PT_KIND_ORGANISATION, o->res.name) != NULL)
			continue;
		removal_error(err, &o->res, "priority", s);
		return FALSE;
	}
	return TRUE;
}

/*
 * Rejects removal of a service or rank that an unchanged route or organisation
 * refers to.
 */
static gboolean
removal_check(
    const struct staged_change *t, const struct staged_op *s, GError **err)
{
	const struct conf_route *r;
	const struct conf_res *target;
	guint i;

	for (i = 0; (r = conf_route_at(t->conf, i)) != NULL; i++) {
		target = s->op->kind == PT_KIND_RANK ? &r->rank->res
						     : &r->service->res;
		if (target != s->cur ||
		    find_staged(t, PT_KIND_ROUTE, r->res.name) != NULL)
			continue;
		removal_error(err, &r->res, conf_kind_name(s->op->kind), s);
		return FALSE;
	}
	return s->op->kind != PT_KIND_RANK || priority_check(t, s, err);
}

static gboolean
ranks_check(const struct staged_change *t, GError **err)
{
	const struct conf_rank *list[PT_RANKS_MAX], *r;
	const struct conf_res *res;
	const struct staged_op *s;
	guint i, n = 0;

	for (i = 0; (r = conf_rank_at(t->conf, i)) != NULL; i++) {
		s = find_staged(t, PT_KIND_RANK, r->res.name);
		res = s != NULL ? s->next : &r->res;
		if (res != NULL)
			list[n++] = (const struct conf_rank *)res;
	}
	for (s = t->ops; s < t->ops + t->n; s++) {
		if (s->op->kind != PT_KIND_RANK || s->cur != NULL)
			continue;
		if (n == PT_RANKS_MAX) {
			g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
			    "[rank %s] is one rank too many; remove another, "
			    "%d can exist",
			    s->op->name, PT_RANKS_MAX);
			return FALSE;
		}
		list[n++] = (const struct conf_rank *)s->next;
	}
	return conf_ranks_check(list, n, err);
}

static gboolean
count_check(const struct staged_change *t, GError **err)
{
	guint i, n;

	n = conf_count(t->conf);
	for (i = 0; i < t->n; i++) {
		n += t->ops[i].cur == NULL;
		n -= t->ops[i].next == NULL;
	}
	if (n <= PT_RESOURCES_MAX)
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
	    "the change leaves %u resources; remove some, %d can exist", n,
	    PT_RESOURCES_MAX);
	return FALSE;
}

static gboolean
references_check(const struct staged_change *t, GError **err)
{
	const struct staged_op *s;
	gboolean ok = TRUE, ranks = FALSE;

	for (s = t->ops; ok && s < t->ops + t->n; s++) {
		ranks = ranks || s->op->kind == PT_KIND_RANK;
		if (s->op->kind == PT_KIND_ROUTE)
			ok = s->next == NULL || route_check(t, s, err);
		else if ((s->op->kind == PT_KIND_RANK ||
			     s->op->kind == PT_KIND_SERVICE) &&
			 s->next == NULL)
			ok = removal_check(t, s, err);
	}
	return ok && organisations_check(t, err) &&
	       (!ranks || ranks_check(t, err)) && count_check(t, err);
}

/* Stages and checks the change; the configuration is not modified. */
static enum pt_verdict_kind
check_change(struct staged_change *t, GError **err)
{
	guint i;

	if (t->n == 0) {
		g_set_error_literal(err, PT_ERROR, PT_ERROR_PARSE,
		    "the change has no operations; declare a difference");
		return PT_INVALID;
	}
	for (i = 0; i < t->n; i++)
		if (!stage_op(t, &t->ops[i], err))
			return PT_INVALID;
	for (i = 0; i < t->n; i++)
		if (!base_check(t, &t->ops[i], err))
			return PT_CONFLICT;
	return references_check(t, err) ? PT_ACCEPTED : PT_INVALID;
}

/* TRUE if the operation adds or removes a route or changes its path. */
static gboolean
changes_path(const struct staged_op *s)
{
	if (s->op->kind != PT_KIND_ROUTE)
		return FALSE;
	return s->cur == NULL || s->next == NULL ||
	       strcmp(((const struct conf_route *)s->cur)->path,
		   ((const struct conf_route *)s->next)->path) != 0;
}

/*
 * Sets resources in order of kind, so that references to ranks and services
 * resolve,
 * then removes in reverse order, so that routes and organisations are removed
 * before the ranks and services that they refer to.
 */
static void
apply(struct staged_change *t, gint64 offset)
{
	struct conf *c = t->conf;
	struct staged_op *s;
	gboolean reindex = FALSE, keys = FALSE;

	for (s = t->ops; s < t->ops + t->n; s++) {
		reindex = reindex || changes_path(s);
		keys = keys || s->op->kind == PT_KIND_ORGANISATION;
		if (s->next == NULL)
			continue;
		s->next->vers = offset;
		if (s->cur != NULL) {
			conf_res_swap(s->cur, s->next);
		} else {
			conf_insert(c, s->next);
			s->cur = s->next;
			s->next = NULL;
		}
		conf_resolve(c, s->cur);
	}
	for (s = t->ops + t->n; s-- > t->ops;)
		if (s->op->remove)
			conf_remove(c, s->cur);
	if (reindex)
		conf_index_routes(c);
	if (keys)
		conf_index_keys(c);
	c->vers = offset;
}

static enum pt_verdict_kind
eval_change(struct conf *c, const struct pt_change *change, gint64 offset,
    char text[CONF_TEXT_MAX])
{
	struct staged_change t = { c, NULL, change->ops.ops_len };
	enum pt_verdict_kind kind;
	GError *err = NULL;
	guint i;

	t.ops = g_new0(struct staged_op, t.n);
	for (i = 0; i < t.n; i++)
		t.ops[i].op = &change->ops.ops_val[i];
	if (t.n > 0)
		qsort(t.ops, t.n, sizeof(*t.ops), staged_cmp);
	kind = check_change(&t, &err);
	if (kind == PT_ACCEPTED)
		apply(&t, offset);
	else
		g_strlcpy(text, err->message, CONF_TEXT_MAX);
	g_clear_error(&err);
	for (i = 0; i < t.n; i++)
		conf_res_free(t.ops[i].next);
	g_free(t.ops);
	return kind;
}

/* Decodes a record; on failure sets the text and leaves nothing to free. */
static gboolean
decode(GBytes *record, struct pt_change *change, char text[CONF_TEXT_MAX])
{
	guint i;

	memset(change, 0, sizeof(*change));
	if (g_bytes_get_size(record) > PT_RECORD_MAX ||
	    !conf_decode_canonical(
		(xdrproc_t)xdr_pt_change, change, sizeof(*change), record)) {
		g_strlcpy(text,
		    "the record is not a change set in canonical form",
		    CONF_TEXT_MAX);
		return FALSE;
	}
	if (change->proto != PT_RECORD)
		g_snprintf(text, CONF_TEXT_MAX,
		    "the record uses protocol version %d, this node %d",
		    change->proto, PT_RECORD);
	for (i = 0; i < change->ops.ops_len; i++)
		if ((guint)change->ops.ops_val[i].kind >= CONF_KINDS)
			g_snprintf(text, CONF_TEXT_MAX,
			    "operation %u has unknown kind %d", i,
			    (int)change->ops.ops_val[i].kind);
	if (*text == '\0')
		return TRUE;
	xdr_free((xdrproc_t)xdr_pt_change, (char *)change);
	return FALSE;
}

void
conf_skip(struct conf *c, gint64 position)
{
	if (position <= c->position)
		return;
	c->position = position;
	c->digest_valid = FALSE;
}

struct conf_verdict
conf_eval(struct conf *c, gint64 offset, GBytes *record)
{
	struct conf_verdict v = { 0 };
	struct pt_change change;
	const struct conf_outcome *o;

	v.offset = offset;
	v.kind = PT_MALFORMED;
	if (offset != c->position + 1) {
		v.kind = PT_DUPLICATE;
		g_snprintf(v.text, sizeof(v.text),
		    "offset %" G_GINT64_FORMAT " does not follow position "
		    "%" G_GINT64_FORMAT,
		    offset, c->position);
		return v;
	}
	v.evaluated = TRUE;
	c->position = offset;
	c->digest_valid = FALSE;
	if (!decode(record, &change, v.text)) {
		if (PT_MUTANT(MUTANT_POSITION_KEPT))
			c->position--;
		return v;
	}
	v.has_id = TRUE;
	memcpy(v.id, change.id, PT_ID_LEN);
	o = conf_outcome_find(c, change.id);
	if (o != NULL) {
		v.kind = PT_DUPLICATE;
		g_snprintf(v.text, sizeof(v.text),
		    "the change was evaluated at offset %" G_GINT64_FORMAT,
		    o->offset);
	} else {
		v.kind = eval_change(c, &change, offset, v.text);
		conf_outcome_add(c, change.id, offset, v.kind, v.text);
	}
	xdr_free((xdrproc_t)xdr_pt_change, (char *)&change);
	return v;
}
