#ifndef CONFIG_SHOW_H
#define CONFIG_SHOW_H

#include <jansson.h>
#include <stdio.h>
#include "config.h"

/* Formats configurations and changes as TOML, JSON and plain text. */

/**
 * config_show_toml - print profiles and services as TOML declarations.
 *
 * Planned stops are printed as comments.
 */
void config_show_toml(const config_t *config, FILE *out);

/**
 * config_show_diff - print a line for each value that an item would change.
 * @current: the accepted configuration
 * @item: the item
 * @out: gets lines such as "+ profile fast", "- profile fast" or
 *       "~ profile fast: queue_max 8 -> 16"
 */
void config_show_diff(const config_t *current, const config_item_t *item,
		      FILE *out);

/**
 * config_show_json - profiles, services and planned stops as JSON.
 *
 * Return: a new reference.
 */
json_t *config_show_json(const config_t *config);

/**
 * config_show_change_json - a change with its items as JSON.
 *
 * Return: a new reference.
 */
json_t *config_show_change_json(const config_change_t *change);

/** config_show_item - format an item as text, such as "put profile fast". */
void config_show_item(const config_item_t *item, char *out, size_t size);

#endif
