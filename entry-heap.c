#include "entry-heap.h"

static bool heap_before(const entry_heap_node_t *a, const entry_heap_node_t *b)
{
	return a->key < b->key || (a->key == b->key && a->order < b->order);
}

/* Make the later of two roots the first child of the other. */
static entry_heap_node_t *heap_meld(entry_heap_node_t *a, entry_heap_node_t *b)
{
	entry_heap_node_t *top = a;
	entry_heap_node_t *low = b;

	if (!a || !b)
		return a ? a : b;
	if (heap_before(b, a)) {
		top = b;
		low = a;
	}
	low->next = top->child;
	if (low->next)
		low->next->prev = low;
	low->prev = top;
	top->child = low;
	return top;
}

/* Meld siblings in pairs from the left, then the pairs from the right. */
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
		a = heap_meld(a, b);
		a->next = pairs;
		pairs = a;
	}
	while (pairs) {
		entry_heap_node_t *next = pairs->next;

		pairs->next = NULL;
		root = heap_meld(root, pairs);
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
	*root = heap_meld(*root, node);
}

void entry_heap_remove(entry_heap_node_t **root, entry_heap_node_t *node)
{
	entry_heap_node_t *rest = heap_merge_pairs(node->child);

	if (node == *root) {
		*root = rest;
	} else {
		if (node->prev->child == node)
			node->prev->child = node->next;
		else
			node->prev->next = node->next;
		if (node->next)
			node->next->prev = node->prev;
		*root = heap_meld(*root, rest);
	}
	node->child = NULL;
	node->next = NULL;
	node->prev = NULL;
}
