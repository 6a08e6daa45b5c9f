#ifndef ENTRY_HEAP_H
#define ENTRY_HEAP_H

#include "hemlock.h"

/*
 * An intrusive pairing heap: push takes O(1), removal of any node O(log n)
 * amortized; it allocates no memory.
 */

/** struct entry_heap_node_t - heap node, sorted by key, then by order. */
typedef struct entry_heap_node {
	struct entry_heap_node *child;
	struct entry_heap_node *next;
	struct entry_heap_node *prev; /* parent of a first child */
	usec_t key;
	uint64_t order;
} entry_heap_node_t;

/** entry_heap_push - add a node whose key and order are set. */
void entry_heap_push(entry_heap_node_t **root, entry_heap_node_t *node);

/** entry_heap_remove - remove a node that is in the heap. */
void entry_heap_remove(entry_heap_node_t **root, entry_heap_node_t *node);

#endif
