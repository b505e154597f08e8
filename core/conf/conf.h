/*
 * Mesh configuration: declarations, change sets, deterministic evaluation,
 * versions, digest and snapshots.  Include <glib.h>, <rpc/rpc.h>, "pt.h" and
 * "port.h" before this header.
 */

/* Longest text of a verdict, its NUL included. */
#define CONF_TEXT_MAX 320
/* Longest path prefix of a route in bytes. */
#define CONF_PATH_MAX 255
/* Largest sum of the floors of all ranks, in percent. */
#define CONF_FLOOR_SUM_MAX 90
/*
 * Largest snapshot in bytes.  The limits on names, bodies and texts keep a
 * snapshot of 8,192 resources and 8,192 outcomes below it.
 */
#define CONF_SNAPSHOT_MAX (10 * 1024 * 1024)
/*
 * Most keys of an organisation.  Eight keep a snapshot of 8,192 organisations
 * and 8,192 outcomes below CONF_SNAPSHOT_MAX.
 */
#define CONF_KEYS_MAX 8
/* Largest declarations file in bytes. */
#define CONF_FILE_MAX (1024 * 1024)

/* Part common to all resources; first member of each type below. */
struct conf_res {
	pt_kind kind;
	char *name;
	gint64 vers; /* offset of the record that set it */
	char *body; /* canonical: every key as "key=value\n", sorted */
};

struct conf_mesh {
	struct conf_res res;
	int urgency; /* 0..100; the higher, the less the floors guarantee */
};

struct conf_rank {
	struct conf_res res;
	int order; /* 0 = most urgent, unique, below PT_RANKS_MAX */
	int target_ms; /* target of the response time */
	int worth;
	int floor; /* guaranteed share of starts in percent, at urgency 50 */
};

struct conf_service {
	struct conf_res res;
	int retry_budget; /* percent of calls */
	int limit; /* concurrent calls per entry node */
	int eject_max; /* percent of the upstreams */
	int ramp_ms; /* slow start of a new upstream */
};

struct conf_route {
	struct conf_res res;
	char *path; /* prefix */
	char *service_name;
	char *rank_name;
	int timeout_ms;
	int idempotent;
	int open; /* requests need no key of an organisation */
	const struct conf_service *service; /* never NULL in a struct conf */
	const struct conf_rank *rank; /* never NULL in a struct conf */
	guint hash; /* of the path */
};

/* A customer of the service owners; its callers send one of its keys. */
struct conf_organisation {
	struct conf_res res;
	char *keys; /* SHA-256 of each key in hex: sorted, separated by "," */
	char *priority_name; /* NULL: none */
	int rate; /* requests per second over all nodes; 0: no limit */
	int burst; /* requests above the rate */
	const struct conf_rank *priority; /* NULL: the rank of the route */
	guint n_keys;
	char digests[CONF_KEYS_MAX][PT_DIGEST_LEN]; /* the keys in binary */
};

struct conf_verdict {
	enum pt_verdict_kind kind; /* PT_ACCEPTED .. PT_MALFORMED */
	gboolean evaluated; /* FALSE: not the next offset, nothing changed */
	gboolean has_id; /* FALSE for a malformed record */
	gint64 offset;
	char id[PT_ID_LEN];
	char text[CONF_TEXT_MAX]; /* empty when accepted */
};

/* The evaluated configuration of a node.  Not thread-safe. */
struct conf;

/* A new configuration: no resources, position 0. */
struct conf *conf_new(void);
struct conf *conf_ref(struct conf *);
void conf_unref(struct conf *);

/*
 * Evaluates the record of the stream "config" at an offset, in place.  The
 * verdict is a pure function of the records up to this offset.  Only an
 * accepted record changes resources and version; every evaluated record
 * advances the position.  The record is evaluated only if the offset is
 * conf_position() + 1; otherwise nothing changes and "evaluated" is FALSE.
 */
struct conf_verdict conf_eval(struct conf *, gint64 offset, GBytes *record);

/*
 * Advances the position past records that can no longer be read from the log.
 * They have no effect and no outcome.  A position that is not higher than the
 * current one is ignored.
 */
void conf_skip(struct conf *, gint64 position);

/* Offset of the last accepted record, 0 for none. */
gint64 conf_version(const struct conf *);
/* Offset of the last evaluated record, 0 for none. */
gint64 conf_position(const struct conf *);
/* SHA-256 of the bytes of conf_snapshot(), PT_DIGEST_LEN bytes, cached. */
const char *conf_digest(struct conf *);

/*
 * Looks up the verdict on a change by its id; FALSE if it is not among the
 * newest PT_OUTCOMES_MAX.  The text is valid until the next evaluation.
 */
gboolean conf_outcome(
    const struct conf *, const char id[PT_ID_LEN], struct pt_outcome *);

/*
 * Lookups; NULL if there is none.  The result is valid until the next
 * conf_eval(): copy what is needed for longer.  conf_mesh() is never NULL:
 * without a mesh resource it holds the defaults and version 0.
 */
const struct conf_mesh *conf_mesh(const struct conf *);
const struct conf_rank *conf_rank(const struct conf *, const char *name);
const struct conf_service *conf_service(const struct conf *, const char *name);
const struct conf_route *conf_route(const struct conf *, const char *name);
const struct conf_organisation *conf_organisation(
    const struct conf *, const char *name);
/* By index in order of name; NULL past the end. */
const struct conf_rank *conf_rank_at(const struct conf *, guint);
const struct conf_service *conf_service_at(const struct conf *, guint);
const struct conf_route *conf_route_at(const struct conf *, guint);
const struct conf_organisation *conf_organisation_at(
    const struct conf *, guint);

/*
 * Route with the longest path that is a prefix of "path" in whole segments:
 * "/a" matches "/a", "/a/b" and "/a?q", not "/ab".  A query or fragment in
 * "path" is ignored.  Does not allocate.
 */
const struct conf_route *conf_route_match(
    const struct conf *, const char *path);

/*
 * Organisation that has the key with this SHA-256, NULL for none.  Does not
 * allocate.
 */
const struct conf_organisation *conf_organisation_by_key(
    const struct conf *, const char digest[PT_DIGEST_LEN]);

/*
 * Fills the reply to GET: kind -1 for every kind, name empty or NULL for every
 * name.  Strings are borrowed until the next evaluation; conf_get_clear()
 * frees the array.
 */
void conf_get(struct conf *, int kind, const char *name, struct pt_get_res *);
void conf_get_clear(struct pt_get_res *);

/*
 * Builds a configuration without outcomes from the reply to a GET of every
 * kind, so that a change can be checked before it is submitted.  Fails with
 * PT_ERROR_PARSE.
 */
struct conf *conf_from_get(const struct pt_get_res *, GError **);

/*
 * Tells which organisations have limits that nodes do not enforce; NULL if
 * none has.  Release with g_free().
 */
char *conf_limits_note(const struct conf *);

/* ---- snapshots ---- */

/* Encodes resources, position, version and outcomes deterministically. */
GBytes *conf_snapshot(const struct conf *);
/* Loads a snapshot; fails with PT_ERROR_PARSE or PT_ERROR_PROTOCOL. */
struct conf *conf_from_snapshot(GBytes *, GError **);

/* ---- declarations ---- */

/* Parsed declarations: canonical resources sorted by kind and name. */
struct decl {
	guint n;
	struct pt_res *res; /* version 0 */
};

/*
 * Parses declarations; "file" names them in messages.  Fails with
 * PT_ERROR_PARSE naming file, group, key, value, allowed range and remedy.
 */
struct decl *decl_parse(
    const char *file, const char *text, gsize len, GError **);
/*
 * The same, but goes on after an error in a group: adds a text for each to
 * "errors" (allocated) and returns the groups that are valid.  NULL if the file
 * cannot be divided into groups.
 */
struct decl *decl_parse_all(
    const char *file, const char *text, gsize len, GPtrArray *errors);
void decl_free(struct decl *);

/*
 * Builds the operations that turn the current resources into the declared
 * ones; with "prune", resources that are not declared are removed.  Release
 * the change with xdr_free(xdr_pt_change).  Fails with PT_ERROR_TOO_LARGE.
 */
gboolean decl_diff(const struct decl *, const struct pt_res *current, guint n,
    gboolean prune, struct pt_change *, GError **);

/* An error, or something that is valid and has no effect. */
struct conf_finding {
	gboolean error;
	char *text; /* group, key, value and remedy */
};

/*
 * Checks declarations that were parsed without errors, together with the
 * resources of "base" that they do not set; NULL: none.  "whole": no other
 * resources exist; else a reference to a missing one is no error.  Without an
 * error, and with "whole", a change set to these resources is accepted.
 * Returns an array of struct conf_finding; release with g_ptr_array_unref().
 */
GPtrArray *conf_findings(
    const struct decl *, const struct conf *base, gboolean whole);

/* Name of a kind as written in a group of the declarations. */
const char *conf_kind_name(pt_kind);
/* Kind of a name, -1 if there is none. */
int conf_kind_parse(const char *);

/* ---- shared by the files of this library only ---- */

enum conf_type {
	CONF_INT,
	CONF_BOOL,
	CONF_YES, /* yes or no */
	CONF_NAME, /* of a resource of the kind "target" */
	CONF_PATH,
	CONF_HASHES /* 1 to CONF_KEYS_MAX of SHA-256 in hex */
};

/* A key of a resource. */
struct conf_key {
	const char *name;
	enum conf_type type;
	gsize field; /* offset in the typed resource */
	gint64 min, max; /* CONF_INT */
	const char *def; /* default in declarations; NULL: required */
	/*
	 * Left out of the body at its default.  Keys that were added after the
	 * first release need this: nodes must evaluate the records and
	 * snapshots of earlier releases to the same bytes.
	 */
	gboolean sparse;
	pt_kind target; /* CONF_NAME */
};

#define CONF_KINDS 5

struct conf_outcome {
	char id[PT_ID_LEN]; /* key in the table */
	gint64 offset;
	enum pt_verdict_kind kind;
	char *text; /* NULL: empty */
	struct conf_outcome *next; /* newer */
};

struct conf {
	guint refs;
	gint64 position;
	gint64 vers;
	GPtrArray *res[CONF_KINDS]; /* of struct conf_res *, sorted by name */
	struct conf_mesh mesh; /* defaults, used without a mesh resource */
	struct conf_route **slots; /* routes by hash of the path */
	guint mask; /* number of slots - 1 */
	gsize longest_path; /* in bytes */
	const struct conf_route *root; /* route of the path "/" */
	GHashTable *keys; /* digest of a key to struct conf_organisation */
	GHashTable *outcomes; /* id to struct conf_outcome */
	struct conf_outcome *oldest;
	struct conf_outcome *newest;
	gboolean digest_valid;
	char digest[PT_DIGEST_LEN];
};

/* Keys of a kind, sorted by name. */
const struct conf_key *conf_keys(pt_kind, guint *n);
/* Copies a value for a message: truncated, unprintable bytes as '?'. */
const char *conf_printable(const char *value, char buf[48]);
/* Group of a resource as in the declarations, for messages. */
#define CONF_GROUP_MAX 96
const char *conf_group(pt_kind, const char *name, char buf[CONF_GROUP_MAX]);
gboolean conf_name_check(pt_kind, const char *name, GError **);
gboolean conf_value_check(pt_kind, const char *name, const struct conf_key *,
    const char *value, GError **);
/* Parses a canonical body; NULL and PT_ERROR_PARSE if it is not valid. */
struct conf_res *conf_res_new(
    pt_kind, const char *name, gint64 vers, const char *body, GError **);
void conf_res_free(struct conf_res *);
void conf_res_swap(struct conf_res *, struct conf_res *);

struct conf_res *conf_find(const struct conf *, pt_kind, const char *name);
void conf_insert(struct conf *, struct conf_res *);
void conf_remove(struct conf *, struct conf_res *);
guint conf_count(const struct conf *);

/* Sets the service and rank of a route; FALSE if either is missing. */
gboolean conf_resolve_route(const struct conf *, struct conf_route *);
/* Sets the rank of an organisation; FALSE if it names a missing one. */
gboolean conf_resolve_organisation(
    const struct conf *, struct conf_organisation *);
/* Resolves a resource of any kind; FALSE if a reference is missing. */
gboolean conf_resolve(const struct conf *, struct conf_res *);
guint conf_path_hash(const char *path);
const struct conf_route *conf_path_find(
    const struct conf *, const char *path, gsize len, guint hash);
void conf_index_routes(struct conf *);
void conf_index_keys(struct conf *);
/* Hash table functions for digests of PT_DIGEST_LEN bytes. */
guint conf_digest_hash(gconstpointer);
gboolean conf_digest_equal(gconstpointer, gconstpointer);

const struct conf_outcome *conf_outcome_find(
    const struct conf *, const char *id);
void conf_outcome_add(struct conf *, const char *id, gint64 offset,
    enum pt_verdict_kind, const char *text);
/* Loads sorted resources into an empty configuration. */
gboolean conf_load_resources(
    struct conf *, const struct pt_res *, guint n, GError **);
/*
 * Checks the rules that span resources: references, unique paths and orders,
 * and the sum of the floors.  The XDR types bound the number of resources.
 */
gboolean conf_validate(const struct conf *, GError **);
gboolean conf_ranks_check(const struct conf_rank *const *, guint n, GError **);
void conf_path_error(
    GError **, const struct conf_route *, const struct conf_route *other);
void conf_reference_error(GError **, const struct conf_res *, const char *key,
    pt_kind, const char *target);
void conf_key_error(GError **, const struct conf_organisation *, guint key,
    const struct conf_organisation *other);
/*
 * Decodes bytes only if they are in canonical form, that is if encoding the
 * value yields the same bytes.  Other bytes could hold content that the decoded
 * value does not show, such as text after a NUL byte.
 */
gboolean conf_decode_canonical(xdrproc_t, void *value, gsize size, GBytes *);
