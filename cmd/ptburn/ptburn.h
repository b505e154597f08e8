/*
 * Parts of ptburn.  Include <glib.h>, <rpc/rpc.h>, "port.h" and "burn.h" before
 * this header.
 */

/* fetch.c: fetches the metrics of all nodes concurrently over HTTP. */
struct fetch_result {
	const char *node; /* HOST:PORT */
	char *text; /* metrics, NULL on error; freed by fetch_clear() */
	char *error; /* NULL on success; freed by fetch_clear() */
};
void fetch_all(struct fetch_result *, guint n, guint timeout_ms);
void fetch_clear(struct fetch_result *, guint n);

/* print.c: the report on standard output. */
void print_table(struct burn *, double objective);
void print_json(struct burn *, double objective);

/* plot.c: share of bad calls over time by service and rank. */
gboolean plot_svg(struct burn *, const char *file, GError **);
