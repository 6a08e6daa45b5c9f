#include "config-object.h"
#include "config-rate.h"
#include "config-target.h"

static const config_object_type_t *rate_type(void)
{
	return config_object_type(CONFIG_PUT_COPY_RATE);
}

const config_copy_rate_t *config_rate_find(const config_t *config,
					   const char *copy)
{
	const config_copy_rate_t key = { .name = (char *)copy };

	return config_object_find(rate_type(), config, &key);
}

/* Whether a copy serves as the process that started at @started_ms. */
static bool rate_is_current(const config_t *config, const char *copy,
			    uint64_t started_ms)
{
	const config_target_t *target = config_find_target(config, copy);

	return target && config_target_serves(target) &&
	       target->started_ms == started_ms;
}

bool config_rate_has_effect(const config_t *config, const config_item_t *item)
{
	const config_copy_rate_t *rate = &item->body.config_body_t_u.copy_rate;
	const config_copy_rate_t *existing = config_rate_find(config,
							      rate->name);
	uint64_t revision = existing ? existing->revision : 0;

	if (revision != item->base)
		return false;
	if (item->body.kind == CONFIG_RETIRE_COPY_RATE)
		return existing != NULL;
	return rate_is_current(config, rate->name, rate->started_ms);
}

int config_rate_apply(config_t *config, const config_item_t *item,
		      uint64_t revision)
{
	const config_copy_rate_t *rate = &item->body.config_body_t_u.copy_rate;

	if (!config_rate_has_effect(config, item))
		return 0;
	if (item->body.kind == CONFIG_PUT_COPY_RATE)
		return config_object_put(rate_type(), config, rate, revision);
	config_object_remove(rate_type(), config,
			     config_object_find(rate_type(), config, rate));
	return 0;
}

void config_rate_drop_stale(config_t *config)
{
	u_int i = config->copy_rates.copy_rates_len;

	while (i-- > 0) {
		config_copy_rate_t *rate =
			&config->copy_rates.copy_rates_val[i];

		if (!rate_is_current(config, rate->name, rate->started_ms))
			config_object_remove(rate_type(), config, rate);
	}
}
