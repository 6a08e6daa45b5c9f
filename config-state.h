#ifndef CONFIG_STATE_H
#define CONFIG_STATE_H

#include "config.h"

/*
 * The state that the replicated log stands for: the configuration, the first
 * answers of the last CONFIG_DEDUP_MAX change ids, the last accepted changes.
 * Pure and deterministic: replicas that apply the same changes are equal.
 *
 * A change that comes again after its id has left the window cannot be told
 * from a new one by its id. It is told by the revision it was made from: one
 * older than the newest accepted change that was forgotten is refused.
 */
typedef struct config_state config_state_t;

/** config_state_new - revision 0, nothing declared; NULL without memory. */
config_state_t *config_state_new(void);

/** config_state_free - free all; NULL is allowed. */
void config_state_free(config_state_t *state);

/**
 * config_state_apply - apply one committed change.
 * @state: the state
 * @index: its index in the log
 * @change: the change
 * @answer: filled in, to be freed with xdr_free(); the first answer again
 *          when the id is known
 *
 * Return: 0, or -1 without memory; then the state is as before.
 */
int config_state_apply(config_state_t *state, uint64_t index,
		       const config_change_t *change, config_answer_t *answer);

/** config_state_answer - the first answer of an id, NULL if unknown. */
const config_answer_t *config_state_answer(const config_state_t *state,
					   const char *id);

/** config_state_config - the configuration, valid until the next apply. */
const config_t *config_state_config(const config_state_t *state);

/**
 * config_state_deltas - the accepted changes after a revision.
 * @state: the state
 * @have: the revision that the asker has
 * @out: room for @max, each to be freed with xdr_free()
 * @max: most deltas
 *
 * Return: how many, or -1 when the asker needs the whole configuration.
 */
int config_state_deltas(const config_state_t *state, uint64_t have,
			config_delta_t *out, unsigned max);

/**
 * config_state_save - the whole state as bytes for a snapshot.
 *
 * Return: 0 and bytes to be freed with free(), or -1 without memory.
 */
int config_state_save(const config_state_t *state, char **bytes, size_t *size);

/** config_state_load - the reverse; NULL with HL_ERR_CORRUPT if malformed. */
config_state_t *config_state_load(const char *bytes, size_t size,
				  hl_error_t *err);

#endif
