#include <string.h>
#include "cmd.h"

/* The command status: prints the state of the keepers or of an entry. */

static char *cmd_status_entry; /* --entry: control address of an entry */

const GOptionEntry cmd_status_options[] = {
	{ "entry", 0, 0, G_OPTION_ARG_STRING, &cmd_status_entry,
	  "Show the entry with this control port", "IP:PORT" },
	{ 0 },
};

static json_t *cmd_status_members_json(const keeper_state_res_t *res)
{
	json_t *members = json_array();
	u_int i;

	for (i = 0; i < res->members.members_len; i++) {
		const keeper_member_t *member = &res->members.members_val[i];

		json_array_append_new(
			members,
			json_pack("{s:s, s:s, s:b, s:I}", "name", member->name,
				  "address", member->address, "voter",
				  member->voter, "matched",
				  (json_int_t)member->match_index));
	}
	return members;
}

static json_t *cmd_status_keeper_json(const char *address,
				      const keeper_state_res_t *res)
{
	return json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:o}", "address",
			 address, "name", res->name, "role", res->role, "term",
			 (json_int_t)res->term, "last_index",
			 (json_int_t)res->last_index, "commit_index",
			 (json_int_t)res->commit_index, "revision",
			 (json_int_t)res->revision, "members",
			 cmd_status_members_json(res));
}

/* Print a keeper as a line of text, or add it to @list as a JSON object. */
static bool cmd_status_show_keeper(const cmd_t *cmd, const char *address,
				   json_t *list)
{
	keeper_state_res_t res;
	hl_error_t err;

	if (cmd_keeper_state(address, &res, &err)) {
		if (!cmd->json)
			printf("%-22s %s\n", address, err.message);
		json_array_append_new(list,
				      json_pack("{s:s, s:s}", "address",
						address, "error", err.message));
		return false;
	}
	if (!cmd->json)
		printf("%-22s %-16s %-9s term %" PRIu64 " commit %" PRIu64
		       " revision %" PRIu64 "\n",
		       address, res.name, res.role, (uint64_t)res.term,
		       (uint64_t)res.commit_index, (uint64_t)res.revision);
	json_array_append_new(list, cmd_status_keeper_json(address, &res));
	xdr_free((xdrproc_t)xdr_keeper_state_res_t, (char *)&res);
	return true;
}

static cmd_exit_t cmd_status_show_keepers(cmd_t *cmd)
{
	json_t *list = json_array();
	unsigned answers = 0;
	unsigned i;

	for (i = 0; i < cmd->list.count; i++)
		answers += cmd_status_show_keeper(cmd, cmd->list.items[i],
						  list);
	if (cmd->json)
		cmd_print_json(list);
	else
		json_decref(list);
	return answers ? CMD_OK : CMD_UNAVAILABLE;
}

/* Print the status page of an entry, indented. */
static cmd_exit_t cmd_status_show_entry(const cmd_t *cmd)
{
	hl_error_t err;
	char *body = cmd_http_get(cmd_status_entry, "/v1/status", &err);
	json_t *root;

	if (!body)
		return cmd_fail(cmd, &err);
	root = json_loads(body, 0, NULL);
	g_free(body);
	if (!root) {
		hl_error_set(
			&err, HL_ERR_PROTOCOL,
			"%s did not send JSON; check that it is an entry's "
			"control port",
			cmd_status_entry);
		return cmd_fail(cmd, &err);
	}
	cmd_print_json(root);
	return CMD_OK;
}

cmd_exit_t cmd_status(cmd_t *cmd, char **arguments)
{
	hl_error_t err;

	(void)arguments;
	if (cmd_status_entry)
		return cmd_status_show_entry(cmd);
	if (!cmd->list.count) {
		hl_error_set(&err, HL_ERR_USAGE,
			     "no process is given; use --entry, --keepers or "
			     "--settings");
		return cmd_fail(cmd, &err);
	}
	return cmd_status_show_keepers(cmd);
}
