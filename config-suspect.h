#ifndef CONFIG_SUSPECT_H
#define CONFIG_SUSPECT_H

#include "config.h"

/*
 * Calls that copies ran when they crashed, in the configuration. The keepers
 * write them after reports of entries.
 *
 * A further crash counts only if the call was sent after the crash before it was
 * reported. When many copies end for another reason, such as a power failure,
 * each call that runs at several of them therefore counts once.
 */

/** config_suspect_find - return a suspected call by its digest, or NULL. */
const config_suspect_t *config_suspect_find(const config_t *config,
					    const char *digest);

/**
 * config_suspect_has_effect - whether an item about a suspect changes anything.
 * @item: CONFIG_PUT_SUSPECT with one crash, or CONFIG_RETIRE_SUSPECT with the
 *        revision of the suspect as base
 */
bool config_suspect_has_effect(const config_t *config,
			       const config_item_t *item);

/**
 * config_suspect_apply - apply an item about a suspect, if it has an effect.
 *
 * If there are too many suspects the oldest is removed, one that is still sent
 * to copies before others.
 *
 * Return: 0, or -1 if out of memory.
 */
int config_suspect_apply(config_t *config, const config_item_t *item,
			 uint64_t revision);

#endif
