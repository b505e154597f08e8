/*
 * Memory of a ptproxy process whose peers send bytes without end, or read
 * none: its largest size stays below the limit at which the smallest
 * deployment ends it.  All peers are sockets of this test.  Not built with
 * sanitizers, which take more memory than the program.
 */
#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "run.h"

/* Memory of a process in the smallest deployment. */
#define MEMORY_MB 88
#define CHUNK (64 * 1024)
/* A connection sends at most this much. */
#define SEND_MAX (256 * 1024 * 1024)
#define PEERS_MAX 2048
#define LARGE_BODY (280 * 1024)

enum {
	OUTBOUND = 8601,
	INBOUND,
	READY,
	CONTROL,
	APP,
	STORE = 8607,
	PORT_FIRST = 8610,
	PORT_LAST = 8615
};

enum role {
	STORE_LISTENER,
	APP_LISTENER,
	STORE_PEER,
	APP_PEER,
	CALLER
};

/* What is sent before the endless part, with the request's id, and that. */
struct stream {
	const char *first, *rest;
};

#define OK "HTTP/1.1 200 OK\r\n"
#define SIGNED                                 \
	OK "X-Primrosetide-Attempt-Id: %s\r\n" \
	   "X-Primrosetide-Response-Signature: s\r\n"

static const struct stream answers[] = {
	{ "", "garbage\r\n" },
	{ OK "A: ", "x" },
	{ OK, "A: b\r\n" },
	{ SIGNED "\r\n", "z" },
	{ SIGNED "Content-Length: 9000000000\r\n\r\n", "z" },
	{ SIGNED "Transfer-Encoding: chunked\r\n\r\n", "4\r\nzzzz\r\n" },
	{ SIGNED "Transfer-Encoding: chunked\r\n\r\n1;", "e" },
	{ SIGNED "Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: t\r\n" },
	{ "", "HTTP/1.1 102 P\r\n\r\n" },
	{ "", OK "X-Primrosetide-Attempt-Id: 0\r\nContent-Length: 1\r\n\r\nz" },
	{ SIGNED "Content-Length: 1\r\n\r\nz", "z" },
	{ OK "Content-Length: 4000000\r\n\r\n{\"end\":1,\"items\":[", "{}," },
	{ OK "Content-Length: 4000000\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff"
	     "aaaaaaaa",
	    "aaaa" },
};

#define N_ANSWERS G_N_ELEMENTS(answers)

struct peer {
	int fd;
	enum role role;
	GString *in, *out;
	const char *rest; /* sent again and again, NULL: nothing */
	GString *chunk; /* repeats of it */
	gsize at; /* of the chunk sent last */
	gsize sent;
	gboolean reads; /* a caller that reads its answers */
};

static struct {
	char host[32], store_host[32], dir[64];
	pid_t node;
	struct peer peer[PEERS_MAX];
	int n;
	const struct stream *app, *store; /* NULL: correct answers */
	guint next_app, next_store; /* of "answers", while they are set */
	gboolean large; /* answers of the upstream */
	gsize moved; /* bytes sent and received */
	guint ids;
} t;

static char document[] =
    "{\"version\":3,\"routes\":{\"columns\":[\"name\",\"host\","
    "\"pathPrefix\",\"kind\",\"timeoutS\",\"service\"],\"rows\":[[\"r\","
    "\"m.example\",\"/r/\",\"idempotent\",3,\"svc\"]]},\"services\":"
    "{\"columns\":[\"name\",\"healthPath\",\"maxConnections\"],\"rows\":"
    "[[\"svc\",\"/health\",110]]},\"limits\":{\"maxHeaderBytes\":16384,"
    "\"maxBodyBytes\":1000000,\"headerTimeoutS\":5,\"idleTimeoutS\":20}}";

/* ---- sockets ---- */

static struct sockaddr_in
address(const char *host, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, host, &a.sin_addr);
	return a;
}

static struct peer *
peer_add(int fd, enum role role)
{
	struct peer *p = &t.peer[t.n++];

	ck_assert_int_lt(t.n, PEERS_MAX);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	memset(p, 0, sizeof(*p));
	p->fd = fd;
	p->role = role;
	p->in = g_string_new(NULL);
	p->out = g_string_new(NULL);
	return p;
}

static void
peer_close(struct peer *p)
{
	close(p->fd);
	p->fd = -1;
	g_string_free(p->in, TRUE);
	g_string_free(p->out, TRUE);
	if (p->chunk != NULL)
		g_string_free(p->chunk, TRUE);
}

static void
listen_at(const char *host, int port, enum role role)
{
	struct sockaddr_in a = address(host, port);
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	ck_assert_int_eq(listen(fd, 512), 0);
	peer_add(fd, role);
}

static struct peer *
call(int port, const char *first, const char *rest, gboolean reads)
{
	struct sockaddr_in a = address(t.host, port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct peer *p;

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	p = peer_add(fd, CALLER);
	g_string_append(p->out, first);
	p->rest = rest;
	p->reads = reads;
	return p;
}

static void
ask(gboolean reads)
{
	char *s = g_strdup_printf("GET /r/x HTTP/1.1\r\nHost: m.example\r\n"
				  "X-Primrosetide-Attempt-Id: %u\r\n"
				  "X-Primrosetide-Deadline-Ms: 2500\r\n\r\n",
	    ++t.ids);

	call(OUTBOUND, s, NULL, reads);
	g_free(s);
}

/* ---- the store and the upstream ---- */

static void
put_body(struct peer *p, const char *fields, const void *body, gsize n)
{
	g_string_append_printf(p->out,
	    "HTTP/1.1 200 OK\r\n%sContent-Length: %u\r\n\r\n", fields,
	    (guint)n);
	g_string_append_len(p->out, body, (gssize)n);
}

static void
put_stream(struct peer *p, const struct stream *s, const char *id)
{
	const char *at = strstr(s->first, "%s");

	if (at == NULL)
		g_string_append(p->out, s->first);
	else
		g_string_append_printf(p->out, "%.*s%s%s", (int)(at - s->first),
		    s->first, id, at + strlen("%s"));
	p->rest = s->rest;
}

static void
answer_store(struct peer *p, const char *request)
{
	static const char header[16] = { 0, 0, 0, 0, 0, 0, 0, 1 };
	char *value, *body;

	if (t.store != NULL) {
		put_stream(p, &t.store[t.next_store++ % N_ANSWERS], "0");
	} else if (strstr(request, "topic=keyed.op&part=0 ") != NULL) {
		value = g_base64_encode((guchar *)document, strlen(document));
		body = g_strdup_printf("{\"items\":[{\"key\":\"config\","
				       "\"value\":\"%s\",\"offset\":0}],"
				       "\"hasMore\":false,\"end\":1}",
		    value);
		put_body(p, "", body, strlen(body));
		g_free(value);
		g_free(body);
	} else if (strstr(request, "/-/log-newest") != NULL) {
		body = g_strdup("{\"items\":[],\"hasMore\":false,\"end\":0}");
		put_body(p, "", body, strlen(body));
		g_free(body);
	} else if (strstr(request, "waitMs=0 ") != NULL)
		put_body(p, "", header, sizeof(header));
	/* Long polls and writes get no answer. */
}

static void
answer_app(struct peer *p, const char *request)
{
	const char *id = strstr(request, "X-Primrosetide-Attempt-Id: ");
	char *value = id != NULL ? g_strndup(id + 27, strcspn(id + 27, "\r"))
				 : g_strdup("-");
	char *fields, *body;

	if (t.app != NULL) {
		put_stream(p, &t.app[t.next_app++ % N_ANSWERS], value);
	} else {
		fields =
		    g_strdup_printf("X-Primrosetide-Attempt-Id: %s\r\n"
				    "X-Primrosetide-Instance-Id: i-1\r\n"
				    "X-Primrosetide-Response-Signature: s\r\n",
			value);
		body = g_strnfill(t.large ? LARGE_BODY : 1, 'z');
		put_body(p, fields, body, strlen(body));
		g_free(fields);
		g_free(body);
	}
	g_free(value);
}

static void
answer(struct peer *p)
{
	const char *end;

	while (
	    p->rest == NULL && (end = strstr(p->in->str, "\r\n\r\n")) != NULL) {
		char *request =
		    g_strndup(p->in->str, (gsize)(end - p->in->str));

		g_string_erase(p->in, 0, end + 4 - p->in->str);
		if (p->role == STORE_PEER)
			answer_store(p, request);
		else
			answer_app(p, request);
		g_free(request);
	}
}

/* ---- turns ---- */

static gboolean
wants_write(const struct peer *p)
{
	return p->out->len > 0 || (p->rest != NULL && p->sent < SEND_MAX);
}

static void
peer_write(struct peer *p)
{
	gssize n;

	if (p->out->len > 0) {
		n = send(p->fd, p->out->str, p->out->len, MSG_NOSIGNAL);
		if (n > 0)
			g_string_erase(p->out, 0, n);
	} else {
		if (p->chunk == NULL) {
			p->chunk = g_string_new(NULL);
			while (p->chunk->len < CHUNK)
				g_string_append(p->chunk, p->rest);
		}
		n = send(p->fd, p->chunk->str + p->at, p->chunk->len - p->at,
		    MSG_NOSIGNAL);
		if (n > 0)
			p->at = (p->at + (gsize)n) % p->chunk->len;
	}
	if (n > 0) {
		p->sent += (gsize)n;
		t.moved += (gsize)n;
	} else if (n < 0 && errno != EAGAIN)
		peer_close(p);
}

static void
peer_read(struct peer *p)
{
	char buf[CHUNK];
	gssize n = recv(p->fd, buf, sizeof(buf) - 1, 0);

	if (n == 0 || (n < 0 && errno != EAGAIN)) {
		peer_close(p);
		return;
	}
	if (n < 0)
		return;
	t.moved += (gsize)n;
	if (p->role == CALLER)
		return;
	buf[n] = '\0';
	g_string_append(p->in, buf);
	answer(p);
}

static gboolean
reads(const struct peer *p)
{
	return p->role != CALLER || p->reads;
}

static void
turn_peer(struct peer *p, short got)
{
	int fd;

	if (p->role == STORE_LISTENER || p->role == APP_LISTENER) {
		while ((fd = accept(p->fd, NULL, NULL)) >= 0)
			peer_add(fd,
			    p->role == STORE_LISTENER ? STORE_PEER : APP_PEER);
		return;
	}
	if ((got & POLLOUT) != 0)
		peer_write(p);
	if (p->fd >= 0 && (got & (POLLIN | POLLHUP | POLLERR)) != 0)
		peer_read(p);
}

/* One turn of at most 10 ms. */
static void
turn(void)
{
	static struct pollfd f[PEERS_MAX];
	int i, n = 0;

	for (i = 0; i < t.n; i++) {
		if (t.peer[i].fd < 0)
			continue;
		t.peer[n] = t.peer[i];
		f[n].fd = t.peer[n].fd;
		f[n].events = (short)((reads(&t.peer[n]) ? POLLIN : 0) |
				      (wants_write(&t.peer[n]) ? POLLOUT : 0));
		f[n].revents = 0;
		n++;
	}
	t.n = n;
	poll(f, (nfds_t)n, 10);
	for (i = 0; i < n; i++)
		if (f[i].revents != 0)
			turn_peer(&t.peer[i], f[i].revents);
}

static void
run_ms(int ms)
{
	gint64 end = g_get_monotonic_time() + ms * G_TIME_SPAN_MILLISECOND;

	while (g_get_monotonic_time() < end)
		turn();
}

/* Runs until next to nothing moves any more, for 12 s at most. */
static void
run_round(void)
{
	int i, quiet = 0;
	gsize before;

	for (i = 0; i < 40 && quiet < 5; i++) {
		before = t.moved;
		run_ms(300);
		quiet = t.moved - before > 4 * CHUNK ? 0 : quiet + 1;
	}
}

/* ---- the node ---- */

static char *
program(void)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *dir = g_path_get_dirname(self);
	char *path = g_build_filename(dir, "..", "bin", "ptproxy", NULL);

	g_free(self);
	g_free(dir);
	return path;
}

static char *
settings(void)
{
	char *path = g_build_filename(t.dir, "conf", NULL), *text;

	text = g_strdup_printf(
	    "nodeName=node\nzone=z\nregion=r\nservice=svc\nappAddr=%s:%d\n"
	    "listenAddrs.outbound=%s:%d\nlistenAddrs.inbound=%s:%d\n"
	    "listenAddrs.ready=%s:%d\nlistenAddrs.control=%s:%d\n"
	    "portRange=%d,%d\nseedNodes=\nheartbeatS=20\n"
	    "bounds.configApplyS=2\nlimits.memoryMb=%d\n"
	    "platform.address=%s:%d\n",
	    t.host, APP, t.host, OUTBOUND, t.host, INBOUND, t.host, READY,
	    t.host, CONTROL, PORT_FIRST, PORT_LAST, MEMORY_MB, t.store_host,
	    STORE);
	g_file_set_contents(path, text, -1, NULL);
	g_free(text);
	return path;
}

static void
node_start(void)
{
	char *path = settings(), *run = program();

	t.node = fork();
	ck_assert_int_ge(t.node, 0);
	if (t.node == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		setenv("PRIMROSETIDE_BOOT", path, 1);
		if (freopen("/dev/null", "w", stdout) == NULL)
			_exit(127);
		execl(run, run, (char *)NULL);
		_exit(127);
	}
	g_free(path);
	g_free(run);
}

/* Largest size of the process so far, in MB. */
static int
peak_mb(void)
{
	char path[64], line[256];
	int kb = -1;
	FILE *f;

	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)t.node);
	f = fopen(path, "r");
	ck_assert_ptr_nonnull(f);
	while (fgets(line, sizeof(line), f) != NULL)
		if (sscanf(line, "VmHWM: %d", &kb) == 1)
			break;
	fclose(f);
	return kb / 1024;
}

/* The process lives, within its limit. */
static void
check_memory(const char *what)
{
	ck_assert_msg(waitpid(t.node, NULL, WNOHANG) == 0, "%s: ended", what);
	if (g_getenv("MEMORY_VERBOSE") != NULL)
		printf("%s: %d MB\n", what, peak_mb());
	ck_assert_msg(peak_mb() < MEMORY_MB, "%s: %d MB", what, peak_mb());
}

static void
announce(void)
{
	char *body, *s;

	body = g_strdup_printf(
	    "{\"service\":\"svc\",\"address\":\"%s:%d\",\"zone\":\"z\","
	    "\"version\":\"v\",\"slots\":12,\"state\":\"in_service\","
	    "\"coldLeftS\":0,\"sequence\":%u,\"born\":1}",
	    t.host, APP, ++t.ids);
	s = g_strdup_printf("PUT /-/instances/i-1 HTTP/1.1\r\nHost: c\r\n"
			    "Content-Length: %u\r\n\r\n%s",
	    (guint)strlen(body), body);
	call(CONTROL, s, NULL, TRUE);
	g_free(s);
	g_free(body);
}

static void
setup(void)
{
	int pid = (int)getpid();

	memset(&t, 0, sizeof(t));
	g_snprintf(t.host, sizeof(t.host), "127.%d.%d.1", 200 + pid % 50,
	    pid / 50 % 250);
	g_snprintf(t.store_host, sizeof(t.store_host), "127.%d.%d.2",
	    200 + pid % 50, pid / 50 % 250);
	g_strlcpy(t.dir, "/tmp/memory-XXXXXX", sizeof(t.dir));
	ck_assert_ptr_nonnull(g_mkdtemp(t.dir));
	listen_at(t.store_host, STORE, STORE_LISTENER);
	listen_at(t.host, APP, APP_LISTENER);
	node_start();
	run_ms(3000);
}

static void
teardown(void)
{
	char *path = g_build_filename(t.dir, "conf", NULL);
	int i;

	kill(t.node, SIGKILL);
	waitpid(t.node, NULL, 0);
	for (i = 0; i < t.n; i++)
		if (t.peer[i].fd >= 0)
			peer_close(&t.peer[i]);
	g_unlink(path);
	g_rmdir(t.dir);
	g_free(path);
}

/* ---- tests ---- */

/*
 * Guards against answers of an upstream, to requests and health checks, that
 * have no end and are kept in memory: for callers that read and for others.
 */
START_TEST(upstream_that_sends_without_end)
{
	int i;

	t.app = answers;
	run_ms(2000); /* health checks */
	announce();
	run_ms(500);
	/* Some requests are refused while the upstream has failed others. */
	for (i = 0;
	     i < 1000 && (i < 4 * (int)N_ANSWERS || t.next_app < 2 * N_ANSWERS);
	     i++) {
		ask(i % 2 == 0);
		run_ms(50);
	}
	run_round();
	ck_assert_uint_ge(t.next_app, 2 * N_ANSWERS);
	check_memory("upstream");
}
END_TEST

/* Guards against the same of the store. */
START_TEST(store_that_sends_without_end)
{
	int i;

	t.store = answers;
	/* Open reads end; the node tries again after up to a second. */
	for (i = 0; i < 40 && t.next_store < 2 * N_ANSWERS; i++)
		run_ms(500);
	run_round();
	ck_assert_uint_ge(t.next_store, 5);
	check_memory("store");
}
END_TEST

/* Guards against the same of callers, servers and nodes that connect to it. */
START_TEST(peer_that_sends_without_end)
{
	static const int ports[] = { OUTBOUND, INBOUND, READY, CONTROL,
		PORT_LAST };
	static const struct stream requests[] = {
		{ "", "garbage" },
		{ "GET /", "x" },
		{ "GET / HTTP/1.1\r\nHost: h\r\nA: ", "x" },
		{ "GET / HTTP/1.1\r\nHost: h\r\n", "A: b\r\n" },
		{ "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: "
		  "9000000000\r\n\r\n",
		    "z" },
		{ "PUT / HTTP/1.1\r\nHost: h\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n",
		    "4\r\nzzzz\r\n" },
		{ "PUT /-/instances/i-2 HTTP/1.1\r\nHost: h\r\n"
		  "Content-Length: 65000\r\n\r\n{\"service\":[",
		    "{}," },
	};
	/* Fragments of RPC records: 1 byte, 1 MB, no last one. */
	static const char *const records[] = { "\x01\x01\x01\x01z", "z" };
	struct sockaddr_in a = address(t.host, PORT_FIRST);
	char datagram[1300];
	guint i, k;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(ports); i++)
		for (k = 0; k < 8 * G_N_ELEMENTS(requests); k++)
			call(ports[i], requests[k / 8].first,
			    requests[k / 8].rest, k % 2 == 0);
	for (k = 0; k < 20; k++)
		call(PORT_FIRST, k % 2 == 0 ? "" : "\x01", records[k % 2],
		    FALSE);
	fd = socket(AF_INET, SOCK_DGRAM, 0);
	for (k = 0; k < 20000; k++) {
		memset(datagram, (int)k, sizeof(datagram));
		sendto(fd, datagram, sizeof(datagram), MSG_DONTWAIT,
		    (struct sockaddr *)&a, sizeof(a));
		if (k % 100 == 0)
			turn();
	}
	close(fd);
	run_round();
	check_memory("peers");
}
END_TEST

/*
 * Guards against answers that are kept for a caller which sends request after
 * request and reads none, at each port.
 */
START_TEST(caller_that_reads_nothing)
{
	static const int ports[] = { OUTBOUND, INBOUND, READY, CONTROL,
		PORT_LAST };
	static const char *const requests[] = {
		"GET /none HTTP/1.1\r\nHost: m.example\r\n\r\n",
		"GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /r/x HTTP/1.1\r\nHost: m.example\r\n"
		"X-Primrosetide-Attempt-Id: 1\r\n\r\n",
	};
	guint i, k;

	announce();
	run_ms(500);
	for (i = 0; i < G_N_ELEMENTS(ports); i++)
		for (k = 0; k < G_N_ELEMENTS(requests); k++)
			call(ports[i], "", requests[k], FALSE);
	run_round();
	check_memory("pipelined requests");
}
END_TEST

/* Guards against large answers that are kept for many such callers. */
START_TEST(many_callers_that_read_nothing)
{
	int i;

	announce();
	run_ms(500);
	t.large = TRUE;
	for (i = 0; i < 1200; i++) {
		ask(FALSE);
		if (i % 4 == 0)
			turn();
	}
	run_round();
	check_memory("callers");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("memory");
	TCase *c = tcase_create("memory");

	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_test(c, upstream_that_sends_without_end);
	tcase_add_test(c, store_that_sends_without_end);
	tcase_add_test(c, peer_that_sends_without_end);
	tcase_add_test(c, caller_that_reads_nothing);
	tcase_add_test(c, many_callers_that_read_nothing);
	suite_add_tcase(suite, c);
	return suite_run(suite);
}
