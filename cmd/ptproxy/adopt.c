/*
 * A node that starts beside a backend server at work knows nothing of it until
 * the next announcement, and the server's slots stand idle meanwhile.  Its
 * health says which incarnation runs and that it is not leaving: the node takes
 * it over until it announces itself.
 */
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

/* Time-out of a question; a busy server answers when a slot is free. */
#define ASK_MS 500
/* Interval after an answer that was not good. */
#define AGAIN_US (400 * G_TIME_SPAN_MILLISECOND)
/* Questions, about as long as one heartbeat takes. */
#define ASKS_MAX 3
/* Bytes of an answer. */
#define ANSWER_MAX 4096
/* Slots assumed where no other upstream of the service is known. */
#define SLOTS_FIRST 4

struct adopt {
	struct proxy *proxy;
	struct h1_fetch *fetch;
	guint timer;
	guint asked;
};

/* Upstreams of a service have about as many slots as each other. */
static int
slots(const struct proxy *p)
{
	const struct memb_member *m = NULL;
	guint least = 0;

	while ((m = memb_next_in_service(p->memb, p->set->service, m)) != NULL)
		if (m->slots > 0 && (least == 0 || m->slots < least))
			least = m->slots;
	return least > 0 ? (int)least : SLOTS_FIRST;
}

static void
again(void *arg)
{
	struct adopt *a = arg;

	a->timer = 0;
	adopt_look(a);
}

static void
answered(void *ctx, const struct h1_head *h, const GByteArray *body,
    const GError *err)
{
	struct adopt *a = ctx;
	struct proxy *p = a->proxy;
	struct plat_response r = { 0 };
	gboolean taken;

	a->fetch = NULL;
	if (h != NULL)
		plat_response_read(h, &r);
	taken = h != NULL && h->status == 200 && r.instance_id != NULL &&
		reg_adopt(p->reg, r.instance_id, slots(p));
	pt_event(&p->events, PT_LEVEL_INFO, "backend-asked",
	    "id=%s status=%d taken=%d slots=%d text=\"%s\"",
	    r.instance_id != NULL ? r.instance_id : "-",
	    h != NULL ? h->status : 0, taken, reg_slots(p->reg),
	    err != NULL ? err->message : "");
	if (taken) {
		backend_update(p->backend);
		members_announce(p);
	} else
		a->timer = sys_after(AGAIN_US, again, a);
}

void
adopt_look(struct adopt *a)
{
	struct proxy *p = a->proxy;
	const struct rtab_service *s;
	GString *text;
	GBytes *b;

	if (reg_id(p->reg) != NULL || p->stopping || p->rtab == NULL ||
	    a->fetch != NULL || a->timer != 0 || a->asked == ASKS_MAX)
		return;
	s = rtab_service(p->rtab, p->set->service);
	if (s == NULL)
		return;
	a->asked++;
	text = g_string_new(NULL);
	h1_put_request(text, "GET", s->health_path);
	h1_put(text, "Host", p->set->backend.host);
	h1_put_end(text);
	b = g_string_free_to_bytes(text);
	a->fetch = h1_fetch_new(
	    backend_pool(p->backend), b, ASK_MS, ANSWER_MAX, answered, a);
	g_bytes_unref(b);
}

struct adopt *
adopt_new(struct proxy *p)
{
	struct adopt *a = g_new0(struct adopt, 1);

	a->proxy = p;
	return a;
}

void
adopt_free(struct adopt *a)
{
	if (a == NULL)
		return;
	sys_cancel(&a->timer);
	h1_fetch_cancel(a->fetch);
	g_free(a);
}
