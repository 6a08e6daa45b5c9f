#include <endian.h>
#include <stdlib.h>
#include <string.h>
#include "keeper-store.h"

/*
 * A record is a header of 24 bytes, big endian, and a body in XDR. Both have
 * checksums. A record does not show why it is invalid: a torn write may leave any
 * bytes. The order of the records in the log does, see keeper-log.c.
 */
#define KEEPER_RECORD_MAGIC 0x484c4b31U /* "HLK1" */
#define KEEPER_RECORD_CHECKSUM_SEED 0x6b656570ULL

typedef struct {
	uint32_t magic;
	uint32_t size;	/* bytes in the body */
	uint64_t body;	/* checksum of the body */
	uint64_t check; /* checksum of the fields above */
} keeper_record_header_t;

static uint64_t keeper_record_header_checksum(
	const keeper_record_header_t *head)
{
	return htobe64(hl_hash(head, offsetof(keeper_record_header_t, check),
			       KEEPER_RECORD_CHECKSUM_SEED));
}

static int keeper_record_reserve(keeper_buffer_t *buffer, size_t size)
{
	size_t capacity = buffer->capacity ? buffer->capacity : 4096;
	char *bytes;

	while (capacity < buffer->size + size)
		capacity *= 2;
	bytes = realloc(buffer->bytes, capacity);
	if (!bytes)
		return -1;
	buffer->bytes = bytes;
	buffer->capacity = capacity;
	return 0;
}

int keeper_record_put(keeper_buffer_t *buffer, xdrproc_t proc, void *value)
{
	keeper_record_header_t head = { 0 };
	size_t size;
	char *body;
	int rc = -1;

	if (!keeper_xdr_encode(proc, value, &body, &size))
		return -1;
	if (keeper_record_reserve(buffer, sizeof(head) + size))
		goto out;
	head.magic = htobe32(KEEPER_RECORD_MAGIC);
	head.size = htobe32(size);
	head.body = htobe64(hl_hash(body, size, KEEPER_RECORD_CHECKSUM_SEED));
	head.check = keeper_record_header_checksum(&head);
	memcpy(buffer->bytes + buffer->size, &head, sizeof(head));
	memcpy(buffer->bytes + buffer->size + sizeof(head), body, size);
	buffer->size += sizeof(head) + size;
	rc = 0;
out:
	free(body);
	return rc;
}

/* Read the header at @offset; false if there is no valid one. */
static bool keeper_record_read_header(const char *bytes, size_t size,
				      size_t offset,
				      keeper_record_header_t *head)
{
	if (size - offset < sizeof(*head))
		return false;
	memcpy(head, bytes + offset, sizeof(*head));
	return be32toh(head->magic) == KEEPER_RECORD_MAGIC &&
	       head->check == keeper_record_header_checksum(head);
}

bool keeper_record_seek(const char *bytes, size_t size, size_t *offset)
{
	keeper_record_header_t head;

	while ((*offset += BYTES_PER_XDR_UNIT) < size)
		if (keeper_record_read_header(bytes, size, *offset, &head))
			return true;
	return false;
}

keeper_record_state_t keeper_record_next(const char *bytes, size_t size,
					 size_t *offset, const char **body,
					 size_t *body_size)
{
	size_t start = *offset, remaining = size - start, length;
	keeper_record_header_t head;

	if (!remaining)
		return KEEPER_RECORD_END;
	if (!keeper_record_read_header(bytes, size, start, &head))
		return KEEPER_RECORD_INVALID;
	length = be32toh(head.size);
	if (length > remaining - sizeof(head))
		return KEEPER_RECORD_INVALID;
	*body = bytes + start + sizeof(head);
	*body_size = length;
	if (be64toh(head.body) !=
	    hl_hash(*body, length, KEEPER_RECORD_CHECKSUM_SEED))
		return KEEPER_RECORD_INVALID;
	*offset = start + sizeof(head) + length;
	return KEEPER_RECORD_COMPLETE;
}
