#include <stdio.h>
#include <string.h>
#include "entry-io.h"

/*
 * Hedges: an idempotent call that is slow is sent to a second copy. The first
 * successful response is relayed and the other send is cancelled.
 */

#define HEDGE_LABELS_MAX 96

/* Copies the parts of a request that its hedge needs; -1 if out of memory. */
static int hedge_copy_request(entry_request_t *hedge, entry_request_t *primary)
{
	const entry_buffer_t *body = &primary->body;
	const struct curl_slist *item;
	struct curl_slist *list;

	for (item = primary->headers; item; item = item->next) {
		list = curl_slist_append(hedge->headers, item->data);
		if (!list)
			return -1;
		hedge->headers = list;
	}
	memcpy(hedge->call_id, primary->call_id, sizeof(hedge->call_id));
	memcpy(hedge->rule_name, primary->rule_name, sizeof(hedge->rule_name));
	hedge->rules_revision = primary->rules_revision;
	hedge->confirmed_at = primary->confirmed_at;
	hedge->caller_deadline = primary->caller_deadline;
	hedge->method = strdup(primary->method);
	if (!hedge->method)
		return -1;
	hedge->has_body = primary->has_body;
	hedge->body_length = primary->body_length;
	hedge->body_complete = true;
	hedge->head_only = primary->head_only;
	if (!entry_buffer_length(body))
		return 0;
	return entry_buffer_add(&hedge->body, body->bytes + body->start,
				entry_buffer_length(body));
}

static entry_request_t *hedge_new(entry_request_t *primary)
{
	entry_request_t *hedge = entry_request_new(primary->entry,
						   primary->target);

	if (!hedge)
		return NULL;
	if (hedge_copy_request(hedge, primary)) {
		entry_request_unref(hedge);
		return NULL;
	}
	hedge->upstream = primary->upstream;
	hedge->call.copy = primary->call.hedged_copy;
	hedge->call.sent = primary->call.hedge_sent;
	hedge->call.arrived = primary->call.arrived;
	hedge->call.deadline = primary->call.deadline;
	hedge->call.idempotent = true;
	hedge->call.no_retry = primary->call.no_retry;
	return hedge;
}

/* Counts a hedge of this service. The caller holds upstream->lock. */
static void hedge_count(entry_upstream_t *upstream, metrics_t *metrics)
{
	char labels[HEDGE_LABELS_MAX];

	if (!upstream->hedges_sent) {
		snprintf(labels, sizeof(labels), "service=\"%s\"",
			 upstream->name);
		upstream->hedges_won = metrics_counter(
			metrics, "hemlock_hedges_won_total", labels,
			"Second sends whose answer went to the caller.");
		upstream->hedges_sent = metrics_counter(
			metrics, "hemlock_hedges_sent_total", labels,
			"Second sends of slow calls, paid for from the budget.");
	}
	metrics_add(upstream->hedges_sent, 1);
}

/*
 * Creates the hedge of a call; returns NULL if out of memory. A call gets at
 * most one hedge, so that no more than two sends of the call run in parallel.
 * The caller holds the lock of the upstream.
 */
static entry_request_t *hedge_start(entry_call_t *call, usec_t now)
{
	entry_request_t *primary;
	entry_request_t *hedge;

	primary = caa_container_of(call, entry_request_t, call);
	call->hedged = true;
	hedge = hedge_new(primary);
	if (!hedge) {
		entry_service_hedge_end(&primary->upstream->service, call,
					ENTRY_RESULT_CONNECT, now);
		return NULL;
	}
	hedge_count(primary->upstream, primary->entry->metrics);
	entry_request_ref(primary);
	hedge->primary = primary;
	primary->hedge = hedge;
	pthread_mutex_lock(&primary->lock);
	hedge->cancelled = primary->cancelled;
	pthread_mutex_unlock(&primary->lock);
	return hedge;
}

usec_t entry_hedge_due(const entry_request_t *req)
{
	usec_t after = req->upstream->service.profile->hedge_after_ms *
		       USEC_PER_MS;

	if (req->call.hedge_after)
		after = req->call.hedge_after;
	return after ? req->call.sent + after : INT64_MAX;
}

usec_t entry_hedge_send_due(entry_upstream_t *upstream, usec_t now)
{
	entry_request_t *hedge;
	entry_call_t *call;
	usec_t due;

	do {
		hedge = NULL;
		pthread_mutex_lock(&upstream->lock);
		call = entry_service_hedge(&upstream->service, now);
		if (call)
			hedge = hedge_start(call, now);
		due = INT64_MAX;
		if (!cds_list_empty(&upstream->service.running))
			due = entry_service_hedge_due(&upstream->service, now);
		pthread_mutex_unlock(&upstream->lock);
		if (hedge)
			entry_work_push(hedge->entry->work, hedge);
	} while (call);
	return due;
}

void entry_hedge_cancel(entry_request_t *req)
{
	entry_request_t *hedge = req->hedge;

	if (!hedge)
		return;
	pthread_mutex_lock(&hedge->lock);
	hedge->cancelled = true;
	entry_request_wake_sender(hedge);
	pthread_mutex_unlock(&hedge->lock);
}

void entry_hedge_move_response(entry_request_t *req, entry_request_t *hedge,
			       entry_result_t result)
{
	entry_response_t *from = &hedge->response;
	entry_response_t *to = &req->response;
	entry_buffer_t body;

	if (result == ENTRY_RESULT_OK)
		metrics_add(req->upstream->hedges_won, 1);
	entry_request_reset(req);
	pthread_mutex_lock(&req->lock);
	cds_list_splice(&from->headers, &to->headers);
	CDS_INIT_LIST_HEAD(&from->headers);
	to->connection = from->connection;
	from->connection = NULL;
	to->status = from->status;
	to->length = from->length;
	to->outcome = from->outcome;
	body = to->body;
	to->body = from->body;
	from->body = body;
	pthread_mutex_unlock(&req->lock);
}

/* Ends the primary send because the hedge got a response, unless the response
   of the primary send is already being relayed. */
static void hedge_win(entry_request_t *primary, entry_request_t *hedge)
{
	if (primary->finished)
		return;
	pthread_mutex_lock(&primary->lock);
	if (!primary->response.published) {
		primary->hedge_won = true;
		primary->winning_hedge = hedge;
		entry_request_ref(hedge);
		entry_request_wake_sender(primary);
	}
	pthread_mutex_unlock(&primary->lock);
}

/*
 * Ends a call by its hedge, after the primary send has failed. A hedge that
 * cancelled itself, because the response exceeded its buffer, counts as
 * truncated if the caller is still connected.
 */
static void hedge_end_as_primary(entry_request_t *primary,
				 entry_request_t *hedge, entry_result_t result,
				 usec_t now)
{
	bool caller_left;

	pthread_mutex_lock(&primary->lock);
	caller_left = primary->cancelled;
	pthread_mutex_unlock(&primary->lock);
	if (result == ENTRY_RESULT_CANCEL && !caller_left)
		result = ENTRY_RESULT_TRUNCATED;
	entry_hedge_move_response(primary, hedge, result);
	entry_dispatch_end(primary, result, now);
}

void entry_hedge_end(entry_request_t *hedge, entry_result_t result, usec_t now)
{
	entry_request_t *primary = hedge->primary;
	entry_upstream_t *upstream = hedge->upstream;
	entry_decision_t decision;
	bool is_only_send;

	pthread_mutex_lock(&upstream->lock);
	primary->hedge = NULL;
	is_only_send = !primary->call.hedged_copy;
	if (!is_only_send) {
		decision = entry_service_hedge_end(&upstream->service,
						   &primary->call, result, now);
		if (decision.verdict == ENTRY_RESPOND)
			hedge_win(primary, hedge);
	}
	pthread_mutex_unlock(&upstream->lock);
	if (result == ENTRY_RESULT_CONNECT)
		entry_tick_schedule_soon(primary->entry, now);
	if (is_only_send)
		hedge_end_as_primary(primary, hedge, result, now);
	entry_request_unref(primary);
	entry_request_unref(hedge);
	if (!is_only_send)
		entry_dispatch_next(upstream, now);
}
