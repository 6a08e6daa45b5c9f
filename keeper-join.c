#include <stdlib.h>
#include <string.h>
#include "keeper-raft.h"

/*
 * How members join the group. A keeper sends JOIN messages while its disk is not a
 * voter, or may have been removed as one. A leader that receives one replicates its log
 * to the sender, and makes it a voter once it has caught up (keeper-change.c).
 */

/* Election timeouts without a message of a leader after which a voter sends
 * JOIN, since the group may have removed it. */
#define KEEPER_JOIN_LOST_TIMEOUTS 3

static void keeper_join_send_request(keeper_raft_t *raft, const char *name,
				     const char *address)
{
	const keeper_joining_member_t *member =
		keeper_bootstrap_find_member(raft, name);
	keeper_node_t to = { 0 };
	keeper_message_t *message;
	keeper_join_t *join;

	if (!strcmp(name, raft->settings.name))
		return;
	strcpy(to.name, name);
	strcpy(to.address, address);
	to.incarnation = member ? member->node.incarnation : 0;
	message = keeper_raft_queue_message(raft, &to, KEEPER_MSG_JOIN);
	if (!message)
		return;
	join = &message->body.keeper_message_body_t_u.join;
	join->address = strdup(raft->settings.address);
	/* A disk that replaces a founder's first one does not count for the
	 * bootstrap: it has forgotten the votes of that one. */
	join->fresh = keeper_raft_is_fresh(raft) &&
		      raft->settings.may_bootstrap;
	join->founders_hash = keeper_bootstrap_founders_hash(&raft->settings);
}

void keeper_join_send_requests(keeper_raft_t *raft, usec_t now)
{
	const keeper_group_t *group = &raft->group;
	unsigned i;

	(void)now;
	for (i = 0; i < raft->settings.founder_count; i++)
		keeper_join_send_request(raft, raft->settings.founders[i], "");
	for (i = 0; i < group->count; i++)
		if (!keeper_bootstrap_is_founder(&raft->settings,
						 group->nodes[i].name))
			keeper_join_send_request(raft, group->nodes[i].name,
						 group->nodes[i].address);
}

bool keeper_join_lost_leader(const keeper_raft_t *raft, usec_t now)
{
	return raft->settings.auto_membership && raft->role != KEEPER_LEADER &&
	       now - raft->leader_last_seen >
		       KEEPER_JOIN_LOST_TIMEOUTS *
			       raft->settings.election_timeout;
}

/* Replicate the log to the sender's disk as a learner. It replaces an earlier
 * learner of the same name on another disk. */
static void keeper_join_add_learner(keeper_raft_t *raft,
				    const keeper_message_t *message,
				    const char *address, usec_t now)
{
	keeper_node_t node = { 0 };
	keeper_peer_t *peer;
	unsigned i;

	if (keeper_raft_find_peer(raft, message->from,
				  message->from_incarnation))
		return;
	strcpy(node.name, message->from);
	strcpy(node.address, address);
	node.incarnation = message->from_incarnation;
	for (i = 0; i < raft->peer_count; i++) {
		peer = &raft->peers[i];
		if (peer->learner && !strcmp(peer->node.name, node.name)) {
			*peer = raft->peers[--raft->peer_count];
			break;
		}
	}
	peer = keeper_raft_add_peer(raft, &node);
	if (!peer)
		return;
	peer->learner = true;
	keeper_append_send(raft, peer, now);
}

/* As a follower, forward a JOIN message to the leader, unless another member
 * has already forwarded it. */
static void keeper_join_relay(keeper_raft_t *raft,
			      const keeper_message_t *message)
{
	const keeper_join_t *join = &message->body.keeper_message_body_t_u.join;
	const keeper_node_t *leader;
	keeper_message_t *out;
	char *from;

	leader = keeper_group_find(&raft->group, raft->leader);
	if (!raft->settings.auto_membership || join->relayed || !leader)
		return;
	from = strdup(message->from);
	out = from ? keeper_raft_queue_message(raft, leader, KEEPER_MSG_JOIN) :
		     NULL;
	if (!out) {
		free(from);
		return;
	}
	free(out->from);
	out->from = from;
	out->from_incarnation = message->from_incarnation;
	out->term = message->term;
	out->body.keeper_message_body_t_u.join = *join;
	out->body.keeper_message_body_t_u.join.address = strdup(join->address);
	out->body.keeper_message_body_t_u.join.relayed = true;
}

/* True if the sender belongs to the first start of the group: first_start is set, its
 * disk is empty, and its seeds are those of this replica. The seeds of a keeper that
 * replaces another one later differ. */
static bool keeper_join_is_initial(const keeper_raft_t *raft,
				   const keeper_join_t *join)
{
	return join->fresh &&
	       join->founders_hash ==
		       keeper_bootstrap_founders_hash(&raft->settings);
}

/* As leader, add the sender to the group if it is not a member, and replicate
 * the log to it. */
static void keeper_join_admit(keeper_raft_t *raft,
			      const keeper_message_t *message, usec_t now)
{
	const keeper_join_t *join = &message->body.keeper_message_body_t_u.join;

	if (raft->settings.auto_membership &&
	    !keeper_group_find(&raft->group, message->from))
		keeper_change_add(raft, message->from, join->address,
				  keeper_join_is_initial(raft, join), now);
	if (keeper_group_find(&raft->group, message->from))
		keeper_join_add_learner(raft, message, join->address, now);
}

bool keeper_join_on_request(keeper_raft_t *raft,
			    const keeper_message_t *message, usec_t now)
{
	if (!message->from_incarnation)
		return false;
	if (keeper_raft_is_fresh(raft)) {
		keeper_bootstrap_record(raft, message, now);
		return true;
	}
	keeper_lost_on_join(raft, message, now);
	keeper_bootstrap_resolve(raft, message, now);
	if (raft->role == KEEPER_LEADER)
		keeper_join_admit(raft, message, now);
	else
		keeper_join_relay(raft, message);
	return true;
}

void keeper_join_on_candidate(keeper_raft_t *raft,
			      const keeper_message_t *message, usec_t now)
{
	const keeper_node_t *node = keeper_group_find(&raft->group,
						      message->from);

	if (raft->role == KEEPER_LEADER && node && !node->voter)
		keeper_join_add_learner(raft, message, message->from_address,
					now);
}

void keeper_join_on_other_disk(keeper_raft_t *raft,
			       const keeper_message_t *message)
{
	if (!keeper_raft_is_voter(raft) && !raft->leaving)
		keeper_join_send_request(raft, message->from,
					 message->from_address);
}
