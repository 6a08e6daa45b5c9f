#ifndef CONFIG_START_H
#define CONFIG_START_H

#include "hemlock.h"
#include "keeper_rpc.h"

/*
 * Which calls an entry that has started may route before a leading keeper has
 * confirmed its configuration. A change that was accepted earlier is in the logs of a
 * majority of the voters, so one of any majority has it: applied, or at the end of its
 * log, whose routes and copies it names. Only keepers whose log reaches the newest group that any
 * of them states count: one that was removed before may run on with an older log, in
 * which it is a voter. It does no I/O; its user provides the locking.
 */

/* Maximum size of the list of routes of one keeper, with its final NUL byte. */
#define CONFIG_START_ROUTES_MAX 2049u
/* A list that stands for all routes. */
#define CONFIG_START_ALL_ROUTES "*"
/* Maximum size of the list of copies of one keeper, with its final NUL byte. */
#define CONFIG_START_COPIES_MAX 2048u
/* A list that stands for all copies. */
#define CONFIG_START_ALL_COPIES "*"
/* config_start_response_t.voters of a response that does not state them. */
#define CONFIG_START_VOTERS_ABSENT (-1)
/* config_start_response_t.last of a response that does not state it. */
#define CONFIG_START_LAST_ABSENT UINT64_MAX

/** struct config_start_response_t - the response of a keeper that does not lead. */
typedef struct {
	char address[HL_ADDRESS_MAX]; /* of the keeper */
	/* Number of voters of its group; 0: its own disk is not a voter. */
	int voters;
	/* Index of the entry of its log, committed or not, that holds its group, or
	 * of the snapshot that does; 0: not stated. */
	uint64_t group;
	/* Index of the last entry of its log. */
	uint64_t last;
	/* Index of an entry of its log up to which its configuration has all; 0: not
	 * stated. */
	uint64_t applied;
	/* Host and prefix of each route that the end of its log may change,
	 * separated by commas; characters of the prefix may be escaped by '%' and
	 * two digits. */
	char routes[CONFIG_START_ROUTES_MAX];
	/* Ids of the copies that the end of its log may take out of service, as set
	 * by config_start_read_copies(). */
	char copies[CONFIG_START_COPIES_MAX];
} config_start_response_t;

/** struct config_start_t - the responses since the start; zeroed at first. */
typedef struct {
	unsigned count;
	config_start_response_t last[KEEPER_VOTERS_MAX]; /* one for a keeper */
	/* A keeper of an earlier release, which states no voters, has responded. */
	bool earlier_release;
	/* Index of a log entry up to which the configuration in force has all that
	 * was accepted. Lists of keepers whose logs end there are void: each entry
	 * of such a log is contained, or replaced by another one. */
	uint64_t applied;
	usec_t since; /* when the first configuration came; 0: none yet */
} config_start_t;

/** enum config_start_state_t - whether calls may be routed at all. */
typedef enum {
	CONFIG_START_WAITING,
	CONFIG_START_QUORUM,  /* a majority of the voters has responded */
	CONFIG_START_RELEASE, /* a keeper responds that states no voters */
	CONFIG_START_TIMEOUT, /* no majority has responded in time */
} config_start_state_t;

/**
 * config_start_read_copies - set the list of copies of a response.
 * @response: the response
 * @text: ids separated by commas; characters may be escaped by '%' and two digits
 *
 * A list that is malformed or too large stands for all copies.
 */
void config_start_read_copies(config_start_response_t *response,
			      const char *text);

/**
 * config_start_record - record a response whose configuration is in force now.
 * @start: zeroed, or used before
 * @response: replaces the last one of the same keeper
 * @revision: revision of the configuration; 0: none
 * @now: current time
 *
 * Return: false if that makes no difference.
 */
bool config_start_record(config_start_t *start,
			 const config_start_response_t *response,
			 uint64_t revision, usec_t now);

/**
 * config_start_responders - number of voters that have responded and whose log reaches
 * the newest group.
 * @voters: set to the largest number of voters that they state
 */
unsigned config_start_responders(const config_start_t *start, unsigned *voters);

/** config_start_pending - number of routes that the responses name. */
unsigned config_start_pending(const config_start_t *start);

/**
 * config_start_state - whether calls may be routed.
 * @max: time from the first configuration after which it is served in any case
 * @now: current time
 */
config_start_state_t config_start_state(const config_start_t *start, usec_t max,
					usec_t now);

/**
 * config_start_is_pending - whether a change may move or drop the route of a call.
 * @host: Host header of the call, with or without a port
 * @target: its path and query
 * @prefix_length: length of the prefix of its route
 *
 * A shorter prefix than that of its route does not matter: the change names each route
 * that it replaces or retires. Any call is pending while a list stands for all copies.
 */
bool config_start_is_pending(const config_start_t *start, const char *host,
			     const char *target, size_t prefix_length);

/**
 * config_start_copy_is_pending - whether a change may take a copy out of service.
 * @name: id of the copy
 */
bool config_start_copy_is_pending(const config_start_t *start,
				  const char *name);

#endif
