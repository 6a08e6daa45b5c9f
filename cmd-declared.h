#ifndef CMD_DECLARED_H
#define CMD_DECLARED_H

#include "cmd.h"
#include "config-plan.h"
#include "config-read.h"

/* Loads declaration files and compares them with the accepted configuration. */

/** struct cmd_declared_t - declarations and the accepted configuration. */
typedef struct {
	config_declared_t files;
	config_t current;	/* accepted configuration */
	config_change_t change; /* items that turn current into files */
} cmd_declared_t;

/**
 * cmd_declared_load - read declarations and plan the change to them.
 * @cmd: the keepers
 * @files: paths, NULL-terminated
 * @declared: filled in; call cmd_declared_free() also after an error
 * @err: HL_ERR_SETTINGS for an invalid file, or an error of cmd_fetch_config()
 */
int cmd_declared_load(cmd_t *cmd, char **files, cmd_declared_t *declared,
		      hl_error_t *err);

/** cmd_declared_retire - plan to retire the objects missing in the files. */
int cmd_declared_retire(cmd_declared_t *declared, hl_error_t *err);

/** cmd_declared_free - free the declarations, configuration and change. */
void cmd_declared_free(cmd_declared_t *declared);

#endif
