#include <stdio.h>
#include <string.h>
#include "cmd.h"
#include "config-target.h"

/* Copies as they announced themselves last. */

static const char *cmd_copies_state(const config_target_t *copy)
{
	static const char *const names[] = {
		[CONFIG_TARGET_READY] = "ready",
		[CONFIG_TARGET_DRAINING] = "draining",
		[CONFIG_TARGET_LEFT] = "left",
		[CONFIG_TARGET_DISPLACED] = "displaced",
	};

	if ((size_t)copy->state >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[copy->state];
}

static json_t *cmd_copies_json(const config_target_t *copy)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I}",
			 "copy", copy->name, "service", copy->service,
			 "address", copy->address, "zone", copy->zone, "state",
			 cmd_copies_state(copy), "slots",
			 (json_int_t)copy->slots, "born",
			 (json_int_t)copy->started_ms, "sequence",
			 (json_int_t)copy->sequence, "revision",
			 (json_int_t)copy->revision);
}

static void cmd_copies_text(const config_target_t *copy)
{
	printf("%-20s %-16s %-21s %-12s %-9s %5u %8" PRIu64 "\n", copy->name,
	       copy->service, copy->address, copy->zone, cmd_copies_state(copy),
	       copy->slots, (uint64_t)copy->sequence);
}

cmd_exit_t cmd_copies(cmd_t *cmd, char **arguments)
{
	const char *service = *arguments;
	json_t *list = json_array();
	config_t config;
	hl_error_t err;
	u_int i;

	if (cmd_config(cmd, &config, &err)) {
		json_decref(list);
		return cmd_fail(cmd, &err);
	}
	if (!cmd->json)
		printf("%-20s %-16s %-21s %-12s %-9s %5s %8s\n", "copy",
		       "service", "address", "zone", "state", "slots",
		       "sequence");
	for (i = 0; i < config.targets.targets_len; i++) {
		const config_target_t *copy = &config.targets.targets_val[i];

		if (service && strcmp(service, copy->service))
			continue;
		if (cmd->json)
			json_array_append_new(list, cmd_copies_json(copy));
		else
			cmd_copies_text(copy);
	}
	if (cmd->json)
		cmd_print_json(list);
	else
		json_decref(list);
	xdr_free((xdrproc_t)xdr_config_t, (char *)&config);
	return CMD_OK;
}
