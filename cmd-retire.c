#include <string.h>
#include "cmd.h"
#include "config-object.h"
#include "config-plan.h"

/* The command retire: submits the removal of a profile or a service. */

static cmd_change_options_t cmd_retire_change;

const GOptionEntry cmd_retire_options[] = {
	CMD_CHANGE_OPTIONS(cmd_retire_change),
	{ 0 },
};

/* Plan the removal of the object that the arguments name. */
static int cmd_retire_plan(const config_t *current, const char *type,
			   const char *name, config_change_t *change,
			   hl_error_t *err)
{
	config_item_kind_t kind = CONFIG_RETIRE_PROFILE;
	const void *found;

	if (!strcmp(type, "service"))
		kind = CONFIG_RETIRE_SERVICE;
	else if (strcmp(type, "profile"))
		return hl_error_set(err, HL_ERR_USAGE,
				    "cannot retire a %s; use profile or "
				    "service",
				    type);
	if (kind == CONFIG_RETIRE_SERVICE)
		found = config_find_service(current, name);
	else
		found = config_find_profile(current, name);
	if (!found)
		return hl_error_set(
			err, HL_ERR_NOT_FOUND,
			"there is no %s %s; hemlockctl get lists the "
			"existing ones",
			type, name);
	return config_plan_add_item(current, kind, found, change, err);
}

cmd_exit_t cmd_retire(cmd_t *cmd, char **arguments)
{
	config_change_t change = { 0 };
	config_t current;
	cmd_exit_t code;
	hl_error_t err;

	if (cmd_change_find_outcome(cmd, &cmd_retire_change, &code))
		return code;
	if (cmd_fetch_config(cmd, &current, &err))
		return cmd_fail(cmd, &err);
	if (cmd_retire_plan(&current, arguments[0], arguments[1], &change,
			    &err))
		code = cmd_fail(cmd, &err);
	else
		code = cmd_change(cmd, &cmd_retire_change, &change);
	xdr_free((xdrproc_t)xdr_config_change_t, (char *)&change);
	xdr_free((xdrproc_t)xdr_config_t, (char *)&current);
	return code;
}
