#include <stdlib.h>
#include "keeper.h"

/* XDR values to and from bytes in memory. */

bool keeper_xdr_encode(xdrproc_t proc, void *value, char **bytes, size_t *size)
{
	XDR xdrs;
	bool ok;

	*size = xdr_sizeof(proc, value);
	*bytes = malloc(*size ? *size : 1);
	if (!*bytes)
		return false;
	xdrmem_create(&xdrs, *bytes, *size, XDR_ENCODE);
	ok = proc(&xdrs, value);
	xdr_destroy(&xdrs);
	if (!ok) {
		free(*bytes);
		*bytes = NULL;
	}
	return ok;
}

bool keeper_xdr_decode(xdrproc_t proc, const char *bytes, size_t size,
		       void *value)
{
	XDR xdrs;
	bool ok;

	xdrmem_create(&xdrs, (char *)bytes, size, XDR_DECODE);
	ok = proc(&xdrs, value) && xdr_getpos(&xdrs) == size;
	xdr_destroy(&xdrs);
	if (!ok)
		xdr_free(proc, value);
	return ok;
}

bool keeper_xdr_copy(xdrproc_t proc, const void *from, void *to)
{
	char *bytes;
	size_t size;
	bool ok;

	if (!keeper_xdr_encode(proc, (void *)from, &bytes, &size))
		return false;
	ok = keeper_xdr_decode(proc, bytes, size, to);
	free(bytes);
	return ok;
}
