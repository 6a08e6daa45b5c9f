#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include "entry-http.h"

#define RESPOND_BLOCK (16 * 1024)

/* Make the caller see a reset, since HTTP/1.0 takes a close for the end. */
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

static ssize_t respond_read(void *context, uint64_t at, char *out, size_t max)
{
	entry_request_t *req = context;
	entry_response_t *answer = &req->response;
	size_t length;
	ssize_t result = 0;

	(void)at;
	pthread_mutex_lock(&req->lock);
	length = entry_buffer_take(&answer->body, out, max);
	if (length) {
		pthread_cond_broadcast(&req->changed);
		result = (ssize_t)length;
	} else if (answer->ended && answer->truncated) {
		respond_reset(req);
		result = MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (answer->ended) {
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

/* A whole answer goes out in one piece; the response takes the bytes over. */
static struct MHD_Response *respond_whole(entry_request_t *req)
{
	entry_buffer_t *body = &req->response.body;
	struct MHD_Response *response;

	if (body->start || !body->bytes)
		return MHD_create_response_from_buffer(
			entry_buffer_length(body),
			body->bytes ? body->bytes + body->start : "",
			MHD_RESPMEM_MUST_COPY);
	response = MHD_create_response_from_buffer(body->end, body->bytes,
						   MHD_RESPMEM_MUST_FREE);
	if (response)
		memset(body, 0, sizeof(*body));
	return response;
}

static struct MHD_Response *respond_stream(entry_request_t *req)
{
	struct MHD_Response *response;
	uint64_t size = MHD_SIZE_UNKNOWN;

	if (req->response.length >= 0)
		size = (uint64_t)req->response.length;
	response = MHD_create_response_from_callback(size, RESPOND_BLOCK,
						     respond_read, req,
						     respond_free);
	if (response)
		entry_request_ref(req);
	return response;
}

static void respond_own_headers(entry_request_t *req,
				struct MHD_Response *response)
{
	const entry_response_t *answer = &req->response;
	char text[32];

	MHD_add_response_header(response, "Hemlock-Outcome",
				entry_outcome_name(answer->outcome));
	if (answer->reason)
		MHD_add_response_header(response, "Hemlock-Reason",
					answer->reason);
	if (answer->retry_after > 0) {
		snprintf(text, sizeof(text), "%" PRId64,
			 (answer->retry_after + USEC_PER_SEC - 1) /
				 USEC_PER_SEC);
		MHD_add_response_header(response, "Retry-After", text);
		snprintf(text, sizeof(text), "%" PRId64,
			 (answer->retry_after + USEC_PER_MS - 1) / USEC_PER_MS);
		MHD_add_response_header(response, "Hemlock-Retry-After-Ms",
					text);
	}
	if (req->offer > 0) {
		snprintf(text, sizeof(text), "%u", req->offer);
		MHD_add_response_header(response, "Hemlock-Offer", text);
		metrics_add(req->entry->lend_header_bytes,
			    sizeof("Hemlock-Offer: \r\n") + strlen(text) - 1);
	}
}

/* An answer of ours under an interface of others. */
static void respond_plain_headers(entry_request_t *req,
				  struct MHD_Response *response)
{
	const headers_t *names = req->entry->settings.headers;
	const entry_response_t *answer = &req->response;
	char text[32];

	if (!answer->reason)
		return;
	if (names->call_id && *req->call_id)
		MHD_add_response_header(response, names->call_id, req->call_id);
	if (answer->retry_after <= 0)
		return;
	snprintf(text, sizeof(text), "%.3f",
		 (double)answer->retry_after / USEC_PER_SEC);
	MHD_add_response_header(response, "Retry-After", text);
}

/* No further call of this connection is wanted, or it cannot be told apart
 * from what is left of this one. */
static bool respond_closes(const entry_request_t *req)
{
	return __atomic_load_n(&req->entry->stopping, __ATOMIC_ACQUIRE) ||
	       req->response.status == MHD_HTTP_BAD_REQUEST;
}

enum MHD_Result entry_http_respond(entry_request_t *req)
{
	struct MHD_Response *response;
	entry_header_t *header;
	enum MHD_Result result;
	bool whole;

	pthread_mutex_lock(&req->lock);
	whole = req->response.ended && !req->response.truncated &&
		!req->head_only;
	response = whole ? respond_whole(req) : respond_stream(req);
	pthread_mutex_unlock(&req->lock);
	if (!response)
		return MHD_NO;
	cds_list_for_each_entry (header, &req->response.headers, link)
		if (!entry_http_list_holds(req->response.connection,
					   header->name))
			MHD_add_response_header(response, header->name,
						header->value);
	if (req->entry->settings.headers->own)
		respond_own_headers(req, response);
	else
		respond_plain_headers(req, response);
	if (respond_closes(req))
		MHD_add_response_header(response, "Connection", "close");
	/* libmicrohttpd ends a chunked answer to HEAD with a last chunk. */
	if (req->head_only && req->response.length < 0)
		MHD_set_response_options(response,
					 MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
					 MHD_RO_END);
	result = MHD_queue_response(req->connection, req->response.status,
				    response);
	MHD_destroy_response(response);
	return result;
}
