#include <jansson.h>
#include <string.h>
#include "entry-control.h"

/*
 * Look-ups of entries that an entry answers itself, so that callers find one
 * while keepers are down or slow: its peers of the same zone as a keeper last
 * reported them, and this entry.
 */

/* Seconds for which callers may cache a look-up. */
#define DIRECTORY_KEEP_S 2

/* Whether this entry takes calls, if only to hold them until it has routes. */
static bool directory_takes_calls(entry_t *entry, usec_t now)
{
	if (__atomic_load_n(&entry->stopping, __ATOMIC_ACQUIRE))
		return false;
	return entry_target_has_routes(entry) ||
	       entry_pending_accepts(entry->pending, now);
}

/* Adds the peers other than this entry, which may have stopped since. */
static void directory_add_peers(const entry_t *entry, json_t *addresses,
				usec_t now)
{
	presence_peers_list_t peers;
	unsigned i;

	presence_client_peers(entry->presence, now, &peers);
	for (i = 0; i < peers.count; i++)
		if (strcmp(peers.addresses[i], entry->call_address))
			json_array_append_new(addresses,
					      json_string(peers.addresses[i]));
}

void entry_directory_handle(const entry_control_request_t *in,
			    entry_reply_t *reply)
{
	entry_t *entry = in->entry;
	json_t *addresses;
	json_t *root;

	if (!entry->presence) {
		entry_reply_error(reply, 404,
				  "only an entry with entry.routed answers "
				  "this; use /v1/lookup");
		return;
	}
	addresses = json_array();
	directory_add_peers(entry, addresses, in->now);
	if (directory_takes_calls(entry, in->now) &&
	    (!json_array_size(addresses) ||
	     !entry_target_is_impaired(entry, in->now)))
		json_array_append_new(addresses,
				      json_string(entry->call_address));
	if (!json_array_size(addresses)) {
		json_decref(addresses);
		entry_reply_error(reply, 503,
				  "this entry has no live peer; retry at "
				  "another one or a keeper");
		return;
	}
	root = json_pack("{s:o, s:i}", "addresses", addresses, "keep_s",
			 DIRECTORY_KEEP_S);
	reply->body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}
