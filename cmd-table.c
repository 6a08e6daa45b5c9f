#include "cmd.h"

#define CMD_FILES_MAX 1024

const cmd_entry_t cmd_entries[] = {
	{ "plan", "FILE...", "Show what apply would change", NULL, 1,
	  CMD_FILES_MAX, cmd_plan },
	{ "apply", "FILE...", "Put declarations into force", cmd_apply_options,
	  1, CMD_FILES_MAX, cmd_apply },
	{ "diff", "FILE...", "Compare all declarations with what is accepted",
	  NULL, 1, CMD_FILES_MAX, cmd_diff },
	{ "get", "[NAME]", "Print what is accepted as declarations", NULL, 0, 1,
	  cmd_get },
	{ "routing", "", "Show the routing in force and its version", NULL, 0,
	  0, cmd_routing },
	{ "copies", "[SERVICE]", "List the copies as they announced themselves",
	  NULL, 0, 1, cmd_copies },
	{ "history", "", "List the last accepted changes", cmd_history_options,
	  0, 0, cmd_history },
	{ "retire", "profile|service NAME", "Retire a profile or a service",
	  cmd_retire_options, 2, 2, cmd_retire },
	{ "stop", "SERVICE COPY", "Announce or cancel a planned stop of a copy",
	  cmd_stop_options, 2, 2, cmd_stop },
	{ "status", "", "Show the keepers, or an entry", cmd_status_options, 0,
	  0, cmd_status },
	{ "histogram", "", "Show an entry's latencies by service and class",
	  cmd_histogram_options, 0, 0, cmd_histogram },
	{ "keeper-add", "NAME IP:PORT", "Add a keeper to the group", NULL, 2, 2,
	  cmd_voter_add },
	{ "keeper-remove", "NAME", "Remove a keeper from the group", NULL, 1, 1,
	  cmd_voter_remove },
	{ 0 },
};
