#ifndef CONFIG_H
#define CONFIG_H

#include <rpc/rpc.h>
#include "config_rpc.h"
#include "hemlock.h"
#include "keeper_rpc.h"

/*
 * The replicated configuration: profiles, services, planned stops, routes,
 * pools, limits, the routing version and the announced copies. config_t and
 * its objects are XDR types (rpc/config_rpc.x); the functions here look them
 * up, encode them and apply accepted changes to them.
 */

/** config_find_profile - find a profile by name, or NULL. */
const config_profile_t *config_find_profile(const config_t *config,
					    const char *name);

/** config_find_service - find a service by name, or NULL. */
const config_service_t *config_find_service(const config_t *config,
					    const char *name);

/**
 * config_find_pool - find the pool of a routed service by name, or NULL.
 *
 * A pool holds the settings that all copies of the service share.
 */
const config_pool_t *config_find_pool(const config_t *config, const char *name);

/** config_find_target - find an announced copy by its id, or NULL. */
const config_target_t *config_find_target(const config_t *config,
					  const char *name);

/** config_routing_version - the routing version in force, or NULL. */
const config_routing_version_t *config_routing_version(const config_t *config);

/** config_profile_set_defaults - set a profile's numbers to their defaults. */
void config_profile_set_defaults(config_profile_t *profile);

/**
 * config_encode - encode a value as XDR.
 * @proc: (xdrproc_t)xdr_... of its type
 * @value: the value; no string in it may be NULL
 * @bytes: set to the encoded bytes; free with free()
 * @size: set to their number
 *
 * Return: 0, or -1 if out of memory or if the value exceeds a bound of its
 * type.
 */
int config_encode(xdrproc_t proc, const void *value, char **bytes,
		  size_t *size);

/**
 * config_decode - decode a value from XDR.
 * @proc: (xdrproc_t)xdr_... of its type
 * @bytes: the encoded bytes; trailing bytes are an error
 * @size: their number
 * @value: filled in; free with xdr_free(); all zero on failure
 * @value_size: sizeof the type
 *
 * Return: 0, or -1 if the bytes do not encode a value of this type.
 */
int config_decode(xdrproc_t proc, const char *bytes, size_t size, void *value,
		  size_t value_size);

/**
 * config_copy - make a deep copy of a value.
 * @proc: (xdrproc_t)xdr_... of its type
 * @from: the value
 * @to: filled in; free with xdr_free(); all zero on failure
 * @value_size: sizeof the type
 *
 * Return: 0, or -1 if out of memory.
 */
int config_copy(xdrproc_t proc, const void *from, void *to, size_t value_size);

/**
 * config_apply_item - apply one accepted item to a configuration.
 * @config: the configuration
 * @revision: the revision of the change that holds the item
 * @item: the item; config_check_item() has accepted it
 *
 * Return: 0, or -1 if out of memory.
 */
int config_apply_item(config_t *config, uint64_t revision,
		      const config_item_t *item);

/**
 * config_report_has_effect - whether an item that a process reported changes
 * the configuration.
 * @item: an item about a copy, the rate of a copy or a suspect; other items are
 *        written by operators
 */
bool config_report_has_effect(const config_t *config,
			      const config_item_t *item);

/**
 * config_apply_delta - apply all items of an accepted change.
 * @config: the configuration at the revision before @delta; set to the
 *          revision of @delta
 * @delta: the change
 *
 * Return: 0, or -1 if out of memory.
 */
int config_apply_delta(config_t *config, const config_delta_t *delta);

/**
 * config_merge - merge a response of a keeper or parent.
 * @config: the current configuration; its revision never decreases
 * @body: a full configuration, or deltas; older ones are skipped
 *
 * Return: 0, or -1 if out of memory or if a delta is missing; the caller then
 * fetches the full configuration.
 */
int config_merge(config_t *config, const keeper_fetch_body_t *body);

/** config_route_kind_name - name of a kind of routes; "unknown" if unknown. */
const char *config_route_kind_name(config_route_kind_t kind);

/**
 * config_route_kind_parse - find a kind of routes by its name.
 *
 * Return: false if the name is unknown.
 */
bool config_route_kind_parse(const char *word, config_route_kind_t *kind);

/** config_route_kinds - the names of all kinds, for error messages. */
const char *config_route_kinds(void);

#endif
