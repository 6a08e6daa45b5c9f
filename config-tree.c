#include <stdlib.h>
#include <string.h>
#include "config-tree.h"

static int config_tree_compare(const void *a, const void *b)
{
	const owner_member_t *one = a, *two = b;

	return strcmp(one->name, two->name);
}

void config_tree_sort(owner_member_t *members, unsigned count)
{
	if (count)
		qsort(members, count, sizeof(*members), config_tree_compare);
}

int config_tree_find(const owner_member_t *members, unsigned count,
		     const char *name)
{
	unsigned low = 0, high = count;

	while (low < high) {
		unsigned middle = low + (high - low) / 2;
		int order = strcmp(members[middle].name, name);

		if (!order)
			return (int)middle;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return -1;
}

int config_tree_ancestor(int index, unsigned fanout, unsigned steps)
{
	do {
		if (index <= 0)
			return -1;
		index = (index - 1) / (int)fanout;
	} while (steps-- > 0);
	return index;
}

bool config_tree_is_child(int child, int parent, unsigned fanout)
{
	return child > 0 && config_tree_ancestor(child, fanout, 0) == parent;
}
