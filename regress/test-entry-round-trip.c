#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-io.h"

/*
 * The round trip time of a connection. Guards against credits for a round trip
 * that is long only because a process waited for a processor while it
 * connected: with such credits a copy got more calls than its slots plus one.
 */

/* Time between the connect and the measurement, as of a process that waits. */
#define WAIT_USEC (100 * USEC_PER_MS)
/* More than the round trip of a loopback connection, far less than the wait. */
#define ROUND_TRIP_MAX (20 * USEC_PER_MS)

static int listen_loopback(struct sockaddr_in *address)
{
	socklen_t length = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address->sin_family = AF_INET;
	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address->sin_port = 0;
	g_assert_cmpint(bind(fd, (struct sockaddr *)address, length), ==, 0);
	g_assert_cmpint(listen(fd, 1), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)address, &length),
			==, 0);
	return fd;
}

static void test_wait_does_not_count(void)
{
	struct sockaddr_in address = { 0 };
	int listener = listen_loopback(&address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	usec_t start = time_now();
	usec_t round_trip;

	g_assert_cmpint(connect(fd, (struct sockaddr *)&address,
				sizeof(address)),
			==, 0);
	g_usleep(WAIT_USEC);
	round_trip = entry_conn_round_trip(fd);
	g_assert_cmpint(time_now() - start, >=, WAIT_USEC);
	g_assert_cmpint(round_trip, >, 0);
	g_assert_cmpint(round_trip, <, ROUND_TRIP_MAX);
	close(fd);
	close(listener);
}

static void test_unknown(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(entry_conn_round_trip(fd), ==, 0);
	g_assert_cmpint(entry_conn_round_trip(-1), ==, 0);
	close(fd);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-round-trip/wait-does-not-count",
			test_wait_does_not_count);
	g_test_add_func("/entry-round-trip/unknown", test_unknown);
	return g_test_run();
}
