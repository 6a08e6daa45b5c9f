#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include "entry-claim.h"
#include "entry-http.h"

#define HTTP_BACKLOG 1024u
#define HTTP_HEADER_BYTES (32u * 1024)
/* How often a stop looks whether calls are still in flight. */
#define HTTP_STOP_PERIOD (5 * USEC_PER_MS)

static void *http_first_line(void *context, const char *uri,
			     struct MHD_Connection *connection)
{
	entry_t *entry = context;
	entry_request_t *req = entry_request_new(entry, uri);

	if (!req)
		return NULL;
	req->call.arrived = time_now();
	entry_slow_head(entry->read_timeout, connection, req->call.arrived);
	__atomic_fetch_add(&entry->in_flight, 1, __ATOMIC_RELAXED);
	return req;
}

int entry_http_fd(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	return info ? info->connect_fd : -1;
}

/* Take the next bytes of the body; false when there is no room for them. */
static bool http_take_body(entry_request_t *req, const char *bytes, size_t size)
{
	bool taken = true;

	pthread_mutex_lock(&req->lock);
	if (req->cancelled || req->response.ended) {
		; /* nobody will read it: drop it, the answer follows */
	} else if (req->body_streamed &&
		   entry_buffer_length(&req->body) > ENTRY_HOLD_BYTES) {
		req->suspended = true;
		MHD_suspend_connection(req->connection);
		taken = false;
	} else if (entry_buffer_add(&req->body, bytes, size)) {
		req->cancelled = true;
	}
	pthread_cond_broadcast(&req->changed);
	pthread_mutex_unlock(&req->lock);
	return taken;
}

static void http_dispatch(entry_request_t *req)
{
	if (req->dispatched)
		return;
	req->dispatched = true;
	entry_watch_add(req->entry->watch, req, entry_http_fd(req->connection));
	if (req->parked) {
		entry_park_add(req->entry, req, time_now());
		return;
	}
	if (req->entry->claims && *req->key && !req->call.idempotent &&
	    !*req->hop) {
		entry_claims_start(req, time_now());
		return;
	}
	if (req->entry->owner)
		entry_forward_to_owner(req);
	entry_dispatch_arrive(req, time_now());
}

static enum MHD_Result http_body(entry_request_t *req, const char *bytes,
				 size_t *size)
{
	if (!http_take_body(req, bytes, *size))
		return MHD_YES;
	*size = 0;
	if (!req->dispatched &&
	    entry_buffer_length(&req->body) > ENTRY_HOLD_BYTES) {
		req->body_streamed = true;
		http_dispatch(req);
	}
	return MHD_YES;
}

/* Answer if there is something to answer, else wait for it. */
static enum MHD_Result http_answer_or_wait(entry_request_t *req)
{
	bool ready;

	pthread_mutex_lock(&req->lock);
	ready = req->response.published;
	if (!ready) {
		req->suspended = true;
		MHD_suspend_connection(req->connection);
	}
	pthread_mutex_unlock(&req->lock);
	if (!ready)
		return MHD_YES;
	req->stage = ENTRY_STAGE_ANSWERED;
	return entry_http_respond(req);
}

static enum MHD_Result http_body_end(entry_request_t *req)
{
	pthread_mutex_lock(&req->lock);
	req->body_whole = true;
	pthread_cond_broadcast(&req->changed);
	pthread_mutex_unlock(&req->lock);
	req->stage = ENTRY_STAGE_WAIT;
	entry_slow_whole(req->connection);
	http_dispatch(req);
	return http_answer_or_wait(req);
}

static enum MHD_Result http_handle(void *context,
				   struct MHD_Connection *connection,
				   const char *url, const char *method,
				   const char *protocol, const char *bytes,
				   size_t *size, void **state)
{
	entry_request_t *req = *state;

	(void)context;
	(void)url;
	(void)protocol;
	if (!req)
		return MHD_NO;
	switch (req->stage) {
	case ENTRY_STAGE_HEAD:
		req->connection = connection;
		req->stage = ENTRY_STAGE_BODY;
		if (entry_http_head(req, method) == 0) {
			entry_slow_body(req->entry->read_timeout, connection,
					req->call.deadline);
			return MHD_YES;
		}
		req->stage = ENTRY_STAGE_ANSWERED;
		return entry_http_respond(req);
	case ENTRY_STAGE_BODY:
		if (*size)
			return http_body(req, bytes, size);
		return http_body_end(req);
	case ENTRY_STAGE_WAIT:
		return http_answer_or_wait(req);
	default:
		return MHD_YES;
	}
}

static void http_completed(void *context, struct MHD_Connection *connection,
			   void **state, enum MHD_RequestTerminationCode code)
{
	entry_t *entry = context;
	entry_request_t *req = *state;

	if (!req)
		return;
	entry_watch_remove(entry->watch, req, entry_http_fd(connection));
	pthread_mutex_lock(&req->lock);
	req->connection = NULL;
	pthread_mutex_unlock(&req->lock);
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		entry_request_gone(req);
	else
		entry_measure_call(req, time_now());
	entry_trace_ended(req, code == MHD_REQUEST_TERMINATED_COMPLETED_OK,
			  time_now());
	*state = NULL;
	entry_slow_idle(connection, time_now());
	__atomic_fetch_sub(&entry->in_flight, 1, __ATOMIC_RELEASE);
	entry_request_unref(req);
}

int entry_http_address(const entry_t *entry, const char *listen, int64_t port,
		       struct sockaddr_storage *storage, hl_error_t *err)
{
	char text[HL_ADDRESS_MAX + 16];
	unsigned length;

	if (*listen)
		snprintf(text, sizeof(text), "%s", listen);
	else if (strchr(entry->settings.address, ':'))
		snprintf(text, sizeof(text), "[%s]:%" PRId64,
			 entry->settings.address, port);
	else
		snprintf(text, sizeof(text), "%s:%" PRId64,
			 entry->settings.address, port);
	if (hl_address_parse(text, storage, &length))
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s is no address; set node.address to an "
				    "IP number of this VM",
				    text);
	return 0;
}

int entry_http_start(entry_t *entry, hl_error_t *err)
{
	const entry_settings_t *settings = &entry->settings;
	struct sockaddr_storage storage;
	unsigned threads = (unsigned)settings->http_threads;
	unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC |
			 MHD_ALLOW_SUSPEND_RESUME;
	struct MHD_OptionItem pool[] = {
		{ MHD_OPTION_THREAD_POOL_SIZE, threads, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};

	if (threads < 2)
		pool[0].option = MHD_OPTION_END;
	if (entry_http_address(entry, settings->call_listen,
			       settings->call_port, &storage, err))
		return -1;
	if (storage.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	entry->calls = MHD_start_daemon(
		flags, 0, NULL, NULL, http_handle, entry, MHD_OPTION_SOCK_ADDR,
		&storage, MHD_OPTION_URI_LOG_CALLBACK, http_first_line, entry,
		MHD_OPTION_NOTIFY_COMPLETED, http_completed, entry,
		MHD_OPTION_NOTIFY_CONNECTION, entry_slow_connection, entry,
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned)settings->connections_max,
		MHD_OPTION_CONNECTION_TIMEOUT, ENTRY_IDLE_SECONDS,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HTTP_HEADER_BYTES,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, HTTP_BACKLOG,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_ARRAY, pool,
		MHD_OPTION_END);
	if (!entry->calls)
		return hl_error_set(err, HL_ERR_IO,
				    "cannot listen on %s port %" PRId64
				    "; free the port or set entry.call_port",
				    settings->address, settings->call_port);
	return 0;
}

void entry_http_stop(entry_t *entry)
{
	const struct timespec period = { 0, HTTP_STOP_PERIOD * 1000 };
	usec_t until = time_now() + entry->settings.stop_ms * USEC_PER_MS;
	MHD_socket fd;

	if (!entry->calls)
		return;
	fd = MHD_quiesce_daemon(entry->calls);
	if (fd >= 0)
		close(fd);
	while (__atomic_load_n(&entry->in_flight, __ATOMIC_ACQUIRE) &&
	       time_now() < until)
		nanosleep(&period, NULL);
	if (entry->in_flight)
		log_event(LOG_LEVEL_WARNING, "calls-cut", "in_flight=%u",
			  entry->in_flight);
	MHD_stop_daemon(entry->calls);
	entry->calls = NULL;
}
