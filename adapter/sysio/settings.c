#include <glib.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "port.h"
#include "sysio.h"

/* Returns PREFIX_NAME, the name of a setting in the environment. */
static char *
variable_name(const char *prefix, const char *name)
{
	char *up, *s;

	up = g_ascii_strup(name, -1);
	s = g_strdup_printf("%s_%s", prefix, g_strdelimit(up, "-", '_'));
	g_free(up);
	return s;
}

static gboolean
set_int(const struct sys_setting *s, const char *text, GError **err)
{
	gint64 v;

	if (!g_ascii_string_to_signed(text, 10, s->min, s->max, &v, NULL)) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "setting %s is \"%s\"; give a whole number from "
		    "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
		    s->name, text, s->min, s->max);
		return FALSE;
	}
	*(int *)s->target = (int)v;
	return TRUE;
}

static gboolean
set_flag(const struct sys_setting *s, const char *text, GError **err)
{
	gboolean yes;

	yes = strcmp(text, "true") == 0;
	if (!yes && strcmp(text, "false") != 0) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "setting %s is \"%s\"; give true or false", s->name, text);
		return FALSE;
	}
	*(gboolean *)s->target = yes;
	return TRUE;
}

static gboolean
set_value(const struct sys_setting *s, const char *text, GError **err)
{
	if (s->kind == SYS_INT)
		return set_int(s, text, err);
	if (s->kind == SYS_FLAG)
		return set_flag(s, text, err);
	*(char **)s->target = g_strdup(text);
	return TRUE;
}

static gboolean
check_variables(
    const struct sys_setting *set, guint n, const char *prefix, GError **err)
{
	char **env, **e, *var, *head;
	gboolean ok = TRUE, known;
	guint i;

	head = g_strconcat(prefix, "_", NULL);
	env = g_listenv();
	for (e = env; *e != NULL && ok; e++) {
		if (!g_str_has_prefix(*e, head))
			continue;
		known = FALSE;
		for (i = 0; i < n && !known; i++) {
			var = variable_name(prefix, set[i].name);
			known = strcmp(var, *e) == 0;
			g_free(var);
		}
		if (known)
			continue;
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "environment variable %s is not a setting; unset it or "
		    "see --help for the names",
		    *e);
		ok = FALSE;
	}
	g_strfreev(env);
	g_free(head);
	return ok;
}

static gboolean
resolve(const struct sys_setting *s, const char *prefix, const char *arg,
    GError **err)
{
	const char *text = arg;
	char *var;
	gboolean ok;

	var = variable_name(prefix, s->name);
	if (text == NULL)
		text = g_getenv(var);
	if (text == NULL)
		text = s->def;
	if (text == NULL) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "setting %s is missing; give --%s or %s (%s)", s->name,
		    s->name, var, s->help);
		ok = FALSE;
	} else {
		ok = set_value(s, text, err);
	}
	g_free(var);
	return ok;
}

gboolean
sys_settings(const struct sys_setting *set, guint n, const char *prefix,
    const char *summary, int *argc, char ***argv, GError **err)
{
	GOptionContext *c;
	GOptionEntry *e;
	GError *why = NULL;
	gboolean version = FALSE, ok;
	char **args;
	guint i;

	args = g_new0(char *, n);
	e = g_new0(GOptionEntry, n + 2);
	for (i = 0; i < n; i++) {
		e[i].long_name = set[i].name;
		e[i].arg = G_OPTION_ARG_STRING;
		e[i].arg_data = &args[i];
		e[i].description = set[i].help;
		e[i].arg_description =
		    set[i].def != NULL ? set[i].def : "VALUE (required)";
	}
	e[n].long_name = "version";
	e[n].arg = G_OPTION_ARG_NONE;
	e[n].arg_data = &version;
	e[n].description = "Print the version and exit";
	c = g_option_context_new(summary);
	g_option_context_add_main_entries(c, e, NULL);
	ok = g_option_context_parse(c, argc, argv, &why);
	if (!ok)
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "%s; see --help for the settings", why->message);
	g_clear_error(&why);
	if (version) {
		printf("%s %s\n", g_get_prgname(), PT_RELEASE);
		exit(0);
	}
	ok = ok && check_variables(set, n, prefix, err);
	for (i = 0; i < n && ok; i++)
		ok = resolve(&set[i], prefix, args[i], err);
	for (i = 0; i < n; i++)
		g_free(args[i]);
	g_free(args);
	g_free(e);
	g_option_context_free(c);
	return ok;
}

gboolean
sys_no_arguments(int argc, char **argv, GError **err)
{
	if (argc <= 1)
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
	    "unexpected argument \"%s\"; settings start with \"--\", see "
	    "--help",
	    argv[1]);
	return FALSE;
}

gboolean
sys_http_url(const char *setting, const char *value, GError **err)
{
	GUri *u;
	gboolean ok;

	u = g_uri_parse(value, G_URI_FLAGS_NONE, NULL);
	ok = u != NULL && strcmp(g_uri_get_scheme(u), "http") == 0 &&
	     g_uri_get_host(u) != NULL && *g_uri_get_host(u) != '\0';
	if (u != NULL)
		g_uri_unref(u);
	if (!ok)
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "setting %s is \"%s\"; give http://ADDRESS:PORT", setting,
		    value);
	return ok;
}

gboolean
sys_level(const char *name, enum pt_level *out, GError **err)
{
	static const char *const names[] = { "error", "warning", "info",
		"debug" };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) == 0) {
			*out = (enum pt_level)i;
			return TRUE;
		}
	}
	g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
	    "setting log-level is \"%s\"; give error, warning, info or debug",
	    name);
	return FALSE;
}
