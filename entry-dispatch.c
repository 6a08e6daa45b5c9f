#include "entry-io.h"

static entry_request_t *dispatch_request(entry_call_t *call)
{
	return caa_container_of(call, entry_request_t, call);
}

void entry_dispatch_next(entry_route_t *route, usec_t now)
{
	entry_call_t *call;

	do {
		pthread_mutex_lock(&route->lock);
		call = entry_service_next(&route->service, now);
		pthread_mutex_unlock(&route->lock);
		if (call)
			entry_work_push(dispatch_request(call)->entry->work,
					dispatch_request(call));
	} while (call);
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
	entry_route_t *route = req->route;
	entry_decision_t decision;

	entry_request_ref(req);
	if (req->forward) {
		entry_work_push(req->entry->work, req);
		return;
	}
	if (req->entry->policy == ENTRY_POLICY_TWO_CHOICES) {
		req->probing = true;
		entry_work_push(req->entry->work, req);
		return;
	}
	pthread_mutex_lock(&route->lock);
	decision = entry_service_arrive(&route->service, &req->call, now);
	pthread_mutex_unlock(&route->lock);
	switch (decision.verdict) {
	case ENTRY_SEND:
		entry_work_push(req->entry->work, req);
		break;
	case ENTRY_WAIT:
		entry_dispatch_expire(route, now);
		entry_dispatch_next(route, now);
		owner_kick(req->entry->owner);
		break;
	default:
		entry_dispatch_final(req, &decision);
		break;
	}
}

/* A sibling that cannot take what it offered leaves the call to us. */
static void dispatch_forward_end(entry_request_t *req, entry_result_t result,
				 usec_t now)
{
	bool not_run = result == ENTRY_RESULT_SHED ||
		       result == ENTRY_RESULT_CONNECT;

	if (!req->handed_over || !not_run || now >= req->call.deadline) {
		entry_relay_finish(req, result);
		entry_request_unref(req);
		return;
	}
	req->handed_over = false;
	entry_place_unref(req->forward);
	req->forward = NULL;
	entry_request_reset(req);
	entry_dispatch_arrive(req, now);
	entry_request_unref(req);
}

void entry_dispatch_end(entry_request_t *req, entry_result_t result, usec_t now)
{
	entry_route_t *route = req->route;
	entry_decision_t decision = { ENTRY_ANSWER, ENTRY_REFUSE_NONE, 0 };

	if (req->forward) {
		dispatch_forward_end(req, result, now);
		return;
	}
	pthread_mutex_lock(&route->lock);
	if (req->answer.published)
		req->call.idempotent = false;
	if (req->body_spent)
		req->call.once = true;
	decision = entry_service_end(&route->service, &req->call, result, now);
	if (decision.verdict == ENTRY_WAIT)
		entry_request_reset(req);
	pthread_mutex_unlock(&route->lock);
	if (decision.verdict == ENTRY_REFUSE)
		dispatch_refuse(req, &decision);
	else if (decision.verdict == ENTRY_ANSWER)
		entry_relay_finish(req, result);
	if (decision.verdict != ENTRY_WAIT)
		entry_request_unref(req);
	entry_dispatch_next(route, now);
}
