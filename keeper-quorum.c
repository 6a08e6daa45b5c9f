#include <string.h>
#include "keeper-raft.h"

/*
 * Quorums for elections, commits and the leader's lease. A quorum is a majority of the
 * voters of the newest group. In a group with an even number of voters, half of them is
 * a quorum too if the disk of a voter outside that half is known to be lost
 * (keeper-lost.c). So four voters tolerate that one is removed and another one loses its
 * disk at the same time.
 *
 * Any two quorums of one group intersect. A majority and a half do, as together they are
 * more than all voters. Two disjoint halves can't both be quorums: each would contain the
 * voter whose disk the other half considers lost. A candidate only leaves out a disk that was
 * lost before it requested votes, so each of the two voters would have voted after the
 * other one's disk was lost.
 *
 * Groups that follow one another in the log differ by one voter. A majority of one and
 * a half of the other may be disjoint, so a half is a quorum only if the candidate
 * knows of each change of its group that may be committed:
 *  - the newest group, or an earlier one with the same voters, is committed
 *    (keeper_quorum_is_settled());
 *  - every member has a vote. A new voter is first added as a member without one;
 *  - voters that are marked as leaving are not part of the half. A voter of a group with
 *    an even number of them is marked before it is removed
 *    (keeper_change_mark_leaving()).
 */

/* The values that are compared to find a quorum, one for each voter of a group. */
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

/* Return the highest value that at least @needed voters have reached. With @half set,
 * only voters that may be part of a half are counted. */
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

/* True if both groups have the same disks as voters and no member without a vote. */
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

/* True if every member of the newest group has a vote, and that group or an earlier one
 * with the same voters is committed, without another group between them in the log. */
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
