#include <string.h>
#include "keeper-raft.h"

/* Elections (Raft, sections 5.2 and 5.4.1), and the pre-vote before them (Raft
 * thesis, section 9.6). */

bool keeper_vote_lease_possible(const keeper_raft_t *raft, usec_t now)
{
	return raft->role == KEEPER_LEADER ||
	       now - raft->leader_last_seen < raft->settings.election_timeout;
}

static uint64_t keeper_vote_peer_voted(const keeper_peer_t *peer)
{
	return peer->voted;
}

static bool keeper_vote_won(const keeper_raft_t *raft)
{
	return keeper_quorum_value(raft, 1, keeper_vote_peer_voted) == 1;
}

/* Send a request to each other voter, addressed to its disk in the newest
 * group. */
static void keeper_vote_send_requests(keeper_raft_t *raft,
				      keeper_message_kind_t kind, uint64_t term)
{
	uint64_t last = keeper_entries_last(&raft->entries);
	unsigned i;

	for (i = 0; i < raft->peer_count; i++) {
		keeper_peer_t *peer = &raft->peers[i];
		keeper_message_t *message;
		keeper_ballot_t *ballot;

		peer->voted = false;
		/* A founder that has not joined has no disk to vote with. */
		if (peer->learner || !peer->node.incarnation)
			continue;
		message = keeper_raft_queue_message(raft, &peer->node, kind);
		if (!message)
			return;
		message->term = term;
		ballot = &message->body.keeper_message_body_t_u.ballot;
		ballot->last_index = last;
		keeper_entries_term(&raft->entries, last, &ballot->last_term);
	}
}

static void keeper_vote_become_leader(keeper_raft_t *raft, usec_t now)
{
	unsigned i;

	raft->role = KEEPER_LEADER;
	strcpy(raft->leader, raft->settings.name);
	raft->leader_last_seen = now;
	raft->elected_at = now;
	raft->elections++;
	for (i = 0; i < raft->peer_count; i++) {
		keeper_peer_t *peer = &raft->peers[i];

		peer->next_index = keeper_entries_last(&raft->entries) + 1;
		peer->match_index = peer->snapshot_offset = 0;
		peer->acked_at = peer->sent_at = 0;
		peer->in_flight = false;
	}
	keeper_bootstrap_append_resolved(raft);
	raft->term_start = keeper_raft_append_entry(raft, KEEPER_ENTRY_NOOP,
						    NULL, 0);
	raft->heartbeat_at = now + raft->settings.heartbeat_interval;
	keeper_append_broadcast(raft, false, now);
}

void keeper_vote_campaign(keeper_raft_t *raft, usec_t now)
{
	raft->role = KEEPER_CANDIDATE;
	raft->ballot_dirty = true;
	strcpy(raft->ballot.vote, raft->settings.name);
	raft->ballot.vote_incarnation = raft->settings.incarnation;
	keeper_vote_send_requests(raft, KEEPER_MSG_VOTE, raft->ballot.term);
	if (keeper_vote_won(raft))
		keeper_vote_become_leader(raft, now);
}

static void keeper_vote_campaign_next_term(keeper_raft_t *raft, usec_t now)
{
	keeper_raft_become_follower(raft, raft->ballot.term + 1, now);
	keeper_vote_campaign(raft, now);
}

/* True if this disk is a voter, or is one until its removal is committed (Raft
 * thesis, section 4.2.2): if no other log has the removal, the others can't win
 * an election. */
static bool keeper_vote_may_campaign(const keeper_raft_t *raft)
{
	const keeper_raft_settings_t *settings = &raft->settings;
	keeper_group_t committed;

	if (keeper_raft_is_voter(raft))
		return true;
	keeper_raft_group_at(raft, raft->commit, &committed);
	return keeper_group_is_voter(&committed, settings->name,
				     settings->incarnation);
}

void keeper_vote_start_prevote(keeper_raft_t *raft, usec_t now)
{
	keeper_raft_become_follower(raft, raft->ballot.term, now);
	if (keeper_raft_is_fresh(raft) && !keeper_bootstrap_prepare(raft, now))
		return;
	if (!keeper_vote_may_campaign(raft))
		return;
	keeper_lost_mark_peers(raft, now);
	raft->role = KEEPER_PRECANDIDATE;
	keeper_vote_send_requests(raft, KEEPER_MSG_PREVOTE,
				  raft->ballot.term + 1);
	if (keeper_vote_won(raft))
		keeper_vote_campaign_next_term(raft, now);
}

/* True if the candidate's log has every entry that may be committed (Raft,
 * section 5.4.1). */
static bool keeper_vote_up_to_date(const keeper_raft_t *raft,
				   const keeper_message_t *message)
{
	const keeper_ballot_t *ballot =
		&message->body.keeper_message_body_t_u.ballot;
	uint64_t last = keeper_entries_last(&raft->entries), term = 0;

	if (!ballot->last_term && !keeper_bootstrap_may_vote(raft, message))
		return false;
	keeper_entries_term(&raft->entries, last, &term);
	if (ballot->last_term != term)
		return ballot->last_term > term;
	return ballot->last_index >= last;
}

void keeper_vote_on_prevote_request(keeper_raft_t *raft,
				    const keeper_message_t *message, usec_t now)
{
	keeper_message_t *reply;
	bool granted;

	keeper_join_on_candidate(raft, message, now);
	granted = message->term > raft->ballot.term &&
		  !keeper_vote_lease_possible(raft, now) &&
		  keeper_vote_up_to_date(raft, message);
	reply = keeper_raft_queue_reply(raft, message,
					KEEPER_MSG_PREVOTE_REPLY);
	if (!reply)
		return;
	reply->body.keeper_message_body_t_u.granted = granted;
	if (granted)
		reply->term = message->term;
}

/* True if this replica has not voted in this term, or has voted for the
 * candidate's disk. */
static bool keeper_vote_available(const keeper_raft_t *raft,
				  const keeper_message_t *message)
{
	const keeper_ballot_state_t *ballot = &raft->ballot;

	return !ballot->vote[0] ||
	       (!strcmp(ballot->vote, message->from) &&
		ballot->vote_incarnation == message->from_incarnation);
}

void keeper_vote_on_request(keeper_raft_t *raft,
			    const keeper_message_t *message, usec_t now)
{
	keeper_message_t *reply;
	bool granted;

	granted = !keeper_vote_lease_possible(raft, now) &&
		  keeper_vote_available(raft, message) &&
		  keeper_vote_up_to_date(raft, message);
	if (granted && !raft->ballot.vote[0]) {
		strcpy(raft->ballot.vote, message->from);
		raft->ballot.vote_incarnation = message->from_incarnation;
		raft->ballot_dirty = true;
		keeper_raft_become_follower(raft, raft->ballot.term, now);
	}
	reply = keeper_raft_queue_reply(raft, message, KEEPER_MSG_VOTE_REPLY);
	if (reply)
		reply->body.keeper_message_body_t_u.granted = granted;
}

void keeper_vote_on_response(keeper_raft_t *raft,
			     const keeper_message_t *message, usec_t now)
{
	bool prevote = message->body.kind == KEEPER_MSG_PREVOTE_REPLY;
	uint64_t term = raft->ballot.term + prevote;
	keeper_peer_t *peer;

	if (raft->role != (prevote ? KEEPER_PRECANDIDATE : KEEPER_CANDIDATE) ||
	    !message->body.keeper_message_body_t_u.granted ||
	    message->term != term)
		return;
	peer = keeper_raft_find_peer(raft, message->from,
				     message->from_incarnation);
	if (!peer || peer->learner)
		return;
	peer->voted = true;
	if (!keeper_vote_won(raft))
		return;
	if (prevote)
		keeper_vote_campaign_next_term(raft, now);
	else
		keeper_vote_become_leader(raft, now);
}
