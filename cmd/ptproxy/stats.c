#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "memb.h"
#include "call.h"
#include "limit.h"
#include "platform.h"
#include "proxy.h"

/* Upper bounds of the latency buckets, in ms; the last bucket has none. */
static const int bounds[] = { 5, 10, 20, 50, 100, 200, 300, 500, 800, 1000,
	1500, 2000, 3000, 5000 };

#define BUCKETS (G_N_ELEMENTS(bounds) + 1)

struct stats {
	guint64 n[STAT_LAST];
	guint64 bucket[PT_RANKS_MAX][BUCKETS];
	double sum[PT_RANKS_MAX]; /* of latencies, in s */
};

static const char *const names[STAT_LAST] = {
	[STAT_REQUESTS] = "requests_total",
	[STAT_OK] = "answers_total",
	[STAT_FAILED_UPSTREAM] = "backend_errors_total",
	[STAT_REFUSED] = "refused_total",
	[STAT_UNKNOWN] = "unknown_total",
	[STAT_NO_ROUTE] = "no_route_total",
	[STAT_BAD_REQUEST] = "bad_requests_total",
	[STAT_CALLERS_LEFT] = "callers_left_total",
	[STAT_RETRIES] = "retries_total",
	[STAT_MOVED] = "moved_total",
	[STAT_STRAY] = "stray_responses_total",
	[STAT_CONTRADICTORY] = "contradictory_responses_total",
	[STAT_BODY_MEMORY] = "body_memory_refused_total",
	[STAT_OUTPUT_MEMORY] = "output_memory_refused_total",
	[STAT_STALLED_CALLERS] = "stalled_callers_total",
	[STAT_ANNOUNCEMENTS] = "announcements_total",
	[STAT_ANNOUNCEMENTS_REFUSED] = "announcements_refused_total",
	[STAT_STORE_ERRORS] = "store_errors_total",
	[STAT_BAD_LIMITS] = "bad_limits_total",
	[STAT_SERVER_ENDS] = "server_ends_total",
	[STAT_QUARANTINED] = "quarantined_total",
	[STAT_NO_KEY] = "no_key_total",
	[STAT_LIMITED] = "limited_total",
	[STAT_LIMIT_UNKNOWN] = "limit_unknown_total",
	[STAT_KEYS_UNCERTAIN] = "keys_uncertain_total",
	[STAT_STALLED] = "stalled_total",
	[STAT_STALE_READS] = "stale_reads_total",
};

struct stats *
stats_new(void)
{
	return g_new0(struct stats, 1);
}

void
stats_free(struct stats *s)
{
	g_free(s);
}

void
stats_add(struct stats *s, enum counter i)
{
	s->n[i]++;
}

void
stats_time(struct stats *s, int priority, gint64 us)
{
	int p = CLAMP(priority, 0, PT_RANKS_MAX - 1);
	guint i = 0;

	while (i < G_N_ELEMENTS(bounds) &&
	       us > bounds[i] * G_TIME_SPAN_MILLISECOND)
		i++;
	s->bucket[p][i]++;
	s->sum[p] += (double)us / G_TIME_SPAN_SECOND;
}

static void
put_histogram(const struct stats *s, GString *out, int p)
{
	guint64 sum = 0;
	guint i;

	for (i = 0; i < BUCKETS; i++) {
		sum += s->bucket[p][i];
		if (i < G_N_ELEMENTS(bounds))
			g_string_append_printf(out,
			    "ptproxy_request_seconds_bucket{priority=\"%d\","
			    "le=\"%d.%03d\"} %" G_GUINT64_FORMAT "\n",
			    p, bounds[i] / 1000, bounds[i] % 1000, sum);
	}
	g_string_append_printf(out,
	    "ptproxy_request_seconds_bucket{priority=\"%d\",le=\"+Inf\"} "
	    "%" G_GUINT64_FORMAT "\n"
	    "ptproxy_request_seconds_sum{priority=\"%d\"} %.3f\n"
	    "ptproxy_request_seconds_count{priority=\"%d\"} %" G_GUINT64_FORMAT
	    "\n",
	    p, sum, p, s->sum[p], p, sum);
}

static void
put_gauges(struct proxy *p, GString *out)
{
	struct report r;

	backend_report(p->backend, NULL, &r);
	g_string_append_printf(out,
	    "ptproxy_config_version %" G_GINT64_FORMAT "\n"
	    "ptproxy_config_age_seconds %.3f\n"
	    "ptproxy_beacon_age_seconds %.3f\n"
	    "ptproxy_beacon_sender %d\n"
	    "ptproxy_organisations %u\n"
	    "ptproxy_members %u\n"
	    "ptproxy_slots %d\nptproxy_running %d\nptproxy_queued %d\n"
	    "ptproxy_store_calls_total %" G_GUINT64_FORMAT "\n"
	    "ptproxy_store_era %" G_GINT64_FORMAT "\n"
	    "ptproxy_unsent_bytes %" G_GSIZE_FORMAT "\n"
	    "ptproxy_backend_connections_total %" G_GUINT64_FORMAT "\n"
	    "ptproxy_backend_beat_age_seconds %.3f\n"
	    "ptproxy_backend_limit %.3f\n"
	    "ptproxy_log_lines_dropped_total %" G_GUINT64_FORMAT "\n",
	    p->rtab != NULL ? rtab_version(p->rtab) : 0,
	    (double)keys_config_age(p) / G_TIME_SPAN_SECOND,
	    (double)beacons_age(p->beacons) / G_TIME_SPAN_SECOND,
	    beacons_sending(p->beacons),
	    p->rtab != NULL ? rtab_n_orgs(p->rtab) : 0, memb_count(p->memb),
	    r.load.slots, r.load.running, r.load.queued,
	    plat_store_calls(p->store), plat_store_era(p->store),
	    h1_unsent_bytes(), backend_connections(p->backend),
	    (double)reg_age(p->reg) / G_TIME_SPAN_SECOND, reg_limit(p->reg),
	    sys_lines_dropped());
}

static void
put_faults(GString *out)
{
	guint i;

	for (i = H1_FAULT_NONE + 1; i < H1_FAULT_LAST; i++)
		g_string_append_printf(out,
		    "ptproxy_response_faults_total{fault=\"%s\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    h1_fault_name(i), h1_faults(i));
}

void
stats_handle(struct proxy *p, const struct h1_head *h, const GByteArray *body,
    struct httpd_response *res)
{
	GString *out;
	guint i;
	int k;

	if (strcmp(h->target, "/metrics") != 0)
		return;
	out = g_string_new(NULL);
	for (i = 0; i < STAT_LAST; i++)
		g_string_append_printf(out,
		    "ptproxy_%s %" G_GUINT64_FORMAT "\n", names[i],
		    p->stats->n[i]);
	for (k = 0; k < PT_RANKS_MAX; k++)
		if (p->stats->sum[k] > 0)
			put_histogram(p->stats, out, k);
	put_gauges(p, out);
	limits_put_metrics(p->limits, out);
	put_faults(out);
	res->status = 200;
	res->type = "text/plain; version=0.0.4";
	res->body = g_string_free(out, FALSE);
}
