#ifndef CONFIG_RATE_H
#define CONFIG_RATE_H

#include "config.h"

/*
 * The rates that copies name, in the configuration. They are written by the
 * keepers after reports of entries, not by operators. A write names the revision
 * of the rate that it is based on, so that of two reports that contradict each
 * other only the first takes effect.
 */

/** config_rate_find - return the rate of a copy, or NULL. */
const config_copy_rate_t *config_rate_find(const config_t *config,
					   const char *copy);

/**
 * config_rate_has_effect - whether an item about a rate changes anything.
 * @item: CONFIG_PUT_COPY_RATE or CONFIG_RETIRE_COPY_RATE
 *
 * Return: false if the rate was written since the revision that @item is based
 * on, or if the copy has gone or runs as another process.
 */
bool config_rate_has_effect(const config_t *config, const config_item_t *item);

/**
 * config_rate_apply - apply an item about a rate, if it has an effect.
 *
 * Return: 0, or -1 if out of memory.
 */
int config_rate_apply(config_t *config, const config_item_t *item,
		      uint64_t revision);

/**
 * config_rate_drop_stale - remove the rates of copies whose process has ended.
 *
 * To be called when a copy has changed in the configuration.
 */
void config_rate_drop_stale(config_t *config);

#endif
