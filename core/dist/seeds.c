/* Stream "seeds": addresses at which a booting node finds a member. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#define DIST_PRIVATE
#include "dist.h"

#define SEEDS_READ 64 /* records per read */
/* Readers reread seeds to find members they lost in a partition. */
#define READ_US (60 * DIST_US)
/* Interval between reads of a node that finds no other member. */
#define ALONE_READ_US (5 * DIST_US)

static void
add_seed(struct dist *d, GBytes *record)
{
	struct pt_seed s = { 0 };
	const void *p;
	gsize n;

	p = g_bytes_get_data(record, &n);
	if (!pt_decode((xdrproc_t)xdr_pt_seed, &s, sizeof(s), p, n))
		return;
	if (pt_proto_supported(s.proto) && s.gossip_port > 0 &&
	    s.rpc_port > 0 &&
	    strcmp(s.instance, memb_self(d->o.memb)->instance) != 0)
		memb_add_seed(d->o.memb, s.host, s.gossip_port, s.rpc_port);
	xdr_free((xdrproc_t)xdr_pt_seed, (char *)&s);
}

static void seeds_read(struct dist *, gint64 from, guint max, pt_read_cb);

static void
seeds_done(void *arg, const struct pt_batch *b, const GError *err)
{
	struct dist *d = arg;
	guint i;

	if (!d->closed) {
		d->seed_busy = FALSE;
		dist_log_result(d, err);
		for (i = 0; err == NULL && b != NULL && i < b->n_entries; i++) {
			add_seed(d, b->entries[i].data);
			d->seeds_next = b->entries[i].offset + 1;
		}
	}
	dist_unref(d);
}

static void
seeds_bounds(void *arg, const struct pt_batch *b, const GError *err)
{
	struct dist *d = arg;

	if (!d->closed) {
		d->seed_busy = FALSE;
		dist_log_result(d, err);
		if (err == NULL && b != NULL && b->next > b->oldest)
			seeds_read(d, MAX(b->oldest, b->next - SEEDS_READ),
			    SEEDS_READ, seeds_done);
	}
	dist_unref(d);
}

static void
seeds_read(struct dist *d, gint64 from, guint max, pt_read_cb cb)
{
	d->seed_busy = TRUE;
	d->refs++;
	d->stats.log_requests[DIST_LOG_SEED]++;
	d->o.log->read(d->o.log->ctx, "seeds", from, max, 0, cb, d);
}

static void
seed_written(void *arg, gint64 offset, const GError *err)
{
	struct dist *d = arg;

	if (!d->closed) {
		dist_log_result(d, err);
		if (err != NULL)
			d->seed_write_due = pt_now(d->o.clock) +
					    DIST_BACKOFF_MAX_US +
					    dist_backoff(d, 5);
	}
	dist_unref(d);
}

static void
seed_write(struct dist *d)
{
	const struct memb_member *me = memb_self(d->o.memb);
	struct pt_seed s = { 0 };
	GBytes *b;

	s.proto = PT_PROTO;
	s.instance = me->instance;
	s.host = me->host;
	s.rpc_port = me->rpc_port;
	s.gossip_port = me->gossip_port;
	b = pt_encode((xdrproc_t)xdr_pt_seed, &s);
	d->refs++;
	d->stats.log_requests[DIST_LOG_SEED]++;
	d->o.log->append(d->o.log->ctx, "seeds", b, seed_written, d);
	g_bytes_unref(b);
}

/* Reads seeds not read yet; at first, and if alone, the newest ones. */
static void
seeds_start(struct dist *d)
{
	if (d->seeds_next > 0 && memb_count(d->o.memb) > 1)
		seeds_read(d, d->seeds_next, SEEDS_READ, seeds_done);
	else
		seeds_read(d, 1, 1, seeds_bounds);
}

gint64
dist_seeds_tick(struct dist *d, gint64 now)
{
	gboolean alone = memb_count(d->o.memb) <= 1;
	gint64 due = G_MAXINT64;

	if ((d->reader || alone) && !d->seed_busy) {
		if (d->seed_read_due <= now) {
			d->seed_read_due =
			    now + (alone ? ALONE_READ_US : READ_US) *
				      (1.0 + g_rand_double(d->o.rand) / 5);
			seeds_start(d);
		}
		due = d->seed_read_due;
	}
	if (!d->reader)
		return due;
	if (d->seed_write_due <= now) {
		d->seed_write_due = now + d->o.retention_us *
					      (3.0 + g_rand_double(d->o.rand)) /
					      16;
		seed_write(d);
	}
	return MIN(due, d->seed_write_due);
}
