/* Admin port: metrics, state and announcements of the backend server. */
#include <glib.h>
#include <gio/gio.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "httpio.h"
#include "conf.h"
#include "memb.h"
#include "dist.h"
#include "call.h"
#include "settings.h"
#include "node.h"

#define BODY_MAX 16384
#define QUARANTINE "/v1/quarantine"

struct admin {
	struct node *node;
	struct httpio_server *server;
};

static const char *const states[] = { "booting", "warming", "serving",
	"draining", "left" };

static void
answer(struct httpio_req *r, guint status, const char *type, GString *body)
{
	struct httpio_header h = { "Content-Type", type };

	httpio_response(r, status, &h, 1, body->str, body->len);
	g_string_free(body, TRUE);
}

static void
put_rpc(GString *out, const struct rpcio_stats *s)
{
	const struct rpcio_proc *p;
	guint i;

	g_string_append(out, "# TYPE ptnode_rpc_bytes_total counter\n"
			     "# TYPE ptnode_rpc_calls_total counter\n");
	for (i = 0; (p = rpcio_proc(i)) != NULL; i++)
		g_string_append_printf(out,
		    "ptnode_rpc_bytes_total{procedure=\"%s\","
		    "direction=\"in\"} %" G_GUINT64_FORMAT "\n"
		    "ptnode_rpc_bytes_total{procedure=\"%s\","
		    "direction=\"out\"} %" G_GUINT64_FORMAT "\n"
		    "ptnode_rpc_calls_total{procedure=\"%s\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    p->name, s->in[i], p->name, s->out[i], p->name,
		    s->calls[i]);
	g_string_append_printf(out,
	    "# TYPE ptnode_rpc_malformed_total counter\n"
	    "ptnode_rpc_malformed_total %" G_GUINT64_FORMAT "\n",
	    s->malformed);
}

static void
put_control_kind(GString *out, const char *kind, guint64 in, guint64 sent)
{
	g_string_append_printf(out,
	    "ptnode_control_bytes_total{kind=\"%s\",direction=\"in\"} "
	    "%" G_GUINT64_FORMAT "\n"
	    "ptnode_control_bytes_total{kind=\"%s\",direction=\"out\"} "
	    "%" G_GUINT64_FORMAT "\n",
	    kind, in, kind, sent);
}

/* Appends the bytes of control traffic by kind and the requests to the log. */
static void
put_control_traffic(GString *out, struct node *n)
{
	const struct rpcio_stats *s = &n->rpc_stats;
	struct httpio_log_stats l = { 0 };
	guint64 in = 0, sent = 0;

	if (n->log_client != NULL)
		l = httpio_log_stats(n->log_client);
	rpcio_dgram_bytes(n->dgram_socket, &in, &sent);
	g_string_append(out, "# TYPE ptnode_control_bytes_total counter\n");
	put_control_kind(
	    out, "gossip", in + s->in[PT_MEMBERS], sent + s->out[PT_MEMBERS]);
	put_control_kind(out, "sync", s->in[PT_SYNC] + s->in[PT_SNAP],
	    s->out[PT_SYNC] + s->out[PT_SNAP]);
	put_control_kind(out, "acks", s->in[PT_ACKED], s->out[PT_ACKED]);
	put_control_kind(out, "log", l.received, l.sent);
	g_string_append_printf(out,
	    "# TYPE ptnode_log_requests_total counter\n"
	    "ptnode_log_requests_total %" G_GUINT64_FORMAT "\n",
	    l.requests);
}

static void
put_node(GString *out, struct node *n)
{
	const struct memb_stats *m = memb_stats(n->memb);
	const char *parent = dist_parent(n->dist);

	g_string_append_printf(out,
	    "# TYPE ptnode_reader gauge\nptnode_reader %d\n"
	    "# TYPE ptnode_parent gauge\nptnode_parent{name=\"%s\"} %d\n",
	    dist_is_reader(n->dist), parent != NULL ? parent : "",
	    parent != NULL);
	g_string_append_printf(out,
	    "# TYPE ptnode_config_version gauge\n"
	    "ptnode_config_version %" G_GINT64_FORMAT "\n"
	    "# TYPE ptnode_config_position gauge\n"
	    "ptnode_config_position %" G_GINT64_FORMAT "\n"
	    "# TYPE ptnode_state gauge\nptnode_state %d\n"
	    "# TYPE ptnode_members gauge\nptnode_members %u\n"
	    "# TYPE ptnode_members_suspected_total counter\n"
	    "ptnode_members_suspected_total %" G_GUINT64_FORMAT "\n"
	    "# TYPE ptnode_gossip_malformed_total counter\n"
	    "ptnode_gossip_malformed_total %" G_GUINT64_FORMAT "\n"
	    "# TYPE ptnode_announcements_bad_total counter\n"
	    "ptnode_announcements_bad_total %" G_GUINT64_FORMAT "\n"
	    "# TYPE ptnode_rpc_refused_total counter\n"
	    "ptnode_rpc_refused_total %" G_GUINT64_FORMAT "\n",
	    conf_version(n->conf), conf_position(n->conf),
	    memb_self(n->memb)->state, memb_count(n->memb), m->suspected,
	    m->malformed, n->stats.bad_announcements, n->stats.bad_requests);
}

static void
put_faults(GString *out)
{
	guint i;

	g_string_append(out, "# TYPE ptnode_response_faults_total counter\n");
	for (i = H1_FAULT_NONE + 1; i < H1_FAULT_LAST; i++)
		g_string_append_printf(out,
		    "ptnode_response_faults_total{fault=\"%s\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    h1_fault_name(i), h1_faults(i));
}

static void
metrics(struct node *n, struct httpio_req *r)
{
	GString *out = g_string_new(NULL);

	put_node(out, n);
	put_rpc(out, &n->rpc_stats);
	put_control_traffic(out, n);
	entry_metrics(n->entry, out);
	upstream_metrics(n->upstream, out);
	quarantine_metrics(n->quarantine, out);
	put_faults(out);
	answer(r, 200, "text/plain; version=0.0.4", out);
}

static void
state(struct node *n, struct httpio_req *r)
{
	const struct memb_member *m = memb_self(n->memb);
	GString *out = g_string_new(NULL);

	g_string_printf(out,
	    "{\"instance\":\"%s\",\"state\":\"%s\",\"ready\":%s,"
	    "\"version\":%" G_GINT64_FORMAT ",\"position\":%" G_GINT64_FORMAT
	    ",\"members\":%u,\"service\":\"%s\"}\n",
	    n->set.instance, states[MIN(m->state, PT_LEFT)],
	    n->ready ? "true" : "false", conf_version(n->conf),
	    conf_position(n->conf), memb_count(n->memb), m->service);
	answer(r, 200, "application/json", out);
}

static void
announce(struct node *n, struct httpio_req *r)
{
	GError *err = NULL;
	const char *body;
	gsize len;

	body = httpio_req_body(r, &len);
	if (backend_apply(n, body != NULL ? body : "", len, &err)) {
		httpio_response(r, 204, NULL, 0, NULL, 0);
		return;
	}
	answer(r, 400, "text/plain; charset=utf-8", g_string_new(err->message));
	g_error_free(err);
}

static void
lift(struct node *n, struct httpio_req *r, const char *digest)
{
	GError *err = NULL;

	if (quarantine_lift(n->quarantine, digest, &err)) {
		httpio_response(r, 204, NULL, 0, NULL, 0);
		return;
	}
	answer(r, g_error_matches(err, PT_ERROR, PT_ERROR_PARSE) ? 400 : 404,
	    "text/plain; charset=utf-8", g_string_new(err->message));
	g_error_free(err);
}

static void
quarantine(struct node *n, struct httpio_req *r)
{
	GString *out = g_string_new(NULL);

	quarantine_list(n->quarantine, out);
	answer(r, 200, "text/plain; charset=utf-8", out);
}

static void
on_request(void *ctx, struct httpio_req *r)
{
	struct node *n = ((struct admin *)ctx)->node;
	const char *method = httpio_req_method(r), *path = httpio_req_path(r);

	if (strcmp(path, "/metrics") == 0 && strcmp(method, "GET") == 0)
		metrics(n, r);
	else if (strcmp(path, "/v1/state") == 0 && strcmp(method, "GET") == 0)
		state(n, r);
	else if (strcmp(path, "/v1/backend") == 0 && strcmp(method, "PUT") == 0)
		announce(n, r);
	else if (strcmp(path, QUARANTINE) == 0 && strcmp(method, "GET") == 0)
		quarantine(n, r);
	else if (g_str_has_prefix(path, QUARANTINE "/") &&
		 strcmp(method, "DELETE") == 0)
		lift(n, r, path + strlen(QUARANTINE "/"));
	else
		answer(r, 404, "text/plain; charset=utf-8",
		    g_string_new("use GET /metrics, GET /v1/state, PUT "
				 "/v1/backend, GET /v1/quarantine or DELETE "
				 "/v1/quarantine/DIGEST\n"));
}

struct admin *
admin_new(struct node *n, GError **err)
{
	struct httpio_server_opts o = { .host = n->set.host,
		.port = (guint)n->set.admin_port,
		.body_max = BODY_MAX,
		.request = on_request };
	struct admin *a;

	a = g_new0(struct admin, 1);
	a->node = n;
	o.ctx = a;
	a->server = httpio_server_new(&o, err);
	if (a->server == NULL)
		g_clear_pointer(&a, g_free);
	return a;
}

void
admin_free(struct admin *a)
{
	if (a == NULL)
		return;
	httpio_server_free(a->server);
	g_free(a);
}
