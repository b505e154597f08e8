/*
 * The member table: entries, groups, digests of buckets, and the merge of
 * updates.  The merge is commutative, associative and idempotent, so that the
 * table does not depend on the order in which updates arrive.
 */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>

#include "pt.h"
#include "port.h"
#define MEMB_PRIVATE
#include "memb.h"

static guint64
mix(guint64 x)
{
	x ^= x >> 30;
	x *= G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9);
	x ^= x >> 27;
	x *= G_GUINT64_CONSTANT(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

guint64
memb_hash(const char *name)
{
	guint64 h = G_GUINT64_CONSTANT(0xcbf29ce484222325); /* FNV-1a */

	for (; *name != '\0'; name++)
		h = (h ^ (guchar)*name) * G_GUINT64_CONSTANT(0x100000001b3);
	return mix(h);
}

static guint
entry_hash(gconstpointer p)
{
	return g_str_hash(((const struct memb_entry *)p)->m.instance);
}

static gboolean
entry_equal(gconstpointer a, gconstpointer b)
{
	return g_str_equal(((const struct memb_entry *)a)->m.instance,
	    ((const struct memb_entry *)b)->m.instance);
}

static void
group_free(gpointer p)
{
	struct memb_group *g = p;

	g_ref_string_release((char *)g->name);
	g_free(g);
}

void
memb_table_init(struct memb *m)
{
	m->by_name = g_hash_table_new(entry_hash, entry_equal);
	m->domains =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	m->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	m->order = g_ptr_array_new();
	LIST_INIT(&m->all);
	TAILQ_INIT(&m->update_queue);
}

struct memb_entry *
memb_lookup(const struct memb *m, const char *name)
{
	struct memb_entry key = { 0 };

	key.m.instance = (char *)name;
	return g_hash_table_lookup(m->by_name, &key);
}

static struct memb_group *
group_get(GHashTable *table, const char *name)
{
	struct memb_group *g = g_hash_table_lookup(table, name);

	if (g != NULL)
		return g;
	g = g_new0(struct memb_group, 1);
	g->name = g_ref_string_new_intern(name);
	g_hash_table_insert(table, (char *)g->name, g);
	return g;
}

static void
group_release(GHashTable *table, const struct memb_group *g)
{
	if (LIST_EMPTY(&g->members))
		g_hash_table_remove(table, g->name);
}

gboolean
memb_present(const struct memb_member *m)
{
	return m->health != PT_DEAD && m->state != PT_LEFT;
}

static guint64
entry_digest(const struct memb_entry *e)
{
	guint64 h;

	if (!memb_present(&e->m))
		return 0;
	h = memb_hash(e->m.instance);
	h = mix(h ^ (guint64)e->m.incarnation);
	return mix(h ^ ((guint64)e->m.seq << 8) ^ (guint64)e->m.health);
}

/* Inserts a present member at a random index of the probe order. */
static void
order_add(struct memb *m, struct memb_entry *e)
{
	guint at = g_rand_int_range(m->o.rand, 0, (gint32)m->order->len + 1);
	struct memb_entry *other;

	if (e == m->self)
		return;
	e->order_index = m->order->len;
	g_ptr_array_add(m->order, e);
	other = m->order->pdata[at];
	m->order->pdata[e->order_index] = other;
	other->order_index = e->order_index;
	m->order->pdata[at] = e;
	e->order_index = at;
}

static void
order_remove(struct memb *m, struct memb_entry *e)
{
	guint at = e->order_index;

	if (at == MEMB_NOT_IN_ORDER)
		return;
	g_ptr_array_remove_index_fast(m->order, at);
	if (at < m->order->len)
		((struct memb_entry *)m->order->pdata[at])->order_index = at;
	e->order_index = MEMB_NOT_IN_ORDER;
}

/*
 * Removes an entry from the bucket digest and the counts of its groups ("by"
 * -1), or adds it again after a change (1).
 */
static void
update_counts(struct memb *m, struct memb_entry *e, gint by)
{
	m->buckets[e->bucket] ^= entry_digest(e);
	if (!memb_present(&e->m))
		return;
	e->domain->present += by;
	e->service->present += by;
	if (e->m.health != PT_SUSPECT)
		return;
	e->domain->suspects += by;
	e->service->suspects += by;
	m->n_suspects += by;
}

/*
 * The failure domain of the entry is cut off.  A suspect in it is not declared
 * dead, and no requests are routed to it.
 */
gboolean
memb_entry_cut_off(const struct memb *m, const struct memb_entry *e)
{
	const struct memb_group *g = e->domain;

	return g != m->self->domain && g->suspects >= 2 &&
	       g->suspects * 3 > g->present;
}

static void
set_service(struct memb *m, struct memb_entry *e, const char *service)
{
	struct memb_group *old = e->service;

	if (old != NULL && strcmp(old->name, service) == 0)
		return;
	e->service = group_get(m->services, service);
	e->m.service = e->service->name;
	if (old != NULL) {
		LIST_REMOVE(e, in_service);
		group_release(m->services, old);
	}
	LIST_INSERT_HEAD(&e->service->members, e, in_service);
}

static void
set_domain(struct memb *m, struct memb_entry *e, const char *domain)
{
	struct memb_group *old = e->domain;

	if (old != NULL && strcmp(old->name, domain) == 0)
		return;
	e->domain = group_get(m->domains, domain);
	e->m.domain = e->domain->name;
	if (old != NULL) {
		LIST_REMOVE(e, in_domain);
		group_release(m->domains, old);
	}
	LIST_INSERT_HEAD(&e->domain->members, e, in_domain);
}

/* Allocates both names as one block, which saves 16 bytes per member. */
static void
set_names(struct memb_entry *e, const char *instance, const char *host)
{
	gsize n = strlen(instance) + 1, len = strlen(host) + 1;
	char *block = g_malloc(n + len);

	memcpy(block, instance, n);
	memcpy(block + n, host, len);
	g_free(e->m.instance);
	e->m.instance = block;
	e->m.host = block + n;
}

/*
 * Copies the fields that the instance announces itself.  The entry must have
 * been removed from the counts with update_counts().
 */
static void
copy_fields(struct memb *m, struct memb_entry *e, const struct pt_member *u)
{
	if (e->m.host == NULL || strcmp(e->m.host, u->host) != 0) {
		set_names(e, u->instance, u->host);
		e->has_self = FALSE;
	}
	if (e->m.region == NULL || strcmp(e->m.region, u->region) != 0) {
		if (e->m.region != NULL)
			g_ref_string_release((char *)e->m.region);
		e->m.region = g_ref_string_new_intern(u->region);
	}
	set_domain(m, e, u->domain);
	set_service(m, e, u->service);
	e->m.incarnation = u->incarnation;
	e->m.started = u->started;
	e->m.seq = u->seq;
	e->m.rpc_port = u->rpc_port;
	e->m.gossip_port = u->gossip_port;
	e->m.http_port = u->http_port;
	e->m.slots = CLAMP(u->slots, 0, G_MAXUINT16);
	e->m.state = u->state;
}

/*
 * Ends a change of an entry, which update_counts() has removed from the counts
 * before: counts it again, updates the probe order, queues its update if
 * "spread", and calls changed() of the options.
 */
static void
commit_change(
    struct memb *m, struct memb_entry *e, gboolean was_present, gboolean spread)
{
	gboolean present = memb_present(&e->m);

	update_counts(m, e, 1);
	if (present && !was_present)
		order_add(m, e);
	if (!present && was_present)
		order_remove(m, e);
	if (!present && m->probe == e)
		m->probe = NULL;
	e->since = pt_now(m->o.clock);
	if (spread)
		memb_queue_update(m, e);
	if (m->o.changed != NULL)
		m->o.changed(m->o.ctx, &e->m, FALSE);
}

static struct memb_entry *
entry_new(struct memb *m, const struct pt_member *u)
{
	struct memb_entry *e = g_new0(struct memb_entry, 1);

	e->bucket = memb_hash(u->instance) % PT_BUCKETS;
	e->order_index = MEMB_NOT_IN_ORDER;
	copy_fields(m, e, u);
	e->m.health = u->health;
	LIST_INSERT_HEAD(&m->all, e, all);
	g_hash_table_add(m->by_name, e);
	m->n_all++;
	return e;
}

static void
entry_free(struct memb_entry *e)
{
	g_ref_string_release((char *)e->m.region);
	g_free(e->m.instance);
	g_free(e);
}

void
memb_remove(struct memb *m, struct memb_entry *e)
{
	if (m->o.changed != NULL)
		m->o.changed(m->o.ctx, &e->m, TRUE);
	update_counts(m, e, -1);
	order_remove(m, e);
	if (m->probe == e)
		m->probe = NULL;
	memb_dequeue_update(m, e);
	LIST_REMOVE(e, all);
	LIST_REMOVE(e, in_domain);
	LIST_REMOVE(e, in_service);
	group_release(m->domains, e->domain);
	group_release(m->services, e->service);
	g_hash_table_remove(m->by_name, e);
	m->n_all--;
	entry_free(e);
}

void
memb_table_free(struct memb *m)
{
	struct memb_entry *e;

	while ((e = LIST_FIRST(&m->all)) != NULL) {
		LIST_REMOVE(e, all);
		entry_free(e);
	}
	g_hash_table_destroy(m->by_name);
	g_hash_table_destroy(m->domains);
	g_hash_table_destroy(m->services);
	g_ptr_array_free(m->order, TRUE);
}

void
memb_set_health(struct memb *m, struct memb_entry *e, enum pt_health health)
{
	gboolean was = memb_present(&e->m);

	update_counts(m, e, -1);
	e->m.health = health;
	commit_change(m, e, was, TRUE);
}

void
memb_set_self(struct memb *m, const struct pt_member *u)
{
	gboolean was = TRUE;

	if (m->self == NULL)
		m->self = entry_new(m, u);
	else
		update_counts(m, m->self, -1);
	copy_fields(m, m->self, u);
	m->self->m.health = PT_ALIVE;
	commit_change(m, m->self, was, TRUE);
}

static gboolean
port_ok(int port)
{
	return port > 0 && port <= G_MAXUINT16;
}

static gboolean
update_ok(const struct pt_member *u)
{
	return u->instance[0] != '\0' && u->domain[0] != '\0' &&
	       g_hostname_is_ip_address(u->host) && port_ok(u->rpc_port) &&
	       port_ok(u->gossip_port) && u->http_port >= 0 &&
	       u->http_port <= G_MAXUINT16 && u->incarnation >= 0 &&
	       u->incarnation < MEMB_INCARNATION_MAX &&
	       (guint)u->health <= PT_DEAD && (guint)u->state <= PT_LEFT;
}

static void
report_former(struct memb *m, const struct pt_member *u)
{
	if (m->o.former == NULL || u->incarnation < m->former_incarnation ||
	    (u->incarnation == m->former_incarnation &&
		u->seq <= m->former_seq))
		return;
	m->former_incarnation = u->incarnation;
	m->former_seq = u->seq;
	m->o.former(m->o.ctx, u);
}

/* Refutes a wrong entry of this instance with a higher incarnation. */
static void
merge_self(struct memb *m, const struct pt_member *u)
{
	struct pt_member me;
	struct memb_entry *e = m->self;

	if (u->started != e->m.started)
		report_former(m, u);
	if (u->incarnation < e->m.incarnation)
		return;
	if (u->incarnation == e->m.incarnation && u->health == PT_ALIVE &&
	    u->seq <= e->m.seq)
		return;
	if ((m->leaving && u->incarnation == e->m.incarnation) ||
	    PT_MUTANT(MUTANT_NO_REFUTATION))
		return;
	if (u->incarnation > e->m.incarnation && u->health == PT_ALIVE &&
	    u->state != PT_LEFT &&
	    (strcmp(u->host, e->m.host) != 0 || u->rpc_port != e->m.rpc_port))
		pt_event(m->o.events, PT_LEVEL_WARNING, "name-in-use",
		    "instance=%s host=%s", u->instance, u->host);
	m->stats.refuted++;
	memb_to_wire(e, &me);
	me.incarnation = u->incarnation + 1;
	me.host = g_strdup(me.host);
	memb_set_self(m, &me);
	g_free(me.host);
}

/*
 * The update changes the entry.  A higher incarnation replaces it; at the same
 * incarnation, a higher sequence number and a worse health prevail.
 */
static gboolean
supersedes(const struct memb_entry *e, const struct pt_member *u)
{
	if (u->incarnation != e->m.incarnation)
		return u->incarnation > e->m.incarnation;
	return u->seq > e->m.seq || (guint)u->health > e->m.health;
}

/* The entry is newer than the update. */
static gboolean
newer_than(const struct memb_entry *e, const struct pt_member *u)
{
	return u->incarnation < e->m.incarnation || u->seq < e->m.seq ||
	       (guint)u->health < e->m.health;
}

static void
merge_existing(struct memb *m, struct memb_entry *e, const struct pt_member *u,
    gboolean spread)
{
	gboolean was = memb_present(&e->m);
	gboolean was_down = e->m.health != PT_ALIVE;
	gboolean replaced = u->incarnation > e->m.incarnation;
	guint8 health =
	    replaced ? u->health : MAX((guint)u->health, e->m.health);

	update_counts(m, e, -1);
	if (replaced)
		e->has_self = FALSE;
	if (replaced || u->seq > e->m.seq)
		copy_fields(m, e, u);
	e->m.health = health;
	commit_change(m, e, was, spread);
	if (was_down && e->m.health == PT_ALIVE && memb_present(&e->m))
		memb_schedule_exchange(m, e, MEMB_US);
}

/* Merges an update; "spread": gossip it to others if it changes the table. */
void
memb_merge(struct memb *m, const struct pt_member *u, gboolean spread)
{
	struct memb_entry *e;

	if (!update_ok(u)) {
		m->stats.malformed++;
		return;
	}
	e = memb_lookup(m, u->instance);
	if (e == m->self) {
		merge_self(m, u);
		return;
	}
	if (e != NULL && !supersedes(e, u)) {
		m->stats.stale++;
		if (spread && !newer_than(e, u))
			memb_count_duplicate(m, e);
		return;
	}
	/*
	 * An unknown member that is dead or has left is not added: the update
	 * would circulate for ever among nodes that have removed the member.
	 */
	if (e == NULL && (u->health == PT_DEAD || u->state == PT_LEFT)) {
		m->stats.stale++;
		return;
	}
	if (e == NULL && m->n_all >= MEMB_MAX) {
		m->stats.malformed++;
		return;
	}
	m->stats.updates++;
	if (e != NULL) {
		merge_existing(m, e, u, spread);
		return;
	}
	commit_change(m, entry_new(m, u), FALSE, spread);
}

/* Converts an entry to its wire form; the strings still belong to the entry. */
void
memb_to_wire(const struct memb_entry *e, struct pt_member *u)
{
	u->instance = e->m.instance;
	u->incarnation = e->m.incarnation;
	u->started = e->m.started;
	u->seq = e->m.seq;
	u->health = e->m.health;
	u->state = e->m.state;
	u->host = e->m.host;
	u->rpc_port = e->m.rpc_port;
	u->gossip_port = e->m.gossip_port;
	u->http_port = e->m.http_port;
	u->domain = (char *)e->m.domain;
	u->region = (char *)e->m.region;
	u->service = (char *)e->m.service;
	u->slots = e->m.slots;
}
