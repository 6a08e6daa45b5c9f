#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include "config-check.h"
#include "config-field.h"

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

/* The values of one object, whatever else is configured. */
static bool config_check_values(const config_object_t *object,
				const config_item_t *item,
				config_ruling_t *ruling)
{
	const config_body_t *body = &item->body;
	const char *name = config_object_name(object, &body->config_body_t_u);
	const char *copy = config_object_copy(object, &body->config_body_t_u);

	if (!hl_name_valid(name) || (*copy && !hl_name_valid(copy)) ||
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
	return true;
}

bool config_check_item(const config_t *config, const config_item_t *item,
		       uint64_t revision, config_ruling_t *ruling)
{
	const config_object_t *object = config_object_of(item->body.kind);
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
	if (!found && config_object_count(object, config) == CONFIG_OBJECTS_MAX)
		return config_check_refuse(ruling,
					   "there are %d of kind %s already; "
					   "retire some first",
					   CONFIG_OBJECTS_MAX, object->word);
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

static bool config_check_reference(const config_t *config,
				   const config_body_t *body,
				   config_ruling_t *ruling)
{
	const config_service_t *svc = &body->config_body_t_u.service;
	const config_stop_t *stop = &body->config_body_t_u.stop;

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
