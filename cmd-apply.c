#include "cmd-declared.h"

/* The command apply: submits the change that turns the accepted configuration
   into the declared one. */

static cmd_change_options_t cmd_apply_change;
static gint64 cmd_apply_base_revision = -1; /* --at REVISION; -1: not given */

const GOptionEntry cmd_apply_options[] = {
	CMD_CHANGE_OPTIONS(cmd_apply_change),
	{ "at", 0, 0, G_OPTION_ARG_INT64, &cmd_apply_base_revision,
	  "Report a conflict with any change after this revision", "REVISION" },
	{ 0 },
};

/* Lower the base of the change to the revision that the operator reviewed, so
   that the keepers report a conflict with later changes. */
static void cmd_apply_lower_base(config_change_t *change, uint64_t revision)
{
	u_int i;

	for (i = 0; i < change->items.items_len; i++)
		if (change->items.items_val[i].base > revision)
			change->items.items_val[i].base = revision;
	if (change->base_revision > revision)
		change->base_revision = revision;
}

cmd_exit_t cmd_apply(cmd_t *cmd, char **arguments)
{
	cmd_declared_t declared;
	cmd_exit_t code;
	hl_error_t err;

	if (cmd_change_find_outcome(cmd, &cmd_apply_change, &code))
		return code;
	if (cmd_declared_load(cmd, arguments, &declared, &err)) {
		code = cmd_fail(cmd, &err);
	} else if (!declared.change.items.items_len) {
		code = cmd_print_unchanged(cmd, declared.current.revision);
	} else {
		if (cmd_apply_base_revision >= 0)
			cmd_apply_lower_base(&declared.change,
					     cmd_apply_base_revision);
		code = cmd_change(cmd, &cmd_apply_change, &declared.change);
	}
	cmd_declared_free(&declared);
	return code;
}
