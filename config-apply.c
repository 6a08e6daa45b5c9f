#include <string.h>
#include "config-object.h"
#include "config-rate.h"
#include "config-suspect.h"
#include "config-target.h"

/* Applies accepted items and deltas to a configuration. */

/* Removes the planned stops of a retired service. */
static void config_apply_drop_stops(config_t *config, const char *service)
{
	const config_object_type_t *type = config_object_type(CONFIG_PUT_STOP);
	u_int i = config_object_count(type, config);

	while (i-- > 0) {
		void *stop = config_object_at(type, config, i);

		if (!strcmp(config_object_name(type, stop), service))
			config_object_remove(type, config, stop);
	}
}

static bool config_target_has_effect(const config_t *config,
				     const config_item_t *item)
{
	const config_target_t *announced = &item->body.config_body_t_u.target;
	const config_target_t *existing = config_find_target(config,
							     announced->name);

	if (item->body.kind == CONFIG_PUT_TARGET)
		return config_target_supersedes(existing, announced);
	return existing && existing->revision == item->base;
}

bool config_report_has_effect(const config_t *config, const config_item_t *item)
{
	switch (item->body.kind) {
	case CONFIG_PUT_COPY_RATE:
	case CONFIG_RETIRE_COPY_RATE:
		return config_rate_has_effect(config, item);
	case CONFIG_PUT_SUSPECT:
	case CONFIG_RETIRE_SUSPECT:
		return config_suspect_has_effect(config, item);
	default:
		return config_target_has_effect(config, item);
	}
}

/* Applies an item about a copy, with what depends on its process. */
static int config_apply_target(config_t *config, uint64_t revision,
			       const config_item_t *item)
{
	const config_target_t *target = &item->body.config_body_t_u.target;

	if (item->body.kind == CONFIG_RETIRE_TARGET)
		config_target_retire(config, target, item->base);
	else if (config_target_put(config, target, revision))
		return -1;
	config_rate_drop_stale(config);
	return 0;
}

int config_apply_item(config_t *config, uint64_t revision,
		      const config_item_t *item)
{
	const config_object_type_t *type = config_object_type(item->body.kind);
	const void *value = &item->body.config_body_t_u;
	void *found;

	if (type->put == CONFIG_PUT_TARGET)
		return config_apply_target(config, revision, item);
	if (type->put == CONFIG_PUT_COPY_RATE)
		return config_rate_apply(config, item, revision);
	if (type->put == CONFIG_PUT_SUSPECT)
		return config_suspect_apply(config, item, revision);
	if (item->body.kind == type->put)
		return config_object_put(type, config, value, revision);
	found = config_object_find(type, config, value);
	if (found)
		config_object_remove(type, config, found);
	if (item->body.kind == CONFIG_RETIRE_SERVICE)
		config_apply_drop_stops(config,
					config_object_name(type, value));
	return 0;
}

int config_apply_delta(config_t *config, const config_delta_t *delta)
{
	u_int i;

	for (i = 0; i < delta->change.items.items_len; i++)
		if (config_apply_item(config, delta->revision,
				      &delta->change.items.items_val[i]))
			return -1;
	config->revision = delta->revision;
	return 0;
}
