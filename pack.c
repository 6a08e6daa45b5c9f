#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>
#include "pack.h"

/* The length of the plain bytes stands in front. */
#define PACK_HEAD sizeof(uint32_t)

char *pack_deflate(const char *bytes, size_t size, size_t *packed)
{
	uLongf room = compressBound(size);
	char *out = malloc(PACK_HEAD + room);
	uint32_t length = htonl((uint32_t)size);

	if (!out ||
	    compress2((Bytef *)out + PACK_HEAD, &room, (const Bytef *)bytes,
		      size, Z_BEST_SPEED) != Z_OK) {
		free(out);
		return NULL;
	}
	memcpy(out, &length, PACK_HEAD);
	*packed = PACK_HEAD + room;
	return out;
}

char *pack_inflate(const char *bytes, size_t size, size_t most, size_t *plain)
{
	uint32_t length;
	uLongf room;
	char *out;

	if (size < PACK_HEAD)
		return NULL;
	memcpy(&length, bytes, PACK_HEAD);
	room = ntohl(length);
	if (room > most)
		return NULL;
	out = malloc(room + 1);
	if (!out ||
	    uncompress((Bytef *)out, &room, (const Bytef *)bytes + PACK_HEAD,
		       size - PACK_HEAD) != Z_OK) {
		free(out);
		return NULL;
	}
	*plain = room;
	return out;
}
