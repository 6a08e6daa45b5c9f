#include <stdio.h>
#include <stdlib.h>
#include "cmd.h"
#include "routing.h"

/* The command routing: prints the routing in force. */

/* Size of the buffer for the printed parts of a split, bytes. */
#define CMD_PARTS_TEXT_MAX 256

/* Format the services of a route: "service", or "service:weight,..." if the
   route splits its calls. */
static void cmd_routing_format_parts(const config_route_t *route, char *out,
				     size_t size)
{
	size_t offset = 0;
	u_int i;

	*out = '\0';
	for (i = 0; i < route->parts.parts_len && offset < size; i++) {
		const config_part_t *part = &route->parts.parts_val[i];
		const char *comma = i ? "," : "";
		int length;

		if (route->split)
			length = snprintf(out + offset, size - offset,
					  "%s%s:%u", comma, part->service,
					  part->weight);
		else
			length = snprintf(out + offset, size - offset, "%s%s",
					  comma, part->service);
		offset += (size_t)length;
	}
}

static void cmd_routing_print_route(const config_route_t *route)
{
	char parts[CMD_PARTS_TEXT_MAX];

	cmd_routing_format_parts(route, parts, sizeof(parts));
	printf("%-16s %-10s %8" PRIu64 " %9" PRIu64 " %8u %8u  %s%s  %s\n",
	       route->name, config_route_kind_name(route->kind),
	       (uint64_t)route->timeout_us / USEC_PER_MS,
	       (uint64_t)route->objective_us / USEC_PER_MS, route->attempts_max,
	       route->priority, route->host, route->prefix, parts);
}

static void cmd_routing_print(const config_t *config,
			      const config_routing_version_t *routing_version)
{
	u_int i;

	printf("version %" PRIu64 ", revision %" PRIu64 "\n",
	       (uint64_t)routing_version->number,
	       (uint64_t)routing_version->revision);
	printf("%-16s %-10s %8s %9s %8s %8s  %s\n", "route", "kind", "timeout",
	       "objective", "attempts", "priority", "from and to");
	for (i = 0; i < config->routes.routes_len; i++)
		cmd_routing_print_route(&config->routes.routes_val[i]);
	for (i = 0; i < config->pools.pools_len; i++)
		printf("service %s: health at %s, %u connections a copy\n",
		       config->pools.pools_val[i].name,
		       config->pools.pools_val[i].health_path,
		       config->pools.pools_val[i].connections);
}

static cmd_exit_t cmd_routing_print_json(const cmd_t *cmd,
					 const config_t *config)
{
	char *text = routing_write(config);
	hl_error_t err;

	if (!text) {
		hl_error_set(&err, HL_ERR_NOMEM,
			     "out of memory; free some and try again");
		return cmd_fail(cmd, &err);
	}
	puts(text);
	free(text);
	return CMD_OK;
}

cmd_exit_t cmd_routing(cmd_t *cmd, char **arguments)
{
	const config_routing_version_t *routing_version;
	cmd_exit_t code = CMD_OK;
	config_t config;
	hl_error_t err;

	(void)arguments;
	if (cmd_fetch_config(cmd, &config, &err))
		return cmd_fail(cmd, &err);
	routing_version = config_routing_version(&config);
	if (!routing_version) {
		hl_error_set(&err, HL_ERR_NOT_FOUND,
			     "no routing is in force; send one to a keeper's "
			     "control port (see INTERFACES)");
		code = cmd_fail(cmd, &err);
	} else if (cmd->json) {
		code = cmd_routing_print_json(cmd, &config);
	} else {
		cmd_routing_print(&config, routing_version);
	}
	xdr_free((xdrproc_t)xdr_config_t, (char *)&config);
	return code;
}
