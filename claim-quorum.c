#include <string.h>
#include "claim.h"

void claim_quorum_begin(claim_quorum_t *run, const claim_record_t *record,
			unsigned homes, usec_t give_up)
{
	memset(run, 0, sizeof(*run));
	run->record = *record;
	run->homes = homes;
	run->deadline = give_up;
}

void claim_quorum_on_response(claim_quorum_t *run, unsigned home,
			      claim_verdict_t verdict,
			      const claim_record_t *known)
{
	if (home >= run->homes)
		return;
	/* A home that abstained may know better when it is asked again. */
	if (run->responses[home] && run->responses[home] != CLAIM_ABSTAIN)
		return;
	run->responses[home] = verdict;
	if (verdict == CLAIM_HELD)
		run->conflict = *known;
}

claim_result_t claim_quorum_result(const claim_quorum_t *run, usec_t now)
{
	unsigned granted = 0;
	unsigned i;

	for (i = 0; i < run->homes; i++) {
		if (run->responses[i] == CLAIM_HELD)
			return CLAIM_LOST;
		granted += run->responses[i] == CLAIM_GRANTED;
	}
	if (granted > run->homes / 2)
		return CLAIM_WON;
	return now >= run->deadline ? CLAIM_NO_QUORUM : CLAIM_PENDING;
}
