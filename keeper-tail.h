#ifndef KEEPER_TAIL_H
#define KEEPER_TAIL_H

#include "config-object.h"
#include "keeper.h"

/*
 * The routes that the end of a keeper's log, beyond the last applied entry, may put,
 * replace or retire. These entries may have been accepted by a leader that has ended
 * since then, so a call on such a route must not be routed by the applied
 * configuration. Likewise the copies that these entries may take out of service.
 */

/* Maximum size of the list, with its final NUL byte. */
#define KEEPER_TAIL_BYTES_MAX 2048u
/* The list if it would be larger: all routes. */
#define KEEPER_TAIL_ALL "*"

/* Maximum size of the list of copies, with its final NUL byte. If it would be larger,
 * the list of routes is that of all, so that all calls wait. */
#define KEEPER_TAIL_COPIES_BYTES_MAX 2048u

/** struct keeper_tail_t - the routes and copies, and the part of the log that they stand for. */
typedef struct {
	uint64_t applied;   /* index of the last applied entry */
	uint64_t last;	    /* index of the last entry of the log */
	uint64_t last_term; /* its term */
	/* Host and prefix of each route, as "a.example/path/", separated by commas;
	 * characters of the prefix may be escaped by '%' and two digits. */
	char routes[KEEPER_TAIL_BYTES_MAX];
	/* Ids of the copies that may take no calls any longer where the applied
	 * configuration has them, separated by commas; characters may be escaped
	 * likewise. Empty if @routes stands for all. */
	char copies[KEEPER_TAIL_COPIES_BYTES_MAX];
} keeper_tail_t;

/**
 * keeper_tail_update - set the routes and copies for the present end of the log.
 * @tail: zeroed, or used before; only the entries added since then are decoded
 * @entries: the log
 * @applied: index of the last entry that @config contains
 * @config: the applied configuration
 */
void keeper_tail_update(keeper_tail_t *tail, const keeper_entries_t *entries,
			uint64_t applied, const config_t *config);

#endif
