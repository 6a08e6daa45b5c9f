#include <string.h>
#include "presence.h"

/* The list of keepers that an entry uses, and which other list replaces it. */

static bool keepers_are_valid(const setting_list_t *list)
{
	struct sockaddr_storage address;
	unsigned length;
	unsigned i;

	if (list->count > PRESENCE_KEEPERS_MAX)
		return false;
	for (i = 0; i < list->count; i++)
		if (hl_address_parse(list->items[i], &address, &length))
			return false;
	return true;
}

static bool keepers_are_same(const setting_list_t *a, const setting_list_t *b)
{
	return a->count == b->count &&
	       presence_keepers_hash(a) == presence_keepers_hash(b);
}

static presence_keepers_result_t keepers_drop(presence_keepers_t *keepers,
					      presence_keepers_result_t result)
{
	keepers->drops++;
	return result;
}

presence_keepers_result_t presence_keepers_offer(
	presence_keepers_t *keepers, const presence_keepers_t *offered)
{
	bool same = keepers_are_same(&keepers->list, &offered->list);

	if (!offered->list.count)
		return PRESENCE_KEEPERS_SAME;
	if (!keepers_are_valid(&offered->list))
		return keepers_drop(keepers, PRESENCE_KEEPERS_MALFORMED);
	if (offered->revision < keepers->revision)
		return same ? PRESENCE_KEEPERS_SAME :
			      keepers_drop(keepers, PRESENCE_KEEPERS_OLDER);
	keepers->revision = offered->revision;
	if (same)
		return PRESENCE_KEEPERS_SAME;
	keepers->list = offered->list;
	return PRESENCE_KEEPERS_TAKEN;
}

void presence_keepers_log_dropped(const presence_keepers_t *keepers,
				  const presence_keepers_t *offered,
				  presence_keepers_result_t result,
				  const char *reporter)
{
	if (keepers->drops & (keepers->drops - 1))
		return;
	log_event(LOG_LEVEL_NOTICE, "keepers-dropped",
		  "reason=%s count=%u revision=%" PRIu64 " own=%" PRIu64
		  " reporter=%s drops=%u",
		  result == PRESENCE_KEEPERS_OLDER ? "older" : "malformed",
		  offered->list.count, offered->revision, keepers->revision,
		  reporter, keepers->drops);
}
