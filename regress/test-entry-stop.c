#include <glib.h>
#include "entry-stop.h"

/* Guards against calls that a stopping entry takes and cannot end in time. */

#define ACCEPT (2800 * USEC_PER_MS)
#define LINGER (4200 * USEC_PER_MS)
#define DRAIN (1600 * USEC_PER_MS)
#define START (100 * USEC_PER_SEC)
#define MINUTE (60 * USEC_PER_SEC)
#define STEP (50 * USEC_PER_MS)
/* Maximum time that a process needs for its end, before it is killed. */
#define EXIT (500 * USEC_PER_MS)

/* Calls that come some time after the start of a stop. */
static const struct {
	const char *name;
	usec_t after;	/* time since the start of the stop */
	usec_t timeout; /* of the route */
	bool must_end;
	bool admitted;
} calls[] = {
	{ "early-short", 0, USEC_PER_SEC, false, true },
	{ "early-long", 0, MINUTE, false, true },
	{ "last-of-all", 2799 * USEC_PER_MS, MINUTE, false, true },
	{ "late-long", 2800 * USEC_PER_MS, 5 * USEC_PER_SEC, false, false },
	{ "late-short", 3100 * USEC_PER_MS, 2500 * USEC_PER_MS, false, true },
	{ "late-just-ends", 3250 * USEC_PER_MS, 2500 * USEC_PER_MS, false,
	  true },
	{ "late-just-not", 3251 * USEC_PER_MS, 2500 * USEC_PER_MS, false,
	  false },
	{ "upload-ends", 0, 5 * USEC_PER_SEC, true, true },
	{ "upload-does-not", USEC_PER_SEC, 5 * USEC_PER_SEC, true, false },
	{ "from-sibling-ends", USEC_PER_SEC, 4 * USEC_PER_SEC, true, true },
	{ "from-sibling-does-not", 0, 8 * USEC_PER_SEC, true, false },
};

static const entry_stop_times_t times = { ACCEPT, LINGER, DRAIN, 0 };

static void test_call(gconstpointer data)
{
	unsigned i = GPOINTER_TO_UINT(data);
	entry_stop_t stop = entry_stop_begin(&times, START);
	usec_t now = START + calls[i].after;

	g_assert_cmpint(entry_stop_admits(&stop, now + calls[i].timeout,
					  calls[i].must_end, now),
			==, calls[i].admitted);
}

/* Every call that is taken after the first part ends before the stop, and every
 * one that does is taken. */
static void test_all(void)
{
	entry_stop_t stop = entry_stop_begin(&times, START);
	usec_t end = START + LINGER + DRAIN, now, timeout;
	bool admitted;

	for (now = START + ACCEPT; now < end; now += STEP) {
		for (timeout = STEP; timeout < LINGER + DRAIN;
		     timeout += STEP) {
			admitted = entry_stop_admits(&stop, now + timeout,
						     false, now);
			g_assert_cmpint(admitted, ==,
					now + timeout + STEP <= end);
		}
	}
}

/* Guards against calls that are cut while time is left until the process is killed,
 * against a stop that lasts longer, and against calls that are taken just before they
 * are cut. */
static void test_grace(void)
{
	entry_stop_times_t known = times;
	usec_t kill, sixth;
	entry_stop_t stop;

	for (known.grace = STEP; known.grace < MINUTE; known.grace += STEP) {
		kill = START + known.grace;
		sixth = known.grace / 6;
		stop = entry_stop_begin(&known, START);
		g_assert_cmpint(stop.end, >=, kill - sixth);
		g_assert_cmpint(stop.end, >=, kill - EXIT);
		g_assert_cmpint(stop.linger_until, <, kill);
		g_assert_cmpint(stop.linger_until, >, stop.end);
		g_assert_cmpint(stop.listen_until, ==,
				MIN(START + LINGER, stop.end));
		g_assert_cmpint(stop.accept_until, ==,
				MIN(START + ACCEPT, START + known.grace / 2));
	}
}

int main(int argc, char **argv)
{
	unsigned i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		char *path = g_strdup_printf("/entry-stop/%s", calls[i].name);

		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_call);
		g_free(path);
	}
	g_test_add_func("/entry-stop/all", test_all);
	g_test_add_func("/entry-stop/grace", test_grace);
	return g_test_run();
}
