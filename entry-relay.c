#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>
#include "entry-io.h"

#define RELAY_CONNECT_MS 1000L
#define RELAY_HEADER_MAX 96
#define HTTP_CONFLICT 409
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

/* One send of a request over one link. */
typedef struct {
	entry_request_t *req;
	entry_place_t *place;
	entry_link_t *link;
	size_t offset;	    /* of a held body */
	bool head_whole;    /* the final head has come */
	bool says_retry;    /* Retry-After was there */
	bool says_not_run;  /* Hemlock-Outcome: not-run was there */
	bool says_may_have; /* Hemlock-Outcome: may-have-run */
	bool expired;
	bool gone;
	CURLcode code;
	long bytes_sent;
} relay_t;

static const char *const relay_hop_headers[] = {
	"Connection", "Keep-Alive",	   "Proxy-Connection", "TE",
	"Trailer",    "Transfer-Encoding", "Upgrade",	       "Content-Length",
};

static bool relay_is_hop_header(const char *name, size_t length)
{
	size_t i;

	for (i = 0; i < sizeof(relay_hop_headers) / sizeof(char *); i++)
		if (strlen(relay_hop_headers[i]) == length &&
		    !strncasecmp(relay_hop_headers[i], name, length))
			return true;
	return false;
}

static bool relay_name_is(const char *line, size_t length, const char *name)
{
	return strlen(name) == length && !strncasecmp(line, name, length);
}

/* Wait for a change of the request until its deadline. Lock held. */
static void relay_wait(entry_request_t *req)
{
	struct timespec ts = {
		req->call.deadline / USEC_PER_SEC,
		req->call.deadline % USEC_PER_SEC * 1000,
	};

	pthread_cond_timedwait(&req->changed, &req->lock, &ts);
}

/* Give libcurl the next bytes of a body that is still coming in. */
static size_t relay_read(char *out, size_t size, size_t count, void *context)
{
	relay_t *relay = context;
	entry_request_t *req = relay->req;
	size_t length;

	pthread_mutex_lock(&req->lock);
	while (!entry_buffer_length(&req->body) && !req->body_whole &&
	       !req->gone && time_now() < req->call.deadline)
		relay_wait(req);
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
static int relay_keep_header(entry_answer_t *answer, const char *line,
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

static void relay_note_header(relay_t *relay, const char *line, size_t length,
			      const char *value, size_t value_length)
{
	if (relay_name_is(line, length, "Retry-After"))
		relay->says_retry = true;
	if (relay_name_is(line, length, "Connection") &&
	    !relay->req->answer.connection)
		relay->req->answer.connection = strndup(value, value_length);
	if (relay_name_is(line, length, "Content-Length"))
		relay->req->answer.length = strtoll(value, NULL, 10);
	if (!relay_name_is(line, length, "Hemlock-Outcome"))
		return;
	relay->says_not_run = relay_name_is(value, value_length, "not-run");
	relay->says_may_have = relay_name_is(value, value_length,
					     "may-have-run");
}

/* A line "HTTP/1.1 200 OK" begins a head; an earlier one was a 1xx. */
static void relay_begin_head(relay_t *relay, const char *line, size_t size)
{
	const char *space = memchr(line, ' ', size);

	entry_request_reset(relay->req);
	relay->says_retry = false;
	relay->says_not_run = false;
	relay->says_may_have = false;
	if (space)
		relay->req->answer.status = (unsigned)strtoul(space + 1, NULL,
							      10);
}

static size_t relay_header(char *line, size_t size, size_t count, void *context)
{
	relay_t *relay = context;
	entry_request_t *req = relay->req;
	size_t length = size * count;
	const char *colon;
	const char *value;
	const char *end = line + length;

	if (relay->head_whole)
		return length; /* a trailer */
	if (length > 5 && !strncmp(line, "HTTP/", 5)) {
		relay_begin_head(relay, line, length);
		return length;
	}
	while (end > line && (end[-1] == '\r' || end[-1] == '\n' ||
			      end[-1] == ' ' || end[-1] == '\t'))
		end--;
	if (end == line) {
		relay->head_whole = req->answer.status >= 200;
		req->head_at = time_now();
		return length;
	}
	colon = memchr(line, ':', (size_t)(end - line));
	if (!colon)
		return length;
	for (value = colon + 1;
	     value < end && (*value == ' ' || *value == '\t'); value++)
		;
	relay_note_header(relay, line, (size_t)(colon - line), value,
			  (size_t)(end - value));
	if (relay_is_hop_header(line, (size_t)(colon - line)) ||
	    relay_name_is(line, (size_t)(colon - line), "Hemlock-Outcome"))
		return length;
	if (relay_keep_header(&req->answer, line, (size_t)(colon - line), value,
			      (size_t)(end - value)))
		return 0;
	return length;
}

/* Whether the copy refused the call by a documented status. */
static bool relay_is_shed(const relay_t *relay)
{
	unsigned status = relay->req->answer.status;

	if (relay->says_not_run || status == HTTP_TOO_MANY_REQUESTS)
		return true;
	return status == HTTP_UNAVAILABLE && relay->says_retry;
}

static entry_outcome_t relay_answer_outcome(const relay_t *relay)
{
	if (relay_is_shed(relay))
		return ENTRY_NOT_RUN;
	if (relay->says_may_have ||
	    relay->req->answer.status == HTTP_UNAVAILABLE)
		return ENTRY_MAY_HAVE_RUN;
	return ENTRY_RAN;
}

/*
 * Let the head go out before the answer is whole; true if it may. The answer
 * of a twin and one that a twin overtook may not. Lock held.
 */
static bool relay_publish(relay_t *relay)
{
	entry_request_t *req = relay->req;

	if (req->first || req->overtaken)
		return false;
	req->answer.outcome = relay_answer_outcome(relay);
	req->answer.published = true;
	return true;
}

/* An answer that went out in part is not hedged; a twin comes too late. */
static void relay_no_hedge(entry_request_t *req)
{
	pthread_mutex_lock(&req->route->lock);
	req->call.no_hedge = true;
	entry_hedge_cancel(req);
	pthread_mutex_unlock(&req->route->lock);
}

/* The send is to end: the caller went away or a twin answered. Lock held. */
static bool relay_ends(const entry_request_t *req)
{
	return req->gone || req->overtaken;
}

/* Wait until the caller has taken some of a long answer. Lock held. */
static bool relay_make_room(entry_request_t *req)
{
	const entry_buffer_t *body = &req->answer.body;

	/* Nobody takes the answer of a twin before it is whole. */
	if (req->first && entry_buffer_length(body) > ENTRY_ANSWER_BYTES)
		req->gone = true;
	while (entry_buffer_length(body) > ENTRY_ANSWER_BYTES &&
	       !relay_ends(req) && time_now() < req->call.deadline)
		relay_wait(req);
	return !relay_ends(req) &&
	       entry_buffer_length(body) <= ENTRY_ANSWER_BYTES;
}

static size_t relay_write(char *bytes, size_t size, size_t count, void *context)
{
	relay_t *relay = context;
	entry_request_t *req = relay->req;
	entry_answer_t *answer = &req->answer;
	size_t length = size * count;
	bool begun = false;

	pthread_mutex_lock(&req->lock);
	if (!relay_make_room(req) ||
	    entry_buffer_add(&answer->body, bytes, length))
		length = 0;
	if (!answer->published &&
	    entry_buffer_length(&answer->body) > ENTRY_HOLD_BYTES)
		begun = relay_publish(relay);
	if (answer->published)
		entry_request_wake(req);
	pthread_mutex_unlock(&req->lock);
	if (begun)
		relay_no_hedge(req);
	return length;
}

/* An answer that trickles is relayed as it comes, unless it may be retried. */
static void relay_publish_slow(relay_t *relay, usec_t now)
{
	entry_request_t *req = relay->req;
	bool begun;

	if (!relay->head_whole || req->answer.published || req->first ||
	    req->answer.status >= 500 || relay_is_shed(relay) ||
	    now < req->head_at + ENTRY_HOLD_TIME)
		return;
	pthread_mutex_lock(&req->lock);
	begun = relay_publish(relay);
	entry_request_wake(req);
	pthread_mutex_unlock(&req->lock);
	if (begun)
		relay_no_hedge(req);
}

/* Hand out the socket that was opened ahead, or open one. */
static curl_socket_t relay_open_socket(void *context, curlsocktype purpose,
				       struct curl_sockaddr *address)
{
	entry_link_t *link = context;
	int fd = link->spare;

	(void)purpose;
	if (fd >= 0) {
		link->spare = -2; /* given away, see relay_connected() */
		return fd;
	}
	return socket(address->family, address->socktype | SOCK_CLOEXEC,
		      address->protocol);
}

static int relay_connected(void *context, curl_socket_t fd,
			   curlsocktype purpose)
{
	entry_link_t *link = context;

	(void)fd;
	(void)purpose;
	if (link->spare != -2)
		return CURL_SOCKOPT_OK;
	link->spare = -1;
	return CURL_SOCKOPT_ALREADY_CONNECTED;
}

static void relay_set_body(relay_t *relay)
{
	entry_request_t *req = relay->req;
	CURL *easy = relay->link->easy;

	if (req->head_only) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (req->body_streamed) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
				 (curl_off_t)req->body_length);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, relay_read);
		curl_easy_setopt(easy, CURLOPT_READDATA, relay);
		return;
	}
	if (!req->has_body && strcmp(req->method, "POST") &&
	    strcmp(req->method, "PUT") && strcmp(req->method, "PATCH"))
		return;
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)entry_buffer_length(&req->body));
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
			 entry_buffer_length(&req->body) ?
				 req->body.bytes + req->body.start :
				 "");
}

static void relay_set_options(relay_t *relay, const char *url,
			      struct curl_slist *headers, bool fresh)
{
	entry_request_t *req = relay->req;
	entry_link_t *link = relay->link;
	CURL *easy = link->easy;

	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, req->target);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, RELAY_CONNECT_MS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, relay_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, relay);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, relay_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, relay);
	relay_set_body(relay);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, req->method);
	if (!fresh)
		return;
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	if (link->spare < 0)
		return;
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, relay_open_socket);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, link);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, relay_connected);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, link);
}

static int relay_poll_ms(const relay_t *relay, usec_t now)
{
	const entry_request_t *req = relay->req;
	usec_t until = req->call.deadline;

	if (relay->head_whole && !req->answer.published && !req->first &&
	    req->head_at + ENTRY_HOLD_TIME < until)
		until = req->head_at + ENTRY_HOLD_TIME;
	if (until <= now)
		return 1;
	return (int)((until - now + USEC_PER_MS - 1) / USEC_PER_MS);
}

static bool relay_caller_gone(entry_request_t *req)
{
	bool gone;

	pthread_mutex_lock(&req->lock);
	gone = relay_ends(req);
	pthread_mutex_unlock(&req->lock);
	return gone;
}

/* Drive the transfer until it ends, the deadline passes or the caller goes. */
static void relay_drive(relay_t *relay)
{
	CURLM *multi = relay->link->multi;
	CURLMsg *message;
	int running = 1;
	int left;

	relay->code = CURLE_ABORTED_BY_CALLBACK;
	for (;;) {
		usec_t now;

		if (curl_multi_perform(multi, &running) || !running)
			break;
		now = time_now();
		relay->gone = relay_caller_gone(relay->req);
		relay->expired = now >= relay->req->call.deadline;
		if (relay->gone || relay->expired)
			return;
		relay_publish_slow(relay, now);
		curl_multi_poll(multi, NULL, 0, relay_poll_ms(relay, now),
				NULL);
	}
	while ((message = curl_multi_info_read(multi, &left)))
		if (message->msg == CURLMSG_DONE)
			relay->code = message->data.result;
}

static void relay_set_active(entry_request_t *req, entry_link_t *link)
{
	pthread_mutex_lock(&req->lock);
	req->active = link;
	pthread_mutex_unlock(&req->lock);
}

static entry_result_t relay_result(const relay_t *relay)
{
	bool whole = relay->code == CURLE_OK && relay->head_whole;

	if (relay->gone || (!whole && relay_caller_gone(relay->req)))
		return ENTRY_RESULT_CANCEL;
	if (whole && relay_is_shed(relay))
		return ENTRY_RESULT_SHED;
	if (whole)
		return relay->req->answer.status >= 500 ? ENTRY_RESULT_ERROR :
							  ENTRY_RESULT_OK;
	if (!relay->bytes_sent && !relay->head_whole)
		return ENTRY_RESULT_CONNECT;
	if (relay->expired || time_now() >= relay->req->call.deadline)
		return ENTRY_RESULT_DEADLINE;
	return ENTRY_RESULT_CUT;
}

/* Whether whoever gets this send must leave retries to us or above. */
static bool relay_marks(entry_request_t *req)
{
	bool marks;

	if (req->forward)
		return req->call.no_retry;
	pthread_mutex_lock(&req->route->lock);
	marks = entry_service_marks(&req->route->service, &req->call);
	pthread_mutex_unlock(&req->route->lock);
	return marks;
}

/* Learn what a new connection took, unless it was opened ahead. */
static void relay_learn_connect(entry_request_t *req, CURL *easy)
{
	curl_off_t took = 0;

	curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &took);
	if (req->forward || took <= 0)
		return;
	pthread_mutex_lock(&req->route->lock);
	entry_service_connected(req->call.copy, took);
	pthread_mutex_unlock(&req->route->lock);
}

/* Send once over @place; the answer stands in the request afterwards. */
static entry_result_t relay_send_once(relay_t *relay)
{
	entry_request_t *req = relay->req;
	bool fresh = !req->call.idempotent;
	usec_t left = req->call.deadline - time_now();
	char url[HL_ADDRESS_MAX + sizeof("http:///")];
	char text[RELAY_HEADER_MAX];
	char hop[RELAY_HEADER_MAX];
	char no_retry[] = "Hemlock-No-Retry: 1";
	struct curl_slist deadline = { text, req->headers };
	struct curl_slist from = { hop, &deadline };
	struct curl_slist *headers = req->forward ? &from : &deadline;
	struct curl_slist mark = { no_retry, headers };
	CURL *easy;

	if (left <= 0)
		return ENTRY_RESULT_CONNECT;
	if (req->first && relay_caller_gone(req))
		return ENTRY_RESULT_CANCEL;
	relay->link = entry_place_get(relay->place, fresh);
	if (!relay->link)
		return ENTRY_RESULT_CONNECT;
	easy = relay->link->easy;
	snprintf(url, sizeof(url), "http://%s/", relay->place->address);
	snprintf(text, sizeof(text), "Hemlock-Deadline-Ms: %" PRId64,
		 (left + USEC_PER_MS - 1) / USEC_PER_MS);
	snprintf(hop, sizeof(hop), "Hemlock-Hop: %s",
		 req->entry->settings.name);
	if (relay_marks(req))
		headers = &mark;
	relay_set_options(relay, url, headers, fresh);
	relay_set_active(req, relay->link);
	curl_multi_add_handle(relay->link->multi, easy);
	relay_drive(relay);
	relay_set_active(req, NULL);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &relay->bytes_sent);
	if (relay->head_whole)
		relay_learn_connect(req, easy);
	curl_multi_remove_handle(relay->link->multi, easy);
	entry_place_put(relay->place, relay->link,
			relay->code == CURLE_OK && relay->head_whole);
	if (fresh)
		entry_place_spare(relay->place);
	return relay_result(relay);
}

/* The caller's side may be counting the call at this moment. */
static void relay_set_outcome(entry_request_t *req, entry_outcome_t outcome)
{
	pthread_mutex_lock(&req->lock);
	req->answer.outcome = outcome;
	pthread_mutex_unlock(&req->lock);
}

/* What is true of all sends of a call together: one may have run. */
static entry_outcome_t relay_over_all(entry_request_t *req,
				      entry_outcome_t last)
{
	entry_outcome_t before;

	pthread_mutex_lock(&req->route->lock);
	before = req->call.outcome;
	pthread_mutex_unlock(&req->route->lock);
	return last > before ? last : before;
}

/* The final word when no whole answer came. */
static void relay_fail(entry_request_t *req, entry_result_t result)
{
	bool late = time_now() >= req->call.deadline;
	bool sent = result != ENTRY_RESULT_CONNECT;
	entry_outcome_t outcome;

	outcome = relay_over_all(req,
				 sent ? ENTRY_MAY_HAVE_RUN : ENTRY_NOT_RUN);
	if (result == ENTRY_RESULT_DEADLINE || (!sent && late))
		entry_request_fail(req, HTTP_GATEWAY_TIMEOUT, outcome,
				   "deadline", 0);
	else if (!sent)
		entry_request_fail(req, HTTP_UNAVAILABLE, outcome, "connect",
				   USEC_PER_SEC);
	else
		entry_request_fail(req, HTTP_BAD_GATEWAY, outcome, "cut", 0);
}

void entry_relay_finish(entry_request_t *req, entry_result_t result)
{
	bool whole = result == ENTRY_RESULT_OK ||
		     result == ENTRY_RESULT_ERROR ||
		     result == ENTRY_RESULT_SHED;

	if (result == ENTRY_RESULT_SHED)
		relay_set_outcome(req, relay_over_all(req, ENTRY_NOT_RUN));
	if (whole)
		entry_request_end(req, false);
	else if (req->answer.published)
		entry_request_end(req, true);
	else if (req->repeat)
		entry_request_fail(req, HTTP_CONFLICT, ENTRY_RAN, "key", 0);
	else
		relay_fail(req, result);
}

/* For the baseline that probes: choose the copy first. */
static bool relay_choose(entry_request_t *req)
{
	entry_decision_t decision;

	if (!req->probing)
		return true;
	req->probing = false;
	decision = entry_probe_choose(req);
	if (decision.verdict == ENTRY_SEND)
		return true;
	entry_dispatch_final(req, &decision);
	return false;
}

void entry_relay_send(entry_request_t *req)
{
	relay_t relay = { .req = req };
	entry_result_t result;

	if (!relay_choose(req))
		return;
	if (!entry_owner_may_send(req, time_now())) {
		entry_dispatch_end(req, ENTRY_RESULT_CONNECT, time_now());
		return;
	}
	relay.place = req->forward ? req->forward : req->call.copy->io;
	result = relay_send_once(&relay);
	if (relay.head_whole)
		relay_set_outcome(req, relay_answer_outcome(&relay));
	entry_dispatch_end(req, result, time_now());
}
