/* Settings and commands of ptctl. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"
#include "rpcio.h"
#include "ctl.h"

#define TIMEOUT_MS_DEFAULT 10000
#define TIMEOUT_MS_MAX 600000
#define CONNECT_MS 3000
#define IDLE_MS 60000

enum flag {
	FLAG_PRUNE = 1,
	FLAG_WAIT = 2,
	FLAG_UNDO = 4,
	FLAG_JSON = 8,
	FLAG_NODE = 16 /* a node is optional, and only --node gives it */
};

static const struct command {
	const char *name;
	guint min, max; /* number of arguments */
	guint flags; /* enum flag: those that the command accepts */
	enum ctl_exit (*run)(struct ctl *, char **args);
} commands[] = {
	{ "plan", 1, 1, FLAG_PRUNE | FLAG_JSON, ctl_plan },
	{ "apply", 1, 1, FLAG_PRUNE | FLAG_WAIT | FLAG_JSON, ctl_apply },
	{ "check", 1, 1, FLAG_PRUNE | FLAG_JSON | FLAG_NODE, ctl_check },
	{ "get", 0, 2, FLAG_JSON, ctl_get },
	{ "show", 0, 2, FLAG_JSON, ctl_get },
	{ "status", 0, 0, FLAG_JSON, ctl_status },
	{ "drain", 1, 1, FLAG_UNDO, ctl_drain },
	{ "outcome", 1, 1, FLAG_JSON, ctl_outcome },
};

static const char summary[] =
    "Commands:\n"
    "  plan FILE            show what an apply would change\n"
    "  apply FILE           change the configuration to the declarations\n"
    "  check FILE           report errors and entries without effect; with "
    "--node\n"
    "                       also differences from the version in force\n"
    "  get [KIND [NAME]]    print resources: mesh, rank, service, route,\n"
    "                       organisation (without its keys); also: show\n"
    "  status               version in force, nodes that lag, members\n"
    "  drain UPSTREAM       take an upstream out of service, or undo it\n"
    "  outcome ID           verdict on a change set\n"
    "\n"
    "Exit: 0 accepted or done, 1 usage or settings, 2 conflict, 3 invalid,\n"
    "4 unreachable, 5 outcome unknown.  Of check: 0 clean, 1 errors,\n"
    "2 warnings only, 4 unreachable.";

static gboolean
set_node(struct ctl *c, const char *text, GError **err)
{
	GSocketConnectable *a;
	GInetAddress *ip = NULL;

	a = text != NULL ? g_network_address_parse(text, 0, NULL) : NULL;
	if (a != NULL) {
		c->host = g_strdup(
		    g_network_address_get_hostname(G_NETWORK_ADDRESS(a)));
		c->port = g_network_address_get_port(G_NETWORK_ADDRESS(a));
		ip = g_inet_address_new_from_string(c->host);
		g_object_unref(a);
	}
	if (ip != NULL && c->port > 0) {
		g_object_unref(ip);
		return TRUE;
	}
	g_clear_object(&ip);
	if (text == NULL)
		g_set_error_literal(err, PT_ERROR, PT_ERROR_SETTING,
		    "setting node is missing; give --node or PTCTL_NODE as "
		    "HOST:PORT of any node");
	else
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "setting node is \"%s\"; give HOST:PORT with a numeric IP "
		    "address and a port from 1 to 65535",
		    text);
	return FALSE;
}

static gboolean
set_timeout(struct ctl *c, const char *text, GError **err)
{
	gint64 v;

	if (!g_ascii_string_to_signed(text, 10, 1, TIMEOUT_MS_MAX, &v, NULL)) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "setting timeout-ms is \"%s\"; give a whole number from 1 "
		    "to %d",
		    text, TIMEOUT_MS_MAX);
		return FALSE;
	}
	c->timeout_ms = (int)v;
	return TRUE;
}

static gboolean
check_variables(GError **err)
{
	char **env = g_listenv(), **e;
	gboolean ok = TRUE;

	for (e = env; ok && *e != NULL; e++) {
		ok = !g_str_has_prefix(*e, "PTCTL_") ||
		     strcmp(*e, "PTCTL_NODE") == 0;
		if (!ok)
			g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
			    "environment variable %s is not a setting; unset "
			    "it, only PTCTL_NODE is read",
			    *e);
	}
	g_strfreev(env);
	return ok;
}

/* Fails if a flag is given that the command does not accept. */
static gboolean
check_flags(const struct ctl *c, const struct command *cmd, GError **err)
{
	const struct {
		gboolean given;
		guint flag;
		const char *name;
	} known[] = { { c->prune, FLAG_PRUNE, "prune" },
		{ c->wait, FLAG_WAIT, "wait" }, { c->undo, FLAG_UNDO, "undo" },
		{ c->json, FLAG_JSON, "json" } };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(known); i++) {
		if (!known[i].given || (cmd->flags & known[i].flag) != 0)
			continue;
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "command %s takes no --%s; remove it", cmd->name,
		    known[i].name);
		return FALSE;
	}
	return TRUE;
}

static const struct command *
find_command(int argc, char **argv, GError **err)
{
	const struct command *c = commands;
	const struct command *end = commands + G_N_ELEMENTS(commands);
	guint n = (guint)argc - 2;

	while (argc > 1 && c < end && strcmp(c->name, argv[1]) != 0)
		c++;
	if (argc < 2 || c == end) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "%s%s; see ptctl --help for the commands",
		    argc < 2 ? "no command" : "unknown command ",
		    argc < 2 ? "" : argv[1]);
		return NULL;
	}
	if (n >= c->min && n <= c->max)
		return c;
	g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
	    "command %s has %u arguments and takes %u to %u; see ptctl --help",
	    c->name, n, c->min, c->max);
	return NULL;
}

/* Reads flags; exits after --help and --version.  *node is to be freed. */
static gboolean
read_flags(struct ctl *c, char **node, int *argc, char ***argv, GError **err)
{
	gboolean version = FALSE, ok;
	char *timeout = NULL;
	GError *cause = NULL;
	GOptionEntry entries[] = { { "node", 0, 0, G_OPTION_ARG_STRING, node,
				       "Any node; else PTCTL_NODE",
				       "HOST:PORT" },
		{ "timeout-ms", 0, 0, G_OPTION_ARG_STRING, &timeout,
		    "Time limit of a call or a wait, 10000 by default", "MS" },
		{ "prune", 0, 0, G_OPTION_ARG_NONE, &c->prune,
		    "Remove resources that are not declared", NULL },
		{ "wait", 0, 0, G_OPTION_ARG_NONE, &c->wait,
		    "Wait until the version is in force everywhere", NULL },
		{ "undo", 0, 0, G_OPTION_ARG_NONE, &c->undo, "Undo a drain",
		    NULL },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &c->json,
		    "Print one JSON document", NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &version,
		    "Print the version and exit", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL } };
	GOptionContext *o = g_option_context_new("COMMAND [ARGUMENT...]");

	g_option_context_set_summary(o, summary);
	g_option_context_add_main_entries(o, entries, NULL);
	ok = g_option_context_parse(o, argc, argv, &cause);
	g_option_context_free(o);
	if (version) {
		printf("ptctl %s\n", PT_RELEASE);
		exit(CTL_OK);
	}
	if (!ok) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "%s; see ptctl --help", cause->message);
		g_error_free(cause);
	} else if (timeout != NULL) {
		ok = set_timeout(c, timeout, err);
	}
	g_free(timeout);
	return ok;
}

/* Reads flags, environment variables and the command; NULL on error. */
static const struct command *
read_settings(struct ctl *c, int *argc, char ***argv, GError **err)
{
	const struct command *cmd = NULL;
	char *node = NULL;
	gboolean wanted;

	if (read_flags(c, &node, argc, argv, err))
		cmd = find_command(*argc, *argv, err);
	wanted = cmd != NULL && (node != NULL || (cmd->flags & FLAG_NODE) == 0);
	if (cmd != NULL &&
	    (!check_flags(c, cmd, err) || !check_variables(err) ||
		(wanted &&
		    !set_node(
			c, node != NULL ? node : g_getenv("PTCTL_NODE"), err))))
		cmd = NULL;
	g_free(node);
	return cmd;
}

int
main(int argc, char **argv)
{
	struct rpcio_stats stats = { 0 };
	struct rpcio_client_opts opts = { IDLE_MS, CONNECT_MS, NULL, &stats };
	struct ctl c = { 0 };
	const struct command *cmd;
	struct rpcio_client *client;
	GError *err = NULL;
	enum ctl_exit code;

	g_set_prgname("ptctl");
	c.timeout_ms = TIMEOUT_MS_DEFAULT;
	cmd = read_settings(&c, &argc, &argv, &err);
	if (cmd == NULL) {
		g_free(c.host);
		return ctl_fail(CTL_USAGE, err);
	}
	client = rpcio_client_new(&opts);
	c.rpc = rpcio_client_port(client);
	code = cmd->run(&c, argv + 2);
	rpcio_client_free(client);
	g_free(c.host);
	return code;
}
