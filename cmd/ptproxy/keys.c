/*
 * Keys of organisations.  The entry node of a request checks its key, and the
 * node of the upstream checks it again before the request starts, each against
 * the configuration that it has in force.  Where the settings bound the time
 * for which a key that was taken away is still accepted, a node that cannot
 * show that its configuration was current within that time accepts no key.
 */
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#include "sysio.h"
#include "rpcio.h"
#include "h1.h"
#include "rtab.h"
#include "reg.h"
#include "memb.h"
#include "call.h"
#include "limit.h"
#include "platform.h"
#include "proxy.h"

/*
 * Percent of the bound within which keys are accepted.  The rest covers clocks
 * of different speed.
 */
#define TRUST_PERCENT 90
/*
 * Percent of the bound from which this node asks others how current their
 * configuration is.  Below it, the responses to its requests tell.
 */
#define ASK_PERCENT 25
/* Interval at which this is checked. */
#define CHECK_US (400 * G_TIME_SPAN_MILLISECOND)
/* Nodes that are asked at a time. */
#define ASK_NODES 2

struct keys {
	struct proxy *proxy;
	guint timer;
	gboolean stopped; /* as logged last */
};

static gint64
share_of_bound(const struct proxy *p, int percent)
{
	return p->set->revoke / 100 * percent;
}

gint64
keys_config_age(const struct proxy *p)
{
	return rtab_fresh_age(&p->fresh, pt_now(&p->clock));
}

gboolean
keys_accepted(const struct proxy *p)
{
	gint64 age;

	if (p->set->revoke == 0)
		return TRUE;
	age = keys_config_age(p);
	return age >= 0 && age < share_of_bound(p, TRUST_PERCENT);
}

enum key_verdict
keys_check(struct proxy *p, const struct rtab_route *route, const char *text,
    struct key_holder *holder)
{
	const struct rtab_org *org = NULL;

	memset(holder, 0, sizeof(*holder));
	if (!rtab_requires_keys(p->rtab))
		return KEY_ACCEPTED;
	if (!route->open && !keys_accepted(p))
		return KEY_UNCERTAIN;
	if (text != NULL) {
		rtab_key_of(text, &holder->key);
		org = rtab_org_by_key(p->rtab, &holder->key);
	}
	if (org == NULL)
		return route->open ? KEY_ACCEPTED : KEY_UNKNOWN;
	holder->org = g_strdup(org->name);
	holder->version = rtab_version(p->rtab);
	return KEY_ACCEPTED;
}

gboolean
keys_revoked(const struct proxy *p, const struct fwd *fwd)
{
	return fwd->org != NULL && p->rtab != NULL &&
	       rtab_version(p->rtab) >= fwd->version &&
	       rtab_requires_keys(p->rtab) &&
	       rtab_org_by_key(p->rtab, &fwd->key) == NULL;
}

/* ---- how current the configuration is ---- */

void
keys_put_age(const struct proxy *p, GString *s)
{
	if (p->set->revoke > 0 && p->rtab != NULL)
		peerhdr_config_put(
		    s, rtab_version(p->rtab), keys_config_age(p));
}

void
keys_heard_age(struct proxy *p, const struct h1_head *h, gint64 asked_at)
{
	gint64 version, age, own;

	if (!peerhdr_config_read(h, &version, &age) || p->set->revoke == 0)
		return;
	own = p->rtab != NULL ? rtab_version(p->rtab) : 0;
	rtab_fresh_heard(&p->fresh, own, version, asked_at - age);
	if (version > own)
		source_notify(p->source);
}

/* A random present member, of this failure domain unless "any". */
static const struct memb_member *
random_member(const struct proxy *p, gboolean any)
{
	const struct memb_member *m = NULL, *chosen = NULL;
	gint32 n = 0;

	for (;;) {
		m = any ? memb_next(p->memb, m)
			: memb_next_in_domain(p->memb, p->set->domain, m);
		if (m == NULL)
			return chosen;
		if (m != memb_self(p->memb) && memb_present(m) &&
		    g_rand_int_range(p->rand, 0, ++n) == 0)
			chosen = m;
	}
}

static void
ask_others(struct keys *k)
{
	const struct memb_member *m;
	int i;

	for (i = 0; i < ASK_NODES; i++) {
		m = random_member(k->proxy, i > 0);
		if (m != NULL)
			peers_probe(k->proxy->peers, m);
	}
}

static void
log_change(struct keys *k, gint64 age)
{
	gboolean stopped = !keys_accepted(k->proxy);

	if (stopped == k->stopped)
		return;
	k->stopped = stopped;
	pt_event(&k->proxy->events, stopped ? PT_LEVEL_WARNING : PT_LEVEL_INFO,
	    stopped ? "keys-stopped" : "keys-resumed",
	    "version=%" G_GINT64_FORMAT " config_age_ms=%" G_GINT64_FORMAT,
	    rtab_version(k->proxy->rtab),
	    age >= 0 ? age / G_TIME_SPAN_MILLISECOND : -1);
}

static void
check(void *arg)
{
	struct keys *k = arg;
	struct proxy *p = k->proxy;
	gint64 age = keys_config_age(p);

	k->timer = sys_after(CHECK_US, check, k);
	if (p->set->revoke == 0 || p->rtab == NULL ||
	    !rtab_requires_keys(p->rtab))
		return;
	if (age < 0 || age > share_of_bound(p, ASK_PERCENT))
		ask_others(k);
	log_change(k, age);
}

struct keys *
keys_new(struct proxy *p)
{
	struct keys *k = g_new0(struct keys, 1);

	k->proxy = p;
	k->timer = sys_after(CHECK_US, check, k);
	return k;
}

void
keys_free(struct keys *k)
{
	if (k == NULL)
		return;
	sys_cancel(&k->timer);
	g_free(k);
}
