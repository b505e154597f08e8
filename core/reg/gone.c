/*
 * Departures of the backend servers of other nodes.  A node that starts again
 * has forgotten that its server left, and a late announcement would register it
 * again; the nodes that were told of the departure tell it.
 */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "reg.h"

/*
 * A departure is kept for this long: no announcement of that process can arrive
 * later.
 */
#define KEEP_US (300 * G_TIME_SPAN_SECOND)

struct gone {
	TAILQ_ENTRY(gone) entry;
	char *instance, *id;
	gint64 process_start;
	gint64 at;
};

struct reg_gone {
	struct pt_clock clock;
	TAILQ_HEAD(gones, gone) list; /* newest first */
	guint n;
};

struct reg_gone *
reg_gone_new(const struct pt_clock *clock)
{
	struct reg_gone *t = g_new0(struct reg_gone, 1);

	t->clock = *clock;
	TAILQ_INIT(&t->list);
	return t;
}

static void
gone_free(struct reg_gone *t, struct gone *g)
{
	TAILQ_REMOVE(&t->list, g, entry);
	t->n--;
	g_free(g->instance);
	g_free(g->id);
	g_free(g);
}

void
reg_gone_free(struct reg_gone *t)
{
	if (t == NULL)
		return;
	while (!TAILQ_EMPTY(&t->list))
		gone_free(t, TAILQ_FIRST(&t->list));
	g_free(t);
}

static void
expire(struct reg_gone *t)
{
	struct gone *g;

	while ((g = TAILQ_LAST(&t->list, gones)) != NULL &&
	       (t->n > REG_GONE_MAX || pt_now(&t->clock) - g->at > KEEP_US))
		gone_free(t, g);
}

void
reg_gone_add(struct reg_gone *t, const struct pt_departure *d)
{
	struct gone *g = TAILQ_FIRST(&t->list);

	while (g != NULL && (strcmp(g->instance, d->instance) != 0 ||
				strcmp(g->id, d->id) != 0))
		g = TAILQ_NEXT(g, entry);
	if (g == NULL) {
		g = g_new0(struct gone, 1);
		g->instance = g_strdup(d->instance);
		g->id = g_strdup(d->id);
		t->n++;
	} else
		TAILQ_REMOVE(&t->list, g, entry);
	g->process_start = MAX(g->process_start, d->process_start);
	g->at = pt_now(&t->clock);
	TAILQ_INSERT_HEAD(&t->list, g, entry);
	expire(t);
}

guint
reg_gone_of(struct reg_gone *t, const char *instance, struct pt_departure *list,
    guint max)
{
	struct gone *g;
	guint n = 0;

	expire(t);
	for (g = TAILQ_FIRST(&t->list); g != NULL && n < max;
	     g = TAILQ_NEXT(g, entry)) {
		if (strcmp(g->instance, instance) != 0)
			continue;
		list[n].instance = g->instance;
		list[n].id = g->id;
		list[n++].process_start = g->process_start;
	}
	return n;
}
