#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/* Retries of a service without a setting, in percent of its calls. */
#define RETRY_PERCENT 10
/*
 * Retries that quiet times may save up where the owner sets nothing else;
 * bounds the burst after an outage.
 */
#define RETRY_SAVED 10
/* Tokens are counted in hundredths, so that percentages stay exact. */
#define TOKEN 100
/* Retries that a service may owe for calls of repeated runs. */
#define DEBT_MAX 10
/* Runs over which the calls of a run are averaged. */
#define RUNS_MAX 200

struct service {
	int percent;
	int limit;
	int saved; /* most tokens */
	int tokens;
	int running;
	double calls; /* while the runs below were counted */
};

struct budget {
	GHashTable *services; /* name -> struct service */
	double runs; /* of the backend server beside this node */
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
	s->saved = RETRY_SAVED * TOKEN;
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

	s->saved = (int)(CLAMP(retries, 1, RETRY_SAVED) * TOKEN);
	s->tokens = MIN(s->tokens, s->saved);
}

gboolean
budget_begin(struct budget *b, const char *name)
{
	struct service *s = service_get(b, name);

	if (s->limit > 0 && s->running >= s->limit)
		return FALSE;
	s->running++;
	s->calls++;
	s->tokens = MIN(s->tokens + s->percent, s->saved);
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
 * A run that is a repeat makes its calls again.  They are paid from the same
 * tokens as retries: then each level of calls may use the whole ratio, and a
 * level below one that repeats much repeats less.
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
