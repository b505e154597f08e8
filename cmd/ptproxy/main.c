#include <gio/gio.h>
#include <glib-unix.h>
#include <glib/gstdio.h>
#include <rpc/rpc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "memb.h"
#include "call.h"
#include "platform.h"
#include "proxy.h"

/*
 * Interval at which the settings file is checked for changes, which need not
 * come with a signal.
 */
#define WATCH_US (2 * G_TIME_SPAN_SECOND)
/* Most lines of the log per second. */
#define LOG_RATE 100
/* Most lines of the log in a burst. */
#define LOG_BURST 400

struct watch {
	struct proxy *proxy;
	gint64 modified; /* modification time and size of the file when read */
	gint64 size;
	guint timer;
};

static gboolean
on_stop(gpointer arg)
{
	stop_begin(arg);
	return G_SOURCE_CONTINUE;
}

static gboolean
on_reload(gpointer arg)
{
	proxy_reload(arg);
	return G_SOURCE_CONTINUE;
}

static void
quit(void *arg)
{
	g_main_loop_quit(arg);
}

static gboolean
file_changed(struct watch *w)
{
	GStatBuf st;
	gint64 at;

	if (g_stat(plat_settings_path(), &st) != 0)
		return FALSE;
	at = (gint64)st.st_mtim.tv_sec * G_USEC_PER_SEC +
	     st.st_mtim.tv_nsec / 1000;
	if (at == w->modified && st.st_size == w->size)
		return FALSE;
	w->modified = at;
	w->size = st.st_size;
	return TRUE;
}

static void
watch_file(void *arg)
{
	struct watch *w = arg;

	w->timer = sys_after(WATCH_US, watch_file, w);
	if (file_changed(w))
		proxy_reload(w->proxy);
}

static int
fail(GError *err)
{
	fprintf(stderr, "ptproxy: %s\n", err->message);
	g_error_free(err);
	return EXIT_FAILURE;
}

static void
run(struct proxy *p, GMainLoop *loop)
{
	struct watch w = { .proxy = p };

	file_changed(&w);
	w.timer = sys_after(WATCH_US, watch_file, &w);
	g_main_loop_run(loop);
	sys_cancel(&w.timer);
}

int
main(int argc, char **argv)
{
	char *name = NULL;
	enum pt_level level;
	const struct sys_setting settings[] = {
		{ "log-level", SYS_STRING, &name, 0, 0, "debug",
		    "least severe event written: error, warning, info, "
		    "debug" },
	};
	struct proxy p = { .clock = sys_clock, .events = sys_events };
	GError *err = NULL;
	GMainLoop *loop;

	signal(SIGPIPE, SIG_IGN);
	/* Handled by the main loop: one that comes during the start waits. */
	g_unix_signal_add(SIGTERM, on_stop, &p);
	g_unix_signal_add(SIGINT, on_stop, &p);
	g_unix_signal_add(SIGHUP, on_reload, &p);
	if (!sys_settings(settings, G_N_ELEMENTS(settings), "PTPROXY",
		"node beside a backend server; its settings file is named by "
		"the platform",
		&argc, &argv, &err) ||
	    !sys_no_arguments(argc, argv, &err) ||
	    !sys_level(name, &level, &err))
		return fail(err);
	p.set = plat_settings_read(plat_settings_path(), &err);
	if (p.set == NULL)
		return fail(err);
	sys_events_init("ptproxy", p.set->instance, level);
	g_free(name);
	sys_events_stdout(LOG_RATE, LOG_BURST);
	h1_faults_log(&p.events);
	p.rand = g_rand_new();
	p.started = g_get_real_time();
#ifdef PT_MUTANTS
	/* Enables a deliberate fault, to prove that the soak detects it. */
	if (g_getenv("PT_MUTANT") != NULL)
		pt_mutant = (enum pt_mutant)atoi(g_getenv("PT_MUTANT"));
#endif
	loop = g_main_loop_new(NULL, FALSE);
	p.stopped = quit;
	p.stopped_arg = loop;
	if (!proxy_start(&p, &err)) {
		proxy_release(&p);
		g_main_loop_unref(loop);
		return fail(err);
	}
	run(&p, loop);
	proxy_release(&p);
	sys_events_flush();
	g_main_loop_unref(loop);
	return EXIT_SUCCESS;
}
