#ifndef TOOL_OPTIONS_H
#define TOOL_OPTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

/* Reads the options of a tool from its command line. load-caller and
 * bench/served-older share this code. */

/**
 * tool_options_read - read the options and report what is wrong with them
 * @options: the options, ended by an entry without a name
 * @valid: whether the values that the options have set can be used
 * @needs: message if they cannot
 *
 * Return: 0, or -1 after a message on standard error.
 */
static inline int tool_options_read(int argc, char **argv,
				    const GOptionEntry *options,
				    bool (*valid)(void), const char *needs)
{
	GOptionContext *context = g_option_context_new("");
	GError *error = NULL;
	bool parsed;

	g_option_context_add_main_entries(context, options, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (parsed && valid())
		return 0;
	fprintf(stderr, "%s\n", error ? error->message : needs);
	g_clear_error(&error);
	return -1;
}

#endif
