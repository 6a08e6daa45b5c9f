#include <string.h>
#include "claim.h"

/* Collects the responses of the replicas to a claim until a majority has
   granted it or one replica has refused it. */

void claim_quorum_begin(claim_quorum_t *quorum, const claim_record_t *record,
			unsigned replica_count, usec_t deadline)
{
	memset(quorum, 0, sizeof(*quorum));
	quorum->record = *record;
	quorum->replica_count = replica_count;
	quorum->deadline = deadline;
}

void claim_quorum_on_response(claim_quorum_t *quorum, unsigned replica,
			      claim_verdict_t verdict,
			      const claim_record_t *existing)
{
	if (replica >= quorum->replica_count)
		return;
	/* A replica that abstained may decide when the claim is repeated. */
	if (quorum->responses[replica] &&
	    quorum->responses[replica] != CLAIM_ABSTAIN)
		return;
	quorum->responses[replica] = verdict;
	if (verdict == CLAIM_HELD)
		quorum->conflict = *existing;
}

claim_result_t claim_quorum_result(const claim_quorum_t *quorum, usec_t now)
{
	unsigned granted = 0;
	unsigned i;

	for (i = 0; i < quorum->replica_count; i++) {
		if (quorum->responses[i] == CLAIM_HELD)
			return CLAIM_LOST;
		granted += quorum->responses[i] == CLAIM_GRANTED;
	}
	if (granted > quorum->replica_count / 2)
		return CLAIM_WON;
	return now >= quorum->deadline ? CLAIM_NO_QUORUM : CLAIM_PENDING;
}
