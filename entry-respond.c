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

enum MHD_Result entry_respond_queue(entry_request_t *req)
{
	struct MHD_Response *mhd_response;
	entry_header_t *header;
	enum MHD_Result result;
	bool complete;

	pthread_mutex_lock(&req->lock);
	complete = req->response.ended && !req->response.truncated &&
		   !req->head_only;
	mhd_response = complete ? respond_complete(req) : respond_stream(req);
	pthread_mutex_unlock(&req->lock);
	if (!mhd_response)
		return MHD_NO;
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
	/* Without this, libmicrohttpd ends a chunked response to HEAD with a
	   chunk. */
	if (req->head_only && req->response.length < 0)
		MHD_set_response_options(mhd_response,
					 MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
					 MHD_RO_END);
	result = MHD_queue_response(req->connection, req->response.status,
				    mhd_response);
	MHD_destroy_response(mhd_response);
	return result;
}
