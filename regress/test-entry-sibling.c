#include <glib.h>
#include <string.h>
#include "entry-sibling.h"

/*
 * Tests of what an entry that lacks paths learns of its siblings. A failure here
 * leaves the calls of an entry with siblings that lack the same paths, whether it
 * gets few calls or many, or asks siblings without end.
 */

#define STEP (10 * USEC_PER_MS)
/* Time of a question and its answer. */
#define ROUND_TRIP STEP
#define SIBLINGS 32

typedef struct {
	entry_siblings_t set;
	entry_sibling_state_t answers[SIBLINGS];
	unsigned questions;
	usec_t now;
} fixture_t;

static void sibling_address(unsigned index, char address[HL_ADDRESS_MAX])
{
	g_snprintf(address, HL_ADDRESS_MAX, "10.0.0.%u:80", index);
}

/* Adds siblings of which the first @near are in the own zone and @lacking lack the
   same paths. */
static fixture_t *fixture_new(unsigned near, unsigned lacking)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	char address[HL_ADDRESS_MAX];
	unsigned i;

	fixture->now = USEC_PER_SEC;
	entry_siblings_init(&fixture->set);
	for (i = 0; i < SIBLINGS; i++) {
		sibling_address(i, address);
		entry_siblings_add(&fixture->set, address, i < near);
		fixture->answers[i] = i < lacking ? ENTRY_SIBLING_LACKS :
						    ENTRY_SIBLING_REACHES;
	}
	return fixture;
}

static void fixture_free(fixture_t *fixture)
{
	entry_siblings_clear(&fixture->set);
	g_free(fixture);
}

static unsigned sibling_index(const entry_sibling_t *sibling)
{
	return (unsigned)g_ascii_strtoull(sibling->address + strlen("10.0.0."),
					  NULL, 10);
}

/* Asks and answers for a while; answers come a round trip after their question. */
static void run(fixture_t *fixture, usec_t length)
{
	usec_t end = fixture->now + length;
	entry_sibling_t *asked[SIBLINGS];
	entry_sibling_t *sibling;

	while (fixture->now < end) {
		unsigned count = 0;
		unsigned i;

		while ((sibling = entry_siblings_next(&fixture->set,
						      fixture->now)))
			asked[count++] = sibling;
		fixture->questions += count;
		fixture->now += ROUND_TRIP;
		for (i = 0; i < count; i++)
			entry_siblings_on_answer(
				&fixture->set, asked[i]->address,
				fixture->answers[sibling_index(asked[i])],
				fixture->now);
	}
}

/* Asserts that each call goes to a sibling from @first to before @end. */
static void assert_chosen(const fixture_t *fixture, unsigned first,
			  unsigned end)
{
	const entry_sibling_t *sibling;
	unsigned random, count;

	for (random = 0; random < SIBLINGS; random++) {
		sibling = entry_siblings_choose(&fixture->set, random, &count,
						fixture->now);
		g_assert_nonnull(sibling);
		g_assert_cmpuint(count, >, 0);
		g_assert_cmpuint(sibling_index(sibling), >=, first);
		g_assert_cmpuint(sibling_index(sibling), <, end);
	}
}

/* A whole zone is cut off: siblings of other zones must be found without any call,
   and none of the own zone gets a call. */
static void test_zone_cut_off(void)
{
	fixture_t *fixture = fixture_new(24, 24);

	g_assert_false(entry_siblings_reach(&fixture->set, fixture->now));
	g_assert_true(entry_siblings_may_reach(&fixture->set, fixture->now));
	run(fixture, 200 * USEC_PER_MS);
	g_assert_true(entry_siblings_reach(&fixture->set, fixture->now));
	g_assert_false(entry_siblings_may_reach(&fixture->set, fixture->now));
	assert_chosen(fixture, 24, SIBLINGS);
	fixture_free(fixture);
}

/* Half of the zone reaches copies: calls stay in the zone, and are not sent to the
   other half. A small zone does not ask siblings of others. */
static void test_half_of_zone(void)
{
	fixture_t *fixture = fixture_new(24, 12);

	run(fixture, 200 * USEC_PER_MS);
	assert_chosen(fixture, 12, 24);
	fixture_free(fixture);
	fixture = fixture_new(4, 2);
	run(fixture, 50 * USEC_PER_MS);
	assert_chosen(fixture, 2, 4);
	g_assert_cmpuint(fixture->questions, ==, 4);
	fixture_free(fixture);
}

/* A single sibling of the zone reaches copies: it must not get the calls of the
   whole zone. */
static void test_one_of_zone(void)
{
	fixture_t *fixture = fixture_new(24, 23);
	const entry_sibling_t *sibling;
	unsigned far = 0;
	unsigned random, count;

	run(fixture, 200 * USEC_PER_MS);
	assert_chosen(fixture, 23, SIBLINGS);
	for (random = 0; random < SIBLINGS; random++) {
		sibling = entry_siblings_choose(&fixture->set, random, &count,
						fixture->now);
		far += !sibling->near;
	}
	g_assert_cmpuint(far, >, SIBLINGS / 2);
	fixture_free(fixture);
}

/* No sibling reaches copies: calls are refused at once, and one that regains its
   paths is found. */
static void test_none_reaches(void)
{
	fixture_t *fixture = fixture_new(24, SIBLINGS);
	unsigned count;

	run(fixture, 200 * USEC_PER_MS);
	g_assert_null(
		entry_siblings_choose(&fixture->set, 0, &count, fixture->now));
	g_assert_cmpuint(count, ==, 0);
	fixture->answers[5] = ENTRY_SIBLING_REACHES;
	run(fixture, 2 * USEC_PER_SEC);
	assert_chosen(fixture, 5, 6);
	fixture_free(fixture);
}

/* A sibling that is cut off too gets no call from then on, and neither does one that
   has not answered for a while. */
static void test_sibling_is_lost(void)
{
	fixture_t *fixture = fixture_new(SIBLINGS, SIBLINGS - 2);
	const entry_sibling_t *sibling;
	char address[HL_ADDRESS_MAX];
	unsigned count;

	run(fixture, 200 * USEC_PER_MS);
	assert_chosen(fixture, SIBLINGS - 2, SIBLINGS);
	sibling_address(SIBLINGS - 2, address);
	entry_siblings_on_answer(&fixture->set, address, ENTRY_SIBLING_LACKS,
				 fixture->now);
	assert_chosen(fixture, SIBLINGS - 1, SIBLINGS);
	fixture->now += 5 * USEC_PER_SEC;
	g_assert_false(entry_siblings_reach(&fixture->set, fixture->now));
	sibling = entry_siblings_choose(&fixture->set, 0, &count, fixture->now);
	g_assert_cmpuint(sibling_index(sibling), ==, SIBLINGS - 1);
	fixture_free(fixture);
}

/* Of hundreds of siblings just one reaches copies: it must be found, though the set
   cannot hold all of them. */
static void test_large_site(void)
{
	fixture_t *fixture = fixture_new(24, SIBLINGS);
	const entry_sibling_t *sibling;
	char address[HL_ADDRESS_MAX];
	unsigned i, count;

	for (i = SIBLINGS; i < 10 * SIBLINGS; i++) {
		g_snprintf(address, sizeof(address), "10.0.%u.%u:80",
			   i / SIBLINGS, i % SIBLINGS);
		entry_siblings_add(&fixture->set, address, false);
		if (i % 8 == 0)
			run(fixture, 20 * USEC_PER_MS);
	}
	entry_siblings_add(&fixture->set, "10.1.0.1:80", false);
	entry_siblings_on_answer(&fixture->set, "10.1.0.1:80",
				 ENTRY_SIBLING_REACHES, fixture->now);
	sibling = entry_siblings_choose(&fixture->set, 0, &count, fixture->now);
	g_assert_nonnull(sibling);
	g_assert_cmpstr(sibling->address, ==, "10.1.0.1:80");
	fixture_free(fixture);
}

/* The entries of a large site must not be asked without end: once some siblings are
   known to reach copies, only these are asked again. */
static void test_questions_are_few(void)
{
	fixture_t *fixture = fixture_new(24, 12);

	run(fixture, USEC_PER_SEC);
	fixture->questions = 0;
	run(fixture, 10 * USEC_PER_SEC);
	g_assert_cmpuint(fixture->questions, <=, 10 * 16);
	fixture_free(fixture);
}

/* An entry that is cut off from hundreds of services must not ask for all of them at
   the rate at which it asks for one. */
static void test_questions_of_all_services(void)
{
	entry_question_rate_t rate = { 0 };
	unsigned sent = 0;
	usec_t now;

	for (now = USEC_PER_SEC; now < 11 * USEC_PER_SEC; now += USEC_PER_MS)
		sent += entry_question_rate_take(&rate, now);
	g_assert_cmpuint(sent, <=, 10 * 64);
	g_assert_cmpuint(sent, >=, 9 * 64);
}

/* An entry of an earlier version does not understand the question: it may get calls
   until it has declined one. */
static void test_unknown_answers(void)
{
	fixture_t *fixture = fixture_new(SIBLINGS, 0);
	const entry_sibling_t *sibling;
	unsigned i, count;

	for (i = 0; i < SIBLINGS; i++)
		fixture->answers[i] = ENTRY_SIBLING_UNKNOWN;
	run(fixture, 200 * USEC_PER_MS);
	for (i = SIBLINGS; i > 0; i--) {
		sibling = entry_siblings_choose(&fixture->set, 0, &count,
						fixture->now);
		g_assert_nonnull(sibling);
		g_assert_cmpuint(count, ==, i);
		entry_siblings_on_answer(&fixture->set, sibling->address,
					 ENTRY_SIBLING_LACKS, fixture->now);
	}
	g_assert_null(
		entry_siblings_choose(&fixture->set, 0, &count, fixture->now));
	fixture_free(fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-sibling/zone-cut-off", test_zone_cut_off);
	g_test_add_func("/entry-sibling/half-of-zone", test_half_of_zone);
	g_test_add_func("/entry-sibling/one-of-zone", test_one_of_zone);
	g_test_add_func("/entry-sibling/none-reaches", test_none_reaches);
	g_test_add_func("/entry-sibling/sibling-is-lost", test_sibling_is_lost);
	g_test_add_func("/entry-sibling/questions-are-few",
			test_questions_are_few);
	g_test_add_func("/entry-sibling/questions-of-all-services",
			test_questions_of_all_services);
	g_test_add_func("/entry-sibling/large-site", test_large_site);
	g_test_add_func("/entry-sibling/unknown-answers", test_unknown_answers);
	return g_test_run();
}
