#include <glib.h>
#include <string.h>
#include "config-sibling.h"

/*
 * When a follower asks siblings for the keepers, and what their answers mean.
 */

#define CLUSTER 7
#define START (100 * USEC_PER_SEC)
#define CONFIRM_MAX (1250 * USEC_PER_MS)

typedef struct {
	config_sibling_t sibling;
	config_sibling_view_t view;
	uint64_t reported; /* by the last answer() */
} fixture_t;

static void setup(fixture_t *fixture, gconstpointer data)
{
	(void)data;
	memset(fixture, 0, sizeof(*fixture));
	fixture->view = (config_sibling_view_t){
		.cluster = CLUSTER,
		.revision = 5,
		.newest_at = START,
		.confirm_max = CONFIRM_MAX,
		.unconfirmed = 3,
		.keepers = { 3,
			     { "10.0.0.1:7090", "10.0.0.2:7090",
			       "10.0.0.3:7090" } }
	};
}

static config_sibling_answer_t make_answer(const char *keepers,
					   uint64_t revision, usec_t age)
{
	config_sibling_answer_t answer = { .cluster = CLUSTER,
					   .revision = revision,
					   .confirmed_age = age };

	answer.malformed = keepers &&
			   !config_sibling_read_keepers(keepers,
							&answer.keepers);
	return answer;
}

static config_sibling_result_t answer(fixture_t *fixture, const char *address,
				      const config_sibling_answer_t *from,
				      usec_t now)
{
	return config_sibling_on_answer(&fixture->sibling, &fixture->view,
					address, from, now, &fixture->reported);
}

static setting_list_t make_siblings(unsigned count)
{
	setting_list_t list = { .count = count };
	unsigned i;

	for (i = 0; i < count; i++)
		g_snprintf(list.items[i], HL_ADDRESS_MAX, "10.0.1.%u:7080", i);
	return list;
}

/* Guards against questions while keepers confirm, and against a wait for more polls
 * after a suspension. */
static void test_due(fixture_t *fixture, gconstpointer data)
{
	config_sibling_view_t *view = &fixture->view;
	const config_sibling_t *sibling = &fixture->sibling;
	usec_t late = START + CONFIRM_MAX;

	(void)data;
	g_assert_false(config_sibling_due(sibling, view, late));
	g_assert_true(config_sibling_due(sibling, view, late + 1));
	view->unconfirmed = 2;
	g_assert_false(config_sibling_due(sibling, view, late + 1));
	view->unconfirmed = 1;
	g_assert_true(
		config_sibling_due(sibling, view, START + 5 * USEC_PER_SEC));
	view->unconfirmed = 0;
	g_assert_false(
		config_sibling_due(sibling, view, START + 5 * USEC_PER_SEC));
	/* Just started: no confirmation yet. */
	view->newest_at = 0;
	view->unconfirmed = 2;
	g_assert_false(config_sibling_due(sibling, view, START));
	view->unconfirmed = 3;
	g_assert_false(config_sibling_due(sibling, view, START));
}

/* Guards against more than two questions a second, and against a sibling that is
 * asked while another one was not. */
static void test_rate(fixture_t *fixture, gconstpointer data)
{
	const setting_list_t siblings = make_siblings(3);
	unsigned asked[3] = { 0 };
	unsigned total = 0;
	usec_t now;

	(void)data;
	for (now = START + 2 * USEC_PER_SEC; now < START + 62 * USEC_PER_SEC;
	     now += USEC_PER_MS) {
		const char *address;

		if (!config_sibling_due(&fixture->sibling, &fixture->view, now))
			continue;
		address = config_sibling_next(&fixture->sibling, &siblings,
					      now);
		asked[address[strlen("10.0.1.")] - '0']++;
		total++;
		g_assert_cmpuint(total, <=,
				 1 + (now - START - 2 * USEC_PER_SEC) /
						 (500 * USEC_PER_MS));
	}
	/* 8 in 4 s, 8 in 8 s, then one each 2 s. */
	g_assert_cmpuint(total, >=, 38);
	g_assert_cmpuint(total, <=, 42);
	g_assert_cmpuint(MAX(asked[0], MAX(asked[1], asked[2])) -
				 MIN(asked[0], MIN(asked[1], asked[2])),
			 <=, 1);
}

static void test_no_siblings(fixture_t *fixture, gconstpointer data)
{
	const setting_list_t none = { 0 };
	usec_t now = START + 2 * USEC_PER_SEC;

	(void)data;
	g_assert_null(config_sibling_next(&fixture->sibling, &none, now));
	g_assert_false(config_sibling_due(&fixture->sibling, &fixture->view,
					  now + 100 * USEC_PER_MS));
}

/* Guards against lists with malformed addresses, or too many, of which a part is
 * used. */
static void test_malformed(fixture_t *fixture, gconstpointer data)
{
	static const char *const malformed[] = {
		"",
		",",
		"10.0.0.1:7090,",
		"keeper:7090",
		"10.0.0.1",
		"10.0.0.1:7090,10.0.0.2:99999",
		"10.0.0.1:7090;10.0.0.2:7090",
		"10.0.0.1:1,10.0.0.1:2,10.0.0.1:3,10.0.0.1:4,10.0.0.1:5,"
		"10.0.0.1:6,10.0.0.1:7,10.0.0.1:8",
		"10.0.0.1:1,10.0.0.1:2,10.0.0.1:3,10.0.0.1:4,10.0.0.1:5,"
		"10.0.0.1:6,10.0.0.1:7,10.0.0.1:8,10.0.0.1:9",
		"1000000000000000000000000000000000000000000000000000000000000"
		"0000000000000000000000000000000000000000000000000000000.0.0.1"
		":7090",
	};
	setting_list_t list;
	size_t i;

	(void)data;
	for (i = 0; i < G_N_ELEMENTS(malformed); i++) {
		config_sibling_answer_t bad = make_answer(malformed[i], 9, 0);

		g_assert_true(bad.malformed);
		g_assert_cmpuint(bad.keepers.count, ==, 0);
		g_assert_cmpint(answer(fixture, "a", &bad,
				       START + 2 * USEC_PER_SEC),
				==, CONFIG_SIBLING_DROPPED);
		g_assert_cmpuint(fixture->reported, ==, 0);
		g_assert_null(config_sibling_keeper(&fixture->sibling));
	}
	g_assert_true(config_sibling_read_keepers(
		" 10.0.0.1:1, [::1]:2,10.0.0.1:3,10.0.0.1:4,10.0.0.1:5,"
		"10.0.0.1:6,10.0.0.1:7",
		&list));
	g_assert_cmpuint(list.count, ==, 7);
	g_assert_cmpstr(list.items[1], ==, "[::1]:2");
}

/* Guards against keepers and revisions of another cluster. */
static void test_cluster(fixture_t *fixture, gconstpointer data)
{
	config_sibling_answer_t other = make_answer("10.0.0.4:7090", 9, 0);
	usec_t now = START + 2 * USEC_PER_SEC;

	(void)data;
	other.cluster = CLUSTER + 1;
	g_assert_cmpint(answer(fixture, "a", &other, now), ==,
			CONFIG_SIBLING_DROPPED);
	g_assert_cmpint(answer(fixture, "b", &other, now), ==,
			CONFIG_SIBLING_DROPPED);
	g_assert_cmpuint(fixture->reported, ==, 0);
	g_assert_null(config_sibling_keeper(&fixture->sibling));
}

/* Guards against an older list that replaces a newer one which was not polled yet, and
 * against a list that is older than what this entry has itself. */
static void test_crossed(fixture_t *fixture, gconstpointer data)
{
	config_sibling_answer_t newer = make_answer("10.0.0.4:7090", 5, 0);
	config_sibling_answer_t older = make_answer("10.0.0.9:7090", 5,
						    6 * USEC_PER_SEC);
	usec_t now = START + 10 * USEC_PER_SEC;

	(void)data;
	g_assert_cmpint(answer(fixture, "a", &newer, now), ==,
			CONFIG_SIBLING_POLL);
	g_assert_cmpint(answer(fixture, "b", &older, now), ==,
			CONFIG_SIBLING_USELESS);
	g_assert_cmpstr(config_sibling_keeper(&fixture->sibling), ==,
			"10.0.0.4:7090");
	/* The newer one was polled without success: the older one is tried. */
	g_assert_cmpint(answer(fixture, "b", &older, now), ==,
			CONFIG_SIBLING_POLL);
	g_assert_cmpstr(fixture->sibling.source, ==, "b");
	older.confirmed_age = 10 * USEC_PER_SEC;
	g_assert_cmpint(answer(fixture, "b", &older, now), ==,
			CONFIG_SIBLING_USELESS);
	older.confirmed_age = USEC_NEVER;
	g_assert_cmpint(answer(fixture, "b", &older, now), ==,
			CONFIG_SIBLING_USELESS);
	g_assert_cmpint(answer(fixture, "c", &newer, now), ==,
			CONFIG_SIBLING_POLL);
	g_assert_cmpstr(fixture->sibling.source, ==, "c");
}

/* Guards against a list of addresses that do not respond which keeps this entry from
 * polling its own list. */
static void test_turns(fixture_t *fixture, gconstpointer data)
{
	config_sibling_answer_t list =
		make_answer("10.0.0.4:7090,10.0.0.5:7090", 5, 0);
	config_sibling_t *sibling = &fixture->sibling;

	(void)data;
	answer(fixture, "a", &list, START + 2 * USEC_PER_SEC);
	g_assert_cmpstr(config_sibling_keeper(sibling), ==, "10.0.0.4:7090");
	g_assert_null(config_sibling_keeper(sibling));
	g_assert_cmpstr(config_sibling_keeper(sibling), ==, "10.0.0.5:7090");
	g_assert_null(config_sibling_keeper(sibling));
	g_assert_null(config_sibling_keeper(sibling));
	config_sibling_add_leader(sibling, "10.0.0.6:7090");
	g_assert_cmpstr(config_sibling_keeper(sibling), ==, "10.0.0.6:7090");
	config_sibling_add_leader(sibling, "");
	config_sibling_add_leader(sibling, "keeper");
	g_assert_null(config_sibling_keeper(sibling));
	g_assert_null(config_sibling_keeper(sibling));
	answer(fixture, "a", &list, START + 2 * USEC_PER_SEC);
	config_sibling_confirmed(sibling);
	g_assert_null(config_sibling_keeper(sibling));
}

/* Guards against two keepers that name each other as the leader, and keep the follower
 * from its own list. */
static void test_leaders(fixture_t *fixture, gconstpointer data)
{
	config_sibling_answer_t list = make_answer("10.0.0.4:7090", 5, 0);
	config_sibling_t *sibling = &fixture->sibling;
	unsigned polls = 0;

	(void)data;
	answer(fixture, "a", &list, START + 2 * USEC_PER_SEC);
	while (config_sibling_keeper(sibling)) {
		config_sibling_add_leader(sibling, polls % 2 ? "10.0.0.4:7090" :
							       "10.0.0.5:7090");
		polls++;
		g_assert_cmpuint(polls, <=, 1 + PRESENCE_KEEPERS_MAX);
	}
}

/* Guards against more polls while no keeper of an unchanged group leads. */
static void test_same_list(fixture_t *fixture, gconstpointer data)
{
	config_sibling_answer_t same =
		make_answer("10.0.0.3:7090,10.0.0.1:7090", 5, 0);
	config_sibling_answer_t other =
		make_answer("10.0.0.3:7090,10.0.0.4:7090", 5, 0);
	usec_t now = START + 2 * USEC_PER_SEC;

	(void)data;
	g_assert_cmpint(answer(fixture, "a", &same, now), ==,
			CONFIG_SIBLING_USELESS);
	g_assert_null(config_sibling_keeper(&fixture->sibling));
	g_assert_cmpint(answer(fixture, "a", &other, now), ==,
			CONFIG_SIBLING_POLL);
}

/* Guards against one faulty sibling that makes entries refuse calls. */
static void test_faulty(fixture_t *fixture, gconstpointer data)
{
	config_sibling_answer_t faulty = make_answer(NULL, 1000, 0);
	config_sibling_answer_t sound = make_answer(NULL, 5, 0);
	usec_t now = START + 2 * USEC_PER_SEC;
	unsigned i;

	(void)data;
	for (i = 0; i < 100; i++) {
		g_assert_cmpint(answer(fixture, "a", &faulty, now), ==,
				CONFIG_SIBLING_POLL);
		g_assert_cmpuint(fixture->reported, ==, 0);
		g_assert_cmpint(answer(fixture, "b", &sound, now), ==,
				CONFIG_SIBLING_USELESS);
		g_assert_cmpuint(fixture->reported, ==, 0);
		now += 500 * USEC_PER_MS;
	}
	/* Beside a sound one with a newer revision, that one counts. */
	sound.revision = 6;
	answer(fixture, "b", &sound, now);
	g_assert_cmpuint(fixture->reported, ==, 6);
}

static void test_agreed(fixture_t *fixture, gconstpointer data)
{
	config_sibling_answer_t from = make_answer(NULL, 8, 0);
	usec_t now = START + 2 * USEC_PER_SEC;

	(void)data;
	answer(fixture, "a", &from, now);
	g_assert_cmpuint(fixture->reported, ==, 0);
	/* Too late after the other one. */
	answer(fixture, "b", &from, now += 2501 * USEC_PER_MS);
	g_assert_cmpuint(fixture->reported, ==, 0);
	from.revision = 7;
	answer(fixture, "a", &from, now += 2500 * USEC_PER_MS);
	g_assert_cmpuint(fixture->reported, ==, 7);
	/* In force meanwhile. */
	fixture->view.revision = 7;
	from.revision = 8;
	answer(fixture, "b", &from, now);
	g_assert_cmpuint(fixture->reported, ==, 0);
	config_sibling_confirmed(&fixture->sibling);
	answer(fixture, "a", &from, now);
	g_assert_cmpuint(fixture->reported, ==, 0);
}

/* Guards against polls of keepers by a list that is older than the own one, whatever the
 * sibling's confirmation is. One of an earlier release states no revision. */
static void test_keepers_revision(fixture_t *fixture, gconstpointer data)
{
	config_sibling_answer_t from = make_answer("10.0.0.4:7090", 5, 0);
	usec_t now = START + 2 * USEC_PER_SEC;

	(void)data;
	fixture->view.keepers_revision = 8;
	from.keepers_revision = 7;
	g_assert_cmpint(answer(fixture, "a", &from, now), ==,
			CONFIG_SIBLING_USELESS);
	g_assert_null(config_sibling_keeper(&fixture->sibling));
	from.keepers_revision = 8;
	g_assert_cmpint(answer(fixture, "a", &from, now), ==,
			CONFIG_SIBLING_POLL);
	config_sibling_confirmed(&fixture->sibling);
	from.keepers_revision = 0;
	g_assert_cmpint(answer(fixture, "a", &from, now), ==,
			CONFIG_SIBLING_POLL);
}

static void add(const char *name,
		void (*test)(fixture_t *fixture, gconstpointer data))
{
	char *path = g_strconcat("/config-sibling/", name, NULL);

	g_test_add(path, fixture_t, NULL, setup, test, NULL);
	g_free(path);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("due", test_due);
	add("rate", test_rate);
	add("no-siblings", test_no_siblings);
	add("malformed", test_malformed);
	add("cluster", test_cluster);
	add("crossed", test_crossed);
	add("turns", test_turns);
	add("leaders", test_leaders);
	add("same-list", test_same_list);
	add("faulty", test_faulty);
	add("agreed", test_agreed);
	add("keepers-revision", test_keepers_revision);
	return g_test_run();
}
