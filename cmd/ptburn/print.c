#include <glib.h>
#include <rpc/rpc.h>
#include <json-glib/json-glib.h>
#include <stdio.h>

#include "port.h"
#include "burn.h"
#include "ptburn.h"

static guint64
calls(const struct burn_window *w)
{
	return w->good + w->late + w->failed + w->not_run + w->unknown;
}

static void
print_row(void *ctx, const struct burn_row *r)
{
	const struct burn_window *w;
	guint i;

	for (i = 0; i < BURN_WINDOWS; i++) {
		w = &r->window[i];
		printf("%-20s %-12s %-4s %10" G_GUINT64_FORMAT
		       " %8.3f %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
		       " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
		       " %8.2f%s\n",
		    r->service, r->rank, burn_window_name[i], calls(w),
		    w->share * 100, w->late, w->not_run, w->failed, w->unknown,
		    w->rate, w->complete ? "" : " *");
	}
}

void
print_table(struct burn *b, double objective)
{
	struct burn_stats st;
	guint i;

	burn_stats(b, &st);
	printf(
	    "objective %.3f %% within target; %u nodes, %u rounds, %u samples "
	    "missing, %u restarts of nodes\n",
	    objective * 100, st.nodes, st.rounds, st.misses, st.restarts);
	printf("%-20s %-12s %-4s %10s %8s %8s %8s %8s %8s %8s\n", "service",
	    "rank", "win", "calls", "good_%", "late", "not-run", "failed",
	    "unknown", "burn");
	burn_report(b, print_row, NULL);
	for (i = 0; i < BURN_WINDOWS; i++)
		if (st.last_s - st.first_s < burn_window_s[i])
			printf("* window %s is not covered: the samples span "
			       "%" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
			       " s, the figures are for that span\n",
			    burn_window_name[i], st.last_s - st.first_s,
			    burn_window_s[i]);
}

static void
window_json(JsonBuilder *j, const struct burn_window *w, guint window)
{
	const struct {
		const char *name;
		guint64 v;
	} n[] = { { "good", w->good }, { "late", w->late },
		{ "not_run", w->not_run }, { "failed", w->failed },
		{ "unknown", w->unknown } };
	guint i;

	json_builder_begin_object(j);
	json_builder_set_member_name(j, "window");
	json_builder_add_string_value(j, burn_window_name[window]);
	json_builder_set_member_name(j, "covered_s");
	json_builder_add_int_value(j, w->covered_s);
	json_builder_set_member_name(j, "complete");
	json_builder_add_boolean_value(j, w->complete);
	for (i = 0; i < G_N_ELEMENTS(n); i++) {
		json_builder_set_member_name(j, n[i].name);
		json_builder_add_int_value(j, (gint64)n[i].v);
	}
	json_builder_set_member_name(j, "share");
	json_builder_add_double_value(j, w->share);
	json_builder_set_member_name(j, "burn");
	json_builder_add_double_value(j, w->rate);
	json_builder_end_object(j);
}

static void
row_json(void *ctx, const struct burn_row *r)
{
	JsonBuilder *j = ctx;
	guint i;

	json_builder_begin_object(j);
	json_builder_set_member_name(j, "service");
	json_builder_add_string_value(j, r->service);
	json_builder_set_member_name(j, "rank");
	json_builder_add_string_value(j, r->rank);
	json_builder_set_member_name(j, "windows");
	json_builder_begin_array(j);
	for (i = 0; i < BURN_WINDOWS; i++)
		window_json(j, &r->window[i], i);
	json_builder_end_array(j);
	json_builder_end_object(j);
}

void
print_json(struct burn *b, double objective)
{
	JsonBuilder *j = json_builder_new();
	struct burn_stats st;
	JsonNode *root;
	char *s;

	burn_stats(b, &st);
	json_builder_begin_object(j);
	json_builder_set_member_name(j, "objective");
	json_builder_add_double_value(j, objective);
	json_builder_set_member_name(j, "nodes");
	json_builder_add_int_value(j, st.nodes);
	json_builder_set_member_name(j, "rounds");
	json_builder_add_int_value(j, st.rounds);
	json_builder_set_member_name(j, "missing");
	json_builder_add_int_value(j, st.misses);
	json_builder_set_member_name(j, "restarts");
	json_builder_add_int_value(j, st.restarts);
	json_builder_set_member_name(j, "series");
	json_builder_begin_array(j);
	burn_report(b, row_json, j);
	json_builder_end_array(j);
	json_builder_end_object(j);
	root = json_builder_get_root(j);
	s = json_to_string(root, TRUE);
	printf("%s\n", s);
	g_free(s);
	json_node_unref(root);
	g_object_unref(j);
}
