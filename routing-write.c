#include <stdlib.h>
#include <string.h>
#include "config-object.h"
#include "config-plan.h"
#include "routing.h"

/* Writes routing documents as JSON, and turns them into changes. */

/* Microseconds as milliseconds: an integer if exact, else a real. */
static json_t *write_time(uint64_t us)
{
	if (us % USEC_PER_MS == 0)
		return json_integer((json_int_t)(us / USEC_PER_MS));
	return json_real((double)us / USEC_PER_MS);
}

static json_t *write_split(const config_route_t *route)
{
	json_t *split = json_array();
	u_int i;

	for (i = 0; i < route->parts.parts_len; i++) {
		const config_part_t *part = &route->parts.parts_val[i];

		json_array_append_new(split,
				      json_pack("{s:s, s:I}", "service",
						part->service, "weight",
						(json_int_t)part->weight));
	}
	return split;
}

static json_t *write_route(const config_route_t *route)
{
	json_t *object;

	object = json_pack("{s:s, s:s, s:s, s:o, s:o, s:I, s:I}", "host",
			   route->host, "prefix", route->prefix, "kind",
			   config_route_kind_name(route->kind), "timeout_ms",
			   write_time(route->timeout_us), "objective_ms",
			   write_time(route->objective_us), "priority",
			   (json_int_t)route->priority, "attempts_max",
			   (json_int_t)route->attempts_max);
	if (route->split)
		json_object_set_new(object, "split", write_split(route));
	else
		json_object_set_new(object, "service",
				    json_string(
					    route->parts.parts_val[0].service));
	return object;
}

static json_t *write_pool(const config_pool_t *pool)
{
	return json_pack("{s:s, s:I, s:s, s:b}", "health_path",
			 pool->health_path, "connections",
			 (json_int_t)pool->connections, "protocol", "h1", "tls",
			 0);
}

static json_t *write_limits(const config_limits_t *limits)
{
	return json_pack("{s:I, s:I, s:o, s:o}", "head_bytes",
			 (json_int_t)limits->head_bytes, "body_bytes",
			 (json_int_t)limits->body_bytes, "head_ms",
			 write_time(limits->head_us), "idle_ms",
			 write_time(limits->idle_us));
}

char *routing_write(const config_t *config)
{
	const config_routing_version_t *routing_version =
		config_routing_version(config);
	json_t *routes = json_object();
	json_t *pools = json_object();
	json_t *root;
	char *text;
	u_int i;

	for (i = 0; i < config->routes.routes_len; i++)
		json_object_set_new(routes, config->routes.routes_val[i].name,
				    write_route(&config->routes.routes_val[i]));
	for (i = 0; i < config->pools.pools_len; i++)
		json_object_set_new(pools, config->pools.pools_val[i].name,
				    write_pool(&config->pools.pools_val[i]));
	root = json_pack("{s:I, s:o, s:o}", "version",
			 (json_int_t)(routing_version ?
					      routing_version->number :
					      0),
			 "routes", routes, "services", pools);
	if (config->limits.limits_len)
		json_object_set_new(root, "limits",
				    write_limits(config->limits.limits_val));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Adds items for the objects that differ from the current ones. */
static int change_put(const config_t *current,
		      const routing_document_t *document,
		      config_item_kind_t kind, config_change_t *change,
		      hl_error_t *err)
{
	const config_object_type_t *type = config_object_type(kind);
	u_int i;

	for (i = 0; i < config_object_count(type, &document->items); i++) {
		const void *value = config_object_at(type, &document->items, i);
		const void *existing = config_object_find(type, current, value);

		if (existing && config_plan_equal(type, existing, value))
			continue;
		if (config_plan_add_item(current, kind, value, change, err))
			return -1;
	}
	return 0;
}

/* Retires the objects that a complete document does not list. */
static int change_retire_unlisted(const config_t *current,
				  const routing_document_t *document,
				  config_item_kind_t put,
				  config_change_t *change, hl_error_t *err)
{
	const config_object_type_t *type = config_object_type(put);
	u_int i;

	for (i = 0; i < config_object_count(type, current); i++) {
		const void *value = config_object_at(type, current, i);

		if (!config_object_find(type, &document->items, value) &&
		    config_plan_add_item(current, type->retire, value, change,
					 err))
			return -1;
	}
	return 0;
}

static int change_retire_routes(const config_t *current,
				const routing_names_t *names,
				config_change_t *change, hl_error_t *err)
{
	const config_object_type_t *type = config_object_type(CONFIG_PUT_ROUTE);
	unsigned i;

	for (i = 0; i < names->count; i++) {
		const config_route_t key = { .name = names->list[i] };
		const void *existing = config_object_find(type, current, &key);

		if (existing &&
		    config_plan_add_item(current, CONFIG_RETIRE_ROUTE, existing,
					 change, err))
			return -1;
	}
	return 0;
}

static int change_retire_pools(const config_t *current,
			       const routing_names_t *names,
			       config_change_t *change, hl_error_t *err)
{
	unsigned i;

	for (i = 0; i < names->count; i++) {
		const config_pool_t *existing =
			config_find_pool(current, names->list[i]);

		if (existing &&
		    config_plan_add_item(current, CONFIG_RETIRE_POOL, existing,
					 change, err))
			return -1;
	}
	return 0;
}

int routing_change(const config_t *current, const routing_document_t *document,
		   config_change_t *change, hl_error_t *err)
{
	config_routing_version_t routing_version = {
		.name = "routing",
		.number = document->version
	};

	if (change_put(current, document, CONFIG_PUT_POOL, change, err) ||
	    change_put(current, document, CONFIG_PUT_LIMITS, change, err) ||
	    change_put(current, document, CONFIG_PUT_ROUTE, change, err))
		return -1;
	if (document->scope == ROUTING_FULL &&
	    (change_retire_unlisted(current, document, CONFIG_PUT_ROUTE, change,
				    err) ||
	     change_retire_unlisted(current, document, CONFIG_PUT_POOL, change,
				    err)))
		return -1;
	if (change_retire_routes(current, &document->retired_routes, change,
				 err) ||
	    change_retire_pools(current, &document->retired_pools, change, err))
		return -1;
	return config_plan_add_item(current, CONFIG_PUT_ROUTING_VERSION,
				    &routing_version, change, err);
}
