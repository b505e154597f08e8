/* Cases of the second review; rig2.c includes this file. */

/* Times of the settings, in ms. */
#define CONTACT_MS 3000
#define DRAIN_MS 2000
#define APPLY_MS 2000
/* Allowance for the time on the way between the rig and a node. */
#define SLACK_MS 100

/* ---- 6: the nodes that read the store are dark ---- */

static atomic_int probing;

static void *
probe_loop(void *arg)
{
	int node = (int)(long)arg;

	while (probing) {
		ask(node, "GET", "/new/x", 1000);
		ask(node, "POST", "/once/x", 1000);
		sleep_ms(20);
	}
	return NULL;
}

/* A node that does not read the store, beside a server of svc-b. */
static int
choose_survivor(void)
{
	int i;

	for (i = rig.n - 1; i >= 0; i--) {
		note("node %d %s the store", i,
		    store.polls[i] > 0 ? "reads" : "does not read");
		if (store.polls[i] == 0 &&
		    strcmp(rig.server[i].service, "svc-b") == 0)
			return i;
	}
	return rig.n - 1;
}

/*
 * A version moves "/once/" from svc-b to svc-a and adds "/new/".  Counts the
 * requests of one node that was not touched that are handled as only the older
 * version allows.
 */
static int
case_dark(void)
{
	int i, survivor, kill_set[NODES_MAX] = { 0 }, old = 0, refused = 0;
	const struct answer *a;
	const struct run *r;
	long long acked;

	rig_start(11);
	sleep_ms(5000);
	survivor = choose_survivor();
	for (i = 0; i < rig.n; i++)
		kill_set[i] = i != survivor;
	if (rig.trouble)
		kill_nodes(kill_set);
	publish("svc-a",
	    ",[\"new\",\"mesh.example\",\"/new/\",\"idempotent\",2,0.5,0,"
	    "\"svc-a\",2]");
	acked = at();
	probing = 1;
	spawn(probe_loop, (void *)(long)survivor);
	sleep_until(acked + 4500);
	if (rig.trouble)
		start_nodes(kill_set);
	sleep_until(acked + 8000);
	probing = callers.on = 0;
	sleep_ms(1500);
	for (i = 0; i < callers.n; i++) {
		a = &callers.answer[i];
		refused += a->node == survivor && a->status == 404 &&
			   a->sent > acked + APPLY_MS + SLACK_MS;
	}
	for (i = 0; i < runs.n; i++) {
		r = &runs.run[i];
		old += r->node == survivor && r->once &&
		       r->sent > acked + APPLY_MS + SLACK_MS &&
		       strcmp(rig.server[r->server].service, "svc-b") == 0;
	}
	note("sent at node %d later than %d ms after the acknowledgement: "
	     "%d refused with 404, %d run by the old service",
	    survivor, APPLY_MS + SLACK_MS, refused, old);
	return refused + old > 0 ? BROKEN : HELD;
}

/* ---- 7: a server that has left ---- */

/*
 * Server 0 leaves with DELETE and serves on for some seconds.  Counts the
 * requests that reach it later than allowed.
 */
static int
case_left(void)
{
	struct server *s = &rig.server[0];
	struct message *m = message_new();
	int i, status, late = 0, kill_set[NODES_MAX];
	char beat[1024], text[256];
	long long acked, back;

	rig_start(6);
	sleep_ms(3000);
	s->beats = 0;
	sleep_ms(200);
	beat_text(s, beat, sizeof(beat));
	note("server 0 sends announcement %ld, which arrives late", s->sequence);
	sleep_ms(200);
	snprintf(text, sizeof(text),
	    "DELETE /-/instances/%s HTTP/1.1\r\nHost: control\r\n\r\n", s->id);
	s->health = 503;
	status = call(0, CONTROL, text, 1000, m);
	acked = back = at();
	note("server 0 says that it leaves: answered %d", status);
	if (status != 200)
		return NOT_RUN;
	for (i = 0; i < NODES_MAX; i++)
		kill_set[i] = 1;
	sleep_ms(300);
	if (rig.trouble) {
		kill_nodes(kill_set);
		sleep_ms(1000);
		start_nodes(kill_set);
		back = at();
	}
	sleep_until(acked + 4000);
	status = call(0, CONTROL, beat, 1000, m);
	note("the late announcement of server 0 arrives: answered %d", status);
	sleep_until(acked + 10000);
	callers.on = 0;
	sleep_ms(1000);
	for (i = 0; i < runs.n; i++)
		late += runs.run[i].server == 0 &&
			runs.run[i].at > acked + DRAIN_MS + SLACK_MS &&
			runs.run[i].sent > back + CONTACT_MS + SLACK_MS;
	note("requests at server 0 later than %d ms after the acknowledgement, "
	     "sent later than %d ms after the start of the nodes: %d",
	    DRAIN_MS + SLACK_MS, CONTACT_MS + SLACK_MS, late);
	message_free(m);
	return late > 0 ? BROKEN : HELD;
}

static const struct {
	const char *name;
	int (*run)(void);
} cases[] = { { "dark", case_dark }, { "left", case_left }, { NULL, NULL } };
