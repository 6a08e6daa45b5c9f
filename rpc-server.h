#ifndef RPC_SERVER_H
#define RPC_SERVER_H

#include "hemlock.h"
#include <rpc/rpc.h>

/* What the two servers of ONC RPC share. libtirpc keeps its servers in global
 * tables: one thread of a process runs them. */

/** struct rpc_server_t - what to serve, and where. */
typedef struct {
	const char *address;
	const char *port_setting; /* for messages, such as "keeper.port" */
	int record_max;		  /* bytes of the largest call */
	rpcprog_t program;
	rpcvers_t version;
	void (*dispatch)(struct svc_req *request, SVCXPRT *transport);
} rpc_server_t;

/**
 * rpc_server_open - listen and register the program.
 * @server: what to serve
 * @err: HL_ERR_SETTINGS, HL_ERR_IO or HL_ERR_LIMIT
 *
 * Return: the listener, or NULL.
 */
SVCXPRT *rpc_server_open(const rpc_server_t *server, hl_error_t *err);

/**
 * rpc_server_run - serve all connections until told to stop.
 * @serve: called with a descriptor that has something to read
 * @stop: set before rpc_server_wake()
 */
int rpc_server_run(void (*serve)(int fd), const volatile int *stop);

/** rpc_server_wake - for a supervisor: let it look at its stop flag. */
void rpc_server_wake(void *context);

#endif
