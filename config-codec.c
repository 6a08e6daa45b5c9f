#include <stdlib.h>
#include <string.h>
#include "config.h"

/* XDR encoding, decoding and deep copies of configuration values. */

int config_encode(xdrproc_t proc, const void *value, char **bytes, size_t *size)
{
	XDR xdr;
	unsigned long need = xdr_sizeof(proc, (void *)value);
	bool_t ok;

	*size = 0;
	*bytes = need && need <= UINT32_MAX ? malloc(need) : NULL;
	if (!*bytes)
		return -1;
	xdrmem_create(&xdr, *bytes, (u_int)need, XDR_ENCODE);
	ok = proc(&xdr, (void *)value);
	*size = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	if (ok)
		return 0;
	free(*bytes);
	*bytes = NULL;
	return -1;
}

int config_decode(xdrproc_t proc, const char *bytes, size_t size, void *value,
		  size_t value_size)
{
	XDR xdr;
	bool_t ok;

	memset(value, 0, value_size);
	if (size > UINT32_MAX)
		return -1;
	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_DECODE);
	ok = proc(&xdr, value) && xdr_getpos(&xdr) == size;
	xdr_destroy(&xdr);
	if (ok)
		return 0;
	xdr_free(proc, value);
	memset(value, 0, value_size);
	return -1;
}

int config_copy(xdrproc_t proc, const void *from, void *to, size_t value_size)
{
	char *bytes;
	size_t size;
	int rc;

	memset(to, 0, value_size);
	if (config_encode(proc, from, &bytes, &size))
		return -1;
	rc = config_decode(proc, bytes, size, to, value_size);
	free(bytes);
	return rc;
}
