#include <fcntl.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-io.h"

/*
 * Lingering close of connections whose caller still sends a body that is not
 * needed. A close with unread bytes resets the connection, and the caller can
 * lose the response that was sent before. So the socket is kept, and its input
 * discarded, until the caller closes too.
 */

/* Longest time for which a socket is kept after the response. */
#define LINGER_TIME (2 * USEC_PER_SEC)
/* Interval at which the input is discarded. */
#define LINGER_INTERVAL (20 * USEC_PER_MS)
/* Max number of sockets kept; further ones are closed without lingering. */
#define LINGER_MAX 256u
#define LINGER_READ_BYTES (64 * 1024)
/* Max number of reads from one socket at each interval. */
#define LINGER_READS_MAX 8

typedef struct {
	int fd;
	usec_t until;
} linger_socket_t;

struct entry_linger {
	pthread_mutex_t lock;
	linger_socket_t sockets[LINGER_MAX];
	unsigned count;
};

entry_linger_t *entry_linger_new(void)
{
	entry_linger_t *linger = calloc(1, sizeof(*linger));

	if (linger)
		pthread_mutex_init(&linger->lock, NULL);
	return linger;
}

void entry_linger_free(entry_linger_t *linger)
{
	unsigned i;

	if (!linger)
		return;
	for (i = 0; i < linger->count; i++)
		close(linger->sockets[i].fd);
	pthread_mutex_destroy(&linger->lock);
	free(linger);
}

usec_t entry_linger_add(entry_linger_t *linger, int fd, usec_t now)
{
	linger_socket_t *added;
	int copy = -1;

	pthread_mutex_lock(&linger->lock);
	if (linger->count < LINGER_MAX)
		copy = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	if (copy >= 0) {
		added = &linger->sockets[linger->count++];
		added->fd = copy;
		added->until = now + LINGER_TIME;
		shutdown(copy, SHUT_WR);
	}
	pthread_mutex_unlock(&linger->lock);
	return copy >= 0 ? now + LINGER_INTERVAL : INT64_MAX;
}

bool entry_linger_is_idle(entry_linger_t *linger)
{
	bool idle;

	pthread_mutex_lock(&linger->lock);
	idle = !linger->count;
	pthread_mutex_unlock(&linger->lock);
	return idle;
}

/* Discards input of a socket; returns whether the caller has closed it. */
static bool linger_discard(int fd)
{
	char bytes[LINGER_READ_BYTES];
	struct pollfd input = { fd, POLLIN, 0 };
	int reads;

	for (reads = 0; reads < LINGER_READS_MAX; reads++) {
		if (poll(&input, 1, 0) <= 0)
			return false;
		if (recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT) <= 0)
			return true;
	}
	return false;
}

usec_t entry_linger_sweep(entry_linger_t *linger, usec_t now)
{
	usec_t due;
	unsigned i = 0;

	pthread_mutex_lock(&linger->lock);
	while (i < linger->count) {
		linger_socket_t *kept = &linger->sockets[i];

		if (now < kept->until && !linger_discard(kept->fd)) {
			i++;
			continue;
		}
		close(kept->fd);
		*kept = linger->sockets[--linger->count];
	}
	due = linger->count ? now + LINGER_INTERVAL : INT64_MAX;
	pthread_mutex_unlock(&linger->lock);
	return due;
}
