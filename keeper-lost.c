#include <string.h>
#include "keeper-raft.h"

/*
 * Voters whose disks are known to be lost: a keeper of the same name asks to join with
 * another disk. The replica keeps them in lost_disks (keeper.h) and marks the peers
 * when it campaigns; see keeper-quorum.c for what that changes.
 */

/* Election timeouts between the first JOIN message and the newest one. One that comes
 * late, from a disk before that of the voter, is not repeated so long. */
#define KEEPER_LOST_REPEATED_TIMEOUTS 1
/* Maximum age of the newest JOIN message in election timeouts. A replica that no
 * setting names gets one when it campaigns, so less than two of them apart. */
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

/* Return the record of a name: that of the same disks, or a new one. */
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
