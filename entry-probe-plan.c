#include "entry-decide.h"

/*
 * The order in which a call that needs a copy probes them. The probes of a service
 * are bounded. While few are left, a zone whose copies are full must not use them
 * up on these copies: copies of other zones are probed sooner, and of the calls
 * that wait only the first one probes, as what it learns wakes the others.
 */

/* Number of rounds of probes in this zone before copies of other zones are probed,
   usually and while probes are scarce. */
#define PLAN_ZONE_ROUNDS 3
#define PLAN_ZONE_ROUNDS_SCARCE 1
/* Number of the first rounds after which the call is sent only to a copy that is
   quick (see entry_wait_t), not to any that meets its objective. */
#define PLAN_QUICK_ONLY_ROUNDS 2

/* The copies to probe in a round after those in this zone: those of other zones,
   then those of this zone if it has any, while probes are scarce by turns. */
static entry_scope_t plan_later_scope(unsigned round, bool scarce,
				      bool zone_has_copy)
{
	bool others = scarce ? round % 2 == 0 : round == 0;

	return others || !zone_has_copy ? ENTRY_SCOPE_OTHER_ZONES :
					  ENTRY_SCOPE_ZONE;
}

entry_probe_plan_t entry_service_plan_probes(entry_service_t *svc,
					     const entry_call_t *call,
					     unsigned round, usec_t now)
{
	bool scarce = entry_probe_rate_is_scarce(svc, now);
	unsigned zone_rounds = scarce ? PLAN_ZONE_ROUNDS_SCARCE :
					PLAN_ZONE_ROUNDS;
	entry_probe_plan_t plan = {
		.probes = !scarce || !round ||
			  entry_await_is_first(svc, call, now),
		.other_zones = round >= zone_rounds,
		.quick_only = !scarce && round < PLAN_QUICK_ONLY_ROUNDS,
		.scope = ENTRY_SCOPE_SUBSET,
	};

	if (plan.other_zones)
		plan.scope = plan_later_scope(round - zone_rounds, scarce,
					      entry_pick_zone_has_copy(svc,
								       call,
								       now));
	return plan;
}
