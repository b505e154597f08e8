/*
 * Registration of the backend server beside this node: what it announced, and
 * whether new work may start there.  No I/O.  Include <glib.h> and "port.h"
 * before this header.  Times are microseconds of the clock in the options.
 */

enum reg_state {
	REG_SERVING,
	REG_DRAINING
};

/* One announcement of a backend server. */
struct reg_announce {
	const char *id; /* names one incarnation of a backend server */
	const char *service;
	const char *address; /* "IP:PORT" */
	gint64
	    process_start; /* start of the process in Unix ms, 0: not given */
	gint64 sequence; /* grows with each announcement of one start */
	gint64 cold; /* time for which it stays slow after its start */
	int slots;
	enum reg_state state;
};

struct reg_opts {
	struct pt_clock clock;
	const char *address; /* of the backend server beside this node */
	const char *service; /* that the settings name */
	gint64 heartbeat; /* interval between announcements */
};

enum reg_verdict {
	REG_NEW, /* another incarnation than before */
	REG_KEPT, /* nothing changed */
	REG_CHANGED, /* state, slots or service changed */
	REG_STALE, /* older than what is held: ignored */
	REG_FOREIGN /* names another address: ignored */
};

struct reg;
struct reg *reg_new(const struct reg_opts *);
void reg_free(struct reg *);

enum reg_verdict reg_announce(struct reg *, const struct reg_announce *);
/*
 * Takes a server that was found at work for one of the service that the
 * settings name, until it announces itself: its next announcement replaces what
 * is held.  FALSE: one is held already, or this one has left.
 */
gboolean reg_adopt(struct reg *, const char *id, int slots);
/*
 * TRUE if the id is the one held, or none is held.  Of an unknown server every
 * start up to "wall", the time of day in Unix ms, counts as left.
 */
gboolean reg_leave(struct reg *, const char *id, gint64 wall);

/* The settings changed; strings are copied. */
void reg_settings(struct reg *, const char *address, const char *service);

/* New work may start.  FALSE while nothing is known of the backend server. */
gboolean reg_serving(const struct reg *);
/* Announced as leaving or gone, with the time since; FALSE otherwise. */
gboolean reg_leaving(const struct reg *, gint64 *since);
/* No announcement for several intervals although the server did not leave. */
gboolean reg_silent(const struct reg *);
const char *reg_id(const struct reg *); /* NULL: none held */
const char *reg_service(const struct reg *); /* NULL: none held */
int reg_slots(const struct reg *);
/* Time until which the server is slow after its start. */
gint64 reg_cold_until(const struct reg *);
/* Age of the newest announcement, -1: none. */
gint64 reg_age(const struct reg *);
