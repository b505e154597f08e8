/* Appends change sets, and finds their outcome by evaluating the log. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "memb.h"
#define DIST_PRIVATE
#include "dist.h"

#define PENDING_MAX 64 /* submit calls in progress at a node */
#define WAIT_MAX_MS 60000
#define HEX_LEN (2 * PT_ID_LEN + 1)

static void
hex(const guint8 id[PT_ID_LEN], char out[HEX_LEN])
{
	guint i;

	for (i = 0; i < PT_ID_LEN; i++)
		g_snprintf(out + 2 * i, 3, "%02x", id[i]);
}

static void
answer(dist_outcome_cb cb, void *arg, const guint8 *id,
    enum pt_verdict_kind kind, gint64 offset, const char *text)
{
	struct pt_outcome out = { 0 };

	memcpy(out.id, id, PT_ID_LEN);
	out.kind = kind;
	out.offset = offset;
	out.text = (char *)text;
	cb(arg, &out);
}

static gboolean
lookup(struct dist *d, const guint8 *id, struct pt_outcome *out)
{
	memset(out, 0, sizeof(*out));
	return d->o.store->outcome(d->o.store->ctx, id, out);
}

/* The reason why this node must not append now, NULL if it may. */
static const char *
refusal(struct dist *d)
{
	struct dist_pending *p;
	const char *from = NULL;
	guint n = 0;

	if (!d->ready)
		return "nothing was appended: this node is booting; "
		       "try another node, or again later";
	if (memb_newest_position(d->o.memb, &from) > dist_position(d) ||
	    d->need_snapshot)
		return "nothing was appended: this node is behind the log; "
		       "try another node, or again later";
	if (d->log_short)
		return "nothing was appended: the log ends before the "
		       "configuration in force, as after a restore from a "
		       "copy; stop all nodes, restore the newest copy, start";
	for (p = LIST_FIRST(&d->pending); p != NULL; p = LIST_NEXT(p, link))
		n++;
	if (n >= PENDING_MAX)
		return "nothing was appended: too many change sets are in "
		       "progress at this node; try again later";
	return NULL;
}

static void
pending_free(struct dist_pending *p)
{
	LIST_REMOVE(p, link);
	g_free(p);
}

static void
finish(struct dist_pending *p, enum pt_verdict_kind kind, gint64 offset,
    const char *text)
{
	if (p->answered)
		return;
	p->answered = TRUE;
	answer(p->cb, p->arg, p->id, kind, offset, text);
}

static void
finish_unknown(struct dist_pending *p)
{
	char id[HEX_LEN], *text;

	hex(p->id, id);
	if (p->offset != 0)
		text = g_strdup_printf("appended at offset %" G_GINT64_FORMAT
				       ", verdict not known yet; run "
				       "\"ptctl outcome %s\"",
		    p->offset, id);
	else
		text = g_strdup_printf("outcome unknown: the log has not "
				       "answered; run \"ptctl outcome %s\"",
		    id);
	finish(p, PT_UNKNOWN, p->offset, text);
	g_free(text);
}

/* Answers the submit calls whose change set has been evaluated. */
void
dist_submit_check(struct dist *d)
{
	struct dist_pending *p, *next;
	struct pt_outcome out;

	for (p = LIST_FIRST(&d->pending); p != NULL; p = next) {
		next = LIST_NEXT(p, link);
		if (!p->answered && lookup(d, p->id, &out))
			finish(p, out.kind, out.offset, out.text);
		else if (!p->answered && p->offset != 0 &&
			 p->offset <= dist_position(d))
			finish_unknown(p);
		if (p->answered && !p->appending)
			pending_free(p);
	}
}

static void
appended(void *arg, gint64 offset, const GError *err)
{
	struct dist_pending *p = arg;
	struct dist *d = p->d;
	char *text;

	p->appending = FALSE;
	if (d->closed) {
		pending_free(p);
		dist_unref(d);
		return;
	}
	dist_log_result(d, err);
	if (err == NULL)
		p->offset = offset;
	else if (!g_error_matches(err, PT_ERROR, PT_ERROR_UNKNOWN) ||
		 PT_MUTANT(MUTANT_UNKNOWN_AS_REFUSED)) {
		text = g_strdup_printf(
		    "nothing was appended: %s; try again later", err->message);
		finish(p, PT_UNREACHABLE, 0, text);
		g_free(text);
	}
	dist_submit_check(d);
	dist_unref(d);
}

#ifdef PT_MUTANTS
static void
ignored(void *arg, gint64 offset, const GError *err)
{
}
#else
#define ignored NULL
#endif

/* The record is a change set of this protocol version with the given id. */
static gboolean
well_formed(const struct pt_submit_args *a)
{
	struct pt_change c = { 0 };
	gboolean ok;

	if (!pt_decode((xdrproc_t)xdr_pt_change, &c, sizeof(c),
		a->record.record_val, a->record.record_len))
		return FALSE;
	ok = c.proto == PT_RECORD && memcmp(c.id, a->id, PT_ID_LEN) == 0;
	xdr_free((xdrproc_t)xdr_pt_change, (char *)&c);
	return ok;
}

static gboolean
in_progress(struct dist *d, const guint8 *id)
{
	struct dist_pending *p;

	for (p = LIST_FIRST(&d->pending); p != NULL; p = LIST_NEXT(p, link)) {
		if (memcmp(p->id, id, PT_ID_LEN) == 0)
			return TRUE;
	}
	return FALSE;
}

static struct dist_pending *
pending_new(struct dist *d, const struct pt_submit_args *a, dist_outcome_cb cb,
    void *arg)
{
	struct dist_pending *p = g_new0(struct dist_pending, 1);

	p->d = d;
	memcpy(p->id, a->id, PT_ID_LEN);
	p->due = pt_now(d->o.clock) + MIN(a->wait_ms, WAIT_MAX_MS) * DIST_MS;
	p->cb = cb;
	p->arg = arg;
	LIST_INSERT_HEAD(&d->pending, p, link);
	return p;
}

void
dist_submit(struct dist *d, const struct pt_submit_args *a, dist_outcome_cb cb,
    void *arg)
{
	const guint8 *id = (const guint8 *)a->id;
	struct dist_pending *p;
	struct pt_outcome out;
	const char *why;
	gboolean again;
	GBytes *b;

	if (!well_formed(a)) {
		answer(cb, arg, id, PT_MALFORMED, 0,
		    "nothing was appended: this is no change set of this "
		    "protocol version with the id given");
		return;
	}
	if (lookup(d, id, &out)) {
		cb(arg, &out);
		return;
	}
	why = refusal(d);
	again = in_progress(d, id);
	if (why != NULL && !again) {
		answer(cb, arg, id, PT_UNREACHABLE, 0, why);
		return;
	}
	p = pending_new(d, a, cb, arg);
	if (again)
		return;
	p->appending = TRUE;
	d->refs++;
	d->stats.log_requests[DIST_LOG_SUBMIT]++;
	b = g_bytes_new(a->record.record_val, a->record.record_len);
	if (PT_MUTANT(MUTANT_APPEND_TWICE))
		d->o.log->append(d->o.log->ctx, "config", b, ignored, NULL);
	d->o.log->append(d->o.log->ctx, "config", b, appended, p);
	g_bytes_unref(b);
}

void
dist_outcome(struct dist *d, const guint8 id[PT_ID_LEN], struct pt_outcome *out)
{
	static char unknown[] =
	    "not among the recent outcomes at this node; it was not appended, "
	    "or this node has not evaluated it yet";

	if (lookup(d, id, out))
		return;
	memcpy(out->id, id, PT_ID_LEN);
	out->offset = 0;
	out->kind = PT_UNKNOWN;
	out->text = unknown;
}

gint64
dist_submit_tick(struct dist *d, gint64 now)
{
	struct dist_pending *p, *next;
	gint64 due = G_MAXINT64;

	for (p = LIST_FIRST(&d->pending); p != NULL; p = next) {
		next = LIST_NEXT(p, link);
		if (!p->answered && p->due <= now)
			finish_unknown(p);
		if (p->answered && !p->appending)
			pending_free(p);
		else if (!p->answered)
			due = MIN(due, p->due);
	}
	return due;
}

void
dist_submit_free(struct dist *d)
{
	struct dist_pending *p, *next;

	for (p = LIST_FIRST(&d->pending); p != NULL; p = next) {
		next = LIST_NEXT(p, link);
		p->answered = TRUE;
		if (!p->appending)
			pending_free(p);
	}
}
