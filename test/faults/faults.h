/*
 * The fault matrix: every fault at every step.  Include what "cluster.h" needs,
 * and "cluster.h", before this header.
 */

#define FLEET 9

/* What a fault does to the promises while it lasts. */
enum fault_flags {
	FAULT_KILLS = 1, /* requests through killed processes may be cut */
	FAULT_LOG = 2, /* operators may get "outcome unknown" */
	FAULT_UPSTREAM = 4, /* upstreams may fail requests */
	FAULT_PARTITION = 8 /* nodes do not reach each other */
};

struct fault {
	const char *name;
	const char *title;
	int flags;
	void (*inject)(void);
	void (*heal)(void);
	gint64 duration_us;
};

struct step {
	const char *name;
	const char *title;
	/* Brings the system to the step; sets cell.victim. */
	void (*begin)(void);
	/* After healing: what this step promises. */
	void (*check)(void);
};

/* The cell that runs. */
struct cell {
	const struct fault *fault;
	const struct fault *second; /* a second fault, or NULL */
	const struct step *step;
	int flags; /* of both */
	guint victim; /* the node that the fault hits */
	GString *violations; /* what was broken, empty: nothing */
	struct pt_outcome out; /* of the change set of the step */
	gboolean submitted, answered;
	pt_id id;
	gint64 leaving_since; /* an upstream began to leave, 0: none */
	guint leaving;
	guint stopping; /* index + 1 of a node that stops gracefully */
	char *key;
	struct cluster_call *followed; /* call whose fate the step follows */
	gboolean raced;
	gboolean race_answered[2];
	struct pt_outcome race_out[2];
	/* A change made while the fault lasts. */
	gboolean during, during_answered, during_done;
	struct pt_outcome during_out;
	gint64 during_at; /* when it was accepted */
	guint changes; /* change sets made so far */
};

extern struct cell cell;
extern const struct fault faults[];
extern const guint n_faults;
extern const struct step steps[];
extern const guint n_steps;

/* Records a broken promise. */
void violation(const char *fmt, ...) G_GNUC_PRINTF(1, 2);

/* Declarations of the small fleet, with a number that makes them differ. */
const char *declarations(guint n);
/* Submits the next change at a node that is ready. */
void submit_at(guint node);
/* A node that is up, ready and not the victim. */
guint healthy_node(void);
/* Ordinary calls through every node that is up. */
void call_all(guint rounds);

/* Two faults at once. */
struct pair {
	const char *step, *fault, *second;
};

extern const struct pair pairs[];
extern const guint n_pairs;

const struct step *find_step(const char *name);
const struct fault *find_fault(const char *name);

/* Runs a cell; TRUE: every promise was kept.  "also" may be NULL. */
gboolean cell_run(
    const struct step *, const struct fault *, const struct fault *second);
