/*
 * Fuzzes the parser of messages with the corpora in test/responses and
 * test/requests.  Runs longer if PT_FUZZ_ROUNDS is set; PT_FUZZ_SEED replaces
 * the seed.
 */
#include <gio/gio.h>
#include <check.h>
#include <http_parser.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"
#include "h1.h"
#include "conn.h"
#include "run.h"

#define ROUNDS "20000"
#define SEED "36"

/* The kind of messages: responses or requests. */
static gboolean requests;

/* What the parser delivered of one input. */
struct outcome {
	struct h1_conn conn;
	struct h1_head *head;
	GString *body;
	guint heads, completes;
};

static void
on_head(void *ctx, struct h1_head *h)
{
	struct outcome *o = ctx;

	h1_head_unref(o->head);
	o->head = h1_head_ref(h);
	o->heads++;
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct outcome *o = ctx;

	ck_assert_uint_gt(o->heads, 0);
	ck_assert_uint_eq(o->completes, 0);
	g_string_append_len(o->body, p, (gssize)n);
}

static void
on_complete(void *ctx)
{
	struct outcome *o = ctx;

	o->completes++;
}

static const struct h1_ops ops = {
	.head = on_head, .body = on_body, .complete = on_complete
};

/* Parses input that arrives in "step" bytes at a time. */
static void
parse(struct outcome *o, const guint8 *p, gsize len, gsize step, gboolean head)
{
	gboolean ok = TRUE;
	gsize n;

	memset(o, 0, sizeof(*o));
	o->body = g_string_new(NULL);
	o->conn.ops = &ops;
	o->conn.ctx = o;
	o->conn.expecting = TRUE;
	o->conn.server = requests;
	o->conn.bodyless = head;
	o->conn.head_max = H1_HEAD_MAX;
	o->conn.in = g_byte_array_new();
	h1_parse_init(&o->conn);
	for (; ok && len > 0 && o->conn.expecting; len -= n, p += n) {
		n = MIN(step, len);
		g_byte_array_append(o->conn.in, p, (guint)n);
		ok = h1_parse_run(&o->conn);
	}
	if (ok)
		h1_parse_eof(&o->conn);
	else
		ck_assert_int_ne(o->conn.parse.fault, H1_FAULT_NONE);
}

static void
clear(struct outcome *o)
{
	h1_parse_clear(&o->conn);
	g_byte_array_unref(o->conn.in);
	g_string_free(o->body, TRUE);
	h1_head_unref(o->head);
}

static gboolean
is_token(const char *s)
{
	const char *p;

	for (p = s; *p != '\0'; p++)
		if (!g_ascii_isalnum(*p) &&
		    strchr("!#$%&'*+-.^_`|~", *p) == NULL)
			return FALSE;
	return p > s;
}

static void
check_start_line(const struct h1_head *h)
{
	const guchar *v = (const guchar *)h->target;

	if (!requests) {
		ck_assert_int_ge(h->status, 200);
		ck_assert_int_le(h->status, 599);
		return;
	}
	ck_assert_int_ne(v[0], '\0');
	for (; *v != '\0'; v++)
		ck_assert_msg(*v > ' ' && *v != 0x7f, "target %s", h->target);
}

/* What holds for each head that is delivered. */
static void
check_head(const struct h1_head *h)
{
	const struct h1_field *f;
	const guchar *v;
	guint i;

	check_start_line(h);
	ck_assert_int_ge(h->length, -1);
	ck_assert(!h->chunked || h->length < 0);
	for (i = 0; i < h->fields->len; i++) {
		f = &g_array_index(h->fields, struct h1_field, i);
		ck_assert_msg(is_token(f->name), "name \"%s\"", f->name);
		for (v = (const guchar *)f->value; *v != '\0'; v++)
			ck_assert((*v >= ' ' || *v == '\t') && *v != 0x7f);
	}
}

/* ---- a second reader, which finds the body of a message ---- */

struct reader {
	const char *at, *end;
	int status;
	gint64 length; /* Content-Length, -1: absent */
	gboolean chunked;
};

/* The next line without its end; FALSE: there is no whole line. */
static gboolean
read_line(struct reader *r, GString *line)
{
	const char *lf = memchr(r->at, '\n', (gsize)(r->end - r->at));

	if (lf == NULL)
		return FALSE;
	g_string_truncate(line, 0);
	g_string_append_len(line, r->at, lf - r->at);
	if (line->len > 0 && line->str[line->len - 1] == '\r')
		g_string_truncate(line, line->len - 1);
	r->at = lf + 1;
	return TRUE;
}

static void
read_field(struct reader *r, char *line)
{
	char *value = strchr(line, ':');

	if (value == NULL)
		return;
	*value++ = '\0';
	if (g_ascii_strcasecmp(line, "Content-Length") == 0)
		r->length = g_ascii_strtoll(value, NULL, 10);
	else if (g_ascii_strcasecmp(line, "Transfer-Encoding") == 0)
		r->chunked = TRUE;
}

/* Reads one head, after the empty lines that may precede it. */
static gboolean
read_head(struct reader *r, GString *line)
{
	r->length = -1;
	r->chunked = FALSE;
	while (r->at < r->end && (*r->at == '\r' || *r->at == '\n'))
		r->at++;
	if (!read_line(r, line))
		return FALSE;
	r->status = requests ? 0 : atoi(line->str + strcspn(line->str, " "));
	while (read_line(r, line)) {
		if (line->len == 0)
			return TRUE;
		read_field(r, line->str);
	}
	return FALSE;
}

static gboolean
read_bytes(struct reader *r, guint64 n, GString *body)
{
	if (n > (guint64)(r->end - r->at))
		return FALSE;
	g_string_append_len(body, r->at, (gssize)n);
	r->at += n;
	return TRUE;
}

static gboolean
read_chunks(struct reader *r, GString *line, GString *body)
{
	guint64 n;

	while (read_line(r, line)) {
		n = g_ascii_strtoull(line->str, NULL, 16);
		if (n == 0)
			break;
		if (!read_bytes(r, n, body) || !read_line(r, line) ||
		    line->len > 0)
			return FALSE;
	}
	while (read_line(r, line))
		if (line->len == 0)
			return TRUE;
	return FALSE;
}

/* The body of a valid message; FALSE: it is not complete. */
static gboolean
read_message(struct reader *r, gboolean head, GString *body)
{
	GString *line = g_string_new(NULL);
	gboolean ok;

	do
		ok = read_head(r, line);
	while (ok && !requests && r->status < 200);
	if (!ok || head || r->status == 204 || r->status == 304)
		;
	else if (r->chunked)
		ok = read_chunks(r, line, body);
	else if (r->length >= 0)
		ok = read_bytes(r, (guint64)r->length, body);
	else if (!requests)
		g_string_append_len(body, r->at, r->end - r->at);
	g_string_free(line, TRUE);
	return ok;
}

/* A message that was delivered as complete is what this reader finds. */
static void
check_message(
    const struct outcome *o, const guint8 *p, gsize len, gboolean head)
{
	struct reader r = { .at = (const char *)p,
		.end = (const char *)p + len };
	GString *body = g_string_new(NULL);
	gboolean complete = read_message(&r, head, body);

	ck_assert_msg(complete && r.status == o->head->status &&
			  g_string_equal(body, o->body),
	    "complete %d, body of %u bytes, not %u: %.*s", complete,
	    (guint)body->len, (guint)o->body->len, (int)len, (const char *)p);
	g_string_free(body, TRUE);
}

/* ---- checks ---- */

static void
check_outcome(
    const struct outcome *o, const guint8 *p, gsize len, gboolean head)
{
	ck_assert_uint_le(o->completes, 1);
	ck_assert_uint_le(o->heads, 1);
	ck_assert_uint_le(o->completes, o->heads);
	if (o->head == NULL || o->heads == 0)
		return;
	check_head(o->head);
	if (o->completes == 0)
		return;
	check_message(o, p, len, head);
	/* What ends with its connection is not reused. */
	if (!requests && !head && o->head->status != 204 &&
	    o->head->status != 304 && o->head->length < 0 && !o->head->chunked)
		ck_assert(!o->conn.keep_alive);
}

/* One input whole and in pieces: the outcome must be the same. */
static void
try_input(const guint8 *p, gsize len, gsize step, gboolean head)
{
	struct outcome whole, parts;

	parse(&whole, p, len, MAX(len, 1), head);
	parse(&parts, p, len, step, head);
	check_outcome(&whole, p, len, head);
	check_outcome(&parts, p, len, head);
	ck_assert_uint_eq(whole.completes, parts.completes);
	/* A fault hides what came in one piece with it. */
	ck_assert_uint_le(whole.heads, parts.heads);
	if (whole.head != NULL && parts.head != NULL && whole.completes == 1) {
		ck_assert_int_eq(whole.head->status, parts.head->status);
		ck_assert_uint_eq(
		    whole.head->fields->len, parts.head->fields->len);
		ck_assert(g_string_equal(whole.body, parts.body));
	}
	clear(&whole);
	clear(&parts);
}

/* ---- inputs ---- */

static GPtrArray *corpus; /* GBytes */

static gint
by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void
read_corpus(const char *dir)
{
	GDir *d = g_dir_open(dir, 0, NULL);
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	const char *name;
	char *text, *path;
	gsize len;
	guint i;

	ck_assert_msg(d != NULL, "run from the root of the repository");
	while ((name = g_dir_read_name(d)) != NULL)
		g_ptr_array_add(names, g_strdup(name));
	g_dir_close(d);
	g_ptr_array_sort(names, by_name);
	corpus = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	for (i = 0; i < names->len; i++) {
		path = g_build_filename(dir, names->pdata[i], NULL);
		ck_assert(g_file_get_contents(path, &text, &len, NULL));
		g_ptr_array_add(corpus, g_bytes_new_take(text, len));
		g_free(path);
	}
	g_ptr_array_unref(names);
	ck_assert_uint_gt(corpus->len, 0);
}

static void
setup_responses(void)
{
	requests = FALSE;
	read_corpus("test/responses");
}

static void
setup_requests(void)
{
	requests = TRUE;
	read_corpus("test/requests");
}

static void
teardown(void)
{
	g_ptr_array_unref(corpus);
}

static const char *const words[] = { "\r", "\n", "\r\n", "\r\n\r\n", " ", "\t",
	":", "\x01", "\x7f", "0", "1", "ffffffffffffffff",
	"HTTP/1.1 200 OK\r\n", "HTTP/1.1 000 No\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n", "Content-Length",
	"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", "chunked",
	"Connection: close\r\n", "Connection: upgrade\r\n", "Upgrade: x\r\n",
	"0\r\n", "0\r\n\r\n", "2\r\nab\r\n", ";a=b", ",", "+", "-", "0x",
	"\x0b", "\x0c", "\xff", "identity", "gzip, chunked",
	"Transfer-Encoding:", "Content-Length: 2, 2\r\n", "HTTP/1.0 200 OK\r\n",
	"HTTP/2.0", "Host: h\r\n", "GET /x HTTP/1.1\r\nHost: h\r\n",
	"Connection: keep-alive\r\n" };

static const guint8 *
pick(GRand *r, gsize *len)
{
	return g_bytes_get_data(
	    corpus->pdata[g_rand_int(r) % corpus->len], len);
}

/* Changes, removes or inserts bytes at a random place. */
static void
mutate(GRand *r, GByteArray *a)
{
	guint at = a->len > 0 ? g_rand_int(r) % a->len : 0;
	const char *word = words[g_rand_int(r) % G_N_ELEMENTS(words)];
	const guint8 *other;
	GByteArray *rest;
	gsize len;

	switch (a->len > 0 ? g_rand_int(r) % 5 : 3) {
	case 0:
		a->data[at] = (guint8)g_rand_int(r);
		return;
	case 1:
		a->data[at] ^= (guint8)(1 << g_rand_int(r) % 8);
		return;
	case 2:
		g_byte_array_remove_range(
		    a, at, 1 + g_rand_int(r) % (a->len - at));
		return;
	case 3:
		other = (const guint8 *)word;
		len = strlen(word);
		break;
	default: /* the rest of another response */
		other = pick(r, &len);
		at = g_rand_int(r) % (a->len + 1);
		break;
	}
	rest = g_byte_array_new();
	g_byte_array_append(rest, a->data + at, a->len - at);
	g_byte_array_set_size(a, at);
	g_byte_array_append(a, other, (guint)len);
	g_byte_array_append(a, rest->data, rest->len);
	g_byte_array_unref(rest);
}

static gint64
number_of(const char *name, const char *def)
{
	const char *v = g_getenv(name);

	return g_ascii_strtoll(v != NULL ? v : def, NULL, 10);
}

/* Guards against a corpus whose valid messages are refused. */
START_TEST(corpus_is_read)
{
	struct outcome o;
	const guint8 *p;
	guint i, complete = 0;
	gsize len, step;

	for (i = 0; i < corpus->len; i++) {
		p = g_bytes_get_data(corpus->pdata[i], &len);
		for (step = 1; step <= len; step++)
			try_input(p, len, step, FALSE);
		parse(&o, p, len, len, FALSE);
		complete += o.completes;
		clear(&o);
	}
	ck_assert_uint_gt(complete, corpus->len / 3);
	ck_assert_uint_lt(complete, corpus->len);
}
END_TEST

/*
 * Guards against crashes of the parser, against heads, fields and bodies that
 * no message may have, and against outcomes that depend on how the bytes
 * arrive.
 */
START_TEST(damaged_messages_keep_the_rules)
{
	gint64 seed = number_of("PT_FUZZ_SEED", SEED), i;
	gint64 rounds = number_of("PT_FUZZ_ROUNDS", ROUNDS);
	GRand *r = g_rand_new_with_seed((guint32)seed);
	GByteArray *a = g_byte_array_new();
	const guint8 *p;
	guint k, n;
	gsize len;

	for (i = 0; i < rounds; i++) {
		p = pick(r, &len);
		g_byte_array_set_size(a, 0);
		g_byte_array_append(a, p, (guint)len);
		n = 1 + g_rand_int(r) % 4;
		for (k = 0; k < n; k++)
			mutate(r, a);
		n = 1 + g_rand_int(r) % 16;
		try_input(
		    a->data, a->len, n, g_rand_int(r) % 8 == 0 && !requests);
	}
	g_byte_array_unref(a);
	g_rand_free(r);
}
END_TEST

static void
add_case(Suite *s, const char *name, void (*setup)(void))
{
	TCase *t = tcase_create(name);

	/* A long run may take any time. */
	tcase_set_timeout(t, 0);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, corpus_is_read);
	tcase_add_test(t, damaged_messages_keep_the_rules);
	suite_add_tcase(s, t);
}

int
main(void)
{
	Suite *s = suite_create("h1_fuzz");

	add_case(s, "responses", setup_responses);
	add_case(s, "requests", setup_requests);
	return suite_run(s);
}
