/*
 * A node that starts beside a running backend server would not use the server's
 * slots until its next announcement.  The node therefore queries the server's
 * health path: the response carries the id of the incarnation, and status 200
 * shows that the server is not leaving.  The node then adopts the server: it
 * registers this incarnation until the server announces itself.
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
#include "limit.h"
#include "platform.h"
#include "proxy.h"

/* Time-out of a query; a busy server responds only when a slot is free. */
#define PROBE_MS 500
/* Delay before the next query after one that found no server. */
#define RETRY_US (400 * G_TIME_SPAN_MILLISECOND)
/* Most queries: they take about as long as one interval of announcements. */
#define PROBES_MAX 3
/* Slots assumed if no other upstream of the service is known. */
#define SLOTS_DEFAULT 4

struct adopt {
	struct proxy *proxy;
	struct h1_fetch *fetch;
	guint timer; /* until the next query, or the end of the adoption */
	guint probes;
};

/*
 * Estimates the server's slots as the fewest of any upstream of the service:
 * upstreams of one service have about the same number of slots.
 */
static int
guess_slots(const struct proxy *p)
{
	const struct memb_member *m = NULL;
	guint fewest = 0;

	while ((m = memb_next_in_service(p->memb, p->set->service, m)) != NULL)
		if (m->slots > 0 && (fewest == 0 || m->slots < fewest))
			fewest = m->slots;
	return fewest > 0 ? (int)fewest : SLOTS_DEFAULT;
}

static void
retry(void *arg)
{
	struct adopt *a = arg;

	a->timer = 0;
	adopt_query(a);
}

/* The adopted server has had the time to announce itself. */
static void
expire(void *arg)
{
	struct adopt *a = arg;
	struct proxy *p = a->proxy;

	a->timer = 0;
	a->probes = PROBES_MAX;
	if (!reg_disown(p->reg))
		return;
	pt_event(&p->events, PT_LEVEL_WARNING, "adoption-ended",
	    "text=\"no announcement\"");
	backend_update(p->backend);
	members_announce(p);
}

static void
on_response(void *ctx, const struct h1_head *h, const GByteArray *body,
    const GError *err)
{
	struct adopt *a = ctx;
	struct proxy *p = a->proxy;
	struct plat_response r = { 0 };
	gboolean adopted;

	a->fetch = NULL;
	if (h != NULL)
		plat_response_read(h, &r);
	adopted = h != NULL && h->status == 200 && r.instance_id != NULL &&
		  !r.leaving &&
		  reg_adopt(p->reg, r.instance_id, guess_slots(p));
	pt_event(&p->events, PT_LEVEL_INFO, "backend-asked",
	    "id=%s status=%d taken=%d slots=%d text=\"%s\"",
	    r.instance_id != NULL ? r.instance_id : "-",
	    h != NULL ? h->status : 0, adopted, reg_slots(p->reg),
	    err != NULL ? err->message : "");
	if (adopted) {
		statements_answered(p->statements, reg_process(p->reg), &r);
		backend_update(p->backend);
		members_announce(p);
		a->timer =
		    sys_after(ADOPT_INTERVALS * p->set->heartbeat, expire, a);
	} else
		a->timer = sys_after(RETRY_US, retry, a);
}

void
adopt_query(struct adopt *a)
{
	struct proxy *p = a->proxy;

	if (reg_id(p->reg) != NULL || reg_left_before(p->reg) || p->stopping ||
	    a->fetch != NULL || a->timer != 0 || a->probes == PROBES_MAX)
		return;
	a->fetch = backend_query(p->backend, PROBE_MS, on_response, a);
	a->probes += a->fetch != NULL;
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
