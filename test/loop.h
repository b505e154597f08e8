/*
 * Sockets on the main loop for tests.  Include <gio/gio.h> and <check.h>
 * before this header.
 */

/*
 * Iterations of the loop after which UNTIL() fails.  Iterations are counted
 * instead of time, so that a test does not fail on a busy machine.
 */
#define LOOP_ITERATIONS 400000

#define UNTIL(cond)                                                   \
	do {                                                          \
		int left_ = LOOP_ITERATIONS;                          \
		while (!(cond)) {                                     \
			ck_assert_msg(                                \
			    left_-- > 0, "never reached: %s", #cond); \
			if (!g_main_context_iteration(NULL, FALSE))   \
				g_usleep(50);                         \
		}                                                     \
	} while (0)

/* Handles pending events in 100 iterations of the loop that do not block. */
#define LOOP_IDLE()                                            \
	do {                                                   \
		int n_ = 0;                                    \
		while (n_++ < 100)                             \
			g_main_context_iteration(NULL, FALSE); \
	} while (0)

/* Opens a non-blocking connection to a numeric address. */
GSocket *loop_connect(const char *host, guint port);
void loop_close(GSocket *);
/* Closes the connection with a reset. */
void loop_reset(GSocket *);
void loop_send(GSocket *, const char *text);
/* Reads received bytes; -1: none yet, -2: error or reset, 0: closed. */
gssize loop_recv(GSocket *, char *buf, gsize len);
/* Reads until "text" is received; returns all bytes read. */
char *loop_expect(GSocket *, const char *text);
