#include <endian.h>
#include <stdlib.h>
#include <string.h>
#include "keeper-store.h"

/*
 * A record is a header of 24 bytes, big endian, and a body in XDR. The header
 * has its own checksum, which makes its length reliable: a record that is
 * longer than the rest of the file was truncated by a crash and not damaged
 * later.
 */
#define KEEPER_RECORD_MAGIC 0x484c4b31U /* "HLK1" */
#define KEEPER_RECORD_CHECKSUM_SEED 0x6b656570ULL
/* Unit in which a disk writes. After a crash a file may have grown while some
 * sectors of its new part were not written; these read as zeros. */
#define KEEPER_RECORD_SECTOR_BYTES 512
/* A file that ends in so many zeros ends in bytes that were not written; a record
 * ends in fewer. */
#define KEEPER_RECORD_UNWRITTEN_BYTES 32

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

/* Number of zero bytes that the file ends with. */
static size_t keeper_record_trailing_zeros(const char *bytes, size_t size)
{
	size_t zeros = 0;

	while (zeros < size && bytes[size - zeros - 1] == 0)
		zeros++;
	return zeros;
}

static bool keeper_record_is_zero(const char *bytes, size_t size)
{
	return keeper_record_trailing_zeros(bytes, size) == size;
}

/* Whether a sector that the bytes from @start to @end reach was never written: from
 * @start on it has only zeros. */
static bool keeper_record_lacks_sector(const char *bytes, size_t size,
				       size_t start, size_t end)
{
	size_t next;

	if (end > size)
		end = size;
	for (; start < end; start = next) {
		next = (start / KEEPER_RECORD_SECTOR_BYTES + 1) *
		       KEEPER_RECORD_SECTOR_BYTES;
		if (next > size)
			next = size;
		if (keeper_record_is_zero(bytes + start, next - start))
			return true;
	}
	return false;
}

/* Return KEEPER_RECORD_TRUNCATED for an invalid record from @start to @end if a
 * part of it was never written, else KEEPER_RECORD_DAMAGED. */
static keeper_record_state_t keeper_record_classify_invalid(const char *bytes,
							    size_t size,
							    size_t start,
							    size_t end)
{
	size_t zeros = keeper_record_trailing_zeros(bytes + start,
						    size - start);

	if (zeros >= KEEPER_RECORD_UNWRITTEN_BYTES && size - zeros < end)
		return KEEPER_RECORD_TRUNCATED;
	return keeper_record_lacks_sector(bytes, size, start, end) ?
		       KEEPER_RECORD_TRUNCATED :
		       KEEPER_RECORD_DAMAGED;
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
	size_t start = *offset, remaining = size - start, length, end;
	keeper_record_header_t head;

	if (!remaining)
		return KEEPER_RECORD_END;
	if (remaining < sizeof(head))
		return KEEPER_RECORD_TRUNCATED;
	if (!keeper_record_read_header(bytes, size, start, &head))
		return keeper_record_classify_invalid(bytes, size, start,
						      start + sizeof(head));
	length = be32toh(head.size);
	if (length > remaining - sizeof(head))
		return KEEPER_RECORD_TRUNCATED;
	end = start + sizeof(head) + length;
	*body = bytes + start + sizeof(head);
	*body_size = length;
	if (be64toh(head.body) !=
	    hl_hash(*body, length, KEEPER_RECORD_CHECKSUM_SEED))
		return keeper_record_classify_invalid(bytes, size, start, end);
	*offset = end;
	return KEEPER_RECORD_COMPLETE;
}
