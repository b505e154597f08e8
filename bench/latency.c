#define _GNU_SOURCE /* ppoll, strcasestr */
/*
 * Latency that the nodes add to a call, against a direct call to the backend
 * server in the same run.
 *   latency [--seconds N] [--settle-ms N] [--size BYTES] [--rate N]
 * Three paths are measured in alternating blocks of a quarter second: direct to
 * the backend server, through one node (that of the upstream), and through two.
 * Arrivals do not wait for answers; latency counts from the intended start.
 */

#include <glib.h>
#include <rpc/rpc.h>
#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "mesh.h"

#define CONNS 64
#define PATHS 3
#define BLOCK_US 250000
#define DRAIN_US 2000000
#define RATE 380.0 /* calls per second at a node, at the target size */
#define BOOT_MS 20000
#define HEAD_MAX 4096
#define BUF_LEN 262144

static const char *const path_names[PATHS] = { "direct", "one-node",
	"two-nodes" };

static const char declarations[] =
    "[mesh]\nurgency=50\n"
    "[rank normal]\norder=0\ntarget_ms=100\nworth=1\nfloor=0\n"
    "[service work]\nretry_budget=10\nlimit=1000\neject_max=50\nramp_ms=1000\n"
    "[service other]\nretry_budget=10\nlimit=1000\neject_max=50\n"
    "ramp_ms=1000\n"
    "[route work]\npath=/work\nservice=work\nrank=normal\ntimeout_ms=5000\n"
    "idempotent=true\n";

struct conn {
	int fd; /* -1: closed */
	gint64 due; /* intended start of the call, 0: idle */
	gsize len; /* bytes of the answer so far */
	gsize total; /* bytes of the complete answer, 0: not known */
	char head[HEAD_MAX];
};

struct path {
	struct sockaddr_in addr;
	struct conn conns[CONNS];
	char *request;
	gsize size;
	GArray *latency_us; /* gint32: of each call, from its intended start */
	GArray *backlog; /* due times of calls that wait for a connection */
	guint sent, failed;
	guint64 cpu_ns; /* of both nodes during the blocks of this path */
};

struct bench {
	struct mesh *mesh;
	struct path paths[PATHS];
	GRand *rand;
	char *buf;
	int pids[2]; /* nodes */
};

static gint64
now_us(void)
{
	return g_get_monotonic_time();
}

static gboolean
dial(struct path *p, struct conn *c)
{
	int one = 1;

	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		return FALSE;
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(c->fd, (struct sockaddr *)&p->addr, sizeof(p->addr)) == 0)
		return TRUE;
	close(c->fd);
	c->fd = -1;
	return FALSE;
}

static void
abort_call(struct path *p, struct conn *c)
{
	if (c->due != 0)
		p->failed++;
	c->due = 0;
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

/* Starts a call on an idle connection, preferably an open one. */
static gboolean
issue(struct path *p, gint64 due)
{
	struct conn *c = NULL;
	gsize n = strlen(p->request);
	guint i;

	for (i = 0; i < CONNS; i++) {
		if (p->conns[i].due != 0)
			continue;
		if (c == NULL || (c->fd < 0 && p->conns[i].fd >= 0))
			c = &p->conns[i];
	}
	if (c == NULL)
		return FALSE;
	c->due = due;
	c->len = c->total = 0;
	p->sent++;
	if ((c->fd < 0 && !dial(p, c)) ||
	    send(c->fd, p->request, n, MSG_NOSIGNAL) != (ssize_t)n)
		abort_call(p, c);
	return TRUE;
}

/* Reads the length of the answer from its headers. */
static gboolean
parse_head(struct path *p, struct conn *c)
{
	char *end, *length;

	end = strstr(c->head, "\r\n\r\n");
	if (end == NULL)
		return c->len < HEAD_MAX - 1;
	length = strcasestr(c->head, "\r\nContent-Length:");
	if (strncmp(c->head, "HTTP/1.1 200", 12) != 0 || length == NULL)
		return FALSE;
	length += strlen("\r\nContent-Length:");
	c->total = (gsize)(end + 4 - c->head) + strtoul(length, NULL, 10);
	return c->total == (gsize)(end + 4 - c->head) + p->size;
}

static void
finish(struct path *p, struct conn *c)
{
	gint32 us = (gint32)(now_us() - c->due);

	c->due = 0;
	g_array_append_val(p->latency_us, us);
	if (p->backlog->len == 0)
		return;
	issue(p, g_array_index(p->backlog, gint64, 0));
	g_array_remove_index(p->backlog, 0);
}

static void
receive(struct bench *b, struct path *p, struct conn *c)
{
	ssize_t n;
	gsize head;

	n = recv(c->fd, b->buf, BUF_LEN, MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0 || c->due == 0) {
		abort_call(p, c);
		return;
	}
	if (c->total == 0) {
		head = MIN((gsize)n, HEAD_MAX - 1 - c->len);
		memcpy(c->head + c->len, b->buf, head);
		c->head[c->len + head] = '\0';
	}
	c->len += (gsize)n;
	if (c->total == 0 && !parse_head(p, c)) {
		abort_call(p, c);
		return;
	}
	if (c->total != 0 && c->len >= c->total)
		finish(p, c);
}

static guint
in_flight(const struct path *p)
{
	guint i, n = 0;

	for (i = 0; i < CONNS; i++)
		n += p->conns[i].due != 0;
	return n;
}

/* Waits for answers until one arrives or the time is reached. */
static void
wait_answers(struct bench *b, struct path *p, gint64 until)
{
	struct pollfd fds[CONNS];
	struct conn *polled[CONNS];
	struct timespec ts;
	gint64 left = MAX(until - now_us(), 0);
	nfds_t n = 0;
	guint i;

	for (i = 0; i < CONNS; i++) {
		if (p->conns[i].fd < 0)
			continue;
		fds[n].fd = p->conns[i].fd;
		fds[n].events = POLLIN;
		polled[n++] = &p->conns[i];
	}
	ts.tv_sec = left / G_USEC_PER_SEC;
	ts.tv_nsec = left % G_USEC_PER_SEC * 1000;
	if (ppoll(fds, n, &ts, NULL) > 0)
		for (i = 0; i < n; i++)
			if (fds[i].revents != 0 && polled[i]->fd >= 0)
				receive(b, p, polled[i]);
}

static gint64
interarrival_us(struct bench *b, double rate)
{
	return (gint64)(-log(1.0 - g_rand_double(b->rand)) * 1e6 / rate);
}

/* CPU time of the main threads of both nodes, from /proc. */
static guint64
nodes_cpu_ns(const struct bench *b)
{
	char path[64], *text;
	guint64 ns = 0;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(b->pids); i++) {
		g_snprintf(
		    path, sizeof(path), "/proc/%d/schedstat", b->pids[i]);
		if (!g_file_get_contents(path, &text, NULL, NULL))
			continue;
		ns += g_ascii_strtoull(text, NULL, 10);
		g_free(text);
	}
	return ns;
}

/* Runs one block on a path: paced arrivals, then the pending answers. */
static void
run_block(struct bench *b, struct path *p, double rate)
{
	gint64 end = now_us() + BLOCK_US,
	       due = now_us() + interarrival_us(b, rate);
	guint64 cpu_ns = nodes_cpu_ns(b);
	guint i;

	while (due < end) {
		if (due > now_us()) {
			wait_answers(b, p, due);
			continue;
		}
		if (!issue(p, due))
			g_array_append_val(p->backlog, due);
		due += interarrival_us(b, rate);
	}
	end = now_us() + DRAIN_US;
	while (in_flight(p) > 0 && now_us() < end)
		wait_answers(b, p, end);
	for (i = 0; i < CONNS; i++)
		if (p->conns[i].due != 0)
			abort_call(p, &p->conns[i]);
	p->cpu_ns += nodes_cpu_ns(b) - cpu_ns;
}

static void
report(struct bench *b, gsize size, double rate)
{
	gint32 p50[PATHS], p99[PATHS];
	struct path *p;
	guint i;

	for (i = 0; i < PATHS; i++) {
		p = &b->paths[i];
		p50[i] = mesh_percentile(p->latency_us, 50);
		p99[i] = mesh_percentile(p->latency_us, 99);
		printf("path=%s size=%zu rate=%.0f calls=%u failed=%u "
		       "p50_us=%d p99_us=%d",
		    path_names[i], size, rate, p->sent, p->failed, p50[i],
		    p99[i]);
		if (i > 0)
			printf(" added_p50_us=%d added_p99_us=%d "
			       "nodes_cpu_us=%.0f",
			    p50[i] - p50[0], p99[i] - p99[0],
			    (double)p->cpu_ns / 1000 / MAX(p->sent, 1));
		printf("\n");
	}
	fflush(stdout);
}

static void
measure(struct bench *b, gsize size, double rate, guint seconds)
{
	guint i, k, blocks = (guint)(seconds * G_USEC_PER_SEC / BLOCK_US);
	struct path *p;

	for (i = 0; i < PATHS; i++) {
		p = &b->paths[i];
		g_free(p->request);
		p->request =
		    g_strdup_printf("GET /work?us=0&size=%zu HTTP/1.1\r\n"
				    "Host: bench\r\nPt-Request-Id: 1\r\n\r\n",
			size);
		p->size = size;
		run_block(b, p, rate);
		g_array_set_size(p->latency_us, 0);
		p->sent = p->failed = 0;
		p->cpu_ns = 0;
	}
	for (k = 0; k < blocks; k++)
		for (i = 0; i < PATHS; i++)
			run_block(b, &b->paths[(k + i) % PATHS], rate);
	report(b, size, rate);
}

static struct mesh_inst *
add(struct bench *b, const char *name, const char *service)
{
	static const char *const back_args[] = { "--service-us", "0",
		"--spread", "fixed", NULL };
	struct mesh_inst_opts o = { .name = name,
		.domain = 1,
		.region = "bench",
		.service = service,
		.slots = 12,
		.connections = 100,
		.back_args = back_args };
	struct mesh_inst *i = mesh_add(b->mesh, &o);

	return mesh_start(i, MESH_NODE | MESH_BACK, NULL) ? i : NULL;
}

static gboolean
apply(struct bench *b, const char *host)
{
	char *file = g_build_filename(mesh_dir(b->mesh), "latency.conf", NULL);
	char *node = g_strdup_printf("%s:%d", host, MESH_RPC_PORT);
	const char *argv[] = { "ptctl", "--node", node, "apply", file, NULL };
	char *out = NULL;
	gboolean ok;

	ok = g_file_set_contents(file, declarations, -1, NULL) &&
	     mesh_tool(b->mesh, argv, &out, BOOT_MS) == 0;
	if (!ok)
		fprintf(stderr, "latency: ptctl apply: %s\n", out);
	g_free(out);
	g_free(node);
	g_free(file);
	return ok;
}

static void
path_init(struct path *p, const char *host, guint port)
{
	guint i;

	p->addr.sin_family = AF_INET;
	p->addr.sin_port = htons((guint16)port);
	inet_pton(AF_INET, host, &p->addr.sin_addr);
	p->latency_us = g_array_new(FALSE, FALSE, sizeof(gint32));
	p->backlog = g_array_new(FALSE, FALSE, sizeof(gint64));
	for (i = 0; i < CONNS; i++)
		p->conns[i].fd = -1;
}

static gboolean
start(struct bench *b, guint settle_ms)
{
	struct mesh_opts o = { .log_level = "info" };
	struct mesh_inst *work, *other;
	GError *err = NULL;

	b->mesh = mesh_new(&o, &err);
	if (b->mesh == NULL || !mesh_log_start(b->mesh, NULL, &err)) {
		fprintf(stderr, "latency: %s\n", err->message);
		return FALSE;
	}
	work = add(b, "work-1", "work");
	other = add(b, "other-1", "other");
	if (work == NULL || other == NULL ||
	    !mesh_wait_ready(b->mesh, 2, BOOT_MS) || !apply(b, work->host)) {
		fprintf(stderr, "latency: the mesh did not start\n");
		return FALSE;
	}
	mesh_sleep(settle_ms);
	b->pids[0] = work->node.pid;
	b->pids[1] = other->node.pid;
	path_init(&b->paths[0], work->host, MESH_BACK_PORT);
	path_init(&b->paths[1], work->host, MESH_HTTP_PORT);
	path_init(&b->paths[2], other->host, MESH_HTTP_PORT);
	setvbuf(stdout, NULL, _IOLBF, 0);
	printf("node-pids=%d,%d backend-pid=%d\n", work->node.pid,
	    other->node.pid, work->back.pid);
	return TRUE;
}

static void
stop(struct bench *b)
{
	struct conn *c;
	guint i, k;

	for (i = 0; i < PATHS; i++) {
		for (k = 0; k < CONNS; k++) {
			c = &b->paths[i].conns[k];
			if (c->fd >= 0)
				close(c->fd);
		}
		if (b->paths[i].latency_us != NULL) {
			g_array_free(b->paths[i].latency_us, TRUE);
			g_array_free(b->paths[i].backlog, TRUE);
		}
		g_free(b->paths[i].request);
	}
	if (b->mesh != NULL)
		mesh_free(b->mesh);
	g_rand_free(b->rand);
	g_free(b->buf);
}

int
main(int argc, char **argv)
{
	static const gsize sizes[] = { 1024, 65536 };
	struct bench b = { 0 };
	int seconds, settle_ms, size, rate;
	GError *err = NULL;
	gboolean ok;
	guint i;
	const struct sys_setting set[] = {
		{ "seconds", SYS_INT, &seconds, 1, 600, "10",
		    "measured time of each path, size and rate, in s" },
		{ "settle-ms", SYS_INT, &settle_ms, 0, 60000, "4000",
		    "time for announcements to spread, in ms" },
		{ "size", SYS_INT, &size, 0, 1 << 20, "0",
		    "only answers of this size, in bytes; 0: 1 KB and 64 KB" },
		{ "rate", SYS_INT, &rate, 0, 5000, "0",
		    "only this rate, in calls per second; 0: 380 and 760" },
	};

	if (!sys_settings(set, G_N_ELEMENTS(set), "LATENCY",
		"- latency that the nodes add to a call", &argc, &argv, &err)) {
		fprintf(stderr, "latency: %s\n", err->message);
		return 1;
	}
	/* The default timer slack of 50 us would delay the arrivals. */
	prctl(PR_SET_TIMERSLACK, 1);
	b.rand = g_rand_new_with_seed(1);
	b.buf = g_malloc(BUF_LEN);
	ok = start(&b, (guint)settle_ms);
	for (i = 0; ok && i < 2 * G_N_ELEMENTS(sizes); i++) {
		if ((size != 0 && i / 2 > 0) || (rate != 0 && i % 2 > 0))
			continue;
		measure(&b, size != 0 ? (gsize)size : sizes[i / 2],
		    rate != 0 ? rate : RATE * (1 + i % 2), (guint)seconds);
	}
	stop(&b);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
