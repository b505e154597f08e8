#include <glib.h>
#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <math.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "httpio.h"
#include "conf.h"
#include "memb.h"
#include "dist.h"
#include "call.h"
#include "settings.h"
#include "node.h"

#define SLOTS_MAX 10000
#define CONNECTIONS_MAX 65535

static const struct {
	const char *name;
	enum pt_state state;
} states[] = {
	{ "warming", PT_WARMING },
	{ "serving", PT_SERVING },
	{ "draining", PT_DRAINING },
};

static gboolean
bad_member(GError **err, const char *field, const char *remedy)
{
	g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
	    "announcement: member \"%s\" is missing or wrong; %s", field,
	    remedy);
	return FALSE;
}

static const char *
get_string(JsonObject *o, const char *name)
{
	JsonNode *v = json_object_get_member(o, name);

	if (v == NULL || json_node_get_value_type(v) != G_TYPE_STRING)
		return NULL;
	return json_node_get_string(v);
}

static gboolean
get_int(JsonObject *o, const char *name, int max, int *out)
{
	JsonNode *v = json_object_get_member(o, name);
	gint64 n;

	if (v == NULL || json_node_get_value_type(v) != G_TYPE_INT64)
		return FALSE;
	n = json_node_get_int(v);
	*out = (int)n;
	return n >= 1 && n <= max;
}

/* The member may be absent: no limit. */
static gboolean
get_limit(JsonObject *o, double *out)
{
	JsonNode *v = json_object_get_member(o, "limit");
	GType type = v != NULL ? json_node_get_value_type(v) : G_TYPE_INVALID;

	*out = -1;
	if (v == NULL)
		return TRUE;
	if (type != G_TYPE_INT64 && type != G_TYPE_DOUBLE)
		return FALSE;
	*out = json_node_get_double(v);
	return isfinite(*out) && *out >= 0;
}

static gboolean
get_state(JsonObject *o, enum pt_state *out)
{
	const char *s = get_string(o, "state");
	guint i;

	for (i = 0; s != NULL && i < G_N_ELEMENTS(states); i++) {
		if (strcmp(states[i].name, s) != 0)
			continue;
		*out = states[i].state;
		return TRUE;
	}
	return FALSE;
}

/*
 * TRUE if the name is valid in declarations of ptctl; a service with another
 * name could not be declared.
 */
static gboolean
valid_service(const char *s)
{
	return s != NULL && strlen(s) <= PT_NAME_MAX &&
	       (g_ascii_islower(*s) || g_ascii_isdigit(*s)) &&
	       s[strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789._-")] == '\0';
}

static gboolean
valid_url(const char *url)
{
	const char *s = url;
	GUri *u;
	gboolean ok;

	if (url == NULL || strlen(url) > PT_NAME_MAX)
		return FALSE;
	while (g_ascii_isgraph(*s) && *s != '"' && *s != '\\')
		s++;
	if (*s != '\0')
		return FALSE;
	u = g_uri_parse(url, G_URI_FLAGS_NONE, NULL);
	ok = u != NULL && strcmp(g_uri_get_scheme(u), "http") == 0 &&
	     g_uri_get_host(u) != NULL &&
	     g_hostname_is_ip_address(g_uri_get_host(u));
	if (u != NULL)
		g_uri_unref(u);
	return ok;
}

static gboolean
read_object(JsonObject *o, struct backend *b, GError **err)
{
	const char *service = get_string(o, "service");
	const char *url = get_string(o, "url");

	if (!valid_service(service))
		return bad_member(err, "service",
		    "give 1 to 64 of a-z, 0-9, '.', '_' and '-', a letter or "
		    "digit first");
	if (!valid_url(url))
		return bad_member(err, "url",
		    "give http://ADDRESS:PORT with a "
		    "numeric address");
	if (!get_int(o, "slots", SLOTS_MAX, &b->slots))
		return bad_member(
		    err, "slots", "give a whole number from 1 to 10000");
	if (!get_int(o, "connections", CONNECTIONS_MAX, &b->connections))
		return bad_member(
		    err, "connections", "give a whole number from 1 to 65535");
	if (!get_limit(o, &b->limit))
		return bad_member(err, "limit",
		    "give requests a second from 0, or leave it out");
	if (!get_state(o, &b->state))
		return bad_member(
		    err, "state", "give warming, serving or draining");
	b->service = g_strdup(service);
	b->url = g_strdup(url);
	return TRUE;
}

static void
apply(struct node *n, struct backend *b)
{
	struct backend *old = &n->backend;
	gboolean same;

	same = old->service != NULL && old->state == b->state &&
	       old->slots == b->slots && old->limit == b->limit &&
	       strcmp(old->service, b->service) == 0 &&
	       strcmp(old->url, b->url) == 0;
	g_free(old->service);
	g_free(old->url);
	*old = *b;
	old->announced_at = pt_now(&n->clock);
	quarantine_announced(n->quarantine);
	if (same)
		return;
	pt_event(&n->events, PT_LEVEL_INFO, "backend",
	    "service=%s url=%s slots=%d limit=%.3f state=%d", b->service,
	    b->url, b->slots, b->limit, b->state);
	backend_publish_state(n);
}

gboolean
backend_apply(struct node *n, const char *json, gsize len, GError **err)
{
	JsonParser *p;
	JsonNode *root;
	struct backend b;
	const char *excess;
	gboolean ok;

	excess = pt_json_excess(json, len);
	if (excess != NULL) {
		g_set_error(
		    err, PT_ERROR, PT_ERROR_PARSE, "announcement: %s", excess);
		n->stats.bad_announcements++;
		return FALSE;
	}
	memset(&b, 0, sizeof(b));
	p = json_parser_new();
	ok = json_parser_load_from_data(p, json, (gssize)len, NULL);
	root = ok ? json_parser_get_root(p) : NULL;
	if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
		g_set_error(err, PT_ERROR, PT_ERROR_PARSE,
		    "announcement: not a JSON object; give service, url, "
		    "slots, connections and state");
		ok = FALSE;
	} else {
		ok = read_object(json_node_get_object(root), &b, err);
	}
	g_object_unref(p);
	if (ok)
		apply(n, &b);
	else
		n->stats.bad_announcements++;
	return ok;
}

/* The state that is announced to other nodes. */
static enum pt_state
announced_state(const struct node *n)
{
	if (n->stopping || n->operator_drain)
		return PT_DRAINING;
	if (!n->ready)
		return PT_BOOTING;
	return n->backend.service != NULL ? n->backend.state : PT_WARMING;
}

static void
start_refusing(void *arg)
{
	struct node *n = arg;

	n->refuse_timer = 0;
	n->refusing = !PT_MUTANT(MUTANT_LEAVING_CHOSEN);
	upstream_update(n->upstream);
}

/*
 * A draining upstream accepts new calls for the notice time, while its state
 * spreads to the entry nodes, and refuses them after that.
 */
static void
schedule_refusal(struct node *n, enum pt_state state)
{
	if (state != PT_DRAINING) {
		sys_cancel(&n->refuse_timer);
		n->refusing = FALSE;
	} else if (n->refuse_timer == 0 && !n->refusing) {
		n->refuse_timer = sys_after(
		    (gint64)n->set.drain_notice_ms * 1000, start_refusing, n);
	}
	upstream_update(n->upstream);
}

void
backend_publish_state(struct node *n)
{
	const char *service = n->backend.service;
	enum pt_state state = announced_state(n);

	schedule_refusal(n, state);
	memb_announce(n->memb, state, service != NULL ? service : "",
	    service != NULL ? (guint)n->backend.slots : 0);
	sys_ticker_kick(n->memb_ticker);
}

void
backend_drain(struct node *n, gboolean on)
{
	n->operator_drain = on;
	pt_event(&n->events, PT_LEVEL_INFO, "drain", "on=%d", on);
	backend_publish_state(n);
}

void
backend_expire(struct node *n)
{
	struct backend *b = &n->backend;

	if (b->service == NULL || pt_now(&n->clock) - b->announced_at <
				      (gint64)n->set.announce_timeout_ms * 1000)
		return;
	pt_event(&n->events, PT_LEVEL_WARNING, "backend-silent",
	    "service=%s timeout_ms=%d", b->service, n->set.announce_timeout_ms);
	g_clear_pointer(&b->service, g_free);
	g_clear_pointer(&b->url, g_free);
	backend_publish_state(n);
}
