#ifndef KEEPER_H
#define KEEPER_H

#include <rpc/rpc.h>
#include <urcu/list.h>
#include "hemlock.h"
#include "keeper_rpc.h"
#include "metrics.h"

/*
 * A keeper holds one replica of the replicated log of configuration changes.
 * This header declares the Raft state machine, the log in memory and the group
 * of members; none of them does I/O or reads a clock. The modules:
 *
 * keeper_raft_*	Raft roles, terms, commit index and group changes
 * keeper_vote_*	pre-vote and elections
 * keeper_append_*	log replication
 * keeper_install_*	snapshot transfer to a follower
 * keeper_join_*	bootstrap of the group, joining and removed members
 * keeper_entries_*	log entries in memory
 * keeper_group_*	voters and members that are about to become voters
 * keeper_store_*	log and snapshot files in the data folder
 * keeper_core_*	the thread that owns the replica and its files
 * keeper_transport_*	threads that send messages to the peers
 * keeper_rpc_*		the thread that serves RPC calls
 */

/* Peers that a leader replicates to: voters, and a learner for each of them. */
#define KEEPER_PEERS_MAX (2 * KEEPER_VOTERS_MAX)
/* Bytes of entries in one append message. A larger entry is sent alone. */
#define KEEPER_APPEND_BYTES_MAX 57344

/**
 * struct keeper_node_t - a member of the group, identified by name and disk.
 *
 * Each disk has a random number, its incarnation. A vote counts only if it
 * carries the incarnation of the disk that joined, so that a
 * member with a replaced disk does not vote twice in a term.
 */
typedef struct {
	char name[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
	uint64_t incarnation; /* the member's disk; 0 until a disk has joined */
	bool voter;
	bool leaving; /* a voter that is about to be removed */
} keeper_node_t;

/** struct keeper_group_t - the members according to one log entry. */
typedef struct {
	unsigned count;
	unsigned initial_size; /* members of the first start; 0: unknown */
	keeper_node_t nodes[KEEPER_VOTERS_MAX];
} keeper_group_t;

/** keeper_group_find - return the member named @name, or NULL. */
keeper_node_t *keeper_group_find(const keeper_group_t *group, const char *name);

/** keeper_group_is_voter - true if @name is a voter with this disk. */
bool keeper_group_is_voter(const keeper_group_t *group, const char *name,
			   uint64_t incarnation);

/**
 * keeper_group_to_wire - fill in the XDR form of a group.
 * @group: the group; the strings of @wire point into it
 * @nodes: array of KEEPER_VOTERS_MAX nodes that @wire refers to
 * @wire: filled in
 */
void keeper_group_to_wire(const keeper_group_t *group,
			  keeper_node_wire_t *nodes, keeper_group_wire_t *wire);

/**
 * keeper_group_from_wire - read a group from its XDR form.
 *
 * Return: false if a name is not valid or occurs twice.
 */
bool keeper_group_from_wire(const keeper_group_wire_t *wire,
			    keeper_group_t *group);

/**
 * keeper_group_encode - encode a group as the body of a log entry.
 * @body: set to malloc'ed bytes
 * @size: set to their number
 *
 * Return: false if out of memory.
 */
bool keeper_group_encode(const keeper_group_t *group, char **body,
			 size_t *size);

/** keeper_group_decode - decode the body of an entry; false if malformed. */
bool keeper_group_decode(const char *body, size_t size, keeper_group_t *group);

/**
 * keeper_xdr_encode - encode a value as malloc'ed XDR bytes.
 *
 * Return: false if a string or an array of @value exceeds its bound in the XDR
 * definition, or if out of memory.
 */
bool keeper_xdr_encode(xdrproc_t proc, void *value, char **bytes, size_t *size);

/**
 * keeper_xdr_decode - decode XDR bytes into a zeroed @value.
 *
 * Return: false if the bytes are malformed or more than the value needs.
 */
bool keeper_xdr_decode(xdrproc_t proc, const char *bytes, size_t size,
		       void *value);

/** keeper_xdr_copy - make a deep copy in a zeroed @to; false if it fails. */
bool keeper_xdr_copy(xdrproc_t proc, const void *from, void *to);

/**
 * struct keeper_entries_t - the part of the log that follows the snapshot:
 * the entries with index base + 1 to base + count.
 */
typedef struct {
	uint64_t base;	    /* last index that the snapshot covers */
	uint64_t base_term; /* term of the entry at base */
	size_t count, capacity;
	keeper_entry_t *list;
	size_t bytes; /* total size of all bodies */
} keeper_entries_t;

/** keeper_entries_last - return the index of the last entry. */
uint64_t keeper_entries_last(const keeper_entries_t *entries);

/**
 * keeper_entries_at - return the entry at @index.
 *
 * Return: NULL if the snapshot covers the index or the log ends before it.
 */
const keeper_entry_t *keeper_entries_at(const keeper_entries_t *entries,
					uint64_t index);

/**
 * keeper_entries_term - set @term to the term of the entry at @index.
 *
 * Return: false if @index lies before the base or after the last entry.
 */
bool keeper_entries_term(const keeper_entries_t *entries, uint64_t index,
			 uint64_t *term);

/** keeper_entries_push - append a copy of @entry; false if out of memory. */
bool keeper_entries_push(keeper_entries_t *entries,
			 const keeper_entry_t *entry);

/** keeper_entries_truncate - remove the entries after @last. */
void keeper_entries_truncate(keeper_entries_t *entries, uint64_t last);

/**
 * keeper_entries_compact - remove the entries that a snapshot covers.
 * @base: last index of the snapshot
 * @base_term: term of the entry at @base
 */
void keeper_entries_compact(keeper_entries_t *entries, uint64_t base,
			    uint64_t base_term);

/** keeper_entries_free - free all entries and reset the list. */
void keeper_entries_free(keeper_entries_t *entries);

/**
 * struct keeper_snapshot_t - the state after the entry at @index, which
 * replaces the log up to there.
 */
typedef struct {
	uint64_t index, term;
	keeper_group_t group;
	char *state; /* from config_state_save(); NULL before the first one */
	size_t size;
} keeper_snapshot_t;

/** struct keeper_ballot_state_t - the persistent Raft state beside the log. */
typedef struct {
	uint64_t term;
	char vote[HL_NAME_MAX];	   /* candidate voted for in term, or "" */
	uint64_t vote_incarnation; /* incarnation of that candidate's disk */
} keeper_ballot_state_t;

typedef enum {
	KEEPER_FOLLOWER,
	KEEPER_PRECANDIDATE,
	KEEPER_CANDIDATE,
	KEEPER_LEADER,
} keeper_role_t;

/** struct keeper_raft_settings_t - the configuration of a replica. */
typedef struct {
	uint64_t cluster; /* hash of the cluster's name */
	char name[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
	uint64_t incarnation;	   /* incarnation of this replica's disk */
	usec_t heartbeat_interval; /* interval between messages of a leader */
	usec_t election_timeout;   /* minimum election timeout */
	uint64_t seed;		   /* random seed of the election timeouts */
	unsigned founder_count;	   /* founding members, including this one */
	char founders[KEEPER_VOTERS_MAX][HL_NAME_MAX];
	char founder_addresses[KEEPER_VOTERS_MAX][HL_ADDRESS_MAX];
	unsigned fault_tolerance; /* members that may be lost at once; 0: as
				   * many as those of the first start bear */
	bool may_bootstrap;	  /* with an empty disk, may create the group;
				  * with auto_membership, a majority of the
				  * founders may, so that this must be set for
				  * the first disk of each alone */
	bool auto_membership; /* the leader adds joining members on request and
			  * removes unreachable ones */
} keeper_raft_settings_t;

/** struct keeper_peer_t - state that a leader or candidate has of a member. */
typedef struct {
	keeper_node_t node;
	uint64_t next_index;  /* next entry to send */
	uint64_t match_index; /* last entry confirmed to be on its disk */
	usec_t acked_at;      /* send time of the newest message it answered */
	usec_t sent_at;	      /* send time of the newest append */
	uint64_t snapshot_offset; /* bytes before the next snapshot chunk */
	bool in_flight;		  /* entries or a chunk are unanswered */
	bool voted;		  /* granted its vote to this candidate */
	bool learner;		  /* not yet a voter with this disk */
	uint64_t successor; /* incarnation of another disk that sends JOIN under
			     * its name; 0: none */
	usec_t successor_first_seen, successor_last_seen;
	bool lost; /* its disk was known to be lost when this replica last
		    * started an election */
	usec_t leaving_at; /* when it last said that it stops; 0: never */
} keeper_peer_t;

/** struct keeper_joining_member_t - the newest JOIN message of one member. */
typedef struct {
	keeper_node_t node;
	uint64_t term;
	uint64_t founders_hash; /* hash of the founders in its settings */
	bool fresh;		/* may bootstrap, and its log is empty */
	bool knows_incarnation; /* JOIN was addressed to this disk */
	usec_t last_seen;
} keeper_joining_member_t;

/** struct keeper_outgoing_t - a message to send after the state is saved. */
typedef struct {
	struct cds_list_head link;
	keeper_message_t message;
	char address[HL_ADDRESS_MAX]; /* "" if only the settings have it */
} keeper_outgoing_t;

/**
 * struct keeper_raft_t - one replica of the log.
 *
 * Only the functions of keeper_raft_*, keeper_vote_*, keeper_quorum_*, keeper_lost_*,
 * keeper_append_*, keeper_install_*, keeper_join_*, keeper_change_*, keeper_leave_* and
 * keeper_bootstrap_* write to it; its owner only reads it.
 */
typedef struct {
	keeper_raft_settings_t settings;
	keeper_ballot_state_t ballot;
	keeper_entries_t entries;
	keeper_snapshot_t snapshot;
	keeper_group_t group; /* newest in the log, committed or not; while a
			       * candidate bootstraps, that of the founders */
	uint64_t group_index; /* index of the entry that holds group */
	bool group_resolved;  /* group has disks that its entry lacks */
	keeper_role_t role;
	char leader[HL_NAME_MAX]; /* "" while unknown */
	uint64_t commit;	  /* commit index */
	uint64_t term_start;	  /* leader: index of its first entry */
	usec_t elected_at;	  /* leader: time of its election */
	usec_t started_at;	  /* time of keeper_raft_init() */
	uint64_t saved;		  /* last entry on this replica's disk */
	bool ballot_dirty;	  /* the ballot is not saved */
	bool snapshot_dirty;	  /* a received snapshot is not saved */
	usec_t leader_last_seen;  /* time of the last message of a leader */
	usec_t election_at;	  /* time of the next election */
	usec_t heartbeat_at;	  /* time of the next heartbeat */
	uint64_t rng_state;
	unsigned peer_count;
	keeper_peer_t peers[KEEPER_PEERS_MAX];
	unsigned joining_count;
	keeper_joining_member_t joining_members[KEEPER_VOTERS_MAX];
	keeper_snapshot_t incoming; /* chunks received so far */
	size_t incoming_capacity;
	struct cds_list_head out; /* keeper_outgoing_t */
	uint64_t elections;	  /* elections won, for the metrics */
	bool leaving;		  /* keeper_raft_leave() was called */
	bool left;		  /* the leader has confirmed its removal */
	bool out_of_memory;	  /* the owner must discard the replica */
} keeper_raft_t;

/**
 * keeper_raft_init - set up a replica before its disk is read.
 * @raft: the replica
 * @settings: copied
 * @now: current time
 *
 * The replica grants no vote for one election timeout after @now: it may have
 * acknowledged a leader just before a restart, and that leader's lease relies
 * on the acknowledgement.
 */
void keeper_raft_init(keeper_raft_t *raft,
		      const keeper_raft_settings_t *settings, usec_t now);

/**
 * keeper_raft_restore - load the state that was read from the disk.
 * @raft: a replica after keeper_raft_init()
 * @ballot: copied
 * @snapshot: moved to the replica and zeroed
 * @entries: moved to the replica and zeroed
 *
 * Return: false if the newest group in the log is malformed.
 */
bool keeper_raft_restore(keeper_raft_t *raft,
			 const keeper_ballot_state_t *ballot,
			 keeper_snapshot_t *snapshot,
			 keeper_entries_t *entries);

/**
 * keeper_raft_restore_commit - raise the commit index to the saved one.
 * @commit: commit index read from the disk; limited to the last entry
 */
void keeper_raft_restore_commit(keeper_raft_t *raft, uint64_t commit);

/** keeper_raft_free - free the entries, snapshots and outgoing messages. */
void keeper_raft_free(keeper_raft_t *raft);

/**
 * keeper_raft_step - handle one message of another member.
 *
 * Return: false if the message was dropped because it is malformed, from
 * another cluster or for another member or disk.
 */
bool keeper_raft_step(keeper_raft_t *raft, const keeper_message_t *message,
		      usec_t now);

/** keeper_raft_tick - run the timers that have expired at @now. */
void keeper_raft_tick(keeper_raft_t *raft, usec_t now);

/**
 * keeper_raft_resign - make a leader step down.
 *
 * Used after the VM was suspended: other members may have elected a leader
 * meanwhile, although the lease has not ended by this VM's clock.
 */
void keeper_raft_resign(keeper_raft_t *raft, usec_t now);

/** keeper_raft_next_due - return when keeper_raft_tick() must run next. */
usec_t keeper_raft_next_due(const keeper_raft_t *raft);

/**
 * keeper_raft_propose - append a change to the log of a leader.
 * @raft: the replica
 * @body: the encoded change, copied
 * @size: its size, at most KEEPER_COMMAND_MAX bytes
 * @now: current time
 *
 * Return: the index of the entry, or 0 if the replica is not the leader, the
 * change is too large or memory is exhausted.
 */
uint64_t keeper_raft_propose(keeper_raft_t *raft, const char *body, size_t size,
			     usec_t now);

/**
 * keeper_raft_leave - give up the vote of this disk, as its process stops.
 *
 * The group keeps it if its fault tolerance needs it. From then on the replica
 * does not ask to join.
 */
void keeper_raft_leave(keeper_raft_t *raft, usec_t now);

/**
 * keeper_raft_may_leave - true while the group may give up the vote of this
 * disk, and its removal is not known to be committed.
 */
bool keeper_raft_may_leave(const keeper_raft_t *raft);

/**
 * keeper_raft_change_voter - add a member as a future voter, or remove one.
 *
 * An added member votes after its disk has joined and caught up.
 *
 * Return: KEEPER_OK if the change was appended or is already in the log,
 * KEEPER_NOT_LEADER, or KEEPER_BUSY if another change of the group is
 * uncommitted, the name is not valid, the group is full, or no majority of
 * the voters that would be left has answered lately.
 */
keeper_status_t keeper_raft_change_voter(keeper_raft_t *raft, bool add,
					 const char *name, const char *address,
					 usec_t now);

/**
 * keeper_raft_has_unsaved - true if state must be saved before the outgoing
 * messages are sent: the ballot if ballot_dirty is set, the entries after
 * saved, the snapshot if snapshot_dirty is set.
 */
bool keeper_raft_has_unsaved(const keeper_raft_t *raft);

/**
 * keeper_raft_mark_saved - record that all unsaved state is on the disk.
 *
 * A leader then advances its commit index.
 */
void keeper_raft_mark_saved(keeper_raft_t *raft, usec_t now);

/**
 * keeper_lost_count - return the number of voters without which this replica campaigned
 * last, as their disks are lost.
 */
unsigned keeper_lost_count(const keeper_raft_t *raft);

/**
 * keeper_raft_compact - replace the log up to the snapshot's index.
 * @snapshot: moved to the replica and zeroed
 */
void keeper_raft_compact(keeper_raft_t *raft, keeper_snapshot_t *snapshot);

/**
 * keeper_raft_group_at - return the group that is in force at an index.
 * @index: a committed index that is not below the snapshot's
 * @group: filled in
 *
 * Return: the index of the entry that holds it, or the last one that the snapshot
 * covers.
 */
uint64_t keeper_raft_group_at(const keeper_raft_t *raft, uint64_t index,
			      keeper_group_t *group);

/**
 * keeper_raft_lease_end - return the time at which the leader's lease ends.
 *
 * Until then no other leader can have been elected.
 *
 * Return: 0 if the replica is not the leader, or if no entry of its term is
 * committed, since its commit index may then be too low; USEC_NEVER for the
 * only voter.
 */
usec_t keeper_raft_lease_end(const keeper_raft_t *raft);

/** keeper_raft_outgoing_free - remove a message from its list and free it. */
void keeper_raft_outgoing_free(keeper_outgoing_t *outgoing);

/**
 * keeper_raft_role_name - return "leader", "follower", "candidate" or
 * "learner" for the status.
 */
const char *keeper_raft_role_name(const keeper_raft_t *raft);

#endif
