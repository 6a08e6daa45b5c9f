#include <string.h>
#include "claim.h"

void claim_run_begin(claim_run_t *run, const claim_record_t *record,
		     unsigned homes, usec_t give_up)
{
	memset(run, 0, sizeof(*run));
	run->record = *record;
	run->homes = homes;
	run->give_up = give_up;
}

void claim_run_answer(claim_run_t *run, unsigned home, claim_verdict_t verdict,
		      const claim_record_t *known)
{
	if (home >= run->homes)
		return;
	/* A home that abstained may know better when it is asked again. */
	if (run->answers[home] && run->answers[home] != CLAIM_ABSTAIN)
		return;
	run->answers[home] = verdict;
	if (verdict == CLAIM_HELD)
		run->known = *known;
}

claim_result_t claim_run_result(const claim_run_t *run, usec_t now)
{
	unsigned granted = 0;
	unsigned i;

	for (i = 0; i < run->homes; i++) {
		if (run->answers[i] == CLAIM_HELD)
			return CLAIM_LOST;
		granted += run->answers[i] == CLAIM_GRANTED;
	}
	if (granted > run->homes / 2)
		return CLAIM_WON;
	return now >= run->give_up ? CLAIM_NO_HOMES : CLAIM_ASKING;
}
