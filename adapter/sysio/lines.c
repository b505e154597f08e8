/*
 * Buffered log lines on standard output, limited in rate.  Writing never blocks
 * the main loop.
 */
#include <glib.h>
#include <poll.h>
#include <rpc/rpc.h>
#include <unistd.h>

#include "port.h"
#include "sysio.h"
#include "lines.h"

/* The buffer is written this long after its first line, or at this size. */
#define FLUSH_US (100 * G_TIME_SPAN_MILLISECOND)
#define FLUSH_BYTES 2048
/* A writable pipe accepts this many bytes without blocking (PIPE_BUF). */
#define WRITE_BYTES 4096
/* Lines are dropped while more is buffered: nobody reads standard output. */
#define BUFFER_BYTES (64 * 1024)

/* Token bucket of one group of levels. */
struct bucket {
	double tokens;
	gint64 updated; /* monotonic time */
};

static struct {
	gboolean on;
	guint rate, burst;
	struct bucket info; /* for levels up to PT_LEVEL_INFO */
	struct bucket debug; /* for PT_LEVEL_DEBUG */
	GString *buf;
	guint timer;
	guint64 dropped; /* over the rate, or with the buffer full */
} out;

void
sys_events_stdout(guint rate, guint burst)
{
	out.on = TRUE;
	out.rate = rate;
	out.burst = burst;
	out.info.tokens = out.debug.tokens = burst;
	out.buf = g_string_new(NULL);
}

guint64
sys_lines_dropped(void)
{
	return out.dropped;
}

gboolean
sys_lines_allow(enum pt_level level)
{
	struct bucket *b = level <= PT_LEVEL_INFO ? &out.info : &out.debug;
	gint64 now;

	if (!out.on)
		return TRUE;
	now = g_get_monotonic_time();
	b->tokens += (double)(now - b->updated) * out.rate / G_USEC_PER_SEC;
	b->tokens = MIN(b->tokens, out.burst);
	b->updated = now;
	if (b->tokens < 1) {
		out.dropped++;
		return FALSE;
	}
	b->tokens -= 1;
	return TRUE;
}

void
sys_events_flush(void)
{
	struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };
	gssize n;

	while (out.on && out.buf->len > 0 && poll(&p, 1, 0) == 1 &&
	       (p.revents & POLLOUT) != 0) {
		n = write(STDOUT_FILENO, out.buf->str,
		    MIN(out.buf->len, WRITE_BYTES));
		if (n <= 0)
			break;
		g_string_erase(out.buf, 0, n);
	}
}

static void
flush_timer(void *arg)
{
	out.timer = 0;
	sys_events_flush();
	if (out.buf->len > 0)
		out.timer = sys_after(FLUSH_US, flush_timer, NULL);
}

gboolean
sys_lines_add(enum pt_level level, const char *line)
{
	if (!out.on)
		return FALSE;
	if (out.buf->len > BUFFER_BYTES) {
		out.dropped++;
		return TRUE;
	}
	g_string_append(out.buf, line);
	if (out.buf->len >= FLUSH_BYTES || level == PT_LEVEL_ERROR)
		sys_events_flush();
	if (out.timer == 0 && out.buf->len > 0)
		out.timer = sys_after(FLUSH_US, flush_timer, NULL);
	return TRUE;
}
