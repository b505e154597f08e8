#include <gio/gio.h>
#include <rpc/rpc.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"

struct client {
	struct client *next, **prev;
	struct rpcio_server *server;
	struct rpcio_conn *conn;
	struct rpcio_req *reqs;
	guint64 id; /* of the connection */
};

struct rpcio_req {
	struct rpcio_req *next, **prev; /* calls of the connection */
	struct client *client; /* NULL: connection closed */
	guint64 id; /* of the connection */
	guint32 xid;
	const struct rpcio_proc *proc;
	struct rpcio_stats *stats;
	void *args;
};

struct rpcio_server {
	struct rpcio_server_opts o;
	struct rpcio_stats stats; /* if the options have none */
	struct rpcio_listener *listener;
	struct client *clients;
};

static guint64 last_conn_id;

static gboolean
reply_head(XDR *x, void *arg)
{
	return xdr_replymsg(x, arg);
}

static struct rpcio_msg *
reply_new(guint32 xid, enum accept_stat stat, xdrproc_t proc, const void *value)
{
	struct rpc_msg m = { 0 };

	m.rm_xid = xid;
	m.rm_direction = REPLY;
	m.rm_reply.rp_stat = MSG_ACCEPTED;
	m.acpted_rply.ar_verf = _null_auth;
	m.acpted_rply.ar_stat = stat;
	m.acpted_rply.ar_vers.low = PT_V1;
	m.acpted_rply.ar_vers.high = PT_V1;
	if (stat == SUCCESS) {
		m.acpted_rply.ar_results.where = NULL;
		m.acpted_rply.ar_results.proc = rpcio_void;
	}
	return rpcio_msg_new(reply_head, &m, proc, value);
}

static void
client_free(struct client *c)
{
	struct rpcio_req *r;

	while ((r = c->reqs) != NULL) {
		c->reqs = r->next;
		r->client = NULL;
		r->next = NULL;
		r->prev = NULL;
	}
	if (c->next != NULL)
		c->next->prev = c->prev;
	*c->prev = c->next;
	rpcio_conn_free(c->conn);
	g_free(c);
}

static void
client_closed(void *ctx, const GError *why)
{
	struct client *c = ctx;
	struct rpcio_server *s = c->server;
	guint64 id = c->id;

	if (g_error_matches(why, PT_ERROR, PT_ERROR_PROTOCOL)) {
		s->o.stats->malformed++;
		pt_event(s->o.events, PT_LEVEL_WARNING, "rpc-bad",
		    "side=server text=\"%s\"", why->message);
	}
	client_free(c);
	if (s->o.closed != NULL)
		s->o.closed(s->o.ctx, id);
}

static void
req_free(struct rpcio_req *r)
{
	if (r->client != NULL) {
		if (r->next != NULL)
			r->next->prev = r->prev;
		*r->prev = r->next;
	}
	if (r->args != NULL) {
		xdr_free(r->proc->args, r->args);
		g_free(r->args);
	}
	g_free(r);
}

static void
req_send(struct rpcio_req *r, struct rpcio_msg *m)
{
	r->stats->out[r->proc->proc] += m->len;
	rpcio_conn_send(r->client->conn, m);
}

void
rpcio_fail(struct rpcio_req *r)
{
	if (r->client != NULL && !r->proc->oneway)
		req_send(r, reply_new(r->xid, SYSTEM_ERR, rpcio_void, NULL));
	req_free(r);
}

void
rpcio_reply(struct rpcio_req *r, const void *res)
{
	struct rpcio_msg *m;

	if (r->client != NULL && !r->proc->oneway) {
		m = reply_new(r->xid, SUCCESS, r->proc->res, res);
		if (m == NULL) {
			rpcio_fail(r);
			return;
		}
		req_send(r, m);
	}
	req_free(r);
}

guint64
rpcio_req_conn(const struct rpcio_req *r)
{
	return r->id;
}

/* Rejects a well-formed call of an unknown program, version or procedure. */
static void
reject(struct client *c, const struct rpc_msg *m)
{
	enum accept_stat stat = PROC_UNAVAIL;

	if (m->rm_call.cb_prog != PT_PROG)
		stat = PROG_UNAVAIL;
	else if (m->rm_call.cb_vers != PT_V1)
		stat = PROG_MISMATCH;
	rpcio_conn_send(c->conn, reply_new(m->rm_xid, stat, rpcio_void, NULL));
}

static gboolean
client_record(void *ctx, const char *data, gsize len)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct client *c = ctx;
	struct rpcio_server *s = c->server;
	const struct rpcio_proc *proc;
	struct rpcio_req *r;
	struct rpc_msg m = { 0 };
	XDR x;

	m.rm_call.cb_cred.oa_base = cred;
	m.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&x, (char *)data, len, XDR_DECODE);
	if (!xdr_callmsg(&x, &m))
		return FALSE;
	proc = rpcio_proc(m.rm_call.cb_proc);
	if (m.rm_call.cb_prog != PT_PROG || m.rm_call.cb_vers != PT_V1 ||
	    proc == NULL) {
		reject(c, &m);
		return TRUE;
	}
	r = g_new0(struct rpcio_req, 1);
	r->xid = m.rm_xid;
	r->proc = proc;
	r->stats = s->o.stats;
	if (proc->args_size > 0) {
		r->args = g_malloc0(proc->args_size);
		if (!pt_decode_compat(proc->args, r->args, proc->args_size,
			data + xdr_getpos(&x), len - xdr_getpos(&x))) {
			req_free(r);
			return FALSE;
		}
	}
	r->client = c;
	r->id = c->id;
	r->next = c->reqs;
	r->prev = &c->reqs;
	if (r->next != NULL)
		r->next->prev = &r->next;
	c->reqs = r;
	s->o.stats->in[proc->proc] += len + RPCIO_MARK_LEN;
	s->o.stats->calls[proc->proc]++;
	s->o.handle(s->o.ctx, r, proc->proc, r->args);
	return TRUE;
}

static const struct rpcio_conn_ops client_ops = { NULL, client_record,
	client_closed, TRUE };

static void
accepted(void *ctx, GSocket *peer)
{
	struct rpcio_server *s = ctx;
	struct client *c;

	c = g_new0(struct client, 1);
	c->server = s;
	c->id = ++last_conn_id;
	c->next = s->clients;
	c->prev = &s->clients;
	if (c->next != NULL)
		c->next->prev = &c->next;
	s->clients = c;
	c->conn = rpcio_conn_new(peer, FALSE, &client_ops, c);
}

struct rpcio_server *
rpcio_server_new(const struct rpcio_server_opts *o, GError **err)
{
	struct rpcio_server *s;

	s = g_new0(struct rpcio_server, 1);
	s->o = *o;
	if (o->stats == NULL)
		s->o.stats = &s->stats;
	s->listener =
	    rpcio_listen(o->host, o->port, FALSE, accepted, s, o->events, err);
	if (s->listener == NULL)
		g_clear_pointer(&s, g_free);
	return s;
}

guint
rpcio_server_local_port(const struct rpcio_server *s)
{
	return rpcio_listen_local_port(s->listener);
}

void
rpcio_server_free(struct rpcio_server *s)
{
	struct client *c, *next;

	if (s == NULL)
		return;
	for (c = s->clients; c != NULL; c = next) {
		next = c->next;
		client_free(c);
	}
	rpcio_listen_free(s->listener);
	g_free(s);
}
