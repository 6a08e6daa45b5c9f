#ifndef MEMBER_SWIM_H
#define MEMBER_SWIM_H

#include "member.h"

/*
 * The SWIM protocol as a state machine without socket, clock or lock: it takes
 * the time and received datagrams as arguments, and sends through a callback.
 * Each entry probes one member per period, so its cost does not grow with the
 * size of the group. It owns the table of members.
 */

/* Members that are requested to probe one that did not respond directly. */
#define MEMBER_SWIM_INDIRECT_PROBES 3
/* Members that a refutation or a leave is sent to at once. */
#define MEMBER_SWIM_PUSH_FANOUT 6
/* Number of requests for one page of members. */
#define MEMBER_SWIM_PULL_ATTEMPTS 4
/* Delay of the next sync after a difference was found, per member. */
#define MEMBER_SWIM_RESYNC_DELAY_PER_MEMBER (20 * USEC_PER_MS)
/* Indirect probes for other members that can be in flight. */
#define MEMBER_SWIM_RELAYS_MAX 32
/* A state change is gossiped this factor times log2 of the group size. */
#define MEMBER_SWIM_GOSSIP_FACTOR 3
/* Interval between probes of dead members, by which a partition heals. */
#define MEMBER_SWIM_DEAD_PROBE_PERIOD USEC_PER_SEC
/*
 * A member dead for longer than this age, when it is selected, is probed with a
 * probability of only one in MEMBER_SWIM_DEAD_PROBE_DIVISOR.
 */
#define MEMBER_SWIM_DEAD_PROBE_AGE (24 * 3600 * USEC_PER_SEC)
#define MEMBER_SWIM_DEAD_PROBE_DIVISOR 10

/** struct member_node_t - one member, this entry included. */
typedef struct {
	member_info_t info;
	uint64_t incarnation; /* raised only by the member itself */
	peer_state_t state;
	usec_t changed_at;	   /* time of the last change of state */
	usec_t suspect_until;	   /* declared dead then; if PEER_SUSPECT */
	bool suspected_locally;	   /* suspected because of a probe from here */
	unsigned gossip_remaining; /* transmissions left of its state */
} member_node_t;

/** struct member_relay_t - an indirect probe for another member. */
typedef struct {
	uint32_t sequence;	     /* of the PING sent from here; 0: unused */
	uint32_t requester_sequence; /* of the probe of the requester */
	char requester[HL_ADDRESS_MAX]; /* its peer address */
	usec_t expires;
} member_relay_t;

/** struct member_probe_t - the probe in flight from this entry. */
typedef struct {
	member_node_t *node; /* NULL: none */
	uint32_t sequence;
	usec_t started;
	bool indirect; /* indirect probes were requested */
} member_probe_t;

/** struct member_pull_t - the page of members requested from another one. */
typedef struct {
	char address[HL_ADDRESS_MAX]; /* peer address of the other member */
	char after[HL_NAME_MAX];      /* the page begins after this name */
	unsigned tries_left;	      /* 0: no request is in flight */
	usec_t requested_at;	      /* time of the last request */
} member_pull_t;

/** struct member_swim_options_t - options; durations in microseconds. */
typedef struct {
	usec_t probe_period;
	usec_t probe_timeout;
	usec_t suspicion;
	usec_t sync_period;
	char group[HL_NAME_MAX];
	setting_list_t seeds;
	/* Sends a datagram; @message is valid during the call only. */
	void (*send)(void *context, const char *address,
		     const peer_message_t *message);
	uint64_t (*revision)(void *context); /* may be NULL */
	void *context;
} member_swim_options_t;

/** struct member_counts_t - counters for metrics and tests. */
typedef struct {
	uint64_t suspected;	/* suspicions begun by a probe from here */
	uint64_t refuted;	/* refuted suspicions of this entry */
	uint64_t declared_dead; /* members declared dead by a timeout here */
} member_counts_t;

/** struct member_swim_t - the protocol state of one entry. */
typedef struct {
	member_swim_options_t options;
	member_node_t *self; /* also in nodes */
	member_node_t *nodes[MEMBER_MAX];
	unsigned count;
	unsigned next_index; /* of the next node to probe */
	member_probe_t probe;
	member_pull_t pull;
	member_relay_t relays[MEMBER_SWIM_RELAYS_MAX];
	uint32_t sequence; /* of the last probe */
	uint64_t rng_state;
	bool push_pending; /* a refutation is to be sent at once */
	uint64_t version;  /* raised when the set of live members changes */
	usec_t last_tick;
	usec_t next_probe;
	usec_t next_dead_probe;
	usec_t next_sync;
	usec_t next_join;
	member_counts_t counts;
} member_swim_t;

/**
 * member_swim_init - initialise a group that has this entry as its only member.
 * @swim: state to initialise
 * @options: copied
 * @self: this entry; copied
 * @incarnation: above those of earlier processes of this entry, if possible
 * @seed: of the random generator
 * @now: current time
 *
 * Return: 0, or -1 without memory.
 */
int member_swim_init(member_swim_t *swim, const member_swim_options_t *options,
		     const owner_member_t *self, uint64_t incarnation,
		     uint64_t seed, usec_t now);

/** member_swim_fini - free the table of members. */
void member_swim_fini(member_swim_t *swim);

/**
 * member_swim_tick - run the timers: probes, suspicions, syncs and joins.
 * @swim: the membership
 * @now: current time, at or after member_due()
 */
void member_swim_tick(member_swim_t *swim, usec_t now);

/**
 * member_due - return when member_swim_tick() is due next.
 *
 * It is due at the latest a quarter of a probe period after the last tick,
 * because a longer gap would be mistaken for a freeze of this entry.
 */
usec_t member_due(const member_swim_t *swim);

/**
 * member_swim_receive - process a datagram.
 * @swim: the membership
 * @message: decoded datagram
 * @source: its source address, used if the sender is not a member yet
 * @now: current time
 *
 * Return: 0, or -1 if it is from another group or from this entry itself.
 */
int member_swim_receive(member_swim_t *swim, const peer_message_t *message,
			const char *source, usec_t now);

/** member_swim_leave - announce to the group that this entry leaves. */
void member_swim_leave(member_swim_t *swim, usec_t now);

/** member_swim_find - find a member by name, dead ones included, or NULL. */
member_node_t *member_swim_find(member_swim_t *swim, const char *name);

/** member_swim_live - true if the member is alive or suspected. */
bool member_swim_live(const member_node_t *node);

/* The table of members, member-table.c. */

/**
 * member_table_apply - merge the state that a peer reported of a member.
 * @swim: the membership
 * @reported: the reported state
 * @from_page: it is from a requested page, so a member that is new here is
 *             not new to the group and is not gossiped
 * @now: current time
 */
void member_table_apply(member_swim_t *swim, const peer_member_t *reported,
			bool from_page, usec_t now);

/** member_table_set - set the state of @node and schedule its gossip. */
void member_table_set(member_swim_t *swim, member_node_t *node,
		      peer_state_t state, uint64_t incarnation, usec_t now);

/**
 * member_table_gossip - select the state changes that were sent least often.
 * @swim: the membership
 * @first: a member to include in any case, or NULL
 * @out: array of PEER_GOSSIP_MAX members
 *
 * Return: number of members written.
 */
unsigned member_table_gossip(member_swim_t *swim, const member_node_t *first,
			     peer_member_t *out);

/**
 * member_table_page - list members in order of their names.
 * @swim: the membership
 * @after: the list begins after this name
 * @out: array of @max members
 * @max: largest number of members
 * @next: set to the name that the next page begins after; "" after the last
 *
 * Return: number of members written.
 */
unsigned member_table_page(member_swim_t *swim, const char *after,
			   peer_member_t *out, unsigned max, const char **next);

/** member_table_digest - hash of the names and incarnations of live members. */
uint64_t member_table_digest(const member_swim_t *swim);

/**
 * member_table_add - add a member, initially dead, at a random index.
 *
 * Return: the member, or NULL if the table is full of live ones or without
 * memory.
 */
member_node_t *member_table_add(member_swim_t *swim, const char *name,
				usec_t now);

/** member_table_random - return the next number of the random generator. */
uint64_t member_table_random(member_swim_t *swim);

#endif
