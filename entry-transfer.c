#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include "entry-transfer.h"

#define HTTP_MISDIRECTED_REQUEST 421
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_UNAVAILABLE 503
/* A spare socket that libcurl has been given. */
#define SPARE_GIVEN (-2)

static const char *const transfer_hop_headers[] = {
	"Connection",	    "Keep-Alive",
	"Proxy-Connection", "TE",
	"Trailer",	    "Transfer-Encoding",
	"Upgrade",	    "Content-Length",
	"Hemlock-Outcome",  "Hemlock-Offer",
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

/* Wait for a change of the request until its deadline. Lock held. */
static void transfer_wait(entry_request_t *req)
{
	struct timespec ts = {
		req->call.deadline / USEC_PER_SEC,
		req->call.deadline % USEC_PER_SEC * 1000,
	};

	pthread_cond_timedwait(&req->changed, &req->lock, &ts);
}

/* Give libcurl the next bytes of a body that is still coming in. */
size_t entry_transfer_read(char *out, size_t size, size_t count, void *context)
{
	entry_transfer_t *transfer = context;
	entry_request_t *req = transfer->req;
	size_t length;

	pthread_mutex_lock(&req->lock);
	while (!entry_buffer_length(&req->body) && !req->body_whole &&
	       !req->cancelled && time_now() < req->call.deadline)
		transfer_wait(req);
	length = entry_buffer_take(&req->body, out, size * count);
	if (length)
		req->body_spent = true;
	if (!length && !req->body_whole)
		length = CURL_READFUNC_ABORT;
	entry_request_wake(req);
	pthread_mutex_unlock(&req->lock);
	return length;
}

/* Keep one header of the answer, as "name: value". */
static int transfer_keep_header(entry_response_t *answer, const char *line,
				size_t name_length, const char *value,
				size_t value_length)
{
	entry_header_t *header = calloc(1, sizeof(*header));

	if (!header)
		return -1;
	header->name = strndup(line, name_length);
	header->value = strndup(value, value_length);
	if (!header->name || !header->value) {
		free(header->name);
		free(header->value);
		free(header);
		return -1;
	}
	cds_list_add_tail(&header->link, &answer->headers);
	return 0;
}

/* Credits that a sibling offers for the calls that wait here. */
static unsigned transfer_offer(const char *value)
{
	unsigned long offer = strtoul(value, NULL, 10);

	return offer < ENTRY_QUEUE_TOLD_MAX ? (unsigned)offer : 0;
}

static const headers_t *transfer_names(const entry_transfer_t *transfer)
{
	return transfer->req->entry->settings.headers;
}

static bool transfer_is(const char *line, size_t length, const char *name)
{
	return name && transfer_name_is(line, length, name);
}

/* What the headers of the interface tell of the copy and its answer. */
static void transfer_note_interface(entry_transfer_t *transfer,
				    const char *line, size_t length,
				    const char *value, size_t value_length)
{
	const headers_t *names = transfer_names(transfer);
	const char *id = transfer->req->call_id;
	char text[HL_NAME_MAX];

	if (transfer_is(line, length, names->call_id))
		transfer->echoes = strlen(id) == value_length &&
				   !memcmp(id, value, value_length);
	else if (transfer_is(line, length, names->signature))
		transfer->signs = true;
	else if (transfer_is(line, length, names->not_run))
		transfer->says_not_run = true;
	if (!transfer_is(line, length, names->load) ||
	    value_length >= sizeof(text))
		return;
	memcpy(text, value, value_length);
	text[value_length] = '\0';
	transfer->has_load = names->load_read(text, &transfer->load);
}

bool entry_transfer_belongs(const entry_transfer_t *transfer)
{
	const headers_t *names = transfer_names(transfer);

	if (names->call_id && *transfer->req->call_id && !transfer->echoes)
		return false;
	return !names->signature || transfer->signs;
}

static void transfer_note_header(entry_transfer_t *transfer, const char *line,
				 size_t length, const char *value,
				 size_t value_length)
{
	if (transfer_name_is(line, length, "Retry-After"))
		transfer->says_retry = true;
	if (transfer_name_is(line, length, "Connection") &&
	    !transfer->req->response.connection)
		transfer->req->response.connection = strndup(value,
							     value_length);
	if (transfer_name_is(line, length, "Content-Length"))
		transfer->req->response.length = strtoll(value, NULL, 10);
	transfer_note_interface(transfer, line, length, value, value_length);
	if (transfer->req->handed_over &&
	    transfer_name_is(line, length, "Hemlock-Offer"))
		transfer->req->offered = transfer_offer(value);
	if (!transfer_name_is(line, length, "Hemlock-Outcome"))
		return;
	transfer->says_not_run = transfer_name_is(value, value_length,
						  "not-run");
	transfer->says_may_have = transfer_name_is(value, value_length,
						   "may-have-run");
}

/* A line "HTTP/1.1 200 OK" begins a head; an earlier one was a 1xx. */
static void transfer_begin_head(entry_transfer_t *transfer, const char *line,
				size_t size)
{
	const char *space = memchr(line, ' ', size);

	entry_request_reset(transfer->req);
	transfer->says_retry = false;
	transfer->says_not_run = false;
	transfer->says_may_have = false;
	transfer->echoes = false;
	transfer->signs = false;
	transfer->has_load = false;
	transfer->req->offered = 0;
	if (space)
		transfer->req->response.status = (unsigned)strtoul(space + 1,
								   NULL, 10);
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

	if (transfer->head_whole)
		return length; /* a trailer */
	if (length > 5 && !strncmp(line, "HTTP/", 5)) {
		transfer_begin_head(transfer, line, length);
		return length;
	}
	while (end > line && (end[-1] == '\r' || end[-1] == '\n' ||
			      end[-1] == ' ' || end[-1] == '\t'))
		end--;
	if (end == line) {
		transfer->head_whole = req->response.status >= 200;
		req->head_at = time_now();
		return length;
	}
	colon = memchr(line, ':', (size_t)(end - line));
	if (!colon)
		return length;
	for (value = colon + 1;
	     value < end && (*value == ' ' || *value == '\t'); value++)
		;
	transfer_note_header(transfer, line, (size_t)(colon - line), value,
			     (size_t)(end - value));
	if (transfer_is_hop_header(line, (size_t)(colon - line)))
		return length;
	if (transfer_keep_header(&req->response, line, (size_t)(colon - line),
				 value, (size_t)(end - value)))
		return 0;
	return length;
}

/* Whether the copy refused the call by a documented status. */
bool entry_transfer_is_shed(const entry_transfer_t *transfer)
{
	unsigned status = transfer->req->response.status;

	/* There the copy has a header of its own to say so. */
	if (transfer_names(transfer)->not_run)
		return transfer->says_not_run ||
		       status == HTTP_MISDIRECTED_REQUEST;
	if (transfer->says_not_run || status == HTTP_TOO_MANY_REQUESTS)
		return true;
	return status == HTTP_UNAVAILABLE && transfer->says_retry;
}

entry_outcome_t entry_transfer_outcome(const entry_transfer_t *transfer)
{
	if (entry_transfer_is_shed(transfer))
		return ENTRY_NOT_RUN;
	if (transfer_names(transfer)->not_run)
		return ENTRY_RAN;
	if (transfer->says_may_have ||
	    transfer->req->response.status == HTTP_UNAVAILABLE)
		return ENTRY_MAY_HAVE_RUN;
	return ENTRY_RAN;
}

/*
 * Let the head go out before the answer is whole; true if it may. The answer
 * of a twin and one that a twin overtook may not. Lock held.
 */
static bool transfer_publish(entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;

	if (req->primary || req->overtaken || !entry_transfer_belongs(transfer))
		return false;
	req->response.outcome = entry_transfer_outcome(transfer);
	req->response.published = true;
	return true;
}

/* An answer that went out in part is not hedged; a twin comes too late. */
static void transfer_no_hedge(entry_request_t *req)
{
	pthread_mutex_lock(&req->route->lock);
	req->call.no_hedge = true;
	entry_hedge_cancel(req);
	pthread_mutex_unlock(&req->route->lock);
}

/* The send is to end: the caller went away or a twin answered. Lock held. */
bool entry_transfer_ends(const entry_request_t *req)
{
	return req->cancelled || req->overtaken;
}

/* Wait until the caller has taken some of a long answer. Lock held. */
static bool transfer_make_room(entry_request_t *req)
{
	const entry_buffer_t *body = &req->response.body;

	/* Nobody takes the answer of a twin before it is whole. */
	if (req->primary && entry_buffer_length(body) > ENTRY_ANSWER_BYTES)
		req->cancelled = true;
	while (entry_buffer_length(body) > ENTRY_ANSWER_BYTES &&
	       !entry_transfer_ends(req) && time_now() < req->call.deadline)
		transfer_wait(req);
	return !entry_transfer_ends(req) &&
	       entry_buffer_length(body) <= ENTRY_ANSWER_BYTES;
}

size_t entry_transfer_write(char *bytes, size_t size, size_t count,
			    void *context)
{
	entry_transfer_t *transfer = context;
	entry_request_t *req = transfer->req;
	entry_response_t *answer = &req->response;
	size_t length = size * count;
	bool begun = false;

	pthread_mutex_lock(&req->lock);
	if (!transfer_make_room(req) ||
	    entry_buffer_add(&answer->body, bytes, length))
		length = 0;
	if (!answer->published &&
	    entry_buffer_length(&answer->body) > ENTRY_HOLD_BYTES)
		begun = transfer_publish(transfer);
	if (answer->published)
		entry_request_wake(req);
	pthread_mutex_unlock(&req->lock);
	if (begun)
		transfer_no_hedge(req);
	return length;
}

/* An answer that trickles is relayed as it comes, unless it may be retried. */
void entry_transfer_publish_slow(entry_transfer_t *transfer, usec_t now)
{
	entry_request_t *req = transfer->req;
	bool begun;

	if (!transfer->head_whole || req->response.published || req->primary ||
	    req->response.status >= 500 || entry_transfer_is_shed(transfer) ||
	    now < req->head_at + ENTRY_HOLD_TIME)
		return;
	pthread_mutex_lock(&req->lock);
	begun = transfer_publish(transfer);
	entry_request_wake(req);
	pthread_mutex_unlock(&req->lock);
	if (begun)
		transfer_no_hedge(req);
}

/* Hand out the socket that was opened ahead, or open one. */
curl_socket_t entry_transfer_open_socket(void *context, curlsocktype purpose,
					 struct curl_sockaddr *address)
{
	entry_link_t *link = context;
	int fd = link->spare;

	(void)purpose;
	if (fd >= 0) {
		link->spare = SPARE_GIVEN;
		return fd;
	}
	return socket(address->family, address->socktype | SOCK_CLOEXEC,
		      address->protocol);
}

int entry_transfer_connected(void *context, curl_socket_t fd,
			     curlsocktype purpose)
{
	entry_link_t *link = context;

	(void)fd;
	(void)purpose;
	if (link->spare != SPARE_GIVEN)
		return CURL_SOCKOPT_OK;
	link->spare = -1;
	return CURL_SOCKOPT_ALREADY_CONNECTED;
}
