#ifndef CONFIG_FIELD_H
#define CONFIG_FIELD_H

#include "config.h"

/*
 * Tables of the numeric fields of profiles, classes and services, with the
 * keys and bounds that files, checks and output share.
 */

/** struct config_field_t - key, position and bounds of a numeric field. */
typedef struct {
	const char *key; /* NULL in the last row of a table */
	size_t offset;	 /* offset in the object */
	u_int min, max;
	const char *help; /* description with the unit */
} config_field_t;

extern const config_field_t config_profile_fields[];
extern const config_field_t config_class_fields[];
extern const config_field_t config_service_fields[];

/** config_field_get - read a field of an object. */
u_int config_field_get(const config_field_t *field, const void *object);

/** config_field_set - write a field of an object. */
void config_field_set(const config_field_t *field, void *object, u_int value);

/** config_field_find - find the field with a key, or NULL. */
const config_field_t *config_field_find(const config_field_t *fields,
					const char *key);

/** config_field_out_of_range - first field outside its bounds, or NULL. */
const config_field_t *config_field_out_of_range(const config_field_t *fields,
						const void *object);

#endif
