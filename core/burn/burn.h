/*
 * Error budget burn rates, computed from the request counters of nodes.
 * Samples are added in rounds: the counters of each node, then burn_round().
 * Include <glib.h>, <rpc/rpc.h> and "port.h" before this header.
 */

#define BURN_WINDOWS 4 /* 5 min, 1 h, 6 h, 3 d */
extern const gint64 burn_window_s[BURN_WINDOWS];
extern const char *const burn_window_name[BURN_WINDOWS];

/* Most pairs of service and rank; more fail with PT_ERROR_TOO_LARGE. */
#define BURN_SERIES_MAX 16384

struct burn;

struct burn_opts {
	double objective; /* share of calls to be within target, below 1 */
};

struct burn *burn_new(const struct burn_opts *);
void burn_free(struct burn *);

/*
 * Adds a sample of a node's counters, in text exposition format.  The first
 * sample of a node is its baseline.  If a counter decreased or disappeared, the
 * node has restarted and all of its counters count from zero.  Fails with
 * PT_ERROR_PARSE naming the line.
 */
gboolean burn_sample(
    struct burn *, const char *node, const char *text, GError **);

/* Records that a node did not answer in this round. */
void burn_miss(struct burn *, const char *node);

/* Ends a round; times of rounds, in seconds, must not decrease. */
gboolean burn_round(struct burn *, gint64 at_s, GError **);

/* Adds rounds that were saved as lines of the functions below. */
gboolean burn_replay(struct burn *, const char *text, gsize len, GError **);

/* Formats the lines to save for a round or a node; release with g_free. */
char *burn_format_round(gint64 at_s);
char *burn_format_node(const char *node, const char *text);
char *burn_format_miss(const char *node);

/* Calls of a service and rank in a window. */
struct burn_window {
	gint64 covered_s; /* part of the window with data */
	gboolean complete; /* covered_s is the whole window */
	guint64 good; /* answered within the target */
	guint64 late; /* answered later */
	guint64 failed;
	guint64 not_run;
	guint64 unknown;
	double share; /* of good calls, 1 without calls */
	double rate; /* burn rate: 1 spends the error budget exactly */
};

struct burn_row {
	const char *service, *rank;
	struct burn_window window[BURN_WINDOWS];
};

/* Calls row() for each service and rank, sorted by name. */
void burn_report(
    struct burn *, void (*row)(void *ctx, const struct burn_row *), void *ctx);

/* Share of bad calls between two rounds, for a plot. */
struct burn_point {
	gint64 at_s; /* end of the interval */
	double bad_share; /* 0..1, of the calls of the interval */
	guint64 calls;
};
/* Points of a service and rank, oldest first; release with g_array_unref. */
GArray *burn_points(struct burn *, const char *service, const char *rank);

struct burn_stats {
	guint rounds, nodes;
	guint restarts; /* of nodes, detected by their counters */
	guint misses; /* requests for samples that nodes did not answer */
	gint64 first_s, last_s; /* times of the first and the last round */
};
void burn_stats(const struct burn *, struct burn_stats *);

/* ---- expo.c: text exposition format, for the files of this library ---- */

/* Counters of nodes, by service and rank; EXPO_REQUESTS also by result. */
#define EXPO_REQUESTS "ptnode_requests_total"
#define EXPO_GOOD "ptnode_requests_good_total"
#define EXPO_LABELS_MAX 8

/* Iterator over the samples of a text; comments are skipped. */
struct expo {
	const char *next;
	guint line;
	guint bad_line; /* first malformed line, 0: none */
	GString *buf; /* name, label names and label values */
	const char *name;
	guint n_labels;
	/* Offsets of the names and the values of labels in buf. */
	gsize label_name[EXPO_LABELS_MAX], label_value[EXPO_LABELS_MAX];
	guint64 value;
};

void expo_init(struct expo *, const char *text);
void expo_clear(struct expo *);
/* Parses the next sample; FALSE at the end and at the first bad line. */
gboolean expo_next(struct expo *);
const char *expo_label(const struct expo *, const char *name);
