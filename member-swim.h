#ifndef MEMBER_SWIM_H
#define MEMBER_SWIM_H

#include "member.h"

/*
 * The SWIM membership protocol as a state machine, which owns the table of
 * members. It opens no socket, reads no clock and takes no lock: the caller
 * passes the time and the received datagrams, and provides a callback that
 * sends datagrams. The members are the entries (proxy processes) of a group.
 * Each entry probes one member per period, so the cost of its probes does not
 * depend on the number of members.
 */

/*
 * Number of members that are requested to probe a member that has not responded
 * to a direct probe.
 */
#define MEMBER_SWIM_INDIRECT_PROBES 3
/*
 * Number of members to which an entry sends its refutation or leave immediately
 * instead of with its next probes.
 */
#define MEMBER_SWIM_PUSH_FANOUT 6
/* Maximum number of requests for the same page of the table of members. */
#define MEMBER_SWIM_PULL_ATTEMPTS 4
/*
 * Delay per member of the group until the next sync, if a sync found that the
 * tables of two members differ.
 */
#define MEMBER_SWIM_RESYNC_DELAY_PER_MEMBER (20 * USEC_PER_MS)
/* Maximum number of indirect probes for other members that are in flight. */
#define MEMBER_SWIM_RELAYS_MAX 32
/*
 * Each entry gossips a state change MEMBER_SWIM_GOSSIP_FACTOR * log2(number of
 * members) times.
 */
#define MEMBER_SWIM_GOSSIP_FACTOR 3
/*
 * Interval between probes of dead members. After the end of a partition, these
 * probes reunite its sides, each of which has declared the other one dead.
 */
#define MEMBER_SWIM_DEAD_PROBE_PERIOD USEC_PER_SEC
/*
 * A member that has been dead for longer than MEMBER_SWIM_DEAD_PROBE_AGE is
 * probed less often: when it is selected, with a probability of
 * 1 / MEMBER_SWIM_DEAD_PROBE_DIVISOR.
 */
#define MEMBER_SWIM_DEAD_PROBE_AGE (24 * 3600 * USEC_PER_SEC)
#define MEMBER_SWIM_DEAD_PROBE_DIVISOR 10

/** struct member_node_t - one member, this entry included. */
typedef struct {
	member_info_t info;
	uint64_t incarnation; /* raised only by the member itself */
	peer_state_t state;
	usec_t changed_at; /* time of the last change of state */
	/* Time at which a member in state PEER_SUSPECT is declared dead. */
	usec_t suspect_until;
	bool suspected_locally; /* a probe by this entry has failed */
	/* Number of times that the state is still to be gossiped. */
	unsigned gossip_remaining;
} member_node_t;

/** struct member_relay_t - an indirect probe on behalf of another member. */
typedef struct {
	uint32_t sequence; /* sequence number of the PING sent; 0: unused */
	uint32_t requester_sequence;	/* sequence number in the request */
	char requester[HL_ADDRESS_MAX]; /* peer address of the requester */
	usec_t expires;
} member_relay_t;

/** struct member_probe_t - the probe in flight from this entry. */
typedef struct {
	member_node_t *node; /* probed member; NULL: no probe in flight */
	uint32_t sequence;
	usec_t started;
	bool indirect; /* indirect probes were requested */
} member_probe_t;

/**
 * struct member_pull_t - a request for a page of a member's table.
 *
 * A sync copies the table of another member in pages: datagrams that each list
 * some members in the order of their names.
 */
typedef struct {
	char address[HL_ADDRESS_MAX]; /* peer address of that member */
	/* The page lists the members whose names sort after this one. */
	char after[HL_NAME_MAX];
	unsigned tries_left; /* 0: no request for a page is unanswered */
	usec_t requested_at; /* time of the last request for the page */
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
	/* Returns the configuration revision to send; NULL: 0 is sent. */
	uint64_t (*revision)(void *context);
	void *context;
} member_swim_options_t;

/** struct member_counts_t - counters for metrics and tests. */
typedef struct {
	/* Number of members suspected after a failed probe by this entry. */
	uint64_t suspected;
	/* Number of times this entry refuted a report that it is not alive. */
	uint64_t refuted;
	/* Number of suspicions that timed out at this entry. */
	uint64_t declared_dead;
} member_counts_t;

/** struct member_swim_t - the protocol state of one entry. */
typedef struct {
	member_swim_options_t options;
	member_node_t *self; /* this entry; also in nodes */
	member_node_t *nodes[MEMBER_MAX];
	unsigned count;	     /* number of nodes */
	unsigned next_index; /* index in nodes of the next member to probe */
	member_probe_t probe;
	member_pull_t pull;
	member_relay_t relays[MEMBER_SWIM_RELAYS_MAX];
	uint32_t sequence; /* sequence number of the last probe */
	uint64_t rng_state;
	bool push_pending; /* a refutation must be sent immediately */
	uint64_t version;  /* grows when live members or addresses change */
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
 * @options: options; copied
 * @self: name and addresses of this entry; copied
 * @incarnation: first incarnation, if possible higher than all incarnations of
 *               earlier processes of this entry
 * @seed: seed of the random generator
 * @now: current time
 *
 * Return: 0, or -1 if out of memory.
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
 * The next tick is due at the latest a quarter of a probe period after the last
 * one: a gap of a probe period counts as a freeze of this entry.
 */
usec_t member_due(const member_swim_t *swim);

/**
 * member_swim_receive - process a datagram.
 * @swim: the membership
 * @message: decoded datagram
 * @source: source address of the datagram; responses are sent to it if the
 *          sender is not a member yet
 * @now: current time
 *
 * Return: 0, or -1 if the datagram is from another group or this entry itself.
 */
int member_swim_receive(member_swim_t *swim, const peer_message_t *message,
			const char *source, usec_t now);

/** member_swim_leave - announce to the group that this entry leaves. */
void member_swim_leave(member_swim_t *swim, usec_t now);

/** member_swim_find - return a live or dead member by its name, or NULL. */
member_node_t *member_swim_find(member_swim_t *swim, const char *name);

/** member_swim_live - true if the member is alive or suspected. */
bool member_swim_live(const member_node_t *node);

/* Functions on the table of members, defined in member-table.c. */

/**
 * member_table_apply - merge the state that a peer reported of a member.
 * @swim: the membership
 * @reported: the reported state
 * @from_page: the state is from a requested page; if this entry did not have
 *             the member, it does not gossip the state, because the group
 *             already has it
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
 * @first: a member whose state is always included, or NULL
 * @out: array of PEER_GOSSIP_MAX members to fill in
 *
 * Return: number of members written.
 */
unsigned member_table_gossip(member_swim_t *swim, const member_node_t *first,
			     peer_member_t *out);

/**
 * member_table_page - list members in order of their names.
 * @swim: the membership
 * @after: the members whose names sort after this one are listed
 * @out: array of @max members
 * @max: largest number of members
 * @next: set to the name that the next page begins after; "" after the last
 *
 * Return: number of members written.
 */
unsigned member_table_page(member_swim_t *swim, const char *after,
			   peer_member_t *out, unsigned max, const char **next);

/** member_table_digest - hash of the live members' names and incarnations. */
uint64_t member_table_digest(const member_swim_t *swim);

/**
 * member_table_add - add a member, initially dead, at a random index.
 *
 * If the table is full, the member that has been dead for the longest time is
 * removed.
 *
 * Return: the member, or NULL if out of memory or if the table is full and all
 * members in it are live.
 */
member_node_t *member_table_add(member_swim_t *swim, const char *name,
				usec_t now);

/** member_table_random - return the next number of the random generator. */
uint64_t member_table_random(member_swim_t *swim);

#endif
