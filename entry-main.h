#ifndef ENTRY_MAIN_H
#define ENTRY_MAIN_H

#include "entry-io.h"

/**
 * entry_main_run - run an entry until SIGTERM or SIGINT.
 * @settings: checked settings
 * @path: the settings file, which is read again on SIGHUP for the log level
 * @first_start: first start of a new installation, on which no idempotency key
 *               was claimed before
 * @err: receives the reason if the entry could not start or had to stop
 *
 * Return: 0 after a graceful stop, -1 with @err.
 */
int entry_main_run(const entry_settings_t *settings, const char *path,
		   bool first_start, hl_error_t *err);

#endif
