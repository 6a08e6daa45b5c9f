#include <string.h>
#include "witness.h"

/* The terms of other owners that an entry wants to be ended, because it takes
   over their copies, and the responses of the witnesses of those terms. */

/* Number of witnesses that must have ended a term so that no majority can grant
   it any more. */
#define END_QUORUM (WITNESS_COUNT - WITNESS_COUNT / 2)

static bool end_matches(const witness_end_t *end, const char *owner,
			uint64_t number)
{
	return end->term.number == number && !strcmp(end->term.owner, owner);
}

/* Compares two terms with their witnesses: copies may echo the same owner and
   number with different witnesses, whose responses must not be added up. */
static bool end_equals(const witness_end_t *end, const witness_term_t *term)
{
	unsigned i;

	if (!end_matches(end, term->owner, term->number))
		return false;
	for (i = 0; i < WITNESS_COUNT; i++)
		if (end->term.members[i].boot != term->members[i].boot ||
		    strcmp(end->term.members[i].name, term->members[i].name))
			return false;
	return true;
}

witness_end_t *witness_ends_get(witness_ends_t *ends,
				const witness_term_t *term, usec_t now)
{
	witness_end_t *oldest = &ends->items[0];
	unsigned i;

	for (i = 0; i < WITNESS_ENDS_MAX; i++) {
		witness_end_t *end = &ends->items[i];

		if (end_equals(end, term)) {
			end->used_at = now;
			return end;
		}
		if (end->used_at < oldest->used_at)
			oldest = end;
	}
	memset(oldest, 0, sizeof(*oldest));
	oldest->term = *term;
	oldest->used_at = now;
	return oldest;
}

void witness_ends_on_response(witness_ends_t *ends, const char *from,
			      const char *owner, uint64_t term, uint64_t boot)
{
	unsigned i;
	unsigned j;

	for (i = 0; i < WITNESS_ENDS_MAX; i++) {
		witness_end_t *end = &ends->items[i];

		if (!end_matches(end, owner, term))
			continue;
		for (j = 0; j < WITNESS_COUNT; j++)
			if (end->term.members[j].boot == boot &&
			    !strcmp(end->term.members[j].name, from))
				end->ended[j] = true;
	}
}

bool witness_end_complete(const witness_end_t *end)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < WITNESS_COUNT; i++)
		count += end->ended[i];
	return count >= END_QUORUM;
}
