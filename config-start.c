#include <glib.h>
#include <string.h>
#include "config-start.h"

/* Returns the last response of a keeper, or a free slot for it; NULL if there are
 * none left. */
static config_start_response_t *start_slot(config_start_t *start,
					   const char *address)
{
	unsigned i;

	for (i = 0; i < start->count; i++)
		if (!strcmp(start->last[i].address, address))
			return &start->last[i];
	if (start->count == KEEPER_VOTERS_MAX)
		return NULL;
	return &start->last[start->count++];
}

static bool start_has_lists(const config_start_response_t *response)
{
	return *response->routes || *response->copies;
}

/* Whether two responses of a keeper differ in more than indices that decide nothing. */
static bool start_differs(const config_start_response_t *a,
			  const config_start_response_t *b)
{
	return strcmp(a->address, b->address) != 0 || a->voters != b->voters ||
	       strcmp(a->routes, b->routes) != 0 ||
	       strcmp(a->copies, b->copies) != 0 ||
	       (start_has_lists(a) && a->last != b->last);
}

bool config_start_record(config_start_t *start,
			 const config_start_response_t *response,
			 uint64_t revision, usec_t now)
{
	config_start_response_t *slot;
	bool changed = revision && !start->since;
	unsigned responders, voters;

	if (changed)
		start->since = now;
	if (response->applied > start->applied) {
		start->applied = response->applied;
		changed = true;
	}
	if (response->voters == CONFIG_START_VOTERS_ABSENT) {
		changed = changed || !start->earlier_release;
		start->earlier_release = true;
		return changed;
	}
	responders = config_start_responders(start, &voters);
	slot = start_slot(start, response->address);
	if (!slot)
		return changed;
	changed = changed || start_differs(slot, response);
	*slot = *response;
	return changed || config_start_responders(start, &voters) != responders;
}

/* Index of the newest group that a response states. */
static uint64_t start_newest_group(const config_start_t *start)
{
	uint64_t newest = 0;
	unsigned i;

	for (i = 0; i < start->count; i++)
		newest = MAX(newest, start->last[i].group);
	return newest;
}

unsigned config_start_responders(const config_start_t *start, unsigned *voters)
{
	uint64_t newest = start_newest_group(start);
	unsigned responders = 0;
	unsigned i;

	*voters = 0;
	for (i = 0; i < start->count; i++) {
		const config_start_response_t *response = &start->last[i];

		if (response->voters <= 0 || response->last < newest)
			continue;
		responders++;
		*voters = MAX(*voters, (unsigned)response->voters);
	}
	return responders;
}

/* Returns the next item of a list and its length; NULL at the end. */
static const char *start_next_item(const char **list, size_t *length)
{
	const char *item;

	*list += strspn(*list, ", ");
	item = *list;
	*length = strcspn(item, ", ");
	*list += *length;
	return *length ? item : NULL;
}

/* Returns the id of a copy in one item of a list, for g_free(); NULL if it is malformed. */
static char *start_copy_name(const char *item, size_t length)
{
	char *name = g_uri_unescape_segment(item, item + length, NULL);

	if (name && *name && strlen(name) < HL_NAME_MAX)
		return name;
	g_free(name);
	return NULL;
}

static bool start_copies_valid(const char *text)
{
	const char *item;
	size_t length;

	while ((item = start_next_item(&text, &length))) {
		char *name = start_copy_name(item, length);

		if (!name)
			return false;
		g_free(name);
	}
	return true;
}

void config_start_read_copies(config_start_response_t *response,
			      const char *text)
{
	char *list = g_strstrip(g_strdup(text));

	if (strlen(list) < sizeof(response->copies) && start_copies_valid(list))
		strcpy(response->copies, list);
	else
		strcpy(response->copies, CONFIG_START_ALL_COPIES);
	g_free(list);
}

/* Whether the configuration in force replaces what the end of a log may change. */
static bool start_is_void(const config_start_t *start,
			  const config_start_response_t *response)
{
	return response->last <= start->applied;
}

unsigned config_start_pending(const config_start_t *start)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < start->count; i++) {
		const char *list = start->last[i].routes;
		size_t length;

		if (start_is_void(start, &start->last[i]))
			continue;
		while (start_next_item(&list, &length))
			count++;
	}
	return count;
}

config_start_state_t config_start_state(const config_start_t *start, usec_t max,
					usec_t now)
{
	unsigned voters;
	unsigned responders = config_start_responders(start, &voters);

	if (2 * responders > voters)
		return CONFIG_START_QUORUM;
	if (start->earlier_release)
		return CONFIG_START_RELEASE;
	if (start->since && now - start->since >= max)
		return CONFIG_START_TIMEOUT;
	return CONFIG_START_WAITING;
}

/* Whether a call matches the route in one item of a list. */
static bool start_matches(const char *item, size_t length, const char *host,
			  const char *target, size_t prefix_length)
{
	const char *slash = memchr(item, '/', length);
	size_t host_length = slash ? (size_t)(slash - item) : 0;
	size_t path_length = strcspn(target, "?");
	char *prefix;
	size_t size;
	bool matches;

	if (length == strlen(CONFIG_START_ALL_ROUTES) &&
	    !memcmp(item, CONFIG_START_ALL_ROUTES, length))
		return true;
	if (!slash || host_length != strcspn(host, ":") ||
	    g_ascii_strncasecmp(item, host, host_length))
		return false;
	prefix = g_uri_unescape_segment(slash, item + length, NULL);
	if (!prefix)
		return true;
	size = strlen(prefix);
	matches = size >= prefix_length && size <= path_length &&
		  !memcmp(prefix, target, size);
	g_free(prefix);
	return matches;
}

bool config_start_is_pending(const config_start_t *start, const char *host,
			     const char *target, size_t prefix_length)
{
	unsigned i;

	for (i = 0; i < start->count; i++) {
		const char *list = start->last[i].routes;
		const char *item;
		size_t length;

		if (start_is_void(start, &start->last[i]))
			continue;
		if (!strcmp(start->last[i].copies, CONFIG_START_ALL_COPIES))
			return true;
		while ((item = start_next_item(&list, &length)))
			if (start_matches(item, length, host, target,
					  prefix_length))
				return true;
	}
	return false;
}

/* Whether a list of copies has this one. */
static bool start_has_copy(const char *list, const char *name)
{
	const char *item;
	size_t length;
	bool same;

	if (!strcmp(list, CONFIG_START_ALL_COPIES))
		return true;
	while ((item = start_next_item(&list, &length))) {
		char *other = start_copy_name(item, length);

		same = other && !strcmp(other, name);
		g_free(other);
		if (same)
			return true;
	}
	return false;
}

bool config_start_copy_is_pending(const config_start_t *start, const char *name)
{
	unsigned i;

	for (i = 0; i < start->count; i++)
		if (!start_is_void(start, &start->last[i]) &&
		    start_has_copy(start->last[i].copies, name))
			return true;
	return false;
}
