/*
 * ptlog: stand-in for the platform's append-only log, for tests, benches and
 * the quick start.  Streams are kept in memory only.
 */

#include <glib.h>
#include <glib-unix.h>
#include <sys/queue.h>
#include <libsoup/soup.h>
#include <rpc/rpc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "mesh.h"
#include "ptlog.h"

static gboolean
quit(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_CONTINUE;
}

static void
run(void)
{
	GMainLoop *loop;

	loop = g_main_loop_new(NULL, FALSE);
	g_unix_signal_add(SIGTERM, quit, loop);
	g_unix_signal_add(SIGINT, quit, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}

int
main(int argc, char **argv)
{
	char *host = NULL;
	char *level = NULL;
	enum pt_level lv;
	int port, age, count, rate, size;
	struct log_opts o = { 0 };
	struct log_http *h;
	GError *err = NULL;
	const struct sys_setting set[] = {
		{ "host", SYS_STRING, &host, 0, 0, "127.0.0.1",
		    "IP number to listen on" },
		{ "port", SYS_INT, &port, 1, 65535, "8600", "TCP port" },
		{ "retention-ms", SYS_INT, &age, 100, G_MAXINT, "3600000",
		    "age at which a record is dropped, ms" },
		{ "retention-count", SYS_INT, &count, 1, 10000000, "100000",
		    "records kept in a stream" },
		{ "appends-per-second", SYS_INT, &rate, 1, 1000000, "300",
		    "appends accepted per second" },
		{ "max-record", SYS_INT, &size, 1, PT_RECORD_MAX, "262144",
		    "size of the largest record, bytes" },
		{ "log-level", SYS_STRING, &level, 0, 0, "info",
		    "least severe event written: error, warning, info or "
		    "debug" },
	};

	if (!sys_settings(set, G_N_ELEMENTS(set), "PTLOG",
		"- stand-in for the platform's log", &argc, &argv, &err) ||
	    !sys_level(level, &lv, &err) ||
	    !sys_no_arguments(argc, argv, &err)) {
		fprintf(stderr, "ptlog: %s\n", err->message);
		return 1;
	}
	sys_events_init("ptlog", NULL, lv);
	o.host = host;
	o.port = port;
	o.per_second = rate;
	o.max_record = size;
	o.store = store_new((gint64)age * 1000, count);
	h = log_http_new(&o, &err);
	if (h == NULL) {
		fprintf(stderr, "ptlog: %s\n", err->message);
		return 1;
	}
	pt_event(&sys_events, PT_LEVEL_INFO, "listening", "host=%s port=%d",
	    host, port);
	run();
	log_http_free(h);
	store_free(o.store);
	g_free(host);
	g_free(level);
	return EXIT_SUCCESS;
}
