/*
 * Loads that the decisions on calls are designed for, with the sizes and times
 * of two meshes, and the orders of admission to compare under them.  Include
 * "sim.h" before this header.
 */

enum load {
	LOAD_STEADY, /* below capacity */
	LOAD_BURST_MINOR, /* burst of the least urgent class */
	LOAD_BURST_URGENT, /* burst of the most urgent class */
	LOAD_RETRIES, /* over capacity; refused callers retry at once */
	LOAD_SLOW_THIRD, /* a third of the upstreams is 4 times slower */
	LOAD_TIGHT_DOMAIN, /* one failure domain has a quarter of its slots */
	LOADS
};

enum order {
	ORDER_BY_CALL, /* by the target of each call, as ptproxy does */
	ORDER_BY_RANK, /* by rank, with one target for each rank */
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

/* Runs one load: 2 s of warm-up, then LOAD_RUN_MS. */
#define LOAD_RUN_MS 20000
void load_run(const struct load_mesh *, enum load, enum order, guint32 seed,
    struct sim_stats *);
/* Worth that the callers received, as a share of the worth offered, 0 to 1. */
double load_worth(const struct load_mesh *, const struct sim_stats *);
