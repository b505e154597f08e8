#include <gio/gio.h>
#include <rpc/rpc.h>
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
#include "limit.h"
#include "platform.h"
#include "proxy.h"

/* Names of the header fields that nodes exchange. */
#define FIELD_REQUEST "Pt-Hop"
#define FIELD_LOAD "Pt-Load"
#define FIELD_OUTCOME "Pt-Outcome"
#define FIELD_SERVER "Pt-Server"
#define FIELD_RECALL "Pt-Recall"
#define FIELD_CONFIG "Pt-Config"

/* A limit is sent in requests for this many seconds. */
#define LIMIT_SECONDS 1000
/* Parts of a slot in which the started work is sent. */
#define INFLOW_UNIT 1000
/* Limits of what another node reports, so that sums cannot overflow. */
#define REPORTED_MS_MAX (3600 * 1000)
#define REPORTED_INFLOW_MAX 10000
/* A longer time until the end of a node is cut to this. */
#define END_MAX_US G_TIME_SPAN_HOUR

gboolean
peerhdr_field(const char *name)
{
	return g_ascii_strcasecmp(name, FIELD_REQUEST) == 0 ||
	       g_ascii_strcasecmp(name, FIELD_LOAD) == 0 ||
	       g_ascii_strcasecmp(name, FIELD_OUTCOME) == 0 ||
	       g_ascii_strcasecmp(name, FIELD_SERVER) == 0 ||
	       g_ascii_strcasecmp(name, FIELD_RECALL) == 0 ||
	       g_ascii_strcasecmp(name, FIELD_CONFIG) == 0;
}

static void
put_word(GString *s, const char *key, const char *value)
{
	g_string_append_printf(s, "%s=", key);
	g_string_append_uri_escaped(s, value, NULL, FALSE);
	g_string_append_c(s, ';');
}

static void
put_number(GString *s, const char *key, gint64 v)
{
	g_string_append_printf(s, "%s=%" G_GINT64_FORMAT ";", key, v);
}

static void
put_key(GString *s, const struct rtab_key *k)
{
	guint i;

	g_string_append(s, "key=");
	for (i = 0; i < sizeof(k->digest); i++)
		g_string_append_printf(s, "%02x", k->digest[i]);
	g_string_append_c(s, ';');
}

void
peerhdr_request_put(
    GString *s, const struct fwd *fwd, const char *to, gint64 now)
{
	GString *v = g_string_new(NULL);

	put_word(v, "to", to);
	put_word(v, "route", fwd->route);
	put_word(v, "service", fwd->service);
	put_word(v, "caller", fwd->caller_service);
	put_number(v, "left", fwd->deadline - now);
	put_number(v, "target", fwd->target - now);
	put_number(v, "priority", fwd->priority);
	put_number(v, "once", fwd->once);
	put_number(v, "returned", fwd->caller_retry);
	put_number(v, "repeat", fwd->repeat);
	if (fwd->end != 0)
		put_number(v, "end", MAX(fwd->end - now, 0));
	if (fwd->org != NULL) {
		put_word(v, "org", fwd->org);
		put_key(v, &fwd->key);
		put_number(v, "version", fwd->version);
	}
	h1_put(s, FIELD_REQUEST, v->str);
	g_string_free(v, TRUE);
}

/* Value of a key in a list "key=value;key=value;", to be freed, or NULL. */
static char *
get_word(const char *list, const char *key)
{
	gsize n = strlen(key);
	const char *p = list;
	char *raw, *out;

	while (*p != '\0') {
		if (strncmp(p, key, n) == 0 && p[n] == '=') {
			p += n + 1;
			raw = g_strndup(p, strcspn(p, ";"));
			out = g_uri_unescape_string(raw, NULL);
			g_free(raw);
			return out;
		}
		p += strcspn(p, ";");
		p += *p == ';';
	}
	return NULL;
}

static gboolean
get_number(const char *list, const char *key, gint64 *out)
{
	char *v = get_word(list, key), *end = NULL;

	if (v == NULL)
		return FALSE;
	*out = g_ascii_strtoll(v, &end, 10);
	if (end == v || *end != '\0')
		end = NULL;
	g_free(v);
	return end != NULL;
}

static gboolean
get_key(const char *list, struct rtab_key *k)
{
	char *v = get_word(list, "key");
	gboolean ok = v != NULL && strlen(v) == 2 * sizeof(k->digest);
	guint i;

	for (i = 0; ok && i < sizeof(k->digest); i++) {
		ok = g_ascii_isxdigit(v[2 * i]) &&
		     g_ascii_isxdigit(v[2 * i + 1]);
		k->digest[i] = (guint8)(g_ascii_xdigit_value(v[2 * i]) << 4 |
					g_ascii_xdigit_value(v[2 * i + 1]));
	}
	g_free(v);
	return ok;
}

/* FALSE: the organisation of the caller is named without its key. */
static gboolean
get_org(const char *list, struct peerhdr_request *r)
{
	r->org = get_word(list, "org");
	return r->org == NULL || (get_key(list, &r->key) &&
				     get_number(list, "version", &r->version));
}

gboolean
peerhdr_request_read(const struct h1_head *h, struct peerhdr_request *r)
{
	const char *v = h1_head_get(h, FIELD_REQUEST);
	gint64 priority = 0, once = 1, caller_retry = 0, repeat = 0;
	gboolean ok;

	memset(r, 0, sizeof(*r));
	if (v == NULL)
		return FALSE;
	r->to = get_word(v, "to");
	r->route = get_word(v, "route");
	r->service = get_word(v, "service");
	r->caller = get_word(v, "caller");
	ok = r->to != NULL && r->route != NULL && r->service != NULL &&
	     r->caller != NULL && get_number(v, "left", &r->remaining) &&
	     get_number(v, "target", &r->target_remaining) &&
	     get_number(v, "priority", &priority) &&
	     get_number(v, "once", &once) &&
	     get_number(v, "returned", &caller_retry) &&
	     get_number(v, "repeat", &repeat) && get_org(v, r);
	if (get_number(v, "end", &r->end_remaining))
		r->end_remaining = CLAMP(r->end_remaining, 0, END_MAX_US);
	else
		r->end_remaining = -1;
	r->priority = (int)CLAMP(priority, 0, G_MAXINT);
	r->once = once != 0;
	r->caller_retry = caller_retry != 0;
	r->repeat = repeat != 0;
	if (!ok)
		peerhdr_request_clear(r);
	return ok;
}

void
peerhdr_request_clear(struct peerhdr_request *r)
{
	g_clear_pointer(&r->to, g_free);
	g_clear_pointer(&r->route, g_free);
	g_clear_pointer(&r->service, g_free);
	g_clear_pointer(&r->caller, g_free);
	g_clear_pointer(&r->org, g_free);
}

void
peerhdr_config_put(GString *s, gint64 version, gint64 age)
{
	GString *v = g_string_new(NULL);

	put_number(v, "version", version);
	if (age >= 0)
		put_number(v, "age", age);
	h1_put(s, FIELD_CONFIG, v->str);
	g_string_free(v, TRUE);
}

gboolean
peerhdr_config_read(const struct h1_head *h, gint64 *version, gint64 *age)
{
	const char *v = h1_head_get(h, FIELD_CONFIG);

	return v != NULL && get_number(v, "version", version) &&
	       get_number(v, "age", age) && *age >= 0;
}

GBytes *
peerhdr_recall(const GPtrArray *attempt_ids, gint64 remaining)
{
	GString *s = g_string_new(NULL), *ids = g_string_new(NULL);
	GString *v = g_string_new(NULL);
	guint i;

	for (i = 0; i < attempt_ids->len; i++)
		g_string_append_printf(ids, "%s\n",
		    (const char *)g_ptr_array_index(attempt_ids, i));
	put_number(v, "left", remaining);
	h1_put_request(s, "POST", "/");
	h1_put(s, "Host", "node");
	h1_put(s, FIELD_RECALL, v->str);
	h1_put_int(s, "Content-Length", (gint64)ids->len);
	h1_put_end(s);
	g_string_append_len(s, ids->str, (gssize)ids->len);
	g_string_free(v, TRUE);
	g_string_free(ids, TRUE);
	return g_string_free_to_bytes(s);
}

gboolean
peerhdr_recall_read(const struct h1_head *h, gint64 *remaining)
{
	const char *v = h1_head_get(h, FIELD_RECALL);

	if (v == NULL || !get_number(v, "left", remaining))
		return FALSE;
	*remaining = CLAMP(*remaining, 0, END_MAX_US);
	return TRUE;
}

void
peerhdr_statement_put(GString *s, const struct reg_statement *x)
{
	GString *v = g_string_new(NULL);
	double limit = MIN(x->limit, (double)G_MAXINT32);

	put_word(v, "id", x->id);
	put_number(v, "start", x->process_start);
	put_number(v, "leaving", x->leaving);
	if (limit >= 0)
		put_number(v, "limit", (gint64)(limit * LIMIT_SECONDS));
	h1_put(s, FIELD_SERVER, v->str);
	g_string_free(v, TRUE);
}

gboolean
peerhdr_statement_read(const struct h1_head *h, struct reg_statement *x)
{
	const char *v = h1_head_get(h, FIELD_SERVER);
	gint64 leaving, limit;

	memset(x, 0, sizeof(*x));
	if (v == NULL || !get_number(v, "leaving", &leaving) ||
	    !get_number(v, "start", &x->process_start))
		return FALSE;
	x->id = get_word(v, "id");
	x->leaving = leaving != 0;
	x->limit = -1;
	if (get_number(v, "limit", &limit) && limit >= 0)
		x->limit = (double)limit / LIMIT_SECONDS;
	return x->id != NULL;
}

/*
 * Appends ";remaining inflow mean took", in ms but for the inflow, which is in
 * thousandths of a slot; a negative "took" is that of a request cut off.  Nodes
 * that do not know this part stop reading at the semicolon.
 */
static void
put_work(GString *s, const struct lb_work *w)
{
	/* A time below 1 ms is known, but short. */
	gint64 took =
	    w->took > 0 ? MAX(w->took / G_TIME_SPAN_MILLISECOND, 1) : 0;

	g_string_append_printf(s,
	    ";%" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT
	    " %" G_GINT64_FORMAT,
	    w->remaining / G_TIME_SPAN_MILLISECOND,
	    (gint64)(w->inflow * INFLOW_UNIT),
	    w->mean / G_TIME_SPAN_MILLISECOND, w->cut ? -took : took);
}

/* Count of the numbers of put_work(). */
#define WORK_NUMBERS 4

static gboolean
read_work(const char *v, struct lb_work *w)
{
	gint64 x[WORK_NUMBERS];
	char *end;
	guint i;

	memset(w, 0, sizeof(*w));
	for (i = 0; i < WORK_NUMBERS; i++) {
		x[i] = g_ascii_strtoll(v, &end, 10);
		if (end == v)
			return FALSE;
		v = end;
		x[i] = CLAMP(x[i], -REPORTED_MS_MAX, REPORTED_MS_MAX);
	}
	w->remaining = MAX(x[0], 0) * G_TIME_SPAN_MILLISECOND;
	w->inflow = (double)CLAMP(x[1], 0, REPORTED_INFLOW_MAX * INFLOW_UNIT) /
		    INFLOW_UNIT;
	w->mean = MAX(x[2], 0) * G_TIME_SPAN_MILLISECOND;
	w->took = ABS(x[3]) * G_TIME_SPAN_MILLISECOND;
	w->cut = x[3] < 0;
	return TRUE;
}

void
peerhdr_report_put(GString *s, const struct report *r)
{
	const struct pt_load *l = &r->load;
	guint i, n = PT_RANKS_MAX;

	/* Omits equal waits at the end: the receiver repeats the last. */
	while (n > 1 && r->wait_ms[n - 1] == r->wait_ms[n - 2])
		n--;
	g_string_append_printf(s, FIELD_LOAD ": %d %d %d %d %" G_GINT64_FORMAT,
	    l->slots, l->running, l->queued, (int)l->state,
	    r->cost / G_TIME_SPAN_MILLISECOND);
	for (i = 0; i < n; i++)
		g_string_append_printf(s, " %d", r->wait_ms[i]);
	if (r->has_work)
		put_work(s, &r->work);
	g_string_append(s, "\r\n");
}

/* Count of the numbers that precede the waits in a report. */
#define REPORT_FIXED 5

gboolean
peerhdr_report_read(const struct h1_head *h, struct report *r)
{
	const char *v = h1_head_get(h, FIELD_LOAD);
	gint64 x[REPORT_FIXED + PT_RANKS_MAX];
	char *end;
	guint n = 0, i;

	memset(r, 0, sizeof(*r));
	while (v != NULL && n < G_N_ELEMENTS(x)) {
		x[n] = g_ascii_strtoll(v, &end, 10);
		if (end == v)
			break;
		n++;
		v = end;
	}
	if (n <= REPORT_FIXED)
		return FALSE;
	r->load.slots = (int)x[0];
	r->load.running = (int)x[1];
	r->load.queued = (int)x[2];
	r->load.state = (pt_state)x[3];
	r->cost = x[4] * G_TIME_SPAN_MILLISECOND;
	r->limit = -1;
	for (i = 0; i < PT_RANKS_MAX; i++)
		r->wait_ms[i] = (int)x[MIN(REPORT_FIXED + i, n - 1)];
	r->load.wait_ms.wait_ms_len = PT_RANKS_MAX;
	r->load.wait_ms.wait_ms_val = r->wait_ms;
	v = strchr(h1_head_get(h, FIELD_LOAD), ';');
	r->has_work = v != NULL && read_work(v + 1, &r->work);
	/* The cost includes the time on the link. */
	if (r->has_work && r->work.mean > 0)
		r->work.link = MAX(r->cost - r->work.mean, 0);
	return TRUE;
}

void
peerhdr_failure_put(GString *s, const struct failure *f)
{
	GString *v = g_string_new(NULL);

	put_number(v, "kind", f->kind);
	put_word(v, "reason", f->reason);
	put_number(v, "retry", f->retry_ms);
	h1_put(s, FIELD_OUTCOME, v->str);
	g_string_free(v, TRUE);
}

gboolean
peerhdr_failure_read(const struct h1_head *h, struct failure *f, char **why)
{
	const char *v = h1_head_get(h, FIELD_OUTCOME);
	gint64 kind, retry = 0;

	if (v == NULL)
		return FALSE;
	/* Without a valid kind the request may have run. */
	if (!get_number(v, "kind", &kind) || kind < FAIL_UNREACHED ||
	    kind > FAIL_LOST)
		kind = FAIL_LOST;
	get_number(v, "retry", &retry);
	*why = get_word(v, "reason");
	f->kind = (enum failure_kind)kind;
	f->retry_ms = (int)CLAMP(retry, 0, 60000);
	f->reason = *why != NULL ? *why : "unreadable";
	return TRUE;
}
