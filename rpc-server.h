#ifndef RPC_SERVER_H
#define RPC_SERVER_H

#include "hemlock.h"
#include <rpc/rpc.h>

/*
 * An ONC RPC server over TCP, used by keepers and by entries. libtirpc stores
 * its transports in global tables, so one thread per process serves them all.
 */

/** struct rpc_server_t - a program to serve. */
typedef struct {
	const char *address; /* "ip:port" to listen on */
	/* Settings key for error messages, such as "keeper.port". */
	const char *port_setting;
	int record_max; /* maximum size of a request in bytes */
	rpcprog_t program;
	rpcvers_t version;
	void (*dispatch)(struct svc_req *request, SVCXPRT *transport);
} rpc_server_t;

/**
 * rpc_server_open - listen and register a program.
 * @server: the program
 * @err: HL_ERR_SETTINGS, HL_ERR_IO or HL_ERR_LIMIT
 *
 * Return: the listening transport, or NULL.
 */
SVCXPRT *rpc_server_open(const rpc_server_t *server, hl_error_t *err);

/**
 * rpc_server_run - serve all connections until *@stop is set.
 * @serve: called with each descriptor that is readable
 * @stop: set by another thread before it calls rpc_server_wake()
 *
 * Return: always 0, as the run() of a supervised child.
 */
int rpc_server_run(void (*serve)(int fd), const volatile int *stop);

/** rpc_server_wake - make rpc_server_run() check its stop flag. */
void rpc_server_wake(void *context);

#endif
