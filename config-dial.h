#ifndef CONFIG_DIAL_H
#define CONFIG_DIAL_H

#include <rpc/rpc.h>
#include "hemlock.h"

/* Opens ONC RPC connections to keepers and to parents of the fan-out tree. */

/**
 * config_dial - connect an ONC RPC client over TCP, without a port mapper.
 * @address: "ip:port"
 * @program: RPC program number
 * @version: RPC version number
 * @timeout: timeout of the connect and of each later call, in microseconds
 * @err: HL_ERR_USAGE, HL_ERR_UNAVAILABLE or HL_ERR_TIMEOUT
 *
 * The calling thread must have SIGPIPE blocked or ignored.
 *
 * Return: a client to free with clnt_destroy(), or NULL.
 */
CLIENT *config_dial(const char *address, rpcprog_t program, rpcvers_t version,
		    usec_t timeout, hl_error_t *err);

#endif
