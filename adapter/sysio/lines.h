/* Lines of the event log on standard output; include "port.h" before this. */

/* Charges a line to the rate limit; FALSE: it must be dropped. */
gboolean sys_lines_allow(enum pt_level);
/* Buffers or drops a line; FALSE: the log does not go to standard output. */
gboolean sys_lines_add(enum pt_level, const char *line);
