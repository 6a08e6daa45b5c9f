#ifndef CONFIG_RING_H
#define CONFIG_RING_H

#include "hemlock.h"

/*
 * A ring buffer of items of one size. It holds plain bytes: what the items
 * point to belongs to the caller.
 */

/** struct config_ring_t - up to @capacity items, oldest first. */
typedef struct {
	char *items;
	size_t size; /* size of one item, in bytes */
	unsigned capacity, first, count;
} config_ring_t;

/** config_ring_init - create an empty ring; 0, or -1 if out of memory. */
int config_ring_init(config_ring_t *ring, size_t size, unsigned capacity);

/** config_ring_fini - free the ring, not what its items point to. */
void config_ring_fini(config_ring_t *ring);

/** config_ring_at - item at an index, 0 is the oldest. */
void *config_ring_at(const config_ring_t *ring, unsigned index);

/** config_ring_push - space for a new last item; the ring must not be full. */
void *config_ring_push(config_ring_t *ring);

/** config_ring_pop - remove the oldest item; the ring must not be empty. */
void config_ring_pop(config_ring_t *ring);

/**
 * config_ring_to_array - copy the items to an array, oldest first.
 *
 * Return: the array, to be freed with free(), or NULL if out of memory.
 */
void *config_ring_to_array(const config_ring_t *ring);

#endif
