#ifndef ENTRY_CLAIM_INTERNAL_H
#define ENTRY_CLAIM_INTERNAL_H

#include <glib.h>
#include "entry-claim.h"

/*
 * Internal to the entry-claim files: the state of an entry's claims and the
 * functions that the files call in one another. The public interface is
 * entry-claim.h.
 */

/* Another replica, and how far this replica has copied its records. */
typedef struct {
	char address[HL_ADDRESS_MAX];
	claim_key_t sync_after; /* last key received from it */
	bool asked;	 /* for the records after that key, no page came yet */
	bool incomplete; /* it lacked records at one of the pages so far */
	bool synced;	 /* all of its records were received */
} claims_sibling_t;

struct entry_claims {
	struct entry *entry;
	char self[HL_ADDRESS_MAX];     /* peer address of this entry */
	uint64_t boot;		       /* random, differs after every restart */
	pthread_mutex_t lock;	       /* guards everything below */
	uint64_t last_number;	       /* number of the last claim made */
	GHashTable *by_number;	       /* entry_claim_t by claim number */
	struct cds_list_head pending;  /* claims without a result */
	struct cds_list_head decided;  /* claims with a result, not settled */
	struct cds_list_head settling; /* claims being settled */
	claim_replica_t *replica;      /* records stored by this entry */
	claims_sibling_t siblings[ENTRY_CLAIM_GROUPS * SETTING_LIST_MAX];
	unsigned sibling_count;
	bool complete;	 /* no record that an earlier process had is missing */
	usec_t sync_due; /* time of the next sync requests */
	usec_t sync_interval;		/* interval between sync requests */
	struct cds_list_head responses; /* stored_response_t, oldest first */
	size_t response_bytes;		/* memory used by responses */
	uint64_t *result_counters[CLAIM_NO_QUORUM + 1];
	uint64_t *record_gauge; /* number of records stored here */
};

/**
 * entry_claims_send - send a claim or settlement to a replica.
 * @kind: PEER_CLAIM or PEER_SETTLE
 * @record: record of the claim
 * @replica: peer address of another entry
 */
void entry_claims_send(entry_claims_t *claims, peer_kind_t kind,
		       const claim_record_t *record, const char *replica,
		       usec_t now);

/**
 * entry_claims_pack - convert a record to its wire form.
 *
 * The strings are not copied: @out is valid as long as @record. The expiry is
 * sent as the remaining time, because VMs do not share a clock.
 */
void entry_claims_pack(peer_claim_record_t *out, const claim_record_t *record,
		       usec_t now);

/** entry_claims_unpack - convert a record from its wire form. */
void entry_claims_unpack(claim_record_t *out, const peer_claim_record_t *record,
			 usec_t now);

/** entry_claims_retention - time for which replicas store a request's key. */
usec_t entry_claims_retention(struct entry_request *req);

/**
 * entry_claims_fingerprint - hash of a request's method, target and body.
 *
 * A body that is streamed is left out.
 */
uint64_t entry_claims_fingerprint(const struct entry_request *req);

/**
 * entry_claims_replicas - list the peer addresses of a key's replicas.
 *
 * Return: the number of replicas; 0 without [claims] settings.
 */
unsigned entry_claims_replicas(const entry_claims_t *claims,
			       const claim_key_t *key,
			       char (*replicas)[HL_ADDRESS_MAX]);

/**
 * entry_claims_replica_claim - submit a claim to the replica in this entry.
 * @existing: filled in with the record that the replica has of the key
 *
 * The caller holds claims->lock.
 */
claim_verdict_t entry_claims_replica_claim(entry_claims_t *claims,
					   const claim_record_t *record,
					   usec_t now,
					   claim_record_t *existing);

/**
 * entry_claims_replica_tick - expire records and send due sync requests.
 *
 * The caller holds claims->lock.
 *
 * Return: when to call the function again, or INT64_MAX.
 */
usec_t entry_claims_replica_tick(entry_claims_t *claims, usec_t now);

/**
 * entry_claims_store_response - store the response of a keyed call.
 * @record: record of the call's claim
 *
 * The response is replayed to later requests whose key has this claim. The oldest
 * responses are removed when all together exceed the setting claims.answers_kb.
 */
void entry_claims_store_response(entry_claims_t *claims,
				 const claim_record_t *record,
				 const entry_response_t *response);

/**
 * entry_claims_replay_response - answer a request whose key has been used.
 * @existing: record of the call that used the key and ran
 *
 * The response comes from this entry, or from the coordinator of that call. The
 * request is answered 409 if the response is no longer stored, or if the body
 * of the request is streamed and another entry has the response.
 */
void entry_claims_replay_response(entry_claims_t *claims,
				  struct entry_request *req,
				  const claim_record_t *existing);

/** entry_claims_free_responses - free all stored responses. */
void entry_claims_free_responses(entry_claims_t *claims);

/*
 * Handlers of the peer messages (member_handler_t); the context is the
 * entry_claims_t.
 */

/** entry_claims_on_claim_reply - process a replica's reply to a claim. */
void entry_claims_on_claim_reply(void *context, const peer_message_t *message,
				 usec_t now);

/** entry_claims_on_settled - process a replica's receipt of a settlement. */
void entry_claims_on_settled(void *context, const peer_message_t *message,
			     usec_t now);

/** entry_claims_on_claim - answer an entry that claims a key here. */
void entry_claims_on_claim(void *context, const peer_message_t *message,
			   usec_t now);

/** entry_claims_on_settle - store a settlement and confirm it. */
void entry_claims_on_settle(void *context, const peer_message_t *message,
			    usec_t now);

/** entry_claims_on_sync_request - send records to a restarted replica. */
void entry_claims_on_sync_request(void *context, const peer_message_t *message,
				  usec_t now);

/** entry_claims_on_sync_page - merge records received from another replica. */
void entry_claims_on_sync_page(void *context, const peer_message_t *message,
			       usec_t now);

#endif
