#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include "config-check.h"
#include "config-field.h"

/* Maximum excess of a latency objective over the timeout of its route; a larger
 * one is refused as a mistake. */
#define CONFIG_OBJECTIVE_EXCESS_LIMIT (60 * USEC_PER_SEC)

static bool config_check_refuse(config_check_result_t *result, const char *fmt,
				...) __attribute__((format(printf, 2, 3)));

static bool config_check_refuse(config_check_result_t *result, const char *fmt,
				...)
{
	va_list ap;

	result->verdict = CONFIG_REFUSED;
	va_start(ap, fmt);
	vsnprintf(result->message, sizeof(result->message), fmt, ap);
	va_end(ap);
	return false;
}

static bool config_check_fields(const char *label, const char *name,
				const config_field_t *fields,
				const void *object,
				config_check_result_t *result)
{
	const config_field_t *invalid = config_field_out_of_range(fields,
								  object);

	if (!invalid)
		return true;
	return config_check_refuse(
		result, "%s %s: %s must be from %u to %u (%s); set it so",
		label, name, invalid->key, invalid->min, invalid->max,
		invalid->help);
}

static bool config_check_classes(const config_profile_t *profile,
				 config_check_result_t *result)
{
	u_int i, j;

	for (i = 0; i < profile->classes.classes_len; i++) {
		const config_class_t *class = &profile->classes.classes_val[i];

		if (!hl_name_valid(class->name))
			return config_check_refuse(
				result,
				"profile %s: a class needs a name of a-z, 0-9, "
				"'-', '.'; rename it",
				profile->name);
		if (!config_check_fields("class", class->name,
					 config_class_fields, class, result))
			return false;
		for (j = 0; j < i; j++)
			if (!strcmp(profile->classes.classes_val[j].name,
				    class->name))
				return config_check_refuse(
					result,
					"profile %s names class %s twice; "
					"remove one",
					profile->name, class->name);
	}
	return true;
}

/* Checks a name chosen outside this system, of a route, pool or copy: visible
 * ASCII without double quotes, so that it can be printed and used in a path. */
static bool config_check_printable_name(const char *name)
{
	size_t i;

	for (i = 0; name[i]; i++)
		if (!isgraph((unsigned char)name[i]) || name[i] == '"')
			return false;
	return i > 0;
}

static bool config_check_name(const config_object_type_t *type,
			      const char *name)
{
	return type->printable_name ? config_check_printable_name(name) :
				      hl_name_valid(name);
}

static bool config_check_weights(const config_route_t *route,
				 config_check_result_t *result)
{
	uint64_t sum = 0;
	u_int i;

	if (!route->parts.parts_len)
		return config_check_refuse(result,
					   "route %s goes nowhere; name a "
					   "service or a split",
					   route->name);
	for (i = 0; i < route->parts.parts_len; i++)
		sum += route->parts.parts_val[i].weight;
	if (sum || !route->split)
		return true;
	return config_check_refuse(result,
				   "the weights of route %s add up to 0; give "
				   "one part a weight",
				   route->name);
}

static bool config_check_route(const config_route_t *route,
			       config_check_result_t *result)
{
	size_t length = strlen(route->prefix);

	if (!*route->host)
		return config_check_refuse(result,
					   "route %s has no host; "
					   "name one",
					   route->name);
	if (!length || route->prefix[0] != '/' ||
	    route->prefix[length - 1] != '/')
		return config_check_refuse(result,
					   "the prefix of route %s must begin "
					   "and end with a slash; add it",
					   route->name);
	if (!route->attempts_max)
		return config_check_refuse(result,
					   "route %s allows no attempt; set "
					   "attempts_max to 1 or more",
					   route->name);
	if (!route->timeout_us || !route->objective_us)
		return config_check_refuse(result,
					   "route %s has no timeout or "
					   "objective; set both above 0",
					   route->name);
	if (route->objective_us >=
	    route->timeout_us + CONFIG_OBJECTIVE_EXCESS_LIMIT)
		return config_check_refuse(result,
					   "the objective of route %s is a "
					   "minute or more above its timeout; "
					   "lower it",
					   route->name);
	return config_check_weights(route, result);
}

/* Checks the values of one object, without its references. */
static bool config_check_values(const config_object_type_t *type,
				const config_item_t *item,
				config_check_result_t *result)
{
	const config_body_t *body = &item->body;
	const char *name = config_object_name(type, &body->config_body_t_u);
	const char *copy = config_object_copy_name(type,
						   &body->config_body_t_u);

	if (!config_check_name(type, name) || (*copy && !hl_name_valid(copy)) ||
	    (type->copy_name_offset != CONFIG_NO_COPY_NAME && !*copy))
		return config_check_refuse(
			result,
			"a %s needs a name of a-z, 0-9, '-', '.'; rename it",
			type->label);
	if (body->kind == CONFIG_PUT_PROFILE)
		return config_check_fields(type->label, name,
					   config_profile_fields,
					   &body->config_body_t_u, result) &&
		       config_check_classes(&body->config_body_t_u.profile,
					    result);
	if (body->kind == CONFIG_PUT_SERVICE)
		return config_check_fields(type->label, name,
					   config_service_fields,
					   &body->config_body_t_u, result);
	if (body->kind == CONFIG_PUT_ROUTE)
		return config_check_route(&body->config_body_t_u.route, result);
	return true;
}

/* Routing versions must increase; gaps are allowed. */
static bool config_check_routing_version(
	const config_routing_version_t *existing,
	const config_routing_version_t *next, config_check_result_t *result)
{
	if (!existing || next->number > existing->number)
		return true;
	return config_check_refuse(result,
				   "routing version %" PRIu64
				   " is not above %" PRIu64
				   ", which is in force; number it higher",
				   (uint64_t)next->number,
				   (uint64_t)existing->number);
}

bool config_check_item(const config_t *config, const config_item_t *item,
		       uint64_t revision, config_check_result_t *result)
{
	const config_object_type_t *type = config_object_type(item->body.kind);
	const void *value = &item->body.config_body_t_u;
	const void *existing;
	uint64_t existing_revision;

	if (!type)
		return config_check_refuse(result,
					   "unknown kind of item %d; update "
					   "the keepers first",
					   (int)item->body.kind);
	if (!config_check_values(type, item, result))
		return false;
	existing = config_object_find(type, config, value);
	existing_revision = existing ? config_object_revision(type, existing) :
				       0;
	if (existing_revision == revision)
		return config_check_refuse(result,
					   "the change names %s %s twice; "
					   "remove one",
					   type->label,
					   config_object_name(type, value));
	if (!existing && !item->base && item->body.kind == type->retire)
		return config_check_refuse(result,
					   "there is no %s %s; see hemlockctl "
					   "get for those that are",
					   type->label,
					   config_object_name(type, value));
	if (existing_revision != item->base) {
		result->verdict = CONFIG_CONFLICT;
		result->item = item;
		return false;
	}
	if (!existing && config_object_count(type, config) == type->max_count)
		return config_check_refuse(result,
					   "there are %u of kind %s already; "
					   "retire some first",
					   type->max_count, type->label);
	if (item->body.kind == CONFIG_PUT_ROUTING_VERSION)
		return config_check_routing_version(existing, value, result);
	return true;
}

/* Counts the services that use a profile and lists as many names as fit. */
static unsigned config_check_list_users(const config_t *config,
					const char *profile, char *out,
					size_t size)
{
	unsigned users = 0;
	size_t used = 0;
	u_int i;

	*out = 0;
	for (i = 0; i < config->services.services_len; i++) {
		const config_service_t *svc = &config->services.services_val[i];

		if (strcmp(svc->profile, profile))
			continue;
		users++;
		if (used + strlen(svc->name) + 3 > size)
			continue;
		used += snprintf(out + used, size - used, "%s%s",
				 users > 1 ? ", " : "", svc->name);
	}
	return users;
}

static bool config_check_profile_unused(const config_t *config,
					const char *profile,
					config_check_result_t *result)
{
	char names[CONFIG_MESSAGE_MAX / 2];
	unsigned users;

	if (config_find_profile(config, profile))
		return true;
	users = config_check_list_users(config, profile, names, sizeof(names));
	if (!users)
		return true;
	return config_check_refuse(result,
				   "profile %s is in use by %u service%s: %s; "
				   "give %s another profile first",
				   profile, users, users > 1 ? "s" : "", names,
				   users > 1 ? "them" : "it");
}

static bool config_check_route_services(const config_t *config,
					const config_route_t *route,
					config_check_result_t *result)
{
	u_int i;

	for (i = 0; i < route->parts.parts_len; i++) {
		const char *service = route->parts.parts_val[i].service;

		if (!config_find_pool(config, service))
			return config_check_refuse(
				result,
				"route %s goes to service %s, which is not "
				"there; declare it in the same change",
				route->name, service);
	}
	return true;
}

/* Two routes with the same host and prefix would match the same calls. */
static bool config_check_route_unique(const config_t *config,
				      const config_route_t *route,
				      config_check_result_t *result)
{
	u_int i;

	for (i = 0; i < config->routes.routes_len; i++) {
		const config_route_t *other = &config->routes.routes_val[i];

		if (!strcmp(other->prefix, route->prefix) &&
		    !strcmp(other->host, route->host) &&
		    strcmp(other->name, route->name))
			return config_check_refuse(
				result,
				"routes %s and %s are both for %s%s; retire "
				"one",
				route->name, other->name, route->host,
				route->prefix);
	}
	return true;
}

static bool config_check_pool_unused(const config_t *config, const char *pool,
				     config_check_result_t *result)
{
	u_int i, j;

	if (config_find_pool(config, pool))
		return true;
	for (i = 0; i < config->routes.routes_len; i++) {
		const config_route_t *route = &config->routes.routes_val[i];

		for (j = 0; j < route->parts.parts_len; j++)
			if (!strcmp(route->parts.parts_val[j].service, pool))
				return config_check_refuse(
					result,
					"service %s is in use by route %s; "
					"send that elsewhere first",
					pool, route->name);
	}
	return true;
}

static bool config_check_reference(const config_t *config,
				   const config_body_t *body,
				   config_check_result_t *result)
{
	const config_service_t *svc = &body->config_body_t_u.service;
	const config_stop_t *stop = &body->config_body_t_u.stop;

	if (body->kind == CONFIG_PUT_ROUTE)
		return config_check_route_services(config,
						   &body->config_body_t_u.route,
						   result) &&
		       config_check_route_unique(config,
						 &body->config_body_t_u.route,
						 result);
	if (body->kind == CONFIG_RETIRE_POOL)
		return config_check_pool_unused(config,
						body->config_body_t_u.pool.name,
						result);
	if (body->kind == CONFIG_RETIRE_PROFILE)
		return config_check_profile_unused(
			config, body->config_body_t_u.profile.name, result);
	if (body->kind == CONFIG_PUT_SERVICE &&
	    !config_find_profile(config, svc->profile))
		return config_check_refuse(result,
					   "service %s names profile %s, which "
					   "is not there; declare it in the "
					   "same change or before",
					   svc->name, svc->profile);
	if (body->kind == CONFIG_PUT_STOP &&
	    !config_find_service(config, stop->service))
		return config_check_refuse(result,
					   "there is no service %s; see "
					   "hemlockctl get for those that are",
					   stop->service);
	return true;
}

bool config_check_references(const config_t *config,
			     const config_change_t *change,
			     config_check_result_t *result)
{
	u_int i;

	for (i = 0; i < change->items.items_len; i++)
		if (!config_check_reference(config,
					    &change->items.items_val[i].body,
					    result))
			return false;
	return true;
}
