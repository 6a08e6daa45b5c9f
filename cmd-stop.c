#include <string.h>
#include <unistd.h>
#include "cmd.h"
#include "config-object.h"
#include "config-plan.h"

/*
 * The command stop: announces or cancels the planned stop of a copy. With
 * --wait and --entry it returns once no live entry has calls at the copy.
 */

/* Interval between checks whether the stopped copy has calls in flight. */
#define CMD_STOP_POLL_INTERVAL_US (200 * USEC_PER_MS)

static cmd_change_options_t cmd_stop_change;
static gboolean cmd_stop_cancel;
static char **cmd_stop_entries;

const GOptionEntry cmd_stop_options[] = {
	CMD_CHANGE_OPTIONS(cmd_stop_change),
	{ "cancel", 0, 0, G_OPTION_ARG_NONE, &cmd_stop_cancel,
	  "Cancel an announced stop", NULL },
	{ "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &cmd_stop_entries,
	  "With --wait: wait until the copy is empty at this entry and its "
	  "members; may be repeated",
	  "IP:PORT" },
	{ 0 },
};

static int cmd_stop_plan(const config_t *current, char **names,
			 config_change_t *change, hl_error_t *err)
{
	config_stop_t stop = { .service = names[0], .copy = names[1] };
	const config_object_type_t *object = config_object_type(
		CONFIG_PUT_STOP);
	const void *announced = config_object_find(object, current, &stop);

	if (cmd_stop_cancel && !announced)
		return hl_error_set(err, HL_ERR_NOT_FOUND,
				    "no stop of %s %s is announced; see "
				    "hemlockctl get %s",
				    names[0], names[1], names[0]);
	if (!cmd_stop_cancel && announced)
		return 0;
	return config_plan_add_item(current,
				    cmd_stop_cancel ? CONFIG_CANCEL_STOP :
						      CONFIG_PUT_STOP,
				    &stop, change, err);
}

/* Return the addresses of --entry as a list, which cmd_drained() extends. */
static GPtrArray *cmd_stop_entry_list(void)
{
	GPtrArray *entries = g_ptr_array_new_with_free_func(g_free);
	char **entry;

	for (entry = cmd_stop_entries; entry && *entry; entry++)
		g_ptr_array_add(entries, g_strdup(*entry));
	return entries;
}

/* Poll until no entry has calls at the copy; false after the time limit. */
static bool cmd_stop_poll(char **names, uint64_t revision, int seconds,
			  GString *not_drained)
{
	usec_t deadline = time_now() + seconds * USEC_PER_SEC;
	GPtrArray *entries = cmd_stop_entry_list();
	bool drained;

	while (!(drained = cmd_drained(entries, names, revision,
				       not_drained)) &&
	       time_now() < deadline)
		usleep(CMD_STOP_POLL_INTERVAL_US);
	g_ptr_array_unref(entries);
	return drained;
}

/* Wait until the calls in flight at the copy have ended; a planned stop lets
   them complete. The time limit is the same as that of the wait until the stop
   is in force. */
static cmd_exit_t cmd_stop_wait_drained(const cmd_t *cmd, char **names,
					uint64_t revision)
{
	int seconds = cmd_stop_change.wait_s > 0 ? cmd_stop_change.wait_s :
						   CMD_WAIT_DEFAULT_S;
	GString *not_drained = g_string_new("");
	cmd_exit_t code = CMD_OK;
	hl_error_t err;

	if (!cmd_stop_poll(names, revision, seconds, not_drained)) {
		hl_error_set(&err, HL_ERR_UNAVAILABLE,
			     "%s %s is not empty after %d s: %s; check these "
			     "entries, or wait longer with --wait-seconds",
			     names[0], names[1], seconds, not_drained->str);
		cmd_fail(cmd, &err);
		code = CMD_NOT_EVERYWHERE;
	} else if (!cmd->json) {
		printf("%s %s is empty\n", names[0], names[1]);
	}
	g_string_free(not_drained, TRUE);
	return code;
}

/* With --wait and --entry, wait until an accepted stop has drained the copy. */
static cmd_exit_t cmd_stop_wait(cmd_t *cmd, char **names)
{
	uint64_t revision;
	config_t config;
	hl_error_t err;

	if (!cmd_stop_change.wait || cmd_stop_cancel || !cmd_stop_entries)
		return CMD_OK;
	if (cmd_fetch_config(cmd, &config, &err))
		return cmd_fail(cmd, &err);
	revision = config.revision;
	xdr_free((xdrproc_t)xdr_config_t, (char *)&config);
	return cmd_stop_wait_drained(cmd, names, revision);
}

cmd_exit_t cmd_stop(cmd_t *cmd, char **arguments)
{
	config_change_t change = { 0 };
	config_t current;
	cmd_exit_t code;
	hl_error_t err;

	if (cmd_change_find_outcome(cmd, &cmd_stop_change, &code))
		return code == CMD_OK ? cmd_stop_wait(cmd, arguments) : code;
	if (cmd_fetch_config(cmd, &current, &err))
		return cmd_fail(cmd, &err);
	if (cmd_stop_plan(&current, arguments, &change, &err)) {
		code = cmd_fail(cmd, &err);
	} else if (!change.items.items_len) {
		code = cmd_print_unchanged(cmd, current.revision);
	} else {
		code = cmd_change(cmd, &cmd_stop_change, &change);
	}
	if (code == CMD_OK)
		code = cmd_stop_wait(cmd, arguments);
	xdr_free((xdrproc_t)xdr_config_change_t, (char *)&change);
	xdr_free((xdrproc_t)xdr_config_t, (char *)&current);
	return code;
}
