#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "entry-suspect.h"

/*
 * Calls that crash each copy that runs them, as one entry counts them. Each line
 * of a case is a command with its expected result, after the time in ms:
 * "crash DIGEST COPY SENT_MS" is a crash seen here, "declare DIGEST COPY..." the
 * crashes in a new configuration, which has no other suspect, "empty" a
 * configuration without any. These result in whether the call is blocked.
 * "clear DIGEST" results in the revision to clear, "report" in the copies whose
 * crashes are to be reported again.
 */

static const struct {
	const char *name;
	const char *text;
} cases[] = {
	{ "blocked-after-three-crashes", "10 crash x a 0 = no\n"
					 "20 crash x b 10 = no\n"
					 "30 crash x c 20 = yes\n"
					 "30 blocked y = no\n" },
	{ "crashes-at-the-same-time-count-once",
	  "10 crash x a 0 = no\n11 crash x b 5 = no\n"
	  "12 crash x c 9 = no\n20 crash x d 11 = no\n"
	  "30 crash x e 20 = yes\n" },
	{ "crashes-seen-by-other-entries-count",
	  "10 declare x a b = no\n20 crash x c 5 = no\n"
	  "20 crash x c 10 = yes\n" },
	{ "declared-crash-counts-once",
	  "10 crash x a 0 = no\n20 crash x b 10 = no\n"
	  "30 report = a b\n40 declare x a b = no\n50 report = \n"
	  "60 declare x a b c = yes\n" },
	{ "crash-is-kept-while-the-configuration-lacks-it",
	  "10 crash x a 0 = no\n20 crash x b 10 = no\n30 empty = no\n"
	  "40 crash x c 30 = yes\n50 declare x a = yes\n"
	  "50 report = b c\n" },
	{ "crash-that-the-keepers-do-not-count-is-forgotten",
	  "10 crash x a 0 = no\n59000 report = a\n60010 report = \n"
	  "60010 empty = no\n60011 clear x = not suspected\n" },
	{ "answered-call-is-cleared", "10 crash x a 0 = no\n"
				      "20 declare x a b = no\n"
				      "30 clear x = 7\n"
				      "40 crash x c 35 = no\n" },
	{ "blocked-call-is-not-cleared", "20 declare x a b c = yes\n"
					 "30 clear x = not suspected\n"
					 "30 blocked x = yes\n" },
	{ "removed-by-the-keepers", "20 declare x a b c = yes\n"
				    "30 empty = no\n30 blocked x = no\n" },
	{ "forgotten-after-an-hour-without-keepers",
	  "0 crash x a -1 = no\n3600000 expire = 1\n"
	  "3600001 expire = 0\n" },
};

static char *blocked(const entry_suspects_t *suspects, const char *digest)
{
	return g_strdup(entry_suspects_blocked(suspects, digest) ? "yes" :
								   "no");
}

static char *run_crash(entry_suspects_t *suspects, char **words, usec_t now)
{
	entry_crash_t crash = { .at = now, .started_ms = 1 };

	g_strlcpy(crash.digest, words[1], sizeof(crash.digest));
	g_strlcpy(crash.copy, words[2], sizeof(crash.copy));
	crash.sent = strtol(words[3], NULL, 10) * USEC_PER_MS;
	entry_suspects_add(suspects, &crash);
	return blocked(suspects, words[1]);
}

static char *run_declare(entry_suspects_t *suspects, char **words, usec_t now)
{
	config_crash_t crashes[CONFIG_SUSPECT_CRASHES_MAX] = { 0 };
	config_suspect_t suspect = { .name = words[1], .revision = 7 };
	config_t config = { 0 };
	u_int i;

	for (i = 0; words[2 + i]; i++) {
		crashes[i].copy = words[2 + i];
		crashes[i].started_ms = 1;
	}
	suspect.crashes.crashes_len = i;
	suspect.crashes.crashes_val = crashes;
	config.suspects.suspects_len = 1;
	config.suspects.suspects_val = &suspect;
	entry_suspects_apply(suspects, &config, now);
	return blocked(suspects, words[1]);
}

static char *run_empty(entry_suspects_t *suspects, char **words, usec_t now)
{
	const config_t config = { 0 };

	(void)words;
	entry_suspects_apply(suspects, &config, now);
	return blocked(suspects, "x");
}

static char *run_blocked(entry_suspects_t *suspects, char **words, usec_t now)
{
	(void)now;
	return blocked(suspects, words[1]);
}

static char *run_clear(entry_suspects_t *suspects, char **words, usec_t now)
{
	uint64_t revision;

	(void)now;
	if (!entry_suspects_clear(suspects, words[1], &revision))
		return g_strdup("not suspected");
	return g_strdup_printf("%u", (unsigned)revision);
}

static void add_copy(void *context, const entry_crash_t *crash)
{
	GString *copies = context;

	g_string_append_printf(copies, "%s%s", copies->len ? " " : "",
			       crash->copy);
}

static char *run_report(entry_suspects_t *suspects, char **words, usec_t now)
{
	GString *copies = g_string_new(NULL);

	(void)words;
	entry_suspects_each_unconfirmed(suspects, now, add_copy, copies);
	return g_string_free(copies, FALSE);
}

static char *run_expire(entry_suspects_t *suspects, char **words, usec_t now)
{
	(void)words;
	entry_suspects_expire(suspects, now);
	return g_strdup_printf("%u", entry_suspects_count(suspects));
}

static const struct {
	const char *name;
	char *(*run)(entry_suspects_t *suspects, char **words, usec_t now);
} commands[] = {
	{ "crash", run_crash },	  { "declare", run_declare },
	{ "empty", run_empty },	  { "blocked", run_blocked },
	{ "clear", run_clear },	  { "report", run_report },
	{ "expire", run_expire },
};

static char *run_line(entry_suspects_t *suspects, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	usec_t now = strtol(words[0], NULL, 10) * USEC_PER_MS;
	char *result = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(commands[i].name, words[1]))
			result = commands[i].run(suspects, words + 1, now);
	g_assert_nonnull(result);
	g_strfreev(words);
	return result;
}

static void test_case(gconstpointer data)
{
	const char *text = cases[GPOINTER_TO_SIZE(data)].text;
	entry_suspects_t *suspects = entry_suspects_new();
	GString *seen = g_string_new(NULL);
	char **lines = g_strsplit(text, "\n", -1);
	unsigned i;

	for (i = 0; lines[i] && lines[i][0]; i++) {
		char **sides = g_strsplit(lines[i], " = ", 2);
		char *result = run_line(suspects, sides[0]);

		g_string_append_printf(seen, "%s = %s\n", sides[0], result);
		g_free(result);
		g_strfreev(sides);
	}
	g_assert_cmpstr(seen->str, ==, text);
	entry_suspects_free(suspects);
	g_string_free(seen, TRUE);
	g_strfreev(lines);
}

int main(int argc, char **argv)
{
	char path[96];
	size_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_snprintf(path, sizeof(path), "/suspect/%s", cases[i].name);
		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_case);
	}
	return g_test_run();
}
