#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include "keeper-core.h"
#include "pack.h"

/*
 * The encoding of a change in a log entry: XDR, deflated if it is large, so
 * that the routing of many services fits one entry. A deflated body begins
 * with a mark. A plain one begins with the length of the change's id, which is
 * far smaller than the mark.
 */

/* A larger body is deflated. */
#define BODY_PLAIN_BYTES_MAX 8192u
#define BODY_DEFLATED_MARK 0xffffffffu
#define BODY_MARK_BYTES sizeof(uint32_t)
/* Bounds the memory that a malformed log can make a keeper allocate. It exceeds
 * the size of every change. */
#define BODY_INFLATED_BYTES_MAX (16u * 1024 * 1024)

/* Replace a plain body by a deflated one; false if out of memory. */
static bool body_deflate(char **body, size_t *size)
{
	uint32_t mark = htonl(BODY_DEFLATED_MARK);
	char *packed, *out = NULL;
	size_t length;

	packed = pack_deflate(*body, *size, &length);
	if (packed)
		out = malloc(BODY_MARK_BYTES + length);
	if (out) {
		memcpy(out, &mark, BODY_MARK_BYTES);
		memcpy(out + BODY_MARK_BYTES, packed, length);
		free(*body);
		*body = out;
		*size = BODY_MARK_BYTES + length;
	}
	free(packed);
	return out != NULL;
}

bool keeper_body_pack(config_change_t *change, char **body, size_t *size)
{
	if (!keeper_xdr_encode((xdrproc_t)xdr_config_change_t, change, body,
			       size))
		return false;
	if (*size <= BODY_PLAIN_BYTES_MAX || *size > BODY_INFLATED_BYTES_MAX ||
	    body_deflate(body, size))
		return true;
	free(*body);
	return false;
}

static bool body_inflate(const char *body, size_t size, config_change_t *change)
{
	size_t length;
	char *plain;
	bool ok;

	plain = pack_inflate(body + BODY_MARK_BYTES, size - BODY_MARK_BYTES,
			     BODY_INFLATED_BYTES_MAX, &length);
	if (!plain)
		return false;
	ok = keeper_xdr_decode((xdrproc_t)xdr_config_change_t, plain, length,
			       change);
	free(plain);
	return ok;
}

bool keeper_body_unpack(const char *body, size_t size, config_change_t *change)
{
	uint32_t mark = 0;

	if (size > BODY_MARK_BYTES)
		memcpy(&mark, body, BODY_MARK_BYTES);
	if (ntohl(mark) == BODY_DEFLATED_MARK)
		return body_inflate(body, size, change);
	return keeper_xdr_decode((xdrproc_t)xdr_config_change_t, body, size,
				 change);
}
