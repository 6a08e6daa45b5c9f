#ifndef OWNER_H
#define OWNER_H

#include "hemlock.h"
#include "metrics.h"
#include "witness.h"

/* Most owners of one service. */
#define OWNER_MAX 16

/** struct owner_member_t - a live entry as ownership sees it. */
typedef struct {
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char call_address[HL_ADDRESS_MAX];
	char control_address[HL_ADDRESS_MAX];
	char peer_address[HL_ADDRESS_MAX];
	char rpc_address[HL_ADDRESS_MAX]; /* following the configuration */
} owner_member_t;

/**
 * owner_of_service - the owners of a service among the live entries.
 * @members: the live entries, in any order
 * @count: how many
 * @service: name of the service
 * @wanted: how many owners, 0 for one in each zone and at least two
 * @owners: room for OWNER_MAX indexes into @members, best first
 *
 * Rendezvous hashing: every entry that sees the same live entries gives the
 * same answer, and a change of one entry moves only what that entry owned.
 * Each zone gives one owner before any gives a second.
 *
 * Return: how many owners there are.
 */
unsigned owner_of_service(const owner_member_t *members, unsigned count,
			  const char *service, unsigned wanted,
			  unsigned *owners);

/**
 * owner_of_copy - which of a service's owners has a copy.
 * @members: the live entries
 * @owners: as owner_of_service() gave them
 * @count: how many owners
 * @service: name of the service
 * @copy: name of the copy
 *
 * Return: an index into @members.
 */
unsigned owner_of_copy(const owner_member_t *members, const unsigned *owners,
		       unsigned count, const char *service, const char *copy);

/** enum owner_copy_state_t - what a copy says of itself. */
typedef enum {
	OWNER_COPY_COLD,
	OWNER_COPY_READY,
	OWNER_COPY_DRAINING,
} owner_copy_state_t;

/** struct owner_copy_t - a copy as it announced itself. */
typedef struct {
	char service[HL_NAME_MAX];
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
	unsigned slots;	      /* calls it runs at once */
	unsigned connections; /* most connections it takes */
	owner_copy_state_t state;
	unsigned load; /* thousandths, a hint */
} owner_copy_t;

/** struct owner_announcement_t - see docs/INTERFACES.md. */
typedef struct {
	owner_copy_t copy;
	uint64_t sequence;	 /* above 0 */
	char owner[HL_NAME_MAX]; /* what the last answer said; "" if absent */
	uint64_t epoch;		 /* 0 if absent */
	char witness[WITNESS_TEXT_MAX]; /* as the last answer; "" if absent */
	bool ours;			/* that is a term of this process */
} owner_announcement_t;

/** struct owner_announce_response_t - the answer to an announcement. */
typedef struct {
	char owner[HL_NAME_MAX];
	char owner_address[HL_ADDRESS_MAX]; /* control port of the owner */
	uint64_t epoch;
	unsigned interval_ms; /* until the next announcement */
	unsigned lease_ms;
	bool empty; /* it drains and no call is outstanding anywhere */
	char witness[WITNESS_TEXT_MAX]; /* term to echo; "" for none */
} owner_announce_response_t;

/** struct owner_endpoint_t - one address of a look-up's answer. */
typedef struct {
	char address[HL_ADDRESS_MAX]; /* call port */
	char zone[HL_NAME_MAX];
	unsigned weight; /* slots that it owns */
} owner_endpoint_t;

/**
 * struct owner_callbacks_t - what the module asks of and tells the entry.
 *
 * All are called with the module's lock held: they must not call owner_*()
 * functions, and a lock that they take must not be held while calling one.
 */
typedef struct {
	void *context;
	/* At most @limit calls outstanding, and no new one from @until on,
	   which is to be checked before each send; 0 means no new work. */
	void (*limit)(void *context, const owner_copy_t *copy, unsigned limit,
		      usec_t until);
	/* The copy is no longer ours and nothing is outstanding there. */
	void (*remove)(void *context, const char *service, const char *copy);
	/* Calls outstanding at the copy. */
	unsigned (*outstanding)(void *context, const char *service,
				const char *copy);
	/* Calls waiting for a credit, and credits that are free. */
	unsigned (*waiting)(void *context, const char *service);
	unsigned (*free_credits)(void *context, const char *service);
	/* Keep free credits for a sibling until then; how many are kept. */
	unsigned (*reserve)(void *context, const char *service,
			    unsigned credits, usec_t until);
	/* A sibling would run @credits of the waiting calls. */
	void (*offer)(void *context, const char *service,
		      const owner_member_t *from, unsigned credits);
	/* Owners wanted and credits above slots; may be NULL for 0 and 1. */
	unsigned (*owners_wanted)(void *context, const char *service);
	unsigned (*pipeline)(void *context, const char *service);
	/* An operator's planned stop is in force; may be NULL for never. */
	bool (*planned_stop)(void *context, const char *service,
			     const char *copy);
} owner_callbacks_t;

struct member;

/** struct owner_options_t - times are spans; 0 takes the preset. */
typedef struct {
	owner_member_t self;
	owner_callbacks_t callbacks;
	usec_t announce_interval; /* between announcements, 1 s */
	usec_t lease;		  /* 3 s; at least twice the interval */
	uint64_t lend_rate;	  /* bytes a second of lending, 0: no bound */
	struct member *member;	  /* NULL: the members are owner_members()'s */
	metrics_t *metrics;	  /* may be NULL */
	uint64_t boot;		  /* above earlier lives'; 0: no witnesses */
	usec_t started;		  /* when this process did */
} owner_options_t;

/** struct owner_t - the copies that this entry owns. */
typedef struct owner owner_t;

/**
 * owner_new - an entry that owns nothing yet.
 * @options: copied
 * @err: HL_ERR_SETTINGS if the lease is too short, HL_ERR_NOMEM
 *
 * Registers for the owners' datagrams at @options->member.
 */
owner_t *owner_new(const owner_options_t *options, hl_error_t *err);

/** owner_free - the child must have stopped; NULL is allowed. */
void owner_free(owner_t *owner);

/** owner_child - the thread that keeps leases and tells siblings. */
supervisor_child_t owner_child(owner_t *owner);

/** owner_members - the live entries are now these. */
void owner_members(owner_t *owner, const owner_member_t *members,
		   unsigned count);

/**
 * owner_announce - take in the announcement of a copy.
 * @owner: this entry
 * @announcement: its names and addresses are valid
 * @now: the present time
 * @out: what to answer
 * @err: HL_ERR_CONFLICT for a sequence not above the last, HL_ERR_UNAVAILABLE
 *       before any entry is known, HL_ERR_LIMIT with too many copies
 *
 * If another entry owns the copy, it is told at once and @out names it.
 *
 * Return: 0 or -1.
 */
int owner_announce(owner_t *owner, const owner_announcement_t *announcement,
		   usec_t now, owner_announce_response_t *out, hl_error_t *err);

/**
 * owner_lookup - the entries that callers of a service should use.
 * @owner: this entry
 * @service: name of the service
 * @zone: the caller's, "" if unknown; its owners come first
 * @out: room for @max places, OWNER_MAX is enough
 * @max: how many
 *
 * Return: how many were written.
 */
unsigned owner_lookup(owner_t *owner, const char *service, const char *zone,
		      owner_endpoint_t *out, unsigned max);

/**
 * owner_route - another entry to hand a call to that cannot be served here.
 *
 * Return: 0, or -1 if no other entry owns copies of the service.
 */
int owner_route(owner_t *owner, const char *service, owner_member_t *out);

/**
 * owner_may_send - whether this entry holds the copy's lease at @now.
 *
 * The same as the last limit() with its @until; for checks.
 */
bool owner_may_send(owner_t *owner, const char *service, const char *copy,
		    usec_t now);

/** owner_wake - a queue or a credit changed: tell siblings soon. */
void owner_wake(owner_t *owner);

/** owner_leave - pass every copy on; announcements name others from now. */
void owner_leave(owner_t *owner);

#endif
