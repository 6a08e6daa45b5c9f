#include <string.h>
#include "cmd.h"
#include "config-plan.h"

/*
 * Submission of a change: repeats it with the same id until a keeper returns
 * the answer, prints it, and waits until the change is in force.
 */

/* The submission of a change, or the look-up of its outcome. */
typedef struct {
	const config_change_t *change;
	config_answer_t *answer;
	bool pending;	  /* the keeper has the change, but no answer yet */
	bool sent;	  /* a keeper may have received the change */
	bool lookup_only; /* do not submit, only look up the id */
	bool answered;	  /* @answer is filled in */
} cmd_submit_t;

static cmd_step_t cmd_submit_on_response(cmd_submit_t *submit,
					 keeper_submit_res_t *res, char *leader)
{
	switch (res->status) {
	case KEEPER_OK:
		*submit->answer = res->answer;
		memset(&res->answer, 0, sizeof(res->answer));
		submit->answered = true;
		return CMD_STEP_DONE;
	case KEEPER_PENDING:
		submit->pending = true;
		return CMD_STEP_RETRY;
	case KEEPER_NOT_LEADER:
		submit->pending = false;
		if (res->leader)
			g_strlcpy(leader, res->leader, HL_ADDRESS_MAX);
		return *leader ? CMD_STEP_LEADER : CMD_STEP_NEXT;
	case KEEPER_UNKNOWN:
		submit->pending = false;
		return submit->lookup_only ? CMD_STEP_DONE : CMD_STEP_RETRY;
	default:
		return CMD_STEP_RETRY;
	}
}

/* Submit the change, or query its outcome if the keeper already has it. */
static cmd_step_t cmd_submit_request(CLIENT *client, void *context,
				     char *leader)
{
	cmd_submit_t *submit = context;
	keeper_submit_res_t res = { 0 };
	enum clnt_stat stat;
	cmd_step_t step;

	if (submit->pending || submit->lookup_only) {
		stat = keeper_outcome_1(submit->change->id, &res, client);
	} else {
		submit->sent = true;
		stat = keeper_submit_1(*submit->change, &res, client);
	}
	if (stat != RPC_SUCCESS) {
		submit->pending = false;
		step = CMD_STEP_NEXT;
	} else {
		step = cmd_submit_on_response(submit, &res, leader);
	}
	xdr_free((xdrproc_t)xdr_keeper_submit_res_t, (char *)&res);
	return step;
}

int cmd_submit(cmd_t *cmd, const config_change_t *change,
	       config_answer_t *answer, hl_error_t *err)
{
	cmd_submit_t submit = { .change = change, .answer = answer };

	memset(answer, 0, sizeof(*answer));
	if (xdr_sizeof((xdrproc_t)xdr_config_change_t, (void *)change) >
	    KEEPER_COMMAND_MAX)
		return hl_error_set(err, HL_ERR_LIMIT,
				    "the change is larger than %d bytes; apply "
				    "the files one after the other",
				    KEEPER_COMMAND_MAX);
	if (!cmd_keeper_run(cmd, cmd_submit_request, &submit, err))
		return 0;
	if (!submit.sent)
		return -1;
	return hl_error_set(err, HL_ERR_TIMEOUT,
			    "change %s was sent and its outcome is not known; "
			    "repeat the command with --id %s to query it",
			    change->id, change->id);
}

static const char *cmd_verdict_name(config_verdict_t verdict)
{
	static const char *const names[] = { "accepted", "conflict",
					     "refused" };

	return (unsigned)verdict < G_N_ELEMENTS(names) ? names[verdict] :
							 "unknown";
}

static cmd_exit_t cmd_verdict_exit(config_verdict_t verdict)
{
	if (verdict == CONFIG_ACCEPTED)
		return CMD_OK;
	return verdict == CONFIG_CONFLICT ? CMD_CONFLICT : CMD_REFUSED;
}

static json_t *cmd_answer_json(const config_answer_t *answer)
{
	return json_pack("{s:s, s:s, s:I, s:s, s:s}", "verdict",
			 cmd_verdict_name(answer->verdict), "id", answer->id,
			 "revision", (json_int_t)answer->revision, "winner",
			 answer->winner, "message", answer->message);
}

static void cmd_answer_print(const config_answer_t *answer)
{
	if (answer->verdict == CONFIG_ACCEPTED)
		printf("accepted: change %s made revision %" PRIu64 "\n",
		       answer->id, (uint64_t)answer->revision);
	else
		fprintf(stderr, "hemlockctl: %s: %s\n",
			cmd_verdict_name(answer->verdict), answer->message);
}

/* Wait until the revision is in force; print the result or the lagging VMs. */
static cmd_exit_t cmd_answer_wait(cmd_t *cmd,
				  const cmd_change_options_t *options,
				  uint64_t revision, json_t *json)
{
	int seconds = options->wait_s > 0 ? options->wait_s :
					    CMD_WAIT_DEFAULT_S;
	cmd_lagging_t lagging;
	bool everywhere = cmd_wait(cmd, revision, seconds, &lagging);

	if (cmd->json) {
		json_object_set_new(json, "everywhere",
				    json_boolean(everywhere));
		json_object_set(json, "lacking", lagging.list);
	} else if (everywhere) {
		printf("revision %" PRIu64 " is in force everywhere\n",
		       revision);
	} else {
		fflush(stdout);
		fprintf(stderr,
			"hemlockctl: revision %" PRIu64
			" is not in force everywhere after %d s; lacking: %s; "
			"see these VMs\n",
			revision, seconds, lagging.names->str);
	}
	cmd_lagging_free(&lagging);
	return everywhere ? CMD_OK : CMD_NOT_EVERYWHERE;
}

/* Print the answer, wait with --wait, and return the exit code. */
static cmd_exit_t cmd_answer_finish(cmd_t *cmd,
				    const cmd_change_options_t *options,
				    const config_answer_t *answer)
{
	json_t *json = cmd_answer_json(answer);
	cmd_exit_t code = cmd_verdict_exit(answer->verdict);

	if (!cmd->json)
		cmd_answer_print(answer);
	if (code == CMD_OK && options->wait)
		code = cmd_answer_wait(cmd, options, answer->revision, json);
	if (cmd->json)
		cmd_print_json(json);
	else
		json_decref(json);
	return code;
}

bool cmd_change_find_outcome(cmd_t *cmd, const cmd_change_options_t *options,
			     cmd_exit_t *code)
{
	config_change_t change = { .id = options->id };
	config_answer_t answer = { 0 };
	cmd_submit_t submit = { .change = &change,
				.answer = &answer,
				.lookup_only = true };
	hl_error_t err;

	if (!options->id)
		return false;
	if (cmd_keeper_run(cmd, cmd_submit_request, &submit, &err)) {
		*code = cmd_fail(cmd, &err);
		return true;
	}
	if (!submit.answered)
		return false;
	*code = cmd_answer_finish(cmd, options, &answer);
	xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&answer);
	return true;
}

cmd_exit_t cmd_change(cmd_t *cmd, const cmd_change_options_t *options,
		      config_change_t *change)
{
	char *random = g_uuid_string_random();
	const char *author = options->author;
	config_answer_t answer;
	hl_error_t err;
	cmd_exit_t code;

	if (!author)
		author = g_get_user_name();
	if (config_plan_set_header(change, options->id ? options->id : random,
				   author, g_get_real_time() / USEC_PER_MS))
		hl_error_set(&err, HL_ERR_NOMEM,
			     "out of memory; free some and try again");
	else if (!cmd_submit(cmd, change, &answer, &err)) {
		code = cmd_answer_finish(cmd, options, &answer);
		xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&answer);
		goto out;
	}
	code = cmd_fail(cmd, &err);
out:
	g_free(random);
	return code;
}
