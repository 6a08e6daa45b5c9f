#include <stdlib.h>
#include <string.h>
#include "entry-io.h"

/*
 * The table of routes, one for each service, which are added on demand and live
 * until the process ends.
 */

/* Seed, with the name of the entry, of the random generator of a route. */
#define ROUTE_RANDOM_SEED 0x4e311ULL

static entry_upstream_t *route_find(entry_t *entry, const char *name)
{
	return g_hash_table_lookup(entry->routes_by_name, name);
}

entry_upstream_t *entry_upstream_find(entry_t *entry, const char *name)
{
	entry_upstream_t *route;

	pthread_mutex_lock(&entry->routes_lock);
	route = route_find(entry, name);
	pthread_mutex_unlock(&entry->routes_lock);
	return route;
}

unsigned entry_upstream_count(entry_t *entry)
{
	unsigned count;

	pthread_mutex_lock(&entry->routes_lock);
	count = g_hash_table_size(entry->routes_by_name);
	pthread_mutex_unlock(&entry->routes_lock);
	return count;
}

entry_upstream_t *entry_upstream_next(entry_t *entry, entry_upstream_t *route)
{
	struct cds_list_head *at = route ? &route->link : &entry->routes;
	entry_upstream_t *next = NULL;

	pthread_mutex_lock(&entry->routes_lock);
	if (at->next != &entry->routes)
		next = cds_list_entry(at->next, entry_upstream_t, link);
	pthread_mutex_unlock(&entry->routes_lock);
	return next;
}

static entry_upstream_t *route_new(entry_t *entry, const char *name)
{
	entry_upstream_t *route = calloc(1, sizeof(*route));
	const char *self = entry->settings.name;
	uint64_t seed = hl_hash(self, strlen(self), ROUTE_RANDOM_SEED);

	if (!route)
		return NULL;
	strncpy(route->name, name, sizeof(route->name) - 1);
	route->entry = entry;
	pthread_mutex_init(&route->lock, NULL);
	pthread_mutex_init(&route->measure_lock, NULL);
	CDS_INIT_LIST_HEAD(&route->measures);
	route->profile = calloc(1, sizeof(*route->profile));
	if (!route->profile)
		goto fail;
	config_profile_set_defaults(route->profile);
	if (entry_service_init(&route->service, entry->policy, route->profile,
			       seed))
		goto fail;
	if (entry->settings.routed)
		strcpy(route->service.zone, entry->settings.zone);
	route->service.on_health = entry_trace_health;
	route->service.context = route;
	route->service.slots_only = !entry->settings.pipeline;
	cds_list_add_tail(&route->link, &entry->routes);
	g_hash_table_insert(entry->routes_by_name, route->name, route);
	return route;
fail:
	free(route->profile);
	pthread_mutex_destroy(&route->measure_lock);
	pthread_mutex_destroy(&route->lock);
	free(route);
	return NULL;
}

entry_upstream_t *entry_upstream_find_or_add(entry_t *entry, const char *name)
{
	entry_upstream_t *route;

	pthread_mutex_lock(&entry->routes_lock);
	route = route_find(entry, name);
	if (!route)
		route = route_new(entry, name);
	pthread_mutex_unlock(&entry->routes_lock);
	return route;
}

static void route_free(entry_upstream_t *route)
{
	entry_copy_t *copy;

	cds_list_for_each_entry (copy, &route->service.copies, link)
		if (copy->io)
			entry_conn_pool_unref(copy->io);
	entry_service_fini(&route->service);
	entry_measure_free(route);
	xdr_free((xdrproc_t)xdr_config_profile_t, (char *)route->profile);
	free(route->profile);
	free(route->stops);
	pthread_mutex_destroy(&route->measure_lock);
	pthread_mutex_destroy(&route->lock);
	free(route);
}

void entry_upstream_free_all(entry_t *entry)
{
	entry_upstream_t *route;
	entry_upstream_t *next;

	cds_list_for_each_entry_safe (route, next, &entry->routes, link) {
		cds_list_del(&route->link);
		route_free(route);
	}
}
