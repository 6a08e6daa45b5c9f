#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include "config-check.h"
#include "config-field.h"

/* An objective so far above its route's timeout is a slip. */
#define CONFIG_OBJECTIVE_BEYOND (60 * USEC_PER_SEC)

static bool config_check_refuse(config_ruling_t *ruling, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static bool config_check_refuse(config_ruling_t *ruling, const char *fmt, ...)
{
	va_list ap;

	ruling->verdict = CONFIG_REFUSED;
	va_start(ap, fmt);
	vsnprintf(ruling->message, sizeof(ruling->message), fmt, ap);
	va_end(ap);
	return false;
}

static bool config_check_fields(const char *word, const char *name,
				const config_field_t *fields,
				const void *object, config_ruling_t *ruling)
{
	const config_field_t *wrong = config_field_wrong(fields, object);

	if (!wrong)
		return true;
	return config_check_refuse(
		ruling, "%s %s: %s must be from %u to %u (%s); set it so", word,
		name, wrong->key, wrong->min, wrong->max, wrong->help);
}

static bool config_check_classes(const config_profile_t *profile,
				 config_ruling_t *ruling)
{
	u_int i, j;

	for (i = 0; i < profile->classes.classes_len; i++) {
		const config_class_t *class = &profile->classes.classes_val[i];

		if (!hl_name_valid(class->name))
			return config_check_refuse(
				ruling,
				"profile %s: a class needs a name of a-z, 0-9, "
				"'-', '.'; rename it",
				profile->name);
		if (!config_check_fields("class", class->name,
					 config_class_fields, class, ruling))
			return false;
		for (j = 0; j < i; j++)
			if (!strcmp(profile->classes.classes_val[j].name,
				    class->name))
				return config_check_refuse(
					ruling,
					"profile %s names class %s twice; "
					"remove one",
					profile->name, class->name);
	}
	return true;
}

/* A name that others chose: anything that shows on a line and in a path. */
static bool config_check_any_name(const char *name)
{
	size_t i;

	for (i = 0; name[i]; i++)
		if (!isgraph((unsigned char)name[i]) || name[i] == '"')
			return false;
	return i > 0;
}

static bool config_check_name(const config_object_type_t *object,
			      const char *name)
{
	return object->any_name ? config_check_any_name(name) :
				  hl_name_valid(name);
}

static bool config_check_weights(const config_route_t *route,
				 config_ruling_t *ruling)
{
	uint64_t sum = 0;
	u_int i;

	if (!route->parts.parts_len)
		return config_check_refuse(ruling,
					   "route %s goes nowhere; name a "
					   "service or a split",
					   route->name);
	for (i = 0; i < route->parts.parts_len; i++)
		sum += route->parts.parts_val[i].weight;
	if (sum || !route->split)
		return true;
	return config_check_refuse(ruling,
				   "the weights of route %s add up to 0; give "
				   "one part a weight",
				   route->name);
}

static bool config_check_route(const config_route_t *route,
			       config_ruling_t *ruling)
{
	size_t length = strlen(route->prefix);

	if (!*route->host)
		return config_check_refuse(ruling,
					   "route %s has no host; "
					   "name one",
					   route->name);
	if (!length || route->prefix[0] != '/' ||
	    route->prefix[length - 1] != '/')
		return config_check_refuse(ruling,
					   "the prefix of route %s must begin "
					   "and end with a slash; add it",
					   route->name);
	if (!route->attempts_max)
		return config_check_refuse(ruling,
					   "route %s allows no attempt; set "
					   "attempts_max to 1 or more",
					   route->name);
	if (!route->timeout_us || !route->objective_us)
		return config_check_refuse(ruling,
					   "route %s has no timeout or "
					   "objective; set both above 0",
					   route->name);
	if (route->objective_us >= route->timeout_us + CONFIG_OBJECTIVE_BEYOND)
		return config_check_refuse(ruling,
					   "the objective of route %s is a "
					   "minute or more above its timeout; "
					   "lower it",
					   route->name);
	return config_check_weights(route, ruling);
}

/* The values of one object, whatever else is configured. */
static bool config_check_values(const config_object_type_t *object,
				const config_item_t *item,
				config_ruling_t *ruling)
{
	const config_body_t *body = &item->body;
	const char *name = config_object_name(object, &body->config_body_t_u);
	const char *copy = config_object_copy(object, &body->config_body_t_u);

	if (!config_check_name(object, name) ||
	    (*copy && !hl_name_valid(copy)) ||
	    (object->copy != CONFIG_NO_COPY && !*copy))
		return config_check_refuse(
			ruling,
			"a %s needs a name of a-z, 0-9, '-', '.'; rename it",
			object->word);
	if (body->kind == CONFIG_PUT_PROFILE)
		return config_check_fields(object->word, name,
					   config_profile_fields,
					   &body->config_body_t_u, ruling) &&
		       config_check_classes(&body->config_body_t_u.profile,
					    ruling);
	if (body->kind == CONFIG_PUT_SERVICE)
		return config_check_fields(object->word, name,
					   config_service_fields,
					   &body->config_body_t_u, ruling);
	if (body->kind == CONFIG_PUT_ROUTE)
		return config_check_route(&body->config_body_t_u.route, ruling);
	return true;
}

/* Operators number the routing upwards, with gaps as they like. */
static bool config_check_edition(const config_routing_version_t *held,
				 const config_routing_version_t *next,
				 config_ruling_t *ruling)
{
	if (!held || next->number > held->number)
		return true;
	return config_check_refuse(ruling,
				   "routing version %" PRIu64
				   " is not above %" PRIu64
				   ", which is in force; number it higher",
				   (uint64_t)next->number,
				   (uint64_t)held->number);
}

bool config_check_item(const config_t *config, const config_item_t *item,
		       uint64_t revision, config_ruling_t *ruling)
{
	const config_object_type_t *object = config_object_type(
		item->body.kind);
	const void *value = &item->body.config_body_t_u;
	const void *found;
	uint64_t held;

	if (!object)
		return config_check_refuse(ruling,
					   "unknown kind of item %d; update "
					   "the keepers first",
					   (int)item->body.kind);
	if (!config_check_values(object, item, ruling))
		return false;
	found = config_object_find(object, config, value);
	held = found ? config_object_revision(object, found) : 0;
	if (held == revision)
		return config_check_refuse(ruling,
					   "the change names %s %s twice; "
					   "remove one",
					   object->word,
					   config_object_name(object, value));
	if (!found && !item->base && item->body.kind == object->retire)
		return config_check_refuse(ruling,
					   "there is no %s %s; see hemlockctl "
					   "get for those that are",
					   object->word,
					   config_object_name(object, value));
	if (held != item->base) {
		ruling->verdict = CONFIG_CONFLICT;
		ruling->item = item;
		return false;
	}
	if (!found && config_object_count(object, config) == object->most)
		return config_check_refuse(ruling,
					   "there are %u of kind %s already; "
					   "retire some first",
					   object->most, object->word);
	if (item->body.kind == CONFIG_PUT_ROUTING_VERSION)
		return config_check_edition(found, value, ruling);
	return true;
}

/* List the services that run under a profile, as many as fit. */
static unsigned config_check_users(const config_t *config, const char *profile,
				   char *out, size_t size)
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

static bool config_check_retired(const config_t *config, const char *profile,
				 config_ruling_t *ruling)
{
	char names[CONFIG_MESSAGE_MAX / 2];
	unsigned users;

	if (config_find_profile(config, profile))
		return true;
	users = config_check_users(config, profile, names, sizeof(names));
	if (!users)
		return true;
	return config_check_refuse(ruling,
				   "profile %s is in use by %u service%s: %s; "
				   "give %s another profile first",
				   profile, users, users > 1 ? "s" : "", names,
				   users > 1 ? "them" : "it");
}

static bool config_check_parts(const config_t *config,
			       const config_route_t *route,
			       config_ruling_t *ruling)
{
	u_int i;

	for (i = 0; i < route->parts.parts_len; i++) {
		const char *service = route->parts.parts_val[i].service;

		if (!config_find_pool(config, service))
			return config_check_refuse(
				ruling,
				"route %s goes to service %s, which is not "
				"there; declare it in the same change",
				route->name, service);
	}
	return true;
}

/* Two routes of one host and prefix would each take the other's calls. */
static bool config_check_place(const config_t *config,
			       const config_route_t *route,
			       config_ruling_t *ruling)
{
	u_int i;

	for (i = 0; i < config->routes.routes_len; i++) {
		const config_route_t *other = &config->routes.routes_val[i];

		if (!strcmp(other->prefix, route->prefix) &&
		    !strcmp(other->host, route->host) &&
		    strcmp(other->name, route->name))
			return config_check_refuse(
				ruling,
				"routes %s and %s are both for %s%s; retire "
				"one",
				route->name, other->name, route->host,
				route->prefix);
	}
	return true;
}

static bool config_check_unused(const config_t *config, const char *pool,
				config_ruling_t *ruling)
{
	u_int i, j;

	if (config_find_pool(config, pool))
		return true;
	for (i = 0; i < config->routes.routes_len; i++) {
		const config_route_t *route = &config->routes.routes_val[i];

		for (j = 0; j < route->parts.parts_len; j++)
			if (!strcmp(route->parts.parts_val[j].service, pool))
				return config_check_refuse(
					ruling,
					"service %s is in use by route %s; "
					"send that elsewhere first",
					pool, route->name);
	}
	return true;
}

static bool config_check_reference(const config_t *config,
				   const config_body_t *body,
				   config_ruling_t *ruling)
{
	const config_service_t *svc = &body->config_body_t_u.service;
	const config_stop_t *stop = &body->config_body_t_u.stop;

	if (body->kind == CONFIG_PUT_ROUTE)
		return config_check_parts(config, &body->config_body_t_u.route,
					  ruling) &&
		       config_check_place(config, &body->config_body_t_u.route,
					  ruling);
	if (body->kind == CONFIG_RETIRE_POOL)
		return config_check_unused(config,
					   body->config_body_t_u.pool.name,
					   ruling);
	if (body->kind == CONFIG_RETIRE_PROFILE)
		return config_check_retired(config,
					    body->config_body_t_u.profile.name,
					    ruling);
	if (body->kind == CONFIG_PUT_SERVICE &&
	    !config_find_profile(config, svc->profile))
		return config_check_refuse(ruling,
					   "service %s names profile %s, which "
					   "is not there; declare it in the "
					   "same change or before",
					   svc->name, svc->profile);
	if (body->kind == CONFIG_PUT_STOP &&
	    !config_find_service(config, stop->service))
		return config_check_refuse(ruling,
					   "there is no service %s; see "
					   "hemlockctl get for those that are",
					   stop->service);
	return true;
}

bool config_check_references(const config_t *config,
			     const config_change_t *change,
			     config_ruling_t *ruling)
{
	u_int i;

	for (i = 0; i < change->items.items_len; i++)
		if (!config_check_reference(config,
					    &change->items.items_val[i].body,
					    ruling))
			return false;
	return true;
}
