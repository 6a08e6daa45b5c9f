#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include "config-field.h"
#include "config-object.h"
#include "config-read.h"

/* The file being read, which error messages name with the line. */
typedef struct {
	const char *file;
	GHashTable *locations;
	hl_error_t *err;
} config_reader_t;

static int config_read_refuse(const config_reader_t *reader, int line,
			      const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static int config_read_refuse(const config_reader_t *reader, int line,
			      const char *fmt, ...)
{
	char text[HL_MESSAGE_MAX / 2];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	return hl_error_set(reader->err, HL_ERR_SETTINGS, "%s:%d: %s",
			    reader->file, line, text);
}

/* Stores a valid name in a string field, which the object owns. */
static int config_read_name(const config_reader_t *reader,
			    const toml_node_t *node, char **out)
{
	if (node->kind != TOML_STRING || !hl_name_valid(node->text))
		return config_read_refuse(reader, node->line,
					  "%s must be a name of a-z, 0-9, "
					  "'-', '.' in quotes; correct it",
					  node->key);
	free(*out);
	*out = strdup(node->text);
	return *out ? 0 : -1;
}

static int config_read_number(const config_reader_t *reader,
			      const toml_node_t *node,
			      const config_field_t *fields, void *object)
{
	const config_field_t *field = config_field_find(fields, node->key);

	if (!field)
		return config_read_refuse(reader, node->line,
					  "unknown key %s; remove it or see "
					  "hemlockctl(1) for the known ones",
					  node->key);
	if (node->kind != TOML_INTEGER || node->integer < field->min ||
	    node->integer > field->max)
		return config_read_refuse(reader, node->line,
					  "%s must be an integer from %u to %u "
					  "(%s); set it so or remove the line",
					  field->key, field->min, field->max,
					  field->help);
	config_field_set(field, object, (u_int)node->integer);
	return 0;
}

/* Refuses an object without a name, which could not be identified. */
static int config_read_require_name(const config_reader_t *reader,
				    const toml_node_t *table, const char *label,
				    char **name)
{
	if (*name)
		return 0;
	return config_read_refuse(reader, table->line,
				  "a %s needs a name; add name = \"...\"",
				  label);
}

static int config_read_class(const config_reader_t *reader,
			     const toml_node_t *table, config_class_t *class)
{
	const toml_node_t *node;

	if (table->kind != TOML_TABLE)
		return config_read_refuse(reader, table->line,
					  "a class is a table; write "
					  "[[profile.class]]");
	for (node = table->children; node; node = node->next) {
		int rc = strcmp(node->key, "name") ?
				 config_read_number(reader, node,
						    config_class_fields,
						    class) :
				 config_read_name(reader, node, &class->name);

		if (rc)
			return -1;
	}
	return config_read_require_name(reader, table, "class", &class->name);
}

/* Whether a class before @index has the same name. */
static bool config_read_class_is_duplicate(const config_profile_t *profile,
					   u_int index)
{
	const config_class_t *classes = profile->classes.classes_val;
	u_int i;

	for (i = 0; i < index; i++)
		if (!g_strcmp0(classes[i].name, classes[index].name))
			return true;
	return false;
}

static int config_read_classes(const config_reader_t *reader,
			       const toml_node_t *list,
			       config_profile_t *profile)
{
	const toml_node_t *table;

	if (list->kind != TOML_ARRAY || profile->classes.classes_val)
		return config_read_refuse(reader, list->line,
					  "classes are an array of tables; "
					  "write [[profile.class]]");
	profile->classes.classes_val = calloc(CONFIG_CLASSES_MAX,
					      sizeof(config_class_t));
	if (!profile->classes.classes_val)
		return -1;
	for (table = list->children; table; table = table->next) {
		u_int count = profile->classes.classes_len;
		config_class_t *class = &profile->classes.classes_val[count];

		if (count == CONFIG_CLASSES_MAX)
			return config_read_refuse(reader, table->line,
						  "a profile has at most %d "
						  "classes; remove some",
						  CONFIG_CLASSES_MAX);
		profile->classes.classes_len++;
		if (config_read_class(reader, table, class))
			return -1;
		if (config_read_class_is_duplicate(profile, count))
			return config_read_refuse(reader, table->line,
						  "class %s is declared twice "
						  "in this profile; remove one",
						  class->name);
	}
	return 0;
}

static int config_read_profile_key(const config_reader_t *reader,
				   const toml_node_t *node,
				   config_profile_t *profile)
{
	if (!strcmp(node->key, "name"))
		return config_read_name(reader, node, &profile->name);
	if (!strcmp(node->key, "class"))
		return config_read_classes(reader, node, profile);
	if (strcmp(node->key, "post_idempotent"))
		return config_read_number(reader, node, config_profile_fields,
					  profile);
	if (node->kind != TOML_BOOLEAN)
		return config_read_refuse(reader, node->line,
					  "post_idempotent must be true or "
					  "false; set it so");
	profile->post_idempotent = node->boolean;
	return 0;
}

static int config_read_profile(const config_reader_t *reader,
			       const toml_node_t *table, void *object)
{
	config_profile_t *profile = object;
	const toml_node_t *node;

	config_profile_set_defaults(profile);
	for (node = table->children; node; node = node->next)
		if (config_read_profile_key(reader, node, profile))
			return -1;
	return config_read_require_name(reader, table, "profile",
					&profile->name);
}

static int config_read_service_key(const config_reader_t *reader,
				   const toml_node_t *node,
				   config_service_t *svc)
{
	if (!strcmp(node->key, "name"))
		return config_read_name(reader, node, &svc->name);
	if (!strcmp(node->key, "profile"))
		return config_read_name(reader, node, &svc->profile);
	return config_read_number(reader, node, config_service_fields, svc);
}

static int config_read_service(const config_reader_t *reader,
			       const toml_node_t *table, void *object)
{
	config_service_t *svc = object;
	const toml_node_t *node;

	for (node = table->children; node; node = node->next)
		if (config_read_service_key(reader, node, svc))
			return -1;
	if (config_read_require_name(reader, table, "service", &svc->name))
		return -1;
	if (svc->profile)
		return 0;
	return config_read_refuse(reader, table->line,
				  "service %s names no profile; add profile = "
				  "\"...\"",
				  svc->name);
}

/* Reads one table into an object of the given type and adds it. */
static int config_read_object(const config_reader_t *reader,
			      const config_object_type_t *type,
			      const toml_node_t *table, config_t *declared)
{
	config_body_t body = { .kind = type->put };
	void *value = &body.config_body_t_u;
	int rc;

	if (table->kind != TOML_TABLE)
		return config_read_refuse(reader, table->line,
					  "a %s is a table; write [[%s]]",
					  type->label, type->label);
	if (type->put == CONFIG_PUT_PROFILE)
		rc = config_read_profile(reader, table, value);
	else
		rc = config_read_service(reader, table, value);
	if (!rc && config_object_find(type, declared, value))
		rc = config_read_refuse(reader, table->line,
					"%s %s is declared twice; remove one",
					type->label,
					config_object_name(type, value));
	if (!rc && config_object_count(type, declared) == CONFIG_OBJECTS_MAX)
		rc = config_read_refuse(reader, table->line,
					"more than %d of kind %s; remove some",
					CONFIG_OBJECTS_MAX, type->label);
	if (!rc)
		rc = config_object_put(type, declared, value, 0);
	if (!rc)
		g_hash_table_replace(
			reader->locations,
			g_strdup_printf("%s %s", type->label,
					config_object_name(type, value)),
			g_strdup_printf("%s:%d", reader->file, table->line));
	xdr_free(type->proc, value);
	return rc;
}

static const config_object_type_t *config_read_object_type(const char *key)
{
	if (!strcmp(key, "profile"))
		return config_object_type(CONFIG_PUT_PROFILE);
	if (!strcmp(key, "service"))
		return config_object_type(CONFIG_PUT_SERVICE);
	return NULL;
}

static int config_read_root(const config_reader_t *reader,
			    const toml_node_t *root, config_t *declared)
{
	const toml_node_t *list, *table;

	for (list = root->children; list; list = list->next) {
		const config_object_type_t *type = config_read_object_type(
			list->key);

		if (!type || list->kind != TOML_ARRAY)
			return config_read_refuse(
				reader, list->line,
				"unknown key %s; declare [[profile]] and "
				"[[service]] tables only",
				list->key);
		for (table = list->children; table; table = table->next)
			if (config_read_object(reader, type, table, declared))
				return -1;
	}
	return 0;
}

/* Reads the objects into a copy of the declarations, so that a refused file
 * adds no objects. */
static int config_read_tree(const char *name, const toml_node_t *root,
			    config_declared_t *declared, hl_error_t *err)
{
	config_reader_t reader = { name, declared->locations, err };
	config_t merged, old;
	int rc;

	if (config_copy((xdrproc_t)xdr_config_t, &declared->config, &merged,
			sizeof(merged)))
		return hl_error_set(
			err, HL_ERR_NOMEM,
			"%s: out of memory; give the VM more memory", name);
	rc = config_read_root(&reader, root, &merged);
	if (!rc) {
		old = declared->config;
		declared->config = merged;
		merged = old;
	}
	xdr_free((xdrproc_t)xdr_config_t, (char *)&merged);
	return rc;
}

void config_read_init(config_declared_t *declared)
{
	memset(declared, 0, sizeof(*declared));
	declared->locations = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, g_free);
}

void config_read_fini(config_declared_t *declared)
{
	xdr_free((xdrproc_t)xdr_config_t, (char *)&declared->config);
	g_hash_table_destroy(declared->locations);
}

int config_read_text(const char *name, const char *text, size_t size,
		     config_declared_t *declared, hl_error_t *err)
{
	toml_node_t *root = toml_parse_text(name, text, size, err);
	int rc = root ? config_read_tree(name, root, declared, err) : -1;

	toml_free(root);
	return rc;
}

int config_read_file(const char *path, config_declared_t *declared,
		     hl_error_t *err)
{
	toml_node_t *root = toml_parse_file(path, err);
	int rc = root ? config_read_tree(path, root, declared, err) : -1;

	toml_free(root);
	return rc;
}

int config_read_check_references(const config_declared_t *declared,
				 const config_t *current, hl_error_t *err)
{
	u_int i;

	for (i = 0; i < declared->config.services.services_len; i++) {
		const config_service_t *svc =
			&declared->config.services.services_val[i];
		char key[2 * HL_NAME_MAX];

		if (config_find_profile(&declared->config, svc->profile) ||
		    config_find_profile(current, svc->profile))
			continue;
		snprintf(key, sizeof(key), "service %s", svc->name);
		return hl_error_set(
			err, HL_ERR_SETTINGS,
			"%s: service %s names profile %s, which is neither "
			"declared nor accepted; declare it or correct the name",
			(const char *)g_hash_table_lookup(declared->locations,
							  key),
			svc->name, svc->profile);
	}
	return 0;
}
