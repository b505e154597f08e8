/* Keys of the resources: types, ranges and the canonical body. */
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
/* Hexadecimal digits of a SHA-256. */
#define HEX_LEN ((gsize)(2 * PT_DIGEST_LEN))

#define INT(kind, name, min, max, def)                                      \
	{                                                                   \
#name, CONF_INT, FIELD(kind, name), min, max, def, FALSE, 0 \
	}
#define NAME(kind, name, def, sparse, target)                                  \
	{                                                                      \
#name, CONF_NAME, FIELD(kind, name##_name), 0, 0, def, sparse, \
		    target                                                     \
	}

static const struct conf_key mesh_keys[] = {
	INT(mesh, urgency, 0, 100, "50"),
};

static const struct conf_key rank_keys[] = {
	INT(rank, floor, 0, CONF_FLOOR_SUM_MAX, "0"),
	INT(rank, order, 0, PT_RANKS_MAX - 1, NULL),
	INT(rank, target_ms, 1, TEN_MINUTES_MS, NULL),
	INT(rank, worth, 0, 1000000, "1"),
};

static const struct conf_key service_keys[] = {
	INT(service, eject_max, 0, 100, "50"),
	INT(service, limit, 1, 100000, "1000"),
	INT(service, ramp_ms, 0, TEN_MINUTES_MS, "10000"),
	INT(service, retry_budget, 0, 100, "10"),
};

static const struct conf_key route_keys[] = {
	{ "idempotent", CONF_BOOL, FIELD(route, idempotent), 0, 1, NULL, FALSE,
	    0 },
	{ "open", CONF_YES, FIELD(route, open), 0, 1, "no", TRUE, 0 },
	{ "path", CONF_PATH, FIELD(route, path), 0, 0, NULL, FALSE, 0 },
	NAME(route, rank, NULL, FALSE, PT_KIND_RANK),
	NAME(route, service, NULL, FALSE, PT_KIND_SERVICE),
	INT(route, timeout_ms, 1, TEN_MINUTES_MS, "5000"),
};

static const struct conf_key organisation_keys[] = {
	INT(organisation, burst, 0, 1000000, "0"),
	{ "keys", CONF_HASHES, FIELD(organisation, keys), 0, 0, NULL, FALSE,
	    0 },
	NAME(organisation, priority, "", TRUE, PT_KIND_RANK),
	INT(organisation, rate, 0, 1000000, "0"),
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
	{ "organisation", sizeof(struct conf_organisation), organisation_keys,
	    G_N_ELEMENTS(organisation_keys) },
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
	/* Paths below /.pt are reserved for endpoints of the node itself. */
	return strcmp(s, "/.pt") != 0 && !g_str_has_prefix(s, "/.pt/");
}

/* Accepts no sign or leading zeros: one canonical text for each number. */
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

/*
 * Accepts 1 to CONF_KEYS_MAX hashes in the canonical form: lower case, sorted,
 * different, separated by ",".
 */
static gboolean
is_hashes(const char *s)
{
	const char *prev = NULL;
	guint n;

	for (n = 0; n < CONF_KEYS_MAX; n++) {
		if (strspn(s, "0123456789abcdef") != HEX_LEN ||
		    (prev != NULL && memcmp(prev, s, HEX_LEN) >= 0))
			return FALSE;
		if (s[HEX_LEN] == '\0')
			return TRUE;
		if (s[HEX_LEN] != ',')
			return FALSE;
		prev = s;
		s += HEX_LEN + 1;
	}
	return FALSE;
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

	/* Leaves the value out: it may hold a key in place of its hash. */
	if (key->type == CONF_HASHES) {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "%s %s is not a list of hashes; give the SHA-256 of 1 to "
		    "%d different keys, 64 hexadecimal digits each, separated "
		    "by commas",
		    conf_group(k, name, g), key->name, CONF_KEYS_MAX);
		return;
	}
	if (key->type == CONF_INT)
		g_snprintf(range, sizeof(range),
		    "a whole number from %" G_GINT64_FORMAT
		    " to %" G_GINT64_FORMAT,
		    key->min, key->max);
	else if (key->type == CONF_BOOL)
		g_strlcpy(range, "true or false", sizeof(range));
	else if (key->type == CONF_YES)
		g_strlcpy(range, "yes or no", sizeof(range));
	else if (key->type == CONF_NAME)
		g_snprintf(range, sizeof(range), "the name of a %s",
		    kinds[key->target].name);
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
	else if (key->type == CONF_YES)
		ok = strcmp(value, "yes") == 0 || strcmp(value, "no") == 0;
	else if (key->type == CONF_NAME)
		ok = is_name(value);
	else if (key->type == CONF_HASHES)
		ok = is_hashes(value);
	else
		ok = is_path(value);
	if (!ok)
		set_value_error(err, k, name, key, value);
	return ok;
}

static void
set_digests(struct conf_organisation *o, const char *hashes)
{
	const char *s = hashes;
	guint i;

	for (o->n_keys = 0; *s != '\0'; o->n_keys++) {
		for (i = 0; i < PT_DIGEST_LEN; i++, s += 2)
			o->digests[o->n_keys][i] =
			    (char)(g_ascii_xdigit_value(s[0]) << 4 |
				   g_ascii_xdigit_value(s[1]));
		s += *s == ',';
	}
}

static void
set_field(struct conf_res *r, const struct conf_key *key, const char *value)
{
	char *field = (char *)r + key->field;

	if (key->type == CONF_INT)
		*(int *)field = atoi(value);
	else if (key->type == CONF_BOOL)
		*(int *)field = strcmp(value, "true") == 0;
	else if (key->type == CONF_YES)
		*(int *)field = strcmp(value, "yes") == 0;
	else
		*(char **)field = g_strdup(value);
	/* Only organisations have hashes. */
	if (key->type == CONF_HASHES)
		set_digests((struct conf_organisation *)r, value);
}

/* Reports a body line that does not hold the expected key. */
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

/* Refuses the default in the body, as there is one canonical body. */
static gboolean
sparse_check(const struct conf_res *r, const struct conf_key *key,
    const char *value, GError **err)
{
	char g[CONF_GROUP_MAX];

	if (!key->sparse || strcmp(value, key->def) != 0)
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
	    "%s %s is at its default \"%s\"; leave it out of the body",
	    conf_group(r->kind, r->name, g), key->name, value);
	return FALSE;
}

static gboolean
parse_body(struct conf_res *r, const char *body, GError **err)
{
	const struct conf_key *key;
	const char *p = body;
	char *value;
	gsize len;
	guint i;
	gboolean ok, given;

	for (i = 0; i < kinds[r->kind].n; i++) {
		key = &kinds[r->kind].keys[i];
		len = strlen(key->name);
		given = strncmp(p, key->name, len) == 0 && p[len] == '=';
		/* The defaults of sparse keys are 0 and NULL. */
		if (key->sparse && !given)
			continue;
		if (!given || strchr(p, '\n') == NULL) {
			set_line_error(err, r->kind, r->name, key, p);
			return FALSE;
		}
		p += len + 1;
		len = strcspn(p, "\n");
		value = g_strndup(p, len);
		ok = conf_value_check(r->kind, r->name, key, value, err) &&
		     sparse_check(r, key, value, err);
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
		if (key->type == CONF_NAME || key->type == CONF_PATH ||
		    key->type == CONF_HASHES)
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
	char tmp[sizeof(struct conf_organisation)];
	gsize n = kinds[a->kind].size;

	G_STATIC_ASSERT(sizeof(tmp) >= sizeof(struct conf_route));
	memcpy(tmp, a, n);
	memcpy(a, b, n);
	memcpy(b, tmp, n);
}
