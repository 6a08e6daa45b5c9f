#ifndef CONFIG_TREE_H
#define CONFIG_TREE_H

#include "owner.h"

/*
 * The fan-out tree: the live entries sorted by name, laid out as a heap with
 * a fixed number of children. Entries that see the same live ones agree.
 */

/** config_tree_sort - put the live entries in the order of the tree. */
void config_tree_sort(owner_member_t *members, unsigned count);

/** config_tree_find - the place of a name in sorted members, or -1. */
int config_tree_find(const owner_member_t *members, unsigned count,
		     const char *name);

/**
 * config_tree_ancestor - whom an entry asks.
 * @place: of the entry
 * @fanout: children of each entry, at least 1
 * @steps: 0 for the parent, 1 for its parent, ...
 *
 * Return: a place, or -1 past the root: the keepers.
 */
int config_tree_ancestor(int place, unsigned fanout, unsigned steps);

/** config_tree_is_child - does @child ask @parent? */
bool config_tree_is_child(int child, int parent, unsigned fanout);

#endif
