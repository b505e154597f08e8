#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <glib-unix.h>
#include <gio/gio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "httpio.h"
#include "conf.h"
#include "memb.h"
#include "dist.h"
#include "call.h"
#include "settings.h"
#include "node.h"

static gboolean
on_signal(gpointer arg)
{
	stop_begin(arg);
	return G_SOURCE_CONTINUE;
}

static void
quit(void *arg)
{
	g_main_loop_quit(arg);
}

int
main(int argc, char **argv)
{
	struct node n;
	GError *err = NULL;
	GMainLoop *loop;

	memset(&n, 0, sizeof(n));
	signal(SIGPIPE, SIG_IGN);
	if (!settings_read(&n.set, &argc, &argv, &err)) {
		fprintf(stderr, "ptnode: %s\n", err->message);
		g_error_free(err);
		return EXIT_FAILURE;
	}
	sys_events_init("ptnode", n.set.instance, (enum pt_level)n.set.level);
	n.clock = sys_clock;
	n.events = sys_events;
	h1_faults_log(&n.events);
	n.rand = g_rand_new();
	n.incarnation = g_get_real_time();
	loop = g_main_loop_new(NULL, FALSE);
	n.stopped = quit;
	n.stopped_arg = loop;
	if (!node_start(&n, &err)) {
		fprintf(stderr, "ptnode: %s\n", err->message);
		g_error_free(err);
		g_main_loop_unref(loop);
		return EXIT_FAILURE;
	}
	g_unix_signal_add(SIGTERM, on_signal, &n);
	g_unix_signal_add(SIGINT, on_signal, &n);
	g_main_loop_run(loop);
	node_release(&n);
	g_main_loop_unref(loop);
	return EXIT_SUCCESS;
}
