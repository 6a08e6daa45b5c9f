#include <string.h>
#include "presence.h"

/* Encoding of presence datagrams as XDR. */

size_t presence_encode(const presence_t *message, char out[PRESENCE_BYTES_MAX])
{
	size_t size = 0;
	XDR xdr;

	xdrmem_create(&xdr, out, PRESENCE_BYTES_MAX, XDR_ENCODE);
	if (xdr_presence_t(&xdr, (presence_t *)message))
		size = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return size;
}

bool presence_decode(const char *bytes, size_t size, uint64_t cluster,
		     presence_t *message)
{
	XDR xdr;
	bool ok;

	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_DECODE);
	ok = xdr_presence_t(&xdr, message) && xdr_getpos(&xdr) == size &&
	     message->cluster == cluster;
	xdr_destroy(&xdr);
	if (!ok)
		presence_clear(message);
	return ok;
}

void presence_clear(presence_t *message)
{
	xdr_free((xdrproc_t)xdr_presence_t, (char *)message);
	memset(message, 0, sizeof(*message));
}

uint64_t presence_peers_hash(const presence_peers_list_t *list)
{
	uint64_t hash = 0;
	unsigned i;

	for (i = 0; i < list->count; i++)
		hash += hl_hash(list->addresses[i], strlen(list->addresses[i]),
				0);
	return hash;
}

uint64_t presence_keepers_hash(const setting_list_t *list)
{
	uint64_t hash = list->count;
	unsigned i;

	for (i = 0; i < list->count; i++)
		hash += hl_hash(list->items[i], strlen(list->items[i]), 0);
	return hash;
}
