#include <stdlib.h>
#include <string.h>
#include "config-follow-internal.h"
#include "rpc-server.h"

/* The serving thread of a follower: answers the polls of the children. */

/* Maximum record size; a request with its report is far smaller. */
#define CONFIG_SERVE_RECORD_BYTES_MAX 65536

/* A global, as the server side of libtirpc has no context for its handlers. */
static config_follow_t *config_serve_follow;

extern void hemlock_follow_1(struct svc_req *request, SVCXPRT *transport);

/* Fills in the deltas after @have, or the full configuration. The caller holds
 * the lock of @follow. */
static bool config_serve_body(const config_follow_t *follow, uint64_t have,
			      keeper_fetch_body_t *body)
{
	config_delta_t *deltas = calloc(KEEPER_DELTAS_MAX, sizeof(*deltas));
	int count;

	if (!deltas)
		return false;
	count = config_tail_copy(&follow->tail, follow->revision, have, deltas,
				 KEEPER_DELTAS_MAX);
	if (count >= 0) {
		body->whole = FALSE;
		body->keeper_fetch_body_t_u.deltas.deltas_val = deltas;
		body->keeper_fetch_body_t_u.deltas.deltas_len = count;
		return true;
	}
	free(deltas);
	body->whole = TRUE;
	return !config_copy((xdrproc_t)xdr_config_t, follow->config,
			    &body->keeper_fetch_body_t_u.config,
			    sizeof(config_t));
}

bool_t follow_fetch_1_svc(follow_fetch_args_t args, follow_fetch_res_t *res,
			  struct svc_req *request)
{
	config_follow_t *follow = config_serve_follow;
	usec_t now = time_now();
	bool ok = true;

	(void)request;
	memset(res, 0, sizeof(*res));
	pthread_mutex_lock(&follow->lock);
	config_report_record(&follow->report, &args, now);
	if (follow->ready) {
		res->age_ms = (u_int)((now - follow->confirmed_at) /
				      USEC_PER_MS);
		ok = config_serve_body(follow, args.have, &res->body);
	} else {
		res->status = FOLLOW_NOT_READY;
	}
	pthread_mutex_unlock(&follow->lock);
	return ok;
}

int hemlock_follow_1_freeresult(SVCXPRT *transport, xdrproc_t proc,
				caddr_t result)
{
	(void)transport;
	xdr_free(proc, result);
	return 1;
}

int config_serve_open(config_follow_t *follow, hl_error_t *err)
{
	const rpc_server_t server = {
		.address = follow->rpc_address,
		.port_setting = "node.rpc_port",
		.record_max = CONFIG_SERVE_RECORD_BYTES_MAX,
		.program = HEMLOCK_FOLLOW,
		.version = HEMLOCK_FOLLOW_V1,
		.dispatch = hemlock_follow_1,
	};

	if (config_serve_follow)
		return hl_error_set(err, HL_ERR_LIMIT,
				    "this process already has a configuration "
				    "follower; free it first");
	follow->listener = rpc_server_open(&server, err);
	if (!follow->listener)
		return -1;
	config_serve_follow = follow;
	return 0;
}

void config_serve_close(config_follow_t *follow)
{
	if (config_serve_follow != follow)
		return;
	svc_unreg(HEMLOCK_FOLLOW, HEMLOCK_FOLLOW_V1);
	svc_destroy(follow->listener);
	config_serve_follow = NULL;
}

int config_serve_run(void *context, const volatile int *stop)
{
	(void)context;
	return rpc_server_run(svc_getreq_common, stop);
}
