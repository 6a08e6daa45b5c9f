#include <string.h>
#include "owner-table.h"

/* A copy is passed on for balance at most this often in each service. */
#define PLACE_MOVE_PERIOD USEC_PER_SEC
/* What a sibling told of its copies is believed for this long. */
#define PLACE_BELIEVE (15 * USEC_PER_SEC)
/* Passing a copy on must leave both sides closer than before. */
#define PLACE_MOVE_GAIN 2
/* The same for a copy whose owner is in the copy's own zone. */
#define PLACE_MOVE_GAIN_HOME 4

static bool place_believed(const owner_sibling_t *sibling, usec_t now)
{
	return sibling->heard && now - sibling->heard <= PLACE_BELIEVE;
}

/* The sibling with the fewest copies of those that told, or NULL. */
static owner_sibling_t *place_fewest(owner_service_t *svc, usec_t now)
{
	owner_sibling_t *best = NULL;
	unsigned i;

	for (i = 0; i < svc->count; i++) {
		owner_sibling_t *sibling = &svc->siblings[i];

		if (!place_believed(sibling, now))
			continue;
		if (!best || sibling->copies < best->copies)
			best = sibling;
	}
	return best;
}

/*
 * The sibling with the fewest copies of those in a copy's own zone, or NULL: a
 * zone that is lost should take its own copies with it and no others.
 */
static owner_sibling_t *place_home(owner_service_t *svc, const char *zone,
				   usec_t now)
{
	owner_sibling_t *best = NULL;
	unsigned i;

	for (i = 0; i < svc->count; i++) {
		owner_sibling_t *sibling = &svc->siblings[i];

		if (!place_believed(sibling, now) ||
		    strcmp(sibling->member.zone, zone) != 0)
			continue;
		if (!best || sibling->copies < best->copies)
			best = sibling;
	}
	return best;
}

static bool place_may_move(const owner_t *owner, const owner_service_t *svc,
			   const owner_record_t *record, usec_t now)
{
	return record && record->lease.hold == OWNER_HOLD_HELD &&
	       now - record->held_since >= owner->options.lease &&
	       now - svc->moved >= PLACE_MOVE_PERIOD;
}

/* Where a copy that we hold should better be, or NULL. */
static owner_sibling_t *place_better(owner_t *owner, owner_service_t *svc,
				     const char *zone, usec_t now)
{
	bool ours = !strcmp(zone, owner->options.self.zone);
	unsigned gain = ours ? PLACE_MOVE_GAIN_HOME : PLACE_MOVE_GAIN;
	owner_sibling_t *home = ours ? NULL : place_home(svc, zone, now);
	owner_sibling_t *fewest = place_fewest(svc, now);

	if (home && home->copies <= svc->copies)
		return home;
	if (fewest && svc->copies >= fewest->copies + gain)
		return fewest;
	return NULL;
}

/* A copy of ours stays, unless a sibling is clearly better for it. */
static const owner_member_t *place_ours(owner_t *owner, owner_service_t *svc,
					const owner_copy_t *copy, usec_t now)
{
	const owner_record_t *record = owner_table_record(owner, svc->name,
							  copy->name);
	owner_sibling_t *better;

	if (!place_may_move(owner, svc, record, now))
		return &owner->options.self;
	better = place_better(owner, svc, copy->zone, now);
	if (!better)
		return &owner->options.self;
	svc->moved = now;
	better->copies++;
	metrics_add(owner->moved, 1);
	return &better->member;
}

/* The first by hash decides on a copy that has no owner. */
static const owner_member_t *place_new(owner_t *owner, owner_service_t *svc,
				       const owner_copy_t *copy, usec_t now)
{
	const owner_member_t *first = &owner->members[owner_of_copy(
		owner->members, svc->owners, svc->owner_count, svc->name,
		copy->name)];
	bool ours = !strcmp(copy->zone, owner->options.self.zone);
	owner_sibling_t *home = place_home(svc, copy->zone, now);
	owner_sibling_t *fewest = place_fewest(svc, now);

	if (strcmp(first->name, owner->options.self.name) != 0)
		return first;
	if (ours &&
	    (!fewest || svc->copies < fewest->copies + PLACE_MOVE_GAIN_HOME))
		return &owner->options.self;
	if (home && home->copies < svc->copies + PLACE_MOVE_GAIN_HOME)
		fewest = home;
	else if (!fewest || fewest->copies >= svc->copies)
		return &owner->options.self;
	fewest->copies++;
	return &fewest->member;
}

/* The copy was sent here, but the datagram that should tell who had it was
   lost: the sibling that its term names, which can take it or pass it on. */
static const owner_sibling_t *place_untold(
	owner_t *owner, owner_service_t *svc,
	const owner_announcement_t *announcement)
{
	const owner_record_t *record =
		owner_table_record(owner, svc->name, announcement->copy.name);
	witness_term_t term;

	if (!(announcement->epoch & OWNER_EPOCH_REDIRECT) ||
	    (record && record->redirect == announcement->epoch) ||
	    witness_term_parse(announcement->witness, &term))
		return NULL;
	return owner_table_sibling(svc, term.owner);
}

const owner_member_t *owner_table_place(
	owner_t *owner, owner_service_t *svc,
	const owner_announcement_t *announcement, usec_t now)
{
	const owner_sibling_t *holder;

	if (!svc->owner_count)
		return NULL;
	owner_table_count(owner, svc);
	holder = place_untold(owner, svc, announcement);
	if (holder)
		return &holder->member;
	if (svc->own && !strcmp(announcement->owner, owner->options.self.name))
		return place_ours(owner, svc, &announcement->copy, now);
	holder = owner_table_sibling(svc, announcement->owner);
	if (holder)
		return &holder->member;
	return place_new(owner, svc, &announcement->copy, now);
}
