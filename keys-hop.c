#include <stdio.h>
#include <string.h>
#include "keys.h"

/*
 * The value of Hemlock-Hop, "NAME MS TAG", proves that a call was sent by a
 * sibling. The tag signs the text "hop NAME SERVICE MS".
 */

/* Longest signed text with its NUL. */
#define KEYS_HOP_TEXT_MAX (2 * HL_NAME_MAX + 32)

static size_t keys_hop_signed_text(char text[KEYS_HOP_TEXT_MAX],
				   const char *name, const char *service,
				   int64_t wall_ms)
{
	return (size_t)snprintf(text, KEYS_HOP_TEXT_MAX, "hop %s %s %" PRId64,
				name, service, wall_ms);
}

static void keys_hop_tag_to_hex(const unsigned char tag[KEYS_TAG_BYTES],
				char *out)
{
	unsigned i;

	for (i = 0; i < KEYS_TAG_BYTES; i++)
		sprintf(out + 2 * i, "%02x", tag[i]);
}

bool keys_hop_write(keys_t *keys, const char *name, const char *service,
		    int64_t wall_ms, char out[KEYS_HOP_MAX])
{
	char text[KEYS_HOP_TEXT_MAX], hex[2 * KEYS_TAG_BYTES + 1];
	unsigned char tag[KEYS_TAG_BYTES];
	size_t size = keys_hop_signed_text(text, name, service, wall_ms);

	if (!keys_count(keys)) {
		snprintf(out, KEYS_HOP_MAX, "%s", name);
		return true;
	}
	if (!keys_sign(keys, text, size, tag))
		return false;
	keys_hop_tag_to_hex(tag, hex);
	snprintf(out, KEYS_HOP_MAX, "%s %" PRId64 " %s", name, wall_ms, hex);
	return true;
}

/* Converts the hex digits of a tag; false if they are malformed. */
static bool keys_hop_tag_from_hex(const char *hex,
				  unsigned char tag[KEYS_TAG_BYTES])
{
	unsigned i, byte;

	if (strlen(hex) != 2 * KEYS_TAG_BYTES)
		return false;
	for (i = 0; i < KEYS_TAG_BYTES; i++) {
		if (sscanf(hex + 2 * i, "%2x", &byte) != 1)
			return false;
		tag[i] = (unsigned char)byte;
	}
	return true;
}

bool keys_hop_read(keys_t *keys, const char *value, const char *service,
		   int64_t wall_ms, char name[HL_NAME_MAX])
{
	char text[KEYS_HOP_TEXT_MAX], hex[2 * KEYS_TAG_BYTES + 1];
	unsigned char tag[KEYS_TAG_BYTES];
	int64_t sent_ms;
	int used = 0;

	if (!keys_count(keys)) {
		if (!hl_name_valid(value))
			return false;
		strcpy(name, value);
		return true;
	}
	if (sscanf(value, "%63s %13" SCNd64 " %32s%n", name, &sent_ms, hex,
		   &used) != 3 ||
	    value[used] || !keys_hop_tag_from_hex(hex, tag))
		return false;
	if (sent_ms < wall_ms - KEYS_HOP_WINDOW_MS ||
	    sent_ms > wall_ms + KEYS_HOP_WINDOW_MS)
		return false;
	return keys_check(keys, text,
			  keys_hop_signed_text(text, name, service, sent_ms),
			  tag);
}
