#ifndef ENTRY_CLAIM_H
#define ENTRY_CLAIM_H

#include "claim.h"
#include "entry-io.h"

/**
 * struct entry_claim_t - a claim of a request that is being made, or made.
 *
 * It belongs to its request and is freed with it.
 */
typedef struct entry_claim {
	struct cds_list_head link; /* while it asks or settles */
	struct entry_request *req; /* while it asks; holds a reference */
	claim_quorum_t run;
	bool decided; /* one thread alone acts on the result */
	char homes[CLAIM_REPLICAS_MAX][HL_ADDRESS_MAX];
	unsigned home_count;
	bool settled[CLAIM_REPLICAS_MAX];
} entry_claim_t;

/**
 * entry_claims_new - this entry's part in claims: runner and home.
 * @self: our peer address, as the groups of homes name it
 * @first: a first installation, on which nothing can have been forgotten
 */
entry_claims_t *entry_claims_new(struct entry *entry, const char *self,
				 bool first, usec_t now, hl_error_t *err);
void entry_claims_free(entry_claims_t *claims);

/**
 * entry_claims_tick - ask again, give up, settle again, expire, sync.
 *
 * Return: when to look again.
 */
usec_t entry_claims_tick(entry_claims_t *claims, usec_t now);

/**
 * entry_claims_start - claim the key of a request, then dispatch it.
 *
 * The request is dispatched or refused later, from another thread.
 */
void entry_claims_start(struct entry_request *req, usec_t now);

/** entry_claims_end - the request has its final answer: tell the homes. */
void entry_claims_end(struct entry_request *req);

/** entry_claims_answer_handle - GET /v1/answer, from a sibling entry. */
void entry_claims_answer_handle(const entry_control_request_t *in,
				entry_reply_t *reply);

#endif
