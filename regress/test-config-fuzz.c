#include <stdio.h>
#include <stdlib.h>
#include "config-make.h"
#include "config-read.h"
#include "config-state.h"
#include "follow_rpc.h"

/*
 * Decoders of the configuration protocol, of snapshots and of declarations get
 * randomly mutated input from a fixed seed. They must not crash, and a value
 * that a decoder accepts must encode again.
 */

#define FUZZ_SEED 20481
#define FUZZ_DECODES 20000 /* inputs for the decoder of each type */
#define FUZZ_TEXTS 3000
#define FUZZ_CHANGES_MAX 8

static const char fuzz_text[] =
	"# a comment\n[[profile]]\nname = \"fast\"\ndeadline_ms = 300\n"
	"post_idempotent = false\n[[profile.class]]\nname = \"gate\"\n"
	"priority = 0\n[[service]]\nname = \"ledger\"\nprofile = \"fast\"\n";

/* Changes, inserts or truncates bytes; returns the new size. */
static size_t fuzz_mutate(GRand *rand, char *bytes, size_t size, size_t room)
{
	int left = g_rand_int_range(rand, 1, FUZZ_CHANGES_MAX);

	while (left-- > 0 && size > 4) {
		size_t at = g_rand_int_range(rand, 0, (int)size);

		switch (g_rand_int_range(rand, 0, 4)) {
		case 0:
			bytes[at] = (char)g_rand_int(rand);
			break;
		case 1:
			bytes[at] ^= (char)(1 << g_rand_int_range(rand, 0, 8));
			break;
		case 2:
			if (size == room)
				break;
			memmove(bytes + at + 1, bytes + at, size - at);
			size++;
			break;
		default:
			size = g_rand_int_range(rand, 0, 4) ? size : at;
		}
	}
	return size;
}

static void fuzz_decode(xdrproc_t proc, const void *good, size_t value_size)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	char *bytes, *mutated, *again;
	unsigned i, accepted = 0;
	size_t size, again_size;
	void *value = malloc(value_size);

	g_assert_cmpint(config_encode(proc, good, &bytes, &size), ==, 0);
	mutated = malloc(size + FUZZ_CHANGES_MAX);
	for (i = 0; i < FUZZ_DECODES; i++) {
		size_t length;

		memcpy(mutated, bytes, size);
		length = fuzz_mutate(rand, mutated, size,
				     size + FUZZ_CHANGES_MAX);
		if (config_decode(proc, mutated, length, value, value_size))
			continue;
		accepted++;
		g_assert_cmpint(config_encode(proc, value, &again, &again_size),
				==, 0);
		free(again);
		xdr_free(proc, value);
	}
	g_test_message("%u of %u accepted", accepted, FUZZ_DECODES);
	free(mutated);
	free(bytes);
	free(value);
	g_rand_free(rand);
}

static config_state_t *fuzz_state(config_change_t *change)
{
	static config_item_t items[3];
	config_state_t *state = config_state_new();
	config_answer_t answer;

	items[0] = make_profile("fast", 0, 100);
	items[1] = make_service("ledger", 0, "fast");
	items[2] = make_stop("ledger", "copy-1", 0);
	*change = make_change("first", 0, items, 3);
	g_assert_cmpint(config_state_apply(state, 1, change, &answer), ==, 0);
	g_assert_cmpint(answer.verdict, ==, CONFIG_ACCEPTED);
	xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&answer);
	return state;
}

static void test_fuzz_change(void)
{
	config_change_t change;
	config_state_t *state = fuzz_state(&change);

	fuzz_decode((xdrproc_t)xdr_config_change_t, &change, sizeof(change));
	config_state_free(state);
}

static void test_fuzz_fetch(void)
{
	config_change_t change;
	config_state_t *state = fuzz_state(&change);
	config_delta_t delta = { 1, change };
	follow_fetch_res_t res = { 0 };

	res.body.whole = FALSE;
	res.body.keeper_fetch_body_t_u.deltas.deltas_len = 1;
	res.body.keeper_fetch_body_t_u.deltas.deltas_val = &delta;
	fuzz_decode((xdrproc_t)xdr_follow_fetch_res_t, &res, sizeof(res));
	res.body.whole = TRUE;
	res.body.keeper_fetch_body_t_u.config = *config_state_config(state);
	fuzz_decode((xdrproc_t)xdr_follow_fetch_res_t, &res, sizeof(res));
	config_state_free(state);
}

static void test_fuzz_request(void)
{
	follow_lagging_t lagging = { (char *)"node-2", 3 };
	follow_fetch_args_t args = { .vm = (char *)"node-1", .have = 4 };

	args.report.lagging.lagging_len = 1;
	args.report.lagging.lagging_val = &lagging;
	fuzz_decode((xdrproc_t)xdr_follow_fetch_args_t, &args, sizeof(args));
}

/* A damaged snapshot that loads must accept further changes. */
static void test_fuzz_snapshot(void)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	config_change_t change;
	config_state_t *state = fuzz_state(&change);
	char *bytes, *mutated;
	size_t size;
	unsigned i;

	g_assert_cmpint(config_state_save(state, &bytes, &size), ==, 0);
	mutated = malloc(size + FUZZ_CHANGES_MAX);
	for (i = 0; i < FUZZ_TEXTS; i++) {
		config_state_t *loaded;
		config_answer_t answer;
		size_t length;

		memcpy(mutated, bytes, size);
		length = fuzz_mutate(rand, mutated, size,
				     size + FUZZ_CHANGES_MAX);
		loaded = config_state_load(mutated, length, NULL);
		if (!loaded)
			continue;
		g_assert_cmpint(config_state_apply(loaded, 2, &change, &answer),
				==, 0);
		xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&answer);
		config_state_free(loaded);
	}
	free(mutated);
	free(bytes);
	config_state_free(state);
	g_rand_free(rand);
}

/* An error in a declaration must name the file. */
static void test_fuzz_declaration(void)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	char text[sizeof(fuzz_text) + FUZZ_CHANGES_MAX];
	unsigned i;

	for (i = 0; i < FUZZ_TEXTS; i++) {
		size_t size = sizeof(fuzz_text) - 1;
		config_declared_t declared;
		hl_error_t err = { 0 };

		memcpy(text, fuzz_text, size);
		size = fuzz_mutate(rand, text, size, sizeof(text));
		config_read_init(&declared);
		if (config_read_text("f", text, size, &declared, &err)) {
			g_assert_cmpint(err.kind, ==, HL_ERR_SETTINGS);
			g_assert_true(g_str_has_prefix(err.message, "f:"));
		}
		config_read_fini(&declared);
	}
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-fuzz/change", test_fuzz_change);
	g_test_add_func("/config-fuzz/fetch", test_fuzz_fetch);
	g_test_add_func("/config-fuzz/request", test_fuzz_request);
	g_test_add_func("/config-fuzz/snapshot", test_fuzz_snapshot);
	g_test_add_func("/config-fuzz/declaration", test_fuzz_declaration);
	return g_test_run();
}
