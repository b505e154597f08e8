/* Snapshots, digest and the reply to GET. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"

/*
 * Lists the matching resources in canonical order: kind, then name.  Their
 * strings are borrowed.
 */
static struct pt_res *
collect_resources(const struct conf *c, int kind, const char *name, guint *n)
{
	struct pt_res *list;
	const struct conf_res *r;
	guint i;
	int k;

	list = g_new0(struct pt_res, MAX(conf_count(c), 1));
	*n = 0;
	for (k = 0; k < CONF_KINDS; k++) {
		if (kind >= 0 && k != kind)
			continue;
		for (i = 0; i < c->res[k]->len; i++) {
			r = c->res[k]->pdata[i];
			if (name != NULL && *name != '\0' &&
			    strcmp(r->name, name) != 0)
				continue;
			list[*n].kind = r->kind;
			list[*n].name = r->name;
			list[*n].vers = r->vers;
			list[(*n)++].body = r->body;
		}
	}
	return list;
}

gboolean
conf_decode_canonical(xdrproc_t proc, void *value, gsize size, GBytes *bytes)
{
	GBytes *reencoded;
	gsize len;
	const void *p = g_bytes_get_data(bytes, &len);
	gboolean same;

	if (!pt_decode(proc, value, size, p, len))
		return FALSE;
	reencoded = pt_encode(proc, value);
	same = reencoded != NULL && g_bytes_equal(reencoded, bytes);
	g_clear_pointer(&reencoded, g_bytes_unref);
	if (!same) {
		xdr_free(proc, value);
		memset(value, 0, size);
	}
	return same;
}

GBytes *
conf_snapshot(const struct conf *c)
{
	struct pt_snapshot s = { 0 };
	const struct conf_outcome *o;
	struct pt_outcome *out;
	GBytes *b;

	/*
	 * The minor version is left out, so that releases which differ only in
	 * it produce the same bytes.
	 */
	s.proto = PT_PROTO / 100 * 100;
	s.position = c->position;
	s.vers = c->vers;
	s.resources.resources_val =
	    collect_resources(c, -1, NULL, &s.resources.resources_len);
	out = g_new0(struct pt_outcome, g_hash_table_size(c->outcomes) + 1);
	s.outcomes.outcomes_val = out;
	for (o = c->oldest; o != NULL; o = o->next, out++) {
		memcpy(out->id, o->id, PT_ID_LEN);
		out->offset = o->offset;
		out->kind = o->kind;
		out->text = o->text != NULL ? o->text : (char *)"";
		s.outcomes.outcomes_len++;
	}
	b = pt_encode((xdrproc_t)xdr_pt_snapshot, &s);
	g_free(s.resources.resources_val);
	g_free(s.outcomes.outcomes_val);
	return b;
}

const char *
conf_digest(struct conf *c)
{
	GBytes *b;

	if (!c->digest_valid) {
		b = conf_snapshot(c);
		pt_sha256(b, c->digest);
		g_bytes_unref(b);
		c->digest_valid = TRUE;
	}
	return c->digest;
}

gboolean
conf_load_resources(
    struct conf *c, const struct pt_res *list, guint n, GError **err)
{
	const struct conf_res *prev;
	struct conf_res *r;
	guint i;

	for (i = 0; i < n; i++) {
		if ((guint)list[i].kind >= CONF_KINDS || list[i].vers < 1 ||
		    list[i].vers > c->vers ||
		    (i > 0 && list[i].kind < list[i - 1].kind)) {
			g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
			    "resource %u has a bad kind or version", i);
			return FALSE;
		}
		r = conf_res_new(list[i].kind, list[i].name, list[i].vers,
		    list[i].body, err);
		if (r == NULL)
			return FALSE;
		prev = i > 0 && list[i].kind == list[i - 1].kind
			   ? g_ptr_array_index(
				 c->res[r->kind], c->res[r->kind]->len - 1)
			   : NULL;
		g_ptr_array_add(c->res[r->kind], r);
		if (prev != NULL && strcmp(prev->name, r->name) >= 0) {
			g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
			    "resource %u is not in order of name", i);
			return FALSE;
		}
		conf_resolve(c, r);
	}
	conf_index_routes(c);
	conf_index_keys(c);
	return conf_validate(c, err);
}

static gboolean
load_outcomes(struct conf *c, const struct pt_snapshot *s, GError **err)
{
	const struct pt_outcome *o;
	gint64 last = 0;
	guint i;

	for (i = 0; i < s->outcomes.outcomes_len; i++) {
		o = &s->outcomes.outcomes_val[i];
		if (o->offset <= last || o->offset > c->position ||
		    (guint)o->kind > PT_INVALID ||
		    strlen(o->text) >= CONF_TEXT_MAX ||
		    conf_outcome_find(c, o->id) != NULL) {
			g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
			    "outcome %u of the snapshot is not valid", i);
			return FALSE;
		}
		last = o->offset;
		conf_outcome_add(c, o->id, o->offset, o->kind, o->text);
	}
	return TRUE;
}

static struct conf *
from_snapshot(const struct pt_snapshot *s, GError **err)
{
	struct conf *c;

	if (s->proto / 100 != PT_PROTO / 100) {
		g_set_error(err, PT_ERROR, PT_ERROR_PROTOCOL,
		    "the snapshot uses protocol version %d, this node %d",
		    s->proto, PT_PROTO);
		return NULL;
	}
	if (s->position < 0 || s->vers < 0 || s->vers > s->position) {
		g_set_error_literal(err, PT_ERROR, PT_ERROR_PARSE,
		    "the snapshot has a bad position or version");
		return NULL;
	}
	c = conf_new();
	c->position = s->position;
	c->vers = s->vers;
	if (conf_load_resources(c, s->resources.resources_val,
		s->resources.resources_len, err) &&
	    load_outcomes(c, s, err))
		return c;
	conf_unref(c);
	return NULL;
}

struct conf *
conf_from_snapshot(GBytes *b, GError **err)
{
	struct pt_snapshot s = { 0 };
	struct conf *c;

	if (g_bytes_get_size(b) > CONF_SNAPSHOT_MAX ||
	    !conf_decode_canonical(
		(xdrproc_t)xdr_pt_snapshot, &s, sizeof(s), b)) {
		g_set_error_literal(err, PT_ERROR, PT_ERROR_PARSE,
		    "the bytes are not a snapshot in canonical form");
		return NULL;
	}
	c = from_snapshot(&s, err);
	xdr_free((xdrproc_t)xdr_pt_snapshot, (char *)&s);
	return c;
}

void
conf_get(struct conf *c, int kind, const char *name, struct pt_get_res *out)
{
	memset(out, 0, sizeof(*out));
	out->proto = PT_PROTO;
	out->position = c->position;
	out->vers = c->vers;
	memcpy(out->digest, conf_digest(c), PT_DIGEST_LEN);
	out->resources.resources_val =
	    collect_resources(c, kind, name, &out->resources.resources_len);
}

void
conf_get_clear(struct pt_get_res *res)
{
	g_free(res->resources.resources_val);
	memset(res, 0, sizeof(*res));
}

struct conf *
conf_from_get(const struct pt_get_res *res, GError **err)
{
	struct pt_snapshot s = { 0 };

	s.proto = res->proto;
	s.position = res->position;
	s.vers = res->vers;
	s.resources.resources_len = res->resources.resources_len;
	s.resources.resources_val = res->resources.resources_val;
	return from_snapshot(&s, err);
}
