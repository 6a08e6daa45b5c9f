#include <string.h>
#include "claim.h"

/* Collects the responses of the replicas to a claim until a majority has
   granted it or one replica has refused it. */

void claim_run_begin(claim_run_t *quorum, const claim_record_t *record,
		     unsigned replicas, usec_t deadline)
{
	memset(quorum, 0, sizeof(*quorum));
	quorum->record = *record;
	quorum->replicas = replicas;
	quorum->give_up = deadline;
}

void claim_run_answer(claim_run_t *quorum, unsigned replica,
		      claim_verdict_t verdict, const claim_record_t *existing)
{
	if (replica >= quorum->replicas)
		return;
	/* A replica that abstained may decide when the claim is repeated. */
	if (quorum->answers[replica] &&
	    quorum->answers[replica] != CLAIM_ABSTAIN)
		return;
	quorum->answers[replica] = verdict;
	if (verdict == CLAIM_HELD)
		quorum->known = *existing;
}

claim_result_t claim_run_result(const claim_run_t *quorum, usec_t now)
{
	unsigned granted = 0;
	unsigned i;

	for (i = 0; i < quorum->replicas; i++) {
		if (quorum->answers[i] == CLAIM_HELD)
			return CLAIM_LOST;
		granted += quorum->answers[i] == CLAIM_GRANTED;
	}
	if (granted > quorum->replicas / 2)
		return CLAIM_WON;
	return now >= quorum->give_up ? CLAIM_NO_HOMES : CLAIM_ASKING;
}
