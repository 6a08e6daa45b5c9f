#ifndef OWNER_LEASE_H
#define OWNER_LEASE_H

#include "owner.h"

/*
 * The lease of one copy at one entry ("this entry" below). The functions use no
 * lock and no clock. A term is the term of a witness lease, see witness.h.
 *
 * The copy is the arbiter. It announces itself to one entry at a time and
 * echoes the owner and epoch of the last response that it received. Each
 * response carries a fresh epoch, so an echo proves that the copy had no other
 * owner when that response was sent. The lease runs from the time of the
 * *response*, never from the arrival of the echo, which may have been buffered
 * while this process was frozen.
 *
 * A copy may announce itself to an entry while another entry may still own the
 * copy. The entry then claims the copy: it must not send calls to the copy
 * until the copy has echoed an epoch of the claim and the former owner is
 * fenced, that is, can send no new call.
 */

/* Number of epochs of one claim. An owner increments its epoch within this
   range with each response; each claim starts at the next multiple. */
#define OWNER_EPOCHS_PER_CLAIM ((uint64_t)1 << 24)
/* Bit set in the epoch of a response that redirects the copy to another entry.
   The lower bits identify the redirect: the epoch is also forwarded to that
   entry, together with the owner and epoch that the copy echoed. */
#define OWNER_EPOCH_REDIRECT ((uint64_t)1 << 52)
/* Text in a response in place of a term: no entry may send to the copy yet. */
#define OWNER_WITNESS_NONE "none"
/* Value of answered_term if the response carries the term of a former owner. No
   term of this entry has this number. */
#define OWNER_TERM_FOREIGN UINT64_MAX

/** enum owner_lease_state_t - state of a copy's lease at this entry. */
typedef enum {
	OWNER_LEASE_NONE,     /* not owned by this entry */
	OWNER_LEASE_CLAIMING, /* the copy has not echoed the claim yet */
	OWNER_LEASE_HELD,     /* it has; the lease may have expired since */
} owner_lease_state_t;

/** struct owner_former_t - the previous owner of a copy. */
typedef struct {
	char name[HL_NAME_MAX]; /* name that the copy echoed */
	bool can_release;	/* whether to send it requests to release */
	uint64_t epoch;		/* epoch that the copy echoed */
	char witness[WITNESS_TEXT_MAX]; /* term the copy echoed; "": none */
	usec_t claimed_at;		/* start of the claim of this entry */
	bool ended;	      /* the witnesses ended the former owner's term */
	usec_t expires;	      /* latest end of its lease; 0: no former owner */
	bool released;	      /* it reported that it sends no new calls */
	unsigned outstanding; /* calls of the former owner not ended yet */
	usec_t reported_at;   /* last report of outstanding */
} owner_former_t;

/** struct owner_lease_t - lease of one copy at this entry. */
typedef struct {
	owner_lease_state_t state;
	uint64_t sequence;  /* sequence number of the last announcement */
	uint64_t epoch;	    /* epoch of the last response to the copy */
	usec_t answered_at; /* time of the last response to the copy */
	usec_t until;	    /* expiry of the lease, regardless of the terms */
	/* Terms that the copy may echo, 0 for none. Calls may be sent only
	   while this entry holds all of them. */
	uint64_t term;
	uint64_t other_term;
	uint64_t answered_term; /* term in the last response; 0: none */
	owner_former_t former;
} owner_lease_t;

/**
 * owner_lease_accept - process an announcement of a copy that this entry
 * should own.
 * @lease: lease of the copy, zeroed if the copy is new
 * @announcement: has a greater sequence number than the last one
 * @self: name of this entry
 * @duration: duration of a lease
 * @now: current time
 */
void owner_lease_accept(owner_lease_t *lease,
			const owner_announcement_t *announcement,
			const char *self, usec_t duration, usec_t now);

/**
 * owner_lease_release - give up the lease, as another entry claims the copy.
 * @lease: lease of the copy
 * @epoch: epoch of the claim of the other entry
 *
 * The caller must not respond to the other entry before
 * owner_lease_former_fenced() is true: an owner before this entry might still
 * send calls.
 *
 * Return: true if this entry holds no lease now, false if the claim is older
 *         than the last epoch of this entry.
 */
bool owner_lease_release(owner_lease_t *lease, uint64_t epoch);

/**
 * owner_lease_on_released - process the former owner's response to a request
 * to release the copy.
 * @lease: lease of the copy
 * @from: name of the entry that responds
 * @epoch: epoch in the request
 * @outstanding: number of calls of @from at the copy that have not ended
 * @now: current time
 *
 * Return: true if the response belongs to the current claim, false if it is
 *         ignored.
 */
bool owner_lease_on_released(owner_lease_t *lease, const char *from,
			     uint64_t epoch, unsigned outstanding, usec_t now);

/** owner_lease_claim_epoch - epoch to send in requests to release the copy. */
uint64_t owner_lease_claim_epoch(const owner_lease_t *lease);

/**
 * owner_lease_needs_release - whether to send the former owner requests to
 * release the copy: the former owner may still send calls, or calls that it
 * sent are outstanding.
 */
bool owner_lease_needs_release(const owner_lease_t *lease, usec_t duration,
			       usec_t now);

/**
 * owner_lease_former_outstanding - number of calls of the former owner that
 * are outstanding at the copy.
 *
 * Return: the number that the former owner reported last; 0 if it has sent no
 *         report or the last one is at least @duration old.
 */
unsigned owner_lease_former_outstanding(const owner_lease_t *lease,
					usec_t duration, usec_t now);

/**
 * owner_lease_former_fenced - whether no former owner can send a new call.
 *
 * True also if there is no former owner.
 */
bool owner_lease_former_fenced(const owner_lease_t *lease, usec_t now);

/**
 * owner_lease_set_answered_term - record the term that the response to the last
 * announcement carries; 0 for none, OWNER_TERM_FOREIGN for a term of a former
 * owner.
 */
void owner_lease_set_answered_term(owner_lease_t *lease, uint64_t term);

/**
 * owner_lease_end_former - record that the term of the former owner has ended,
 * so that the former owner is fenced.
 */
void owner_lease_end_former(owner_lease_t *lease);

/**
 * owner_lease_until - expiry of the lease or of a term that it depends on,
 * whichever comes first.
 */
usec_t owner_lease_until(const owner_lease_t *lease,
			 const witness_holder_t *holder);

/**
 * owner_lease_valid - whether the lease allows to send calls at @now; the terms
 * are not checked.
 */
bool owner_lease_valid(const owner_lease_t *lease, usec_t now);

/**
 * owner_lease_limit - number of calls that this entry may have outstanding at
 * the copy.
 * @lease: lease of the copy
 * @ceiling: the result for a valid lease if no call of a former owner is
 *           outstanding
 * @duration: duration of a lease
 * @now: current time
 */
unsigned owner_lease_limit(const owner_lease_t *lease, unsigned ceiling,
			   usec_t duration, usec_t now);

#endif
