#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "config-dial.h"
#include "rpc-client.h"

static int config_dial_fail(const char *address, int code, hl_error_t *err)
{
	return hl_error_set(err,
			    code == ETIMEDOUT ? HL_ERR_TIMEOUT :
						HL_ERR_UNAVAILABLE,
			    "%s: %s; check that it runs and is reachable",
			    address, strerror(code));
}

/* Waits for a nonblocking connect; returns 0 or an errno. */
static int config_dial_wait(int fd, usec_t timeout)
{
	struct pollfd ready = { .fd = fd, .events = POLLOUT };
	socklen_t size = sizeof(int);
	int code = 0;
	int n;

	do
		n = poll(&ready, 1, (int)(timeout / USEC_PER_MS));
	while (n < 0 && errno == EINTR);
	if (n < 0)
		return errno;
	if (n == 0)
		return ETIMEDOUT;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &size))
		return errno;
	return code;
}

static int config_dial_connect(int fd, const struct sockaddr_storage *to,
			       unsigned length, usec_t timeout)
{
	int code = 0;
	int one = 1;

	if (connect(fd, (const struct sockaddr *)to, length))
		code = errno == EINPROGRESS ? config_dial_wait(fd, timeout) :
					      errno;
	if (code)
		return code;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK))
		return errno;
	return 0;
}

CLIENT *config_dial(const char *address, rpcprog_t program, rpcvers_t version,
		    usec_t timeout, hl_error_t *err)
{
	struct sockaddr_storage to;
	CLIENT *client = NULL;
	unsigned length;
	int fd, code;

	if (hl_address_parse(address, &to, &length)) {
		hl_error_set(err, HL_ERR_USAGE,
			     "%s is not an address; write it as ip:port",
			     address);
		return NULL;
	}
	fd = socket(to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0) {
		config_dial_fail(address, errno, err);
		return NULL;
	}
	code = config_dial_connect(fd, &to, length, timeout);
	if (!code)
		client = rpc_client_new(fd, &to, length, program, version,
					timeout);
	if (!client) {
		close(fd);
		config_dial_fail(address, code ? code : ENOMEM, err);
		return NULL;
	}
	clnt_control(client, CLSET_FD_CLOSE, NULL);
	return client;
}
