#include <glib.h>
#include <check.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "run.h"

/* Guards against a decoder that accepts trailing or missing bytes. */
START_TEST(decode_is_exact)
{
	struct pt_seed in = { PT_PROTO, "a1", "127.0.0.1", 7400, 7401 };
	struct pt_seed out;
	GBytes *b;
	gsize n;
	const char *p;
	char *longer;

	b = pt_encode((xdrproc_t)xdr_pt_seed, &in);
	p = g_bytes_get_data(b, &n);
	memset(&out, 0, sizeof(out));
	ck_assert(pt_decode((xdrproc_t)xdr_pt_seed, &out, sizeof(out), p, n));
	ck_assert_str_eq(out.instance, "a1");
	xdr_free((xdrproc_t)xdr_pt_seed, (char *)&out);
	memset(&out, 0, sizeof(out));
	ck_assert(
	    !pt_decode((xdrproc_t)xdr_pt_seed, &out, sizeof(out), p, n - 4));
	longer = g_malloc0(n + 4);
	memcpy(longer, p, n);
	ck_assert(!pt_decode(
	    (xdrproc_t)xdr_pt_seed, &out, sizeof(out), longer, n + 4));
	g_free(longer);
	g_bytes_unref(b);
}
END_TEST

/*
 * Guards against an upgrade that separates old nodes from new ones: fields that
 * a newer minor version appends must be ignored.
 */
START_TEST(newer_minor_version_may_append)
{
	struct pt_pull_args in = { PT_PROTO + 1, 7 }, out;
	char longer[64] = { 0 };
	GBytes *b;
	gsize n;

	b = pt_encode((xdrproc_t)xdr_pt_pull_args, &in);
	memcpy(longer, g_bytes_get_data(b, &n), g_bytes_get_size(b));
	g_bytes_unref(b);
	memset(&out, 0, sizeof(out));
	ck_assert(pt_decode_compat(
	    (xdrproc_t)xdr_pt_pull_args, &out, sizeof(out), longer, n + 8));
	ck_assert_int_eq(out.id, 7);
	ck_assert(pt_proto_supported(out.proto));
	ck_assert(!pt_decode(
	    (xdrproc_t)xdr_pt_pull_args, &out, sizeof(out), longer, n + 8));
}
END_TEST

/*
 * Guards against trailing bytes in messages of the same version, and against
 * messages of another major version.
 */
START_TEST(other_versions_may_not_append)
{
	struct pt_pull_args in = { PT_PROTO, 7 }, out;
	char longer[64] = { 0 };
	GBytes *b;
	gsize n;

	b = pt_encode((xdrproc_t)xdr_pt_pull_args, &in);
	memcpy(longer, g_bytes_get_data(b, &n), g_bytes_get_size(b));
	g_bytes_unref(b);
	memset(&out, 0, sizeof(out));
	ck_assert(!pt_decode_compat(
	    (xdrproc_t)xdr_pt_pull_args, &out, sizeof(out), longer, n + 8));
	ck_assert(!pt_proto_supported(PT_PROTO + PT_PROTO_MAJOR));
	ck_assert(!pt_proto_supported(0));
}
END_TEST

/* Text with so many opening brackets, then values, each before a comma. */
static gboolean
accepted(guint depth, guint commas, const char *value)
{
	GString *s = g_string_new(NULL);
	gboolean ok;
	guint i;

	for (i = 0; i < depth; i++)
		g_string_append_c(s, '[');
	for (i = 0; i < commas; i++) {
		g_string_append(s, value);
		g_string_append_c(s, ',');
	}
	ok = pt_json_excess(s->str, s->len) == NULL;
	g_string_free(s, TRUE);
	return ok;
}

/*
 * Guards against text that overflows the parser's stack or takes a hundred
 * times its size once it is parsed, and against text within the limits that is
 * refused for what stands in its strings.
 */
START_TEST(json_has_limits)
{
	ck_assert(accepted(PT_JSON_DEPTH, 0, ""));
	ck_assert(!accepted(PT_JSON_DEPTH + 1, 0, ""));
	ck_assert(accepted(1, PT_JSON_VALUES - 1, "0"));
	ck_assert(!accepted(1, PT_JSON_VALUES, "0"));
	ck_assert(!accepted(1, PT_JSON_VALUES / 2, "{}"));
	ck_assert(
	    accepted(1, 10, "\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\""));
	ck_assert(accepted(1, PT_JSON_VALUES / 2, "\",,\\\",,\""));
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("port");
	TCase *t = tcase_create("codec");

	tcase_add_test(t, decode_is_exact);
	tcase_add_test(t, newer_minor_version_may_append);
	tcase_add_test(t, other_versions_may_not_append);
	tcase_add_test(t, json_has_limits);
	suite_add_tcase(s, t);
	return suite_run(s);
}
