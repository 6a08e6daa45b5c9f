#ifndef CONFIG_TREE_H
#define CONFIG_TREE_H

#include "owner.h"

/*
 * The fan-out tree of the live entries. They are sorted by name and laid out
 * like an array heap with a fixed number of children, so that entries with the
 * same list of live entries compute the same tree without communication.
 */

/** config_tree_sort - sort the live entries by name. */
void config_tree_sort(owner_member_t *members, unsigned count);

/** config_tree_find - index of a name in sorted members, or -1. */
int config_tree_find(const owner_member_t *members, unsigned count,
		     const char *name);

/**
 * config_tree_ancestor - index of an ancestor of an entry.
 * @index: index of the entry
 * @fanout: children of each entry, at least 1
 * @steps: 0 for the parent, 1 for its parent, ...
 *
 * Return: the index, or -1 above the root, where the keepers are polled.
 */
int config_tree_ancestor(int index, unsigned fanout, unsigned steps);

/** config_tree_is_child - whether @child polls @parent. */
bool config_tree_is_child(int child, int parent, unsigned fanout);

#endif
