#include <string.h>
#include "entry-decide.h"

/*
 * The choice of a copy for a call, by the policy of the service: by credits
 * (ENTRY_POLICY_OWNER), by load reports (ENTRY_POLICY_REPORTS) or by one of the
 * baselines, which ignore credits.
 */

/* A slow copy is used if the queueing delay is at least this fraction of its
   extra response time. */
#define PICK_SLOW_FRACTION 0.1
/* Max number of candidates returned at once. */
#define PICK_CANDIDATES_MAX 8
/* Max cost (entry_report_cost()) of a copy that counts as quick; a copy without
   a free slot costs more. */
#define PICK_QUICK_COST_MAX 1.7
/* Time that must remain until the deadline, in addition to the expected
   response time, for a call to wait further. */
#define PICK_WAIT_MARGIN (60 * USEC_PER_MS)
/* A late call takes any free slot once less than this number of response times
   remain until its deadline. */
#define PICK_YIELD_RESPONSES 2.0
/* Requests that a copy gets if it is probed and then chosen: both count where
   the copy accepts calls at a limited rate. */
#define PICK_PROBED_REQUESTS 2
/* Jitter of the cost of candidates: number of steps, and cost of a step. */
#define PICK_JITTER_STEPS 1000u
#define PICK_JITTER_STEP_COST 0.0005

/* Whether a call failed at the copy and another copy can take it. */
static bool pick_must_avoid(const entry_service_t *svc,
			    const entry_call_t *call, const entry_copy_t *copy)
{
	const entry_copy_t *other = NULL;

	if (copy != call->avoid)
		return false;
	cds_list_for_each_entry (other, &svc->copies, link)
		if (other != copy && !other->draining && other->limit > 0 &&
		    !other->health->ejected && !other->reach.unreachable)
			return true;
	return false;
}

static bool pick_has_credit(const entry_service_t *svc,
			    const entry_call_t *call, const entry_copy_t *copy,
			    usec_t now)
{
	return !copy->draining && now >= copy->rests_until &&
	       entry_rate_allows(svc, copy, 1, now) &&
	       now >= copy->health->paused_until &&
	       copy->outstanding < entry_credit_of(svc, copy, now) &&
	       !pick_must_avoid(svc, call, copy);
}

/* Whether @a uses a smaller fraction of its slots, or is faster at a tie. */
static bool pick_less_loaded(const entry_service_t *svc, const entry_copy_t *a,
			     const entry_copy_t *b, usec_t now)
{
	unsigned x = a->outstanding * entry_credit_slots(b);
	unsigned y = b->outstanding * entry_credit_slots(a);

	if (x != y)
		return x < y;
	return entry_health_response_time(svc, a, now) <
	       entry_health_response_time(svc, b, now);
}

/* Whether a copy may get a call under ENTRY_POLICY_REPORTS. */
static bool pick_reports_eligible(const entry_service_t *svc,
				  const entry_call_t *call,
				  const entry_copy_t *copy, usec_t now)
{
	return !copy->draining && copy->limit > 0 && !copy->health->ejected &&
	       !copy->reach.unreachable && now >= copy->rests_until &&
	       entry_rate_allows(svc, copy, 1, now) &&
	       now >= copy->health->paused_until &&
	       copy->outstanding < copy->limit &&
	       !pick_must_avoid(svc, call, copy);
}

static bool pick_in_zone(const entry_service_t *svc, const entry_copy_t *copy)
{
	return !*svc->zone || !strcmp(svc->zone, copy->zone);
}

/*
 * Return the copy with the lowest cost, in this entry's zone or in the other
 * zones. Ties are broken at random.
 */
static entry_copy_t *pick_least_cost(entry_service_t *svc,
				     const entry_call_t *call, bool same_zone,
				     usec_t now)
{
	entry_copy_t *best = NULL;
	entry_copy_t *copy = NULL;
	unsigned ties = 1;
	double min_cost = 0;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		double cost;

		if (pick_in_zone(svc, copy) != same_zone ||
		    !pick_reports_eligible(svc, call, copy, now))
			continue;
		cost = entry_report_cost(svc, copy, now);
		if (best && cost > min_cost)
			continue;
		ties = best && cost >= min_cost ? ties + 1 : 1;
		if (ties > 1 && entry_random(svc, ties) != 0)
			continue;
		best = copy;
		min_cost = cost;
	}
	return best;
}

bool entry_pick_zone_has_copy(const entry_service_t *svc,
			      const entry_call_t *call, usec_t now)
{
	const entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (pick_in_zone(svc, copy) &&
		    pick_reports_eligible(svc, call, copy, now))
			return true;
	return false;
}

/* Insert a copy into the sorted list of the @max lowest costs. */
static unsigned pick_insert(entry_copy_t **out, double *costs, unsigned count,
			    unsigned max, entry_copy_t *copy, double cost)
{
	unsigned at = count < max ? count : max;

	while (at > 0 && costs[at - 1] > cost) {
		if (at < max) {
			out[at] = out[at - 1];
			costs[at] = costs[at - 1];
		}
		at--;
	}
	if (at == max)
		return count;
	out[at] = copy;
	costs[at] = cost;
	return count < max ? count + 1 : count;
}

static bool pick_in_scope(const entry_service_t *svc, const entry_copy_t *copy,
			  entry_scope_t scope)
{
	switch (scope) {
	case ENTRY_SCOPE_SUBSET:
		return copy->in_subset && pick_in_zone(svc, copy);
	case ENTRY_SCOPE_ZONE:
		return pick_in_zone(svc, copy);
	case ENTRY_SCOPE_OTHER_ZONES:
		break;
	}
	return !pick_in_zone(svc, copy);
}

unsigned entry_service_candidates(entry_service_t *svc,
				  const entry_call_t *call,
				  usec_t reported_before, entry_scope_t scope,
				  entry_copy_t **out, unsigned max, usec_t now)
{
	double costs[PICK_CANDIDATES_MAX];
	entry_copy_t *copy = NULL;
	unsigned count = 0;
	unsigned i;

	if (max > PICK_CANDIDATES_MAX)
		max = PICK_CANDIDATES_MAX;
	cds_list_for_each_entry (copy, &svc->copies, link) {
		double cost;

		if (!pick_in_scope(svc, copy, scope) ||
		    copy->report.received_at >= reported_before ||
		    !entry_rate_allows(svc, copy, PICK_PROBED_REQUESTS, now) ||
		    !pick_reports_eligible(svc, call, copy, now))
			continue;
		/* Jitter spreads probes over copies without recent reports. */
		cost = entry_report_cost(svc, copy, now) +
		       PICK_JITTER_STEP_COST *
			       entry_random(svc, PICK_JITTER_STEPS);
		count = pick_insert(out, costs, count, max, copy, cost);
	}
	count = entry_probe_rate_take(svc, count, now);
	for (i = 0; i < count; i++)
		entry_rate_charge(svc, out[i], now);
	return count;
}

/* Return an ejected copy of the zone that is due for a probation call. */
static entry_copy_t *pick_reports_probation(const entry_service_t *svc,
					    const entry_call_t *call,
					    usec_t now)
{
	entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (copy->health->ejected && pick_in_zone(svc, copy) &&
		    !copy->draining && copy->limit > 0 &&
		    !copy->reach.unreachable && now >= copy->rests_until &&
		    entry_rate_allows(svc, copy, 1, now) &&
		    !pick_must_avoid(svc, call, copy) &&
		    entry_health_probation_due(copy, call, now))
			return copy;
	return NULL;
}

/* Whether a copy is expected to respond within the call's objective. */
static bool pick_in_time(const entry_service_t *svc, const entry_call_t *call,
			 const entry_copy_t *copy, usec_t now)
{
	return !call->objective ||
	       now + entry_report_time(svc, call, copy, now) <=
		       entry_report_objective_end(call);
}

/*
 * Whether a call leaves the last free slot to calls that can still meet their
 * objective: the call will miss its own objective in any case, and there is
 * time for several responses before its deadline.
 */
static bool pick_yields(const entry_service_t *svc, const entry_call_t *call,
			usec_t now)
{
	double service_time = (double)entry_report_service_time(svc, call);

	return call->objective &&
	       now + service_time > entry_report_objective_end(call) &&
	       now + PICK_YIELD_RESPONSES * service_time < call->deadline;
}

/* Whether a copy has a free slot by a fresh report, and is quick. */
static bool pick_is_quick(const entry_service_t *svc, const entry_call_t *call,
			  const entry_copy_t *copy, usec_t now)
{
	unsigned spare = pick_yields(svc, call, now) ? 1 : 0;

	return entry_report_has_fresh_slots(svc, copy, spare, now) &&
	       entry_report_cost(svc, copy, now) <= PICK_QUICK_COST_MAX;
}

/*
 * Whether a call should be sent to a copy without further waiting: the copy has
 * a free slot by a fresh report, and is quick or meets the objective.
 */
static bool pick_is_good(const entry_service_t *svc, const entry_call_t *call,
			 const entry_copy_t *copy, usec_t now)
{
	return pick_is_quick(svc, call, copy, now) ||
	       (entry_report_has_fresh_slots(svc, copy, 0, now) &&
		pick_in_time(svc, call, copy, now));
}

entry_wait_t entry_service_wait_for_copy(entry_service_t *svc,
					 const entry_call_t *call,
					 bool other_zones, bool quick_only,
					 usec_t now)
{
	entry_copy_t *zone_copy = pick_least_cost(svc, call, true, now);
	entry_copy_t *other_copy = NULL;
	entry_copy_t *copy = zone_copy;

	if (quick_only)
		return zone_copy && pick_is_quick(svc, call, zone_copy, now) ?
			       ENTRY_WAIT_READY :
			       ENTRY_WAIT_AGAIN;
	if (zone_copy && pick_is_good(svc, call, zone_copy, now))
		return ENTRY_WAIT_READY;
	if (other_zones || !zone_copy)
		other_copy = pick_least_cost(svc, call, false, now);
	if (other_copy && pick_is_good(svc, call, other_copy, now))
		return ENTRY_WAIT_READY;
	if (!copy)
		copy = other_copy;
	if (!copy ||
	    now + entry_report_time(svc, call, copy, now) + PICK_WAIT_MARGIN >=
		    call->deadline)
		return ENTRY_WAIT_EXPIRED;
	return ENTRY_WAIT_AGAIN;
}

/*
 * Traffic between zones has a cost, so a copy of another zone is used only if
 * it is expected to respond in time and no copy of this zone is.
 */
static entry_copy_t *pick_reports(entry_service_t *svc,
				  const entry_call_t *call, usec_t now)
{
	entry_copy_t *zone_copy = NULL;
	entry_copy_t *other_copy;

	if (call->attempts == 0)
		zone_copy = pick_reports_probation(svc, call, now);
	if (zone_copy)
		return zone_copy;
	zone_copy = pick_least_cost(svc, call, true, now);
	if (zone_copy && pick_is_good(svc, call, zone_copy, now))
		return zone_copy;
	other_copy = pick_least_cost(svc, call, false, now);
	if (!zone_copy ||
	    (other_copy && pick_is_good(svc, call, other_copy, now)))
		return other_copy;
	return zone_copy;
}

entry_copy_t *entry_pick_fast(entry_service_t *svc, const entry_call_t *call,
			      usec_t now)
{
	entry_copy_t *best = NULL;
	entry_copy_t *copy = NULL;

	if (svc->policy == ENTRY_POLICY_REPORTS)
		return pick_least_cost(svc, call, true, now);

	cds_list_for_each_entry (copy, &svc->copies, link) {
		if (copy->health->ejected ||
		    !pick_has_credit(svc, call, copy, now) ||
		    entry_health_is_slow(svc, copy, now))
			continue;
		if (!best || pick_less_loaded(svc, copy, best, now))
			best = copy;
	}
	return best;
}

/* Return an ejected or slow copy that is due for a probation call. */
static entry_copy_t *pick_probation(const entry_service_t *svc,
				    const entry_call_t *call, usec_t now)
{
	entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		if (!copy->health->ejected &&
		    !entry_health_is_slow(svc, copy, now))
			continue;
		if (pick_has_credit(svc, call, copy, now) &&
		    entry_health_probation_due(copy, call, now))
			return copy;
	}
	return NULL;
}

/*
 * Return the fastest of the slow copies. It is used while all other copies are
 * full and the queueing delay is long compared with its extra response time.
 */
static entry_copy_t *pick_slow_copy(const entry_service_t *svc,
				    const entry_call_t *call, usec_t now)
{
	entry_copy_t *best = NULL;
	entry_copy_t *copy = NULL;
	double min_time = svc->stats.median;
	double wait = 0;

	if (svc->stats.capacity > 0)
		wait = entry_queue_count(svc->queue) * USEC_PER_SEC /
		       svc->stats.capacity;
	cds_list_for_each_entry (copy, &svc->copies, link) {
		double took = entry_health_response_time(svc, copy, now);

		if (copy->health->ejected ||
		    !pick_has_credit(svc, call, copy, now))
			continue;
		if (PICK_SLOW_FRACTION * (took - svc->stats.median) > wait)
			continue;
		if (best && took >= min_time)
			continue;
		best = copy;
		min_time = took;
	}
	return best;
}

static entry_copy_t *pick_owner(entry_service_t *svc, const entry_call_t *call,
				usec_t now)
{
	entry_copy_t *copy = pick_probation(svc, call, now);

	if (!copy)
		copy = entry_pick_fast(svc, call, now);
	if (!copy)
		copy = pick_slow_copy(svc, call, now);
	return copy;
}

/* The baseline policies choose among the copies that are not draining,
   regardless of credits. */

static unsigned pick_count_serving(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (!copy->draining)
			count++;
	return count;
}

/* Return the copy at an index among those that are not draining. */
static entry_copy_t *pick_nth(entry_service_t *svc, unsigned index)
{
	entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (!copy->draining && index-- == 0)
			return copy;
	return NULL;
}

static entry_copy_t *pick_random_copy(entry_service_t *svc)
{
	unsigned count = pick_count_serving(svc);

	return count ? pick_nth(svc, entry_random(svc, count)) : NULL;
}

static entry_copy_t *pick_least_outstanding(entry_service_t *svc)
{
	entry_copy_t *best = NULL;
	entry_copy_t *copy = NULL;
	unsigned ties = 0;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		if (copy->draining)
			continue;
		if (best && copy->outstanding > best->outstanding)
			continue;
		if (best && copy->outstanding == best->outstanding &&
		    entry_random(svc, ++ties + 1) != 0)
			continue;
		if (!best || copy->outstanding < best->outstanding)
			ties = 0;
		best = copy;
	}
	return best;
}

int entry_service_draw_two(entry_service_t *svc, entry_copy_t *two[2])
{
	unsigned count = pick_count_serving(svc);
	unsigned first;
	unsigned second;

	if (count == 0)
		return -1;
	first = entry_random(svc, count);
	second = count > 1 ? entry_random(svc, count - 1) : first;
	if (count > 1 && second >= first)
		second++;
	two[0] = pick_nth(svc, first);
	two[1] = pick_nth(svc, second);
	return 0;
}

/* Choose the less loaded of two random copies by the calls outstanding from
   this entry, for use without probes. */
static entry_copy_t *pick_two_choices(entry_service_t *svc)
{
	entry_copy_t *two[2];

	if (entry_service_draw_two(svc, two) != 0)
		return NULL;
	return two[1]->outstanding < two[0]->outstanding ? two[1] : two[0];
}

entry_copy_t *entry_pick(entry_service_t *svc, const entry_call_t *call,
			 usec_t now)
{
	switch (svc->policy) {
	case ENTRY_POLICY_RANDOM:
		return pick_random_copy(svc);
	case ENTRY_POLICY_LEAST_OUTSTANDING:
		return pick_least_outstanding(svc);
	case ENTRY_POLICY_TWO_CHOICES:
		return pick_two_choices(svc);
	case ENTRY_POLICY_REPORTS:
		return pick_reports(svc, call, now);
	case ENTRY_POLICY_OWNER:
		break;
	}
	return pick_owner(svc, call, now);
}
