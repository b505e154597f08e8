#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "port.h"
#include "rpcio.h"
#include "h1.h"

struct h1_head *
h1_head_ref(struct h1_head *h)
{
	h->refs++;
	return h;
}

void
h1_head_unref(struct h1_head *h)
{
	struct h1_field *f;
	guint i;

	if (h == NULL || --h->refs > 0)
		return;
	for (i = 0; i < h->fields->len; i++) {
		f = &g_array_index(h->fields, struct h1_field, i);
		g_free(f->name);
		g_free(f->value);
	}
	g_array_free(h->fields, TRUE);
	g_free(h->method);
	g_free(h->target);
	g_free(h);
}

const char *
h1_head_get(const struct h1_head *h, const char *name)
{
	const struct h1_field *f;
	guint i;

	for (i = 0; i < h->fields->len; i++) {
		f = &g_array_index(h->fields, struct h1_field, i);
		if (g_ascii_strcasecmp(f->name, name) == 0)
			return f->value;
	}
	return NULL;
}

static const char *const hop_by_hop[] = { "Connection", "Keep-Alive",
	"Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length" };

/* Whether the value of a Connection field lists the name. */
static gboolean
listed(const char *list, const char *name)
{
	gsize n = strlen(name), l;

	while (*list != '\0') {
		list += strspn(list, " \t,");
		l = strcspn(list, " \t,");
		if (l == n && g_ascii_strncasecmp(list, name, n) == 0)
			return TRUE;
		list += l;
	}
	return FALSE;
}

gboolean
h1_hop_by_hop(const struct h1_head *h, const char *name)
{
	const struct h1_field *f;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (g_ascii_strcasecmp(name, hop_by_hop[i]) == 0)
			return TRUE;
	for (i = 0; i < h->fields->len; i++) {
		f = &g_array_index(h->fields, struct h1_field, i);
		if (g_ascii_strcasecmp(f->name, "Connection") == 0 &&
		    listed(f->value, name))
			return TRUE;
	}
	return FALSE;
}

static const struct {
	int status;
	const char *reason;
} reasons[] = {
	{ 200, "OK" },
	{ 201, "Created" },
	{ 202, "Accepted" },
	{ 204, "No Content" },
	{ 206, "Partial Content" },
	{ 304, "Not Modified" },
	{ 400, "Bad Request" },
	{ 404, "Not Found" },
	{ 408, "Request Timeout" },
	{ 409, "Conflict" },
	{ 413, "Content Too Large" },
	{ 414, "URI Too Long" },
	{ 421, "Misdirected Request" },
	{ 422, "Unprocessable Content" },
	{ 428, "Precondition Required" },
	{ 429, "Too Many Requests" },
	{ 431, "Request Header Fields Too Large" },
	{ 500, "Internal Server Error" },
	{ 502, "Bad Gateway" },
	{ 503, "Service Unavailable" },
	{ 504, "Gateway Timeout" },
};

const char *
h1_reason(int status)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(reasons); i++)
		if (reasons[i].status == status)
			return reasons[i].reason;
	return "Status";
}

void
h1_put_request(GString *s, const char *method, const char *target)
{
	g_string_append_printf(s, "%s %s HTTP/1.1\r\n", method, target);
}

void
h1_put_status(GString *s, int status)
{
	g_string_append_printf(
	    s, "HTTP/1.1 %d %s\r\n", status, h1_reason(status));
}

void
h1_put(GString *s, const char *name, const char *value)
{
	g_string_append(s, name);
	g_string_append(s, ": ");
	g_string_append(s, value);
	g_string_append(s, "\r\n");
}

void
h1_put_int(GString *s, const char *name, gint64 value)
{
	g_string_append_printf(s, "%s: %" G_GINT64_FORMAT "\r\n", name, value);
}

void
h1_put_end(GString *s)
{
	g_string_append(s, "\r\n");
}
