#ifndef WITNESS_H
#define WITNESS_H

#include "hemlock.h"

/*
 * Witness leases. An owner renews one lease for all its copies at three other
 * entries, its witnesses, and sends to its copies only while a majority of them
 * has granted a renewal that was sent less than a lease duration ago. Each
 * response to an announcement names the term of the lease, so that the next
 * owner learns from the copy which witnesses can end that term.
 *
 * A term, here and in owner-*, is one such lease: an owner, a number and three
 * witnesses that stay the same. An owner that replaces a witness opens a new
 * term. Terms of this kind are independent of Raft terms.
 *
 * A grant is a witness's acceptance of a renewal: the witness keeps the term in
 * force for one lease duration. To end a term, a witness refuses its renewals;
 * the term has ended at this witness once the last grant has expired. A record
 * is what a witness stores about one term of one owner.
 *
 * witness_holder_t holds the terms of an owner, witness_grantor_t the records
 * of a witness, and witness_ends_t the terms that the next owner wants to be
 * ended. The functions use no lock, clock or socket.
 */

/* Number of witnesses of a term. */
#define WITNESS_COUNT 3
/* Validity of a grant at the owner and at the witness. */
#define WITNESS_LEASE_DURATION (3 * USEC_PER_SEC)
/* Interval between renewals of a term, and between the requests to grant a term
   that is being opened. */
#define WITNESS_RENEW_INTERVAL USEC_PER_SEC
#define WITNESS_OPEN_INTERVAL (200 * USEC_PER_MS)
/* Time without a grant after which a witness is replaced. */
#define WITNESS_REPLACE_TIMEOUT (2 * WITNESS_LEASE_DURATION)
/* Maximum number of terms of which a witness keeps records. */
#define WITNESS_RECORDS_MAX 512
/* Maximum number of terms of other owners that are being ended by an entry. */
#define WITNESS_ENDS_MAX 64
/* Interval between requests to a witness to end a term. */
#define WITNESS_END_INTERVAL (50 * USEC_PER_MS)
/* Maximum bytes of a term as text: names, numbers and separators. */
#define WITNESS_TEXT_MAX 384

/** struct witness_member_t - a witness in one process of its entry. */
typedef struct {
	char name[HL_NAME_MAX];
	uint64_t boot; /* number of its process; 0: no response yet */
} witness_member_t;

/** struct witness_term_t - a term with its witnesses. */
typedef struct {
	char owner[HL_NAME_MAX];
	uint64_t number; /* 0: no term */
	witness_member_t members[WITNESS_COUNT];
} witness_term_t;

/**
 * witness_term_print - print a term as text for the copies to echo.
 * @term: the term
 * @out: room for WITNESS_TEXT_MAX bytes
 */
void witness_term_print(const witness_term_t *term, char *out);

/** witness_term_parse - parse a term; returns -1 if @text is not one. */
int witness_term_parse(const char *text, witness_term_t *term);

/** struct witness_lease_t - the lease of one term at its owner. */
typedef struct {
	witness_term_t term;
	usec_t opened_at;
	/* Time at which the last granted renewal was sent; 0: never. */
	usec_t granted_sent_at[WITNESS_COUNT];
	bool refused[WITNESS_COUNT]; /* the witness refused a renewal */
} witness_lease_t;

/** struct witness_holder_t - the terms of an owner. */
typedef struct {
	char owner[HL_NAME_MAX];
	uint64_t next_number;	 /* number of the next term */
	usec_t echo_delay_max;	 /* time within which all copies echo a term */
	usec_t next_renewal;	 /* time of the next renewals */
	usec_t next_open;	 /* earliest time to open a term */
	witness_lease_t current; /* term that responses to copies carry */
	witness_lease_t former;	 /* last term; copies may still echo it */
	witness_lease_t opening; /* term that is being opened at witnesses */
} witness_holder_t;

/** struct witness_renewal_t - a renewal to be sent. */
typedef struct {
	const char *to; /* name of the witness */
	uint64_t term;	/* number of the term */
	uint64_t boot;	/* process of the witness; 0: it opens the term */
	usec_t sent_at;
} witness_renewal_t;

/* Maximum number of renewals from witness_holder_renewals(). */
#define WITNESS_RENEWALS_MAX (3 * WITNESS_COUNT)

/**
 * witness_holder_init - initialize an owner without a term.
 * @holder: the owner
 * @owner: name of this entry
 * @boot: number of this process, above that of any earlier one of this entry
 * @echo_delay_max: time within which all copies echo a new term
 */
void witness_holder_init(witness_holder_t *holder, const char *owner,
			 uint64_t boot, usec_t echo_delay_max);

/**
 * witness_holder_should_open - whether to open a new term now.
 * @holder: the owner
 * @misplaced: a zone without a witness of the current term has a live entry
 * @now: current time
 */
bool witness_holder_should_open(const witness_holder_t *holder, bool misplaced,
				usec_t now);

/**
 * witness_holder_open - start to open a term.
 * @names: names of the WITNESS_COUNT witnesses
 */
void witness_holder_open(witness_holder_t *holder, const char *const *names,
			 usec_t now);

/**
 * witness_holder_renewals - the renewals to be sent now.
 * @holder: the owner
 * @out: room for WITNESS_RENEWALS_MAX elements
 * @now: current time
 *
 * Return: the number of renewals; 0 if none is due.
 */
unsigned witness_holder_renewals(witness_holder_t *holder,
				 witness_renewal_t *out, usec_t now);

/** struct witness_response_t - response of a witness to a renewal. */
typedef struct {
	const char *from;
	uint64_t term;
	uint64_t boot;
	usec_t sent_at; /* copied from the renewal */
	bool granted;
	uint64_t newest_term; /* newest term of the owner at the witness */
} witness_response_t;

/** witness_holder_on_response - process the response to a renewal. */
void witness_holder_on_response(witness_holder_t *holder,
				const witness_response_t *response, usec_t now);

/**
 * witness_holder_until - expiry of a term of this owner; 0 if the term is not
 * in use.
 */
usec_t witness_holder_until(const witness_holder_t *holder, uint64_t number);

/** witness_holder_term - the newest term held at @now, or NULL. */
const witness_term_t *witness_holder_term(const witness_holder_t *holder,
					  usec_t now);

/** struct witness_record_t - what a witness stores about one term. */
typedef struct {
	char owner[HL_NAME_MAX];
	uint64_t term;
	usec_t until; /* expiry of the last grant */
	bool ended;   /* renewals are refused */
} witness_record_t;

/** struct witness_grantor_t - the records of a witness. */
typedef struct {
	uint64_t boot;	/* number of this process */
	usec_t started; /* start of this process; grants of earlier processes
			   expire within one lease duration of it */
	unsigned count;
	witness_record_t records[WITNESS_RECORDS_MAX];
} witness_grantor_t;

/**
 * witness_grantor_renew - grant or refuse a renewal.
 * @grantor: this witness
 * @owner: name of the owner that renews
 * @term: number of its term
 * @boot: process of this witness that granted the term before; 0: none
 * @newest_term: receives the greatest term of this owner with a record
 * @now: current time
 *
 * Return: true if it is granted.
 */
bool witness_grantor_renew(witness_grantor_t *grantor, const char *owner,
			   uint64_t term, uint64_t boot, uint64_t *newest_term,
			   usec_t now);

/**
 * witness_grantor_end - end a term: refuse its renewals from now on.
 * @grantor: this witness
 * @owner: name of the owner of the term
 * @term: number of the term
 * @boot: process of this witness that granted the term
 * @now: current time
 *
 * Return: true once no grant of this witness is in force.
 */
bool witness_grantor_end(witness_grantor_t *grantor, const char *owner,
			 uint64_t term, uint64_t boot, usec_t now);

/** struct witness_end_t - a term that this entry wants to be ended. */
typedef struct {
	witness_term_t term;
	bool ended[WITNESS_COUNT]; /* the witness reported the term as ended */
	usec_t used_at; /* last time that the claim of a copy needed the end */
	usec_t next_query; /* time of the next requests to the witnesses */
} witness_end_t;

/** struct witness_ends_t - the terms that this entry wants to be ended. */
typedef struct {
	witness_end_t items[WITNESS_ENDS_MAX];
} witness_ends_t;

/**
 * witness_ends_get - find a term, or add it in place of the one that was used
 * least recently.
 */
witness_end_t *witness_ends_get(witness_ends_t *ends,
				const witness_term_t *term, usec_t now);

/**
 * witness_ends_on_response - record that a term has ended at a witness.
 * @from: name of the witness
 * @boot: process of the witness
 */
void witness_ends_on_response(witness_ends_t *ends, const char *from,
			      const char *owner, uint64_t term, uint64_t boot);

/** witness_end_complete - whether no majority can grant the term any more. */
bool witness_end_complete(const witness_end_t *end);

#endif
