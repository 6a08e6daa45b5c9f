#include <stdio.h>
#include <string.h>
#include "entry-transfer.h"

#define RELAY_HEADER_MAX (2 * HL_NAME_MAX)
#define RELAY_HOP_MAX (sizeof("Hemlock-Hop: ") + KEYS_HOP_MAX)
#define HTTP_CONFLICT 409
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

static void relay_set_body(entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;
	CURL *easy = transfer->link->easy;

	if (req->head_only) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (req->body_streamed) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
				 (curl_off_t)req->body_length);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION,
				 entry_transfer_read);
		curl_easy_setopt(easy, CURLOPT_READDATA, transfer);
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

static void relay_set_options(entry_transfer_t *transfer, const char *url,
			      struct curl_slist *headers, bool fresh)
{
	entry_request_t *req = transfer->req;
	entry_link_t *link = transfer->link;
	CURL *easy = link->easy;

	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, req->target);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)req->entry->settings.connect_ms);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, entry_transfer_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, entry_transfer_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	relay_set_body(transfer);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, req->method);
	if (!fresh)
		return;
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	if (link->spare < 0)
		return;
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION,
			 entry_transfer_open_socket);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, link);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION,
			 entry_transfer_connected);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, link);
}

static int relay_poll_ms(const entry_transfer_t *transfer, usec_t now)
{
	const entry_request_t *req = transfer->req;
	usec_t until = req->call.deadline;

	if (transfer->head_whole && !req->response.published && !req->primary &&
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
	gone = entry_transfer_ends(req);
	pthread_mutex_unlock(&req->lock);
	return gone;
}

/* An answer that belongs to another call, or that no copy made. */
static bool relay_is_foreign(const entry_transfer_t *transfer)
{
	return transfer->head_whole && !entry_transfer_is_shed(transfer) &&
	       !entry_transfer_belongs(transfer);
}

/* Drive the transfer until it ends, the deadline passes or the caller goes. */
static void relay_drive(entry_transfer_t *transfer)
{
	CURLM *multi = transfer->link->multi;
	CURLMsg *message;
	int running = 1;
	int left;

	transfer->code = CURLE_ABORTED_BY_CALLBACK;
	for (;;) {
		usec_t now;

		if (curl_multi_perform(multi, &running) || !running)
			break;
		now = time_now();
		transfer->gone = relay_caller_gone(transfer->req);
		transfer->expired = now >= transfer->req->call.deadline;
		if (transfer->gone || transfer->expired ||
		    relay_is_foreign(transfer))
			return;
		entry_transfer_publish_slow(transfer, now);
		curl_multi_poll(multi, NULL, 0, relay_poll_ms(transfer, now),
				NULL);
	}
	while ((message = curl_multi_info_read(multi, &left)))
		if (message->msg == CURLMSG_DONE)
			transfer->code = message->data.result;
}

static void relay_set_active(entry_request_t *req, entry_link_t *link)
{
	pthread_mutex_lock(&req->lock);
	req->active = link;
	pthread_mutex_unlock(&req->lock);
}

static entry_result_t relay_result(const entry_transfer_t *transfer)
{
	bool whole = transfer->code == CURLE_OK && transfer->head_whole &&
		     !relay_is_foreign(transfer);

	if (transfer->gone || (!whole && relay_caller_gone(transfer->req)))
		return ENTRY_RESULT_CANCEL;
	if (whole && entry_transfer_is_shed(transfer))
		return ENTRY_RESULT_SHED;
	if (whole)
		return transfer->req->response.status >= 500 ?
			       ENTRY_RESULT_ERROR :
			       ENTRY_RESULT_OK;
	if (!transfer->bytes_sent && !transfer->head_whole)
		return ENTRY_RESULT_CONNECT;
	if (transfer->expired || time_now() >= transfer->req->call.deadline)
		return ENTRY_RESULT_DEADLINE;
	return ENTRY_RESULT_TRUNCATED;
}

/* Whether whoever gets this send must leave retries to us or above. */
static bool relay_marks(entry_request_t *req)
{
	bool marks;

	if (req->forward)
		return req->call.no_retry;
	pthread_mutex_lock(&req->route->lock);
	marks = entry_service_sets_no_retry(&req->route->service, &req->call);
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
	entry_service_on_connect(req->call.copy, took);
	pthread_mutex_unlock(&req->route->lock);
}

/* An entry that takes the call over checks that another one sent it. */
static void relay_write_hop(entry_request_t *req, char *out, size_t size)
{
	char value[KEYS_HOP_MAX] = "";

	if (req->forward)
		keys_hop_write(req->entry->keys, req->entry->settings.name,
			       req->route->name,
			       g_get_real_time() / USEC_PER_MS, value);
	snprintf(out, size, "Hemlock-Hop: %s", value);
}

/*
 * Tell a sibling that takes a call from us how many more wait, so that it can
 * offer for them with its answer. Return: the headers, @list first if it says.
 */
static struct curl_slist *relay_tell_queue(entry_request_t *req,
					   struct curl_slist *list)
{
	unsigned waiting;

	if (!req->handed_over)
		return list->next;
	pthread_mutex_lock(&req->route->lock);
	waiting = entry_service_waiting(&req->route->service);
	pthread_mutex_unlock(&req->route->lock);
	if (!waiting)
		return list->next;
	if (waiting > ENTRY_QUEUE_TOLD_MAX)
		waiting = ENTRY_QUEUE_TOLD_MAX;
	snprintf(list->data, RELAY_HEADER_MAX, "Hemlock-Queue: %u", waiting);
	metrics_add(req->entry->lend_header_bytes,
		    strlen(list->data) + sizeof("\r\n") - 1);
	return list;
}

/* Headers of one send, in front of those that the caller sent. */
typedef struct {
	char deadline[RELAY_HEADER_MAX];
	char hop[RELAY_HOP_MAX];
	char queue[RELAY_HEADER_MAX];
	char no_retry[sizeof("Hemlock-No-Retry: 1")];
	char copy[RELAY_HEADER_MAX];
	struct curl_slist nodes[5];
} relay_head_t;

static struct curl_slist *relay_push(relay_head_t *head, unsigned at,
				     char *line, struct curl_slist *next)
{
	head->nodes[at].data = line;
	head->nodes[at].next = next;
	return &head->nodes[at];
}

/* To a copy under the interface of others. */
static struct curl_slist *relay_head_plain(entry_request_t *req,
					   relay_head_t *head,
					   struct curl_slist *list)
{
	const char *name = req->entry->settings.headers->expected_copy;

	if (!name)
		return list;
	snprintf(head->copy, sizeof(head->copy), "%s: %s", name,
		 req->call.copy->name);
	return relay_push(head, 1, head->copy, list);
}

/* To a copy or a sibling under our own. */
static struct curl_slist *relay_head_own(entry_request_t *req,
					 relay_head_t *head,
					 struct curl_slist *list)
{
	struct curl_slist *told;

	relay_write_hop(req, head->hop, sizeof(head->hop));
	if (req->forward)
		list = relay_push(head, 1, head->hop, list);
	told = relay_push(head, 2, head->queue, list);
	list = relay_tell_queue(req, told);
	strcpy(head->no_retry, "Hemlock-No-Retry: 1");
	if (relay_marks(req))
		list = relay_push(head, 3, head->no_retry, list);
	return list;
}

static struct curl_slist *relay_head(entry_request_t *req, relay_head_t *head,
				     usec_t left)
{
	const headers_t *names = req->entry->settings.headers;
	struct curl_slist *list;

	snprintf(head->deadline, sizeof(head->deadline), "%s: %" PRId64,
		 names->deadline_ms, (left + USEC_PER_MS - 1) / USEC_PER_MS);
	list = relay_push(head, 0, head->deadline, req->headers);
	return names->own ? relay_head_own(req, head, list) :
			    relay_head_plain(req, head, list);
}

/* The answer told how its copy is. */
static void relay_learn_load(entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;
	entry_route_t *route = req->route;

	if (!transfer->has_load || req->forward)
		return;
	pthread_mutex_lock(&route->lock);
	entry_service_on_report(&route->service, req->call.copy,
				&transfer->load, true, time_now());
	pthread_mutex_unlock(&route->lock);
}

/* Send once over @place; the answer stands in the request afterwards. */
static entry_result_t relay_send_once(entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;
	bool fresh = !req->call.idempotent;
	usec_t left = req->call.deadline - time_now();
	char url[HL_ADDRESS_MAX + sizeof("http:///")];
	struct curl_slist *headers;
	relay_head_t head;
	CURL *easy;

	if (left <= 0)
		return ENTRY_RESULT_CONNECT;
	if (relay_caller_gone(req))
		return ENTRY_RESULT_CANCEL;
	transfer->link = entry_place_get(transfer->place, fresh);
	if (!transfer->link)
		return ENTRY_RESULT_CONNECT;
	easy = transfer->link->easy;
	snprintf(url, sizeof(url), "http://%s/", transfer->place->address);
	headers = relay_head(req, &head, left);
	relay_set_options(transfer, url, headers, fresh);
	relay_set_active(req, transfer->link);
	curl_multi_add_handle(transfer->link->multi, easy);
	relay_drive(transfer);
	relay_set_active(req, NULL);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &transfer->bytes_sent);
	if (transfer->head_whole)
		relay_learn_connect(req, easy);
	curl_multi_remove_handle(transfer->link->multi, easy);
	entry_place_put(transfer->place, transfer->link,
			transfer->code == CURLE_OK && transfer->head_whole &&
				!relay_is_foreign(transfer));
	if (fresh)
		entry_place_spare(transfer->place,
				  (unsigned)req->entry->settings.spares);
	relay_learn_load(transfer);
	return relay_result(transfer);
}

/* The caller's side may be counting the call at this moment. */
static void relay_set_outcome(entry_request_t *req, entry_outcome_t outcome)
{
	pthread_mutex_lock(&req->lock);
	req->response.outcome = outcome;
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

/* When the caller of a call that no copy took may come back. */
static usec_t relay_retry_after(entry_request_t *req)
{
	entry_route_t *route = req->route;
	usec_t after;

	pthread_mutex_lock(&route->lock);
	after = entry_service_retry_after(&route->service, &req->call,
					  time_now());
	pthread_mutex_unlock(&route->lock);
	return after;
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
				   relay_retry_after(req));
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
	if (result == ENTRY_RESULT_SHED && !req->entry->settings.headers->own)
		entry_request_fail(req, HTTP_UNAVAILABLE,
				   relay_over_all(req, ENTRY_NOT_RUN), "shed",
				   relay_retry_after(req));
	else if (whole)
		entry_request_end(req, false);
	else if (req->response.published)
		entry_request_end(req, true);
	else if (req->replay)
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
	if (req->entry->policy == ENTRY_POLICY_REPORTS) {
		entry_probe_reports(req);
		entry_dispatch_decide(req, time_now());
		return false;
	}
	decision = entry_probe_choose(req);
	if (decision.verdict == ENTRY_SEND)
		return true;
	entry_dispatch_final(req, &decision);
	return false;
}

/* Where it goes, with a reference: a copy may move meanwhile. */
static entry_conn_pool_t *relay_place(entry_request_t *req)
{
	entry_conn_pool_t *place = req->forward;

	pthread_mutex_lock(&req->route->lock);
	if (!place)
		place = req->call.copy->io;
	entry_place_ref(place);
	pthread_mutex_unlock(&req->route->lock);
	return place;
}

/* One line for each send: what it rests on. */
void entry_relay_send(entry_request_t *req)
{
	entry_transfer_t transfer = { .req = req };
	entry_result_t result;
	usec_t sent;

	if (!relay_choose(req))
		return;
	if (!entry_owner_may_send(req, time_now())) {
		entry_dispatch_end(req, ENTRY_RESULT_CONNECT, time_now());
		return;
	}
	sent = time_now();
	entry_trace_sent(req, sent);
	transfer.place = relay_place(req);
	result = relay_send_once(&transfer);
	entry_conn_pool_unref(transfer.place);
	if (transfer.head_whole)
		relay_set_outcome(req, entry_transfer_outcome(&transfer));
	if (result != ENTRY_RESULT_OK)
		entry_trace_failed(req, result, sent, time_now());
	entry_dispatch_end(req, result, time_now());
}
