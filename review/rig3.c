/*
 * Stand-ins for the scripts of the third review: the platform's store, the
 * upstreams and the clients of a small mesh of nodes, which run as separate
 * processes.  Usage:
 *   rig3 CASE PROXY RECORD TROUBLE
 * CASE is the number of the case (11 to 13), PROXY the node's program, RECORD
 * the file that is written, TROUBLE 0 or 1.  Exit status: 1 the rule was
 * broken, 0 it held, 2 the case could not run.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "rig3.h"

#define PORT_INBOUND 8624
#define PORT_OUTBOUND 8629
#define PORT_READY 8625
#define PORT_CONTROL 8620
#define PORT_APP 8628
#define PORT_STORE 8627
#define PORT_FIRST 7600
#define PORT_LAST 7615
#define HEAD_MAX 65536
#define TOPICS_MAX 32

struct node nodes[NODES_MAX];
int n_nodes;
struct attempt *attempts;
int n_attempts;
int memory_mb = 260;
pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int net_a, net_b;
static char dir[] = "/tmp/rig3.XXXXXX";
static char store_host[32];
static const char *proxy;
static FILE *record;
static int64_t started;
static volatile int closing;

/* ---- time and the record ---- */

int64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000 - started;
}

static int64_t
wall_ms(void)
{
	struct timeval t;

	gettimeofday(&t, NULL);
	return (int64_t)t.tv_sec * 1000 + t.tv_usec / 1000;
}

void
sleep_ms(int64_t ms)
{
	if (ms > 0)
		usleep((useconds_t)ms * 1000);
}

void
sleep_until(int64_t at)
{
	sleep_ms(at - now_ms());
}

void
note(const char *fmt, ...)
{
	va_list ap;

	flockfile(record);
	fprintf(record, "%8.3f ", (double)now_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	funlockfile(record);
}

/* ---- processes ---- */

void
node_signal(struct node *n, int sig)
{
	if (n->pid > 0)
		kill(n->pid, sig);
}

static void
end_nodes(void)
{
	int i;

	for (i = 0; i < n_nodes; i++) {
		if (nodes[i].pid <= 0)
			continue;
		kill(nodes[i].pid, SIGKILL);
		waitpid(nodes[i].pid, NULL, 0);
		nodes[i].pid = 0;
	}
}

void
finish(int status)
{
	char cmd[96];

	closing = 1;
	end_nodes();
	if (getenv("RIG3_KEEP") == NULL) {
		snprintf(cmd, sizeof(cmd), "rm -rf %s", dir);
		if (system(cmd) != 0)
			note("the temporary folder could not be removed");
	}
	fclose(record);
	_exit(status);
}

void
cannot_run(const char *why)
{
	note("cannot run: %s", why);
	finish(2);
}

/* Waits until a node has ended; 0: it has not within this time. */
int
node_wait(struct node *n, int64_t ms)
{
	int64_t until = now_ms() + ms;
	int status;

	while (waitpid(n->pid, &status, WNOHANG) == 0) {
		if (now_ms() >= until)
			return 0;
		sleep_ms(5);
	}
	n->pid = 0;
	return 1;
}

/* Memory of a node's process in kB, 0: it does not run. */
long
node_memory(const struct node *n)
{
	char path[64], line[128];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)n->pid);
	f = fopen(path, "r");
	if (f == NULL)
		return 0;
	while (kb == 0 && fgets(line, sizeof(line), f) != NULL)
		if (strncmp(line, "VmRSS:", 6) == 0)
			kb = strtol(line + 6, NULL, 10);
	fclose(f);
	return kb;
}

void
node_start(struct node *n)
{
	char path[128], var[160], log[128];
	char *argv[] = { (char *)proxy, NULL };
	char *envp[] = { var, "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C",
		NULL };
	struct rlimit files = { 4100, 4100 }; /* limits.maxFds */
	int fd;

	snprintf(path, sizeof(path), "%s/%s.conf", dir, n->name);
	snprintf(log, sizeof(log), "%s/%s.log", dir, n->name);
	snprintf(var, sizeof(var), "PRIMROSETIDE_BOOT=%s", path);
	n->pid = fork();
	if (n->pid < 0)
		cannot_run("fork failed");
	if (n->pid > 0)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	setrlimit(RLIMIT_NOFILE, &files);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(fd, 1);
	dup2(fd, 2);
	execve(proxy, argv, envp);
	_exit(127);
}

static void
write_settings(const struct node *n)
{
	char path[128];
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s.conf", dir, n->name);
	f = fopen(path, "w");
	if (f == NULL)
		cannot_run("the settings cannot be written");
	fprintf(f,
	    "nodeName=%s\nrole=proxy\nmachineClass=sidecar\nserves=sidecar\n"
	    "ip=%s\nzone=%s\nregion=r\nzones.z0=r\nzones.z1=r\n"
	    "listenAddrs.inbound=%s:%d\nlistenAddrs.outbound=%s:%d\n"
	    "listenAddrs.ready=%s:%d\nlistenAddrs.control=%s:%d\n"
	    "portRange=%d,%d\nseedNodes=\nbootstrap=true\n"
	    "limits.cpuShare=0.2\nlimits.cpuCores=1\nlimits.memoryMb=%d\n"
	    "limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
	    "heartbeatS=1.5\nbounds.contactS=3\nbounds.ackTimeoutS=4\n"
	    "bounds.drainS=2\nbounds.graceS=6\nbounds.lossSlackS=0.2\n"
	    "bounds.configApplyS=2\nbounds.rollbackSlackS=0.25\n"
	    "bounds.maxStretchS=5\nbounds.retryBudgetRatio=0.2\n"
	    "bounds.budgetWindowS=10\nbounds.retryBudgetSlack=58\n"
	    "bounds.recoveryS=15\nappAddr=%s:%d\nservice=%s\n"
	    "platform.address=%s:%d\nplatform.form=log\n"
	    "platform.writesPerS=400\nplatform.readsPerS=2000\n"
	    "platform.parts=12\nplatform.keep_s=300\nplatform.ttlMinS=1\n",
	    n->name, n->host, n->zone, n->host, PORT_INBOUND, n->host,
	    PORT_OUTBOUND, n->host, PORT_READY, n->host, PORT_CONTROL,
	    PORT_FIRST, PORT_LAST, memory_mb, n->host, PORT_APP, n->service,
	    store_host, PORT_STORE);
	fclose(f);
}

/* ---- sockets and messages ---- */

int
dial(const char *host, int port, int timeout_ms)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
	struct timeval t = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

	inet_pton(AF_INET, host, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
		return fd;
	close(fd);
	return -1;
}

static int
listen_at(const char *host, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	inet_pton(AF_INET, host, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
	    listen(fd, 256) == 0)
		return fd;
	close(fd);
	return -1;
}

int
send_all(int fd, const void *p, size_t n)
{
	size_t done = 0;
	ssize_t k;

	while (done < n) {
		k = send(fd, (const char *)p + done, n - done, MSG_NOSIGNAL);
		if (k <= 0)
			return 0;
		done += (size_t)k;
	}
	return 1;
}

void
message_free(struct message *m)
{
	free(m->buf);
	memset(m, 0, sizeof(*m));
}

/* Reads more into the buffer until "until"; the result of recv(). */
static ssize_t
read_more(int fd, struct message *m, int64_t until)
{
	struct pollfd p = { fd, POLLIN, 0 };
	int64_t left = until - now_ms();
	ssize_t k;

	if (left <= 0 || poll(&p, 1, (int)left) <= 0) {
		errno = ETIMEDOUT;
		return -1;
	}
	if (m->size - m->len < 4096) {
		m->size = m->size * 2 + 16384;
		m->buf = realloc(m->buf, m->size);
	}
	k = recv(fd, m->buf + m->len, m->size - m->len - 1, 0);
	if (k > 0) {
		m->len += (size_t)k;
		m->buf[m->len] = '\0';
	}
	return k;
}

/* Value of a field in "out"; 0: absent. */
int
field(const struct message *m, const char *name, char *out, size_t size)
{
	const char *p = m->buf, *end = m->buf + m->head;
	size_t n = strlen(name), k;

	while ((p = memchr(p, '\n', (size_t)(end - p))) != NULL) {
		p++;
		if (p + n >= end)
			return 0;
		if (strncasecmp(p, name, n) != 0 || p[n] != ':')
			continue;
		p += n + 1;
		p += strspn(p, " \t");
		k = strcspn(p, "\r\n");
		k = k < size - 1 ? k : size - 1;
		memcpy(out, p, k);
		out[k] = '\0';
		return 1;
	}
	return 0;
}

static int
is_chunked(const struct message *m)
{
	char v[64];

	return field(m, "Transfer-Encoding", v, sizeof(v)) &&
	       strcasecmp(v, "chunked") == 0;
}

/* Length of a chunked body in the buffer, 0: not complete. */
static size_t
chunked_length(const struct message *m)
{
	size_t at = m->head, n;
	char *end;

	for (;;) {
		if (strstr(m->buf + at, "\r\n") == NULL)
			return 0;
		n = strtoul(m->buf + at, &end, 16);
		at = (size_t)(strstr(m->buf + at, "\r\n") - m->buf) + 2;
		if (at + n + 2 > m->len)
			return 0;
		at += n + 2;
		if (n == 0)
			return at - m->head;
	}
}

/*
 * Reads one message: 1 complete, 0 the connection ended before its first byte,
 * -1 within it, -2 nothing more came until "until".
 */
int
message_read(int fd, struct message *m, int64_t until)
{
	char v[64];
	char *end = NULL;
	ssize_t k;

	m->head = 0;
	for (;;) {
		if (m->head == 0 && m->len > 0 &&
		    (end = strstr(m->buf, "\r\n\r\n")) != NULL) {
			m->head = (size_t)(end - m->buf) + 4;
			m->body = 0;
			if (field(m, "Content-Length", v, sizeof(v)))
				m->body = strtoul(v, NULL, 10);
		}
		if (m->head > 0 && is_chunked(m))
			m->body = chunked_length(m);
		if (m->head > 0 && (!is_chunked(m) || m->body > 0) &&
		    m->len >= m->head + m->body)
			return 1;
		k = read_more(fd, m, until);
		if (k == 0 || (k < 0 && errno != ETIMEDOUT))
			return m->len == 0 ? 0 : -1;
		if (k < 0)
			return -2;
	}
}

/* Drops the message that was read. */
void
message_next(struct message *m)
{
	size_t n = m->head + m->body;

	memmove(m->buf, m->buf + n, m->len - n + 1);
	m->len -= n;
}

static void
respond(int fd, int status, const char *type, const void *body, size_t n)
{
	char head[256];
	int k = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d Status\r\nContent-Type: %s\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, type, n);

	if (send_all(fd, head, (size_t)k))
		send_all(fd, body, n);
}

static void
start_thread(void *(*run)(void *), void *arg)
{
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, 256 * 1024);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &a, run, arg) != 0)
		cannot_run("no thread could be started");
	pthread_attr_destroy(&a);
}

void
in_background(void *(*run)(void *), void *arg)
{
	start_thread(run, arg);
}

/* ---- the platform's store ---- */

struct entry {
	uint8_t *data; /* behind the length: key length, key, value */
	size_t len;
};

struct topic {
	char name[64];
	struct entry *entries;
	int n;
};

static struct topic topics[TOPICS_MAX];
static int n_topics;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_grown = PTHREAD_COND_INITIALIZER;

static struct topic *
topic_get(const char *name)
{
	int i;

	for (i = 0; i < n_topics; i++)
		if (strcmp(topics[i].name, name) == 0)
			return &topics[i];
	if (n_topics == TOPICS_MAX)
		cannot_run("too many topics");
	snprintf(topics[n_topics].name, sizeof(topics[0].name), "%s", name);
	return &topics[n_topics++];
}

static void
topic_add(struct topic *t, const void *p, size_t n)
{
	t->entries =
	    realloc(t->entries, (size_t)(t->n + 1) * sizeof(*t->entries));
	t->entries[t->n].data = malloc(n + 1);
	memcpy(t->entries[t->n].data, p, n);
	t->entries[t->n++].len = n;
}

static void
put_u64(uint8_t *p, uint64_t v)
{
	int i;

	for (i = 0; i < 8; i++)
		p[i] = (uint8_t)(v >> (56 - 8 * i));
}

static int
query_text(const char *line, const char *name, char *out, size_t size)
{
	char key[32];
	const char *p;
	size_t k;

	snprintf(key, sizeof(key), "%s=", name);
	for (p = strchr(line, '?'); p != NULL && *p != ' ' && *p != '\0';
	     p += strcspn(p, "& ")) {
		p++;
		if (strncmp(p, key, strlen(key)) != 0)
			continue;
		p += strlen(key);
		k = strcspn(p, "& \r");
		k = k < size - 1 ? k : size - 1;
		memcpy(out, p, k);
		out[k] = '\0';
		return 1;
	}
	return 0;
}

static long
query_number(const char *line, const char *name, long otherwise)
{
	char v[32];

	return query_text(line, name, v, sizeof(v)) ? atol(v) : otherwise;
}

static void
store_append(int fd, const struct message *m, struct topic *t)
{
	const uint8_t *p = (const uint8_t *)m->buf + m->head;
	size_t left = m->body, n;
	char body[64];
	int at;

	pthread_mutex_lock(&store_lock);
	at = t->n;
	while (left >= 4) {
		n = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
		    (size_t)p[2] << 8 | p[3];
		if (n > left - 4)
			break;
		topic_add(t, p + 4, n);
		p += 4 + n;
		left -= 4 + n;
	}
	snprintf(body, sizeof(body), "{\"offset\":%d,\"end\":%d}", at, t->n);
	pthread_cond_broadcast(&store_grown);
	pthread_mutex_unlock(&store_lock);
	respond(fd, 200, "application/json", body, strlen(body));
}

static void
store_read(int fd, struct topic *t, long from, long wait)
{
	int64_t until = now_ms() + wait;
	struct timespec ts;
	uint8_t *out;
	size_t n = 16;
	long i;

	pthread_mutex_lock(&store_lock);
	while (t->n <= from && now_ms() < until) {
		clock_gettime(CLOCK_REALTIME, &ts);
		ts.tv_nsec += 20 * 1000000;
		ts.tv_sec += ts.tv_nsec / 1000000000;
		ts.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&store_grown, &store_lock, &ts);
	}
	for (i = from; i < t->n; i++)
		n += 4 + t->entries[i].len;
	out = calloc(1, n);
	put_u64(out, (uint64_t)t->n);
	for (n = 16, i = from; i < t->n; i++) {
		uint32_t len = htonl((uint32_t)t->entries[i].len);

		memcpy(out + n, &len, 4);
		memcpy(out + n + 4, t->entries[i].data, t->entries[i].len);
		n += 4 + t->entries[i].len;
	}
	pthread_mutex_unlock(&store_lock);
	respond(fd, 200, "application/octet-stream", out, n);
	free(out);
}

static size_t
base64(const uint8_t *p, size_t n, char *out)
{
	static const char d[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				"abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t i, k = 0;
	uint32_t v;

	for (i = 0; i < n; i += 3) {
		v = (uint32_t)p[i] << 16 |
		    (i + 1 < n ? (uint32_t)p[i + 1] << 8 : 0) |
		    (i + 2 < n ? p[i + 2] : 0);
		out[k++] = d[v >> 18];
		out[k++] = d[v >> 12 & 63];
		out[k++] = i + 1 < n ? d[v >> 6 & 63] : '=';
		out[k++] = i + 2 < n ? d[v & 63] : '=';
	}
	out[k] = '\0';
	return k;
}

/* TRUE if no later entry has the key of entry "i", and it has a value. */
static int
is_newest(const struct topic *t, int i)
{
	const struct entry *e = &t->entries[i];
	int j;

	if (e->len <= (size_t)e->data[0] + 1)
		return 0;
	for (j = i + 1; j < t->n; j++)
		if (t->entries[j].data[0] == e->data[0] &&
		    memcmp(t->entries[j].data + 1, e->data + 1, e->data[0]) ==
			0)
			return 0;
	return 1;
}

static void
store_newest(int fd, const struct topic *t)
{
	char *out = malloc(4 * 1024 * 1024);
	const struct entry *e;
	size_t n, first = 1;
	int i;

	n = (size_t)sprintf(out, "{\"items\":[");
	pthread_mutex_lock(&store_lock);
	for (i = 0; i < t->n; i++) {
		if (!is_newest(t, i))
			continue;
		e = &t->entries[i];
		n += (size_t)sprintf(out + n,
		    "%s{\"key\":\"%.*s\",\"offset\":%d,\"value\":\"",
		    first ? "" : ",", e->data[0], (const char *)e->data + 1, i);
		n += base64(
		    e->data + 1 + e->data[0], e->len - 1 - e->data[0], out + n);
		n += (size_t)sprintf(out + n, "\"}");
		first = 0;
	}
	n += (size_t)sprintf(out + n, "],\"hasMore\":false,\"end\":%d}", t->n);
	pthread_mutex_unlock(&store_lock);
	respond(fd, 200, "application/json", out, n);
	free(out);
}

static void
store_handle(int fd, const struct message *m)
{
	char line[1024], name[64] = "";
	struct topic *t = NULL;

	snprintf(
	    line, sizeof(line), "%.*s", (int)strcspn(m->buf, "\r"), m->buf);
	if (query_text(line, "topic", name, sizeof(name))) {
		pthread_mutex_lock(&store_lock);
		t = topic_get(name);
		pthread_mutex_unlock(&store_lock);
	}
	if (strstr(line, "/-/log-append") != NULL && t != NULL)
		store_append(fd, m, t);
	else if (strstr(line, "/-/log-read") != NULL && t != NULL)
		store_read(fd, t, query_number(line, "from", 0),
		    query_number(line, "waitMs", 0));
	else if (strstr(line, "/-/log-newest") != NULL && t != NULL)
		store_newest(fd, t);
	else
		respond(fd, 404, "text/plain", "", 0);
}

static void *
store_conn(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct message m = { 0 };

	while (!closing && message_read(fd, &m, now_ms() + 60000) == 1) {
		store_handle(fd, &m);
		message_next(&m);
	}
	message_free(&m);
	close(fd);
	return NULL;
}

static void *
store_accept(void *arg)
{
	int fd = (int)(intptr_t)arg, c;

	while ((c = accept4(fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
		start_thread(store_conn, (void *)(intptr_t)c);
	return NULL;
}

/* The operator writes a configuration; the store acknowledges it. */
void
operator_writes(const char *json)
{
	/* The length of the key, the key, and the value. */
	size_t n = strlen(json) + 7;
	char *p = malloc(n + 1);

	snprintf(p, n + 1, "%cconfig%s", 6, json);
	pthread_mutex_lock(&store_lock);
	topic_add(topic_get("keyed.op"), p, n);
	pthread_cond_broadcast(&store_grown);
	pthread_mutex_unlock(&store_lock);
	free(p);
}

/* ---- upstreams ---- */

struct up_conn {
	struct node *node;
	int fd;
};

/* Milliseconds of work that the path asks for ("/w250/"). */
static int
work_of(const char *line)
{
	const char *p = strstr(line, "/w");

	return p != NULL ? atoi(p + 2) : 20;
}

static struct attempt *
attempt_find(const char *id)
{
	int i = id[0] == 'a' ? atoi(id + 1) : -1;

	return i >= 0 && i < n_attempts ? &attempts[i] : NULL;
}

/* Works for a while; 0: the caller closed the connection. */
static int
work(int fd, int ms)
{
	struct pollfd p = { fd, POLLIN | POLLRDHUP, 0 };
	int64_t until = now_ms() + ms;
	int64_t left;
	char c;

	while ((left = until - now_ms()) > 0) {
		if (poll(&p, 1, left < 20 ? (int)left : 20) <= 0)
			continue;
		if (recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
			return 0;
		sleep_ms(left < 20 ? left : 20);
	}
	return 1;
}

static void
up_health(struct up_conn *c)
{
	char out[256];
	int n = snprintf(out, sizeof(out),
	    "HTTP/1.1 200 OK\r\nX-Primrosetide-Instance-Id: %s\r\n"
	    "Content-Length: 0\r\n\r\n",
	    c->node->id);

	send_all(c->fd, out, (size_t)n);
}

/* The run has failed: says so without claiming that it has not run. */
static int
up_fails(struct up_conn *c, const char *id, int is_signed)
{
	char out[256], signature[96] = "";
	int k;

	if (is_signed)
		snprintf(signature, sizeof(signature),
		    "X-Primrosetide-Response-Signature: s-%s\r\n", id);
	note("%s has run %s and answers 503, %s", c->node->id, id,
	    is_signed ? "signed" : "not signed");
	k = snprintf(out, sizeof(out),
	    "HTTP/1.1 503 Service Unavailable\r\n"
	    "X-Primrosetide-Attempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n",
	    id, signature);
	return send_all(c->fd, out, (size_t)k);
}

/* 0: the connection is to be closed. */
static int
up_run(struct up_conn *c, const struct message *m)
{
	char id[64] = "", to[64] = "", deadline[32] = "", line[256], out[512];
	struct node *n = c->node;
	struct attempt *a;
	int ms, k, done;

	field(m, "X-Primrosetide-Attempt-Id", id, sizeof(id));
	field(m, "X-Primrosetide-Target-Instance", to, sizeof(to));
	field(m, "X-Primrosetide-Deadline-Ms", deadline, sizeof(deadline));
	snprintf(
	    line, sizeof(line), "%.*s", (int)strcspn(m->buf, "\r"), m->buf);
	if (*to != '\0' && strcmp(to, n->id) != 0) {
		note("%s answers 421 to %s, which names %s", n->id, id, to);
		k = snprintf(out, sizeof(out),
		    "HTTP/1.1 421 Misdirected Request\r\n"
		    "X-Primrosetide-Attempt-Id: %s\r\n"
		    "X-Primrosetide-Instance-Id: %s\r\n"
		    "Content-Length: 0\r\n\r\n",
		    id, n->id);
		return send_all(c->fd, out, (size_t)k);
	}
	a = attempt_find(id);
	if (a == NULL) {
		note("%s runs %s, which no client has sent", n->id, id);
		return 0;
	}
	pthread_mutex_lock(&lock);
	if (a->runs++ == 0)
		a->run_at = now_ms();
	a->run_by = (int)(n - nodes);
	a->at_work = 1;
	n->runs++;
	pthread_mutex_unlock(&lock);
	ms = work_of(line);
	note("%s runs %s for %d ms, deadline %s ms", n->id, id, ms, deadline);
	done = work(c->fd, ms);
	pthread_mutex_lock(&lock);
	a->at_work = 0;
	a->run_end = now_ms();
	a->cut |= !done;
	n->runs--;
	pthread_mutex_unlock(&lock);
	note("%s %s %s", n->id, done ? "answers" : "was cut off at", id);
	if (!done)
		return 0;
	if (n->grey > 0 && ++n->grey_count % n->grey == 0)
		return up_fails(c, id, n->grey_count / n->grey % 2);
	k = snprintf(out, sizeof(out),
	    "HTTP/1.1 200 OK\r\nX-Primrosetide-Attempt-Id: %s\r\n"
	    "X-Primrosetide-Response-Signature: s-%s\r\n"
	    "Keep-Alive: timeout=10\r\nContent-Length: 3\r\n\r\nok\n",
	    id, id);
	return send_all(c->fd, out, (size_t)k);
}

static void *
up_conn(void *arg)
{
	struct up_conn *c = arg;
	struct message m = { 0 };
	int ok = 1;

	while (
	    ok && !closing && message_read(c->fd, &m, now_ms() + 10000) == 1) {
		if (strncmp(m.buf, "GET /health ", 12) == 0)
			up_health(c);
		else
			ok = up_run(c, &m);
		message_next(&m);
	}
	message_free(&m);
	close(c->fd);
	free(c);
	return NULL;
}

static void *
up_accept(void *arg)
{
	struct node *n = arg;
	struct up_conn *c;
	int fd;

	while ((fd = accept4(n->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		int one = 1;

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = malloc(sizeof(*c));
		c->node = n;
		c->fd = fd;
		start_thread(up_conn, c);
	}
	return NULL;
}

/* The text of the next announcement of an upstream. */
static int
beat_text(struct node *n, char *out, size_t size)
{
	char body[512];
	int k = snprintf(body, sizeof(body),
	    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":12,\"state\":\"in_service\","
	    "\"coldLeftS\":0,\"sequence\":%d,\"born\":%lld}",
	    n->service, n->host, PORT_APP, n->zone, ++n->sequence,
	    (long long)n->born);

	return snprintf(out, size,
	    "PUT /-/instances/%s HTTP/1.1\r\nHost: %s\r\n"
	    "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
	    n->id, n->host, k, body);
}

/* Sends a call to the control address; the status, 0: no answer in time. */
static int
control_call(struct node *n, const char *text, int timeout_ms)
{
	int fd = dial(n->host, PORT_CONTROL, timeout_ms), status = 0;
	struct message m = { 0 };

	if (fd < 0)
		return 0;
	if (send_all(fd, text, strlen(text)) &&
	    message_read(fd, &m, now_ms() + timeout_ms) == 1)
		status = atoi(m.buf + 9);
	message_free(&m);
	close(fd);
	return status;
}

static void *
up_beats(void *arg)
{
	struct node *n = arg;
	char text[1024];

	while (!closing) {
		beat_text(n, text, sizeof(text));
		control_call(n, text, 1000);
		sleep_ms(1500);
	}
	return NULL;
}

/* ---- clients ---- */

int
attempt_new(int via, const char *kind)
{
	struct attempt *a;
	int i;

	pthread_mutex_lock(&lock);
	if (n_attempts == ATTEMPTS_MAX)
		cannot_run("too many requests");
	i = n_attempts;
	a = &attempts[i];
	memset(a, 0, sizeof(*a));
	a->via = via;
	a->kind = kind;
	a->sent = now_ms();
	n_attempts++;
	pthread_mutex_unlock(&lock);
	return i;
}

/*
 * Sends a request on a connection and reads the answer; the status, 0: the
 * connection ended without a complete answer, -1: none before the deadline.
 */
int
client_call(int fd, int i, const char *method, const char *path, int deadline)
{
	struct attempt *a = &attempts[i];
	struct message m = { 0 };
	char text[512];
	int k, got;

	k = snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: mesh.example\r\n"
	    "X-Primrosetide-Attempt-Id: a%d\r\n"
	    "X-Primrosetide-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
	    method, path, i, deadline);
	a->sent = now_ms();
	a->status = -1;
	if (!send_all(fd, text, (size_t)k))
		got = 0;
	else
		got = message_read(fd, &m, a->sent + deadline);
	a->ended = now_ms();
	a->status = got == 1 ? atoi(m.buf + 9) : got == -2 ? -1 : 0;
	a->closes = got == 1 && strcasestr(m.buf, "connection: close") != NULL;
	note("client: a%d (%s %s) through %s sent at %.3f: %d", i, method, path,
	    nodes[a->via].name, (double)a->sent / 1000, a->status);
	message_free(&m);
	return a->status;
}

/* ---- the mesh ---- */

int
is_ready(const struct node *n)
{
	static const char text[] =
	    "GET /-/readiness HTTP/1.1\r\nHost: r\r\n\r\n";
	int fd = dial(n->host, PORT_READY, 500), status = 0;
	struct message m = { 0 };

	if (fd < 0)
		return 0;
	if (send_all(fd, text, strlen(text)) &&
	    message_read(fd, &m, now_ms() + 500) == 1)
		status = atoi(m.buf + 9);
	message_free(&m);
	close(fd);
	return status == 200;
}

int
entry_dial(const struct node *n)
{
	return dial(n->host, PORT_OUTBOUND, 1000);
}

static void
choose_network(void)
{
	int i, fd = -1;

	srand((unsigned)(getpid() ^ wall_ms()));
	for (i = 0; i < 50 && fd < 0; i++) {
		net_a = 70 + rand() % 150;
		net_b = rand() % 250;
		snprintf(store_host, sizeof(store_host), "127.%d.%d.2", net_a,
		    net_b);
		fd = listen_at(store_host, PORT_STORE);
	}
	if (fd < 0)
		cannot_run("no free address");
	start_thread(store_accept, (void *)(intptr_t)fd);
}

void
mesh_start(int n, const char *const *services)
{
	struct node *x;
	int i;

	choose_network();
	operator_writes(case_config);
	for (i = 0; i < n; i++) {
		x = &nodes[i];
		snprintf(x->host, sizeof(x->host), "127.%d.%d.%d", net_a, net_b,
		    10 + i);
		snprintf(x->name, sizeof(x->name), "sidecar-z%d-%d", i % 2, i);
		snprintf(x->zone, sizeof(x->zone), "z%d", i % 2);
		snprintf(x->service, sizeof(x->service), "%s", services[i]);
		snprintf(
		    x->id, sizeof(x->id), "i-%02d%06x", i, rand() % 0xffffff);
		x->born = wall_ms();
		x->listener = listen_at(x->host, PORT_APP);
		if (x->listener < 0)
			cannot_run("an address is in use");
		n_nodes++;
		start_thread(up_accept, x);
		write_settings(x);
		node_start(x);
	}
	for (i = 0; i < n; i++)
		start_thread(up_beats, &nodes[i]);
	for (i = 0; i < n; i++)
		while (!is_ready(&nodes[i])) {
			if (now_ms() > 20000)
				cannot_run("a node does not get ready");
			sleep_ms(50);
		}
	note("%d nodes are ready", n);
	sleep_ms(3500);
}

static void
on_alarm(int sig)
{
	(void)sig;
	end_nodes();
	_exit(2);
}

int
main(int argc, char **argv)
{
	struct timespec t;

	if (argc != 5 || mkdtemp(dir) == NULL)
		return 2;
	proxy = argv[2];
	record = fopen(argv[3], "w");
	if (record == NULL)
		return 2;
	clock_gettime(CLOCK_MONOTONIC, &t);
	started = (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(118);
	attempts = calloc(ATTEMPTS_MAX, sizeof(*attempts));
	finish(case_run(atoi(argv[1]), atoi(argv[4])));
}
