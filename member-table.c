#include <stdlib.h>
#include <string.h>
#include "member-swim.h"

/* The table of members, and the order in which their states are gossiped. */

static void table_copy(char *out, size_t size, const char *text)
{
	size_t length = strnlen(text, size - 1);

	memcpy(out, text, length);
	out[length] = '\0';
}

uint64_t member_table_random(member_swim_t *swim)
{
	swim->rng_state ^= swim->rng_state << 13;
	swim->rng_state ^= swim->rng_state >> 7;
	swim->rng_state ^= swim->rng_state << 17;
	return swim->rng_state;
}

bool member_swim_live(const member_node_t *node)
{
	return node->state == PEER_ALIVE || node->state == PEER_SUSPECT;
}

member_node_t *member_swim_find(member_swim_t *swim, const char *name)
{
	unsigned i;

	for (i = 0; i < swim->count; i++)
		if (!strcmp(swim->nodes[i]->info.entry.name, name))
			return swim->nodes[i];
	return NULL;
}

/* Returns the number of times that this entry gossips a state change. */
static unsigned table_gossip_transmissions(const member_swim_t *swim)
{
	unsigned log2 = 1;

	while ((1U << log2) < swim->count + 1)
		log2++;
	return MEMBER_SWIM_GOSSIP_FACTOR * log2;
}

/* Removes the member that has been dead or left for the longest time. */
static void table_evict_oldest_dead(member_swim_t *swim)
{
	unsigned oldest = swim->count;
	unsigned i;

	for (i = 0; i < swim->count; i++) {
		if (member_swim_live(swim->nodes[i]) ||
		    swim->nodes[i] == swim->self)
			continue;
		if (oldest == swim->count ||
		    swim->nodes[i]->changed_at <
			    swim->nodes[oldest]->changed_at)
			oldest = i;
	}
	if (oldest == swim->count)
		return;
	if (swim->probe.node == swim->nodes[oldest])
		swim->probe.node = NULL;
	free(swim->nodes[oldest]);
	swim->nodes[oldest] = swim->nodes[--swim->count];
}

member_node_t *member_table_add(member_swim_t *swim, const char *name,
				usec_t now)
{
	member_node_t *node;
	unsigned index;

	if (swim->count == MEMBER_MAX)
		table_evict_oldest_dead(swim);
	if (swim->count == MEMBER_MAX)
		return NULL;
	node = calloc(1, sizeof(*node));
	if (!node)
		return NULL;
	table_copy(node->info.entry.name, HL_NAME_MAX, name);
	node->state = PEER_DEAD;
	node->changed_at = now;
	index = member_table_random(swim) % (swim->count + 1);
	swim->nodes[swim->count++] = swim->nodes[index];
	swim->nodes[index] = node;
	return node;
}

void member_table_set(member_swim_t *swim, member_node_t *node,
		      peer_state_t state, uint64_t incarnation, usec_t now)
{
	bool was_live = member_swim_live(node);

	node->state = state;
	node->incarnation = incarnation;
	node->changed_at = now;
	node->info.suspect = state == PEER_SUSPECT;
	node->suspected_locally = false;
	if (state == PEER_SUSPECT)
		node->suspect_until = now + swim->options.suspicion;
	node->gossip_remaining = table_gossip_transmissions(swim);
	if (was_live != member_swim_live(node))
		swim->version++;
}

static void table_set_addresses(member_node_t *node,
				const peer_member_t *reported)
{
	owner_member_t *entry = &node->info.entry;

	table_copy(entry->zone, HL_NAME_MAX, reported->zone);
	table_copy(entry->call_address, HL_ADDRESS_MAX, reported->call_address);
	table_copy(entry->control_address, HL_ADDRESS_MAX,
		   reported->control_address);
	table_copy(entry->peer_address, HL_ADDRESS_MAX, reported->peer_address);
	table_copy(entry->rpc_address, HL_ADDRESS_MAX, reported->rpc_address);
}

/* Refutes a report that this entry is not alive: raises the incarnation of this
   entry above the reported one. */
static void table_refute(member_swim_t *swim, const peer_member_t *reported,
			 usec_t now)
{
	member_node_t *self = swim->self;

	if (self->state == PEER_LEFT)
		return;
	if (reported->incarnation < self->incarnation) {
		/* The peer has not received the refutation: gossip it again. */
		if (reported->state != PEER_ALIVE)
			self->gossip_remaining = table_gossip_transmissions(
				swim);
		return;
	}
	if (reported->incarnation == self->incarnation &&
	    reported->state == PEER_ALIVE)
		return;
	if (reported->state != PEER_ALIVE)
		swim->counts.refuted++;
	swim->push_pending = true;
	member_table_set(swim, self, PEER_ALIVE, reported->incarnation + 1,
			 now);
}

/* Whether a reported state of a member is newer than its state in the table. */
static bool table_overrides(const member_node_t *node,
			    const peer_member_t *reported)
{
	if (reported->incarnation != node->incarnation)
		return reported->incarnation > node->incarnation;
	return reported->state > node->state;
}

void member_table_apply(member_swim_t *swim, const peer_member_t *reported,
			bool from_page, usec_t now)
{
	bool is_new = false;
	member_node_t *node;

	if (!hl_name_valid(reported->name))
		return;
	if (!strcmp(reported->name, swim->self->info.entry.name)) {
		table_refute(swim, reported, now);
		return;
	}
	node = member_swim_find(swim, reported->name);
	if (!node) {
		node = member_table_add(swim, reported->name, now);
		if (!node)
			return;
		is_new = true;
	} else if (!table_overrides(node, reported)) {
		return;
	}
	if (reported->incarnation > node->incarnation &&
	    strcmp(node->info.entry.peer_address, reported->peer_address) != 0)
		swim->version++;
	table_set_addresses(node, reported);
	member_table_set(swim, node, reported->state, reported->incarnation,
			 now);
	if (from_page && is_new)
		node->gossip_remaining = 0;
}

/* Describes @node in @out, whose strings are valid until @node changes. */
static void table_describe(member_node_t *node, peer_member_t *out)
{
	owner_member_t *entry = &node->info.entry;

	out->name = entry->name;
	out->zone = entry->zone;
	out->call_address = entry->call_address;
	out->control_address = entry->control_address;
	out->peer_address = entry->peer_address;
	out->rpc_address = entry->rpc_address;
	out->incarnation = node->incarnation;
	out->state = node->state;
}

/* Returns the member outside @taken whose state was sent least, or NULL. */
static member_node_t *table_next_gossip(member_swim_t *swim,
					member_node_t *const *taken,
					unsigned count)
{
	member_node_t *best = NULL;
	unsigned i;
	unsigned j;

	for (i = 0; i < swim->count; i++) {
		member_node_t *node = swim->nodes[i];

		if (!node->gossip_remaining ||
		    (best && node->gossip_remaining <= best->gossip_remaining))
			continue;
		for (j = 0; j < count && taken[j] != node; j++)
			;
		if (j == count)
			best = node;
	}
	return best;
}

unsigned member_table_gossip(member_swim_t *swim, const member_node_t *first,
			     peer_member_t *out)
{
	member_node_t *taken[PEER_GOSSIP_MAX];
	unsigned count = 0;

	if (first)
		taken[count++] = (member_node_t *)first;
	while (count < PEER_GOSSIP_MAX) {
		member_node_t *node = table_next_gossip(swim, taken, count);

		if (!node)
			break;
		node->gossip_remaining--;
		taken[count++] = node;
	}
	for (unsigned i = 0; i < count; i++)
		table_describe(taken[i], &out[i]);
	return count;
}

/* Returns the member with the first name after @after, or NULL. */
static member_node_t *table_next_by_name(member_swim_t *swim, const char *after)
{
	member_node_t *best = NULL;
	unsigned i;

	for (i = 0; i < swim->count; i++) {
		member_node_t *node = swim->nodes[i];

		if (strcmp(node->info.entry.name, after) <= 0)
			continue;
		if (!best ||
		    strcmp(node->info.entry.name, best->info.entry.name) < 0)
			best = node;
	}
	return best;
}

unsigned member_table_page(member_swim_t *swim, const char *after,
			   peer_member_t *out, unsigned max, const char **next)
{
	member_node_t *node;
	unsigned count = 0;

	while (count < max && (node = table_next_by_name(swim, after))) {
		table_describe(node, &out[count++]);
		after = node->info.entry.name;
	}
	*next = count && table_next_by_name(swim, after) ? after : "";
	return count;
}

uint64_t member_table_digest(const member_swim_t *swim)
{
	uint64_t digest = 0;
	unsigned i;

	for (i = 0; i < swim->count; i++) {
		const member_node_t *node = swim->nodes[i];
		const char *name = node->info.entry.name;

		if (member_swim_live(node))
			digest ^= hl_hash(name, strlen(name),
					  node->incarnation);
	}
	return digest;
}
