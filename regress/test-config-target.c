#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "config-rate.h"
#include "config-state.h"
#include "config-suspect.h"
#include "config-target.h"

/*
 * Announcements of copies that arrive in any order. Each line of a case is a
 * command with its expected result. "put ID START SEQUENCE STATE ADDRESS"
 * applies an announcement with this start time and sequence number, and
 * "retire ID BASE" a removal; both result in the stored copy, as does
 * "show ID". "revision" results in the revision of the configuration.
 */

static const struct {
	const char *name;
	const char *text;
} cases[] = {
	{ "highest-sequence-wins", "put a 0 1 ready h:1 = ready h:1\n"
				   "put a 0 3 ready h:2 = ready h:2\n"
				   "put a 0 2 ready h:1 = ready h:2\n" },
	{ "repeats-change-nothing", "put a 0 1 ready h:1 = ready h:1\n"
				    "revision = 1\n"
				    "put a 0 2 ready h:1 = ready h:1\n"
				    "put a 0 2 ready h:1 = ready h:1\n"
				    "revision = 1\n" },
	{ "draining-stays", "put a 0 1 ready h:1 = ready h:1\n"
			    "put a 0 5 draining h:1 = draining h:1\n"
			    "put a 0 4 ready h:1 = draining h:1\n"
			    "put a 0 6 ready h:1 = draining h:1\n" },
	{ "late-draining-is-applied",
	  "put a 0 9 ready h:1 = ready h:1\n"
	  "put a 0 5 draining h:1 = draining h:1\n" },
	{ "left-stays", "put a 0 1 ready h:1 = ready h:1\n"
			"put a 0 1 left h:1 = left h:1\n"
			"put a 0 2 ready h:1 = left h:1\n"
			"put a 0 3 draining h:1 = left h:1\n" },
	{ "restarted-with-same-id", "put a 100 7 draining h:1 = draining h:1\n"
				    "put a 200 1 ready h:2 = ready h:2\n"
				    "put a 100 8 draining h:1 = ready h:2\n"
				    "put a 100 9 left h:1 = ready h:2\n" },
	{ "address-used-again", "put a 0 4 ready h:1 = ready h:1\n"
				"put b 0 1 ready h:1 = ready h:1\n"
				"show a = displaced h:1\n"
				"put a 0 5 ready h:1 = displaced h:1\n"
				"show b = ready h:1\n" },
	{ "displaced-by-late-announcement",
	  "put b 0 1 ready h:1 = ready h:1\n"
	  "put a 0 4 ready h:1 = ready h:1\n"
	  "show b = displaced h:1\n"
	  "put b 0 2 ready h:1 = displaced h:1\n"
	  "put b 0 3 ready h:1 = ready h:1\n"
	  "show a = displaced h:1\n" },
	{ "draining-displaces-no-copy",
	  "put a 0 4 ready h:1 = ready h:1\n"
	  "put b 0 1 draining h:1 = draining h:1\n"
	  "show a = ready h:1\n" },
	{ "silent-copy-is-removed", "put a 0 1 ready h:1 = ready h:1\n"
				    "retire a 1 = none\n"
				    "put a 0 2 ready h:1 = ready h:1\n" },
	{ "announced-again-is-kept", "put a 0 1 ready h:1 = ready h:1\n"
				     "put a 0 2 ready h:2 = ready h:2\n"
				     "retire a 1 = ready h:2\n" },

	/* The rates that copies name. */
	{ "rate-of-first-report-wins", "put a 7 1 ready h:1 = ready h:1\n"
				       "rate a 7 2000 e1 0 = 2000 e1\n"
				       "rate a 7 3000 e2 0 = 2000 e1\n"
				       "revision = 2\n"
				       "rate a 7 3000 e2 2 = 3000 e2\n"
				       "rate a 7 4000 e1 2 = 3000 e2\n" },
	{ "rate-ends", "put a 7 1 ready h:1 = ready h:1\n"
		       "rate a 7 2000 e1 0 = 2000 e1\n"
		       "rate a 7 0 e1 0 = 2000 e1\n"
		       "rate a 7 0 e1 2 = none\n"
		       "rate a 7 0 e1 2 = none\n"
		       "rate a 7 1000 e2 0 = 1000 e2\n" },
	{ "rate-of-other-process-is-ignored",
	  "rate a 7 1000 e1 0 = none\n"
	  "put a 7 1 ready h:1 = ready h:1\n"
	  "rate a 6 1000 e1 0 = none\n" },
	{ "rate-ends-with-the-process",
	  "put a 7 1 ready h:1 = ready h:1\n"
	  "rate a 7 1000 e1 0 = 1000 e1\n"
	  "put a 8 1 ready h:1 = ready h:1\nshow-rate a = none\n"
	  "rate a 8 1000 e1 0 = 1000 e1\n"
	  "put b 9 1 ready h:1 = ready h:1\nshow-rate a = none\n"
	  "rate b 9 1000 e1 0 = 1000 e1\n"
	  "retire b 5 = none\nshow-rate b = none\n" },
	{ "rate-stays-while-the-copy-drains",
	  "put a 7 1 ready h:1 = ready h:1\n"
	  "rate a 7 1000 e1 0 = 1000 e1\n"
	  "put a 7 2 draining h:1 = draining h:1\nshow-rate a = 1000 e1\n"
	  "put a 7 3 left h:1 = left h:1\nshow-rate a = none\n" },

	/* Calls that copies ran when they crashed. */
	{ "suspect-of-three-crashes", "crash x a 1 1000 100 = 1\n"
				      "crash x b 1 1200 100 = 2\n"
				      "crash x c 1 1400 100 = 3\n"
				      "crash x d 1 1600 100 = 3\n"
				      "revision = 3\n"
				      "crash y a 1 1000 100 = 1\n" },
	{ "suspect-of-a-crash-that-is-reported-again",
	  "crash x a 1 1000 100 = 1\ncrash x a 1 2000 1100 = 1\n"
	  "crash x a 2 3000 100 = 2\n" },
	{ "suspect-of-crashes-at-the-same-time-counts-once",
	  "crash x a 1 1000 100 = 1\ncrash x b 1 1000 300 = 1\n"
	  "crash x c 1 1050 500 = 1\ncrash x d 1 1050 71 = 1\n"
	  "crash x e 1 1050 60 = 2\n" },
	{ "suspect-under-a-clock-that-was-set-back",
	  "crash x a 1 9000 100 = 1\ncrash x b 1 1000 100 = 2\n" },
	{ "suspect-that-was-answered",
	  "crash x a 1 1000 100 = 1\ncrash x b 1 1200 100 = 2\n"
	  "answered x 1 = 2\nanswered x 2 = 0\nanswered x 2 = 0\n"
	  "crash x c 1 1400 100 = 1\n" },
};

static const char *const states[] = { "ready", "draining", "left",
				      "displaced" };

static unsigned state_of(const char *word)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(states); i++)
		if (!strcmp(states[i], word))
			return i;
	g_assert_not_reached();
}

static char *show(const config_state_t *state, const char *id)
{
	const config_target_t *target;

	target = config_find_target(config_state_config(state), id);
	if (!target)
		return g_strdup("none");
	return g_strdup_printf("%s %s", states[target->state], target->address);
}

/* Applies one item to the state and its delta to a follower. */
static void apply(config_state_t *state, config_t *follower,
		  config_item_t *item)
{
	static uint64_t index;
	config_change_t change = { .id = "", .author = "test" };
	config_delta_t deltas[4] = { 0 };
	config_answer_t answer = { 0 };
	int count, i;

	change.items.items_len = 1;
	change.items.items_val = item;
	index++;
	g_assert_cmpint(config_state_apply(state, index, &change, &answer), ==,
			0);
	g_assert_cmpint(answer.verdict, ==, CONFIG_ACCEPTED);
	xdr_free((xdrproc_t)xdr_config_answer_t, &answer);
	count = config_state_deltas(state, follower->revision, deltas, 4);
	for (i = 0; i < count; i++) {
		g_assert_cmpint(config_apply_delta(follower, &deltas[i]), ==,
				0);
		xdr_free((xdrproc_t)xdr_config_delta_t, &deltas[i]);
	}
}

static char *show_rate(const config_state_t *state, const char *id)
{
	const config_copy_rate_t *rate;

	rate = config_rate_find(config_state_config(state), id);
	if (!rate)
		return g_strdup("none");
	return g_strdup_printf("%u %s", rate->millirate, rate->holder);
}

/* "rate ID START MILLIRATE HOLDER BASE" writes or, with 0, removes a rate. */
static char *run_rate(config_state_t *state, config_t *follower, char **words)
{
	config_item_t item = { .base = strtoull(words[5], NULL, 10) };
	config_copy_rate_t *rate = &item.body.config_body_t_u.copy_rate;

	rate->name = words[1];
	rate->started_ms = strtoull(words[2], NULL, 10);
	rate->millirate = (u_int)strtoul(words[3], NULL, 10);
	rate->holder = words[4];
	item.body.kind = rate->millirate ? CONFIG_PUT_COPY_RATE :
					   CONFIG_RETIRE_COPY_RATE;
	apply(state, follower, &item);
	return show_rate(state, words[1]);
}

static char *show_crashes(const config_state_t *state, const char *digest)
{
	const config_suspect_t *suspect;

	suspect = config_suspect_find(config_state_config(state), digest);
	return g_strdup_printf("%u",
			       suspect ? suspect->crashes.crashes_len : 0);
}

/* "crash DIGEST COPY START AT_MS RAN_MS", "answered DIGEST BASE"; both result in
   the number of crashes that count. */
static char *run_suspect(config_state_t *state, config_t *follower,
			 char **words)
{
	config_item_t item = { .body.kind = CONFIG_RETIRE_SUSPECT };
	config_suspect_t *suspect = &item.body.config_body_t_u.suspect;
	config_crash_t crash = { 0 };

	suspect->name = words[1];
	if (!strcmp(words[0], "answered")) {
		item.base = strtoull(words[2], NULL, 10);
	} else {
		item.body.kind = CONFIG_PUT_SUSPECT;
		crash.copy = words[2];
		crash.started_ms = strtoull(words[3], NULL, 10);
		crash.at_ms = strtoll(words[4], NULL, 10);
		crash.ran_ms = (u_int)strtoul(words[5], NULL, 10);
		suspect->crashes.crashes_len = 1;
		suspect->crashes.crashes_val = &crash;
	}
	apply(state, follower, &item);
	return show_crashes(state, words[1]);
}

static char *run_command(config_state_t *state, config_t *follower,
			 char **words)
{
	config_item_t item = { .body.kind = CONFIG_PUT_TARGET };
	config_target_t *target = &item.body.config_body_t_u.target;

	if (!strcmp(words[0], "show"))
		return show(state, words[1]);
	if (!strcmp(words[0], "show-rate"))
		return show_rate(state, words[1]);
	if (!strcmp(words[0], "rate"))
		return run_rate(state, follower, words);
	if (!strcmp(words[0], "crash") || !strcmp(words[0], "answered"))
		return run_suspect(state, follower, words);
	if (!strcmp(words[0], "revision"))
		return g_strdup_printf(
			"%" PRIu64,
			(uint64_t)config_state_config(state)->revision);
	target->name = words[1];
	target->service = "desk";
	target->zone = "here";
	target->address = "h:1";
	target->slots = 2;
	if (!strcmp(words[0], "retire")) {
		item.body.kind = CONFIG_RETIRE_TARGET;
		item.base = strtoull(words[2], NULL, 10);
	} else {
		target->started_ms = strtoull(words[2], NULL, 10);
		target->sequence = strtoull(words[3], NULL, 10);
		target->state = (config_target_state_t)state_of(words[4]);
		target->address = words[5];
	}
	apply(state, follower, &item);
	return show(state, words[1]);
}

static void check_equal(const config_t *a, const config_t *b)
{
	char *left, *right;
	size_t left_size, right_size;

	g_assert_cmpint(config_encode((xdrproc_t)xdr_config_t, a, &left,
				      &left_size),
			==, 0);
	g_assert_cmpint(config_encode((xdrproc_t)xdr_config_t, b, &right,
				      &right_size),
			==, 0);
	g_assert_cmpmem(left, left_size, right, right_size);
	free(left);
	free(right);
}

static void test_case(gconstpointer data)
{
	const char *text = cases[GPOINTER_TO_SIZE(data)].text;
	config_state_t *state = config_state_new();
	GString *seen = g_string_new(NULL);
	char **lines = g_strsplit(text, "\n", -1);
	config_t follower = { 0 };
	unsigned i;

	for (i = 0; lines[i] && lines[i][0]; i++) {
		char **sides = g_strsplit(lines[i], " = ", 2);
		char **words = g_strsplit(sides[0], " ", -1);
		char *result = run_command(state, &follower, words);

		g_string_append_printf(seen, "%s = %s\n", sides[0], result);
		g_free(result);
		g_strfreev(words);
		g_strfreev(sides);
	}
	g_assert_cmpstr(seen->str, ==, text);
	/* The follower must hold the same copies. */
	check_equal(config_state_config(state), &follower);
	xdr_free((xdrproc_t)xdr_config_t, &follower);
	config_state_free(state);
	g_string_free(seen, TRUE);
	g_strfreev(lines);
}

/* One more suspect than there is room for takes the place of the oldest one that
   is still sent to copies; a follower drops the same one. */
static void test_many_suspects(void)
{
	config_state_t *state = config_state_new();
	config_t follower = { 0 };
	char digest[32], text[64], at[4][32];
	unsigned i, crash;

	for (i = 0; i <= CONFIG_SUSPECTS_MAX; i++) {
		/* The first one has all crashes that it needs to be blocked. */
		unsigned count = i ? 1 : CONFIG_SUSPECT_CRASHES_MAX;

		g_snprintf(digest, sizeof(digest), "d%04u", i);
		for (crash = 0; crash < count; crash++) {
			char *words[] = { (char *)"crash", digest, at[0], at[1],
					  at[2],	   at[3],  NULL };

			g_snprintf(at[0], sizeof(at[0]), "c%u", crash);
			g_snprintf(at[1], sizeof(at[1]), "1");
			g_snprintf(at[2], sizeof(at[2]), "%u", 100 * crash);
			g_snprintf(at[3], sizeof(at[3]), "10");
			g_free(run_suspect(state, &follower, words));
		}
	}
	g_snprintf(text, sizeof(text), "d%04u", CONFIG_SUSPECTS_MAX);
	g_assert_nonnull(config_suspect_find(&follower, "d0000"));
	g_assert_null(config_suspect_find(&follower, "d0001"));
	g_assert_nonnull(config_suspect_find(&follower, "d0002"));
	g_assert_nonnull(config_suspect_find(&follower, text));
	check_equal(config_state_config(state), &follower);
	xdr_free((xdrproc_t)xdr_config_t, &follower);
	config_state_free(state);
}

int main(int argc, char **argv)
{
	char path[96];
	size_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_snprintf(path, sizeof(path), "/target/%s", cases[i].name);
		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_case);
	}
	g_test_add_func("/target/many-suspects", test_many_suspects);
	return g_test_run();
}
