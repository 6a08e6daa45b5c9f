#include <string.h>
#include "config-make.h"
#include "config-plan.h"
#include "config-read.h"
#include "config-show.h"

static const struct {
	const char *name;
	const char *text;
	const char *message; /* NULL: accepted */
} cases[] = {
	{ "empty", "", NULL },
	{ "profile", "[[profile]]\nname = \"fast\"\ndeadline_ms = 300\n",
	  NULL },
	{ "both",
	  "[[service]]\nname = \"s\"\nprofile = \"p\"\n"
	  "[[profile]]\nname = \"p\"\n",
	  NULL },
	{ "class",
	  "[[profile]]\nname = \"p\"\n[[profile.class]]\nname = \"c\"\n"
	  "priority = 0\n",
	  NULL },
	{ "syntax", "[[profile]]\nname = \n", "f:2: " },
	{ "unknown-table", "[[profil]]\nname = \"p\"\n",
	  "f:1: unknown key profil; declare [[profile]] and [[service]]" },
	{ "plain-table", "[profile]\nname = \"p\"\n", "f:1: unknown key" },
	{ "unknown-key", "[[profile]]\nname = \"p\"\ncolour = 1\n",
	  "f:3: unknown key colour; remove it" },
	{ "no-name", "[[profile]]\ndeadline_ms = 5\n",
	  "f:1: a profile needs a name" },
	{ "bad-name", "[[profile]]\nname = \"A B\"\n",
	  "f:2: name must be a name of a-z" },
	{ "range", "[[profile]]\nname = \"p\"\nretry_percent = 101\n",
	  "f:3: retry_percent must be an integer from 0 to 100" },
	{ "negative", "[[profile]]\nname = \"p\"\nqueue_max = -1\n",
	  "f:3: queue_max must be an integer from 0 to 65536" },
	{ "type", "[[profile]]\nname = \"p\"\nqueue_max = \"9\"\n",
	  "f:3: queue_max must be an integer" },
	{ "boolean", "[[profile]]\nname = \"p\"\npost_idempotent = 1\n",
	  "f:3: post_idempotent must be true or false" },
	{ "twice", "[[profile]]\nname = \"p\"\n[[profile]]\nname = \"p\"\n",
	  "f:3: profile p is declared twice" },
	{ "class-twice",
	  "[[profile]]\nname = \"p\"\n[[profile.class]]\nname = \"c\"\n"
	  "[[profile.class]]\nname = \"c\"\n",
	  "f:5: class c is declared twice" },
	{ "class-no-name",
	  "[[profile]]\nname = \"p\"\n[[profile.class]]\nrate = 1\n",
	  "f:3: a class needs a name" },
	{ "no-profile", "[[service]]\nname = \"s\"\n",
	  "f:1: service s names no profile" },
	{ "nowhere",
	  "[[profile]]\nname = \"p\"\n[[service]]\nname = \"s\"\n"
	  "profile = \"q\"\n",
	  "f:3: service s names profile q, which is neither declared" },
};

static void test_read_case(gconstpointer data)
{
	const size_t i = GPOINTER_TO_SIZE(data);
	config_declared_t declared;
	config_t current = { 0 };
	hl_error_t err = { 0 };
	int rc;

	config_read_init(&declared);
	rc = config_read_text("f", cases[i].text, strlen(cases[i].text),
			      &declared, &err);
	if (rc)
		g_assert_cmpuint(declared.config.profiles.profiles_len, ==, 0);
	else
		rc = config_read_check_references(&declared, &current, &err);
	config_read_fini(&declared);
	g_assert_cmpint(rc, ==, cases[i].message ? -1 : 0);
	if (!cases[i].message)
		return;
	g_assert_cmpint(err.kind, ==, HL_ERR_SETTINGS);
	if (!g_str_has_prefix(err.message, cases[i].message))
		g_error("got \"%s\"", err.message);
}

/* What get prints reads back as the same declarations. */
static void test_read_back(void)
{
	static const char text[] =
		"[[profile]]\nname = \"p\"\nqueue_max = 7\n"
		"post_idempotent = true\n[[profile.class]]\nname = \"c\"\n"
		"rate = 9\n[[service]]\nname = \"s\"\nprofile = \"p\"\n";
	config_declared_t first, second;
	config_change_t change = { 0 };
	char *shown = NULL;
	size_t size = 0;
	FILE *out;

	config_read_init(&first);
	config_read_init(&second);
	g_assert_cmpint(config_read_text("f", text, strlen(text), &first, NULL),
			==, 0);
	out = open_memstream(&shown, &size);
	config_show_toml(&first.config, out);
	fclose(out);
	g_assert_cmpint(config_read_text("g", shown, size, &second, NULL), ==,
			0);
	g_assert_cmpint(config_plan(&first.config, &second.config, &change,
				    NULL),
			==, 0);
	g_assert_cmpuint(change.items.items_len, ==, 0);
	second.config.profiles.profiles_val[0].queue_max = 8;
	g_assert_cmpint(config_plan(&first.config, &second.config, &change,
				    NULL),
			==, 0);
	g_assert_cmpuint(change.items.items_len, ==, 1);
	xdr_free((xdrproc_t)xdr_config_change_t, (char *)&change);
	config_read_fini(&first);
	config_read_fini(&second);
	free(shown);
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/config-read/%s", cases[i].name);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_read_case);
		g_free(path);
	}
	g_test_add_func("/config-read/back", test_read_back);
	return g_test_run();
}
