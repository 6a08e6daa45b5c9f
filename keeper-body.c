#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include "keeper-core.h"
#include "pack.h"

/*
 * Changes stand in the log as XDR; larger ones are deflated, so that the
 * routing of many services fits one entry. A plain body begins with the length
 * of the change's id, which is far below the mark.
 */

#define BODY_PLAIN_MAX 8192u
#define BODY_MARK 0xffffffffu
#define BODY_HEAD sizeof(uint32_t)
/* Against a log that asks for more memory than any change takes. */
#define BODY_INFLATED_MAX (16u * 1024 * 1024)

/* Replace a plain body by a deflated one; false out of memory. */
static bool body_deflate(char **body, size_t *size)
{
	uint32_t mark = htonl(BODY_MARK);
	char *packed, *out = NULL;
	size_t length;

	packed = pack_deflate(*body, *size, &length);
	if (packed)
		out = malloc(BODY_HEAD + length);
	if (out) {
		memcpy(out, &mark, BODY_HEAD);
		memcpy(out + BODY_HEAD, packed, length);
		free(*body);
		*body = out;
		*size = BODY_HEAD + length;
	}
	free(packed);
	return out != NULL;
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
	size_t length;
	char *plain;
	bool ok;

	plain = pack_inflate(body + BODY_HEAD, size - BODY_HEAD,
			     BODY_INFLATED_MAX, &length);
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

	if (size > BODY_HEAD)
		memcpy(&mark, body, BODY_HEAD);
	if (ntohl(mark) == BODY_MARK)
		return body_inflate(body, size, change);
	return keeper_xdr_decode((xdrproc_t)xdr_config_change_t, body, size,
				 change);
}
