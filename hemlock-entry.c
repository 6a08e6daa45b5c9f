#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include "entry-main.h"

/* The program hemlock-entry, the proxy process: parses the command line, checks
   the settings and runs the entry. */

/* Exit codes, documented in the manual page. */
#define EXIT_USAGE 2
#define EXIT_SETTINGS 3
#define EXIT_RUN 4

/* Reports a failed start or run and returns @code. With --check the message is
   printed on standard error instead of the log. */
static int report_failure(const hl_error_t *err, bool check, int code)
{
	char text[2 * HL_MESSAGE_MAX];

	if (check)
		fprintf(stderr, "hemlock-entry: %s\n", err->message);
	else
		log_event(LOG_LEVEL_ERROR, "refused-to-start",
			  "kind=%s message=%s", hl_error_kind_name(err->kind),
			  log_quote(err->message, text, sizeof(text)));
	return code;
}

/* Checks the settings and, without --check, runs the entry; returns the exit
   code. */
static int run(const char *path, bool check, bool first_start)
{
	static entry_settings_t settings;
	hl_error_t err = { 0 };
	int rc;

	log_open("hemlock-entry", "-", LOG_LEVEL_INFO);
	if (!path) {
		hl_error_set(&err, HL_ERR_USAGE,
			     "no settings file; give --settings FILE");
		return report_failure(&err, check, EXIT_USAGE);
	}
	if (entry_settings_load(path, &settings, &err))
		return report_failure(&err, check, EXIT_SETTINGS);
	if (check) {
		printf("%s: good\n", path);
		return EXIT_SUCCESS;
	}
	log_open("hemlock-entry", settings.name, settings.log_level);
	signals_block();
	if (log_start())
		log_event(LOG_LEVEL_WARNING, "log-not-started",
			  "message=\"cannot start the log thread; give the VM "
			  "more memory\"");
	rc = entry_main_run(&settings, path, first_start, &err);
	if (rc)
		rc = report_failure(&err, false, EXIT_RUN);
	log_stop();
	return rc;
}

int main(int argc, char **argv)
{
	gchar *path = NULL;
	gboolean check = FALSE;
	gboolean version = FALSE;
	gboolean help_settings = FALSE;
	gboolean first_start = FALSE;
	const GOptionEntry options[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		  "Read the settings from FILE", "FILE" },
		{ "check", 'c', 0, G_OPTION_ARG_NONE, &check,
		  "Check the settings and exit", NULL },
		{ "first-start", 0, 0, G_OPTION_ARG_NONE, &first_start,
		  "First start of a new installation: no idempotency key was "
		  "claimed before",
		  NULL },
		{ "help-settings", 0, 0, G_OPTION_ARG_NONE, &help_settings,
		  "List the settings and exit", NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &version,
		  "Print the version and exit", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new("- HTTP load balancer");
	GError *error = NULL;
	gboolean parsed;
	int code;

	g_option_context_add_main_entries(context, options, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (!parsed) {
		fprintf(stderr, "hemlock-entry: %s; see --help\n",
			error->message);
		g_error_free(error);
		g_free(path);
		return EXIT_USAGE;
	}
	if (version) {
		printf("hemlock-entry %s\n", build_id_text);
		g_free(path);
		return EXIT_SUCCESS;
	}
	if (help_settings) {
		settings_print_help(entry_settings, entry_settings_count,
				    stdout);
		g_free(path);
		return EXIT_SUCCESS;
	}
	code = run(path, check, first_start);
	g_free(path);
	return code;
}
