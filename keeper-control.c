#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "http-listener.h"
#include "keeper-control.h"

/*
 * The HTTP servers of keeper.control and keeper.directory: dispatch to the
 * handlers in keeper-handler.c, and the list of requests that wait for the log.
 */

#define CONTROL_BODY_BYTES_MAX (4u * 1024 * 1024)
#define CONTROL_CONNECTIONS_MAX 2048u
#define CONTROL_IDLE_SECONDS 30u
#define CONTROL_CONNECTION_BYTES (8u * 1024)
#define CONTROL_RETRY_AFTER_SECONDS "0.2"
/* Interval between checks for requests in progress during a stop. */
#define CONTROL_STOP_PERIOD (5 * USEC_PER_MS)
/* Maximum time of a stop in which the log may still decide waiting requests. */
#define CONTROL_DECIDE_TIME (300 * USEC_PER_MS)
/* Maximum time of a stop in which responses are sent. */
#define CONTROL_SEND_TIME (500 * USEC_PER_MS)

/* A port and its server. */
typedef struct {
	keeper_control_t *control;
	http_listener_t *listener; /* NULL if the port is not set */
} control_server_t;

struct keeper_control {
	keeper_core_t *core;
	keeper_registry_t *registry;
	control_server_t control_server;
	control_server_t directory_server;
	pthread_mutex_t lock;
	struct cds_list_head waiting; /* keeper_control_request_t */
	bool stopping;
	unsigned in_progress; /* requests without a sent response; atomic */
	unsigned unread;      /* connections without a request so far; atomic */
	uint64_t begun;	      /* connections of the servers so far; atomic */
	uint64_t handed_over; /* to the servers, once the ports are closed */
};

/* A connection of a client. */
typedef struct {
	bool has_request; /* the head of its first request has been read */
} control_connection_t;

/* Endpoints. A request path has an id after a path that ends with a slash. */
static const struct {
	const char *method;
	const char *path;
	void (*handle)(keeper_control_request_t *request, usec_t now);
} control_endpoints[] = {
	{ "GET", "/v1/follow", keeper_handler_follow },
	{ "GET", "/v1/routing", keeper_handler_get_routing },
	{ "PUT", "/v1/routing", keeper_handler_change_routing },
	{ "PATCH", "/v1/routing", keeper_handler_change_routing },
	{ "PUT", "/v1/targets/", keeper_handler_put_target },
	{ "DELETE", "/v1/targets/", keeper_handler_delete_target },
}, directory_endpoints[] = {
	{ "GET", "/v1/directory", keeper_handler_directory },
};

#define CONTROL_ENDPOINTS \
	(sizeof(control_endpoints) / sizeof(control_endpoints[0]))

keeper_core_t *keeper_control_core(const keeper_control_request_t *request)
{
	return request->control->core;
}

keeper_registry_t *keeper_control_registry(
	const keeper_control_request_t *request)
{
	return request->control->registry;
}

static bool control_path_matches(const char *pattern, const char *path)
{
	size_t length = strlen(pattern);

	if (pattern[length - 1] != '/')
		return !strcmp(pattern, path);
	return !strncmp(pattern, path, length) && path[length];
}

static void control_dispatch(keeper_control_request_t *request, usec_t now)
{
	bool path_found = false;
	size_t i;

	for (i = 0; i < CONTROL_ENDPOINTS; i++) {
		if (!control_path_matches(control_endpoints[i].path,
					  request->path))
			continue;
		path_found = true;
		if (strcmp(control_endpoints[i].method, request->method))
			continue;
		control_endpoints[i].handle(request, now);
		return;
	}
	if (path_found)
		keeper_handler_respond_error(
			request, MHD_HTTP_METHOD_NOT_ALLOWED,
			"method not allowed for this path; see "
			"docs/INTERFACES.md");
	else
		keeper_handler_respond_error(
			request, MHD_HTTP_NOT_FOUND,
			"no such path; see docs/INTERFACES.md for the "
			"paths");
}

static void directory_dispatch(keeper_control_request_t *request, usec_t now)
{
	if (!strcmp(directory_endpoints[0].path, request->path) &&
	    !strcmp(directory_endpoints[0].method, request->method))
		directory_endpoints[0].handle(request, now);
	else
		keeper_handler_respond_error(
			request, MHD_HTTP_NOT_FOUND,
			"no such path; see docs/INTERFACES.md for the "
			"paths");
}

/* Set the response of a waiting request if its change has been decided or its
 * deadline has passed. The caller holds the control's lock. */
static void control_check(keeper_control_request_t *request, usec_t now)
{
	keeper_core_t *core = request->control->core;
	keeper_verdict_t verdict;
	hl_error_t err = { 0 };

	if (request->is_announcement)
		verdict = keeper_core_check_announcement(core,
							 &request->target);
	else
		verdict = keeper_core_check_routing(core,
						    &request->routing_change,
						    now, &err);
	/* The change may still be accepted later, so the response is 503 and
	 * not a redirect or a refusal. */
	if (verdict == KEEPER_VERDICT_NOT_LEADER ||
	    (verdict == KEEPER_VERDICT_WAIT && now >= request->deadline))
		verdict = KEEPER_VERDICT_BUSY;
	if (verdict == KEEPER_VERDICT_BUSY)
		hl_error_set(&err, HL_ERR_TIMEOUT,
			     "not on the disks of a quorum yet; retry");
	keeper_handler_respond_verdict(request, verdict, &err);
}

void keeper_control_on_round_end(keeper_control_t *control)
{
	usec_t now = time_now();
	keeper_control_request_t *request, *next;

	pthread_mutex_lock(&control->lock);
	cds_list_for_each_entry_safe (request, next, &control->waiting, link) {
		control_check(request, now);
		if (!request->has_response)
			continue;
		cds_list_del(&request->link);
		request->suspended = false;
		MHD_resume_connection(request->connection);
	}
	pthread_mutex_unlock(&control->lock);
}

static bool control_is_stopping(keeper_control_t *control)
{
	bool stopping;

	pthread_mutex_lock(&control->lock);
	stopping = control->stopping;
	pthread_mutex_unlock(&control->lock);
	return stopping;
}

static bool control_add_number(struct MHD_Response *response, const char *name,
			       uint64_t number)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, number);
	return MHD_add_response_header(response, name, text) == MHD_YES;
}

/* Adds the headers by which an entry that starts decides which calls it may route
 * before a leader has confirmed the configuration. Returns false if a header can't be
 * added: the response must not be sent without. */
static bool control_add_unconfirmed(struct MHD_Response *response,
				    const keeper_unconfirmed_t *unconfirmed)
{
	return control_add_number(response, "Hemlock-Voters",
				  unconfirmed->voters) &&
	       control_add_number(response, "Hemlock-Group-Index",
				  unconfirmed->group_index) &&
	       control_add_number(response, "Hemlock-Log-Applied",
				  unconfirmed->applied) &&
	       control_add_number(response, "Hemlock-Log-Last",
				  unconfirmed->last) &&
	       (!*unconfirmed->routes ||
		MHD_add_response_header(response, "Hemlock-Pending-Routes",
					unconfirmed->routes)) &&
	       (!*unconfirmed->copies ||
		MHD_add_response_header(response, "Hemlock-Pending-Copies",
					unconfirmed->copies));
}

/* Adds the list of keepers. An entry takes one without a revision for an old one. */
static void control_add_keepers(struct MHD_Response *response,
				const keeper_control_request_t *request)
{
	control_add_number(response, "Hemlock-Keepers-Revision",
			   request->keepers_revision);
	MHD_add_response_header(response, "Hemlock-Keepers", request->keepers);
}

static enum MHD_Result control_send_response(keeper_control_request_t *request)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	if (!request->response)
		return MHD_NO;
	response = MHD_create_response_from_buffer(
		request->binary_size ? request->binary_size :
				       strlen(request->response),
		request->response, MHD_RESPMEM_MUST_FREE);
	if (!response)
		return MHD_NO;
	request->response = NULL;
	MHD_add_response_header(response, "Content-Type",
				request->binary_size ?
					"application/octet-stream" :
					"application/json");
	if (*request->location)
		MHD_add_response_header(response, "Location",
					request->location);
	if (*request->keepers)
		control_add_keepers(response, request);
	if (request->unconfirmed &&
	    !control_add_unconfirmed(response, request->unconfirmed)) {
		MHD_destroy_response(response);
		return MHD_NO;
	}
	if (request->retry_after)
		MHD_add_response_header(response, "Retry-After",
					CONTROL_RETRY_AFTER_SECONDS);
	if (control_is_stopping(request->control))
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(request->connection, request->status,
				    response);
	MHD_destroy_response(response);
	return result;
}

/* Suspend a request until a round of the core decides it. A round that ended
 * before the request was in the list is covered by a further check under the
 * lock. */
static enum MHD_Result control_suspend(keeper_control_request_t *request)
{
	keeper_control_t *control = request->control;
	bool has_response;

	pthread_mutex_lock(&control->lock);
	control_check(request, time_now());
	if (control->stopping && !request->has_response)
		keeper_handler_respond_error(
			request, MHD_HTTP_SERVICE_UNAVAILABLE,
			"this keeper is stopping; retry at another one");
	has_response = request->has_response;
	if (!has_response) {
		request->suspended = true;
		cds_list_add_tail(&request->link, &control->waiting);
		MHD_suspend_connection(request->connection);
	}
	pthread_mutex_unlock(&control->lock);
	return has_response ? control_send_response(request) : MHD_YES;
}

/* True if a suspended request has got its response. */
static bool control_has_response(keeper_control_request_t *request)
{
	bool has_response;

	pthread_mutex_lock(&request->control->lock);
	has_response = request->has_response;
	pthread_mutex_unlock(&request->control->lock);
	return has_response;
}

/* Append received bytes to the request body. */
static void control_append_body(keeper_control_request_t *request,
				const char *bytes, size_t size)
{
	size_t capacity = request->body_capacity ? request->body_capacity :
						   CONTROL_CONNECTION_BYTES;
	char *larger;

	if (request->body_size + size > CONTROL_BODY_BYTES_MAX) {
		request->too_large = true;
		return;
	}
	while (capacity < request->body_size + size)
		capacity *= 2;
	if (capacity != request->body_capacity) {
		larger = realloc(request->body, capacity);
		if (!larger) {
			request->too_large = true;
			return;
		}
		request->body = larger;
		request->body_capacity = capacity;
	}
	memcpy(request->body + request->body_size, bytes, size);
	request->body_size += size;
}

/* Count the connection as one that has sent a request. */
static void control_connection_read(keeper_control_t *control,
				    control_connection_t *connection)
{
	if (!connection || connection->has_request)
		return;
	connection->has_request = true;
	__atomic_fetch_sub(&control->unread, 1, __ATOMIC_SEQ_CST);
}

/* Called by libmicrohttpd when a connection begins and ends. */
static void on_connection(void *context, struct MHD_Connection *connection,
			  void **state,
			  enum MHD_ConnectionNotificationCode code)
{
	control_server_t *server = context;
	keeper_control_t *control = server->control;

	(void)connection;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*state = calloc(1, sizeof(control_connection_t));
		if (*state)
			__atomic_fetch_add(&control->unread, 1,
					   __ATOMIC_SEQ_CST);
		__atomic_fetch_add(&control->begun, 1, __ATOMIC_SEQ_CST);
		return;
	}
	control_connection_read(control, *state);
	free(*state);
	*state = NULL;
	http_listener_on_closed(server->listener);
}

static control_connection_t *control_connection(
	struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	return info ? info->socket_context : NULL;
}

static keeper_control_request_t *control_request_new(
	keeper_control_t *control, struct MHD_Connection *connection,
	const char *method, const char *url)
{
	keeper_control_request_t *request = calloc(1, sizeof(*request));

	if (!request)
		return NULL;
	__atomic_fetch_add(&control->in_progress, 1, __ATOMIC_SEQ_CST);
	control_connection_read(control, control_connection(connection));
	request->control = control;
	request->connection = connection;
	snprintf(request->method, sizeof(request->method), "%s", method);
	snprintf(request->path, sizeof(request->path), "%s", url);
	return request;
}

static enum MHD_Result control_handle(
	keeper_control_t *control, struct MHD_Connection *connection,
	const char *url, const char *method, const char *bytes, size_t *size,
	void **state,
	void (*route)(keeper_control_request_t *request, usec_t now))
{
	keeper_control_request_t *request = *state;

	if (!request) {
		*state = control_request_new(control, connection, method, url);
		return *state ? MHD_YES : MHD_NO;
	}
	if (*size) {
		control_append_body(request, bytes, *size);
		*size = 0;
		return MHD_YES;
	}
	if (control_has_response(request))
		return control_send_response(request);
	if (request->too_large)
		keeper_handler_respond_error(
			request, MHD_HTTP_CONTENT_TOO_LARGE,
			"the body exceeds %u bytes; send less",
			CONTROL_BODY_BYTES_MAX);
	else
		route(request, time_now());
	return request->has_response ? control_send_response(request) :
				       control_suspend(request);
}

static enum MHD_Result on_control_request(void *context,
					  struct MHD_Connection *connection,
					  const char *url, const char *method,
					  const char *protocol,
					  const char *bytes, size_t *size,
					  void **state)
{
	(void)protocol;
	return control_handle(context, connection, url, method, bytes, size,
			      state, control_dispatch);
}

static enum MHD_Result on_directory_request(void *context,
					    struct MHD_Connection *connection,
					    const char *url, const char *method,
					    const char *protocol,
					    const char *bytes, size_t *size,
					    void **state)
{
	(void)protocol;
	return control_handle(context, connection, url, method, bytes, size,
			      state, directory_dispatch);
}

static void on_request_completed(void *context,
				 struct MHD_Connection *connection,
				 void **state,
				 enum MHD_RequestTerminationCode code)
{
	keeper_control_request_t *request = *state;
	keeper_control_t *control = context;

	(void)connection;
	(void)code;
	if (!request)
		return;
	xdr_free((xdrproc_t)xdr_config_target_t, (char *)&request->target);
	free(request->body);
	free(request->response);
	free(request->unconfirmed);
	free(request);
	*state = NULL;
	__atomic_fetch_sub(&control->in_progress, 1, __ATOMIC_SEQ_CST);
}

static struct MHD_Daemon *control_start_daemon(control_server_t *server,
					       MHD_AccessHandlerCallback handle)
{
	keeper_control_t *control = server->control;

	return MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC |
			MHD_USE_NO_LISTEN_SOCKET | MHD_ALLOW_SUSPEND_RESUME,
		0, NULL, NULL, handle, control, MHD_OPTION_NOTIFY_COMPLETED,
		on_request_completed, control, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, server, MHD_OPTION_CONNECTION_LIMIT,
		CONTROL_CONNECTIONS_MAX + HTTP_LISTENER_RESERVE,
		MHD_OPTION_CONNECTION_TIMEOUT, CONTROL_IDLE_SECONDS,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONTROL_CONNECTION_BYTES, MHD_OPTION_STRICT_FOR_CLIENT,
		1, MHD_OPTION_END);
}

/* Listen on @address, unless it is empty. */
static int control_listen(keeper_control_t *control, control_server_t *server,
			  const char *address, MHD_AccessHandlerCallback handle,
			  hl_error_t *err)
{
	struct sockaddr_storage storage;
	unsigned length;

	server->control = control;
	if (!*address)
		return 0;
	if (!hl_address_parse(address, &storage, &length))
		server->listener = http_listener_open(&storage, SOMAXCONN,
						      CONTROL_CONNECTIONS_MAX);
	if (server->listener &&
	    http_listener_add(server->listener,
			      control_start_daemon(server, handle)) &&
	    !http_listener_start(server->listener))
		return 0;
	return hl_error_set(err, HL_ERR_IO,
			    "cannot listen on %s; free the port or correct "
			    "keeper.control and keeper.directory",
			    address);
}

keeper_control_t *keeper_control_new(keeper_core_t *core,
				     keeper_registry_t *registry,
				     hl_error_t *err)
{
	const keeper_settings_t *settings = &core->settings;
	keeper_control_t *control = calloc(1, sizeof(*control));

	if (!control) {
		hl_error_set(err, HL_ERR_NOMEM,
			     "out of memory; give the VM more memory");
		return NULL;
	}
	control->core = core;
	control->registry = registry;
	pthread_mutex_init(&control->lock, NULL);
	CDS_INIT_LIST_HEAD(&control->waiting);
	if (!control_listen(control, &control->control_server,
			    settings->control, on_control_request, err) &&
	    !control_listen(control, &control->directory_server,
			    settings->directory, on_directory_request, err))
		return control;
	keeper_control_free(control);
	return NULL;
}

/* Answer all waiting and all later requests with 503. */
static void control_fail_waiting(keeper_control_t *control)
{
	keeper_control_request_t *request, *next;

	pthread_mutex_lock(&control->lock);
	control->stopping = true;
	cds_list_for_each_entry_safe (request, next, &control->waiting, link) {
		keeper_handler_respond_error(
			request, MHD_HTTP_SERVICE_UNAVAILABLE,
			"this keeper is stopping; retry at another one");
		cds_list_del(&request->link);
		request->suspended = false;
		MHD_resume_connection(request->connection);
	}
	pthread_mutex_unlock(&control->lock);
}

static bool control_has_waiting(keeper_control_t *control)
{
	bool waiting;

	pthread_mutex_lock(&control->lock);
	waiting = !cds_list_empty(&control->waiting);
	pthread_mutex_unlock(&control->lock);
	return waiting;
}

static bool control_has_requests(keeper_control_t *control)
{
	return __atomic_load_n(&control->in_progress, __ATOMIC_SEQ_CST) > 0;
}

/* Wait while @condition holds, at most until @until. */
static void control_wait_while(keeper_control_t *control,
			       bool (*condition)(keeper_control_t *control),
			       usec_t until)
{
	const struct timespec period = { 0, CONTROL_STOP_PERIOD * 1000 };

	while (condition(control) && time_now() < until)
		nanosleep(&period, NULL);
}

void keeper_control_stop(keeper_control_t *control)
{
	if (!control)
		return;
	control_wait_while(control, control_has_waiting,
			   time_now() + CONTROL_DECIDE_TIME);
	control_fail_waiting(control);
	control_wait_while(control, control_has_requests,
			   time_now() + CONTROL_SEND_TIME);
}

static bool control_has_unread(keeper_control_t *control)
{
	return control_has_requests(control) ||
	       __atomic_load_n(&control->begun, __ATOMIC_SEQ_CST) <
		       control->handed_over ||
	       __atomic_load_n(&control->unread, __ATOMIC_SEQ_CST) > 0;
}

/* Close the port of a server, whose connections stay open. */
static void control_close_port(keeper_control_t *control,
			       const control_server_t *server)
{
	if (server->listener)
		control->handed_over += http_listener_stop(server->listener);
}

void keeper_control_free(keeper_control_t *control)
{
	if (!control)
		return;
	control_fail_waiting(control);
	control_close_port(control, &control->control_server);
	control_close_port(control, &control->directory_server);
	control_wait_while(control, control_has_unread,
			   time_now() + CONTROL_SEND_TIME);
	http_listener_free(control->control_server.listener);
	http_listener_free(control->directory_server.listener);
	pthread_mutex_destroy(&control->lock);
	free(control);
}
