/*
 * Results of a load as percentiles, table and JSON.
 */

#include <glib.h>
#include <rpc/rpc.h>
#include <stdlib.h>

#include "pt.h"
#include "port.h"
#include "mesh.h"

static int
by_value(gconstpointer a, gconstpointer b)
{
	gint32 x = *(const gint32 *)a, y = *(const gint32 *)b;

	return (x > y) - (x < y);
}

gint32
mesh_percentile(GArray *us, double p)
{
	guint i;

	if (us->len == 0)
		return 0;
	g_array_sort(us, by_value);
	i = (guint)(p / 100.0 * us->len);
	return g_array_index(us, gint32, MIN(i, us->len - 1));
}

char *
mesh_load_table(const struct mesh_load *l)
{
	const struct mesh_kind_stats *s;
	GString *t = g_string_new(NULL);
	guint i, r;

	g_string_append_printf(t, "%-10s %8s", "kind", "sent");
	for (r = 0; r < MESH_RESULTS; r++)
		g_string_append_printf(t, " %8s", mesh_result_names[r]);
	g_string_append_printf(
	    t, " %7s %9s %9s\n", "moved", "p50_ms", "p99_ms");
	for (i = 0; i < mesh_load_kinds(l); i++) {
		s = mesh_load_stats(l, i);
		g_string_append_printf(t, "%-10s %8" G_GUINT64_FORMAT,
		    mesh_load_kind(l, i)->name, s->sent);
		for (r = 0; r < MESH_RESULTS; r++)
			g_string_append_printf(
			    t, " %8" G_GUINT64_FORMAT, s->results[r]);
		g_string_append_printf(t,
		    " %7" G_GUINT64_FORMAT " %9.2f %9.2f\n", s->moved,
		    mesh_percentile(s->latency_us, 50) / 1000.0,
		    mesh_percentile(s->latency_us, 99) / 1000.0);
	}
	return g_string_free(t, FALSE);
}

char *
mesh_load_json(const struct mesh_load *l)
{
	const struct mesh_kind_stats *s;
	GString *t = g_string_new("{");
	guint i, r;

	for (i = 0; i < mesh_load_kinds(l); i++) {
		s = mesh_load_stats(l, i);
		g_string_append_printf(t,
		    "%s\"%s\":{\"sent\":%" G_GUINT64_FORMAT, i > 0 ? "," : "",
		    mesh_load_kind(l, i)->name, s->sent);
		for (r = 0; r < MESH_RESULTS; r++)
			g_string_append_printf(t, ",\"%s\":%" G_GUINT64_FORMAT,
			    mesh_result_names[r], s->results[r]);
		g_string_append_printf(t,
		    ",\"moved\":%" G_GUINT64_FORMAT
		    ",\"restarted\":%" G_GUINT64_FORMAT
		    ",\"bytes\":%" G_GUINT64_FORMAT
		    ",\"p50_ms\":%.3f,\"p99_ms\":%.3f}",
		    s->moved, s->restarted, s->bytes,
		    mesh_percentile(s->latency_us, 50) / 1000.0,
		    mesh_percentile(s->latency_us, 99) / 1000.0);
	}
	g_string_append(t, "}\n");
	return g_string_free(t, FALSE);
}
