/*
 * Starts and stops the processes of a mesh on loopback addresses.
 */

#include <glib.h>
#include <gio/gio.h>
#include <rpc/rpc.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "pt.h"
#include "port.h"
#include "rpcio.h"
#include "mesh.h"
#include "priv.h"

#define NET_MIN 20
#define NET_MAX 250
#define POLL_MS 10
#define LOCK_PORT 8699

/* Tries to listen on a port of the net; the open socket goes to "out". */
static gboolean
try_port(guint net, guint port, GSocket **out)
{
	GSocketAddress *a;
	GSocket *s;
	char *host;
	gboolean ok;

	host = g_strdup_printf("127.%u.0.1", net);
	a = g_inet_socket_address_new_from_string(host, port);
	s = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
	    G_SOCKET_PROTOCOL_TCP, NULL);
	/* Without SO_REUSEADDR a second run cannot bind the same address. */
	ok = s != NULL && g_socket_bind(s, a, FALSE, NULL) &&
	     g_socket_listen(s, NULL);
	if (ok && out != NULL)
		*out = g_steal_pointer(&s);
	g_clear_object(&s);
	g_object_unref(a);
	g_free(host);
	return ok;
}

/* Reserves a part of 127/8 that no other run uses. */
static gboolean
reserve_net(struct mesh *m)
{
	guint i, n = NET_MAX - NET_MIN;

	for (i = 0; i < n; i++) {
		m->net = NET_MIN + ((guint)getpid() + i) % n;
		if (!try_port(m->net, LOCK_PORT, &m->lock))
			continue;
		if (try_port(m->net, MESH_LOG_PORT, NULL))
			return TRUE;
		g_clear_object(&m->lock);
	}
	return FALSE;
}

static char *
default_bin(void)
{
	char *exe, *dir, *bin;

	exe = g_file_read_link("/proc/self/exe", NULL);
	dir = g_path_get_dirname(exe != NULL ? exe : ".");
	if (g_str_has_suffix(dir, "/test")) {
		bin = g_path_get_dirname(dir);
		g_free(dir);
		dir = g_build_filename(bin, "bin", NULL);
		g_free(bin);
	}
	g_free(exe);
	return dir;
}

struct mesh *
mesh_new(const struct mesh_opts *o, GError **err)
{
	struct rpcio_client_opts ro = { 10000, 1000, NULL, NULL };
	struct mesh *m;

	m = g_new0(struct mesh, 1);
	m->o = *o;
	m->insts = g_ptr_array_new();
	m->dir = g_dir_make_tmp("primrosetide-XXXXXX", err);
	if (m->dir == NULL) {
		mesh_free(m);
		return NULL;
	}
	if (!reserve_net(m)) {
		g_set_error(err, PT_ERROR, PT_ERROR_BUSY,
		    "every part of 127/8 is in use; wait for other runs to "
		    "end");
		mesh_free(m);
		return NULL;
	}
	m->bin = o->bin != NULL ? g_strdup(o->bin) : default_bin();
	m->runs = o->runs_file != NULL ? g_strdup(o->runs_file)
				       : g_build_filename(m->dir, "runs", NULL);
	m->log_url =
	    g_strdup_printf("http://127.%u.0.1:%d", m->net, MESH_LOG_PORT);
	m->log.name = g_strdup("ptlog");
	m->rpc = rpcio_client_new(&ro);
	return m;
}

void
mesh_clean(struct mesh *m)
{
	const char *name;
	char *path;
	GDir *d;

	d = g_dir_open(m->dir, 0, NULL);
	while (d != NULL && (name = g_dir_read_name(d)) != NULL) {
		path = g_build_filename(m->dir, name, NULL);
		unlink(path);
		g_free(path);
	}
	if (d != NULL)
		g_dir_close(d);
	rmdir(m->dir);
}

const char *
mesh_dir(const struct mesh *m)
{
	return m->dir;
}

const char *
mesh_log_url(const struct mesh *m)
{
	return m->log_url;
}

struct mesh_proc *
mesh_log(struct mesh *m)
{
	return &m->log;
}

guint
mesh_size(const struct mesh *m)
{
	return m->insts->len;
}

struct mesh_inst *
mesh_at(const struct mesh *m, guint i)
{
	return g_ptr_array_index(m->insts, i);
}

gboolean
mesh_ended(struct mesh_proc *p)
{
	if (p->pid == 0)
		return TRUE;
	if (waitpid(p->pid, &p->status, WNOHANG) != p->pid)
		return FALSE;
	p->pid = 0;
	return TRUE;
}

static void
exec_child(const struct mesh *m, int out, pid_t parent, char *const *argv)
{
	int null;

	if (m->o.keep)
		setsid();
	else if (prctl(PR_SET_PDEATHSIG, SIGKILL) != 0 || getppid() != parent)
		_exit(126);
	null = open("/dev/null", O_RDONLY);
	dup2(null, STDIN_FILENO);
	dup2(out, STDOUT_FILENO);
	dup2(out, STDERR_FILENO);
	execv(argv[0], argv);
	_exit(127);
}

/* Starts a program and appends its output to NAME.out. */
static gboolean
spawn(struct mesh *m, struct mesh_proc *p, char **argv, GError **err)
{
	char *path;
	pid_t parent = getpid(), pid;
	int fd;

	if (!mesh_ended(p)) {
		g_set_error(err, PT_ERROR, PT_ERROR_BUSY,
		    "%s is already running", p->name);
		return FALSE;
	}
	path = g_strdup_printf("%s/%s.out", m->dir, p->name);
	fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	g_free(path);
	pid = fd >= 0 && access(argv[0], X_OK) == 0 ? fork() : -1;
	if (pid == 0)
		exec_child(m, fd, parent, argv);
	if (fd >= 0)
		close(fd);
	if (pid < 0) {
		g_set_error(err, PT_ERROR, PT_ERROR_SETTING,
		    "cannot start %s; build it first", argv[0]);
		return FALSE;
	}
	p->pid = pid;
	p->status = 0;
	return TRUE;
}

static void
add_arg(GPtrArray *a, const char *name, const char *value)
{
	g_ptr_array_add(a, g_strdup(name));
	g_ptr_array_add(a, g_strdup(value));
}

static void
add_arg_int(GPtrArray *a, const char *name, int value)
{
	g_ptr_array_add(a, g_strdup(name));
	g_ptr_array_add(a, g_strdup_printf("%d", value));
}

static gboolean
spawn_argv(struct mesh *m, struct mesh_proc *p, GPtrArray *a,
    const char *const *more, GError **err)
{
	gboolean ok;

	for (; more != NULL && *more != NULL; more++)
		g_ptr_array_add(a, g_strdup(*more));
	g_ptr_array_add(a, NULL);
	ok = spawn(m, p, (char **)a->pdata, err);
	g_ptr_array_free(a, TRUE);
	return ok;
}

static GPtrArray *
argv_new(const struct mesh *m, const char *name)
{
	GPtrArray *a;

	a = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(a, g_build_filename(m->bin, name, NULL));
	return a;
}

gboolean
mesh_log_start(struct mesh *m, const char *const *args, GError **err)
{
	GPtrArray *a = argv_new(m, "ptlog");
	char *host;

	host = g_strdup_printf("127.%u.0.1", m->net);
	add_arg(a, "--host", host);
	add_arg_int(a, "--port", MESH_LOG_PORT);
	add_arg(a, "--log-level", m->o.log_level);
	g_free(host);
	return spawn_argv(m, &m->log, a, args, err);
}

struct mesh_inst *
mesh_add(struct mesh *m, const struct mesh_inst_opts *o)
{
	struct mesh_inst *i;
	guint k, n = 1;

	for (k = 0; k < m->insts->len; k++)
		n += mesh_at(m, k)->o.domain == o->domain;
	i = g_new0(struct mesh_inst, 1);
	i->mesh = m;
	i->o = *o;
	i->o.name = g_strdup(o->name);
	i->host = g_strdup_printf("127.%u.%u.%u", m->net, o->domain, n);
	i->node.name = g_strdup_printf("%s.node", o->name);
	i->back.name = g_strdup_printf("%s.back", o->name);
	g_ptr_array_add(m->insts, i);
	return i;
}

static gboolean
start_node(struct mesh_inst *i, GError **err)
{
	GPtrArray *a = argv_new(i->mesh, "ptnode");
	char *domain;

	domain = g_strdup_printf("d%u", i->o.domain);
	add_arg(a, "--instance", i->o.name);
	add_arg(a, "--domain", domain);
	add_arg(a, "--region", i->o.region);
	add_arg(a, "--host", i->host);
	add_arg_int(a, "--rpc-port", MESH_RPC_PORT);
	add_arg_int(a, "--gossip-port", MESH_GOSSIP_PORT);
	add_arg_int(a, "--http-port", MESH_HTTP_PORT);
	add_arg_int(a, "--admin-port", MESH_ADMIN_PORT);
	add_arg(a, "--log-url", i->mesh->log_url);
	add_arg(a, "--log-level", i->mesh->o.log_level);
	g_free(domain);
	return spawn_argv(i->mesh, &i->node, a, i->o.node_args, err);
}

static gboolean
start_back(struct mesh_inst *i, GError **err)
{
	GPtrArray *a = argv_new(i->mesh, "ptback");
	char *url;

	url = g_strdup_printf("http://%s:%d", i->host, MESH_ADMIN_PORT);
	add_arg(a, "--host", i->host);
	add_arg_int(a, "--port", MESH_BACK_PORT);
	add_arg(a, "--service", i->o.service);
	add_arg(a, "--announce", url);
	add_arg_int(a, "--slots", (int)i->o.slots);
	add_arg_int(a, "--connections", (int)i->o.connections);
	add_arg(a, "--runs-file", i->mesh->runs);
	add_arg(a, "--log-level", i->mesh->o.log_level);
	g_free(url);
	return spawn_argv(i->mesh, &i->back, a, i->o.back_args, err);
}

gboolean
mesh_start(struct mesh_inst *i, int parts, GError **err)
{
	if ((parts & MESH_NODE) != 0 && !start_node(i, err))
		return FALSE;
	return (parts & MESH_BACK) == 0 || start_back(i, err);
}

static void
send_signal(struct mesh_proc *p, int sig)
{
	if (p->pid > 0)
		kill(p->pid, sig);
}

void
mesh_signal(struct mesh_inst *i, int parts, int sig)
{
	if ((parts & MESH_NODE) != 0)
		send_signal(&i->node, sig);
	if ((parts & MESH_BACK) != 0)
		send_signal(&i->back, sig);
}

struct inst_parts {
	struct mesh_inst *inst;
	int parts;
};

static gboolean
parts_ended(void *arg)
{
	struct inst_parts *p = arg;
	gboolean done = TRUE;

	if ((p->parts & MESH_NODE) != 0)
		done = mesh_ended(&p->inst->node) && done;
	if ((p->parts & MESH_BACK) != 0)
		done = mesh_ended(&p->inst->back) && done;
	return done;
}

gboolean
mesh_wait_end(struct mesh_inst *i, int parts, guint timeout_ms)
{
	struct inst_parts p = { i, parts };

	return mesh_until(parts_ended, &p, timeout_ms);
}

gboolean
mesh_stop(struct mesh_inst *i, int parts, guint timeout_ms)
{
	mesh_signal(i, parts, SIGTERM);
	if (!mesh_wait_end(i, parts, timeout_ms)) {
		mesh_signal(i, parts, SIGKILL);
		mesh_wait_end(i, parts, timeout_ms);
		return FALSE;
	}
	return ((parts & MESH_NODE) == 0 || i->node.status == 0) &&
	       ((parts & MESH_BACK) == 0 || i->back.status == 0);
}

static void
kill_and_reap(struct mesh_proc *p)
{
	if (p->pid <= 0 || mesh_ended(p))
		return;
	kill(p->pid, SIGKILL);
	waitpid(p->pid, &p->status, 0);
	p->pid = 0;
}

void
mesh_free(struct mesh *m)
{
	struct mesh_inst *i;
	guint k;

	for (k = 0; k < m->insts->len; k++) {
		i = mesh_at(m, k);
		if (!m->o.keep) {
			kill_and_reap(&i->node);
			kill_and_reap(&i->back);
		}
		g_free((char *)i->o.name);
		g_free(i->host);
		g_free(i->node.name);
		g_free(i->back.name);
		g_free(i);
	}
	if (!m->o.keep)
		kill_and_reap(&m->log);
	if (m->rpc != NULL)
		rpcio_client_free(m->rpc);
	g_ptr_array_free(m->insts, TRUE);
	g_clear_object(&m->lock);
	g_free(m->log.name);
	g_free(m->dir);
	g_free(m->bin);
	g_free(m->runs);
	g_free(m->log_url);
	g_free(m);
}

static gboolean
proc_ended(void *p)
{
	return mesh_ended(p);
}

int
mesh_tool(
    struct mesh *m, const char *const *argv, char **output, guint timeout_ms)
{
	GPtrArray *a = argv_new(m, argv[0]);
	struct mesh_proc p = { NULL, 0, 0 };
	char *path;
	gboolean keep = m->o.keep;
	int code = -1;

	p.name = g_strdup_printf("tool%u", m->tools++);
	m->o.keep = FALSE;
	if (spawn_argv(m, &p, a, argv + 1, NULL)) {
		if (mesh_until(proc_ended, &p, timeout_ms) &&
		    WIFEXITED(p.status))
			code = WEXITSTATUS(p.status);
		kill_and_reap(&p);
	}
	m->o.keep = keep;
	path = g_strdup_printf("%s/%s.out", m->dir, p.name);
	if (output != NULL && !g_file_get_contents(path, output, NULL, NULL))
		*output = g_strdup("");
	g_free(path);
	g_free(p.name);
	return code;
}

static gboolean
wakeup(gpointer flag)
{
	*(gboolean *)flag = TRUE;
	return G_SOURCE_REMOVE;
}

void
mesh_sleep(guint ms)
{
	gboolean done = FALSE;

	g_timeout_add(ms, wakeup, &done);
	while (!done)
		g_main_context_iteration(NULL, TRUE);
}

gboolean
mesh_until(gboolean (*done)(void *), void *arg, guint timeout_ms)
{
	gint64 end = g_get_monotonic_time() + (gint64)timeout_ms * 1000;

	while (!done(arg)) {
		if (g_get_monotonic_time() >= end)
			return FALSE;
		mesh_sleep(POLL_MS);
	}
	return TRUE;
}

gboolean
mesh_usage(int pid, guint64 *rss, double *cpu_s)
{
	unsigned long user = 0, sys = 0;
	unsigned long long pages = 0;
	char *path, *text = NULL, *p;
	gboolean ok;

	path = g_strdup_printf("/proc/%d/statm", pid);
	ok = g_file_get_contents(path, &text, NULL, NULL) &&
	     (p = strchr(text, ' ')) != NULL;
	if (ok)
		pages = g_ascii_strtoull(p, NULL, 10);
	g_free(path);
	g_clear_pointer(&text, g_free);
	path = g_strdup_printf("/proc/%d/stat", pid);
	/* Fields 14 and 15, after the last ')': the name may hold blanks. */
	ok = ok && g_file_get_contents(path, &text, NULL, NULL) &&
	     (p = strrchr(text, ')')) != NULL &&
	     sscanf(p + 1,
		 " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
		 &sys) == 2;
	g_free(path);
	g_free(text);
	*rss = pages * (guint64)sysconf(_SC_PAGESIZE);
	*cpu_s = (double)(user + sys) / (double)sysconf(_SC_CLK_TCK);
	return ok;
}

struct mesh_runs
mesh_runs(const struct mesh *m)
{
	struct mesh_runs r = { 0 };
	GHashTable *seen;
	char *text = NULL, **lines;
	guint i, n;

	if (!g_file_get_contents(m->runs, &text, NULL, NULL))
		return r;
	lines = g_strsplit(text, "\n", -1);
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; lines[i] != NULL; i++) {
		if (*lines[i] == '\0')
			continue;
		n = GPOINTER_TO_UINT(g_hash_table_lookup(seen, lines[i])) + 1;
		g_hash_table_insert(seen, lines[i], GUINT_TO_POINTER(n));
		r.total++;
		r.maximum = MAX(r.maximum, n);
		r.duplicates += n == 2;
	}
	r.keys = g_hash_table_size(seen);
	g_hash_table_destroy(seen);
	g_strfreev(lines);
	g_free(text);
	return r;
}
