#include <glib.h>
#include <string.h>
#include "toml.h"

/*
 * Settings files. A misspelt key, a wrong type or a value out of range must be
 * rejected with its file and line, not ignored or replaced by a default.
 */

typedef struct {
	char name[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
	int64_t slots;
	bool strict;
	setting_list_t seeds;
} sample_t;

static const setting_t sample_settings[] = {
	{ "node", "name", SETTING_NAME, offsetof(sample_t, name), true, NULL, 0,
	  0, "name of this VM" },
	{ "node", "address", SETTING_ADDRESS, offsetof(sample_t, address),
	  false, "127.0.0.1:1", 0, 0, "where it listens" },
	{ "node", "slots", SETTING_INTEGER, offsetof(sample_t, slots), false,
	  "3", 1, 100, "slots" },
	{ "node", "strict", SETTING_BOOLEAN, offsetof(sample_t, strict), false,
	  "true", 0, 0, "strict" },
	{ "node", "seeds", SETTING_ADDRESSES, offsetof(sample_t, seeds), false,
	  NULL, 0, 0, "seeds" },
};

static const struct {
	const char *name;
	const char *text;
	const char *message; /* NULL: accepted */
} cases[] = {
	{ "good", "[node]\nname = \"a\"\nslots = 4\nseeds = [\"1.2.3.4:5\"]\n",
	  NULL },
	{ "defaults", "[node]\nname = \"a\"\n", NULL },
	{ "unknown-key", "[node]\nname = \"a\"\ncolour = 1\n",
	  "f:3: unknown key node.colour; remove it or see --help-settings for "
	  "the known ones" },
	{ "unknown-table", "[node]\nname = \"a\"\n[mode]\nx = 1\n",
	  "f:3: unknown table [mode]; remove it or see --help-settings for the "
	  "known ones" },
	{ "wrong-type", "[node]\nname = \"a\"\nslots = \"four\"\n",
	  "f:3: node.slots must be an integer from 1 to 100; set it so or "
	  "remove the line" },
	{ "out-of-range", "[node]\nname = \"a\"\nslots = 101\n",
	  "f:3: node.slots must be an integer from 1 to 100; set it so or "
	  "remove the line" },
	{ "bad-address", "[node]\nname = \"a\"\naddress = \"host:1\"\n",
	  "f:3: node.address must be \"ip:port\" in quotes; set it so or "
	  "remove the line" },
	{ "bad-list", "[node]\nname = \"a\"\nseeds = [\"x\"]\n",
	  "f:3: node.seeds must be an array of \"ip:port\"; set it so or "
	  "remove the line" },
	{ "missing", "[node]\nslots = 4\n",
	  "f: missing key node.name (name of this VM); add it as a name of "
	  "a-z, 0-9, '-', '.' in quotes" },
	{ "duplicate", "[node]\nname = \"a\"\nname = \"b\"\n", "f:3: " },
	{ "syntax", "[node]\nname = \n", "f:2: " },
};

static void test_settings_case(gconstpointer data)
{
	const size_t i = GPOINTER_TO_SIZE(data);
	hl_error_t err = { 0 };
	sample_t sample = { 0 };
	toml_node_t *root;
	int rc = -1;

	root = toml_parse_text("f", cases[i].text, strlen(cases[i].text), &err);
	if (root)
		rc = settings_read("f", root, sample_settings,
				   G_N_ELEMENTS(sample_settings), &sample,
				   &err);
	toml_free(root);
	if (!cases[i].message) {
		g_assert_cmpint(rc, ==, 0);
		g_assert_true(sample.strict);
		return;
	}
	g_assert_cmpint(rc, ==, -1);
	g_assert_cmpint(err.kind, ==, HL_ERR_SETTINGS);
	if (!g_str_has_prefix(err.message, cases[i].message))
		g_assert_cmpstr(err.message, ==, cases[i].message);
}

static const struct {
	const char *text; /* NULL: not set */
	setting_kind_t kind;
	double value;
	const char *message; /* NULL: accepted */
} variables[] = {
	{ NULL, SETTING_INTEGER, 7, NULL },
	{ "", SETTING_INTEGER, 7, NULL },
	{ "2", SETTING_INTEGER, 2, NULL },
	{ "0.5", SETTING_REAL, 0.5, NULL },
	{ "0.5", SETTING_INTEGER, 7,
	  "HEMLOCK_SAMPLE must be an integer from 0 to 10; correct or unset "
	  "it" },
	{ "11", SETTING_REAL, 7,
	  "HEMLOCK_SAMPLE must be a number from 0 to 10; correct or unset it" },
	{ "-1", SETTING_REAL, 7, "HEMLOCK_SAMPLE must be " },
	{ "nan", SETTING_REAL, 7, "HEMLOCK_SAMPLE must be " },
	{ "two", SETTING_INTEGER, 7, "HEMLOCK_SAMPLE must be " },
	{ "{{machines}}", SETTING_INTEGER, 7, "HEMLOCK_SAMPLE must be " },
};

/* Guards against a variable that is ignored, or replaced by 0, if it is no number. */
static void test_variables(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(variables); i++) {
		hl_error_t err = { 0 };
		double value = 7;
		int rc;

		g_unsetenv("HEMLOCK_SAMPLE");
		if (variables[i].text)
			g_setenv("HEMLOCK_SAMPLE", variables[i].text, TRUE);
		rc = settings_read_variable("HEMLOCK_SAMPLE", variables[i].kind,
					    10, &value, &err);
		g_assert_cmpint(rc, ==, variables[i].message ? -1 : 0);
		g_assert_cmpfloat(value, ==, variables[i].value);
		if (variables[i].message)
			g_assert_true(g_str_has_prefix(err.message,
						       variables[i].message));
	}
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char path[64];

		g_snprintf(path, sizeof(path), "/settings/%s", cases[i].name);
		g_test_add_data_func(path, GSIZE_TO_POINTER(i),
				     test_settings_case);
	}
	g_test_add_func("/settings/variables", test_variables);
	return g_test_run();
}
