/* Settings and sampling of ptburn. */
#include <errno.h>
#include <glib.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "port.h"
#include "sysio.h"
#include "burn.h"
#include "ptburn.h"

#define EXIT_OK 0
#define EXIT_SETTINGS 1
#define EXIT_DATA 3
#define EXIT_UNREACHABLE 4

struct settings {
	char *nodes; /* HOST:PORT,... */
	char *from, *save, *plot; /* files, empty: none */
	char *objective;
	int interval_s, rounds, timeout_ms;
	gboolean json;
};

struct ptburn {
	struct settings set;
	double objective; /* 0..1 */
	struct burn *rates; /* burn rates of the samples */
	char **nodes;
	FILE *save;
};

static gboolean
read_settings(struct settings *s, int *argc, char ***argv, GError **err)
{
	const struct sys_setting all[] = {
		{ "nodes", SYS_STRING, &s->nodes, 0, 0, "",
		    "admin addresses of nodes, HOST:PORT,..." },
		{ "from", SYS_STRING, &s->from, 0, 0, "",
		    "file of saved samples to begin with" },
		{ "save", SYS_STRING, &s->save, 0, 0, "",
		    "file to append the samples to" },
		{ "plot", SYS_STRING, &s->plot, 0, 0, "",
		    "SVG file to write: share of bad calls over time" },
		{ "objective", SYS_STRING, &s->objective, 0, 0, "99",
		    "percent of calls within target, 0 to 99.999" },
		{ "interval", SYS_INT, &s->interval_s, 1, 3600, "10",
		    "time between rounds in s, 1 to 3600" },
		{ "rounds", SYS_INT, &s->rounds, 1, 1000000, "2",
		    "rounds of samples, 1 to 1000000" },
		{ "timeout-ms", SYS_INT, &s->timeout_ms, 100, 60000, "3000",
		    "time limit of a sample in ms, 100 to 60000" },
		{ "json", SYS_FLAG, &s->json, 0, 0, "false",
		    "print one JSON document: true or false" },
	};

	return sys_settings(all, G_N_ELEMENTS(all), "PTBURN",
	    "- service-level burn by service and rank", argc, argv, err);
}

static gboolean
check_objective(struct ptburn *p, GError **err)
{
	char *end;
	double v = g_ascii_strtod(p->set.objective, &end);

	if (end != p->set.objective && *end == '\0' && v >= 0 && v <= 99.999) {
		p->objective = v / 100;
		return TRUE;
	}
	g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
	    "setting objective is \"%s\"; give a percentage from 0 to 99.999",
	    p->set.objective);
	return FALSE;
}

static gboolean
check_settings(struct ptburn *p, int argc, char **argv, GError **err)
{
	if (!sys_no_arguments(argc, argv, err))
		return FALSE;
	p->nodes = g_strsplit(p->set.nodes, ",", -1);
	if (p->nodes[0] == NULL && p->set.from[0] == '\0') {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "settings nodes and from are missing; give --nodes as "
		    "HOST:PORT,... of admin ports, or --from FILE");
		return FALSE;
	}
	if (!check_objective(p, err))
		return FALSE;
	if (p->set.save[0] == '\0')
		return TRUE;
	p->save = fopen(p->set.save, "ae");
	if (p->save != NULL)
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
	    "setting save is \"%s\": %s; give a file that can be written",
	    p->set.save, g_strerror(errno));
	return FALSE;
}

/* Appends the text to the file of --save, if any, and frees it. */
static void
save(struct ptburn *p, char *text)
{
	if (p->save != NULL)
		fputs(text, p->save);
	g_free(text);
}

/* Samples each node; returns how many of them responded, -1 on error. */
static int
sample_all(struct ptburn *p, GError **err)
{
	guint n = g_strv_length(p->nodes), i;
	struct fetch_result *r = g_new0(struct fetch_result, n);
	int responded = 0;

	for (i = 0; i < n; i++)
		r[i].node = p->nodes[i];
	fetch_all(r, n, (guint)p->set.timeout_ms);
	for (i = 0; i < n && responded >= 0; i++) {
		if (r[i].text == NULL) {
			fprintf(stderr, "ptburn: node %s: %s\n", r[i].node,
			    r[i].error);
			burn_miss(p->rates, r[i].node);
			save(p, burn_format_miss(r[i].node));
		} else if (burn_sample(p->rates, r[i].node, r[i].text, err)) {
			save(p, burn_format_node(r[i].node, r[i].text));
			responded++;
		} else {
			responded = -1;
		}
	}
	fetch_clear(r, n);
	g_free(r);
	return responded;
}

static int
sample_rounds(struct ptburn *p, GError **err)
{
	int i, n, responded = 0;
	gint64 at_s;

	for (i = 0; i < p->set.rounds; i++) {
		if (i > 0)
			g_usleep((gulong)p->set.interval_s * G_USEC_PER_SEC);
		at_s = g_get_real_time() / G_USEC_PER_SEC;
		n = sample_all(p, err);
		if (n < 0 || !burn_round(p->rates, at_s, err))
			return EXIT_DATA;
		save(p, burn_format_round(at_s));
		if (p->save != NULL)
			fflush(p->save);
		responded += n;
	}
	if (responded > 0)
		return EXIT_OK;
	g_set_error(err, PT_ERROR, PT_ERROR_UNREACHABLE,
	    "no node responded; check the addresses given with --nodes");
	return EXIT_UNREACHABLE;
}

static int
load(struct ptburn *p, GError **err)
{
	char *text;
	gsize len;
	gboolean ok;

	if (!g_file_get_contents(p->set.from, &text, &len, err))
		return EXIT_SETTINGS;
	ok = burn_replay(p->rates, text, len, err);
	g_free(text);
	g_prefix_error(err, "%s: ", p->set.from);
	return ok ? EXIT_OK : EXIT_DATA;
}

static int
report(struct ptburn *p, GError **err)
{
	if (p->set.json)
		print_json(p->rates, p->objective);
	else
		print_table(p->rates, p->objective);
	if (p->set.plot[0] != '\0' && !plot_svg(p->rates, p->set.plot, err))
		return EXIT_SETTINGS;
	return EXIT_OK;
}

static int
run(struct ptburn *p, GError **err)
{
	struct burn_opts o = { p->objective };
	int code = EXIT_OK;

	p->rates = burn_new(&o);
	if (p->set.from[0] != '\0')
		code = load(p, err);
	if (code == EXIT_OK && p->nodes[0] != NULL)
		code = sample_rounds(p, err);
	if (code == EXIT_OK)
		code = report(p, err);
	burn_free(p->rates);
	return code;
}

int
main(int argc, char **argv)
{
	struct ptburn p = { 0 };
	GError *err = NULL;
	int code = EXIT_SETTINGS;

	g_set_prgname("ptburn");
	if (read_settings(&p.set, &argc, &argv, &err) &&
	    check_settings(&p, argc, argv, &err))
		code = run(&p, &err);
	if (err != NULL)
		fprintf(stderr, "ptburn: %s\n", err->message);
	g_clear_error(&err);
	if (p.save != NULL && fclose(p.save) != 0) {
		perror("ptburn: saved samples");
		code = EXIT_SETTINGS;
	}
	g_strfreev(p.nodes);
	g_free(p.set.nodes);
	g_free(p.set.from);
	g_free(p.set.save);
	g_free(p.set.plot);
	g_free(p.set.objective);
	return code;
}
