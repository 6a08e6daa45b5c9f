#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include "keys.h"

/*
 * Key files, tags of datagrams and the header Hemlock-Hop. An entry that
 * accepts a wrong key, an old value or a value for another service accepts
 * calls from outside; one that rejects a valid tag while the key is rotated
 * loses its siblings.
 */

#define KEY_A "a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1"
#define KEY_B "B2B2B2B2B2B2B2B2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2"
#define NOW_MS 1700000000000
#define DATAGRAM_BYTES 300
#define COST_ROUNDS 200000

static const char datagram[] = "a datagram";

static char *keys_file(const char *text)
{
	char *path = g_build_filename(g_get_tmp_dir(), "keys-XXXXXX", NULL);

	close(g_mkstemp(path));
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static keys_t *keys_from_text(const char *text)
{
	char *path = keys_file(text);
	hl_error_t err = { 0 };
	keys_t *keys = keys_new(path, &err);

	unlink(path);
	g_free(path);
	return keys;
}

static const struct {
	const char *name, *text;
	int count; /* -1: refused */
} files[] = {
	{ "one", KEY_A "\n", 1 },
	{ "two-with-comment", "# first signs\n\n" KEY_A "\n" KEY_B "\n", 2 },
	{ "no-newline", KEY_A, 1 },
	{ "windows-newline", KEY_A "\r\n", 1 },
	{ "none", "# nothing\n", -1 },
	{ "three", KEY_A "\n" KEY_B "\n" KEY_A "\n", -1 },
	{ "short", "a1a1\n", -1 },
	{ "odd", KEY_A "a\n", -1 },
	{ "long", KEY_A KEY_A "a1\n", -1 },
	{ "no-hex", "x" KEY_A "\n", -1 },
};

static void test_file(gconstpointer data)
{
	unsigned i = GPOINTER_TO_UINT(data);
	keys_t *keys = keys_from_text(files[i].text);

	g_assert_cmpint(keys ? (int)keys_count(keys) : -1, ==, files[i].count);
	keys_free(keys);
}

/* Whether one entry accepts the tags of another at each step of a rotation. */
static const struct {
	const char *name, *from, *to;
	bool accepted;
} tags[] = {
	{ "same", KEY_A, KEY_A, true },
	{ "foreign", KEY_B, KEY_A, false },
	{ "added-here", KEY_A, KEY_A "\n" KEY_B, true },
	{ "added-there", KEY_A "\n" KEY_B, KEY_A, true },
	{ "swapped", KEY_B "\n" KEY_A, KEY_A "\n" KEY_B, true },
	{ "swapped-back", KEY_A "\n" KEY_B, KEY_B "\n" KEY_A, true },
	{ "dropped-here", KEY_B "\n" KEY_A, KEY_B, true },
	{ "dropped-there", KEY_B, KEY_B "\n" KEY_A, true },
	{ "old-key", KEY_A, KEY_B, false },
	{ "swapped-too-early", KEY_B "\n" KEY_A, KEY_A, false },
};

static void test_tag(gconstpointer data)
{
	unsigned i = GPOINTER_TO_UINT(data);
	keys_t *from = keys_from_text(tags[i].from),
	       *to = keys_from_text(tags[i].to);
	unsigned char tag[KEYS_TAG_BYTES];

	g_assert_true(keys_sign(from, datagram, sizeof(datagram), tag));
	g_assert_cmpint(keys_check(to, datagram, sizeof(datagram), tag), ==,
			tags[i].accepted);
	tag[KEYS_TAG_BYTES - 1] ^= 1;
	g_assert_false(keys_check(to, datagram, sizeof(datagram), tag));
	keys_free(from);
	keys_free(to);
}

/* Reads of a header Hemlock-Hop that entry-1 wrote for the service bay-desk. */
static const struct {
	const char *name, *key, *service;
	int64_t delay_ms;
	bool plain, accepted;
} hops[] = {
	{ "fresh", KEY_A, "bay-desk", 0, false, true },
	{ "in-window", KEY_A, "bay-desk", KEYS_HOP_WINDOW_MS, false, true },
	{ "stale", KEY_A, "bay-desk", KEYS_HOP_WINDOW_MS + 1, false, false },
	{ "early", KEY_A, "bay-desk", -KEYS_HOP_WINDOW_MS - 1, false, false },
	{ "other-service", KEY_A, "ledger", 0, false, false },
	{ "old-key", KEY_B, "bay-desk", 0, false, false },
	{ "plain-name", KEY_A, "bay-desk", 0, true, false },
};

static void test_hop(gconstpointer data)
{
	unsigned i = GPOINTER_TO_UINT(data);
	keys_t *from = keys_from_text(KEY_A), *to = keys_from_text(hops[i].key);
	char value[KEYS_HOP_MAX], name[HL_NAME_MAX];

	g_assert_true(
		keys_hop_write(from, "entry-1", "bay-desk", NOW_MS, value));
	if (hops[i].plain)
		strcpy(value, "entry-1");
	g_assert_cmpint(keys_hop_read(to, value, hops[i].service,
				      NOW_MS + hops[i].delay_ms, name),
			==, hops[i].accepted);
	if (hops[i].accepted)
		g_assert_cmpstr(name, ==, "entry-1");
	/* The name of another entry with the same tag is rejected. */
	value[0] = 'E';
	g_assert_false(keys_hop_read(to, value, hops[i].service,
				     NOW_MS + hops[i].delay_ms, name));
	keys_free(from);
	keys_free(to);
}

static void test_no_keys(void)
{
	hl_error_t err = { 0 };
	keys_t *keys = keys_new("", &err);
	char value[KEYS_HOP_MAX], name[HL_NAME_MAX];
	unsigned char tag[KEYS_TAG_BYTES];

	g_assert_cmpuint(keys_count(keys), ==, 0);
	g_assert_false(keys_sign(keys, datagram, sizeof(datagram), tag));
	g_assert_true(keys_hop_write(keys, "entry-1", "ledger", 0, value));
	g_assert_cmpstr(value, ==, "entry-1");
	g_assert_true(keys_hop_read(keys, value, "ledger", 0, name));
	keys_free(keys);
	g_assert_null(keys_new("/nonexistent/keys", &err));
	g_assert_cmpint(err.kind, ==, HL_ERR_IO);
}

/* A reload of a key file that has become invalid leaves the old keys in use. */
static void test_reload_invalid_file(void)
{
	char *path = keys_file(KEY_A);
	hl_error_t err = { 0 };
	keys_t *keys = keys_new(path, &err);

	g_assert_true(g_file_set_contents(path, "bad", -1, NULL));
	g_assert_cmpint(keys_reload(keys, &err), ==, -1);
	g_assert_nonnull(strstr(err.message, "64 to 128 hex digits"));
	g_assert_cmpuint(keys_count(keys), ==, 1);
	g_assert_true(g_file_set_contents(path, KEY_A "\n" KEY_B, -1, NULL));
	g_assert_cmpint(keys_reload(keys, &err), ==, 0);
	g_assert_cmpuint(keys_count(keys), ==, 2);
	keys_free(keys);
	unlink(path);
	g_free(path);
}

/* With -m perf: measures the time per datagram and per forwarded call. */
static void test_cost(void)
{
	keys_t *keys = keys_from_text(KEY_A);
	char bytes[DATAGRAM_BYTES] = { 0 }, value[KEYS_HOP_MAX];
	char name[HL_NAME_MAX];
	unsigned char tag[KEYS_TAG_BYTES];
	unsigned i, rounds = g_test_perf() ? COST_ROUNDS : 1;

	g_test_timer_start();
	for (i = 0; i < rounds; i++)
		g_assert_true(keys_sign(keys, bytes, sizeof(bytes), tag) &&
			      keys_check(keys, bytes, sizeof(bytes), tag));
	g_test_message("datagram of %d bytes: %.2f us at both ends",
		       DATAGRAM_BYTES, g_test_timer_elapsed() * 1e6 / rounds);
	g_test_timer_start();
	for (i = 0; i < rounds; i++)
		g_assert_true(
			keys_hop_write(keys, "entry-1", "bay-desk", NOW_MS,
				       value) &&
			keys_hop_read(keys, value, "bay-desk", NOW_MS, name));
	g_test_message("hand-over: %.2f us at both ends",
		       g_test_timer_elapsed() * 1e6 / rounds);
	keys_free(keys);
}

static void add_row(const char *table, const char *name, unsigned i,
		    GTestDataFunc test)
{
	char *path = g_strdup_printf("/keys/%s/%s", table, name);

	g_test_add_data_func(path, GUINT_TO_POINTER(i), test);
	g_free(path);
}

int main(int argc, char **argv)
{
	unsigned i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(files); i++)
		add_row("file", files[i].name, i, test_file);
	for (i = 0; i < G_N_ELEMENTS(tags); i++)
		add_row("tag", tags[i].name, i, test_tag);
	for (i = 0; i < G_N_ELEMENTS(hops); i++)
		add_row("hop", hops[i].name, i, test_hop);
	g_test_add_func("/keys/none", test_no_keys);
	g_test_add_func("/keys/read-again", test_reload_invalid_file);
	g_test_add_func("/keys/cost", test_cost);
	return g_test_run();
}
