#ifndef RPC_CLIENT_H
#define RPC_CLIENT_H

#include "hemlock.h"
#include <rpc/rpc.h>

/* Creation of ONC RPC clients over TCP. */

/**
 * rpc_client_new - create a client over a connection.
 * @fd: connected socket; on failure the caller must close it
 * @to: address of the server
 * @length: used length of @to in bytes
 * @program: program number
 * @version: version of the program
 * @timeout: timeout of each call in microseconds
 *
 * Return: the client, or NULL.
 */
CLIENT *rpc_client_new(int fd, struct sockaddr_storage *to, unsigned length,
		       rpcprog_t program, rpcvers_t version, usec_t timeout);

#endif
