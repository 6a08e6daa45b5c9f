#ifndef OWNER_TABLE_H
#define OWNER_TABLE_H

#include <urcu/list.h>
#include "member.h"
#include "owner-lease.h"

/*
 * Internals of the owner module: the records of the copies, the services with
 * their siblings, and the functions that its files share. Unless noted, all
 * functions are called with owner->lock held.
 */

/* Bounds on the memory that announcements and lookups can allocate. */
#define OWNER_RECORDS_MAX 4096
#define OWNER_SERVICES_MAX 1024
/* Defaults of owner_options_t. */
#define OWNER_ANNOUNCE_INTERVAL USEC_PER_SEC
#define OWNER_LEASE_DURATION (3 * USEC_PER_SEC)
/* Announce interval of a copy that has yet to echo our epoch, or to announce
   itself to another owner. */
#define OWNER_ANNOUNCE_INTERVAL_FAST (50 * USEC_PER_MS)
/* Interval between release requests to a former owner. */
#define OWNER_RELEASE_INTERVAL (50 * USEC_PER_MS)
/* Time that a former owner which is not live gets to release a copy, before
   its witnesses are requested to end its term. */
#define OWNER_RELEASE_TIMEOUT (250 * USEC_PER_MS)
/* Longest time that a copy announces itself at the fast interval while the
   term of its former owner is being ended. */
#define OWNER_CLAIM_FAST_MAX (10 * USEC_PER_SEC)
/* Lease durations without an announcement after which a copy is removed. */
#define OWNER_RECORD_TTL_LEASES 10
/* Entries kept after they left or died, as they may still answer a claim. */
#define OWNER_DEPARTED_MAX 32

/** struct owner_record_t - a copy that announced itself to this entry. */
typedef struct {
	struct cds_list_head link;
	owner_copy_t copy;
	owner_lease_t lease;
	/* Epoch with which another entry redirected the copy here, 0 for none,
	   and what the copy echoed to that entry. */
	char echoed_owner[HL_NAME_MAX];
	uint64_t echoed_epoch;
	uint64_t redirect_epoch;
	bool reported;		 /* limit() was called for the copy */
	usec_t announced_at;	 /* last announcement */
	usec_t held_at;		 /* start of the current ownership */
	usec_t next_release;	 /* time of the next release request */
	unsigned reported_limit; /* in the last call of limit() */
	usec_t reported_until;
} owner_record_t;

/** struct owner_sibling_t - another owner of a service. */
typedef struct {
	owner_member_t member;
	unsigned waiting;   /* reported calls that wait, less credits offered */
	unsigned copies;    /* reported copies, and those passed on to it */
	unsigned slots;	    /* reported slots of these */
	usec_t reported_at; /* last report; 0: never */
	usec_t waiting_at;  /* last report of waiting calls */
	usec_t queried_at;  /* last query for its slots */
	usec_t sent_at;	    /* our last report to it; 0: never */
	unsigned sent_waiting;
	unsigned sent_copies;
	unsigned sent_slots;
} owner_sibling_t;

/** struct owner_service_t - a service and its owners. */
typedef struct {
	struct cds_list_head link;
	char name[HL_NAME_MAX];
	uint64_t version; /* members_version from which owners are selected */
	bool is_owner;	  /* this entry is one of the owners */
	unsigned owners[OWNER_MAX]; /* indexes into owner->members */
	unsigned owner_count;
	unsigned sibling_count;
	owner_sibling_t siblings[OWNER_MAX];
	unsigned copies;	 /* that this entry holds or claims */
	unsigned slots;		 /* of these */
	usec_t slots_changed_at; /* last report of a changed number */
	usec_t moved_at;	 /* last move of a copy for balance */
	unsigned reserved;	 /* credits offered to siblings */
	usec_t reserved_until;
} owner_service_t;

/** struct owner - the state of the module, with its metrics counters. */
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
	owner_member_t departed[OWNER_DEPARTED_MAX]; /* ring */
	unsigned departed_next;
	uint64_t members_version;    /* incremented to select owners anew */
	uint64_t membership_version; /* last member_version() */
	bool leaving;
	bool woken;
	usec_t now;	   /* of the last tick */
	usec_t next_query; /* earliest time of the next query for slots */
	uint64_t *lend_bytes;
	uint64_t *lend_datagrams;
	uint64_t *lend_withheld;
	double lend_budget; /* token bucket, in bytes */
	usec_t lend_filled_at;
	uint64_t *lease_bytes;
	witness_holder_t witness_holder;
	witness_grantor_t witness_grantor;
	witness_ends_t witness_ends;
	uint64_t *witness_bytes;
	uint64_t *terms_ended;
	uint64_t *credits_offered;
	uint64_t *copies_taken;
	uint64_t *copies_moved;
	/* Sends datagrams in tests, which have no membership. */
	unsigned (*send)(void *context, const char *address,
			 const peer_body_t *body);
	void *send_context;
};

/** owner_table_record - find a copy by name; NULL if it has no record. */
owner_record_t *owner_table_record(owner_t *owner, const char *service,
				   const char *copy);

/** owner_table_record_add - add a copy without a record; NULL if full. */
owner_record_t *owner_table_record_add(owner_t *owner,
				       const owner_copy_t *copy);

/** owner_table_record_remove - remove and free the record of a copy. */
void owner_table_record_remove(owner_t *owner, owner_record_t *record);

/**
 * owner_table_service - find or add a service, with its current owners.
 *
 * Return: the service, or NULL if there are too many.
 */
owner_service_t *owner_table_service(owner_t *owner, const char *service);

/** owner_table_sibling - find another owner of a service by name, or NULL. */
owner_sibling_t *owner_table_sibling(owner_service_t *svc, const char *name);

/** owner_table_member - find a live entry by name, or NULL. */
const owner_member_t *owner_table_member(owner_t *owner, const char *name);

/** owner_table_peer - find a live or recently departed entry, or NULL. */
const owner_member_t *owner_table_peer(owner_t *owner, const char *name);

/** owner_table_until - until when calls may be sent to a copy; 0: not now. */
usec_t owner_table_until(const owner_t *owner, const owner_record_t *record,
			 usec_t now);

/** owner_table_report_limit - call limit() if the limit of a copy changed. */
void owner_table_report_limit(owner_t *owner, owner_record_t *record,
			      usec_t now);

/** owner_table_count - update the copies and slots that we own of a service. */
void owner_table_count(owner_t *owner, owner_service_t *svc);

/** owner_table_stopped - whether a copy drains or has a planned stop. */
bool owner_table_stopped(owner_t *owner, const owner_copy_t *copy);

/** owner_placement_choose - choose the entry to own a copy; NULL if none. */
const owner_member_t *owner_placement_choose(
	owner_t *owner, owner_service_t *svc,
	const owner_announcement_t *announcement, usec_t now);

/**
 * owner_announce_accept - process an announcement of a copy that we own.
 *
 * Return: its record, or NULL with @err set.
 */
owner_record_t *owner_announce_accept(owner_t *owner,
				      const owner_announcement_t *announcement,
				      usec_t now, hl_error_t *err);

/** owner_announce_on_forward - another entry redirects a copy to this one. */
void owner_announce_on_forward(owner_t *owner,
			       const owner_announcement_t *announcement,
			       uint64_t redirect, usec_t now);

/** owner_net_forward - forward an announcement to the owner of the copy. */
void owner_net_forward(owner_t *owner, const owner_member_t *to,
		       const owner_announcement_t *announcement,
		       uint64_t redirect);

/** owner_net_release - request the former owner of a copy to release it. */
void owner_net_release(owner_t *owner, const owner_record_t *record);

/** owner_net_load - report our queue, copies and slots to a sibling. */
void owner_net_load(owner_t *owner, const owner_service_t *svc,
		    const owner_sibling_t *to, unsigned waiting);

/** owner_net_offer - offer credits to a sibling. */
void owner_net_offer(owner_t *owner, const owner_service_t *svc,
		     const owner_sibling_t *to, unsigned credits);

/** owner_net_query_slots - query the number of slots of an owner. */
void owner_net_query_slots(owner_t *owner, const owner_service_t *svc,
			   const owner_sibling_t *to);

/** owner_lookup_on_slots - process the number of slots that an owner sent. */
void owner_lookup_on_slots(owner_service_t *svc, owner_sibling_t *from,
			   unsigned slots, usec_t now);

/** owner_net_witness - send a datagram about a term. */
void owner_net_witness(owner_t *owner, peer_kind_t kind, const char *address,
		       const peer_witness_t *witness);

/** owner_witness_init - start without a term and without grants. */
void owner_witness_init(owner_t *owner);

/** owner_witness_tick - open and renew our terms, end those of others. */
void owner_witness_tick(owner_t *owner, usec_t now);

/** owner_witness_is_own_term - whether @witness is a term of this process. */
bool owner_witness_is_own_term(const owner_t *owner, const char *witness);

/** owner_witness_end_former - end the term of a copy's former owner. */
void owner_witness_end_former(owner_t *owner, owner_record_t *record,
			      usec_t now);

/** owner_witness_receive - process a datagram about a term. */
void owner_witness_receive(owner_t *owner, peer_kind_t kind,
			   const owner_member_t *from,
			   const peer_witness_t *received, usec_t now);

/**
 * owner_witness_response_term - choose the term in the response to a copy.
 * @owner: this entry
 * @record: of the copy
 * @now: current time
 * @out: receives the term as text, room for WITNESS_TEXT_MAX bytes
 *
 * It is our own term, or that of the former owner until that one is fenced.
 */
void owner_witness_response_term(owner_t *owner, owner_record_t *record,
				 usec_t now, char *out);

/** owner_net_receive - process a datagram; the lock is not held. */
void owner_net_receive(owner_t *owner, const peer_message_t *message,
		       usec_t now);

/** owner_net_register - register for datagrams at the membership. */
void owner_net_register(owner_t *owner);

/** owner_lend_tick - report our queue to siblings or offer free credits. */
void owner_lend_tick(owner_t *owner, owner_service_t *svc, usec_t now);

/** owner_lend_on_load - process the queue, copies and slots of a sibling. */
void owner_lend_on_load(owner_t *owner, owner_service_t *svc,
			owner_sibling_t *from, const peer_load_t *load,
			usec_t now);

/** owner_lend_on_offer - process an offer of credits from a sibling. */
void owner_lend_on_offer(owner_t *owner, owner_service_t *svc,
			 const owner_sibling_t *from, unsigned credits);

/** owner_tick - periodic work of the module; the lock is not held. */
void owner_tick(owner_t *owner, usec_t now);

#endif
