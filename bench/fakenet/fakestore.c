/* Simplified evaluation of change sets, which checks the order of records. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#include "dist.h"
#include "rpcio.h"
#define FN_PRIVATE
#include "fakenet.h"

static guint
id_hash(gconstpointer p)
{
	guint h;

	memcpy(&h, p, sizeof(h));
	return h;
}

static gboolean
id_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, PT_ID_LEN) == 0;
}

GHashTable *
fn_outcomes_new(void)
{
	return g_hash_table_new_full(id_hash, id_equal, g_free, g_free);
}

static void
outcome_set(struct fn_store *s, const void *id, gint64 offset)
{
	gint64 *v = g_new(gint64, 1);

	*v = offset;
	g_hash_table_insert(s->outcomes, g_memdup2(id, PT_ID_LEN), v);
}

/* Evaluates a record; ends the test if it is not the next one of the log. */
static void
store_eval(void *ctx, gint64 offset, GBytes *data)
{
	struct fn_node *n = ctx;
	struct fn_store *s = &n->s;
	struct pt_change c = { 0 };
	gsize len;
	const void *p = g_bytes_get_data(data, &len);
	guint64 id;

	if (offset != s->position + 1)
		g_error("%s: evaluated %" G_GINT64_FORMAT
			" after %" G_GINT64_FORMAT,
		    n->name, offset, s->position);
	n->f->records_in_order++;
	s->position = offset;
	s->evaluated++;
	if (!pt_decode((xdrproc_t)xdr_pt_change, &c, sizeof(c), p, len))
		return;
	if (g_hash_table_lookup(s->outcomes, c.id) == NULL) {
		if (c.ops.ops_val[0].base >= 0 &&
		    c.ops.ops_val[0].base != s->version)
			outcome_set(s, c.id, -offset);
		else {
			memcpy(&id, c.id, sizeof(id));
			s->chain = s->chain * 31 + id;
			s->version = offset;
			outcome_set(s, c.id, offset);
		}
	}
	xdr_free((xdrproc_t)xdr_pt_change, (char *)&c);
}

gint64
fn_store_position(void *ctx)
{
	return ((struct fn_node *)ctx)->s.position;
}

static gint64
store_version(void *ctx)
{
	return ((struct fn_node *)ctx)->s.version;
}

static void
store_digest(void *ctx, guint8 out[PT_DIGEST_LEN])
{
	memset(out, 0, PT_DIGEST_LEN);
	memcpy(out, &((struct fn_node *)ctx)->s.chain, 8);
}

static GBytes *
store_snapshot(void *ctx)
{
	struct fn_store *s = &((struct fn_node *)ctx)->s;
	GByteArray *a = g_byte_array_new();
	GHashTableIter it;
	gpointer k, v;

	g_byte_array_append(a, (guint8 *)&s->position, 8);
	g_byte_array_append(a, (guint8 *)&s->version, 8);
	g_byte_array_append(a, (guint8 *)&s->chain, 8);
	g_hash_table_iter_init(&it, s->outcomes);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		g_byte_array_append(a, k, PT_ID_LEN);
		g_byte_array_append(a, v, 8);
	}
	/* Pad the snapshot, so that peers fetch it in several chunks. */
	while (a->len < 100 * 1024)
		g_byte_array_append(a, (const guint8 *)"\0\0\0\0\0\0\0\0", 8);
	return g_byte_array_free_to_bytes(a);
}

static gboolean
store_load(void *ctx, GBytes *b, GError **err)
{
	struct fn_store *s = &((struct fn_node *)ctx)->s;
	static const guint8 none[PT_ID_LEN];
	gsize n, i;
	const guint8 *p = g_bytes_get_data(b, &n);
	gint64 position, offset;

	memcpy(&position, p, 8);
	if (position <= s->position)
		return FALSE;
	s->position = position;
	memcpy(&s->version, p + 8, 8);
	memcpy(&s->chain, p + 16, 8);
	g_hash_table_remove_all(s->outcomes);
	for (i = 24; i + PT_ID_LEN + 8 <= n; i += PT_ID_LEN + 8) {
		if (memcmp(p + i, none, PT_ID_LEN) == 0)
			break;
		memcpy(&offset, p + i + PT_ID_LEN, 8);
		outcome_set(s, p + i, offset);
	}
	return TRUE;
}

static gboolean
store_outcome(void *ctx, const guint8 id[PT_ID_LEN], struct pt_outcome *out)
{
	struct fn_store *s = &((struct fn_node *)ctx)->s;
	gint64 *v = g_hash_table_lookup(s->outcomes, id);
	static char text[] = "";

	if (v == NULL)
		return FALSE;
	memcpy(out->id, id, PT_ID_LEN);
	out->kind = *v > 0 ? PT_ACCEPTED : PT_CONFLICT;
	out->offset = ABS(*v);
	out->text = text;
	return TRUE;
}

static void
store_skip(void *ctx, gint64 position)
{
	struct fn_node *n = ctx;

	n->s.position = MAX(n->s.position, position);
}

const struct dist_store fn_store_port = { store_eval, fn_store_position,
	store_version, store_digest, store_snapshot, store_skip, store_load,
	store_outcome, NULL };

GBytes *
fn_record(guint32 tag, gint64 base, guint8 id[PT_ID_LEN])
{
	struct pt_change c = { 0 };
	struct pt_op op = { PT_KIND_MESH, "mesh", base, FALSE, "urgency=1\n" };

	c.proto = PT_PROTO;
	memset(c.id, 7, PT_ID_LEN);
	memcpy(c.id, &tag, sizeof(tag));
	c.author = "test";
	c.ops.ops_len = 1;
	c.ops.ops_val = &op;
	if (id != NULL)
		memcpy(id, c.id, PT_ID_LEN);
	return pt_encode((xdrproc_t)xdr_pt_change, &c);
}

gint64
fn_append_change(struct fn *f, guint32 tag)
{
	GBytes *b = fn_record(tag, -1, NULL);
	gint64 offset = fn_append(f, FN_CONFIG, b);

	g_bytes_unref(b);
	return offset;
}
