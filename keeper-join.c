#include <stdlib.h>
#include <string.h>
#include "keeper-raft.h"

/*
 * Bootstrap of the group, and how members join and leave it. A keeper sends
 * JOIN messages while its disk is not a voter, or may have been removed as one.
 * Founders with empty disks learn each other's disks from them, and elect a first
 * leader by a majority of all founders, which appends the first group; a leader
 * that receives one replicates its log to the sender and makes it a voter once
 * it has caught up. The state is in keeper_raft_t (keeper.h).
 */

/* Maximum age, in heartbeat intervals, of a JOIN message that counts for the
 * bootstrap of the group. */
#define KEEPER_JOIN_MAX_AGE_HEARTBEATS 10
/* Time for which a founder waits for JOIN messages of all others, from its start on.
 * Founders that start together are seen within a few heartbeats. */
#define KEEPER_JOIN_FOUNDERS_WAIT (2 * USEC_PER_SEC)
/* Mixed into the hash of the founders. Builds with another rule for the bootstrap
 * have another number or none, and create no group with this one. */
#define KEEPER_JOIN_BOOTSTRAP_RULE 2
/* Election timeouts without a message of a leader after which a voter sends
 * JOIN, since the group may have removed it. */
#define KEEPER_JOIN_LOST_TIMEOUTS 3
/* Minimum number of voters that automatic removal by the leader leaves, whatever
 * the fault tolerance is. */
#define KEEPER_JOIN_VOTERS_MIN 3u
/* Election timeouts without an answer before a voter is removed from a group
 * with more voters than its fault tolerance needs. */
#define KEEPER_JOIN_VOTER_SILENT_TIMEOUTS 3
/* Election timeouts for which a voter counts as alive after an answer. */
#define KEEPER_JOIN_ALIVE_TIMEOUTS 2
/* Election timeouts without an answer before a member that has not become a
 * voter is removed. */
#define KEEPER_JOIN_LEARNER_SILENT_TIMEOUTS 10

static int keeper_join_compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

/* Hash the names of the founders and of the cluster. JOIN carries the hash, and
 * a founder ignores senders whose hash differs from its own: they were started
 * with another list of founders. */
static uint64_t keeper_join_founders_hash(
	const keeper_raft_settings_t *settings)
{
	char names[KEEPER_VOTERS_MAX][HL_NAME_MAX] = { 0 };
	unsigned i;

	for (i = 0; i < settings->founder_count; i++)
		strcpy(names[i], settings->founders[i]);
	qsort(names, settings->founder_count, sizeof(names[0]),
	      keeper_join_compare_names);
	return hl_hash(names, sizeof(names),
		       settings->cluster + KEEPER_JOIN_BOOTSTRAP_RULE);
}

static keeper_joining_member_t *keeper_join_find_member(
	const keeper_raft_t *raft, const char *name)
{
	unsigned i;

	for (i = 0; i < raft->joining_count; i++)
		if (!strcmp(raft->joining_members[i].node.name, name))
			return (keeper_joining_member_t *)&raft
				->joining_members[i];
	return NULL;
}

static void keeper_join_send_request(keeper_raft_t *raft, const char *name,
				     const char *address)
{
	const keeper_joining_member_t *member = keeper_join_find_member(raft,
									name);
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
	join->founders_hash = keeper_join_founders_hash(&raft->settings);
}

static bool keeper_join_is_founder(const keeper_raft_settings_t *settings,
				   const char *name)
{
	unsigned i;

	for (i = 0; i < settings->founder_count; i++)
		if (!strcmp(settings->founders[i], name))
			return true;
	return false;
}

void keeper_join_send_requests(keeper_raft_t *raft, usec_t now)
{
	const keeper_group_t *group = &raft->group;
	unsigned i;

	(void)now;
	for (i = 0; i < raft->settings.founder_count; i++)
		keeper_join_send_request(raft, raft->settings.founders[i], "");
	for (i = 0; i < group->count; i++)
		if (!keeper_join_is_founder(&raft->settings,
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

/* Record a JOIN message that a keeper with an empty disk received, for the
 * bootstrap of the group. */
static void keeper_join_record(keeper_raft_t *raft,
			       const keeper_message_t *message, usec_t now)
{
	const keeper_join_t *join = &message->body.keeper_message_body_t_u.join;
	keeper_joining_member_t *member =
		keeper_join_find_member(raft, message->from);

	if (!member) {
		if (raft->joining_count == KEEPER_VOTERS_MAX)
			return;
		member = &raft->joining_members[raft->joining_count++];
	}
	memset(member, 0, sizeof(*member));
	strcpy(member->node.name, message->from);
	strcpy(member->node.address, join->address);
	member->node.incarnation = message->from_incarnation;
	member->node.voter = true;
	member->term = message->term;
	member->founders_hash = join->founders_hash;
	member->fresh = join->fresh;
	member->knows_incarnation = message->to_incarnation ==
				    raft->settings.incarnation;
	member->last_seen = now;
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

bool keeper_join_resolve_founders(const keeper_raft_t *raft,
				  keeper_group_t *group)
{
	uint64_t hash = keeper_join_founders_hash(&raft->settings);
	bool resolved = false;
	unsigned i;

	for (i = 0; i < group->count; i++) {
		const keeper_joining_member_t *member;
		keeper_node_t *node = &group->nodes[i];

		member = keeper_join_find_member(raft, node->name);
		if (!node->voter || node->incarnation || !member ||
		    !member->fresh || member->founders_hash != hash)
			continue;
		*node = member->node;
		resolved = true;
	}
	return resolved;
}

void keeper_join_append_resolved(keeper_raft_t *raft)
{
	keeper_group_t group = raft->group;

	if (raft->group_resolved)
		keeper_raft_append_group(raft, &group);
}

/* Record a JOIN message of the first disk of a founder that the group has as a voter
 * without a disk, and set it there. */
static void keeper_join_resolve(keeper_raft_t *raft,
				const keeper_message_t *message, usec_t now)
{
	const keeper_node_t *node = keeper_group_find(&raft->group,
						      message->from);

	if (!message->body.keeper_message_body_t_u.join.fresh || !node ||
	    !node->voter || node->incarnation)
		return;
	keeper_join_record(raft, message, now);
	keeper_raft_load_group(raft);
	if (raft->role != KEEPER_LEADER || !raft->group_resolved)
		return;
	keeper_join_append_resolved(raft);
	keeper_append_broadcast(raft, true, now);
}

/* True if a leader may append a change of the group: only one is uncommitted at
 * a time, and an entry of the leader's term must be committed first. */
static bool keeper_join_can_change_group(const keeper_raft_t *raft)
{
	return raft->role == KEEPER_LEADER &&
	       raft->commit >= raft->term_start &&
	       raft->group_index <= raft->commit;
}

/* True if the voter with this name still answers from the disk in the group.
 * Then two processes run under one name, and the new process must not replace
 * the voter. */
static bool keeper_join_name_in_use(keeper_raft_t *raft,
				    const keeper_node_t *node, usec_t now)
{
	const keeper_peer_t *peer = keeper_raft_find_peer(raft, node->name,
							  node->incarnation);

	return peer && peer->acked_at &&
	       now - peer->acked_at < 2 * raft->settings.election_timeout;
}

static unsigned keeper_join_count_voters(const keeper_group_t *group)
{
	unsigned count = 0, i;

	for (i = 0; i < group->count; i++)
		count += group->nodes[i].voter;
	return count;
}

static uint64_t keeper_join_peer_acked_at(const keeper_peer_t *peer)
{
	return (uint64_t)peer->acked_at;
}

/* True if a majority of the voters of @group have answered lately. Without it the
 * group could never be committed, and the present one might be unable to elect a
 * leader, as the log of this replica would be newer than the others'. */
static bool keeper_join_is_alive(keeper_raft_t *raft,
				 const keeper_group_t *group, usec_t now)
{
	usec_t limit = now - KEEPER_JOIN_ALIVE_TIMEOUTS *
				     raft->settings.election_timeout;

	return keeper_quorum_majority_value(raft, group, INT64_MAX,
					    keeper_join_peer_acked_at) >
	       (uint64_t)limit;
}

static void keeper_join_append_group(keeper_raft_t *raft,
				     const keeper_group_t *group, usec_t now)
{
	keeper_raft_append_group(raft, group);
	keeper_append_broadcast(raft, true, now);
}

/* Before a voter of an even group is removed, an entry must say so: half of the voters
 * may elect a leader (keeper-quorum.c), and must know of the group without it. Append
 * that entry if the group in force lacks it, and return true.
 * keeper_join_remove_leaving() goes on once it is committed. */
static bool keeper_join_mark_leaving(keeper_raft_t *raft, const char *name,
				     usec_t now)
{
	keeper_group_t group = raft->group;
	keeper_node_t *node = keeper_group_find(&group, name);

	if (!raft->settings.auto_membership || node->leaving ||
	    keeper_join_count_voters(&group) % 2)
		return false;
	node->leaving = true;
	keeper_join_append_group(raft, &group, now);
	return true;
}

void keeper_join_promote(keeper_raft_t *raft, const keeper_peer_t *peer,
			 usec_t now)
{
	keeper_group_t group = raft->group;
	keeper_node_t *node = keeper_group_find(&group, peer->node.name);

	if (!node || peer->match_index < raft->commit ||
	    !keeper_join_can_change_group(raft))
		return;
	if (node->voter) {
		if (keeper_join_name_in_use(raft, node, now))
			return;
		/* The old disk loses its vote in an entry before the one that
		 * gives a vote to the new disk. */
		node->voter = node->leaving = false;
		node->incarnation = 0;
		if (!keeper_join_is_alive(raft, &group, now) ||
		    keeper_join_mark_leaving(raft, node->name, now))
			return;
	} else {
		*node = peer->node;
		node->voter = true;
	}
	keeper_join_append_group(raft, &group, now);
}

/* Add a member; @first if it is one of the first start. */
static bool keeper_join_add_member(keeper_group_t *group, const char *name,
				   const char *address, bool first)
{
	keeper_node_t *node;

	if (group->count == KEEPER_VOTERS_MAX)
		return false;
	node = &group->nodes[group->count++];
	memset(node, 0, sizeof(*node));
	strcpy(node->name, name);
	strcpy(node->address, address);
	if (first && group->first_size && group->first_size < KEEPER_VOTERS_MAX)
		group->first_size++;
	return true;
}

static bool keeper_join_remove_member(keeper_group_t *group,
				      keeper_node_t *node)
{
	if (node->voter && keeper_join_count_voters(group) == 1)
		return false;
	*node = group->nodes[--group->count];
	return true;
}

/* Add a member, which is not one yet; it votes once its disk has joined. */
static keeper_status_t keeper_join_add(keeper_raft_t *raft, const char *name,
				       const char *address, bool first,
				       usec_t now)
{
	keeper_group_t group = raft->group;

	if (!keeper_join_can_change_group(raft) || !hl_name_valid(name) ||
	    !keeper_join_add_member(&group, name, address, first) ||
	    !keeper_join_is_alive(raft, &group, now))
		return KEEPER_BUSY;
	keeper_join_append_group(raft, &group, now);
	return KEEPER_OK;
}

/* Remove a member, or mark it as leaving first. */
static keeper_status_t keeper_join_remove(keeper_raft_t *raft, const char *name,
					  usec_t now)
{
	keeper_group_t group = raft->group;
	keeper_node_t *node = keeper_group_find(&group, name);
	bool voter = node->voter;

	if (!keeper_join_can_change_group(raft) ||
	    !keeper_join_remove_member(&group, node) ||
	    !keeper_join_is_alive(raft, &group, now))
		return KEEPER_BUSY;
	if (!voter || !keeper_join_mark_leaving(raft, name, now))
		keeper_join_append_group(raft, &group, now);
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
		return keeper_join_add(raft, name, address, false, now);
	return keeper_join_remove(raft, name, now);
}

/* As leader, add the sender to the group if it is not a member, and replicate
 * the log to it. */
static void keeper_join_admit(keeper_raft_t *raft,
			      const keeper_message_t *message, usec_t now)
{
	const keeper_join_t *join = &message->body.keeper_message_body_t_u.join;

	if (raft->settings.auto_membership &&
	    !keeper_group_find(&raft->group, message->from))
		keeper_join_add(raft, message->from, join->address, join->fresh,
				now);
	if (keeper_group_find(&raft->group, message->from))
		keeper_join_add_learner(raft, message, join->address, now);
}

bool keeper_join_on_request(keeper_raft_t *raft,
			    const keeper_message_t *message, usec_t now)
{
	if (!message->from_incarnation)
		return false;
	if (keeper_raft_is_fresh(raft)) {
		keeper_join_record(raft, message, now);
		return true;
	}
	keeper_lost_on_join(raft, message, now);
	keeper_join_resolve(raft, message, now);
	if (raft->role == KEEPER_LEADER)
		keeper_join_admit(raft, message, now);
	else
		keeper_join_relay(raft, message);
	return true;
}

/* Return when a member last answered under any of its disks; 0 if never. */
static usec_t keeper_join_acked_at(keeper_raft_t *raft, const char *name)
{
	usec_t acked = 0;
	unsigned i;

	for (i = 0; i < raft->peer_count; i++)
		if (!strcmp(raft->peers[i].node.name, name) &&
		    raft->peers[i].acked_at > acked)
			acked = raft->peers[i].acked_at;
	return acked;
}

/* Number of voters that the fault tolerance needs: what a majority of them has
 * on its disks is kept if that many disks are lost. With fewer voters it might
 * not be, so silent ones that may return must remain. The members of the first start
 * bear no more than their number allows, and that is taken if no setting says less. */
static unsigned keeper_join_voters_needed(const keeper_raft_t *raft)
{
	unsigned needed = 2 * raft->settings.fault_tolerance + 1;
	unsigned first_size = raft->group.first_size;

	if (first_size &&
	    (!raft->settings.fault_tolerance || needed > first_size))
		needed = first_size - (first_size % 2 == 0);
	if (needed < KEEPER_JOIN_VOTERS_MIN)
		return KEEPER_JOIN_VOTERS_MIN;
	return needed < KEEPER_VOTERS_MAX ? needed : KEEPER_VOTERS_MAX;
}

/* Return how long a member has not answered this leader. */
static usec_t keeper_join_silence(keeper_raft_t *raft, const char *name,
				  usec_t now)
{
	usec_t silent = now - keeper_join_acked_at(raft, name);

	return now - raft->elected_at < silent ? now - raft->elected_at :
						 silent;
}

/* True if a voter has been silent for long, or has said that it stops. */
static bool keeper_join_is_gone(keeper_raft_t *raft, const keeper_node_t *node,
				usec_t now)
{
	usec_t limit = KEEPER_JOIN_VOTER_SILENT_TIMEOUTS *
		       raft->settings.election_timeout;
	const keeper_peer_t *peer;

	if (!strcmp(node->name, raft->settings.name))
		return raft->leaving;
	peer = keeper_raft_find_peer(raft, node->name, node->incarnation);
	return (peer && peer->leaving_at && now - peer->leaving_at < limit) ||
	       keeper_join_silence(raft, node->name, now) > limit;
}

static unsigned keeper_join_count_gone(keeper_raft_t *raft, usec_t now)
{
	unsigned count = 0, i;

	for (i = 0; i < raft->group.count; i++)
		count += raft->group.nodes[i].voter &&
			 keeper_join_is_gone(raft, &raft->group.nodes[i], now);
	return count;
}

/* True if the leader should remove a member: one that is not a voter and silent, or
 * a voter that is gone and that the fault tolerance does not need. Voters that are
 * gone count for the majority, so with one whose successor has joined the group
 * tolerates fewer failures. Of an odd number of voters one is removed only if
 * another one follows, as the majority of one voter less is as large. */
static bool keeper_join_should_remove(keeper_raft_t *raft,
				      const keeper_node_t *node, usec_t now)
{
	unsigned voters = keeper_join_count_voters(&raft->group);
	usec_t limit = KEEPER_JOIN_LEARNER_SILENT_TIMEOUTS *
		       raft->settings.election_timeout;

	if (!node->voter)
		return keeper_join_silence(raft, node->name, now) > limit;
	return voters > keeper_join_voters_needed(raft) &&
	       keeper_join_is_gone(raft, node, now) &&
	       (voters % 2 == 0 || keeper_join_count_gone(raft, now) > 1);
}

static const keeper_node_t *keeper_join_find_leaving(const keeper_raft_t *raft)
{
	unsigned i;

	for (i = 0; i < raft->group.count; i++)
		if (raft->group.nodes[i].leaving)
			return &raft->group.nodes[i];
	return NULL;
}

/* Return the peer that joins under a name with another disk, or NULL. */
static keeper_peer_t *keeper_join_find_learner(keeper_raft_t *raft,
					       const char *name)
{
	unsigned i;

	for (i = 0; i < raft->peer_count; i++)
		if (raft->peers[i].learner &&
		    !strcmp(raft->peers[i].node.name, name))
			return &raft->peers[i];
	return NULL;
}

void keeper_join_remove_leaving(keeper_raft_t *raft, usec_t now)
{
	const keeper_node_t *node = keeper_join_find_leaving(raft);
	keeper_peer_t *learner;
	char name[HL_NAME_MAX];

	if (!node || raft->role != KEEPER_LEADER)
		return;
	strcpy(name, node->name);
	learner = keeper_join_find_learner(raft, name);
	if (learner)
		keeper_join_promote(raft, learner, now);
	else
		keeper_raft_change_voter(raft, false, name, "", now);
}

void keeper_join_prune(keeper_raft_t *raft, usec_t now)
{
	unsigned i;

	if (!raft->settings.auto_membership || raft->role != KEEPER_LEADER)
		return;
	keeper_join_remove_leaving(raft, now);
	for (i = 0; i < raft->group.count; i++) {
		const keeper_node_t *node = &raft->group.nodes[i];

		if (!keeper_join_should_remove(raft, node, now))
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
	return keeper_join_count_voters(&raft->group) >
	       keeper_join_voters_needed(raft);
}

void keeper_raft_leave(keeper_raft_t *raft, usec_t now)
{
	const keeper_node_t *leader = keeper_group_find(&raft->group,
							raft->leader);

	raft->leaving = true;
	if (!keeper_raft_may_leave(raft))
		return;
	if (raft->role == KEEPER_LEADER)
		keeper_join_prune(raft, now);
	else if (leader)
		keeper_raft_queue_message(raft, leader, KEEPER_MSG_LEAVE);
}

/* As leader, remove a voter that stops, and confirm its removal once that is
 * committed. */
static void keeper_join_release(keeper_raft_t *raft,
				const keeper_message_t *message, usec_t now)
{
	keeper_peer_t *peer = keeper_raft_find_peer(raft, message->from,
						    message->from_incarnation);

	if (peer && !peer->learner) {
		peer->leaving_at = now;
		keeper_join_prune(raft, now);
	} else if (!keeper_group_find(&raft->group, message->from) &&
		   raft->group_index <= raft->commit) {
		keeper_raft_queue_reply(raft, message, KEEPER_MSG_LEAVE);
	}
}

void keeper_join_on_leave(keeper_raft_t *raft, const keeper_message_t *message,
			  usec_t now)
{
	if (raft->role == KEEPER_LEADER)
		keeper_join_release(raft, message, now);
	else if (raft->leaving && !strcmp(message->from, raft->leader))
		raft->left = true;
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

/* Return the JOIN message of a founder that counts for the bootstrap of the group:
 * it is recent and addressed to this disk, and the sender's disk is its first one,
 * has an empty log and the same list of founders. Return NULL if there is none. */
static const keeper_joining_member_t *keeper_join_find_founder(
	const keeper_raft_t *raft, const char *name, usec_t now)
{
	const keeper_raft_settings_t *settings = &raft->settings;
	const keeper_joining_member_t *member = keeper_join_find_member(raft,
									name);
	usec_t limit = KEEPER_JOIN_MAX_AGE_HEARTBEATS *
		       settings->heartbeat_interval;

	if (!member || !member->fresh || !member->knows_incarnation ||
	    now - member->last_seen > limit ||
	    member->founders_hash != keeper_join_founders_hash(settings))
		return NULL;
	return member;
}

/* Fill in the group of the founders, as voters all of them: a majority of these is
 * needed, so that no second group can be created. Those that have not joined have
 * incarnation 0. Return the number of those that count for the bootstrap. */
static unsigned keeper_join_collect_founders(const keeper_raft_t *raft,
					     keeper_group_t *group, usec_t now)
{
	const keeper_raft_settings_t *settings = &raft->settings;
	unsigned seen = 1, i;

	memset(group, 0, sizeof(*group));
	group->first_size = settings->founder_count;
	for (i = 0; i < settings->founder_count; i++) {
		keeper_node_t *node = &group->nodes[group->count++];

		strcpy(node->name, settings->founders[i]);
		strcpy(node->address, settings->founder_addresses[i]);
		node->voter = true;
		if (!strcmp(node->name, settings->name)) {
			strcpy(node->address, settings->address);
			node->incarnation = settings->incarnation;
		} else if (keeper_join_find_founder(raft, node->name, now)) {
			seen++;
		}
	}
	keeper_join_resolve_founders(raft, group);
	return seen;
}

/* True if this replica has an empty log and may create the group. */
static bool keeper_join_is_bootstrapping(const keeper_raft_t *raft)
{
	const keeper_raft_settings_t *settings = &raft->settings;

	return keeper_raft_is_fresh(raft) && settings->may_bootstrap &&
	       keeper_join_is_founder(settings, settings->name);
}

/* True for the founder with the lowest name, which campaigns first. */
static bool keeper_join_is_lowest_founder(
	const keeper_raft_settings_t *settings)
{
	unsigned i;

	for (i = 0; i < settings->founder_count; i++)
		if (strcmp(settings->founders[i], settings->name) < 0)
			return false;
	return true;
}

/* True if the founder waits no longer for the others. Without auto_membership it
 * always does: there may_bootstrap is left on, and a replaced disk counts for the
 * bootstrap, too. */
static bool keeper_join_has_waited(const keeper_raft_t *raft, usec_t now)
{
	return raft->settings.auto_membership &&
	       now - raft->started_at >= KEEPER_JOIN_FOUNDERS_WAIT;
}

/* Take over the highest term of the founders: one of them may have voted in it for
 * an earlier disk of this replica. */
static void keeper_join_raise_term(keeper_raft_t *raft, usec_t now)
{
	uint64_t term = raft->ballot.term;
	unsigned i;

	for (i = 0; i < raft->joining_count; i++)
		if (raft->joining_members[i].term > term)
			term = raft->joining_members[i].term;
	keeper_raft_become_follower(raft, term, now);
}

bool keeper_join_prepare_bootstrap(keeper_raft_t *raft, usec_t now)
{
	const keeper_raft_settings_t *settings = &raft->settings;
	bool waited = keeper_join_has_waited(raft, now);
	keeper_group_t group;
	unsigned seen;

	keeper_raft_load_group(raft);
	if (!keeper_join_is_bootstrapping(raft) || raft->leaving)
		return false;
	seen = keeper_join_collect_founders(raft, &group, now);
	if (waited ? 2 * seen <= settings->founder_count :
		     seen < settings->founder_count ||
			     !keeper_join_is_lowest_founder(settings))
		return false;
	keeper_join_raise_term(raft, now);
	keeper_raft_set_founding_group(raft, &group);
	return true;
}

void keeper_join_bootstrap(keeper_raft_t *raft, usec_t now)
{
	keeper_group_t group;

	if (raft->role == KEEPER_CANDIDATE ||
	    !keeper_join_is_bootstrapping(raft) ||
	    !keeper_join_is_lowest_founder(&raft->settings) ||
	    keeper_join_collect_founders(raft, &group, now) <
		    raft->settings.founder_count)
		return;
	keeper_vote_start_prevote(raft, now);
}

bool keeper_join_may_elect_first(const keeper_raft_t *raft,
				 const keeper_message_t *message)
{
	const keeper_joining_member_t *member =
		keeper_join_find_member(raft, message->from);

	return keeper_join_is_bootstrapping(raft) && member &&
	       member->node.incarnation == message->from_incarnation &&
	       member->founders_hash ==
		       keeper_join_founders_hash(&raft->settings);
}
