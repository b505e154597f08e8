/* Stand-ins of rig3.c, and the cases that use them (cases3.c). */

#define NODES_MAX 16
#define ATTEMPTS_MAX 200000

/* A machine: a node of the mesh and the upstream beside it. */
struct node {
	pid_t pid; /* 0: the node's process does not run */
	char host[32], name[32], zone[8], service[32];
	/* The upstream. */
	char id[32];
	int64_t born; /* Unix ms */
	int sequence, listener;
	int runs; /* at work */
	volatile int grey; /* each such booking that it runs fails */
	int grey_count;
};

/* A request of a client; its id is "a" and the index. */
struct attempt {
	int via; /* machine of the client */
	const char *kind;
	int64_t sent, ended; /* ms since the start */
	int status, closes;
	int again; /* the attempt that repeats it, 0: none */
	int runs, at_work, run_by, cut;
	int64_t run_at, run_end;
};

struct message {
	char *buf;
	size_t len, size;
	size_t head, body; /* lengths in the buffer */
};

extern struct node nodes[NODES_MAX];
extern int n_nodes;
extern struct attempt *attempts;
extern int n_attempts;
extern int memory_mb; /* of each node; set it before mesh_start() */
extern pthread_mutex_t lock;

int64_t now_ms(void); /* since the start */
void sleep_ms(int64_t);
void sleep_until(int64_t at);
void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void finish(int status) __attribute__((noreturn));
void cannot_run(const char *why) __attribute__((noreturn));
void in_background(void *(*)(void *), void *);

void mesh_start(int n, const char *const *services);
void node_start(struct node *);
void node_signal(struct node *, int sig);
int node_wait(struct node *, int64_t ms);
long node_memory(const struct node *);
int is_ready(const struct node *);
void operator_writes(const char *json);

int dial(const char *host, int port, int timeout_ms);
int send_all(int fd, const void *, size_t);
int entry_dial(const struct node *);
int field(const struct message *, const char *name, char *out, size_t);
int message_read(int fd, struct message *, int64_t until);
void message_next(struct message *);
void message_free(struct message *);

int attempt_new(int via, const char *kind);
int client_call(
    int fd, int attempt, const char *method, const char *path, int deadline);

/* ---- cases3.c ---- */

extern const char case_config[];
/* 1: the rule was broken, 0: it held, 2: the case could not run. */
int case_run(int number, int trouble);
