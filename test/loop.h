/*
 * Sockets on the main loop for tests.  Include <gio/gio.h> and <check.h>
 * before this header.
 */

/*
 * Turns of the loop after which a condition counts as never reached.  Turns
 * are counted and not seconds, so that a busy machine does not fail a test.
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

/* Runs the loop until nothing is left to do at once. */
#define LOOP_IDLE()                                            \
	do {                                                   \
		int n_ = 0;                                    \
		while (n_++ < 100)                             \
			g_main_context_iteration(NULL, FALSE); \
	} while (0)

/* A non-blocking connection to a numeric address. */
GSocket *loop_connect(const char *host, guint port);
void loop_close(GSocket *);
/* Closes with a reset. */
void loop_reset(GSocket *);
void loop_send(GSocket *, const char *text);
/* Reads what is there; -1: nothing yet, -2: reset, 0: closed. */
gssize loop_recv(GSocket *, char *buf, gsize len);
/* Reads until "text" has come in; returns all that was read. */
char *loop_expect(GSocket *, const char *text);
