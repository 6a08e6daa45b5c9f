#include <string.h>
#include "witness.h"

/* Grants that hold a term. */
#define OWN_MAJORITY (WITNESS_SET / 2 + 1)

void witness_own_init(witness_own_t *own, const char *owner, uint64_t boot,
		      usec_t gap)
{
	memset(own, 0, sizeof(*own));
	strncpy(own->owner, owner, HL_NAME_MAX - 1);
	own->next = boot;
	own->gap = gap;
}

/* The term is held until a majority's grants begin to run out. */
static usec_t own_until(const witness_hold_t *hold)
{
	usec_t best = 0;
	unsigned i;
	unsigned j;

	for (i = 0; i < WITNESS_SET; i++) {
		unsigned count = 0;

		for (j = 0; j < WITNESS_SET; j++)
			count += hold->granted[j] >= hold->granted[i];
		if (count >= OWN_MAJORITY && hold->granted[i] > best)
			best = hold->granted[i];
	}
	return best ? best + WITNESS_LEASE : 0;
}

/* One witness at least will not grant this term again. */
static bool own_damaged(const witness_hold_t *hold, usec_t now)
{
	unsigned i;

	for (i = 0; i < WITNESS_SET; i++)
		if (hold->refused[i] ||
		    now - hold->granted[i] > WITNESS_SILENCE)
			return true;
	return false;
}

bool witness_own_wants(const witness_own_t *own, bool misplaced, usec_t now)
{
	if (own->opening.term.number || now < own->open_from)
		return false;
	if (now >= own_until(&own->current))
		return true;
	if (now - own->current.opened < own->gap)
		return false;
	return misplaced || own_damaged(&own->current, now);
}

void witness_own_open(witness_own_t *own, const char *const *names, usec_t now)
{
	witness_term_t *term = &own->opening.term;
	unsigned i;

	memset(&own->opening, 0, sizeof(own->opening));
	memcpy(term->owner, own->owner, HL_NAME_MAX);
	term->number = own->next++;
	for (i = 0; i < WITNESS_SET; i++)
		strncpy(term->members[i].name, names[i], HL_NAME_MAX - 1);
	own->opening.opened = now;
	own->renew_from = now;
	own->open_from = now + WITNESS_PERIOD;
}

/* The new term goes into use only when every witness has told its boot: from
   then on no renewal without one is sent, which a witness that has forgotten
   an end would grant. */
static void own_establish(witness_own_t *own, usec_t now)
{
	witness_hold_t *opening = &own->opening;
	unsigned answered = 0;
	unsigned i;

	for (i = 0; i < WITNESS_SET; i++)
		answered += opening->term.members[i].boot != 0;
	if (answered == WITNESS_SET) {
		own->former = own->current;
		own->current = *opening;
		memset(opening, 0, sizeof(*opening));
	} else if (now - opening->opened > WITNESS_LEASE) {
		memset(opening, 0, sizeof(*opening));
	}
}

static unsigned own_renew(const witness_hold_t *hold, witness_renewal_t *out,
			  usec_t now)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; hold->term.number && i < WITNESS_SET; i++) {
		if (hold->refused[i])
			continue;
		out[count].to = hold->term.members[i].name;
		out[count].term = hold->term.number;
		out[count].boot = hold->term.members[i].boot;
		out[count++].sent = now;
	}
	return count;
}

unsigned witness_own_renewals(witness_own_t *own, witness_renewal_t *out,
			      usec_t now)
{
	unsigned count;

	if (own->opening.term.number)
		own_establish(own, now);
	if (own->former.term.number &&
	    now - own->current.opened >= 2 * own->gap)
		memset(&own->former, 0, sizeof(own->former));
	if (now < own->renew_from)
		return 0;
	own->renew_from = now + (own->opening.term.number ?
					 WITNESS_PERIOD_OPENING :
					 WITNESS_PERIOD);
	count = own_renew(&own->current, out, now);
	count += own_renew(&own->former, out + count, now);
	return count + own_renew(&own->opening, out + count, now);
}

static witness_hold_t *own_hold(witness_own_t *own, uint64_t number)
{
	if (!number)
		return NULL;
	if (own->current.term.number == number)
		return &own->current;
	if (own->former.term.number == number)
		return &own->former;
	return own->opening.term.number == number ? &own->opening : NULL;
}

static void own_refused(witness_own_t *own, witness_hold_t *hold,
			unsigned index, uint64_t known)
{
	hold->refused[index] = true;
	if (own->next <= known)
		own->next = known + 1;
	if (hold == &own->opening)
		memset(hold, 0, sizeof(*hold));
}

void witness_own_answer(witness_own_t *own, const witness_grant_t *grant,
			usec_t now)
{
	witness_hold_t *hold = own_hold(own, grant->term);
	witness_member_t *member;
	unsigned i;

	for (i = 0; hold && i < WITNESS_SET; i++)
		if (!strcmp(hold->term.members[i].name, grant->from))
			break;
	if (!hold || i == WITNESS_SET || grant->sent > now)
		return;
	member = &hold->term.members[i];
	if (!grant->granted) {
		own_refused(own, hold, i, grant->known);
		return;
	}
	if (hold == &own->opening && !member->boot)
		member->boot = grant->boot;
	if (member->boot == grant->boot && grant->sent > hold->granted[i])
		hold->granted[i] = grant->sent;
}

usec_t witness_own_until(const witness_own_t *own, uint64_t number)
{
	if (!number)
		return 0;
	if (own->current.term.number == number)
		return own_until(&own->current);
	if (own->former.term.number == number)
		return own_until(&own->former);
	return 0;
}

const witness_term_t *witness_own_term(const witness_own_t *own, usec_t now)
{
	return now < own_until(&own->current) ? &own->current.term : NULL;
}
