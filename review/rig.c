/*
 * Stand-ins of the review's scripts: store, backend servers, clients and the
 * platform that starts and ends processes.  All of them are threads of this
 * program; the nodes are real processes on loopback addresses of their own.
 *
 *	rig CASE RECORD
 *
 * Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
 * With TROUBLE=0 in the environment the disruption is left out.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM "target/bin/ptproxy"
/* Bounds of a small deployment, as its settings give them, in s. */
#define DRAIN_S 2.0
#define CONTACT_S 3.0
#define GRACE_S 6.0
#define HEARTBEAT_S 1.5
/* Time from the start of the nodes to that of the traffic. */
#define LEAD_S 8.0
/* Slack of checks that compare times taken in different threads. */
#define SLACK_S 0.3
#define NODES_MAX 6
#define RUNS_MAX 20000
#define RECORDS_MAX 512

enum port {
	PORT_CONTROL = 8620,
	PORT_INBOUND = 8624,
	PORT_READY = 8625,
	PORT_APP = 8628,
	PORT_OUTBOUND = 8629,
	PORT_STORE = 8627,
	PORT_FIRST = 7600,
	PORT_LAST = 7615
};

/* ---- time and record ---- */

static double started;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int trouble = 1;
static char dir[] = "/tmp/pt-review-XXXXXX";
static char net[32]; /* first three bytes of the addresses */

static double
clock_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static double
now(void)
{
	return clock_now() - started;
}

static void
sleep_until(double t)
{
	double left = t - now();

	if (left > 0)
		usleep((useconds_t)(left * 1e6));
}

static void
sleep_for(double s)
{
	usleep((useconds_t)(s * 1e6));
}

__attribute__((format(printf, 1, 2))) static void
note(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", now());
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static void end_processes(void);

/* The case cannot run. */
static void
give_up(const char *why)
{
	note("cannot run: %s: %s", why, strerror(errno));
	end_processes();
	exit(2);
}

static void
spawn(void *(*f)(void *), void *arg)
{
	pthread_t t;
	pthread_attr_t a;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, 256 * 1024);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &a, f, arg) != 0)
		give_up("thread");
	pthread_attr_destroy(&a);
}

/* ---- sockets and HTTP messages ---- */

static struct sockaddr_in
address(const char *host, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET };

	a.sin_port = htons((unsigned short)port);
	inet_pton(AF_INET, host, &a.sin_addr);
	return a;
}

static int
listen_at(const char *host, int port)
{
	struct sockaddr_in a = address(host, port);
	int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(s, (struct sockaddr *)&a, sizeof(a)) == 0 &&
	    listen(s, 256) == 0)
		return s;
	close(s);
	return -1;
}

static int
connect_to(const char *host, int port)
{
	struct sockaddr_in a = address(host, port);
	int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(s, (struct sockaddr *)&a, sizeof(a)) == 0)
		return s;
	close(s);
	return -1;
}

static int
send_all(int s, const void *p, size_t n)
{
	const char *c = p;
	ssize_t k;

	while (n > 0) {
		k = send(s, c, n, MSG_NOSIGNAL);
		if (k <= 0)
			return 0;
		c += k;
		n -= (size_t)k;
	}
	return 1;
}

/* A connection with the bytes received and not used so far. */
struct conn {
	int fd;
	char *buf;
	size_t len, cap;
};

struct msg {
	char *head; /* start line and fields, ends with a null byte */
	char *body;
	size_t body_len;
	int status; /* of an answer */
};

static int
fill(struct conn *c)
{
	ssize_t k;

	if (c->cap - c->len < 65536) {
		c->cap = c->cap * 2 + 131072;
		c->buf = realloc(c->buf, c->cap);
		if (c->buf == NULL)
			abort();
	}
	k = recv(c->fd, c->buf + c->len, c->cap - c->len, 0);
	if (k <= 0)
		return 0;
	c->len += (size_t)k;
	return 1;
}

static void
conn_end(struct conn *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	free(c->buf);
	c->buf = NULL;
	c->len = c->cap = 0;
}

/* Value of a header field, copied; 0: absent. */
static int
field(const struct msg *m, const char *name, char *out, size_t size)
{
	size_t n = strlen(name);
	const char *p = strchr(m->head, '\n');

	for (; p != NULL; p = strchr(p + 1, '\n')) {
		if (strncasecmp(p + 1, name, n) != 0 || p[1 + n] != ':')
			continue;
		p += n + 2;
		p += strspn(p, " \t");
		snprintf(out, size, "%.*s", (int)strcspn(p, "\r\n"), p);
		return 1;
	}
	*out = '\0';
	return 0;
}

static void
msg_clear(struct msg *m)
{
	free(m->head);
	free(m->body);
	memset(m, 0, sizeof(*m));
}

/* Reads a message whose body has a length, or none; 0: the connection ended. */
static int
read_msg(struct conn *c, struct msg *m)
{
	char *end, v[64];
	size_t n, need;

	memset(m, 0, sizeof(*m));
	while ((end = c->len > 0 ? memmem(c->buf, c->len, "\r\n\r\n", 4)
				 : NULL) == NULL)
		if (!fill(c))
			return 0;
	n = (size_t)(end - c->buf) + 4;
	m->head = strndup(c->buf, n);
	need =
	    field(m, "Content-Length", v, sizeof(v)) ? strtoul(v, NULL, 10) : 0;
	while (c->len < n + need)
		if (!fill(c)) {
			msg_clear(m);
			return 0;
		}
	m->body = malloc(need + 1);
	if (m->body == NULL)
		abort();
	memcpy(m->body, c->buf + n, need);
	m->body[need] = '\0';
	m->body_len = need;
	memmove(c->buf, c->buf + n + need, c->len - n - need);
	c->len -= n + need;
	if (strncmp(m->head, "HTTP/1.1 ", 9) == 0)
		m->status = (int)strtol(m->head + 9, NULL, 10);
	return 1;
}

static int
answer(int fd, const char *head, const void *body, size_t n)
{
	char *out;
	int ok, k;

	k = asprintf(
	    &out, "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n", head, n);
	ok = k > 0 && send_all(fd, out, (size_t)k) && send_all(fd, body, n);
	free(out);
	return ok;
}

/* Accepts connections; each gets a thread. */
struct listener {
	int fd;
	void *(*serve)(void *);
	void *ctx;
};

struct accepted {
	int fd;
	void *ctx;
};

static void *
accept_loop(void *arg)
{
	struct listener *l = arg;
	struct accepted *a;
	int fd, on = 1;

	while ((fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		a = malloc(sizeof(*a));
		if (a == NULL)
			abort();
		a->fd = fd;
		a->ctx = l->ctx;
		spawn(l->serve, a);
	}
	return NULL;
}

static void
serve_at(const char *host, int port, void *(*serve)(void *), void *ctx)
{
	struct listener *l = calloc(1, sizeof(*l));

	if (l == NULL)
		abort();
	l->fd = listen_at(host, port);
	if (l->fd < 0)
		give_up("listen");
	l->serve = serve;
	l->ctx = ctx;
	spawn(accept_loop, l);
}

/* ---- the platform's store: a log with keyed topics ---- */

struct store_record {
	char topic[32];
	char key[64];
	char *value; /* NULL: the key is dropped */
	size_t len;
};

static struct store_record records[RECORDS_MAX];
static int n_records;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static void
store_put(const char *topic, const char *key, const void *value, size_t n)
{
	struct store_record *r;

	pthread_mutex_lock(&store_lock);
	if (n_records < RECORDS_MAX) {
		r = &records[n_records++];
		snprintf(r->topic, sizeof(r->topic), "%s", topic);
		snprintf(r->key, sizeof(r->key), "%s", key);
		r->value = n > 0 ? malloc(n) : NULL;
		if (r->value != NULL)
			memcpy(r->value, value, n);
		r->len = n;
	}
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

static int
store_count(const char *topic)
{
	int i, n = 0;

	for (i = 0; i < n_records; i++)
		n += strcmp(records[i].topic, topic) == 0;
	return n;
}

static void
param(const char *head, const char *name, char *out, size_t size)
{
	char key[40];
	const char *p;

	snprintf(key, sizeof(key), "%s=", name);
	p = strstr(head, key);
	snprintf(out, size, "%.*s",
	    p != NULL ? (int)strcspn(p + strlen(key), "& ") : 0,
	    p != NULL ? p + strlen(key) : "");
}

static void
put_be(FILE *f, unsigned long long v, int n)
{
	while (n-- > 0)
		fputc((int)(v >> (8 * n) & 0xff), f);
}

static void
put_base64(FILE *f, const char *p, size_t n)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
				  "qrstuvwxyz0123456789+/";
	unsigned v;
	size_t i;
	int k;

	for (i = 0; i < n; i += 3) {
		v = (unsigned)(unsigned char)p[i] << 16;
		v |= i + 1 < n ? (unsigned)(unsigned char)p[i + 1] << 8 : 0;
		v |= i + 2 < n ? (unsigned)(unsigned char)p[i + 2] : 0;
		for (k = 0; k < 4; k++)
			fputc(i + (size_t)k <= n ? set[v >> (18 - 6 * k) & 63]
						 : '=',
			    f);
	}
}

/* TRUE if a later record of the topic has the same key. */
static int
replaced(int i)
{
	int j;

	for (j = i + 1; j < n_records; j++)
		if (strcmp(records[j].topic, records[i].topic) == 0 &&
		    strcmp(records[j].key, records[i].key) == 0)
			return 1;
	return 0;
}

static void
store_newest(FILE *f, const char *topic)
{
	int i, n = 0;

	fputs("{\"items\":[", f);
	for (i = 0; i < n_records; i++) {
		if (strcmp(records[i].topic, topic) != 0 || replaced(i) ||
		    records[i].value == NULL)
			continue;
		fprintf(f, "%s{\"key\":\"%s\",\"value\":\"", n++ > 0 ? "," : "",
		    records[i].key);
		put_base64(f, records[i].value, records[i].len);
		fputs("\",\"offset\":0}", f);
	}
	fprintf(f, "],\"hasMore\":false,\"end\":%d}", store_count(topic));
}

static void
store_read(FILE *f, const char *topic, int from, long wait_ms)
{
	struct timespec t;
	int i, n = 0;

	clock_gettime(CLOCK_REALTIME, &t);
	t.tv_sec += wait_ms / 1000 + 1;
	while (wait_ms > 0 && store_count(topic) <= from)
		if (pthread_cond_timedwait(&store_changed, &store_lock, &t))
			break;
	put_be(f, (unsigned long long)store_count(topic), 8);
	put_be(f, 0, 8);
	for (i = 0; i < n_records; i++) {
		if (strcmp(records[i].topic, topic) != 0 || n++ < from)
			continue;
		put_be(f, 1 + strlen(records[i].key) + records[i].len, 4);
		put_be(f, strlen(records[i].key), 1);
		fputs(records[i].key, f);
		fwrite(records[i].value, 1, records[i].len, f);
	}
}

static void
store_append(const struct msg *m, const char *topic)
{
	const unsigned char *p = (const unsigned char *)m->body;
	char key[64];
	size_t k;

	if (m->body_len < 5 || m->body_len < (k = p[4]) + 5)
		return;
	snprintf(key, sizeof(key), "%.*s", (int)k, m->body + 5);
	pthread_mutex_unlock(&store_lock);
	store_put(topic, key, m->body + 5 + k, m->body_len - 5 - k);
	pthread_mutex_lock(&store_lock);
}

static void *
store_serve(void *arg)
{
	struct accepted *a = arg;
	struct conn c = { .fd = a->fd };
	char topic[32], from[32], wait[32], *out;
	struct msg m;
	size_t n;
	FILE *f;
	int ok = 1;

	free(a);
	while (ok && read_msg(&c, &m)) {
		param(m.head, "topic", topic, sizeof(topic));
		param(m.head, "from", from, sizeof(from));
		param(m.head, "waitMs", wait, sizeof(wait));
		f = open_memstream(&out, &n);
		pthread_mutex_lock(&store_lock);
		if (strstr(m.head, "/-/log-newest") != NULL)
			store_newest(f, topic);
		else if (strstr(m.head, "/-/log-read") != NULL)
			store_read(f, topic, (int)strtol(from, NULL, 10),
			    strtol(wait, NULL, 10));
		else {
			store_append(&m, topic);
			fputs("{\"offset\":0,\"end\":1}", f);
		}
		pthread_mutex_unlock(&store_lock);
		fclose(f);
		ok = answer(c.fd, "200 OK", out, n);
		free(out);
		msg_clear(&m);
	}
	conn_end(&c);
	return NULL;
}

/* ---- nodes ---- */

struct node {
	int i;
	char host[48], settings[128], log[128];
	const char *service;
	int memory_mb;
	pid_t pid; /* 0: not running */
	double up_at; /* last start */
	int own_ends; /* times that it ended by itself */
	int stopping; /* the platform has sent it a signal */
};

static struct node nodes[NODES_MAX];
static int n_nodes;
static pthread_mutex_t node_lock = PTHREAD_MUTEX_INITIALIZER;

static void
node_start(struct node *n)
{
	char env[160];
	char *const argv[] = { (char *)PROGRAM, NULL };
	char *const envp[] = { env, (char *)"PATH=/usr/bin:/bin",
		(char *)"HOME=/tmp", (char *)"LANG=C", NULL };

	snprintf(env, sizeof(env), "PRIMROSETIDE_BOOT=%s", n->settings);
	n->stopping = 0;
	n->up_at = now();
	n->pid = fork();
	if (n->pid < 0)
		give_up("fork");
	if (n->pid > 0)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (freopen(n->log, "a", stdout) == NULL ||
	    freopen(n->log, "a", stderr) == NULL)
		_exit(127);
	execve(PROGRAM, argv, envp);
	_exit(127);
}

static void
write_settings(struct node *n)
{
	static const char *const zones[] = { "a", "b", "c" };
	FILE *f = fopen(n->settings, "w");

	if (f == NULL)
		give_up("settings");
	fprintf(f,
	    "nodeName=sidecar-%s-%d\nrole=proxy\nmachineClass=sidecar\n"
	    "serves=sidecar,control_plane\nip=%s\nzone=%s\nregion=r\n"
	    "zones.a=r\nzones.b=r\nzones.c=r\n"
	    "listenAddrs.inbound=%s:%d\nlistenAddrs.outbound=%s:%d\n"
	    "listenAddrs.ready=%s:%d\nlistenAddrs.control=%s:%d\n",
	    zones[n->i % 3], n->i, n->host, zones[n->i % 3], n->host,
	    PORT_INBOUND, n->host, PORT_OUTBOUND, n->host, PORT_READY, n->host,
	    PORT_CONTROL);
	fprintf(f,
	    "portRange=%d,%d\nseedNodes=%s.1:%d,%s.2:%d\nbootstrap=%s\n"
	    "limits.cpuShare=0.2\nlimits.cpuCores=1\nlimits.memoryMb=%d\n"
	    "limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
	    "heartbeatS=1.5\nbounds.contactS=3\nbounds.ackTimeoutS=4\n"
	    "bounds.drainS=2\nbounds.graceS=6\nbounds.configApplyS=2\n"
	    "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
	    "bounds.retryBudgetSlack=58\nappAddr=%s:%d\nservice=%s\n"
	    "platform.address=%s.200:%d\nplatform.form=log\n",
	    PORT_FIRST, PORT_LAST, net, PORT_CONTROL, net, PORT_CONTROL,
	    now() < 1 ? "true" : "false", n->memory_mb, n->host, PORT_APP,
	    n->service, net, PORT_STORE);
	fclose(f);
}

static void
node_add(const char *service, int memory_mb)
{
	struct node *n = &nodes[n_nodes];

	n->i = n_nodes++;
	n->service = service;
	n->memory_mb = memory_mb;
	snprintf(n->host, sizeof(n->host), "%s.%d", net, n->i + 1);
	snprintf(
	    n->settings, sizeof(n->settings), "%s/node-%d.conf", dir, n->i);
	snprintf(n->log, sizeof(n->log), "%s/node-%d.log", dir, n->i);
	write_settings(n);
	node_start(n);
}

static void
node_signal(struct node *n, int sig)
{
	pthread_mutex_lock(&node_lock);
	n->stopping = 1;
	if (n->pid > 0)
		kill(n->pid, sig);
	pthread_mutex_unlock(&node_lock);
	note("platform: signal %d to node %d", sig, n->i);
}

/*
 * Peak of the memory of a process in MiB.  The platform kills a process that
 * takes more than its settings allow.
 */
static int
peak_mb(pid_t pid)
{
	char path[64], line[128];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	if (f == NULL)
		return 0;
	while (fgets(line, sizeof(line), f) != NULL)
		if (strncmp(line, "VmHWM:", 6) == 0)
			kb = strtol(line + 6, NULL, 10);
	fclose(f);
	return (int)(kb / 1024);
}

static void
node_poll(struct node *n)
{
	int status, mb;

	if (n->pid <= 0)
		return;
	mb = peak_mb(n->pid);
	if (mb > n->memory_mb && !n->stopping) {
		note("platform: node %d has taken %d MiB of %d, killed", n->i,
		    mb, n->memory_mb);
		kill(n->pid, SIGKILL);
		waitpid(n->pid, &status, 0);
	} else if (waitpid(n->pid, &status, WNOHANG) != n->pid)
		return;
	n->pid = 0;
	n->own_ends += !n->stopping;
	note("node %d ended%s: exit %d, signal %d", n->i,
	    n->stopping ? "" : " by itself",
	    WIFEXITED(status) ? WEXITSTATUS(status) : -1,
	    WIFSIGNALED(status) ? WTERMSIG(status) : 0);
}

/* Reaps nodes and starts them again after a short delay. */
static void *
platform_loop(void *arg)
{
	double ended[NODES_MAX] = { 0 };
	int i;

	(void)arg;
	for (;;) {
		pthread_mutex_lock(&node_lock);
		for (i = 0; i < n_nodes; i++) {
			node_poll(&nodes[i]);
			if (nodes[i].pid > 0)
				ended[i] = 0;
			else if (ended[i] == 0)
				ended[i] = now();
			else if (now() - ended[i] > 0.5) {
				write_settings(&nodes[i]);
				node_start(&nodes[i]);
				note("platform: node %d started", i);
			}
		}
		pthread_mutex_unlock(&node_lock);
		usleep(2000);
	}
	return NULL;
}

static void
end_processes(void)
{
	int i;

	/* The caller may hold the lock. */
	for (i = 0; i < 100 && pthread_mutex_trylock(&node_lock) != 0; i++)
		usleep(10000);
	for (i = 0; i < n_nodes; i++)
		if (nodes[i].pid > 0) {
			kill(nodes[i].pid, SIGKILL);
			waitpid(nodes[i].pid, NULL, 0);
		}
	for (i = 0; i < n_nodes; i++) {
		unlink(nodes[i].settings);
		if (getenv("KEEP_LOGS") == NULL)
			unlink(nodes[i].log);
	}
	rmdir(dir);
}

static void
on_signal(int sig)
{
	int i;

	(void)sig;
	for (i = 0; i < n_nodes; i++) {
		if (nodes[i].pid > 0)
			kill(nodes[i].pid, SIGKILL);
		unlink(nodes[i].settings);
		unlink(nodes[i].log);
	}
	rmdir(dir);
	_exit(2);
}

/* ---- backend servers ---- */

struct server {
	struct node *node;
	char id[32];
	double work_s;
	size_t answer_len; /* 0: as large as the request's "size" says */
	int slots;
	long long born;
	int sequence;
	int silent; /* sends no more heartbeats */
	int leaving;
	double left_at; /* acknowledgement of its leave, 0: none */
	int running;
};

struct run {
	char id[32];
	struct server *server;
	double at;
};

static struct run runs[RUNS_MAX];
static int n_runs;
static pthread_mutex_t run_lock = PTHREAD_MUTEX_INITIALIZER;

/* Time at which the request ran, -1: it did not. */
static double
ran_at(const char *id)
{
	double t = -1;
	int i;

	pthread_mutex_lock(&run_lock);
	for (i = 0; i < n_runs && t < 0; i++)
		if (strcmp(runs[i].id, id) == 0)
			t = runs[i].at;
	pthread_mutex_unlock(&run_lock);
	return t;
}

static int
run_begin(struct server *s, const char *id)
{
	int ok;

	pthread_mutex_lock(&run_lock);
	ok = s->running < s->slots && n_runs < RUNS_MAX;
	if (ok) {
		snprintf(runs[n_runs].id, sizeof(runs[0].id), "%s", id);
		runs[n_runs].server = s;
		runs[n_runs++].at = now();
		s->running++;
	}
	pthread_mutex_unlock(&run_lock);
	if (ok)
		note("server %s runs %s%s", s->id, id,
		    s->left_at > 0 ? " after its leave" : "");
	return ok;
}

/* A server that leaves says so in all of its answers. */
static const char *
leaving_field(const struct server *s)
{
	return s->leaving ? "\r\nServer-Leaving: 1" : "";
}

static int
server_run(struct server *s, int fd, const struct msg *m, const char *id)
{
	char head[256], size[32];
	size_t n = s->answer_len;
	char *body;
	int ok;

	if (field(m, "X-Size", size, sizeof(size)))
		n = strtoul(size, NULL, 10);
	sleep_for(s->work_s);
	body = malloc(n);
	if (body == NULL)
		abort();
	memset(body, 'b', n);
	snprintf(head, sizeof(head),
	    "200 OK\r\nX-Primrosetide-Attempt-Id: %s\r\n"
	    "X-Primrosetide-Response-Signature: %zu.%s%s",
	    id, n, s->id, leaving_field(s));
	ok = answer(fd, head, body, n);
	free(body);
	pthread_mutex_lock(&run_lock);
	s->running--;
	pthread_mutex_unlock(&run_lock);
	return ok;
}

static int
server_answer(struct server *s, int fd, const struct msg *m)
{
	char id[32], target[32], head[128];

	if (strncmp(m->head, "GET /health ", 12) == 0) {
		snprintf(head, sizeof(head),
		    "%s\r\nX-Primrosetide-Instance-Id: %s%s",
		    s->leaving ? "503 Service Unavailable" : "200 OK", s->id,
		    leaving_field(s));
		return answer(fd, head, "", 0);
	}
	field(m, "X-Primrosetide-Attempt-Id", id, sizeof(id));
	field(m, "X-Primrosetide-Target-Instance", target, sizeof(target));
	if (*target != '\0' && strcmp(target, s->id) != 0) {
		snprintf(head, sizeof(head),
		    "421 Misdirected Request\r\n"
		    "X-Primrosetide-Instance-Id: %s%s",
		    s->id, leaving_field(s));
		return answer(fd, head, "", 0);
	}
	if (!run_begin(s, id)) {
		snprintf(head, sizeof(head),
		    "503 Service Unavailable\r\n"
		    "X-Primrosetide-Not-Executed: 1%s",
		    leaving_field(s));
		return answer(fd, head, "", 0);
	}
	return server_run(s, fd, m, id);
}

static void *
server_serve(void *arg)
{
	struct accepted *a = arg;
	struct conn c = { .fd = a->fd };
	struct server *s = a->ctx;
	struct msg m;
	int ok = 1;

	free(a);
	while (ok && read_msg(&c, &m)) {
		ok = server_answer(s, c.fd, &m);
		msg_clear(&m);
	}
	conn_end(&c);
	return NULL;
}

/* Sends a call to the node's address for announcements; its status, 0: none. */
static int
control_call(const struct server *s, const char *method, const char *body)
{
	struct conn c = { .fd = connect_to(s->node->host, PORT_CONTROL) };
	struct timeval tv = { .tv_sec = 1 };
	struct msg m = { 0 };
	char *out;
	int k, status = 0;

	if (c.fd < 0)
		return 0;
	setsockopt(c.fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	k = asprintf(&out,
	    "%s /-/instances/%s HTTP/1.1\r\nHost: %s\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
	    method, s->id, s->node->host, strlen(body), body);
	if (k > 0 && send_all(c.fd, out, (size_t)k) && read_msg(&c, &m))
		status = m.status;
	free(out);
	msg_clear(&m);
	conn_end(&c);
	return status;
}

/* The next heartbeat, to be freed. */
static char *
heartbeat(struct server *s)
{
	char *out;

	if (asprintf(&out,
		"{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"a\","
		"\"version\":\"v1\",\"slots\":%d,\"state\":\"in_service\","
		"\"coldLeftS\":0,\"sequence\":%d,\"born\":%lld}",
		s->node->service, s->node->host, PORT_APP, s->slots,
		++s->sequence, s->born) < 0)
		abort();
	return out;
}

static void *
heartbeat_loop(void *arg)
{
	struct server *s = arg;
	char *b;

	while (!s->silent) {
		b = heartbeat(s);
		control_call(s, "PUT", b);
		free(b);
		sleep_for(HEARTBEAT_S);
	}
	return NULL;
}

static struct server *
server_add(struct node *n, double work_s, size_t answer_len)
{
	struct server *s = calloc(1, sizeof(*s));

	if (s == NULL)
		abort();
	s->node = n;
	s->work_s = work_s;
	s->answer_len = answer_len;
	s->slots = 12;
	s->born = (long long)time(NULL) * 1000;
	snprintf(s->id, sizeof(s->id), "i-%s-%d", n->service, n->i);
	serve_at(n->host, PORT_APP, server_serve, s);
	spawn(heartbeat_loop, s);
	return s;
}

/* ---- clients ---- */

/* What came of a request. */
struct result {
	int status; /* 0: the connection ended without a complete answer */
	int connected; /* the request was sent */
	size_t got, want; /* bytes of the answer's body */
	double took;
};

static void
put_request(FILE *f, const char *method, const char *path, const char *id,
    int deadline_ms, const char *extra, size_t body)
{
	fprintf(f,
	    "%s %s HTTP/1.1\r\nHost: mesh.example\r\n"
	    "X-Primrosetide-Attempt-Id: %s\r\n"
	    "X-Primrosetide-Deadline-Ms: %d\r\n%s",
	    method, path, id, deadline_ms, extra);
	if (body > 0)
		fprintf(f, "Content-Length: %zu\r\n", body);
	fputs("\r\n", f);
	while (body-- > 0)
		fputc('r', f);
}

/* Sends a request on the connection, opening it first if it is not open. */
static struct result
request(struct conn *c, const struct node *to, const char *id, size_t body)
{
	struct timeval tv = { .tv_sec = 6 };
	struct result r = { 0 };
	struct msg m = { 0 };
	double at = now();
	char *out, v[32];
	size_t n;
	FILE *f;

	if (c->fd < 0)
		c->fd = connect_to(to->host, PORT_OUTBOUND);
	if (c->fd < 0)
		return r;
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	f = open_memstream(&out, &n);
	put_request(f, "POST", "/order/1", id, 3000, "", body);
	fclose(f);
	note("client sends %s to node %d, body %zu", id, to->i, body);
	r.connected = send_all(c->fd, out, n);
	free(out);
	if (read_msg(c, &m)) {
		r.status = m.status;
		r.got = r.want = m.body_len;
	}
	r.took = now() - at;
	note("client gets %d for %s after %.3f s", r.status, id, r.took);
	if (r.status == 0 ||
	    (field(&m, "Connection", v, sizeof(v)) && strcmp(v, "close") == 0))
		conn_end(c);
	msg_clear(&m);
	return r;
}

/* A client that keeps one connection open and sends orders one by one. */
struct client {
	struct node *to;
	int i;
	double pause_s; /* between an answer and the next order */
	volatile int stop;
	volatile int done;
	int sent, ok, cut; /* cut: ran, and the kept connection then ended */
};

static void *
client_loop(void *arg)
{
	struct client *k = arg;
	struct conn c = { .fd = -1 };
	struct result r;
	int kept = 0;
	char id[32];

	while (!k->stop) {
		snprintf(id, sizeof(id), "c%d-%d", k->i, k->sent++);
		kept = c.fd >= 0;
		r = request(&c, k->to, id, 1200);
		k->ok += r.status == 200;
		if (r.status == 0 && r.connected && kept && ran_at(id) >= 0) {
			k->cut++;
			note("LOST %s ran, and its kept connection to node %d "
			     "ended without an answer",
			    id, k->to->i);
		}
		sleep_for(k->pause_s);
	}
	conn_end(&c);
	k->done = 1;
	return NULL;
}

static struct client clients[32];
static int n_clients;

static void
clients_start(struct node *to, int n, double pause_s)
{
	for (; n > 0; n--) {
		clients[n_clients].to = to;
		clients[n_clients].i = n_clients;
		clients[n_clients].pause_s = pause_s;
		spawn(client_loop, &clients[n_clients++]);
	}
}

static void
clients_stop(void)
{
	int i;

	for (i = 0; i < n_clients; i++)
		clients[i].stop = 1;
	for (i = 0; i < n_clients; i++)
		while (!clients[i].done)
			usleep(10000);
}

/* Reports the totals; the number of requests lost on kept connections. */
static int
clients_total(void)
{
	int i, sent = 0, ok = 0, cut = 0;

	for (i = 0; i < n_clients; i++) {
		sent += clients[i].sent;
		ok += clients[i].ok;
		cut += clients[i].cut;
	}
	note("clients: %d sent, %d with 200, %d lost on kept connections", sent,
	    ok, cut);
	return cut;
}

/* ---- the deployment ---- */

static void
publish(void)
{
	static const char text[] =
	    "{\"version\":7,\"routes\":{\"columns\":[\"name\",\"host\","
	    "\"pathPrefix\",\"kind\",\"timeoutS\",\"targetLatencyS\","
	    "\"priority\",\"service\",\"maxAttempts\"],\"rows\":[[\"order\","
	    "\"mesh.example\",\"/order/\",\"non_idempotent\",2.5,1.5,2,"
	    "\"orders\",2],[\"file\",\"mesh.example\",\"/file/\",\"download\","
	    "2.5,0.6,1,\"files\",2]]},\"services\":{\"columns\":[\"name\","
	    "\"healthPath\",\"maxConnections\"],\"rows\":[[\"orders\","
	    "\"/health\",130],[\"files\",\"/health\",130]]},\"limits\":{"
	    "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	    "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"baseVersion\":5}";

	store_put("keyed.op", "config", text, strlen(text));
}

/* Chooses a loopback network on which the ports are free, and opens the store.
 */
static void
open_network(void)
{
	static const int ports[] = { PORT_CONTROL, PORT_INBOUND, PORT_READY,
		PORT_APP, PORT_OUTBOUND, PORT_STORE, PORT_FIRST, PORT_LAST };
	char host[48];
	size_t i;
	int k, fd, busy = 1;

	for (k = 0; k < 100 && busy; k++) {
		snprintf(net, sizeof(net), "127.%d.%d",
		    101 + (getpid() + k) % 100, getpid() / 100 % 250);
		busy = 0;
		for (i = 0; i < sizeof(ports) / sizeof(ports[0]); i++) {
			snprintf(host, sizeof(host), "%s.1", net);
			fd = listen_at(host, ports[i]);
			busy |= fd < 0;
			if (fd >= 0)
				close(fd);
		}
	}
	if (busy)
		give_up("no free ports");
	snprintf(host, sizeof(host), "%s.200", net);
	serve_at(host, PORT_STORE, store_serve, NULL);
}

/* TRUE if the node answers that it is ready. */
static int
ready(const struct node *n)
{
	static const char text[] = "GET /-/readiness HTTP/1.1\r\nHost: n\r\n"
				   "Connection: close\r\n\r\n";
	struct conn c = { .fd = connect_to(n->host, PORT_READY) };
	struct msg m = { 0 };
	int ok;

	if (c.fd < 0)
		return 0;
	ok = send_all(c.fd, text, strlen(text)) && read_msg(&c, &m) &&
	     m.status == 200;
	msg_clear(&m);
	conn_end(&c);
	return ok;
}

/* Waits until traffic may start; all nodes have to be ready by then. */
static void
lead(void)
{
	int i;

	spawn(platform_loop, NULL);
	sleep_until(LEAD_S);
	errno = 0;
	for (i = 0; i < n_nodes; i++)
		if (!ready(&nodes[i]))
			give_up("a node is not ready");
	note("traffic starts");
}

/* ---- case "empty": an unreadable heartbeat ends the process ---- */

static void
send_empty_beat(struct node *n)
{
	struct server other = { .node = n };

	snprintf(other.id, sizeof(other.id), "i-other-writer");
	note("another writer: heartbeat without a body to node %d", n->i);
	note("  status %d", control_call(&other, "PUT", ""));
}

/*
 * Rules Fault and LOST.  Fault: two machines, each three ends of its process.
 * LOST: more than three requests on kept connections.
 */
static int
ends_or_losses(void)
{
	int i, machines = 0, cut = clients_total();

	for (i = 0; i < n_nodes; i++) {
		machines += nodes[i].own_ends >= 3;
		note("node %d: its process ended by itself %d times", i,
		    nodes[i].own_ends);
	}
	return machines >= 2 || cut > 3;
}

static int
case_empty(void)
{
	int k;

	node_add("files", 260);
	node_add("orders", 260);
	node_add("orders", 260);
	server_add(&nodes[0], 0.18, 5000);
	server_add(&nodes[1], 0.29, 400);
	server_add(&nodes[2], 0.29, 400);
	lead();
	clients_start(&nodes[1], 6, 0.02);
	clients_start(&nodes[2], 6, 0.02);
	sleep_for(3);
	for (k = 0; k < 3; k++) {
		if (trouble) {
			send_empty_beat(&nodes[1]);
			sleep_for(0.1);
			send_empty_beat(&nodes[2]);
		}
		sleep_for(5);
	}
	clients_stop();
	return ends_or_losses();
}

/* ---- case "body": a body within the limits takes all of the memory ---- */

static int
case_body(void)
{
	size_t n = trouble ? 28800000 : 1200;
	struct conn c = { .fd = -1 };
	struct result r;
	char id[32];
	int k, ok = 0;

	node_add("files", 110);
	node_add("orders", 110);
	server_add(&nodes[0], 0.18, 5000);
	server_add(&nodes[1], 0.29, 400);
	lead();
	clients_start(&nodes[0], 8, 0.02);
	sleep_for(3);
	for (k = 0; k < 3; k++) {
		snprintf(id, sizeof(id), "large-%d", k);
		r = request(&c, &nodes[0], id, n);
		ok += r.status == 200;
		sleep_for(5);
	}
	conn_end(&c);
	clients_stop();
	note(
	    "%d of 3 orders with a body of %zu bytes answered with 200", ok, n);
	return ends_or_losses();
}

/* ---- case "stop": a planned stop cuts an answer that is complete ---- */

#define PULLS 6
#define ROUNDS 4

/*
 * Bytes of the first answer of a round, and more of each next.  The kernel
 * takes a part of an answer that its receiver does not read; how much differs
 * between machines.
 */
static const struct {
	size_t size, step;
} rounds[ROUNDS] = {
	{ 350000, 20000 },
	{ 470000, 20000 },
	{ 600000, 20000 },
	{ 750000, 20000 },
};
/* Time for which a client does not read, and then time to read all of it. */
#define STALL_S 0.8
#define READ_S 0.6

struct pull {
	struct node *from;
	int i, round;
	size_t size;
	double at;
	struct result r;
	volatile int done;
};

/* Reads the answer's body at a steady rate of bytes per second. */
static void
read_slowly(struct conn *c, struct result *r, double rate)
{
	char buf[8192], *end = NULL, *p;
	double begun = now();
	size_t head;
	ssize_t k;

	while (end == NULL) {
		if (!fill(c))
			return;
		end = memmem(c->buf, c->len, "\r\n\r\n", 4);
	}
	head = (size_t)(end - c->buf) + 4;
	*end = '\0';
	p = strcasestr(c->buf, "Content-Length:");
	r->status = (int)strtol(c->buf + 9, NULL, 10);
	r->want = p != NULL ? strtoul(p + 15, NULL, 10) : 0;
	r->got = c->len - head;
	while (r->got < r->want) {
		if ((double)r->got > (now() - begun) * rate) {
			usleep(5000);
			continue;
		}
		k = recv(c->fd, buf, sizeof(buf), 0);
		if (k <= 0)
			return;
		r->got += (size_t)k;
	}
}

static void *
pull_run(void *arg)
{
	struct pull *p = arg;
	struct sockaddr_in a = address(p->from->host, PORT_OUTBOUND);
	int window = 32768, mss = 1448;
	struct conn c = { .fd = socket(AF_INET, SOCK_STREAM, 0) };
	char extra[64], id[32], *out;
	size_t n;
	FILE *f;

	/* Links have small windows, unlike the loopback interface. */
	setsockopt(c.fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	setsockopt(c.fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof(mss));
	sleep_until(p->at);
	p->at = now();
	snprintf(id, sizeof(id), "file-%d-%d", p->round, p->i);
	snprintf(extra, sizeof(extra), "X-Size: %zu\r\n", p->size);
	f = open_memstream(&out, &n);
	put_request(f, "GET", "/file/1", id, 2500, extra, 0);
	fclose(f);
	note("client sends %s, an answer of %zu bytes", id, p->size);
	if (connect(c.fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
	    send_all(c.fd, out, n)) {
		p->r.connected = 1;
		sleep_for(STALL_S);
		read_slowly(&c, &p->r, (double)p->size / READ_S);
	}
	p->r.took = now() - p->at;
	note("client gets %d for %s: %zu of %zu bytes after %.3f s",
	    p->r.status, id, p->r.got, p->r.want, p->r.took);
	free(out);
	conn_end(&c);
	p->done = 1;
	return NULL;
}

/*
 * Rule LOST: an answer is cut off around a planned stop.  The server has ended
 * its work, and the deadline and the route's time-out, 2.5 s, lie ahead.
 */
static int
stop_losses(struct pull *p, double stop_at)
{
	int i, lost = 0;
	char id[32];

	for (i = 0; i < PULLS; i++) {
		while (!p[i].done)
			usleep(10000);
		snprintf(id, sizeof(id), "file-%d-%d", p[i].round, i);
		if (!p[i].r.connected || ran_at(id) < 0 ||
		    p[i].at > stop_at + 3 || p[i].r.took > 2.4 ||
		    (p[i].r.status == 200 && p[i].r.got == p[i].r.want))
			continue;
		lost++;
		note("LOST %s: sent %.3f s after the stop signal, ended "
		     "%.3f s after it, status %d, %zu of %zu bytes",
		    id, p[i].at - stop_at, p[i].at + p[i].r.took - stop_at,
		    p[i].r.status, p[i].r.got, p[i].r.want);
	}
	return lost;
}

static int
stop_round(int round)
{
	static struct pull pulls[ROUNDS][PULLS];
	struct pull *p = pulls[round];
	double at = now();
	int i;

	for (i = 0; i < PULLS; i++) {
		p[i].from = &nodes[0];
		p[i].i = i;
		p[i].round = round;
		p[i].size = rounds[round].size + rounds[round].step * (size_t)i;
		p[i].at = at + 2.3 + 0.02 * i;
		spawn(pull_run, &p[i]);
	}
	if (trouble)
		node_signal(&nodes[0], SIGTERM);
	i = stop_losses(p, at);
	note("%d of %d answers lost", i, PULLS);
	return i;
}

static int
case_stop(void)
{
	int i, lost = 0;

	node_add("orders", 110);
	node_add("files", 110);
	server_add(&nodes[0], 0.29, 400);
	server_add(&nodes[1], 0.18, 5000);
	lead();
	for (i = 0; i < ROUNDS; i++) {
		sleep_for(CONTACT_S + 1);
		lost += stop_round(i);
	}
	return lost > 0;
}

/* ---- case "left": a server that has left is used after a restart ---- */

/*
 * Rule DRAIN: runs later than drainS after the acknowledgement of the leave,
 * sent on by machines that are in touch: the one that was killed is so again
 * contactS after its start.
 */
static int
drain_breaches(const struct server *s, const struct node *killed)
{
	double from = s->left_at + DRAIN_S, touch = killed->up_at + CONTACT_S;
	int i, late = 0, breaches = 0;

	for (i = 0; i < n_runs; i++) {
		if (runs[i].server != s || runs[i].at < from + SLACK_S)
			continue;
		late++;
		if (runs[i].at < touch + SLACK_S)
			continue;
		breaches++;
		note("DRAIN %s reached %s %.3f s after its leave", runs[i].id,
		    s->id, runs[i].at - s->left_at);
	}
	note("%d runs later than drainS, %d of them with all machines in touch",
	    late, breaches);
	return breaches;
}

/* Waits for a moment at which the server runs nothing. */
static void
wait_idle(struct server *s)
{
	double until = now() + 10;
	int idle = 0;

	while (!idle && now() < until) {
		usleep(1000);
		pthread_mutex_lock(&run_lock);
		idle = s->running == 0;
		pthread_mutex_unlock(&run_lock);
	}
}

static int
case_left(void)
{
	struct server *s;
	struct node *n;
	char *late;

	node_add("files", 260);
	node_add("orders", 260);
	node_add("orders", 260);
	server_add(&nodes[0], 0.18, 5000);
	s = server_add(&nodes[1], 0.29, 400);
	server_add(&nodes[2], 0.29, 400);
	n = &nodes[1];
	lead();
	clients_start(&nodes[0], 8, 0.4);
	sleep_for(3);
	/* The last heartbeat before the leave is delayed. */
	s->silent = 1;
	sleep_for(HEARTBEAT_S);
	late = heartbeat(s);
	note("server %s sends heartbeat %d, which is delayed", s->id,
	    s->sequence);
	wait_idle(s);
	s->leaving = 1;
	note("server %s leaves: status %d", s->id,
	    control_call(s, "DELETE", ""));
	s->left_at = now();
	sleep_for(0.3);
	if (trouble)
		node_signal(n, SIGKILL);
	sleep_until(s->left_at + 4.5);
	note("the delayed heartbeat arrives: status %d",
	    control_call(s, "PUT", late));
	free(late);
	sleep_until(s->left_at + 10);
	clients_stop();
	clients_total();
	return drain_breaches(s, n);
}

/* ---- the program ---- */

static const struct {
	const char *name;
	int (*run)(void);
} cases[] = {
	{ "empty", case_empty },
	{ "body", case_body },
	{ "stop", case_stop },
	{ "left", case_left },
};

int
main(int argc, char **argv)
{
	const char *t = getenv("TROUBLE");
	size_t i;
	int broken = -1;

	if (argc != 3 || (record_file = fopen(argv[2], "w")) == NULL) {
		fprintf(stderr, "usage: rig CASE RECORD\n");
		return 2;
	}
	started = clock_now();
	trouble = t == NULL || strcmp(t, "0") != 0;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	if (mkdtemp(dir) == NULL)
		give_up("temporary folder");
	open_network();
	publish();
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		if (strcmp(cases[i].name, argv[1]) == 0)
			broken = cases[i].run();
	if (broken < 0)
		give_up("no such case");
	note("%s", broken > 0 ? "the rule was broken" : "the rule held");
	end_processes();
	return broken > 0;
}
