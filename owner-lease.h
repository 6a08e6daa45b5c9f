#ifndef OWNER_LEASE_H
#define OWNER_LEASE_H

#include "owner.h"

/*
 * The lease of one copy at one entry. The functions use no lock and no clock.
 *
 * The copy is the arbiter. It announces itself to one entry at a time and
 * echoes the owner and epoch of the last response that it received. Each
 * response carries a fresh epoch, so an echo proves that the copy had no other
 * owner when that response was sent. The lease runs from the time of the
 * *response*, never from the arrival of the echo, which may have been buffered
 * while this process was frozen.
 *
 * An entry that a copy announces itself to while another entry may still own
 * it claims the copy: it must not send until the copy has echoed an epoch of
 * the claim and the former owner is fenced, that is, can send no new call.
 */

/* Epochs of one claim. An owner increments its epoch within this range with
   each response; each claim starts a new multiple. */
#define OWNER_EPOCHS_PER_CLAIM ((uint64_t)1 << 24)
/* Set in the epoch of a response that redirects the copy to another entry. The
   lower bits are a number that is also forwarded to that entry, together with
   what the copy echoed. */
#define OWNER_EPOCH_REDIRECT ((uint64_t)1 << 52)
/* Sent in place of a term: no entry may send to the copy yet. */
#define OWNER_WITNESS_NONE "none"
/* Number for the term of a former owner in a response. No term of this entry
   has it. */
#define OWNER_TERM_FOREIGN UINT64_MAX

/** enum owner_lease_state_t - state of a copy's lease at this entry. */
typedef enum {
	OWNER_LEASE_NONE,     /* not owned by this entry */
	OWNER_LEASE_CLAIMING, /* the copy has not echoed our epoch yet */
	OWNER_LEASE_HELD,     /* echoed; the lease may have expired since */
} owner_lease_state_t;

/** struct owner_former_t - the previous owner of a copy. */
typedef struct {
	char name[HL_NAME_MAX]; /* as the copy echoed it */
	bool can_release;	/* send release requests to the named entry */
	uint64_t epoch;		/* its epoch, as the copy echoed it */
	char witness[WITNESS_TEXT_MAX]; /* its term, as echoed; "": none */
	usec_t claimed_at;		/* start of our claim */
	bool ended;			/* its witnesses ended its term */
	usec_t expires;	      /* upper bound of its lease; 0: no former owner */
	bool released;	      /* it reported that it sends no new call */
	unsigned outstanding; /* calls that it sent and that have not ended */
	usec_t reported_at;   /* last report of outstanding */
} owner_former_t;

/** struct owner_lease_t - lease of one copy at this entry. */
typedef struct {
	owner_lease_state_t state;
	uint64_t sequence;  /* of the last announcement */
	uint64_t epoch;	    /* of our last response */
	usec_t answered_at; /* time of our last response */
	usec_t until;	    /* expiry, the terms aside */
	/* Terms that the copy may echo, 0 for none. Calls may be sent only
	   while this entry holds all of them. */
	uint64_t term;
	uint64_t other_term;
	uint64_t answered_term; /* in our last response */
	owner_former_t former;
} owner_lease_t;

/**
 * owner_lease_accept - process an announcement of a copy that we should own.
 * @lease: of the copy, zeroed if it is new
 * @announcement: its sequence is above the last
 * @self: name of this entry
 * @duration: duration of a lease
 * @now: current time
 */
void owner_lease_accept(owner_lease_t *lease,
			const owner_announcement_t *announcement,
			const char *self, usec_t duration, usec_t now);

/**
 * owner_lease_release - give up the lease, as another entry claims the copy.
 * @lease: of the copy
 * @epoch: of that claim
 *
 * The caller must not answer the claim before owner_lease_former_fenced(): an
 * owner before this entry might still send.
 *
 * Return: true if this entry holds no lease now, false if the claim is older
 *         than its own.
 */
bool owner_lease_release(owner_lease_t *lease, uint64_t epoch);

/**
 * owner_lease_on_released - process the former owner's response to our claim.
 * @lease: of the copy
 * @from: name of the entry that responds
 * @epoch: of the claim that is answered
 * @outstanding: calls of it that have not ended
 * @now: current time
 *
 * Return: true if it is applied, false if it does not answer our claim.
 */
bool owner_lease_on_released(owner_lease_t *lease, const char *from,
			     uint64_t epoch, unsigned outstanding, usec_t now);

/** owner_lease_claim_epoch - epoch in requests to release the copy. */
uint64_t owner_lease_claim_epoch(const owner_lease_t *lease);

/**
 * owner_lease_needs_release - whether to send the former owner requests to
 * release the copy: it may still send, or calls of it are outstanding.
 */
bool owner_lease_needs_release(const owner_lease_t *lease, usec_t duration,
			       usec_t now);

/**
 * owner_lease_former_outstanding - calls that former owners have outstanding.
 *
 * A report counts for one lease duration.
 */
unsigned owner_lease_former_outstanding(const owner_lease_t *lease,
					usec_t duration, usec_t now);

/** owner_lease_former_fenced - whether the former owner can send no call. */
bool owner_lease_former_fenced(const owner_lease_t *lease, usec_t now);

/**
 * owner_lease_set_answered_term - record the term that the response to the last
 * announcement carries; 0 for none.
 */
void owner_lease_set_answered_term(owner_lease_t *lease, uint64_t term);

/** owner_lease_end_former - record that witnesses ended the former's term. */
void owner_lease_end_former(owner_lease_t *lease);

/** owner_lease_until - expiry of the lease and of all terms it depends on. */
usec_t owner_lease_until(const owner_lease_t *lease,
			 const witness_holder_t *holder);

/** owner_lease_valid - whether calls may be sent at @now, the terms aside. */
bool owner_lease_valid(const owner_lease_t *lease, usec_t now);

/**
 * owner_lease_limit - calls that may be outstanding at @now.
 * @lease: of the copy
 * @ceiling: limit if no call of a former owner is outstanding
 * @duration: duration of a lease
 * @now: current time
 */
unsigned owner_lease_limit(const owner_lease_t *lease, unsigned ceiling,
			   usec_t duration, usec_t now);

#endif
