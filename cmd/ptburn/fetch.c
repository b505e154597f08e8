#include <libsoup/soup.h>
#include <rpc/rpc.h>
#include <string.h>

#include "port.h"
#include "burn.h"
#include "ptburn.h"

/*
 * Largest response, in bytes: more than the metrics of a node that calls every
 * service of a deployment of the target size.
 */
#define RESPONSE_MAX (16 * 1024 * 1024)
#define CONNECTIONS_MAX 256

struct fetch {
	struct fetch_result *result;
	SoupMessage *msg;
	guint *pending;
};

static void
on_response(GObject *session, GAsyncResult *res, gpointer arg)
{
	struct fetch *f = arg;
	GError *err = NULL;
	GBytes *b;
	gsize len;
	const char *p;
	guint status;

	b = soup_session_send_and_read_finish(SOUP_SESSION(session), res, &err);
	status = soup_message_get_status(f->msg);
	if (b == NULL) {
		f->result->error = g_strdup(err->message);
		g_error_free(err);
	} else if (status != SOUP_STATUS_OK) {
		f->result->error = g_strdup_printf(
		    "status %u; give the admin port of a node", status);
	} else {
		p = g_bytes_get_data(b, &len);
		if (len > RESPONSE_MAX)
			f->result->error = g_strdup(
			    "the response is larger than 16 MB; give the "
			    "admin port of a node");
		else
			f->result->text = g_strndup(p, len);
	}
	g_clear_pointer(&b, g_bytes_unref);
	g_object_unref(f->msg);
	--*f->pending;
	g_free(f);
}

static void
fetch_one(SoupSession *s, struct fetch_result *r, guint *pending)
{
	struct fetch *f;
	SoupMessage *msg;
	char *url;

	url = g_strdup_printf("http://%s/metrics", r->node);
	msg = soup_message_new("GET", url);
	g_free(url);
	if (msg == NULL) {
		r->error = g_strdup("not an address; give HOST:PORT");
		return;
	}
	f = g_new0(struct fetch, 1);
	f->result = r;
	f->msg = msg;
	f->pending = pending;
	++*pending;
	soup_session_send_and_read_async(
	    s, msg, G_PRIORITY_DEFAULT, NULL, on_response, f);
}

void
fetch_all(struct fetch_result *r, guint n, guint timeout_ms)
{
	SoupSession *s;
	guint pending = 0, i;

	s = soup_session_new_with_options("max-conns", CONNECTIONS_MAX,
	    "timeout", MAX((timeout_ms + 999) / 1000, 1), NULL);
	for (i = 0; i < n; i++)
		fetch_one(s, &r[i], &pending);
	while (pending > 0)
		g_main_context_iteration(NULL, TRUE);
	g_object_unref(s);
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
