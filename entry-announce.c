#include <jansson.h>
#include <sys/socket.h>
#include <stdio.h>
#include <string.h>
#include "entry-io.h"

#define ANNOUNCE_MEMBERS_MAX 256
#define ANNOUNCE_SLOTS_MAX 1024
#define ANNOUNCE_CONNECTIONS_MAX 65535

/* An announcement as its JSON said it. */
typedef struct {
	const char *service;
	const char *copy;
	const char *zone;
	const char *address;
	const char *state;
	json_int_t slots;
	json_int_t connections;
	json_int_t sequence;
} announce_t;

static const char *announce_check(const announce_t *in)
{
	struct sockaddr_storage storage;
	unsigned length;

	if (!hl_name_valid(in->service))
		return "service";
	if (!hl_name_valid(in->copy))
		return "copy";
	if (!hl_name_valid(in->zone))
		return "zone";
	if (strlen(in->address) >= HL_ADDRESS_MAX ||
	    hl_address_parse(in->address, &storage, &length))
		return "address";
	if (in->slots < 1 || in->slots > ANNOUNCE_SLOTS_MAX)
		return "slots";
	if (in->connections < 1 || in->connections > ANNOUNCE_CONNECTIONS_MAX)
		return "connections";
	if (in->sequence < 1)
		return "sequence";
	if (strcmp(in->state, "cold") && strcmp(in->state, "ready") &&
	    strcmp(in->state, "draining"))
		return "state";
	return NULL;
}

/* Take over what the announcement says about a copy. Lock held. */
static int announce_store(entry_route_t *route, const announce_t *in,
			  usec_t now)
{
	entry_service_t *svc = &route->service;
	entry_copy_t *copy = entry_service_copy(svc, in->copy);

	if (!copy)
		copy = entry_service_copy_add(svc, in->copy, now);
	if (!copy)
		return -1;
	strcpy(copy->address, in->address);
	strcpy(copy->zone, in->zone);
	copy->slots = (unsigned)in->slots;
	copy->connections = (unsigned)in->connections;
	copy->announced = now;
	copy->draining = !strcmp(in->state, "draining");
	copy->limit = copy->slots + route->profile->pipeline_max;
	if (!copy->io)
		copy->io = entry_place_new(copy->address, copy->limit);
	return copy->io ? 0 : -1;
}

static int announce_take(const entry_control_t *in, const announce_t *announced)
{
	entry_route_t *route = entry_route_make(in->entry, announced->service);
	int rc;

	if (!route)
		return -1;
	pthread_mutex_lock(&route->lock);
	rc = announce_store(route, announced, in->now);
	pthread_mutex_unlock(&route->lock);
	entry_dispatch_next(route, in->now);
	return rc;
}

static void announce_answer(const entry_control_t *in,
			    const owner_member_t *owner, entry_reply_t *reply)
{
	const entry_settings_t *settings = &in->entry->settings;
	json_t *root;

	root = json_pack("{s:s, s:s, s:i, s:I, s:I, s:b}", "owner", owner->name,
			 "owner_address", owner->control_address, "epoch", 1,
			 "interval_ms", (json_int_t)settings->interval_ms,
			 "lease_ms", (json_int_t)settings->lease_ms, "empty",
			 0);
	reply->body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}

static void announce_route(const entry_control_t *in,
			   const announce_t *announced, entry_reply_t *reply)
{
	owner_member_t members[ANNOUNCE_MEMBERS_MAX];
	unsigned owners[OWNER_MAX];
	const owner_member_t *owner;
	unsigned count;

	count = entry_lookup_members(in->entry, members, ANNOUNCE_MEMBERS_MAX);
	count = owner_of_service(members, count, announced->service, 0, owners);
	owner = &members[owner_of_copy(members, owners, count,
				       announced->service, announced->copy)];
	if (!entry_route_make(in->entry, announced->service) ||
	    (!strcmp(owner->name, in->entry->settings.name) &&
	     announce_take(in, announced))) {
		entry_reply_error(reply, 503, "no memory; add some");
		return;
	}
	announce_answer(in, owner, reply);
}

void entry_announce_handle(const entry_control_t *in, entry_reply_t *reply)
{
	announce_t announced = { 0 };
	json_error_t error;
	const char *bad;
	json_t *root;

	root = json_loadb(in->body, in->size, JSON_REJECT_DUPLICATES, &error);
	if (!root || json_unpack_ex(root, &error, 0,
				    "{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I}",
				    "service", &announced.service, "copy",
				    &announced.copy, "zone", &announced.zone,
				    "address", &announced.address, "state",
				    &announced.state, "slots", &announced.slots,
				    "connections", &announced.connections,
				    "sequence", &announced.sequence)) {
		entry_reply_error(reply, 400,
				  "%s; send the fields that INTERFACES lists",
				  error.text);
		json_decref(root);
		return;
	}
	bad = announce_check(&announced);
	if (bad)
		entry_reply_error(reply, 400,
				  "%s is out of range; see INTERFACES for what "
				  "it takes",
				  bad);
	else
		announce_route(in, &announced, reply);
	json_decref(root);
}
