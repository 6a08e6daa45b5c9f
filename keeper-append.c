#include <string.h>
#include "keeper-raft.h"

/*
 * Log replication: a leader sends its entries to each peer, a follower stores
 * them, and the leader commits what a quorum has saved (Raft, section 5.3).
 */

/* Number of entries, beginning with the one at @index, that fit one message. */
static unsigned keeper_append_batch_count(const keeper_entries_t *entries,
					  uint64_t index)
{
	const keeper_entry_t *entry;
	size_t bytes = 0;
	unsigned count = 0;

	while (count < KEEPER_ENTRIES_MAX &&
	       (entry = keeper_entries_at(entries, index + count))) {
		bytes += entry->body.body_len;
		if (count && bytes > KEEPER_APPEND_BYTES_MAX)
			break;
		count++;
	}
	return count;
}

/* Copy @count entries, beginning with the one at @index, into the message. */
static void keeper_append_copy_entries(keeper_raft_t *raft,
				       keeper_append_t *append, uint64_t index,
				       unsigned count)
{
	keeper_entries_t view = raft->entries;
	keeper_append_t slice = { 0 };

	if (!count)
		return;
	slice.entries.entries_len = count;
	slice.entries.entries_val = view.list + (index - view.base - 1);
	if (!keeper_xdr_copy((xdrproc_t)xdr_keeper_append_t, &slice, append))
		raft->out_of_memory = true;
}

void keeper_append_send(keeper_raft_t *raft, keeper_peer_t *peer, usec_t now)
{
	keeper_message_t *message;
	keeper_append_t *append;
	unsigned count;

	if (!peer->node.incarnation)
		return; /* a founder that has not joined */
	if (peer->next_index <= raft->entries.base) {
		keeper_install_send(raft, peer, now);
		return;
	}
	message = keeper_raft_queue_message(raft, &peer->node,
					    KEEPER_MSG_APPEND);
	if (!message)
		return;
	count = keeper_append_batch_count(&raft->entries, peer->next_index);
	append = &message->body.keeper_message_body_t_u.append;
	keeper_append_copy_entries(raft, append, peer->next_index, count);
	append->prev_index = peer->next_index - 1;
	keeper_entries_term(&raft->entries, append->prev_index,
			    &append->prev_term);
	append->commit = raft->commit;
	append->sent = now;
	peer->sent_at = now;
	peer->in_flight = count > 0;
}

void keeper_append_broadcast(keeper_raft_t *raft, bool idle, usec_t now)
{
	unsigned i;

	for (i = 0; i < raft->peer_count; i++)
		if (!idle || !raft->peers[i].in_flight)
			keeper_append_send(raft, &raft->peers[i], now);
}

static uint64_t keeper_append_peer_match(const keeper_peer_t *peer)
{
	return peer->match_index;
}

void keeper_append_advance(keeper_raft_t *raft, usec_t now)
{
	uint64_t index, term = 0;

	index = keeper_quorum_value(raft, raft->saved,
				    keeper_append_peer_match);
	/* Only an entry of the current term is committed by counting the
	 * replicas (Raft, section 5.4.2). */
	if (index <= raft->commit ||
	    !keeper_entries_term(&raft->entries, index, &term) ||
	    term != raft->ballot.term)
		return;
	raft->commit = index;
	keeper_append_broadcast(raft, true, now);
	if (raft->commit >= raft->group_index && !keeper_raft_is_voter(raft))
		keeper_raft_become_follower(raft, raft->ballot.term, now);
	else
		keeper_leave_remove_marked(raft, now);
}

/* True if the entries are consecutive, their terms never fall or exceed the
 * sender's, and their groups decode. */
static bool keeper_append_is_valid(const keeper_message_t *message)
{
	const keeper_append_t *append =
		&message->body.keeper_message_body_t_u.append;
	uint64_t term = append->prev_term;
	keeper_group_t group;
	u_int i;

	for (i = 0; i < append->entries.entries_len; i++) {
		const keeper_entry_t *entry = &append->entries.entries_val[i];

		if (entry->index != append->prev_index + 1 + i ||
		    entry->term < term || entry->term > message->term)
			return false;
		if (entry->kind == KEEPER_ENTRY_GROUP &&
		    !keeper_group_decode(entry->body.body_val,
					 entry->body.body_len, &group))
			return false;
		term = entry->term;
	}
	return true;
}

/* True if this log has the entry that precedes those of the message. All logs
 * agree up to the commit index. */
static bool keeper_append_prev_matches(const keeper_raft_t *raft,
				       const keeper_append_t *append)
{
	uint64_t term;

	if (append->prev_index <= raft->commit)
		return true;
	return keeper_entries_term(&raft->entries, append->prev_index, &term) &&
	       term == append->prev_term;
}

/* Store one entry. If the log has an entry of another term at this index, that
 * entry and all after it are removed first. */
static bool keeper_append_insert(keeper_raft_t *raft,
				 const keeper_entry_t *entry)
{
	uint64_t term, last = keeper_entries_last(&raft->entries);

	if (entry->index <= raft->commit)
		return true;
	if (entry->index <= last) {
		keeper_entries_term(&raft->entries, entry->index, &term);
		if (term == entry->term)
			return true;
		keeper_entries_truncate(&raft->entries, entry->index - 1);
		if (raft->saved >= entry->index)
			raft->saved = entry->index - 1;
	}
	if (keeper_entries_push(&raft->entries, entry))
		return true;
	raft->out_of_memory = true;
	return false;
}

static void keeper_append_reply(keeper_raft_t *raft,
				const keeper_message_t *message, bool matched,
				uint64_t index)
{
	keeper_append_reply_t *reply;
	keeper_message_t *out;

	out = keeper_raft_queue_reply(raft, message, KEEPER_MSG_APPEND_REPLY);
	if (!out)
		return;
	reply = &out->body.keeper_message_body_t_u.append_reply;
	reply->matched = matched;
	reply->index = index;
	reply->sent = message->body.keeper_message_body_t_u.append.sent;
}

bool keeper_append_on_request(keeper_raft_t *raft,
			      const keeper_message_t *message, usec_t now)
{
	const keeper_append_t *append =
		&message->body.keeper_message_body_t_u.append;
	uint64_t last = keeper_entries_last(&raft->entries);
	uint64_t last_sent = append->prev_index + append->entries.entries_len;
	u_int i;

	if (raft->role == KEEPER_LEADER || !keeper_append_is_valid(message))
		return false;
	keeper_raft_accept_leader(raft, message->from, now);
	if (!keeper_append_prev_matches(raft, append)) {
		if (last > append->prev_index - 1)
			last = append->prev_index - 1;
		keeper_append_reply(raft, message, false, last);
		return true;
	}
	for (i = 0; i < append->entries.entries_len; i++)
		if (!keeper_append_insert(raft,
					  &append->entries.entries_val[i]))
			return true;
	keeper_raft_load_group(raft);
	if (last_sent > raft->commit && append->commit > raft->commit)
		raft->commit = append->commit < last_sent ? append->commit :
							    last_sent;
	keeper_append_reply(raft, message, true, last_sent);
	return true;
}

/* Resend from the entry after @index, since the peer lacks the entry that
 * precedes those sent before. */
static void keeper_append_rewind(keeper_raft_t *raft, keeper_peer_t *peer,
				 uint64_t index, usec_t now)
{
	if (index + 1 >= peer->next_index || index < peer->match_index)
		return; /* a response to an older message */
	peer->next_index = index + 1;
	keeper_append_send(raft, peer, now);
}

bool keeper_append_on_response(keeper_raft_t *raft,
			       const keeper_message_t *message, usec_t now)
{
	const keeper_append_reply_t *reply =
		&message->body.keeper_message_body_t_u.append_reply;
	uint64_t last = keeper_entries_last(&raft->entries);
	keeper_peer_t *peer;

	peer = keeper_raft_find_peer(raft, message->from,
				     message->from_incarnation);
	if (raft->role != KEEPER_LEADER || !peer)
		return true;
	if (reply->sent > now || reply->index > last)
		return false;
	if (reply->sent > peer->acked_at)
		peer->acked_at = reply->sent;
	peer->in_flight = false;
	if (!reply->matched) {
		keeper_append_rewind(raft, peer, reply->index, now);
		return true;
	}
	if (reply->index > peer->match_index)
		peer->match_index = reply->index;
	if (peer->next_index <= peer->match_index)
		peer->next_index = peer->match_index + 1;
	if (peer->next_index <= last)
		keeper_append_send(raft, peer, now);
	if (peer->learner)
		keeper_change_promote(raft, peer, now);
	else
		keeper_append_advance(raft, now);
	return true;
}
