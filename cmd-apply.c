#include "cmd-declared.h"

static cmd_change_options_t cmd_apply_change;
static gint64 cmd_apply_at = -1;

const GOptionEntry cmd_apply_options[] = {
	CMD_CHANGE_OPTIONS(cmd_apply_change),
	{ "at", 0, 0, G_OPTION_ARG_INT64, &cmd_apply_at,
	  "Conflict with what changed after this revision", "REVISION" },
	{ 0 },
};

/* The operator looked at an older revision than is in force now. */
static void cmd_apply_pin(config_change_t *change, uint64_t at)
{
	u_int i;

	for (i = 0; i < change->items.items_len; i++)
		if (change->items.items_val[i].base > at)
			change->items.items_val[i].base = at;
	if (change->base_revision > at)
		change->base_revision = at;
}

cmd_exit_t cmd_apply(cmd_t *cmd, char **arguments)
{
	cmd_declared_t declared;
	cmd_exit_t code;
	hl_error_t err;

	if (cmd_change_known(cmd, &cmd_apply_change, &code))
		return code;
	if (cmd_declared_load(cmd, arguments, &declared, &err)) {
		code = cmd_fail(cmd, &err);
	} else if (!declared.change.items.items_len) {
		code = cmd_print_unchanged(cmd, declared.current.revision);
	} else {
		if (cmd_apply_at >= 0)
			cmd_apply_pin(&declared.change, cmd_apply_at);
		code = cmd_change(cmd, &cmd_apply_change, &declared.change);
	}
	cmd_declared_free(&declared);
	return code;
}
