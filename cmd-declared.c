#include <string.h>
#include "cmd-declared.h"
#include "config-object.h"

int cmd_declared_load(cmd_t *cmd, char **files, cmd_declared_t *declared,
		      hl_error_t *err)
{
	memset(declared, 0, sizeof(*declared));
	config_read_init(&declared->files);
	for (; *files; files++)
		if (config_read_file(*files, &declared->files, err))
			return -1;
	if (cmd_config(cmd, &declared->current, err))
		return -1;
	if (config_read_check_references(&declared->files, &declared->current,
					 err))
		return -1;
	return config_plan(&declared->current, &declared->files.config,
			   &declared->change, err);
}

int cmd_declared_retire(cmd_declared_t *declared, hl_error_t *err)
{
	static const config_item_kind_t kinds[] = { CONFIG_RETIRE_SERVICE,
						    CONFIG_RETIRE_PROFILE };
	const config_t *current = &declared->current;
	size_t i;
	u_int k;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		const config_object_type_t *object = config_object_type(
			kinds[i]);

		for (k = 0; k < config_object_count(object, current); k++) {
			void *value = config_object_at(object, current, k);

			if (!config_object_find(object, &declared->files.config,
						value) &&
			    config_plan_add_item(current, kinds[i], value,
						 &declared->change, err))
				return -1;
		}
	}
	return 0;
}

void cmd_declared_free(cmd_declared_t *declared)
{
	xdr_free((xdrproc_t)xdr_config_t, (char *)&declared->current);
	xdr_free((xdrproc_t)xdr_config_change_t, (char *)&declared->change);
	config_read_fini(&declared->files);
}
