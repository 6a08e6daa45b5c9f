#ifndef ENTRY_STOP_H
#define ENTRY_STOP_H

#include <stdbool.h>
#include "hemlock.h"

/*
 * Which calls a stopping entry still takes, decided without I/O. A call that is
 * taken but cannot end before the process does is cut off while its copy is at
 * work; a call that is refused has not run and can be sent to another entry.
 */

/** struct entry_stop_times_t - how long a stop may take, in microseconds. */
typedef struct {
	usec_t accept; /* time in which all calls are taken */
	usec_t linger; /* time until the port is closed */
	usec_t drain;  /* time for calls in flight after that */
	usec_t grace;  /* time until the process is killed; 0: not known */
} entry_stop_times_t;

/** struct entry_stop_t - the times of one stop. */
typedef struct {
	usec_t accept_until; /* most calls are taken whatever their deadline */
	usec_t listen_until; /* the port is closed */
	usec_t end;	     /* calls in flight are ended */
	usec_t linger_until; /* callers that still send a body are cut */
} entry_stop_t;

/**
 * entry_stop_begin - times of a stop that begins at @now.
 *
 * With a grace period the stop uses it up to the time that the process needs to
 * end; without one it ends after @times->linger and @times->drain.
 */
entry_stop_t entry_stop_begin(const entry_stop_times_t *times, usec_t now);

/**
 * entry_stop_admits - is a call taken during the stop?
 * @stop: the stop
 * @deadline: time at which the call ends at the latest
 * @must_end: it is taken only if it ends before the stop does
 * @now: present time
 *
 * True if it ends before the stop does, or has come while all calls are taken and
 * need not end before.
 */
bool entry_stop_admits(const entry_stop_t *stop, usec_t deadline, bool must_end,
		       usec_t now);

#endif
