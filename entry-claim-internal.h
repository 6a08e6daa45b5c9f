#ifndef ENTRY_CLAIMS_H
#define ENTRY_CLAIMS_H

#include <glib.h>
#include "entry-claim.h"

/* What the parts of the claims of an entry share; others see entry-claim.h. */

/* Another home, and how far it has told us what it knows. */
typedef struct {
	char address[HL_ADDRESS_MAX];
	claim_key_t after; /* the last key it told us */
	bool told;	   /* it told us all */
} claims_sibling_t;

struct entry_claims {
	struct entry *entry;
	char self[HL_ADDRESS_MAX]; /* our peer address */
	uint64_t boot;		   /* differs in every life of the process */
	pthread_mutex_t lock;
	uint64_t last_number;
	GHashTable *by_number;
	struct cds_list_head asking;
	struct cds_list_head won; /* decided, owned by their requests */
	struct cds_list_head settling;
	claim_replica_t *home;
	claims_sibling_t siblings[ENTRY_CLAIM_GROUPS * SETTING_LIST_MAX];
	unsigned sibling_count;
	bool complete; /* nothing that was granted here is unknown */
	usec_t sync_again;
	usec_t sync_period;
	struct cds_list_head answers; /* oldest first */
	size_t answer_bytes;
	uint64_t *results[CLAIM_NO_QUORUM + 1];
	uint64_t *records;
};

/** entry_claims_tell - send a claim or its end to one home. */
void entry_claims_tell(entry_claims_t *claims, peer_kind_t kind,
		       const claim_record_t *record, const char *home,
		       usec_t now);

/** entry_claims_pack - a record for the wire; its strings are not copied. */
void entry_claims_pack(peer_claim_record_t *out, const claim_record_t *record,
		       usec_t now);

/** entry_claims_unpack - the reverse. */
void entry_claims_unpack(claim_record_t *out, const peer_claim_record_t *record,
			 usec_t now);

/** entry_claims_hold - how long the key of a request is kept. */
usec_t entry_claims_hold(struct entry_request *req);

/** entry_claims_fingerprint - of method, target and held body. */
uint64_t entry_claims_fingerprint(const struct entry_request *req);

/** entry_claims_homes - the homes of a key; 0 without [claims] settings. */
unsigned entry_claims_homes(const entry_claims_t *claims,
			    const claim_key_t *key,
			    char (*homes)[HL_ADDRESS_MAX]);

/** entry_claims_home_ask - ask ourselves. Lock held. */
claim_verdict_t entry_claims_home_ask(entry_claims_t *claims,
				      const claim_record_t *record, usec_t now,
				      claim_record_t *known);

/**
 * entry_claims_home_tick - expire, and ask siblings what they know.
 *
 * Return: when to look again.
 */
usec_t entry_claims_home_tick(entry_claims_t *claims, usec_t now);

/** entry_claims_keep - remember an answer, to give it again. */
void entry_claims_keep(entry_claims_t *claims, const claim_key_t *key,
		       const entry_response_t *answer);

/** entry_claims_repeat - give a request the answer of the first one. */
void entry_claims_repeat(entry_claims_t *claims, struct entry_request *req,
			 const claim_record_t *known);

/** entry_claims_forget_answers - at the end. */
void entry_claims_forget_answers(entry_claims_t *claims);

/* Handlers of the peer messages. */
void entry_claims_on_reply(void *context, const peer_message_t *message,
			   usec_t now);
void entry_claims_on_settled(void *context, const peer_message_t *message,
			     usec_t now);
void entry_claims_on_claim(void *context, const peer_message_t *message,
			   usec_t now);
void entry_claims_on_settle(void *context, const peer_message_t *message,
			    usec_t now);
void entry_claims_on_sync(void *context, const peer_message_t *message,
			  usec_t now);
void entry_claims_on_page(void *context, const peer_message_t *message,
			  usec_t now);

#endif
