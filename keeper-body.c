#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>
#include "keeper-core.h"

/*
 * Changes stand in the log as XDR; larger ones are deflated, so that the
 * routing of many services fits one entry. A plain body begins with the length
 * of the change's id, which is far below the mark.
 */

#define BODY_PLAIN_MAX 8192u
#define BODY_MARK 0xffffffffu
/* The mark and the length of the plain body. */
#define BODY_HEAD (2 * sizeof(uint32_t))
/* Against a log that asks for more memory than any change takes. */
#define BODY_INFLATED_MAX (16u * 1024 * 1024)

static void body_put(char *at, uint32_t value)
{
	value = htonl(value);
	memcpy(at, &value, sizeof(value));
}

static uint32_t body_get(const char *at)
{
	uint32_t value;

	memcpy(&value, at, sizeof(value));
	return ntohl(value);
}

/* Replace a plain body by a deflated one; false out of memory. */
static bool body_deflate(char **body, size_t *size)
{
	uLongf room = compressBound(*size);
	char *packed = malloc(BODY_HEAD + room);

	if (!packed || compress2((Bytef *)packed + BODY_HEAD, &room,
				 (Bytef *)*body, *size, Z_BEST_SPEED) != Z_OK) {
		free(packed);
		return false;
	}
	body_put(packed, BODY_MARK);
	body_put(packed + sizeof(uint32_t), (uint32_t)*size);
	free(*body);
	*body = packed;
	*size = BODY_HEAD + room;
	return true;
}

bool keeper_body_pack(config_change_t *change, char **body, size_t *size)
{
	if (!keeper_xdr_encode((xdrproc_t)xdr_config_change_t, change, body,
			       size))
		return false;
	if (*size <= BODY_PLAIN_MAX || *size > BODY_INFLATED_MAX ||
	    body_deflate(body, size))
		return true;
	free(*body);
	return false;
}

static bool body_inflate(const char *body, size_t size, config_change_t *change)
{
	uLongf room = body_get(body + sizeof(uint32_t));
	char *plain = NULL;
	bool ok = false;

	if (room > BODY_INFLATED_MAX)
		return false;
	plain = malloc(room ? room : 1);
	if (plain &&
	    uncompress((Bytef *)plain, &room, (const Bytef *)body + BODY_HEAD,
		       size - BODY_HEAD) == Z_OK)
		ok = keeper_xdr_decode((xdrproc_t)xdr_config_change_t, plain,
				       room, change);
	free(plain);
	return ok;
}

bool keeper_body_unpack(const char *body, size_t size, config_change_t *change)
{
	if (size > BODY_HEAD && body_get(body) == BODY_MARK)
		return body_inflate(body, size, change);
	return keeper_xdr_decode((xdrproc_t)xdr_config_change_t, body, size,
				 change);
}
