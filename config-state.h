#ifndef CONFIG_STATE_H
#define CONFIG_STATE_H

#include "config.h"

/*
 * The replicated state machine of the keepers. It holds the configuration, the
 * dedup records (change ids with their first answers) of the last
 * CONFIG_DEDUP_MAX changes, tombstones of retired objects and the most recent
 * accepted changes. It does no I/O and is deterministic: replicas that apply
 * the same log are equal byte for byte.
 *
 * A change that is sent again after its dedup record was dropped would look
 * like a new one. It is detected by the revision that it was made from: a
 * change made from a revision older than the newest accepted change without a
 * dedup record is refused.
 */
typedef struct config_state config_state_t;

/** config_state_new - empty state at revision 0; NULL if out of memory. */
config_state_t *config_state_new(void);

/** config_state_free - free the state; NULL is allowed. */
void config_state_free(config_state_t *state);

/**
 * config_state_apply - apply one committed change.
 * @state: the state
 * @index: log index of the change
 * @change: the change
 * @answer: filled in; free with xdr_free(); for a repeated id the first answer
 *
 * Return: 0, or -1 if out of memory; the state is then unchanged.
 */
int config_state_apply(config_state_t *state, uint64_t index,
		       const config_change_t *change, config_answer_t *answer);

/** config_state_answer - first answer to a change id, NULL if not recorded. */
const config_answer_t *config_state_answer(const config_state_t *state,
					   const char *id);

/** config_state_config - current configuration, valid until the next apply. */
const config_t *config_state_config(const config_state_t *state);

/**
 * config_state_deltas - copy the accepted changes after a revision.
 * @state: the state
 * @have: the revision that the requester has
 * @out: array of @max deltas; free each one filled in with xdr_free()
 * @max: maximum number of deltas
 *
 * Return: number of deltas, or -1 if the requester needs the full
 * configuration.
 */
int config_state_deltas(const config_state_t *state, uint64_t have,
			config_delta_t *out, unsigned max);

/**
 * config_state_save - encode the state as a snapshot.
 * @state: the state
 * @bytes: set to the snapshot; free with free()
 * @size: set to its size
 *
 * Return: 0, or -1 if out of memory.
 */
int config_state_save(const config_state_t *state, char **bytes, size_t *size);

/**
 * config_state_load - create a state from a snapshot.
 * @bytes: the snapshot
 * @size: its size
 * @err: HL_ERR_CORRUPT if the snapshot is malformed, or HL_ERR_NOMEM
 *
 * Return: the state, or NULL.
 */
config_state_t *config_state_load(const char *bytes, size_t size,
				  hl_error_t *err);

#endif
