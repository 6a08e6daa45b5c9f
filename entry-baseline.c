#include <jansson.h>
#include <string.h>
#include "entry-control.h"

/*
 * Announcements under the policies that serve as baselines for comparison.
 * Every entry sends to every copy, without ownership or shared credits.
 */

/* Updates a copy from its announcement. Without ownership no entry knows the
   number of free slots, so the limit of the copy is its number of
   connections. */
static void baseline_update_copy(entry_copy_t *copy,
				 const owner_copy_t *announced, usec_t until,
				 usec_t now)
{
	if (!copy->io) {
		memcpy(copy->address, announced->address, HL_ADDRESS_MAX);
		copy->io = entry_conn_pool_new(announced->address,
					       announced->connections);
	}
	if (!copy->io)
		return;
	memcpy(copy->zone, announced->zone, HL_NAME_MAX);
	copy->slots = announced->slots;
	copy->connections = announced->connections;
	copy->limit = announced->connections;
	copy->draining = copy->leaving ||
			 announced->state == OWNER_COPY_DRAINING;
	copy->last_seen = now;
	copy->lease_until = until;
}

static void baseline_reply(const entry_settings_t *settings,
			   entry_reply_t *reply)
{
	json_t *root;

	root = json_pack("{s:s, s:I, s:I, s:I, s:b}", "owner", settings->name,
			 "epoch", (json_int_t)1, "interval_ms",
			 (json_int_t)settings->interval_ms, "lease_ms",
			 (json_int_t)settings->lease_ms, "empty", 0);
	reply->body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}

bool entry_baseline_announce(const entry_control_request_t *in,
			     const owner_copy_t *announced,
			     entry_reply_t *reply)
{
	const entry_settings_t *settings = &in->entry->settings;
	usec_t until = in->now + settings->lease_ms * USEC_PER_MS;
	entry_upstream_t *upstream;
	entry_copy_t *copy;

	if (in->entry->policy == ENTRY_POLICY_OWNER)
		return false;
	upstream = entry_upstream_find_or_add(in->entry, announced->service);
	if (!upstream) {
		entry_reply_error(reply, HTTP_UNAVAILABLE,
				  "out of memory; give the VM more memory");
		return true;
	}
	pthread_mutex_lock(&upstream->lock);
	copy = entry_service_copy_find(&upstream->service, announced->name);
	if (!copy)
		copy = entry_service_copy_add(&upstream->service,
					      announced->name, in->now);
	if (copy)
		baseline_update_copy(copy, announced, until, in->now);
	pthread_mutex_unlock(&upstream->lock);
	entry_dispatch_next(upstream, in->now);
	baseline_reply(settings, reply);
	return true;
}
