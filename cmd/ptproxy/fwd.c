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

/* Share of the process's memory that bodies of requests may take, inverse. */
#define BODY_MEMORY_DIV 4
/* Share of it that responses take which peers have not read, inverse. */
#define OUTPUT_MEMORY_DIV 4

struct fwd *
fwd_ref(struct fwd *fwd)
{
	fwd->refs++;
	return fwd;
}

void
fwd_unref(struct fwd *fwd)
{
	if (fwd == NULL || --fwd->refs > 0)
		return;
	h1_head_unref(fwd->head);
	g_bytes_unref(fwd->body);
	g_free(fwd->attempt_id);
	g_free(fwd->route);
	g_free(fwd->service);
	g_free(fwd->caller_service);
	g_free(fwd->org);
	g_free(fwd);
}

/* TRUE for a header field that is forwarded unchanged. */
static gboolean
is_forwarded(const struct h1_head *h, const char *name)
{
	return !h1_hop_by_hop(h, name) && !peerhdr_field(name) &&
	       g_ascii_strcasecmp(name, "Expect") != 0;
}

void
fwd_put_head(GString *s, const struct fwd *fwd)
{
	const struct h1_field *f;
	gsize n = g_bytes_get_size(fwd->body);
	guint i;

	h1_put_request(s, fwd->head->method, fwd->head->target);
	for (i = 0; i < fwd->head->fields->len; i++) {
		f = &g_array_index(fwd->head->fields, struct h1_field, i);
		if (is_forwarded(fwd->head, f->name) &&
		    !plat_request_reserved(f->name))
			h1_put(s, f->name, f->value);
	}
	if (n > 0 || fwd->head->length >= 0 || fwd->head->chunked)
		h1_put_int(s, "Content-Length", (gint64)n);
}

void
fwd_finish(GString *s, const struct fwd *fwd, struct h1_call_opts *o)
{
	h1_put_end(s);
	o->request = g_string_free_to_bytes(s);
	o->body = fwd->body;
}

void
response_put_head(GString *s, const struct h1_head *h)
{
	const struct h1_field *f;
	guint i;

	h1_put_status(s, h->status);
	for (i = 0; i < h->fields->len; i++) {
		f = &g_array_index(h->fields, struct h1_field, i);
		if (is_forwarded(h, f->name) &&
		    !plat_response_reserved(f->name))
			h1_put(s, f->name, f->value);
	}
}

gboolean
response_bodyless(const struct h1_head *request, int status)
{
	return strcmp(request->method, "HEAD") == 0 || status == 204 ||
	       status == 304;
}

void
chunk_put(GString *s, const char *p, gsize n)
{
	g_string_append_printf(s, "%" G_GSIZE_MODIFIER "x\r\n", n);
	g_string_append_len(s, p, (gssize)n);
	g_string_append(s, "\r\n");
}

gboolean
bodies_add(struct proxy *p, gsize n)
{
	if (p->body_bytes + n > p->set->memory / BODY_MEMORY_DIV) {
		stats_add(p->stats, STAT_BODY_MEMORY);
		return FALSE;
	}
	p->body_bytes += n;
	return TRUE;
}

void
bodies_remove(struct proxy *p, gsize n)
{
	p->body_bytes -= n;
}

/* What the references of a body share. */
struct body {
	struct proxy *proxy;
	guint8 *data;
	gsize counted;
};

static void
body_free(void *arg)
{
	struct body *b = arg;

	bodies_remove(b->proxy, b->counted);
	g_free(b->data);
	g_free(b);
}

GBytes *
body_take(struct proxy *p, GByteArray **a, gsize *counted)
{
	struct body *b = g_new0(struct body, 1);
	gsize len = (*a)->len;

	b->proxy = p;
	b->data = g_realloc(g_byte_array_free(*a, FALSE), len);
	b->counted = *counted;
	*counted = 0;
	*a = g_byte_array_new();
	return g_bytes_new_with_free_func(b->data, len, body_free, b);
}

gboolean
output_full(const struct proxy *p)
{
	return h1_unsent_bytes() > p->set->memory / OUTPUT_MEMORY_DIV;
}

gsize
output_high_water(const struct proxy *p)
{
	return h1_unsent_bytes() > p->set->memory / OUTPUT_MEMORY_DIV / 2
		   ? H1_LOW_WATER
		   : H1_HIGH_WATER;
}

void
xchg_cancel(struct xchg *x)
{
	if (x != NULL)
		x->cancel(x);
}

gboolean
xchg_waiting(const struct xchg *x)
{
	return x != NULL && x->waiting != NULL && x->waiting(x);
}

void
xchg_pause(struct xchg *x, gboolean on)
{
	if (x != NULL)
		x->pause(x, on);
}
