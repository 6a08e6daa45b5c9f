#include <stdlib.h>
#include <string.h>
#include "entry-io.h"

/*
 * Applies each configuration that the follower receives to the upstreams of the
 * entry, one for each service. Without keepers in the settings an entry serves
 * every service that a copy announces, with the default profile.
 */

static void config_profile_free(config_profile_t *profile)
{
	xdr_free((xdrproc_t)xdr_config_profile_t, (char *)profile);
	free(profile);
}

/* Copies a profile for an upstream, which may outlive the configuration. */
static config_profile_t *config_profile_copy(const config_profile_t *from)
{
	config_profile_t *copy = calloc(1, sizeof(*copy));

	if (!copy)
		return NULL;
	if (config_copy((xdrproc_t)xdr_config_profile_t, from, copy,
			sizeof(*copy))) {
		free(copy);
		return NULL;
	}
	return copy;
}

/* Copies the planned stops of the upstream's service. The caller holds
   upstream->lock. */
static int config_apply_stops(entry_upstream_t *upstream,
			      const config_t *config)
{
	unsigned count = 0;
	u_int i;

	free(upstream->stops);
	upstream->stop_count = 0;
	upstream->stops = calloc(config->stops.stops_len + 1,
				 sizeof(*upstream->stops));
	if (!upstream->stops)
		return -1;
	for (i = 0; i < config->stops.stops_len; i++) {
		const config_stop_t *stop = &config->stops.stops_val[i];

		if (!strcmp(stop->service, upstream->name))
			strcpy(upstream->stops[count++], stop->copy);
	}
	upstream->stop_count = count;
	return 0;
}

static void config_apply_service(entry_t *entry, const config_t *config,
				 const config_service_t *service, usec_t now)
{
	const config_profile_t *profile = config_find_profile(config,
							      service->profile);
	entry_upstream_t *upstream = entry_upstream_find_or_add(entry,
								service->name);
	config_profile_t *copy = profile ? config_profile_copy(profile) : NULL;
	config_profile_t *old;

	if (!upstream || !copy) {
		log_event(LOG_LEVEL_ERROR, "service-not-configured",
			  "service=%s profile=%s", service->name,
			  service->profile);
		return;
	}
	pthread_mutex_lock(&upstream->lock);
	old = upstream->profile;
	upstream->profile = copy;
	entry_service_set_profile(&upstream->service, copy, now);
	upstream->rate = service->rate;
	upstream->owners = service->owners;
	upstream->declared = true;
	config_apply_stops(upstream, config);
	pthread_mutex_unlock(&upstream->lock);
	config_profile_free(old);
	entry_dispatch_next(upstream, now);
}

/* Stops new calls of services that are no longer declared. */
static void config_undeclare_services(entry_t *entry, const config_t *config)
{
	entry_upstream_t *upstream;

	pthread_mutex_lock(&entry->upstreams_lock);
	cds_list_for_each_entry (upstream, &entry->upstreams, link) {
		if (config_find_service(config, upstream->name))
			continue;
		pthread_mutex_lock(&upstream->lock);
		upstream->declared = false;
		pthread_mutex_unlock(&upstream->lock);
	}
	pthread_mutex_unlock(&entry->upstreams_lock);
}

static void config_on_change(void *context, const config_t *config)
{
	entry_t *entry = context;
	usec_t now = time_now();
	u_int i;

	if (entry->settings.routed)
		entry_target_apply(entry, config, now);
	for (i = 0; i < config->services.services_len; i++)
		config_apply_service(entry, config,
				     &config->services.services_val[i], now);
	config_undeclare_services(entry, config);
	log_event(LOG_LEVEL_DEBUG, "config-taken-over",
		  "revision=%" PRIu64 " services=%u profiles=%u",
		  (uint64_t)config->revision, config->services.services_len,
		  config->profiles.profiles_len);
}

static void config_on_confirmed(void *context)
{
	entry_t *entry = context;

	if (entry_target_has_routes(entry))
		entry_pending_release(entry, time_now());
}

static void config_on_pending_copies(void *context)
{
	entry_t *entry = context;

	if (entry->settings.routed)
		entry_target_apply_pending(entry, time_now());
}

static void config_on_keepers(void *context, const presence_keepers_t *keepers,
			      const char *sibling)
{
	entry_t *entry = context;

	if (entry->presence)
		presence_client_set_keepers(entry->presence, keepers, sibling);
}

static void config_siblings(void *context, setting_list_t *out)
{
	const entry_t *entry = context;

	if (entry->presence)
		presence_client_siblings(entry->presence, out);
}

static void config_sign(void *context, const char *target,
			char hop[KEYS_HOP_MAX])
{
	const entry_t *entry = context;

	keys_hop_write(entry->keys, entry->settings.name, target,
		       g_get_real_time() / USEC_PER_MS, hop);
}

static unsigned config_live_members(void *context, owner_member_t *out,
				    unsigned max)
{
	const entry_t *entry = context;

	return member_live(entry->member, out, max);
}

int entry_config_new(entry_t *entry, const owner_member_t *self,
		     hl_error_t *err)
{
	config_follow_options_t options = {
		.name = entry->settings.name,
		.rpc_address = self ? self->rpc_address : NULL,
		.settings = entry->settings.follow,
		.members = self ? config_live_members : NULL,
		.members_context = entry,
		.changed = config_on_change,
		.on_confirmed = config_on_confirmed,
		.on_pending_copies = config_on_pending_copies,
		.on_keepers = config_on_keepers,
		.siblings = entry->settings.routed ? config_siblings : NULL,
		.sign = config_sign,
		.cluster = hl_hash(entry->settings.cluster,
				   strlen(entry->settings.cluster), 0),
		.changed_context = entry,
		.metrics = entry->metrics,
	};

	if (!entry->settings.follow.keepers.count)
		return 0;
	entry->follow = config_follow_new(&options, err);
	return entry->follow ? 0 : -1;
}

void entry_config_count_send(const entry_request_t *req, usec_t now)
{
	if (!req->forward)
		entry_config_age_sent(&req->entry->config_age,
				      req->confirmed_at, now);
}

bool entry_config_ready(const entry_t *entry)
{
	return !entry->follow || config_follow_ready(entry->follow);
}

bool entry_config_confirmed(const entry_t *entry, usec_t now)
{
	return !entry->follow || config_follow_confirmed(entry->follow, now);
}

usec_t entry_config_confirmed_at(const entry_t *entry)
{
	return entry->follow ? config_follow_confirmed_at(entry->follow) : 0;
}

bool entry_config_may_confirm(const entry_t *entry, usec_t now)
{
	return entry->follow && config_follow_may_confirm(entry->follow, now);
}

bool entry_config_outdated(const entry_t *entry, usec_t now)
{
	return entry->follow && config_follow_outdated(entry->follow, now);
}

unsigned entry_config_start_state(const entry_t *entry)
{
	return entry->follow ? config_follow_start_state(entry->follow) : 0;
}

bool entry_config_holds(const entry_t *entry, unsigned state,
			const entry_request_t *req, const entry_rule_t *rule,
			usec_t now)
{
	return state &&
	       config_follow_holds(entry->follow, state, req->host, req->target,
				   rule->prefix_length, now);
}

bool entry_config_copy_is_pending(const entry_t *entry, const char *name)
{
	return entry->follow &&
	       config_follow_copy_is_pending(entry->follow, name);
}

usec_t entry_config_check_start(const entry_t *entry, usec_t now)
{
	return entry->follow ? config_follow_check_start(entry->follow, now) :
			       USEC_NEVER;
}

uint64_t entry_config_revision(void *context)
{
	const entry_t *entry = context;

	return entry->follow ? config_follow_revision(entry->follow) : 0;
}

static bool config_upstream_is_declared(entry_upstream_t *upstream)
{
	bool declared;

	pthread_mutex_lock(&upstream->lock);
	declared = upstream->declared;
	pthread_mutex_unlock(&upstream->lock);
	return declared;
}

entry_upstream_t *entry_config_upstream(entry_t *entry, const char *service)
{
	entry_upstream_t *upstream = entry_upstream_find(entry, service);

	if (entry->follow)
		return upstream && config_upstream_is_declared(upstream) ?
			       upstream :
			       NULL;
	if (upstream || !hl_name_valid(service) ||
	    entry_upstream_count(entry) >= ENTRY_UPSTREAMS_MAX)
		return upstream;
	return entry_upstream_find_or_add(entry, service);
}

bool entry_config_stop_planned(entry_upstream_t *upstream, const char *copy)
{
	bool stopped = false;
	unsigned i;

	pthread_mutex_lock(&upstream->lock);
	for (i = 0; i < upstream->stop_count && !stopped; i++)
		stopped = !strcmp(upstream->stops[i], copy);
	pthread_mutex_unlock(&upstream->lock);
	return stopped;
}
