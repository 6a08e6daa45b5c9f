#include <stdlib.h>
#include <string.h>
#include "config-object.h"

/* Table row of an object type whose name is in a field called "name". */
#define CONFIG_OBJECT(label, put, retire, type, list, copy_name, max_count, \
		      printable_name)                                       \
	{                                                                   \
		label, put, retire, (xdrproc_t)xdr_##type, sizeof(type),    \
			offsetof(type, name), copy_name,                    \
			offsetof(type, revision),                           \
			offsetof(config_t, list##_len),                     \
			offsetof(config_t, list##_val), max_count,          \
			printable_name                                      \
	}

static const config_object_type_t config_objects[] = {
	CONFIG_OBJECT("profile", CONFIG_PUT_PROFILE, CONFIG_RETIRE_PROFILE,
		      config_profile_t, profiles.profiles, CONFIG_NO_COPY_NAME,
		      CONFIG_OBJECTS_MAX, false),
	CONFIG_OBJECT("service", CONFIG_PUT_SERVICE, CONFIG_RETIRE_SERVICE,
		      config_service_t, services.services, CONFIG_NO_COPY_NAME,
		      CONFIG_OBJECTS_MAX, false),
	{ "stop", CONFIG_PUT_STOP, CONFIG_CANCEL_STOP,
	  (xdrproc_t)xdr_config_stop_t, sizeof(config_stop_t),
	  offsetof(config_stop_t, service), offsetof(config_stop_t, copy),
	  offsetof(config_stop_t, revision),
	  offsetof(config_t, stops.stops_len),
	  offsetof(config_t, stops.stops_val), CONFIG_OBJECTS_MAX, false },
	CONFIG_OBJECT("route", CONFIG_PUT_ROUTE, CONFIG_RETIRE_ROUTE,
		      config_route_t, routes.routes, CONFIG_NO_COPY_NAME,
		      CONFIG_OBJECTS_MAX, true),
	CONFIG_OBJECT("pool", CONFIG_PUT_POOL, CONFIG_RETIRE_POOL,
		      config_pool_t, pools.pools, CONFIG_NO_COPY_NAME,
		      CONFIG_OBJECTS_MAX, true),
	CONFIG_OBJECT("limits", CONFIG_PUT_LIMITS, CONFIG_RETIRE_LIMITS,
		      config_limits_t, limits.limits, CONFIG_NO_COPY_NAME, 1,
		      false),
	CONFIG_OBJECT("edition", CONFIG_PUT_ROUTING_VERSION,
		      CONFIG_RETIRE_ROUTING_VERSION, config_routing_version_t,
		      routing_versions.routing_versions, CONFIG_NO_COPY_NAME, 1,
		      false),
	CONFIG_OBJECT("target", CONFIG_PUT_TARGET, CONFIG_RETIRE_TARGET,
		      config_target_t, targets.targets, CONFIG_NO_COPY_NAME,
		      CONFIG_TARGETS_MAX, true),
	CONFIG_OBJECT("copy rate", CONFIG_PUT_COPY_RATE,
		      CONFIG_RETIRE_COPY_RATE, config_copy_rate_t,
		      copy_rates.copy_rates, CONFIG_NO_COPY_NAME,
		      CONFIG_TARGETS_MAX, true),
	CONFIG_OBJECT("suspect", CONFIG_PUT_SUSPECT, CONFIG_RETIRE_SUSPECT,
		      config_suspect_t, suspects.suspects, CONFIG_NO_COPY_NAME,
		      CONFIG_SUSPECTS_MAX, true),
};

#define CONFIG_OBJECT_COUNT (sizeof(config_objects) / sizeof(config_objects[0]))

static const char *config_object_text(const void *value, size_t offset)
{
	return *(char *const *)((const char *)value + offset);
}

static u_int *config_object_length(const config_object_type_t *type,
				   config_t *config)
{
	return (u_int *)((char *)config + type->count_offset);
}

static char **config_object_values(const config_object_type_t *type,
				   const config_t *config)
{
	return (char **)((char *)config + type->values_offset);
}

/* Compares two objects by name, then by copy name. */
static int config_object_compare(const config_object_type_t *type,
				 const void *a, const void *b)
{
	int order = strcmp(config_object_name(type, a),
			   config_object_name(type, b));

	if (order)
		return order;
	return strcmp(config_object_copy_name(type, a),
		      config_object_copy_name(type, b));
}

/* Index of the first object that is not less than @key. */
static u_int config_object_lower_bound(const config_object_type_t *type,
				       const config_t *config, const void *key)
{
	u_int low = 0, high = config_object_count(type, config);

	while (low < high) {
		u_int middle = low + (high - low) / 2;

		if (config_object_compare(type,
					  config_object_at(type, config,
							   middle),
					  key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Inserts uninitialized space for an object at @index. */
static void *config_object_insert(const config_object_type_t *type,
				  config_t *config, u_int index)
{
	u_int *length = config_object_length(type, config);
	char **values = config_object_values(type, config);
	char *grown = realloc(*values, (*length + 1) * type->size);
	char *at;

	if (!grown)
		return NULL;
	*values = grown;
	at = grown + index * type->size;
	memmove(at + type->size, at, (*length - index) * type->size);
	(*length)++;
	return at;
}

const config_object_type_t *config_object_type(config_item_kind_t kind)
{
	size_t i;

	for (i = 0; i < CONFIG_OBJECT_COUNT; i++)
		if (config_objects[i].put == kind ||
		    config_objects[i].retire == kind)
			return &config_objects[i];
	return NULL;
}

const char *config_object_name(const config_object_type_t *type,
			       const void *value)
{
	return config_object_text(value, type->name_offset);
}

const char *config_object_copy_name(const config_object_type_t *type,
				    const void *value)
{
	if (type->copy_name_offset == CONFIG_NO_COPY_NAME)
		return "";
	return config_object_text(value, type->copy_name_offset);
}

uint64_t config_object_revision(const config_object_type_t *type,
				const void *value)
{
	return *(const u_quad_t *)((const char *)value + type->revision_offset);
}

bool config_object_is_reported(const config_object_type_t *type)
{
	return type->put == CONFIG_PUT_TARGET ||
	       type->put == CONFIG_PUT_COPY_RATE ||
	       type->put == CONFIG_PUT_SUSPECT;
}

u_int config_object_count(const config_object_type_t *type,
			  const config_t *config)
{
	return *config_object_length(type, (config_t *)config);
}

void *config_object_at(const config_object_type_t *type, const config_t *config,
		       u_int index)
{
	return *config_object_values(type, config) + index * type->size;
}

void *config_object_find(const config_object_type_t *type,
			 const config_t *config, const void *key)
{
	u_int index = config_object_lower_bound(type, config, key);
	void *found;

	if (index == config_object_count(type, config))
		return NULL;
	found = config_object_at(type, config, index);
	return config_object_compare(type, found, key) ? NULL : found;
}

int config_object_put(const config_object_type_t *type, config_t *config,
		      const void *value, uint64_t revision)
{
	void *found = config_object_find(type, config, value);
	config_body_t buffer; /* at least as large as any object */

	if (config_copy(type->proc, value, &buffer, type->size))
		return -1;
	if (found)
		xdr_free(type->proc, found);
	else
		found = config_object_insert(type, config,
					     config_object_lower_bound(type,
								       config,
								       value));
	if (!found) {
		xdr_free(type->proc, (char *)&buffer);
		return -1;
	}
	memcpy(found, &buffer, type->size);
	*(u_quad_t *)((char *)found + type->revision_offset) = revision;
	return 0;
}

void config_object_remove(const config_object_type_t *type, config_t *config,
			  void *value)
{
	u_int *length = config_object_length(type, config);
	char *end = *config_object_values(type, config) + *length * type->size;
	char *next = (char *)value + type->size;

	xdr_free(type->proc, value);
	memmove(value, next, end - next);
	(*length)--;
}
