#include "entry-decide.h"

/*
 * Credits that this entry has offered to sibling entries and reserves for their
 * calls. A reservation ends at its time limit, used or not.
 */

unsigned entry_reserve_count(const entry_service_t *svc, usec_t now)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < ENTRY_RESERVES_MAX; i++)
		if (svc->reserves[i].until > now)
			count += svc->reserves[i].credits;
	return count;
}

/* Return the number of unused credits at copies that are healthy and not
   draining. */
static unsigned reserve_unused(const entry_service_t *svc, usec_t now)
{
	const entry_copy_t *copy = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		unsigned credits = entry_credit_of(svc, copy, now);

		if (copy->draining || copy->health->ejected ||
		    now < copy->health->paused_until ||
		    entry_health_is_slow(svc, copy, now))
			continue;
		if (copy->outstanding < credits)
			count += credits - copy->outstanding;
	}
	return count;
}

unsigned entry_reserve_available(const entry_service_t *svc, usec_t now)
{
	unsigned reserved = entry_reserve_count(svc, now);
	unsigned unused = reserve_unused(svc, now);

	return unused > reserved ? unused - reserved : 0;
}

unsigned entry_reserve_add(entry_service_t *svc, unsigned credits, usec_t until,
			   usec_t now)
{
	unsigned unused = entry_reserve_available(svc, now);
	unsigned i;

	if (credits > unused)
		credits = unused;
	for (i = 0; i < ENTRY_RESERVES_MAX && credits > 0; i++) {
		if (svc->reserves[i].until > now &&
		    svc->reserves[i].credits > 0)
			continue;
		svc->reserves[i].credits = credits;
		svc->reserves[i].until = until;
		return credits;
	}
	return 0;
}

bool entry_reserve_use(entry_service_t *svc, usec_t now)
{
	entry_reserve_t *earliest = NULL;
	unsigned i;

	for (i = 0; i < ENTRY_RESERVES_MAX; i++) {
		entry_reserve_t *reserve = &svc->reserves[i];

		if (reserve->until <= now || reserve->credits == 0)
			continue;
		if (!earliest || reserve->until < earliest->until)
			earliest = reserve;
	}
	if (!earliest)
		return false;
	earliest->credits--;
	return true;
}
