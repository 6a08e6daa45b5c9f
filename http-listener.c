#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include "http-listener.h"

/*
 * One thread accepts connections and hands each over to a thread of the server.
 */

/* Interval at which a server with its maximum of connections is checked again. */
#define LISTENER_FULL_PERIOD_MS 5
/* Pause after a failed accept, for example without a free descriptor. */
#define LISTENER_FAILED_PERIOD_MS 100

struct http_listener {
	int port; /* -1 once it is closed */
	int wake; /* eventfd that ends the thread */
	struct MHD_Daemon *server;
	unsigned connections_max;
	uint64_t handed_over;
	uint64_t closed; /* of those handed over; accessed atomically */
	pthread_t thread;
	bool running;
};

static socklen_t listener_address_size(const struct sockaddr_storage *address)
{
	return address->ss_family == AF_INET6 ? sizeof(struct sockaddr_in6) :
						sizeof(struct sockaddr_in);
}

static int listener_bind(int port, const struct sockaddr_storage *address,
			 int backlog)
{
	const int on = 1;

	if (setsockopt(port, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)))
		return -1;
	if (address->ss_family == AF_INET6 &&
	    setsockopt(port, IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof(on)))
		return -1;
	if (bind(port, (const struct sockaddr *)address,
		 listener_address_size(address)))
		return -1;
	return listen(port, backlog);
}

http_listener_t *http_listener_open(const struct sockaddr_storage *address,
				    int backlog)
{
	http_listener_t *listener = calloc(1, sizeof(*listener));
	int failed;

	if (!listener)
		return NULL;
	listener->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	listener->port = socket(address->ss_family,
				SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (listener->wake >= 0 && listener->port >= 0 &&
	    !listener_bind(listener->port, address, backlog))
		return listener;
	failed = errno;
	http_listener_free(listener);
	errno = failed;
	return NULL;
}

/* Whether accept4() may be called again at once after it failed with @error. */
static bool listener_is_transient(int error)
{
	return error == EINTR || error == ECONNABORTED || error == EPROTO;
}

/* Accepts one connection and hands it over. Returns 0, or an error number. */
static int listener_accept(http_listener_t *listener)
{
	struct sockaddr_storage client;
	socklen_t size = sizeof(client);
	int fd = accept4(listener->port, (struct sockaddr *)&client, &size,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return errno;
	/* The server closes a connection that it cannot take. */
	if (MHD_add_connection(listener->server, fd, (struct sockaddr *)&client,
			       size) == MHD_YES)
		listener->handed_over++;
	return 0;
}

static bool listener_is_full(const http_listener_t *listener)
{
	uint64_t closed = __atomic_load_n(&listener->closed, __ATOMIC_RELAXED);

	return listener->handed_over - closed >= listener->connections_max;
}

/* Accepts connections until none waits or the server is full. Returns the time in
   milliseconds until the port is to be polled again, 0 for at once. */
static int listener_accept_some(http_listener_t *listener)
{
	int error = 0;

	while (!error || listener_is_transient(error)) {
		if (listener_is_full(listener))
			return LISTENER_FULL_PERIOD_MS;
		error = listener_accept(listener);
	}
	if (error == EAGAIN)
		return 0;
	log_event(LOG_LEVEL_WARNING, "accept-failed", "error=%d", error);
	return LISTENER_FAILED_PERIOD_MS;
}

static void *listener_run(void *context)
{
	http_listener_t *listener = context;
	struct pollfd polled[] = {
		{ .fd = listener->wake, .events = POLLIN },
		{ .fd = listener->port, .events = POLLIN },
	};
	int pause = 0;

	for (;;) {
		if (pause)
			poll(polled, 1, pause);
		else
			poll(polled, 2, -1);
		if (polled[0].revents)
			return NULL;
		pause = listener_accept_some(listener);
	}
}

int http_listener_start(http_listener_t *listener, struct MHD_Daemon *server,
			unsigned connections_max)
{
	int error;

	listener->server = server;
	listener->connections_max = connections_max;
	error = pthread_create(&listener->thread, NULL, listener_run, listener);
	listener->running = !error;
	errno = error;
	return error ? -1 : 0;
}

/* Hands over the connections that wait, also to a server that is full. */
static void listener_accept_rest(http_listener_t *listener)
{
	int error = 0;

	while (!error || listener_is_transient(error))
		error = listener_accept(listener);
}

void http_listener_on_closed(http_listener_t *listener)
{
	__atomic_fetch_add(&listener->closed, 1, __ATOMIC_RELAXED);
}

uint64_t http_listener_stop(http_listener_t *listener)
{
	if (listener->running) {
		eventfd_write(listener->wake, 1);
		pthread_join(listener->thread, NULL);
		listener->running = false;
		listener_accept_rest(listener);
	}
	if (listener->port >= 0)
		close(listener->port);
	listener->port = -1;
	return listener->handed_over;
}

void http_listener_free(http_listener_t *listener)
{
	if (!listener)
		return;
	http_listener_stop(listener);
	if (listener->wake >= 0)
		close(listener->wake);
	free(listener);
}
