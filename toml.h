#ifndef TOML_H
#define TOML_H

#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

#include "hemlock.h"

/*
 * Reads TOML files into a tree of plain C nodes, and settings files from such
 * a tree into structs.
 */

/** enum toml_kind_t - type of a value in a TOML file. */
typedef enum {
	TOML_TABLE,
	TOML_ARRAY,
	TOML_STRING,
	TOML_INTEGER,
	TOML_REAL,
	TOML_BOOLEAN,
	TOML_OTHER, /* dates and times; no setting uses them */
} toml_kind_t;

/**
 * struct toml_node_t - one value of a TOML file.
 *
 * Members of a table or an array form a linked list, in the order of lines.
 */
typedef struct toml_node {
	toml_kind_t kind;
	char *key;  /* NULL for an item of an array */
	int line;   /* line number from 1 */
	char *text; /* value of a TOML_STRING */
	int64_t integer;
	double real;
	bool boolean;
	struct toml_node *children; /* TOML_TABLE, TOML_ARRAY */
	struct toml_node *next;
} toml_node_t;

/**
 * toml_parse_file - parse a TOML file.
 * @path: the file
 * @err: HL_ERR_IO, or HL_ERR_SETTINGS with file and line
 *
 * Return: the root table, to be freed with toml_free(), or NULL.
 */
toml_node_t *toml_parse_file(const char *path, hl_error_t *err);

/**
 * toml_parse_text - parse a TOML text in memory.
 * @name: file name for messages
 * @text: the text
 * @size: its length in bytes
 * @err: HL_ERR_SETTINGS with file and line
 *
 * Return: the root table, to be freed with toml_free(), or NULL.
 */
toml_node_t *toml_parse_text(const char *name, const char *text, size_t size,
			     hl_error_t *err);

/** toml_free - free a node with all its children; NULL is allowed. */
void toml_free(toml_node_t *root);

/** toml_find - member of @table with the key @key, or NULL. */
toml_node_t *toml_find(const toml_node_t *table, const char *key);

/** enum setting_kind_t - type of a setting and of its field in the struct. */
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

/** struct setting_list_t - value of a setting that holds a list. */
typedef struct {
	unsigned count;
	char items[SETTING_LIST_MAX][HL_ADDRESS_MAX];
} setting_list_t;

/** struct setting_t - one key of a settings file. */
typedef struct {
	const char *table; /* "node"; "" for the top level */
	const char *key;
	setting_kind_t kind;
	size_t offset; /* offset of the field in the settings struct */
	bool required;
	const char *default_text; /* default as text; NULL leaves zero */
	int64_t min, max;	  /* SETTING_INTEGER, SETTING_REAL */
	const char *help;	  /* description with the unit */
} setting_t;

/**
 * settings_read - fill a settings struct from a parsed file.
 * @file: file name for messages
 * @root: root table of the file
 * @settings: table of known keys
 * @count: number of known keys
 * @out: the struct to fill, zeroed by the caller
 * @err: file, line, key, allowed values and remedy
 *
 * An unknown key or table, a wrong type, a value out of range or a missing
 * required key is an error.
 *
 * Return: 0 or -1.
 */
int settings_read(const char *file, const toml_node_t *root,
		  const setting_t *settings, size_t count, void *out,
		  hl_error_t *err);

/** settings_load - parse a file and fill a struct; see settings_read(). */
int settings_load(const char *path, const setting_t *settings, size_t count,
		  void *out, hl_error_t *err);

/**
 * settings_read_variable - read a number from an environment variable.
 * @kind: SETTING_INTEGER or SETTING_REAL
 * @max: maximum; the minimum is 0
 * @value: unchanged if the variable is not set or empty
 * @err: name, allowed values and remedy
 *
 * Return: 0 or -1.
 */
int settings_read_variable(const char *name, setting_kind_t kind, int max,
			   double *value, hl_error_t *err);

/** settings_print_help - print a line for each key, for --help-settings. */
void settings_print_help(const setting_t *settings, size_t count, FILE *out);

#ifdef __cplusplus
}
#endif
#endif
