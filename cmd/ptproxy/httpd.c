/* HTTP server of the ports for probes, announcements and metrics. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "memb.h"
#include "call.h"
#include "limit.h"
#include "platform.h"
#include "proxy.h"

/* Largest body of a request, in bytes. */
#define BODY_MAX (64 * 1024)
/* A connection without traffic is closed after this time. */
#define IDLE_US (60 * G_TIME_SPAN_SECOND)

struct httpd {
	struct proxy *proxy;
	httpd_handler handler;
	struct h1_server *server;
};

static void
on_request(void *ctx, struct h1_request *r)
{
	struct httpd *s = ctx;
	struct httpd_response res = { .status = 404 };
	struct h1_field type = { (char *)"Content-Type", NULL };
	struct h1_response out = { 0 };

	s->handler(s->proxy, r->head, r->body, &res);
	type.value = (char *)res.type;
	out.status = res.status;
	out.fields = &type;
	out.n_fields = res.type != NULL ? 1 : 0;
	out.body = res.body;
	out.len = res.body != NULL ? strlen(res.body) : 0;
	out.last = s->proxy->stopping;
	h1_server_respond(r, &out);
	g_free(res.body);
}

static const struct h1_server_ops httpd_ops = { .request = on_request };

struct httpd *
httpd_new(struct proxy *p, const char *host, guint port, httpd_handler handler,
    GError **err)
{
	struct httpd *s = g_new0(struct httpd, 1);
	struct h1_server_opts o = { .host = host,
		.port = port,
		.body_max = BODY_MAX,
		.idle_us = IDLE_US,
		.events = &p->events,
		.ops = &httpd_ops,
		.ctx = s };

	s->proxy = p;
	s->handler = handler;
	s->server = h1_server_new(&o, err);
	if (s->server == NULL)
		g_clear_pointer(&s, g_free);
	return s;
}

void
httpd_free(struct httpd *s)
{
	if (s == NULL)
		return;
	h1_server_free(s->server);
	g_free(s);
}
