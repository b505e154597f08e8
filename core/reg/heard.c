/*
 * What the backend servers of other nodes say of themselves, as this node has
 * passed it on to its callers.  A node that starts again has lost what its
 * server said; the nodes that send it requests tell it.
 */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "port.h"
#include "reg.h"

/* A statement is kept for this long: few servers take longer to leave. */
#define KEEP_US (60 * G_TIME_SPAN_SECOND)

struct entry {
	struct reg_statement statement;
	gint64 at;
};

struct reg_table {
	struct pt_clock clock;
	GHashTable *by_instance; /* name -> struct entry */
};

gboolean
reg_statement_restricts(const struct reg_statement *s)
{
	return s->leaving || s->limit >= 0;
}

void
reg_statement_clear(struct reg_statement *s)
{
	g_clear_pointer(&s->id, g_free);
}

static void
entry_free(void *p)
{
	struct entry *e = p;

	reg_statement_clear(&e->statement);
	g_free(e);
}

struct reg_table *
reg_table_new(const struct pt_clock *clock)
{
	struct reg_table *t = g_new0(struct reg_table, 1);

	t->clock = *clock;
	t->by_instance =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_free);
	return t;
}

void
reg_table_free(struct reg_table *t)
{
	if (t == NULL)
		return;
	g_hash_table_unref(t->by_instance);
	g_free(t);
}

static gboolean
is_old(gpointer key, gpointer value, gpointer now)
{
	const struct entry *e = value;

	return *(const gint64 *)now - e->at > KEEP_US;
}

/* TRUE if both are of one process. */
static gboolean
same_process(const struct reg_statement *a, const struct reg_statement *b)
{
	return strcmp(a->id, b->id) == 0 &&
	       (a->process_start == 0 || b->process_start == 0 ||
		   a->process_start == b->process_start);
}

void
reg_table_set(
    struct reg_table *t, const char *instance, const struct reg_statement *s)
{
	gint64 now = pt_now(&t->clock);
	struct entry *e = g_hash_table_lookup(t->by_instance, instance);
	gboolean left =
	    e != NULL && e->statement.leaving && same_process(&e->statement, s);

	if (!reg_statement_restricts(s) && !left) {
		if (e != NULL)
			g_hash_table_remove(t->by_instance, instance);
		return;
	}
	g_hash_table_foreach_remove(t->by_instance, is_old, &now);
	e = g_new0(struct entry, 1);
	e->statement = *s;
	e->statement.id = g_strdup(s->id);
	/* A process that has said that it leaves does not take it back. */
	e->statement.leaving = s->leaving || left;
	e->at = now;
	g_hash_table_replace(t->by_instance, g_strdup(instance), e);
}

const struct reg_statement *
reg_table_get(struct reg_table *t, const char *instance)
{
	struct entry *e = g_hash_table_lookup(t->by_instance, instance);
	gint64 now = pt_now(&t->clock);

	return e != NULL && !is_old(NULL, e, &now) ? &e->statement : NULL;
}
