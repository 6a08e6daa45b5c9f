#ifndef KEEPER_REGISTRY_H
#define KEEPER_REGISTRY_H

#include "keeper-core.h"
#include "presence.h"

/*
 * The registry holds the state of a keeper that is not in the log: the entries
 * that are alive, and when each copy last announced itself at any keeper. Its
 * thread handles presence datagrams; on the leader it also removes silent
 * copies.
 */
typedef struct keeper_registry keeper_registry_t;

/**
 * keeper_registry_new - open the UDP socket at the keeper's port.
 * @core: must outlive the registry
 *
 * Return: NULL with @err.
 */
keeper_registry_t *keeper_registry_new(keeper_core_t *core, hl_error_t *err);

/** keeper_registry_child - return the registry's thread for a supervisor. */
supervisor_child_t keeper_registry_child(keeper_registry_t *registry);

/** keeper_registry_free - free a registry whose thread has ended, or NULL. */
void keeper_registry_free(keeper_registry_t *registry);

/** keeper_registry_on_round_end - wake the thread after a new revision. */
void keeper_registry_on_round_end(keeper_registry_t *registry);

/** keeper_registry_record_copy - record that a copy announced itself here. */
void keeper_registry_record_copy(keeper_registry_t *registry, const char *copy,
				 usec_t now);

/**
 * keeper_registry_choose - choose entries for a caller.
 * @zone: zone of the caller, or "" if unknown
 * @out: filled in with their addresses
 * @max: size of @out
 *
 * Return: the number of addresses, chosen by presence_table_choose(); 0 if no
 * entry is ready or if out of memory.
 */
unsigned keeper_registry_choose(keeper_registry_t *registry, const char *zone,
				usec_t now, char (*out)[HL_ADDRESS_MAX],
				unsigned max);

/**
 * struct keeper_last_seen_t - when each copy last announced itself.
 *
 * It has no lock, does no I/O and reads no clock.
 */
typedef struct keeper_last_seen keeper_last_seen_t;

/** keeper_last_seen_new - allocate an empty table; NULL if out of memory. */
keeper_last_seen_t *keeper_last_seen_new(void);

/** keeper_last_seen_free - free a table; NULL is ignored. */
void keeper_last_seen_free(keeper_last_seen_t *table);

/** keeper_last_seen_id - return the hash of a copy's name. */
uint64_t keeper_last_seen_id(const char *copy);

/**
 * keeper_last_seen_record - record an announcement of a copy.
 * @table: the table
 * @id: hash of the copy's name
 * @own: whether this keeper received the announcement, and so must report it to
 *       the other keepers
 * @now: current time
 */
void keeper_last_seen_record(keeper_last_seen_t *table, uint64_t id, bool own,
			     usec_t now);

/**
 * keeper_last_seen_take_unreported - take ids to report to the other keepers.
 * @out: filled in; each id is returned once per recorded announcement
 *
 * Return: the number of ids, at most @max.
 */
unsigned keeper_last_seen_take_unreported(keeper_last_seen_t *table,
					  uint64_t *out, unsigned max);

/**
 * keeper_last_seen_find_silent - find copies without a recent announcement.
 * @config: the copies
 * @silence: time without an announcement after which a copy is silent
 * @out: filled in; the strings belong to @config
 *
 * A copy that is not in the table yet is added as seen at @now. While more than
 * half of the serving copies are silent, none is returned: the keepers are then
 * more likely to be cut off than the copies to have failed.
 *
 * Return: the number of copies, at most @max.
 */
unsigned keeper_last_seen_find_silent(keeper_last_seen_t *table,
				      const config_t *config, usec_t silence,
				      usec_t now, config_target_t *out,
				      unsigned max);

/**
 * keeper_last_seen_reset - remove all copies from the table.
 *
 * A new leader starts with an empty table, so that no copy is removed before
 * the full silence time has passed again.
 */
void keeper_last_seen_reset(keeper_last_seen_t *table);

#endif
