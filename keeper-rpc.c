#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include "keeper-core.h"
#include "rpc-server.h"

/*
 * The RPC server of a keeper. It passes messages of peers to the core, and
 * answers the calls of entries and operators from the core's published state.
 */

/* Maximum size of a call, in bytes; an append with its entries is the largest.
 */
#define KEEPER_RPC_RECORD_MAX (1024 * 1024)

/* Global because libtirpc passes no context pointer to its handlers. */
static keeper_core_t *keeper_rpc_core;
static unsigned keeper_rpc_calls; /* calls that reached a handler */

extern void hemlock_keeper_1(struct svc_req *request, SVCXPRT *transport);

bool_t keeper_submit_1_svc(config_change_t change, keeper_submit_res_t *res,
			   struct svc_req *request)
{
	(void)request;
	keeper_rpc_calls++;
	return keeper_core_submit(keeper_rpc_core, &change, res, time_now());
}

bool_t keeper_outcome_1_svc(config_name_t id, keeper_submit_res_t *res,
			    struct svc_req *request)
{
	(void)request;
	keeper_rpc_calls++;
	return keeper_core_outcome(keeper_rpc_core, id, res, time_now());
}

bool_t keeper_fetch_1_svc(keeper_fetch_args_t args, keeper_fetch_res_t *res,
			  struct svc_req *request)
{
	(void)request;
	keeper_rpc_calls++;
	return keeper_core_fetch(keeper_rpc_core, &args, false, res, NULL,
				 time_now());
}

bool_t keeper_report_1_svc(keeper_report_args_t args, void *res,
			   struct svc_req *request)
{
	(void)res;
	(void)request;
	keeper_rpc_calls++;
	keeper_core_report(keeper_rpc_core, &args, time_now());
	return TRUE;
}

bool_t keeper_state_1_svc(keeper_state_res_t *res, struct svc_req *request)
{
	(void)request;
	keeper_rpc_calls++;
	return keeper_core_state(keeper_rpc_core, res, time_now());
}

bool_t keeper_voter_1_svc(keeper_voter_args_t args, keeper_submit_res_t *res,
			  struct svc_req *request)
{
	(void)request;
	keeper_rpc_calls++;
	return keeper_core_change_voter(keeper_rpc_core, &args, res);
}

/* The dispatcher frees the arguments, so the core gets a copy. */
bool_t keeper_message_1_svc(keeper_message_t message, void *res,
			    struct svc_req *request)
{
	keeper_item_t *item = calloc(1, sizeof(*item));

	(void)res;
	(void)request;
	keeper_rpc_calls++;
	if (!item)
		return TRUE;
	item->kind = KEEPER_ITEM_MESSAGE;
	if (!keeper_xdr_copy((xdrproc_t)xdr_keeper_message_t, &message,
			     &item->message)) {
		free(item);
		return TRUE;
	}
	if (!keeper_core_post(keeper_rpc_core, item))
		metrics_add(keeper_rpc_core->counters.dropped, 1);
	return TRUE;
}

int hemlock_keeper_1_freeresult(SVCXPRT *transport, xdrproc_t proc,
				caddr_t result)
{
	(void)transport;
	xdr_free(proc, result);
	return 1;
}

int keeper_rpc_open(keeper_core_t *core, hl_error_t *err)
{
	char address[HL_ADDRESS_MAX];
	const rpc_server_t server = {
		.address = address,
		.port_setting = "keeper.port",
		.record_max = KEEPER_RPC_RECORD_MAX,
		.program = HEMLOCK_KEEPER,
		.version = HEMLOCK_KEEPER_V1,
		.dispatch = hemlock_keeper_1,
	};

	keeper_rpc_core = core;
	keeper_settings_rpc_address(&core->settings, address);
	return rpc_server_open(&server, err) ? 0 : -1;
}

/* True if a connection has bytes to read; false for a listening socket and at
 * the end of the stream. */
static bool keeper_rpc_has_bytes(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
}

static bool keeper_rpc_is_open(int fd)
{
	int i;

	for (i = 0; i < svc_max_pollfd; i++)
		if (svc_pollfd[i].fd == fd)
			return true;
	return false;
}

/* Serve one connection. If libtirpc read bytes and closed it without calling a
 * handler, the bytes were malformed or of another protocol. */
static void keeper_rpc_serve(int fd)
{
	bool bytes = keeper_rpc_has_bytes(fd);
	unsigned calls = keeper_rpc_calls;

	svc_getreq_common(fd);
	if (bytes && calls == keeper_rpc_calls && !keeper_rpc_is_open(fd))
		metrics_add(keeper_rpc_core->counters.rejected, 1);
}

int keeper_rpc_run(void *context, const volatile int *stop)
{
	(void)context;
	return rpc_server_run(keeper_rpc_serve, stop);
}
