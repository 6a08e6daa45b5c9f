#ifndef KEEPER_REGISTRY_H
#define KEEPER_REGISTRY_H

#include "keeper-core.h"
#include "presence.h"

/*
 * What a keeper knows without its log: which entries live, and when each copy
 * was heard of last, by this keeper or another one. A thread of its own
 * answers the datagrams and, on the leader, forgets silent copies.
 */
typedef struct keeper_registry keeper_registry_t;

/** keeper_registry_new - open the socket; NULL with @err. */
keeper_registry_t *keeper_registry_new(keeper_core_t *core, hl_error_t *err);
supervisor_child_t keeper_registry_child(keeper_registry_t *registry);
void keeper_registry_free(keeper_registry_t *registry);

/** keeper_registry_on_round_end - the core may have applied something. */
void keeper_registry_on_round_end(keeper_registry_t *registry);

/** keeper_registry_record_copy - a copy announced itself here. */
void keeper_registry_record_copy(keeper_registry_t *registry, const char *copy,
				 usec_t now);

/**
 * keeper_registry_choose - addresses of entries for a caller.
 * @zone: of the caller, or ""
 * @out: filled in
 *
 * Return: how many, at most @max.
 */
unsigned keeper_registry_choose(keeper_registry_t *registry, const char *zone,
				usec_t now, char (*out)[HL_ADDRESS_MAX],
				unsigned max);

/** keeper_last_seen_t - when copies were heard of last; pure. */
typedef struct keeper_last_seen keeper_last_seen_t;

keeper_last_seen_t *keeper_last_seen_new(void);
void keeper_last_seen_free(keeper_last_seen_t *table);

/** keeper_last_seen_id - a copy as keepers name it among themselves. */
uint64_t keeper_last_seen_id(const char *copy);

/**
 * keeper_last_seen_record - a copy was heard of.
 * @own: here, so that the other keepers are to be told
 */
void keeper_last_seen_record(keeper_last_seen_t *table, uint64_t id, bool own,
			     usec_t now);

/** keeper_last_seen_take_unreported - ids to tell the others; they are told once. */
unsigned keeper_last_seen_take_unreported(keeper_last_seen_t *table,
					  uint64_t *out, unsigned max);

/**
 * keeper_last_seen_find_silent - copies that nobody has heard of for a while.
 * @config: the copies
 * @silence: how long
 * @out: filled in; the strings are the configuration's
 *
 * A copy counts as heard of when it is first looked at. While more than half
 * of all are silent, nobody is: then it is the keepers that are cut off.
 *
 * Return: how many, at most @max.
 */
unsigned keeper_last_seen_find_silent(keeper_last_seen_t *table,
				      const config_t *config, usec_t silence,
				      usec_t now, config_target_t *out,
				      unsigned max);

/** keeper_last_seen_reset - all count as heard of at @now. */
void keeper_last_seen_reset(keeper_last_seen_t *table);

#endif
