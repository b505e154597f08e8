#include <glib.h>
#include <check.h>
#include <rpc/rpc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "httpio.h"
#include "mesh.h"
#include "run.h"

#define WAIT_MS 10000

/* Last response of the log. */
struct response {
	gboolean done;
	gint64 offset; /* of the appended record */
	gint64 oldest, next; /* of the batch */
	gint64 first; /* offset of the first record in the batch */
	guint n; /* records in the batch */
	int code; /* enum pt_error, -1: none */
	GString *data; /* records, each followed by ";" */
};

static struct mesh *mesh;
static struct httpio_log *client;
static struct pt_log port;
static struct response last;

static void
setup(void)
{
	struct mesh_opts o = { NULL, NULL, FALSE, "warning" };

	mesh = mesh_new(&o, NULL);
	ck_assert_ptr_nonnull(mesh);
	last.data = g_string_new(NULL);
}

static void
teardown(void)
{
	if (client != NULL)
		httpio_log_free(client);
	client = NULL;
	mesh_sleep(20);
	mesh_clean(mesh);
	mesh_free(mesh);
	g_string_free(last.data, TRUE);
}

static char *
url(const char *tail)
{
	return g_strconcat(mesh_log_url(mesh), tail, NULL);
}

static gboolean
responds(void *u)
{
	char *text = mesh_get(u, 1000);

	g_free(text);
	return text != NULL;
}

/* Starts the log with these arguments and creates a client of it. */
static void
start_log(const char *const *args)
{
	struct httpio_log_opts o = { mesh_log_url(mesh), 2000 };
	char *u = url("/metrics");

	ck_assert(mesh_log_start(mesh, args, NULL));
	ck_assert(mesh_until(responds, u, WAIT_MS));
	client = httpio_log_new(&o, NULL);
	port = httpio_log_port(client);
	g_free(u);
}

static void
set_fault(const char *query)
{
	char *u = g_strconcat(mesh_log_url(mesh), "/v1/faults?", query, NULL);

	ck_assert_uint_eq(mesh_send("POST", u, NULL, 1000), 204);
	g_free(u);
}

static void
on_append(void *arg, gint64 offset, const GError *err)
{
	last.done = TRUE;
	last.offset = offset;
	last.code = err != NULL ? err->code : -1;
}

static void
on_read(void *arg, const struct pt_batch *b, const GError *err)
{
	guint i;

	last.done = TRUE;
	last.code = err != NULL ? err->code : -1;
	if (b == NULL)
		return;
	last.oldest = b->oldest;
	last.next = b->next;
	last.n = b->n_entries;
	last.first = b->n_entries > 0 ? b->entries[0].offset : 0;
	for (i = 0; i < b->n_entries; i++) {
		g_string_append_len(last.data,
		    g_bytes_get_data(b->entries[i].data, NULL),
		    (gssize)g_bytes_get_size(b->entries[i].data));
		g_string_append_c(last.data, ';');
	}
}

static gboolean
is_done(void *arg)
{
	return last.done;
}

/* Appends a record; returns the error code, or -1 on success. */
static int
append(const char *text)
{
	GBytes *b = g_bytes_new(text, strlen(text));

	last.done = FALSE;
	port.append(port.ctx, "config", b, on_append, NULL);
	g_bytes_unref(b);
	ck_assert(mesh_until(is_done, NULL, WAIT_MS));
	return last.code;
}

static int
read_from(gint64 from)
{
	last.done = FALSE;
	g_string_truncate(last.data, 0);
	port.read(port.ctx, "config", from, 100, 0, on_read, NULL);
	ck_assert(mesh_until(is_done, NULL, WAIT_MS));
	return last.code;
}

/*
 * Guards against a stand-in that loses the record together with the answer, or
 * stores one that it refused: tests of lost appends would then prove nothing.
 */
START_TEST(lost_answer_is_appended_once)
{
	start_log(NULL);
	ck_assert_int_eq(append("a"), -1);
	ck_assert_int_eq(last.offset, 1);
	set_fault("lose_answers=1");
	ck_assert_int_eq(append("b"), PT_ERROR_UNKNOWN);
	set_fault("lose_requests=1");
	ck_assert_int_eq(append("c"), PT_ERROR_UNKNOWN);
	set_fault("down=1");
	ck_assert_int_eq(append("d"), PT_ERROR_UNREACHABLE);
	set_fault("down=0");
	ck_assert_int_eq(append("e"), -1);
	ck_assert_int_eq(last.offset, 3);
	ck_assert_int_eq(read_from(1), -1);
	ck_assert_str_eq(last.data->str, "a;b;e;");
}
END_TEST

/*
 * Guards against a reader that cannot tell trimmed records from an empty stream
 * because a read below the oldest record does not report the bounds.
 */
START_TEST(read_reports_retention)
{
	const char *const args[] = { "--retention-count", "3", NULL };
	int i;

	start_log(args);
	for (i = 0; i < 5; i++)
		ck_assert_int_eq(append("x"), -1);
	ck_assert_int_eq(read_from(2), -1);
	ck_assert_uint_eq(last.n, 0);
	ck_assert_int_eq(last.oldest, 3);
	ck_assert_int_eq(last.next, 6);
	ck_assert_int_eq(read_from(3), -1);
	ck_assert_uint_eq(last.n, 3);
	ck_assert_int_eq(last.first, 3);
	set_fault("trim=0");
	ck_assert_int_eq(read_from(5), -1);
	ck_assert_uint_eq(last.n, 0);
	ck_assert_int_eq(last.oldest, 6);
	ck_assert_int_eq(append("y"), -1);
	ck_assert_int_eq(last.offset, 6);
}
END_TEST

/* Guards against records that are kept beyond the retention time. */
START_TEST(retention_by_age)
{
	const char *const args[] = { "--retention-ms", "200", NULL };

	start_log(args);
	ck_assert_int_eq(append("x"), -1);
	mesh_sleep(250);
	ck_assert_int_eq(read_from(1), -1);
	ck_assert_uint_eq(last.n, 0);
	ck_assert_int_eq(last.oldest, 2);
}
END_TEST

static gboolean
log_stopped(void *arg)
{
	char *u = url("/metrics");
	gboolean stopped = !responds(u);

	g_free(u);
	return stopped;
}

/* Guards against a refused append that is stored but reported as not sent. */
START_TEST(refused_append_has_no_effect)
{
	const char *const args[] = { "--appends-per-second", "1",
		"--max-record", "4", NULL };

	start_log(args);
	ck_assert_int_eq(append("larger"), PT_ERROR_TOO_LARGE);
	ck_assert_int_eq(append("a"), -1);
	ck_assert_int_eq(append("b"), PT_ERROR_UNREACHABLE);
	ck_assert_int_eq(read_from(1), -1);
	ck_assert_str_eq(last.data->str, "a;");
	kill(mesh_log(mesh)->pid, SIGKILL);
	ck_assert(mesh_until(log_stopped, NULL, WAIT_MS));
	ck_assert_int_eq(append("c"), PT_ERROR_UNREACHABLE);
}
END_TEST

static gboolean
has_data(void *arg)
{
	return last.data->len > 0;
}

/* Guards against a long poll that misses an append made while it waits. */
START_TEST(long_poll_gets_the_append)
{
	GBytes *b = g_bytes_new("late", 4);
	struct response *s = &last;

	start_log(NULL);
	s->done = FALSE;
	port.read(port.ctx, "config", 1, 10, 60000, on_read, NULL);
	mesh_sleep(100);
	ck_assert(!s->done);
	port.append(port.ctx, "config", b, on_append, NULL);
	g_bytes_unref(b);
	ck_assert(mesh_until(is_done, NULL, WAIT_MS));
	ck_assert(mesh_until(has_data, NULL, WAIT_MS));
	ck_assert_str_eq(s->data->str, "late;");
}
END_TEST

static gboolean
back_responds(void *p)
{
	struct mesh_inst *i = p;
	char *u =
	    g_strdup_printf("http://%s:%d/health", i->host, MESH_BACK_PORT);
	gboolean ok = responds(u);

	g_free(u);
	return ok;
}

static struct mesh_inst *
start_back(void)
{
	static const char *const args[] = { "--service-us", "1000",
		"--announce", "", NULL };
	struct mesh_inst_opts o = { "b1", 1, "r1", "work", 4, 100, NULL, args };
	struct mesh_inst *i = mesh_add(mesh, &o);

	ck_assert(mesh_start(i, MESH_BACK, NULL));
	ck_assert(mesh_until(back_responds, i, WAIT_MS));
	return i;
}

static char *
back_url(const struct mesh_inst *i, const char *tail)
{
	return g_strdup_printf("http://%s:%d%s", i->host, MESH_BACK_PORT, tail);
}

/*
 * Guards against a second run with the same key that the stand-in, and so every
 * bench, fails to count.
 */
START_TEST(double_run_is_counted)
{
	struct mesh_inst *i = start_back();
	const char *const keys[] = { "k1", "k2", "k1" };
	struct mesh_runs r;
	char *u, *text;
	guint n;

	for (n = 0; n < G_N_ELEMENTS(keys); n++) {
		u = back_url(i, "/order");
		ck_assert(mesh_send_header("POST", u, "Idempotency-Key",
			      keys[n], NULL, 2000) == 200);
		g_free(u);
	}
	r = mesh_runs(mesh);
	ck_assert_uint_eq(r.total, 3);
	ck_assert_uint_eq(r.keys, 2);
	ck_assert_uint_eq(r.maximum, 2);
	ck_assert_uint_eq(r.duplicates, 1);
	u = back_url(i, "/runs");
	text = mesh_get(u, 1000);
	ck_assert_ptr_nonnull(text);
	ck_assert_ptr_nonnull(strstr(text, "\"duplicates\":1"));
	g_free(text);
	g_free(u);
	/* The count must survive a kill of the backend server. */
	mesh_signal(i, MESH_BACK, SIGKILL);
	ck_assert(mesh_wait_end(i, MESH_BACK, WAIT_MS));
	ck_assert_uint_eq(mesh_runs(mesh).duplicates, 1);
}
END_TEST

/*
 * Guards against a load generator that counts an answer as complete when the
 * backend server closed the connection within it.
 */
START_TEST(cut_answers_are_counted)
{
	struct mesh_inst *i = start_back();
	struct mesh_kind kind = { "k", "POST", "/x", 200, 50000, FALSE, 0 };
	struct mesh_load_opts o = { 0 };
	const struct mesh_kind_stats *s;
	struct mesh_load *l;
	char *urls[2] = { back_url(i, ""), NULL };
	char *u = back_url(i, "/v1/faults?cut=3");

	ck_assert_uint_eq(mesh_send("POST", u, NULL, 1000), 204);
	o.urls = (const char *const *)urls;
	o.kinds = &kind;
	o.n_kinds = 1;
	o.seed = 7;
	o.timeout_ms = 2000;
	o.connections = 8;
	l = mesh_load_new(&o);
	mesh_load_start(l);
	mesh_sleep(300);
	mesh_load_stop(l);
	ck_assert(mesh_load_settle(l, WAIT_MS));
	s = mesh_load_stats(l, 0);
	ck_assert_uint_eq(s->results[MESH_CUT], 3);
	ck_assert_uint_eq(s->results[MESH_WRONG], 0);
	ck_assert_uint_gt(s->results[MESH_OK], 0);
	ck_assert_uint_eq(s->results[MESH_OK] + s->results[MESH_CUT], s->sent);
	mesh_load_free(l);
	g_free(urls[0]);
	g_free(u);
}
END_TEST

/*
 * Guards against a check of answers that accepts the body of another request,
 * length or offset.
 */
START_TEST(body_differs_by_request)
{
	char a[100], b[100];

	mesh_body_fill("r-1", 1000, 300, a, sizeof(a));
	ck_assert(mesh_body_check("r-1", 1000, 300, a, sizeof(a)));
	ck_assert(!mesh_body_check("r-2", 1000, 300, a, sizeof(a)));
	ck_assert(!mesh_body_check("r-1", 999, 300, a, sizeof(a)));
	ck_assert(!mesh_body_check("r-1", 1000, 301, a, sizeof(a)));
	ck_assert(!mesh_body_check("r-1", 1000, 950, a, sizeof(a)));
	mesh_body_fill("r-1", 1000, 313, b, 50);
	ck_assert_mem_eq(a + 13, b, 50);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("standin");
	TCase *t = tcase_create("standin");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, lost_answer_is_appended_once);
	tcase_add_test(t, read_reports_retention);
	tcase_add_test(t, retention_by_age);
	tcase_add_test(t, refused_append_has_no_effect);
	tcase_add_test(t, long_poll_gets_the_append);
	tcase_add_test(t, double_run_is_counted);
	tcase_add_test(t, cut_answers_are_counted);
	tcase_add_test(t, body_differs_by_request);
	tcase_set_timeout(t, 60);
	suite_add_tcase(s, t);
	return suite_run(s);
}
