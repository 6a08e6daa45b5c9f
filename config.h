#ifndef CONFIG_H
#define CONFIG_H

#include <rpc/rpc.h>
#include "config_rpc.h"
#include "hemlock.h"

/** config_find_profile - by name, or NULL. */
const config_profile_t *config_find_profile(const config_t *config,
					    const char *name);

/** config_find_service - by name, or NULL. */
const config_service_t *config_find_service(const config_t *config,
					    const char *name);

/** config_profile_preset - the values of a profile that names none. */
void config_profile_preset(config_profile_t *profile);

#endif
