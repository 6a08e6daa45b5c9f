#include <string.h>
#include "cmd.h"
#include "config-show.h"

/* The command history: prints the last accepted changes. */

static gint cmd_history_count = 20; /* --count: number of changes to print */

const GOptionEntry cmd_history_options[] = {
	{ "count", 'n', 0, G_OPTION_ARG_INT, &cmd_history_count,
	  "Maximum number of changes (default 20)", "NUMBER" },
	{ 0 },
};

static void cmd_history_print(const config_delta_t *delta)
{
	const config_change_t *change = &delta->change;
	GDateTime *at = g_date_time_new_from_unix_utc(change->at_ms /
						      USEC_PER_MS);
	char *time_text = at ? g_date_time_format(at, "%FT%TZ") : g_strdup("-");
	char text[4 * HL_NAME_MAX];
	u_int i;

	printf("revision %" PRIu64 " %s by %s change %s\n",
	       (uint64_t)delta->revision, time_text, change->author,
	       change->id);
	for (i = 0; i < change->items.items_len; i++) {
		config_show_item(&change->items.items_val[i], text,
				 sizeof(text));
		printf("  %s\n", text);
	}
	g_free(time_text);
	if (at)
		g_date_time_unref(at);
}

/* Print the deltas of a response, or add them to @list with --json. Returns the
   last revision in the response, or @have if it has no deltas. */
static uint64_t cmd_history_add_deltas(const cmd_t *cmd,
				       const keeper_fetch_res_t *res,
				       uint64_t have, json_t *list)
{
	u_int i;

	if (res->body.whole)
		return have;
	for (i = 0; i < res->body.keeper_fetch_body_t_u.deltas.deltas_len;
	     i++) {
		const config_delta_t *delta =
			&res->body.keeper_fetch_body_t_u.deltas.deltas_val[i];
		json_t *item;

		have = delta->revision;
		if (!cmd->json) {
			cmd_history_print(delta);
			continue;
		}
		item = config_show_change_json(&delta->change);
		json_object_set_new(item, "revision",
				    json_integer((json_int_t)have));
		json_array_append_new(list, item);
	}
	return have;
}

/* Fetch the changes after @have up to @newest. A keeper that has compacted the
   older changes sends the whole configuration instead; the range is then halved
   until the keeper sends changes. */
static int cmd_history_fetch_all(cmd_t *cmd, uint64_t newest, uint64_t have,
				 json_t *list, hl_error_t *err)
{
	while (have < newest) {
		keeper_fetch_res_t res;
		uint64_t next;

		if (cmd_fetch(cmd, have, &res, err))
			return -1;
		next = cmd_history_add_deltas(cmd, &res, have, list);
		if (next == have)
			next = have + (newest - have + 1) / 2;
		have = next;
		xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, (char *)&res);
	}
	return 0;
}

cmd_exit_t cmd_history(cmd_t *cmd, char **arguments)
{
	json_t *list = json_array();
	uint64_t have = 0;
	config_t config;
	hl_error_t err;
	int rc;

	(void)arguments;
	if (cmd_fetch_config(cmd, &config, &err)) {
		json_decref(list);
		return cmd_fail(cmd, &err);
	}
	if (config.revision > (uint64_t)cmd_history_count)
		have = config.revision - cmd_history_count;
	rc = cmd_history_fetch_all(cmd, config.revision, have, list, &err);
	xdr_free((xdrproc_t)xdr_config_t, (char *)&config);
	if (rc || !cmd->json) {
		json_decref(list);
		return rc ? cmd_fail(cmd, &err) : CMD_OK;
	}
	cmd_print_json(list);
	return CMD_OK;
}
