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

/*
 * Applies a departure that a former process of this node has acknowledged. TRUE
 * if the registered server is the one that left.
 */
gboolean reg_departed(struct reg *, const char *id, gint64 process_start);
/* Newest departure, for other nodes; FALSE: there is none. */
gboolean reg_last_departure(
    const struct reg *, const char **id, gint64 *process_start);

/*
 * What a process of a backend server says of itself with its answers, beside
 * its announcements.
 */
struct reg_statement {
	char *id;
	gint64 process_start; /* in Unix ms, 0: not known */
	gboolean leaving;
	double limit; /* requests a second from all nodes, negative: none */
};

/* TRUE if it says that the server leaves or limits its requests. */
gboolean reg_statement_restricts(const struct reg_statement *);
void reg_statement_clear(struct reg_statement *);

/*
 * Number of the registered process in this node, to be passed on with its
 * answers.  An adopted server keeps it when it announces itself.
 */
guint reg_process(const struct reg *);
/*
 * Applies what an answer of the process "process" says.  A process that has
 * said that it leaves does not take it back.  TRUE if something changed.
 */
gboolean reg_answered(
    struct reg *, guint process, gboolean leaving, double limit);
/*
 * Applies what another node has heard from the registered process before this
 * node has: a former process of this node may have passed it on.  TRUE if
 * something changed.
 */
gboolean reg_heard(struct reg *, const struct reg_statement *);
/*
 * What the registered process has said so far; the id belongs to the struct
 * reg.  FALSE: no server is registered.
 */
gboolean reg_state(const struct reg *, struct reg_statement *);
/* Requests a second that the server takes, negative: no limit. */
double reg_limit(const struct reg *);
/* Age of the newest answer of the registered process, -1: none so far. */
gint64 reg_answer_age(const struct reg *);

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

/* ---- gone.c: backend servers of other nodes that have left ---- */

/* Most departures that are remembered; the oldest are forgotten first. */
#define REG_GONE_MAX 256

struct pt_departure; /* of pt.h */

struct reg_gone;
struct reg_gone *reg_gone_new(const struct pt_clock *);
void reg_gone_free(struct reg_gone *);
void reg_gone_add(struct reg_gone *, const struct pt_departure *);
/*
 * Fills in up to "max" departures that the node "instance" has acknowledged,
 * the newest first; the strings belong to the table.  Returns the number.
 */
guint reg_gone_of(
    struct reg_gone *, const char *instance, struct pt_departure *, guint max);

/* ---- heard.c: what the backend servers of other nodes say of themselves ----
 */

struct reg_table;
struct reg_table *reg_table_new(const struct pt_clock *);
void reg_table_free(struct reg_table *);
/* Records what the server beside the node "instance" says of itself. */
void reg_table_set(
    struct reg_table *, const char *instance, const struct reg_statement *);
/* The last statement that restricts requests; NULL: none, or too old. */
const struct reg_statement *reg_table_get(
    struct reg_table *, const char *instance);
