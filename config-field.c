#include <string.h>
#include "config-field.h"

#define PROFILE(field) offsetof(config_profile_t, field)
#define CLASS(field) offsetof(config_class_t, field)
#define SERVICE(field) offsetof(config_service_t, field)

/* Maximum of fields in calls per second or in calls; far above the load of any
 * service. */
#define CONFIG_RATE_MAX 100000000
#define CONFIG_DEADLINE_MS_MAX 600000

const config_field_t config_profile_fields[] = {
	{ "deadline_ms", PROFILE(deadline_ms), 1, CONFIG_DEADLINE_MS_MAX,
	  "milliseconds when the caller names no deadline" },
	{ "queue_max", PROFILE(queue_max), 0, 65536,
	  "calls that may wait at one owner" },
	{ "attempts_max", PROFILE(attempts_max), 1, 16,
	  "sends of one idempotent call" },
	{ "retry_percent", PROFILE(retry_percent), 0, 100,
	  "retries and hedges, per cent of all calls" },
	{ "hedge_after_ms", PROFILE(hedge_after_ms), 0, CONFIG_DEADLINE_MS_MAX,
	  "milliseconds until a hedge is sent, 0 for never" },
	{ "eject_percent", PROFILE(eject_percent), 0, 100,
	  "most copies ejected at once, per cent" },
	{ "tenant_rate", PROFILE(tenant_rate), 0, CONFIG_RATE_MAX,
	  "calls a second of one tenant, 0 for no limit" },
	{ "tenant_burst", PROFILE(tenant_burst), 0, CONFIG_RATE_MAX,
	  "calls of one tenant at once" },
	{ "key_hold_s", PROFILE(key_hold_s), 0, 86400,
	  "seconds an idempotency key is kept" },
	{ "pipeline_max", PROFILE(pipeline_max), 0, 64,
	  "credits of a copy above its slots" },
	{ 0 },
};

const config_field_t config_class_fields[] = {
	{ "priority", CLASS(priority), 0, 255, "0 is the most urgent" },
	{ "rate", CLASS(rate), 0, CONFIG_RATE_MAX,
	  "calls a second, 0 for no limit" },
	{ "deadline_ms", CLASS(deadline_ms), 0, CONFIG_DEADLINE_MS_MAX,
	  "milliseconds, 0 for the profile's" },
	{ 0 },
};

const config_field_t config_service_fields[] = {
	{ "rate", SERVICE(rate), 0, CONFIG_RATE_MAX,
	  "calls a second, 0 for no limit" },
	{ "owners", SERVICE(owners), 0, 16,
	  "entries that own copies, 0 for one in each zone" },
	{ 0 },
};

u_int config_field_get(const config_field_t *field, const void *object)
{
	return *(const u_int *)((const char *)object + field->offset);
}

void config_field_set(const config_field_t *field, void *object, u_int value)
{
	*(u_int *)((char *)object + field->offset) = value;
}

const config_field_t *config_field_find(const config_field_t *fields,
					const char *key)
{
	for (; fields->key; fields++)
		if (!strcmp(fields->key, key))
			return fields;
	return NULL;
}

const config_field_t *config_field_out_of_range(const config_field_t *fields,
						const void *object)
{
	for (; fields->key; fields++) {
		u_int value = config_field_get(fields, object);

		if (value < fields->min || value > fields->max)
			return fields;
	}
	return NULL;
}
