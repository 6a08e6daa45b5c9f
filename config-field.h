#ifndef CONFIG_FIELD_H
#define CONFIG_FIELD_H

#include "config.h"

/** struct config_field_t - one number of an object: its key and bounds. */
typedef struct {
	const char *key; /* NULL ends a table */
	size_t offset;
	u_int min, max;
	const char *help; /* with its unit */
} config_field_t;

extern const config_field_t config_profile_fields[];
extern const config_field_t config_class_fields[];
extern const config_field_t config_service_fields[];

/** config_field_get - the number that a field has in an object. */
u_int config_field_get(const config_field_t *field, const void *object);

/** config_field_set - store a number in an object. */
void config_field_set(const config_field_t *field, void *object, u_int value);

/** config_field_find - the field of a key, or NULL. */
const config_field_t *config_field_find(const config_field_t *fields,
					const char *key);

/** config_field_wrong - the first field out of its bounds, or NULL. */
const config_field_t *config_field_wrong(const config_field_t *fields,
					 const void *object);

#endif
