/*
 * standin-copy: a stand-in for one copy that uses the header set "platform".
 * It echoes the call id, signs its responses, reports its load and rejects a
 * call that is addressed to another copy. A path that contains one of these
 * words selects a fault:
 *
 *	/shed		503, not run
 *	/error		500 after the work
 *	/other-id	the response carries the id of another call
 *	/silent		the response is delayed by 20 s after the work
 */
#include <glib.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "headers.h"

#define SILENT_SECONDS 20

static gchar *opt_address, *opt_id, *opt_log;
static gint opt_work_ms = 5, opt_slots = 2, opt_slowness = 100;
static const headers_t *headers;
static FILE *record_file;
static int running; /* calls that hold a slot; accessed atomically */

static const char *header(struct MHD_Connection *connection, const char *name)
{
	const char *value = MHD_lookup_connection_value(connection,
							MHD_HEADER_KIND, name);

	return value ? value : "-";
}

static enum MHD_Result respond(struct MHD_Connection *connection,
			       unsigned status, const char *call_id,
			       const char *body)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	char load[64];

	response = MHD_create_response_from_buffer(strlen(body), (void *)body,
						   MHD_RESPMEM_MUST_COPY);
	g_snprintf(load, sizeof(load), "%d,0,%d,%d",
		   __atomic_load_n(&running, __ATOMIC_RELAXED), opt_slots,
		   opt_slowness);
	MHD_add_response_header(response, headers->load, load);
	MHD_add_response_header(response, headers->responding_copy, opt_id);
	if (strcmp(call_id, "-"))
		MHD_add_response_header(response, headers->call_id, call_id);
	if (status == 503)
		MHD_add_response_header(response, headers->not_run, "1");
	else if (status != 421)
		MHD_add_response_header(response, headers->signature, opt_id);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static void record_call(struct MHD_Connection *connection, const char *method,
			const char *url, const char *result)
{
	fprintf(record_file,
		"copy=%s method=%s url=%s call=%s deadline=%s result=%s\n",
		opt_id, method, url, header(connection, headers->call_id),
		header(connection, headers->deadline_ms), result);
	fflush(record_file);
}

/* Runs a call. It may sleep because each connection has its own thread. */
static enum MHD_Result serve_call(struct MHD_Connection *connection,
				  const char *method, const char *url)
{
	const char *id = header(connection, headers->call_id);

	record_call(connection, method, url, "run");
	__atomic_fetch_add(&running, 1, __ATOMIC_RELAXED);
	g_usleep((gulong)opt_work_ms * 1000);
	__atomic_fetch_sub(&running, 1, __ATOMIC_RELAXED);
	if (strstr(url, "/other-id"))
		return respond(connection, 200, "0000", "somebody else's\n");
	if (strstr(url, "/error"))
		return respond(connection, 500, id, "error\n");
	if (strstr(url, "/silent"))
		g_usleep(SILENT_SECONDS * G_USEC_PER_SEC);
	return respond(connection, 200, id, opt_id);
}

static enum MHD_Result on_request(void *context G_GNUC_UNUSED,
				  struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *protocol G_GNUC_UNUSED,
				  const char *bytes G_GNUC_UNUSED, size_t *size,
				  void **state)
{
	const char *expected = header(connection, headers->expected_copy);

	if (!*state || *size) {
		*state = &running;
		*size = 0;
		return MHD_YES;
	}
	if (!strcmp(url, "/health"))
		return respond(connection, 200, "-", "");
	if (strcmp(expected, "-") && strcmp(expected, opt_id)) {
		record_call(connection, method, url, "misdirected");
		return respond(connection, 421, "-", "");
	}
	if (strstr(url, "/shed")) {
		record_call(connection, method, url, "shed");
		return respond(connection, 503,
			       header(connection, headers->call_id), "");
	}
	return serve_call(connection, method, url);
}

static const GOptionEntry options[] = {
	{ "address", 0, 0, G_OPTION_ARG_STRING, &opt_address,
	  "address to listen on", "IP:PORT" },
	{ "id", 0, 0, G_OPTION_ARG_STRING, &opt_id, "instance id of the copy",
	  "ID" },
	{ "work", 0, 0, G_OPTION_ARG_INT, &opt_work_ms,
	  "service time of a call", "MS" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt_slots,
	  "slots in the reported load", "N" },
	{ "slowness", 0, 0, G_OPTION_ARG_INT, &opt_slowness,
	  "slowness in the reported load", "N" },
	{ "log", 0, 0, G_OPTION_ARG_STRING, &opt_log,
	  "file to which calls are recorded", "FILE" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	struct sockaddr_storage storage;
	struct MHD_Daemon *daemon;
	unsigned length;
	sigset_t set;
	gboolean parsed;
	int signal_number;

	g_option_context_add_main_entries(context, options, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!parsed || !opt_address || !opt_id || !opt_log ||
	    hl_address_parse(opt_address, &storage, &length))
		return 2;
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	headers = headers_find("platform");
	record_file = fopen(opt_log, "a");
	if (!record_file)
		return 1;
	daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
					  MHD_USE_INTERNAL_POLLING_THREAD,
				  0, NULL, NULL, on_request, NULL,
				  MHD_OPTION_SOCK_ADDR, &storage,
				  MHD_OPTION_LISTENING_ADDRESS_REUSE, 1,
				  MHD_OPTION_END);
	if (!daemon)
		return 1;
	puts("ready");
	fflush(stdout);
	sigwait(&set, &signal_number);
	fflush(NULL);
	_exit(0);
}
