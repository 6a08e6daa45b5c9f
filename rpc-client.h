#ifndef RPC_CLIENT_H
#define RPC_CLIENT_H

#include "hemlock.h"
#include <rpc/rpc.h>

/**
 * rpc_client_new - a client of ONC RPC over a connection.
 * @fd: connected; stays the caller's if this fails
 * @to: the far end, @length bytes
 * @program: its number, of @version
 * @timeout: of each call
 *
 * Return: the client, or NULL.
 */
CLIENT *rpc_client_new(int fd, struct sockaddr_storage *to, unsigned length,
		       rpcprog_t program, rpcvers_t version, usec_t timeout);

#endif
