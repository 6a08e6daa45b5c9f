#ifndef ENTRY_SUSPECT_H
#define ENTRY_SUSPECT_H

#include "config.h"
#include "hemlock.h"

/*
 * Calls that copies ran when they crashed, as one entry knows them: those of the
 * configuration and the crashes that the entry has seen since. Plain data: no
 * lock, no I/O.
 */

/* Size of the digest of a call, hexadecimal digits and a zero byte. */
#define ENTRY_DIGEST_SIZE 33

/** struct entry_crash_t - a crash of a copy that ran a call. */
typedef struct {
	char digest[ENTRY_DIGEST_SIZE]; /* of the call */
	char copy[HL_NAME_MAX];
	uint64_t started_ms; /* as in config_target_t */
	usec_t sent;	     /* when the call was sent to the copy */
	usec_t at;	     /* when the copy was found to have crashed */
} entry_crash_t;

typedef struct entry_suspects entry_suspects_t;

/** entry_suspects_new - create an empty set; aborts if out of memory. */
entry_suspects_t *entry_suspects_new(void);

/** entry_suspects_free - free the set; NULL is allowed. */
void entry_suspects_free(entry_suspects_t *suspects);

/** entry_suspects_count - return the number of suspected calls. */
unsigned entry_suspects_count(const entry_suspects_t *suspects);

/**
 * entry_suspects_add - add a crash that this entry has seen.
 *
 * It counts if the call was sent after the crash before it was known.
 */
void entry_suspects_add(entry_suspects_t *suspects, const entry_crash_t *crash);

/** entry_suspects_blocked - whether a call is no longer to be sent to copies. */
bool entry_suspects_blocked(const entry_suspects_t *suspects,
			    const char *digest);

/**
 * entry_suspects_clear - forget a call that a copy has answered.
 * @revision: set to its revision in the configuration; 0 if it is not there
 *
 * Return: false if the call is not suspected, or blocked.
 */
bool entry_suspects_clear(entry_suspects_t *suspects, const char *digest,
			  uint64_t *revision);

/** entry_suspects_apply - replace the suspects of the configuration. */
void entry_suspects_apply(entry_suspects_t *suspects, const config_t *config,
			  usec_t now);

/**
 * entry_suspects_each_unconfirmed - call @each for the crashes seen here that
 * are to be reported to the keepers again.
 *
 * A crash is reported for some seconds at most: the keepers may not count it.
 */
void entry_suspects_each_unconfirmed(
	const entry_suspects_t *suspects, usec_t now,
	void (*each)(void *context, const entry_crash_t *crash), void *context);

/** entry_suspects_expire - forget old crashes that no keeper knows. */
void entry_suspects_expire(entry_suspects_t *suspects, usec_t now);

#endif
