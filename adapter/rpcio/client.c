#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"

/* Limit of the unsent bytes to a peer; while it is exceeded, calls fail. */
#define QUEUE_MAX (8 * 1024 * 1024)

struct call {
	struct call *next, **prev; /* in the peer's "calls" or "ending_calls" */
	struct peer *peer;
	const struct rpcio_proc *proc;
	guint32 xid;
	gint64 made_at; /* monotonic time */
	gint64 due; /* monotonic time of the time-out */
	pt_rpc_cb cb;
	void *arg;
	struct rpcio_msg *msg; /* request, NULL once all of it is sent */
	GError *err; /* of a failed call in "ending_calls", else NULL */
};

struct peer {
	struct rpcio_client *client;
	struct rpcio_conn *conn;
	struct call *calls;
	char *host;
	guint port;
	gboolean connecting;
	gint64 heard_at; /* time of the last reply */
	/* A call timed out, and no reply has arrived since it was made. */
	gboolean silent;
	/* Replaced by another connection, but calls still await replies. */
	gboolean retired;
	gint64 due; /* time-out of the connection attempt or of idleness */
};

/*
 * One source serves all time-outs; its prepare function compares "due" with
 * the clock.  g_source_set_ready_time() would wake up the loop once more for
 * each call.
 */
struct due_source {
	GSource base;
	struct rpcio_client *client;
};

struct rpcio_client {
	struct rpcio_client_opts o;
	struct rpcio_stats stats; /* if the options have none */
	GHashTable *peers; /* set of struct peer, by host and port */
	GHashTable *calls; /* xid -> struct call */
	/* List of failed and one-way calls, which the main loop ends. */
	struct call *ending_calls;
	struct due_source *source;
	gint64 due; /* next wake-up, not after the earliest time-out */
	guint32 xid; /* of the last call */
};

static guint
peer_hash(gconstpointer p)
{
	const struct peer *peer = p;

	return g_str_hash(peer->host) ^ peer->port;
}

static gboolean
peer_equal(gconstpointer a, gconstpointer b)
{
	const struct peer *p = a, *q = b;

	if (p->retired || q->retired)
		return p == q;
	return p->port == q->port && strcmp(p->host, q->host) == 0;
}

static void
call_link(struct call *k, struct call **list)
{
	k->next = *list;
	k->prev = list;
	if (k->next != NULL)
		k->next->prev = &k->next;
	*list = k;
}

static void
call_unlink(struct call *k)
{
	if (k->next != NULL)
		k->next->prev = k->prev;
	*k->prev = k->next;
}

static void
call_end(struct call *k, void *res, const GError *err)
{
	if (k->cb != NULL)
		k->cb(k->arg, res, err);
	g_clear_error(&k->err);
	g_free(k);
}

static GError *
no_reply_error(const struct call *k, const char *why)
{
	if (k->msg != NULL && k->msg->sent == 0)
		return g_error_new(PT_ERROR, PT_ERROR_UNREACHABLE,
		    "%s; the request was not sent", why);
	return g_error_new(PT_ERROR, PT_ERROR_UNKNOWN,
	    "%s; the request was sent and may have taken effect", why);
}

/*
 * Fails the calls of a list with an error that says whether the request was
 * sent.  The client must no longer refer to the list, since callbacks may
 * make new calls.
 */
static void
fail_calls(struct call *list, const char *why)
{
	struct call *k, *next;
	GError *err;

	for (k = list; k != NULL; k = next) {
		next = k->next;
		err = no_reply_error(k, why);
		if (k->msg != NULL && k->msg->sent == 0)
			rpcio_conn_drop(k->peer->conn, k->msg);
		else if (k->msg != NULL)
			k->msg->slot = NULL;
		call_end(k, NULL, err);
		g_error_free(err);
	}
}

static void
peer_free(struct peer *p, const char *why)
{
	struct rpcio_client *c = p->client;
	struct call *k;

	g_hash_table_remove(c->peers, p);
	for (k = p->calls; k != NULL; k = k->next)
		g_hash_table_remove(c->calls, GUINT_TO_POINTER(k->xid));
	fail_calls(p->calls, why);
	rpcio_conn_free(p->conn);
	g_free(p->host);
	g_free(p);
}

static void
peer_closed(void *ctx, const GError *err)
{
	struct peer *p = ctx;
	char *why;

	if (g_error_matches(err, PT_ERROR, PT_ERROR_PROTOCOL)) {
		p->client->o.stats->malformed++;
		pt_event(p->client->o.events, PT_LEVEL_WARNING, "rpc-bad",
		    "side=client peer=%s:%u text=\"%s\"", p->host, p->port,
		    err->message);
	}
	why = g_strdup_printf(
	    "connection to %s:%u: %s", p->host, p->port, err->message);
	peer_free(p, why);
	g_free(why);
}

static void
lower_due(struct rpcio_client *c, gint64 due)
{
	c->due = MIN(c->due, due);
}

/*
 * A connection that has fallen silent is closed as soon as it is idle: the host
 * may have lost power, and a later call on it would time out as well.  A new
 * call gets another connection already before that, since frequent calls might
 * never leave the silent one idle.
 */
static void
peer_start_idle(struct peer *p)
{
	if (p->connecting || p->calls != NULL)
		return;
	p->due = 0;
	if (!p->silent)
		p->due = g_get_monotonic_time() + p->client->o.idle_ms * 1000LL;
	lower_due(p->client, p->due);
}

static void
peer_connected(void *ctx)
{
	struct peer *p = ctx;

	p->connecting = FALSE;
	p->due = G_MAXINT64;
	peer_start_idle(p);
}

/* True if the result may have unknown fields of a newer minor version. */
static gboolean
newer_minor(const struct rpcio_proc *p, const void *res)
{
	int proto;

	if (p->res_size < sizeof(proto))
		return FALSE;
	memcpy(&proto, res, sizeof(proto));
	return proto > PT_PROTO && pt_proto_supported(proto);
}

/* Decodes a reply; FALSE if it is malformed. */
static gboolean
reply_decode(const struct call *k, const char *data, gsize len, void *res,
    enum accept_stat *stat)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg m = { 0 };
	XDR x;

	m.acpted_rply.ar_verf.oa_base = verf;
	m.acpted_rply.ar_results.where = res;
	m.acpted_rply.ar_results.proc = k->proc->res;
	xdrmem_create(&x, (char *)data, len, XDR_DECODE);
	if (!xdr_replymsg(&x, &m) ||
	    (xdr_getpos(&x) != len && !newer_minor(k->proc, res)))
		return FALSE;
	*stat = m.rm_reply.rp_stat == MSG_ACCEPTED ? m.acpted_rply.ar_stat
						   : PROG_MISMATCH;
	return TRUE;
}

static void
reply_error(struct call *k, enum accept_stat stat)
{
	GError *err;

	if (stat == SYSTEM_ERR)
		err = g_error_new(PT_ERROR, PT_ERROR_UNKNOWN,
		    "the peer failed to answer %s", k->proc->name);
	else
		err = g_error_new(PT_ERROR, PT_ERROR_PROTOCOL,
		    "the peer does not serve %s of version %d; upgrade it",
		    k->proc->name, PT_V1);
	call_end(k, NULL, err);
	g_error_free(err);
}

static gboolean
peer_record(void *ctx, const char *data, gsize len)
{
	struct peer *p = ctx;
	struct rpcio_client *c = p->client;
	enum accept_stat stat = SUCCESS;
	struct call *k;
	guint32 head[2];
	char *res;

	if (len < sizeof(head))
		return FALSE;
	memcpy(head, data, sizeof(head));
	if (g_ntohl(head[1]) != REPLY)
		return FALSE;
	p->heard_at = g_get_monotonic_time();
	p->silent = FALSE;
	k = g_hash_table_lookup(c->calls, GUINT_TO_POINTER(g_ntohl(head[0])));
	/* Drops a reply to no call of this peer, such as a late one. */
	if (k == NULL || k->peer != p || k->msg != NULL)
		return TRUE;
	res = g_malloc0(MAX(k->proc->res_size, 1));
	if (!reply_decode(k, data, len, res, &stat)) {
		xdr_free(k->proc->res, res);
		g_free(res);
		return FALSE;
	}
	c->o.stats->in[k->proc->proc] += len + RPCIO_MARK_LEN;
	g_hash_table_remove(c->calls, GUINT_TO_POINTER(k->xid));
	call_unlink(k);
	peer_start_idle(p);
	if (stat == SUCCESS) {
		/* call_end() frees "k", but not the static "proc". */
		const struct rpcio_proc *proc = k->proc;

		call_end(k, res, NULL);
		xdr_free(proc->res, res);
	} else {
		reply_error(k, stat);
	}
	g_free(res);
	return TRUE;
}

static const struct rpcio_conn_ops peer_ops = { peer_connected, peer_record,
	peer_closed, FALSE };

static struct peer *
peer_connect(struct rpcio_client *c, const char *host, guint port, GError **err)
{
	GSocketAddress *a;
	GError *why = NULL;
	GSocket *s;
	struct peer *p;
	gboolean done;

	a = rpcio_address(host, port, err);
	if (a == NULL)
		return NULL;
	s = g_socket_new(g_socket_address_get_family(a), G_SOCKET_TYPE_STREAM,
	    G_SOCKET_PROTOCOL_TCP, &why);
	done = FALSE;
	if (s != NULL) {
		g_socket_set_blocking(s, FALSE);
		done = g_socket_connect(s, a, NULL, &why);
	}
	g_object_unref(a);
	if (!done && !g_error_matches(why, G_IO_ERROR, G_IO_ERROR_PENDING)) {
		g_set_error(err, PT_ERROR, PT_ERROR_UNREACHABLE,
		    "connection to %s:%u: %s; the request was not sent", host,
		    port, why->message);
		g_error_free(why);
		g_clear_object(&s);
		return NULL;
	}
	g_clear_error(&why);
	p = g_new0(struct peer, 1);
	p->client = c;
	p->host = g_strdup(host);
	p->port = port;
	p->due = G_MAXINT64;
	p->connecting = !done;
	if (!done) {
		p->due = g_get_monotonic_time() + c->o.connect_ms * 1000LL;
		lower_due(c, p->due);
	}
	p->conn = rpcio_conn_new(s, !done, &peer_ops, p);
	g_hash_table_add(c->peers, p);
	return p;
}

static gboolean
call_head(XDR *x, void *arg)
{
	return xdr_callmsg(x, arg);
}

static struct rpcio_msg *
call_msg(guint32 xid, const struct rpcio_proc *proc, const void *args)
{
	struct rpc_msg m = { 0 };

	m.rm_xid = xid;
	m.rm_direction = CALL;
	m.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	m.rm_call.cb_prog = PT_PROG;
	m.rm_call.cb_vers = PT_V1;
	m.rm_call.cb_proc = proc->proc;
	m.rm_call.cb_cred = _null_auth;
	m.rm_call.cb_verf = _null_auth;
	return rpcio_msg_new(call_head, &m, proc->args, args);
}

static struct peer *
peer_get(struct rpcio_client *c, const char *host, guint port, GError **err)
{
	struct peer key = { .host = (char *)host, .port = port };
	struct peer *p;

	p = g_hash_table_lookup(c->peers, &key);
	if (p != NULL && p->silent && p->calls == NULL) {
		peer_free(p, "no reply in time");
		p = NULL;
	} else if (p != NULL && p->silent) {
		p->retired = TRUE;
		p = NULL;
	}
	if (p == NULL)
		p = peer_connect(c, host, port, err);
	if (p != NULL && rpcio_conn_queued(p->conn) > QUEUE_MAX) {
		g_set_error(err, PT_ERROR, PT_ERROR_UNREACHABLE,
		    "%s:%u does not take what waits to be sent; the request "
		    "was not sent",
		    host, port);
		p = NULL;
	}
	return p;
}

/* Ends the call from the main loop, as no callback may run in client_call(). */
static void
call_end_later(struct rpcio_client *c, struct call *k)
{
	k->peer = NULL;
	call_link(k, &c->ending_calls);
	c->due = 0;
}

static void
client_call(void *ctx, const char *host, guint port, guint proc,
    const void *args, guint timeout_ms, pt_rpc_cb cb, void *arg)
{
	struct rpcio_client *c = ctx;
	struct rpcio_msg *m;
	struct peer *p;
	struct call *k;

	k = g_new0(struct call, 1);
	k->proc = rpcio_proc(proc);
	k->cb = cb;
	k->arg = arg;
	k->xid = ++c->xid;
	m = call_msg(k->xid, k->proc, args);
	if (m == NULL) {
		k->err = g_error_new(PT_ERROR, PT_ERROR_TOO_LARGE,
		    "the arguments of %s exceed their bounds; nothing was sent",
		    k->proc->name);
		call_end_later(c, k);
		return;
	}
	p = peer_get(c, host, port, &k->err);
	if (p == NULL) {
		g_free(m);
		call_end_later(c, k);
		return;
	}
	c->o.stats->out[proc] += m->len;
	c->o.stats->calls[proc]++;
	if (k->proc->oneway) {
		call_end_later(c, k);
		rpcio_conn_send(p->conn, m);
		peer_start_idle(p);
		return;
	}
	if (!p->connecting)
		p->due = G_MAXINT64;
	k->peer = p;
	k->made_at = g_get_monotonic_time();
	k->due = k->made_at + timeout_ms * 1000LL;
	lower_due(c, k->due);
	k->msg = m;
	m->slot = &k->msg;
	call_link(k, &p->calls);
	g_hash_table_insert(c->calls, GUINT_TO_POINTER(k->xid), k);
	rpcio_conn_send(p->conn, m);
}

/* Moves timed-out calls to "expired"; returns the next time-out. */
static gint64
collect_expired(struct rpcio_client *c, gint64 now, struct call **expired)
{
	GHashTableIter it;
	struct call *k;
	gint64 due = G_MAXINT64;
	gpointer v;

	g_hash_table_iter_init(&it, c->calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		k = v;
		if (k->due > now) {
			due = MIN(due, k->due);
			continue;
		}
		g_hash_table_iter_remove(&it);
		call_unlink(k);
		k->peer->silent |= k->peer->heard_at < k->made_at;
		peer_start_idle(k->peer);
		call_link(k, expired);
	}
	return due;
}

/* Returns a peer that did not connect in time or was idle too long. */
static struct peer *
find_expired_peer(struct rpcio_client *c, gint64 now, gint64 *due)
{
	GHashTableIter it;
	struct peer *p;
	gpointer v;

	g_hash_table_iter_init(&it, c->peers);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		p = v;
		if (p->due <= now)
			return p;
		*due = MIN(*due, p->due);
	}
	return NULL;
}

static void
handle_timeouts(struct rpcio_client *c)
{
	struct call *expired = NULL, *k, *next;
	struct peer *p;
	gint64 now = g_get_monotonic_time(), due;
	GError dummy = { 0 };

	c->due = G_MAXINT64;
	due = collect_expired(c, now, &expired);
	lower_due(c, due);
	fail_calls(expired, "no reply in time");
	k = g_steal_pointer(&c->ending_calls);
	for (; k != NULL; k = next) {
		next = k->next;
		call_end(k, k->err == NULL ? &dummy : NULL, k->err);
	}
	due = G_MAXINT64;
	while ((p = find_expired_peer(c, now, &due)) != NULL)
		peer_free(p, "no connection in time");
	lower_due(c, due);
}

static gboolean
due_prepare(GSource *s, gint *timeout)
{
	struct rpcio_client *c = ((struct due_source *)s)->client;
	gint64 left;

	*timeout = -1;
	if (c->due == G_MAXINT64)
		return FALSE;
	left = c->due - g_source_get_time(s);
	*timeout = left <= 0 ? 0 : (gint)MIN((left + 999) / 1000, G_MAXINT);
	return left <= 0;
}

static gboolean
due_check(GSource *s)
{
	struct rpcio_client *c = ((struct due_source *)s)->client;

	return c->due <= g_source_get_time(s);
}

static gboolean
due_dispatch(GSource *s, GSourceFunc cb, gpointer arg)
{
	handle_timeouts(((struct due_source *)s)->client);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs due_funcs = { due_prepare, due_check, due_dispatch, NULL,
	NULL, NULL };

struct rpcio_client *
rpcio_client_new(const struct rpcio_client_opts *o)
{
	struct rpcio_client *c;

	c = g_new0(struct rpcio_client, 1);
	c->o = *o;
	if (o->stats == NULL)
		c->o.stats = &c->stats;
	c->due = G_MAXINT64;
	c->peers = g_hash_table_new(peer_hash, peer_equal);
	c->calls = g_hash_table_new(NULL, NULL);
	c->source =
	    (struct due_source *)g_source_new(&due_funcs, sizeof(*c->source));
	c->source->client = c;
	g_source_attach(&c->source->base, NULL);
	return c;
}

void
rpcio_client_free(struct rpcio_client *c)
{
	GHashTableIter it;
	gpointer p;
	struct call *k, *next;

	if (c == NULL)
		return;
	for (;;) {
		g_hash_table_iter_init(&it, c->peers);
		if (!g_hash_table_iter_next(&it, &p, NULL))
			break;
		peer_free(p, "this program is stopping");
	}
	k = g_steal_pointer(&c->ending_calls);
	for (; k != NULL; k = next) {
		next = k->next;
		call_end(k, NULL, k->err);
	}
	g_source_destroy(&c->source->base);
	g_source_unref(&c->source->base);
	g_hash_table_unref(c->peers);
	g_hash_table_unref(c->calls);
	g_free(c);
}

struct pt_rpc
rpcio_client_port(struct rpcio_client *c)
{
	struct pt_rpc port = { client_call, c };

	return port;
}
