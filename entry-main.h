#ifndef ENTRY_MAIN_H
#define ENTRY_MAIN_H

#include "entry-io.h"

/**
 * entry_main_run - run an entry until it is asked to stop.
 * @settings: checked settings
 * @path: their file, read again on SIGHUP for the log level
 * @first_start: a first installation, on which no key was ever claimed
 * @err: why it could not run
 *
 * Return: 0 after a graceful stop, -1 with @err.
 */
int entry_main_run(const entry_settings_t *settings, const char *path,
		   bool first_start, hl_error_t *err);

#endif
