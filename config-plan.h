#ifndef CONFIG_PLAN_H
#define CONFIG_PLAN_H

#include "config-object.h"

/**
 * config_plan - the change that turns what is accepted into what is declared.
 * @current: the configuration as the keepers have it
 * @declared: the declarations; what they do not name stays as it is
 * @change: its items and the revision it was made from are filled in
 * @err: HL_ERR_LIMIT when it would take more than CONFIG_ITEMS_MAX items
 *
 * Return: 0, with no items when nothing differs, or -1.
 */
int config_plan(const config_t *current, const config_t *declared,
		config_change_t *change, hl_error_t *err);

/** config_plan_add_item - add an item of @kind with the base in @current. */
int config_plan_add_item(const config_t *current, config_item_kind_t kind,
			 const void *value, config_change_t *change,
			 hl_error_t *err);

/** config_plan_same - equal but for the revisions? */
bool config_plan_same(const config_object_type_t *object, const void *a,
		      const void *b);

/** config_plan_set_header - give the change its id, author and time. */
int config_plan_set_header(config_change_t *change, const char *id,
			   const char *author, int64_t at_ms);

#endif
