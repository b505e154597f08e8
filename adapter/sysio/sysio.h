/*
 * Clock, timers, event log and settings of a process.  Include <glib.h>,
 * <rpc/rpc.h> and "port.h" before this header.
 */

/* Monotonic clock of the system, in microseconds. */
extern const struct pt_clock sys_clock;

/* Calls back once from the main loop after delay_us; the id is never 0. */
guint sys_after(gint64 delay_us, void (*cb)(void *), void *arg);

/* Cancels a pending callback and clears its id; 0 is ignored. */
void sys_cancel(guint *id);

/*
 * Runs tick() whenever it is due.  tick() returns the time of its next run on
 * sys_clock in microseconds, or G_MAXINT64 for none.
 */
struct sys_ticker;
struct sys_ticker *sys_ticker_new(gint64 (*tick)(void *), void *arg);
/* Runs tick() on the next iteration of the loop, after a change of state. */
void sys_ticker_kick(struct sys_ticker *);
void sys_ticker_free(struct sys_ticker *);

/*
 * Calls back from the main loop while a descriptor is ready for one of the
 * conditions, G_IO_IN and G_IO_OUT, or has failed; never without a condition.
 * The cost of a loop iteration does not grow with the number of watches.
 * Free a watch before its descriptor is closed; any callback may do so.
 */
struct sys_watch;
struct sys_watch *sys_watch_new(
    int fd, GIOCondition, void (*cb)(void *ctx, GIOCondition), void *ctx);
void sys_watch_set(struct sys_watch *, GIOCondition);
void sys_watch_free(struct sys_watch *);

/*
 * Event log: one line of key=value pairs for each event on standard error, as
 *   <6> 2026-01-01T00:00:00.000Z ptnode[123] event=NAME instance=... key=value
 * with the syslog priority first.  Use sys_quote() for values that may need
 * quotes.
 */
extern const struct pt_events sys_events;
void sys_events_init(const char *program, const char *instance, enum pt_level);

/*
 * Writes to standard output instead, without the syslog priority, and never
 * blocks: lines that do not fit the buffer while standard output is
 * read slowly are dropped.  Lines up to PT_LEVEL_INFO and lines of
 * PT_LEVEL_DEBUG are each limited to "rate" a second, with bursts of "burst"
 * lines; lines over the limit are dropped.  sys_lines_dropped() counts both.
 */
void sys_events_stdout(guint rate, guint burst);
/* Writes as many buffered lines as standard output accepts at once. */
void sys_events_flush(void);
guint64 sys_lines_dropped(void);

/* Copies a value, quoted if it has blanks, quotes or control characters. */
char *sys_quote(const char *value);

enum sys_kind {
	SYS_INT,
	SYS_STRING,
	SYS_FLAG
};

/* A setting, given as --name VALUE or as PREFIX_NAME in the environment. */
struct sys_setting {
	const char *name; /* lower case with '-' */
	enum sys_kind kind;
	void *target; /* int *, char ** (g_free) or gboolean * */
	gint64 min, max; /* SYS_INT */
	const char *def; /* default as text; NULL: required */
	const char *help; /* with unit */
};

/*
 * Reads settings from the command line, else from the environment, else from
 * their defaults.  Fails with PT_ERROR_SETTING and a text that names the
 * setting, the value, the allowed range and the remedy; an unknown variable
 * that starts with PREFIX_ is an error as well.  Positional arguments stay in
 * argv.  --help and --version print their text and exit.
 */
gboolean sys_settings(const struct sys_setting *, guint n, const char *prefix,
    const char *summary, int *argc, char ***argv, GError **);

/* Fails if positional arguments are left; the text names the first. */
gboolean sys_no_arguments(int argc, char **argv, GError **);

/* Fails with PT_ERROR_SETTING unless the value is http://ADDRESS[:PORT]. */
gboolean sys_http_url(const char *setting, const char *value, GError **);

/* Parses the name of a log level; fails with PT_ERROR_SETTING. */
gboolean sys_level(const char *name, enum pt_level *, GError **);
