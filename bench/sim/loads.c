#include <glib.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "call.h"
#include "sim.h"
#include "loads.h"

#define SLOTS 12
#define QUEUE_MAX 512
#define DOMAINS 3
#define WARM_MS 2000
/* A burst in the middle of the run multiplies the load by BURST. */
#define BURST_MS (WARM_MS + 6000)
#define BURST_FOR_MS 6000
#define BURST 2.5
/* Load as a share of the capacity; callers retry after RETRY_MS. */
#define OVERLOAD 1.3
#define RETRY_MS 10
#define RETRIES 3 /* at most, for each call */
/* Time after which a caller retries if it obeys the delay in a refusal. */
#define RETRY_AFTER_MS 300
#define SLOW 0.25 /* relative speed of a slow upstream */
#define TIGHT_SLOTS 3 /* slots of an upstream in the tight domain */
#define UPSTREAMS_MAX 64

const char *const load_names[LOADS] = { "plain", "burst-minor", "burst-urgent",
	"returns", "slow-third", "tight-domain" };
const char *const order_names[ORDERS] = { "own", "former", "first", "strict" };

/*
 * Times, targets and worth are those stated by the users; the loads are those
 * of an ordinary day in their meshes, as shares of the slots.
 */
const struct load_mesh load_meshes[MESHES] = {
	{ "skates", 6, 1400, 3,
	    { { "status", 0, 0, 200, 600, 100, 55, 0.25, 30, 0 },
		{ "lookup", 1, 5, 500, 3000, 130, 220, 0.25, 16, 0 },
		{ "booking", 2, 5, 800, 3000, 140, 290, 0.25, 42, 0 } } },
	{ "copper", 10, 900, 3,
	    { { "price", 0, 0, 200, 600, 100, 55, 0.25, 30, 0 },
		{ "stock", 1, 5, 800, 2000, 130, 220, 0.25, 16, 0 },
		{ "order", 2, 5, 1000, 2500, 140, 290, 0.25, 42, 0 } } },
};

static void
set_load(struct sim_opts *o, struct sim_class *w, double *speeds, enum load l)
{
	guint i;

	switch (l) {
	case LOAD_BURST_MINOR:
		w[o->n_classes - 1].burst = BURST;
		break;
	case LOAD_BURST_URGENT:
		w[0].burst = BURST;
		break;
	case LOAD_RETRIES:
		for (i = 0; i < o->n_classes; i++)
			w[i].load *= OVERLOAD / 0.75;
		o->caller_retry_ms = RETRY_MS;
		o->max_retries = RETRIES;
		break;
	case LOAD_SLOW_THIRD:
		for (i = 0; i < o->upstreams; i += 3)
			speeds[i] = SLOW;
		break;
	case LOAD_TIGHT_DOMAIN:
		o->tight_slots = TIGHT_SLOTS;
		break;
	default:
		break;
	}
}

void
load_run(const struct load_mesh *m, enum load l, enum order order, guint32 seed,
    struct sim_stats *st)
{
	static const enum adm_mode modes[ORDERS] = { ADM_RANK, ADM_RANK,
		ADM_FIFO, ADM_STRICT };
	struct sim_class w[G_N_ELEMENTS(m->classes)];
	double speeds[UPSTREAMS_MAX];
	struct sim_opts o = { .mode = modes[order],
		.urgency = 50,
		.target_per_call = order == ORDER_BY_CALL,
		.no_target = order == ORDER_FIFO || order == ORDER_STRICT,
		.caller_retry_ms = RETRY_AFTER_MS,
		.speeds = speeds,
		.upstreams = m->upstreams,
		.domains = DOMAINS,
		.slots = SLOTS,
		.queue_max = QUEUE_MAX,
		.hop_us = m->hop_us,
		.classes = w,
		.n_classes = m->n_classes,
		.warm_ms = WARM_MS,
		.run_ms = LOAD_RUN_MS,
		.burst_ms = BURST_MS,
		.burst_for_ms = BURST_FOR_MS,
		.seed = seed };
	guint i;

	memcpy(w, m->classes, sizeof(w));
	for (i = 0; i < UPSTREAMS_MAX; i++)
		speeds[i] = 1;
	set_load(&o, w, speeds, l);
	sim_run(&o, st);
}

double
load_worth(const struct load_mesh *m, const struct sim_stats *st)
{
	double got = 0, possible = 0;
	guint i, k;

	for (k = 0; k < m->n_classes; k++) {
		possible += (double)st->c[k].offered * m->classes[k].worth;
		for (i = 0; i < SIM_SECONDS_MAX; i++)
			got += st->c[k].worth_in[i];
	}
	return possible > 0 ? got / possible : 0;
}
