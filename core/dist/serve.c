/* Answers SYNC and SNAP calls of other nodes. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#define DIST_PRIVATE
#include "dist.h"

#define WAIT_MAX_MS 10000
/* Limit on the bytes of records in one answer. */
#define ANSWER_BYTES (512 * 1024)
/* A node that catches up keeps its slot for this long after its last call. */
#define SLOT_US (3 * DIST_US)
#define RETRY_BOOTING_MS 250
#define RETRY_BUSY_MS 500

static void
slot_release(struct dist *d, const char *name)
{
	guint i;

	for (i = 0; i < DIST_CATCHUPS_MAX; i++) {
		if (g_strcmp0(d->slots[i].name, name) == 0)
			d->slots[i].until = 0;
	}
}

/* Admits a catch-up by snapshot, at most DIST_CATCHUPS_MAX at a time. */
static gboolean
slot_acquire(struct dist *d, const char *name)
{
	gint64 now = pt_now(d->o.clock);
	struct dist_slot *s, *room = NULL;
	guint i;

	for (i = 0; i < DIST_CATCHUPS_MAX; i++) {
		s = &d->slots[i];
		if (g_strcmp0(s->name, name) == 0) {
			room = s;
			break;
		}
		if (s->until <= now)
			room = s;
	}
	if (room == NULL)
		return FALSE;
	if (g_strcmp0(room->name, name) != 0) {
		g_free(room->name);
		room->name = g_strdup(name);
	}
	room->until = now + SLOT_US;
	return TRUE;
}

static void
reply(struct dist *d, struct pt_sync_res *r, dist_sync_cb cb, void *arg)
{
	r->proto = PT_PROTO;
	cb(arg, r);
}

static void
refuse(struct dist *d, enum pt_sync_status status, guint retry_ms,
    dist_sync_cb cb, void *arg)
{
	struct pt_sync_res r = { 0 };

	if (status == PT_SYNC_FULL || status == PT_SYNC_BUSY)
		d->stats.refused++;
	r.status = status;
	r.retry_ms = retry_ms;
	r.position = dist_position(d);
	reply(d, &r, cb, arg);
}

/* Sends the recent records after "position". */
static void
send_records(struct dist *d, gint64 position, dist_sync_cb cb, void *arg)
{
	struct pt_log_entry *list = g_new0(struct pt_log_entry, PT_ENTRIES_MAX);
	struct pt_sync_res r = { 0 };
	struct dist_rec *rec;
	gsize bytes = 0, n;
	guint i = 0;

	for (rec = TAILQ_FIRST(&d->recent); rec != NULL;
	     rec = TAILQ_NEXT(rec, link)) {
		if (rec->offset <= position)
			continue;
		n = g_bytes_get_size(rec->data);
		if (i == PT_ENTRIES_MAX || (i > 0 && bytes + n > ANSWER_BYTES))
			break;
		bytes += n;
		list[i].offset = rec->offset;
		list[i].data.data_len = n;
		list[i].data.data_val =
		    (char *)g_bytes_get_data(rec->data, NULL);
		i++;
	}
	r.status = PT_SYNC_OK;
	r.position = dist_position(d);
	r.entries.entries_len = i;
	r.entries.entries_val = list;
	reply(d, &r, cb, arg);
	g_free(list);
}

static void
send_snapshot(struct dist *d, const char *from, dist_sync_cb cb, void *arg)
{
	struct pt_sync_res r = { 0 };

	if (!slot_acquire(d, from)) {
		refuse(d, PT_SYNC_BUSY, RETRY_BUSY_MS, cb, arg);
		return;
	}
	dist_snap_refresh(d);
	r.status = PT_SYNC_SNAPSHOT;
	r.position = d->snaps[0].position;
	memcpy(r.digest, d->snaps[0].digest, PT_DIGEST_LEN);
	reply(d, &r, cb, arg);
}

/* Sends the records after "position", or a snapshot if they are not kept. */
static void
send_newer(struct dist *d, const char *from, gint64 position, dist_sync_cb cb,
    void *arg)
{
	const struct dist_rec *first = TAILQ_FIRST(&d->recent);

	if (position >= dist_position(d) ||
	    (first != NULL && first->offset <= position + 1)) {
		slot_release(d, from);
		send_records(d, position, cb, arg);
	} else
		send_snapshot(d, from, cb, arg);
}

/* Finds the waiting call of a child. */
static struct dist_wait *
wait_find(struct dist *d, const char *from)
{
	struct dist_wait *w;

	for (w = LIST_FIRST(&d->waits); w != NULL; w = LIST_NEXT(w, link)) {
		if (!w->catchup_only && strcmp(w->from, from) == 0)
			return w;
	}
	return NULL;
}

static void
wait_answer(struct dist *d, struct dist_wait *w)
{
	dist_sync_cb cb = w->cb;
	void *arg = w->arg;
	gint64 position = w->position;
	char *from = g_steal_pointer(&w->from);

	dist_wait_free(w);
	send_newer(d, from, position, cb, arg);
	g_free(from);
}

static guint
n_children(const struct dist *d)
{
	const struct dist_ack *a;
	guint n = 0;

	for (a = LIST_FIRST(&d->children); a != NULL; a = LIST_NEXT(a, link))
		n++;
	return n;
}

/* Stores the child's acknowledgement; FALSE if there are too many children. */
static gboolean
admit_child(struct dist *d, const struct pt_sync_args *a)
{
	struct dist_ack *child = dist_ack_find(&d->children, a->from);
	struct dist_ack before = { 0 };

	if (child == NULL && n_children(d) >= DIST_CHILDREN_MAX)
		return FALSE;
	if (child != NULL) {
		before = *child;
		before.n_lag = 0;
	}
	child = dist_ack_set(d, &d->children, a);
	if (!dist_ack_equal(child, &before))
		dist_ack_changed(d);
	return TRUE;
}

static guint
wait_new(
    struct dist *d, const struct pt_sync_args *a, dist_sync_cb cb, void *arg)
{
	struct dist_wait *w = g_new0(struct dist_wait, 1);

	if (++d->next_id == 0)
		d->next_id = 1;
	w->id = d->next_id;
	w->from = g_strdup(a->from);
	w->position = a->position;
	w->catchup_only = a->once;
	w->due = pt_now(d->o.clock) + MIN(a->wait_ms, WAIT_MAX_MS) * DIST_MS;
	w->cb = cb;
	w->arg = arg;
	LIST_INSERT_HEAD(&d->waits, w, link);
	return w->id;
}

guint
dist_serve_sync(
    struct dist *d, const struct pt_sync_args *a, dist_sync_cb cb, void *arg)
{
	struct dist_wait *old;

	if (!pt_proto_supported(a->proto)) {
		refuse(d, PT_VERSION_REFUSED, 0, cb, arg);
		return 0;
	}
	old = wait_find(d, a->from);
	if (old != NULL && !a->once)
		wait_answer(d, old);
	/* While booting, this node does not know the current position. */
	if (!d->ready) {
		refuse(d, PT_SYNC_BUSY, RETRY_BOOTING_MS, cb, arg);
		return 0;
	}
	if (!a->once && !admit_child(d, a)) {
		refuse(d, PT_SYNC_FULL, 0, cb, arg);
		return 0;
	}
	if (a->position >= dist_position(d) && a->wait_ms > 0) {
		slot_release(d, a->from);
		return wait_new(d, a, cb, arg);
	}
	send_newer(d, a->from, a->position, cb, arg);
	return 0;
}

void
dist_sync_cancel(struct dist *d, guint id)
{
	struct dist_wait *w;

	for (w = LIST_FIRST(&d->waits); w != NULL; w = LIST_NEXT(w, link)) {
		if (w->id == id) {
			dist_wait_free(w);
			return;
		}
	}
}

/* Answers waiting calls whose position is below this node's. */
void
dist_wake(struct dist *d)
{
	struct dist_wait *w, *next;
	gint64 position = dist_position(d);

	for (w = LIST_FIRST(&d->waits); w != NULL; w = next) {
		next = LIST_NEXT(w, link);
		if (w->position < position)
			wait_answer(d, w);
	}
}

void
dist_serve_snap(
    struct dist *d, const struct pt_snap_args *a, struct pt_snap_chunk *res)
{
	struct dist_snap *s = &d->snaps[0];
	const char *p;
	gsize n, at, len;

	memset(res, 0, sizeof(*res));
	res->proto = PT_PROTO;
	if (!d->ready || !pt_proto_supported(a->proto))
		return;
	if (a->position != 0 && s->position != a->position)
		s = &d->snaps[1];
	if (s->data == NULL ||
	    (a->position != 0 && s->position != a->position)) {
		dist_snap_refresh(d);
		s = &d->snaps[0];
	}
	slot_acquire(d, a->from);
	p = g_bytes_get_data(s->data, &n);
	res->position = s->position;
	memcpy(res->digest, s->digest, PT_DIGEST_LEN);
	res->index = a->index;
	res->count = (n + DIST_CHUNK_BYTES - 1) / DIST_CHUNK_BYTES;
	at = (gsize)a->index * DIST_CHUNK_BYTES;
	if (at >= n)
		return;
	len = MIN(n - at, DIST_CHUNK_BYTES);
	res->data.data_val = (char *)p + at;
	res->data.data_len = len;
}

void
dist_serve_acked(struct dist *d, const struct pt_sync_args *a)
{
	if (pt_proto_supported(a->proto))
		dist_ack_set(d, &d->reports, a);
}

gint64
dist_serve_tick(struct dist *d, gint64 now)
{
	struct dist_wait *w, *next;
	gint64 due = G_MAXINT64;

	for (w = LIST_FIRST(&d->waits); w != NULL; w = next) {
		next = LIST_NEXT(w, link);
		if (w->due <= now)
			wait_answer(d, w);
		else
			due = MIN(due, w->due);
	}
	return due;
}

void
dist_serve_free(struct dist *d)
{
	guint i;

	while (!LIST_EMPTY(&d->waits))
		dist_wait_free(LIST_FIRST(&d->waits));
	while (!LIST_EMPTY(&d->children))
		dist_ack_free(LIST_FIRST(&d->children));
	while (!LIST_EMPTY(&d->reports))
		dist_ack_free(LIST_FIRST(&d->reports));
	for (i = 0; i < DIST_CATCHUPS_MAX; i++)
		g_free(d->slots[i].name);
	for (i = 0; i < G_N_ELEMENTS(d->snaps); i++) {
		if (d->snaps[i].data != NULL)
			g_bytes_unref(d->snaps[i].data);
	}
}
