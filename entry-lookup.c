#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include "entry-control.h"

/* GET /v1/lookup: the call addresses of a service's owners, as JSON. */

unsigned entry_lookup_members(entry_t *entry, owner_member_t *out, unsigned max)
{
	return member_live(entry->member, out, max);
}

static json_t *lookup_address_json(const owner_endpoint_t *endpoint)
{
	return json_pack("{s:s, s:s, s:i}", "address", endpoint->address,
			 "zone", endpoint->zone, "weight",
			 (int)endpoint->weight);
}

void entry_lookup_handle(const entry_control_request_t *in,
			 entry_reply_t *reply)
{
	owner_endpoint_t endpoints[OWNER_MAX];
	const char *service;
	const char *zone;
	json_t *list;
	json_t *root;
	unsigned count;
	unsigned i;

	service = MHD_lookup_connection_value(in->connection,
					      MHD_GET_ARGUMENT_KIND, "service");
	if (!service || !hl_name_valid(service)) {
		entry_reply_error(reply, 400,
				  "service is missing or not a valid name; add "
				  "?service=NAME of a-z, 0-9, '-', '.'");
		return;
	}
	if (!entry_config_ready(in->entry)) {
		entry_reply_error(reply, 503,
				  "no configuration is confirmed yet; retry "
				  "later or use another entry");
		reply->retry_after_s = 1;
		return;
	}
	if (!entry_config_upstream(in->entry, service)) {
		entry_reply_error(reply, 404,
				  "unknown service %s; apply a declaration "
				  "that names it",
				  service);
		return;
	}
	zone = MHD_lookup_connection_value(in->connection,
					   MHD_GET_ARGUMENT_KIND, "zone");
	count = owner_lookup(in->entry->owner, service, zone ? zone : "",
			     endpoints, OWNER_MAX);
	list = json_array();
	for (i = 0; i < count; i++)
		json_array_append_new(list, lookup_address_json(&endpoints[i]));
	root = json_pack("{s:s, s:I, s:o}", "service", service, "keep_ms",
			 (json_int_t)in->entry->settings.keep_ms, "addresses",
			 list);
	reply->body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}
