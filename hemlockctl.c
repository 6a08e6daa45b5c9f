#include <signal.h>
#include <string.h>
#include "cmd.h"

/*
 * The operators' command: finds the subcommand in cmd_table, parses its options
 * and the addresses of the keepers, and runs it.
 */

/* Default time limit for an answer from the keepers, seconds. */
#define CMD_TIMEOUT_S 10

static const setting_t ctl_settings[] = {
	{ "control", "keepers", SETTING_ADDRESSES, 0, true, NULL, 0, 0,
	  "addresses of the keepers" },
};

static const cmd_command_t *ctl_find(const char *name)
{
	const cmd_command_t *command;

	for (command = cmd_table; command->name; command++)
		if (name && !strcmp(command->name, name))
			return command;
	return NULL;
}

static int ctl_usage(FILE *out)
{
	const cmd_command_t *command;

	fputs("usage: hemlockctl COMMAND [OPTION...] [ARGUMENT...]\n\n", out);
	for (command = cmd_table; command->name; command++)
		fprintf(out, "  %-13s %-22s %s\n", command->name,
			command->arguments, command->summary);
	fputs("\nhemlockctl COMMAND --help lists the options of a command.\n",
	      out);
	return CMD_USAGE;
}

/* Read the addresses of the keepers: --keepers overrides the settings file. */
static int ctl_load_keepers(cmd_t *cmd, hl_error_t *err)
{
	char **list;
	unsigned i;

	if (!cmd->keepers && cmd->settings_file)
		return settings_load(cmd->settings_file, ctl_settings,
				     G_N_ELEMENTS(ctl_settings), &cmd->list,
				     err);
	list = g_strsplit(cmd->keepers ? cmd->keepers : "", ",",
			  SETTING_LIST_MAX);
	for (i = 0; list[i]; i++)
		if (*list[i])
			g_strlcpy(cmd->list.items[cmd->list.count++], list[i],
				  HL_ADDRESS_MAX);
	g_strfreev(list);
	return 0;
}

/* With --entry, status and histogram need no keeper. */
static bool ctl_needs_keepers(const cmd_command_t *command)
{
	return strcmp(command->name, "status") &&
	       strcmp(command->name, "histogram");
}

static int ctl_parse(const cmd_command_t *command, cmd_t *cmd, int *argc,
		     char ***argv, hl_error_t *err)
{
	const GOptionEntry common[] = {
		{ "keepers", 'k', 0, G_OPTION_ARG_STRING, &cmd->keepers,
		  "Addresses of the keepers", "IP:PORT,..." },
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME,
		  &cmd->settings_file, "Settings file with the keepers",
		  "FILE" },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &cmd->json, "Print JSON",
		  NULL },
		{ "timeout", 0, 0, G_OPTION_ARG_INT, &cmd->timeout_s,
		  "Time limit for the keepers (default 10)", "SECONDS" },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new(command->arguments);
	char program[HL_NAME_MAX];
	GError *error = NULL;
	int rc = 0;

	snprintf(program, sizeof(program), "hemlockctl %s", command->name);
	g_set_prgname(program);
	g_option_context_set_summary(context, command->summary);
	g_option_context_add_main_entries(context, common, NULL);
	if (command->options)
		g_option_context_add_main_entries(context, command->options,
						  NULL);
	if (!g_option_context_parse(context, argc, argv, &error)) {
		rc = hl_error_set(err, HL_ERR_USAGE, "%s; see --help",
				  error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	if (rc)
		return rc;
	if (*argc - 1 < command->arguments_min ||
	    *argc - 1 > command->arguments_max)
		return hl_error_set(err, HL_ERR_USAGE,
				    "usage: hemlockctl %s [OPTION...] %s",
				    command->name, command->arguments);
	if (ctl_load_keepers(cmd, err))
		return -1;
	if (cmd->list.count || !ctl_needs_keepers(command))
		return 0;
	return hl_error_set(err, HL_ERR_USAGE,
			    "no keeper is given; use --keepers or --settings");
}

static void ctl_free(cmd_t *cmd)
{
	g_free(cmd->keepers);
	g_free(cmd->settings_file);
}

int main(int argc, char **argv)
{
	const cmd_command_t *command = ctl_find(argc > 1 ? argv[1] : NULL);
	cmd_t cmd = { .timeout_s = CMD_TIMEOUT_S };
	hl_error_t err;
	cmd_exit_t code;

	signal(SIGPIPE, SIG_IGN);
	if (argc > 1 && !strcmp(argv[1], "--version")) {
		printf("hemlockctl %s\n", build_id_text);
		return CMD_OK;
	}
	if (!command)
		return argc > 1 && !strcmp(argv[1], "--help") ?
			       (ctl_usage(stdout), CMD_OK) :
			       ctl_usage(stderr);
	argc--;
	argv++;
	if (ctl_parse(command, &cmd, &argc, &argv, &err))
		code = cmd_fail(&cmd, &err);
	else
		code = command->run(&cmd, argv + 1);
	cmd_keeper_close(&cmd);
	ctl_free(&cmd);
	return code;
}
