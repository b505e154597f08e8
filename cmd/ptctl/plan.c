/* Commands plan and apply: compare declared with current resources. */
#include <glib.h>
#include <rpc/rpc.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "pt.h"
#include "port.h"
#include "conf.h"
#include "ctl.h"

/*
 * The RPC timeout exceeds the node's own limit by this, so that the node can
 * respond with "outcome unknown".
 */
#define REPLY_MARGIN_MS 2000
/* Interval of STATUS calls with --wait. */
#define POLL_MS 200

/* A change set, the resources that it is based on, and its outcome. */
struct plan {
	struct ctl *ctl;
	struct pt_get_res current;
	struct pt_change change;
	struct pt_outcome verdict; /* the text is allocated */
	char *warning; /* limits without effect; NULL: none */
	gboolean submitted;
	gboolean has_status;
	struct pt_status_res status; /* last one received while waiting */
};

static void
plan_clear(struct plan *p)
{
	xdr_free((xdrproc_t)xdr_pt_get_res, (char *)&p->current);
	xdr_free((xdrproc_t)xdr_pt_change, (char *)&p->change);
	xdr_free((xdrproc_t)xdr_pt_outcome, (char *)&p->verdict);
	xdr_free((xdrproc_t)xdr_pt_status_res, (char *)&p->status);
	g_free(p->warning);
}

static void
set_verdict(struct plan *p, enum pt_verdict_kind kind, const char *text)
{
	g_free(p->verdict.text);
	p->verdict.kind = kind;
	p->verdict.text = g_strndup(text, PT_TEXT_MAX);
}

gboolean
ctl_read_file(const char *file, char **text, gsize *len, GError **err)
{
	GError *cause = NULL;

	if (g_file_get_contents(file, text, len, &cause))
		return TRUE;
	g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
	    "%s; give a declarations file that can be read", cause->message);
	g_error_free(cause);
	return FALSE;
}

static struct decl *
read_file(const char *file, GError **err)
{
	struct decl *d;
	char *text;
	gsize len;

	if (!ctl_read_file(file, &text, &len, err))
		return NULL;
	d = decl_parse(file, text, len, err);
	g_free(text);
	return d;
}

/* Evaluates the change set against the current resources, as nodes will. */
static gboolean
evaluate(struct plan *p, GError **err)
{
	struct conf_verdict v;
	struct conf *c;
	GBytes *rec;

	set_verdict(p, PT_ACCEPTED, "");
	if (p->change.ops.ops_len == 0)
		return TRUE;
	c = conf_from_get(&p->current, err);
	if (c == NULL)
		return FALSE;
	rec = pt_encode((xdrproc_t)xdr_pt_change, &p->change);
	v = conf_eval(c, conf_position(c) + 1, rec);
	set_verdict(p, v.kind, v.text);
	p->warning = conf_limits_note(c);
	g_bytes_unref(rec);
	conf_unref(c);
	return TRUE;
}

static void
set_identity(struct pt_change *c)
{
	char *s = ctl_printable(g_get_user_name());

	g_free(c->author);
	c->author = g_strndup(s, PT_NAME_MAX);
	g_free(s);
	if (getentropy(c->id, sizeof(c->id)) != 0)
		g_error("getentropy: cannot get random bytes");
}

/* Reads the file and the current resources and builds the change set. */
static enum ctl_exit
prepare(struct plan *p, const char *file)
{
	struct decl *d;
	GError *err = NULL;
	gboolean ok;

	d = read_file(file, &err);
	if (d == NULL)
		return ctl_fail(g_error_matches(err, PT_ERROR, PT_ERROR_SETTING)
				    ? CTL_USAGE
				    : CTL_INVALID,
		    err);
	if (!ctl_call_get(p->ctl, -1, NULL, &p->current, &err)) {
		decl_free(d);
		return ctl_fail(CTL_UNREACHABLE, err);
	}
	ok = decl_diff(d, p->current.resources.resources_val,
	    p->current.resources.resources_len, p->ctl->prune, &p->change,
	    &err);
	decl_free(d);
	if (!ok)
		return ctl_fail(CTL_INVALID, err);
	set_identity(&p->change);
	if (!evaluate(p, &err))
		return ctl_fail(CTL_UNREACHABLE, err);
	return ctl_verdict_exit(p->verdict.kind);
}

static const char *
action(const struct pt_op *op)
{
	if (op->remove)
		return "remove";
	return op->base == 0 ? "create" : "change";
}

static const char *
current_body(const struct pt_get_res *current, const struct pt_op *op)
{
	const struct pt_res *r;
	guint i;

	for (i = 0; i < current->resources.resources_len; i++) {
		r = &current->resources.resources_val[i];
		if (r->kind == op->kind && strcmp(r->name, op->name) == 0)
			return r->body;
	}
	return "";
}

/* Lines of "to" that are not in "from", joined; a line holds one key. */
static char *
difference(const char *from, const char *to)
{
	GString *s = g_string_new(NULL);
	char **old, **new, **l, *shown;

	old = g_strsplit(from, "\n", -1);
	new = g_strsplit(to, "\n", -1);
	for (l = new; *l != NULL; l++) {
		if (**l == '\0' ||
		    g_strv_contains((const char *const *)old, *l))
			continue;
		shown = ctl_shown_line(*l);
		g_string_append_printf(s, "%s%s", s->len > 0 ? " " : "", shown);
		g_free(shown);
	}
	g_strfreev(old);
	g_strfreev(new);
	return g_string_free(s, FALSE);
}

void
ctl_ops_table(const struct pt_get_res *current, const struct pt_change *change)
{
	struct ctl_table *t;
	const struct pt_op *op;
	const char *body;
	char *from, *to;
	guint i;

	if (change->ops.ops_len == 0)
		return;
	t = ctl_table_new(
	    5, (const char *const[]){ "ACTION", "KIND", "NAME", "FROM", "TO" });
	for (i = 0; i < change->ops.ops_len; i++) {
		op = &change->ops.ops_val[i];
		body = current_body(current, op);
		from = difference(op->body, body);
		to = difference(body, op->body);
		ctl_table_row(t,
		    (const char *const[]){ action(op), conf_kind_name(op->kind),
			op->name, *from != '\0' ? from : "-",
			*to != '\0' ? to : "-" });
		g_free(from);
		g_free(to);
	}
	ctl_table_print(t);
}

void
ctl_json_ops(JsonBuilder *b, const struct pt_get_res *current,
    const struct pt_change *change)
{
	const struct pt_op *op;
	guint i;

	json_builder_set_member_name(b, "operations");
	json_builder_begin_array(b);
	for (i = 0; i < change->ops.ops_len; i++) {
		op = &change->ops.ops_val[i];
		json_builder_begin_object(b);
		ctl_json_text(b, "action", action(op));
		ctl_json_text(b, "kind", conf_kind_name(op->kind));
		ctl_json_text(b, "name", op->name);
		ctl_json_int(b, "base", op->base);
		ctl_json_body(b, "from", current_body(current, op));
		ctl_json_body(b, "to", op->body);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
}

static void
in_force_json(JsonBuilder *b, const struct plan *p)
{
	char *s;
	guint i;

	ctl_json_int(b, "in_force", p->status.in_force);
	ctl_json_int(b, "members", p->status.members);
	json_builder_set_member_name(b, "lag");
	json_builder_begin_array(b);
	for (i = 0; i < p->status.lag.lag_len; i++) {
		s = ctl_printable(p->status.lag.lag_val[i]);
		json_builder_add_string_value(b, s);
		g_free(s);
	}
	json_builder_end_array(b);
}

static void
warning_json(JsonBuilder *b, const char *text)
{
	json_builder_set_member_name(b, "warnings");
	json_builder_begin_array(b);
	if (text != NULL)
		json_builder_add_string_value(b, text);
	json_builder_end_array(b);
}

static void
print_json(const struct plan *p)
{
	JsonBuilder *b = json_builder_new();
	char *id = ctl_hex(p->change.id, PT_ID_LEN);

	json_builder_begin_object(b);
	ctl_json_int(b, "position", p->current.position);
	ctl_json_int(b, "version",
	    p->submitted && p->verdict.kind == PT_ACCEPTED ? p->verdict.offset
							   : p->current.vers);
	json_builder_set_member_name(b, "submitted");
	json_builder_add_boolean_value(b, p->submitted);
	if (p->submitted)
		ctl_json_text(b, "id", id);
	ctl_json_text(b, "verdict", ctl_verdict_name(p->verdict.kind));
	ctl_json_text(b, "text", p->verdict.text);
	warning_json(b, p->warning);
	ctl_json_ops(b, &p->current, &p->change);
	if (p->has_status)
		in_force_json(b, p);
	json_builder_end_object(b);
	ctl_json_print(b);
	g_free(id);
}

/* Prints the verdict and, if it is not final, how to query it later. */
static void
print_verdict(const struct plan *p)
{
	const struct pt_outcome *o = &p->verdict;
	char *id = ctl_hex(p->change.id, PT_ID_LEN), *text;

	text = ctl_printable(o->text);
	if (p->warning != NULL)
		fprintf(stderr, "ptctl: warning: %s\n", p->warning);
	if (p->change.ops.ops_len == 0)
		printf("no difference from version %" G_GINT64_FORMAT "\n",
		    (gint64)p->current.vers);
	else if (!p->submitted)
		printf("%s%s%s; nothing was submitted\n",
		    o->kind == PT_ACCEPTED ? "would be accepted"
					   : ctl_verdict_name(o->kind),
		    *text != '\0' ? ": " : "", text);
	else if (o->kind == PT_ACCEPTED)
		printf("accepted as version %" G_GINT64_FORMAT ", id %s\n",
		    (gint64)o->offset, id);
	else if (ctl_verdict_exit(o->kind) == CTL_UNKNOWN)
		printf("outcome unknown, id %s%s%s; query later with: ptctl "
		       "outcome %s\n",
		    id, *text != '\0' ? ": " : "", text, id);
	else
		printf("%s, id %s%s%s\n", ctl_verdict_name(o->kind), id,
		    *text != '\0' ? ": " : "", text);
	g_free(text);
	g_free(id);
}

enum ctl_exit
ctl_plan(struct ctl *c, char **args)
{
	struct plan p = { 0 };
	enum ctl_exit code;

	p.ctl = c;
	code = prepare(&p, args[0]);
	if (p.verdict.text != NULL && c->json) {
		print_json(&p);
	} else if (p.verdict.text != NULL) {
		ctl_ops_table(&p.current, &p.change);
		print_verdict(&p);
	}
	plan_clear(&p);
	return code;
}

/* Queries the verdict on a change set whose id is already in the log. */
static void
resolve_duplicate(struct plan *p)
{
	struct pt_outcome o;
	GError *err = NULL;

	if (ctl_call_outcome(p->ctl, p->change.id, &o, &err)) {
		xdr_free((xdrproc_t)xdr_pt_outcome, (char *)&p->verdict);
		p->verdict = o;
		return;
	}
	set_verdict(p, PT_UNKNOWN, err->message);
	g_error_free(err);
}

static void
submit(struct plan *p)
{
	struct pt_submit_args a = { 0 };
	struct pt_outcome o = { 0 };
	GError *err = NULL;
	GBytes *rec;
	gsize len;
	gboolean unknown;

	rec = pt_encode((xdrproc_t)xdr_pt_change, &p->change);
	a.proto = PT_PROTO;
	a.wait_ms = (guint)p->ctl->timeout_ms;
	memcpy(a.id, p->change.id, PT_ID_LEN);
	a.record.record_val = (char *)g_bytes_get_data(rec, &len);
	a.record.record_len = (guint)len;
	p->submitted = TRUE;
	if (ctl_call(p->ctl, PT_SUBMIT, &a, a.wait_ms + REPLY_MARGIN_MS,
		(xdrproc_t)xdr_pt_outcome, &o, sizeof(o), &err)) {
		xdr_free((xdrproc_t)xdr_pt_outcome, (char *)&p->verdict);
		p->verdict = o;
	} else {
		unknown = !g_error_matches(err, PT_ERROR, PT_ERROR_UNREACHABLE);
		set_verdict(
		    p, unknown ? PT_UNKNOWN : PT_UNREACHABLE, err->message);
		g_error_free(err);
	}
	if (p->verdict.kind == PT_DUPLICATE)
		resolve_duplicate(p);
	g_bytes_unref(rec);
}

/* Polls until the version is in force everywhere or the timeout expires. */
static gboolean
wait_in_force(struct plan *p, gint64 version)
{
	struct pt_status_res s;
	GError *err = NULL;
	gint64 remaining, end;

	end = g_get_monotonic_time() + (gint64)p->ctl->timeout_ms * 1000;
	while ((remaining = (end - g_get_monotonic_time()) / 1000) > 0) {
		if (!ctl_call_status(p->ctl, (guint)remaining, &s, &err)) {
			g_clear_error(&err);
		} else {
			xdr_free(
			    (xdrproc_t)xdr_pt_status_res, (char *)&p->status);
			p->status = s;
			p->has_status = TRUE;
			if (s.complete && s.vers >= version &&
			    s.in_force >= s.members)
				return TRUE;
		}
		ctl_sleep(POLL_MS);
	}
	return FALSE;
}

static void
print_wait(const struct plan *p, gboolean reached)
{
	char *s;
	guint i;

	if (!p->has_status) {
		puts("the node did not respond; see ptctl status");
		return;
	}
	printf("in force at %u of %u%s\n", p->status.in_force,
	    p->status.members,
	    reached ? "" : " when the timeout expired; see ptctl status");
	for (i = 0; !reached && i < p->status.lag.lag_len; i++) {
		s = ctl_printable(p->status.lag.lag_val[i]);
		printf("behind or not reporting: %s\n", s);
		g_free(s);
	}
}

/* Submits the change set, waits if --wait is given, and prints the result. */
static enum ctl_exit
submit_and_report(struct plan *p)
{
	enum ctl_exit code;
	gint64 version = p->current.vers;
	gboolean reached = TRUE;

	if (!p->ctl->json)
		ctl_ops_table(&p->current, &p->change);
	if (p->change.ops.ops_len > 0) {
		submit(p);
		version = p->verdict.offset;
	}
	code = ctl_verdict_exit(p->verdict.kind);
	if (!p->ctl->json) {
		print_verdict(p);
		fflush(stdout);
	}
	if (code == CTL_OK && p->ctl->wait)
		reached = wait_in_force(p, version);
	if (p->ctl->json)
		print_json(p);
	else if (code == CTL_OK && p->ctl->wait)
		print_wait(p, reached);
	return reached ? code : CTL_UNKNOWN;
}

enum ctl_exit
ctl_apply(struct ctl *c, char **args)
{
	struct plan p = { 0 };
	enum ctl_exit code;

	p.ctl = c;
	code = prepare(&p, args[0]);
	if (code == CTL_OK)
		code = submit_and_report(&p);
	else if (p.verdict.text != NULL && c->json)
		print_json(&p);
	else if (p.verdict.text != NULL)
		print_verdict(&p);
	plan_clear(&p);
	return code;
}
