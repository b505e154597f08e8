#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/* Longest remaining time accepted from a caller or sent on, in ms. */
#define DEADLINE_MAX_MS (24 * 60 * 60 * 1000)

gint64
deadline_begin(gint64 now, int timeout_ms, int remaining_ms)
{
	if (remaining_ms >= 0 && remaining_ms < timeout_ms)
		timeout_ms = remaining_ms;
	return now + timeout_ms * G_TIME_SPAN_MILLISECOND;
}

int
deadline_left_ms(gint64 now, gint64 deadline, gint64 hop_us)
{
	gint64 left;

	left = (deadline - now - hop_us) / G_TIME_SPAN_MILLISECOND;
	return (int)CLAMP(left, 0, DEADLINE_MAX_MS);
}

int
deadline_parse(const char *header)
{
	gint64 v;

	if (header == NULL ||
	    !g_ascii_string_to_signed(header, 10, 0, DEADLINE_MAX_MS, &v, NULL))
		return -1;
	return (int)v;
}
