#include "keeper-raft.h"

/*
 * Detection of lost disks. A keeper whose disk was replaced by an empty one sends JOIN
 * under its name with a new incarnation, so the disk that is a voter under this name
 * is lost. The replica records such messages in the peer of the voter, and marks the
 * peers that are lost when it starts an election; keeper-quorum.c evaluates the marks.
 */

/* Minimum time between the first and the newest JOIN message from the new disk, in
 * election timeouts. A single message may be delayed and come from a disk that was used
 * before the voter's. */
#define KEEPER_LOST_REPEATED_TIMEOUTS 1
/* Maximum age of the newest JOIN message, in election timeouts. A replica that is not
 * in the sender's seeds receives JOIN only as a response to its own vote requests, at most
 * two election timeouts apart. */
#define KEEPER_LOST_MAX_AGE_TIMEOUTS 4

void keeper_lost_on_join(keeper_raft_t *raft, const keeper_message_t *message,
			 usec_t now)
{
	const keeper_node_t *voter = keeper_group_find(&raft->group,
						       message->from);
	keeper_peer_t *peer;

	if (!raft->settings.auto_membership || !voter || !voter->voter ||
	    voter->incarnation == message->from_incarnation ||
	    message->body.keeper_message_body_t_u.join.relayed)
		return;
	peer = keeper_raft_find_peer(raft, voter->name, voter->incarnation);
	if (!peer || !voter->incarnation)
		return;
	if (peer->successor != message->from_incarnation)
		peer->successor_first_seen = now;
	peer->successor = message->from_incarnation;
	peer->successor_last_seen = now;
}

void keeper_lost_on_message(keeper_raft_t *raft,
			    const keeper_message_t *message)
{
	keeper_peer_t *peer = keeper_raft_find_peer(raft, message->from,
						    message->from_incarnation);

	if (peer)
		peer->successor = 0;
}

static bool keeper_lost_is_known(const keeper_peer_t *peer, usec_t timeout,
				 usec_t now)
{
	return peer->successor &&
	       peer->successor_last_seen - peer->successor_first_seen >=
		       KEEPER_LOST_REPEATED_TIMEOUTS * timeout &&
	       now - peer->successor_last_seen <=
		       KEEPER_LOST_MAX_AGE_TIMEOUTS * timeout;
}

void keeper_lost_mark_peers(keeper_raft_t *raft, usec_t now)
{
	unsigned i;

	for (i = 0; i < raft->peer_count; i++)
		raft->peers[i].lost = keeper_lost_is_known(
			&raft->peers[i], raft->settings.election_timeout, now);
}

unsigned keeper_lost_count(const keeper_raft_t *raft)
{
	unsigned count = 0, i;

	for (i = 0; i < raft->peer_count; i++)
		count += raft->peers[i].lost;
	return count;
}
