#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include "keeper-core.h"

/* The HTTP server of keeper.metrics_port, with /metrics and /v1/health. */

#define KEEPER_HTTP_CONNECTIONS_MAX 32u
#define KEEPER_HTTP_IDLE_SECONDS 15u

/* A response. The body is malloc'ed, and freed by libmicrohttpd; it is NULL if
 * allocating it failed. */
typedef struct {
	unsigned status;
	char *body;
} keeper_http_reply_t;

static void keeper_http_metrics(keeper_core_t *core, keeper_http_reply_t *reply)
{
	size_t size = 0;
	FILE *out = open_memstream(&reply->body, &size);

	if (!out)
		return;
	metrics_write(core->metrics, out);
	fclose(out);
}

/* Respond to a health check: the keeper is ready if its data folder is open and
 * it is the leader or follows one. */
static void keeper_http_health(keeper_core_t *core, keeper_http_reply_t *reply)
{
	const keeper_status_view_t *view = &core->view;
	bool ready;

	pthread_mutex_lock(&core->lock);
	ready = view->serving && (view->leading || *view->leader);
	pthread_mutex_unlock(&core->lock);
	reply->status = ready ? 200 : 503;
	reply->body = strdup(ready ? "ready\n" : "starting\n");
}

static enum MHD_Result keeper_http_send(struct MHD_Connection *connection,
					const keeper_http_reply_t *reply)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	if (!reply->body)
		return MHD_NO;
	response = MHD_create_response_from_buffer(strlen(reply->body),
						   reply->body,
						   MHD_RESPMEM_MUST_FREE);
	if (!response) {
		free(reply->body);
		return MHD_NO;
	}
	MHD_add_response_header(response, "Content-Type",
				"text/plain; version=0.0.4");
	result = MHD_queue_response(connection, reply->status, response);
	MHD_destroy_response(response);
	return result;
}

/* Handler of libmicrohttpd: discards the request body and responds after its
 * end. */
static enum MHD_Result keeper_http_handle(void *context,
					  struct MHD_Connection *connection,
					  const char *url, const char *method,
					  const char *protocol,
					  const char *bytes, size_t *size,
					  void **state)
{
	keeper_http_reply_t reply = { .status = 200 };

	(void)protocol;
	(void)bytes;
	if (!*state || *size) {
		*state = context;
		*size = 0;
		return MHD_YES;
	}
	if (strcmp(url, "/metrics") && strcmp(url, "/v1/health")) {
		reply.status = 404;
		reply.body = strdup(
			"no such path; see /metrics and /v1/health\n");
	} else if (strcmp(method, "GET")) {
		reply.status = 405;
		reply.body = strdup("method not allowed; use GET\n");
	} else if (!strcmp(url, "/metrics")) {
		keeper_http_metrics(context, &reply);
	} else {
		keeper_http_health(context, &reply);
	}
	return keeper_http_send(connection, &reply);
}

int keeper_http_start(keeper_core_t *core, hl_error_t *err)
{
	unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC;
	keeper_settings_t *settings = &core->settings;
	struct sockaddr_storage storage;
	char address[HL_ADDRESS_MAX];
	unsigned length;

	if (!settings->metrics_port)
		return 0;
	keeper_settings_address(settings, settings->metrics_port, address);
	if (!hl_address_parse(address, &storage, &length)) {
		if (storage.ss_family == AF_INET6)
			flags |= MHD_USE_IPv6;
		core->http = MHD_start_daemon(flags, 0, NULL, NULL,
					      keeper_http_handle, core,
					      MHD_OPTION_SOCK_ADDR, &storage,
					      MHD_OPTION_CONNECTION_LIMIT,
					      KEEPER_HTTP_CONNECTIONS_MAX,
					      MHD_OPTION_CONNECTION_TIMEOUT,
					      KEEPER_HTTP_IDLE_SECONDS,
					      MHD_OPTION_END);
	}
	if (!core->http)
		return hl_error_set(err, HL_ERR_IO,
				    "cannot listen on %s; free the port or "
				    "change keeper.metrics_port",
				    address);
	return 0;
}

void keeper_http_stop(keeper_core_t *core)
{
	if (core->http)
		MHD_stop_daemon(core->http);
	core->http = NULL;
}
