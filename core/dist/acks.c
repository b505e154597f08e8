/* Acknowledgements of subtrees: collected from children, sent to the parent. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#define DIST_PRIVATE
#include "dist.h"

/* Children and readers report every 5 s; one lost call is tolerated. */
#define ACK_TTL_US (12 * DIST_US)
/* Delay that batches changes of many children into one call to the parent. */
#define ACK_DELAY_US (150 * DIST_MS)
#define REPORT_US (5 * DIST_US)
#define REPORT_TIMEOUT_MS 2000

struct dist_ack *
dist_ack_find(struct dist_acks *list, const char *name)
{
	struct dist_ack *a;

	for (a = LIST_FIRST(list); a != NULL; a = LIST_NEXT(a, link)) {
		if (strcmp(a->name, name) == 0)
			return a;
	}
	return NULL;
}

static void
lag_add(struct dist_ack *a, const char *name)
{
	guint i;

	for (i = 0; i < a->n_lag; i++) {
		if (strcmp(a->lag[i], name) == 0)
			return;
	}
	if (a->n_lag < PT_LAG_MAX)
		a->lag[a->n_lag++] = g_strdup(name);
}

/* Stores the acknowledgement of a child or of a reader. */
struct dist_ack *
dist_ack_set(
    struct dist *d, struct dist_acks *list, const struct pt_sync_args *args)
{
	const struct pt_subtree *s = &args->acked;
	struct dist_ack *a = dist_ack_find(list, args->from);
	guint i;

	if (a == NULL) {
		a = g_new0(struct dist_ack, 1);
		a->name = g_strdup(args->from);
		LIST_INSERT_HEAD(list, a, link);
	}
	dist_ack_clear(a);
	a->received_at = pt_now(d->o.clock);
	a->nodes = s->nodes;
	a->lowest = s->lowest;
	a->newest = s->newest;
	a->holding = s->holding;
	a->names = (guint64)s->names;
	for (i = 0; i < s->lag.lag_len; i++)
		lag_add(a, s->lag.lag_val[i]);
	return a;
}

/* The member left or failed, so its acknowledgement no longer counts. */
static gboolean
absent(const struct dist *d, const struct dist_ack *a)
{
	const struct memb_member *m = memb_find(d->o.memb, a->name);

	return m != NULL && !memb_present(m);
}

void
dist_acks_expire(struct dist *d, struct dist_acks *list, gint64 now)
{
	struct dist_ack *a, *next;

	for (a = LIST_FIRST(list); a != NULL; a = next) {
		next = LIST_NEXT(a, link);
		if (now - a->received_at > ACK_TTL_US || absent(d, a))
			dist_ack_free(a);
	}
}

static void
add_counts(struct dist_ack *sum, const struct dist_ack *a)
{
	sum->nodes += a->nodes;
	sum->lowest = MIN(sum->lowest, a->lowest);
	if (a->newest > sum->newest) {
		sum->newest = a->newest;
		sum->holding = 0;
		sum->names = 0;
	}
	if (a->newest == sum->newest) {
		sum->holding += a->holding;
		sum->names += a->names;
	}
}

static void
add_lag(struct dist_ack *sum, const struct dist_ack *a)
{
	guint i;

	if (a->newest < sum->newest)
		lag_add(sum, a->name);
	for (i = 0; i < a->n_lag; i++)
		lag_add(sum, a->lag[i]);
}

/* Sums up this node, its children and, with "reports", the other readers. */
void
dist_subtree(struct dist *d, gboolean reports, struct dist_ack *out)
{
	struct dist_ack self = { 0 }, *a;

	self.name = memb_self(d->o.memb)->instance;
	self.nodes = 1;
	self.holding = 1;
	self.names = memb_hash(self.name);
	self.lowest = self.newest = dist_version(d);
	*out = self;
	out->lowest = G_MAXINT64;
	out->nodes = out->holding = 0;
	out->names = 0;
	add_counts(out, &self);
	for (a = LIST_FIRST(&d->children); a != NULL; a = LIST_NEXT(a, link))
		add_counts(out, a);
	if (reports)
		for (a = LIST_FIRST(&d->reports); a != NULL;
		     a = LIST_NEXT(a, link))
			add_counts(out, a);
	add_lag(out, &self);
	for (a = LIST_FIRST(&d->children); a != NULL; a = LIST_NEXT(a, link))
		add_lag(out, a);
	if (reports)
		for (a = LIST_FIRST(&d->reports); a != NULL;
		     a = LIST_NEXT(a, link))
			add_lag(out, a);
}

/* Fills in the wire form; the names still belong to the acknowledgement. */
void
dist_ack_wire(const struct dist_ack *a, struct pt_subtree *s)
{
	s->nodes = a->nodes;
	s->lowest = a->lowest;
	s->newest = a->newest;
	s->holding = a->holding;
	s->names = (quad_t)a->names;
	s->lag.lag_len = a->n_lag;
	s->lag.lag_val = (pt_name *)a->lag;
}

gboolean
dist_ack_equal(const struct dist_ack *a, const struct dist_ack *b)
{
	return a->nodes == b->nodes && a->lowest == b->lowest &&
	       a->newest == b->newest && a->holding == b->holding &&
	       a->names == b->names;
}

/* The subtree changed: schedules an acknowledgement after a short delay. */
void
dist_ack_changed(struct dist *d)
{
	if (d->ack_due == 0)
		d->ack_due = pt_now(d->o.clock) + ACK_DELAY_US;
}

static void
report_done(void *arg, void *res, const GError *err)
{
	dist_unref(arg);
}

/* Reports the subtree of this reader to the first reader of the mesh. */
static void
report(struct dist *d, gint64 now)
{
	const struct memb_member *x = memb_find(d->o.memb, d->first_reader);
	struct pt_sync_args a = { 0 };
	struct dist_ack sum;

	d->report_due = now + REPORT_US;
	if (x == NULL || dist_is_first(d))
		return;
	dist_subtree(d, FALSE, &sum);
	a.proto = PT_PROTO;
	a.from = memb_self(d->o.memb)->instance;
	a.position = dist_position(d);
	dist_ack_wire(&sum, &a.acked);
	d->stats.acks++;
	d->refs++;
	d->o.rpc->call(d->o.rpc->ctx, x->host, x->rpc_port, PT_ACKED, &a,
	    REPORT_TIMEOUT_MS, report_done, d);
	dist_ack_clear(&sum);
}

gint64
dist_acks_tick(struct dist *d, gint64 now)
{
	struct dist_ack sum;

	dist_acks_expire(d, &d->children, now);
	dist_acks_expire(d, &d->reports, now);
	if (d->ack_due != 0 && d->ack_due <= now) {
		d->ack_due = 0;
		dist_subtree(d, FALSE, &sum);
		dist_ack_clear(&sum);
		if (d->reader)
			d->report_due = 0;
		else if (d->parent.busy &&
			 !dist_ack_equal(&sum, &d->sent_ack)) {
			/*
			 * Reports the change at once, by a new SYNC that
			 * replaces the one held at the parent.
			 */
			d->parent.busy = FALSE;
			d->parent.due = now;
		}
	}
	if (!d->reader)
		return d->ack_due != 0 ? d->ack_due : G_MAXINT64;
	if (d->report_due <= now)
		report(d, now);
	return d->ack_due != 0 ? MIN(d->ack_due, d->report_due) : d->report_due;
}
