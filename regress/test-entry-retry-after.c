#include <glib.h>
#include "entry.h"

/*
 * Values of the Retry-After header of copies. Guards against a copy that gets
 * calls, or gets none for ever, because of a value that no copy should send.
 */

static const struct {
	const char *text;
	bool valid;
	usec_t wait;
} rows[] = {
	{ "0", true, 0 },
	{ "1", true, USEC_PER_SEC },
	{ "2.5", true, 2500000 },
	{ "0.25", true, 250000 },
	{ "1.0000004", true, USEC_PER_SEC },
	{ "007", true, 7 * USEC_PER_SEC },
	/* Absurd values count as a minute. */
	{ "60", true, 60 * USEC_PER_SEC },
	{ "60.5", true, 60 * USEC_PER_SEC },
	{ "86400", true, 60 * USEC_PER_SEC },
	{ "99999999999999999999999999999999", true, 60 * USEC_PER_SEC },
	/* Others are ignored. */
	{ "", false, 0 },
	{ "-1", false, 0 },
	{ "+1", false, 0 },
	{ ".5", false, 0 },
	{ "1.", false, 0 },
	{ "1e3", false, 0 },
	{ "1 s", false, 0 },
	{ "1,5", false, 0 },
	{ "nan", false, 0 },
	{ "inf", false, 0 },
	{ "0x10", false, 0 },
	{ "soon", false, 0 },
	{ "Fri, 04 Dec 2026 10:00:00 GMT", false, 0 },
};

static void test_value(gconstpointer data)
{
	size_t i = GPOINTER_TO_SIZE(data);
	usec_t wait = 0;

	g_assert_cmpint(entry_retry_after_read(rows[i].text, &wait), ==,
			rows[i].valid);
	if (rows[i].valid)
		g_assert_cmpint(wait, ==, rows[i].wait);
}

int main(int argc, char **argv)
{
	char path[64];
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_snprintf(path, sizeof(path), "/entry-retry-after/%zu", i);
		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_value);
	}
	return g_test_run();
}
