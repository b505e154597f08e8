/* Releases the entries of the intrusive lists. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#define DIST_PRIVATE
#include "dist.h"

void
dist_ack_clear(struct dist_ack *a)
{
	guint i;

	for (i = 0; i < a->n_lag; i++)
		g_free(a->lag[i]);
	a->n_lag = 0;
}

void
dist_ack_free(struct dist_ack *a)
{
	LIST_REMOVE(a, link);
	dist_ack_clear(a);
	g_free(a->name);
	g_free(a);
}

void
dist_wait_free(struct dist_wait *w)
{
	LIST_REMOVE(w, link);
	g_free(w->from);
	g_free(w);
}

void
dist_partial_free(struct dist_partial *a)
{
	guint i;

	for (i = 0; i < a->count; i++) {
		if (a->chunks[i] != NULL)
			g_bytes_unref(a->chunks[i]);
	}
	g_free(a->chunks);
	LIST_REMOVE(a, link);
	g_free(a);
}
