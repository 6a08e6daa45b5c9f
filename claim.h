#ifndef CLAIM_H
#define CLAIM_H

#include <stdbool.h>
#include "hemlock.h"

/*
 * Claims of idempotency keys. Before a keyed call that is not idempotent is
 * sent, its entry (the runner) claims the key at the key's homes: one entry of
 * each home group. A majority of the homes must grant it, so two claims of one
 * key always meet at a home that grants only the first. The homes are fixed by
 * the settings and not by who is alive, because majorities of two different
 * views need not meet.
 *
 * A home that restarted has forgotten what it granted. It abstains from keys
 * it does not know until every other home of the key has sent it what they
 * know, or until all claims that it may have forgotten have run out.
 *
 * Everything here is pure: no lock, no socket, no clock.
 */

/* Homes of one key, one of each group. */
#define CLAIM_REPLICAS_MAX 5

typedef struct {
	uint64_t high;
	uint64_t low;
} claim_key_t;

/** struct claim_id_t - which try of which process claims. */
typedef struct {
	char coordinator[HL_NAME_MAX];
	uint64_t boot;
	uint64_t number;
} claim_id_t;

/** enum claim_state_t - what is known of the claimed call. */
typedef enum {
	CLAIM_OPEN = 1,	    /* claimed; it may be running */
	CLAIM_RELEASED = 2, /* it was not run; the key is free again */
	CLAIM_RAN = 3,	    /* it ran, status is what it answered */
	CLAIM_UNKNOWN = 4,  /* it may have run */
} claim_state_t;

/** struct claim_record_t - what a home keeps of a key. */
typedef struct {
	claim_key_t key;
	claim_id_t id;
	uint64_t fingerprint; /* of method, target and body */
	claim_state_t state;
	unsigned status;
	usec_t expires;
} claim_record_t;

/** enum claim_verdict_t - a home's word on a claim. */
typedef enum {
	CLAIM_GRANTED = 1,
	CLAIM_HELD = 2,	   /* another claim has the key */
	CLAIM_ABSTAIN = 3, /* the home cannot know, or is full */
} claim_verdict_t;

/** claim_key_make - the key of a service, tenant and Idempotency-Key. */
claim_key_t claim_key_make(const char *service, const char *tenant,
			   const char *key);

/** claim_key_compare - an order of keys, as strcmp(). */
int claim_key_compare(const claim_key_t *a, const claim_key_t *b);

/** claim_id_equal - are both the same try? */
bool claim_id_equal(const claim_id_t *a, const claim_id_t *b);

/**
 * claim_key_replica - which entry of a group is the home of a key.
 * @group: addresses of the group's entries
 * @count: how many, above 0
 */
unsigned claim_key_replica(const char (*group)[HL_ADDRESS_MAX], unsigned count,
			   const claim_key_t *key);

typedef struct claim_replica claim_replica_t;

/**
 * claim_replica_new - an empty home.
 * @max: most records it keeps
 * @forgot_until: until when claims that it has forgotten may be in force;
 *                0 for a first installation
 */
claim_replica_t *claim_replica_new(unsigned max, usec_t forgot_until);
void claim_replica_free(claim_replica_t *home);

/** claim_replica_count - records kept. */
unsigned claim_replica_count(const claim_replica_t *home);

/** claim_replica_complete - has it nothing left that it may have forgotten? */
bool claim_replica_complete(const claim_replica_t *home, usec_t now);

/**
 * claim_replica_claim - answer a claim.
 * @home: the home
 * @claim: its record with state CLAIM_OPEN and the time it expires
 * @informed: the other homes of this key have said what they know
 * @now: the present time
 * @known: filled in with what the home knows of the key
 *
 * A claim that comes again gets the same answer.
 */
claim_verdict_t claim_replica_claim(claim_replica_t *home,
				    const claim_record_t *claim, bool informed,
				    usec_t now, claim_record_t *known);

/**
 * claim_replica_settle - the runner says how the call ended.
 *
 * A settlement that overtook its claim leaves a record behind, so that the
 * claim finds it. One of another try than the key's is ignored.
 */
void claim_replica_settle(claim_replica_t *home, const claim_record_t *settled,
			  usec_t now);

/** claim_replica_merge - take in what another home knows. */
void claim_replica_merge(claim_replica_t *home, const claim_record_t *record,
			 usec_t now);

/** claim_replica_expire - forget a bounded number of records that ran out. */
void claim_replica_expire(claim_replica_t *home, usec_t now);

/** claim_replica_next - the next record after a key in order, or NULL. */
const claim_record_t *claim_replica_next(const claim_replica_t *home,
					 const claim_key_t *key);

/** enum claim_result_t - where a runner's claim stands. */
typedef enum {
	CLAIM_PENDING,	 /* no majority yet */
	CLAIM_WON,	 /* it may be sent */
	CLAIM_LOST,	 /* another call has the key */
	CLAIM_NO_QUORUM, /* no majority of homes answered in time */
} claim_result_t;

/** struct claim_quorum_t - a runner's claim while it asks. */
typedef struct {
	claim_record_t record;
	unsigned homes;
	claim_verdict_t responses[CLAIM_REPLICAS_MAX]; /* 0: none yet */
	claim_record_t
		conflict; /* with CLAIM_LOST: the claim that has the key */
	usec_t deadline;
	usec_t retry_at;
} claim_quorum_t;

/** claim_quorum_begin - start to ask @homes homes, at most until @give_up. */
void claim_quorum_begin(claim_quorum_t *run, const claim_record_t *record,
			unsigned homes, usec_t give_up);

/** claim_quorum_on_response - a home has answered. */
void claim_quorum_on_response(claim_quorum_t *run, unsigned home,
			      claim_verdict_t verdict,
			      const claim_record_t *known);

/** claim_quorum_result - where it stands at @now. */
claim_result_t claim_quorum_result(const claim_quorum_t *run, usec_t now);

#endif
