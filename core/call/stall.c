/*
 * Slots of runs that have stalled: the upstream never answers them and still
 * counts as busy with them.  Their slots are given to other runs, as long as it
 * is likely that the upstream has room for these.
 */
#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/* Most slots that are reassigned at a time. */
static int
room(const struct stall *s, int slots)
{
	return MAX(slots - s->withheld, MIN(slots, 1));
}

int
stall_slots(const struct stall *s, int slots)
{
	int n = slots - MAX(s->running - room(s, slots), 0);

	/* Nothing shows that it still works: one trial run at a time. */
	if (s->in_row >= MAX(slots, 1))
		n = MIN(n, 1);
	return n;
}

void
stall_begin(struct stall *s)
{
	s->running++;
	s->in_row++;
}

void
stall_answered(struct stall *s, gboolean stalled, int slots)
{
	s->in_row = 0;
	if (!stalled)
		return;
	s->running--;
	/* The upstream was at work on it: its slot should not have been. */
	s->withheld = MAX(slots - MAX(room(s, slots) / 2, 1), 0);
}

void
stall_lost(struct stall *s)
{
	s->running--;
	s->withheld = MAX(s->withheld - 1, 0);
}
