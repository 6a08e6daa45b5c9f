#include <curl/curl.h>
#include <glib.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include "config-direct-response.h"
#include "config-sibling.h"
#include "config.h"
#include "pack.h"

/*
 * Receives and reads the response of a keeper that a follower outside the fan-out
 * tree has polled over HTTP.
 */

/* Maximum size of a response, compressed or decompressed. */
#define RESPONSE_BYTES_MAX (64u * 1024 * 1024)

/* Name of the header with the addresses of the keepers. */
#define DIRECT_KEEPERS_HEADER "Hemlock-Keepers:"
/* Name of the header with their revision. */
#define DIRECT_KEEPERS_REVISION_HEADER "Hemlock-Keepers-Revision:"
/* Names of the headers of a response that is not confirmed. */
#define DIRECT_VOTERS_HEADER "Hemlock-Voters:"
#define DIRECT_ROUTES_HEADER "Hemlock-Pending-Routes:"
#define DIRECT_COPIES_HEADER "Hemlock-Pending-Copies:"

size_t config_direct_write(char *bytes, size_t size, size_t count,
			   void *context)
{
	config_direct_response_t *response = context;
	size_t length = size * count;
	size_t capacity = response->capacity ? response->capacity :
					       CURL_MAX_WRITE_SIZE;
	char *grown;

	while (capacity < response->size + length)
		capacity *= 2;
	if (capacity > RESPONSE_BYTES_MAX)
		return 0;
	if (capacity != response->capacity) {
		grown = realloc(response->bytes, capacity);
		if (!grown)
			return 0;
		response->bytes = grown;
		response->capacity = capacity;
	}
	memcpy(response->bytes + response->size, bytes, length);
	response->size += length;
	return length;
}

static void direct_read_keepers(config_direct_response_t *response,
				const char *text)
{
	if (!config_sibling_read_keepers(text, &response->keepers.list))
		response->keepers_malformed = true;
}

static void direct_read_keepers_revision(config_direct_response_t *response,
					 char *text)
{
	if (!g_ascii_string_to_unsigned(g_strstrip(text), 10, 0, G_MAXUINT64,
					&response->keepers.revision, NULL))
		response->keepers_malformed = true;
}

/* Reads a header with the state of a keeper whose response is not confirmed. */
static void direct_read_start(config_start_response_t *start, const char *line)
{
	size_t voters = strlen(DIRECT_VOTERS_HEADER);
	size_t routes = strlen(DIRECT_ROUTES_HEADER);
	size_t copies = strlen(DIRECT_COPIES_HEADER);

	if (!strncasecmp(line, DIRECT_VOTERS_HEADER, voters))
		start->voters = (int)CLAMP(strtol(line + voters, NULL, 10), 0,
					   KEEPER_VOTERS_MAX);
	else if (!strncasecmp(line, DIRECT_COPIES_HEADER, copies))
		config_start_read_copies(start, line + copies);
	else if (!strncasecmp(line, DIRECT_ROUTES_HEADER, routes) &&
		 g_strlcpy(start->routes, line + routes,
			   sizeof(start->routes)) >= sizeof(start->routes))
		strcpy(start->routes, CONFIG_START_ALL_ROUTES);
	g_strstrip(start->routes);
}

/* Headers with an index of the log of such a keeper. */
static const struct {
	const char *name;
	size_t field; /* offset in config_start_response_t */
} direct_indices[] = {
	{ "Hemlock-Group-Index:", offsetof(config_start_response_t, group) },
	{ "Hemlock-Log-Last:", offsetof(config_start_response_t, last) },
	{ "Hemlock-Log-Applied:", offsetof(config_start_response_t, applied) },
};

/* Reads such a header; one that is malformed counts as not stated. */
static void direct_read_index(config_start_response_t *start, const char *line)
{
	char *fields = (char *)start;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(direct_indices); i++) {
		size_t name = strlen(direct_indices[i].name);
		guint64 index;
		char *text;

		if (strncasecmp(line, direct_indices[i].name, name) != 0)
			continue;
		text = g_strstrip(g_strdup(line + name));
		if (g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &index,
					       NULL))
			*(uint64_t *)(fields + direct_indices[i].field) = index;
		g_free(text);
	}
}

size_t config_direct_header(char *line, size_t size, size_t count,
			    void *context)
{
	config_direct_response_t *response = context;
	size_t name = strlen(DIRECT_KEEPERS_HEADER);
	size_t revision = strlen(DIRECT_KEEPERS_REVISION_HEADER);
	size_t length = size * count;
	char *text;

	text = g_strndup(line, length);
	direct_read_start(&response->start, text);
	direct_read_index(&response->start, text);
	if (!strncasecmp(text, DIRECT_KEEPERS_HEADER, name))
		direct_read_keepers(response, text + name);
	else if (!strncasecmp(text, DIRECT_KEEPERS_REVISION_HEADER, revision))
		direct_read_keepers_revision(response, text + revision);
	g_free(text);
	return length;
}

bool config_direct_decode(const config_direct_response_t *response,
			  keeper_fetch_res_t *res)
{
	size_t size;
	char *plain = pack_inflate(response->bytes, response->size,
				   RESPONSE_BYTES_MAX, &size);
	bool ok;

	if (!plain)
		return false;
	ok = !config_decode((xdrproc_t)xdr_keeper_fetch_res_t, plain, size, res,
			    sizeof(*res));
	free(plain);
	return ok;
}
