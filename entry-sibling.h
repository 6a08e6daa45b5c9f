#ifndef ENTRY_SIBLING_H
#define ENTRY_SIBLING_H

#include <urcu/list.h>
#include "hemlock.h"

/*
 * Which sibling entries reach copies of a service that this entry does not reach.
 * The siblings are asked for that, so that an entry need not send its own calls to
 * them to find out. Plain data: no lock, no I/O.
 */

/** enum entry_sibling_state_t - what a sibling has answered for a service. */
typedef enum {
	ENTRY_SIBLING_UNKNOWN, /* nothing yet, or its answer is not understood */
	ENTRY_SIBLING_TESTING, /* no copy has responded to it lately */
	ENTRY_SIBLING_LACKS,   /* it lacks paths to many copies as well */
	ENTRY_SIBLING_SILENT,  /* it cannot be reached */
	ENTRY_SIBLING_REACHES,
} entry_sibling_state_t;

/** struct entry_sibling_t - a sibling, for one service. */
typedef struct {
	struct cds_list_head link; /* entry_siblings_t.list */
	char address[HL_ADDRESS_MAX];
	bool near; /* in the zone of this entry */
	entry_sibling_state_t state;
	bool asking;	    /* an answer is outstanding */
	usec_t answered_at; /* 0: never */
	usec_t ask_at;	    /* when it may be asked again */
} entry_sibling_t;

/** struct entry_siblings_t - the siblings of an entry, for one service. */
typedef struct {
	struct cds_list_head list;
	unsigned count;
	unsigned asking; /* answers that are outstanding */
} entry_siblings_t;

/** struct entry_question_rate_t - bounds the questions of an entry; zeroed at first. */
typedef struct {
	usec_t period_end; /* the count is of the period that ends then */
	unsigned count;
} entry_question_rate_t;

/**
 * entry_question_rate_take - count a question, over all services.
 *
 * Return: false if no question may be sent now.
 */
bool entry_question_rate_take(entry_question_rate_t *rate, usec_t now);

/** entry_siblings_init - initialise an empty set. */
void entry_siblings_init(entry_siblings_t *set);

/** entry_siblings_clear - forget all siblings. */
void entry_siblings_clear(entry_siblings_t *set);

/**
 * entry_siblings_add - add a sibling unless the set has it.
 *
 * In a full set it replaces one that lacks the same paths.
 *
 * @near: it is in the zone of this entry
 */
void entry_siblings_add(entry_siblings_t *set, const char *address, bool near);

/**
 * entry_siblings_next - return the sibling to ask now, or NULL.
 *
 * Siblings of the own zone are asked first, and only as many as it takes to know
 * some that reach copies. The caller asks it and calls entry_siblings_on_answer().
 */
entry_sibling_t *entry_siblings_next(entry_siblings_t *set, usec_t now);

/** entry_siblings_due - when to call entry_siblings_next() again; USEC_NEVER. */
usec_t entry_siblings_due(const entry_siblings_t *set, usec_t now);

/**
 * entry_siblings_on_answer - record what a sibling has answered, or that it could
 * not serve a call.
 *
 * Ignored if the set does not have the sibling.
 */
void entry_siblings_on_answer(entry_siblings_t *set, const char *address,
			      entry_sibling_state_t state, usec_t now);

/** entry_siblings_reach - whether a sibling is known to reach copies. */
bool entry_siblings_reach(const entry_siblings_t *set, usec_t now);

/**
 * entry_siblings_may_reach - whether none is known to reach copies, but some have
 * not answered yet or are testing.
 */
bool entry_siblings_may_reach(const entry_siblings_t *set, usec_t now);

/**
 * entry_siblings_choose - choose a sibling for a call.
 * @random: any number
 * @count: set to the number of siblings that it was chosen from
 *
 * Return: one that reaches copies, in the own zone if there are several; else one
 * that may reach some, or NULL if none does.
 */
const entry_sibling_t *entry_siblings_choose(const entry_siblings_t *set,
					     unsigned random, unsigned *count,
					     usec_t now);

#endif
