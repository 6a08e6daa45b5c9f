#include <stdlib.h>
#include <string.h>
#include "keeper.h"

/* Members of the group, and their encoding in log entries and messages. */

keeper_node_t *keeper_group_find(const keeper_group_t *group, const char *name)
{
	unsigned i;

	for (i = 0; i < group->count; i++)
		if (!strcmp(group->nodes[i].name, name))
			return (keeper_node_t *)&group->nodes[i];
	return NULL;
}

bool keeper_group_is_voter(const keeper_group_t *group, const char *name,
			   uint64_t incarnation)
{
	const keeper_node_t *node = keeper_group_find(group, name);

	return node && node->voter && node->incarnation == incarnation;
}

static unsigned keeper_group_flags(const keeper_group_t *group,
				   const keeper_node_t *node)
{
	unsigned flags = KEEPER_NODE_VOTER;

	if (!node->voter)
		return 0;
	if (node->leaving)
		flags |= KEEPER_NODE_LEAVING;
	return flags | group->initial_size << KEEPER_NODE_INITIAL_SIZE_SHIFT;
}

/* Read the flags of a member; the voters carry the size of the first start. */
static void keeper_group_read_flags(keeper_group_t *group, keeper_node_t *node,
				    unsigned flags)
{
	node->voter = flags != 0;
	node->leaving = (flags & KEEPER_NODE_LEAVING) != 0;
	if (node->voter)
		group->initial_size = flags >> KEEPER_NODE_INITIAL_SIZE_SHIFT &
				      KEEPER_NODE_INITIAL_SIZE_MASK;
}

void keeper_group_to_wire(const keeper_group_t *group,
			  keeper_node_wire_t *nodes, keeper_group_wire_t *wire)
{
	unsigned i;

	for (i = 0; i < group->count; i++) {
		nodes[i].name = (char *)group->nodes[i].name;
		nodes[i].address = (char *)group->nodes[i].address;
		nodes[i].incarnation = group->nodes[i].incarnation;
		nodes[i].flags = keeper_group_flags(group, &group->nodes[i]);
	}
	wire->nodes.nodes_len = group->count;
	wire->nodes.nodes_val = nodes;
}

bool keeper_group_from_wire(const keeper_group_wire_t *wire,
			    keeper_group_t *group)
{
	unsigned i;

	memset(group, 0, sizeof(*group));
	for (i = 0; i < wire->nodes.nodes_len; i++) {
		const keeper_node_wire_t *from = &wire->nodes.nodes_val[i];
		keeper_node_t *node = &group->nodes[i];

		if (!hl_name_valid(from->name) ||
		    keeper_group_find(group, from->name))
			return false;
		strcpy(node->name, from->name);
		strcpy(node->address, from->address);
		node->incarnation = from->incarnation;
		keeper_group_read_flags(group, node, from->flags);
		group->count++;
	}
	return true;
}

bool keeper_group_encode(const keeper_group_t *group, char **body, size_t *size)
{
	keeper_node_wire_t nodes[KEEPER_VOTERS_MAX];
	keeper_group_wire_t wire;

	keeper_group_to_wire(group, nodes, &wire);
	return keeper_xdr_encode((xdrproc_t)xdr_keeper_group_wire_t, &wire,
				 body, size);
}

bool keeper_group_decode(const char *body, size_t size, keeper_group_t *group)
{
	keeper_group_wire_t wire = { 0 };
	bool ok;

	if (!keeper_xdr_decode((xdrproc_t)xdr_keeper_group_wire_t, body, size,
			       &wire))
		return false;
	ok = keeper_group_from_wire(&wire, group);
	xdr_free((xdrproc_t)xdr_keeper_group_wire_t, &wire);
	return ok;
}
