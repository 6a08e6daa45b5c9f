#ifndef TOML_H
#define TOML_H

#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

#include "hemlock.h"

/** enum toml_kind_t - the type of a value in a TOML file. */
typedef enum {
	TOML_TABLE,
	TOML_ARRAY,
	TOML_STRING,
	TOML_INTEGER,
	TOML_REAL,
	TOML_BOOLEAN,
	TOML_OTHER, /* dates and times, which no setting takes */
} toml_kind_t;

/**
 * struct toml_node_t - one value; the members of tables and arrays form a
 * list in the order of their lines.
 */
typedef struct toml_node {
	toml_kind_t kind;
	char *key;  /* NULL in an array */
	int line;   /* 1 is the first */
	char *text; /* TOML_STRING */
	int64_t integer;
	double real;
	bool boolean;
	struct toml_node *children;
	struct toml_node *next;
} toml_node_t;

/**
 * toml_parse_file - read a TOML file.
 * @path: the file
 * @err: HL_ERR_IO or HL_ERR_SETTINGS with file and line
 *
 * Return: the root table, or NULL. Free it with toml_free().
 */
toml_node_t *toml_parse_file(const char *path, hl_error_t *err);

/** toml_parse_text - the same from memory; @name stands for the file. */
toml_node_t *toml_parse_text(const char *name, const char *text, size_t size,
			     hl_error_t *err);

/** toml_free - free a whole tree; NULL is allowed. */
void toml_free(toml_node_t *root);

/** toml_find - the member of @table called @key, or NULL. */
toml_node_t *toml_find(const toml_node_t *table, const char *key);

/** enum setting_kind_t - how a setting is stored in its struct. */
typedef enum {
	SETTING_NAME,	   /* char[HL_NAME_MAX], hl_name_valid() */
	SETTING_TEXT,	   /* char[HL_MESSAGE_MAX] */
	SETTING_ADDRESS,   /* char[HL_ADDRESS_MAX], "ip:port" */
	SETTING_IP,	   /* char[HL_ADDRESS_MAX], "ip" */
	SETTING_INTEGER,   /* int64_t between min and max */
	SETTING_REAL,	   /* double between min and max */
	SETTING_BOOLEAN,   /* bool */
	SETTING_ADDRESSES, /* setting_list_t of "ip:port" */
	SETTING_NAMES,	   /* setting_list_t of names */
	SETTING_LEVEL,	   /* log_level_t */
} setting_kind_t;

#define SETTING_LIST_MAX 64

typedef struct {
	unsigned count;
	char items[SETTING_LIST_MAX][HL_ADDRESS_MAX];
} setting_list_t;

/** struct setting_t - one key of a settings file. */
typedef struct {
	const char *table; /* "node"; "" for the top level */
	const char *key;
	setting_kind_t kind;
	size_t offset; /* in the settings struct */
	bool required;
	const char *default_text; /* default as text; NULL leaves zero */
	int64_t min, max;	  /* SETTING_INTEGER, SETTING_REAL */
	const char *help;	  /* with its unit */
} setting_t;

/**
 * settings_read - fill a struct from a table of a parsed file.
 * @file: name for messages
 * @root: the parsed file
 * @settings: the known keys
 * @count: how many
 * @out: the struct to fill, zeroed by the caller
 * @err: names file, line, key, what is allowed and the remedy
 *
 * An unknown key or table, a wrong type, a value out of range or a missing
 * required key is an error.
 */
int settings_read(const char *file, const toml_node_t *root,
		  const setting_t *settings, size_t count, void *out,
		  hl_error_t *err);

/** settings_load - parse @path and read it into @out. */
int settings_load(const char *path, const setting_t *settings, size_t count,
		  void *out, hl_error_t *err);

/** settings_print_help - one line for each key, for --help-settings. */
void settings_print_help(const setting_t *settings, size_t count, FILE *out);

#ifdef __cplusplus
}
#endif
#endif
