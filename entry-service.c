#include <stdlib.h>
#include <string.h>
#include "entry-decide.h"

/*
 * Decisions of the entry for one service. Combines the queue, limits, credits,
 * health, choice of a copy and retry budget into the interface of entry.h, and
 * owns the list of running calls.
 */

/* Max number of waiting calls skipped to find one that a copy can take. */
#define SERVICE_SKIP_MAX 4

/* A call is hedged after this multiple of its expected response time, but not
   before the minimum. */
#define SERVICE_HEDGE_FACTOR 1.6
#define SERVICE_HEDGE_AFTER_MIN (30 * USEC_PER_MS)
/* A call is sent only if at least this fraction of its expected response time
   remains until its deadline. */
#define SERVICE_MIN_TIME_FRACTION 0.7

/* Factor of the response margin at arrival; for a waiting call it is 1. */
#define SERVICE_ADMIT_MARGIN_FACTOR 1.5

int entry_service_init(entry_service_t *svc, entry_policy_t policy,
		       const config_profile_t *profile, uint64_t seed)
{
	memset(svc, 0, sizeof(*svc));
	CDS_INIT_LIST_HEAD(&svc->copies);
	CDS_INIT_LIST_HEAD(&svc->running);
	CDS_INIT_LIST_HEAD(&svc->awaiting);
	svc->policy = policy;
	svc->profile = profile;
	svc->random_state = seed | 1;
	svc->contention = ENTRY_CONTENTION_INITIAL;
	svc->coordinated_until = USEC_NEVER;
	svc->coordinated = true;
	svc->entry_share = 1;
	svc->queue = entry_queue_new();
	svc->limit = entry_limit_new();
	svc->retry = entry_retry_new();
	if (svc->queue && svc->limit && svc->retry)
		return 0;
	entry_service_fini(svc);
	return -1;
}

void entry_service_fini(entry_service_t *svc)
{
	entry_copy_t *copy;
	entry_copy_t *next;

	cds_list_for_each_entry_safe (copy, next, &svc->copies, link)
		entry_service_copy_remove(svc, copy);
	entry_queue_free(svc->queue);
	entry_limit_free(svc->limit);
	entry_retry_free(svc->retry);
}

void entry_service_set_profile(entry_service_t *svc,
			       const config_profile_t *profile, usec_t now)
{
	(void)now;
	svc->profile = profile;
}

void entry_service_set_limits(entry_service_t *svc, unsigned rate, double share)
{
	entry_limit_set(svc->limit, rate, share);
	svc->entry_share = share;
}

bool entry_service_on_leaving(entry_copy_t *copy)
{
	bool is_new = !copy->leaving;

	copy->leaving = true;
	copy->draining = true;
	return is_new;
}

void entry_service_on_rest(entry_copy_t *copy, usec_t wait, usec_t now)
{
	if (now + wait > copy->rests_until)
		copy->rests_until = now + wait;
}

bool entry_service_may_send(const entry_copy_t *copy, usec_t chosen_at,
			    usec_t now)
{
	return !copy->leaving && now >= copy->rests_until &&
	       (!copy->rate.millirate || chosen_at >= copy->rate.since);
}

void entry_service_set_retry_budget(entry_service_t *svc, double ratio,
				    double slack, usec_t window, usec_t now)
{
	entry_retry_set_budget(svc->retry, ratio, slack, window, now);
}

void entry_service_slow_start(entry_copy_t *copy, usec_t until, usec_t now)
{
	if (now >= copy->slow_start_until)
		copy->credit->ramp = 1;
	copy->slow_start_until = until;
}

static void service_acquire_credit(entry_service_t *svc, entry_copy_t *copy,
				   usec_t now)
{
	copy->outstanding++;
	svc->outstanding++;
	entry_rate_charge(svc, copy, now);
	entry_health_on_send(copy, now);
}

/* Return the credit of a send that has ended and record what it shows of its
   copy. */
static void service_end_send(entry_service_t *svc, entry_copy_t *copy,
			     entry_result_t result, usec_t sent, unsigned depth,
			     usec_t now)
{
	bool was_ejected = copy->health->ejected;

	copy->outstanding--;
	svc->outstanding--;
	entry_reach_on_send_end(svc, copy, result, now);
	entry_health_on_send_end(svc, copy, result, sent, depth, now);
	if (svc->on_health && was_ejected != copy->health->ejected)
		svc->on_health(svc->context, copy, !was_ejected);
}

/* Return the time from the send of a call to its hedge, computed from the load
   report of its copy. */
static usec_t service_hedge_delay(const entry_service_t *svc,
				  const entry_call_t *call,
				  const entry_copy_t *copy, usec_t now)
{
	usec_t expected = entry_report_time(svc, call, copy, now);
	usec_t after = (usec_t)(SERVICE_HEDGE_FACTOR * (double)expected);

	return after > SERVICE_HEDGE_AFTER_MIN ? after :
						 SERVICE_HEDGE_AFTER_MIN;
}

static entry_decision_t service_send(entry_service_t *svc, entry_call_t *call,
				     entry_copy_t *copy, usec_t now)
{
	entry_decision_t decision = { ENTRY_SEND, ENTRY_REFUSE_NONE, 0 };

	call->copy_report_fresh = entry_report_has_fresh_slots(svc, copy, 0,
							       now);
	call->took_last_slot = entry_report_fills_copy(copy);
	if (svc->policy == ENTRY_POLICY_REPORTS && call->objective)
		call->hedge_after = service_hedge_delay(svc, call, copy, now);
	service_acquire_credit(svc, copy, now);
	call->copy = copy;
	call->sent = now;
	call->depth = copy->outstanding;
	call->slowness = entry_report_slowness(svc, copy, now);
	call->attempts++;
	cds_list_add_tail(&call->running_link, &svc->running);
	return decision;
}

/* Choose a copy for a call that must not use reserved credits. */
static entry_copy_t *service_pick(entry_service_t *svc,
				  const entry_call_t *call, usec_t now)
{
	if (entry_reserve_count(svc, now) > 0 &&
	    entry_reserve_available(svc, now) == 0)
		return NULL;
	return entry_pick(svc, call, now);
}

static bool service_has_copy(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (!copy->draining)
			return true;
	return false;
}

/*
 * Return the time reserved for the response: the 95th percentile of response
 * times, but no more than half of the time from arrival to deadline.
 */
static usec_t service_margin(const entry_service_t *svc,
			     const entry_call_t *call)
{
	usec_t p95 = (usec_t)svc->stats.p95;
	usec_t half = (call->deadline - call->arrived) / 2;

	return p95 < half ? p95 : half;
}

/* Queue a call unless it would miss its deadline or the queue is full. */
static entry_decision_t service_enqueue(entry_service_t *svc,
					entry_call_t *call, usec_t now)
{
	entry_decision_t decision = { ENTRY_WAIT, ENTRY_REFUSE_NONE, 0 };
	usec_t left = call->deadline - now;
	usec_t wait = entry_queue_wait(svc->queue, call, svc->stats.capacity);
	usec_t margin = (usec_t)(SERVICE_ADMIT_MARGIN_FACTOR *
				 service_margin(svc, call));
	usec_t late = wait + margin - left;

	if (wait > 0 && late > 0)
		return entry_refuse(ENTRY_REFUSE_DEADLINE, late);
	if (entry_queue_count(svc->queue) >= svc->profile->queue_max &&
	    !entry_queue_evict(svc->queue, call))
		return entry_refuse(ENTRY_REFUSE_QUEUE,
				    entry_refuse_queue_half_time(svc));
	entry_queue_push(svc->queue, call, now);
	return decision;
}

/* Initialize the fields of an arriving call that are private to the decision
   code. Refuse the call if all copies are draining, if its deadline has passed
   or if it exceeds a limit of entry-limit.c. */
static entry_decision_t service_admit(entry_service_t *svc, entry_call_t *call,
				      usec_t now)
{
	entry_decision_t decision = { ENTRY_SEND, ENTRY_REFUSE_NONE, 0 };
	usec_t wait;

	call->waiting = false;
	call->evicted = false;
	call->outcome = ENTRY_NOT_RUN;
	call->avoid = NULL;
	call->hedged_copy = NULL;
	call->attempts = 0;
	call->unsent_attempts = 0;
	call->hedged = false;
	__atomic_store_n(&call->given_up, false, __ATOMIC_RELEASE);
	if (!service_has_copy(svc))
		return entry_refuse(ENTRY_REFUSE_NO_COPY,
				    ENTRY_REFUSE_RETRY_AFTER);
	if (now >= call->deadline)
		return entry_refuse(ENTRY_REFUSE_DEADLINE, 0);
	if (!call->from_sibling &&
	    !entry_limit_admit(svc->limit, svc->profile, call, now, &wait))
		return entry_refuse(ENTRY_REFUSE_LIMIT, wait);
	entry_retry_earn(svc->retry, svc->profile, now);
	return decision;
}

/* Whether a copy, chosen as the best one, would respond after the deadline. */
static bool service_misses_deadline(const entry_service_t *svc,
				    const entry_call_t *call,
				    const entry_copy_t *copy, usec_t now)
{
	usec_t took;

	if (svc->policy != ENTRY_POLICY_REPORTS || !call->objective)
		return false;
	took = entry_report_time(svc, call, copy, now);
	return now + (usec_t)(SERVICE_MIN_TIME_FRACTION * (double)took) >
	       call->deadline;
}

/* Whether a copy, chosen as the best one, is expected to have no free slot. A call
   that has waited for one as long as it can would only queue there. */
static bool service_is_full(const entry_service_t *svc,
			    const entry_call_t *call, const entry_copy_t *copy,
			    usec_t now)
{
	return svc->policy == ENTRY_POLICY_REPORTS && call->objective &&
	       copy->report.received_at &&
	       !entry_report_has_fresh_slots(svc, copy, 0, now) &&
	       !entry_report_has_room(svc, copy, now);
}

/* Whether a call that is sent at @from cannot be served in time: within its
   objective if it has one, else by its deadline. */
static bool service_too_late(const entry_service_t *svc,
			     const entry_call_t *call, usec_t from)
{
	usec_t latest = call->deadline;

	if (call->objective && entry_report_objective_end(call) < latest)
		latest = entry_report_objective_end(call);
	if (from == USEC_NEVER)
		return true;
	return from + service_margin(svc, call) >= latest;
}

entry_decision_t entry_service_arrive(entry_service_t *svc, entry_call_t *call,
				      usec_t now)
{
	entry_decision_t decision = service_admit(svc, call, now);
	entry_copy_t *copy = NULL;
	usec_t rest_end;

	if (decision.verdict == ENTRY_REFUSE)
		return decision;
	if (entry_reach_is_cut_off(svc))
		return entry_refuse_unreachable(svc);
	rest_end = entry_refuse_rest_end(svc, now);
	if (rest_end && service_too_late(svc, call, rest_end))
		return entry_refuse(ENTRY_REFUSE_NO_COPY,
				    entry_refuse_rest_wait(svc, rest_end, now));
	entry_health_refresh(svc, now);
	if (call->from_sibling && entry_reserve_use(svc, now))
		copy = entry_pick(svc, call, now);
	if (!copy && entry_queue_count(svc->queue) == 0)
		copy = service_pick(svc, call, now);
	if (!copy)
		return service_enqueue(svc, call, now);
	if (service_misses_deadline(svc, call, copy, now) ||
	    service_is_full(svc, call, copy, now))
		return entry_refuse(ENTRY_REFUSE_QUEUE,
				    entry_refuse_slot_wait(svc, call));
	entry_queue_count_admitted(svc->queue, call, now);
	return service_send(svc, call, copy, now);
}

entry_decision_t entry_service_send_less_loaded(entry_service_t *svc,
						entry_call_t *call,
						entry_copy_t *const two[2],
						const unsigned loads[2],
						usec_t now)
{
	entry_decision_t decision = service_admit(svc, call, now);

	if (decision.verdict == ENTRY_REFUSE)
		return decision;
	return service_send(svc, call, two[loads[1] < loads[0]], now);
}

entry_call_t *entry_service_next(entry_service_t *svc, usec_t now)
{
	entry_call_t *skipped[SERVICE_SKIP_MAX];
	entry_call_t *call = NULL;
	entry_copy_t *copy = NULL;
	unsigned count = 0;

	while (!copy && count < SERVICE_SKIP_MAX) {
		call = entry_queue_pop(svc->queue);
		if (!call)
			break;
		copy = service_pick(svc, call, now);
		if (!copy)
			skipped[count++] = call;
		/* Try the next call only if this one must avoid a copy at which
		   an attempt of it failed: the next call may use that copy. */
		if (!copy && !call->avoid)
			break;
	}
	while (count > 0)
		entry_queue_restore(svc->queue, skipped[--count]);
	if (!copy)
		return NULL;
	service_send(svc, call, copy, now);
	return call;
}

/* Whether any copy accepts calls. A copy that has refused a call or connection
   since its last success counts only while it has calls outstanding: it still
   runs these, and can accept another call when one of them ends. */
static bool service_accepts_calls(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (!copy->draining && copy->limit > 0 &&
		    (!copy->health->consecutive_refusals ||
		     copy->outstanding > 0))
			return true;
	return false;
}

/* Return the decision that refuses a call whose time to wait has passed: for
   the lack of a copy if the call was not run and no copy accepts calls, else
   for its deadline. */
static entry_decision_t service_refuse_expired(entry_service_t *svc,
					       const entry_call_t *call,
					       usec_t now)
{
	usec_t rest_end = entry_refuse_rest_end(svc, now);

	if (call->outcome == ENTRY_NOT_RUN && rest_end)
		return entry_refuse(ENTRY_REFUSE_NO_COPY,
				    entry_refuse_rest_wait(svc, rest_end, now));
	if (call->outcome == ENTRY_NOT_RUN && !service_accepts_calls(svc))
		return entry_refuse(ENTRY_REFUSE_NO_COPY,
				    ENTRY_REFUSE_RETRY_AFTER);
	return entry_refuse(ENTRY_REFUSE_DEADLINE,
			    entry_refuse_queue_half_time(svc));
}

/*
 * Whether all copies are paused, because they refused or failed calls, asked
 * for a rest or accept calls at a limited rate, until it is too late for a call,
 * so that waiting is useless. A copy without a lease does not count as paused,
 * since it may get a lease again.
 */
static bool service_all_paused(const entry_service_t *svc,
			       const entry_call_t *call, usec_t now)
{
	const entry_copy_t *copy = NULL;
	usec_t latest = call->deadline - service_margin(svc, call);

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (!copy->draining &&
		    (copy->limit == 0 ||
		     (copy->health->paused_until < latest &&
		      entry_refuse_available_at(svc, copy, now) < latest)))
			return false;
	return true;
}

entry_call_t *entry_service_expire(entry_service_t *svc, usec_t now,
				   entry_decision_t *decision)
{
	entry_call_t *call = entry_queue_next_evicted(svc->queue);

	if (call) {
		*decision = entry_refuse(ENTRY_REFUSE_QUEUE,
					 entry_refuse_queue_half_time(svc));
		return call;
	}
	call = entry_queue_earliest(svc->queue);
	if (!call)
		return NULL;
	if (!service_has_copy(svc)) {
		entry_queue_remove(svc->queue, call);
		*decision = entry_refuse(ENTRY_REFUSE_NO_COPY,
					 ENTRY_REFUSE_RETRY_AFTER);
		return call;
	}
	if (entry_reach_is_cut_off(svc)) {
		entry_queue_remove(svc->queue, call);
		*decision = entry_refuse_unreachable(svc);
		return call;
	}
	if (now + service_margin(svc, call) < call->deadline &&
	    !service_all_paused(svc, call, now))
		return NULL;
	entry_queue_remove(svc->queue, call);
	*decision = service_refuse_expired(svc, call, now);
	return call;
}

bool entry_service_pay_repeat(entry_service_t *svc, entry_call_t *call,
			      usec_t now)
{
	if (!call->repeat_paid)
		call->repeat_paid = entry_retry_spend(svc->retry, now);
	return call->repeat_paid;
}

/* Whether a failed send is repeated; charges the retry budget if so. */
static bool service_take_retry(entry_service_t *svc, entry_call_t *call,
			       entry_result_t result, usec_t now)
{
	return now + service_margin(svc, call) < call->deadline &&
	       entry_retry_allowed(svc->profile, call, result) &&
	       (entry_retry_is_exempt(svc->retry, result) ||
		entry_service_pay_repeat(svc, call, now));
}

static void service_update_outcome(entry_call_t *call, entry_result_t result)
{
	if (result == ENTRY_RESULT_SHED || result == ENTRY_RESULT_CONNECT ||
	    result == ENTRY_RESULT_BLOCKED)
		return;
	if (result == ENTRY_RESULT_OK || result == ENTRY_RESULT_ERROR)
		call->outcome = ENTRY_RAN;
	else if (call->outcome == ENTRY_NOT_RUN)
		call->outcome = ENTRY_MAY_HAVE_RUN;
}

/* Count a send that failed before its first byte, so that it does not use up an
   attempt. This applies only if the route of the call limits the attempts: if
   the profile does, such a send is an attempt like any other. */
static void service_count_unsent(entry_call_t *call, entry_result_t result)
{
	if (call->attempts_max && result == ENTRY_RESULT_CONNECT)
		call->unsent_attempts++;
}

static bool service_is_final(entry_result_t result)
{
	return result == ENTRY_RESULT_OK || result == ENTRY_RESULT_CANCEL;
}

entry_decision_t entry_service_end(entry_service_t *svc, entry_call_t *call,
				   entry_result_t result, usec_t now)
{
	entry_decision_t decision = { ENTRY_RESPOND, ENTRY_REFUSE_NONE, 0 };

	cds_list_del(&call->running_link);
	service_end_send(svc, call->copy, result, call->sent, call->depth, now);
	service_update_outcome(call, result);
	service_count_unsent(call, result);
	if (!call->given_up && !entry_retry_is_exempt(svc->retry, result))
		call->repeat_paid = false;
	__atomic_store_n(&call->given_up, false, __ATOMIC_RELEASE);
	call->avoid = call->copy;
	if (result == ENTRY_RESULT_OK && call->objective)
		entry_report_learn_service_time(svc, call, now - call->sent);
	if (service_is_final(result) || call->responding)
		return decision;
	if (call->hedged_copy) {
		call->copy = call->hedged_copy;
		call->sent = call->hedge_sent;
		call->depth = call->hedge_depth;
		call->hedged_copy = NULL;
		cds_list_add_tail(&call->running_link, &svc->running);
		decision.verdict = ENTRY_WAIT;
	} else if (service_take_retry(svc, call, result, now)) {
		entry_queue_push(svc->queue, call, now);
		decision.verdict = ENTRY_WAIT;
	}
	return decision;
}

/* Whether a running call may be sent again before its send has ended. */
static bool service_may_send_twice(const entry_service_t *svc,
				   const entry_call_t *call)
{
	unsigned max_attempts = call->attempts_max ? call->attempts_max :
						     svc->profile->attempts_max;

	return call->idempotent && !call->not_replayable && !call->no_retry &&
	       !call->no_hedge && !call->hedged_copy &&
	       call->attempts - call->unsent_attempts < max_attempts;
}

/* Whether a running call may be hedged: once, so that no more than two sends of it
   run in parallel. */
static bool service_may_hedge(const entry_service_t *svc,
			      const entry_call_t *call)
{
	return !call->hedged && service_may_send_twice(svc, call);
}

/* Return the time from the send of a call to its hedge; 0: no hedge. */
static usec_t service_hedge_after(const entry_service_t *svc,
				  const entry_call_t *call)
{
	if (call->hedge_after)
		return call->hedge_after;
	return svc->profile->hedge_after_ms * USEC_PER_MS;
}

/* Whether a call has run for longer than the time after which one is hedged. */
static bool service_is_late(const entry_service_t *svc,
			    const entry_call_t *call, usec_t now)
{
	usec_t after = service_hedge_after(svc, call);

	return after > 0 && now - call->sent >= after;
}

/* Whether a call is due for its hedge. */
static bool service_hedge_is_due(const entry_service_t *svc,
				 const entry_call_t *call, usec_t now)
{
	return service_is_late(svc, call, now) && service_may_hedge(svc, call);
}

/* Whether a running call can still be repeated in time by another entry. */
static bool service_may_give_up(const entry_service_t *svc,
				const entry_call_t *call, usec_t now)
{
	return !call->given_up && !call->from_sibling &&
	       service_may_send_twice(svc, call) &&
	       now + service_margin(svc, call) < call->deadline;
}

/* Check the path of a running call and return whether it is lost. That of a late
   call is tested if it has not been since the send. */
static bool service_check_path(const entry_service_t *svc,
			       const entry_call_t *call, usec_t now)
{
	if (call->copy->reach.failures)
		return true;
	if (service_is_late(svc, call, now) &&
	    call->copy->reach.tested_at < call->sent)
		entry_reach_doubt(call->copy, now);
	return false;
}

entry_call_t *entry_service_give_up(entry_service_t *svc, usec_t now)
{
	entry_call_t *call = NULL;

	if (!entry_reach_is_impaired(svc))
		return NULL;
	cds_list_for_each_entry (call, &svc->running, running_link) {
		if (!service_may_give_up(svc, call, now) ||
		    !service_check_path(svc, call, now))
			continue;
		if (!entry_service_pay_repeat(svc, call, now))
			return NULL;
		__atomic_store_n(&call->given_up, true, __ATOMIC_RELEASE);
		call->no_hedge = true;
		return call;
	}
	return NULL;
}

entry_call_t *entry_service_hedge(entry_service_t *svc, usec_t now)
{
	entry_call_t *call;
	entry_copy_t *copy;

	if (entry_queue_count(svc->queue) > 0)
		return NULL;
	cds_list_for_each_entry (call, &svc->running, running_link) {
		if (!service_hedge_is_due(svc, call, now))
			continue;
		call->avoid = call->copy;
		copy = entry_pick_fast(svc, call, now);
		if (!copy || copy == call->copy ||
		    !entry_retry_spend(svc->retry, now)) {
			/* Double the delay until the next try, unless it is
			   that of the profile (hedge_after is 0). */
			call->hedge_after *= 2;
			return NULL;
		}
		service_acquire_credit(svc, copy, now);
		call->hedged_copy = copy;
		call->hedge_sent = now;
		call->hedge_depth = copy->outstanding;
		__atomic_add_fetch(&call->attempts, 1, __ATOMIC_RELAXED);
		return call;
	}
	return NULL;
}

usec_t entry_service_hedge_due(const entry_service_t *svc, usec_t now)
{
	usec_t after = svc->profile->hedge_after_ms * USEC_PER_MS;
	usec_t due = after ? now + after : INT64_MAX;
	const entry_call_t *call = NULL;

	cds_list_for_each_entry (call, &svc->running, running_link) {
		after = service_hedge_after(svc, call);
		if (after > 0 && service_may_hedge(svc, call) &&
		    call->sent + after < due)
			due = call->sent + after;
	}
	return due;
}

entry_decision_t entry_service_hedge_end(entry_service_t *svc,
					 entry_call_t *call,
					 entry_result_t result, usec_t now)
{
	entry_decision_t decision = { ENTRY_WAIT, ENTRY_REFUSE_NONE, 0 };

	service_end_send(svc, call->hedged_copy, result, call->hedge_sent,
			 call->hedge_depth, now);
	service_update_outcome(call, result);
	service_count_unsent(call, result);
	if (entry_retry_is_exempt(svc->retry, result))
		entry_retry_refund(svc->retry);
	/* The first send, which is late, may go over a lost path, too. */
	if (result == ENTRY_RESULT_CONNECT)
		entry_reach_doubt(call->copy, now);
	call->hedged_copy = NULL;
	if (result == ENTRY_RESULT_OK)
		decision.verdict = ENTRY_RESPOND;
	return decision;
}

void entry_service_cancel(entry_service_t *svc, entry_call_t *call)
{
	if (call->waiting)
		entry_queue_remove(svc->queue, call);
}

entry_call_t *entry_service_take_for_sibling(entry_service_t *svc, usec_t now)
{
	entry_call_t *skipped[SERVICE_SKIP_MAX];
	entry_call_t *call = NULL;
	unsigned count = 0;

	(void)now;
	while (count < SERVICE_SKIP_MAX) {
		call = entry_queue_pop(svc->queue);
		if (!call || (!call->from_sibling && call->attempts == 0))
			break;
		skipped[count++] = call;
		call = NULL;
	}
	while (count > 0)
		entry_queue_restore(svc->queue, skipped[--count]);
	return call;
}

unsigned entry_service_waiting(const entry_service_t *svc)
{
	return entry_queue_count(svc->queue);
}
