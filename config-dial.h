#ifndef CONFIG_DIAL_H
#define CONFIG_DIAL_H

#include <rpc/rpc.h>
#include "hemlock.h"

/**
 * config_dial - connect an ONC RPC client over TCP, without a port mapper.
 * @address: "ip:port"
 * @program: the RPC program
 * @version: its version
 * @timeout: of connecting, and of each call later, in microseconds
 * @err: HL_ERR_UNAVAILABLE or HL_ERR_TIMEOUT
 *
 * Return: a client to be ended with clnt_destroy(), or NULL. Threads that
 * call it have SIGPIPE blocked or ignored.
 */
CLIENT *config_dial(const char *address, rpcprog_t program, rpcvers_t version,
		    usec_t timeout, hl_error_t *err);

#endif
