#ifndef CONFIG_RING_H
#define CONFIG_RING_H

#include "hemlock.h"

/** struct config_ring_t - the last @capacity items, oldest first. */
typedef struct {
	char *items;
	size_t size; /* of one item */
	unsigned capacity, first, count;
} config_ring_t;

/** config_ring_init - an empty ring; -1 without memory. */
int config_ring_init(config_ring_t *ring, size_t size, unsigned capacity);

/** config_ring_fini - free the ring, not what its items point to. */
void config_ring_fini(config_ring_t *ring);

/** config_ring_at - the item at a place, 0 is the oldest. */
void *config_ring_at(const config_ring_t *ring, unsigned place);

/** config_ring_push - room for a new item at the end; the ring is not full. */
void *config_ring_push(config_ring_t *ring);

/** config_ring_drop - forget the oldest item; there is one. */
void config_ring_drop(config_ring_t *ring);

/** config_ring_list - the items in order in new memory, NULL without. */
void *config_ring_list(const config_ring_t *ring);

#endif
