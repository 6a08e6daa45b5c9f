#include <string.h>
#include "config.h"

/* The kinds of routes and their names in routing documents. */

static const char *const route_kind_names[] = {
	[CONFIG_ROUTE_ONCE] = "once",
	[CONFIG_ROUTE_IDEMPOTENT] = "idempotent",
	[CONFIG_ROUTE_UPLOAD] = "upload",
};

#define ROUTE_KINDS (sizeof(route_kind_names) / sizeof(route_kind_names[0]))

const char *config_route_kind_name(config_route_kind_t kind)
{
	return (size_t)kind < ROUTE_KINDS ? route_kind_names[kind] : "unknown";
}

bool config_route_kind_parse(const char *word, config_route_kind_t *kind)
{
	size_t i;

	for (i = 0; i < ROUTE_KINDS; i++) {
		if (strcmp(route_kind_names[i], word))
			continue;
		*kind = (config_route_kind_t)i;
		return true;
	}
	return false;
}

const char *config_route_kinds(void)
{
	return "\"idempotent\", \"once\" or \"upload\"";
}
