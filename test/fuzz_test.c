/* Feeds damaged input to the decoders of log records and idempotency keys. */
#include <glib.h>
#include <check.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "call.h"
#include "run.h"

#define ROUNDS 20000
#define SEED 4711

/* Overwrites some bytes of a valid message, truncates or lengthens it. */
static char *
damage(GRand *r, GBytes *good, gsize *len)
{
	gsize n;
	const char *p = g_bytes_get_data(good, &n);
	char *s = g_malloc0(2 * n + 1);
	guint i, n_edits = 1 + g_rand_int(r) % 4;

	memcpy(s, p, n);
	for (i = 0; i < n_edits; i++)
		s[g_rand_int(r) % n] = (char)g_rand_int(r);
	if (g_rand_int(r) % 4 == 0)
		n = g_rand_int(r) % (n + 1);
	if (g_rand_int(r) % 8 == 0)
		n *= 2;
	*len = n;
	return s;
}

static void
fuzz(xdrproc_t proc, gsize size, const void *value)
{
	GRand *r = g_rand_new_with_seed(SEED);
	GBytes *good = pt_encode(proc, value);
	gpointer out = g_malloc0(size);
	guint i, n_decoded = 0;
	gsize len;
	char *s;

	for (i = 0; i < ROUNDS; i++) {
		s = damage(r, good, &len);
		memset(out, 0, size);
		if (pt_decode_compat(proc, out, size, s, len)) {
			n_decoded++;
			xdr_free(proc, out);
		}
		g_free(s);
	}
	/* Some damaged messages are still valid, others are not. */
	ck_assert_uint_gt(n_decoded, 0);
	ck_assert_uint_lt(n_decoded, ROUNDS);
	g_free(out);
	g_bytes_unref(good);
	g_rand_free(r);
}

/* Guards against a decoder that reads past the end of a reply of the log. */
START_TEST(fuzz_log_batch)
{
	struct pt_log_entry e[2] = { { 7, { 4, "abcd" } }, { 8, { 1, "x" } } };
	struct pt_log_batch b = { 1, 9, { 2, e } };

	fuzz((xdrproc_t)xdr_pt_log_batch, sizeof(b), &b);
}
END_TEST

/* Guards against a decoder that reads past the end of a record. */
START_TEST(fuzz_records)
{
	struct pt_seed seed = { PT_PROTO, "a1", "127.0.0.1", 7400, 7401 };
	struct pt_snap_chunk c = { PT_PROTO, 9, 0, 1, "", { 8, "snapshot" } };

	fuzz((xdrproc_t)xdr_pt_seed, sizeof(seed), &seed);
	fuzz((xdrproc_t)xdr_pt_snap_chunk, sizeof(c), &c);
}
END_TEST

static gint64
zero_clock(void *ctx)
{
	return 0;
}

/* Guards against a request with a damaged idempotency key being dispatched. */
START_TEST(fuzz_idempotency_keys)
{
	struct idem_opts o = { .clock = { zero_clock, NULL },
		.instance = "a.1",
		.incarnation = 5,
		.secret = "secret",
		.secret_len = 6 };
	struct idem *d = idem_new(&o);
	char *key = idem_issue(d), *s;
	GBytes *good = g_bytes_new(key, strlen(key));
	GRand *r = g_rand_new_with_seed(SEED);
	struct idem_begin b;
	gsize len;
	guint i;

	for (i = 0; i < ROUNDS; i++) {
		s = damage(r, good, &len);
		s[len] = '\0';
		idem_begin(d, s, 1, NULL, &b);
		/* The case of hexadecimal digits does not matter. */
		if (b.verdict == IDEM_DISPATCH)
			ck_assert_int_eq(g_ascii_strcasecmp(s, key), 0);
		g_free(s);
	}
	ck_assert_uint_le(idem_used(d), 1);
	g_bytes_unref(good);
	g_free(key);
	g_rand_free(r);
	idem_free(d);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("fuzz");
	TCase *t = tcase_create("decoders");

	tcase_add_test(t, fuzz_log_batch);
	tcase_add_test(t, fuzz_records);
	tcase_add_test(t, fuzz_idempotency_keys);
	suite_add_tcase(s, t);
	return suite_run(s);
}
