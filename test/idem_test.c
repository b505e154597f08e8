#include <glib.h>
#include <check.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "call.h"
#include "run.h"

#define MS G_TIME_SPAN_MILLISECOND
#define TTL (IDEM_TTL_MS * MS)
#define OWNER "n1.skates"

static gint64 now_us;

static gint64
virtual_now(void *ctx)
{
	return now_us;
}

static const struct pt_clock test_clock = { virtual_now, NULL };

static struct idem *
owner_new(gint64 incarnation, guint max_keys, gsize max_bytes)
{
	struct idem_opts o = { .clock = test_clock,
		.instance = OWNER,
		.incarnation = incarnation,
		.secret = "0123456789abcdef",
		.secret_len = 16,
		.max_keys = max_keys,
		.max_bytes = max_bytes };

	return idem_new(&o);
}

static struct dedup *
new_dedup(gint64 incarnation, guint records, guint owners)
{
	struct dedup_opts o = { incarnation, records, owners };

	return dedup_new(&o);
}

/* ---- the key table ---- */

static enum idem_verdict
begin(struct idem *d, const char *key, struct idem_begin *b)
{
	idem_begin(d, key, 0, NULL, b);
	return b->verdict;
}

/* Guards against dispatching forged and damaged keys, and those of others. */
START_TEST(key_is_authenticated)
{
	struct idem *d = owner_new(5, 0, 0), *other;
	struct idem_begin b;
	struct idem_key k;
	char *key = idem_issue(d), *bad;
	guint i;

	ck_assert(idem_parse(key, &k));
	ck_assert_str_eq(k.owner, OWNER);
	ck_assert_int_eq(k.incarnation, 5);
	ck_assert_int_eq(k.seq, 1);
	for (i = 0; key[i] != '\0'; i++) {
		bad = g_strdup(key);
		bad[i] = bad[i] == '1' ? '2' : '1';
		ck_assert_int_ne(begin(d, bad, &b), IDEM_DISPATCH);
		g_free(bad);
	}
	ck_assert_int_eq(begin(d, "", &b), IDEM_BAD);
	ck_assert_int_eq(begin(d, "pt1.5.1..n1", &b), IDEM_BAD);
	ck_assert_int_eq(begin(d, NULL, &b), IDEM_BAD);
	bad = g_strnfill(300, '1');
	ck_assert_int_eq(begin(d, bad, &b), IDEM_BAD);
	g_free(bad);
	ck_assert_uint_eq(idem_used(d), 0);
	/* A later incarnation does not dispatch the key. */
	other = owner_new(6, 0, 0);
	ck_assert_int_eq(begin(other, key, &b), IDEM_UNKNOWN);
	idem_free(other);
	ck_assert_int_eq(begin(d, key, &b), IDEM_DISPATCH);
	bad = g_strdup_printf(
	    "%.*scopper", (int)(strlen(key) - strlen(OWNER)), key);
	ck_assert_int_eq(begin(d, bad, &b), IDEM_RELAY);
	g_free(bad);
	g_free(key);
	idem_free(d);
}
END_TEST

struct repeat {
	struct idem_waiter w; /* must be first: on_done() casts it */
	guint calls; /* of on_done() */
	enum idem_result r;
	gsize len; /* of the answer */
};

static void
on_done(struct idem_waiter *w, enum idem_result r, GBytes *answer)
{
	struct repeat *p = (struct repeat *)(void *)w;

	p->calls++;
	p->r = r;
	p->len = answer != NULL ? g_bytes_get_size(answer) : 0;
}

/* Guards against a repeat that is dispatched during or after the first run. */
START_TEST(repeats_wait_and_replay)
{
	struct idem *d = owner_new(5, 0, 0);
	struct idem_begin b;
	struct repeat p[3] = { 0 };
	char *key = idem_issue(d);
	GBytes *answer = g_bytes_new_static("booked", 6);
	guint i;

	ck_assert_int_eq(begin(d, key, &b), IDEM_DISPATCH);
	ck_assert_uint_eq(b.attempt, 1);
	for (i = 0; i < 3; i++) {
		p[i].w.done = on_done;
		idem_begin(d, key, 0, &p[i].w, &b);
		ck_assert_int_eq(b.verdict, IDEM_WAIT);
	}
	idem_cancel_wait(&p[2].w);
	idem_cancel_wait(&p[2].w);
	ck_assert(!idem_end_attempt(d, 1, 2, IDEM_R_RAN, answer));
	ck_assert(idem_end_attempt(d, 1, 1, IDEM_R_RAN, answer));
	ck_assert_uint_eq(p[0].calls, 1);
	ck_assert_int_eq(p[1].r, IDEM_R_RAN);
	ck_assert_uint_eq(p[1].len, 6);
	ck_assert_uint_eq(p[2].calls, 0);
	ck_assert_int_eq(begin(d, key, &b), IDEM_REPLAY);
	ck_assert(g_bytes_equal(b.answer, answer));
	/* A late second result does not replace the first. */
	ck_assert(!idem_end_attempt(d, 1, 1, IDEM_R_NOT_RUN, NULL));
	ck_assert_int_eq(begin(d, key, &b), IDEM_REPLAY);
	g_bytes_unref(answer);
	g_free(key);
	idem_free(d);
}
END_TEST

/* Guards against dispatching another attempt after an unknown outcome. */
START_TEST(only_not_run_dispatches_again)
{
	struct idem *d = owner_new(5, 0, 0);
	struct idem_begin b;
	char *key = idem_issue(d), *key2 = idem_issue(d);

	begin(d, key, &b);
	ck_assert_uint_eq(idem_retry(d, 1, 1), 2);
	ck_assert_uint_eq(idem_retry(d, 1, 1), 0);
	ck_assert(!idem_end_attempt(d, 1, 1, IDEM_R_NOT_RUN, NULL));
	ck_assert(idem_end_attempt(d, 1, 2, IDEM_R_NOT_RUN, NULL));
	ck_assert_uint_eq(idem_retry(d, 1, 2), 0);
	ck_assert_int_eq(begin(d, key, &b), IDEM_DISPATCH);
	ck_assert_uint_eq(b.attempt, 3);
	ck_assert(idem_end_attempt(d, 1, 3, IDEM_R_UNKNOWN, NULL));
	ck_assert_int_eq(begin(d, key, &b), IDEM_UNKNOWN);
	ck_assert_uint_eq(idem_retry(d, 1, 3), 0);
	/* A late response replaces the unknown outcome. */
	ck_assert(idem_end_attempt(d, 1, 3, IDEM_R_RAN, NULL));
	ck_assert_int_eq(begin(d, key, &b), IDEM_REPLAY);
	ck_assert_ptr_null(b.answer);
	begin(d, key2, &b);
	ck_assert(idem_end_attempt(d, 2, 1, IDEM_R_UNKNOWN, NULL));
	ck_assert(idem_end_attempt(d, 2, 1, IDEM_R_NOT_RUN, NULL));
	ck_assert_int_eq(begin(d, key2, &b), IDEM_DISPATCH);
	g_free(key);
	g_free(key2);
	idem_free(d);
}
END_TEST

/* Guards against replaying the response of one request to another. */
START_TEST(key_is_for_one_request)
{
	struct idem *d = owner_new(5, 0, 0);
	struct idem_begin b;
	char *key = idem_issue(d);

	idem_begin(d, key, 77, NULL, &b);
	ck_assert_int_eq(b.verdict, IDEM_DISPATCH);
	idem_end_attempt(d, 1, 1, IDEM_R_RAN, NULL);
	idem_begin(d, key, 78, NULL, &b);
	ck_assert_int_eq(b.verdict, IDEM_MISMATCH);
	idem_begin(d, key, 77, NULL, &b);
	ck_assert_int_eq(b.verdict, IDEM_REPLAY);
	g_free(key);
	idem_free(d);
}
END_TEST

/* Guards against a key that runs again after its record has expired. */
START_TEST(keys_expire)
{
	struct idem *d;
	struct idem_begin b;
	struct repeat p = { .w = { .done = on_done } };
	char *used, *unused, *late;

	now_us = MS;
	d = owner_new(5, 0, 0);
	used = idem_issue(d);
	unused = idem_issue(d);
	now_us += 2000 * MS;
	late = idem_issue(d);
	begin(d, used, &b);
	idem_begin(d, used, 0, &p.w, &b);
	now_us += TTL - 2000 * MS - 1;
	ck_assert_int_eq(begin(d, used, &b), IDEM_WAIT);
	now_us += 1;
	ck_assert_int_eq(begin(d, unused, &b), IDEM_EXPIRED);
	ck_assert_int_eq(begin(d, used, &b), IDEM_EXPIRED);
	ck_assert_uint_eq(p.calls, 1);
	ck_assert_int_eq(p.r, IDEM_R_UNKNOWN);
	ck_assert(!idem_end_attempt(d, 1, 1, IDEM_R_NOT_RUN, NULL));
	ck_assert_int_eq(begin(d, used, &b), IDEM_EXPIRED);
	ck_assert_int_eq(begin(d, late, &b), IDEM_DISPATCH);
	ck_assert_uint_eq(idem_used(d), 1);
	now_us += TTL;
	ck_assert_int_eq(idem_tick(d), G_MAXINT64);
	ck_assert_uint_eq(idem_used(d), 0);
	g_free(used);
	g_free(unused);
	g_free(late);
	idem_free(d);
}
END_TEST

/* Guards against unbounded growth, and a second run of an evicted key. */
START_TEST(table_is_bounded)
{
	enum {
		KEYS = 64,
		EXTRA = 20
	};
	struct idem *d = owner_new(5, KEYS, 100);
	struct idem_begin b;
	GBytes *answer = g_bytes_new_static("0123456789", 10);
	GBytes *large = g_bytes_new_take(
	    g_malloc0(IDEM_ANSWER_MAX + 1), IDEM_ANSWER_MAX + 1);
	char *key[KEYS + EXTRA];
	guint i;

	for (i = 0; i < KEYS + EXTRA; i++)
		key[i] = idem_issue(d);
	for (i = 0; i < KEYS + EXTRA; i++) {
		ck_assert_int_eq(begin(d, key[i], &b), IDEM_DISPATCH);
		idem_end_attempt(
		    d, i + 1, 1, IDEM_R_RAN, i % 7 ? answer : large);
		ck_assert_uint_le(idem_used(d), KEYS);
	}
	for (i = 0; i < EXTRA; i++)
		ck_assert_int_eq(begin(d, key[i], &b), IDEM_EXPIRED);
	for (i = EXTRA; i < KEYS + EXTRA; i++) {
		ck_assert_int_eq(begin(d, key[i], &b), IDEM_REPLAY);
		ck_assert(
		    b.answer == NULL || (i >= KEYS + EXTRA - 12 && i % 7 != 0));
	}
	for (i = 0; i < KEYS + EXTRA; i++)
		g_free(key[i]);
	g_bytes_unref(answer);
	g_bytes_unref(large);
	idem_free(d);
}
END_TEST

/* ---- suppression of duplicate attempts ---- */

static struct pt_key
attempt_key(char *owner, gint64 incarnation, gint64 seq, guint attempt)
{
	struct pt_key k = { owner, incarnation, seq, attempt, 0, 1 };

	return k;
}

/* Guards against running a late or second copy of an attempt. */
START_TEST(copies_never_run)
{
	struct dedup *d = new_dedup(1, 0, 0);
	struct pt_key a = attempt_key("o", 5, 1, 1), b = a, c = a;

	ck_assert_int_eq(dedup_admit(d, &a), DEDUP_NEW);
	ck_assert_int_eq(dedup_admit(d, &a), DEDUP_UNKNOWN);
	ck_assert(dedup_refuse(d, &a));
	ck_assert_int_eq(dedup_admit(d, &a), DEDUP_NOT_RUN);
	ck_assert(!dedup_start(d, &a));
	b.attempt = 2;
	ck_assert_int_eq(dedup_admit(d, &b), DEDUP_NEW);
	ck_assert_int_eq(dedup_admit(d, &a), DEDUP_UNKNOWN);
	ck_assert(!dedup_start(d, &a));
	ck_assert(dedup_start(d, &b));
	ck_assert(!dedup_start(d, &b));
	ck_assert(!dedup_refuse(d, &b));
	ck_assert_int_eq(dedup_admit(d, &b), DEDUP_UNKNOWN);
	c.attempt = 3; /* a correct owner does not send this after a start */
	ck_assert_int_eq(dedup_admit(d, &c), DEDUP_UNKNOWN);
	/* Sent to an earlier incarnation of this node. */
	c = attempt_key("o", 5, 2, 1);
	c.target = 0;
	ck_assert_int_eq(dedup_admit(d, &c), DEDUP_UNKNOWN);
	dedup_free(d);
}
END_TEST

/*
 * Guards against refusing the next attempt at an upstream whose backend server
 * refused the connection, and against running copies of the first one.
 */
START_TEST(next_attempt_runs_after_backend_refusal)
{
	struct dedup *d = new_dedup(1, 0, 0);
	struct pt_key a = attempt_key("o", 5, 1, 1), b = a;

	ck_assert_int_eq(dedup_admit(d, &a), DEDUP_NEW);
	dedup_not_run(d, &a); /* not started: no effect */
	ck_assert(dedup_start(d, &a));
	dedup_not_run(d, &a);
	ck_assert_int_eq(dedup_admit(d, &a), DEDUP_NOT_RUN);
	ck_assert(!dedup_start(d, &a));
	b.attempt = 2;
	ck_assert_int_eq(dedup_admit(d, &b), DEDUP_NEW);
	ck_assert(dedup_start(d, &b));
	dedup_not_run(d, &a); /* no effect: a later attempt was started */
	ck_assert_int_eq(dedup_admit(d, &b), DEDUP_UNKNOWN);
	dedup_free(d);
}
END_TEST

/* Guards against running attempts of an earlier incarnation of an owner. */
START_TEST(old_owner_incarnations_never_run)
{
	struct dedup *d = new_dedup(1, 0, 0);
	struct pt_key a = attempt_key("o", 5, 1, 1), b;

	ck_assert_int_eq(dedup_admit(d, &a), DEDUP_NEW);
	b = attempt_key("o", 6, 1, 1);
	ck_assert_int_eq(dedup_admit(d, &b), DEDUP_NEW);
	ck_assert(!dedup_start(d, &a));
	ck_assert(!dedup_refuse(d, &a));
	a.seq = 9;
	ck_assert_int_eq(dedup_admit(d, &a), DEDUP_UNKNOWN);
	ck_assert(dedup_start(d, &b));
	/* Attempts below the floor are not run, their records are freed. */
	b = attempt_key("o", 6, 8, 1);
	b.floor = 8;
	ck_assert_int_eq(dedup_admit(d, &b), DEDUP_NEW);
	ck_assert_uint_eq(dedup_records(d), 1);
	b.seq = 7;
	ck_assert_int_eq(dedup_admit(d, &b), DEDUP_UNKNOWN);
	b.floor = 0;
	ck_assert_int_eq(dedup_admit(d, &b), DEDUP_UNKNOWN);
	dedup_free(d);
}
END_TEST

/* Guards against running a copy of an attempt whose record was evicted. */
START_TEST(evicted_records_never_run)
{
	enum {
		RECORDS = 4,
		SENT = 12
	};
	struct dedup *d = new_dedup(1, RECORDS, 0);
	struct pt_key k, first;
	guint i;

	first = attempt_key("o", 5, 1, 1);
	ck_assert_int_eq(dedup_admit(d, &first), DEDUP_NEW);
	for (i = 2; i <= SENT; i++) {
		k = attempt_key("o", 5, i, 1);
		ck_assert_int_eq(dedup_admit(d, &k), DEDUP_NEW);
		ck_assert(dedup_refuse(d, &k));
		ck_assert_uint_le(dedup_records(d), RECORDS);
	}
	ck_assert(!dedup_start(d, &first));
	ck_assert(!dedup_refuse(d, &first));
	for (i = 1; i <= SENT; i++) {
		k = attempt_key("o", 5, i, 1);
		ck_assert_int_eq(dedup_admit(d, &k),
		    i > SENT - RECORDS ? DEDUP_NOT_RUN : DEDUP_UNKNOWN);
		k.attempt = 2;
		if (i <= SENT - RECORDS)
			ck_assert_int_eq(dedup_admit(d, &k), DEDUP_UNKNOWN);
	}
	dedup_free(d);
}
END_TEST

/* Guards against running a copy of an attempt whose owner was evicted. */
START_TEST(evicted_owners_never_run)
{
	struct dedup *d = new_dedup(1, 0, 2);
	struct pt_key a = attempt_key("a", 5, 1, 1),
		      b = attempt_key("b", 6, 1, 1),
		      c = attempt_key("c", 7, 1, 1);

	ck_assert_int_eq(dedup_admit(d, &a), DEDUP_NEW);
	ck_assert_int_eq(dedup_admit(d, &b), DEDUP_NEW);
	ck_assert_int_eq(dedup_admit(d, &c), DEDUP_NEW); /* evicts a */
	ck_assert(!dedup_start(d, &a));
	ck_assert_int_eq(dedup_admit(d, &a), DEDUP_UNKNOWN);
	a.seq = 2;
	ck_assert_int_eq(dedup_admit(d, &a), DEDUP_UNKNOWN);
	ck_assert(dedup_start(d, &b) || dedup_start(d, &c));
	dedup_free(d);
}
END_TEST

/* ---- model checking: all interleavings of a small system ---- */

/*
 * One key, issued by node 0.  Nodes 0 and 1 are both upstreams; the caller
 * sends the request through two entry nodes.  Every message may be delivered at
 * any time, twice, or never, which also covers nodes that pause; nodes restart
 * without state; the owner may send to either upstream, also with an outdated
 * incarnation of it.
 */
enum {
	REQUESTS = 2, /* one through each entry node */
	ATTEMPTS = 2,
	COPIES = 1, /* duplicated messages in a run */
	RESTARTS = 2,
	EXPIRIES = 1,
	MESSAGES = 16,
	JOBS = 8,
	STEPS = 40,
	STATES_MAX = 400000 /* reaching this fails the test */
};

/* Deliberate faults in the protocol, which the exploration must find. */
enum fault {
	NO_FAULT,
	OWNER_INCARNATION_IGNORED,
	RETRY_AFTER_UNKNOWN,
	REFUSALS_FORGOTTEN,
	TARGET_INCARNATION_IGNORED,
	FAULTS
};

struct message {
	char type; /* K: keyed request, F: forward, R: reply */
	guint8 request; /* K */
	guint8 attempt, owner_inc; /* F, R */
	guint8 node, target; /* F */
	char result; /* R: 'n' not run, 'r' ran, 'u' unknown */
};

/* An attempt admitted at an upstream. */
struct job {
	guint8 node, attempt, owner_inc;
};

/* An event in the model; see apply(). */
struct step {
	char type;
	guint8 i, j;
};

/* Steps from the initial state. */
struct path {
	guint n;
	struct step s[STEPS];
};

struct model;
struct keyed {
	struct idem_waiter w; /* must be first: keyed_done() casts it */
	struct model *model;
	guint8 request;
};

struct model {
	enum fault injected;
	struct idem *owner;
	struct dedup *dedup[2];
	guint8 inc[2];
	char *key;
	struct message messages[MESSAGES]; /* in flight */
	guint n_messages;
	struct job jobs[JOBS]; /* admitted, not started */
	guint n_jobs;
	gboolean sent[REQUESTS];
	struct keyed keyed[REQUESTS];
	int dispatcher; /* request answered by the running attempt, -1: none */
	guint copies, restarts, expiries;
	guint runs; /* of the request, at any upstream */
	/*
	 * Highest attempt, by incarnation of the owner, up to which callers
	 * were answered "not run": no such attempt may run any more.
	 */
	guint8 not_run_upto[RESTARTS + 1];
	guint8 dispatched; /* highest attempt of this owner incarnation */
	const char *violation; /* broken guarantee, NULL: none */
};

static gint64
owner_incarnation(const struct model *model, guint inc)
{
	return model->injected == OWNER_INCARNATION_IGNORED ? 100 : 100 + inc;
}

static gint64
node_incarnation(const struct model *model, guint inc)
{
	return model->injected == TARGET_INCARNATION_IGNORED ? 1 : 1 + inc;
}

static void
caller_result(struct model *model, enum idem_result r)
{
	if (r == IDEM_R_RAN && model->runs != 1)
		model->violation =
		    "answered \"ran\" for a request that did not run";
	if (r != IDEM_R_NOT_RUN)
		return;
	if (model->runs != 0)
		model->violation =
		    "answered \"not run\" for a request that ran";
	model->not_run_upto[model->inc[0]] = model->dispatched;
}

static void
keyed_done(struct idem_waiter *p, enum idem_result r, GBytes *answer)
{
	caller_result(((struct keyed *)(void *)p)->model, r);
}

static void
post(struct model *model, struct message m)
{
	g_assert(model->n_messages < MESSAGES);
	model->messages[model->n_messages++] = m;
}

/*
 * Sends an attempt: bit 0 of "choice" is the upstream, bit 1 an outdated
 * incarnation of it.
 */
static void
dispatch(struct model *model, guint attempt, guint choice)
{
	guint node = choice & 1;
	guint target = model->inc[node];

	if ((choice & 2) != 0 && target > 0)
		target--;
	model->dispatched = attempt;
	post(model, (struct message){ .type = 'F',
			.attempt = attempt,
			.owner_inc = model->inc[0],
			.node = node,
			.target = target });
}

static void
end_attempt(struct model *model, guint attempt, enum idem_result r)
{
	gboolean running = model->dispatcher >= 0;

	if (!idem_end_attempt(model->owner, 1, attempt, r, NULL))
		return;
	/* No caller waits for the late result of an unknown attempt. */
	if (running)
		caller_result(model, r);
	model->dispatcher = -1;
}

static void
on_keyed(struct model *model, const struct message *m, guint choice)
{
	struct keyed *k = &model->keyed[m->request];
	struct idem_begin b;

	/* Second copy of a request that is already waiting. */
	if (k->w.list != NULL)
		return;
	idem_begin(model->owner, model->key, 0, &k->w, &b);
	if (b.verdict == IDEM_DISPATCH) {
		model->dispatcher = m->request;
		dispatch(model, b.attempt, choice);
	} else if (b.verdict == IDEM_REPLAY) {
		caller_result(model, IDEM_R_RAN);
	} else if (b.verdict == IDEM_BAD || b.verdict == IDEM_RELAY) {
		model->violation = "the owner rejected its own key";
	}
}

static struct pt_key
key_of(const struct model *model, guint owner_inc, guint attempt, guint target)
{
	struct pt_key k = { OWNER, owner_incarnation(model, owner_inc), 1,
		attempt, 1, node_incarnation(model, target) };

	return k;
}

static void
reply(struct model *model, guint attempt, guint owner_inc, char result)
{
	/* The connection of a reply ends with the owner's process. */
	if (owner_inc == model->inc[0])
		post(model, (struct message){ .type = 'R',
				.attempt = attempt,
				.owner_inc = owner_inc,
				.result = result });
}

static void
on_forward(struct model *model, const struct message *m)
{
	struct pt_key k = key_of(model, m->owner_inc, m->attempt, m->target);

	switch (dedup_admit(model->dedup[m->node], &k)) {
	case DEDUP_NEW:
		g_assert(model->n_jobs < JOBS);
		model->jobs[model->n_jobs++] =
		    (struct job){ m->node, m->attempt, m->owner_inc };
		break;
	case DEDUP_NOT_RUN:
		reply(model, m->attempt, m->owner_inc, 'n');
		break;
	case DEDUP_UNKNOWN:
		reply(model, m->attempt, m->owner_inc, 'u');
		break;
	}
}

/* Handles a reply at the owner; "choice" as in dispatch(), 4: no retry. */
static void
on_reply(struct model *model, const struct message *m, guint choice)
{
	char result = m->result;
	guint next;

	if (model->injected == RETRY_AFTER_UNKNOWN && result == 'u')
		result = 'n';
	if (result == 'r') {
		end_attempt(model, m->attempt, IDEM_R_RAN);
	} else if (result == 'u') {
		end_attempt(model, m->attempt, IDEM_R_UNKNOWN);
	} else if (choice == 4 || m->attempt >= ATTEMPTS) {
		end_attempt(model, m->attempt, IDEM_R_NOT_RUN);
	} else {
		next = idem_retry(model->owner, 1, m->attempt);
		if (next != 0)
			dispatch(model, next, choice);
	}
}

static void
job_remove(struct model *model, guint i, struct job *j)
{
	*j = model->jobs[i];
	model->jobs[i] = model->jobs[--model->n_jobs];
}

static void
job_start(struct model *model, guint i)
{
	struct pt_key k;
	struct job j;

	job_remove(model, i, &j);
	k = key_of(model, j.owner_inc, j.attempt, model->inc[j.node]);
	if (!dedup_start(model->dedup[j.node], &k)) {
		reply(model, j.attempt, j.owner_inc, 'u');
		return;
	}
	if (++model->runs > 1)
		model->violation = "the request ran twice";
	if (j.attempt <= model->not_run_upto[j.owner_inc])
		model->violation =
		    "an attempt ran after it was answered \"not run\"";
	reply(model, j.attempt, j.owner_inc, 'r');
}

static void
job_drop(struct model *model, guint i)
{
	struct pt_key k;
	struct job j;

	job_remove(model, i, &j);
	k = key_of(model, j.owner_inc, j.attempt, model->inc[j.node]);
	if (model->injected == REFUSALS_FORGOTTEN) {
		dedup_free(model->dedup[j.node]);
		model->dedup[j.node] = new_dedup(
		    node_incarnation(model, model->inc[j.node]), 0, 0);
		reply(model, j.attempt, j.owner_inc, 'n');
		return;
	}
	reply(model, j.attempt, j.owner_inc,
	    dedup_refuse(model->dedup[j.node], &k) ? 'n' : 'u');
}

static void
owner_start(struct model *model)
{
	guint i;

	for (i = 0; i < REQUESTS; i++) {
		idem_cancel_wait(&model->keyed[i].w);
		memset(&model->keyed[i], 0, sizeof(model->keyed[i]));
		model->keyed[i].w.done = keyed_done;
		model->keyed[i].model = model;
		model->keyed[i].request = i;
	}
	idem_free(model->owner);
	model->owner = owner_new(owner_incarnation(model, model->inc[0]), 0, 0);
	model->dispatcher = -1;
	model->dispatched = 0;
}

/*
 * Kills a node and restarts it without state.  Its queued jobs and, if it is
 * the owner, the replies to it are lost, and callers that wait there get no
 * result.
 */
static void
restart(struct model *model, guint node)
{
	guint i;

	model->restarts++;
	model->inc[node]++;
	dedup_free(model->dedup[node]);
	model->dedup[node] =
	    new_dedup(node_incarnation(model, model->inc[node]), 0, 0);
	for (i = 0; i < model->n_jobs;)
		if (model->jobs[i].node == node)
			model->jobs[i] = model->jobs[--model->n_jobs];
		else
			i++;
	if (node != 0)
		return;
	owner_start(model);
	if (model->injected == OWNER_INCARNATION_IGNORED)
		g_free(idem_issue(model->owner));
	for (i = 0; i < model->n_messages;)
		if (model->messages[i].type == 'R')
			model->messages[i] =
			    model->messages[--model->n_messages];
		else
			i++;
}

static void
model_init(struct model *model, enum fault injected)
{
	memset(model, 0, sizeof(*model));
	model->injected = injected;
	now_us = MS;
	model->dedup[0] = new_dedup(node_incarnation(model, 0), 0, 0);
	model->dedup[1] = new_dedup(node_incarnation(model, 0), 0, 0);
	owner_start(model);
	model->key = idem_issue(model->owner);
}

static void
model_free(struct model *model)
{
	const char *violation = model->violation;

	idem_free(model->owner);
	dedup_free(model->dedup[0]);
	dedup_free(model->dedup[1]);
	g_free(model->key);
	model->violation = violation;
}

static void
deliver(struct model *model, guint i, guint choice)
{
	struct message m = model->messages[i];

	model->messages[i] = model->messages[--model->n_messages];
	if (m.type == 'K')
		on_keyed(model, &m, choice);
	else if (m.type == 'F')
		on_forward(model, &m);
	else
		on_reply(model, &m, choice);
}

static void
attempt_timeout(struct model *model)
{
	struct message m = { .type = 'R',
		.attempt = model->dispatched,
		.owner_inc = model->inc[0],
		.result = 'u' };

	/* With RETRY_AFTER_UNKNOWN it is retried at upstream 1. */
	on_reply(model, &m, 1);
}

static void
apply(struct model *model, const struct step *s)
{
	switch (s->type) {
	case 'c': /* the caller sends through entry node i */
		model->sent[s->i] = TRUE;
		post(model, (struct message){ .type = 'K', .request = s->i });
		break;
	case 'd': /* message i is delivered; choice j */
		deliver(model, s->i, s->j);
		break;
	case 'x': /* message i is duplicated */
		model->copies++;
		post(model, model->messages[s->i]);
		break;
	case 's': /* job i is started */
		job_start(model, s->i);
		break;
	case 'r': /* job i is refused */
		job_drop(model, s->i);
		break;
	case 't': /* the running attempt times out */
		attempt_timeout(model);
		break;
	case 'k': /* node i restarts */
		restart(model, s->i);
		break;
	case 'e': /* the key expires */
		model->expiries++;
		now_us += TTL;
		idem_tick(model->owner);
		break;
	}
}

static void
add(GArray *a, char type, guint i, guint j)
{
	struct step s = { type, i, j };

	g_array_append_val(a, s);
}

/* Adds a step per upstream, and per outdated incarnation if there is one. */
static void
add_dispatch(const struct model *model, GArray *a, guint i)
{
	guint c;

	for (c = 0; c < 4; c++)
		if ((c & 2) == 0 || model->inc[c & 1] > 0)
			add(a, 'd', i, c);
}

static void
steps_of_message(struct model *model, GArray *a, guint i)
{
	const struct message *m = &model->messages[i];
	guint attempt;

	if (m->type == 'K' &&
	    idem_inspect(model->owner, 1, &attempt) == IDEM_S_ISSUED &&
	    (model->inc[0] == 0 ||
		model->injected == OWNER_INCARNATION_IGNORED)) {
		if (attempt < ATTEMPTS)
			add_dispatch(model, a, i);
	} else if (m->type == 'R' && m->result != 'r' &&
		   m->attempt < ATTEMPTS) {
		add_dispatch(model, a, i);
		add(a, 'd', i, 4);
	} else {
		add(a, 'd', i, 4);
	}
	if (model->copies < COPIES && model->n_messages + 2 < MESSAGES)
		add(a, 'x', i, 0);
}

/* Lists all possible steps in this state. */
static void
steps(struct model *model, GArray *a)
{
	guint i, attempt;

	g_array_set_size(a, 0);
	for (i = 0; i < REQUESTS; i++)
		if (!model->sent[i])
			add(a, 'c', i, 0);
	for (i = 0; i < model->n_messages; i++)
		steps_of_message(model, a, i);
	for (i = 0; i < model->n_jobs; i++) {
		add(a, 's', i, 0);
		add(a, 'r', i, 0);
	}
	if (idem_inspect(model->owner, 1, &attempt) == IDEM_S_RUNNING)
		add(a, 't', 0, 0);
	for (i = 0; i < 2 && model->restarts < RESTARTS; i++)
		add(a, 'k', i, 0);
	if (model->expiries < EXPIRIES)
		add(a, 'e', 0, 0);
}

static gint
by_bytes(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct message));
}

static gint
by_job(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct job));
}

/* Sorts messages and jobs, so that equal states have equal indexes in steps. */
static void
sort(struct model *model)
{
	qsort(model->messages, model->n_messages, sizeof(model->messages[0]),
	    by_bytes);
	qsort(model->jobs, model->n_jobs, sizeof(model->jobs[0]), by_job);
}

/*
 * Returns a text that is equal for equal states.  The state of the nodes is
 * read from the tables under test.
 */
static char *
fingerprint(struct model *model)
{
	GString *s = g_string_new(NULL);
	struct dedup_view v;
	guint i, attempt;

	sort(model);
	i = idem_inspect(model->owner, 1, &attempt);
	g_string_printf(s, "%u.%u/%d/%u%u/%u%u%u/%u/%u,%u,%u/%u|", i, attempt,
	    model->dispatcher, model->inc[0], model->inc[1], model->copies,
	    model->restarts, model->expiries, model->runs,
	    model->not_run_upto[0], model->not_run_upto[1],
	    model->not_run_upto[2], model->dispatched);
	for (i = 0; i < REQUESTS; i++)
		g_string_append_printf(
		    s, "%d%d", model->sent[i], model->keyed[i].w.list != NULL);
	for (i = 0; i < 2; i++) {
		dedup_inspect(model->dedup[i], OWNER, 1, &v);
		g_string_append_printf(s, "|%d.%d.%u.%d%d", (int)v.incarnation,
		    (int)v.seq_floor, v.attempt, v.started, v.refused);
	}
	for (i = 0; i < model->n_messages; i++)
		g_string_append_printf(s, "|%c%u%u%u%u%u%c",
		    model->messages[i].type, model->messages[i].request,
		    model->messages[i].attempt, model->messages[i].owner_inc,
		    model->messages[i].node, model->messages[i].target,
		    model->messages[i].result ? model->messages[i].result
					      : '-');
	for (i = 0; i < model->n_jobs; i++)
		g_string_append_printf(s, "|q%u%u%u", model->jobs[i].node,
		    model->jobs[i].attempt, model->jobs[i].owner_inc);
	return g_string_free(s, FALSE);
}

struct search {
	enum fault injected;
	GHashTable *seen; /* fingerprints */
	GArray *todo; /* struct path, shortest first */
	guint next; /* first path of todo that is not explored */
	guint longest; /* path, in steps */
	struct path violation_path;
	const char *violation; /* first one found, NULL: none */
};

static void
replay(struct model *model, enum fault injected, const struct path *p)
{
	guint i;

	model_init(model, injected);
	for (i = 0; i < p->n; i++) {
		apply(model, &p->s[i]);
		sort(model);
	}
}

static void
visit(struct search *x, const struct path *p)
{
	struct model model;
	char *f;

	replay(&model, x->injected, p);
	if (model.violation != NULL) {
		x->violation = model.violation;
		x->violation_path = *p;
	}
	f = fingerprint(&model);
	model_free(&model);
	if (!g_hash_table_add(x->seen, f))
		return;
	x->longest = MAX(x->longest, p->n);
	g_array_append_val(x->todo, *p);
}

/* Explores until there are no new states or a violation is found. */
static void
explore(struct search *x, enum fault injected)
{
	GArray *next = g_array_new(FALSE, FALSE, sizeof(struct step));
	struct path p = { 0 };
	struct model model;
	guint i;

	memset(x, 0, sizeof(*x));
	x->injected = injected;
	x->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	x->todo = g_array_new(FALSE, FALSE, sizeof(struct path));
	visit(x, &p);
	while (x->next < x->todo->len && x->violation == NULL) {
		p = g_array_index(x->todo, struct path, x->next);
		x->next++;
		replay(&model, injected, &p);
		steps(&model, next);
		model_free(&model);
		ck_assert_uint_lt(p.n, STEPS);
		ck_assert_uint_lt(g_hash_table_size(x->seen), STATES_MAX);
		for (i = 0; i < next->len && x->violation == NULL; i++) {
			p.s[p.n] = g_array_index(next, struct step, i);
			p.n++;
			visit(x, &p);
			p.n--;
		}
	}
	g_array_unref(next);
}

static void
search_free(struct search *x)
{
	g_hash_table_unref(x->seen);
	g_array_unref(x->todo);
}

/*
 * Guards against a second run of a request, and against "not run" for one that
 * ran or still can run, in all interleavings of events.
 */
START_TEST(no_interleaving_runs_twice)
{
	struct search x;
	guint i;

	explore(&x, NO_FAULT);
	printf("exploration: %u states, longest path %u steps, complete\n",
	    g_hash_table_size(x.seen), x.longest);
	for (i = 0; x.violation != NULL && i < x.violation_path.n; i++)
		printf("  %c %u %u\n", x.violation_path.s[i].type,
		    x.violation_path.s[i].i, x.violation_path.s[i].j);
	ck_assert_msg(x.violation == NULL, "%s", x.violation);
	ck_assert_uint_gt(g_hash_table_size(x.seen), 5000);
	search_free(&x);
}
END_TEST

/* Guards against an exploration that cannot find faults. */
START_TEST(exploration_finds_injected_faults)
{
	struct search x;

	explore(&x, (enum fault)_i);
	ck_assert_msg(
	    x.violation != NULL, "deliberate fault %d was not found", _i);
	printf("deliberate fault %d: %s, after %u steps\n", _i, x.violation,
	    x.violation_path.n);
	search_free(&x);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("idem");
	TCase *t = tcase_create("keys");

	tcase_add_test(t, key_is_authenticated);
	tcase_add_test(t, repeats_wait_and_replay);
	tcase_add_test(t, only_not_run_dispatches_again);
	tcase_add_test(t, key_is_for_one_request);
	tcase_add_test(t, keys_expire);
	tcase_add_test(t, table_is_bounded);
	suite_add_tcase(s, t);
	t = tcase_create("dedup");
	tcase_add_test(t, copies_never_run);
	tcase_add_test(t, next_attempt_runs_after_backend_refusal);
	tcase_add_test(t, old_owner_incarnations_never_run);
	tcase_add_test(t, evicted_records_never_run);
	tcase_add_test(t, evicted_owners_never_run);
	suite_add_tcase(s, t);
	t = tcase_create("exploration");
	tcase_set_timeout(t, 0);
	tcase_add_test(t, no_interleaving_runs_twice);
	tcase_add_loop_test(t, exploration_finds_injected_faults,
	    OWNER_INCARNATION_IGNORED, FAULTS);
	suite_add_tcase(s, t);
	return suite_run(s);
}
