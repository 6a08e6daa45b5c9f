#ifndef CMD_DECLARED_H
#define CMD_DECLARED_H

#include "cmd.h"
#include "config-plan.h"
#include "config-read.h"

/** struct cmd_declared_t - declarations beside what is accepted. */
typedef struct {
	config_declared_t files;
	config_t current;
	config_change_t change; /* from current to files */
} cmd_declared_t;

/** cmd_declared_load - read the files, fetch, and plan; free in any case. */
int cmd_declared_load(cmd_t *cmd, char **files, cmd_declared_t *declared,
		      hl_error_t *err);

/** cmd_declared_retire - also plan to retire what the files do not name. */
int cmd_declared_retire(cmd_declared_t *declared, hl_error_t *err);

/** cmd_declared_free - free all. */
void cmd_declared_free(cmd_declared_t *declared);

#endif
