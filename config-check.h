#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include "config-object.h"

/*
 * Validation of configuration changes. It is part of the replicated state
 * machine, so that a verdict depends only on the configuration and the change.
 */

/** struct config_check_result_t - verdict on a change. */
typedef struct {
	config_verdict_t verdict;
	const config_item_t *item; /* first item in conflict */
	char message[CONFIG_MESSAGE_MAX + 1];
} config_check_result_t;

/**
 * config_check_item - check whether an item may be applied.
 * @config: the configuration with the preceding items of the change applied
 * @item: the item
 * @revision: the revision that the change would create
 * @result: filled in if the item is refused or in conflict
 *
 * Return: true if it may be applied.
 */
bool config_check_item(const config_t *config, const config_item_t *item,
		       uint64_t revision, config_check_result_t *result);

/**
 * config_check_references - check the references that a change affects.
 * @config: the configuration with @change applied
 * @change: the change
 * @result: filled in if the change is refused
 *
 * A service needs an existing profile, a planned stop an existing service, and
 * a route existing pools. No two routes may have the same host and prefix, and
 * an object in use cannot be retired.
 *
 * Return: true if all references are valid.
 */
bool config_check_references(const config_t *config,
			     const config_change_t *change,
			     config_check_result_t *result);

#endif
