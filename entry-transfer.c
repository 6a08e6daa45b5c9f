#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include "entry-transfer.h"

/*
 * Callbacks of libcurl for one send: body of the request, headers and body of
 * the response, and preconnected sockets.
 */

/* entry_conn_t.preconnected_fd after libcurl has taken the socket. */
#define PRECONNECTED_TAKEN (-2)

/* Max size of the heads of a response, interim ones (1xx) and trailers included.
   A copy that sends more makes no response. */
#define TRANSFER_HEAD_BYTES_MAX (128 * 1024)

/* Headers of a response that are not relayed to the caller. */
static const char *const transfer_hop_headers[] = {
	"Connection",	    "Keep-Alive",
	"Proxy-Connection", "TE",
	"Trailer",	    "Transfer-Encoding",
	"Upgrade",	    "Content-Length",
	"Hemlock-Outcome",  "Hemlock-Offer",
	"Hemlock-Impaired", "Hemlock-Send",
};

static bool transfer_is_hop_header(const char *name, size_t length)
{
	size_t i;

	for (i = 0; i < sizeof(transfer_hop_headers) / sizeof(char *); i++)
		if (strlen(transfer_hop_headers[i]) == length &&
		    !strncasecmp(transfer_hop_headers[i], name, length))
			return true;
	return false;
}

static bool transfer_name_is(const char *line, size_t length, const char *name)
{
	return strlen(name) == length && !strncasecmp(line, name, length);
}

/* Waits for a change of the request until its deadline. The caller holds
   req->lock. */
static void transfer_wait(entry_request_t *req)
{
	struct timespec ts = {
		req->call.deadline / USEC_PER_SEC,
		req->call.deadline % USEC_PER_SEC * 1000,
	};

	pthread_cond_timedwait(&req->changed, &req->lock, &ts);
}

/* Whether the next bytes of the body, or its end, can be sent. The caller holds
   req->lock. */
static bool transfer_has_body(const entry_request_t *req)
{
	return entry_buffer_length(&req->body) || req->body_complete;
}

/* Whether a paused send of the body must go on, if only to be ended. The caller
   holds req->lock. */
static bool transfer_read_due(const entry_request_t *req)
{
	return transfer_has_body(req) || req->cancelled ||
	       time_now() >= req->call.deadline;
}

/* Supplies the next bytes of a body that is still being received. It does not
   wait for the caller, since the copy may respond before it has the body. */
size_t entry_transfer_read(char *out, size_t size, size_t count, void *context)
{
	entry_transfer_t *transfer = context;
	entry_request_t *req = transfer->req;
	size_t length;

	pthread_mutex_lock(&req->lock);
	length = entry_buffer_take(&req->body, out, size * count);
	if (length) {
		req->body_consumed = true;
		transfer->read_at = time_now();
	}
	transfer->read_paused = !transfer_read_due(req) && !length;
	if (transfer->read_paused)
		length = CURL_READFUNC_PAUSE;
	else if (!length && !req->body_complete)
		length = CURL_READFUNC_ABORT;
	req->body_wanted = true;
	entry_request_wake(req);
	pthread_mutex_unlock(&req->lock);
	return length;
}

void entry_transfer_resume_read(entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;
	bool due;

	if (!transfer->read_paused)
		return;
	pthread_mutex_lock(&req->lock);
	due = transfer_read_due(req);
	pthread_mutex_unlock(&req->lock);
	if (!due)
		return;
	transfer->read_paused = false;
	curl_easy_pause(transfer->conn->easy, CURLPAUSE_CONT);
}

/* Parses the number of credits that a sibling (another owner of the service)
   offers for calls that wait at this entry. Returns 0 if it is too large. */
static unsigned transfer_parse_offer(const char *value)
{
	unsigned long offer = strtoul(value, NULL, 10);

	return offer < ENTRY_QUEUE_REPORT_MAX ? (unsigned)offer : 0;
}

static const headers_t *transfer_names(const entry_transfer_t *transfer)
{
	return transfer->req->entry->settings.headers;
}

static bool transfer_header_is(const char *line, size_t length,
			       const char *name)
{
	return name && transfer_name_is(line, length, name);
}

static void transfer_read_retry_after(entry_transfer_t *transfer,
				      const char *value, size_t length)
{
	char text[HL_NAME_MAX];

	transfer->has_retry_after = true;
	if (length >= sizeof(text))
		return;
	memcpy(text, value, length);
	text[length] = '\0';
	transfer->has_rest = entry_retry_after_read(text, &transfer->rest);
}

/* Compares an id in the response with that of the call or send, and notes one that
   differs. */
static bool transfer_compare_id(entry_transfer_t *transfer, const char *id,
				const char *value, size_t length)
{
	if (strlen(id) == length && !memcmp(id, value, length))
		return true;
	length = MIN(length, sizeof(transfer->other_id) - 1);
	memcpy(transfer->other_id, value, length);
	transfer->other_id[length] = '\0';
	return false;
}

/* Reads a header of a copy's response if its name is one of those in
   transfer_names(), the header names of the interface that the settings
   select. */
static void transfer_read_interface_header(entry_transfer_t *transfer,
					   const char *line, size_t length,
					   const char *value,
					   size_t value_length)
{
	const headers_t *names = transfer_names(transfer);
	char text[HL_NAME_MAX];

	if (transfer_header_is(line, length, names->call_id))
		transfer->call_id_matches = transfer_compare_id(
			transfer, transfer->req->call_id, value, value_length);
	else if (transfer_header_is(line, length, names->send_id) &&
		 !transfer_compare_id(transfer, transfer->send_id, value,
				      value_length))
		transfer->is_of_other_send = true;
	else if (transfer_header_is(line, length, names->signature))
		transfer->has_signature = true;
	else if (transfer_header_is(line, length, names->not_run))
		transfer->outcome_not_run = true;
	else if (transfer_header_is(line, length, names->leaving))
		transfer->copy_leaves = value_length == 1 && *value == '1';
	if (value_length >= sizeof(text))
		return;
	memcpy(text, value, value_length);
	text[value_length] = '\0';
	if (transfer_header_is(line, length, names->load))
		transfer->has_load = names->load_read(text, &transfer->load);
	else if (transfer_header_is(line, length, names->rate))
		transfer->millirate = entry_rate_read(text);
}

bool entry_transfer_matches_id(const entry_transfer_t *transfer)
{
	if (transfer->is_of_other_send)
		return false;
	return !transfer_names(transfer)->call_id || !*transfer->req->call_id ||
	       transfer->call_id_matches;
}

bool entry_transfer_matches_call(const entry_transfer_t *transfer)
{
	const headers_t *names = transfer_names(transfer);

	if (!entry_transfer_matches_id(transfer))
		return false;
	/* A sibling entry may make a response itself, also the coordinator of a
	   keyed call whose response is no longer stored. */
	return !names->signature || transfer->has_signature ||
	       ((entry_handover_is_active(transfer->req) ||
		 transfer->req->replay) &&
		transfer->has_outcome);
}

/* Whether the reason of a refusal concerns the sibling entry only, so that
   another one may serve the call. */
static bool transfer_is_unfit(const char *reason, size_t length)
{
	return transfer_name_is(reason, length, "unreachable") ||
	       transfer_name_is(reason, length, "revision") ||
	       transfer_name_is(reason, length, "starting") ||
	       transfer_name_is(reason, length, "stopping");
}

static void transfer_read_header(entry_transfer_t *transfer, const char *line,
				 size_t length, const char *value,
				 size_t value_length)
{
	if (transfer_name_is(line, length, "Retry-After"))
		transfer_read_retry_after(transfer, value, value_length);
	if (transfer_name_is(line, length, "Connection") &&
	    !transfer->req->response.connection)
		transfer->req->response.connection = strndup(value,
							     value_length);
	if (transfer_name_is(line, length, "Content-Length"))
		transfer->req->response.length = strtoll(value, NULL, 10);
	transfer_read_interface_header(transfer, line, length, value,
				       value_length);
	if (transfer->req->handed_over &&
	    transfer_name_is(line, length, "Hemlock-Offer"))
		transfer->req->credits_offered = transfer_parse_offer(value);
	if (entry_handover_is_active(transfer->req) &&
	    transfer_name_is(line, length, "Hemlock-Reason"))
		transfer->req->sibling_unfit = transfer_is_unfit(value,
								 value_length);
	if (entry_handover_is_active(transfer->req) &&
	    transfer_name_is(line, length, "Hemlock-Impaired"))
		transfer->req->sibling_impaired = true;
	if (!transfer_name_is(line, length, "Hemlock-Outcome"))
		return;
	transfer->outcome_not_run = transfer_name_is(value, value_length,
						     "not-run");
	transfer->outcome_may_have_run = transfer_name_is(value, value_length,
							  "may-have-run");
	transfer->has_outcome = true;
}

/* Returns the status in a status line, or 0 if no response can have it: it is not
   three digits from 100 to 599, or it is 101, which no send asks for. */
static unsigned transfer_read_status(const char *line, size_t size)
{
	const char *end = line + size;
	const char *at = memchr(line, ' ', size);
	unsigned status = 0;
	unsigned digits = 0;

	while (at && at < end && *at == ' ')
		at++;
	for (; at && at < end && *at >= '0' && *at <= '9'; at++, digits++)
		status = digits < 3 ? status * 10 + (unsigned)(*at - '0') : 0;
	if (digits != 3 || (at < end && !strchr(" \r\n", *at)))
		return 0;
	return status >= 100 && status <= 599 &&
			       status != HTTP_SWITCHING_PROTOCOLS ?
		       status :
		       0;
}

/* Handles a status line, which starts a head. If another head preceded it, that
   was of a 1xx response, whose headers are discarded. Returns -1 if the status is
   one that no response can have. */
static int transfer_begin_head(entry_transfer_t *transfer, const char *line,
			       size_t size)
{
	entry_request_reset(transfer->req);
	transfer->has_retry_after = false;
	transfer->has_rest = false;
	transfer->copy_leaves = false;
	transfer->millirate = 0;
	transfer->outcome_not_run = false;
	transfer->outcome_may_have_run = false;
	transfer->has_outcome = false;
	transfer->req->sibling_unfit = false;
	transfer->req->sibling_impaired = false;
	transfer->is_of_other_send = false;
	transfer->call_id_matches = false;
	*transfer->other_id = '\0';
	transfer->has_signature = false;
	transfer->has_load = false;
	transfer->body_received = 0;
	transfer->req->credits_offered = 0;
	transfer->req->response.status = transfer_read_status(line, size);
	if (transfer->req->response.status)
		return 0;
	entry_trace_bad_status(transfer->req, line, size);
	return -1;
}

size_t entry_transfer_header(char *line, size_t size, size_t count,
			     void *context)
{
	entry_transfer_t *transfer = context;
	entry_request_t *req = transfer->req;
	size_t length = size * count;
	const char *colon;
	const char *value;
	const char *end = line + length;

	transfer->head_received += length;
	if (transfer->head_received > TRANSFER_HEAD_BYTES_MAX)
		return 0;
	if (transfer->head_complete)
		return length; /* a trailer */
	if (length > 5 && !strncmp(line, "HTTP/", 5)) {
		if (transfer_begin_head(transfer, line, length))
			return 0;
		return length;
	}
	while (end > line && (end[-1] == '\r' || end[-1] == '\n' ||
			      end[-1] == ' ' || end[-1] == '\t'))
		end--;
	if (end == line) {
		transfer->head_complete = req->response.status >= 200;
		req->head_received = time_now();
		return length;
	}
	colon = memchr(line, ':', (size_t)(end - line));
	if (!colon)
		return length;
	for (value = colon + 1;
	     value < end && (*value == ' ' || *value == '\t'); value++)
		;
	transfer_read_header(transfer, line, (size_t)(colon - line), value,
			     (size_t)(end - value));
	if (transfer_is_hop_header(line, (size_t)(colon - line)))
		return length;
	if (entry_headers_add(&req->response.headers, line,
			      (size_t)(colon - line), value,
			      (size_t)(end - value)))
		return 0;
	return length;
}

bool entry_transfer_is_shed(const entry_transfer_t *transfer)
{
	unsigned status = transfer->req->response.status;

	/* If the interface has a header that marks refused calls, a status 429
	   or 503 without it is not a refusal. */
	if (transfer_names(transfer)->not_run)
		return transfer->outcome_not_run ||
		       status == HTTP_MISDIRECTED_REQUEST;
	if (transfer->outcome_not_run || status == HTTP_TOO_MANY_REQUESTS)
		return true;
	return status == HTTP_UNAVAILABLE && transfer->has_retry_after;
}

bool entry_transfer_is_mismatched(const entry_transfer_t *transfer)
{
	if (!transfer->head_complete)
		return false;
	if (entry_transfer_is_shed(transfer))
		return !entry_transfer_matches_id(transfer);
	return !entry_transfer_matches_call(transfer);
}

bool entry_transfer_response_whole(const entry_transfer_t *transfer)
{
	const entry_response_t *response = &transfer->req->response;

	return transfer->head_complete && response->length >= 0 &&
	       transfer->body_received >= response->length;
}

entry_outcome_t entry_transfer_outcome(const entry_transfer_t *transfer)
{
	if (entry_transfer_is_shed(transfer))
		return ENTRY_NOT_RUN;
	if (transfer_names(transfer)->not_run && !transfer->has_outcome)
		return ENTRY_RAN;
	if (transfer->outcome_may_have_run ||
	    transfer->req->response.status == HTTP_UNAVAILABLE)
		return ENTRY_MAY_HAVE_RUN;
	return ENTRY_RAN;
}

/*
 * Allows the head of the response to be sent to the caller before the response
 * is complete. Returns false if it must not be sent: for a hedge, for a send
 * whose hedge has the response, and for a response that belongs to another
 * call. The caller holds the lock of the request.
 */
static bool transfer_publish(entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;

	if (req->primary || req->hedge_won ||
	    !entry_transfer_matches_call(transfer))
		return false;
	req->response.outcome = entry_transfer_outcome(transfer);
	req->response.published = true;
	return true;
}

/* Ends hedging of a call whose response has been sent in part. */
static void transfer_no_hedge(entry_request_t *req)
{
	pthread_mutex_lock(&req->upstream->lock);
	req->call.no_hedge = true;
	entry_hedge_cancel(req);
	pthread_mutex_unlock(&req->upstream->lock);
}

bool entry_transfer_is_cancelled(const entry_request_t *req)
{
	return req->cancelled || req->hedge_won;
}

/* Waits until the buffer of the response has space; returns false if the send
   is to be ended. The caller holds req->lock. */
static bool transfer_wait_for_room(entry_request_t *req)
{
	const entry_buffer_t *body = &req->response.body;

	/* The response of a hedge is not read before it is complete, so its
	   buffer would never become empty. */
	if (req->primary &&
	    entry_buffer_length(body) > ENTRY_RESPONSE_BACKLOG_BYTES)
		req->cancelled = true;
	while (entry_buffer_length(body) > ENTRY_RESPONSE_BACKLOG_BYTES &&
	       !entry_transfer_is_cancelled(req) &&
	       time_now() < req->call.deadline)
		transfer_wait(req);
	return !entry_transfer_is_cancelled(req) &&
	       entry_buffer_length(body) <= ENTRY_RESPONSE_BACKLOG_BYTES;
}

/* Whether no caller gets the body of a response: it belongs to another call, or to a
   refusal that this entry replaces by its own. */
static bool transfer_drops_body(const entry_transfer_t *transfer)
{
	return entry_transfer_is_mismatched(transfer) ||
	       (entry_transfer_is_shed(transfer) &&
		!transfer_names(transfer)->native);
}

size_t entry_transfer_write(char *bytes, size_t size, size_t count,
			    void *context)
{
	entry_transfer_t *transfer = context;
	entry_request_t *req = transfer->req;
	entry_response_t *response = &req->response;
	size_t length = size * count;
	bool published = false;

	transfer->body_received += (int64_t)length;
	if (transfer_drops_body(transfer))
		return length;
	pthread_mutex_lock(&req->lock);
	if (!transfer_wait_for_room(req) ||
	    entry_buffer_add(&response->body, bytes, length))
		length = 0;
	if (!response->published &&
	    entry_buffer_length(&response->body) > ENTRY_BODY_BUFFER_BYTES)
		published = transfer_publish(transfer);
	if (response->published)
		entry_request_wake(req);
	pthread_mutex_unlock(&req->lock);
	if (published)
		transfer_no_hedge(req);
	return length;
}

void entry_transfer_publish_partial(entry_transfer_t *transfer, usec_t now)
{
	entry_request_t *req = transfer->req;
	bool published;

	if (!transfer->head_complete || req->response.published ||
	    req->primary || req->response.status >= 500 ||
	    entry_transfer_is_shed(transfer) ||
	    now < req->head_received + ENTRY_RESPONSE_BUFFER_TIME)
		return;
	pthread_mutex_lock(&req->lock);
	published = transfer_publish(transfer);
	entry_request_wake(req);
	pthread_mutex_unlock(&req->lock);
	if (published)
		transfer_no_hedge(req);
}

/* Returns the preconnected socket, or opens one. */
curl_socket_t entry_transfer_open_socket(void *context, curlsocktype purpose,
					 struct curl_sockaddr *address)
{
	entry_conn_t *conn = context;
	int fd = conn->preconnected_fd;

	(void)purpose;
	if (fd >= 0) {
		conn->preconnected_fd = PRECONNECTED_TAKEN;
		return fd;
	}
	return socket(address->family, address->socktype | SOCK_CLOEXEC,
		      address->protocol);
}

int entry_transfer_connected(void *context, curl_socket_t fd,
			     curlsocktype purpose)
{
	entry_conn_t *conn = context;

	(void)fd;
	(void)purpose;
	if (conn->preconnected_fd != PRECONNECTED_TAKEN)
		return CURL_SOCKOPT_OK;
	conn->preconnected_fd = -1;
	return CURL_SOCKOPT_ALREADY_CONNECTED;
}
