#include "entry-io.h"

static entry_request_t *dispatch_request(entry_call_t *call)
{
	return caa_container_of(call, entry_request_t, call);
}

void entry_dispatch_next(entry_route_t *route, usec_t now)
{
	entry_request_t *req;
	entry_call_t *call;
	usec_t due;

	for (;;) {
		pthread_mutex_lock(&route->lock);
		call = entry_service_next(&route->service, now);
		req = call ? dispatch_request(call) : NULL;
		due = req ? entry_hedge_due(req) : INT64_MAX;
		pthread_mutex_unlock(&route->lock);
		if (!req)
			return;
		entry_tick_schedule(req->entry, due);
		entry_work_push(req->entry->work, req);
	}
}

/* A call that was sent before it is refused may have run. */
static void dispatch_refuse(entry_request_t *req,
			    const entry_decision_t *decision)
{
	entry_request_fail(req, entry_refusal_status(decision->refusal),
			   req->call.outcome,
			   entry_refusal_name(decision->refusal),
			   decision->retry_after);
}

void entry_dispatch_final(entry_request_t *req,
			  const entry_decision_t *decision)
{
	dispatch_refuse(req, decision);
	entry_request_unref(req);
}

void entry_dispatch_expire(entry_route_t *route, usec_t now)
{
	entry_decision_t decision;
	entry_call_t *call;

	do {
		pthread_mutex_lock(&route->lock);
		call = entry_service_expire(&route->service, now, &decision);
		pthread_mutex_unlock(&route->lock);
		if (!call)
			break;
		entry_dispatch_final(dispatch_request(call), &decision);
	} while (call);
}

void entry_dispatch_arrive(entry_request_t *req, usec_t now)
{
	const entry_t *entry = req->entry;

	entry_request_ref(req);
	req->call.no_hedge = req->body_streamed;
	if (req->forward) {
		entry_work_push(req->entry->work, req);
		return;
	}
	if (entry->policy == ENTRY_POLICY_TWO_CHOICES || entry->prober) {
		req->probing = true;
		entry_work_push(req->entry->work, req);
		return;
	}
	entry_dispatch_decide(req, now);
}

void entry_dispatch_decide(entry_request_t *req, usec_t now)
{
	entry_route_t *route = req->route;
	entry_decision_t decision;
	usec_t due = INT64_MAX;

	pthread_mutex_lock(&route->lock);
	decision = entry_service_arrive(&route->service, &req->call, now);
	if (decision.verdict == ENTRY_SEND)
		due = entry_hedge_due(req);
	pthread_mutex_unlock(&route->lock);
	switch (decision.verdict) {
	case ENTRY_SEND:
		entry_tick_schedule(req->entry, due);
		entry_work_push(req->entry->work, req);
		break;
	case ENTRY_WAIT:
		entry_dispatch_expire(route, now);
		entry_dispatch_next(route, now);
		if (req->entry->owner)
			owner_wake(req->entry->owner);
		entry_tick_schedule_soon(req->entry, now);
		break;
	default:
		entry_dispatch_final(req, &decision);
		break;
	}
}

/*
 * A sibling that cannot take what it offered, or that is gone, leaves the call
 * to us, unless a body that is not held has gone there.
 */
static void dispatch_forward_end(entry_request_t *req, entry_result_t result,
				 usec_t now)
{
	bool refused = req->handed_over && result == ENTRY_RESULT_SHED;
	bool again = !req->body_spent &&
		     (refused || result == ENTRY_RESULT_CONNECT);

	if (req->offered)
		entry_forward_waiting(req->route, req->forward->address,
				      req->offered);
	if (!again || now >= req->call.deadline) {
		entry_relay_finish(req, result);
		entry_request_unref(req);
		return;
	}
	req->handed_over = false;
	entry_conn_pool_unref(req->forward);
	req->forward = NULL;
	entry_request_reset(req);
	entry_dispatch_arrive(req, now);
	entry_request_unref(req);
}

/*
 * Decide what follows a send, and tell a twin when the call is over. A send
 * that its twin overtook has been cancelled, whatever it came to after that,
 * unless it answered too. Route's lock held.
 */
static entry_decision_t dispatch_decide(entry_request_t *req,
					entry_result_t *result, usec_t now)
{
	entry_decision_t decision;

	if (req->response.published)
		req->call.idempotent = false;
	if (req->body_spent)
		req->call.not_replayable = true;
	if (req->winner && *result != ENTRY_RESULT_OK)
		*result = ENTRY_RESULT_CANCEL;
	decision = entry_service_end(&req->route->service, &req->call, *result,
				     now);
	if (decision.verdict == ENTRY_WAIT) {
		entry_request_reset(req);
		return decision;
	}
	req->over = true;
	entry_hedge_cancel(req);
	if (decision.verdict == ENTRY_RESPOND)
		entry_forward_offer(req, now);
	return decision;
}

/* Give the caller the answer of this send or of the twin that overtook it. */
static void dispatch_answer(entry_request_t *req, entry_result_t result)
{
	if (req->winner && result != ENTRY_RESULT_OK) {
		result = ENTRY_RESULT_OK;
		entry_hedge_take(req, req->winner, result);
	}
	entry_relay_finish(req, result);
}

void entry_dispatch_end(entry_request_t *req, entry_result_t result, usec_t now)
{
	entry_route_t *route = req->route;
	entry_t *entry = req->entry;
	entry_decision_t decision;

	if (req->primary) {
		entry_hedge_end(req, result, now);
		return;
	}
	if (req->forward) {
		dispatch_forward_end(req, result, now);
		return;
	}
	pthread_mutex_lock(&route->lock);
	decision = dispatch_decide(req, &result, now);
	pthread_mutex_unlock(&route->lock);
	if (decision.verdict == ENTRY_REFUSE)
		dispatch_refuse(req, &decision);
	else if (decision.verdict == ENTRY_RESPOND)
		dispatch_answer(req, result);
	if (decision.verdict == ENTRY_WAIT)
		entry_tick_schedule_soon(entry, now);
	else
		entry_request_unref(req);
	entry_dispatch_next(route, now);
}
