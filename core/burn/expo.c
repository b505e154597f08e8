#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "port.h"
#include "burn.h"

/* 2^53: a double holds whole numbers exactly only up to this value. */
#define VALUE_MAX 9007199254740992.0

void
expo_init(struct expo *x, const char *text)
{
	memset(x, 0, sizeof(*x));
	x->next = text;
	x->buf = g_string_new(NULL);
}

void
expo_clear(struct expo *x)
{
	g_string_free(x->buf, TRUE);
	x->buf = NULL;
}

static const char *
skip_blanks(const char *s)
{
	while (*s == ' ' || *s == '\t')
		s++;
	return s;
}

/* Copies a name to the buffer; returns what follows it, NULL if empty. */
static const char *
scan_name(struct expo *x, const char *s)
{
	const char *from = s;

	while (g_ascii_isalnum(*s) || *s == '_' || *s == ':')
		s++;
	g_string_append_len(x->buf, from, s - from);
	g_string_append_c(x->buf, '\0');
	return s > from ? s : NULL;
}

/* Copies a quoted label value; returns what follows the closing quote. */
static const char *
scan_quoted(struct expo *x, const char *s)
{
	if (*s++ != '"')
		return NULL;
	for (; *s != '"'; s++) {
		if (*s == '\0' || *s == '\n')
			return NULL;
		if (*s == '\\' && s[1] != '\0' && s[1] != '\n') {
			s++;
			g_string_append_c(x->buf, *s == 'n' ? '\n' : *s);
		} else {
			g_string_append_c(x->buf, *s);
		}
	}
	g_string_append_c(x->buf, '\0');
	return s + 1;
}

static const char *
scan_labels(struct expo *x, const char *s)
{
	if (*s != '{')
		return s;
	s = skip_blanks(s + 1);
	while (*s != '}') {
		if (x->n_labels >= EXPO_LABELS_MAX)
			return NULL;
		x->label_name[x->n_labels] = x->buf->len;
		s = scan_name(x, s);
		if (s == NULL || *s != '=')
			return NULL;
		x->label_value[x->n_labels++] = x->buf->len;
		s = scan_quoted(x, s + 1);
		if (s == NULL)
			return NULL;
		s = skip_blanks(s);
		if (*s == ',')
			s = skip_blanks(s + 1);
		else if (*s != '}')
			return NULL;
	}
	return s + 1;
}

/*
 * Parses the value, which a timestamp may follow.  NaN, negative values and
 * values of VALUE_MAX or more are read as 0.
 */
static gboolean
scan_value(struct expo *x, const char *s)
{
	char *end;
	double v;

	s = skip_blanks(s);
	if (*s == '\n' || *s == '\0')
		return FALSE;
	v = g_ascii_strtod(s, &end);
	if (end == s || (*end != '\0' && !g_ascii_isspace(*end)))
		return FALSE;
	x->value = v >= 0 && v < VALUE_MAX ? (guint64)v : 0;
	return TRUE;
}

gboolean
expo_next(struct expo *x)
{
	const char *s, *end;

	while (*x->next != '\0' && x->bad_line == 0) {
		s = skip_blanks(x->next);
		end = strchr(x->next, '\n');
		x->next = end != NULL ? end + 1 : x->next + strlen(x->next);
		x->line++;
		if (*s == '#' || *s == '\n' || *s == '\r' || *s == '\0')
			continue;
		g_string_set_size(x->buf, 0);
		x->n_labels = 0;
		s = scan_name(x, s);
		s = s != NULL ? scan_labels(x, skip_blanks(s)) : NULL;
		if (s != NULL && scan_value(x, s)) {
			x->name = x->buf->str;
			return TRUE;
		}
		x->bad_line = x->line;
	}
	return FALSE;
}

const char *
expo_label(const struct expo *x, const char *name)
{
	guint i;

	for (i = 0; i < x->n_labels; i++)
		if (strcmp(x->buf->str + x->label_name[i], name) == 0)
			return x->buf->str + x->label_value[i];
	return NULL;
}
