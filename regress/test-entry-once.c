#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-once.h"

/*
 * Guards against requests that libcurl sends again by itself: a server counts the
 * requests that arrive and ends a connection at a point of the second one.
 */

#define REQUEST_BYTES_MAX 4096

/* What the server does on a connection after its first response. */
typedef enum {
	SERVER_ANSWERS,
	SERVER_CLOSES_IDLE,	/* before the next request */
	SERVER_CLOSES_REQUEST,	/* after it has read the next request */
	SERVER_RESETS_REQUEST,	/* the same, with a reset */
	SERVER_CLOSES_RESPONSE, /* after a part of its response */
} server_end_t;

static const struct {
	const char *name;
	server_end_t end;
	bool served;	 /* whether the second transfer succeeds */
	int requests;	 /* that arrive in both transfers */
	int connections; /* that are opened */
} rows[] = {
	{ "answers", SERVER_ANSWERS, true, 2, 1 },
	{ "closes-idle", SERVER_CLOSES_IDLE, true, 2, 2 },
	{ "closes-request", SERVER_CLOSES_REQUEST, false, 2, 1 },
	{ "resets-request", SERVER_RESETS_REQUEST, false, 2, 1 },
	{ "closes-response", SERVER_CLOSES_RESPONSE, false, 2, 1 },
};

typedef struct {
	server_end_t end;
	int listener;
	uint16_t port;
	int requests;
	int connections;
	GThread *thread;
} server_t;

/* Reads a request without a body; false at the end of the connection. */
static bool server_read(int fd)
{
	char bytes[REQUEST_BYTES_MAX];
	size_t length = 0;
	ssize_t n;

	do {
		n = recv(fd, bytes + length, sizeof(bytes) - length, 0);
		if (n <= 0)
			return false;
		length += (size_t)n;
	} while (!memmem(bytes, length, "\r\n\r\n", 4));
	return true;
}

static void server_respond(int fd)
{
	static const char response[] = "HTTP/1.1 200 OK\r\n"
				       "Content-Length: 0\r\n\r\n";

	g_assert_cmpint(send(fd, response, strlen(response), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(response));
}

/* Handles the second request of a connection; false to end the connection. */
static bool server_end(const server_t *server, int fd)
{
	const struct linger now = { 1, 0 };

	if (server->end == SERVER_ANSWERS)
		return true;
	if (server->end == SERVER_RESETS_REQUEST)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	if (server->end == SERVER_CLOSES_RESPONSE)
		g_assert_cmpint(send(fd, "HTTP/1.1 2", 10, MSG_NOSIGNAL), ==,
				10);
	return false;
}

static void server_connection(server_t *server, int fd)
{
	unsigned count = 0;

	while (server_read(fd)) {
		g_atomic_int_inc(&server->requests);
		if (++count > 1 && !server_end(server, fd))
			return;
		server_respond(fd);
		if (server->end == SERVER_CLOSES_IDLE)
			return;
	}
}

static gpointer server_run(gpointer context)
{
	server_t *server = context;
	int fd;

	while ((fd = accept(server->listener, NULL, NULL)) >= 0) {
		g_atomic_int_inc(&server->connections);
		server_connection(server, fd);
		close(fd);
	}
	return NULL;
}

static void server_start(server_t *server)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(server->listener, (struct sockaddr *)&address,
			     size),
			==, 0);
	g_assert_cmpint(listen(server->listener, 8), ==, 0);
	getsockname(server->listener, (struct sockaddr *)&address, &size);
	server->port = ntohs(address.sin_port);
	server->thread = g_thread_new("server", server_run, server);
}

static void server_stop(server_t *server)
{
	shutdown(server->listener, SHUT_RDWR);
	g_thread_join(server->thread);
	close(server->listener);
}

static CURLcode transfer(CURL *easy, uint16_t port)
{
	char url[64];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/", port);
	curl_easy_reset(easy);
	entry_once_set(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	return curl_easy_perform(easy);
}

static void test_row(gconstpointer data)
{
	unsigned i = GPOINTER_TO_UINT(data);
	server_t server = { .end = rows[i].end };
	CURL *easy = curl_easy_init();
	CURLcode first, second;

	server_start(&server);
	first = transfer(easy, server.port);
	/* The end of an idle connection has arrived before the next request. */
	g_usleep(50000);
	second = transfer(easy, server.port);
	curl_easy_cleanup(easy);
	server_stop(&server);
	g_assert_cmpint(first, ==, CURLE_OK);
	g_assert_cmpint(second == CURLE_OK, ==, rows[i].served);
	g_assert_cmpint(server.requests, ==, rows[i].requests);
	g_assert_cmpint(server.connections, ==, rows[i].connections);
}

int main(int argc, char **argv)
{
	unsigned i;

	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *path = g_strdup_printf("/entry-once/%s", rows[i].name);

		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_row);
		g_free(path);
	}
	return g_test_run();
}
