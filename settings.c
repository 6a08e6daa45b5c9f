#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include "toml.h"

/*
 * Settings files: tables of setting_t describe the keys of a program, by which
 * a parsed TOML file is checked and stored in a struct.
 */

/* Size in bytes of the longest description of a key's values, with NUL. */
#define SETTINGS_ALLOWED_MAX 160

/* Writes a description of the values that are valid for a key. */
static const char *settings_describe_kind(const setting_t *setting, char *out,
					  size_t size)
{
	static const char *const texts[] = {
		[SETTING_NAME] = "a name of a-z, 0-9, '-', '.' in quotes",
		[SETTING_TEXT] = "a string in quotes",
		[SETTING_ADDRESS] = "\"ip:port\" in quotes",
		[SETTING_IP] = "an IP number in quotes",
		[SETTING_BOOLEAN] = "true or false",
		[SETTING_ADDRESSES] = "an array of \"ip:port\"",
		[SETTING_NAMES] = "an array of names",
		[SETTING_LEVEL] = "one of \"error\", \"warning\", \"notice\", "
				  "\"info\", \"debug\"",
	};

	if (setting->kind == SETTING_REAL)
		snprintf(out, size, "a number from %" PRId64 " to %" PRId64,
			 setting->min, setting->max);
	else if (setting->kind == SETTING_INTEGER)
		snprintf(out, size, "an integer from %" PRId64 " to %" PRId64,
			 setting->min, setting->max);
	else
		snprintf(out, size, "%s", texts[setting->kind]);
	return out;
}

static int settings_set_error(const char *file, int line,
			      const setting_t *setting, hl_error_t *err)
{
	char allowed[SETTINGS_ALLOWED_MAX];

	settings_describe_kind(setting, allowed, sizeof(allowed));
	return hl_error_set(err, HL_ERR_SETTINGS,
			    "%s:%d: %s%s%s must be %s; set it so or remove the "
			    "line",
			    file, line, setting->table,
			    *setting->table ? "." : "", setting->key, allowed);
}

static bool settings_ip_valid(const char *text)
{
	unsigned char buffer[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, text, buffer) == 1 ||
	       inet_pton(AF_INET6, text, buffer) == 1;
}

static bool settings_address_valid(const char *text)
{
	struct sockaddr_storage storage;
	unsigned length;

	if (strlen(text) >= HL_ADDRESS_MAX)
		return false;
	return hl_address_parse(text, &storage, &length) == 0;
}

/* Checks a text and copies it into a field; -1 if it is invalid. */
static int settings_store_text(const setting_t *setting, const char *text,
			       void *field)
{
	size_t size = HL_ADDRESS_MAX;

	if (setting->kind == SETTING_NAME && !hl_name_valid(text))
		return -1;
	if (setting->kind == SETTING_ADDRESS && !settings_address_valid(text))
		return -1;
	if (setting->kind == SETTING_IP && !settings_ip_valid(text))
		return -1;
	if (setting->kind == SETTING_LEVEL)
		return log_level_parse(text, field) ? 0 : -1;
	if (setting->kind == SETTING_TEXT)
		size = HL_MESSAGE_MAX;
	if (strlen(text) >= size)
		return -1;
	strcpy(field, text);
	return 0;
}

static int settings_store_list(const setting_t *setting,
			       const toml_node_t *node, setting_list_t *list)
{
	const toml_node_t *item;
	bool names = setting->kind == SETTING_NAMES;

	for (item = node->children; item; item = item->next) {
		if (item->kind != TOML_STRING ||
		    list->count == SETTING_LIST_MAX)
			return -1;
		if (names ? !hl_name_valid(item->text) :
			    !settings_address_valid(item->text))
			return -1;
		strcpy(list->items[list->count++], item->text);
	}
	return 0;
}

static int settings_store_integer(const setting_t *setting, int64_t value,
				  int64_t *field)
{
	if (value < setting->min || value > setting->max)
		return -1;
	*field = value;
	return 0;
}

static int settings_store_real(const setting_t *setting,
			       const toml_node_t *node, double *field)
{
	double value = node->kind == TOML_INTEGER ? (double)node->integer :
						    node->real;

	if (node->kind != TOML_INTEGER && node->kind != TOML_REAL)
		return -1;
	if (!(value >= (double)setting->min && value <= (double)setting->max))
		return -1;
	*field = value;
	return 0;
}

/* Stores the value of @node; -1 if it is not valid for the key. */
static int settings_store(const setting_t *setting, const toml_node_t *node,
			  void *field)
{
	switch (setting->kind) {
	case SETTING_INTEGER:
		if (node->kind != TOML_INTEGER)
			return -1;
		return settings_store_integer(setting, node->integer, field);
	case SETTING_REAL:
		return settings_store_real(setting, node, field);
	case SETTING_BOOLEAN:
		if (node->kind != TOML_BOOLEAN)
			return -1;
		*(bool *)field = node->boolean;
		return 0;
	case SETTING_ADDRESSES:
	case SETTING_NAMES:
		if (node->kind != TOML_ARRAY)
			return -1;
		return settings_store_list(setting, node, field);
	default:
		if (node->kind != TOML_STRING)
			return -1;
		return settings_store_text(setting, node->text, field);
	}
}

/* Stores the default of a key, given as text in the syntax of a file. */
static void settings_store_default(const setting_t *setting, void *field)
{
	if (!setting->default_text)
		return;
	if (setting->kind == SETTING_INTEGER)
		*(int64_t *)field = strtoll(setting->default_text, NULL, 10);
	else if (setting->kind == SETTING_REAL)
		*(double *)field = strtod(setting->default_text, NULL);
	else if (setting->kind == SETTING_BOOLEAN)
		*(bool *)field = !strcmp(setting->default_text, "true");
	else
		settings_store_text(setting, setting->default_text, field);
}

static const setting_t *settings_find(const setting_t *settings, size_t count,
				      const char *table, const char *key)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(settings[i].table, table) &&
		    !strcmp(settings[i].key, key))
			return &settings[i];
	return NULL;
}

static bool settings_table_known(const setting_t *settings, size_t count,
				 const char *table)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(settings[i].table, table))
			return true;
	return false;
}

static int settings_read_key(const char *file, const char *table,
			     const toml_node_t *node, const setting_t *settings,
			     size_t count, void *out, hl_error_t *err)
{
	const setting_t *setting;

	setting = settings_find(settings, count, table, node->key);
	if (!setting)
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s:%d: unknown key %s%s%s; remove it or "
				    "see --help-settings for the known ones",
				    file, node->line, table, *table ? "." : "",
				    node->key);
	if (settings_store(setting, node, (char *)out + setting->offset))
		return settings_set_error(file, node->line, setting, err);
	return 0;
}

static int settings_read_table(const char *file, const toml_node_t *table,
			       const setting_t *settings, size_t count,
			       void *out, hl_error_t *err)
{
	const toml_node_t *node;

	if (!settings_table_known(settings, count, table->key))
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s:%d: unknown table [%s]; remove it or "
				    "see --help-settings for the known ones",
				    file, table->line, table->key);
	for (node = table->children; node; node = node->next)
		if (settings_read_key(file, table->key, node, settings, count,
				      out, err))
			return -1;
	return 0;
}

static const toml_node_t *settings_find_node(const toml_node_t *root,
					     const setting_t *setting)
{
	const toml_node_t *table = root;

	if (*setting->table)
		table = toml_find(root, setting->table);
	return table ? toml_find(table, setting->key) : NULL;
}

static int settings_check_required(const char *file, const toml_node_t *root,
				   const setting_t *settings, size_t count,
				   hl_error_t *err)
{
	char allowed[SETTINGS_ALLOWED_MAX];
	size_t i;

	for (i = 0; i < count; i++) {
		if (!settings[i].required ||
		    settings_find_node(root, &settings[i]))
			continue;
		settings_describe_kind(&settings[i], allowed, sizeof(allowed));
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s: missing key %s%s%s (%s); add it as %s",
				    file, settings[i].table,
				    *settings[i].table ? "." : "",
				    settings[i].key, settings[i].help, allowed);
	}
	return 0;
}

int settings_read(const char *file, const toml_node_t *root,
		  const setting_t *settings, size_t count, void *out,
		  hl_error_t *err)
{
	const toml_node_t *node;
	size_t i;
	int rc;

	for (i = 0; i < count; i++)
		settings_store_default(&settings[i],
				       (char *)out + settings[i].offset);
	for (node = root->children; node; node = node->next) {
		if (node->kind == TOML_TABLE)
			rc = settings_read_table(file, node, settings, count,
						 out, err);
		else
			rc = settings_read_key(file, "", node, settings, count,
					       out, err);
		if (rc)
			return -1;
	}
	return settings_check_required(file, root, settings, count, err);
}

int settings_load(const char *path, const setting_t *settings, size_t count,
		  void *out, hl_error_t *err)
{
	toml_node_t *root = toml_parse_file(path, err);
	int rc;

	if (!root)
		return -1;
	rc = settings_read(path, root, settings, count, out, err);
	toml_free(root);
	return rc;
}

void settings_print_help(const setting_t *settings, size_t count, FILE *out)
{
	char allowed[SETTINGS_ALLOWED_MAX];
	size_t i;

	for (i = 0; i < count; i++) {
		const setting_t *setting = &settings[i];

		settings_describe_kind(setting, allowed, sizeof(allowed));
		fprintf(out, "%s%s%s: %s; %s", setting->table,
			*setting->table ? "." : "", setting->key, setting->help,
			allowed);
		if (setting->required)
			fprintf(out, "; required\n");
		else
			fprintf(out, "; default %s\n",
				setting->default_text ? setting->default_text :
							"none");
	}
}

int settings_read_variable(const char *name, setting_kind_t kind, int max,
			   double *value, hl_error_t *err)
{
	const char *text = getenv(name);
	bool whole = kind == SETTING_INTEGER;
	double number;
	char *end;

	if (!text || !*text)
		return 0;
	number = strtod(text, &end);
	if (*end || !(number >= 0 && number <= max) ||
	    (whole && number != (int)number))
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s must be %s from 0 to %d; correct or "
				    "unset it",
				    name, whole ? "an integer" : "a number",
				    max);
	*value = number;
	return 0;
}
