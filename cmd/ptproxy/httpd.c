/* Small HTTP ports of a node: probes, heartbeats, metrics. */
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
#include "platform.h"
#include "proxy.h"

/* Bodies on these ports are small. */
#define BODY_MAX (64 * 1024)
/* A connection without traffic is closed after this time. */
#define IDLE_US (60 * G_TIME_SPAN_SECOND)

struct plain {
	struct proxy *proxy;
	plain_handler handler;
	struct h1_small *server;
};

static void
on_request(void *ctx, struct h1_request *r)
{
	struct plain *s = ctx;
	struct plain_answer a = { .status = 404 };
	struct h1_field type = { (char *)"Content-Type", NULL };
	struct h1_answer out = { 0 };

	s->handler(s->proxy, r->head, r->body, &a);
	type.value = (char *)a.type;
	out.status = a.status;
	out.fields = &type;
	out.n_fields = a.type != NULL ? 1 : 0;
	out.body = a.body;
	out.len = a.body != NULL ? strlen(a.body) : 0;
	out.last = s->proxy->stopping;
	h1_small_answer(r, &out);
	g_free(a.body);
}

static const struct h1_small_ops plain_ops = { .request = on_request };

struct plain *
plain_new(struct proxy *p, const char *host, guint port, plain_handler handler,
    GError **err)
{
	struct plain *s = g_new0(struct plain, 1);
	struct h1_small_opts o = { .host = host,
		.port = port,
		.body_max = BODY_MAX,
		.idle_us = IDLE_US,
		.events = &p->events,
		.ops = &plain_ops,
		.ctx = s };

	s->proxy = p;
	s->handler = handler;
	s->server = h1_small_new(&o, err);
	if (s->server == NULL)
		g_clear_pointer(&s, g_free);
	return s;
}

void
plain_free(struct plain *s)
{
	if (s == NULL)
		return;
	h1_small_free(s->server);
	g_free(s);
}
