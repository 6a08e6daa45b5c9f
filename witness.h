#ifndef WITNESS_H
#define WITNESS_H

#include "hemlock.h"

/*
 * Witness leases: pure, no lock, no clock, no socket.
 *
 * An owner renews one lease for all its copies at three other entries, its
 * witnesses, and sends to its copies only while a majority of them has granted
 * a renewal sent less than a lease ago. The lease has a term, named in each
 * answer to an announcement, so that the next owner learns from the copy whom
 * to ask to end that term.
 */

/* Witnesses of a term. */
#define WITNESS_SET 3
/* A grant binds owner and witness for this long. */
#define WITNESS_LEASE (3 * USEC_PER_SEC)
/* How often a term is renewed, and while it is being opened. */
#define WITNESS_PERIOD USEC_PER_SEC
#define WITNESS_PERIOD_OPENING (200 * USEC_PER_MS)
/* A witness that grants nothing for this long is to be replaced. */
#define WITNESS_SILENCE (2 * WITNESS_LEASE)
/* Terms that a witness remembers. */
#define WITNESS_RECORDS_MAX 512
/* Terms that may be being ended at once. */
#define WITNESS_ASKS_MAX 64
/* How often a witness is asked to end a term. */
#define WITNESS_ASK_PERIOD (50 * USEC_PER_MS)
/* A term as text: names, numbers and separators. */
#define WITNESS_TEXT_MAX 384

/** struct witness_member_t - a witness in one life of its process. */
typedef struct {
	char name[HL_NAME_MAX];
	uint64_t boot; /* 0: has not answered yet */
} witness_member_t;

/** struct witness_term_t - a term as the next owner needs to know it. */
typedef struct {
	char owner[HL_NAME_MAX];
	uint64_t number; /* 0: none */
	witness_member_t members[WITNESS_SET];
} witness_term_t;

/**
 * witness_term_print - a term as text for the copies to echo.
 * @out: room for WITNESS_TEXT_MAX bytes
 */
void witness_term_print(const witness_term_t *term, char *out);

/** witness_term_parse - 0, or -1 if @text is no term. */
int witness_term_parse(const char *text, witness_term_t *term);

/** struct witness_hold_t - a term that this entry holds or opens. */
typedef struct {
	witness_term_t term;
	usec_t opened;
	usec_t granted[WITNESS_SET]; /* when the renewal was sent; 0: never */
	bool refused[WITNESS_SET];
} witness_hold_t;

/** struct witness_own_t - the owner's side. */
typedef struct {
	char owner[HL_NAME_MAX];
	uint64_t next; /* number of the next term */
	usec_t gap;    /* copies learn of a new term within this time */
	usec_t renew_from;
	usec_t open_from;
	witness_hold_t current;
	witness_hold_t former; /* copies may still echo it */
	witness_hold_t opening;
} witness_own_t;

/** struct witness_renewal_t - one renewal to be sent. */
typedef struct {
	const char *to;
	uint64_t term;
	uint64_t boot; /* 0: the term is being opened there */
	usec_t sent;
} witness_renewal_t;

/* Renewals that witness_own_renewals() may give. */
#define WITNESS_RENEWALS_MAX (3 * WITNESS_SET)

/**
 * witness_own_init - an owner without a term.
 * @own: to be initialised
 * @owner: name of this entry
 * @boot: above that of any earlier life of this entry
 * @gap: copies echo a new term within this time
 */
void witness_own_init(witness_own_t *own, const char *owner, uint64_t boot,
		      usec_t gap);

/**
 * witness_own_wants - a new term should be opened now.
 * @own: this owner
 * @misplaced: better witnesses could be had for the term in use
 * @now: the present time
 */
bool witness_own_wants(const witness_own_t *own, bool misplaced, usec_t now);

/** witness_own_open - open a term at WITNESS_SET witnesses by name. */
void witness_own_open(witness_own_t *own, const char *const *names, usec_t now);

/**
 * witness_own_renewals - what is to be sent now.
 * @out: room for WITNESS_RENEWALS_MAX
 *
 * Return: how many; 0 if nothing is due.
 */
unsigned witness_own_renewals(witness_own_t *own, witness_renewal_t *out,
			      usec_t now);

/** struct witness_grant_t - a witness' answer to a renewal. */
typedef struct {
	const char *from;
	uint64_t term;
	uint64_t boot;
	usec_t sent; /* as in the renewal */
	bool granted;
	uint64_t known; /* the greatest term that the witness has seen */
} witness_grant_t;

/** witness_own_answer - take in the answer to a renewal. */
void witness_own_answer(witness_own_t *own, const witness_grant_t *grant,
			usec_t now);

/** witness_own_until - a term is held until then; 0 if it is not ours. */
usec_t witness_own_until(const witness_own_t *own, uint64_t number);

/** witness_own_term - the newest term held at @now, or NULL. */
const witness_term_t *witness_own_term(const witness_own_t *own, usec_t now);

/** struct witness_record_t - a term as its witness knows it. */
typedef struct {
	char owner[HL_NAME_MAX];
	uint64_t term;
	usec_t until; /* its last grant runs out */
	bool closed;  /* it is granted no more */
} witness_record_t;

/** struct witness_keep_t - the witness' side. */
typedef struct {
	uint64_t boot;	/* of this process */
	usec_t started; /* grants of the life before end a lease later */
	unsigned count;
	witness_record_t records[WITNESS_RECORDS_MAX];
} witness_keep_t;

/**
 * witness_keep_renew - answer a renewal.
 * @keep: this witness
 * @owner: who renews
 * @term: which term
 * @boot: our life that granted it before; 0: none did
 * @known: the greatest term of this owner that we have seen
 * @now: the present time
 *
 * Return: true if it is granted.
 */
bool witness_keep_renew(witness_keep_t *keep, const char *owner, uint64_t term,
			uint64_t boot, uint64_t *known, usec_t now);

/**
 * witness_keep_end - somebody asks that a term ends: grant it no more.
 *
 * Return: true once no grant of ours is in force.
 */
bool witness_keep_end(witness_keep_t *keep, const char *owner, uint64_t term,
		      uint64_t boot, usec_t now);

/** struct witness_ask_t - a term that this entry wants to be ended. */
typedef struct {
	witness_term_t term;
	bool ended[WITNESS_SET]; /* as its witnesses said */
	usec_t used;		 /* a copy needed it last */
	usec_t next;		 /* ask again from then on */
} witness_ask_t;

/** struct witness_asks_t - the asker's side. */
typedef struct {
	witness_ask_t asks[WITNESS_ASKS_MAX];
} witness_asks_t;

/** witness_asks_want - find a term, or put it in place of the oldest. */
witness_ask_t *witness_asks_want(witness_asks_t *asks,
				 const witness_term_t *term, usec_t now);

/** witness_asks_answer - a witness says that a term has ended there. */
void witness_asks_answer(witness_asks_t *asks, const char *from,
			 const char *owner, uint64_t term, uint64_t boot);

/** witness_ask_ended - no majority can grant it any more. */
bool witness_ask_ended(const witness_ask_t *ask);

#endif
