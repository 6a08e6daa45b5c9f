#include <stdio.h>
#include <string.h>
#include "entry-once.h"
#include "entry-relay.h"

/*
 * Relay of a request to a copy or a sibling entry, run by worker threads: sets
 * up the transfer of libcurl, drives it, and turns its end into a result.
 */

/* Time that a copy has, after a whole response, to take more of the body. */
#define RELAY_EARLY_RESPONSE_TIMEOUT (300 * USEC_PER_MS)

static void relay_set_body(entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;
	CURL *easy = transfer->conn->easy;

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
	entry_conn_t *conn = transfer->conn;
	CURL *easy = conn->easy;

	curl_easy_reset(easy);
	entry_once_set(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, req->target);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)req->entry->settings.connect_ms);
	if (*req->entry->settings.connect_from)
		curl_easy_setopt(easy, CURLOPT_INTERFACE,
				 req->entry->settings.connect_from);
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
	if (conn->preconnected_fd < 0)
		return;
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION,
			 entry_transfer_open_socket);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, conn);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION,
			 entry_transfer_connected);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, conn);
}

static int relay_poll_ms(const entry_transfer_t *transfer, usec_t now)
{
	const entry_request_t *req = transfer->req;
	usec_t until = req->call.deadline;

	if (transfer->head_complete && !req->response.published &&
	    !req->primary &&
	    req->head_received + ENTRY_RESPONSE_BUFFER_TIME < until)
		until = req->head_received + ENTRY_RESPONSE_BUFFER_TIME;
	if (transfer->whole_at && now + RELAY_EARLY_RESPONSE_TIMEOUT < until)
		until = now + RELAY_EARLY_RESPONSE_TIMEOUT;
	if (until <= now)
		return 1;
	return (int)((until - now + USEC_PER_MS - 1) / USEC_PER_MS);
}

static bool relay_is_cancelled(entry_request_t *req)
{
	bool cancelled;

	pthread_mutex_lock(&req->lock);
	cancelled = entry_transfer_is_cancelled(req);
	pthread_mutex_unlock(&req->lock);
	return cancelled;
}

/* Whether the path of a send is lost, see entry_service_give_up(), before the head
   of a response has arrived. */
static bool relay_is_given_up(const entry_transfer_t *transfer)
{
	return !transfer->head_complete &&
	       __atomic_load_n(&transfer->req->call.given_up, __ATOMIC_ACQUIRE);
}

/*
 * Whether to end a send whose response is whole although the copy has not taken
 * the whole body: it takes no more of it, or the deadline has passed.
 */
static bool relay_ends_early(entry_transfer_t *transfer, usec_t now)
{
	usec_t since;

	if (!transfer->req->body_streamed ||
	    !entry_transfer_response_whole(transfer))
		return false;
	if (!transfer->whole_at)
		transfer->whole_at = now;
	since = transfer->read_at > transfer->whole_at ? transfer->read_at :
							 transfer->whole_at;
	return transfer->expired ||
	       (!transfer->read_paused &&
		now - since >= RELAY_EARLY_RESPONSE_TIMEOUT);
}

/* Drives the transfer until it ends, the deadline passes or it is cancelled. */
static void relay_drive(entry_transfer_t *transfer)
{
	CURLM *multi = transfer->conn->multi;
	CURLMsg *message;
	int running = 1;
	int left;

	transfer->code = CURLE_ABORTED_BY_CALLBACK;
	for (;;) {
		usec_t now;

		if (curl_multi_perform(multi, &running) || !running)
			break;
		now = time_now();
		transfer->cancelled = relay_is_cancelled(transfer->req);
		transfer->expired = now >= transfer->req->call.deadline;
		transfer->early = relay_ends_early(transfer, now);
		transfer->given_up = relay_is_given_up(transfer);
		if (transfer->cancelled || transfer->expired ||
		    transfer->early || transfer->given_up ||
		    entry_transfer_is_mismatched(transfer))
			return;
		entry_transfer_publish_partial(transfer, now);
		curl_multi_poll(multi, NULL, 0, relay_poll_ms(transfer, now),
				NULL);
		entry_transfer_resume_read(transfer);
	}
	while ((message = curl_multi_info_read(multi, &left)))
		if (message->msg == CURLMSG_DONE)
			transfer->code = message->data.result;
}

static void relay_set_active(entry_request_t *req, entry_conn_t *conn)
{
	pthread_mutex_lock(&req->lock);
	req->active_conn = conn;
	pthread_mutex_unlock(&req->lock);
}

static entry_result_t relay_result(const entry_transfer_t *transfer)
{
	bool complete = (transfer->code == CURLE_OK || transfer->early) &&
			transfer->head_complete &&
			!entry_transfer_is_mismatched(transfer);

	if (transfer->cancelled ||
	    (!complete && relay_is_cancelled(transfer->req)))
		return ENTRY_RESULT_CANCEL;
	if (complete && entry_transfer_is_shed(transfer))
		return ENTRY_RESULT_SHED;
	if (complete)
		return transfer->req->response.status >= 500 ?
			       ENTRY_RESULT_ERROR :
			       ENTRY_RESULT_OK;
	if (!transfer->bytes_sent && !transfer->head_complete)
		return ENTRY_RESULT_CONNECT;
	if (transfer->expired || time_now() >= transfer->req->call.deadline)
		return ENTRY_RESULT_DEADLINE;
	return ENTRY_RESULT_TRUNCATED;
}

/* Returns the socket of the last transfer of a handle, or -1. */
static int relay_socket(CURL *easy)
{
	curl_socket_t fd = CURL_SOCKET_BAD;

	curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &fd);
	return fd == CURL_SOCKET_BAD ? -1 : fd;
}

/* Whether libcurl has opened a new connection for the last transfer. */
static bool relay_has_connected(CURL *easy)
{
	long connects = 0;

	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
	return connects > 0;
}

/* Records the round trip time of a new connection to a copy. */
static void relay_record_round_trip(entry_request_t *req, CURL *easy)
{
	usec_t round_trip;

	if (req->forward || req->entry->policy != ENTRY_POLICY_OWNER ||
	    !relay_has_connected(easy))
		return;
	round_trip = entry_conn_round_trip(relay_socket(easy));
	if (round_trip <= 0)
		return;
	pthread_mutex_lock(&req->upstream->lock);
	entry_service_on_connect(req->call.copy, round_trip);
	pthread_mutex_unlock(&req->upstream->lock);
}

/* Whether the connection can carry another call. If libcurl has closed it, the handle
   may still hold an earlier one, whose calls are not known any more. */
static bool relay_keeps_connection(const entry_transfer_t *transfer)
{
	return transfer->conn->fd >= 0 && transfer->code == CURLE_OK &&
	       transfer->head_complete &&
	       !entry_transfer_is_mismatched(transfer);
}

/* Returns the id that the response to a call is checked by; empty if the interface
   has none. */
static const char *relay_checked_id(const entry_request_t *req)
{
	return req->entry->settings.headers->call_id ? req->call_id : "";
}

/* Whether a send must not use an open connection. That may be of a path that is
   lost, so the bytes of a hedge would count as sent. A call without an id cannot tell
   a late response to the call before from its own, nor can any call be sure of its
   response if the copy has sent late ones a short time ago. */
static bool relay_needs_new_connection(const entry_transfer_t *transfer)
{
	const entry_request_t *req = transfer->req;

	if (!req->call.idempotent || req->primary)
		return true;
	if (req->entry->settings.headers->call_id && !*req->call_id)
		return true;
	return entry_conn_pool_renews(transfer->pool, transfer->sent);
}

/* Sends once over the pool of the transfer and stores the response in the
   request. */
static entry_result_t relay_send_once(entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;
	bool once = !req->call.idempotent;
	bool fresh = relay_needs_new_connection(transfer);
	usec_t time_left = req->call.deadline - time_now();
	char url[HL_ADDRESS_MAX + sizeof("http:///")];
	struct curl_slist *headers;
	const char *call_id;
	entry_relay_head_t head;
	CURL *easy;
	bool keep;

	if (time_left <= 0)
		return ENTRY_RESULT_CONNECT;
	if (relay_is_cancelled(req))
		return ENTRY_RESULT_CANCEL;
	call_id = relay_checked_id(req);
	transfer->conn = entry_conn_pool_get(transfer->pool, call_id, once);
	if (!transfer->conn)
		return ENTRY_RESULT_CONNECT;
	easy = transfer->conn->easy;
	snprintf(url, sizeof(url), "http://%s/", transfer->pool->address);
	headers = entry_relay_head(transfer, &head, time_left);
	relay_set_options(transfer, url, headers, fresh);
	relay_set_active(req, transfer->conn);
	curl_multi_add_handle(transfer->conn->multi, easy);
	relay_drive(transfer);
	relay_set_active(req, NULL);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &transfer->bytes_sent);
	if (transfer->head_complete)
		relay_record_round_trip(req, easy);
	if (relay_has_connected(easy))
		entry_conn_reopened(transfer->conn, call_id);
	entry_relay_record_mismatch(transfer);
	transfer->conn->fd = relay_socket(easy);
	keep = relay_keeps_connection(transfer);
	curl_multi_remove_handle(transfer->conn->multi, easy);
	entry_conn_pool_put(transfer->pool, transfer->conn, keep, time_now());
	if (once)
		entry_conn_pool_preconnect(
			transfer->pool, (unsigned)req->entry->settings.spares);
	entry_relay_record(transfer);
	return relay_result(transfer);
}

/* Sets the outcome under req->lock, because the thread of the caller's
   connection may be reading the outcome to count the call. */
static void relay_set_outcome(entry_request_t *req, entry_outcome_t outcome)
{
	pthread_mutex_lock(&req->lock);
	req->response.outcome = outcome;
	pthread_mutex_unlock(&req->lock);
}

/* Combines the outcome of the last send with that of earlier sends, any of
   which may have run. */
static entry_outcome_t relay_combined_outcome(entry_request_t *req,
					      entry_outcome_t last)
{
	entry_outcome_t before;

	pthread_mutex_lock(&req->upstream->lock);
	before = req->call.outcome;
	pthread_mutex_unlock(&req->upstream->lock);
	return last > before ? last : before;
}

/* Returns the wait to suggest to the caller of a call that no copy accepted. */
static usec_t relay_retry_after(entry_request_t *req)
{
	entry_upstream_t *upstream = req->upstream;
	usec_t after;

	pthread_mutex_lock(&upstream->lock);
	after = entry_service_retry_after(&upstream->service, &req->call,
					  time_now());
	pthread_mutex_unlock(&upstream->lock);
	return after;
}

/* Ends a call without a complete response. */
static void relay_fail(entry_request_t *req, entry_result_t result)
{
	bool late = time_now() >= req->call.deadline;
	bool sent = result != ENTRY_RESULT_CONNECT &&
		    result != ENTRY_RESULT_BLOCKED;
	entry_outcome_t outcome;

	outcome = relay_combined_outcome(req, sent ? ENTRY_MAY_HAVE_RUN :
						     ENTRY_NOT_RUN);
	if (result == ENTRY_RESULT_BLOCKED && outcome == ENTRY_NOT_RUN)
		entry_request_fail(req, HTTP_UNAVAILABLE, outcome, "crashes",
				   ENTRY_BLOCKED_RETRY_AFTER);
	else if (result == ENTRY_RESULT_BLOCKED)
		entry_request_fail(req, HTTP_BAD_GATEWAY, outcome, "crashes",
				   0);
	else if (result == ENTRY_RESULT_DEADLINE || (!sent && late))
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
	bool complete = result == ENTRY_RESULT_OK ||
			result == ENTRY_RESULT_ERROR ||
			result == ENTRY_RESULT_SHED;

	if (req->response.published) {
		entry_request_end(req, !complete);
		return;
	}
	if (result == ENTRY_RESULT_SHED)
		relay_set_outcome(req,
				  relay_combined_outcome(req, ENTRY_NOT_RUN));
	if (result == ENTRY_RESULT_SHED &&
	    !req->entry->settings.headers->native)
		entry_request_fail(req, HTTP_UNAVAILABLE,
				   relay_combined_outcome(req, ENTRY_NOT_RUN),
				   "shed", relay_retry_after(req));
	else if (complete)
		entry_request_end(req, false);
	else if (req->replay)
		entry_request_fail(req, HTTP_CONFLICT, ENTRY_RAN, "key", 0);
	else
		relay_fail(req, result);
}

/* Refuses a call that has waited for a copy until the end of a stop and has not run;
   returns whether it does. A slot that is free then is that of a call which was cut
   off. */
static bool relay_refuse_ending(entry_request_t *req)
{
	if (!entry_request_is_ending(req) || req->call.outcome != ENTRY_NOT_RUN)
		return false;
	entry_request_fail_cancelled(req, ENTRY_NOT_RUN);
	entry_request_unref(req);
	return true;
}

/* Chooses a copy by probes, if the policy uses probes. Returns true if the
   request is to be sent now. */
static bool relay_choose_copy(entry_request_t *req)
{
	entry_decision_t decision;

	if (!req->probing)
		return true;
	req->probing = false;
	if (req->entry->policy == ENTRY_POLICY_REPORTS) {
		entry_probe_refresh_reports(req);
		if (relay_refuse_ending(req))
			return false;
		entry_dispatch_decide(req, time_now());
		return false;
	}
	decision = entry_probe_choose(req);
	if (decision.verdict == ENTRY_SEND)
		return true;
	entry_dispatch_refuse(req, &decision);
	return false;
}

/* Returns the connection pool for the send, with a reference, because the copy
   may get another address and pool during the send. */
static entry_conn_pool_t *relay_pool(entry_request_t *req)
{
	entry_conn_pool_t *pool = req->forward;

	pthread_mutex_lock(&req->upstream->lock);
	if (!pool)
		pool = req->call.copy->io;
	entry_conn_pool_ref(pool);
	pthread_mutex_unlock(&req->upstream->lock);
	return pool;
}

/* Finds out why a send was cut. No hedge is sent meanwhile, as it would take the paths
   that may be lost and use up the repeat of the call. */
static void relay_check_cut(const entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;

	pthread_mutex_lock(&req->upstream->lock);
	req->call.no_hedge = true;
	pthread_mutex_unlock(&req->upstream->lock);
	req->paths_lost = !entry_crash_check(req, transfer->pool->address,
					     transfer->sent);
}

void entry_relay_send(entry_request_t *req)
{
	entry_transfer_t transfer = { .req = req };
	entry_result_t result;
	usec_t sent;

	if (!relay_choose_copy(req))
		return;
	if (!entry_owner_may_send(req, time_now())) {
		entry_dispatch_end(req, ENTRY_RESULT_CONNECT, time_now());
		return;
	}
	if (entry_crash_is_blocked(req)) {
		entry_dispatch_end(req, ENTRY_RESULT_BLOCKED, time_now());
		return;
	}
	sent = time_now();
	transfer.sent = sent;
	entry_trace_sent(req, sent);
	entry_config_count_send(req, sent);
	transfer.pool = relay_pool(req);
	result = relay_send_once(&transfer);
	req->paths_lost = transfer.given_up;
	if (result == ENTRY_RESULT_TRUNCATED && !transfer.given_up &&
	    !transfer.mismatched)
		relay_check_cut(&transfer);
	else if (result == ENTRY_RESULT_OK)
		entry_crash_on_answer(req);
	entry_conn_pool_unref(transfer.pool);
	if (transfer.head_complete && !transfer.mismatched)
		relay_set_outcome(req, entry_transfer_outcome(&transfer));
	if (transfer.given_up)
		entry_trace_given_up(req);
	if (result != ENTRY_RESULT_OK)
		entry_trace_failed(req, result, sent, time_now());
	entry_dispatch_end(req, result, time_now());
}
