#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include "config-object.h"
#include "entry-rules.h"

/*
 * Matches calls to the routes of a configuration and distributes the calls of a
 * route over the services of its traffic split. Owns a copy of the routes.
 */

/* Step of the low-discrepancy sequence that distributes calls over the parts of
   a traffic split: multiples of the golden ratio modulo 1 are evenly spread. */
#define RULES_SPLIT_STEP 0.61803398874989485
#define RULES_SEED_RANGE 4294967296.0

/* A route with the state of its traffic split. */
typedef struct {
	const config_route_t *route;
	size_t prefix_length;
	uint64_t weight_sum;
	double split_position; /* 0 to 1 */
} rules_route_t;

/* The routes of one host, in order of prefix length, the longest first. */
typedef struct {
	unsigned count;
	rules_route_t *routes;
} rules_host_t;

struct entry_rules {
	config_t config;   /* contains the routes only */
	GHashTable *hosts; /* lower-case name to rules_host_t */
};

static void rules_host_free(gpointer value)
{
	rules_host_t *host = value;

	free(host->routes);
	free(host);
}

static int rules_compare_prefix(const void *a, const void *b)
{
	const rules_route_t *x = a;
	const rules_route_t *y = b;

	return (x->prefix_length < y->prefix_length) -
	       (x->prefix_length > y->prefix_length);
}

static uint64_t rules_weight_sum(const config_route_t *route)
{
	uint64_t sum = 0;
	u_int i;

	for (i = 0; i < route->parts.parts_len; i++)
		sum += route->parts.parts_val[i].weight;
	return sum;
}

static rules_host_t *rules_host(entry_rules_t *rules, const char *name)
{
	char *key = g_ascii_strdown(name, -1);
	rules_host_t *host = g_hash_table_lookup(rules->hosts, key);

	if (host) {
		g_free(key);
		return host;
	}
	host = calloc(1, sizeof(*host));
	if (host)
		g_hash_table_insert(rules->hosts, key, host);
	else
		g_free(key);
	return host;
}

static int rules_add(entry_rules_t *rules, const config_route_t *route,
		     uint64_t seed)
{
	rules_host_t *host = rules_host(rules, route->host);
	rules_route_t *routes;
	uint64_t hash;

	if (!host)
		return -1;
	routes = realloc(host->routes, (host->count + 1) * sizeof(*routes));
	if (!routes)
		return -1;
	host->routes = routes;
	hash = hl_hash(route->name, strlen(route->name), seed);
	routes[host->count] = (rules_route_t){
		.route = route,
		.prefix_length = strlen(route->prefix),
		.weight_sum = rules_weight_sum(route),
		.split_position = (double)(uint32_t)hash / RULES_SEED_RANGE,
	};
	host->count++;
	return 0;
}

static void rules_sort(gpointer key, gpointer value, gpointer context)
{
	rules_host_t *host = value;

	(void)key;
	(void)context;
	qsort(host->routes, host->count, sizeof(*host->routes),
	      rules_compare_prefix);
}

entry_rules_t *entry_rules_new(const config_t *config, uint64_t seed)
{
	entry_rules_t *rules = calloc(1, sizeof(*rules));
	config_t routes = { 0 };
	u_int i;

	if (!rules)
		return NULL;
	routes.routes = config->routes;
	routes.limits = config->limits;
	rules->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     rules_host_free);
	if (config_copy((xdrproc_t)xdr_config_t, &routes, &rules->config,
			sizeof(rules->config)))
		goto fail;
	for (i = 0; i < rules->config.routes.routes_len; i++)
		if (rules_add(rules, &rules->config.routes.routes_val[i], seed))
			goto fail;
	g_hash_table_foreach(rules->hosts, rules_sort, NULL);
	return rules;
fail:
	entry_rules_free(rules);
	return NULL;
}

void entry_rules_free(entry_rules_t *rules)
{
	if (!rules)
		return;
	g_hash_table_destroy(rules->hosts);
	xdr_free((xdrproc_t)xdr_config_t, (char *)&rules->config);
	free(rules);
}

/* Choose the next part of a traffic split and return its service. */
static const char *rules_next_part(rules_route_t *split)
{
	const config_route_t *route = split->route;
	double position;
	u_int i;

	if (!split->weight_sum)
		return route->parts.parts_val[0].service;
	split->split_position += RULES_SPLIT_STEP;
	split->split_position -= (double)(split->split_position >= 1);
	position = split->split_position * (double)split->weight_sum;
	for (i = 0; i + 1 < route->parts.parts_len; i++) {
		position -= route->parts.parts_val[i].weight;
		if (position < 0)
			break;
	}
	return route->parts.parts_val[i].service;
}

/* Returns the service of the part of this name that gets calls, or NULL. */
static const char *rules_find_part(const rules_route_t *split, const char *part)
{
	const config_route_t *route = split->route;
	u_int i;

	for (i = 0; part && i < route->parts.parts_len; i++)
		if (route->parts.parts_val[i].weight &&
		    !strcmp(route->parts.parts_val[i].service, part))
			return route->parts.parts_val[i].service;
	return NULL;
}

static rules_route_t *rules_find_route(const rules_host_t *host,
				       const char *target)
{
	size_t length = strcspn(target, "?");
	unsigned i;

	for (i = 0; i < host->count; i++) {
		rules_route_t *matched = &host->routes[i];

		if (matched->prefix_length <= length &&
		    !memcmp(matched->route->prefix, target,
			    matched->prefix_length))
			return matched;
	}
	return NULL;
}

/* Returns the largest body that a caller may send; 0: no limit. */
static uint64_t rules_body_max(const config_t *config)
{
	if (!config->limits.limits_len)
		return 0;
	return config->limits.limits_val[0].body_bytes;
}

bool entry_rules_match(entry_rules_t *rules, const char *host,
		       const char *target, const char *part, entry_rule_t *rule)
{
	char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	const rules_host_t *found = g_hash_table_lookup(rules->hosts, name);
	rules_route_t *matched = found ? rules_find_route(found, target) : NULL;

	g_free(name);
	if (!matched)
		return false;
	rule->name = matched->route->name;
	rule->prefix_length = matched->prefix_length;
	rule->service = rules_find_part(matched, part);
	if (!rule->service)
		rule->service = rules_next_part(matched);
	rule->idempotent = matched->route->kind == CONFIG_ROUTE_IDEMPOTENT;
	rule->upload = matched->route->kind == CONFIG_ROUTE_UPLOAD;
	rule->body_max = rules_body_max(&rules->config);
	rule->timeout = (usec_t)matched->route->timeout_us;
	rule->objective = (usec_t)matched->route->objective_us;
	rule->attempts_max = matched->route->attempts_max;
	rule->priority = matched->route->priority;
	return true;
}
