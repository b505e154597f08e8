/* Output: error messages, tables and JSON documents. */
#include <glib.h>
#include <rpc/rpc.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"
#include "ctl.h"

enum ctl_exit
ctl_fail(enum ctl_exit code, GError *err)
{
	char *s = ctl_printable(err->message);

	fprintf(stderr, "ptctl: %s\n", s);
	g_free(s);
	g_error_free(err);
	return code;
}

static const struct {
	const char *name;
	enum ctl_exit code;
} verdicts[] = {
	[PT_ACCEPTED] = { "accepted", CTL_OK },
	[PT_CONFLICT] = { "conflict", CTL_CONFLICT },
	[PT_INVALID] = { "invalid", CTL_INVALID },
	[PT_DUPLICATE] = { "duplicate", CTL_UNKNOWN },
	[PT_MALFORMED] = { "malformed", CTL_INVALID },
	[PT_UNKNOWN] = { "outcome unknown", CTL_UNKNOWN },
	[PT_UNREACHABLE] = { "unreachable", CTL_UNREACHABLE },
};

enum ctl_exit
ctl_verdict_exit(enum pt_verdict_kind k)
{
	return (guint)k < G_N_ELEMENTS(verdicts) ? verdicts[k].code
						 : CTL_UNKNOWN;
}

const char *
ctl_verdict_name(enum pt_verdict_kind k)
{
	return (guint)k < G_N_ELEMENTS(verdicts) ? verdicts[k].name
						 : "outcome unknown";
}

char *
ctl_hex(const char *bytes, gsize len)
{
	GString *s = g_string_new(NULL);
	gsize i;

	for (i = 0; i < len; i++)
		g_string_append_printf(s, "%02x", (guint)(guchar)bytes[i]);
	return g_string_free(s, FALSE);
}

gboolean
ctl_unhex(const char *text, char *bytes, gsize len)
{
	gsize i;

	if (strlen(text) != 2 * len ||
	    strspn(text, "0123456789abcdefABCDEF") != 2 * len)
		return FALSE;
	for (i = 0; i < len; i++)
		bytes[i] = (char)(g_ascii_xdigit_value(text[2 * i]) << 4 |
				  g_ascii_xdigit_value(text[2 * i + 1]));
	return TRUE;
}

char *
ctl_printable(const char *text)
{
	char *s = g_utf8_make_valid(text, -1), *p;

	for (p = s; *p != '\0'; p++)
		if (g_ascii_iscntrl(*p))
			*p = '?';
	return s;
}

void
ctl_json_text(JsonBuilder *b, const char *key, const char *value)
{
	char *s = ctl_printable(value);

	json_builder_set_member_name(b, key);
	json_builder_add_string_value(b, s);
	g_free(s);
}

void
ctl_json_int(JsonBuilder *b, const char *key, gint64 value)
{
	json_builder_set_member_name(b, key);
	json_builder_add_int_value(b, value);
}

char *
ctl_shown_line(const char *line)
{
	const char *p;
	guint n = 1;

	if (!g_str_has_prefix(line, "keys="))
		return g_strdup(line);
	for (p = line; *p != '\0'; p++)
		n += *p == ',';
	return g_strdup_printf("keys=%u", n);
}

void
ctl_json_body(JsonBuilder *b, const char *key, const char *body)
{
	char **lines, **l, *shown, *eq;

	json_builder_set_member_name(b, key);
	if (*body == '\0') {
		json_builder_add_null_value(b);
		return;
	}
	json_builder_begin_object(b);
	lines = g_strsplit(body, "\n", -1);
	for (l = lines; *l != NULL; l++) {
		shown = ctl_shown_line(*l);
		eq = strchr(shown, '=');
		if (eq != NULL) {
			*eq = '\0';
			ctl_json_text(b, shown, eq + 1);
		}
		g_free(shown);
	}
	g_strfreev(lines);
	json_builder_end_object(b);
}

void
ctl_json_print(JsonBuilder *b)
{
	JsonGenerator *g = json_generator_new();
	JsonNode *root = json_builder_get_root(b);
	char *s;

	json_generator_set_pretty(g, TRUE);
	json_generator_set_root(g, root);
	s = json_generator_to_data(g, NULL);
	puts(s);
	g_free(s);
	json_node_unref(root);
	g_object_unref(g);
	g_object_unref(b);
}

struct ctl_table {
	guint columns;
	GPtrArray *cells; /* texts, row by row, heads first */
	gsize *widths;
};

struct ctl_table *
ctl_table_new(guint columns, const char *const *heads)
{
	struct ctl_table *t = g_new0(struct ctl_table, 1);

	t->columns = columns;
	t->cells = g_ptr_array_new_with_free_func(g_free);
	t->widths = g_new0(gsize, columns);
	ctl_table_row(t, heads);
	return t;
}

void
ctl_table_row(struct ctl_table *t, const char *const *cells)
{
	char *s;
	guint i;

	for (i = 0; i < t->columns; i++) {
		s = ctl_printable(cells[i]);
		t->widths[i] = MAX(t->widths[i], (gsize)g_utf8_strlen(s, -1));
		g_ptr_array_add(t->cells, s);
	}
}

void
ctl_table_print(struct ctl_table *t)
{
	const char *s;
	gsize pad;
	guint i, col;

	for (i = 0; i < t->cells->len; i++) {
		s = t->cells->pdata[i];
		col = i % t->columns;
		pad = t->widths[col] - (gsize)g_utf8_strlen(s, -1);
		if (col + 1 == t->columns)
			printf("%s\n", s);
		else
			printf("%s%*s", s, (int)pad + 2, "");
	}
	g_ptr_array_unref(t->cells);
	g_free(t->widths);
	g_free(t);
}
