/* The cases of the third review; see review/N/claim.txt. */
#define _GNU_SOURCE
#include <pthread.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>
#include <unistd.h>

#include "rig3.h"

#define CONTACT_MS 3000

const char case_config[] =
    "{\"version\":7,"
    "\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\","
    "\"service\",\"timeoutS\",\"targetLatencyS\",\"maxAttempts\","
    "\"priority\"],\"rows\":["
    "[\"lookup\",\"mesh.example\",\"/lookup/\",\"idempotent\",\"alpha\",2.5,"
    "0.5,2,0],"
    "[\"book\",\"mesh.example\",\"/book/\",\"non_idempotent\",\"beta\",4,"
    "1.5,2,1],"
    "[\"order\",\"mesh.example\",\"/order/\",\"non_idempotent\",\"alpha\","
    "2,1.5,2,1],"
    "[\"place\",\"mesh.example\",\"/place/\",\"non_idempotent\",\"beta\","
    "1.2,1.5,2,1]]},"
    "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\"],"
    "\"rows\":[[\"alpha\",\"/health\",110],[\"beta\",\"/health\",110]]},"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
    "\"headerTimeoutS\":5,\"idleTimeoutS\":10}}";

/* Requests of the clients on one machine, each on its own connection. */
struct load {
	int via, gap_ms, deadline, every; /* each "every"th takes "long_ms" */
	const char *method, *route;
	int work_ms, long_ms;
	int64_t from, until;
};

struct one {
	const struct load *l;
	int i, work_ms;
};

/* A client repeats a booking once if the answer says that it has not run. */
static void
send_again(const struct one *o, const char *path)
{
	struct attempt *a = &attempts[o->i];
	int fd;

	if (a->status != 503 && a->status != 429)
		return;
	sleep_ms(100);
	fd = entry_dial(&nodes[o->l->via]);
	if (fd < 0)
		return;
	a->again = attempt_new(o->l->via, o->l->route);
	note("client: a%d is sent again as a%d", o->i, a->again);
	client_call(fd, a->again, o->l->method, path, o->l->deadline);
	close(fd);
}

static void *
load_one(void *arg)
{
	struct one *o = arg;
	char path[64];
	int fd = entry_dial(&nodes[o->l->via]);

	snprintf(path, sizeof(path), "/%s/w%d/x", o->l->route, o->work_ms);
	if (fd >= 0) {
		client_call(fd, o->i, o->l->method, path, o->l->deadline);
		close(fd);
	} else
		attempts[o->i].status = -2;
	send_again(o, path);
	free(o);
	return NULL;
}

static void *
load_run(void *arg)
{
	const struct load *l = arg;
	struct one *o;
	int n = 0;

	sleep_until(l->from);
	while (now_ms() < l->until) {
		o = malloc(sizeof(*o));
		o->l = l;
		o->i = attempt_new(l->via, l->route);
		o->work_ms = l->every > 0 && ++n % l->every == 0 ? l->long_ms
								 : l->work_ms;
		in_background(load_one, o);
		sleep_ms(l->gap_ms);
	}
	return NULL;
}

/* ---- clients that leave while their bookings run ---- */

#define MEMORY_MB 110
#define BODY_BYTES (26 * 1024 * 1024)
#define LEAVE_MS 80 /* after the whole body was sent */
#define PIECE_BYTES (1024 * 1024)
#define PIECE_MS 8 /* 1,000 Mbit/s */
#define LEAVING_MS 5500
#define KEPT 8

static volatile int64_t calm_until, kept_until;
static volatile int ends; /* of the machine's process, by its memory */

/* The platform kills a process that exceeds its memory, and starts it again. */
static void *
watch_memory(void *arg)
{
	struct node *n = arg;
	long kb, most = 0;

	while (now_ms() < kept_until) {
		kb = node_memory(n);
		most = kb > most ? kb : most;
		if (kb > MEMORY_MB * 1024L) {
			note("%s has %ld kB of %ld and is killed", n->name, kb,
			    MEMORY_MB * 1024L);
			ends++;
			node_signal(n, SIGKILL);
			node_wait(n, 1000);
			sleep_ms(500);
			node_start(n);
		}
		sleep_ms(5);
	}
	note("%s had %ld kB at most", n->name, most);
	/* A node is killed when the thread that started it ends. */
	for (;;)
		pause();
	return NULL;
}

/* A client on a kept connection. */
static void *
kept_client(void *arg)
{
	struct node *n = arg;
	int fd = -1, i;

	while (now_ms() < kept_until) {
		if (fd < 0)
			fd = entry_dial(n);
		if (fd < 0) {
			sleep_ms(100);
			continue;
		}
		i = attempt_new((int)(n - nodes), "order");
		if (client_call(fd, i, "POST", "/order/w200/x", 2000) <= 0 ||
		    attempts[i].closes) {
			close(fd);
			fd = -1;
		}
		sleep_ms(50);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

/* Sends a body no faster than the link of a machine takes it. */
static int
send_slowly(int fd, const char *body)
{
	int at;

	for (at = 0; at < BODY_BYTES; at += PIECE_BYTES) {
		if (!send_all(fd, body + at, PIECE_BYTES))
			return 0;
		sleep_ms(PIECE_MS);
	}
	return 1;
}

/* Sends a booking with a large body; leaves before the answer, or waits. */
static void
large_booking(struct node *n, const char *body, int leaves)
{
	int fd = entry_dial(n), i = attempt_new((int)(n - nodes), "place"), k;
	struct message m = { 0 };
	char head[256];

	if (fd < 0) {
		sleep_ms(100);
		return;
	}
	k = snprintf(head, sizeof(head),
	    "POST /place/w1100/x HTTP/1.1\r\nHost: mesh.example\r\n"
	    "X-Primrosetide-Attempt-Id: a%d\r\n"
	    "X-Primrosetide-Deadline-Ms: 2000\r\n"
	    "Content-Length: %d\r\n\r\n",
	    i, BODY_BYTES);
	if (send_all(fd, head, (size_t)k) && send_slowly(fd, body)) {
		if (leaves)
			sleep_ms(LEAVE_MS);
		else if (message_read(fd, &m, now_ms() + 2000) == 1)
			attempts[i].status = atoi(m.buf + 9);
	}
	note("client: a%d with %d bytes %s, answer %d", i, BODY_BYTES,
	    leaves ? "leaves" : "ends", attempts[i].status);
	message_free(&m);
	close(fd);
}

static int
case_memory(int trouble)
{
	static const char *const services[] = { "beta", "alpha", "alpha",
		"alpha" };
	char *body = calloc(1, BODY_BYTES);
	struct node *n = &nodes[0];
	int i, lost = 0, served = 0;
	int64_t t;

	memory_mb = MEMORY_MB;
	mesh_start(4, services);
	t = now_ms();
	kept_until = t + 20000;
	in_background(watch_memory, n);
	for (i = 0; i < KEPT; i++)
		in_background(kept_client, n);
	sleep_ms(3000);
	while (now_ms() < t + 3000 + LEAVING_MS)
		large_booking(n, body, trouble);
	sleep_until(kept_until + 2500);
	for (i = 0; i < n_attempts; i++) {
		served += attempts[i].status == 200;
		if (strcmp(attempts[i].kind, "order") != 0 ||
		    attempts[i].runs == 0 || attempts[i].status != 0)
			continue;
		note(
		    "a%d: sent %.3f, run, connection closed at %.3f without an "
		    "answer",
		    i, (double)attempts[i].sent / 1000,
		    (double)attempts[i].ended / 1000);
		lost++;
	}
	note("%d of %d served; the process ended %d times, %d requests on kept "
	     "connections were lost with it",
	    served, n_attempts, ends, lost);
	if (served < n_attempts / 2)
		cannot_run("too few requests were served");
	return lost > 3;
}

/* ---- an upstream that fails requests which it has run ---- */

static int
case_grey(int trouble)
{
	static const char *const services[] = { "beta", "beta", "beta", "beta",
		"beta", "beta", "beta", "beta", "alpha", "alpha" };
	static struct load loads[2];
	int64_t t;
	int i, k, again, ran = 0, twice = 0, served = 0;

	mesh_start(10, services);
	t = now_ms();
	for (i = 0; i < 2; i++) {
		loads[i] = (struct load){ .via = 4 + i,
			.gap_ms = 40,
			.deadline = 3000,
			.method = "POST",
			.route = "book",
			.work_ms = 250,
			.from = t,
			.until = t + 12000 };
		in_background(load_run, &loads[i]);
	}
	sleep_until(t + 3000);
	if (trouble) {
		nodes[0].grey = 4;
		note("%s begins to fail a part of its requests", nodes[0].id);
	}
	sleep_until(t + 9000);
	nodes[0].grey = 0;
	sleep_until(t + 16000);
	for (i = 0; i < n_attempts; i++) {
		k = attempts[i].status;
		served += k == 200;
		if (attempts[i].runs == 0 ||
		    (k != 503 && k != 429 && k != 408 && k != 421))
			continue;
		ran++;
		again = attempts[i].again;
		twice += again > 0 && attempts[again].runs > 0;
		note("a%d: run, and answered %d; sent again as a%d, run %d", i,
		    k, again, again > 0 ? attempts[again].runs : 0);
	}
	note("%d of %d served; %d answered as not run, though they ran; %d of "
	     "them ran again when their clients repeated them",
	    served, n_attempts, ran, twice);
	return ran > 0;
}

/* ---- a rolling restart ---- */

/* Two rolling restarts overlap: each stops one machine at a time. */
#define PAIRS 5
#define GAP_MS 1300
#define GRACE_MS 6000
#define DEADLINE_MS 4000

/* The platform kills what has not ended in time, and starts it again. */
static void
start_again(struct node *n)
{
	if (!node_wait(n, GRACE_MS + 1000)) {
		note("%s is killed after the grace time", n->name);
		node_signal(n, SIGKILL);
		node_wait(n, 1000);
	}
	node_start(n);
	while (!is_ready(n))
		sleep_ms(50);
}

/* Requests that were broken off after SIGTERM of the clients' machine "via". */
static int
count_broken(int via, int first, int64_t at)
{
	struct attempt *x;
	int i, broken = 0;

	for (i = first; i < n_attempts; i++) {
		x = &attempts[i];
		if (x->via != via || !x->cut || x->status == 200 ||
		    x->ended < at || x->run_end >= at + GRACE_MS * 5 / 6 ||
		    x->run_end >= x->sent + DEADLINE_MS - 100)
			continue;
		note("a%d: sent %.3f, at work at %s %.3f to %.3f, answer %d at "
		     "%.3f",
		    i, (double)x->sent / 1000, nodes[x->run_by].name,
		    (double)x->run_at / 1000, (double)x->run_end / 1000,
		    x->status, (double)x->ended / 1000);
		broken++;
	}
	return broken;
}

/* Stops the machine "b", and shortly after it that of the clients, "a". */
static int
stop_pair(struct node *b, struct node *a, int trouble)
{
	static struct load loads[PAIRS];
	static int n;
	struct load *l = &loads[n++];
	int64_t t = now_ms(), at;
	int first = n_attempts, broken;

	*l = (struct load){ .via = (int)(a - nodes),
		.gap_ms = 15,
		.deadline = DEADLINE_MS,
		.method = "POST",
		.route = "book",
		.work_ms = 120,
		.every = 12,
		.long_ms = 3600,
		.from = t,
		.until = t + 20000 };
	in_background(load_run, l);
	sleep_until(t + 4000);
	if (trouble == 1) {
		note("SIGTERM of %s", b->name);
		node_signal(b, SIGTERM);
	}
	sleep_ms(GAP_MS);
	if (trouble) {
		note("SIGTERM of %s", a->name);
		node_signal(a, SIGTERM);
	}
	at = now_ms();
	/* Its clients move away after two misses of its readiness. */
	l->until = at + 2400;
	sleep_until(at + GRACE_MS);
	broken = count_broken(l->via, first, at);
	if (trouble == 1)
		start_again(b);
	if (trouble)
		start_again(a);
	sleep_ms(CONTACT_MS + 500);
	return broken;
}

static int
case_stop(int trouble)
{
	static const char *const services[] = { "beta", "beta", "beta", "beta",
		"beta", "alpha", "alpha", "alpha", "alpha", "alpha" };
	int i, broken = 0, served = 0;

	mesh_start(2 * PAIRS, services);
	for (i = 0; i < PAIRS; i++)
		broken += stop_pair(&nodes[i], &nodes[PAIRS + i], trouble);
	for (i = 0; i < n_attempts; i++)
		served += attempts[i].status == 200;
	note("%d of %d served; %d broken off at work, before the last sixth of "
	     "the grace time of the machine that took them",
	    served, n_attempts, broken);
	if (served < n_attempts / 2)
		cannot_run("too few requests were served");
	return broken > 0;
}

int
case_run(int number, int trouble)
{
	switch (number) {
	case 11:
		return case_memory(trouble);
	case 12:
		return case_grey(trouble);
	case 13:
		return case_stop(trouble);
	}
	return 2;
}
