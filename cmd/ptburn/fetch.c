/* Metrics of nodes, from their admin ports. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "port.h"
#include "sysio.h"
#include "httpio.h"
#include "burn.h"
#include "ptburn.h"

/*
 * Largest response, in bytes: more than the metrics of a node that calls every
 * service of a deployment of the target size.
 */
#define RESPONSE_MAX (16 * 1024 * 1024)
/* Most fetches at a time. */
#define CONNECTIONS_MAX 256
#define STATUS_OK 200

struct round {
	guint next; /* index of the next node to ask */
	guint pending;
	guint timeout_ms;
};

struct fetch {
	struct round *round;
	struct fetch_result *result;
	struct httpio_backend *node;
	struct httpio_fetch *http;
	GString *text;
	guint timer;
};

/* Ends a fetch whose HTTP part is released; takes the error, NULL: success. */
static void
fetch_end(struct fetch *f, char *error)
{
	f->result->error = error;
	f->result->text = g_string_free(f->text, error != NULL);
	sys_cancel(&f->timer);
	httpio_backend_free(f->node);
	f->round->pending--;
	g_free(f);
}

static void
fetch_cancel(struct fetch *f, char *error)
{
	httpio_fetch_cancel(f->http);
	fetch_end(f, error);
}

static void
on_timeout(void *arg)
{
	struct fetch *f = arg;

	f->timer = 0;
	fetch_cancel(f, g_strdup("no response before the time-out"));
}

static void
on_body(void *arg, const char *data, gsize len, gboolean more, const GError *e)
{
	struct fetch *f = arg;

	if (e != NULL) {
		fetch_end(f, g_strdup(e->message));
		return;
	}
	g_string_append_len(f->text, data, (gssize)len);
	if (!more)
		fetch_end(f, NULL);
	else if (f->text->len > RESPONSE_MAX)
		fetch_cancel(
		    f, g_strdup("the response is larger than 16 MB; give the "
				"admin port of a node"));
	else
		httpio_fetch_read(f->http, on_body, f);
}

static void
on_head(void *arg, const struct httpio_response *a, const GError *e)
{
	struct fetch *f = arg;

	if (e != NULL)
		fetch_end(f, g_strdup(e->message));
	else if (a->status != STATUS_OK)
		fetch_cancel(f,
		    g_strdup_printf(
			"status %d; give the admin port of a node", a->status));
	else
		httpio_fetch_read(f->http, on_body, f);
}

/* Numeric address of a host, IPv4 if it has one; NULL: unknown. */
static char *
lookup(const char *host)
{
	static const GResolverNameLookupFlags flags[] = {
		G_RESOLVER_NAME_LOOKUP_FLAGS_IPV4_ONLY,
		G_RESOLVER_NAME_LOOKUP_FLAGS_IPV6_ONLY
	};
	GList *found = NULL;
	char *ip;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(flags) && found == NULL; i++)
		found = g_resolver_lookup_by_name_with_flags(
		    g_resolver_get_default(), host, flags[i], NULL, NULL);
	if (found == NULL)
		return NULL;
	ip = g_inet_address_to_string(found->data);
	g_resolver_free_addresses(found);
	return ip;
}

/* A client of the node at "HOST:PORT"; NULL: unknown. */
static struct httpio_backend *
node_new(const char *address)
{
	GSocketConnectable *a = g_network_address_parse(address, 0, NULL);
	struct httpio_backend_opts o = {
		.url_name = "address of the node", .name = "node", .conns = 1
	};
	struct httpio_backend *node = NULL;
	char *ip, *url;
	guint port;

	if (a == NULL)
		return NULL;
	ip = lookup(g_network_address_get_hostname(G_NETWORK_ADDRESS(a)));
	port = g_network_address_get_port(G_NETWORK_ADDRESS(a));
	if (ip != NULL && port != 0) {
		url = g_strdup_printf(
		    strchr(ip, ':') != NULL ? "http://[%s]:%u" : "http://%s:%u",
		    ip, port);
		o.url = url;
		node = httpio_backend_new(&o, NULL);
		g_free(url);
	}
	g_free(ip);
	g_object_unref(a);
	return node;
}

static void
fetch_begin(struct round *x, struct fetch_result *r)
{
	static const struct httpio_call call = { .method = "GET",
		.path = "/metrics" };
	struct httpio_backend *node = node_new(r->node);
	struct fetch *f;

	if (node == NULL) {
		r->error = g_strdup("unknown host or no port; give HOST:PORT");
		return;
	}
	f = g_new0(struct fetch, 1);
	f->round = x;
	f->result = r;
	f->text = g_string_new(NULL);
	f->node = node;
	x->pending++;
	f->timer = sys_after(
	    (gint64)x->timeout_ms * G_TIME_SPAN_MILLISECOND, on_timeout, f);
	f->http = httpio_fetch(node, &call, on_head, f);
}

void
fetch_all(struct fetch_result *r, guint n, guint timeout_ms)
{
	struct round x = { .timeout_ms = timeout_ms };

	while (x.next < n || x.pending > 0) {
		if (x.next < n && x.pending < CONNECTIONS_MAX)
			fetch_begin(&x, &r[x.next++]);
		else
			g_main_context_iteration(NULL, TRUE);
	}
}

void
fetch_clear(struct fetch_result *r, guint n)
{
	guint i;

	for (i = 0; i < n; i++) {
		g_clear_pointer(&r[i].text, g_free);
		g_clear_pointer(&r[i].error, g_free);
	}
}
