#include <stdlib.h>
#include <string.h>
#include "keeper-raft.h"

/*
 * Bootstrap of the group. Founders with empty disks learn each other's disks from
 * their JOIN messages, and elect a first leader by a majority of all founders, which
 * appends the first group. The state is joining_members in keeper_raft_t (keeper.h).
 */

/* Maximum age, in heartbeat intervals, of a JOIN message that counts for the
 * bootstrap of the group. */
#define KEEPER_BOOTSTRAP_MAX_AGE_HEARTBEATS 10
/* Time for which a founder waits for JOIN messages of all others, from its start on.
 * Founders that start together are seen within a few heartbeats. */
#define KEEPER_BOOTSTRAP_FOUNDERS_WAIT (2 * USEC_PER_SEC)
/* Mixed into the hash of the founders. Builds with another rule for the bootstrap
 * have another number or none, and create no group with this one. */
#define KEEPER_BOOTSTRAP_RULE 2

static int keeper_bootstrap_compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

uint64_t keeper_bootstrap_founders_hash(const keeper_raft_settings_t *settings)
{
	char names[KEEPER_VOTERS_MAX][HL_NAME_MAX] = { 0 };
	unsigned i;

	for (i = 0; i < settings->founder_count; i++)
		strcpy(names[i], settings->founders[i]);
	qsort(names, settings->founder_count, sizeof(names[0]),
	      keeper_bootstrap_compare_names);
	return hl_hash(names, sizeof(names),
		       settings->cluster + KEEPER_BOOTSTRAP_RULE);
}

keeper_joining_member_t *keeper_bootstrap_find_member(const keeper_raft_t *raft,
						      const char *name)
{
	unsigned i;

	for (i = 0; i < raft->joining_count; i++)
		if (!strcmp(raft->joining_members[i].node.name, name))
			return (keeper_joining_member_t *)&raft
				->joining_members[i];
	return NULL;
}

bool keeper_bootstrap_is_founder(const keeper_raft_settings_t *settings,
				 const char *name)
{
	unsigned i;

	for (i = 0; i < settings->founder_count; i++)
		if (!strcmp(settings->founders[i], name))
			return true;
	return false;
}

void keeper_bootstrap_record(keeper_raft_t *raft,
			     const keeper_message_t *message, usec_t now)
{
	const keeper_join_t *join = &message->body.keeper_message_body_t_u.join;
	keeper_joining_member_t *member =
		keeper_bootstrap_find_member(raft, message->from);

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

bool keeper_bootstrap_resolve_founders(const keeper_raft_t *raft,
				       keeper_group_t *group)
{
	uint64_t hash = keeper_bootstrap_founders_hash(&raft->settings);
	bool resolved = false;
	unsigned i;

	for (i = 0; i < group->count; i++) {
		const keeper_joining_member_t *member;
		keeper_node_t *node = &group->nodes[i];

		member = keeper_bootstrap_find_member(raft, node->name);
		if (!node->voter || node->incarnation || !member ||
		    !member->fresh || member->founders_hash != hash)
			continue;
		*node = member->node;
		resolved = true;
	}
	return resolved;
}

void keeper_bootstrap_append_resolved(keeper_raft_t *raft)
{
	keeper_group_t group = raft->group;

	if (raft->group_resolved)
		keeper_raft_append_group(raft, &group);
}

void keeper_bootstrap_resolve(keeper_raft_t *raft,
			      const keeper_message_t *message, usec_t now)
{
	const keeper_node_t *node = keeper_group_find(&raft->group,
						      message->from);

	if (!message->body.keeper_message_body_t_u.join.fresh || !node ||
	    !node->voter || node->incarnation)
		return;
	keeper_bootstrap_record(raft, message, now);
	keeper_raft_load_group(raft);
	if (raft->role != KEEPER_LEADER || !raft->group_resolved)
		return;
	keeper_bootstrap_append_resolved(raft);
	keeper_append_broadcast(raft, true, now);
}

/* Return the JOIN message of a founder that counts for the bootstrap of the group:
 * it is recent and addressed to this disk, and the sender's disk is its first one,
 * has an empty log and the same list of founders. Return NULL if there is none. */
static const keeper_joining_member_t *keeper_bootstrap_find_founder(
	const keeper_raft_t *raft, const char *name, usec_t now)
{
	const keeper_raft_settings_t *settings = &raft->settings;
	const keeper_joining_member_t *member =
		keeper_bootstrap_find_member(raft, name);
	usec_t limit = KEEPER_BOOTSTRAP_MAX_AGE_HEARTBEATS *
		       settings->heartbeat_interval;

	if (!member || !member->fresh || !member->knows_incarnation ||
	    now - member->last_seen > limit ||
	    member->founders_hash != keeper_bootstrap_founders_hash(settings))
		return NULL;
	return member;
}

/* Fill in the group of the founders, as voters all of them: a majority of these is
 * needed, so that no second group can be created. Those that have not joined have
 * incarnation 0. Return the number of those that count for the bootstrap. */
static unsigned keeper_bootstrap_collect_founders(const keeper_raft_t *raft,
						  keeper_group_t *group,
						  usec_t now)
{
	const keeper_raft_settings_t *settings = &raft->settings;
	unsigned seen = 1, i;

	memset(group, 0, sizeof(*group));
	group->initial_size = settings->founder_count;
	for (i = 0; i < settings->founder_count; i++) {
		keeper_node_t *node = &group->nodes[group->count++];

		strcpy(node->name, settings->founders[i]);
		strcpy(node->address, settings->founder_addresses[i]);
		node->voter = true;
		if (!strcmp(node->name, settings->name)) {
			strcpy(node->address, settings->address);
			node->incarnation = settings->incarnation;
		} else if (keeper_bootstrap_find_founder(raft, node->name,
							 now)) {
			seen++;
		}
	}
	keeper_bootstrap_resolve_founders(raft, group);
	return seen;
}

/* True if this replica has an empty log and may create the group. */
static bool keeper_bootstrap_is_possible(const keeper_raft_t *raft)
{
	const keeper_raft_settings_t *settings = &raft->settings;

	return keeper_raft_is_fresh(raft) && settings->may_bootstrap &&
	       keeper_bootstrap_is_founder(settings, settings->name);
}

/* True for the founder with the lowest name, which campaigns first. */
static bool keeper_bootstrap_is_lowest_founder(
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
static bool keeper_bootstrap_has_waited(const keeper_raft_t *raft, usec_t now)
{
	return raft->settings.auto_membership &&
	       now - raft->started_at >= KEEPER_BOOTSTRAP_FOUNDERS_WAIT;
}

/* Take over the highest term of the founders: one of them may have voted in it for
 * an earlier disk of this replica. */
static void keeper_bootstrap_raise_term(keeper_raft_t *raft, usec_t now)
{
	uint64_t term = raft->ballot.term;
	unsigned i;

	for (i = 0; i < raft->joining_count; i++)
		if (raft->joining_members[i].term > term)
			term = raft->joining_members[i].term;
	keeper_raft_become_follower(raft, term, now);
}

bool keeper_bootstrap_prepare(keeper_raft_t *raft, usec_t now)
{
	const keeper_raft_settings_t *settings = &raft->settings;
	bool waited = keeper_bootstrap_has_waited(raft, now);
	keeper_group_t group;
	unsigned seen;

	keeper_raft_load_group(raft);
	if (!keeper_bootstrap_is_possible(raft) || raft->leaving)
		return false;
	seen = keeper_bootstrap_collect_founders(raft, &group, now);
	if (waited ? 2 * seen <= settings->founder_count :
		     seen < settings->founder_count ||
			     !keeper_bootstrap_is_lowest_founder(settings))
		return false;
	keeper_bootstrap_raise_term(raft, now);
	keeper_raft_set_founding_group(raft, &group);
	return true;
}

void keeper_bootstrap_start(keeper_raft_t *raft, usec_t now)
{
	keeper_group_t group;

	if (raft->role == KEEPER_CANDIDATE ||
	    !keeper_bootstrap_is_possible(raft) ||
	    !keeper_bootstrap_is_lowest_founder(&raft->settings) ||
	    keeper_bootstrap_collect_founders(raft, &group, now) <
		    raft->settings.founder_count)
		return;
	keeper_vote_start_prevote(raft, now);
}

bool keeper_bootstrap_may_vote(const keeper_raft_t *raft,
			       const keeper_message_t *message)
{
	const keeper_joining_member_t *member =
		keeper_bootstrap_find_member(raft, message->from);

	return keeper_bootstrap_is_possible(raft) && member &&
	       member->node.incarnation == message->from_incarnation &&
	       member->founders_hash ==
		       keeper_bootstrap_founders_hash(&raft->settings);
}
