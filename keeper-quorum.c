#include <string.h>
#include "keeper-raft.h"

/*
 * Quorums of the voters. A quorum is a majority, or, in a group with an even number of
 * voters of which one's disk is known to be lost, half of them without that one.
 * Without the second rule a group of four, of which one voter is removed for good and
 * one loses its disk, has no quorum any more.
 *
 * Any two quorums of a group have a voter in common: a majority and a half overlap, and
 * a half leaves out a disk that was lost before the first of its votes was asked for. Of two
 * halves without a common voter each would include the disk that the other one leaves out, and
 * each of these disks would have been lost before the other one voted.
 *
 * A half and a quorum of a neighbouring group may have no voter in common, so half is
 * enough only if no other group can be committed that the candidate does not know of:
 *  - the voters are those of a committed group (keeper_quorum_is_settled());
 *  - a voter is added as a member without a vote first, and half is not enough while
 *    there is one;
 *  - a voter of an even group is marked as leaving in an entry before the one that
 *    removes it, and does not count for the half.
 */

/* What the voters of a group have reached, and what is needed. */
typedef struct {
	unsigned voters;
	uint64_t values[KEEPER_VOTERS_MAX];
	bool counts_for_half[KEEPER_VOTERS_MAX];
	bool lost; /* a voter's disk is lost */
} keeper_tally_t;

static void keeper_quorum_count_voter(keeper_tally_t *tally,
				      const keeper_raft_t *raft,
				      const keeper_node_t *node, uint64_t own,
				      uint64_t (*value)(const keeper_peer_t *))
{
	bool self = !strcmp(node->name, raft->settings.name) &&
		    node->incarnation == raft->settings.incarnation;
	const keeper_peer_t *peer = keeper_raft_find_peer((keeper_raft_t *)raft,
							  node->name,
							  node->incarnation);
	bool lost = peer && peer->lost;
	unsigned i = tally->voters++;

	if (self)
		tally->values[i] = own;
	else if (peer)
		tally->values[i] = value(peer);
	tally->counts_for_half[i] = !lost && !node->leaving;
	tally->lost |= lost;
}

/* Return the highest value that at least @needed voters have reached, and only those
 * that count for the half, if @half is set. */
static uint64_t keeper_quorum_reached(const keeper_tally_t *tally,
				      unsigned needed, bool half)
{
	uint64_t best = 0;
	unsigned i, j;

	for (i = 0; i < tally->voters; i++) {
		unsigned count = 0;

		for (j = 0; j < tally->voters; j++)
			count += tally->values[j] >= tally->values[i] &&
				 (!half || tally->counts_for_half[j]);
		if (count >= needed && tally->values[i] > best)
			best = tally->values[i];
	}
	return best;
}

/* True if the voters are the same disks, and each member of both groups is a voter. */
static bool keeper_quorum_same_voters(const keeper_group_t *a,
				      const keeper_group_t *b)
{
	unsigned i;

	for (i = 0; i < a->count; i++)
		if (!a->nodes[i].voter ||
		    !keeper_group_is_voter(b, a->nodes[i].name,
					   a->nodes[i].incarnation))
			return false;
	return a->count == b->count;
}

/* True if a group with the present voters is known to be committed, no other one was
 * appended since, and no member waits for a vote. */
static bool keeper_quorum_is_settled(const keeper_raft_t *raft)
{
	uint64_t index = raft->group_index;
	keeper_group_t group = raft->group;

	while (keeper_quorum_same_voters(&group, &raft->group)) {
		if (index <= raft->commit)
			return true;
		index = keeper_raft_group_at(raft, index - 1, &group);
	}
	return false;
}

static void keeper_quorum_tally(keeper_tally_t *tally,
				const keeper_raft_t *raft,
				const keeper_group_t *group, uint64_t own,
				uint64_t (*value)(const keeper_peer_t *peer))
{
	unsigned i;

	memset(tally, 0, sizeof(*tally));
	for (i = 0; i < group->count; i++)
		if (group->nodes[i].voter)
			keeper_quorum_count_voter(tally, raft, &group->nodes[i],
						  own, value);
}

uint64_t keeper_quorum_majority_value(
	const keeper_raft_t *raft, const keeper_group_t *group, uint64_t own,
	uint64_t (*value)(const keeper_peer_t *peer))
{
	keeper_tally_t tally;

	keeper_quorum_tally(&tally, raft, group, own, value);
	return keeper_quorum_reached(&tally, tally.voters / 2 + 1, false);
}

uint64_t keeper_quorum_value(const keeper_raft_t *raft, uint64_t own,
			     uint64_t (*value)(const keeper_peer_t *peer))
{
	keeper_tally_t tally;
	uint64_t majority, half;

	keeper_quorum_tally(&tally, raft, &raft->group, own, value);
	majority = keeper_quorum_reached(&tally, tally.voters / 2 + 1, false);
	if (!tally.lost || tally.voters % 2 || !keeper_quorum_is_settled(raft))
		return majority;
	half = keeper_quorum_reached(&tally, tally.voters / 2, true);
	return half > majority ? half : majority;
}
