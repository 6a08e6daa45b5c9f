#include <string.h>
#include "entry-decide.h"

/* Share of a straggler's extra time that the queue must be long for. */
#define PICK_SLOW_SHARE 0.1
/* Candidates that are drawn at once. */
#define PICK_CANDIDATES_MAX 8
/* A copy that costs no more is quick and has a free slot. */
#define PICK_COST_QUICK 1.7
/* Time that must be left beside the answer for a call to wait on. */
#define PICK_WAIT_MARGIN (60 * USEC_PER_MS)
/* A late call takes any free slot once it has time for no more answers. */
#define PICK_YIELD_TIMES 2.0
/* Chance among candidates: so many steps of so much cost. */
#define PICK_CHANCE_STEPS 1000u
#define PICK_CHANCE 0.0005

unsigned entry_pick_random(entry_service_t *svc, unsigned bound)
{
	/* xorshift64* */
	svc->random ^= svc->random >> 12;
	svc->random ^= svc->random << 25;
	svc->random ^= svc->random >> 27;
	return (svc->random * 0x2545f4914f6cdd1dULL >> 33) % bound;
}

/* Whether a call that failed at a copy has another one to go to. */
static bool pick_avoids(const entry_service_t *svc, const entry_call_t *call,
			const entry_copy_t *copy)
{
	const entry_copy_t *other = NULL;

	if (copy != call->avoid)
		return false;
	cds_list_for_each_entry (other, &svc->copies, link)
		if (other != copy && !other->draining && other->limit > 0 &&
		    !other->health->ejected)
			return true;
	return false;
}

static bool pick_open(const entry_service_t *svc, const entry_call_t *call,
		      const entry_copy_t *copy, usec_t now)
{
	return !copy->draining && now >= copy->health->paused_until &&
	       copy->outstanding < entry_credit_of(svc, copy, now) &&
	       !pick_avoids(svc, call, copy);
}

/* Whether @a has a smaller share of its slots in use, or is the faster. */
static bool pick_before(const entry_service_t *svc, const entry_copy_t *a,
			const entry_copy_t *b, usec_t now)
{
	unsigned x = a->outstanding * entry_credit_slots(b);
	unsigned y = b->outstanding * entry_credit_slots(a);

	if (x != y)
		return x < y;
	return entry_health_time(svc, a, now) < entry_health_time(svc, b, now);
}

/* Whether a copy may get a call by what it reports. */
static bool pick_reports_open(const entry_service_t *svc,
			      const entry_call_t *call,
			      const entry_copy_t *copy, usec_t now)
{
	return !copy->draining && copy->limit > 0 && !copy->health->ejected &&
	       now >= copy->health->paused_until &&
	       copy->outstanding < copy->limit && !pick_avoids(svc, call, copy);
}

static bool pick_near(const entry_service_t *svc, const entry_copy_t *copy)
{
	return !*svc->zone || !strcmp(svc->zone, copy->zone);
}

/* The least costly copy of the zone, or of the others; ties by chance. */
static entry_copy_t *pick_least_cost(entry_service_t *svc,
				     const entry_call_t *call, bool near,
				     usec_t now)
{
	entry_copy_t *best = NULL;
	entry_copy_t *copy = NULL;
	unsigned ties = 1;
	double least = 0;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		double cost;

		if (pick_near(svc, copy) != near ||
		    !pick_reports_open(svc, call, copy, now))
			continue;
		cost = entry_report_cost(svc, copy, now);
		if (best && cost > least)
			continue;
		ties = best && cost >= least ? ties + 1 : 1;
		if (ties > 1 && entry_pick_random(svc, ties) != 0)
			continue;
		best = copy;
		least = cost;
	}
	return best;
}

/* Put a copy among the least costly ones found so far. */
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

unsigned entry_service_candidates(entry_service_t *svc,
				  const entry_call_t *call, usec_t asked_after,
				  bool near, bool usual, entry_copy_t **out,
				  unsigned max, usec_t now)
{
	double costs[PICK_CANDIDATES_MAX];
	entry_copy_t *copy = NULL;
	unsigned count = 0;

	if (max > PICK_CANDIDATES_MAX)
		max = PICK_CANDIDATES_MAX;
	cds_list_for_each_entry (copy, &svc->copies, link) {
		double cost;

		if (pick_near(svc, copy) != near || (usual && !copy->usual) ||
		    copy->report.at >= asked_after ||
		    !pick_reports_open(svc, call, copy, now))
			continue;
		/* Chance decides among those of which little is known. */
		cost = entry_report_cost(svc, copy, now) +
		       PICK_CHANCE * entry_pick_random(svc, PICK_CHANCE_STEPS);
		count = pick_insert(out, costs, count, max, copy, cost);
	}
	return count;
}

/* A copy of the zone that is due for a call to show that it has recovered. */
static entry_copy_t *pick_reports_probation(const entry_service_t *svc,
					    const entry_call_t *call,
					    usec_t now)
{
	entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (copy->health->ejected && pick_near(svc, copy) &&
		    !copy->draining && copy->limit > 0 &&
		    !pick_avoids(svc, call, copy) &&
		    entry_health_probation(copy, call, now))
			return copy;
	return NULL;
}

/* Whether a copy would answer within the call's objective. */
static bool pick_in_time(const entry_service_t *svc, const entry_call_t *call,
			 const entry_copy_t *copy, usec_t now)
{
	return !call->objective ||
	       now + entry_report_time(svc, call, copy, now) <=
		       entry_report_due(call);
}

/*
 * Whether a call leaves room to those that can be in time: it is late anyhow,
 * and has time for several answers before its deadline.
 */
static bool pick_yields(const entry_service_t *svc, const entry_call_t *call,
			usec_t now)
{
	double work = (double)entry_report_work(svc, call);

	return call->objective && now + work > entry_report_due(call) &&
	       now + PICK_YIELD_TIMES * work < call->deadline;
}

/* Whether a copy told just now that it has a free slot, and is quick. */
static bool pick_is_quick(const entry_service_t *svc, const entry_call_t *call,
			  const entry_copy_t *copy, usec_t now)
{
	unsigned spare = pick_yields(svc, call, now) ? 1 : 0;

	return entry_report_fresh(svc, copy, spare, now) &&
	       entry_report_cost(svc, copy, now) <= PICK_COST_QUICK;
}

/*
 * Whether a copy is worth starting on: it told just now that it has a free
 * slot, and it would be in time or is quick.
 */
static bool pick_is_good(const entry_service_t *svc, const entry_call_t *call,
			 const entry_copy_t *copy, usec_t now)
{
	return pick_is_quick(svc, call, copy, now) ||
	       (entry_report_fresh(svc, copy, 0, now) &&
		pick_in_time(svc, call, copy, now));
}

entry_wait_t entry_service_wait_for_copy(entry_service_t *svc,
					 const entry_call_t *call, bool far,
					 bool choosy, usec_t now)
{
	entry_copy_t *near_copy = pick_least_cost(svc, call, true, now);
	entry_copy_t *far_copy = NULL;
	entry_copy_t *copy = near_copy;

	if (choosy)
		return near_copy && pick_is_quick(svc, call, near_copy, now) ?
			       ENTRY_WAIT_READY :
			       ENTRY_WAIT_AGAIN;
	if (near_copy && pick_is_good(svc, call, near_copy, now))
		return ENTRY_WAIT_READY;
	if (far || !near_copy)
		far_copy = pick_least_cost(svc, call, false, now);
	if (far_copy && pick_is_good(svc, call, far_copy, now))
		return ENTRY_WAIT_READY;
	if (!copy)
		copy = far_copy;
	if (!copy ||
	    now + entry_report_time(svc, call, copy, now) + PICK_WAIT_MARGIN >=
		    call->deadline)
		return ENTRY_WAIT_OVER;
	return ENTRY_WAIT_AGAIN;
}

/* Another zone's copy costs bytes between zones: only for an answer in time
 * that no copy of the zone would give. */
static entry_copy_t *pick_reports(entry_service_t *svc,
				  const entry_call_t *call, usec_t now)
{
	entry_copy_t *near = NULL;
	entry_copy_t *far;

	if (call->attempts == 0)
		near = pick_reports_probation(svc, call, now);
	if (near)
		return near;
	near = pick_least_cost(svc, call, true, now);
	if (near && pick_is_good(svc, call, near, now))
		return near;
	far = pick_least_cost(svc, call, false, now);
	if (!near || (far && pick_is_good(svc, call, far, now)))
		return far;
	return near;
}

entry_copy_t *entry_pick_fast(entry_service_t *svc, const entry_call_t *call,
			      usec_t now)
{
	entry_copy_t *best = NULL;
	entry_copy_t *copy = NULL;

	if (svc->policy == ENTRY_POLICY_REPORTS)
		return pick_least_cost(svc, call, true, now);

	cds_list_for_each_entry (copy, &svc->copies, link) {
		if (copy->health->ejected || !pick_open(svc, call, copy, now) ||
		    entry_health_slow(svc, copy, now))
			continue;
		if (!best || pick_before(svc, copy, best, now))
			best = copy;
	}
	return best;
}

/* A copy that is due for one call to show whether it has recovered. */
static entry_copy_t *pick_probation(const entry_service_t *svc,
				    const entry_call_t *call, usec_t now)
{
	entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		if (!copy->health->ejected &&
		    !entry_health_slow(svc, copy, now))
			continue;
		if (pick_open(svc, call, copy, now) &&
		    entry_health_probation(copy, call, now))
			return copy;
	}
	return NULL;
}

/*
 * The fastest straggler, while all other copies are full and the queue is
 * long against what the straggler costs.
 */
static entry_copy_t *pick_slow(const entry_service_t *svc,
			       const entry_call_t *call, usec_t now)
{
	entry_copy_t *best = NULL;
	entry_copy_t *copy = NULL;
	double least = svc->pace.typical;
	double wait = 0;

	if (svc->pace.rate > 0)
		wait = entry_queue_count(svc->queue) * USEC_PER_SEC /
		       svc->pace.rate;
	cds_list_for_each_entry (copy, &svc->copies, link) {
		double took = entry_health_time(svc, copy, now);

		if (copy->health->ejected || !pick_open(svc, call, copy, now))
			continue;
		if (PICK_SLOW_SHARE * (took - svc->pace.typical) > wait)
			continue;
		if (best && took >= least)
			continue;
		best = copy;
		least = took;
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
		copy = pick_slow(svc, call, now);
	return copy;
}

/* The baselines: copies that are not draining, without credits. */

static unsigned pick_count(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (!copy->draining)
			count++;
	return count;
}

/* The copy at an index among those that take new work. */
static entry_copy_t *pick_at(entry_service_t *svc, unsigned index)
{
	entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (!copy->draining && index-- == 0)
			return copy;
	return NULL;
}

static entry_copy_t *pick_random_copy(entry_service_t *svc)
{
	unsigned count = pick_count(svc);

	return count ? pick_at(svc, entry_pick_random(svc, count)) : NULL;
}

static entry_copy_t *pick_least(entry_service_t *svc)
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
		    entry_pick_random(svc, ++ties + 1) != 0)
			continue;
		if (!best || copy->outstanding < best->outstanding)
			ties = 0;
		best = copy;
	}
	return best;
}

int entry_service_draw_two(entry_service_t *svc, entry_copy_t *two[2])
{
	unsigned count = pick_count(svc);
	unsigned first;
	unsigned second;

	if (count == 0)
		return -1;
	first = entry_pick_random(svc, count);
	second = count > 1 ? entry_pick_random(svc, count - 1) : first;
	if (count > 1 && second >= first)
		second++;
	two[0] = pick_at(svc, first);
	two[1] = pick_at(svc, second);
	return 0;
}

/* Two choices without probes: by what this entry itself has outstanding. */
static entry_copy_t *pick_two(entry_service_t *svc)
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
		return pick_least(svc);
	case ENTRY_POLICY_TWO_CHOICES:
		return pick_two(svc);
	case ENTRY_POLICY_REPORTS:
		return pick_reports(svc, call, now);
	case ENTRY_POLICY_OWNER:
		break;
	}
	return pick_owner(svc, call, now);
}
