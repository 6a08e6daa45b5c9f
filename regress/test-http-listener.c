#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <sched.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include "http-listener.h"

#define SERVER_THREADS 4u
/* Connections that may wait to be accepted. */
#define BACKLOG 1024
#define CLIENTS 4u
#define CONNECTIONS_MAX 64u
/* Time in which a request must get its response. */
#define RESPONSE_TIMEOUT_MS 5000
/* Time in which a request gets no response if the server is full. */
#define FULL_WAIT_MS 200
/* Time in which a stop must end. */
#define STOP_TIMEOUT_SECONDS 20u
/* Servers that are stopped while clients connect. */
#define STOPS 300u

struct server;

/* A thread that serves connections. */
typedef struct {
	struct server *server;
	unsigned served; /* accessed atomically */
} server_thread_t;

/* A port and what serves it. */
typedef struct server {
	struct sockaddr_storage address;
	http_listener_t *listener;
	server_thread_t threads[SERVER_THREADS];
	uint64_t begun; /* connections; accessed atomically */
} server_t;

static enum MHD_Result handle(void *context, struct MHD_Connection *connection,
			      const char *url, const char *method,
			      const char *protocol, const char *bytes,
			      size_t *size, void **state)
{
	server_thread_t *thread = context;
	struct MHD_Response *response;
	enum MHD_Result result;

	(void)url;
	(void)method;
	(void)protocol;
	(void)bytes;
	(void)size;
	/* A response to the first call for a request closes the connection. */
	if (!*state) {
		*state = thread;
		return MHD_YES;
	}
	response = MHD_create_response_from_buffer(2, (void *)"ok",
						   MHD_RESPMEM_PERSISTENT);
	result = MHD_queue_response(connection, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	__atomic_fetch_add(&thread->served, 1, __ATOMIC_SEQ_CST);
	return result;
}

static void on_connection(void *context, struct MHD_Connection *connection,
			  void **state,
			  enum MHD_ConnectionNotificationCode code)
{
	server_thread_t *thread = context;

	(void)connection;
	(void)state;
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		__atomic_fetch_add(&thread->server->begun, 1, __ATOMIC_SEQ_CST);
	else
		http_listener_on_closed(thread->server->listener);
}

/* Returns the address that the kernel chooses for a port 0 of loopback. */
static void choose_address(struct sockaddr_storage *address)
{
	struct sockaddr_in *in = (struct sockaddr_in *)address;
	socklen_t size = sizeof(*in);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	memset(address, 0, sizeof(*address));
	in->sin_family = AF_INET;
	in->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)in, sizeof(*in)), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)in, &size), ==, 0);
	close(fd);
}

static struct MHD_Daemon *start_daemon(server_thread_t *thread,
				       unsigned connections_max)
{
	return MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC |
					MHD_USE_NO_LISTEN_SOCKET,
				0, NULL, NULL, handle, thread,
				MHD_OPTION_NOTIFY_CONNECTION, on_connection,
				thread, MHD_OPTION_CONNECTION_LIMIT,
				connections_max + HTTP_LISTENER_RESERVE,
				MHD_OPTION_END);
}

static void server_open(server_t *server, unsigned connections_max)
{
	unsigned i;

	memset(server, 0, sizeof(*server));
	choose_address(&server->address);
	server->listener = http_listener_open(&server->address, BACKLOG,
					      connections_max);
	g_assert_nonnull(server->listener);
	for (i = 0; i < SERVER_THREADS; i++) {
		server->threads[i].server = server;
		g_assert_true(
			http_listener_add(server->listener,
					  start_daemon(&server->threads[i],
						       connections_max)));
	}
	g_assert_cmpint(http_listener_start(server->listener), ==, 0);
}

/* Stops like the programs: the servers end once they have begun all connections. Returns
   the number of these. */
static uint64_t server_close(server_t *server)
{
	uint64_t handed_over = http_listener_stop(server->listener);

	while (__atomic_load_n(&server->begun, __ATOMIC_SEQ_CST) < handed_over)
		sched_yield();
	http_listener_free(server->listener);
	return handed_over;
}

/* Connects and sends a request; returns the socket, or -1 if it was refused. */
static int send_request(const server_t *server)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(fd, >=, 0);
	if (!connect(fd, (const struct sockaddr *)&server->address,
		     sizeof(struct sockaddr_in)) &&
	    send(fd, request, strlen(request), MSG_NOSIGNAL) > 0)
		return fd;
	close(fd);
	return -1;
}

/* Whether a response comes within @timeout_ms. */
static bool has_response(int fd, int timeout_ms)
{
	struct pollfd polled = { .fd = fd, .events = POLLIN };
	char bytes[512];

	return poll(&polled, 1, timeout_ms) == 1 &&
	       recv(fd, bytes, sizeof(bytes), 0) > 0;
}

static void test_serves(void)
{
	server_t server;
	unsigned i;

	server_open(&server, CONNECTIONS_MAX);
	for (i = 0; i < 2 * CONNECTIONS_MAX; i++) {
		int fd = send_request(&server);

		g_assert_true(has_response(fd, RESPONSE_TIMEOUT_MS));
		close(fd);
	}
	g_assert_cmpuint(http_listener_stop(server.listener), ==,
			 2 * CONNECTIONS_MAX);
	g_assert_cmpint(send_request(&server), ==, -1);
	server_close(&server);
}

/* Connections that the kernel has accepted before the stop are served. */
static void test_stop_hands_over(void)
{
	server_t server;
	int fds[CONNECTIONS_MAX];
	unsigned i;

	server_open(&server, CONNECTIONS_MAX);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		fds[i] = send_request(&server);
	g_assert_cmpuint(http_listener_stop(server.listener), ==,
			 CONNECTIONS_MAX);
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		g_assert_true(has_response(fds[i], RESPONSE_TIMEOUT_MS));
		close(fds[i]);
	}
	server_close(&server);
}

/* A connection beyond the maximum waits until another one is closed. */
static void test_full(void)
{
	server_t server;
	int first, second;

	server_open(&server, 1);
	first = send_request(&server);
	g_assert_true(has_response(first, RESPONSE_TIMEOUT_MS));
	second = send_request(&server);
	g_assert_false(has_response(second, FULL_WAIT_MS));
	close(first);
	g_assert_true(has_response(second, RESPONSE_TIMEOUT_MS));
	close(second);
	server_close(&server);
}

/* Guards against a server that does not end any more when it is stopped, because it was
   handed more connections than it has room for. */
static void test_stop_full(void)
{
	int fds[8 * CONNECTIONS_MAX];
	uint64_t handed_over;
	server_t server;
	unsigned i;

	server_open(&server, 1);
	for (i = 0; i < G_N_ELEMENTS(fds); i++)
		fds[i] = send_request(&server);
	alarm(STOP_TIMEOUT_SECONDS);
	handed_over = server_close(&server);
	alarm(0);
	g_assert_cmpuint(handed_over, <=, 1 + HTTP_LISTENER_RESERVE);
	for (i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
}

/* Guards against calls that are all served by one of the threads. */
static void test_in_turn(void)
{
	int fds[2 * CONNECTIONS_MAX];
	server_t server;
	unsigned i;

	server_open(&server, CONNECTIONS_MAX);
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		fds[2 * i] = send_request(&server);
		g_assert_true(has_response(fds[2 * i], RESPONSE_TIMEOUT_MS));
		/* The descriptors of all connections are even, or all odd. */
		fds[2 * i + 1] = dup(fds[2 * i]);
	}
	for (i = 0; i < SERVER_THREADS; i++)
		g_assert_cmpuint(server.threads[i].served, ==,
				 CONNECTIONS_MAX / SERVER_THREADS);
	for (i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	server_close(&server);
}

static unsigned count_served(server_t *server)
{
	unsigned served = 0;
	unsigned i;

	for (i = 0; i < SERVER_THREADS; i++)
		served += __atomic_load_n(&server->threads[i].served,
					  __ATOMIC_SEQ_CST);
	return served;
}

/* Opens connections one after the other until the port is closed. */
static void *client_run(void *context)
{
	const server_t *server = context;
	int fd;

	while ((fd = send_request(server)) >= 0) {
		has_response(fd, RESPONSE_TIMEOUT_MS);
		close(fd);
	}
	return NULL;
}

/* Guards against a server that aborts the process when it is stopped while its threads
   take connections. */
static void test_stop_busy(void)
{
	pthread_t clients[CLIENTS];
	server_t server;
	unsigned n, i;

	for (n = 0; n < STOPS; n++) {
		server_open(&server, CONNECTIONS_MAX);
		for (i = 0; i < CLIENTS; i++)
			g_assert_cmpint(pthread_create(&clients[i], NULL,
						       client_run, &server),
					==, 0);
		while (count_served(&server) < 20)
			sched_yield();
		server_close(&server);
		for (i = 0; i < CLIENTS; i++)
			pthread_join(clients[i], NULL);
	}
}

static void test_address_in_use(void)
{
	http_listener_t *listener;
	server_t server;

	server_open(&server, CONNECTIONS_MAX);
	listener = http_listener_open(&server.address, BACKLOG,
				      CONNECTIONS_MAX);
	g_assert_null(listener);
	g_assert_cmpint(errno, ==, EADDRINUSE);
	server_close(&server);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-listener/serves", test_serves);
	g_test_add_func("/http-listener/stop-hands-over", test_stop_hands_over);
	g_test_add_func("/http-listener/full", test_full);
	g_test_add_func("/http-listener/in-turn", test_in_turn);
	g_test_add_func("/http-listener/stop-busy", test_stop_busy);
	g_test_add_func("/http-listener/stop-full", test_stop_full);
	g_test_add_func("/http-listener/address-in-use", test_address_in_use);
	return g_test_run();
}
