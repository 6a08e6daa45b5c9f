#include <string.h>
#include "config-object.h"

const config_profile_t *config_find_profile(const config_t *config,
					    const char *name)
{
	u_int i;

	for (i = 0; i < config->profiles.profiles_len; i++)
		if (!strcmp(config->profiles.profiles_val[i].name, name))
			return &config->profiles.profiles_val[i];
	return NULL;
}

const config_service_t *config_find_service(const config_t *config,
					    const char *name)
{
	u_int i;

	for (i = 0; i < config->services.services_len; i++)
		if (!strcmp(config->services.services_val[i].name, name))
			return &config->services.services_val[i];
	return NULL;
}

const config_pool_t *config_find_pool(const config_t *config, const char *name)
{
	const config_pool_t like = { .name = (char *)name };

	return config_object_find(config_object_type(CONFIG_PUT_POOL), config,
				  &like);
}

const config_target_t *config_find_target(const config_t *config,
					  const char *name)
{
	const config_target_t like = { .name = (char *)name };

	return config_object_find(config_object_type(CONFIG_PUT_TARGET), config,
				  &like);
}

const config_routing_version_t *config_routing_version(const config_t *config)
{
	return config->routing_versions.routing_versions_len ?
		       config->routing_versions.routing_versions_val :
		       NULL;
}

void config_profile_set_defaults(config_profile_t *profile)
{
	profile->deadline_ms = 2000;
	profile->queue_max = 256;
	profile->attempts_max = 3;
	profile->retry_percent = 10;
	profile->hedge_after_ms = 0;
	profile->eject_percent = 30;
	profile->tenant_rate = 0;
	profile->tenant_burst = 0;
	profile->key_hold_s = 600;
	profile->pipeline_max = 4;
	profile->post_idempotent = FALSE;
}
