/* Files of saved samples: the lines that a report needs, by round. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "port.h"
#include "burn.h"

/*
 * A round lists its nodes, each followed by its lines, and ends with its time.
 * The marks are comments in text exposition format.
 */
#define MARK_NODE "# node "
#define MARK_MISS "# miss "
#define MARK_ROUND "# round "

char *
burn_format_round(gint64 at)
{
	return g_strdup_printf(MARK_ROUND "%" G_GINT64_FORMAT "\n", at);
}

char *
burn_format_miss(const char *node)
{
	return g_strdup_printf(MARK_MISS "%s\n", node);
}

char *
burn_format_node(const char *node, const char *text)
{
	GString *s = g_string_new(MARK_NODE);
	char **lines = g_strsplit(text, "\n", -1);
	guint i;

	g_string_append_printf(s, "%s\n", node);
	for (i = 0; lines[i] != NULL; i++)
		if (g_str_has_prefix(lines[i], EXPO_REQUESTS) ||
		    g_str_has_prefix(lines[i], EXPO_GOOD))
			g_string_append_printf(s, "%s\n", lines[i]);
	g_strfreev(lines);
	return g_string_free(s, FALSE);
}

/* State of the parser of a file of samples. */
struct replay {
	struct burn *burn;
	char *node; /* node whose lines are being read, NULL: none */
	GString *text; /* lines of that node */
};

static gboolean
node_end(struct replay *r, GError **err)
{
	gboolean ok;

	if (r->node == NULL)
		return TRUE;
	ok = burn_sample(r->burn, r->node, r->text->str, err);
	g_clear_pointer(&r->node, g_free);
	g_string_set_size(r->text, 0);
	return ok;
}

static gboolean
round_end(struct replay *r, const char *at, guint line, GError **err)
{
	gint64 v;

	if (!g_ascii_string_to_signed(at, 10, 0, G_MAXINT64, &v, NULL)) {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "line %u: \"%s\" is not a time in seconds; give a file "
		    "written by --save",
		    line, at);
		return FALSE;
	}
	return burn_round(r->burn, v, err);
}

static gboolean
replay_line(struct replay *r, const char *s, guint line, GError **err)
{
	gboolean node = g_str_has_prefix(s, MARK_NODE);
	gboolean miss = g_str_has_prefix(s, MARK_MISS);
	gboolean end = g_str_has_prefix(s, MARK_ROUND);

	if ((node || miss || end) && !node_end(r, err))
		return FALSE;
	if (node)
		r->node = g_strdup(s + strlen(MARK_NODE));
	else if (miss)
		burn_miss(r->burn, s + strlen(MARK_MISS));
	else if (end)
		return round_end(r, s + strlen(MARK_ROUND), line, err);
	else if (r->node != NULL)
		g_string_append_printf(r->text, "%s\n", s);
	return TRUE;
}

gboolean
burn_replay(struct burn *b, const char *text, gsize len, GError **err)
{
	struct replay r = { b, NULL, g_string_new(NULL) };
	const char *s = text, *end = text + len, *nl;
	gboolean ok = TRUE;
	guint line = 0;
	char *copy;

	/* A last round without its end mark was truncated and adds no round. */
	while (ok && s < end) {
		nl = memchr(s, '\n', end - s);
		copy = g_strndup(s, (nl != NULL ? nl : end) - s);
		ok = replay_line(&r, copy, ++line, err);
		g_free(copy);
		s = nl != NULL ? nl + 1 : end;
	}
	g_free(r.node);
	g_string_free(r.text, TRUE);
	return ok;
}
