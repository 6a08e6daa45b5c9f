#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include "config-object.h"

/** struct config_ruling_t - what the rules say about a change. */
typedef struct {
	config_verdict_t verdict;
	const config_item_t *item; /* the first one in conflict */
	char message[CONFIG_MESSAGE_MAX + 1];
} config_ruling_t;

/**
 * config_check_item - may this item be applied to @config?
 * @config: the configuration with the items before it applied
 * @item: the item
 * @revision: that the whole change would make
 * @ruling: filled in when not
 *
 * Return: true if it may.
 */
bool config_check_item(const config_t *config, const config_item_t *item,
		       uint64_t revision, config_ruling_t *ruling);

/**
 * config_check_references - does @config hold together after @change?
 *
 * A service must name a profile that is there, and a stop a service.
 */
bool config_check_references(const config_t *config,
			     const config_change_t *change,
			     config_ruling_t *ruling);

#endif
