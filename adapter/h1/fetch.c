#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"

struct h1_fetch {
	struct h1_call *call;
	struct h1_head *head;
	GByteArray *body;
	gsize body_max;
	guint timer;
	h1_fetch_cb cb;
	void *ctx;
};

static void
fetch_free(struct h1_fetch *f)
{
	sys_cancel(&f->timer);
	h1_head_unref(f->head);
	g_byte_array_unref(f->body);
	g_free(f);
}

static void
fetch_fail(struct h1_fetch *f, enum pt_error code, const char *why)
{
	GError *err = g_error_new_literal(PT_ERROR, (gint)code, why);

	f->cb(f->ctx, NULL, NULL, err);
	g_error_free(err);
	fetch_free(f);
}

static gboolean
on_head(void *ctx, struct h1_head *h)
{
	struct h1_fetch *f = ctx;

	f->head = h1_head_ref(h);
	return TRUE;
}

static void
on_body(void *ctx, const char *p, gsize n)
{
	struct h1_fetch *f = ctx;

	if (f->body->len + n <= f->body_max) {
		g_byte_array_append(f->body, (const guint8 *)p, (guint)n);
		return;
	}
	h1_call_cancel(f->call);
	fetch_fail(
	    f, PT_ERROR_TOO_LARGE, "the response exceeds the size limit");
}

static void
on_complete(void *ctx)
{
	struct h1_fetch *f = ctx;

	f->cb(f->ctx, f->head, f->body, NULL);
	fetch_free(f);
}

static void
on_failed(void *ctx, enum h1_end end, gboolean sent, const char *why)
{
	fetch_fail(ctx, sent ? PT_ERROR_UNKNOWN : PT_ERROR_UNREACHABLE, why);
}

static const struct h1_call_ops fetch_ops = { on_head, on_body, on_complete,
	on_failed };

static void
on_timeout(void *p)
{
	struct h1_fetch *f = p;

	f->timer = 0;
	h1_call_cancel(f->call);
	fetch_fail(f, PT_ERROR_UNKNOWN, "no response before the time-out");
}

struct h1_fetch *
h1_fetch_new(struct h1_pool *p, GBytes *request, guint timeout_ms,
    gsize body_max, h1_fetch_cb cb, void *ctx)
{
	struct h1_fetch *f = g_new0(struct h1_fetch, 1);
	struct h1_call_opts o = {
		.request = request, .ops = &fetch_ops, .ctx = f
	};

	f->body = g_byte_array_new();
	f->body_max = body_max;
	f->cb = cb;
	f->ctx = ctx;
	f->timer = sys_after(
	    (gint64)timeout_ms * G_TIME_SPAN_MILLISECOND, on_timeout, f);
	f->call = h1_call_new(p, &o);
	return f;
}

void
h1_fetch_cancel(struct h1_fetch *f)
{
	if (f == NULL)
		return;
	h1_call_cancel(f->call);
	fetch_free(f);
}
