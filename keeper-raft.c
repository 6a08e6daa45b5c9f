#include <stdlib.h>
#include <string.h>
#include "keeper-raft.h"

/*
 * Roles, terms and timers of a Raft replica, its peers and its group, and the
 * leader's lease. The lease relies on voters that grant no vote within an
 * election timeout after a message of a leader.
 */

/* A lease ends a tenth of the election timeout early, since the clocks of two
 * VMs run at slightly different rates. */
#define KEEPER_LEASE_MARGIN_DIVISOR 10
/* Part of the election timeout, as a divisor, between the first elections of two
 * keepers that start together. It is longer than an election takes. */
#define KEEPER_FIRST_ELECTION_DIVISOR 12

/* Return the next number of an xorshift generator. */
static uint64_t keeper_raft_random(keeper_raft_t *raft)
{
	raft->rng_state ^= raft->rng_state << 13;
	raft->rng_state ^= raft->rng_state >> 7;
	raft->rng_state ^= raft->rng_state << 17;
	return raft->rng_state;
}

void keeper_raft_reset_election_timer(keeper_raft_t *raft, usec_t now)
{
	uint64_t random_range = (uint64_t)raft->settings.election_timeout;

	raft->election_at = now + raft->settings.election_timeout +
			    (usec_t)(keeper_raft_random(raft) % random_range);
}

void keeper_raft_init(keeper_raft_t *raft,
		      const keeper_raft_settings_t *settings, usec_t now)
{
	memset(raft, 0, sizeof(*raft));
	raft->settings = *settings;
	raft->rng_state = settings->seed | 1;
	raft->leader_last_seen = now;
	raft->started_at = now;
	raft->heartbeat_at = now;
	CDS_INIT_LIST_HEAD(&raft->out);
	keeper_raft_reset_election_timer(raft, now);
}

/* Return the number of voters whose names come before this replica's. */
static unsigned keeper_raft_rank(const keeper_raft_t *raft)
{
	unsigned rank = 0, i;

	for (i = 0; i < raft->group.count; i++)
		rank += raft->group.nodes[i].voter &&
			strcmp(raft->group.nodes[i].name, raft->settings.name) <
				0;
	return rank;
}

/* Set the time of the first election after a start. Voters that start together, as
 * after a loss of power, follow one another by their names, and soon, since entries
 * may have an outdated configuration until there is a leader. */
static void keeper_raft_set_first_election(keeper_raft_t *raft, usec_t start)
{
	usec_t timeout = raft->settings.election_timeout;

	if (keeper_raft_is_voter(raft))
		raft->election_at = start + timeout +
				    keeper_raft_rank(raft) * timeout /
					    KEEPER_FIRST_ELECTION_DIVISOR;
}

bool keeper_raft_restore(keeper_raft_t *raft,
			 const keeper_ballot_state_t *ballot,
			 keeper_snapshot_t *snapshot, keeper_entries_t *entries)
{
	raft->ballot = *ballot;
	raft->snapshot = *snapshot;
	raft->entries = *entries;
	memset(snapshot, 0, sizeof(*snapshot));
	memset(entries, 0, sizeof(*entries));
	raft->commit = raft->entries.base;
	raft->saved = keeper_entries_last(&raft->entries);
	if (!keeper_raft_load_group(raft))
		return false;
	keeper_raft_set_first_election(raft, raft->leader_last_seen);
	/* An empty disk has acknowledged no leader, so no lease relies on it:
	 * it may vote at once. */
	if (raft->saved == 0 && raft->ballot.term == 0)
		raft->leader_last_seen -= raft->settings.election_timeout;
	return true;
}

void keeper_raft_restore_commit(keeper_raft_t *raft, uint64_t commit)
{
	uint64_t last = keeper_entries_last(&raft->entries);

	if (commit > last)
		commit = last;
	if (commit > raft->commit)
		raft->commit = commit;
}

void keeper_raft_free(keeper_raft_t *raft)
{
	keeper_outgoing_t *outgoing, *next;

	cds_list_for_each_entry_safe (outgoing, next, &raft->out, link)
		keeper_raft_outgoing_free(outgoing);
	CDS_INIT_LIST_HEAD(&raft->out);
	keeper_entries_free(&raft->entries);
	free(raft->snapshot.state);
	free(raft->incoming.state);
	raft->snapshot.state = raft->incoming.state = NULL;
}

void keeper_raft_outgoing_free(keeper_outgoing_t *outgoing)
{
	cds_list_del(&outgoing->link);
	xdr_free((xdrproc_t)xdr_keeper_message_t, &outgoing->message);
	free(outgoing);
}

static keeper_message_t *keeper_raft_queue(keeper_raft_t *raft,
					   const char *name,
					   uint64_t incarnation,
					   const char *address,
					   keeper_message_kind_t kind)
{
	keeper_outgoing_t *outgoing = calloc(1, sizeof(*outgoing));
	keeper_message_t *message;

	if (!outgoing)
		goto fail;
	message = &outgoing->message;
	message->cluster = raft->settings.cluster;
	message->from = strdup(raft->settings.name);
	message->from_address = strdup(raft->settings.address);
	message->from_incarnation = raft->settings.incarnation;
	message->to = strdup(name);
	message->to_incarnation = incarnation;
	message->term = raft->ballot.term;
	message->body.kind = kind;
	strcpy(outgoing->address, address);
	if (!message->from || !message->from_address || !message->to)
		goto fail_message;
	cds_list_add_tail(&outgoing->link, &raft->out);
	return message;

fail_message:
	free(message->from);
	free(message->from_address);
	free(message->to);
	free(outgoing);
fail:
	raft->out_of_memory = true;
	return NULL;
}

keeper_message_t *keeper_raft_queue_message(keeper_raft_t *raft,
					    const keeper_node_t *to,
					    keeper_message_kind_t kind)
{
	return keeper_raft_queue(raft, to->name, to->incarnation, to->address,
				 kind);
}

keeper_message_t *keeper_raft_queue_reply(keeper_raft_t *raft,
					  const keeper_message_t *to,
					  keeper_message_kind_t kind)
{
	const keeper_node_t *node = keeper_group_find(&raft->group, to->from);

	return keeper_raft_queue(raft, to->from, to->from_incarnation,
				 node ? node->address : to->from_address, kind);
}

bool keeper_raft_is_voter(const keeper_raft_t *raft)
{
	return keeper_group_is_voter(&raft->group, raft->settings.name,
				     raft->settings.incarnation);
}

bool keeper_raft_is_fresh(const keeper_raft_t *raft)
{
	return keeper_entries_last(&raft->entries) == 0;
}

keeper_peer_t *keeper_raft_find_peer(keeper_raft_t *raft, const char *name,
				     uint64_t incarnation)
{
	unsigned i;

	for (i = 0; i < raft->peer_count; i++)
		if (raft->peers[i].node.incarnation == incarnation &&
		    !strcmp(raft->peers[i].node.name, name))
			return &raft->peers[i];
	return NULL;
}

keeper_peer_t *keeper_raft_add_peer(keeper_raft_t *raft,
				    const keeper_node_t *node)
{
	keeper_peer_t *peer;

	if (raft->peer_count == KEEPER_PEERS_MAX)
		return NULL;
	peer = &raft->peers[raft->peer_count++];
	memset(peer, 0, sizeof(*peer));
	peer->node = *node;
	peer->next_index = keeper_entries_last(&raft->entries) + 1;
	return peer;
}

/* Rebuild the list of peers after a change of the group: the other voters, and
 * the learners that are still members. Peers that remain keep their state. */
static void keeper_raft_rebuild_peers(keeper_raft_t *raft)
{
	keeper_peer_t old[KEEPER_PEERS_MAX];
	unsigned old_count = raft->peer_count, i;
	const keeper_group_t *group = &raft->group;

	memcpy(old, raft->peers, sizeof(old));
	raft->peer_count = 0;
	for (i = 0; i < group->count; i++)
		if (group->nodes[i].voter &&
		    strcmp(group->nodes[i].name, raft->settings.name))
			keeper_raft_add_peer(raft, &group->nodes[i]);
	for (i = 0; i < old_count; i++) {
		keeper_peer_t *peer = keeper_raft_find_peer(
			raft, old[i].node.name, old[i].node.incarnation);

		if (!peer && old[i].learner &&
		    keeper_group_find(group, old[i].node.name))
			peer = keeper_raft_add_peer(raft, &old[i].node);
		if (!peer)
			continue;
		*peer = old[i];
		peer->learner = !keeper_group_is_voter(group, peer->node.name,
						       peer->node.incarnation);
	}
}

uint64_t keeper_raft_group_at(const keeper_raft_t *raft, uint64_t index,
			      keeper_group_t *group)
{
	const keeper_entry_t *entry;

	for (; (entry = keeper_entries_at(&raft->entries, index)); index--)
		if (entry->kind == KEEPER_ENTRY_GROUP &&
		    keeper_group_decode(entry->body.body_val,
					entry->body.body_len, group))
			return index;
	*group = raft->snapshot.group;
	return raft->entries.base;
}

bool keeper_raft_load_group(keeper_raft_t *raft)
{
	uint64_t index = keeper_entries_last(&raft->entries);
	const keeper_entry_t *entry;

	while ((entry = keeper_entries_at(&raft->entries, index)) &&
	       entry->kind != KEEPER_ENTRY_GROUP)
		index--;
	raft->group_index = index;
	raft->group = raft->snapshot.group;
	if (entry && !keeper_group_decode(entry->body.body_val,
					  entry->body.body_len, &raft->group))
		return false;
	raft->group_resolved = keeper_bootstrap_resolve_founders(raft,
								 &raft->group);
	keeper_raft_rebuild_peers(raft);
	return true;
}

void keeper_raft_set_founding_group(keeper_raft_t *raft,
				    const keeper_group_t *group)
{
	raft->group = *group;
	raft->group_index = 0;
	raft->group_resolved = true;
	keeper_raft_rebuild_peers(raft);
}

void keeper_raft_become_follower(keeper_raft_t *raft, uint64_t term, usec_t now)
{
	if (term > raft->ballot.term) {
		memset(&raft->ballot, 0, sizeof(raft->ballot));
		raft->ballot.term = term;
		raft->ballot_dirty = true;
	}
	raft->role = KEEPER_FOLLOWER;
	raft->leader[0] = '\0';
	keeper_raft_reset_election_timer(raft, now);
}

void keeper_raft_accept_leader(keeper_raft_t *raft, const char *leader,
			       usec_t now)
{
	raft->role = KEEPER_FOLLOWER;
	strcpy(raft->leader, leader);
	raft->leader_last_seen = now;
	keeper_raft_reset_election_timer(raft, now);
}

/* Adopt the higher term of a message. Return false if the message must be
 * ignored: a vote request that arrives while a leader may hold a lease. */
static bool keeper_raft_adopt_term(keeper_raft_t *raft,
				   const keeper_message_t *message, usec_t now)
{
	switch (message->body.kind) {
	case KEEPER_MSG_PREVOTE:
		return true;
	case KEEPER_MSG_PREVOTE_REPLY:
		if (!message->body.keeper_message_body_t_u.granted)
			keeper_raft_become_follower(raft, message->term, now);
		return true;
	case KEEPER_MSG_VOTE:
		if (keeper_vote_lease_possible(raft, now))
			return false;
		break;
	default:
		break;
	}
	keeper_raft_become_follower(raft, message->term, now);
	return true;
}

/* Reply to a request of an older term, so that its sender adopts the current
 * term. */
static void keeper_raft_reply_stale_term(keeper_raft_t *raft,
					 const keeper_message_t *message)
{
	switch (message->body.kind) {
	case KEEPER_MSG_PREVOTE:
		keeper_raft_queue_reply(raft, message,
					KEEPER_MSG_PREVOTE_REPLY);
		break;
	case KEEPER_MSG_VOTE:
		keeper_raft_queue_reply(raft, message, KEEPER_MSG_VOTE_REPLY);
		break;
	case KEEPER_MSG_APPEND:
	case KEEPER_MSG_INSTALL:
		keeper_raft_queue_reply(raft, message, KEEPER_MSG_APPEND_REPLY);
		break;
	default:
		break;
	}
}

static bool keeper_raft_dispatch(keeper_raft_t *raft,
				 const keeper_message_t *message, usec_t now)
{
	switch (message->body.kind) {
	case KEEPER_MSG_PREVOTE:
		keeper_vote_on_prevote_request(raft, message, now);
		return true;
	case KEEPER_MSG_VOTE:
		keeper_vote_on_request(raft, message, now);
		return true;
	case KEEPER_MSG_PREVOTE_REPLY:
	case KEEPER_MSG_VOTE_REPLY:
		keeper_vote_on_response(raft, message, now);
		return true;
	case KEEPER_MSG_APPEND:
		return keeper_append_on_request(raft, message, now);
	case KEEPER_MSG_APPEND_REPLY:
		return keeper_append_on_response(raft, message, now);
	case KEEPER_MSG_INSTALL:
		return keeper_install_on_request(raft, message, now);
	case KEEPER_MSG_INSTALL_REPLY:
		return keeper_install_on_response(raft, message, now);
	case KEEPER_MSG_LEAVE:
		keeper_leave_on_request(raft, message, now);
		return true;
	default:
		return false;
	}
}

static bool keeper_raft_is_reply(keeper_message_kind_t kind)
{
	return kind == KEEPER_MSG_PREVOTE_REPLY ||
	       kind == KEEPER_MSG_VOTE_REPLY ||
	       kind == KEEPER_MSG_APPEND_REPLY ||
	       kind == KEEPER_MSG_INSTALL_REPLY;
}

bool keeper_raft_step(keeper_raft_t *raft, const keeper_message_t *message,
		      usec_t now)
{
	keeper_message_kind_t kind = message->body.kind;

	if (message->cluster != raft->settings.cluster ||
	    strcmp(message->to, raft->settings.name) ||
	    !strcmp(message->from, raft->settings.name) ||
	    !hl_name_valid(message->from))
		return false;
	keeper_lost_on_message(raft, message);
	if (kind == KEEPER_MSG_JOIN)
		return keeper_join_on_request(raft, message, now);
	if (message->to_incarnation != raft->settings.incarnation) {
		keeper_join_on_other_disk(raft, message);
		return false;
	}
	if (keeper_raft_is_reply(kind) &&
	    !keeper_raft_find_peer(raft, message->from,
				   message->from_incarnation))
		return true;
	if (message->term > raft->ballot.term &&
	    !keeper_raft_adopt_term(raft, message, now))
		return true;
	if (message->term < raft->ballot.term) {
		keeper_raft_reply_stale_term(raft, message);
		return true;
	}
	return keeper_raft_dispatch(raft, message, now);
}

static uint64_t keeper_raft_peer_acked_at(const keeper_peer_t *peer)
{
	return (uint64_t)peer->acked_at;
}

/* Return the latest time such that a quorum has answered messages sent at or
 * after it. */
static usec_t keeper_raft_quorum_acked_at(const keeper_raft_t *raft)
{
	return (usec_t)keeper_quorum_value(raft, INT64_MAX,
					   keeper_raft_peer_acked_at);
}

/* Step down if no quorum has answered for two election timeouts. */
static void keeper_raft_check_quorum(keeper_raft_t *raft, usec_t now)
{
	usec_t timeout = 2 * raft->settings.election_timeout;
	usec_t acked_at = keeper_raft_quorum_acked_at(raft);

	if (acked_at < raft->leader_last_seen)
		acked_at = raft->leader_last_seen;
	if (acked_at != INT64_MAX && now - acked_at > timeout)
		keeper_raft_become_follower(raft, raft->ballot.term, now);
}

void keeper_raft_tick(keeper_raft_t *raft, usec_t now)
{
	if (raft->role == KEEPER_LEADER)
		keeper_raft_check_quorum(raft, now);
	if (raft->role != KEEPER_LEADER && now >= raft->election_at)
		keeper_vote_start_prevote(raft, now);
	if (now < raft->heartbeat_at)
		return;
	raft->heartbeat_at = now + raft->settings.heartbeat_interval;
	if (raft->role == KEEPER_LEADER)
		keeper_append_broadcast(raft, false, now);
	else if (!raft->leaving &&
		 (keeper_raft_is_fresh(raft) || !keeper_raft_is_voter(raft) ||
		  keeper_join_lost_leader(raft, now)))
		keeper_join_send_requests(raft, now);
	if (raft->leaving)
		keeper_raft_leave(raft, now);
	keeper_leave_prune(raft, now);
	keeper_bootstrap_start(raft, now);
}

void keeper_raft_resign(keeper_raft_t *raft, usec_t now)
{
	if (raft->role == KEEPER_LEADER)
		keeper_raft_become_follower(raft, raft->ballot.term, now);
}

usec_t keeper_raft_next_due(const keeper_raft_t *raft)
{
	if (raft->role == KEEPER_LEADER)
		return raft->heartbeat_at;
	/* A voter that is not the leader has no work at heartbeat times, unless
	 * it leaves or bootstraps the group. */
	if ((keeper_raft_is_voter(raft) && !keeper_raft_is_fresh(raft) &&
	     !raft->leaving) ||
	    raft->election_at < raft->heartbeat_at)
		return raft->election_at;
	return raft->heartbeat_at;
}

uint64_t keeper_raft_append_entry(keeper_raft_t *raft, keeper_entry_kind_t kind,
				  const char *body, size_t size)
{
	keeper_entry_t entry = { 0 };

	entry.index = keeper_entries_last(&raft->entries) + 1;
	entry.term = raft->ballot.term;
	entry.kind = kind;
	entry.body.body_val = (char *)body;
	entry.body.body_len = size;
	if (keeper_entries_push(&raft->entries, &entry))
		return entry.index;
	raft->out_of_memory = true;
	return 0;
}

uint64_t keeper_raft_append_group(keeper_raft_t *raft,
				  const keeper_group_t *group)
{
	uint64_t index;
	size_t size;
	char *body;

	if (!keeper_group_encode(group, &body, &size)) {
		raft->out_of_memory = true;
		return 0;
	}
	index = keeper_raft_append_entry(raft, KEEPER_ENTRY_GROUP, body, size);
	free(body);
	keeper_raft_load_group(raft);
	return index;
}

uint64_t keeper_raft_propose(keeper_raft_t *raft, const char *body, size_t size,
			     usec_t now)
{
	uint64_t index;

	if (raft->role != KEEPER_LEADER || size > KEEPER_COMMAND_MAX)
		return 0;
	index = keeper_raft_append_entry(raft, KEEPER_ENTRY_CHANGE, body, size);
	keeper_append_broadcast(raft, true, now);
	return index;
}

bool keeper_raft_has_unsaved(const keeper_raft_t *raft)
{
	return raft->ballot_dirty || raft->snapshot_dirty ||
	       raft->saved < keeper_entries_last(&raft->entries);
}

void keeper_raft_mark_saved(keeper_raft_t *raft, usec_t now)
{
	raft->ballot_dirty = raft->snapshot_dirty = false;
	raft->saved = keeper_entries_last(&raft->entries);
	if (raft->role == KEEPER_LEADER)
		keeper_append_advance(raft, now);
}

void keeper_raft_compact(keeper_raft_t *raft, keeper_snapshot_t *snapshot)
{
	free(raft->snapshot.state);
	raft->snapshot = *snapshot;
	memset(snapshot, 0, sizeof(*snapshot));
	keeper_entries_compact(&raft->entries, raft->snapshot.index,
			       raft->snapshot.term);
}

usec_t keeper_raft_lease_end(const keeper_raft_t *raft)
{
	usec_t length = raft->settings.election_timeout;
	usec_t acked_at;

	if (raft->role != KEEPER_LEADER || raft->commit < raft->term_start)
		return 0;
	acked_at = keeper_raft_quorum_acked_at(raft);
	if (acked_at == INT64_MAX)
		return USEC_NEVER;
	return acked_at ? acked_at + length -
				  length / KEEPER_LEASE_MARGIN_DIVISOR :
			  0;
}

const char *keeper_raft_role_name(const keeper_raft_t *raft)
{
	if (raft->role == KEEPER_LEADER)
		return "leader";
	if (!keeper_raft_is_voter(raft))
		return "learner";
	return raft->role == KEEPER_FOLLOWER ? "follower" : "candidate";
}
