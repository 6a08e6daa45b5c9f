#include <stdlib.h>
#include <string.h>
#include "entry-io.h"

/*
 * The table of upstreams, the run-time state of each service. They are added on
 * demand and live until the process ends.
 */

/* Seed, with the name of the entry, of the random generator of an upstream. */
#define UPSTREAM_RANDOM_SEED 0x4e311ULL

static entry_upstream_t *upstream_find(entry_t *entry, const char *name)
{
	return g_hash_table_lookup(entry->upstreams_by_name, name);
}

entry_upstream_t *entry_upstream_find(entry_t *entry, const char *name)
{
	entry_upstream_t *upstream;

	pthread_mutex_lock(&entry->upstreams_lock);
	upstream = upstream_find(entry, name);
	pthread_mutex_unlock(&entry->upstreams_lock);
	return upstream;
}

void entry_upstream_report_rate(entry_upstream_t *upstream, entry_copy_t *copy,
				usec_t now)
{
	presence_client_t *presence = upstream->entry->presence;
	presence_copy_rate_t report = {
		.copy = copy->name,
		.started_ms = copy->started_ms,
		.millirate = copy->rate.millirate,
		.base = copy->rate.revision,
	};

	if (presence &&
	    entry_service_rate_report(&upstream->service, copy, now))
		presence_client_report_rate(presence, &report);
}

void entry_upstream_report_leaving(const entry_upstream_t *upstream,
				   entry_copy_t *copy)
{
	presence_client_t *presence = upstream->entry->presence;
	presence_copy_leaves_t report = { .copy = copy->name,
					  .started_ms = copy->started_ms };

	if (presence && copy->leaving && !copy->drain_declared)
		presence_client_report_leaving(presence, &report);
}

unsigned entry_upstream_count(entry_t *entry)
{
	unsigned count;

	pthread_mutex_lock(&entry->upstreams_lock);
	count = g_hash_table_size(entry->upstreams_by_name);
	pthread_mutex_unlock(&entry->upstreams_lock);
	return count;
}

entry_upstream_t *entry_upstream_next(entry_t *entry,
				      entry_upstream_t *upstream)
{
	struct cds_list_head *at = upstream ? &upstream->link :
					      &entry->upstreams;
	entry_upstream_t *next = NULL;

	pthread_mutex_lock(&entry->upstreams_lock);
	if (at->next != &entry->upstreams)
		next = cds_list_entry(at->next, entry_upstream_t, link);
	pthread_mutex_unlock(&entry->upstreams_lock);
	return next;
}

static entry_upstream_t *upstream_new(entry_t *entry, const char *name)
{
	entry_upstream_t *upstream = calloc(1, sizeof(*upstream));
	const char *self = entry->settings.name;
	uint64_t seed = hl_hash(self, strlen(self), UPSTREAM_RANDOM_SEED);

	if (!upstream)
		return NULL;
	strncpy(upstream->name, name, sizeof(upstream->name) - 1);
	upstream->entry = entry;
	pthread_mutex_init(&upstream->lock, NULL);
	pthread_mutex_init(&upstream->measure_lock, NULL);
	CDS_INIT_LIST_HEAD(&upstream->measures);
	entry_siblings_init(&upstream->siblings);
	upstream->profile = calloc(1, sizeof(*upstream->profile));
	if (!upstream->profile)
		goto fail;
	config_profile_set_defaults(upstream->profile);
	if (entry_service_init(&upstream->service, entry->policy,
			       upstream->profile, seed))
		goto fail;
	if (entry->settings.routed)
		strcpy(upstream->service.zone, entry->settings.zone);
	upstream->service.on_health = entry_trace_health;
	upstream->service.context = upstream;
	upstream->service.slots_only = !entry->settings.pipeline;
	cds_list_add_tail(&upstream->link, &entry->upstreams);
	g_hash_table_insert(entry->upstreams_by_name, upstream->name, upstream);
	return upstream;
fail:
	free(upstream->profile);
	pthread_mutex_destroy(&upstream->measure_lock);
	pthread_mutex_destroy(&upstream->lock);
	free(upstream);
	return NULL;
}

entry_upstream_t *entry_upstream_find_or_add(entry_t *entry, const char *name)
{
	entry_upstream_t *upstream;

	pthread_mutex_lock(&entry->upstreams_lock);
	upstream = upstream_find(entry, name);
	if (!upstream)
		upstream = upstream_new(entry, name);
	pthread_mutex_unlock(&entry->upstreams_lock);
	return upstream;
}

static void upstream_free(entry_upstream_t *upstream)
{
	entry_copy_t *copy;

	cds_list_for_each_entry (copy, &upstream->service.copies, link)
		if (copy->io)
			entry_conn_pool_unref(copy->io);
	entry_siblings_clear(&upstream->siblings);
	entry_service_fini(&upstream->service);
	entry_measure_free(upstream);
	xdr_free((xdrproc_t)xdr_config_profile_t, (char *)upstream->profile);
	free(upstream->profile);
	free(upstream->stops);
	pthread_mutex_destroy(&upstream->measure_lock);
	pthread_mutex_destroy(&upstream->lock);
	free(upstream);
}

void entry_upstream_free_all(entry_t *entry)
{
	entry_upstream_t *upstream;
	entry_upstream_t *next;

	cds_list_for_each_entry_safe (upstream, next, &entry->upstreams, link) {
		cds_list_del(&upstream->link);
		upstream_free(upstream);
	}
}
