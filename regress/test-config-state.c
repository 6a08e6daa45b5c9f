#include "config-make.h"
#include "config-state.h"

/*
 * The replicated state machine: verdicts on changes, conflicts between changes
 * from the same revision, changes that are sent twice, and deltas.
 */

typedef struct {
	config_state_t *state;
	uint64_t index;
	uint64_t busy_revision; /* revision of the profile of apply_many() */
} fixture_t;

static void setup(fixture_t *fixture, gconstpointer data)
{
	(void)data;
	fixture->state = config_state_new();
	fixture->index = 0;
	fixture->busy_revision = 0;
}

static void teardown(fixture_t *fixture, gconstpointer data)
{
	(void)data;
	config_state_free(fixture->state);
}

static config_verdict_t apply(fixture_t *fixture, const char *id, uint64_t seen,
			      config_item_t *items, u_int count,
			      config_answer_t *answer)
{
	config_change_t change = make_change(id, seen, items, count);

	g_assert_cmpint(config_state_apply(fixture->state, ++fixture->index,
					   &change, answer),
			==, 0);
	return answer->verdict;
}

static void expect_verdict(fixture_t *fixture, const char *id,
			   config_item_t *items, u_int count,
			   config_verdict_t verdict, const char *winner,
			   const char *message)
{
	uint64_t before = config_state_config(fixture->state)->revision;
	config_answer_t answer;

	apply(fixture, id, before, items, count, &answer);
	if (!strstr(answer.message, message))
		g_error("%s: got \"%s\"", id, answer.message);
	g_assert_cmpint(answer.verdict, ==, verdict);
	g_assert_cmpstr(answer.winner, ==, winner);
	g_assert_cmpuint(config_state_config(fixture->state)->revision, ==,
			 before + (verdict == CONFIG_ACCEPTED));
	xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&answer);
}

static void test_state_rules(fixture_t *fixture, gconstpointer data)
{
	config_item_t both[] = { make_profile("fast", 0, 100),
				 make_service("bay-desk", 0, "fast") };
	config_item_t twice[] = { make_profile("fast", 1, 100),
				  make_profile("fast", 1, 200) };
	config_item_t half[] = { make_profile("fast", 1, 300),
				 make_service("ledger", 0, "nowhere") };
	config_item_t stop[] = { make_stop("bay-desk", "copy-1", 0),
				 make_stop("nowhere", "copy-1", 0) };
	config_item_t put = make_profile("fast", 1, 200);
	config_item_t bad = make_profile("fast", 1, 0);
	config_item_t retire = make_retire("fast", 1);
	config_item_t move[] = { make_profile("slow", 0, 200),
				 make_service("bay-desk", 1, "slow") };

	(void)data;
	expect_verdict(fixture, "a1", both, 2, CONFIG_ACCEPTED, "", "");
	expect_verdict(fixture, "a2", twice, 2, CONFIG_REFUSED, "",
		       "fast twice");
	expect_verdict(fixture, "a3", half, 2, CONFIG_REFUSED, "",
		       "profile nowhere");
	expect_verdict(fixture, "a4", stop, 2, CONFIG_REFUSED, "",
		       "service nowhere");
	expect_verdict(fixture, "a5", stop, 1, CONFIG_ACCEPTED, "", "");
	expect_verdict(fixture, "a6", &bad, 1, CONFIG_REFUSED, "",
		       "deadline_ms must be from 1 to 600000");
	expect_verdict(fixture, "a7", &retire, 1, CONFIG_REFUSED, "",
		       "in use by 1 service: bay-desk");
	expect_verdict(fixture, "a8", move, 2, CONFIG_ACCEPTED, "", "");
	expect_verdict(fixture, "a9", &retire, 1, CONFIG_ACCEPTED, "", "");
	expect_verdict(fixture, "a10", &retire, 1, CONFIG_CONFLICT, "a9",
		       "by change a9");
	expect_verdict(fixture, "a11", &put, 1, CONFIG_CONFLICT, "a9",
		       "hemlockctl plan");
	expect_verdict(fixture, "a12", move, 1, CONFIG_CONFLICT, "a8",
		       "by change a8");
	expect_verdict(fixture, "a13", NULL, 0, CONFIG_REFUSED, "", "an item");
}

/* Of two changes made from the same revision only the first is accepted. */
static void test_state_race(fixture_t *fixture, gconstpointer data)
{
	uint64_t base = 0;
	unsigned round;

	(void)data;
	for (round = 0; round < 200; round++) {
		config_item_t item = make_profile("fast", base, 100 + round);
		config_answer_t first, second;
		char one[32], two[32];

		g_snprintf(one, sizeof(one), "one-%u", round);
		g_snprintf(two, sizeof(two), "two-%u", round);
		apply(fixture, one, base, &item, 1, &first);
		apply(fixture, two, base, &item, 1, &second);
		g_assert_cmpint(first.verdict, ==, CONFIG_ACCEPTED);
		g_assert_cmpint(second.verdict, ==, CONFIG_CONFLICT);
		g_assert_cmpstr(second.winner, ==, one);
		base = first.revision;
		g_assert_cmpuint(base, ==, round + 1);
		xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&first);
		xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&second);
	}
}

/* Replaces the state by one loaded from its snapshot; a second snapshot must
 * be equal byte for byte, and a truncated one must not load. */
static void save_and_reload(fixture_t *fixture)
{
	char *bytes, *again;
	size_t size, again_size;
	config_state_t *loaded;

	g_assert_cmpint(config_state_save(fixture->state, &bytes, &size), ==,
			0);
	loaded = config_state_load(bytes, size, NULL);
	g_assert_nonnull(loaded);
	g_assert_cmpint(config_state_save(loaded, &again, &again_size), ==, 0);
	g_assert_cmpmem(bytes, size, again, again_size);
	g_assert_null(config_state_load(bytes, size - 4, NULL));
	free(bytes);
	free(again);
	config_state_free(fixture->state);
	fixture->state = loaded;
}

static void apply_many(fixture_t *fixture, unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++) {
		uint64_t base = config_state_config(fixture->state)->revision;
		config_item_t item = make_profile("busy",
						  fixture->busy_revision,
						  1 + i % 1000);
		config_answer_t answer;
		char id[40];

		g_snprintf(id, sizeof(id), "many-%" PRIu64, fixture->index);
		apply(fixture, id, base, &item, 1, &answer);
		g_assert_cmpint(answer.verdict, ==, CONFIG_ACCEPTED);
		fixture->busy_revision = answer.revision;
		xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&answer);
	}
}

/* Earlier releases wrote snapshots without the rates of copies. */
static void test_state_old_snapshot(void)
{
	config_target_t target = { .name = (char *)"a",
				   .service = (char *)"desk",
				   .address = (char *)"h:1",
				   .zone = (char *)"here",
				   .started_ms = 7 };
	config_snapshot_v2_t old = { .index = 9 };
	const config_t *config;
	config_state_t *state;
	hl_error_t err = { 0 };
	char *bytes;
	size_t size;

	old.config.revision = 5;
	old.config.targets.targets_len = 1;
	old.config.targets.targets_val = &target;
	g_assert_cmpint(config_encode((xdrproc_t)xdr_config_snapshot_v2_t, &old,
				      &bytes, &size),
			==, 0);
	state = config_state_load(bytes, size, &err);
	free(bytes);
	g_assert_nonnull(state);
	config = config_state_config(state);
	g_assert_cmpuint(config->revision, ==, 5);
	g_assert_cmpuint(config->copy_rates.copy_rates_len, ==, 0);
	g_assert_cmpuint(config_find_target(config, "a")->started_ms, ==, 7);
	config_state_free(state);
}

/* A repeated change gets its first answer, also from a loaded snapshot. */
static void test_state_resend(fixture_t *fixture, gconstpointer data)
{
	config_item_t item = make_profile("calm", 0, 9);
	config_answer_t answer;

	(void)data;
	apply_many(fixture, 2);
	apply(fixture, "again", 2, &item, 1, &answer);
	xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&answer);
	item.base = 3;
	apply(fixture, "gone", 3, &item, 1, &answer);
	xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&answer);
	item = make_profile("busy", 2, 77);
	apply_many(fixture, 500);
	save_and_reload(fixture);
	g_assert_cmpint(apply(fixture, "again", 2, &item, 1, &answer), ==,
			CONFIG_ACCEPTED);
	g_assert_cmpuint(answer.revision, ==, 3);
	xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&answer);
	g_assert_cmpuint(config_state_config(fixture->state)->revision, ==,
			 504);
	g_assert_cmpuint(config_state_answer(fixture->state, "gone")->revision,
			 ==, 4);
	g_assert_null(config_state_answer(fixture->state, "never"));
}

/* A change that is sent again after its dedup record was dropped must be
 * refused, so that it is not applied twice. */
static void test_state_window(fixture_t *fixture, gconstpointer data)
{
	config_item_t put = make_profile("calm", 0, 9);
	config_item_t retire = make_retire("calm", 1);
	config_answer_t answer;
	unsigned i;

	(void)data;
	expect_verdict(fixture, "put", &put, 1, CONFIG_ACCEPTED, "", "");
	expect_verdict(fixture, "retire", &retire, 1, CONFIG_ACCEPTED, "", "");
	for (i = 0; i < CONFIG_DEDUP_MAX; i++) {
		config_item_t item = make_profile("busy", i ? i + 2 : 0,
						  1 + i % 9);
		char id[40];

		g_snprintf(id, sizeof(id), "many-%u", i);
		apply(fixture, id, i + 2, &item, 1, &answer);
		xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&answer);
	}
	g_assert_null(config_state_answer(fixture->state, "put"));
	g_assert_cmpint(apply(fixture, "put", 0, &put, 1, &answer), ==,
			CONFIG_REFUSED);
	g_assert_nonnull(strstr(answer.message, "older than the change ids"));
	xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&answer);
	save_and_reload(fixture);
}

static void test_state_deltas(fixture_t *fixture, gconstpointer data)
{
	config_delta_t deltas[8];
	config_t config = { 0 };
	unsigned i;
	int n;

	(void)data;
	apply_many(fixture, 1);
	apply_many(fixture, 5);
	n = config_state_deltas(fixture->state, 0, deltas, 8);
	g_assert_cmpint(n, ==, 6);
	for (i = 0; i < 6; i++) {
		g_assert_cmpint(config_apply_delta(&config, &deltas[i]), ==, 0);
		xdr_free((xdrproc_t)xdr_config_delta_t, (char *)&deltas[i]);
	}
	g_assert_cmpuint(config.revision, ==, 6);
	g_assert_cmpuint(config.profiles.profiles_val[0].deadline_ms, ==, 5);
	xdr_free((xdrproc_t)xdr_config_t, (char *)&config);
	g_assert_cmpint(config_state_deltas(fixture->state, 6, deltas, 8), ==,
			0);
	apply_many(fixture, CONFIG_DELTAS_MAX);
	g_assert_cmpint(config_state_deltas(fixture->state, 5, deltas, 8), ==,
			-1);
	n = config_state_deltas(fixture->state, 6, deltas, 2);
	g_assert_cmpint(n, ==, 2);
	for (i = 0; i < 2; i++)
		xdr_free((xdrproc_t)xdr_config_delta_t, (char *)&deltas[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/config-state/rules", fixture_t, NULL, setup,
		   test_state_rules, teardown);
	g_test_add("/config-state/race", fixture_t, NULL, setup,
		   test_state_race, teardown);
	g_test_add("/config-state/resend", fixture_t, NULL, setup,
		   test_state_resend, teardown);
	g_test_add("/config-state/window", fixture_t, NULL, setup,
		   test_state_window, teardown);
	g_test_add("/config-state/deltas", fixture_t, NULL, setup,
		   test_state_deltas, teardown);
	g_test_add_func("/config-state/old-snapshot", test_state_old_snapshot);
	return g_test_run();
}
