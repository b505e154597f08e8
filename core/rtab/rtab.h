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
	struct rtab_part *parts;
	guint n_parts; /* at least 1 */
};

struct rtab_service {
	char *name;
	char *health_path;
	guint max_connections; /* 0: not given */
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

/*
 * Returns the route of a request: of the routes of the host, the one with the
 * longest prefix of the path.  A port in "host" and a query in "target" are
 * ignored.  NULL: no route.
 */
const struct rtab_route *rtab_match(
    const struct rtab *, const char *host, const char *target);

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
