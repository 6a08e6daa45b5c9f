#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "config-rate.h"
#include "config-target.h"
#include "entry-io.h"

/*
 * With entry.routed, applies the routes and copies in each new configuration of
 * the keepers, and reports the presence of this entry to the keepers. A copy
 * that drains or is removed gets no new call once the lock of its service has
 * been released.
 */

/* Lower bound of the connections to one copy; with 0 the copy would get no
   calls. */
#define TARGET_CONNECTIONS_MIN 1u

/* Replaces the connection pool of a copy if its address has changed. The caller
   holds the lock of the copy's upstream. */
static void target_update_pool(entry_copy_t *copy, const char *address,
			       unsigned connections)
{
	if (copy->io && !strcmp(copy->address, address))
		return;
	if (copy->io)
		entry_conn_pool_unref(copy->io);
	snprintf(copy->address, sizeof(copy->address), "%s", address);
	copy->io = entry_conn_pool_new(address, connections);
}

/* Updates a copy from the configuration. If the process of the copy is new, the
   statistics of the copy are reset, and a slow start of cold_ms milliseconds
   begins unless cold_ms is 0. The caller holds upstream->lock. */
static void target_update_copy(entry_upstream_t *upstream, entry_copy_t *copy,
			       const config_target_t *target,
			       unsigned connections, usec_t now)
{
	bool new_process = copy->started_ms != target->started_ms || !copy->io;

	if (new_process && copy->io)
		entry_service_copy_reset(&upstream->service, copy);
	if (new_process && target->cold_ms)
		entry_service_slow_start(copy,
					 now + target->cold_ms * USEC_PER_MS,
					 now);
	copy->started_ms = target->started_ms;
	snprintf(copy->zone, sizeof(copy->zone), "%s", target->zone);
	copy->slots = target->slots;
	copy->connections = connections;
	target_update_pool(copy, target->address, connections);
	copy->limit = copy->io ? connections : 0;
	copy->drain_declared = target->state != CONFIG_TARGET_READY;
	copy->drain_pending = entry_config_copy_is_pending(upstream->entry,
							   copy->name);
	copy->draining = copy->leaving || copy->drain_declared ||
			 copy->drain_pending;
	copy->last_seen = now;
	copy->lease_until = USEC_NEVER;
}

/* Applies the rate that the configuration has for a copy. The caller holds the
   lock of the copy's upstream. */
static void target_apply_rate(entry_upstream_t *upstream, entry_copy_t *copy,
			      const config_copy_rate_t *rate, usec_t now)
{
	const char *self = upstream->entry->settings.name;
	bool held = rate && !strcmp(rate->holder, self);

	entry_service_declare_rate(&upstream->service, copy,
				   rate ? rate->millirate : 0,
				   rate ? rate->revision : 0, held, now);
}

static void target_apply_copy(entry_t *entry, const config_t *config,
			      const config_target_t *target,
			      const config_pool_t *pool, usec_t now)
{
	entry_upstream_t *upstream =
		entry_upstream_find_or_add(entry, target->service);
	unsigned connections = pool->connections;
	entry_copy_t *copy;

	if (!upstream)
		return;
	if (connections < TARGET_CONNECTIONS_MIN)
		connections = TARGET_CONNECTIONS_MIN;
	pthread_mutex_lock(&upstream->lock);
	snprintf(upstream->health_path, sizeof(upstream->health_path), "%s",
		 pool->health_path);
	copy = entry_service_copy_find(&upstream->service, target->name);
	if (!copy)
		copy = entry_service_copy_add(&upstream->service, target->name,
					      now);
	if (copy) {
		target_update_copy(upstream, copy, target, connections, now);
		target_apply_rate(upstream, copy,
				  config_rate_find(config, copy->name), now);
	}
	pthread_mutex_unlock(&upstream->lock);
}

/* Removes the copies that the configuration no longer has for a service. A copy
   with calls outstanding is marked as draining, and removed when a later
   configuration is applied. */
static void target_remove_absent(entry_upstream_t *upstream,
				 const config_t *config)
{
	entry_copy_t *copy;
	entry_copy_t *next;

	pthread_mutex_lock(&upstream->lock);
	cds_list_for_each_entry_safe (copy, next, &upstream->service.copies,
				      link) {
		const config_target_t *target;
		entry_conn_pool_t *pool = copy->io;

		target = config_find_target(config, copy->name);
		if (target && config_target_serves(target) &&
		    !strcmp(target->service, upstream->name))
			continue;
		copy->drain_pending = false;
		copy->draining = true;
		if (!entry_service_copy_remove(&upstream->service, copy) &&
		    pool)
			entry_conn_pool_unref(pool);
	}
	pthread_mutex_unlock(&upstream->lock);
}

/* Seed of the rendezvous hashing that chooses this entry's subset of the copies
   of a service. Each entry has another seed, so that their subsets differ. */
static uint64_t target_seed(const entry_t *entry)
{
	const char *name = entry->settings.name;

	return hl_hash(name, strlen(name), 0);
}

static void target_apply_copies(entry_t *entry, const config_t *config,
				usec_t now)
{
	entry_upstream_t *upstream = NULL;
	u_int i;

	for (i = 0; i < config->targets.targets_len; i++) {
		const config_target_t *target = &config->targets.targets_val[i];
		const config_pool_t *pool;

		pool = config_find_pool(config, target->service);
		if (pool && config_target_serves(target))
			target_apply_copy(entry, config, target, pool, now);
	}
	while ((upstream = entry_upstream_next(entry, upstream))) {
		target_remove_absent(upstream, config);
		pthread_mutex_lock(&upstream->lock);
		entry_service_choose_subset(&upstream->service,
					    target_seed(entry));
		pthread_mutex_unlock(&upstream->lock);
	}
}

/* Replaces the routes if the configuration has another routing version. */
static void target_apply_rules(entry_t *entry, const config_t *config)
{
	const config_routing_version_t *routing_version =
		config_routing_version(config);
	entry_rules_t *rules;
	entry_rules_t *old;

	if (!routing_version ||
	    routing_version->revision == entry->rules_revision)
		return;
	rules = entry_rules_new(config, hl_hash(entry->settings.name,
						strlen(entry->settings.name),
						routing_version->revision));
	if (!rules) {
		log_event(LOG_LEVEL_ERROR, "routing-not-taken",
			  "version=%" PRIu64
			  " message=\"out of memory; give the VM more memory\"",
			  (uint64_t)routing_version->number);
		return;
	}
	pthread_mutex_lock(&entry->rules_lock);
	old = entry->rules;
	entry->rules = rules;
	entry->rules_revision = routing_version->revision;
	pthread_mutex_unlock(&entry->rules_lock);
	entry_rules_free(old);
	log_event(LOG_LEVEL_NOTICE, "routing-in-force",
		  "version=%" PRIu64 " revision=%" PRIu64
		  " routes=%u services=%u",
		  (uint64_t)routing_version->number,
		  (uint64_t)routing_version->revision,
		  config->routes.routes_len, config->pools.pools_len);
}

void entry_target_apply(entry_t *entry, const config_t *config, usec_t now)
{
	entry_upstream_t *upstream = NULL;

	entry_crash_apply(entry, config, now);
	target_apply_copies(entry, config, now);
	target_apply_rules(entry, config);
	while ((upstream = entry_upstream_next(entry, upstream)))
		entry_dispatch_next(upstream, now);
	if (entry_target_has_routes(entry))
		entry_pending_release(entry, now);
}

/* Updates whether a copy gets no calls until a leader responds. One that gets none for
   another reason, such as one that the configuration no longer has, stays as it is. The
   caller holds upstream->lock. */
static void target_update_pending(entry_upstream_t *upstream,
				  entry_copy_t *copy)
{
	bool pending = entry_config_copy_is_pending(upstream->entry,
						    copy->name);

	if (pending == copy->drain_pending || (pending && copy->draining))
		return;
	copy->drain_pending = pending;
	copy->draining = copy->leaving || copy->drain_declared || pending;
	log_event(LOG_LEVEL_NOTICE, pending ? "copy-held" : "copy-released",
		  "service=%s copy=%s", upstream->name, copy->name);
}

void entry_target_apply_pending(entry_t *entry, usec_t now)
{
	entry_upstream_t *upstream = NULL;
	entry_copy_t *copy;

	while ((upstream = entry_upstream_next(entry, upstream))) {
		pthread_mutex_lock(&upstream->lock);
		cds_list_for_each_entry (copy, &upstream->service.copies, link)
			target_update_pending(upstream, copy);
		entry_service_choose_subset(&upstream->service,
					    target_seed(entry));
		pthread_mutex_unlock(&upstream->lock);
		entry_dispatch_next(upstream, now);
	}
}

bool entry_target_match_route(entry_t *entry, const char *host,
			      const char *target, const char *part,
			      entry_rule_t *rule, char service[HL_NAME_MAX],
			      char name[HL_NAME_MAX])
{
	bool found;

	pthread_mutex_lock(&entry->rules_lock);
	found = entry_rules_match(entry->rules, host, target, part, rule);
	if (found) {
		snprintf(service, HL_NAME_MAX, "%s", rule->service);
		snprintf(name, HL_NAME_MAX, "%s", rule->name);
		rule->revision = entry->rules_revision;
	}
	pthread_mutex_unlock(&entry->rules_lock);
	rule->service = service;
	rule->name = name;
	return found;
}

uint64_t entry_target_rules_revision(entry_t *entry)
{
	uint64_t revision;

	pthread_mutex_lock(&entry->rules_lock);
	revision = entry->rules_revision;
	pthread_mutex_unlock(&entry->rules_lock);
	return revision;
}

bool entry_target_has_routes(entry_t *entry)
{
	bool routed;

	pthread_mutex_lock(&entry->rules_lock);
	routed = entry->rules != NULL;
	pthread_mutex_unlock(&entry->rules_lock);
	return routed;
}

bool entry_target_is_impaired(entry_t *entry, usec_t now)
{
	return entry_config_outdated(entry, now) ||
	       entry_sibling_is_impaired(entry, now);
}

/* Callbacks of the presence thread, which exchanges datagrams with keepers. */

static bool target_is_ready(void *context)
{
	entry_t *entry = context;

	return !__atomic_load_n(&entry->stopping, __ATOMIC_ACQUIRE) &&
	       entry_config_ready(entry) && entry_target_has_routes(entry);
}

static bool target_is_impaired(void *context)
{
	return entry_target_is_impaired(context, time_now());
}

static void target_on_newer_revision(void *context, const char *keeper,
				     uint64_t revision, usec_t now)
{
	entry_t *entry = context;
	setting_list_t leader = { .count = 1 };
	setting_list_t reporter = { .count = 1 };
	presence_keepers_t keepers;
	uint16_t port = config_follow_control_port(&entry->settings.follow);

	config_follow_report(entry->follow, revision, now);
	strcpy(reporter.items[0], keeper);
	presence_client_keepers(entry->presence, &keepers, leader.items[0]);
	leader.count = *leader.items[0] != '\0';
	config_follow_set_ports(&keepers.list, port);
	config_follow_set_ports(&leader, port);
	config_follow_set_ports(&reporter, port);
	config_follow_trigger(entry->follow, &keepers, leader.items[0],
			      reporter.items[0]);
}

static void target_on_leader(void *context, const char *keeper,
			     uint64_t revision, usec_t asked_at)
{
	entry_t *entry = context;

	config_follow_confirm(entry->follow, revision, asked_at, keeper);
}

int entry_target_presence_new(entry_t *entry, hl_error_t *err)
{
	const entry_settings_t *settings = &entry->settings;
	setting_list_t keepers = settings->follow.keepers;
	presence_client_options_t options = {
		.cluster = settings->cluster,
		.name = settings->name,
		.zone = settings->zone,
		.call_address = entry->call_address,
		.address = settings->address,
		.keepers = &keepers,
		.interval = settings->beat_ms * USEC_PER_MS,
		.keepers_drops = metrics_counter(
			entry->metrics, "hemlock_entry_keepers_drops_total", "",
			"older or malformed lists of keepers in datagrams"),
		.ready = target_is_ready,
		.impaired = target_is_impaired,
		.revision = entry_config_revision,
		.on_newer_revision = target_on_newer_revision,
		.on_leader = target_on_leader,
		.context = entry,
	};

	config_follow_set_ports(&keepers,
				(uint16_t)settings->follow.keeper_port);
	entry->presence = presence_client_new(&options, err);
	return entry->presence ? 0 : -1;
}
