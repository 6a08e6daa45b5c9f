#include <stdlib.h>
#include <string.h>
#include "config-ring.h"

int config_ring_init(config_ring_t *ring, size_t size, unsigned capacity)
{
	memset(ring, 0, sizeof(*ring));
	ring->items = calloc(capacity, size);
	ring->size = size;
	ring->capacity = capacity;
	return ring->items ? 0 : -1;
}

void config_ring_fini(config_ring_t *ring)
{
	free(ring->items);
	memset(ring, 0, sizeof(*ring));
}

void *config_ring_at(const config_ring_t *ring, unsigned index)
{
	return ring->items +
	       (ring->first + index) % ring->capacity * ring->size;
}

void *config_ring_push(config_ring_t *ring)
{
	return config_ring_at(ring, ring->count++);
}

void config_ring_pop(config_ring_t *ring)
{
	ring->first = (ring->first + 1) % ring->capacity;
	ring->count--;
}

void *config_ring_to_array(const config_ring_t *ring)
{
	char *list = malloc((ring->count + 1) * ring->size);
	unsigned i;

	for (i = 0; list && i < ring->count; i++)
		memcpy(list + i * ring->size, config_ring_at(ring, i),
		       ring->size);
	return list;
}
