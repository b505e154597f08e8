/* Stand-in for the store of the platform: topics of keyed records. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "soak.h"

#define SLOW_US (300 * G_TIME_SPAN_MILLISECOND)
#define PREFIX_LEN 4

struct record {
	char *key;
	GBytes *value; /* NULL: the key is deleted */
};

struct topic {
	GArray *records;
};

/* A request without an answer so far. */
struct client {
	LIST_ENTRY(client) entry;
	struct store *store;
	struct h1_request *request;
	guint timer; /* delay of the answer, or end of a long poll */
	gboolean long_poll; /* a read that waits for records */
};

struct store {
	struct h1_server *server;
	GHashTable *topics; /* name -> struct topic */
	enum store_mode mode;
	LIST_HEAD(client_list, client) clients;
};

static void
record_clear(gpointer p)
{
	struct record *r = p;

	g_free(r->key);
	g_clear_pointer(&r->value, g_bytes_unref);
}

static void
topic_free(gpointer p)
{
	struct topic *t = p;

	g_array_unref(t->records);
	g_free(t);
}

static struct topic *
topic_get(struct store *s, const char *name)
{
	struct topic *t = g_hash_table_lookup(s->topics, name);

	if (t != NULL)
		return t;
	t = g_new0(struct topic, 1);
	t->records = g_array_new(FALSE, FALSE, sizeof(struct record));
	g_array_set_clear_func(t->records, record_clear);
	g_hash_table_insert(s->topics, g_strdup(name), t);
	return t;
}

/* Value of a query parameter. */
static char *
param(const char *target, const char *name)
{
	const char *q = strchr(target, '?');
	GHashTable *t;
	char *v;

	t = q != NULL
		? g_uri_parse_params(q + 1, -1, "&", G_URI_PARAMS_NONE, NULL)
		: NULL;
	if (t == NULL)
		return g_strdup("");
	v = g_strdup(g_hash_table_lookup(t, name));
	g_hash_table_unref(t);
	return v != NULL ? v : g_strdup("");
}

static void
client_free(struct client *c)
{
	sys_cancel(&c->timer);
	LIST_REMOVE(c, entry);
	g_free(c);
}

static void
answer(struct client *c, int status, const void *body, gsize n)
{
	struct h1_request *r = c->request;

	client_free(c);
	h1_server_respond(r,
	    &(struct h1_response){ .status = status, .body = body, .len = n });
}

static void
put_be(GByteArray *out, guint64 v, guint n)
{
	guint8 b;

	while (n-- > 0) {
		b = (guint8)(v >> (8 * n));
		g_byte_array_append(out, &b, 1);
	}
}

static void
put_record(GByteArray *out, const struct record *r)
{
	gsize k = strlen(r->key), n = 0;
	const void *v =
	    r->value != NULL ? g_bytes_get_data(r->value, &n) : NULL;

	put_be(out, 1 + k + n, PREFIX_LEN);
	put_be(out, k, 1);
	g_byte_array_append(out, (const guint8 *)r->key, (guint)k);
	g_byte_array_append(out, v, (guint)n);
}

/* Answers a read; FALSE if there are no records and "reply_empty" is unset. */
static gboolean
read_records(struct client *c, gboolean reply_empty)
{
	char *name = param(c->request->head->target, "topic");
	char *from = param(c->request->head->target, "from");
	struct topic *t = topic_get(c->store, name);
	guint i = (guint)strtoul(from, NULL, 10);
	gboolean some = i < t->records->len;
	GByteArray *out;

	g_free(name);
	g_free(from);
	if (!some && !reply_empty)
		return FALSE;
	out = g_byte_array_new();
	put_be(out, t->records->len, 8);
	put_be(out, 0, 8);
	for (; i < t->records->len; i++)
		put_record(out, &g_array_index(t->records, struct record, i));
	answer(c, 200, out->data, out->len);
	g_byte_array_unref(out);
	return TRUE;
}

static void
wait_expired(void *arg)
{
	struct client *c = arg;

	c->timer = 0;
	read_records(c, TRUE);
}

static void
handle_read(struct client *c)
{
	char *wait = param(c->request->head->target, "waitMs");

	if (!read_records(c, FALSE)) {
		c->long_poll = TRUE;
		c->timer =
		    sys_after(strtol(wait, NULL, 10) * G_TIME_SPAN_MILLISECOND,
			wait_expired, c);
	}
	g_free(wait);
}

static void
handle_newest(struct client *c)
{
	char *name = param(c->request->head->target, "topic"), *b64;
	struct topic *t = topic_get(c->store, name);
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
	GString *s = g_string_new("{\"items\":[");
	struct record *r;
	GHashTableIter it;
	gpointer v;
	guint i;

	for (i = 0; i < t->records->len; i++) {
		r = &g_array_index(t->records, struct record, i);
		g_hash_table_replace(newest, r->key, r);
	}
	g_hash_table_iter_init(&it, newest);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		r = v;
		if (r->value == NULL)
			continue;
		b64 = g_base64_encode(g_bytes_get_data(r->value, NULL),
		    g_bytes_get_size(r->value));
		g_string_append_printf(s,
		    "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":1}",
		    s->str[s->len - 1] == '[' ? "" : ",", r->key, b64);
		g_free(b64);
	}
	g_string_append_printf(
	    s, "],\"hasMore\":false,\"end\":%u}", t->records->len);
	answer(c, 200, s->str, s->len);
	g_string_free(s, TRUE);
	g_hash_table_unref(newest);
	g_free(name);
}

static void
answer_reads(struct store *s)
{
	struct client *c, *next;

	for (c = LIST_FIRST(&s->clients); c != NULL; c = next) {
		next = LIST_NEXT(c, entry);
		if (c->long_poll)
			read_records(c, FALSE);
	}
}

static void
append(struct store *s, const char *topic, char *key, GBytes *value)
{
	struct record r = { key, value };

	g_array_append_val(topic_get(s, topic)->records, r);
	answer_reads(s);
}

void
store_put(
    struct store *s, const char *topic, const char *key, const char *value)
{
	append(s, topic, g_strdup(key), g_bytes_new(value, strlen(value)));
}

static void
handle_append(struct client *c)
{
	char *name = param(c->request->head->target, "topic");
	const guint8 *p = c->request->body->data;
	gsize k = c->request->body->len > PREFIX_LEN ? p[PREFIX_LEN] : 0;
	gsize head = PREFIX_LEN + 1 + k;

	if (c->request->body->len < head) {
		answer(c, 400, "", 0);
	} else {
		append(c->store, name,
		    g_strndup((const char *)p + PREFIX_LEN + 1, k),
		    c->request->body->len > head
			? g_bytes_new(p + head, c->request->body->len - head)
			: NULL);
		answer(c, 200, "{\"offset\":0,\"end\":1}", 20);
	}
	g_free(name);
}

static void
handle(void *arg)
{
	struct client *c = arg;
	const char *t = c->request->head->target;

	c->timer = 0;
	if (c->store->mode == STORE_BUSY)
		answer(c, 503, "", 0);
	else if (g_str_has_prefix(t, "/-/log-newest"))
		handle_newest(c);
	else if (g_str_has_prefix(t, "/-/log-read"))
		handle_read(c);
	else if (g_str_has_prefix(t, "/-/log-append"))
		handle_append(c);
	else
		answer(c, 404, "", 0);
}

static void
on_request(void *ctx, struct h1_request *r)
{
	struct store *s = ctx;
	struct client *c = g_new0(struct client, 1);

	c->store = s;
	c->request = r;
	r->data = c;
	LIST_INSERT_HEAD(&s->clients, c, entry);
	if (s->mode == STORE_SLOW)
		c->timer = sys_after(SLOW_US, handle, c);
	else
		handle(c);
}

static void
on_closed(void *ctx, struct h1_request *r)
{
	client_free(r->data);
}

static const struct h1_server_ops ops = { .request = on_request,
	.closed = on_closed };

struct store *
store_new(const char *host, guint port, GError **err)
{
	struct store *s = g_new0(struct store, 1);
	struct h1_server_opts o = {
		.host = host, .port = port, .ops = &ops, .ctx = s
	};

	LIST_INIT(&s->clients);
	s->topics =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, topic_free);
	s->server = h1_server_new(&o, err);
	if (s->server == NULL) {
		g_hash_table_unref(s->topics);
		g_clear_pointer(&s, g_free);
	}
	return s;
}

void
store_set(struct store *s, enum store_mode mode)
{
	s->mode = mode;
}

void
store_free(struct store *s)
{
	if (s == NULL)
		return;
	h1_server_free(s->server);
	g_hash_table_unref(s->topics);
	g_free(s);
}
