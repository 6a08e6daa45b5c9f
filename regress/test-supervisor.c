#include <glib.h>
#include "hemlock.h"

/*
 * Restarts of children. A child that ends is restarted; after too many restarts
 * the supervisor returns an error, so that the process ends. Guards against a
 * child that is not restarted, or that is restarted without limit.
 */

/* A child that fails a number of times and then runs until it is stopped. */
typedef struct {
	unsigned failures;
	unsigned starts;
	supervisor_t *supervisor; /* stopped by the last start, unless NULL */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool woken;
} child_t;

static int child_run(void *context, const volatile int *stop)
{
	child_t *child = context;

	if (__atomic_add_fetch(&child->starts, 1, __ATOMIC_ACQ_REL) <=
	    child->failures)
		return -1;
	if (child->supervisor)
		supervisor_stop(child->supervisor);
	pthread_mutex_lock(&child->lock);
	while (!child->woken)
		pthread_cond_wait(&child->wake, &child->lock);
	pthread_mutex_unlock(&child->lock);
	return *stop ? 0 : -1;
}

static void child_wake(void *context)
{
	child_t *child = context;

	pthread_mutex_lock(&child->lock);
	child->woken = true;
	pthread_cond_signal(&child->wake);
	pthread_mutex_unlock(&child->lock);
}

/*
 * Each row has the number of failures of the child and of allowed restarts, and
 * the expected result of supervisor_run() and number of starts.
 */
static const struct {
	const char *name;
	unsigned failures, max_restarts;
	int result;
	unsigned starts;
} rows[] = {
	{ "stopped", 0, 3, 0, 1 },
	{ "restarted", 3, 3, 0, 4 },
	{ "gives-up", 9, 3, -1, 4 },
	{ "no-restart", 1, 0, -1, 1 },
};

static void test_row(gconstpointer data)
{
	const unsigned row = GPOINTER_TO_UINT(data);
	supervisor_t *sup = supervisor_new("test", rows[row].max_restarts,
					   3600 * USEC_PER_SEC);
	child_t child = { .failures = rows[row].failures, .supervisor = sup };
	const supervisor_child_t spec = { "child", child_run, child_wake,
					  &child };

	pthread_mutex_init(&child.lock, NULL);
	pthread_cond_init(&child.wake, NULL);
	g_assert_cmpint(supervisor_add(sup, &spec, NULL), ==, 0);
	g_assert_cmpint(supervisor_run(sup), ==, rows[row].result);
	supervisor_free(sup);
	g_assert_cmpuint(child.starts, ==, rows[row].starts);
	pthread_cond_destroy(&child.wake);
	pthread_mutex_destroy(&child.lock);
}

int main(int argc, char **argv)
{
	unsigned i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *path = g_strdup_printf("/supervisor/%s", rows[i].name);

		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_row);
		g_free(path);
	}
	return g_test_run();
}
