#include <stdlib.h>
#include <string.h>
#include "keeper-raft.h"

/* A JOIN older than this many heartbeats no longer counts. */
#define KEEPER_JOIN_FRESH 10
/* After so many election time-outs without a leader a voter asks to join. */
#define KEEPER_JOIN_LOST 3
/* A group that looks after itself drops nobody below this many voters. */
#define KEEPER_JOIN_VOTERS_MIN 3
/* Silence in election time-outs after which a voter too many is dropped. */
#define KEEPER_JOIN_GONE 3
/* The same of a member that was taken in and has never caught up. */
#define KEEPER_JOIN_ABANDONED 10

static int keeper_join_compare(const void *a, const void *b)
{
	return strcmp(a, b);
}

/* The founders must agree on who they are. */
static uint64_t keeper_join_names(const keeper_raft_settings_t *settings)
{
	char names[KEEPER_VOTERS_MAX][HL_NAME_MAX] = { 0 };
	unsigned i;

	for (i = 0; i < settings->founder_count; i++)
		strcpy(names[i], settings->founders[i]);
	qsort(names, settings->founder_count, sizeof(names[0]),
	      keeper_join_compare);
	return hl_hash(names, sizeof(names), settings->cluster);
}

static keeper_joining_member_t *keeper_join_find(keeper_raft_t *raft,
						 const char *name)
{
	unsigned i;

	for (i = 0; i < raft->joining_count; i++)
		if (!strcmp(raft->joining_members[i].node.name, name))
			return &raft->joining_members[i];
	return NULL;
}

static void keeper_join_ask_one(keeper_raft_t *raft, const char *name,
				const char *address)
{
	const keeper_joining_member_t *joiner = keeper_join_find(raft, name);
	keeper_node_t to = { 0 };
	keeper_message_t *message;
	keeper_join_t *join;

	if (!strcmp(name, raft->settings.name))
		return;
	strcpy(to.name, name);
	strcpy(to.address, address);
	to.incarnation = joiner ? joiner->node.incarnation : 0;
	message = keeper_raft_queue_message(raft, &to, KEEPER_MSG_JOIN);
	if (!message)
		return;
	join = &message->body.keeper_message_body_t_u.join;
	join->address = strdup(raft->settings.address);
	join->fresh = keeper_raft_is_fresh(raft);
	join->founders_hash = keeper_join_names(&raft->settings);
}

static bool keeper_join_named(const keeper_raft_settings_t *settings,
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
		keeper_join_ask_one(raft, raft->settings.founders[i], "");
	for (i = 0; i < group->count; i++)
		if (!keeper_join_named(&raft->settings, group->nodes[i].name))
			keeper_join_ask_one(raft, group->nodes[i].name,
					    group->nodes[i].address);
}

bool keeper_join_lost_leader(const keeper_raft_t *raft, usec_t now)
{
	return raft->settings.auto_membership && raft->role != KEEPER_LEADER &&
	       now - raft->leader_last_seen >
		       KEEPER_JOIN_LOST * raft->settings.election_timeout;
}

/* Remember who asked, for the founding of the group. */
static void keeper_join_note(keeper_raft_t *raft,
			     const keeper_message_t *message, usec_t now)
{
	const keeper_join_t *join = &message->body.keeper_message_body_t_u.join;
	keeper_joining_member_t *joiner = keeper_join_find(raft, message->from);

	if (!joiner) {
		if (raft->joining_count == KEEPER_VOTERS_MAX)
			return;
		joiner = &raft->joining_members[raft->joining_count++];
	}
	memset(joiner, 0, sizeof(*joiner));
	strcpy(joiner->node.name, message->from);
	strcpy(joiner->node.address, join->address);
	joiner->node.incarnation = message->from_incarnation;
	joiner->node.voter = true;
	joiner->term = message->term;
	joiner->founders_hash = join->founders_hash;
	joiner->fresh = join->fresh;
	joiner->knows_incarnation = message->to_incarnation ==
				    raft->settings.incarnation;
	joiner->last_seen = now;
}

/* A leader sends its log to any member's new disk. */
static void keeper_join_teach(keeper_raft_t *raft,
			      const keeper_message_t *message, usec_t now)
{
	const keeper_join_t *join = &message->body.keeper_message_body_t_u.join;
	keeper_node_t node = { 0 };
	keeper_peer_t *peer;
	unsigned i;

	if (keeper_raft_find_peer(raft, message->from,
				  message->from_incarnation))
		return;
	strcpy(node.name, message->from);
	strcpy(node.address, join->address);
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

/* A follower passes the question on to its leader. */
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

/* A leader takes the asker in, if need be, and sends it the log. */
static void keeper_join_lead(keeper_raft_t *raft,
			     const keeper_message_t *message, usec_t now)
{
	const keeper_join_t *join = &message->body.keeper_message_body_t_u.join;

	if (raft->settings.auto_membership &&
	    !keeper_group_find(&raft->group, message->from))
		keeper_raft_change_voter(raft, true, message->from,
					 join->address, now);
	if (keeper_group_find(&raft->group, message->from))
		keeper_join_teach(raft, message, now);
}

bool keeper_join_on_request(keeper_raft_t *raft,
			    const keeper_message_t *message, usec_t now)
{
	if (!message->from_incarnation)
		return false;
	if (keeper_raft_is_fresh(raft))
		keeper_join_note(raft, message, now);
	else if (raft->role == KEEPER_LEADER)
		keeper_join_lead(raft, message, now);
	else
		keeper_join_relay(raft, message);
	return true;
}

/* True if a leader may append a change of the group: one at a time, and none
 * before an entry of its own term is committed. */
static bool keeper_join_may_change(const keeper_raft_t *raft)
{
	return raft->role == KEEPER_LEADER &&
	       raft->commit >= raft->term_start &&
	       raft->group_index <= raft->commit;
}

/* True if the voter of that name still answers: two processes then run under
 * one name, and the newcomer must not push the other out. */
static bool keeper_join_in_use(keeper_raft_t *raft, const keeper_node_t *node,
			       usec_t now)
{
	const keeper_peer_t *peer = keeper_raft_find_peer(raft, node->name,
							  node->incarnation);

	return peer && peer->acked_at &&
	       now - peer->acked_at < 2 * raft->settings.election_timeout;
}

void keeper_join_promote(keeper_raft_t *raft, const keeper_peer_t *peer,
			 usec_t now)
{
	keeper_group_t group = raft->group;
	keeper_node_t *node = keeper_group_find(&group, peer->node.name);

	if (!node || peer->match_index < raft->commit ||
	    !keeper_join_may_change(raft))
		return;
	if (node->voter) {
		if (keeper_join_in_use(raft, node, now))
			return;
		/* Its old disk loses the vote first. */
		node->voter = false;
		node->incarnation = 0;
	} else {
		*node = peer->node;
		node->voter = true;
	}
	keeper_raft_append_group(raft, &group);
	keeper_append_broadcast(raft, true, now);
}

static unsigned keeper_join_voters(const keeper_group_t *group)
{
	unsigned count = 0, i;

	for (i = 0; i < group->count; i++)
		count += group->nodes[i].voter;
	return count;
}

static bool keeper_join_add(keeper_group_t *group, const char *name,
			    const char *address)
{
	keeper_node_t *node;

	if (group->count == KEEPER_VOTERS_MAX)
		return false;
	node = &group->nodes[group->count++];
	memset(node, 0, sizeof(*node));
	strcpy(node->name, name);
	strcpy(node->address, address);
	return true;
}

static bool keeper_join_remove(keeper_group_t *group, keeper_node_t *node)
{
	if (node->voter && keeper_join_voters(group) == 1)
		return false;
	*node = group->nodes[--group->count];
	return true;
}

keeper_status_t keeper_raft_change_voter(keeper_raft_t *raft, bool add,
					 const char *name, const char *address,
					 usec_t now)
{
	keeper_group_t group = raft->group;
	keeper_node_t *node = keeper_group_find(&group, name);

	if (raft->role != KEEPER_LEADER)
		return KEEPER_NOT_LEADER;
	if (add == (node != NULL))
		return KEEPER_OK;
	if (!keeper_join_may_change(raft) || !hl_name_valid(name))
		return KEEPER_BUSY;
	if (add ? !keeper_join_add(&group, name, address) :
		  !keeper_join_remove(&group, node))
		return KEEPER_BUSY;
	keeper_raft_append_group(raft, &group);
	keeper_append_broadcast(raft, true, now);
	return KEEPER_OK;
}

/* When a member under its present disk was last heard, 0 if never. */
static usec_t keeper_join_acked(keeper_raft_t *raft, const char *name)
{
	usec_t acked = 0;
	unsigned i;

	for (i = 0; i < raft->peer_count; i++)
		if (!strcmp(raft->peers[i].node.name, name) &&
		    raft->peers[i].acked_at > acked)
			acked = raft->peers[i].acked_at;
	return acked;
}

/* True if a leader may drop this member: a voter too many, or one that was
 * taken in and never caught up. */
static bool keeper_join_is_gone(keeper_raft_t *raft, const keeper_node_t *node,
				usec_t now)
{
	unsigned voters = keeper_join_voters(&raft->group);
	usec_t election = raft->settings.election_timeout;
	usec_t silent = now - keeper_join_acked(raft, node->name);

	if (now - raft->elected_at < silent)
		silent = now - raft->elected_at;
	if (!strcmp(node->name, raft->settings.name))
		return false;
	if (!node->voter)
		return silent > KEEPER_JOIN_ABANDONED * election;
	return voters > KEEPER_JOIN_VOTERS_MIN && voters % 2 == 0 &&
	       silent > KEEPER_JOIN_GONE * election;
}

void keeper_join_prune(keeper_raft_t *raft, usec_t now)
{
	unsigned i;

	if (!raft->settings.auto_membership || raft->role != KEEPER_LEADER)
		return;
	for (i = 0; i < raft->group.count; i++) {
		const keeper_node_t *node = &raft->group.nodes[i];

		if (!keeper_join_is_gone(raft, node, now))
			continue;
		keeper_raft_change_voter(raft, false, node->name, "", now);
		return;
	}
}

/* The founder has heard from every other founder lately: all are fresh, mean
 * the same group, and spoke to this very disk. */
static bool keeper_join_all_fresh(keeper_raft_t *raft, usec_t now,
				  keeper_group_t *group, uint64_t *term)
{
	const keeper_raft_settings_t *settings = &raft->settings;
	usec_t limit = KEEPER_JOIN_FRESH * settings->heartbeat_interval;
	unsigned i;

	for (i = 0; i < settings->founder_count; i++) {
		const keeper_joining_member_t *joiner;

		if (!strcmp(settings->founders[i], settings->name))
			continue;
		joiner = keeper_join_find(raft, settings->founders[i]);
		if (!joiner || !joiner->fresh || !joiner->knows_incarnation ||
		    joiner->founders_hash != keeper_join_names(settings) ||
		    now - joiner->last_seen > limit)
			return false;
		if (joiner->term > *term)
			*term = joiner->term;
		group->nodes[group->count++] = joiner->node;
	}
	return true;
}

/* The lowest name founds, so that two never do. */
static bool keeper_join_is_founder(const keeper_raft_settings_t *settings)
{
	unsigned i;

	for (i = 0; i < settings->founder_count; i++)
		if (strcmp(settings->founders[i], settings->name) < 0)
			return false;
	return keeper_join_named(settings, settings->name);
}

void keeper_join_bootstrap(keeper_raft_t *raft, usec_t now)
{
	const keeper_raft_settings_t *settings = &raft->settings;
	uint64_t term = raft->ballot.term;
	keeper_group_t group = { 0 };
	keeper_node_t *self = &group.nodes[0];

	if (!keeper_raft_is_fresh(raft) || !settings->may_bootstrap ||
	    !keeper_join_is_founder(settings))
		return;
	strcpy(self->name, settings->name);
	strcpy(self->address, settings->address);
	self->incarnation = settings->incarnation;
	self->voter = true;
	group.count = 1;
	if (!keeper_join_all_fresh(raft, now, &group, &term))
		return;
	keeper_raft_become_follower(raft, term + 1, now);
	keeper_raft_append_group(raft, &group);
	keeper_vote_campaign(raft, now);
}
