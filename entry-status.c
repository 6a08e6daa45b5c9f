#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include "entry-control.h"

/* Responds to GET requests for /v1/status, /v1/health and /metrics. */

/* Whether the configuration has a planned stop of the copy, which an operator
   announced: the copy gets no new calls. The caller holds upstream->lock. */
static bool status_stop_planned(const entry_upstream_t *upstream,
				const char *copy)
{
	unsigned i;

	for (i = 0; i < upstream->stop_count; i++)
		if (!strcmp(upstream->stops[i], copy))
			return true;
	return false;
}

static json_t *status_copy(const entry_upstream_t *upstream,
			   const entry_copy_t *copy)
{
	bool draining = copy->draining ||
			status_stop_planned(upstream, copy->name);

	return json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:b}", "copy",
			 copy->name, "address", copy->address, "zone",
			 copy->zone, "slots", (int)copy->slots, "limit",
			 (int)copy->limit, "outstanding",
			 (int)copy->outstanding, "draining", draining);
}

static json_t *status_upstream(entry_upstream_t *upstream)
{
	json_t *copies = json_array();
	const entry_copy_t *copy;
	unsigned waiting;

	pthread_mutex_lock(&upstream->lock);
	cds_list_for_each_entry (copy, &upstream->service.copies, link)
		json_array_append_new(copies, status_copy(upstream, copy));
	waiting = entry_service_waiting(&upstream->service);
	pthread_mutex_unlock(&upstream->lock);
	return json_pack("{s:s, s:i, s:o}", "service", upstream->name,
			 "waiting", (int)waiting, "copies", copies);
}

static json_t *status_members(entry_t *entry)
{
	owner_member_t members[MEMBER_MAX];
	json_t *list = json_array();
	unsigned count = 0;
	unsigned i;

	if (entry->member)
		count = entry_lookup_members(entry, members, MEMBER_MAX);
	for (i = 0; i < count; i++)
		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s}", "name",
						members[i].name, "zone",
						members[i].zone, "control",
						members[i].control_address));
	return list;
}

void entry_status_handle(const entry_control_request_t *in,
			 entry_reply_t *reply)
{
	entry_t *entry = in->entry;
	json_t *services = json_array();
	entry_upstream_t *upstream;
	json_t *root;

	pthread_mutex_lock(&entry->upstreams_lock);
	cds_list_for_each_entry (upstream, &entry->upstreams, link)
		json_array_append_new(services, status_upstream(upstream));
	pthread_mutex_unlock(&entry->upstreams_lock);
	root = json_pack("{s:s, s:s, s:s, s:i, s:I, s:o, s:o}", "entry",
			 entry->settings.name, "zone", entry->settings.zone,
			 "build", HEMLOCK_VERSION, "in_flight",
			 (int)__atomic_load_n(&entry->in_flight,
					      __ATOMIC_ACQUIRE),
			 "revision", (json_int_t)entry_config_revision(entry),
			 "members", status_members(entry), "services",
			 services);
	reply->body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}

void entry_status_health(const entry_control_request_t *in,
			 entry_reply_t *reply)
{
	bool stopping = __atomic_load_n(&in->entry->stopping, __ATOMIC_ACQUIRE);
	bool ready = entry_config_ready(in->entry) &&
		     (!in->entry->settings.routed ||
		      entry_target_has_routes(in->entry));

	reply->status = stopping || !ready ? 503 : 200;
	reply->type = "text/plain";
	if (stopping)
		reply->body = strdup("stopping\n");
	else
		reply->body = strdup(ready ? "ready\n" : "starting\n");
}

void entry_status_metrics(const entry_control_request_t *in,
			  entry_reply_t *reply)
{
	const entry_t *entry = in->entry;
	size_t size = 0;
	FILE *out = open_memstream(&reply->body, &size);

	if (!out) {
		entry_reply_error(reply, 503,
				  "out of memory; give the VM more memory");
		return;
	}
	entry_config_age_update(&entry->config_age,
				entry_config_confirmed_at(entry),
				entry->started, time_now());
	metrics_write(entry->metrics, out);
	fclose(out);
	reply->type = "text/plain; version=0.0.4";
}
