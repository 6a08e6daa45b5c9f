#ifndef CONFIG_TARGET_H
#define CONFIG_TARGET_H

#include "config.h"

/*
 * Merging of copy announcements into the configuration. Announcements may
 * arrive late, twice and in any order. The latest start time takes precedence.
 * With the same start time a copy only advances from ready to draining to left,
 * whatever the sequence numbers; in the same state the highest sequence number
 * takes effect.
 */

/**
 * config_target_supersedes - whether an announcement changes the stored copy.
 * @existing: the stored copy, or NULL
 * @announced: the announcement
 *
 * Return: false if the announcement is older than the stored copy, or differs
 * from it at most in the sequence number.
 */
bool config_target_supersedes(const config_target_t *existing,
			      const config_target_t *announced);

/** config_target_serves - whether a copy is ready or draining. */
bool config_target_serves(const config_target_t *target);

/**
 * config_target_put - apply an announcement.
 * @config: the configuration
 * @announced: the announcement
 * @revision: the revision of the change that holds it
 *
 * A ready copy displaces any other copy with the same address.
 *
 * Return: 0, or -1 if out of memory.
 */
int config_target_put(config_t *config, const config_target_t *announced,
		      uint64_t revision);

/**
 * config_target_retire - remove a copy that stopped announcing itself.
 * @config: the configuration
 * @announced: the copy; only its id is used
 * @base: the revision that last wrote the copy; a copy that was written since
 *        is kept
 */
void config_target_retire(config_t *config, const config_target_t *announced,
			  uint64_t base);

#endif
