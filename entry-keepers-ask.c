#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "entry-io.h"

/*
 * Answers the question of a sibling that no keeper of its list responds to: the
 * addresses of the keepers that this entry uses, the leading one first, the revision in
 * force, and the time since a leading keeper last confirmed it.
 */

#define KEEPERS_TEXT_MAX (PRESENCE_KEEPERS_MAX * HL_ADDRESS_MAX)
/* Bytes of a number in a header. */
#define KEEPERS_NUMBER_MAX 24

static void keepers_add_header(entry_request_t *req, const char *name,
			       const char *value)
{
	entry_headers_add(&req->response.headers, name, strlen(name), value,
			  strlen(value));
}

static void keepers_add_number(entry_request_t *req, const char *name,
			       uint64_t number)
{
	char text[KEEPERS_NUMBER_MAX];

	snprintf(text, sizeof(text), "%" PRIu64, number);
	keepers_add_header(req, name, text);
}

/* Appends an address to a list that is separated by commas. */
static void keepers_append(char *text, const char *address)
{
	size_t length = strlen(text);

	snprintf(text + length, KEEPERS_TEXT_MAX - length, "%s%s",
		 length ? "," : "", address);
}

static bool keepers_contain(const setting_list_t *keepers, const char *address)
{
	unsigned i;

	for (i = 0; i < keepers->count; i++)
		if (!strcmp(keepers->items[i], address))
			return true;
	return false;
}

/* Writes the addresses of the keepers. A leader that is none of them was removed.
 * Returns their revision. */
static uint64_t keepers_write(entry_t *entry, char text[KEEPERS_TEXT_MAX])
{
	char leader[HL_ADDRESS_MAX];
	presence_keepers_t keepers;
	const setting_list_t *list = &keepers.list;
	unsigned count = 0;
	unsigned i;

	*text = '\0';
	presence_client_keepers(entry->presence, &keepers, leader);
	if (keepers_contain(list, leader)) {
		keepers_append(text, leader);
		count++;
	}
	for (i = 0; i < list->count && count < PRESENCE_KEEPERS_MAX; i++) {
		if (!strcmp(list->items[i], leader))
			continue;
		keepers_append(text, list->items[i]);
		count++;
	}
	return keepers.revision;
}

/* Adds the headers of the answer. The caller holds the lock of the request. */
static void keepers_add_headers(entry_request_t *req, usec_t now)
{
	entry_t *entry = req->entry;
	const char *cluster = entry->settings.cluster;
	char text[KEEPERS_TEXT_MAX];
	config_follow_view_t view;
	uint64_t revision;

	config_follow_view(entry->follow, &view);
	revision = keepers_write(entry, text);
	keepers_add_header(req, "Hemlock-Keepers", text);
	keepers_add_number(req, "Hemlock-Keepers-Revision", revision);
	keepers_add_number(req, "Hemlock-Revision", view.applied);
	if (view.newest_at)
		keepers_add_number(req, "Hemlock-Confirmed-Ms",
				   (uint64_t)((now - view.newest_at) /
					      USEC_PER_MS));
	keepers_add_number(req, "Hemlock-Cluster",
			   hl_hash(cluster, strlen(cluster), 0));
}

void entry_keepers_answer(entry_request_t *req, usec_t now)
{
	if (!req->entry->presence || !req->entry->follow) {
		entry_request_fail(req, HTTP_NOT_FOUND, ENTRY_NOT_RUN,
				   "keepers", 0);
		return;
	}
	entry_request_reset(req);
	pthread_mutex_lock(&req->lock);
	req->response.status = HTTP_OK;
	req->response.outcome = ENTRY_NOT_RUN;
	req->response.length = 0;
	keepers_add_headers(req, now);
	pthread_mutex_unlock(&req->lock);
	entry_request_end(req, false);
}
