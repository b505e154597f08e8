/*
 * The operators' command.  Include <glib.h>, <rpc/rpc.h>,
 * <json-glib/json-glib.h>, "pt.h", "port.h" and "conf.h" before this header.
 */

/* Exit codes. */
enum ctl_exit {
	CTL_OK = 0, /* accepted or done */
	CTL_USAGE = 1, /* wrong usage or settings: nothing was sent */
	CTL_CONFLICT = 2, /* a resource has changed meanwhile */
	CTL_INVALID = 3, /* the declarations or the change set are invalid */
	CTL_UNREACHABLE = 4, /* nothing was changed */
	CTL_UNKNOWN = 5, /* the outcome is unknown */
	/* Of the command check: */
	CTL_CHECK_ERRORS = 1,
	CTL_CHECK_WARNINGS = 2 /* and no errors */
};

struct ctl {
	struct pt_rpc rpc;
	char *host; /* NULL: no node, for commands that need none */
	guint port;
	int timeout_ms;
	gboolean json;
	gboolean prune;
	gboolean wait;
	gboolean undo;
};

/* Commands; "args" follow the command's name and end with NULL. */
enum ctl_exit ctl_plan(struct ctl *, char **args);
enum ctl_exit ctl_apply(struct ctl *, char **args);
enum ctl_exit ctl_check(struct ctl *, char **args);
enum ctl_exit ctl_get(struct ctl *, char **args);
enum ctl_exit ctl_status(struct ctl *, char **args);
enum ctl_exit ctl_drain(struct ctl *, char **args);
enum ctl_exit ctl_outcome(struct ctl *, char **args);

/* ---- calls ---- */

/*
 * Calls a procedure and runs the main loop until it returns.  "res" must be
 * zero before the call and is to be released with xdr_free().
 */
gboolean ctl_call(struct ctl *, guint proc, const void *args, guint timeout_ms,
    xdrproc_t, void *res, gsize size, GError **);
/* GET; kind -1: of all kinds, name NULL: of all names. */
gboolean ctl_call_get(
    struct ctl *, int kind, const char *name, struct pt_get_res *, GError **);
gboolean ctl_call_status(
    struct ctl *, guint timeout_ms, struct pt_status_res *, GError **);
gboolean ctl_call_outcome(
    struct ctl *, const char id[PT_ID_LEN], struct pt_outcome *, GError **);
/* Runs the main loop for that long. */
void ctl_sleep(guint ms);

/* ---- declarations and changes ---- */

/* Reads a file, to be freed; fails with PT_ERROR_SETTING. */
gboolean ctl_read_file(const char *file, char **text, gsize *len, GError **);
/* Prints the operations of a change to the current resources. */
void ctl_ops_table(const struct pt_get_res *, const struct pt_change *);
/* Adds them as the member "operations" to the open JSON object. */
void ctl_json_ops(
    JsonBuilder *, const struct pt_get_res *, const struct pt_change *);

/* ---- output ---- */

/* Prints "ptctl: MESSAGE" to standard error and frees the error. */
enum ctl_exit ctl_fail(enum ctl_exit, GError *);
enum ctl_exit ctl_verdict_exit(enum pt_verdict_kind);
const char *ctl_verdict_name(enum pt_verdict_kind);
/* Hexadecimal text, to be freed. */
char *ctl_hex(const char *bytes, gsize len);
gboolean ctl_unhex(const char *text, char *bytes, gsize len);
/* Copy of a text with control characters replaced by '?', to be freed. */
char *ctl_printable(const char *);

/* Adds a member to the open JSON object. */
void ctl_json_text(JsonBuilder *, const char *key, const char *value);
void ctl_json_int(JsonBuilder *, const char *key, gint64 value);
/*
 * Copy of a line "key=value" of a body to print, to be freed: the hashes of an
 * organisation's keys are replaced by their number.
 */
char *ctl_shown_line(const char *line);
/* Adds the keys of a canonical body as an object, or null for an empty body. */
void ctl_json_body(JsonBuilder *, const char *key, const char *body);
/* Prints the document and frees the builder. */
void ctl_json_print(JsonBuilder *);

/* A table of text, with columns as wide as their longest cell. */
struct ctl_table;
struct ctl_table *ctl_table_new(guint columns, const char *const *heads);
/* Adds a row with one text for each column. */
void ctl_table_row(struct ctl_table *, const char *const *cells);
/* Prints and frees the table. */
void ctl_table_print(struct ctl_table *);
