/* Lines of the event log on standard output; include "port.h" before this. */

/* FALSE: the rate limit is exceeded and the line must be dropped. */
gboolean sys_lines_allow(enum pt_level);
/* FALSE: the log does not go to standard output. */
gboolean sys_lines_add(enum pt_level, const char *line);
