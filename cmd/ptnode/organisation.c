/* Organisations of callers, told by the key in the header Pt-Key. */
#include <glib.h>
#include <gio/gio.h>
#include <sys/queue.h>
#include <rpc/rpc.h>
#include <string.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "httpio.h"
#include "conf.h"
#include "memb.h"
#include "dist.h"
#include "call.h"
#include "settings.h"
#include "node.h"
#include "entry.h"

#define KEY_HEADER "Pt-Key"
#define NAME_HEADER "Pt-Organisation"

/* SHA-256 of the key as in the configuration; the key itself is not kept. */
static const struct conf_organisation *
find_by_key(const struct conf *c, const char *key)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	char digest[PT_DIGEST_LEN];
	gsize n = sizeof(digest);

	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	g_checksum_get_digest(sum, (guint8 *)digest, &n);
	g_checksum_free(sum);
	return conf_organisation_by_key(c, digest);
}

/*
 * A request with an idempotency key may have run before its organisation's key
 * was removed.
 */
static void
refuse(struct entry *e, struct httpio_req *r, const char *text)
{
	struct httpio_header h[3] = { { "Pt-Outcome", "not-run" },
		{ "Content-Type", "text/plain; charset=utf-8" },
		{ "WWW-Authenticate", KEY_HEADER } };

	if (httpio_req_header(r, "Idempotency-Key") != NULL)
		h[0].value = "unknown";
	e->refused++;
	httpio_response(r, 401, h, 3, text, strlen(text));
}

gboolean
organisation_identify(struct entry *e, struct httpio_req *r, gboolean open,
    const struct conf_organisation **org)
{
	const struct conf *c = e->node->conf;
	const char *key = httpio_req_header(r, KEY_HEADER);

	/* An empty header is no key, whatever hash is declared. */
	if (key != NULL && *key == '\0')
		key = NULL;
	*org = NULL;
	if (conf_organisation_at(c, 0) == NULL)
		return TRUE;
	if (key != NULL)
		*org = find_by_key(c, key);
	if (*org != NULL || (key == NULL && open))
		return TRUE;
	if (key == NULL) {
		e->without_key++;
		refuse(e, r,
		    "this request needs the header " KEY_HEADER
		    " with a key of an organisation; repeat it with one\n");
	} else {
		e->unknown_key++;
		refuse(e, r,
		    "no organisation has the key in the header " KEY_HEADER
		    "; repeat the request with a key that is in force\n");
	}
	return FALSE;
}

gboolean
organisation_own_header(const char *name)
{
	return g_ascii_strcasecmp(name, KEY_HEADER) == 0 ||
	       g_ascii_strcasecmp(name, NAME_HEADER) == 0;
}

void
organisation_fill_header(const char *name, struct pt_header *h)
{
	h->name = (char *)NAME_HEADER;
	h->value = (char *)name;
}

const char *
organisation_of_call(const struct pt_call *call)
{
	const struct pt_header *h = call->headers.headers_val;
	guint i;

	for (i = 0; i < call->headers.headers_len; i++, h++)
		if (g_ascii_strcasecmp(h->name, NAME_HEADER) == 0)
			return h->value;
	return NULL;
}
