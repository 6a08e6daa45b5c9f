#include <jansson.h>
#include <sys/socket.h>
#include <stdio.h>
#include <string.h>
#include "entry-control.h"

/*
 * POST /v1/announce: checks the announcement of a copy and passes it to the
 * owner module.
 */

#define ANNOUNCE_SLOTS_MAX 1024
#define ANNOUNCE_CONNECTIONS_MAX 65535
#define ANNOUNCE_LOAD_MAX 1000 /* thousandths */

/* The fields of an announcement as parsed from JSON. */
typedef struct {
	const char *service;
	const char *copy;
	const char *zone;
	const char *address;
	const char *state;
	json_int_t slots;
	json_int_t connections;
	json_int_t sequence;
	json_int_t load;
	const char *owner; /* NULL if absent */
	json_int_t epoch;
	const char *witness; /* NULL if absent */
} announce_t;

/* Returns the name of the first invalid field, or NULL. */
static const char *announce_find_invalid(const announce_t *in)
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
	if (in->load < 0 || in->load > ANNOUNCE_LOAD_MAX)
		return "load";
	if (in->owner && !hl_name_valid(in->owner))
		return "owner";
	if (in->epoch < 0)
		return "epoch";
	if (in->witness && strlen(in->witness) >= WITNESS_TEXT_MAX)
		return "witness";
	if (strcmp(in->state, "cold") && strcmp(in->state, "ready") &&
	    strcmp(in->state, "draining"))
		return "state";
	return NULL;
}

static owner_copy_state_t announce_parse_state(const char *word)
{
	if (!strcmp(word, "draining"))
		return OWNER_COPY_DRAINING;
	return strcmp(word, "cold") ? OWNER_COPY_READY : OWNER_COPY_COLD;
}

/* Converts a checked announcement; the strings fit their arrays. */
static void announce_fill(const announce_t *in, owner_announcement_t *out)
{
	owner_copy_t *copy = &out->copy;

	memset(out, 0, sizeof(*out));
	strcpy(copy->service, in->service);
	strcpy(copy->name, in->copy);
	strcpy(copy->zone, in->zone);
	strcpy(copy->address, in->address);
	copy->slots = (unsigned)in->slots;
	copy->connections = (unsigned)in->connections;
	copy->state = announce_parse_state(in->state);
	copy->load = (unsigned)in->load;
	out->sequence = (uint64_t)in->sequence;
	if (in->owner)
		strcpy(out->owner, in->owner);
	out->epoch = (uint64_t)in->epoch;
	if (in->witness)
		strcpy(out->witness, in->witness);
}

static void announce_reply(const owner_announce_response_t *out,
			   entry_reply_t *reply)
{
	json_t *root;

	root = json_pack("{s:s, s:s, s:I, s:I, s:I, s:b}", "owner", out->owner,
			 "owner_address", out->owner_address, "epoch",
			 (json_int_t)out->epoch, "interval_ms",
			 (json_int_t)out->interval_ms, "lease_ms",
			 (json_int_t)out->lease_ms, "empty", out->empty);
	if (out->witness[0])
		json_object_set_new(root, "witness", json_string(out->witness));
	reply->body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}

/* Rejects a copy whose service is not declared; without keepers, any service
   is accepted. */
static bool announce_check_service(entry_t *entry, const char *service,
				   entry_reply_t *reply)
{
	if (!entry_config_ready(entry)) {
		entry_reply_error(reply, 503,
				  "no configuration is confirmed yet; retry "
				  "later or use another entry");
		reply->retry_after_s = 1;
		return false;
	}
	if (entry_config_upstream(entry, service))
		return true;
	entry_reply_error(reply, 404,
			  "service %s is not declared; apply a declaration "
			  "that names it",
			  service);
	return false;
}

static void announce_apply(const entry_control_request_t *in,
			   const announce_t *announced, entry_reply_t *reply)
{
	owner_announcement_t announcement;
	owner_announce_response_t out;
	hl_error_t err = { 0 };

	announce_fill(announced, &announcement);
	if (!announce_check_service(in->entry, announced->service, reply))
		return;
	if (entry_baseline_announce(in, &announcement.copy, reply))
		return;
	if (!owner_announce(in->entry->owner, &announcement, in->now, &out,
			    &err))
		announce_reply(&out, reply);
	else
		entry_reply_error(reply,
				  err.kind == HL_ERR_CONFLICT ? 409 : 503, "%s",
				  err.message);
}

void entry_announce_handle(const entry_control_request_t *in,
			   entry_reply_t *reply)
{
	announce_t announced = { 0 };
	json_error_t error;
	const char *invalid;
	json_t *root;

	root = json_loadb(in->body, in->size, JSON_REJECT_DUPLICATES, &error);
	if (!root ||
	    json_unpack_ex(root, &error, 0,
			   "{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I, "
			   "s?I, s?s, s?I, s?s}",
			   "service", &announced.service, "copy",
			   &announced.copy, "zone", &announced.zone, "address",
			   &announced.address, "state", &announced.state,
			   "slots", &announced.slots, "connections",
			   &announced.connections, "sequence",
			   &announced.sequence, "load", &announced.load,
			   "owner", &announced.owner, "epoch", &announced.epoch,
			   "witness", &announced.witness)) {
		entry_reply_error(reply, 400,
				  "%s; send the fields listed in "
				  "docs/INTERFACES.md",
				  error.text);
		json_decref(root);
		return;
	}
	invalid = announce_find_invalid(&announced);
	if (invalid)
		entry_reply_error(reply, 400,
				  "%s is invalid; see docs/INTERFACES.md for "
				  "its format and range",
				  invalid);
	else
		announce_apply(in, &announced, reply);
	json_decref(root);
}
