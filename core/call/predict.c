/*
 * Prediction of the work of a request from its kind.  Samples are kept in
 * logarithms at four levels, each more specific than the one before: the
 * service, the route, the kind of request on the route, and the organisation
 * that sends it.  A level with few samples is close to the one above.
 */
#include <glib.h>
#include <math.h>
#include <string.h>
#include <sys/queue.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "call.h"

/* Entries kept, a power of two: 12 KB for each service. */
#define ENTRIES 512
/* Entries that a key may be stored in; the one unused for longest is reused. */
#define PROBES 8
/* Weight of a new sample: 1 / SAMPLES_MAX, more for the first ones. */
#define SAMPLES_MAX 64
/* Samples of a level that count as much as all levels above it. */
#define PRIOR_SAMPLES 4
/*
 * Limit of the difference between a sample and the logarithmic mean.  Requests
 * that take 3 to 7 times as long than others of their kind would otherwise
 * dominate it; they count in the tail factor.
 */
#define STEP_MAX 1.0
/* Limit of a sample relative to the logarithmic mean, in the tail factor. */
#define TAIL_MAX 8.0
/* Prediction before the first sample: work in us, spread as a logarithm. */
#define WORK_FIRST 50000.0
#define SPREAD_FIRST 0.7
/* Tail factor before the first sample, of a spread of 0.5. */
#define TAIL_FIRST 1.13
/* Mean absolute deviation to standard deviation, of a normal distribution. */
#define DEVIATION_TO_SPREAD 1.25

struct entry {
	guint32 key; /* 0: unused */
	guint32 used; /* number of the last sample */
	guint32 n;
	float mu; /* mean of the logarithms */
	float deviation; /* mean absolute one of the logarithms */
	float tail; /* mean of the samples relative to exp(mu) */
};

struct predict {
	guint32 samples;
	struct entry e[ENTRIES];
};

struct predict *
predict_new(void)
{
	return g_new0(struct predict, 1);
}

void
predict_free(struct predict *p)
{
	g_free(p);
}

/* FNV-1a. */
static guint32
mix(guint32 h, const void *data, gsize n)
{
	const guint8 *p = data;

	for (; n > 0; n--)
		h = (h ^ *p++) * 16777619u;
	return h;
}

static guint32
mix_word(guint32 h, const char *s)
{
	return s != NULL ? mix(h, s, strlen(s) + 1) : mix(h, "", 1);
}

/* Class of the size of a body: none, then by powers of 4 from 256 bytes. */
static guint8
size_class(gsize n)
{
	guint8 c = n > 0;

	for (n >>= 8; n > 0 && c < 10; n >>= 2)
		c++;
	return c;
}

void
predict_id(const struct predict_key *k, struct predict_id *id)
{
	guint8 kind[2] = { size_class(k->body), k->retry != FALSE };
	guint32 h = 2166136261u;
	guint i;

	id->h[0] = h;
	id->h[1] = h = mix_word(h, k->route);
	id->h[2] = h = mix(mix_word(h, k->method), kind, sizeof(kind));
	id->h[3] = k->org != NULL ? mix_word(h, k->org) : 0;
	for (i = 0; i < 3; i++)
		id->h[i] = MAX(id->h[i], 1);
}

static guint
slot_of(guint32 key, guint i)
{
	return ((key ^ key >> 15) + i) & (ENTRIES - 1);
}

static const struct entry *
find(const struct predict *p, guint32 key)
{
	guint i;

	for (i = 0; key != 0 && i < PROBES; i++)
		if (p->e[slot_of(key, i)].key == key)
			return &p->e[slot_of(key, i)];
	return NULL;
}

static struct entry *
find_or_replace(struct predict *p, guint32 key)
{
	struct entry *oldest = NULL, *e;
	guint i;

	for (i = 0; i < PROBES; i++) {
		e = &p->e[slot_of(key, i)];
		if (e->key == key)
			return e;
		if (oldest == NULL || e->used < oldest->used)
			oldest = e;
	}
	memset(oldest, 0, sizeof(*oldest));
	oldest->key = key;
	return oldest;
}

static void
learn(struct entry *e, double x)
{
	double gain, d;

	e->n = MIN(e->n + 1, SAMPLES_MAX);
	gain = 1.0 / e->n;
	if (e->n == 1) {
		e->mu = (float)x;
		e->deviation = (float)(SPREAD_FIRST / DEVIATION_TO_SPREAD);
		e->tail = (float)TAIL_FIRST;
		return;
	}
	d = x - e->mu;
	e->tail += (float)((MIN(exp(d), TAIL_MAX) - e->tail) * gain);
	d = CLAMP(d, -STEP_MAX, STEP_MAX);
	e->deviation += (float)((fabs(d) - e->deviation) * gain);
	e->mu += (float)(d * gain);
}

/* Combines the levels from 0 to "levels" - 1 into one entry. */
static gboolean
combine(const struct predict *p, const struct predict_id *id, guint levels,
    struct entry *out)
{
	const struct entry *e;
	gboolean known = FALSE;
	float w;
	guint i;

	out->mu = (float)log(WORK_FIRST / TAIL_FIRST);
	out->deviation = (float)(SPREAD_FIRST / DEVIATION_TO_SPREAD);
	out->tail = (float)TAIL_FIRST;
	for (i = 0; i < levels; i++) {
		e = find(p, id->h[i]);
		if (e == NULL)
			continue;
		/* Nothing is known above the first level that has samples. */
		w = known ? (float)e->n / (float)(e->n + PRIOR_SAMPLES) : 1;
		out->mu += w * (e->mu - out->mu);
		out->deviation += w * (e->deviation - out->deviation);
		out->tail += w * (e->tail - out->tail);
		known = TRUE;
	}
	return known;
}

void
predict_add(
    struct predict *p, const struct predict_id *id, double work, gboolean cut)
{
	struct predict_work now;
	struct entry *e;
	guint i;

	if (!(work >= 1))
		return;
	/* A request that was cut off needed more than this. */
	predict_get(p, id, &now);
	if (cut && work < now.mean)
		return;
	p->samples++;
	for (i = 0; i < PREDICT_LEVELS; i++) {
		if (id->h[i] == 0)
			continue;
		e = find_or_replace(p, id->h[i]);
		e->used = p->samples;
		learn(e, log(work));
	}
}

static void
work_of(const struct entry *e, gboolean known, struct predict_work *w)
{
	w->known = known;
	w->mean = exp(e->mu) * e->tail;
	w->spread = e->deviation * DEVIATION_TO_SPREAD;
}

void
predict_get(const struct predict *p, const struct predict_id *id,
    struct predict_work *w)
{
	struct entry e;
	gboolean known = combine(p, id, PREDICT_LEVELS, &e);

	work_of(&e, known, w);
}

void
predict_route(const struct predict *p, const struct predict_id *id,
    struct predict_work *w)
{
	struct entry e;
	gboolean known = combine(p, id, 2, &e);

	work_of(&e, known, w);
}
