#include <glib.h>
#include "entry-probe-time.h"

/*
 * How long probes are waited for. Guards against a copy that is taken for
 * unreachable, and tested over a new connection, only because this VM or its
 * link is busy: probes of a small VM take 5 ms when it is idle and more than
 * 200 ms while it sends large bodies.
 */

#define MS USEC_PER_MS

static void add(entry_probe_time_t *time, unsigned count, usec_t took)
{
	while (count-- > 0)
		entry_probe_time_add(time, took);
}

static void test_initial(void)
{
	entry_probe_time_t time = { 0 };

	g_assert_cmpint(entry_probe_time_limit(&time), ==, 400 * MS);
	add(&time, 7, 5 * MS);
	g_assert_cmpint(entry_probe_time_limit(&time), ==, 400 * MS);
	g_assert_cmpint(entry_probe_time_usual(&time), ==, 12 * MS);
}

/* Steady times give a limit near them, but not below the minimum. */
static void test_steady(void)
{
	entry_probe_time_t time = { 0 };

	add(&time, 50, 5 * MS);
	g_assert_cmpint(entry_probe_time_usual(&time), <=, 6 * MS);
	g_assert_cmpint(entry_probe_time_limit(&time), ==, 20 * MS);
	add(&time, 50, 60 * MS);
	g_assert_cmpint(entry_probe_time_usual(&time), >, 59 * MS);
	g_assert_cmpint(entry_probe_time_limit(&time), <, 70 * MS);
}

/* One time in four is long: hardly any response comes after the limit. */
static void test_uneven(void)
{
	GRand *random = g_rand_new_with_seed(1);
	entry_probe_time_t time = { 0 };
	unsigned late = 0;
	unsigned i;

	for (i = 0; i < 1000; i++) {
		usec_t took = g_rand_int_range(random, 0, 4) ? 4 * MS :
							       150 * MS;

		if (i > 50)
			late += took > entry_probe_time_limit(&time);
		entry_probe_time_add(&time, took);
	}
	g_rand_free(random);
	g_assert_cmpuint(late, <, 100);
}

/* Timeouts raise the limit, as slow responses after it are not seen; a response
 * ends that. */
static void test_timeouts(void)
{
	entry_probe_time_t time = { 0 };
	usec_t limit;

	add(&time, 50, 15 * MS);
	limit = entry_probe_time_limit(&time);
	entry_probe_time_add_timeout(&time);
	g_assert_cmpint(entry_probe_time_limit(&time), ==, 2 * limit);
	entry_probe_time_add_timeout(&time);
	g_assert_cmpint(entry_probe_time_limit(&time), ==, 4 * limit);
	for (limit = 0; limit < 100; limit++)
		entry_probe_time_add_timeout(&time);
	g_assert_cmpint(entry_probe_time_limit(&time), ==, 400 * MS);
	add(&time, 1, 15 * MS);
	g_assert_cmpint(entry_probe_time_limit(&time), <, 40 * MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/probe-time/initial", test_initial);
	g_test_add_func("/probe-time/steady", test_steady);
	g_test_add_func("/probe-time/uneven", test_uneven);
	g_test_add_func("/probe-time/timeouts", test_timeouts);
	return g_test_run();
}
