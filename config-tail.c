#include <string.h>
#include "config-tail.h"

/* A change with the bytes it takes in a message. */
typedef struct {
	config_delta_t delta;
	size_t bytes;
} config_kept_t;

static void config_tail_drop(config_tail_t *tail)
{
	config_kept_t *kept = config_ring_at(&tail->ring, 0);

	tail->bytes -= kept->bytes;
	xdr_free((xdrproc_t)xdr_config_delta_t, (char *)&kept->delta);
	config_ring_drop(&tail->ring);
}

int config_tail_init(config_tail_t *tail)
{
	tail->bytes = 0;
	return config_ring_init(&tail->ring, sizeof(config_kept_t),
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
	config_kept_t *kept;

	if (tail->ring.count == tail->ring.capacity)
		config_tail_drop(tail);
	kept = config_ring_push(&tail->ring);
	kept->delta = *delta;
	kept->bytes = xdr_sizeof((xdrproc_t)xdr_config_delta_t, (void *)delta);
	tail->bytes += kept->bytes;
	while (tail->bytes > CONFIG_TAIL_BYTES_MAX)
		config_tail_drop(tail);
}

const config_delta_t *config_tail_at(const config_tail_t *tail, unsigned place)
{
	const config_kept_t *kept = config_ring_at(&tail->ring, place);

	return &kept->delta;
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
