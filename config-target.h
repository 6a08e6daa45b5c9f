#ifndef CONFIG_TARGET_H
#define CONFIG_TARGET_H

#include "config.h"

/*
 * Copies as they announced themselves. Announcements may come late, twice and
 * in any order: the newest by start and sequence counts, and a copy that
 * drains or has left does not become ready again under the same start.
 */

/**
 * config_target_supersedes - does an announcement change what is known?
 * @held: what is known of the copy, or NULL
 * @said: the announcement
 *
 * Return: false if it is older, or only repeats what is known.
 */
bool config_target_supersedes(const config_target_t *held,
			      const config_target_t *said);

/** config_target_serves - the copy runs and its address is its own. */
bool config_target_serves(const config_target_t *target);

/**
 * config_target_put - take an announcement in.
 *
 * A ready copy at the address of another one displaces that.
 *
 * Return: 0, or -1 without memory.
 */
int config_target_put(config_t *config, const config_target_t *said,
		      uint64_t revision);

/**
 * config_target_retire - forget a copy that has been silent.
 * @base: the revision that last wrote it; one that was written since stays
 */
void config_target_retire(config_t *config, const config_target_t *said,
			  uint64_t base);

/** config_target_only - a change of nothing but targets, with an item. */
bool config_target_only(const config_change_t *change);

#endif
