#include <string.h>
#include <sys/socket.h>
#include "cmd.h"

/*
 * The commands keeper-add and keeper-remove. The leader appends the membership
 * change to its log; the command returns once the change is committed.
 */

/* A membership change of the keepers. */
typedef struct {
	keeper_voter_args_t args;
	bool sent;	/* a leader may have received the change */
	bool unchanged; /* the group was already as requested */
	bool appended;	/* the change is in the leader's log, up to @index */
	uint64_t index;
	u_int members;	    /* number of keepers after the change */
	hl_error_t refusal; /* set if cmd_voter_check() fails */
} cmd_voter_t;

/* Find a member by name; NULL if there is none. */
static const keeper_member_t *cmd_voter_find(const keeper_state_res_t *state,
					     const char *name)
{
	u_int i;

	for (i = 0; i < state->members.members_len; i++)
		if (!strcmp(state->members.members_val[i].name, name))
			return &state->members.members_val[i];
	return NULL;
}

/* Check that a quorum still confirms this leader. */
static bool cmd_voter_confirmed(CLIENT *client, uint64_t revision)
{
	keeper_fetch_args_t args = { .have = revision, .confirmed = TRUE };
	keeper_fetch_res_t res = { 0 };
	bool confirmed = keeper_fetch_1(args, &res, client) == RPC_SUCCESS &&
			 res.status == KEEPER_OK && res.confirmed;

	xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, (char *)&res);
	return confirmed;
}

/* Refuse requests that the leader would ignore without an error. */
static int cmd_voter_check(const keeper_state_res_t *state,
			   const keeper_voter_args_t *args, hl_error_t *err)
{
	const keeper_member_t *member = cmd_voter_find(state, args->name);
	u_int i, voters = 0;

	for (i = 0; i < state->members.members_len; i++)
		voters += state->members.members_val[i].voter != 0;
	if (args->add && member && strcmp(member->address, args->address))
		return hl_error_set(
			err, HL_ERR_REFUSED,
			"%s is already a keeper at %s; remove it first",
			args->name, member->address);
	if (args->add && !member &&
	    state->members.members_len >= KEEPER_VOTERS_MAX)
		return hl_error_set(err, HL_ERR_REFUSED,
				    "there are %d keepers, the maximum; remove "
				    "one first",
				    KEEPER_VOTERS_MAX);
	if (!args->add && !member)
		return hl_error_set(err, HL_ERR_NOT_FOUND,
				    "there is no keeper %s; hemlockctl status "
				    "--json lists the existing ones",
				    args->name);
	if (!args->add && member->voter && voters == 1)
		return hl_error_set(err, HL_ERR_REFUSED,
				    "%s is the only voter; add another keeper "
				    "and wait until it votes",
				    args->name);
	return 0;
}

/* Send the change to the leader, which responds before the change is logged. */
static cmd_step_t cmd_voter_send(CLIENT *client, cmd_voter_t *voter)
{
	keeper_submit_res_t res = { 0 };
	enum clnt_stat stat;

	voter->appended = false;
	voter->sent = true;
	stat = keeper_voter_1(voter->args, &res, client);
	xdr_free((xdrproc_t)xdr_keeper_submit_res_t, (char *)&res);
	return stat == RPC_SUCCESS ? CMD_STEP_RETRY : CMD_STEP_NEXT;
}

/* Check if the leader has committed its log up to the change. */
static cmd_step_t cmd_voter_wait_commit(cmd_voter_t *voter,
					const keeper_state_res_t *state)
{
	if (!voter->appended)
		voter->index = state->last_index;
	voter->appended = true;
	voter->members = state->members.members_len;
	return state->commit_index >= voter->index ? CMD_STEP_DONE :
						     CMD_STEP_RETRY;
}

static cmd_step_t cmd_voter_at_leader(CLIENT *client, cmd_voter_t *voter,
				      const keeper_state_res_t *state)
{
	const keeper_voter_args_t *args = &voter->args;
	bool present = cmd_voter_find(state, args->name) != NULL;

	if (!cmd_voter_confirmed(client, state->revision)) {
		voter->appended = false;
		return CMD_STEP_NEXT;
	}
	if (!voter->sent && cmd_voter_check(state, args, &voter->refusal))
		return CMD_STEP_DONE;
	if (present != (args->add != 0))
		return cmd_voter_send(client, voter);
	voter->unchanged = !voter->sent;
	return cmd_voter_wait_commit(voter, state);
}

/* Find the leader, send the change to it, and check if it is committed. */
static cmd_step_t cmd_voter_request(CLIENT *client, void *context, char *leader)
{
	keeper_state_res_t state = { 0 };
	cmd_voter_t *voter = context;
	cmd_step_t step = CMD_STEP_NEXT;

	if (keeper_state_1(&state, client) != RPC_SUCCESS) {
		voter->appended = false;
	} else if (!strcmp(state.role, "leader")) {
		step = cmd_voter_at_leader(client, voter, &state);
	} else {
		voter->appended = false;
		g_strlcpy(leader, state.leader, HL_ADDRESS_MAX);
		step = *leader ? CMD_STEP_LEADER : CMD_STEP_NEXT;
	}
	xdr_free((xdrproc_t)xdr_keeper_state_res_t, (char *)&state);
	return step;
}

static void cmd_voter_print(const cmd_t *cmd, const cmd_voter_t *voter)
{
	const char *verdict = voter->unchanged ? "unchanged" : "accepted";
	const char *action = voter->args.add ? "added" : "removed";

	if (cmd->json)
		cmd_print_json(json_pack("{s:s, s:s, s:i}", "verdict", verdict,
					 "name", voter->args.name, "keepers",
					 (int)voter->members));
	else if (voter->unchanged)
		printf("%s is a keeper already\n", voter->args.name);
	else
		printf("keeper %s is %s; there are %u\n", voter->args.name,
		       action, voter->members);
}

static cmd_exit_t cmd_voter_run(cmd_t *cmd, cmd_voter_t *voter)
{
	hl_error_t err;
	int rc = cmd_keeper_run(cmd, cmd_voter_request, voter, &err);

	if (!rc && voter->refusal.kind != HL_OK)
		return cmd_fail(cmd, &voter->refusal);
	if (!rc) {
		cmd_voter_print(cmd, voter);
		return CMD_OK;
	}
	if (voter->sent)
		hl_error_set(&err, HL_ERR_TIMEOUT,
			     "the change of keeper %s was sent and its outcome "
			     "is not known; see members in hemlockctl status "
			     "--json, and run the same command again",
			     voter->args.name);
	return cmd_fail(cmd, &err);
}

cmd_exit_t cmd_voter_add(cmd_t *cmd, char **arguments)
{
	cmd_voter_t voter = { .args = { .add = TRUE,
					.name = arguments[0],
					.address = arguments[1] } };
	struct sockaddr_storage storage;
	unsigned length;
	hl_error_t err;

	if (!hl_name_valid(arguments[0]))
		hl_error_set(&err, HL_ERR_USAGE,
			     "%s is not a valid name; use lower-case letters, "
			     "digits, dash and dot, at most 63",
			     arguments[0]);
	else if (strlen(arguments[1]) >= HL_ADDRESS_MAX ||
		 hl_address_parse(arguments[1], &storage, &length))
		hl_error_set(
			&err, HL_ERR_USAGE,
			"%s is not a valid address; use IP:PORT of the keeper",
			arguments[1]);
	else
		return cmd_voter_run(cmd, &voter);
	return cmd_fail(cmd, &err);
}

cmd_exit_t cmd_voter_remove(cmd_t *cmd, char **arguments)
{
	cmd_voter_t voter = { .args = { .name = arguments[0], .address = "" } };
	hl_error_t err;

	if (hl_name_valid(arguments[0]))
		return cmd_voter_run(cmd, &voter);
	hl_error_set(&err, HL_ERR_USAGE,
		     "%s is not a valid name; hemlockctl status --json "
		     "lists the names",
		     arguments[0]);
	return cmd_fail(cmd, &err);
}
