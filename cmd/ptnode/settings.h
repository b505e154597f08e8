/* Settings of a node.  Include <glib.h> before this header. */

enum settings_distribution {
	DISTRIBUTION_TREE,
	DISTRIBUTION_POLL
};

struct settings {
	char *instance;
	char *domain;
	char *region;
	char *host;
	int rpc_port;
	int gossip_port;
	int http_port;
	int admin_port;
	char *log_url;
	int log_retention_s;
	char *seed;
	char *seed_host; /* NULL: none */
	int seed_rpc_port;
	int seed_gossip_port;
	int announce_timeout_ms;
	int drain_notice_ms;
	int keep_alive_ms;
	int stop_limit_ms; /* 0: none */
	int key_table;
	int admission; /* enum adm_mode */
	int distribution; /* enum settings_distribution */
	enum pt_level level;
};

/* Reads and checks every setting; PT_ERROR_SETTING on the first bad one. */
gboolean settings_read(struct settings *, int *argc, char ***argv, GError **);
void settings_clear(struct settings *);
