/*
 * Requests of the stand-in backend server: slots, a short queue, cancellation,
 * deadlines and streamed answers.
 */

#include <glib.h>
#include <sys/queue.h>
#include <libsoup/soup.h>
#include <rpc/rpc.h>
#include <fcntl.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "mesh.h"
#include "ptback.h"

#define CHUNK 16384
#define SIZE_MAX_BYTES (256 << 20)

/* Failure of an answer, as given by ?die= or /v1/faults?cut=. */
enum failure {
	FAIL_NONE,
	FAIL_BEFORE, /* connection closed after the run, without an answer */
	FAIL_CUT, /* connection closed within the answer */
	FAIL_EXIT /* process exits within the answer */
};

struct request {
	TAILQ_ENTRY(request) link;
	struct pool *pool;
	SoupServerMessage *msg;
	char *id;
	gint64 us; /* duration of the run, below 0: random */
	gsize size, sent;
	enum failure failure;
	gboolean queued, answering, complete;
	guint timer; /* timer of the end of the run */
	guint expiry; /* timer of the deadline */
	guint watch; /* source that detects a closed connection */
};

TAILQ_HEAD(requests, request);

struct pool {
	struct back_opts o;
	GRand *rand;
	gint64 start_us;
	gint64 drain_start_us; /* 0: not draining */
	struct requests queue, running;
	guint n_queue, n_running;
	guint n_cut; /* answers still to be cut */
	guint64 result_counts[RESULT_MAX];
	GHashTable *runs; /* idempotency key to number of runs */
	int runs_fd;
};

static void run(struct request *);

static void
request_cancel_timers(struct request *r)
{
	sys_cancel(&r->timer);
	sys_cancel(&r->expiry);
	sys_cancel(&r->watch);
}

static void
request_remove(struct request *r)
{
	struct pool *p = r->pool;

	request_cancel_timers(r);
	if (r->queued) {
		TAILQ_REMOVE(&p->queue, r, link);
		p->n_queue--;
	} else {
		TAILQ_REMOVE(&p->running, r, link);
		p->n_running--;
	}
}

/* Starts queued requests while slots are free. */
static void
fill_slots(struct pool *p)
{
	struct request *r;

	while (
	    p->n_running < p->o.slots && (r = TAILQ_FIRST(&p->queue)) != NULL) {
		TAILQ_REMOVE(&p->queue, r, link);
		p->n_queue--;
		r->queued = FALSE;
		run(r);
	}
}

static void
request_free(struct request *r)
{
	struct pool *p = r->pool;

	g_signal_handlers_disconnect_by_data(r->msg, r);
	g_object_unref(r->msg);
	g_free(r->id);
	g_free(r);
	fill_slots(p);
}

/* The message has ended: it was answered or its connection was closed. */
static void
finished(SoupServerMessage *m, gpointer p)
{
	struct request *r = p;

	request_remove(r);
	if (r->complete)
		r->pool->result_counts[RESULT_RAN]++;
	else if (r->answering)
		r->pool->result_counts[RESULT_CUT]++;
	else
		r->pool->result_counts[RESULT_CANCELLED]++;
	request_free(r);
}

static void
close_socket(SoupServerMessage *m)
{
	GSocket *s = soup_server_message_get_socket(m);

	if (s != NULL)
		g_socket_shutdown(s, TRUE, TRUE, NULL);
}

static void
refuse(SoupServerMessage *m, guint status, gboolean not_run, const char *why)
{
	SoupMessageHeaders *h = soup_server_message_get_response_headers(m);

	soup_server_message_set_status(m, status, NULL);
	if (not_run)
		soup_message_headers_replace(h, "Pt-Not-Run", "true");
	soup_server_message_set_response(
	    m, "text/plain", SOUP_MEMORY_COPY, why, strlen(why));
}

static void
expired(void *arg)
{
	struct request *r = arg;

	r->expiry = 0;
	request_remove(r);
	r->pool->result_counts[RESULT_EXPIRED]++;
	if (r->queued)
		refuse(r->msg, 503, TRUE, "the deadline passed in the queue\n");
	else
		refuse(r->msg, 504, FALSE, "the deadline passed\n");
	soup_server_message_unpause(r->msg);
	request_free(r);
}

/* Runs when the connection of a paused request is readable or closed. */
static gboolean
readable(GSocket *s, GIOCondition cond, gpointer p)
{
	struct request *r = p;
	char c;

	r->watch = 0;
	if (recv(g_socket_get_fd(s), &c, 1, MSG_PEEK | MSG_DONTWAIT) > 0)
		return G_SOURCE_REMOVE; /* a pipelined request arrived */
	request_remove(r);
	r->pool->result_counts[RESULT_CANCELLED]++;
	close_socket(r->msg);
	soup_server_message_set_status(r->msg, 500, NULL);
	soup_server_message_unpause(r->msg);
	request_free(r);
	return G_SOURCE_REMOVE;
}

static void
watch_close(struct request *r)
{
	GSocket *s = soup_server_message_get_socket(r->msg);
	GSource *src;

	src = g_socket_create_source(s, G_IO_IN | G_IO_HUP | G_IO_ERR, NULL);
	g_source_set_callback(src, G_SOURCE_FUNC(readable), r, NULL);
	r->watch = g_source_attach(src, NULL);
	g_source_unref(src);
}

static void
abort_answer(struct request *r)
{
	if (r->failure == FAIL_EXIT)
		_exit(EXIT_FAILURE);
	close_socket(r->msg);
	/* libsoup finishes the message when a write fails. */
	soup_message_body_append(soup_server_message_get_response_body(r->msg),
	    SOUP_MEMORY_STATIC, "x", 1);
}

/* Appends the next chunk of the answer once the previous one is written. */
static void
append_chunk(SoupServerMessage *m, gpointer p)
{
	struct request *r = p;
	char *buf;
	gsize n;

	if (r->failure != FAIL_NONE && r->sent >= r->size / 2) {
		abort_answer(r);
		return;
	}
	n = MIN(CHUNK, r->size - r->sent);
	if (r->failure != FAIL_NONE)
		n = MIN(n, r->size / 2 - r->sent);
	if (n == 0)
		return;
	buf = g_malloc(n);
	mesh_body_fill(r->id, r->size, r->sent, buf, n);
	r->sent += n;
	soup_message_body_append(
	    soup_server_message_get_response_body(m), SOUP_MEMORY_TAKE, buf, n);
	if (r->sent == r->size)
		soup_message_body_complete(
		    soup_server_message_get_response_body(m));
}

static void
wrote_body(SoupServerMessage *m, gpointer p)
{
	struct request *r = p;

	r->complete = r->sent == r->size;
}

static void
answer(void *arg)
{
	struct request *r = arg;
	SoupMessageHeaders *h;

	r->timer = 0;
	request_cancel_timers(r);
	r->answering = TRUE;
	h = soup_server_message_get_response_headers(r->msg);
	soup_server_message_set_status(r->msg, 200, NULL);
	soup_message_headers_replace(h, "Pt-Request-Id", r->id);
	soup_message_headers_replace(
	    h, "Content-Type", "application/octet-stream");
	soup_message_headers_set_content_length(h, r->size);
	soup_message_body_set_accumulate(
	    soup_server_message_get_response_body(r->msg), FALSE);
	g_signal_connect(r->msg, "wrote-body", G_CALLBACK(wrote_body), r);
	if (r->failure == FAIL_BEFORE ||
	    (r->failure != FAIL_NONE && r->size < 2)) {
		abort_answer(r);
	} else {
		append_chunk(r->msg, r);
		g_signal_connect(
		    r->msg, "wrote-chunk", G_CALLBACK(append_chunk), r);
	}
	soup_server_message_unpause(r->msg);
}

static gint64
run_time(struct pool *p)
{
	gint64 age = pt_now(&sys_clock) - p->start_us - p->o.boot_us;
	double us = (double)p->o.service_us;

	if (p->o.spread == SPREAD_UNIFORM)
		us *= g_rand_double_range(p->rand, 0.5, 1.5);
	if (p->o.spread == SPREAD_EXPONENTIAL)
		us *= -log(1.0 - g_rand_double(p->rand));
	if (age < p->o.warm_us)
		us *= 1 + (p->o.warm_factor - 1) *
			      (double)(p->o.warm_us - age) /
			      (double)p->o.warm_us;
	return (gint64)us;
}

/* Counts the run of a keyed request; the file keeps it if ptback is killed. */
static void
count_run(struct pool *p, SoupServerMessage *m)
{
	const char *key;
	char *line;
	guint n;

	key = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(m), "Idempotency-Key");
	if (key == NULL)
		return;
	n = GPOINTER_TO_UINT(g_hash_table_lookup(p->runs, key));
	g_hash_table_insert(p->runs, g_strdup(key), GUINT_TO_POINTER(n + 1));
	if (p->runs_fd < 0)
		return;
	line = g_strconcat(key, "\n", NULL);
	if (write(p->runs_fd, line, strlen(line)) < 0)
		pt_event(&sys_events, PT_LEVEL_ERROR, "runs-file", "lost=1");
	g_free(line);
}

static void
run(struct request *r)
{
	struct pool *p = r->pool;

	TAILQ_INSERT_TAIL(&p->running, r, link);
	p->n_running++;
	count_run(p, r->msg);
	r->timer = sys_after(r->us < 0 ? run_time(p) : r->us, answer, r);
}

static gint64
query_int(GHashTable *q, const char *name, gint64 def, gint64 max)
{
	const char *s = q != NULL ? g_hash_table_lookup(q, name) : NULL;

	return s != NULL ? CLAMP(g_ascii_strtoll(s, NULL, 10), 0, max) : def;
}

static enum failure
query_failure(struct pool *p, GHashTable *q)
{
	const char *s = q != NULL ? g_hash_table_lookup(q, "die") : NULL;

	if (s == NULL && p->n_cut > 0) {
		p->n_cut--;
		return FAIL_CUT;
	}
	if (s == NULL)
		return FAIL_NONE;
	if (strcmp(s, "before") == 0)
		return FAIL_BEFORE;
	return strcmp(s, "exit") == 0 ? FAIL_EXIT : FAIL_CUT;
}

void
pool_accept(struct pool *p, SoupServerMessage *m, GHashTable *q)
{
	SoupMessageHeaders *h = soup_server_message_get_request_headers(m);
	gint64 age = pt_now(&sys_clock) - p->start_us;
	const char *id, *deadline;
	struct request *r;

	if (age < p->o.boot_us ||
	    (p->n_running >= p->o.slots && p->n_queue >= p->o.queue)) {
		p->result_counts[RESULT_SHED]++;
		refuse(m, 503, TRUE, "no slot is free\n");
		return;
	}
	r = g_new0(struct request, 1);
	r->pool = p;
	r->msg = g_object_ref(m);
	id = soup_message_headers_get_one(h, "Pt-Request-Id");
	r->id = g_strdup(id != NULL ? id : "");
	r->size = query_int(q, "size", p->o.size, SIZE_MAX_BYTES);
	r->us = query_int(q, "us", -1, 60 * G_USEC_PER_SEC);
	r->failure = query_failure(p, q);
	soup_server_message_pause(m);
	g_signal_connect(m, "finished", G_CALLBACK(finished), r);
	deadline = soup_message_headers_get_one(h, "Pt-Deadline-Ms");
	if (deadline != NULL)
		r->expiry = sys_after(
		    MAX(g_ascii_strtoll(deadline, NULL, 10), 0) * 1000, expired,
		    r);
	watch_close(r);
	if (p->n_running < p->o.slots) {
		run(r);
		return;
	}
	r->queued = TRUE;
	TAILQ_INSERT_TAIL(&p->queue, r, link);
	p->n_queue++;
}

struct pool *
pool_new(const struct back_opts *o)
{
	struct pool *p;

	p = g_new0(struct pool, 1);
	p->o = *o;
	p->rand = g_rand_new_with_seed(o->seed);
	p->start_us = pt_now(&sys_clock);
	p->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->runs_fd = -1;
	if (*o->runs_file != '\0')
		p->runs_fd = open(o->runs_file,
		    O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
	TAILQ_INIT(&p->queue);
	TAILQ_INIT(&p->running);
	return p;
}

void
pool_free(struct pool *p)
{
	struct request *r, *next;

	p->o.slots = 0; /* so that no queued request is started */
	for (r = TAILQ_FIRST(&p->queue); r != NULL; r = next) {
		next = TAILQ_NEXT(r, link);
		finished(NULL, r);
	}
	for (r = TAILQ_FIRST(&p->running); r != NULL; r = next) {
		next = TAILQ_NEXT(r, link);
		finished(NULL, r);
	}
	if (p->runs_fd >= 0)
		close(p->runs_fd);
	g_hash_table_destroy(p->runs);
	g_rand_free(p->rand);
	g_free(p);
}

void
pool_cut_answers(struct pool *p, guint n)
{
	p->n_cut = n;
}

void
pool_drain(struct pool *p)
{
	if (p->drain_start_us == 0)
		p->drain_start_us = pt_now(&sys_clock);
}

gboolean
pool_drained(const struct pool *p)
{
	return p->drain_start_us != 0 && p->n_running + p->n_queue == 0 &&
	       pt_now(&sys_clock) - p->drain_start_us >= p->o.drain_us;
}

struct load
pool_load(const struct pool *p)
{
	struct load l = { p->n_running, p->n_queue, "serving" };

	if (p->drain_start_us != 0)
		l.state = "draining";
	else if (pt_now(&sys_clock) - p->start_us < p->o.boot_us)
		l.state = "warming";
	return l;
}

const guint64 *
pool_result_counts(const struct pool *p)
{
	return p->result_counts;
}

GHashTable *
pool_runs(const struct pool *p)
{
	return p->runs;
}
