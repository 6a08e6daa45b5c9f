#ifndef CONFIG_H
#define CONFIG_H

#include <rpc/rpc.h>
#include "config_rpc.h"
#include "hemlock.h"
#include "keeper_rpc.h"

/** config_find_profile - by name, or NULL. */
const config_profile_t *config_find_profile(const config_t *config,
					    const char *name);

/** config_find_service - by name, or NULL. */
const config_service_t *config_find_service(const config_t *config,
					    const char *name);

/** config_find_pool - what the copies of a routed service share, or NULL. */
const config_pool_t *config_find_pool(const config_t *config, const char *name);

/** config_find_target - a copy by its id, or NULL. */
const config_target_t *config_find_target(const config_t *config,
					  const char *name);

/** config_routing_version - the version of the routing; NULL while there is none. */
const config_routing_version_t *config_routing_version(const config_t *config);

/** config_profile_set_defaults - the values of a profile that names none. */
void config_profile_set_defaults(config_profile_t *profile);

/**
 * config_encode - a value as XDR bytes.
 * @proc: (xdrproc_t)xdr_... of its type
 * @value: the value; no string in it may be NULL
 * @bytes: set to the bytes, to be freed with free()
 * @size: set to their number
 *
 * Return: 0, or -1 without memory or past a bound of the type.
 */
int config_encode(xdrproc_t proc, const void *value, char **bytes,
		  size_t *size);

/**
 * config_decode - the reverse; all of @bytes must be used up.
 * @proc: of the type
 * @bytes: the bytes
 * @size: their number
 * @value: filled in, to be freed with xdr_free(); all zero on failure
 * @value_size: sizeof of the type
 *
 * Return: 0, or -1 when the bytes are no such value.
 */
int config_decode(xdrproc_t proc, const char *bytes, size_t size, void *value,
		  size_t value_size);

/** config_copy - a deep copy, to be freed with xdr_free(); 0 or -1. */
int config_copy(xdrproc_t proc, const void *from, void *to, size_t value_size);

/**
 * config_apply_item - write one accepted item into a configuration.
 *
 * The item has passed config_check_item(). Return: 0, or -1 without memory.
 */
int config_apply_item(config_t *config, uint64_t revision,
		      const config_item_t *item);

/** config_apply_delta - apply an accepted change; its revision follows. */
int config_apply_delta(config_t *config, const config_delta_t *delta);

/**
 * config_merge - take over what a keeper or parent sent.
 * @config: the configuration so far; never goes back
 * @body: a whole configuration, or deltas of which older ones are skipped
 *
 * Return: 0, or -1 without memory or at a gap; then fetch the whole.
 */
int config_merge(config_t *config, const keeper_fetch_body_t *body);

#endif
