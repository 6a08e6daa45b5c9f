#ifndef CONFIG_READ_H
#define CONFIG_READ_H

#include <glib.h>
#include "config.h"
#include "toml.h"

/** struct config_declared_t - what the files given declare. */
typedef struct {
	config_t config;    /* the revisions in it mean nothing */
	GHashTable *places; /* "service bay-desk" to "file:line" */
} config_declared_t;

/** config_read_init - nothing declared yet. */
void config_read_init(config_declared_t *declared);

/** config_read_fini - free all. */
void config_read_fini(config_declared_t *declared);

/**
 * config_read_text - add the declarations of a TOML text.
 * @name: of the file, for messages
 * @text: the text
 * @size: its bytes
 * @declared: what was declared before; profiles and services are added
 * @err: HL_ERR_SETTINGS with file, line, what is allowed and the remedy
 *
 * Return: 0, or -1 and @declared holds no object of this text.
 */
int config_read_text(const char *name, const char *text, size_t size,
		     config_declared_t *declared, hl_error_t *err);

/** config_read_file - the same of a file. */
int config_read_file(const char *path, config_declared_t *declared,
		     hl_error_t *err);

/**
 * config_read_check_references - does every service name a profile that is there?
 * @declared: all that was read
 * @current: what the keepers have
 * @err: HL_ERR_SETTINGS with file and line
 */
int config_read_check_references(const config_declared_t *declared,
				 const config_t *current, hl_error_t *err);

#endif
