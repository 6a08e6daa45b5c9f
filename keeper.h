#ifndef KEEPER_H
#define KEEPER_H

#include <rpc/rpc.h>
#include <urcu/list.h>
#include "hemlock.h"
#include "keeper_rpc.h"
#include "metrics.h"

/*
 * A keeper holds one replica of the log of configuration changes. The parts,
 * from the inside out:
 *
 * keeper_raft_*	who leads, what is committed; pure, the time an argument
 * keeper_entries_*	the entries of the log in memory
 * keeper_group_*	the voters and those about to become one
 * keeper_store_*	log and snapshot under the data folder
 * keeper_core_*	the thread that owns raft and store
 * keeper_link_*	one thread for each peer, sending messages
 * keeper_rpc_*		the thread that answers
 */

/* Voters and learners that one leader sends to. */
#define KEEPER_PEERS_MAX (2 * KEEPER_VOTERS_MAX)
/* Bytes of entries in one append message, one entry at least. */
#define KEEPER_APPEND_BYTES 57344

/** struct keeper_node_t - a member of the group, under one disk. */
typedef struct {
	char name[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
	uint64_t incarnation; /* of its disk; 0 while none has joined */
	bool voter;
} keeper_node_t;

/** struct keeper_group_t - the members as one entry of the log has them. */
typedef struct {
	unsigned count;
	keeper_node_t nodes[KEEPER_VOTERS_MAX];
} keeper_group_t;

/** keeper_group_find - the member called @name, or NULL. */
keeper_node_t *keeper_group_find(const keeper_group_t *group, const char *name);

/** keeper_group_votes - true if this name votes under this disk. */
bool keeper_group_votes(const keeper_group_t *group, const char *name,
			uint64_t incarnation);

/** keeper_group_to_wire - @wire's strings point into @group. */
void keeper_group_to_wire(const keeper_group_t *group,
			  keeper_node_wire_t *nodes, keeper_group_wire_t *wire);

/** keeper_group_from_wire - false if a name or an address is not valid. */
bool keeper_group_from_wire(const keeper_group_wire_t *wire,
			    keeper_group_t *group);

/** keeper_group_encode - as the body of an entry; false out of memory. */
bool keeper_group_encode(const keeper_group_t *group, char **body,
			 size_t *size);

/** keeper_group_decode - from the body of an entry; false if malformed. */
bool keeper_group_decode(const char *body, size_t size, keeper_group_t *group);

/**
 * keeper_xdr_encode - a value as malloc'ed XDR bytes.
 *
 * Return: false if it does not fit its own bounds, or out of memory.
 */
bool keeper_xdr_encode(xdrproc_t proc, void *value, char **bytes, size_t *size);

/** keeper_xdr_decode - into a zeroed @value; false if malformed. */
bool keeper_xdr_decode(xdrproc_t proc, const char *bytes, size_t size,
		       void *value);

/** keeper_xdr_copy - a deep copy into a zeroed @to. */
bool keeper_xdr_copy(xdrproc_t proc, const void *from, void *to);

/** struct keeper_entries_t - entries base + 1 to base + count of the log. */
typedef struct {
	uint64_t base;	    /* index that the snapshot ends with */
	uint64_t base_term; /* its term */
	size_t count, room;
	keeper_entry_t *list;
	size_t bytes; /* of all bodies */
} keeper_entries_t;

/** keeper_entries_last - the index of the newest entry. */
uint64_t keeper_entries_last(const keeper_entries_t *entries);

/** keeper_entries_at - the entry at @index, or NULL outside of the list. */
const keeper_entry_t *keeper_entries_at(const keeper_entries_t *entries,
					uint64_t index);

/** keeper_entries_term - the term at @index; false if it is not known. */
bool keeper_entries_term(const keeper_entries_t *entries, uint64_t index,
			 uint64_t *term);

/** keeper_entries_push - append a copy; false out of memory. */
bool keeper_entries_push(keeper_entries_t *entries,
			 const keeper_entry_t *entry);

/** keeper_entries_cut - forget the entries after @last. */
void keeper_entries_cut(keeper_entries_t *entries, uint64_t last);

/** keeper_entries_compact - forget the entries up to @base. */
void keeper_entries_compact(keeper_entries_t *entries, uint64_t base,
			    uint64_t base_term);

/** keeper_entries_free - forget all. */
void keeper_entries_free(keeper_entries_t *entries);

/** struct keeper_snapshot_t - the state after @index, in place of its log. */
typedef struct {
	uint64_t index, term;
	keeper_group_t group;
	char *state; /* config_state_save(); NULL if there is none */
	size_t size;
} keeper_snapshot_t;

/** struct keeper_ballot_state_t - what must survive besides the log. */
typedef struct {
	uint64_t term;
	char vote[HL_NAME_MAX]; /* whom this term; "" for nobody */
	uint64_t vote_incarnation;
} keeper_ballot_state_t;

typedef enum {
	KEEPER_FOLLOWER,
	KEEPER_PRECANDIDATE,
	KEEPER_CANDIDATE,
	KEEPER_LEADER,
} keeper_role_t;

/** struct keeper_raft_settings_t - what a replica is told at its start. */
typedef struct {
	uint64_t cluster; /* hash of the cluster's name */
	char name[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
	uint64_t incarnation;	   /* of its disk */
	usec_t heartbeat_interval; /* between the leader's messages */
	usec_t election_timeout;   /* shortest silence before an election */
	uint64_t seed;		   /* of the random part of that silence */
	unsigned founder_count;	   /* founding members, this one included */
	char founders[KEEPER_VOTERS_MAX][HL_NAME_MAX];
	bool may_bootstrap; /* the group may begin with this disk */
	bool auto_membership; /* it takes in whoever asks, and drops who is gone */
} keeper_raft_settings_t;

/** struct keeper_peer_t - another member as a leader or candidate sees it. */
typedef struct {
	keeper_node_t node;
	uint64_t next;	      /* entry to send next */
	uint64_t match_index; /* last entry known to be on its disk */
	usec_t acked_at;      /* when the newest message it answered was sent */
	usec_t sent;	      /* when the newest append was sent */
	uint64_t offset;      /* of the snapshot's next chunk */
	bool waiting;	      /* entries or a chunk are under way */
	bool voted;	      /* for this candidate */
	bool learner;	      /* not a voter under this disk yet */
} keeper_peer_t;

/** struct keeper_joining_member_t - the newest JOIN of one name. */
typedef struct {
	keeper_node_t node;
	uint64_t term;
	uint64_t founders_hash;
	bool fresh;
	bool knows_incarnation; /* the JOIN was meant for our present disk */
	usec_t last_seen;
} keeper_joining_member_t;

/** struct keeper_outgoing_t - a message to send once all is saved. */
typedef struct {
	struct cds_list_head link;
	keeper_message_t message;
	char address[HL_ADDRESS_MAX]; /* "" to look the name up */
} keeper_outgoing_t;

/** struct keeper_raft_t - one replica; its owner reads, only raft writes. */
typedef struct {
	keeper_raft_settings_t settings;
	keeper_ballot_state_t ballot;
	keeper_entries_t entries;
	keeper_snapshot_t snapshot;
	keeper_group_t group; /* newest in the log, committed or not */
	uint64_t group_index;
	keeper_role_t role;
	char leader[HL_NAME_MAX]; /* "" while unknown */
	uint64_t commit;
	uint64_t term_start;	 /* leader: its first entry */
	usec_t elected_at;	 /* leader: when it was elected */
	uint64_t saved;		 /* last entry that is on our own disk */
	bool ballot_dirty;	 /* the ballot has to be saved */
	bool snapshot_dirty;	 /* a snapshot came from the leader */
	usec_t leader_last_seen; /* when a leader was last heard */
	usec_t election_at;
	usec_t heartbeat_at;
	uint64_t random;
	unsigned peer_count;
	keeper_peer_t peers[KEEPER_PEERS_MAX];
	unsigned joining_count;
	keeper_joining_member_t joining_members[KEEPER_VOTERS_MAX];
	keeper_snapshot_t incoming; /* chunks so far */
	size_t incoming_room;
	struct cds_list_head out; /* keeper_outgoing_t */
	uint64_t elections;	  /* won, for the metrics */
	bool out_of_memory;	  /* the owner must stop */
} keeper_raft_t;

/**
 * keeper_raft_init - a replica before anything was read from its disk.
 * @raft: the replica
 * @settings: copied
 * @now: the present time; no vote is given for one election time-out, since
 *       the promise that a lease rests on may have been made before
 */
void keeper_raft_init(keeper_raft_t *raft,
		      const keeper_raft_settings_t *settings, usec_t now);

/**
 * keeper_raft_restore - take over what was read from the disk.
 * @raft: fresh from keeper_raft_init()
 * @ballot: copied
 * @snapshot: its bytes are taken over
 * @entries: taken over
 *
 * Return: false if a group in the log is malformed.
 */
bool keeper_raft_restore(keeper_raft_t *raft,
			 const keeper_ballot_state_t *ballot,
			 keeper_snapshot_t *snapshot,
			 keeper_entries_t *entries);

/** keeper_raft_committed - what is known to have been committed before. */
void keeper_raft_committed(keeper_raft_t *raft, uint64_t commit);

/** keeper_raft_free - free what @raft holds, outgoing messages included. */
void keeper_raft_free(keeper_raft_t *raft);

/**
 * keeper_raft_step - take in one message.
 *
 * Return: false if it is malformed or from a foreign cluster; it is dropped.
 */
bool keeper_raft_step(keeper_raft_t *raft, const keeper_message_t *message,
		      usec_t now);

/** keeper_raft_tick - do what is due at @now. */
void keeper_raft_tick(keeper_raft_t *raft, usec_t now);

/** keeper_raft_resign - a leader that can't trust its clock follows again. */
void keeper_raft_resign(keeper_raft_t *raft, usec_t now);

/** keeper_raft_due - when keeper_raft_tick() has something to do next. */
usec_t keeper_raft_due(const keeper_raft_t *raft);

/**
 * keeper_raft_propose - append a change; only a leader takes one.
 *
 * Return: its index, 0 if this is no leader.
 */
uint64_t keeper_raft_propose(keeper_raft_t *raft, const char *body, size_t size,
			     usec_t now);

/**
 * keeper_raft_voter - add a voter-to-be or remove a member.
 *
 * An added one votes once its disk has joined and caught up.
 *
 * Return: KEEPER_OK when appended or nothing had to be done,
 * KEEPER_NOT_LEADER, or KEEPER_BUSY while another change of the group is under
 * way or the group is full or would be empty.
 */
keeper_status_t keeper_raft_voter(keeper_raft_t *raft, bool add,
				  const char *name, const char *address,
				  usec_t now);

/**
 * keeper_raft_unsaved - true if something must be saved before the outgoing
 * messages are sent: the ballot if ballot_dirty, entries after saved, the
 * snapshot if snapshot_dirty.
 */
bool keeper_raft_unsaved(const keeper_raft_t *raft);

/** keeper_raft_mark_saved - all of that is on the disk now. */
void keeper_raft_mark_saved(keeper_raft_t *raft, usec_t now);

/** keeper_raft_compact - put a snapshot in place of the log up to its index;
 * its bytes are taken over. */
void keeper_raft_compact(keeper_raft_t *raft, keeper_snapshot_t *snapshot);

/** keeper_raft_group_at - the group as of a committed index. */
const keeper_group_t *keeper_raft_group_at(const keeper_raft_t *raft,
					   uint64_t index,
					   keeper_group_t *group);

/**
 * keeper_raft_lease - until when nobody else can have been elected.
 *
 * Return: 0 if this is no leader, or one whose commit index may be behind.
 */
usec_t keeper_raft_lease(const keeper_raft_t *raft);

/** keeper_raft_outgoing_free - free one message taken off the out list. */
void keeper_raft_outgoing_free(keeper_outgoing_t *outgoing);

/** keeper_role_name - "leader", "follower", "candidate" or "learner". */
const char *keeper_role_name(const keeper_raft_t *raft);

#endif
