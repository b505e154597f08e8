/* Translation of the formats of the operators' platform. */
#include <gio/gio.h>
#include <check.h>
#include <glib/gstdio.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "platform.h"
#include "loop.h"
#include "run.h"

/* Nesting that overflows the stack of a recursive parser. */
#define DEPTH 400000

#define HOST "127.0.0.1"
#define FUZZ_RUNS 20000
#define FUZZ_SEED 5

/* ---- settings ---- */

static const char settings[] =
    "# comment\nnodeName=n-1\nzone=z-a\nregion=r\nservice=svc\n"
    "appAddr=10.0.0.1:80\nlistenAddrs.outbound=10.0.0.1:81\n"
    "listenAddrs.inbound=10.0.0.1:82\nlistenAddrs.ready=10.0.0.1:83\n"
    "listenAddrs.control=10.0.0.1:84\nportRange=7600,7615\n"
    "seedNodes=10.0.0.2:84,bad,10.0.0.3:84\nplatform.address=10.9.0.1:90\n"
    "heartbeatS=1.25\nbounds.drainS=2.5\nbounds.retryBudgetSlack=58\n"
    "limits.memoryMb=260\nnot.known=x\n";

static struct plat_settings *
read_text(const char *text, GError **err)
{
	char *path =
	    g_build_filename(g_get_tmp_dir(), "pt-settings-XXXXXX", NULL);
	struct plat_settings *s;
	int fd = g_mkstemp(path);

	ck_assert_int_ge(fd, 0);
	close(fd);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	s = plat_settings_read(path, err);
	g_unlink(path);
	g_free(path);
	return s;
}

/* Guards against a setting that is stored in the wrong member or unit. */
START_TEST(settings_are_translated)
{
	struct plat_settings *s = read_text(settings, NULL);

	ck_assert_ptr_nonnull(s);
	ck_assert_str_eq(s->instance, "n-1");
	ck_assert_str_eq(s->domain, "z-a");
	ck_assert_str_eq(s->service, "svc");
	ck_assert_str_eq(s->backend.host, "10.0.0.1");
	ck_assert_uint_eq(s->backend.port, 80);
	ck_assert_uint_eq(s->outbound.port, 81);
	ck_assert_uint_eq(s->peer.port, 82);
	ck_assert_uint_eq(s->ready.port, 83);
	ck_assert_uint_eq(s->control.port, 84);
	ck_assert_uint_eq(s->first_port, 7600);
	ck_assert_uint_eq(s->last_port, 7615);
	ck_assert_uint_eq(s->store.port, 90);
	/* A seed that cannot be parsed is skipped. */
	ck_assert_uint_eq(s->n_seeds, 2);
	ck_assert_str_eq(s->seeds[1].host, "10.0.0.3");
	ck_assert_int_eq(s->heartbeat, 1250000);
	ck_assert_int_eq(s->drain, 2500000);
	ck_assert_int_eq(s->budget_slack, 58);
	ck_assert_uint_eq(s->memory, 260u << 20);
	plat_settings_free(s);
}
END_TEST

/*
 * Guards against a process that starts although a setting is missing or
 * invalid, and against errors that don't name the setting.
 */
START_TEST(invalid_settings_are_refused)
{
	static const char *const cases[][3] = {
		{ "appAddr=10.0.0.1:80", "", "appAddr" },
		{ "appAddr=10.0.0.1:80", "appAddr=10.0.0.1", "appAddr" },
		{ "appAddr=10.0.0.1:80", "appAddr=name:80", "appAddr" },
		{ "appAddr=10.0.0.1:80", "appAddr=10.0.0.1:70000", "appAddr" },
		{ "nodeName=n-1", "nodeName=", "nodeName" },
		{ "portRange=7600,7615", "portRange=7600", "portRange" },
		{ "portRange=7600,7615", "portRange=9,8", "portRange" },
		{ "heartbeatS=1.25", "heartbeatS=soon", "heartbeatS" },
		{ "heartbeatS=1.25", "heartbeatS=-1", "heartbeatS" },
		{ "heartbeatS=1.25", "heartbeatS=nan", "heartbeatS" },
		{ "platform.address=10.9.0.1:90", "", "platform.address" },
	};
	GError *err = NULL;
	GString *text;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_string_new(settings);
		ck_assert_uint_eq(
		    g_string_replace(text, cases[i][0], cases[i][1], 1), 1);
		ck_assert_ptr_null(read_text(text->str, &err));
		ck_assert(g_error_matches(err, PT_ERROR, PT_ERROR_SETTING));
		ck_assert_ptr_nonnull(strstr(err->message, cases[i][2]));
		g_clear_error(&err);
		g_string_free(text, TRUE);
	}
	ck_assert_ptr_null(plat_settings_read("/nonexistent", &err));
	ck_assert_ptr_nonnull(strstr(err->message, "settings file"));
	g_clear_error(&err);
}
END_TEST

/* ---- configuration ---- */

static const char config[] =
    "{\"version\":7,\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\","
    "\"kind\",\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\","
    "\"maxAttempts\",\"weightedSplit\"],\"rows\":["
    "[\"r-1\",\"a.example\",\"/x/\",\"non_idempotent\",1.5,1.25,2,\"s\",3,"
    "null],"
    "[\"r-2\",\"a.example\",\"/y/\",\"idempotent\",1.2,0.5,0,null,2,"
    "[{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}]],"
    "[\"r-3\",\"a.example\",\"/z/\",\"download\",1,null,1,\"t\",1,null],"
    "[\"r-4\",\"a.example\",\"/w/\",\"unheard-of\",1,1,1,\"t\",1,null]]},"
    "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\","
    "\"protocol\",\"tls\"],\"rows\":[[\"s\",\"/health\",110,\"h1\",false],"
    "[\"t\",\"/ok\",20,\"h1\",false]]},\"limits\":{\"maxHeaderBytes\":16384,"
    "\"maxBodyBytes\":1000,\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
    "\"baseVersion\":5}";

static struct rtab *
read_config(const char *text, GError **err)
{
	GBytes *b = g_bytes_new_static(text, strlen(text));
	struct rtab *t = plat_config_read(b, err);

	g_bytes_unref(b);
	return t;
}

/*
 * Guards against a request that runs twice, late or at the wrong service
 * because a field of its route is mistranslated.
 */
START_TEST(configurations_are_translated)
{
	struct rtab *t = read_config(config, NULL);
	const struct rtab_route *r;

	ck_assert_ptr_nonnull(t);
	ck_assert_int_eq(rtab_version(t), 7);
	ck_assert_uint_eq(rtab_n_routes(t), 4);
	r = rtab_match(t, "a.example", "/x/1");
	ck_assert_str_eq(r->name, "r-1");
	ck_assert_int_eq(r->kind, RTAB_ONCE);
	ck_assert_int_eq(r->timeout, 1500000);
	ck_assert_int_eq(r->target, 1250000);
	ck_assert_int_eq(r->priority, 2);
	ck_assert_uint_eq(r->attempts, 3);
	ck_assert_str_eq(r->parts[0].service, "s");
	r = rtab_match(t, "a.example", "/y/");
	ck_assert_int_eq(r->kind, RTAB_IDEMPOTENT);
	ck_assert_uint_eq(r->n_parts, 2);
	ck_assert_str_eq(r->parts[1].service, "t");
	ck_assert_double_eq(r->parts[1].weight, 10);
	ck_assert_int_eq(
	    rtab_match(t, "a.example", "/z/")->kind, RTAB_DOWNLOAD);
	/* Requests of an unknown kind may not be safe to retry. */
	ck_assert_int_eq(rtab_match(t, "a.example", "/w/")->kind, RTAB_ONCE);
	ck_assert_uint_eq(rtab_service(t, "s")->max_connections, 110);
	ck_assert_str_eq(rtab_service(t, "t")->health_path, "/ok");
	ck_assert_uint_eq(rtab_limits(t)->head_bytes, 16384);
	ck_assert_int_eq(rtab_limits(t)->idle_time, 15000000);
	rtab_unref(t);
}
END_TEST

/*
 * Guards against callers of an organisation that are refused or served beyond
 * its limit, as its row is mistranslated, in either order of columns and rows.
 */
START_TEST(organisations_are_translated)
{
	static const char *const tables[] = {
		"\"columns\":[\"name\",\"apiKeys\",\"priority\",\"ratePerS\","
		"\"burstSize\"],\"rows\":[[\"o-1\",[\"k1\",\"k2\"],1,50.5,20],"
		"[\"o-2\",[\"k3\"],null,null,null],[\"o-3\",[],0,0,0]]",
		"\"rows\":[[\"o-1\",[\"k1\",\"k2\"],1,50.5,20],"
		"[\"o-2\",[\"k3\"],null,null,null],[\"o-3\",[],0,0,0]],"
		"\"columns\":[\"name\",\"apiKeys\",\"priority\",\"ratePerS\","
		"\"burstSize\"]"
	};
	const struct rtab_org *o;
	struct rtab_key k;
	struct rtab *t;
	GString *s;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		s = g_string_new(config);
		g_string_truncate(s, s->len - 1);
		g_string_append_printf(s, ",\"tenants\":{%s}}", tables[i]);
		t = read_config(s->str, NULL);
		ck_assert_ptr_nonnull(t);
		ck_assert(rtab_requires_keys(t));
		ck_assert(rtab_has_limits(t));
		ck_assert_uint_eq(rtab_n_orgs(t), 3);
		rtab_key_of("k2", &k);
		o = rtab_org_by_key(t, &k);
		ck_assert_str_eq(o->name, "o-1");
		ck_assert_int_eq(o->priority, 1);
		ck_assert_double_eq(o->rate, 50.5);
		ck_assert_double_eq(o->burst, 20);
		rtab_key_of("k3", &k);
		o = rtab_org_by_key(t, &k);
		ck_assert_int_eq(o->priority, 0);
		ck_assert_double_eq(o->rate, 0);
		rtab_key_of("k4", &k);
		ck_assert_ptr_null(rtab_org_by_key(t, &k));
		rtab_unref(t);
		g_string_free(s, TRUE);
	}
	t = read_config(config, NULL);
	ck_assert(!rtab_requires_keys(t));
	rtab_unref(t);
}
END_TEST

/*
 * Guards against a document that lets every caller in, or no one, as its
 * organisations cannot be read; the error never shows a key.
 */
START_TEST(invalid_organisations_are_refused)
{
	static const char *const bad[] = { "[]", "7",
		"{\"columns\":[\"name\"]}",
		"{\"columns\":[\"name\",\"apiKeys\"],\"rows\":[[\"o\","
		"\"secret\"]]}",
		"{\"columns\":[\"name\",\"apiKeys\"],\"rows\":[[\"o\","
		"[\"secret\",7]]]}",
		"{\"columns\":[\"name\",\"apiKeys\"],\"rows\":[[\"o\","
		"[[\"secret\"]]]]}",
		"{\"columns\":[\"name\",\"apiKeys\",\"ratePerS\"],\"rows\":"
		"[[\"o\",[\"secret\"],-1]]}",
		"{\"columns\":[\"name\",\"apiKeys\"],\"rows\":[[null,"
		"[\"secret\"]]]}" };
	GError *err = NULL;
	GString *s;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		s = g_string_new(config);
		g_string_truncate(s, s->len - 1);
		g_string_append_printf(s, ",\"tenants\":%s}", bad[i]);
		ck_assert_msg(read_config(s->str, &err) == NULL, "%s", s->str);
		ck_assert(g_error_matches(err, PT_ERROR, PT_ERROR_PARSE));
		ck_assert_ptr_null(strstr(err->message, "secret"));
		g_clear_error(&err);
		g_string_free(s, TRUE);
	}
}
END_TEST

/* Guards against an invalid document from which a part is applied. */
START_TEST(invalid_configurations_are_refused)
{
	static const char *const cases[][2] = {
		{ "\"version\":7,", "" },
		{ "\"version\":7", "\"version\":\"7\"" },
		{ "\"r-1\",\"a.example\"", "\"r-1\",5" },
		{ "\"timeoutS\",", "\"timeout\"," },
		{ "\"s\",3,", "\"nobody\",3," },
		{ "\"/x/\"", "\"/x\"" },
		{ "\"columns\":[\"name\",\"health",
		    "\"cols\":[\"name\",\"health" },
		{ "\"weight\":90}", "\"weight\":-1}" },
		{ "\"baseVersion\":5}", "\"baseVersion\":5" },
		{ "\"baseVersion\":5}", "\"baseVersion\":5} {}" },
		{ "\"version\":7", "\"version\":[7]" },
		{ "\"version\":7", "\"version\":-7" },
		{ "\"routes\":{", "\"routes\":[],\"x\":{" },
		{ "\"routes\":{", "\"routes\":null,\"x\":{" },
		{ "\"routes\":{", "\"x\":{" },
		{ "\"services\":{", "\"x\":{" },
		{ "\"rows\":[[\"s\",", "\"rows\":{},\"x\":[[\"s\"," },
		{ "\"rows\":[[\"s\",", "\"rows\":[5,[\"s\"," },
		{ "\"rows\":[[\"s\",", "\"rows\":[{},[\"s\"," },
		{ "[{\"service\":\"s\",\"weight\":90},", "[5," },
		{ "[{\"service\":\"s\",\"weight\":90},", "[{}," },
		{ "{\"service\":\"t\",\"weight\":10}]", "[]]" },
		{ "\"maxBodyBytes\":1000", "\"maxBodyBytes\":-1" },
		{ "\"limits\":{", "\"limits\":7,\"x\":{" },
	};
	GError *err = NULL;
	GString *text;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_string_new(config);
		ck_assert_uint_ge(
		    g_string_replace(text, cases[i][0], cases[i][1], 0), 1);
		ck_assert_msg(read_config(text->str, &err) == NULL,
		    "case %u was accepted", i);
		ck_assert_ptr_nonnull(err);
		g_clear_error(&err);
		g_string_free(text, TRUE);
	}
}
END_TEST

/* Guards against a parser that relies on the order of members. */
START_TEST(members_in_any_order)
{
	static const char late[] =
	    "{\"limits\":null,\"routes\":{\"note\":[{\"rows\":[[1]]}],"
	    "\"rows\":[[[1,[2]],\"r\",\"h\",\"/a/\",\"download\",2,\"s\"],"
	    "[{\"k\":[{}]},\"q\",\"h\",\"/b/\",\"idempotent\",3,\"s\"]],"
	    "\"columns\":[\"new\",\"name\",\"host\",\"pathPrefix\",\"kind\","
	    "\"timeoutS\",\"service\"]},\"services\":{\"rows\":[[\"/ok\","
	    "\"s\"]],\"columns\":[\"healthPath\",\"name\"]},\"version\":9}";
	struct rtab *t = read_config(late, NULL);

	ck_assert_ptr_nonnull(t);
	ck_assert_int_eq(rtab_version(t), 9);
	ck_assert_uint_eq(rtab_n_routes(t), 2);
	ck_assert_str_eq(rtab_match(t, "h", "/a/1")->name, "r");
	ck_assert_int_eq(rtab_match(t, "h", "/b/")->timeout, 3000000);
	ck_assert_str_eq(rtab_service(t, "s")->health_path, "/ok");
	rtab_unref(t);
}
END_TEST

/*
 * Guards against strings that are truncated or joined: the parser reuses one
 * buffer for all strings of a document.
 */
START_TEST(strings_are_not_truncated)
{
	GString *text = g_string_new(config), *name = g_string_new(NULL);
	struct rtab *t;
	int i;

	for (i = 0; i < 500; i++)
		g_string_append(name, "\\u00e9");
	g_string_replace(text, "r-3", name->str, 0);
	t = read_config(text->str, NULL);
	ck_assert_ptr_nonnull(t);
	ck_assert_uint_eq(
	    strlen(rtab_match(t, "a.example", "/z/")->name), 1000);
	ck_assert_str_eq(rtab_match(t, "a.example", "/w/")->name, "r-4");
	rtab_unref(t);
	g_string_free(name, TRUE);
	g_string_free(text, TRUE);
}
END_TEST

/* ---- announcements ---- */

static const char announcement[] =
    "{\"service\":\"svc\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
    "\"version\":\"v1\",\"slots\":12,\"state\":\"in_service\",\"coldLeftS\":"
    "1.5,\"sequence\":4,\"born\":1700000000123}";

/* Guards against a field of an announcement in the wrong member or unit. */
START_TEST(announcements_are_translated)
{
	struct plat_announce *p =
	    plat_announce_read("i-1", announcement, strlen(announcement), NULL);
	const struct reg_announce *b;
	char *id;

	ck_assert_ptr_nonnull(p);
	b = plat_announce_get(p);
	ck_assert_str_eq(b->id, "i-1");
	ck_assert_str_eq(b->service, "svc");
	ck_assert_str_eq(b->address, "10.0.0.1:80");
	ck_assert_int_eq(b->slots, 12);
	ck_assert_int_eq(b->state, REG_SERVING);
	ck_assert_int_eq(b->cold, 1500000);
	ck_assert_int_eq(b->sequence, 4);
	ck_assert_int_eq(b->process_start, G_GINT64_CONSTANT(1700000000123));
	plat_announce_free(p);
	id = plat_announce_id("/-/instances/i-%31");
	ck_assert_str_eq(id, "i-1");
	g_free(id);
	ck_assert_ptr_null(plat_announce_id("/-/instances/"));
	ck_assert_ptr_null(plat_announce_id("/-/instances/a%2fb"));
	ck_assert_ptr_null(plat_announce_id("/other/i-1"));
}
END_TEST

/* Guards against an upstream that is created from an invalid announcement. */
START_TEST(invalid_announcements_are_refused)
{
	static const char *const cases[][2] = {
		{ "\"service\":\"svc\",", "" },
		{ "\"service\":\"svc\"", "\"service\":3" },
		{ "\"slots\":12", "\"slots\":\"12\"" },
		{ "\"slots\":12,", "" },
		{ "\"slots\":12", "\"slots\":-4" },
		{ "\"in_service\"", "\"sleeping\"" },
		{ "\"sequence\":4", "\"sequence\":null" },
		{ "\"address\":\"10.0.0.1:80\"", "\"address\":[]" },
		{ "}", "" },
		{ "{", "[" },
	};
	GError *err = NULL;
	GString *text;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_string_new(announcement);
		g_string_replace(text, cases[i][0], cases[i][1], 1);
		ck_assert_msg(
		    plat_announce_read("i", text->str, text->len, &err) == NULL,
		    "case %u was accepted", i);
		ck_assert(g_error_matches(err, PT_ERROR, PT_ERROR_PARSE));
		g_clear_error(&err);
		g_string_free(text, TRUE);
	}
	ck_assert_ptr_null(plat_announce_read("i", "", 0, NULL));
	/* An empty body has no bytes to point to. */
	ck_assert_ptr_null(plat_announce_read("i", NULL, 0, &err));
	ck_assert(g_error_matches(err, PT_ERROR, PT_ERROR_PARSE));
	g_clear_error(&err);
	ck_assert_ptr_null(plat_announce_read("i", "\xff\xfe{}", 4, NULL));
}
END_TEST

/*
 * Guards against announcements of other writers that end the process: JSON that
 * is nested deeper than the stack of a recursive parser, and large numbers.
 */
START_TEST(odd_announcements_do_not_end_the_process)
{
	static const char *const values[] = { "65536", "1e999", "-1e999",
		"99999999999999999999999999", "1e308", "0.5" };
	static const char *const fields[] = { "\"slots\":12",
		"\"sequence\":4" };
	GError *err = NULL;
	GString *text;
	char *odd;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(fields) * G_N_ELEMENTS(values); i++) {
		text = g_string_new(announcement);
		odd =
		    g_strdup_printf("%.*s:%s", (int)strcspn(fields[i % 2], ":"),
			fields[i % 2], values[i / 2]);
		g_string_replace(text, fields[i % 2], odd, 1);
		plat_announce_free(
		    plat_announce_read("i", text->str, text->len, NULL));
		g_free(odd);
		g_string_free(text, TRUE);
	}
	for (i = 0; i < 3; i++) {
		text = g_string_new("{\"slots\":");
		odd = g_strnfill(DEPTH, i < 2 ? '[' : '{');
		g_string_append(text, odd);
		g_free(odd);
		odd = g_strnfill(i == 0 ? DEPTH : 0, ']');
		g_string_append_printf(text, "%s}", odd);
		g_free(odd);
		ck_assert_ptr_null(
		    plat_announce_read("i", text->str, text->len, &err));
		ck_assert(g_error_matches(err, PT_ERROR, PT_ERROR_PARSE));
		g_clear_error(&err);
		g_string_free(text, TRUE);
	}
}
END_TEST

/* Guards against crashes on corrupted configurations and announcements. */
START_TEST(corrupted_bodies)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	const char *const base[] = { announcement, config };
	struct rtab *t;
	GString *text;
	int i, j;

	for (i = 0; i < FUZZ_RUNS; i++) {
		text = g_string_new(base[i % 2]);
		for (j = g_rand_int_range(rand, 1, 5); j > 0; j--)
			text->str[g_rand_int_range(rand, 0, (gint)text->len)] =
			    "{}[]\":,0x\\\n-\xc3"[g_rand_int_range(
				rand, 0, 13)];
		plat_announce_free(
		    plat_announce_read("i", text->str, text->len, NULL));
		t = read_config(text->str, NULL);
		rtab_unref(t);
		g_string_free(text, TRUE);
	}
	g_rand_free(rand);
}
END_TEST

/* ---- header fields ---- */

static struct h1_head *
head_new(int status, const char *const *fields)
{
	struct h1_head *h = g_new0(struct h1_head, 1);
	struct h1_field f;

	h->refs = 1;
	h->status = status;
	h->fields = g_array_new(FALSE, FALSE, sizeof(struct h1_field));
	for (; *fields != NULL; fields += 2) {
		f.name = g_strdup(fields[0]);
		f.value = g_strdup(fields[1]);
		g_array_append_val(h->fields, f);
	}
	return h;
}

#define STATED "X-Primrosetide-Not-Executed", "1"
#define SIGNATURE "X-Primrosetide-Response-Signature", "s"

/*
 * Guards against a second run of a request: a response counts as "not run" only
 * if it says so explicitly, and neither a signature nor its status says that it
 * comes from a run.  A status that promises "not run" is no proof.
 */
START_TEST(not_run_is_explicit)
{
	static const struct {
		int status;
		const char *fields[5];
		enum plat_outcome outcome;
		gboolean is_signed, contradictory;
	} cases[] = {
		{ 503, { STATED, NULL }, PLAT_NOT_RUN, FALSE, FALSE },
		{ 408, { STATED, NULL }, PLAT_NOT_RUN, FALSE, FALSE },
		{ 429, { STATED, NULL }, PLAT_NOT_RUN, FALSE, FALSE },
		{ 400, { STATED, NULL }, PLAT_NOT_RUN, FALSE, FALSE },
		{ 421, { "X-Primrosetide-Instance-Id", "i", NULL },
		    PLAT_NOT_RUN, FALSE, FALSE },
		{ 503, { NULL }, PLAT_UNPROVED, FALSE, TRUE },
		{ 429, { NULL }, PLAT_UNPROVED, FALSE, TRUE },
		{ 408, { NULL }, PLAT_UNPROVED, FALSE, TRUE },
		{ 503, { SIGNATURE, NULL }, PLAT_UNPROVED, TRUE, TRUE },
		{ 421, { SIGNATURE, NULL }, PLAT_UNPROVED, TRUE, TRUE },
		{ 503, { SIGNATURE, STATED, NULL }, PLAT_UNPROVED, TRUE, TRUE },
		{ 500, { SIGNATURE, NULL }, PLAT_RAN, TRUE, FALSE },
		{ 404, { SIGNATURE, NULL }, PLAT_RAN, TRUE, FALSE },
		{ 500, { NULL }, PLAT_RAN, FALSE, FALSE },
		{ 500, { STATED, NULL }, PLAT_RAN, FALSE, TRUE },
		{ 504, { STATED, NULL }, PLAT_RAN, FALSE, TRUE },
		{ 200, { STATED, NULL }, PLAT_RAN, FALSE, TRUE },
		{ 200, { SIGNATURE, STATED, NULL }, PLAT_RAN, TRUE, TRUE },
		{ 200, { SIGNATURE, NULL }, PLAT_RAN, TRUE, FALSE },
	};
	struct plat_response p;
	struct h1_head *h;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		h = head_new(cases[i].status, cases[i].fields);
		plat_response_read(h, &p);
		ck_assert_int_eq(p.outcome, cases[i].outcome);
		ck_assert_int_eq(p.is_signed, cases[i].is_signed);
		ck_assert_int_eq(p.contradictory, cases[i].contradictory);
		h1_head_unref(h);
	}
}
END_TEST

/*
 * Guards against limits that are read as others than a server named, and
 * against a value that is no number that sets a limit or ends one.
 */
START_TEST(limits_of_servers)
{
	static const struct {
		const char *fields[5];
		double limit;
		gboolean bad;
	} cases[] = {
		{ { "Server-Limit", "17.7", NULL }, 17.7, FALSE },
		{ { "server-limit", "0", NULL }, 0, FALSE },
		{ { "Server-Limit", "1e9", NULL }, 1e9, FALSE },
		{ { "Server-Limit", "3", "Server-Limit", "2" }, 2, FALSE },
		{ { "Server-Limit", "x", "Server-Limit", "2" }, 2, TRUE },
		{ { "Server-Limit", "-1", NULL }, -1, TRUE },
		{ { "Server-Limit", "nan", NULL }, -1, TRUE },
		{ { "Server-Limit", "inf", NULL }, -1, TRUE },
		{ { "Server-Limit", "1e999", NULL }, -1, TRUE },
		{ { "Server-Limit", "0x10", NULL }, -1, TRUE },
		{ { "Server-Limit", "5 a", NULL }, -1, TRUE },
		{ { "Server-Limit", "", NULL }, -1, TRUE },
		{ { "Limit", "5", NULL }, -1, FALSE },
	};
	struct plat_response p;
	struct h1_head *h;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		h = head_new(200, cases[i].fields);
		plat_response_read(h, &p);
		ck_assert_double_eq(p.limit, cases[i].limit);
		ck_assert_int_eq(p.bad_limit != NULL, cases[i].bad);
		h1_head_unref(h);
	}
}
END_TEST

/*
 * Guards against deadlines that are parsed as later than given, and against
 * reserved header fields that a caller can set.
 */
START_TEST(request_fields)
{
	static const struct {
		const char *value;
		gint64 remaining;
	} cases[] = { { "1500", 1500000 }, { "0", 0 }, { "12.9", 12000 },
		{ "-5", -1 }, { "x", -1 }, { "5x", -1 },
		{ "99999999999", G_GINT64_CONSTANT(3600000000) } };
	const char *f[] = { "x-primrosetide-deadline-ms", NULL,
		"X-Primrosetide-Attempt-Id", "abc", NULL };
	struct plat_request r;
	struct h1_head *h;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		f[1] = cases[i].value;
		h = head_new(0, f);
		plat_request_read(h, &r);
		ck_assert_int_eq(r.remaining, cases[i].remaining);
		ck_assert_str_eq(r.attempt_id, "abc");
		h1_head_unref(h);
	}
	ck_assert(plat_request_reserved("x-primrosetide-caller-service"));
	ck_assert(plat_request_reserved("X-Primrosetide-Target-Instance"));
	ck_assert(!plat_request_reserved("X-Primrosetide-Attempt-Id"));
}
END_TEST

/* ---- store ---- */

static struct {
	GSocket *listener, *peer;
	struct plat_store *store;
	int calls; /* completed */
	int code; /* of the last call's error, -1: none */
	gint64 next, first;
	gint64 offset; /* of the last record */
	gboolean expired, whole;
	guint records;
	char *after;
	char *keys; /* "key=value;" of each record, "key;" if deleted */
} st;

static void
on_records(void *ctx, const struct plat_records *r, const GError *err)
{
	GString *s = g_string_new(NULL);
	const struct plat_record *x;
	guint i;

	st.calls++;
	st.code = err != NULL ? err->code : -1;
	for (i = 0; r != NULL && i < r->records->len; i++) {
		x = &g_array_index(r->records, struct plat_record, i);
		st.offset = x->offset;
		g_string_append(s, x->key);
		if (x->value != NULL)
			g_string_append_printf(s, "=%.*s",
			    (int)g_bytes_get_size(x->value),
			    (const char *)g_bytes_get_data(x->value, NULL));
		g_string_append_c(s, ';');
	}
	if (r != NULL) {
		st.next = r->next;
		st.first = r->first;
		st.expired = r->expired;
		st.whole = r->whole;
		st.records = r->records->len;
		g_free(st.after);
		st.after = g_strdup(r->after);
	}
	g_free(st.keys);
	st.keys = g_string_free(s, FALSE);
}

static void
on_put(void *ctx, const GError *err)
{
	st.calls++;
	st.code = err != NULL ? err->code : -1;
}

static void
store_setup(void)
{
	struct plat_addr a = { (char *)(guintptr)HOST, 0 };

	memset(&st, 0, sizeof(st));
	st.listener = rpcio_bind(G_SOCKET_TYPE_STREAM, HOST, 0, TRUE, NULL);
	a.port = rpcio_local_port(st.listener);
	st.store = plat_store_new(&a);
}

static void
store_teardown(void)
{
	plat_store_free(st.store);
	if (st.peer != NULL)
		loop_close(st.peer);
	loop_close(st.listener);
	g_free(st.keys);
	g_free(st.after);
}

/*
 * Accepts a connection for the next call, responds and returns the request.
 * "fields" follow the status line.
 */
static char *
respond_with(const char *status, const char *fields, const void *body, gsize n)
{
	char *request, *head;

	if (st.peer != NULL)
		loop_close(st.peer);
	UNTIL((st.peer = g_socket_accept(st.listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(st.peer, FALSE);
	request = loop_expect(st.peer, "\r\n\r\n");
	head = g_strdup_printf(
	    "HTTP/1.1 %s\r\n%sConnection: close\r\nContent-Length: %u\r\n\r\n",
	    status, fields, (guint)n);
	loop_send(st.peer, head);
	g_free(head);
	if (n > 0)
		ck_assert_int_eq(
		    g_socket_send(st.peer, body, n, NULL, NULL), (gssize)n);
	return request;
}

static char *
respond(const char *status, const void *body, gsize n)
{
	return respond_with(status, "", body, n);
}

/* Guards against records that are misparsed, or lost between two pages. */
START_TEST(newest_records)
{
	static const char body[] =
	    "{\"items\":[{\"key\":\"config\",\"value\":\"YWJj\",\"offset\":4},"
	    "{\"key\":7},3,{\"key\":\"z\",\"value\":\"\",\"offset\":5},"
	    "{\"key\":\"y\",\"value\":\"eA==\",\"offset\":6}],"
	    "\"hasMore\":true,\"end\":9}";
	char *request;

	plat_store_read_newest(st.store, "t", "a b", 5000, on_records, NULL);
	request = respond("200 OK", body, strlen(body));
	ck_assert_ptr_nonnull(
	    strstr(request, "GET /-/log-newest?topic=t&part=0&after=a%20b "));
	g_free(request);
	UNTIL(st.calls == 1);
	ck_assert_int_eq(st.code, -1);
	ck_assert_str_eq(st.keys, "config=abc;y=x;");
	ck_assert_str_eq(st.after, "y");
	ck_assert_int_eq(st.next, 9);
	ck_assert_int_eq(st.offset, 6);
}
END_TEST

/* Bytes before the records of a read. */
#define HEADER_SIZE 16

static const char log_body[] = "\0\0\0\0\0\0\0\x07" /* end */
			       "\0\0\0\0\0\0\0\x03" /* first offset held */
			       "\0\0\0\x05\x02"
			       "abXY"
			       "\0\0\0\x02\x01"
			       "c"
			       "\0\0\0\x09\x01"
			       "cut";

/*
 * Guards against a next offset beyond the records that were received: the last
 * record of a response may be truncated.
 */
START_TEST(records_of_a_log)
{
	char *request;

	plat_store_read(st.store, "t", 4, 8000, 9000, on_records, NULL);
	request = respond("200 OK", log_body, sizeof(log_body) - 1);
	ck_assert_ptr_nonnull(strstr(
	    request, "GET /-/log-read?topic=t&part=0&from=4&waitMs=8000 "));
	g_free(request);
	UNTIL(st.calls == 1);
	ck_assert_str_eq(st.keys, "ab=XY;c;");
	ck_assert_int_eq(st.next, 6);
	ck_assert_int_eq(st.first, 3);
	ck_assert_int_eq(st.offset, 5);
	ck_assert(!st.expired);
	plat_store_read(st.store, "t", 1, 0, 9000, on_records, NULL);
	g_free(respond("410 Gone", "{}", 2));
	UNTIL(st.calls == 2);
	ck_assert(st.expired);
	ck_assert_int_eq(st.code, -1);
	ck_assert_int_eq(st.first, -1);
	plat_store_read(st.store, "t", 1, 0, 9000, on_records, NULL);
	g_free(respond("410 Gone", "{\"first\":3}", 11));
	UNTIL(st.calls == 3);
	ck_assert(st.expired);
	ck_assert_int_eq(st.first, 3);
}
END_TEST

/* Sends a response that may be larger than the socket takes at once. */
static void
send_large(const GString *body)
{
	gsize sent = 0;
	gssize n;

	UNTIL((st.peer = g_socket_accept(st.listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(st.peer, FALSE);
	g_free(loop_expect(st.peer, "\r\n\r\n"));
	while (sent < body->len) {
		n = g_socket_send(
		    st.peer, body->str + sent, body->len - sent, NULL, NULL);
		sent += (gsize)MAX(n, 0);
		g_main_context_iteration(NULL, FALSE);
	}
}

/*
 * Guards against an answer of the store that takes a hundred times its size
 * once it is parsed, and ends the process for lack of memory.
 */
START_TEST(answer_of_many_values_fails)
{
	GString *s = g_string_new(NULL), *head = g_string_new(NULL);
	guint i;

	g_string_append(s, "{\"end\":1,\"items\":[");
	for (i = 0; i < PT_JSON_VALUES; i++)
		g_string_append(s, "{},");
	g_string_append(s, "{}]}");
	g_string_printf(head, "HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n",
	    (guint)s->len);
	g_string_prepend(s, head->str);
	plat_store_read_newest(st.store, "t", NULL, 60000, on_records, NULL);
	send_large(s);
	UNTIL(st.calls == 1);
	ck_assert_int_eq(st.code, PT_ERROR_PARSE);
	g_string_free(s, TRUE);
	g_string_free(head, TRUE);
}
END_TEST

/*
 * Guards against the same with records of a few bytes, and against the loss of
 * those that are left for the next read.
 */
START_TEST(many_records_are_taken_in_parts)
{
	const guint n = 40000;
	GString *s = g_string_new(NULL);
	guint i;

	g_string_printf(s, "HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n",
	    HEADER_SIZE + n * 6);
	g_string_append_len(s, "\0\0\0\0\0\0\xff\xff\0\0\0\0\0\0\0\0", 16);
	for (i = 0; i < n; i++)
		g_string_append_len(s, "\0\0\0\x02\x01k", 6);
	plat_store_read(st.store, "t", 7, 0, 60000, on_records, NULL);
	send_large(s);
	UNTIL(st.calls == 1);
	ck_assert_int_eq(st.code, -1);
	ck_assert_uint_ge(st.records, 1000);
	ck_assert_uint_lt(st.records, n);
	ck_assert_int_eq(st.next, 7 + st.records);
	ck_assert(!st.whole);
	g_string_free(s, TRUE);
}
END_TEST

/*
 * Guards against an answer from before the store was restored that sets a
 * position or acknowledges a write, and against a read beyond the end of the
 * log that counts as up to date.
 */
START_TEST(answers_of_a_former_era_fail)
{
	static const struct {
		const char *fields;
		gint64 era; /* newest, after it */
		int code;
	} cases[] = { { "", -1, -1 }, { "Store-Era: 3\r\n", 3, -1 },
		{ "Store-Era: x\r\n", 3, -1 }, { "", 3, -1 },
		{ "store-era: 5\r\n", 5, -1 },
		{ "Store-Era: 4\r\n", 5, PT_ERROR_UNKNOWN },
		{ "Store-Era: -9\r\n", 5, -1 }, { "Store-Era: 5\r\n", 5, -1 } };
	GBytes *v = g_bytes_new_static("v", 1);
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		plat_store_read(st.store, "t", 4, 0, 9000, on_records, NULL);
		g_free(respond_with(
		    "200 OK", cases[i].fields, log_body, sizeof(log_body) - 1));
		UNTIL(st.calls == 2 * (int)i + 1);
		ck_assert_int_eq(st.code, cases[i].code);
		plat_store_put(st.store, "t", "k", v, 5000, on_put, NULL);
		g_free(respond_with("200 OK", cases[i].fields, "{}", 2));
		UNTIL(st.calls == 2 * (int)i + 2);
		ck_assert_int_eq(st.code, cases[i].code);
		ck_assert_int_eq(plat_store_era(st.store), cases[i].era);
	}
	plat_store_read(st.store, "t", 8, 0, 9000, on_records, NULL);
	g_free(respond("200 OK", log_body, HEADER_SIZE));
	UNTIL(st.calls == 2 * (int)i + 1);
	ck_assert(st.expired);
	g_bytes_unref(v);
}
END_TEST

/*
 * Guards against a write that is reported as failed although it may have taken
 * effect, because its response was lost.
 */
START_TEST(errors_of_a_put)
{
	static const struct {
		const char *status;
		int code;
	} cases[] = { { "200 OK", -1 }, { "429 No", PT_ERROR_BUSY },
		{ "503 No", PT_ERROR_BUSY }, { "500 No", PT_ERROR_PROTOCOL } };
	GBytes *v = g_bytes_new_static("v", 1);
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		plat_store_put(st.store, "t", "k", v, 5000, on_put, NULL);
		g_free(respond(cases[i].status, "{}", 2));
		UNTIL(st.calls == (int)i + 1);
		ck_assert_int_eq(st.code, cases[i].code);
	}
	/* The connection is reset before the response. */
	loop_close(st.peer);
	plat_store_put(st.store, "t", "k", v, 5000, on_put, NULL);
	UNTIL((st.peer = g_socket_accept(st.listener, NULL, NULL)) != NULL);
	g_socket_set_blocking(st.peer, FALSE);
	g_free(loop_expect(st.peer, "\r\n\r\n"));
	loop_reset(st.peer);
	st.peer = NULL;
	UNTIL(st.calls == 5);
	ck_assert_int_eq(st.code, PT_ERROR_UNKNOWN);
	/* No process listens. */
	g_socket_close(st.listener, NULL);
	plat_store_put(st.store, "t", "k", v, 5000, on_put, NULL);
	UNTIL(st.calls == 6);
	ck_assert_int_eq(st.code, PT_ERROR_UNREACHABLE);
	g_bytes_unref(v);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("platform");
	TCase *t = tcase_create("translation"), *store = tcase_create("store");

	tcase_add_test(t, settings_are_translated);
	tcase_add_test(t, invalid_settings_are_refused);
	tcase_add_test(t, configurations_are_translated);
	tcase_add_test(t, organisations_are_translated);
	tcase_add_test(t, invalid_organisations_are_refused);
	tcase_add_test(t, invalid_configurations_are_refused);
	tcase_add_test(t, members_in_any_order);
	tcase_add_test(t, strings_are_not_truncated);
	tcase_add_test(t, announcements_are_translated);
	tcase_add_test(t, invalid_announcements_are_refused);
	tcase_add_test(t, odd_announcements_do_not_end_the_process);
	tcase_add_test(t, corrupted_bodies);
	tcase_add_test(t, not_run_is_explicit);
	tcase_add_test(t, request_fields);
	tcase_add_test(t, limits_of_servers);
	suite_add_tcase(suite, t);
	tcase_add_checked_fixture(store, store_setup, store_teardown);
	tcase_add_test(store, newest_records);
	tcase_add_test(store, records_of_a_log);
	tcase_add_test(store, answer_of_many_values_fails);
	tcase_add_test(store, many_records_are_taken_in_parts);
	tcase_add_test(store, answers_of_a_former_era_fail);
	tcase_add_test(store, errors_of_a_put);
	suite_add_tcase(suite, store);
	return suite_run(suite);
}
