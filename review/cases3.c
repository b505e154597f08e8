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
#define DRAIN_MS 2000

const char case_config[] =
    "{\"version\":7,"
    "\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\","
    "\"service\",\"timeoutS\",\"targetLatencyS\",\"maxAttempts\","
    "\"priority\"],\"rows\":["
    "[\"lookup\",\"mesh.example\",\"/lookup/\",\"idempotent\",\"alpha\",2.5,"
    "0.5,2,0],"
    "[\"book\",\"mesh.example\",\"/book/\",\"non_idempotent\",\"beta\",4,"
    "1.5,2,1]]},"
    "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\"],"
    "\"rows\":[[\"alpha\",\"/health\",110],[\"beta\",\"/health\",110]]},"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
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

/* ---- an announcement that arrives late, after a restart ---- */

struct late {
	struct node *n;
	char text[1024];
	int64_t at;
	int status;
};

static void *
late_beat(void *arg)
{
	struct late *l = arg;

	sleep_until(l->at);
	l->status = control_call(l->n, l->text, 1000);
	note("the late announcement of %s arrives: %d", l->n->id, l->status);
	return NULL;
}

/* The announcement is this late; the upstream serves on for so long. */
#define LATE_MS 5500
#define SERVES_MS 5300

/* Requests that reached the upstream of "x" too late. */
static int
count_reached(const struct node *x, int64_t acked, int64_t back)
{
	const struct attempt *y;
	int i, reached = 0, lost = 0, served = 0;

	for (i = 0; i < n_attempts; i++) {
		y = &attempts[i];
		served += y->status == 200;
		if (!y->run_leaving || y->sent <= acked + DRAIN_MS ||
		    y->sent <= back + CONTACT_MS)
			continue;
		reached++;
		lost += y->status != 200;
		note("a%d: sent %.3f, run by %s at %.3f, answer %d", i,
		    (double)y->sent / 1000, x->id, (double)y->run_at / 1000,
		    y->status);
	}
	note("%d of %d served; %d reached %s more than %d ms after it was "
	     "acknowledged that it leaves, %d of them were lost",
	    served, n_attempts, reached, x->id, DRAIN_MS, lost);
	if (served < n_attempts / 2)
		cannot_run("too few requests were served");
	return reached;
}

static int
case_drain(int trouble)
{
	static const char *const services[] = { "beta", "beta", "beta",
		"beta" };
	static struct load loads[4];
	static struct late late;
	struct node *x = &nodes[0];
	int64_t t, acked, back = 0;
	int i;

	mesh_start(4, services);
	t = now_ms();
	for (i = 0; i < 4; i++) {
		loads[i] = (struct load){ .via = i,
			.gap_ms = 50,
			.deadline = 3000,
			.method = "POST",
			.route = "book",
			.work_ms = 290,
			.from = t,
			.until = t + 14000 };
		in_background(load_run, &loads[i]);
	}
	sleep_until(t + 2000);
	x->quiet = 1; /* its next announcement is the late one */
	sleep_ms(200);
	late.n = x;
	beat_text(x, late.text, sizeof(late.text));
	note("%s sends an announcement, which will be late", x->id);
	late.at = now_ms() + LATE_MS;
	in_background(late_beat, &late);
	sleep_ms(400);
	if (up_leaves(x) != 200)
		cannot_run("the leave was not acknowledged");
	acked = now_ms();
	note("%s leaves, acknowledged", x->id);
	sleep_ms(200);
	if (trouble) {
		for (i = 0; i < n_nodes; i++)
			node_signal(&nodes[i], SIGKILL);
		for (i = 0; i < n_nodes; i++)
			node_wait(&nodes[i], 2000);
		note("all nodes are killed");
		sleep_ms(500);
		for (i = 0; i < n_nodes; i++)
			node_start(&nodes[i]);
		back = now_ms();
		note("all nodes are started again");
	}
	sleep_until(acked + SERVES_MS);
	x->gone = 1;
	note("%s ends", x->id);
	sleep_until(t + 17500);
	return count_reached(x, acked, back) > 0;
}

int
case_run(int number, int trouble)
{
	switch (number) {
	case 11:
		return case_grey(trouble);
	case 12:
		return case_stop(trouble);
	case 13:
		return case_drain(trouble);
	}
	return 2;
}
