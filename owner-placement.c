#include <string.h>
#include "owner-table.h"

/* Placement: chooses the owner of a copy. Copies stay with their owner, unless
   a move to a sibling improves the balance or the match of zones. */

/* Minimum interval between two moves of copies in a service. */
#define PLACEMENT_MOVE_INTERVAL USEC_PER_SEC
/* Maximum age of the reported copies of a sibling. */
#define PLACEMENT_LOAD_MAX_AGE (15 * USEC_PER_SEC)
/* Minimum difference between the numbers of copies of two owners for a move of
   a copy; a move at a smaller difference would not reduce it. */
#define PLACEMENT_MOVE_MIN_DIFFERENCE 2
/* Minimum difference for a move of a copy out of the zone that it is in. */
#define PLACEMENT_MOVE_MIN_DIFFERENCE_OWN_ZONE 4

static bool placement_load_is_current(const owner_sibling_t *sibling,
				      usec_t now)
{
	return sibling->reported_at &&
	       now - sibling->reported_at <= PLACEMENT_LOAD_MAX_AGE;
}

/* Returns the sibling with the fewest copies of those with a current report, or
   NULL. */
static owner_sibling_t *placement_fewest_copies(owner_service_t *svc,
						usec_t now)
{
	owner_sibling_t *best = NULL;
	unsigned i;

	for (i = 0; i < svc->sibling_count; i++) {
		owner_sibling_t *sibling = &svc->siblings[i];

		if (!placement_load_is_current(sibling, now))
			continue;
		if (!best || sibling->copies < best->copies)
			best = sibling;
	}
	return best;
}

/*
 * Returns the sibling with the fewest copies of those in a copy's zone, or
 * NULL. The owner should be in the zone of the copy, so that the loss of a zone
 * affects only copies of that zone.
 */
static owner_sibling_t *placement_fewest_in_zone(owner_service_t *svc,
						 const char *zone, usec_t now)
{
	owner_sibling_t *best = NULL;
	unsigned i;

	for (i = 0; i < svc->sibling_count; i++) {
		owner_sibling_t *sibling = &svc->siblings[i];

		if (!placement_load_is_current(sibling, now) ||
		    strcmp(sibling->member.zone, zone) != 0)
			continue;
		if (!best || sibling->copies < best->copies)
			best = sibling;
	}
	return best;
}

static bool placement_may_move(const owner_t *owner, const owner_service_t *svc,
			       const owner_record_t *record, usec_t now)
{
	return record && record->lease.state == OWNER_LEASE_HELD &&
	       now - record->held_at >= owner->options.lease &&
	       now - svc->moved_at >= PLACEMENT_MOVE_INTERVAL;
}

/* Returns the sibling that a copy of this entry should move to, or NULL. */
static owner_sibling_t *placement_better(owner_t *owner, owner_service_t *svc,
					 const char *zone, usec_t now)
{
	bool own_zone = !strcmp(zone, owner->options.self.zone);
	unsigned min_difference =
		own_zone ? PLACEMENT_MOVE_MIN_DIFFERENCE_OWN_ZONE :
			   PLACEMENT_MOVE_MIN_DIFFERENCE;
	owner_sibling_t *in_zone = own_zone ?
					   NULL :
					   placement_fewest_in_zone(svc, zone,
								    now);
	owner_sibling_t *fewest = placement_fewest_copies(svc, now);

	if (in_zone && in_zone->copies <= svc->copies)
		return in_zone;
	if (fewest && svc->copies >= fewest->copies + min_difference)
		return fewest;
	return NULL;
}

/* Chooses the owner of a copy that this entry owns. */
static const owner_member_t *placement_of_owned(owner_t *owner,
						owner_service_t *svc,
						const owner_copy_t *copy,
						usec_t now)
{
	const owner_record_t *record = owner_table_record(owner, svc->name,
							  copy->name);
	owner_sibling_t *better;

	if (!placement_may_move(owner, svc, record, now))
		return &owner->options.self;
	better = placement_better(owner, svc, copy->zone, now);
	if (!better)
		return &owner->options.self;
	svc->moved_at = now;
	better->copies++;
	metrics_add(owner->copies_moved, 1);
	return &better->member;
}

/* Chooses the owner of a copy that has none. Only the owner that
   owner_hash_copy() selects decides; the others redirect the copy to it. */
static const owner_member_t *placement_of_new(owner_t *owner,
					      owner_service_t *svc,
					      const owner_copy_t *copy,
					      usec_t now)
{
	const owner_member_t *first = &owner->members[owner_hash_copy(
		owner->members, svc->owners, svc->owner_count, svc->name,
		copy->name)];
	bool own_zone = !strcmp(copy->zone, owner->options.self.zone);
	owner_sibling_t *in_zone = placement_fewest_in_zone(svc, copy->zone,
							    now);
	owner_sibling_t *fewest = placement_fewest_copies(svc, now);

	if (strcmp(first->name, owner->options.self.name) != 0)
		return first;
	if (own_zone &&
	    (!fewest ||
	     svc->copies <
		     fewest->copies + PLACEMENT_MOVE_MIN_DIFFERENCE_OWN_ZONE))
		return &owner->options.self;
	if (in_zone &&
	    in_zone->copies <
		    svc->copies + PLACEMENT_MOVE_MIN_DIFFERENCE_OWN_ZONE)
		fewest = in_zone;
	else if (!fewest || fewest->copies >= svc->copies)
		return &owner->options.self;
	fewest->copies++;
	return &fewest->member;
}

/* Returns the sibling named by the term that the copy echoes, if another entry
   redirected the copy here but the forwarded announcement with its former owner
   was lost; otherwise NULL. That sibling can accept or redirect the copy. */
static const owner_sibling_t *placement_missing_forward(
	owner_t *owner, owner_service_t *svc,
	const owner_announcement_t *announcement)
{
	const owner_record_t *record =
		owner_table_record(owner, svc->name, announcement->copy.name);
	witness_term_t term;

	if (!(announcement->epoch & OWNER_EPOCH_REDIRECT) ||
	    (record && record->redirect_epoch == announcement->epoch) ||
	    witness_term_parse(announcement->witness, &term))
		return NULL;
	return owner_table_sibling(svc, term.owner);
}

const owner_member_t *owner_placement_choose(
	owner_t *owner, owner_service_t *svc,
	const owner_announcement_t *announcement, usec_t now)
{
	const owner_sibling_t *sibling;

	if (!svc->owner_count)
		return NULL;
	owner_table_count(owner, svc);
	sibling = placement_missing_forward(owner, svc, announcement);
	if (sibling)
		return &sibling->member;
	if (svc->is_owner &&
	    !strcmp(announcement->owner, owner->options.self.name))
		return placement_of_owned(owner, svc, &announcement->copy, now);
	sibling = owner_table_sibling(svc, announcement->owner);
	if (sibling)
		return &sibling->member;
	return placement_of_new(owner, svc, &announcement->copy, now);
}
