#include <stdlib.h>
#include <string.h>
#include "member-swim.h"

static void table_copy(char *out, size_t size, const char *text)
{
	size_t length = strnlen(text, size - 1);

	memcpy(out, text, length);
	out[length] = '\0';
}

uint64_t member_table_random(member_swim_t *swim)
{
	swim->random ^= swim->random << 13;
	swim->random ^= swim->random >> 7;
	swim->random ^= swim->random << 17;
	return swim->random;
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

static unsigned table_gossip_times(const member_swim_t *swim)
{
	unsigned log2 = 1;

	while ((1U << log2) < swim->count + 1)
		log2++;
	return MEMBER_SWIM_GOSSIP_FACTOR * log2;
}

/* Make room by forgetting the member that has been dead for longest. */
static void table_forget_oldest(member_swim_t *swim)
{
	unsigned oldest = swim->count;
	unsigned i;

	for (i = 0; i < swim->count; i++) {
		if (member_swim_live(swim->nodes[i]) ||
		    swim->nodes[i] == swim->self)
			continue;
		if (oldest == swim->count ||
		    swim->nodes[i]->changed < swim->nodes[oldest]->changed)
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
	unsigned place;

	if (swim->count == MEMBER_MAX)
		table_forget_oldest(swim);
	if (swim->count == MEMBER_MAX)
		return NULL;
	node = calloc(1, sizeof(*node));
	if (!node)
		return NULL;
	table_copy(node->info.entry.name, HL_NAME_MAX, name);
	node->state = PEER_DEAD;
	node->changed = now;
	place = member_table_random(swim) % (swim->count + 1);
	swim->nodes[swim->count++] = swim->nodes[place];
	swim->nodes[place] = node;
	return node;
}

void member_table_set(member_swim_t *swim, member_node_t *node,
		      peer_state_t state, uint64_t incarnation, usec_t now)
{
	bool was = member_swim_live(node);

	node->state = state;
	node->incarnation = incarnation;
	node->changed = now;
	node->info.suspect = state == PEER_SUSPECT;
	node->by_us = false;
	if (state == PEER_SUSPECT)
		node->suspect_until = now + swim->options.suspicion;
	node->gossip_left = table_gossip_times(swim);
	if (was != member_swim_live(node))
		swim->version++;
}

static void table_addresses(member_node_t *node, const peer_member_t *said)
{
	owner_member_t *entry = &node->info.entry;

	table_copy(entry->zone, HL_NAME_MAX, said->zone);
	table_copy(entry->call_address, HL_ADDRESS_MAX, said->call_address);
	table_copy(entry->control_address, HL_ADDRESS_MAX,
		   said->control_address);
	table_copy(entry->peer_address, HL_ADDRESS_MAX, said->peer_address);
	table_copy(entry->rpc_address, HL_ADDRESS_MAX, said->rpc_address);
}

/* Somebody says of us what is not so: outbid it. */
static void table_refute(member_swim_t *swim, const peer_member_t *said,
			 usec_t now)
{
	member_node_t *self = swim->self;

	if (self->state == PEER_LEFT)
		return;
	if (said->incarnation < self->incarnation) {
		/* It missed our refutation: pass that on again. */
		if (said->state != PEER_ALIVE)
			self->gossip_left = table_gossip_times(swim);
		return;
	}
	if (said->incarnation == self->incarnation && said->state == PEER_ALIVE)
		return;
	if (said->state != PEER_ALIVE)
		swim->counts.refuted++;
	swim->refuted = true;
	member_table_set(swim, self, PEER_ALIVE, said->incarnation + 1, now);
}

static bool table_overrides(const member_node_t *node,
			    const peer_member_t *said)
{
	if (said->incarnation != node->incarnation)
		return said->incarnation > node->incarnation;
	return said->state > node->state;
}

void member_table_apply(member_swim_t *swim, const peer_member_t *said,
			bool page, usec_t now)
{
	bool first = false;
	member_node_t *node;

	if (!hl_name_valid(said->name))
		return;
	if (!strcmp(said->name, swim->self->info.entry.name)) {
		table_refute(swim, said, now);
		return;
	}
	node = member_swim_find(swim, said->name);
	if (!node) {
		node = member_table_add(swim, said->name, now);
		if (!node)
			return;
		first = true;
	} else if (!table_overrides(node, said)) {
		return;
	}
	if (said->incarnation > node->incarnation &&
	    strcmp(node->info.entry.peer_address, said->peer_address) != 0)
		swim->version++;
	table_addresses(node, said);
	member_table_set(swim, node, said->state, said->incarnation, now);
	if (page && first)
		node->gossip_left = 0;
}

/* The strings stay the node's: encode before it changes. */
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

static member_node_t *table_most_to_pass_on(member_swim_t *swim,
					    member_node_t *const *taken,
					    unsigned count)
{
	member_node_t *best = NULL;
	unsigned i;
	unsigned j;

	for (i = 0; i < swim->count; i++) {
		member_node_t *node = swim->nodes[i];

		if (!node->gossip_left ||
		    (best && node->gossip_left <= best->gossip_left))
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
		member_node_t *node = table_most_to_pass_on(swim, taken, count);

		if (!node)
			break;
		node->gossip_left--;
		taken[count++] = node;
	}
	for (unsigned i = 0; i < count; i++)
		table_describe(taken[i], &out[i]);
	return count;
}

static member_node_t *table_after(member_swim_t *swim, const char *after)
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

	while (count < max && (node = table_after(swim, after))) {
		table_describe(node, &out[count++]);
		after = node->info.entry.name;
	}
	*next = count && table_after(swim, after) ? after : "";
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
