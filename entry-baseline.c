#include <jansson.h>
#include <string.h>
#include "entry-io.h"

/* No count of slots is shared, so the copy's connections are the limit. */
static void baseline_fill(entry_copy_t *copy, const owner_copy_t *said,
			  usec_t until, usec_t now)
{
	if (!copy->io) {
		memcpy(copy->address, said->address, HL_ADDRESS_MAX);
		copy->io = entry_conn_pool_new(said->address,
					       said->connections);
	}
	if (!copy->io)
		return;
	memcpy(copy->zone, said->zone, HL_NAME_MAX);
	copy->slots = said->slots;
	copy->connections = said->connections;
	copy->limit = said->connections;
	copy->draining = said->state == OWNER_COPY_DRAINING;
	copy->last_seen = now;
	copy->lease_until = until;
}

static void baseline_answer(const entry_settings_t *settings,
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
			     const owner_copy_t *said, entry_reply_t *reply)
{
	const entry_settings_t *settings = &in->entry->settings;
	usec_t until = in->now + settings->lease_ms * USEC_PER_MS;
	entry_route_t *route;
	entry_copy_t *copy;

	if (in->entry->policy == ENTRY_POLICY_OWNER)
		return false;
	route = entry_route_find_or_add(in->entry, said->service);
	if (!route) {
		entry_reply_error(reply, 503, "no memory; add some");
		return true;
	}
	pthread_mutex_lock(&route->lock);
	copy = entry_service_copy_find(&route->service, said->name);
	if (!copy)
		copy = entry_service_copy_add(&route->service, said->name,
					      in->now);
	if (copy)
		baseline_fill(copy, said, until, in->now);
	pthread_mutex_unlock(&route->lock);
	entry_dispatch_next(route, in->now);
	baseline_answer(settings, reply);
	return true;
}
