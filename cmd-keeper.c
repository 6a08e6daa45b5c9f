#include <string.h>
#include <unistd.h>
#include "cmd.h"
#include "config-dial.h"

/* Requests to the keepers, repeated until an answer or until --timeout ends. */

/* Pause before a request to a keeper is repeated. */
#define CMD_RETRY_INTERVAL_US (20 * USEC_PER_MS)
/* Timeout of one RPC, short enough that a frozen keeper does not use up the
   time limit of the command. */
#define CMD_RPC_TIMEOUT_US (2 * USEC_PER_SEC)

void cmd_keeper_close(cmd_t *cmd)
{
	if (cmd->client)
		clnt_destroy(cmd->client);
	cmd->client = NULL;
}

/* Connect to @leader unless it is empty, else to the current keeper. */
static int cmd_keeper_open(cmd_t *cmd, const char *leader, hl_error_t *err)
{
	const char *address = leader;

	if (!*leader)
		address = cmd->list.items[cmd->keeper_index % cmd->list.count];
	cmd->client = config_dial(address, HEMLOCK_KEEPER, HEMLOCK_KEEPER_V1,
				  CMD_RPC_TIMEOUT_US, err);
	return cmd->client ? 0 : -1;
}

/* Connect if necessary and send one request. */
static cmd_step_t cmd_keeper_step(cmd_t *cmd, cmd_request_t request,
				  void *context, char *leader, hl_error_t *err)
{
	if (!cmd->client && cmd_keeper_open(cmd, leader, err))
		return CMD_STEP_NEXT;
	*leader = 0;
	return request(cmd->client, context, leader);
}

int cmd_keeper_run(cmd_t *cmd, cmd_request_t request, void *context,
		   hl_error_t *err)
{
	usec_t deadline = time_now() + cmd->timeout_s * USEC_PER_SEC;
	char leader[HL_ADDRESS_MAX] = "";

	hl_error_set(err, HL_ERR_UNAVAILABLE, "no quorum");
	do {
		cmd_step_t step = cmd_keeper_step(cmd, request, context, leader,
						  err);

		if (step == CMD_STEP_DONE)
			return 0;
		if (step != CMD_STEP_RETRY)
			cmd_keeper_close(cmd);
		if (step == CMD_STEP_NEXT) {
			*leader = 0;
			cmd->keeper_index++;
		}
		if (step != CMD_STEP_LEADER || !*leader)
			usleep(CMD_RETRY_INTERVAL_US);
	} while (time_now() < deadline);
	return hl_error_set(
		err, HL_ERR_UNAVAILABLE,
		"no keeper gave an answer within %d s (%s); see "
		"hemlockctl status and try again",
		cmd->timeout_s,
		cmd->list.items[cmd->keeper_index % cmd->list.count]);
}

/* A fetch request and the buffer for its response. */
typedef struct {
	keeper_fetch_args_t args;
	keeper_fetch_res_t *res;
} cmd_fetch_t;

static cmd_step_t cmd_fetch_request(CLIENT *client, void *context, char *leader)
{
	cmd_fetch_t *fetch = context;
	keeper_fetch_res_t *res = fetch->res;

	memset(res, 0, sizeof(*res));
	if (keeper_fetch_1(fetch->args, res, client) != RPC_SUCCESS) {
		xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, (char *)res);
		return CMD_STEP_NEXT;
	}
	if (res->status == KEEPER_OK && res->confirmed)
		return CMD_STEP_DONE;
	if (res->leader)
		g_strlcpy(leader, res->leader, HL_ADDRESS_MAX);
	xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, (char *)res);
	return *leader ? CMD_STEP_LEADER : CMD_STEP_NEXT;
}

int cmd_fetch(cmd_t *cmd, uint64_t have, keeper_fetch_res_t *res,
	      hl_error_t *err)
{
	cmd_fetch_t fetch = { .args = { have, TRUE }, .res = res };

	return cmd_keeper_run(cmd, cmd_fetch_request, &fetch, err);
}

int cmd_fetch_config(cmd_t *cmd, config_t *config, hl_error_t *err)
{
	keeper_fetch_res_t res = { 0 };
	uint64_t newest;
	int rc;

	memset(config, 0, sizeof(*config));
	do {
		if (cmd_fetch(cmd, config->revision, &res, err))
			goto fail;
		newest = res.revision;
		rc = config_merge(config, &res.body);
		xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, (char *)&res);
		if (rc) {
			hl_error_set(err, HL_ERR_PROTOCOL,
				     "a keeper omitted a change; see its log");
			goto fail;
		}
	} while (config->revision < newest);
	return 0;
fail:
	xdr_free((xdrproc_t)xdr_config_t, (char *)config);
	memset(config, 0, sizeof(*config));
	return -1;
}

int cmd_keeper_state(const char *address, keeper_state_res_t *res,
		     hl_error_t *err)
{
	CLIENT *client = config_dial(address, HEMLOCK_KEEPER, HEMLOCK_KEEPER_V1,
				     CMD_RPC_TIMEOUT_US, err);
	enum clnt_stat stat;

	memset(res, 0, sizeof(*res));
	if (!client)
		return -1;
	stat = keeper_state_1(res, client);
	clnt_destroy(client);
	if (stat == RPC_SUCCESS)
		return 0;
	xdr_free((xdrproc_t)xdr_keeper_state_res_t, (char *)res);
	return hl_error_set(err, HL_ERR_UNAVAILABLE,
			    "%s: %s; check that it runs and is reachable",
			    address, clnt_sperrno(stat));
}
