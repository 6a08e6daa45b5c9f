#include <string.h>
#include "keeper-raft.h"

/*
 * Changes of the group by the leader, one difference of one voter at a time: a
 * member is added without a vote, gets one when it has caught up, and loses it when
 * it is removed or its disk is replaced.
 */

/* Election timeouts for which a voter counts as alive after an answer. */
#define KEEPER_CHANGE_ALIVE_TIMEOUTS 2

/* True if a leader may append a change of the group: only one is uncommitted at
 * a time, and an entry of the leader's term must be committed first. */
static bool keeper_change_is_possible(const keeper_raft_t *raft)
{
	return raft->role == KEEPER_LEADER &&
	       raft->commit >= raft->term_start &&
	       raft->group_index <= raft->commit;
}

/* True if the voter with this name still answers from the disk in the group.
 * Then two processes run under one name, and the new process must not replace
 * the voter. */
static bool keeper_change_name_in_use(keeper_raft_t *raft,
				      const keeper_node_t *node, usec_t now)
{
	const keeper_peer_t *peer = keeper_raft_find_peer(raft, node->name,
							  node->incarnation);

	return peer && peer->acked_at &&
	       now - peer->acked_at < 2 * raft->settings.election_timeout;
}

unsigned keeper_change_count_voters(const keeper_group_t *group)
{
	unsigned count = 0, i;

	for (i = 0; i < group->count; i++)
		count += group->nodes[i].voter;
	return count;
}

static uint64_t keeper_change_peer_acked_at(const keeper_peer_t *peer)
{
	return (uint64_t)peer->acked_at;
}

/* True if a majority of the voters of @group have answered lately. Without it the
 * group could never be committed, and the present one might be unable to elect a
 * leader, as the log of this replica would be newer than the others'. */
static bool keeper_change_is_alive(keeper_raft_t *raft,
				   const keeper_group_t *group, usec_t now)
{
	usec_t limit = now - KEEPER_CHANGE_ALIVE_TIMEOUTS *
				     raft->settings.election_timeout;

	return keeper_quorum_majority_value(raft, group, INT64_MAX,
					    keeper_change_peer_acked_at) >
	       (uint64_t)limit;
}

static void keeper_change_append(keeper_raft_t *raft,
				 const keeper_group_t *group, usec_t now)
{
	keeper_raft_append_group(raft, group);
	keeper_append_broadcast(raft, true, now);
}

/* Mark a voter as leaving in an entry of its own, if the number of voters is even and it
 * is not marked yet. The group without this voter may be appended only after the mark is
 * committed, by keeper_leave_remove_marked(): half of the voters may be a quorum
 * (keeper-quorum.c), and a candidate without the mark in its log could win an election
 * while the new group is being committed.
 *
 * Return: true if the mark was appended. */
static bool keeper_change_mark_leaving(keeper_raft_t *raft, const char *name,
				       usec_t now)
{
	keeper_group_t group = raft->group;
	keeper_node_t *node = keeper_group_find(&group, name);

	if (!raft->settings.auto_membership || node->leaving ||
	    keeper_change_count_voters(&group) % 2)
		return false;
	node->leaving = true;
	keeper_change_append(raft, &group, now);
	return true;
}

void keeper_change_promote(keeper_raft_t *raft, const keeper_peer_t *peer,
			   usec_t now)
{
	keeper_group_t group = raft->group;
	keeper_node_t *node = keeper_group_find(&group, peer->node.name);

	if (!node || peer->match_index < raft->commit ||
	    !keeper_change_is_possible(raft))
		return;
	if (node->voter) {
		if (keeper_change_name_in_use(raft, node, now))
			return;
		/* The old disk loses its vote in an entry before the one that
		 * gives a vote to the new disk. */
		node->voter = node->leaving = false;
		node->incarnation = 0;
		if (!keeper_change_is_alive(raft, &group, now) ||
		    keeper_change_mark_leaving(raft, node->name, now))
			return;
	} else {
		*node = peer->node;
		node->voter = true;
	}
	keeper_change_append(raft, &group, now);
}

/* Add a member; with @initial it belongs to the first start of the group. */
static bool keeper_change_add_member(keeper_group_t *group, const char *name,
				     const char *address, bool initial)
{
	keeper_node_t *node;

	if (group->count == KEEPER_VOTERS_MAX)
		return false;
	node = &group->nodes[group->count++];
	memset(node, 0, sizeof(*node));
	strcpy(node->name, name);
	strcpy(node->address, address);
	if (initial && group->initial_size &&
	    group->initial_size < KEEPER_VOTERS_MAX)
		group->initial_size++;
	return true;
}

static bool keeper_change_remove_member(keeper_group_t *group,
					keeper_node_t *node)
{
	if (node->voter && keeper_change_count_voters(group) == 1)
		return false;
	*node = group->nodes[--group->count];
	return true;
}

keeper_status_t keeper_change_add(keeper_raft_t *raft, const char *name,
				  const char *address, bool initial, usec_t now)
{
	keeper_group_t group = raft->group;

	if (!keeper_change_is_possible(raft) || !hl_name_valid(name) ||
	    !keeper_change_add_member(&group, name, address, initial) ||
	    !keeper_change_is_alive(raft, &group, now))
		return KEEPER_BUSY;
	keeper_change_append(raft, &group, now);
	return KEEPER_OK;
}

/* Remove a member, or mark it as leaving first. */
static keeper_status_t keeper_change_remove(keeper_raft_t *raft,
					    const char *name, usec_t now)
{
	keeper_group_t group = raft->group;
	keeper_node_t *node = keeper_group_find(&group, name);
	bool voter = node->voter;

	if (!keeper_change_is_possible(raft) ||
	    !keeper_change_remove_member(&group, node) ||
	    !keeper_change_is_alive(raft, &group, now))
		return KEEPER_BUSY;
	if (!voter || !keeper_change_mark_leaving(raft, name, now))
		keeper_change_append(raft, &group, now);
	return KEEPER_OK;
}

keeper_status_t keeper_raft_change_voter(keeper_raft_t *raft, bool add,
					 const char *name, const char *address,
					 usec_t now)
{
	if (raft->role != KEEPER_LEADER)
		return KEEPER_NOT_LEADER;
	if (add == (keeper_group_find(&raft->group, name) != NULL))
		return KEEPER_OK;
	if (add)
		return keeper_change_add(raft, name, address, false, now);
	return keeper_change_remove(raft, name, now);
}
