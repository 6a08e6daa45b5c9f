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
static void lease_claim(owner_lease_t *lease, const char *name, uint64_t epoch,
			usec_t span, usec_t now)
{
	if (lease->hold == OWNER_HOLD_TAKING && lease->former.until &&
	    lease->former.epoch == epoch && !strcmp(lease->former.name, name))
		return;
	lease_former_set(lease, name, epoch, now + span);
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
			      uint64_t epoch, usec_t span, usec_t now)
{
	if (lease->hold != OWNER_HOLD_NONE && epoch == lease->epoch) {
		lease->hold = OWNER_HOLD_HELD;
		lease->until = lease->answered + span;
		return;
	}
	if (lease->hold != OWNER_HOLD_NONE && lease_answer_lost(lease, epoch))
		return;
	lease_claim(lease, self, epoch, span, now);
	lease->former.known = false;
}

void owner_lease_accept(owner_lease_t *lease,
			const owner_announcement_t *announcement,
			const char *self, usec_t span, usec_t now)
{
	const char *echo = announcement->owner;
	uint64_t epoch = announcement->epoch;

	if (!echo[0])
		lease_accept_first(lease, now);
	else if (!strcmp(echo, self))
		lease_accept_ours(lease, self, epoch, span, now);
	else
		lease_claim(lease, echo, epoch, span, now);
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

	return !former->until || former->released || now >= former->until;
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

unsigned owner_lease_limit(const owner_lease_t *lease, unsigned ceiling,
			   usec_t span, usec_t now)
{
	unsigned foreign = owner_lease_foreign(lease, span, now);

	if (!owner_lease_valid(lease, now))
		return 0;
	return ceiling > foreign ? ceiling - foreign : 0;
}
