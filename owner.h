#ifndef OWNER_H
#define OWNER_H

#include "hemlock.h"
#include "metrics.h"
#include "witness.h"

/*
 * Ownership of copies. Each copy of a service is owned by one entry, which
 * holds a lease on it and alone sends calls to it. A copy announces itself to
 * its owner at intervals, and the response renews the lease or names another
 * owner. The owners of one service are siblings: they report queues and slots
 * to each other and lend free credits.
 *
 * owner_t holds the records of the copies, the live entries and the siblings of
 * each service. Its functions may be called from any thread.
 */

/* Maximum number of owners of one service. */
#define OWNER_MAX 16

/** struct owner_member_t - a live entry and its addresses. */
typedef struct {
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char call_address[HL_ADDRESS_MAX];
	char control_address[HL_ADDRESS_MAX];
	char peer_address[HL_ADDRESS_MAX];
	char rpc_address[HL_ADDRESS_MAX]; /* serves the configuration */
} owner_member_t;

/**
 * owner_hash_service - select the owners of a service among the live entries.
 * @members: the live entries, in any order
 * @count: number of live entries
 * @service: name of the service
 * @wanted: number of owners, 0 for one in each zone and at least two
 * @owners: receives up to OWNER_MAX indexes into @members, best first
 *
 * Rendezvous hashing: every entry that has the same live entries selects the
 * same owners, and a change of one entry moves only what that entry owned.
 * Each zone gives one owner before any gives a second.
 *
 * Return: the number of owners.
 */
unsigned owner_hash_service(const owner_member_t *members, unsigned count,
			    const char *service, unsigned wanted,
			    unsigned *owners);

/**
 * owner_hash_copy - select the owner of a copy by rendezvous hashing.
 * @members: the live entries
 * @owners: owners of the service, from owner_hash_service()
 * @count: number of owners, above 0
 * @service: name of the service
 * @copy: name of the copy
 *
 * Return: an index into @members.
 */
unsigned owner_hash_copy(const owner_member_t *members, const unsigned *owners,
			 unsigned count, const char *service, const char *copy);

/** enum owner_copy_state_t - state that a copy announces. */
typedef enum {
	OWNER_COPY_COLD, /* warming up */
	OWNER_COPY_READY,
	OWNER_COPY_DRAINING,
} owner_copy_state_t;

/** struct owner_copy_t - a copy as it announced itself. */
typedef struct {
	char service[HL_NAME_MAX];
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
	unsigned slots;	      /* calls that it runs at once */
	unsigned connections; /* maximum number of connections it accepts */
	owner_copy_state_t state;
	unsigned load; /* load in thousandths; a hint */
} owner_copy_t;

/** struct owner_announcement_t - an announcement, see docs/INTERFACES.md. */
typedef struct {
	owner_copy_t copy;
	uint64_t sequence; /* above 0 */
	/* Owner, epoch and witness term that the copy echoes from the last
	   response that it received. */
	char owner[HL_NAME_MAX];	/* "" if absent */
	uint64_t epoch;			/* 0 if absent */
	char witness[WITNESS_TEXT_MAX]; /* "" if absent */
	bool own_term; /* set on receipt: the term is one of this process */
} owner_announcement_t;

/** struct owner_announce_response_t - the response to an announcement. */
typedef struct {
	char owner[HL_NAME_MAX];
	char owner_address[HL_ADDRESS_MAX]; /* control port of the owner */
	uint64_t epoch;
	unsigned interval_ms; /* time until the next announcement */
	unsigned lease_ms;
	bool empty; /* the copy drains and no call is outstanding anywhere */
	char witness[WITNESS_TEXT_MAX]; /* term to echo; "" for none */
} owner_announce_response_t;

/** struct owner_endpoint_t - one address in the result of a lookup. */
typedef struct {
	char address[HL_ADDRESS_MAX]; /* call port */
	char zone[HL_NAME_MAX];
	unsigned weight; /* slots that the entry owns */
} owner_endpoint_t;

/**
 * struct owner_callbacks_t - callbacks into the entry.
 *
 * All are called with the lock of the owner_t held: they must not call
 * owner_*() functions, and a lock that they take must not be held while calling
 * one.
 */
typedef struct {
	void *context;
	/* Sets the limit of a copy, the maximum number of calls that this entry
	   may have outstanding there; 0 means that no new call may be sent.
	   From @until on no call may be sent either, which the entry checks
	   before each send. */
	void (*limit)(void *context, const owner_copy_t *copy, unsigned limit,
		      usec_t until);
	/* Removes a copy that this entry does not own any more and at which
	   none of its calls is outstanding. */
	void (*remove)(void *context, const char *service, const char *copy);
	/* Returns the number of calls outstanding at a copy. */
	unsigned (*outstanding)(void *context, const char *service,
				const char *copy);
	/* Return the number of calls that wait for a credit, and the number of
	   free credits. */
	unsigned (*waiting)(void *context, const char *service);
	unsigned (*free_credits)(void *context, const char *service);
	/* Reserves up to @credits free credits for a sibling until @until;
	   returns the number reserved. */
	unsigned (*reserve)(void *context, const char *service,
			    unsigned credits, usec_t until);
	/* Hands up to @credits waiting calls over to a sibling that offers
	   credits for them. */
	void (*offer)(void *context, const char *service,
		      const owner_member_t *from, unsigned credits);
	/* Return the number of owners wanted (NULL: 0, see
	   owner_hash_service()), and the number of credits that a copy has in
	   addition to its slots (NULL: 1). */
	unsigned (*owners_wanted)(void *context, const char *service);
	unsigned (*pipeline)(void *context, const char *service);
	/* Returns whether a planned stop of a copy is in force; NULL: never. */
	bool (*planned_stop)(void *context, const char *service,
			     const char *copy);
} owner_callbacks_t;

struct member;

/**
 * struct owner_options_t - options of owner_new().
 *
 * Durations of 0 take the default.
 */
typedef struct {
	owner_member_t self;
	owner_callbacks_t callbacks;
	usec_t announce_interval; /* time between announcements; default 1 s */
	usec_t lease; /* duration of a lease, at least two intervals; 3 s */
	/* Bytes per second of the datagrams about queues and credits (the
	   lending budget); 0: unlimited. */
	uint64_t lend_rate;
	struct member *member; /* membership; NULL: see owner_set_members() */
	metrics_t *metrics;    /* may be NULL */
	/* Number of this process, above those of earlier processes of this
	   entry; 0 disables witness leases. */
	uint64_t boot;
	usec_t started; /* start of this process */
} owner_options_t;

/** struct owner_t - the copies that this entry owns. */
typedef struct owner owner_t;

/**
 * owner_new - create the ownership of an entry that owns no copy yet.
 * @options: copied
 * @err: HL_ERR_SETTINGS if the lease is too short, HL_ERR_NOMEM
 *
 * Registers handlers of the owners' datagrams at @options->member.
 *
 * Return: the ownership, or NULL with @err set.
 */
owner_t *owner_new(const owner_options_t *options, hl_error_t *err);

/** owner_free - free the ownership after its child stopped; NULL is allowed. */
void owner_free(owner_t *owner);

/** owner_child - return the thread that runs owner_tick() at intervals. */
supervisor_child_t owner_child(owner_t *owner);

/** owner_set_members - replace the list of live entries. */
void owner_set_members(owner_t *owner, const owner_member_t *members,
		       unsigned count);

/**
 * owner_announce - process the announcement of a copy.
 * @owner: this entry
 * @announcement: announcement with valid names and addresses
 * @now: current time
 * @out: receives the response
 * @err: HL_ERR_CONFLICT for a sequence not above the last, HL_ERR_UNAVAILABLE
 *       before any entry is known, HL_ERR_LIMIT with too many copies
 *
 * If another entry should own the copy, the announcement is forwarded to that
 * entry at once and @out names it.
 *
 * Return: 0, or -1 with @err set.
 */
int owner_announce(owner_t *owner, const owner_announcement_t *announcement,
		   usec_t now, owner_announce_response_t *out, hl_error_t *err);

/**
 * owner_lookup - list the entries to which callers of a service should send.
 * @owner: this entry
 * @service: name of the service
 * @zone: zone of the caller, "" if unknown; owners in it come first
 * @out: room for @max elements, OWNER_MAX is enough
 * @max: maximum number of elements
 *
 * Return: the number of elements written.
 */
unsigned owner_lookup(owner_t *owner, const char *service, const char *zone,
		      owner_endpoint_t *out, unsigned max);

/**
 * owner_route - select another entry for a call that this entry cannot serve.
 *
 * Return: 0, or -1 if no other entry owns copies of the service.
 */
int owner_route(owner_t *owner, const char *service, owner_member_t *out);

/**
 * owner_may_send - whether this entry holds the copy's lease at @now.
 *
 * Equivalent to the last owner_callbacks_t.limit with its @until; for tests.
 */
bool owner_may_send(owner_t *owner, const char *service, const char *copy,
		    usec_t now);

/** owner_wake - trigger a tick, as the queue or the free credits changed. */
void owner_wake(owner_t *owner);

/**
 * owner_leave - stop owning copies before the entry stops.
 *
 * From now on the responses to announcements name other entries.
 */
void owner_leave(owner_t *owner);

#endif
