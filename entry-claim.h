#ifndef ENTRY_CLAIM_H
#define ENTRY_CLAIM_H

#include "claim.h"
#include "entry-control.h"

/*
 * Claims of idempotency keys over the network; claim.h has the rules. A keyed
 * call is one with an Idempotency-Key that is not idempotent by itself. The
 * entry that receives it, its coordinator, claims the key at the key's replicas
 * before it sends the call, and settles the claim afterwards: it reports to the
 * replicas how the call ended. Each entry in the [claims] settings is also a
 * replica, which stores a record of each key claimed there.
 * The coordinator stores the response and replays it to repeated requests.
 */

/** struct entry_claim_t - the claim of one request. */
typedef struct entry_claim {
	struct cds_list_head link; /* entry_claims.pending, decided, settling */
	struct entry_request *req; /* set while pending, with a reference */
	claim_quorum_t quorum;
	bool decided; /* a thread has taken the result and acts on it */
	char replicas[CLAIM_REPLICAS_MAX][HL_ADDRESS_MAX];
	unsigned replica_count;
	bool settled[CLAIM_REPLICAS_MAX]; /* replicas that confirmed the end */
} entry_claim_t;

/**
 * entry_claims_new - create the coordinator and the replica of this entry.
 * @self: peer address of this entry, as listed in the [claims] groups
 * @first_start: true at the first start of a new installation: no claim was
 *               granted before, so the replica needs no records of others
 * @now: current time
 * @err: HL_ERR_NOMEM
 */
entry_claims_t *entry_claims_new(struct entry *entry, const char *self,
				 bool first_start, usec_t now, hl_error_t *err);

/** entry_claims_free - free all claims and responses; NULL is allowed. */
void entry_claims_free(entry_claims_t *claims);

/**
 * entry_claims_tick - run the timers of claims.
 *
 * Repeats and times out claims and settlements, expires records, and continues
 * to copy records from other replicas after a restart.
 *
 * Return: when to call the function again, or INT64_MAX.
 */
usec_t entry_claims_tick(entry_claims_t *claims, usec_t now);

/**
 * entry_claims_start - claim the key of a request, then dispatch it.
 *
 * The request may be dispatched or refused later, by another thread.
 */
void entry_claims_start(struct entry_request *req, usec_t now);

/** entry_claims_end - settle the claim of a request that was answered. */
void entry_claims_end(struct entry_request *req);

/**
 * entry_claims_response_handle - serve GET /v1/answer.
 *
 * Returns the stored response of a key to another entry.
 */
void entry_claims_response_handle(const entry_control_request_t *in,
				  entry_reply_t *reply);

#endif
