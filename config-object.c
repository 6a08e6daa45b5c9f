#include <stdlib.h>
#include <string.h>
#include "config-object.h"

/* A row of the table for lists and values that are named alike. */
#define CONFIG_OBJECT(word, put, retire, type, list, copy, most, any_name)    \
	{                                                                     \
		word, put, retire, (xdrproc_t)xdr_##type, sizeof(type),       \
			offsetof(type, name), copy, offsetof(type, revision), \
			offsetof(config_t, list##_len),                       \
			offsetof(config_t, list##_val), most, any_name        \
	}

static const config_object_type_t config_objects[] = {
	CONFIG_OBJECT("profile", CONFIG_PUT_PROFILE, CONFIG_RETIRE_PROFILE,
		      config_profile_t, profiles.profiles, CONFIG_NO_COPY,
		      CONFIG_OBJECTS_MAX, false),
	CONFIG_OBJECT("service", CONFIG_PUT_SERVICE, CONFIG_RETIRE_SERVICE,
		      config_service_t, services.services, CONFIG_NO_COPY,
		      CONFIG_OBJECTS_MAX, false),
	{ "stop", CONFIG_PUT_STOP, CONFIG_CANCEL_STOP,
	  (xdrproc_t)xdr_config_stop_t, sizeof(config_stop_t),
	  offsetof(config_stop_t, service), offsetof(config_stop_t, copy),
	  offsetof(config_stop_t, revision),
	  offsetof(config_t, stops.stops_len),
	  offsetof(config_t, stops.stops_val), CONFIG_OBJECTS_MAX, false },
	CONFIG_OBJECT("route", CONFIG_PUT_ROUTE, CONFIG_RETIRE_ROUTE,
		      config_route_t, routes.routes, CONFIG_NO_COPY,
		      CONFIG_OBJECTS_MAX, true),
	CONFIG_OBJECT("pool", CONFIG_PUT_POOL, CONFIG_RETIRE_POOL,
		      config_pool_t, pools.pools, CONFIG_NO_COPY,
		      CONFIG_OBJECTS_MAX, true),
	CONFIG_OBJECT("limits", CONFIG_PUT_LIMITS, CONFIG_RETIRE_LIMITS,
		      config_limits_t, limits.limits, CONFIG_NO_COPY, 1, false),
	CONFIG_OBJECT("edition", CONFIG_PUT_ROUTING_VERSION,
		      CONFIG_RETIRE_ROUTING_VERSION, config_routing_version_t,
		      routing_versions.routing_versions, CONFIG_NO_COPY, 1,
		      false),
	CONFIG_OBJECT("target", CONFIG_PUT_TARGET, CONFIG_RETIRE_TARGET,
		      config_target_t, targets.targets, CONFIG_NO_COPY,
		      CONFIG_TARGETS_MAX, true),
};

#define CONFIG_OBJECT_COUNT (sizeof(config_objects) / sizeof(config_objects[0]))

static const char *config_object_text(const void *value, size_t offset)
{
	return *(char *const *)((const char *)value + offset);
}

static u_int *config_object_length(const config_object_type_t *object,
				   config_t *config)
{
	return (u_int *)((char *)config + object->count);
}

static char **config_object_values(const config_object_type_t *object,
				   const config_t *config)
{
	return (char **)((char *)config + object->values);
}

/* Order by name, then by second name. */
static int config_object_compare(const config_object_type_t *object,
				 const void *a, const void *b)
{
	int order = strcmp(config_object_name(object, a),
			   config_object_name(object, b));

	if (order)
		return order;
	return strcmp(config_object_copy(object, a),
		      config_object_copy(object, b));
}

/* The first place whose object is not before @like. */
static u_int config_object_place(const config_object_type_t *object,
				 const config_t *config, const void *like)
{
	u_int low = 0, high = config_object_count(object, config);

	while (low < high) {
		u_int middle = low + (high - low) / 2;

		if (config_object_compare(object,
					  config_object_at(object, config,
							   middle),
					  like) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Make room for one more object at @place. */
static void *config_object_insert(const config_object_type_t *object,
				  config_t *config, u_int place)
{
	u_int *length = config_object_length(object, config);
	char **values = config_object_values(object, config);
	char *grown = realloc(*values, (*length + 1) * object->size);
	char *at;

	if (!grown)
		return NULL;
	*values = grown;
	at = grown + place * object->size;
	memmove(at + object->size, at, (*length - place) * object->size);
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

const char *config_object_name(const config_object_type_t *object,
			       const void *value)
{
	return config_object_text(value, object->name);
}

const char *config_object_copy(const config_object_type_t *object,
			       const void *value)
{
	if (object->copy == CONFIG_NO_COPY)
		return "";
	return config_object_text(value, object->copy);
}

uint64_t config_object_revision(const config_object_type_t *object,
				const void *value)
{
	return *(const u_quad_t *)((const char *)value + object->revision);
}

u_int config_object_count(const config_object_type_t *object,
			  const config_t *config)
{
	return *config_object_length(object, (config_t *)config);
}

void *config_object_at(const config_object_type_t *object,
		       const config_t *config, u_int place)
{
	return *config_object_values(object, config) + place * object->size;
}

void *config_object_find(const config_object_type_t *object,
			 const config_t *config, const void *like)
{
	u_int place = config_object_place(object, config, like);
	void *found;

	if (place == config_object_count(object, config))
		return NULL;
	found = config_object_at(object, config, place);
	return config_object_compare(object, found, like) ? NULL : found;
}

int config_object_put(const config_object_type_t *object, config_t *config,
		      const void *value, uint64_t revision)
{
	void *found = config_object_find(object, config, value);
	config_body_t room; /* as large as the largest object */

	if (config_copy(object->proc, value, &room, object->size))
		return -1;
	if (found)
		xdr_free(object->proc, found);
	else
		found = config_object_insert(object, config,
					     config_object_place(object, config,
								 value));
	if (!found) {
		xdr_free(object->proc, (char *)&room);
		return -1;
	}
	memcpy(found, &room, object->size);
	*(u_quad_t *)((char *)found + object->revision) = revision;
	return 0;
}

void config_object_remove(const config_object_type_t *object, config_t *config,
			  void *value)
{
	u_int *length = config_object_length(object, config);
	char *end = *config_object_values(object, config) +
		    *length * object->size;
	char *next = (char *)value + object->size;

	xdr_free(object->proc, value);
	memmove(value, next, end - next);
	(*length)--;
}
