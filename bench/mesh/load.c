/*
 * Paced open-loop load over HTTP: arrivals do not wait for answers, and
 * latency is measured from the intended start of a call.
 */

#include <glib.h>
#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "mesh.h"
#include "priv.h"

#define KEYS_LOW 64 /* more keys are fetched below this number */
#define KEY_RETRY_US (G_USEC_PER_SEC / 10)
#define KEYS_MAX 1048576 /* size limit of an answer with keys */
#define SAMPLES_MAX 4000000 /* latencies kept of each kind of call */

const char *const mesh_result_names[MESH_RESULTS] = { "ok", "refused",
	"unknown", "failed", "cut", "wrong" };

struct call {
	TAILQ_ENTRY(call) link;
	struct mesh_load *load;
	guint kind, entry;
	guint refused; /* entry nodes that refused the connection */
	gint64 due_us; /* intended start */
	char id[24];
	char *key;
	struct load_req *req;
	guint timer;
	guint status;
	gboolean wrong; /* the body differs from the expected one */
	gboolean echoed; /* the answer has the id of this request */
	enum mesh_result refusal; /* result of an answer other than 200 */
	gsize got; /* bytes of the body */
};

TAILQ_HEAD(calls, call);

struct kind_state {
	double per_second;
	gint64 next_due_us; /* intended start of the next call */
	struct mesh_kind_stats stats;
};

struct mesh_load {
	struct mesh_load_opts o;
	struct kind_state *kinds;
	struct load_http *http;
	struct load_host **hosts; /* entry nodes */
	char **authorities; /* HOST:PORT */
	guint n_urls;
	GRand *rand;
	struct calls in_flight; /* calls sent or about to be sent */
	struct calls waiting; /* calls that wait for an idempotency key */
	GPtrArray *keys; /* unused keys, taken from the end */
	gint64 keys_expire_us; /* time before which "keys" must be used */
	gboolean fetching_keys, running;
	struct load_req *key_req;
	GString *key_text;
	guint key_status;
	guint key_timer;
	struct sys_ticker *ticker;
	guint64 serial;
};

static void send_call(struct call *);
static void fetch_keys(struct mesh_load *);

static void
call_free(struct call *c)
{
	sys_cancel(&c->timer);
	g_free(c->key);
	g_free(c);
}

static void
finish(struct call *c, enum mesh_result r)
{
	struct mesh_load *l = c->load;
	struct mesh_kind_stats *s = &l->kinds[c->kind].stats;
	gint32 us;

	TAILQ_REMOVE(&l->in_flight, c, link);
	s->results[r]++;
	s->bytes += c->got;
	if (r == MESH_OK && s->latency_us->len < SAMPLES_MAX) {
		us = (gint32)MIN(pt_now(&sys_clock) - c->due_us, G_MAXINT32);
		g_array_append_val(s->latency_us, us);
	}
	call_free(c);
}

static void
on_head(void *arg, guint status, const char *headers)
{
	struct call *c = arg;
	char *outcome = load_header(headers, "Pt-Outcome");
	char *id = load_header(headers, "Pt-Request-Id");

	c->status = status;
	c->echoed = g_strcmp0(id, c->id) == 0;
	c->refusal = MESH_FAILED;
	if (status == 503 && g_strcmp0(outcome, "not-run") == 0)
		c->refusal = MESH_REFUSED;
	else if (g_strcmp0(outcome, "unknown") == 0)
		c->refusal = MESH_UNKNOWN;
	g_free(outcome);
	g_free(id);
}

static void
on_data(void *arg, const char *data, gsize len)
{
	struct call *c = arg;
	const struct mesh_kind *k = &c->load->o.kinds[c->kind];

	if (c->status == 200 &&
	    !mesh_body_check(c->id, k->size, c->got, data, len))
		c->wrong = TRUE;
	c->got += len;
}

/* Result of a complete answer. */
static enum mesh_result
classify(const struct call *c)
{
	const struct mesh_kind *k = &c->load->o.kinds[c->kind];

	if (c->status != 200)
		return c->refusal;
	return c->wrong || c->got != k->size || !c->echoed ? MESH_WRONG
							   : MESH_OK;
}

static void
on_end(void *arg, enum load_result how, gboolean resent)
{
	struct call *c = arg;
	struct mesh_load *l = c->load;

	c->req = NULL;
	l->kinds[c->kind].stats.restarted += resent;
	if (how == LOAD_REFUSED && c->refused + 1 < l->n_urls) {
		c->refused++;
		l->kinds[c->kind].stats.moved++;
		c->entry = (c->entry + 1) % l->n_urls;
		send_call(c);
	} else if (how == LOAD_COMPLETE) {
		finish(c, classify(c));
	} else {
		finish(c, how == LOAD_CUT ? MESH_CUT : MESH_FAILED);
	}
}

static void
on_timeout(void *arg)
{
	struct call *c = arg;

	c->timer = 0;
	load_cancel(c->req);
	finish(c, MESH_FAILED);
}

static void
send_call(struct call *c)
{
	static const struct load_handler handler = { on_head, on_data, on_end };
	struct mesh_load *l = c->load;
	const struct mesh_kind *k = &l->o.kinds[c->kind];
	GString *t = g_string_new(NULL);
	gboolean get = strcmp(k->method, "GET") == 0;

	sys_cancel(&c->timer);
	g_string_printf(t,
	    "%s %s%csize=%" G_GSIZE_FORMAT " HTTP/1.1\r\nHost: %s\r\n"
	    "Pt-Request-Id: %s\r\n",
	    k->method, k->path, strchr(k->path, '?') != NULL ? '&' : '?',
	    k->size, l->authorities[c->entry], c->id);
	if (c->key != NULL)
		g_string_append_printf(t, "Idempotency-Key: %s\r\n", c->key);
	if (k->deadline_ms > 0)
		g_string_append_printf(
		    t, "Pt-Deadline-Ms: %u\r\n", k->deadline_ms);
	g_string_append(t, get ? "\r\n" : "Content-Length: 0\r\n\r\n");
	c->timer = sys_after((gint64)l->o.timeout_ms * 1000, on_timeout, c);
	c->req = load_send(
	    l->hosts[c->entry], t, get || c->key != NULL, &handler, c);
}

/* Assigns the unused keys to waiting calls. */
static void
assign_keys(struct mesh_load *l)
{
	struct call *c;

	if (g_get_monotonic_time() > l->keys_expire_us)
		g_ptr_array_set_size(l->keys, 0);
	while (l->keys->len > 0 && (c = TAILQ_FIRST(&l->waiting)) != NULL) {
		c->key = g_ptr_array_steal_index(l->keys, l->keys->len - 1);
		TAILQ_REMOVE(&l->waiting, c, link);
		TAILQ_INSERT_TAIL(&l->in_flight, c, link);
		send_call(c);
	}
	if (l->keys->len < KEYS_LOW)
		fetch_keys(l);
}

static void
add_keys(struct mesh_load *l)
{
	JsonParser *p = json_parser_new();
	JsonNode *root;
	JsonArray *a = NULL;
	guint i;

	if (json_parser_load_from_data(
		p, l->key_text->str, (gssize)l->key_text->len, NULL)) {
		root = json_parser_get_root(p);
		if (root != NULL && JSON_NODE_HOLDS_OBJECT(root) &&
		    json_object_has_member(json_node_get_object(root), "keys"))
			a = json_object_get_array_member(
			    json_node_get_object(root), "keys");
	}
	if (a != NULL) {
		/* New keys must be used first within use_within_ms. */
		g_ptr_array_set_size(l->keys, 0);
		l->keys_expire_us =
		    g_get_monotonic_time() +
		    json_object_get_int_member_with_default(
			json_node_get_object(root), "use_within_ms", 0) *
			1000;
	}
	for (i = 0; a != NULL && i < json_array_get_length(a); i++)
		g_ptr_array_add(
		    l->keys, g_strdup(json_array_get_string_element(a, i)));
	g_object_unref(p);
}

static void
fetch_done(void *arg)
{
	struct mesh_load *l = arg;

	l->key_timer = 0;
	l->fetching_keys = FALSE;
	assign_keys(l);
}

static void
on_key_head(void *arg, guint status, const char *headers)
{
	((struct mesh_load *)arg)->key_status = status;
}

static void
on_key_data(void *arg, const char *data, gsize len)
{
	struct mesh_load *l = arg;

	if (l->key_text->len + len <= KEYS_MAX)
		g_string_append_len(l->key_text, data, (gssize)len);
}

static void
on_key_end(void *arg, enum load_result how, gboolean resent)
{
	struct mesh_load *l = arg;
	guint before = l->keys->len;

	sys_cancel(&l->key_timer);
	l->key_req = NULL;
	if (how == LOAD_COMPLETE && l->key_status == 200)
		add_keys(l);
	if (l->keys->len > before)
		fetch_done(l);
	else
		l->key_timer = sys_after(KEY_RETRY_US, fetch_done, l);
}

static void
key_timeout(void *arg)
{
	struct mesh_load *l = arg;

	load_cancel(l->key_req);
	l->key_req = NULL;
	fetch_done(l);
}

/* Requests keys from a random entry node. */
static void
fetch_keys(struct mesh_load *l)
{
	static const struct load_handler handler = { on_key_head, on_key_data,
		on_key_end };
	GString *t;
	guint i;

	if (l->fetching_keys)
		return;
	l->fetching_keys = TRUE;
	i = (guint)g_rand_int_range(l->rand, 0, (gint32)l->n_urls);
	t = g_string_new(NULL);
	g_string_printf(t,
	    "POST /.pt/keys HTTP/1.1\r\nHost: %s\r\n"
	    "Content-Length: 0\r\n\r\n",
	    l->authorities[i]);
	g_string_truncate(l->key_text, 0);
	l->key_timer =
	    sys_after((gint64)l->o.timeout_ms * 1000, key_timeout, l);
	l->key_req = load_send(l->hosts[i], t, TRUE, &handler, l);
}

static void
start_call(struct mesh_load *l, guint kind, gint64 due_us)
{
	struct call *c;

	c = g_new0(struct call, 1);
	c->load = l;
	c->kind = kind;
	c->due_us = due_us;
	c->entry = (guint)g_rand_int_range(l->rand, 0, (gint32)l->n_urls);
	g_snprintf(c->id, sizeof(c->id), "%x-%" G_GUINT64_FORMAT, l->o.seed,
	    ++l->serial);
	l->kinds[kind].stats.sent++;
	if (l->o.kinds[kind].keyed) {
		TAILQ_INSERT_TAIL(&l->waiting, c, link);
		assign_keys(l);
		return;
	}
	TAILQ_INSERT_TAIL(&l->in_flight, c, link);
	send_call(c);
}

/* Poisson arrivals: exponentially distributed interarrival times. */
static gint64
interarrival_us(struct mesh_load *l, double per_second)
{
	return (gint64)(-log(1.0 - g_rand_double(l->rand)) * 1e6 / per_second);
}

static gint64
tick(void *arg)
{
	struct mesh_load *l = arg;
	struct kind_state *k;
	gint64 now = pt_now(&sys_clock), due = G_MAXINT64;
	guint i;

	for (i = 0; i < l->o.n_kinds && l->running; i++) {
		k = &l->kinds[i];
		if (k->per_second <= 0)
			continue;
		while (k->next_due_us <= now) {
			start_call(l, i, k->next_due_us);
			k->next_due_us += interarrival_us(l, k->per_second);
		}
		due = MIN(due, k->next_due_us);
	}
	return due;
}

static void
add_hosts(struct mesh_load *l)
{
	GUri *u;
	guint i;

	l->n_urls = g_strv_length((char **)l->o.urls);
	l->http = load_http_new();
	l->hosts = g_new0(struct load_host *, l->n_urls);
	l->authorities = g_new0(char *, l->n_urls + 1);
	for (i = 0; i < l->n_urls; i++) {
		u = g_uri_parse(l->o.urls[i], G_URI_FLAGS_NONE, NULL);
		if (u == NULL || g_uri_get_host(u) == NULL)
			g_error("not a URL: %s; use http://HOST:PORT",
			    l->o.urls[i]);
		l->authorities[i] = g_strdup_printf(
		    "%s:%d", g_uri_get_host(u), g_uri_get_port(u));
		l->hosts[i] = load_add_host(l->http, g_uri_get_host(u),
		    (guint)g_uri_get_port(u), l->o.connections);
		g_uri_unref(u);
	}
}

struct mesh_load *
mesh_load_new(const struct mesh_load_opts *o)
{
	struct mesh_load *l;
	guint i;

	l = g_new0(struct mesh_load, 1);
	l->o = *o;
	add_hosts(l);
	l->rand = g_rand_new_with_seed(o->seed);
	l->kinds = g_new0(struct kind_state, o->n_kinds);
	for (i = 0; i < o->n_kinds; i++) {
		l->kinds[i].per_second = o->kinds[i].per_second;
		l->kinds[i].stats.latency_us =
		    g_array_new(FALSE, FALSE, sizeof(gint32));
	}
	l->key_text = g_string_new(NULL);
	l->keys = g_ptr_array_new_with_free_func(g_free);
	TAILQ_INIT(&l->in_flight);
	TAILQ_INIT(&l->waiting);
	return l;
}

void
mesh_load_start(struct mesh_load *l)
{
	gint64 now = pt_now(&sys_clock);
	guint i;

	l->running = TRUE;
	for (i = 0; i < l->o.n_kinds; i++) {
		if (l->kinds[i].per_second > 0)
			l->kinds[i].next_due_us =
			    now + interarrival_us(l, l->kinds[i].per_second);
		if (l->o.kinds[i].keyed)
			fetch_keys(l);
	}
	if (l->ticker == NULL)
		l->ticker = sys_ticker_new(tick, l);
	sys_ticker_kick(l->ticker);
}

void
mesh_load_stop(struct mesh_load *l)
{
	l->running = FALSE;
}

void
mesh_load_rate(struct mesh_load *l, guint kind, double per_second)
{
	struct kind_state *k = &l->kinds[kind];

	k->per_second = per_second;
	if (per_second > 0)
		k->next_due_us =
		    pt_now(&sys_clock) + interarrival_us(l, per_second);
	if (l->ticker != NULL)
		sys_ticker_kick(l->ticker);
}

static gboolean
settled(void *arg)
{
	struct mesh_load *l = arg;

	return TAILQ_EMPTY(&l->in_flight) && TAILQ_EMPTY(&l->waiting);
}

gboolean
mesh_load_settle(struct mesh_load *l, guint timeout_ms)
{
	return mesh_until(settled, l, timeout_ms);
}

void
mesh_load_reset(struct mesh_load *l)
{
	struct mesh_kind_stats *s;
	GArray *us;
	guint i;

	for (i = 0; i < l->o.n_kinds; i++) {
		s = &l->kinds[i].stats;
		us = s->latency_us;
		g_array_set_size(us, 0);
		memset(s, 0, sizeof(*s));
		s->latency_us = us;
	}
}

guint
mesh_load_kinds(const struct mesh_load *l)
{
	return l->o.n_kinds;
}

const struct mesh_kind *
mesh_load_kind(const struct mesh_load *l, guint kind)
{
	return &l->o.kinds[kind];
}

const struct mesh_kind_stats *
mesh_load_stats(const struct mesh_load *l, guint kind)
{
	return &l->kinds[kind].stats;
}

void
mesh_load_free(struct mesh_load *l)
{
	struct call *c, *next;
	guint i;

	if (l->ticker != NULL)
		sys_ticker_free(l->ticker);
	sys_cancel(&l->key_timer);
	if (l->key_req != NULL)
		load_cancel(l->key_req);
	for (c = TAILQ_FIRST(&l->waiting); c != NULL; c = next) {
		next = TAILQ_NEXT(c, link);
		call_free(c);
	}
	for (c = TAILQ_FIRST(&l->in_flight); c != NULL; c = next) {
		next = TAILQ_NEXT(c, link);
		load_cancel(c->req);
		call_free(c);
	}
	load_http_free(l->http);
	for (i = 0; i < l->o.n_kinds; i++)
		g_array_free(l->kinds[i].stats.latency_us, TRUE);
	g_free(l->kinds);
	g_free(l->hosts);
	g_strfreev(l->authorities);
	g_string_free(l->key_text, TRUE);
	g_ptr_array_free(l->keys, TRUE);
	g_rand_free(l->rand);
	g_free(l);
}
