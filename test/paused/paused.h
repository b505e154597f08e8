/*
 * A clock that tests advance, in place of that of sysio.  Linked before the
 * library.  Include <glib.h> before this header.
 */

/* Time of sys_clock, in us. */
extern gint64 paused_now;

/*
 * Advances the clock, running what is due in its order.  "settle", unless NULL,
 * is called after each timer and before the clock moves on.
 */
void paused_advance(gint64 us, void (*settle)(void));

/* Removes all timers, calling drop() for each, which frees its argument. */
void paused_clear(void (*drop)(void (*cb)(void *), void *arg));
