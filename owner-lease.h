#ifndef OWNER_LEASE_H
#define OWNER_LEASE_H

#include "owner.h"

/*
 * The lease of one copy as one entry sees it: pure, no lock, no clock.
 *
 * The copy is the arbiter. It announces to one entry at a time and echoes
 * the owner and epoch of the last answer that it got. Each answer carries a
 * fresh epoch, so an echo proves that the copy was with us when we gave that
 * answer; the lease runs from the time of the *answer*, never from the
 * arrival of the echo, which may have lain in a buffer while we were frozen.
 */

/* An owner's epochs differ in the low bits, two owners' in the high ones. */
#define OWNER_EPOCH_TERM ((uint64_t)1 << 24)
/* Set in the epoch of an answer that only names another entry. The rest is
   a number that the named entry is told too, with what the copy echoed. */
#define OWNER_EPOCH_REDIRECT ((uint64_t)1 << 52)
/* In place of a term: nobody may send to the copy so far. */
#define OWNER_WITNESS_NONE "none"
/* An answer that carried a former owner's term: no term of ours. */
#define OWNER_TERM_FOREIGN UINT64_MAX

/** enum owner_hold_t - how far this entry has come with a copy. */
typedef enum {
	OWNER_HOLD_NONE,   /* another entry has it, or nobody */
	OWNER_HOLD_TAKING, /* the copy has not echoed our epoch yet */
	OWNER_HOLD_HELD,   /* it has; the lease may have run out since */
} owner_hold_t;

/** struct owner_former_t - the owner before us. */
typedef struct {
	char name[HL_NAME_MAX]; /* as the copy echoed it */
	bool known;		/* it is that entry, which can be asked */
	uint64_t epoch;		/* its epoch, as the copy echoed it */
	char witness[WITNESS_TEXT_MAX]; /* its term, as echoed; "": none */
	usec_t since;			/* we claim the copy since then */
	bool ended;	      /* its term was ended by its witnesses */
	usec_t until;	      /* its lease has surely run out; 0: none */
	bool released;	      /* it sends no new work */
	unsigned outstanding; /* calls of its that have not ended */
	usec_t reported;      /* when it last told outstanding */
} owner_former_t;

typedef struct {
	owner_hold_t hold;
	uint64_t sequence; /* of the last announcement */
	uint64_t epoch;	   /* of our last answer */
	usec_t answered;   /* when that was */
	usec_t until;	   /* we may send until then */
	/* Terms that the copy may echo; all must be held to send. 0: none. */
	uint64_t term;
	uint64_t other_term;
	uint64_t answered_term; /* of our last answer */
	owner_former_t former;
} owner_lease_t;

/**
 * owner_lease_accept - an announcement reached us and the copy is to be ours.
 * @lease: of the copy, zeroed if it is new
 * @announcement: its sequence is above the last
 * @self: the name of this entry
 * @span: how long a lease lasts
 * @now: the present time
 */
void owner_lease_accept(owner_lease_t *lease,
			const owner_announcement_t *announcement,
			const char *self, usec_t span, usec_t now);

/**
 * owner_lease_release - another entry takes the copy.
 * @lease: of the copy
 * @epoch: of its claim
 *
 * The answer to the claim has to wait until owner_lease_clear(): an owner
 * before us might still send.
 *
 * Return: true if we hold nothing now, false if the claim is older than ours.
 */
bool owner_lease_release(owner_lease_t *lease, uint64_t epoch);

/**
 * owner_lease_released - the former owner answered our claim.
 *
 * Return: true if it counts, false if it is not about our claim.
 */
bool owner_lease_released(owner_lease_t *lease, const char *from,
			  uint64_t epoch, unsigned outstanding, usec_t now);

/** owner_lease_claim - the epoch under which a former owner is asked. */
uint64_t owner_lease_claim(const owner_lease_t *lease);

/** owner_lease_asks - the former owner is still to be asked for release. */
bool owner_lease_asks(const owner_lease_t *lease, usec_t span, usec_t now);

/** owner_lease_foreign - calls of former owners that still count. */
unsigned owner_lease_foreign(const owner_lease_t *lease, usec_t span,
			     usec_t now);

/** owner_lease_clear - the former owner can send nothing new. */
bool owner_lease_clear(const owner_lease_t *lease, usec_t now);

/** owner_lease_answers - the answer to the last announcement has this term. */
void owner_lease_answers(owner_lease_t *lease, uint64_t term);

/** owner_lease_end - the former owner's term was ended by its witnesses. */
void owner_lease_end(owner_lease_t *lease);

/** owner_lease_until - as lease.until, but no longer than the terms of @own. */
usec_t owner_lease_until(const owner_lease_t *lease, const witness_own_t *own);

/** owner_lease_valid - new work may be sent at @now, the terms aside. */
bool owner_lease_valid(const owner_lease_t *lease, usec_t now);

/** owner_lease_limit - calls that may be outstanding, of @ceiling. */
unsigned owner_lease_limit(const owner_lease_t *lease, unsigned ceiling,
			   usec_t span, usec_t now);

#endif
