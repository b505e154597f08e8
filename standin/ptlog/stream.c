/*
 * Streams of the log stand-in: offsets, retention by age and by count.
 */

#include <glib.h>
#include <sys/queue.h>
#include <libsoup/soup.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "ptlog.h"

/*
 * Limit on the bytes of the records in one response, so that a batch fits in
 * memory.
 */
#define BATCH_BYTES (4 << 20)

/* Expired records that may remain at the front of the array. */
#define EXPIRED_MAX 1024

static void
stream_free(gpointer p)
{
	struct stream *s = p;
	guint i;

	for (i = s->head; i < s->recs->len; i++)
		g_bytes_unref(g_array_index(s->recs, struct rec, i).data);
	g_array_free(s->recs, TRUE);
	g_free(s->name);
	g_free(s);
}

struct store *
store_new(gint64 retention_us, guint retention_count)
{
	struct store *st;

	st = g_new0(struct store, 1);
	st->streams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, stream_free);
	st->retention_us = retention_us;
	st->retention_count = retention_count;
	return st;
}

void
store_free(struct store *st)
{
	g_hash_table_destroy(st->streams);
	g_free(st);
}

struct stream *
store_stream(struct store *st, const char *name)
{
	struct stream *s;

	s = g_hash_table_lookup(st->streams, name);
	if (s != NULL)
		return s;
	s = g_new0(struct stream, 1);
	s->name = g_strdup(name);
	s->recs = g_array_new(FALSE, FALSE, sizeof(struct rec));
	s->next = 1;
	TAILQ_INIT(&s->waits);
	g_hash_table_insert(st->streams, s->name, s);
	return s;
}

gint64
stream_append(struct stream *s, gint64 now_us, GBytes *data)
{
	struct rec r = { s->next++, now_us, g_bytes_ref(data) };

	g_array_append_val(s->recs, r);
	return r.offset;
}

gint64
stream_oldest(const struct stream *s)
{
	return s->next - (s->recs->len - s->head);
}

void
stream_expire(struct stream *s, gint64 before_us, guint keep)
{
	struct rec *r;

	while (s->head < s->recs->len) {
		r = &g_array_index(s->recs, struct rec, s->head);
		if (r->at_us >= before_us && s->recs->len - s->head <= keep)
			break;
		g_bytes_unref(r->data);
		s->head++;
	}
	if (s->head > EXPIRED_MAX && s->head > s->recs->len / 2) {
		g_array_remove_range(s->recs, 0, s->head);
		s->head = 0;
	}
}

GBytes *
stream_batch(const struct stream *s, gint64 from, guint max)
{
	struct pt_log_batch b = { 0 };
	struct pt_log_entry *e;
	const struct rec *r;
	GBytes *bytes;
	gsize total = 0, n;
	gint64 i;

	b.oldest = stream_oldest(s);
	b.next = s->next;
	b.entries.entries_val =
	    g_new0(struct pt_log_entry, MIN(max, PT_ENTRIES_MAX));
	for (i = from; from >= b.oldest && i < s->next; i++) {
		r = &g_array_index(
		    s->recs, struct rec, s->head + (i - b.oldest));
		n = g_bytes_get_size(r->data);
		if (b.entries.entries_len >= MIN(max, PT_ENTRIES_MAX) ||
		    (total > 0 && total + n > BATCH_BYTES))
			break;
		e = &b.entries.entries_val[b.entries.entries_len++];
		e->offset = r->offset;
		e->data.data_len = n;
		e->data.data_val = (char *)g_bytes_get_data(r->data, NULL);
		total += n;
	}
	bytes = pt_encode((xdrproc_t)xdr_pt_log_batch, &b);
	g_free(b.entries.entries_val);
	return bytes;
}
