#ifndef KEEPER_RAFT_H
#define KEEPER_RAFT_H

#include "keeper.h"

/* What the parts of the replica share among themselves. */

/** keeper_raft_queue_message - a message to a member, already on the out list.
 *
 * Return: NULL out of memory, which is noted in @raft.
 */
keeper_message_t *keeper_raft_queue_message(keeper_raft_t *raft,
					    const keeper_node_t *to,
					    keeper_message_kind_t kind);

/** keeper_raft_reply - the same to the sender of @to. */
keeper_message_t *keeper_raft_reply(keeper_raft_t *raft,
				    const keeper_message_t *to,
				    keeper_message_kind_t kind);

/** keeper_raft_is_voter - true if this disk votes as far as the log says. */
bool keeper_raft_is_voter(const keeper_raft_t *raft);

/** keeper_raft_is_fresh - true if this disk never held an entry. */
bool keeper_raft_is_fresh(const keeper_raft_t *raft);

/** keeper_raft_find_peer - the peer of that name and disk, or NULL. */
keeper_peer_t *keeper_raft_find_peer(keeper_raft_t *raft, const char *name,
				     uint64_t incarnation);

/** keeper_raft_add_peer - a peer with nothing known of it; NULL if full. */
keeper_peer_t *keeper_raft_add_peer(keeper_raft_t *raft,
				    const keeper_node_t *node);

/**
 * keeper_raft_quorum - the best value that a majority of voters reaches.
 * @raft: the replica
 * @own: its own value
 * @value: the value of a peer
 */
uint64_t keeper_raft_quorum(const keeper_raft_t *raft, uint64_t own,
			    uint64_t (*value)(const keeper_peer_t *peer));

/** keeper_raft_become_follower - be a follower at @term, of nobody yet. */
void keeper_raft_become_follower(keeper_raft_t *raft, uint64_t term,
				 usec_t now);

/** keeper_raft_hear - a leader of this term was heard. */
void keeper_raft_hear(keeper_raft_t *raft, const char *leader, usec_t now);

/** keeper_raft_rest - draw the time of the next election. */
void keeper_raft_rest(keeper_raft_t *raft, usec_t now);

/** keeper_raft_regroup - take the newest group of the log; false if it is
 * malformed. */
bool keeper_raft_regroup(keeper_raft_t *raft);

/** keeper_raft_push - append an entry of our own as a leader; its index. */
uint64_t keeper_raft_push(keeper_raft_t *raft, keeper_entry_kind_t kind,
			  const char *body, size_t size);

/** keeper_raft_append_group - the same with a group, in force at once. */
uint64_t keeper_raft_append_group(keeper_raft_t *raft,
				  const keeper_group_t *group);

/** keeper_vote_sticky - true while a leader may hold a lease. */
bool keeper_vote_sticky(const keeper_raft_t *raft, usec_t now);

/** keeper_vote_start - ask whether an election has a chance. */
void keeper_vote_start(keeper_raft_t *raft, usec_t now);

/** keeper_vote_campaign - ask for the votes of the present term, which this
 * replica has given itself. */
void keeper_vote_campaign(keeper_raft_t *raft, usec_t now);

void keeper_vote_asked_before(keeper_raft_t *raft,
			      const keeper_message_t *message, usec_t now);
void keeper_vote_asked(keeper_raft_t *raft, const keeper_message_t *message,
		       usec_t now);
void keeper_vote_answered(keeper_raft_t *raft, const keeper_message_t *message,
			  usec_t now);

/** keeper_append_send - what @peer lacks, or a heartbeat. */
void keeper_append_send(keeper_raft_t *raft, keeper_peer_t *peer, usec_t now);

/** keeper_append_broadcast - to all peers; @idle: only those not busy. */
void keeper_append_broadcast(keeper_raft_t *raft, bool idle, usec_t now);

/** keeper_append_advance - commit what a quorum has on its disks. */
void keeper_append_advance(keeper_raft_t *raft, usec_t now);

bool keeper_append_asked(keeper_raft_t *raft, const keeper_message_t *message,
			 usec_t now);
bool keeper_append_answered(keeper_raft_t *raft,
			    const keeper_message_t *message, usec_t now);

/** keeper_install_send - the next chunk of the snapshot. */
void keeper_install_send(keeper_raft_t *raft, keeper_peer_t *peer, usec_t now);

bool keeper_install_asked(keeper_raft_t *raft, const keeper_message_t *message,
			  usec_t now);
bool keeper_install_answered(keeper_raft_t *raft,
			     const keeper_message_t *message, usec_t now);

/** keeper_join_ask - as no voter: tell the others about this disk. */
void keeper_join_ask(keeper_raft_t *raft, usec_t now);

/**
 * keeper_join_lost - no leader was heard for long: the group may have dropped
 * this voter meanwhile, so that it has to ask to be taken in again.
 */
bool keeper_join_lost(const keeper_raft_t *raft, usec_t now);

/** keeper_join_prune - as a leader: drop a member that is gone. */
void keeper_join_prune(keeper_raft_t *raft, usec_t now);

bool keeper_join_asked(keeper_raft_t *raft, const keeper_message_t *message,
		       usec_t now);

/** keeper_join_promote - let a learner that caught up become a voter. */
void keeper_join_promote(keeper_raft_t *raft, const keeper_peer_t *peer,
			 usec_t now);

/** keeper_join_found - start the group once all its disks are fresh. */
void keeper_join_found(keeper_raft_t *raft, usec_t now);

#endif
