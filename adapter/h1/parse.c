/* Parses messages with http_parser. */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <http_parser.h>
#include <string.h>
#include <sys/queue.h>

#include "port.h"
#include "rpcio.h"
#include "h1.h"
#include "conn.h"

/*
 * Most 1xx responses to one request: a server may send them for ever, each one
 * a complete head.
 */
#define INTERIM_MAX 16

/* Trailers are dropped: as fields of the head they would be forwarded. */
static void
field_end(struct h1_parse *p)
{
	struct h1_field f;

	if (p->name->len == 0)
		return;
	if (p->in_trailer) {
		g_string_truncate(p->name, 0);
		g_string_truncate(p->value, 0);
		return;
	}
	f.name = g_strndup(p->name->str, p->name->len);
	f.value = g_strchomp(g_strndup(p->value->str, p->value->len));
	g_array_append_val(p->head->fields, f);
	g_string_truncate(p->name, 0);
	g_string_truncate(p->value, 0);
}

/* Counts n more bytes of the head; FALSE: a limit of the head is exceeded. */
static gboolean
count_head(struct h1_conn *c, gsize n)
{
	struct h1_parse *p = &c->parse;

	p->head_bytes += n;
	if (p->head_bytes <= c->head_max &&
	    p->head->fields->len < H1_FIELDS_MAX)
		return TRUE;
	p->status = 431;
	p->fault = H1_FAULT_SIZE;
	return FALSE;
}

static int
on_begin(http_parser *hp)
{
	struct h1_conn *c = hp->data;
	struct h1_parse *p = &c->parse;

	h1_head_unref(p->head);
	p->head = g_new0(struct h1_head, 1);
	p->head->refs = 1;
	p->head->length = -1;
	p->head->fields = g_array_new(FALSE, FALSE, sizeof(struct h1_field));
	g_string_truncate(p->target, 0);
	g_string_truncate(p->name, 0);
	g_string_truncate(p->value, 0);
	p->head_bytes = 0;
	p->body_bytes = 0;
	p->in_value = FALSE;
	p->in_trailer = FALSE;
	p->coded = FALSE;
	p->started = TRUE;
	p->begun = c->last_active;
	return 0;
}

static int
on_target(http_parser *hp, const char *s, size_t n)
{
	struct h1_conn *c = hp->data;

	if (!count_head(c, n))
		return -1;
	g_string_append_len(c->parse.target, s, n);
	return 0;
}

static int
on_name(http_parser *hp, const char *s, size_t n)
{
	struct h1_conn *c = hp->data;
	struct h1_parse *p = &c->parse;

	if (p->in_value)
		field_end(p);
	p->in_value = FALSE;
	if (!count_head(c, n))
		return -1;
	g_string_append_len(p->name, s, n);
	return 0;
}

/* The name of a field is complete. */
static void
name_end(struct h1_parse *p)
{
	if (g_ascii_strcasecmp(p->name->str, "Transfer-Encoding") == 0)
		p->coded = TRUE;
	/* http_parser sets it for each name that begins like this one. */
	p->hp.uses_transfer_encoding = p->coded;
	p->in_value = TRUE;
}

static int
on_value(http_parser *hp, const char *s, size_t n)
{
	struct h1_conn *c = hp->data;
	struct h1_parse *p = &c->parse;

	if (!p->in_value)
		name_end(p);
	if (!count_head(c, n))
		return -1;
	g_string_append_len(p->value, s, n);
	return 0;
}

/*
 * Accepts only a single Transfer-Encoding "chunked".  Others are rejected,
 * since two parsers could place the end of such a message differently.
 */
static gboolean
coding_ok(const struct h1_head *h)
{
	const struct h1_field *f;
	guint i, n = 0;

	for (i = 0; i < h->fields->len; i++) {
		f = &g_array_index(h->fields, struct h1_field, i);
		if (g_ascii_strcasecmp(f->name, "Transfer-Encoding") != 0)
			continue;
		if (++n > 1 || g_ascii_strcasecmp(f->value, "chunked") != 0)
			return FALSE;
	}
	return TRUE;
}

/* A request names its host once; HTTP/1.0 may omit it. */
static gboolean
host_ok(const struct h1_head *h)
{
	guint i, n = 0;

	for (i = 0; i < h->fields->len; i++)
		n += g_ascii_strcasecmp(
			 g_array_index(h->fields, struct h1_field, i).name,
			 "Host") == 0;
	return n == 1 || (n == 0 && h->http10);
}

/* A Content-Length that http_parser leaves out, or that int64 does not hold. */
static gboolean
length_ok(const struct h1_head *h)
{
	return h->length >= 0 || h1_head_get(h, "Content-Length") == NULL;
}

static enum h1_fault
check_request(const struct h1_conn *c, const struct h1_head *h)
{
	if (c->parse.hp.method == HTTP_CONNECT || !host_ok(h))
		return H1_FAULT_SYNTAX;
	return H1_FAULT_NONE;
}

/*
 * A 1xx response precedes the final one, has no content, and needs HTTP/1.1.
 * 101 is not allowed, since no request asks for an upgrade.
 */
static enum h1_fault
check_response(struct h1_parse *p, const struct h1_head *h)
{
	if (h->status >= 200)
		return H1_FAULT_NONE;
	p->interim = TRUE;
	if (h->status == 101 || h->http10 || h->chunked || h->length > 0 ||
	    ++p->n_interim > INTERIM_MAX)
		return H1_FAULT_INTERIM;
	return H1_FAULT_NONE;
}

static enum h1_fault
check_head(struct h1_conn *c, const struct h1_head *h)
{
	if (c->parse.hp.http_major != 1)
		return H1_FAULT_SYNTAX;
	if (!coding_ok(h) || !length_ok(h))
		return H1_FAULT_LENGTH;
	return c->server ? check_request(c, h) : check_response(&c->parse, h);
}

static int
on_head(http_parser *hp)
{
	struct h1_conn *c = hp->data;
	struct h1_parse *p = &c->parse;
	struct h1_head *h = p->head;

	field_end(p);
	p->in_trailer = TRUE;
	hp->upgrade = 0;
	h->status = (int)hp->status_code;
	if (c->server) {
		h->method = g_strdup(http_method_str(hp->method));
		h->target = g_strndup(p->target->str, p->target->len);
	}
	/* http_parser does not note it if a tab follows "chunked". */
	if (p->coded && coding_ok(h))
		hp->flags |= F_CHUNKED;
	h->chunked = (hp->flags & F_CHUNKED) != 0;
	if (hp->content_length != G_MAXUINT64)
		h->length = (gint64)hp->content_length;
	h->keep_alive = http_should_keep_alive(hp) != 0;
	h->http10 = hp->http_major == 1 && hp->http_minor == 0;
	h1_check_body(&p->check, h->chunked);
	p->fault = check_head(c, h);
	if (p->fault != H1_FAULT_NONE)
		return -1;
	if (c->body_max > 0 && h->length > c->body_max) {
		p->status = 413;
		p->fault = H1_FAULT_SIZE;
		return -1;
	}
	if (p->interim)
		return 1; /* no body follows */
	c->ops->head(c->ctx, h);
	if (c->freed || c->finishing)
		return -1;
	return c->bodyless || h->status == 204 || h->status == 304 ? 1 : 0;
}

static int
on_body(http_parser *hp, const char *s, size_t n)
{
	struct h1_conn *c = hp->data;

	c->parse.body_bytes += (gint64)n;
	if (c->body_max > 0 && c->parse.body_bytes > c->body_max) {
		c->parse.status = 413;
		c->parse.fault = H1_FAULT_SIZE;
		return -1;
	}
	c->ops->body(c->ctx, s, n);
	return c->freed || c->finishing ? -1 : 0;
}

static int
on_complete(http_parser *hp)
{
	struct h1_conn *c = hp->data;

	c->parse.started = FALSE;
	h1_check_start(&c->parse.check);
	if (c->parse.interim) {
		c->parse.interim = FALSE;
		return 0;
	}
	c->expecting = FALSE;
	c->keep_alive = c->parse.head->keep_alive;
	http_parser_pause(hp, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void
h1_parse_init(struct h1_conn *c)
{
	http_parser_init(
	    &c->parse.hp, c->server ? HTTP_REQUEST : HTTP_RESPONSE);
	c->parse.hp.data = c;
	c->parse.target = g_string_new(NULL);
	c->parse.name = g_string_new(NULL);
	c->parse.value = g_string_new(NULL);
}

void
h1_parse_clear(struct h1_conn *c)
{
	h1_head_unref(c->parse.head);
	g_string_free(c->parse.target, TRUE);
	g_string_free(c->parse.name, TRUE);
	g_string_free(c->parse.value, TRUE);
}

/* The fault that an error of http_parser stands for. */
static enum h1_fault
fault_of(enum http_errno e)
{
	switch (e) {
	case HPE_INVALID_STATUS:
		return H1_FAULT_STATUS;
	case HPE_HEADER_OVERFLOW:
		return H1_FAULT_SIZE;
	case HPE_INVALID_CHUNK_SIZE:
		return H1_FAULT_CHUNK;
	case HPE_INVALID_CONTENT_LENGTH:
	case HPE_UNEXPECTED_CONTENT_LENGTH:
	case HPE_INVALID_TRANSFER_ENCODING:
		return H1_FAULT_LENGTH;
	default:
		return H1_FAULT_SYNTAX;
	}
}

/*
 * Checks and parses the buffered input up to the end of a head or of a message.
 * "*used": the bytes parsed.
 */
static enum h1_fault
parse_part(struct h1_conn *c, gsize *used)
{
	struct h1_parse *p = &c->parse;
	gsize len = c->in->len;
	enum http_errno e;

	p->fault = h1_check_run(&p->check, c->server, c->in->data, &len);
	if (p->fault != H1_FAULT_NONE)
		return p->fault;
	*used = http_parser_execute(
	    &p->hp, &callbacks, (const char *)c->in->data, len);
	if (c->freed || c->finishing)
		return H1_FAULT_NONE;
	e = HTTP_PARSER_ERRNO(&p->hp);
	if (e == HPE_PAUSED)
		http_parser_pause(&p->hp, 0);
	else if (e != HPE_OK && p->fault == H1_FAULT_NONE)
		p->fault = fault_of(e);
	else if (h1_check_ended(&p->check) && p->fault == H1_FAULT_NONE)
		/* http_parser has seen no end here. */
		p->fault = H1_FAULT_SYNTAX;
	return p->fault;
}

/*
 * Parses buffered input until a message is complete.  FALSE: the input is
 * malformed, or the connection was freed or is finishing.  complete() is called
 * after the message was removed from the buffer, since the callback may start
 * the next one.
 */
gboolean
h1_parse_run(struct h1_conn *c)
{
	gsize used;

	while (c->expecting && c->in->len > 0 && !h1_congested(c)) {
		if (parse_part(c, &used) != H1_FAULT_NONE || c->freed ||
		    c->finishing)
			return FALSE;
		g_byte_array_remove_range(c->in, 0, (guint)used);
		if (c->expecting)
			continue;
		c->ops->complete(c->ctx);
		if (c->freed || c->finishing)
			return FALSE;
	}
	return TRUE;
}

/* Handles end of file; TRUE if it completes a response without a length. */
gboolean
h1_parse_eof(struct h1_conn *c)
{
	http_parser *hp = &c->parse.hp;

	if (c->server || !c->expecting || !c->parse.started)
		return FALSE;
	http_parser_execute(hp, &callbacks, NULL, 0);
	if (c->freed || c->expecting)
		return FALSE;
	c->keep_alive = FALSE;
	c->ops->complete(c->ctx);
	return TRUE;
}
