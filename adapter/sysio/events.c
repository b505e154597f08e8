#include <glib.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "port.h"
#include "sysio.h"
#include "lines.h"

/* Syslog priorities: err, warning, info, debug. */
static const int priority[] = { 3, 4, 6, 7 };

static struct {
	const char *program;
	char *instance;
	enum pt_level level;
} process = { "primrosetide", NULL, PT_LEVEL_INFO };

static char *
format(enum pt_level level, const char *name, const char *fields)
{
	GDateTime *now;
	char *when, *line;

	now = g_date_time_new_now_utc();
	when = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
	line = g_strdup_printf("%s.%03dZ %s[%d] event=%s%s%s%s%s\n", when,
	    g_date_time_get_microsecond(now) / 1000, process.program,
	    (int)getpid(), name, process.instance != NULL ? " instance=" : "",
	    process.instance != NULL ? process.instance : "",
	    *fields != '\0' ? " " : "", fields);
	g_free(when);
	g_date_time_unref(now);
	return line;
}

static void
write_event(
    void *ctx, enum pt_level level, const char *name, const char *fields)
{
	char *line;

	if (level > process.level || !sys_lines_allow(level))
		return;
	line = format(level, name, fields);
	if (!sys_lines_add(level, line))
		fprintf(stderr, "<%d> %s", priority[level], line);
	g_free(line);
}

const struct pt_events sys_events = { write_event, NULL };

void
sys_events_init(const char *program, const char *instance, enum pt_level level)
{
	process.program = program;
	g_free(process.instance);
	process.instance = instance != NULL ? sys_quote(instance) : NULL;
	process.level = level;
}

char *
sys_quote(const char *v)
{
	GString *s;

	if (v == NULL)
		return g_strdup("\"\"");
	if (*v != '\0' && v[strcspn(v, " \"\\=\t\r\n")] == '\0')
		return g_strdup(v);
	s = g_string_new("\"");
	for (; *v != '\0'; v++) {
		if (*v == '"' || *v == '\\')
			g_string_append_c(s, '\\');
		g_string_append_c(s, (guchar)*v < ' ' ? ' ' : *v);
	}
	g_string_append_c(s, '"');
	return g_string_free(s, FALSE);
}
