#include "entry-io.h"

/*
 * Dispatch of requests: passes arrivals and ends of sends to the decision code
 * of the service, under the lock of its upstream, and acts on the decisions.
 */

static entry_request_t *dispatch_request(entry_call_t *call)
{
	return caa_container_of(call, entry_request_t, call);
}

void entry_dispatch_next(entry_upstream_t *upstream, usec_t now)
{
	entry_request_t *req;
	entry_call_t *call;
	usec_t due;

	for (;;) {
		pthread_mutex_lock(&upstream->lock);
		call = entry_service_next(&upstream->service, now);
		req = call ? dispatch_request(call) : NULL;
		due = req ? entry_hedge_due(req) : INT64_MAX;
		pthread_mutex_unlock(&upstream->lock);
		if (!req)
			return;
		entry_tick_schedule(req->entry, due);
		entry_work_push(req->entry->work, req);
	}
}

/* Responds with the refusal. The outcome in the response is that of the call,
   since a call that was sent before its refusal may have run. */
static void dispatch_fail(entry_request_t *req,
			  const entry_decision_t *decision)
{
	entry_request_fail(req, entry_refusal_status(decision->refusal),
			   req->call.outcome,
			   entry_refusal_name(decision->refusal),
			   decision->retry_after);
}

void entry_dispatch_refuse(entry_request_t *req,
			   const entry_decision_t *decision)
{
	if (entry_handover_refused(req, decision->refusal, time_now()))
		return;
	dispatch_fail(req, decision);
	entry_request_unref(req);
}

void entry_dispatch_expire(entry_upstream_t *upstream, usec_t now)
{
	entry_decision_t decision;
	entry_call_t *call;

	do {
		pthread_mutex_lock(&upstream->lock);
		call = entry_service_expire(&upstream->service, now, &decision);
		pthread_mutex_unlock(&upstream->lock);
		if (!call)
			break;
		entry_dispatch_refuse(dispatch_request(call), &decision);
	} while (call);
}

void entry_dispatch_arrive(entry_request_t *req, usec_t now)
{
	const entry_decision_t blocked = { ENTRY_REFUSE, ENTRY_REFUSE_CRASHES,
					   ENTRY_BLOCKED_RETRY_AFTER };
	const entry_t *entry = req->entry;

	entry_request_ref(req);
	req->call.no_hedge = req->body_streamed;
	if (req->forward) {
		entry_work_push(req->entry->work, req);
		return;
	}
	if (entry_crash_is_blocked(req)) {
		entry_dispatch_refuse(req, &blocked);
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
	const entry_decision_t declined = { ENTRY_REFUSE,
					    ENTRY_REFUSE_UNREACHABLE, 0 };
	entry_upstream_t *upstream = req->upstream;
	entry_t *entry = req->entry;
	entry_decision_t decision;
	usec_t due = INT64_MAX;

	if (entry_handover_preferred(req, now))
		return;
	if (entry_handover_declines(req, now)) {
		entry_dispatch_refuse(req, &declined);
		return;
	}
	pthread_mutex_lock(&upstream->lock);
	decision = entry_service_arrive(&upstream->service, &req->call, now);
	if (decision.verdict == ENTRY_SEND)
		due = entry_hedge_due(req);
	pthread_mutex_unlock(&upstream->lock);
	switch (decision.verdict) {
	case ENTRY_SEND:
		entry_tick_schedule(entry, due);
		entry_work_push(entry->work, req);
		break;
	case ENTRY_WAIT:
		/* Another thread may have sent, ended and freed the request. */
		entry_dispatch_expire(upstream, now);
		entry_dispatch_next(upstream, now);
		if (entry->owner)
			owner_wake(entry->owner);
		entry_tick_schedule_soon(entry, now);
		break;
	default:
		entry_dispatch_refuse(req, &decision);
		break;
	}
}

/*
 * Handles the end of a send to a sibling entry. If the sibling refuses a call
 * for which it offered a credit, or cannot be reached, this entry dispatches
 * the call itself, unless bytes of an unbuffered body have been sent or only the
 * sibling has the response (replay).
 */
static void dispatch_forward_end(entry_request_t *req, entry_result_t result,
				 usec_t now)
{
	bool refused = req->handed_over && result == ENTRY_RESULT_SHED;
	bool redispatch = !req->body_consumed && !req->replay &&
			  !req->response.published &&
			  (refused || result == ENTRY_RESULT_CONNECT);

	if (req->credits_offered)
		entry_forward_waiting(req->upstream, req->forward->address,
				      req->credits_offered);
	if (!redispatch || now >= req->call.deadline) {
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
 * Decides what follows a send, and cancels the hedge when the call is over. A
 * send whose hedge got a response first counts as cancelled, whatever its
 * result, unless it succeeded too. The caller holds the lock of the upstream.
 */
static entry_decision_t dispatch_decide(entry_request_t *req,
					entry_result_t *result, usec_t now)
{
	entry_decision_t decision;

	req->call.responding = req->response.published;
	if (req->body_consumed)
		req->call.not_replayable = true;
	if (req->winning_hedge && *result != ENTRY_RESULT_OK)
		*result = ENTRY_RESULT_CANCEL;
	decision = entry_service_end(&req->upstream->service, &req->call,
				     *result, now);
	if (decision.verdict == ENTRY_WAIT) {
		entry_request_reset(req);
		return decision;
	}
	req->finished = true;
	entry_hedge_cancel(req);
	if (decision.verdict == ENTRY_RESPOND)
		entry_forward_offer(req, now);
	return decision;
}

/* Responds with the response of this send, or of the hedge that won. */
static void dispatch_respond(entry_request_t *req, entry_result_t result)
{
	if (req->winning_hedge && result != ENTRY_RESULT_OK) {
		result = ENTRY_RESULT_OK;
		entry_hedge_move_response(req, req->winning_hedge, result);
	}
	entry_relay_finish(req, result);
}

/* Responds and drops the reference of the dispatch. */
static void dispatch_finish(entry_request_t *req, entry_result_t result)
{
	dispatch_respond(req, result);
	entry_request_unref(req);
}

/* Handles the end of a send of a call that this entry could not send itself. */
static void dispatch_handover_end(entry_request_t *req, entry_result_t result,
				  usec_t now)
{
	switch (entry_handover_end(req, result, now)) {
	case ENTRY_HANDOVER_SENT:
		break;
	case ENTRY_HANDOVER_RETURNED:
		entry_dispatch_arrive(req, now);
		entry_request_unref(req);
		break;
	case ENTRY_HANDOVER_ENDED:
		dispatch_finish(req, result);
		break;
	}
}

void entry_dispatch_end(entry_request_t *req, entry_result_t result, usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	entry_t *entry = req->entry;
	entry_decision_t decision;

	if (req->primary) {
		entry_hedge_end(req, result, now);
		return;
	}
	if (entry_handover_is_active(req)) {
		dispatch_handover_end(req, result, now);
		return;
	}
	if (req->forward) {
		dispatch_forward_end(req, result, now);
		return;
	}
	/* Another worker may take a waiting call and end it. */
	entry_request_ref(req);
	pthread_mutex_lock(&upstream->lock);
	decision = dispatch_decide(req, &result, now);
	pthread_mutex_unlock(&upstream->lock);
	if (decision.verdict == ENTRY_WAIT)
		entry_handover_waiting(req, now);
	else if (result != ENTRY_RESULT_CONNECT ||
		 !entry_handover_unsent(req, now))
		dispatch_finish(req, result);
	if (decision.verdict == ENTRY_WAIT || result == ENTRY_RESULT_CONNECT)
		entry_tick_schedule_soon(entry, now);
	entry_request_unref(req);
	entry_dispatch_next(upstream, now);
	entry_probe_wake(upstream, now);
}
