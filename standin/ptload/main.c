/*
 * ptload: paced caller for tests and benches.
 *   ptload --url http://HOST:PORT[,URL...] --seconds N KIND...
 * KIND is NAME:METHOD:PATH:CALLS_PER_SECOND:BYTES[:keyed].  Each call goes to
 * a random URL; its answer is compared with the body that ptback generates.
 */

#include <glib.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "mesh.h"

/* Time, beyond the time-out of a call, to wait for the last calls to end. */
#define SETTLE_MS 2000

static gboolean
parse_kind(const char *text, struct mesh_kind *k, GError **err)
{
	char **f = g_strsplit(text, ":", -1);
	guint n = g_strv_length(f);

	if (n < 5 || n > 6 || (n == 6 && strcmp(f[5], "keyed") != 0) ||
	    f[2][0] != '/' || g_ascii_strtod(f[3], NULL) <= 0) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "kind \"%s\" is not "
		    "NAME:METHOD:PATH:CALLS_PER_SECOND:BYTES[:keyed]; "
		    "give for example lookup:GET:/lookup:50:256",
		    text);
		g_strfreev(f);
		return FALSE;
	}
	k->name = g_strdup(f[0]);
	k->method = g_strdup(f[1]);
	k->path = g_strdup(f[2]);
	k->per_second = g_ascii_strtod(f[3], NULL);
	k->size = g_ascii_strtoull(f[4], NULL, 10);
	k->keyed = n == 6;
	g_strfreev(f);
	return TRUE;
}

static gboolean
check(char **urls, int argc, GError **err)
{
	for (; *urls != NULL; urls++)
		if (!sys_http_url("url", *urls, err))
			return FALSE;
	if (argc > 1)
		return TRUE;
	g_set_error_literal(err, PT_ERROR, PT_ERROR_SETTING,
	    "no kind of call is given; give for example "
	    "lookup:GET:/lookup:50:256");
	return FALSE;
}

static void
kinds_free(struct mesh_kind *k, guint n)
{
	guint i;

	for (i = 0; i < n; i++) {
		g_free((char *)k[i].name);
		g_free((char *)k[i].method);
		g_free((char *)k[i].path);
	}
	g_free(k);
}

static void
run(const struct mesh_load_opts *o, guint seconds, gboolean json)
{
	struct mesh_load *l = mesh_load_new(o);
	char *text;

	mesh_load_start(l);
	mesh_sleep(seconds * 1000);
	mesh_load_stop(l);
	mesh_load_settle(l, o->timeout_ms + SETTLE_MS);
	text = json ? mesh_load_json(l) : mesh_load_table(l);
	fputs(text, stdout);
	g_free(text);
	mesh_load_free(l);
}

int
main(int argc, char **argv)
{
	char *url = NULL, **urls;
	int seconds, seed, timeout, conns, deadline, n = 0;
	gboolean json;
	struct mesh_load_opts o = { 0 };
	struct mesh_kind *kinds;
	GError *err = NULL;
	const struct sys_setting set[] = {
		{ "url", SYS_STRING, &url, 0, 0, NULL,
		    "entry nodes, separated by commas" },
		{ "seconds", SYS_INT, &seconds, 1, 3600, "10",
		    "length of the run, s" },
		{ "seed", SYS_INT, &seed, 1, G_MAXINT, "1",
		    "seed of the arrivals" },
		{ "timeout-ms", SYS_INT, &timeout, 1, 600000, "10000",
		    "time-out of a call, ms" },
		{ "connections", SYS_INT, &conns, 1, 10000, "256",
		    "maximum connections to an entry node" },
		{ "deadline-ms", SYS_INT, &deadline, 0, 600000, "0",
		    "Pt-Deadline-Ms of every call, ms; 0: none" },
		{ "json", SYS_FLAG, &json, 0, 0, "false",
		    "print JSON instead of a table" },
	};

	if (!sys_settings(set, G_N_ELEMENTS(set), "PTLOAD",
		"KIND... - paced caller", &argc, &argv, &err)) {
		fprintf(stderr, "ptload: %s\n", err->message);
		return 1;
	}
	urls = g_strsplit(url, ",", -1);
	if (!check(urls, argc, &err)) {
		fprintf(stderr, "ptload: %s\n", err->message);
		g_strfreev(urls);
		return 1;
	}
	kinds = g_new0(struct mesh_kind, argc);
	for (n = 0; n + 1 < argc; n++) {
		if (!parse_kind(argv[n + 1], &kinds[n], &err)) {
			fprintf(stderr, "ptload: %s\n", err->message);
			kinds_free(kinds, n);
			return 1;
		}
		kinds[n].deadline_ms = deadline;
	}
	o.urls = (const char *const *)urls;
	o.kinds = kinds;
	o.n_kinds = n;
	o.seed = seed;
	o.timeout_ms = timeout;
	o.connections = conns;
	run(&o, seconds, json);
	g_strfreev(urls);
	kinds_free(kinds, n);
	g_free(url);
	return EXIT_SUCCESS;
}
