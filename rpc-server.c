#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include "rpc-server.h"
#include <rpc/rpc_com.h>

#define RPC_SERVER_BACKLOG 256

/* An eventfd, readable when the thread has to check its stop flag. */
static int rpc_server_wake_fd = -1;
static pthread_once_t rpc_server_once = PTHREAD_ONCE_INIT;

static void rpc_server_wake_fd_open(void)
{
	rpc_server_wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
}

static int rpc_server_listen(const rpc_server_t *server, hl_error_t *err)
{
	struct sockaddr_storage storage;
	unsigned length;
	int fd, one = 1;

	if (hl_address_parse(server->address, &storage, &length))
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s is not ip:port; correct node.address "
				    "and %s",
				    server->address, server->port_setting);
	fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&storage, length) &&
	    !listen(fd, RPC_SERVER_BACKLOG))
		return fd;

fail:
	hl_error_set(err, HL_ERR_IO,
		     "cannot listen on %s: %s; free the port or correct "
		     "node.address and %s",
		     server->address, strerror(errno), server->port_setting);
	if (fd >= 0)
		close(fd);
	return -1;
}

SVCXPRT *rpc_server_open(const rpc_server_t *server, hl_error_t *err)
{
	int record_max = server->record_max, fd;
	SVCXPRT *transport = NULL;

	pthread_once(&rpc_server_once, rpc_server_wake_fd_open);
	fd = rpc_server_listen(server, err);
	if (fd < 0)
		return NULL;
	/*
	 * If a maximum record size is set, libtirpc does not block on an
	 * incomplete record.
	 */
	rpc_control(RPC_SVC_CONNMAXREC_SET, &record_max);
	if (rpc_server_wake_fd >= 0)
		transport = svc_vc_create(fd, 0, 0);
	if (transport && svc_reg(transport, server->program, server->version,
				 server->dispatch, NULL))
		return transport;
	close(fd);
	hl_error_set(err, HL_ERR_LIMIT,
		     "cannot start the RPC server on %s; raise the limit on "
		     "open files",
		     server->address);
	return NULL;
}

/* Waits until a descriptor is readable or rpc_server_wake() is called. */
static int rpc_server_wait(struct pollfd *fds, int count)
{
	eventfd_t wakes;
	int ready;

	fds[count].fd = rpc_server_wake_fd;
	fds[count].events = POLLIN;
	ready = poll(fds, (nfds_t)count + 1, -1);
	if (ready > 0 && fds[count].revents)
		eventfd_read(rpc_server_wake_fd, &wakes);
	return ready;
}

int rpc_server_run(void (*serve)(int fd), const volatile int *stop)
{
	struct pollfd *fds = NULL, *grown;
	int i, count;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		count = svc_max_pollfd;
		grown = realloc(fds, ((size_t)count + 1) * sizeof(*fds));
		if (!grown)
			break;
		fds = grown;
		memcpy(fds, svc_pollfd, (size_t)count * sizeof(*fds));
		if (rpc_server_wait(fds, count) <= 0)
			continue;
		for (i = 0; i < count; i++)
			if (fds[i].fd >= 0 && fds[i].revents)
				serve(fds[i].fd);
	}
	free(fds);
	return 0;
}

void rpc_server_wake(void *context)
{
	eventfd_t one = 1;

	(void)context;
	eventfd_write(rpc_server_wake_fd, one);
}
