#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-prober.h"

/*
 * Guards against a late second response of a copy being taken for the response to the
 * next probe over the connection, and each response from then on for that to the
 * probe after its own: the load would be as old as the probe before.
 */

#define COPY "c-1"
#define ROUNDS 4
#define LATE_USEC (20 * USEC_PER_MS)
#define PAUSE_USEC (60 * USEC_PER_MS)
#define WAIT_USEC USEC_PER_SEC

static const headers_t *headers;
static char server_address[HL_ADDRESS_MAX];
static gint requests, connections;

/* Reads one request; false at the end of the connection. */
static bool server_read(int fd)
{
	char bytes[4096];
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

/* The number of running calls in the load is that of the request. The first one is
   responded to twice. */
static gpointer server_connection(gpointer context)
{
	int fd = GPOINTER_TO_INT(context);

	while (server_read(fd)) {
		int number = g_atomic_int_add(&requests, 1) + 1;
		char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n%s: %d,0,9,100"
					     "\r\n%s: %s\r\n"
					     "Content-Length: 0\r\n\r\n",
					     headers->load, number,
					     headers->responding_copy, COPY);

		send(fd, text, strlen(text), MSG_NOSIGNAL);
		if (number == 1) {
			g_usleep(LATE_USEC);
			send(fd, text, strlen(text), MSG_NOSIGNAL);
		}
		g_free(text);
	}
	close(fd);
	return NULL;
}

static gpointer server_run(gpointer context)
{
	int listener = GPOINTER_TO_INT(context);
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		g_atomic_int_inc(&connections);
		g_thread_unref(g_thread_new("connection", server_connection,
					    GINT_TO_POINTER(fd)));
	}
	return NULL;
}

static int server_open(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, size), ==, 0);
	g_assert_cmpint(listen(fd, 8), ==, 0);
	getsockname(fd, (struct sockaddr *)&address, &size);
	g_snprintf(server_address, sizeof(server_address), "127.0.0.1:%u",
		   ntohs(address.sin_port));
	return fd;
}

static void on_state(const entry_probe_t *probe)
{
	(void)probe;
}

static bool satisfies(const load_t *load)
{
	(void)load;
	return false;
}

/* Probes the copy; returns the number of running calls that it reports. */
static unsigned probe_running(entry_prober_t *prober)
{
	const entry_probe_wait_t wait = { WAIT_USEC, WAIT_USEC };
	entry_probe_t probe = { .copy = COPY };

	g_strlcpy(probe.address, server_address, sizeof(probe.address));
	entry_prober_query(prober, "/health", &probe, 1, &wait, satisfies);
	g_assert_cmpint(probe.state, ==, ENTRY_PROBE_ANSWERED);
	return probe.load.running;
}

static volatile int stop;

static gpointer run_prober(gpointer context)
{
	supervisor_child_t child = entry_prober_child(context);

	child.run(child.context, &stop);
	return NULL;
}

static void test_late(void)
{
	metrics_t *metrics = metrics_new();
	hl_error_t err = { 0 };
	entry_prober_t *prober = entry_prober_new(headers, "", on_state, NULL,
						  metrics, &err);
	GThread *thread = g_thread_new("prober", run_prober, prober);
	supervisor_child_t child = entry_prober_child(prober);
	unsigned round;

	for (round = 1; round <= ROUNDS; round++) {
		g_assert_cmpuint(probe_running(prober), ==, round);
		g_usleep(PAUSE_USEC);
	}
	/* One more than without the late response, and no probe was sent twice. */
	g_assert_cmpint(g_atomic_int_get(&connections), ==, 2);
	g_assert_cmpint(g_atomic_int_get(&requests), ==, ROUNDS);
	__atomic_store_n(&stop, 1, __ATOMIC_RELEASE);
	child.wake(child.context);
	g_thread_join(thread);
	entry_prober_free(prober);
	metrics_free(metrics);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	headers = headers_find("platform");
	g_thread_unref(g_thread_new("server", server_run,
				    GINT_TO_POINTER(server_open())));
	g_test_add_func("/entry-prober-late/late", test_late);
	return g_test_run();
}
