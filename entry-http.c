#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include "entry-claim.h"
#include "entry-http.h"
#include "http-listener.h"

/*
 * The HTTP front of an entry, on libmicrohttpd: receives requests, dispatches
 * them, and suspends the connection of a caller while there is nothing to read
 * or to send.
 */

#define HTTP_BACKLOG 1024u /* connections not yet accepted */
/* Interval between checks for calls in flight during a shutdown. */
#define HTTP_STOP_PERIOD (5 * USEC_PER_MS)
/* Wait suggested to a caller at the end of a stop; other entries may serve the call
   sooner. */
#define HTTP_STOP_RETRY_AFTER (100 * USEC_PER_MS)
/* Time for the responses of calls that are ended at a stop. */
#define HTTP_STOP_CANCEL_TIME (200 * USEC_PER_MS)

const char entry_http_no_cookie[] = "";

static void *http_first_line(void *context, const char *uri,
			     struct MHD_Connection *connection)
{
	entry_t *entry = context;
	entry_request_t *req = entry_request_new(entry, uri);

	if (!req)
		return NULL;
	req->call.arrived = time_now();
	MHD_set_connection_value(connection, MHD_HEADER_KIND, "Cookie",
				 entry_http_no_cookie);
	entry_read_timeout_head(entry->read_timeout, connection,
				req->call.arrived);
	entry_read_timeout_set_request(connection, req);
	__atomic_fetch_add(&entry->in_flight, 1, __ATOMIC_SEQ_CST);
	return req;
}

int entry_http_fd(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	return info ? info->connect_fd : -1;
}

/* Suspends the connection of the caller until entry_request_wake(). Returns
   MHD_NO if the connection is to be closed instead, as the entry stops. The
   caller of the function holds req->lock. */
static enum MHD_Result http_suspend(entry_request_t *req)
{
	if (__atomic_load_n(&req->entry->cut_calls, __ATOMIC_ACQUIRE))
		return MHD_NO;
	req->suspended = true;
	MHD_suspend_connection(req->connection);
	return MHD_YES;
}

/* Buffers the next bytes of the body. If the buffer is full it suspends the
   connection, with *@taken false; the result is for libmicrohttpd. */
static enum MHD_Result http_take_body(entry_request_t *req, const char *bytes,
				      size_t size, bool *taken)
{
	enum MHD_Result result = MHD_YES;

	*taken = true;
	pthread_mutex_lock(&req->lock);
	if (req->cancelled || req->response.ended) {
		; /* the body is not needed any more: discard it */
	} else if (req->body_streamed &&
		   entry_buffer_length(&req->body) > ENTRY_BODY_BUFFER_BYTES) {
		result = http_suspend(req);
		*taken = false;
	} else if (entry_buffer_add(&req->body, bytes, size)) {
		req->cancelled = true;
	}
	if (*taken)
		req->body_received += size;
	entry_request_wake_sender(req);
	pthread_mutex_unlock(&req->lock);
	return result;
}

/* Whether a stopping entry takes a call only if it ends before the stop: a part of
   its body has not been received, or a sibling sent it, which can send it to another
   entry at once. */
static bool http_must_end(const entry_request_t *req)
{
	return req->body_streamed || *req->forwarded_by;
}

/* Refuses a call if the entry stops and takes it no more; returns whether it does.
   The call is counted in flight before, so either it is refused here or
   entry_http_stop() waits for it. */
static bool http_refuse_stopping(entry_request_t *req)
{
	const entry_t *entry = req->entry;
	bool all = __atomic_load_n(&entry->refuse_calls, __ATOMIC_SEQ_CST);
	usec_t now;

	if (!all && !__atomic_load_n(&entry->stopping, __ATOMIC_ACQUIRE))
		return false;
	now = time_now();
	if (!all && entry_stop_admits(&entry->stop, req->call.deadline,
				      http_must_end(req), now))
		return false;
	entry_trace_stop_refused(req, now);
	entry_request_fail(req, HTTP_UNAVAILABLE, ENTRY_NOT_RUN, "stopping",
			   HTTP_STOP_RETRY_AFTER);
	return true;
}

static void http_dispatch(entry_request_t *req)
{
	if (req->dispatched)
		return;
	req->dispatched = true;
	if (http_refuse_stopping(req))
		return;
	entry_watch_add(req->entry->watch, req, entry_http_fd(req->connection));
	if (req->pending) {
		entry_pending_add(req->entry, req, time_now());
		return;
	}
	if (req->entry->claims && *req->key && !req->call.idempotent &&
	    !*req->forwarded_by) {
		entry_claims_start(req, time_now());
		return;
	}
	if (req->entry->owner)
		entry_forward_to_owner(req);
	entry_dispatch_arrive(req, time_now());
}

/* Whether the body is larger than the route of the call allows. */
static bool http_body_too_large(const entry_request_t *req)
{
	return req->body_max && req->body_received > req->body_max;
}

/*
 * Whether the call is decided on before its body is read: the body is too large
 * to be buffered, so that a refusal need not wait for it.
 */
static bool http_decides_first(const entry_request_t *req)
{
	if (!req->has_body)
		return false;
	if (req->body_length < 0)
		return req->upload;
	return req->body_length > ENTRY_BODY_BUFFER_BYTES;
}

static enum MHD_Result http_body(entry_request_t *req, const char *bytes,
				 size_t *size)
{
	enum MHD_Result result;
	bool taken;

	result = http_take_body(req, bytes, *size, &taken);
	if (!taken)
		return result;
	*size = 0;
	/* A chunked body shows its size only while it is read. libmicrohttpd
	   sends no response before its end, so the connection is closed. */
	if (http_body_too_large(req))
		return MHD_NO;
	if (!req->dispatched &&
	    entry_buffer_length(&req->body) > ENTRY_BODY_BUFFER_BYTES) {
		req->body_streamed = true;
		http_dispatch(req);
	}
	return MHD_YES;
}

/*
 * Sends the response if there is one, or suspends the connection. Before the
 * body is read, a response that has not ended waits: libmicrohttpd would not
 * read the body after it, which the copy still takes.
 */
static enum MHD_Result http_proceed(entry_request_t *req)
{
	bool before_body = req->stage == ENTRY_STAGE_DECISION;
	enum MHD_Result result = MHD_YES;
	bool respond;
	bool read_body;

	pthread_mutex_lock(&req->lock);
	respond = before_body ? req->response.ended : req->response.published;
	read_body = before_body && !respond && req->body_wanted;
	if (!respond && !read_body)
		result = http_suspend(req);
	pthread_mutex_unlock(&req->lock);
	if (read_body)
		req->stage = ENTRY_STAGE_BODY;
	if (!respond)
		return result;
	req->stage = ENTRY_STAGE_RESPONSE;
	return entry_respond_queue(req);
}

static enum MHD_Result http_body_end(entry_request_t *req)
{
	pthread_mutex_lock(&req->lock);
	req->body_complete = true;
	pthread_cond_broadcast(&req->changed);
	pthread_mutex_unlock(&req->lock);
	req->stage = ENTRY_STAGE_WAIT;
	entry_read_timeout_stop(req->connection);
	http_dispatch(req);
	return http_proceed(req);
}

static size_t http_head_bytes(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	return info ? info->header_size : ENTRY_HTTP_HEADER_BYTES;
}

/* Handles the head of a call; its body, if any, is not read yet. */
static enum MHD_Result http_head(entry_request_t *req, const char *method)
{
	req->stage = ENTRY_STAGE_BODY;
	req->head_bytes = http_head_bytes(req->connection);
	if (entry_head_read(req, method) || http_refuse_stopping(req)) {
		req->stage = ENTRY_STAGE_RESPONSE;
		return entry_respond_queue(req);
	}
	entry_read_timeout_body(req->entry->read_timeout, req->connection,
				req->call.deadline);
	if (!http_decides_first(req))
		return MHD_YES;
	req->stage = ENTRY_STAGE_DECISION;
	req->body_streamed = true;
	http_dispatch(req);
	return http_proceed(req);
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
		return http_head(req, method);
	case ENTRY_STAGE_BODY:
		if (*size)
			return http_body(req, bytes, size);
		return http_body_end(req);
	case ENTRY_STAGE_DECISION:
	case ENTRY_STAGE_WAIT:
		return http_proceed(req);
	default:
		return MHD_YES;
	}
}

/* Keeps the socket of a caller that may still send the rest of a body, or has sent a
   further request, so that the close does not take the response from it. */
static void http_linger(entry_request_t *req)
{
	entry_t *entry = req->entry;
	int fd = entry_http_fd(req->connection);

	if (fd < 0)
		return;
	if (!req->sent_directly && (!req->has_body || req->body_complete))
		return;
	entry_tick_schedule(entry,
			    entry_linger_add(entry->linger, fd, time_now()));
}

/* Counts the bytes of a request that has ended; those of a chunked body are not
   known, as its framing is not seen. */
static void http_take(const entry_request_t *req,
		      struct MHD_Connection *connection)
{
	bool known = req->head_bytes &&
		     (!req->has_body || req->body_length >= 0);
	uint64_t size = req->head_bytes + req->body_received;

	entry_read_timeout_take(connection, known ? (int64_t)size : -1);
}

static void http_completed(void *context, struct MHD_Connection *connection,
			   void **state, enum MHD_RequestTerminationCode code)
{
	entry_t *entry = context;
	entry_request_t *req = *state;
	bool complete;

	if (!req)
		return;
	complete = code == MHD_REQUEST_TERMINATED_COMPLETED_OK ||
		   req->sent_directly;
	entry_watch_remove(entry->watch, req, entry_http_fd(connection));
	if (complete)
		http_linger(req);
	pthread_mutex_lock(&req->lock);
	req->connection = NULL;
	pthread_mutex_unlock(&req->lock);
	if (!complete || req->head_refused)
		entry_request_cancel(req);
	else
		entry_measure_call(req, time_now());
	if (!req->question)
		entry_trace_ended(req, complete, time_now());
	*state = NULL;
	http_take(req, connection);
	entry_read_timeout_set_request(connection, NULL);
	entry_read_timeout_idle(connection, time_now());
	__atomic_fetch_sub(&entry->in_flight, 1, __ATOMIC_RELEASE);
	entry_request_unref(req);
}

/*
 * Ends a request that libmicrohttpd has dropped: without memory to parse cookies, of
 * which each request has an empty one, it calls neither the handler nor
 * http_completed(), and closes the connection.
 */
static void http_dropped(entry_t *entry, struct MHD_Connection *connection,
			 entry_request_t *req)
{
	void *state = req;

	if (req->stage == ENTRY_STAGE_HEAD) {
		req->connection = connection;
		entry_request_fail(req, HTTP_HEAD_TOO_LARGE, ENTRY_NOT_RUN,
				   "request", 0);
		entry_respond_last(req);
	}
	http_completed(entry, connection, &state,
		       MHD_REQUEST_TERMINATED_WITH_ERROR);
}

/* Callback for accepted and closed connections. */
static void http_connection(void *context, struct MHD_Connection *connection,
			    void **state,
			    enum MHD_ConnectionNotificationCode code)
{
	entry_t *entry = context;
	entry_request_t *req = NULL;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED)
		req = entry_read_timeout_request(connection);
	if (req)
		http_dropped(entry, connection, req);
	entry_read_timeout_connection(entry, connection, state, code);
	if (code == MHD_CONNECTION_NOTIFY_CLOSED)
		http_listener_on_closed(entry->call_listener);
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
				    "%s is not a valid address; set "
				    "node.address to an IP address of this VM",
				    text);
	return 0;
}

static struct MHD_Daemon *http_start_server(entry_t *entry)
{
	const entry_settings_t *settings = &entry->settings;

	return MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC |
			MHD_USE_NO_LISTEN_SOCKET | MHD_ALLOW_SUSPEND_RESUME,
		0, NULL, NULL, http_handle, entry, MHD_OPTION_URI_LOG_CALLBACK,
		http_first_line, entry, MHD_OPTION_NOTIFY_COMPLETED,
		http_completed, entry, MHD_OPTION_NOTIFY_CONNECTION,
		http_connection, entry, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned)settings->connections_max + HTTP_LISTENER_RESERVE,
		MHD_OPTION_CONNECTION_TIMEOUT, ENTRY_IDLE_SECONDS,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)ENTRY_HTTP_HEADER_BYTES, MHD_OPTION_STRICT_FOR_CLIENT,
		1, MHD_OPTION_END);
}

/* Starts the servers, one for each thread, and hands connections over to them. */
static int http_start_servers(entry_t *entry)
{
	int64_t i;

	for (i = 0; i < entry->settings.http_threads; i++)
		if (!http_listener_add(entry->call_listener,
				       http_start_server(entry)))
			return -1;
	return http_listener_start(entry->call_listener);
}

static void http_free_listener(entry_t *entry)
{
	http_listener_free(entry->call_listener);
	entry->call_listener = NULL;
}

int entry_http_start(entry_t *entry, hl_error_t *err)
{
	const entry_settings_t *settings = &entry->settings;
	struct sockaddr_storage storage;

	if (entry_http_address(entry, settings->call_listen,
			       settings->call_port, &storage, err))
		return -1;
	entry->call_listener = http_listener_open(
		&storage, HTTP_BACKLOG, (unsigned)settings->connections_max);
	if (entry->call_listener && !http_start_servers(entry))
		return 0;
	http_free_listener(entry);
	return hl_error_set(err, HL_ERR_IO,
			    "cannot listen on %s port %" PRId64
			    "; free the port or set entry.call_port",
			    settings->address, settings->call_port);
}

/* Waits until no call is in flight, at most until @until; true if none is. */
static bool http_wait_idle(const entry_t *entry, usec_t until)
{
	const struct timespec period = { 0, HTTP_STOP_PERIOD * 1000 };

	while (__atomic_load_n(&entry->in_flight, __ATOMIC_SEQ_CST)) {
		if (time_now() >= until)
			return false;
		nanosleep(&period, NULL);
	}
	return true;
}

/* Waits until the callers have closed the sockets that are kept for them, at most
   until @until. The tick thread discards what they send. */
static void http_wait_lingering(const entry_t *entry, usec_t until)
{
	const struct timespec period = { 0, HTTP_STOP_PERIOD * 1000 };

	while (!entry_linger_is_idle(entry->linger) && time_now() < until)
		nanosleep(&period, NULL);
}

/*
 * Ends the calls that are still in flight: with a response if that takes a short
 * time, else by closing their connections. libmicrohttpd aborts the process if
 * it is stopped while a connection is suspended.
 */
static void http_end_calls(entry_t *entry)
{
	log_event(LOG_LEVEL_WARNING, "calls-cut", "in_flight=%u",
		  __atomic_load_n(&entry->in_flight, __ATOMIC_ACQUIRE));
	__atomic_store_n(&entry->ending, true, __ATOMIC_SEQ_CST);
	entry_watch_cancel_all(entry->watch);
	if (http_wait_idle(entry, time_now() + HTTP_STOP_CANCEL_TIME))
		return;
	__atomic_store_n(&entry->cut_calls, true, __ATOMIC_RELEASE);
	entry_watch_cancel_all(entry->watch);
	http_wait_idle(entry, time_now() + HTTP_STOP_CANCEL_TIME);
}

/* Whether callers may have sent bytes that were not read yet: libmicrohttpd has not
   taken the first @connections connections yet, or one that it has taken has input. */
static bool http_has_unread(const entry_t *entry, uint64_t connections)
{
	return entry_read_timeout_started(entry->read_timeout) < connections ||
	       entry_read_timeout_has_unread(entry->read_timeout);
}

/* Waits until no call is in flight or unread, at most until @until; true if none is
   in flight. */
static bool http_wait_read(const entry_t *entry, uint64_t connections,
			   usec_t until)
{
	const struct timespec period = { 0, HTTP_STOP_PERIOD * 1000 };

	while (http_wait_idle(entry, until) &&
	       http_has_unread(entry, connections) && time_now() < until)
		nanosleep(&period, NULL);
	return !__atomic_load_n(&entry->in_flight, __ATOMIC_SEQ_CST);
}

void entry_http_stop(entry_t *entry)
{
	usec_t until = entry->stop.end;
	uint64_t connections;

	if (!entry->call_listener)
		return;
	/* New connections are refused at once. */
	connections = http_listener_stop(entry->call_listener);
	http_wait_read(entry, connections, until);
	/* Callers may still send calls over open connections. */
	__atomic_store_n(&entry->refuse_calls, true, __ATOMIC_SEQ_CST);
	if (!http_wait_read(entry, connections, until))
		http_end_calls(entry);
	http_free_listener(entry);
	http_wait_lingering(entry, entry->stop.linger_until);
}
