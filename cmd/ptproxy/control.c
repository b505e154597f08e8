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

static const char *const verdicts[] = { "new", "kept", "changed", "stale",
	"foreign" };

/* An announcement that cannot be used harms nobody: it is refused and logged.
 */
static void
refuse(
    struct proxy *p, struct plain_answer *a, const char *id, const GError *err)
{
	stats_add(p->stats, STAT_BEATS_REFUSED);
	pt_event(&p->events, PT_LEVEL_WARNING, "beat-refused",
	    "backend=%s text=\"%s\"", id, err->message);
	a->status = 400;
}

static void
acknowledge(struct plain_answer *a)
{
	a->status = 200;
	a->type = plat_media_type();
	a->body = g_strdup(plat_announce_ack());
}

static void
beat(struct proxy *p, const char *id, const GByteArray *body,
    struct plain_answer *a)
{
	GError *err = NULL;
	const struct reg_announce *b;
	struct plat_announce *pb;
	enum reg_verdict v;

	pb = plat_announce_read(id, (const char *)body->data, body->len, &err);
	if (pb == NULL) {
		refuse(p, a, id, err);
		g_error_free(err);
		return;
	}
	b = plat_announce_get(pb);
	v = reg_announce(p->reg, b);
	stats_add(p->stats, STAT_BEATS);
	if (v != REG_KEPT)
		pt_event(&p->events, PT_LEVEL_INFO, "beat",
		    "backend=%s verdict=%s state=%d service=%s slots=%d "
		    "sequence=%" G_GINT64_FORMAT " born=%" G_GINT64_FORMAT
		    " address=%s",
		    id, verdicts[v], b->state, b->service, b->slots,
		    b->sequence, b->process_start, b->address);
	plat_announce_free(pb);
	if (v == REG_FOREIGN) {
		a->status = 400;
		return;
	}
	if (v != REG_STALE) {
		backend_heard(p->backend);
		backend_update(p->backend);
		members_announce(p);
	}
	acknowledge(a);
}

static void
leave(struct proxy *p, const char *id, struct plain_answer *a)
{
	gboolean known =
	    reg_leave(p->reg, id, g_get_real_time() / G_TIME_SPAN_MILLISECOND);

	pt_event(&p->events, PT_LEVEL_INFO, "backend-left",
	    "backend=%s known=%d", id, known);
	backend_update(p->backend);
	members_announce(p);
	acknowledge(a);
}

void
control_handle(struct proxy *p, const struct h1_head *h, const GByteArray *body,
    struct plain_answer *a)
{
	char *id = plat_announce_id(h->target);

	if (id == NULL)
		return;
	if (strcmp(h->method, "PUT") == 0)
		beat(p, id, body, a);
	else if (strcmp(h->method, "DELETE") == 0)
		leave(p, id, a);
	g_free(id);
}
