#include <endian.h>
#include <stdlib.h>
#include <string.h>
#include "keeper-store.h"

/*
 * A record is a head of 24 bytes, big endian, and a body in XDR. The head has
 * a checksum of its own, so that its length can be trusted: a record that
 * does not fit the file was torn by a crash, not damaged later.
 */
#define KEEPER_RECORD_MAGIC 0x484c4b31U /* "HLK1" */
#define KEEPER_RECORD_SEED 0x6b656570ULL
/* A file that grew before its content came ends in whole sectors of zeros. */
#define KEEPER_RECORD_SECTOR 512

typedef struct {
	uint32_t magic;
	uint32_t size;	/* of the body */
	uint64_t body;	/* checksum */
	uint64_t check; /* of the fields above */
} keeper_record_head_t;

static uint64_t keeper_record_check(const keeper_record_head_t *head)
{
	return htobe64(hl_hash(head, offsetof(keeper_record_head_t, check),
			       KEEPER_RECORD_SEED));
}

static int keeper_record_room(keeper_buffer_t *buffer, size_t size)
{
	size_t room = buffer->room ? buffer->room : 4096;
	char *bytes;

	while (room < buffer->size + size)
		room *= 2;
	bytes = realloc(buffer->bytes, room);
	if (!bytes)
		return -1;
	buffer->bytes = bytes;
	buffer->room = room;
	return 0;
}

int keeper_record_put(keeper_buffer_t *buffer, xdrproc_t proc, void *value)
{
	keeper_record_head_t head = { 0 };
	size_t size;
	char *body;
	int rc = -1;

	if (!keeper_xdr_encode(proc, value, &body, &size))
		return -1;
	if (keeper_record_room(buffer, sizeof(head) + size))
		goto out;
	head.magic = htobe32(KEEPER_RECORD_MAGIC);
	head.size = htobe32(size);
	head.body = htobe64(hl_hash(body, size, KEEPER_RECORD_SEED));
	head.check = keeper_record_check(&head);
	memcpy(buffer->bytes + buffer->size, &head, sizeof(head));
	memcpy(buffer->bytes + buffer->size + sizeof(head), body, size);
	buffer->size += sizeof(head) + size;
	rc = 0;
out:
	free(body);
	return rc;
}

static size_t keeper_record_zeros(const char *bytes, size_t size)
{
	size_t zeros = 0;

	while (zeros < size && bytes[size - zeros - 1] == 0)
		zeros++;
	return zeros;
}

/* A bad record is torn if the file ends in sectors that were never written,
 * and damaged otherwise. */
static keeper_record_state_t keeper_record_bad(const char *bytes, size_t size)
{
	size_t zeros = keeper_record_zeros(bytes, size);

	return zeros == size || zeros >= KEEPER_RECORD_SECTOR ?
		       KEEPER_RECORD_TORN :
		       KEEPER_RECORD_DAMAGED;
}

keeper_record_state_t keeper_record_next(const char *bytes, size_t size,
					 size_t *offset, const char **body,
					 size_t *body_size)
{
	const char *start = bytes + *offset;
	size_t rest = size - *offset, length;
	keeper_record_head_t head;

	if (!rest)
		return KEEPER_RECORD_END;
	if (rest < sizeof(head))
		return KEEPER_RECORD_TORN;
	memcpy(&head, start, sizeof(head));
	if (be32toh(head.magic) != KEEPER_RECORD_MAGIC ||
	    head.check != keeper_record_check(&head))
		return keeper_record_bad(start, rest);
	length = be32toh(head.size);
	if (length > rest - sizeof(head))
		return KEEPER_RECORD_TORN;
	*body = start + sizeof(head);
	*body_size = length;
	if (be64toh(head.body) != hl_hash(*body, length, KEEPER_RECORD_SEED))
		return keeper_record_zeros(start, rest) <
				       rest - sizeof(head) - length ?
			       KEEPER_RECORD_DAMAGED :
			       keeper_record_bad(start, rest);
	*offset += sizeof(head) + length;
	return KEEPER_RECORD_WHOLE;
}
