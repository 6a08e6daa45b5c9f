#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include "entry-http.h"

/*
 * Responses to callers: complete ones are sent from one buffer, others are
 * streamed from the buffer of the request as the copy sends them.
 */

#define RESPOND_TEXT_MAX 32 /* bytes of a header value */
#define RESPOND_BLOCK_BYTES (16 * 1024)
#define RESPOND_REFUSAL_MAX 96 /* bytes of the body of a 502 made here */

/* Makes the close of the connection a TCP reset, since for an HTTP/1.0 caller
   an orderly close is the end of a complete response. */
static void respond_reset(entry_request_t *req)
{
	const struct linger now = { 1, 0 };
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(req->connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info)
		setsockopt(info->connect_fd, SOL_SOCKET, SO_LINGER, &now,
			   sizeof(now));
}

static ssize_t respond_read(void *context, uint64_t offset, char *out,
			    size_t max)
{
	entry_request_t *req = context;
	entry_response_t *response = &req->response;
	bool cut;
	size_t length;
	ssize_t result = 0;

	(void)offset;
	pthread_mutex_lock(&req->lock);
	cut = response->ended ?
		      response->truncated :
		      __atomic_load_n(&req->entry->cut_calls, __ATOMIC_ACQUIRE);
	length = entry_buffer_take(&response->body, out, max);
	if (length) {
		pthread_cond_broadcast(&req->changed);
		result = (ssize_t)length;
	} else if (cut) {
		respond_reset(req);
		result = MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (response->ended) {
		result = MHD_CONTENT_READER_END_OF_STREAM;
	} else {
		req->suspended = true;
		MHD_suspend_connection(req->connection);
	}
	pthread_mutex_unlock(&req->lock);
	return result;
}

static void respond_free(void *context)
{
	entry_request_unref(context);
}

/* Creates a response with a complete body; takes ownership of the buffer. */
static struct MHD_Response *respond_complete(entry_request_t *req)
{
	entry_buffer_t *body = &req->response.body;
	struct MHD_Response *mhd_response;

	if (body->start || !body->bytes)
		return MHD_create_response_from_buffer(
			entry_buffer_length(body),
			body->bytes ? body->bytes + body->start : "",
			MHD_RESPMEM_MUST_COPY);
	mhd_response = MHD_create_response_from_buffer(body->end, body->bytes,
						       MHD_RESPMEM_MUST_FREE);
	if (mhd_response)
		memset(body, 0, sizeof(*body));
	return mhd_response;
}

static struct MHD_Response *respond_stream(entry_request_t *req)
{
	struct MHD_Response *mhd_response;
	uint64_t size = MHD_SIZE_UNKNOWN;

	if (req->response.length >= 0)
		size = (uint64_t)req->response.length;
	mhd_response = MHD_create_response_from_callback(size,
							 RESPOND_BLOCK_BYTES,
							 respond_read, req,
							 respond_free);
	if (mhd_response)
		entry_request_ref(req);
	return mhd_response;
}

/* Adds whether the call ran, and why not. The thread that sends the call may set its
   outcome again while the response is streamed. */
static void respond_outcome_headers(entry_request_t *req,
				    struct MHD_Response *mhd_response)
{
	entry_outcome_t outcome;
	const char *reason;

	pthread_mutex_lock(&req->lock);
	outcome = req->response.outcome;
	reason = req->response.reason;
	pthread_mutex_unlock(&req->lock);
	MHD_add_response_header(mhd_response, "Hemlock-Outcome",
				entry_outcome_name(outcome));
	if (reason)
		MHD_add_response_header(mhd_response, "Hemlock-Reason", reason);
}

static void respond_native_headers(entry_request_t *req,
				   struct MHD_Response *mhd_response)
{
	const entry_response_t *response = &req->response;
	char text[RESPOND_TEXT_MAX];

	respond_outcome_headers(req, mhd_response);
	if (response->retry_after > 0) {
		snprintf(text, sizeof(text), "%" PRId64,
			 (response->retry_after + USEC_PER_SEC - 1) /
				 USEC_PER_SEC);
		MHD_add_response_header(mhd_response, "Retry-After", text);
		snprintf(text, sizeof(text), "%" PRId64,
			 (response->retry_after + USEC_PER_MS - 1) /
				 USEC_PER_MS);
		MHD_add_response_header(mhd_response, "Hemlock-Retry-After-Ms",
					text);
	}
	if (req->credits_to_offer > 0) {
		snprintf(text, sizeof(text), "%u", req->credits_to_offer);
		MHD_add_response_header(mhd_response, "Hemlock-Offer", text);
		metrics_add(req->entry->lend_header_bytes,
			    sizeof("Hemlock-Offer: \r\n") + strlen(text) - 1);
	}
}

/* Whether this entry lacks paths to many copies of the service of a call. */
static bool respond_is_impaired(const entry_request_t *req)
{
	entry_upstream_t *upstream = req->upstream;
	bool impaired;

	if (!upstream)
		return false;
	pthread_mutex_lock(&upstream->lock);
	impaired = entry_reach_is_impaired(&upstream->service);
	pthread_mutex_unlock(&upstream->lock);
	return impaired;
}

/* Adds the headers that a non-native interface requires in a response made by
   this entry, and for a sibling those of the outcome. */
static void respond_interface_headers(entry_request_t *req,
				      struct MHD_Response *mhd_response)
{
	const headers_t *names = req->entry->settings.headers;
	const entry_response_t *response = &req->response;
	char text[RESPOND_TEXT_MAX];

	if (*req->forwarded_by)
		respond_outcome_headers(req, mhd_response);
	if (*req->forwarded_by && respond_is_impaired(req))
		MHD_add_response_header(mhd_response, "Hemlock-Impaired", "1");
	if (!response->reason)
		return;
	if (names->call_id && *req->call_id)
		MHD_add_response_header(mhd_response, names->call_id,
					req->call_id);
	if (response->retry_after <= 0)
		return;
	snprintf(text, sizeof(text), "%.3f",
		 (double)response->retry_after / USEC_PER_SEC);
	MHD_add_response_header(mhd_response, "Retry-After", text);
}

/* Whether to close the connection: at shutdown, or after a malformed request,
   whose remaining bytes cannot be distinguished from the next request. */
static bool respond_closes(const entry_request_t *req)
{
	return __atomic_load_n(&req->entry->stopping, __ATOMIC_ACQUIRE) ||
	       req->response.status == MHD_HTTP_BAD_REQUEST;
}

/* Creates a response in place of one whose head cannot be sent; @text receives the
   body. */
static struct MHD_Response *respond_refuse_head(entry_request_t *req,
						char *text, size_t size)
{
	const headers_t *names = req->entry->settings.headers;
	struct MHD_Response *mhd_response;
	const char *outcome;

	pthread_mutex_lock(&req->lock);
	outcome = entry_outcome_name(req->response.outcome);
	pthread_mutex_unlock(&req->lock);
	snprintf(text, size, "{\"outcome\": \"%s\", \"reason\": \"%s\"}\n",
		 outcome, ENTRY_REASON_RESPONSE_HEAD);
	mhd_response = MHD_create_response_from_buffer(strlen(text), text,
						       MHD_RESPMEM_MUST_COPY);
	if (!mhd_response)
		return NULL;
	if (names->native || *req->forwarded_by) {
		MHD_add_response_header(mhd_response, "Hemlock-Outcome",
					outcome);
		MHD_add_response_header(mhd_response, "Hemlock-Reason",
					ENTRY_REASON_RESPONSE_HEAD);
	}
	if (names->call_id && *req->call_id)
		MHD_add_response_header(mhd_response, names->call_id,
					req->call_id);
	return mhd_response;
}

/* Writes a response to the socket; the result is for libmicrohttpd, which has to
   close the connection. */
static enum MHD_Result respond_directly(entry_request_t *req,
					struct MHD_Response *mhd_response,
					unsigned status,
					const entry_direct_body_t *body)
{
	int result = entry_respond_direct(req->connection, mhd_response, status,
					  body);

	req->sent_directly = !result;
	if (result < 0)
		respond_reset(req);
	return MHD_NO;
}

/* Sends a 502 in place of a response whose head cannot be sent. */
static enum MHD_Result respond_head_refused(entry_request_t *req)
{
	char text[RESPOND_REFUSAL_MAX];
	entry_direct_body_t body = { .bytes = text };
	struct MHD_Response *mhd_response;
	enum MHD_Result result;

	mhd_response = respond_refuse_head(req, text, sizeof(text));
	if (!mhd_response)
		return MHD_NO;
	req->head_refused = true;
	body.size = req->head_only ? 0 : strlen(text);
	body.length = (int64_t)strlen(text);
	if (entry_respond_fits(req, mhd_response))
		result = MHD_queue_response(req->connection, HTTP_BAD_GATEWAY,
					    mhd_response);
	else
		result = respond_directly(req, mhd_response, HTTP_BAD_GATEWAY,
					  &body);
	MHD_destroy_response(mhd_response);
	return result;
}

/* Whether the response is incomplete and its whole body may fit in the buffer of the
   request. The caller holds the lock of the request. */
static bool respond_can_hold(const entry_request_t *req)
{
	const entry_response_t *response = &req->response;

	return !response->ended &&
	       response->length <= ENTRY_RESPONSE_BACKLOG_BYTES &&
	       entry_buffer_length(&response->body) <=
		       ENTRY_RESPONSE_BACKLOG_BYTES &&
	       !__atomic_load_n(&req->entry->cut_calls, __ATOMIC_ACQUIRE);
}

/* Handles a response whose head may not fit and whose body is incomplete: buffers the
   rest of the body if it may fit, and sends a 502 if not. http_proceed() is called again
   whenever a part of the body has arrived. */
static enum MHD_Result respond_hold(entry_request_t *req)
{
	enum MHD_Result result = MHD_YES;
	bool whole, held;

	pthread_mutex_lock(&req->lock);
	whole = req->response.ended && !req->response.truncated;
	held = respond_can_hold(req);
	if (held) {
		req->stage = ENTRY_STAGE_WAIT;
		req->suspended = true;
		MHD_suspend_connection(req->connection);
	}
	pthread_mutex_unlock(&req->lock);
	if (whole)
		return entry_respond_queue(req);
	if (!held)
		result = respond_head_refused(req);
	return result;
}

/*
 * Sends a response whose head may not fit in the memory of the connection: directly
 * if it is complete and the socket takes it at once. A part of a body cannot be
 * sent so, as this thread must not wait.
 */
static enum MHD_Result respond_large_head(entry_request_t *req,
					  struct MHD_Response *mhd_response,
					  const entry_direct_body_t *body)
{
	size_t size;

	if (!body)
		return respond_hold(req);
	size = entry_respond_size(mhd_response) + body->size;
	if (!entry_respond_takes(req->connection, size))
		return respond_head_refused(req);
	return respond_directly(req, mhd_response, req->response.status, body);
}

/* Creates the response and fills in what respond_large_head() sends of its body;
   body->length is -1 for none. *@whole tells whether there is nothing else. */
static struct MHD_Response *respond_create(entry_request_t *req,
					   entry_direct_body_t *body,
					   bool *whole)
{
	entry_response_t *response = &req->response;
	struct MHD_Response *mhd_response;
	bool complete;

	pthread_mutex_lock(&req->lock);
	complete = response->ended && !response->truncated && !req->head_only;
	*whole = complete || req->head_only;
	body->length = response->length;
	if (complete) {
		body->bytes = response->body.bytes ?
				      response->body.bytes +
					      response->body.start :
				      "";
		body->size = entry_buffer_length(&response->body);
		body->length = (int64_t)body->size;
	}
	mhd_response = complete ? respond_complete(req) : respond_stream(req);
	pthread_mutex_unlock(&req->lock);
	return mhd_response;
}

static void respond_add_headers(entry_request_t *req,
				struct MHD_Response *mhd_response)
{
	entry_header_t *header;

	cds_list_for_each_entry (header, &req->response.headers, link)
		if (!entry_head_list_contains(req->response.connection,
					      header->name))
			MHD_add_response_header(mhd_response, header->name,
						header->value);
	if (req->entry->settings.headers->native)
		respond_native_headers(req, mhd_response);
	else
		respond_interface_headers(req, mhd_response);
	if (respond_closes(req))
		MHD_add_response_header(mhd_response, "Connection", "close");
}

enum MHD_Result entry_respond_queue(entry_request_t *req)
{
	entry_direct_body_t body = { 0 };
	struct MHD_Response *mhd_response;
	enum MHD_Result result;
	bool whole;

	mhd_response = respond_create(req, &body, &whole);
	if (!mhd_response)
		return MHD_NO;
	respond_add_headers(req, mhd_response);
	/* Without this, libmicrohttpd ends a chunked response to HEAD with a
	   chunk. */
	if (req->head_only && req->response.length < 0)
		MHD_set_response_options(mhd_response,
					 MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
					 MHD_RO_END);
	if (entry_respond_fits(req, mhd_response))
		result = MHD_queue_response(req->connection,
					    req->response.status, mhd_response);
	else
		result = respond_large_head(req, mhd_response,
					    whole ? &body : NULL);
	MHD_destroy_response(mhd_response);
	return result;
}

void entry_respond_last(entry_request_t *req)
{
	entry_direct_body_t body = { 0 };
	struct MHD_Response *mhd_response;
	bool whole;

	mhd_response = respond_create(req, &body, &whole);
	if (!mhd_response)
		return;
	respond_add_headers(req, mhd_response);
	respond_directly(req, mhd_response, req->response.status, &body);
	MHD_destroy_response(mhd_response);
}
