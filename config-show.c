#include <string.h>
#include "config-field.h"
#include "config-object.h"
#include "config-show.h"

static void config_show_fields(const config_field_t *fields, const void *object,
			       FILE *out)
{
	for (; fields->key; fields++)
		fprintf(out, "%s = %u\n", fields->key,
			config_field_get(fields, object));
}

static void config_show_profile(const config_profile_t *profile, FILE *out)
{
	u_int i;

	fprintf(out, "# revision %" PRIu64 "\n[[profile]]\nname = \"%s\"\n",
		(uint64_t)profile->revision, profile->name);
	config_show_fields(config_profile_fields, profile, out);
	fprintf(out, "post_idempotent = %s\n",
		profile->post_idempotent ? "true" : "false");
	for (i = 0; i < profile->classes.classes_len; i++) {
		const config_class_t *class = &profile->classes.classes_val[i];

		fprintf(out, "[[profile.class]]\nname = \"%s\"\n", class->name);
		config_show_fields(config_class_fields, class, out);
	}
	fputc('\n', out);
}

static void config_show_service(const config_service_t *svc, FILE *out)
{
	fprintf(out,
		"# revision %" PRIu64
		"\n[[service]]\nname = \"%s\"\nprofile = \"%s\"\n",
		(uint64_t)svc->revision, svc->name, svc->profile);
	config_show_fields(config_service_fields, svc, out);
	fputc('\n', out);
}

void config_show_toml(const config_t *config, FILE *out)
{
	u_int i;

	for (i = 0; i < config->profiles.profiles_len; i++)
		config_show_profile(&config->profiles.profiles_val[i], out);
	for (i = 0; i < config->services.services_len; i++)
		config_show_service(&config->services.services_val[i], out);
	for (i = 0; i < config->stops.stops_len; i++)
		fprintf(out, "# stop %s %s (revision %" PRIu64 ")\n",
			config->stops.stops_val[i].service,
			config->stops.stops_val[i].copy,
			(uint64_t)config->stops.stops_val[i].revision);
}

static void config_show_changed(const char *what, const config_field_t *fields,
				const void *old, const void *new, FILE *out)
{
	for (; fields->key; fields++) {
		u_int from = config_field_get(fields, old);
		u_int to = config_field_get(fields, new);

		if (from != to)
			fprintf(out, "~ %s: %s %u -> %u\n", what, fields->key,
				from, to);
	}
}

static const config_class_t *config_show_class(const config_profile_t *profile,
					       const char *name)
{
	u_int i;

	for (i = 0; i < profile->classes.classes_len; i++)
		if (!strcmp(profile->classes.classes_val[i].name, name))
			return &profile->classes.classes_val[i];
	return NULL;
}

static void config_show_classes(const config_profile_t *old,
				const config_profile_t *new, FILE *out)
{
	char what[3 * HL_NAME_MAX];
	u_int i;

	for (i = 0; i < old->classes.classes_len; i++) {
		const char *name = old->classes.classes_val[i].name;

		if (!config_show_class(new, name))
			fprintf(out, "- profile %s class %s\n", old->name,
				name);
	}
	for (i = 0; i < new->classes.classes_len; i++) {
		const config_class_t *class = &new->classes.classes_val[i];
		const config_class_t *was = config_show_class(old, class->name);

		snprintf(what, sizeof(what), "profile %s class %s", new->name,
			 class->name);
		if (!was)
			fprintf(out, "+ %s\n", what);
		else
			config_show_changed(what, config_class_fields, was,
					    class, out);
	}
}

static void config_show_profile_diff(const char *what,
				     const config_profile_t *old,
				     const config_profile_t *new, FILE *out)
{
	config_show_changed(what, config_profile_fields, old, new, out);
	if (!old->post_idempotent != !new->post_idempotent)
		fprintf(out, "~ %s: post_idempotent %s -> %s\n", what,
			old->post_idempotent ? "true" : "false",
			new->post_idempotent ? "true" : "false");
	config_show_classes(old, new, out);
}

static void config_show_service_diff(const char *what,
				     const config_service_t *old,
				     const config_service_t *new, FILE *out)
{
	if (strcmp(old->profile, new->profile))
		fprintf(out, "~ %s: profile %s -> %s\n", what, old->profile,
			new->profile);
	config_show_changed(what, config_service_fields, old, new, out);
}

/* "profile fast", "stop bay-desk copy-3". */
static void config_show_name(const config_item_t *item, char *out, size_t size)
{
	const config_object_type_t *object = config_object_type(
		item->body.kind);
	const void *value = &item->body.config_body_t_u;
	const char *copy = config_object_copy(object, value);

	snprintf(out, size, "%s %s%s%s", object->word,
		 config_object_name(object, value), *copy ? " " : "", copy);
}

void config_show_diff(const config_t *current, const config_item_t *item,
		      FILE *out)
{
	const config_object_type_t *object = config_object_type(
		item->body.kind);
	const void *value = &item->body.config_body_t_u;
	const void *held = config_object_find(object, current, value);
	char what[3 * HL_NAME_MAX];

	config_show_name(item, what, sizeof(what));
	if (item->body.kind == object->retire)
		fprintf(out, "- %s\n", what);
	else if (!held)
		fprintf(out, "+ %s\n", what);
	else if (item->body.kind == CONFIG_PUT_PROFILE)
		config_show_profile_diff(what, held, value, out);
	else if (item->body.kind == CONFIG_PUT_SERVICE)
		config_show_service_diff(what, held, value, out);
}

void config_show_item(const config_item_t *item, char *out, size_t size)
{
	const config_object_type_t *object = config_object_type(
		item->body.kind);
	char what[3 * HL_NAME_MAX];

	config_show_name(item, what, sizeof(what));
	snprintf(out, size, "%s %s",
		 item->body.kind == object->put	       ? "put" :
		 item->body.kind == CONFIG_CANCEL_STOP ? "cancel" :
							 "retire",
		 what);
}

static void config_show_json_fields(const config_field_t *fields,
				    const void *object, json_t *out)
{
	for (; fields->key; fields++)
		json_object_set_new(out, fields->key,
				    json_integer(
					    config_field_get(fields, object)));
}

static json_t *config_show_profile_json(const config_profile_t *profile)
{
	json_t *out = json_pack("{s:s, s:I, s:b}", "name", profile->name,
				"revision", (json_int_t)profile->revision,
				"post_idempotent", profile->post_idempotent);
	json_t *classes = json_array();
	u_int i;

	config_show_json_fields(config_profile_fields, profile, out);
	for (i = 0; i < profile->classes.classes_len; i++) {
		const config_class_t *class = &profile->classes.classes_val[i];
		json_t *one = json_pack("{s:s}", "name", class->name);

		config_show_json_fields(config_class_fields, class, one);
		json_array_append_new(classes, one);
	}
	json_object_set_new(out, "classes", classes);
	return out;
}

static json_t *config_show_service_json(const config_service_t *svc)
{
	json_t *out = json_pack("{s:s, s:I, s:s}", "name", svc->name,
				"revision", (json_int_t)svc->revision,
				"profile", svc->profile);

	config_show_json_fields(config_service_fields, svc, out);
	return out;
}

static json_t *config_show_stop_json(const config_stop_t *stop)
{
	return json_pack("{s:s, s:s, s:I}", "service", stop->service, "copy",
			 stop->copy, "revision", (json_int_t)stop->revision);
}

json_t *config_show_json(const config_t *config)
{
	json_t *profiles = json_array();
	json_t *services = json_array();
	json_t *stops = json_array();
	u_int i;

	for (i = 0; i < config->profiles.profiles_len; i++)
		json_array_append_new(
			profiles, config_show_profile_json(
					  &config->profiles.profiles_val[i]));
	for (i = 0; i < config->services.services_len; i++)
		json_array_append_new(
			services, config_show_service_json(
					  &config->services.services_val[i]));
	for (i = 0; i < config->stops.stops_len; i++)
		json_array_append_new(stops,
				      config_show_stop_json(
					      &config->stops.stops_val[i]));
	return json_pack("{s:I, s:o, s:o, s:o}", "revision",
			 (json_int_t)config->revision, "profiles", profiles,
			 "services", services, "stops", stops);
}

json_t *config_show_change_json(const config_change_t *change)
{
	json_t *items = json_array();
	char text[4 * HL_NAME_MAX];
	u_int i;

	for (i = 0; i < change->items.items_len; i++) {
		const config_item_t *item = &change->items.items_val[i];

		config_show_item(item, text, sizeof(text));
		json_array_append_new(items, json_pack("{s:s, s:I}", "does",
						       text, "base",
						       (json_int_t)item->base));
	}
	return json_pack("{s:s, s:s, s:I, s:I, s:o}", "id", change->id,
			 "author", change->author, "at_ms",
			 (json_int_t)change->at_ms, "seen",
			 (json_int_t)change->base_revision, "items", items);
}
