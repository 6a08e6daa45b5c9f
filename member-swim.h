#ifndef MEMBER_SWIM_H
#define MEMBER_SWIM_H

#include "member.h"

/*
 * SWIM without socket, clock or lock: a struct, the present time, and the
 * datagrams it wants to be sent through a callback. Each entry probes one
 * member a period, so its cost does not grow with the group.
 */

/* Members asked to probe one that did not answer us. */
#define MEMBER_SWIM_INDIRECT 3
/* Members told at once of a refutation or a leave. */
#define MEMBER_SWIM_PUSH 6
/* A page that does not come is asked for this often. */
#define MEMBER_SWIM_PULL_TRIES 4
/* After a difference the next comparison waits this long for each member. */
#define MEMBER_SWIM_RESYNC (20 * USEC_PER_MS)
/* Probes for others that we may have under way at once. */
#define MEMBER_SWIM_RELAYS 32
/* A change is passed on this many times log2 of the group's size. */
#define MEMBER_SWIM_GOSSIP_FACTOR 3
/* How often a dead member is probed, so that a healed partition rejoins. */
#define MEMBER_SWIM_REVIVE_PERIOD USEC_PER_SEC
/* Who has been dead for longer is probed one time in MEMBER_SWIM_REVIVE_RARE. */
#define MEMBER_SWIM_REVIVE_OFTEN (24 * 3600 * USEC_PER_SEC)
#define MEMBER_SWIM_REVIVE_RARE 10

/** struct member_node_t - one member, this entry included. */
typedef struct {
	member_info_t info;
	uint64_t incarnation; /* raised by the member alone */
	peer_state_t state;
	usec_t changed;
	usec_t suspect_until; /* while PEER_SUSPECT */
	bool by_us;	      /* our own probe made it PEER_SUSPECT */
	unsigned gossip_left; /* times its state is still to be passed on */
} member_node_t;

/** struct member_relay_t - a probe that we do for another member. */
typedef struct {
	uint32_t sequence;	 /* ours; 0: not in use */
	uint32_t asker_sequence; /* theirs */
	char asker[HL_ADDRESS_MAX];
	usec_t until;
} member_relay_t;

/** struct member_probe_t - our probe that is under way. */
typedef struct {
	member_node_t *node; /* NULL: none */
	uint32_t sequence;
	usec_t started;
	bool indirect; /* others were asked to probe it */
} member_probe_t;

/** struct member_pull_t - pages of members that we ask another one for. */
typedef struct {
	char address[HL_ADDRESS_MAX];
	char after[HL_NAME_MAX];
	unsigned tries; /* that are left; 0: none is under way */
	usec_t asked;
} member_pull_t;

/** struct member_swim_options_t - times are spans in microseconds. */
typedef struct {
	usec_t probe_period;
	usec_t probe_timeout;
	usec_t suspicion;
	usec_t sync_period;
	char group[HL_NAME_MAX];
	setting_list_t seeds;
	/* Send a datagram; @message is good during the call only. */
	void (*send)(void *context, const char *address,
		     const peer_message_t *message);
	uint64_t (*revision)(void *context); /* may be NULL */
	void *context;
} member_swim_options_t;

/** struct member_counts_t - what tests and metrics read. */
typedef struct {
	uint64_t suspected; /* members we began to suspect by a probe */
	uint64_t refuted;   /* suspicions of us that we refuted */
	uint64_t declared;  /* members we declared dead by a time-out */
} member_counts_t;

typedef struct {
	member_swim_options_t options;
	member_node_t *self; /* also in nodes */
	member_node_t *nodes[MEMBER_MAX];
	unsigned count;
	unsigned next; /* the next node to probe */
	member_probe_t probe;
	member_pull_t pull;
	member_relay_t relays[MEMBER_SWIM_RELAYS];
	uint32_t sequence;
	uint64_t random;
	bool refuted;	  /* to be told at once */
	uint64_t version; /* grows when the set of live members changes */
	usec_t last_tick;
	usec_t next_probe;
	usec_t next_revive;
	usec_t next_sync;
	usec_t next_join;
	member_counts_t counts;
} member_swim_t;

/**
 * member_swim_init - a group of one.
 * @swim: to be initialised
 * @options: copied
 * @self: this entry
 * @incarnation: above any that this entry had before, if that can be known
 * @seed: of its random choices
 * @now: the present time
 *
 * Return: 0, or -1 without memory.
 */
int member_swim_init(member_swim_t *swim, const member_swim_options_t *options,
		     const owner_member_t *self, uint64_t incarnation,
		     uint64_t seed, usec_t now);

/** member_swim_fini - free the members. */
void member_swim_fini(member_swim_t *swim);

/** member_swim_tick - probe, suspect, declare dead, join; call at member_due(). */
void member_swim_tick(member_swim_t *swim, usec_t now);

/**
 * member_due - when member_swim_tick() has something to do next.
 *
 * It is never later than a quarter of a probe period after the last tick, for
 * a longer gap would be taken for a freeze of this entry.
 */
usec_t member_due(const member_swim_t *swim);

/**
 * member_swim_receive - take in a datagram.
 * @swim: the membership
 * @message: decoded
 * @source: the address that it came from, for senders not yet known
 * @now: the present time
 *
 * Return: 0, or -1 if it is of another group or from ourselves.
 */
int member_swim_receive(member_swim_t *swim, const peer_message_t *message,
			const char *source, usec_t now);

/** member_swim_leave - tell the group that this entry leaves. */
void member_swim_leave(member_swim_t *swim, usec_t now);

/** member_swim_find - a member by name, dead ones too, or NULL. */
member_node_t *member_swim_find(member_swim_t *swim, const char *name);

/** member_swim_live - alive or merely suspected. */
bool member_swim_live(const member_node_t *node);

/*
 * The table of members, member-table.c.
 */

/**
 * member_table_apply - merge what a peer says of a member.
 * @page: it stood in a page that we asked for, so the group knows it
 */
void member_table_apply(member_swim_t *swim, const peer_member_t *said,
			bool page, usec_t now);

/** member_table_set - give @node a state and pass it on. */
void member_table_set(member_swim_t *swim, member_node_t *node,
		      peer_state_t state, uint64_t incarnation, usec_t now);

/** member_table_gossip - fill @out with the changes least passed on. */
unsigned member_table_gossip(member_swim_t *swim, const member_node_t *first,
			     peer_member_t *out);

/** member_table_page - the members after a name, in their order. */
unsigned member_table_page(member_swim_t *swim, const char *after,
			   peer_member_t *out, unsigned max, const char **next);

/** member_table_digest - equal if two entries see the same live members. */
uint64_t member_table_digest(const member_swim_t *swim);

/** member_table_add - a new member at a random place; NULL if full. */
member_node_t *member_table_add(member_swim_t *swim, const char *name,
				usec_t now);

/** member_table_random - the generator of all random choices. */
uint64_t member_table_random(member_swim_t *swim);

#endif
