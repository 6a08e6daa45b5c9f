#include "cmd.h"

/* Table of the commands of hemlockctl. */

/* Maximum number of declaration files of one command. */
#define CMD_FILES_MAX 1024

const cmd_command_t cmd_table[] = {
	{ "plan", "FILE...", "Show what apply would change", NULL, 1,
	  CMD_FILES_MAX, cmd_plan },
	{ "apply", "FILE...", "Put declarations into force", cmd_apply_options,
	  1, CMD_FILES_MAX, cmd_apply },
	{ "diff", "FILE...", "Compare all declarations with the accepted ones",
	  NULL, 1, CMD_FILES_MAX, cmd_diff },
	{ "get", "[NAME]", "Print the accepted declarations", NULL, 0, 1,
	  cmd_get },
	{ "routing", "", "Show the routing in force and its version", NULL, 0,
	  0, cmd_routing },
	{ "copies", "[SERVICE]", "List the copies and their last announcement",
	  NULL, 0, 1, cmd_copies },
	{ "history", "", "List the last accepted changes", cmd_history_options,
	  0, 0, cmd_history },
	{ "retire", "profile|service NAME", "Retire a profile or a service",
	  cmd_retire_options, 2, 2, cmd_retire },
	{ "stop", "SERVICE COPY", "Announce or cancel a planned stop of a copy",
	  cmd_stop_options, 2, 2, cmd_stop },
	{ "status", "", "Show the state of the keepers, or of an entry",
	  cmd_status_options, 0, 0, cmd_status },
	{ "histogram", "",
	  "Show the latencies of an entry by service and class",
	  cmd_histogram_options, 0, 0, cmd_histogram },
	{ "keeper-add", "NAME IP:PORT", "Add a keeper to the group", NULL, 2, 2,
	  cmd_voter_add },
	{ "keeper-remove", "NAME", "Remove a keeper from the group", NULL, 1, 1,
	  cmd_voter_remove },
	{ 0 },
};
