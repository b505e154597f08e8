/* Keys of the resources: types, ranges, canonical body text. */
#include <glib.h>
#include <rpc/rpc.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"

#define FIELD(kind, field) offsetof(struct conf_##kind, field)
#define TEN_MINUTES_MS 600000

static const struct conf_key mesh_keys[] = {
	{ "urgency", CONF_INT, FIELD(mesh, urgency), 0, 100, "50" },
};

static const struct conf_key rank_keys[] = {
	{ "floor", CONF_INT, FIELD(rank, floor), 0, CONF_FLOOR_SUM_MAX, "0" },
	{ "order", CONF_INT, FIELD(rank, order), 0, PT_RANKS_MAX - 1, NULL },
	{ "target_ms", CONF_INT, FIELD(rank, target_ms), 1, TEN_MINUTES_MS,
	    NULL },
	{ "worth", CONF_INT, FIELD(rank, worth), 0, 1000000, "1" },
};

static const struct conf_key service_keys[] = {
	{ "eject_max", CONF_INT, FIELD(service, eject_max), 0, 100, "50" },
	{ "limit", CONF_INT, FIELD(service, limit), 1, 100000, "1000" },
	{ "ramp_ms", CONF_INT, FIELD(service, ramp_ms), 0, TEN_MINUTES_MS,
	    "10000" },
	{ "retry_budget", CONF_INT, FIELD(service, retry_budget), 0, 100,
	    "10" },
};

static const struct conf_key route_keys[] = {
	{ "idempotent", CONF_BOOL, FIELD(route, idempotent), 0, 1, NULL },
	{ "path", CONF_PATH, FIELD(route, path), 0, 0, NULL },
	{ "rank", CONF_NAME, FIELD(route, rank_name), 0, 0, NULL },
	{ "service", CONF_NAME, FIELD(route, service_name), 0, 0, NULL },
	{ "timeout_ms", CONF_INT, FIELD(route, timeout_ms), 1, TEN_MINUTES_MS,
	    "5000" },
};

static const struct {
	const char *name;
	gsize size;
	const struct conf_key *keys;
	guint n;
} kinds[CONF_KINDS] = {
	{ "mesh", sizeof(struct conf_mesh), mesh_keys,
	    G_N_ELEMENTS(mesh_keys) },
	{ "rank", sizeof(struct conf_rank), rank_keys,
	    G_N_ELEMENTS(rank_keys) },
	{ "service", sizeof(struct conf_service), service_keys,
	    G_N_ELEMENTS(service_keys) },
	{ "route", sizeof(struct conf_route), route_keys,
	    G_N_ELEMENTS(route_keys) },
};

const char *
conf_kind_name(pt_kind k)
{
	return kinds[k].name;
}

int
conf_kind_parse(const char *s)
{
	int k;

	for (k = 0; k < CONF_KINDS; k++)
		if (strcmp(s, kinds[k].name) == 0)
			return k;
	return -1;
}

const struct conf_key *
conf_keys(pt_kind k, guint *n)
{
	*n = kinds[k].n;
	return kinds[k].keys;
}

const char *
conf_printable(const char *value, char buf[48])
{
	gsize i;

	for (i = 0; i < 44 && value[i] != '\0'; i++)
		buf[i] = g_ascii_isprint(value[i]) ? value[i] : '?';
	buf[i] = '\0';
	if (value[i] != '\0')
		memcpy(buf + i, "...", 4);
	return buf;
}

static gboolean
is_name(const char *s)
{
	gsize n;

	if (!g_ascii_islower(*s) && !g_ascii_isdigit(*s))
		return FALSE;
	n = strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789._-");
	return n <= PT_NAME_MAX && s[n] == '\0';
}

static gboolean
is_path(const char *s)
{
	gsize n;

	n = strspn(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		      "0123456789._~%/-");
	if (*s != '/' || s[n] != '\0' || n > CONF_PATH_MAX)
		return FALSE;
	if (strstr(s, "//") != NULL || (n > 1 && s[n - 1] == '/'))
		return FALSE;
	/* The node itself answers below /.pt. */
	return strcmp(s, "/.pt") != 0 && !g_str_has_prefix(s, "/.pt/");
}

/* Decimal digits without sign and leading zeros: one text per number. */
static gboolean
is_int(const char *s, gint64 min, gint64 max, int *out)
{
	gsize n;
	gint64 v;

	n = strspn(s, "0123456789");
	if (n == 0 || n > 9 || s[n] != '\0' || (*s == '0' && n > 1))
		return FALSE;
	v = g_ascii_strtoll(s, NULL, 10);
	*out = (int)v;
	return v >= min && v <= max;
}

gboolean
conf_name_check(pt_kind k, const char *name, GError **err)
{
	char buf[48];

	if (k == PT_KIND_MESH && strcmp(name, "mesh") != 0) {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "[mesh] is named \"%s\"; there is one mesh, name it mesh",
		    conf_printable(name, buf));
		return FALSE;
	}
	if (is_name(name))
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
	    "[%s %s] has a bad name; use 1 to %d of a-z 0-9 . _ - and begin "
	    "with a letter or digit",
	    kinds[k].name, conf_printable(name, buf), PT_NAME_MAX);
	return FALSE;
}

const char *
conf_group(pt_kind k, const char *name, char buf[CONF_GROUP_MAX])
{
	if (k == PT_KIND_MESH)
		return "[mesh]";
	g_snprintf(buf, CONF_GROUP_MAX, "[%s %s]", kinds[k].name, name);
	return buf;
}

static void
set_value_error(GError **err, pt_kind k, const char *name,
    const struct conf_key *key, const char *value)
{
	char buf[48], g[CONF_GROUP_MAX], range[64];

	if (key->type == CONF_INT)
		g_snprintf(range, sizeof(range),
		    "a whole number from %" G_GINT64_FORMAT
		    " to %" G_GINT64_FORMAT,
		    key->min, key->max);
	else if (key->type == CONF_BOOL)
		g_strlcpy(range, "true or false", sizeof(range));
	else if (key->type == CONF_NAME)
		g_snprintf(range, sizeof(range), "the name of a %s", key->name);
	else
		g_snprintf(range, sizeof(range),
		    "a path like /a/b, not /.pt, up to %d bytes",
		    CONF_PATH_MAX);
	g_set_error(err, PT_ERROR, PT_ERROR_PARSE, "%s %s is \"%s\"; give %s",
	    conf_group(k, name, g), key->name, conf_printable(value, buf),
	    range);
}

gboolean
conf_value_check(pt_kind k, const char *name, const struct conf_key *key,
    const char *value, GError **err)
{
	gboolean ok;
	int v;

	if (key->type == CONF_INT)
		ok = is_int(value, key->min, key->max, &v);
	else if (key->type == CONF_BOOL)
		ok = strcmp(value, "true") == 0 || strcmp(value, "false") == 0;
	else if (key->type == CONF_NAME)
		ok = is_name(value);
	else
		ok = is_path(value);
	if (!ok)
		set_value_error(err, k, name, key, value);
	return ok;
}

static void
set_field(struct conf_res *r, const struct conf_key *key, const char *value)
{
	char *field = (char *)r + key->field;

	if (key->type == CONF_INT)
		*(int *)field = atoi(value);
	else if (key->type == CONF_BOOL)
		*(int *)field = strcmp(value, "true") == 0;
	else
		*(char **)field = g_strdup(value);
}

/* Reports why a line of a body is not the expected key. */
static void
set_line_error(GError **err, pt_kind k, const char *name,
    const struct conf_key *key, const char *line)
{
	char buf[48], g[CONF_GROUP_MAX], *found;
	guint i;

	found = g_strndup(line, strcspn(line, "=\n"));
	for (i = 0; i < kinds[k].n; i++)
		if (strcmp(kinds[k].keys[i].name, found) == 0)
			break;
	if (*line != '\0' && i == kinds[k].n)
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "%s has an unknown key \"%s\"; remove it",
		    conf_group(k, name, g), conf_printable(found, buf));
	else if (key != NULL)
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "%s lacks the key %s; add it in order of name",
		    conf_group(k, name, g), key->name);
	else
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "%s gives the key \"%s\" again; give each key once",
		    conf_group(k, name, g), conf_printable(found, buf));
	g_free(found);
}

static gboolean
parse_body(struct conf_res *r, const char *body, GError **err)
{
	const struct conf_key *key;
	const char *p = body;
	char *value;
	gsize len;
	guint i;
	gboolean ok;

	for (i = 0; i < kinds[r->kind].n; i++) {
		key = &kinds[r->kind].keys[i];
		len = strlen(key->name);
		if (strncmp(p, key->name, len) != 0 || p[len] != '=' ||
		    strchr(p, '\n') == NULL) {
			set_line_error(err, r->kind, r->name, key, p);
			return FALSE;
		}
		p += len + 1;
		len = strcspn(p, "\n");
		value = g_strndup(p, len);
		ok = conf_value_check(r->kind, r->name, key, value, err);
		if (ok)
			set_field(r, key, value);
		g_free(value);
		if (!ok)
			return FALSE;
		p += len + 1;
	}
	if (*p == '\0')
		return TRUE;
	set_line_error(err, r->kind, r->name, NULL, p);
	return FALSE;
}

struct conf_res *
conf_res_new(
    pt_kind kind, const char *name, gint64 vers, const char *body, GError **err)
{
	struct conf_res *r;
	struct conf_route *route;

	if (!conf_name_check(kind, name, err))
		return NULL;
	r = g_malloc0(kinds[kind].size);
	r->kind = kind;
	r->vers = vers;
	r->name = g_strdup(name);
	if (!parse_body(r, body, err)) {
		conf_res_free(r);
		return NULL;
	}
	r->body = g_strdup(body);
	if (kind == PT_KIND_ROUTE) {
		route = (struct conf_route *)r;
		route->hash = conf_path_hash(route->path);
	}
	return r;
}

void
conf_res_free(struct conf_res *r)
{
	const struct conf_key *key;
	guint i;

	if (r == NULL)
		return;
	for (i = 0; i < kinds[r->kind].n; i++) {
		key = &kinds[r->kind].keys[i];
		if (key->type == CONF_NAME || key->type == CONF_PATH)
			g_free(*(char **)((char *)r + key->field));
	}
	g_free(r->name);
	g_free(r->body);
	g_free(r);
}

/* Exchanges the contents of two resources of the same kind. */
void
conf_res_swap(struct conf_res *a, struct conf_res *b)
{
	char tmp[sizeof(struct conf_route)];
	gsize n = kinds[a->kind].size;

	memcpy(tmp, a, n);
	memcpy(a, b, n);
	memcpy(b, tmp, n);
}
