/* Include <check.h> before this header. */

/* Runs and frees a suite; returns the exit status of the program. */
int suite_run(Suite *);
