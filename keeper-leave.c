#include <string.h>
#include "keeper-raft.h"

/*
 * How members leave the group: a leader removes those that are silent or that
 * stop, as far as the fault tolerance does not need them, and a keeper that stops gives
 * up its vote.
 */

/* Minimum number of voters that automatic removal by the leader leaves, whatever
 * the fault tolerance is. */
#define KEEPER_LEAVE_VOTERS_MIN 3u
/* Election timeouts without an answer before a voter is removed from a group
 * with more voters than its fault tolerance needs. */
#define KEEPER_LEAVE_VOTER_SILENT_TIMEOUTS 3
/* Election timeouts without an answer before a member that has not become a
 * voter is removed. */
#define KEEPER_LEAVE_LEARNER_SILENT_TIMEOUTS 10

/* Return when a member last answered under any of its disks; 0 if never. */
static usec_t keeper_leave_acked_at(keeper_raft_t *raft, const char *name)
{
	usec_t acked = 0;
	unsigned i;

	for (i = 0; i < raft->peer_count; i++)
		if (!strcmp(raft->peers[i].node.name, name) &&
		    raft->peers[i].acked_at > acked)
			acked = raft->peers[i].acked_at;
	return acked;
}

/* Return the number of voters that the fault tolerance requires, 2f + 1 for f lost
 * disks. With fewer voters a committed entry might be on no more than f disks, so a
 * silent voter must stay in the group. If the setting is 0, it is the number of members at
 * the first start, rounded down to an odd number. */
static unsigned keeper_leave_voters_needed(const keeper_raft_t *raft)
{
	unsigned needed = 2 * raft->settings.fault_tolerance + 1;

	if (!raft->settings.fault_tolerance && raft->group.initial_size)
		needed = raft->group.initial_size -
			 (raft->group.initial_size % 2 == 0);
	if (needed < KEEPER_LEAVE_VOTERS_MIN)
		return KEEPER_LEAVE_VOTERS_MIN;
	return needed < KEEPER_VOTERS_MAX ? needed : KEEPER_VOTERS_MAX;
}

/* Return how long a member has not answered this leader. */
static usec_t keeper_leave_silence(keeper_raft_t *raft, const char *name,
				   usec_t now)
{
	usec_t silent = now - keeper_leave_acked_at(raft, name);

	return now - raft->elected_at < silent ? now - raft->elected_at :
						 silent;
}

/* True if a voter has been silent for long, or has said that it stops. */
static bool keeper_leave_is_gone(keeper_raft_t *raft, const keeper_node_t *node,
				 usec_t now)
{
	usec_t limit = KEEPER_LEAVE_VOTER_SILENT_TIMEOUTS *
		       raft->settings.election_timeout;
	const keeper_peer_t *peer;

	if (!strcmp(node->name, raft->settings.name))
		return raft->leaving;
	peer = keeper_raft_find_peer(raft, node->name, node->incarnation);
	return (peer && peer->leaving_at && now - peer->leaving_at < limit) ||
	       keeper_leave_silence(raft, node->name, now) > limit;
}

static unsigned keeper_leave_count_gone(keeper_raft_t *raft, usec_t now)
{
	unsigned count = 0, i;

	for (i = 0; i < raft->group.count; i++)
		count += raft->group.nodes[i].voter &&
			 keeper_leave_is_gone(raft, &raft->group.nodes[i], now);
	return count;
}

/* True if the leader should remove a member: one that is not a voter and silent, or
 * a voter that is gone and that the fault tolerance does not need. Voters that are
 * gone count for the majority, so with one whose successor has joined the group
 * tolerates fewer failures. Of an odd number of voters one is removed only if
 * another one follows, as the majority of one voter less is as large. */
static bool keeper_leave_should_remove(keeper_raft_t *raft,
				       const keeper_node_t *node, usec_t now)
{
	unsigned voters = keeper_change_count_voters(&raft->group);
	usec_t limit = KEEPER_LEAVE_LEARNER_SILENT_TIMEOUTS *
		       raft->settings.election_timeout;

	if (!node->voter)
		return keeper_leave_silence(raft, node->name, now) > limit;
	return voters > keeper_leave_voters_needed(raft) &&
	       keeper_leave_is_gone(raft, node, now) &&
	       (voters % 2 == 0 || keeper_leave_count_gone(raft, now) > 1);
}

static const keeper_node_t *keeper_leave_find_leaving(const keeper_raft_t *raft)
{
	unsigned i;

	for (i = 0; i < raft->group.count; i++)
		if (raft->group.nodes[i].leaving)
			return &raft->group.nodes[i];
	return NULL;
}

/* Return the learner with this name, whose disk replaces that of a voter, or NULL. */
static keeper_peer_t *keeper_leave_find_learner(keeper_raft_t *raft,
						const char *name)
{
	unsigned i;

	for (i = 0; i < raft->peer_count; i++)
		if (raft->peers[i].learner &&
		    !strcmp(raft->peers[i].node.name, name))
			return &raft->peers[i];
	return NULL;
}

void keeper_leave_remove_marked(keeper_raft_t *raft, usec_t now)
{
	const keeper_node_t *node = keeper_leave_find_leaving(raft);
	keeper_peer_t *learner;

	if (!node || raft->role != KEEPER_LEADER)
		return;
	learner = keeper_leave_find_learner(raft, node->name);
	if (learner)
		keeper_change_promote(raft, learner, now);
	else
		keeper_raft_change_voter(raft, false, node->name, "", now);
}

void keeper_leave_prune(keeper_raft_t *raft, usec_t now)
{
	unsigned i;

	if (!raft->settings.auto_membership || raft->role != KEEPER_LEADER)
		return;
	keeper_leave_remove_marked(raft, now);
	for (i = 0; i < raft->group.count; i++) {
		const keeper_node_t *node = &raft->group.nodes[i];

		if (!keeper_leave_should_remove(raft, node, now))
			continue;
		keeper_raft_change_voter(raft, false, node->name, "", now);
		return;
	}
}

bool keeper_raft_may_leave(const keeper_raft_t *raft)
{
	if (!raft->settings.auto_membership || keeper_raft_is_fresh(raft) ||
	    raft->left)
		return false;
	if (!keeper_raft_is_voter(raft))
		return raft->role == KEEPER_LEADER;
	return keeper_change_count_voters(&raft->group) >
	       keeper_leave_voters_needed(raft);
}

void keeper_raft_leave(keeper_raft_t *raft, usec_t now)
{
	const keeper_node_t *leader = keeper_group_find(&raft->group,
							raft->leader);

	raft->leaving = true;
	if (!keeper_raft_may_leave(raft))
		return;
	if (raft->role == KEEPER_LEADER)
		keeper_leave_prune(raft, now);
	else if (leader)
		keeper_raft_queue_message(raft, leader, KEEPER_MSG_LEAVE);
}

/* As leader, remove a voter that stops, and confirm its removal once that is
 * committed. */
static void keeper_leave_release(keeper_raft_t *raft,
				 const keeper_message_t *message, usec_t now)
{
	keeper_peer_t *peer = keeper_raft_find_peer(raft, message->from,
						    message->from_incarnation);

	if (peer && !peer->learner) {
		peer->leaving_at = now;
		keeper_leave_prune(raft, now);
	} else if (!keeper_group_find(&raft->group, message->from) &&
		   raft->group_index <= raft->commit) {
		keeper_raft_queue_reply(raft, message, KEEPER_MSG_LEAVE);
	}
}

void keeper_leave_on_request(keeper_raft_t *raft,
			     const keeper_message_t *message, usec_t now)
{
	if (raft->role == KEEPER_LEADER)
		keeper_leave_release(raft, message, now);
	else if (raft->leaving && !strcmp(message->from, raft->leader))
		raft->left = true;
}
