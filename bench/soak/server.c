/* Backend servers: announcements, slots, drains, incarnations and checks. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "soak.h"

#define SLOTS 6
#define ANNOUNCE_US (500 * G_TIME_SPAN_MILLISECOND)
#define ANNOUNCE_TIMEOUT_MS 1000
/* Time for which requests may arrive after an acknowledged drain, and slack. */
#define DRAIN_US SOAK_SECOND
#define SLACK_US (300 * G_TIME_SPAN_MILLISECOND)
/* Time from the acknowledgement of a drain to the replacement. */
#define EXIT_DELAY_US (2 * SOAK_SECOND)
/* With faults, one run in so many gets a status of refusals without proof. */
#define FALSE_REFUSALS_DIV 20
#define WORK_MIN_MS 2
#define WORK_MAX_MS 60

/* A running request. */
struct job {
	struct server *server;
	struct h1_request *request;
	guint timer; /* end of the service time */
};

struct server {
	struct soak *soak;
	guint i;
	char *host, *id;
	guint incarnation, sequence, running;
	guint answered; /* runs */
	gint64 process_start;
	struct h1_server *http;
	struct h1_pool *control;
	struct h1_fetch *announcement;
	guint timer, exit_timer;
	gboolean draining;
	gint64 acked; /* time at which the drain was acknowledged, 0: none */
};

const char *
server_service(guint i)
{
	return i % SOAK_SERVICES == 0 ? "svc-a" : "svc-b";
}

static void
job_free(struct job *j)
{
	j->server->running--;
	sys_cancel(&j->timer);
	g_free(j);
}

static void
reply(struct h1_request *r, int status, const char *name, const char *value,
    const char *body)
{
	const char *id = h1_head_get(r->head, "X-Primrosetide-Attempt-Id");
	struct h1_field f[] = { { (char *)name, (char *)value },
		{ (char *)"X-Primrosetide-Attempt-Id", (char *)id } };

	h1_server_respond(r, &(struct h1_response){ .status = status,
				 .fields = f,
				 .n_fields = id != NULL ? 2 : 1,
				 .body = body,
				 .len = strlen(body) });
}

/* Statuses of a faulty server for requests that it ran. */
static const struct {
	int status;
	gboolean is_signed;
} false_refusals[] = { { 503, FALSE }, { 503, TRUE }, { 429, TRUE },
	{ 408, FALSE }, { 421, TRUE } };

static void
job_done(void *arg)
{
	struct job *j = arg;
	struct server *s = j->server;
	struct h1_request *r = j->request;
	char *body =
	    soak_body(h1_head_get(r->head, "X-Primrosetide-Attempt-Id"));
	gboolean is_signed = TRUE;
	int status = 200;
	guint i;

	if (!s->soak->planned_only && !s->soak->recovery &&
	    ++s->answered % FALSE_REFUSALS_DIV == 0) {
		i = s->answered / FALSE_REFUSALS_DIV %
		    G_N_ELEMENTS(false_refusals);
		status = false_refusals[i].status;
		is_signed = false_refusals[i].is_signed;
	}
	job_free(j);
	reply(r, status,
	    is_signed ? "X-Primrosetide-Response-Signature" : "X-Unsigned",
	    body, body);
	g_free(body);
}

/* Checks the guarantees that only the server can observe. */
static void
check_run(struct server *s, const struct h1_head *h, const char *id)
{
	struct outcome *o = soak_outcome(s->soak, id);
	const char *caller = h1_head_get(h, "X-Primrosetide-Caller-Service");
	gboolean once = strcmp(h->method, "POST") == 0;

	o->runs++;
	if (once && o->runs > 1)
		soak_violation(
		    s->soak, "TWICE %s: executed %u times", id, o->runs);
	if (once && o->refused)
		soak_violation(
		    s->soak, "REFUSED %s: executed after it was refused", id);
	if (caller == NULL || g_str_has_prefix(caller, "forged"))
		soak_violation(s->soak,
		    "UNASKED %s: caller service missing or forged", id);
	if (s->acked != 0 &&
	    g_get_monotonic_time() - s->acked > DRAIN_US + SLACK_US)
		soak_violation(s->soak,
		    "DRAIN %s: sent to %s after its drain time", id, s->id);
}

static void
start_job(struct server *s, struct h1_request *r)
{
	struct job *j = g_new0(struct job, 1);

	s->running++;
	j->server = s;
	j->request = r;
	r->data = j;
	j->timer = sys_after(
	    g_rand_int_range(s->soak->rand, WORK_MIN_MS, WORK_MAX_MS) *
		G_TIME_SPAN_MILLISECOND,
	    job_done, j);
}

static void
on_request(void *ctx, struct h1_request *r)
{
	struct server *s = ctx;
	const char *id = h1_head_get(r->head, "X-Primrosetide-Attempt-Id");
	const char *target =
	    h1_head_get(r->head, "X-Primrosetide-Target-Instance");

	if (id == NULL)
		reply(r, 400, "X-Primrosetide-Not-Executed", "1", "");
	else if (g_strcmp0(target, s->id) != 0)
		reply(r, 421, "X-Primrosetide-Instance-Id", s->id, "");
	else if (s->running >= SLOTS)
		reply(r, 503, "X-Primrosetide-Not-Executed", "1", "");
	else {
		check_run(s, r->head, id);
		start_job(s, r);
	}
}

static void
on_closed(void *ctx, struct h1_request *r)
{
	job_free(r->data);
}

static void
on_rejected(void *ctx, const char *why)
{
	struct server *s = ctx;

	soak_violation(s->soak, "UNASKED malformed request: %s", why);
}

static const struct h1_server_ops ops = {
	.request = on_request, .closed = on_closed, .rejected = on_rejected
};

/* ---- announcements ---- */

static void send_announcement(struct server *, const char *method);

static void
announce(void *arg)
{
	struct server *s = arg;

	s->timer = 0;
	send_announcement(s, "PUT");
}

static void
new_incarnation(struct server *s)
{
	g_free(s->id);
	s->id = g_strdup_printf("i-%u-%u", s->i, ++s->incarnation);
	s->process_start = g_get_real_time() / 1000;
	s->sequence = 0;
	s->draining = FALSE;
	s->acked = 0;
}

static void
replace(void *arg)
{
	struct server *s = arg;

	s->exit_timer = 0;
	h1_server_close(s->http);
	new_incarnation(s);
}

static void
announce_done(void *ctx, const struct h1_head *h, const GByteArray *body,
    const GError *err)
{
	struct server *s = ctx;

	s->announcement = NULL;
	if (err == NULL && h->status == 200 && s->draining && s->acked == 0) {
		s->acked = g_get_monotonic_time();
		s->exit_timer = sys_after(EXIT_DELAY_US, replace, s);
	}
	s->timer = sys_after(ANNOUNCE_US, announce, s);
}

static void
send_announcement(struct server *s, const char *method)
{
	GString *out = g_string_new(NULL);
	GBytes *request;
	char *body, *path;

	body = g_strdup_printf("{\"service\":\"%s\",\"address\":\"%s:%d\","
			       "\"zone\":\"z\",\"version\":\"v1\",\"slots\":%d,"
			       "\"state\":\"%s\",\"coldLeftS\":0,\"sequence\":"
			       "%u,\"born\":%" G_GINT64_FORMAT "}",
	    server_service(s->i), s->host, SOAK_BACKEND, SLOTS,
	    s->draining ? "draining" : "in_service", ++s->sequence,
	    s->process_start);
	path = g_strdup_printf("/-/instances/%s", s->id);
	h1_put_request(out, method, path);
	h1_put(out, "Host", "control");
	h1_put_int(out, "Content-Length", (gint64)strlen(body));
	h1_put_end(out);
	g_string_append(out, body);
	request = g_string_free_to_bytes(out);
	s->announcement = h1_fetch_new(
	    s->control, request, ANNOUNCE_TIMEOUT_MS, 4096, announce_done, s);
	g_bytes_unref(request);
	g_free(path);
	g_free(body);
}

/* ---- start, restart, drain ---- */

struct server *
server_new(struct soak *soak, guint i, GError **err)
{
	struct server *s = g_new0(struct server, 1);
	struct h1_pool_opts o = {
		.port = SOAK_CONTROL, .connect_ms = 300, .idle_ms = 5000
	};
	struct h1_server_opts listen = {
		.port = SOAK_SERVER, .ops = &ops, .ctx = s
	};

	s->soak = soak;
	s->i = i;
	s->host = soak_host(i);
	o.host = s->host;
	s->control = h1_pool_new(&o);
	new_incarnation(s);
	listen.host = s->host;
	s->http = h1_server_new(&listen, err);
	if (s->http == NULL) {
		server_free(s);
		return NULL;
	}
	s->timer = sys_after(ANNOUNCE_US, announce, s);
	return s;
}

void
server_restart(struct server *s)
{
	sys_cancel(&s->exit_timer);
	replace(s);
}

void
server_drain(struct server *s)
{
	s->draining = TRUE;
}

void
server_free(struct server *s)
{
	if (s == NULL)
		return;
	h1_fetch_cancel(s->announcement);
	sys_cancel(&s->timer);
	sys_cancel(&s->exit_timer);
	h1_server_free(s->http);
	h1_pool_free(s->control);
	g_free(s->host);
	g_free(s->id);
	g_free(s);
}
