/* Commands get, status, outcome and drain. */
#include <glib.h>
#include <rpc/rpc.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "conf.h"
#include "ctl.h"

static char *
number(gint64 v)
{
	return g_strdup_printf("%" G_GINT64_FORMAT, v);
}

static void
get_json(const struct pt_get_res *g)
{
	JsonBuilder *b = json_builder_new();
	const struct pt_res *r;
	char *hex = ctl_hex(g->digest, PT_DIGEST_LEN);
	guint i;

	json_builder_begin_object(b);
	ctl_json_int(b, "position", g->position);
	ctl_json_int(b, "version", g->vers);
	ctl_json_text(b, "digest", hex);
	json_builder_set_member_name(b, "resources");
	json_builder_begin_array(b);
	for (i = 0; i < g->resources.resources_len; i++) {
		r = &g->resources.resources_val[i];
		json_builder_begin_object(b);
		ctl_json_text(b, "kind", conf_kind_name(r->kind));
		ctl_json_text(b, "name", r->name);
		ctl_json_int(b, "version", r->vers);
		ctl_json_body(b, "keys", r->body);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	json_builder_end_object(b);
	ctl_json_print(b);
	g_free(hex);
}

/* The keys of a body on one line, to be freed. */
static char *
shown_body(const char *body)
{
	char **lines = g_strsplit(body, "\n", -1), **l, *shown, *joined;

	for (l = lines; *l != NULL; l++) {
		shown = ctl_shown_line(*l);
		g_free(*l);
		*l = shown;
	}
	joined = g_strchomp(g_strjoinv(" ", lines));
	g_strfreev(lines);
	return joined;
}

static void
get_table(const struct pt_get_res *g)
{
	struct ctl_table *t;
	const struct pt_res *r;
	char *v, *body, *hex = ctl_hex(g->digest, PT_DIGEST_LEN);
	guint i;

	printf("version %" G_GINT64_FORMAT ", position %" G_GINT64_FORMAT
	       ", digest %s\n",
	    (gint64)g->vers, (gint64)g->position, hex);
	t = ctl_table_new(
	    4, (const char *const[]){ "KIND", "NAME", "VERSION", "KEYS" });
	for (i = 0; i < g->resources.resources_len; i++) {
		r = &g->resources.resources_val[i];
		v = number(r->vers);
		body = shown_body(r->body);
		ctl_table_row(t, (const char *const[]){ conf_kind_name(r->kind),
				     r->name, v, body });
		g_free(v);
		g_free(body);
	}
	ctl_table_print(t);
	g_free(hex);
}

/* FALSE: a node of a newer release returned kinds that are unknown here. */
static gboolean
kinds_known(const struct pt_get_res *g)
{
	guint i;

	for (i = 0; i < g->resources.resources_len; i++)
		if ((guint)g->resources.resources_val[i].kind >= CONF_KINDS)
			return FALSE;
	return TRUE;
}

enum ctl_exit
ctl_get(struct ctl *c, char **args)
{
	struct pt_get_res g;
	GError *err = NULL;
	int kind = -1;

	if (args[0] != NULL && (kind = conf_kind_parse(args[0])) < 0) {
		fprintf(stderr,
		    "ptctl: kind is \"%s\"; give mesh, rank, service, "
		    "route or organisation\n",
		    args[0]);
		return CTL_USAGE;
	}
	if (!ctl_call_get(c, kind, args[0] != NULL ? args[1] : NULL, &g, &err))
		return ctl_fail(CTL_UNREACHABLE, err);
	if (!kinds_known(&g)) {
		fputs("ptctl: the response holds unknown kinds; use the same "
		      "release of ptctl and ptnode\n",
		    stderr);
		xdr_free((xdrproc_t)xdr_pt_get_res, (char *)&g);
		return CTL_UNREACHABLE;
	}
	if (c->json)
		get_json(&g);
	else
		get_table(&g);
	xdr_free((xdrproc_t)xdr_pt_get_res, (char *)&g);
	return CTL_OK;
}

static const char *
state_name(pt_state s)
{
	static const char *const names[] = { "booting", "warming", "serving",
		"draining", "left" };

	return (guint)s < G_N_ELEMENTS(names) ? names[s] : "?";
}

static const char *
health_name(pt_health h)
{
	static const char *const names[] = { "alive", "suspect", "dead" };

	return (guint)h < G_N_ELEMENTS(names) ? names[h] : "?";
}

static void
member_json(JsonBuilder *b, const struct pt_member *m)
{
	json_builder_begin_object(b);
	ctl_json_text(b, "instance", m->instance);
	ctl_json_text(b, "host", m->host);
	ctl_json_int(b, "rpc_port", m->rpc_port);
	ctl_json_int(b, "http_port", m->http_port);
	ctl_json_text(b, "domain", m->domain);
	ctl_json_text(b, "region", m->region);
	ctl_json_text(b, "service", m->service);
	ctl_json_text(b, "state", state_name(m->state));
	ctl_json_text(b, "health", health_name(m->health));
	ctl_json_int(b, "slots", m->slots);
	json_builder_end_object(b);
}

static void
status_json(const struct pt_status_res *s)
{
	JsonBuilder *b = json_builder_new();
	char *hex = ctl_hex(s->digest, PT_DIGEST_LEN);
	guint i;

	json_builder_begin_object(b);
	ctl_json_text(b, "instance", s->instance);
	ctl_json_text(b, "state", state_name(s->state));
	ctl_json_int(b, "position", s->position);
	ctl_json_int(b, "version", s->vers);
	ctl_json_text(b, "digest", hex);
	ctl_json_int(b, "members", s->members);
	ctl_json_int(b, "in_force", s->in_force);
	ctl_json_int(b, "lowest", s->lowest);
	json_builder_set_member_name(b, "complete");
	json_builder_add_boolean_value(b, s->complete != 0);
	json_builder_set_member_name(b, "lag");
	json_builder_begin_array(b);
	for (i = 0; i < s->lag.lag_len; i++) {
		char *name = ctl_printable(s->lag.lag_val[i]);

		json_builder_add_string_value(b, name);
		g_free(name);
	}
	json_builder_end_array(b);
	json_builder_set_member_name(b, "list");
	json_builder_begin_array(b);
	for (i = 0; i < s->list.list_len; i++)
		member_json(b, &s->list.list_val[i]);
	json_builder_end_array(b);
	json_builder_end_object(b);
	ctl_json_print(b);
	g_free(hex);
}

static void
member_row(struct ctl_table *t, const struct pt_member *m)
{
	char *addr, *slots;

	addr = g_strdup_printf("%s:%d", m->host, m->rpc_port);
	slots = number(m->slots);
	ctl_table_row(
	    t, (const char *const[]){ m->instance, m->region, m->domain,
		   *m->service != '\0' ? m->service : "-", state_name(m->state),
		   health_name(m->health), slots, addr });
	g_free(addr);
	g_free(slots);
}

static void
status_table(const struct pt_status_res *s)
{
	struct ctl_table *t;
	char *name = ctl_printable(s->instance), *hex;
	guint i;

	hex = ctl_hex(s->digest, PT_DIGEST_LEN);
	printf("node %s is %s at version %" G_GINT64_FORMAT
	       ", position %" G_GINT64_FORMAT ", digest %s\n",
	    name, state_name(s->state), (gint64)s->vers, (gint64)s->position,
	    hex);
	g_free(name);
	g_free(hex);
	if (s->complete)
		printf("in force at %u of %u, lowest version %" G_GINT64_FORMAT
		       "\n",
		    s->in_force, s->members, (gint64)s->lowest);
	else
		printf("in force at %u of %u as far as known: the fleet's "
		       "first reader was not reached\n",
		    s->in_force, s->members);
	for (i = 0; i < s->lag.lag_len; i++) {
		name = ctl_printable(s->lag.lag_val[i]);
		printf("behind or not reporting: %s\n", name);
		g_free(name);
	}
	t = ctl_table_new(
	    8, (const char *const[]){ "INSTANCE", "REGION", "DOMAIN", "SERVICE",
		   "STATE", "HEALTH", "SLOTS", "ADDRESS" });
	for (i = 0; i < s->list.list_len; i++)
		member_row(t, &s->list.list_val[i]);
	ctl_table_print(t);
}

enum ctl_exit
ctl_status(struct ctl *c, char **args)
{
	struct pt_status_res s;
	GError *err = NULL;

	if (!ctl_call_status(c, (guint)c->timeout_ms, &s, &err))
		return ctl_fail(CTL_UNREACHABLE, err);
	if (c->json)
		status_json(&s);
	else
		status_table(&s);
	xdr_free((xdrproc_t)xdr_pt_status_res, (char *)&s);
	return CTL_OK;
}

enum ctl_exit
ctl_outcome(struct ctl *c, char **args)
{
	struct pt_outcome o;
	JsonBuilder *b;
	GError *err = NULL;
	enum ctl_exit code;
	char id[PT_ID_LEN], *text;

	if (!ctl_unhex(args[0], id, sizeof(id))) {
		fprintf(stderr,
		    "ptctl: id is \"%s\"; give the %d hexadecimal digits that "
		    "apply printed\n",
		    args[0], 2 * PT_ID_LEN);
		return CTL_USAGE;
	}
	if (!ctl_call_outcome(c, id, &o, &err))
		return ctl_fail(CTL_UNREACHABLE, err);
	code = ctl_verdict_exit(o.kind);
	text = ctl_printable(o.text);
	if (c->json) {
		b = json_builder_new();
		json_builder_begin_object(b);
		ctl_json_text(b, "id", args[0]);
		ctl_json_text(b, "verdict", ctl_verdict_name(o.kind));
		ctl_json_int(b, "offset", o.offset);
		ctl_json_text(b, "text", text);
		json_builder_end_object(b);
		ctl_json_print(b);
	} else {
		fputs(ctl_verdict_name(o.kind), stdout);
		if (o.offset > 0)
			printf(
			    " at offset %" G_GINT64_FORMAT, (gint64)o.offset);
		printf("%s%s\n", *text != '\0' ? ": " : "", text);
	}
	g_free(text);
	xdr_free((xdrproc_t)xdr_pt_outcome, (char *)&o);
	return code;
}

enum ctl_exit
ctl_drain(struct ctl *c, char **args)
{
	struct pt_drain_args a = { PT_PROTO, args[0], c->undo };
	struct pt_outcome o = { 0 };
	GError *err = NULL;
	enum ctl_exit code;
	char *text;

	if (strlen(args[0]) > PT_NAME_MAX) {
		fprintf(stderr,
		    "ptctl: upstream \"%s\" is too long; give a name of up to "
		    "%d bytes\n",
		    args[0], PT_NAME_MAX);
		return CTL_USAGE;
	}
	if (!ctl_call(c, PT_DRAIN, &a, (guint)c->timeout_ms,
		(xdrproc_t)xdr_pt_outcome, &o, sizeof(o), &err)) {
		code = g_error_matches(err, PT_ERROR, PT_ERROR_UNREACHABLE)
			   ? CTL_UNREACHABLE
			   : CTL_UNKNOWN;
		return ctl_fail(code, err);
	}
	code = ctl_verdict_exit(o.kind);
	text = ctl_printable(o.text);
	printf("%s %s: %s%s%s\n", c->undo ? "undo drain" : "drain", args[0],
	    code == CTL_OK ? "done" : ctl_verdict_name(o.kind),
	    *text != '\0' ? ": " : "", text);
	g_free(text);
	xdr_free((xdrproc_t)xdr_pt_outcome, (char *)&o);
	return code;
}
