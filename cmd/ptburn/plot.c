#include <glib.h>
#include <rpc/rpc.h>

#include "port.h"
#include "burn.h"
#include "ptburn.h"

/* Layout of the chart, in pixels. */
#define WIDTH 900
#define HEIGHT 420
#define LEFT 60
#define TOP 20
#define PLOT_WIDTH 600
#define PLOT_HEIGHT 340
#define LEGEND_LINE 16
/* Most lines with an entry in the legend. */
#define LEGEND_MAX 20

static const char *const colours[] = { "#1b6ca8", "#c0392b", "#218c53",
	"#8e44ad", "#d35400", "#16a085", "#7f8c8d", "#2c3e50" };

struct plot {
	struct burn *rates;
	struct burn_stats stats;
	GString *out;
	guint n_lines; /* drawn so far */
};

static double
x_of(const struct plot *p, gint64 at_s)
{
	gint64 span = MAX(p->stats.last_s - p->stats.first_s, 1);

	return LEFT +
	       (double)(at_s - p->stats.first_s) * PLOT_WIDTH / (double)span;
}

static double
y_of(double bad)
{
	return TOP + PLOT_HEIGHT * (1 - bad);
}

/* Appends a number with a decimal point in every locale. */
static void
put_number(GString *s, double v)
{
	char buf[G_ASCII_DTOSTR_BUF_SIZE];

	g_string_append(s, g_ascii_formatd(buf, sizeof(buf), "%.1f", v));
}

/* Draws the line of a service and rank, and its entry in the legend. */
static void
put_line(void *ctx, const struct burn_row *r)
{
	struct plot *p = ctx;
	const char *colour = colours[p->n_lines % G_N_ELEMENTS(colours)];
	GArray *pts = burn_points(p->rates, r->service, r->rank);
	const struct burn_point *pt;
	char *label;
	guint i;

	g_string_append_printf(
	    p->out, "<polyline fill=\"none\" stroke=\"%s\" points=\"", colour);
	for (i = 0; i < pts->len; i++) {
		pt = &g_array_index(pts, struct burn_point, i);
		put_number(p->out, x_of(p, pt->at_s));
		g_string_append_c(p->out, ',');
		put_number(p->out, y_of(pt->bad_share));
		g_string_append_c(p->out, ' ');
	}
	g_string_append(p->out, "\"/>\n");
	g_array_unref(pts);
	if (p->n_lines < LEGEND_MAX) {
		label = g_markup_printf_escaped("%s %s", r->service, r->rank);
		g_string_append_printf(p->out,
		    "<text x=\"%d\" y=\"%u\" fill=\"%s\">%s</text>\n",
		    LEFT + PLOT_WIDTH + 20, TOP + 12 + p->n_lines * LEGEND_LINE,
		    colour, label);
		g_free(label);
	}
	p->n_lines++;
}

/* Draws the grid lines with their percentages, and the caption. */
static void
put_grid(struct plot *p)
{
	guint i;

	for (i = 0; i <= 4; i++) {
		g_string_append_printf(p->out,
		    "<line x1=\"%d\" x2=\"%d\" y1=\"%u\" y2=\"%u\" "
		    "stroke=\"#ccc\"/>\n"
		    "<text x=\"%d\" y=\"%u\" text-anchor=\"end\">%u "
		    "%%</text>\n",
		    LEFT, LEFT + PLOT_WIDTH, TOP + i * PLOT_HEIGHT / 4,
		    TOP + i * PLOT_HEIGHT / 4, LEFT - 6,
		    TOP + i * PLOT_HEIGHT / 4 + 4, 100 - i * 25);
	}
	g_string_append_printf(p->out,
	    "<text x=\"%d\" y=\"%d\">calls not within target, over "
	    "%" G_GINT64_FORMAT " s</text>\n",
	    LEFT, TOP + PLOT_HEIGHT + 30, p->stats.last_s - p->stats.first_s);
}

gboolean
plot_svg(struct burn *b, const char *file, GError **err)
{
	struct plot p = { .rates = b };
	gboolean ok;

	burn_stats(b, &p.stats);
	p.out = g_string_new(NULL);
	g_string_printf(p.out,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
	    "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
	    WIDTH, HEIGHT);
	put_grid(&p);
	burn_report(b, put_line, &p);
	g_string_append(p.out, "</svg>\n");
	ok = g_file_set_contents(file, p.out->str, (gssize)p.out->len, err);
	g_string_free(p.out, TRUE);
	return ok;
}
