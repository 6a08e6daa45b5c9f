#include <stdio.h>
#include <stdlib.h>
#include "cmd.h"

/* Output and exit codes shared by the commands. */

static cmd_exit_t cmd_exit_code(hl_error_kind_t kind)
{
	switch (kind) {
	case HL_ERR_USAGE:
		return CMD_USAGE;
	case HL_ERR_SETTINGS:
		return CMD_DECLARATION;
	case HL_ERR_CONFLICT:
		return CMD_CONFLICT;
	case HL_ERR_REFUSED:
	case HL_ERR_NOT_FOUND:
	case HL_ERR_LIMIT:
		return CMD_REFUSED;
	case HL_ERR_UNAVAILABLE:
		return CMD_UNAVAILABLE;
	case HL_ERR_TIMEOUT:
		return CMD_UNKNOWN;
	default:
		return CMD_FAILED;
	}
}

void cmd_print_json(json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(2));

	if (text)
		puts(text);
	free(text);
	json_decref(value);
}

cmd_exit_t cmd_print_unchanged(const cmd_t *cmd, uint64_t revision)
{
	if (cmd->json)
		cmd_print_json(json_pack("{s:s, s:I}", "verdict", "unchanged",
					 "revision", (json_int_t)revision));
	else
		printf("nothing differs from revision %" PRIu64 "\n", revision);
	return CMD_OK;
}

cmd_exit_t cmd_fail(const cmd_t *cmd, const hl_error_t *err)
{
	if (cmd->json)
		cmd_print_json(json_pack("{s:s, s:s}", "error",
					 hl_error_kind_name(err->kind),
					 "message", err->message));
	else
		fprintf(stderr, "hemlockctl: %s\n", err->message);
	return cmd_exit_code(err->kind);
}
