#include <glib.h>
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "port.h"
#include "sysio.h"
#include "settings.h"

static const char *const admissions[] = { "rank", "fifo", "strict", NULL };
static const char *const distributions[] = { "tree", "poll", NULL };

/* Finds the index of a word in a list; the error names the allowed words. */
static gboolean
parse_choice(const char *name, const char *text, const char *const *words,
    int *out, GError **err)
{
	char *list;
	int i;

	for (i = 0; words[i] != NULL; i++) {
		if (strcmp(words[i], text) != 0)
			continue;
		*out = i;
		return TRUE;
	}
	list = g_strjoinv(", ", (char **)words);
	g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
	    "setting %s is \"%s\"; give one of: %s", name, text, list);
	g_free(list);
	return FALSE;
}

static gboolean
is_name(const char *setting, const char *text, GError **err)
{
	gsize n = strlen(text);

	if (n > 0 && n <= 64 &&
	    strspn(text, "abcdefghijklmnopqrstuvwxyz"
			 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == n)
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
	    "setting %s is \"%s\"; give 1 to 64 letters, digits, '-', '_' or "
	    "'.'",
	    setting, text);
	return FALSE;
}

static gboolean
is_address(const char *setting, const char *text, GError **err)
{
	GInetAddress *a;

	a = g_inet_address_new_from_string(text);
	if (a != NULL) {
		g_object_unref(a);
		return TRUE;
	}
	g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
	    "setting %s is \"%s\"; give a numeric IP address", setting, text);
	return FALSE;
}

/* Parses ADDRESS:RPC_PORT:GOSSIP_PORT; empty: there is no seed. */
static gboolean
parse_seed(struct settings *s, GError **err)
{
	char **part;
	gint64 rpc = 0, gossip = 0;
	gboolean ok;

	if (*s->seed == '\0')
		return TRUE;
	part = g_strsplit(s->seed, ":", 0);
	ok = g_strv_length(part) == 3 &&
	     g_ascii_string_to_signed(part[1], 10, 1, 65535, &rpc, NULL) &&
	     g_ascii_string_to_signed(part[2], 10, 1, 65535, &gossip, NULL) &&
	     is_address("seed", part[0], NULL);
	if (ok) {
		s->seed_host = g_strdup(part[0]);
		s->seed_rpc_port = (int)rpc;
		s->seed_gossip_port = (int)gossip;
	} else {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "setting seed is \"%s\"; give ADDRESS:RPC_PORT:GOSSIP_PORT "
		    "with a numeric address and ports from 1 to 65535",
		    s->seed);
	}
	g_strfreev(part);
	return ok;
}

static gboolean
distinct_ports(const struct settings *s, GError **err)
{
	if (s->rpc_port != s->http_port && s->rpc_port != s->admin_port &&
	    s->http_port != s->admin_port)
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
	    "settings rpc-port (%d), http-port (%d) and admin-port (%d) must "
	    "differ; change one of them",
	    s->rpc_port, s->http_port, s->admin_port);
	return FALSE;
}

static gboolean
check(struct settings *s, char *level, char *admission, char *distribution,
    GError **err)
{
	return is_name("instance", s->instance, err) &&
	       is_name("domain", s->domain, err) &&
	       is_name("region", s->region, err) &&
	       is_address("host", s->host, err) && distinct_ports(s, err) &&
	       sys_http_url("log-url", s->log_url, err) && parse_seed(s, err) &&
	       sys_level(level, &s->level, err) &&
	       parse_choice(
		   "admission", admission, admissions, &s->admission, err) &&
	       parse_choice("distribution", distribution, distributions,
		   &s->distribution, err);
}

gboolean
settings_read(struct settings *s, int *argc, char ***argv, GError **err)
{
	char *level = NULL, *admission = NULL, *distribution = NULL;
	gboolean ok;
	const struct sys_setting set[] = {
		{ "instance", SYS_STRING, &s->instance, 0, 0, NULL,
		    "name of this instance, unique in the fleet" },
		{ "domain", SYS_STRING, &s->domain, 0, 0, NULL,
		    "failure domain of this instance" },
		{ "region", SYS_STRING, &s->region, 0, 0, "default",
		    "region of this instance" },
		{ "host", SYS_STRING, &s->host, 0, 0, NULL,
		    "IP address to listen on and to announce" },
		{ "rpc-port", SYS_INT, &s->rpc_port, 1, 65535, "7400",
		    "TCP port for other nodes and ptctl" },
		{ "gossip-port", SYS_INT, &s->gossip_port, 1, 65535, "7401",
		    "UDP port for membership" },
		{ "http-port", SYS_INT, &s->http_port, 1, 65535, "8400",
		    "TCP port for callers" },
		{ "admin-port", SYS_INT, &s->admin_port, 1, 65535, "8401",
		    "TCP port for metrics and backend announcements" },
		{ "log-url", SYS_STRING, &s->log_url, 0, 0, NULL,
		    "base URL of the log service" },
		{ "log-retention", SYS_INT, &s->log_retention_s, 1, 2592000,
		    "86400", "retention time of the log, in seconds" },
		{ "seed", SYS_STRING, &s->seed, 0, 0, "",
		    "ADDRESS:RPC_PORT:GOSSIP_PORT of a node to join through; "
		    "empty: stream \"seeds\" of the log" },
		{ "announce-timeout", SYS_INT, &s->announce_timeout_ms, 1000,
		    600000, "5000",
		    "time without an announcement after which the backend "
		    "server counts as down, in ms" },
		{ "drain-notice", SYS_INT, &s->drain_notice_ms, 0, 60000,
		    "2000",
		    "time for which a draining node still accepts new work, in "
		    "ms" },
		{ "keep-alive", SYS_INT, &s->keep_alive_ms, 0, 600000, "5000",
		    "time for which idle callers may reuse a connection, in "
		    "ms" },
		{ "stop-limit", SYS_INT, &s->stop_limit_ms, 0, 600000, "0",
		    "time after which a stopping node is killed, in ms; what "
		    "may take longer is refused; 0: waits for all requests" },
		{ "key-table", SYS_INT, &s->key_table, 1024, 4194304, "65536",
		    "idempotency keys kept, in entries" },
		{ "admission", SYS_STRING, &admission, 0, 0, "rank",
		    "order of queued work: rank, fifo or strict" },
		{ "distribution", SYS_STRING, &distribution, 0, 0, "tree",
		    "source of configuration: tree, or poll (every node reads "
		    "the log)" },
		{ "log-level", SYS_STRING, &level, 0, 0, "info",
		    "least severe event written: error, warning, info or "
		    "debug" },
	};

	memset(s, 0, sizeof(*s));
	ok = sys_settings(set, G_N_ELEMENTS(set), "PTNODE",
		 "- node of the primrosetide service mesh", argc, argv, err) &&
	     check(s, level, admission, distribution, err) &&
	     sys_no_arguments(*argc, *argv, err);
	g_free(level);
	g_free(admission);
	g_free(distribution);
	return ok;
}

void
settings_clear(struct settings *s)
{
	g_free(s->instance);
	g_free(s->domain);
	g_free(s->region);
	g_free(s->host);
	g_free(s->log_url);
	g_free(s->seed);
	g_free(s->seed_host);
	memset(s, 0, sizeof(*s));
}
