#include <string.h>
#include "cmd.h"
#include "config-object.h"
#include "config-show.h"

/* Drop all but the objects of one name. */
static void cmd_get_only(config_t *config, const char *name)
{
	static const config_item_kind_t kinds[] = { CONFIG_PUT_PROFILE,
						    CONFIG_PUT_SERVICE,
						    CONFIG_PUT_STOP };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		const config_object_type_t *object = config_object_type(
			kinds[i]);
		u_int k = config_object_count(object, config);

		while (k-- > 0) {
			void *value = config_object_at(object, config, k);

			if (strcmp(config_object_name(object, value), name))
				config_object_remove(object, config, value);
		}
	}
}

static bool cmd_get_empty(const config_t *config)
{
	return !config->profiles.profiles_len &&
	       !config->services.services_len && !config->stops.stops_len;
}

cmd_exit_t cmd_get(cmd_t *cmd, char **arguments)
{
	cmd_exit_t code = CMD_OK;
	config_t config;
	hl_error_t err;

	if (cmd_config(cmd, &config, &err))
		return cmd_fail(cmd, &err);
	if (*arguments)
		cmd_get_only(&config, *arguments);
	if (*arguments && cmd_get_empty(&config)) {
		hl_error_set(&err, HL_ERR_NOT_FOUND,
			     "there is no profile or service %s; see "
			     "hemlockctl get for those that are",
			     *arguments);
		code = cmd_fail(cmd, &err);
	} else if (cmd->json) {
		cmd_print_json(config_show_json(&config));
	} else {
		config_show_toml(&config, stdout);
	}
	xdr_free((xdrproc_t)xdr_config_t, (char *)&config);
	return code;
}
