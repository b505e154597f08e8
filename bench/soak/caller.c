/* A caller: concurrent requests over persistent connections, with checks. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "soak.h"

#define CONCURRENT 3
#define DEADLINE_MS 1000
/* Time for which the client waits after the deadline of its request. */
#define TIMEOUT_SLACK_MS 3000
#define PAUSE_US (15 * G_TIME_SPAN_MILLISECOND)

struct slot {
	struct caller *caller;
	struct h1_fetch *fetch;
	char *id;
	gboolean once;
	guint timer;
};

struct caller {
	struct soak *soak;
	guint i, n;
	struct h1_pool *pool;
	char *host;
	struct slot slots[CONCURRENT];
};

static void send_next(void *);

static void
check_answer(struct slot *a, const struct h1_head *h, const GByteArray *body)
{
	struct soak *s = a->caller->soak;
	struct outcome *o = soak_outcome(s, a->id);
	char *expected = soak_body(a->id);
	gboolean same = body->len == strlen(expected) &&
			memcmp(body->data, expected, body->len) == 0;

	if (h->status == 200) {
		s->ok++;
		s->recovery_ok += s->recovery;
		if (!same || h1_head_get(h, "X-Primrosetide-Response-"
					    "Signature") == NULL)
			soak_violation(
			    s, "MIXED %s: wrong body or no signature", a->id);
	} else if (h->status == 503 || h->status == 429) {
		s->refused++;
		o->refused = TRUE;
		if (a->once && o->runs > 0)
			soak_violation(s,
			    "REFUSED %s: refused after it was executed", a->id);
	} else if (h->status < 500)
		soak_violation(
		    s, "DENIED %s: unexpected status %d", a->id, h->status);
	else
		s->failed++;
	g_free(expected);
}

/* Planned events alone never interrupt a request that has reached a server. */
static void
check_failed(struct slot *a)
{
	struct soak *s = a->caller->soak;

	s->failed++;
	if (s->planned_only && soak_outcome(s, a->id)->runs > 0)
		soak_violation(
		    s, "LOST %s: interrupted at node %u", a->id, a->caller->i);
}

static void
answered(void *ctx, const struct h1_head *h, const GByteArray *body,
    const GError *err)
{
	struct slot *a = ctx;

	a->fetch = NULL;
	if (err != NULL)
		check_failed(a);
	else
		check_answer(a, h, body);
	a->timer = sys_after(PAUSE_US, send_next, a);
}

static void
send_next(void *arg)
{
	struct slot *a = arg;
	struct caller *c = a->caller;
	GString *s = g_string_new(NULL);
	GBytes *request;

	a->timer = 0;
	a->once = g_rand_boolean(c->soak->rand);
	g_free(a->id);
	a->id = g_strdup_printf("r-%u-%u", c->i, c->n++);
	c->soak->requests++;
	c->soak->recovery_requests += c->soak->recovery;
	h1_put_request(
	    s, a->once ? "POST" : "GET", a->once ? "/once/x" : "/many/x");
	h1_put(s, "Host", "mesh.example");
	h1_put(s, "X-Primrosetide-Attempt-Id", a->id);
	h1_put_int(s, "X-Primrosetide-Deadline-Ms", DEADLINE_MS);
	h1_put(s, "X-Primrosetide-Caller-Service", "forged");
	if (a->once)
		h1_put_int(s, "Content-Length", 4);
	h1_put_end(s);
	if (a->once)
		g_string_append(s, "body");
	request = g_string_free_to_bytes(s);
	a->fetch = h1_fetch_new(c->pool, request,
	    DEADLINE_MS + TIMEOUT_SLACK_MS, 65536, answered, a);
	g_bytes_unref(request);
}

struct caller *
caller_new(struct soak *soak, guint i)
{
	struct caller *c = g_new0(struct caller, 1);
	struct h1_pool_opts o = {
		.port = SOAK_OUTBOUND, .connect_ms = 1000, .idle_ms = 8000
	};
	guint k;

	c->soak = soak;
	c->i = i;
	c->host = soak_host(i);
	o.host = c->host;
	c->pool = h1_pool_new(&o);
	for (k = 0; k < CONCURRENT; k++) {
		c->slots[k].caller = c;
		c->slots[k].timer =
		    sys_after(PAUSE_US, send_next, &c->slots[k]);
	}
	return c;
}

void
caller_free(struct caller *c)
{
	guint k;

	if (c == NULL)
		return;
	for (k = 0; k < CONCURRENT; k++) {
		h1_fetch_cancel(c->slots[k].fetch);
		sys_cancel(&c->slots[k].timer);
		g_free(c->slots[k].id);
	}
	h1_pool_free(c->pool);
	g_free(c->host);
	g_free(c);
}
