/*
 * Evaluation of one record.  A change is staged and checked against the
 * current resources without touching them, then applied as a whole.
 */
#include <glib.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"

/* One operation of a change under evaluation. */
struct stage {
	const struct pt_op *op;
	struct conf_res *next; /* NULL: removal */
	struct conf_res *cur; /* NULL: does not exist yet */
};

/* A change under evaluation; stages are sorted by kind and name. */
struct trial {
	struct conf *conf;
	struct stage *stages;
	guint n;
};

static int
stage_cmp(const void *a, const void *b)
{
	const struct pt_op *x = ((const struct stage *)a)->op;
	const struct pt_op *y = ((const struct stage *)b)->op;

	if (x->kind != y->kind)
		return x->kind < y->kind ? -1 : 1;
	return strcmp(x->name, y->name);
}

static const struct stage *
stage_find(const struct trial *t, pt_kind kind, const char *name)
{
	struct pt_op op = { 0 };
	struct stage key = { &op, NULL, NULL };

	op.kind = kind;
	op.name = (char *)name;
	return bsearch(&key, t->stages, t->n, sizeof(key), stage_cmp);
}

/* The resource as it is after the change, NULL if there is none. */
static const struct conf_res *
after(const struct trial *t, pt_kind kind, const char *name)
{
	const struct stage *s = stage_find(t, kind, name);

	return s != NULL ? s->next : conf_find(t->conf, kind, name);
}

static gboolean
stage_op(struct trial *t, struct stage *s, GError **err)
{
	const struct pt_op *op = s->op;
	char g[CONF_GROUP_MAX];

	if (!conf_name_check(op->kind, op->name, err))
		return FALSE;
	s->cur = conf_find(t->conf, op->kind, op->name);
	if (s > t->stages && stage_cmp(s - 1, s) == 0) {
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

/* Reports an operation whose base is not the current version. */
static gboolean
base_check(const struct trial *t, const struct stage *s, GError **err)
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
path_check(const struct trial *t, const struct stage *s, GError **err)
{
	const struct conf_route *r = (const struct conf_route *)s->next;
	const struct conf_route *o;
	const struct stage *p;

	o = conf_path_find(t->conf, r->path, strlen(r->path), r->hash);
	if (o != NULL && stage_find(t, PT_KIND_ROUTE, o->res.name) == NULL) {
		conf_path_error(err, r, o);
		return FALSE;
	}
	for (p = s + 1; p < t->stages + t->n; p++) {
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
route_check(const struct trial *t, const struct stage *s, GError **err)
{
	const struct conf_route *r = (const struct conf_route *)s->next;

	if (PT_MUTANT(MUTANT_REFERENCE_IGNORED))
		return TRUE;
	if (after(t, PT_KIND_SERVICE, r->service_name) == NULL) {
		conf_reference_error(err, r, PT_KIND_SERVICE, r->service_name);
		return FALSE;
	}
	if (after(t, PT_KIND_RANK, r->rank_name) == NULL) {
		conf_reference_error(err, r, PT_KIND_RANK, r->rank_name);
		return FALSE;
	}
	return path_check(t, s, err);
}

/* Refuses the removal of a service or rank that a route still names. */
static gboolean
removal_check(const struct trial *t, const struct stage *s, GError **err)
{
	const struct conf_route *r;
	const struct conf_res *target;
	guint i;

	for (i = 0; (r = conf_route_at(t->conf, i)) != NULL; i++) {
		target = s->op->kind == PT_KIND_RANK ? &r->rank->res
						     : &r->service->res;
		if (target != s->cur ||
		    stage_find(t, PT_KIND_ROUTE, r->res.name) != NULL)
			continue;
		g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
		    "[route %s] %s is \"%s\", which this change removes; "
		    "change or remove the route too",
		    r->res.name, conf_kind_name(s->op->kind), s->op->name);
		return FALSE;
	}
	return TRUE;
}

static gboolean
ranks_check(const struct trial *t, GError **err)
{
	const struct conf_rank *list[PT_RANKS_MAX], *r;
	const struct conf_res *res;
	const struct stage *s;
	guint i, n = 0;

	for (i = 0; (r = conf_rank_at(t->conf, i)) != NULL; i++) {
		s = stage_find(t, PT_KIND_RANK, r->res.name);
		res = s != NULL ? s->next : &r->res;
		if (res != NULL)
			list[n++] = (const struct conf_rank *)res;
	}
	for (s = t->stages; s < t->stages + t->n; s++) {
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
count_check(const struct trial *t, GError **err)
{
	guint i, n;

	n = conf_count(t->conf);
	for (i = 0; i < t->n; i++) {
		n += t->stages[i].cur == NULL;
		n -= t->stages[i].next == NULL;
	}
	if (n <= PT_RESOURCES_MAX)
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_REFERENCE,
	    "the change leaves %u resources; remove some, %d can exist", n,
	    PT_RESOURCES_MAX);
	return FALSE;
}

static gboolean
references_check(const struct trial *t, GError **err)
{
	const struct stage *s;
	gboolean ok = TRUE, ranks = FALSE;

	for (s = t->stages; ok && s < t->stages + t->n; s++) {
		ranks = ranks || s->op->kind == PT_KIND_RANK;
		if (s->op->kind == PT_KIND_ROUTE)
			ok = s->next == NULL || route_check(t, s, err);
		else if (s->op->kind != PT_KIND_MESH && s->next == NULL)
			ok = removal_check(t, s, err);
	}
	return ok && (!ranks || ranks_check(t, err)) && count_check(t, err);
}

/* Stages and checks the change; the configuration is not touched. */
static enum pt_verdict_kind
judge(struct trial *t, GError **err)
{
	guint i;

	if (t->n == 0) {
		g_set_error_literal(err, PT_ERROR, PT_ERROR_PARSE,
		    "the change has no operations; declare a difference");
		return PT_INVALID;
	}
	for (i = 0; i < t->n; i++)
		if (!stage_op(t, &t->stages[i], err))
			return PT_INVALID;
	for (i = 0; i < t->n; i++)
		if (!base_check(t, &t->stages[i], err))
			return PT_CONFLICT;
	return references_check(t, err) ? PT_ACCEPTED : PT_INVALID;
}

/* Whether the stage adds, removes or moves the path of a route. */
static gboolean
moves_path(const struct stage *s)
{
	if (s->op->kind != PT_KIND_ROUTE)
		return FALSE;
	return s->cur == NULL || s->next == NULL ||
	       strcmp(((const struct conf_route *)s->cur)->path,
		   ((const struct conf_route *)s->next)->path) != 0;
}

/*
 * Sets resources in order of kind, so that routes find what they refer to,
 * then removes routes before the ranks and services that they referred to.
 */
static void
apply(struct trial *t, gint64 offset)
{
	struct conf *c = t->conf;
	struct stage *s;
	gboolean paths = FALSE;

	for (s = t->stages; s < t->stages + t->n; s++) {
		paths = paths || moves_path(s);
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
		if (s->op->kind == PT_KIND_ROUTE)
			conf_resolve_route(c, (struct conf_route *)s->cur);
	}
	for (s = t->stages + t->n; s-- > t->stages;)
		if (s->op->remove)
			conf_remove(c, s->cur);
	if (paths)
		conf_index_routes(c);
	c->vers = offset;
}

static enum pt_verdict_kind
run(struct conf *c, const struct pt_change *change, gint64 offset,
    char text[CONF_TEXT_MAX])
{
	struct trial t = { c, NULL, change->ops.ops_len };
	enum pt_verdict_kind kind;
	GError *err = NULL;
	guint i;

	t.stages = g_new0(struct stage, t.n);
	for (i = 0; i < t.n; i++)
		t.stages[i].op = &change->ops.ops_val[i];
	if (t.n > 0)
		qsort(t.stages, t.n, sizeof(*t.stages), stage_cmp);
	kind = judge(&t, &err);
	if (kind == PT_ACCEPTED)
		apply(&t, offset);
	else
		g_strlcpy(text, err->message, CONF_TEXT_MAX);
	g_clear_error(&err);
	for (i = 0; i < t.n; i++)
		conf_res_free(t.stages[i].next);
	g_free(t.stages);
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
		v.kind = run(c, &change, offset, v.text);
		conf_outcome_add(c, change.id, offset, v.kind, v.text);
	}
	xdr_free((xdrproc_t)xdr_pt_change, (char *)&change);
	return v;
}
