/* Command check: errors and warnings of a declarations file. */
#include <glib.h>
#include <rpc/rpc.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"
#include "ctl.h"

struct check {
	struct ctl *ctl;
	const char *file;
	struct decl *decl; /* NULL: the file has errors */
	GPtrArray *errors, *warnings; /* texts */
	gboolean compared; /* "current" and "change" are set */
	struct pt_get_res current;
	struct pt_change change; /* from the version in force to the file */
};

static void
check_clear(struct check *k)
{
	decl_free(k->decl);
	g_clear_pointer(&k->errors, g_ptr_array_unref);
	g_clear_pointer(&k->warnings, g_ptr_array_unref);
	xdr_free((xdrproc_t)xdr_pt_get_res, (char *)&k->current);
	xdr_free((xdrproc_t)xdr_pt_change, (char *)&k->change);
}

static gboolean
read_declarations(struct check *k, GError **err)
{
	char *text;
	gsize len;

	if (!ctl_read_file(k->file, &text, &len, err))
		return FALSE;
	k->decl = decl_parse_all(k->file, text, len, k->errors);
	if (k->errors->len > 0)
		g_clear_pointer(&k->decl, decl_free);
	g_free(text);
	return TRUE;
}

/* Adds the findings about the declarations on top of a configuration. */
static void
find(struct check *k, const struct conf *base, gboolean whole)
{
	GPtrArray *list = conf_findings(k->decl, base, whole);
	const struct conf_finding *f;
	guint i;

	for (i = 0; i < list->len; i++) {
		f = list->pdata[i];
		g_ptr_array_add(f->error ? k->errors : k->warnings,
		    g_strdup_printf("%s: %s", k->file, f->text));
	}
	g_ptr_array_unref(list);
}

/* Adds the verdict of the nodes, if it is an error that was not found yet. */
static void
add_verdict(struct check *k, struct conf *base)
{
	struct conf_verdict v;
	GBytes *rec;

	if (k->errors->len > 0 || k->change.ops.ops_len == 0)
		return;
	rec = pt_encode((xdrproc_t)xdr_pt_change, &k->change);
	v = conf_eval(base, conf_position(base) + 1, rec);
	g_bytes_unref(rec);
	if (v.kind != PT_ACCEPTED)
		g_ptr_array_add(
		    k->errors, g_strdup_printf("%s: %s", k->file, v.text));
}

/* Checks against the version in force at the node. */
static gboolean
compare(struct check *k, GError **err)
{
	struct conf *base;
	GError *cause = NULL;

	if (!ctl_call_get(k->ctl, -1, NULL, &k->current, err))
		return FALSE;
	base = conf_from_get(&k->current, err);
	if (base == NULL)
		return FALSE;
	find(k, k->ctl->prune ? NULL : base, TRUE);
	k->compared = decl_diff(k->decl, k->current.resources.resources_val,
	    k->current.resources.resources_len, k->ctl->prune, &k->change,
	    &cause);
	if (k->compared) {
		add_verdict(k, base);
	} else {
		g_ptr_array_add(k->errors,
		    g_strdup_printf("%s: %s", k->file, cause->message));
		g_error_free(cause);
	}
	conf_unref(base);
	return TRUE;
}

static void
texts_json(JsonBuilder *b, const char *name, const GPtrArray *list)
{
	char *s;
	guint i;

	json_builder_set_member_name(b, name);
	json_builder_begin_array(b);
	for (i = 0; i < list->len; i++) {
		s = ctl_printable(list->pdata[i]);
		json_builder_add_string_value(b, s);
		g_free(s);
	}
	json_builder_end_array(b);
}

static void
print_json(const struct check *k)
{
	JsonBuilder *b = json_builder_new();

	json_builder_begin_object(b);
	ctl_json_text(b, "file", k->file);
	texts_json(b, "errors", k->errors);
	texts_json(b, "warnings", k->warnings);
	if (k->compared) {
		ctl_json_int(b, "version", k->current.vers);
		ctl_json_ops(b, &k->current, &k->change);
	}
	json_builder_end_object(b);
	ctl_json_print(b);
}

static void
print_texts(const char *what, const GPtrArray *list)
{
	char *s;
	guint i;

	for (i = 0; i < list->len; i++) {
		s = ctl_printable(list->pdata[i]);
		printf("%s: %s\n", what, s);
		g_free(s);
	}
}

static void
print_text(const struct check *k)
{
	print_texts("error", k->errors);
	print_texts("warning", k->warnings);
	if (k->compared) {
		ctl_ops_table(&k->current, &k->change);
		printf("%u differences from version %" G_GINT64_FORMAT "\n",
		    k->change.ops.ops_len, (gint64)k->current.vers);
	}
	printf("%u errors, %u warnings\n", k->errors->len, k->warnings->len);
}

static enum ctl_exit
report(const struct check *k)
{
	if (k->ctl->json)
		print_json(k);
	else
		print_text(k);
	if (k->errors->len > 0)
		return CTL_CHECK_ERRORS;
	return k->warnings->len > 0 ? CTL_CHECK_WARNINGS : CTL_OK;
}

enum ctl_exit
ctl_check(struct ctl *c, char **args)
{
	struct check k = { 0 };
	GError *err = NULL;
	enum ctl_exit code;

	k.ctl = c;
	k.file = args[0];
	k.errors = g_ptr_array_new_with_free_func(g_free);
	k.warnings = g_ptr_array_new_with_free_func(g_free);
	if (!read_declarations(&k, &err))
		code = ctl_fail(CTL_USAGE, err);
	else if (k.decl != NULL && c->host != NULL && !compare(&k, &err))
		code = ctl_fail(CTL_UNREACHABLE, err);
	else {
		if (k.decl != NULL && c->host == NULL)
			find(&k, NULL, c->prune);
		code = report(&k);
	}
	check_clear(&k);
	return code;
}
