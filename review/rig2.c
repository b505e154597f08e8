/*
 * Stand-ins for the scripts of the second review: the platform's store, backend
 * servers and callers, each in a thread of this process.  The nodes are started
 * as separate processes.  Each node has its own loopback address; the ports are
 * the same on all of them.  Usage: rig2 CASE PTPROXY RECORD.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define NODES_MAX 18
#define OUTBOUND 8601
#define INBOUND 8602
#define READY 8603
#define CONTROL 8604
#define APP 8605
#define STORE 8607
#define PORT_FIRST 8610
#define PORT_LAST 8625
#define STORE_HOST 250
#define SLOTS 12
#define WORK_MS 220 /* of a request */
#define CALLERS 4 /* of each node */
#define PAUSE_MS 60 /* of a caller */
#define SERVER_CONNS_MAX 256
#define REVIVE_MS 2000 /* from a crash to the next process */
#define RECORDS_MAX 256
#define ANSWERS_MAX 60000
#define RUNS_MAX 60000
#define HEAD_MAX 16384
#define BODY_MAX 262144
/* Times of the settings, in ms. */
#define CONTACT_MS 3000
#define DRAIN_MS 2000
#define APPLY_MS 2000
/* Time after which the keep-alive probes of a node find a silent path. */
#define KEEPALIVE_MS 3000
/* Allowance for the time on the way between the rig and a node. */
#define SLACK_MS 100

/* Exit codes of a case. */
enum {
	HELD = 0,
	BROKEN = 1,
	NOT_RUN = 2
};

struct server {
	int i;
	char id[64];
	const char *service;
	long long born;
	long sequence;
	int work_ms;
	atomic_int draining, health, beats; /* "beats": it announces itself */
	atomic_int leaves; /* it says so in all its answers */
	atomic_int running;
	atomic_int down; /* it has crashed */
	int crashes, listen_fd;
	int fds[SERVER_CONNS_MAX], n_fds; /* open connections */
};

struct record {
	char key[64];
	char *value;
	size_t len;
};

static struct {
	int n, net_a, net_b, trouble;
	int work_ms, callers, pause_ms; /* callers: of each node */
	const char *tenants; /* member of the configuration, or empty */
	const char *once; /* service of "/once/" in the first version */
	const char *program;
	char dir[128];
	pid_t pid[NODES_MAX];
	struct server server[NODES_MAX];
	FILE *record;
	long long start_ms;
	pthread_mutex_t lock;
} rig;

/* ---- time and record ---- */

static long long
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static long long
wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static long long
at(void)
{
	return now_ms() - rig.start_ms;
}

static void
sleep_ms(long long ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

static void
sleep_until(long long t)
{
	sleep_ms(t - at());
}

static void
note(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&rig.lock);
	fprintf(rig.record, "%8.3f ", (double)at() / 1000);
	va_start(ap, fmt);
	vfprintf(rig.record, fmt, ap);
	va_end(ap);
	fputc('\n', rig.record);
	fflush(rig.record);
	pthread_mutex_unlock(&rig.lock);
}

static void
host_of(int i, char out[32])
{
	snprintf(out, 32, "127.%d.%d.%d", rig.net_a, rig.net_b, i + 1);
}

static void
spawn(void *(*f)(void *), void *arg)
{
	pthread_t t;
	pthread_attr_t a;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, 512 * 1024);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &a, f, arg) != 0) {
		fprintf(stderr, "rig2: cannot create a thread\n");
		exit(NOT_RUN);
	}
	pthread_attr_destroy(&a);
}

/* ---- sockets ---- */

static struct sockaddr_in
address(int host, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((unsigned short)port) };
	char text[32];

	host_of(host, text);
	inet_pton(AF_INET, text, &a.sin_addr);
	return a;
}

static int
listen_at(int host, int port)
{
	struct sockaddr_in a = address(host, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
	    listen(fd, 256) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static int
connect_to(int host, int port)
{
	struct sockaddr_in a = address(host, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static int
send_all(int fd, const void *p, size_t n)
{
	const char *s = p;
	ssize_t k;

	while (n > 0) {
		k = send(fd, s, n, MSG_NOSIGNAL);
		if (k <= 0)
			return -1;
		s += k;
		n -= (size_t)k;
	}
	return 0;
}

/* ---- messages ---- */

struct message {
	char head[HEAD_MAX];
	char *body;
	size_t len;
};

/* Bytes that were read after a message. */
struct input {
	int fd;
	size_t n;
	char buf[HEAD_MAX];
};

static int
fill(struct input *in, long long until)
{
	struct pollfd p = { in->fd, POLLIN, 0 };
	long long left = until - now_ms();
	ssize_t k;

	if (in->n == sizeof(in->buf) || left <= 0 ||
	    poll(&p, 1, (int)left) <= 0)
		return -1;
	k = recv(in->fd, in->buf + in->n, sizeof(in->buf) - in->n, 0);
	if (k <= 0)
		return -1;
	in->n += (size_t)k;
	return 0;
}

static void
consume(struct input *in, size_t n)
{
	memmove(in->buf, in->buf + n, in->n - n);
	in->n -= n;
}

/* Value of a field; "" if it is absent. */
static void
field(const char *head, const char *name, char *out, size_t size)
{
	const char *p = strchr(head, '\n');
	size_t n = strlen(name), len;

	*out = '\0';
	for (; p != NULL; p = strchr(p, '\n')) {
		p++;
		if (strncasecmp(p, name, n) != 0 || p[n] != ':')
			continue;
		p += n + 1;
		p += strspn(p, " \t");
		len = strcspn(p, "\r\n");
		if (len >= size)
			len = size - 1;
		memcpy(out, p, len);
		out[len] = '\0';
		return;
	}
}

static int
take(struct input *in, struct message *m, size_t n, long long until)
{
	size_t k;

	while (n > 0) {
		while (in->n == 0)
			if (fill(in, until) != 0)
				return -1;
		k = in->n < n ? in->n : n;
		if (m->len + k > BODY_MAX)
			return -1;
		memcpy(m->body + m->len, in->buf, k);
		m->len += k;
		consume(in, k);
		n -= k;
	}
	return 0;
}

static int
take_chunks(struct input *in, struct message *m, long long until)
{
	char *end;
	size_t n, line;

	for (;;) {
		while ((end = memmem(in->buf, in->n, "\r\n", 2)) == NULL)
			if (fill(in, until) != 0)
				return -1;
		line = (size_t)(end - in->buf) + 2;
		n = strtoul(in->buf, NULL, 16);
		consume(in, line);
		if (take(in, m, n, until) != 0)
			return -1;
		while (in->n < 2)
			if (fill(in, until) != 0)
				return -1;
		consume(in, 2);
		if (n == 0)
			return 0;
	}
}

/* 0: a whole message was read. */
static int
read_message(struct input *in, struct message *m, long long until)
{
	char v[64], *end;
	size_t n;

	m->len = 0;
	while ((end = memmem(in->buf, in->n, "\r\n\r\n", 4)) == NULL)
		if (fill(in, until) != 0)
			return -1;
	n = (size_t)(end - in->buf) + 4;
	memcpy(m->head, in->buf, n);
	m->head[n - 2] = '\0';
	consume(in, n);
	field(m->head, "Transfer-Encoding", v, sizeof(v));
	if (*v != '\0')
		return take_chunks(in, m, until);
	field(m->head, "Content-Length", v, sizeof(v));
	if (take(in, m, strtoul(v, NULL, 10), until) != 0)
		return -1;
	m->body[m->len] = '\0';
	return 0;
}

static struct message *
message_new(void)
{
	struct message *m = calloc(1, sizeof(*m));

	m->body = calloc(1, BODY_MAX + 1);
	return m;
}

static void
message_free(struct message *m)
{
	free(m->body);
	free(m);
}

/* ---- the platform's store: a log of keyed records ---- */

static struct {
	struct record records[RECORDS_MAX]; /* of keyed.op */
	int n;
	struct record nodes[RECORDS_MAX]; /* of keyed.nodes */
	int n_nodes;
	atomic_int polls[NODES_MAX]; /* long polls in progress, by node */
	/*
	 * 1: the node is cut off from the store, both hear nothing; 2: its
	 * keep-alive probes have found that, open connections are reset.
	 */
	atomic_int cut[NODES_MAX];
	atomic_int down; /* it resets connections */
	pthread_mutex_t lock;
	pthread_cond_t changed;
} store;

static void
store_add(
    struct record *list, int *n, const char *key, const void *v, size_t len)
{
	pthread_mutex_lock(&store.lock);
	if (*n < RECORDS_MAX) {
		snprintf(list[*n].key, sizeof(list[*n].key), "%s", key);
		list[*n].value = malloc(len + 1);
		memcpy(list[*n].value, v, len);
		list[*n].len = len;
		(*n)++;
	}
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

static size_t
put_be(char *out, unsigned long long v, int n)
{
	int i;

	for (i = 0; i < n; i++)
		out[i] = (char)(v >> 8 * (n - 1 - i));
	return (size_t)n;
}

static void
respond(int fd, int status, const char *fields, const void *body, size_t n)
{
	char head[1024];
	int k = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status, fields,
	    n);

	if (send_all(fd, head, (size_t)k) == 0)
		send_all(fd, body, n);
}

static void
store_read(int fd, int node, const char *head, struct record *list, int *n)
{
	const char *p = strstr(head, "from="), *w = strstr(head, "waitMs=");
	long from = p != NULL ? strtol(p + 5, NULL, 10) : 0;
	long wait = w != NULL ? strtol(w + 7, NULL, 10) : 0;
	struct timespec t;
	char *out = malloc(BODY_MAX);
	size_t len, k;
	int i;

	clock_gettime(CLOCK_REALTIME, &t);
	t.tv_sec += wait / 1000;
	t.tv_nsec += wait % 1000 * 1000000;
	if (t.tv_nsec >= 1000000000) {
		t.tv_sec++;
		t.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&store.lock);
	if (wait > 0)
		store.polls[node]++;
	while (*n <= from && wait > 0 &&
	       pthread_cond_timedwait(&store.changed, &store.lock, &t) == 0)
		;
	if (wait > 0)
		store.polls[node]--;
	len = put_be(out, (unsigned long long)*n, 8);
	len += put_be(out + len, 0, 8);
	for (i = (int)from; i < *n; i++) {
		k = strlen(list[i].key);
		len += put_be(out + len, 1 + k + list[i].len, 4);
		len += put_be(out + len, k, 1);
		memcpy(out + len, list[i].key, k);
		memcpy(out + len + k, list[i].value, list[i].len);
		len += k + list[i].len;
	}
	pthread_mutex_unlock(&store.lock);
	if (!store.cut[node])
		respond(fd, 200, "", out, len);
	free(out);
}

static size_t
base64(const char *p, size_t n, char *out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t i, k = 0;
	unsigned v;

	for (i = 0; i < n; i += 3) {
		v = (unsigned)(unsigned char)p[i] << 16;
		v |= i + 1 < n ? (unsigned)(unsigned char)p[i + 1] << 8 : 0;
		v |= i + 2 < n ? (unsigned)(unsigned char)p[i + 2] : 0;
		out[k++] = digits[v >> 18];
		out[k++] = digits[v >> 12 & 63];
		out[k++] = i + 1 < n ? digits[v >> 6 & 63] : '=';
		out[k++] = i + 2 < n ? digits[v & 63] : '=';
	}
	return k;
}

static void
store_newest(int fd, struct record *list, const int *n)
{
	char *out = malloc(BODY_MAX);
	size_t len;
	int i, j, some = 0;

	len = (size_t)sprintf(out, "{\"items\":[");
	pthread_mutex_lock(&store.lock);
	for (i = 0; i < *n; i++) {
		for (j = i + 1; j < *n && strcmp(list[j].key, list[i].key) != 0;
		     j++)
			;
		if (j < *n || list[i].len == 0)
			continue;
		len +=
		    (size_t)sprintf(out + len, "%s{\"key\":\"%s\",\"value\":\"",
			some++ ? "," : "", list[i].key);
		len += base64(list[i].value, list[i].len, out + len);
		len += (size_t)sprintf(out + len, "\",\"offset\":%d}", i);
	}
	len +=
	    (size_t)sprintf(out + len, "],\"hasMore\":false,\"end\":%d}", *n);
	pthread_mutex_unlock(&store.lock);
	respond(fd, 200, "Content-Type: application/json\r\n", out, len);
	free(out);
}

static void
store_append(int fd, const struct message *m, struct record *list, int *n)
{
	size_t k = m->len > 5 ? (unsigned char)m->body[4] : 0;
	char key[64] = "";

	if (m->len >= 5 + k && k < sizeof(key)) {
		memcpy(key, m->body + 5, k);
		store_add(list, n, key, m->body + 5 + k, m->len - 5 - k);
	}
	respond(fd, 200, "Content-Type: application/json\r\n",
	    "{\"offset\":0,\"end\":1}", 20);
}

static void
reset(int fd)
{
	struct linger l = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

/* ---- groups of the store ---- */

#define PARTS 12
#define GROUP_ROW 64

/*
 * A group whose members hold the parts of a topic.  A part that is assigned
 * anew is taken from its holder when that has joined with the generation of
 * the change, or has sent nothing for its time.
 */
static struct {
	long generation;
	int n; /* members */
	int member[NODES_MAX]; /* nodes, in the order in which they joined */
	long long heard[NODES_MAX], ttl[NODES_MAX]; /* by node */
	int target[PARTS], holder[PARTS]; /* nodes, -1: none */
	long changed[PARTS]; /* generation of the change */
	atomic_int joins[NODES_MAX]; /* answered, by node */
} group;

static void
group_assign(void)
{
	int i, t;

	group.generation++;
	for (i = 0; i < PARTS; i++) {
		t = group.n > 0 ? group.member[i % group.n] : -1;
		if (t != group.target[i])
			group.changed[i] = group.generation;
		group.target[i] = t;
	}
}

static void
group_drop(int node)
{
	int i, k = 0;

	for (i = 0; i < group.n; i++)
		if (group.member[i] != node)
			group.member[k++] = group.member[i];
	group.n = k;
	for (i = 0; i < PARTS; i++)
		if (group.holder[i] == node)
			group.holder[i] = -1;
	group_assign();
}

static int
group_has(int node)
{
	int i;

	for (i = 0; i < group.n && group.member[i] != node; i++)
		;
	return i < group.n;
}

static void
group_expire(void)
{
	int i, node;

	for (i = group.n - 1; i >= 0; i--) {
		node = group.member[i];
		if (now_ms() - group.heard[node] > group.ttl[node])
			group_drop(node);
	}
}

/* The memberships have run out while the store was down. */
static void
group_lapse(void)
{
	pthread_mutex_lock(&store.lock);
	while (group.n > 0)
		group_drop(group.member[0]);
	pthread_mutex_unlock(&store.lock);
}

static double
json_number(const char *text, const char *name)
{
	const char *p = strstr(text, name);

	p = p != NULL ? strchr(p, ':') : NULL;
	return p != NULL ? strtod(p + 1, NULL) : 0;
}

static void
group_join(int fd, int node, const struct message *m)
{
	char out[PARTS * GROUP_ROW + 64];
	size_t len;
	long g;
	int i, some = 0;

	pthread_mutex_lock(&store.lock);
	group_expire();
	g = (long)json_number(m->body, "\"generation\"");
	group.ttl[node] = (long long)(json_number(m->body, "\"ttlS\"") * 1000);
	group.heard[node] = now_ms();
	if (!group_has(node)) {
		group.member[group.n++] = node;
		group_assign();
	}
	for (i = 0; i < PARTS; i++) {
		if (group.holder[i] == node && group.target[i] != node &&
		    g >= group.changed[i])
			group.holder[i] = -1;
		if (group.target[i] == node && group.holder[i] < 0)
			group.holder[i] = node;
	}
	len = (size_t)sprintf(
	    out, "{\"generation\":%ld,\"parts\":[", group.generation);
	for (i = 0; i < PARTS; i++)
		if (group.holder[i] == node && group.target[i] == node)
			len += (size_t)sprintf(out + len, "%s[\"limits\",%d,0]",
			    some++ ? "," : "", i);
	len += (size_t)sprintf(out + len, "]}");
	pthread_mutex_unlock(&store.lock);
	respond(fd, 200, "Content-Type: application/json\r\n", out, len);
	group.joins[node]++;
}

static void
group_owners(int fd)
{
	char out[PARTS * GROUP_ROW + 64];
	size_t len = (size_t)sprintf(out, "{\"parts\":[");
	int i, some = 0;

	pthread_mutex_lock(&store.lock);
	group_expire();
	for (i = 0; i < PARTS; i++)
		if (group.holder[i] >= 0)
			len += (size_t)sprintf(out + len,
			    "%s[\"limits\",%d,\"node-%d\",0]",
			    some++ ? "," : "", i, group.holder[i]);
	len += (size_t)sprintf(out + len, "]}");
	pthread_mutex_unlock(&store.lock);
	respond(fd, 200, "Content-Type: application/json\r\n", out, len);
}

static void
group_leave(int fd, int node)
{
	pthread_mutex_lock(&store.lock);
	if (group_has(node))
		group_drop(node);
	pthread_mutex_unlock(&store.lock);
	respond(fd, 200, "", "", 0);
}

struct conn {
	int fd;
	int node; /* whose address of the store it is */
	struct server *server;
};

static void *
store_conn(void *arg)
{
	struct conn *c = arg;
	struct input *in = calloc(1, sizeof(*in));
	struct message *m = message_new();
	int nodes, lost = 0;

	in->fd = c->fd;
	while (!lost && read_message(in, m, now_ms() + 600000) == 0) {
		nodes = strstr(m->head, "topic=keyed.nodes") != NULL;
		lost = store.cut[c->node];
		if (lost)
			break;
		if (store.down) {
			reset(c->fd);
			c->fd = -1;
			break;
		}
		if (strstr(m->head, "/-/log-newest") != NULL)
			store_newest(c->fd, nodes ? store.nodes : store.records,
			    nodes ? &store.n_nodes : &store.n);
		else if (strstr(m->head, "/-/log-read") != NULL)
			store_read(c->fd, c->node, m->head,
			    nodes ? store.nodes : store.records,
			    nodes ? &store.n_nodes : &store.n);
		else if (strstr(m->head, "/-/log-append") != NULL && nodes)
			store_append(c->fd, m, store.nodes, &store.n_nodes);
		else if (strstr(m->head, "/-/log-join") != NULL)
			group_join(c->fd, c->node, m);
		else if (strstr(m->head, "/-/log-owners") != NULL)
			group_owners(c->fd);
		else if (strstr(m->head, "/-/log-leave") != NULL)
			group_leave(c->fd, c->node);
		else
			respond(c->fd, 403, "", "", 0);
		lost = store.cut[c->node];
	}
	while (lost && store.cut[c->node] == 1)
		sleep_ms(20);
	if (lost)
		reset(c->fd);
	else if (c->fd >= 0)
		close(c->fd);
	message_free(m);
	free(in);
	free(c);
	return NULL;
}

/* ---- backend servers ---- */

struct run {
	long long at; /* when it reached the server */
	long long sent; /* by the caller */
	int server, node; /* node: where it began */
	int once; /* a POST, which must not run twice */
	int crashed; /* the server */
	char id[40];
};

static struct {
	struct run run[RUNS_MAX];
	int n;
} runs;

/* Ids of callers: NODE-NUMBER-TIME of sending, in ms of the rig. */
static void
count_run(struct server *s, const char *id, int once, int crashes)
{
	struct run *r;

	pthread_mutex_lock(&rig.lock);
	if (runs.n < RUNS_MAX) {
		r = &runs.run[runs.n++];
		r->at = at();
		r->server = s->i;
		r->once = once;
		r->crashed = crashes;
		snprintf(r->id, sizeof(r->id), "%s", id);
		if (sscanf(id, "%d-%*d-%lld", &r->node, &r->sent) != 2)
			r->node = -1;
	}
	pthread_mutex_unlock(&rig.lock);
	note("server %d (%s) runs %s", s->i, s->service, id);
}

static void serve_at(int host, int port, struct server *s);

static void *
revive(void *arg)
{
	struct server *s = arg;

	sleep_ms(REVIVE_MS);
	snprintf(s->id, sizeof(s->id), "i-%d-%d", s->i, s->crashes);
	s->born = wall_ms();
	s->sequence = 0;
	s->down = 0;
	serve_at(s->i, APP, s);
	s->beats = 1;
	note("server %d is back", s->i);
	return NULL;
}

/* The server ends without notice, and is back after some seconds. */
static void
crash(struct server *s)
{
	struct linger l = { 1, 0 };
	int i;

	pthread_mutex_lock(&rig.lock);
	if (s->down) {
		pthread_mutex_unlock(&rig.lock);
		return;
	}
	s->down = 1;
	s->beats = 0;
	s->crashes++;
	shutdown(s->listen_fd, SHUT_RDWR);
	close(s->listen_fd);
	for (i = 0; i < s->n_fds; i++) {
		setsockopt(s->fds[i], SOL_SOCKET, SO_LINGER, &l, sizeof(l));
		shutdown(s->fds[i], SHUT_RDWR);
	}
	pthread_mutex_unlock(&rig.lock);
	note("server %d crashes", s->i);
	spawn(revive, s);
}

static void
add_fd(struct server *s, int fd)
{
	pthread_mutex_lock(&rig.lock);
	if (s->n_fds < SERVER_CONNS_MAX)
		s->fds[s->n_fds++] = fd;
	pthread_mutex_unlock(&rig.lock);
}

static void
close_fd(struct server *s, int fd)
{
	int i;

	pthread_mutex_lock(&rig.lock);
	for (i = 0; i < s->n_fds; i++)
		if (s->fds[i] == fd) {
			s->fds[i] = s->fds[--s->n_fds];
			break;
		}
	close(fd);
	pthread_mutex_unlock(&rig.lock);
}

static void
serve(struct conn *c, const struct message *m)
{
	struct server *s = c->server;
	char id[40], target[64], fields[512], body[160];
	const char *leaving = s->leaves ? "Server-Leaving: 1\r\n" : "";

	field(m->head, "X-Primrosetide-Attempt-Id", id, sizeof(id));
	field(
	    m->head, "X-Primrosetide-Target-Instance", target, sizeof(target));
	if (strncmp(m->head, "GET /health ", 12) == 0) {
		snprintf(fields, sizeof(fields),
		    "X-Primrosetide-Instance-Id: %s\r\n%s", s->id, leaving);
		note("server %d is asked for its health: %d", s->i, s->health);
		respond(c->fd, s->health, fields, "", 0);
		return;
	}
	snprintf(fields, sizeof(fields),
	    "X-Primrosetide-Not-Executed: 1\r\n"
	    "X-Primrosetide-Attempt-Id: %s\r\n%s",
	    id, leaving);
	if (*id == '\0') {
		respond(
		    c->fd, 400, "X-Primrosetide-Not-Executed: 1\r\n", "", 0);
		return;
	}
	if (*target != '\0' && strcmp(target, s->id) != 0) {
		respond(c->fd, 421, fields, "", 0);
		return;
	}
	if (++s->running > SLOTS) {
		s->running--;
		respond(c->fd, 503, fields, "", 0);
		return;
	}
	count_run(s, id, strncmp(m->head, "POST", 4) == 0,
	    strstr(m->head, "/poison") != NULL);
	if (strstr(m->head, "/poison") != NULL) {
		note("request that crashes servers: %s at server %d", id, s->i);
		s->running--;
		crash(s);
		return;
	}
	sleep_ms(s->work_ms);
	snprintf(body, sizeof(body), "body of %s from %s", id, s->id);
	snprintf(fields, sizeof(fields),
	    "X-Primrosetide-Attempt-Id: %s\r\n"
	    "X-Primrosetide-Response-Signature: sig-%s\r\n%s",
	    id, id, leaving);
	respond(c->fd, 200, fields, body, strlen(body));
	s->running--;
}

static void *
server_conn(void *arg)
{
	struct conn *c = arg;
	struct input *in = calloc(1, sizeof(*in));
	struct message *m = message_new();

	in->fd = c->fd;
	add_fd(c->server, c->fd);
	while (read_message(in, m, now_ms() + 10000) == 0 && !c->server->down)
		serve(c, m);
	close_fd(c->server, c->fd);
	message_free(m);
	free(in);
	free(c);
	return NULL;
}

struct listener {
	int fd, node;
	struct server *server; /* NULL: the store */
};

static void *
accept_loop(void *arg)
{
	struct listener *l = arg;
	struct conn *c;
	int fd, one = 1;

	for (;;) {
		fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0 && l->server != NULL && l->server->down)
			return NULL;
		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = calloc(1, sizeof(*c));
		c->fd = fd;
		c->node = l->node;
		c->server = l->server;
		spawn(l->server != NULL ? server_conn : store_conn, c);
	}
	return NULL;
}

/* ---- calls of the rig ---- */

/* Status of the answer; 0: none. */
static int
call(int host, int port, const char *text, long long timeout,
    struct message *answer)
{
	struct input *in = calloc(1, sizeof(*in));
	int status = 0;

	in->fd = connect_to(host, port);
	if (in->fd >= 0) {
		if (send_all(in->fd, text, strlen(text)) == 0 &&
		    read_message(in, answer, now_ms() + timeout) == 0)
			status = atoi(answer->head + 9);
		close(in->fd);
	}
	free(in);
	return status;
}

/* An announcement as it is sent; it may be delivered later. */
static void
beat_text(struct server *s, char *out, size_t size)
{
	char body[512], host[32];

	host_of(s->i, host);
	snprintf(body, sizeof(body),
	    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"coldLeftS\":0,"
	    "\"sequence\":%ld,\"born\":%lld}",
	    s->service, host, APP, SLOTS,
	    s->draining ? "draining" : "in_service", ++s->sequence, s->born);
	snprintf(out, size,
	    "PUT /-/instances/%s HTTP/1.1\r\nHost: control\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
	    s->id, strlen(body), body);
}

static void *
beat_loop(void *arg)
{
	struct server *s = arg;
	struct message *m = message_new();
	char text[1024];

	for (;;) {
		if (s->beats) {
			beat_text(s, text, sizeof(text));
			call(s->i, CONTROL, text, 1000, m);
		}
		sleep_ms(1500);
	}
	return NULL;
}

/* ---- nodes ---- */

static const char *const zones[] = { "z-1", "z-2", "z-3" };

/* "first": the first start of the system. */
static void
write_settings(int i, int first)
{
	char path[256], h[32], seed[32];
	FILE *f;

	host_of(i, h);
	host_of((i + 1) % rig.n, seed);
	snprintf(path, sizeof(path), "%s/%d.conf", rig.dir, i);
	f = fopen(path, "w");
	if (f == NULL)
		exit(NOT_RUN);
	fprintf(f,
	    "nodeName=node-%d\nrole=proxy\nmachineClass=sidecar\n"
	    "serves=sidecar\nip=%s\nzone=%s\nregion=r\n"
	    "listenAddrs.inbound=%s:%d\nlistenAddrs.outbound=%s:%d\n"
	    "listenAddrs.ready=%s:%d\nlistenAddrs.control=%s:%d\n"
	    "portRange=%d,%d\nseedNodes=%s:%d\nbootstrap=%s\n"
	    "limits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000\n"
	    "heartbeatS=1.5\nbounds.contactS=3\nbounds.drainS=2\n"
	    "bounds.graceS=6\nbounds.configApplyS=2\n"
	    "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
	    "bounds.retryBudgetSlack=58\nbounds.quotaWindowS=5\n"
	    "bounds.quotaOvershoot=0.1\nbounds.quotaSlack=20\nappAddr=%s:%"
	    "d\nservice=%s\n"
	    "platform.address=%s:%d\nplatform.form=log\nplatform.parts=12\n",
	    i, h, zones[i % 3], h, INBOUND, h, OUTBOUND, h, READY, h, CONTROL,
	    PORT_FIRST, PORT_LAST, seed, CONTROL, first ? "true" : "false", h,
	    APP, rig.server[i].service, h, STORE);
	fclose(f);
}

static void
node_start(int i)
{
	char path[256], log[256];
	sigset_t none;
	pid_t pid;

	snprintf(path, sizeof(path), "%s/%d.conf", rig.dir, i);
	snprintf(log, sizeof(log), "%s/%d.log", rig.dir, i);
	pid = fork();
	if (pid < 0)
		exit(NOT_RUN);
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		sigemptyset(&none);
		sigprocmask(SIG_SETMASK, &none, NULL);
		setenv("PRIMROSETIDE_BOOT", path, 1);
		if (freopen(log, "a", stdout) == NULL)
			_exit(127);
		execl(rig.program, rig.program, (char *)NULL);
		_exit(127);
	}
	rig.pid[i] = pid;
	note("node %d is started", i);
}

static void
node_signal(int i, int sig)
{
	note("node %d gets signal %d", i, sig);
	if (rig.pid[i] > 0)
		kill(rig.pid[i], sig);
}

/* Kills the nodes of a set at the same moment. */
static void
kill_nodes(const int set[NODES_MAX])
{
	int i;

	for (i = 0; i < rig.n; i++)
		if (set[i])
			node_signal(i, SIGKILL);
	for (i = 0; i < rig.n; i++)
		if (set[i]) {
			waitpid(rig.pid[i], NULL, 0);
			rig.pid[i] = 0;
		}
}

static void
start_nodes(const int set[NODES_MAX])
{
	int i;

	for (i = 0; i < rig.n; i++)
		if (set[i])
			node_start(i);
}

static int
node_ready(int i)
{
	struct message *m = message_new();
	int status = call(i, READY,
	    "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n", 1000, m);

	message_free(m);
	return status == 200;
}

static void
end_nodes(void)
{
	int i;

	for (i = 0; i < rig.n; i++)
		if (rig.pid[i] > 0) {
			kill(rig.pid[i], SIGCONT);
			kill(rig.pid[i], SIGKILL);
			waitpid(rig.pid[i], NULL, 0);
			rig.pid[i] = 0;
		}
}

static void
remove_dir(void)
{
	char path[256];
	int i;

	for (i = 0; i < rig.n; i++) {
		snprintf(path, sizeof(path), "%s/%d.conf", rig.dir, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/%d.log", rig.dir, i);
		unlink(path);
	}
	rmdir(rig.dir);
}

/* Every way out ends the nodes by their ids. */
static void
clean_up(void)
{
	end_nodes();
	if (getenv("KEEP_LOGS") == NULL)
		remove_dir();
}

/* Ends the script when it is told to stop. */
static void *
wait_for_signal(void *arg)
{
	const sigset_t *set = arg;
	int sig;

	sigwait(set, &sig);
	clean_up();
	_exit(NOT_RUN);
}

/* The threads inherit the mask, so that only one of them gets the signals. */
static void
catch_signals(void)
{
	static sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	spawn(wait_for_signal, &set);
}

/* ---- callers ---- */

struct answer {
	int node, status;
	long long sent, at;
	char id[40];
};

static struct {
	struct answer answer[ANSWERS_MAX];
	int n; /* answers kept, the first ones */
	atomic_int on, number;
	const char *key; /* field with the key, or empty */
} callers;

static int
ask(int node, const char *method, const char *path, int deadline_ms)
{
	struct message *m = message_new();
	char text[512];
	struct answer a = { .node = node, .sent = at() };

	snprintf(
	    a.id, sizeof(a.id), "%d-%d-%lld", node, ++callers.number, a.sent);
	snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: mesh.example\r\n"
	    "X-Primrosetide-Attempt-Id: %s\r\n"
	    "X-Primrosetide-Deadline-Ms: %d\r\n%sContent-Length: 0\r\n\r\n",
	    method, path, a.id, deadline_ms, callers.key);
	a.status = call(node, OUTBOUND, text, deadline_ms + 500, m);
	a.at = at();
	note("caller at node %d: %s %s %s answered %d", node, method, path,
	    a.id, a.status);
	pthread_mutex_lock(&rig.lock);
	if (callers.n < ANSWERS_MAX)
		callers.answer[callers.n++] = a;
	pthread_mutex_unlock(&rig.lock);
	message_free(m);
	return a.status;
}

static void *
caller_loop(void *arg)
{
	int node = (int)(long)arg;

	for (;;) {
		if (callers.on && rig.pid[node] > 0)
			ask(node, "GET", "/many/x", 2000);
		sleep_ms(rig.pause_ms);
	}
	return NULL;
}

/* ---- start ---- */

static long version;

/*
 * Writes a configuration: "once" is the service of the route "/once/", "more"
 * holds further rows of routes.
 */
static void
publish(const char *once, const char *more)
{
	char *text = malloc(8192);

	version += 3;
	snprintf(text, 8192,
	    "{\"version\":%ld,\"routes\":{\"columns\":[\"name\",\"host\","
	    "\"pathPrefix\",\"kind\",\"timeoutS\",\"targetLatencyS\","
	    "\"priority\",\"service\",\"maxAttempts\"],\"rows\":[[\"many\","
	    "\"mesh.example\",\"/many/\",\"idempotent\",2,0.5,0,\"svc-a\",2],"
	    "[\"once\",\"mesh.example\",\"/once/\",\"non_idempotent\",2,0.5,1,"
	    "\"%s\",2]%s]},\"services\":{\"columns\":[\"name\","
	    "\"healthPath\",\"maxConnections\"],\"rows\":[[\"svc-a\","
	    "\"/health\",110],[\"svc-b\",\"/health\",110]]},\"limits\":{"
	    "\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000000,"
	    "\"headerTimeoutS\":5,\"idleTimeoutS\":20}%s}",
	    version, once, more, rig.tenants);
	note("the operator writes version %ld", version);
	store_add(store.records, &store.n, "config", text, strlen(text));
	note("version %ld is acknowledged", version);
	free(text);
}

static void
serve_at(int host, int port, struct server *s)
{
	struct listener *l = calloc(1, sizeof(*l));

	l->fd = listen_at(host, port);
	l->node = host;
	l->server = s;
	if (l->fd < 0) {
		fprintf(stderr, "rig2: cannot listen\n");
		exit(NOT_RUN);
	}
	if (s != NULL)
		s->listen_fd = l->fd;
	spawn(accept_loop, l);
}

static void
rig_start(int n)
{
	struct server *s;
	int i, k, fd = -1, tries;

	rig.n = n;
	for (tries = 0; tries < 50 && fd < 0; tries++) {
		rig.net_a = 64 + ((int)getpid() + tries) % 128;
		rig.net_b = (int)getpid() / 128 % 250;
		fd = listen_at(STORE_HOST - 1, STORE);
	}
	if (fd < 0)
		exit(NOT_RUN);
	close(fd);
	publish(rig.once, "");
	for (i = 0; i < n; i++) {
		s = &rig.server[i];
		s->i = i;
		snprintf(s->id, sizeof(s->id), "i-%d", i);
		s->service = i * 2 < n ? "svc-a" : "svc-b";
		s->born = wall_ms();
		s->work_ms = rig.work_ms;
		s->health = 200;
		s->beats = 1;
		serve_at(i, APP, s);
		serve_at(
		    i, STORE, NULL); /* the store, as this node reaches it */
		write_settings(i, 1);
		node_start(i);
		spawn(beat_loop, s);
	}
	sleep_ms(7000);
	for (i = 0; i < n; i++)
		if (!node_ready(i)) {
			fprintf(stderr, "rig2: node %d is not ready\n", i);
			end_nodes();
			exit(NOT_RUN);
		}
	for (i = 0; i < n; i++) {
		write_settings(i, 0);
		for (k = 0; k < rig.callers; k++)
			spawn(caller_loop, (void *)(long)i);
	}
	callers.on = 1;
}

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

/* A node that does not read the store, beside a server of svc-a. */
static int
choose_survivor(void)
{
	int i, survivor = -1;

	for (i = 0; i < rig.n; i++) {
		note("node %d %s the store", i,
		    store.polls[i] > 0 ? "reads" : "does not read");
		if (survivor < 0 && store.polls[i] == 0 &&
		    strcmp(rig.server[i].service, "svc-a") == 0)
			survivor = i;
	}
	return survivor;
}

/*
 * A version moves "/once/" from svc-a to svc-b and adds "/new/".  Counts the
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

	rig.once = "svc-a";
	rig_start(11);
	sleep_ms(5000);
	survivor = choose_survivor();
	if (survivor < 0)
		return NOT_RUN;
	for (i = 0; i < rig.n; i++)
		kill_set[i] = i != survivor;
	if (rig.trouble)
		kill_nodes(kill_set);
	publish("svc-b",
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
		       strcmp(rig.server[r->server].service, "svc-a") == 0;
	}
	note("sent at node %d later than %d ms after the acknowledgement: "
	     "%d refused with 404, %d run by the old service",
	    survivor, APPLY_MS + SLACK_MS, refused, old);
	return refused + old > 0 ? BROKEN : HELD;
}

/* ---- 7: a server that has left ---- */

/*
 * Server 0 leaves with DELETE and serves on for some seconds.  Meanwhile all
 * nodes are killed and start again, and an announcement that the server sent
 * before arrives late.  Counts the requests that reach it later than allowed.
 */
static int
case_left(void)
{
	struct server *s = &rig.server[0];
	struct message *m = message_new();
	int i, status, late = 0, set[NODES_MAX];
	char beat[1024], text[256];
	long long acked, back;

	rig_start(6);
	for (i = 0; i < NODES_MAX; i++)
		set[i] = 1;
	sleep_ms(3000);
	s->beats = 0;
	sleep_ms(200);
	beat_text(s, beat, sizeof(beat));
	note(
	    "server 0 sends announcement %ld, which arrives late", s->sequence);
	sleep_ms(200);
	snprintf(text, sizeof(text),
	    "DELETE /-/instances/%s HTTP/1.1\r\nHost: control\r\n\r\n", s->id);
	s->health = 503;
	s->leaves = 1;
	status = call(0, CONTROL, text, 1000, m);
	acked = at();
	note("server 0 says that it leaves: answered %d", status);
	if (status != 200)
		return NOT_RUN;
	sleep_ms(300);
	if (rig.trouble)
		kill_nodes(set);
	sleep_ms(1000);
	if (rig.trouble)
		start_nodes(set);
	back = at();
	sleep_ms(CONTACT_MS + 500);
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

/* ---- 8: the nodes that read the store are cut off from it ---- */

/* TRUE for the nodes that hold a read open, which are a third of all. */
static int
choose_readers(int set[NODES_MAX])
{
	int i, n = 0;

	for (i = 0; i < rig.n; i++) {
		set[i] = store.polls[i] > 0 && n < rig.n / 3;
		n += set[i];
		note("node %d %s the store", i,
		    set[i] ? "reads" : "does not read");
	}
	return n;
}

static void
cut(const int set[NODES_MAX], int state)
{
	int i;

	for (i = 0; i < rig.n; i++)
		store.cut[i] = set[i] ? state : 0;
	note("the path of these nodes to the store is %s",
	    state == 0	 ? "restored"
	    : state == 1 ? "silent"
			 : "silent, and its open connections are found dead");
}

/*
 * A version moves "/once/" from svc-b to svc-a and adds "/new/".  Counts the
 * requests at nodes with a sound path to the store that are handled as only the
 * older version allows.
 */
static int
case_cut(void)
{
	int i, n, refused = 0, old = 0, set[NODES_MAX] = { 0 };
	const struct answer *a;
	const struct run *r;
	long long acked;

	rig_start(18);
	sleep_ms(3000);
	n = choose_readers(set);
	if (rig.trouble)
		cut(set, 1);
	sleep_ms(50);
	publish("svc-a",
	    ",[\"new\",\"mesh.example\",\"/new/\",\"idempotent\",2,0.5,0,"
	    "\"svc-a\",2]");
	acked = at();
	probing = 1;
	for (i = 0; i < rig.n; i++)
		if (!set[i])
			spawn(probe_loop, (void *)(long)i);
	if (rig.trouble) {
		sleep_until(acked + KEEPALIVE_MS);
		cut(set, 2);
	}
	sleep_until(acked + 7000);
	if (rig.trouble)
		cut(set, 0);
	probing = callers.on = 0;
	sleep_ms(1500);
	for (i = 0; i < callers.n; i++) {
		a = &callers.answer[i];
		refused += a->status == 404 && !set[a->node] &&
			   a->sent > acked + APPLY_MS + SLACK_MS;
	}
	for (i = 0; i < runs.n; i++) {
		r = &runs.run[i];
		old += r->once && r->node >= 0 && !set[r->node] &&
		       r->sent > acked + APPLY_MS + SLACK_MS &&
		       strcmp(rig.server[r->server].service, "svc-b") == 0;
	}
	note(
	    "%d of %d nodes were cut off; sent at the others later than %d ms "
	    "after the acknowledgement: %d refused with 404, %d run by the old "
	    "service",
	    n, rig.n, APPLY_MS + SLACK_MS, refused, old);
	return refused + old > 0 ? BROKEN : HELD;
}

/* ---- 9: two owners of a limit ---- */

#define RATE 60
#define BURST 10
#define WINDOW_MS 5000
#define OWNER_CALLERS 24 /* more of them at the owner's node */
#define ORGANISATION "org-a"
#define SHARDS 24

/* The part of the group's topic that the organisation belongs to. */
static int
part_of_organisation(void)
{
	const char *p;
	unsigned h = 2166136261U;

	for (p = ORGANISATION; *p != '\0'; p++)
		h = (h ^ (unsigned char)*p) * 16777619U;
	return (int)((h ^ h >> 16) % SHARDS % PARTS);
}

/* The most requests that were both sent and run within one window. */
static int
busiest_window(long long *when)
{
	int i, j, n, most = 0;

	for (i = 0; i < runs.n; i++) {
		n = 0;
		for (j = 0; j < runs.n; j++)
			n += runs.run[j].sent >= runs.run[i].sent &&
			     runs.run[j].at <= runs.run[i].sent + WINDOW_MS;
		if (n > most) {
			most = n;
			*when = runs.run[i].sent;
		}
	}
	return most;
}

/*
 * The owner of a limit is cut off from the store right after it has called it.
 * The store is then down for a moment, in which the memberships run out.  All
 * callers belong to one organisation and ask for more than its limit.
 */
static int
case_owners(void)
{
	const double bound = (RATE * WINDOW_MS / 1000.0 + BURST) * 1.1 + 20;
	int i, owner, joins, part = part_of_organisation(), most;
	int set[NODES_MAX] = { 0 };
	long long when = 0;

	rig.tenants = ",\"tenants\":{\"columns\":[\"name\",\"apiKeys\","
		      "\"ratePerS\",\"burstSize\",\"priority\"],\"rows\":[["
		      "\"" ORGANISATION "\",[\"key-a\"],60,10,0]]}";
	callers.key = "X-Primrosetide-Key: key-a\r\n";
	rig.work_ms = 20;
	rig.callers = 8;
	rig.pause_ms = 30;
	memset(group.target, -1, sizeof(group.target));
	memset(group.holder, -1, sizeof(group.holder));
	rig_start(6);
	sleep_ms(9000);
	owner = group.holder[part];
	note("node %d owns the limit", owner);
	if (owner < 0)
		return NOT_RUN;
	for (i = 0; i < OWNER_CALLERS; i++)
		spawn(caller_loop, (void *)(long)owner);
	sleep_ms(4000);
	for (joins = group.joins[owner]; group.joins[owner] == joins;)
		sleep_ms(5);
	sleep_ms(20);
	if (rig.trouble) {
		set[owner] = 1;
		cut(set, 1);
		store.down = 1;
		note("the store is down");
		sleep_ms(200);
		group_lapse();
		store.down = 0;
		note("the store is up, the memberships have run out");
	}
	sleep_ms(4000);
	note("node %d owns the limit", group.holder[part]);
	if (rig.trouble)
		cut(set, 0);
	sleep_ms(3000);
	callers.on = 0;
	sleep_ms(1000);
	most = busiest_window(&when);
	note("%d requests were sent and run within %d ms from %.3f on; the "
	     "bound "
	     "is %.0f",
	    most, WINDOW_MS, (double)when / 1000, bound);
	return most > bound ? BROKEN : HELD;
}

/* ---- 10: a request that crashes servers ---- */

#define KILLS 3
#define ROUNDS 4

static void *
poison_once(void *arg)
{
	ask((int)(long)arg, "GET", "/many/poison", 1500);
	return NULL;
}

/* The request comes at three nodes, whose callers are of one service. */
static void
poison_rounds(void)
{
	int i, k;

	for (k = 0; k < ROUNDS; k++) {
		for (i = 3; i < 6; i++)
			spawn(poison_once, (void *)(long)i);
		sleep_ms(1500);
	}
}

/*
 * A request crashes each server that runs it, and comes again.  Meanwhile all
 * nodes are killed twice.  Counts its arrivals that were sent later than
 * allowed and by nodes in touch: the rounds begin that long after the nodes are
 * back.
 */
static int
case_poison(void)
{
	int i, k, set[NODES_MAX], crashes = 0, late = 0;
	const struct run *r;
	long long third = 0;

	rig_start(6);
	for (i = 0; i < NODES_MAX; i++)
		set[i] = 1;
	sleep_ms(3000);
	poison_rounds();
	for (k = 0; k < KILLS; k++) {
		if (rig.trouble)
			kill_nodes(set);
		sleep_ms(1000);
		if (rig.trouble)
			start_nodes(set);
		sleep_ms(CONTACT_MS + SLACK_MS);
		poison_rounds();
	}
	callers.on = 0;
	sleep_ms(2000);
	for (i = 0; i < runs.n; i++) {
		r = &runs.run[i];
		if (!r->crashed)
			continue;
		crashes++;
		if (crashes == 3)
			third = r->at;
		late += crashes > 3 && r->sent > third + CONTACT_MS;
	}
	note("the request reached servers %d times, %d of them sent later than "
	     "%d ms after the third",
	    crashes, late, CONTACT_MS);
	return late > 3 ? BROKEN : HELD;
}

static const struct {
	const char *name;
	int (*run)(void);
} cases[] = { { "dark", case_dark }, { "left", case_left }, { "cut", case_cut },
	{ "owners", case_owners }, { "poison", case_poison }, { NULL, NULL } };

int
main(int argc, char **argv)
{
	const char *t = getenv("TROUBLE");
	int i, code = NOT_RUN;

	if (argc != 4) {
		fprintf(stderr, "usage: rig2 CASE PTPROXY RECORD\n");
		return NOT_RUN;
	}
	signal(SIGPIPE, SIG_IGN);
	rig.start_ms = now_ms();
	rig.trouble = t == NULL || strcmp(t, "0") != 0;
	rig.program = argv[2];
	rig.work_ms = WORK_MS;
	rig.callers = CALLERS;
	rig.pause_ms = PAUSE_MS;
	rig.tenants = callers.key = "";
	rig.once = "svc-b";
	rig.record = fopen(argv[3], "w");
	snprintf(rig.dir, sizeof(rig.dir), "/tmp/rig2-XXXXXX");
	if (rig.record == NULL || mkdtemp(rig.dir) == NULL)
		return NOT_RUN;
	atexit(clean_up);
	catch_signals();
	pthread_mutex_init(&rig.lock, NULL);
	pthread_mutex_init(&store.lock, NULL);
	pthread_cond_init(&store.changed, NULL);
	for (i = 0; cases[i].name != NULL; i++)
		if (strcmp(cases[i].name, argv[1]) == 0)
			code = cases[i].run();
	end_nodes();
	note("%s", code == HELD	    ? "held"
		   : code == BROKEN ? "broken"
				    : "not run");
	return code;
}
