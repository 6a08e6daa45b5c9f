#include <stdio.h>
#include <string.h>
#include "entry-io.h"

#define HEDGE_LABELS_MAX 96

/* Copy what a second send needs; -1 without memory. */
static int hedge_copy(entry_request_t *twin, entry_request_t *first)
{
	const entry_buffer_t *body = &first->body;
	const struct curl_slist *item;
	struct curl_slist *list;

	for (item = first->headers; item; item = item->next) {
		list = curl_slist_append(twin->headers, item->data);
		if (!list)
			return -1;
		twin->headers = list;
	}
	memcpy(twin->call_id, first->call_id, sizeof(twin->call_id));
	memcpy(twin->rule_name, first->rule_name, sizeof(twin->rule_name));
	twin->caller_deadline = first->caller_deadline;
	twin->method = strdup(first->method);
	if (!twin->method)
		return -1;
	twin->has_body = first->has_body;
	twin->body_length = first->body_length;
	twin->body_whole = true;
	twin->head_only = first->head_only;
	if (!entry_buffer_length(body))
		return 0;
	return entry_buffer_add(&twin->body, body->bytes + body->start,
				entry_buffer_length(body));
}

static entry_request_t *hedge_new(entry_request_t *first)
{
	entry_request_t *twin = entry_request_new(first->entry, first->target);

	if (!twin)
		return NULL;
	if (hedge_copy(twin, first)) {
		entry_request_unref(twin);
		return NULL;
	}
	twin->route = first->route;
	twin->call.copy = first->call.hedged_copy;
	twin->call.arrived = first->call.arrived;
	twin->call.deadline = first->call.deadline;
	twin->call.idempotent = true;
	twin->call.no_retry = first->call.no_retry;
	return twin;
}

/* Count a second send of this service. Route's lock held. */
static void hedge_count(entry_route_t *route, metrics_t *metrics)
{
	char labels[HEDGE_LABELS_MAX];

	if (!route->hedges_sent) {
		snprintf(labels, sizeof(labels), "service=\"%s\"", route->name);
		route->hedges_won = metrics_counter(
			metrics, "hemlock_hedges_won_total", labels,
			"Second sends whose answer went to the caller.");
		route->hedges_sent = metrics_counter(
			metrics, "hemlock_hedges_sent_total", labels,
			"Second sends of slow calls, paid for from the budget.");
	}
	metrics_add(route->hedges_sent, 1);
}

/*
 * Make the twin of a call that gets a second send; NULL without memory. A call
 * gets one at most, so that no more than two sends of it ever run together.
 * Route's lock held.
 */
static entry_request_t *hedge_begin(entry_call_t *call, usec_t now)
{
	entry_request_t *first;
	entry_request_t *twin;

	first = caa_container_of(call, entry_request_t, call);
	call->no_hedge = true;
	twin = hedge_new(first);
	if (!twin) {
		entry_service_hedge_end(&first->route->service, call,
					ENTRY_RESULT_CONNECT, now);
		return NULL;
	}
	hedge_count(first->route, first->entry->metrics);
	entry_request_ref(first);
	twin->primary = first;
	first->twin = twin;
	pthread_mutex_lock(&first->lock);
	twin->cancelled = first->cancelled;
	pthread_mutex_unlock(&first->lock);
	return twin;
}

usec_t entry_hedge_due(const entry_request_t *req)
{
	usec_t after = req->route->service.profile->hedge_after_ms *
		       USEC_PER_MS;

	if (req->call.hedge_after)
		after = req->call.hedge_after;
	return after ? req->call.sent + after : INT64_MAX;
}

usec_t entry_hedge_send_due(entry_route_t *route, usec_t now)
{
	entry_request_t *twin;
	entry_call_t *call;
	usec_t due;

	do {
		twin = NULL;
		pthread_mutex_lock(&route->lock);
		call = entry_service_hedge(&route->service, now);
		if (call)
			twin = hedge_begin(call, now);
		due = INT64_MAX;
		if (!cds_list_empty(&route->service.running))
			due = entry_service_hedge_due(&route->service, now);
		pthread_mutex_unlock(&route->lock);
		if (twin)
			entry_work_push(twin->entry->work, twin);
	} while (call);
	return due;
}

void entry_hedge_cancel(entry_request_t *req)
{
	entry_request_t *twin = req->twin;

	if (!twin)
		return;
	pthread_mutex_lock(&twin->lock);
	twin->cancelled = true;
	pthread_cond_broadcast(&twin->changed);
	if (twin->active)
		curl_multi_wakeup(twin->active->multi);
	pthread_mutex_unlock(&twin->lock);
}

void entry_hedge_take(entry_request_t *req, entry_request_t *twin,
		      entry_result_t result)
{
	entry_response_t *from = &twin->response;
	entry_response_t *to = &req->response;
	entry_buffer_t body;

	if (result == ENTRY_RESULT_OK)
		metrics_add(req->route->hedges_won, 1);
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

/* The twin answered: end the first send, unless its answer is on its way. */
static void hedge_win(entry_request_t *first, entry_request_t *twin)
{
	if (first->over)
		return;
	pthread_mutex_lock(&first->lock);
	if (!first->response.published) {
		first->overtaken = true;
		first->winner = twin;
		entry_request_ref(twin);
		pthread_cond_broadcast(&first->changed);
		if (first->active)
			curl_multi_wakeup(first->active->multi);
	}
	pthread_mutex_unlock(&first->lock);
}

/*
 * The first send had failed, so that the twin's is the call's send and ends
 * it. What a twin could not hold is cut, for the caller is still there.
 */
static void hedge_end_as_first(entry_request_t *first, entry_request_t *twin,
			       entry_result_t result, usec_t now)
{
	bool gone;

	pthread_mutex_lock(&first->lock);
	gone = first->cancelled;
	pthread_mutex_unlock(&first->lock);
	if (result == ENTRY_RESULT_CANCEL && !gone)
		result = ENTRY_RESULT_TRUNCATED;
	entry_hedge_take(first, twin, result);
	entry_dispatch_end(first, result, now);
}

void entry_hedge_end(entry_request_t *twin, entry_result_t result, usec_t now)
{
	entry_request_t *first = twin->primary;
	entry_route_t *route = twin->route;
	entry_decision_t decision;
	bool alone;

	pthread_mutex_lock(&route->lock);
	first->twin = NULL;
	alone = !first->call.hedged_copy;
	if (!alone) {
		decision = entry_service_hedge_end(&route->service,
						   &first->call, result, now);
		if (decision.verdict == ENTRY_RESPOND)
			hedge_win(first, twin);
	}
	pthread_mutex_unlock(&route->lock);
	if (alone)
		hedge_end_as_first(first, twin, result, now);
	entry_request_unref(first);
	entry_request_unref(twin);
	if (!alone)
		entry_dispatch_next(route, now);
}
