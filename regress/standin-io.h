#ifndef STANDIN_IO_H
#define STANDIN_IO_H

#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>
#include "hemlock.h"

/* Sockets of the stand-ins that write their responses byte by byte. */

/* Number of connections that wait for accept(). */
#define STANDIN_BACKLOG 512

/* Listens on "ip:port"; returns the socket, or -1. */
static inline int standin_listen(const char *text)
{
	struct sockaddr_storage storage;
	unsigned length;
	int one = 1;
	int fd;

	if (hl_address_parse(text, &storage, &length))
		return -1;
	fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&storage, length) ||
	    listen(fd, STANDIN_BACKLOG)) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Sends all bytes; false if the connection has ended. */
static inline bool standin_send(int fd, const char *bytes, size_t length)
{
	while (length) {
		ssize_t n = send(fd, bytes, length, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		length -= (size_t)n;
	}
	return true;
}

/* Makes the close of a connection a TCP reset. */
static inline void standin_reset_at_close(int fd)
{
	const struct linger now = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

#endif
