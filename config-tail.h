#ifndef CONFIG_TAIL_H
#define CONFIG_TAIL_H

#include "config-ring.h"
#include "config.h"

/* Bytes of XDR of the accepted changes that are kept for followers. */
#define CONFIG_TAIL_BYTES_MAX (4 * 1024 * 1024)

/** struct config_tail_t - the last accepted changes, without a gap. */
typedef struct {
	config_ring_t ring;
	size_t bytes;
} config_tail_t;

/** config_tail_init - an empty tail; -1 without memory. */
int config_tail_init(config_tail_t *tail);

/** config_tail_fini - free all. */
void config_tail_fini(config_tail_t *tail);

/** config_tail_clear - forget all, as after a whole configuration. */
void config_tail_clear(config_tail_t *tail);

/** config_tail_push - add the next change; the tail owns it from now on. */
void config_tail_push(config_tail_t *tail, const config_delta_t *delta);

/** config_tail_at - a change by its place, 0 is the oldest. */
const config_delta_t *config_tail_at(const config_tail_t *tail, unsigned place);

/**
 * config_tail_copy - the changes after a revision.
 * @tail: the tail
 * @newest: the revision in force, which the tail ends with
 * @have: the revision that the asker has
 * @out: room for @max, each to be freed with xdr_free()
 * @max: most changes
 *
 * Return: how many, or -1 when the asker needs the whole configuration.
 */
int config_tail_copy(const config_tail_t *tail, uint64_t newest, uint64_t have,
		     config_delta_t *out, unsigned max);

#endif
