#include <string.h>
#include "witness.h"

/* Ends that leave no majority of grants. */
#define ASK_ENOUGH (WITNESS_SET - WITNESS_SET / 2)

static bool ask_same(const witness_ask_t *ask, const char *owner,
		     uint64_t number)
{
	return ask->term.number == number && !strcmp(ask->term.owner, owner);
}

/* Copies might echo one term with witnesses that differ: keep them apart. */
static bool ask_equal(const witness_ask_t *ask, const witness_term_t *term)
{
	unsigned i;

	if (!ask_same(ask, term->owner, term->number))
		return false;
	for (i = 0; i < WITNESS_SET; i++)
		if (ask->term.members[i].boot != term->members[i].boot ||
		    strcmp(ask->term.members[i].name, term->members[i].name))
			return false;
	return true;
}

witness_ask_t *witness_asks_want(witness_asks_t *asks,
				 const witness_term_t *term, usec_t now)
{
	witness_ask_t *oldest = &asks->asks[0];
	unsigned i;

	for (i = 0; i < WITNESS_ASKS_MAX; i++) {
		witness_ask_t *ask = &asks->asks[i];

		if (ask_equal(ask, term)) {
			ask->used = now;
			return ask;
		}
		if (ask->used < oldest->used)
			oldest = ask;
	}
	memset(oldest, 0, sizeof(*oldest));
	oldest->term = *term;
	oldest->used = now;
	return oldest;
}

void witness_asks_answer(witness_asks_t *asks, const char *from,
			 const char *owner, uint64_t term, uint64_t boot)
{
	unsigned i;
	unsigned j;

	for (i = 0; i < WITNESS_ASKS_MAX; i++) {
		witness_ask_t *ask = &asks->asks[i];

		if (!ask_same(ask, owner, term))
			continue;
		for (j = 0; j < WITNESS_SET; j++)
			if (ask->term.members[j].boot == boot &&
			    !strcmp(ask->term.members[j].name, from))
				ask->ended[j] = true;
	}
}

bool witness_ask_ended(const witness_ask_t *ask)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < WITNESS_SET; i++)
		count += ask->ended[i];
	return count >= ASK_ENOUGH;
}
