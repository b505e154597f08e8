/*
 * How current the configuration in force is known to be.  A node that reads the
 * store knows it for the time at which its read began; another node learns it
 * from the first with a request and its response, so that neither the clocks of
 * the two nor the time on the way count.
 */
#include <glib.h>

#include "rtab.h"

void
rtab_fresh_read(struct rtab_fresh *f, gint64 at)
{
	f->current_at = MAX(f->current_at, at);
}

void
rtab_fresh_heard(
    struct rtab_fresh *f, gint64 in_force, gint64 version, gint64 at)
{
	if (version <= in_force) {
		rtab_fresh_read(f, at);
		return;
	}
	if (version < f->awaited ||
	    (version == f->awaited && at <= f->awaited_at))
		return;
	f->awaited = version;
	f->awaited_at = at;
}

void
rtab_fresh_applied(struct rtab_fresh *f, gint64 in_force)
{
	if (f->awaited == 0 || f->awaited > in_force)
		return;
	rtab_fresh_read(f, f->awaited_at);
	f->awaited = 0;
}

gint64
rtab_fresh_age(const struct rtab_fresh *f, gint64 now)
{
	return f->current_at == 0 ? -1 : MAX(now - f->current_at, 0);
}
