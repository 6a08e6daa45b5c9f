#ifndef CONFIG_PLAN_H
#define CONFIG_PLAN_H

#include "config-object.h"

/* Builds the change that turns one configuration into another. */

/**
 * config_plan - plan the change from the accepted to the declared objects.
 * @current: the configuration that the keepers hold
 * @declared: the declared profiles and services; others remain unchanged
 * @change: gets an item for each difference, and the revision of @current
 * @err: HL_ERR_LIMIT for more than CONFIG_ITEMS_MAX items, or HL_ERR_NOMEM
 *
 * Return: 0, or -1. Without a difference the change has no items.
 */
int config_plan(const config_t *current, const config_t *declared,
		config_change_t *change, hl_error_t *err);

/**
 * config_plan_add_item - add an item to a change.
 * @current: the configuration; the item's base revision is taken from it
 * @kind: what the item does
 * @value: the object to put or retire; it is copied
 * @change: the change
 * @err: HL_ERR_LIMIT or HL_ERR_NOMEM
 *
 * Return: 0 or -1.
 */
int config_plan_add_item(const config_t *current, config_item_kind_t kind,
			 const void *value, config_change_t *change,
			 hl_error_t *err);

/** config_plan_equal - whether two objects differ at most in revision. */
bool config_plan_equal(const config_object_type_t *object, const void *a,
		       const void *b);

/**
 * config_plan_set_header - set the id, author and time of a change.
 * @change: the change
 * @id: its id; the keepers apply a change id once
 * @author: the operator
 * @at_ms: wall clock in ms since 1970, for the history
 *
 * Return: 0, or -1 if out of memory.
 */
int config_plan_set_header(config_change_t *change, const char *id,
			   const char *author, int64_t at_ms);

#endif
