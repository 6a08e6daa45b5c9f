#include <string.h>
#include "entry-decide.h"

/*
 * Refusals of calls, and the Retry-After times sent with them.
 */

/* Max retry-after time while a copy has a free slot: the call was then refused
   for another reason than full copies. */
#define REFUSE_RETRY_FREE_SLOT_MAX (20 * USEC_PER_MS)
/* Min retry-after time. */
#define REFUSE_RETRY_AFTER_MIN USEC_PER_MS
/* Jitter of the wait suggested while all copies rest: a minimum, and a fraction
   of the wait. */
#define REFUSE_REST_JITTER_MIN (100 * USEC_PER_MS)
#define REFUSE_REST_JITTER 0.25
/* Wait suggested while this entry reaches no copy: a minimum, and its jitter.
   The caller can use another entry at once. */
#define REFUSE_UNREACHABLE_WAIT (100 * USEC_PER_MS)
#define REFUSE_UNREACHABLE_JITTER (200 * USEC_PER_MS)

entry_decision_t entry_refuse(entry_refusal_t refusal, usec_t retry_after)
{
	entry_decision_t decision = { ENTRY_REFUSE, refusal, retry_after };

	if (retry_after < REFUSE_RETRY_AFTER_MIN)
		decision.retry_after = REFUSE_RETRY_AFTER_MIN;
	return decision;
}

/* Refuse a call because this entry reaches no copy. The jitter keeps callers
   from returning all at once. */
entry_decision_t entry_refuse_unreachable(entry_service_t *svc)
{
	usec_t jitter = (usec_t)
		entry_random(svc, (unsigned)REFUSE_UNREACHABLE_JITTER);

	return entry_refuse(ENTRY_REFUSE_UNREACHABLE,
			    REFUSE_UNREACHABLE_WAIT + jitter);
}

/* Return the time from which a copy takes calls after its rest and by its rate;
   USEC_NEVER if only other entries may send to it. */
usec_t entry_refuse_available_at(const entry_service_t *svc,
				 const entry_copy_t *copy, usec_t now)
{
	usec_t next = entry_rate_next(svc, copy, now);

	return next > copy->rests_until ? next : copy->rests_until;
}

/* Return the time from which a copy takes calls again if none does now; 0 if
   one does, USEC_NEVER if only other entries may send to them. */
usec_t entry_refuse_rest_end(const entry_service_t *svc, usec_t now)
{
	const entry_copy_t *copy = NULL;
	usec_t earliest = 0;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		usec_t available;

		if (copy->draining)
			continue;
		available = entry_refuse_available_at(svc, copy, now);
		if (now >= available)
			return 0;
		if (!earliest || available < earliest)
			earliest = available;
	}
	return earliest;
}

/* Return the wait to suggest while no copy takes calls until @rest_end. The
   jitter keeps callers from returning all at once. */
usec_t entry_refuse_rest_wait(entry_service_t *svc, usec_t rest_end, usec_t now)
{
	usec_t wait = rest_end == USEC_NEVER ? ENTRY_REFUSE_RETRY_AFTER :
					       rest_end - now;
	usec_t max_jitter = REFUSE_REST_JITTER_MIN +
			    (usec_t)(REFUSE_REST_JITTER * (double)wait);

	return wait + (usec_t)entry_random(svc, (unsigned)max_jitter);
}

/* Return the expected time until half of the queue is served. */
usec_t entry_refuse_queue_half_time(const entry_service_t *svc)
{
	if (svc->stats.capacity <= 0)
		return ENTRY_REFUSE_RETRY_AFTER;
	return (usec_t)(entry_queue_count(svc->queue) / 2.0 * USEC_PER_SEC /
			svc->stats.capacity);
}

/* Whether a copy in the zone of this entry reports a free slot. A copy that is
   paused because it refused a call counts, too. */
static bool refuse_has_room(const entry_service_t *svc, usec_t now)
{
	const entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (!copy->draining && copy->limit > 0 &&
		    !copy->reach.unreachable &&
		    now >= entry_refuse_available_at(svc, copy, now) &&
		    !strcmp(copy->zone, svc->zone) &&
		    entry_report_has_room(svc, copy, now))
			return true;
	return false;
}

/* Return the expected time until a slot becomes free, with jitter. */
usec_t entry_refuse_slot_wait(entry_service_t *svc, const entry_call_t *call)
{
	usec_t max_jitter = call->objective / 2;

	return max_jitter / 2 +
	       (usec_t)entry_random(svc, (unsigned)max_jitter + 1);
}

usec_t entry_service_retry_after(entry_service_t *svc, const entry_call_t *call,
				 usec_t now)
{
	usec_t rest_end = entry_refuse_rest_end(svc, now);

	if (rest_end)
		return entry_refuse_rest_wait(svc, rest_end, now);
	if (svc->policy != ENTRY_POLICY_REPORTS || !call->objective)
		return ENTRY_REFUSE_RETRY_AFTER;
	if (refuse_has_room(svc, now))
		return (usec_t)entry_random(svc, REFUSE_RETRY_FREE_SLOT_MAX);
	return entry_refuse_slot_wait(svc, call);
}
