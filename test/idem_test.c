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

static struct guard *
upstream_new(gint64 incarnation, guint records, guint owners)
{
	struct guard_opts o = { incarnation, records, owners };

	return guard_new(&o);
}

/* ---- the key table ---- */

static enum idem_verdict
begin(struct idem *d, const char *key, struct idem_begin *b)
{
	idem_begin(d, key, 0, NULL, b);
	return b->verdict;
}

/* Guards against forged, damaged and foreign keys that are dispatched. */
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
	/* A later incarnation knows nothing of the key. */
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
	struct idem_waiter w; /* first: done() gets the waiter */
	guint calls;
	enum idem_result r;
	gsize len;
};

static void
on_done(struct idem_waiter *w, enum idem_result r, GBytes *answer)
{
	struct repeat *p = (struct repeat *)(void *)w;

	p->calls++;
	p->r = r;
	p->len = answer != NULL ? g_bytes_get_size(answer) : 0;
}

/* Guards against a repeat that runs while or after the first one runs. */
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
	idem_unwait(&p[2].w);
	idem_unwait(&p[2].w);
	ck_assert(!idem_settle(d, 1, 2, IDEM_R_RAN, answer));
	ck_assert(idem_settle(d, 1, 1, IDEM_R_RAN, answer));
	ck_assert_uint_eq(p[0].calls, 1);
	ck_assert_int_eq(p[1].r, IDEM_R_RAN);
	ck_assert_uint_eq(p[1].len, 6);
	ck_assert_uint_eq(p[2].calls, 0);
	ck_assert_int_eq(begin(d, key, &b), IDEM_REPLAY);
	ck_assert(g_bytes_equal(b.answer, answer));
	/* A late second report does not undo the first. */
	ck_assert(!idem_settle(d, 1, 1, IDEM_R_NOT_RUN, NULL));
	ck_assert_int_eq(begin(d, key, &b), IDEM_REPLAY);
	g_bytes_unref(answer);
	g_free(key);
	idem_free(d);
}
END_TEST

/* Guards against another attempt after an unknown result. */
START_TEST(only_not_run_dispatches_again)
{
	struct idem *d = owner_new(5, 0, 0);
	struct idem_begin b;
	char *key = idem_issue(d), *key2 = idem_issue(d);

	begin(d, key, &b);
	ck_assert_uint_eq(idem_retry(d, 1, 1), 2);
	ck_assert_uint_eq(idem_retry(d, 1, 1), 0);
	ck_assert(!idem_settle(d, 1, 1, IDEM_R_NOT_RUN, NULL));
	ck_assert(idem_settle(d, 1, 2, IDEM_R_NOT_RUN, NULL));
	ck_assert_uint_eq(idem_retry(d, 1, 2), 0);
	ck_assert_int_eq(begin(d, key, &b), IDEM_DISPATCH);
	ck_assert_uint_eq(b.attempt, 3);
	ck_assert(idem_settle(d, 1, 3, IDEM_R_UNKNOWN, NULL));
	ck_assert_int_eq(begin(d, key, &b), IDEM_UNKNOWN);
	ck_assert_uint_eq(idem_retry(d, 1, 3), 0);
	/* The answer arrives late: now it is known. */
	ck_assert(idem_settle(d, 1, 3, IDEM_R_RAN, NULL));
	ck_assert_int_eq(begin(d, key, &b), IDEM_REPLAY);
	ck_assert_ptr_null(b.answer);
	begin(d, key2, &b);
	ck_assert(idem_settle(d, 2, 1, IDEM_R_UNKNOWN, NULL));
	ck_assert(idem_settle(d, 2, 1, IDEM_R_NOT_RUN, NULL));
	ck_assert_int_eq(begin(d, key2, &b), IDEM_DISPATCH);
	g_free(key);
	g_free(key2);
	idem_free(d);
}
END_TEST

/* Guards against an answer replayed to another request. */
START_TEST(key_is_for_one_request)
{
	struct idem *d = owner_new(5, 0, 0);
	struct idem_begin b;
	char *key = idem_issue(d);

	idem_begin(d, key, 77, NULL, &b);
	ck_assert_int_eq(b.verdict, IDEM_DISPATCH);
	idem_settle(d, 1, 1, IDEM_R_RAN, NULL);
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
	ck_assert(!idem_settle(d, 1, 1, IDEM_R_NOT_RUN, NULL));
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

/* Guards against a table that grows, or evicts a key that may then run. */
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
		idem_settle(d, i + 1, 1, IDEM_R_RAN, i % 7 ? answer : large);
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

/* ---- the guard ---- */

static struct pt_key
attempt_key(char *owner, gint64 incarnation, gint64 seq, guint attempt)
{
	struct pt_key k = { owner, incarnation, seq, attempt, 0, 1 };

	return k;
}

/* Guards against a late or second copy of an attempt that runs. */
START_TEST(copies_never_run)
{
	struct guard *g = upstream_new(1, 0, 0);
	struct pt_key a = attempt_key("o", 5, 1, 1), b = a, c = a;

	ck_assert_int_eq(guard_admit(g, &a), GUARD_NEW);
	ck_assert_int_eq(guard_admit(g, &a), GUARD_UNKNOWN);
	ck_assert(guard_refuse(g, &a));
	ck_assert_int_eq(guard_admit(g, &a), GUARD_NOT_RUN);
	ck_assert(!guard_start(g, &a));
	b.attempt = 2;
	ck_assert_int_eq(guard_admit(g, &b), GUARD_NEW);
	ck_assert_int_eq(guard_admit(g, &a), GUARD_UNKNOWN);
	ck_assert(!guard_start(g, &a));
	ck_assert(guard_start(g, &b));
	ck_assert(!guard_start(g, &b));
	ck_assert(!guard_refuse(g, &b));
	ck_assert_int_eq(guard_admit(g, &b), GUARD_UNKNOWN);
	c.attempt = 3; /* the owner never sends this after a start */
	ck_assert_int_eq(guard_admit(g, &c), GUARD_UNKNOWN);
	/* Meant for an earlier incarnation of this node. */
	c = attempt_key("o", 5, 2, 1);
	c.target = 0;
	ck_assert_int_eq(guard_admit(g, &c), GUARD_UNKNOWN);
	guard_free(g);
}
END_TEST

/*
 * Guards against a key that can no longer run at an upstream whose backend
 * server refused the connection, and against copies of that attempt.
 */
START_TEST(returned_attempts)
{
	struct guard *g = upstream_new(1, 0, 0);
	struct pt_key a = attempt_key("o", 5, 1, 1), b = a;

	ck_assert_int_eq(guard_admit(g, &a), GUARD_NEW);
	guard_not_run(g, &a); /* not started: no effect */
	ck_assert(guard_start(g, &a));
	guard_not_run(g, &a);
	ck_assert_int_eq(guard_admit(g, &a), GUARD_NOT_RUN);
	ck_assert(!guard_start(g, &a));
	b.attempt = 2;
	ck_assert_int_eq(guard_admit(g, &b), GUARD_NEW);
	ck_assert(guard_start(g, &b));
	guard_not_run(g, &a); /* a late one changes nothing */
	ck_assert_int_eq(guard_admit(g, &b), GUARD_UNKNOWN);
	guard_free(g);
}
END_TEST

/* Guards against attempts of an owner that has been replaced. */
START_TEST(old_owners_never_run)
{
	struct guard *g = upstream_new(1, 0, 0);
	struct pt_key a = attempt_key("o", 5, 1, 1), b;

	ck_assert_int_eq(guard_admit(g, &a), GUARD_NEW);
	b = attempt_key("o", 6, 1, 1);
	ck_assert_int_eq(guard_admit(g, &b), GUARD_NEW);
	ck_assert(!guard_start(g, &a));
	ck_assert(!guard_refuse(g, &a));
	a.seq = 9;
	ck_assert_int_eq(guard_admit(g, &a), GUARD_UNKNOWN);
	ck_assert(guard_start(g, &b));
	/* The owner's floor voids what is below it and frees its records. */
	b = attempt_key("o", 6, 8, 1);
	b.floor = 8;
	ck_assert_int_eq(guard_admit(g, &b), GUARD_NEW);
	ck_assert_uint_eq(guard_records(g), 1);
	b.seq = 7;
	ck_assert_int_eq(guard_admit(g, &b), GUARD_UNKNOWN);
	b.floor = 0;
	ck_assert_int_eq(guard_admit(g, &b), GUARD_UNKNOWN);
	guard_free(g);
}
END_TEST

/* Guards against a copy that runs because its record was evicted. */
START_TEST(evicted_records_never_run)
{
	enum {
		RECORDS = 4,
		SENT = 12
	};
	struct guard *g = upstream_new(1, RECORDS, 0);
	struct pt_key k, first;
	guint i;

	first = attempt_key("o", 5, 1, 1);
	ck_assert_int_eq(guard_admit(g, &first), GUARD_NEW);
	for (i = 2; i <= SENT; i++) {
		k = attempt_key("o", 5, i, 1);
		ck_assert_int_eq(guard_admit(g, &k), GUARD_NEW);
		ck_assert(guard_refuse(g, &k));
		ck_assert_uint_le(guard_records(g), RECORDS);
	}
	ck_assert(!guard_start(g, &first));
	ck_assert(!guard_refuse(g, &first));
	for (i = 1; i <= SENT; i++) {
		k = attempt_key("o", 5, i, 1);
		ck_assert_int_eq(guard_admit(g, &k),
		    i > SENT - RECORDS ? GUARD_NOT_RUN : GUARD_UNKNOWN);
		k.attempt = 2;
		if (i <= SENT - RECORDS)
			ck_assert_int_eq(guard_admit(g, &k), GUARD_UNKNOWN);
	}
	guard_free(g);
}
END_TEST

/* Guards against a copy that runs because its owner was evicted. */
START_TEST(evicted_owners_never_run)
{
	struct guard *g = upstream_new(1, 0, 2);
	struct pt_key a = attempt_key("a", 5, 1, 1),
		      b = attempt_key("b", 6, 1, 1),
		      c = attempt_key("c", 7, 1, 1);

	ck_assert_int_eq(guard_admit(g, &a), GUARD_NEW);
	ck_assert_int_eq(guard_admit(g, &b), GUARD_NEW);
	ck_assert_int_eq(guard_admit(g, &c), GUARD_NEW); /* evicts a */
	ck_assert(!guard_start(g, &a));
	ck_assert_int_eq(guard_admit(g, &a), GUARD_UNKNOWN);
	a.seq = 2;
	ck_assert_int_eq(guard_admit(g, &a), GUARD_UNKNOWN);
	ck_assert(guard_start(g, &b) || guard_start(g, &c));
	guard_free(g);
}
END_TEST

/* ---- exploration of every interleaving of a small case ---- */

/*
 * One key, issued by node 0.  Nodes 0 and 1 are both upstreams; the caller
 * sends the request through two entry nodes.  Every message may be delivered at
 * any time, twice, or never, which also covers nodes that pause; nodes restart
 * and return empty; the owner may send to either upstream and may know an
 * outdated incarnation of it.
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

/* Rules left out on purpose: the exploration must find the fault. */
enum broken {
	INTACT,
	OWNER_INCARNATION_IGNORED,
	RETRY_AFTER_UNKNOWN,
	NO_TOMBSTONES,
	TARGET_INCARNATION_IGNORED,
	BROKEN_N
};

struct message {
	char type; /* K: keyed request, F: forward, R: reply */
	guint8 request; /* K */
	guint8 attempt, owner_inc; /* F, R */
	guint8 node, target; /* F */
	char result; /* R: n, r, u */
};

struct job {
	guint8 node, attempt, owner_inc;
};

struct step {
	char what;
	guint8 i, j;
};

struct path {
	guint n;
	struct step s[STEPS];
};

struct world;
struct keyed {
	struct idem_waiter w; /* first: done() gets the waiter */
	struct world *world;
	guint8 request;
};

struct world {
	enum broken broken;
	struct idem *owner;
	struct guard *guard[2];
	guint8 inc[2];
	char *key;
	struct message m[MESSAGES];
	guint n_m;
	struct job q[JOBS];
	guint n_q;
	gboolean sent[REQUESTS];
	struct keyed keyed[REQUESTS];
	int dispatcher; /* request answered by the running attempt, -1: none */
	guint copies, restarts, expiries;
	guint runs;
	guint8 void_upto[RESTARTS + 1]; /* attempts answered as "not run" */
	guint8 dispatched; /* highest attempt of this owner incarnation */
	const char *fault;
};

static gint64
owner_incarnation(const struct world *w, guint inc)
{
	return w->broken == OWNER_INCARNATION_IGNORED ? 100 : 100 + inc;
}

static gint64
node_incarnation(const struct world *w, guint inc)
{
	return w->broken == TARGET_INCARNATION_IGNORED ? 1 : 1 + inc;
}

static void
caller_gets(struct world *w, enum idem_result r)
{
	if (r == IDEM_R_RAN && w->runs != 1)
		w->fault = "answered \"ran\" for a request that did not run";
	if (r != IDEM_R_NOT_RUN)
		return;
	if (w->runs != 0)
		w->fault = "answered \"not run\" for a request that ran";
	w->void_upto[w->inc[0]] = w->dispatched;
}

static void
keyed_done(struct idem_waiter *p, enum idem_result r, GBytes *answer)
{
	caller_gets(((struct keyed *)(void *)p)->world, r);
}

static void
post(struct world *w, struct message m)
{
	g_assert(w->n_m < MESSAGES);
	w->m[w->n_m++] = m;
}

/* Sends an attempt; "choice" picks the upstream and its incarnation. */
static void
dispatch(struct world *w, guint attempt, guint choice)
{
	guint node = choice & 1;
	guint target = w->inc[node];

	if ((choice & 2) != 0 && target > 0)
		target--;
	w->dispatched = attempt;
	post(w, (struct message){ .type = 'F',
		    .attempt = attempt,
		    .owner_inc = w->inc[0],
		    .node = node,
		    .target = target });
}

static void
settle(struct world *w, guint attempt, enum idem_result r)
{
	gboolean running = w->dispatcher >= 0;

	if (!idem_settle(w->owner, 1, attempt, r, NULL))
		return;
	/* A late answer to an unknown attempt has nobody waiting any more. */
	if (running)
		caller_gets(w, r);
	w->dispatcher = -1;
}

static void
on_keyed(struct world *w, const struct message *m, guint choice)
{
	struct keyed *k = &w->keyed[m->request];
	struct idem_begin b;

	/* The second copy of a request that already waits. */
	if (k->w.list != NULL)
		return;
	idem_begin(w->owner, w->key, 0, &k->w, &b);
	if (b.verdict == IDEM_DISPATCH) {
		w->dispatcher = m->request;
		dispatch(w, b.attempt, choice);
	} else if (b.verdict == IDEM_REPLAY) {
		caller_gets(w, IDEM_R_RAN);
	} else if (b.verdict == IDEM_BAD || b.verdict == IDEM_RELAY) {
		w->fault = "the owner does not know its own key";
	}
}

static struct pt_key
key_of(const struct world *w, guint owner_inc, guint attempt, guint target)
{
	struct pt_key k = { OWNER, owner_incarnation(w, owner_inc), 1, attempt,
		1, node_incarnation(w, target) };

	return k;
}

static void
reply(struct world *w, guint attempt, guint owner_inc, char result)
{
	/* A reply ends with the process that it is meant for. */
	if (owner_inc == w->inc[0])
		post(w, (struct message){ .type = 'R',
			    .attempt = attempt,
			    .owner_inc = owner_inc,
			    .result = result });
}

static void
on_forward(struct world *w, const struct message *m)
{
	struct pt_key k = key_of(w, m->owner_inc, m->attempt, m->target);

	switch (guard_admit(w->guard[m->node], &k)) {
	case GUARD_NEW:
		g_assert(w->n_q < JOBS);
		w->q[w->n_q++] =
		    (struct job){ m->node, m->attempt, m->owner_inc };
		break;
	case GUARD_NOT_RUN:
		reply(w, m->attempt, m->owner_inc, 'n');
		break;
	case GUARD_UNKNOWN:
		reply(w, m->attempt, m->owner_inc, 'u');
		break;
	}
}

static void
on_reply(struct world *w, const struct message *m, guint choice)
{
	char result = m->result;
	guint next;

	if (w->broken == RETRY_AFTER_UNKNOWN && result == 'u')
		result = 'n';
	if (result == 'r') {
		settle(w, m->attempt, IDEM_R_RAN);
	} else if (result == 'u') {
		settle(w, m->attempt, IDEM_R_UNKNOWN);
	} else if (choice == 4 || m->attempt >= ATTEMPTS) {
		settle(w, m->attempt, IDEM_R_NOT_RUN);
	} else {
		next = idem_retry(w->owner, 1, m->attempt);
		if (next != 0)
			dispatch(w, next, choice);
	}
}

static void
job_take(struct world *w, guint i, struct job *j)
{
	*j = w->q[i];
	w->q[i] = w->q[--w->n_q];
}

static void
job_start(struct world *w, guint i)
{
	struct pt_key k;
	struct job j;

	job_take(w, i, &j);
	k = key_of(w, j.owner_inc, j.attempt, w->inc[j.node]);
	if (!guard_start(w->guard[j.node], &k)) {
		reply(w, j.attempt, j.owner_inc, 'u');
		return;
	}
	if (++w->runs > 1)
		w->fault = "the request ran twice";
	if (j.attempt <= w->void_upto[j.owner_inc])
		w->fault = "an attempt ran after it was answered \"not run\"";
	reply(w, j.attempt, j.owner_inc, 'r');
}

static void
job_drop(struct world *w, guint i)
{
	struct pt_key k;
	struct job j;

	job_take(w, i, &j);
	k = key_of(w, j.owner_inc, j.attempt, w->inc[j.node]);
	if (w->broken == NO_TOMBSTONES) {
		guard_free(w->guard[j.node]);
		w->guard[j.node] =
		    upstream_new(node_incarnation(w, w->inc[j.node]), 0, 0);
		reply(w, j.attempt, j.owner_inc, 'n');
		return;
	}
	reply(w, j.attempt, j.owner_inc,
	    guard_refuse(w->guard[j.node], &k) ? 'n' : 'u');
}

static void
owner_start(struct world *w)
{
	guint i;

	for (i = 0; i < REQUESTS; i++) {
		idem_unwait(&w->keyed[i].w);
		memset(&w->keyed[i], 0, sizeof(w->keyed[i]));
		w->keyed[i].w.done = keyed_done;
		w->keyed[i].world = w;
		w->keyed[i].request = i;
	}
	idem_free(w->owner);
	w->owner = owner_new(owner_incarnation(w, w->inc[0]), 0, 0);
	w->dispatcher = -1;
	w->dispatched = 0;
}

/* A node is killed and returns empty; its callers get no answer. */
static void
restart(struct world *w, guint node)
{
	guint i;

	w->restarts++;
	w->inc[node]++;
	guard_free(w->guard[node]);
	w->guard[node] = upstream_new(node_incarnation(w, w->inc[node]), 0, 0);
	for (i = 0; i < w->n_q;)
		if (w->q[i].node == node)
			w->q[i] = w->q[--w->n_q];
		else
			i++;
	if (node != 0)
		return;
	owner_start(w);
	if (w->broken == OWNER_INCARNATION_IGNORED)
		g_free(idem_issue(w->owner));
	for (i = 0; i < w->n_m;)
		if (w->m[i].type == 'R')
			w->m[i] = w->m[--w->n_m];
		else
			i++;
}

static void
world_init(struct world *w, enum broken broken)
{
	memset(w, 0, sizeof(*w));
	w->broken = broken;
	now_us = MS;
	w->guard[0] = upstream_new(node_incarnation(w, 0), 0, 0);
	w->guard[1] = upstream_new(node_incarnation(w, 0), 0, 0);
	owner_start(w);
	w->key = idem_issue(w->owner);
}

static void
world_free(struct world *w)
{
	const char *fault = w->fault;

	idem_free(w->owner);
	guard_free(w->guard[0]);
	guard_free(w->guard[1]);
	g_free(w->key);
	w->fault = fault;
}

static void
deliver(struct world *w, guint i, guint choice)
{
	struct message m = w->m[i];

	w->m[i] = w->m[--w->n_m];
	if (m.type == 'K')
		on_keyed(w, &m, choice);
	else if (m.type == 'F')
		on_forward(w, &m);
	else
		on_reply(w, &m, choice);
}

static void
attempt_times_out(struct world *w)
{
	struct message m = { .type = 'R',
		.attempt = w->dispatched,
		.owner_inc = w->inc[0],
		.result = 'u' };

	/* The broken rule retries; choice 1 sends to the other upstream. */
	on_reply(w, &m, 1);
}

static void
apply(struct world *w, const struct step *s)
{
	switch (s->what) {
	case 'c': /* the caller sends through entry node i */
		w->sent[s->i] = TRUE;
		post(w, (struct message){ .type = 'K', .request = s->i });
		break;
	case 'd':
		deliver(w, s->i, s->j);
		break;
	case 'x': /* a message is duplicated */
		w->copies++;
		post(w, w->m[s->i]);
		break;
	case 's':
		job_start(w, s->i);
		break;
	case 'r':
		job_drop(w, s->i);
		break;
	case 't':
		attempt_times_out(w);
		break;
	case 'k':
		restart(w, s->i);
		break;
	case 'e': /* the key expires */
		w->expiries++;
		now_us += TTL;
		idem_tick(w->owner);
		break;
	}
}

static void
add(GArray *a, char what, guint i, guint j)
{
	struct step s = { what, i, j };

	g_array_append_val(a, s);
}

/* Choices of upstream that differ: outdated incarnations only if there are. */
static void
add_dispatch(const struct world *w, GArray *a, guint i)
{
	guint c;

	for (c = 0; c < 4; c++)
		if ((c & 2) == 0 || w->inc[c & 1] > 0)
			add(a, 'd', i, c);
}

static void
steps_of_message(struct world *w, GArray *a, guint i)
{
	const struct message *m = &w->m[i];
	guint attempt;

	if (m->type == 'K' &&
	    idem_inspect(w->owner, 1, &attempt) == IDEM_S_ISSUED &&
	    (w->inc[0] == 0 || w->broken == OWNER_INCARNATION_IGNORED)) {
		if (attempt < ATTEMPTS)
			add_dispatch(w, a, i);
	} else if (m->type == 'R' && m->result != 'r' &&
		   m->attempt < ATTEMPTS) {
		add_dispatch(w, a, i);
		add(a, 'd', i, 4);
	} else {
		add(a, 'd', i, 4);
	}
	if (w->copies < COPIES && w->n_m + 2 < MESSAGES)
		add(a, 'x', i, 0);
}

/* Every step that is possible in this state. */
static void
steps(struct world *w, GArray *a)
{
	guint i, attempt;

	g_array_set_size(a, 0);
	for (i = 0; i < REQUESTS; i++)
		if (!w->sent[i])
			add(a, 'c', i, 0);
	for (i = 0; i < w->n_m; i++)
		steps_of_message(w, a, i);
	for (i = 0; i < w->n_q; i++) {
		add(a, 's', i, 0);
		add(a, 'r', i, 0);
	}
	if (idem_inspect(w->owner, 1, &attempt) == IDEM_S_RUNNING)
		add(a, 't', 0, 0);
	for (i = 0; i < 2 && w->restarts < RESTARTS; i++)
		add(a, 'k', i, 0);
	if (w->expiries < EXPIRIES)
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

/* Puts messages and jobs in the order that steps refer to. */
static void
sort(struct world *w)
{
	qsort(w->m, w->n_m, sizeof(w->m[0]), by_bytes);
	qsort(w->q, w->n_q, sizeof(w->q[0]), by_job);
}

/*
 * Text that is equal for equal states.  The nodes' own state is read from the
 * tables under test.
 */
static char *
fingerprint(struct world *w)
{
	GString *s = g_string_new(NULL);
	struct guard_view v;
	guint i, attempt;

	sort(w);
	i = idem_inspect(w->owner, 1, &attempt);
	g_string_printf(s, "%u.%u/%d/%u%u/%u%u%u/%u/%u,%u,%u/%u|", i, attempt,
	    w->dispatcher, w->inc[0], w->inc[1], w->copies, w->restarts,
	    w->expiries, w->runs, w->void_upto[0], w->void_upto[1],
	    w->void_upto[2], w->dispatched);
	for (i = 0; i < REQUESTS; i++)
		g_string_append_printf(
		    s, "%d%d", w->sent[i], w->keyed[i].w.list != NULL);
	for (i = 0; i < 2; i++) {
		guard_inspect(w->guard[i], OWNER, 1, &v);
		g_string_append_printf(s, "|%d.%d.%u.%d%d", (int)v.incarnation,
		    (int)v.floor, v.attempt, v.started, v.refused);
	}
	for (i = 0; i < w->n_m; i++)
		g_string_append_printf(s, "|%c%u%u%u%u%u%c", w->m[i].type,
		    w->m[i].request, w->m[i].attempt, w->m[i].owner_inc,
		    w->m[i].node, w->m[i].target,
		    w->m[i].result ? w->m[i].result : '-');
	for (i = 0; i < w->n_q; i++)
		g_string_append_printf(s, "|q%u%u%u", w->q[i].node,
		    w->q[i].attempt, w->q[i].owner_inc);
	return g_string_free(s, FALSE);
}

struct search {
	enum broken broken;
	GHashTable *seen; /* fingerprints */
	GArray *todo; /* struct path, in order of length */
	guint next; /* first that is not done */
	guint longest;
	struct path fault_path;
	const char *fault;
};

static void
replay(struct world *w, enum broken broken, const struct path *p)
{
	guint i;

	world_init(w, broken);
	for (i = 0; i < p->n; i++) {
		apply(w, &p->s[i]);
		sort(w);
	}
}

static void
visit(struct search *x, const struct path *p)
{
	struct world w;
	char *f;

	replay(&w, x->broken, p);
	if (w.fault != NULL) {
		x->fault = w.fault;
		x->fault_path = *p;
	}
	f = fingerprint(&w);
	world_free(&w);
	if (!g_hash_table_add(x->seen, f))
		return;
	x->longest = MAX(x->longest, p->n);
	g_array_append_val(x->todo, *p);
}

/* Explores until there is nothing new or a fault was found. */
static void
explore(struct search *x, enum broken broken)
{
	GArray *next = g_array_new(FALSE, FALSE, sizeof(struct step));
	struct path p = { 0 };
	struct world w;
	guint i;

	memset(x, 0, sizeof(*x));
	x->broken = broken;
	x->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	x->todo = g_array_new(FALSE, FALSE, sizeof(struct path));
	visit(x, &p);
	while (x->next < x->todo->len && x->fault == NULL) {
		p = g_array_index(x->todo, struct path, x->next);
		x->next++;
		replay(&w, broken, &p);
		steps(&w, next);
		world_free(&w);
		ck_assert_uint_lt(p.n, STEPS);
		ck_assert_uint_lt(g_hash_table_size(x->seen), STATES_MAX);
		for (i = 0; i < next->len && x->fault == NULL; i++) {
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
 * Guards against a second run, and against "not run" for a request that ran or
 * still can run, in any order of events.
 */
START_TEST(no_interleaving_runs_twice)
{
	struct search x;
	guint i;

	explore(&x, INTACT);
	printf("exploration: %u states, longest path %u steps, complete\n",
	    g_hash_table_size(x.seen), x.longest);
	for (i = 0; x.fault != NULL && i < x.fault_path.n; i++)
		printf("  %c %u %u\n", x.fault_path.s[i].what,
		    x.fault_path.s[i].i, x.fault_path.s[i].j);
	ck_assert_msg(x.fault == NULL, "%s", x.fault);
	ck_assert_uint_gt(g_hash_table_size(x.seen), 5000);
	search_free(&x);
}
END_TEST

/* Guards against an exploration that could not find a fault. */
START_TEST(exploration_finds_broken_rules)
{
	struct search x;

	explore(&x, (enum broken)_i);
	ck_assert_msg(x.fault != NULL, "rule %d was left out unnoticed", _i);
	printf("rule %d left out: %s, after %u steps\n", _i, x.fault,
	    x.fault_path.n);
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
	t = tcase_create("guard");
	tcase_add_test(t, copies_never_run);
	tcase_add_test(t, returned_attempts);
	tcase_add_test(t, old_owners_never_run);
	tcase_add_test(t, evicted_records_never_run);
	tcase_add_test(t, evicted_owners_never_run);
	suite_add_tcase(s, t);
	t = tcase_create("exploration");
	tcase_set_timeout(t, 0);
	tcase_add_test(t, no_interleaving_runs_twice);
	tcase_add_loop_test(t, exploration_finds_broken_rules,
	    OWNER_INCARNATION_IGNORED, BROKEN_N);
	suite_add_tcase(s, t);
	return suite_run(s);
}
