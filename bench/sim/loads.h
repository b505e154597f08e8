/*
 * Loads that the decisions on calls are made for, on the sizes and times of
 * two meshes, and the orders that they are compared with.  Include "sim.h"
 * before this header.
 */

enum load {
	LOAD_STEADY, /* below capacity */
	LOAD_BURST_MINOR, /* of the least urgent kind */
	LOAD_BURST_URGENT, /* of the most urgent kind */
	LOAD_RETRIES, /* over capacity; refused callers repeat at once */
	LOAD_SLOW_THIRD, /* a third of the upstreams is four times slower */
	LOAD_TIGHT_DOMAIN, /* one failure domain has a quarter of its slots */
	LOADS
};

enum order {
	ORDER_BY_CALL, /* as ptproxy decides: by the target of each call */
	ORDER_BY_RANK, /* by rank, with targets of ranks */
	ORDER_FIFO, /* first come, first served */
	ORDER_STRICT, /* strict priority */
	ORDERS
};

#define MESHES 2

extern const char *const load_names[LOADS];
extern const char *const order_names[ORDERS];

struct load_mesh {
	const char *name;
	guint upstreams;
	gint64 hop_us;
	guint n_classes;
	struct sim_class classes[3]; /* the most urgent first */
};

extern const struct load_mesh load_meshes[MESHES];

/* Plays one load; a run is 2 s of warm-up and LOAD_RUN_MS. */
#define LOAD_RUN_MS 20000
void load_run(const struct load_mesh *, enum load, enum order, guint32 seed,
    struct sim_stats *);
/* What the callers got of what they asked for, 0 to 1. */
double load_worth(const struct load_mesh *, const struct sim_stats *);
