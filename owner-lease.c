#include <stdio.h>
#include <string.h>
#include "owner-lease.h"

/* Start a claim: nothing may be sent until the copy echoes its epoch. */
static void lease_take(owner_lease_t *lease, uint64_t above)
{
	if (above < lease->epoch)
		above = lease->epoch;
	lease->epoch = (above / OWNER_EPOCH_TERM + 1) * OWNER_EPOCH_TERM;
	lease->hold = OWNER_HOLD_TAKING;
	lease->until = 0;
	lease->term = 0;
	lease->other_term = 0;
}

static void lease_former_set(owner_lease_t *lease, const char *name,
			     uint64_t epoch, usec_t until)
{
	memset(&lease->former, 0, sizeof(lease->former));
	snprintf(lease->former.name, HL_NAME_MAX, "%s", name);
	lease->former.epoch = epoch;
	lease->former.until = until;
	lease->former.known = !(epoch & OWNER_EPOCH_REDIRECT);
}

/* Another entry may have the copy: claim it. The claim that is under way for
   the same echo goes on, as the copy had no answer since. */
static void lease_claim(owner_lease_t *lease, const char *name,
			const owner_announcement_t *announcement, usec_t span,
			usec_t now)
{
	uint64_t epoch = announcement->epoch;

	if (lease->hold == OWNER_HOLD_TAKING && lease->former.until &&
	    lease->former.epoch == epoch && !strcmp(lease->former.name, name))
		return;
	if (!strcmp(announcement->witness, OWNER_WITNESS_NONE)) {
		lease_former_set(lease, "", 0, 0);
		lease_take(lease, 0);
		return;
	}
	lease_former_set(lease, name, epoch, now + span);
	memcpy(lease->former.witness, announcement->witness, WITNESS_TEXT_MAX);
	lease->former.since = now;
	lease_take(lease, epoch & OWNER_EPOCH_REDIRECT ? 0 : epoch);
}

/* A new process: only what we know of the old one's owners counts. */
static void lease_accept_first(owner_lease_t *lease, usec_t now)
{
	if (owner_lease_clear(lease, now))
		lease_former_set(lease, "", 0, 0);
	lease_take(lease, 0);
}

/* The copy's last answer was an earlier one of this claim of ours. */
static bool lease_answer_lost(const owner_lease_t *lease, uint64_t epoch)
{
	return epoch < lease->epoch &&
	       epoch / OWNER_EPOCH_TERM == lease->epoch / OWNER_EPOCH_TERM;
}

/* The copy names us; without a proof that we were the last to answer it,
   somebody else may have been. */
static void lease_accept_ours(owner_lease_t *lease, const char *self,
			      const owner_announcement_t *announcement,
			      usec_t span, usec_t now)
{
	uint64_t epoch = announcement->epoch;

	if (lease->hold != OWNER_HOLD_NONE && epoch == lease->epoch) {
		lease->hold = OWNER_HOLD_HELD;
		lease->until = lease->answered + span;
		lease->term = lease->answered_term;
		lease->other_term = 0;
		return;
	}
	if (lease->hold != OWNER_HOLD_NONE && lease_answer_lost(lease, epoch))
		return;
	/* Nobody else could send since we answered with that term. */
	if (announcement->ours) {
		lease_take(lease, 0);
		return;
	}
	lease_claim(lease, self, announcement, span, now);
	lease->former.known = false;
}

void owner_lease_accept(owner_lease_t *lease,
			const owner_announcement_t *announcement,
			const char *self, usec_t span, usec_t now)
{
	const char *echo = announcement->owner;

	if (!echo[0])
		lease_accept_first(lease, now);
	else if (!strcmp(echo, self))
		lease_accept_ours(lease, self, announcement, span, now);
	else
		lease_claim(lease, echo, announcement, span, now);
	lease->sequence = announcement->sequence;
	lease->epoch++;
	lease->answered = now;
}

bool owner_lease_release(owner_lease_t *lease, uint64_t epoch)
{
	if (epoch < lease->epoch)
		return false;
	lease->hold = OWNER_HOLD_NONE;
	lease->until = 0;
	lease->epoch = epoch;
	return true;
}

uint64_t owner_lease_claim(const owner_lease_t *lease)
{
	return lease->epoch;
}

bool owner_lease_released(owner_lease_t *lease, const char *from,
			  uint64_t epoch, unsigned outstanding, usec_t now)
{
	owner_former_t *former = &lease->former;

	if (lease->hold == OWNER_HOLD_NONE || !former->until ||
	    strcmp(former->name, from) != 0 ||
	    epoch / OWNER_EPOCH_TERM != lease->epoch / OWNER_EPOCH_TERM ||
	    epoch > lease->epoch)
		return false;
	if (former->released && outstanding > former->outstanding)
		return true;
	former->released = true;
	former->outstanding = outstanding;
	former->reported = now;
	return true;
}

bool owner_lease_clear(const owner_lease_t *lease, usec_t now)
{
	const owner_former_t *former = &lease->former;

	return !former->until || former->released || former->ended ||
	       now >= former->until;
}

unsigned owner_lease_foreign(const owner_lease_t *lease, usec_t span,
			     usec_t now)
{
	const owner_former_t *former = &lease->former;

	if (!former->released || now >= former->reported + span)
		return 0;
	return former->outstanding;
}

bool owner_lease_asks(const owner_lease_t *lease, usec_t span, usec_t now)
{
	if (lease->hold == OWNER_HOLD_NONE || !lease->former.until ||
	    !lease->former.known)
		return false;
	return !owner_lease_clear(lease, now) ||
	       owner_lease_foreign(lease, span, now) > 0;
}

bool owner_lease_valid(const owner_lease_t *lease, usec_t now)
{
	return lease->hold == OWNER_HOLD_HELD && now < lease->until &&
	       owner_lease_clear(lease, now);
}

void owner_lease_answers(owner_lease_t *lease, uint64_t term)
{
	lease->answered_term = term;
	if (!term || term == lease->term || term == lease->other_term)
		return;
	if (!lease->term)
		lease->term = term;
	else if (!lease->other_term)
		lease->other_term = term;
	else
		lease->term = OWNER_TERM_FOREIGN;
}

void owner_lease_end(owner_lease_t *lease)
{
	lease->former.ended = true;
}

usec_t owner_lease_until(const owner_lease_t *lease, const witness_own_t *own)
{
	const uint64_t terms[] = { lease->term, lease->other_term };
	usec_t until = lease->until;
	unsigned i;

	for (i = 0; i < sizeof(terms) / sizeof(terms[0]); i++) {
		usec_t held = terms[i] ? witness_own_until(own, terms[i]) :
					 until;

		if (held < until)
			until = held;
	}
	return until;
}

unsigned owner_lease_limit(const owner_lease_t *lease, unsigned ceiling,
			   usec_t span, usec_t now)
{
	unsigned foreign = owner_lease_foreign(lease, span, now);

	if (!owner_lease_valid(lease, now))
		return 0;
	return ceiling > foreign ? ceiling - foreign : 0;
}
