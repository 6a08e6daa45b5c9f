#include <arpa/inet.h>
#include <curl/curl.h>
#include <dlfcn.h>
#include <glib.h>
#include <linux/filter.h>
#include <microhttpd.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-prober.h"

/*
 * The prober with more queries at once than it keeps handles for, and what it
 * reports of copies that leave or rest. Guards against a handle that is used
 * after it has been freed, and against the state of a copy that is lost because
 * its worker no longer waits, or taken from another copy at the address.
 */

#define WORKERS 16
#define ROUNDS 4
#define COPY "c-1"
/* Size of the body of a response at the path /body. */
#define SERVER_BODY_BYTES 4096
#define BODY_ROUNDS 4
/* Max number of rounds until one is answered as a whole. */
#define STATE_ROUNDS 20
/* Time for which the server holds a response, so that queries overlap. */
#define SERVER_DELAY_USEC (60 * USEC_PER_MS)

/* Handles that have been freed. libcurl is not built with a sanitizer, so a use
 * of a freed handle is detected here: the two functions below replace those of
 * libcurl in this program. */
#define FREED_MAX 1024
static CURL *freed[FREED_MAX];
static unsigned freed_count;
static GMutex freed_lock;

static bool handle_is_freed(CURL *easy)
{
	bool found = false;
	unsigned i;

	g_mutex_lock(&freed_lock);
	for (i = 0; i < freed_count; i++)
		found = found || freed[i] == easy;
	g_mutex_unlock(&freed_lock);
	return found;
}

/* The handle is kept, so that its address is not used again. */
void curl_easy_cleanup(CURL *easy)
{
	curl_easy_reset(easy);
	g_mutex_lock(&freed_lock);
	if (freed_count < FREED_MAX)
		freed[freed_count++] = easy;
	g_mutex_unlock(&freed_lock);
}

#undef curl_easy_getinfo
CURLcode curl_easy_getinfo(CURL *easy, CURLINFO info, ...)
{
	static CURLcode (*real)(CURL *, CURLINFO, void *);
	void *out;
	va_list ap;

	if (!real)
		real = (CURLcode(*)(CURL *, CURLINFO,
				    void *))dlsym(RTLD_NEXT,
						  "curl_easy_getinfo");
	g_assert_false(handle_is_freed(easy));
	va_start(ap, info);
	out = va_arg(ap, void *);
	va_end(ap);
	return real(easy, info, out);
}

static const headers_t *headers;
static char server_address[HL_ADDRESS_MAX];
static gint reports_leaving, reports_resting;

static enum MHD_Result server_respond(
	void *context G_GNUC_UNUSED, struct MHD_Connection *connection,
	const char *url, const char *method G_GNUC_UNUSED,
	const char *version G_GNUC_UNUSED, const char *bytes G_GNUC_UNUSED,
	size_t *size G_GNUC_UNUSED, void **state G_GNUC_UNUSED)
{
	static char body[SERVER_BODY_BYTES];
	bool rests = strstr(url, "/rests") != NULL;
	size_t length = strstr(url, "/body") ? sizeof(body) : 0;
	struct MHD_Response *response;
	enum MHD_Result result;

	g_usleep(SERVER_DELAY_USEC);
	response = MHD_create_response_from_buffer(length, body,
						   MHD_RESPMEM_PERSISTENT);
	MHD_add_response_header(response, headers->load, "0,0,3,100");
	MHD_add_response_header(response, headers->responding_copy,
				strstr(url, "/other") ? "c-2" : COPY);
	if (strstr(url, "/leaves"))
		MHD_add_response_header(response, headers->leaving, "1");
	if (rests)
		MHD_add_response_header(response, "Retry-After", "1.5");
	result = MHD_queue_response(connection, rests ? 503 : 200, response);
	MHD_destroy_response(response);
	return result;
}

static struct MHD_Daemon *server_start(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	const union MHD_DaemonInfo *info;
	struct MHD_Daemon *daemon;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
					  MHD_USE_INTERNAL_POLLING_THREAD,
				  0, NULL, NULL, server_respond, NULL,
				  MHD_OPTION_SOCK_ADDR, &address,
				  MHD_OPTION_END);
	g_assert_nonnull(daemon);
	info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
	g_snprintf(server_address, sizeof(server_address), "127.0.0.1:%u",
		   info->port);
	return daemon;
}

static void on_state(const entry_probe_t *probe)
{
	g_assert_cmpstr(probe->copy, ==, COPY);
	g_atomic_int_add(&reports_leaving, probe->leaves);
	g_atomic_int_add(&reports_resting, probe->rests);
	if (probe->rests)
		g_assert_cmpint(probe->rest, ==, 1500 * USEC_PER_MS);
}

static bool satisfies(const load_t *load G_GNUC_UNUSED)
{
	return false;
}

/* Probes the copy ENTRY_PROBES_MAX times at once; returns how many responded in
 * time with its load. */
static unsigned query(entry_prober_t *prober, const char *path, usec_t max)
{
	const entry_probe_wait_t wait = { max, max };
	entry_probe_t probes[ENTRY_PROBES_MAX] = { 0 };
	unsigned answered = 0;
	unsigned i;

	for (i = 0; i < ENTRY_PROBES_MAX; i++) {
		g_strlcpy(probes[i].address, server_address,
			  sizeof(probes[i].address));
		g_strlcpy(probes[i].copy, COPY, sizeof(probes[i].copy));
	}
	entry_prober_query(prober, path, probes, ENTRY_PROBES_MAX, &wait,
			   satisfies);
	for (i = 0; i < ENTRY_PROBES_MAX; i++)
		answered += probes[i].state == ENTRY_PROBE_ANSWERED;
	return answered;
}

static gpointer worker(gpointer context)
{
	unsigned round;

	for (round = 0; round < ROUNDS; round++)
		query(context, "/leaves", 2 * USEC_PER_SEC);
	return NULL;
}

/* A prober and the thread that runs it. */
typedef struct {
	entry_prober_t *prober;
	metrics_t *metrics;
	volatile int stop;
	GThread *thread;
} fixture_t;

static gpointer run_prober(gpointer context)
{
	fixture_t *fixture = context;
	supervisor_child_t child = entry_prober_child(fixture->prober);

	child.run(child.context, &fixture->stop);
	return NULL;
}

static void fixture_start(fixture_t *fixture)
{
	hl_error_t err = { 0 };

	fixture->stop = 0;
	fixture->metrics = metrics_new();
	fixture->prober = entry_prober_new(headers, "", on_state, NULL,
					   fixture->metrics, &err);
	g_assert_nonnull(fixture->prober);
	fixture->thread = g_thread_new("prober", run_prober, fixture);
	g_atomic_int_set(&reports_leaving, 0);
	g_atomic_int_set(&reports_resting, 0);
}

static void fixture_end_thread(fixture_t *fixture)
{
	supervisor_child_t child = entry_prober_child(fixture->prober);

	__atomic_store_n(&fixture->stop, 1, __ATOMIC_RELEASE);
	child.wake(child.context);
	g_thread_join(fixture->thread);
}

static void fixture_free(fixture_t *fixture)
{
	entry_prober_free(fixture->prober);
	metrics_free(fixture->metrics);
}

static void fixture_stop(fixture_t *fixture)
{
	fixture_end_thread(fixture);
	fixture_free(fixture);
}

/* Returns the number of queries that have failed, as those do that time out on a
   busy machine. */
static unsigned failed_queries(const fixture_t *fixture)
{
	const uint64_t *failed = metrics_counter(fixture->metrics,
						 "hemlock_probes_failed_total",
						 "", "");

	return (unsigned)__atomic_load_n(failed, __ATOMIC_RELAXED);
}

/* All queries end, with the state of the copy unless they fail, also if there are
   many. */
static void test_many_queries(void)
{
	const unsigned total = WORKERS * ROUNDS * ENTRY_PROBES_MAX;
	GThread *threads[WORKERS];
	fixture_t fixture;
	unsigned reports;
	unsigned i;

	fixture_start(&fixture);
	for (i = 0; i < WORKERS; i++)
		threads[i] = g_thread_new("worker", worker, fixture.prober);
	for (i = 0; i < WORKERS; i++)
		g_thread_join(threads[i]);
	/* The thread has counted the last failed query once it has ended. */
	fixture_end_thread(&fixture);
	reports = (unsigned)g_atomic_int_get(&reports_leaving);
	g_assert_cmpuint(reports + failed_queries(&fixture), ==, total);
	g_assert_cmpuint(reports, >, total / 2);
	fixture_free(&fixture);
}

/* Probes the copy until all queries of a round are answered, as some time out on a
   busy machine. Adds the number of queries to @queries; returns how many were
   answered. */
static unsigned query_whole_round(fixture_t *fixture, const char *path,
				  unsigned *queries)
{
	unsigned total = 0;
	unsigned answered;
	unsigned round;

	for (round = 0; round < STATE_ROUNDS; round++) {
		answered = query(fixture->prober, path, USEC_PER_SEC);
		total += answered;
		*queries += ENTRY_PROBES_MAX;
		if (answered == ENTRY_PROBES_MAX)
			return total;
	}
	g_error("no round of queries was answered");
}

static void test_state(void)
{
	fixture_t fixture;
	unsigned queries = 0;
	unsigned plain;
	unsigned rests;

	fixture_start(&fixture);
	plain = query_whole_round(&fixture, "/plain", &queries);
	g_assert_cmpint(g_atomic_int_get(&reports_leaving), ==, 0);
	g_assert_cmpint(g_atomic_int_get(&reports_resting), ==, 0);
	rests = query_whole_round(&fixture, "/rests", &queries);
	g_assert_cmpuint((unsigned)g_atomic_int_get(&reports_resting), ==,
			 rests);
	fixture_end_thread(&fixture);
	g_assert_cmpuint(plain + rests + failed_queries(&fixture), ==, queries);
	fixture_free(&fixture);
}

/* Another copy at the address reports nothing of this one. */
static void test_state_of_other(void)
{
	fixture_t fixture;

	fixture_start(&fixture);
	g_assert_cmpuint(query(fixture.prober, "/leaves/other", USEC_PER_SEC),
			 ==, 0);
	g_assert_cmpint(g_atomic_int_get(&reports_leaving), ==, 0);
	fixture_stop(&fixture);
}

/* The limit of the size of a response must count each response by itself: else
 * all probes of a copy that sends a body fail after a while. */
static void test_bodies(void)
{
	const unsigned total = BODY_ROUNDS * ENTRY_PROBES_MAX;
	unsigned answered = 0;
	fixture_t fixture;
	unsigned round;

	fixture_start(&fixture);
	for (round = 0; round < BODY_ROUNDS; round++)
		answered += query(fixture.prober, "/body", USEC_PER_SEC);
	fixture_end_thread(&fixture);
	g_assert_cmpuint(answered + failed_queries(&fixture), >=, total);
	g_assert_cmpuint(answered, >, total / 2);
	fixture_free(&fixture);
}

/* The state is reported although the worker waits no longer. */
static void test_late_response(void)
{
	fixture_t fixture;
	unsigned reports;
	int polls = 0;

	fixture_start(&fixture);
	g_assert_cmpuint(query(fixture.prober, "/leaves", USEC_PER_MS), ==, 0);
	while (g_atomic_int_get(&reports_leaving) +
			       (int)failed_queries(&fixture) <
		       ENTRY_PROBES_MAX &&
	       polls++ < 300)
		g_usleep(10 * USEC_PER_MS);
	reports = (unsigned)g_atomic_int_get(&reports_leaving);
	g_assert_cmpuint(reports + failed_queries(&fixture), ==,
			 ENTRY_PROBES_MAX);
	g_assert_cmpuint(reports, >, 0);
	fixture_stop(&fixture);
}

/* How a stand-in treats new connections. */
typedef enum {
	LISTENER_REFUSES, /* its port is closed */
	LISTENER_RESETS,  /* it resets each connection */
	LISTENER_DROPS,	  /* it drops the segments of new connections */
} listener_t;

/* Opens a socket on a free port of @address; fills in the port. */
static int listener_open(listener_t kind, uint16_t *port)
{
	const struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
	const struct sock_fprog program = { 1,
					    (struct sock_filter *)&drop_all };
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, size), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &size), ==,
			0);
	*port = ntohs(address.sin_port);
	if (kind == LISTENER_DROPS)
		setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
			   sizeof(program));
	if (kind != LISTENER_REFUSES)
		g_assert_cmpint(listen(fd, 8), ==, 0);
	return fd;
}

static void *reset_connection(void *context)
{
	const struct linger now = { 1, 0 };
	int fd = accept(GPOINTER_TO_INT(context), NULL, NULL);

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fd);
	return NULL;
}

static int tests_ended;
static int tests_reached;

static void on_test_end(const entry_probe_t *probe, bool reached)
{
	(void)probe;
	g_atomic_int_add(&tests_reached, reached);
	g_atomic_int_inc(&tests_ended);
}

/* Only a path that is lost may count as such: neither a lost one nor a copy that
   has too many connections may be taken for the other. */
static void test_reached(void)
{
	static const struct {
		listener_t kind;
		bool reached;
	} rows[] = {
		{ LISTENER_REFUSES, false },
		{ LISTENER_RESETS, true },
		{ LISTENER_DROPS, false },
	};
	fixture_t fixture;
	unsigned i;

	fixture_start(&fixture);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		entry_probe_t probe = { .copy = COPY };
		GThread *thread = NULL;
		uint16_t port;
		int fd = listener_open(rows[i].kind, &port);
		int polls = 0;

		g_atomic_int_set(&tests_ended, 0);
		g_atomic_int_set(&tests_reached, 0);
		g_snprintf(probe.address, sizeof(probe.address), "127.0.0.1:%u",
			   port);
		if (rows[i].kind == LISTENER_RESETS)
			thread = g_thread_new("reset", reset_connection,
					      GINT_TO_POINTER(fd));
		g_assert_cmpint(entry_prober_test(fixture.prober, "/", &probe,
						  on_test_end),
				==, 0);
		while (!g_atomic_int_get(&tests_ended) && polls++ < 300)
			g_usleep(10 * USEC_PER_MS);
		g_assert_cmpint(g_atomic_int_get(&tests_ended), ==, 1);
		g_assert_cmpint(g_atomic_int_get(&tests_reached), ==,
				rows[i].reached);
		if (thread)
			g_thread_join(thread);
		close(fd);
	}
	fixture_stop(&fixture);
}

int main(int argc, char **argv)
{
	struct MHD_Daemon *server;
	int rc;

	g_test_init(&argc, &argv, NULL);
	signals_block();
	curl_global_init(CURL_GLOBAL_ALL);
	headers = headers_find("platform");
	server = server_start();
	g_test_add_func("/entry-prober/many-queries", test_many_queries);
	g_test_add_func("/entry-prober/state", test_state);
	g_test_add_func("/entry-prober/state-of-other", test_state_of_other);
	g_test_add_func("/entry-prober/bodies", test_bodies);
	g_test_add_func("/entry-prober/late-response", test_late_response);
	g_test_add_func("/entry-prober/reached", test_reached);
	rc = g_test_run();
	MHD_stop_daemon(server);
	return rc;
}
