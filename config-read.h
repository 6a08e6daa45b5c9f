#ifndef CONFIG_READ_H
#define CONFIG_READ_H

#include <glib.h>
#include "config.h"
#include "toml.h"

/*
 * Reads the TOML files in which operators declare profiles and services. Each
 * error names file and line.
 */

/** struct config_declared_t - declarations of all files read so far. */
typedef struct {
	config_t config;       /* its revisions are not used */
	GHashTable *locations; /* "service bay-desk" -> "file:line" */
} config_declared_t;

/** config_read_init - start with no declarations. */
void config_read_init(config_declared_t *declared);

/** config_read_fini - free the declarations. */
void config_read_fini(config_declared_t *declared);

/**
 * config_read_text - add the declarations of a TOML text.
 * @name: file name for messages
 * @text: the text
 * @size: its size in bytes
 * @declared: declarations so far; profiles and services are added
 * @err: HL_ERR_SETTINGS with file, line, allowed values and remedy
 *
 * Return: 0, or -1; @declared then has no object of this text.
 */
int config_read_text(const char *name, const char *text, size_t size,
		     config_declared_t *declared, hl_error_t *err);

/** config_read_file - the same as config_read_text(), from a file. */
int config_read_file(const char *path, config_declared_t *declared,
		     hl_error_t *err);

/**
 * config_read_check_references - check that each service has a profile.
 * @declared: declarations of all files
 * @current: the configuration that the keepers hold
 * @err: HL_ERR_SETTINGS with the file and line of the service
 *
 * The profile is either declared or already accepted by the keepers.
 *
 * Return: 0, or -1 if a profile is missing.
 */
int config_read_check_references(const config_declared_t *declared,
				 const config_t *current, hl_error_t *err);

#endif
