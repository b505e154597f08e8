/*
 * Route table: services, routes by host and path prefix, and limits of one
 * configuration version.  No I/O; not thread safe.  A table is built once and
 * not changed after rtab_build().  Include <glib.h> before this header.  Times
 * are microseconds, sizes bytes.
 */

enum rtab_kind {
	RTAB_IDEMPOTENT, /* may run more than once */
	RTAB_DOWNLOAD, /* idempotent, with large responses */
	RTAB_ONCE /* runs at most once for each request */
};

/* A destination service of a route, and its share of the route's requests. */
struct rtab_part {
	char *service;
	double weight;
};

struct rtab_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with '/' */
	enum rtab_kind kind;
	gint64 timeout; /* longest time that a caller waits */
	gint64 target; /* responses within this time have their full worth */
	int priority; /* 0: most urgent */
	guint attempts; /* most upstreams that a request may be sent to */
	gboolean open; /* needs no key */
	struct rtab_part *parts;
	guint n_parts; /* at least 1 */
};

struct rtab_service {
	char *name;
	char *health_path;
	guint max_connections; /* 0: not given */
};

/* An organisation, whose callers identify themselves by its keys. */
struct rtab_org {
	char *name;
	int priority; /* of its requests, before that of their routes */
	double rate; /* requests a second over all nodes, 0: no limit */
	double burst; /* requests in addition to the rate */
};

/*
 * Digest of a key: the first bytes of its SHA-256.  Keys themselves are neither
 * kept nor exchanged, and digests are compared in place of them, so that the
 * time of a comparison says nothing about a key.
 */
#define RTAB_KEY_LEN 16
struct rtab_key {
	guint8 digest[RTAB_KEY_LEN];
};

/* Limits on the requests of a caller, and on its idle connections. */
struct rtab_limits {
	gsize head_bytes;
	gint64 body_bytes;
	gint64 head_time;
	gint64 idle_time;
};

struct rtab;

struct rtab *rtab_new(gint64 version);
void rtab_set_version(struct rtab *, gint64 version);
struct rtab *rtab_ref(struct rtab *);
void rtab_unref(struct rtab *);

/* Building: strings are copied. */
void rtab_add_service(struct rtab *, const struct rtab_service *);
void rtab_add_route(struct rtab *, const struct rtab_route *);
void rtab_set_limits(struct rtab *, const struct rtab_limits *);
/* From now on a request needs a key, unless its route is open. */
void rtab_require_keys(struct rtab *);
/* A key that was added for two organisations belongs to the later one. */
void rtab_add_org(struct rtab *, const struct rtab_org *,
    const struct rtab_key *, guint n_keys);
/*
 * Checks the whole table and indexes its routes.  Fails with PT_ERROR_REFERENCE
 * for a route whose service is missing, PT_ERROR_PARSE for an invalid value.
 */
gboolean rtab_build(struct rtab *, GError **);

gint64 rtab_version(const struct rtab *);
const struct rtab_limits *rtab_limits(const struct rtab *);
guint rtab_n_routes(const struct rtab *);
const struct rtab_service *rtab_service(const struct rtab *, const char *name);
/* Returns a service by index, in no particular order; NULL past the last. */
const struct rtab_service *rtab_service_at(const struct rtab *, guint);

void rtab_key_of(const char *text, struct rtab_key *);
gboolean rtab_requires_keys(const struct rtab *);
guint rtab_n_orgs(const struct rtab *);
/* TRUE if an organisation has a limit. */
gboolean rtab_has_limits(const struct rtab *);
/* NULL: no organisation has the key. */
const struct rtab_org *rtab_org_by_key(
    const struct rtab *, const struct rtab_key *);
/*
 * Rank of a request, 0: the most urgent.  The priority of its organisation goes
 * before that of its route; a request without an organisation, such as a call
 * that another request waits for, counts among the most urgent organisations.
 * Without organisations it is the priority of the route.
 */
int rtab_rank(
    const struct rtab *, const struct rtab_org *, const struct rtab_route *);
/* Number of ranks that organisations and routes make, 0: no organisations. */
guint rtab_n_ranks(const struct rtab *);
/* NULL: there is no organisation of this name. */
const struct rtab_org *rtab_org(const struct rtab *, const char *name);

/*
 * Returns the route of a request: of the routes of the host, the one with the
 * longest prefix of the path.  A port in "host" and a query in "target" are
 * ignored.  NULL: no route.
 */
const struct rtab_route *rtab_match(
    const struct rtab *, const char *host, const char *target);

/* ---- fresh.c: how current the configuration in force is known to be ---- */

/* Zeroed before use.  All members are private. */
struct rtab_fresh {
	gint64 current_at; /* 0: not known */
	gint64 awaited; /* version that another node has, 0: none */
	gint64 awaited_at; /* it was current then */
};

/* Every version acknowledged before "at" is in force. */
void rtab_fresh_read(struct rtab_fresh *, gint64 at);
/*
 * Another node has a version, before which it knows of none that was
 * acknowledged before "at": that is the time at which it was asked, less the
 * age that it named.  Counts once that version is in force here.
 */
void rtab_fresh_heard(
    struct rtab_fresh *, gint64 in_force, gint64 version, gint64 at);
void rtab_fresh_applied(struct rtab_fresh *, gint64 in_force);
/* Time since it was current, -1: not known. */
gint64 rtab_fresh_age(const struct rtab_fresh *, gint64 now);

/* Longest time-out of the routes to a service; 0: there is none. */
gint64 rtab_longest_timeout(const struct rtab *, const char *service);

/*
 * Weighted round robin: picks the service of each request of a route, so that
 * short sequences of requests are divided by the weights too.  The state is
 * kept across tables: routes of a new version with the same weights continue
 * it.
 */
struct rtab_wrr;
struct rtab_wrr *rtab_wrr_new(GRand *);
void rtab_wrr_free(struct rtab_wrr *);
const char *rtab_wrr_pick(struct rtab_wrr *, const struct rtab_route *);
