#ifndef OWNER_TABLE_H
#define OWNER_TABLE_H

#include <urcu/list.h>
#include "member.h"
#include "owner-lease.h"

/* Bounds on what announcements and look-ups can make us remember. */
#define OWNER_RECORDS_MAX 4096
#define OWNER_SERVICES_MAX 1024
/* Presets of owner_options_t. */
#define OWNER_INTERVAL USEC_PER_SEC
#define OWNER_LEASE (3 * USEC_PER_SEC)
/* Interval told while a copy has yet to echo our epoch or to move on. */
#define OWNER_INTERVAL_FAST (50 * USEC_PER_MS)
/* How often a former owner is asked for release. */
#define OWNER_RELEASE_PERIOD (50 * USEC_PER_MS)
/* A former owner that is gone gets this long to release by itself. */
#define OWNER_RELEASE_PATIENCE (250 * USEC_PER_MS)
/* A copy whose former owner's term is to end is kept near for this long. */
#define OWNER_SETTLE (10 * USEC_PER_SEC)
/* A copy that announces nothing for this many leases is forgotten. */
#define OWNER_FORGET_LEASES 10
/* Entries that left or died and may still answer a claim. */
#define OWNER_GONE_MAX 32

/** struct owner_record_t - a copy that announced itself to us. */
typedef struct {
	struct cds_list_head link;
	owner_copy_t copy;
	owner_lease_t lease;
	/* What the copy echoed when another entry sent it here. */
	char redirect_owner[HL_NAME_MAX];
	uint64_t redirect_epoch;
	uint64_t redirect; /* 0: none */
	bool shown;	   /* the entry knows of it */
	usec_t announced;
	usec_t held_since;
	usec_t next_release;
	unsigned granted; /* as the entry was last told */
	usec_t granted_until;
} owner_record_t;

/** struct owner_sibling_t - another owner of a service. */
typedef struct {
	owner_member_t member;
	unsigned waiting;
	unsigned copies;
	unsigned slots;
	usec_t heard;  /* when it last told these; 0: never */
	usec_t waited; /* when it last told of waiting calls */
	usec_t asked;  /* when its slots were last asked for */
	usec_t told;   /* when we last told ours */
	unsigned told_waiting;
	unsigned told_copies;
	unsigned told_slots;
} owner_sibling_t;

/** struct owner_service_t - a service and its owners. */
typedef struct {
	struct cds_list_head link;
	char name[HL_NAME_MAX];
	uint64_t version; /* of the members that the owners are from */
	bool own;	  /* this entry is one of the owners */
	unsigned owners[OWNER_MAX]; /* indexes into members */
	unsigned owner_count;
	unsigned count; /* of siblings */
	owner_sibling_t siblings[OWNER_MAX];
	unsigned copies;      /* that we hold or take */
	unsigned slots;	      /* of these */
	usec_t slots_changed; /* when an owner last told of another number */
	usec_t moved;	      /* when a copy was last passed on for balance */
	unsigned reserved;    /* credits offered to siblings */
	usec_t reserved_until;
} owner_service_t;

struct owner {
	owner_options_t options;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	struct cds_list_head records;
	unsigned record_count;
	struct cds_list_head services;
	unsigned service_count;
	owner_member_t *members; /* MEMBER_MAX */
	unsigned member_count;
	owner_member_t gone[OWNER_GONE_MAX];
	unsigned gone_next;
	uint64_t version;	 /* of members */
	uint64_t member_version; /* as the membership counts it */
	bool leaving;
	bool kicked;
	usec_t now;	 /* of the last tick */
	usec_t ask_from; /* slots may be asked for again from then on */
	uint64_t *lend_bytes;
	uint64_t *lend_datagrams;
	uint64_t *lend_withheld;
	double lend_budget; /* bytes */
	usec_t lend_filled;
	uint64_t *lease_bytes;
	witness_own_t witness;
	witness_keep_t witness_keep;
	witness_asks_t witness_asks;
	uint64_t *witness_bytes;
	uint64_t *witness_ended;
	uint64_t *offered;
	uint64_t *taken;
	uint64_t *moved;
	/* For tests without a membership. */
	unsigned (*send)(void *context, const char *address,
			 const peer_body_t *body);
	void *send_context;
};

/** owner_table_record - a copy by name, or NULL. */
owner_record_t *owner_table_record(owner_t *owner, const char *service,
				   const char *copy);

/** owner_table_record_add - a copy not held; NULL if there are too many. */
owner_record_t *owner_table_record_add(owner_t *owner,
				       const owner_copy_t *copy);

/** owner_table_record_drop - forget a copy. */
void owner_table_record_drop(owner_t *owner, owner_record_t *record);

/** owner_table_service - a service with its owners as of now; NULL if full. */
owner_service_t *owner_table_service(owner_t *owner, const char *service);

/** owner_table_sibling - another owner of a service by name, or NULL. */
owner_sibling_t *owner_table_sibling(owner_service_t *svc, const char *name);

/** owner_table_member - a live entry by name, or NULL. */
const owner_member_t *owner_table_member(owner_t *owner, const char *name);

/** owner_table_peer - as owner_table_member(), or one that went lately. */
const owner_member_t *owner_table_peer(owner_t *owner, const char *name);

/** owner_table_until - new work may be sent to a copy until then. */
usec_t owner_table_until(const owner_t *owner, const owner_record_t *record,
			 usec_t now);

/** owner_table_grant - tell the entry what it may send now, if that changed. */
void owner_table_grant(owner_t *owner, owner_record_t *record, usec_t now);

/** owner_table_count - count the copies and slots we hold of a service. */
void owner_table_count(owner_t *owner, owner_service_t *svc);

/** owner_table_stopped - the copy drains, by its word or an operator's. */
bool owner_table_stopped(owner_t *owner, const owner_copy_t *copy);

/** owner_table_place - the entry that should own a copy, NULL if none. */
const owner_member_t *owner_table_place(
	owner_t *owner, owner_service_t *svc,
	const owner_announcement_t *announcement, usec_t now);

/**
 * owner_accept - take a copy that announced here in as ours.
 *
 * Return: its record, or NULL with @err set.
 */
owner_record_t *owner_accept(owner_t *owner,
			     const owner_announcement_t *announcement,
			     usec_t now, hl_error_t *err);

/** owner_expect - another entry sends a copy here. */
void owner_expect(owner_t *owner, const owner_announcement_t *announcement,
		  uint64_t redirect, usec_t now);

/** owner_net_forward - pass an announcement on to its owner. */
void owner_net_forward(owner_t *owner, const owner_member_t *to,
		       const owner_announcement_t *announcement,
		       uint64_t redirect);

/** owner_net_release - ask the former owner of a copy to let go. */
void owner_net_release(owner_t *owner, const owner_record_t *record);

/** owner_net_load - tell a sibling our queue, copies and slots. */
void owner_net_load(owner_t *owner, const owner_service_t *svc,
		    const owner_sibling_t *to, unsigned waiting);

/** owner_net_offer - tell a sibling that we would run its calls. */
void owner_net_offer(owner_t *owner, const owner_service_t *svc,
		     const owner_sibling_t *to, unsigned credits);

/** owner_net_ask - ask an owner for its slots. */
void owner_net_ask(owner_t *owner, const owner_service_t *svc,
		   const owner_sibling_t *to);

/** owner_lookup_told - an owner answered how many slots it has. */
void owner_lookup_told(owner_service_t *svc, owner_sibling_t *from,
		       unsigned slots, usec_t now);

/** owner_net_witness - send a datagram about a term. */
void owner_net_witness(owner_t *owner, peer_kind_t kind, const char *address,
		       const peer_witness_t *witness);

/** owner_witness_init - no term, nothing witnessed. */
void owner_witness_init(owner_t *owner);

/** owner_witness_tick - open and renew terms, ask for the end of others. */
void owner_witness_tick(owner_t *owner, usec_t now);

/** owner_witness_ours - a copy echoes a term of this process. */
bool owner_witness_ours(const owner_t *owner, const char *witness);

/** owner_witness_former - have the term of a copy's former owner ended. */
void owner_witness_former(owner_t *owner, owner_record_t *record, usec_t now);

/** owner_witness_receive - a datagram about a term. */
void owner_witness_receive(owner_t *owner, peer_kind_t kind,
			   const owner_member_t *from,
			   const peer_witness_t *said, usec_t now);

/** owner_witness_answer - the term that an answer to a copy carries. */
void owner_witness_answer(owner_t *owner, owner_record_t *record, usec_t now,
			  char *out);

/** owner_net_receive - take in a datagram of an owner or entry. */
void owner_net_receive(owner_t *owner, const peer_message_t *message,
		       usec_t now);

/** owner_net_listen - register for the datagrams at the membership. */
void owner_net_listen(owner_t *owner);

/** owner_lend_tick - tell siblings of queues, offer them free credits. */
void owner_lend_tick(owner_t *owner, owner_service_t *svc, usec_t now);

/** owner_lend_heard - a sibling told its queue. */
void owner_lend_heard(owner_t *owner, owner_service_t *svc,
		      owner_sibling_t *from, const peer_load_t *load,
		      usec_t now);

/** owner_lend_offered - a sibling offers credits. */
void owner_lend_offered(owner_t *owner, owner_service_t *svc,
			const owner_sibling_t *from, unsigned credits);

/** owner_tick - leases, releases, siblings; the lock is not held. */
void owner_tick(owner_t *owner, usec_t now);

#endif
