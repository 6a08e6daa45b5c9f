#ifndef CONFIG_SHOW_H
#define CONFIG_SHOW_H

#include <jansson.h>
#include <stdio.h>
#include "config.h"

/** config_show_toml - all profiles and services as declarations. */
void config_show_toml(const config_t *config, FILE *out);

/**
 * config_show_diff - one line for each value that an item would change.
 * @current: the configuration as accepted
 * @item: the item
 * @out: lines of "+ profile fast", "~ profile fast: queue_max 8 -> 16" or
 *       "- profile fast"
 */
void config_show_diff(const config_t *current, const config_item_t *item,
		      FILE *out);

/** config_show_json - the whole configuration; a new reference. */
json_t *config_show_json(const config_t *config);

/** config_show_change_json - a change with its items; a new reference. */
json_t *config_show_change_json(const config_change_t *change);

/** config_show_item - what an item does in a few words. */
void config_show_item(const config_item_t *item, char *out, size_t size);

#endif
