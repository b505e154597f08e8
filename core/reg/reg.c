#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "port.h"
#include "reg.h"

/* Intervals without an announcement after which a server counts as silent. */
#define SILENT_INTERVALS 4
/* Most departed servers kept, so that their late announcements are ignored. */
#define DEPARTURES_MAX 64

struct departure {
	char *id;
	gint64 process_start;
};

struct reg {
	struct reg_opts o;
	char *address, *service; /* from the settings */
	char *id, *announced_service; /* of the registered server */
	gint64 process_start;
	gint64 sequence; /* of the newest announcement, -1: adopted */
	gint64 cold_until;
	gint64 announced_at; /* time of that announcement, or of adoption */
	gint64 leaving_since;
	int slots;
	gboolean leaving; /* draining or departed */
	gboolean departed;
	gboolean former_left; /* as recorded by reg_former_left() */
	/* What the registered process says of itself, see reg_answered(). */
	guint process;
	gint64 said_by; /* its start in Unix ms, 0: not known */
	gboolean said_leaving;
	double limit;
	gint64 answered_at; /* time of its newest answer, -1: none */
	struct departure departures[DEPARTURES_MAX]; /* ring buffer */
	guint next_departure; /* index of the next one to replace */
};

struct reg *
reg_new(const struct reg_opts *o)
{
	struct reg *r = g_new0(struct reg, 1);

	r->o = *o;
	r->address = g_strdup(o->address);
	r->service = g_strdup(o->service);
	r->limit = -1;
	r->answered_at = -1;
	return r;
}

void
reg_free(struct reg *r)
{
	guint i;

	if (r == NULL)
		return;
	for (i = 0; i < DEPARTURES_MAX; i++)
		g_free(r->departures[i].id);
	g_free(r->address);
	g_free(r->service);
	g_free(r->id);
	g_free(r->announced_service);
	g_free(r);
}

/* TRUE if the announcement is from a process that has already left. */
static gboolean
has_left(const struct reg *r, const struct reg_announce *b)
{
	guint i;

	for (i = 0; i < DEPARTURES_MAX; i++)
		if (r->departures[i].id != NULL &&
		    strcmp(r->departures[i].id, b->id) == 0 &&
		    b->process_start <= r->departures[i].process_start)
			return TRUE;
	return FALSE;
}

static void
add_departure(struct reg *r, const char *id, gint64 process_start)
{
	struct departure *d = &r->departures[r->next_departure];

	g_free(d->id);
	d->id = g_strdup(id);
	d->process_start = process_start;
	r->next_departure = (r->next_departure + 1) % DEPARTURES_MAX;
}

static void
apply(struct reg *r, const struct reg_announce *b, gint64 now)
{
	r->sequence = b->sequence;
	r->former_left = FALSE;
	r->slots = b->slots;
	r->announced_at = now;
	r->cold_until = b->cold > 0 ? now + b->cold : 0;
	if (g_strcmp0(r->announced_service, b->service) != 0) {
		g_free(r->announced_service);
		r->announced_service = g_strdup(b->service);
	}
}

/* TRUE if both start times may be those of one process; 0: not known. */
static gboolean
same_start(gint64 a, gint64 b)
{
	return a == 0 || b == 0 || a == b;
}

/* Another process is registered: what the former one said is void. */
static void
forget_answers(struct reg *r)
{
	r->process++;
	r->said_by = 0;
	r->said_leaving = FALSE;
	r->limit = -1;
	r->answered_at = -1;
}

static enum reg_verdict
register_new(struct reg *r, const struct reg_announce *b, gint64 now)
{
	if (g_strcmp0(r->id, b->id) != 0 ||
	    !same_start(r->process_start, b->process_start) ||
	    !same_start(r->said_by, b->process_start))
		forget_answers(r);
	g_free(r->id);
	r->id = g_strdup(b->id);
	r->process_start = b->process_start;
	r->departed = FALSE;
	r->leaving = b->state == REG_DRAINING || r->said_leaving;
	r->leaving_since = r->leaving ? now : 0;
	apply(r, b, now);
	return REG_NEW;
}

/* Registers another process than the registered one, unless it is older. */
static enum reg_verdict
register_other(struct reg *r, const struct reg_announce *b, gint64 now)
{
	if (b->process_start != 0 && r->process_start != 0 &&
	    b->process_start < r->process_start)
		return REG_STALE;
	return register_new(r, b, now);
}

enum reg_verdict
reg_announce(struct reg *r, const struct reg_announce *b)
{
	gint64 now = pt_now(&r->o.clock);
	gboolean drains = b->state == REG_DRAINING || r->said_leaving;
	enum reg_verdict v;

	if (strcmp(b->address, r->address) != 0)
		return REG_FOREIGN;
	if (has_left(r, b))
		return REG_STALE;
	if (r->id == NULL)
		return register_new(r, b, now);
	if (strcmp(r->id, b->id) != 0 || b->process_start > r->process_start)
		return register_other(r, b, now);
	if (b->process_start < r->process_start || b->sequence <= r->sequence)
		return REG_STALE;
	v = drains != r->leaving || b->slots != r->slots ||
		    g_strcmp0(b->service, r->announced_service) != 0
		? REG_CHANGED
		: REG_KEPT;
	apply(r, b, now);
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

	if (r->id != NULL || r->former_left || has_left(r, &b))
		return FALSE;
	register_new(r, &b, pt_now(&r->o.clock));
	return TRUE;
}

static void
unregister(struct reg *r)
{
	g_clear_pointer(&r->id, g_free);
	g_clear_pointer(&r->announced_service, g_free);
	forget_answers(r);
}

gboolean
reg_disown(struct reg *r)
{
	if (r->id == NULL || r->sequence >= 0 || r->departed)
		return FALSE;
	unregister(r);
	return TRUE;
}

void
reg_former_left(struct reg *r)
{
	if (r->id == NULL || reg_disown(r))
		r->former_left = TRUE;
}

gboolean
reg_leave(struct reg *r, const char *id, gint64 wall)
{
	gint64 now = pt_now(&r->o.clock);
	gboolean registered = r->id != NULL && strcmp(r->id, id) == 0;

	/* The start time of an adopted server is not known. */
	add_departure(
	    r, id, registered && r->sequence >= 0 ? r->process_start : wall);
	if (!registered)
		return r->id == NULL;
	if (!r->leaving)
		r->leaving_since = now;
	r->leaving = r->departed = TRUE;
	return TRUE;
}

gboolean
reg_departed(struct reg *r, const char *id, gint64 process_start)
{
	struct reg_announce b = { .id = id, .process_start = process_start };
	gboolean known = has_left(r, &b);

	if (!known)
		add_departure(r, id, process_start);
	if (known || r->id == NULL || strcmp(r->id, id) != 0 ||
	    (r->sequence >= 0 && r->process_start > process_start))
		return FALSE;
	if (!r->leaving)
		r->leaving_since = pt_now(&r->o.clock);
	r->leaving = r->departed = TRUE;
	return TRUE;
}

gboolean
reg_last_departure(const struct reg *r, const char **id, gint64 *process_start)
{
	const struct departure *d =
	    &r->departures[(r->next_departure + DEPARTURES_MAX - 1) %
			   DEPARTURES_MAX];

	*id = d->id;
	*process_start = d->process_start;
	return d->id != NULL;
}

/* ---- what the registered process says with its answers ---- */

static void
set_said_leaving(struct reg *r, gint64 process_start)
{
	r->said_leaving = TRUE;
	r->said_by = MAX(r->process_start, process_start);
	if (!r->leaving)
		r->leaving_since = pt_now(&r->o.clock);
	r->leaving = TRUE;
}

guint
reg_process(const struct reg *r)
{
	return r->process;
}

gboolean
reg_answered(struct reg *r, guint process, gboolean leaving, double limit)
{
	gboolean changed;

	if (r->id == NULL || process != r->process)
		return FALSE;
	changed = (leaving && !r->said_leaving) || limit != r->limit;
	r->limit = limit;
	r->answered_at = pt_now(&r->o.clock);
	if (leaving && !r->said_leaving)
		set_said_leaving(r, 0);
	return changed;
}

gboolean
reg_heard(struct reg *r, const struct reg_statement *s)
{
	gboolean changed = FALSE;

	if (r->id == NULL || strcmp(r->id, s->id) != 0 ||
	    !same_start(r->process_start, s->process_start))
		return FALSE;
	if (s->leaving && !r->said_leaving) {
		set_said_leaving(r, s->process_start);
		changed = TRUE;
	}
	if (r->answered_at < 0 && s->limit >= 0 &&
	    (r->limit < 0 || s->limit < r->limit)) {
		r->limit = s->limit;
		changed = TRUE;
	}
	return changed;
}

gboolean
reg_state(const struct reg *r, struct reg_statement *s)
{
	s->id = r->id;
	s->process_start = MAX(r->process_start, r->said_by);
	s->leaving = r->said_leaving;
	s->limit = r->limit;
	return r->id != NULL;
}

double
reg_limit(const struct reg *r)
{
	return r->id != NULL ? r->limit : -1;
}

gint64
reg_answer_age(const struct reg *r)
{
	return r->answered_at >= 0 ? pt_now(&r->o.clock) - r->answered_at : -1;
}

void
reg_settings(struct reg *r, const char *address, const char *service)
{
	if (strcmp(address, r->address) != 0) {
		g_free(r->address);
		r->address = g_strdup(address);
		unregister(r);
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
reg_left_before(const struct reg *r)
{
	return r->former_left;
}

gboolean
reg_silent(const struct reg *r)
{
	return r->id != NULL && pt_now(&r->o.clock) - r->announced_at >
				    SILENT_INTERVALS * r->o.heartbeat;
}

const char *
reg_id(const struct reg *r)
{
	return r->id;
}

const char *
reg_service(const struct reg *r)
{
	return r->announced_service;
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
	return r->id != NULL ? pt_now(&r->o.clock) - r->announced_at : -1;
}
