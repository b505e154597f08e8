/*
 * Announces the backend server to its node: PUT /v1/backend every second.
 */

#include <glib.h>
#include <sys/queue.h>
#include <libsoup/soup.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "ptback.h"

struct announcer {
	struct back_opts o;
	const struct pool *pool;
	SoupSession *session;
	GCancellable *cancel;
	const char *announced; /* state that the node last accepted */
	guint timer;
};

struct announcement {
	struct announcer *a;
	SoupMessage *msg;
	GCancellable *cancel; /* cancelled: the announcer is freed */
	const char *state;
};

static void
on_response(GObject *o, GAsyncResult *res, gpointer p)
{
	struct announcement *s = p;
	GError *err = NULL;
	GBytes *b;

	b = soup_session_send_and_read_finish(SOUP_SESSION(o), res, &err);
	if (!g_cancellable_is_cancelled(s->cancel)) {
		if (b != NULL && soup_message_get_status(s->msg) < 300) {
			if (s->a->announced != s->state)
				pt_event(&sys_events, PT_LEVEL_INFO,
				    "announced", "state=%s", s->state);
			s->a->announced = s->state;
		} else {
			pt_event(&sys_events, PT_LEVEL_DEBUG,
			    "announcement-failed", "status=%d",
			    (int)soup_message_get_status(s->msg));
		}
	}
	g_clear_error(&err);
	if (b != NULL)
		g_bytes_unref(b);
	g_object_unref(s->msg);
	g_object_unref(s->cancel);
	g_free(s);
}

static void
announce(struct announcer *a)
{
	struct load l = pool_load(a->pool);
	struct announcement *s;
	GBytes *b;
	char *url, *text;

	url = g_strconcat(a->o.announce, "/v1/backend", NULL);
	s = g_new0(struct announcement, 1);
	s->a = a;
	s->msg = soup_message_new("PUT", url);
	s->cancel = g_object_ref(a->cancel);
	s->state = l.state;
	text = g_strdup_printf("{\"service\":\"%s\",\"url\":\"http://%s:%u\","
			       "\"slots\":%u,\"connections\":%u,"
			       "\"state\":\"%s\"}\n",
	    a->o.service, a->o.host, a->o.port, a->o.slots, a->o.connections,
	    l.state);
	b = g_bytes_new_take(text, strlen(text));
	soup_message_set_request_body_from_bytes(s->msg, "application/json", b);
	soup_session_send_and_read_async(
	    a->session, s->msg, G_PRIORITY_DEFAULT, a->cancel, on_response, s);
	g_bytes_unref(b);
	g_free(url);
}

static void
tick(void *arg)
{
	struct announcer *a = arg;

	announce(a);
	a->timer = sys_after(G_USEC_PER_SEC, tick, a);
}

struct announcer *
announcer_new(const struct back_opts *o, const struct pool *pool)
{
	struct announcer *a;

	a = g_new0(struct announcer, 1);
	a->o = *o;
	a->pool = pool;
	a->session = soup_session_new_with_options("timeout", 2, NULL);
	a->cancel = g_cancellable_new();
	tick(a);
	return a;
}

void
announcer_send(struct announcer *a)
{
	sys_cancel(&a->timer);
	tick(a);
}

void
announcer_free(struct announcer *a)
{
	sys_cancel(&a->timer);
	g_cancellable_cancel(a->cancel);
	g_object_unref(a->cancel);
	g_object_unref(a->session);
	g_free(a);
}
