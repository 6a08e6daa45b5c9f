#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include "entry-io.h"

#define LOOKUP_MEMBERS_MAX 256

unsigned entry_lookup_members(entry_t *entry, owner_member_t *out, unsigned max)
{
	return member_live(entry->member, out, max);
}

static json_t *lookup_address(const owner_member_t *member)
{
	return json_pack("{s:s, s:s, s:i}", "address", member->call_address,
			 "zone", member->zone, "weight", 1);
}

void entry_lookup_handle(const entry_control_t *in, entry_reply_t *reply)
{
	owner_member_t members[LOOKUP_MEMBERS_MAX];
	unsigned owners[OWNER_MAX];
	const char *service;
	json_t *list;
	json_t *root;
	unsigned count;
	unsigned i;

	service = MHD_lookup_connection_value(in->connection,
					      MHD_GET_ARGUMENT_KIND, "service");
	if (!service || !hl_name_valid(service)) {
		entry_reply_error(reply, 400,
				  "service is missing or no name; add "
				  "?service=NAME of a-z, 0-9, '-', '.'");
		return;
	}
	if (!entry_route_find(in->entry, service)) {
		entry_reply_error(reply, 404,
				  "unknown service %s; apply a declaration "
				  "that names it",
				  service);
		return;
	}
	count = entry_lookup_members(in->entry, members, LOOKUP_MEMBERS_MAX);
	count = owner_of_service(members, count, service, 0, owners);
	list = json_array();
	for (i = 0; i < count; i++)
		json_array_append_new(list,
				      lookup_address(&members[owners[i]]));
	root = json_pack("{s:s, s:I, s:o}", "service", service, "keep_ms",
			 (json_int_t)in->entry->settings.keep_ms, "addresses",
			 list);
	reply->body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}
