#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"

/*
 * Bytes of the buffer on the stack that is tried first.  Larger encodings are
 * sized by xdr_sizeof().
 */
#define ENCODE_STACK 2048

#ifdef PT_MUTANTS
enum pt_mutant pt_mutant;
#endif

GQuark
pt_error_quark(void)
{
	return g_quark_from_static_string("primrosetide-error");
}

gint64
pt_now(const struct pt_clock *c)
{
	return c->now(c->ctx);
}

void
pt_event(const struct pt_events *e, enum pt_level level, const char *name,
    const char *fmt, ...)
{
	va_list ap;
	char *s;

	if (e == NULL || e->event == NULL)
		return;
	va_start(ap, fmt);
	s = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	e->event(e->ctx, level, name, s);
	g_free(s);
}

GBytes *
pt_encode(xdrproc_t proc, const void *value)
{
	char stack[ENCODE_STACK];
	XDR x;
	char *buf;
	unsigned long size;

	xdrmem_create(&x, stack, sizeof(stack), XDR_ENCODE);
	if (proc(&x, (void *)value))
		return g_bytes_new(stack, xdr_getpos(&x));
	size = xdr_sizeof(proc, (void *)value);
	if (size == 0)
		return NULL;
	buf = g_malloc(size);
	xdrmem_create(&x, buf, size, XDR_ENCODE);
	if (!proc(&x, (void *)value)) {
		g_free(buf);
		return NULL;
	}
	return g_bytes_new_take(buf, xdr_getpos(&x));
}

gboolean
pt_proto_supported(int proto)
{
	return proto > 0 && proto / PT_PROTO_MAJOR <= PT_PROTO / PT_PROTO_MAJOR;
}

/* TRUE if the sender has a higher minor version of the same major version. */
static gboolean
newer_minor(const void *data, gsize len)
{
	guint32 proto;

	if (len < sizeof(proto))
		return FALSE;
	memcpy(&proto, data, sizeof(proto));
	proto = g_ntohl(proto);
	return proto > PT_PROTO &&
	       proto / PT_PROTO_MAJOR == PT_PROTO / PT_PROTO_MAJOR;
}

static gboolean
decode(xdrproc_t proc, void *value, gsize size, const void *data, gsize len,
    gboolean allow_trailing)
{
	XDR x;

	xdrmem_create(&x, (char *)data, len, XDR_DECODE);
	if (proc(&x, value) && (xdr_getpos(&x) == len || allow_trailing))
		return TRUE;
	xdr_free(proc, value);
	memset(value, 0, size);
	return FALSE;
}

gboolean
pt_decode(xdrproc_t proc, void *value, gsize size, const void *data, gsize len)
{
	return decode(proc, value, size, data, len, FALSE);
}

gboolean
pt_decode_compat(
    xdrproc_t proc, void *value, gsize size, const void *data, gsize len)
{
	return decode(proc, value, size, data, len, newer_minor(data, len));
}

const char *
pt_json_excess(const char *p, gsize len)
{
	gboolean quoted = FALSE;
	guint depth = 0, values = 0;
	gsize i;

	for (i = 0; i < len; i++) {
		if (p[i] == '"')
			quoted = !quoted;
		else if (quoted)
			i += p[i] == '\\';
		else if (p[i] == '[' || p[i] == '{') {
			values++;
			if (++depth > PT_JSON_DEPTH)
				return "nested too deeply; send at "
				       "most " G_STRINGIFY(
					   PT_JSON_DEPTH) " levels";
		} else if (p[i] == ']' || p[i] == '}')
			depth -= depth > 0;
		else if (p[i] == ',' && ++values > PT_JSON_VALUES)
			return "of too many values; send at most " G_STRINGIFY(
			    PT_JSON_VALUES);
	}
	return NULL;
}

void
pt_sha256(GBytes *b, void *out)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len, n = PT_DIGEST_LEN;
	const guchar *p = g_bytes_get_data(b, &len);

	g_checksum_update(sum, p, (gssize)len);
	g_checksum_get_digest(sum, out, &n);
	g_checksum_free(sum);
}
