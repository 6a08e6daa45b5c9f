#include <stdio.h>
#include <string.h>
#include "owner-lease.h"

/* The state machine of one copy's lease; owner-lease.h describes it. */

/* Starts a claim with epochs above @last_epoch. No call may be sent until the
   copy echoes an epoch of the claim. */
static void lease_start_claim(owner_lease_t *lease, uint64_t last_epoch)
{
	if (last_epoch < lease->epoch)
		last_epoch = lease->epoch;
	lease->epoch = (last_epoch / OWNER_EPOCHS_PER_CLAIM + 1) *
		       OWNER_EPOCHS_PER_CLAIM;
	lease->state = OWNER_LEASE_CLAIMING;
	lease->until = 0;
	lease->term = 0;
	lease->other_term = 0;
}

static void lease_set_former(owner_lease_t *lease, const char *name,
			     uint64_t epoch, usec_t expires)
{
	memset(&lease->former, 0, sizeof(lease->former));
	snprintf(lease->former.name, HL_NAME_MAX, "%s", name);
	lease->former.epoch = epoch;
	lease->former.expires = expires;
	lease->former.can_release = !(epoch & OWNER_EPOCH_REDIRECT);
}

/* Claims a copy that another entry may own. If a claim is pending and the copy
   echoes the same owner and epoch as at its start, that claim continues, as the
   copy has received no response since. */
static void lease_claim(owner_lease_t *lease, const char *name,
			const owner_announcement_t *announcement,
			usec_t duration, usec_t now)
{
	uint64_t epoch = announcement->epoch;

	if (lease->state == OWNER_LEASE_CLAIMING && lease->former.expires &&
	    lease->former.epoch == epoch && !strcmp(lease->former.name, name))
		return;
	if (!strcmp(announcement->witness, OWNER_WITNESS_NONE)) {
		lease_set_former(lease, "", 0, 0);
		lease_start_claim(lease, 0);
		return;
	}
	lease_set_former(lease, name, epoch, now + duration);
	memcpy(lease->former.witness, announcement->witness, WITNESS_TEXT_MAX);
	lease->former.claimed_at = now;
	lease_start_claim(lease, epoch & OWNER_EPOCH_REDIRECT ? 0 : epoch);
}

/* Accepts a copy whose announcement echoes no owner and epoch, because its
   process is new and has received no response yet. The claim waits for a former
   owner, of an earlier process of the copy, only if lease->former has one that
   is not fenced. */
static void lease_accept_first(owner_lease_t *lease, usec_t now)
{
	if (owner_lease_former_fenced(lease, now))
		lease_set_former(lease, "", 0, 0);
	lease_start_claim(lease, 0);
}

/* Whether the copy echoes an earlier response of the current claim, so that the
   last response was lost. */
static bool lease_response_lost(const owner_lease_t *lease, uint64_t epoch)
{
	return epoch < lease->epoch &&
	       epoch / OWNER_EPOCHS_PER_CLAIM ==
		       lease->epoch / OWNER_EPOCHS_PER_CLAIM;
}

/* Accepts a copy that echoes this entry as its owner. Unless the epoch proves
   that this entry gave the last response, another entry may own the copy. */
static void lease_accept_own_echo(owner_lease_t *lease, const char *self,
				  const owner_announcement_t *announcement,
				  usec_t duration, usec_t now)
{
	uint64_t epoch = announcement->epoch;

	if (lease->state != OWNER_LEASE_NONE && epoch == lease->epoch) {
		lease->state = OWNER_LEASE_HELD;
		lease->until = lease->answered_at + duration;
		lease->term = lease->answered_term;
		lease->other_term = 0;
		return;
	}
	if (lease->state != OWNER_LEASE_NONE &&
	    lease_response_lost(lease, epoch))
		return;
	/* The echoed term was opened by this process, which puts its own term
	   into a response only once the former owner is fenced. No other entry
	   has owned the copy since, so none needs to be fenced, and the new
	   claim has to exceed only the epochs of this entry. */
	if (announcement->own_term) {
		lease_start_claim(lease, 0);
		return;
	}
	lease_claim(lease, self, announcement, duration, now);
	lease->former.can_release = false;
}

void owner_lease_accept(owner_lease_t *lease,
			const owner_announcement_t *announcement,
			const char *self, usec_t duration, usec_t now)
{
	const char *echo = announcement->owner;

	if (!echo[0])
		lease_accept_first(lease, now);
	else if (!strcmp(echo, self))
		lease_accept_own_echo(lease, self, announcement, duration, now);
	else
		lease_claim(lease, echo, announcement, duration, now);
	lease->sequence = announcement->sequence;
	lease->epoch++;
	lease->answered_at = now;
}

bool owner_lease_release(owner_lease_t *lease, uint64_t epoch)
{
	if (epoch < lease->epoch)
		return false;
	lease->state = OWNER_LEASE_NONE;
	lease->until = 0;
	lease->epoch = epoch;
	return true;
}

uint64_t owner_lease_claim_epoch(const owner_lease_t *lease)
{
	return lease->epoch;
}

bool owner_lease_on_released(owner_lease_t *lease, const char *from,
			     uint64_t epoch, unsigned outstanding, usec_t now)
{
	owner_former_t *former = &lease->former;

	if (lease->state == OWNER_LEASE_NONE || !former->expires ||
	    strcmp(former->name, from) != 0 ||
	    epoch / OWNER_EPOCHS_PER_CLAIM !=
		    lease->epoch / OWNER_EPOCHS_PER_CLAIM ||
	    epoch > lease->epoch)
		return false;
	/* Ignore a delayed report: the number cannot grow after the release. */
	if (former->released && outstanding > former->outstanding)
		return true;
	former->released = true;
	former->outstanding = outstanding;
	former->reported_at = now;
	return true;
}

bool owner_lease_former_fenced(const owner_lease_t *lease, usec_t now)
{
	const owner_former_t *former = &lease->former;

	return !former->expires || former->released || former->ended ||
	       now >= former->expires;
}

unsigned owner_lease_former_outstanding(const owner_lease_t *lease,
					usec_t duration, usec_t now)
{
	const owner_former_t *former = &lease->former;

	if (!former->released || now >= former->reported_at + duration)
		return 0;
	return former->outstanding;
}

bool owner_lease_needs_release(const owner_lease_t *lease, usec_t duration,
			       usec_t now)
{
	if (lease->state == OWNER_LEASE_NONE || !lease->former.expires ||
	    !lease->former.can_release)
		return false;
	return !owner_lease_former_fenced(lease, now) ||
	       owner_lease_former_outstanding(lease, duration, now) > 0;
}

bool owner_lease_valid(const owner_lease_t *lease, usec_t now)
{
	return lease->state == OWNER_LEASE_HELD && now < lease->until &&
	       owner_lease_former_fenced(lease, now);
}

void owner_lease_set_answered_term(owner_lease_t *lease, uint64_t term)
{
	lease->answered_term = term;
	if (!term || term == lease->term || term == lease->other_term)
		return;
	if (!lease->term)
		lease->term = term;
	else if (!lease->other_term)
		lease->other_term = term;
	else
		/* There is no field for a third term. This entry never holds
		   OWNER_TERM_FOREIGN, so it sends no call to the copy at
		   least until the copy echoes the last response. */
		lease->term = OWNER_TERM_FOREIGN;
}

void owner_lease_end_former(owner_lease_t *lease)
{
	lease->former.ended = true;
}

usec_t owner_lease_until(const owner_lease_t *lease,
			 const witness_holder_t *holder)
{
	const uint64_t terms[] = { lease->term, lease->other_term };
	usec_t until = lease->until;
	unsigned i;

	for (i = 0; i < sizeof(terms) / sizeof(terms[0]); i++) {
		usec_t term_until = terms[i] ? witness_holder_until(holder,
								    terms[i]) :
					       until;

		if (term_until < until)
			until = term_until;
	}
	return until;
}

unsigned owner_lease_limit(const owner_lease_t *lease, unsigned ceiling,
			   usec_t duration, usec_t now)
{
	unsigned outstanding = owner_lease_former_outstanding(lease, duration,
							      now);

	if (!owner_lease_valid(lease, now))
		return 0;
	return ceiling > outstanding ? ceiling - outstanding : 0;
}
