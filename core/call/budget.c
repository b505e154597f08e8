#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/* Default retry budget of a service, in percent of its calls. */
#define RETRY_PERCENT 10
/*
 * Default and maximum of the unused retries that are kept; limits the burst of
 * retries at the beginning of an outage.
 */
#define RETRY_BURST 10
/* Tokens that a retry costs; a call adds "percent" tokens. */
#define TOKEN 100
/* Most retries by which the calls of repeated runs may overdraw a budget. */
#define DEBT_MAX 10
/* Number of runs over which the calls made by a run are averaged. */
#define RUNS_MAX 200

struct service {
	int percent; /* retries per 100 calls */
	int limit; /* of running calls, 0: none */
	int burst; /* most tokens kept */
	int tokens; /* unused; negative if overdrawn */
	int running; /* calls */
	double calls; /* made during the runs counted in struct budget */
};

struct budget {
	GHashTable *services; /* name -> struct service */
	double runs; /* of this node's backend server */
};

struct budget *
budget_new(void)
{
	struct budget *b = g_new0(struct budget, 1);

	b->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

void
budget_free(struct budget *b)
{
	if (b == NULL)
		return;
	g_hash_table_unref(b->services);
	g_free(b);
}

static struct service *
service_get(struct budget *b, const char *name)
{
	struct service *s;

	s = g_hash_table_lookup(b->services, name);
	if (s != NULL)
		return s;
	s = g_new0(struct service, 1);
	s->percent = RETRY_PERCENT;
	s->burst = RETRY_BURST * TOKEN;
	g_hash_table_insert(b->services, g_strdup(name), s);
	return s;
}

void
budget_set(struct budget *b, const char *name, int retry_percent, int limit)
{
	struct service *s = service_get(b, name);

	s->percent = CLAMP(retry_percent, 0, 100);
	s->limit = MAX(limit, 0);
}

void
budget_burst(struct budget *b, const char *name, double retries)
{
	struct service *s = service_get(b, name);

	s->burst = (int)(CLAMP(retries, 1, RETRY_BURST) * TOKEN);
	s->tokens = MIN(s->tokens, s->burst);
}

gboolean
budget_begin(struct budget *b, const char *name)
{
	struct service *s = service_get(b, name);

	if (s->limit > 0 && s->running >= s->limit)
		return FALSE;
	s->running++;
	s->calls++;
	s->tokens = MIN(s->tokens + s->percent, s->burst);
	return TRUE;
}

void
budget_end(struct budget *b, const char *name)
{
	struct service *s = service_get(b, name);

	if (s->running > 0)
		s->running--;
}

gboolean
budget_retry(struct budget *b, const char *name)
{
	struct service *s = service_get(b, name);

	if (s->tokens < TOKEN)
		return FALSE;
	s->tokens -= TOKEN;
	return TRUE;
}

/*
 * A repeated run makes its calls again, so they are charged to the same budget
 * as retries.  Each level of a chain of calls can then use the full ratio, and
 * a level whose callers retry much retries less itself.
 */
void
budget_count_run(struct budget *b, gboolean repeat)
{
	struct service *s;
	GHashTableIter it;
	gboolean halve;
	gpointer v;

	halve = ++b->runs > RUNS_MAX;
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		s = v;
		if (repeat)
			s->tokens -= (int)(s->calls / b->runs * TOKEN);
		s->tokens = MAX(s->tokens, -DEBT_MAX * TOKEN);
		if (halve)
			s->calls /= 2;
	}
	if (halve)
		b->runs /= 2;
}
