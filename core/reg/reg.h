/*
 * Registration of the backend server beside this node: what it announced, and
 * whether it accepts new requests.  No I/O.  Include <glib.h> and "port.h"
 * before this header.  Times are microseconds of the clock in the options.
 */

enum reg_state {
	REG_SERVING,
	REG_DRAINING
};

/* One announcement of a backend server. */
struct reg_announce {
	const char *id; /* identifies one incarnation of a backend server */
	const char *service;
	const char *address; /* "IP:PORT" */
	gint64 process_start; /* in Unix ms, 0: not given */
	gint64 sequence; /* grows with each announcement of a process */
	gint64 cold; /* time until it has warmed up */
	int slots;
	enum reg_state state;
};

struct reg_opts {
	struct pt_clock clock;
	const char *address; /* of the backend server beside this node */
	const char *service; /* from the settings */
	gint64 heartbeat; /* interval between announcements */
};

enum reg_verdict {
	REG_NEW, /* another incarnation was registered */
	REG_KEPT, /* state, slots and service are unchanged */
	REG_CHANGED, /* state, slots or service changed */
	REG_STALE, /* older than the registration: ignored */
	REG_FOREIGN /* names another address: ignored */
};

struct reg;
struct reg *reg_new(const struct reg_opts *);
void reg_free(struct reg *);

enum reg_verdict reg_announce(struct reg *, const struct reg_announce *);
/*
 * Registers a server that was found running, with the service from the
 * settings, until its first announcement replaces the registration.  FALSE: a
 * server is registered already, or this one has left.
 */
gboolean reg_adopt(struct reg *, const char *id, int slots);
/*
 * Removes an adopted server that has not announced itself since.  FALSE: there
 * is none.
 */
gboolean reg_disown(struct reg *);
/*
 * Records that a former process of this node acknowledged the leave of its
 * server: none is adopted until a server announces itself.
 */
void reg_former_left(struct reg *);
/*
 * Records that a server has left.  For a server that is not registered, every
 * process started up to "wall", the time of day in Unix ms, counts as left.
 * TRUE if the server is the registered one, or none is registered.
 */
gboolean reg_leave(struct reg *, const char *id, gint64 wall);

/* Applies new settings; another address removes the registration. */
void reg_settings(struct reg *, const char *address, const char *service);

/* TRUE if a server is registered and accepts new requests. */
gboolean reg_serving(const struct reg *);
/* TRUE if the registered server is draining or has left, "since" that time. */
gboolean reg_leaving(const struct reg *, gint64 *since);
/* TRUE after reg_former_left() until a server announces itself. */
gboolean reg_left_before(const struct reg *);
/* TRUE if a server is registered whose announcements have ceased. */
gboolean reg_silent(const struct reg *);
const char *reg_id(const struct reg *); /* NULL: none registered */
const char *reg_service(const struct reg *); /* NULL: none registered */
int reg_slots(const struct reg *);
/* Time at which the server has warmed up, 0: it announced no such time. */
gint64 reg_cold_until(const struct reg *);
/* Age of the newest announcement, -1: no server is registered. */
gint64 reg_age(const struct reg *);
