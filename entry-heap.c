#include "entry-heap.h"

static bool heap_less(const entry_heap_node_t *a, const entry_heap_node_t *b)
{
	return a->key < b->key || (a->key == b->key && a->order < b->order);
}

/* Merge two heaps: the larger root becomes the first child of the other. */
static entry_heap_node_t *heap_merge(entry_heap_node_t *a, entry_heap_node_t *b)
{
	entry_heap_node_t *top = a;
	entry_heap_node_t *bottom = b;

	if (!a || !b)
		return a ? a : b;
	if (heap_less(b, a)) {
		top = b;
		bottom = a;
	}
	bottom->next = top->child;
	if (bottom->next)
		bottom->next->prev = bottom;
	bottom->prev = top;
	top->child = bottom;
	return top;
}

/* Merge siblings in pairs from the left, then the pairs from the right. */
static entry_heap_node_t *heap_merge_pairs(entry_heap_node_t *first)
{
	entry_heap_node_t *pairs = NULL;
	entry_heap_node_t *root = NULL;

	while (first) {
		entry_heap_node_t *a = first;
		entry_heap_node_t *b = a->next;

		first = b ? b->next : NULL;
		a->next = NULL;
		if (b)
			b->next = NULL;
		a = heap_merge(a, b);
		a->next = pairs;
		pairs = a;
	}
	while (pairs) {
		entry_heap_node_t *next = pairs->next;

		pairs->next = NULL;
		root = heap_merge(root, pairs);
		pairs = next;
	}
	if (root)
		root->prev = NULL;
	return root;
}

void entry_heap_push(entry_heap_node_t **root, entry_heap_node_t *node)
{
	node->child = NULL;
	node->next = NULL;
	node->prev = NULL;
	*root = heap_merge(*root, node);
}

void entry_heap_remove(entry_heap_node_t **root, entry_heap_node_t *node)
{
	entry_heap_node_t *children = heap_merge_pairs(node->child);

	if (node == *root) {
		*root = children;
	} else {
		if (node->prev->child == node)
			node->prev->child = node->next;
		else
			node->prev->next = node->next;
		if (node->next)
			node->next->prev = node->prev;
		*root = heap_merge(*root, children);
	}
	node->child = NULL;
	node->next = NULL;
	node->prev = NULL;
}
