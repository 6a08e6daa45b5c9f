#include <stdlib.h>
#include <string.h>
#include "cmd-declared.h"
#include "config-show.h"

/*
 * The commands plan and diff: print the difference between declarations and the
 * accepted configuration. diff also lists objects that are not declared.
 */

static json_t *cmd_plan_json(const cmd_declared_t *declared, const char *lines)
{
	json_t *out = json_pack("{s:I}", "revision",
				(json_int_t)declared->current.revision);
	char **list = g_strsplit(lines, "\n", -1);
	json_t *changes = json_array();
	unsigned i;

	for (i = 0; list[i]; i++)
		if (*list[i])
			json_array_append_new(changes, json_string(list[i]));
	g_strfreev(list);
	json_object_set_new(out, "changes", changes);
	return out;
}

static cmd_exit_t cmd_plan_show(const cmd_t *cmd,
				const cmd_declared_t *declared)
{
	char *lines = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&lines, &size);
	u_int i;

	if (!out)
		return CMD_FAILED;
	for (i = 0; i < declared->change.items.items_len; i++)
		config_show_diff(&declared->current,
				 &declared->change.items.items_val[i], out);
	fclose(out);
	if (cmd->json)
		cmd_print_json(cmd_plan_json(declared, lines));
	else if (size)
		fputs(lines, stdout);
	else
		cmd_print_unchanged(cmd, declared->current.revision);
	free(lines);
	return size ? CMD_DIFFERS : CMD_OK;
}

static cmd_exit_t cmd_plan_run(cmd_t *cmd, char **files, bool retire)
{
	cmd_declared_t declared;
	hl_error_t err;
	cmd_exit_t code;

	if (cmd_declared_load(cmd, files, &declared, &err) ||
	    (retire && cmd_declared_retire(&declared, &err)))
		code = cmd_fail(cmd, &err);
	else
		code = cmd_plan_show(cmd, &declared);
	cmd_declared_free(&declared);
	return code;
}

cmd_exit_t cmd_plan(cmd_t *cmd, char **arguments)
{
	return cmd_plan_run(cmd, arguments, false);
}

cmd_exit_t cmd_diff(cmd_t *cmd, char **arguments)
{
	return cmd_plan_run(cmd, arguments, true);
}
