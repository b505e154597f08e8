/*
 * Which node owns a shard of the limits.  A few nodes of each failure domain
 * are members of a group at the platform's store, which divides the parts of a
 * topic among them; a shard belongs to the part of its number.  The others
 * learn the owners from these nodes.
 *
 * A node that gains a shard issues nothing until the time of the former owner
 * has passed, or until that node has confirmed that it has given the shard up.
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

/* Nodes of each failure domain that own shards. */
#define OWNERS_PER_DOMAIN 4
/*
 * Time for which the store assigns shards.  Short outages of the store are
 * bridged; the shards of a node that is lost are without an owner as long.
 */
#define TTL_US (2500 * G_TIME_SPAN_MILLISECOND)
/* Percent of it for which a node counts itself as owner: clocks may differ. */
#define OWN_PERCENT 95
#define JOIN_US (750 * G_TIME_SPAN_MILLISECOND)
/*
 * After a change of the group, members call this often for a few times: a shard
 * has no owner from the call of the former one to the next call of the new one.
 */
#define JOIN_FAST_US (200 * G_TIME_SPAN_MILLISECOND)
#define JOINS_FAST 4
/* Interval at which a node that may become an owner looks for the others. */
#define LOOK_US (6 * G_TIME_SPAN_SECOND)
/* Delay after a failed call. */
#define RETRY_US (250 * G_TIME_SPAN_MILLISECOND)
/* Time-out of a call to the store, and of one to a former owner. */
#define CALL_MS 800
#define RELEASE_MS 500

struct shards {
	struct proxy *proxy;
	struct limit_ledger *ledger;
	guint timer;
	gboolean calling; /* a call to the store is in progress */
	gboolean member; /* of the group */
	gboolean read; /* the owners were read before the first join */
	gint64 generation; /* of the group, 0: none known */
	gint64 called_at; /* start of the join in progress */
	guint fast; /* joins left of JOINS_FAST */
	gint64 from[LIMIT_SHARDS]; /* of the own shards, issue from then on */
	gint64 held[LIMIT_SHARDS]; /* generation in which it was owned, or 0 */
	guint gains[LIMIT_SHARDS]; /* times that it was gained */
	gboolean unconfirmed; /* a gain is: read the owners, see confirm() */
	gboolean in_round; /* see confirm() */
	gboolean started; /* has been told its shards */
	char *owners[LIMIT_SHARDS]; /* NULL: not known */
	/* Owners as the store has listed them, for gain(); NULL: not known. */
	char *listed[LIMIT_SHARDS];
	/* name -> time at which the store no longer listed it, 0: it does */
	GHashTable *members;
	gint64 joined_at; /* start of the last join that succeeded */
	gint64 owners_generation;
	gint64 read_generation; /* in which the owners were read */
	guint refs;
	gboolean closed;
};

static void step(void *);

static void
shards_unref(struct shards *s)
{
	guint i;

	if (--s->refs > 0)
		return;
	for (i = 0; i < LIMIT_SHARDS; i++) {
		g_free(s->owners[i]);
		g_free(s->listed[i]);
	}
	g_hash_table_unref(s->members);
	g_free(s);
}

static guint
part_of(const struct shards *s, guint shard)
{
	return shard % s->proxy->set->store_parts;
}

static void
set_text(char **to, const char *from)
{
	if (g_strcmp0(*to, from) == 0)
		return;
	g_free(*to);
	*to = g_strdup(from);
}

static void
set_owner(struct shards *s, guint shard, const char *instance)
{
	set_text(&s->owners[shard], instance);
	set_text(&s->listed[shard], instance);
}

const char *
shards_owner(const struct shards *s, guint shard)
{
	if (limit_ledger_owns(s->ledger, shard))
		return s->proxy->set->instance;
	return s->owners[shard];
}

void
shards_forget(struct shards *s, guint shard)
{
	set_text(&s->owners[shard], NULL);
}

/* An owner that was forgotten is still named: it may respond to others. */
static const char *
named_owner(const struct shards *s, guint shard)
{
	const char *owner = shards_owner(s, shard);

	if (owner == NULL)
		owner = s->listed[shard];
	return owner != NULL ? owner : "";
}

void
shards_tell(const struct shards *s, struct pt_limit_res *res)
{
	guint i;

	res->owners.owners_len = LIMIT_SHARDS;
	res->owners.owners_val = g_new0(pt_name, LIMIT_SHARDS);
	for (i = 0; i < LIMIT_SHARDS; i++)
		res->owners.owners_val[i] = (char *)(guintptr)named_owner(s, i);
	res->generation = s->owners_generation;
}

/*
 * For a shard without a known owner, any word is taken: the former owner names
 * the one that it has given the shard up to, whatever else it knows.
 */
void
shards_heard(struct shards *s, const struct pt_limit_res *res)
{
	gboolean newer = res->generation > s->owners_generation;
	guint i, n = MIN(res->owners.owners_len, LIMIT_SHARDS);
	const char *name;

	for (i = 0; i < n; i++) {
		name = res->owners.owners_val[i];
		if (*name != '\0' && newer)
			set_owner(s, i, name);
		else if (*name != '\0' && s->owners[i] == NULL)
			set_text(&s->owners[i], name);
	}
	if (newer)
		s->owners_generation = res->generation;
}

/* ---- gain and loss ---- */

static void
lose(struct shards *s, guint shard)
{
	limit_ledger_disown(s->ledger, shard);
	s->from[shard] = 0;
	/* Who owns it now is not known. */
	if (s->held[shard] != 0 &&
	    g_strcmp0(s->listed[shard], s->proxy->set->instance) == 0)
		set_text(&s->listed[shard], NULL);
}

gboolean
shards_release(struct shards *s, guint32 set, gint64 generation, const char *to)
{
	gboolean released = TRUE;
	guint i;

	for (i = 0; i < LIMIT_SHARDS; i++) {
		if ((set >> i & 1) == 0)
			continue;
		if (generation <= s->generation &&
		    limit_ledger_owns(s->ledger, i)) {
			released = FALSE;
			continue;
		}
		lose(s, i);
		set_owner(s, i, to);
	}
	return released;
}

/* Members of the group are asked to give the shards of a set up. */
struct round {
	guint refs; /* answers that are awaited, and one while asking */
	struct shards *shards;
	guint32 set; /* a bit for each shard */
	guint gains[LIMIT_SHARDS]; /* when it began, see struct shards */
	gboolean failed; /* one has not responded, or not given them up */
};

/* The answer of a member that is awaited. */
struct asking {
	struct round *round;
	gboolean listed; /* now: without its answer the round fails */
};

static void
issue_now(struct shards *s, guint shard)
{
	s->from[shard] = pt_now(&s->proxy->clock);
	limit_ledger_issue_from(s->ledger, shard, s->from[shard]);
}

static void
round_unref(struct round *r)
{
	struct shards *s = r->shards;
	guint i;

	if (--r->refs > 0)
		return;
	for (i = 0; i < LIMIT_SHARDS && !r->failed && !s->closed; i++)
		if ((r->set >> i & 1) != 0 && s->gains[i] == r->gains[i] &&
		    s->from[i] != 0)
			issue_now(s, i);
	s->in_round = FALSE;
	s->unconfirmed |= r->failed;
	shards_unref(s);
	g_free(r);
}

static void
on_released(void *arg, void *res, const GError *err)
{
	struct asking *q = arg;
	const struct pt_limit_res *a = res;

	q->round->failed |= err != NULL ? q->listed : !a->released;
	round_unref(q->round);
	g_free(q);
}

static void
ask_member(struct round *r, const char *member, gboolean listed)
{
	struct proxy *p = r->shards->proxy;
	const struct memb_member *m = memb_find(p->memb, member);
	struct pt_limit_args a = { .proto = PT_PROTO,
		.from = p->set->instance,
		.shard = r->set,
		.release = r->shards->generation };
	struct asking *q;

	if (m == NULL) {
		r->failed |= listed;
		return;
	}
	q = g_new(struct asking, 1);
	q->round = r;
	q->listed = listed;
	r->refs++;
	p->rpc.call(p->rpc.ctx, m->host, m->rpc_port, PT_LIMIT, &a, RELEASE_MS,
	    on_released, q);
}

/*
 * Members that the store has ceased to list, as long as their time may last: it
 * may have dropped them early, while it was down.  Asks those that other nodes
 * reach.
 */
static void
ask_former(struct round *r, GHashTable *asked)
{
	const struct memb *memb = r->shards->proxy->memb;
	const struct memb_member *m;
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, r->shards->members);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		m = memb_find(memb, name);
		if (m != NULL && m != memb_self(memb) && memb_present(m) &&
		    m->health == PT_ALIVE && g_hash_table_add(asked, name))
			ask_member(r, name, FALSE);
	}
}

/* Own shards that wait for the former owner. */
static guint32
waiting_set(const struct shards *s)
{
	gint64 now = pt_now(&s->proxy->clock);
	guint32 set = 0;
	guint i;

	for (i = 0; i < LIMIT_SHARDS; i++)
		if (s->from[i] > now && limit_ledger_owns(s->ledger, i))
			set |= 1u << i;
	return set;
}

/*
 * The members that the store lists now, or has listed lately, are all that may
 * still issue tokens of a shard gained.  Once all of them have given the shard
 * up, this node issues.  A member that is no longer listed and does not respond
 * has left or ended, or has been dropped after its time.
 */
static void
confirm(struct shards *s, const GArray *owners)
{
	GHashTable *asked = g_hash_table_new(g_str_hash, g_str_equal);
	struct round *r;
	char *member;
	guint i;

	if (s->in_round || waiting_set(s) == 0) {
		g_hash_table_unref(asked);
		return;
	}
	r = g_new0(struct round, 1);
	r->refs = 1;
	r->shards = s;
	r->set = waiting_set(s);
	memcpy(r->gains, s->gains, sizeof(r->gains));
	s->refs++;
	s->in_round = TRUE;
	for (i = 0; i < owners->len; i++) {
		member = g_array_index(owners, struct plat_owner, i).member;
		if (strcmp(member, s->proxy->set->instance) != 0 &&
		    g_hash_table_add(asked, member))
			ask_member(r, member, TRUE);
	}
	ask_former(r, asked);
	g_hash_table_unref(asked);
	round_unref(r);
}

/*
 * TRUE if no other node can have owned the shard since this instance did: the
 * group has not changed, or a process that has just started was listed as the
 * owner before it joined.
 */
static gboolean
owned_before(const struct shards *s, guint shard)
{
	if (s->held[shard] != 0)
		return s->held[shard] == s->generation;
	return !s->started &&
	       g_strcmp0(s->listed[shard], s->proxy->set->instance) == 0;
}

static void
gain(struct shards *s, guint shard, gint64 until)
{
	gint64 now = pt_now(&s->proxy->clock);
	gboolean own = owned_before(s, shard);

	s->gains[shard]++;
	s->from[shard] = own ? now : now + TTL_US;
	limit_ledger_own(s->ledger, shard, s->from[shard], until);
	pt_event(&s->proxy->events, PT_LEVEL_DEBUG, "limit-shard",
	    "shard=%u generation=%" G_GINT64_FORMAT " own=%d", shard,
	    s->generation, own);
	s->unconfirmed |= !own;
}

static gboolean
holds(const struct plat_parts *p, guint part)
{
	guint i;

	for (i = 0; i < p->n; i++)
		if (p->parts[i] == part)
			return TRUE;
	return FALSE;
}

static void
set_shards(struct shards *s, const struct plat_parts *p)
{
	gint64 until = s->called_at + TTL_US / 100 * OWN_PERCENT;
	guint i, n = 0;

	for (i = 0; i < LIMIT_SHARDS; i++) {
		if (!holds(p, part_of(s, i))) {
			lose(s, i);
			continue;
		}
		n++;
		if (limit_ledger_owns(s->ledger, i))
			limit_ledger_own(s->ledger, i, s->from[i], until);
		else
			gain(s, i, until);
		s->held[i] = s->generation;
	}
	s->started = TRUE;
	if (s->fast == JOINS_FAST)
		pt_event(&s->proxy->events, PT_LEVEL_INFO, "limit-shards",
		    "generation=%" G_GINT64_FORMAT " own=%u", p->generation, n);
}

static void
lose_all(struct shards *s)
{
	guint i;

	for (i = 0; i < LIMIT_SHARDS; i++)
		lose(s, i);
}

/* ---- calls to the store ---- */

/*
 * TRUE if enough nodes of this failure domain own shards: a further member of
 * the group would only move shards.  A former process of this instance that is
 * still a member has to be replaced.
 */
static gboolean
domain_has_owners(const struct shards *s)
{
	const char *domain = s->proxy->set->domain;
	const struct memb_member *m;
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	gboolean own = FALSE;
	guint i, n;

	for (i = 0; i < LIMIT_SHARDS; i++) {
		m = s->listed[i] != NULL
			? memb_find(s->proxy->memb, s->listed[i])
			: NULL;
		own |= m != NULL && m == memb_self(s->proxy->memb);
		if (m != NULL && memb_present(m) &&
		    strcmp(m->domain, domain) == 0)
			g_hash_table_add(seen, s->listed[i]);
	}
	n = g_hash_table_size(seen);
	g_hash_table_unref(seen);
	return !own && n >= OWNERS_PER_DOMAIN;
}

static gint64
join_delay(struct shards *s)
{
	if (s->fast == 0)
		return proxy_jitter(s->proxy, JOIN_US);
	s->fast--;
	return JOIN_FAST_US;
}

static void
call_failed(struct shards *s, const char *what, const GError *err)
{
	stats_add(s->proxy->stats, STAT_STORE_ERRORS);
	pt_event(&s->proxy->events, PT_LEVEL_WARNING, "limit-store",
	    "call=%s text=\"%s\"", what, err->message);
	/* The store has given the shards to others, who may be enough. */
	if (s->member && pt_now(&s->proxy->clock) - s->joined_at > TTL_US) {
		s->member = s->read = FALSE;
		s->generation = 0;
		lose_all(s);
	}
	s->timer = sys_after(proxy_jitter(s->proxy, RETRY_US), step, s);
}

static gboolean
is_listed(const GArray *owners, const char *member)
{
	guint i;

	for (i = 0; i < owners->len; i++)
		if (strcmp(g_array_index(owners, struct plat_owner, i).member,
			member) == 0)
			return TRUE;
	return FALSE;
}

/* Notes the members, and those that are no longer listed for TTL_US. */
static void
note_members(struct shards *s, const GArray *owners)
{
	gint64 now = pt_now(&s->proxy->clock), *missing;
	GHashTableIter it;
	gpointer name, value;
	const char *member;
	guint i;

	g_hash_table_iter_init(&it, s->members);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		missing = value;
		if (is_listed(owners, name))
			*missing = 0;
		else if (*missing == 0)
			*missing = now;
		else if (now - *missing > TTL_US)
			g_hash_table_iter_remove(&it);
	}
	for (i = 0; i < owners->len; i++) {
		member = g_array_index(owners, struct plat_owner, i).member;
		if (!g_hash_table_contains(s->members, member))
			g_hash_table_insert(
			    s->members, g_strdup(member), g_new0(gint64, 1));
	}
}

static void
on_owners(void *ctx, const GArray *owners, const GError *err)
{
	struct shards *s = ctx;
	const struct plat_owner *o;
	guint i, shard;

	s->calling = FALSE;
	if (err != NULL) {
		call_failed(s, "owners", err);
		return;
	}
	for (i = 0; i < owners->len; i++) {
		o = &g_array_index(owners, struct plat_owner, i);
		for (shard = 0; shard < LIMIT_SHARDS; shard++)
			if (part_of(s, shard) == o->part)
				set_owner(s, shard, o->member);
	}
	note_members(s, owners);
	s->unconfirmed = FALSE;
	confirm(s, owners);
	s->owners_generation = MAX(s->owners_generation, s->generation);
	s->read_generation = s->generation;
	s->read = TRUE;
	s->timer =
	    sys_after(s->member		     ? join_delay(s)
		      : domain_has_owners(s) ? proxy_jitter(s->proxy, LOOK_US)
					     : 0,
		step, s);
}

static void
read_owners(struct shards *s)
{
	s->calling = TRUE;
	plat_store_owners(
	    s->proxy->store, plat_group_limits(), CALL_MS, on_owners, s);
}

static void
on_joined(void *ctx, const struct plat_parts *p, const GError *err)
{
	struct shards *s = ctx;

	s->calling = FALSE;
	if (err != NULL) {
		call_failed(s, "join", err);
		return;
	}
	if (p->generation != s->generation && s->fast == 0)
		s->fast = JOINS_FAST;
	s->generation = p->generation;
	s->joined_at = s->called_at;
	set_shards(s, p);
	/* After a series of changes, the owners are read once. */
	if (s->unconfirmed ||
	    (s->fast == 0 && s->generation != s->read_generation))
		read_owners(s);
	else
		s->timer = sys_after(join_delay(s), step, s);
}

static void
leave(struct shards *s)
{
	s->member = s->read = FALSE;
	s->generation = 0;
	lose_all(s);
	plat_store_leave(s->proxy->store, plat_group_limits(),
	    s->proxy->set->instance, CALL_MS, NULL, NULL);
}

/*
 * Takes part in the group while the configuration limits an organisation and
 * this node is one of the owners of its failure domain.
 */
static void
step(void *arg)
{
	struct shards *s = arg;
	struct proxy *p = s->proxy;
	gboolean wanted =
	    p->rtab != NULL && rtab_has_limits(p->rtab) && !p->stopping &&
	    (s->member || (memb_joined(p->memb) &&
			      memb_elected(p->memb, OWNERS_PER_DOMAIN)));

	s->timer = 0;
	if (s->calling)
		return;
	if (!wanted) {
		if (s->member)
			leave(s);
		s->timer = sys_after(proxy_jitter(p, JOIN_US), step, s);
		return;
	}
	if (!s->read || (!s->member && domain_has_owners(s))) {
		read_owners(s);
		return;
	}
	if (!s->member)
		s->joined_at = pt_now(&p->clock);
	s->member = s->calling = TRUE;
	s->called_at = pt_now(&p->clock);
	plat_store_join(p->store, plat_group_limits(), p->set->instance, TTL_US,
	    s->generation, CALL_MS, on_joined, s);
}

void
shards_stop(struct shards *s)
{
	if (s->member)
		leave(s);
}

struct shards *
shards_new(struct proxy *p, struct limit_ledger *ledger)
{
	struct shards *s = g_new0(struct shards, 1);

	s->proxy = p;
	s->ledger = ledger;
	s->refs = 1;
	s->members =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->timer = sys_after(proxy_jitter(p, RETRY_US), step, s);
	return s;
}

void
shards_free(struct shards *s)
{
	if (s == NULL)
		return;
	s->closed = TRUE;
	sys_cancel(&s->timer);
	shards_unref(s);
}
