#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "port.h"
#include "reg.h"

/* Intervals without an announcement after which a server counts as silent. */
#define SILENT_BEATS 4
/* Identifiers remembered as left, so that a late announcement is ignored. */
#define LEFT_MAX 64

struct left {
	char *id;
	gint64 process_start;
};

struct reg {
	struct reg_opts o;
	char *address, *service; /* of the settings */
	char *id, *announced; /* held incarnation and its service */
	gint64 process_start, sequence;
	gint64 cold_until, heard, leaving_since;
	int slots;
	gboolean leaving, gone;
	struct left left[LEFT_MAX];
	guint next_left;
};

struct reg *
reg_new(const struct reg_opts *o)
{
	struct reg *r = g_new0(struct reg, 1);

	r->o = *o;
	r->address = g_strdup(o->address);
	r->service = g_strdup(o->service);
	return r;
}

void
reg_free(struct reg *r)
{
	guint i;

	if (r == NULL)
		return;
	for (i = 0; i < LEFT_MAX; i++)
		g_free(r->left[i].id);
	g_free(r->address);
	g_free(r->service);
	g_free(r->id);
	g_free(r->announced);
	g_free(r);
}

/* An announcement of a start that is known to have left. */
static gboolean
has_left(const struct reg *r, const struct reg_announce *b)
{
	guint i;

	for (i = 0; i < LEFT_MAX; i++)
		if (r->left[i].id != NULL &&
		    strcmp(r->left[i].id, b->id) == 0 &&
		    b->process_start <= r->left[i].process_start)
			return TRUE;
	return FALSE;
}

static void
note_left(struct reg *r, const char *id, gint64 process_start)
{
	struct left *l = &r->left[r->next_left];

	g_free(l->id);
	l->id = g_strdup(id);
	l->process_start = process_start;
	r->next_left = (r->next_left + 1) % LEFT_MAX;
}

static void
take(struct reg *r, const struct reg_announce *b, gint64 now)
{
	r->sequence = b->sequence;
	r->slots = b->slots;
	r->heard = now;
	r->cold_until = b->cold > 0 ? now + b->cold : 0;
	if (g_strcmp0(r->announced, b->service) != 0) {
		g_free(r->announced);
		r->announced = g_strdup(b->service);
	}
}

static enum reg_verdict
take_new(struct reg *r, const struct reg_announce *b, gint64 now)
{
	g_free(r->id);
	r->id = g_strdup(b->id);
	r->process_start = b->process_start;
	r->gone = FALSE;
	r->leaving = b->state == REG_DRAINING;
	r->leaving_since = r->leaving ? now : 0;
	take(r, b, now);
	return REG_NEW;
}

/* Another process than the one held: only a younger one replaces it. */
static enum reg_verdict
take_other(struct reg *r, const struct reg_announce *b, gint64 now)
{
	if (b->process_start != 0 && r->process_start != 0 &&
	    b->process_start < r->process_start)
		return REG_STALE;
	return take_new(r, b, now);
}

enum reg_verdict
reg_announce(struct reg *r, const struct reg_announce *b)
{
	gint64 now = pt_now(&r->o.clock);
	gboolean drains = b->state == REG_DRAINING;
	enum reg_verdict v;

	if (strcmp(b->address, r->address) != 0)
		return REG_FOREIGN;
	if (has_left(r, b))
		return REG_STALE;
	if (r->id == NULL)
		return take_new(r, b, now);
	if (strcmp(r->id, b->id) != 0 || b->process_start > r->process_start)
		return take_other(r, b, now);
	if (b->process_start < r->process_start || b->sequence <= r->sequence)
		return REG_STALE;
	v = drains != r->leaving || b->slots != r->slots ||
		    g_strcmp0(b->service, r->announced) != 0
		? REG_CHANGED
		: REG_KEPT;
	take(r, b, now);
	if (drains && !r->leaving)
		r->leaving_since = now;
	r->leaving = drains;
	return v;
}

gboolean
reg_adopt(struct reg *r, const char *id, int slots)
{
	struct reg_announce b = { .id = id,
		.service = r->service,
		.sequence = -1,
		.slots = slots,
		.state = REG_SERVING };

	if (r->id != NULL || has_left(r, &b))
		return FALSE;
	take_new(r, &b, pt_now(&r->o.clock));
	return TRUE;
}

gboolean
reg_leave(struct reg *r, const char *id, gint64 wall)
{
	gint64 now = pt_now(&r->o.clock);
	gboolean held = r->id != NULL && strcmp(r->id, id) == 0;

	/* The start of a server that was taken over is not known. */
	note_left(r, id, held && r->sequence >= 0 ? r->process_start : wall);
	if (!held)
		return r->id == NULL;
	if (!r->leaving)
		r->leaving_since = now;
	r->leaving = r->gone = TRUE;
	return TRUE;
}

void
reg_settings(struct reg *r, const char *address, const char *service)
{
	if (strcmp(address, r->address) != 0) {
		g_free(r->address);
		r->address = g_strdup(address);
		g_clear_pointer(&r->id, g_free);
		g_clear_pointer(&r->announced, g_free);
	}
	g_free(r->service);
	r->service = g_strdup(service);
}

gboolean
reg_serving(const struct reg *r)
{
	return r->id != NULL && !r->leaving;
}

gboolean
reg_leaving(const struct reg *r, gint64 *since)
{
	if (r->id == NULL || !r->leaving)
		return FALSE;
	*since = r->leaving_since;
	return TRUE;
}

gboolean
reg_silent(const struct reg *r)
{
	return r->id != NULL &&
	       pt_now(&r->o.clock) - r->heard > SILENT_BEATS * r->o.heartbeat;
}

const char *
reg_id(const struct reg *r)
{
	return r->id;
}

const char *
reg_service(const struct reg *r)
{
	return r->announced;
}

int
reg_slots(const struct reg *r)
{
	return r->id != NULL ? r->slots : 0;
}

gint64
reg_cold_until(const struct reg *r)
{
	return r->cold_until;
}

gint64
reg_age(const struct reg *r)
{
	return r->id != NULL ? pt_now(&r->o.clock) - r->heard : -1;
}
