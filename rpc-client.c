#include "rpc-client.h"
#include <pthread.h>

static pthread_once_t client_credential_once = PTHREAD_ONCE_INIT;

/*
 * Creates the empty credential that libtirpc shares among its clients. Its lazy
 * creation is not thread-safe: two threads could create two and leak one.
 */
static void client_create_credential(void)
{
	authnone_create();
}

CLIENT *rpc_client_new(int fd, struct sockaddr_storage *to, unsigned length,
		       rpcprog_t program, rpcvers_t version, usec_t timeout)
{
	struct netbuf peer = { .maxlen = length, .len = length, .buf = to };
	struct timeval wait = { .tv_sec = timeout / USEC_PER_SEC,
				.tv_usec = timeout % USEC_PER_SEC };
	CLIENT *client;

	pthread_once(&client_credential_once, client_create_credential);
	client = clnt_vc_create(fd, &peer, program, version, 0, 0);
	if (client)
		clnt_control(client, CLSET_TIMEOUT, (char *)&wait);
	return client;
}
