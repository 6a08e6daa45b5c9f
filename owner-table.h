#ifndef OWNER_TABLE_H
#define OWNER_TABLE_H

#include <urcu/list.h>
#include "member.h"
#include "owner-lease.h"

/*
 * Internals of the owner module: the records of the copies, the services with
 * their siblings, and the functions that the owner-*.c files share. Unless
 * noted, all functions are called with owner->lock held.
 *
 * A term in this header is the term of a witness lease (witness.h), not a Raft
 * term. The limit of a copy is the maximum number of calls that this entry may
 * have outstanding at the copy; owner_callbacks_t.limit passes it to the entry.
 */

/* Maximum number of copies and of services with a record; bounds the memory
   that announcements and lookups can allocate. */
#define OWNER_RECORDS_MAX 4096
#define OWNER_SERVICES_MAX 1024
/* Defaults of the announce interval and the lease in owner_options_t. */
#define OWNER_ANNOUNCE_INTERVAL USEC_PER_SEC
#define OWNER_LEASE_DURATION (3 * USEC_PER_SEC)
/* Announce interval of a copy that has not echoed the epoch of this entry yet,
   or that this entry has redirected to another owner. */
#define OWNER_ANNOUNCE_INTERVAL_FAST (50 * USEC_PER_MS)
/* Interval between release requests to a former owner. */
#define OWNER_RELEASE_INTERVAL (50 * USEC_PER_MS)
/* Time in which a former owner that is not live can release a copy before this
   entry requests the former owner's witnesses to end its term. */
#define OWNER_RELEASE_TIMEOUT (250 * USEC_PER_MS)
/* Longest time that a copy announces itself at the fast interval while the
   term of its former owner is being ended. */
#define OWNER_CLAIM_FAST_MAX (10 * USEC_PER_SEC)
/* Lease durations without an announcement after which a copy is removed. */
#define OWNER_RECORD_TTL_LEASES 10
/* Number of entries kept after they left or died, because they may still
   respond to a request to release a copy. */
#define OWNER_DEPARTED_MAX 32

/** struct owner_record_t - a copy that announced itself to this entry. */
typedef struct {
	struct cds_list_head link;
	owner_copy_t copy;
	owner_lease_t lease;
	/* Owner and epoch that the copy echoed to the entry that redirected it
	   to this one, and the epoch of that redirect; 0: not redirected. */
	char echoed_owner[HL_NAME_MAX];
	uint64_t echoed_epoch;
	uint64_t redirect_epoch;
	bool reported; /* owner_callbacks_t.limit was called for the copy */
	usec_t announced_at;	 /* last announcement */
	usec_t held_at;		 /* start of the current ownership */
	usec_t next_release;	 /* time of the next release request */
	unsigned reported_limit; /* last limit passed to the callback */
	usec_t reported_until;	 /* last @until passed to the callback */
} owner_record_t;

/** struct owner_sibling_t - another owner of a service. */
typedef struct {
	owner_member_t member;
	unsigned waiting; /* waiting calls it reported, less credits offered */
	unsigned copies;  /* copies it reported, and copies moved to it since */
	unsigned slots;	  /* slots of its copies, as it reported */
	usec_t reported_at; /* last report from the sibling; 0: never */
	usec_t waiting_at;  /* last report of its waiting calls */
	usec_t queried_at;  /* last query for its slots */
	usec_t sent_at; /* last report of this entry to the sibling; 0: never */
	unsigned sent_waiting; /* waiting calls in that report */
	unsigned sent_copies;  /* copies in that report */
	unsigned sent_slots;   /* slots in that report */
} owner_sibling_t;

/** struct owner_service_t - a service and its owners. */
typedef struct {
	struct cds_list_head link;
	char name[HL_NAME_MAX];
	uint64_t version; /* owner->members_version when owners was computed */
	bool is_owner;	  /* this entry is one of the owners */
	unsigned owners[OWNER_MAX]; /* indexes into owner->members */
	unsigned owner_count;
	unsigned sibling_count;
	owner_sibling_t siblings[OWNER_MAX];
	unsigned copies; /* copies whose lease this entry holds or claims */
	unsigned slots;	 /* total slots of those copies */
	usec_t slots_changed_at; /* last change in the slots of a sibling */
	usec_t moved_at;   /* last move of a copy of this entry to a sibling */
	unsigned reserved; /* free credits offered to siblings */
	usec_t reserved_until; /* expiry of the offers */
} owner_service_t;

/** struct owner - the state of owner_t, with its metrics counters. */
struct owner {
	owner_options_t options;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	struct cds_list_head records;
	unsigned record_count;
	struct cds_list_head services;
	unsigned service_count;
	owner_member_t *members; /* the live entries, up to MEMBER_MAX */
	unsigned member_count;
	/* Ring buffer of entries that left or died. */
	owner_member_t departed[OWNER_DEPARTED_MAX];
	unsigned departed_next;	     /* counts the entries added to departed */
	uint64_t members_version;    /* incremented to recompute all owners */
	uint64_t membership_version; /* member_version() of members */
	bool leaving;		     /* owner_leave() was called */
	bool woken;	   /* owner_wake() was called since the last tick */
	usec_t now;	   /* time of the last tick */
	usec_t next_query; /* earliest time of the next query for slots */
	uint64_t *lend_bytes;
	uint64_t *lend_datagrams;
	uint64_t *lend_withheld;
	/* Token bucket that limits the traffic for lending credits to
	   options.lend_rate: bytes of datagrams that may be sent now. */
	double lend_budget;
	usec_t lend_filled_at; /* last addition to lend_budget */
	uint64_t *lease_bytes;
	witness_holder_t witness_holder;
	witness_grantor_t witness_grantor;
	witness_ends_t witness_ends;
	uint64_t *witness_bytes;
	uint64_t *terms_ended;
	uint64_t *credits_offered;
	uint64_t *copies_taken;
	uint64_t *copies_moved;
	/* Sends datagrams in tests, which have no membership; may be NULL. */
	unsigned (*send)(void *context, const char *address,
			 const peer_body_t *body);
	void *send_context;
};

/** owner_table_record - find a copy by name; NULL if it has no record. */
owner_record_t *owner_table_record(owner_t *owner, const char *service,
				   const char *copy);

/**
 * owner_table_record_add - add a record for a copy that has none.
 *
 * Return: the record, or NULL if there are OWNER_RECORDS_MAX records already or
 *         memory is exhausted.
 */
owner_record_t *owner_table_record_add(owner_t *owner,
				       const owner_copy_t *copy);

/** owner_table_record_remove - remove and free the record of a copy. */
void owner_table_record_remove(owner_t *owner, owner_record_t *record);

/**
 * owner_table_service - find or add a service and update its list of owners.
 *
 * Return: the service, or NULL if there are OWNER_SERVICES_MAX services already
 *         or memory is exhausted.
 */
owner_service_t *owner_table_service(owner_t *owner, const char *service);

/** owner_table_sibling - find another owner of a service by name, or NULL. */
owner_sibling_t *owner_table_sibling(owner_service_t *svc, const char *name);

/** owner_table_member - find a live entry by name, or NULL. */
const owner_member_t *owner_table_member(owner_t *owner, const char *name);

/** owner_table_peer - find a live or recently departed entry, or NULL. */
const owner_member_t *owner_table_peer(owner_t *owner, const char *name);

/**
 * owner_table_until - expiry of the permission to send calls to a copy.
 *
 * Return: a time, or 0 if no call may be sent at @now.
 */
usec_t owner_table_until(const owner_t *owner, const owner_record_t *record,
			 usec_t now);

/**
 * owner_table_report_limit - compute the limit of a copy and report a change.
 *
 * Calls owner_callbacks_t.limit if the limit or its expiry has changed.
 */
void owner_table_report_limit(owner_t *owner, owner_record_t *record,
			      usec_t now);

/**
 * owner_table_count - recompute the copies and slots of a service that this
 * entry owns: svc->copies and svc->slots.
 */
void owner_table_count(owner_t *owner, owner_service_t *svc);

/** owner_table_stopped - whether a copy drains or has a planned stop. */
bool owner_table_stopped(owner_t *owner, const owner_copy_t *copy);

/**
 * owner_placement_choose - choose the entry that should own a copy.
 *
 * Return: the entry, or NULL if the service has no owner.
 */
const owner_member_t *owner_placement_choose(
	owner_t *owner, owner_service_t *svc,
	const owner_announcement_t *announcement, usec_t now);

/**
 * owner_announce_accept - process an announcement of a copy that this entry
 * should own.
 *
 * Return: the record of the copy, or NULL with @err set.
 */
owner_record_t *owner_announce_accept(owner_t *owner,
				      const owner_announcement_t *announcement,
				      usec_t now, hl_error_t *err);

/**
 * owner_announce_on_forward - process an announcement that another entry
 * received and forwarded when it redirected the copy to this entry.
 * @redirect: epoch of the redirect
 *
 * Stores the owner and epoch that the copy echoed to the other entry, because
 * the next announcement of the copy echoes only the redirect.
 */
void owner_announce_on_forward(owner_t *owner,
			       const owner_announcement_t *announcement,
			       uint64_t redirect, usec_t now);

/**
 * owner_net_forward - forward an announcement to the owner of the copy.
 * @redirect: epoch of the redirect in the response to the copy
 */
void owner_net_forward(owner_t *owner, const owner_member_t *to,
		       const owner_announcement_t *announcement,
		       uint64_t redirect);

/** owner_net_release - request the former owner of a copy to release it. */
void owner_net_release(owner_t *owner, const owner_record_t *record);

/**
 * owner_net_load - report the load of this entry to a sibling.
 * @waiting: number of calls that wait for a credit
 *
 * The report has the copies and slots of @svc as well.
 */
void owner_net_load(owner_t *owner, const owner_service_t *svc,
		    const owner_sibling_t *to, unsigned waiting);

/** owner_net_offer - offer credits to a sibling. */
void owner_net_offer(owner_t *owner, const owner_service_t *svc,
		     const owner_sibling_t *to, unsigned credits);

/** owner_net_query_slots - request the number of slots of a sibling. */
void owner_net_query_slots(owner_t *owner, const owner_service_t *svc,
			   const owner_sibling_t *to);

/** owner_lookup_on_slots - store the number of slots that a sibling sent. */
void owner_lookup_on_slots(owner_service_t *svc, owner_sibling_t *from,
			   unsigned slots, usec_t now);

/**
 * owner_net_witness - send a message of the witness lease protocol.
 * @kind: PEER_RENEW, PEER_RENEWED, PEER_END or PEER_ENDED
 */
void owner_net_witness(owner_t *owner, peer_kind_t kind, const char *address,
		       const peer_witness_t *witness);

/**
 * owner_witness_init - initialize the witness leases of this entry.
 *
 * The entry has no term as an owner yet, and as a witness has granted no
 * renewal to others.
 */
void owner_witness_init(owner_t *owner);

/**
 * owner_witness_tick - run the timers of witness leases.
 *
 * Opens a term of this entry if none is in force or its witnesses should be
 * replaced, renews the terms of this entry, and repeats the requests to end
 * terms that owner_witness_end_former() found to be needed at @now.
 */
void owner_witness_tick(owner_t *owner, usec_t now);

/**
 * owner_witness_is_own_term - whether this process opened a term.
 * @witness: the term as text that a copy echoes, see witness_term_print()
 */
bool owner_witness_is_own_term(const owner_t *owner, const char *witness);

/**
 * owner_witness_end_former - have the term of a copy's former owner ended.
 *
 * Does nothing while the former owner is live or OWNER_RELEASE_TIMEOUT has not
 * passed. Records in the lease when enough witnesses have ended the term.
 */
void owner_witness_end_former(owner_t *owner, owner_record_t *record,
			      usec_t now);

/**
 * owner_witness_receive - process a message of the witness lease protocol.
 * @kind: PEER_RENEW, PEER_RENEWED, PEER_END or PEER_ENDED
 */
void owner_witness_receive(owner_t *owner, peer_kind_t kind,
			   const owner_member_t *from,
			   const peer_witness_t *received, usec_t now);

/**
 * owner_witness_response_term - choose the term that the response to an
 * announcement carries.
 * @owner: this entry
 * @record: record of the copy that announced itself
 * @now: current time
 * @out: receives the term as text, "" for none; room for WITNESS_TEXT_MAX bytes
 *
 * The term is that of the former owner until the former owner is fenced, and
 * the term of this entry afterwards.
 */
void owner_witness_response_term(owner_t *owner, owner_record_t *record,
				 usec_t now, char *out);

/**
 * owner_net_receive - process a datagram from another entry.
 *
 * Takes owner->lock, which the caller must not hold.
 */
void owner_net_receive(owner_t *owner, const peer_message_t *message,
		       usec_t now);

/**
 * owner_net_register - register owner_net_receive() as the handler of the
 * datagrams between owners that options.member receives.
 */
void owner_net_register(owner_t *owner);

/**
 * owner_lend_tick - report the queue of this entry to the siblings, or offer
 * them free credits.
 */
void owner_lend_tick(owner_t *owner, owner_service_t *svc, usec_t now);

/** owner_lend_on_load - process a load report (PEER_LOAD) of a sibling. */
void owner_lend_on_load(owner_t *owner, owner_service_t *svc,
			owner_sibling_t *from, const peer_load_t *load,
			usec_t now);

/** owner_lend_on_offer - process an offer of credits from a sibling. */
void owner_lend_on_offer(owner_t *owner, owner_service_t *svc,
			 const owner_sibling_t *from, unsigned credits);

/**
 * owner_tick - renew leases, request releases, report to siblings and remove
 * old records.
 *
 * Takes owner->lock, which the caller must not hold.
 */
void owner_tick(owner_t *owner, usec_t now);

#endif
