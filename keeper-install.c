#include <stdlib.h>
#include <string.h>
#include "keeper-raft.h"

/*
 * Transfer of the snapshot, chunk by chunk, to a peer that needs entries which
 * the leader's log no longer has (Raft, section 7).
 */

static bool keeper_install_fill_chunk(keeper_raft_t *raft,
				      keeper_install_t *install, size_t offset)
{
	const keeper_snapshot_t *snapshot = &raft->snapshot;
	keeper_node_wire_t nodes[KEEPER_VOTERS_MAX];
	keeper_install_t part = { 0 };
	size_t size = snapshot->size - offset;

	if (size > KEEPER_CHUNK_MAX)
		size = KEEPER_CHUNK_MAX;
	part.index = snapshot->index;
	part.term = snapshot->term;
	keeper_group_to_wire(&snapshot->group, nodes, &part.group);
	part.size = snapshot->size;
	part.offset = offset;
	part.chunk.chunk_len = size;
	part.chunk.chunk_val = snapshot->state + offset;
	return keeper_xdr_copy((xdrproc_t)xdr_keeper_install_t, &part, install);
}

void keeper_install_send(keeper_raft_t *raft, keeper_peer_t *peer, usec_t now)
{
	keeper_install_t *install;
	keeper_message_t *message;

	if (peer->snapshot_offset > raft->snapshot.size)
		peer->snapshot_offset = 0;
	message = keeper_raft_queue_message(raft, &peer->node,
					    KEEPER_MSG_INSTALL);
	if (!message)
		return;
	install = &message->body.keeper_message_body_t_u.install;
	if (!keeper_install_fill_chunk(raft, install, peer->snapshot_offset))
		raft->out_of_memory = true;
	install->sent = now;
	peer->sent_at = now;
	peer->in_flight = true;
}

static void keeper_install_discard(keeper_raft_t *raft)
{
	free(raft->incoming.state);
	memset(&raft->incoming, 0, sizeof(raft->incoming));
	raft->incoming_capacity = 0;
}

/* Grow the buffer to at least @size bytes. It is sized by the bytes received so
 * far instead of the size in the message, which may be wrong. */
static bool keeper_install_reserve(keeper_raft_t *raft, size_t size)
{
	size_t capacity = raft->incoming_capacity ? raft->incoming_capacity :
						    KEEPER_CHUNK_MAX;
	char *state;

	while (capacity < size)
		capacity *= 2;
	if (capacity == raft->incoming_capacity)
		return true;
	state = realloc(raft->incoming.state, capacity);
	if (!state)
		return false;
	raft->incoming.state = state;
	raft->incoming_capacity = capacity;
	return true;
}

/* Append a chunk if it is the next one. The first chunk of a snapshot discards
 * what was received before. */
static bool keeper_install_add_chunk(keeper_raft_t *raft,
				     const keeper_install_t *install)
{
	keeper_snapshot_t *incoming = &raft->incoming;

	if (install->offset == 0 || incoming->index != install->index ||
	    incoming->term != install->term) {
		keeper_install_discard(raft);
		incoming->index = install->index;
		incoming->term = install->term;
	}
	if (install->offset != incoming->size)
		return true;
	if (!keeper_install_reserve(raft,
				    incoming->size + install->chunk.chunk_len))
		return false;
	if (install->chunk.chunk_len)
		memcpy(incoming->state + incoming->size,
		       install->chunk.chunk_val, install->chunk.chunk_len);
	incoming->size += install->chunk.chunk_len;
	return true;
}

/* Install the received snapshot in place of the log up to its index. If the
 * entry at that index has another term than the snapshot, the whole log is
 * removed. */
static void keeper_install_finish(keeper_raft_t *raft)
{
	keeper_snapshot_t snapshot = raft->incoming;
	uint64_t term;

	memset(&raft->incoming, 0, sizeof(raft->incoming));
	raft->incoming_capacity = 0;
	if (!keeper_entries_term(&raft->entries, snapshot.index, &term) ||
	    term != snapshot.term)
		keeper_entries_truncate(&raft->entries, raft->entries.base);
	keeper_raft_compact(raft, &snapshot);
	raft->commit = raft->snapshot.index;
	if (raft->saved < raft->commit)
		raft->saved = raft->commit;
	if (raft->saved > keeper_entries_last(&raft->entries))
		raft->saved = keeper_entries_last(&raft->entries);
	raft->snapshot_dirty = true;
	keeper_raft_load_group(raft);
}

static void keeper_install_reply(keeper_raft_t *raft,
				 const keeper_message_t *message,
				 uint64_t offset)
{
	const keeper_install_t *install =
		&message->body.keeper_message_body_t_u.install;
	keeper_install_reply_t *reply;
	keeper_message_t *out;

	out = keeper_raft_queue_reply(raft, message, KEEPER_MSG_INSTALL_REPLY);
	if (!out)
		return;
	reply = &out->body.keeper_message_body_t_u.install_reply;
	reply->index = install->index;
	reply->offset = offset;
	reply->sent = install->sent;
}

bool keeper_install_on_request(keeper_raft_t *raft,
			       const keeper_message_t *message, usec_t now)
{
	const keeper_install_t *install =
		&message->body.keeper_message_body_t_u.install;
	keeper_group_t group;
	uint64_t offset;

	if (raft->role == KEEPER_LEADER ||
	    install->size > KEEPER_SNAPSHOT_MAX ||
	    install->offset > install->size ||
	    install->chunk.chunk_len > install->size - install->offset ||
	    install->term > message->term ||
	    !keeper_group_from_wire(&install->group, &group))
		return false;
	keeper_raft_accept_leader(raft, message->from, now);
	if (install->index <= raft->commit) {
		keeper_install_reply(raft, message, install->size);
		return true;
	}
	if (!keeper_install_add_chunk(raft, install)) {
		raft->out_of_memory = true;
		return true;
	}
	offset = raft->incoming.size;
	if (offset == install->size) {
		raft->incoming.group = group;
		keeper_install_finish(raft);
	}
	keeper_install_reply(raft, message, offset);
	return true;
}

bool keeper_install_on_response(keeper_raft_t *raft,
				const keeper_message_t *message, usec_t now)
{
	const keeper_install_reply_t *reply =
		&message->body.keeper_message_body_t_u.install_reply;
	keeper_peer_t *peer;

	peer = keeper_raft_find_peer(raft, message->from,
				     message->from_incarnation);
	if (raft->role != KEEPER_LEADER || !peer)
		return true;
	if (reply->sent > now || reply->index > raft->commit)
		return false;
	if (reply->sent > peer->acked_at)
		peer->acked_at = reply->sent;
	if (reply->index != raft->snapshot.index ||
	    peer->match_index >= reply->index)
		return true;
	peer->in_flight = false;
	peer->snapshot_offset = reply->offset;
	if (reply->offset == raft->snapshot.size) {
		peer->snapshot_offset = 0;
		peer->match_index = reply->index;
		peer->next_index = reply->index + 1;
	}
	keeper_append_send(raft, peer, now);
	return true;
}
