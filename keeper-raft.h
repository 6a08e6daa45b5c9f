#ifndef KEEPER_RAFT_H
#define KEEPER_RAFT_H

#include "keeper.h"

/*
 * Functions that the modules of the Raft replica share: keeper-raft.c
 * (roles, terms, timers), keeper-vote.c, keeper-quorum.c, keeper-lost.c,
 * keeper-append.c, keeper-install.c, keeper-join.c, keeper-change.c, keeper-leave.c and
 * keeper-bootstrap.c. The caller of a handler has checked the cluster, the sender's
 * and receiver's disk and the term of the message.
 */

/**
 * keeper_raft_queue_message - append a new message to the outgoing list.
 * @raft: the replica
 * @to: the receiver
 * @kind: kind of the message; the body is zeroed
 *
 * Return: NULL if out of memory, and then out_of_memory of @raft is set.
 */
keeper_message_t *keeper_raft_queue_message(keeper_raft_t *raft,
					    const keeper_node_t *to,
					    keeper_message_kind_t kind);

/**
 * keeper_raft_queue_reply - append a new message to the sender of @to.
 *
 * The address is that of the group's member with the sender's name, or the one
 * in the message if there is none.
 *
 * Return: as keeper_raft_queue_message().
 */
keeper_message_t *keeper_raft_queue_reply(keeper_raft_t *raft,
					  const keeper_message_t *to,
					  keeper_message_kind_t kind);

/** keeper_raft_is_voter - true if the newest group has this disk as a voter. */
bool keeper_raft_is_voter(const keeper_raft_t *raft);

/** keeper_raft_is_fresh - true if this disk never held a log entry. */
bool keeper_raft_is_fresh(const keeper_raft_t *raft);

/** keeper_raft_find_peer - return the peer with that name and disk, or NULL. */
keeper_peer_t *keeper_raft_find_peer(keeper_raft_t *raft, const char *name,
				     uint64_t incarnation);

/**
 * keeper_raft_add_peer - add a peer that has confirmed no entry yet.
 *
 * Return: NULL if there are KEEPER_PEERS_MAX peers.
 */
keeper_peer_t *keeper_raft_add_peer(keeper_raft_t *raft,
				    const keeper_node_t *node);

/**
 * keeper_raft_become_follower - become a follower without a known leader.
 * @term: clears the vote if it is higher than the current term
 */
void keeper_raft_become_follower(keeper_raft_t *raft, uint64_t term,
				 usec_t now);

/**
 * keeper_raft_accept_leader - follow @leader, which sent a message in the
 * current term.
 */
void keeper_raft_accept_leader(keeper_raft_t *raft, const char *leader,
			       usec_t now);

/**
 * keeper_raft_reset_election_timer - set the time of the next election.
 *
 * It lies one to two election timeouts ahead, at random, so that candidates
 * seldom split the vote.
 */
void keeper_raft_reset_election_timer(keeper_raft_t *raft, usec_t now);

/**
 * keeper_raft_load_group - put the newest group of the log in force.
 *
 * Return: false if it is malformed.
 */
bool keeper_raft_load_group(keeper_raft_t *raft);

/**
 * keeper_raft_set_founding_group - put the group of the founders in force, for the
 * election of the first leader.
 *
 * keeper_raft_load_group() takes it back while the log is empty.
 */
void keeper_raft_set_founding_group(keeper_raft_t *raft,
				    const keeper_group_t *group);

/**
 * keeper_raft_append_entry - append an entry in the current term, as leader.
 *
 * Return: its index, or 0 if out of memory.
 */
uint64_t keeper_raft_append_entry(keeper_raft_t *raft, keeper_entry_kind_t kind,
				  const char *body, size_t size);

/**
 * keeper_raft_append_group - append a group, which is in force at once.
 *
 * Return: the index of its entry, or 0 if out of memory.
 */
uint64_t keeper_raft_append_group(keeper_raft_t *raft,
				  const keeper_group_t *group);

/**
 * keeper_quorum_majority_value - return the highest value that a majority of the voters
 * of a group has reached.
 * @raft: the replica
 * @group: its newest group, or one that it may append
 * @own: its own value, counted if it is a voter
 * @value: returns the value of a peer
 *
 * Return: 0 if the group has no voters.
 */
uint64_t keeper_quorum_majority_value(
	const keeper_raft_t *raft, const keeper_group_t *group, uint64_t own,
	uint64_t (*value)(const keeper_peer_t *peer));

/**
 * keeper_quorum_value - return the highest value that a quorum of the newest group has
 * reached.
 *
 * A quorum is a majority of the voters; half of them may be enough if a voter's disk is
 * known to be lost.
 *
 * Return: 0 if the group has no voters.
 */
uint64_t keeper_quorum_value(const keeper_raft_t *raft, uint64_t own,
			     uint64_t (*value)(const keeper_peer_t *peer));

/**
 * keeper_lost_on_join - note that a voter's name is in use by another disk.
 *
 * Without auto_membership nothing is noted: there an operator may start a second
 * process under a name while the first one runs.
 */
void keeper_lost_on_join(keeper_raft_t *raft, const keeper_message_t *message,
			 usec_t now);

/** keeper_lost_on_message - drop the record of a disk that is in use after all. */
void keeper_lost_on_message(keeper_raft_t *raft,
			    const keeper_message_t *message);

/**
 * keeper_lost_mark_peers - mark the peers whose disks are known to be lost, for the
 * election that begins and the term that follows.
 */
void keeper_lost_mark_peers(keeper_raft_t *raft, usec_t now);

/**
 * keeper_vote_lease_possible - true while a leader may hold a lease.
 *
 * A replica grants no vote until an election timeout has passed since the last
 * message of a leader.
 */
bool keeper_vote_lease_possible(const keeper_raft_t *raft, usec_t now);

/**
 * keeper_vote_start_prevote - request pre-votes for the next term.
 *
 * The term is raised only after a majority has granted them, so that a replica
 * that can't win does not depose the leader.
 */
void keeper_vote_start_prevote(keeper_raft_t *raft, usec_t now);

/**
 * keeper_vote_campaign - vote for itself and request the votes of the present
 * term.
 */
void keeper_vote_campaign(keeper_raft_t *raft, usec_t now);

/** keeper_vote_on_prevote_request - handle PREVOTE; changes no own state. */
void keeper_vote_on_prevote_request(keeper_raft_t *raft,
				    const keeper_message_t *message,
				    usec_t now);

/** keeper_vote_on_request - handle VOTE: at most one vote in a term. */
void keeper_vote_on_request(keeper_raft_t *raft,
			    const keeper_message_t *message, usec_t now);

/** keeper_vote_on_response - count a vote or pre-vote. */
void keeper_vote_on_response(keeper_raft_t *raft,
			     const keeper_message_t *message, usec_t now);

/**
 * keeper_append_send - send the entries that @peer lacks, or a heartbeat.
 *
 * If the log no longer has them, a chunk of the snapshot is sent.
 */
void keeper_append_send(keeper_raft_t *raft, keeper_peer_t *peer, usec_t now);

/**
 * keeper_append_broadcast - call keeper_append_send() for all peers.
 * @idle: only for peers without an unanswered message
 */
void keeper_append_broadcast(keeper_raft_t *raft, bool idle, usec_t now);

/**
 * keeper_append_advance - commit the entries that a quorum has on its disks.
 *
 * A leader that the committed group no longer has as a voter steps down.
 */
void keeper_append_advance(keeper_raft_t *raft, usec_t now);

/** keeper_append_on_request - handle APPEND; false if it is malformed. */
bool keeper_append_on_request(keeper_raft_t *raft,
			      const keeper_message_t *message, usec_t now);

/** keeper_append_on_response - handle APPEND_REPLY; false if malformed. */
bool keeper_append_on_response(keeper_raft_t *raft,
			       const keeper_message_t *message, usec_t now);

/** keeper_install_send - send the next chunk of the snapshot to @peer. */
void keeper_install_send(keeper_raft_t *raft, keeper_peer_t *peer, usec_t now);

/** keeper_install_on_request - handle INSTALL; false if it is malformed. */
bool keeper_install_on_request(keeper_raft_t *raft,
			       const keeper_message_t *message, usec_t now);

/** keeper_install_on_response - handle INSTALL_REPLY; false if malformed. */
bool keeper_install_on_response(keeper_raft_t *raft,
				const keeper_message_t *message, usec_t now);

/**
 * keeper_join_send_requests - send JOIN with the disk's incarnation to members.
 *
 * Called while this disk is not a voter, or may no longer be one.
 */
void keeper_join_send_requests(keeper_raft_t *raft, usec_t now);

/**
 * keeper_join_lost_leader - true if no leader has sent a message for several
 * timeouts.
 *
 * The group may have removed this voter meanwhile, and then it has to join
 * again.
 */
bool keeper_join_lost_leader(const keeper_raft_t *raft, usec_t now);

/** keeper_join_on_request - handle JOIN; false if it is malformed. */
bool keeper_join_on_request(keeper_raft_t *raft,
			    const keeper_message_t *message, usec_t now);

/**
 * keeper_join_on_candidate - as leader, replicate to a member that campaigns.
 *
 * It was removed as a voter, which it has not learned, and added again.
 */
void keeper_join_on_candidate(keeper_raft_t *raft,
			      const keeper_message_t *message, usec_t now);

/**
 * keeper_join_on_other_disk - ask to join on a message to an earlier disk.
 *
 * The sender is a member, while all those in the settings may be gone.
 */
void keeper_join_on_other_disk(keeper_raft_t *raft,
			       const keeper_message_t *message);

/** keeper_change_count_voters - return the number of voters of a group. */
unsigned keeper_change_count_voters(const keeper_group_t *group);

/**
 * keeper_change_add - as leader, add a member, which is not one yet.
 * @initial: whether it belongs to the first start of the group
 *
 * It votes once its disk has joined.
 *
 * Return: KEEPER_OK or KEEPER_BUSY.
 */
keeper_status_t keeper_change_add(keeper_raft_t *raft, const char *name,
				  const char *address, bool initial,
				  usec_t now);

/** keeper_change_promote - make a learner that has caught up a voter. */
void keeper_change_promote(keeper_raft_t *raft, const keeper_peer_t *peer,
			   usec_t now);

/**
 * keeper_leave_remove_marked - as leader, remove a voter that is marked as leaving, if
 * the group with the mark is committed.
 */
void keeper_leave_remove_marked(keeper_raft_t *raft, usec_t now);

/** keeper_leave_prune - as leader, remove a member that does not answer. */
void keeper_leave_prune(keeper_raft_t *raft, usec_t now);

/**
 * keeper_leave_on_request - as leader, remove a voter that stops; as a voter that
 * stops, note that the leader has removed it.
 */
void keeper_leave_on_request(keeper_raft_t *raft,
			     const keeper_message_t *message, usec_t now);

/**
 * keeper_bootstrap_founders_hash - hash the names of the founders and of the cluster.
 *
 * JOIN carries the hash, and a founder ignores senders whose hash differs from its
 * own: they were started with another list of founders.
 */
uint64_t keeper_bootstrap_founders_hash(const keeper_raft_settings_t *settings);

/** keeper_bootstrap_is_founder - true if @name is one of the founders. */
bool keeper_bootstrap_is_founder(const keeper_raft_settings_t *settings,
				 const char *name);

/** keeper_bootstrap_find_member - return the newest JOIN message of a member. */
keeper_joining_member_t *keeper_bootstrap_find_member(const keeper_raft_t *raft,
						      const char *name);

/**
 * keeper_bootstrap_record - record a JOIN message that a keeper with an empty disk
 * received, for the bootstrap of the group.
 */
void keeper_bootstrap_record(keeper_raft_t *raft,
			     const keeper_message_t *message, usec_t now);

/**
 * keeper_bootstrap_resolve - set the first disk of a founder in the group, if JOIN is
 * from one that the group has as a voter without a disk.
 */
void keeper_bootstrap_resolve(keeper_raft_t *raft,
			      const keeper_message_t *message, usec_t now);

/**
 * keeper_bootstrap_start - campaign for the first leader, if all founders have empty
 * disks and this one has the lowest name.
 */
void keeper_bootstrap_start(keeper_raft_t *raft, usec_t now);

/**
 * keeper_bootstrap_prepare - put the group of the founders in force, if this
 * replica, whose log is empty, may campaign for the first leader.
 *
 * It may once all founders have lately sent JOIN from empty disks, or, with
 * auto_membership, a majority of them if the wait for the others has passed. The
 * winner appends the group.
 *
 * Return: false if it may not; then the replica has no group.
 */
bool keeper_bootstrap_prepare(keeper_raft_t *raft, usec_t now);

/**
 * keeper_bootstrap_resolve_founders - set the disks of founders that joined after the
 * bootstrap, in voters of @group with incarnation 0.
 *
 * Such a voter stands for the first disk of the founder. So this changes no quorum,
 * and needs no change of the group that is committed before.
 *
 * Return: true if a voter was set.
 */
bool keeper_bootstrap_resolve_founders(const keeper_raft_t *raft,
				       keeper_group_t *group);

/**
 * keeper_bootstrap_append_resolved - as leader, append the group in force if the log does
 * not have it: that of the founders, or one with founders that joined later.
 */
void keeper_bootstrap_append_resolved(keeper_raft_t *raft);

/**
 * keeper_bootstrap_may_vote - true if this replica may vote for the sender of
 * @message, a candidate with an empty log.
 *
 * Only one that may bootstrap may: a replaced disk does not know for whom the first
 * one has voted. The candidate must have the same founders.
 */
bool keeper_bootstrap_may_vote(const keeper_raft_t *raft,
			       const keeper_message_t *message);

#endif
