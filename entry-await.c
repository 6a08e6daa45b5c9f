#include "entry-decide.h"

/*
 * Calls that wait until a copy has room, under ENTRY_POLICY_REPORTS. They probe
 * copies at intervals, as planned by entry-probe-plan.c. A report that arrives
 * meanwhile, with a response or with the probe of another call, wakes the call that
 * gains most from the room.
 */

void entry_await_add(entry_service_t *svc, entry_call_t *call)
{
	cds_list_add_tail(&call->await_link, &svc->awaiting);
	call->awaiting = true;
}

void entry_await_remove(entry_call_t *call)
{
	if (!call->awaiting)
		return;
	cds_list_del(&call->await_link);
	call->awaiting = false;
}

/* Whether a response can still come within the call's objective. */
static bool await_in_time(const entry_service_t *svc, const entry_call_t *call,
			  usec_t now)
{
	return call->objective &&
	       now + (usec_t)entry_report_service_time(svc, call) <=
		       entry_report_objective_end(call);
}

/* Whether call @a goes before call @b: calls that can meet their objective go
   first, then the more urgent ones, then those whose time ends first. */
static bool await_before(const entry_service_t *svc, const entry_call_t *a,
			 const entry_call_t *b, usec_t now)
{
	bool a_in_time = await_in_time(svc, a, now);
	bool b_in_time = await_in_time(svc, b, now);

	if (a_in_time != b_in_time)
		return a_in_time;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a_in_time)
		return entry_report_objective_end(a) <
		       entry_report_objective_end(b);
	return a->deadline < b->deadline;
}

bool entry_await_is_first(const entry_service_t *svc, const entry_call_t *call,
			  usec_t now)
{
	const entry_call_t *other = NULL;

	cds_list_for_each_entry (other, &svc->awaiting, await_link)
		if (other != call && await_before(svc, other, call, now))
			return false;
	return true;
}

entry_call_t *entry_await_take(entry_service_t *svc, usec_t now)
{
	entry_call_t *best = NULL;
	entry_call_t *call = NULL;

	cds_list_for_each_entry (call, &svc->awaiting, await_link)
		if (!best || await_before(svc, call, best, now))
			best = call;
	if (!best || entry_service_wait_for_copy(svc, best, true, false, now) !=
			     ENTRY_WAIT_READY)
		return NULL;
	entry_await_remove(best);
	return best;
}
