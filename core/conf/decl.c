/* Parser of declarations files: a GKeyFile with a group for each resource. */
#include <glib.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"

/*
 * Rejects repeated groups and keys.  GKeyFile merges repeated groups and keeps
 * the last of repeated keys, which would hide a mistake.
 */
static gboolean
check_duplicates(const char *text, GError **err)
{
	GHashTable *seen;
	char **lines, **line, *group, *item, *end, buf[48];
	gboolean ok = TRUE;

	seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	lines = g_strsplit(text, "\n", -1);
	group = g_strdup("");
	for (line = lines; ok && *line != NULL; line++) {
		g_strstrip(*line);
		end = strchr(*line, **line == '[' ? ']' : '=');
		if (**line == '\0' || **line == '#' || end == NULL)
			continue;
		*end = '\0';
		g_strchomp(*line);
		if (**line == '[') {
			g_free(group);
			group = g_strdup(*line + 1);
			item = g_strdup_printf("[%s]", group);
		} else {
			item = g_strdup_printf("[%s] %s", group, *line);
		}
		ok = g_hash_table_add(seen, item);
		if (!ok)
			g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
			    "%s is given twice; keep one of them",
			    conf_printable(item, buf));
	}
	g_free(group);
	g_strfreev(lines);
	g_hash_table_unref(seen);
	return ok;
}

/* Sets kind and name of a resource from a group "kind name". */
static gboolean
parse_group(const char *group, struct pt_res *r, GError **err)
{
	char **part, buf[48];
	int kind;
	gboolean ok;

	part = g_strsplit(group, " ", 2);
	kind = conf_kind_parse(part[0] != NULL ? part[0] : "");
	ok = kind >= 0 && (kind == PT_KIND_MESH) == (part[1] == NULL);
	if (ok) {
		r->kind = (pt_kind)kind;
		r->name = g_strdup(part[1] != NULL ? part[1] : "mesh");
		ok = conf_name_check(r->kind, r->name, err);
	} else {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "unknown group [%s]; use [mesh], [rank NAME], "
		    "[service NAME], [route NAME] or [organisation NAME]",
		    conf_printable(group, buf));
	}
	g_strfreev(part);
	return ok;
}

static gboolean
check_keys(GKeyFile *f, const char *group, pt_kind kind, GError **err)
{
	const struct conf_key *keys;
	GString *list;
	char **names, **s, buf[48];
	gboolean ok = TRUE;
	guint i, n;

	keys = conf_keys(kind, &n);
	names = g_key_file_get_keys(f, group, NULL, NULL);
	for (s = names; ok && s != NULL && *s != NULL; s++) {
		for (i = 0; i < n && strcmp(keys[i].name, *s) != 0; i++)
			;
		ok = i < n;
		if (ok)
			continue;
		list = g_string_new(NULL);
		for (i = 0; i < n; i++)
			g_string_append_printf(
			    list, "%s%s", i > 0 ? ", " : "", keys[i].name);
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "[%s] has an unknown key \"%s\"; remove it or use %s",
		    group, conf_printable(*s, buf), list->str);
		g_string_free(list, TRUE);
	}
	g_strfreev(names);
	return ok;
}

static int
text_cmp(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Returns the canonical form of a list of hashes: lower case and sorted. */
static char *
canonical_hashes(const char *value)
{
	char *lower = g_ascii_strdown(value, -1), *joined;
	char **list = g_strsplit(lower, ",", -1);
	guint i, n = g_strv_length(list);

	for (i = 0; i < n; i++)
		g_strstrip(list[i]);
	qsort(list, n, sizeof(*list), text_cmp);
	joined = g_strjoinv(",", list);
	g_strfreev(list);
	g_free(lower);
	return joined;
}

/*
 * Appends "key=value\n", with the default if the file lacks the key; a sparse
 * key at its default is left out.
 */
static gboolean
append_key(GString *body, GKeyFile *f, const char *group,
    const struct pt_res *r, const struct conf_key *key, GError **err)
{
	char *value, *given;
	gboolean ok;

	value = g_key_file_get_value(f, group, key->name, NULL);
	if (value == NULL && key->def == NULL) {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "[%s] lacks the required key %s; add it", group, key->name);
		return FALSE;
	}
	if (value == NULL && key->sparse)
		return TRUE;
	if (value == NULL)
		value = g_strdup(key->def);
	g_strstrip(value);
	if (key->type == CONF_HASHES) {
		given = value;
		value = canonical_hashes(given);
		g_free(given);
	}
	ok = conf_value_check(r->kind, r->name, key, value, err);
	if (ok && !(key->sparse && strcmp(value, key->def) == 0))
		g_string_append_printf(body, "%s=%s\n", key->name, value);
	g_free(value);
	return ok;
}

static gboolean
parse_resource(GKeyFile *f, const char *group, struct pt_res *r, GError **err)
{
	const struct conf_key *keys;
	GString *body;
	gboolean ok = TRUE;
	guint i, n;

	if (!parse_group(group, r, err) || !check_keys(f, group, r->kind, err))
		return FALSE;
	keys = conf_keys(r->kind, &n);
	body = g_string_new(NULL);
	for (i = 0; ok && i < n; i++)
		ok = append_key(body, f, group, r, &keys[i], err);
	r->body = g_string_free(body, FALSE);
	return ok;
}

static int
res_cmp(const void *a, const void *b)
{
	const struct pt_res *x = a, *y = b;

	if (x->kind != y->kind)
		return x->kind < y->kind ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* Frees what parse_resource() has set before an error. */
static void
drop_resource(struct pt_res *r)
{
	g_free(r->name);
	g_free(r->body);
	memset(r, 0, sizeof(*r));
}

/* With "errors", adds the errors of groups there and goes on. */
static struct decl *
parse_groups(GKeyFile *f, GPtrArray *errors, GError **err)
{
	struct decl *d;
	char **groups;
	GError *cause = NULL;
	gsize i, n;
	gboolean ok;

	groups = g_key_file_get_groups(f, &n);
	ok = n <= PT_RESOURCES_MAX;
	if (!ok)
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "%" G_GSIZE_FORMAT " groups; declare at most %d", n,
		    PT_RESOURCES_MAX);
	d = g_new0(struct decl, 1);
	d->res = g_new0(struct pt_res, MAX(n, 1));
	for (i = 0; ok && i < n; i++) {
		if (parse_resource(f, groups[i], &d->res[d->n], &cause)) {
			d->n++;
			continue;
		}
		drop_resource(&d->res[d->n]);
		ok = errors != NULL;
		if (ok) {
			g_ptr_array_add(errors, g_strdup(cause->message));
			g_clear_error(&cause);
		} else {
			g_propagate_error(err, cause);
		}
	}
	g_strfreev(groups);
	if (!ok)
		g_clear_pointer(&d, decl_free);
	else
		qsort(d->res, d->n, sizeof(*d->res), res_cmp);
	return d;
}

static struct decl *
parse_text(const char *text, GPtrArray *errors, GError **err)
{
	struct decl *d = NULL;
	GKeyFile *f;
	GError *load_err = NULL;

	if (!check_duplicates(text, err))
		return NULL;
	f = g_key_file_new();
	if (g_key_file_load_from_data(
		f, text, strlen(text), G_KEY_FILE_NONE, &load_err)) {
		d = parse_groups(f, errors, err);
	} else {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "%s; write groups [kind name] and lines key=value",
		    load_err->message);
		g_error_free(load_err);
	}
	g_key_file_free(f);
	return d;
}

static struct decl *
parse_file(const char *file, const char *text, gsize len, GPtrArray *errors,
    GError **err)
{
	struct decl *d;
	char *copy;

	if (len > CONF_FILE_MAX || memchr(text, '\0', len) != NULL) {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "%s: contains a NUL byte or exceeds %d bytes; remove it "
		    "or split the file",
		    file, CONF_FILE_MAX);
		return NULL;
	}
	copy = g_strndup(text, len);
	d = parse_text(copy, errors, err);
	if (d == NULL)
		g_prefix_error(err, "%s: ", file);
	g_free(copy);
	return d;
}

struct decl *
decl_parse(const char *file, const char *text, gsize len, GError **err)
{
	return parse_file(file, text, len, NULL, err);
}

struct decl *
decl_parse_all(const char *file, const char *text, gsize len, GPtrArray *errors)
{
	GError *err = NULL;
	struct decl *d;
	char *s;
	guint i;

	d = parse_file(file, text, len, errors, &err);
	for (i = 0; i < errors->len; i++) {
		s = errors->pdata[i];
		errors->pdata[i] = g_strdup_printf("%s: %s", file, s);
		g_free(s);
	}
	if (err != NULL) {
		g_ptr_array_add(errors, g_strdup(err->message));
		g_error_free(err);
	}
	return d;
}

void
decl_free(struct decl *d)
{
	guint i;

	if (d == NULL)
		return;
	for (i = 0; i < d->n; i++) {
		g_free(d->res[i].name);
		g_free(d->res[i].body);
	}
	g_free(d->res);
	g_free(d);
}

static void
add_op(
    struct pt_change *c, const struct pt_res *r, gint64 base, gboolean remove)
{
	struct pt_op *op;

	/* Operations beyond PT_OPS_MAX are only counted, for the error. */
	if (c->ops.ops_len++ >= PT_OPS_MAX)
		return;
	op = &c->ops.ops_val[c->ops.ops_len - 1];
	op->kind = r->kind;
	op->name = strdup(r->name);
	op->base = base;
	op->remove = remove;
	op->body = strdup(remove ? "" : r->body);
}

static const struct pt_res *
find_res(const struct pt_res *list, guint n, const struct pt_res *key)
{
	return n > 0 ? bsearch(key, list, n, sizeof(*list), res_cmp) : NULL;
}

gboolean
decl_diff(const struct decl *d, const struct pt_res *current, guint n,
    gboolean prune, struct pt_change *out, GError **err)
{
	const struct pt_res *cur;
	guint i;

	memset(out, 0, sizeof(*out));
	out->proto = PT_RECORD;
	out->author = strdup("");
	out->ops.ops_val = calloc(PT_OPS_MAX, sizeof(struct pt_op));
	for (i = 0; i < d->n; i++) {
		cur = find_res(current, n, &d->res[i]);
		if (cur == NULL)
			add_op(out, &d->res[i], 0, FALSE);
		else if (strcmp(cur->body, d->res[i].body) != 0)
			add_op(out, &d->res[i], cur->vers, FALSE);
	}
	for (i = 0; prune && i < n; i++)
		if (find_res(d->res, d->n, &current[i]) == NULL)
			add_op(out, &current[i], current[i].vers, TRUE);
	if (out->ops.ops_len <= PT_OPS_MAX)
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_TOO_LARGE,
	    "%u resources differ; a change set holds %d: split the "
	    "declarations and apply ranks and services before routes and "
	    "organisations",
	    out->ops.ops_len, PT_OPS_MAX);
	out->ops.ops_len = PT_OPS_MAX;
	xdr_free((xdrproc_t)xdr_pt_change, (char *)out);
	memset(out, 0, sizeof(*out));
	return FALSE;
}
