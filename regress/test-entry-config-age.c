#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "entry-config-age.h"

/*
 * Guards against sends by an old or unconfirmed configuration that /metrics does
 * not show: the highest age is kept, sends without a confirmation are counted apart
 * from those with one, and the age of the last confirmation grows without a send.
 */

#define START (100 * USEC_PER_SEC)

typedef struct {
	metrics_t *metrics;
	entry_config_age_t age;
} fixture_t;

static void fixture_init(fixture_t *fixture)
{
	fixture->metrics = metrics_new();
	entry_config_age_init(&fixture->age, fixture->metrics);
}

/* Whether the exposition has a line. */
static bool fixture_has(const fixture_t *fixture, const char *line)
{
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);
	bool found;

	metrics_write(fixture->metrics, out);
	fclose(out);
	found = strstr(text, line) != NULL;
	if (!found)
		g_test_message("no %s in\n%s", line, text);
	free(text);
	return found;
}

static void test_sends(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	entry_config_age_sent(&fixture.age, 0, START);
	g_assert_true(fixture_has(&fixture, "\nhemlock_sent_unconfirmed_total "
					    "1\n"));
	g_assert_true(fixture_has(&fixture,
				  "hemlock_sent_config_age_seconds_count{} "
				  "0\n"));
	entry_config_age_sent(&fixture.age, START, START + 2 * USEC_PER_SEC);
	entry_config_age_sent(&fixture.age, START, START + USEC_PER_SEC);
	entry_config_age_sent(&fixture.age, START, START);
	g_assert_true(fixture_has(&fixture,
				  "hemlock_sent_config_age_seconds_count{} "
				  "3\n"));
	g_assert_true(fixture_has(
		&fixture, "hemlock_sent_config_age_seconds_sum{} 3.000000\n"));
	g_assert_true(fixture_has(&fixture, "\nhemlock_sent_config_age_max_ms "
					    "2000\n"));
	g_assert_true(fixture_has(&fixture, "\nhemlock_sent_unconfirmed_total "
					    "1\n"));
	metrics_free(fixture.metrics);
}

static void test_last(void)
{
	fixture_t fixture;
	usec_t now = START + 3 * USEC_PER_SEC;

	fixture_init(&fixture);
	entry_config_age_update(&fixture.age, 0, START, now);
	g_assert_true(fixture_has(&fixture, "\nhemlock_config_confirmed_age_ms "
					    "3000\n"));
	entry_config_age_update(&fixture.age, now - USEC_PER_SEC, START, now);
	g_assert_true(fixture_has(&fixture, "\nhemlock_config_confirmed_age_ms "
					    "1000\n"));
	metrics_free(fixture.metrics);
}

/* Without entry.routed there are no such metrics. */
static void test_none(void)
{
	const entry_config_age_t none = { 0 };

	entry_config_age_sent(&none, 0, START);
	entry_config_age_sent(&none, START, START);
	entry_config_age_update(&none, START, START, START);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-config-age/sends", test_sends);
	g_test_add_func("/entry-config-age/last", test_last);
	g_test_add_func("/entry-config-age/none", test_none);
	return g_test_run();
}
