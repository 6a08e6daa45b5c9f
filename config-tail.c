#include <string.h>
#include "config-tail.h"

/* A change with its size in XDR, in bytes. */
typedef struct {
	config_delta_t delta;
	size_t bytes;
} config_tail_item_t;

static void config_tail_drop(config_tail_t *tail)
{
	config_tail_item_t *item = config_ring_at(&tail->ring, 0);

	tail->bytes -= item->bytes;
	xdr_free((xdrproc_t)xdr_config_delta_t, (char *)&item->delta);
	config_ring_pop(&tail->ring);
}

int config_tail_init(config_tail_t *tail)
{
	tail->bytes = 0;
	return config_ring_init(&tail->ring, sizeof(config_tail_item_t),
				CONFIG_DELTAS_MAX);
}

void config_tail_fini(config_tail_t *tail)
{
	config_tail_clear(tail);
	config_ring_fini(&tail->ring);
}

void config_tail_clear(config_tail_t *tail)
{
	while (tail->ring.count)
		config_tail_drop(tail);
}

void config_tail_push(config_tail_t *tail, const config_delta_t *delta)
{
	config_tail_item_t *item;

	if (tail->ring.count == tail->ring.capacity)
		config_tail_drop(tail);
	item = config_ring_push(&tail->ring);
	item->delta = *delta;
	item->bytes = xdr_sizeof((xdrproc_t)xdr_config_delta_t, (void *)delta);
	tail->bytes += item->bytes;
	while (tail->bytes > CONFIG_TAIL_BYTES_MAX)
		config_tail_drop(tail);
}

const config_delta_t *config_tail_at(const config_tail_t *tail, unsigned index)
{
	const config_tail_item_t *item = config_ring_at(&tail->ring, index);

	return &item->delta;
}

int config_tail_copy(const config_tail_t *tail, uint64_t newest, uint64_t have,
		     config_delta_t *out, unsigned max)
{
	unsigned count = tail->ring.count;
	unsigned first, i;

	if (have >= newest)
		return 0;
	if (newest - have > count)
		return -1;
	first = count - (unsigned)(newest - have);
	for (i = 0; i < max && first + i < count; i++)
		if (config_copy((xdrproc_t)xdr_config_delta_t,
				config_tail_at(tail, first + i), &out[i],
				sizeof(out[i])))
			break;
	return i ? (int)i : -1;
}
