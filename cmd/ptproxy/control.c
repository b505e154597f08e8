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

static const char *const verdicts[] = { "new", "kept", "changed", "stale",
	"foreign" };

/* Refuses and logs an invalid announcement; the registration stays as it is. */
static void
refuse(struct proxy *p, struct httpd_response *res, const char *id,
    const GError *err)
{
	stats_add(p->stats, STAT_ANNOUNCEMENTS_REFUSED);
	pt_event(&p->events, PT_LEVEL_WARNING, "beat-refused",
	    "backend=%s text=\"%s\"", id, err->message);
	res->status = 400;
}

static void
acknowledge(struct httpd_response *res)
{
	res->status = 200;
	res->type = plat_ack_type();
	res->body = g_strdup(plat_ack_body());
}

/* FALSE: the service is neither in the settings nor in the configuration. */
static gboolean
check_service(const struct proxy *p, const char *service, GError **err)
{
	if (p->rtab == NULL || strcmp(service, p->set->service) == 0 ||
	    rtab_service(p->rtab, service) != NULL)
		return TRUE;
	g_set_error_literal(err, PT_ERROR, PT_ERROR_REFERENCE,
	    "the service is not in the configuration; announce one of it");
	return FALSE;
}

static void
announce(struct proxy *p, const char *id, const GByteArray *body,
    struct httpd_response *res)
{
	GError *err = NULL;
	const struct reg_announce *a;
	struct plat_announce *pa;
	enum reg_verdict v;

	pa = plat_announce_read(id, (const char *)body->data, body->len, &err);
	if (pa != NULL &&
	    !check_service(p, plat_announce_get(pa)->service, &err))
		g_clear_pointer(&pa, plat_announce_free);
	if (pa == NULL) {
		refuse(p, res, id, err);
		g_error_free(err);
		return;
	}
	a = plat_announce_get(pa);
	v = reg_announce(p->reg, a);
	stats_add(p->stats, STAT_ANNOUNCEMENTS);
	if (v != REG_KEPT)
		pt_event(&p->events, PT_LEVEL_INFO, "beat",
		    "backend=%s verdict=%s state=%d service=%s slots=%d "
		    "sequence=%" G_GINT64_FORMAT " born=%" G_GINT64_FORMAT
		    " address=%s",
		    id, verdicts[v], a->state, a->service, a->slots,
		    a->sequence, a->process_start, a->address);
	plat_announce_free(pa);
	if (v == REG_FOREIGN) {
		res->status = 400;
		return;
	}
	if (v != REG_STALE) {
		backend_mark_up(p->backend);
		backend_update(p->backend);
		members_announce(p);
	}
	acknowledge(res);
}

static void
leave(struct proxy *p, const char *id, struct httpd_response *res)
{
	gboolean known =
	    reg_leave(p->reg, id, g_get_real_time() / G_TIME_SPAN_MILLISECOND);

	pt_event(&p->events, PT_LEVEL_INFO, "backend-left",
	    "backend=%s known=%d", id, known);
	departures_announce(p->departures);
	backend_update(p->backend);
	members_announce(p);
	acknowledge(res);
}

void
control_handle(struct proxy *p, const struct h1_head *h, const GByteArray *body,
    struct httpd_response *res)
{
	char *id = plat_announce_id(h->target);

	if (id == NULL)
		return;
	if (strcmp(h->method, "PUT") == 0)
		announce(p, id, body, res);
	else if (strcmp(h->method, "DELETE") == 0)
		leave(p, id, res);
	g_free(id);
}
