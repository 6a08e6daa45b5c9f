#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include "http-listener.h"

/*
 * One thread accepts connections and hands them over to the servers in turn. The pool of
 * threads of one server is not used: it chooses a thread by the number of the descriptor,
 * which may be even for all callers if each call opens a connection to a copy.
 */

/* Interval at which a server with its maximum of connections is checked again. */
#define LISTENER_FULL_PERIOD_MS 5
/* Pause after a failed accept, for example without a free descriptor. */
#define LISTENER_FAILED_PERIOD_MS 100

struct http_listener {
	int port;	    /* -1 once it is closed */
	int wake;	    /* eventfd that ends the thread */
	GPtrArray *servers; /* struct MHD_Daemon */
	unsigned connections_max;
	uint64_t handed_over;
	uint64_t closed;   /* of those handed over; accessed atomically */
	unsigned failures; /* of accept4() since the last connection */
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
				    int backlog, unsigned connections_max)
{
	http_listener_t *listener = calloc(1, sizeof(*listener));
	int failed;

	if (!listener)
		return NULL;
	listener->connections_max = connections_max;
	listener->servers = g_ptr_array_new();
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

bool http_listener_add(http_listener_t *listener, struct MHD_Daemon *server)
{
	if (server)
		g_ptr_array_add(listener->servers, server);
	return server != NULL;
}

/* Whether accept4() may be called again at once after it failed with @error. */
static bool listener_is_transient(int error)
{
	return error == EINTR || error == ECONNABORTED || error == EPROTO;
}

static struct MHD_Daemon *listener_next_server(const http_listener_t *listener)
{
	return g_ptr_array_index(listener->servers,
				 listener->handed_over %
					 listener->servers->len);
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
	listener->failures = 0;
	/* The server closes a connection that it cannot take. */
	if (MHD_add_connection(listener_next_server(listener), fd,
			       (struct sockaddr *)&client, size) == MHD_YES)
		listener->handed_over++;
	return 0;
}

/* Whether @max or more connections are open. */
static bool listener_has(const http_listener_t *listener, unsigned max)
{
	uint64_t closed = __atomic_load_n(&listener->closed, __ATOMIC_RELAXED);

	return listener->handed_over - closed >= max;
}

/* Logs a failed accept if it is the first, second, fourth, eighth or so on. */
static void listener_log_failure(http_listener_t *listener, int error)
{
	unsigned failures = ++listener->failures;

	if (!(failures & (failures - 1)))
		log_event(LOG_LEVEL_WARNING, "accept-failed",
			  "error=%d failures=%u", error, failures);
}

/* Accepts connections until none waits or the servers are full. Returns the time in
   milliseconds until the port is to be polled again, 0 for at once. */
static int listener_accept_some(http_listener_t *listener)
{
	int error = 0;

	while (!error || listener_is_transient(error)) {
		if (listener_has(listener, listener->connections_max))
			return LISTENER_FULL_PERIOD_MS;
		error = listener_accept(listener);
	}
	if (error == EAGAIN)
		return 0;
	listener_log_failure(listener, error);
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

int http_listener_start(http_listener_t *listener)
{
	int error = pthread_create(&listener->thread, NULL, listener_run,
				   listener);

	listener->running = !error;
	errno = error;
	return error ? -1 : 0;
}

/* Hands over the connections that wait, as long as the servers have room. */
static void listener_accept_rest(http_listener_t *listener)
{
	unsigned max = listener->connections_max + HTTP_LISTENER_RESERVE / 2;
	int error = 0;

	while ((!error || listener_is_transient(error)) &&
	       !listener_has(listener, max))
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
	unsigned i;

	if (!listener)
		return;
	http_listener_stop(listener);
	for (i = 0; i < listener->servers->len; i++)
		MHD_stop_daemon(g_ptr_array_index(listener->servers, i));
	g_ptr_array_free(listener->servers, TRUE);
	if (listener->wake >= 0)
		close(listener->wake);
	free(listener);
}
