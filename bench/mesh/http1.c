/*
 * HTTP/1.1 client of the paced load: persistent connections in one epoll set.
 */

#include <glib.h>
#include <gio/gio.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "mesh.h"
#include "priv.h"

/* Shorter than the 5 s that nodes advertise, so that an idle connection is not
 * reused while the node closes it. */
#define IDLE_US (4 * G_USEC_PER_SEC)
#define HEAD_MAX 65536
#define BUF 65536
#define EVENTS 64

struct conn;

struct load_req {
	TAILQ_ENTRY(load_req) link; /* while waiting for a connection */
	struct load_host *host;
	struct conn *conn; /* NULL while waiting */
	GString *text;
	gboolean repeat, resent;
	const struct load_handler *handler;
	void *arg;
};

enum body {
	BODY_HEAD, /* reading the headers */
	BODY_LENGTH,
	BODY_CLOSE, /* ends when the connection closes */
	BODY_SIZE, /* reading the size line of a chunk */
	BODY_CHUNK,
	BODY_CHUNK_END, /* reading the line end after a chunk */
	BODY_TRAILER,
	BODY_DONE
};

struct conn {
	TAILQ_ENTRY(conn) link; /* in "idle" or "closed_conns" */
	struct load_host *host;
	struct load_req *req; /* NULL: idle */
	int fd;
	gboolean connecting, refused, used, idle, close, closed;
	gsize sent; /* bytes of the request */
	GString *in; /* headers or line being read */
	enum body body;
	guint64 remaining; /* bytes of the body or chunk still to come */
	gint64 idle_us;
};

TAILQ_HEAD(conns, conn);

struct load_host {
	TAILQ_ENTRY(load_host) link;
	struct load_http *h;
	struct sockaddr_in addr;
	guint max, n;
	struct conns idle; /* most recently used first */
	TAILQ_HEAD(load_reqs, load_req) waiting;
};

struct load_http {
	int ep;
	GSource *source;
	TAILQ_HEAD(load_hosts, load_host) hosts;
	struct conns closed_conns; /* freed after the event loop */
};

static void start(struct load_host *);

static void
conn_close(struct conn *c)
{
	if (c->closed)
		return;
	c->closed = TRUE;
	if (c->idle)
		TAILQ_REMOVE(&c->host->idle, c, link);
	/*
	 * Removed explicitly: while a child that mesh_start() forked holds the
	 * socket, close() would leave it in the set.
	 */
	epoll_ctl(c->host->h->ep, EPOLL_CTL_DEL, c->fd, NULL);
	close(c->fd);
	c->host->n--;
	TAILQ_INSERT_TAIL(&c->host->h->closed_conns, c, link);
}

static void
req_free(struct load_req *r)
{
	g_string_free(r->text, TRUE);
	g_free(r);
}

/* Ends the request of a connection; its handler may send the next one. */
static void
finish(struct conn *c, enum load_result how)
{
	struct load_req *r = c->req;
	struct load_host *host = c->host;

	c->req = NULL;
	if (how == LOAD_COMPLETE && !c->close) {
		c->used = TRUE;
		c->idle = TRUE;
		c->idle_us = pt_now(&sys_clock);
		c->body = BODY_HEAD;
		TAILQ_INSERT_HEAD(&host->idle, c, link);
	} else {
		conn_close(c);
	}
	if (how == LOAD_CUT && c->used && r->repeat && !r->resent &&
	    c->body == BODY_HEAD && c->in->len == 0) {
		r->resent = TRUE;
		r->conn = NULL;
		TAILQ_INSERT_HEAD(&host->waiting, r, link);
	} else {
		r->handler->end(r->arg, how, r->resent);
		req_free(r);
	}
	start(host);
}

static void
set_events(struct conn *c, gboolean out)
{
	struct epoll_event e = { EPOLLIN | (out ? EPOLLOUT : 0), { c } };

	epoll_ctl(c->host->h->ep, EPOLL_CTL_MOD, c->fd, &e);
}

static void
send_more(struct conn *c)
{
	GString *t = c->req->text;
	ssize_t n = 0;
	int err = 0;
	socklen_t len = sizeof(err);

	if (c->connecting) {
		getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &len);
		if (c->refused || err != 0) {
			finish(c, LOAD_REFUSED);
			return;
		}
		c->connecting = FALSE;
	}
	while (c->sent < t->len) {
		n = send(c->fd, t->str + c->sent, t->len - c->sent,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0)
			break;
		c->sent += (gsize)n;
	}
	/* After any other error an answer may still be readable. */
	set_events(c, n < 0 && errno == EAGAIN);
}

static struct conn *
conn_new(struct load_host *host)
{
	struct epoll_event e = { EPOLLIN | EPOLLOUT, { NULL } };
	struct conn *c;
	int on = 1;

	c = g_new0(struct conn, 1);
	c->host = host;
	c->in = g_string_new(NULL);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		g_error(
		    "cannot create a socket: %s; raise the limit of open files",
		    g_strerror(errno));
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->connecting = TRUE;
	host->n++;
	/* The first event also reports a connect() that failed at once. */
	c->refused = connect(c->fd, (struct sockaddr *)&host->addr,
			 sizeof(host->addr)) != 0 &&
		     errno != EINPROGRESS;
	e.data.ptr = c;
	epoll_ctl(host->h->ep, EPOLL_CTL_ADD, c->fd, &e);
	return c;
}

static void
assign(struct conn *c, struct load_req *r)
{
	c->req = r;
	c->sent = 0;
	c->body = BODY_HEAD;
	g_string_truncate(c->in, 0);
	r->conn = c;
	if (!c->connecting)
		send_more(c);
}

/* Assigns connections to waiting requests. */
static void
start(struct load_host *host)
{
	struct load_req *r;
	struct conn *c;

	while ((r = TAILQ_FIRST(&host->waiting)) != NULL) {
		c = TAILQ_FIRST(&host->idle);
		if (c != NULL &&
		    (r->resent || pt_now(&sys_clock) - c->idle_us > IDLE_US)) {
			conn_close(c);
			continue;
		}
		if (c == NULL && host->n >= host->max)
			return;
		TAILQ_REMOVE(&host->waiting, r, link);
		if (c != NULL) {
			TAILQ_REMOVE(&host->idle, c, link);
			c->idle = FALSE;
		} else {
			c = conn_new(host);
		}
		assign(c, r);
	}
}

char *
load_header(const char *headers, const char *name)
{
	gsize n = strlen(name);
	const char *p, *end;

	for (p = strstr(headers, "\r\n"); p != NULL; p = strstr(p, "\r\n")) {
		p += 2;
		if (g_ascii_strncasecmp(p, name, n) != 0 || p[n] != ':')
			continue;
		end = strstr(p, "\r\n");
		return g_strstrip(g_strndup(
		    p + n + 1, end != NULL ? (gsize)(end - p) - n - 1 : 0));
	}
	return NULL;
}

/* Parses status and framing of an answer; false if they are malformed. */
static gboolean
parse_head(struct conn *c)
{
	char *length, *coding, *kept;
	guint status;

	if (!g_str_has_prefix(c->in->str, "HTTP/1.") || c->in->len < 12)
		return FALSE;
	status = (guint)g_ascii_strtoull(c->in->str + 9, NULL, 10);
	length = load_header(c->in->str, "Content-Length");
	coding = load_header(c->in->str, "Transfer-Encoding");
	kept = load_header(c->in->str, "Connection");
	c->close = kept != NULL && g_ascii_strcasecmp(kept, "close") == 0;
	c->remaining = length != NULL ? g_ascii_strtoull(length, NULL, 10) : 0;
	if (coding != NULL && g_ascii_strcasecmp(coding, "chunked") == 0)
		c->body = BODY_SIZE;
	else if (length != NULL || status == 204 || status == 304)
		c->body = c->remaining > 0 ? BODY_LENGTH : BODY_DONE;
	else
		c->body = BODY_CLOSE;
	g_free(length);
	g_free(coding);
	g_free(kept);
	c->req->handler->head(c->req->arg, status, c->in->str);
	return TRUE;
}

/* Appends bytes up to the end of a line to "in"; true once it is complete. */
static gboolean
read_line(struct conn *c, const char **p, gsize *len)
{
	const char *nl = memchr(*p, '\n', *len);
	gsize n = nl != NULL ? (gsize)(nl - *p) + 1 : *len;

	g_string_append_len(c->in, *p, (gssize)n);
	*p += n;
	*len -= n;
	return nl != NULL;
}

/* Parses a complete line outside of the body; false if it is malformed. */
static gboolean
parse_line(struct conn *c)
{
	gboolean blank = c->in->str[0] == '\r' || c->in->str[0] == '\n';
	gboolean ok = TRUE;

	switch (c->body) {
	case BODY_HEAD:
		if (!g_str_has_suffix(c->in->str, "\r\n\r\n"))
			return c->in->len < HEAD_MAX;
		ok = parse_head(c);
		break;
	case BODY_SIZE:
		ok = g_ascii_isxdigit(c->in->str[0]);
		c->remaining = g_ascii_strtoull(c->in->str, NULL, 16);
		c->body = c->remaining > 0 ? BODY_CHUNK : BODY_TRAILER;
		break;
	case BODY_CHUNK_END:
		ok = blank;
		c->body = BODY_SIZE;
		break;
	default: /* BODY_TRAILER */
		if (blank)
			c->body = BODY_DONE;
		break;
	}
	g_string_truncate(c->in, 0);
	return ok;
}

/* Parses received bytes; false if they are malformed. */
static gboolean
parse(struct conn *c, const char *p, gsize len)
{
	gsize n;

	while (len > 0 && c->body != BODY_DONE) {
		if (c->body != BODY_LENGTH && c->body != BODY_CHUNK &&
		    c->body != BODY_CLOSE) {
			if (read_line(c, &p, &len) ? !parse_line(c)
						   : c->in->len > HEAD_MAX)
				return FALSE;
			if (c->req == NULL)
				return TRUE; /* cancelled by the handler */
			continue;
		}
		n = c->body == BODY_CLOSE ? len : MIN(len, c->remaining);
		/* The handler may cancel the request, which clears c->req. */
		/* cppcheck-suppress nullPointerRedundantCheck */
		c->req->handler->data(c->req->arg, p, n);
		if (c->req == NULL)
			return TRUE;
		p += n;
		len -= n;
		if (c->body == BODY_CLOSE)
			continue;
		c->remaining -= n;
		if (c->remaining == 0)
			c->body =
			    c->body == BODY_LENGTH ? BODY_DONE : BODY_CHUNK_END;
	}
	return len == 0;
}

static void
receive(struct conn *c)
{
	static char buf[BUF];
	ssize_t n;

	n = recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (c->req == NULL) {
		conn_close(c); /* closed while idle, or unexpected bytes */
	} else if (n <= 0) {
		c->close = TRUE;
		finish(c,
		    c->body == BODY_CLOSE && n == 0 ? LOAD_COMPLETE : LOAD_CUT);
	} else if (!parse(c, buf, (gsize)n)) {
		c->close = TRUE;
		finish(c, LOAD_CUT);
	} else if (c->req != NULL && c->body == BODY_DONE) {
		finish(c, LOAD_COMPLETE);
	}
}

static void
free_closed(struct load_http *h)
{
	struct conn *c, *next;

	for (c = TAILQ_FIRST(&h->closed_conns); c != NULL; c = next) {
		next = TAILQ_NEXT(c, link);
		g_string_free(c->in, TRUE);
		g_free(c);
	}
	TAILQ_INIT(&h->closed_conns);
}

static gboolean
dispatch(GSource *s, GSourceFunc cb, gpointer arg)
{
	return cb(arg);
}

static gboolean
on_events(gpointer p)
{
	struct epoll_event e[EVENTS];
	struct load_http *h = p;
	struct conn *c;
	int i, n;

	n = epoll_wait(h->ep, e, EVENTS, 0);
	for (i = 0; i < n; i++) {
		c = e[i].data.ptr;
		if (!c->closed && c->req != NULL &&
		    (c->connecting || (e[i].events & EPOLLOUT) != 0))
			send_more(c);
		if (!c->closed && !c->connecting &&
		    (e[i].events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
			receive(c);
	}
	free_closed(h);
	return G_SOURCE_CONTINUE;
}

struct load_http *
load_http_new(void)
{
	static GSourceFuncs funcs = { NULL, NULL, dispatch, NULL, NULL, NULL };
	struct load_http *h;

	h = g_new0(struct load_http, 1);
	h->ep = epoll_create1(EPOLL_CLOEXEC);
	TAILQ_INIT(&h->hosts);
	TAILQ_INIT(&h->closed_conns);
	h->source = g_source_new(&funcs, sizeof(GSource));
	g_source_add_unix_fd(h->source, h->ep, G_IO_IN);
	g_source_set_callback(h->source, on_events, h, NULL);
	g_source_attach(h->source, NULL);
	return h;
}

struct load_host *
load_add_host(struct load_http *h, const char *ip, guint port, guint max)
{
	struct load_host *host;

	host = g_new0(struct load_host, 1);
	host->h = h;
	host->max = max;
	host->addr.sin_family = AF_INET;
	host->addr.sin_port = htons((guint16)port);
	inet_pton(AF_INET, ip, &host->addr.sin_addr);
	TAILQ_INIT(&host->idle);
	TAILQ_INIT(&host->waiting);
	TAILQ_INSERT_TAIL(&h->hosts, host, link);
	return host;
}

struct load_req *
load_send(struct load_host *host, GString *text, gboolean repeat,
    const struct load_handler *handler, void *arg)
{
	struct load_req *r;

	r = g_new0(struct load_req, 1);
	r->host = host;
	r->text = text;
	r->repeat = repeat;
	r->handler = handler;
	r->arg = arg;
	TAILQ_INSERT_TAIL(&host->waiting, r, link);
	start(host);
	return r;
}

void
load_cancel(struct load_req *r)
{
	struct load_host *host = r->host;

	if (r->conn != NULL) {
		r->conn->req = NULL;
		conn_close(r->conn);
	} else {
		TAILQ_REMOVE(&host->waiting, r, link);
	}
	req_free(r);
	start(host);
}

/* Every request must have ended or been cancelled. */
void
load_http_free(struct load_http *h)
{
	struct load_host *host, *next;
	struct conn *c, *after;

	for (host = TAILQ_FIRST(&h->hosts); host != NULL; host = next) {
		next = TAILQ_NEXT(host, link);
		for (c = TAILQ_FIRST(&host->idle); c != NULL; c = after) {
			after = TAILQ_NEXT(c, link);
			conn_close(c);
		}
		g_free(host);
	}
	free_closed(h);
	g_source_destroy(h->source);
	g_source_unref(h->source);
	close(h->ep);
	g_free(h);
}
