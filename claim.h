#ifndef CLAIM_H
#define CLAIM_H

#include <stdbool.h>
#include "hemlock.h"

/*
 * Claims of idempotency keys. Before an entry sends a call that has a key and
 * is not idempotent, it claims the key at the key's replicas: one entry of each
 * replica group in the settings. This entry is the coordinator of the claim. A
 * majority of the replicas must grant a claim, so two claims of one key always
 * meet at a replica that grants only the first. The replicas are fixed by the
 * settings and do not depend on which entries are alive, because majorities of
 * two different membership views need not intersect.
 *
 * A replica that restarts loses its records. It abstains from claims of keys
 * without a record until every other replica of the key has sent all its
 * records, or until every claim that it may have lost has expired.
 *
 * A claim_replica_t holds the records of one replica, a claim_quorum_t the
 * responses to one claim at its coordinator. The functions use no lock, socket
 * or clock.
 */

/* Maximum number of replicas of one key, one in each group. */
#define CLAIM_REPLICAS_MAX 5

/** struct claim_key_t - 128-bit hash of service, tenant and Idempotency-Key. */
typedef struct {
	uint64_t high;
	uint64_t low;
} claim_key_t;

/** struct claim_id_t - identifies one claim of one process. */
typedef struct {
	char coordinator[HL_NAME_MAX]; /* name of the entry */
	uint64_t boot;	 /* differs in each process of the entry */
	uint64_t number; /* number of the claim in that process */
} claim_id_t;

/** enum claim_state_t - state of the claimed call. */
typedef enum {
	CLAIM_OPEN = 1,	    /* claimed; the call may be running */
	CLAIM_RELEASED = 2, /* the call was not run; the key is free again */
	CLAIM_RAN = 3,	    /* the call ran; status is its response status */
	CLAIM_UNKNOWN = 4,  /* the call may have run */
} claim_state_t;

/** struct claim_record_t - record of a key at a replica. */
typedef struct {
	claim_key_t key;
	claim_id_t id;
	uint64_t fingerprint; /* hash of method, target and body */
	claim_state_t state;
	unsigned status; /* HTTP status, with CLAIM_RAN */
	usec_t expires;
} claim_record_t;

/** enum claim_verdict_t - response of a replica to a claim. */
typedef enum {
	CLAIM_GRANTED = 1,
	CLAIM_HELD = 2,	   /* another claim has the key */
	CLAIM_ABSTAIN = 3, /* records may be missing, or the table is full */
} claim_verdict_t;

/** claim_key_make - hash a service, tenant and Idempotency-Key to a key. */
claim_key_t claim_key_make(const char *service, const char *tenant,
			   const char *key);

/** claim_key_compare - order two keys; returns a number as strcmp() does. */
int claim_key_compare(const claim_key_t *a, const claim_key_t *b);

/** claim_id_equal - whether both ids are of the same claim. */
bool claim_id_equal(const claim_id_t *a, const claim_id_t *b);

/**
 * claim_key_replica - replica of a key in a group, by rendezvous hashing.
 * @group: addresses of the group's entries
 * @count: number of entries, above 0
 * @key: key of the claim
 *
 * Return: an index into @group.
 */
unsigned claim_key_replica(const char (*group)[HL_ADDRESS_MAX], unsigned count,
			   const claim_key_t *key);

/** struct claim_replica_t - records of one replica. */
typedef struct claim_replica claim_replica_t;

/**
 * claim_replica_new - create a replica without records.
 * @max: maximum number of records
 * @incomplete_until: time at which every claim that an earlier process granted
 *                    has expired; 0 for a first installation
 *
 * Return: the replica, or NULL if out of memory.
 */
claim_replica_t *claim_replica_new(unsigned max, usec_t incomplete_until);

/** claim_replica_free - free a replica; NULL is allowed. */
void claim_replica_free(claim_replica_t *replica);

/** claim_replica_count - number of records. */
unsigned claim_replica_count(const claim_replica_t *replica);

/**
 * claim_replica_complete - whether all claims that an earlier process granted
 * have expired, so that no record can be missing.
 */
bool claim_replica_complete(const claim_replica_t *replica, usec_t now);

/**
 * claim_replica_claim - process a claim.
 * @replica: the replica
 * @claim: record with state CLAIM_OPEN and its time of expiry
 * @synced: all other replicas of the key have sent all their records
 * @now: current time
 * @existing: receives the record that the key has already, or @claim if none
 *
 * A claim that is repeated gets the same verdict.
 */
claim_verdict_t claim_replica_claim(claim_replica_t *replica,
				    const claim_record_t *claim, bool synced,
				    usec_t now, claim_record_t *existing);

/**
 * claim_replica_settle - record how the claimed call ended.
 *
 * A settlement that arrives before its claim is stored, so that the claim is
 * answered with the settlement. A settlement is ignored if the key has a record
 * with another claim id.
 */
void claim_replica_settle(claim_replica_t *replica,
			  const claim_record_t *settlement, usec_t now);

/** claim_replica_merge - merge a record that another replica sent. */
void claim_replica_merge(claim_replica_t *replica, const claim_record_t *record,
			 usec_t now);

/** claim_replica_expire - remove expired records; examines a few per call. */
void claim_replica_expire(claim_replica_t *replica, usec_t now);

/** claim_replica_next - return the first record after @key, or NULL. */
const claim_record_t *claim_replica_next(const claim_replica_t *replica,
					 const claim_key_t *key);

/** enum claim_result_t - result of a claim at its coordinator. */
typedef enum {
	CLAIM_PENDING,	 /* neither granted by a majority nor refused yet */
	CLAIM_WON,	 /* granted; the call may be sent */
	CLAIM_LOST,	 /* another call has the key */
	CLAIM_NO_QUORUM, /* no majority granted the claim before the deadline */
} claim_result_t;

/** struct claim_quorum_t - a claim at its coordinator, with its responses. */
typedef struct {
	claim_record_t record;
	unsigned replica_count;
	/* Verdict of each replica, 0 if it has not responded. */
	claim_verdict_t responses[CLAIM_REPLICAS_MAX];
	/* With CLAIM_LOST: the claim that has the key. */
	claim_record_t conflict;
	usec_t deadline;
	usec_t retry_at; /* time to repeat the requests to the replicas */
} claim_quorum_t;

/**
 * claim_quorum_begin - start a claim.
 * @quorum: initialized here
 * @record: record with state CLAIM_OPEN
 * @replica_count: number of replicas of the key
 * @deadline: time from which a claim without a majority has failed
 */
void claim_quorum_begin(claim_quorum_t *quorum, const claim_record_t *record,
			unsigned replica_count, usec_t deadline);

/**
 * claim_quorum_on_response - process the response of a replica.
 * @quorum: the claim
 * @replica: index of the replica
 * @verdict: verdict of the replica
 * @existing: with CLAIM_HELD, the record that has the key
 */
void claim_quorum_on_response(claim_quorum_t *quorum, unsigned replica,
			      claim_verdict_t verdict,
			      const claim_record_t *existing);

/** claim_quorum_result - result of a claim at @now. */
claim_result_t claim_quorum_result(const claim_quorum_t *quorum, usec_t now);

#endif
