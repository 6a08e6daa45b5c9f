#include "config.h"

/* Merges full configurations and deltas into the current configuration. */

/* Replaces @config by a full configuration, unless that is older. */
static int config_merge_full(config_t *config, const config_t *full)
{
	config_t copy;

	if (full->revision < config->revision)
		return 0;
	if (config_copy((xdrproc_t)xdr_config_t, full, &copy, sizeof(copy)))
		return -1;
	xdr_free((xdrproc_t)xdr_config_t, (char *)config);
	*config = copy;
	return 0;
}

int config_merge(config_t *config, const keeper_fetch_body_t *body)
{
	u_int i;

	if (body->whole)
		return config_merge_full(config,
					 &body->keeper_fetch_body_t_u.config);
	for (i = 0; i < body->keeper_fetch_body_t_u.deltas.deltas_len; i++) {
		const config_delta_t *delta =
			&body->keeper_fetch_body_t_u.deltas.deltas_val[i];

		if (delta->revision <= config->revision)
			continue;
		if (delta->revision != config->revision + 1 ||
		    config_apply_delta(config, delta))
			return -1;
	}
	return 0;
}
