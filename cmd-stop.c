#include <string.h>
#include <unistd.h>
#include "cmd.h"
#include "config-object.h"
#include "config-plan.h"

/* Between two looks at whether the copy is empty. */
#define CMD_STOP_POLL_US (200 * USEC_PER_MS)

static cmd_change_options_t cmd_stop_change;
static gboolean cmd_stop_cancel;
static char **cmd_stop_entries;

const GOptionEntry cmd_stop_options[] = {
	CMD_CHANGE_OPTIONS(cmd_stop_change),
	{ "cancel", 0, 0, G_OPTION_ARG_NONE, &cmd_stop_cancel,
	  "Take back a stop announced before", NULL },
	{ "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &cmd_stop_entries,
	  "With --wait: until the copy is empty at this entry too; may be "
	  "repeated",
	  "IP:PORT" },
	{ 0 },
};

static int cmd_stop_plan(const config_t *current, char **names,
			 config_change_t *change, hl_error_t *err)
{
	config_stop_t stop = { .service = names[0], .copy = names[1] };
	const config_object_t *object = config_object_of(CONFIG_PUT_STOP);
	const void *held = config_object_find(object, current, &stop);

	if (cmd_stop_cancel && !held)
		return hl_error_set(err, HL_ERR_NOT_FOUND,
				    "no stop of %s %s is announced; see "
				    "hemlockctl get %s",
				    names[0], names[1], names[0]);
	if (!cmd_stop_cancel && held)
		return 0;
	return config_plan_item(current,
				cmd_stop_cancel ? CONFIG_CANCEL_STOP :
						  CONFIG_PUT_STOP,
				&stop, change, err);
}

/* Calls that this entry still has at the copy; 0 when it has none. */
static json_int_t cmd_stop_copy_calls(json_t *service, const char *copy)
{
	json_t *one;
	size_t i;

	json_array_foreach(json_object_get(service, "copies"), i, one)
	{
		const char *name = json_string_value(
			json_object_get(one, "copy"));

		if (name && !strcmp(name, copy))
			return json_integer_value(
				json_object_get(one, "outstanding"));
	}
	return 0;
}

/* The same of one entry; -1 when it does not answer. */
static json_int_t cmd_stop_entry_calls(const char *entry, char **names)
{
	char *body = cmd_http_get(entry, "/v1/status", NULL);
	json_t *root = body ? json_loads(body, 0, NULL) : NULL;
	json_int_t calls = root ? 0 : -1;
	json_t *service;
	size_t i;

	json_array_foreach(json_object_get(root, "services"), i, service)
	{
		const char *name = json_string_value(
			json_object_get(service, "service"));

		if (name && !strcmp(name, names[0]))
			calls += cmd_stop_copy_calls(service, names[1]);
	}
	json_decref(root);
	g_free(body);
	return calls;
}

static bool cmd_stop_empty(char **names)
{
	char **entry;

	for (entry = cmd_stop_entries; entry && *entry; entry++)
		if (cmd_stop_entry_calls(*entry, names))
			return false;
	return true;
}

/* Requests in flight end whole; wait for that as long as for the rest. */
static cmd_exit_t cmd_stop_wait_empty(const cmd_t *cmd, char **names)
{
	int seconds = cmd_stop_change.wait_s > 0 ? cmd_stop_change.wait_s :
						   CMD_WAIT_S;
	usec_t until = time_now() + seconds * USEC_PER_SEC;
	hl_error_t err;

	if (!cmd_stop_change.wait || cmd_stop_cancel || !cmd_stop_entries)
		return CMD_OK;
	while (!cmd_stop_empty(names)) {
		if (time_now() >= until) {
			hl_error_set(&err, HL_ERR_UNAVAILABLE,
				     "%s %s is not empty after %d s; wait "
				     "longer with --wait-seconds",
				     names[0], names[1], seconds);
			cmd_fail(cmd, &err);
			return CMD_NOT_EVERYWHERE;
		}
		usleep(CMD_STOP_POLL_US);
	}
	if (!cmd->json)
		printf("%s %s is empty\n", names[0], names[1]);
	return CMD_OK;
}

cmd_exit_t cmd_stop(cmd_t *cmd, char **arguments)
{
	config_change_t change = { 0 };
	config_t current;
	cmd_exit_t code;
	hl_error_t err;

	if (cmd_change_known(cmd, &cmd_stop_change, &code))
		return code;
	if (cmd_config(cmd, &current, &err))
		return cmd_fail(cmd, &err);
	if (cmd_stop_plan(&current, arguments, &change, &err)) {
		code = cmd_fail(cmd, &err);
	} else if (!change.items.items_len) {
		code = cmd_print_unchanged(cmd, current.revision);
	} else {
		code = cmd_change(cmd, &cmd_stop_change, &change);
	}
	if (code == CMD_OK)
		code = cmd_stop_wait_empty(cmd, arguments);
	xdr_free((xdrproc_t)xdr_config_change_t, (char *)&change);
	xdr_free((xdrproc_t)xdr_config_t, (char *)&current);
	return code;
}
