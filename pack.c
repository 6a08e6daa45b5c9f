#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>
#include "pack.h"

/* Size of the header, the uncompressed length in network byte order. */
#define PACK_HEADER_BYTES sizeof(uint32_t)

char *pack_deflate(const char *bytes, size_t size, size_t *packed)
{
	uLongf packed_size = compressBound(size);
	char *out = malloc(PACK_HEADER_BYTES + packed_size);
	uint32_t length = htonl((uint32_t)size);

	if (!out ||
	    compress2((Bytef *)out + PACK_HEADER_BYTES, &packed_size,
		      (const Bytef *)bytes, size, Z_BEST_SPEED) != Z_OK) {
		free(out);
		return NULL;
	}
	memcpy(out, &length, PACK_HEADER_BYTES);
	*packed = PACK_HEADER_BYTES + packed_size;
	return out;
}

char *pack_inflate(const char *bytes, size_t size, size_t max_size,
		   size_t *plain)
{
	uint32_t length;
	uLongf plain_size;
	char *out;

	if (size < PACK_HEADER_BYTES)
		return NULL;
	memcpy(&length, bytes, PACK_HEADER_BYTES);
	plain_size = ntohl(length);
	if (plain_size > max_size)
		return NULL;
	out = malloc(plain_size + 1);
	if (!out || uncompress((Bytef *)out, &plain_size,
			       (const Bytef *)bytes + PACK_HEADER_BYTES,
			       size - PACK_HEADER_BYTES) != Z_OK) {
		free(out);
		return NULL;
	}
	*plain = plain_size;
	return out;
}
