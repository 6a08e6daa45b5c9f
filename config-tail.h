#ifndef CONFIG_TAIL_H
#define CONFIG_TAIL_H

#include "config-ring.h"
#include "config.h"

/*
 * The most recent accepted changes, without gaps. Keepers and entries serve
 * deltas to followers from it.
 */

/* Maximum size of the retained changes, in bytes of XDR. */
#define CONFIG_TAIL_BYTES_MAX (4 * 1024 * 1024)

/** struct config_tail_t - a ring of changes. */
typedef struct {
	config_ring_t ring;
	size_t bytes; /* size of all changes, in bytes of XDR */
} config_tail_t;

/** config_tail_init - create an empty tail; 0, or -1 if out of memory. */
int config_tail_init(config_tail_t *tail);

/** config_tail_fini - free the tail and its changes. */
void config_tail_fini(config_tail_t *tail);

/** config_tail_clear - remove all changes, as after a full configuration. */
void config_tail_clear(config_tail_t *tail);

/**
 * config_tail_push - append the next change.
 * @tail: the tail; drops its oldest changes to stay within its bounds
 * @delta: the change; the tail takes ownership of what it points to
 */
void config_tail_push(config_tail_t *tail, const config_delta_t *delta);

/** config_tail_at - change at an index, 0 is the oldest. */
const config_delta_t *config_tail_at(const config_tail_t *tail, unsigned index);

/**
 * config_tail_copy - copy the changes after a revision.
 * @tail: the tail
 * @newest: the revision in force, which is that of the last change
 * @have: the revision that the requester has
 * @out: array of @max changes; free each one filled in with xdr_free()
 * @max: maximum number of changes
 *
 * Return: number of changes, or -1 if the requester needs the full
 * configuration.
 */
int config_tail_copy(const config_tail_t *tail, uint64_t newest, uint64_t have,
		     config_delta_t *out, unsigned max);

#endif
