#include <string.h>
#include "keeper-raft.h"

/*
 * Detection of lost disks. A keeper whose disk was replaced by an empty one sends JOIN
 * under its name with a new incarnation, so the disk that is a voter under this name
 * is lost. The replica records such messages in lost_disks (keeper.h), and marks the
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

static const keeper_node_t *keeper_lost_find_voter(const keeper_group_t *group,
						   const char *name)
{
	const keeper_node_t *node = keeper_group_find(group, name);

	return node && node->voter && node->incarnation ? node : NULL;
}

static keeper_lost_disk_t *keeper_lost_find(keeper_raft_t *raft,
					    const char *name)
{
	unsigned i;

	for (i = 0; i < raft->lost_count; i++)
		if (!strcmp(raft->lost_disks[i].name, name))
			return &raft->lost_disks[i];
	return NULL;
}

/* Return the record of this voter and this new disk; add it if there is none. */
static keeper_lost_disk_t *keeper_lost_add(keeper_raft_t *raft,
					   const keeper_node_t *voter,
					   uint64_t successor, usec_t now)
{
	keeper_lost_disk_t *disk = keeper_lost_find(raft, voter->name);

	if (disk && disk->incarnation == voter->incarnation &&
	    disk->successor == successor)
		return disk;
	if (!disk && raft->lost_count == KEEPER_VOTERS_MAX)
		raft->lost_count = 0;
	if (!disk)
		disk = &raft->lost_disks[raft->lost_count++];
	strcpy(disk->name, voter->name);
	disk->incarnation = voter->incarnation;
	disk->successor = successor;
	disk->first_seen = now;
	return disk;
}

void keeper_lost_on_join(keeper_raft_t *raft, const keeper_message_t *message,
			 usec_t now)
{
	const keeper_node_t *voter = keeper_lost_find_voter(&raft->group,
							    message->from);

	if (!raft->settings.auto_membership || !voter ||
	    voter->incarnation == message->from_incarnation ||
	    message->body.keeper_message_body_t_u.join.relayed)
		return;
	keeper_lost_add(raft, voter, message->from_incarnation, now)
		->last_seen = now;
}

void keeper_lost_on_message(keeper_raft_t *raft,
			    const keeper_message_t *message)
{
	keeper_lost_disk_t *disk = keeper_lost_find(raft, message->from);

	if (disk && disk->incarnation == message->from_incarnation)
		*disk = raft->lost_disks[--raft->lost_count];
}

static bool keeper_lost_is_known(keeper_raft_t *raft, const keeper_node_t *node,
				 usec_t now)
{
	const keeper_lost_disk_t *disk = keeper_lost_find(raft, node->name);
	usec_t timeout = raft->settings.election_timeout;

	return disk && disk->incarnation == node->incarnation &&
	       disk->last_seen - disk->first_seen >=
		       KEEPER_LOST_REPEATED_TIMEOUTS * timeout &&
	       now - disk->last_seen <= KEEPER_LOST_MAX_AGE_TIMEOUTS * timeout;
}

void keeper_lost_mark_peers(keeper_raft_t *raft, usec_t now)
{
	unsigned i;

	for (i = 0; i < raft->peer_count; i++)
		raft->peers[i].lost = keeper_lost_is_known(raft,
							   &raft->peers[i].node,
							   now);
}

unsigned keeper_lost_count(const keeper_raft_t *raft)
{
	unsigned count = 0, i;

	for (i = 0; i < raft->peer_count; i++)
		count += raft->peers[i].lost;
	return count;
}
