#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include "config-object.h"
#include "entry-rules.h"

/* Steps of this size spread evenly over a circle (the golden section). */
#define RULES_STEP 0.61803398874989485
#define RULES_SEED_RANGE 4294967296.0

/* A route with the place in its sequence. */
typedef struct {
	const config_route_t *route;
	size_t prefix_length;
	uint64_t weights;
	double at; /* 0 to 1 */
} rules_route_t;

/* The routes of one host, the longest prefix first. */
typedef struct {
	unsigned count;
	rules_route_t *routes;
} rules_host_t;

struct entry_rules {
	config_t config;   /* routes alone */
	GHashTable *hosts; /* lower-case name to rules_host_t */
};

static void rules_host_free(gpointer value)
{
	rules_host_t *host = value;

	free(host->routes);
	free(host);
}

static int rules_longer(const void *a, const void *b)
{
	const rules_route_t *x = a;
	const rules_route_t *y = b;

	return (x->prefix_length < y->prefix_length) -
	       (x->prefix_length > y->prefix_length);
}

static uint64_t rules_weights(const config_route_t *route)
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
	rules_route_t *grown;
	uint64_t draw;

	if (!host)
		return -1;
	grown = realloc(host->routes, (host->count + 1) * sizeof(*grown));
	if (!grown)
		return -1;
	host->routes = grown;
	draw = hl_hash(route->name, strlen(route->name), seed);
	grown[host->count] = (rules_route_t){
		.route = route,
		.prefix_length = strlen(route->prefix),
		.weights = rules_weights(route),
		.at = (double)(uint32_t)draw / RULES_SEED_RANGE,
	};
	host->count++;
	return 0;
}

static void rules_sort(gpointer key, gpointer value, gpointer context)
{
	rules_host_t *host = value;

	(void)key;
	(void)context;
	qsort(host->routes, host->count, sizeof(*host->routes), rules_longer);
}

entry_rules_t *entry_rules_new(const config_t *config, uint64_t seed)
{
	entry_rules_t *rules = calloc(1, sizeof(*rules));
	config_t routes = { 0 };
	u_int i;

	if (!rules)
		return NULL;
	routes.routes = config->routes;
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

/* The next part in the sequence of a split. */
static const char *rules_part(rules_route_t *at)
{
	const config_route_t *route = at->route;
	double place;
	u_int i;

	if (!at->weights)
		return route->parts.parts_val[0].service;
	at->at += RULES_STEP;
	at->at -= (double)(at->at >= 1);
	place = at->at * (double)at->weights;
	for (i = 0; i + 1 < route->parts.parts_len; i++) {
		place -= route->parts.parts_val[i].weight;
		if (place < 0)
			break;
	}
	return route->parts.parts_val[i].service;
}

static rules_route_t *rules_find(const rules_host_t *host, const char *target)
{
	size_t length = strcspn(target, "?");
	unsigned i;

	for (i = 0; i < host->count; i++) {
		rules_route_t *at = &host->routes[i];

		if (at->prefix_length <= length &&
		    !memcmp(at->route->prefix, target, at->prefix_length))
			return at;
	}
	return NULL;
}

bool entry_rules_match(entry_rules_t *rules, const char *host,
		       const char *target, entry_rule_t *rule)
{
	char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	const rules_host_t *found = g_hash_table_lookup(rules->hosts, name);
	rules_route_t *at = found ? rules_find(found, target) : NULL;

	g_free(name);
	if (!at)
		return false;
	rule->name = at->route->name;
	rule->service = rules_part(at);
	rule->idempotent = at->route->idempotent;
	rule->timeout = (usec_t)at->route->timeout_us;
	rule->objective = (usec_t)at->route->objective_us;
	rule->attempts_max = at->route->attempts_max;
	rule->priority = at->route->priority;
	return true;
}
