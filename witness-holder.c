#include <string.h>
#include "witness.h"

/* The terms of an owner: opens them at witnesses and renews them. */

/* Grants needed to hold a term. */
#define GRANT_MAJORITY (WITNESS_COUNT / 2 + 1)

void witness_holder_init(witness_holder_t *holder, const char *owner,
			 uint64_t boot, usec_t echo_delay_max)
{
	memset(holder, 0, sizeof(*holder));
	strncpy(holder->owner, owner, HL_NAME_MAX - 1);
	holder->next_number = boot;
	holder->echo_delay_max = echo_delay_max;
}

/* Returns the time at which the term expires: from then on fewer than a
   majority of the grants are in force. */
static usec_t lease_until(const witness_lease_t *lease)
{
	usec_t best = 0;
	unsigned i;
	unsigned j;

	for (i = 0; i < WITNESS_COUNT; i++) {
		unsigned count = 0;

		for (j = 0; j < WITNESS_COUNT; j++)
			count += lease->granted_sent_at[j] >=
				 lease->granted_sent_at[i];
		if (count >= GRANT_MAJORITY && lease->granted_sent_at[i] > best)
			best = lease->granted_sent_at[i];
	}
	return best ? best + WITNESS_LEASE_DURATION : 0;
}

/* Whether a witness has refused to renew the term, or has not responded for
   WITNESS_REPLACE_TIMEOUT. */
static bool lease_is_damaged(const witness_lease_t *lease, usec_t now)
{
	unsigned i;

	for (i = 0; i < WITNESS_COUNT; i++)
		if (lease->refused[i] ||
		    now - lease->granted_sent_at[i] > WITNESS_REPLACE_TIMEOUT)
			return true;
	return false;
}

bool witness_holder_should_open(const witness_holder_t *holder, bool misplaced,
				usec_t now)
{
	if (holder->opening.term.number || now < holder->next_open)
		return false;
	if (now >= lease_until(&holder->current))
		return true;
	if (now - holder->current.opened_at < holder->echo_delay_max)
		return false;
	return misplaced || lease_is_damaged(&holder->current, now);
}

void witness_holder_open(witness_holder_t *holder, const char *const *names,
			 usec_t now)
{
	witness_term_t *term = &holder->opening.term;
	unsigned i;

	memset(&holder->opening, 0, sizeof(holder->opening));
	memcpy(term->owner, holder->owner, HL_NAME_MAX);
	term->number = holder->next_number++;
	for (i = 0; i < WITNESS_COUNT; i++)
		strncpy(term->members[i].name, names[i], HL_NAME_MAX - 1);
	holder->opening.opened_at = now;
	holder->next_renewal = now;
	holder->next_open = now + WITNESS_RENEW_INTERVAL;
}

/* Puts the new term into use once every witness has responded with its boot
   number. From then on each renewal carries that number: a witness that
   restarted has lost its record that the term was ended, and would grant a
   renewal without the number. */
static void holder_establish(witness_holder_t *holder, usec_t now)
{
	witness_lease_t *opening = &holder->opening;
	unsigned responded = 0;
	unsigned i;

	for (i = 0; i < WITNESS_COUNT; i++)
		responded += opening->term.members[i].boot != 0;
	if (responded == WITNESS_COUNT) {
		holder->former = holder->current;
		holder->current = *opening;
		memset(opening, 0, sizeof(*opening));
	} else if (now - opening->opened_at > WITNESS_LEASE_DURATION) {
		memset(opening, 0, sizeof(*opening));
	}
}

static unsigned lease_renewals(const witness_lease_t *lease,
			       witness_renewal_t *out, usec_t now)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; lease->term.number && i < WITNESS_COUNT; i++) {
		if (lease->refused[i])
			continue;
		out[count].to = lease->term.members[i].name;
		out[count].term = lease->term.number;
		out[count].boot = lease->term.members[i].boot;
		out[count++].sent_at = now;
	}
	return count;
}

unsigned witness_holder_renewals(witness_holder_t *holder,
				 witness_renewal_t *out, usec_t now)
{
	unsigned count;

	if (holder->opening.term.number)
		holder_establish(holder, now);
	if (holder->former.term.number &&
	    now - holder->current.opened_at >= 2 * holder->echo_delay_max)
		memset(&holder->former, 0, sizeof(holder->former));
	if (now < holder->next_renewal)
		return 0;
	holder->next_renewal = now + (holder->opening.term.number ?
					      WITNESS_OPEN_INTERVAL :
					      WITNESS_RENEW_INTERVAL);
	count = lease_renewals(&holder->current, out, now);
	count += lease_renewals(&holder->former, out + count, now);
	return count + lease_renewals(&holder->opening, out + count, now);
}

static witness_lease_t *holder_lease(witness_holder_t *holder, uint64_t number)
{
	if (!number)
		return NULL;
	if (holder->current.term.number == number)
		return &holder->current;
	if (holder->former.term.number == number)
		return &holder->former;
	return holder->opening.term.number == number ? &holder->opening : NULL;
}

static void holder_on_refusal(witness_holder_t *holder, witness_lease_t *lease,
			      unsigned index, uint64_t newest_term)
{
	lease->refused[index] = true;
	if (holder->next_number <= newest_term)
		holder->next_number = newest_term + 1;
	if (lease == &holder->opening)
		memset(lease, 0, sizeof(*lease));
}

void witness_holder_on_response(witness_holder_t *holder,
				const witness_response_t *response, usec_t now)
{
	witness_lease_t *lease = holder_lease(holder, response->term);
	witness_member_t *member;
	unsigned i;

	for (i = 0; lease && i < WITNESS_COUNT; i++)
		if (!strcmp(lease->term.members[i].name, response->from))
			break;
	if (!lease || i == WITNESS_COUNT || response->sent_at > now)
		return;
	member = &lease->term.members[i];
	if (!response->granted) {
		holder_on_refusal(holder, lease, i, response->newest_term);
		return;
	}
	if (lease == &holder->opening && !member->boot)
		member->boot = response->boot;
	if (member->boot == response->boot &&
	    response->sent_at > lease->granted_sent_at[i])
		lease->granted_sent_at[i] = response->sent_at;
}

usec_t witness_holder_until(const witness_holder_t *holder, uint64_t number)
{
	if (!number)
		return 0;
	if (holder->current.term.number == number)
		return lease_until(&holder->current);
	if (holder->former.term.number == number)
		return lease_until(&holder->former);
	return 0;
}

const witness_term_t *witness_holder_term(const witness_holder_t *holder,
					  usec_t now)
{
	return now < lease_until(&holder->current) ? &holder->current.term :
						     NULL;
}
