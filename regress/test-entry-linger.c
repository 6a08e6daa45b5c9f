#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-io.h"

/*
 * Lingering close. Guards against callers that get an error while they send a
 * body that is not needed, before they have read the response: a close with
 * unread bytes resets the connection.
 */

#define RESPONSE "HTTP/1.1 503 Service Unavailable\r\n\r\n"
#define BODY_BYTES (4 * 1024 * 1024)
/* Longer than a socket is kept. */
#define AFTER_LINGER (10 * USEC_PER_SEC)

/* The two ends of a connection. */
typedef struct {
	int caller, entry;
} pair_t;

static pair_t pair_new(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	pair_t pair;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(listener, (struct sockaddr *)&address, length), ==,
			0);
	g_assert_cmpint(listen(listener, 1), ==, 0);
	getsockname(listener, (struct sockaddr *)&address, &length);
	pair.caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(connect(pair.caller, (struct sockaddr *)&address,
				length),
			==, 0);
	pair.entry = accept(listener, NULL, NULL);
	g_assert_cmpint(pair.entry, >=, 0);
	close(listener);
	return pair;
}

/* Sends the body while the entry's timer runs; returns the bytes sent. */
static size_t send_body(entry_linger_t *linger, int caller, usec_t now)
{
	static char block[16 * 1024];
	size_t sent = 0;
	int idle = 0;

	while (sent < BODY_BYTES && idle < 100) {
		ssize_t n = send(caller, block, sizeof(block),
				 MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n > 0) {
			sent += (size_t)n;
			idle = 0;
		} else if (errno == EAGAIN) {
			idle++;
			entry_linger_sweep(linger, now);
			g_usleep(1000);
		} else {
			break;
		}
	}
	return sent;
}

static void test_caller_sends_all(void)
{
	entry_linger_t *linger = entry_linger_new();
	pair_t pair = pair_new();
	char response[sizeof(RESPONSE)] = "";
	usec_t now = time_now();

	g_assert_cmpint(send(pair.caller, "body", 4, 0), ==, 4);
	g_assert_cmpint(send(pair.entry, RESPONSE, strlen(RESPONSE), 0), >, 0);
	g_assert_cmpint(entry_linger_add(linger, pair.entry, now), >, now);
	close(pair.entry);
	g_assert_cmpuint(send_body(linger, pair.caller, now), >=, BODY_BYTES);
	g_assert_cmpint(recv(pair.caller, response, sizeof(response), 0), ==,
			strlen(RESPONSE));
	g_assert_cmpint(recv(pair.caller, response, sizeof(response), 0), ==,
			0);
	close(pair.caller);
	while (entry_linger_sweep(linger, now) != INT64_MAX)
		g_usleep(1000);
	entry_linger_free(linger);
}

/* A caller that never closes is disconnected after a time. */
static void test_bounded_in_time(void)
{
	entry_linger_t *linger = entry_linger_new();
	pair_t pair = pair_new();
	usec_t now = time_now();

	g_assert_true(entry_linger_is_idle(linger));
	g_assert_cmpint(entry_linger_add(linger, pair.entry, now), !=,
			INT64_MAX);
	close(pair.entry);
	g_assert_cmpint(entry_linger_sweep(linger, now), !=, INT64_MAX);
	g_assert_false(entry_linger_is_idle(linger));
	g_assert_cmpint(entry_linger_sweep(linger, now + AFTER_LINGER), ==,
			INT64_MAX);
	g_assert_true(entry_linger_is_idle(linger));
	close(pair.caller);
	entry_linger_free(linger);
}

/* The number of sockets is bounded; what is kept is closed at the end. */
static void test_bounded_in_number(void)
{
	entry_linger_t *linger = entry_linger_new();
	pair_t pair = pair_new();
	usec_t now = time_now();
	unsigned kept = 0;
	int i;

	for (i = 0; i < 400; i++)
		kept += entry_linger_add(linger, pair.entry, now) != INT64_MAX;
	g_assert_cmpuint(kept, >, 0);
	g_assert_cmpuint(kept, <, 400);
	close(pair.entry);
	close(pair.caller);
	entry_linger_free(linger);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-linger/caller-sends-all",
			test_caller_sends_all);
	g_test_add_func("/entry-linger/bounded-in-time", test_bounded_in_time);
	g_test_add_func("/entry-linger/bounded-in-number",
			test_bounded_in_number);
	return g_test_run();
}
