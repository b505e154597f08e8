/*
 * Checks the lines of a message before http_parser sees them.  It accepts bytes
 * in names, values and chunk lines that other parsers read differently.
 */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <http_parser.h>
#include <string.h>
#include <sys/queue.h>

#include "port.h"
#include "rpcio.h"
#include "h1.h"
#include "conn.h"

enum state {
	START, /* empty lines may precede a message */
	STATUS,
	START_LINE, /* the rest of it */
	START_CR,
	FIELD, /* start of a field line */
	NAME,
	VALUE,
	VALUE_CR,
	END_CR,
	HEAD_END,
	BODY, /* delimited by its length or the connection */
	SIZE, /* first digit of a chunk's size */
	SIZE_MORE,
	EXTENSION,
	SIZE_CR,
	DATA,
	DATA_END,
	DATA_CR,
	MESSAGE_END
};

/* '0' stands for any digit. */
static const char status_line[] = "HTTP/0.0 000";
/* Offset of the status in it. */
#define STATUS_AT 9

static const struct {
	const char *name, *text;
} faults[H1_FAULT_LAST] = {
	[H1_FAULT_NONE] = { "none", "no fault" },
	[H1_FAULT_RESET] = { "reset",
	    "the connection was reset before the end of the response" },
	[H1_FAULT_CLOSED] = { "closed",
	    "the connection was closed before the response" },
	[H1_FAULT_TRUNCATED] = { "truncated", "response truncated" },
	[H1_FAULT_STATUS] = { "status",
	    "the status is not three digits from 100 to 599" },
	[H1_FAULT_INTERIM] = { "interim",
	    "a 1xx response that is not allowed" },
	[H1_FAULT_NAME] = { "field-name",
	    "a field name is empty or has a blank or control byte" },
	[H1_FAULT_VALUE] = { "field-value",
	    "a field value has a control byte or a bare CR" },
	[H1_FAULT_COLON] = { "no-colon", "a field line has no colon" },
	[H1_FAULT_FOLD] = { "folded", "a field line is folded" },
	[H1_FAULT_CHUNK] = { "chunk", "a chunk's size or end is malformed" },
	[H1_FAULT_LENGTH] = { "length",
	    "the length or the transfer coding is not valid" },
	[H1_FAULT_SIZE] = { "size", "a limit of size was exceeded" },
	[H1_FAULT_SYNTAX] = { "syntax", "the start line is malformed" },
};

const char *
h1_fault_name(enum h1_fault f)
{
	return faults[f].name;
}

const char *
h1_fault_text(enum h1_fault f)
{
	return faults[f].text;
}

void
h1_check_start(struct h1_check *k)
{
	memset(k, 0, sizeof(*k));
}

void
h1_check_body(struct h1_check *k, gboolean chunked)
{
	k->trailer = chunked;
	k->state = chunked ? SIZE : BODY;
}

gboolean
h1_check_ended(const struct h1_check *k)
{
	return k->state == HEAD_END || k->state == MESSAGE_END;
}

/* Control bytes other than tab. */
static gboolean
is_control(guchar b)
{
	return (b < ' ' && b != '\t') || b == 0x7f;
}

static gboolean
is_token(guchar b)
{
	return g_ascii_isalnum(b) ||
	       (b != '\0' && strchr("!#$%&'*+-.^_`|~", b) != NULL);
}

static enum h1_fault
on_status(struct h1_check *k, guchar b)
{
	guchar want = status_line[k->at];

	if (want == '\0') {
		if (b != ' ' && b != '\r' && b != '\n')
			return H1_FAULT_STATUS;
		k->state = b == ' ' ? START_LINE : b == '\r' ? START_CR : FIELD;
		return H1_FAULT_NONE;
	}
	if ((want == '0' ? !g_ascii_isdigit(b) : b != want) ||
	    (k->at == STATUS_AT && (b < '1' || b > '5')))
		return k->at >= STATUS_AT ? H1_FAULT_STATUS : H1_FAULT_SYNTAX;
	k->at++;
	return H1_FAULT_NONE;
}

static enum h1_fault
on_start_line(struct h1_check *k, gboolean server, guchar b)
{
	if (k->state == START_CR) {
		k->state = FIELD;
		return b == '\n' ? H1_FAULT_NONE : H1_FAULT_SYNTAX;
	}
	if (b == '\r')
		k->state = START_CR;
	else if (b == '\n')
		k->state = FIELD;
	else if (is_control(b) || (server && b == '\t'))
		return H1_FAULT_SYNTAX;
	return H1_FAULT_NONE;
}

static void
end_fields(struct h1_check *k)
{
	k->state = k->trailer ? MESSAGE_END : HEAD_END;
}

static enum h1_fault
on_field(struct h1_check *k, guchar b)
{
	if (b == ' ' || b == '\t')
		return H1_FAULT_FOLD;
	if (b == '\r')
		k->state = END_CR;
	else if (b == '\n')
		end_fields(k);
	else if (is_token(b))
		k->state = NAME;
	else
		return H1_FAULT_NAME;
	return H1_FAULT_NONE;
}

static enum h1_fault
on_name(struct h1_check *k, guchar b)
{
	if (b == '\r' || b == '\n')
		return H1_FAULT_COLON;
	if (b == ':')
		k->state = VALUE;
	else if (!is_token(b))
		return H1_FAULT_NAME;
	return H1_FAULT_NONE;
}

static enum h1_fault
on_value(struct h1_check *k, guchar b)
{
	if (k->state == VALUE_CR) {
		k->state = FIELD;
		return b == '\n' ? H1_FAULT_NONE : H1_FAULT_VALUE;
	}
	if (b == '\r')
		k->state = VALUE_CR;
	else if (b == '\n')
		k->state = FIELD;
	else if (is_control(b))
		return H1_FAULT_VALUE;
	return H1_FAULT_NONE;
}

static enum h1_fault
on_digit(struct h1_check *k, guchar b)
{
	if (k->left > G_MAXINT64 >> 4)
		return H1_FAULT_CHUNK;
	k->left = k->left << 4 | (guint64)g_ascii_xdigit_value((gchar)b);
	k->state = SIZE_MORE;
	return H1_FAULT_NONE;
}

/* A digit of a chunk's size, or what follows the size. */
static enum h1_fault
on_size(struct h1_check *k, guchar b)
{
	if (g_ascii_isxdigit(b))
		return on_digit(k, b);
	if (k->state == SIZE || strchr("\r; \t", b) == NULL || b == '\0')
		return H1_FAULT_CHUNK;
	k->state = b == '\r' ? SIZE_CR : EXTENSION;
	return H1_FAULT_NONE;
}

static enum h1_fault
on_extension(struct h1_check *k, guchar b)
{
	if (b == '\r')
		k->state = SIZE_CR;
	else if (is_control(b))
		return H1_FAULT_CHUNK;
	return H1_FAULT_NONE;
}

/* The bytes that end a chunk's size line or its data. */
static enum h1_fault
on_chunk_end(struct h1_check *k, guchar b)
{
	guchar want = k->state == DATA_END ? '\r' : '\n';

	if (b != want)
		return H1_FAULT_CHUNK;
	if (k->state == SIZE_CR)
		k->state = k->left > 0 ? DATA : FIELD;
	else
		k->state = k->state == DATA_END ? DATA_CR : SIZE;
	return H1_FAULT_NONE;
}

static enum h1_fault
check_byte(struct h1_check *k, gboolean server, guchar b)
{
	switch ((enum state)k->state) {
	case START:
		if (b == '\r' || b == '\n')
			return H1_FAULT_NONE;
		k->state = server ? START_LINE : STATUS;
		return check_byte(k, server, b);
	case STATUS:
		return on_status(k, b);
	case START_LINE:
	case START_CR:
		return on_start_line(k, server, b);
	case FIELD:
		return on_field(k, b);
	case NAME:
		return on_name(k, b);
	case VALUE:
	case VALUE_CR:
		return on_value(k, b);
	case END_CR:
		end_fields(k);
		return b == '\n' ? H1_FAULT_NONE : H1_FAULT_VALUE;
	case SIZE:
	case SIZE_MORE:
		return on_size(k, b);
	case EXTENSION:
		return on_extension(k, b);
	case SIZE_CR:
	case DATA_END:
	case DATA_CR:
		return on_chunk_end(k, b);
	default:
		return H1_FAULT_SYNTAX;
	}
}

enum h1_fault
h1_check_run(struct h1_check *k, gboolean server, const guint8 *p, gsize *len)
{
	enum h1_fault f;
	gsize i = 0, n;

	while (i < *len && !h1_check_ended(k) && k->state != BODY) {
		if (k->state == DATA) {
			n = (gsize)MIN(k->left, *len - i);
			i += n;
			k->left -= n;
			if (k->left == 0)
				k->state = DATA_END;
			continue;
		}
		f = check_byte(k, server, p[i++]);
		if (f != H1_FAULT_NONE)
			return f;
	}
	if (k->state != BODY)
		*len = i;
	return H1_FAULT_NONE;
}
