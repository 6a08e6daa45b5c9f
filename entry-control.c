#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include "entry-claim.h"
#include "entry-control.h"
#include "entry-http.h"

/*
 * HTTP server of the control port: look-ups, announcements, status, health,
 * stored responses and metrics.
 */

#define CONTROL_BODY_BYTES_MAX 4096
#define CONTROL_IDLE_TIMEOUT_SECONDS 15u
#define CONTROL_CONNECTIONS_MAX 1024u

/* The body of a request while it is received. */
typedef struct {
	char body[CONTROL_BODY_BYTES_MAX + 1];
	size_t size;
	bool oversize;
} control_upload_t;

static const struct {
	const char *method;
	const char *path;
	void (*handle)(const entry_control_request_t *in, entry_reply_t *reply);
	bool needs_owner; /* 404 with entry.routed, which has no owners */
} control_routes[] = {
	{ "GET", "/v1/directory", entry_directory_handle, false },
	{ "GET", "/v1/lookup", entry_lookup_handle, true },
	{ "POST", "/v1/announce", entry_announce_handle, true },
	{ "GET", "/v1/status", entry_status_handle, false },
	{ "GET", "/v1/health", entry_status_health, false },
	{ "GET", "/v1/answer", entry_claims_response_handle, true },
	{ "GET", "/metrics", entry_status_metrics, false },
};

#define CONTROL_ROUTES (sizeof(control_routes) / sizeof(control_routes[0]))

void entry_reply_error(entry_reply_t *reply, unsigned status, const char *fmt,
		       ...)
{
	char text[HL_MESSAGE_MAX];
	char quoted[HL_MESSAGE_MAX + 16];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	log_quote(text, quoted, sizeof(quoted));
	reply->status = status;
	reply->type = "application/json";
	if (asprintf(&reply->body, "{\"error\": %s}\n", quoted) < 0)
		reply->body = NULL;
}

static void control_dispatch(const entry_control_request_t *in,
			     const char *method, const char *path,
			     entry_reply_t *reply)
{
	bool path_found = false;
	size_t i;

	for (i = 0; i < CONTROL_ROUTES; i++) {
		if (strcmp(control_routes[i].path, path) ||
		    (control_routes[i].needs_owner && !in->entry->owner))
			continue;
		path_found = true;
		if (strcmp(control_routes[i].method, method))
			continue;
		control_routes[i].handle(in, reply);
		return;
	}
	if (path_found)
		entry_reply_error(reply, 405,
				  "method not allowed for this path; see "
				  "docs/INTERFACES.md");
	else
		entry_reply_error(reply, 404,
				  "no such path; see docs/INTERFACES.md for "
				  "the paths");
}

static enum MHD_Result control_send(struct MHD_Connection *connection,
				    entry_reply_t *reply)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	entry_header_t *header = NULL;
	char text[16];

	if (reply->body && !reply->size)
		reply->size = strlen(reply->body);
	response = MHD_create_response_from_buffer(reply->size, reply->body,
						   MHD_RESPMEM_MUST_FREE);
	if (!response) {
		free(reply->body);
		return MHD_NO;
	}
	if (cds_list_empty(&reply->headers))
		MHD_add_response_header(response, "Content-Type", reply->type);
	cds_list_for_each_entry (header, &reply->headers, link)
		MHD_add_response_header(response, header->name, header->value);
	entry_headers_clear(&reply->headers);
	if (reply->outcome)
		MHD_add_response_header(response, "Hemlock-Outcome",
					reply->outcome);
	if (reply->retry_after_s) {
		snprintf(text, sizeof(text), "%u", reply->retry_after_s);
		MHD_add_response_header(response, "Retry-After", text);
	}
	result = MHD_queue_response(connection, reply->status, response);
	MHD_destroy_response(response);
	return result;
}

static void control_append_body(control_upload_t *upload, const char *bytes,
				size_t size)
{
	if (upload->size + size > CONTROL_BODY_BYTES_MAX) {
		upload->oversize = true;
		return;
	}
	memcpy(upload->body + upload->size, bytes, size);
	upload->size += size;
}

static enum MHD_Result control_handle(void *context,
				      struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *protocol, const char *bytes,
				      size_t *size, void **state)
{
	control_upload_t *upload = *state;
	entry_control_request_t in = { context, connection, NULL, 0,
				       time_now() };
	entry_reply_t reply = { .status = 200, .type = "application/json" };

	(void)protocol;
	if (!upload) {
		*state = calloc(1, sizeof(*upload));
		return *state ? MHD_YES : MHD_NO;
	}
	if (*size) {
		control_append_body(upload, bytes, *size);
		*size = 0;
		return MHD_YES;
	}
	CDS_INIT_LIST_HEAD(&reply.headers);
	in.body = upload->body;
	in.size = upload->size;
	if (upload->oversize)
		entry_reply_error(&reply, 413,
				  "body exceeds %d bytes; send a smaller one",
				  CONTROL_BODY_BYTES_MAX);
	else
		control_dispatch(&in, method, url, &reply);
	return control_send(connection, &reply);
}

static void control_completed(void *context, struct MHD_Connection *connection,
			      void **state,
			      enum MHD_RequestTerminationCode code)
{
	(void)context;
	(void)connection;
	(void)code;
	free(*state);
	*state = NULL;
}

/* Starts a server at an address; returns NULL with @err set. */
static struct MHD_Daemon *control_listen(entry_t *entry, const char *listen,
					 int64_t port, hl_error_t *err)
{
	unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC;
	struct sockaddr_storage storage;
	struct MHD_Daemon *daemon;

	if (entry_http_address(entry, listen, port, &storage, err))
		return NULL;
	if (storage.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, control_handle, entry,
		MHD_OPTION_SOCK_ADDR, &storage, MHD_OPTION_NOTIFY_COMPLETED,
		control_completed, NULL, MHD_OPTION_CONNECTION_LIMIT,
		CONTROL_CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
		CONTROL_IDLE_TIMEOUT_SECONDS, MHD_OPTION_STRICT_FOR_CLIENT, 1,
		MHD_OPTION_END);
	if (!daemon)
		hl_error_set(err, HL_ERR_IO,
			     "cannot listen on %s port %" PRId64
			     "; free the port or correct the settings of "
			     "[entry]",
			     *listen ? listen : entry->settings.address, port);
	return daemon;
}

int entry_control_start(entry_t *entry, hl_error_t *err)
{
	const entry_settings_t *settings = &entry->settings;

	entry->control_daemon = control_listen(entry, settings->control_listen,
					       settings->control_port, err);
	if (!entry->control_daemon)
		return -1;
	if (!*settings->directory_listen)
		return 0;
	entry->directory_daemon = control_listen(entry,
						 settings->directory_listen, 0,
						 err);
	return entry->directory_daemon ? 0 : -1;
}

void entry_control_stop(entry_t *entry)
{
	if (entry->directory_daemon)
		MHD_stop_daemon(entry->directory_daemon);
	entry->directory_daemon = NULL;
	if (entry->control_daemon)
		MHD_stop_daemon(entry->control_daemon);
	entry->control_daemon = NULL;
}
